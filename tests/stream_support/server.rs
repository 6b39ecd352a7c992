//! Backend servers that answer with streams of events, each of which names the server's software version.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::store::SoakStore;

/// Id of the last event of a complete stream.
pub const LAST_EVENT: u64 = 50;
/// End of the paths whose streams consist of the last event only.
pub const SHORT_PATH_END: &str = "/short";
/// Time between two events.
const EVENT_PERIOD: Duration = Duration::from_millis(100);
/// Time between two writes of a server's record.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// More than the streams of a test, so that each server can take all of them.
const SLOTS: u32 = 64;
/// Start of the servers, in Unix milliseconds.
const FIRST_BORN_MS: u64 = 1_700_000_000_000;
/// Time between two starts of a server, in milliseconds.
const RESTART_MS: u64 = 60_000;
/// Service of all servers.
pub const SERVICE: &str = "scribe";
const TOPIC: &str = "keyed.servers";

#[derive(Default)]
struct ServerState {
    /// Number of times that each request has run.
    runs: HashMap<String, u32>,
    record_state: &'static str,
    seq: u64,
    is_full: bool,
}

/// A running server.
pub struct StreamServer {
    pub id: String,
    pub version: String,
    address: SocketAddr,
    /// Time of the server's start in Unix milliseconds.
    born: u64,
    end: CancellationToken,
    state: Mutex<ServerState>,
}

impl StreamServer {
    /// Binds a port, serves requests in `group` and keeps the server's record in the store.
    pub async fn bind(
        group: &TaskGroup,
        store: &SoakStore,
        id: String,
        version: &str,
    ) -> eyre::Result<Arc<Self>> {
        Self::bind_born(group, store, id, version, FIRST_BORN_MS).await
    }

    /// Starts a server that has ended again, under its id, with another version.
    pub async fn restart(
        &self,
        group: &TaskGroup,
        store: &SoakStore,
        version: &str,
    ) -> eyre::Result<Arc<Self>> {
        let born = self.born + RESTART_MS;
        Self::bind_born(group, store, self.id.clone(), version, born).await
    }

    async fn bind_born(
        group: &TaskGroup,
        store: &SoakStore,
        id: String,
        version: &str,
        born: u64,
    ) -> eyre::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Arc::new(Self {
            id,
            version: version.to_owned(),
            address: listener.local_addr()?,
            born,
            end: CancellationToken::new(),
            state: Mutex::new(ServerState {
                record_state: "ready",
                ..ServerState::default()
            }),
        });
        server.write_record(store);
        let (accepting, connections) = (server.clone(), group.clone());
        group.spawn_cancellable(async move {
            let end = accepting.end.clone();
            while let Some(Ok((stream, _))) = end.run_until_cancelled(listener.accept()).await {
                let server = accepting.clone();
                connections.spawn_cancellable(async move {
                    let end = server.end.clone();
                    // The peer, or the end of the server, ends the connection.
                    let _ = end.run_until_cancelled(server.serve(stream)).await;
                });
            }
        });
        let (writer, store) = (server.clone(), store.clone());
        group.spawn_cancellable(async move {
            let heartbeats = async {
                loop {
                    tokio::time::sleep(HEARTBEAT).await;
                    writer.write_record(&store);
                }
            };
            writer.end.run_until_cancelled(heartbeats).await;
        });
        Ok(server)
    }

    /// Returns how often a request has run.
    pub fn runs(&self, id: &str) -> u32 {
        self.state().runs.get(id).copied().unwrap_or(0)
    }

    /// Sets whether the server refuses all requests because it is full.
    pub fn set_full(&self, is_full: bool) {
        self.state().is_full = is_full;
    }

    /// Reports in the store that the server is leaving.
    pub fn drain(&self, store: &SoakStore) {
        self.state().record_state = "draining";
        self.write_record(store);
    }

    /// Ends the server with all its connections. Its record stays.
    pub fn crash(&self) {
        self.end.cancel();
    }

    /// Ends the server with all its connections and removes its record.
    pub fn leave(&self, store: &SoakStore) {
        self.crash();
        store.put(TOPIC, &self.id, b"");
    }

    fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_record(&self, store: &SoakStore) {
        let mut state = self.state();
        state.seq += 1;
        let record = json!({
            "service": SERVICE, "address": self.address.to_string(), "zone": "north", "version": self.version,
            "slots": SLOTS, "state": state.record_state, "cold-left-ms": 0, "seq": state.seq, "born": self.born
        });
        store.put(TOPIC, &self.id, record.to_string().as_bytes());
    }

    async fn serve(&self, stream: TcpStream) -> eyre::Result<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                ensure!(stream.read_line(&mut head).await? > 0, "closed");
            }
            let length = header(&head, "content-length").map_or(Ok(0), str::parse)?;
            stream.read_exact(&mut vec![0; length]).await?;
            self.answer(&mut stream, &head).await?;
        }
    }

    async fn answer(&self, stream: &mut BufReader<TcpStream>, head: &str) -> eyre::Result<()> {
        let (id, server) = (header(head, "request-id").unwrap_or_default(), &self.id);
        if header(head, "expect-instance").is_some_and(|expected| expected != server) {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nInstance-Id: {server}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return Ok(stream.write_all(refusal.as_bytes()).await?);
        }
        if head.starts_with("GET ") {
            let healthy =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {server}\r\nContent-Length: 0\r\n\r\n");
            return Ok(stream.write_all(healthy.as_bytes()).await?);
        }
        if self.state().is_full {
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return Ok(stream.write_all(refusal.as_bytes()).await?);
        }
        *self.state().runs.entry(id.to_owned()).or_insert(0) += 1;
        let path = head.split(' ').nth(1).unwrap_or_default();
        let last = match header(head, "last-event-id") {
            Some(last) => last.parse()?,
            None if path.ends_with(SHORT_PATH_END) => LAST_EVENT - 1,
            None => 0,
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {server}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await?;
        for event in last + 1..=LAST_EVENT {
            let event = format!("id: {event}\ndata: {}-{event}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            tokio::time::sleep(EVENT_PERIOD).await;
        }
        Ok(stream.write_all(b"0\r\n\r\n").await?)
    }
}

/// Returns the value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
