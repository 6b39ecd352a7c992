//! Estimated cost of requests, in microseconds that a server of pace 1 spends on them.
//!
//! The cost counts what a request takes from the other requests of its server, not how long it runs: an engine computes
//! prompts one after the other, while the streams of a batch share each step.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::routing::PrefixIndex;

/// Prompt tokens that an engine of pace 1 reads per second, as one deployment of the platform states for its engines. Only
/// the ratio to [`STEP_SHARE_US`] matters, as paces are relative.
const PROMPT_TOKENS_PER_S: u64 = 40_800;
/// Share of one request in the time of a step, in microseconds: 5.05 ms over a batch of 12, as the same deployment states.
/// Engines with larger batches have a smaller share, which is not taken into account.
const STEP_SHARE_US: u64 = 420;
/// Part of the estimated output of a request whose caller states a maximum only and whose kind is not known yet.
const MAX_OUTPUT_DIVISOR: u64 = 2;
/// Output of a request of which nothing is known, in tokens.
const DEFAULT_OUTPUT_TOKENS: u64 = 128;
/// Largest number of tokens that is taken from a header. It bounds the cost of requests with absurd statements.
const MAX_TOKENS: u64 = 1 << 20;
/// Tokens of one event until hints show another number, as the platform's engines send.
const DEFAULT_EVENT_TOKENS: f64 = 8.0;
/// Weight of the caller's hint against what was learned. The hint is right at the median but often far off, so neither
/// dominates.
const HINT_WEIGHT: f64 = 0.5;
/// Weight of the newest answer in the averages.
const ANSWER_WEIGHT: f64 = 0.1;
/// Largest distance of one answer from the average that is counted, as a natural logarithm: a factor of e.
const MAX_DEVIATION: f64 = 1.0;
/// Maximum number of kinds of requests.
const MAX_KINDS: usize = 4_096;
/// Time after which a kind without answers is forgotten.
const KIND_AGE: Duration = Duration::from_secs(600);
/// Maximum number of prompt parts that are remembered per server.
const MAX_PARTS: usize = 256;
/// Time after which a prompt part that was not used no longer counts as read: engines evict what is not used.
const PART_AGE: Duration = Duration::from_secs(60);

/// Work that a request causes on a server of pace 1.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCost {
    /// Work for the whole prompt, in microseconds.
    pub prompt_us: u32,
    /// Work for the output, in microseconds.
    pub output_us: u32,
    /// Work for the prompt up to and including each part in `RouteNeed::prefixes`, in microseconds.
    pub prefix_us: Vec<u32>,
}

impl RequestCost {
    /// Returns the work on a server that has read the first `parts` prefixes of the prompt, in microseconds.
    pub fn after_read(&self, parts: usize) -> u32 {
        let read = parts
            .checked_sub(1)
            .and_then(|last| self.prefix_us.get(last));
        let prompt = self
            .prompt_us
            .saturating_sub(read.copied().unwrap_or_default());
        prompt.saturating_add(self.output_us)
    }
}

/// What is known of a request before it is sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestShape<'a> {
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens of each shared part of the prompt.
    pub parts: &'a [u64],
    /// Estimated output tokens.
    pub output: u64,
}

/// Estimates the cost of a request.
pub fn request_cost(shape: RequestShape<'_>) -> RequestCost {
    let parts = shape.parts.iter();
    let read = parts.scan(0_u64, |sum, tokens| {
        *sum = sum.saturating_add(*tokens).min(MAX_TOKENS);
        Some(*sum)
    });
    let prefix_us: Vec<_> = read.map(prompt_work).collect();
    // A prompt is at least as long as its shared parts.
    let shared = prefix_us.last().copied().unwrap_or_default();
    RequestCost {
        prompt_us: prompt_work(shape.prompt).max(shared),
        output_us: output_work(shape.output),
        prefix_us,
    }
}

/// Returns the work for prompt tokens, in microseconds.
fn prompt_work(tokens: u64) -> u32 {
    // At most 2^20 x 10^6 / 40,800, which fits.
    (tokens.min(MAX_TOKENS) * 1_000_000 / PROMPT_TOKENS_PER_S) as u32
}

/// Returns the work for output tokens, in microseconds.
fn output_work(tokens: u64) -> u32 {
    // At most 2^20 x 420, which fits.
    (tokens.min(MAX_TOKENS) * STEP_SHARE_US) as u32
}

/// Returns hashes of the prefixes that end with each of `parts`, for the requests of one model and adapter.
pub fn part_prefixes(model: &str, adapter: Option<&str>, parts: &[u64]) -> Vec<u64> {
    let seed = xxh3_64_with_seed(
        adapter.unwrap_or_default().as_bytes(),
        xxh3_64(model.as_bytes()),
    );
    let prefixes = parts.iter().scan(seed, |prefix, part| {
        *prefix = xxh3_64_with_seed(&part.to_le_bytes(), *prefix);
        Some(*prefix)
    });
    prefixes.collect()
}

/// Route and model of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestKind {
    pub route: SmolStr,
    pub model: Option<SmolStr>,
}

/// Averages of the answers of one kind, as natural logarithms.
#[derive(Clone, Copy, Debug)]
struct KindOutput {
    events: ClippedMean,
    /// Tokens of one event, from the hints.
    event_tokens: ClippedMean,
    at: Instant,
}

/// Average in which one value has a bounded effect.
#[derive(Clone, Copy, Debug)]
struct ClippedMean {
    mean: f64,
    count: u32,
}

impl ClippedMean {
    fn new(mean: f64, count: u32) -> Self {
        Self { mean, count }
    }

