//! Accepts connections and serves a router on them, with limits on time, header size and number.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Sleep;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use crate::error::{Error, Result};
use crate::kernel::TaskGroup;
use crate::settings::LimitSettings;

/// Pause after a failed accept, which mostly means that file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a stopped listener still accepts, because closing it resets the connections in its backlog.
const BACKLOG_TIME: Duration = Duration::from_millis(50);
/// Time that a connection without data has to send its first byte after a stop. Closing it at once would lose a
/// request that is already on the network.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(100);
/// Time after a stop in which requests that have arrived are read. It makes the runtime look for arrived data first: a
/// connection between two requests that is closed at once loses a request that the runtime has not noticed yet.
const ARRIVED_DATA_TIME: Duration = Duration::from_millis(1);
/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 1_000;
/// Answer data that one HTTP/2 stream buffers for its caller, in bytes.
const STREAM_BUFFER_BYTES: usize = 64 << 10;
/// Body data that one HTTP/2 stream, and all streams of a connection, may send before it is read, in bytes.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 256 << 10;

/// A bound listener whose connections are tasks of a group.
pub(crate) struct HttpListener {
    address: SocketAddr,
    stop: CancellationToken,
    /// Each connection holds a receiver, so that `closed` resolves when all have ended.
    open: watch::Sender<()>,
}

/// Why this daemon closed a connection with a request on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseCause {
    /// The caller read nothing of the answer for the write time.
    WriteTimeout,
    /// The listener's tasks were stopped.
    Shutdown,
}

impl CloseCause {
    /// Returns the name used in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::WriteTimeout => "write_timeout",
            Self::Shutdown => "shutdown",
        }
    }

    /// Returns the text used in log lines and the history.
    pub(crate) fn message(self) -> &'static str {
        match self {
            Self::WriteTimeout => "the daemon closed the connection: its caller read nothing",
            Self::Shutdown => "the daemon closed the connection: it shut down",
        }
    }
}

/// Extension of each request that tells why its connection was closed. The cause is set before the request is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionEnd(Arc<OnceLock<CloseCause>>);

impl ConnectionEnd {
    /// Returns why the daemon closed the connection; `None` if it is open or its caller closed it.
    pub(crate) fn cause(&self) -> Option<CloseCause> {
        self.0.get().copied()
    }

    fn set(&self, cause: CloseCause) {
        // The first cause is the one that closed the connection.
        let _ = self.0.set(cause);
    }
}

/// Sets the cause of a connection whose task is dropped before the connection has ended.
struct EndGuard<'a> {
    end: &'a ConnectionEnd,
    ended: bool,
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end.set(CloseCause::Shutdown);
        }
    }
}

struct Acceptor {
    listener: TcpListener,
    router: Router,
    limits: Arc<LimitSettings>,
    group: TaskGroup,
    stop: CancellationToken,
    slots: Arc<Semaphore>,
    /// Shared with the accepting task so that the listener counts as open until it is closed.
    open: watch::Receiver<()>,
}

