//! HTTP server for liveness, readiness, metrics, the state dump and recent requests, and the client of
//! `foxtailhill dump`.
//!
//! No answer contains a key: members of the dump whose names suggest a secret are redacted here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::error::{Category, Error, Result};
use crate::history::RequestHistory;
use crate::http::connection::{HttpListener, ListenerSettings};
use crate::http::input::is_key_like;
use crate::kernel::TaskGroup;
use crate::metrics::DaemonMetrics;
use crate::settings::LimitSettings;

const DEFAULT_RECENT: usize = 100;
const MAX_RECENT: usize = 1_000;
const DUMP_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_DUMP_BYTES: usize = 64 << 20;
const REDACTED: &str = "[removed]";

/// Readiness and state of a daemon.
pub trait StateDump: Send + Sync + 'static {
    /// Returns `Ok` if the load balancer may send requests to this daemon, else the reason why not.
    fn ready(&self) -> Result<()>;

    /// Returns the state as JSON.
    fn dump(&self) -> Value;
}

/// Sources of the data that an [`AdminServer`] serves.
#[derive(Clone)]
pub struct AdminSources {
    pub state: Arc<dyn StateDump>,
    pub metrics: Arc<DaemonMetrics>,
    pub history: Arc<RequestHistory>,
}

/// The running admin server.
pub struct AdminServer {
    listener: HttpListener,
}

impl AdminServer {
    /// Binds `address` and serves `sources`; connections are tasks of `group`.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the address cannot be bound.
    pub async fn bind(
        group: &TaskGroup,
        address: SocketAddr,
        limits: &LimitSettings,
        sources: AdminSources,
    ) -> Result<Self> {
        let listener = ListenerSettings::new(limits, &sources.metrics);
        let router = Router::new()
            .route("/livez", get(|| async { "live\n" }))
            .route("/readyz", get(ready))
            .route("/metrics", get(show_metrics))
            .route("/dump", get(dump_state))
            .route("/requests", get(recent))
            .route("/requests/{id}", get(request))
            .with_state(sources);
        let listener = HttpListener::bind(group, address, listener, router).await?;
        Ok(Self { listener })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops accepting and waits until all connections have ended.
    pub async fn drain(&self) {
        self.listener.drain().await;
    }
}

#[derive(Deserialize)]
struct RecentQuery {
    max: Option<usize>,
}

async fn ready(State(sources): State<AdminSources>) -> Response {
    match sources.state.ready() {
        Ok(()) => "ready\n".into_response(),
        Err(error) => {
            let text = format!("not ready: {}\n", error.message());
            (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
        }
    }
}

async fn show_metrics(State(sources): State<AdminSources>) -> Response {
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    ([(CONTENT_TYPE, kind)], sources.metrics.encode()).into_response()
}

async fn dump_state(State(sources): State<AdminSources>) -> Response {
    let mut state = sources.state.dump();
    redact_secrets(&mut state);
    axum::Json(state).into_response()
}

async fn recent(State(sources): State<AdminSources>, Query(query): Query<RecentQuery>) -> Response {
    let max = query.max.unwrap_or(DEFAULT_RECENT).min(MAX_RECENT);
    axum::Json(sources.history.recent(max)).into_response()
}

async fn request(State(sources): State<AdminSources>, Path(id): Path<String>) -> Response {
    match sources.history.find(&id) {
        Some(record) => axum::Json(record).into_response(),
        None => {
            let text = "no such request among the recent ones\n";
            (StatusCode::NOT_FOUND, text).into_response()
        }
    }
}

/// Redacts string members whose names suggest a secret. Digests are kept.
fn redact_secrets(value: &mut Value) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                if member.is_string() && (is_key_like(name) || is_secret_name(name)) {
                    *member = REDACTED.into();
                } else {
                    redact_secrets(member);
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(redact_secrets),
        _ => {}
    }
}

fn is_secret_name(name: &str) -> bool {
    matches!(
        name.to_ascii_lowercase().as_str(),
        "authorization" | "secret" | "password" | "token"
    )
}

/// Reads the state dump of the daemon whose admin address is `address`.
///
/// # Errors
///
/// `Unavailable` if the daemon cannot be reached, `Timeout` if it does not answer within 10 s, `Protocol` if it
/// answers with another status than 200.
pub async fn dump(address: SocketAddr) -> Result<String> {
    match tokio::time::timeout(DUMP_TIMEOUT, fetch_dump(address)).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(
            Category::Timeout,
            format!("no answer from {address}"),
        )),
    }
}

async fn fetch_dump(address: SocketAddr) -> Result<String> {
    let failed = |error: &dyn std::fmt::Display| {
        Error::unavailable(format!(
            "cannot read the state dump from {address}: {error}"
        ))
    };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| failed(&error))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(&error))?;
    let request = Request::get("/dump")
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| Error::internal(error.to_string()))?;
    let exchange = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| failed(&error))?;
        if response.status() != StatusCode::OK {
            let message = format!("{address} answered {}", response.status());
            return Err(Error::new(Category::Protocol, message));
        }
        let body = Limited::new(response.into_body(), MAX_DUMP_BYTES);
        let body = body.collect().await.map_err(|error| failed(&error))?;
        String::from_utf8(body.to_bytes().into())
            .map_err(|_| Error::new(Category::Protocol, "dump is not valid UTF-8"))
    };
    let mut connection = std::pin::pin!(connection);
    let mut exchange = std::pin::pin!(exchange);
    let mut open = true;
    loop {
        tokio::select! {
            result = exchange.as_mut() => return result,
            _ = connection.as_mut(), if open => open = false,
        }
    }
}
