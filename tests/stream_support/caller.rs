//! Callers that read streams event by event, and take them up again with another request.

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eyre::{OptionExt, ensure};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::stream_support::server::{LAST_EVENT, header};
use crate::stream_support::{HOST, KEY};

/// Time that the caller of a stream waits, over all its tries.
pub const STREAM_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for the head of an answer or for an event, longer than any deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

/// One request of a caller and what it received.
pub struct StreamTry {
    pub id: String,
    pub status: String,
    /// Ids and contents of the events.
    pub events: Vec<(u64, String)>,
    /// Whether the answer ended as a complete one.
    pub is_complete: bool,
    /// Time from the request to the head of its answer.
    pub head_time: Duration,
    connection: Option<BufReader<TcpStream>>,
    text: String,
}

impl StreamTry {
    /// Sends a request with additional header lines, and reads the head of its answer.
    async fn send(
        daemon: SocketAddr,
        path: &str,
        time_left: Duration,
        lines: &[u8],
    ) -> eyre::Result<Self> {
        let id = format!("call-{:012x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let sent = Instant::now();
        let mut request = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n",
            time_left.as_millis()
        )
        .into_bytes();
        request.extend_from_slice(lines);
        request.extend_from_slice(b"\r\n");
        let asked = async {
            let mut connection = BufReader::new(TcpStream::connect(daemon).await?);
            connection.write_all(&request).await?;
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                ensure!(connection.read_line(&mut head).await? > 0, "no answer");
            }
            eyre::Ok((connection, head))
        };
        let (connection, head) = tokio::time::timeout(READ_TIMEOUT, asked).await??;
        let status = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let is_stream = status == "200";
        ensure!(
            !is_stream || header(&head, "transfer-encoding") == Some("chunked"),
            "{head}"
        );
        Ok(Self {
            id,
            status,
            events: Vec::new(),
            is_complete: false,
            head_time: sent.elapsed(),
            connection: is_stream.then_some(connection),
            text: String::new(),
        })
    }

    /// Reads events up to the one with the id `last`, or until the answer ends.
    async fn read_to(&mut self, last: u64) -> eyre::Result<()> {
        while self.events.last().is_none_or(|(id, _)| *id < last) && self.connection.is_some() {
            self.read_chunk().await?;
        }
        Ok(())
    }

    /// Reads a chunk; drops the connection when the answer has ended.
    async fn read_chunk(&mut self) -> eyre::Result<()> {
        let Some(connection) = &mut self.connection else {
            return Ok(());
        };
        let chunk = tokio::time::timeout(READ_TIMEOUT, next_chunk(connection)).await?;
        // A closed or reset connection ends an answer that is not complete.
        let chunk = chunk.unwrap_or_default();
        self.is_complete = chunk.as_ref().is_some_and(Vec::is_empty);
        let Some(chunk) = chunk.filter(|chunk| !chunk.is_empty()) else {
            self.connection = None;
            return Ok(());
        };
        self.text.push_str(std::str::from_utf8(&chunk)?);
        while let Some((event, rest)) = self.text.split_once("\n\n") {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").ok_or_eyre("no id")?.parse()?;
            let data = field("data: ").ok_or_eyre("no data")?;
            self.events.push((id, data.to_owned()));
            self.text = rest.to_owned();
        }
        Ok(())
    }
}

/// Returns the next chunk, which is empty at the end of a complete answer, or `None` if the connection has ended.
async fn next_chunk(connection: &mut BufReader<TcpStream>) -> eyre::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if connection.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let length = usize::from_str_radix(line.trim(), 16)?;
    let mut chunk = vec![0; length + 2];
    connection.read_exact(&mut chunk).await?;
    chunk.truncate(length);
    Ok(Some(chunk))
}

/// What a try states of the stream that it takes up.
#[derive(Clone, Copy)]
pub enum Resumption<'a> {
    /// Names the request that brought the first event.
    First,
    /// Names no request.
    Unnamed,
    /// Has these header lines instead.
    Lines(&'a [u8]),
}

impl fmt::Display for Resumption<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::First => formatter.write_str("the first request"),
            Self::Unnamed => formatter.write_str("no request"),
            Self::Lines(lines) => write!(formatter, "{:?}", String::from_utf8_lossy(lines)),
        }
    }
}

