//! Budget of loads from the weight store, over all engines and all holders of the planner's lease. Performs no I/O; the
//! time is an argument.
//!
//! The budget is a token bucket that is empty when a planner takes over, so that consecutive holders of the lease stay
//! within one ceiling although none knows the loads of its predecessor. A load takes its token when it is known to have
//! begun, and reserves one from its order until then, because an order without an answer may begin its load late.
//!
//! A window that contains hand-overs holds at most the burst of the first holder plus the rate: the tokens of that
//! holder cover its open orders too. Orders that the predecessor left open may begin up to [`MAX_ORDER_DELAY`] later.
//! They are unknown but no more than its burst, so both planners divide the ceiling for that time: the successor's burst
//! is smaller at first, and both bursts together stay within the ceiling.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Longest time after which an order without an answer may still be carried out.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);

/// Largest number of loads from the weight store that may begin in any window of a given length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCeiling {
    /// Length of the window.
    pub window: Duration,
    /// Factor on the rate of the weight store.
    pub over: f64,
    /// Loads beyond the rate times that factor.
    pub extra: f64,
}

impl LoadCeiling {
    /// The platform's ceiling.
    pub const PLATFORM: Self = Self {
        window: Duration::from_secs(5),
        over: 1.1,
        extra: 3.0,
    };

    /// Returns the largest number of loads in a window at a rate in loads per second.
    pub fn max_loads(&self, rate: f64) -> f64 {
        rate * self.window.as_secs_f64() * self.over + self.extra
    }

    /// Returns the tokens per second at a rate in loads per second: half of what a window may hold. The other half is
    /// left for bursts, as a loss of engines needs several loads at once.
    fn fill_rate(&self, rate: f64) -> f64 {
        self.max_loads(rate) / 2.0 / self.window.as_secs_f64()
    }

    /// Returns the burst of a planner whose predecessor may have open orders, and that of any other planner. Their sum is
    /// what a window may hold beyond the fill rate. Both are at least 1, as nothing could be loaded otherwise.
    fn bursts(&self, rate: f64) -> (f64, f64) {
        let sum = self.max_loads(rate) / 2.0;
        let first = (sum / 2.0).floor().max(1.0);
        (first, (sum - first).max(1.0))
    }
}

/// An order to an engine. Of several orders with the same key, at most one is carried out, because the engine checks
/// its number of accepted orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderKey {
    pub server: SmolStr,
    /// Unix time of the engine's start, in milliseconds.
    pub born_ms: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
}

/// How many loads from the weight store a planner may order.
#[derive(Debug)]
pub struct LoadBudget {
    ceiling: LoadCeiling,
    /// Loads that may begin, including those of open orders. Negative only if open orders of an earlier lease begin.
    tokens: f64,
    filled_at: Option<Instant>,
    /// When all orders of previous planners have been carried out or never will be.
    inherited_until: Option<Instant>,
    /// Orders that may begin a load, with the time after which a copy without an answer can no longer do so.
    open_loads: HashMap<OrderKey, Option<Instant>>,
}

impl LoadBudget {
    /// Creates a budget from which nothing may be ordered before [`Self::take_over`].
    pub fn new(ceiling: LoadCeiling) -> Self {
        Self {
            ceiling,
            tokens: 0.0,
            filled_at: None,
            inherited_until: None,
            open_loads: HashMap::new(),
        }
    }

    /// Starts a new lease: another planner may have used all that this one knows to be left.
    pub fn take_over(&mut self, now: Instant) {
        self.tokens = self.tokens.min(0.0);
        self.filled_at = Some(now);
        self.inherited_until = Some(now + MAX_ORDER_DELAY);
    }

    /// Adds the tokens since the last call at `rate` loads per second.
    pub fn fill(&mut self, rate: f64, now: Instant) {
        let Some(filled_at) = &mut self.filled_at else {
            return;
        };
        let passed = now.saturating_duration_since(*filled_at);
        *filled_at = now.max(*filled_at);
        let inherits = self.inherited_until.is_some_and(|until| until > now);
        let (first, later) = self.ceiling.bursts(rate);
        let burst = match inherits {
            true => first,
            false => later,
        };
        let filled = self.ceiling.fill_rate(rate) * passed.as_secs_f64();
        self.tokens = (self.tokens + filled).min(burst);
        // A lapsed order may have begun its load unnoticed.
        let open = self.open_loads.len();
        self.open_loads
            .retain(|_, until| until.is_none_or(|until| until > now));
        self.tokens -= (open - self.open_loads.len()) as f64;
    }

    /// Returns how many more loads may be ordered.
    pub fn available(&self) -> usize {
        (self.tokens - self.open_loads.len() as f64).max(0.0) as usize
    }

    /// Reserves a token for the load of an order that is about to be sent.
    pub fn open(&mut self, key: OrderKey) {
        self.open_loads.entry(key).or_default();
    }

    /// Takes the token of a load that has begun.
    pub fn note_begun(&mut self, key: &OrderKey) {
        if self.open_loads.remove(key).is_some() {
            self.tokens -= 1.0;
        }
    }

    /// Notes that a copy of the order had no answer: it may begin the load later.
    pub fn note_unanswered(&mut self, key: &OrderKey, now: Instant) {
        if let Some(until) = self.open_loads.get_mut(key) {
            *until = Some(now + MAX_ORDER_DELAY);
        }
    }

    /// Notes that a copy of the order was not sent or was refused. The load stays open if another copy had no answer.
    pub fn note_refused(&mut self, key: &OrderKey) {
        if self.open_loads.get(key) == Some(&None) {
            self.open_loads.remove(key);
        }
    }

    /// Notes that the item of a load was already present.
    pub fn note_already_done(&mut self, key: &OrderKey) {
        match self.open_loads.get(key) {
            // The item may be there because the copy without an answer was carried out.
            Some(Some(_)) => self.note_begun(key),
            _ => self.note_refused(key),
        }
    }

    /// Notes that another order with the same key was accepted, so that the load never begins.
    pub fn note_superseded(&mut self, key: &OrderKey) {
        self.open_loads.remove(key);
    }

    /// Notes the number of orders that an engine has accepted. An open load of a lower number has begun or never will.
    pub fn note_accepted_orders(&mut self, server: &str, orders: u64) {
        let open = self.open_loads.len();
        self.open_loads
            .retain(|key, _| key.server != server || key.expected_orders >= orders);
        self.tokens -= (open - self.open_loads.len()) as f64;
    }
}

impl Default for LoadBudget {
    fn default() -> Self {
        Self::new(LoadCeiling::PLATFORM)
    }
}
