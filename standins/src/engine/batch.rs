//! Continuous batching: requests enter and leave the batch between steps.

use std::sync::Arc;

use bytes::Bytes;
use foxtailhill::engine::ResidentItem;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::engine::EngineState;
use crate::engine::journal::RunOutcome;
use crate::engine::options::EngineFault;
use crate::serve::lock;
use crate::tokens::AnswerScript;

/// What the batch sends to the connection of a request.
#[derive(Debug)]
pub(super) enum SequenceEvent {
    /// Bytes of the event stream.
    Data(Bytes),
    /// The connection must be closed.
    Break,
}

/// One request in the engine.
pub(super) struct Sequence {
    pub(super) id: SmolStr,
    pub(super) model: SmolStr,
    pub(super) script: AnswerScript,
    pub(super) next_index: u32,
    pub(super) max_tokens: u32,
    pub(super) priority: u8,
    /// Prompt tokens that have not been processed yet.
    pub(super) remaining_prefill: u32,
    pub(super) prefixes: Vec<u64>,
    pub(super) pinned_items: Vec<ResidentItem>,
    /// Whether the messages contain the poison marker, which crashes the engine.
    pub(super) crashes_engine: bool,
    pub(super) fault: Option<EngineFault>,
    /// Index of the run in the journal.
    pub(super) run_index: usize,
    pub(super) events: mpsc::UnboundedSender<SequenceEvent>,
    /// Whether the request keeps running after its connection has closed.
    pub(super) detached: bool,
}

/// Waiting and running requests.
#[derive(Default)]
pub(super) struct BatchQueue {
    /// In order of arrival.
    pub(super) waiting: Vec<Sequence>,
    pub(super) running: Vec<Sequence>,
}

impl BatchQueue {
    /// Removes the most urgent waiting request, the oldest among equals.
    fn pop(&mut self) -> Option<Sequence> {
        let waiting = self.waiting.iter().enumerate();
        let (position, _) =
            waiting.min_by_key(|(position, sequence)| (sequence.priority, *position))?;
        Some(self.waiting.remove(position))
    }
}

enum StepResult {
    Continues,
    Ended(RunOutcome),
    Crashed,
}

/// Runs steps until the engine stops.
pub(super) async fn run(state: Arc<EngineState>) {
    let mut step_end = Instant::now();
    loop {
        let Some(step) = begin_step(&state) else {
            state.wake.notified().await;
            step_end = Instant::now();
            continue;
        };
        // Each deadline is computed from the previous one, so that timer rounding does not accumulate.
        step_end += step.mul_f64(state.options.time_scale);
        tokio::time::sleep_until(step_end).await;
        if end_step(&state) {
            state.crash();
            return;
        }
    }
}

/// Fills the batch and returns the duration of the next step, or `None` if no request is running.
fn begin_step(state: &EngineState) -> Option<std::time::Duration> {
    let mut batch = lock(&state.batch);
    remove_cancelled(state, &mut batch);
    while batch.running.len() < state.options.slots {
        let Some(mut sequence) = batch.pop() else {
            break;
        };
        let cached = lock(&state.cache).cached_blocks(&sequence.prefixes);
        sequence.remaining_prefill = sequence
            .remaining_prefill
            .saturating_sub(state.block_tokens(cached));
        let run = &mut lock(&state.journal).runs[sequence.run_index];
        run.started = true;
        run.prefilled = sequence.remaining_prefill;
        batch.running.push(sequence);
    }
    if batch.running.is_empty() {
        return None;
    }
    let options = &state.options;
    let prefilled = prefill(state, &mut batch);
    let sequences = u32::try_from(batch.running.len()).unwrap_or(u32::MAX);
    let decode = options.base_step + options.step_per_sequence * sequences;
    Some(decode + options.prefill_per_token * prefilled)
}

fn remove_cancelled(state: &EngineState, batch: &mut BatchQueue) {
    let BatchQueue { waiting, running } = batch;
    for list in [waiting, running] {
        list.retain(|sequence| {
            let cancelled = sequence.events.is_closed() && !sequence.detached;
            if cancelled {
                state.end_run(sequence, RunOutcome::Cancelled);
            }
            !cancelled
        });
    }
}

/// Spends the prefill budget of a step on the oldest requests; returns the number of processed prompt tokens.
fn prefill(state: &EngineState, batch: &mut BatchQueue) -> u32 {
    let mut budget = state.options.prefill_tokens_per_step;
    for sequence in &mut batch.running {
        if sequence.remaining_prefill == 0 {
            continue;
        }
        let taken = sequence.remaining_prefill.min(budget);
        sequence.remaining_prefill -= taken;
        budget -= taken;
        if sequence.remaining_prefill == 0 {
            lock(&state.cache).insert(&sequence.prefixes);
        }
    }
    state.options.prefill_tokens_per_step - budget
}

