//! The planner of the users' platform, with engines that lose answers and carry out orders late.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use foxtailhill::dispatch::ModelDemand;
use foxtailhill::error::{Category, Error, Result, RunVerdict};
use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::placement::DemandTracker;
use foxtailhill::relay::{
    EngineConfig, EngineControl, EngineReport, HeldModel, LeaseCandidate, LeaseManager,
    LeaseRecord, LeaseState, LeaseStore, LoadItem, ModelConfig, OrderAnswer, OrderContext,
    PlacementRequest, PlannerContext, RelayFleet, ReplicaOrder, ReplicaPlanner, ServerChange,
    ServerEntry, ServiceConfig, ServingConfig, WriteAnswer,
};
use foxtailhill::timer::TimerService;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::sync::watch;

const MEMORY_MB: f64 = 200_000.0;
const MODEL_MB: f64 = 60_000.0;
const ADAPTER_SLOTS: usize = 2;
const ENGINES: usize = 4;
const MODELS: usize = 7;

/// A lease that only the VM `entry-1` writes, and that an earlier run of its daemon held.
struct OwnLease(Mutex<LeaseState>);

impl Default for OwnLease {
    fn default() -> Self {
        let record = LeaseRecord {
            holder: "entry-1".into(),
            ..LeaseRecord::of_unknown_holder()
        };
        Self(Mutex::new(LeaseState {
            record: Some(record),
            ..LeaseState::default()
        }))
    }
}

impl LeaseStore for OwnLease {
    async fn read_lease(&self) -> Result<LeaseState> {
        Ok(lock(&self.0).clone())
    }

    async fn write_lease(&self, at: LogOffset, record: &LeaseRecord) -> Result<WriteAnswer> {
        *lock(&self.0) = LeaseState {
            record: Some(record.clone()),
            next: at.next(),
            ..LeaseState::default()
        };
        Ok(WriteAnswer {
            written: true,
            era: StoreEra::default(),
        })
    }
}

#[derive(Default)]
struct SimulatedEngine {
    orders: u64,
    models: Vec<HeldModel>,
    /// The order that is being carried out, and when it ends.
    busy: Option<(Instant, ReplicaOrder)>,
    /// Adapters that reports show as coming.
    coming: Vec<LoadItem>,
    /// Whether the order is complete as soon as the engine has reported that it is not.
    ends_after_report: bool,
}

impl SimulatedEngine {
    fn finish_due_order(&mut self, now: Instant) {
        if let Some((_, order)) = self.busy.take_if(|(end, _)| *end <= now) {
            self.apply(&order);
        }
    }

    fn apply(&mut self, order: &ReplicaOrder) {
        match order {
            ReplicaOrder::Load(item) => match &item.adapter {
                None => self.models.push(HeldModel {
                    name: item.model.clone(),
                    ..HeldModel::default()
                }),
                Some(adapter) => {
                    let held = self.models.iter_mut().find(|held| held.name == item.model);
                    held.into_iter()
                        .for_each(|held| held.adapters.push(adapter.clone()));
                }
            },
            ReplicaOrder::Unload(item) => match &item.adapter {
                None => self.models.retain(|held| held.name != item.model),
                Some(adapter) => {
                    let held = self.models.iter_mut().find(|held| held.name == item.model);
                    held.into_iter()
                        .for_each(|held| held.adapters.retain(|other| other != adapter));
                }
            },
        }
    }

