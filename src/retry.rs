//! Retry budget of a VM: retries are a bounded part of the requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Retries that may be sent although few requests came, so that a quiet VM can retry at all.
const FLOOR: i64 = 3;
/// Retries saved up at most, which bounds the burst after a quiet time.
const CEILING: i64 = 100;
/// The budget counts tenths of a retry: a request earns one and a retry costs ten.
const RETRY_COST: i64 = 10;

/// Allows retries for 10% of the requests, plus a small constant.
#[derive(Debug)]
pub struct RetryBudget {
    tenths: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget that holds the floor.
    pub fn new() -> Self {
        Self {
            tenths: AtomicI64::new(FLOOR * RETRY_COST),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn request(&self) {
        let earn = |tenths: i64| (tenths < CEILING * RETRY_COST).then_some(tenths + 1);
        let _ = self
            .tenths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_retry(&self) -> bool {
        let spend = |tenths: i64| (tenths >= RETRY_COST).then_some(tenths - RETRY_COST);
        self.tenths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
