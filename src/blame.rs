//! Prompt parts that crash the backend servers which begin to write an answer on them.
//!
//! Every part of a request whose server crashed before it wrote an answer is *suspect*, until a server writes an answer
//! to a later request with that part. A part under which server after server crashes is *blocked*: requests with it are
//! refused.
//!
//! Two rules keep harmless parts from being blocked. A crash counts against a part only if the request was sent after
//! the crash that was counted before it, because many servers may crash at once for another reason. And a crash that
//! another part explains, see [`BlameTable::record_crash`], is no evidence against the other parts of the same requests;
//! the later a part stands in its prompt, the fewer requests share it, so later parts are blocked first.

mod messages;
mod trial;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

pub use self::messages::{BlameChange, BlameMessage, CrashReport, PartId, PartNotice, ServerStart};
pub use self::trial::{DaemonKey, TrialNotice};
use self::trial::{TrialOrder, TrialRecord};

/// Crashes, not explained by another part, after which a part is blocked.
pub const BLOCKING_CRASHES: usize = trial::BLOCKING_CRASHES as usize;
/// Crashes after which a request is not sent again once its server has crashed.
const RESEND_CRASHES: usize = 2;
/// Time after its last crash for which a part stays suspect.
const SUSPECT_TIME: Duration = Duration::from_secs(60);
/// Time for which a part is blocked after its last trial or crash. After it, one more crash blocks the part again.
pub const BLOCK_TIME: Duration = Duration::from_secs(600);
/// Time for which a part is known to be cleared, and for which older notices about it are ignored.
const CLEARED_TIME: Duration = Duration::from_secs(30);
/// Longest usual delay of a message between daemons. The request of another daemon's report was sent up to that much
/// earlier than the report says.
const MESSAGE_DELAY: Duration = Duration::from_millis(100);
/// Time for which pulses tell that a part was cleared after a single crash: long enough for a pulse to every peer in turn.
const SHARE_TIME: Duration = Duration::from_secs(4);
/// Maximum number of crashes that are kept as evidence.
const MAX_CRASHES: usize = 64;
/// Maximum number of reports of one crash that are kept.
const MAX_REPORTS: usize = 32;
/// Maximum number of crashed servers that are kept for a part.
const MAX_SEEN: usize = 16;
/// Maximum number of notices in one pulse, which must fit into a datagram.
const MAX_NOTICES: usize = 32;

/// Requests whose server crashed, by their parts. Several daemons may report the same crash.
#[derive(Clone, Debug)]
struct CrashRecord {
    server: ServerStart,
    at: Instant,
    requests: Vec<Vec<PartId>>,
}

#[derive(Clone, Debug)]
struct PartRecord {
    /// Number of crashes that count against the part.
    crashes: usize,
    /// The servers of these crashes.
    crashed: Vec<ServerStart>,
    /// Servers that crashed under requests with the part, whether the crash counts or not, up to [`MAX_SEEN`].
    seen: Vec<ServerStart>,
    /// When the first and the last of these crashes became known.
    first: Instant,
    last: Instant,
    /// Largest position of the part in a prompt.
    depth: usize,
    state: PartState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartState {
    Suspect,
    Blocked {
        since: Instant,
        trials: TrialRecord,
    },
    Cleared {
        at: Instant,
        /// Time for which other daemons are told.
        shared_for: Duration,
    },
}

/// Table of suspect parts with a bounded size. Its functions take the time as an argument.
#[derive(Clone, Debug)]
pub struct BlameTable {
    capacity: usize,
    trial_order: TrialOrder,
    records: HashMap<PartId, PartRecord>,
    /// Parts in the order in which they became known. When the table is full, the first that is not blocked goes.
    order: VecDeque<PartId>,
    /// The latest crashes, oldest first.
    crashes: VecDeque<CrashRecord>,
}

impl BlameTable {
    /// Creates the table of the daemon `own` for up to `capacity` parts.
    pub fn new(capacity: usize, own: DaemonKey) -> Self {
        Self {
            capacity: capacity.max(1),
            trial_order: TrialOrder::new(own),
            records: HashMap::new(),
            order: VecDeque::new(),
            crashes: VecDeque::new(),
        }
    }

