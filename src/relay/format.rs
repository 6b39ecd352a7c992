//! What the relay knows of a request and of the head of its answer.

use std::time::Duration;

use http::{HeaderMap, request, response};
use smol_str::SmolStr;

use crate::error::Result;
use crate::ids::CallerKey;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u64,
}

/// Facts that the head of a request states.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller; backend servers repeat it in their answers.
    pub id: SmolStr,
    pub key: Option<CallerKey>,
    pub model: Option<SmolStr>,
    pub adapter: Option<SmolStr>,
    /// Prompt tokens and the bound on generated tokens, if the request states them.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the generated tokens.
    pub length_hint: Option<u64>,
    pub prompt: Vec<PromptPart>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// What one offer of a request adds to the head that the caller sent.
#[derive(Clone, Debug)]
pub struct UpstreamMetadata<'a> {
    /// Backend server that may run the request; any other one refuses it.
    pub server: &'a str,
    /// Time that is left of the caller's deadline.
    pub time_left: Duration,
    pub team: Option<&'a SmolStr>,
    /// 0 is the most urgent, 9 the least.
    pub urgency: u8,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
}

/// What the head of an answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The backend server answers this request.
    Answer,
    /// The backend server did not run the request for want of a place or time.
    Full,
    /// The backend server did not run the request because it does not hold the model.
    ModelMissing,
    /// Another process has the address; it did not run the request.
    WrongInstance,
    /// The answer belongs to another request.
    IdMismatch,
}

/// The names on the wire of requests and answers.
pub trait RelayFormat: Send + Sync + 'static {
    /// Reads the facts from a request's head.
    ///
    /// # Errors
    ///
    /// `Invalid` if a header that the relay depends on cannot be read.
    fn read_metadata(&self, head: &request::Parts) -> Result<RequestMetadata>;

    /// Returns the headers of a request that all its offers share: without those of the connection, the key, and
    /// those that only this system may set.
    fn forwardable_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the headers of one offer.
    ///
    /// # Errors
    ///
    /// `Internal` if a value cannot stand in a header: no value comes from the caller.
    fn add_upstream_headers(
        &self,
        headers: &mut HeaderMap,
        metadata: &UpstreamMetadata<'_>,
    ) -> Result<()>;

    /// Judges the head of an answer to the request `id`, offered to `server`.
    fn classify(&self, id: &str, server: &str, head: &response::Parts) -> AnswerKind;
}
