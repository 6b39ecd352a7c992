//! Decides which connection is closed when there is no room for another one.
//!
//! A connection is in use while its request runs, or while it sends a body at the lowest rate or faster; it is never closed
//! then, unless its client has left an answer unread for the whole limit. Every other one waits for its client, for which there is a time limit. The one that has used the largest part of its
//! limit is closed first: a client that sends its head or body slowly, or does not read, uses up a few seconds, while a kept
//! connection between two requests may be idle for a minute. A wait shorter than [`MIN_WAIT`] says nothing about a client.
//!
//! If no connection waits, those that have been open longest are asked to close after their current answers, so that callers
//! who keep all connections busy do not shut out others.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use foxtailhill::eviction::{ClientWait, choose_victims};
//!
//! let start = Instant::now();
//! let wait = |limit| ClientWait { since: start, limit: Duration::from_secs(limit) };
//! let (slow, idle) = (wait(5), wait(60));
//! let views = [(1, Some(idle)), (2, Some(slow)), (3, None)];
//! assert_eq!(choose_victims(views, 1, start + Duration::from_secs(1)), [2]);
//! ```

use std::time::{Duration, Instant};

/// Wait after which a connection may be closed for another one. Clients that behave send a head, and the next part of a body,
/// within a round trip.
pub const MIN_WAIT: Duration = Duration::from_millis(500);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitKind {
    /// The head of its first request.
    FirstRequest,
    /// The rest of the head of a further request.
    Head,
    /// The rest of a body, which arrives too slowly.
    Body,
    /// That its client reads the answer.
    Reader,
    /// The next request.
    NextRequest,
}

impl WaitKind {
    /// Names of all kinds in metrics.
    pub const NAMES: [&'static str; 5] =
        ["first_request", "head", "body", "reader", "next_request"];

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstRequest => "first_request",
            Self::Head => "head",
            Self::Body => "body",
            Self::Reader => "reader",
            Self::NextRequest => "next_request",
        }
    }
}

/// A wait of a connection for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientWait {
    pub since: Instant,
    /// Time within which a client that behaves ends the wait.
    pub limit: Duration,
}

impl ClientWait {
    /// Returns the part of the limit that is used at `now`; `None` if the wait is too short to be ended.
    fn used(self, now: Instant) -> Option<f64> {
        let waited = now.saturating_duration_since(self.since);
        let limit = self.limit.as_secs_f64().max(f64::MIN_POSITIVE);
        (waited >= MIN_WAIT).then(|| waited.as_secs_f64() / limit)
    }
}

/// Returns up to `count` connections to close, the first one first. Connections in use have no wait.
pub fn choose_victims<K: Copy>(
    connections: impl IntoIterator<Item = (K, Option<ClientWait>)>,
    count: usize,
    now: Instant,
) -> Vec<K> {
    let mut waiting: Vec<(f64, K)> = connections
        .into_iter()
        .filter_map(|(key, wait)| Some((wait?.used(now)?, key)))
        .collect();
    let by_use = |a: &(f64, K), b: &(f64, K)| b.0.total_cmp(&a.0);
    if count < waiting.len() {
        waiting.select_nth_unstable_by(count, by_use);
        waiting.truncate(count);
    }
    waiting.sort_unstable_by(by_use);
    waiting.into_iter().map(|(_, key)| key).collect()
}

/// Returns up to `count` connections that are asked to close after their current answers: those that were opened first, and at
/// least [`MIN_WAIT`] ago.
pub fn choose_oldest<K: Copy>(
    connections: impl IntoIterator<Item = (K, Instant)>,
    count: usize,
    now: Instant,
) -> Vec<K> {
    let mut oldest: Vec<(Instant, K)> = connections
        .into_iter()
        .filter(|(_, opened)| now.saturating_duration_since(*opened) >= MIN_WAIT)
        .map(|(key, opened)| (opened, key))
        .collect();
    oldest.sort_unstable_by_key(|(opened, _)| *opened);
    oldest.truncate(count);
    oldest.into_iter().map(|(_, key)| key).collect()
}

/// Lowest rate at which a body makes progress, in bytes per second: that of the longest body in its longest time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BodyRate(f64);

impl BodyRate {
    /// Returns the rate at which `bytes` arrive in `time`.
    pub fn new(bytes: usize, time: Duration) -> Self {
        Self(bytes as f64 / time.as_secs_f64().max(f64::MIN_POSITIVE))
    }

    /// Returns whether a body of which `received` bytes have arrived in `time` is slower than this.
    pub fn is_above(self, received: usize, time: Duration) -> bool {
        (received as f64) < self.0 * time.as_secs_f64()
    }
}