    /// Returns until when requests with any of `parts` are refused; `None` if they may run.
    pub fn blocked_until(&self, parts: &[PartId], now: Instant) -> Option<Instant> {
        let records = parts.iter().filter_map(|part| self.records.get(part));
        let ends = records.filter_map(|record| record.state.blocked_until());
        ends.filter(|until| *until > now).max()
    }

    /// Sets the other daemons, with which this one takes turns in trials.
    pub fn set_daemons(&mut self, others: Vec<DaemonKey>) {
        self.trial_order.set_others(others);
    }

    /// Returns from when on this daemon may make a trial of all blocked parts of a request; `None` if none is blocked.
    pub fn trial_due(&self, parts: &[PartId]) -> Option<Instant> {
        let records = parts.iter().filter_map(|part| {
            let trials = self.records.get(part)?.state.trials()?;
            Some(trials.own_due(part.0, &self.trial_order))
        });
        records.max()
    }

    /// Returns when the next trial of all blocked parts of a request is due in the fleet; `None` if none is blocked.
    pub fn fleet_trial_due(&self, parts: &[PartId]) -> Option<Instant> {
        let records = parts.iter().filter_map(|part| self.records.get(part));
        records
            .filter_map(|record| Some(record.state.trials()?.due()))
            .max()
    }

    /// Takes the trial that is due for the blocked parts of a request, so that this one request may run. Returns the
    /// notices of which other daemons must be told at once; `None` if no trial is due.
    pub fn take_trial(&mut self, parts: &[PartId], now: Instant) -> Option<Vec<PartNotice>> {
        if self.trial_due(parts).is_some_and(|due| due > now) {
            return None;
        }
        let mut notices = Vec::new();
        for part in parts {
            if let Some(record) = self.records.get_mut(part)
                && let PartState::Blocked { trials, .. } = &mut record.state
            {
                trials.take(now);
                notices.extend(record.blocked_notice(*part, now));
            }
        }
        Some(notices)
    }

    /// Returns whether a request with `parts` may be sent again after its server crashed.
    pub fn may_resend(&self, parts: &[PartId], now: Instant) -> bool {
        let last = parts.last().and_then(|part| self.records.get(part));
        !last.is_some_and(|record| record.crashes >= RESEND_CRASHES && record.is_live(now))
    }

    /// Counts a crash against the parts of a request, which this daemon has sent if `is_own` is set. Returns which parts
    /// are blocked because of it, and which no longer.
    ///
    /// Another part explains a crash if it is blocked and does not stand earlier in its prompts, or if it stands later and
    /// is suspect in at least as many crashes.
    pub fn record_crash(
        &mut self,
        report: &CrashReport,
        is_own: bool,
        now: Instant,
    ) -> BlameChange {
        self.keep_crash(report, now);
        let delay = match is_own {
            true => Duration::ZERO,
            false => MESSAGE_DELAY,
        };
        let sent = now.checked_sub(report.sent_ago + delay);
        let mut has_candidate = false;
        for (depth, part) in report.parts.iter().enumerate() {
            let record = self.record(*part, now);
            record.depth = record.depth.max(depth);
            has_candidate |=
                record.count(report.server, sent, now) && record.crashes >= BLOCKING_CRASHES;
            record.note_seen(report.server, now);
        }
        match has_candidate {
            true => self.update_blocks(now),
            false => BlameChange::default(),
        }
    }

