//! The planner's lease, which one daemon of the fleet holds at a time.
//!
//! The lease is one record in the store, written only if nobody has written since the writer read it. Its holder renews
//! it and gives orders only for a short time after the renewal was sent. Another daemon takes it once the record has
//! stood unchanged for that time and for the longest delay of an order. A clock that stands still while a VM is
//! suspended is no proof, so the holder also looks at the time of day.

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use smol_str::SmolStr;
use tokio::sync::watch;

use crate::error::Result;
use crate::ids::{LogOffset, VmId};
use crate::kernel::TaskGroup;

/// Time between two renewals, and between two looks of the other candidates.
const RENEW_PERIOD: Duration = Duration::from_millis(900);
/// Time for which a renewal lets its holder give orders, counted from before it was sent: two renewals may be lost.
const LEASE_DURATION: Duration = Duration::from_millis(2_500);
/// Added to the time that others wait: clocks of VMs run at slightly different speed.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);
/// Longest wait for the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after the start in which daemons settle who reads the store; until then the lease is not taken, so that it goes
/// to one of those, the largest VMs.
const STARTUP_DELAY: Duration = Duration::from_millis(1_000);
/// Difference between the clocks by which a suspended VM is recognised.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(300);

/// The record of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the holder's VM.
    pub holder: SmolStr,
    /// Incarnation of the holder.
    pub vm: VmId,
    /// Grows with each holder.
    pub fence: u64,
    /// Whether the holder has given the lease up.
    pub released: bool,
}

/// The newest record of the lease, and where the next one would stand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseState {
    pub record: Option<LeaseRecord>,
    pub next: LogOffset,
}

/// The lease in the store.
pub trait LeaseStore: Send + Sync + 'static {
    /// Reads the newest record.
    fn read_lease(&self) -> impl Future<Output = Result<LeaseState>> + Send;

    /// Writes a record if the next one stands at `at`. Returns whether it was written; after an error it may be
    /// written later, if nobody else has written by then.
    fn write_lease(
        &self,
        at: LogOffset,
        record: &LeaseRecord,
    ) -> impl Future<Output = Result<bool>> + Send;
}

/// What a candidate does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// The lease is another's.
    Wait,
    /// Write a record at this offset: a renewal, or the own beginning.
    Write { at: LogOffset, record: LeaseRecord },
}

/// What one daemon knows of the lease; pure, with the time as an argument.
#[derive(Debug)]
pub struct LeaseCandidate {
    name: SmolStr,
    vm: VmId,
    /// Longest time for which orders of two holders may not mix.
    order_delay: Duration,
    /// Newest state, and when it was first seen.
    seen: Option<(LeaseState, Instant)>,
    /// Time before the newest confirmed write was sent.
    confirmed_at: Option<Instant>,
    /// Whether a write may have taken effect that was not confirmed.
    write_unconfirmed: bool,
}

impl LeaseCandidate {
    /// Creates the candidate of a daemon that has not read the lease yet.
    pub fn new(name: SmolStr, vm: VmId, order_delay: Duration) -> Self {
        Self {
            name,
            vm,
            order_delay,
            seen: None,
            confirmed_at: None,
            write_unconfirmed: false,
        }
    }

    /// Takes in a state that was asked for at `asked_at`.
    pub fn observe(&mut self, state: LeaseState, asked_at: Instant, now: Instant) {
        self.write_unconfirmed = false;
        if self.seen.as_ref().is_some_and(|(known, _)| *known == state) {
            return;
        }
        let own = state
            .record
            .as_ref()
            .is_some_and(|record| record.vm == self.vm);
        if !own {
            self.confirmed_at = None;
        }
        // A record may have stood for any time before it was first read.
        let since = match own {
            true => asked_at,
            false => now,
        };
        self.seen = Some((state, since));
    }

    /// Returns what to do at `now`.
    pub fn next_step(&self, now: Instant) -> LeaseStep {
        let Some((state, since)) = &self.seen else {
            return LeaseStep::Wait;
        };
        let fence = match &state.record {
            None => 1,
            Some(record) if record.vm == self.vm && !record.released => record.fence,
            // A former process of this VM is gone, and orders of one VM need no order among them.
            Some(record) if record.holder == self.name => record.fence + 1,
            Some(record) => {
                let life = match record.released {
                    true => Duration::ZERO,
                    false => LEASE_DURATION + CLOCK_MARGIN,
                };
                if *since + life + self.order_delay > now {
                    return LeaseStep::Wait;
                }
                record.fence + 1
            }
        };
        let record = LeaseRecord {
            holder: self.name.clone(),
            vm: self.vm,
            fence,
            released: false,
        };
        LeaseStep::Write {
            at: state.next,
            record,
        }
    }

    /// Notes that `record` was written at `at`, by a call begun at `sent_at`.
    pub fn confirm_write(&mut self, at: LogOffset, record: LeaseRecord, sent_at: Instant) {
        self.confirmed_at = (!record.released).then_some(sent_at);
        let state = LeaseState {
            record: Some(record),
            next: at.next(),
        };
        self.seen = Some((state, sent_at));
    }

    /// Forgets confirmations, as after a pause of unknown length.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Notes that a write may or may not have taken effect: where the next one stands is unknown.
    pub fn note_unconfirmed_write(&mut self) {
        self.write_unconfirmed = true;
    }

    /// Returns whether the record must be read before anything can be written.
    pub fn needs_read(&self, now: Instant) -> bool {
        self.write_unconfirmed || self.fence(now).is_none()
    }

