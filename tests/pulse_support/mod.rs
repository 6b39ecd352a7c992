//! Builds pulses for tests.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhill::ids::VmId;
use foxtailhill::relay::{ListPosition, Pulse};

/// Returns the pulse of daemon `entry-<index>`, which has configuration 5.
pub fn pulse(index: u16, zone: &str, reads: bool, reading_for: Duration) -> Pulse {
    Pulse {
        vm: VmId(u64::from(index)),
        name: format!("entry-{index}").into(),
        zone: zone.into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + index)),
        config_version: 5,
        reads_store: reads,
        reading_for,
        weight: 250,
        tables_version: 3,
        in_flight: Default::default(),
        spare: Vec::new(),
        demand: Vec::new(),
        fence: None,
        placements: Vec::new(),
        suspects: Vec::new(),
        parts: Vec::new(),
        evacuations: Vec::new(),
        work: Vec::new(),
        paces: Vec::new(),
        refusals: Vec::new(),
        list: ListPosition::default(),
        versions: Default::default(),
    }
}
