//! Snapshots of the catalog: the encoded state, and its chunks on the `snapshots` stream.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::catalog::FleetCatalog;
use crate::error::{Category, Error, Result};
use crate::ids::{KeyDigest, LogOffset, RecordId};
use crate::journal::{JournalClient, StreamName};

/// Version of the encoding of states and chunks; the first byte of each.
const STATE_FORMAT: u8 = 1;

/// State bytes in one record, small enough for logs with a low limit on record size.
const CHUNK_BYTES: usize = 32 * 1_024;

/// Longest state, in bytes. Bounds the memory that a malformed state can make a reader allocate.
const MAX_STATE_BYTES: usize = 16 * 1_024 * 1_024;

/// Limits of one read of the stream.
const MAX_READ_RECORDS: usize = 64;
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Encodes `catalog` with its digest, for a peer or for snapshot chunks.
///
/// # Errors
///
/// Fails with `Internal` if the state is too large.
pub fn encode_state(catalog: &FleetCatalog) -> Result<Vec<u8>> {
    let body = bincode::serde::encode_to_vec(catalog, bincode::config::standard())
        .map_err(|cause| Error::internal(format!("cannot encode the catalog: {cause}")))?;
    if body.len() > MAX_STATE_BYTES {
        return Err(Error::internal(format!(
            "catalog state exceeds {MAX_STATE_BYTES} bytes"
        )));
    }
    let mut state = vec![STATE_FORMAT];
    state.extend(KeyDigest::of(&body).0);
    state.extend(body);
    Ok(state)
}

/// Decodes a state that [`encode_state`] returned.
///
/// # Errors
///
/// Fails with `Protocol` if the state is malformed or does not match its digest.
pub fn decode_state(state: &[u8]) -> Result<FleetCatalog> {
    let Some((&STATE_FORMAT, rest)) = state.split_first() else {
        return Err(malformed("unknown format"));
    };
    let Some((digest, body)) = rest.split_at_checked(32) else {
        return Err(malformed("too short"));
    };
    if KeyDigest::of(body).0 != digest {
        return Err(malformed("digest does not match"));
    }
    let config = bincode::config::standard().with_limit::<MAX_STATE_BYTES>();
    let (catalog, length) = bincode::serde::decode_from_slice(body, config)
        .map_err(|cause| malformed(&cause.to_string()))?;
    if length != body.len() {
        return Err(malformed("trailing bytes"));
    }
    Ok(catalog)
}

fn malformed(cause: &str) -> Error {
    Error::new(
        Category::Protocol,
        format!("malformed catalog state: {cause}"),
    )
}

/// Position and age of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SnapshotMetadata {
    /// Next offset of the state.
    pub(super) next: LogOffset,
    /// Wall-clock time of writing, in milliseconds since the Unix epoch. Used only to schedule the next snapshot.
    pub(super) written_ms: u64,
}

/// A valid snapshot from the log.
pub(super) struct FoundSnapshot {
    pub(super) metadata: SnapshotMetadata,
    pub(super) catalog: FleetCatalog,
}

/// One record of the `snapshots` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotChunk {
    /// Same in all chunks of a snapshot.
    id: RecordId,
    metadata: SnapshotMetadata,
    index: u32,
    count: u32,
    /// Digest of `data`.
    digest: KeyDigest,
    data: Vec<u8>,
}

/// Chunks of one snapshot read so far, in index order. A missing chunk discards the snapshot.
struct PartialSnapshot {
    metadata: SnapshotMetadata,
    count: u32,
    chunks: u32,
    state: Vec<u8>,
}

pub(super) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Appends a snapshot of `catalog`. A lost answer ends the write and is not resolved: readers skip the snapshot or,
/// if its last chunk took effect, find it complete.
pub(super) async fn write_snapshot<J: JournalClient>(
    journal: &J,
    catalog: &FleetCatalog,
) -> Result<SnapshotMetadata> {
    let state = encode_state(catalog)?;
    let metadata = SnapshotMetadata {
        next: catalog.next_offset(),
        written_ms: unix_ms(),
    };
    let id = RecordId::random();
    let count = u32::try_from(state.chunks(CHUNK_BYTES).len())
        .map_err(|_| Error::internal("too many snapshot chunks"))?;
    for (index, data) in (0..count).zip(state.chunks(CHUNK_BYTES)) {
        let chunk = SnapshotChunk {
            id,
            metadata,
            index,
            count,
            digest: KeyDigest::of(data),
            data: data.to_vec(),
        };
        let append = journal.append(StreamName::Snapshots, chunk.encode()?);
        match timeout(READ_TIMEOUT, append).await {
            Ok(appended) => appended?,
            Err(_) => return Err(no_answer()),
        };
    }
    Ok(metadata)
}

