//! The catalog replica against a log with faults, and with peers.

mod config_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foxtailhill::catalog::{ApplyVerdict, ChangeCommand, Revision};
use foxtailhill::error::RunVerdict;
use foxtailhill::ids::LogOffset;
use foxtailhill::journal::StreamName;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::replica::{CatalogReplica, ReplicaOptions, ReplicaPeers, encode_state};
use foxtailhill::timer::TimerService;
use tokio::time::timeout;

use crate::config_support::{FakeLog, PATIENCE, put_team, until};

const NEVER: Duration = Duration::from_secs(3_600);

/// Peers that give fixed states.
#[derive(Default)]
struct FakePeers {
    states: Vec<Vec<u8>>,
    writer: AtomicBool,
}

impl ReplicaPeers for FakePeers {
    async fn fetch_states(&self) -> Vec<Vec<u8>> {
        self.states.clone()
    }

    fn writes_snapshots(&self) -> bool {
        self.writer.load(Ordering::Relaxed)
    }
}

struct Replica {
    group: TaskGroup,
    catalog: CatalogReplica<FakeLog>,
}

fn start(journal: &Arc<FakeLog>, peers: FakePeers, snapshot_period: Duration) -> Replica {
    let group = TaskGroup::new();
    let timer = TimerService::spawn(&group);
    let options = ReplicaOptions {
        vm: "vm-1".into(),
        snapshot_period,
    };
    let catalog = CatalogReplica::spawn(&group, &timer, journal.clone(), Arc::new(peers), options);
    catalog.allow_append(true);
    Replica { group, catalog }
}

async fn start_ready(journal: &Arc<FakeLog>) -> Replica {
    let replica = start(journal, FakePeers::default(), NEVER);
    let ready = timeout(PATIENCE, replica.catalog.wait_ready()).await;
    ready.expect("ready in time").expect("replica runs");
    replica
}

fn put(journal: &FakeLog, command: &ChangeCommand) -> Vec<u8> {
    let record = command.encode().expect("command fits");
    journal.put(StreamName::Config, record.clone());
    record
}

/// Puts `count` changes of one team on the log.
fn put_changes(journal: &FakeLog, count: u64) {
    let base = journal.records(StreamName::Config).len() as u64;
    for index in 0..count {
        put(journal, &put_team(&format!("team-{}", base + index), 5, 0));
    }
}

/// Guards against a change that is made twice or reported as lost because the log's answer was.
#[tokio::test]
async fn lost_answers_are_resolved_by_command_id() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    journal.lose_answers(1);
    let command = put_team("desks", 5, 0);
    let report = replica
        .catalog
        .submit(command.clone(), PATIENCE)
        .await
        .unwrap();
    assert_eq!(report.verdict, ApplyVerdict::Accepted(Revision(1)));
    assert_eq!(journal.records(StreamName::Config).len(), 1);

    let again = replica.catalog.submit(command, PATIENCE).await.unwrap();
    assert_eq!(again, report);

    journal.lose_appends(2);
    let report = replica
        .catalog
        .submit(put_team("desks", 6, 1), PATIENCE)
        .await
        .unwrap();
    assert_eq!(report.verdict, ApplyVerdict::Accepted(Revision(2)));
    assert_eq!(replica.catalog.current().team("desks").unwrap().rate, 6);
    replica.group.shutdown().await;
}

/// Guards against `not_run` for a change that may be on the log, and against the reverse.
#[tokio::test]
async fn verdicts_of_failed_changes_are_true() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    let short = Duration::from_millis(200);
    journal.lose_appends(1);
    let unknown = replica.catalog.submit(put_team("desks", 5, 0), short).await;
    assert_eq!(unknown.unwrap_err().verdict(), RunVerdict::MayHaveRun);
    journal.set_down(true);
    let refused = replica
        .catalog
        .submit(put_team("desks", 5, 0), PATIENCE)
        .await;
    assert_eq!(refused.unwrap_err().verdict(), RunVerdict::NotRun);
    replica.catalog.allow_append(false);
    journal.set_down(false);
    let refused = replica
        .catalog
        .submit(put_team("desks", 5, 0), PATIENCE)
        .await;
    assert_eq!(refused.unwrap_err().verdict(), RunVerdict::NotRun);
    assert!(journal.records(StreamName::Config).is_empty());
    replica.group.shutdown().await;
}

/// Guards against a start from a snapshot that is corrupt or incomplete, and against one that is older than need be.
#[tokio::test]
async fn a_start_takes_the_newest_sound_snapshot() {
    let journal = Arc::new(FakeLog::default());
    put_changes(&journal, 600);
    let peers = FakePeers {
        writer: true.into(),
        ..FakePeers::default()
    };
    let writer = start(&journal, peers, Duration::from_millis(200));
    let written = || journal.records(StreamName::Snapshots).len();
    until("two snapshots are written", || written() >= 6).await;
    writer.group.shutdown().await;
    let chunks = written();
    journal.retain_from(StreamName::Config, 600);
    put_changes(&journal, 1);
    // Whatever snapshot the last chunk belongs to is spoilt.
    journal.corrupt(StreamName::Snapshots, chunks - 1);

    let replica = start_ready(&journal).await;
    let catalog = replica.catalog.current();
    assert_eq!(catalog.next_offset(), LogOffset(601));
    assert_eq!(catalog.teams().count(), 600);
    replica.group.shutdown().await;
}

