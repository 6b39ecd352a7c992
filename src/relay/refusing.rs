//! Which backend servers refuse connections, as found by this daemon and by its peers, and when to probe them.
//!
//! Such a server gets no request until it accepts a connection or starts anew. Only refused connections count: they are
//! an answer of the server's host. A time-out may be the fault of this daemon's own link.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::blame::ServerStart;

/// Time from a refused connection to the first probe. A process that is replaced in place listens again within that.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time between two probes, which limits how long a server that accepts again stays unused.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Probes after which the pause no longer doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Time for which a peer's report holds unless it is repeated.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);
/// Age of the last refusal up to which a daemon reports a server: two probes at the longest pause, and a margin. An
/// older refusal may have been followed by time-outs, which may be the fault of the daemon's own link.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Maximum number of reports in one datagram. At 600 servers the loss of a tenth fits; each takes 14 bytes at most.
const MAX_REPORTS: usize = 64;
/// Time for which findings are gathered for one datagram.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// Shortest time between two datagrams with findings, that is at most three per second.
const MIN_DATAGRAM_GAP: Duration = Duration::from_millis(350);

/// A daemon's report that a server refuses connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// The start of the server to which the report belongs.
    pub server: ServerStart,
    /// Time since the daemon's last connection was refused, in milliseconds.
    pub age_ms: u32,
}

/// Outcome of a connection that was opened to find out whether a server accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Accepted,
    Refused,
    /// Neither, for example no answer in time.
    Unknown,
}

/// A server that refuses connections.
#[derive(Debug)]
struct Refusal {
    /// When a connection of this daemon was refused last.
    own: Option<Instant>,
    /// When a connection of any daemon was refused last, as far as known.
    found: Instant,
    /// Until when the latest report of a peer holds.
    reported_until: Option<Instant>,
    /// Probes that were not accepted.
    probes: u32,
    next_probe: Instant,
}

/// Servers that refuse connections, by start.
#[derive(Debug, Default)]
pub struct RefusalTable {
    refusals: HashMap<ServerStart, Refusal>,
    /// When each server accepted a connection of this daemon last.
    accepted: HashMap<ServerStart, Instant>,
    /// Servers whose connections broke, to be probed now.
    wanted: HashSet<ServerStart>,
    /// Servers with a probe under way.
    probing: HashSet<ServerStart>,
    /// Own findings that peers have not been told.
    untold: Vec<ServerStart>,
    /// When the oldest of them was found.
    untold_since: Option<Instant>,
    told_at: Option<Instant>,
}

impl RefusalTable {
    /// Returns whether a server gets no requests because it refuses connections.
    pub fn is_refusing(&self, server: ServerStart, now: Instant) -> bool {
        let refusal = self.refusals.get(&server);
        refusal.is_some_and(|refusal| refusal.holds(now))
    }

    /// Returns the number of servers that refuse connections.
    pub fn count(&self, now: Instant) -> usize {
        let refusals = self.refusals.values();
        refusals.filter(|refusal| refusal.holds(now)).count()
    }

    /// Records that a server refused a connection of this daemon at `now`. Returns whether it counted as accepting.
    pub fn note_refused(&mut self, server: ServerStart, now: Instant) -> bool {
        if self.has_accepted_since(server, now) {
            return false;
        }
        let is_new = !self.is_refusing(server, now);
        let refusal = self.refusal(server, now);
        refusal.own = refusal.own.max(Some(now));
        refusal.found = refusal.found.max(now);
        if is_new {
            self.untold.push(server);
            self.untold_since.get_or_insert(now);
        }
        is_new
    }

    /// Records that a server accepted a connection of this daemon that was opened at `at`. Returns whether it counted as
    /// refusing.
    pub fn note_accepted(&mut self, server: ServerStart, at: Instant) -> bool {
        let accepted = self.accepted.entry(server).or_insert(at);
        *accepted = at.max(*accepted);
        let refusal = self.refusals.get(&server);
        let is_over = refusal.is_some_and(|refusal| refusal.found <= at);
        is_over && self.refusals.remove(&server).is_some()
    }

    /// Applies a peer's report. Returns whether the server counted as accepting and no longer does.
    pub fn apply_report(&mut self, report: RefusalReport, now: Instant) -> bool {
        let age = Duration::from_millis(report.age_ms.into());
        let Some(found) = now.checked_sub(age).filter(|_| age <= MAX_REPORT_AGE) else {
            return false;
        };
        if self.has_accepted_since(report.server, found) {
            return false;
        }
        let is_new = !self.is_refusing(report.server, now);
        let refusal = self.refusal(report.server, now);
        refusal.found = refusal.found.max(found);
        refusal.reported_until = Some(now + REPORT_LIFETIME);
        is_new
    }

