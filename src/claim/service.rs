//! Appends claims, reads them back and answers the dispatcher.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use tokio::sync::{Notify, oneshot, watch};

use crate::claim::writer;
use crate::claim::{
    ClaimBatch, ClaimChange, ClaimKey, ClaimOutcome, ClaimRecord, ClaimStore, ClaimTable,
    ClaimVerdict, KeyState, MAX_RECORDED_BODY, check_key_age, key_time_ms,
};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::ids::{KeyDigest, LogOffset, RecordId, VmId};
use crate::journal::{JournalClient, ReadBatch, StreamName};
use crate::kernel::TaskGroup;

/// Records per read of the stream.
const READ_RECORDS: usize = 512;
/// Time beyond its wait after which a read is abandoned.
const READ_SLACK: Duration = Duration::from_secs(2);

/// Settings of a [`ClaimService`].
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// How long a key is remembered; at most the log's retention.
    pub memory: Duration,
    /// How long records are collected for one append.
    pub append_window: Duration,
    /// Records per append.
    pub append_max: usize,
    /// Time after which the result of an append without an answer counts as unknown.
    pub append_wait: Duration,
    /// Longest wait for a claim to appear on the stream.
    pub claim_wait: Duration,
    /// Longest wait for the outcome of a claim that another submission holds.
    pub outcome_wait: Duration,
    /// Longest wait of one read; a lost append answer is resolved after at most one.
    pub read_wait: Duration,
    /// Pause after a failed read or append.
    pub retry_pause: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(24 * 3600),
            append_window: Duration::from_millis(3),
            append_max: 64,
            append_wait: Duration::from_secs(2),
            claim_wait: Duration::from_secs(3),
            outcome_wait: Duration::from_secs(3),
            read_wait: Duration::from_millis(250),
            retry_pause: Duration::from_millis(100),
        }
    }
}

/// State of a [`ClaimService`] for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimDump {
    /// Next offset of the stream to apply.
    pub next: LogOffset,
    /// Keys remembered.
    pub keys: usize,
    /// Claims that wait for their verdict.
    pub waiting: usize,
    /// Granted claims without a logged outcome or release.
    pub granted: usize,
    /// Records that the log does not have yet.
    pub unlogged: usize,
}

pub(super) struct State {
    pub(super) table: ClaimTable,
    pub(super) waiters: HashMap<RecordId, oneshot::Sender<ClaimResult>>,
    granted: HashMap<RecordId, ClaimKey>,
    pub(super) outbox: Vec<ClaimRecord>,
    /// Batch whose append has no answer yet, and whether it has appeared on the stream.
    pub(super) in_flight: Option<(RecordId, bool)>,
}

/// Whether a claim is the first of its key in offset order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimResult {
    Won,
    Lost,
}

pub(super) struct Shared<J> {
    pub(super) journal: Arc<J>,
    pub(super) vm: VmId,
    pub(super) settings: ClaimSettings,
    state: Mutex<State>,
    /// Next offset to apply.
    pub(super) applied: watch::Sender<LogOffset>,
    /// Time before the last read that reached the end of the stream.
    pub(super) caught_up: watch::Sender<Option<Instant>>,
    pub(super) wake: Notify,
    pub(super) logged: Notify,
}

impl<J> Shared<J> {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle to the tasks that claim non-repeatable requests for one daemon. Clones share them.
pub struct ClaimService<J> {
    shared: Arc<Shared<J>>,
}

impl<J> Clone for ClaimService<J> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// A claim whose verdict is awaited. Dropping it early withdraws the claim.
struct PendingClaim<'a, J> {
    shared: &'a Shared<J>,
    id: RecordId,
    receiver: oneshot::Receiver<ClaimResult>,
    answered: bool,
}

impl<J> Drop for PendingClaim<'_, J> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let mut state = self.shared.state();
        let withdrawn = state.waiters.remove(&self.id).is_some();
        if !withdrawn && self.receiver.try_recv() == Ok(ClaimResult::Won) {
            state.release(self.id);
            self.shared.wake.notify_one();
        }
        state.drop_withdrawn();
    }
}

impl State {
    fn release(&mut self, id: RecordId) {
        if let Some(key) = self.granted.remove(&id) {
            self.outbox.push(ClaimRecord::Release { claim: id, key });
        }
    }

    /// Removes claims that nobody waits for from the outbox, once they are the larger part of it.
    fn drop_withdrawn(&mut self) {
        if self.outbox.len() <= 2 * self.waiters.len() + 64 {
            return;
        }
        let Self {
            outbox, waiters, ..
        } = self;
        outbox.retain(|record| match record {
            ClaimRecord::Claim { id, .. } => waiters.contains_key(id),
            _ => true,
        });
    }

