//! The request path: authenticate, admit, claim, wait, choose, send, stream, settle.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use smol_str::SmolStr;

use crate::catalog::RequestClass;
use crate::engine::{EngineChunk, ServiceAnswer};
use crate::error::Result;

/// A model call as a caller sent it.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Request id, drawn by the caller-facing server; it goes through all log lines.
    pub id: SmolStr,
    /// Secret from `Authorization: Bearer`, if any.
    pub key: Option<SmolStr>,
    /// `model`, `model:adapter`, or either followed by `@version`.
    pub model: SmolStr,
    /// The `messages` array as JSON text.
    pub messages: Bytes,
    pub max_tokens: u32,
    /// `None` leaves the choice to the model's default, interactive.
    pub class: Option<RequestClass>,
    /// Time from now until the answer is useless; `None` takes the default of the class.
    pub deadline: Option<Duration>,
}

/// A call to a plain service as a caller sent it.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    pub id: SmolStr,
    pub key: Option<SmolStr>,
    pub method: http::Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers as received; the dispatcher forwards those on its allow-list.
    pub headers: http::HeaderMap,
    pub idempotency_key: Option<SmolStr>,
    pub body: Bytes,
}

/// Tokens charged for a finished model call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    pub prompt: u32,
    pub completion: u32,
}

/// Carries out the calls that the caller-facing server accepts.
pub trait CallDispatcher: Send + Sync + 'static {
    /// Tokens of one answer, in order and without gaps. Dropping the stream cancels the request.
    type Tokens: Stream<Item = Result<EngineChunk>> + Send + Unpin;

    /// Carries out a model call; resolves once the request was sent to an engine and the first token came.
    fn model_call(
        &self,
        call: ModelCall,
    ) -> impl Future<Output = Result<(TokenUsage, Self::Tokens)>> + Send;

    /// Carries out a call to a plain service.
    fn service_call(&self, call: ServiceCall)
    -> impl Future<Output = Result<ServiceAnswer>> + Send;

    /// Lists the models that the holder of `key` may call.
    fn models(&self, key: Option<&str>) -> Result<Vec<SmolStr>>;
}
