//! Counts of the reads of the store's tables, by their cause.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::relay::store::StoreTable;

/// Why a table is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReadCause {
    /// The process has started.
    Start,
    /// The reader has panicked and was restarted.
    Restart,
    /// This daemon has become a reader.
    Elected,
    /// The store does not have the position of the next read.
    PositionGone,
    /// The store was restored.
    Restored,
    /// The last read failed.
    Retry,
    /// The content of the last read could not be used.
    Unusable,
    /// The last read succeeded, and this one goes on from it.
    Follow,
}

impl ReadCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Restart => "restart",
            Self::Elected => "elected",
            Self::PositionGone => "position_gone",
            Self::Restored => "restored",
            Self::Retry => "retry",
            Self::Unusable => "unusable",
            Self::Follow => "follow",
        }
    }
}

/// Labels of the reads of a table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReadLabels {
    pub table: &'static str,
    /// `newest` for the whole table, `read` for the records from a position on.
    pub call: &'static str,
    pub cause: &'static str,
}

/// Counts the reads of tables. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct ReadCounts(Family<ReadLabels, Counter>);

impl ReadCounts {
    /// Counts a read; `is_whole` says whether it is one of the whole table.
    pub fn count(&self, table: StoreTable, is_whole: bool, cause: ReadCause) {
        let labels = ReadLabels {
            table: table.as_str(),
            call: if is_whole { "newest" } else { "read" },
            cause: cause.as_str(),
        };
        self.0.get_or_create(&labels).inc();
    }

    /// Returns the counters, for the metrics.
    pub fn counters(&self) -> &Family<ReadLabels, Counter> {
        &self.0
    }
}
