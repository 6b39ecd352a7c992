//! The number of files that the process may open, and the limits that follow from it and from the VM's memory.

use std::sync::Arc;

use crate::memory::MemoryAccount;
use crate::metrics::DaemonMetrics;
use crate::peer::PeerLimits;
use crate::settings::{LimitSettings, MemoryPlan, VmCapacity, peer_connections};

/// Returns the process's own limit of open files; `None` if the system does not show it or there is none.
pub fn open_files_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The limits of a daemon within its VM.
pub(super) struct VmLimits {
    pub(super) callers: LimitSettings,
    pub(super) peers: PeerLimits,
}

impl VmLimits {
    /// Divides the memory and the descriptors of the VM.
    pub(super) fn new(
        capacity: VmCapacity,
        limits: &LimitSettings,
        metrics: &Arc<DaemonMetrics>,
    ) -> Self {
        let descriptors = capacity.open_files(open_files_limit());
        let plan = MemoryPlan::new(capacity.memory_mb, limits);
        let callers = limits.for_capacity(capacity.memory_mb, descriptors);
        log::info!(
            "callers may use {} bytes of memory and {} connections",
            callers.held(),
            callers.connections
        );
        Self {
            callers,
            peers: PeerLimits {
                connections: peer_connections(descriptors),
                memory: MemoryAccount::new(plan.peers),
                metrics: metrics.clone(),
            },
        }
    }
}
