//! One running daemon on the users' platform: the opaque edge wired to the shared request path.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::admin::{AdminServer, AdminSources, StateDump};
use crate::daemon::relay_peers::{KnownPlanner, RelayPeers, RelayPulses, spawn_wishes};
use crate::dispatch::{CoreContext, CoreParts, DemandMeter, ModelQueues, RequestCore, Waiter};
use crate::error::{Error, Result};
use crate::history::RequestHistory;
use crate::ids::VmId;
use crate::kernel::TaskGroup;
use crate::limit::LimitService;
use crate::member::PeerTable;
use crate::metrics::DaemonMetrics;
use crate::peer::{PeerClient, PeerServer};
use crate::placement::DemandTracker;
use crate::platform::{self, EngineClient, PlatformFormat, StoreClient};
use crate::queue::WaitQueue;
use crate::relay::{
    ConfigHolder, CopyTables, CrashDetector, DaemonRecord, DaemonRegistry, FollowPace,
    LeaseCandidate, LeaseManager, PlannerParts, ReaderElection, RegistrySettings, RelayContext,
    RelayDispatcher, RelayFleet, RelayServer, ReplicaPlanner, RetryLimits, ServerSink, StoreHealth,
    StoreTable, UpstreamPool, bind_readiness, follow_configs, follow_copies, follow_table,
    spawn_pulses,
};
use crate::retry::RetryBudget;
use crate::routing::{ExpectedTimePolicy, PrefixIndex};
use crate::settings::RelaySettings;
use crate::suspect::SuspectTable;
use crate::timer::TimerService;

/// Requests that the history keeps: a minute at the usual rate of one daemon.
const HISTORY_SIZE: usize = 1_000;
/// Suspect requests that are remembered.
const SUSPECT_CAPACITY: usize = 1_000;
/// Reads of the configuration wait this long. A connection that went silent is given up soon after, well before a
/// change must be in force.
const PLAN_PACE: FollowPace = FollowPace {
    wait: Duration::from_secs(2),
    pause: Duration::ZERO,
};
/// Servers write about once a second each; a leaving one must get no work 2 s later.
const SERVER_PACE: FollowPace = FollowPace {
    wait: Duration::from_millis(500),
    pause: Duration::from_millis(800),
};
/// In a large fleet some daemon always renews its record, so the pause and not the wait bounds the reads.
const DAEMON_PACE: FollowPace = FollowPace {
    wait: Duration::from_secs(2),
    pause: Duration::from_millis(2_500),
};
/// Time in which all others know a new daemon's record: the pace of reading it, a pulse, the pace of copies, a fetch, and
/// a margin.
const SETTLE_TIME: Duration = Duration::from_millis(5_500);
/// Period in which the view of the fleet is brought up to date.
const FLEET_PERIOD: Duration = Duration::from_millis(100);
/// Period in which idle connections are looked through.
const POOL_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for calls of other daemons at shutdown. A peer behind a cut never ends its call, and the platform kills
/// the process soon after the requests have had their time.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// The policies of a daemon on the platform.
#[derive(Clone, Copy, Debug)]
pub struct RelayParts;

impl CoreParts for RelayParts {
    type Limiter = LimitService<PeerClient>;
    type Routing = ExpectedTimePolicy;
    type Queue = WaitQueue<Waiter>;
    type Fleet = Arc<RelayFleet>;
}

pub(super) type Core = RequestCore<RelayParts>;
pub(super) type Planner = ReplicaPlanner<EngineClient>;

/// Time constant of the demand that the layout follows: demand moves between models within seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(4);

/// Services of a running daemon, by what they know.
pub(super) struct RelayServices {
    pub(super) store: Arc<StoreClient>,
    pub(super) timer: TimerService,
    pub(super) plans: Arc<ConfigHolder>,
    pub(super) fleet: Arc<RelayFleet>,
    pub(super) crashes: Arc<CrashDetector>,
    pub(super) registry: Arc<DaemonRegistry>,
    pub(super) limits: Arc<LimitService<PeerClient>>,
    pub(super) peer_table: Arc<PeerTable>,
    pub(super) demand: Arc<DemandTracker>,
    pub(super) pool: UpstreamPool,
    pub(super) core: Arc<Core>,
    pub(super) client: Arc<PeerClient>,
    pub(super) planner: Arc<Planner>,
    pub(super) leader: Arc<KnownPlanner>,
    pub(super) readers: Arc<ReaderElection>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) lease: Arc<LeaseManager>,
}

