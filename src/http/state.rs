//! What one connection waits for, and the requests that are open on it.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use axum::body::Body;
use bytes::Bytes;
use http::HeaderMap;
use http_body::Frame;
use slotmap::{SlotMap, new_key_type};
use tokio_util::sync::CancellationToken;

use crate::eviction::{BodyRate, ClientWait, MIN_WAIT, WaitKind};
use crate::http::connections::ConnectionTable;
use crate::memory::{MemoryAccount, MemoryLease, REQUEST_BYTES};
use crate::settings::LimitSettings;

/// Longest time in which an evicted connection may still send a refusal.
pub(super) const EVICTION_TIME: Duration = Duration::from_millis(250);
/// Time in which evicted bodies return their memory.
const RETURN_TIME: Duration = Duration::from_millis(10);
/// Multiple of the write time after which a stream is reset whose caller takes nothing of its answer. What sends the answer
/// gives up after the write time; a connection on which nothing moves is closed after twice the write time.
const UNREAD_FACTOR: f32 = 1.5;
/// Streams of one connection that are reset for that reason. Each may leave data that its caller does not take, until the
/// connection ends.
const MAX_RESET_STREAMS: usize = 4;
/// Requests without memory that one connection may have open. Refusals to a caller that reads them are sent at once.
const MAX_UNPAID_REQUESTS: usize = 32;
/// Bytes that a header costs beside its name and value.
const HEADER_BYTES: usize = 32;

/// Why this daemon closed a connection with a request on it, or reset the request's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseCause {
    /// The caller read nothing of the answer for the write time.
    WriteTimeout,
    /// The caller read nothing of the answer for longer than that, but read other answers on the connection.
    UnreadStream,
    /// The caller was slow, and another one needed its connection.
    Evicted,
    /// The listener's tasks were stopped.
    Shutdown,
}

impl CloseCause {
    /// Returns the name used in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::WriteTimeout => "write_timeout",
            Self::UnreadStream => "unread_stream",
            Self::Evicted => "evicted",
            Self::Shutdown => "shutdown",
        }
    }

    /// Returns the text used in log lines and the history.
    pub(crate) fn message(self) -> &'static str {
        match self {
            Self::WriteTimeout => "the daemon closed the connection: its caller read nothing",
            Self::UnreadStream => "the daemon reset the stream: its caller read nothing",
            Self::Evicted => "the daemon closed the connection: its caller was slow",
            Self::Shutdown => "the daemon closed the connection: it shut down",
        }
    }
}

/// Extension of each request that tells why its connection was closed or its stream reset. The cause is set before the
/// request is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionEnd {
    connection: Arc<OnceLock<CloseCause>>,
    /// Whether the request's stream was reset.
    stream: Arc<OnceLock<()>>,
}

impl ConnectionEnd {
    /// Returns why the daemon closed the connection or reset the stream; `None` if both are open or the caller ended them.
    pub(crate) fn cause(&self) -> Option<CloseCause> {
        let reset = self.stream.get().map(|()| CloseCause::UnreadStream);
        reset.or_else(|| self.connection.get().copied())
    }

    /// Returns the end of another request on the same connection.
    fn for_request(&self) -> Self {
        Self {
            connection: self.connection.clone(),
            stream: Arc::default(),
        }
    }

    pub(super) fn set(&self, cause: CloseCause) {
        // The first cause is the one that closed the connection.
        let _ = self.connection.set(cause);
    }
}

