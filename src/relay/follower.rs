//! Reads a table of the store and keeps a sink up to date with its changes.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::ids::LogOffset;
use crate::relay::readers::StoreHealth;
use crate::relay::store::{KeyedRecord, RecordStore, StoreTable};

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after the first read. In this time a starting daemon receives pulses and learns whether another daemon already
/// reads the store for its zone.
const ELECTION_DELAY: Duration = Duration::from_millis(500);
/// Added to the requested wait of an incremental read; a read that takes longer counts as late.
const READ_MARGIN: Duration = Duration::from_millis(600);
/// Time after which reading a snapshot of a table counts as late.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(1_500);

/// A change of a table, as read from the store.
#[derive(Clone, Debug)]
pub enum TableChange {
    /// The newest record of every key; keys that are missing were removed.
    Snapshot(Vec<KeyedRecord>),
    /// Records in the order in which they were written.
    Records(Vec<KeyedRecord>),
    /// A read failed or is late. The content of the table is unknown until the next change.
    Unreachable,
}

/// Receives the changes of a table.
pub trait TableSink: Send + Sync + 'static {
    /// Applies a change.
    fn apply(&self, change: TableChange);
}

/// Timing of the reads of a table.
#[derive(Clone, Copy, Debug)]
pub struct FollowPace {
    /// Longest time that the store holds a read until the first record is written.
    pub wait: Duration,
    /// Pause between two reads, so that one read returns several records.
    pub pause: Duration,
}

/// Reads `table` while `reading` is true and passes its changes to `sink`; waits while `reading` is false.
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
            log::info!("reading table {table:?} of the store is taking longer than expected");
            health.note(false, Instant::now());
            sink.apply(TableChange::Unreachable);
        };
        let limit = next.map_or(SNAPSHOT_LIMIT, |_| pace.wait + READ_MARGIN);
        let (result, is_late) =
            notify_if_late(limit, read_once(&*store, table, next, pace), on_late).await;
        if is_late && !*reading.borrow() && !table.is_versioned() {
            // Another daemon reads the table now, and copies from it may be newer than this result.
            continue;
        }
        health.note(result.is_ok(), Instant::now());
        match result {
            Ok((from, change)) => {
                if !reachable {
                    log::info!("table {table:?} of the store is readable again");
                }
                reachable = true;
                next = from;
                let first = matches!(change, Some(TableChange::Snapshot(_)));
                if let Some(change) = change {
                    sink.apply(change);
                }
                // After a late read, records written in the meantime are read without a pause.
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

/// Reads once; returns the offset of the next read, and the change if there is one. `None` as offset asks for a
/// snapshot.
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
        // The store has deleted records from this offset on; a snapshot still has the newest record of each key.
        None => Ok((None, None)),
    }
}

/// Awaits `call` until it completes, and calls `on_late` if it has not completed within `limit`. The returned flag says
/// whether it was late.
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