impl RelayServices {
    fn tables(&self) -> CopyTables {
        CopyTables {
            configs: self.plans.clone(),
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
    /// Tasks of requests, joined before those of services.
    requests: TaskGroup,
    services: TaskGroup,
    lease: Arc<LeaseManager>,
    store: Arc<StoreClient>,
    /// The timer service stops with its last handle.
    _timer: TimerService,
}

/// Starts a daemon on the platform.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn open_relay(settings: RelaySettings) -> Result<RelayDaemon> {
    let services = TaskGroup::new();
    let requests = TaskGroup::new();
    let result = wire(&settings, &services, &requests).await;
    if result.is_err() {
        requests.shutdown().await;
        services.shutdown().await;
    }
    result
}

async fn wire(
    settings: &RelaySettings,
    services: &TaskGroup,
    requests: &TaskGroup,
) -> Result<RelayDaemon> {
    let parts = open_services(settings, services, requests);
    let draining = Arc::new(AtomicBool::new(false));
    spawn_tasks(&parts, services);
    let handler = Arc::new(RelayPeers {
        limits: parts.limits.clone(),
        core: parts.core.clone(),
        planner: parts.planner.clone(),
        tables: parts.tables(),
    });
    PeerServer::bind(services, settings.listen.peer, handler).await?;
    let pulses = Arc::new(RelayPulses::new(&parts));
    let address = settings.listen.pulse;
    spawn_pulses(
        address,
        parts.registry.clone(),
        pulses,
        &parts.timer,
        services,
    )
    .await?;
    let dispatcher = RelayDispatcher::open(RelayContext {
        zone: settings.zone.clone(),
        core: parts.core.clone(),
        plans: parts.plans.subscribe(),
        readers: parts.readers.clone(),
        fleet: parts.fleet.clone(),
        crashes: parts.crashes.clone(),
        pool: parts.pool.clone(),
        format: Arc::new(PlatformFormat),
        retries: RetryLimits {
            percent: settings.retries.percent,
            extra: settings.retries.extra,
        },
        daemons: parts.registry.subscribe_count(),
        wishes: spawn_wishes(&parts, services),
    });
    let listen = &settings.listen;
    let limits = &settings.limits;
    let caller = RelayServer::bind(
        requests,
        listen.caller,
        limits,
        dispatcher,
        draining.clone(),
    )
    .await?;
    let state = Arc::new(RelayState {
        plans: parts.plans.clone(),
        fleet: parts.fleet.clone(),
        registry: parts.registry.clone(),
        limits: parts.limits.clone(),
        draining: draining.clone(),
    });
    let answer = state.clone();
    let ready = move || answer.ready().is_ok();
    bind_readiness(services, listen.ready, platform::READY_PATH, limits, ready).await?;
    let sources = AdminSources {
        state,
        metrics: parts.core.metrics().clone(),
        history: parts.core.history().clone(),
    };
    let admin = AdminServer::bind(services, listen.admin, limits, sources).await?;
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
        requests: requests.clone(),
        services: services.clone(),
        lease: parts.lease,
        store: parts.store,
        _timer: parts.timer,
    })
}

fn open_services(
    settings: &RelaySettings,
    services: &TaskGroup,
    requests: &TaskGroup,
) -> RelayServices {
    let timer = TimerService::spawn(services);
    let store = Arc::new(StoreClient::open(settings.store.address));
    let plans = Arc::new(ConfigHolder::new(
        platform::CONFIGURATION_KEY,
        platform::decode_config,
    ));
    let fleet = Arc::new(RelayFleet::new());
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
    let client = Arc::new(PeerClient::open(services));
    let peer_table = Arc::new(PeerTable::new());
    let limits = LimitService::open(plans.teams(), peer_table.clone(), client.clone());
    let suspects = Arc::new(Mutex::new(SuspectTable::new(SUSPECT_CAPACITY)));
    let queues = ModelQueues::new(
        ExpectedTimePolicy::new(Arc::new(PrefixIndex::new()), rand::random()),
        fleet.clone(),
        suspects.clone(),
        settings.limits.queue,
        WaitQueue::new,
    );
    let limits = Arc::new(limits);
    let core = RequestCore::open(CoreContext {
        group: requests.clone(),
        limiter: limits.clone(),
        queues,
        suspects,
        demand: Arc::new(DemandMeter::new()),
        retries: RetryBudget::new(),
        history: Arc::new(RequestHistory::new(HISTORY_SIZE)),
        metrics: Arc::new(DaemonMetrics::new()),
        admission_limit: settings.limits.in_flight,
    });
    let demand = Arc::new(DemandTracker::with_window(DEMAND_WINDOW));
    let health: Arc<StoreHealth> = Arc::default();
    let readers = Arc::new(ReaderElection::new(
        settings.vm.clone(),
        settings.zone.clone(),
        settings.capacity.weight(),
        health.clone(),
    ));
    let vm = registry.own_registration().1.vm;
    let lease = LeaseManager::spawn(
        services,
        store.clone(),
        LeaseCandidate::new(settings.vm.clone(), vm, settings.timing.lease),
        readers.subscribe(),
    );
    let planner = ReplicaPlanner::spawn(
        PlannerParts {
            name: settings.vm.clone(),
            lease: lease.clone(),
            control: Arc::new(EngineClient::open()),
            fleet: fleet.clone(),
            demand: demand.clone(),
            plans: plans.subscribe(),
            group: services.clone(),
        },
        &timer,
    );
    RelayServices {
        client,
        planner,
        leader: Arc::default(),
        readers,
        health,
        lease,
        store,
        timer,
        plans,
        fleet,
        crashes: Arc::default(),
        registry,
        limits,
        peer_table,
        demand,
        pool: UpstreamPool::open(requests),
        core,
    }
}

