//! What the planner knows of its engines and their open orders. Performs no I/O.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::error::Category;
use crate::relay::config::EngineConfig;
use crate::relay::engine_state::{EngineState, OpenOrder, is_adapter, item};
use crate::relay::engines::{
    EngineReport, OrderAnswer, PlacementChange, PlacementRequest, ReplicaOrder,
};
use crate::relay::fleet::routing_name;
use crate::relay::layout::{LayoutMove, LayoutPolicy};
use crate::relay::load_budget::{LoadBudget, MAX_ORDER_DELAY, OrderKey};
use crate::relay::planner::PlannerContext;
use crate::relay::server_list::{ServerEntry, holds_item};

/// Time between two report requests to the same engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after an order that could not be sent.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);
/// Failed report requests to an engine that has never answered after which the pause no longer doubles.
const MAX_DOUBLINGS: u32 = 5;
/// Pause after a report request that another server answered, and the longest one for an engine that has never answered.
const MISPLACED_PAUSE: Duration = Duration::from_secs(5);
/// Largest age of the state in an engine's report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Time after which an order without an answer is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(1_200);

#[derive(Default)]
pub(super) struct PlannerState {
    pub(super) engines: HashMap<SmolStr, EngineState>,
    pub(super) policies: HashMap<SmolStr, LayoutPolicy>,
    pub(super) store_loads: LoadBudget,
    pub(super) waiters: HashMap<PlacementRequest, Vec<oneshot::Sender<PlacementChange>>>,
    /// Placement changes to announce, with the number of pulses that will still carry them.
    pub(super) outgoing: Vec<(PlacementChange, u32)>,
    /// Fencing number with which this daemon planned last.
    fence: Option<u64>,
}

/// A call to an engine: an order, or a report request.
pub(super) struct EngineCall {
    pub(super) server: SmolStr,
    pub(super) order: Option<SentOrder>,
}

/// A copy of an order.
pub(super) struct SentOrder {
    pub(super) order: ReplicaOrder,
    pub(super) key: OrderKey,
    /// Whether it is a load from the weight store.
    pub(super) from_store: bool,
}

impl PlannerState {
    /// Notes the fencing number of a round.
    pub(super) fn note_fence(&mut self, fence: u64, now: Instant) {
        if self.fence.replace(fence) != Some(fence) {
            log::info!("planning with fencing number {fence}; the budget of loads is empty");
            self.store_loads.take_over(now);
        }
    }

    /// Follows the list of engines. The models in the record of a known engine are ignored: the record may be older
    /// than the effect of orders, by seconds while the metadata store has faults.
    pub(super) fn sync_engines(&mut self, servers: &[ServerEntry], now: Instant) {
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
    }

    /// Returns the calls that are due: open orders to resend and report requests.
    pub(super) fn due_calls(&mut self, now: Instant) -> Vec<EngineCall> {
        let mut calls = Vec::new();
        for (id, engine) in &mut self.engines {
            if engine.call_in_flight {
                continue;
            }
            let may_ask = engine.asked_at.is_none_or(|at| at + REPORT_INTERVAL <= now)
                && engine.no_request_before.is_none_or(|until| until <= now);
            let order = match &mut engine.open_order {
                // A silent engine gets no further copy, so that the reservations of its order lapse.
                Some(open)
                    if !open.accepted
                        && open.sent_at + RESEND_DELAY <= now
                        && engine.answered_at.is_some_and(|at| at > open.sent_at) =>
                {
                    // The expected number of orders lets only one of the copies take effect.
                    open.sent_at = now;
                    Some(SentOrder {
                        order: open.order.clone(),
                        key: OrderKey {
                            server: id.clone(),
                            born_ms: engine.born_ms,
                            expected_orders: open.expected_orders,
                        },
                        from_store: open.from_store,
                    })
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

    /// Opens the order of a move; `budget` is what the policy was given.
    pub(super) fn begin_move(
        &mut self,
        id: &SmolStr,
        step: LayoutMove,
        budget: usize,
        now: Instant,
    ) -> Option<EngineCall> {
        let source = match &step.order {
            ReplicaOrder::Unload(_) => None,
            ReplicaOrder::Load(_) if step.from_store => Some("from the weight store"),
            ReplicaOrder::Load(_) => Some("from the engine's own copy"),
        };
        if let Some(source) = source {
            let model = &item(&step.order).model;
            log::info!("load of {model} on {id} {source}, budget of the round {budget}");
        }
        self.begin_order(id, step.order, step.from_store, now)
    }

    fn begin_order(
        &mut self,
        id: &SmolStr,
        order: ReplicaOrder,
        from_store: bool,
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
            from_store,
            expected_orders,
            sent_at: now,
            accepted: false,
        });
        let key = OrderKey {
            server: id.clone(),
            born_ms: engine.born_ms,
            expected_orders,
        };
        if from_store {
            self.store_loads.open(key.clone());
        }
        Some(EngineCall {
            server: id.clone(),
            order: Some(SentOrder {
                order,
                key,
                from_store,
            }),
        })
    }

    /// Opens orders for the adapters that requests wait for, at most one per engine and round.
    pub(super) fn place_adapters<E>(
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
                calls.extend(self.begin_order(&id, order, false, now));
            }
        }
        calls
    }

