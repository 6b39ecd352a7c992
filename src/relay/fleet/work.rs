//! Pace and outstanding work of the servers, from this daemon's calls and the pulses of peers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::ids::VmId;
use crate::relay::fleet::{FleetState, RelayFleet, ServerState, server_id_hash};
use crate::routing::{PaceTable, ReadParts, ServerLoad, TimingKey, decode_work, encode_work};

/// Work of each request of a peer that did not report its work, in microseconds of a server of pace 1.
const UNKNOWN_WORK_US: u64 = 100_000;

/// A server of a pace below this counts as slow; one above the inverse as fast.
const SLOW_PACE: f64 = 0.8;

/// Accepted requests by the pace of the server, since they were last taken.
#[derive(Debug, Default)]
pub(super) struct ChoiceCounts {
    slow: AtomicU64,
    usual: AtomicU64,
    fast: AtomicU64,
}

impl RelayFleet {
    /// Counts a request that a server accepted.
    pub fn count_choice(&self, id: &str, now: Instant) {
        let pace = self.paces().pace(server_id_hash(id), now);
        let count = match pace {
            slow if slow < SLOW_PACE => &self.choices.slow,
            fast if fast > 1.0 / SLOW_PACE => &self.choices.fast,
            _ => &self.choices.usual,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes the numbers of requests that slow, usual and fast servers accepted since the last call.
    pub fn take_choices(&self) -> [(&'static str, u64); 3] {
        let counts = &self.choices;
        let counts = [
            ("slow", &counts.slow),
            ("usual", &counts.usual),
            ("fast", &counts.fast),
        ];
        counts.map(|(kind, count)| (kind, count.swap(0, Ordering::Relaxed)))
    }

    /// Returns the remaining work of this daemon's requests and, as last published, of those of peers, in microseconds.
    pub fn outstanding_work(&self) -> (u64, u64) {
        let state = self.state();
        let own = state.servers.values().map(|server| server.handle.work_us());
        (own.sum(), state.peer_work_totals.values().sum())
    }

    /// Returns the prompt parts that this daemon lately sent to the servers.
    pub fn read_parts(&self) -> &ReadParts {
        &self.read_parts
    }

    /// Records how long a server took for something; `work` is the part that the size of the request explains.
    pub fn record_timing(
        &self,
        id: &str,
        key: TimingKey,
        time: Duration,
        work: Duration,
        now: Instant,
    ) {
        let server = server_id_hash(id);
        self.paces().record(server, key, time, work, now);
    }

    /// Returns the encoded remaining work of this daemon's requests on the servers of `in_flight`, in ascending order of
    /// their hashes, for its peers.
    pub fn own_work(&self, in_flight: &HashMap<u32, u32>) -> Vec<u8> {
        let state = self.state();
        let servers = state.servers.values();
        let work: HashMap<u32, u64> = servers
            .map(|server| (server_id_hash(&server.entry.id), server.handle.work_us()))
            .collect();
        let hashes = sorted_hashes(in_flight).into_iter();
        let work = hashes.map(|hash| work.get(&hash).copied().unwrap_or_default());
        work.map(encode_work).collect()
    }

    /// Records the remaining work of a peer's requests on the servers of `in_flight`, as returned by
    /// [`Self::own_work`].
    pub fn record_peer_work(&self, peer: VmId, in_flight: &HashMap<u32, u32>, codes: &[u8]) {
        let hashes = sorted_hashes(in_flight).into_iter().enumerate();
        let work = hashes.map(|(index, hash)| {
            let unknown = || u64::from(in_flight[&hash]).saturating_mul(UNKNOWN_WORK_US);
            let work = codes
                .get(index)
                .map_or_else(unknown, |code| decode_work(*code));
            (hash, work)
        });
        let work = work.collect();
        self.state().peer_work.insert(peer, work);
    }

    /// Returns what peers should know of the paces that this daemon measured.
    pub fn take_pace_news(&self, now: Instant) -> Vec<(u32, u8)> {
        self.paces().take_news(now)
    }

    /// Applies the paces that a peer measured.
    pub fn apply_pace_news(&self, news: &[(u32, u8)], now: Instant) {
        self.paces().apply_news(news, now);
    }

    /// Returns the least and the greatest pace of all servers; `None` if none is known.
    pub fn pace_spread(&self, now: Instant) -> Option<(f64, f64)> {
        self.paces().spread(now)
    }

    /// Returns the pace of a server, and the remaining work of this daemon's requests and of those of peers, in
    /// microseconds.
    pub fn server_load(&self, id: &str, now: Instant) -> Option<ServerLoad> {
        let state = self.state();
        let server = state.servers.get(id)?;
        Some(state.load(server, &self.paces(), now))
    }

    /// Forgets the prompt parts that were read by servers that restarted or are gone.
    pub(super) fn forget_parts(&self, servers: &[SmolStr]) {
        for server in servers {
            self.read_parts.forget(server);
        }
    }

    pub(super) fn paces(&self) -> MutexGuard<'_, PaceTable> {
        self.paces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FleetState {
    /// Sums the work of all peers whose reports are used by server.
    pub(super) fn sum_peer_work(&mut self) {
        self.peer_work
            .retain(|peer, _| self.peer_in_flight.contains_key(peer));
        self.peer_work_totals.clear();
        for work in self.peer_work.values() {
            for (hash, work) in work {
                let total = self.peer_work_totals.entry(*hash).or_insert(0);
                *total = total.saturating_add(*work);
            }
        }
    }

    pub(super) fn load(&self, server: &ServerState, paces: &PaceTable, now: Instant) -> ServerLoad {
        let hash = server_id_hash(&server.entry.id);
        ServerLoad {
            pace_permille: (paces.pace(hash, now) * 1_000.0).round() as u32,
            own_work_us: server.handle.work_us(),
            peer_work_us: Some(self.peer_work_totals.get(&hash).copied().unwrap_or(0)),
        }
    }
}

fn sorted_hashes(in_flight: &HashMap<u32, u32>) -> Vec<u32> {
    let mut hashes: Vec<_> = in_flight.keys().copied().collect();
    hashes.sort_unstable();
    hashes
}
