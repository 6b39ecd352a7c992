//! Stand-in of a plain service that counts how often each call took effect.
//!
//! A call to any path other than those below takes effect. `POST /control/faults` takes a [`ServiceFault`],
//! `POST /control/delay?ms=` sets the delay of calls, `GET /control/executions` returns the counts and
//! `GET /control/received` the received requests.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use bytes::Bytes;
use foxtailhill::kernel::TaskGroup;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::record::{ReceivedLog, ReceivedRequest};
use crate::serve::{ConnectionCloser, RunningServer, lock, refusal};

/// Options of a [`ServiceStandin`].
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    pub bind: SocketAddr,
    /// Delay of each call before it takes effect.
    pub delay: Duration,
    /// Whether a crash ends the process instead of only this stand-in.
    pub exit_on_crash: bool,
    /// Whether received requests are kept.
    pub keep_received: bool,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            bind: crate::any_port(),
            delay: Duration::ZERO,
            exit_on_crash: false,
            keep_received: true,
        }
    }
}

/// Fault of the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    CrashBeforeEffect,
    CrashAfterEffect,
    LoseAnswer,
    /// The connection closes within the body of the answer.
    Truncate,
    /// Answers 503 and states that the call had no effect.
    Refuse,
    /// The call takes effect, and the answer has this status.
    Fail {
        status: u16,
    },
}

/// Number of times that calls with one idempotency key and body took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    pub idempotency_key: Option<String>,
    pub body: Bytes,
    pub count: u64,
}

/// One call that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    pub idempotency_key: Option<String>,
    pub at: Instant,
}

struct ServiceState {
    options: ServiceOptions,
    delay: Mutex<Duration>,
    faults: Mutex<VecDeque<ServiceFault>>,
    executions: Mutex<Vec<ExecutionCount>>,
    runs: Mutex<Vec<ServiceRun>>,
    received: ReceivedLog,
    group: TaskGroup,
}

/// A running plain service.
pub struct ServiceStandin {
    server: RunningServer,
    state: Arc<ServiceState>,
}

impl ServiceStandin {
    /// Binds the address and starts to serve.
    pub async fn open(options: ServiceOptions) -> std::io::Result<Self> {
        let bind = options.bind;
        let group = TaskGroup::new();
        let state = Arc::new(ServiceState {
            delay: Mutex::new(options.delay),
            faults: Mutex::default(),
            executions: Mutex::default(),
            runs: Mutex::default(),
            received: ReceivedLog::new(options.keep_received),
            group: group.clone(),
            options,
        });
        let router = Router::new()
            .route("/control/faults", post(push_fault))
            .route("/control/delay", post(set_delay))
            .route("/control/executions", get(executions))
            .route("/control/received", get(received))
            .fallback(call)
            .with_state(state.clone());
        let server = RunningServer::open(bind, router, group).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Queues a fault; each call takes the oldest one.
    pub fn push_fault(&self, fault: ServiceFault) {
        lock(&self.state.faults).push_back(fault);
    }

    /// Sets the delay of each call before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        *lock(&self.state.delay) = delay;
    }

    /// Returns how often each call took effect.
    pub fn executions(&self) -> Vec<ExecutionCount> {
        lock(&self.state.executions).clone()
    }

    /// Returns how often calls with an idempotency key took effect, over all bodies.
    pub fn count(&self, idempotency_key: &str) -> u64 {
        let executions = lock(&self.state.executions);
        let matching = executions
            .iter()
            .filter(|execution| execution.idempotency_key.as_deref() == Some(idempotency_key));
        matching.map(|execution| execution.count).sum()
    }

    /// Returns each run with its time, in order of time; empty unless received requests are kept.
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.state.runs).clone()
    }

    /// Returns the received requests, if they are kept.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.all()
    }

    /// Returns whether the stand-in still runs; false after a crash.
    pub fn is_running(&self) -> bool {
        !self.server.group().is_cancelled()
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}

impl ServiceState {
    async fn crash(&self) -> Response {
        if self.options.exit_on_crash {
            std::process::exit(1);
        }
        self.group.cancel();
        std::future::pending().await
    }

    fn execute(&self, idempotency_key: Option<String>, body: Bytes) -> u64 {
        if self.options.keep_received {
            let mut runs = lock(&self.runs);
            runs.push(ServiceRun {
                idempotency_key: idempotency_key.clone(),
                at: Instant::now(),
            });
        }
        let mut executions = lock(&self.executions);
        let known = executions.iter_mut().find(|execution| {
            execution.idempotency_key == idempotency_key && execution.body == body
        });
        if let Some(execution) = known {
            execution.count += 1;
            return execution.count;
        }
        executions.push(ExecutionCount {
            idempotency_key,
            body,
            count: 1,
        });
        1
    }
}

async fn call(
    State(state): State<Arc<ServiceState>>,
    Extension(closer): Extension<ConnectionCloser>,
    request: ReceivedRequest,
) -> Response {
    let key = request.header("idempotency-key").map(str::to_owned);
    let body = request.body.clone();
    state.received.push(request);
    let fault = lock(&state.faults).pop_front();
    let delay = *lock(&state.delay);
    tokio::time::sleep(delay).await;
    match fault {
        Some(ServiceFault::CrashBeforeEffect) => return state.crash().await,
        Some(ServiceFault::Refuse) => {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, "service refuses", true);
        }
        _ => {}
    }
    let count = state.execute(key.clone(), body.clone());
    let answer = json!({"execution": count, "idempotency_key": key, "bytes": body.len()});
    match fault {
        Some(ServiceFault::CrashAfterEffect) => state.crash().await,
        Some(ServiceFault::LoseAnswer) => closer.close_unanswered().await,
        Some(ServiceFault::Truncate) => truncated_answer(),
        Some(ServiceFault::Fail { status }) => failed_answer(status, "service failed"),
        _ => Json(answer).into_response(),
    }
}

/// Answers with `status`, without stating that the call had no effect.
fn failed_answer(status: u16, message: &str) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    refusal(status, message, false)
}

/// Answers with a body that ends with an error.
fn truncated_answer() -> Response {
    let parts = [
        Ok(Bytes::from_static(b"{\"execution\":")),
        Err(std::io::Error::other(
            "answer truncated by an injected fault",
        )),
    ];
    axum::body::Body::from_stream(futures_util::stream::iter(parts)).into_response()
}

#[derive(Deserialize)]
struct DelayQuery {
    ms: u64,
}

async fn push_fault(State(state): State<Arc<ServiceState>>, Json(fault): Json<ServiceFault>) {
    lock(&state.faults).push_back(fault);
}

async fn set_delay(State(state): State<Arc<ServiceState>>, Query(query): Query<DelayQuery>) {
    *lock(&state.delay) = Duration::from_millis(query.ms);
}

async fn executions(State(state): State<Arc<ServiceState>>) -> Json<Vec<ExecutionCount>> {
    Json(lock(&state.executions).clone())
}

async fn received(State(state): State<Arc<ServiceState>>) -> Json<Vec<ReceivedRequest>> {
    Json(state.received.all())
}
