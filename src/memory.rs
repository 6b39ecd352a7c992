//! Account of the memory that callers make the process hold: request bodies, and answers that wait for slow readers.
//!
//! The account has a capacity in bytes. A [`MemoryLease`] holds a part of it and returns it when it is dropped. An eighth
//! is reserved for small leases, so that callers with large bodies do not shut out ordinary requests. Another eighth is kept
//! from large bodies, so that answers can still be held.
//!
//! A lease for a body that still arrives can be evicted when the account has no room. Bodies without a byte for
//! [`EVICT_IDLE`] are given up first, those that hold the most for the longest time before others; then, in the same order,
//! bodies that arrive more slowly than the lowest rate. Others are never given up. Times are arguments.
//!
//! ```
//! use std::time::Instant;
//! use foxtailhill::memory::MemoryAccount;
//!
//! let account = MemoryAccount::new(1 << 20);
//! let lease = account.lease_body(100 << 10, Instant::now());
//! assert_eq!(account.used(), 100 << 10);
//! drop(lease);
//! assert_eq!(account.used(), 0);
//! ```

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use slotmap::{SlotMap, new_key_type};
use tokio_util::sync::CancellationToken;

use crate::eviction::{BodyRate, MIN_WAIT};

/// Capacity of the account if the settings state neither it nor the memory of the VM.
pub const DEFAULT_CAPACITY: usize = 64 << 20;
/// Size up to which a lease may use the reserve. Nearly all requests are smaller.
pub const SMALL_BYTES: usize = 16 << 10;
/// Memory that a request costs beside its headers and its body: its tasks, and what they keep.
pub const REQUEST_BYTES: usize = 8 << 10;
/// Eighths of the capacity that large bodies may hold.
const BODY_EIGHTHS: usize = 6;
/// Eighths of the capacity that large bodies and answers may hold together.
const LARGE_EIGHTHS: usize = 7;
/// Time without a byte after which a body may be evicted. Bodies of callers that keep sending have shorter gaps.
pub const EVICT_IDLE: Duration = Duration::from_millis(500);

new_key_type! {
    struct BodyKey;
}

/// A body that still arrives.
#[derive(Debug)]
struct ArrivingBody {
    bytes: usize,
    /// Memory that its request returns as well when the body is given up.
    request_bytes: usize,
    since: Instant,
    received: usize,
    /// When its last byte arrived.
    progress: Instant,
    evicted: CancellationToken,
}

/// Why a body may be evicted. The first ones are evicted before others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCause {
    Stalled,
    Slow,
}

/// A body that may be evicted.
#[derive(Clone, Copy, Debug)]
struct EvictionCandidate {
    cause: EvictionCause,
    /// Bytes that it holds, times the milliseconds since it stalled or began.
    waste: u128,
    key: BodyKey,
}

impl ArrivingBody {
    /// Returns why the body may be evicted, and since when it wastes its memory.
    fn eviction_cause(
        &self,
        lowest: Option<BodyRate>,
        now: Instant,
    ) -> Option<(EvictionCause, Instant)> {
        let time = now.saturating_duration_since(self.since);
        if now.saturating_duration_since(self.progress) >= EVICT_IDLE {
            return Some((EvictionCause::Stalled, self.progress));
        }
        let is_slow = time >= MIN_WAIT && lowest?.is_above(self.received, time);
        is_slow.then_some((EvictionCause::Slow, self.since))
    }
}

#[derive(Debug, Default)]
struct AccountState {
    used: usize,
    /// Part of `used` that is held by leases over [`SMALL_BYTES`].
    large: usize,
    arriving: SlotMap<BodyKey, ArrivingBody>,
}

#[derive(Debug)]
struct AccountInner {
    capacity: usize,
    lowest_rate: Option<BodyRate>,
    state: Mutex<AccountState>,
}

/// The account of one process. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryAccount(Arc<AccountInner>);

/// A part of the account, which is returned when this is dropped.
#[derive(Debug)]
pub struct MemoryLease {
    account: MemoryAccount,
    bytes: usize,
    kind: LeaseKind,
    /// Set while the body arrives.
    body: Option<BodyKey>,
    evicted: CancellationToken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseKind {
    Body,
    Answer,
}

impl Default for MemoryAccount {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl MemoryAccount {
    /// Creates an account of `capacity` bytes, in which no body is too slow.
    pub fn new(capacity: usize) -> Self {
        Self::open(capacity, None)
    }

    /// Creates an account of `capacity` bytes that may give up bodies which arrive more slowly than `lowest`.
    pub fn with_lowest_rate(capacity: usize, lowest: BodyRate) -> Self {
        Self::open(capacity, Some(lowest))
    }

    fn open(capacity: usize, lowest_rate: Option<BodyRate>) -> Self {
        Self(Arc::new(AccountInner {
            capacity,
            lowest_rate,
            state: Mutex::default(),
        }))
    }

    /// Returns the bytes that all leases hold.
    pub fn used(&self) -> usize {
        self.state().used
    }

    /// Returns the capacity in bytes.
    pub fn capacity(&self) -> usize {
        self.0.capacity
    }

