//! State of an order service without I/O: the replayed orders, the memory ledgers, and this daemon's own open orders.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::engine::{EngineOrder, LoadReport, OrderAction, OrderReply};
use crate::ids::{LogOffset, RecordId, VmId};
use crate::ledger::{LedgerTiming, MemoryLedger};
use crate::placement::{
    FleetFacts, LoadBudget, OrderEffect, OrderReason, OrderRecord, OrderTable, PlannedOrder,
    PlannerFence, ProposedOrder, ServerFacts,
};

/// Result of reading back a record that this daemon appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBack {
    /// The record is valid at this offset.
    Valid(LogOffset),
    /// A newer planner leads the zone, so the record has no effect.
    Fenced,
}

/// A valid open order of this daemon.
#[derive(Clone, Debug)]
struct OwnOrder {
    order: PlannedOrder,
    recorded_at: Instant,
    sent_at: Option<Instant>,
}

/// Why an order must not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The order is closed.
    Closed,
    /// The server is leaving or undeclared, memory is overcommitted, or the model would lose its last replica.
    Unsafe,
}

/// Token bucket that limits loads from the weight store; a load costs one token.
#[derive(Debug, Default)]
struct LoadBucket {
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl LoadBucket {
    fn refill(&mut self, per_s: f64, burst: f64, now: Instant) {
        let since = self
            .refilled_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + per_s * since.as_secs_f64()).min(burst);
    }
}

/// State of all orders as known to one daemon.
///
/// It replays the `orders` stream, keeps the memory ledgers, and decides which of the daemon's own orders may be sent.
#[derive(Debug)]
pub struct OrderTracker {
    /// Incarnations under which this daemon has recorded orders. No other process sends the orders of these.
    incarnations: HashSet<VmId>,
    table: OrderTable,
    /// Shared with a planning round while it runs, during which a change copies the ledger.
    ledgers: HashMap<SmolStr, Arc<MemoryLedger>>,
    /// This daemon's appended records that a task still waits to read back.
    awaited: HashSet<RecordId>,
    own_orders: BTreeMap<LogOffset, OwnOrder>,
    /// Fencing number of this daemon's `Lead` record once that has been read back.
    leading_fence: Option<LogOffset>,
    /// Closed orders whose `Done` record is not on the log yet.
    unlogged_done: Vec<LogOffset>,
    facts: Arc<FleetFacts>,
    moves: HashMap<OrderReason, u64>,
    load_bucket: LoadBucket,
    timing: LedgerTiming,
    report_max_age: Duration,
}

impl OrderTracker {
    /// Creates an empty tracker. A load report proves that a replica is present until it is `report_max_age` old.
    pub fn new(timing: LedgerTiming, report_max_age: Duration) -> Self {
        Self {
            incarnations: HashSet::new(),
            table: OrderTable::new(),
            ledgers: HashMap::new(),
            awaited: HashSet::new(),
            own_orders: BTreeMap::new(),
            leading_fence: None,
            unlogged_done: Vec::new(),
            facts: Arc::default(),
            moves: HashMap::new(),
            load_bucket: LoadBucket::default(),
            timing,
            report_max_age,
        }
    }

    /// Returns the ledger of `server`, with capacity 0 if the catalog does not declare the server.
    fn ledger(&mut self, server: &SmolStr) -> &mut MemoryLedger {
        let timing = self.timing;
        let ledger = self
            .ledgers
            .entry(server.clone())
            .or_insert_with(|| Arc::new(MemoryLedger::new(0, false, timing)));
        Arc::make_mut(ledger)
    }

    /// Returns the ledgers by server name.
    pub fn ledgers(&self) -> impl Iterator<Item = (&SmolStr, &MemoryLedger)> {
        self.ledgers.iter().map(|(name, ledger)| (name, &**ledger))
    }

    /// Returns the current ledgers of `servers`, in the same order.
    pub fn ledgers_of(&mut self, servers: &[ServerFacts]) -> Vec<Arc<MemoryLedger>> {
        servers
            .iter()
            .map(|server| {
                self.ledger(&server.name);
                self.ledgers[&server.name].clone()
            })
            .collect()
    }

