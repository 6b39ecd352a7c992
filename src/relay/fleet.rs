//! The view of the backend servers, from their records in the store and from the outcomes of calls to them.

mod cold;
mod evacuations;
mod identities;
mod notices;
mod records;
mod refusals;
mod server_state;
mod versions;
mod work;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use smol_str::{SmolStr, format_smolstr};
use tokio::sync::{Notify, watch};

pub use self::evacuations::{EvacuatedZone, EvacuationSink};
pub use self::identities::StandingCounts;
pub use self::refusals::ServerProbe;
use self::work::ChoiceCounts;
use crate::blame::ServerStart;
use crate::dispatch::FleetSource;
use crate::ids::{LogOffset, StoreEra, VmId};
use crate::relay::announcements::AnnouncementTable;
use crate::relay::config::ModelConfig;
use crate::relay::engines::{LoadItem, PlacementChange};
use crate::relay::evacuation::EvacuationTable;
use crate::relay::identity::IdentityTable;
use crate::relay::refusing::RefusalTable;
use crate::relay::server_list::{
    HeldModel, ListPosition, ServerChange, ServerDelta, ServerEntry, holds_item,
};
use crate::relay::version_history::VersionHistory;
use crate::routing::{Availability, FleetSnapshot, PaceTable, ReadParts, ServerHandle};

/// Time for which a server that sends what is no answer, or an endless one, gets no work.
const FAULTY_TIME: Duration = Duration::from_secs(10);
/// Time for which a server that refused a request as full gets no more.
const FULL_BACKOFF: Duration = Duration::from_millis(50);
/// Age up to which a peer's report of its running requests is used.
const PEER_REPORT_MAX_AGE: Duration = Duration::from_secs(3);

struct ServerState {
    entry: ServerEntry,
    /// The start that the entry belongs to.
    start: ServerStart,
    /// Version of the list in which the entry changed last.
    changed: u64,
    /// Version of the list in which its record was known as renewed.
    renewed: u64,
    /// When the server was first listed.
    listed_at: Instant,
    /// When this start of it was first listed at its address.
    placed_at: Instant,
    /// Placement changes that the server's record may not show yet, with the time at which each became known. They
    /// override the record until it shows them or they expire.
    placements: Vec<(PlacementChange, Instant)>,
    /// The models of the record with these changes.
    models: Vec<HeldModel>,
    handle: Arc<ServerHandle>,
    /// Calls that failed since the last one that succeeded.
    failures: u32,
    suspected_until: Option<Instant>,
    /// Whether it gets no requests because it refuses connections.
    is_refusing: bool,
    /// When the server is removed unless it rewrites its record, which expired around an outage of the store.
    expires_at: Option<Instant>,
}

/// A server that was removed from the list.
struct RemovedServer {
    id: SmolStr,
    /// Version of the list that removed it.
    version: u64,
    /// Age order of its last record.
    write_order: (u64, u64),
}

#[derive(Default)]
struct FleetState {
    servers: BTreeMap<SmolStr, ServerState>,
    /// Running requests of each peer by [`server_id_hash`], with the time of its last report.
    peer_in_flight: HashMap<VmId, (Instant, HashMap<u32, u32>)>,
    /// Sum of `peer_in_flight` over all peers by server, as last published.
    peer_totals: HashMap<u32, u32>,
    /// Remaining work of each peer's requests by [`server_id_hash`], in microseconds of a server of pace 1.
    peer_work: HashMap<VmId, HashMap<u32, u64>>,
    /// Sum of `peer_work` over all peers by server, as last published.
    peer_work_totals: HashMap<u32, u64>,
    /// Software versions that were listed lately.
    versions: VersionHistory,
    unreachable: bool,
    /// Grows with each change of the records.
    version: u64,
    /// Removed servers, oldest first.
    removed: VecDeque<RemovedServer>,
    /// Version of the list up to which removals are forgotten.
    forgotten_version: u64,
    /// Counts the servers that began to leave, stopped leaving or were removed, and the changes of evacuated zones.
    departures: u64,
    /// Servers that have restarted, or were removed without having announced that they leave, since the last call of
    /// [`RelayFleet::take_crashed`].
    crashed: Vec<SmolStr>,
    announcements: AnnouncementTable,
    evacuations: EvacuationTable,
    refusals: RefusalTable,
    identities: IdentityTable,
    /// Addresses at which several servers are listed.
    contested: HashSet<SocketAddr>,
    /// Version of the list from which the standings of the servers were derived.
    standings_version: u64,
    /// When the list could be read again after an outage, or was first read in a new era of the store.
    reachable_since: Option<Instant>,
    /// Newest era of the store in which the list was read.
    era: Option<StoreEra>,
    /// Offset in this era before which the list contains all records.
    position: LogOffset,
    /// When the list was first read in this era, unless it is the first that is known.
    restored_at: Option<Instant>,
    /// Whether a record was ignored since then because a newer one is known.
    has_ignored: bool,
}

