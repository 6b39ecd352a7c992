//! The caller-facing server with valid and malformed input, slow callers and shutdown.

#![allow(clippy::unwrap_used)]

mod edge;

use std::error::Error;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::catalog::RequestClass;
use foxtailhill::history::RequestOutcome;
use foxtailhill::settings::LimitSettings;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::edge::{EdgeFixture, WAIT_TIMEOUT, chat_body, eventually, read_to_end, tight_limits};

/// Guards against answers, whole or streamed, that clients of the OpenAI protocol cannot read.
#[tokio::test]
async fn answers_have_the_openai_format() {
    let edge = EdgeFixture::open(tight_limits()).await;
    edge.assert_serves_callers().await;
    let body = r#"{"model":"echo","messages":[{"role":"user","content":"hi"}],"stream":true,
        "stream_options":{"include_usage":true},"max_completion_tokens":7,"temperature":0.5}"#;
    let answer = edge.chat(body, "x-foxtailhill-class: overnight\r\nx-foxtailhill-deadline-ms: 900\r\nauthorization: bearer sk-1\r\n").await;
    assert!(answer.contains("text/event-stream"), "{answer}");
    assert!(answer.contains("x-request-id: "), "{answer}");
    assert!(
        answer.contains(r#""delta":{"role":"assistant","content":"a\"b"},"finish_reason":null}]}"#),
        "{answer}"
    );
    assert!(
        answer.contains(r#""delta":{},"finish_reason":"stop"}]}"#),
        "{answer}"
    );
    assert!(
        answer.contains(r#""usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}"#),
        "{answer}"
    );
    assert!(answer.contains("data: [DONE]\n\n"), "{answer}");
    let call = edge
        .dispatcher
        .last_model_call
        .lock()
        .unwrap()
        .clone()
        .unwrap();
    assert_eq!(call.max_tokens, 7);
    assert_eq!(call.class, Some(RequestClass::Overnight));
    assert_eq!(call.time_limit, Some(Duration::from_millis(900)));
    assert_eq!(call.key.as_deref(), Some("sk-1"));
    assert_eq!(&call.messages[..], br#"[{"role":"user","content":"hi"}]"#);
    edge.group.shutdown().await;
}

/// Guards against a failed stream that looks complete and against refusals without verdict or `Retry-After`.
#[tokio::test]
async fn failures_carry_verdict_and_retry_after() {
    let edge = EdgeFixture::open(tight_limits()).await;
    for model in ["broken", "cut"] {
        let answer = edge.chat(&chat_body(model, true), "").await;
        assert!(
            answer.contains("event: error\ndata: {\"error\":{"),
            "{answer}"
        );
        assert!(answer.contains(r#""verdict":"may_have_run""#), "{answer}");
        assert!(!answer.contains("[DONE]"), "{answer}");
        let answer = edge.chat(&chat_body(model, false), "").await;
        assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
        assert!(answer.contains(r#""verdict":"may_have_run""#), "{answer}");
    }
    let answer = edge.chat(&chat_body("limited", true), "").await;
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    assert!(answer.contains("retry-after: 2\r\n"), "{answer}");
    assert!(
        answer.contains(r#""type":"rate_limited","verdict":"not_run","request_id":""#),
        "{answer}"
    );
    let answer = edge.chat(&chat_body("nowhere", true), "").await;
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    edge.group.shutdown().await;
}

/// Guards against malformed or out-of-range fields that reach the dispatcher.
#[tokio::test]
async fn malformed_calls_are_refused() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let cases = [
        ("", "EOF"),
        ("{", "EOF"),
        ("[]", "invalid"),
        (r#"{"messages":[{}]}"#, "missing field `model`"),
        (r#"{"model":"echo"}"#, "missing field `messages`"),
        (r#"{"model":"","messages":[{}]}"#, "`model` is empty"),
        (r#"{"model":"echo","messages":[ ]}"#, "at least one message"),
        (r#"{"model":"echo","messages":"hi"}"#, "not an array"),
        (r#"{"model":"echo","messages":[{}],"n":2}"#, "`n` is not 1"),
        (
            r#"{"model":"echo","messages":[{}],"max_tokens":0}"#,
            "outside 1 to",
        ),
        (
            r#"{"model":"echo","messages":[{}],"max_tokens":-1}"#,
            "expected u32",
        ),
        (
            r#"{"model":"echo","messages":[{}],"max_tokens":1,"max_completion_tokens":2}"#,
            "differ",
        ),
        (
            r#"{"model":"echo","messages":[{}],"class":"sk-odd"}"#,
            "expected `interactive`",
        ),
        (
            r#"{"model":"echo","messages":[{}],"deadline_ms":0}"#,
            "outside 1 to",
        ),
        (
            r#"{"model":"echo","model":"x","messages":[{}]}"#,
            "duplicate field",
        ),
    ];
    for (body, text) in cases {
        let answer = edge.chat(body, "").await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{body}: {answer}");
        assert!(answer.contains(text), "{body}: {answer}");
        assert!(
            answer.contains(r#""verdict":"not_run""#),
            "{body}: {answer}"
        );
        assert!(!answer.contains("sk-odd"), "{answer}");
    }
    let deep = format!(
        r#"{{"model":"echo","messages":{}1{}}}"#,
        "[".repeat(20_000),
        "]".repeat(20_000)
    );
    let answer = edge.chat(&deep, "").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(edge.dispatcher.calls.load(Ordering::SeqCst), 0);
    edge.assert_serves_callers().await;
    edge.group.shutdown().await;
}

/// Guards against text that is not UTF-8 and reaches an engine, also in fields that are ignored.
#[tokio::test]
async fn invalid_utf8_is_refused() {
    let edge = EdgeFixture::open(tight_limits()).await;
    for body in [
        &b"{\"model\":\"echo\",\"messages\":[{\"content\":\"\xff\"}]}"[..],
        &b"{\"ignored\":\"\xc3\",\"model\":\"echo\",\"messages\":[{}]}"[..],
    ] {
        let mut request = format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
        request.extend_from_slice(body);
        let answer = edge.raw(&request).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(answer.contains("not valid UTF-8 at byte"), "{answer}");
    }
    assert_eq!(edge.dispatcher.calls.load(Ordering::SeqCst), 0);
    edge.group.shutdown().await;
}

/// Guards against unbounded bodies, with `Content-Length` or chunked, and against refusals that the caller cannot read.
#[tokio::test]
async fn oversized_bodies_are_refused() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let big = "x".repeat(512 << 10);
    let answer = edge.chat(&big, "").await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains(r#""verdict":"not_run""#), "{answer}");
    let chunked = format!(
        "POST /echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{big}\r\n0\r\n\r\n",
        big.len()
    );
    let answer = edge.raw(chunked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(edge.dispatcher.calls.load(Ordering::SeqCst), 0);
    edge.assert_serves_callers().await;
    edge.group.shutdown().await;
}

/// Guards against requests that run although their body is truncated.
#[tokio::test]
async fn truncated_bodies_never_run() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let mut stream = edge.connect().await;
    let head = "POST /withdrawals HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nshort";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    read_to_end(&mut stream).await;
    let answer = edge
        .raw(b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nslow")
        .await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains(r#""verdict":"not_run""#), "{answer}");
    let answer = edge
        .raw(b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n")
        .await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(edge.dispatcher.calls.load(Ordering::SeqCst), 0);
    edge.assert_serves_callers().await;
    edge.group.shutdown().await;
}

/// Guards against connections that hold a slot by sending headers slowly or not at all, over both protocols.
#[tokio::test]
async fn connections_with_slow_headers_are_closed() {
    let edge = EdgeFixture::open(LimitSettings {
        connections: 4,
        ..tight_limits()
    })
    .await;
    let mut slow = Vec::new();
    for start in [
        "GET / HT",
        "",
        "PRI * HTTP/2.0\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ] {
        let mut stream = edge.connect().await;
        stream.write_all(start.as_bytes()).await.unwrap();
        slow.push(stream);
    }
    // All slots are taken; this succeeds only once the server has closed a slow connection.
    edge.assert_serves_callers().await;
    for stream in &mut slow {
        read_to_end(stream).await;
    }
    edge.group.shutdown().await;
}

/// Guards against headers of unlimited size.
#[tokio::test]
async fn oversized_headers_are_refused() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let request = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx-a: {}\r\n\r\n",
        "a".repeat(64 << 10)
    );
    let mut stream = edge.connect().await;
    let _ = stream.write_all(request.as_bytes()).await;
    let answer = read_to_end(&mut stream).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    assert_eq!(edge.dispatcher.calls.load(Ordering::SeqCst), 0);
    edge.assert_serves_callers().await;
    edge.group.shutdown().await;
}

/// Guards against a caller that stops reading and thereby occupies an engine or fills the memory.
#[tokio::test]
async fn stalled_readers_are_cancelled() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let mut stalled = Vec::new();
    for target in ["endless", "large"] {
        let mut stream = edge.connect().await;
        let body = chat_body("endless", true);
        let request = match target {
            "large" => "GET /large HTTP/1.1\r\nhost: x\r\n\r\n".to_string(),
            _ => format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            ),
        };
        stream.write_all(request.as_bytes()).await.unwrap();
        stalled.push(stream);
    }
    eventually("start", || {
        edge.dispatcher.calls.load(Ordering::SeqCst) == 2
    })
    .await;
    edge.assert_serves_callers().await;
    eventually("cancellation", || {
        let recent = edge.history.recent(10);
        edge.dispatcher.open_streams.load(Ordering::SeqCst) == 0
            && recent
                .iter()
                .filter(|record| record.outcome == RequestOutcome::Cancelled)
                .count()
                == 2
    })
    .await;
    eventually("end of all requests", || edge.metrics.in_flight.get() == 0).await;
    edge.group.shutdown().await;
}

/// Guards against engines that continue a request after its caller closed the connection, in any state of the request.
#[tokio::test]
async fn closed_connections_cancel_requests() {
    let edge = EdgeFixture::open(tight_limits()).await;
    for (model, stream) in [("silent", true), ("silent", false), ("stuck", false)] {
        let before = edge.dispatcher.calls.load(Ordering::SeqCst);
        let mut connection = edge.connect().await;
        let body = chat_body(model, stream);
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.write_all(request.as_bytes()).await.unwrap();
        eventually("start", || {
            edge.dispatcher.calls.load(Ordering::SeqCst) > before
        })
        .await;
        drop(connection);
        eventually("cancellation", || edge.metrics.in_flight.get() == 0).await;
        assert_eq!(edge.dispatcher.open_streams.load(Ordering::SeqCst), 0);
        assert_eq!(edge.history.recent(1)[0].outcome, RequestOutcome::Cancelled);
    }
    edge.group.shutdown().await;
}

/// Guards against keys that are accepted from, or leak through, places that logs and caches record (G3).
#[tokio::test]
async fn keys_outside_the_authorization_header_are_refused() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let get = |target: &str, headers: &str| {
        format!("GET {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n")
    };
    let misplaced = [
        get("/v1/models?api_key=sk-secret", ""),
        get("/v1/models?a=1&API%5FKEY=sk-secret", ""),
        get("/seeds?key=sk-secret", ""),
        get("/seeds?access_token=sk-secret", ""),
        get("/seeds", "x-api-key: sk-secret\r\n"),
        get("/seeds", "api-key: sk-secret\r\n"),
        get("/seeds", "x-goog-api-key: sk-secret\r\n"),
        get(
            "/seeds",
            "authorization: Bearer sk-secret\r\nauthorization: Bearer sk-secret\r\n",
        ),
    ];
    for request in misplaced {
        let answer = edge.raw(request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{request}: {answer}");
        assert!(!answer.contains("sk-secret"), "{answer}");
    }
    for value in [
        "sk-secret",
        "Basic sk-secret",
        "Bearer ",
        "Bearer sk secret",
        "Bearer \u{e9}",
    ] {
        let answer = edge
            .raw(get("/seeds", &format!("authorization: {value}\r\n")).as_bytes())
            .await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{value}: {answer}");
        assert!(answer.contains("www-authenticate: Bearer"), "{answer}");
    }
    assert_eq!(edge.dispatcher.calls.load(Ordering::SeqCst), 0);
    let in_body = r#"{"model":"echo","messages":[{}],"api_key":"sk-secret"}"#;
    let answer = edge.chat(in_body, "").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(
        edge.dispatcher
            .last_model_call
            .lock()
            .unwrap()
            .as_ref()
            .unwrap()
            .key,
        None
    );
    let recent = serde_json::to_string(&edge.history.recent(100)).unwrap();
    assert!(!recent.contains("sk-secret"), "{recent}");
    edge.group.shutdown().await;
}

/// Guards against service calls that lose their path, headers or key, and against connection headers that are
/// forwarded.
#[tokio::test]
async fn service_calls_keep_path_headers_and_key() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let request = "PUT /seeds/7?lot=a%20b HTTP/1.1\r\nhost: x\r\nauthorization: Bearer sk-1\r\nidempotency-key: k-1\r\ncontent-length: 2\r\n\r\n{}";
    let mut stream = edge.connect().await;
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut answer))
        .await
        .unwrap()
        .unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]);
    assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
    assert!(answer.contains("x-from: service"), "{answer}");
    assert!(!answer.contains("connection: close"), "{answer}");
    let call = edge
        .dispatcher
        .last_service_call
        .lock()
        .unwrap()
        .take()
        .unwrap();
    assert_eq!(call.path, "/seeds/7?lot=a%20b");
    assert_eq!(call.key.as_deref(), Some("sk-1"));
    assert_eq!(call.idempotency_key.as_deref(), Some("k-1"));
    assert!(!call.headers.contains_key("authorization"));
    for path in [
        "/open/../closed",
        "/open/%2e%2e/closed",
        "/open/..%2fclosed",
        "/open/..%5Cclosed",
        "/./a",
    ] {
        let answer = edge
            .raw(format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes())
            .await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{path}: {answer}");
    }
    let answer = edge
        .raw(
            b"POST /conflict HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        )
        .await;
    assert!(answer.starts_with("HTTP/1.1 422"), "{answer}");
    let answer = edge
        .raw(b"GET /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .await;
    assert!(answer.starts_with("HTTP/1.1 405"), "{answer}");
    assert!(answer.contains("x-request-id"), "{answer}");
    edge.group.shutdown().await;
}

/// Guards against an unlimited number of requests: the one over the limit is refused, and its slot is released later.
#[tokio::test]
async fn requests_in_flight_are_bounded() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let body = chat_body("silent", true);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut open = Vec::new();
    for _ in 0..8 {
        let mut stream = edge.connect().await;
        stream.write_all(request.as_bytes()).await.unwrap();
        open.push(stream);
    }
    eventually("start", || {
        edge.dispatcher.calls.load(Ordering::SeqCst) == 8
    })
    .await;
    let answer = edge.chat(&chat_body("echo", false), "").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    assert!(
        answer.contains(r#""type":"overloaded","verdict":"not_run""#),
        "{answer}"
    );
    drop(open);
    eventually("release", || edge.metrics.in_flight.get() == 0).await;
    edge.assert_serves_callers().await;
    edge.group.shutdown().await;
}

/// Guards against a shutdown that interrupts requests or waits for idle callers, over HTTP/2 (G11).
#[tokio::test]
async fn drain_finishes_http2_requests() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let io = TokioIo::new(edge.connect().await);
    let (mut sender, connection) = hyper::client::conn::http2::handshake(TokioExecutor::new(), io)
        .await
        .unwrap();
    let connection = tokio::spawn(connection);
    let request = |model: &str, stream| {
        let body = Full::new(Bytes::from(chat_body(model, stream)));
        http::Request::post("http://x/v1/chat/completions")
            .body(body)
            .unwrap()
    };
    let whole = sender.send_request(request("echo", false)).await.unwrap();
    assert_eq!(whole.status(), 200);
    assert!(whole.headers().contains_key("x-request-id"));
    let mut body = sender
        .send_request(request("endless", true))
        .await
        .unwrap()
        .into_body();
    let idle = edge.connect().await;
    let mut drain = std::pin::pin!(edge.server.drain());
    for _ in 0..50 {
        tokio::select! {
            () = &mut drain => panic!("drained with a request in progress"),
            frame = body.frame() => assert!(frame.unwrap().unwrap().is_data()),
        }
    }
    drop(body);
    tokio::time::timeout(WAIT_TIMEOUT, drain)
        .await
        .expect("drain must end");
    tokio::time::timeout(WAIT_TIMEOUT, connection)
        .await
        .expect("GOAWAY must end the connection")
        .unwrap()
        .unwrap();
    drop(idle);
    assert!(
        tokio::net::TcpStream::connect(edge.server.address())
            .await
            .is_err()
    );
    edge.group.shutdown().await;
}

/// Guards against a shutdown that interrupts an HTTP/1.1 answer or waits for an idle connection that was used before.
#[tokio::test]
async fn drain_finishes_http1_requests() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let body = chat_body("echo", false);
    let request = |body: &str| {
        let length = body.len();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    };
    let mut idle = edge.connect().await;
    idle.write_all(request(&body).as_bytes()).await.unwrap();
    let mut buffer = vec![0; 64 << 10];
    assert!(idle.read(&mut buffer).await.unwrap() > 0);
    let mut busy = edge.connect().await;
    let endless = request(&chat_body("endless", true));
    busy.write_all(endless.as_bytes()).await.unwrap();
    let mut drain = std::pin::pin!(edge.server.drain());
    for _ in 0..50 {
        tokio::select! {
            () = &mut drain => panic!("drained with a request in progress"),
            read = busy.read(&mut buffer) => assert!(read.unwrap() > 0),
        }
    }
    assert_eq!(read_to_end(&mut idle).await, "");
    drop(busy);
    tokio::time::timeout(WAIT_TIMEOUT, drain)
        .await
        .expect("drain must end");
    edge.group.shutdown().await;
}

/// Checks that the server has reset a stream, and not closed its connection.
fn assert_reset(error: &hyper::Error) {
    let source = error.source().map(ToString::to_string);
    let source = source.unwrap_or_default();
    // RST_STREAM with CANCEL.
    assert!(source.contains("stream no longer needed"), "{source}");
}

/// Guards against a connection that is closed, with the other streams on it, because its caller has stopped reading one.
#[tokio::test]
async fn stalled_http2_stream_does_not_end_its_connection() {
    let limits = tight_limits();
    let until = Instant::now() + 5 * limits.write_time;
    let edge = EdgeFixture::open(limits).await;
    let io = TokioIo::new(edge.connect().await);
    let (mut sender, connection) = hyper::client::conn::http2::handshake(TokioExecutor::new(), io)
        .await
        .unwrap();
    tokio::spawn(connection);
    let request = |model: &str| {
        let body = Full::new(Bytes::from(chat_body(model, true)));
        http::Request::post("http://x/v1/chat/completions")
            .body(body)
            .unwrap()
    };
    let stalled = sender.send_request(request("endless")).await.unwrap();
    while Instant::now() < until {
        let answer = sender.send_request(request("echo")).await.unwrap();
        let body = answer.into_body().collect().await.unwrap().to_bytes();
        assert!(body.ends_with(b"data: [DONE]\n\n"));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let rest = stalled.into_body().collect();
    let rest = tokio::time::timeout(WAIT_TIMEOUT, rest).await.unwrap();
    assert_reset(&rest.unwrap_err());
    edge.group.shutdown().await;
}

/// Guards against an HTTP/2 stream whose caller stops reading: it must end without effect on other streams
/// of the same connection.
#[tokio::test]
async fn stalled_http2_stream_is_cancelled() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let io = TokioIo::new(edge.connect().await);
    let (mut sender, connection) = hyper::client::conn::http2::handshake(TokioExecutor::new(), io)
        .await
        .unwrap();
    tokio::spawn(connection);
    let request = |model: &str, stream| {
        let body = Full::new(Bytes::from(chat_body(model, stream)));
        http::Request::post("http://x/v1/chat/completions")
            .body(body)
            .unwrap()
    };
    let stalled = sender.send_request(request("endless", true)).await.unwrap();
    for _ in 0..20 {
        let answer = sender.send_request(request("echo", true)).await.unwrap();
        let body = answer.into_body().collect().await.unwrap().to_bytes();
        assert!(body.ends_with(b"data: [DONE]\n\n"));
    }
    eventually("cancellation", || edge.metrics.in_flight.get() == 0).await;
    assert_eq!(edge.dispatcher.open_streams.load(Ordering::SeqCst), 0);
    let recent = edge.history.recent(100);
    let cause = recent.last().unwrap().cause.clone().unwrap();
    assert!(cause.contains("stopped reading"), "{cause}");
    // The stream is reset soon after its cancellation. It ends incomplete, and its connection serves on.
    match stalled.into_body().collect().await {
        Ok(body) => assert!(!body.to_bytes().ends_with(b"data: [DONE]\n\n")),
        Err(error) => assert_reset(&error),
    }
    let answer = sender.send_request(request("echo", true)).await.unwrap();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    edge.group.shutdown().await;
}