    /// Removes an open order that was not sent.
    pub(super) fn cancel_order(&mut self, sent: &SentOrder) {
        self.store_loads.note_refused(&sent.key);
        if let Some(engine) = self.engines.get_mut(&sent.key.server) {
            engine.call_in_flight = false;
            engine.open_order = None;
        }
    }

    /// Notes what the answer to an order says of loads from the weight store.
    fn note_load(&mut self, sent: &SentOrder, answer: &crate::Result<OrderAnswer>, now: Instant) {
        let (loads, key) = (&mut self.store_loads, &sent.key);
        match answer {
            Ok(OrderAnswer::Accepted) if sent.from_store => loads.note_begun(key),
            Ok(OrderAnswer::Accepted) => loads.note_superseded(key),
            _ if !sent.from_store => {}
            Ok(OrderAnswer::AlreadyDone) => loads.note_already_done(key),
            Ok(OrderAnswer::Conflict | OrderAnswer::Fenced | OrderAnswer::Invalid) => {
                loads.note_refused(key);
            }
            Err(error) if error.verdict() == crate::RunVerdict::NotRun => loads.note_refused(key),
            Err(_) => loads.note_unanswered(key, now),
        }
    }

    /// Handles the answer to an order; `size` is the memory that the order may take, in MB.
    pub(super) fn handle_answer(
        &mut self,
        sent: &SentOrder,
        answer: crate::Result<OrderAnswer>,
        size: f64,
    ) -> Vec<PlacementChange> {
        self.note_load(sent, &answer, Instant::now());
        let id = &sent.key.server;
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
    pub(super) fn handle_report(
        &mut self,
        id: &SmolStr,
        report: crate::Result<EngineReport>,
    ) -> Vec<PlacementChange> {
        let Some(engine) = self.engines.get_mut(id) else {
            return Vec::new();
        };
        engine.call_in_flight = false;
        let report = match report {
            Ok(report) => {
                engine.answered_at = Some(Instant::now());
                engine.is_misplaced = false;
                report
            }
            Err(error) => {
                log::debug!("report request to engine {id} failed: {error}");
                if error.category() == Category::NotFound {
                    engine.is_misplaced = true;
                }
                if engine.is_misplaced {
                    engine.no_request_before = Some(Instant::now() + MISPLACED_PAUSE);
                } else if engine.answered_at.is_none() {
                    let pause = REPORT_INTERVAL * 2_u32.pow(engine.unanswered.min(MAX_DOUBLINGS));
                    engine.no_request_before = Some(Instant::now() + pause.min(MISPLACED_PAUSE));
                    engine.unanswered += 1;
                }
                // A stopped engine is removed from the list; any other gets its order or a report request again.
                return Vec::new();
            }
        };
        self.store_loads
            .note_accepted_orders(id, report.accepted_orders);
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
        for item in report.coming {
            let placement = PlacementChange {
                server: id.clone(),
                item,
                present: true,
            };
            placement.apply(&mut engine.models);
        }
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
