//! Tasks that panic, and services that end while their process goes on.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::ensure;
use foxtailhill::error::{Error, Result};
use foxtailhill::ids::LogOffset;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::metrics::DaemonMetrics;
use foxtailhill::relay::{
    FollowPace, KeyedRecord, RecordStore, StoreHealth, StoreTable, TableChange, TableRead,
    TableSink, spawn_reader,
};
use foxtailhill::timer::TimerService;
use tokio::sync::watch;

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than any time for which a restarted service keeps a process from being ready.
const LATER: Duration = Duration::from_secs(60);

async fn until(what: &str, condition: impl Fn() -> bool) -> eyre::Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        ensure!(Instant::now() < end, "{what} did not happen");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

fn count(metrics: &DaemonMetrics, name: &str) -> Option<u64> {
    let line = format!("foxtailhill_task_faults_total{{kind=\"{name}\"}} ");
    let text = metrics.encode();
    let found = text.lines().find_map(|text| text.strip_prefix(&line));
    found.and_then(|count| count.parse().ok())
}

/// Guards against a service that panics and is gone while its process goes on and calls itself ready.
#[tokio::test]
async fn service_that_panics_or_ends_is_restarted() -> eyre::Result<()> {
    for panics in [true, false] {
        let group = TaskGroup::new();
        let metrics = DaemonMetrics::new().with_faults(group.faults());
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = runs.clone();
        let sibling = group.sibling();
        sibling.spawn_service("reader", move || {
            let run = counted.fetch_add(1, Ordering::SeqCst);
            async move {
                if run == 0 && panics {
                    panic!("a record cannot be read");
                }
                if run > 0 {
                    std::future::pending::<()>().await;
                }
            }
        });
        let checked = async {
            until("a restart", || runs.load(Ordering::SeqCst) == 2).await?;
            let error = group.faults().check(Instant::now());
            ensure!(error.is_err(), "ready right after a restart");
            ensure!(count(&metrics, "reader") == Some(1), "{}", metrics.encode());
            group.faults().check(Instant::now() + LATER)?;
            Ok(())
        };
        let checked = checked.await;
        sibling.shutdown().await;
        checked?;
    }
    Ok(())
}

/// Guards against a process without a task that cannot be restarted, and against one that ends because of a single
/// request.
#[tokio::test]
async fn panic_of_an_essential_task_asks_for_the_end_of_the_process() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let metrics = DaemonMetrics::new().with_faults(group.faults());
    group.spawn(async { panic!("one request") });
    group.spawn_cancellable(async { panic!("one connection") });
    until("the panics", || count(&metrics, file!()) == Some(2)).await?;
    group.faults().check(Instant::now())?;
    let ended = tokio::time::timeout(Duration::ZERO, group.faults().ended()).await;
    ensure!(
        ended.is_err(),
        "the process ends after the panic of a request"
    );
    group.spawn_essential("timer", async { panic!("no more ticks") });
    let error = tokio::time::timeout(WAIT_TIMEOUT, group.faults().ended()).await?;
    ensure!(error.message().contains("`timer`"), "{error}");
    ensure!(count(&metrics, "timer") == Some(1), "{}", metrics.encode());
    ensure!(
        group.faults().check(Instant::now() + LATER).is_err(),
        "ready"
    );
    group.shutdown().await;
    Ok(())
}

/// Guards against a process that ends because one input makes its task panic, and against a task that leaves behind what
/// keeps the input from being served again.
#[tokio::test]
async fn panic_of_a_task_that_can_recover_ends_only_this_task() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let metrics = DaemonMetrics::new().with_faults(group.faults());
    let recovered = Arc::new(AtomicUsize::new(0));
    for _ in 0..3 {
        let counted = recovered.clone();
        let task = async { panic!("one report") };
        group.spawn_recoverable("report", task, move || {
            counted.fetch_add(1, Ordering::SeqCst);
        });
    }
    let counted = recovered.clone();
    group.spawn_recoverable("report", async {}, move || {
        counted.fetch_add(1, Ordering::SeqCst);
    });
    until("the panics", || recovered.load(Ordering::SeqCst) == 3).await?;
    ensure!(count(&metrics, "report") == Some(3), "{}", metrics.encode());
    group.faults().check(Instant::now())?;
    group.spawn_recoverable("order", async { panic!("an order") }, || panic!("its end"));
    let error = tokio::time::timeout(WAIT_TIMEOUT, group.faults().ended()).await?;
    ensure!(error.message().contains("`order`"), "{error}");
    group.shutdown().await;
    ensure!(
        recovered.load(Ordering::SeqCst) == 3,
        "recovered without a panic"
    );
    Ok(())
}

