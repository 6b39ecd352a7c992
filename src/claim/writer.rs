//! Appends the outbox of a claim service in batches.

use std::sync::Arc;
use std::time::Instant;

use crate::claim::service::{Shared, State, wall_clock_ms};
use crate::claim::{ClaimBatch, ClaimRecord};
use crate::error::{Error, Result, RunVerdict};
use crate::ids::{LogOffset, RecordId};
use crate::journal::{JournalClient, StreamName};

/// Appends what the outbox holds until the task is dropped.
pub(super) async fn write_stream<J: JournalClient>(shared: Arc<Shared<J>>) {
    loop {
        shared.wake.notified().await;
        tokio::time::sleep(shared.settings.append_window).await;
        while let Some(batch) = next_batch(&shared) {
            append_batch(&shared, batch).await;
            shared.logged.notify_waiters();
        }
        shared.logged.notify_waiters();
    }
}

fn next_batch<J>(shared: &Shared<J>) -> Option<ClaimBatch> {
    let mut state = shared.state();
    let records = take_records(&mut state, shared.settings.append_max);
    if records.is_empty() {
        return None;
    }
    let id = RecordId::random();
    state.in_flight = Some((id, false));
    Some(ClaimBatch {
        id,
        vm: shared.vm,
        at_ms: wall_clock_ms(),
        records,
    })
}

fn take_records(state: &mut State, max: usize) -> Vec<ClaimRecord> {
    let State {
        outbox, waiters, ..
    } = state;
    outbox.retain(|record| match record {
        ClaimRecord::Claim { id, .. } => waiters.contains_key(id),
        _ => true,
    });
    let count = outbox.len().min(max);
    outbox.drain(..count).collect()
}

async fn append_batch<J: JournalClient>(shared: &Shared<J>, batch: ClaimBatch) {
    match append(shared, &batch).await {
        Ok(_) => shared.state().in_flight = None,
        Err(error) if error.verdict() == RunVerdict::NotRun => {
            requeue(shared, batch.records);
            tokio::time::sleep(shared.settings.retry_pause).await;
        }
        Err(error) => {
            log::debug!("the append of claim batch {} is unknown: {error}", batch.id);
            let seen = await_batch(shared).await;
            if seen {
                shared.state().in_flight = None;
            } else {
                requeue(shared, batch.records);
            }
        }
    }
}

async fn append<J: JournalClient>(shared: &Shared<J>, batch: &ClaimBatch) -> Result<LogOffset> {
    let append = shared.journal.append(StreamName::Claims, batch.encode()?);
    match tokio::time::timeout(shared.settings.append_wait, append).await {
        Ok(result) => result,
        Err(_) => Err(Error::unavailable("the append has no answer in time")
            .with_verdict(RunVerdict::MayHaveRun)),
    }
}

/// Waits for a read that began now to reach the end of the stream; returns whether the batch showed.
///
/// The append can still take effect after that. The batch is then on the log twice, which the table ignores.
async fn await_batch<J>(shared: &Shared<J>) -> bool {
    let asked = Instant::now();
    let mut caught_up = shared.caught_up.subscribe();
    let mut applied = shared.applied.subscribe();
    loop {
        applied.borrow_and_update();
        let at_end = caught_up.borrow_and_update().is_some_and(|at| at > asked);
        let seen = shared.state().in_flight.is_some_and(|(_, seen)| seen);
        if seen || at_end {
            return seen;
        }
        // The senders live in `shared`, so the waits cannot fail.
        tokio::select! {
            _ = caught_up.changed() => {}
            _ = applied.changed() => {}
        }
    }
}

fn requeue<J>(shared: &Shared<J>, records: Vec<ClaimRecord>) {
    let mut state = shared.state();
    state.in_flight = None;
    state.outbox.splice(0..0, records);
}
