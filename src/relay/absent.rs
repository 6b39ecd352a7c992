//! Tracks models that no backend server holds and estimates when their load will be complete.
//!
//! A request whose wait limit ends before that is refused at once with `Retry-After` instead of waiting in vain.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Expected time from the first request for a model to the start of its load: one pulse, one planning round and one
/// order.
const LOAD_START_DELAY: Duration = Duration::from_millis(400);
/// Time after which the estimate starts again: a load that is not complete by then did not start when expected.
const MAX_ABSENCE: Duration = Duration::from_secs(20);

/// First request times of models that no server holds. Callers pass the current time.
#[derive(Debug, Default)]
pub struct AbsentModels {
    since: HashMap<SmolStr, Instant>,
}

impl AbsentModels {
    /// Creates a table without any model.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the estimated time until a server holds `model`, whose fastest load takes `load_time`. Zero if the load
    /// is overdue, as it may then complete at any moment.
    pub fn expected_wait(
        &mut self,
        model: &SmolStr,
        load_time: Duration,
        now: Instant,
    ) -> Duration {
        let since = self.since.entry(model.clone()).or_insert(now);
        if *since + MAX_ABSENCE < now {
            *since = now;
        }
        (*since + LOAD_START_DELAY + load_time).saturating_duration_since(now)
    }

    /// Records that a server holds `model`.
    pub fn note_present(&mut self, model: &SmolStr) {
        if !self.since.is_empty() {
            self.since.remove(model);
        }
    }
}
