//! Admin server, request history and log lines.

#![allow(clippy::unwrap_used)]

mod edge;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use foxtailhill::admin::{AdminServer, AdminSources, StateDump, dump};
use foxtailhill::error::{Category, Error, Result};
use foxtailhill::history::{RequestHistory, RequestOutcome, RequestRecord, RequestStage};
use foxtailhill::logging;
use foxtailhill::settings::{LimitSettings, LogFormat, LogSettings};
use log::{Level, LevelFilter, Log, Record};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::edge::{EdgeFixture, read_to_end, tight_limits};

#[derive(Default)]
struct FakeState {
    ready: AtomicBool,
}

impl StateDump for FakeState {
    fn ready(&self) -> Result<()> {
        match self.ready.load(Ordering::SeqCst) {
            true => Ok(()),
            false => Err(Error::unavailable("config is not replayed yet")),
        }
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "vm": "entry-1",
            "teams": [{"name": "counter", "api_key": "sk-secret", "digest": "9f86"}],
            "nested": {"x-api-key": "sk-secret", "Authorization": "Bearer sk-secret", "key": {"name": "k1"}},
        })
    }
}

async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    read_to_end(&mut stream).await
}

/// Guards against keys in any admin answer, and against refusals whose cause cannot be looked up.
#[tokio::test]
async fn admin_answers_contain_causes_and_no_keys() {
    let edge = EdgeFixture::open(tight_limits()).await;
    let state = Arc::new(FakeState::default());
    let sources = AdminSources {
        state: state.clone(),
        metrics: edge.metrics.clone(),
        history: edge.history.clone(),
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let admin = AdminServer::bind(&edge.group, any, &LimitSettings::default(), sources)
        .await
        .unwrap();
    let address = admin.address();

    let key = "authorization: Bearer sk-secret\r\n";
    let refused = edge.chat(&edge::chat_body("limited", true), key).await;
    edge.chat(
        "{\"model\":\"echo\",\"messages\":[{}],\"class\":\"sk-secret\"}",
        key,
    )
    .await;
    edge.raw(b"GET /a?api_key=sk-secret HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .await;
    edge.raw(
        b"GET /b HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: sk-secret\r\n\r\n",
    )
    .await;
    edge.assert_serves_callers().await;

    assert!(get(address, "/livez").await.starts_with("HTTP/1.1 200"));
    let answer = get(address, "/readyz").await;
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("not replayed"),
        "{answer}"
    );
    state.ready.store(true, Ordering::SeqCst);
    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 200"));

    let id = refused
        .split("x-request-id: ")
        .nth(1)
        .unwrap()
        .split('\r')
        .next()
        .unwrap();
    let record = get(address, &format!("/requests/{id}")).await;
    for text in [
        "\"outcome\":\"failed\"",
        "rate is used up",
        "\"category\":\"rate_limited\"",
        "\"verdict\":\"not_run\"",
        "\"target\":\"limited\"",
        "\"stage\":\"receive\"",
    ] {
        assert!(record.contains(text), "{text}: {record}");
    }
    assert!(
        get(address, "/requests/unknown")
            .await
            .starts_with("HTTP/1.1 404")
    );
    let metrics = get(address, "/metrics").await;
    for text in [
        "foxtailhill_requests_total{route=\"model\",outcome=\"rate_limited\",verdict=\"not_run\"} 1",
        "foxtailhill_requests_total{route=\"model\",outcome=\"ok\",verdict=\"ran\"} 1",
        "foxtailhill_first_token_seconds_count 1",
        "foxtailhill_in_flight 0",
        "# EOF",
    ] {
        assert!(metrics.contains(text), "{text}: {metrics}");
    }
    let dumped = dump(address).await.unwrap();
    assert!(
        dumped.contains("\"digest\":\"9f86\"") && dumped.contains("\"key\":{\"name\":\"k1\"}"),
        "{dumped}"
    );
    for answer in [
        record,
        metrics,
        dumped,
        get(address, "/dump").await,
        get(address, "/requests").await,
    ] {
        assert!(!answer.contains("sk-secret"), "{answer}");
    }
    edge.group.shutdown().await;
    assert_eq!(
        dump(address).await.unwrap_err().category(),
        Category::Unavailable
    );
}

/// Guards against a history that grows without bound, answers with another request, or loses stage times.
#[test]
fn history_keeps_only_the_newest_requests() {
    let history = RequestHistory::new(2);
    for id in ["a", "b", "b", "c"] {
        history.begin(RequestRecord::new(id.into(), "/seeds?lot=7"));
        history.update(id, |record| {
            record.add_stage(RequestStage::Queue, Duration::from_millis(3))
        });
    }
    history.update("c", |record| {
        record.add_server("s1".into());
        record.fail(&Error::new(Category::Timeout, "queue is too long"));
    });
    assert_eq!(history.find("a"), None);
    let record = history.find("b").unwrap();
    assert_eq!(
        (record.target.as_str(), record.stages[0].micros),
        ("/seeds", 6_000)
    );
    let recent = history.recent(9);
    assert_eq!((recent.len(), recent[0].id.as_str()), (2, "c"));
    assert_eq!(recent[0].outcome, RequestOutcome::Failed);
    assert_eq!(recent[0].cause.as_deref(), Some("queue is too long"));
}

#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_log(log: &dyn Log, level: Level, target: &str, message: &str) {
    let arguments = format_args!("{message}");
    let record = Record::builder()
        .level(level)
        .target(target)
        .args(arguments)
        .build();
    if log.enabled(record.metadata()) {
        log.log(&record);
    }
}

/// Guards against log lines that are not one JSON object each, lack the request id, or ignore module levels.
#[tokio::test]
async fn log_lines_are_json_with_request_id() {
    let settings = LogSettings {
        level: LevelFilter::Info,
        modules: [("foxtailhill::watch".to_string(), LevelFilter::Debug)].into(),
        format: LogFormat::Json,
    };
    let output = SharedOutput::default();
    let (_, log) = logging::build_dispatch(&settings, Box::new(output.clone())).into_log();
    write_log(&*log, Level::Debug, "foxtailhill::http", "hidden");
    write_log(
        &*log,
        Level::Debug,
        "foxtailhill::watch",
        "two\nlines \"quoted\"",
    );
    logging::scope_request_id("r1".into(), async {
        write_log(&*log, Level::Warn, "foxtailhill::http", "late");
    })
    .await;
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert_eq!(lines[0]["message"], "two\nlines \"quoted\"");
    assert!(lines[0].get("request_id").is_none());
    assert_eq!(lines[1]["request_id"], "r1");
    assert_eq!(lines[1]["level"], "WARN");
    assert_eq!(lines[1]["module"], "foxtailhill::http");
    assert!(lines[1]["time"].as_str().unwrap().ends_with('Z'));
}
