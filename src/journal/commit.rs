//! Appends a record; if the answer is lost, reads the stream to find out whether the append took effect.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use crate::error::{Category, Error, Result, RunVerdict};
use crate::ids::LogOffset;
use crate::journal::follower::bounded_read;
use crate::journal::{JournalClient, LogRecord, StreamName};

/// Longest wait of one read during the search for a record.
const READ_WAIT: Duration = Duration::from_millis(200);

/// Time beyond [`READ_WAIT`] after which a read counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait after a read that failed or found nothing.
const RETRY_WAIT: Duration = Duration::from_millis(50);

/// Records asked for by one read.
const MAX_READ_RECORDS: usize = 256;

/// Appends `record` and returns its offset. If the answer is lost, reads the stream back from `from`, an offset at
/// or before the stream's end before the call, until `is_own` recognises the record by its id.
///
/// The append is sent once. The record may be on the log more than once only if the log itself repeats it.
///
/// # Errors
///
/// The verdict is `NotRun` only if the record is certainly not on the log; at `deadline` it is `MayHaveRun`, as an
/// append that is still in progress can take effect later.
pub async fn commit_record<J: JournalClient>(
    journal: &J,
    stream: StreamName,
    record: Bytes,
    from: LogOffset,
    deadline: Instant,
    is_own: impl Fn(&LogRecord) -> bool + Send,
) -> Result<LogOffset> {
    let cause = match timeout(time_left(deadline), journal.append(stream, record)).await {
        Ok(Ok(offset)) => return Ok(offset),
        Ok(Err(cause)) if cause.verdict() == RunVerdict::NotRun => return Err(cause),
        Ok(Err(cause)) => cause,
        Err(_) => Error::new(Category::Timeout, "the log did not answer an append"),
    };
    log::debug!(
        "outcome of an append to {} is unknown: {cause}",
        stream.as_str()
    );
    let found = timeout(
        time_left(deadline),
        find_record(journal, stream, from, is_own),
    );
    match found.await {
        Ok(found) => found,
        Err(_) => Err(cause.with_verdict(RunVerdict::MayHaveRun)),
    }
}

async fn find_record<J: JournalClient>(
    journal: &J,
    stream: StreamName,
    mut from: LogOffset,
    is_own: impl Fn(&LogRecord) -> bool + Send,
) -> Result<LogOffset> {
    loop {
        let read = journal.read(stream, from, MAX_READ_RECORDS, READ_WAIT);
        let Ok(batch) = bounded_read(READ_WAIT + READ_TIMEOUT, read).await else {
            sleep(RETRY_WAIT).await;
            continue;
        };
        if let Some(own) = batch.records.iter().find(|record| is_own(record)) {
            return Ok(own.offset);
        }
        if batch.bounds.first > from {
            let lost = Error::unavailable("retention removed records before they were read back");
            return Err(lost.with_verdict(RunVerdict::MayHaveRun));
        }
        match batch.records.last() {
            Some(last) => from = last.offset.next(),
            None => sleep(RETRY_WAIT).await,
        }
    }
}

fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
