//! Connections to backend servers.
//!
//! A connection whose answer was not read to its end is closed, which also cancels the request on the server.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::error::{Category, Error, RunVerdict};
use crate::kernel::TaskGroup;
use crate::relay::refusing::ProbeOutcome;
use crate::wire;

/// Covers a few round trips within a region. A server that is cut off does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time in which the sockets of a killed process close, one after the other and the listener last.
const DYING_TIME: Duration = Duration::from_millis(50);
/// Time for which an idle connection is kept if its server states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Maximum time for which an idle connection is kept.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(10);
/// Subtracted from the time that the server states, so that no request is sent while the server closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of idle connections per server.
const MAX_IDLE: usize = 16;
/// Maximum number of interim answers (1xx) to one request.
const MAX_INTERIM_ANSWERS: usize = 16;

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Stops the task that drives the connection when dropped.
    guard: DropGuard,
}

struct IdleConnection {
    connection: Connection,
    address: SocketAddr,
    expires: Instant,
}

type IdleMap = HashMap<SmolStr, Vec<IdleConnection>>;

/// Connections to all backend servers. Clones share the same connections.
#[derive(Clone)]
pub struct UpstreamPool {
    group: TaskGroup,
    idle: Arc<Mutex<IdleMap>>,
}

/// Why a request got no answer.
#[derive(Debug)]
pub struct SendError {
    /// Its verdict is `NotRun` if no byte of the request was sent.
    pub error: Error,
    /// Whether the server's host refused the connection, so that no process listens at the address.
    pub is_refused: bool,
}

impl From<Error> for SendError {
    fn from(error: Error) -> Self {
        Self {
            error,
            is_refused: false,
        }
    }
}

type SendResult<T> = std::result::Result<T, SendError>;

/// An answer whose body has not been read yet.
pub struct UpstreamAnswer {
    pub head: response::Parts,
    pub body: Incoming,
    /// Whether it is the first answer on its connection. A later one may repeat the answer to an earlier request.
    pub is_first: bool,
    /// Whether the answer has neither a length nor chunks, so that the end of the connection is its end.
    pub ends_with_connection: bool,
    pooled: PooledConnection,
}

/// The connection that an answer is read from. Dropping it closes the connection.
struct PooledConnection {
    pool: UpstreamPool,
    server: SmolStr,
    address: SocketAddr,
    connection: Connection,
    keep_alive: Duration,
}

impl UpstreamPool {
    /// Creates a pool that drives its connections with tasks of `group`.
    pub fn open(group: &TaskGroup) -> Self {
        Self {
            group: group.clone(),
            idle: Arc::default(),
        }
    }

    /// Sends `request` to `server` and waits for the head of its answer. With `reuse`, an idle connection may be
    /// used. It may break after the server has read the request, so requests that run at most once need a new one.
    ///
    /// # Errors
    ///
    /// The verdict is `NotRun` if no byte of the request was sent.
    pub async fn send(
        &self,
        server: &SmolStr,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: bool,
    ) -> SendResult<UpstreamAnswer> {
        let interim = InterimAnswers::watch(&mut request);
        let answer = self.send_watched(server, address, request, reuse);
        tokio::select! {
            answer = answer => answer,
            () = interim.excess() => {
                let message = "the server sent interim answers without end";
                let error = Error::new(Category::Protocol, message);
                Err(error.with_verdict(RunVerdict::MayHaveRun).into())
            }
        }
    }

    async fn send_watched(
        &self,
        server: &SmolStr,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: bool,
    ) -> SendResult<UpstreamAnswer> {
        while reuse && let Some(mut connection) = self.take_idle(server, address) {
            match connection.sender.try_send_request(request).await {
                Ok(answer) => {
                    return Ok(self.answer(server, address, connection, answer, false));
                }
                Err(mut failure) => match failure.take_message() {
                    // The server closed the connection before the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(connection_broken(&failure.into_error()).into()),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        match connection.sender.send_request(request).await {
            Ok(answer) => Ok(self.answer(server, address, connection, answer, true)),
            Err(error) if error.is_canceled() => {
                let message = "the server closed the connection before the request was sent";
                Err(Error::unavailable(message).into())
            }
            Err(error) => Err(connection_broken(&error).into()),
        }
    }

    /// Returns whether `address` refuses connections, which shows that its server has ended. A server behind a cut link
    /// does not answer.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        self.probe(address).await == ProbeOutcome::Refused
    }

    /// Returns whether a server that has just closed a connection listens on at `address`. One that is being killed may do so
    /// for a moment.
    pub async fn outlives_connection(&self, address: SocketAddr) -> bool {
        tokio::time::sleep(DYING_TIME).await;
        self.probe(address).await == ProbeOutcome::Accepted
    }

    /// Opens a connection to find out whether a server accepts connections, and closes it.
    pub async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        match connect {
            Ok(Ok(_)) => ProbeOutcome::Accepted,
            Ok(Err(error)) if is_refusal(&error) => ProbeOutcome::Refused,
            Ok(Err(_)) | Err(_) => ProbeOutcome::Unknown,
        }
    }

