//! Memory for answers of backend servers that are held until they can be passed on.
//!
//! A faulty server may send bytes without end on every connection. What all answers of a daemon may hold is bounded, and
//! each server has a share of it, so that a faulty one does not take the memory of others.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use smol_str::SmolStr;

use crate::memory::{self, MemoryAccount};

/// Bytes that all answers together may hold.
const TOTAL_BYTES: usize = 32 << 20;
/// Bytes that the answers of one server may hold.
const SERVER_BYTES: usize = TOTAL_BYTES / 8;
/// Bytes of each answer that are not counted: nearly all answers and events are smaller.
const FREE_BYTES: usize = 16 << 10;

#[derive(Debug, Default)]
struct MemoryUse {
    total: usize,
    /// Servers that hold any.
    servers: HashMap<SmolStr, usize>,
}

/// The memory for answers of one daemon. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct AnswerMemory {
    state: Arc<Mutex<MemoryUse>>,
    /// The memory of the process, of which answers take a part.
    account: MemoryAccount,
}

/// Memory that one answer holds. It is returned when this is dropped.
#[derive(Debug)]
pub struct MemoryLease {
    memory: AnswerMemory,
    server: SmolStr,
    bytes: usize,
    /// The same bytes in the account of the process.
    held: memory::MemoryLease,
}

impl AnswerMemory {
    /// Creates the memory of a daemon, which is a part of `account`.
    pub fn new(account: &MemoryAccount) -> Self {
        Self {
            state: Arc::default(),
            account: account.clone(),
        }
    }

    /// Returns a lease for an answer of `server`, which holds nothing yet.
    pub fn lease(&self, server: &SmolStr) -> MemoryLease {
        MemoryLease {
            memory: self.clone(),
            server: server.clone(),
            bytes: 0,
            held: self.account.lease_answer(),
        }
    }

    /// Returns the bytes that all answers hold, without the first 16 KiB of each.
    pub fn used(&self) -> usize {
        self.state().total
    }

    fn state(&self) -> MutexGuard<'_, MemoryUse> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MemoryLease {
    /// Changes what the answer holds to `bytes`. Returns `false`, and changes nothing, if its server or all answers would
    /// hold too much.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let bytes = bytes.saturating_sub(FREE_BYTES);
        if bytes == self.bytes {
            return true;
        }
        let mut state = self.memory.state();
        let server = state.servers.get(&self.server).copied().unwrap_or(0);
        let server = server - self.bytes + bytes;
        let total = state.total - self.bytes + bytes;
        if bytes > self.bytes && (server > SERVER_BYTES || total > TOTAL_BYTES) {
            return false;
        }
        if !self.held.resize(bytes) {
            return false;
        }
        state.total = total;
        match server {
            0 => state.servers.remove(&self.server),
            _ => state.servers.insert(self.server.clone(), server),
        };
        self.bytes = bytes;
        true
    }

    /// Ties the lease to `bytes`, which may wait for a slow caller.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _lease: self,
        })
    }
}

/// Bytes that return their memory with their last copy.
struct HeldBytes {
    bytes: Bytes,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.resize(0);
    }
}
