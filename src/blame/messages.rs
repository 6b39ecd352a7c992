//! What daemons tell each other of crashes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::blame::trial::TrialNotice;
use crate::ids::KeyDigest;

/// Largest number of trials of one part that a daemon reports.
const MAX_TRIALS: u32 = 1 << 20;
/// Longest time since a reported request was sent; deadlines are shorter.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(24 * 3_600);

/// Id of a prompt part, or of the team, path and body of a request, which count as a part before the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

impl PartId {
    /// Returns the id for the digest of a request's team, path and body.
    pub fn of_call(digest: &KeyDigest) -> Self {
        let [a, b, c, d, e, f, g, h, ..] = digest.0;
        Self(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }
}

/// One start of a backend server, as a hash of its id and its time of start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerStart(pub u64);

/// A request whose server crashed before it wrote an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub server: ServerStart,
    /// Time since the request was sent to the server.
    pub sent_ago: Duration,
    /// In the order in which they stand in the prompt.
    pub parts: Vec<PartId>,
}

/// What another daemon knows about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNotice {
    pub part: PartId,
    /// Whether the part is blocked; otherwise it was cleared.
    pub is_blocked: bool,
    /// Time since the part was blocked or cleared.
    pub age: Duration,
    /// Time since the first of the crashes because of which it was blocked; `age` if it was cleared.
    pub first_ago: Duration,
    /// The trials of a blocked part.
    pub trials: TrialNotice,
}

impl PartNotice {
    /// Returns the notice that a part was cleared `age` ago.
    pub fn cleared(part: PartId, age: Duration) -> Self {
        Self {
            part,
            is_blocked: false,
            age,
            first_ago: age,
            trials: TrialNotice::default(),
        }
    }
}

impl PartNotice {
    /// Returns whether its numbers are in the ranges that are computed with.
    pub fn is_valid(&self) -> bool {
        self.trials.count <= MAX_TRIALS
    }
}

impl BlameMessage {
    /// Returns whether its numbers are in the ranges that are computed with.
    pub fn is_valid(&self) -> bool {
        match self {
            Self::Crash(report) => report.sent_ago <= MAX_REQUEST_AGE,
            Self::Notice(notice) => notice.is_valid(),
        }
    }
}

/// A message about crashes from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BlameMessage {
    Crash(CrashReport),
    Notice(PartNotice),
}

/// Parts whose state has changed because of a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlameChange {
    pub blocked: Vec<PartId>,
    /// Parts that are no longer blocked, as another part explains their crashes.
    pub unblocked: Vec<PartId>,
}
