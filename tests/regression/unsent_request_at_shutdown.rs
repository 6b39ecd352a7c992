//! A daemon whose drain time ended closed the connections of requests that still waited for a server, instead of refusing
//! them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use foxtailhill_standins::unused_host;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::relay_support::{KEY, Script, ScriptedServer, WAIT_TIMEOUT, header, until, whole};

const HOST: &str = "desk.example";
/// Requests that a server of 4 slots gets from one daemon, which leaves room for those of others.
const SENT: usize = 3;
const WAITING: usize = 3;
const CLIENTS: usize = 8;
/// Time after its last byte within which a request may cross the close of its connection.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// A store that holds one configuration and some servers.
pub(super) struct TableStore {
    address: SocketAddr,
}

impl TableStore {
    async fn bind(group: &TaskGroup, server: &ScriptedServer) -> eyre::Result<Self> {
        Self::bind_with(group, std::slice::from_ref(server), 4).await
    }

    /// Starts a store whose servers have `slots` slots each.
    pub(super) async fn bind_with(
        group: &TaskGroup,
        servers: &[ScriptedServer],
        slots: u32,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let route = |name: &str, kind: &str| {
            json!({
                "name": name, "host": HOST, "path-prefix": format!("/{name}/"), "kind": kind,
                "timeout-ms": 20_000, "target-latency-ms": 100, "service": "desk",
            })
        };
        let config = json!({
            "version": 3,
            "routes": [route("check", "idempotent"), route("confirm", "non_idempotent")],
            "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
            "tenants": [{"name": "south", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}],
        });
        let record = |server: &ScriptedServer| {
            json!({
                "service": "desk", "address": server.address.to_string(), "zone": "north",
                "version": "v1", "slots": slots, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1
            })
        };
        let records = servers.iter().map(|server| (&*server.id, record(server)));
        let tables = Arc::new([
            ("keyed.op", page([("config", config)])),
            ("keyed.servers", page(records)),
        ]);
        let connections = group.clone();
        group.spawn_cancellable(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let tables = tables.clone();
                connections.spawn_cancellable(async move {
                    // A client may close its connection at any time.
                    let _ = serve_tables(stream, &*tables).await;
                });
            }
        });
        Ok(Self { address })
    }
}

fn page<'a>(records: impl IntoIterator<Item = (&'a str, Value)>) -> String {
    let records = records.into_iter().enumerate();
    let items = records.map(|(offset, (key, value))| {
        let value = STANDARD.encode(value.to_string());
        json!({"key": key, "value": value, "offset": offset})
    });
    let items: Vec<Value> = items.collect();
    json!({"items": items, "has-more": false, "end": items.len()}).to_string()
}

async fn serve_tables(mut stream: TcpStream, tables: &[(&str, String)]) -> eyre::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8(head)?;
        let length = header(&head, "content-length").map_or(Ok(0), |text| text.parse())?;
        stream.read_exact(&mut vec![0; length]).await?;
        let path = head.split(' ').nth(1).unwrap_or_default();
        let table = tables.iter().find(|(topic, _)| path.contains(topic));
        let body = if path.contains("log-newest") {
            let empty = json!({"items": [], "has-more": false, "end": 0}).to_string();
            table.map_or(empty, |(_, page)| page.clone()).into_bytes()
        } else if path.contains("log-read") {
            tokio::time::sleep(Duration::from_millis(300)).await;
            vec![0; 16]
        } else {
            b"{}".to_vec()
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await?;
    }
}

