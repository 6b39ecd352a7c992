//! Records of other programs that have the form of a server's record, while daemons run and after a restart.

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
use foxtailhill_standins::unused_host;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::daemon::SoakDaemon;
use crate::server::{RunJournal, SoakServer};
use crate::store::SoakStore;

const HOST: &str = "desk.example";
const KEY: &str = "key-of-the-south";
const DAEMONS: usize = 3;
const SERVERS: usize = 3;
/// Requests that each daemon gets in each step.
const REQUESTS: usize = 20;
/// Time after a change of the list at which requests are sent.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Longest wait for an answer, longer than the route's.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a record that any server could have written. Only `note`, which no server writes, is odd.
fn believed_record(address: SocketAddr, number: usize) -> Vec<u8> {
    let record = json!({
        "service": "desk", "address": address.to_string(), "zone": "north", "version": "v1", "slots": server::SLOTS,
        "state": "ready", "cold-left-ms": 0, "seq": 1, "born": number + 2, "note": 0
    });
    let odd = format!("\"note\":{}", "9".repeat(15_000));
    record.to_string().replace("\"note\":0", &odd).into_bytes()
}

fn put_config(store: &SoakStore) {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "path-prefix": format!("/{name}/"), "kind": kind, "max-attempts": 2,
            "timeout-ms": 6_000, "target-latency-ms": 1_000, "service": "desk",
        })
    };
    let config = json!({
        "version": 1,
        "routes": [route("check", "idempotent"), route("confirm", "non_idempotent")],
        "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
        "tenants": [{"name": "south", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}],
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Sends one request and returns the status of its answer.
async fn send(daemon: SocketAddr, route: &str, id: &str) -> eyre::Result<String> {
    let sent = async {
        let mut stream = TcpStream::connect(daemon).await?;
        let request = format!(
            "POST /{route}/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
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
async fn send_all(number: usize, daemon: SocketAddr, step: &str) -> eyre::Result<Vec<String>> {
    let mut statuses = Vec::new();
    for request in 0..REQUESTS {
        let id = format!("{}-{number}-{request}", step.replace(' ', "-"));
        let route = ["check", "confirm"][request % 2];
        statuses.push(send(daemon, route, &id).await?);
    }
    Ok(statuses)
}

/// Sends requests to all daemons at once, and checks that each is served.
async fn check_served(daemons: &[SoakDaemon], step: &str) -> eyre::Result<()> {
    tokio::time::sleep(SETTLE_TIME).await;
    let sent = daemons.iter().enumerate();
    let sent = sent.map(|(number, daemon)| send_all(number, daemon.caller, step));
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

/// Runs daemons and servers beside `count` records whose addresses are chosen by `address` from those of the servers.
async fn serve_beside_records(
    group: &TaskGroup,
    count: usize,
    address: impl Fn(&[SocketAddr], usize) -> SocketAddr,
) -> eyre::Result<()> {
    let store = SoakStore::bind(group).await?;
    let journal = Arc::<RunJournal>::default();
    put_config(&store);
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = SoakServer::bind(group, format!("i-{number}"), journal.clone()).await?;
        store.put("keyed.servers", &server.id, &server.record("ready", 1));
        servers.push(server);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let mut daemon = SoakDaemon::prepare(&format!("entry-{number}"), store.address).await?;
        daemon.start().await?;
        daemons.push(daemon);
    }
    check_served(&daemons, "before").await?;
    for number in 0..count {
        // Keys before, between and behind those of the servers.
        let key = format!("{}-{number}", ["h", "i-0", "z"][number % 3]);
        let record = believed_record(address(&addresses, number), number);
        store.put("keyed.servers", &key, &record);
    }
    check_served(&daemons, "while daemons run").await?;
    for daemon in &mut daemons {
        daemon.crash().await?;
    }
    check_served(&daemons, "after a restart").await
}

async fn check_beside_records(
    count: usize,
    address: impl Fn(&[SocketAddr], usize) -> SocketAddr,
) -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = serve_beside_records(&group, count, address).await;
    group.shutdown().await;
    result
}

/// Guards against sound records of other programs, at the addresses of servers, that use up the attempts of all requests.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_beside_many_records_at_the_addresses_of_servers() -> eyre::Result<()> {
    check_beside_records(72, |servers, number| servers[number % servers.len()]).await
}

/// Guards against the same with few records.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_beside_few_records_at_the_addresses_of_servers() -> eyre::Result<()> {
    check_beside_records(7, |servers, number| servers[number % servers.len()]).await
}

/// Guards against sound records of other programs, at addresses where nobody listens, that use up the attempts of requests
/// after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_beside_many_records_at_dead_addresses() -> eyre::Result<()> {
    let mut dead = Vec::new();
    for _ in 0..130 {
        dead.push(TcpListener::bind((unused_host(), 0)).await?);
    }
    let addresses: Result<Vec<_>, _> = dead.iter().map(TcpListener::local_addr).collect();
    let addresses = addresses?;
    drop(dead);
    check_beside_records(130, move |_, number| addresses[number]).await
}