    /// Returns a lease of `bytes` for a body that arrives from now on; `None` if the account has no room.
    pub fn lease_body(&self, bytes: usize, now: Instant) -> Option<MemoryLease> {
        let mut state = self.state();
        if !state.take(self.0.capacity, LeaseKind::Body, 0, bytes) {
            return None;
        }
        let evicted = CancellationToken::new();
        let body = state.arriving.insert(ArrivingBody {
            bytes,
            request_bytes: 0,
            since: now,
            received: 0,
            progress: now,
            evicted: evicted.clone(),
        });
        drop(state);
        Some(MemoryLease {
            account: self.clone(),
            bytes,
            kind: LeaseKind::Body,
            body: Some(body),
            evicted,
        })
    }

    /// Returns a lease that holds nothing yet and is never evicted.
    pub fn lease_answer(&self) -> MemoryLease {
        MemoryLease {
            account: self.clone(),
            bytes: 0,
            kind: LeaseKind::Answer,
            body: None,
            evicted: CancellationToken::new(),
        }
    }

    /// Counts `bytes` of an answer that is in memory already, also beyond the capacity, until their last copy is dropped.
    pub fn hold_answer(&self, bytes: Bytes) -> Bytes {
        let mut lease = self.lease_answer();
        let mut state = self.state();
        state.used += bytes.len();
        state.large += large_part(bytes.len());
        drop(state);
        lease.bytes = bytes.len();
        lease.hold(bytes)
    }

    /// Evicts bodies so that `bytes` more fit, in the order that this module's page states. Returns whether they will fit
    /// once these bodies have been dropped; otherwise nothing is evicted.
    pub fn evict_for(&self, bytes: usize, now: Instant) -> bool {
        let mut state = self.state();
        let mut candidates: Vec<EvictionCandidate> = Vec::new();
        for (key, body) in &state.arriving {
            let cause = body.eviction_cause(self.0.lowest_rate, now);
            if let Some((cause, since)) = cause.filter(|_| !body.evicted.is_cancelled()) {
                let time = now.saturating_duration_since(since).as_millis();
                let waste = (body.bytes + body.request_bytes) as u128 * time;
                candidates.push(EvictionCandidate { cause, waste, key });
            }
        }
        candidates.sort_unstable_by_key(|body| (body.cause, std::cmp::Reverse(body.waste)));
        let (mut used, mut large) = (state.used, state.large);
        let mut victims = Vec::new();
        while !fits(self.0.capacity, LeaseKind::Body, used, large, bytes) {
            let Some(key) = candidates.get(victims.len()).map(|body| body.key) else {
                return false;
            };
            if let Some(body) = state.arriving.get(key) {
                used -= body.bytes + body.request_bytes;
                large -= large_part(body.bytes);
            }
            victims.push(key);
        }
        for key in victims {
            if let Some(body) = state.arriving.get_mut(key) {
                body.evicted.cancel();
            }
        }
        true
    }

    fn state(&self) -> MutexGuard<'_, AccountState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AccountState {
    /// Changes a lease from `old` to `new` bytes. Returns `false`, and changes nothing, if it grows and has no room.
    fn take(&mut self, capacity: usize, kind: LeaseKind, old: usize, new: usize) -> bool {
        let (used, large) = (self.used - old, self.large - large_part(old));
        if new > old && !fits(capacity, kind, used, large, new) {
            return false;
        }
        self.used = used + new;
        self.large = large + large_part(new);
        true
    }
}

/// Returns whether a lease of `bytes` fits next to leases of `used` bytes, `large` of them in large leases.
fn fits(capacity: usize, kind: LeaseKind, used: usize, large: usize, bytes: usize) -> bool {
    let eighths = match kind {
        LeaseKind::Body => BODY_EIGHTHS,
        LeaseKind::Answer => LARGE_EIGHTHS,
    };
    let for_large = capacity / 8 * eighths;
    used + bytes <= capacity && (bytes <= SMALL_BYTES || large + bytes <= for_large)
}

fn large_part(bytes: usize) -> usize {
    match bytes {
        0..=SMALL_BYTES => 0,
        _ => bytes,
    }
}

impl MemoryLease {
    /// Changes what the lease holds to `bytes`. Returns `false`, and changes nothing, if the account has no room.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let mut state = self.account.state();
        if !state.take(self.account.0.capacity, self.kind, self.bytes, bytes) {
            return false;
        }
        if let Some(body) = self.body.and_then(|key| state.arriving.get_mut(key)) {
            body.bytes = bytes;
        }
        self.bytes = bytes;
        true
    }

    /// Returns the bytes that the lease holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Notes that `received` bytes of the body have arrived in all.
    pub fn note_received(&self, received: usize, now: Instant) {
        let mut state = self.account.state();
        if let Some(body) = self.body.and_then(|key| state.arriving.get_mut(key)) {
            body.received = received;
            body.progress = now;
        }
    }

    /// Notes that a request holds `bytes` in another lease, which it returns if the body is evicted.
    pub fn note_request(&self, bytes: usize) {
        let mut state = self.account.state();
        if let Some(body) = self.body.and_then(|key| state.arriving.get_mut(key)) {
            body.request_bytes = bytes;
        }
    }

    /// Notes that the body is complete, so that it is not evicted any more.
    pub fn complete(&mut self) {
        if let Some(key) = self.body.take() {
            self.account.state().arriving.remove(key);
        }
    }

    /// Returns whether the body was evicted: its reader must give it up.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// Resolves when the body is evicted.
    pub fn evicted(&self) -> impl Future<Output = ()> + Send + use<> {
        self.evicted.clone().cancelled_owned()
    }

    /// Ties the lease to `bytes`; it is returned with their last copy.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _lease: self,
        })
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.complete();
        self.resize(0);
    }
}

struct HeldBytes {
    bytes: Bytes,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
