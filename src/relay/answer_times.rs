//! How long the answers on each route take, from what was measured.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Weight of the newest answer in the average of the time.
const TIME_WEIGHT: f64 = 0.125;
/// Weight of the newest answer in the average of the deviation from it.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of average deviations by which an answer may be late and still be expected.
const DEVIATIONS: f64 = 2.0;
/// Least average deviation, as a part of the time. Answers that have all taken the same time say nothing of servers that are
/// fuller.
const MIN_DEVIATION: f64 = 1.0 / 16.0;
/// Maximum number of routes. Beyond it, those that were not used for [`KEEP_TIME`] are forgotten.
const MAX_ROUTES: usize = 4_096;
const KEEP_TIME: Duration = Duration::from_secs(600);

/// Moving averages of the answers of a route, in seconds.
#[derive(Clone, Copy, Debug)]
struct RouteTime {
    time: f64,
    deviation: f64,
    at: Instant,
}

/// Measured times from sending a request to a backend server to the end of its answer, by route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: Mutex<HashMap<SmolStr, RouteTime>>,
}

impl AnswerTimes {
    /// Records that a whole answer took `time`.
    pub fn record(&self, route: &SmolStr, time: Duration, now: Instant) {
        let time = time.as_secs_f64();
        let mut routes = self.routes();
        if let Some(known) = routes.get_mut(route) {
            let difference = time - known.time;
            known.deviation += DEVIATION_WEIGHT * (difference.abs() - known.deviation);
            known.time += TIME_WEIGHT * difference;
            known.at = now;
            return;
        }
        if routes.len() >= MAX_ROUTES {
            routes.retain(|_, known| known.at + KEEP_TIME > now);
        }
        if routes.len() < MAX_ROUTES {
            // Until more is known, an answer may take twice as long as the first one.
            let first = RouteTime {
                time,
                deviation: time / DEVIATIONS,
                at: now,
            };
            routes.insert(route.clone(), first);
        }
    }

    /// Returns the time within which nearly all answers of `route` are complete; `None` if none was measured.
    pub fn expected(&self, route: &str) -> Option<Duration> {
        let routes = self.routes();
        let known = routes.get(route)?;
        let deviation = known.deviation.max(MIN_DEVIATION * known.time);
        Some(Duration::from_secs_f64(known.time + DEVIATIONS * deviation))
    }

    /// Returns the time that nearly all answers of `route` take at least; `None` if none was measured.
    pub fn shortest(&self, route: &str) -> Option<Duration> {
        let routes = self.routes();
        let known = routes.get(route)?;
        let shortest = known.time - DEVIATIONS * known.deviation;
        Some(Duration::from_secs_f64(shortest.max(0.0)))
    }

    fn routes(&self) -> MutexGuard<'_, HashMap<SmolStr, RouteTime>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
