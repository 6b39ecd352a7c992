//! The connections of peers that a server has open: how many there may be, and which give way to others.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use tokio_util::sync::CancellationToken;

use crate::eviction::{ClientWait, WaitKind, choose_victims};
use crate::metrics::DaemonMetrics;
use crate::peer::server::READ_TIMEOUT;

/// Time after which a connection without a call gives way as if it had timed out. Peers call each other every few seconds.
const IDLE_TIME: Duration = Duration::from_secs(60);

new_key_type! {
    struct ConnectionKey;
}

/// What a connection does.
#[derive(Clone, Copy, Debug)]
struct PeerActivity {
    /// Calls whose bodies have arrived and whose replies have not been sent.
    running: usize,
    /// Calls whose bodies arrive.
    reading: usize,
    /// Whether the body of any call has arrived.
    has_called: bool,
    /// When the connection was opened, or its last call ended.
    idle_since: Instant,
}

impl PeerActivity {
    /// Returns what the connection waits for; `None` while a call runs.
    fn wait(self) -> Option<(WaitKind, ClientWait)> {
        if self.running > 0 {
            return None;
        }
        let (kind, limit) = match (self.has_called, self.reading) {
            (false, _) => (WaitKind::FirstRequest, READ_TIMEOUT),
            (true, 0) => (WaitKind::NextRequest, IDLE_TIME),
            (true, _) => (WaitKind::Body, READ_TIMEOUT),
        };
        let since = self.idle_since;
        Some((kind, ClientWait { since, limit }))
    }
}

/// The state of one connection.
pub(super) struct PeerConnectionState {
    activity: Mutex<PeerActivity>,
    evicted: CancellationToken,
}

impl PeerConnectionState {
    fn activity(&self) -> MutexGuard<'_, PeerActivity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resolves when the connection is to give way.
    pub(super) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Starts a call, whose body arrives from now on.
    pub(super) fn begin(self: &Arc<Self>) -> CallGuard {
        self.activity().reading += 1;
        CallGuard {
            state: self.clone(),
            is_running: false,
        }
    }
}

/// Ends a call when it is dropped.
pub(super) struct CallGuard {
    state: Arc<PeerConnectionState>,
    is_running: bool,
}

impl CallGuard {
    /// Notes that the body of the call has arrived.
    pub(super) fn run(&mut self) {
        let mut activity = self.state.activity();
        activity.reading -= 1;
        activity.running += 1;
        activity.has_called = true;
        self.is_running = true;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut activity = self.state.activity();
        match self.is_running {
            true => {
                activity.running -= 1;
                activity.idle_since = Instant::now();
            }
            false => activity.reading -= 1,
        }
    }
}

/// The connections of one server.
pub(super) struct PeerTable {
    limit: usize,
    open: Mutex<SlotMap<ConnectionKey, Arc<PeerConnectionState>>>,
    metrics: Arc<DaemonMetrics>,
}

/// A place among the connections, which is free again when this is dropped.
pub(super) struct PeerPermit {
    table: Arc<PeerTable>,
    key: ConnectionKey,
    pub(super) state: Arc<PeerConnectionState>,
}

impl Drop for PeerPermit {
    fn drop(&mut self) {
        self.table.open().remove(self.key);
    }
}

impl PeerTable {
    /// Creates a table with room for `limit` connections.
    pub(super) fn new(limit: usize, metrics: Arc<DaemonMetrics>) -> Arc<Self> {
        Arc::new(Self {
            limit,
            open: Mutex::default(),
            metrics,
        })
    }

    fn open(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<PeerConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection; `None` if there is no room. Another connection then gives way, if one waits for its peer.
    pub(super) fn insert(self: &Arc<Self>, now: Instant) -> Option<PeerPermit> {
        let mut open = self.open();
        if open.len() >= self.limit {
            drop(open);
            self.relieve(now);
            return None;
        }
        let state = Arc::new(PeerConnectionState {
            activity: Mutex::new(PeerActivity {
                running: 0,
                reading: 0,
                has_called: false,
                idle_since: now,
            }),
            evicted: CancellationToken::new(),
        });
        let key = open.insert(state.clone());
        Some(PeerPermit {
            table: self.clone(),
            key,
            state,
        })
    }

    /// Makes the connection that has waited longest for its peer give way.
    pub(super) fn relieve(&self, now: Instant) {
        let open = self.open();
        let staying = open.values().filter(|state| !state.evicted.is_cancelled());
        let waits = staying.filter_map(|state| {
            let (kind, wait) = state.activity().wait()?;
            Some(((state, kind), Some(wait)))
        });
        for (state, kind) in choose_victims(waits, 1, now) {
            state.evicted.cancel();
            self.metrics.count(&self.metrics.evictions, kind.as_str());
        }
    }
}
