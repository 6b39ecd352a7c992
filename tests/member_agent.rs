//! Decisions of the membership agent on a clock that the test sets.

#![allow(
    clippy::unwrap_used,
    reason = "a broken test set-up fails by panicking"
)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxtailhill::Error;
use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::inventory::{ListedVm, VmRole, VmState};
use foxtailhill::journal::{LogRecord, ReadBatch, StreamBounds};
use foxtailhill::member::{AgentSettings, MemberAgent, MemberRecord, PeerTable};
use foxtailhill::peer::PeerStatus;

const TERM: Duration = Duration::from_secs(30);
const LAG: Duration = Duration::from_secs(20);
const PROMISE: Duration = Duration::from_secs(10);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + index))
}

fn agent(index: u16) -> MemberAgent {
    let settings = AgentSettings {
        name: format!("vm-{index}").into(),
        zone: "catania".into(),
        peer: address(index),
        term: TERM,
        list_lag: LAG,
        promise: PROMISE,
    };
    MemberAgent::new(settings, VmId(u64::from(index)))
}

fn list(indexes: std::ops::Range<u16>) -> Vec<ListedVm> {
    let listed = indexes.map(|index| ListedVm {
        name: format!("vm-{index}").into(),
        zone: "catania".into(),
        role: VmRole::Entry,
        address: address(index),
        state: VmState::Live,
    });
    listed.collect()
}

#[derive(Default)]
struct TestLog {
    records: Vec<MemberRecord>,
    first: u64,
}

impl TestLog {
    fn read(&self, agent: &mut MemberAgent, now: Instant) {
        let next = self.records.len() as u64;
        let from = agent.read_from().0.max(self.first);
        let records = (from..next).map(|offset| LogRecord {
            offset: LogOffset(offset),
            data: self.records[usize::try_from(offset).unwrap()]
                .encode()
                .unwrap(),
        });
        let batch = ReadBatch {
            records: records.collect(),
            bounds: StreamBounds {
                first: LogOffset(self.first),
                next: LogOffset(next),
            },
        };
        agent.apply(&batch, now);
    }

    /// Appends what is due; returns how many records.
    fn append_due(&mut self, agent: &mut MemberAgent, now: Instant) -> usize {
        let due = agent.due(now);
        let count = due.len();
        self.records.extend(due);
        count
    }
}

/// Two members that have read each other's join at `start`.
fn two_members(start: Instant) -> (TestLog, MemberAgent, MemberAgent) {
    let mut log = TestLog::default();
    let (mut one, mut two) = (agent(1), agent(2));
    for member in [&mut one, &mut two] {
        log.read(member, start);
        log.append_due(member, start);
    }
    log.read(&mut one, start);
    log.read(&mut two, start);
    (log, one, two)
}

/// Renews `one` every five seconds until `end`, reading the list each time.
fn keep_alive(log: &mut TestLog, one: &mut MemberAgent, from: Instant, end: Duration) {
    let mut at = Duration::ZERO;
    while at <= end {
        one.record_list(list(1..3), from + at, from + at);
        log.append_due(one, from + at);
        log.read(one, from + at);
        at += s(1);
    }
}

fn expiries(log: &TestLog) -> usize {
    let expire = |record: &&MemberRecord| matches!(record, MemberRecord::Expire { .. });
    log.records.iter().filter(expire).count()
}

/// Guards against an expiry before the member's own term has surely ended, or one that never comes.
#[test]
fn a_silent_member_is_expired_after_its_term_and_a_tenth() {
    let start = Instant::now();
    let (mut log, mut one, _) = two_members(start);
    keep_alive(&mut log, &mut one, start, s(32));
    assert_eq!(expiries(&log), 0);
    keep_alive(&mut log, &mut one, start + s(33), s(3));
    assert_eq!(expiries(&log), 1);
    assert_eq!(one.table().len(), 1);
}

/// Guards against an expiry by a daemon that others cannot have seen on the lagging VM list yet.
#[test]
fn only_a_daemon_listed_for_the_lag_expires_others() {
    let start = Instant::now();
    let (mut log, mut one, _) = two_members(start);
    for second in 0..60 {
        let now = start + s(second);
        // Listed from second 40 on: lag and promise end at second 70.
        one.record_list(list(if second < 40 { 2 } else { 1 }..3), now, now);
        log.append_due(&mut one, now);
        log.read(&mut one, now);
    }
    assert_eq!(expiries(&log), 0);
    keep_alive(&mut log, &mut one, start + s(60), s(15));
    assert_eq!(expiries(&log), 1);
}

