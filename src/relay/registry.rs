//! The daemons of the fleet, as they register themselves in the store, and the share of each.
//!
//! Each team's rate and burst is kept by a few daemons, its *homes*, in equal shares, for a term after each of them last
//! renewed its record. The others borrow from them. A team that was split over the whole of a large fleet would leave
//! every daemon less than one request takes. A daemon whose record is not renewed for longer than the term, while the records can be read all along, is
//! no longer counted. A new daemon waits until all others have read its record before it uses its share.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::TeamSpec;
use crate::error::{Error, Result};
use crate::ids::VmId;
use crate::kernel::TaskGroup;
use crate::limit::LimitService;
use crate::member::{ShareGrant, ShareSink, WHOLE_PPM};
use crate::peer::PeerCaller;
use crate::relay::follower::{TableChange, TableSink};
use crate::relay::store::{KeyedRecord, RecordStore, StoreTable};
use crate::timer::TimerService;

/// Time between two renewals; less than half of the usual term, so that one may be lost.
const RENEW_PERIOD: Duration = Duration::from_secs(14);
/// Pause after a renewal that failed.
const RENEW_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Period in which the share is worked out anew.
const SHARE_PERIOD: Duration = Duration::from_millis(200);
/// Daemons among which budgets are split while fewer are known.
const MIN_DAEMONS: u32 = 8;
/// Tokens of burst per home: several of the largest requests.
const BURST_PER_HOME: u64 = 10_000;
/// Homes of a team at least, so that the loss of one leaves most of its rate.
const MIN_HOMES: usize = 3;
/// Longest wait for a renewal's answer.
const RENEW_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to the term before a silent daemon is no longer counted: clocks of VMs run at slightly different speed.
const TERM_MARGIN: Duration = Duration::from_secs(3);

/// What a daemon writes of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Incarnation.
    pub vm: VmId,
    pub zone: SmolStr,
    /// Address of its peer server.
    pub peer: SocketAddr,
    /// Address at which it receives pulses.
    pub pulse: SocketAddr,
}

/// How a daemon takes part.
#[derive(Clone, Debug)]
pub struct RegistrySettings {
    /// Name of the VM, under which its record stands.
    pub name: SmolStr,
    pub record: DaemonRecord,
    /// Time for which a share is valid after a renewal.
    pub term: Duration,
    /// Time in which every other daemon that reaches the store has read a new record.
    pub settle_time: Duration,
}

struct Member {
    record: DaemonRecord,
    /// When a record was last read.
    seen_at: Instant,
}

#[derive(Default)]
struct RegistryState {
    members: BTreeMap<SmolStr, Member>,
    /// Start of the present time without a failed read.
    readable_since: Option<Instant>,
    /// Whether this VM's record stood in the table before this process wrote its own.
    was_registered: Option<bool>,
    /// When the first renewal of this process was acknowledged.
    registered_at: Option<Instant>,
    /// Time before the newest acknowledged renewal was sent.
    renewed_at: Option<Instant>,
    /// Grows with each change of the registered daemons.
    version: u64,
}

/// The registered daemons. Share it in an [`Arc`].
pub struct DaemonRegistry {
    settings: RegistrySettings,
    state: Mutex<RegistryState>,
    count: watch::Sender<u32>,
}