impl HttpListener {
    /// Binds `address` and serves `router` on it.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the address cannot be bound.
    pub(crate) async fn bind(
        group: &TaskGroup,
        address: SocketAddr,
        limits: &LimitSettings,
        router: Router,
    ) -> Result<Self> {
        let failed = |error| Error::unavailable(format!("cannot bind {address}: {error}"));
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let stop = CancellationToken::new();
        let (open, receiver) = watch::channel(());
        let acceptor = Acceptor {
            listener,
            router,
            limits: Arc::new(limits.clone()),
            group: group.clone(),
            stop: stop.clone(),
            slots: Arc::new(Semaphore::new(limits.connections)),
            open: receiver,
        };
        group.spawn_cancellable(acceptor.run());
        Ok(Self {
            address,
            stop,
            open,
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, shuts connections down gracefully and waits until all have ended.
    pub(crate) async fn drain(&self) {
        self.stop.cancel();
        self.open.closed().await;
    }
}

impl Acceptor {
    async fn run(self) {
        if self
            .stop
            .run_until_cancelled(self.accept_all())
            .await
            .is_none()
        {
            let _ = tokio::time::timeout(BACKLOG_TIME, self.accept_all()).await;
        }
    }

    async fn accept_all(&self) {
        loop {
            let (stream, slot) = self.accept().await;
            // Boxed because each enclosing future would hold this one twice: as captured and as awaited.
            let connection = Box::pin(serve(
                stream,
                self.router.clone(),
                self.limits.clone(),
                self.group.clone(),
                self.stop.clone(),
            ));
            let open = self.open.clone();
            self.group.spawn_cancellable(async move {
                connection.await;
                drop((open, slot));
            });
        }
    }

    async fn accept(&self) -> (TcpStream, OwnedSemaphorePermit) {
        loop {
            let Ok(slot) = self.slots.clone().acquire_owned().await else {
                return std::future::pending().await;
            };
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    // Tokens are small writes, which Nagle's algorithm would delay; a failure is harmless.
                    let _ = stream.set_nodelay(true);
                    return (stream, slot);
                }
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    router: Router,
    limits: Arc<LimitSettings>,
    group: TaskGroup,
    stop: CancellationToken,
) {
    let state = Arc::new(ConnectionState::new());
    let io = TokioIo::new(TimedStream::new(stream, limits.write_time, state.clone()));
    let service = service_fn({
        let state = state.clone();
        move |request| respond(router.clone(), request, state.clone())
    });
    let builder = builder(&limits, group);
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let mut stopped = std::pin::pin!(async {
        stop.cancelled().await;
        let wait = match state.is_new() {
            true => FIRST_BYTE_TIME,
            false => ARRIVED_DATA_TIME,
        };
        tokio::time::sleep(wait).await;
    });
    // Declared after the connection, so that it is dropped before the requests on it.
    let mut guard = EndGuard {
        end: &state.end,
        ended: false,
    };
    let mut closing = false;
    loop {
        tokio::select! {
            // A request that has arrived is read before the connection may be closed.
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("connection ended: {error}");
                }
                guard.ended = true;
                return;
            }
            () = stopped.as_mut(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = state.expired(&limits) => {
                if state.is_head_incomplete() {
                    log::info!("closed a connection whose request head did not arrive in time");
                }
                return;
            }
        }
    }
}

async fn respond(
    router: Router,
    mut request: http::Request<Incoming>,
    state: Arc<ConnectionState>,
) -> std::result::Result<http::Response<Body>, std::convert::Infallible> {
    let active = state.begin();
    request.extensions_mut().insert(state.end.clone());
    let response = router.oneshot(request.map(Body::new)).await?;
    // The mapping keeps the request active until the body has been sent or dropped.
    Ok(response.map(|body| {
        Body::new(body.map_frame(move |frame| {
            let _ = &active;
            frame
        }))
    }))
}

fn builder(limits: &LimitSettings, group: TaskGroup) -> Builder<GroupExecutor> {
    let mut builder = Builder::new(GroupExecutor(group));
    // hyper's header timeout also closes idle connections, so `ConnectionState` replaces it.
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(STREAM_BUFFER_BYTES)
        .keep_alive_interval(limits.idle_time)
        .keep_alive_timeout(limits.write_time);
    builder
}

/// Runs the streams of an HTTP/2 connection as tasks of the group.
#[derive(Clone)]
struct GroupExecutor(TaskGroup);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for GroupExecutor {
    fn execute(&self, future: F) {
        self.0.spawn_cancellable(Box::pin(future));
    }
}

/// Distinguishes idle connections from those with slow headers. Times are milliseconds since `started`; 0 means none.
struct ConnectionState {
    started: Instant,
    active_requests: AtomicUsize,
    idle_since: AtomicU64,
    head_since: AtomicU64,
    http2: AtomicBool,
    new: AtomicBool,
    end: ConnectionEnd,
}

/// Marks a request as active until it is dropped.
struct ActiveRequest(Arc<ConnectionState>);

impl ConnectionState {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            active_requests: AtomicUsize::new(0),
            idle_since: AtomicU64::new(1),
            head_since: AtomicU64::new(0),
            http2: AtomicBool::new(false),
            new: AtomicBool::new(true),
            end: ConnectionEnd::default(),
        }
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn begin(self: &Arc<Self>) -> ActiveRequest {
        self.active_requests.fetch_add(1, Ordering::SeqCst);
        self.head_since.store(0, Ordering::SeqCst);
        ActiveRequest(self.clone())
    }

    /// Returns whether no byte has arrived.
    fn is_new(&self) -> bool {
        self.new.load(Ordering::SeqCst)
    }

    /// Returns whether a part of a request head has arrived.
    fn is_head_incomplete(&self) -> bool {
        self.head_since.load(Ordering::SeqCst) != 0
    }

    /// Records that bytes arrived. On HTTP/2, bytes between requests may not belong to a request.
    fn received(&self) {
        self.new.store(false, Ordering::SeqCst);
        let between_requests = self.active_requests.load(Ordering::SeqCst) == 0;
        if between_requests && !self.http2.load(Ordering::SeqCst) {
            let now = self.now();
            let _ = self
                .head_since
                .compare_exchange(0, now, Ordering::SeqCst, Ordering::SeqCst);
        }
    }

    /// Resolves when headers take longer than `header_time` or the connection is idle for `idle_time`.
    async fn expired(&self, limits: &LimitSettings) {
        loop {
            let (idle, header) = (millis(limits.idle_time), millis(limits.header_time));
            if self.active_requests.load(Ordering::SeqCst) == 0 {
                let now = self.now();
                let head_since = self.head_since.load(Ordering::SeqCst);
                let idle_since = self.idle_since.load(Ordering::SeqCst);
                let end = match head_since {
                    0 => idle_since + idle,
                    _ => head_since + header,
                };
                if now >= end {
                    return;
                }
            }
            let check = limits.header_time.min(limits.idle_time) / 2;
            tokio::time::sleep(check).await;
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let now = self.0.now();
        self.0.idle_since.store(now, Ordering::SeqCst);
        self.0.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX / 2)
}

/// A TCP stream whose writes fail when the caller reads nothing for `write_time`.
struct TimedStream {
    stream: TcpStream,
    write_time: Duration,
    write_deadline: Option<Pin<Box<Sleep>>>,
    state: Arc<ConnectionState>,
    /// Number of bytes that matched the start of the HTTP/2 preface, or `None` once that is decided.
    preface_matched: Option<usize>,
}

/// No HTTP/1.1 method starts with these bytes.
const HTTP2_PREFACE_START: &[u8] = b"PRI";

impl TimedStream {
    fn new(stream: TcpStream, write_time: Duration, state: Arc<ConnectionState>) -> Self {
        Self {
            stream,
            write_time,
            write_deadline: None,
            state,
            preface_matched: Some(0),
        }
    }

    fn inspect(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let Some(matched) = self.preface_matched else {
                break;
            };
            self.preface_matched =
                (HTTP2_PREFACE_START.get(matched) == Some(byte)).then_some(matched + 1);
            if self.preface_matched == Some(HTTP2_PREFACE_START.len()) {
                self.state.http2.store(true, Ordering::SeqCst);
                self.state.head_since.store(0, Ordering::SeqCst);
                self.preface_matched = None;
            }
        }
        self.state.received();
    }

    fn poll_write_deadline(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let write_time = self.write_time;
        let write_deadline = self
            .write_deadline
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(write_time)));
        ready!(write_deadline.as_mut().poll(cx));
        self.state.end.set(CloseCause::WriteTimeout);
        Poll::Ready(io::Error::new(
            io::ErrorKind::TimedOut,
            format!("the caller read nothing of the answer for {write_time:?}"),
        ))
    }

    fn with_write_deadline<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_pending() {
            return self.poll_write_deadline(cx).map(Err);
        }
        self.write_deadline = None;
        result
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.inspect(&buffer.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, data);
        self.with_write_deadline(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.with_write_deadline(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
