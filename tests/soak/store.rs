//! A stand-in of the platform's store, which keeps the newest record of each key and may refuse calls for a while.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use foxtailhill::kernel::TaskGroup;
use serde_json::json;
use tokio::sync::Notify;

/// Most records of a page of newest records.
const PAGE_RECORDS: usize = 500;
/// Most bytes of the values of a page of newest records, in base64, unless its first record is larger.
const PAGE_BYTES: usize = 1 << 20;

/// One topic: its records, and the newest offset of each key.
#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, usize>,
}

#[derive(Default)]
struct StoreState {
    topics: Mutex<HashMap<String, Topic>>,
    written: Notify,
    is_refusing: AtomicBool,
    /// Number of reads of pages of newest records.
    page_reads: AtomicUsize,
}

/// A running store.
#[derive(Clone)]
pub struct SoakStore {
    pub address: SocketAddr,
    state: Arc<StoreState>,
}

type Parameters = Query<HashMap<String, String>>;

impl SoakStore {
    /// Binds a port and serves the store in `group`.
    pub async fn bind(group: &TaskGroup) -> eyre::Result<Self> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::<StoreState>::default();
        let router = Router::new()
            .route("/api/log-newest", get(read_newest))
            .route("/api/log-read", get(read_records))
            .route("/api/log-append", post(append))
            .with_state(state.clone());
        group.spawn_cancellable(async move {
            // Ends with the group.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, state })
    }

    /// Writes the newest record of `key`; an empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        self.state
            .append(topic, None, vec![(key.to_owned(), value.to_vec())]);
    }

    /// Returns how many pages of newest records were asked for, of all topics.
    pub fn page_reads(&self) -> usize {
        self.state.page_reads.load(Ordering::SeqCst)
    }

    /// Sets whether all calls are refused.
    pub fn refuse(&self, is_refusing: bool) {
        self.state.is_refusing.store(is_refusing, Ordering::SeqCst);
    }
}

impl StoreState {
    fn topics(&self) -> MutexGuard<'_, HashMap<String, Topic>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends records if the topic ends at `at`. Returns the end, and whether they were written.
    fn append(
        &self,
        topic: &str,
        at: Option<usize>,
        records: Vec<(String, Vec<u8>)>,
    ) -> (usize, bool) {
        let mut topics = self.topics();
        let topic = topics.entry(topic.to_owned()).or_default();
        if at.is_some_and(|at| at != topic.records.len()) {
            return (topic.records.len(), false);
        }
        for (key, value) in records {
            topic.newest.insert(key.clone(), topic.records.len());
            topic.records.push((key, value));
        }
        let end = topic.records.len();
        drop(topics);
        self.written.notify_waiters();
        (end, true)
    }

    fn refusal(&self) -> Option<Response> {
        let is_refusing = self.is_refusing.load(Ordering::SeqCst);
        is_refusing.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
    }

    /// Returns the records from `from` on in the format of a read, if there are any.
    fn encode_from(&self, topic: &str, from: usize) -> (Vec<u8>, bool) {
        let mut topics = self.topics();
        let records = &topics.entry(topic.to_owned()).or_default().records;
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        let new = records.get(from..).unwrap_or_default();
        for (key, value) in new {
            let length = (1 + key.len() + value.len()) as u32;
            body.extend_from_slice(&length.to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (body, !new.is_empty())
    }
}

async fn read_newest(State(state): State<Arc<StoreState>>, Query(query): Parameters) -> Response {
    state.page_reads.fetch_add(1, Ordering::SeqCst);
    if let Some(refusal) = state.refusal() {
        return refusal;
    }
    let after = query.get("after").cloned().unwrap_or_default();
    let mut topics = state.topics();
    let topic = topics.entry(query["topic"].clone()).or_default();
    let following = topic.newest.iter().filter(|(key, _)| **key > after);
    let mut items = Vec::new();
    let (mut size, mut has_more) = (0, false);
    for (key, offset) in following {
        let value = &topic.records[*offset].1;
        if value.is_empty() {
            continue;
        }
        let value = STANDARD.encode(value);
        has_more =
            items.len() == PAGE_RECORDS || (!items.is_empty() && size + value.len() > PAGE_BYTES);
        if has_more {
            break;
        }
        size += value.len();
        items.push(json!({"key": key, "value": value, "offset": offset}));
    }
    let page = json!({"items": items, "has-more": has_more, "end": topic.records.len()});
    page.to_string().into_response()
}

async fn read_records(State(state): State<Arc<StoreState>>, Query(query): Parameters) -> Response {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
    let from: u64 = number("from").unwrap_or(0);
    let end = tokio::time::Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
    loop {
        if let Some(refusal) = state.refusal() {
            return refusal;
        }
        let written = state.written.notified();
        let (body, is_new) = state.encode_from(&query["topic"], from as usize);
        if is_new || tokio::time::timeout_at(end, written).await.is_err() {
            return body.into_response();
        }
    }
}

async fn append(
    State(state): State<Arc<StoreState>>,
    Query(query): Parameters,
    mut body: Bytes,
) -> Response {
    if let Some(refusal) = state.refusal() {
        return refusal;
    }
    let mut records = Vec::new();
    while body.len() > 4 {
        let length = body.split_to(4);
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let mut record = body.split_to(length);
        let key_length = usize::from(record.split_to(1)[0]);
        let key = String::from_utf8_lossy(&record.split_to(key_length)).into_owned();
        records.push((key, record.to_vec()));
    }
    let at = query.get("at").and_then(|at| at.parse().ok());
    let (end, is_written) = state.append(&query["topic"], at, records);
    let status = match is_written {
        true => StatusCode::OK,
        false => StatusCode::PRECONDITION_FAILED,
    };
    (status, json!({"offset": end, "end": end}).to_string()).into_response()
}
