//! Reads request bodies within the limits on size, time and memory, for both edges.

use std::time::{Duration, Instant};

use axum::body::Body;
use bytes::Bytes;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, EXPECT};
use http_body::Body as _;
use http_body_util::BodyExt;

use crate::error::{Category, Error};
use crate::http::state::OpenRequest;
use crate::memory::{MemoryAccount, MemoryLease, REQUEST_BYTES, SMALL_BYTES};
use crate::metrics::DaemonMetrics;
use crate::settings::LimitSettings;

/// The rest of a refused body is read up to these limits. Closing a socket with unread data resets it, and the
/// caller might not receive the refusal.
const MAX_DISCARD_BYTES: usize = 4 << 20;
const DISCARD_TIME: Duration = Duration::from_millis(500);
/// Size of the buffer for a chunked body at first; it doubles as the body grows.
const FIRST_BUFFER_BYTES: usize = 4 << 10;
/// Read buffer of the connection, which stays allocated while a large body arrives.
const CONNECTION_BUFFER_BYTES: usize = 16 << 10;
/// Time in which the readers of evicted bodies drop them.
const EVICTION_TIME: Duration = Duration::from_millis(10);
/// Time between two notes that a body makes progress, which lock the account.
const PROGRESS_PERIOD: Duration = Duration::from_millis(100);
/// `Retry-After` of refusals for memory. Stalled bodies are given up within seconds.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request body was not received.
#[derive(Debug)]
pub(crate) enum BodyFault {
    /// It is, or says that it is, longer than the limit.
    TooLarge,
    /// The account has no room for it, or it was evicted.
    NoMemory,
    /// It was not complete in time.
    TooSlow,
    /// No byte of it arrived for the longest pause.
    Stalled,
    /// It arrived slowly, and another caller needed its connection.
    Displaced,
    Unreadable(String),
}

/// By what bodies are read.
pub(crate) struct BodyReader<'a> {
    pub(crate) limits: &'a LimitSettings,
    pub(crate) account: &'a MemoryAccount,
    pub(crate) metrics: &'a DaemonMetrics,
    /// The request that the body belongs to.
    pub(crate) request: &'a OpenRequest,
}

impl BodyFault {
    /// Names of all kinds in metrics.
    pub(crate) const NAMES: [&'static str; 6] = [
        "too_large",
        "no_memory",
        "too_slow",
        "stalled",
        "displaced",
        "unreadable",
    ];

    /// Returns the name used in metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoMemory => "no_memory",
            Self::TooSlow => "too_slow",
            Self::Stalled => "stalled",
            Self::Displaced => "displaced",
            Self::Unreadable(_) => "unreadable",
        }
    }
}

/// Returns the error of a request whose slow body gave way to another caller.
pub(crate) fn displaced() -> Error {
    let message = "the request body arrived slowly, and its connection was needed";
    Error::new(Category::Overloaded, message).with_retry_after(MEMORY_RETRY_AFTER)
}

/// Returns the error of a request whose body the daemon has no memory for.
pub(crate) fn no_memory() -> Error {
    let message = "there is no memory for the request body";
    Error::new(Category::Overloaded, message).with_retry_after(MEMORY_RETRY_AFTER)
}

/// Reads a complete body. Its memory is returned with the last copy of the result. A body that cannot be held is refused
/// before it is read.
pub(crate) async fn read_body(
    headers: &HeaderMap,
    mut body: Body,
    reader: &BodyReader<'_>,
) -> Result<Bytes, BodyFault> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    let result = match length {
        Some(length) if length > reader.limits.body_bytes => Err(BodyFault::TooLarge),
        length => {
            let read = collect(&mut body, length, reader);
            let read = tokio::time::timeout(reader.limits.body_time, read).await;
            read.unwrap_or(Err(BodyFault::TooSlow))
        }
    };
    if let Err(fault) = &result {
        reader.count(fault);
    }
    reader.show_used();
    let has_rest = matches!(result, Err(BodyFault::TooLarge | BodyFault::NoMemory));
    if has_rest {
        reader.discard(headers, body).await;
    }
    result
}

