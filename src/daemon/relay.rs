//! One running daemon on the users' platform: the opaque edge wired to the shared request path.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::admin::{AdminServer, AdminSources, StateDump};
use crate::dispatch::{CoreContext, CoreParts, DemandMeter, RequestCore, WaitRoom, Waiter};
use crate::error::{Error, Result};
use crate::history::RequestHistory;
use crate::ids::VmId;
use crate::kernel::TaskGroup;
use crate::limit::LimitService;
use crate::member::PeerBoard;
use crate::metrics::DaemonMetrics;
use crate::peer::{
    PeerCaller, PeerClient, PeerHandler, PeerReply, PeerRequest, PeerServer, PeerStatus,
};
use crate::placement::DemandBoard;
use crate::platform::{self, EngineClient, PlatformFormat, StoreClient};
use crate::queue::WaitQueue;
use crate::relay::{
    DaemonRecord, DaemonRegistry, FetchMemory, FollowPace, LeaseKeeper, LeaseTerm, PlaceWish,
    Placement, PlanKeeper, PlannerParts, Pulse, PulseHandler, ReaderElection, RegistrySettings,
    RelayContext, RelayDispatcher, RelayFleet, RelayServer, ReplicaPlanner, RetryShare,
    ServerChange, ServerKeeper, StoreHealth, StoreTable, TableCopy, UpstreamPool, bind_ready,
    follow_table, spawn_pulses,
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
/// Daemons renew their records every few seconds.
const DAEMON_PACE: FollowPace = FollowPace {
    wait: Duration::from_secs(2),
    pause: Duration::from_millis(500),
};
/// Time in which all others know a new daemon's record: the pace of reading it, a pulse, a fetch, and a margin.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);
/// Period in which the view of the fleet is brought up to date.
const FLEET_PERIOD: Duration = Duration::from_millis(100);
/// Period in which idle connections are looked through.
const POOL_PERIOD: Duration = Duration::from_secs(1);
/// Daemons among which the fixed part of the budget of second sends is split, until more are known.
const LEAST_DAEMONS: u32 = 8;

/// The policies of a daemon on the platform.
#[derive(Clone, Copy, Debug)]
pub struct RelayParts;

impl CoreParts for RelayParts {
    type Limiter = LimitService<PeerClient>;
    type Routing = ExpectedTimePolicy;
    type Queue = WaitQueue<Waiter>;
    type Fleet = Arc<RelayFleet>;
}

type Core = RequestCore<RelayParts>;
type Planner = ReplicaPlanner<EngineClient>;

/// Time constant of the demand that the layout follows: demand moves between models within seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(4);
/// Time after which sources are looked through again without a pulse.
const FETCH_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for a copy.
const FETCH_WAIT: Duration = Duration::from_millis(800);
/// Pause after a fetch that failed.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the planner's answer to a wish.
const WISH_WAIT: Duration = Duration::from_millis(1_700);
/// Times that a wish is repeated while requests may still wait for it.
const WISH_TRIES: usize = 3;
/// Pause between two tries of a wish.
const WISH_PAUSE: Duration = Duration::from_millis(150);

/// Services of a running daemon, by what they know.
struct RelayServices {
    store: Arc<StoreClient>,
    timer: TimerService,
    plans: Arc<PlanKeeper>,
    fleet: Arc<RelayFleet>,
    registry: Arc<DaemonRegistry>,
    limits: Arc<LimitService<PeerClient>>,
    board: Arc<PeerBoard>,
    demand: Arc<DemandBoard>,
    pool: UpstreamPool,
    core: Arc<Core>,
    client: Arc<PeerClient>,
    planner: Arc<Planner>,
    leader: Arc<KnownPlanner>,
    readers: Arc<ReaderElection>,
    health: Arc<StoreHealth>,
    lease: Arc<LeaseKeeper>,
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
    lease: Arc<LeaseKeeper>,
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
        plans: parts.plans.clone(),
        fleet: parts.fleet.clone(),
        registry: parts.registry.clone(),
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
        fleet: parts.fleet.clone(),
        pool: parts.pool.clone(),
        format: Arc::new(PlatformFormat),
        retries: RetryShare {
            percent: settings.retries.percent,
            extra: settings.retries.extra / LEAST_DAEMONS,
        },
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
    bind_ready(services, listen.ready, platform::READY_PATH, limits, ready).await?;
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
    let plans = Arc::new(PlanKeeper::new(
        platform::CONFIGURATION_KEY,
        platform::decode_plan,
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
        settle: SETTLE_TIME,
    }));
    let client = Arc::new(PeerClient::open(services));
    let board = Arc::new(PeerBoard::new());
    let limits = LimitService::open(services, plans.teams(), board.clone(), client.clone());
    let suspects = Arc::new(Mutex::new(SuspectTable::new(SUSPECT_CAPACITY)));
    let room = WaitRoom::new(
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
        room,
        suspects,
        demand: Arc::new(DemandMeter::new()),
        retries: RetryBudget::new(),
        history: Arc::new(RequestHistory::new(HISTORY_SIZE)),
        metrics: Arc::new(DaemonMetrics::new()),
        admission_limit: settings.limits.in_flight,
    });
    let demand = Arc::new(DemandBoard::with_window(DEMAND_WINDOW));
    let health: Arc<StoreHealth> = Arc::default();
    let readers = Arc::new(ReaderElection::new(
        settings.vm.clone(),
        settings.zone.clone(),
        health.clone(),
    ));
    let vm = registry.own().1.vm;
    let lease = LeaseKeeper::spawn(
        services,
        store.clone(),
        LeaseTerm::new(settings.vm.clone(), vm, settings.timing.lease),
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
        registry,
        limits,
        board,
        demand,
        pool: UpstreamPool::open(requests),
        core,
    }
}

