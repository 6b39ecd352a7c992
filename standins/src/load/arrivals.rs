//! Planned calls: generated from a scenario and a seed, or read from a trace.

use std::collections::HashMap;
use std::time::Duration;

use eyre::{WrapErr, ensure};
use foxtailhill::catalog::RequestClass;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use crate::load::scenario::{DemandStream, DemandTarget, Scenario};

/// Length of the prefix that all prompts of one team and target share, like a system prompt.
const SHARED_PROMPT_BYTES: usize = 512;
const WORDS: [&str; 12] = [
    "seat", "route", "seed", "lot", "north", "stop", "early", "late", "bean", "draft", "sum",
    "note",
];

/// Parameters with which calls are generated from a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadShape {
    pub seed: u64,
    pub length: Duration,
    /// Factor on all rates.
    pub rate_factor: f64,
    /// Additional factors on the rates of single teams.
    pub team_factors: HashMap<SmolStr, f64>,
    /// Whether [`Scenario::moves`] apply.
    pub moves: bool,
}

impl Default for LoadShape {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_secs(60),
            rate_factor: 1.0,
            team_factors: HashMap::new(),
            moves: true,
        }
    }
}

/// One call with its start time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannedCall {
    /// Start time, from the start of the load.
    pub at: Duration,
    pub team: SmolStr,
    pub target: DemandTarget,
    pub class: RequestClass,
    pub prompt_bytes: usize,
    /// Length of the answer in tokens; at most `max_tokens`.
    pub tokens: u32,
    /// Limit on the length of the answer that the request states.
    pub max_tokens: u32,
    pub deadline: Option<Duration>,
    /// Seed of the prompt's text, which makes the prompt unique.
    pub seed: u64,
}

impl PlannedCall {
    /// Returns the messages of a model call as JSON text.
    pub fn messages(&self) -> String {
        let shared = pad_with_words(
            &format!("{}{:?} ", self.team, self.target),
            SHARED_PROMPT_BYTES,
            0,
        );
        let rest = self.prompt_bytes.saturating_sub(SHARED_PROMPT_BYTES);
        let own = pad_with_words(
            &format!("<tokens={}> {:x} ", self.tokens, self.seed),
            rest,
            self.seed,
        );
        json!([
            {"role": "system", "content": shared},
            {"role": "user", "content": own},
        ])
        .to_string()
    }

    /// Returns the body of a call to a plain service.
    pub fn service_body(&self) -> String {
        let text = pad_with_words(&format!("{:x} ", self.seed), self.prompt_bytes, self.seed);
        json!({"note": text}).to_string()
    }

    /// Returns the idempotency key of a call to a plain service.
    pub fn idempotency_key(&self) -> String {
        format!("load-{:016x}", self.seed)
    }
}

/// Appends random words to `start` until the text has at least `bytes` bytes.
fn pad_with_words(start: &str, bytes: usize, seed: u64) -> String {
    let mut random = StdRng::seed_from_u64(seed);
    let mut text = start.to_owned();
    while text.len() < bytes {
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text
}

/// Generates the calls of a scenario in order of time. Equal seeds give equal calls.
pub fn plan(scenario: &Scenario, shape: &LoadShape) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    for (index, stream) in (0..).zip(&scenario.streams) {
        // Each stream has its own generator, so that changing one stream does not change the calls of the others.
        let mut random = StdRng::seed_from_u64(shape.seed ^ (index << 32));
        draw_stream(scenario, shape, stream, &mut random, &mut calls);
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// Draws an inhomogeneous Poisson process by thinning: candidates arrive at the highest rate, and each is kept with
/// the probability `rate_at / highest`.
fn draw_stream(
    scenario: &Scenario,
    shape: &LoadShape,
    stream: &DemandStream,
    random: &mut StdRng,
    calls: &mut Vec<PlannedCall>,
) {
    let highest = highest_rate(scenario, shape, stream);
    if highest <= 0.0 {
        return;
    }
    let mut at = 0.0;
    loop {
        let uniform: f64 = random.random();
        at -= (1.0 - uniform).ln() / highest;
        if at >= shape.length.as_secs_f64() {
            return;
        }
        let kept = random.random::<f64>() * highest < rate_at(scenario, shape, stream, at);
        let call = draw_call(stream, Duration::from_secs_f64(at), random);
        if kept {
            calls.push(call);
        }
    }
}

fn draw_call(stream: &DemandStream, at: Duration, random: &mut StdRng) -> PlannedCall {
    let (shortest, longest) = stream.prompt_bytes;
    let (fewest, most) = stream.tokens;
    PlannedCall {
        at,
        team: stream.team.clone(),
        target: stream.target.clone(),
        class: stream.class,
        prompt_bytes: random.random_range(shortest..=longest),
        tokens: random.random_range(fewest..=most),
        max_tokens: most,
        deadline: stream.deadline,
        seed: random.random(),
    }
}

fn base_rate(shape: &LoadShape, stream: &DemandStream) -> f64 {
    let team = shape.team_factors.get(&stream.team).copied();
    stream.rate * shape.rate_factor * team.unwrap_or(1.0)
}

fn highest_rate(scenario: &Scenario, shape: &LoadShape, stream: &DemandStream) -> f64 {
    let burst = stream.burst.map_or(1.0, |burst| burst.factor.max(1.0));
    let moves = scenario.moves.iter().map(|step| step.factor);
    let moved = if shape.moves {
        moves.fold(1.0, f64::max)
    } else {
        1.0
    };
    base_rate(shape, stream) * burst * moved
}

fn rate_at(scenario: &Scenario, shape: &LoadShape, stream: &DemandStream, at: f64) -> f64 {
    let mut rate = base_rate(shape, stream);
    if let Some(burst) = stream.burst {
        let phase = at % burst.period.as_secs_f64();
        if phase < burst.length.as_secs_f64() {
            rate *= burst.factor;
        }
    }
    let DemandTarget::Model { model, .. } = &stream.target else {
        return rate;
    };
    if !shape.moves || stream.class == RequestClass::Overnight {
        return rate;
    }
    let share = at / shape.length.as_secs_f64();
    let mut due = scenario
        .moves
        .iter()
        .filter(|step| step.at <= share && step.model == *model);
    rate * due.next_back().map_or(1.0, |step| step.factor)
}

/// Reads a trace: one [`PlannedCall`] as JSON on each line.
pub fn read_trace(text: &str) -> eyre::Result<Vec<PlannedCall>> {
    let mut calls: Vec<PlannedCall> = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        if line.trim().is_empty() {
            continue;
        }
        let call: PlannedCall =
            serde_json::from_str(line).wrap_err_with(|| format!("line {number} of the trace"))?;
        let ordered = calls.last().is_none_or(|last| last.at <= call.at);
        ensure!(
            ordered,
            "line {number} of the trace is earlier than the one before"
        );
        calls.push(call);
    }
    Ok(calls)
}
