//! Planner of the whole fleet in the platform's deployment: orders engines to load and unload models while this daemon
//! holds the planner's lease. In the other deployment, [`crate::placement`] plans for one zone.
//!
//! Each engine has at most one open order. Its used memory includes the models that it reports, what its open order may
//! load, and what orders without an answer may load until they can no longer be carried out.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use crate::kernel::TaskGroup;
use crate::placement::{DemandSummary, DemandTracker};
use crate::relay::config::{EngineConfig, ServingConfig};
use crate::relay::dispatcher::ConfigReceiver;
use crate::relay::engine_state::{EngineState, OpenOrder, is_adapter, item, item_mb};
use crate::relay::engines::{
    EngineControl, EngineReport, OrderAnswer, OrderContext, PlacementChange, PlacementRequest,
    ReplicaOrder,
};
use crate::relay::fleet::{RelayFleet, routing_name};
use crate::relay::layout::{LayoutEngine, LayoutModel, LayoutMove, LayoutPolicy};
use crate::relay::lease::LeaseManager;
use crate::relay::server_list::{ServerEntry, holds_item};
use crate::timer::TimerService;

/// Period of planning rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Shortest time between two rounds; much less than an adapter takes to load.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two report requests to the same engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after an order that could not be sent.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);
/// Requests per second from which an adapter counts as in demand.
const MIN_ADAPTER_RATE: f64 = 0.1;
/// Largest age of the state in an engine's report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Time after which an order without an answer is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(1_200);
/// Longest time after which an order without an answer may still be carried out.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);
/// Window of the budget of loads from the weight store.
const STORE_BUDGET_WINDOW: Duration = Duration::from_secs(5);
/// Running time of a request per token that it may generate, in seconds, at a usual batch size.
const SECONDS_PER_TOKEN: f64 = 0.006_5;
/// Longest wait of a request for an adapter to be placed.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that an adapter takes to load from the weight store after its order was accepted.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(12);

#[derive(Default)]
struct PlannerState {
    engines: HashMap<SmolStr, EngineState>,
    policies: HashMap<SmolStr, LayoutPolicy>,
    /// Loads from the weight store that began within the window.
    store_loads: VecDeque<Instant>,
    waiters: HashMap<PlacementRequest, Vec<oneshot::Sender<PlacementChange>>>,
    /// Placement changes to announce, with the number of pulses that will still carry them.
    outgoing: Vec<(PlacementChange, u32)>,
}

/// Dependencies of a [`ReplicaPlanner`].
pub struct PlannerContext<E> {
    pub name: SmolStr,
    pub lease: Arc<LeaseManager>,
    pub control: Arc<E>,
    pub fleet: Arc<RelayFleet>,
    pub demand: Arc<DemandTracker>,
    pub configs: ConfigReceiver,
    pub group: TaskGroup,
}

/// The planner of the fleet. Share it in an [`Arc`].
pub struct ReplicaPlanner<E> {
    context: PlannerContext<E>,
    state: Mutex<PlannerState>,
    wake: Notify,
}

/// Number of pulses that carry each placement change, as datagrams may be lost.
const ANNOUNCEMENT_REPEATS: u32 = 3;

impl<E: EngineControl> ReplicaPlanner<E> {
    /// Starts planning rounds in a task of the group in `context`.
    pub fn spawn(context: PlannerContext<E>, timer: &TimerService) -> Arc<Self> {
        let group = context.group.clone();
        let planner = Arc::new(Self {
            context,
            state: Mutex::default(),
            wake: Notify::new(),
        });
        let mut ticks = timer.every(ROUND_PERIOD);
        let rounds = planner.clone();
        group.spawn_cancellable(async move {
            loop {
                tokio::select! {
                    tick = ticks.next() => {
                        if tick.is_none() {
                            return;
                        }
                    }
                    () = rounds.wake.notified() => {}
                }
                rounds.round(Instant::now());
                // Many calls end at about the same time; one round serves them all.
                tokio::time::sleep(MIN_ROUND_INTERVAL).await;
            }
        });
        planner
    }

