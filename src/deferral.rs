//! Which requests wait behind others while servers are scarce, and until when.
//!
//! A service may have routes whose answers are due within some hundred milliseconds beside routes whose answers are due
//! within many seconds. Requests of the latter are *deferrable*: they wait behind the former, which are *urgent*, as long
//! as they can still be on time. A deferrable request is promoted when the time to its target, less the expected work
//! and the time to get a slot, runs out; from then on it competes as an urgent one does.
//!
//! The decision follows from the targets, time limits and priorities of the routes, so that all daemons with the same
//! configuration decide alike.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// A route is deferrable if its target is at least this multiple of the smallest target of the service's streaming
/// routes. At a smaller multiple the wait behind urgent requests takes most of the time to the target.
pub const DEFERRABLE_FACTOR: u32 = 5;
/// Divisor of the target; the quotient is the time that a promoted request has to get a slot.
const SLOT_WAIT_DIVISOR: u32 = 4;
/// Divisor of the target; the quotient is the largest expected work that counts, and the work of a route whose answers
/// were not measured yet. Answers that take longer cannot be on time in any order.
const MAX_WORK_DIVISOR: u32 = 2;
/// Time for which servers count as scarce after an urgent request has waited or was refused. A daemon in a large fleet
/// gets a few urgent requests a second for each service, so that a shorter time ends between two of them.
pub const SCARCITY_TIME: Duration = Duration::from_secs(3);

/// Properties of a route that decide whether its requests are deferrable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTerms {
    /// Time within which the answer, or the first event of a stream, is due; zero for none.
    pub target: Duration,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// 0 is the highest priority.
    pub priority: u32,
}

impl RouteTerms {
    /// Returns whether requests of this route can wait behind those of `urgent`, the streaming route with the smallest
    /// target of the same service.
    pub fn is_deferrable(self, urgent: Self) -> bool {
        let target = self.target.min(self.timeout);
        !urgent.target.is_zero()
            && target >= urgent.target * DEFERRABLE_FACTOR
            && self.priority >= urgent.priority
    }
}

/// Returns until when a deferrable request yields to urgent ones. `work` is the expected time from sending the request to
/// its answer, `limit` the time until which the request may wait for a slot.
pub fn promotion_time(
    arrived: Instant,
    target: Duration,
    limit: Instant,
    work: Option<Duration>,
) -> Instant {
    let target = target.min(limit.saturating_duration_since(arrived));
    let max_work = target / MAX_WORK_DIVISOR;
    let work = work.map_or(max_work, |work| work.min(max_work));
    arrived + (target - target / SLOT_WAIT_DIVISOR).saturating_sub(work)
}

/// Services whose urgent requests recently found no free slot at this daemon.
#[derive(Debug, Default)]
pub struct ScarcityTable {
    /// When each service was last short of slots.
    services: HashMap<SmolStr, Instant>,
}

impl ScarcityTable {
    /// Notes that an urgent request of a service waited or was refused for want of a slot. Returns whether the service was
    /// not scarce before.
    pub fn note(&mut self, service: &str, now: Instant) -> bool {
        let was_scarce = self.is_scarce(service, now);
        match self.services.get_mut(service) {
            Some(seen) => *seen = now,
            None => {
                self.services.retain(|_, seen| now < *seen + SCARCITY_TIME);
                self.services.insert(service.into(), now);
            }
        }
        !was_scarce
    }

    /// Returns whether servers are scarce for urgent requests of a service.
    pub fn is_scarce(&self, service: &str, now: Instant) -> bool {
        let seen = self.services.get(service);
        seen.is_some_and(|seen| now < *seen + SCARCITY_TIME)
    }
}