impl DaemonRegistry {
    /// Creates a registry that knows of no daemon.
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            state: Mutex::default(),
            count: watch::Sender::new(MIN_DAEMONS),
        }
    }

    /// Subscribes to the number of daemons among which the fleet's budgets are split.
    pub fn subscribe_count(&self) -> watch::Receiver<u32> {
        self.count.subscribe()
    }

    /// Renews this daemon's record and hands its shares to `limits`, in tasks of `group`.
    pub fn spawn<R: RecordStore, C: PeerCaller>(
        self: &Arc<Self>,
        store: Arc<R>,
        limits: Arc<LimitService<C>>,
        mut teams: watch::Receiver<Vec<TeamSpec>>,
        timer: &TimerService,
        group: &TaskGroup,
    ) {
        group.spawn_cancellable(renew(self.clone(), store));
        let mut ticks = timer.every(SHARE_PERIOD);
        let registry = self.clone();
        // Until it is registered this daemon may spend what it borrows.
        let now = Instant::now();
        limits.adopt_share(Some(self.share(now)), now);
        group.spawn_cancellable(async move {
            // Version of the registered daemons by which the shares were worked out.
            let mut known = None;
            while let Some(now) = ticks.next().await {
                registry.expire(now);
                let version = Some(registry.version());
                if known != version || teams.has_changed().unwrap_or(false) {
                    known = version;
                    // The limiter reads the teams as well, so they must be free again before it is called.
                    let shares = registry.team_shares(&teams.borrow_and_update());
                    limits.set_team_shares(shares);
                }
                limits.adopt_share(Some(registry.share(now)), now);
            }
        });
    }

    /// Returns the share of this daemon. Without a valid registration it has none, and may only spend what it borrows.
    pub fn share(&self, now: Instant) -> ShareGrant {
        let state = self.state();
        let others = state.members.keys();
        let others = others.filter(|name| **name != self.settings.name).count();
        match state.term_end(&self.settings, now) {
            Some(until) => ShareGrant {
                vm: self.settings.record.vm,
                ppm: WHOLE_PPM / (others as u32 + 1),
                until,
            },
            None => ShareGrant {
                vm: self.settings.record.vm,
                ppm: 0,
                until: now + self.settings.term,
            },
        }
    }

    /// Returns this daemon's share of each team of which it is a home, in parts per million.
    pub fn team_shares(&self, teams: &[TeamSpec]) -> HashMap<SmolStr, u32> {
        let state = self.state();
        let mut members: Vec<(&SmolStr, &SmolStr)> = state
            .members
            .iter()
            .map(|(name, member)| (name, &member.record.zone))
            .filter(|(name, _)| **name != self.settings.name)
            .collect();
        members.push((&self.settings.name, &self.settings.record.zone));
        let shares = teams.iter().filter_map(|team| {
            let homes = homes(team, &members);
            let own = homes.contains(&&self.settings.name);
            own.then(|| (team.name.clone(), WHOLE_PPM / homes.len() as u32))
        });
        shares.collect()
    }

    /// Returns a number that grows with each change of the registered daemons.
    pub fn version(&self) -> u64 {
        self.state().version
    }

    /// Returns the other daemons.
    pub fn peers(&self) -> Vec<(SmolStr, DaemonRecord)> {
        let state = self.state();
        let members = state.members.iter();
        let others = members.filter(|(name, _)| **name != self.settings.name);
        others
            .map(|(name, member)| (name.clone(), member.record.clone()))
            .collect()
    }

    /// Returns the other daemons with the age of what is known of them, and this daemon itself.
    pub fn registrations(&self, now: Instant) -> Vec<(SmolStr, DaemonRecord, Duration)> {
        let state = self.state();
        let members = state.members.iter();
        let copies = members.map(|(name, member)| {
            let age = now.saturating_duration_since(member.seen_at);
            (name.clone(), member.record.clone(), age)
        });
        copies.collect()
    }

    /// Takes over what another daemon has read.
    pub fn apply_copy(&self, daemons: Vec<(SmolStr, DaemonRecord, Duration)>, now: Instant) {
        let mut state = self.state();
        state.retain(|name, _| daemons.iter().any(|(other, _, _)| other == name));
        for (name, record, age) in daemons {
            let seen_at = now.checked_sub(age).unwrap_or(now);
            state.insert(name, record, seen_at);
        }
        state.readable_since.get_or_insert(now);
    }

    /// Returns this daemon's name and record.
    pub fn own_registration(&self) -> (&SmolStr, &DaemonRecord) {
        (&self.settings.name, &self.settings.record)
    }

    /// Notes that a renewal sent at `sent_at` was acknowledged.
    fn note_renewal(&self, sent_at: Instant) {
        let mut state = self.state();
        state.registered_at.get_or_insert_with(Instant::now);
        state.renewed_at = Some(sent_at);
    }

    /// Drops daemons whose term is surely over. Nothing is sure unless the table could be read all the time.
    fn expire(&self, now: Instant) {
        let validity = self.settings.term + TERM_MARGIN;
        let mut state = self.state();
        let known = u32::try_from(state.members.len()).unwrap_or(u32::MAX);
        self.count.send_replace(known.max(MIN_DAEMONS));
        let Some(readable) = state.readable_since else {
            return;
        };
        if readable + validity > now {
            return;
        }
        let own = &self.settings.name;
        state.retain(|name, member| {
            let keep = name == own || member.seen_at + validity > now;
            if !keep {
                log::info!("daemon {name} is no longer counted: its term is over");
            }
            keep
        });
    }

    fn state(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableSink for DaemonRegistry {
    fn apply(&self, change: TableChange) {
        let now = Instant::now();
        let mut state = self.state();
        match change {
            TableChange::Unreachable => {
                state.readable_since = None;
                return;
            }
            TableChange::Snapshot(records) => {
                let own = records
                    .iter()
                    .any(|record| record.key == self.settings.name && record.value.is_some());
                state.was_registered.get_or_insert(own);
                let listed = |name: &SmolStr| records.iter().any(|record| record.key == *name);
                state.retain(|name, _| listed(name));
                state.apply(records, now);
            }
            TableChange::Records(records) => state.apply(records, now),
        }
        state.readable_since.get_or_insert(now);
    }
}

/// Returns the daemons that keep the tokens of a team: one of each zone first, then by rank.
fn homes<'a>(team: &TeamSpec, members: &[(&'a SmolStr, &'a SmolStr)]) -> Vec<&'a SmolStr> {
    let wanted = (team.burst / BURST_PER_HOME) as usize;
    let wanted = wanted.max(MIN_HOMES).min(members.len());
    let mut ranked = members.to_vec();
    ranked.sort_by_cached_key(|(name, _)| xxh3_64(format!("{}\0{name}", team.name).as_bytes()));
    let mut zones = HashSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|(_, zone)| zones.insert(*zone));
    let order = first.into_iter().chain(rest);
    order.take(wanted).map(|(name, _)| name).collect()
}

