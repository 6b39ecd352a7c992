//! Registrations of the fleet's daemons in the metadata store, and the shares of rates that follow from them.
//!
//! Each team's rate and burst is divided equally among a few daemons, its *homes*, which keep its tokens; other
//! daemons borrow tokens from them. If a team were divided among all daemons of a large fleet, the share of each would
//! be smaller than one request.
//!
//! A daemon may use its shares for a term after it last renewed its record. A daemon whose record is not renewed for
//! longer than the term, while the records are readable without interruption, is dropped. A new daemon waits until all
//! others have read its record before it uses its shares.
//!
//! A restored store may lack records that daemons rely on. A daemon whose record it lacks writes it again at once, and
//! the others keep it for its term.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::TeamSpec;
use crate::error::{Error, Result};
use crate::ids::{StoreEra, VmId};
use crate::kernel::TaskGroup;
use crate::limit::LimitService;
use crate::member::{ShareGrant, ShareSink, WHOLE_PPM};
use crate::peer::PeerCaller;
use crate::relay::follower::{TableChange, TableSink};
use crate::relay::store::{KeyedRecord, RecordStore, StoreTable, TableRead};
use crate::relay::version_history::{DatedReport, VersionReport};
use crate::routing::divide_requests;
use crate::timer::TimerService;

/// Time between two renewals. It is less than half of the usual term, so that one renewal may be lost.
const RENEW_PERIOD: Duration = Duration::from_secs(14);
/// Delay after a failed renewal.
const RENEW_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Period in which the shares are recalculated.
const SHARE_PERIOD: Duration = Duration::from_millis(200);
/// Smallest number of daemons among which the fleet's budgets are divided, even if fewer are known.
const MIN_DAEMONS: u32 = 8;
/// Tokens of a team's burst per home; enough for several of the largest requests.
const BURST_PER_HOME: u64 = 10_000;
/// Smallest number of homes of a team, so that most of its rate is left when one of them fails.
const MIN_HOMES: usize = 3;
/// Longest wait for the answer to a renewal. The time left of the usual term suffices for another one.
const RENEW_TIMEOUT: Duration = Duration::from_secs(6);
/// Added to the term before a daemon that does not renew its record is dropped, because clocks of VMs run at slightly
/// different speeds.
const TERM_MARGIN: Duration = Duration::from_secs(3);

/// Time for which a daemon that was dropped is remembered. Far longer than a store refuses a daemon.
const FORMER_TIME: Duration = Duration::from_secs(3_600);

/// A daemon's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Random id of this run of the daemon.
    pub vm: VmId,
    pub zone: SmolStr,
    /// Address of its peer server.
    pub peer: SocketAddr,
    /// Address at which it receives pulses (heartbeat datagrams).
    pub pulse: SocketAddr,
}

/// Settings of a daemon's registration.
#[derive(Clone, Debug)]
pub struct RegistrySettings {
    /// Name of the VM, which is the key of its record.
    pub name: SmolStr,
    pub record: DaemonRecord,
    /// Time for which a share is valid after a renewal.
    pub term: Duration,
    /// Time within which every other daemon that can reach the store has read a new record.
    pub settle_time: Duration,
}

/// A registered daemon in a copy of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    pub name: SmolStr,
    pub record: DaemonRecord,
    /// Time since the record was last read.
    pub age: Duration,
    /// Era of the store in which the record was last read.
    pub era: StoreEra,
}

/// Copy of the registered daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryCopy {
    /// Newest era of the store in which the table was read.
    pub era: StoreEra,
    pub registrations: Vec<Registration>,
}

struct Member {
    record: DaemonRecord,
    /// When its record was last read.
    seen_at: Instant,
    /// Era of the store in which its record was last read.
    era: StoreEra,
}

/// A daemon whose term has ended without a renewal. It may run on while the store refuses it.
struct FormerMember {
    record: DaemonRecord,
    dropped_at: Instant,
}

