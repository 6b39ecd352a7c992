//! How often a reader calls the store while its answers cannot be used, and how soon it sees that they can.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use foxtailhill::Result;
use foxtailhill::error::Error;
use foxtailhill::ids::LogOffset;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::relay::{
    FollowPace, RecordStore, StoreHealth, StoreTable, TableChange, TableRead, TableSink,
    follow_table,
};
use tokio::sync::watch;
use tokio::time::Instant;

const PACE: FollowPace = FollowPace {
    wait: Duration::from_secs(1),
    pause: Duration::from_millis(100),
};
/// Time for which a fault lasts.
const FAULT_TIME: Duration = Duration::from_secs(60);
/// Most calls in that time: two a second, and the first ones.
const MAX_CALLS: usize = 130;
/// Time after its end in which the records are seen: a record must be in force 2 s after its acknowledgement.
const SEEN_WITHIN: Duration = Duration::from_millis(1_100);

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Unavailable,
    NewestUnusable,
    ReadUnusable,
    PositionGone,
}

/// A store without records, with a fault.
struct FaultyStore {
    fault: watch::Sender<Fault>,
    calls: AtomicUsize,
}

impl FaultyStore {
    fn begin_call(&self) -> Fault {
        self.calls.fetch_add(1, Ordering::SeqCst);
        *self.fault.borrow()
    }
}

impl RecordStore for FaultyStore {
    async fn newest(&self, _table: StoreTable) -> Result<TableRead> {
        match self.begin_call() {
            Fault::Unavailable => Err(Error::unavailable("the store is unavailable")),
            Fault::NewestUnusable => Err(Error::invalid("a page is malformed")),
            _ => Ok(TableRead::default()),
        }
    }

    async fn read(
        &self,
        _table: StoreTable,
        from: LogOffset,
        wait: Duration,
    ) -> Result<Option<TableRead>> {
        match self.begin_call() {
            Fault::Unavailable => Err(Error::unavailable("the store is unavailable")),
            Fault::ReadUnusable => Err(Error::invalid("a read ends too early")),
            Fault::PositionGone => Ok(None),
            Fault::None | Fault::NewestUnusable => {
                tokio::time::sleep(wait).await;
                Ok(Some(TableRead {
                    next: from,
                    ..TableRead::default()
                }))
            }
        }
    }

    async fn put(&self, _table: StoreTable, _key: &str, _value: Bytes) -> Result<()> {
        Ok(())
    }
}

/// Counts whole reads.
#[derive(Default)]
struct SnapshotCount(AtomicUsize);

impl TableSink for SnapshotCount {
    fn apply(&self, change: TableChange) {
        if matches!(change, TableChange::Snapshot(_)) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
}

struct FaultRun {
    calls: usize,
    /// Time from the end of the fault to the next whole read; `None` if there was none.
    seen_after: Option<Duration>,
}

/// Follows a table whose store has a fault for [`FAULT_TIME`].
async fn run(fault: Fault) -> FaultRun {
    let store = Arc::new(FaultyStore {
        fault: watch::Sender::new(fault),
        calls: AtomicUsize::new(0),
    });
    let sink = Arc::<SnapshotCount>::default();
    let (_sender, reading) = watch::channel(true);
    let group = TaskGroup::new();
    group.spawn_cancellable(follow_table(
        store.clone(),
        StoreTable::Servers,
        PACE,
        sink.clone(),
        reading,
        Arc::<StoreHealth>::default(),
    ));
    tokio::time::sleep(FAULT_TIME).await;
    let calls = store.calls.load(Ordering::SeqCst);
    let (before, ended) = (sink.0.load(Ordering::SeqCst), Instant::now());
    store.fault.send_replace(Fault::None);
    let mut seen_after = None;
    while seen_after.is_none() && ended.elapsed() < FAULT_TIME {
        tokio::time::sleep(Duration::from_millis(10)).await;
        seen_after = (sink.0.load(Ordering::SeqCst) > before).then(|| ended.elapsed());
    }
    group.cancel();
    group.shutdown().await;
    println!("{fault:?}: {calls} calls in {FAULT_TIME:?}, whole read after {seen_after:?}");
    FaultRun { calls, seen_after }
}

/// Guards against a store that is read five times a second for as long as its answers cannot be used, and against a
/// reader that pauses for too long to see in time that they can.
#[tokio::test(start_paused = true)]
async fn unusable_answers_are_asked_for_ever_less_often() {
    let newest = run(Fault::NewestUnusable).await;
    let read = run(Fault::ReadUnusable).await;
    let gone = run(Fault::PositionGone).await;
    for (case, run) in [("newest", &newest), ("read", &read), ("gone", &gone)] {
        assert!(run.calls <= MAX_CALLS, "{case}: {} calls", run.calls);
    }
    let seen = newest.seen_after;
    assert!(seen.is_some_and(|after| after <= SEEN_WITHIN), "{seen:?}");
}

/// Guards against a reader that sees late that the store is available again.
#[tokio::test(start_paused = true)]
async fn store_that_is_available_again_is_read_at_once() {
    let run = run(Fault::Unavailable).await;
    let seen = run.seen_after;
    let limit = Duration::from_millis(250);
    assert!(seen.is_some_and(|after| after <= limit), "{seen:?}");
}
