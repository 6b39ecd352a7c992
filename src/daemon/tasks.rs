//! Background tasks that connect the services of a daemon.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};

use crate::catalog::{BackendSpec, FleetCatalog};
use crate::currency::{ViewCurrency, ViewState};
use crate::daemon::CoreServices;
use crate::daemon::gauges;
use crate::daemon::parts::{Members, Orders, PolicyParts};
use crate::dispatch::{DemandMeter, RequestDispatcher};
use crate::engine::LoadReport;
use crate::ids::LogOffset;
use crate::inventory::{VmRole, VmState};
use crate::kernel::TaskGroup;
use crate::metrics::DaemonMetrics;
use crate::peer::{PeerCaller, PeerRequest};
use crate::settings::DaemonSettings;

/// Period in which the age of the view is checked; well below the age at which a daemon counts as isolated.
const CURRENCY_PERIOD: Duration = Duration::from_millis(200);
/// Period in which demand is sent to planners.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Period in which notices about suspects are sent to peers.
const NOTICE_PERIOD: Duration = Duration::from_millis(100);
/// Period in which configuration records are sent again to peers that lag.
const PUSH_PERIOD: Duration = Duration::from_millis(500);
/// Period in which waiting requests are retried, in addition to every change of the fleet.
const GRANT_PERIOD: Duration = Duration::from_millis(50);
/// Time limit of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Receiver of load reports for the order service.
pub(super) type ReportInbox = mpsc::UnboundedReceiver<(SmolStr, LoadReport, Instant)>;

/// Returns the sink of the fleet watch and the receiver for the order service, which starts after the watch.
pub(super) fn report_channel() -> (
    impl Fn(&SmolStr, &LoadReport, Instant) + Send + Sync + 'static,
    ReportInbox,
) {
    let (sender, inbox) = mpsc::unbounded_channel();
    let sink = move |name: &SmolStr, report: &LoadReport, asked_at: Instant| {
        // The receiver is dropped only at shutdown.
        let _ = sender.send((name.clone(), report.clone(), asked_at));
    };
    (sink, inbox)
}

/// Objects that the background tasks need in addition to the core services.
pub(super) struct TaskContext<P: PolicyParts> {
    pub(super) peer: SocketAddr,
    pub(super) orders: Arc<Orders>,
    pub(super) dispatcher: Arc<RequestDispatcher<P>>,
    pub(super) currency: Arc<ViewCurrency>,
    pub(super) meter: Arc<DemandMeter>,
    pub(super) metrics: Arc<DaemonMetrics>,
}

/// Starts all background tasks in `group`.
pub(super) fn spawn_all<P: PolicyParts>(
    group: &TaskGroup,
    settings: &DaemonSettings,
    core: &CoreServices,
    reports: ReportInbox,
    context: TaskContext<P>,
) {
    let context = Arc::new(context);
    let backends = follow_backends(core.replica.subscribe(), core.watch.clone());
    group.spawn_essential("backend-list", backends);
    let forwarding = forward_reports(reports, context.orders.clone());
    group.spawn_essential("report-forwarding", forwarding);
    spawn_currency(group, core, &context);
    spawn_confirmations(group, core);
    spawn_push(group, core);
    spawn_demand(group, core, &context);
    spawn_notices(group, core, &context);
    spawn_slot_grants(group, core, &context);
    gauges::spawn(group, core, &context);
    log::debug!("background tasks of {} are running", settings.vm);
}

async fn follow_backends(
    mut catalogs: watch::Receiver<Arc<FleetCatalog>>,
    fleet: Arc<crate::daemon::parts::Watch>,
) {
    let mut known: Option<Vec<BackendSpec>> = None;
    loop {
        let latest: Vec<BackendSpec> = catalogs.borrow_and_update().backends().cloned().collect();
        if known.as_ref() != Some(&latest) {
            fleet.set_backends(&latest);
            known = Some(latest);
        }
        if catalogs.changed().await.is_err() {
            return;
        }
    }
}

async fn forward_reports(mut reports: ReportInbox, orders: Arc<Orders>) {
    while let Some((name, report, asked_at)) = reports.recv().await {
        orders.note_report(&name, &report, asked_at);
    }
}

fn spawn_currency<P: PolicyParts>(
    group: &TaskGroup,
    core: &CoreServices,
    context: &Arc<TaskContext<P>>,
) {
    let mut ticks = core.timer.every(CURRENCY_PERIOD);
    let (replica, members) = (core.replica.clone(), core.members.clone());
    let context = context.clone();
    group.spawn_essential("view-currency", async move {
        let mut isolated = false;
        while ticks.next().await.is_some() {
            let seen = replica.status().caught_up_at;
            let next = replica.next_offset();
            context.currency.observe(seen, next, &members.evidence());
            let now = Instant::now();
            replica.set_append_allowed(members.may_decide(now));
            let state = context.currency.state(now);
            let is_isolated = state != ViewState::Current;
            if is_isolated != isolated {
                log::warn!("state of the view of the configuration changed to {state:?}");
            }
            isolated = is_isolated;
            context.metrics.isolated.set(i64::from(is_isolated));
            context.metrics.config_next.set(next.0 as i64);
        }
    });
}

