//! Reads and checks what callers send: body, key, path and the fields of a model call.

use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderMap, StatusCode, Uri};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::catalog::RequestClass;
use crate::dispatch::ModelCall;
use crate::error::{Category, Error};
use crate::http::body::{BodyFault, displaced, no_memory};
use crate::http::refusal::Refusal;
use crate::ids::CallerKey;
use crate::settings::LimitSettings;

/// Header with the request class, `interactive` or `overnight`.
pub const CLASS_HEADER: &str = "x-foxtailhill-class";
/// Header with the time in milliseconds after which the answer is of no use.
pub const DEADLINE_HEADER: &str = "x-foxtailhill-deadline-ms";
/// Header with the idempotency key of a non-repeatable call.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Limit of output tokens for a model call that states none.
const DEFAULT_MAX_TOKENS: u32 = 1_024;
const HIGHEST_MAX_TOKENS: u32 = 131_072;
/// One week; a longer deadline is given in a wrong unit.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3_600_000;
const MAX_KEY_BYTES: usize = 512;
const MAX_MODEL_BYTES: usize = 256;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Engines parse messages recursively; deeper ones could exhaust their stack.
const MAX_NESTING_DEPTH: usize = 32;

#[derive(Deserialize)]
struct ChatBody {
    model: SmolStr,
    messages: Box<RawValue>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    class: Option<RequestClass>,
    #[serde(default)]
    deadline_ms: Option<u64>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: Option<bool>,
}

/// A model call and how its answer is to be sent.
pub(super) struct ChatInput {
    pub(super) call: ModelCall,
    pub(super) stream: bool,
    pub(super) include_usage: bool,
}

/// Returns the refusal of a request whose body was not received.
pub(super) fn refuse_body(fault: BodyFault, limits: &LimitSettings) -> Refusal {
    match fault {
        BodyFault::TooLarge => too_large(limits),
        BodyFault::TooSlow => too_slow(limits),
        BodyFault::Stalled => stalled(limits),
        BodyFault::NoMemory => no_memory().into(),
        BodyFault::Displaced => displaced().into(),
        BodyFault::Unreadable(_) => Error::invalid("body is truncated or malformed").into(),
    }
}

fn too_large(limits: &LimitSettings) -> Refusal {
    let message = format!("body is larger than {} bytes", limits.body_bytes);
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, Error::invalid(message))
}

fn too_slow(limits: &LimitSettings) -> Refusal {
    let wait = humantime::format_duration(limits.body_time);
    let message = format!("body did not arrive within {wait}");
    let error = Error::new(Category::Timeout, message);
    Refusal::new(StatusCode::REQUEST_TIMEOUT, error)
}

fn stalled(limits: &LimitSettings) -> Refusal {
    let pause = humantime::format_duration(limits.body_pause);
    let message = format!("no byte of the body arrived for {pause}");
    let error = Error::new(Category::Timeout, message);
    Refusal::new(StatusCode::REQUEST_TIMEOUT, error)
}

/// Removes the key from `Authorization: Bearer` and returns it. Refuses keys in other places.
pub(super) fn take_key(headers: &mut HeaderMap, uri: &Uri) -> Result<Option<CallerKey>, Error> {
    refuse_misplaced_keys(headers, uri)?;
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (value, second) = (values.next(), values.next());
    if second.is_some() {
        return Err(Error::invalid("more than one authorization header"));
    }
    let key = value.map(parse_bearer).transpose()?;
    headers.remove(AUTHORIZATION);
    Ok(key)
}

fn parse_bearer(value: &http::HeaderValue) -> Result<CallerKey, Error> {
    let malformed = || {
        let message = "authorization header is not `Bearer` followed by a key";
        Error::new(Category::Unauthenticated, message)
    };
    let text = value.to_str().map_err(|_| malformed())?;
    let (scheme, key) = text.split_once(' ').ok_or_else(malformed)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer")
        || key.is_empty()
        || key.len() > MAX_KEY_BYTES
        || key.contains(char::is_whitespace)
    {
        return Err(malformed());
    }
    Ok(key.into())
}

/// Refuses keys in the query or in other headers, where logs and caches of intermediaries would keep them.
fn refuse_misplaced_keys(headers: &HeaderMap, uri: &Uri) -> Result<(), Error> {
    let pairs = uri.query().unwrap_or_default().split(['&', ';']);
    let names = pairs.map(|pair| pair.split('=').next().unwrap_or_default());
    if names.map(percent_decode).any(|name| is_key_like(&name)) {
        return Err(Error::invalid(
            "keys are not accepted in the query; send `Authorization: Bearer`",
        ));
    }
    match headers.keys().find(|name| is_key_like(name.as_str())) {
        Some(name) => Err(Error::invalid(format!(
            "keys are not accepted in the header `{name}`; send `Authorization: Bearer`"
        ))),
        None => Ok(()),
    }
}

/// Returns whether a query, header or field name usually carries a secret.
pub(crate) fn is_key_like(name: &str) -> bool {
    let plain: String = name
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .map(|c| c.to_ascii_lowercase())
        .collect();
    let plain = plain.strip_prefix('x').unwrap_or(&plain);
    matches!(
        plain,
        "key" | "authkey" | "accesskey" | "secretkey" | "accesstoken" | "authtoken" | "bearertoken"
    ) || plain.ends_with("apikey")
}

