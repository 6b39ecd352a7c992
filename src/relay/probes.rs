//! Opens connections to backend servers that refuse them, to find out when they accept them again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::kernel::TaskGroup;
use crate::relay::fleet::RelayFleet;
use crate::relay::refusing::ProbeOutcome;
use crate::relay::upstream::UpstreamPool;
use crate::timer::TimerService;

/// Period in which due probes are begun, a fraction of the shortest pause between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// Spawns the service that probes the servers of `fleet`. A probe is a connection on which nothing is sent.
pub fn spawn_probes(
    fleet: &Arc<RelayFleet>,
    pool: &UpstreamPool,
    timer: &TimerService,
    group: &TaskGroup,
) {
    let (fleet, pool, parent) = (fleet.clone(), pool.clone(), group.clone());
    timer.spawn_periodic(group, "probes", PROBE_PERIOD, move |now| {
        for probe in fleet.take_probes(now) {
            let (fleet, pool) = (fleet.clone(), pool.clone());
            let (begun, probe) = (Instant::now(), Arc::new(probe));
            let (fleet_left, probe_left) = (fleet.clone(), probe.clone());
            let task = async move {
                let outcome = pool.probe(probe.address).await;
                log::debug!("probe of server {}: {outcome:?}", probe.id);
                fleet.end_probe(&probe, outcome, begun);
            };
            // Without its end, the server would get no further probe.
            parent.spawn_recoverable("probe", task, move || {
                fleet_left.end_probe(&probe_left, ProbeOutcome::Unknown, begun);
            });
        }
    });
}