fn spawn_tasks(parts: &RelayServices, group: &TaskGroup) {
    let store = || parts.store.clone();
    let servers = Arc::new(ServerSink::new(
        platform::decode_server,
        parts.fleet.clone(),
    ));
    group.spawn_cancellable(follow_table(
        store(),
        StoreTable::Configuration,
        PLAN_PACE,
        parts.plans.clone(),
        parts.readers.subscribe(),
        parts.health.clone(),
    ));
    group.spawn_cancellable(follow_table(
        store(),
        StoreTable::Servers,
        SERVER_PACE,
        servers,
        parts.readers.subscribe(),
        parts.health.clone(),
    ));
    group.spawn_cancellable(follow_table(
        store(),
        StoreTable::Daemons,
        DAEMON_PACE,
        parts.registry.clone(),
        parts.readers.subscribe(),
        parts.health.clone(),
    ));
    group.spawn_cancellable(follow_copies(
        parts.readers.clone(),
        parts.client.clone(),
        parts.tables(),
        parts.core.metrics().clone(),
    ));
    group.spawn_cancellable(follow_configs(
        parts.readers.clone(),
        parts.client.clone(),
        parts.plans.clone(),
        parts.core.metrics().clone(),
    ));
    let limits = parts.limits.clone();
    let teams = parts.plans.teams();
    parts
        .registry
        .spawn(store(), limits, teams, &parts.timer, group);
    spawn_fleet(parts, group);
    let mut ticks = parts.timer.every(POOL_PERIOD);
    let pool = parts.pool.clone();
    group.spawn_cancellable(async move {
        while let Some(now) = ticks.next().await {
            pool.expire(now);
        }
    });
}

/// Brings the view of the fleet up to date and tries waiting requests again whenever it has changed.
fn spawn_fleet(parts: &RelayServices, group: &TaskGroup) {
    let mut ticks = parts.timer.every(FLEET_PERIOD);
    let (fleet, crashes) = (parts.fleet.clone(), parts.crashes.clone());
    let core = parts.core.clone();
    group.spawn_cancellable(async move {
        while let Some(now) = ticks.next().await {
            fleet.tick(now);
            crashes.report(&fleet, &core, now);
        }
    });
    let mut changes = parts.fleet.subscribe();
    let core = parts.core.clone();
    group.spawn_cancellable(async move {
        while changes.changed().await.is_ok() {
            core.grant_slots();
        }
    });
}

/// Readiness and state.
struct RelayState {
    plans: Arc<ConfigHolder>,
    fleet: Arc<RelayFleet>,
    registry: Arc<DaemonRegistry>,
    limits: Arc<LimitService<PeerClient>>,
    draining: Arc<AtomicBool>,
}

impl StateDump for RelayState {
    fn ready(&self) -> Result<()> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Error::unavailable("the daemon is shutting down"));
        }
        if self.plans.version() == 0 {
            return Err(Error::unavailable("the configuration is not loaded yet"));
        }
        if self.fleet.servers().is_empty() {
            return Err(Error::unavailable("no backend server is known yet"));
        }
        Ok(())
    }

    fn dump(&self) -> Value {
        let now = Instant::now();
        let servers = self.fleet.servers();
        let servers = servers.iter().map(|server| {
            json!({
                "id": server.id,
                "service": server.service,
                "address": server.address.to_string(),
                "zone": server.zone,
                "leaving": server.leaving,
                "models": server.models.iter().map(|model| &model.name).collect::<Vec<_>>(),
            })
        });
        json!({
            "plan_version": self.plans.version(),
            "servers": servers.collect::<Vec<_>>(),
            "peers": self.registry.peers(),
            "share_ppm": self.registry.share(now).ppm,
            "limits": self.limits.dump(),
        })
    }
}

impl RelayDaemon {
    /// Shuts down without cutting a request: the balancer's question is answered with no, callers are asked to open
    /// their next connection elsewhere, running requests finish and all tasks are joined.
    pub async fn shutdown(self) {
        let started = Instant::now();
        self.draining.store(true, Ordering::Relaxed);
        let timing = &self.settings.timing;
        log::info!(
            "shutting down; the balancer has {:?} to notice",
            timing.balancer_lag
        );
        self.lease.release(&*self.store).await;
        let noticed = timing.balancer_lag.saturating_sub(started.elapsed());
        tokio::time::sleep(noticed).await;
        let drained = async {
            self.caller.drain().await;
            self.requests.shutdown().await;
        };
        if tokio::time::timeout(timing.drain, drained).await.is_err() {
            log::error!("requests were still running after {:?}", timing.drain);
        }
        self.services.cancel();
        let closed = async {
            self.admin.drain().await;
            self.services.shutdown().await;
        };
        if tokio::time::timeout(CLOSE_TIME, closed).await.is_err() {
            log::warn!("calls of other daemons were still open after {CLOSE_TIME:?}");
        }
        log::info!("shut down after {:?}", started.elapsed());
    }
}
