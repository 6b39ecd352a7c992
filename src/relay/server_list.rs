//! Backend servers as they stand on the list, and changes of the list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::relay::engines::LoadItem;

/// A model in the memory of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    pub name: SmolStr,
    pub version: u64,
    pub adapters: Vec<SmolStr>,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Changes with most restarts.
    pub id: SmolStr,
    pub service: SmolStr,
    pub address: SocketAddr,
    pub zone: SmolStr,
    /// Requests that it carries out at once.
    pub slots: u32,
    pub leaving: bool,
    pub models: Vec<HeldModel>,
    /// Unix time of its start, in milliseconds; tells a restart under the same id.
    pub born_ms: u64,
    /// Models whose weights are in host memory, and those on its disk.
    pub in_host_memory: Vec<SmolStr>,
    pub on_disk: Vec<SmolStr>,
}

/// A change of the list of backend servers.
#[derive(Clone, Debug)]
pub enum ServerChange {
    /// All servers.
    Snapshot(Vec<ServerEntry>),
    Put(ServerEntry),
    Removed(SmolStr),
    /// The list cannot be read.
    Unreachable,
}

/// Changes of the list of backend servers since a version of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDelta {
    /// Version of the list with these changes.
    pub version: u64,
    /// Whether `changed` holds all servers.
    pub is_snapshot: bool,
    pub changed: Vec<ServerEntry>,
    pub removed: Vec<SmolStr>,
}

impl ServerDelta {
    /// Returns the changes to apply in order.
    pub fn into_changes(self) -> Vec<ServerChange> {
        if self.is_snapshot {
            return vec![ServerChange::Snapshot(self.changed)];
        }
        let removed = self.removed.into_iter().map(ServerChange::Removed);
        let changed = self.changed.into_iter().map(ServerChange::Put);
        removed.chain(changed).collect()
    }
}

impl ServerEntry {
    /// Returns whether the record names an item.
    pub fn holds(&self, item: &LoadItem) -> bool {
        holds_item(&self.models, item)
    }
}

/// Returns whether a list of held models names an item.
pub(super) fn holds_item(models: &[HeldModel], item: &LoadItem) -> bool {
    let mut held = models.iter().filter(|held| held.name == item.model);
    held.any(|held| {
        let adapter = item.adapter.as_ref();
        adapter.is_none_or(|adapter| held.adapters.contains(adapter))
    })
}
