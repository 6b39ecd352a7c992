//! Holds the current configuration, and passes the list of backend servers from the store to the fleet.

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
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

/// Number of keys that cannot be decoded and are remembered.
const MAX_MALFORMED: usize = 10_000;
/// Number of lines about skipped records in one [`LINE_PERIOD`].
const MAX_LINES: u32 = 50;
const LINE_PERIOD: Duration = Duration::from_secs(60);

/// Decodes a record of the configuration.
pub type ConfigDecoder = fn(&[u8]) -> Result<ServingConfig>;
/// Decodes the record of a backend server; the first argument is its key.
pub type ServerDecoder = fn(&str, &[u8]) -> Result<ServerEntry>;

/// Source of a configuration, for log lines; lengths are in bytes.
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

/// The configuration in force. A version is never replaced by an older one.
pub struct ConfigHolder {
    key: SmolStr,
    decode: ConfigDecoder,
    configs: watch::Sender<Option<Arc<ServingConfig>>>,
    teams: watch::Sender<Vec<TeamSpec>>,
    /// The record of the configuration in force. Its lock is held while a new configuration is put in force, so that
    /// only one is at a time.
    held: Mutex<ConfigRecord>,
}

/// The record of a configuration, from which other daemons copy.
#[derive(Default)]
enum ConfigRecord {
    #[default]
    None,
    /// As read from the store; compressed when it is first asked for.
    Plain(Bytes),
    Compressed(CompressedConfig),
}

impl ConfigHolder {
    /// Creates a holder without a configuration. `key` is the key of the configuration's record in the store.
    pub fn new(key: &str, decode: ConfigDecoder) -> Self {
        Self {
            key: key.into(),
            decode,
            configs: watch::Sender::new(None),
            teams: watch::Sender::new(Vec::new()),
            held: Mutex::default(),
        }
    }