    /// Returns the fencing number if this daemon holds the planner's lease now.
    pub fn fence(&self) -> Option<u64> {
        self.context.lease.fence()
    }

    /// Returns the placement changes for the next pulse, which counts as sent.
    pub fn take_announcements(&self) -> Vec<PlacementChange> {
        let mut state = self.state();
        let changes = state.outgoing.iter().map(|(change, _)| change.clone());
        let changes = changes.collect();
        for (_, repeats) in &mut state.outgoing {
            *repeats -= 1;
        }
        state.outgoing.retain(|(_, repeats)| *repeats > 0);
        changes
    }

    /// Places an adapter that a request needs. Returns `None` if this daemon does not hold the planner's lease or if
    /// the adapter was not placed within 1.5 s.
    pub async fn place(&self, request: PlacementRequest) -> Option<PlacementChange> {
        self.fence()?;
        let (sender, receiver) = oneshot::channel();
        let first = {
            let mut state = self.state();
            let waiters = state.waiters.entry(request.clone()).or_default();
            waiters.push(sender);
            waiters.len() == 1
        };
        if first {
            self.wake.notify_one();
        }
        let placed = tokio::time::timeout(PLACEMENT_TIMEOUT, receiver).await;
        let mut state = self.state();
        if let Some(waiters) = state.waiters.get_mut(&request) {
            waiters.retain(|waiter| !waiter.is_closed());
            if waiters.is_empty() {
                state.waiters.remove(&request);
            }
        }
        placed.ok()?.ok()
    }

    fn round(self: &Arc<Self>, now: Instant) {
        let Some(fence) = self.fence() else {
            // The next planner starts from the engines' reports.
            let state = &mut *self.state();
            state.engines.clear();
            state.policies.clear();
            return;
        };
        let Some(config) = self.context.configs.borrow().clone() else {
            return;
        };
        let mut servers = self.context.fleet.servers();
        // Only engines take orders. A plain service would refuse a report request.
        servers.retain(|server| {
            let service = config.service(&server.service);
            service.is_some_and(|service| service.engine.is_some())
        });
        let mut calls = Vec::new();
        {
            let mut state = self.state();
            state.sync_engines(&servers, now);
            calls.extend(state.due_calls(now));
            for service in config.services() {
                if let Some(engine) = &service.engine {
                    let moves = self.plan_service(&mut state, &service.name, engine, &servers, now);
                    calls.extend(moves);
                    calls.extend(state.place_adapters(
                        &service.name,
                        engine,
                        &servers,
                        &self.context,
                        now,
                    ));
                }
            }
        }
        for call in calls {
            self.spawn_call(call, fence, &servers, &config);
        }
    }

    fn plan_service(
        &self,
        state: &mut PlannerState,
        service: &SmolStr,
        engine: &EngineConfig,
        servers: &[ServerEntry],
        now: Instant,
    ) -> Vec<EngineCall> {
        let of_service = servers.iter().filter(|server| server.service == *service);
        let layout: Vec<LayoutEngine> = of_service
            .filter(|server| !server.leaving)
            .filter_map(|server| {
                let known = state.engines.get(&server.id)?;
                Some(known.layout_engine(server, engine, &self.context.fleet, now))
            })
            .collect();
        if layout.is_empty() {
            return Vec::new();
        }
        let demands = self.context.demand.summaries(MIN_ADAPTER_RATE, now);
        let models: Vec<LayoutModel> = engine
            .models
            .iter()
            .map(|model| {
                let demand = demands.get(&routing_name(service, Some(&model.name)));
                let DemandSummary { total, adapters } = demand.copied().unwrap_or_default();
                LayoutModel {
                    config: model.clone(),
                    arrivals_per_s: total.arrivals_per_s,
                    concurrency: total.tokens_per_s * SECONDS_PER_TOKEN + f64::from(total.waiting),
                    waiting: total.waiting,
                    adapters,
                }
            })
            .collect();
        let budget = state.store_budget(engine, now);
        let policy = state.policies.entry(service.clone()).or_default();
        let moves = policy.plan(&layout, &models, budget, now);
        moves
            .into_iter()
            .filter_map(|step| state.begin_move(&layout[step.engine].id, step, now))
            .collect()
    }

