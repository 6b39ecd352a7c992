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
const FIRST_CHUNK: u32 = 64 << 10;
/// Shortest chunk that is asked for, in bytes.
const LEAST_CHUNK: u32 = 2 << 10;
/// Longest chunk that is sent, in bytes.
const MOST_CHUNK: u32 = 256 << 10;
/// Longest record of a configuration, in bytes; it bounds what a compressed copy may grow to.
const MAX_RECORD: u64 = 64 << 20;
/// Unfinished copies that are kept: configurations that follow each other quickly.
const MAX_PARTS: usize = 4;

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
    mark: ConfigId,
    bytes: Bytes,
}

/// Asks for a part of a newer configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Version that the asker has; only newer ones are sent.
    pub version: u64,
    /// Copies that the asker has begun, and the bytes that it has of each.
    pub begun: Vec<(ConfigId, u32)>,
    /// Bytes to send at most.
    pub most: u32,
}

/// A part of a compressed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChunk {
    pub mark: ConfigId,
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
    pub fn pack(version: u64, record: &[u8]) -> Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(record).and_then(|()| encoder.finish());
        let bytes = packed.map_err(|error| {
            Error::internal(format!(
                "configuration {version} cannot be compressed: {error}"
            ))
        })?;
        Ok(Self::from_bytes(version, bytes.into()))
    }

    fn from_bytes(version: u64, bytes: Bytes) -> Self {
        let digest = xxh3_64(&bytes);
        Self {
            mark: ConfigId { version, digest },
            bytes,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.mark.version
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
    pub fn unpack(&self) -> Result<Vec<u8>> {
        let mut record = Vec::new();
        let decoder = DeflateDecoder::new(&*self.bytes);
        let read = decoder.take(MAX_RECORD).read_to_end(&mut record);
        read.map_err(|error| {
            let version = self.version();
            Error::invalid(format!(
                "the copy of configuration {version} cannot be decompressed: {error}"
            ))
        })?;
        Ok(record)
    }

    /// Returns the part that an asker lacks next; `None` if it has a configuration as new.
    pub fn chunk(&self, asked: &ConfigRequest) -> Option<ConfigChunk> {
        if self.version() <= asked.version {
            return None;
        }
        let begun = asked.begun.iter().find(|(mark, _)| *mark == self.mark);
        let start = begun.map_or(0, |(_, held)| *held as usize);
        let start = start.min(self.bytes.len());
        let most = asked.most.clamp(LEAST_CHUNK, MOST_CHUNK) as usize;
        let end = self.bytes.len().min(start + most);
        Some(ConfigChunk {
            mark: self.mark,
            length: u32::try_from(self.bytes.len()).ok()?,
            from: start as u32,
            bytes: self.bytes.slice(start..end),
        })
    }
}

struct PartialConfig {
    mark: ConfigId,
    length: u32,
    bytes: BytesMut,
}

/// Puts chunks together.
pub struct ConfigAssembler {
    /// Unfinished copies, the newest version last.
    parts: Vec<PartialConfig>,
    /// Bytes to ask for next.
    most: u32,
}

impl Default for ConfigAssembler {
    fn default() -> Self {
        Self {
            parts: Vec::new(),
            most: FIRST_CHUNK,
        }
    }
}

impl ConfigAssembler {
    /// Returns what to ask for while configuration `version` is in force.
    pub fn request(&mut self, version: u64) -> ConfigRequest {
        self.parts.retain(|part| part.mark.version > version);
        let begun = self.parts.iter();
        ConfigRequest {
            version,
            begun: begun
                .map(|part| (part.mark, part.bytes.len() as u32))
                .collect(),
            most: self.most,
        }
    }

    /// Adds a chunk; returns the configuration once it is whole.
    ///
    /// # Errors
    ///
    /// `Protocol` if the chunk does not fit what has come before; that copy starts over.
    pub fn add(&mut self, chunk: ConfigChunk) -> Result<Option<CompressedConfig>> {
        self.most = self.most.saturating_mul(2).min(MOST_CHUNK);
        let known = self.parts.iter().position(|part| part.mark == chunk.mark);
        let mut part = match known {
            Some(index) => self.parts.remove(index),
            None => PartialConfig {
                mark: chunk.mark,
                length: chunk.length,
                bytes: BytesMut::new(),
            },
        };
        let fits = part.length == chunk.length
            && part.bytes.len() == chunk.from as usize
            && !chunk.bytes.is_empty();
        part.bytes.extend_from_slice(&chunk.bytes);
        if !fits || part.bytes.len() > part.length as usize {
            return Err(unfit(chunk.mark.version));
        }
        if part.bytes.len() == part.length as usize {
            let config = CompressedConfig::from_bytes(part.mark.version, part.bytes.freeze());
            return match config.mark == part.mark {
                true => Ok(Some(config)),
                false => Err(unfit(part.mark.version)),
            };
        }
        self.keep(part);
        Ok(None)
    }

    /// Notes that a chunk did not come in time: a shorter one may.
    pub fn note_late(&mut self) {
        self.most = (self.most / 2).max(LEAST_CHUNK);
    }

    fn keep(&mut self, part: PartialConfig) {
        self.parts.push(part);
        self.parts.sort_by_key(|part| part.mark.version);
        if self.parts.len() > MAX_PARTS {
            self.parts.remove(0);
        }
    }
}

fn unfit(version: u64) -> Error {
    crate::wire::protocol(format!("a part of configuration {version} does not fit"))
}