#[derive(Default)]
struct RegistryState {
    members: BTreeMap<SmolStr, Member>,
    /// Daemons that were dropped because their term had ended.
    former: BTreeMap<SmolStr, FormerMember>,
    /// What the records that were read say of software versions, by daemon.
    reports: BTreeMap<SmolStr, DatedReport>,
    /// What this daemon's record says.
    own_report: VersionReport,
    /// Start of the current period without a failed read; `None` after a failed read.
    readable_since: Option<Instant>,
    /// Whether the table contained a record of this VM before this process wrote its own; `None` until the table was
    /// read.
    was_registered: Option<bool>,
    /// When the first renewal of this process was acknowledged.
    registered_at: Option<Instant>,
    /// When the last acknowledged renewal was sent.
    renewed_at: Option<Instant>,
    /// Increases with each change of the registered daemons or of the era.
    version: u64,
    /// Newest era of the store in which the table was read.
    era: Option<StoreEra>,
    /// When the table was first read in this era.
    era_since: Option<Instant>,
}

/// The registered daemons. Share it in an [`Arc`].
pub struct DaemonRegistry {
    settings: RegistrySettings,
    state: Mutex<RegistryState>,
    count: watch::Sender<u32>,
    /// Wakes the renewal of this daemon's record when the store has lost it.
    lost: Notify,
}

