//! The list of backend servers and its changes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::blame::ServerStart;
use crate::error::{Error, Result};
use crate::ids::{LogOffset, StoreEra};
use crate::relay::engines::LoadItem;
use crate::wire;

/// Largest number of requests that one server runs concurrently.
const MAX_SLOTS: u32 = 1 << 16;
/// Longest time for which a server is cold. Far shorter than what the monotonic clock can add.
const MAX_COLD_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Latest start of a server, in milliseconds since the Unix epoch: the end of the year 9999.
const MAX_BORN_MS: u64 = 253_402_300_799_999;
/// Largest counter in a record, up to which JSON parsers keep integers exact.
const MAX_COUNT: u64 = 1 << 53;

/// A model in the memory of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    pub name: SmolStr,
    pub version: u64,
    pub adapters: Vec<SmolStr>,
}

/// A backend server's own record on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Usually changes when the server restarts.
    pub id: SmolStr,
    pub service: SmolStr,
    pub address: SocketAddr,
    pub zone: SmolStr,
    /// Version of its software. Streams that one version has begun go on at the same version only.
    pub software: SmolStr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    pub leaving: bool,
    pub models: Vec<HeldModel>,
    /// Unix time of its start, in milliseconds; a different value under the same id means that it has restarted.
    pub born_ms: u64,
    /// Number of writes of its record since its start.
    pub seq: u64,
    /// How long it stays cold, that is slow and easily overloaded, as of the write of its record.
    pub cold_left: Duration,
    /// Models whose weights are in its host memory.
    pub in_host_memory: Vec<SmolStr>,
    /// Models whose weights are on its disk.
    pub on_disk: Vec<SmolStr>,
}

/// How far the store's records have been read into a list. It orders all states of the list within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListPosition {
    pub era: StoreEra,
    /// The list contains all records before this offset.
    pub offset: LogOffset,
}

/// A change of the list of backend servers.
#[derive(Clone, Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "the largest variant is the most frequent one"
)]
pub enum ServerChange {
    /// The changes that follow come from this era of the store; they are ignored if the list is of a newer one.
    Era(StoreEra),
    /// The changes that follow come from a list that contains all records before this offset; they are ignored if the
    /// list contains later ones.
    Position(LogOffset),
    /// Servers without a record, which are kept for a while after an outage of the store. They are not listed where they
    /// are not yet, as a list without them may have read their removal.
    Expiring(Vec<SmolStr>),
    /// Servers whose newest record cannot be read. The snapshot that follows neither lists nor removes them.
    Unreadable(Vec<SmolStr>),
    /// All servers with a record; others were removed, except for those that expire.
    Snapshot(Vec<ServerEntry>),
    Put(ServerEntry),
    /// Starts of servers whose records were written again since they were first read. Those that are not listed are ignored.
    Renewed(Vec<ServerStart>),
    Removed(SmolStr),
    /// The list cannot be read.
    Unreachable,
}

/// Changes of the list of backend servers since a version of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDelta {
    /// Version of the list after these changes.
    pub version: u64,
    /// Position of the list.
    pub position: ListPosition,
    /// Whether `changed` and `expiring` contain all servers, so that any other server was removed.
    pub is_snapshot: bool,
    pub changed: Vec<ServerEntry>,
    /// Servers without a record that are kept for a while; they are not in `changed`.
    pub expiring: Vec<SmolStr>,
    /// Starts of servers, in `changed` or not, whose records were written again since they were first read.
    pub renewed: Vec<ServerStart>,
    pub removed: Vec<SmolStr>,
}

impl ServerDelta {
    /// Drops the entries whose values cannot be computed with, which are logged.
    pub fn without_invalid(mut self) -> Self {
        self.changed.retain(|entry| match entry.check() {
            Ok(()) => true,
            Err(error) => {
                log::warn!("skipping an entry of a copied list: {error}");
                false
            }
        });
        self
    }

    /// Returns the changes in the order in which they must be applied.
    pub fn into_changes(self) -> Vec<ServerChange> {
        let ListPosition { era, offset } = self.position;
        let source = [ServerChange::Era(era), ServerChange::Position(offset)];
        let expiring = ServerChange::Expiring(self.expiring);
        let renewed = ServerChange::Renewed(self.renewed);
        let source = source.into_iter().chain([expiring]);
        if self.is_snapshot {
            let snapshot = ServerChange::Snapshot(self.changed);
            return source.chain([snapshot, renewed]).collect();
        }
        let removed = self.removed.into_iter().map(ServerChange::Removed);
        let changed = self.changed.into_iter().map(ServerChange::Put);
        let changes = removed.chain(changed).chain([renewed]);
        source.chain(changes).collect()
    }
}

impl ServerEntry {
    /// Checks the values that are computed with. Everything that decodes an entry must call this.
    ///
    /// # Errors
    ///
    /// `Invalid` if a value is outside its range.
    pub fn check(&self) -> Result<()> {
        let id = self.id.as_str();
        let max_version = self.models.iter().map(|model| model.version).max();
        let is_valid = [
            // Spaces around a header value are no part of it, so that the id would be another server's.
            ("id", !id.is_empty() && id.trim() == id),
            ("service", !self.service.is_empty()),
            ("address", wire::is_connectable(self.address)),
            ("slots", (1..=MAX_SLOTS).contains(&self.slots)),
            ("cold time", self.cold_left <= MAX_COLD_TIME),
            ("time of start", self.born_ms <= MAX_BORN_MS),
            ("number of writes", self.seq <= MAX_COUNT),
            ("version of a model", max_version.unwrap_or(0) <= MAX_COUNT),
        ];
        match is_valid.iter().find(|(_, is_valid)| !is_valid) {
            Some((field, _)) => Err(Error::invalid(format!(
                "{field} of server `{id}` is out of range"
            ))),
            None => Ok(()),
        }
    }

    /// Returns the age order of records of the same server: a record with a larger value was written later.
    pub(super) fn write_order(&self) -> (u64, u64) {
        (self.born_ms, self.seq)
    }

    /// Returns whether this is a later record than `other` of the same server, start and address.
    pub(super) fn renews(&self, other: &Self) -> bool {
        self.address == other.address && self.born_ms == other.born_ms && self.seq > other.seq
    }

    /// Returns whether two records of the same server differ in more than the number of writes and the rest of the time
    /// for which it is cold.
    pub(super) fn differs_from(&self, other: &Self) -> bool {
        let is_cold = |entry: &Self| !entry.cold_left.is_zero();
        let adjusted = Self {
            seq: other.seq,
            cold_left: other.cold_left,
            ..self.clone()
        };
        adjusted != *other || is_cold(self) != is_cold(other)
    }

    /// Returns whether the record lists the model and, if the item has one, its adapter.
    pub fn holds(&self, item: &LoadItem) -> bool {
        holds_item(&self.models, item)
    }
}

/// Returns whether `models` lists the model of an item and, if the item has one, its adapter.
pub(super) fn holds_item(models: &[HeldModel], item: &LoadItem) -> bool {
    let mut held = models.iter().filter(|held| held.name == item.model);
    held.any(|held| {
        let adapter = item.adapter.as_ref();
        adapter.is_none_or(|adapter| held.adapters.contains(adapter))
    })
}
