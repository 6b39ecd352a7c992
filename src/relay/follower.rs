//! Reads a table of the store and keeps a sink up to date with its changes.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::error::{Category, Error};
use crate::ids::{LogOffset, StoreEra};
use crate::kernel::TaskGroup;
use crate::relay::read_counts::ReadCause;
use crate::relay::readers::StoreHealth;
use crate::relay::store::{RecordStore, StoreTable, TableRead};

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before a table is read again whose content cannot be used. A record must be in force 2 s after the store
/// has acknowledged it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
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
    /// The newest record of every key; keys that are missing were removed. If its era is newer than that of the last
    /// change, it may lack what was known before.
    Snapshot(TableRead),
    /// Records in the order in which they were written, of the same era as the last snapshot.
    Records(TableRead),
    /// A read failed or is late. The content of the table is unknown until the next change.
    Unreachable,
}

/// Receives the changes of a table.
pub trait TableSink: Send + Sync + 'static {
    /// Applies a change.
    fn apply(&self, change: TableChange);
}

/// Passes the changes of one table to two sinks, in order.
pub struct PairSink<A, B> {
    first: Arc<A>,
    second: Arc<B>,
}

impl<A, B> PairSink<A, B> {
    /// Creates a sink that passes changes to `first` and then to `second`.
    pub fn new(first: Arc<A>, second: Arc<B>) -> Self {
        Self { first, second }
    }
}

impl<A: TableSink, B: TableSink> TableSink for PairSink<A, B> {
    fn apply(&self, change: TableChange) {
        self.first.apply(change.clone());
        self.second.apply(change);
    }
}

/// Timing of the reads of a table.
#[derive(Clone, Copy, Debug)]
pub struct FollowPace {
    /// Longest time that the store holds a read until the first record is written.
    pub wait: Duration,
    /// Pause between two reads, so that one read returns several records.
    pub pause: Duration,
}

/// Offset of the next read. It is valid only in the era in which the store gave it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReadPosition {
    era: StoreEra,
    offset: LogOffset,
}

impl ReadPosition {
    /// Returns the position after `read`.
    fn after(read: &TableRead) -> Self {
        Self {
            era: read.era,
            offset: read.next,
        }
    }
}

/// What a read has led to.
enum ReadOutcome {
    /// The position of the next read, and the change if there is one.
    Read(ReadPosition, Option<TableChange>),
    /// The table must be read as a whole.
    Anew(ReadCause),
}

/// Pause before a table is read as a whole once more. It doubles until records have been read from a position on.
#[derive(Default)]
struct RetryPause(Duration);

impl RetryPause {
    /// Returns the pause, which is zero at first.
    fn advance(&mut self) -> Duration {
        let next = (self.0 * 2).clamp(RETRY_DELAY, MAX_RETRY_DELAY);
        std::mem::replace(&mut self.0, next)
    }
}

/// Returns whether the store has answered with what cannot be used, so that reading it again at once is of no use.
fn is_unusable(error: &Error) -> bool {
    error.category() == Category::Invalid
}

/// Spawns a service in `group` that reads `table` while `reading` is true and passes its changes to `sink`. After a panic
/// the read counts as failed in `health` until a change has been applied again.
pub fn spawn_reader<R: RecordStore, S: TableSink>(
    group: &TaskGroup,
    store: Arc<R>,
    table: StoreTable,
    pace: FollowPace,
    sink: Arc<S>,
    reading: watch::Receiver<bool>,
    health: Arc<StoreHealth>,
) {
    let mut is_restart = false;
    group.spawn_service(table.reader_name(), move || {
        if std::mem::replace(&mut is_restart, true) {
            health.note(table, false, Instant::now());
        }
        let (store, sink, health) = (store.clone(), sink.clone(), health.clone());
        follow_table(store, table, pace, sink, reading.clone(), health)
    });
}

