//! Starts and stops a daemon on the users' platform, which forwards the bodies of requests byte for byte.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use crate::admin::{AdminServer, AdminSources, StateDump};
use crate::blame::DaemonKey;
use crate::daemon::crowd_report::spawn_crowd_report;
use crate::daemon::descriptors::VmLimits;
use crate::daemon::relay_peers::{
    KnownPlanner, RelayPeerHandler, RelayPulseHandler, exchange_reports, spawn_origin_questions,
    spawn_placement_requests,
};
use crate::daemon::relay_state::RelayState;
use crate::dispatch::{
    CoreContext, CoreParts, DemandMeter, DrainClock, ModelQueues, RequestCore, Waiter,
};
use crate::error::Result;
use crate::faults::TaskFaults;
use crate::history::RequestHistory;
use crate::ids::VmId;
use crate::kernel::TaskGroup;
use crate::limit::LimitService;
use crate::member::PeerTable;
use crate::memory::MemoryAccount;
use crate::metrics::{DaemonMetrics, KindLabels};
use crate::peer::{PeerClient, PeerServer};
use crate::placement::DemandTracker;
use crate::platform::{self, EngineClient, PlatformFormat, StoreClient};
use crate::queue::WaitQueue;
use crate::relay::{
    ConfigHolder, CopyTables, CrashDetector, CrashWatch, DaemonRecord, DaemonRegistry,
    EvacuationSink, FollowPace, LeaseCandidate, LeaseManager, OriginQuestion, PairSink,
    PlannerContext, ReaderElection, RegistrySettings, RelayContext, RelayDispatcher, RelayFleet,
    RelayServer, ReplicaPlanner, RetryLimits, ServerSink, ServingConfig, StartGate, StoreHealth,
    StoreTable, StreamOrigins, TableSink, UpstreamPool, bind_readiness, follow_configs,
    follow_copies, spawn_probes, spawn_pulses, spawn_reader,
};
use crate::retry::RetryBudget;
use crate::routing::{ColdBound, ExpectedFinishPolicy};
use crate::settings::RelaySettings;
use crate::suspect::SuspectTable;
use crate::timer::TimerService;

/// Maximum number of requests in the history: a minute at the usual rate of one daemon.
const HISTORY_SIZE: usize = 1_000;
/// Maximum number of requests in the suspect table.
const SUSPECT_CAPACITY: usize = 1_000;
/// Reads of the configuration. A silent connection is closed shortly after the wait, well before a change must be in
/// force.
const CONFIG_PACE: FollowPace = FollowPace {
    wait: Duration::from_secs(2),
    pause: Duration::ZERO,
};
/// Reads of the servers' records. Each server writes about once a second; a leaving one must get no work 2 s later.
const SERVER_PACE: FollowPace = FollowPace {
    wait: Duration::from_millis(500),
    pause: Duration::from_millis(800),
};
/// Reads of the daemons' records. In a large fleet there is always a renewed record, so the pause limits the rate of
/// reads, not the wait.
const DAEMON_PACE: FollowPace = FollowPace {
    wait: Duration::from_secs(2),
    pause: Duration::from_millis(2_500),
};
/// Time after which all other daemons know a new daemon's record: the sum of the period of reads, a pulse, the period
/// of copies, a fetch, and a margin.
const SETTLE_TIME: Duration = Duration::from_millis(5_500);
/// Period of updates of the view of the fleet.
const FLEET_PERIOD: Duration = Duration::from_millis(100);
/// Period in which idle connections are checked for expiry.
const POOL_PERIOD: Duration = Duration::from_secs(1);

/// Time limit for open calls of other daemons at shutdown. A peer behind a network partition never ends its call, and
/// the platform kills the process shortly after the drain time.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The policies of a daemon on the platform.
#[derive(Clone, Copy, Debug)]
pub struct RelayParts;

impl CoreParts for RelayParts {
    type Limiter = LimitService<PeerClient>;
    type Routing = ExpectedFinishPolicy;
    type Queue = WaitQueue<Waiter>;
    type Fleet = Arc<RelayFleet>;
}

pub(super) type Core = RequestCore<RelayParts>;
pub(super) type Planner = ReplicaPlanner<EngineClient>;

/// Time constant of the averaged demand on which the layout is based: demand moves between models within seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(4);

