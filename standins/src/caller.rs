//! Client of the daemons' caller interface: chat completions and calls to plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderMap, Method, Request, StatusCode};
use serde_json::{Value, json};

use crate::client::JsonClient;

/// An HTTP answer with its whole body.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerAnswer {
    /// Returns the body as JSON, or `null` if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the text of a chat completion that is not streamed.
    pub fn text(&self) -> Option<String> {
        let answer = self.json();
        let text = answer["choices"][0]["message"]["content"].as_str()?;
        Some(text.to_owned())
    }

    /// Returns the verdict of a refusal.
    pub fn verdict(&self) -> Option<String> {
        self.json()["error"]["verdict"].as_str().map(str::to_owned)
    }
}

/// Client that sends the same key with each request.
#[derive(Clone)]
pub struct KeyedCaller {
    client: JsonClient,
    key: Option<String>,
}

impl KeyedCaller {
    /// Creates a caller that waits up to `timeout` for each answer.
    pub fn new(key: Option<&str>, timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(timeout),
            key: key.map(str::to_owned),
        }
    }

    /// Requests a chat completion without streaming; `messages` is the JSON text of the messages.
    pub async fn chat(
        &self,
        daemon: SocketAddr,
        model: &str,
        messages: &str,
        max_tokens: u32,
    ) -> eyre::Result<CallerAnswer> {
        let messages: Value = serde_json::from_str(messages).wrap_err("messages are not JSON")?;
        let body = json!({"model": model, "max_tokens": max_tokens, "messages": messages});
        let body = serde_json::to_vec(&body)?;
        self.send(Method::POST, daemon, "/v1/chat/completions", &[], body)
            .await
    }

    /// Calls a plain service with an idempotency key.
    pub async fn submit(
        &self,
        daemon: SocketAddr,
        path: &str,
        idempotency_key: &str,
        body: &str,
    ) -> eyre::Result<CallerAnswer> {
        let headers = [("idempotency-key", idempotency_key)];
        self.send(
            Method::POST,
            daemon,
            path,
            &headers,
            body.as_bytes().to_vec(),
        )
        .await
    }

    /// Sends any request with the caller's key and the given headers.
    pub async fn send(
        &self,
        method: Method,
        daemon: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> eyre::Result<CallerAnswer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{daemon}{path}"))
            .header("content-type", "application/json");
        if let Some(key) = &self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.client.request(request.body(Bytes::from(body))?).await
    }
}