/// Decodes percent-encoded bytes; malformed sequences stay as they are.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let digits = bytes
            .get(index + 1..index + 3)
            .filter(|_| bytes[index] == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns path and query for a plain service. Dot segments are refused: a backend server might resolve them
/// to a path of another route.
pub(super) fn service_path(uri: &Uri) -> Result<String, Error> {
    let path = uri.path();
    if !path.starts_with('/') {
        return Err(Error::invalid("path does not start with `/`"));
    }
    let decoded = percent_decode(path);
    if decoded
        .split(['/', '\\'])
        .any(|part| part == "." || part == "..")
    {
        return Err(Error::invalid("path contains a dot segment"));
    }
    let target = uri.path_and_query().map_or(path, |target| target.as_str());
    Ok(target.into())
}

/// Reads the idempotency key, if any.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Result<Option<SmolStr>, Error> {
    let Some(text) = single_header(headers, IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(Error::invalid(format!(
            "header `{IDEMPOTENCY_HEADER}` is not 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes long"
        )));
    }
    Ok(Some(text.into()))
}

fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Error> {
    let mut values = headers.get_all(name).iter();
    let (value, second) = (values.next(), values.next());
    if second.is_some() {
        return Err(Error::invalid(format!("more than one header `{name}`")));
    }
    let text = value.map(|value| value.to_str().map(str::trim)).transpose();
    text.map_err(|_| Error::invalid(format!("header `{name}` is not visible ASCII")))
}

/// Checks a model call.
pub(super) fn parse_chat(
    id: &SmolStr,
    key: Option<CallerKey>,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<ChatInput, Error> {
    let text = std::str::from_utf8(body).map_err(|error| {
        let at = error.valid_up_to();
        Error::invalid(format!("body is not valid UTF-8 at byte {at}"))
    })?;
    let body: ChatBody = parse_json(text)?;
    if body.model.is_empty() || body.model.len() > MAX_MODEL_BYTES {
        return Err(Error::invalid(format!(
            "`model` is empty or longer than {MAX_MODEL_BYTES} bytes"
        )));
    }
    let messages = body.messages.get();
    if !messages.starts_with('[') || messages[1..].trim_start().starts_with(']') {
        return Err(Error::invalid(
            "`messages` is not an array with at least one message",
        ));
    }
    if nesting_depth(messages) > MAX_NESTING_DEPTH {
        return Err(Error::invalid(format!(
            "`messages` is nested deeper than {MAX_NESTING_DEPTH} levels"
        )));
    }
    if body.n.is_some_and(|n| n != 1) {
        return Err(Error::invalid(
            "`n` is not 1; one answer per request is supported",
        ));
    }
    let call = ModelCall {
        id: id.clone(),
        key,
        max_tokens: max_tokens(&body)?,
        class: class(&body, headers)?,
        time_limit: deadline(&body, headers)?,
        model: body.model,
        messages: Bytes::copy_from_slice(messages.as_bytes()),
    };
    let options = body.stream_options;
    Ok(ChatInput {
        call,
        stream: body.stream.unwrap_or(false),
        include_usage: options.is_some_and(|options| options.include_usage.unwrap_or(false)),
    })
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| {
        let detail = error.to_string();
        // The text before `, expected` repeats the value, which may be a misplaced key.
        let detail = match detail.find(", expected") {
            Some(at) => format!("unexpected value{}", &detail[at..]),
            None => detail,
        };
        Error::invalid(format!("body is not a valid chat request: {detail}"))
    })
}

/// Returns how deep arrays and objects are nested in valid JSON.
fn nesting_depth(json: &str) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    let (mut in_string, mut escaped) = (false, false);
    for byte in json.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

fn max_tokens(body: &ChatBody) -> Result<u32, Error> {
    let tokens = match (body.max_tokens, body.max_completion_tokens) {
        (Some(old), Some(new)) if old != new => {
            let message = "`max_tokens` and `max_completion_tokens` differ";
            return Err(Error::invalid(message));
        }
        (old, new) => new.or(old).unwrap_or(DEFAULT_MAX_TOKENS),
    };
    if tokens == 0 || tokens > HIGHEST_MAX_TOKENS {
        return Err(Error::invalid(format!(
            "`max_tokens` {tokens} is outside 1 to {HIGHEST_MAX_TOKENS}"
        )));
    }
    Ok(tokens)
}

fn class(body: &ChatBody, headers: &HeaderMap) -> Result<Option<RequestClass>, Error> {
    let header = match single_header(headers, CLASS_HEADER)? {
        None => None,
        Some("interactive") => Some(RequestClass::Interactive),
        Some("overnight") => Some(RequestClass::Overnight),
        Some(_) => {
            let message = format!("header `{CLASS_HEADER}` is not `interactive` or `overnight`");
            return Err(Error::invalid(message));
        }
    };
    merge_field_and_header("class", CLASS_HEADER, body.class, header)
}

fn deadline(body: &ChatBody, headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let header = match single_header(headers, DEADLINE_HEADER)? {
        None => None,
        Some(text) => Some(text.parse().map_err(|_| {
            Error::invalid(format!("header `{DEADLINE_HEADER}` is not a whole number"))
        })?),
    };
    match merge_field_and_header("deadline_ms", DEADLINE_HEADER, body.deadline_ms, header)? {
        Some(ms) if ms == 0 || ms > MAX_DEADLINE_MS => Err(Error::invalid(format!(
            "deadline of {ms} ms is outside 1 to {MAX_DEADLINE_MS} ms"
        ))),
        ms => Ok(ms.map(Duration::from_millis)),
    }
}

fn merge_field_and_header<T: PartialEq>(
    field: &str,
    header: &str,
    from_body: Option<T>,
    from_header: Option<T>,
) -> Result<Option<T>, Error> {
    match (from_body, from_header) {
        (Some(body), Some(other)) if body != other => Err(Error::invalid(format!(
            "field `{field}` and header `{header}` differ"
        ))),
        (body, other) => Ok(body.or(other)),
    }
}
