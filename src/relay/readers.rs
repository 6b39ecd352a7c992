//! Election of the readers, which are the daemons that read the metadata store, and the state of copies from them.
//!
//! One daemon of each zone is a reader: it reads the tables of the store and announces changes in its pulses (heartbeat
//! datagrams). The others fetch a copy from it. The number of calls to the store therefore grows with the number of
//! zones and not of daemons. Each daemon decides from the pulses that it has received recently whether it is the
//! reader, without agreement between daemons: a wrong decision only costs additional calls.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::VmId;
use crate::relay::pulse::{Pulse, PulseSchedule};
use crate::relay::read_counts::ReadCounts;
use crate::relay::registry::RegistryCopy;
use crate::relay::server_list::{ListPosition, ServerDelta};
use crate::relay::store::StoreTable;

/// Number of pulse intervals without a pulse after which a daemon counts as dead.
const MISSED_PULSES: u32 = 3;
/// Added to these intervals, because a daemon may be slow for a moment.
const PULSE_SLACK: Duration = Duration::from_millis(300);
/// Time after its last successful read during which a daemon still counts as reading the store. It exceeds the time
/// after which a read counts as late.
const READ_VALIDITY: Duration = Duration::from_millis(3_500);
/// Two readers whose reading times differ by no more than this count as having begun together.
const READING_TIME_TIE: Duration = Duration::from_millis(1_000);
/// Age after which a copy is fetched again even without a change, because it contains the ages of registrations.
const MAX_COPY_AGE: Duration = Duration::from_secs(5);
/// Shortest time between two copies of the registrations of daemons, which rarely change.
const DAEMONS_PERIOD: Duration = Duration::from_secs(1);
/// Time for which other sources are preferred to one that did not answer.
const FAILURE_VALIDITY: Duration = Duration::from_secs(2);

/// Request for a copy of the tables, to a daemon that reads the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// Version of the list of backend servers that the requester last copied from this daemon.
    pub servers_version: Option<u64>,
    /// Whether to send the registrations of daemons.
    pub daemons: bool,
}

/// Copy of the tables from a daemon that reads the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCopy {
    pub servers: ServerDelta,
    /// The registered daemons, if requested.
    pub daemons: Option<RegistryCopy>,
}

/// Whether this daemon's own reads of the store succeed.
#[derive(Debug, Default)]
pub struct StoreHealth {
    state: Mutex<HealthState>,
    reads: ReadCounts,
}

#[derive(Debug, Default)]
struct HealthState {
    /// Time of the last successful read of any table.
    read_at: Option<Instant>,
    /// Tables whose last read failed. Their content may be old although others can be read again.
    failed: HashSet<StoreTable>,
}

impl StoreHealth {
    /// Returns the counts of reads.
    pub fn reads(&self) -> &ReadCounts {
        &self.reads
    }

    /// Returns whether the last read of `table` failed.
    pub fn has_table_failed(&self, table: StoreTable) -> bool {
        self.state().failed.contains(&table)
    }

    /// Records the result of a read of `table` at `now`.
    pub fn note(&self, table: StoreTable, succeeded: bool, now: Instant) {
        let mut state = self.state();
        if succeeded {
            state.read_at = Some(now);
            state.failed.remove(&table);
        } else {
            state.failed.insert(table);
        }
    }

    /// Returns whether the store can be read: a read has succeeded lately, and no table's last read has failed.
    pub fn is_reading(&self, now: Instant) -> bool {
        let state = self.state();
        let is_recent = state.read_at.is_some_and(|at| at + READ_VALIDITY > now);
        is_recent && state.failed.is_empty()
    }

    fn has_failed(&self) -> bool {
        !self.state().failed.is_empty()
    }

    fn state(&self) -> MutexGuard<'_, HealthState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// State of a peer as of its last pulse.
#[derive(Debug)]
struct PeerState {
    vm: VmId,
    zone: SmolStr,
    peer: SocketAddr,
    received_at: Instant,
    reads_store: bool,
    /// How long it has been a reader, as of `received_at`.
    reading_for: Duration,
    weight: u32,
    version: u64,
    config_version: u64,
    list: ListPosition,
}

/// A daemon from which copies are fetched, and the version of its tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopySource {
    pub vm: VmId,
    pub peer: SocketAddr,
    pub version: u64,
}

/// Decides whether this daemon reads the store, and from which daemon it copies otherwise. Share it in an [`Arc`].
pub struct ReaderElection {
    name: SmolStr,
    zone: SmolStr,
    weight: u32,
    peers: Mutex<HashMap<SmolStr, PeerState>>,
    reading: watch::Sender<bool>,
    /// When `reading` last changed.
    reading_since: Mutex<Instant>,
    health: Arc<StoreHealth>,
    /// Number of received pulses; a change wakes the tasks that fetch copies.
    pulses: watch::Sender<u64>,
}

