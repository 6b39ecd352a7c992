//! Decides what one daemon appends to the `members` stream and promises to others.
//!
//! All times are arguments and come from this daemon's monotonic clock.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use smol_str::SmolStr;

use crate::error::{Result, RunVerdict};
use crate::ids::{LogOffset, VmId};
use crate::inventory::{ListedVm, VmRole};
use crate::journal::{LogRecord, ReadBatch};
use crate::member::{MemberRecord, MemberRenewal, MemberTable, PeerTable, ShareGrant};

/// Records between two snapshots. At 320 daemons with 30 s terms this is one every half minute or more.
const SNAPSHOT_RECORDS: u64 = 1_024;
/// Pause before a snapshot is appended again.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Spread of early renewals per member: 320 members acknowledge a change within 6.4 s, at 50 appends/s.
const EARLY_RENEWAL_SPREAD: Duration = Duration::from_millis(20);
/// Age above which a read of the VM list no longer shows that this daemon is listed.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// Settings of a [`MemberAgent`].
#[derive(Clone, Debug)]
pub struct AgentSettings {
    pub name: SmolStr,
    pub zone: SmolStr,
    /// Address of this daemon's peer server, as the VM list shows it.
    pub peer: SocketAddr,
    pub term: Duration,
    /// Longest time by which the VM list lags.
    pub list_lag: Duration,
    /// Length of a promise not to expire a member, and the longest extension by one read of the VM list.
    pub promise: Duration,
}

/// What the VM list and the peers say about how recent this daemon's view is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewEvidence {
    /// Time before the newest read of the VM list.
    pub list_seen_at: Option<Instant>,
    /// Per listed or tabled VM: its next `config` offset and the time before it was asked.
    pub reports: Vec<Option<(LogOffset, Instant)>>,
}

/// Attempts to expire one renewal.
#[derive(Debug)]
struct PendingExpiry {
    retry_at: Instant,
    /// Attempts that are not known to have failed.
    attempts: u32,
}

/// State of this daemon's membership.
#[derive(Debug)]
pub struct MemberAgent {
    settings: AgentSettings,
    vm: VmId,
    /// When the incarnation replaced an earlier one; promises to that one are older.
    incarnation_started_at: Option<Instant>,
    table: MemberTable,
    /// Records after a gap, kept until a snapshot fills it.
    backlog: Option<Vec<LogRecord>>,
    caught_up: bool,
    was_member: bool,
    leaving: bool,
    /// Newest renewal of each member and when this daemon read it.
    seen: HashMap<VmId, (LogOffset, Instant)>,
    /// Times before own joins and renewals were sent, until they are read back.
    sent: BTreeMap<MemberRenewal, Instant>,
    last_renewal: MemberRenewal,
    until: Option<Instant>,
    renew_due: Option<Instant>,
    /// Target for which the next renewal was moved forward.
    early_renewal_target: Option<u32>,
    snapshot_due: Option<Instant>,
    /// Offset that must not be acknowledged before the time.
    deferred_ack: Option<(LogOffset, Instant)>,
    promised: HashMap<VmId, Instant>,
    /// Expiries that may still reach the log.
    expiring: HashMap<VmId, PendingExpiry>,
    list: Option<(Instant, Vec<ListedVm>)>,
    listed_since: Option<Instant>,
}

impl MemberAgent {
    /// Creates the agent of the incarnation `vm` with an empty table.
    pub fn new(settings: AgentSettings, vm: VmId) -> Self {
        Self {
            settings,
            vm,
            incarnation_started_at: None,
            table: MemberTable::new(),
            backlog: None,
            caught_up: false,
            was_member: false,
            leaving: false,
            seen: HashMap::new(),
            sent: BTreeMap::new(),
            last_renewal: MemberRenewal(0),
            until: None,
            renew_due: None,
            early_renewal_target: None,
            snapshot_due: None,
            deferred_ack: None,
            promised: HashMap::new(),
            expiring: HashMap::new(),
            list: None,
            listed_since: None,
        }
    }

    /// Returns the present incarnation.
    pub fn vm(&self) -> VmId {
        self.vm
    }

    /// Returns the table as far as it has been replayed.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns whether the replay has reached the log's end since the start or the last gap.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the offset to read from.
    pub fn read_from(&self) -> LogOffset {
        match self.backlog.as_ref().and_then(|records| records.last()) {
            Some(record) => record.offset.next(),
            None => self.table.next(),
        }
    }

    /// Returns the share of this daemon while it is a member, also after the term has ended.
    pub fn grant(&self) -> Option<ShareGrant> {
        self.table.member(self.vm)?;
        Some(ShareGrant {
            vm: self.vm,
            ppm: self.table.usable(self.vm),
            until: self.until?,
        })
    }

