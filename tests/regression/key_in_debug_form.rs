//! The `Debug` output of a call contained the caller's key.

use foxtailhill::dispatch::{ModelCall, ServiceCall};

const KEY: &str = "sk-of-the-desks";

/// Guards against a key in a log line that prints a call.
#[test]
fn debug_form_of_a_call_has_no_key() {
    let model = ModelCall {
        id: "r".into(),
        key: Some(KEY.into()),
        model: "drafter".into(),
        messages: bytes::Bytes::new(),
        max_tokens: 1,
        class: None,
        time_limit: None,
    };
    let service = ServiceCall {
        id: "r".into(),
        key: Some(KEY.into()),
        method: http::Method::POST,
        path: "/bookings".into(),
        headers: http::HeaderMap::new(),
        idempotency_key: None,
        body: bytes::Bytes::new(),
    };
    let text = format!("{model:?} {service:?}");
    assert!(!text.contains(KEY), "{text}");
}