/// Services of a running daemon.
pub(super) struct RelayServices {
    pub(super) store: Arc<StoreClient>,
    pub(super) timer: TimerService,
    pub(super) configs: Arc<ConfigHolder>,
    pub(super) fleet: Arc<RelayFleet>,
    pub(super) crashes: Arc<CrashDetector>,
    pub(super) watch: Arc<CrashWatch>,
    pub(super) registry: Arc<DaemonRegistry>,
    pub(super) limits: Arc<LimitService<PeerClient>>,
    pub(super) peer_table: Arc<PeerTable>,
    pub(super) demand: Arc<DemandTracker>,
    pub(super) pool: UpstreamPool,
    pub(super) core: Arc<Core>,
    pub(super) client: Arc<PeerClient>,
    pub(super) planner: Arc<Planner>,
    pub(super) known_planner: Arc<KnownPlanner>,
    pub(super) readers: Arc<ReaderElection>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) lease: Arc<LeaseManager>,
    pub(super) cold_bound: ColdBound,
    pub(super) origins: Arc<StreamOrigins>,
}

impl RelayServices {
    fn tables(&self) -> CopyTables {
        CopyTables {
            configs: self.configs.clone(),
            fleet: self.fleet.clone(),
            registry: self.registry.clone(),
        }
    }
}

/// A running daemon on the platform.
pub struct RelayDaemon {
    settings: RelaySettings,
    caller: RelayServer,
    admin: AdminServer,
    draining: Arc<AtomicBool>,
    drain_clock: Arc<DrainClock>,
    /// Tasks of requests, which are joined before those of services.
    request_tasks: TaskGroup,
    service_tasks: TaskGroup,
    lease: Arc<LeaseManager>,
    store: Arc<StoreClient>,
    /// Kept because the timer service stops when its last handle is dropped.
    _timer: TimerService,
}

/// Starts a daemon on the platform.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn open_relay(settings: RelaySettings) -> Result<RelayDaemon> {
    let service_tasks = TaskGroup::new();
    let request_tasks = service_tasks.sibling();
    let result = open_in(&settings, &service_tasks, &request_tasks).await;
    if result.is_err() {
        request_tasks.shutdown().await;
        service_tasks.shutdown().await;
    }
    result
}

async fn open_in(
    settings: &RelaySettings,
    service_tasks: &TaskGroup,
    request_tasks: &TaskGroup,
) -> Result<RelayDaemon> {
    let (services, questions) = open_services(settings, service_tasks, request_tasks);
    spawn_origin_questions(services.client.clone(), questions, service_tasks);
    let metrics = services.core.metrics().clone();
    let VmLimits {
        callers: limits,
        peers,
    } = VmLimits::new(settings.capacity, &settings.limits, &metrics);
    let memory = limits.account();
    show_memory(&services, memory.clone(), service_tasks);
    spawn_crowd_report(&metrics, &limits, &services.timer, service_tasks);
    let draining = Arc::new(AtomicBool::new(false));
    spawn_tasks(&services, service_tasks);
    let handler = Arc::new(RelayPeerHandler {
        limits: services.limits.clone(),
        core: services.core.clone(),
        planner: services.planner.clone(),
        tables: services.tables(),
        origins: services.origins.clone(),
    });
    PeerServer::bind_with_limits(service_tasks, settings.listen.peer, handler, peers).await?;
    let pulses = Arc::new(RelayPulseHandler::new(&services));
    let address = settings.listen.pulse;
    spawn_pulses(
        address,
        services.registry.clone(),
        pulses,
        &services.timer,
        service_tasks,
    )
    .await?;
    let dispatcher = RelayDispatcher::open(RelayContext {
        zone: settings.zone.clone(),
        core: services.core.clone(),
        configs: services.configs.subscribe(),
        readers: services.readers.clone(),
        fleet: services.fleet.clone(),
        crashes: services.crashes.clone(),
        watch: services.watch.clone(),
        origins: services.origins.clone(),
        pool: services.pool.clone(),
        memory: memory.clone(),
        format: Arc::new(PlatformFormat),
        retries: RetryLimits {
            percent: settings.retries.percent,
            extra: settings.retries.extra,
        },
        daemons: services.registry.subscribe_count(),
        placement_requests: spawn_placement_requests(&services, service_tasks),
    });
    let listen = &settings.listen;
    let limits = &limits;
    let side_limits = &limits.for_side();
    let caller = RelayServer::bind(
        request_tasks,
        listen.caller,
        limits,
        dispatcher,
        draining.clone(),
    )
    .await?;
    let state = Arc::new(RelayState {
        configs: services.configs.clone(),
        fleet: services.fleet.clone(),
        registry: services.registry.clone(),
        limits: services.limits.clone(),
        readers: services.readers.clone(),
        gate: StartGate::open(Instant::now()),
        draining: draining.clone(),
        faults: service_tasks.faults().clone(),
    });
    let answer = state.clone();
    let ready = move || answer.ready().is_ok();
    bind_readiness(
        service_tasks,
        listen.ready,
        platform::READY_PATH,
        side_limits,
        &metrics,
        ready,
    )
    .await?;
    let sources = AdminSources {
        state,
        metrics: services.core.metrics().clone(),
        history: services.core.history().clone(),
    };
    let admin = AdminServer::bind(service_tasks, listen.admin, side_limits, sources).await?;
    log::info!(
        "daemon {} of zone {} is serving at {}",
        settings.vm,
        settings.zone,
        listen.caller
    );
    Ok(RelayDaemon {
        settings: settings.clone(),
        caller,
        admin,
        draining,
        drain_clock: services.core.drain_clock().clone(),
        request_tasks: request_tasks.clone(),
        service_tasks: service_tasks.clone(),
        lease: services.lease,
        store: services.store,
        _timer: services.timer,
    })
}

