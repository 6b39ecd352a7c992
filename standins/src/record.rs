//! Records of the requests that a stand-in received. Tests search them for keys that must not reach it.

use std::sync::Mutex;

use axum::extract::{FromRequest, Request};
use axum::response::Response;
use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::serve::{lock, refusal};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 32 << 20;

/// A request as it arrived. As an extractor it reads the whole body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedRequest {
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Names in lower case and values, in order of arrival; bytes that are not UTF-8 are replaced.
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether `text` occurs in the path, a header or the body.
    pub fn contains(&self, text: &str) -> bool {
        let in_headers = self
            .headers
            .iter()
            .any(|(name, value)| name.contains(text) || value.contains(text));
        let mut windows = self.body.windows(text.len().max(1));
        in_headers || self.path.contains(text) || windows.any(|window| window == text.as_bytes())
    }
}

impl<S: Send + Sync> FromRequest<S> for ReceivedRequest {
    type Rejection = Response;

    async fn from_request(request: Request, _state: &S) -> Result<Self, Response> {
        let (head, body) = request.into_parts();
        let body = axum::body::to_bytes(body, MAX_BODY_BYTES)
            .await
            .map_err(|_| {
                refusal(
                    StatusCode::BAD_REQUEST,
                    "request body could not be read",
                    true,
                )
            })?;
        let headers = head.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        Ok(Self {
            method: head.method.to_string(),
            path: head.uri.to_string(),
            headers: headers.collect(),
            body,
        })
    }
}

/// Log of received requests. Load tests disable it.
#[derive(Debug)]
pub(crate) struct ReceivedLog {
    keep: bool,
    requests: Mutex<Vec<ReceivedRequest>>,
}

impl ReceivedLog {
    pub(crate) fn new(keep: bool) -> Self {
        Self {
            keep,
            requests: Mutex::default(),
        }
    }

    pub(crate) fn push(&self, request: ReceivedRequest) {
        if self.keep {
            lock(&self.requests).push(request);
        }
    }

    pub(crate) fn all(&self) -> Vec<ReceivedRequest> {
        lock(&self.requests).clone()
    }
}
