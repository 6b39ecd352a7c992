//! Time limit of the wait for the headers of an answer. Performs no I/O.
//!
//! A short limit detects a dead connection soon, but no call to a service that is slower than the limit would ever
//! succeed. The limit is therefore short at first and grows while answers are late.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time limit at first, and while answers are fast.
const MIN_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest time limit.
const MAX_LIMIT: Duration = Duration::from_secs(6);

/// Time limit that follows the answer times of a service. Calls may share it.
#[derive(Debug)]
pub struct HeadLimit {
    millis: AtomicU64,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self {
            millis: AtomicU64::new(millis(MIN_LIMIT)),
        }
    }
}

impl HeadLimit {
    /// Returns the present limit.
    pub fn current(&self) -> Duration {
        Duration::from_millis(self.millis.load(Ordering::Relaxed))
    }

    /// Notes that no answer came within `limit`. Calls that end at the same time raise the limit only once.
    pub fn note_late(&self, limit: Duration) {
        let next = millis((limit * 2).min(MAX_LIMIT));
        self.millis.fetch_max(next, Ordering::Relaxed);
    }

    /// Notes an answer that took `time`.
    pub fn note_answer(&self, time: Duration) {
        let next = (time * 2).clamp(MIN_LIMIT, MAX_LIMIT);
        self.millis.store(millis(next), Ordering::Relaxed);
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