impl ReaderElection {
    /// Creates an election in which this daemon reads the store until the pulse of a preferred reader arrives. `weight`
    /// is the size of this VM.
    pub fn new(name: SmolStr, zone: SmolStr, weight: u32, health: Arc<StoreHealth>) -> Self {
        Self {
            name,
            zone,
            weight,
            peers: Mutex::default(),
            reading: watch::Sender::new(true),
            reading_since: Mutex::new(Instant::now()),
            health,
            pulses: watch::Sender::new(0),
        }
    }

    /// Subscribes to whether this daemon reads the store.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.reading.subscribe()
    }

    /// Returns the size of this VM.
    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// Returns whether this daemon reads the store and its reads succeed.
    pub fn is_reading(&self, now: Instant) -> bool {
        *self.reading.borrow() && self.health.is_reading(now)
    }

    /// Returns the time since this daemon last became a reader or ceased to be one.
    pub fn reading_for(&self, now: Instant) -> Duration {
        let since = self
            .reading_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        now.saturating_duration_since(*since)
    }

    /// Subscribes to the number of received pulses; each pulse may announce a change.
    pub fn subscribe_pulses(&self) -> watch::Receiver<u64> {
        self.pulses.subscribe()
    }

    /// Records the pulse of a peer and decides again whether this daemon reads the store.
    pub fn note_pulse(&self, pulse: &Pulse, now: Instant) {
        let state = PeerState {
            vm: pulse.vm,
            zone: pulse.zone.clone(),
            peer: pulse.peer,
            received_at: now,
            reads_store: pulse.reads_store,
            reading_for: pulse.reading_for,
            weight: pulse.weight,
            version: pulse.tables_version,
            config_version: pulse.config_version,
            list: pulse.list,
        };
        self.peers().insert(pulse.name.clone(), state);
        self.elect(now);
        self.pulses.send_modify(|count| *count += 1);
    }

    /// Decides again whether this daemon reads the store. Of two readers in a zone, the one that has been reading for
    /// longer continues, because a change of reader also moves the planner's lease. If they began together, the one on
    /// the larger VM continues. One whose own reads fail yields to any other, also when the store serves it again: its
    /// tables are older.
    pub fn elect(&self, now: Instant) {
        let reading = *self.reading.borrow();
        let own_time = self.reading_for(now);
        let has_failed = self.health.has_failed();
        let peers = self.peers();
        let better = self.live(&peers, now).any(|(name, peer)| {
            let candidate = peer.zone == self.zone && peer.reads_store;
            let difference = peer.reading_for.abs_diff(own_time);
            candidate
                && match (reading, difference > READING_TIME_TIE) {
                    (false, _) => true,
                    _ if has_failed => true,
                    (true, true) => peer.reading_for > own_time,
                    (true, false) => (peer.weight, rank(name)) > (self.weight, rank(&self.name)),
                }
        });
        drop(peers);
        if reading != better {
            return;
        }
        *self
            .reading_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = now;
        self.reading.send_replace(!better);
        log::info!("this daemon reads the store: {}", !better);
    }

    /// Returns a daemon that reads the store, preferably of the same zone. `failed` is chosen only if there is no
    /// other.
    pub fn source(&self, failed: Option<VmId>, now: Instant) -> Option<CopySource> {
        let peers = self.peers();
        let readers = self.live(&peers, now).filter(|(_, peer)| peer.reads_store);
        let best = readers.max_by_key(|(name, peer)| {
            let answers = Some(peer.vm) != failed;
            (answers, peer.zone == self.zone, rank(name))
        });
        best.map(|(_, peer)| peer.as_source())
    }

    /// Returns a daemon whose list of servers is newer than `position`, although it need not read the store: the one with
    /// the newest list, preferably of the same zone. `failed` is chosen only if there is no other.
    pub fn newer_list_source(
        &self,
        position: ListPosition,
        failed: Option<VmId>,
        now: Instant,
    ) -> Option<CopySource> {
        let peers = self.peers();
        let newer = self.live(&peers, now);
        let newer = newer.filter(|(_, peer)| peer.list > position);
        let best = newer.max_by_key(|(name, peer)| {
            let answers = Some(peer.vm) != failed;
            (answers, peer.list, peer.zone == self.zone, rank(name))
        });
        best.map(|(_, peer)| peer.as_source())
    }

    /// Returns a daemon whose configuration is newer than `version`, preferably of the same zone and then with the
    /// newest version. Among equals the choice is random, so that copies do not all come from one VM. `failed` is
    /// chosen only if there is no other.
    pub fn newer_config_source(
        &self,
        version: u64,
        failed: Option<VmId>,
        now: Instant,
    ) -> Option<CopySource> {
        let peers = self.peers();
        let live = self.live(&peers, now);
        let newer = live.filter(|(_, peer)| peer.config_version > version);
        let best = newer.max_by_key(|(_, peer)| {
            let answers = Some(peer.vm) != failed;
            let same_zone = peer.zone == self.zone;
            (
                answers,
                same_zone,
                peer.config_version,
                rand::random::<u32>(),
            )
        });
        best.map(|(_, peer)| peer.as_source())
    }

    /// Returns the newest version of the configuration at any live peer; 0 for none.
    pub fn newest_config_version(&self, now: Instant) -> u64 {
        let peers = self.peers();
        let versions = self.live(&peers, now).map(|(_, peer)| peer.config_version);
        versions.max().unwrap_or(0)
    }

    /// Returns the names of the daemons whose pulses arrived recently.
    pub fn live_names(&self, now: Instant) -> HashSet<SmolStr> {
        let peers = self.peers();
        let live = self.live(&peers, now);
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the peer addresses of the daemons whose pulses arrived recently.
    pub fn live_peers(&self, now: Instant) -> HashSet<SocketAddr> {
        let peers = self.peers();
        let live = self.live(&peers, now);
        live.map(|(_, peer)| peer.peer).collect()
    }

    /// Returns those of `peers` whose pulses arrived recently.
    fn live<'a>(
        &self,
        peers: &'a HashMap<SmolStr, PeerState>,
        now: Instant,
    ) -> impl Iterator<Item = (&'a SmolStr, &'a PeerState)> {
        let same_zone = peers.values().filter(|peer| peer.zone == self.zone).count();
        let schedule = PulseSchedule::new(same_zone, peers.len() - same_zone);
        let intervals = [schedule.interval(true), schedule.interval(false)];
        peers.iter().filter(move |(_, peer)| {
            let interval = intervals[usize::from(peer.zone != self.zone)];
            peer.received_at + interval * MISSED_PULSES + PULSE_SLACK > now
        })
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SmolStr, PeerState>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerState {
    fn as_source(&self) -> CopySource {
        CopySource {
            vm: self.vm,
            peer: self.peer,
            version: self.version,
        }
    }
}

fn rank(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The last copy of the tables.
#[derive(Clone, Copy, Debug)]
struct LastCopy {
    vm: VmId,
    /// Version that the source announced in its pulse.
    version: u64,
    servers_version: u64,
    position: ListPosition,
    at: Instant,
}

/// State of previous fetches, by which only changes are fetched.
#[derive(Debug, Default)]
pub struct FetchHistory {
    last: Option<LastCopy>,
    /// When the registrations of daemons were last copied.
    daemons_at: Option<Instant>,
    failures: SourceFailures,
}

/// The source that last failed to answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceFailures(Option<(VmId, Instant)>);

impl SourceFailures {
    /// Notes that `source` did not answer.
    pub fn note(&mut self, source: CopySource, now: Instant) {
        self.0 = Some((source.vm, now));
    }

    /// Returns the source that failed to answer within the last 2 s.
    pub fn latest(&self, now: Instant) -> Option<VmId> {
        let failed = self.0.filter(|(_, at)| *at + FAILURE_VALIDITY > now);
        failed.map(|(vm, _)| vm)
    }
}

impl FetchHistory {
    /// Returns whether `source` has changes that were not fetched yet, or the last copy is too old.
    pub fn is_due(&self, source: CopySource, now: Instant) -> bool {
        !self.last.is_some_and(|last| {
            (last.vm, last.version) == (source.vm, source.version) && last.at + MAX_COPY_AGE > now
        })
    }

    /// Returns the request for `source`. It asks only for changes since the last copy from it if this daemon's list of
    /// servers, which is at `position`, is still that copy.
    pub fn request(&self, source: CopySource, position: ListPosition, now: Instant) -> CopyRequest {
        let last = self.last.filter(|last| last.vm == source.vm);
        let unchanged = last.filter(|last| last.position == position);
        CopyRequest {
            servers_version: unchanged.map(|last| last.servers_version),
            daemons: last.is_none() || self.daemons_at.is_none_or(|at| at + DAEMONS_PERIOD <= now),
        }
    }

    /// Records a successful fetch from `source`.
    pub fn note_fetch(&mut self, source: CopySource, copy: &TableCopy, now: Instant) {
        if copy.daemons.is_some() {
            self.daemons_at = Some(now);
        }
        self.last = Some(LastCopy {
            vm: source.vm,
            version: source.version,
            servers_version: copy.servers.version,
            position: copy.servers.position,
            at: now,
        });
    }

    /// Forgets the last copy, because this daemon's tables now come from its own reads.
    pub fn clear(&mut self) {
        self.last = None;
    }

    /// Notes that `source` did not answer.
    pub fn note_failure(&mut self, source: CopySource, now: Instant) {
        self.failures.note(source, now);
    }

    /// Returns the source that failed to answer within the last 2 s.
    pub fn failed_source(&self, now: Instant) -> Option<VmId> {
        self.failures.latest(now)
    }
}
