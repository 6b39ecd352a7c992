//! Starts and stops a daemon: creates all services of an entry VM and connects them.

mod crowd_report;
mod descriptors;
mod dump;
mod facts;
mod gauges;
mod parts;
mod peers;
mod relay;
mod relay_peers;
mod relay_state;
mod tasks;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::admin::{AdminServer, AdminSources};
use crate::claim::{ClaimService, ClaimSettings};
use crate::currency::ViewCurrency;
use crate::daemon::crowd_report::spawn_crowd_report;
use crate::daemon::descriptors::VmLimits;
use crate::daemon::dump::DaemonState;
use crate::daemon::parts::{Claims, Engine, Limits, Members, Replica, Watch};
use crate::daemon::peers::{DaemonPeerHandler, DaemonStatus};
use crate::daemon::tasks::{ReportInbox, TaskContext};
use crate::dispatch::{
    AccessGate, CoreContext, DemandMeter, DispatchContext, DrainClock, ModelQueues, RequestCore,
    RequestDispatcher,
};
use crate::engine::{EngineTimeouts, HttpService, ServiceTimeouts};
use crate::error::Result;
use crate::faults::TaskFaults;
use crate::history::RequestHistory;
use crate::http::{CallerServer, CallerSettings};
use crate::inventory::HttpVmList;
use crate::journal::HttpJournal;
use crate::kernel::{ServiceRegistry, TaskGroup};
use crate::member::{MemberParts, MemberSettings, PeerTable};
use crate::metrics::DaemonMetrics;
use crate::operator::{OperatorHooks, OperatorServer, OperatorSettings};
use crate::peer::{PeerClient, PeerServer};
use crate::placement::DemandTracker;
use crate::replica::ReplicaOptions;
use crate::retry::RetryBudget;
use crate::routing::PrefixIndex;
use crate::settings::DaemonSettings;
use crate::suspect::SuspectTable;
use crate::timer::TimerService;
use crate::watch::WatchSettings;

pub use self::descriptors::open_files_limit;
pub use self::parts::{EvenSplitParts, FinishParts, NaiveParts, PolicyParts, StandardParts};
pub use self::relay::{RelayDaemon, RelayParts, open_relay};

/// Names under which services register.
pub mod service_name {
    pub const CLAIMS: &str = "claims";
    pub const LIMITS: &str = "limits";
    pub const MEMBERS: &str = "members";
    pub const REPLICA: &str = "replica";
    pub const WATCH: &str = "watch";
}

/// Maximum number of requests in the history.
const HISTORY_SIZE: usize = 10_000;
/// Maximum number of requests in the suspect table.
const SUSPECT_CAPACITY: usize = 10_000;
/// Period of reading the VM list.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time limit of one call for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time between two configuration snapshots.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(600);
/// Time for which this daemon promises not to expire another member.
const PROMISE: Duration = Duration::from_secs(5);
/// Time limit for appending the last records to the log at shutdown, once for the membership and once for claims.
const FINAL_APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses that a daemon has bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// A running daemon.
pub struct DaemonHandle {
    addresses: BoundAddresses,
    settings: DaemonSettings,
    caller: CallerServer,
    operator: OperatorServer,
    admin: AdminServer,
    members: Arc<Members>,
    replica: Arc<Replica>,
    claims: Arc<Claims>,
    draining: Arc<AtomicBool>,
    drain_clock: Arc<DrainClock>,
    /// Tasks of requests, which are joined before those of services.
    request_tasks: TaskGroup,
    service_tasks: TaskGroup,
}

/// Services that are started before the request path.
struct CoreServices {
    journal: Arc<HttpJournal>,
    timer: TimerService,
    client: Arc<PeerClient>,
    peer_table: Arc<PeerTable>,
    replica: Arc<Replica>,
    limits: Arc<Limits>,
    members: Arc<Members>,
    claims: Arc<Claims>,
    engine: Arc<Engine>,
    watch: Arc<Watch>,
    prefixes: Arc<PrefixIndex>,
    demand: Arc<DemandTracker>,
}

/// Starts a daemon with the standard policies.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn open(settings: DaemonSettings) -> Result<DaemonHandle> {
    open_with::<StandardParts>(settings).await
}

/// Starts a daemon with the policies of `P`.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn open_with<P: PolicyParts>(settings: DaemonSettings) -> Result<DaemonHandle> {
    let service_tasks = TaskGroup::new();
    let request_tasks = service_tasks.sibling();
    let result = open_in::<P>(&settings, &service_tasks, &request_tasks).await;
    if result.is_err() {
        request_tasks.shutdown().await;
        service_tasks.shutdown().await;
    }
    result
}

