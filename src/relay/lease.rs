//! The planner's lease, which one daemon of the fleet holds at a time.
//!
//! The lease is one record in the store, written only if nobody has written since the writer read it. The holder renews
//! it and gives orders only for a short time after the renewal was sent. Another daemon takes the lease once the record
//! has been unchanged for that time plus the longest delay of an order. The monotonic clock may stop while a VM is
//! suspended, so the holder also checks the wall clock.
//!
//! The store may lose its newest records and give their offsets out again; its era then rises. A fencing number consists
//! of the era and the offset at which its holder acquired the lease, so it is never given out twice. A record of an older
//! era permits nobody to give orders: the lost records may have named another holder. Only a daemon whose own confirmed
//! write excludes that continues at once, with a new number; all others wait as for a silent holder. The same holds for a
//! store without a record: a candidate cannot know that the store has not lost one.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use smol_str::SmolStr;
use tokio::sync::watch;

use crate::error::{Error, Result};
use crate::ids::{LogOffset, StoreEra, VmId};
use crate::kernel::TaskGroup;

/// Time between renewals, and between reads by the other candidates.
const RENEW_PERIOD: Duration = Duration::from_millis(900);
/// Time for which a renewal is valid, counted from before it was sent. Two consecutive renewals may be lost.
const LEASE_DURATION: Duration = Duration::from_millis(2_500);
/// Extra time that other candidates wait, as the clocks of VMs run at slightly different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after the start during which daemons elect the readers of the store. The lease is not taken from another VM
/// until then, so that it goes to one of the readers, which are the largest VMs.
const STARTUP_DELAY: Duration = Duration::from_millis(1_000);
/// Lead of the wall clock over the monotonic clock beyond which the VM counts as suspended.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(300);

/// Fencing numbers per era of the store. For 2^21 eras, numbers stay within 2^53, up to which JSON parsers keep integers
/// exact.
const FENCES_PER_ERA: u64 = 1 << 32;

/// The record of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the holder's VM.
    pub holder: SmolStr,
    /// Random id of the holder's run of the daemon.
    pub vm: VmId,
    /// Fencing number: the era of the store and the offset at which the holder acquired the lease.
    pub fence: u64,
    /// Whether the holder has given the lease up.
    pub released: bool,
}

impl LeaseRecord {
    /// Returns what stands for a record that cannot be read. Its writer may have replaced that of a holder, so that the
    /// lease is taken over only after the time of a silent one.
    pub fn of_unknown_holder() -> Self {
        Self {
            holder: SmolStr::default(),
            vm: VmId::default(),
            fence: 0,
            released: false,
        }
    }

    /// Checks a record that the store has at `offset` in `era`.
    ///
    /// # Errors
    ///
    /// `Invalid` if it names no holder, or if its fencing number is higher than any that a daemon can have acquired by then.
    pub fn check(&self, offset: LogOffset, era: StoreEra) -> Result<()> {
        let max_fence = fence_at(offset, era);
        if self.holder.is_empty() || self.fence > max_fence {
            return Err(Error::invalid(format!(
                "holder `{}` or fencing number {} above {max_fence}",
                self.holder, self.fence
            )));
        }
        Ok(())
    }

    /// Returns the era of the store in which the holder acquired the lease.
    fn era(&self) -> StoreEra {
        StoreEra(self.fence / FENCES_PER_ERA)
    }
}

/// The newest record of the lease and the offset of the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseState {
    pub record: Option<LeaseRecord>,
    pub next: LogOffset,
    /// Era of the store that answered.
    pub era: StoreEra,
}

impl LeaseState {
    /// Returns the newest record unless it is of an older era.
    fn current_record(&self) -> Option<&LeaseRecord> {
        let record = self.record.as_ref();
        record.filter(|record| record.era() >= self.era)
    }

    /// Returns the fencing number of a holder that acquires the lease with the next record.
    fn next_fence(&self) -> u64 {
        let newest = self.record.as_ref().map_or(0, |record| record.fence);
        fence_at(self.next, self.era).max(newest.saturating_add(1))
    }
}

/// Returns the fencing number of a holder that acquires the lease with the record at `offset`.
fn fence_at(offset: LogOffset, era: StoreEra) -> u64 {
    let LogOffset(next) = offset.next();
    era.0.saturating_mul(FENCES_PER_ERA).saturating_add(next)
}

/// Answer of the store to a write under a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteAnswer {
    /// Whether the record was written.
    pub written: bool,
    /// Era of the store that answered.
    pub era: StoreEra,
}