impl DaemonRegistry {
    /// Creates a registry without daemons.
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            state: Mutex::default(),
            count: watch::Sender::new(MIN_DAEMONS),
            lost: Notify::new(),
        }
    }

    /// Subscribes to the number of daemons among which the fleet's budgets are divided.
    pub fn subscribe_count(&self) -> watch::Receiver<u32> {
        self.count.subscribe()
    }

    /// Spawns tasks in `group` that renew this daemon's record and pass its shares to `limits`.
    pub fn spawn<R: RecordStore, C: PeerCaller>(
        self: &Arc<Self>,
        store: Arc<R>,
        limits: Arc<LimitService<C>>,
        mut teams: watch::Receiver<Vec<TeamSpec>>,
        timer: &TimerService,
        group: &TaskGroup,
    ) {
        let registry = self.clone();
        group.spawn_service("registration", move || {
            renew(registry.clone(), store.clone())
        });
        let registry = self.clone();
        // Until it is registered, this daemon has no share but may spend borrowed tokens.
        let now = Instant::now();
        limits.adopt_share(Some(self.share(now)), now);
        // Version of the registered daemons from which the shares were calculated.
        let mut known = None;
        timer.spawn_periodic(group, "shares", SHARE_PERIOD, move |now| {
            registry.expire(now);
            let version = Some(registry.version());
            if known != version || teams.has_changed().unwrap_or(false) {
                known = version;
                // The limiter also locks the teams, so the borrow must end before it is called: otherwise the two
                // deadlock.
                let shares = registry.team_shares(&teams.borrow_and_update());
                limits.set_team_shares(shares);
            }
            limits.adopt_share(Some(registry.share(now)), now);
        });
    }

    /// Returns the share of this daemon, in parts per million. Without a valid registration the share is 0 and the
    /// daemon may only spend borrowed tokens.
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

    /// Returns how many of `requests` to the cold server `id` this daemon may send in any second, and until when. The
    /// shares of all daemons add up to at most `requests`, as those of a team do.
    pub fn cold_share(&self, id: &SmolStr, requests: u32, now: Instant) -> (u32, Instant) {
        let state = self.state();
        let Some(until) = state.term_end(&self.settings, now) else {
            return (0, now);
        };
        let own = (&self.settings.name, &self.settings.record.zone);
        let members = state.members.iter();
        let members = members.map(|(name, member)| (name, &member.record.zone));
        let members = members.filter(|(name, _)| *name != own.0).chain([own]);
        let members: Vec<_> = members.collect();
        let (share, holders) = divide_requests(requests, members.len() as u32);
        let homes = ranked_homes(id, holders as usize, &members);
        match homes.contains(&own.0) {
            true => (share, until),
            false => (0, until),
        }
    }

    /// Returns a number that increases with each change of the registered daemons.
    pub fn version(&self) -> u64 {
        self.state().version
    }

    /// Returns the names and records of the other daemons.
    pub fn peers(&self) -> Vec<(SmolStr, DaemonRecord)> {
        let state = self.state();
        let members = state.members.iter();
        let others = members.filter(|(name, _)| **name != self.settings.name);
        others
            .map(|(name, member)| (name.clone(), member.record.clone()))
            .collect()
    }

    /// Returns the names and records of the daemons that get pulses: the registered ones, and former ones that `is_heard`
    /// says are running. These hold no share of any rate, but learn from their peers what the store does not tell them.
    pub fn pulse_receivers(
        &self,
        is_heard: impl Fn(&SmolStr) -> bool,
    ) -> Vec<(SmolStr, DaemonRecord)> {
        let mut receivers = self.peers();
        let state = self.state();
        let former = state.former.iter().filter(|(name, _)| is_heard(name));
        receivers.extend(former.map(|(name, member)| (name.clone(), member.record.clone())));
        receivers
    }

    /// Takes what daemons, also former ones, wrote of software versions with their records, as of `today`.
    pub fn take_reports(&self, today: SystemTime) -> Vec<VersionReport> {
        let reports = std::mem::take(&mut self.state().reports);
        reports.values().map(|report| report.at(today)).collect()
    }

    /// Sets what this daemon knows of software versions. Its record is written again at once when the versions change, so that
    /// a record holds as long as its daemon lived.
    pub fn set_report(&self, report: VersionReport) {
        let mut state = self.state();
        let known = std::mem::replace(&mut state.own_report, report);
        let new = &state.own_report;
        let is_changed = known.listed != new.listed || known.mixed.len() != new.mixed.len();
        let is_first = known.listed == 0;
        drop(state);
        if is_changed && !is_first {
            self.lost.notify_one();
        }
    }

    /// Returns the newest era of the store in which the table was read.
    pub fn era(&self) -> StoreEra {
        self.state().era.unwrap_or_default()
    }

    /// Returns all registered daemons, including this one, for a daemon that copies the table.
    pub fn registrations(&self, now: Instant) -> RegistryCopy {
        let state = self.state();
        let members = state.members.iter();
        let registrations = members.map(|(name, member)| Registration {
            name: name.clone(),
            record: member.record.clone(),
            age: now.saturating_duration_since(member.seen_at),
            era: member.era,
        });
        RegistryCopy {
            era: state.era.unwrap_or_default(),
            registrations: registrations.collect(),
        }
    }

    /// Adds the daemons that only a copy from another daemon names. That daemon does not read the store, so that the copy may
    /// lack daemons and be older than what is known.
    pub fn apply_unconfirmed(&self, copy: RegistryCopy, now: Instant) {
        let mut state = self.state();
        for copied in copy.registrations {
            if state.members.contains_key(&copied.name) {
                continue;
            }
            let member = Member {
                record: copied.record,
                seen_at: now.checked_sub(copied.age).unwrap_or(now),
                era: copied.era,
            };
            state.insert(copied.name, member);
        }
    }

    /// Replaces the registered daemons by a copy from another daemon, unless the copy is of an older era of the store.
    pub fn apply_copy(&self, copy: RegistryCopy, now: Instant) {
        let mut state = self.state();
        if !state.enter_era(copy.era, now) {
            return;
        }
        state.retain_listed(copy.era, |name| {
            copy.registrations.iter().any(|other| other.name == *name)
        });
        for copied in copy.registrations {
            let member = Member {
                record: copied.record,
                seen_at: now.checked_sub(copied.age).unwrap_or(now),
                era: copied.era,
            };
            state.insert(copied.name, member);
        }
        state.readable_since.get_or_insert(now);
        self.check_own_record(&state);
    }

    /// Wakes the renewal of this daemon's record if the store lost it after the last renewal.
    fn check_own_record(&self, state: &RegistryState) {
        let own = state.members.get(&self.settings.name);
        let is_listed = own.is_some_and(|own| {
            Some(own.era) == state.era && own.record.vm == self.settings.record.vm
        });
        if !is_listed && state.renewed_at.is_some() && state.renewed_at < state.era_since {
            log::info!("the store has lost the record of this daemon, which is written again");
            self.lost.notify_one();
        }
    }

    /// Returns this daemon's name and record.
    pub fn own_registration(&self) -> (&SmolStr, &DaemonRecord) {
        (&self.settings.name, &self.settings.record)
    }

    /// Records that a renewal sent at `sent_at` was acknowledged.
    fn note_renewal(&self, sent_at: Instant) {
        let mut state = self.state();
        state.registered_at.get_or_insert_with(Instant::now);
        state.renewed_at = Some(sent_at);
    }

    /// Drops daemons whose term has certainly ended. This is certain only if the table was readable for the whole time.
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
        let is_valid =
            |name: &SmolStr, member: &Member| name == own || member.seen_at + validity > now;
        let expired = state.members.iter();
        let expired = expired.filter(|(name, member)| !is_valid(name, member));
        let former = expired.map(|(name, member)| {
            log::info!("dropping daemon {name}: its registration has expired");
            let record = member.record.clone();
            let dropped_at = now;
            (name.clone(), FormerMember { record, dropped_at })
        });
        let former: Vec<_> = former.collect();
        state.former.extend(former);
        state.retain(is_valid);
        state
            .former
            .retain(|_, member| member.dropped_at + FORMER_TIME > now);
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
            TableChange::Snapshot(read) => {
                if !state.enter_era(read.era, now) {
                    return;
                }
                let mut records = read.records.iter();
                let own = records
                    .any(|record| record.key == self.settings.name && record.value.is_some());
                state.was_registered.get_or_insert(own);
                let present: HashSet<&SmolStr> = read.keys().collect();
                state.retain_listed(read.era, |name| present.contains(name));
                state.apply(read, now);
                self.check_own_record(&state);
            }
            TableChange::Records(read) => {
                if !state.enter_era(read.era, now) {
                    return;
                }
                state.apply(read, now);
            }
        }
        state.readable_since.get_or_insert(now);
    }
}

