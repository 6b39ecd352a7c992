//! Transfer of the configuration between daemons.
//!
//! A configuration is compressed once and sent in chunks, each with a time limit of its own. Chunks that have arrived
//! are kept: a transfer resumes where it stopped, also from another daemon, so that it completes on any link that can
//! carry one chunk within its time limit.

use std::io::{Read, Write};

use bytes::{Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{Error, Result};

/// Size of the first chunk that is requested, in bytes: a tenth of a second on a 10 Mbit/s link that is half in use.
const INITIAL_CHUNK_BYTES: u32 = 64 << 10;
/// Smallest chunk that is requested, in bytes.
const MIN_CHUNK_BYTES: u32 = 2 << 10;
/// Largest chunk that is sent, in bytes.
const MAX_CHUNK_BYTES: u32 = 256 << 10;
/// Largest record of a configuration, in bytes; it limits the memory that decompressing a copy may take.
const MAX_RECORD_BYTES: u64 = 64 << 20;
/// Number of incomplete copies that are kept, for configurations that follow each other quickly.
const MAX_PARTIAL_CONFIGS: usize = 4;

/// Identifies a compressed configuration. Daemons of different builds may compress the same record to different bytes,
/// so the version alone does not suffice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigId {
    pub version: u64,
    /// Digest of the compressed bytes.
    pub digest: u64,
}

/// A compressed configuration.
#[derive(Clone, Debug)]
pub struct CompressedConfig {
    id: ConfigId,
    bytes: Bytes,
}

/// Request for a chunk of a newer configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Version in force at the requester; only a newer one is sent.
    pub version: u64,
    /// Incomplete copies of the requester, and the number of bytes that it has of each.
    pub partial: Vec<(ConfigId, u32)>,
    /// Largest number of bytes to send.
    pub max_bytes: u32,
}

/// A chunk of a compressed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChunk {
    pub id: ConfigId,
    /// Length of the compressed configuration, in bytes.
    pub length: u32,
    /// Offset of this chunk in the compressed configuration, in bytes.
    pub from: u32,
    pub bytes: Bytes,
}

impl CompressedConfig {
    /// Compresses the record of configuration `version`.
    ///
    /// # Errors
    ///
    /// `Internal` if it cannot be compressed.
    pub fn compress(version: u64, record: &[u8]) -> Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let compressed = encoder.write_all(record).and_then(|()| encoder.finish());
        let bytes = compressed.map_err(|error| {
            Error::internal(format!(
                "configuration {version} cannot be compressed: {error}"
            ))
        })?;
        Ok(Self::from_bytes(version, bytes.into()))
    }

    fn from_bytes(version: u64, bytes: Bytes) -> Self {
        let digest = xxh3_64(&bytes);
        Self {
            id: ConfigId { version, digest },
            bytes,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.id.version
    }

    /// Returns the compressed length, in bytes.
    pub fn length(&self) -> usize {
        self.bytes.len()
    }

    /// Decompresses the record of the configuration. A record longer than `MAX_RECORD_BYTES` is cut off.
    ///
    /// # Errors
    ///
    /// `Invalid` if the bytes cannot be decompressed.
    pub fn decompress(&self) -> Result<Vec<u8>> {
        let mut record = Vec::new();
        let decoder = DeflateDecoder::new(&*self.bytes);
        let read = decoder.take(MAX_RECORD_BYTES).read_to_end(&mut record);
        read.map_err(|error| {
            let version = self.version();
            Error::invalid(format!(
                "the copy of configuration {version} cannot be decompressed: {error}"
            ))
        })?;
        Ok(record)
    }

    /// Returns the next chunk for a requester; `None` if its version is the same or newer.
    pub fn chunk(&self, request: &ConfigRequest) -> Option<ConfigChunk> {
        if self.version() <= request.version {
            return None;
        }
        let partial = request.partial.iter().find(|(id, _)| *id == self.id);
        let start = partial.map_or(0, |(_, held)| *held as usize);
        let start = start.min(self.bytes.len());
        let max_bytes = request.max_bytes.clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES) as usize;
        let end = self.bytes.len().min(start + max_bytes);
        Some(ConfigChunk {
            id: self.id,
            length: u32::try_from(self.bytes.len()).ok()?,
            from: start as u32,
            bytes: self.bytes.slice(start..end),
        })
    }
}

struct PartialConfig {
    id: ConfigId,
    length: u32,
    bytes: BytesMut,
}

/// Assembles configurations from chunks.
pub struct ConfigAssembler {
    /// Incomplete copies, the newest version last.
    partials: Vec<PartialConfig>,
    /// Size of the next chunk to request, in bytes.
    max_bytes: u32,
}

impl Default for ConfigAssembler {
    fn default() -> Self {
        Self {
            partials: Vec::new(),
            max_bytes: INITIAL_CHUNK_BYTES,
        }
    }
}

impl ConfigAssembler {
    /// Returns the next request while configuration `version` is in force. Incomplete copies that are not newer are
    /// dropped.
    pub fn request(&mut self, version: u64) -> ConfigRequest {
        self.partials.retain(|partial| partial.id.version > version);
        let partials = self.partials.iter();
        ConfigRequest {
            version,
            partial: partials
                .map(|partial| (partial.id, partial.bytes.len() as u32))
                .collect(),
            max_bytes: self.max_bytes,
        }
    }

    /// Adds a chunk; returns the configuration once it is complete.
    ///
    /// # Errors
    ///
    /// `Protocol` if the chunk does not continue the copy, or the complete copy does not match its digest; the copy is
    /// dropped and starts over.
    pub fn add(&mut self, chunk: ConfigChunk) -> Result<Option<CompressedConfig>> {
        self.max_bytes = self.max_bytes.saturating_mul(2).min(MAX_CHUNK_BYTES);
        let position = self
            .partials
            .iter()
            .position(|partial| partial.id == chunk.id);
        let mut partial = match position {
            Some(index) => self.partials.remove(index),
            None => PartialConfig {
                id: chunk.id,
                length: chunk.length,
                bytes: BytesMut::new(),
            },
        };
        let fits = partial.length == chunk.length
            && partial.bytes.len() == chunk.from as usize
            && !chunk.bytes.is_empty();
        partial.bytes.extend_from_slice(&chunk.bytes);
        if !fits || partial.bytes.len() > partial.length as usize {
            return Err(chunk_mismatch(chunk.id.version));
        }
        if partial.bytes.len() == partial.length as usize {
            let config = CompressedConfig::from_bytes(partial.id.version, partial.bytes.freeze());
            return match config.id == partial.id {
                true => Ok(Some(config)),
                false => Err(chunk_mismatch(partial.id.version)),
            };
        }
        self.keep_partial(partial);
        Ok(None)
    }

    /// Halves the size of the next chunk, because the last one did not arrive in time.
    pub fn note_timeout(&mut self) {
        self.max_bytes = (self.max_bytes / 2).max(MIN_CHUNK_BYTES);
    }

    fn keep_partial(&mut self, partial: PartialConfig) {
        self.partials.push(partial);
        self.partials.sort_by_key(|partial| partial.id.version);
        if self.partials.len() > MAX_PARTIAL_CONFIGS {
            self.partials.remove(0);
        }
    }
}

fn chunk_mismatch(version: u64) -> Error {
    crate::wire::protocol(format!(
        "a chunk of configuration {version} does not match the copy that it belongs to"
    ))
}
