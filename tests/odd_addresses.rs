//! Records of other programs at addresses where something else than a server listens, and under the ids of live servers.

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
use futures_util::future::try_join_all;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::daemon::SoakDaemon;
use crate::server::{RunJournal, SoakServer};
use crate::store::SoakStore;

const HOST: &str = "desk.example";
const KEY: &str = "key-of-the-south";
const DAEMONS: usize = 3;
const SERVERS: usize = 3;
/// Requests that each daemon gets in each step, in two rows.
const REQUESTS: usize = 20;
/// Time after a change of the list at which requests are sent.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time between two steps after one change.
const STEP_TIME: Duration = Duration::from_secs(10);
/// Time between two writes of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Longest wait for an answer, longer than the route's.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// What listens at an address that is not a server's.
#[derive(Clone, Copy)]
enum OddListener {
    Silent,
    Closing,
    OtherProtocol,
}

impl OddListener {
    /// Binds a port and accepts connections in `group`.
    async fn bind(self, group: &TaskGroup) -> eyre::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        group.spawn_cancellable(async move {
            let mut held = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                match self {
                    Self::Silent => held.push(stream),
                    Self::Closing => drop(stream),
                    Self::OtherProtocol => {
                        // The peer may have closed the connection.
                        let _ = stream.write_all(b"SSH-2.0-other\r\n").await;
                        held.push(stream);
                    }
                }
            }
        });
        Ok(address)
    }
}

/// Daemons and servers that write their records again and again.
struct OddFleet {
    store: SoakStore,
    journal: Arc<RunJournal>,
    servers: Vec<Arc<SoakServer>>,
    daemons: Vec<SoakDaemon>,
    /// Requests sent so far, which all must have run at most once if they cannot be repeated.
    steps: Vec<String>,
}

