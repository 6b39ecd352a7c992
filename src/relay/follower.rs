//! Follows a table of the store.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::ids::LogOffset;
use crate::relay::readers::StoreHealth;
use crate::relay::store::{KeyedRecord, RecordStore, StoreTable};

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Pause after the first read, in which a daemon that starts hears who reads the store for its zone.
const ELECTION_DELAY: Duration = Duration::from_millis(500);
/// Added to the wait of a read before the read is late.
const READ_MARGIN: Duration = Duration::from_millis(600);
/// Time of reading a whole table before it is late.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(1_500);

/// What was read of a table.
#[derive(Clone, Debug)]
pub enum TableChange {
    /// The newest record of every key; other keys are gone.
    Snapshot(Vec<KeyedRecord>),
    /// Records in the order of writing.
    Records(Vec<KeyedRecord>),
    /// A read failed or is late. The table is unknown until the next change.
    Unreachable,
}

/// Takes in what is read of a table.
pub trait TableSink: Send + Sync + 'static {
    /// Applies a change.
    fn apply(&self, change: TableChange);
}

/// How a table is read.
#[derive(Clone, Copy, Debug)]
pub struct FollowPace {
    /// Longest wait of a read for the first record.
    pub wait: Duration,
    /// Pause between two reads, which lets records gather.
    pub pause: Duration,
}

/// Follows `table` for ever, while `reading` says so.
pub async fn follow_table<R: RecordStore, S: TableSink>(
    store: Arc<R>,
    table: StoreTable,
    pace: FollowPace,
    sink: Arc<S>,
    mut reading: watch::Receiver<bool>,
    health: Arc<StoreHealth>,
) {
    let mut reachable = true;
    let mut next: Option<LogOffset> = None;
    loop {
        if !*reading.borrow_and_update() {
            next = None;
            if reading.changed().await.is_err() {
                return;
            }
            continue;
        }
        let on_late = || {
            log::info!("a read of table {table:?} of the store takes long");
            health.note(false, Instant::now());
            sink.apply(TableChange::Unreachable);
        };
        let limit = next.map_or(SNAPSHOT_LIMIT, |_| pace.wait + READ_MARGIN);
        let (result, is_late) =
            notify_if_late(limit, read_once(&*store, table, next, pace), on_late).await;
        if is_late && !*reading.borrow() && !table.is_versioned() {
            // Copies from the reader are newer by now.
            continue;
        }
        health.note(result.is_ok(), Instant::now());
        match result {
            Ok((from, change)) => {
                if !reachable {
                    log::info!("table {table:?} of the store can be read again");
                }
                reachable = true;
                next = from;
                let first = matches!(change, Some(TableChange::Snapshot(_)));
                if let Some(change) = change {
                    sink.apply(change);
                }
                // What has come since a late read began is read at once.
                if next.is_some() && !is_late {
                    let pause = pace.pause.max(if first {
                        ELECTION_DELAY
                    } else {
                        Duration::ZERO
                    });
                    tokio::time::sleep(pause).await;
                }
            }
            Err(error) => {
                if reachable {
                    log::warn!("table {table:?} of the store cannot be read: {error}");
                }
                reachable = false;
                sink.apply(TableChange::Unreachable);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Does one read; returns where the next one goes on and what was read.
async fn read_once<R: RecordStore>(
    store: &R,
    table: StoreTable,
    next: Option<LogOffset>,
    pace: FollowPace,
) -> crate::Result<(Option<LogOffset>, Option<TableChange>)> {
    let Some(from) = next else {
        let read = store.newest(table).await?;
        return Ok((Some(read.next), Some(TableChange::Snapshot(read.records))));
    };
    match store.read(table, from, pace.wait).await? {
        Some(read) if read.records.is_empty() => Ok((Some(read.next), None)),
        Some(read) => Ok((Some(read.next), Some(TableChange::Records(read.records)))),
        // Records were deleted; the newest ones are kept.
        None => Ok((None, None)),
    }
}

/// Awaits `call` to its end and calls `on_late` once `limit` has passed before. Returns whether it has.
async fn notify_if_late<T>(
    limit: Duration,
    call: impl Future<Output = T>,
    on_late: impl FnOnce(),
) -> (T, bool) {
    let mut call = pin!(call);
    if let Ok(output) = tokio::time::timeout(limit, &mut call).await {
        return (output, false);
    }
    on_late();
    (call.await, true)
}
