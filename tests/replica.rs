//! The catalog replica against a log with faults, and with peers.

mod config_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foxtailhill::catalog::{ApplyVerdict, ChangeCommand, Revision};
use foxtailhill::error::{Error, Result, RunVerdict};
use foxtailhill::ids::LogOffset;
use foxtailhill::inventory::{ListedVm, VmList, VmRole, VmState};
use foxtailhill::journal::StreamName;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::peer::{PeerCaller, PeerReply, PeerRequest};
use foxtailhill::replica::{
    CatalogReplica, FleetPeers, ReplicaOptions, ReplicaPeers, decode_state, encode_state,
    first_in_rendezvous_order,
};
use foxtailhill::timer::TimerService;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::config_support::{FakeLog, WAIT_TIMEOUT, put_team, until};

const NEVER: Duration = Duration::from_secs(3_600);

/// Peers that return fixed states.
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
    catalog.set_append_allowed(true);
    Replica { group, catalog }
}

async fn start_ready(journal: &Arc<FakeLog>) -> Replica {
    let replica = start(journal, FakePeers::default(), NEVER);
    let ready = timeout(WAIT_TIMEOUT, replica.catalog.wait_ready()).await;
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

/// Guards against a change that is applied twice or reported as lost because the log's answer was lost.
#[tokio::test]
async fn lost_answers_are_resolved_by_command_id() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    journal.lose_answers(1);
    let command = put_team("desks", 5, 0);
    let report = replica
        .catalog
        .submit(command.clone(), WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(report.verdict, ApplyVerdict::Accepted(Revision(1)));
    assert_eq!(journal.records(StreamName::Config).len(), 1);

    let again = replica.catalog.submit(command, WAIT_TIMEOUT).await.unwrap();
    assert_eq!(again, report);

    journal.lose_appends(2);
    let report = replica
        .catalog
        .submit(put_team("desks", 6, 1), WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(report.verdict, ApplyVerdict::Accepted(Revision(2)));
    assert_eq!(replica.catalog.current().team("desks").unwrap().rate, 6);
    replica.group.shutdown().await;
}

/// Guards against `not_run` for a change that may be on the log, and `may_have_run` for one that is certainly not.
#[tokio::test]
async fn failed_changes_report_correct_verdicts() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    let short = Duration::from_millis(200);
    journal.lose_appends(1);
    let unknown = replica.catalog.submit(put_team("desks", 5, 0), short).await;
    assert_eq!(unknown.unwrap_err().verdict(), RunVerdict::MayHaveRun);
    journal.set_down(true);
    let refused = replica
        .catalog
        .submit(put_team("desks", 5, 0), WAIT_TIMEOUT)
        .await;
    assert_eq!(refused.unwrap_err().verdict(), RunVerdict::NotRun);
    replica.catalog.set_append_allowed(false);
    journal.set_down(false);
    let refused = replica.catalog.submit(put_team("desks", 5, 0), short).await;
    assert_eq!(refused.unwrap_err().verdict(), RunVerdict::NotRun);
    assert!(journal.records(StreamName::Config).is_empty());
    replica.group.shutdown().await;
}

/// Guards against `not_run` for a change that took effect and whose second append was refused.
#[tokio::test]
async fn a_refused_second_append_does_not_hide_the_first() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    journal.lose_answer_and_go_down();
    let command = put_team("desks", 5, 0);
    let wait = Duration::from_millis(2_500);
    let unknown = replica.catalog.submit(command.clone(), wait).await;
    assert_eq!(unknown.unwrap_err().verdict(), RunVerdict::MayHaveRun);
    journal.set_down(false);
    let report = replica.catalog.submit(command, WAIT_TIMEOUT).await.unwrap();
    assert_eq!(
        (report.offset, report.verdict),
        (LogOffset(0), ApplyVerdict::Accepted(Revision(1)))
    );
    replica.group.shutdown().await;
}

/// Guards against a start from a snapshot that is corrupt, incomplete or not the newest valid one.
#[tokio::test]
async fn start_loads_newest_valid_snapshot() {
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
    // Corrupts the snapshot that the last chunk belongs to.
    journal.corrupt(StreamName::Snapshots, chunks - 1);

    let replica = start_ready(&journal).await;
    let catalog = replica.catalog.current();
    assert_eq!(catalog.next_offset(), LogOffset(601));
    assert_eq!(catalog.teams().count(), 600);
    replica.group.shutdown().await;
}

