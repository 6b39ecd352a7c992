//! Pure state of an order service: the replayed table, the ledgers and the own orders under way.

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

/// How a record that this daemon appended was read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBack {
    /// The record is valid at this offset.
    Valid(LogOffset),
    /// The record has no effect.
    Fenced,
}

/// An own valid order that is not closed.
#[derive(Clone, Debug)]
struct OwnOrder {
    order: PlannedOrder,
    recorded_at: Instant,
    sent_at: Option<Instant>,
}

/// Why an order is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The order is closed.
    Closed,
    /// Memory or reachability no longer allow it.
    Unsafe,
}

/// Tokens for loads from the weight store, one per load.
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

/// Everything that a daemon knows about orders. It replays the `orders` stream, counts memory, and says which own
/// order may be sent now.
#[derive(Debug)]
pub struct OrderTracker {
    /// Incarnations under which this daemon has ordered. Their orders are its own, and no other process sends them.
    incarnations: HashSet<VmId>,
    table: OrderTable,
    /// Shared with a planning round while it runs; changes copy then.
    ledgers: HashMap<SmolStr, Arc<MemoryLedger>>,
    /// Own records whose appender still waits for them.
    awaited: HashSet<RecordId>,
    own_orders: BTreeMap<LogOffset, OwnOrder>,
    /// Fencing number under which this daemon's `Lead` was read back.
    leading_fence: Option<LogOffset>,
    /// Closed orders whose `Done` is not on the log yet.
    unlogged_done: Vec<LogOffset>,
    facts: Arc<FleetFacts>,
    moves: HashMap<OrderReason, u64>,
    load_bucket: LoadBucket,
    timing: LedgerTiming,
    report_max_age: Duration,
}

impl OrderTracker {
    /// Creates an empty tracker. A replica counts as present while a report is younger than
    /// `report_max_age`.
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

    /// Returns the ledger of `server`; one that the catalog does not declare has no capacity.
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

    /// Returns the ledgers of `servers` in their order, as they are now.
    pub fn ledgers_of(&mut self, servers: &[ServerFacts]) -> Vec<Arc<MemoryLedger>> {
        servers
            .iter()
            .map(|server| {
                self.ledger(&server.name);
                self.ledgers[&server.name].clone()
            })
            .collect()
    }

    /// Takes over the catalog's facts and drops ledgers of servers that are gone and have no open order.
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

    /// Notes that the own record `id` is about to be appended and will be awaited.
    pub fn expect_record(&mut self, id: RecordId) {
        self.awaited.insert(id);
    }

    /// Notes that nobody waits for the own record `id` any more. If it shows later, it is never sent.
    pub fn forget_expected(&mut self, id: RecordId) {
        self.awaited.remove(&id);
    }

    /// Applies one record of the stream. Returns how an awaited own record was read back.
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
        let (id, own) = (order.id, self.incarnations.contains(&order.planner));
        self.ledger(&order.server)
            .order_recorded(offset, order.planner, order.action.clone());
        if !own {
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
            self.stop_sending(offset);
        }
    }

    /// Notes that the own `Lead` of `fence` was read back, or that this daemon does not lead.
    pub fn set_leading_fence(&mut self, fence: Option<LogOffset>) {
        self.leading_fence = fence;
    }

    /// Returns the fencing number under which this daemon leads.
    pub fn leading_fence(&self) -> Option<LogOffset> {
        self.leading_fence
    }

    /// Returns the facts of the latest [`Self::declare`].
    pub fn facts(&self) -> Arc<FleetFacts> {
        self.facts.clone()
    }

    /// Returns the number of own orders that are not closed.
    pub fn own_open_count(&self) -> usize {
        self.own_orders.len()
    }

    /// Returns the planner fence under which an own open order was recorded.
    pub fn own_fence(&self, offset: LogOffset) -> Option<LogOffset> {
        self.own_orders
            .get(&offset)
            .map(|own| own.order.planner_fence)
    }

    /// Returns a closed order whose `Done` the stream does not show yet.
    pub fn unlogged_done(&self) -> Option<LogOffset> {
        self.unlogged_done.first().copied()
    }

    /// Notes that the `Done` of `order` was appended.
    pub fn note_done_logged(&mut self, order: LogOffset) {
        self.unlogged_done.retain(|closed| *closed != order);
    }

    /// Returns how many orders this daemon recorded, by reason.
    pub fn moves(&self) -> &HashMap<OrderReason, u64> {
        &self.moves
    }

    /// Counts a recorded order.
    pub fn count_move(&mut self, reason: OrderReason) {
        *self.moves.entry(reason).or_default() += 1;
    }

    /// Checks a proposal against the ledger as it is now and spends its budget.
    pub fn admit(
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

    /// Sends an own order no more.
    pub fn stop_sending(&mut self, offset: LogOffset) {
        if let Some(own) = self.own_orders.remove(&offset) {
            self.ledger(&own.order.server).own_order_closed(offset);
            self.unlogged_done.push(offset);
        }
    }

    /// Ends own orders of another fencing number than `fence`: they were recorded before this daemon was expired and
    /// are not sent again. An attempt that began before may still send its bytes, so they count as sent at `now`.
    pub fn stop_sending_former(&mut self, fence: LogOffset, now: Instant) {
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
            self.stop_sending(offset);
        }
    }

    /// Notes a load report and ends own orders whose effect it shows.
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
            .map(|(fence, _)| fence)
            .collect();
        for offset in seen {
            self.stop_sending(offset);
        }
    }

    /// Closes orders of former planners that `has_left` knows to be gone.
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

    /// Ends own orders that had no answer for `give_up_after`; returns those to send again.
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
            self.stop_sending(offset);
        }
        self.own_orders
            .iter()
            .filter(|(_, own)| own.sent_at.is_none_or(|at| now >= at + every))
            .map(|(offset, _)| *offset)
            .collect()
    }

    /// Checks an own order again and notes that it is being sent.
    ///
    /// Two planners cannot both remove the last two replicas of a model: each reads its own record back before it
    /// checks, so the later one in offset order finds the earlier unload in the other server's ledger.
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
            fence: offset.0,
            action: order.action,
        };
        Ok((engine_order, server))
    }

    /// Returns whether a reachable server other than `server` surely keeps a replica of `model`, or nobody
    /// declares the model any more.
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

    /// Notes the answer to an own order.
    pub fn note_answer(&mut self, offset: LogOffset, reply: OrderReply, now: Instant) {
        let Some(own) = self.own_orders.get(&offset) else {
            return;
        };
        let server = own.order.server.clone();
        if self.ledger(&server).order_answered(offset, reply, now) {
            self.stop_sending(offset);
        }
    }

    /// Returns the loads that the zone's share of the weight store and of the adapter limit allows now.
    ///
    /// The share is an equal split over the zones. A share below one load in flight is raised to one: a zone
    /// that could load nothing could not keep its models reachable.
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

    /// Counts open loads of weights and of adapters on the zone's servers.
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
