//! A fake dispatcher and raw clients for tests of the caller-facing server.

#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use foxtailhill::dispatch::{CallDispatcher, ModelCall, ServiceCall, TokenUsage};
use foxtailhill::engine::{EngineChunk, FinishReason, ServiceAnswer};
use foxtailhill::error::{Category, Error, Result, RunVerdict};
use foxtailhill::history::RequestHistory;
use foxtailhill::http::{CallerServer, CallerSettings};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::metrics::DaemonMetrics;
use foxtailhill::settings::LimitSettings;
use futures_util::{Stream, StreamExt, stream};
use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest wait of a test for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers by model name: `echo`, `endless`, `broken`, `cut`, `silent`, `limited`, `stuck`; others are unknown.
#[derive(Default)]
pub struct FakeDispatcher {
    pub calls: AtomicUsize,
    /// Token streams that are open.
    pub open_streams: Arc<AtomicUsize>,
    pub last_service_call: Mutex<Option<ServiceCall>>,
    pub last_model_call: Mutex<Option<ModelCall>>,
}

struct OpenStreamGuard(Arc<AtomicUsize>);

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

type Tokens = Pin<Box<dyn Stream<Item = Result<EngineChunk>> + Send>>;

fn token(index: u32, text: &str) -> Result<EngineChunk> {
    Ok(EngineChunk {
        id: "r".into(),
        index,
        text: text.into(),
        finish: None,
    })
}

fn end(index: u32) -> Result<EngineChunk> {
    Ok(EngineChunk {
        id: "r".into(),
        index,
        text: SmolStr::default(),
        finish: Some(FinishReason::Stop),
    })
}

impl CallDispatcher for FakeDispatcher {
    type Tokens = Tokens;

    async fn model_call(&self, call: ModelCall) -> Result<(TokenUsage, Tokens)> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        *self.last_model_call.lock().unwrap() = Some(call.clone());
        let usage = TokenUsage {
            prompt: 3,
            completion: 0,
        };
        let failed = Error::new(Category::Unavailable, "backend server died")
            .with_verdict(RunVerdict::MayHaveRun);
        let tokens: Tokens = match call.model.as_str() {
            "echo" => stream::iter([token(0, "a\"b"), token(1, "é\n"), end(2)]).boxed(),
            "endless" => {
                let text = "x".repeat(4096);
                stream::iter(0..)
                    .map(move |index| token(index, &text))
                    .boxed()
            }
            "broken" => stream::iter([token(0, "a"), Err(failed)]).boxed(),
            "cut" => stream::iter([token(0, "a")]).boxed(),
            "silent" => stream::iter([token(0, "a")])
                .chain(stream::pending())
                .boxed(),
            "limited" => {
                return Err(Error::new(Category::RateLimited, "rate is used up")
                    .with_retry_after(Duration::from_millis(1_200)));
            }
            "stuck" => std::future::pending().await,
            _ => return Err(Error::new(Category::NotFound, "model is not known")),
        };
        self.open_streams.fetch_add(1, Ordering::SeqCst);
        let guard = OpenStreamGuard(self.open_streams.clone());
        let tokens = tokens.map(move |item| {
            let _ = &guard;
            item
        });
        Ok((usage, tokens.boxed()))
    }

    async fn service_call(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if call.path.starts_with("/conflict") {
            return Err(Error::invalid("another body under the same key"));
        }
        let body = match call.path.as_str() {
            "/large" => Bytes::from(vec![b'x'; 8 << 20]),
            _ => call.body.clone(),
        };
        *self.last_service_call.lock().unwrap() = Some(call);
        let mut headers = http::HeaderMap::new();
        headers.insert("connection", http::HeaderValue::from_static("close"));
        headers.insert("x-from", http::HeaderValue::from_static("service"));
        Ok(ServiceAnswer {
            status: http::StatusCode::CREATED,
            headers,
            body,
        })
    }

    fn models(&self, key: Option<&str>) -> Result<Vec<SmolStr>> {
        match key {
            Some(_) => Ok(vec!["echo".into()]),
            None => Err(Error::new(Category::Unauthenticated, "a key is needed")),
        }
    }
}

/// A running server with its fake dispatcher.
pub struct EdgeFixture {
    pub group: TaskGroup,
    pub server: CallerServer,
    pub dispatcher: Arc<FakeDispatcher>,
    pub history: Arc<RequestHistory>,
    pub metrics: Arc<DaemonMetrics>,
}

/// Limits that refuse bad input within a fraction of a second.
pub fn tight_limits() -> LimitSettings {
    LimitSettings {
        body_bytes: 64 << 10,
        header_bytes: 8 << 10,
        header_time: Duration::from_millis(300),
        body_time: Duration::from_millis(400),
        idle_time: Duration::from_secs(2),
        write_time: Duration::from_millis(400),
        in_flight: 8,
        ..LimitSettings::default()
    }
}

impl EdgeFixture {
    pub async fn open(limits: LimitSettings) -> Self {
        let group = TaskGroup::new();
        let dispatcher = Arc::new(FakeDispatcher::default());
        let history = Arc::new(RequestHistory::new(100));
        let metrics = Arc::new(DaemonMetrics::new());
        let settings = CallerSettings {
            limits,
            history: history.clone(),
            metrics: metrics.clone(),
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = CallerServer::bind(&group, address, settings, dispatcher.clone())
            .await
            .unwrap();
        Self {
            group,
            server,
            dispatcher,
            history,
            metrics,
        }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address()).await.unwrap()
    }

    /// Sends raw bytes and reads until the server closes.
    pub async fn raw(&self, request: &[u8]) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request).await.unwrap();
        read_to_end(&mut stream).await
    }

    /// Sends a chat request on a connection of its own and returns the whole answer.
    pub async fn chat(&self, body: &str, headers: &str) -> String {
        let length = body.len();
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
        let request = format!("{head}{headers}content-length: {length}\r\n\r\n{body}");
        self.raw(request.as_bytes()).await
    }

    /// Checks that a valid request is answered.
    pub async fn assert_serves_callers(&self) {
        let answer = self.chat(&chat_body("echo", false), "").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains(r#""content":"a\"bé\n""#), "{answer}");
    }
}

pub fn chat_body(model: &str, stream: bool) -> String {
    format!(
        r#"{{"model":"{model}","messages":[{{"role":"user","content":"hi"}}],"stream":{stream}}}"#
    )
}

pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset after the answer ends the read like a close.
    let _ = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer))
        .await
        .expect("server must close the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("{what} did not happen"));
}
