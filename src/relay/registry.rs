//! The daemons of the fleet, as they register themselves in the store, and the share of each.
//!
//! Every registered daemon holds one equal share of each team's rate and burst for a term after it last renewed its
//! record. A daemon whose record is not renewed for longer than the term, while the records can be read all along, is
//! no longer counted. A new daemon waits until all others have read its record before it uses its share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::ids::VmId;
use crate::kernel::TaskGroup;
use crate::member::{ShareGrant, ShareSink, WHOLE_PPM};
use crate::relay::follower::{TableChange, TableSink};
use crate::relay::store::{KeyedRecord, RecordStore, StoreTable};
use crate::timer::TimerService;

/// Time between two renewals; a third of the usual term, so that two may be lost.
const RENEW_PERIOD: Duration = Duration::from_secs(10);
/// Pause after a renewal that failed.
const RENEW_RETRY: Duration = Duration::from_millis(500);
/// Period in which the share is worked out anew.
const SHARE_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait for a renewal's answer.
const RENEW_WAIT: Duration = Duration::from_secs(2);
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
    pub settle: Duration,
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
    counted_before: Option<bool>,
    /// When the first renewal of this process was acknowledged.
    joined_at: Option<Instant>,
    /// Time before the newest acknowledged renewal was sent.
    renewed_at: Option<Instant>,
}

/// The registered daemons. Share it in an [`Arc`].
pub struct DaemonRegistry {
    settings: RegistrySettings,
    state: Mutex<RegistryState>,
}

impl DaemonRegistry {
    /// Creates a registry that knows of no daemon.
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            state: Mutex::default(),
        }
    }

    /// Renews this daemon's record and hands its share to `sink`, in tasks of `group`.
    pub fn spawn<R: RecordStore, S: ShareSink>(
        self: &Arc<Self>,
        store: Arc<R>,
        sink: Arc<S>,
        timer: &TimerService,
        group: &TaskGroup,
    ) {
        group.spawn_cancellable(renew(self.clone(), store));
        let mut ticks = timer.every(SHARE_PERIOD);
        let registry = self.clone();
        group.spawn_cancellable(async move {
            while let Some(now) = ticks.next().await {
                registry.expire(now);
                sink.adopt_share(registry.share(now), now);
            }
        });
    }

    /// Returns the share of this daemon, if it may use one.
    pub fn share(&self, now: Instant) -> Option<ShareGrant> {
        let state = self.state();
        let until = state.renewed_at? + self.settings.term;
        let settled = match state.counted_before? {
            true => true,
            false => now >= state.joined_at? + self.settings.settle,
        };
        let others = state.members.keys();
        let others = others.filter(|name| **name != self.settings.name).count();
        (settled && now < until).then(|| ShareGrant {
            vm: self.settings.record.vm,
            ppm: WHOLE_PPM / (others as u32 + 1),
            until,
        })
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
    pub fn copy(&self, now: Instant) -> Vec<(SmolStr, DaemonRecord, Duration)> {
        let state = self.state();
        let members = state.members.iter();
        let copies = members.map(|(name, member)| {
            let age = now.saturating_duration_since(member.seen_at);
            (name.clone(), member.record.clone(), age)
        });
        copies.collect()
    }

    /// Takes over what another daemon has read.
    pub fn adopt(&self, daemons: Vec<(SmolStr, DaemonRecord, Duration)>, now: Instant) {
        let mut state = self.state();
        state
            .members
            .retain(|name, _| daemons.iter().any(|(other, _, _)| other == name));
        for (name, record, age) in daemons {
            let seen_at = now.checked_sub(age).unwrap_or(now);
            state.members.insert(name, Member { record, seen_at });
        }
        state.readable_since.get_or_insert(now);
    }

    /// Returns this daemon's name and record.
    pub fn own(&self) -> (&SmolStr, &DaemonRecord) {
        (&self.settings.name, &self.settings.record)
    }

    /// Notes that a renewal sent at `sent_at` was acknowledged.
    fn renewed(&self, sent_at: Instant) {
        let mut state = self.state();
        state.joined_at.get_or_insert_with(Instant::now);
        state.renewed_at = Some(sent_at);
    }

    /// Drops daemons whose term is surely over. Nothing is sure unless the table could be read all the time.
    fn expire(&self, now: Instant) {
        let life = self.settings.term + TERM_MARGIN;
        let mut state = self.state();
        let Some(readable) = state.readable_since else {
            return;
        };
        if readable + life > now {
            return;
        }
        let own = &self.settings.name;
        state.members.retain(|name, member| {
            let keep = name == own || member.seen_at + life > now;
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
            TableChange::Whole(records) => {
                let own = records
                    .iter()
                    .any(|record| record.key == self.settings.name && record.value.is_some());
                state.counted_before.get_or_insert(own);
                let listed = |name: &SmolStr| records.iter().any(|record| record.key == *name);
                state.members.retain(|name, _| listed(name));
                state.apply(records, now);
            }
            TableChange::Records(records) => state.apply(records, now),
        }
        state.readable_since.get_or_insert(now);
    }
}

impl RegistryState {
    fn apply(&mut self, records: Vec<KeyedRecord>, now: Instant) {
        for KeyedRecord { key, value } in records {
            let Some(value) = value else {
                self.members.remove(&key);
                continue;
            };
            match decode(&value) {
                Ok(record) => {
                    let seen_at = now;
                    self.members.insert(key, Member { record, seen_at });
                }
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
    while registry.state().counted_before.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    loop {
        let sent_at = Instant::now();
        let put = store.put(StoreTable::Daemons, &registry.settings.name, value.clone());
        let pause = match tokio::time::timeout(RENEW_WAIT, put).await {
            Ok(Ok(())) => {
                registry.renewed(sent_at);
                RENEW_PERIOD
            }
            Ok(Err(error)) => {
                log::info!("the record of this daemon was not renewed: {error}");
                RENEW_RETRY
            }
            Err(_) => RENEW_RETRY,
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