/// Guards against a daemon that serves with a configuration that lacks records that retention removed.
#[tokio::test]
async fn a_gap_keeps_a_replica_unready_until_a_state_closes_it() {
    let journal = Arc::new(FakeLog::default());
    put_changes(&journal, 3);
    let source = start_ready(&journal).await;
    let state = source.catalog.encode_state().unwrap();
    journal.retain_from(StreamName::Config, 2);
    let replica = start(&journal, FakePeers::default(), NEVER);
    until("the gap is seen", || replica.catalog.gap().is_some()).await;
    assert!(!replica.catalog.is_ready());
    let refused = replica
        .catalog
        .submit(put_team("desks", 5, 0), PATIENCE)
        .await;
    assert_eq!(refused.unwrap_err().verdict(), RunVerdict::NotRun);
    assert!(replica.catalog.encode_state().is_err());
    replica.catalog.install_state(&state).unwrap();
    let ready = timeout(PATIENCE, replica.catalog.wait_ready()).await;
    ready.unwrap().unwrap();
    replica.group.shutdown().await;

    // A peer's state closes it without help, past a state that is corrupt.
    let mut broken = state.clone();
    *broken.last_mut().unwrap() ^= 1;
    let peers = FakePeers {
        states: vec![broken, state],
        ..FakePeers::default()
    };
    let replica = start(&journal, peers, NEVER);
    let ready = timeout(PATIENCE, replica.catalog.wait_ready()).await;
    ready.unwrap().unwrap();
    assert_eq!(replica.catalog.next_offset(), LogOffset(3));
    for group in [replica.group, source.group] {
        group.shutdown().await;
    }
}

/// Guards against a daemon that becomes ready with an empty or old state while the log is down.
#[tokio::test]
async fn a_start_in_an_outage_takes_the_newest_state_of_a_peer() {
    let journal = Arc::new(FakeLog::default());
    put_changes(&journal, 2);
    let source = start_ready(&journal).await;
    let old = source.catalog.encode_state().unwrap();
    put_changes(&journal, 1);
    until("the source is current", || {
        source.catalog.next_offset() == LogOffset(3)
    })
    .await;
    let new = source.catalog.encode_state().unwrap();
    journal.set_down(true);

    let alone = start(&journal, FakePeers::default(), NEVER);
    let peers = FakePeers {
        states: vec![new, old],
        ..FakePeers::default()
    };
    let helped = start(&journal, peers, NEVER);
    timeout(PATIENCE, helped.catalog.wait_ready())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(helped.catalog.next_offset(), LogOffset(3));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(!alone.catalog.is_ready());
    journal.set_down(false);
    timeout(PATIENCE, alone.catalog.wait_ready())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(alone.catalog.next_offset(), LogOffset(3));
    for group in [alone.group, helped.group, source.group] {
        group.shutdown().await;
    }
}

/// Guards against pushed records that are applied at wrong offsets, twice, or although only the log can tell
/// whether they are malformed; and against an applied offset that goes back.
#[tokio::test]
async fn pushed_records_apply_in_order_and_never_go_back() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    let catalog = &replica.catalog;
    let empty = encode_state(&catalog.current()).unwrap();
    journal.set_down(true);
    let records: Vec<_> = (0..5)
        .map(|index| put(&journal, &put_team(&format!("team-{index}"), 5, 0)))
        .collect();
    assert_eq!(catalog.push(LogOffset(1), &records[1..]), LogOffset(0));
    assert_eq!(catalog.push(LogOffset(0), &records[..3]), LogOffset(3));
    assert_eq!(catalog.push(LogOffset(1), &records[1..4]), LogOffset(4));
    assert_eq!(catalog.push(LogOffset(4), &[vec![9, 9]]), LogOffset(4));
    assert_eq!(catalog.install_state(&empty).unwrap(), LogOffset(4));
    assert_eq!(catalog.current().teams().count(), 4);
    let kept = catalog.records_from(LogOffset(2)).unwrap();
    assert_eq!(
        (kept.first, kept.records),
        (LogOffset(2), records[2..4].to_vec())
    );
    assert_eq!(catalog.records_from(LogOffset(4)), None);

    journal.set_down(false);
    until("the log adds the rest", || {
        catalog.next_offset() == LogOffset(5)
    })
    .await;
    assert_eq!(catalog.current().teams().count(), 5);
    replica.group.shutdown().await;
}

/// Guards against a record that is not a change and stops every daemon, or shifts the offsets after it.
#[tokio::test]
async fn a_malformed_record_on_the_log_is_passed_over() {
    let journal = Arc::new(FakeLog::default());
    journal.put(StreamName::Config, vec![0xff; 20]);
    put(&journal, &put_team("desks", 5, 0));
    let replica = start_ready(&journal).await;
    let target = put_team("desks", 5, 0).change.target();
    assert_eq!(replica.catalog.current().revision(&target), Revision(2));
    replica.group.shutdown().await;
}

/// Guards against a VM that counts as confirmed from a report before its restart, or before it is expected.
#[tokio::test]
async fn confirmations_follow_the_latest_reports() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    let catalog = &replica.catalog;
    catalog.note_peer(&"vm-2".into(), LogOffset(7));
    catalog.expect_peers(["vm-2".into(), "vm-3".into()].into());
    let at = |offset| {
        let found = catalog.confirmations(LogOffset(offset));
        (found.confirmed.join(" "), found.pending.join(" "))
    };
    assert_eq!(at(6), ("vm-2".into(), "vm-1 vm-3".into()));
    catalog.note_peer(&"vm-2".into(), LogOffset(6));
    assert_eq!(at(6), (String::new(), "vm-1 vm-2 vm-3".into()));
    catalog
        .submit(put_team("desks", 5, 0), PATIENCE)
        .await
        .unwrap();
    catalog.note_peer(&"vm-3".into(), LogOffset(1));
    let confirmed = catalog.wait_confirmed(LogOffset(0), PATIENCE).await;
    assert!(confirmed.pending.is_empty());
    catalog.expect_peers(Default::default());
    assert_eq!(at(0), ("vm-1".into(), String::new()));
    replica.group.shutdown().await;
}