/// Updates the gauge of the memory that callers use.
fn show_memory(services: &RelayServices, memory: MemoryAccount, group: &TaskGroup) {
    let metrics = services.core.metrics().clone();
    services
        .timer
        .spawn_periodic(group, "memory-gauge", POOL_PERIOD, move |_| {
            let used = i64::try_from(memory.used()).unwrap_or(i64::MAX);
            metrics.held_bytes.set(used);
        });
}

fn open_services(
    settings: &RelaySettings,
    service_tasks: &TaskGroup,
    request_tasks: &TaskGroup,
) -> (RelayServices, mpsc::UnboundedReceiver<OriginQuestion>) {
    let timer = TimerService::spawn(service_tasks);
    let store = Arc::new(StoreClient::open(settings.store.address));
    let configs = Arc::new(ConfigHolder::new(
        platform::CONFIGURATION_KEY,
        platform::decode_config,
    ));
    let fleet = Arc::new(RelayFleet::new());
    if settings.bootstrap {
        log::info!("the system starts for the first time");
        fleet.note_first_start();
    }
    let registry = Arc::new(DaemonRegistry::new(RegistrySettings {
        name: settings.vm.clone(),
        record: DaemonRecord {
            vm: VmId::random(),
            zone: settings.zone.clone(),
            peer: settings.listen.peer,
            pulse: settings.listen.pulse,
        },
        term: settings.timing.term,
        settle_time: SETTLE_TIME,
    }));
    let client = Arc::new(PeerClient::open(service_tasks));
    let peer_table = Arc::new(PeerTable::new());
    let limits = LimitService::open(configs.teams(), peer_table.clone(), client.clone());
    let suspects = Arc::new(Mutex::new(SuspectTable::new(SUSPECT_CAPACITY)));
    let health: Arc<StoreHealth> = Arc::default();
    let metrics = DaemonMetrics::new().with_faults(service_tasks.faults());
    let metrics = Arc::new(metrics.with_reads(health.reads()));
    let queues = ModelQueues::new(
        ExpectedFinishPolicy::new(fleet.read_parts().index().clone(), rand::random()),
        fleet.clone(),
        suspects.clone(),
        settings.limits.queue,
        WaitQueue::new,
    )
    .with_metrics(metrics.clone());
    let limits = Arc::new(limits);
    let core = RequestCore::open(CoreContext {
        group: request_tasks.clone(),
        limiter: limits.clone(),
        queues,
        suspects,
        demand: Arc::new(DemandMeter::new()),
        retries: RetryBudget::new(),
        history: Arc::new(RequestHistory::new(HISTORY_SIZE)),
        metrics,
        admission_limit: settings.limits.in_flight,
    });
    let demand = Arc::new(DemandTracker::with_window(DEMAND_WINDOW));
    let readers = Arc::new(ReaderElection::new(
        settings.vm.clone(),
        settings.zone.clone(),
        settings.capacity.weight(),
        health.clone(),
    ));
    let pool = UpstreamPool::open(request_tasks);
    let vm = registry.own_registration().1.vm;
    let lease = LeaseManager::spawn(
        service_tasks,
        store.clone(),
        LeaseCandidate::new(settings.vm.clone(), vm, settings.timing.lease),
        readers.subscribe(),
    );
    let planner = ReplicaPlanner::spawn(
        PlannerContext {
            name: settings.vm.clone(),
            lease: lease.clone(),
            control: Arc::new(EngineClient::open()),
            fleet: fleet.clone(),
            demand: demand.clone(),
            configs: configs.subscribe(),
            group: service_tasks.clone(),
        },
        &timer,
    );
    let (origins, questions) = StreamOrigins::open(fleet.clone(), registry.clone());
    let services = RelayServices {
        client,
        planner,
        known_planner: Arc::default(),
        readers,
        health,
        lease,
        store,
        timer,
        configs,
        fleet: fleet.clone(),
        crashes: Arc::default(),
        cold_bound: settings.cold.bound(),
        watch: CrashWatch::open(DaemonKey::of(&settings.vm), fleet, pool.clone()),
        registry,
        limits,
        peer_table,
        demand,
        pool,
        core,
        origins,
    };
    (services, questions)
}

