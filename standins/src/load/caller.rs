//! HTTP client of the load driver: sends a call, reads the whole answer and checks it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhill::catalog::RequestClass;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::load::LoadOptions;
use crate::load::arrivals::PlannedCall;
use crate::load::scenario::{DemandTarget, Scenario};
use crate::tokens::AnswerScript;

const CLASS_HEADER: &str = "x-foxtailhill-class";
const DEADLINE_HEADER: &str = "x-foxtailhill-deadline-ms";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The answer is complete and as expected.
    Right,
    /// The answer is complete but differs from the one expected for the request.
    Wrong,
    /// The entry VM refused the call with this cause and verdict.
    Refused {
        cause: SmolStr,
        verdict: SmolStr,
    },
    /// The answer started and was aborted with this cause and verdict.
    Broken {
        cause: SmolStr,
        verdict: SmolStr,
    },
    /// No connection could be opened, or it closed before the answer started.
    Unreachable,
    TimedOut,
}

/// Result and measurements of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    pub end: CallEnd,
    /// From the planned start to the first token.
    pub first_token: Option<Duration>,
    pub between_tokens: Vec<Duration>,
    /// From the planned start to the end of the call.
    pub total: Duration,
    pub tokens: u32,
}

#[derive(Deserialize)]
struct RefusalBody {
    error: RefusalText,
}

#[derive(Deserialize)]
struct RefusalText {
    #[serde(rename = "type")]
    cause: SmolStr,
    verdict: SmolStr,
}

/// The part of an answer received so far, with the arrival time of each token.
#[derive(Default)]
struct AnswerText {
    text: String,
    finish: Option<String>,
    arrivals: Vec<Instant>,
    done: bool,
}

/// Sends calls. Clones share one connection pool.
#[derive(Clone)]
pub(super) struct CallClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    /// Versions by model; an answer of any of them is accepted.
    versions: Arc<HashMap<SmolStr, Vec<SmolStr>>>,
}

impl CallClient {
    pub(super) fn new(scenario: &Scenario, options: &LoadOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut versions = options.versions.clone();
        for model in &scenario.models {
            let version = model.spec.version.clone();
            versions
                .entry(model.spec.name.clone())
                .or_default()
                .push(version);
        }
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            timeout: options.call_timeout,
            versions: Arc::new(versions),
        }
    }

    /// Makes a call that was planned for `due`. It times out at `end`, or earlier after the timeout of a call.
    pub(super) async fn call(
        &self,
        target: SocketAddr,
        call: &PlannedCall,
        due: Instant,
        end: Instant,
    ) -> CallOutcome {
        let mut answer = AnswerText::default();
        let exchange = self.exchange(target, call, &mut answer);
        let limit = end.min(Instant::now() + self.timeout);
        let end = tokio::time::timeout_at(limit, exchange)
            .await
            .unwrap_or(CallEnd::TimedOut);
        let pairs = answer.arrivals.windows(2);
        CallOutcome {
            end,
            first_token: answer.arrivals.first().map(|first| *first - due),
            between_tokens: pairs.map(|pair| pair[1] - pair[0]).collect(),
            total: due.elapsed(),
            tokens: answer.arrivals.len() as u32,
        }
    }

    async fn exchange(
        &self,
        target: SocketAddr,
        call: &PlannedCall,
        answer: &mut AnswerText,
    ) -> CallEnd {
        let Ok(request) = build_request(target, call) else {
            return CallEnd::Unreachable;
        };
        let Ok(response) = self.client.request(request).await else {
            return CallEnd::Unreachable;
        };
        if response.status() != StatusCode::OK {
            return read_refusal(response).await;
        }
        match &call.target {
            DemandTarget::Service { .. } => match response.into_body().collect().await {
                Ok(_) => CallEnd::Right,
                Err(_) => broken("connection", "unknown"),
            },
            DemandTarget::Model { model, adapter } => {
                match read_events(response.into_body(), answer).await {
                    Ok(()) => self.check(call, model, adapter.as_deref(), answer),
                    Err(end) => end,
                }
            }
        }
    }

    /// Compares a complete answer with the expected tokens of each version that may have answered.
    fn check(
        &self,
        call: &PlannedCall,
        model: &SmolStr,
        adapter: Option<&str>,
        answer: &AnswerText,
    ) -> CallEnd {
        let messages = call.messages();
        let versions = self.versions.get(model).into_iter().flatten();
        for version in versions {
            let script = AnswerScript::new(model, version, adapter, messages.as_bytes());
            let cut = script.is_truncated(call.max_tokens);
            let finish = if cut { "length" } else { "stop" };
            let text_is_right = script.text(call.max_tokens) == answer.text;
            if text_is_right && answer.finish.as_deref() == Some(finish) {
                return CallEnd::Right;
            }
        }
        CallEnd::Wrong
    }
}