/// Reads the `snapshots` stream and returns the newest valid snapshot, if there is one.
pub(super) async fn newest_snapshot<J: JournalClient>(
    journal: &J,
) -> Result<Option<FoundSnapshot>> {
    let mut reader = SnapshotReader::default();
    let mut from = LogOffset(0);
    loop {
        let read = journal.read(
            StreamName::Snapshots,
            from,
            MAX_READ_RECORDS,
            Duration::ZERO,
        );
        let batch = match timeout(READ_TIMEOUT, read).await {
            Ok(batch) => batch?,
            Err(_) => return Err(no_answer()),
        };
        for record in &batch.records {
            reader.add(&record.data);
        }
        match batch.records.last() {
            Some(last) => from = last.offset.next(),
            None if batch.bounds.first > from => from = batch.bounds.first,
            None => return Ok(reader.newest),
        }
    }
}

fn no_answer() -> Error {
    Error::new(Category::Timeout, "the log did not answer")
}

impl SnapshotChunk {
    fn encode(&self) -> Result<Bytes> {
        let mut record = vec![STATE_FORMAT];
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|cause| Error::internal(format!("cannot encode a snapshot: {cause}")))?;
        record.extend(body);
        Ok(record.into())
    }

    fn decode(record: &[u8]) -> Option<Self> {
        let (&STATE_FORMAT, body) = record.split_first()? else {
            return None;
        };
        let config = bincode::config::standard().with_limit::<{ 2 * CHUNK_BYTES }>();
        let (chunk, _): (Self, usize) = bincode::serde::decode_from_slice(body, config).ok()?;
        (KeyDigest::of(&chunk.data) == chunk.digest).then_some(chunk)
    }
}

/// Assembles snapshots from chunks; chunks of several writers may be interleaved.
#[derive(Default)]
struct SnapshotReader {
    partial: HashMap<RecordId, PartialSnapshot>,
    newest: Option<FoundSnapshot>,
}

impl SnapshotReader {
    fn add(&mut self, record: &[u8]) {
        let Some(chunk) = SnapshotChunk::decode(record) else {
            log::warn!("a malformed snapshot chunk is skipped");
            return;
        };
        let id = chunk.id;
        if chunk.index == 0 {
            let partial = PartialSnapshot {
                metadata: chunk.metadata,
                count: chunk.count,
                chunks: 0,
                state: Vec::new(),
            };
            self.partial.insert(id, partial);
        }
        let Some(partial) = self.partial.get_mut(&id) else {
            return;
        };
        if !partial.extend(chunk) {
            self.partial.remove(&id);
            return;
        }
        if partial.chunks < partial.count {
            return;
        }
        if let Some(partial) = self.partial.remove(&id) {
            self.finish(partial);
        }
    }

    fn finish(&mut self, partial: PartialSnapshot) {
        let newest = self.newest.as_ref().map(|found| found.metadata.next);
        if newest.is_some_and(|newest| newest > partial.metadata.next) {
            return;
        }
        match decode_state(&partial.state) {
            Ok(catalog) if catalog.next_offset() == partial.metadata.next => {
                self.newest = Some(FoundSnapshot {
                    metadata: partial.metadata,
                    catalog,
                });
            }
            Ok(_) => log::warn!("a snapshot whose offset does not match its state is skipped"),
            Err(cause) => log::warn!("a snapshot is skipped: {cause}"),
        }
    }
}

impl PartialSnapshot {
    /// Adds the chunk if it is the next one of this snapshot and the state stays in bounds. Returns whether it did.
    fn extend(&mut self, chunk: SnapshotChunk) -> bool {
        let fits = chunk.index == self.chunks
            && chunk.count == self.count
            && chunk.metadata == self.metadata
            && self.state.len() + chunk.data.len() <= MAX_STATE_BYTES + CHUNK_BYTES;
        if fits {
            self.chunks += 1;
            self.state.extend(chunk.data);
        }
        fits
    }
}
