//! HTTP adapter of model engines.
//!
//! `POST /v1/chat/completions` has the OpenAI shape with the additional fields `request_id`, `version`,
//! `adapter`, `priority` and `resume`, and answers with server-sent events. Each event carries the request id
//! as `id` and the token's index as `token_index`. `GET /load`, `GET /cache/events?from=` and `POST /orders`
//! carry the types of [`crate::engine`] as JSON.

use std::future::Future as _;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::Method;
use http_body::Body as _;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::{Instant, Sleep};

use crate::engine::sse::EventParser;
use crate::engine::{
    CacheEvent, EngineChunk, EngineClient, EngineOrder, EngineRequest, FinishReason, LoadReport,
    OrderReply,
};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::wire::{self, HttpClient};

/// Longest answer that is read into memory as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Time limits of calls to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTimeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time until the response headers of a completion arrive.
    pub head: Duration,
    /// Longest time without a token, also before the first one.
    pub chunk: Duration,
    /// Time for a load report or cache events.
    pub report: Duration,
    /// Time for the answer to an order.
    pub order: Duration,
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            head: Duration::from_secs(5),
            chunk: Duration::from_secs(10),
            report: Duration::from_secs(2),
            order: Duration::from_secs(5),
        }
    }
}

/// Client of engines over HTTP. It sends each request at most once.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
    timeouts: EngineTimeouts,
}

#[derive(Serialize)]
struct CompletionFields<'a> {
    request_id: &'a str,
    model: &'a str,
    version: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    max_tokens: u32,
    priority: u8,
    resume: &'a [SmolStr],
    stream: bool,
}

#[derive(Deserialize)]
struct ChunkBody {
    id: SmolStr,
    token_index: u32,
    choices: (ChunkChoice,),
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    finish_reason: Option<FinishReason>,
}

#[derive(Default, Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: SmolStr,
}

#[derive(Deserialize)]
struct OrderAnswer {
    reply: OrderReply,
}

impl HttpEngine {
    /// Creates a client that opens connections on use and reuses them.
    pub fn open(timeouts: EngineTimeouts) -> Self {
        Self {
            client: HttpClient::open(timeouts.connect),
            timeouts,
        }
    }

    /// Makes connections come from the address `local`.
    pub fn with_local_address(mut self, local: IpAddr) -> Self {
        self.client = HttpClient::open_from(self.timeouts.connect, local);
        self
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        server: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let request = wire::request(server, Method::GET, path, Bytes::new())?;
        self.client
            .call(request, self.timeouts.report, MAX_ANSWER_BYTES)
            .await
            .and_then(|answer| wire::decode(&answer))
            // Reading a report has no effect on the engine, so a failed read is `NotRun` too.
            .map_err(|error| error.with_verdict(RunVerdict::NotRun))
    }
}

impl Default for HttpEngine {
    fn default() -> Self {
        Self::open(EngineTimeouts::default())
    }
}

impl EngineClient for HttpEngine {
    type Tokens = HttpTokens;

    async fn complete(&self, server: SocketAddr, request: &EngineRequest) -> Result<HttpTokens> {
        let body = encode_completion(request)?;
        let request = wire::json_request(server, Method::POST, "/v1/chat/completions", body)?;
        let response = self.client.send(request, self.timeouts.head).await?;
        if response.status() == http::StatusCode::OK {
            return Ok(HttpTokens::new(response.into_body(), self.timeouts.chunk));
        }
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = tokio::time::timeout(self.timeouts.head, body)
            .await
            .map_err(|_| wire::timed_out("no complete answer", self.timeouts.head))?
            .map_err(|error| wire::protocol(format!("cannot read the answer: {error}")))?;
        Err(wire::refusal(status, &body.to_bytes()))
    }

    async fn load(&self, server: SocketAddr) -> Result<LoadReport> {
        self.get(server, "/load").await
    }

    async fn cache_events(&self, server: SocketAddr, sequence: u64) -> Result<Vec<CacheEvent>> {
        self.get(server, &format!("/cache/events?from={sequence}"))
            .await
    }

    async fn order(&self, server: SocketAddr, order: &EngineOrder) -> Result<OrderReply> {
        let body = serde_json::to_vec(order)
            .map_err(|error| Error::internal(format!("cannot encode order: {error}")))?;
        let request = wire::json_request(server, Method::POST, "/orders", body)?;
        let answer = self
            .client
            .call(request, self.timeouts.order, MAX_ANSWER_BYTES)
            .await?;
        let answer: OrderAnswer = wire::decode(&answer)?;
        Ok(answer.reply)
    }
}

