//! Answers of model calls and plain services, sent through a bounded buffer.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime};

use axum::body::Body;
use axum::response::Response;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue};
use http_body::Frame;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::dispatch::TokenUsage;
use crate::engine::{EngineChunk, FinishReason, ServiceAnswer};
use crate::error::{Category, Error, RunVerdict};
use crate::history::RequestStage;
use crate::http::exchange::Exchange;
use crate::http::refusal::error_json;
use crate::kernel::TaskGroup;
use crate::logging;
use crate::wire;

/// Events that are buffered for a slow caller.
const BUFFERED_EVENTS: usize = 16;
/// Size of the pieces in which larger non-streamed answers go through the bounded buffer.
const PIECE_BYTES: usize = 32 << 10;

/// Format of the answer to a model call.
pub(super) struct ChatFormat {
    pub(super) model: SmolStr,
    /// Whether the answer is sent as server-sent events.
    pub(super) stream: bool,
    pub(super) include_usage: bool,
    pub(super) usage: TokenUsage,
    pub(super) write_time: Duration,
}

/// A body that reads its data from a bounded channel.
struct ChannelBody(mpsc::Receiver<Bytes>);

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = std::task::ready!(self.0.poll_recv(cx));
        Poll::Ready(data.map(|data| Ok(Frame::data(data))))
    }
}

#[derive(Serialize)]
struct UsageJson {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl From<TokenUsage> for UsageJson {
    fn from(usage: TokenUsage) -> Self {
        Self {
            prompt_tokens: usage.prompt,
            completion_tokens: usage.completion,
            total_tokens: usage.prompt.saturating_add(usage.completion),
        }
    }
}

#[derive(Serialize)]
struct ChatAnswer<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChatChoice<'a>; 1],
    usage: UsageJson,
}

#[derive(Serialize)]
struct ChatChoice<'a> {
    index: u32,
    message: ChatMessage<'a>,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

/// Collects the tokens of a model call into one JSON answer.
pub(super) async fn collect_answer<S>(
    exchange: &Exchange,
    format: &mut ChatFormat,
    mut tokens: S,
) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<EngineChunk, Error>> + Unpin,
{
    let mut content = String::new();
    let mut timer = TokenTimer::new();
    let finish = loop {
        let chunk = tokens.next().await.unwrap_or_else(|| Err(truncated()))?;
        timer.observe(exchange);
        content.push_str(&chunk.text);
        format.usage.completion += u32::from(is_token(&chunk));
        if let Some(finish) = chunk.finish {
            break finish;
        }
    };
    let answer = ChatAnswer {
        id: &exchange.id,
        object: "chat.completion",
        created: unix_seconds(),
        model: &format.model,
        choices: [ChatChoice {
            index: 0,
            message: ChatMessage {
                role: "assistant",
                content: &content,
            },
            finish_reason: finish_name(finish),
        }],
        usage: format.usage.into(),
    };
    let json = serde_json::to_vec(&answer);
    json.map(Bytes::from)
        .map_err(|error| Error::internal(format!("cannot encode the answer: {error}")))
}

