//! The request and answer metadata that the relay uses, and the trait that maps it to headers.

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

/// Metadata that the headers of a request state.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Request id, which differs between attempts of the caller; backend servers return it in their answers.
    pub id: SmolStr,
    pub key: Option<CallerKey>,
    pub model: Option<SmolStr>,
    pub adapter: Option<SmolStr>,
    /// Number of prompt tokens and maximum number of generated tokens, if the request states them.
    pub tokens: Option<(u64, u64)>,
    /// The caller's estimate of the number of generated tokens.
    pub length_hint: Option<u64>,
    pub prompt: Vec<PromptPart>,
    /// Time that the caller waits for the answer, counted from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event, if it resumes a stream and states that attempt.
    pub resumes: Option<SmolStr>,
}

impl RequestMetadata {
    /// Returns whether the caller resumes a stream of which it has events.
    pub fn is_resumed(&self) -> bool {
        self.last_event.is_some() || self.resumes.is_some()
    }
}

/// Metadata that the relay adds each time it sends a request to a backend server.
#[derive(Clone, Debug)]
pub struct UpstreamMetadata<'a> {
    /// Instance id of the only backend server that may run the request; all others refuse it.
    pub server: &'a str,
    /// Time left for the backend server to answer.
    pub time_left: Duration,
    pub team: Option<&'a SmolStr>,
    /// 0 is the most urgent, 9 the least.
    pub urgency: u8,
    /// Id of the event after which a stream is to be resumed.
    pub last_event: Option<u64>,
}

/// Classification of an answer by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The backend server ran the request and answers it.
    Answer,
    /// The backend server did not run the request because it has no free slot or not enough time.
    Full,
    /// The backend server did not run the request because it does not hold the model.
    ModelMissing,
    /// Another process now uses the address; it did not run the request.
    WrongInstance,
    /// The answer belongs to another request.
    IdMismatch,
    /// A refusal that may be that of an earlier request on the same connection, as it does not state a request id.
    Unattributed,
}

/// What the head of an answer says about its server, apart from the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    pub is_leaving: bool,
    /// Time for which the server wants no requests of this daemon.
    pub pause: Option<Duration>,
}

/// Maps metadata to the headers of requests and answers.
pub trait RelayFormat: Send + Sync + 'static {
    /// Reads the metadata from the headers of a request.
    ///
    /// # Errors
    ///
    /// `Invalid` if a header that the relay needs is malformed.
    fn read_metadata(&self, head: &request::Parts) -> Result<RequestMetadata>;

    /// Returns the headers that are forwarded to every backend server: all but those of the connection, the key and
    /// those that only this system may set.
    fn forwardable_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the headers that are specific to one backend server.
    ///
    /// # Errors
    ///
    /// `Internal` if a value is not a valid header value. None of the values come from the caller.
    fn add_upstream_headers(
        &self,
        headers: &mut HeaderMap,
        metadata: &UpstreamMetadata<'_>,
    ) -> Result<()>;

    /// Reads what the head of an answer says about its server.
    fn read_notice(&self, head: &response::Parts) -> ServerNotice;

    /// Returns the id of the server that answers, if the head of the answer states it.
    fn answering_server<'a>(&self, head: &'a response::Parts) -> Option<&'a str>;

    /// Classifies the head of an answer to the request `id`, which was sent to `server`. `is_first` states whether it is
    /// the first answer on its connection.
    fn classify(
        &self,
        id: &str,
        server: &str,
        head: &response::Parts,
        is_first: bool,
    ) -> AnswerKind;
}
