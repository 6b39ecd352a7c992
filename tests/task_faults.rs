//! Tasks that panic, and services that end while their process goes on.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::ensure;
use foxtailhill::error::{Error, Result};
use foxtailhill::ids::LogOffset;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::metrics::DaemonMetrics;
use foxtailhill::relay::{
    FollowPace, KeyedRecord, RecordStore, StoreHealth, StoreTable, TableChange, TableRead,
    TableSink, follow_table,
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

/// A sink that panics at the first change, with its lock held.
#[derive(Default)]
struct FragileSink {
    changes: Mutex<usize>,
}

impl TableSink for FragileSink {
    fn apply(&self, change: TableChange) {
        let mut changes = match self.changes.lock() {
            Ok(changes) => changes,
            Err(poisoned) => poisoned.into_inner(),
        };
        *changes += usize::from(matches!(change, TableChange::Snapshot(_)));
        assert!(*changes != 1, "the first snapshot");
    }
}

/// Guards against a table that is never read again because its reader has panicked.
#[tokio::test]
async fn reader_reads_its_table_anew_after_a_panic() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let sink = Arc::<FragileSink>::default();
    let (reading, health) = (watch::channel(true).1, Arc::<StoreHealth>::default());
    let pace = FollowPace {
        wait: Duration::from_millis(1),
        pause: Duration::ZERO,
    };
    let applied = sink.clone();
    group.spawn_service("reader", move || {
        let (sink, reading, health) = (applied.clone(), reading.clone(), health.clone());
        follow_table(
            Arc::new(OneRecord),
            StoreTable::Servers,
            pace,
            sink,
            reading,
            health,
        )
    });
    until("another snapshot", || {
        let changes = match sink.changes.lock() {
            Ok(changes) => changes,
            Err(poisoned) => poisoned.into_inner(),
        };
        *changes > 1
    })
    .await?;
    group.shutdown().await;
    Ok(())
}