/// Guards against an expiry that breaks a promise, and a promise while an expiry may still reach the log.
#[test]
fn promises_and_expiries_exclude_each_other() {
    let start = Instant::now();
    let (mut log, mut one, _) = two_members(start);
    keep_alive(&mut log, &mut one, start, s(32));
    assert_eq!(one.promise(VmId(2), start + s(32)), PROMISE);
    keep_alive(&mut log, &mut one, start + s(33), s(8));
    assert_eq!(expiries(&log), 0);
    let now = start + s(43);
    let due = one.due(now);
    let expire = due
        .iter()
        .find(|record| matches!(record, MemberRecord::Expire { .. }));
    let expire = expire.unwrap().clone();
    assert_eq!(one.promise(VmId(2), now), Duration::ZERO);
    one.handle_append_result(&expire, &Err(Error::unavailable("refused")), now);
    assert_eq!(one.promise(VmId(2), now), PROMISE);
}

/// Guards against a promise after one of two attempts failed, while the other may still take effect.
#[test]
fn one_failed_attempt_does_not_clear_a_pending_one() {
    let start = Instant::now();
    let (mut log, mut one, _) = two_members(start);
    keep_alive(&mut log, &mut one, start, s(32));
    let is_expire = |record: &MemberRecord| matches!(record, MemberRecord::Expire { .. });
    let mut attempts = Vec::new();
    for second in 33..60 {
        let now = start + s(second);
        one.record_list(list(1..3), now, now);
        let (expire, other): (Vec<_>, Vec<_>) = one.due(now).into_iter().partition(is_expire);
        attempts.extend(expire);
        log.records.extend(other);
        log.read(&mut one, now);
    }
    assert!(attempts.len() >= 2);
    let failed = Err(Error::unavailable("refused"));
    one.handle_append_result(&attempts[1], &failed, start + s(60));
    assert_eq!(one.promise(VmId(2), start + s(60)), Duration::ZERO);
}

/// Guards against a term that counts from the answer or the read instead of from before the renewal was sent.
#[test]
fn a_term_counts_from_before_the_renewal_was_sent() {
    let start = Instant::now();
    let mut log = TestLog::default();
    let mut one = agent(1);
    log.read(&mut one, start);
    log.append_due(&mut one, start);
    assert_eq!(one.share(start), None);
    log.read(&mut one, start + s(25));
    assert_eq!(one.share(start + s(29)), Some(1_000_000));
    assert_eq!(one.share(start + TERM), None);
}

/// Guards against a renewal that extends the term although an expiry came first on the log.
#[test]
fn a_renewal_after_an_expiry_extends_nothing() {
    let start = Instant::now();
    let (mut log, mut one, _) = two_members(start);
    let former = one.vm();
    let renewal = one.table().member(former).unwrap().renewed;
    log.records.push(MemberRecord::Expire {
        vm: former,
        renewal,
    });
    log.append_due(&mut one, start + s(11));
    log.read(&mut one, start + s(12));
    assert_eq!(one.share(start + s(12)), None);
    assert_ne!(one.vm(), former);
    log.append_due(&mut one, start + s(12));
    log.read(&mut one, start + s(12));
    assert_eq!(one.table().member(one.vm()).unwrap().name, "vm-1");
}

fn status(vm: VmId, promise: Duration) -> PeerStatus {
    PeerStatus {
        vm,
        name: "vm".into(),
        config_next: LogOffset(0),
        members_next: LogOffset(0),
        log_reachable: false,
        no_expire_for: promise,
        spare: Vec::new(),
        leaving: Vec::new(),
    }
}

/// Guards against an extension without every promise, beyond the shortest one, or after the term has ended.
#[test]
fn a_term_is_extended_only_by_all_promises() {
    let start = Instant::now();
    let (_, mut one, _) = two_members(start);
    let peer_table = PeerTable::new();
    let asked = start + s(25);
    one.record_list(list(1..4), asked, asked);
    peer_table.record(address(2), status(VmId(2), PROMISE), asked);
    one.extend_term(&peer_table, asked);
    assert_eq!(
        one.grant().unwrap().until,
        start + TERM,
        "vm-3 has not promised"
    );
    peer_table.record(address(3), status(VmId(3), s(8)), asked);
    one.extend_term(&peer_table, asked);
    assert_eq!(one.grant().unwrap().until, asked + s(8));
    let later = start + s(34);
    peer_table.record(address(2), status(VmId(2), PROMISE), later);
    peer_table.record(address(3), status(VmId(3), PROMISE), later);
    one.extend_term(&peer_table, start + s(32));
    assert_eq!(
        one.grant().unwrap().until,
        asked + PROMISE,
        "as far as the list was read"
    );
    one.record_list(list(1..4), later, later);
    one.extend_term(&peer_table, start + s(36));
    assert_eq!(
        one.grant().unwrap().until,
        asked + PROMISE,
        "the term had ended"
    );
}

