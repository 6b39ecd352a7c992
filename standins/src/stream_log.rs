//! Stand-in of the platform's append-only log.
//!
//! Streams are named and created on first use. Offsets start at 0 and have no gaps. The wire format is that of
//! [`foxtailhill::journal::HttpJournal`]. `POST /control` takes a [`LogControl`], `GET /control` returns it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use foxtailhill::kernel::TaskGroup;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Notify;

use crate::serve::{ConnectionCloser, RunningServer, lock, refusal};

/// Maximum size of a record.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// An append that the rate limit would delay by more than this is refused.
const MAX_APPEND_WAIT: Duration = Duration::from_secs(2);

/// Options of a [`LogStandin`].
#[derive(Clone, Debug)]
pub struct LogOptions {
    pub bind: SocketAddr,
    /// Maximum rate of appends over all streams; further ones are delayed.
    pub appends_per_s: f64,
    /// Maximum number of records retained in each stream.
    pub max_records: Option<usize>,
    /// Age at which records are removed.
    pub max_age: Option<Duration>,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            bind: crate::any_port(),
            appends_per_s: 400.0,
            max_records: None,
            max_age: None,
        }
    }
}

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutage {
    #[default]
    None,
    /// Every call is refused with 503.
    Refuse,
    /// Every connection is closed without an answer and without an effect.
    Cut,
    /// No call is answered, and none has an effect.
    Hang,
}

/// Faults of a log, which can be changed while it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogControl {
    pub outage: LogOutage,
    /// Additional latency of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of next appends that take effect but are not answered.
    pub lose_answers: u32,
    /// Number of next appends that have no effect and are not answered.
    pub lose_appends: u32,
}

#[derive(Default)]
struct StoredStream {
    first_offset: u64,
    records: VecDeque<(Instant, Bytes)>,
}

impl StoredStream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

struct LogState {
    options: LogOptions,
    control: Mutex<LogControl>,
    streams: Mutex<HashMap<String, StoredStream>>,
    next_append: Mutex<Instant>,
    appended: Notify,
}

/// A running log.
pub struct LogStandin {
    server: RunningServer,
    state: Arc<LogState>,
}