fn encode_completion(request: &EngineRequest) -> Result<Vec<u8>> {
    // The messages are inserted into the body as text, so they must be one complete JSON array.
    serde_json::from_slice::<Vec<serde::de::IgnoredAny>>(&request.messages)
        .map_err(|error| Error::invalid(format!("messages are not a JSON array: {error}")))?;
    let fields = CompletionFields {
        request_id: &request.id,
        model: &request.model,
        version: &request.version,
        adapter: request.adapter.as_deref(),
        max_tokens: request.max_tokens,
        priority: request.priority,
        resume: &request.resume,
        stream: true,
    };
    let mut body = serde_json::to_vec(&fields)
        .map_err(|error| Error::internal(format!("cannot encode request: {error}")))?;
    body.pop();
    body.extend_from_slice(b",\"messages\":");
    body.extend_from_slice(&request.messages);
    body.push(b'}');
    Ok(body)
}

#[derive(Debug, PartialEq, Eq)]
enum TokensState {
    Open,
    /// The last chunk was returned; the rest of the body is read so that the connection can be reused.
    Draining,
    Ended,
}

/// Stream of the tokens of one answer. Dropping it before the end closes the connection, which cancels the request.
///
/// It ends with an error if the body ends before the last chunk. A `Timeout` error means that no token arrived in
/// time. It does not end the stream: the consumer may drop the stream or poll again. The connection can be reused
/// once the consumer has polled until `None`.
#[derive(Debug)]
pub struct HttpTokens {
    body: Option<Incoming>,
    parser: EventParser,
    chunk_timeout: Duration,
    deadline: Pin<Box<Sleep>>,
    state: TokensState,
}

impl HttpTokens {
    fn new(body: Incoming, chunk_timeout: Duration) -> Self {
        Self {
            body: Some(body),
            parser: EventParser::default(),
            chunk_timeout,
            deadline: Box::pin(tokio::time::sleep(chunk_timeout)),
            state: TokensState::Open,
        }
    }

    fn end(&mut self) {
        self.state = TokensState::Ended;
        self.body = None;
    }

    /// Reads one frame of the body into the parser; resolves to `false` at the end of the body.
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Result<bool>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(Ok(false));
        };
        match Pin::new(body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.parser.push(data);
                }
                Poll::Ready(Ok(true))
            }
            Poll::Ready(Some(Err(error))) => {
                Poll::Ready(Err(wire::protocol(format!("token stream failed: {error}"))))
            }
            Poll::Ready(None) => Poll::Ready(Ok(false)),
            Poll::Pending => {
                ready!(self.deadline.as_mut().poll(cx));
                Poll::Ready(Err(wire::timed_out("no token", self.chunk_timeout)))
            }
        }
    }

    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<EngineChunk>>> {
        while let Ok(true) = ready!(self.poll_body(cx)) {}
        self.end();
        Poll::Ready(None)
    }

    fn receive_chunk(&mut self, data: &[u8]) -> Result<EngineChunk> {
        let chunk = decode_chunk(data)?;
        self.deadline
            .as_mut()
            .reset(Instant::now() + self.chunk_timeout);
        if chunk.finish.is_some() {
            self.state = TokensState::Draining;
        }
        Ok(chunk)
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<EngineChunk>> {
        loop {
            if let Some(data) = self.parser.next()? {
                return Poll::Ready(self.receive_chunk(&data));
            }
            if !ready!(self.poll_body(cx))? {
                let error = wire::protocol("token stream ended before the last chunk");
                return Poll::Ready(Err(error));
            }
        }
    }
}

impl Stream for HttpTokens {
    type Item = Result<EngineChunk>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.state {
            TokensState::Open => {}
            TokensState::Draining => return self.poll_drain(cx),
            TokensState::Ended => return Poll::Ready(None),
        }
        let chunk = ready!(self.poll_chunk(cx));
        match &chunk {
            // The request may still wait in the engine's own queue. Only the consumer knows, so the stream stays open.
            Err(error) if error.category() == Category::Timeout => {
                let next = Instant::now() + self.chunk_timeout;
                self.deadline.as_mut().reset(next);
            }
            Err(_) => self.end(),
            Ok(_) => {}
        }
        Poll::Ready(Some(chunk))
    }
}

fn decode_chunk(data: &[u8]) -> Result<EngineChunk> {
    if data == b"[DONE]" {
        return Err(wire::protocol("token stream ended before the last chunk"));
    }
    let chunk: ChunkBody = serde_json::from_slice(data).map_err(|error| {
        wire::protocol(format!(
            "cannot decode a chunk of the token stream: {error}"
        ))
    })?;
    let (choice,) = chunk.choices;
    Ok(EngineChunk {
        id: chunk.id,
        index: chunk.token_index,
        text: choice.delta.content,
        finish: choice.finish_reason,
    })
}