    /// Applies one batch; returns whether the outbox grew.
    fn apply(&mut self, offset: LogOffset, batch: &ClaimBatch, vm: VmId) -> bool {
        if let Some((id, seen)) = &mut self.in_flight
            && *id == batch.id
        {
            *seen = true;
        }
        let pending = self.outbox.len();
        for change in self.table.apply(offset, batch) {
            match change {
                ClaimChange::Won {
                    id,
                    vm: claimant,
                    key,
                } if claimant == vm => self.grant(id, key),
                ClaimChange::Lost { id, vm: claimant } if claimant == vm => {
                    if let Some(waiter) = self.waiters.remove(&id) {
                        // A waiter that gave up has nothing to release: the claim holds no key.
                        let _ = waiter.send(ClaimResult::Lost);
                    }
                }
                _ => {}
            }
        }
        self.outbox.len() > pending
    }

    /// Grants an own claim to its waiter, or releases it if the wait has ended.
    fn grant(&mut self, id: RecordId, key: ClaimKey) {
        self.granted.insert(id, key);
        let granted = self
            .waiters
            .remove(&id)
            .is_some_and(|waiter| waiter.send(ClaimResult::Won).is_ok());
        if !granted {
            self.release(id);
        }
    }
}

impl<J: JournalClient> ClaimService<J> {
    /// Starts the reader and the writer of the `claims` stream in `group`.
    pub fn spawn(journal: Arc<J>, vm: VmId, settings: ClaimSettings, group: &TaskGroup) -> Self {
        let state = State {
            table: ClaimTable::new(settings.memory),
            waiters: HashMap::new(),
            granted: HashMap::new(),
            outbox: Vec::new(),
            in_flight: None,
        };
        let shared = Arc::new(Shared {
            journal,
            vm,
            settings,
            state: Mutex::new(state),
            applied: watch::channel(LogOffset(0)).0,
            caught_up: watch::channel(None).0,
            wake: Notify::new(),
            logged: Notify::new(),
        });
        group.spawn_essential("claims-reader", read_stream(shared.clone()));
        group.spawn_essential("claims-writer", writer::write_stream(shared.clone()));
        Self { shared }
    }

    /// Returns the time before the last read that reached the end of the stream.
    pub fn caught_up_at(&self) -> Option<Instant> {
        *self.shared.caught_up.borrow()
    }

    /// Waits up to `wait` until all outcomes and releases are on the log. Returns how many records are not.
    pub async fn drain(&self, wait: Duration) -> usize {
        let drained = async {
            loop {
                let logged = self.shared.logged.notified();
                if self.unlogged() == 0 {
                    return;
                }
                logged.await;
            }
        };
        // The count below reports what is left after a timeout.
        let _ = tokio::time::timeout(wait, drained).await;
        self.unlogged()
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> ClaimDump {
        let state = self.shared.state();
        ClaimDump {
            next: state.table.next(),
            keys: state.table.len(),
            waiting: state.waiters.len(),
            granted: state.granted.len(),
            unlogged: state.outbox.len(),
        }
    }

    fn unlogged(&self) -> usize {
        let state = self.shared.state();
        state.outbox.len() + usize::from(state.in_flight.is_some())
    }

    /// Appends a claim and waits until it appears on the stream.
    async fn submit(
        &self,
        key: &ClaimKey,
        body: KeyDigest,
        deadline: Instant,
    ) -> Result<(RecordId, ClaimResult)> {
        let mut pending = self.enqueue(key, body);
        let answer = tokio::time::timeout_at(deadline.into(), &mut pending.receiver).await;
        // If this process was paused, the answer may arrive long after the deadline, when others may hold the key.
        match answer {
            Ok(Ok(result)) if Instant::now() < deadline => {
                pending.answered = true;
                Ok((pending.id, result))
            }
            Ok(Ok(result)) => {
                pending.answered = true;
                if result == ClaimResult::Won {
                    self.release(pending.id);
                }
                Err(claim_timeout())
            }
            _ => Err(claim_timeout()),
        }
    }

    fn enqueue(&self, key: &ClaimKey, body: KeyDigest) -> PendingClaim<'_, J> {
        let id = RecordId::random();
        let (sender, receiver) = oneshot::channel();
        let mut state = self.shared.state();
        state.waiters.insert(id, sender);
        state.outbox.push(ClaimRecord::Claim {
            id,
            key: key.clone(),
            body,
        });
        self.shared.wake.notify_one();
        PendingClaim {
            shared: &self.shared,
            id,
            receiver,
            answered: false,
        }
    }
}

