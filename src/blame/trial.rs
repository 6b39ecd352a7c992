//! Trials: single requests that may run although what they carry is blocked, in case it is harmless.
//!
//! A fleet makes one trial of a blocked part at a time. When a trial is due, the daemons may make it one after the other,
//! each from a time on that follows from the names of the daemons and from the part, see [`TrialOrder`]. The daemon that
//! makes the trial tells the others. If that message is late or lost, the next daemon in the order may make the same trial
//! as well.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Crashes that a part may cause before its trials become rare.
const FREE_CRASHES: u32 = 5;
/// Crashes after which a part is blocked, and so trials begin.
pub(super) const BLOCKING_CRASHES: u32 = 3;
/// Time from a block, a trial or a crash to the next trial.
const SHORT_INTERVAL: Duration = Duration::from_secs(2);
/// The same once a trial was made or has failed at the [`FREE_CRASHES`]th crash or later.
const LONG_INTERVAL: Duration = Duration::from_secs(300);
/// Time for which a trial is left to the daemons whose turn it is before more of them may make it: long enough for pulses to
/// repeat a lost message to most of the fleet.
const TURN_TIME: Duration = Duration::from_secs(1);

/// Name of a daemon, as a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DaemonKey(u64);

impl DaemonKey {
    /// Returns the key of the daemon `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Returns the position of the daemon for trial number `count` of `part`. Lower positions come first.
    fn position(self, part: u64, count: u32) -> u64 {
        let mut bytes = [0; 20];
        bytes[..8].copy_from_slice(&self.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&part.to_le_bytes());
        bytes[16..].copy_from_slice(&count.to_le_bytes());
        xxh3_64(&bytes)
    }
}

/// Order in which the daemons of a fleet may make a trial. Every daemon computes it from the names that it knows; daemons
/// that know other names only make the trial earlier or later.
#[derive(Clone, Debug)]
pub struct TrialOrder {
    own: DaemonKey,
    others: Vec<DaemonKey>,
}

impl TrialOrder {
    /// Creates the order of a fleet whose only known daemon is `own`.
    pub fn new(own: DaemonKey) -> Self {
        Self {
            own,
            others: Vec::new(),
        }
    }

    /// Replaces the other daemons.
    pub fn set_others(&mut self, others: Vec<DaemonKey>) {
        self.others = others;
    }

    /// Returns how long after trial number `count` of `part` has become due this daemon may make it.
    ///
    /// The first daemon may make it at once. The number of daemons that may doubles with each [`TURN_TIME`], as the first
    /// ones may get no request with the part.
    fn turn_delay(&self, part: u64, count: u32) -> Duration {
        let own = self.own.position(part, count);
        let others = self.others.iter();
        let earlier = others.filter(|other| other.position(part, count) < own);
        let rank = earlier.count();
        TURN_TIME * (usize::BITS - rank.leading_zeros())
    }
}

/// The trials of a blocked part so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialRecord {
    /// Number of trials made.
    count: u32,
    /// Number of servers that are known to have crashed under requests with the part.
    crashes: u32,
    /// When the part was blocked, the last trial was made or the last crash became known, whichever was last.
    last: Instant,
}

/// A [`TrialRecord`] as one daemon tells it to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNotice {
    pub count: u32,
    pub crashes: u32,
    /// Time since the last change of the record.
    pub last_ago: Duration,
}

impl TrialRecord {
    /// Creates the record of a part that is blocked at `now` because of `crashes` crashes.
    pub fn new(crashes: u32, now: Instant) -> Self {
        Self {
            count: 0,
            crashes,
            last: now,
        }
    }

    /// Returns when the part was blocked, the last trial was made or the last crash became known.
    pub fn last(&self) -> Instant {
        self.last
    }

    /// Returns when the next trial is due in the fleet.
    pub fn due(&self) -> Instant {
        self.last + self.interval()
    }

    /// Returns from when on this daemon may make the next trial of `part`.
    pub fn own_due(&self, part: u64, order: &TrialOrder) -> Instant {
        self.due() + order.turn_delay(part, self.count)
    }

    /// Notes that this daemon makes a trial.
    pub fn take(&mut self, now: Instant) {
        self.count += 1;
        self.last = now;
    }

    /// Notes that `crashes` servers are known to have crashed.
    pub fn note_crashes(&mut self, crashes: u32, now: Instant) {
        if crashes > self.crashes {
            self.crashes = crashes;
            self.last = now;
        }
    }

    /// Applies what another daemon knows. Returns whether it was news.
    pub fn apply(&mut self, notice: TrialNotice, now: Instant) -> bool {
        // News is what has a higher count. The time alone would move on with the delay of each message.
        if notice.count <= self.count && notice.crashes <= self.crashes {
            return false;
        }
        self.count = self.count.max(notice.count);
        self.crashes = self.crashes.max(notice.crashes);
        let last = now.checked_sub(notice.last_ago).unwrap_or(self.last);
        self.last = self.last.max(last);
        true
    }

    /// Returns the notice for other daemons.
    pub fn notice(&self, now: Instant) -> TrialNotice {
        TrialNotice {
            count: self.count,
            crashes: self.crashes,
            last_ago: now.saturating_duration_since(self.last),
        }
    }

    /// Returns the time from the last trial or crash to the next trial.
    fn interval(&self) -> Duration {
        // Each trial counts as a crash until it has cleared the part, as its crash may not be known yet.
        let crashes = self.crashes.max(BLOCKING_CRASHES + self.count);
        match self.count > 0 && crashes >= FREE_CRASHES {
            true => LONG_INTERVAL,
            false => SHORT_INTERVAL,
        }
    }
}