    /// Records that a server is writing the answer to a request that was sent at `sent`, which clears its parts. Returns
    /// the parts of which other daemons must be told at once, as they may be about to block them.
    pub fn record_progress(
        &mut self,
        parts: &[PartId],
        sent: Instant,
        now: Instant,
    ) -> Vec<PartId> {
        let mut cleared = Vec::new();
        if self.records.is_empty() {
            return cleared;
        }
        for part in parts {
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            if matches!(record.state, PartState::Cleared { .. }) || sent < record.first {
                continue;
            }
            let is_urgent = record.crashes >= RESEND_CRASHES || record.is_blocked();
            if is_urgent {
                cleared.push(*part);
            }
            record.clear(now, if is_urgent { CLEARED_TIME } else { SHARE_TIME });
        }
        cleared
    }

    /// Applies what another daemon knows. A part that was cleared after the first crash is not blocked because of it,
    /// whichever notice comes first. Returns whether anything changed.
    pub fn apply_notice(&mut self, notice: PartNotice, now: Instant) -> bool {
        let is_current = match notice.is_blocked {
            true => notice.trials.last_ago < BLOCK_TIME,
            false => notice.age < CLEARED_TIME,
        };
        let times = now
            .checked_sub(notice.age)
            .zip(now.checked_sub(notice.first_ago));
        let Some((at, first)) = times.filter(|_| is_current) else {
            return false;
        };
        let known = self.records.get_mut(&notice.part);
        match (known, notice.is_blocked) {
            (Some(record), true) => {
                if let PartState::Cleared {
                    at: cleared,
                    shared_for,
                } = &mut record.state
                    && *cleared >= first
                {
                    *shared_for = now.saturating_duration_since(*cleared) + SHARE_TIME;
                    return false;
                }
                if let PartState::Blocked { trials, .. } = &mut record.state {
                    return trials.apply(notice.trials, now);
                }
            }
            (Some(record), false) => {
                let is_cleared = matches!(record.state, PartState::Cleared { .. });
                if is_cleared || at <= record.first {
                    return false;
                }
            }
            (None, is_blocked) => {
                if !is_blocked {
                    return false;
                }
            }
        }
        let record = self.record(notice.part, now);
        if notice.is_blocked {
            record.first = first;
            let mut trials = TrialRecord::new(0, at);
            trials.apply(notice.trials, now);
            record.state = PartState::Blocked { since: at, trials };
        } else {
            record.clear(at, SHARE_TIME);
        }
        true
    }

    /// Returns notices for other daemons: all blocked parts first, then those cleared lately.
    pub fn notices(&self, now: Instant) -> Vec<PartNotice> {
        let newest = self.order.iter().rev();
        let known = newest.filter_map(|part| Some((*part, self.records.get(part)?)));
        let (mut blocked, mut cleared) = (Vec::new(), Vec::new());
        for (part, record) in known {
            match record.state {
                PartState::Blocked { .. } => blocked.extend(record.blocked_notice(part, now)),
                PartState::Cleared { at, shared_for } if at + shared_for > now => {
                    let age = now.saturating_duration_since(at);
                    cleared.push(PartNotice::cleared(part, age));
                }
                PartState::Suspect | PartState::Cleared { .. } => {}
            }
        }
        blocked.append(&mut cleared);
        blocked.truncate(MAX_NOTICES);
        blocked
    }

    /// Ends elapsed blocks, and forgets parts that are no longer suspect.
    pub fn expire(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            record.end_block(now);
        }
        self.records.retain(|_, record| record.is_live(now));
        let records = &self.records;
        self.order.retain(|part| records.contains_key(part));
        self.crashes.retain(|crash| crash.at + SUSPECT_TIME > now);
    }

    /// Returns the numbers of suspect and of blocked parts.
    pub fn counts(&self) -> (usize, usize) {
        let mut counts = (0, 0);
        for record in self.records.values() {
            match record.state {
                PartState::Suspect => counts.0 += 1,
                PartState::Blocked { .. } => counts.1 += 1,
                PartState::Cleared { .. } => {}
            }
        }
        counts
    }

