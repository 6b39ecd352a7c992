//! What the relay needs of the platform's store: tables that keep the newest record of each key.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::error::Result;
use crate::ids::LogOffset;

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTable {
    /// Written by operators.
    Configuration,
    /// Written by backend servers, one record each.
    Servers,
    /// Written by daemons, one record each.
    Daemons,
}

impl StoreTable {
    /// Returns whether its records carry versions, so that an old one does not replace a newer one.
    pub fn is_versioned(self) -> bool {
        self == Self::Configuration
    }
}

/// One record of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    pub key: SmolStr,
    /// `None` removes the key.
    pub value: Option<Bytes>,
}

/// Records and the offset from which the next read goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableRead {
    pub records: Vec<KeyedRecord>,
    pub next: LogOffset,
}

/// Client of the store's tables.
///
/// A read ends with an error soon after its connection goes silent; one whose bytes keep coming may take many seconds.
pub trait RecordStore: Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn newest(&self, table: StoreTable) -> impl Future<Output = Result<TableRead>> + Send;

    /// Reads the records from `from` on and waits up to `wait` for the first one. Returns `None` if records from
    /// there on were deleted; the table must be read anew.
    fn read(
        &self,
        table: StoreTable,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<TableRead>>> + Send;

    /// Writes a record. An error says with its verdict whether the write may still take effect.
    fn put(
        &self,
        table: StoreTable,
        key: &str,
        value: Bytes,
    ) -> impl Future<Output = Result<()>> + Send;
}
