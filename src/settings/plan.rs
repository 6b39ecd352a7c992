//! How the memory and the descriptors of a VM are divided between those who may make its daemon hold them.

use crate::settings::LimitSettings;

/// Part of a VM's memory that request bodies and answers may take.
const HELD_DIVISOR: usize = 4;
/// Part of a VM's memory that calls of other daemons may take.
const PEER_DIVISOR: usize = 16;
/// Memory in which the longest call of another daemon has room, in bytes.
const MIN_PEER_BYTES: usize = 4 << 20;
/// Memory of a process without clients, in bytes: its code, the configuration and its view of the fleet.
const PROCESS_BYTES: usize = 24 << 20;
/// Part of the memory that is left then which connections may take. The rest is for fragments of the allocator, answers below
/// the size that is counted, and connections to servers.
const CONNECTION_DIVISOR: usize = 2;
/// Memory of a connection beside its read buffer, which has up to the size of the longest head, in bytes.
const CONNECTION_BYTES: usize = 8 << 10;
/// Connections that are allowed however small the VM is.
const MIN_CONNECTIONS: usize = 64;
/// Descriptors that callers leave to backend servers, peers and the store; a quarter of the descriptors if that is more,
/// as each running request needs a connection to a server.
const RESERVED_DESCRIPTORS: usize = 200;
/// Connections of other daemons; twice the design size of 320 daemons leaves room for reconnects.
const PEER_CONNECTIONS: usize = 640;
/// Part of the descriptors that connections of other daemons may take.
const PEER_DESCRIPTOR_DIVISOR: usize = 8;

/// How the memory of a VM is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bytes for request bodies and answers.
    pub held: usize,
    /// Bytes for calls of other daemons.
    pub peers: usize,
    /// Connections of callers that the memory has room for.
    pub connections: usize,
}

impl MemoryPlan {
    /// Divides `memory_mb` MB. A VM whose memory is not stated has four times the memory for bodies and answers.
    pub fn new(memory_mb: Option<usize>, limits: &LimitSettings) -> Self {
        let stated = memory_mb.map(|memory| memory << 20);
        let held = match (limits.held_bytes, stated) {
            (None, Some(memory)) => memory / HELD_DIVISOR,
            _ => limits.held(),
        };
        let memory = stated.unwrap_or(held.saturating_mul(HELD_DIVISOR));
        let peers = (memory / PEER_DIVISOR).max(MIN_PEER_BYTES);
        let left = memory.saturating_sub(PROCESS_BYTES + held + peers);
        let connection = limits.header_bytes + CONNECTION_BYTES;
        let connections = left / CONNECTION_DIVISOR / connection;
        Self {
            held,
            peers,
            connections: connections.max(MIN_CONNECTIONS),
        }
    }
}

/// Returns the descriptors out of `descriptors` that callers leave to others.
pub(super) fn reserved_descriptors(descriptors: usize) -> usize {
    (descriptors / 4).max(RESERVED_DESCRIPTORS.min(descriptors / 2))
}

/// Returns the connections of other daemons that a process serves which may open `descriptors` files.
pub fn peer_connections(descriptors: Option<usize>) -> usize {
    let part = descriptors.map(|descriptors| (descriptors / PEER_DESCRIPTOR_DIVISOR).max(1));
    part.map_or(PEER_CONNECTIONS, |part| part.min(PEER_CONNECTIONS))
}
