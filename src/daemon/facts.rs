//! Input of the planner of a zone: declared models and servers, and the demand that all daemons report.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use crate::catalog::{BackendKind, BackendSpec, FleetCatalog};
use crate::daemon::parts::{Members, Replica, Watch};
use crate::ids::VmId;
use crate::placement::{
    AdapterFacts, DemandTracker, FleetFacts, FleetView, ModelFacts, PlannerFence, PlannerRole,
    ServerFacts,
};

/// Provides the planner's input and role to the order service of this daemon.
pub(super) struct DaemonFacts {
    pub(super) zone: SmolStr,
    pub(super) replica: Arc<Replica>,
    pub(super) watch: Arc<Watch>,
    pub(super) members: Arc<Members>,
    pub(super) demand: Arc<DemandTracker>,
}

impl PlannerRole for DaemonFacts {
    fn planner_fence(&self) -> Option<PlannerFence> {
        let planner = self.members.planner_fence(&self.zone, Instant::now())?;
        Some(PlannerFence {
            zone: self.zone.clone(),
            vm: planner.vm,
            fence: planner.fence,
        })
    }

    fn has_left(&self, vm: VmId) -> bool {
        self.members.caught_up() && self.members.members().iter().all(|(id, _)| *id != vm)
    }
}

impl FleetView for DaemonFacts {
    fn facts(&self) -> Arc<FleetFacts> {
        // Without the configuration no model is declared, and the planner would unload all of them.
        if !self.replica.is_ready() {
            return Arc::default();
        }
        let now = Instant::now();
        let catalog = self.replica.current();
        let zones: BTreeSet<SmolStr> = self
            .members
            .members()
            .into_iter()
            .map(|(_, entry)| entry.zone)
            .collect();
        Arc::new(FleetFacts {
            models: self.model_facts(&catalog, now),
            adapters: self.adapter_facts(&catalog, now),
            servers: self.server_facts(&catalog),
            policy: catalog.policy().clone(),
            zones: u32::try_from(zones.len()).unwrap_or(u32::MAX).max(1),
        })
    }
}

impl DaemonFacts {
    fn model_facts(&self, catalog: &FleetCatalog, now: Instant) -> Vec<ModelFacts> {
        let facts = catalog.models().map(|model| ModelFacts {
            name: model.name.clone(),
            version: model.version.clone(),
            memory_bytes: catalog
                .replica_bytes(&model.name, &model.version)
                .unwrap_or(model.memory_bytes),
            min_replicas: model.min_replicas,
            demand: self.demand.model_facts(&model.name, now),
        });
        facts.collect()
    }

    fn adapter_facts(&self, catalog: &FleetCatalog, now: Instant) -> Vec<AdapterFacts> {
        let facts = catalog.adapters().map(|adapter| AdapterFacts {
            name: adapter.name.clone(),
            model: adapter.model.clone(),
            memory_bytes: adapter.memory_bytes,
            demand: self.demand.facts(&adapter.model, Some(&adapter.name), now),
        });
        facts.collect()
    }

    fn server_facts(&self, catalog: &FleetCatalog) -> Vec<ServerFacts> {
        let fleet = self.watch.snapshot();
        let facts = catalog.backends().filter_map(|spec| {
            let position = fleet.position(&spec.name);
            let handle = position.map(|position| fleet.handle(position));
            let leaving = handle.is_some_and(|handle| handle.is_leaving());
            let reachable = handle.is_some_and(|handle| !handle.is_suspected());
            engine_facts(spec, leaving, reachable)
        });
        facts.collect()
    }
}

fn engine_facts(spec: &BackendSpec, leaving: bool, reachable: bool) -> Option<ServerFacts> {
    let BackendKind::Engine {
        memory_bytes,
        slots,
        checks_fencing,
        ..
    } = spec.kind
    else {
        return None;
    };
    Some(ServerFacts {
        name: spec.name.clone(),
        zone: spec.zone.clone(),
        address: spec.address,
        memory_bytes,
        slots,
        checks_fencing,
        leaving,
        reachable,
    })
}