/// Returns the homes of a team. Daemons are ranked by a hash of the names of team and daemon.
fn homes<'a>(team: &TeamSpec, members: &[(&'a SmolStr, &'a SmolStr)]) -> Vec<&'a SmolStr> {
    let wanted = (team.burst / BURST_PER_HOME) as usize;
    let wanted = wanted.max(MIN_HOMES).min(members.len());
    ranked_homes(&team.name, wanted, members)
}

/// Returns the `wanted` daemons that come first in the order that `key` gives them. The first of each zone goes before the
/// rest.
fn ranked_homes<'a>(
    key: &SmolStr,
    wanted: usize,
    members: &[(&'a SmolStr, &'a SmolStr)],
) -> Vec<&'a SmolStr> {
    let mut ranked = members.to_vec();
    ranked.sort_by_cached_key(|(name, _)| xxh3_64(format!("{key}\0{name}").as_bytes()));
    let mut zones = HashSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|(_, zone)| zones.insert(*zone));
    let order = first.into_iter().chain(rest);
    order.take(wanted).map(|(name, _)| name).collect()
}

impl RegistryState {
    /// Returns the end of the term during which this daemon may use its shares; `None` if it may not use them now.
    fn term_end(&self, settings: &RegistrySettings, now: Instant) -> Option<Instant> {
        let until = self.renewed_at? + settings.term;
        let settled = match self.was_registered? {
            true => true,
            false => now >= self.registered_at? + settings.settle_time,
        };
        (settled && now < until).then_some(until)
    }