/// A daemon process, which is killed when it is dropped.
pub(super) struct DaemonProcess {
    child: Child,
    pub(super) caller: SocketAddr,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process has ended by itself unless the test fails.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl DaemonProcess {
    pub(super) async fn start(store: &TableStore, drain: &str) -> eyre::Result<Self> {
        let host = unused_host();
        let mut ports = Vec::new();
        for _ in 0..2 {
            ports.push(TcpListener::bind((host, 0)).await?);
        }
        let (caller, ready) = (ports[0].local_addr()?, ports[1].local_addr()?);
        drop(ports);
        let any = "127.0.0.1:0";
        let settings = json!({
            "vm": "entry-1", "zone": "north",
            "listen": {
                "caller": caller.to_string(), "ready": ready.to_string(),
                "peer": any, "pulse": any, "admin": any,
            },
            "store": {"address": store.address.to_string()},
            "timing": {"balancer_lag": "500ms", "drain": drain},
        });
        let name = format!("foxtailhill-shutdown-{caller}");
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, settings.to_string())?;
        let mut child = Command::new(env!("CARGO_BIN_EXE_foxtailhill"))
            .args(["serve", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()?;
        if let Some(output) = child.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    println!("{line}");
                }
            });
        }
        let daemon = Self { child, caller };
        let end = Instant::now() + WAIT_TIMEOUT;
        while !is_ready(ready).await {
            ensure!(Instant::now() < end, "the daemon did not become ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        std::fs::remove_file(&file)?;
        Ok(daemon)
    }

    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(super) fn terminate(&self) -> eyre::Result<()> {
        let command = format!("kill -TERM {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        ensure!(status.success(), "`{command}` failed");
        Ok(())
    }

    pub(super) async fn wait_exit(&mut self) -> eyre::Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait()? {
                ensure!(status.success(), "the daemon ended with {status}");
                return Ok(());
            }
            ensure!(Instant::now() < end, "the daemon did not end");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends the bytes of a request and returns a task that reads all bytes of the answer.
    async fn send(&self, request: &str) -> eyre::Result<tokio::task::JoinHandle<String>> {
        let mut stream = TcpStream::connect(self.caller).await?;
        stream.write_all(request.as_bytes()).await?;
        Ok(tokio::spawn(async move {
            let mut answer = Vec::new();
            // The bytes before a reset count.
            let _ = stream.read_to_end(&mut answer).await;
            String::from_utf8_lossy(&answer).into_owned()
        }))
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        std::io::Result::Ok(answer.starts_with("HTTP/1.1 200"))
    };
    asked.await.unwrap_or(false)
}

pub(super) fn call(path: &str, id: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 20000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Builds a call that may not be repeated, after which its connection is closed.
fn last_call(id: &str) -> String {
    call("/confirm/1", id, 0).replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

pub(super) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Guards against closing the connection of a request that waits, or whose answer has not begun, when the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_an_answer_get_one_before_the_process_ends() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let server = ScriptedServer::bind(&group, "i-0", [Script::Stall(String::new())]).await?;
    let store = TableStore::bind(&group, &server).await?;
    let mut daemon = DaemonProcess::start(&store, "1s").await?;
    let mut sent = Vec::new();
    for index in 0..SENT {
        sent.push(
            daemon
                .send(&call("/confirm/1", &format!("s{index}"), 0))
                .await?,
        );
    }
    until("the requests at the server", || {
        server.requests().len() == SENT
    })
    .await?;
    let mut unsent = Vec::new();
    for index in 0..WAITING {
        let path = ["/confirm/1", "/check/1"][index % 2];
        unsent.push(daemon.send(&call(path, &format!("w{index}"), 0)).await?);
    }
    unsent.push(
        daemon
            .send(&(call("/check/1", "part", 10) + "five."))
            .await?,
    );
    daemon.terminate()?;
    daemon.wait_exit().await?;
    for answer in unsent {
        let answer = answer.await?;
        ensure!(status(&answer) == "503", "not refused: {answer:?}");
        ensure!(header(&answer, "retry-after").is_some(), "{answer:?}");
    }
    for answer in sent {
        let answer = answer.await?;
        ensure!(status(&answer) == "502", "no answer: {answer:?}");
    }
    ensure!(
        server.requests().len() == SENT,
        "a refused request was sent"
    );
    group.shutdown().await;
    Ok(())
}

/// Guards against a request that is sent to a server although its answer would come after the end of the process, which
/// cuts it. How long answers take is known from earlier ones.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_answer_would_come_too_late_is_refused() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let answer = [
        (String::new(), Duration::from_millis(1_300)),
        (whole("200 OK", "done"), Duration::from_millis(50)),
    ];
    let server = ScriptedServer::bind(&group, "i-0", [Script::Paced(answer.into())]).await?;
    let store = TableStore::bind(&group, &server).await?;
    let mut daemon = DaemonProcess::start(&store, "1s").await?;
    for index in 0..2 {
        let answer = daemon.send(&last_call(&format!("s{index}"))).await?.await?;
        ensure!(status(&answer) == "200", "{answer:?}");
    }
    daemon.terminate()?;
    tokio::time::sleep(Duration::from_millis(350)).await;
    let late = daemon.send(&last_call("late")).await?.await?;
    ensure!(status(&late) == "503", "{late:?}");
    ensure!(header(&late, "retry-after").is_some(), "{late:?}");
    ensure!(server.requests().len() == 2, "a late request was sent");
    daemon.wait_exit().await?;
    group.shutdown().await;
    Ok(())
}

