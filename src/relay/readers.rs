//! Which daemons read the store, and how the others learn what it says.
//!
//! One daemon of each zone reads the tables of the store and tells the others in its pulses when something has changed;
//! they fetch a copy from it. Calls to the store so grow with the zones and not with the daemons. Election is by rank
//! among the daemons that were heard of lately, so that a wrong view costs calls only.

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
use crate::relay::registry::DaemonRecord;
use crate::relay::server_list::ServerDelta;

/// Intervals between pulses after which a daemon that is not heard of counts as gone.
const MISSED_PULSES: u32 = 3;
/// Added to them: the reader may be slow for a moment.
const PULSE_SLACK: Duration = Duration::from_millis(300);
/// Time after the last successful read in which a daemon still counts as reading: longer than a read waits before it is
/// late.
const READ_VALIDITY: Duration = Duration::from_millis(3_500);
/// Difference between the times of two readers below which they count as having begun together.
const READING_TIME_TIE: Duration = Duration::from_millis(1_000);
/// Longest time between two fetches: the ages of registrations are part of a copy.
const MAX_COPY_AGE: Duration = Duration::from_secs(5);
/// Time between two copies of the daemons' registrations, which change seldom.
const DAEMONS_PERIOD: Duration = Duration::from_secs(1);
/// Time for which another source goes before one that did not answer.
const FAILURE_VALIDITY: Duration = Duration::from_secs(2);

/// What a daemon asks of one that reads the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// Version of the list of backend servers that the asker has copied from this daemon.
    pub servers_version: Option<u64>,
    /// Whether to send the registrations of daemons.
    pub daemons: bool,
}

/// What a daemon that reads the store passes on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCopy {
    pub servers: ServerDelta,
    /// Name, record and age of each registration, if they were asked for.
    pub daemons: Option<Vec<(SmolStr, DaemonRecord, Duration)>>,
}

/// Whether this daemon's own reads succeed.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Time of the last successful read, unless a later one failed.
    read_at: Mutex<Option<Instant>>,
}

impl StoreHealth {
    /// Notes a read.
    pub fn note(&self, succeeded: bool, now: Instant) {
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner) = succeeded.then_some(now);
    }

    /// Returns whether the store can be read.
    pub fn is_reading(&self, now: Instant) -> bool {
        let read_at = self.read_at.lock().unwrap_or_else(PoisonError::into_inner);
        read_at.is_some_and(|at| at + READ_VALIDITY > now)
    }
}

/// What is known of a peer.
#[derive(Debug)]
struct PeerState {
    vm: VmId,
    zone: SmolStr,
    peer: SocketAddr,
    received_at: Instant,
    reads_store: bool,
    /// How long it has read the store, as of `received_at`.
    reading_for: Duration,
    weight: u32,
    version: u64,
    config_version: u64,
}

/// A daemon from which to fetch, and what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopySource {
    pub vm: VmId,
    pub peer: SocketAddr,
    pub version: u64,
}

/// Decides whether this daemon reads the store. Share it in an [`Arc`].
pub struct ReaderElection {
    name: SmolStr,
    zone: SmolStr,
    weight: u32,
    peers: Mutex<HashMap<SmolStr, PeerState>>,
    reading: watch::Sender<bool>,
    /// Start of the present time as a reader.
    reading_since: Mutex<Instant>,
    health: Arc<StoreHealth>,
    /// Grows with each pulse; wakes whoever fetches copies.
    pulses: watch::Sender<u64>,
}

impl ReaderElection {
    /// Creates an election in which this daemon reads until it hears of a better one.
    /// `weight` is the size of this VM.
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

    /// Returns whether this daemon reads the store, with success.
    pub fn is_reading(&self, now: Instant) -> bool {
        *self.reading.borrow() && self.health.is_reading(now)
    }

    /// Returns how long this daemon has read the store.
    pub fn reading_for(&self, now: Instant) -> Duration {
        let since = self
            .reading_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        now.saturating_duration_since(*since)
    }

    /// Subscribes to pulses, which may bring news.
    pub fn subscribe_pulses(&self) -> watch::Receiver<u64> {
        self.pulses.subscribe()
    }