impl BodyReader<'_> {
    fn count(&self, fault: &BodyFault) {
        if matches!(fault, BodyFault::NoMemory) {
            self.metrics.memory_refusals.inc();
        }
        self.metrics
            .count(&self.metrics.body_faults, fault.as_str());
    }

    /// Reads the rest of the body of a refused request for a while. A caller that waits for `100 Continue` sends none.
    pub(crate) async fn discard(&self, headers: &HeaderMap, mut body: Body) {
        if body.is_end_stream() || headers.contains_key(EXPECT) {
            return;
        }
        let discarded = tokio::time::timeout(DISCARD_TIME, discard(&mut body));
        tokio::select! {
            // The rest may be longer than the time or the limit allows; the refusal is sent all the same.
            _ = discarded => {}
            () = self.request.displaced() => {}
        }
    }

    fn show_used(&self) {
        let used = i64::try_from(self.account.used()).unwrap_or(i64::MAX);
        self.metrics.held_bytes.set(used);
    }

    /// Takes memory for a body whose buffer has `capacity` bytes, evicting stalled bodies if there is none.
    async fn lease(&self, capacity: usize) -> Result<MemoryLease, BodyFault> {
        let bytes = leased_bytes(capacity);
        let mut lease = self.account.lease_body(bytes, Instant::now());
        if lease.is_none() && self.account.evict_for(bytes, Instant::now()) {
            tokio::time::sleep(EVICTION_TIME).await;
            lease = self.account.lease_body(bytes, Instant::now());
        }
        self.show_used();
        if lease.is_none() {
            self.request.relieve();
        }
        let lease = lease.ok_or(BodyFault::NoMemory)?;
        lease.note_request(REQUEST_BYTES);
        Ok(lease)
    }

    async fn grow(&self, lease: &mut MemoryLease, capacity: usize) -> Result<(), BodyFault> {
        let bytes = leased_bytes(capacity);
        let more = bytes - lease.bytes();
        let mut has_room = lease.resize(bytes);
        if !has_room && self.account.evict_for(more, Instant::now()) {
            tokio::time::sleep(EVICTION_TIME).await;
            has_room = lease.resize(bytes);
        }
        self.show_used();
        if !has_room {
            self.request.relieve();
        }
        has_room.then_some(()).ok_or(BodyFault::NoMemory)
    }
}

fn leased_bytes(capacity: usize) -> usize {
    match capacity {
        0..=SMALL_BYTES => capacity,
        _ => capacity + CONNECTION_BUFFER_BYTES,
    }
}

/// Copies a body into one buffer, so that small chunks cost their bytes only: each of them would keep the buffer that the
/// connection read it into.
async fn collect(
    body: &mut Body,
    length: Option<usize>,
    reader: &BodyReader<'_>,
) -> Result<Bytes, BodyFault> {
    let limits = reader.limits;
    let capacity = length.unwrap_or(FIRST_BUFFER_BYTES.min(limits.body_bytes));
    let mut lease = reader.lease(capacity).await?;
    let mut whole: Vec<u8> = Vec::with_capacity(capacity);
    let mut evicted = std::pin::pin!(lease.evicted());
    let mut displaced = std::pin::pin!(reader.request.displaced());
    let started = Instant::now();
    reader.request.note_body(started, 0);
    let mut noted = started;
    loop {
        let frame = tokio::time::timeout(limits.body_pause, body.frame());
        let frame = tokio::select! {
            biased;
            frame = frame => frame.map_err(|_| BodyFault::Stalled)?,
            () = evicted.as_mut() => return Err(BodyFault::NoMemory),
            () = displaced.as_mut() => return Err(BodyFault::Displaced),
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| BodyFault::Unreadable(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let needed = whole.len() + data.len();
        if needed > limits.body_bytes {
            return Err(BodyFault::TooLarge);
        }
        if needed > whole.capacity() {
            let capacity = needed.max(whole.capacity() * 2).min(limits.body_bytes);
            reader.grow(&mut lease, capacity).await?;
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&data);
        if noted.elapsed() >= PROGRESS_PERIOD {
            noted = Instant::now();
            lease.note_received(whole.len(), noted);
            reader.request.note_body(started, whole.len());
        }
    }
    reader.request.end_body();
    whole.shrink_to_fit();
    lease.complete();
    lease.resize(whole.len());
    Ok(lease.hold(whole.into()))
}

async fn discard(body: &mut Body) {
    let mut left = MAX_DISCARD_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(size) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}
