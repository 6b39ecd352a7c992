//! Backend servers that note which requests they run, and that may crash.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use foxtailhill::kernel::TaskGroup;
use rand::Rng;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

pub const SLOTS: u32 = 4;
/// Times that answers take, in milliseconds.
const ANSWER_MS: Range<u64> = 10..900;

/// What all servers have done.
#[derive(Default)]
pub struct RunJournal {
    runs: Mutex<HashMap<String, u32>>,
    crashes: Mutex<Vec<Instant>>,
}

impl RunJournal {
    /// Returns how often a request has run.
    pub fn runs(&self, id: &str) -> u32 {
        lock(&self.runs).get(id).copied().unwrap_or(0)
    }

    /// Returns whether a server crashed between two times.
    pub fn has_crash(&self, from: Instant, to: Instant) -> bool {
        let crashes = lock(&self.crashes);
        crashes.iter().any(|at| (from..=to).contains(at))
    }
}

/// A running backend server.
pub struct SoakServer {
    pub id: String,
    pub address: SocketAddr,
    end: CancellationToken,
}

impl SoakServer {
    /// Binds a port and serves requests in `group`.
    pub async fn bind(
        group: &TaskGroup,
        id: String,
        journal: Arc<RunJournal>,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let end = CancellationToken::new();
        let (connections, ended, name) = (group.clone(), end.clone(), id.clone());
        group.spawn_cancellable(async move {
            while let Some(Ok((stream, _))) = ended.run_until_cancelled(listener.accept()).await {
                let (journal, name) = (journal.clone(), name.clone());
                let ended = ended.clone();
                connections.spawn_cancellable(async move {
                    // The peer, or the end of the server, ends the connection.
                    let _ = ended
                        .run_until_cancelled(serve(stream, &name, &journal))
                        .await;
                });
            }
        });
        Ok(Self { id, address, end })
    }

    /// Returns the server's record in the store.
    pub fn record(&self, state: &str, seq: u64) -> Vec<u8> {
        let record = json!({
            "service": "desk", "address": self.address.to_string(), "zone": "north", "version": "v1",
            "slots": SLOTS, "state": state, "cold-left-ms": 0, "seq": seq, "born": 1
        });
        record.to_string().into_bytes()
    }

    /// Ends the server with all its connections.
    pub fn crash(&self, journal: &RunJournal) {
        lock(&journal.crashes).push(Instant::now());
        self.end.cancel();
    }

    /// Ends a server that has left.
    pub fn stop(&self) {
        self.end.cancel();
    }
}

async fn serve(stream: TcpStream, server: &str, journal: &RunJournal) -> eyre::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            eyre::ensure!(stream.read_line(&mut head).await? > 0, "closed");
        }
        let length = header(&head, "content-length").map_or(Ok(0), str::parse)?;
        stream.read_exact(&mut vec![0; length]).await?;
        let id = header(&head, "request-id").unwrap_or_default();
        if header(&head, "expect-instance").is_some_and(|expected| expected != server) {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nInstance-Id: {server}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            stream.write_all(refusal.as_bytes()).await?;
            continue;
        }
        *lock(&journal.runs).entry(id.to_owned()).or_insert(0) += 1;
        let time = Duration::from_millis(rand::rng().random_range(ANSWER_MS));
        tokio::time::sleep(time).await;
        let body = answer_body(id);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {server}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Returns the body of the answer to a request.
pub fn answer_body(id: &str) -> String {
    format!("done {id};").repeat(40)
}

/// Returns the value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