async fn open_in<P: PolicyParts>(
    settings: &DaemonSettings,
    service_tasks: &TaskGroup,
    request_tasks: &TaskGroup,
) -> Result<DaemonHandle> {
    let (core, reports) = open_core(settings, service_tasks)?;
    let history = Arc::new(RequestHistory::new(HISTORY_SIZE));
    let metrics = Arc::new(DaemonMetrics::new().with_faults(service_tasks.faults()));
    let currency = Arc::new(ViewCurrency::new());
    let meter = Arc::new(DemandMeter::new());
    let suspects = Arc::new(Mutex::new(SuspectTable::new(SUSPECT_CAPACITY)));
    let queues = ModelQueues::new(
        P::routing(core.prefixes.clone()),
        core.watch.clone(),
        suspects.clone(),
        settings.limits.queue,
        P::queue,
    );
    let request_core = RequestCore::open(CoreContext {
        group: request_tasks.clone(),
        limiter: P::limiter(&core.limits),
        queues,
        suspects,
        demand: meter.clone(),
        retries: RetryBudget::new(),
        history: history.clone(),
        metrics: metrics.clone(),
        admission_limit: settings.limits.in_flight,
    });
    let drain_clock = request_core.drain_clock().clone();
    let dispatcher = RequestDispatcher::<P>::open(DispatchContext {
        zone: settings.zone.clone(),
        gate: AccessGate::new(core.replica.subscribe(), currency.clone()),
        claims: core.claims.clone(),
        engine: core.engine.clone(),
        service: Arc::new(HttpService::open(ServiceTimeouts::default())),
        core: request_core,
    });
    let draining = Arc::new(AtomicBool::new(false));
    let orders = parts::spawn_orders::<P>(settings, service_tasks, &core);
    let state = Arc::new(DaemonState::new(
        settings,
        &core,
        orders.clone(),
        dispatcher.clone(),
        currency.clone(),
        draining.clone(),
        service_tasks.faults().clone(),
    ));
    let context = TaskContext {
        peer: settings.listen.advertised_peer(),
        orders,
        dispatcher: dispatcher.clone(),
        currency,
        meter,
        metrics: metrics.clone(),
    };
    tasks::spawn_all(service_tasks, settings, &core, reports, context);

    let sources = AdminSources {
        state,
        metrics: metrics.clone(),
        history: history.clone(),
    };
    let VmLimits {
        callers: limits,
        peers,
    } = VmLimits::new(settings.capacity, &settings.limits, &metrics);
    let side_limits = limits.for_side();
    spawn_crowd_report(&metrics, &limits, &core.timer, service_tasks);
    let admin =
        AdminServer::bind(service_tasks, settings.listen.admin, &side_limits, sources).await?;
    let handler = Arc::new(DaemonPeerHandler::new(
        &core,
        core.demand.clone(),
        dispatcher.clone(),
    ));
    let peer =
        PeerServer::bind_with_limits(service_tasks, settings.listen.peer, handler, peers).await?;
    let hooks = OperatorHooks {
        members: peers::member_lister(core.members.clone()),
        serves_keys: Arc::new(|| true),
    };
    let operator = OperatorServer::bind_with_settings(
        service_tasks,
        settings.listen.operator,
        core.replica.clone(),
        settings.bootstrap_operator,
        hooks,
        OperatorSettings {
            limits: side_limits,
            metrics: metrics.clone(),
        },
    )
    .await?;
    let caller_settings = CallerSettings {
        limits,
        history,
        metrics,
    };
    let caller = CallerServer::bind(
        request_tasks,
        settings.listen.caller,
        caller_settings,
        Arc::new(dispatcher),
    )
    .await?;
    let addresses = BoundAddresses {
        caller: caller.address(),
        operator: operator.address(),
        peer: peer.address(),
        admin: admin.address(),
    };
    log::info!(
        "daemon {} of zone {} is serving: {addresses:?}",
        settings.vm,
        settings.zone
    );
    Ok(DaemonHandle {
        addresses,
        settings: settings.clone(),
        caller,
        operator,
        admin,
        members: core.members.clone(),
        replica: core.replica.clone(),
        claims: core.claims.clone(),
        draining,
        drain_clock,
        request_tasks: request_tasks.clone(),
        service_tasks: service_tasks.clone(),
    })
}

