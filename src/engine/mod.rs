//! Model engines and plain services: the traits and their request and answer types.

mod client;
mod prefix;
mod service;
mod sse;

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::Stream;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::client::{EngineTimeouts, HttpEngine, HttpTokens};
pub use self::prefix::{PREFIX_BLOCK_BYTES, prefix_hashes};
pub use self::service::{HttpService, ServiceTimeouts};
use crate::error::Result;

/// A model call as an engine receives it. It never carries a caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// Request id that the answer must carry.
    pub id: SmolStr,
    pub model: SmolStr,
    pub version: SmolStr,
    pub adapter: Option<SmolStr>,
    /// Messages of the chat as JSON text, as the caller sent them.
    pub messages: Bytes,
    /// Upper bound of generated tokens.
    pub max_tokens: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Tokens already delivered to the caller, when a stream resumes on another engine.
    pub resume: Vec<SmolStr>,
}

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    Stop,
    Length,
}

/// One generated token, or the end of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineChunk {
    /// Id of the request that the chunk answers.
    pub id: SmolStr,
    /// Index of the token in the whole answer, from 0; a resumed stream continues the count.
    pub index: u32,
    /// Text of the token; empty in the last chunk.
    pub text: SmolStr,
    /// Set in the last chunk only.
    pub finish: Option<FinishReason>,
}

/// A model replica or adapter in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResidentItem {
    pub model: SmolStr,
    pub version: SmolStr,
    /// `None` for the model's weights themselves.
    pub adapter: Option<SmolStr>,
}

/// Load that an engine reports. It lags behind the engine's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Increases with each report of one engine process.
    pub sequence: u64,
    /// Changes when the engine process restarts.
    pub incarnation: u64,
    pub running: u32,
    pub waiting: u32,
    /// Time between two tokens of one stream, in microseconds.
    pub token_us: u32,
    /// Weights and adapters in memory, with their size in bytes.
    pub resident: Vec<(ResidentItem, u64)>,
    /// Items that are being loaded, with their size in bytes.
    pub loading: Vec<(ResidentItem, u64)>,
    /// Whether the server is leaving and accepts no new work.
    pub leaving: bool,
}

/// Change that an order requests from an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    Load { item: ResidentItem, bytes: u64 },
    Unload { item: ResidentItem },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number: the offset of the order's record. An engine that checks it refuses a lower one.
    pub fence: u64,
    pub action: OrderAction,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The effect is complete.
    Done,
    /// Accepted; the load report shows when the effect is complete.
    Started,
    /// Refused because of an old fencing number; it had no effect.
    Fenced,
    /// Refused because of lacking memory or another reason; it had no effect.
    Refused,
}

/// A prefix that entered or left an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    pub sequence: u64,
    pub prefix_hash: u64,
    pub present: bool,
}

/// Client of model engines. Only its implementations know the engines' wire format.
pub trait EngineClient: Send + Sync + 'static {
    /// Tokens of one answer. Dropping the stream cancels the request on the engine. A `Timeout` error does not end
    /// it, because the request may still wait in the engine's queue.
    type Tokens: Stream<Item = Result<EngineChunk>> + Send + Unpin;

    /// Starts a model call.
    ///
    /// # Errors
    ///
    /// The verdict is `NotRun` if no byte was sent or the engine refused, else `MayHaveRun`.
    fn complete(
        &self,
        server: SocketAddr,
        request: &EngineRequest,
    ) -> impl Future<Output = Result<Self::Tokens>> + Send;

    /// Reads the latest load report.
    fn load(&self, server: SocketAddr) -> impl Future<Output = Result<LoadReport>> + Send;

    /// Reads cache events from `sequence`; events may be missing.
    fn cache_events(
        &self,
        server: SocketAddr,
        sequence: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>>> + Send;

    /// Sends an order.
    fn order(
        &self,
        server: SocketAddr,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<OrderReply>> + Send;
}

/// A call to a plain service. Headers have passed the allow-list.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    pub id: SmolStr,
    pub method: http::Method,
    /// Path and query, starting with `/`.
    pub path: String,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    pub status: http::StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

/// Client of plain services.
pub trait ServiceClient: Send + Sync + 'static {
    /// Sends a call and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// The verdict is `NotRun` if no byte was sent, else `MayHaveRun`.
    fn call(
        &self,
        server: SocketAddr,
        request: ServiceRequest,
    ) -> impl Future<Output = Result<ServiceAnswer>> + Send;
}