    /// Notes that the table was read in `era`. Returns false if it was already read in a newer one.
    fn enter_era(&mut self, era: StoreEra, now: Instant) -> bool {
        if self.era.is_some_and(|known| era < known) {
            return false;
        }
        let known = self.era.replace(era);
        if known.is_some_and(|known| era > known) {
            // Daemons that copy the table learn of the era.
            self.version += 1;
            self.era_since = Some(now);
        }
        true
    }

    /// Drops the daemons that a whole table of `era` does not list. One whose record was last read in an earlier era is
    /// kept until its term ends: the store may have lost the record while the daemon still uses its shares.
    fn retain_listed(&mut self, era: StoreEra, listed: impl Fn(&SmolStr) -> bool) {
        self.retain(|name, member| member.era < era || listed(name));
    }

    fn insert(&mut self, name: SmolStr, member: Member) {
        let known = self.members.get(&name).map(|known| &known.record);
        self.version += u64::from(known != Some(&member.record));
        self.former.remove(&name);
        self.members.insert(name, member);
    }

    fn retain(&mut self, keep: impl Fn(&SmolStr, &Member) -> bool) {
        let before = self.members.len();
        self.members.retain(|name, member| keep(name, member));
        self.version += (before - self.members.len()) as u64;
    }

    fn apply(&mut self, read: TableRead, now: Instant) {
        for KeyedRecord { key, value, .. } in read.records {
            let Some(value) = value else {
                self.retain(|name, _| *name != key);
                continue;
            };
            match decode(&value) {
                Ok((record, report)) => {
                    if let Some(report) = report {
                        self.reports.insert(key.clone(), report);
                    }
                    let member = Member {
                        record,
                        seen_at: now,
                        era: read.era,
                    };
                    self.insert(key, member);
                }
                Err(error) => log::warn!("skipping the record of daemon {key}: {error}"),
            }
        }
    }
}

async fn renew<R: RecordStore>(registry: Arc<DaemonRegistry>, store: Arc<R>) {
    // The table must be read first, to know whether it already contained a record of this VM.
    while registry.state().was_registered.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    loop {
        let report = registry.state().own_report.clone();
        let report = DatedReport::new(report, SystemTime::now());
        let value = match encode(&registry.settings.record, &report) {
            Ok(value) => value,
            Err(error) => {
                log::error!("this daemon cannot register: {error}");
                return;
            }
        };
        let sent_at = Instant::now();
        let put = store.put(StoreTable::Daemons, &registry.settings.name, value.clone());
        let pause = match tokio::time::timeout(RENEW_TIMEOUT, put).await {
            Ok(Ok(())) => {
                registry.note_renewal(sent_at);
                RENEW_PERIOD
            }
            Ok(Err(error)) => {
                log::info!("this daemon's record was not renewed: {error}");
                RENEW_RETRY_DELAY
            }
            Err(_) => RENEW_RETRY_DELAY,
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = registry.lost.notified() => {}
        }
    }
}

/// Encodes a record, followed by what its daemon knows of software versions. Releases without reports ignore what follows.
fn encode(record: &DaemonRecord, report: &DatedReport) -> Result<Bytes> {
    bincode::serde::encode_to_vec((record, report), bincode::config::standard())
        .map(Bytes::from)
        .map_err(|error| Error::internal(format!("daemon record cannot be encoded: {error}")))
}

/// Decodes a record, and its report if there is one whose time of writing is known.
fn decode(data: &[u8]) -> Result<(DaemonRecord, Option<DatedReport>)> {
    let config = bincode::config::standard();
    let (record, length): (DaemonRecord, usize) =
        bincode::serde::decode_from_slice(data, config)
            .map_err(|error| Error::invalid(format!("daemon record cannot be decoded: {error}")))?;
    let report = bincode::serde::decode_from_slice(&data[length..], config);
    let report = report.map(|(report, _): (DatedReport, usize)| report);
    Ok((record, report.ok()))
}
