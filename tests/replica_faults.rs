//! Concurrent changes on several replicas while the log fails at random.

mod config_support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhill::catalog::{ApplyVerdict, ChangeCommand, FleetCatalog};
use foxtailhill::error::{Result, RunVerdict};
use foxtailhill::ids::{LogOffset, RecordId};
use foxtailhill::journal::StreamName;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::replica::{CatalogReplica, ChangeReport, NoPeers, ReplicaOptions, encode_state};
use foxtailhill::timer::TimerService;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::config_support::{FakeLog, put_team, until};

/// Variable with the seed of an earlier run. Repeats its faults and changes, but not their interleaving.
const SEED_VARIABLE: &str = "FOXTAILHILL_SEED";

const REPLICAS: usize = 3;
const CHANGES_PER_REPLICA: usize = 80;

type Outcomes = Vec<(RecordId, Result<ChangeReport>)>;

fn start(group: &TaskGroup, journal: &Arc<FakeLog>) -> Arc<CatalogReplica<FakeLog>> {
    let timer = TimerService::spawn(group);
    let options = ReplicaOptions {
        vm: "vm".into(),
        snapshot_period: Duration::from_millis(100),
    };
    let replica = CatalogReplica::spawn(group, &timer, journal.clone(), Arc::new(NoPeers), options);
    replica.set_append_allowed(true);
    Arc::new(replica)
}

/// Makes changes to few teams, so that replicas often start from the same revision.
async fn make_changes(replica: Arc<CatalogReplica<FakeLog>>, seed: u64) -> Outcomes {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcomes = Vec::new();
    replica.wait_ready().await.expect("replica runs");
    for _ in 0..CHANGES_PER_REPLICA {
        let name = format!("team-{}", random.random_range(0..2));
        let mut command = put_team(&name, random.random_range(1..100), 0);
        command.base = replica.current().revision(&command.change.target());
        let id = command.id;
        // Long waits reach the second append of a command; short waits keep the test short.
        let wait = match random.random_ratio(1, 10) {
            true => Duration::from_secs(3),
            false => Duration::from_millis(100),
        };
        let outcome = replica.submit(command, wait).await;
        outcomes.push((id, outcome));
    }
    outcomes
}

/// Replays the log. Returns the final state, and the first offset and verdict of each command.
fn replay(journal: &FakeLog) -> (FleetCatalog, HashMap<RecordId, ChangeReport>) {
    let mut catalog = FleetCatalog::default();
    let mut reports = HashMap::new();
    let records = journal.records(StreamName::Config);
    for (offset, record) in (0..).map(LogOffset).zip(records) {
        let command = ChangeCommand::decode(&record).expect("record is valid");
        let verdict = catalog.apply(offset, &command);
        let report = ChangeReport { offset, verdict };
        reports.entry(command.id).or_insert(report);
    }
    (catalog, reports)
}

/// Guards against replicas whose states differ, changes that are reported with another verdict than the log gives
/// them, and `not_run` for a change that is on the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replicas_converge_and_report_verdicts_of_log() {
    let seed = match std::env::var(SEED_VARIABLE) {
        Ok(text) => text.parse().expect("the seed is a number"),
        Err(_) => rand::random(),
    };
    println!("{SEED_VARIABLE}={seed}");
    let journal = Arc::new(FakeLog::default());
    let group = TaskGroup::new();
    journal.set_random_faults(Some(seed));
    let mut replicas: Vec<_> = (0..REPLICAS).map(|_| start(&group, &journal)).collect();
    let mut writers = JoinSet::new();
    for (index, replica) in (1..).zip(&replicas) {
        writers.spawn(make_changes(replica.clone(), seed.wrapping_add(index)));
    }
    let outcomes: Outcomes = writers.join_all().await.into_iter().flatten().collect();
    journal.set_random_faults(None);
    // One more replica starts from a snapshot.
    replicas.push(start(&group, &journal));
    let end = LogOffset(journal.records(StreamName::Config).len() as u64);
    until("all replicas reach the end", || {
        replicas.iter().all(|replica| replica.next_offset() == end)
    })
    .await;

    let (expected, reports) = replay(&journal);
    let expected = encode_state(&expected).unwrap();
    for replica in &replicas {
        assert!(
            encode_state(&replica.current()).unwrap() == expected,
            "states differ"
        );
    }
    let (mut accepted, mut refused) = (0, 0);
    for (id, outcome) in outcomes {
        match outcome {
            Ok(report) => {
                accepted += u32::from(matches!(report.verdict, ApplyVerdict::Accepted(_)));
                assert_eq!(Some(&report), reports.get(&id));
            }
            Err(cause) if cause.verdict() == RunVerdict::NotRun => {
                refused += 1;
                assert_eq!(None, reports.get(&id), "{cause}");
            }
            Err(_) => {}
        }
    }
    assert!(
        accepted > 0 && refused > 0,
        "too few outcomes to check anything"
    );
    group.shutdown().await;
}