    /// Closes idle connections that have expired.
    pub fn expire(&self, now: Instant) {
        self.idle().retain(|_, connections| {
            connections.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn answer(
        &self,
        server: &SmolStr,
        address: SocketAddr,
        connection: Connection,
        answer: http::Response<Incoming>,
        is_first: bool,
    ) -> UpstreamAnswer {
        let (head, body) = answer.into_parts();
        let keep_alive = keep_alive_time(&head);
        let pooled = PooledConnection {
            pool: self.clone(),
            server: server.clone(),
            address,
            connection,
            keep_alive,
        };
        UpstreamAnswer {
            // An answer that can't have a body, such as one to HEAD, ends with its head.
            ends_with_connection: !body.is_end_stream() && !has_framing(&head),
            head,
            body,
            is_first,
            pooled,
        }
    }

    async fn connect(&self, address: SocketAddr) -> SendResult<Connection> {
        let failed = |error: &dyn std::fmt::Display| {
            Error::unavailable(format!("cannot connect to {address}: {error}"))
        };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| failed(&"connect timed out"))?
            .map_err(|error| SendError {
                error: failed(&error),
                is_refused: is_refusal(&error),
            })?;
        // Avoids delays for small requests. The connection also works if the option cannot be set.
        let _ = stream.set_nodelay(true);
        wire::reset_on_close(&stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(wire::READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(&error))?;
        let stop = CancellationToken::new();
        let guard = stop.clone().drop_guard();
        self.group.spawn_cancellable(async move {
            // The request on the connection returns the same error.
            let _ = stop.run_until_cancelled(connection).await;
        });
        Ok(Connection { sender, guard })
    }

    /// Takes an idle connection to the server at `address`. Those to an earlier address are closed.
    fn take_idle(&self, server: &SmolStr, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle();
        let connections = idle.get_mut(server)?;
        while let Some(candidate) = connections.pop() {
            let is_usable = candidate.address == address && candidate.expires > now;
            if is_usable && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, IdleMap> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UpstreamAnswer {
    /// Returns the connection to the pool unless the server has `max_idle` idle connections already. Must be called
    /// only after the body was read to its end.
    pub fn release(self, max_idle: usize) {
        let Self { pooled, .. } = self;
        if pooled.keep_alive.is_zero() || pooled.connection.sender.is_closed() {
            return;
        }
        let mut idle = pooled.pool.idle();
        let connections = idle.entry(pooled.server).or_default();
        if connections.len() < max_idle.min(MAX_IDLE) {
            connections.push(IdleConnection {
                connection: pooled.connection,
                address: pooled.address,
                expires: Instant::now() + pooled.keep_alive,
            });
        }
    }
}

/// Counts the interim answers (1xx) to a request. A server may send a few before its answer.
struct InterimAnswers {
    excess: CancellationToken,
}

impl InterimAnswers {
    fn watch(request: &mut Request<Full<Bytes>>) -> Self {
        let excess = CancellationToken::new();
        let (count, token) = (AtomicUsize::new(0), excess.clone());
        hyper::ext::on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
                token.cancel();
            }
        });
        Self { excess }
    }

    /// Resolves when there are too many.
    async fn excess(&self) {
        self.excess.cancelled().await;
    }
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("closed", &self.sender.is_closed())
            .field("guard", &self.guard)
            .finish()
    }
}

/// Returns whether a connect ended with an answer of the server's host that nothing listens at the address.
fn is_refusal(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

/// Returns how long the connection may stay idle after this answer; zero if it must be closed.
fn keep_alive_time(head: &response::Parts) -> Duration {
    let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    if header(http::header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let stated = header(http::header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let mut parts = value.split(',');
        parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    match stated.map(Duration::from_secs) {
        Some(stated) => stated.saturating_sub(KEEP_ALIVE_MARGIN).min(MAX_KEEP_ALIVE),
        None => DEFAULT_KEEP_ALIVE,
    }
}

/// Returns whether the body has a length or chunks.
fn has_framing(head: &response::Parts) -> bool {
    let codings = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let is_chunked = |value: &http::HeaderValue| {
        let last = value.as_bytes().rsplit(|byte| *byte == b',').next();
        last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
    };
    codings.map_or(head.headers.contains_key(CONTENT_LENGTH), is_chunked)
}

fn connection_broken(error: &hyper::Error) -> Error {
    Error::unavailable(format!("the connection broke: {error}"))
        .with_verdict(RunVerdict::MayHaveRun)
}
