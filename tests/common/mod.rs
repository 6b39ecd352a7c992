//! Clusters, keys and streams for tests with separate processes.

#![allow(dead_code, reason = "each test file uses a part")]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, bail, ensure};
use foxtailhill::engine::ResidentItem;
use foxtailhill::ids::KeyDigest;
use foxtailhill_standins::caller::CallerAnswer;
use foxtailhill_standins::client::JsonClient;
use foxtailhill_standins::cluster::{
    ClusterOptions, DaemonSpec, EngineSpec, ServiceSpec, TestCluster,
};
use foxtailhill_standins::{EngineOptions, ServiceOptions};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};

/// Zone of the backend servers. No daemon runs there, so cutting a daemon's zone leaves them reachable.
pub const SERVER_ZONE: &str = "hall";
/// Maximum wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const MODEL_BYTES: u64 = 1_000_000_000;
const POLL: Duration = Duration::from_millis(20);

/// Returns the seed of a test and prints it; `FOXTAILHILL_SEED` replaces the default.
pub fn seed(default: u64) -> u64 {
    let given = std::env::var("FOXTAILHILL_SEED").ok();
    let seed = given.and_then(|text| text.parse().ok()).unwrap_or(default);
    println!("seed {seed}");
    seed
}

/// Returns options of a cluster with one daemon in each zone, one engine and two plain services.
pub fn options(zones: &[&str]) -> ClusterOptions {
    let daemons = zones.iter();
    ClusterOptions {
        program: env!("CARGO_BIN_EXE_foxtailhill").into(),
        daemons: daemons
            .map(|zone| DaemonSpec::new(format!("entry-{zone}"), *zone))
            .collect(),
        engines: vec![EngineSpec {
            name: "engine-1".into(),
            zone: SERVER_ZONE.into(),
            accelerators: 1,
            options: EngineOptions {
                // The zone has no daemon, so no planner would load the model.
                resident: vec![(model(), MODEL_BYTES)],
                ..EngineOptions::default()
            },
        }],
        services: ["stock", "notices"].map(service).to_vec(),
        ..ClusterOptions::default()
    }
}

fn model() -> ResidentItem {
    ResidentItem {
        model: "drafter".into(),
        version: "v1".into(),
        adapter: None,
    }
}

fn service(group: &str) -> ServiceSpec {
    ServiceSpec {
        name: format!("{group}-1").into(),
        zone: SERVER_ZONE.into(),
        group: group.into(),
        slots: 64,
        options: ServiceOptions::default(),
    }
}

/// Returns the entry of a key for a declaration.
pub fn key_entry(name: &str, team: &str, secret: &str) -> Value {
    json!({"name": name, "team": team, "digest": KeyDigest::of(secret.as_bytes()).to_string()})
}

/// Returns a declaration with teams `desks` and `guests`, a keyed route that only `desks` may use, an open route
/// and one model.
pub fn declaration(cluster: &TestCluster, keys: &[Value], grace: Duration) -> Value {
    json!({
        "policy": {"key_grace_ms": u64::try_from(grace.as_millis()).unwrap_or(u64::MAX)},
        "teams": [
            {"name": "desks", "rate": 1_000_000, "burst": 10_000_000},
            {"name": "guests", "rate": 1_000_000, "burst": 10_000_000},
        ],
        "models": [{
            "name": "drafter", "memory_bytes": MODEL_BYTES, "min_replicas": 1, "version": "v1",
            "first_token_ms": 510,
        }],
        "keys": keys,
        "routes": [
            {
                "name": "stock", "prefix": "/stock", "target": {"service": "stock"}, "repeatable": true,
                "teams": ["desks"],
            },
            {
                "name": "notices", "prefix": "/notices", "target": {"service": "notices"}, "repeatable": true,
                "open": true,
            },
        ],
        "backends": cluster.backends(),
    })
}

/// Waits until `check` returns a value.
pub async fn wait_for<T, F>(what: &str, mut check: impl FnMut() -> F) -> eyre::Result<T>
where
    F: Future<Output = eyre::Result<Option<T>>>,
{
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if let Some(value) = check().await? {
            return Ok(value);
        }
        tokio::time::sleep(POLL).await;
    }
    bail!("{what} did not happen within {WAIT_TIMEOUT:?}")
}

