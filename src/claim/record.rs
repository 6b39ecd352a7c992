//! Records of the `claims` stream.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimKey, ClaimOutcome};
use crate::error::{Error, Result};
use crate::ids::{KeyDigest, RecordId, VmId};

/// Largest body that an outcome keeps, in bytes.
pub const MAX_RECORDED_BODY: usize = 4096;

/// One entry of a [`ClaimBatch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// Claims for the batch's daemon the right to dispatch the request once.
    Claim {
        id: RecordId,
        key: ClaimKey,
        body: KeyDigest,
    },
    /// Releases a claim whose request was not sent, not even in part.
    Release { claim: RecordId, key: ClaimKey },
    /// Records the answer to a request that ran.
    Outcome {
        claim: RecordId,
        key: ClaimKey,
        outcome: ClaimOutcome,
    },
}

/// One log record of the `claims` stream: entries of one daemon in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Identifies the batch on the stream when the answer to its append was lost. A repeated append has a new id.
    pub id: RecordId,
    pub vm: VmId,
    /// Wall clock of the writer before the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub records: Vec<ClaimRecord>,
}

impl ClaimBatch {
    /// Encodes the batch for the log.
    ///
    /// # Errors
    ///
    /// `Internal` if the encoder fails.
    pub fn encode(&self) -> Result<Bytes> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map(Bytes::from)
            .map_err(|error| Error::internal(format!("claim batch cannot be encoded: {error}")))
    }

    /// Decodes a log record.
    ///
    /// # Errors
    ///
    /// `Invalid` if the data is not a batch.
    pub fn decode(data: &[u8]) -> Result<Self> {
        bincode::serde::decode_from_slice(data, bincode::config::standard())
            .map(|(batch, _)| batch)
            .map_err(|error| Error::invalid(format!("claim batch cannot be decoded: {error}")))
    }
}
