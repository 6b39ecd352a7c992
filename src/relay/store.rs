//! Interface to the platform's store, whose tables keep the newest record of each key.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::error::Result;
use crate::ids::{LogOffset, StoreEra};

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
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::Daemons => "daemons",
        }
    }

    /// Returns the name of the service that reads this table.
    pub fn reader_name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration-reader",
            Self::Servers => "server-reader",
            Self::Daemons => "daemon-reader",
        }
    }

    /// Returns whether records of this table carry a version, by which a reader ignores a record that is older than
    /// what it has.
    pub fn is_versioned(self) -> bool {
        self == Self::Configuration
    }

    /// Returns whether a starting daemon must read this table once itself, even if another daemon reads it for its zone.
    pub fn is_read_at_start(self) -> bool {
        self == Self::Daemons
    }
}

/// One record of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    pub key: SmolStr,
    /// `None` removes the key.
    pub value: Option<Bytes>,
    /// Offset at which the record was written.
    pub offset: LogOffset,
}

/// Result of a read: records, and the offset at which the next read continues.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableRead {
    pub records: Vec<KeyedRecord>,
    /// Keys whose newest record cannot be read; they are not in `records`. Such a key has a record, whose content is
    /// unknown.
    pub unreadable: Vec<SmolStr>,
    pub next: LogOffset,
    /// Era of the store that answered; the offset belongs to it.
    pub era: StoreEra,
}

impl TableRead {
    /// Returns the keys that have a record, also one that cannot be read.
    pub fn keys(&self) -> impl Iterator<Item = &SmolStr> {
        let keys = self.records.iter().map(|record| &record.key);
        keys.chain(&self.unreadable)
    }
}

/// Client of the store's tables.
///
/// A read fails soon after its connection stops delivering bytes. While bytes keep arriving it continues, which may
/// take many seconds on a slow link.
pub trait RecordStore: Send + Sync + 'static {
    /// Reads the newest record of each key, all of the same era. `Invalid` says that the store has answered, and that its
    /// answer cannot be used.
    fn newest(&self, table: StoreTable) -> impl Future<Output = Result<TableRead>> + Send;

    /// Reads the records from offset `from` on and waits up to `wait` for the first one. Returns `None` if the store
    /// does not have that offset; the caller must then read the table with [`newest`](Self::newest), as after `Invalid`.
    fn read(
        &self,
        table: StoreTable,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<TableRead>>> + Send;

    /// Writes a record. The verdict of an error says whether the write may still take effect.
    fn put(
        &self,
        table: StoreTable,
        key: &str,
        value: Bytes,
    ) -> impl Future<Output = Result<()>> + Send;
}