    /// Returns the share in parts per million, or `None` outside a term.
    pub fn share(&self, now: Instant) -> Option<u32> {
        self.grant()
            .filter(|grant| now < grant.until)
            .map(|grant| grant.ppm)
    }

    /// Applies the records of a read that ended at `read_at`.
    pub fn apply(&mut self, batch: &ReadBatch, read_at: Instant) {
        for record in &batch.records {
            if record.offset >= self.read_from() {
                self.replay(record, read_at);
            }
        }
        if batch.bounds.first > self.read_from() {
            self.backlog.get_or_insert_default();
            self.caught_up = false;
        }
        if self.backlog.is_none() && self.table.next() >= batch.bounds.next {
            self.caught_up = true;
        }
        let removed = self.was_member && self.table.member(self.vm).is_none();
        if self.caught_up && removed && !self.leaving {
            self.start_incarnation(read_at);
        }
        self.renew_early(read_at);
    }

    fn replay(&mut self, record: &LogRecord, read_at: Instant) {
        if self.backlog.is_none() && record.offset == self.table.next() {
            self.apply_record(record, read_at);
            return;
        }
        self.caught_up = false;
        let backlog = self.backlog.get_or_insert_default();
        backlog.push(record.clone());
        let first = backlog[0].offset;
        let Ok(MemberRecord::Snapshot { table }) = MemberRecord::decode(&record.data) else {
            return;
        };
        if table.next() < first || table.next() > record.offset {
            return;
        }
        self.table = *table;
        self.mark_all_seen(read_at);
        for record in self.backlog.take().unwrap_or_default() {
            if record.offset == self.table.next() {
                self.apply_record(&record, read_at);
            }
        }
    }

    fn mark_all_seen(&mut self, read_at: Instant) {
        self.seen = self
            .table
            .members()
            .map(|(vm, entry)| (vm, (entry.renewed, read_at)))
            .collect();
    }

    fn apply_record(&mut self, record: &LogRecord, read_at: Instant) {
        let decoded = MemberRecord::decode(&record.data).ok();
        self.table.apply(decoded.as_ref());
        let (vm, renewal) = match decoded {
            Some(MemberRecord::Join { vm, .. }) => (vm, MemberRenewal(0)),
            Some(MemberRecord::Renew { vm, renewal, .. }) => (vm, renewal),
            Some(MemberRecord::Leave { vm } | MemberRecord::Expire { vm, .. }) => {
                self.forget(vm);
                return;
            }
            Some(MemberRecord::Snapshot { .. }) | None => return,
        };
        let Some(entry) = self.table.member(vm) else {
            return;
        };
        if entry.renewed != record.offset {
            return;
        }
        self.seen.insert(vm, (record.offset, read_at));
        self.expiring.remove(&vm);
        if vm == self.vm {
            self.was_member = true;
            self.start_term(renewal);
        }
    }

    /// Drops what was kept of a member that left the table.
    fn forget(&mut self, vm: VmId) {
        if self.table.member(vm).is_none() {
            self.seen.remove(&vm);
            self.expiring.remove(&vm);
            self.promised.remove(&vm);
        }
    }

    /// Starts the term of an own renewal that was read back, measured from before it was sent.
    fn start_term(&mut self, renewal: MemberRenewal) {
        let Some(sent) = self.sent.get(&renewal).copied() else {
            return;
        };
        if self.leaving {
            return;
        }
        let end = sent + self.settings.term;
        self.until = Some(self.until.map_or(end, |until| until.max(end)));
        self.sent = self.sent.split_off(&MemberRenewal(renewal.0 + 1));
    }

    /// Replaces an incarnation that was expired; its budgets and promises do not carry over.
    fn start_incarnation(&mut self, now: Instant) {
        self.vm = VmId::random();
        self.incarnation_started_at = Some(now);
        self.was_member = false;
        self.sent.clear();
        self.last_renewal = MemberRenewal(0);
        self.until = None;
        self.renew_due = None;
        self.deferred_ack = None;
    }

    /// Moves the next renewal forward if it has to release a part of the share that others wait for.
    fn renew_early(&mut self, now: Instant) {
        let target = self.table.target();
        let held = self.table.member(self.vm).map_or(0, |own| own.granted);
        if held <= target {
            self.early_renewal_target = None;
            return;
        }
        if self.early_renewal_target == Some(target) {
            return;
        }
        self.early_renewal_target = Some(target);
        let members = u32::try_from(self.table.len()).unwrap_or(u32::MAX);
        let spread = EARLY_RENEWAL_SPREAD.saturating_mul(members);
        let at = now + spread.mul_f64(rand::rng().random());
        self.renew_due = Some(self.renew_due.map_or(at, |due| due.min(at)));
    }

