//! How many requests this daemon may send to a cold server. Performs no I/O; the time is an argument.
//!
//! A server that has just started is slow and crashes when it gets many requests at once. Its bound is a number of
//! requests in any second, summed over all daemons, which may not hear each other at that time. So the bound is divided
//! into whole requests among a few daemons, as a team's tokens are among its homes, and no daemon asks another.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of the window in which a share may be used once: the second of the bound, and the time by which a later request
/// may overtake an earlier one on its way.
const WINDOW: Duration = Duration::from_millis(1_100);
/// Part of the bound that is divided, in percent. The rest covers requests that were on their way when the server turned
/// cold, and daemons whose list of members lags.
const SHARED_PERCENT: f64 = 80.0;

/// Bound on the requests to a cold server, as a function of the rate that its service states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate.
    pub over: f64,
    /// Requests in a second beyond the rate times that factor.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBound {
    /// Returns the number of requests in a second that all daemons share, given the service's rate in requests per second;
    /// `None` if the service has no bound.
    pub fn shared_requests(self, rate: f64) -> Option<u32> {
        let bound = rate * self.over + self.slack;
        // A service that states a rate must get at least one request a second, or it would never serve while cold.
        (rate > 0.0).then(|| ((bound * SHARED_PERCENT / 100.0) as u32).max(1))
    }
}

/// Returns how many of `requests` each of its holders gets if `daemons` share them, and the number of holders.
pub fn divide_requests(requests: u32, daemons: u32) -> (u32, u32) {
    let holders = requests.min(daemons);
    (requests.checked_div(holders).unwrap_or(0), holders)
}

/// This daemon's share of the requests to one server while that is cold.
#[derive(Debug)]
pub struct ColdGate {
    /// When the server is warm.
    until: Instant,
    /// Requests that this daemon may send in any window; 0 while it holds no share.
    share: u32,
    /// Until when the share is valid.
    share_until: Option<Instant>,
    /// When the latest requests were sent, oldest first.
    sent: VecDeque<Instant>,
}

impl ColdGate {
    /// Creates a gate of a server that is cold until `until`, with no share.
    pub fn new(until: Instant) -> Self {
        Self {
            until,
            share: 0,
            share_until: None,
            sent: VecDeque::new(),
        }
    }

    /// Notes when the server is warm.
    pub fn set_until(&mut self, until: Instant) {
        self.until = until;
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Sets the share, which is valid until `until`.
    pub fn set_share(&mut self, share: u32, until: Instant) {
        self.share = share;
        self.share_until = Some(until);
    }

    /// Returns whether a request may be sent now.
    pub fn may_send(&mut self, now: Instant) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        while self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
        let is_valid = self.share_until.is_some_and(|until| now < until);
        is_valid && self.sent.len() < self.share as usize
    }

    /// Notes a request that is being sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.sent.push_back(now);
    }

    /// Notes that the server refused a request that was sent at `sent` in a way that does not count against its bound.
    ///
    /// The oldest request that is counted is given back, as it was sent no later. One that was sent before the server was
    /// cold was not counted and gives nothing back.
    pub fn note_refused(&mut self, sent: Instant) {
        if self.sent.front().is_some_and(|first| *first <= sent) {
            self.sent.pop_front();
        }
    }
}