    fn accept(
        &mut self,
        order: &ReplicaOrder,
        orders: u64,
        violations: &mut Vec<String>,
    ) -> OrderAnswer {
        let now = Instant::now();
        self.finish_due_order(now);
        if self.orders != orders || self.busy.is_some() {
            return OrderAnswer::Conflict;
        }
        let item = match order {
            ReplicaOrder::Load(item) | ReplicaOrder::Unload(item) => item,
        };
        let held = self.models.iter().any(|held| {
            held.name == item.model
                && item
                    .adapter
                    .as_ref()
                    .is_none_or(|one| held.adapters.contains(one))
        });
        if held == matches!(order, ReplicaOrder::Load(_)) {
            return OrderAnswer::AlreadyDone;
        }
        self.orders += 1;
        let adapters: usize = self.models.iter().map(|held| held.adapters.len()).sum();
        if matches!(order, ReplicaOrder::Load(_)) {
            match &item.adapter {
                None if (self.models.len() + 1) as f64 * MODEL_MB > MEMORY_MB => {
                    violations.push(format!("load of {item:?} beside {:?}", self.models));
                }
                Some(_) if adapters >= ADAPTER_SLOTS => {
                    violations.push(format!("adapter {item:?} beside {:?}", self.models));
                }
                _ => {}
            }
        }
        if item.adapter.is_some() {
            self.apply(order);
            return match order {
                ReplicaOrder::Load(_) => OrderAnswer::Accepted,
                ReplicaOrder::Unload(_) => OrderAnswer::AlreadyDone,
            };
        }
        self.busy = Some((now + Duration::from_millis(60), order.clone()));
        OrderAnswer::Accepted
    }
}

/// Engines whose answers get lost and whose orders are carried out late.
struct FaultyEngines {
    group: TaskGroup,
    engines: Arc<Mutex<HashMap<SmolStr, SimulatedEngine>>>,
    violations: Arc<Mutex<Vec<String>>>,
    /// When loads of weights were accepted.
    loads: Arc<Mutex<Vec<Instant>>>,
    random: Mutex<StdRng>,
    /// Part of the orders that get no answer.
    lost_part: f64,
    /// Servers that were asked for their state.
    asked: Mutex<HashSet<SmolStr>>,
}

impl EngineControl for FaultyEngines {
    async fn order(
        &self,
        server: &str,
        _address: SocketAddr,
        order: &ReplicaOrder,
        context: &OrderContext,
    ) -> Result<OrderAnswer> {
        let (lost, late) = {
            let mut random = lock(&self.random);
            let lost = random.random_bool(self.lost_part);
            (lost, Duration::from_millis(random.random_range(0..2_500)))
        };
        if !lost {
            let mut engines = lock(&self.engines);
            let engine = engines.entry(server.into()).or_default();
            let answer = engine.accept(order, context.expected_orders, &mut lock(&self.violations));
            note_load(&self.loads, order, answer);
            return Ok(answer);
        }
        let (engines, violations) = (self.engines.clone(), self.violations.clone());
        let loads = self.loads.clone();
        let (server, order, orders) = (
            SmolStr::from(server),
            order.clone(),
            context.expected_orders,
        );
        self.group.spawn_cancellable(async move {
            tokio::time::sleep(late).await;
            let mut engines = lock(&engines);
            let engine = engines.entry(server).or_default();
            let answer = engine.accept(&order, orders, &mut lock(&violations));
            note_load(&loads, &order, answer);
        });
        Err(Error::new(Category::Timeout, "no answer").with_verdict(RunVerdict::MayHaveRun))
    }

    async fn report(&self, server: &str, _address: SocketAddr) -> Result<EngineReport> {
        lock(&self.asked).insert(server.into());
        let mut engines = lock(&self.engines);
        let engine = engines.entry(server.into()).or_default();
        engine.finish_due_order(Instant::now());
        let mut models = engine.models.clone();
        for held in &mut models {
            let coming = |adapter: &SmolStr| {
                let mut coming = engine.coming.iter();
                coming.any(|item| item.model == held.name && item.adapter.as_ref() == Some(adapter))
            };
            held.adapters.retain(|adapter| !coming(adapter));
        }
        let report = EngineReport {
            born_ms: 1,
            accepted_orders: engine.orders,
            busy: engine.busy.is_some(),
            models,
            coming: engine.coming.clone(),
        };
        if engine.ends_after_report
            && let Some((_, order)) = engine.busy.take()
        {
            engine.apply(&order);
        }
        Ok(report)
    }
}

fn note_load(loads: &Mutex<Vec<Instant>>, order: &ReplicaOrder, answer: OrderAnswer) {
    let is_load = matches!(order, ReplicaOrder::Load(item) if item.adapter.is_none());
    if is_load && answer == OrderAnswer::Accepted {
        lock(loads).push(Instant::now());
    }
}