fn spawn_confirmations(group: &TaskGroup, core: &CoreServices) {
    let mut ticks = core.timer.every(PUSH_PERIOD);
    let (replica, members) = (core.replica.clone(), core.members.clone());
    let (fleet, peer_table) = (core.watch.clone(), core.peer_table.clone());
    group.spawn_essential("confirmations", async move {
        while ticks.next().await.is_some() {
            let mut names: BTreeSet<SmolStr> = members
                .members()
                .into_iter()
                .map(|(_, entry)| entry.name)
                .collect();
            let listing = fleet.listing();
            let live = listing.vms.iter().filter(|vm| vm.role == VmRole::Entry);
            let live = live.filter(|vm| vm.state == VmState::Live);
            names.extend(live.map(|vm| vm.name.clone()));
            replica.set_expected_vms(names);
            for entry in peer_table.entries() {
                replica.record_peer_offset(&entry.status.name, entry.status.config_next);
            }
        }
    });
}

/// Sends new configuration records to all peers immediately, and again to peers that lag.
fn spawn_push(group: &TaskGroup, core: &CoreServices) {
    let mut ticks = core.timer.every(PUSH_PERIOD);
    let mut catalogs = core.replica.subscribe();
    let (replica, members) = (core.replica.clone(), core.members.clone());
    let (client, peer_table) = (core.client.clone(), core.peer_table.clone());
    group.spawn_essential("configuration-push", async move {
        let mut pushed: HashMap<SocketAddr, LogOffset> = HashMap::new();
        loop {
            tokio::select! {
                tick = ticks.next() => {
                    if tick.is_none() {
                        return;
                    }
                    pushed = peer_table
                        .entries()
                        .into_iter()
                        .map(|entry| (entry.address, entry.status.config_next))
                        .collect();
                }
                changed = catalogs.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            let next = replica.next_offset();
            let calls = members.peer_addresses().into_iter().filter_map(|address| {
                let from = pushed.get(&address).copied()?;
                let records = replica.records_from(from).filter(|_| from < next)?;
                let request = PeerRequest::PushConfig {
                    first: records.first,
                    records: records.records,
                };
                pushed.insert(address, next);
                Some(client.call(address, request, PEER_TIMEOUT))
            });
            // A failed push is repeated after the peer's next status.
            join_all(calls.collect::<Vec<_>>()).await;
        }
    });
}

fn spawn_demand<P: PolicyParts>(
    group: &TaskGroup,
    core: &CoreServices,
    context: &Arc<TaskContext<P>>,
) {
    let mut ticks = core.timer.every(DEMAND_PERIOD);
    let (members, tracker) = (core.members.clone(), core.demand.clone());
    let (client, context) = (core.client.clone(), context.clone());
    group.spawn_essential("demand-reports", async move {
        while ticks.next().await.is_some() {
            let waiting = context.dispatcher.core().waiting().into_iter();
            let waiting = waiting.map(|(model, count)| (model, count.interactive as u32));
            let demands = context.meter.take(&waiting.collect::<Vec<_>>());
            if demands.is_empty() {
                continue;
            }
            tracker.record(context.peer, &demands, Instant::now());
            let request = PeerRequest::Demand {
                reporter: context.peer,
                demands,
            };
            let planners = planner_addresses(&members).into_iter();
            let others = planners.filter(|address| *address != context.peer);
            let calls = others.map(|address| client.call(address, request.clone(), PEER_TIMEOUT));
            // Errors are ignored: a lost report only delays the planner's reaction.
            join_all(calls).await;
        }
    });
}

fn planner_addresses(members: &Members) -> Vec<SocketAddr> {
    let entries = members.members();
    let planners = entries.iter().filter(|(vm, entry)| {
        members
            .planner(&entry.zone)
            .is_some_and(|planner| planner.vm == *vm)
    });
    planners.map(|(_, entry)| entry.peer).collect()
}

fn spawn_notices<P: PolicyParts>(
    group: &TaskGroup,
    core: &CoreServices,
    context: &Arc<TaskContext<P>>,
) {
    let mut ticks = core.timer.every(NOTICE_PERIOD);
    let (members, client) = (core.members.clone(), core.client.clone());
    let context = context.clone();
    group.spawn_essential("suspect-notices", async move {
        while ticks.next().await.is_some() {
            let notices = context.dispatcher.core().take_notices();
            if notices.is_empty() {
                continue;
            }
            let request = PeerRequest::Suspects(notices);
            let peers = members.peer_addresses().into_iter();
            let calls = peers.map(|address| client.call(address, request.clone(), PEER_TIMEOUT));
            join_all(calls).await;
        }
    });
}

fn spawn_slot_grants<P: PolicyParts>(
    group: &TaskGroup,
    core: &CoreServices,
    context: &Arc<TaskContext<P>>,
) {
    let mut ticks = core.timer.every(GRANT_PERIOD);
    let mut changes = core.watch.subscribe();
    let context = context.clone();
    group.spawn_essential("slot-grants", async move {
        loop {
            let alive = tokio::select! {
                tick = ticks.next() => tick.is_some(),
                changed = changes.changed() => changed.is_ok(),
            };
            if !alive {
                return;
            }
            context.dispatcher.core().grant_slots();
        }
    });
}