/// Reads `table` while `reading` is true and passes its changes to `sink`; waits while `reading` is false. A table that is
/// read at the start is read until a read has succeeded, whatever `reading` is.
pub async fn follow_table<R: RecordStore, S: TableSink>(
    store: Arc<R>,
    table: StoreTable,
    pace: FollowPace,
    sink: Arc<S>,
    mut reading: watch::Receiver<bool>,
    health: Arc<StoreHealth>,
) {
    let mut reachable = true;
    let mut next: Option<ReadPosition> = None;
    let mut cause = match health.has_table_failed(table) {
        true => ReadCause::Restart,
        false => ReadCause::Start,
    };
    let mut retry_pause = RetryPause::default();
    let mut is_start = table.is_read_at_start();
    loop {
        if !*reading.borrow_and_update() && !is_start {
            next = None;
            cause = ReadCause::Elected;
            if reading.changed().await.is_err() {
                return;
            }
            continue;
        }
        let on_late = || {
            log::info!("reading table {table:?} of the store is taking longer than expected");
            health.note(table, false, Instant::now());
            sink.apply(TableChange::Unreachable);
        };
        let limit = next.map_or(SNAPSHOT_LIMIT, |_| pace.wait + READ_MARGIN);
        health.reads().count(table, next.is_none(), cause);
        let (result, is_late) =
            notify_if_late(limit, read_once(&*store, table, next, pace), on_late).await;
        if is_late && !*reading.borrow() && !table.is_versioned() && !is_start {
            // Another daemon reads the table now, and copies from it may be newer than this result.
            continue;
        }
        match result {
            Ok(outcome) => {
                if !reachable {
                    log::info!("table {table:?} of the store is readable again");
                }
                reachable = true;
                is_start = false;
                let pause = match outcome {
                    ReadOutcome::Read(position, change) => {
                        let is_first = next.is_none();
                        if !is_first {
                            retry_pause = RetryPause::default();
                        }
                        (next, cause) = (Some(position), ReadCause::Follow);
                        if let Some(change) = change {
                            sink.apply(change);
                        }
                        match (is_late, is_first) {
                            // Records written in the meantime are read without a pause.
                            (true, _) => Duration::ZERO,
                            (false, true) => pace.pause.max(ELECTION_DELAY),
                            (false, false) => pace.pause,
                        }
                    }
                    ReadOutcome::Anew(reason) => {
                        (next, cause) = (None, reason);
                        retry_pause.advance()
                    }
                };
                // After the change, as a reader that cannot apply what it reads is of no use to others.
                health.note(table, true, Instant::now());
                if !pause.is_zero() {
                    tokio::time::sleep(pause).await;
                }
            }
            Err(error) => {
                if reachable {
                    log::warn!("table {table:?} of the store cannot be read: {error}");
                }
                reachable = false;
                health.note(table, false, Instant::now());
                sink.apply(TableChange::Unreachable);
                let mut pause = RETRY_DELAY;
                cause = ReadCause::Retry;
                if is_unusable(&error) {
                    // The whole table continues at the store's end, beyond what cannot be used.
                    (next, cause) = (None, ReadCause::Unusable);
                    pause = pause.max(retry_pause.advance());
                }
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Reads once. `None` as position asks for a snapshot.
async fn read_once<R: RecordStore>(
    store: &R,
    table: StoreTable,
    next: Option<ReadPosition>,
    pace: FollowPace,
) -> crate::Result<ReadOutcome> {
    let Some(position) = next else {
        let read = store.newest(table).await?;
        let next = ReadPosition::after(&read);
        return Ok(ReadOutcome::Read(next, Some(TableChange::Snapshot(read))));
    };
    match store.read(table, position.offset, pace.wait).await? {
        // The store gives offsets out again after it has been restored, so other records may precede those that were
        // read.
        Some(read) if read.era != position.era => {
            log::info!(
                "table {table:?} is read again: the store is in era {} after {}",
                read.era,
                position.era
            );
            Ok(ReadOutcome::Anew(ReadCause::Restored))
        }
        Some(read) => {
            let next = ReadPosition::after(&read);
            let change = (!read.records.is_empty()).then_some(TableChange::Records(read));
            Ok(ReadOutcome::Read(next, change))
        }
        // The store has no records from this offset on: it has deleted them, or lost them when it was restored. A
        // snapshot has the newest record of each key.
        None => Ok(ReadOutcome::Anew(ReadCause::PositionGone)),
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