/// A caller of one stream, over all its tries.
pub struct StreamCaller {
    begun: Instant,
    pub tries: Vec<StreamTry>,
}

impl StreamCaller {
    /// Begins a stream and reads its events up to `last`.
    pub async fn begin(daemon: SocketAddr, last: u64) -> eyre::Result<Self> {
        Self::begin_at(daemon, "/draft/1", last).await
    }

    /// Begins a stream at a path and reads its events up to `last`.
    pub async fn begin_at(daemon: SocketAddr, path: &str, last: u64) -> eyre::Result<Self> {
        let begun = Instant::now();
        let mut first = StreamTry::send(daemon, path, STREAM_TIMEOUT, b"").await?;
        first.read_to(last).await?;
        ensure!(
            first.events.last().is_some_and(|(id, _)| *id >= last),
            "{}: {:?}",
            first.status,
            first.events
        );
        Ok(Self {
            begun,
            tries: vec![first],
        })
    }

    /// Takes the stream up at a daemon and reads its events up to `last`, or until the answer ends.
    pub async fn resume(
        &mut self,
        daemon: SocketAddr,
        resumption: Resumption<'_>,
        last: u64,
    ) -> eyre::Result<()> {
        let first = self.tries.iter().find(|entry| !entry.events.is_empty());
        let first = first.ok_or_eyre("no events")?.id.clone();
        let last_event = self.last_event();
        let mut lines = format!("Last-Event-Id: {last_event}\r\n").into_bytes();
        match resumption {
            Resumption::First => {
                lines.extend_from_slice(format!("Resumes: {first}\r\n").as_bytes())
            }
            Resumption::Unnamed => {}
            Resumption::Lines(named) => lines.extend_from_slice(named),
        }
        let time_left = STREAM_TIMEOUT.saturating_sub(self.begun.elapsed());
        let mut next = StreamTry::send(daemon, "/draft/1", time_left, &lines).await?;
        next.read_to(last).await?;
        self.tries.push(next);
        Ok(())
    }

    /// Reads the events of the last try up to `last`, or until its answer ends.
    pub async fn read_to(&mut self, last: u64) -> eyre::Result<()> {
        match self.tries.last_mut() {
            Some(entry) => entry.read_to(last).await,
            None => Ok(()),
        }
    }

    /// Reads the events of the last try until its answer ends.
    pub async fn read_to_end(&mut self) -> eyre::Result<()> {
        self.read_to(u64::MAX).await
    }

    /// Closes the connection of the last try.
    pub fn hang_up(&mut self) {
        if let Some(last) = self.tries.last_mut() {
            last.connection = None;
        }
    }

    /// Returns the id of the last event.
    pub fn last_event(&self) -> u64 {
        let events = self.tries.iter().flat_map(|entry| &entry.events);
        events.last().map_or(0, |(id, _)| *id)
    }

    /// Returns the software version of the first event.
    pub fn version(&self) -> &str {
        let mut events = self.tries.iter().flat_map(|entry| &entry.events);
        let data = events.next().map_or("", |(_, data)| data);
        data.split_once('-').map_or(data, |(version, _)| version)
    }

    /// Checks that all events are of one software version and in order, and that no answer looks complete without the
    /// last event.
    pub fn check_events(&self) -> eyre::Result<()> {
        let events = self.tries.iter().flat_map(|entry| &entry.events);
        let versions: HashSet<&str> = events
            .clone()
            .map(|(_, data)| data.split_once('-').map_or(data.as_str(), |(name, _)| name))
            .collect();
        let last_ids: Vec<_> = self.tries.iter().map(|entry| entry.events.last()).collect();
        ensure!(
            versions.len() <= 1,
            "events of {versions:?} in one stream; last events of its tries: {last_ids:?}"
        );
        for ((id, data), expected) in events.zip(1..) {
            ensure!(
                *id == expected,
                "event {id}, {data}, in place of {expected}"
            );
        }
        let is_complete = self.tries.iter().any(|entry| entry.is_complete);
        ensure!(
            !is_complete || self.last_event() == LAST_EVENT,
            "complete after event {}",
            self.last_event()
        );
        Ok(())
    }

    /// Returns whether the last try has ended as a complete answer.
    pub fn is_complete(&self) -> bool {
        self.tries.last().is_some_and(|entry| entry.is_complete)
    }
}