/// Guards against refusing requests from the signal on although their answers come long before the end.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_answer_comes_in_time_is_served_at_shutdown() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let answer = [
        (String::new(), Duration::from_millis(200)),
        (whole("200 OK", "done"), Duration::from_millis(50)),
    ];
    let server = ScriptedServer::bind(&group, "i-0", [Script::Paced(answer.into())]).await?;
    let store = TableStore::bind(&group, &server).await?;
    let mut daemon = DaemonProcess::start(&store, "9s").await?;
    for index in 0..3 {
        if index == 2 {
            daemon.terminate()?;
        }
        let answer = daemon.send(&last_call(&format!("s{index}"))).await?.await?;
        ensure!(status(&answer) == "200", "{answer:?}");
    }
    daemon.wait_exit().await?;
    group.shutdown().await;
    Ok(())
}

/// Sends requests on kept connections until none can be opened. Returns the ids of those that got no answer and crossed
/// the close of their connection.
async fn use_connections(
    caller: SocketAddr,
    client: usize,
    answered: Arc<AtomicUsize>,
) -> eyre::Result<Vec<String>> {
    let mut crossed = Vec::new();
    let mut number = 0;
    while let Ok(mut stream) = TcpStream::connect(caller).await {
        loop {
            number += 1;
            let id = format!("c{client}-{number}");
            if stream
                .write_all(call("/confirm/1", &id, 0).as_bytes())
                .await
                .is_err()
            {
                break;
            }
            let written = Instant::now();
            let Some(answer) = read_answer(&mut stream).await else {
                ensure!(
                    written.elapsed() < CROSSING_TIME,
                    "{id} was read and not answered"
                );
                crossed.push(id);
                break;
            };
            ensure!(
                ["200", "503"].contains(&status(&answer)),
                "{id}: {answer:?}"
            );
            answered.fetch_add(1, Ordering::Relaxed);
            // Odd clients use their connection on although they are asked not to.
            if client.is_multiple_of(2) && header(&answer, "connection").as_deref() == Some("close")
            {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5 + 3 * client as u64)).await;
        }
    }
    Ok(crossed)
}

/// Reads an answer with a length; `None` if the connection ends before it is complete.
async fn read_answer(stream: &mut TcpStream) -> Option<String> {
    let mut answer = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&answer);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length: usize = header(head, "content-length")?.parse().ok()?;
            if body.len() >= length {
                return Some(text.into_owned());
            }
        }
        if !matches!(stream.read_buf(&mut answer).await, Ok(1..)) {
            return None;
        }
    }
}

/// Guards against requests on open connections that are read and not answered while the process ends, also from callers
/// that go on although they are asked to use another connection.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_keep_their_connections_get_answers_until_the_process_is_gone()
-> eyre::Result<()> {
    let group = TaskGroup::new();
    let answer = Script::Answer(whole("200 OK", "done"));
    let server = ScriptedServer::bind(&group, "i-0", [answer]).await?;
    let store = TableStore::bind(&group, &server).await?;
    let mut daemon = DaemonProcess::start(&store, "1s").await?;
    let answered = Arc::<AtomicUsize>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| tokio::spawn(use_connections(daemon.caller, client, answered.clone())))
        .collect();
    until("answers", || {
        answered.load(Ordering::Relaxed) > 10 * CLIENTS
    })
    .await?;
    daemon.terminate()?;
    daemon.wait_exit().await?;
    let received = server.requests();
    for client in clients {
        for id in client.await?? {
            let ran = received
                .iter()
                .any(|text| header(text, "request-id").as_ref() == Some(&id));
            ensure!(!ran, "{id} was sent to a server and not answered");
        }
    }
    println!("{} answers", answered.load(Ordering::Relaxed));
    group.shutdown().await;
    Ok(())
}
