//! A plain service with repeatable and non-repeatable routes, and requests to it through daemon processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhill::kernel::TaskGroup;
use futures_util::future::try_join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::server::{RunJournal, SoakServer};
use crate::store::SoakStore;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-the-south";
/// Time between two writes of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Longest wait for an answer, longer than the route's.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Writes the configuration of the service `desk`.
pub fn put_config(store: &SoakStore) {
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

/// Starts `count` servers that write their records again and again, as long as `group` runs.
pub async fn spawn_servers(
    group: &TaskGroup,
    store: &SoakStore,
    count: usize,
) -> eyre::Result<Vec<Arc<SoakServer>>> {
    let journal = Arc::<RunJournal>::default();
    let mut servers = Vec::new();
    for number in 0..count {
        let server = SoakServer::bind(group, format!("i-{number}"), journal.clone()).await?;
        let server = Arc::new(server);
        store.put("keyed.servers", &server.id, &server.record("ready", 1));
        let (writer, written) = (server.clone(), store.clone());
        group.spawn_cancellable(async move {
            for seq in 2.. {
                tokio::time::sleep(HEARTBEAT).await;
                written.put("keyed.servers", &writer.id, &writer.record("ready", seq));
            }
        });
        servers.push(server);
    }
    Ok(servers)
}

/// Sends one request and returns the status of its answer.
pub async fn send(daemon: SocketAddr, route: &str, id: &str) -> eyre::Result<String> {
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

/// Sends `count` requests to each of `daemons`, one after the other, and returns the statuses of their answers.
pub async fn send_to_all(
    daemons: &[SocketAddr],
    step: &str,
    count: usize,
) -> eyre::Result<Vec<String>> {
    let rows = daemons
        .iter()
        .enumerate()
        .map(|(number, daemon)| async move {
            let mut statuses = Vec::new();
            for request in 0..count {
                let route = ["check", "confirm"][request % 2];
                statuses.push(send(*daemon, route, &format!("{step}-{number}-{request}")).await?);
            }
            eyre::Ok(statuses)
        });
    Ok(try_join_all(rows).await?.concat())
}
