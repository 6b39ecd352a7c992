//! Ledger of the accelerator memory of one backend server, without I/O.
//!
//! The ledger counts each item at the most memory that it may use: as shown by a load report, or as requested by a load
//! order that can still take effect. It relies on three bounds:
//!
//! - an order that was sent, and every copy of it, reaches the engine within [`LedgerTiming::order_delay`] or never;
//! - a report shows a state at most [`LedgerTiming::report_lag`] older than the time at which it was requested (the
//!   time of arrival proves nothing, since a process that was paused may read an old report late);
//! - a planner sends nothing after the `members` stream shows that it left or expired.
//!
//! An order is *open* while its planner may still send it. After it is closed, its memory stays reserved until a report
//! shows a state from which on no copy can arrive. An answer alone frees nothing: an engine that ignores fencing
//! numbers executes a late copy of a load even after the item was unloaded, and so does an engine that checks fencing
//! numbers but forgets the highest one when its process restarts.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::engine::{LoadReport, OrderAction, OrderReply, ResidentItem};
use crate::ids::{LogOffset, VmId};

/// Time bounds that a [`MemoryLedger`] relies on.
#[derive(Clone, Copy, Debug)]
pub struct LedgerTiming {
    /// Maximum time from sending an order until its last copy arrives.
    pub order_delay: Duration,
    /// Maximum time between the state that a report shows and the request for the report.
    pub report_lag: Duration,
    /// Whether an engine that checks fencing numbers still knows the highest one after a restart. Only then does an
    /// accepted order with a higher number release older closed orders early.
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
    /// Latest time at which it can have been sent, or `None` if it cannot have been sent.
    pub last_send: Option<Instant>,
    /// Whether a report has shown its effect.
    pub effect_seen: bool,
}

impl TrackedOrder {
    /// Returns the item that the order concerns.
    pub fn item(&self) -> &ResidentItem {
        match &self.action {
            OrderAction::Load { item, .. } | OrderAction::Unload { item } => item,
        }
    }

    /// Returns the memory that the order can take up, in bytes.
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
    /// Time of the request for the report. The reported state is at most [`LedgerTiming::report_lag`] older.
    asked_at: Instant,
    /// Time of arrival. The reported state is not newer.
    received_at: Instant,
    resident: HashMap<ResidentItem, u64>,
    loading: HashMap<ResidentItem, u64>,
}

/// Ledger of the memory of one backend server.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    capacity: u64,
    checks_fencing: bool,
    timing: LedgerTiming,
    /// Latest reports by incarnation. After a restart, the report of the former process counts until it is certain that
    /// it is not the newer one.
    reports: HashMap<u64, KnownReport>,
    orders: BTreeMap<LogOffset, TrackedOrder>,
    /// Highest fencing number that the engine accepted, and the time of its answer.
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

    /// Replaces the declared values and the timing. Orders and reports are kept.
    pub fn declare(&mut self, capacity: u64, checks_fencing: bool, timing: LedgerTiming) {
        self.capacity = capacity;
        self.checks_fencing = checks_fencing;
        self.timing = timing;
    }

    /// Returns the declared capacity in bytes.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the bytes that may be in use now, or by an order that can still take effect.
    pub fn committed(&self) -> u64 {
        self.worst_case().values().fold(0, |sum, bytes| {
            let sum: u64 = sum;
            sum.saturating_add(*bytes)
        })
    }

    /// Returns the bytes that a new item may use, which is 0 before the first report.
    pub fn free(&self) -> u64 {
        if self.reports.is_empty() {
            return 0;
        }
        self.capacity.saturating_sub(self.committed())
    }

    /// Returns whether a load of `item` with `bytes` may be ordered.
    ///
    /// It may not before the first report, without enough free memory, or while another order for the item is open or
    /// is an unload that can still take effect.
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

    /// Returns whether the committed bytes fit the capacity; `false` before the first report.
    pub fn fits_capacity(&self) -> bool {
        !self.reports.is_empty() && self.committed() <= self.capacity
    }

    /// Returns whether all reports that may be the newest show `item` in memory.
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

    /// Returns whether `item` is resident and no order can remove it.
    pub fn is_safe(&self, item: &ResidentItem) -> bool {
        self.is_resident(item) && !self.may_be_unloaded(item)
    }

    /// Returns the items that are certain to be resident, with their bytes.
    pub fn resident(&self) -> impl Iterator<Item = (&ResidentItem, u64)> {
        self.reports
            .values()
            .max_by_key(|report| report.asked_at)
            .into_iter()
            .flat_map(|report| report.resident.iter())
            .filter(|(item, _)| self.is_resident(item))
            .map(|(item, bytes)| (item, *bytes))
    }

    /// Returns the time at which the newest report was requested.
    pub fn asked_at(&self) -> Option<Instant> {
        self.reports.values().map(|report| report.asked_at).max()
    }

    /// Returns the orders that can still take effect, by fencing number.
    pub fn orders(&self) -> impl Iterator<Item = (LogOffset, &TrackedOrder)> {
        self.orders.iter().map(|(fence, order)| (*fence, order))
    }

    /// Returns the order with fencing number `fence` if it can still take effect.
    pub fn order(&self, fence: LogOffset) -> Option<&TrackedOrder> {
        self.orders.get(&fence)
    }

    /// Adds a valid order as soon as its record is read.
    ///
    /// An order of another planner may be sent at any time until it is closed.
    pub fn order_recorded(&mut self, fence: LogOffset, planner: VmId, action: OrderAction) {
        self.orders.entry(fence).or_insert(TrackedOrder {
            planner,
            action,
            open: true,
            last_send: None,
            effect_seen: false,
        });
    }

    /// Notes that this daemon is about to send an order. Must be called before the first byte is sent.
    pub fn order_sent(&mut self, fence: LogOffset, now: Instant) {
        if let Some(order) = self.orders.get_mut(&fence) {
            order.last_send = order.last_send.max(Some(now));
        }
    }

    /// Applies the engine's answer to an order of this daemon. Returns whether the order need not be sent again.
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

    /// Closes an order that is not sent after `last_send`.
    pub fn order_closed(&mut self, fence: LogOffset, last_send: Instant) {
        if let Some(order) = self.orders.get_mut(&fence)
            && order.open
        {
            order.open = false;
            order.last_send = order.last_send.max(Some(last_send));
        }
    }

    /// Closes an order of this daemon, whose sends are known from [`Self::order_sent`]. Drops it if it was never sent.
    pub fn own_order_closed(&mut self, fence: LogOffset) {
        let Some(order) = self.orders.get_mut(&fence) else {
            return;
        };
        order.open = false;
        if order.last_send.is_none() {
            self.orders.remove(&fence);
        }
    }

    /// Closes the orders of a planner that left or expired and sends nothing after `now`.
    pub fn former_planner_left(&mut self, planner: VmId, now: Instant) {
        for order in self.orders.values_mut() {
            if order.open && order.planner == planner {
                order.open = false;
                order.last_send = order.last_send.max(Some(now));
            }
        }
    }

    /// Applies a report that was requested at `asked_at` and arrived at `now`. Returns `false` if it is not newer than
    /// the latest report of the same incarnation.
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

    /// Drops closed orders of which no copy can take effect after the state that the newest report shows.
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