    /// Subscribes to the configuration in force; `None` until there is one.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<ServingConfig>>> {
        self.configs.subscribe()
    }

    /// Subscribes to the teams that have a rate. They are updated before the configuration that declares them comes
    /// into force.
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

    /// Returns the next chunk of the configuration in force for another daemon; `None` if that daemon already has this
    /// version.
    pub fn chunk(&self, request: &ConfigRequest) -> Option<ConfigChunk> {
        let mut held = self.held();
        let version = self.version();
        if version <= request.version {
            return None;
        }
        if let ConfigRecord::Plain(record) = &*held {
            match CompressedConfig::compress(version, record) {
                Ok(compressed) => *held = ConfigRecord::Compressed(compressed),
                Err(error) => log::error!("configuration cannot be sent to other daemons: {error}"),
            }
        }
        match &*held {
            ConfigRecord::Compressed(compressed) => compressed.chunk(request),
            ConfigRecord::None | ConfigRecord::Plain(_) => None,
        }
    }

    /// Puts the configuration in a record of the store in force, unless the version in force is the same or newer. A
    /// record that cannot be decoded is logged and skipped.
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
            Err(error) => log::error!("skipping a configuration record of the store: {error}"),
        }
    }

    /// Puts the configuration that `peer` has sent in force, unless the version in force is the same or newer.
    ///
    /// # Errors
    ///
    /// `Invalid` if it cannot be decompressed or decoded, or if its version is not the one that the copy states.
    pub fn offer_compressed(&self, compressed: CompressedConfig, peer: SocketAddr) -> Result<()> {
        let record = compressed.decompress()?;
        let config = (self.decode)(&record)?;
        if config.version != compressed.version() {
            let (named, version) = (compressed.version(), config.version);
            return Err(Error::invalid(format!(
                "the copy labelled as configuration {named} contains configuration {version}"
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
        // Teams are updated before the configuration, so that every team that it declares has a budget: otherwise
        // requests of a new team are refused until the limiter has taken it over.
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
        let (TableChange::Snapshot(read) | TableChange::Records(read)) = change else {
            return;
        };
        let own = read
            .records
            .into_iter()
            .filter(|record| record.key == self.key);
        for value in own.filter_map(|record| record.value) {
            self.offer_record(value);
        }
    }
}

/// Applies changes of the list of backend servers to a [`RelayFleet`].
pub struct ServerSink {
    decode: ServerDecoder,
    fleet: Arc<RelayFleet>,
    /// Keys whose newest record cannot be decoded.
    malformed: Mutex<HashSet<SmolStr>>,
    lines: Mutex<LineBudget>,
    skipped: SkipMetrics,
}

/// Counts the records that are skipped as they cannot be decoded.
#[derive(Clone, Debug, Default)]
pub struct SkipMetrics {
    /// Keys whose newest record cannot be decoded.
    pub keys: Gauge,
    /// Records that were skipped.
    pub records: Counter,
}

/// Bounds the number of lines in the log.
#[derive(Default)]
struct LineBudget {
    since: Option<Instant>,
    lines: u32,
}

impl LineBudget {
    /// Returns whether one more line may be logged.
    fn take(&mut self, now: Instant) -> bool {
        if self.since.is_none_or(|since| since + LINE_PERIOD <= now) {
            (self.since, self.lines) = (Some(now), 0);
        }
        self.lines += 1;
        self.lines <= MAX_LINES
    }
}

impl ServerSink {
    /// Creates a sink that applies changes to `fleet`.
    pub fn new(decode: ServerDecoder, fleet: Arc<RelayFleet>) -> Self {
        Self {
            decode,
            fleet,
            malformed: Mutex::default(),
            lines: Mutex::default(),
            skipped: SkipMetrics::default(),
        }
    }

    /// Counts skipped records in `skipped`.
    pub fn with_metrics(mut self, skipped: SkipMetrics) -> Self {
        self.skipped = skipped;
        self
    }

    /// Decodes a record. A record that cannot be decoded, such as one from a foreign writer, is skipped. It is logged
    /// unless the previous record of its key could not be decoded either, as writers repeat their records.
    fn decode_entry(&self, key: &SmolStr, value: &[u8]) -> Option<ServerEntry> {
        match (self.decode)(key, value) {
            Ok(entry) => {
                self.malformed().remove(key);
                Some(entry)
            }
            Err(error) => {
                self.skipped.records.inc();
                let mut malformed = self.malformed();
                let is_new = malformed.len() < MAX_MALFORMED && malformed.insert(key.clone());
                drop(malformed);
                if is_new && self.may_log() {
                    log::warn!("{error}");
                }
                None
            }
        }
    }

    /// Returns the position after a record and, if the record can be decoded, its change.
    fn changes(&self, record: &KeyedRecord) -> [Option<ServerChange>; 2] {
        let change = match &record.value {
            None => {
                self.malformed().remove(&record.key);
                Some(ServerChange::Removed(record.key.clone()))
            }
            Some(value) => self.decode_entry(&record.key, value).map(ServerChange::Put),
        };
        let position = ServerChange::Position(record.offset.next());
        [Some(position), change]
    }

    fn may_log(&self) -> bool {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.take(Instant::now())
    }

    fn malformed(&self) -> MutexGuard<'_, HashSet<SmolStr>> {
        self.malformed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableSink for ServerSink {
    fn apply(&self, change: TableChange) {
        let changes = match change {
            TableChange::Unreachable => vec![ServerChange::Unreachable],
            TableChange::Snapshot(read) => {
                let present: HashSet<&SmolStr> = read.keys().collect();
                self.malformed().retain(|key| present.contains(key));
                let mut unreadable = read.unreadable.clone();
                let mut entries = Vec::with_capacity(read.records.len());
                for record in &read.records {
                    let Some(value) = &record.value else {
                        continue;
                    };
                    match self.decode_entry(&record.key, value) {
                        Some(entry) => entries.push(entry),
                        None => unreadable.push(record.key.clone()),
                    }
                }
                vec![
                    ServerChange::Era(read.era),
                    ServerChange::Position(read.next),
                    ServerChange::Unreadable(unreadable),
                    ServerChange::Snapshot(entries),
                ]
            }
            TableChange::Records(read) => {
                let records = read.records.iter();
                let changes = records.flat_map(|record| self.changes(record));
                let end = ServerChange::Position(read.next);
                std::iter::once(ServerChange::Era(read.era))
                    .chain(changes.flatten())
                    .chain([end])
                    .collect()
            }
        };
        self.skipped.keys.set(self.malformed().len() as i64);
        self.fleet.apply(changes, Instant::now());
    }
}
