//! Pure account of one backend server's accelerator memory.
//!
//! The ledger counts every item at the worst case of what may sit in memory: what a load report shows, or what
//! a load order can still bring. It rests on three bounds:
//!
//! - an order that was sent reaches the engine within [`LedgerTiming::order_delay`] or never, and so does every
//!   copy of it;
//! - a report shows a state at most [`LedgerTiming::report_lag`] older than the moment it was asked for (the
//!   moment of arrival proves nothing: a paused process reads an old report as if it were new);
//! - a planner sends nothing after the members stream says that it left or expired.
//!
//! A load order is *open* while its planner may still send it. Once closed, it stays reserved until a report
//! shows the server at a time when no copy can arrive any more. An engine that ignores fencing numbers executes
//! a late copy of a load even after the item was unloaded, so an answer alone frees nothing. The same holds for
//! an engine that checks fencing numbers but forgets the highest one when its process restarts.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::engine::{LoadReport, OrderAction, OrderReply, ResidentItem};
use crate::ids::{LogOffset, VmId};

/// Time bounds that a [`MemoryLedger`] relies on.
#[derive(Clone, Copy, Debug)]
pub struct LedgerTiming {
    /// Longest time from sending an order until its last copy arrives.
    pub order_delay: Duration,
    /// Longest time from the state that a report shows until the report was asked for.
    pub report_lag: Duration,
    /// Whether an engine that checks fencing numbers still knows the highest one after a restart. Only then
    /// does a newer accepted order end an older one early.
    pub fences_survive_restart: bool,
}

impl Default for LedgerTiming {
    fn default() -> Self {
        Self {
            order_delay: Duration::from_secs(60),
            report_lag: Duration::from_secs(10),
            fences_survive_restart: false,
        }
    }
}

/// An order that may still take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedOrder {
    /// Daemon that recorded the order as planner.
    pub planner: VmId,
    pub action: OrderAction,
    /// Whether its planner may still send it.
    pub open: bool,
    /// Latest time at which it can have been sent, if it can have been sent at all.
    pub last_send: Option<Instant>,
    /// Whether a report showed its effect.
    pub effect_seen: bool,
}

impl TrackedOrder {
    /// Returns the item that the order concerns.
    pub fn item(&self) -> &ResidentItem {
        match &self.action {
            OrderAction::Load { item, .. } | OrderAction::Unload { item } => item,
        }
    }

    /// Returns the bytes that the order can take.
    pub fn bytes(&self) -> u64 {
        match &self.action {
            OrderAction::Load { bytes, .. } => *bytes,
            OrderAction::Unload { .. } => 0,
        }
    }

    fn is_load(&self) -> bool {
        matches!(self.action, OrderAction::Load { .. })
    }
}

/// Latest report of one engine process.
#[derive(Clone, Debug)]
struct KnownReport {
    sequence: u64,
    /// When the report was asked for: its state is at most the lag older.
    asked_at: Instant,
    /// When it arrived: its state is not newer.
    received_at: Instant,
    resident: HashMap<ResidentItem, u64>,
    loading: HashMap<ResidentItem, u64>,
}

/// Account of one backend server's memory.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    capacity: u64,
    checks_fencing: bool,
    timing: LedgerTiming,
    /// Reports by incarnation. After a restart the old one counts until it cannot be the newer one.
    reports: HashMap<u64, KnownReport>,
    orders: BTreeMap<LogOffset, TrackedOrder>,
    /// Highest fencing number that the engine accepted, and when its answer came.
    accepted: Option<(LogOffset, Instant)>,
}

impl MemoryLedger {
    /// Creates the ledger of a server with `capacity` bytes.
    pub fn new(capacity: u64, checks_fencing: bool, timing: LedgerTiming) -> Self {
        Self {
            capacity,
            checks_fencing,
            timing,
            reports: HashMap::new(),
            orders: BTreeMap::new(),
            accepted: None,
        }
    }

    /// Changes what the catalog declares; open orders and reports stay.
    pub fn declare(&mut self, capacity: u64, checks_fencing: bool, timing: LedgerTiming) {
        self.capacity = capacity;
        self.checks_fencing = checks_fencing;
        self.timing = timing;
    }

