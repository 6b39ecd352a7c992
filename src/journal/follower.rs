//! Replays one stream in offset order.

use std::time::Instant;

use crate::ids::LogOffset;

/// Where a follower stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Next offset that has not been applied yet.
    pub next: LogOffset,
    /// Time before the last read that found no record past `next`, if any.
    pub end_seen_at: Option<Instant>,
}

/// Handle to a task that replays a stream.
pub struct StreamFollower {}