fn spawn_tasks(parts: &RelayServices, group: &TaskGroup) {
    let store = || parts.store.clone();
    let servers = Arc::new(ServerKeeper::new(
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
    group.spawn_cancellable(fetch_copies(
        parts.readers.clone(),
        parts.client.clone(),
        CopySink {
            plans: parts.plans.clone(),
            fleet: parts.fleet.clone(),
            registry: parts.registry.clone(),
        },
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
    let fleet = parts.fleet.clone();
    group.spawn_cancellable(async move {
        while let Some(now) = ticks.next().await {
            fleet.tick(now);
        }
    });
    let mut changes = parts.fleet.subscribe();
    let core = parts.core.clone();
    group.spawn_cancellable(async move {
        while changes.changed().await.is_ok() {
            core.pump();
        }
    });
}

/// Takes over what another daemon has read of the store.
struct CopySink {
    plans: Arc<PlanKeeper>,
    fleet: Arc<RelayFleet>,
    registry: Arc<DaemonRegistry>,
}

impl CopySink {
    /// Takes over a copy; the configuration alone, if this daemon reads the store itself.
    fn apply(&self, copy: TableCopy, whole: bool) {
        if let Some(record) = copy.plan {
            self.plans.offer_record(record.into());
        }
        if whole {
            let now = Instant::now();
            let servers = ServerChange::Whole(copy.servers);
            self.fleet.apply(vec![servers], now);
            self.registry.adopt(copy.daemons, now);
        }
    }
}

/// Fetches what daemons that read the store have read, whenever they have something new. A daemon that reads the
/// store itself fetches a newer configuration all the same: the store may turn it away without a sign.
async fn fetch_copies(readers: Arc<ReaderElection>, client: Arc<PeerClient>, sink: CopySink) {
    let mut memory = FetchMemory::default();
    loop {
        // A lost pulse is made up for by the next one.
        let _ = tokio::time::timeout(FETCH_PERIOD, readers.changed()).await;
        let now = Instant::now();
        readers.elect(now);
        let plan_version = sink.plans.version();
        let whole = !readers.is_reading(now);
        let source = readers
            .source(now)
            .filter(|source| whole && memory.wants(*source, now));
        let newer = readers.newer_plan(plan_version, now);
        let Some(asked) = source.or(newer) else {
            continue;
        };
        let request = PeerRequest::FetchTables { plan_version };
        match client.call(asked.peer, request, FETCH_WAIT).await {
            Ok(PeerReply::Tables(copy)) => {
                sink.apply(copy, source.is_some());
                if source.is_some() {
                    memory.fetched(asked, now);
                }
            }
            Ok(_) => log::warn!("{} answered a fetch with something else", asked.peer),
            Err(error) => {
                log::info!("nothing could be fetched from {}: {error}", asked.peer);
                tokio::time::sleep(FETCH_PAUSE).await;
            }
        }
    }
}

/// The daemon that gives orders, as pulses tell.
#[derive(Default)]
struct KnownPlanner(Mutex<Option<(u64, SocketAddr)>>);

impl KnownPlanner {
    fn note(&self, fence: u64, peer: SocketAddr) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if known.is_none_or(|(newest, _)| newest <= fence) {
            *known = Some((fence, peer));
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        known.map(|(_, peer)| peer)
    }
}

/// Hands the wishes of requests to the planner, each item once at a time.
fn spawn_wishes(parts: &RelayServices, group: &TaskGroup) -> mpsc::UnboundedSender<PlaceWish> {
    let (sender, mut wishes) = mpsc::unbounded_channel();
    let open: Arc<Mutex<HashSet<PlaceWish>>> = Arc::default();
    let (planner, leader) = (parts.planner.clone(), parts.leader.clone());
    let (client, fleet) = (parts.client.clone(), parts.fleet.clone());
    let parent = group.clone();
    group.spawn_cancellable(async move {
        while let Some(wish) = wishes.recv().await {
            let mut known = open.lock().unwrap_or_else(PoisonError::into_inner);
            if !known.insert(PlaceWish::clone(&wish)) {
                continue;
            }
            let (planner, leader) = (planner.clone(), leader.clone());
            let (client, fleet, open) = (client.clone(), fleet.clone(), open.clone());
            parent.spawn_cancellable(async move {
                for _ in 0..WISH_TRIES {
                    if let Some(placement) = ask(&planner, &leader, &client, &wish).await {
                        fleet.note_placements(&[placement], Instant::now());
                        break;
                    }
                    tokio::time::sleep(WISH_PAUSE).await;
                }
                open.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .remove(&wish);
            });
        }
    });
    sender
}

async fn ask(
    planner: &Planner,
    leader: &KnownPlanner,
    client: &PeerClient,
    wish: &PlaceWish,
) -> Option<Placement> {
    if planner.fence().is_some() {
        return planner.place(wish.clone()).await;
    }
    let request = PeerRequest::Place(wish.clone());
    match client.call(leader.address()?, request, WISH_WAIT).await {
        Ok(PeerReply::Placed(placement)) => placement,
        Ok(_) => None,
        Err(error) => {
            log::info!("the planner did not place {wish:?}: {error}");
            None
        }
    }
}

/// Answers the calls of other daemons.
struct RelayPeers {
    limits: Arc<LimitService<PeerClient>>,
    core: Arc<Core>,
    planner: Arc<Planner>,
    plans: Arc<PlanKeeper>,
    fleet: Arc<RelayFleet>,
    registry: Arc<DaemonRegistry>,
}

impl PeerHandler for RelayPeers {
    async fn handle(&self, request: PeerRequest) -> Result<PeerReply> {
        match request {
            PeerRequest::Borrow {
                borrower,
                team,
                tokens,
            } => Ok(PeerReply::Loan(self.limits.lend(borrower, &team, tokens))),
            PeerRequest::Suspects(notices) => {
                let quarantine = crate::relay::QUARANTINE;
                self.core.apply_notices(&notices, quarantine);
                Ok(PeerReply::Done)
            }
            PeerRequest::Place(wish) => Ok(PeerReply::Placed(self.planner.place(wish).await)),
            PeerRequest::FetchTables { plan_version } => Ok(PeerReply::Tables(TableCopy {
                plan: self.plans.record_after(plan_version),
                servers: self.fleet.servers(),
                daemons: self.registry.copy(Instant::now()),
            })),
            _ => Err(Error::internal("no service answers this peer call")),
        }
    }
}

/// Makes and takes pulses.
struct RelayPulses {
    plans: Arc<PlanKeeper>,
    fleet: Arc<RelayFleet>,
    registry: Arc<DaemonRegistry>,
    limits: Arc<LimitService<PeerClient>>,
    board: Arc<PeerBoard>,
    demand: Arc<DemandBoard>,
    core: Arc<Core>,
    planner: Arc<Planner>,
    leader: Arc<KnownPlanner>,
    readers: Arc<ReaderElection>,
}

impl RelayPulses {
    fn new(parts: &RelayServices) -> Self {
        Self {
            plans: parts.plans.clone(),
            fleet: parts.fleet.clone(),
            registry: parts.registry.clone(),
            limits: parts.limits.clone(),
            board: parts.board.clone(),
            demand: parts.demand.clone(),
            core: parts.core.clone(),
            planner: parts.planner.clone(),
            leader: parts.leader.clone(),
            readers: parts.readers.clone(),
        }
    }
}

impl RelayPulses {
    /// Returns the spare tokens of the teams of which this daemon is a home, with its share.
    fn spare(&self) -> Vec<(SmolStr, u64, u32)> {
        let shares: HashMap<SmolStr, u32> = self.limits.shares().into_iter().collect();
        let spare = self.limits.spare().into_iter();
        let spare = spare.filter_map(|(team, tokens)| {
            let share = *shares.get(&team)?;
            Some((team, tokens, share))
        });
        spare.collect()
    }
}

impl PulseHandler for RelayPulses {
    fn make(&self, now: Instant) -> Pulse {
        let (name, record) = self.registry.own();
        let waiting = self.core.waiting().into_iter();
        let waiting = waiting.map(|(model, count)| (model, count.interactive as u32));
        let demand = self.core.demand().take(&waiting.collect::<Vec<_>>());
        self.demand.note(record.peer, &demand, now);
        Pulse {
            vm: record.vm,
            name: name.clone(),
            zone: record.zone.clone(),
            peer: record.peer,
            plan_version: self.plans.version(),
            reads_store: self.readers.is_reading(now),
            reading_for: self.readers.reading_for(now),
            tables_version: self.fleet.version() + self.plans.version() + self.registry.version(),
            loads: self.fleet.own_load(),
            spare: self.spare(),
            demand,
            fence: self.planner.fence(),
            placements: self.planner.take_news(),
        }
    }

    async fn urgent(&self) {
        let mut plans = self.plans.subscribe();
        // The keeper lives as long as the daemon.
        while plans.changed().await.is_ok() && !self.readers.is_reading(Instant::now()) {}
    }

    fn take(&self, pulse: Pulse, now: Instant) {
        self.readers.heard(&pulse, now);
        self.fleet.note_peer_load(pulse.vm, pulse.loads, now);
        self.demand.note(pulse.peer, &pulse.demand, now);
        self.fleet.note_placements(&pulse.placements, now);
        if let Some(fence) = pulse.fence {
            self.leader.note(fence, pulse.peer);
        }
        let spare = pulse.spare;
        let shares = spare.iter().map(|(team, _, share)| (team.clone(), *share));
        let shares: HashMap<SmolStr, u32> = shares.collect();
        let status = PeerStatus {
            vm: pulse.vm,
            name: pulse.name,
            config_next: crate::ids::LogOffset(pulse.plan_version),
            members_next: crate::ids::LogOffset(0),
            log_reachable: pulse.reads_store,
            no_expire_for: Duration::ZERO,
            spare: spare
                .iter()
                .map(|(team, tokens, _)| (team.clone(), *tokens))
                .collect(),
            leaving: Vec::new(),
        };
        self.board
            .note_with_shares(pulse.peer, status, Some(shares), now);
        let peers = self.readers.live_peers(now);
        self.board.retain(|address| peers.contains(&address));
    }
}

/// Readiness and state.
struct RelayState {
    plans: Arc<PlanKeeper>,
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
        self.admin.drain().await;
        self.services.shutdown().await;
        log::info!("shut down after {:?}", started.elapsed());
    }
}
