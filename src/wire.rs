//! HTTP/1.1 client shared by the adapters: connection reuse, time limits and run verdicts.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tower::util::MapResponse;

use crate::error::{Category, Error, Result, RunVerdict};

/// Idle time after which a connection is closed, before the server is likely to close it.
const IDLE_CONNECTION_TIME: Duration = Duration::from_secs(20);
/// Maximum number of idle connections per server.
const MAX_IDLE_CONNECTIONS: usize = usize::MAX;

/// Maximum size of the head of an answer, and of what a connection reads ahead of a body's consumer, in bytes.
pub(crate) const READ_BUFFER_BYTES: usize = 64 << 10;

/// Client for HTTP/1.1 calls to socket addresses. It sends each request at most once.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<ResettingConnector, Full<Bytes>>,
}

/// Opens connections that are reset when they are closed.
type ResettingConnector = MapResponse<HttpConnector, fn(TcpIo) -> TcpIo>;
type TcpIo = TokioIo<TcpStream>;

/// Time limits of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimeouts {
    /// Time until the response headers arrive.
    pub(crate) head: Duration,
    /// Longest time without data between two parts of the body.
    pub(crate) idle: Duration,
    /// Time until the answer is complete.
    pub(crate) total: Duration,
}

impl From<Duration> for CallTimeouts {
    /// Applies one limit to all parts of a call.
    fn from(wait: Duration) -> Self {
        Self {
            head: wait,
            idle: wait,
            total: wait,
        }
    }
}

/// An answer whose body has been read completely.
#[derive(Debug)]
pub(crate) struct HttpAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

#[derive(Deserialize)]
struct RefusalBody {
    error: Refusal,
}

#[derive(Deserialize)]
struct Refusal {
    message: String,
    #[serde(default)]
    not_run: bool,
}

impl HttpClient {
    /// Creates a client whose attempts to connect time out after `connect`.
    pub(crate) fn open(connect: Duration) -> Self {
        Self::build(connect, None, MAX_IDLE_CONNECTIONS)
    }

    /// Creates a client whose connections come from the address `local`.
    pub(crate) fn open_from(connect: Duration, local: IpAddr) -> Self {
        Self::build(connect, Some(local), MAX_IDLE_CONNECTIONS)
    }

    /// Creates a client that opens a connection for each request, so that no answer can be that of an earlier one.
    pub(crate) fn open_without_reuse(connect: Duration) -> Self {
        Self::build(connect, None, 0)
    }

    fn build(connect: Duration, local: Option<IpAddr>, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(local);
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIME)
            .pool_max_idle_per_host(max_idle)
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .build(MapResponse::new(
                connector,
                with_reset as fn(TcpIo) -> TcpIo,
            ));
        Self { client }
    }

    /// Sends `request` and waits up to `wait` for the response headers.
    ///
    /// The verdict is `NotRun` only if no connection could be opened.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Incoming>> {
        let connection = capture_connection(&mut request);
        match tokio::time::timeout(wait, self.client.request(request)).await {
            Ok(Ok(response)) if !is_answer_status(response.status()) => {
                if let Some(connection) = &*connection.connection_metadata() {
                    // What follows the answer on the connection is unknown.
                    connection.poison();
                }
                let status = response.status();
                Err(protocol(format!(
                    "the server sent the invalid status {}",
                    status.as_u16()
                )))
            }
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(Error::unavailable(format!(
                "cannot connect: {}",
                root_cause(&error)
            ))),
            Ok(Err(error)) => Err(Error::unavailable(format!(
                "connection failed: {}",
                root_cause(&error)
            ))
            .with_verdict(RunVerdict::MayHaveRun)),
            Err(_) => Err(timed_out("no answer", wait)),
        }
    }

    /// Sends `request` and waits within `timeouts` for an answer whose body has at most `limit` bytes.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeouts: impl Into<CallTimeouts>,
        limit: usize,
    ) -> Result<HttpAnswer> {
        let timeouts = timeouts.into();
        let deadline = tokio::time::Instant::now() + timeouts.total;
        let (head, body) = self.send(request, timeouts.head).await?.into_parts();
        let body = collect(Limited::new(body, limit), timeouts.idle);
        let body = tokio::time::timeout_at(deadline, body)
            .await
            .map_err(|_| timed_out("no complete answer", timeouts.total))??;
        Ok(HttpAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Collects a body. Fails if no data arrives for `idle`.
async fn collect(mut body: Limited<Incoming>, idle: Duration) -> Result<Bytes> {
    let mut parts: Vec<Bytes> = Vec::new();
    loop {
        let frame = tokio::time::timeout(idle, body.frame())
            .await
            .map_err(|_| timed_out("no more data of the answer", idle))?;
        match frame {
            Some(Ok(frame)) => parts.extend(frame.into_data().ok()),
            Some(Err(error)) => return Err(protocol(format!("cannot read the answer: {error}"))),
            None => return Ok(parts.concat().into()),
        }
    }
}

fn with_reset(io: TcpIo) -> TcpIo {
    reset_on_close(io.inner());
    io
}

/// Makes closing `stream` reset the connection, which discards data that has not been delivered. Otherwise a request
/// that was abandoned while the network was cut would still arrive once the network is back.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!(
            "cannot set linger to zero; the connection will not be reset when it is closed: {error}"
        );
    }
}