    /// Forgets a server that has started anew.
    pub fn forget(&mut self, server: ServerStart) {
        self.refusals.remove(&server);
        self.accepted.remove(&server);
        self.wanted.remove(&server);
    }

    /// Records that a connection to a server broke, which may have crashed. It is probed now, so that it is not a request
    /// that finds out.
    pub fn note_broken(&mut self, server: ServerStart, now: Instant) {
        if !self.is_refusing(server, now) {
            self.wanted.insert(server);
        }
    }

    /// Forgets servers that are not listed, and peers' reports that were not repeated.
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(ServerStart) -> bool) {
        self.refusals
            .retain(|server, refusal| refusal.holds(now) && is_listed(*server));
        self.accepted.retain(|server, _| is_listed(*server));
    }

    /// Takes up to `max` servers that are to be probed now. Each has one probe at a time, whose outcome must be passed to
    /// [`Self::end_probe`].
    pub fn take_probes(&mut self, max: usize, now: Instant) -> Vec<ServerStart> {
        let due = self.refusals.iter();
        let due = due.filter(|(_, refusal)| refusal.next_probe <= now);
        let due = due.map(|(server, _)| server).chain(&self.wanted);
        let due = due.filter(|server| !self.probing.contains(*server));
        let due: HashSet<ServerStart> = due.copied().collect();
        let taken: Vec<ServerStart> = due.into_iter().take(max).collect();
        for server in &taken {
            self.wanted.remove(server);
            self.probing.insert(*server);
        }
        taken
    }

    /// Records the outcome of a probe that was begun at `begun`. Returns whether that changes whether the server counts as
    /// refusing.
    pub fn end_probe(
        &mut self,
        server: ServerStart,
        outcome: ProbeOutcome,
        begun: Instant,
        now: Instant,
    ) -> bool {
        self.probing.remove(&server);
        let is_changed = match outcome {
            ProbeOutcome::Accepted => self.note_accepted(server, begun),
            ProbeOutcome::Refused => self.note_refused(server, now),
            ProbeOutcome::Unknown => false,
        };
        let Some(refusal) = self.refusals.get_mut(&server).filter(|_| !is_changed) else {
            return is_changed;
        };
        refusal.probes += 1;
        let doublings = refusal.probes.min(MAX_DOUBLINGS);
        refusal.next_probe = now + (FIRST_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
        false
    }

    /// Returns the reports that each pulse repeats: this daemon's own findings, newest first.
    pub fn reports(&self, now: Instant) -> Vec<RefusalReport> {
        let servers = self.refusals.keys().copied();
        self.reports_of(servers, now)
    }

    /// Returns when the findings that peers have not been told are due to be sent; `None` if there are none.
    pub fn untold_due(&self) -> Option<Instant> {
        let gathered = self.untold_since? + GATHER_TIME;
        let spaced = self.told_at.map(|at| at + MIN_DATAGRAM_GAP);
        Some(spaced.map_or(gathered, |spaced| spaced.max(gathered)))
    }

    /// Takes the findings that peers have not been told.
    pub fn take_untold(&mut self, now: Instant) -> Vec<RefusalReport> {
        self.untold_since = None;
        let untold = std::mem::take(&mut self.untold);
        let reports = self.reports_of(untold.into_iter(), now);
        if !reports.is_empty() {
            self.told_at = Some(now);
        }
        reports
    }

    fn reports_of(
        &self,
        servers: impl Iterator<Item = ServerStart>,
        now: Instant,
    ) -> Vec<RefusalReport> {
        let reports = servers.filter_map(|server| {
            let own = self.refusals.get(&server)?.own?;
            let age = now.saturating_duration_since(own);
            (age <= MAX_REPORT_AGE).then_some(RefusalReport {
                server,
                // Cannot truncate, given the maximum age.
                age_ms: age.as_millis() as u32,
            })
        });
        let mut reports: Vec<_> = reports.collect();
        reports.sort_unstable_by_key(|report| report.age_ms);
        reports.truncate(MAX_REPORTS);
        reports
    }

    fn has_accepted_since(&self, server: ServerStart, found: Instant) -> bool {
        let accepted = self.accepted.get(&server);
        accepted.is_some_and(|accepted| *accepted > found)
    }

    fn refusal(&mut self, server: ServerStart, now: Instant) -> &mut Refusal {
        self.refusals.entry(server).or_insert(Refusal {
            own: None,
            found: now.checked_sub(MAX_REPORT_AGE).unwrap_or(now),
            reported_until: None,
            probes: 0,
            next_probe: now + FIRST_PAUSE,
        })
    }
}

impl Refusal {
    fn holds(&self, now: Instant) -> bool {
        self.own.is_some() || self.reported_until.is_some_and(|until| until > now)
    }
}
