//! Access to the platform's append-only log.

mod client;
mod commit;
mod follower;

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

pub use self::client::HttpJournal;
pub use self::commit::commit_record;
pub use self::follower::{FollowerStatus, RecordSink, StreamFollower, StreamGap, read_bounds};
use crate::error::Result;
use crate::ids::LogOffset;

/// Streams that the system keeps on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamName {
    Config,
    Members,
    Claims,
    Orders,
    Snapshots,
}

impl StreamName {
    /// Returns the name on the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Members => "members",
            Self::Claims => "claims",
            Self::Orders => "orders",
            Self::Snapshots => "snapshots",
        }
    }
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    pub offset: LogOffset,
    pub data: Bytes,
}

/// Offsets that a stream holds: `first..next`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamBounds {
    /// Oldest offset that retention has not removed.
    pub first: LogOffset,
    /// Offset that the next append gets.
    pub next: LogOffset,
}

/// A read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records in offset order, without gaps; the first may be after the requested offset if retention removed that.
    pub records: Vec<LogRecord>,
    pub bounds: StreamBounds,
}

/// Client of the platform's log. Adapters are the only code that knows its wire format.
pub trait JournalClient: Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// The verdict of the error is `NotRun` only if the record is certainly not on the log; after a timeout or a
    /// broken connection it is `MayHaveRun`.
    fn append(
        &self,
        stream: StreamName,
        record: Bytes,
    ) -> impl Future<Output = Result<LogOffset>> + Send;

    /// Reads up to `max` records from `from`, waiting up to `wait` for the first one.
    fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadBatch>> + Send;
}
