//! Copies of the configuration on their way between daemons.
//!
//! A configuration is compressed once and sent in chunks, each with a bound of its own. What has come stays: a copy goes on
//! where it stopped, also from another daemon, so that it becomes whole on any link that carries a chunk.

use std::io::{Read, Write};

use bytes::{Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{Error, Result};

/// Chunk that is asked for first, in bytes: a tenth of a second of a 10 Mbit/s link that is half in use.
const INITIAL_CHUNK_BYTES: u32 = 64 << 10;
/// Shortest chunk that is asked for, in bytes.
const MIN_CHUNK_BYTES: u32 = 2 << 10;
/// Longest chunk that is sent, in bytes.
const MAX_CHUNK_BYTES: u32 = 256 << 10;
/// Longest record of a configuration, in bytes; it bounds what a compressed copy may grow to.
const MAX_RECORD_BYTES: u64 = 64 << 20;
/// Unfinished copies that are kept: configurations that follow each other quickly.
const MAX_PARTIAL_CONFIGS: usize = 4;

/// Names one compressed configuration. Daemons of different builds may compress the same record differently.
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

/// Asks for a part of a newer configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Version that the asker has; only newer ones are sent.
    pub version: u64,
    /// Copies that the asker has begun, and the bytes that it has of each.
    pub partial: Vec<(ConfigId, u32)>,
    /// Bytes to send at most.
    pub max_bytes: u32,
}

/// A part of a compressed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChunk {
    pub id: ConfigId,
    /// Bytes of the whole.
    pub length: u32,
    /// Bytes of the whole that come before these.
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

    /// Returns the number of compressed bytes.
    pub fn length(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the record of the configuration.
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

    /// Returns the part that an asker lacks next; `None` if it has a configuration as new.
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

/// Puts chunks together.
pub struct ConfigAssembler {
    /// Unfinished copies, the newest version last.
    partials: Vec<PartialConfig>,
    /// Bytes to ask for next.
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
    /// Returns what to ask for while configuration `version` is in force.
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

    /// Adds a chunk; returns the configuration once it is whole.
    ///
    /// # Errors
    ///
    /// `Protocol` if the chunk does not fit what has come before; that copy starts over.
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

    /// Notes that a chunk did not come in time: a shorter one may.
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
    crate::wire::protocol(format!("a part of configuration {version} does not fit"))
}