fn spawn_tasks(services: &RelayServices, group: &TaskGroup) {
    let skipped = services.core.metrics().skipped_servers.clone();
    let servers = ServerSink::new(platform::decode_server, services.fleet.clone());
    let servers = Arc::new(servers.with_metrics(skipped));
    let evacuations = EvacuationSink::new(platform::EVACUATION_PREFIX, services.fleet.clone());
    let operators = Arc::new(PairSink::new(
        services.configs.clone(),
        Arc::new(evacuations),
    ));
    read_table(
        services,
        group,
        StoreTable::Configuration,
        CONFIG_PACE,
        operators,
    );
    read_table(services, group, StoreTable::Servers, SERVER_PACE, servers);
    let registry = services.registry.clone();
    read_table(services, group, StoreTable::Daemons, DAEMON_PACE, registry);
    let (readers, client) = (services.readers.clone(), services.client.clone());
    let (tables, metrics) = (services.tables(), services.core.metrics().clone());
    group.spawn_service("table-copies", move || {
        follow_copies(
            readers.clone(),
            client.clone(),
            tables.clone(),
            metrics.clone(),
        )
    });
    let (readers, client) = (services.readers.clone(), services.client.clone());
    let (configs, metrics) = (services.configs.clone(), services.core.metrics().clone());
    group.spawn_service("configuration-copies", move || {
        follow_configs(
            readers.clone(),
            client.clone(),
            configs.clone(),
            metrics.clone(),
        )
    });
    let limits = services.limits.clone();
    let teams = services.configs.teams();
    services.registry.spawn(
        services.store.clone(),
        limits,
        teams,
        &services.timer,
        group,
    );
    spawn_fleet(services, group);
    let pool = services.pool.clone();
    services
        .timer
        .spawn_periodic(group, "idle-connections", POOL_PERIOD, move |now| {
            pool.expire(now);
        });
}

/// Spawns the service that reads a table of the store into `sink` while this daemon is a reader.
fn read_table<S: TableSink>(
    services: &RelayServices,
    group: &TaskGroup,
    table: StoreTable,
    pace: FollowPace,
    sink: Arc<S>,
) {
    let (store, health) = (services.store.clone(), services.health.clone());
    let reading = services.readers.subscribe();
    spawn_reader(group, store, table, pace, sink, reading, health);
}