    /// Keeps records from `from` on unacknowledged before `until`, while a reduction is not in full effect.
    pub fn defer_ack(&mut self, from: LogOffset, until: Instant) {
        self.deferred_ack = Some(match self.deferred_ack {
            Some((held, end)) => (held.min(from), end.max(until)),
            None => (from, until),
        });
        // The renewal that acknowledges the reduction must not wait for the regular one.
        self.renew_due = self.renew_due.map(|due| due.min(until));
    }

    fn applied(&mut self, now: Instant) -> LogOffset {
        self.deferred_ack = self.deferred_ack.filter(|(_, until)| now < *until);
        let next = self.table.next();
        self.deferred_ack.map_or(next, |(from, _)| next.min(from))
    }

    /// Returns the records that are due to be appended.
    pub fn due(&mut self, now: Instant) -> Vec<MemberRecord> {
        if !self.caught_up || self.leaving {
            return Vec::new();
        }
        if self.table.member(self.vm).is_none() {
            return self.join(now).into_iter().collect();
        }
        let mut records = Vec::new();
        records.extend(self.renew(now));
        records.extend(self.expire(now));
        records.extend(self.snapshot(now));
        records
    }

    fn join(&mut self, now: Instant) -> Option<MemberRecord> {
        if self.renew_due.is_some_and(|due| now < due) {
            return None;
        }
        self.renew_due = Some(now + self.settings.term / 3);
        // The first attempt counts, because it is unknown which of several took effect.
        self.sent.entry(MemberRenewal(0)).or_insert(now);
        Some(MemberRecord::Join {
            vm: self.vm,
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            peer: self.settings.peer,
            term: self.settings.term,
        })
    }

    fn renew(&mut self, now: Instant) -> Option<MemberRecord> {
        if self.renew_due.is_some_and(|due| now < due) {
            return None;
        }
        self.renew_due = Some(now + self.settings.term / 3);
        self.last_renewal.0 += 1;
        self.sent.insert(self.last_renewal, now);
        let applied = self.applied(now);
        if let Some((_, until)) = self.deferred_ack {
            self.renew_due = self.renew_due.map(|due| due.min(until));
        }
        Some(MemberRecord::Renew {
            vm: self.vm,
            renewal: self.last_renewal,
            applied,
        })
    }

    fn expire(&mut self, now: Instant) -> Vec<MemberRecord> {
        if !self.may_decide(now) {
            return Vec::new();
        }
        let stale: Vec<(VmId, LogOffset)> = self
            .table
            .members()
            .filter(|(vm, _)| *vm != self.vm)
            .filter_map(|(vm, entry)| {
                let (renewed, read_at) = self.seen.get(&vm).copied()?;
                let silent = now.saturating_duration_since(read_at);
                let silence_limit = entry.term.mul_f64(1.1);
                let due = renewed == entry.renewed
                    && silent >= silence_limit
                    && silent >= silence_limit + self.expiry_delay(vm, entry.term);
                due.then_some((vm, renewed))
            })
            .collect();
        let mut records = Vec::new();
        for (vm, renewal) in stale {
            let promised = self.promised.get(&vm).is_some_and(|until| now < *until);
            let tried = self
                .expiring
                .get(&vm)
                .is_some_and(|pending| now < pending.retry_at);
            if promised || tried {
                continue;
            }
            // From here on no promise is given, because the record may take effect at any later time.
            let retry_at = now + self.settings.term / 3;
            let pending = self.expiring.entry(vm).or_insert(PendingExpiry {
                retry_at,
                attempts: 0,
            });
            pending.retry_at = retry_at;
            pending.attempts += 1;
            records.push(MemberRecord::Expire { vm, renewal });
        }
        records
    }

    /// Returns whether every member that extends its term by promises knows of this daemon, so that it may append
    /// expiries and operator commands.
    ///
    /// A reader of the VM list relies on it for one promise length, so the wait is the lag and that length.
    pub fn may_decide(&self, now: Instant) -> bool {
        let wait = self.settings.list_lag + self.settings.promise;
        let fresh = self
            .list
            .as_ref()
            .is_some_and(|(read_at, _)| now.saturating_duration_since(*read_at) <= MAX_LIST_AGE);
        let listed = self
            .listed_since
            .is_some_and(|since| now.saturating_duration_since(since) >= wait);
        fresh && listed && self.share(now).is_some()
    }

    /// Returns how long this daemon lets others go first, so that one expiry of `vm` is appended in most cases.
    fn expiry_delay(&self, vm: VmId, term: Duration) -> Duration {
        let own = expiry_rank(vm, self.vm);
        let before = self
            .table
            .members()
            .filter(|(other, _)| *other != vm && expiry_rank(vm, *other) < own)
            .count();
        (term / 60).saturating_mul(u32::try_from(before).unwrap_or(u32::MAX))
    }