/// Guards against a daemon that serves with a configuration that misses records removed by retention.
#[tokio::test]
async fn gap_keeps_replica_unready_until_newer_state_is_installed() {
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
        .submit(put_team("desks", 5, 0), WAIT_TIMEOUT)
        .await;
    assert_eq!(refused.unwrap_err().verdict(), RunVerdict::NotRun);
    assert!(replica.catalog.encode_state().is_err());
    replica.catalog.install_state(&state).unwrap();
    let ready = timeout(WAIT_TIMEOUT, replica.catalog.wait_ready()).await;
    ready.unwrap().unwrap();
    replica.group.shutdown().await;

    // A corrupt state of one peer is skipped, and the state of another closes the gap.
    let mut broken = state.clone();
    *broken.last_mut().unwrap() ^= 1;
    let peers = FakePeers {
        states: vec![broken, state],
        ..FakePeers::default()
    };
    let replica = start(&journal, peers, NEVER);
    let ready = timeout(WAIT_TIMEOUT, replica.catalog.wait_ready()).await;
    ready.unwrap().unwrap();
    assert_eq!(replica.catalog.next_offset(), LogOffset(3));
    for group in [replica.group, source.group] {
        group.shutdown().await;
    }
}

/// Guards against a daemon that becomes ready with an empty or old state while the log is down.
#[tokio::test]
async fn start_during_log_outage_installs_newest_peer_state() {
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
    timeout(WAIT_TIMEOUT, helped.catalog.wait_ready())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(helped.catalog.next_offset(), LogOffset(3));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(!alone.catalog.is_ready());
    journal.set_down(false);
    timeout(WAIT_TIMEOUT, alone.catalog.wait_ready())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(alone.catalog.next_offset(), LogOffset(3));
    for group in [alone.group, helped.group, source.group] {
        group.shutdown().await;
    }
}

/// Guards against pushed records that are applied twice or at wrong offsets, malformed pushed records that are skipped
/// (only a malformed record on the log is), and an applied offset that decreases.
#[tokio::test]
async fn pushed_records_apply_in_order_and_offset_never_decreases() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    let catalog = &replica.catalog;
    let empty = encode_state(&catalog.current()).unwrap();
    journal.set_down(true);
    let records: Vec<_> = (0..5)
        .map(|index| put(&journal, &put_team(&format!("team-{index}"), 5, 0)))
        .collect();
    assert_eq!(
        catalog.apply_pushed(LogOffset(1), &records[1..]),
        LogOffset(0)
    );
    assert_eq!(
        catalog.apply_pushed(LogOffset(0), &records[..3]),
        LogOffset(3)
    );
    assert_eq!(
        catalog.apply_pushed(LogOffset(1), &records[1..4]),
        LogOffset(4)
    );
    assert_eq!(
        catalog.apply_pushed(LogOffset(4), &[vec![0xff, 9]]),
        LogOffset(4)
    );
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

/// Guards against a malformed record that stops every daemon or shifts the offsets after it.
#[tokio::test]
async fn malformed_record_on_log_is_skipped() {
    let journal = Arc::new(FakeLog::default());
    journal.put(StreamName::Config, vec![0xff; 20]);
    put(&journal, &put_team("desks", 5, 0));
    let replica = start_ready(&journal).await;
    let target = put_team("desks", 5, 0).change.target();
    assert_eq!(replica.catalog.current().revision(&target), Revision(2));
    replica.group.shutdown().await;
}

/// Guards against a VM that counts as confirmed by a report from before its restart, and against lost reports of VMs
/// that are not expected yet.
#[tokio::test]
async fn confirmations_follow_the_latest_reports() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    let catalog = &replica.catalog;
    catalog.record_peer_offset(&"vm-2".into(), LogOffset(7));
    catalog.set_expected_vms(["vm-2".into(), "vm-3".into()].into());
    let at = |offset| {
        let found = catalog.confirmations(LogOffset(offset));
        (found.confirmed.join(" "), found.pending.join(" "))
    };
    assert_eq!(at(6), ("vm-2".into(), "vm-1 vm-3".into()));
    catalog.record_peer_offset(&"vm-2".into(), LogOffset(6));
    assert_eq!(at(6), (String::new(), "vm-1 vm-2 vm-3".into()));
    catalog
        .submit(put_team("desks", 5, 0), WAIT_TIMEOUT)
        .await
        .unwrap();
    catalog.record_peer_offset(&"vm-3".into(), LogOffset(1));
    let confirmed = catalog.wait_confirmed(LogOffset(0), WAIT_TIMEOUT).await;
    assert!(confirmed.pending.is_empty());
    catalog.set_expected_vms(Default::default());
    assert_eq!(at(0), ("vm-1".into(), String::new()));
    replica.group.shutdown().await;
}