    /// Returns the declared capacity in bytes.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the bytes that may be in use, now or by an order that can still take effect.
    pub fn committed(&self) -> u64 {
        self.worst_case().values().fold(0, |sum, bytes| {
            let sum: u64 = sum;
            sum.saturating_add(*bytes)
        })
    }

    /// Returns the bytes that a new item may take; 0 before the first report.
    pub fn free(&self) -> u64 {
        if self.reports.is_empty() {
            return 0;
        }
        self.capacity.saturating_sub(self.committed())
    }

    /// Returns whether `item` of `bytes` may be ordered.
    ///
    /// It may not while another order for the item can still take effect as an unload, or is open.
    pub fn may_load(&self, item: &ResidentItem, bytes: u64) -> bool {
        if self.reports.is_empty() {
            return false;
        }
        let conflict = self
            .orders
            .values()
            .any(|order| order.item() == item && (order.open || !order.is_load()));
        if conflict {
            return false;
        }
        let counted = self.counted_bytes(item);
        let extra = bytes.saturating_sub(counted);
        self.committed().saturating_add(extra) <= self.capacity
    }

    /// Returns whether an unload of `item` may be ordered: it is resident and no open order concerns it.
    pub fn may_unload(&self, item: &ResidentItem) -> bool {
        self.is_resident(item)
            && !self
                .orders
                .values()
                .any(|order| order.open && order.item() == item)
    }

    /// Returns whether the account still fits the capacity.
    pub fn fits_capacity(&self) -> bool {
        !self.reports.is_empty() && self.committed() <= self.capacity
    }

    /// Returns whether every report that may be the newest shows `item` in memory.
    pub fn is_resident(&self, item: &ResidentItem) -> bool {
        !self.reports.is_empty()
            && self
                .reports
                .values()
                .all(|report| report.resident.contains_key(item))
    }

    /// Returns whether an unload of `item` can still take effect.
    pub fn may_be_unloaded(&self, item: &ResidentItem) -> bool {
        self.orders
            .values()
            .any(|order| !order.is_load() && order.item() == item)
    }

    /// Returns whether `item` is resident and nothing ordered can remove it.
    pub fn is_safe(&self, item: &ResidentItem) -> bool {
        self.is_resident(item) && !self.may_be_unloaded(item)
    }

    /// Returns the items that are surely resident.
    pub fn resident(&self) -> impl Iterator<Item = (&ResidentItem, u64)> {
        self.reports
            .values()
            .max_by_key(|report| report.asked_at)
            .into_iter()
            .flat_map(|report| report.resident.iter())
            .filter(|(item, _)| self.is_resident(item))
            .map(|(item, bytes)| (item, *bytes))
    }

    /// Returns when the newest report was asked for.
    pub fn asked_at(&self) -> Option<Instant> {
        self.reports.values().map(|report| report.asked_at).max()
    }

    /// Returns the orders that can still take effect, by fencing number.
    pub fn orders(&self) -> impl Iterator<Item = (LogOffset, &TrackedOrder)> {
        self.orders.iter().map(|(fence, order)| (*fence, order))
    }

    /// Returns one order that can still take effect.
    pub fn order(&self, fence: LogOffset) -> Option<&TrackedOrder> {
        self.orders.get(&fence)
    }

    /// Counts a valid order from its record on.
    ///
    /// The order of another planner may be sent at any time until it is closed.
    pub fn order_recorded(&mut self, fence: LogOffset, planner: VmId, action: OrderAction) {
        self.orders.entry(fence).or_insert(TrackedOrder {
            planner,
            action,
            open: true,
            last_send: None,
            effect_seen: false,
        });
    }

    /// Notes that this daemon is about to send an order. Call it before the first byte leaves.
    pub fn order_sent(&mut self, fence: LogOffset, now: Instant) {
        if let Some(order) = self.orders.get_mut(&fence) {
            order.last_send = order.last_send.max(Some(now));
        }
    }

    /// Notes the engine's answer to an own order. Returns whether the order needs no further attempt.
    pub fn order_answered(&mut self, fence: LogOffset, reply: OrderReply, now: Instant) -> bool {
        let accepted = matches!(reply, OrderReply::Done | OrderReply::Started);
        if accepted && self.accepted.is_none_or(|(highest, _)| highest < fence) {
            self.accepted = Some((fence, now));
        }
        let Some(order) = self.orders.get_mut(&fence) else {
            return true;
        };
        if reply != OrderReply::Started {
            order.open = false;
        }
        !order.open
    }