/// Storage of the lease record.
pub trait LeaseStore: Send + Sync + 'static {
    /// Reads the newest record.
    fn read_lease(&self) -> impl Future<Output = Result<LeaseState>> + Send;

    /// Writes `record` if the next record is at offset `at`. After an error, the write may still take effect later if no
    /// other write has by then. The same offset may exist in several eras of the store.
    fn write_lease(
        &self,
        at: LogOffset,
        record: &LeaseRecord,
    ) -> impl Future<Output = Result<WriteAnswer>> + Send;
}

/// What a candidate does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Another VM holds the lease.
    Wait,
    /// Write a record at this offset, to renew or acquire the lease.
    Write(LeaseWrite),
}

/// A record to write at the offset of the next record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    pub at: LogOffset,
    /// Era of the store in which `at` was read.
    pub era: StoreEra,
    pub record: LeaseRecord,
}

/// The newest state that a candidate knows.
#[derive(Debug)]
struct SeenState {
    state: LeaseState,
    /// When the state was first seen.
    since: Instant,
    /// Whether the candidate may acquire the lease at once: it was the last holder, also of the records that the store
    /// has lost.
    may_continue: bool,
}

/// The newest confirmed write of a candidate.
#[derive(Clone, Copy, Debug)]
struct ConfirmedWrite {
    /// Time just before the write was sent.
    sent_at: Instant,
    fence: u64,
}

/// State of the lease as one daemon knows it. Performs no I/O; the time is an argument.
#[derive(Debug)]
pub struct LeaseCandidate {
    name: SmolStr,
    vm: VmId,
    /// Longest delay of an order: another VM waits this long so that orders of two holders do not overlap.
    order_delay: Duration,
    /// Newest state that was read or written.
    seen: Option<SeenState>,
    /// Newest confirmed write.
    confirmed: Option<ConfirmedWrite>,
    /// Whether an unconfirmed write may have taken effect.
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
            confirmed: None,
            write_unconfirmed: false,
        }
    }

    /// Records a state that was read by a call begun at `asked_at`.
    pub fn observe(&mut self, state: LeaseState, asked_at: Instant, now: Instant) {
        self.write_unconfirmed = false;
        let seen = self.seen.as_ref();
        if seen.is_some_and(|seen| seen.state == state) {
            return;
        }
        let current = state.current_record();
        let own = current.is_some_and(|record| record.vm == self.vm);
        // Any other candidate waits longer than this after a confirmed write.
        let exclusive = LEASE_DURATION + self.order_delay;
        let confirmed = self.confirmed;
        let may_continue = current.is_none()
            && confirmed.is_some_and(|confirmed| now < confirmed.sent_at + exclusive);
        if !own && !may_continue {
            self.confirmed = None;
        }
        // The age of another VM's record is unknown when it is first read, so it counts from now.
        let since = match own {
            true => asked_at,
            false => now,
        };
        self.seen = Some(SeenState {
            state,
            since,
            may_continue,
        });
    }

    /// Returns what to do at `now`.
    pub fn next_step(&self, now: Instant) -> LeaseStep {
        let Some(seen) = &self.seen else {
            return LeaseStep::Wait;
        };
        let state = &seen.state;
        let fence = match state.current_record() {
            None if seen.may_continue => state.next_fence(),
            Some(record) if record.vm == self.vm && !record.released => record.fence,
            // The previous process of this VM has ended, and orders from the same VM may overlap.
            Some(record) if record.holder == self.name => state.next_fence(),
            current => {
                let life = match current.is_some_and(|record| record.released) {
                    true => Duration::ZERO,
                    false => LEASE_DURATION + CLOCK_MARGIN,
                };
                if seen.since + life + self.order_delay > now {
                    return LeaseStep::Wait;
                }
                state.next_fence()
            }
        };
        let record = LeaseRecord {
            holder: self.name.clone(),
            vm: self.vm,
            fence,
            released: false,
        };
        LeaseStep::Write(LeaseWrite {
            at: state.next,
            era: state.era,
            record,
        })
    }

    /// Records the answer to `write`, whose call began at `sent_at`.
    pub fn handle_answer(&mut self, write: LeaseWrite, answer: WriteAnswer, sent_at: Instant) {
        // The offset of one era says nothing about the log of another.
        if answer.era != write.era {
            self.write_unconfirmed = true;
            return;
        }
        if !answer.written {
            // Another daemon has written, or an earlier write of this daemon took effect late.
            self.confirmed = None;
            return;
        }
        let LeaseWrite { at, era, record } = write;
        self.confirmed = (!record.released).then_some(ConfirmedWrite {
            sent_at,
            fence: record.fence,
        });
        let state = LeaseState {
            record: Some(record),
            next: at.next(),
            era,
        };
        self.seen = Some(SeenState {
            state,
            since: sent_at,
            may_continue: false,
        });
    }

    /// Discards the last confirmation, for example after a pause of unknown length.
    pub fn clear_confirmation(&mut self) {
        self.confirmed = None;
    }

    /// Notes that a write may have taken effect, so that the offset of the next record is unknown.
    pub fn note_unconfirmed_write(&mut self) {
        self.write_unconfirmed = true;
    }

    /// Returns whether the record must be read before anything can be written.
    pub fn needs_read(&self, now: Instant) -> bool {
        self.write_unconfirmed || self.fence(now).is_none()
    }

    /// Returns the fencing number if this VM holds the lease and may give orders at `now`.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let confirmed = self.confirmed?;
        (now < confirmed.sent_at + LEASE_DURATION).then_some(confirmed.fence)
    }

    /// Returns whether this daemon may continue as the holder, or the newest known record names this VM, even if that
    /// lease has expired, was released, or was taken by an earlier run of the daemon.
    pub fn names_own_vm(&self) -> bool {
        self.seen.as_ref().is_some_and(|seen| {
            let record = seen.state.record.as_ref();
            seen.may_continue || record.is_some_and(|record| record.holder == self.name)
        })
    }
}

