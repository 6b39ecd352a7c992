//! Headers of requests and answers.

use std::time::Duration;

use http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{StatusCode, request, response};
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::ids::CallerKey;
use crate::relay::{
    AnswerKind, PromptPart, RelayFormat, RequestMetadata, ServerNotice, UpstreamMetadata,
};
use crate::wire;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Time that the caller waits, and towards servers the time left, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("model");
/// Prompt tokens and the maximum of generated tokens, separated by a comma.
const TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");
/// The caller's estimate of the generated tokens.
const LENGTH_HINT: HeaderName = HeaderName::from_static("length-hint");
/// Parts of the prompt as a list of ID:TOKENS, separated by commas; ids are hexadecimal.
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// Id of the caller's attempt that brought the first event of the stream that this one takes up.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the only server that may run the request.
pub(super) const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// Name of the team; sent to servers only.
const TENANT: HeaderName = HeaderName::from_static("tenant");
const REQUEST_URGENCY: HeaderName = HeaderName::from_static("request-urgency");
/// Set on answers of servers that did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// Set to 1 on all answers of a server that is leaving.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Signature of a server on the answer to a request that it ran.
const SERVER_STAMP: HeaderName = HeaderName::from_static("server-stamp");
/// Id of the server that answers.
const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");

/// Era of the store; set on all its answers.
pub(super) const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Headers that only this system may set; they are removed from callers' requests.
const SYSTEM_HEADERS: [HeaderName; 11] = [
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    TENANT,
    REQUEST_URGENCY,
    DEADLINE_MS,
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("hold"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
    NOT_RUN,
];

/// Upper limit of deadlines; a longer one is reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3_600);

/// Upper limit of the time for which a server wants no requests; a longer one is reduced to it.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3_600);

/// Reads and writes the platform's headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFormat;

impl RelayFormat for PlatformFormat {
    fn read_metadata(&self, head: &request::Parts) -> Result<RequestMetadata> {
        let headers = &head.headers;
        let id = text(headers, &REQUEST_ID)?.unwrap_or_default();
        let (model, adapter) = match text(headers, &MODEL)? {
            Some(name) => match name.split_once('/') {
                Some((model, adapter)) => (Some(model.into()), Some(adapter.into())),
                None => (Some(name.into()), None),
            },
            None => (None, None),
        };
        let deadline = number::<f64>(headers, &DEADLINE_MS)?;
        Ok(RequestMetadata {
            id: id.into(),
            key: caller_key(headers)?,
            model,
            adapter,
            tokens: token_count(headers)?,
            length_hint: number(headers, &LENGTH_HINT)?,
            prompt: prompt_parts(headers)?,
            deadline: deadline.map(|millis| {
                let wait = Duration::try_from_secs_f64(millis / 1_000.0);
                wait.unwrap_or(MAX_DEADLINE).min(MAX_DEADLINE)
            }),
            last_event: number(headers, &LAST_EVENT_ID)?,
            // One that is no text names no attempt.
            resumes: headers
                .get(&RESUMES)
                .map(|value| value.to_str().unwrap_or_default().trim().into()),
        })
    }

    fn forwardable_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let mut headers = headers.clone();
        wire::remove_connection_headers(&mut headers);
        headers.remove(AUTHORIZATION);
        for name in SYSTEM_HEADERS {
            headers.remove(name);
        }
        headers
    }

    fn add_upstream_headers(
        &self,
        headers: &mut HeaderMap,
        metadata: &UpstreamMetadata<'_>,
    ) -> Result<()> {
        headers.insert(EXPECT_INSTANCE, header_value(metadata.server)?);
        let left = u64::try_from(metadata.time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_MS, left.into());
        headers.insert(REQUEST_URGENCY, u16::from(metadata.urgency).into());
        if let Some(team) = metadata.team {
            headers.insert(TENANT, header_value(team)?);
        }
        if let Some(event) = metadata.last_event {
            headers.insert(LAST_EVENT_ID, event.into());
        }
        Ok(())
    }

    fn read_notice(&self, head: &response::Parts) -> ServerNotice {
        let leaving = head.headers.get(SERVER_LEAVING);
        ServerNotice {
            is_leaving: leaving.is_some_and(|value| value.as_bytes().trim_ascii() == b"1"),
            pause: (head.status == StatusCode::SERVICE_UNAVAILABLE)
                .then(|| retry_after(&head.headers))
                .flatten(),
        }
    }

    fn answering_server<'a>(&self, head: &'a response::Parts) -> Option<&'a str> {
        head.headers.get(INSTANCE_ID)?.to_str().ok()
    }

    fn classify(
        &self,
        id: &str,
        server: &str,
        head: &response::Parts,
        is_first: bool,
    ) -> AnswerKind {
        let header = |name: HeaderName| head.headers.get(name).map(HeaderValue::as_bytes);
        let answered = header(REQUEST_ID);
        if answered.is_some_and(|answered| answered != id.as_bytes()) {
            return AnswerKind::IdMismatch;
        }
        // A server stamps what it ran.
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST
            && (header(NOT_RUN).is_some() || header(SERVER_STAMP).is_none());
        let refused = is_misdirected || header(NOT_RUN).is_some();
        if refused && answered.is_none() && !is_first {
            return AnswerKind::Unattributed;
        }
        if is_misdirected {
            let instance = header(INSTANCE_ID);
            return match instance.is_some_and(|instance| instance != server.as_bytes()) {
                true => AnswerKind::WrongInstance,
                false => AnswerKind::ModelMissing,
            };
        }
        match (refused, answered) {
            (true, _) => AnswerKind::Full,
            // A server that ran a request repeats its id in the answer.
            (false, None) => AnswerKind::IdMismatch,
            (false, Some(_)) => AnswerKind::Answer,
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| malformed(name))?;
    Ok(Some(text.trim()))
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| malformed(name))
}

/// Reads the seconds in `Retry-After`. A malformed value counts as none: the answer is a refusal in any case.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = number::<f64>(headers, &RETRY_AFTER).ok().flatten()?;
    let pause = Duration::try_from_secs_f64(seconds).ok()?;
    (!pause.is_zero()).then(|| pause.min(MAX_PAUSE))
}

fn caller_key(headers: &HeaderMap) -> Result<Option<CallerKey>> {
    let Some(text) = text(headers, &AUTHORIZATION)? else {
        return Ok(None);
    };
    let (scheme, key) = text.split_once(' ').unwrap_or((text, ""));
    Ok(scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| CallerKey::from(key.trim())))
}

fn token_count(headers: &HeaderMap) -> Result<Option<(u64, u64)>> {
    let Some(text) = text(headers, &TOKEN_COUNT)? else {
        return Ok(None);
    };
    let counts = text.split_once(',').and_then(|(prompt, output)| {
        let prompt = prompt.trim().parse().ok()?;
        Some((prompt, output.trim().parse().ok()?))
    });
    counts.map(Some).ok_or_else(|| malformed(&TOKEN_COUNT))
}

fn prompt_parts(headers: &HeaderMap) -> Result<Vec<PromptPart>> {
    let Some(text) = text(headers, &PROMPT_PREFIX)? else {
        return Ok(Vec::new());
    };
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    });
    let parts: Option<Vec<_>> = parts.collect();
    parts.ok_or_else(|| malformed(&PROMPT_PREFIX))
}

fn header_value(text: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(text)
        .map_err(|_| Error::internal(format!("`{text}` is not a valid header value")))
}

fn malformed(name: &HeaderName) -> Error {
    let name = SmolStr::from(name.as_str());
    Error::invalid(format!("header `{name}` is malformed"))
}