    fn snapshot(&mut self, now: Instant) -> Option<MemberRecord> {
        let pending = self.table.next().0 - self.table.snapshot().0;
        let wait = self.snapshot_due.is_some_and(|due| now < due);
        if pending < SNAPSHOT_RECORDS || wait || self.table.oldest() != Some(self.vm) {
            return None;
        }
        self.snapshot_due = Some(now + SNAPSHOT_RETRY_DELAY);
        Some(MemberRecord::Snapshot {
            table: Box::new(self.table.clone()),
        })
    }

    /// Notes the result of appending `record`.
    pub fn handle_append_result(
        &mut self,
        record: &MemberRecord,
        result: &Result<LogOffset>,
        now: Instant,
    ) {
        let Err(error) = result else {
            return;
        };
        match record {
            MemberRecord::Join { .. } | MemberRecord::Renew { .. } => {
                let at = now + self.settings.term / 6;
                self.renew_due = self.renew_due.map(|due| due.min(at));
            }
            MemberRecord::Expire { vm, .. } if error.verdict() == RunVerdict::NotRun => {
                self.remove_failed_attempt(*vm);
            }
            _ => {}
        }
    }

    /// Counts an attempt that surely did not reach the log; earlier ones may still do so.
    fn remove_failed_attempt(&mut self, vm: VmId) {
        let Some(pending) = self.expiring.get_mut(&vm) else {
            return;
        };
        pending.attempts = pending.attempts.saturating_sub(1);
        if pending.attempts == 0 {
            self.expiring.remove(&vm);
        }
    }

    /// Promises not to expire `vm` for the returned time; zero is no promise.
    pub fn promise(&mut self, vm: VmId, now: Instant) -> Duration {
        let removed = self.caught_up && self.table.member(vm).is_none();
        if removed || self.expiring.contains_key(&vm) {
            return Duration::ZERO;
        }
        self.promised.insert(vm, now + self.settings.promise);
        self.promised.retain(|_, until| now < *until);
        self.settings.promise
    }

    /// Notes a read of the VM list that was asked for at `asked_at` and answered at `now`.
    pub fn record_list(&mut self, list: Vec<ListedVm>, asked_at: Instant, now: Instant) {
        let own = self.settings.peer;
        let listed = entry_addresses(&list).any(|address| address == own);
        self.listed_since = listed.then(|| self.listed_since.unwrap_or(now));
        self.list = Some((asked_at, list));
    }

    /// Returns the addresses of all other daemons, listed or in the table.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let listed = self.list.iter().flat_map(|(_, list)| entry_addresses(list));
        let tabled = self.table.members().map(|(_, entry)| entry.peer);
        let mut addresses: Vec<SocketAddr> = listed
            .chain(tabled)
            .filter(|address| *address != self.settings.peer)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Extends a term that has not ended, if every other daemon has promised not to expire this one.
    ///
    /// A term that has ended is not revived: a daemon that has restarted since could not tell whether its
    /// former incarnation appended an expiry.
    pub fn extend_term(&mut self, peer_table: &PeerTable, now: Instant) {
        let Some(until) = self.until.filter(|until| now < *until) else {
            return;
        };
        if self.leaving || self.table.member(self.vm).is_none() {
            return;
        }
        let Some((listed_at, _)) = &self.list else {
            return;
        };
        let mut end = *listed_at + self.settings.promise;
        for address in self.peer_addresses() {
            let Some(entry) = peer_table.entry(address) else {
                return;
            };
            if self
                .incarnation_started_at
                .is_some_and(|at| entry.asked_at < at)
            {
                return;
            }
            end = end.min(entry.asked_at + entry.status.no_expire_for);
        }
        self.until = Some(until.max(end));
    }

    /// Returns what the VM list and the peers say about the age of this daemon's configuration.
    pub fn evidence(&self, peer_table: &PeerTable) -> ViewEvidence {
        let reports = self.peer_addresses().into_iter().map(|address| {
            let entry = peer_table.entry(address)?;
            Some((entry.status.config_next, entry.asked_at))
        });
        ViewEvidence {
            list_seen_at: self.list.as_ref().map(|(asked_at, _)| *asked_at),
            reports: reports.collect(),
        }
    }

    /// Stops renewals and ends the term; the caller appends the returned record.
    pub fn leave(&mut self) -> MemberRecord {
        self.leaving = true;
        self.until = None;
        MemberRecord::Leave { vm: self.vm }
    }
}

fn entry_addresses(list: &[ListedVm]) -> impl Iterator<Item = SocketAddr> {
    list.iter()
        .filter(|vm| vm.role == VmRole::Entry)
        .map(|vm| vm.address)
}

fn expiry_rank(vm: VmId, other: VmId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (vm, other).hash(&mut hasher);
    hasher.finish()
}