/// Updates the view of the fleet periodically and retries waiting requests after every change.
fn spawn_fleet(services: &RelayServices, group: &TaskGroup) {
    let (fleet, crashes) = (services.fleet.clone(), services.crashes.clone());
    let (watch, registry) = (services.watch.clone(), services.registry.clone());
    let (core, origins) = (services.core.clone(), services.origins.clone());
    let (configs, bound) = (services.configs.subscribe(), services.cold_bound);
    services
        .timer
        .spawn_periodic(group, "fleet-view", FLEET_PERIOD, move |now| {
            fleet.tick(now);
            origins.tick(now);
            exchange_reports(&fleet, &registry, now);
            let cold = fleet.cold_servers();
            if cold > 0 {
                update_cold_shares(&fleet, &registry, configs.borrow().as_deref(), bound, now);
            }
            core.metrics().cold_servers.set(cold as i64);
            crashes.report(&fleet, &core, now);
            watch.expire(now, || {
                let peers = registry.peers().into_iter();
                peers.map(|(name, _)| DaemonKey::of(&name)).collect()
            });
            let (suspect, blocked) = watch.counts();
            for (kind, count) in [("suspect_parts", suspect), ("blocked_parts", blocked)] {
                let gauge = core.metrics().suspects.get_or_create(&KindLabels { kind });
                gauge.set(count as i64);
            }
            let evacuated = fleet.evacuated_zones();
            let running: u32 = evacuated.iter().map(|zone| zone.running).sum();
            let gauges = &core.metrics().evacuations;
            core.metrics().set(gauges, "zones", evacuated.len() as i64);
            core.metrics().set(gauges, "running", i64::from(running));
            set_routing_metrics(&fleet, core.metrics(), now);
            let refusing = fleet.refusing_servers().len();
            let gauges = &core.metrics().backends;
            core.metrics().set(gauges, "refusing", refusing as i64);
            let standings = fleet.standing_counts();
            core.metrics()
                .set(gauges, "unproven", standings.unproven as i64);
            core.metrics()
                .set(gauges, "displaced", standings.displaced as i64);
        });
    spawn_probes(&services.fleet, &services.pool, &services.timer, group);
    let changes = services.fleet.subscribe();
    let core = services.core.clone();
    group.spawn_service("slot-grants", move || {
        grant_slots(core.clone(), changes.clone())
    });
}

/// Retries waiting requests after every change of the fleet.
async fn grant_slots(core: Arc<Core>, mut changes: watch::Receiver<u64>) {
    while changes.changed().await.is_ok() {
        core.grant_slots();
    }
}

/// Sets this daemon's shares of the requests to cold servers.
fn update_cold_shares(
    fleet: &RelayFleet,
    registry: &DaemonRegistry,
    config: Option<&ServingConfig>,
    bound: ColdBound,
    now: Instant,
) {
    fleet.set_cold_shares(|service, id| {
        let service = config.and_then(|config| config.service(service))?;
        let requests = bound.shared_requests(service.cold_rate)?;
        Some(registry.cold_share(id, requests, now))
    });
}

/// Copies what routing knows of the servers into the metrics.
fn set_routing_metrics(fleet: &RelayFleet, metrics: &DaemonMetrics, now: Instant) {
    let permille = |pace: f64| (pace * 1_000.0).round() as i64;
    if let Some((least, greatest)) = fleet.pace_spread(now) {
        metrics.set(&metrics.paces, "least", permille(least));
        metrics.set(&metrics.paces, "greatest", permille(greatest));
    }
    let (own, peers) = fleet.outstanding_work();
    let millis = |micros: u64| i64::try_from(micros / 1_000).unwrap_or(i64::MAX);
    metrics.set(&metrics.outstanding, "own", millis(own));
    metrics.set(&metrics.outstanding, "peers", millis(peers));
    for (kind, count) in fleet.take_choices() {
        let choices = metrics.choices.get_or_create(&KindLabels { kind });
        choices.inc_by(count);
    }
}

impl RelayDaemon {
    /// Returns the faults of the daemon's tasks. Once one that cannot be restarted has panicked, the daemon must be shut
    /// down.
    pub fn faults(&self) -> &TaskFaults {
        self.service_tasks.faults()
    }

    /// Shuts down without interrupting requests.
    ///
    /// Readiness fails, callers are asked to open their next connection to another daemon, running requests may
    /// finish within the drain time, those that cannot are refused, and all tasks are joined.
    pub async fn shutdown(self) {
        let started = Instant::now();
        self.draining.store(true, Ordering::Relaxed);
        let timing = &self.settings.timing;
        let end = started + timing.balancer_lag + timing.drain;
        self.drain_clock.start(end);
        log::info!(
            "shutting down; listeners stay open for {:?} until the balancer stops sending requests",
            timing.balancer_lag
        );
        self.lease.release(&*self.store).await;
        let remaining_lag = timing.balancer_lag.saturating_sub(started.elapsed());
        tokio::time::sleep(remaining_lag).await;
        let drained = async {
            self.caller.drain().await;
            self.request_tasks.shutdown().await;
        };
        if tokio::time::timeout_at(end.into(), drained).await.is_err() {
            log::error!(
                "requests were still running after the drain time of {:?}",
                timing.drain
            );
        }
        self.service_tasks.cancel();
        let closed = async {
            self.admin.drain().await;
            self.service_tasks.shutdown().await;
        };
        if tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
            log::warn!("calls from other daemons were still open after {CLOSE_TIMEOUT:?}");
        }
        log::info!("shut down after {:?}", started.elapsed());
    }
}
