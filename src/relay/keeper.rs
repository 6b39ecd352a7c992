//! Keeps the configuration and the list of backend servers as read from the store.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::catalog::TeamSpec;
use crate::error::Result;
use crate::relay::fleet::RelayFleet;
use crate::relay::follower::{TableChange, TableSink};
use crate::relay::listing::{ServerChange, ServerEntry};
use crate::relay::plan::ServingPlan;
use crate::relay::store::KeyedRecord;

/// Decodes the record of the configuration.
pub type PlanDecoder = fn(&[u8]) -> Result<ServingPlan>;
/// Decodes the record of a backend server; the first argument is its key.
pub type ServerDecoder = fn(&str, &[u8]) -> Result<ServerEntry>;

/// Where a configuration comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanOrigin {
    Store,
    /// A daemon, by its peer address.
    Peer(SocketAddr),
}

impl fmt::Display for PlanOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("the store"),
            Self::Peer(address) => address.fmt(f),
        }
    }
}

/// The newest configuration. A version that was in force is never replaced by an older one.
pub struct PlanKeeper {
    key: SmolStr,
    decode: PlanDecoder,
    plans: watch::Sender<Option<Arc<ServingPlan>>>,
    /// The record of the configuration in force.
    record: Mutex<Bytes>,
    teams: watch::Sender<Vec<TeamSpec>>,
}

impl PlanKeeper {
    /// Creates a keeper of the record under `key`, without a configuration.
    pub fn new(key: &str, decode: PlanDecoder) -> Self {
        Self {
            key: key.into(),
            decode,
            plans: watch::Sender::new(None),
            record: Mutex::default(),
            teams: watch::Sender::new(Vec::new()),
        }
    }

    /// Subscribes to configurations.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<ServingPlan>>> {
        self.plans.subscribe()
    }

    /// Subscribes to the teams that have a rate. They never lag behind the configuration in force.
    pub fn teams(&self) -> watch::Receiver<Vec<TeamSpec>> {
        self.teams.subscribe()
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.plans.borrow().as_ref().map_or(0, |plan| plan.version)
    }

    /// Returns the record of the configuration in force if it is newer than `version`.
    pub fn record_after(&self, version: u64) -> Option<Vec<u8>> {
        let record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        (self.version() > version).then(|| record.to_vec())
    }

    /// Takes over the configuration in `record` unless a version as new is in force.
    pub fn offer_record(&self, record: Bytes, origin: PlanOrigin) {
        match (self.decode)(&record) {
            Ok(plan) if plan.version > self.version() => {
                log::info!(
                    "configuration {} with {} routes comes from {origin}: {} bytes",
                    plan.version,
                    plan.routes().count(),
                    record.len()
                );
                *self.record.lock().unwrap_or_else(PoisonError::into_inner) = record;
                self.offer(plan);
            }
            Ok(_) => {}
            Err(error) => log::error!("a configuration is skipped: {error}"),
        }
    }

    /// Takes over a configuration unless a version as new is in force.
    pub fn offer(&self, plan: ServingPlan) {
        let known = self.version();
        if plan.version <= known {
            return;
        }
        log::info!("configuration {} is in force after {known}", plan.version);
        let limited = plan.teams().iter().filter(|team| team.spec.rate > 0);
        let teams: Vec<TeamSpec> = limited.map(|team| team.spec.clone()).collect();
        self.teams.send_if_modified(|current| {
            let changed = *current != teams;
            *current = teams;
            changed
        });
        self.plans.send_replace(Some(Arc::new(plan)));
    }
}

impl TableSink for PlanKeeper {
    fn apply(&self, change: TableChange) {
        let (TableChange::Whole(records) | TableChange::Records(records)) = change else {
            return;
        };
        let own = records.into_iter().filter(|record| record.key == self.key);
        for value in own.filter_map(|record| record.value) {
            self.offer_record(value, PlanOrigin::Store);
        }
    }
}

/// Feeds the list of backend servers to a [`RelayFleet`].
pub struct ServerKeeper {
    decode: ServerDecoder,
    fleet: Arc<RelayFleet>,
}

impl ServerKeeper {
    /// Creates a keeper that feeds `fleet`.
    pub fn new(decode: ServerDecoder, fleet: Arc<RelayFleet>) -> Self {
        Self { decode, fleet }
    }

    /// Decodes a record; one that another writer left is skipped.
    fn entry(&self, key: &SmolStr, value: &[u8]) -> Option<ServerEntry> {
        match (self.decode)(key, value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::warn!("{error}");
                None
            }
        }
    }

    fn change(&self, record: &KeyedRecord) -> Option<ServerChange> {
        match &record.value {
            None => Some(ServerChange::Gone(record.key.clone())),
            Some(value) => self.entry(&record.key, value).map(ServerChange::Put),
        }
    }
}

impl TableSink for ServerKeeper {
    fn apply(&self, change: TableChange) {
        let changes = match change {
            TableChange::Unreachable => vec![ServerChange::Unreachable],
            TableChange::Whole(records) => {
                let records = records.iter();
                let entries = records.filter_map(|record| {
                    let value = record.value.as_ref()?;
                    self.entry(&record.key, value)
                });
                vec![ServerChange::Whole(entries.collect())]
            }
            TableChange::Records(records) => records
                .iter()
                .filter_map(|record| self.change(record))
                .collect(),
        };
        self.fleet.apply(changes, Instant::now());
    }
}
