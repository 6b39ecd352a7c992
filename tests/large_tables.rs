//! Lists of servers that are large because of records of other programs, read by daemons that start.

#[path = "soak/daemon.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod daemon;
#[path = "soak/server.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod server;
#[path = "soak/store.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod store;

use std::sync::Arc;

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::daemon::SoakDaemon;
use crate::server::{RunJournal, SoakServer};
use crate::store::SoakStore;

const HOST: &str = "desk.example";
const REQUESTS: usize = 10;
/// Largest record that the store takes, in bytes.
const RECORD_LIMIT: usize = 262_144;
/// Size of a large record in bytes.
const RECORD_SIZE: usize = 250_000;
/// Models of a large record.
const MODELS: usize = 4_900;
/// Memory of an entry VM.
const MEMORY_MB: usize = 260;

fn put_config(store: &SoakStore) {
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "check", "host": HOST, "path-prefix": "/check/", "kind": "idempotent", "max-attempts": 2,
            "timeout-ms": 6_000, "target-latency-ms": 1_000, "service": "desk",
        }],
        "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Returns a record that is no server's.
fn unreadable_record(_: &SoakServer) -> eyre::Result<Vec<u8>> {
    Ok(vec![b'x'; RECORD_SIZE])
}

/// Returns a server's record with as many models as fit.
fn record_of_many_models(server: &SoakServer) -> eyre::Result<Vec<u8>> {
    let mut record: Value = serde_json::from_slice(&server.record("ready", 1))?;
    let models = (0..MODELS)
        .map(|number| json!({"name": format!("model-{number}"), "version": 1, "adapters": []}));
    record["models"] = models.collect();
    Ok(record.to_string().into_bytes())
}

/// Starts a daemon beside `count` large records, and sends requests.
async fn serve_beside_large(
    group: &TaskGroup,
    count: usize,
    record: impl Fn(&SoakServer) -> eyre::Result<Vec<u8>>,
) -> eyre::Result<()> {
    let store = SoakStore::bind(group).await?;
    let journal = Arc::<RunJournal>::default();
    put_config(&store);
    let server = SoakServer::bind(group, "i-0".into(), journal).await?;
    store.put("keyed.servers", &server.id, &server.record("ready", 1));
    let large = record(&server)?;
    ensure!(large.len() < RECORD_LIMIT, "{} bytes", large.len());
    for number in 0..count {
        // Keys before and behind that of the server.
        let key = format!("{}-{number}", ["h", "z"][number % 2]);
        store.put("keyed.servers", &key, &large);
    }
    let mut daemon = SoakDaemon::prepare(&format!("large-{count}"), store.address).await?;
    daemon.limit_memory(MEMORY_MB)?;
    let started = daemon.start().await;
    let peak = daemon.peak_memory()?;
    println!(
        "{count} records: {} page reads, {peak} kB",
        store.page_reads()
    );
    started?;
    for number in 0..REQUESTS {
        let mut stream = TcpStream::connect(daemon.caller).await?;
        let request = format!(
            "GET /check/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: large-{number}\r\nDeadline-Ms: 6000\r\n\
             Connection: close\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        ensure!(
            answer.starts_with("HTTP/1.1 200"),
            "request {number}: {answer}"
        );
    }
    daemon.check_running()?;
    let peak = daemon.peak_memory()?;
    println!("{count} records: {peak} kB at the end");
    ensure!(
        peak < MEMORY_MB * 1_000,
        "{peak} kB were held of {MEMORY_MB} MB"
    );
    Ok(())
}

async fn check_beside_large(
    count: usize,
    record: impl Fn(&SoakServer) -> eyre::Result<Vec<u8>>,
) -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = serve_beside_large(&group, count, record).await;
    group.shutdown().await;
    result
}

/// Guards against a daemon that does not start beside a few large records of other programs.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_starts_beside_few_large_records() -> eyre::Result<()> {
    check_beside_large(40, unreadable_record).await
}

/// Guards against a daemon that never starts and reads the list without end, as the list has too many pages.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_starts_beside_a_list_of_very_many_pages() -> eyre::Result<()> {
    check_beside_large(200, unreadable_record).await
}

/// Guards against records of other programs that name very many models, which take more memory than the VM has.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_keeps_within_its_memory_beside_records_of_very_many_models() -> eyre::Result<()> {
    check_beside_large(150, record_of_many_models).await
}
