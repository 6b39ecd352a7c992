//! Refusals and failures as callers see them.

use axum::body::Body;
use axum::response::Response;
use http::header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, StatusCode};
use serde::Serialize;

use crate::error::{Category, Error, RunVerdict};
use crate::wire;

/// Header that carries the request id on every answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// An error and the HTTP status of its answer.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) error: Error,
    status: StatusCode,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalText<'a>,
}

#[derive(Serialize)]
struct RefusalText<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    category: &'a str,
    verdict: &'a str,
    request_id: &'a str,
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let status = match status_of(error.category()) {
            status if wire::is_promise(status) && error.verdict() != RunVerdict::NotRun => {
                StatusCode::BAD_GATEWAY
            }
            status => status,
        };
        Self { error, status }
    }
}

impl Refusal {
    /// Creates a refusal with a status other than the usual one of the error's category.
    pub(super) fn new(status: StatusCode, error: Error) -> Self {
        Self { error, status }
    }

    /// Builds the answer, with its headers and body.
    pub(super) fn response(&self, id: &str) -> Response {
        let mut response = Response::new(Body::from(error_json(&self.error, id)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.error.retry_after() {
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

/// Encodes an error as the JSON object of a refusal body or error event.
pub(super) fn error_json(error: &Error, id: &str) -> Vec<u8> {
    let body = RefusalBody {
        error: RefusalText {
            message: error.message(),
            category: error.category().as_str(),
            verdict: error.verdict().as_str(),
            request_id: id,
        },
    };
    // Encoding plain strings cannot fail.
    serde_json::to_vec(&body).unwrap_or_default()
}

fn status_of(category: Category) -> StatusCode {
    match category {
        Category::Invalid => StatusCode::BAD_REQUEST,
        Category::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Category::Unauthenticated => StatusCode::UNAUTHORIZED,
        Category::Forbidden => StatusCode::FORBIDDEN,
        Category::NotFound => StatusCode::NOT_FOUND,
        Category::Conflict => StatusCode::CONFLICT,
        Category::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        // Client libraries retry 429 and 503 by themselves; a request in quarantine must not be retried.
        Category::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Category::Overloaded | Category::Unavailable | Category::ShuttingDown => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Category::Timeout => StatusCode::GATEWAY_TIMEOUT,
        Category::Protocol => StatusCode::BAD_GATEWAY,
        Category::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
