//! Adapters against servers that violate the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use foxtailhill::engine::{EngineChunk, EngineClient, EngineRequest, HttpEngine};
use foxtailhill::ids::LogOffset;
use foxtailhill::inventory::{HttpVmList, HttpWeightStore, VmList, WeightStore};
use foxtailhill::journal::{HttpJournal, JournalClient, ReadBatch, StreamName};
use foxtailhill::{Category, Error, Result, RunVerdict};
use foxtailhill_standins::any_port;
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Answers each request on each connection with the same bytes, and closes after it if told so.
struct RawServer {
    address: SocketAddr,
    connections: Arc<AtomicU32>,
    requests: Arc<AtomicU32>,
}

impl RawServer {
    async fn open(answer: Vec<u8>, close: bool) -> Self {
        let listener = TcpListener::bind(any_port()).await.expect("bind");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(AtomicU32::new(0));
        let requests = Arc::new(AtomicU32::new(0));
        let server = Self {
            address,
            connections: connections.clone(),
            requests: requests.clone(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, answer.clone(), close, requests.clone()));
            }
        });
        server
    }
}

async fn serve(mut stream: TcpStream, answer: Vec<u8>, close: bool, requests: Arc<AtomicU32>) {
    let mut received = Vec::new();
    while let Ok(1..) = stream.read_buf(&mut received).await {
        let Some(length) = request_length(&received) else {
            continue;
        };
        if received.len() < length {
            continue;
        }
        received.drain(..length);
        requests.fetch_add(1, Ordering::SeqCst);
        if stream.write_all(&answer).await.is_err() || close {
            return;
        }
    }
}

fn request_length(received: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(received).to_lowercase();
    let head = text.find("\r\n\r\n")? + 4;
    let length = text[..head]
        .split_once("content-length: ")
        .and_then(|(_, rest)| rest.split_once("\r\n")?.0.parse::<usize>().ok());
    Some(head + length.unwrap_or(0))
}

