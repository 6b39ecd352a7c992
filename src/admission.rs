//! Estimates whether a request that must wait gets a slot in time, and when those that are refused should come back.

use std::time::{Duration, Instant};

use crate::error::{Category, Error, RunVerdict};

/// Time after which a grant, a refusal or a wait has half its weight. It covers several grants of a queue that gets one slot
/// a second, and forgets an overload soon after it has ended.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Least chance of a slot with which a request waits. A refused request comes back at most once, to a daemon that is about as
/// busy, so only a request with hardly any chance is better off being refused at once.
const MIN_CHANCE: f64 = 0.1;
/// Grants that are added to those counted, so that a queue which has not got a slot yet does not refuse all requests.
const PRIOR_GRANTS: f64 = 1.0;
/// Shortest and longest mean time after which refused requests come back.
const MIN_RETURN: Duration = Duration::from_secs(1);
const MAX_RETURN: Duration = Duration::from_secs(10);
/// Callers honour a `Retry-After` up to the time that they have left divided by this.
const HONOURED_DIVISOR: u32 = 3;

/// Grants of one queue per time in which requests waited, with weights that decrease with age.
///
/// Time in which nothing waits says nothing of the time until the next slot and does not count. A wait without a grant
/// counts as it lasts.
#[derive(Clone, Copy, Debug)]
pub struct GrantRate {
    grants: f64,
    refusals: f64,
    /// Time in which requests waited, in seconds.
    waited: f64,
    updated: Instant,
    is_waiting: bool,
}

impl GrantRate {
    /// Creates an estimate without any measurement.
    pub fn new(now: Instant) -> Self {
        Self {
            grants: 0.0,
            refusals: 0.0,
            waited: 0.0,
            updated: now,
            is_waiting: false,
        }
    }

    /// Notes whether any request waits from `now` on.
    pub fn set_waiting(&mut self, is_waiting: bool, now: Instant) {
        self.advance(now);
        self.is_waiting = is_waiting;
    }

    /// Counts a slot that a waiting request got. It says nothing of the time until the next slot if all that waited were
    /// requests that yield to a new one.
    pub fn granted(&mut self, now: Instant) {
        self.advance(now);
        self.grants += f64::from(u8::from(self.is_waiting));
    }

    /// Counts a refused request, which may come back.
    pub fn refused(&mut self, now: Instant) {
        self.advance(now);
        self.refusals += 1.0;
    }

    /// Returns whether a request with `ahead` others before it is worth keeping, given that it may wait for `limit`.
    pub fn may_wait(&mut self, ahead: usize, limit: Duration, now: Instant) -> bool {
        self.advance(now);
        let expected = match self.waited > 0.0 {
            true => limit.as_secs_f64() * (self.grants + PRIOR_GRANTS) / self.waited,
            false => return !limit.is_zero(),
        };
        chance_of_more(expected, ahead) >= MIN_CHANCE
    }

    /// Returns when a request that is refused now should come back. `waiting` requests and those that were refused recently
    /// need slots before it. `draw` is a uniform random number in `0..1`, which spreads the requests.
    pub fn retry_after(&mut self, waiting: usize, draw: f64, now: Instant) -> Duration {
        self.advance(now);
        let slots = waiting as f64 + self.refusals;
        let mean = slots * self.waited / (self.grants + PRIOR_GRANTS);
        let mean = mean.clamp(MIN_RETURN.as_secs_f64(), MAX_RETURN.as_secs_f64());
        Duration::from_secs_f64(mean * (0.5 + draw))
    }

    /// Reduces the weights to those of `now` and adds the time since the last call if requests waited.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        self.grants *= kept;
        self.refusals *= kept;
        self.waited *= kept;
        if self.is_waiting {
            // The integral of the weights over the time that has passed.
            self.waited += (1.0 - kept) * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        }
        self.updated = self.updated.max(now);
    }
}

/// Returns the `Retry-After` of a caller with `left` until its deadline. A longer time than it honours is drawn anew, as
/// all callers would otherwise come back at the limit.
pub fn spread_return(wait: Duration, left: Duration, draw: f64) -> Duration {
    let honoured = left / HONOURED_DIVISOR;
    match wait > honoured {
        true => honoured.mul_f64(0.5 + draw / 2.0),
        false => wait,
    }
}

/// Limits the `Retry-After` of a request that got no server to what its caller honours; `left` is the time until the caller's
/// deadline. Refusals by servers state none and get the shortest mean time.
pub(crate) fn spread_refusal(error: Error, left: Duration, draw: f64) -> Error {
    let is_refusal = matches!(error.category(), Category::Overloaded | Category::Timeout);
    if !is_refusal || error.verdict() != RunVerdict::NotRun {
        return error;
    }
    let shortest = MIN_RETURN.mul_f64(0.5 + draw);
    let wait = error.retry_after().unwrap_or(shortest);
    error.with_retry_after(spread_return(wait, left, draw))
}

/// Returns the probability of more than `count` events if `expected` occur on average, independently of each other.
fn chance_of_more(expected: f64, count: usize) -> f64 {
    // With this many expected, the distribution is so narrow that the mean decides.
    const MANY: f64 = 200.0;
    if expected > MANY || count as f64 > MANY * 4.0 {
        return if expected > count as f64 { 1.0 } else { 0.0 };
    }
    let mut term = (-expected).exp();
    let mut at_most = term;
    for index in 1..=count {
        term *= expected / index as f64;
        at_most += term;
    }
    1.0 - at_most
}
