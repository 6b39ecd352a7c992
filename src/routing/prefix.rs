//! Which backend server probably holds which prompt prefix in its cache.

use std::collections::{HashMap, VecDeque};
use std::sync::{PoisonError, RwLock};

use smol_str::SmolStr;

use crate::engine::CacheEvent;

/// Prefixes remembered per server; the oldest are forgotten first.
const MAX_PREFIXES: usize = 4_096;
/// After this many lost events the removals among them outweigh what is known.
const MAX_GAP: u64 = 256;

#[derive(Debug, Default)]
struct ServerPrefixes {
    /// Sequence number of the event that is expected next.
    next: u64,
    /// Prefixes that the server holds, in order of their arrival.
    order: VecDeque<u64>,
}

#[derive(Debug, Default)]
struct PrefixTable {
    servers: HashMap<SmolStr, ServerPrefixes>,
    holders: HashMap<u64, Vec<SmolStr>>,
}

/// Learns from cache events, which are late and may be missing, and from own dispatches. A wrong entry costs
/// latency only.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    table: RwLock<PrefixTable>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the sequence number from which events of `server` are needed.
    pub fn next_sequence(&self, server: &SmolStr) -> u64 {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.servers.get(server).map_or(0, |entry| entry.next)
    }

    /// Applies events of `server`. Repeated events are skipped; after a long gap the server is learnt anew.
    pub fn apply(&self, server: &SmolStr, events: &[CacheEvent]) {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        for event in events {
            let next = table.servers.get(server).map_or(0, |entry| entry.next);
            if event.sequence < next {
                continue;
            }
            if event.sequence - next > MAX_GAP {
                table.forget(server);
            }
            table.servers.entry(server.clone()).or_default().next = event.sequence + 1;
            if event.present {
                table.insert(server, event.prefix_hash);
            } else {
                table.remove(server, event.prefix_hash);
            }
        }
    }

    /// Notes that a request with these prefixes was sent to `server`, which caches them while it runs.
    pub fn sent(&self, server: &SmolStr, prefixes: &[u64]) {
        if prefixes.is_empty() {
            return;
        }
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        for prefix in prefixes {
            table.insert(server, *prefix);
        }
    }

    /// Forgets a server that restarted or is gone.
    pub fn forget(&self, server: &SmolStr) {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        table.forget(server);
        table.servers.remove(server);
    }

    /// Returns for each server that holds any of `prefixes` (the longest last) the number of leading prefixes
    /// up to the longest one it holds.
    pub fn matches(&self, prefixes: &[u64]) -> Vec<(SmolStr, usize)> {
        let mut found: Vec<(SmolStr, usize)> = Vec::new();
        if prefixes.is_empty() {
            return found;
        }
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            for server in table.holders.get(prefix).into_iter().flatten() {
                if !found.iter().any(|(name, _)| name == server) {
                    found.push((server.clone(), index + 1));
                }
            }
        }
        found
    }
}

impl PrefixTable {
    fn insert(&mut self, server: &SmolStr, prefix: u64) {
        let holders = self.holders.entry(prefix).or_default();
        if holders.contains(server) {
            return;
        }
        holders.push(server.clone());
        let entry = self.servers.entry(server.clone()).or_default();
        entry.order.push_back(prefix);
        if entry.order.len() > MAX_PREFIXES
            && let Some(oldest) = entry.order.pop_front()
        {
            self.unlink(server, oldest);
        }
    }

    fn remove(&mut self, server: &SmolStr, prefix: u64) {
        let held = self.holders.get(&prefix);
        if !held.is_some_and(|holders| holders.contains(server)) {
            return;
        }
        self.unlink(server, prefix);
        if let Some(entry) = self.servers.get_mut(server) {
            entry.order.retain(|known| *known != prefix);
        }
    }

    fn unlink(&mut self, server: &SmolStr, prefix: u64) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder != server);
            if holders.is_empty() {
                self.holders.remove(&prefix);
            }
        }
    }

    fn forget(&mut self, server: &SmolStr) {
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        for prefix in std::mem::take(&mut entry.order) {
            self.unlink(server, prefix);
        }
    }
}
