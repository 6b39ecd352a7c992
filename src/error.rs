//! The error type of the crate and the verdict on whether a request may have run.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Longest message in bytes. Parsers quote their input, which may be of any length.
const MAX_MESSAGE: usize = 512;

/// Says whether a backend server may have executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// No byte of the request was sent to a backend server, or the backend server itself refused it.
    NotRun,
    /// Some bytes may have reached a backend server and its answer is unknown.
    MayHaveRun,
    /// A backend server is known to have executed the request.
    Ran,
}

impl RunVerdict {
    /// Returns the name used in refusal bodies and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Groups errors by what a caller can do about them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Category {
    /// The input is malformed or out of range.
    Invalid,
    /// The request is larger than allowed.
    TooLarge,
    /// The request carries no key or an unknown one.
    Unauthenticated,
    /// The key is known and does not allow the request.
    Forbidden,
    /// The named object does not exist.
    NotFound,
    /// The change or idempotency key conflicts with an earlier one.
    Conflict,
    /// The team's rate or burst is used up.
    RateLimited,
    /// The request is in quarantine because backend servers died under it.
    Quarantined,
    /// Capacity is used up; a later attempt may succeed.
    Overloaded,
    /// A dependency cannot be reached.
    Unavailable,
    /// A deadline passed.
    Timeout,
    /// A peer or backend server violated its protocol.
    Protocol,
    /// The process is shutting down.
    ShuttingDown,
    /// A defect of this program.
    Internal,
}

impl Category {
    /// Returns the name used in refusal bodies, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::TooLarge => "too_large",
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::Conflict => "conflict",
            Self::RateLimited => "rate_limited",
            Self::Quarantined => "quarantined",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::Timeout => "timeout",
            Self::Protocol => "protocol",
            Self::ShuttingDown => "shutting_down",
            Self::Internal => "internal",
        }
    }
}

/// An error with a category, a run verdict and a lower-case message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    category: Category,
    verdict: RunVerdict,
    message: String,
    retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error whose verdict is [`RunVerdict::NotRun`].
    pub fn new(category: Category, message: impl Into<String>) -> Self {
        Self {
            category,
            verdict: RunVerdict::NotRun,
            message: bounded(message.into()),
            retry_after: None,
        }
    }

    /// Creates an error of [`Category::Invalid`].
    pub fn invalid(message: impl Into<String>) -> Self {
        Self::new(Category::Invalid, message)
    }

    /// Creates an error of [`Category::Unavailable`].
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self::new(Category::Unavailable, message)
    }

    /// Creates an error of [`Category::Internal`].
    pub fn internal(message: impl Into<String>) -> Self {
        Self::new(Category::Internal, message)
    }

    /// Replaces the run verdict.
    pub fn with_verdict(mut self, verdict: RunVerdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Appends `context` to the message.
    pub fn with_context(mut self, context: impl fmt::Display) -> Self {
        self.message = format!("{}: {context}", self.message);
        self
    }

    /// Sets how long the caller should wait before it tries again.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the category.
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> RunVerdict {
        self.verdict
    }

    /// Returns the message without category or verdict.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns how long the caller should wait before it tries again, where waiting helps.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.category.as_str(), self.message)
    }
}

impl std::error::Error for Error {}

/// Returns `message` with no more than [`MAX_MESSAGE`] bytes of it.
fn bounded(mut message: String) -> String {
    let length = message.len();
    if length > MAX_MESSAGE {
        message.truncate(message.floor_char_boundary(MAX_MESSAGE));
        message.push_str(&format!("... ({length} bytes)"));
    }
    message
}