    fn push(&mut self, value: f64) {
        if self.count == 0 {
            *self = Self::new(value, 1);
            return;
        }
        self.count = self.count.saturating_add(1);
        let weight = ANSWER_WEIGHT.max(1.0 / f64::from(self.count));
        let difference = (value - self.mean).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.mean += weight * difference;
    }
}

/// Output of answers by route and model.
#[derive(Debug, Default)]
pub struct OutputTable {
    kinds: HashMap<RequestKind, KindOutput>,
}

impl OutputTable {
    /// Records a complete stream of `events` events, for which the caller had estimated `hint` tokens.
    pub fn record(&mut self, kind: &RequestKind, events: u32, hint: Option<u64>, now: Instant) {
        let events = f64::from(events.max(1));
        if !self.kinds.contains_key(kind) {
            if self.kinds.len() >= MAX_KINDS {
                self.kinds.retain(|_, output| output.at + KIND_AGE > now);
            }
            if self.kinds.len() >= MAX_KINDS {
                return;
            }
        }
        let output = self.kinds.entry(kind.clone()).or_insert(KindOutput {
            events: ClippedMean::new(0.0, 0),
            event_tokens: ClippedMean::new(DEFAULT_EVENT_TOKENS.ln(), 1),
            at: now,
        });
        output.events.push(events.ln());
        if let Some(hint) = hint.filter(|hint| *hint > 0) {
            let tokens = hint.min(MAX_TOKENS) as f64 / events;
            output.event_tokens.push(tokens.ln());
        }
        output.at = now;
    }

    /// Returns the estimated output of a request in tokens, at most `max`.
    pub fn expected(
        &self,
        kind: &RequestKind,
        hint: Option<u64>,
        max: Option<u64>,
        now: Instant,
    ) -> u64 {
        let hint = hint.filter(|hint| *hint > 0);
        let hint = hint.map(|hint| (hint.min(MAX_TOKENS) as f64).ln());
        let output = self.kinds.get(kind);
        let output = output.filter(|output| output.at + KIND_AGE > now);
        let learned = output.map(|output| output.events.mean + output.event_tokens.mean);
        let estimate = match (learned, hint) {
            (Some(learned), Some(hint)) => learned + HINT_WEIGHT * (hint - learned),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => {
                let max = max.map(|max| max / MAX_OUTPUT_DIVISOR);
                return max.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(MAX_TOKENS);
            }
        };
        let tokens = estimate.exp().round() as u64;
        tokens.min(max.unwrap_or(MAX_TOKENS))
    }

    /// Returns the tokens of one event of a kind.
    pub fn event_tokens(&self, kind: &RequestKind) -> f64 {
        let output = self.kinds.get(kind);
        output.map_or(DEFAULT_EVENT_TOKENS, |output| {
            output.event_tokens.mean.exp().max(1.0)
        })
    }

    /// Returns the number of kinds in the table.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }
}

/// Prompt parts that this daemon lately sent to each server, with the time of the last use, the oldest first.
#[derive(Debug, Default)]
pub struct ReadParts {
    index: Arc<PrefixIndex>,
    servers: Mutex<HashMap<SmolStr, VecDeque<(u64, Instant)>>>,
}

impl ReadParts {
    /// Returns the index of the parts that count as read.
    pub fn index(&self) -> &Arc<PrefixIndex> {
        &self.index
    }

    /// Records that `server` reads a prompt with these prefixes.
    pub fn record(&self, server: &SmolStr, prefixes: &[u64], now: Instant) {
        if prefixes.is_empty() {
            return;
        }
        let mut servers = self.servers();
        let parts = servers.entry(server.clone()).or_default();
        parts.retain(|(part, _)| !prefixes.contains(part));
        parts.extend(prefixes.iter().map(|prefix| (*prefix, now)));
        while parts.len() > MAX_PARTS
            && let Some((part, _)) = parts.pop_front()
        {
            self.index.remove_sent(server, part);
        }
        // Only those that are kept, so that the index holds no more than the list.
        let kept = prefixes.len().min(MAX_PARTS);
        self.index
            .record_sent(server, &prefixes[prefixes.len() - kept..]);
    }

    /// Forgets the parts that were not used lately.
    pub fn expire(&self, now: Instant) {
        let mut servers = self.servers();
        servers.retain(|server, parts| {
            while parts.front().is_some_and(|(_, at)| *at + PART_AGE <= now)
                && let Some((part, _)) = parts.pop_front()
            {
                self.index.remove_sent(server, part);
            }
            if parts.is_empty() {
                self.index.forget(server);
            }
            !parts.is_empty()
        });
    }

    /// Forgets the parts of a server that restarted or is gone.
    pub fn forget(&self, server: &SmolStr) {
        self.servers().remove(server);
        self.index.forget(server);
    }

    fn servers(&self) -> MutexGuard<'_, HashMap<SmolStr, VecDeque<(u64, Instant)>>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Unit of [`encode_work`] at code 1, in microseconds.
const WORK_UNIT_US: f64 = 100.0;
/// Codes per doubling, which makes the error at most 4.5%.
const CODES_PER_DOUBLING: f64 = 8.0;

/// Encodes work in microseconds on a logarithmic scale; 0 stands for none.
pub fn encode_work(work_us: u64) -> u8 {
    if work_us == 0 {
        return 0;
    }
    let steps = (work_us as f64 / WORK_UNIT_US).log2() * CODES_PER_DOUBLING;
    1 + steps.round().clamp(0.0, 254.0) as u8
}

/// Returns the work of a code of [`encode_work`], in microseconds.
pub fn decode_work(code: u8) -> u64 {
    match code {
        0 => 0,
        code => (WORK_UNIT_US * (f64::from(code - 1) / CODES_PER_DOUBLING).exp2()) as u64,
    }
}
