//! Callers that send one request after the other on kept connections, which they use until the daemon is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::ensure;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::server::{answer_body, header};

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-the-south";
/// Longest wait for an answer, longer than the route's.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Status, and whether the body is that of the request's own answer.
    Answered { status: String, is_own: bool },
    /// The connection ended before a whole answer.
    Cut,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub daemon: usize,
    pub is_repeatable: bool,
    pub sent: Instant,
    pub ended: Instant,
    pub end: RequestEnd,
}

/// Sends requests until `stop` is cancelled.
pub async fn run(
    client: usize,
    daemons: Arc<[SocketAddr]>,
    seed: u64,
    stop: CancellationToken,
) -> Vec<CallRecord> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    while !stop.is_cancelled() {
        let daemon = random.random_range(0..daemons.len());
        // A daemon that has ended refuses connections.
        let Ok(stream) = TcpStream::connect(daemons[daemon]).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let mut stream = BufReader::new(stream);
        while !stop.is_cancelled() {
            let is_repeatable = random.random_bool(0.5);
            let id = format!("c{client}-{}", calls.len());
            let path = if is_repeatable { "check" } else { "confirm" };
            let length = random.random_range(0..2_000);
            let request = format!(
                "POST /{path}/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\n\
                 Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n\r\n{}",
                "x".repeat(length)
            );
            let sent = Instant::now();
            let answered = async {
                stream.write_all(request.as_bytes()).await?;
                read_answer(&mut stream).await
            };
            let answered = tokio::time::timeout(ANSWER_TIMEOUT, answered).await;
            let (end, is_last, wait) = match answered {
                Ok(Ok((head, body))) => {
                    let status = head.split(' ').nth(1).unwrap_or_default().to_owned();
                    let is_last = header(&head, "connection") == Some("close");
                    let retry_after = header(&head, "retry-after");
                    let wait = retry_after
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0.0);
                    let is_own = body == answer_body(&id);
                    (RequestEnd::Answered { status, is_own }, is_last, wait)
                }
                Ok(Err(_)) | Err(_) => (RequestEnd::Cut, true, 0.0),
            };
            calls.push(CallRecord {
                id,
                daemon,
                is_repeatable,
                sent,
                ended: Instant::now(),
                end,
            });
            if is_last {
                break;
            }
            let pause = f64::min(wait, 1.0) + random.random_range(0.0..0.05);
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        }
    }
    calls
}

async fn read_answer(stream: &mut BufReader<TcpStream>) -> eyre::Result<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        ensure!(stream.read_line(&mut head).await? > 0, "no answer");
    }
    let length = header(&head, "content-length").map_or(Ok(0), str::parse)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok((head, String::from_utf8(body)?))
}