    /// Carries out a call; its end wakes the next round.
    fn spawn_call(
        self: &Arc<Self>,
        call: EngineCall,
        fence: u64,
        servers: &[ServerEntry],
        config: &Arc<ServingConfig>,
    ) {
        let Some(server) = servers.iter().find(|server| server.id == call.server) else {
            return;
        };
        let (planner, address) = (self.clone(), server.address);
        let engine = config
            .service(&server.service)
            .and_then(|service| service.engine.clone());
        let service = server.service.clone();
        self.context.group.spawn_cancellable(async move {
            let control = &planner.context.control;
            let changes = match &call.order {
                None => {
                    let report = control.report(&call.server, address).await;
                    planner.state().handle_report(&call.server, report)
                }
                Some((order, expected_orders)) => {
                    // The lease may have ended since the round.
                    if planner.fence() != Some(fence) {
                        planner.state().cancel_order(&call.server);
                        return;
                    }
                    let context = OrderContext {
                        holder: planner.context.name.clone(),
                        fence,
                        expected_orders: *expected_orders,
                    };
                    log::info!("order to {}: {order:?}, {context:?}", call.server);
                    let answer = control.order(&call.server, address, order, &context).await;
                    if let Ok(OrderAnswer::Accepted) = answer
                        && is_adapter(order)
                    {
                        tokio::time::sleep(ADAPTER_LOAD_TIME).await;
                    }
                    let size = engine
                        .as_ref()
                        .map_or(0.0, |engine| item_mb(engine, item(order)));
                    planner.state().handle_answer(&call.server, answer, size)
                }
            };
            planner.publish(&service, changes);
            planner.wake.notify_one();
        });
    }

    fn publish(&self, service: &SmolStr, changes: Vec<PlacementChange>) {
        if changes.is_empty() {
            return;
        }
        self.context.fleet.note_placements(&changes, Instant::now());
        let mut state = self.state();
        for placement in changes {
            let request = PlacementRequest {
                service: service.clone(),
                item: placement.item.clone(),
            };
            if placement.present {
                for waiter in state.waiters.remove(&request).unwrap_or_default() {
                    // The request may have ended meanwhile.
                    let _ = waiter.send(placement.clone());
                }
            }
            state.outgoing.push((placement, ANNOUNCEMENT_REPEATS));
        }
    }

    fn state(&self) -> MutexGuard<'_, PlannerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call to an engine: an order with the number of accepted orders that it expects, or a report request.
struct EngineCall {
    server: SmolStr,
    order: Option<(ReplicaOrder, u64)>,
}

impl PlannerState {
    /// Follows the list of engines. The models in the record of a known engine are ignored: the record may be older
    /// than the effect of orders, by seconds while the metadata store has faults.
    fn sync_engines(&mut self, servers: &[ServerEntry], now: Instant) {
        self.engines
            .retain(|id, _| servers.iter().any(|server| server.id == *id));
        for server in servers {
            let engine = self
                .engines
                .entry(server.id.clone())
                .or_insert_with(|| EngineState::new(server));
            if engine.born_ms != server.born_ms {
                let uncertain = std::mem::take(&mut engine.uncertain_loads);
                *engine = EngineState::new(server);
                engine.uncertain_loads = uncertain;
            }
            engine.uncertain_loads.retain(|(_, until)| *until > now);
        }
        while self
            .store_loads
            .front()
            .is_some_and(|at| *at + STORE_BUDGET_WINDOW <= now)
        {
            self.store_loads.pop_front();
        }
    }

