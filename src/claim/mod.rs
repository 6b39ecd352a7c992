//! Claims that let a non-repeatable request run at most once.
//!
//! [`ClaimTable`] is the pure state that every daemon replays from the `claims` stream; [`ClaimService`]
//! appends claims, reads them back and answers the dispatcher.

mod key_time;
mod record;
mod service;
mod table;
mod writer;

use std::future::Future;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::key_time::{check_key_age, key_time_ms};
pub use self::record::{ClaimBatch, ClaimRecord, MAX_RECORDED_BODY};
pub use self::service::{ClaimDump, ClaimService, ClaimSettings};
pub use self::table::{ClaimChange, ClaimTable, KeyState};
use crate::error::Result;
use crate::ids::{KeyDigest, RecordId};

/// What identifies a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    pub team: SmolStr,
    /// Digest of the idempotency key and the route name.
    pub key: KeyDigest,
}

/// The recorded result of a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// HTTP status of the answer.
    pub status: u16,
    pub content_type: Option<SmolStr>,
    /// The body, or `None` if it was larger than the limit for recorded bodies.
    pub body: Option<Bytes>,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This daemon alone may dispatch the request, once.
    Granted(RecordId),
    /// The request ran before; this is its answer.
    Recorded(ClaimOutcome),
}

/// Decides which daemon may dispatch a non-repeatable request.
pub trait ClaimStore: Send + Sync + 'static {
    /// Refuses a time-ordered idempotency key (UUIDv7) that the claim memory may not cover.
    ///
    /// # Errors
    ///
    /// `Conflict` with `MayHaveRun` if the key is too old; `Unavailable` with `NotRun` if the stream has not
    /// been replayed yet, since the age that it covers is unknown until then.
    fn check_key(&self, key: &str) -> Result<()>;

    /// Claims `key` for a request with this body.
    ///
    /// # Errors
    ///
    /// `Unavailable` with `NotRun` if the log cannot be reached (the claim is then never dispatched);
    /// `Conflict` with `MayHaveRun` if another claim is open; `Invalid` if the body differs from that of the
    /// earlier claim.
    fn claim(
        &self,
        key: ClaimKey,
        body: KeyDigest,
    ) -> impl Future<Output = Result<ClaimVerdict>> + Send;

    /// Records the outcome of a granted claim. Retries in the background until the log has it.
    fn record(&self, claim: RecordId, outcome: ClaimOutcome);

    /// Voids a granted claim of which no byte was sent, so that the request may be submitted again.
    fn release(&self, claim: RecordId);
}
