//! What the routing learns from an exchange: the pace of the server, the output of the request's kind, the prompt parts
//! that the server has read, and the work that remains.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::dispatch::ServerSlot;
use crate::relay::config::CallKind;
use crate::relay::exchange::{ExchangeContext, RelayExchange};
use crate::relay::format::{RelayFormat, RequestMetadata};
use crate::relay::upstream::UpstreamAnswer;
use crate::routing::{
    OutputTable, RequestCost, RequestKind, RequestShape, TimingKey, TimingKind, part_prefixes,
    request_cost,
};

/// Events after which the mean gap between them is recorded, so that a long stream shows a change before its end.
const GAP_EVENTS: u32 = 8;
/// Time to the first event, or of a call, that does not depend on the prompt, on a server of pace 1.
const BASE_TIME: Duration = Duration::from_millis(10);
/// Wait for a slow caller after which the gap to the next event is not recorded: the server may have waited as well.
const MAX_CALLER_WAIT: Duration = Duration::from_millis(2);
/// Part of the output's work that is counted until the end of a stream that is longer than expected.
const MIN_REMAINING_DIVISOR: f64 = 8.0;

/// Estimated work of a request.
#[derive(Clone, Debug)]
pub(in crate::relay) struct RequestWork {
    pub(in crate::relay) kind: RequestKind,
    pub(in crate::relay) cost: RequestCost,
    /// Hashes of the prefixes of the prompt that end with each shared part.
    pub(in crate::relay) prefixes: Vec<u64>,
    /// Expected number of events if the answer is a stream.
    expected_events: f64,
    /// Hash of service and route.
    route: u64,
}

/// Output by kind of request, shared by all exchanges.
#[derive(Debug, Default)]
pub(in crate::relay) struct OutputMemory(Mutex<OutputTable>);

impl OutputMemory {
    fn table(&self) -> MutexGuard<'_, OutputTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Times of the current attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptTiming {
    is_success: bool,
    /// Whether the server has sent an event.
    has_begun: bool,
    /// Time of the event from which gaps are counted.
    gap_start: Option<Instant>,
    /// Gaps since then.
    gaps: u32,
    /// Time of the latest event.
    latest: Option<Instant>,
    /// Work for the prompt on this server, in microseconds.
    prompt_us: u32,
}

impl<F> ExchangeContext<F> {
    /// Estimates the work of a request.
    pub(in crate::relay) fn estimate_work(
        &self,
        service: &str,
        route: &SmolStr,
        metadata: &RequestMetadata,
        now: Instant,
    ) -> RequestWork {
        let kind = RequestKind {
            route: route.clone(),
            model: metadata.model.clone(),
        };
        let (prompt, max_output) = metadata.tokens.unzip();
        let (output, event_tokens) = {
            let table = self.outputs.table();
            let output = table.expected(&kind, metadata.length_hint, max_output, now);
            (output, table.event_tokens(&kind))
        };
        // The last part belongs to the request or its session.
        let shared = metadata
            .prompt
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let ids: Vec<_> = shared.iter().map(|part| part.id).collect();
        let tokens: Vec<_> = shared.iter().map(|part| part.tokens).collect();
        let model = metadata.model.as_deref().unwrap_or_default();
        RequestWork {
            cost: request_cost(RequestShape {
                prompt: prompt.unwrap_or_default(),
                parts: &tokens,
                output,
            }),
            prefixes: part_prefixes(model, metadata.adapter.as_deref(), &ids),
            expected_events: output as f64 / event_tokens,
            route: xxh3_64_with_seed(route.as_bytes(), xxh3_64(service.as_bytes())),
            kind,
        }
    }
}

