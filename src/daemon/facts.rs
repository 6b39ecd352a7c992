//! What the planner of a zone knows: declared models and servers, and the demand that all daemons report.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::catalog::{BackendKind, BackendSpec, FleetCatalog};
use crate::daemon::parts::{Members, Replica, Watch};
use crate::dispatch::ModelDemand;
use crate::ids::VmId;
use crate::placement::{
    AdapterFacts, DemandFacts, FleetFacts, FleetView, ModelFacts, PlannerFence, PlannerRole,
    ServerFacts,
};

/// Time constant of the running means of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(20);
/// Age above which a daemon's report of waiting requests no longer counts.
const WAITING_LIFE: Duration = Duration::from_secs(5);

type DemandKey = (SmolStr, Option<SmolStr>);

/// Sums that decay with [`DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct DemandSums {
    updated_at: Instant,
    arrivals: f64,
    tokens: f64,
    misses: f64,
}

/// Demand that daemons have reported.
#[derive(Debug, Default)]
pub(super) struct DemandBoard {
    sums: Mutex<HashMap<DemandKey, DemandSums>>,
    waiting: Mutex<HashMap<(DemandKey, SocketAddr), (Instant, u32)>>,
}

impl DemandBoard {
    /// Takes in the counts of the daemon whose peer address is `reporter`.
    pub(super) fn note(&self, reporter: SocketAddr, demands: &[ModelDemand], now: Instant) {
        let mut sums = lock(&self.sums);
        let mut waiting = lock(&self.waiting);
        for demand in demands {
            let key = (demand.model.clone(), demand.adapter.clone());
            let sum = sums
                .entry(key.clone())
                .or_insert_with(|| DemandSums::new(now));
            sum.decay(now);
            sum.arrivals += f64::from(demand.arrivals);
            sum.tokens += demand.tokens as f64;
            sum.misses += f64::from(demand.misses);
            waiting.insert((key, reporter), (now, demand.waiting));
        }
        waiting.retain(|_, (at, _)| now.saturating_duration_since(*at) < WAITING_LIFE);
    }

    fn facts(&self, key: &DemandKey, now: Instant) -> DemandFacts {
        let waiting = lock(&self.waiting);
        let waiting = waiting.iter().filter(|((of, _), _)| of == key);
        let waiting = waiting.map(|(_, (_, count))| *count).sum();
        let Some(mut sum) = lock(&self.sums).get(key).copied() else {
            return DemandFacts {
                waiting,
                ..DemandFacts::default()
            };
        };
        sum.decay(now);
        let window = DEMAND_WINDOW.as_secs_f64();
        DemandFacts {
            arrivals_per_s: sum.arrivals / window,
            tokens_per_s: sum.tokens / window,
            waiting,
            misses_per_s: sum.misses / window,
        }
    }
}

impl DemandSums {
    fn new(now: Instant) -> Self {
        Self {
            updated_at: now,
            arrivals: 0.0,
            tokens: 0.0,
            misses: 0.0,
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        let factor = (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.arrivals *= factor;
        self.tokens *= factor;
        self.misses *= factor;
        self.updated_at = now;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Facts for the order service of this daemon.
pub(super) struct DaemonFacts {
    pub(super) zone: SmolStr,
    pub(super) replica: Arc<Replica>,
    pub(super) watch: Arc<Watch>,
    pub(super) members: Arc<Members>,
    pub(super) demand: Arc<DemandBoard>,
}

impl PlannerRole for DaemonFacts {
    fn planner_fence(&self) -> Option<PlannerFence> {
        let fence = self.members.planner_fence(&self.zone, Instant::now())?;
        Some(PlannerFence {
            zone: self.zone.clone(),
            fence,
        })
    }

    fn has_left(&self, vm: VmId) -> bool {
        self.members.caught_up() && self.members.members().iter().all(|(id, _)| *id != vm)
    }
}

impl FleetView for DaemonFacts {
    fn facts(&self) -> Arc<FleetFacts> {
        let now = Instant::now();
        let catalog = self.replica.current();
        let zones: std::collections::BTreeSet<SmolStr> = self
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
            demand: self.model_demand(catalog, &model.name, now),
        });
        facts.collect()
    }

    /// Returns the demand for a model, that for its adapters included.
    fn model_demand(&self, catalog: &FleetCatalog, model: &SmolStr, now: Instant) -> DemandFacts {
        let mut total = self.demand.facts(&(model.clone(), None), now);
        for adapter in catalog.adapters().filter(|adapter| adapter.model == *model) {
            let part = self
                .demand
                .facts(&(model.clone(), Some(adapter.name.clone())), now);
            total.arrivals_per_s += part.arrivals_per_s;
            total.tokens_per_s += part.tokens_per_s;
            total.misses_per_s += part.misses_per_s;
            total.waiting += part.waiting;
        }
        total
    }

    fn adapter_facts(&self, catalog: &FleetCatalog, now: Instant) -> Vec<AdapterFacts> {
        let facts = catalog.adapters().map(|adapter| AdapterFacts {
            name: adapter.name.clone(),
            model: adapter.model.clone(),
            memory_bytes: adapter.memory_bytes,
            demand: self
                .demand
                .facts(&(adapter.model.clone(), Some(adapter.name.clone())), now),
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
