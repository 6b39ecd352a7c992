//! Keeps the configuration and the list of backend servers as read from the store.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::catalog::TeamSpec;
use crate::error::{Error, Result};
use crate::relay::config::ServingConfig;
use crate::relay::config_copy::{CompressedConfig, ConfigChunk, ConfigRequest};
use crate::relay::fleet::RelayFleet;
use crate::relay::follower::{TableChange, TableSink};
use crate::relay::server_list::{ServerChange, ServerEntry};
use crate::relay::store::KeyedRecord;

/// Decodes the record of the configuration.
pub type ConfigDecoder = fn(&[u8]) -> Result<ServingConfig>;
/// Decodes the record of a backend server; the first argument is its key.
pub type ServerDecoder = fn(&str, &[u8]) -> Result<ServerEntry>;

/// Where a configuration comes from, for the log; lengths are in bytes.
enum ConfigOrigin {
    Store {
        length: usize,
    },
    Peer {
        peer: SocketAddr,
        length: usize,
        compressed: usize,
    },
}

impl fmt::Display for ConfigOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store { length } => write!(f, "the store: {length} bytes"),
            Self::Peer {
                peer,
                length,
                compressed,
            } => write!(f, "{peer}: {length} bytes in a copy of {compressed}"),
        }
    }
}

/// The newest configuration. A version that was in force is never replaced by an older one.
pub struct ConfigHolder {
    key: SmolStr,
    decode: ConfigDecoder,
    configs: watch::Sender<Option<Arc<ServingConfig>>>,
    teams: watch::Sender<Vec<TeamSpec>>,
    /// The record of the configuration in force. Its lock lets one configuration come into force at a time.
    held: Mutex<ConfigRecord>,
}

/// The record of a configuration, for copies.
#[derive(Default)]
enum ConfigRecord {
    #[default]
    None,
    /// As the store gave it.
    Plain(Bytes),
    Compressed(CompressedConfig),
}

impl ConfigHolder {
    /// Creates a keeper of the record under `key`, without a configuration.
    pub fn new(key: &str, decode: ConfigDecoder) -> Self {
        Self {
            key: key.into(),
            decode,
            configs: watch::Sender::new(None),
            teams: watch::Sender::new(Vec::new()),
            held: Mutex::default(),
        }
    }

    /// Subscribes to configurations.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<ServingConfig>>> {
        self.configs.subscribe()
    }

    /// Subscribes to the teams that have a rate. They never lag behind the configuration in force.
    pub fn teams(&self) -> watch::Receiver<Vec<TeamSpec>> {
        self.teams.subscribe()
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.configs
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Returns the part of the configuration in force that another daemon lacks next.
    pub fn chunk(&self, request: &ConfigRequest) -> Option<ConfigChunk> {
        let mut held = self.held();
        let version = self.version();
        if version <= request.version {
            return None;
        }
        if let ConfigRecord::Plain(record) = &*held {
            match CompressedConfig::compress(version, record) {
                Ok(compressed) => *held = ConfigRecord::Compressed(compressed),
                Err(error) => log::error!("no copy is given: {error}"),
            }
        }
        match &*held {
            ConfigRecord::Compressed(compressed) => compressed.chunk(request),
            ConfigRecord::None | ConfigRecord::Plain(_) => None,
        }
    }

    /// Takes over the configuration in a record of the store unless a version as new is in force.
    pub fn offer_record(&self, record: Bytes) {
        match (self.decode)(&record) {
            Ok(config) => {
                let length = record.len();
                self.activate(
                    config,
                    ConfigRecord::Plain(record),
                    &ConfigOrigin::Store { length },
                );
            }
            Err(error) => log::error!("a configuration is skipped: {error}"),
        }
    }

    /// Takes over the configuration that `peer` has sent unless a version as new is in force.
    ///
    /// # Errors
    ///
    /// `Invalid` if it cannot be read or is of another version than it says.
    pub fn offer_compressed(&self, compressed: CompressedConfig, peer: SocketAddr) -> Result<()> {
        let record = compressed.decompress()?;
        let config = (self.decode)(&record)?;
        if config.version != compressed.version() {
            let (named, version) = (compressed.version(), config.version);
            return Err(Error::invalid(format!(
                "the copy of configuration {named} holds configuration {version}"
            )));
        }
        let origin = ConfigOrigin::Peer {
            peer,
            length: record.len(),
            compressed: compressed.length(),
        };
        self.activate(config, ConfigRecord::Compressed(compressed), &origin);
        Ok(())
    }

    fn activate(&self, config: ServingConfig, record: ConfigRecord, origin: &ConfigOrigin) {
        let mut held = self.held();
        let current = self.version();
        if config.version <= current {
            return;
        }
        log::info!(
            "configuration {} is in force after {current}; {} routes, from {origin}",
            config.version,
            config.routes().count(),
        );
        *held = record;
        let limited = config.teams().iter().filter(|team| team.spec.rate > 0);
        let teams: Vec<TeamSpec> = limited.map(|team| team.spec.clone()).collect();
        // Before the configuration, so that every team that it declares has a budget.
        self.teams.send_if_modified(|current| {
            let changed = *current != teams;
            *current = teams;
            changed
        });
        self.configs.send_replace(Some(Arc::new(config)));
    }

    fn held(&self) -> MutexGuard<'_, ConfigRecord> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableSink for ConfigHolder {
    fn apply(&self, change: TableChange) {
        let (TableChange::Snapshot(records) | TableChange::Records(records)) = change else {
            return;
        };
        let own = records.into_iter().filter(|record| record.key == self.key);
        for value in own.filter_map(|record| record.value) {
            self.offer_record(value);
        }
    }
}

/// Feeds the list of backend servers to a [`RelayFleet`].
pub struct ServerSink {
    decode: ServerDecoder,
    fleet: Arc<RelayFleet>,
}

impl ServerSink {
    /// Creates a keeper that feeds `fleet`.
    pub fn new(decode: ServerDecoder, fleet: Arc<RelayFleet>) -> Self {
        Self { decode, fleet }
    }

    /// Decodes a record; one that another writer left is skipped.
    fn decode_entry(&self, key: &SmolStr, value: &[u8]) -> Option<ServerEntry> {
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
            None => Some(ServerChange::Removed(record.key.clone())),
            Some(value) => self.decode_entry(&record.key, value).map(ServerChange::Put),
        }
    }
}

impl TableSink for ServerSink {
    fn apply(&self, change: TableChange) {
        let changes = match change {
            TableChange::Unreachable => vec![ServerChange::Unreachable],
            TableChange::Snapshot(records) => {
                let records = records.iter();
                let entries = records.filter_map(|record| {
                    let value = record.value.as_ref()?;
                    self.decode_entry(&record.key, value)
                });
                vec![ServerChange::Snapshot(entries.collect())]
            }
            TableChange::Records(records) => records
                .iter()
                .filter_map(|record| self.change(record))
                .collect(),
        };
        self.fleet.apply(changes, Instant::now());
    }
}