fn build_request(target: SocketAddr, call: &PlannedCall) -> http::Result<Request<Full<Bytes>>> {
    let key = format!("Bearer {}", Scenario::key_of(&call.team));
    let mut request = Request::builder()
        .method(Method::POST)
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, key);
    if let Some(deadline) = call.deadline {
        request = request.header(DEADLINE_HEADER, deadline.as_millis().to_string());
    }
    let class = match call.class {
        RequestClass::Interactive => "interactive",
        RequestClass::Overnight => "overnight",
    };
    request = request.header(CLASS_HEADER, class);
    let (path, body) = match &call.target {
        DemandTarget::Service { path } => {
            request = request.header(IDEMPOTENCY_HEADER, call.idempotency_key());
            (path.as_str(), call.service_body())
        }
        DemandTarget::Model { model, adapter } => {
            let body = chat_body(call, model, adapter.as_deref());
            ("/v1/chat/completions", body)
        }
    };
    request
        .uri(format!("http://{target}{path}"))
        .body(Full::new(body.into()))
}

fn chat_body(call: &PlannedCall, model: &str, adapter: Option<&str>) -> String {
    let model = adapter.map_or_else(|| model.to_owned(), |adapter| format!("{model}:{adapter}"));
    let fields = json!({"model": model, "max_tokens": call.max_tokens, "stream": true});
    let fields = fields.to_string();
    // The messages are not parsed and written again: the expected answer is derived from their exact bytes.
    format!(
        "{},\"messages\":{}}}",
        &fields[..fields.len() - 1],
        call.messages()
    )
}

async fn read_refusal(response: Response<Incoming>) -> CallEnd {
    let status = response.status();
    let Ok(body) = response.into_body().collect().await else {
        return broken("connection", "unknown");
    };
    match serde_json::from_slice::<RefusalBody>(&body.to_bytes()) {
        Ok(body) => CallEnd::Refused {
            cause: body.error.cause,
            verdict: body.error.verdict,
        },
        Err(_) => CallEnd::Refused {
            cause: status.as_str().into(),
            verdict: SmolStr::new_static("none"),
        },
    }
}

fn broken(cause: &'static str, verdict: &'static str) -> CallEnd {
    CallEnd::Broken {
        cause: SmolStr::new_static(cause),
        verdict: SmolStr::new_static(verdict),
    }
}

/// Reads server-sent events to the end of the body, which must contain `[DONE]`.
async fn read_events(mut body: Incoming, answer: &mut AnswerText) -> Result<(), CallEnd> {
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| broken("connection", "unknown"))?;
        buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
        let now = Instant::now();
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            if let Some(data) = line.strip_prefix(b"data:") {
                answer.accept(data.trim_ascii(), now)?;
            }
        }
    }
    if answer.done {
        Ok(())
    } else {
        Err(broken("truncated", "unknown"))
    }
}

impl AnswerText {
    fn accept(&mut self, data: &[u8], now: Instant) -> Result<(), CallEnd> {
        if data == b"[DONE]" {
            self.done = true;
            return Ok(());
        }
        let event: Value =
            serde_json::from_slice(data).map_err(|_| broken("malformed", "unknown"))?;
        if let Ok(body) = RefusalBody::deserialize(&event) {
            return Err(CallEnd::Broken {
                cause: body.error.cause,
                verdict: body.error.verdict,
            });
        }
        let choice = &event["choices"][0];
        if let Some(text) = choice["delta"]["content"].as_str()
            && !text.is_empty()
        {
            self.text.push_str(text);
            self.arrivals.push(now);
        }
        if let Some(finish) = choice["finish_reason"].as_str() {
            self.finish = Some(finish.to_owned());
        }
        Ok(())
    }
}