/// Emits one token of each prefilled request; returns whether the engine crashed.
fn end_step(state: &EngineState) -> bool {
    let mut batch = lock(&state.batch);
    let ids: Vec<SmolStr> = batch
        .running
        .iter()
        .map(|sequence| sequence.id.clone())
        .collect();
    let mut crashed = false;
    batch.running.retain_mut(|sequence| {
        if sequence.remaining_prefill > 0 || crashed {
            return true;
        }
        match advance(sequence, &ids) {
            StepResult::Continues => {
                lock(&state.journal).runs[sequence.run_index].next_index = sequence.next_index;
                true
            }
            StepResult::Ended(outcome) => {
                state.end_run(sequence, outcome);
                false
            }
            StepResult::Crashed => {
                crashed = true;
                true
            }
        }
    });
    if crashed {
        for sequence in batch.running.drain(..) {
            state.end_run(&sequence, RunOutcome::Crashed);
        }
        for sequence in batch.waiting.drain(..) {
            state.end_run(&sequence, RunOutcome::Crashed);
        }
    }
    crashed
}

fn advance(sequence: &mut Sequence, ids: &[SmolStr]) -> StepResult {
    let index = sequence.next_index;
    if sequence.crashes_engine {
        return StepResult::Crashed;
    }
    match sequence.fault {
        Some(EngineFault::Crash { after }) if index >= after => return StepResult::Crashed,
        Some(EngineFault::Truncated { after }) if index >= after => {
            return StepResult::Ended(RunOutcome::Finished);
        }
        Some(EngineFault::Broken { after }) if index >= after => {
            let _ = sequence.events.send(SequenceEvent::Break);
            return StepResult::Ended(RunOutcome::Finished);
        }
        _ => {}
    }
    let length = sequence.script.length(sequence.max_tokens);
    if index < length {
        emit(sequence, ids);
    }
    if sequence.next_index < length {
        return StepResult::Continues;
    }
    finish(sequence, ids);
    StepResult::Ended(RunOutcome::Finished)
}

fn emit(sequence: &mut Sequence, ids: &[SmolStr]) {
    let index = sequence.next_index;
    let (id, text) = content(sequence, ids);
    let chunk = encode(&id, &sequence.model, index, Some(&text), None);
    let copies = match sequence.fault {
        Some(EngineFault::Duplicated { at }) if at == index => 2,
        Some(EngineFault::Missing { at }) if at == index => 0,
        _ => 1,
    };
    for _ in 0..copies {
        // Sending fails if the reader has disconnected; the next step removes the request.
        let _ = sequence.events.send(SequenceEvent::Data(chunk.clone()));
    }
    sequence.next_index += 1;
}

/// Returns the id and text of the next chunk; under [`EngineFault::Crossed`], those of another request.
fn content(sequence: &Sequence, ids: &[SmolStr]) -> (SmolStr, SmolStr) {
    let index = sequence.next_index;
    match sequence.fault {
        Some(EngineFault::Crossed { after }) if index >= after => {
            let mut others = ids.iter().filter(|id| **id != sequence.id);
            let id = others.next().cloned();
            let id = id.unwrap_or_else(|| SmolStr::new_static("another-request"));
            let script = AnswerScript::new(&id, "", None, b"");
            (id, script.token(index))
        }
        _ => (sequence.id.clone(), sequence.script.token(index)),
    }
}

fn finish(sequence: &Sequence, ids: &[SmolStr]) {
    let (id, _) = content(sequence, ids);
    let reason = if sequence.script.is_truncated(sequence.max_tokens) {
        "length"
    } else {
        "stop"
    };
    let chunk = encode(
        &id,
        &sequence.model,
        sequence.next_index,
        None,
        Some(reason),
    );
    let _ = sequence.events.send(SequenceEvent::Data(chunk));
    let done = Bytes::from_static(b"data: [DONE]\n\n");
    let _ = sequence.events.send(SequenceEvent::Data(done));
}

fn encode(id: &str, model: &str, index: u32, text: Option<&str>, finish: Option<&str>) -> Bytes {
    // Formats the chunk directly, as building a JSON value for each token is slower.
    let (id, model) = (json!(id), json!(model));
    let delta = text.map_or_else(
        || "{}".to_owned(),
        |text| format!("{{\"content\":{}}}", json!(text)),
    );
    let finish = json!(finish);
    format!(
        "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"model\":{model},\
         \"token_index\":{index},\"choices\":[{{\"index\":0,\"delta\":{delta},\
         \"finish_reason\":{finish}}}]}}\n\n"
    )
    .into()
}