/// Returns the state dump of a daemon.
pub async fn dump(client: &JsonClient, admin: SocketAddr) -> eyre::Result<Value> {
    client.get(admin, "/dump").await
}

/// Part of a streamed answer that a caller has received so far.
#[derive(Clone, Debug, Default)]
pub struct StreamProgress {
    pub status: Option<u16>,
    pub text: String,
    pub ended: bool,
}

impl StreamProgress {
    /// Returns the number of events, the last one included.
    pub fn events(&self) -> usize {
        self.text.matches("data:").count()
    }

    /// Returns whether the complete answer arrived.
    pub fn is_whole(&self) -> bool {
        self.ended && self.text.contains("data: [DONE]")
    }
}

/// A streamed chat completion that a task reads.
pub struct TokenStream {
    progress: Arc<Mutex<StreamProgress>>,
    task: tokio::task::JoinHandle<()>,
}

impl TokenStream {
    /// Sends the request on a new connection.
    ///
    /// The answer has exactly `max_tokens` tokens.
    pub fn open(server: SocketAddr, secret: &str, text: &str, max_tokens: u32) -> Self {
        let text = format!("{text} <tokens={max_tokens}>");
        let body = json!({
            "model": "drafter", "max_tokens": max_tokens, "stream": true,
            "messages": [{"role": "user", "content": text}],
        });
        let request = Request::post(format!("http://{server}/v1/chat/completions"))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {secret}"))
            .body(Full::new(Bytes::from(body.to_string())));
        let progress = Arc::new(Mutex::new(StreamProgress::default()));
        let shared = progress.clone();
        let task = tokio::spawn(async move {
            if let Ok(request) = request {
                read_stream(request, &shared).await;
            }
            lock(&shared).ended = true;
        });
        Self { progress, task }
    }

    /// Returns what has arrived.
    pub fn progress(&self) -> StreamProgress {
        lock(&self.progress).clone()
    }

    /// Waits until the first tokens have arrived.
    pub async fn wait_started(&self) -> eyre::Result<()> {
        let started = wait_for("the first token", async || {
            let progress = self.progress();
            ensure!(!progress.ended, "the stream ended early: {progress:?}");
            Ok((progress.events() > 1).then_some(()))
        });
        started.await
    }

    /// Waits until the answer has ended, complete or not.
    pub async fn wait_end(&self) -> eyre::Result<StreamProgress> {
        let ended = wait_for("the end of the stream", async || {
            Ok(Some(self.progress()).filter(|progress| progress.ended))
        });
        ended.await
    }
}

impl Drop for TokenStream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn read_stream(request: Request<Full<Bytes>>, progress: &Mutex<StreamProgress>) {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build(connector);
    let Ok(response) = client.request(request).await else {
        return;
    };
    lock(progress).status = Some(response.status().as_u16());
    let mut body = response.into_body();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            let text = String::from_utf8_lossy(data);
            lock(progress).text.push_str(&text);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One persistent HTTP/1.1 connection.
pub struct KeptConnection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    server: SocketAddr,
    driver: tokio::task::JoinHandle<()>,
}

impl KeptConnection {
    /// Connects.
    pub async fn open(server: SocketAddr) -> eyre::Result<Self> {
        let stream = tokio::net::TcpStream::connect(server).await?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // Errors are also returned by the sender.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            server,
            driver,
        })
    }

    /// Sends a request on this connection and reads the whole answer.
    pub async fn post(
        &mut self,
        path: &str,
        secret: &str,
        body: &str,
    ) -> eyre::Result<CallerAnswer> {
        let request = Request::post(path)
            .header("host", self.server.to_string())
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {secret}"))
            .body(Full::new(Bytes::from(body.to_owned())))?;
        let exchange = async {
            self.sender.ready().await?;
            let (parts, body) = self.sender.send_request(request).await?.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, eyre::Report>(CallerAnswer {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(WAIT_TIMEOUT, exchange)
            .await
            .wrap_err("no answer on the kept connection")?
    }
}

impl Drop for KeptConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