    fn keep_crash(&mut self, report: &CrashReport, now: Instant) {
        let mut crashes = self.crashes.iter_mut();
        match crashes.find(|crash| crash.server == report.server) {
            Some(crash) if crash.requests.len() < MAX_REPORTS => {
                crash.requests.push(report.parts.clone());
            }
            Some(_) => {}
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    self.crashes.pop_front();
                }
                self.crashes.push_back(CrashRecord {
                    server: report.server,
                    at: now,
                    requests: vec![report.parts.clone()],
                });
            }
        }
    }

    /// Blocks parts with enough unexplained crashes, and ends the blocks of those whose crashes are explained by now.
    fn update_blocks(&mut self, now: Instant) -> BlameChange {
        let mut change = BlameChange::default();
        let records = self.records.iter();
        let candidates = records.filter(|(_, record)| record.crashes >= BLOCKING_CRASHES);
        let mut candidates: Vec<_> = candidates
            .map(|(part, record)| (*part, record.depth))
            .collect();
        if candidates.is_empty() {
            return change;
        }
        let counts = self.count_crashes();
        candidates.sort_unstable_by_key(|(part, depth)| (std::cmp::Reverse(*depth), part.0));
        for (part, depth) in candidates {
            let (unexplained, explained) = self.explain_crashes(part, depth, &counts);
            let is_cause = unexplained >= BLOCKING_CRASHES;
            let Some(record) = self.records.get_mut(&part) else {
                continue;
            };
            if !record.is_blocked() && is_cause {
                let trials = TrialRecord::new(record.seen.len() as u32, now);
                record.state = PartState::Blocked { since: now, trials };
                change.blocked.push(part);
            } else if record.is_blocked() && !is_cause && explained > 0 {
                record.state = PartState::Suspect;
                change.unblocked.push(part);
            }
        }
        change
    }

    /// Returns how many of the crashes that count against a part no other part explains, and how many one does.
    ///
    /// A blocked part explains the crashes of its requests, unless it stands earlier in its prompts than `part`. So does a
    /// suspect one that stands later and was seen in as many crashes, as it will be blocked first if it is the cause.
    fn explain_crashes(
        &self,
        part: PartId,
        depth: usize,
        counts: &HashMap<PartId, usize>,
    ) -> (usize, usize) {
        let Some(record) = self.records.get(&part) else {
            return (0, 0);
        };
        let count = |part: &PartId| counts.get(part).copied().unwrap_or(0);
        let explains = |other: &PartId| {
            let Some(record) = self.records.get(other) else {
                return false;
            };
            *other != part
                && match record.state {
                    PartState::Blocked { .. } => record.depth >= depth,
                    PartState::Suspect => record.depth > depth && count(other) >= count(&part),
                    PartState::Cleared { .. } => false,
                }
        };
        let kept = self.crashes.iter();
        let counted = kept.filter(|crash| record.crashed.contains(&crash.server));
        let (explained, unexplained): (Vec<_>, Vec<_>) =
            counted.partition(|crash| crash.parts().any(explains));
        let before_last_block = record.crashes - record.crashed.len();
        (unexplained.len() + before_last_block, explained.len())
    }

    /// Returns for each part the number of kept crashes under requests with it.
    fn count_crashes(&self) -> HashMap<PartId, usize> {
        let mut counts = HashMap::new();
        for crash in &self.crashes {
            let parts: HashSet<&PartId> = crash.parts().collect();
            for part in parts {
                *counts.entry(*part).or_insert(0) += 1;
            }
        }
        counts
    }

    fn record(&mut self, part: PartId, now: Instant) -> &mut PartRecord {
        if !self.records.contains_key(&part) {
            self.make_room();
            self.order.push_back(part);
        }
        self.records.entry(part).or_insert_with(|| PartRecord {
            crashes: 0,
            crashed: Vec::new(),
            seen: Vec::new(),
            first: now,
            last: now,
            depth: 0,
            state: PartState::Suspect,
        })
    }

    fn make_room(&mut self) {
        if self.records.len() < self.capacity {
            return;
        }
        let is_blocked = |part: &PartId| self.records.get(part).is_some_and(PartRecord::is_blocked);
        let position = self.order.iter().position(|part| !is_blocked(part));
        if let Some(oldest) = self.order.remove(position.unwrap_or(0)) {
            self.records.remove(&oldest);
        }
    }
}

