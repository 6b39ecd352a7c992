//! An opaque request as it is sent to backend servers, and the parts of its answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use smol_str::SmolStr;

use crate::blame::PartId;
use crate::ids::KeyDigest;
use crate::relay::config::RouteConfig;
use crate::relay::exchange::RequestWork;
use crate::relay::format::RequestMetadata;
use crate::relay::origins::StreamId;

/// Status and headers of an answer as the backend server sent them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: StatusCode,
    /// Without connection-specific headers.
    pub headers: HeaderMap,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayPiece {
    /// The complete answer.
    Whole { head: ResponseHead, body: Bytes },
    /// The head of a stream.
    Head(ResponseHead),
    /// Bytes of a stream.
    Data(Bytes),
    /// The stream is complete.
    End,
}

/// Data of a request that is the same for every server that it is sent to.
pub(super) struct RelayRequest {
    pub(super) metadata: RequestMetadata,
    pub(super) route: Arc<RouteConfig>,
    pub(super) team: Option<SmolStr>,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Prompt parts that other requests may share, after the part that stands for team, path and body.
    pub(super) parts: Vec<PartId>,
    /// Identifies repetitions of the same request, for the detection of requests that crash their servers.
    pub(super) fingerprint: KeyDigest,
    pub(super) arrived: Instant,
    /// When the first attempt of the request arrived, if this one came back after a refusal; else `arrived`.
    pub(super) first_arrived: Instant,
    /// Time until which the caller waits for the answer.
    pub(super) caller_deadline: Instant,
    /// Time by which the answer must be complete.
    pub(super) deadline: Instant,
    /// The stream of the answer, if it may be resumed.
    pub(super) stream: Option<StreamId>,
    /// Software version of the only servers that may serve the request, as they have begun its stream.
    pub(super) software: Option<SmolStr>,
    pub(super) service: SmolStr,
    /// Estimated work.
    pub(super) work: RequestWork,
    /// Number of tokens charged.
    pub(super) tokens: u64,
    /// Rank of the request's team, or of its route; 0 is the highest.
    pub(super) priority: u32,
    /// Whether the request waits behind urgent ones of its service while servers are scarce.
    pub(super) deferrable: bool,
    /// From 0 to 9; a lower value is more urgent.
    pub(super) urgency: u8,
    /// Maximum number of idle connections that are kept to one server.
    pub(super) max_idle_connections: usize,
}