impl<F: RelayFormat> RelayExchange<F> {
    /// Notes that a server has accepted the request: it reads the prompt.
    pub(super) fn note_accepted(&mut self, slot: &ServerSlot, answer: &UpstreamAnswer) {
        let work = &self.request.work;
        let parts = self.context.fleet.read_parts();
        let now = Instant::now();
        parts.record(&slot.name, &work.prefixes, now);
        self.context.fleet.count_choice(&slot.name, now);
        self.timing = AttemptTiming {
            is_success: answer.head.status.is_success(),
            prompt_us: slot
                .work()
                .remaining_us()
                .saturating_sub(work.cost.output_us),
            ..AttemptTiming::default()
        };
    }

    /// Notes that the server has sent `count` events.
    pub(super) fn note_events(&mut self, slot: &ServerSlot, count: u32, now: Instant) {
        if count == 0 {
            return;
        }
        let timing = &mut self.timing;
        timing.latest = Some(now);
        match timing.gap_start {
            None => timing.gap_start = Some(now),
            Some(_) => timing.gaps += count,
        }
        let gaps = timing.gaps;
        let is_first = !std::mem::replace(&mut timing.has_begun, true);
        if is_first {
            let time = now.saturating_duration_since(self.sent);
            self.record_timing(slot, TimingKind::FirstEvent, time, now);
        }
        if gaps >= GAP_EVENTS {
            self.record_gaps(slot, now);
        }
        slot.work().lower_remaining(self.remaining_us());
    }

    /// Notes that the caller took events after `wait`.
    pub(super) fn note_caller_wait(&mut self, wait: Duration) {
        if wait > MAX_CALLER_WAIT {
            self.timing.gap_start = None;
            self.timing.gaps = 0;
        }
    }

    /// Notes the end of a whole answer.
    pub(super) fn note_end(&mut self, slot: &ServerSlot, now: Instant) {
        if !self.timing.is_success {
            return;
        }
        if self.request.route.kind != CallKind::Streaming {
            let time = now.saturating_duration_since(self.sent);
            self.record_timing(slot, TimingKind::Call, time, now);
            return;
        }
        // A resumed stream has only a part of the events.
        if self.attempts == 1 && self.request.metadata.last_event.is_none() {
            let hint = self.request.metadata.length_hint;
            let events = self.attempt_events;
            let mut table = self.context.outputs.table();
            table.record(&self.request.work.kind, events, hint, now);
        }
    }

    /// Records the gaps up to the latest event of a stream that has ended, as its body may end later.
    pub(super) fn record_last_gaps(&mut self, slot: &ServerSlot) {
        if let Some(latest) = self.timing.latest {
            self.record_gaps(slot, latest);
        }
    }

    /// Records the mean of the gaps that were counted up to `now`.
    fn record_gaps(&mut self, slot: &ServerSlot, now: Instant) {
        let gaps = std::mem::take(&mut self.timing.gaps);
        let Some(start) = self.timing.gap_start.replace(now) else {
            return;
        };
        if gaps > 0 {
            let gap = now.saturating_duration_since(start) / gaps;
            self.record_timing(slot, TimingKind::Gap, gap, now);
        }
    }

    fn record_timing(&self, slot: &ServerSlot, kind: TimingKind, time: Duration, now: Instant) {
        let work = match kind {
            // The size of the prompt does not matter any more.
            TimingKind::Gap => BASE_TIME,
            TimingKind::FirstEvent | TimingKind::Call => {
                BASE_TIME + Duration::from_micros(self.timing.prompt_us.into())
            }
        };
        let key = TimingKey {
            kind,
            route: self.request.work.route,
        };
        let fleet = &self.context.fleet;
        fleet.record_timing(&slot.name, key, time, work, now);
    }

    /// Returns the work that remains once the prompt is read, in microseconds.
    fn remaining_us(&self) -> u32 {
        let work = &self.request.work;
        let done = f64::from(self.attempt_events) / work.expected_events.max(1.0);
        let left = (1.0 - done).max(1.0 / MIN_REMAINING_DIVISOR);
        (f64::from(work.cost.output_us) * left) as u32
    }
}