/// Builds a request for `server`; `path` starts with `/` and may contain a query.
pub(crate) fn request(
    server: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>> {
    if !path.starts_with('/') {
        return Err(Error::invalid("path does not start with `/`"));
    }
    let uri = Uri::builder()
        .scheme("http")
        .authority(server.to_string())
        .path_and_query(path)
        .build()
        .map_err(|error| Error::invalid(format!("path is malformed: {error}")))?;
    Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::new(body))
        .map_err(|error| Error::invalid(format!("request is malformed: {error}")))
}

/// Builds a request with a JSON body.
pub(crate) fn json_request(
    server: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>> {
    let mut request = request(server, method, path, body.into())?;
    request.headers_mut().insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    Ok(request)
}

/// Decodes the JSON body of a successful answer; other answers become errors.
pub(crate) fn decode<T: DeserializeOwned>(answer: &HttpAnswer) -> Result<T> {
    if !answer.status.is_success() {
        return Err(refusal(answer.status, &answer.body));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|error| protocol(format!("cannot decode the answer: {error}")))
}

/// Converts an answer with a status other than success to an error.
///
/// The verdict is `NotRun` only if the server states it in the body.
pub(crate) fn refusal(status: StatusCode, body: &[u8]) -> Error {
    let category = match status {
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => Category::Invalid,
        StatusCode::NOT_FOUND => Category::NotFound,
        StatusCode::CONFLICT => Category::Conflict,
        StatusCode::TOO_MANY_REQUESTS => Category::Overloaded,
        StatusCode::SERVICE_UNAVAILABLE => Category::Unavailable,
        _ => Category::Protocol,
    };
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(RefusalBody { error }) if error.not_run => Error::new(category, error.message),
        Ok(RefusalBody { error }) => {
            Error::new(category, error.message).with_verdict(RunVerdict::MayHaveRun)
        }
        Err(_) => Error::new(category, format!("server answered {status}"))
            .with_verdict(RunVerdict::MayHaveRun),
    }
}

/// Returns whether the body of an answer states that the request has not run.
pub(crate) fn states_not_run(body: &[u8]) -> bool {
    serde_json::from_slice::<RefusalBody>(body).is_ok_and(|body| body.error.not_run)
}

/// Returns whether a process can be reached at `address`.
pub(crate) fn is_connectable(address: SocketAddr) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}

/// Returns whether `status` may end a request. Interim and undefined statuses must not reach callers.
pub(crate) fn is_answer_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether `status` promises its reader that the request has not run and never will.
pub(crate) fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Creates an error for an answer whose status is a promise that its server does not state to be true.
pub(crate) fn unkept_promise(status: StatusCode) -> Error {
    protocol(format!(
        "the backend server answered {status} without stating that the request has not run"
    ))
}

/// Creates an error for an answer that violates the protocol; the request may have run.
pub(crate) fn protocol(message: impl Into<String>) -> Error {
    Error::new(Category::Protocol, message).with_verdict(RunVerdict::MayHaveRun)
}

/// Creates an error for an exceeded time limit; the request may have run.
pub(crate) fn timed_out(what: &str, wait: Duration) -> Error {
    Error::new(
        Category::Timeout,
        format!("{what} within {} ms", wait.as_millis()),
    )
    .with_verdict(RunVerdict::MayHaveRun)
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Removes the hop-by-hop headers, including those that the `connection` header names.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::HeaderName::from_static("keep-alive"),
    ] {
        headers.remove(name);
    }
}
