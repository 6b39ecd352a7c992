//! Models that no backend server holds, and when one is likely to hold them.
//!
//! A caller whose patience ends before that is told at once when to come back, instead of being kept for nothing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Time from the first request for a model to the start of its load: a pulse, a round of the planner, an order.
const LOAD_START_DELAY: Duration = Duration::from_millis(400);
/// Time after which a model counts as absent anew: a load that has not come by then did not start when it was expected.
const MAX_ABSENCE: Duration = Duration::from_secs(20);

/// When models were first asked for that no server holds; pure, with the time as an argument.
#[derive(Debug, Default)]
pub struct AbsentModels {
    since: HashMap<SmolStr, Instant>,
}

impl AbsentModels {
    /// Creates a table without any model.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how long it probably takes until a server holds `model`, whose fastest load takes `load`. Zero if it is
    /// overdue: nothing better is known then than to wait.
    pub fn expected_wait(&mut self, model: &SmolStr, load: Duration, now: Instant) -> Duration {
        let since = self.since.entry(model.clone()).or_insert(now);
        if *since + MAX_ABSENCE < now {
            *since = now;
        }
        (*since + LOAD_START_DELAY + load).saturating_duration_since(now)
    }

    /// Notes that a server holds `model`.
    pub fn note_present(&mut self, model: &SmolStr) {
        if !self.since.is_empty() {
            self.since.remove(model);
        }
    }
}
