//! Replays one stream in offset order.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::error::{Category, Error, Result};
use crate::ids::LogOffset;
use crate::journal::{JournalClient, LogRecord, ReadBatch, StreamBounds, StreamName};
use crate::kernel::TaskGroup;

/// Longest wait of one read for the first record. The end of an idle stream is seen once per wait, so the age of
/// [`FollowerStatus::caught_up_at`] stays under twice this value while the log answers.
const POLL_WAIT: Duration = Duration::from_millis(400);

/// Time beyond [`POLL_WAIT`] after which a read counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Records asked for by one read.
const MAX_READ_RECORDS: usize = 256;

/// Wait after a read without records; prevents a busy loop if the log ignores the long poll.
const IDLE_WAIT: Duration = Duration::from_millis(20);

/// First and longest wait between failed reads.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Position of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Next offset that has not been applied yet.
    pub next: LogOffset,
    /// Time before the last read that reached the end of the stream, if any.
    pub caught_up_at: Option<Instant>,
}

/// Records that retention removed before a follower read them: offsets `next..first`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamGap {
    /// Next offset that the follower needs.
    pub next: LogOffset,
    /// Oldest offset that the stream still holds.
    pub first: LogOffset,
}

/// Consumer of a stream.
pub trait RecordSink: Send + 'static {
    /// Called once before the first read, for example to install a snapshot.
    fn prepare(&mut self) -> impl Future<Output = ()> + Send {
        async {}
    }

    /// Returns the next offset that the sink needs. It may advance between calls, as when a peer pushes records.
    fn next_offset(&self) -> LogOffset;

    /// Applies records in offset order without gaps, the first at or before [`Self::next_offset`]. Records before it
    /// must be skipped. A sink that cannot apply a record keeps its offset and gets the record again after a backoff.
    fn apply(&mut self, records: &[LogRecord]);

    /// Called when retention has removed the next record, and again after each backoff until the gap is closed.
    fn recover(&mut self, gap: StreamGap) -> impl Future<Output = ()> + Send;
}

/// Handle to a task that replays a stream.
#[derive(Clone, Debug)]
pub struct StreamFollower {
    status: watch::Receiver<FollowerStatus>,
    gap: watch::Receiver<Option<StreamGap>>,
    answered_at: watch::Receiver<Option<Instant>>,
}

impl StreamFollower {
    /// Starts a task in `group` that calls `apply` with each record from `start` on, in order, each once.
    ///
    /// The follower never skips a record that retention removed before it was read: it stops, and [`Self::gap`]
    /// returns the gap.
    pub fn spawn<J, F>(
        group: &TaskGroup,
        journal: Arc<J>,
        stream: StreamName,
        start: LogOffset,
        apply: F,
    ) -> Self
    where
        J: JournalClient,
        F: FnMut(&LogRecord) + Send + 'static,
    {
        let sink = CallbackSink { next: start, apply };
        Self::spawn_sink(group, journal, stream, sink)
    }

    /// Starts a task in `group` that passes records to `sink`.
    pub fn spawn_sink<J, S>(group: &TaskGroup, journal: Arc<J>, stream: StreamName, sink: S) -> Self
    where
        J: JournalClient,
        S: RecordSink,
    {
        let (status_sender, status) = watch::channel(FollowerStatus {
            next: sink.next_offset(),
            caught_up_at: None,
        });
        let (gap_sender, gap) = watch::channel(None);
        let (answered_sender, answered_at) = watch::channel(None);
        let mut task = FollowerTask {
            journal,
            stream,
            sink,
            status: status_sender,
            gap: gap_sender,
            answered_at: answered_sender,
        };
        group.spawn_essential("stream-follower", async move { task.run().await });
        Self {
            status,
            gap,
            answered_at,
        }
    }

    /// Returns the position of the follower.
    pub fn status(&self) -> FollowerStatus {
        *self.status.borrow()
    }

    /// Subscribes to the status.
    pub fn subscribe(&self) -> watch::Receiver<FollowerStatus> {
        self.status.clone()
    }

    /// Returns the gap that stops the follower, if any.
    pub fn gap(&self) -> Option<StreamGap> {
        *self.gap.borrow()
    }

    /// Returns when the log last answered a read.
    pub fn answered_at(&self) -> Option<Instant> {
        *self.answered_at.borrow()
    }

    /// Waits until every record before `next` is applied.
    ///
    /// # Errors
    ///
    /// Fails with `ShuttingDown` once the follower has stopped.
    pub async fn wait_applied(&self, next: LogOffset) -> Result<()> {
        let mut status = self.status.clone();
        let reached = status.wait_for(|status| status.next >= next).await;
        reached.map(|_| ()).map_err(|_| stopped())
    }