/// Returns the largest number of loads within the platform's window of 5 s.
fn most_loads_in_a_window(loads: &[Instant]) -> usize {
    let window = |from: &Instant| {
        let end = *from + Duration::from_secs(5);
        loads
            .iter()
            .filter(|at| **at >= *from && **at < end)
            .count()
    };
    loads.iter().map(window).max().unwrap_or(0)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serving_config(loads_per_s: f64) -> ServingConfig {
    let model = |index: usize| ModelConfig {
        name: format!("m{index}").into(),
        memory_mb: MODEL_MB,
        store_load: Duration::from_secs(5),
        disk_load: Duration::from_secs(1),
        host_load: Duration::from_millis(400),
        adapters: 9,
        adapter_mb: 10.0,
    };
    let engine = EngineConfig {
        models: (0..MODELS).map(model).collect(),
        slots: 64,
        cache_tokens: 100_000,
        memory_mb: MEMORY_MB,
        adapter_slots: ADAPTER_SLOTS as u32,
        loads_per_s,
    };
    let service = ServiceConfig {
        name: "drafter".into(),
        max_connections: 0,
        cold_rate: 0.0,
        engine: Some(engine),
    };
    let desk = ServiceConfig {
        name: "desk".into(),
        max_connections: 0,
        cold_rate: 0.0,
        engine: None,
    };
    ServingConfig::new(1, Vec::new(), vec![service, desk], Vec::new())
}

/// Returns an engine's record that lists no models and is never updated.
fn stale_record(index: usize) -> ServerEntry {
    ServerEntry {
        id: format!("e{index}").into(),
        service: "drafter".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9 + index as u16)),
        zone: format!("z{index}").into(),
        software: "v1".into(),
        slots: 64,
        leaving: false,
        models: Vec::new(),
        born_ms: 1,
        seq: 0,
        cold_left: Duration::ZERO,
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

struct PlannerRig {
    group: TaskGroup,
    control: Arc<FaultyEngines>,
    demand: Arc<DemandTracker>,
    planner: Arc<ReplicaPlanner<FaultyEngines>>,
    _timer: TimerService,
    _configs: watch::Sender<Option<Arc<ServingConfig>>>,
}

fn open(seed: u64, lost: f64) -> PlannerRig {
    open_with(seed, lost, 100.0)
}

fn open_with(seed: u64, lost: f64, loads_per_s: f64) -> PlannerRig {
    let group = TaskGroup::new();
    let control = Arc::new(FaultyEngines {
        group: group.clone(),
        engines: Arc::default(),
        violations: Arc::default(),
        loads: Arc::default(),
        random: Mutex::new(StdRng::seed_from_u64(seed)),
        lost_part: lost,
        asked: Mutex::default(),
    });
    open_planner(group, control, loads_per_s)
}

/// Opens a planner of `control`, which may have had another one before.
fn open_planner(group: TaskGroup, control: Arc<FaultyEngines>, loads_per_s: f64) -> PlannerRig {
    let timer = TimerService::spawn(&group);
    let fleet = Arc::new(RelayFleet::new());
    let desk = ServerEntry {
        id: "desk-1".into(),
        service: "desk".into(),
        ..stale_record(ENGINES)
    };
    let records = (0..ENGINES).map(stale_record).chain([desk]).collect();
    fleet.apply(vec![ServerChange::Snapshot(records)], Instant::now());
    let (configs, receiver) = watch::channel(Some(Arc::new(serving_config(loads_per_s))));
    let (_eligible, eligible) = watch::channel(true);
    let candidate = LeaseCandidate::new("entry-1".into(), VmId::random(), Duration::ZERO);
    let lease = LeaseManager::spawn(&group, Arc::new(OwnLease::default()), candidate, eligible);
    let demand = Arc::new(DemandTracker::with_window(Duration::from_secs(1)));
    let planner = ReplicaPlanner::spawn(
        PlannerContext {
            name: "entry-1".into(),
            lease,
            control: control.clone(),
            fleet,
            demand: demand.clone(),
            configs: receiver,
            group: group.clone(),
        },
        &timer,
    );
    PlannerRig {
        group,
        control,
        demand,
        planner,
        _timer: timer,
        _configs: configs,
    }
}

impl PlannerRig {
    fn report_demand(&self, model: usize, arrivals: u32) {
        let demand = ModelDemand {
            model: format!("drafter/m{model}").into(),
            arrivals,
            tokens: u64::from(arrivals) * 1_000,
            ..ModelDemand::default()
        };
        let reporter = SocketAddr::from(([127, 0, 0, 1], 1));
        self.demand.record(reporter, &[demand], Instant::now());
    }

    fn replicas(&self, model: usize) -> usize {
        let name = format!("m{model}");
        let engines = lock(&self.control.engines);
        let holds = |engine: &&SimulatedEngine| engine.models.iter().any(|held| held.name == name);
        engines.values().filter(holds).count()
    }
}

/// Guards against loads beyond an engine's memory or adapter slots, when an old record replaced the planner's view,
/// an order was carried out late, or its answer was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_never_exceed_engine_capacity() {
    for seed in [1, 2, 3] {
        let rig = open(seed, 0.3);
        for step in 0..50 {
            rig.report_demand(step / 8 % MODELS, 40);
            let request = PlacementRequest {
                service: "drafter".into(),
                item: LoadItem {
                    model: format!("m{}", step / 8 % MODELS).into(),
                    adapter: Some(format!("a{}", step % 5).into()),
                },
            };
            let planner = rig.planner.clone();
            rig.group.spawn_cancellable(async move {
                planner.place(request).await;
            });
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let violations = lock(&rig.control.violations).clone();
        let orders: u64 = lock(&rig.control.engines)
            .values()
            .map(|engine| engine.orders)
            .sum();
        rig.group.shutdown().await;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert!(
            orders > 10,
            "seed {seed}: only {orders} orders were accepted"
        );
    }
}

/// Guards against more loads from the weight store than it allows in 5 s when some orders are carried out late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_loads_stay_within_the_rate_under_late_orders() {
    // The platform's bound: the rate in a window of 5 s, a tenth more, and three.
    const MOST: usize = (1.0 * 5.0 * 1.1) as usize + 3;
    for seed in [1, 2] {
        let rig = open_with(seed, 0.5, 1.0);
        for step in 0..120 {
            rig.report_demand(step / 10 % MODELS, 60);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let loads = lock(&rig.control.loads).clone();
        rig.group.shutdown().await;
        let most = most_loads_in_a_window(&loads);
        assert!(most <= MOST, "seed {seed}: {most} loads in 5 s");
        assert!(
            loads.len() >= MODELS / 2,
            "seed {seed}: only {} loads",
            loads.len()
        );
    }
}

/// Guards against more loads from the weight store than it allows in 5 s when planners take over from each other, none of
/// which knows the loads of the one before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_loads_of_consecutive_planners_stay_within_the_rate() {
    // The platform's bound: the rate in a window of 5 s, a tenth more, and three.
    const MOST: usize = (1.0 * 5.0 * 1.1) as usize + 3;
    let mut rig = open_with(1, 0.0, 1.0);
    for planner in 0..3 {
        for _ in 0..40 {
            (0..MODELS).for_each(|model| rig.report_demand(model, 60));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let control = rig.control.clone();
        rig.group.shutdown().await;
        if planner < 2 {
            rig = open_planner(TaskGroup::new(), control, 1.0);
        }
    }
    let loads = lock(&rig.control.loads).clone();
    let most = most_loads_in_a_window(&loads);
    assert!(most <= MOST, "{most} loads in 5 s");
    assert!(loads.len() >= 3, "only {} loads", loads.len());
}

/// Guards against orders based on the state of an engine that still carries out an order of the previous planner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_planner_waits_for_a_load_in_progress() {
    let rig = open(5, 0.0);
    for index in 0..ENGINES {
        let held = |model: usize| HeldModel {
            name: format!("m{model}").into(),
            ..HeldModel::default()
        };
        let load = ReplicaOrder::Load(LoadItem {
            model: "m2".into(),
            adapter: None,
        });
        let engine = SimulatedEngine {
            orders: 5,
            models: vec![held(0), held(1)],
            busy: Some((Instant::now() + Duration::from_secs(3_600), load)),
            ends_after_report: true,
            ..SimulatedEngine::default()
        };
        lock(&rig.control.engines).insert(format!("e{index}").into(), engine);
    }
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        rig.report_demand(3, 40);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let violations = lock(&rig.control.violations).clone();
    rig.group.shutdown().await;
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a planner that has no state yet and takes the place of an adapter that is being loaded for free.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_planner_counts_adapters_that_are_being_loaded() {
    let rig = open(5, 0.0);
    let item = |adapter: &str| LoadItem {
        model: "m0".into(),
        adapter: Some(adapter.into()),
    };
    for index in 0..ENGINES {
        let engine = SimulatedEngine {
            orders: 3,
            models: vec![HeldModel {
                name: "m0".into(),
                adapters: vec!["a1".into(), "a2".into()],
                ..HeldModel::default()
            }],
            coming: vec![item("a2")],
            ..SimulatedEngine::default()
        };
        lock(&rig.control.engines).insert(format!("e{index}").into(), engine);
    }
    let request = PlacementRequest {
        service: "drafter".into(),
        item: item("a3"),
    };
    let end = Instant::now() + Duration::from_secs(20);
    let is_placed = || {
        let engines = lock(&rig.control.engines);
        let mut held = engines.values().flat_map(|engine| &engine.models);
        held.any(|held| held.name == "m0" && held.adapters.contains(&"a3".into()))
    };
    while !is_placed() {
        assert!(Instant::now() < end, "the adapter was not placed");
        let placed = rig.planner.place(request.clone());
        // A planner without the lease places nothing.
        let _ = tokio::time::timeout(Duration::from_millis(100), placed).await;
    }
    let violations = lock(&rig.control.violations).clone();
    rig.group.shutdown().await;
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a model that stays without a replica, or one in demand that gets no more replicas.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_model_gets_a_replica_and_busy_models_get_more() {
    let rig = open(7, 0.0);
    let end = Instant::now() + Duration::from_secs(30);
    let done = || (0..MODELS).all(|model| rig.replicas(model) >= 1) && rig.replicas(2) >= 3;
    while !done() {
        rig.report_demand(2, 40);
        assert!(
            Instant::now() < end,
            "{:?}",
            (0..MODELS)
                .map(|model| rig.replicas(model))
                .collect::<Vec<_>>()
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    rig.group.shutdown().await;
}

/// Guards against an adapter that is never loaded although a request waits for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn adapter_is_placed_where_its_model_is() {
    let rig = open(9, 0.0);
    let request = PlacementRequest {
        service: "drafter".into(),
        item: LoadItem {
            model: "m1".into(),
            adapter: Some("a4".into()),
        },
    };
    let end = Instant::now() + Duration::from_secs(30);
    let placed = loop {
        if let Some(placed) = rig.planner.place(request.clone()).await {
            break placed;
        }
        assert!(Instant::now() < end, "the adapter was not placed");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(placed.present && placed.item == request.item);
    let holds = lock(&rig.control.engines)[&placed.server]
        .models
        .iter()
        .any(|held| held.name == "m1" && held.adapters.contains(&"a4".into()));
    assert!(holds);
    rig.group.shutdown().await;
}

/// Guards against report requests to servers that take no orders: they refuse them, and each request takes a slot.
#[tokio::test]
async fn plain_services_are_not_asked_for_reports() {
    let rig = open(1, 0.0);
    let deadline = Instant::now() + Duration::from_secs(20);
    while lock(&rig.control.asked).len() < ENGINES && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let asked = lock(&rig.control.asked).clone();
    assert_eq!(asked.len(), ENGINES, "{asked:?}");
    assert!(!asked.contains("desk-1"), "{asked:?}");
    rig.group.shutdown().await;
}
