//! Records of other programs in the store's topics, while daemons start and while they run.

#[path = "soak/daemon.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod daemon;
#[path = "soak/server.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod server;
#[path = "soak/store.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::daemon::SoakDaemon;
use crate::server::{RunJournal, SoakServer};
use crate::store::SoakStore;

const HOST: &str = "desk.example";
const KEY: &str = "key-of-the-south";
const DAEMONS: usize = 3;
/// Requests that each daemon gets in each step.
const REQUESTS: usize = 6;
/// Longest wait for an answer, longer than the route's.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a server that ends has closed its connections, and daemons have noticed.
const END_TIME: Duration = Duration::from_millis(500);
/// Route whose requests may be sent once.
const ONCE: &str = "check";
/// Route whose requests may be sent again.
const AGAIN: &str = "check-again";

/// Numbers that no field of a record can have.
const NUMBERS: [&str; 6] = [
    "1e22",
    "10000000000000000000000",
    "-1",
    "1e300",
    "1e400",
    "\"many\"",
];
/// Fields whose value is a number.
const FIELDS: [&str; 4] = ["cold-left-ms", "slots", "seq", "born"];

/// Returns the record of a server at which nothing listens, with the text of one field replaced.
fn foreign_server(field: &str, text: &str) -> String {
    let record = json!({
        "service": "desk", "address": "127.0.0.1:9", "zone": "north", "version": "v1", "slots": 4,
        "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1, "at-hand": {"in-memory": [], "on-disk": []}
    });
    let record = record.to_string();
    let old = format!("\"{field}\":{}", field_text(&record, field));
    assert!(record.contains(&old), "{field}");
    record.replace(&old, &format!("\"{field}\":{text}"))
}

fn field_text(record: &str, field: &str) -> String {
    let record: Value = serde_json::from_str(record).expect("a record");
    record[field].to_string()
}

/// Returns all odd records with their keys, which sort before and after those of the servers.
fn foreign_servers() -> Vec<(String, String)> {
    let mut records = Vec::new();
    for field in FIELDS {
        records.extend(NUMBERS.map(|number| (field, number)));
    }
    records.push(("slots", "0"));
    records.push(("slots", "4294967295"));
    records.push(("born", "18446744073709551615"));
    records.push(("seq", "18446744073709551615"));
    records.push(("at-hand", "7"));
    let records = records.into_iter().enumerate();
    let records = records.flat_map(|(number, (field, text))| {
        let record = foreign_server(field, text);
        ["a", "z"].map(|place| (format!("{place}-{number}"), record.clone()))
    });
    records.collect()
}

fn put_config(store: &SoakStore) {
    let route = |name: &str, max_attempts: u32| {
        json!({
            "name": name, "host": HOST, "path-prefix": format!("/{name}/"), "kind": "idempotent",
            "max-attempts": max_attempts, "timeout-ms": 6_000, "target-latency-ms": 400, "service": "desk",
        })
    };
    let config = json!({
        "version": 1,
        "routes": [route(ONCE, 1), route(AGAIN, 2)],
        "services": [{"name": "desk", "health-path": "/health", "max-conns": 100, "cold-per-s": 5.0}],
        "tenants": [{"name": "south", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}],
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Writes odd records into the other topics that daemons read.
fn put_into_other_topics(store: &SoakStore) {
    for (key, value) in [
        ("a-text", &b"{\"vm\": 1e400}"[..]),
        ("b-length", &[253, 255, 255, 255, 255, 255, 255, 255, 255]),
        ("c-short", &[1]),
    ] {
        store.put("keyed.daemons", key, value);
        store.put("keyed.op", key, value);
        store.put("keyed.planner", key, value);
    }
}

/// Sends one request and returns the status of its answer.
async fn send(daemon: SocketAddr, route: &str, id: &str) -> eyre::Result<String> {
    let sent = async {
        let mut stream = TcpStream::connect(daemon).await?;
        let request = format!(
            "GET /{route}/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
             Authorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        eyre::Ok(answer.split(' ').nth(1).unwrap_or("none").to_owned())
    };
    tokio::time::timeout(ANSWER_TIMEOUT, sent).await?
}

/// Sends requests to a daemon, one after the other, and returns the statuses of their answers.
async fn send_all(
    number: usize,
    daemon: SocketAddr,
    route: &str,
    step: &str,
) -> eyre::Result<Vec<String>> {
    let mut statuses = Vec::new();
    for request in 0..REQUESTS {
        let id = format!("{}-{number}-{request}", step.replace(' ', "-"));
        statuses.push(send(daemon, route, &id).await?);
    }
    Ok(statuses)
}

/// Sends requests to all daemons at once, and checks that each is served.
async fn check_served(daemons: &[SoakDaemon], route: &str, step: &str) -> eyre::Result<()> {
    let sent = daemons.iter().enumerate();
    let sent = sent.map(|(number, daemon)| send_all(number, daemon.caller, route, step));
    let statuses: Vec<Vec<String>> = futures_util::future::try_join_all(sent).await?;
    let statuses = statuses.concat();
    let served = statuses.iter().filter(|status| *status == "200").count();
    ensure!(
        served == statuses.len(),
        "{step}: {served} of {} requests were served: {statuses:?}",
        statuses.len()
    );
    Ok(())
}

async fn serve_beside_foreign_records(group: &TaskGroup) -> eyre::Result<()> {
    let store = SoakStore::bind(group).await?;
    let journal = Arc::<RunJournal>::default();
    put_config(&store);
    let mut servers = Vec::new();
    for number in 0..2 {
        let server = SoakServer::bind(group, format!("i-{number}"), journal.clone()).await?;
        store.put("keyed.servers", &server.id, &server.record("ready", 1));
        servers.push(server);
    }
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let mut daemon = SoakDaemon::prepare(&format!("entry-{number}"), store.address).await?;
        daemon.start().await?;
        daemons.push(daemon);
    }
    check_served(&daemons, ONCE, "before").await?;
    put_into_other_topics(&store);
    for (key, record) in foreign_servers() {
        store.put("keyed.servers", &key, record.as_bytes());
    }
    check_served(&daemons, ONCE, "while daemons run").await?;
    for daemon in &mut daemons {
        daemon.crash().await?;
    }
    check_served(&daemons, ONCE, "after a restart").await?;
    for (key, record) in foreign_servers() {
        store.put(
            "keyed.servers",
            &key,
            record.replace("ready", "draining").as_bytes(),
        );
    }
    // A leaving server must still be noticed: a reader that has ended would go on with the list that it had.
    store.put("keyed.servers", &servers[0].id, b"");
    servers[0].stop();
    // A request that reaches a server while it ends may have run.
    check_served(&daemons, AGAIN, "at a change of the list").await?;
    tokio::time::sleep(END_TIME).await;
    check_served(&daemons, ONCE, "after a change of the list").await
}

/// Guards against a record of another program, with a number that the daemons cannot compute with, that keeps them from
/// reading the records beside it.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_beside_foreign_records() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = serve_beside_foreign_records(&group).await;
    group.shutdown().await;
    result
}
