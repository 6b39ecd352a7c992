//! Readiness and state dump of a daemon on the users' platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use serde_json::{Value, json};

use crate::admin::StateDump;
use crate::error::{Error, Result};
use crate::faults::TaskFaults;
use crate::limit::LimitService;
use crate::peer::PeerClient;
use crate::relay::{
    ConfigHolder, ConfigKnowledge, DaemonRegistry, ReaderElection, RelayFleet, StartGate,
};

/// Readiness and state dump of a daemon on the platform.
pub(super) struct RelayState {
    pub(super) configs: Arc<ConfigHolder>,
    pub(super) fleet: Arc<RelayFleet>,
    pub(super) registry: Arc<DaemonRegistry>,
    pub(super) limits: Arc<LimitService<PeerClient>>,
    pub(super) readers: Arc<ReaderElection>,
    pub(super) gate: StartGate,
    pub(super) draining: Arc<AtomicBool>,
    pub(super) faults: TaskFaults,
}

impl StateDump for RelayState {
    fn ready(&self) -> Result<()> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Error::unavailable("the daemon is shutting down"));
        }
        let now = Instant::now();
        self.faults.check(now)?;
        if self.configs.version() == 0 {
            return Err(Error::unavailable("the configuration is not loaded yet"));
        }
        if !self.fleet.has_list() {
            let message = "the list of backend servers is not known yet";
            return Err(Error::unavailable(message));
        }
        if self.fleet.servers().is_empty() {
            return Err(Error::unavailable("no backend server is known yet"));
        }
        let known = ConfigKnowledge {
            in_force: self.configs.version(),
            newest: self.readers.newest_config_version(now),
            has_peers: !self.registry.peers().is_empty(),
            hears_peers: !self.readers.live_peers(now).is_empty(),
        };
        self.gate.check(known, now)
    }

    fn dump(&self) -> Value {
        let now = Instant::now();
        let servers = self.fleet.servers();
        let servers = servers.iter().map(|server| {
            let load = self.fleet.server_load(&server.id, now);
            json!({
                "id": server.id,
                "service": server.service,
                "address": server.address.to_string(),
                "zone": server.zone,
                "leaving": server.leaving,
                "models": server.models.iter().map(|model| &model.name).collect::<Vec<_>>(),
                "pace": load.map(|load| f64::from(load.pace_permille) / 1_000.0),
                "own_work_us": load.map(|load| load.own_work_us),
                "peer_work_us": load.and_then(|load| load.peer_work_us),
            })
        });
        let evacuated = self.fleet.evacuated_zones();
        let evacuated = evacuated.iter().map(|zone| {
            json!({
                "zone": zone.zone,
                "for_s": now.saturating_duration_since(zone.since).as_secs_f64(),
                "running": zone.running,
            })
        });
        json!({
            "plan_version": self.configs.version(),
            "servers": servers.collect::<Vec<_>>(),
            "evacuated_zones": evacuated.collect::<Vec<_>>(),
            "refusing_servers": self.fleet.refusing_servers(),
            "peers": self.registry.peers(),
            "share_ppm": self.registry.share(now).ppm,
            "limits": self.limits.dump(),
        })
    }
}