/// Guards against periodic work that is never done again after it has panicked once.
#[tokio::test]
async fn periodic_work_goes_on_after_a_panic() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let timer = TimerService::spawn(&group);
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    timer.spawn_periodic(&group, "work", Duration::from_millis(1), move |_| {
        let call = counted.fetch_add(1, Ordering::SeqCst);
        assert!(call != 1, "the second call");
    });
    until("more calls", || calls.load(Ordering::SeqCst) > 5).await?;
    group.shutdown().await;
    Ok(())
}

/// A store whose table has one record.
struct OneRecord;

impl RecordStore for OneRecord {
    async fn newest(&self, _table: StoreTable) -> Result<TableRead> {
        Ok(TableRead {
            records: vec![KeyedRecord {
                key: "i-1".into(),
                value: Some(Bytes::from_static(b"{}")),
                offset: LogOffset(0),
            }],
            next: LogOffset(1),
            ..TableRead::default()
        })
    }

    async fn read(
        &self,
        _table: StoreTable,
        _from: LogOffset,
        wait: Duration,
    ) -> Result<Option<TableRead>> {
        tokio::time::sleep(wait).await;
        Err(Error::unavailable("nothing new"))
    }

    async fn put(&self, _table: StoreTable, _key: &str, _value: Bytes) -> Result<()> {
        Ok(())
    }
}

/// A sink that panics at its first snapshots, with its lock held.
#[derive(Default)]
struct FragileSink {
    snapshots: Mutex<usize>,
    /// Number of the first snapshot that is applied.
    sound_from: usize,
}

impl FragileSink {
    fn snapshots(&self) -> MutexGuard<'_, usize> {
        self.snapshots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableSink for FragileSink {
    fn apply(&self, change: TableChange) {
        let mut snapshots = self.snapshots();
        if matches!(change, TableChange::Snapshot(_)) {
            *snapshots += 1;
            assert!(*snapshots >= self.sound_from, "snapshot {snapshots}");
        }
    }
}

fn read_into(group: &TaskGroup, sink: &Arc<FragileSink>, health: &Arc<StoreHealth>) {
    let pace = FollowPace {
        wait: Duration::from_secs(60),
        pause: Duration::ZERO,
    };
    let reading = watch::channel(true).1;
    let table = StoreTable::Servers;
    let (store, sink, health) = (Arc::new(OneRecord), sink.clone(), health.clone());
    spawn_reader(group, store, table, pace, sink, reading, health);
}

/// Guards against a table that is never read again because its reader has panicked.
#[tokio::test]
async fn reader_reads_its_table_anew_after_a_panic() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let health = Arc::<StoreHealth>::default();
    let sink = Arc::new(FragileSink {
        sound_from: 2,
        ..FragileSink::default()
    });
    read_into(&group, &sink, &health);
    until("reading", || health.is_reading(Instant::now())).await?;
    ensure!(*sink.snapshots() == 2, "{} snapshots", sink.snapshots());
    group.shutdown().await;
    Ok(())
}

/// Guards against a daemon from which others copy a list although it cannot apply what it reads.
#[tokio::test]
async fn reader_that_cannot_apply_its_table_does_not_count_as_reading() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let health = Arc::<StoreHealth>::default();
    // Another table is read without trouble.
    health.note(StoreTable::Daemons, true, Instant::now());
    let sink = Arc::new(FragileSink {
        sound_from: usize::MAX,
        ..FragileSink::default()
    });
    read_into(&group, &sink, &health);
    until("another snapshot", || *sink.snapshots() > 1).await?;
    health.note(StoreTable::Daemons, true, Instant::now());
    ensure!(!health.is_reading(Instant::now()), "counts as reading");
    group.shutdown().await;
    Ok(())
}