new_key_type! {
    struct RequestKey;
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestStage {
    /// The daemon or a backend server.
    Running,
    /// Its body, of which `received` bytes have arrived.
    Body { since: Instant, received: usize },
    /// That its caller takes the next part of the answer.
    Unread { since: Instant },
}

struct RequestEntry {
    stage: RequestStage,
    /// Resets the stream of the request; `None` for HTTP/1.
    reset: Option<CancellationToken>,
    end: ConnectionEnd,
    /// Memory of the request, its body excepted.
    lease: Option<MemoryLease>,
}

impl RequestEntry {
    fn is_reset(&self) -> bool {
        let reset = self.reset.as_ref();
        reset.is_some_and(CancellationToken::is_cancelled)
    }
}

struct StateInner {
    /// Whether any byte has arrived.
    has_data: bool,
    /// Whether the head of any request has arrived.
    has_served: bool,
    idle_since: Instant,
    /// When the first byte of an incomplete head arrived.
    head_since: Option<Instant>,
    /// Since when no byte of an answer can be sent.
    blocked_since: Option<Instant>,
    /// When the caller last took a part of any answer.
    taken_at: Option<Instant>,
    reset_streams: usize,
    requests: SlotMap<RequestKey, RequestEntry>,
}

/// The state of one connection.
pub(crate) struct ConnectionState {
    table: Arc<ConnectionTable>,
    limits: Arc<LimitSettings>,
    body_rate: BodyRate,
    inner: Mutex<StateInner>,
    is_http2: AtomicBool,
    /// Whether its first bytes have shown that it does not use HTTP/2.
    is_http1: AtomicBool,
    pub(super) end: ConnectionEnd,
    /// For what the connection waited when it was asked to give way.
    evicted_for: OnceLock<WaitKind>,
    evicted: CancellationToken,
    opened: Instant,
    retired: CancellationToken,
}

impl ConnectionState {
    pub(super) fn new(table: Arc<ConnectionTable>, limits: Arc<LimitSettings>) -> Self {
        Self {
            table,
            body_rate: BodyRate::new(limits.body_bytes, limits.body_time),
            limits,
            inner: Mutex::new(StateInner {
                has_data: false,
                has_served: false,
                idle_since: Instant::now(),
                head_since: None,
                blocked_since: None,
                taken_at: None,
                reset_streams: 0,
                requests: SlotMap::with_key(),
            }),
            is_http2: AtomicBool::new(false),
            is_http1: AtomicBool::new(false),
            end: ConnectionEnd::default(),
            evicted_for: OnceLock::new(),
            evicted: CancellationToken::new(),
            opened: Instant::now(),
            retired: CancellationToken::new(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the streams that the connection may have open if it uses HTTP/2, up to `most`.
    pub(super) fn max_streams(&self, account: &MemoryAccount, most: u32) -> u32 {
        self.table.max_streams(account.capacity()).min(most)
    }

    /// Starts a request, whose head is complete. It ends when the guard is dropped. If it has a stream of its own, `reset`
    /// resets that.
    pub(super) fn begin(self: &Arc<Self>, reset: Option<CancellationToken>) -> RequestGuard {
        let end = self.end.for_request();
        let mut inner = self.inner();
        inner.head_since = None;
        inner.has_served = true;
        let key = inner.requests.insert(RequestEntry {
            stage: RequestStage::Running,
            reset,
            end: end.clone(),
            lease: None,
        });
        drop(inner);
        RequestGuard {
            request: OpenRequest {
                state: self.clone(),
                key,
            },
            end,
        }
    }

    /// Returns whether no byte has arrived.
    pub(super) fn is_new(&self) -> bool {
        !self.inner().has_data
    }

    /// Notes that the connection uses HTTP/2, where bytes between requests may not belong to a request.
    pub(super) fn set_http2(&self) {
        self.is_http2.store(true, Ordering::Relaxed);
        self.inner().head_since = None;
    }

    /// Notes that the connection does not use HTTP/2.
    pub(super) fn set_http1(&self) {
        self.is_http1.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection uses HTTP/2, or may yet turn out to.
    pub(super) fn may_use_http2(&self) -> bool {
        !self.is_http1.load(Ordering::Relaxed)
    }

    /// Notes that bytes arrived.
    pub(super) fn received(&self) {
        let mut inner = self.inner();
        inner.has_data = true;
        let between_requests = inner.requests.is_empty() && inner.head_since.is_none();
        if between_requests && !self.is_http2.load(Ordering::Relaxed) {
            inner.head_since = Some(Instant::now());
        }
    }

    /// Notes whether bytes of an answer wait because the caller reads none.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        let mut inner = self.inner();
        match is_blocked {
            true => _ = inner.blocked_since.get_or_insert_with(Instant::now),
            false => inner.blocked_since = None,
        }
    }

    /// Returns what the connection waits for; `None` while it is in use.
    pub(super) fn wait(&self, now: Instant) -> Option<(WaitKind, ClientWait)> {
        let inner = self.inner();
        let limits = &self.limits;
        let wait = |kind, since, limit| Some((kind, ClientWait { since, limit }));
        if let Some(since) = inner.blocked_since {
            return wait(WaitKind::Reader, since, limits.write_time);
        }
        if inner.requests.is_empty() {
            return match (inner.has_served, inner.head_since) {
                (true, None) => wait(WaitKind::NextRequest, inner.idle_since, limits.idle_time),
                (true, Some(since)) => wait(WaitKind::Head, since, limits.header_time),
                (false, _) => wait(WaitKind::FirstRequest, inner.idle_since, limits.header_time),
            };
        }
        let requests = inner.requests.values();
        let requests = requests.filter(|entry| !entry.is_reset());
        let stages = || requests.clone().map(|entry| entry.stage);
        let unread = stages().filter_map(|stage| match stage {
            RequestStage::Unread { since } => Some(since),
            _ => None,
        });
        let unread = unread.min();
        if let Some(since) = unread
            && now.saturating_duration_since(since) >= limits.write_time
        {
            return wait(WaitKind::Reader, since, limits.write_time);
        }
        if stages().any(|stage| self.is_in_use(stage, now)) {
            return None;
        }
        let bodies = stages().filter_map(|stage| match stage {
            RequestStage::Body { since, .. } => Some(since),
            _ => None,
        });
        match (bodies.min(), unread) {
            (Some(since), _) => wait(WaitKind::Body, since, limits.body_time),
            (None, Some(since)) => wait(WaitKind::Reader, since, limits.write_time),
            (None, None) => None,
        }
    }

    /// Returns whether a request on the connection waits for the daemon or a backend server.
    pub(super) fn is_running(&self) -> bool {
        let inner = self.inner();
        let mut entries = inner.requests.values();
        entries.any(|entry| entry.stage == RequestStage::Running)
    }

    /// Returns the number of open requests that hold no memory, as they were refused for lack of it.
    fn unpaid_requests(&self) -> usize {
        let inner = self.inner();
        let entries = inner.requests.values();
        entries.filter(|entry| entry.lease.is_none()).count()
    }

    fn is_in_use(&self, stage: RequestStage, now: Instant) -> bool {
        match stage {
            RequestStage::Running => true,
            RequestStage::Body { since, received } => {
                let time = now.saturating_duration_since(since);
                time < MIN_WAIT || !self.body_rate.is_above(received, time)
            }
            RequestStage::Unread { .. } => false,
        }
    }

    /// Resets streams of which the caller takes nothing while it takes other answers, which go on. A connection on which it
    /// takes nothing at all may have no window left, and is not spared.
    fn reset_unread(&self, now: Instant) {
        let limit = self.limits.write_time.mul_f32(UNREAD_FACTOR);
        let mut inner = self.inner();
        let StateInner {
            requests,
            taken_at,
            reset_streams,
            ..
        } = &mut *inner;
        for entry in requests.values().filter(|entry| !entry.is_reset()) {
            if let (RequestStage::Unread { since }, Some(reset)) = (entry.stage, &entry.reset)
                && now.saturating_duration_since(since) >= limit
                && taken_at.is_some_and(|taken| taken > since)
                && *reset_streams < MAX_RESET_STREAMS
            {
                *reset_streams += 1;
                // Set before the task ends, which logs the cause. Cannot be set already.
                let _ = entry.end.stream.set(());
                reset.cancel();
            }
        }
    }

    /// Resolves when the connection has waited for its caller for too long, and returns for what.
    pub(super) async fn expired(&self) -> WaitKind {
        let limits = &self.limits;
        loop {
            let now = Instant::now();
            self.reset_unread(now);
            if let Some((kind, wait)) = self.wait(now) {
                let has_head = self.inner().head_since.is_some();
                let (since, limit) = match kind {
                    // A caller may open a connection well before it needs it.
                    WaitKind::FirstRequest if !has_head => (wait.since, limits.idle_time),
                    WaitKind::FirstRequest => {
                        let since = self.inner().head_since;
                        (since.unwrap_or(wait.since), limits.header_time)
                    }
                    // The reader of the body has its own time limit.
                    WaitKind::Body => (now, limits.body_time),
                    // What sends an answer gives up its stream after the write time, without effect on other streams.
                    WaitKind::Reader => (wait.since, 2 * wait.limit),
                    _ => (wait.since, wait.limit),
                };
                if now.saturating_duration_since(since) >= limit {
                    return kind;
                }
            }
            tokio::time::sleep(limits.header_time.min(limits.idle_time) / 2).await;
        }
    }

    /// Asks the connection, which waits for its caller, to give way to another one.
    pub(super) fn evict(&self, kind: WaitKind) {
        let _ = self.evicted_for.set(kind);
        self.evicted.cancel();
    }

    /// Returns when the connection was opened.
    pub(super) fn opened(&self) -> Instant {
        self.opened
    }

    /// Asks the connection to close after its current answers.
    pub(super) fn retire(&self) {
        self.retired.cancel();
    }

    pub(super) fn is_retired(&self) -> bool {
        self.retired.is_cancelled()
    }

    /// Resolves when the connection is to close after its current answers.
    pub(super) async fn retired(&self) {
        self.retired.cancelled().await;
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// Resolves when the connection is to give way, and returns for what it waited.
    pub(super) async fn evicted(&self) -> WaitKind {
        self.evicted.cancelled().await;
        let kind = self.evicted_for.get().copied();
        kind.unwrap_or(WaitKind::NextRequest)
    }
}

/// Ends a request when it is dropped.
pub(super) struct RequestGuard {
    request: OpenRequest,
    end: ConnectionEnd,
}

impl RequestGuard {
    /// Returns a handle for the extensions of the request.
    pub(super) fn request(&self) -> OpenRequest {
        self.request.clone()
    }

    /// Returns what tells why the request was ended, for its extensions.
    pub(super) fn end(&self) -> ConnectionEnd {
        self.end.clone()
    }

    /// Takes memory for the request from `account` until its answer has been sent. Slow bodies, and connections that wait for
    /// their callers, give way if there is none.
    ///
    /// Returns `false` if there is none all the same. A connection with too many such requests is closed, as each of them
    /// costs memory until its refusal has been sent.
    pub(super) async fn charge(&self, account: &MemoryAccount, headers: &HeaderMap) -> bool {
        let sizes = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
        let bytes = REQUEST_BYTES + sizes.sum::<usize>();
        let mut lease = account.lease_answer();
        let mut is_charged = lease.resize(bytes);
        if !is_charged && account.evict_for(bytes, Instant::now()) {
            tokio::time::sleep(RETURN_TIME).await;
            is_charged = lease.resize(bytes);
        }
        let state = &self.request.state;
        if is_charged {
            if let Some(entry) = state.inner().requests.get_mut(self.request.key) {
                entry.lease = Some(lease);
            }
            return true;
        }
        state.table.count_refusal();
        state.table.relieve(Instant::now());
        if state.unpaid_requests() > MAX_UNPAID_REQUESTS && !state.is_evicted() {
            state.table.evict(state, WaitKind::Reader);
        }
        false
    }

    /// Ties the request to the body of its answer.
    pub(super) fn into_body(self, body: Body) -> Body {
        let now = Instant::now();
        self.request.set_stage(RequestStage::Unread { since: now });
        Body::new(AnswerBody { body, guard: self })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut inner = self.request.state.inner();
        inner.idle_since = Instant::now();
        let entry = inner.requests.remove(self.request.key);
        drop(inner);
        // The lease locks its account.
        drop(entry);
    }
}

/// Extension of each request by which its edge tells what it waits for.
#[derive(Clone)]
pub(crate) struct OpenRequest {
    state: Arc<ConnectionState>,
    key: RequestKey,
}

impl OpenRequest {
    /// Notes that `received` bytes of a body have arrived since `since`.
    pub(crate) fn note_body(&self, since: Instant, received: usize) {
        self.set_stage(RequestStage::Body { since, received });
    }

    /// Notes that the body is complete.
    pub(crate) fn end_body(&self) {
        self.set_stage(RequestStage::Running);
    }

    /// Makes connections that wait for their callers give way, as there is no memory.
    pub(crate) fn relieve(&self) {
        self.state.table.relieve(Instant::now());
    }

    /// Resolves when the connection is to give way to another one.
    pub(crate) async fn displaced(&self) {
        self.state.evicted().await;
    }

    fn note_taken(&self) {
        self.state.inner().taken_at = Some(Instant::now());
    }

    fn set_stage(&self, stage: RequestStage) {
        if let Some(entry) = self.state.inner().requests.get_mut(self.key) {
            entry.stage = stage;
        }
    }
}

/// The body of an answer, which notes whether its caller takes it.
struct AnswerBody {
    body: Body,
    guard: RequestGuard,
}

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        // The next part is asked for once the caller can take it.
        self.guard.request.note_taken();
        self.guard.request.set_stage(match &polled {
            Poll::Pending => RequestStage::Running,
            Poll::Ready(_) => RequestStage::Unread {
                since: Instant::now(),
            },
        });
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
