//! Planner of the whole fleet in the platform's deployment: orders engines to load and unload models while this daemon
//! holds the planner's lease. In the other deployment, [`crate::placement`] plans for one zone.
//!
//! Each engine has at most one open order. Its used memory includes the models that it reports, what its open order may
//! load, and what orders without an answer may load until they can no longer be carried out.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use crate::error::{Error, RunVerdict};
use crate::kernel::TaskGroup;
use crate::placement::{DemandSummary, DemandTracker};
use crate::relay::config::{EngineConfig, ServingConfig};
use crate::relay::dispatcher::ConfigReceiver;
use crate::relay::engine_state::{is_adapter, item, item_mb};
use crate::relay::engines::{
    EngineControl, OrderAnswer, OrderContext, PlacementChange, PlacementRequest, ReplicaOrder,
};
use crate::relay::fleet::{RelayFleet, routing_name};
use crate::relay::layout::{LayoutEngine, LayoutModel};
use crate::relay::lease::LeaseManager;
use crate::relay::planner_state::{EngineCall, PlannerState};
use crate::relay::server_list::ServerEntry;
use crate::timer::{TimerService, TimerTicks};

/// Period of planning rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Shortest time between two rounds; much less than an adapter takes to load.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Requests per second from which an adapter counts as in demand.
const MIN_ADAPTER_RATE: f64 = 0.1;
/// Running time of a request per token that it may generate, in seconds, at a usual batch size.
const SECONDS_PER_TOKEN: f64 = 0.006_5;
/// Longest wait of a request for an adapter to be placed.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that an adapter takes to load from the weight store after its order was accepted.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(12);

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
        let (rounds, timer) = (planner.clone(), timer.clone());
        group.spawn_service("planner", move || {
            rounds.clone().run_rounds(timer.every(ROUND_PERIOD))
        });
        planner
    }

    async fn run_rounds(self: Arc<Self>, mut ticks: TimerTicks) {
        loop {
            tokio::select! {
                tick = ticks.next() => {
                    if tick.is_none() {
                        return;
                    }
                }
                () = self.wake.notified() => {}
            }
            self.round(Instant::now());
            // Many calls end at about the same time; one round serves them all.
            tokio::time::sleep(MIN_ROUND_INTERVAL).await;
        }
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
            state.note_fence(fence, now);
            state.store_loads.fill(store_rate(&config), now);
            state.sync_engines(&servers, now);
            calls.extend(state.due_calls(now));
            // What engines of evacuated zones hold does not count, so that it is loaded elsewhere.
            let evacuated = self.context.fleet.evacuated_zones();
            let mut counted = servers.clone();
            counted.retain(|server| evacuated.iter().all(|other| other.zone != server.zone));
            for service in config.services() {
                if let Some(engine) = &service.engine {
                    let moves = self.plan_service(&mut state, &service.name, engine, &counted, now);
                    calls.extend(moves);
                    calls.extend(state.place_adapters(
                        &service.name,
                        engine,
                        &counted,
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
            .filter(|server| !server.leaving && !self.context.fleet.is_absent(&server.id))
            .filter_map(|server| {
                let known = state.engines.get(&server.id);
                let known = known.filter(|engine| engine.counts(now))?;
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
        let budget = state.store_loads.available();
        let policy = state.policies.entry(service.clone()).or_default();
        let moves = policy.plan(&layout, &models, budget, now);
        moves
            .into_iter()
            .filter_map(|step| state.begin_move(&layout[step.engine].id, step, budget, now))
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
        let call = Arc::new(call);
        let (planner_left, call_left, engine_left) = (self.clone(), call.clone(), engine.clone());
        let task = async move {
            let control = &planner.context.control;
            let changes = match &call.order {
                None => {
                    let report = control.report(&call.server, address).await;
                    planner.state().handle_report(&call.server, report)
                }
                Some(sent) => {
                    let order = &sent.order;
                    // The lease may have ended since the round.
                    if planner.fence() != Some(fence) {
                        planner.state().cancel_order(sent);
                        return;
                    }
                    let context = OrderContext {
                        holder: planner.context.name.clone(),
                        fence,
                        expected_orders: sent.key.expected_orders,
                    };
                    log::info!("order to {}: {order:?}, {context:?}", call.server);
                    let answer = control.order(&call.server, address, order, &context).await;
                    if let Ok(OrderAnswer::Accepted) = answer
                        && is_adapter(order)
                    {
                        tokio::time::sleep(ADAPTER_LOAD_TIME).await;
                    }
                    let size = order_mb(engine.as_ref(), order);
                    planner.state().handle_answer(sent, answer, size)
                }
            };
            planner.publish(&service, changes);
            planner.wake.notify_one();
        };
        // Without its end, the engine would get no further order. An order may have been carried out.
        let recover = move || {
            let cause = Error::internal("the call panicked").with_verdict(RunVerdict::MayHaveRun);
            let mut state = planner_left.state();
            // Neither changes where requests go, as the outcome is unknown.
            let _ = match &call_left.order {
                None => state.handle_report(&call_left.server, Err(cause)),
                Some(sent) => {
                    let size = order_mb(engine_left.as_ref(), &sent.order);
                    state.handle_answer(sent, Err(cause), size)
                }
            };
        };
        let group = &self.context.group;
        group.spawn_recoverable("engine-call", task, recover);
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

/// Returns the size of what `order` concerns, in MB; 0 if the engine's settings are not known.
fn order_mb(engine: Option<&EngineConfig>, order: &ReplicaOrder) -> f64 {
    engine.map_or(0.0, |engine| item_mb(engine, item(order)))
}

/// Returns the loads per second that the weight store allows: the lowest rate of any service, as they share it.
fn store_rate(config: &ServingConfig) -> f64 {
    let engines = config
        .services()
        .filter_map(|service| service.engine.as_ref());
    let rates = engines.map(|engine| engine.loads_per_s);
    rates.reduce(f64::min).unwrap_or(0.0)
}