    /// Returns the fencing number if orders may be given at `now`.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let ends = self.confirmed_at? + LEASE_DURATION;
        let (state, _) = self.seen.as_ref()?;
        let record = state.record.as_ref()?;
        (now < ends).then_some(record.fence)
    }

    /// Returns whether the newest record names this VM.
    pub fn names_own_vm(&self) -> bool {
        let record = self
            .seen
            .as_ref()
            .and_then(|(state, _)| state.record.as_ref());
        record.is_some_and(|record| record.holder == self.name)
    }
}

/// Takes and renews the lease. Share it in an [`Arc`].
pub struct LeaseManager {
    candidate: Mutex<LeaseCandidate>,
    /// The two clocks at the same moment, to notice a suspension.
    clocks: Mutex<(Instant, SystemTime)>,
}

impl LeaseManager {
    /// Runs the candidate in a task of `group` while `eligible` is true or the lease is this VM's.
    pub fn spawn<L: LeaseStore>(
        group: &TaskGroup,
        store: Arc<L>,
        candidate: LeaseCandidate,
        eligible: watch::Receiver<bool>,
    ) -> Arc<Self> {
        let manager = Arc::new(Self {
            candidate: Mutex::new(candidate),
            clocks: Mutex::new((Instant::now(), SystemTime::now())),
        });
        group.spawn_cancellable(run(manager.clone(), store, eligible));
        manager
    }

    /// Returns the fencing number if this daemon may give orders now.
    pub fn fence(&self) -> Option<u64> {
        if self.was_suspended() {
            log::warn!("this VM was suspended; the planner's lease must be confirmed again");
            self.with(LeaseCandidate::clear_confirmation);
        }
        self.with(|candidate| candidate.fence(Instant::now()))
    }

    /// Compares how far the two clocks went since the last look. A step of the time of day looks the same and costs
    /// a renewal only.
    fn was_suspended(&self) -> bool {
        let mut clocks = self.clocks.lock().unwrap_or_else(PoisonError::into_inner);
        let (now, today) = (Instant::now(), SystemTime::now());
        let (before, then) = std::mem::replace(&mut *clocks, (now, today));
        let steady = now.saturating_duration_since(before);
        match today.duration_since(then) {
            Ok(passed) => passed > steady + SUSPEND_THRESHOLD,
            Err(_) => false,
        }
    }

    /// Gives the lease up, so that another daemon can take it sooner.
    pub async fn release<L: LeaseStore>(&self, store: &L) {
        let now = Instant::now();
        let LeaseStep::Write { at, mut record } = self.with(|candidate| candidate.next_step(now))
        else {
            return;
        };
        if self.with(|candidate| candidate.fence(now)).is_none() {
            return;
        }
        record.released = true;
        self.with(LeaseCandidate::clear_confirmation);
        match tokio::time::timeout(STORE_TIMEOUT, store.write_lease(at, &record)).await {
            Ok(Ok(true)) => log::info!("the planner's lease is released"),
            _ => log::info!("the planner's lease was not released and will end by itself"),
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut LeaseCandidate) -> T) -> T {
        change(
            &mut self
                .candidate
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}

async fn run<L: LeaseStore>(
    manager: Arc<LeaseManager>,
    store: Arc<L>,
    mut eligible: watch::Receiver<bool>,
) {
    let started = Instant::now();
    let mut held = None;
    let mut known = false;
    loop {
        if known
            && !manager.with(|candidate| candidate.names_own_vm())
            && !*eligible.borrow_and_update()
        {
            if eligible.changed().await.is_err() {
                return;
            }
            continue;
        }
        let may_take = started.elapsed() >= STARTUP_DELAY;
        known |= renew(&manager, &*store, may_take).await;
        let fence = manager.with(|candidate| candidate.fence(Instant::now()));
        if fence != held {
            log::info!("planner's lease: {fence:?} after {held:?}");
            held = fence;
        }
        tokio::time::sleep(RENEW_PERIOD).await;
    }
}

/// Reads the lease, unless it is this daemon's, and writes it if it may; `may_take` tells whether it may be taken from
/// another VM. Returns whether the lease is known.
async fn renew<L: LeaseStore>(manager: &LeaseManager, store: &L, may_take: bool) -> bool {
    let asked_at = Instant::now();
    if manager.with(|candidate| candidate.needs_read(asked_at)) {
        match tokio::time::timeout(STORE_TIMEOUT, store.read_lease()).await {
            Ok(Ok(state)) => {
                manager.with(|candidate| candidate.observe(state, asked_at, Instant::now()))
            }
            Ok(Err(error)) => {
                log::debug!("the planner's lease cannot be read: {error}");
                return false;
            }
            Err(_) => return false,
        }
    }
    let sent_at = Instant::now();
    let (own, next_step) =
        manager.with(|candidate| (candidate.names_own_vm(), candidate.next_step(sent_at)));
    let LeaseStep::Write { at, record } = next_step else {
        return true;
    };
    if !own && !may_take {
        return true;
    }
    match tokio::time::timeout(STORE_TIMEOUT, store.write_lease(at, &record)).await {
        Ok(Ok(true)) => manager.with(|candidate| candidate.confirm_write(at, record, sent_at)),
        // Somebody else has written, or an earlier write of this daemon took effect late.
        Ok(Ok(false)) => manager.with(LeaseCandidate::clear_confirmation),
        // The write may have taken effect; the next read tells.
        Ok(Err(error)) => {
            log::debug!("the planner's lease was not written: {error}");
            manager.with(|candidate| candidate.note_unconfirmed_write());
        }
        Err(_) => manager.with(|candidate| candidate.note_unconfirmed_write()),
    }
    true
}