fn open_core(settings: &DaemonSettings, group: &TaskGroup) -> Result<(CoreServices, ReportInbox)> {
    let registry = ServiceRegistry::new();
    let timer = TimerService::spawn(group);
    let journal = Arc::new(HttpJournal::open(settings.platform.log));
    let vms = Arc::new(HttpVmList::open(settings.platform.vms));
    // Calls start from the address of the peer server, by which network rules and the fault proxy identify peers.
    let local = settings.listen.peer.ip();
    let client = Arc::new(PeerClient::open(group).with_local_address(local));
    let engine = Arc::new(Engine::open(EngineTimeouts::default()));
    let peer_table = Arc::new(PeerTable::new());
    let known_members = Arc::new(OnceLock::new());
    let replica_peers =
        peers::replica_peers(settings, client.clone(), vms.clone(), known_members.clone());
    let options = ReplicaOptions {
        vm: settings.vm.clone(),
        snapshot_period: SNAPSHOT_PERIOD,
    };
    let replica = Replica::spawn(
        group,
        &timer,
        journal.clone(),
        Arc::new(replica_peers),
        options,
    );
    let replica = registry.register(service_name::REPLICA, Arc::new(replica))?;
    let limits = Limits::open(replica.teams(), peer_table.clone(), client.clone());
    let limits = registry.register(service_name::LIMITS, Arc::new(limits))?;
    let prefixes = Arc::new(PrefixIndex::new());
    let (sink, reports) = tasks::report_channel();
    let watch_settings = WatchSettings {
        report_period: settings.timing.report_period,
        list_period: LIST_PERIOD,
        call_timeout: REPORT_TIMEOUT,
    };
    let clients = (engine.clone(), vms.clone());
    let watch = Watch::spawn(
        group,
        &timer,
        watch_settings,
        clients,
        prefixes.clone(),
        sink,
    );
    let watch = registry.register(service_name::WATCH, Arc::new(watch))?;
    let status = DaemonStatus::new(replica.clone(), limits.clone(), watch.clone());
    let members = Members::open(
        group,
        &timer,
        MemberSettings {
            name: settings.vm.clone(),
            zone: settings.zone.clone(),
            peer: settings.listen.advertised_peer(),
            term: settings.timing.term,
            list_lag: settings.platform.list_lag,
            promise: PROMISE,
        },
        MemberParts {
            journal: journal.clone(),
            vms,
            caller: client.clone(),
            peer_table: peer_table.clone(),
            sink: limits.clone(),
            source: Arc::new(status),
        },
    );
    let members = registry.register(service_name::MEMBERS, Arc::new(members))?;
    // Cannot fail: the cell is set only here.
    let _ = known_members.set(members.clone());
    let claim_settings = ClaimSettings {
        memory: settings.timing.claim_memory,
        claim_wait: settings.timing.claim_wait,
        ..ClaimSettings::default()
    };
    let claims = ClaimService::spawn(journal.clone(), members.vm(), claim_settings, group);
    registry.register(service_name::CLAIMS, Arc::new(claims))?;
    let core = CoreServices {
        journal,
        timer,
        client,
        peer_table,
        replica: registry.find(service_name::REPLICA)?,
        limits: registry.find(service_name::LIMITS)?,
        members: registry.find(service_name::MEMBERS)?,
        claims: registry.find(service_name::CLAIMS)?,
        engine,
        watch: registry.find(service_name::WATCH)?,
        prefixes,
        demand: Arc::new(DemandTracker::default()),
    };
    Ok((core, reports))
}

impl DaemonHandle {
    /// Returns the bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Waits until the configuration is loaded.
    ///
    /// # Errors
    ///
    /// Fails if the daemon stops first.
    pub async fn wait_ready(&self) -> Result<()> {
        self.replica.wait_ready().await
    }

    /// Returns the faults of the daemon's tasks. Once one that cannot be restarted has panicked, the daemon must be shut
    /// down.
    pub fn faults(&self) -> &TaskFaults {
        self.service_tasks.faults()
    }

    /// Shuts down without interrupting requests.
    ///
    /// Readiness fails first. The listeners stay open until the balancer has noticed, running requests may finish
    /// within the drain time, the share is given back, and all tasks are joined.
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
        tokio::time::sleep(timing.balancer_lag).await;
        self.operator.stop();
        let drained = async {
            self.caller.drain().await;
            // A non-repeatable call continues after its caller has disconnected, as its outcome must be recorded.
            self.request_tasks.shutdown().await;
        };
        if tokio::time::timeout_at(end.into(), drained).await.is_err() {
            log::error!(
                "requests were still running after the drain time of {:?}",
                timing.drain
            );
        }
        if let Err(error) = self.members.leave(FINAL_APPEND_TIMEOUT).await {
            log::warn!(
                "leaving the membership failed; the share stays reserved until it expires: {error}"
            );
        }
        let unlogged = self.claims.drain(FINAL_APPEND_TIMEOUT).await;
        if unlogged > 0 {
            log::error!("{unlogged} claim records were not appended to the log");
        }
        self.service_tasks.cancel();
        self.admin.drain().await;
        self.service_tasks.shutdown().await;
        log::info!("shut down after {:?}", started.elapsed());
    }
}
