//! The planner's orders when the store of its lease goes back to an older copy.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use foxtailhill::dispatch::ModelDemand;
use foxtailhill::error::{Category, Error, Result, RunVerdict};
use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::placement::DemandTracker;
use foxtailhill::relay::{
    EngineConfig, EngineControl, EngineReport, LeaseCandidate, LeaseManager, LeaseRecord,
    LeaseState, LeaseStore, ModelConfig, OrderAnswer, OrderContext, PlannerContext, RelayFleet,
    ReplicaOrder, ReplicaPlanner, ServerChange, ServerEntry, ServiceConfig, ServingConfig,
    WriteAnswer,
};
use foxtailhill::timer::TimerService;
use smol_str::SmolStr;
use tokio::sync::watch;

/// A store that holds the lease and may lose all of it.
#[derive(Default)]
struct RestoredStore(Mutex<LeaseState>);

impl RestoredStore {
    fn lose_all(&self) {
        let mut state = lock(&self.0);
        *state = LeaseState {
            era: StoreEra(state.era.0 + 1),
            ..LeaseState::default()
        };
    }
}

impl LeaseStore for RestoredStore {
    async fn read_lease(&self) -> Result<LeaseState> {
        Ok(lock(&self.0).clone())
    }

    async fn write_lease(&self, at: LogOffset, record: &LeaseRecord) -> Result<WriteAnswer> {
        let mut state = lock(&self.0);
        let written = state.next == at;
        if written {
            state.record = Some(record.clone());
            state.next = at.next();
        }
        Ok(WriteAnswer {
            written,
            era: state.era,
        })
    }
}

/// An engine that gives no answers to orders until it is told to.
#[derive(Default)]
struct SilentEngine {
    answers: AtomicBool,
    orders: Mutex<Vec<(ReplicaOrder, OrderContext)>>,
}

impl EngineControl for SilentEngine {
    async fn order(
        &self,
        _server: &str,
        _address: SocketAddr,
        order: &ReplicaOrder,
        context: &OrderContext,
    ) -> Result<OrderAnswer> {
        lock(&self.orders).push((order.clone(), context.clone()));
        match self.answers.load(Ordering::SeqCst) {
            true => Ok(OrderAnswer::Accepted),
            false => {
                Err(Error::new(Category::Timeout, "no answer").with_verdict(RunVerdict::MayHaveRun))
            }
        }
    }

    async fn report(&self, _server: &str, _address: SocketAddr) -> Result<EngineReport> {
        Ok(EngineReport {
            born_ms: 1,
            ..EngineReport::default()
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serving_config() -> ServingConfig {
    let model = ModelConfig {
        name: "m0".into(),
        memory_mb: 60_000.0,
        store_load: Duration::from_secs(5),
        disk_load: Duration::from_secs(1),
        host_load: Duration::from_millis(400),
        adapters: 0,
        adapter_mb: 10.0,
    };
    let engine = EngineConfig {
        models: vec![model],
        slots: 64,
        cache_tokens: 100_000,
        memory_mb: 200_000.0,
        adapter_slots: 2,
        loads_per_s: 100.0,
    };
    let service = ServiceConfig {
        name: "drafter".into(),
        max_connections: 0,
        cold_rate: 0.0,
        engine: Some(engine),
    };
    ServingConfig::new(1, Vec::new(), vec![service], Vec::new())
}

fn server() -> ServerEntry {
    ServerEntry {
        id: "e0".into(),
        service: "drafter".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "z0".into(),
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

async fn wait_for(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !done() {
        assert!(Instant::now() < end, "{what} did not happen");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an order that is lost, or repeated under the number of the lost era or without its precondition, when
/// the number of the lease changes while the order has no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn open_order_is_sent_again_under_the_number_of_the_new_era() {
    let group = TaskGroup::new();
    let timer = TimerService::spawn(&group);
    let fleet = Arc::new(RelayFleet::new());
    fleet.apply(vec![ServerChange::Snapshot(vec![server()])], Instant::now());
    let (_configs, receiver) = watch::channel(Some(Arc::new(serving_config())));
    let control = Arc::new(SilentEngine::default());
    let store = Arc::new(RestoredStore::default());
    // An earlier run of the daemon held the lease.
    *lock(&store.0) = LeaseState {
        record: Some(LeaseRecord {
            holder: "entry-1".into(),
            vm: VmId(1),
            fence: (1 << 32) + 1,
            released: false,
        }),
        next: LogOffset(1),
        era: StoreEra(1),
    };
    let (_eligible, eligible) = watch::channel(true);
    let order_delay = Duration::from_secs(3);
    let candidate = LeaseCandidate::new("entry-1".into(), VmId::random(), order_delay);
    let lease = LeaseManager::spawn(&group, store.clone(), candidate, eligible);
    let demand = Arc::new(DemandTracker::with_window(Duration::from_secs(1)));
    let reported = ModelDemand {
        model: "drafter/m0".into(),
        arrivals: 40,
        tokens: 40_000,
        ..ModelDemand::default()
    };
    let reporter = SocketAddr::from(([127, 0, 0, 1], 1));
    demand.record(reporter, &[reported], Instant::now());
    let name = SmolStr::from("entry-1");
    let planner = ReplicaPlanner::spawn(
        PlannerContext {
            name,
            lease,
            control: control.clone(),
            fleet,
            demand,
            configs: receiver,
            group: group.clone(),
        },
        &timer,
    );
    wait_for("an order", || !lock(&control.orders).is_empty()).await;
    let (order, before) = lock(&control.orders)[0].clone();
    store.lose_all();
    wait_for("a new number", || {
        planner.fence().is_some_and(|fence| fence > before.fence)
    })
    .await;
    let sent = lock(&control.orders).len();
    control.answers.store(true, Ordering::SeqCst);
    wait_for("a repetition", || lock(&control.orders).len() > sent).await;
    let orders = lock(&control.orders).clone();
    group.shutdown().await;
    let (repeated, after) = &orders[sent];
    assert_eq!(*repeated, order);
    assert!(after.fence > before.fence, "{orders:?}");
    assert_eq!(after.expected_orders, before.expected_orders);
    let fences = orders.iter().map(|(_, context)| context.fence);
    assert!(fences.is_sorted(), "{orders:?}");
}