    /// Replaces the facts, and drops the ledgers of undeclared servers without orders that can still take effect.
    pub fn declare(&mut self, facts: Arc<FleetFacts>) {
        self.timing.order_delay = facts.policy.order_delay;
        let timing = self.timing;
        for server in &facts.servers {
            self.ledger(&server.name)
                .declare(server.memory_bytes, server.checks_fencing, timing);
        }
        let declared: HashSet<&SmolStr> = facts.servers.iter().map(|server| &server.name).collect();
        self.ledgers
            .retain(|name, ledger| declared.contains(name) || ledger.orders().next().is_some());
        self.facts = facts;
    }

    /// Returns the next offset to apply.
    pub fn next(&self) -> LogOffset {
        self.table.next()
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: LogOffset) {
        self.table.skip(offset);
    }

    /// Registers the record `id` that this daemon is about to append and will wait for.
    pub fn expect_record(&mut self, id: RecordId) {
        self.awaited.insert(id);
    }

    /// Stops waiting for the record `id`. If the record appears later, its order is closed without being sent.
    pub fn forget_expected(&mut self, id: RecordId) {
        self.awaited.remove(&id);
    }

    /// Applies one record of the stream. Returns the result for a record of this daemon that is awaited.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &OrderRecord,
        now: Instant,
    ) -> Option<(RecordId, ReadBack)> {
        let (id, read_back) = match self.table.apply(offset, record) {
            OrderEffect::Valid(order) => {
                let id = order.id;
                self.add_order(offset, order, now);
                (id, ReadBack::Valid(offset))
            }
            OrderEffect::Fenced { id } => (id, ReadBack::Fenced),
            OrderEffect::Leads { id } => (id, ReadBack::Valid(offset)),
            OrderEffect::Closed { order, server } => {
                self.unlogged_done.retain(|closed| *closed != order);
                self.ledger(&server).order_closed(order, now);
                return None;
            }
            OrderEffect::Nothing => return None,
        };
        self.awaited.remove(&id).then_some((id, read_back))
    }

    fn add_order(&mut self, offset: LogOffset, order: PlannedOrder, now: Instant) {
        let (id, is_own) = (order.id, self.incarnations.contains(&order.planner));
        self.ledger(&order.server)
            .order_recorded(offset, order.planner, order.action.clone());
        if !is_own {
            return;
        }
        self.own_orders.insert(
            offset,
            OwnOrder {
                order,
                recorded_at: now,
                sent_at: None,
            },
        );
        if !self.awaited.contains(&id) {
            self.close_order(offset);
        }
    }

    /// Sets the fencing number once the `Lead` record has been read back; `None` if this daemon does not lead.
    pub fn set_leading_fence(&mut self, fence: Option<LogOffset>) {
        self.leading_fence = fence;
    }

    /// Returns the fencing number under which this daemon leads its zone.
    pub fn leading_fence(&self) -> Option<LogOffset> {
        self.leading_fence
    }

    /// Returns the facts of the latest [`Self::declare`].
    pub fn facts(&self) -> Arc<FleetFacts> {
        self.facts.clone()
    }

    /// Returns the number of this daemon's open orders.
    pub fn own_open_count(&self) -> usize {
        self.own_orders.len()
    }

    /// Returns the planner's fencing number under which this daemon recorded an open order.
    pub fn own_fence(&self, offset: LogOffset) -> Option<LogOffset> {
        self.own_orders
            .get(&offset)
            .map(|own| own.order.planner_fence)
    }

    /// Returns a closed order whose `Done` record is not on the stream yet.
    pub fn unlogged_done(&self) -> Option<LogOffset> {
        self.unlogged_done.first().copied()
    }

    /// Notes that the `Done` record of `order` was appended.
    pub fn note_done_logged(&mut self, order: LogOffset) {
        self.unlogged_done.retain(|closed| *closed != order);
    }

    /// Returns the number of orders that this daemon recorded, by reason.
    pub fn moves(&self) -> &HashMap<OrderReason, u64> {
        &self.moves
    }

    /// Counts a recorded order.
    pub fn count_move(&mut self, reason: OrderReason) {
        *self.moves.entry(reason).or_default() += 1;
    }

    /// Checks a proposal against the current ledger and takes its load token. Returns the order to record, or `None` if
    /// the proposal is not allowed.
    pub fn accept_proposal(
        &mut self,
        planner: &PlannerFence,
        proposed: &ProposedOrder,
    ) -> Option<PlannedOrder> {
        let server = self.facts.servers.get(proposed.server)?.clone();
        let ledger = self.ledger(&server.name);
        let allowed = server.zone == planner.zone
            && match &proposed.action {
                OrderAction::Load { item, bytes } => ledger.may_load(item, *bytes),
                OrderAction::Unload { item } => ledger.may_unload(item),
            };
        if !allowed {
            return None;
        }
        if matches!(&proposed.action, OrderAction::Load { item, .. } if item.adapter.is_none()) {
            self.load_bucket.tokens = (self.load_bucket.tokens - 1.0).max(0.0);
        }
        self.incarnations.insert(planner.vm);
        Some(PlannedOrder {
            id: RecordId::random(),
            zone: planner.zone.clone(),
            planner_fence: planner.fence,
            planner: planner.vm,
            server: server.name,
            action: proposed.action.clone(),
        })
    }

    /// Closes an order of this daemon, also after success: it is not sent again, and its `Done` record is due.
    pub fn close_order(&mut self, offset: LogOffset) {
        if let Some(own) = self.own_orders.remove(&offset) {
            self.ledger(&own.order.server).own_order_closed(offset);
            self.unlogged_done.push(offset);
        }
    }

    /// Closes this daemon's orders that were recorded under other fencing numbers of the planner than `fence`.
    ///
    /// They were recorded before this daemon was expired as a member. A send that began before then may still deliver
    /// its bytes, so such an order counts as sent at `now`.
    pub fn close_outdated_orders(&mut self, fence: LogOffset, now: Instant) {
        let former: Vec<(LogOffset, OwnOrder)> = self
            .own_orders
            .iter()
            .filter(|(_, own)| own.order.planner_fence != fence)
            .map(|(offset, own)| (*offset, own.clone()))
            .collect();
        for (offset, own) in former {
            if own.sent_at.is_some() {
                self.ledger(&own.order.server).order_sent(offset, now);
            }
            self.close_order(offset);
        }
    }

    /// Applies a load report and closes this daemon's orders whose effect it shows.
    pub fn note_report(
        &mut self,
        server: &SmolStr,
        report: &LoadReport,
        asked_at: Instant,
        now: Instant,
    ) {
        let ledger = self.ledger(server);
        if !ledger.apply_report(report, asked_at, now) {
            return;
        }
        let seen: Vec<LogOffset> = ledger
            .orders()
            .filter(|(_, order)| order.effect_seen)
            .map(|(offset, _)| offset)
            .collect();
        for offset in seen {
            self.close_order(offset);
        }
    }

    /// Closes the orders of other planners for which `has_left` returns true.
    pub fn close_former_orders(&mut self, has_left: impl Fn(VmId) -> bool, now: Instant) {
        let own = &self.incarnations;
        for ledger in self.ledgers.values_mut() {
            if ledger.orders().next().is_none() {
                continue;
            }
            let ledger = Arc::make_mut(ledger);
            let former: HashSet<VmId> = ledger
                .orders()
                .filter(|(_, order)| order.open && !own.contains(&order.planner))
                .map(|(_, order)| order.planner)
                .collect();
            for planner in former.into_iter().filter(|planner| has_left(*planner)) {
                ledger.former_planner_left(planner, now);
            }
        }
    }

    /// Closes this daemon's orders that are older than `give_up_after`. Returns those that were never sent or were last
    /// sent at least `every` ago.
    pub fn orders_to_send(
        &mut self,
        every: Duration,
        give_up_after: Duration,
        now: Instant,
    ) -> Vec<LogOffset> {
        let old: Vec<LogOffset> = self
            .own_orders
            .iter()
            .filter(|(_, own)| now >= own.recorded_at + give_up_after)
            .map(|(offset, _)| *offset)
            .collect();
        for offset in old {
            self.close_order(offset);
        }
        self.own_orders
            .iter()
            .filter(|(_, own)| own.sent_at.is_none_or(|at| now >= at + every))
            .map(|(offset, _)| *offset)
            .collect()
    }

    /// Checks again whether an order of this daemon is safe, and notes that it is being sent.
    ///
    /// Two planners cannot remove the last two replicas of a model at the same time: each reads its record back before
    /// this check, so the one with the higher offset finds the other's unload in the ledger.
    ///
    /// # Errors
    ///
    /// The reason why the order must not be sent.
    pub fn begin_send(
        &mut self,
        offset: LogOffset,
        keep_last: bool,
        now: Instant,
    ) -> Result<(EngineOrder, ServerFacts), SendRefusal> {
        let own = self.own_orders.get(&offset).ok_or(SendRefusal::Closed)?;
        let order = own.order.clone();
        let server = self
            .facts
            .servers
            .iter()
            .find(|server| server.name == order.server)
            .cloned()
            .ok_or(SendRefusal::Unsafe)?;
        let allowed = match &order.action {
            OrderAction::Load { .. } => {
                !server.leaving && self.ledger(&order.server).fits_capacity()
            }
            OrderAction::Unload { item } if item.adapter.is_none() && keep_last => {
                self.served_elsewhere(&item.model, &order.server, now)
            }
            OrderAction::Unload { .. } => true,
        };
        if !allowed {
            return Err(SendRefusal::Unsafe);
        }
        self.ledger(&order.server).order_sent(offset, now);
        if let Some(own) = self.own_orders.get_mut(&offset) {
            own.sent_at = Some(now);
        }
        let engine_order = EngineOrder {
            // Engines compare orders by their offsets, not by `PlannerFence::fence`.
            fence: offset.0,
            action: order.action,
        };
        Ok((engine_order, server))
    }

    /// Returns whether a reachable server other than `server` has a safe replica of `model`, or the model is no longer
    /// declared.
    fn served_elsewhere(&self, model: &SmolStr, server: &SmolStr, now: Instant) -> bool {
        let models = &self.facts.models;
        if !models.is_empty() && models.iter().all(|known| known.name != *model) {
            return true;
        }
        self.facts.servers.iter().any(|other| {
            if other.name == *server || other.leaving || !other.reachable {
                return false;
            }
            let Some(ledger) = self.ledgers.get(&other.name) else {
                return false;
            };
            let fresh = ledger
                .asked_at()
                .is_some_and(|at| now < at + self.report_max_age);
            fresh
                && ledger.resident().any(|(item, _)| {
                    item.model == *model && item.adapter.is_none() && ledger.is_safe(item)
                })
        })
    }

    /// Applies an engine's answer to an order of this daemon.
    pub fn note_answer(&mut self, offset: LogOffset, reply: OrderReply, now: Instant) {
        let Some(own) = self.own_orders.get(&offset) else {
            return;
        };
        let server = own.order.server.clone();
        if self.ledger(&server).order_answered(offset, reply, now) {
            self.close_order(offset);
        }
    }

    /// Returns how many loads the zone's share of the weight-store limit and of the adapter limit allows now.
    ///
    /// Each zone gets an equal share, but at least one load in flight: without any load, a zone could not keep its
    /// models reachable.
    pub fn budget(&mut self, zone: &SmolStr, now: Instant) -> LoadBudget {
        let facts = self.facts.clone();
        let zones = facts.zones.max(1);
        let in_flight = (facts.policy.loads_in_flight / zones).max(1);
        let adapters_in_flight = (facts.policy.adapters_in_flight / zones).max(1);
        let per_s = f64::from(facts.policy.loads_per_s_milli) / 1_000.0 / f64::from(zones);
        self.load_bucket.refill(per_s, f64::from(in_flight), now);
        let (models, adapters) = self.loads_in_flight(&facts, zone);
        LoadBudget {
            models: in_flight
                .saturating_sub(models)
                .min(self.load_bucket.tokens as u32),
            adapters: adapters_in_flight.saturating_sub(adapters),
        }
    }

    /// Counts open loads of model weights and of adapters on the zone's servers.
    fn loads_in_flight(&self, facts: &FleetFacts, zone: &SmolStr) -> (u32, u32) {
        let (mut models, mut adapters) = (0, 0);
        let servers = facts.servers.iter().filter(|server| server.zone == *zone);
        for ledger in servers.filter_map(|server| self.ledgers.get(&server.name)) {
            for (_, order) in ledger.orders() {
                match &order.action {
                    OrderAction::Load { item, .. } if order.open && !order.effect_seen => {
                        *if item.adapter.is_some() {
                            &mut adapters
                        } else {
                            &mut models
                        } += 1;
                    }
                    _ => {}
                }
            }
        }
        (models, adapters)
    }
}
