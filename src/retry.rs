//! Retry budget of a VM, which limits retries to a fraction of the requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Retries that are available at the start, so that a VM with few requests can retry at all.
const INITIAL_RETRIES: i64 = 3;
/// Maximum number of retries in a budget, which limits the burst after a time without retries.
const RETRY_CAPACITY: i64 = 100;
/// The budget counts tenths of a retry: a request earns one and a retry costs ten.
const RETRY_COST_TENTHS: i64 = 10;

/// Allows retries for a fraction of the requests, plus a constant.
#[derive(Debug)]
pub struct RetryBudget {
    tenths: AtomicI64,
    /// Tenths of a retry that a request earns.
    earned_per_request: i64,
    /// Maximum number of tenths of a retry.
    capacity: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget of 10% of the requests that holds 3 retries at the start and 100 at most.
    pub fn new() -> Self {
        Self {
            tenths: AtomicI64::new(INITIAL_RETRIES * RETRY_COST_TENTHS),
            earned_per_request: 1,
            capacity: AtomicI64::new(RETRY_CAPACITY * RETRY_COST_TENTHS),
        }
    }

    /// Creates a budget of `percent` of the requests that starts with `retries` retries and holds at most as many. In
    /// any window it grants no more than `percent` of the requests in it plus `retries`.
    ///
    /// A request earns whole tenths of a retry, so `percent` is rounded down to a multiple of 10.
    pub fn bounded(percent: u32, retries: u32) -> Self {
        let capacity = i64::from(retries) * RETRY_COST_TENTHS;
        Self {
            tenths: AtomicI64::new(capacity),
            earned_per_request: i64::from(percent) / RETRY_COST_TENTHS,
            capacity: AtomicI64::new(capacity),
        }
    }

    /// Changes the maximum number of retries in the budget. Retries beyond it are lost.
    pub fn set_capacity(&self, retries: u32) {
        let capacity = i64::from(retries) * RETRY_COST_TENTHS;
        if self.capacity.swap(capacity, Ordering::Relaxed) > capacity {
            self.tenths.fetch_min(capacity, Ordering::Relaxed);
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn count_request(&self) {
        let capacity = self.capacity.load(Ordering::Relaxed);
        let earn = |tenths: i64| {
            (tenths < capacity).then_some((tenths + self.earned_per_request).min(capacity))
        };
        let _ = self
            .tenths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_retry(&self) -> bool {
        let spend =
            |tenths: i64| (tenths >= RETRY_COST_TENTHS).then_some(tenths - RETRY_COST_TENTHS);
        self.tenths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