/// All backend servers. Share it in an [`Arc`].
#[derive(Default)]
pub struct RelayFleet {
    state: Mutex<FleetState>,
    snapshot: RwLock<Arc<FleetSnapshot>>,
    changes: watch::Sender<u64>,
    departures: watch::Sender<u64>,
    paces: Mutex<PaceTable>,
    read_parts: ReadParts,
    choices: ChoiceCounts,
    /// Notified when a server was found to refuse connections.
    refusal_found: Notify,
}

/// Returns the name under which routing knows what serves a request: a plain service, or a model of a service.
pub fn routing_name(service: &SmolStr, model: Option<&SmolStr>) -> SmolStr {
    match model {
        Some(model) => format_smolstr!("{service}/{model}"),
        None => service.clone(),
    }
}

/// Returns the hash by which daemons identify a server in their pulses.
pub(super) fn server_id_hash(id: &str) -> u32 {
    // 32 bits suffice: a collision only makes two servers look busier than they are.
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

impl RelayFleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Subscribes to changes: the value grows whenever waiting requests should be tried again.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Subscribes to departures: the value grows whenever a server begins or stops to leave, or is removed, and when a
    /// zone is evacuated or no longer evacuated.
    pub fn departures(&self) -> watch::Receiver<u64> {
        self.departures.subscribe()
    }

    /// Returns the changes of the list since `version`, or the whole list if they are not known any more.
    pub fn changes_since(&self, version: Option<u64>) -> ServerDelta {
        let state = self.state();
        let since =
            version.filter(|since| *since >= state.forgotten_version && *since <= state.version);
        let servers = state.servers.values();
        let changed = servers.filter(|server| since.is_none_or(|since| server.changed > since));
        let (expiring, changed): (Vec<_>, Vec<_>) =
            changed.partition(|server| server.expires_at.is_some());
        let removed = state.removed.iter();
        let removed = removed.filter(|server| {
            since.is_some_and(|since| server.version > since)
                && !state.servers.contains_key(&server.id)
        });
        let renewed = state.servers.values().filter(|server| {
            server.handle.is_renewed() && since.is_none_or(|since| server.renewed > since)
        });
        ServerDelta {
            version: state.version,
            position: state.list_position(),
            is_snapshot: since.is_none(),
            renewed: renewed.map(|server| server.start).collect(),
            changed: changed
                .into_iter()
                .map(|server| server.entry.clone())
                .collect(),
            expiring: expiring
                .into_iter()
                .map(|server| server.entry.id.clone())
                .collect(),
            removed: removed.map(|server| server.id.clone()).collect(),
        }
    }

    /// Returns the servers as last listed.
    pub fn servers(&self) -> Vec<ServerEntry> {
        let state = self.state();
        let servers = state.servers.values();
        servers.map(|server| server.entry.clone()).collect()
    }

    /// Returns a number that grows with each change of the list.
    pub fn version(&self) -> u64 {
        self.state().version
    }

    /// Returns whether any server of `service` is listed that is not leaving and whose zone is not evacuated.
    pub fn has_service(&self, service: &str) -> bool {
        let state = self.state();
        let mut servers = state.servers.values();
        servers.any(|server| server.entry.service == service && server.may_be_sent_to())
    }

    /// Returns whether the list was read or copied since the start.
    pub fn has_list(&self) -> bool {
        self.state().era.is_some()
    }

    /// Returns the newest era of the store in which the list was read.
    pub fn era(&self) -> StoreEra {
        self.state().era.unwrap_or_default()
    }

    /// Returns how far the store's records have been read into the list.
    pub fn position(&self) -> ListPosition {
        self.state().list_position()
    }

    /// Applies changes in order, except for those that are older than the list.
    pub fn apply(&self, changes: Vec<ServerChange>, now: Instant) {
        let mut state = self.state();
        state.apply_all(changes, now);
        self.publish(&mut state, now);
    }

    /// Applies a copy that was requested when the list was at `base`. Returns `false` if the copy contains only changes
    /// and the list has moved on: the changes may lack some that undo what it has learned from elsewhere.
    pub fn apply_copy(&self, copy: ServerDelta, base: ListPosition, now: Instant) -> bool {
        let mut state = self.state();
        if !copy.is_snapshot && state.list_position() != base {
            return false;
        }
        state.apply_all(copy.into_changes(), now);
        self.publish(&mut state, now);
        true
    }

    /// Records the number of a peer's running requests by [`server_id_hash`].
    pub fn record_peer_in_flight(&self, peer: VmId, counts: HashMap<u32, u32>, now: Instant) {
        self.state().peer_in_flight.insert(peer, (now, counts));
    }

    /// Returns the number of this daemon's running requests by [`server_id_hash`], for its peers.
    pub fn own_in_flight(&self) -> HashMap<u32, u32> {
        let state = self.state();
        let counts = state.servers.values();
        let counts =
            counts.map(|server| (server_id_hash(&server.entry.id), server.handle.in_flight()));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Removes expired servers and placement changes, ends elapsed suspicions and publishes the view.
    pub fn tick(&self, now: Instant) {
        self.read_parts.expire(now);
        let mut state = self.state();
        state.expire(now);
        self.publish(&mut state, now);
    }

    /// Takes the servers that have restarted, or were removed without having announced that they leave, since the last
    /// call.
    pub fn take_crashed(&self) -> Vec<SmolStr> {
        let crashed = std::mem::take(&mut self.state().crashed);
        self.forget_parts(&crashed);
        crashed
    }

    /// Notes that a server answered a call to its end.
    pub fn call_succeeded(&self, id: &str) {
        if let Some(server) = self.state().servers.get_mut(id) {
            server.failures = 0;
        }
    }

    /// Notes that a server refused a call because it is full.
    pub fn note_full(&self, id: &str) {
        self.suspect(id, |_| FULL_BACKOFF);
    }

    /// Notes that a server sent what is no answer, or an endless one.
    pub fn note_faulty(&self, id: &str) {
        log::warn!("server {id} sends what is no answer and is avoided for {FAULTY_TIME:?}");
        self.suspect(id, |_| FAULTY_TIME);
    }

    /// Notes that a server does not hold an item that its record names.
    pub fn note_missing(&self, id: &str, item: LoadItem) {
        let now = Instant::now();
        let mut state = self.state();
        let Some(server) = state.servers.get_mut(id) else {
            return;
        };
        log::info!("server {id} does not hold {item:?}, which its record names");
        let placement = PlacementChange {
            server: id.into(),
            item,
            present: false,
        };
        server.placements.push((placement, now));
        server.update_models(now);
        self.publish(&mut state, now);
    }

    /// Applies the changes that orders have made.
    pub fn note_placements(&self, placements: &[PlacementChange], now: Instant) {
        let mut state = self.state();
        let mut changed = false;
        for placement in placements {
            let Some(server) = state.servers.get_mut(&placement.server) else {
                continue;
            };
            let known = server
                .placements
                .iter()
                .any(|(other, _)| other == placement);
            if known {
                continue;
            }
            server
                .placements
                .retain(|(other, _)| other.item != placement.item);
            server.placements.push((placement.clone(), now));
            server.update_models(now);
            changed = true;
        }
        if changed {
            self.publish(&mut state, now);
        }
    }

    /// Returns whether a server of `service` that is not leaving and whose zone is not evacuated holds an item.
    pub fn holds(&self, service: &str, item: &LoadItem) -> bool {
        let state = self.state();
        state.servers.values().any(|server| {
            server.entry.service == service
                && !server.entry.leaving
                && server.is_credible()
                && server.handle.availability() == Availability::Open
                && holds_item(&server.models, item)
        })
    }

    /// Returns the shortest time in which a server of `service` can load `model`.
    pub fn fastest_load_time(&self, service: &str, model: &ModelConfig) -> Duration {
        let state = self.state();
        let servers = state.servers.values().filter(|server| {
            let is_open = server.handle.availability() == Availability::Open;
            server.entry.service == service && !server.entry.leaving && is_open
        });
        let servers = servers.map(|server| &server.entry);
        let load_times =
            servers.map(|entry| model.load_time(&entry.in_host_memory, &entry.on_disk).0);
        load_times.min().unwrap_or(model.store_load)
    }

    /// Returns the start of a listed server; `None` if the server is leaving or is not listed.
    pub fn server_start(&self, id: &str) -> Option<ServerStart> {
        let state = self.state();
        let server = state.servers.get(id)?;
        (!server.entry.leaving).then_some(server.start)
    }

    /// Returns whether calls to a server failed lately.
    pub fn is_suspected(&self, id: &str) -> bool {
        let state = self.state();
        let server = state.servers.get(id);
        server.is_some_and(|server| server.handle.is_suspected())
    }

    /// Returns the number of requests running on a server; those of peers are as of the last publication.
    pub fn in_flight(&self, id: &str) -> u32 {
        let state = self.state();
        let server = state.servers.get(id);
        let own = server.map_or(0, |server| server.handle.in_flight());
        own + state
            .peer_totals
            .get(&server_id_hash(id))
            .copied()
            .unwrap_or(0)
    }

    /// Logs that a server answered a call with a server error (5xx). It gets no backoff for that.
    pub fn log_failure_answer(&self, id: &str) {
        log::debug!("server {id} answered with a server error");
    }

    fn suspect(&self, id: &str, time: impl FnOnce(&mut ServerState) -> Duration) {
        let mut state = self.state();
        let Some(server) = state.servers.get_mut(id) else {
            return;
        };
        let until = Instant::now() + time(server);
        server.suspend_until(until);
    }

    fn publish(&self, state: &mut FleetState, now: Instant) {
        state.sum_peers(now);
        state.sum_peer_work();
        if state.standings_version != state.version {
            state.standings_version = state.version;
            state.update_standings();
            state.update_versions(now);
        }
        state.update_availability(now);
        let paces = self.paces();
        let servers = state.servers.values().map(|server| {
            let hash = server_id_hash(&server.entry.id);
            let peer_requests = state.peer_totals.get(&hash).copied().unwrap_or(0);
            let load = state.load(server, &paces, now);
            (
                server.view(peer_requests, load),
                server.handle.clone(),
                None,
            )
        });
        let snapshot = Arc::new(FleetSnapshot::new(servers));
        drop(paces);
        *self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner) = snapshot;
        self.changes.send_modify(|version| *version += 1);
        self.departures.send_if_modified(|known| {
            let changed = *known != state.departures;
            *known = state.departures;
            changed
        });
    }

    fn state(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FleetSource for Arc<RelayFleet> {
    fn snapshot(&self) -> Arc<FleetSnapshot> {
        self.snapshot
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn call_failed(&self, server: &str) {
        self.suspect(server, |state| state.note_failure());
    }

    fn has_software(&self, service: &str, software: &str) -> bool {
        let state = self.state();
        // A server that has crashed comes back with the only software there is.
        if !state.versions.is_mixed(service, Instant::now()) {
            return true;
        }
        state.servers.values().any(|server| {
            let entry = &server.entry;
            entry.service == service
                && entry.software == software
                && server.may_be_sent_to()
                && !server.is_refusing
        })
    }
}

impl FleetState {
    fn expire(&mut self, now: Instant) {
        self.announcements.expire(now);
        if self.evacuations.expire(now) {
            self.departures += 1;
        }
        let expired: Vec<SmolStr> = self
            .servers
            .iter()
            .filter(|(_, server)| server.expires_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(&id);
        }
        for server in self.servers.values_mut() {
            if !server.placements.is_empty() {
                server.update_models(now);
            }
            if server.suspected_until.is_some_and(|until| until <= now) {
                server.suspected_until = None;
            }
        }
        self.expire_refusals(now);
    }

    /// Sums the requests of all peers by server.
    fn sum_peers(&mut self, now: Instant) {
        self.peer_in_flight
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < PEER_REPORT_MAX_AGE);
        self.peer_totals.clear();
        for (_, counts) in self.peer_in_flight.values() {
            for (hash, count) in counts {
                *self.peer_totals.entry(*hash).or_insert(0) += count;
            }
        }
    }
}