/// Guards against an acknowledged reduction while loans still exceed the reduced share.
#[test]
fn a_reduction_is_acknowledged_only_after_its_loans_end() {
    let start = Instant::now();
    let mut log = TestLog::default();
    let (mut one, mut two) = (agent(1), agent(2));
    log.read(&mut one, start);
    log.append_due(&mut one, start);
    log.read(&mut one, start);
    log.read(&mut two, start);
    log.append_due(&mut two, start);
    let before = one.table().next();
    log.read(&mut one, start);
    one.defer_ack(before, start + s(2));
    log.append_due(&mut one, start + s(1));
    log.read(&mut two, start + s(1));
    assert_eq!(two.table().usable(VmId(2)), 0);
    log.append_due(&mut one, start + s(2));
    log.read(&mut two, start + s(2));
    assert_eq!(two.table().usable(VmId(2)), 500_000);
}

/// Guards against a daemon that takes the rest of a truncated stream for the whole.
#[test]
fn a_truncated_stream_is_replayed_from_a_snapshot() {
    let start = Instant::now();
    let (mut log, mut one, _) = two_members(start);
    log.append_due(&mut one, start + s(10));
    log.read(&mut one, start + s(10));
    log.first = 2;
    let mut late = agent(3);
    log.read(&mut late, start + s(11));
    assert!(!late.caught_up());
    assert!(late.due(start + s(11)).is_empty());
    let table = Box::new(one.table().clone());
    log.records.push(MemberRecord::Snapshot { table });
    log.read(&mut one, start + s(12));
    log.read(&mut late, start + s(12));
    assert!(late.caught_up());
    assert_eq!(late.table(), one.table());
}

struct LargeFleet {
    log: TestLog,
    agents: Vec<MemberAgent>,
}

impl LargeFleet {
    fn run(&mut self, start: Instant, seconds: std::ops::Range<u64>, dead: usize) -> Vec<usize> {
        let count = u16::try_from(self.agents.len()).unwrap() + 1;
        let mut rates = Vec::new();
        for second in seconds {
            let now = start + s(second);
            let before = self.log.records.len();
            for agent in self.agents.iter_mut().skip(dead) {
                agent.record_list(list(1..count), now, now);
                self.log.append_due(agent, now);
            }
            for agent in self.agents.iter_mut().skip(dead) {
                self.log.read(agent, now);
            }
            rates.push(self.log.records.len() - before);
        }
        rates
    }
}

/// Guards against renewals or expiries that use up the log: it takes several hundred appends a second in all.
#[test]
fn a_large_fleet_stays_within_the_append_rate() {
    let start = Instant::now();
    let mut fleet = LargeFleet {
        log: TestLog::default(),
        agents: (1..=160).map(agent).collect(),
    };
    fleet.run(start, 0..60, 0);
    let steady = fleet.run(start, 60..90, 0);
    let average = steady.iter().sum::<usize>() / steady.len();
    assert!(average <= 20, "{average} appends/s by 160 members");
    // A third of the members falls silent at once.
    let failing = fleet.run(start, 90..150, 53);
    let peak = failing.iter().max().unwrap();
    println!(
        "steady {average}/s, peak {peak}/s, {} expiries",
        expiries(&fleet.log)
    );
    assert_eq!(fleet.agents[159].table().len(), 107);
    assert!(expiries(&fleet.log) <= 3 * 53);
    assert!(*peak <= 200);
}

/// Guards against a member that reads its own join and later ones at once and keeps their share until its
/// regular renewal.
#[test]
fn an_excess_share_is_released_early() {
    let start = Instant::now();
    let (mut log, mut one, mut two) = two_members(start);
    assert_eq!(two.table().usable(VmId(2)), 0);
    log.append_due(&mut one, start + s(1));
    log.read(&mut two, start + s(1));
    assert_eq!(two.table().usable(VmId(2)), 500_000);
}