impl LogStandin {
    /// Binds the address and starts to serve.
    pub async fn open(options: LogOptions) -> std::io::Result<Self> {
        let bind = options.bind;
        let state = Arc::new(LogState {
            options,
            control: Mutex::default(),
            streams: Mutex::default(),
            next_append: Mutex::new(Instant::now()),
            appended: Notify::new(),
        });
        let router = Router::new()
            .route("/streams/{name}/records", post(append).get(read))
            .route("/control", get(get_control).post(set_control))
            .layer(axum::extract::DefaultBodyLimit::max(MAX_RECORD_BYTES))
            .with_state(state.clone());
        let server = RunningServer::open(bind, router, TaskGroup::new()).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_control(&self, control: LogControl) {
        self.state.set_control(control);
    }

    /// Returns the offset of the first retained record of a stream and all retained records.
    pub fn records(&self, stream: &str) -> (u64, Vec<Bytes>) {
        let streams = lock(&self.state.streams);
        streams.get(stream).map_or((0, Vec::new()), |stream| {
            let records = stream.records.iter().map(|(_, data)| data.clone());
            (stream.first_offset, records.collect())
        })
    }

    /// Closes all connections and joins all tasks. The records are lost.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}

impl LogState {
    fn set_control(&self, control: LogControl) {
        *lock(&self.control) = control;
        self.appended.notify_waiters();
    }

    /// Reserves a slot under the rate limit. Returns how long to wait for it, or `None` if that exceeds
    /// [`MAX_APPEND_WAIT`].
    fn reserve_append(&self) -> Option<Duration> {
        let now = Instant::now();
        let mut next_append = lock(&self.next_append);
        let turn = (*next_append).max(now);
        let wait = turn - now;
        if wait > MAX_APPEND_WAIT {
            return None;
        }
        *next_append = turn + Duration::from_secs_f64(1.0 / self.options.appends_per_s);
        Some(wait)
    }

    fn append(&self, name: String, data: Bytes) -> u64 {
        let now = Instant::now();
        let mut streams = lock(&self.streams);
        let stream = streams.entry(name).or_default();
        let offset = stream.next_offset();
        stream.records.push_back((now, data));
        self.expire(stream, now);
        drop(streams);
        self.appended.notify_waiters();
        offset
    }

    fn expire(&self, stream: &mut StoredStream, now: Instant) {
        let max_records = self.options.max_records.unwrap_or(usize::MAX);
        while let Some((at, _)) = stream.records.front() {
            let old = self
                .options
                .max_age
                .is_some_and(|age| now.duration_since(*at) > age);
            if !old && stream.records.len() <= max_records {
                return;
            }
            stream.records.pop_front();
            stream.first_offset += 1;
        }
    }

    fn read(&self, name: &str, from: u64, max: usize) -> ReadAnswer {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(name.to_owned()).or_default();
        self.expire(stream, Instant::now());
        let start = from.max(stream.first_offset);
        let skip = usize::try_from(start - stream.first_offset).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip).take(max);
        let records = records.zip(start..).map(|((_, data), offset)| WireRecord {
            offset,
            data: STANDARD.encode(data),
        });
        ReadAnswer {
            records: records.collect(),
            first: stream.first_offset,
            next: stream.next_offset(),
        }
    }

    /// Applies the delay and the outage; returns the answer with which the call must end, if any.
    async fn apply_faults(&self, closer: &ConnectionCloser) -> Option<Response> {
        let (outage, delay) = {
            let control = lock(&self.control);
            (control.outage, Duration::from_millis(control.delay_ms))
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match outage {
            LogOutage::None => None,
            LogOutage::Refuse => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Some(refusal(status, "log is out of service", true))
            }
            LogOutage::Cut => Some(closer.close_unanswered().await),
            LogOutage::Hang => std::future::pending().await,
        }
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Serialize)]
struct WireRecord {
    offset: u64,
    data: String,
}

#[derive(Serialize)]
struct ReadAnswer {
    first: u64,
    next: u64,
    records: Vec<WireRecord>,
}

fn consume_fault(count: &mut u32) -> bool {
    let present = *count > 0;
    *count = count.saturating_sub(1);
    present
}

async fn append(
    State(state): State<Arc<LogState>>,
    Path(name): Path<String>,
    Extension(closer): Extension<ConnectionCloser>,
    data: Bytes,
) -> Response {
    if let Some(answer) = state.apply_faults(&closer).await {
        return answer;
    }
    let Some(wait) = state.reserve_append() else {
        return refusal(
            StatusCode::TOO_MANY_REQUESTS,
            "append rate limit is exceeded",
            true,
        );
    };
    tokio::time::sleep(wait).await;
    if consume_fault(&mut lock(&state.control).lose_appends) {
        return closer.close_unanswered().await;
    }
    let offset = state.append(name, data);
    if consume_fault(&mut lock(&state.control).lose_answers) {
        return closer.close_unanswered().await;
    }
    Json(json!({"offset": offset})).into_response()
}

async fn read(
    State(state): State<Arc<LogState>>,
    Path(name): Path<String>,
    Extension(closer): Extension<ConnectionCloser>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let appended = state.appended.notified();
        tokio::pin!(appended);
        appended.as_mut().enable();
        if let Some(answer) = state.apply_faults(&closer).await {
            return answer;
        }
        let answer = state.read(&name, query.from, query.max);
        if !answer.records.is_empty() {
            return Json(answer).into_response();
        }
        if tokio::time::timeout_at(deadline, appended).await.is_err() {
            return Json(answer).into_response();
        }
    }
}

async fn get_control(State(state): State<Arc<LogState>>) -> Json<LogControl> {
    Json(lock(&state.control).clone())
}

async fn set_control(State(state): State<Arc<LogState>>, Json(control): Json<LogControl>) {
    state.set_control(control);
}