/// Sends the tokens of a model call as server-sent events.
pub(super) fn stream_events<S>(
    group: &TaskGroup,
    exchange: Exchange,
    format: ChatFormat,
    tokens: S,
) -> Response
where
    S: Stream<Item = Result<EngineChunk, Error>> + Send + Unpin + 'static,
{
    let (sender, receiver) = mpsc::channel(BUFFERED_EVENTS);
    let id = exchange.id.clone();
    let sending = Box::pin(send_events(
        exchange,
        EventWriter::new(&id, format),
        tokens,
        sender,
    ));
    group.spawn_cancellable(logging::scope_request_id(id, sending));
    let mut response = Response::new(Body::new(ChannelBody(receiver)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

async fn send_events<S>(
    exchange: Exchange,
    mut writer: EventWriter,
    mut tokens: S,
    sender: mpsc::Sender<Bytes>,
) where
    S: Stream<Item = Result<EngineChunk, Error>> + Unpin,
{
    let started = Instant::now();
    let mut timer = TokenTimer::new();
    let write_time = writer.format.write_time;
    let result = loop {
        let next = tokio::select! {
            next = tokens.next() => next,
            () = sender.closed() => return,
        };
        let chunk = match next.unwrap_or_else(|| Err(truncated())) {
            Ok(chunk) => chunk,
            Err(error) => break Err(error),
        };
        timer.observe(&exchange);
        if let Err(cause) = send(&sender, writer.chunk(&chunk), write_time).await {
            return exchange.cancel(cause);
        }
        if chunk.finish.is_some() {
            break Ok(());
        }
    };
    exchange.add_stage(RequestStage::Stream, started);
    let event = result.as_ref().err().map(|error| writer.error(error));
    if let Some(Err(cause)) = match event {
        Some(event) => Some(send(&sender, event, write_time).await),
        None => None,
    } {
        return exchange.cancel(cause);
    }
    match result {
        Ok(()) => exchange.complete(),
        Err(error) => exchange.fail(&error),
    }
}

/// Sends `data` to the caller. Fails if the caller closed the connection or reads nothing for `write_time`.
async fn send(
    sender: &mpsc::Sender<Bytes>,
    data: Bytes,
    write_time: Duration,
) -> Result<(), &'static str> {
    let data = match sender.try_send(data) {
        Ok(()) => return Ok(()),
        Err(mpsc::error::TrySendError::Closed(_)) => {
            return Err("the caller closed the connection");
        }
        Err(mpsc::error::TrySendError::Full(data)) => data,
    };
    match tokio::time::timeout(write_time, sender.send(data)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err("the caller closed the connection"),
        Err(_) => Err("the caller stopped reading the answer"),
    }
}

/// Returns a response body with the content `body`; a large one goes through the bounded buffer.
pub(super) fn whole_body(
    group: &TaskGroup,
    exchange: Exchange,
    body: Bytes,
    write_time: Duration,
) -> Body {
    if body.len() <= PIECE_BYTES {
        exchange.complete();
        return Body::from(body);
    }
    let body = exchange.account.hold_answer(body);
    let (sender, receiver) = mpsc::channel(1);
    group.spawn_cancellable(send_pieces(exchange, body, sender, write_time));
    Body::new(ChannelBody(receiver))
}

async fn send_pieces(
    exchange: Exchange,
    mut body: Bytes,
    sender: mpsc::Sender<Bytes>,
    write_time: Duration,
) {
    while !body.is_empty() {
        let piece = body.split_to(body.len().min(PIECE_BYTES));
        if let Err(cause) = send(&sender, piece, write_time).await {
            return exchange.cancel(cause);
        }
    }
    exchange.complete();
}

/// Builds the response from the answer of a plain service.
pub(super) fn service_response(
    group: &TaskGroup,
    exchange: Exchange,
    answer: ServiceAnswer,
    write_time: Duration,
) -> Response {
    let headers = without_connection_headers(answer.headers);
    let mut response = Response::new(whole_body(group, exchange, answer.body, write_time));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers;
    response
}

fn without_connection_headers(mut headers: HeaderMap) -> HeaderMap {
    wire::remove_connection_headers(&mut headers);
    headers
}

/// Observes the time to the first token and between tokens.
struct TokenTimer {
    last: Option<Instant>,
}

impl TokenTimer {
    fn new() -> Self {
        Self { last: None }
    }

    fn observe(&mut self, exchange: &Exchange) {
        let now = Instant::now();
        let metrics = &exchange.metrics;
        match self.last.replace(now) {
            Some(last) => metrics.observe(&metrics.inter_token, now - last),
            None => metrics.observe(&metrics.first_token, now - exchange.arrived),
        }
    }
}

/// Encodes server-sent events. The part that all events of an answer share is encoded once.
struct EventWriter {
    format: ChatFormat,
    id: SmolStr,
    prefix: Vec<u8>,
    first: bool,
}

#[derive(Serialize)]
struct EventHead<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
}

#[derive(Serialize)]
struct EventDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl EventWriter {
    fn new(id: &SmolStr, format: ChatFormat) -> Self {
        let head = EventHead {
            id,
            object: "chat.completion.chunk",
            created: unix_seconds(),
            model: &format.model,
        };
        let mut prefix = b"data: ".to_vec();
        // Encoding plain strings and numbers cannot fail, here and below.
        prefix.extend(serde_json::to_vec(&head).unwrap_or_default());
        prefix.pop();
        Self {
            format,
            id: id.clone(),
            prefix,
            first: true,
        }
    }

    /// Encodes one chunk; the last one is followed by the usage, if requested, and `[DONE]`.
    fn chunk(&mut self, chunk: &EngineChunk) -> Bytes {
        let token = is_token(chunk);
        self.format.usage.completion += u32::from(token);
        let delta = EventDelta {
            role: std::mem::take(&mut self.first).then_some("assistant"),
            content: token.then_some(chunk.text.as_str()),
        };
        let mut out = BytesMut::with_capacity(self.prefix.len() + chunk.text.len() + 96);
        out.put_slice(&self.prefix);
        out.put_slice(b",\"choices\":[{\"index\":0,\"delta\":");
        let _ = serde_json::to_writer((&mut out).writer(), &delta);
        out.put_slice(b",\"finish_reason\":");
        let finish = chunk.finish.map(finish_name);
        let _ = serde_json::to_writer((&mut out).writer(), &finish);
        out.put_slice(b"}]}\n\n");
        if chunk.finish.is_some() {
            self.end(&mut out);
        }
        out.freeze()
    }

    fn end(&self, out: &mut BytesMut) {
        if self.format.include_usage {
            out.put_slice(&self.prefix);
            out.put_slice(b",\"choices\":[],\"usage\":");
            let usage = UsageJson::from(self.format.usage);
            let _ = serde_json::to_writer(out.writer(), &usage);
            out.put_slice(b"}\n\n");
        }
        out.put_slice(b"data: [DONE]\n\n");
    }

    fn error(&self, error: &Error) -> Bytes {
        let mut out = BytesMut::from(&b"event: error\ndata: "[..]);
        out.put_slice(&error_json(error, &self.id));
        out.put_slice(b"\n\n");
        out.freeze()
    }
}

/// The last chunk carries no token unless it has text.
fn is_token(chunk: &EngineChunk) -> bool {
    chunk.finish.is_none() || !chunk.text.is_empty()
}

fn truncated() -> Error {
    Error::new(Category::Protocol, "answer ended without a finish reason")
        .with_verdict(RunVerdict::MayHaveRun)
}

fn finish_name(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_secs())
}
