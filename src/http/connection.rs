//! Accepts connections and serves a router on them, with limits on time, header size and number.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::{Instant, Sleep};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use crate::binding::bind_listener;
use crate::error::{Error, Result};
use crate::eviction::WaitKind;
use crate::http::body::no_memory;
use crate::http::connections::ConnectionTable;
use crate::http::state::{CloseCause, ConnectionEnd, ConnectionState, EVICTION_TIME};
use crate::kernel::TaskGroup;
use crate::memory::MemoryAccount;
use crate::metrics::DaemonMetrics;
use crate::settings::LimitSettings;

/// Pause after a failed accept, which mostly means that file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that have been accepted and wait for room.
const MAX_WAITING: usize = 64;
/// Time for which a stopped listener still accepts, because closing it resets the connections in its backlog.
const BACKLOG_TIME: Duration = Duration::from_millis(50);
/// Time that a connection without data has to send its first byte after a stop. Closing it at once would lose a
/// request that is already on the network.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(100);
/// Time after a stop in which requests that have arrived are read. It makes the runtime look for arrived data first: a
/// connection between two requests that is closed at once loses a request that the runtime has not noticed yet.
const ARRIVED_DATA_TIME: Duration = Duration::from_millis(1);
/// Memory for requests at an address without an account of its own, in bytes.
const SIDE_ACCOUNT_BYTES: usize = 2 << 20;
/// Streams that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 1_000;
/// Answer data that one HTTP/2 stream buffers for its caller, in bytes.
const STREAM_BUFFER_BYTES: usize = 64 << 10;
/// Body data that one HTTP/2 stream, and all streams of a connection, may send before it is read, in bytes.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 256 << 10;

/// Settings of an [`HttpListener`].
#[derive(Clone)]
pub(crate) struct ListenerSettings {
    limits: Arc<LimitSettings>,
    metrics: Arc<DaemonMetrics>,
    max_streams: u32,
    account: MemoryAccount,
    refuse: fn(&Error) -> Response,
}