    /// Waits until a read that began at `since` or later has shown the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails with `ShuttingDown` once the follower has stopped.
    pub async fn wait_caught_up(&self, since: Instant) -> Result<()> {
        let mut status = self.status.clone();
        let seen = status
            .wait_for(|status| status.caught_up_at.is_some_and(|at| at >= since))
            .await;
        seen.map(|_| ()).map_err(|_| stopped())
    }
}

/// Reads which offsets a stream holds.
///
/// # Errors
///
/// Fails if the log cannot be reached.
pub async fn read_bounds<J: JournalClient>(
    journal: &J,
    stream: StreamName,
) -> Result<StreamBounds> {
    let read = journal.read(stream, LogOffset(0), 1, Duration::ZERO);
    Ok(bounded_read(READ_TIMEOUT, read).await?.bounds)
}

pub(super) async fn bounded_read(
    limit: Duration,
    read: impl Future<Output = Result<ReadBatch>>,
) -> Result<ReadBatch> {
    match timeout(limit, read).await {
        Ok(batch) => batch,
        Err(_) => Err(Error::new(Category::Timeout, "the log did not answer")),
    }
}

fn not_applied(offset: LogOffset) -> Error {
    Error::unavailable(format!("records from offset {offset} were not applied"))
}

fn stopped() -> Error {
    Error::new(Category::ShuttingDown, "the follower has stopped")
}

struct CallbackSink<F> {
    next: LogOffset,
    apply: F,
}

impl<F: FnMut(&LogRecord) + Send + 'static> RecordSink for CallbackSink<F> {
    fn next_offset(&self) -> LogOffset {
        self.next
    }

    fn apply(&mut self, records: &[LogRecord]) {
        for record in records {
            if record.offset == self.next {
                (self.apply)(record);
                self.next = self.next.next();
            }
        }
    }

    async fn recover(&mut self, gap: StreamGap) {
        log::error!(
            "records {}..{} were removed from the log before they were read",
            gap.next,
            gap.first
        );
    }
}

struct FollowerTask<J, S> {
    journal: Arc<J>,
    stream: StreamName,
    sink: S,
    status: watch::Sender<FollowerStatus>,
    gap: watch::Sender<Option<StreamGap>>,
    answered_at: watch::Sender<Option<Instant>>,
}

impl<J: JournalClient, S: RecordSink> FollowerTask<J, S> {
    async fn run(&mut self) {
        let mut backoff = MIN_BACKOFF;
        self.sink.prepare().await;
        loop {
            match self.poll_once().await {
                Ok(()) => backoff = MIN_BACKOFF,
                Err(cause) => {
                    log::debug!("stream {}: {cause}", self.stream.as_str());
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    async fn poll_once(&mut self) -> Result<()> {
        let before = Instant::now();
        let from = self.sink.next_offset();
        let read = self
            .journal
            .read(self.stream, from, MAX_READ_RECORDS, POLL_WAIT);
        let batch = bounded_read(POLL_WAIT + READ_TIMEOUT, read).await?;
        self.answered_at.send_replace(Some(Instant::now()));
        let needed = self.sink.next_offset();
        if needed < batch.bounds.first {
            return self.handle_gap(needed, batch.bounds.first).await;
        }
        check_batch(from, &batch)?;
        self.gap.send_if_modified(|gap| gap.take().is_some());
        self.sink.apply(&batch.records);
        self.publish(before, batch.bounds.next);
        match batch.records.last() {
            None => sleep(IDLE_WAIT).await,
            Some(last) if self.sink.next_offset() <= last.offset => {
                return Err(not_applied(needed));
            }
            Some(_) => {}
        }
        Ok(())
    }

    async fn handle_gap(&mut self, next: LogOffset, first: LogOffset) -> Result<()> {
        let gap = StreamGap { next, first };
        self.gap.send_replace(Some(gap));
        self.sink.recover(gap).await;
        let next = self.sink.next_offset();
        self.status.send_if_modified(|status| {
            let moved = status.next != next;
            status.next = next;
            moved
        });
        if next >= first {
            self.gap.send_replace(None);
            return Ok(());
        }
        Err(Error::unavailable(format!(
            "offset {next} is needed, but the oldest offset on the log is {first}"
        )))
    }

    fn publish(&self, before: Instant, end: LogOffset) {
        let next = self.sink.next_offset();
        self.status.send_modify(|status| {
            status.next = next;
            if next >= end {
                status.caught_up_at = Some(before);
            }
        });
    }
}

/// Checks that the records are consecutive from `from`; otherwise they would be applied at wrong offsets.
fn check_batch(from: LogOffset, batch: &ReadBatch) -> Result<()> {
    let expected = (from.0..).map(LogOffset);
    let offsets = batch.records.iter().map(|record| record.offset);
    if offsets
        .zip(expected)
        .any(|(offset, wanted)| offset != wanted)
    {
        return Err(Error::new(
            Category::Protocol,
            format!("the log's answer does not continue at offset {from}"),
        ));
    }
    Ok(())
}