    /// Returns the calls that are due: open orders to resend and report requests.
    fn due_calls(&mut self, now: Instant) -> Vec<EngineCall> {
        let mut calls = Vec::new();
        for (id, engine) in &mut self.engines {
            if engine.call_in_flight {
                continue;
            }
            let may_ask = engine.asked_at.is_none_or(|at| at + REPORT_INTERVAL <= now)
                && engine.no_request_before.is_none_or(|until| until <= now);
            let order = match &mut engine.open_order {
                Some(open) if !open.accepted && open.sent_at + RESEND_DELAY <= now => {
                    // The expected number of orders lets only one of the copies take effect.
                    open.sent_at = now;
                    Some((open.order.clone(), open.expected_orders))
                }
                Some(open) if may_ask && open.sent_at + REPORT_INTERVAL <= now => None,
                None if may_ask && engine.accepted_orders.is_none() => None,
                _ => continue,
            };
            engine.call_in_flight = true;
            if order.is_none() {
                engine.asked_at = Some(now);
            }
            calls.push(EngineCall {
                server: id.clone(),
                order,
            });
        }
        calls
    }

    /// Returns how many loads from the weight store may be ordered now. An order without an answer may begin its load
    /// at any time, so it counts until it can no longer be carried out.
    fn store_budget(&self, config: &EngineConfig, now: Instant) -> usize {
        let most = (config.loads_per_s * STORE_BUDGET_WINDOW.as_secs_f64()) as usize;
        let engines = self.engines.values();
        let uncertain = engines.flat_map(|engine| &engine.uncertain_loads);
        let uncertain = uncertain.filter(|(_, until)| *until > now).count();
        most.saturating_sub(self.store_loads.len() + uncertain)
    }

    /// Opens the order of a move and counts its load from the weight store.
    fn begin_move(&mut self, id: &SmolStr, step: LayoutMove, now: Instant) -> Option<EngineCall> {
        if step.from_store {
            self.store_loads.push_back(now);
        }
        self.begin_order(id, step.order, now)
    }

    fn begin_order(
        &mut self,
        id: &SmolStr,
        order: ReplicaOrder,
        now: Instant,
    ) -> Option<EngineCall> {
        let engine = self.engines.get_mut(id)?;
        if !engine.is_available() {
            return None;
        }
        let expected_orders = engine.accepted_orders?;
        engine.call_in_flight = true;
        engine.open_order = Some(OpenOrder {
            order: order.clone(),
            expected_orders,
            sent_at: now,
            accepted: false,
        });
        Some(EngineCall {
            server: id.clone(),
            order: Some((order, expected_orders)),
        })
    }

    /// Opens orders for the adapters that requests wait for, at most one per engine and round.
    fn place_adapters<E>(
        &mut self,
        service: &SmolStr,
        config: &EngineConfig,
        servers: &[ServerEntry],
        context: &PlannerContext<E>,
        now: Instant,
    ) -> Vec<EngineCall> {
        let requests = self.waiters.keys();
        let requests = requests.filter(|request| request.service == *service);
        let requests: Vec<PlacementRequest> = requests.cloned().collect();
        let mut calls = Vec::new();
        for request in requests {
            let mut holders: Vec<&ServerEntry> = servers
                .iter()
                .filter(|server| server.service == *service && !server.leaving)
                .filter(|server| !context.fleet.is_suspected(&server.id))
                .filter(|server| {
                    self.engines.get(&server.id).is_some_and(|engine| {
                        engine.is_available() && engine.holds(&request.item.model)
                    })
                })
                .collect();
            holders.sort_by_key(|server| context.fleet.in_flight(&server.id));
            let order = holders.iter().find_map(|server| {
                let order = self.engines[&server.id].adapter_order(
                    &request.item,
                    config,
                    |item| {
                        let name = routing_name(service, Some(&item.model));
                        context
                            .demand
                            .facts(&name, item.adapter.as_ref(), now)
                            .arrivals_per_s
                    },
                    now,
                )?;
                Some((server.id.clone(), order))
            });
            if let Some((id, order)) = order {
                calls.extend(self.begin_order(&id, order, now));
            }
        }
        calls
    }