impl<J: JournalClient> ClaimStore for ClaimService<J> {
    fn check_key(&self, key: &str) -> Result<()> {
        if key_time_ms(key).is_none() {
            return Ok(());
        }
        if self.caught_up_at().is_none() {
            return Err(Error::unavailable("the claims have not been replayed yet"));
        }
        let since_ms = self.shared.state().table.complete_since_ms();
        check_key_age(key, self.shared.settings.memory, wall_clock_ms(), since_ms)
    }

    async fn claim(&self, key: ClaimKey, body: KeyDigest) -> Result<ClaimVerdict> {
        let claim_deadline = Instant::now() + self.shared.settings.claim_wait;
        let mut outcome_deadline = None;
        let mut applied = self.shared.applied.subscribe();
        loop {
            applied.borrow_and_update();
            let key_state = self.shared.state().table.key_state(&key);
            match key_state {
                KeyState::Settled {
                    body: first,
                    outcome,
                } => {
                    check_body(first, body)?;
                    return Ok(ClaimVerdict::Recorded(outcome));
                }
                KeyState::Open { body: first, .. } => {
                    check_body(first, body)?;
                    let deadline = *outcome_deadline
                        .get_or_insert_with(|| Instant::now() + self.shared.settings.outcome_wait);
                    let changed = tokio::time::timeout_at(deadline.into(), applied.changed()).await;
                    if !matches!(changed, Ok(Ok(()))) {
                        return Err(open_claim_error());
                    }
                }
                KeyState::Free => {
                    let (id, result) = self.submit(&key, body, claim_deadline).await?;
                    if result == ClaimResult::Won {
                        return Ok(ClaimVerdict::Granted(id));
                    }
                }
            }
        }
    }

    fn record(&self, claim: RecordId, mut outcome: ClaimOutcome) {
        if outcome
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_RECORDED_BODY)
        {
            outcome.body = None;
        }
        let mut state = self.shared.state();
        if let Some(key) = state.granted.remove(&claim) {
            state.outbox.push(ClaimRecord::Outcome {
                claim,
                key,
                outcome,
            });
            self.shared.wake.notify_one();
        }
    }

    fn release(&self, claim: RecordId) {
        self.shared.state().release(claim);
        self.shared.wake.notify_one();
    }
}

fn check_body(first: KeyDigest, body: KeyDigest) -> Result<()> {
    if first == body {
        return Ok(());
    }
    Err(Error::invalid(
        "the idempotency key was used before with another body",
    ))
}

fn claim_timeout() -> Error {
    Error::unavailable("the claim did not appear on the log in time")
}

fn open_claim_error() -> Error {
    Error::new(
        Category::Conflict,
        "another submission of this idempotency key has no outcome yet",
    )
    .with_verdict(RunVerdict::MayHaveRun)
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub(super) fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
}

async fn read_stream<J: JournalClient>(shared: Arc<Shared<J>>) {
    let wait = shared.settings.read_wait;
    loop {
        let next = shared.state().table.next();
        let started = Instant::now();
        let read = shared
            .journal
            .read(StreamName::Claims, next, READ_RECORDS, wait);
        match tokio::time::timeout(wait + READ_SLACK, read).await {
            Ok(Ok(batch)) => apply_read(&shared, &batch, started),
            failure => {
                if let Ok(Err(error)) = failure {
                    log::debug!("claims cannot be read from offset {next}: {error}");
                }
                tokio::time::sleep(shared.settings.retry_pause).await;
            }
        }
    }
}

fn apply_read<J>(shared: &Shared<J>, read: &ReadBatch, started: Instant) {
    let mut state = shared.state();
    let mut grew = false;
    for record in &read.records {
        match ClaimBatch::decode(&record.data) {
            Ok(batch) => grew |= state.apply(record.offset, &batch, shared.vm),
            Err(error) => {
                log::error!(
                    "the claims record at offset {} is skipped: {error}",
                    record.offset
                );
                state.table.skip(record.offset);
            }
        }
    }
    let next = state.table.next();
    drop(state);
    if grew {
        shared.wake.notify_one();
    }
    if !read.records.is_empty() {
        shared.applied.send_replace(next);
    }
    if next < read.bounds.next {
        return;
    }
    if next > read.bounds.next {
        log::error!(
            "the claims stream ends at offset {}, before offset {next} that was read earlier",
            read.bounds.next
        );
        return;
    }
    shared.caught_up.send_replace(Some(started));
}