fn http(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

fn truncated(body: &str) -> Vec<u8> {
    let length = body.len() + 100;
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

async fn append(address: SocketAddr) -> Result<LogOffset> {
    let journal = HttpJournal::open(address).with_timeout(Duration::from_secs(5));
    let record = Bytes::from_static(b"record");
    journal.append(StreamName::Claims, record).await
}

async fn read(body: &str) -> Result<ReadBatch> {
    let server = RawServer::open(http("200 OK", body), false).await;
    let journal = HttpJournal::open(server.address);
    journal
        .read(StreamName::Claims, LogOffset(3), 10, Duration::ZERO)
        .await
}

/// Guards against verdict `not_run` for an append with an unintelligible answer, and against a repeated append.
#[tokio::test]
async fn unclear_append_answers_have_verdict_may_have_run() {
    let refused = r#"{"error": {"message": "full"}}"#;
    let cases = [
        (http("200 OK", "{\"offset\":"), Category::Protocol),
        (http("200 OK", "{\"offset\": -1}"), Category::Protocol),
        (http("200 OK", ""), Category::Protocol),
        (http("500 Broken", "oops"), Category::Protocol),
        (http("503 Unavailable", "no json"), Category::Unavailable),
        (http("503 Unavailable", refused), Category::Unavailable),
        (truncated("{\"offset\": 1}"), Category::Protocol),
        (b"garbage\r\n\r\n".to_vec(), Category::Unavailable),
        (Vec::new(), Category::Unavailable),
    ];
    for (answer, category) in cases {
        let text = String::from_utf8_lossy(&answer).into_owned();
        let server = RawServer::open(answer, true).await;
        let error = append(server.address).await.expect_err(&text);
        assert_eq!(error.verdict(), RunVerdict::MayHaveRun, "{text}");
        assert_eq!(error.category(), category, "{text}");
        assert_eq!(server.requests.load(Ordering::SeqCst), 1, "{text}");
    }
}

/// Guards against verdict `may_have_run` for an append that the log states it refused.
#[tokio::test]
async fn explicit_refusals_have_verdict_not_run() {
    let body = r#"{"error": {"message": "full", "not_run": true}}"#;
    let server = RawServer::open(http("429 Too Many Requests", body), false).await;
    let error = append(server.address).await.unwrap_err();
    assert_eq!(error.verdict(), RunVerdict::NotRun);
    assert_eq!(error.category(), Category::Overloaded);
    assert_eq!(error.message(), "full");
}

/// Guards against batches whose records would be applied out of order, twice or not at all.
#[tokio::test]
async fn reads_with_gaps_or_bad_records_are_refused() {
    let record = |offset: u64| format!(r#"{{"offset": {offset}, "data": "AAE="}}"#);
    let batch = |first: u64, records: &[String]| {
        let records = records.join(",");
        format!(r#"{{"first": {first}, "next": 6, "records": [{records}]}}"#)
    };
    let whole = read(&batch(0, &[record(3), record(4)])).await.unwrap();
    assert_eq!(whole.records[1].offset, LogOffset(4));
    assert_eq!(&whole.records[0].data[..], [0, 1]);
    let retained = read(&batch(5, &[record(5)])).await.unwrap();
    assert_eq!(retained.bounds.first, LogOffset(5));
    let bad = [
        batch(0, &[record(3), record(5)]),
        batch(0, &[record(3), record(3)]),
        batch(0, &[record(4)]),
        batch(0, &[record(2)]),
        batch(5, &[record(5), record(6)]),
        batch(0, &[record(3).replace("AAE=", "A")]),
        "{}".to_owned(),
    ];
    for body in bad {
        let error = read(&body).await.expect_err(&body);
        assert_eq!(error.category(), Category::Protocol, "{body}");
        assert_eq!(error.verdict(), RunVerdict::NotRun, "{body}");
    }
}

/// Guards against opening a new connection for each call.
#[tokio::test]
async fn connections_are_reused() {
    let server = RawServer::open(http("200 OK", "[]"), false).await;
    let client = HttpVmList::open(server.address);
    for _ in 0..20 {
        assert!(client.list().await.unwrap().is_empty());
    }
    assert_eq!(server.requests.load(Ordering::SeqCst), 20);
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

/// Guards against panics on malformed answers, and against accepting them.
#[tokio::test]
async fn malformed_reports_are_refused() {
    for body in ["", "null", "{", "[{}]", "\"text\"", "\u{0}"] {
        let server = RawServer::open(http("200 OK", body), false).await;
        let engine = HttpEngine::default();
        let errors: [Error; 4] = [
            HttpVmList::open(server.address)
                .list()
                .await
                .expect_err(body),
            HttpWeightStore::open(server.address)
                .load()
                .await
                .expect_err(body),
            engine.load(server.address).await.expect_err(body),
            engine
                .cache_events(server.address, 0)
                .await
                .expect_err(body),
        ];
        for error in errors {
            assert_eq!(error.category(), Category::Protocol, "{body}");
            assert_eq!(error.verdict(), RunVerdict::NotRun, "{body}");
        }
    }
}

fn chunk(index: u32, finish: &str) -> String {
    format!(
        r#"data: {{"id":"r1","token_index":{index},"choices":[{{"delta":{{"content":"x"}},"finish_reason":{finish}}}]}}"#
    )
}

fn events(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}").into_bytes()
}

async fn tokens(body: &str) -> Vec<Result<EngineChunk>> {
    let server = RawServer::open(events(body), true).await;
    let request = EngineRequest {
        id: "r1".into(),
        model: "drafter".into(),
        version: "v1".into(),
        adapter: None,
        messages: Bytes::from_static(b"[]"),
        max_tokens: 10,
        priority: 0,
        resume: Vec::new(),
    };
    let tokens = HttpEngine::default()
        .complete(server.address, &request)
        .await;
    tokens.expect("a stream").collect().await
}

/// Guards against streams that count as complete without a last chunk, or that continue after an error.
#[tokio::test]
async fn malformed_streams_end_with_an_error() {
    let first = chunk(0, "null");
    let last = chunk(1, "\"stop\"");
    let comment = ": comment\r\nevent: token";
    let whole = format!("{comment}\r\n{first}\r\n\r\n{last}\n\ndata: [DONE]\n\n");
    let chunks = tokens(&whole).await;
    assert_eq!(chunks.len(), 2);
    assert!(chunks.iter().all(Result::is_ok));
    let long = "x".repeat(300 << 10);
    let bad = [
        format!("{first}\n\n"),
        format!("{first}\n\n{last}"),
        format!("{first}\n\ndata: [DONE]\n\n{last}\n\n"),
        format!("{first}\n\ndata: {{\"id\":\n\n{last}\n\n"),
        format!("{first}\n\ndata: {{\"error\":{{\"message\":\"died\"}}}}\n\n{last}\n\n"),
        format!("{first}\n\n{}\n\n{last}\n\n", chunk(1, "\"unknown\"")),
        format!("{first}\n\ndata: {long}"),
    ];
    for body in bad {
        let shown = &body[..body.len().min(300)];
        let chunks = tokens(&body).await;
        assert_eq!(chunks.len(), 2, "{shown}");
        assert!(chunks[0].is_ok(), "{shown}");
        let error = chunks[1].as_ref().unwrap_err();
        assert_eq!(error.verdict(), RunVerdict::MayHaveRun, "{shown}");
        assert_eq!(error.category(), Category::Protocol, "{shown}");
    }
}