impl OddFleet {
    async fn spawn(group: &TaskGroup, name: &str) -> eyre::Result<Self> {
        let store = SoakStore::bind(group).await?;
        let journal = Arc::<RunJournal>::default();
        put_config(&store);
        let mut servers = Vec::new();
        for number in 0..SERVERS {
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
        let mut daemons = Vec::new();
        for number in 0..DAEMONS {
            let name = format!("{name}-{number}");
            let mut daemon = SoakDaemon::prepare(&name, store.address).await?;
            daemon.start().await?;
            daemons.push(daemon);
        }
        let steps = Vec::new();
        Ok(Self {
            store,
            journal,
            servers,
            daemons,
            steps,
        })
    }

    /// Sends requests to all daemons at once, and checks that each is served and that all daemons run.
    async fn check_served(&mut self, step: &str) -> eyre::Result<()> {
        let daemons = self.daemons.iter().enumerate();
        let rows = daemons.flat_map(|(number, daemon)| {
            [0, 1].map(|row| send_row(daemon.caller, format!("{step}-{number}-{row}")))
        });
        let statuses = try_join_all(rows).await?.concat();
        self.steps.push(step.to_owned());
        let served = statuses.iter().filter(|status| *status == "200").count();
        println!("{step}: {served} of {} were served", statuses.len());
        for daemon in &mut self.daemons {
            daemon.check_running()?;
        }
        ensure!(
            served == statuses.len(),
            "{step}: {served} of {} requests were served: {statuses:?}",
            statuses.len()
        );
        self.check_runs()
    }

    /// Checks that no request that cannot be repeated ran twice.
    fn check_runs(&self) -> eyre::Result<()> {
        for step in &self.steps {
            for (number, row) in (0..DAEMONS).flat_map(|number| [(number, 0), (number, 1)]) {
                for request in (0..REQUESTS / 2).filter(|request| request % 2 == 1) {
                    let id = format!("{step}-{number}-{row}-{request}");
                    ensure!(self.journal.runs(&id) <= 1, "{id} ran more than once");
                }
            }
        }
        Ok(())
    }

    async fn crash_daemons(&mut self) -> eyre::Result<()> {
        try_join_all(self.daemons.iter_mut().map(SoakDaemon::crash)).await?;
        Ok(())
    }
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
async fn send_row(daemon: SocketAddr, row: String) -> eyre::Result<Vec<String>> {
    let mut statuses = Vec::new();
    for request in 0..REQUESTS / 2 {
        let route = ["check", "confirm"][request % 2];
        statuses.push(send(daemon, route, &format!("{row}-{request}")).await?);
    }
    Ok(statuses)
}

/// Returns the record of a server with another address.
fn moved_record(server: &SoakServer, address: SocketAddr, born: usize) -> eyre::Result<Vec<u8>> {
    let mut record: Value = serde_json::from_slice(&server.record("ready", 1))?;
    record["address"] = json!(address.to_string());
    record["born"] = json!(born);
    Ok(record.to_string().into_bytes())
}

/// Runs daemons beside `count` records at `addresses` where something else listens.
async fn serve_beside(
    group: &TaskGroup,
    name: &str,
    odd: OddListener,
    count: usize,
    addresses: usize,
) -> eyre::Result<()> {
    let mut fleet = OddFleet::spawn(group, name).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_served("before").await?;
    let mut places = Vec::new();
    for _ in 0..addresses {
        places.push(odd.bind(group).await?);
    }
    for number in 0..count {
        // Keys before, between and behind those of the servers.
        let key = format!("{}-{number}", ["h", "i-0", "z"][number % 3]);
        let record = moved_record(&fleet.servers[0], places[number % addresses], number + 2)?;
        fleet.store.put("keyed.servers", &key, &record);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_served("running").await?;
    tokio::time::sleep(STEP_TIME).await;
    fleet.check_served("running-later").await?;
    fleet.crash_daemons().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_served("restarted").await?;
    tokio::time::sleep(STEP_TIME).await;
    fleet.check_served("restarted-later").await
}

async fn check_beside(odd: OddListener, count: usize, addresses: usize) -> eyre::Result<()> {
    let group = TaskGroup::new();
    let name = format!("odd-{count}-{addresses}");
    let result = serve_beside(&group, &name, odd, count, addresses).await;
    group.shutdown().await;
    result
}

/// Runs daemons while another program writes `record` under the ids of servers, which write their own again.
async fn serve_beneath(
    group: &TaskGroup,
    name: &str,
    record: impl Fn(&SoakServer) -> eyre::Result<Vec<u8>>,
) -> eyre::Result<()> {
    let mut fleet = OddFleet::spawn(group, name).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_served("before").await?;
    for server in &fleet.servers {
        fleet
            .store
            .put("keyed.servers", &server.id, &record(server)?);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_served("rewritten").await?;
    // One server at a time, so that the others hold.
    let server = fleet.servers[1].clone();
    let odd = record(&server)?;
    let store = fleet.store.clone();
    group.spawn_cancellable(async move {
        loop {
            store.put("keyed.servers", &server.id, &odd);
            tokio::time::sleep(HEARTBEAT).await;
        }
    });
    fleet.check_served("rewritten-again").await?;
    fleet.crash_daemons().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_served("restarted").await
}

async fn check_beneath(
    name: &str,
    record: impl Fn(&SoakServer) -> eyre::Result<Vec<u8>>,
) -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = serve_beneath(&group, name, record).await;
    group.shutdown().await;
    result
}

/// Guards against records at one address that accepts connections and never answers, which hold up requests.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_beside_records_at_a_silent_address() -> eyre::Result<()> {
    check_beside(OddListener::Silent, 20, 1).await
}

/// Guards against the same with an address for each record.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_beside_records_at_many_silent_addresses() -> eyre::Result<()> {
    check_beside(OddListener::Silent, 72, 72).await
}

/// Guards against records at addresses that close connections at once, which use up the attempts of requests.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_beside_records_at_addresses_that_close() -> eyre::Result<()> {
    check_beside(OddListener::Closing, 72, 72).await
}

/// Guards against records at addresses of another protocol, which use up the attempts of requests.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_beside_records_at_addresses_of_another_protocol() -> eyre::Result<()> {
    check_beside(OddListener::OtherProtocol, 72, 72).await
}

/// Guards against undecodable records under the ids of live servers, after which these stay unused.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_after_undecodable_records_under_the_ids_of_servers() -> eyre::Result<()> {
    check_beneath("beneath-cut", |server| {
        let mut record = server.record("ready", 1);
        record.truncate(record.len() / 2);
        Ok(record)
    })
    .await
}

/// Guards against records with another address and start under the ids of live servers, after which these stay unused.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_after_records_with_another_address_under_the_ids_of_servers()
-> eyre::Result<()> {
    let listener = TcpListener::bind((unused_host(), 0)).await?;
    let dead = listener.local_addr()?;
    drop(listener);
    check_beneath("beneath-moved", move |server| {
        moved_record(server, dead, 1 << 40)
    })
    .await
}