impl ListenerSettings {
    pub(crate) fn new(limits: &LimitSettings, metrics: &Arc<DaemonMetrics>) -> Self {
        Self {
            limits: Arc::new(limits.clone()),
            metrics: metrics.clone(),
            max_streams: MAX_STREAMS,
            account: MemoryAccount::new(SIDE_ACCOUNT_BYTES),
            refuse: |_| StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }

    /// Sets the account that requests take their memory from, and how one is refused that finds none.
    pub(crate) fn with_account(
        mut self,
        account: &MemoryAccount,
        refuse: fn(&Error) -> Response,
    ) -> Self {
        self.account = account.clone();
        self.refuse = refuse;
        self
    }

    /// Sets the number of streams that one HTTP/2 connection may have open.
    pub(crate) fn with_max_streams(mut self, max_streams: u32) -> Self {
        self.max_streams = max_streams;
        self
    }
}

/// A bound listener whose connections are tasks of a group.
pub(crate) struct HttpListener {
    address: SocketAddr,
    stop: CancellationToken,
    /// Each connection holds a receiver, so that `closed` resolves when all have ended.
    open: watch::Sender<()>,
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
    settings: ListenerSettings,
    group: TaskGroup,
    stop: CancellationToken,
    table: Arc<ConnectionTable>,
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
        settings: ListenerSettings,
        router: Router,
    ) -> Result<Self> {
        let failed = |error| Error::unavailable(format!("cannot bind {address}: {error}"));
        let listener = bind_listener(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let stop = CancellationToken::new();
        let (open, receiver) = watch::channel(());
        let acceptor = Acceptor {
            listener,
            router,
            table: ConnectionTable::new(settings.limits.connections, settings.metrics.clone()),
            settings,
            group: group.clone(),
            stop: stop.clone(),
            open: receiver,
        };
        group.spawn_essential("http-acceptor", acceptor.run());
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
        let mut waiting = VecDeque::new();
        if self
            .stop
            .run_until_cancelled(self.accept_all(&mut waiting))
            .await
            .is_none()
        {
            let _ = tokio::time::timeout(BACKLOG_TIME, self.accept_all(&mut waiting)).await;
        }
    }

    /// Accepts connections and serves them as there is room. The newest of those that wait is served first: the others have
    /// waited for longer than callers do, most of whom have left.
    async fn accept_all(&self, waiting: &mut VecDeque<TcpStream>) {
        loop {
            tokio::select! {
                biased;
                slot = self.table.slot(waiting.len()), if !waiting.is_empty() => {
                    if let Some(stream) = waiting.pop_back() {
                        self.spawn(stream, slot);
                    }
                }
                stream = self.accept() => {
                    waiting.push_back(stream);
                    if waiting.len() > MAX_WAITING {
                        waiting.pop_front();
                    }
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream, slot: OwnedSemaphorePermit) {
        let state = ConnectionState::new(self.table.clone(), self.settings.limits.clone());
        let state = Arc::new(state);
        let permit = self.table.insert(state.clone(), slot);
        // Boxed because each enclosing future would hold this one twice: as captured and as awaited.
        let connection = Box::pin(serve(
            stream,
            state,
            self.router.clone(),
            self.settings.clone(),
            self.group.clone(),
            self.stop.clone(),
        ));
        let open = self.open.clone();
        self.group.spawn_cancellable(async move {
            connection.await;
            drop((open, permit));
        });
    }

    async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    // Tokens are small writes, which Nagle's algorithm would delay; a failure is harmless.
                    let _ = stream.set_nodelay(true);
                    return stream;
                }
                Err(error) => {
                    self.settings.metrics.accept_failures.inc();
                    log::debug!("cannot accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    state: Arc<ConnectionState>,
    router: Router,
    settings: ListenerSettings,
    group: TaskGroup,
    stop: CancellationToken,
) {
    let write_time = settings.limits.write_time;
    let io = TokioIo::new(TimedStream::new(stream, write_time, state.clone()));
    let service = service_fn({
        let (state, settings) = (state.clone(), settings.clone());
        move |request| respond(router.clone(), request, state.clone(), settings.clone())
    });
    let builder = builder(
        &settings,
        state.max_streams(&settings.account, settings.max_streams),
        group,
    );
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
    let mut evicted_until = None;
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
            () = state.retired(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = stopped.as_mut(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            kind = state.evicted(), if evicted_until.is_none() => {
                // A caller that does not read would not read a refusal either.
                let is_closed = match kind {
                    WaitKind::Reader => true,
                    WaitKind::FirstRequest | WaitKind::Head => !state.is_running(),
                    WaitKind::Body | WaitKind::NextRequest => false,
                };
                if is_closed {
                    state.end.set(CloseCause::Evicted);
                    return;
                }
                evicted_until = Some(Instant::now() + EVICTION_TIME);
                connection.as_mut().graceful_shutdown();
            }
            () = wait_until(evicted_until) => {
                // A request that arrived while the connection was chosen is answered.
                if state.is_running() {
                    evicted_until = Some(Instant::now() + EVICTION_TIME);
                    continue;
                }
                state.end.set(CloseCause::Evicted);
                return;
            }
            kind = state.expired() => {
                if kind == WaitKind::Reader {
                    state.end.set(CloseCause::WriteTimeout);
                }
                log::debug!("closed a connection that waited for its caller: {}", kind.as_str());
                return;
            }
        }
    }
}

/// Resolves at `until`; never if there is none.
async fn wait_until(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}

async fn respond(
    router: Router,
    mut request: http::Request<Incoming>,
    state: Arc<ConnectionState>,
    settings: ListenerSettings,
) -> std::result::Result<http::Response<Body>, std::convert::Infallible> {
    let guard = state.begin(STREAM_RESET.try_with(CancellationToken::clone).ok());
    if !guard.charge(&settings.account, request.headers()).await {
        drop(request);
        let response = (settings.refuse)(&no_memory());
        return Ok(response.map(|body| guard.into_body(body)));
    }
    let extensions = request.extensions_mut();
    extensions.insert(guard.end());
    extensions.insert(guard.request());
    // Boxed so that a refused request does not cost the memory of one that is served.
    let response = Box::pin(router.oneshot(request.map(Body::new))).await?;
    Ok(response.map(|body| guard.into_body(body)))
}

fn builder(
    settings: &ListenerSettings,
    max_streams: u32,
    group: TaskGroup,
) -> Builder<GroupExecutor> {
    let limits = &settings.limits;
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
        .max_concurrent_streams(max_streams)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(STREAM_BUFFER_BYTES)
        .keep_alive_interval(limits.idle_time)
        .keep_alive_timeout(limits.write_time);
    builder
}

tokio::task_local! {
    /// Resets the HTTP/2 stream whose task this is.
    static STREAM_RESET: CancellationToken;
}

/// Runs the streams of an HTTP/2 connection as tasks of the group.
#[derive(Clone)]
struct GroupExecutor(TaskGroup);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for GroupExecutor {
    fn execute(&self, future: F) {
        let reset = CancellationToken::new();
        let stream = STREAM_RESET.scope(reset.clone(), future);
        // A stream whose task ends before its answer is reset.
        self.0.spawn_cancellable(Box::pin(async move {
            reset.run_until_cancelled_owned(stream).await;
        }));
    }
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
            match self.preface_matched {
                Some(matched) if matched == HTTP2_PREFACE_START.len() => {
                    self.state.set_http2();
                    self.preface_matched = None;
                }
                Some(_) => {}
                None => self.state.set_http1(),
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
            self.state.set_blocked(true);
            return self.poll_write_deadline(cx).map(Err);
        }
        if self.write_deadline.take().is_some() {
            self.state.set_blocked(false);
        }
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