    /// Removes an open order that was not sent.
    fn cancel_order(&mut self, id: &SmolStr) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.call_in_flight = false;
            engine.open_order = None;
        }
    }

    /// Handles the answer to an order; `size` is the memory that the order may take, in MB.
    fn handle_answer(
        &mut self,
        id: &SmolStr,
        answer: crate::Result<OrderAnswer>,
        size: f64,
    ) -> Vec<PlacementChange> {
        let Some(engine) = self.engines.get_mut(id) else {
            return Vec::new();
        };
        engine.call_in_flight = false;
        let Some(open) = engine.open_order.as_mut() else {
            return Vec::new();
        };
        match answer {
            Ok(OrderAnswer::Accepted) => {
                open.accepted = true;
                let orders = open.expected_orders + 1;
                let loads = matches!(open.order, ReplicaOrder::Load(_));
                if loads && is_adapter(&open.order) {
                    return engine.complete_order(id, orders);
                }
                // Requests for a model that is being unloaded are refused from now on.
                match &open.order {
                    ReplicaOrder::Unload(item) => vec![PlacementChange {
                        server: id.clone(),
                        item: item.clone(),
                        present: false,
                    }],
                    ReplicaOrder::Load(_) => Vec::new(),
                }
            }
            Ok(OrderAnswer::AlreadyDone) => {
                // The unload of an idle adapter is complete at once and counts as an order.
                let counted =
                    matches!(&open.order, ReplicaOrder::Unload(item) if item.adapter.is_some());
                let orders = open.expected_orders + u64::from(counted);
                engine.complete_order(id, orders)
            }
            Ok(OrderAnswer::Conflict) => {
                // The engine's next report shows the outcome.
                log::info!("order to {id} met a conflict: {:?}", open.order);
                engine.open_order = None;
                engine.accepted_orders = None;
                engine.no_request_before = Some(Instant::now() + MAX_REPORT_AGE);
                Vec::new()
            }
            Ok(OrderAnswer::Fenced | OrderAnswer::Invalid) => {
                log::warn!("order to {id} was refused: {answer:?} to {:?}", open.order);
                engine.open_order = None;
                Vec::new()
            }
            Err(error) => {
                log::info!("order to {id} failed or was not answered: {error}");
                if error.verdict() == crate::RunVerdict::NotRun {
                    // The engine may have stopped, which the list of servers shows within seconds.
                    engine.open_order = None;
                    engine.accepted_orders = None;
                    engine.no_request_before = Some(Instant::now() + UNREACHABLE_BACKOFF);
                } else if matches!(open.order, ReplicaOrder::Load(_)) {
                    let until = Instant::now() + MAX_ORDER_DELAY;
                    engine.uncertain_loads.push((size, until));
                }
                Vec::new()
            }
        }
    }

    /// Handles the requested report of an engine.
    fn handle_report(
        &mut self,
        id: &SmolStr,
        report: crate::Result<EngineReport>,
    ) -> Vec<PlacementChange> {
        let Some(engine) = self.engines.get_mut(id) else {
            return Vec::new();
        };
        engine.call_in_flight = false;
        let report = match report {
            Ok(report) => report,
            Err(error) => {
                log::debug!("report request to engine {id} failed: {error}");
                // A stopped engine is removed from the list; any other gets its order or a report request again.
                return Vec::new();
            }
        };
        let carried_out = match &engine.open_order {
            // The engine is carrying out an order, perhaps of a previous planner, that its models do not show yet.
            _ if report.busy => false,
            // The order has not been accepted yet. A lower count is that of a restarted engine and does not match.
            Some(open) if report.accepted_orders == open.expected_orders => false,
            // An adapter is unloaded once no request uses it any more; the engine does not report busy meanwhile.
            Some(open) if open.accepted && is_adapter(&open.order) => {
                let held = holds_item(&report.models, item(&open.order));
                held == matches!(open.order, ReplicaOrder::Load(_))
            }
            _ => true,
        };
        if !carried_out {
            return Vec::new();
        }
        engine.accepted_orders = Some(report.accepted_orders);
        engine.models = report.models;
        let Some(open) = engine.open_order.take() else {
            return Vec::new();
        };
        engine.uncertain_loads.clear();
        if !engine.satisfies(&open.order) {
            log::info!("order to {id} had no effect: {:?}", open.order);
            return Vec::new();
        }
        vec![PlacementChange {
            server: id.clone(),
            item: item(&open.order).clone(),
            present: matches!(open.order, ReplicaOrder::Load(_)),
        }]
    }
}
