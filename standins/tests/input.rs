//! Malformed input to the stand-ins is refused and has no effect.

use std::time::Duration;

use foxtailhill_standins::client::JsonClient;
use foxtailhill_standins::{
    EngineOptions, EngineStandin, LogOptions, LogStandin, ServiceOptions, ServiceStandin,
    VmListOptions, VmListStandin,
};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards against malformed control calls and requests that take partial effect.
#[tokio::test]
async fn malformed_requests_are_refused() {
    let log = LogStandin::open(LogOptions::default()).await.unwrap();
    let vms = VmListStandin::open(VmListOptions::default()).await.unwrap();
    let engine = EngineStandin::open(EngineOptions::default()).await.unwrap();
    let service = ServiceStandin::open(ServiceOptions::default())
        .await
        .unwrap();
    let client = JsonClient::new(Duration::from_secs(10));
    let cases = [
        (Method::POST, log.address(), "/control", r#"{"outages": 1}"#),
        (Method::POST, log.address(), "/control", "{"),
        (Method::GET, log.address(), "/streams/config/records", ""),
        (
            Method::POST,
            vms.address(),
            "/control/vms",
            r#"{"name": "a"}"#,
        ),
        (Method::POST, engine.address(), "/v1/chat/completions", "{}"),
        (
            Method::POST,
            engine.address(),
            "/v1/chat/completions",
            "\u{0}",
        ),
        (
            Method::POST,
            engine.address(),
            "/orders",
            r#"{"fence": -1}"#,
        ),
        (
            Method::POST,
            engine.address(),
            "/control/faults",
            "\"none\"",
        ),
        (Method::GET, engine.address(), "/kv/unknown", ""),
        (Method::POST, service.address(), "/control/faults", "7"),
    ];
    for (method, server, path, body) in cases {
        let answer = client.send(method, server, path, body).await;
        let (status, _) = answer.expect("an answer");
        assert!(status.is_client_error(), "{path} {body}: {status}");
    }
    let oversized = vec![0; (1 << 20) + 1];
    let answer = client.send(Method::POST, log.address(), "/streams/a/records", oversized);
    // The connection may close before the whole record is written, so there may be no answer.
    if let Ok((status, _)) = answer.await {
        assert!(status.is_client_error(), "{status}");
    }
    assert!(log.records("a").1.is_empty());
    let journal = engine.journal();
    assert!(journal.runs.is_empty() && journal.orders.is_empty());
    assert!(service.executions().is_empty());
}

/// Guards against records and executions from truncated request bodies.
#[tokio::test]
async fn truncated_bodies_have_no_effect() {
    let log = LogStandin::open(LogOptions::default()).await.unwrap();
    let service = ServiceStandin::open(ServiceOptions::default())
        .await
        .unwrap();
    for (server, path) in [
        (log.address(), "/streams/a/records"),
        (service.address(), "/seats"),
    ] {
        let mut stream = TcpStream::connect(server).await.unwrap();
        let request = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf");
        stream.write_all(request.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut rest = Vec::new();
        // The server may answer with an error or reset the connection; both end the read.
        let _ = stream.read_to_end(&mut rest).await;
    }
    assert!(log.records("a").1.is_empty());
    assert!(service.executions().is_empty());
}