    /// Takes in a pulse.
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
        };
        self.peers().insert(pulse.name.clone(), state);
        self.elect(now);
        self.pulses.send_modify(|count| *count += 1);
    }

    /// Works out again whether this daemon reads the store. Of two readers in a zone the one that has read for longer
    /// stays: another choice would move the planner's lease for nothing.
    pub fn elect(&self, now: Instant) {
        let reading = *self.reading.borrow();
        let own_time = self.reading_for(now);
        let peers = self.peers();
        let better = self.live(&peers, now).any(|(name, peer)| {
            let candidate = peer.zone == self.zone && peer.reads_store;
            let difference = peer.reading_for.abs_diff(own_time);
            candidate
                && match (reading, difference > READING_TIME_TIE) {
                    (false, _) => true,
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

    /// Returns a daemon that reads the store, of the own zone if there is one; `failed` comes last.
    pub fn source(&self, failed: Option<VmId>, now: Instant) -> Option<CopySource> {
        let peers = self.peers();
        let readers = self.live(&peers, now).filter(|(_, peer)| peer.reads_store);
        let best = readers.max_by_key(|(name, peer)| {
            let answers = Some(peer.vm) != failed;
            (answers, peer.zone == self.zone, rank(name))
        });
        best.map(|(_, peer)| peer.as_source())
    }

    /// Returns a daemon that has a newer configuration than `version`: any of those of the own zone that have the newest, if
    /// there are some, so that the copies do not all come from one VM. `failed` is the last choice.
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

    /// Returns the newest version of the configuration that a peer is known to have; 0 for none.
    pub fn newest_config_version(&self, now: Instant) -> u64 {
        let peers = self.peers();
        let versions = self.live(&peers, now).map(|(_, peer)| peer.config_version);
        versions.max().unwrap_or(0)
    }

    /// Returns the peer addresses of the daemons that were heard of lately.
    pub fn live_peers(&self, now: Instant) -> HashSet<SocketAddr> {
        let peers = self.peers();
        let live = self.live(&peers, now);
        live.map(|(_, peer)| peer.peer).collect()
    }

    /// Returns those of `peers` that were heard of lately.
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

/// What was copied last.
#[derive(Clone, Copy, Debug)]
struct LastCopy {
    vm: VmId,
    /// Version that its source told in its pulses.
    version: u64,
    servers_version: u64,
    at: Instant,
}

/// Remembers what was fetched, to fetch only what is new.
#[derive(Debug, Default)]
pub struct FetchHistory {
    last: Option<LastCopy>,
    /// When the registrations of daemons were copied last.
    daemons_at: Option<Instant>,
    failures: SourceFailures,
}

/// Remembers the source that did not answer last.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceFailures(Option<(VmId, Instant)>);

impl SourceFailures {
    /// Notes that `source` did not answer.
    pub fn note(&mut self, source: CopySource, now: Instant) {
        self.0 = Some((source.vm, now));
    }

    /// Returns the source that did not answer a moment ago.
    pub fn latest(&self, now: Instant) -> Option<VmId> {
        let failed = self.0.filter(|(_, at)| *at + FAILURE_VALIDITY > now);
        failed.map(|(vm, _)| vm)
    }
}

impl FetchHistory {
    /// Returns whether `source` has something that was not fetched yet, or the last copy has become old.
    pub fn is_due(&self, source: CopySource, now: Instant) -> bool {
        !self.last.is_some_and(|last| {
            (last.vm, last.version) == (source.vm, source.version) && last.at + MAX_COPY_AGE > now
        })
    }

    /// Returns what to ask of `source`, so that nothing is sent again that was copied before.
    pub fn request(&self, source: CopySource, now: Instant) -> CopyRequest {
        let last = self.last.filter(|last| last.vm == source.vm);
        CopyRequest {
            servers_version: last.map(|last| last.servers_version),
            daemons: last.is_none() || self.daemons_at.is_none_or(|at| at + DAEMONS_PERIOD <= now),
        }
    }

    /// Notes a fetch from `source`.
    pub fn note_fetch(&mut self, source: CopySource, copy: &TableCopy, now: Instant) {
        if copy.daemons.is_some() {
            self.daemons_at = Some(now);
        }
        self.last = Some(LastCopy {
            vm: source.vm,
            version: source.version,
            servers_version: copy.servers.version,
            at: now,
        });
    }

    /// Forgets the last copy: this daemon's list now comes from elsewhere.
    pub fn clear(&mut self) {
        self.last = None;
    }

    /// Notes that `source` did not answer.
    pub fn note_failure(&mut self, source: CopySource, now: Instant) {
        self.failures.note(source, now);
    }

    /// Returns the source that did not answer a moment ago.
    pub fn failed_source(&self, now: Instant) -> Option<VmId> {
        self.failures.latest(now)
    }
}