impl CrashRecord {
    fn parts(&self) -> impl Iterator<Item = &PartId> {
        self.requests.iter().flatten()
    }
}

impl PartState {
    fn blocked_until(self) -> Option<Instant> {
        match self {
            Self::Blocked { trials, .. } => Some(trials.last() + BLOCK_TIME),
            Self::Suspect | Self::Cleared { .. } => None,
        }
    }

    fn trials(&self) -> Option<&TrialRecord> {
        match self {
            Self::Blocked { trials, .. } => Some(trials),
            Self::Suspect | Self::Cleared { .. } => None,
        }
    }
}

impl PartRecord {
    /// Counts a crash, unless it is known or the request was sent before the last one. Returns whether it was counted.
    fn count(&mut self, server: ServerStart, sent: Option<Instant>, now: Instant) -> bool {
        self.end_block(now);
        if let PartState::Cleared { at, .. } = self.state {
            if sent.is_none_or(|sent| sent <= at) {
                return false;
            }
            self.state = PartState::Suspect;
        }
        if !self.is_live(now) {
            self.forget_crashes();
        }
        let is_later = self.crashes == 0 || sent.is_some_and(|sent| sent >= self.last);
        if self.crashed.contains(&server) || !is_later {
            return false;
        }
        if self.crashes == 0 {
            self.first = now;
        }
        self.crashes += 1;
        self.crashed.push(server);
        self.last = now;
        true
    }

    /// Notes that a server crashed under a request with the part, which may be the one of a trial.
    fn note_seen(&mut self, server: ServerStart, now: Instant) {
        if self.seen.len() < MAX_SEEN && !self.seen.contains(&server) {
            self.seen.push(server);
        }
        if let PartState::Blocked { trials, .. } = &mut self.state {
            trials.note_crashes(self.seen.len() as u32, now);
        }
    }

    /// Returns the notice for other daemons, if the part is blocked.
    fn blocked_notice(&self, part: PartId, now: Instant) -> Option<PartNotice> {
        let PartState::Blocked { since, trials } = &self.state else {
            return None;
        };
        Some(PartNotice {
            part,
            is_blocked: true,
            age: now.saturating_duration_since(*since),
            first_ago: now.saturating_duration_since(self.first),
            trials: trials.notice(now),
        })
    }

    fn forget_crashes(&mut self) {
        self.crashes = 0;
        self.crashed.clear();
        self.seen.clear();
    }

    fn clear(&mut self, at: Instant, shared_for: Duration) {
        self.forget_crashes();
        self.state = PartState::Cleared { at, shared_for };
    }

    /// Makes a part suspect whose block has ended, so that one more crash blocks it again.
    fn end_block(&mut self, now: Instant) {
        if let Some(end) = self.state.blocked_until()
            && end <= now
        {
            self.state = PartState::Suspect;
            self.last = end;
            self.crashes = BLOCKING_CRASHES - 1;
            self.crashed.clear();
        }
    }

    fn is_blocked(&self) -> bool {
        matches!(self.state, PartState::Blocked { .. })
    }

    fn is_live(&self, now: Instant) -> bool {
        match self.state {
            PartState::Suspect => self.last + SUSPECT_TIME > now,
            PartState::Blocked { .. } => true,
            PartState::Cleared { at, .. } => at + CLEARED_TIME > now,
        }
    }
}