/// Guards against a daemon that skips a record of a later version, so that its state differs from that of newer
/// daemons.
#[tokio::test]
async fn a_record_of_a_later_version_stops_the_replica() {
    let journal = Arc::new(FakeLog::default());
    put(&journal, &put_team("desks", 5, 0));
    journal.put(StreamName::Config, vec![2, 0, 0]);
    put(&journal, &put_team("agents", 5, 0));
    let replica = start(&journal, FakePeers::default(), NEVER);
    until("the first record is applied", || {
        replica.catalog.next_offset() == LogOffset(1)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(replica.catalog.next_offset(), LogOffset(1));
    assert!(!replica.catalog.is_ready());
    assert_eq!(replica.catalog.status().caught_up_at, None);
    replica.group.shutdown().await;
}

/// Calls replicas in this process; the port of the address is the index of the replica.
struct LocalCaller {
    replicas: Vec<Arc<CatalogReplica<FakeLog>>>,
}

impl PeerCaller for LocalCaller {
    async fn call(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
        _wait: Duration,
    ) -> Result<PeerReply> {
        let replica = self.replicas.get(usize::from(peer.port()));
        let replica = replica.ok_or_else(|| Error::unavailable("no such peer"))?;
        replica
            .handle_peer_request(&request)
            .expect("a configuration call")
    }
}

struct LocalList {
    vms: usize,
}

impl VmList for LocalList {
    async fn list(&self) -> Result<Vec<ListedVm>> {
        let vms = (0..self.vms).map(|port| ListedVm {
            name: format!("vm-{port}").into(),
            zone: "z".into(),
            role: VmRole::Entry,
            address: address(port),
            state: VmState::Live,
        });
        Ok(vms.collect())
    }
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).expect("port fits")))
}

/// Guards against states that are not fetched newest first or come from a peer that is not ready, and against pushes
/// that do not reach a lagging peer.
#[tokio::test]
async fn states_are_fetched_newest_first_and_records_pushed() {
    let journal = Arc::new(FakeLog::default());
    put_changes(&journal, 2);
    let old = start_ready(&journal).await;
    // The old replica follows a log of its own that lags.
    let longer = Arc::new(FakeLog::default());
    for record in journal.records(StreamName::Config) {
        longer.put(StreamName::Config, record);
    }
    put_changes(&longer, 3);
    let new = start_ready(&longer).await;
    let down = Arc::new(FakeLog::default());
    down.set_down(true);
    let unready = start(&down, FakePeers::default(), NEVER);
    let groups = [old.group, new.group, unready.group];
    let replicas: Vec<_> = [old.catalog, new.catalog, unready.catalog]
        .into_iter()
        .map(Arc::new)
        .collect();
    let caller = Arc::new(LocalCaller {
        replicas: replicas.clone(),
    });
    let peers = FleetPeers::new(
        caller.clone(),
        Arc::new(LocalList { vms: 5 }),
        address(4),
        || true,
    );
    let states = peers.fetch_states().await;
    let offsets: Vec<_> = states
        .iter()
        .map(|state| decode_state(state).unwrap().next_offset())
        .collect();
    assert_eq!(offsets, [LogOffset(5), LogOffset(2)]);

    let name = "vm-0".into();
    replicas[1].record_peer_offset(&name, replicas[0].next_offset());
    replicas[1]
        .push_to_peer(&*caller, &name, address(0))
        .await
        .unwrap();
    assert_eq!(replicas[0].next_offset(), LogOffset(5));
    assert_eq!(replicas[1].reported_offset(&name), Some(LogOffset(5)));
    for group in groups {
        group.shutdown().await;
    }
}

/// Guards against VMs with the same view that choose different snapshot writers.
#[test]
fn rendezvous_order_does_not_depend_on_the_order_of_names() {
    let names: Vec<SmolStr> = (0..9).map(|vm| format!("vm-{vm}").into()).collect();
    let first = first_in_rendezvous_order("snapshots", &names);
    assert!(first.is_some());
    assert_eq!(
        first_in_rendezvous_order("snapshots", names.iter().rev()),
        first
    );
}

/// Guards against a team that is in the catalog before the limiter knows it, as its requests would be refused.
#[tokio::test]
async fn teams_never_lag_behind_the_catalog() {
    let journal = Arc::new(FakeLog::default());
    let replica = start_ready(&journal).await;
    let mut catalogs = replica.catalog.subscribe();
    let teams = replica.catalog.teams();
    put_changes(&journal, 20);
    let mut declared = 0;
    while declared < 20 {
        timeout(WAIT_TIMEOUT, catalogs.changed())
            .await
            .expect("a change in time")
            .expect("replica runs");
        declared = catalogs.borrow_and_update().teams().count();
        let known = teams.borrow().len();
        assert!(known >= declared, "{known} of {declared} teams are known");
    }
    replica.group.shutdown().await;
}
