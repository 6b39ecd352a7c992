//! Index of the backend servers that probably have a prompt prefix in their cache.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::{PoisonError, RwLock, RwLockReadGuard};

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::CacheEvent;

/// Maximum number of prefixes stored per server. The oldest ones are dropped first.
const MAX_PREFIXES: usize = 4_096;
/// Maximum number of lost events after which a server's prefixes are kept. After more, too many of them may have been
/// removed from its cache.
const MAX_LOST_EVENTS: u64 = 256;

/// Hash of a server's name. A collision costs only latency.
pub(super) type ServerHash = u64;

/// Hashes the name of a server.
pub(super) fn server_hash(name: &str) -> ServerHash {
    xxh3_64(name.as_bytes())
}

/// Hasher for keys that are already hashes of names, which operators choose.
#[derive(Default)]
pub(super) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64(bytes);
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// Set of servers, one bit each.
#[derive(Debug, Default)]
struct ServerSet(Vec<u64>);

impl ServerSet {
    fn contains(&self, bit: usize) -> bool {
        let word = self.0.get(bit / 64);
        word.is_some_and(|word| (word >> (bit % 64)) & 1 == 1)
    }

    /// Returns whether the bit was not set before.
    fn insert(&mut self, bit: usize) -> bool {
        let added = !self.contains(bit);
        if self.0.len() <= bit / 64 {
            self.0.resize(bit / 64 + 1, 0);
        }
        self.0[bit / 64] |= 1 << (bit % 64);
        added
    }

    /// Returns whether the bit was set before.
    fn remove(&mut self, bit: usize) -> bool {
        let removed = self.contains(bit);
        if removed {
            self.0[bit / 64] &= !(1 << (bit % 64));
        }
        removed
    }

    fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }
}

#[derive(Debug, Default)]
struct ServerPrefixes {
    /// Bit of the server in each [`ServerSet`].
    bit: usize,
    /// Sequence number of the next expected event.
    next: u64,
    /// Prefixes that the server probably holds, the oldest first.
    order: VecDeque<u64>,
}

#[derive(Debug, Default)]
pub(super) struct PrefixTable {
    servers: HashMap<ServerHash, ServerPrefixes, BuildHasherDefault<IdentityHasher>>,
    /// Slots of servers that were forgotten.
    free_bits: Vec<usize>,
    holders: HashMap<u64, ServerSet>,
}

/// Index of cached prefixes, built from cache events, which are delayed and may be lost, and from this daemon's own
/// dispatches. A wrong entry costs only latency.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    table: RwLock<PrefixTable>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the sequence number of the next event of `server` to fetch.
    pub fn next_sequence(&self, server: &SmolStr) -> u64 {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        let entry = table.servers.get(&server_hash(server));
        entry.map_or(0, |entry| entry.next)
    }

    /// Applies events of `server` and skips repeated ones. If too many are missing, drops all known prefixes of the
    /// server first.
    pub fn apply(&self, server: &SmolStr, events: &[CacheEvent]) {
        let server = server_hash(server);
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        for event in events {
            let next = table.servers.get(&server).map_or(0, |entry| entry.next);
            if event.sequence < next {
                continue;
            }
            if event.sequence - next > MAX_LOST_EVENTS {
                table.forget(server);
            }
            table.server(server).next = event.sequence.saturating_add(1);
            if event.present {
                table.insert(server, event.prefix_hash);
            } else {
                table.remove(server, event.prefix_hash);
            }
        }
    }

    /// Records that a request with these prefixes was sent to `server`, which caches them while it runs.
    pub fn record_sent(&self, server: &SmolStr, prefixes: &[u64]) {
        if prefixes.is_empty() {
            return;
        }
        let server = server_hash(server);
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        for prefix in prefixes {
            table.insert(server, *prefix);
        }
    }

    /// Removes a prefix that was recorded as sent to `server`.
    pub(super) fn remove_sent(&self, server: &SmolStr, prefix: u64) {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        table.remove(server_hash(server), prefix);
    }

    /// Removes a server that restarted or is gone.
    pub fn forget(&self, server: &SmolStr) {
        let server = server_hash(server);
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        table.forget(server);
        if let Some(entry) = table.servers.remove(&server) {
            table.free_bits.push(entry.bit);
        }
    }

    /// Locks the table for reading during one routing decision.
    pub(super) fn read(&self) -> RwLockReadGuard<'_, PrefixTable> {
        self.table.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holders of the prefixes of one request.
pub(super) struct PrefixHolders<'a> {
    table: &'a PrefixTable,
    holders: Vec<Option<&'a ServerSet>>,
}

impl PrefixHolders<'_> {
    /// Returns the number of prefixes up to and including the longest one that a server holds.
    pub(super) fn held(&self, server: ServerHash) -> usize {
        if self.holders.is_empty() {
            return 0;
        }
        let Some(entry) = self.table.servers.get(&server) else {
            return 0;
        };
        let holds = |set: &Option<&ServerSet>| set.is_some_and(|set| set.contains(entry.bit));
        let longest = self.holders.iter().rposition(holds);
        longest.map_or(0, |index| index + 1)
    }
}

impl PrefixTable {
    /// Looks up the holders of `prefixes`, the longest last.
    pub(super) fn holders(&self, prefixes: &[u64]) -> PrefixHolders<'_> {
        let holders = prefixes.iter().map(|prefix| self.holders.get(prefix));
        PrefixHolders {
            table: self,
            holders: holders.collect(),
        }
    }

    fn server(&mut self, server: ServerHash) -> &mut ServerPrefixes {
        // Bits 0 to n-1 are in use or free, so the next new one is n.
        let new_bit = self.servers.len() + self.free_bits.len();
        let free_bits = &mut self.free_bits;
        self.servers
            .entry(server)
            .or_insert_with(|| ServerPrefixes {
                bit: free_bits.pop().unwrap_or(new_bit),
                ..ServerPrefixes::default()
            })
    }

    fn insert(&mut self, server: ServerHash, prefix: u64) {
        let bit = self.server(server).bit;
        if !self.holders.entry(prefix).or_default().insert(bit) {
            return;
        }
        let entry = self.server(server);
        entry.order.push_back(prefix);
        if entry.order.len() > MAX_PREFIXES
            && let Some(oldest) = entry.order.pop_front()
        {
            self.unlink(bit, oldest);
        }
    }

    fn remove(&mut self, server: ServerHash, prefix: u64) {
        let bit = self.server(server).bit;
        if self.unlink(bit, prefix) {
            self.server(server).order.retain(|known| *known != prefix);
        }
    }

    fn unlink(&mut self, bit: usize, prefix: u64) -> bool {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return false;
        };
        let held = holders.remove(bit);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
        held
    }

    fn forget(&mut self, server: ServerHash) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        let bit = entry.bit;
        for prefix in std::mem::take(&mut entry.order) {
            self.unlink(bit, prefix);
        }
    }
}