/// Acquires, renews and releases the lease. Share it in an [`Arc`].
pub struct LeaseManager {
    candidate: Mutex<LeaseCandidate>,
    /// Monotonic and wall clock, read together to detect a suspension of the VM.
    clocks: Mutex<(Instant, SystemTime)>,
    /// Set when the daemon shuts down, after which it does not hold the lease.
    stopped: AtomicBool,
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
            stopped: AtomicBool::new(false),
        });
        let candidate = manager.clone();
        group.spawn_service("lease", move || {
            run(candidate.clone(), store.clone(), eligible.clone())
        });
        manager
    }

    /// Returns the fencing number if this daemon may give orders now.
    pub fn fence(&self) -> Option<u64> {
        if self.stopped.load(Ordering::SeqCst) {
            return None;
        }
        self.note_suspension();
        self.with(|candidate| candidate.fence(Instant::now()))
    }

    fn note_suspension(&self) {
        if self.was_suspended() {
            log::warn!("this VM was suspended; the planner's lease must be confirmed again");
            self.with(LeaseCandidate::clear_confirmation);
        }
    }

    /// Compares the progress of both clocks since the last call. A forward step of the wall clock looks the same and
    /// costs only a renewal.
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

    /// Releases the lease for good, so that another daemon can take it before it expires.
    pub async fn release<L: LeaseStore>(&self, store: &L) {
        self.stopped.store(true, Ordering::SeqCst);
        let now = Instant::now();
        let LeaseStep::Write(mut write) = self.with(|candidate| candidate.next_step(now)) else {
            return;
        };
        if self.with(|candidate| candidate.fence(now)).is_none() {
            return;
        }
        write.record.released = true;
        self.with(LeaseCandidate::clear_confirmation);
        let call = store.write_lease(write.at, &write.record);
        match tokio::time::timeout(STORE_TIMEOUT, call).await {
            Ok(Ok(answer)) if answer.written => log::info!("the planner's lease is released"),
            _ => log::info!("the planner's lease was not released and will expire"),
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
    while !manager.stopped.load(Ordering::SeqCst) {
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
            log::info!("fencing number of the planner's lease changed from {held:?} to {fence:?}");
            held = fence;
        }
        tokio::time::sleep(RENEW_PERIOD).await;
    }
}

/// Reads the lease unless this daemon holds it, then renews or acquires it if allowed. `may_take` permits taking it
/// from another VM. Returns whether the lease is known.
async fn renew<L: LeaseStore>(manager: &LeaseManager, store: &L, may_take: bool) -> bool {
    let asked_at = Instant::now();
    if manager.with(|candidate| candidate.needs_read(asked_at)) {
        match tokio::time::timeout(STORE_TIMEOUT, store.read_lease()).await {
            Ok(Ok(state)) => {
                // A suspension would make the last confirmation look younger than it is.
                manager.note_suspension();
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
    let LeaseStep::Write(write) = next_step else {
        return true;
    };
    if !own && !may_take {
        return true;
    }
    let call = store.write_lease(write.at, &write.record);
    match tokio::time::timeout(STORE_TIMEOUT, call).await {
        Ok(Ok(answer)) => {
            if answer.era != write.era {
                log::info!(
                    "the planner's lease was read in era {} of the store; the answer to its write is of era {}: {write:?}, \
                     {answer:?}",
                    write.era,
                    answer.era
                );
            }
            manager.with(|candidate| candidate.handle_answer(write, answer, sent_at));
        }
        // The write may have taken effect; the next read tells.
        Ok(Err(error)) => {
            log::debug!("the planner's lease was not written: {error}");
            manager.with(LeaseCandidate::note_unconfirmed_write);
        }
        Err(_) => manager.with(LeaseCandidate::note_unconfirmed_write),
    }
    true
}