impl RegistryState {
    /// Returns the end of the term in which this daemon may use its shares.
    fn term_end(&self, settings: &RegistrySettings, now: Instant) -> Option<Instant> {
        let until = self.renewed_at? + settings.term;
        let settled = match self.was_registered? {
            true => true,
            false => now >= self.registered_at? + settings.settle_time,
        };
        (settled && now < until).then_some(until)
    }

    fn insert(&mut self, name: SmolStr, record: DaemonRecord, seen_at: Instant) {
        let known = self.members.get(&name).map(|member| &member.record);
        self.version += u64::from(known != Some(&record));
        self.members.insert(name, Member { record, seen_at });
    }

    fn retain(&mut self, keep: impl Fn(&SmolStr, &Member) -> bool) {
        let before = self.members.len();
        self.members.retain(|name, member| keep(name, member));
        self.version += (before - self.members.len()) as u64;
    }

    fn apply(&mut self, records: Vec<KeyedRecord>, now: Instant) {
        for KeyedRecord { key, value } in records {
            let Some(value) = value else {
                self.retain(|name, _| *name != key);
                continue;
            };
            match decode(&value) {
                Ok(record) => self.insert(key, record, now),
                Err(error) => log::warn!("record of daemon {key} is skipped: {error}"),
            }
        }
    }
}

async fn renew<R: RecordStore>(registry: Arc<DaemonRegistry>, store: Arc<R>) {
    let value = match encode(&registry.settings.record) {
        Ok(value) => value,
        Err(error) => {
            log::error!("this daemon cannot register: {error}");
            return;
        }
    };
    // The table must have been read first, to know whether this VM was counted before.
    while registry.state().was_registered.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    loop {
        let sent_at = Instant::now();
        let put = store.put(StoreTable::Daemons, &registry.settings.name, value.clone());
        let pause = match tokio::time::timeout(RENEW_TIMEOUT, put).await {
            Ok(Ok(())) => {
                registry.note_renewal(sent_at);
                RENEW_PERIOD
            }
            Ok(Err(error)) => {
                log::info!("the record of this daemon was not renewed: {error}");
                RENEW_RETRY_DELAY
            }
            Err(_) => RENEW_RETRY_DELAY,
        };
        tokio::time::sleep(pause).await;
    }
}

fn encode(record: &DaemonRecord) -> Result<Bytes> {
    bincode::serde::encode_to_vec(record, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|error| Error::internal(format!("record cannot be encoded: {error}")))
}

fn decode(data: &[u8]) -> Result<DaemonRecord> {
    bincode::serde::decode_from_slice(data, bincode::config::standard())
        .map(|(record, _)| record)
        .map_err(|error| Error::invalid(format!("record cannot be decoded: {error}")))
}
