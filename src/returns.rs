//! Recognises requests that come back after a refusal by the time that their callers have left.
//!
//! Callers of a route state one or a few usual times in their first attempts. A request that comes back states what is left
//! of it, which is seldom the same twice. Such a request has usually missed its target already, so it must not take the
//! place of a first attempt that can be on time: after an overload, the requests that come back would otherwise keep first
//! attempts late for as long as the servers need to serve them all.

use std::collections::VecDeque;
use std::time::Duration;

/// Times that differ by less than this count as equal. Transfers to a daemon differ by some milliseconds.
const TIME_STEP: Duration = Duration::from_millis(100);
/// Number of requests of a route that are remembered.
const MEMORY: usize = 64;
/// Fewest remembered requests by which others are judged. With fewer, a usual time may not have come twice yet.
const MIN_REMEMBERED: usize = 16;
/// A time is usual if at least the remembered requests divided by this stated it. Requests that come back spread over more
/// than this number of steps.
const USUAL_DIVISOR: usize = 8;
/// Largest part of the usual time that a request which comes back may have used, in percent. A caller that waited for two
/// fifths of its time and then for a third of the rest has used 60%. One that states less left may as well be another caller
/// with a shorter time.
const MAX_USED_PERCENT: u32 = 60;

/// The times that recent requests of one route stated.
#[derive(Clone, Debug, Default)]
pub struct TimeLeftLog {
    /// In steps, the latest last.
    recent: VecDeque<u64>,
}

impl TimeLeftLog {
    /// Adds a request whose caller has `left`. Returns how long ago its first attempt was, or zero for a first attempt.
    pub fn note(&mut self, left: Duration) -> Duration {
        let used = self.used(left);
        if self.recent.len() >= MEMORY {
            self.recent.pop_front();
        }
        self.recent.push_back(steps(left));
        used
    }

    fn used(&self, left: Duration) -> Duration {
        let own = steps(left);
        if self.recent.len() < MIN_REMEMBERED || self.is_usual(own) {
            return Duration::ZERO;
        }
        let longer = self.recent.iter().copied().filter(|time| *time > own + 1);
        let usual = longer.filter(|time| self.is_usual(*time)).min();
        usual.map_or(Duration::ZERO, |usual| {
            let whole = TIME_STEP * u32::try_from(usual).unwrap_or(u32::MAX);
            let used = whole.saturating_sub(left);
            match used <= whole * MAX_USED_PERCENT / 100 {
                true => used,
                false => Duration::ZERO,
            }
        })
    }

    fn is_usual(&self, time: u64) -> bool {
        let alike = self.recent.iter().filter(|one| one.abs_diff(time) <= 1);
        alike.count() * USUAL_DIVISOR >= self.recent.len()
    }
}

fn steps(left: Duration) -> u64 {
    (left.as_millis() / TIME_STEP.as_millis()) as u64
}