    /// Notes that an order is not sent after `last_send` any more.
    pub fn order_closed(&mut self, fence: LogOffset, last_send: Instant) {
        if let Some(order) = self.orders.get_mut(&fence)
            && order.open
        {
            order.open = false;
            order.last_send = order.last_send.max(Some(last_send));
        }
    }

    /// Notes that this daemon sends an own order no more; its attempts are known from [`Self::order_sent`].
    pub fn own_order_closed(&mut self, fence: LogOffset) {
        let Some(order) = self.orders.get_mut(&fence) else {
            return;
        };
        order.open = false;
        if order.last_send.is_none() {
            self.orders.remove(&fence);
        }
    }

    /// Notes that `planner` left or expired; it sends nothing after `now`.
    pub fn former_planner_left(&mut self, planner: VmId, now: Instant) {
        for order in self.orders.values_mut() {
            if order.open && order.planner == planner {
                order.open = false;
                order.last_send = order.last_send.max(Some(now));
            }
        }
    }

    /// Notes a report that was asked for at `asked_at` and arrived at `now`. Returns `false` if it is older than
    /// one seen before.
    pub fn apply_report(&mut self, report: &LoadReport, asked_at: Instant, now: Instant) -> bool {
        let known = self.reports.get(&report.incarnation);
        if known.is_some_and(|known| known.sequence >= report.sequence) {
            return false;
        }
        self.reports.insert(
            report.incarnation,
            KnownReport {
                sequence: report.sequence,
                asked_at,
                received_at: now,
                resident: report.resident.iter().cloned().collect(),
                loading: report.loading.iter().cloned().collect(),
            },
        );
        let lag = self.timing.report_lag;
        self.reports.retain(|incarnation, seen| {
            *incarnation == report.incarnation || asked_at < seen.received_at + lag
        });
        self.mark_effects_seen(report.incarnation);
        self.drop_delivered(asked_at);
        true
    }

    fn mark_effects_seen(&mut self, incarnation: u64) {
        let Some(report) = self.reports.get(&incarnation) else {
            return;
        };
        for order in self.orders.values_mut() {
            let resident = report.resident.contains_key(order.item());
            if order.last_send.is_some() && resident == order.is_load() {
                order.effect_seen = true;
            }
        }
    }

    /// Drops closed orders of which no copy can arrive after the state that the newest report shows.
    fn drop_delivered(&mut self, asked_at: Instant) {
        let timing = self.timing;
        let fenced_below = self
            .accepted
            .filter(|_| self.checks_fencing && timing.fences_survive_restart)
            .filter(|(_, answered)| asked_at >= *answered + timing.report_lag)
            .map(|(fence, _)| fence);
        self.orders.retain(|fence, order| {
            if order.open {
                return true;
            }
            let delivered = order
                .last_send
                .is_none_or(|sent| asked_at >= sent + timing.order_delay + timing.report_lag);
            let fenced = fenced_below.is_some_and(|accepted| *fence < accepted);
            !delivered && !fenced
        });
    }

    fn counted_bytes(&self, item: &ResidentItem) -> u64 {
        let reported = self.reports.values().flat_map(|report| {
            let resident = report.resident.get(item);
            resident.into_iter().chain(report.loading.get(item))
        });
        let ordered = self
            .orders
            .values()
            .filter(|order| order.item() == item)
            .map(TrackedOrder::bytes);
        reported.copied().chain(ordered).max().unwrap_or(0)
    }

    fn worst_case(&self) -> HashMap<&ResidentItem, u64> {
        let mut items: HashMap<&ResidentItem, u64> = HashMap::new();
        let reported = self
            .reports
            .values()
            .flat_map(|report| report.resident.iter().chain(&report.loading))
            .map(|(item, bytes)| (item, *bytes));
        let ordered = self
            .orders
            .values()
            .filter(|order| order.is_load())
            .map(|order| (order.item(), order.bytes()));
        for (item, bytes) in reported.chain(ordered) {
            let worst = items.entry(item).or_default();
            *worst = bytes.max(*worst);
        }
        items
    }
}
