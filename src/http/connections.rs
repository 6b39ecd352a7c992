//! The open connections of a listener: how many there may be, and which give way to others.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::eviction::{WaitKind, choose_oldest, choose_victims};
use crate::http::state::ConnectionState;
use crate::memory::REQUEST_BYTES;
use crate::metrics::DaemonMetrics;

/// Part of the connections that give way at once when there is no memory.
const RELIEVED_DIVISOR: usize = 64;
/// Part of the requests that there is memory for which the HTTP/2 connections share.
const STREAM_DIVISOR: usize = 8;
/// Streams that each HTTP/2 connection may have open, however many connections there are.
const MIN_STREAMS: usize = 8;
/// Time after which further connections give way if there is still no room.
const EVICTION_PERIOD: Duration = Duration::from_millis(25);

/// Kind in metrics of a connection that was asked to close after its current answers.
pub(crate) const RETIRED: &str = "oldest";

new_key_type! {
    struct ConnectionKey;
}

/// The connections of one listener.
pub(crate) struct ConnectionTable {
    limit: usize,
    slots: Arc<Semaphore>,
    open: Mutex<SlotMap<ConnectionKey, Arc<ConnectionState>>>,
    metrics: Arc<DaemonMetrics>,
}

/// A place among the connections, which is free again when this is dropped.
pub(super) struct ConnectionPermit {
    table: Arc<ConnectionTable>,
    key: ConnectionKey,
    _slot: OwnedSemaphorePermit,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let state = self.table.open().remove(self.key);
        self.table.metrics.connections.dec();
        // The memory of its requests is returned without the lock.
        drop(state);
    }
}

impl ConnectionTable {
    /// Creates a table with room for `limit` connections.
    pub(super) fn new(limit: usize, metrics: Arc<DaemonMetrics>) -> Arc<Self> {
        Arc::new(Self {
            limit,
            slots: Arc::new(Semaphore::new(limit)),
            open: Mutex::default(),
            metrics,
        })
    }

    fn open(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a place, which `wanted` callers want. If there is none, as many connections that wait for their callers give
    /// way, or the oldest ones if all are in use.
    pub(super) async fn slot(self: &Arc<Self>, wanted: usize) -> OwnedSemaphorePermit {
        loop {
            if let Ok(slot) = self.slots.clone().try_acquire_owned() {
                return slot;
            }
            self.make_room(wanted.min(self.limit.div_ceil(2)), Instant::now());
            let freed = self.slots.clone().acquire_owned();
            if let Ok(Ok(slot)) = tokio::time::timeout(EVICTION_PERIOD, freed).await {
                return slot;
            }
        }
    }

    /// Makes `wanted` connections close, those included that are closing.
    fn make_room(&self, wanted: usize, now: Instant) {
        let (mut evicted, mut retired) = (0, 0);
        for state in self.open().values() {
            evicted += usize::from(state.is_evicted());
            retired += usize::from(state.is_retired());
        }
        let closing = evicted + self.evict_waiting(wanted.saturating_sub(evicted), now);
        // Those that close after their answers may take long, so that others are evicted in their place.
        self.retire_oldest(wanted.saturating_sub(closing + retired), now);
    }

    /// Returns the streams that the newest connection may have open if it uses HTTP/2: its part of those that there is memory
    /// for, as the streams of all connections may be opened before any is refused.
    pub(super) fn max_streams(&self, capacity: usize) -> u32 {
        let streams = capacity / REQUEST_BYTES / STREAM_DIVISOR;
        let open = self.open();
        let sharing = open.values().filter(|state| state.may_use_http2());
        let part = streams / sharing.count().max(1);
        u32::try_from(part.max(MIN_STREAMS)).unwrap_or(u32::MAX)
    }

    /// Adds a connection.
    pub(super) fn insert(
        self: &Arc<Self>,
        state: Arc<ConnectionState>,
        slot: OwnedSemaphorePermit,
    ) -> ConnectionPermit {
        let key = self.open().insert(state);
        self.metrics.connections.inc();
        ConnectionPermit {
            table: self.clone(),
            key,
            _slot: slot,
        }
    }

    /// Makes some of the connections that wait for their callers give way, as there is no memory.
    pub(super) fn relieve(&self, now: Instant) {
        self.evict_waiting((self.limit / RELIEVED_DIVISOR).max(1), now);
    }

    /// Makes up to `count` connections that wait for their callers give way. Returns how many do.
    fn evict_waiting(&self, count: usize, now: Instant) -> usize {
        if count == 0 {
            return 0;
        }
        let open = self.open();
        let staying = open.values().filter(|state| !state.is_evicted());
        let waits = staying.filter_map(|state| {
            let (kind, wait) = state.wait(now)?;
            Some(((state, kind), Some(wait)))
        });
        let victims = choose_victims(waits, count, now);
        for (state, kind) in &victims {
            self.evict(state, *kind);
        }
        victims.len()
    }

    /// Makes a connection give way that waits for `kind`.
    pub(super) fn evict(&self, state: &ConnectionState, kind: WaitKind) {
        state.evict(kind);
        self.metrics.count(&self.metrics.evictions, kind.as_str());
    }

    /// Asks the `count` oldest connections to close after their current answers.
    fn retire_oldest(&self, count: usize, now: Instant) {
        let open = self.open();
        let leaving = |state: &ConnectionState| state.is_retired() || state.is_evicted();
        let staying = open.values().filter(|state| !leaving(state));
        let opened = staying.map(|state| (state, state.opened()));
        for state in choose_oldest(opened, count, now) {
            state.retire();
            self.metrics.count(&self.metrics.evictions, RETIRED);
        }
    }

    /// Counts a request that was refused because there is no memory for it.
    pub(super) fn count_refusal(&self) {
        self.metrics.memory_refusals.inc();
    }
}
