//! The follower and `commit_record` against a log with faults.

mod config_support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::error::RunVerdict;
use foxtailhill::ids::LogOffset;
use foxtailhill::journal::{StreamFollower, StreamName, commit_record, read_bounds};
use foxtailhill::kernel::TaskGroup;
use tokio::time::timeout;

use crate::config_support::{FakeLog, WAIT_TIMEOUT, until};

const STREAM: StreamName = StreamName::Claims;

type Seen = Arc<Mutex<Vec<(u64, Bytes)>>>;

fn follow(group: &TaskGroup, journal: &Arc<FakeLog>, start: u64) -> (StreamFollower, Seen) {
    let seen = Seen::default();
    let sink = seen.clone();
    let follower = StreamFollower::spawn(
        group,
        journal.clone(),
        STREAM,
        LogOffset(start),
        move |record| {
            let entry = (record.offset.0, record.data.clone());
            sink.lock().expect("not poisoned").push(entry);
        },
    );
    (follower, seen)
}

/// Guards against records that are missed, duplicated or reordered around an outage, and against a follower that
/// counts as caught up while the log does not answer.
#[tokio::test]
async fn records_arrive_once_and_in_order_through_outages() {
    let journal = Arc::new(FakeLog::default());
    let group = TaskGroup::new();
    for index in 0..600_u32 {
        journal.put(STREAM, index.to_string());
    }
    let (follower, seen) = follow(&group, &journal, 3);
    timeout(WAIT_TIMEOUT, follower.wait_applied(LogOffset(600)))
        .await
        .unwrap()
        .unwrap();
    journal.set_down(true);
    for index in 600..700_u32 {
        journal.put(STREAM, index.to_string());
    }
    let down_since = Instant::now();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(follower.status().next, LogOffset(600));
    assert!(
        follower
            .status()
            .caught_up_at
            .is_none_or(|at| at < down_since)
    );
    journal.set_down(false);
    timeout(WAIT_TIMEOUT, follower.wait_caught_up(Instant::now()))
        .await
        .unwrap()
        .unwrap();
    let expected: Vec<_> = (3..700_u64)
        .map(|at| (at, Bytes::from(at.to_string())))
        .collect();
    assert_eq!(*seen.lock().unwrap(), expected);
    group.shutdown().await;
}

/// Guards against a follower that skips records that retention removed before they were read.
#[tokio::test]
async fn a_gap_stops_the_follower_and_is_reported() {
    let journal = Arc::new(FakeLog::default());
    let group = TaskGroup::new();
    for index in 0..10_u32 {
        journal.put(STREAM, index.to_string());
    }
    journal.retain_from(STREAM, 4);
    let bounds = read_bounds(&*journal, STREAM).await.unwrap();
    assert_eq!((bounds.first, bounds.next), (LogOffset(4), LogOffset(10)));
    let (follower, seen) = follow(&group, &journal, 3);
    until("the gap is reported", || follower.gap().is_some()).await;
    let gap = follower.gap().unwrap();
    assert_eq!((gap.next, gap.first), (LogOffset(3), LogOffset(4)));
    journal.put(STREAM, "more");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(seen.lock().unwrap().is_empty());
    assert_eq!(follower.status().caught_up_at, None);
    group.shutdown().await;
}

/// Guards against a second append after a lost answer, and against `not_run` for a record that may be on the log.
#[tokio::test]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let journal = FakeLog::default();
    journal.put(STREAM, "other");
    journal.lose_answers(1);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let commit = |deadline| {
        commit_record(
            &journal,
            STREAM,
            "own".into(),
            LogOffset(0),
            deadline,
            |record| record.data == "own",
        )
    };
    assert_eq!(commit(deadline).await.unwrap(), LogOffset(1));
    assert_eq!(journal.records(STREAM).len(), 2);

    let journal = FakeLog::default();
    journal.lose_appends(1);
    let deadline = Instant::now() + Duration::from_millis(300);
    let lost = commit_record(
        &journal,
        STREAM,
        "own".into(),
        LogOffset(0),
        deadline,
        |_| true,
    );
    assert_eq!(lost.await.unwrap_err().verdict(), RunVerdict::MayHaveRun);

    journal.set_down(true);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let refused = commit_record(
        &journal,
        STREAM,
        "own".into(),
        LogOffset(0),
        deadline,
        |_| true,
    );
    assert_eq!(refused.await.unwrap_err().verdict(), RunVerdict::NotRun);
}

/// Guards against a record that retention removed being reported as never appended.
#[tokio::test]
async fn commit_reports_may_have_run_if_retention_removed_records() {
    let journal = FakeLog::default();
    journal.put(STREAM, "other");
    journal.put(STREAM, "other");
    journal.retain_from(STREAM, 2);
    journal.lose_appends(1);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let lost = commit_record(
        &journal,
        STREAM,
        "own".into(),
        LogOffset(0),
        deadline,
        |_| false,
    );
    let lost = timeout(WAIT_TIMEOUT, lost).await.unwrap();
    assert_eq!(lost.unwrap_err().verdict(), RunVerdict::MayHaveRun);
}
