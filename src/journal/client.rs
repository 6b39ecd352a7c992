//! HTTP adapter of the platform's log.
//!
//! `POST /streams/{name}/records` appends the raw body and answers `{"offset": n}`.
//! `GET /streams/{name}/records?from=&max=&wait_ms=` answers `{"first", "next", "records": [{"offset", "data"}]}`
//! with `data` in base64.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use serde::Deserialize;

use crate::error::{Result, RunVerdict};
use crate::ids::LogOffset;
use crate::journal::{JournalClient, LogRecord, ReadBatch, StreamBounds, StreamName};
use crate::wire::{self, HttpClient};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest answer to one read, in bytes on the wire.
const MAX_READ_BYTES: usize = 64 << 20;
const MAX_APPEND_ANSWER_BYTES: usize = 64 << 10;

/// Client of a log that speaks HTTP.
#[derive(Clone, Debug)]
pub struct HttpJournal {
    server: SocketAddr,
    client: HttpClient,
    timeout: Duration,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadAnswer {
    first: u64,
    next: u64,
    records: Vec<WireRecord>,
}

#[derive(Deserialize)]
struct WireRecord {
    offset: u64,
    data: String,
}

impl HttpJournal {
    /// Creates a client of the log at `server`; connections are opened on use.
    pub fn open(server: SocketAddr) -> Self {
        Self {
            server,
            client: HttpClient::open(CONNECT_TIMEOUT),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sets the timeout of appends; a read gets it in addition to its own wait.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Binds connections to the local address `local`.
    pub fn with_local_address(mut self, local: IpAddr) -> Self {
        self.client = HttpClient::open_from(CONNECT_TIMEOUT, local);
        self
    }

    /// Returns the address of the log.
    pub fn server(&self) -> SocketAddr {
        self.server
    }
}

impl JournalClient for HttpJournal {
    async fn append(&self, stream: StreamName, record: Bytes) -> Result<LogOffset> {
        let path = format!("/streams/{}/records", stream.as_str());
        let request = wire::request(self.server, Method::POST, &path, record)?;
        let answer = self
            .client
            .call(request, self.timeout, MAX_APPEND_ANSWER_BYTES)
            .await?;
        let answer: AppendAnswer = wire::decode(&answer)?;
        Ok(LogOffset(answer.offset))
    }

    async fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<ReadBatch> {
        let path = format!(
            "/streams/{}/records?from={from}&max={max}&wait_ms={}",
            stream.as_str(),
            wait.as_millis()
        );
        let request = wire::request(self.server, Method::GET, &path, Bytes::new())?;
        let answer = self
            .client
            .call(request, self.timeout + wait, MAX_READ_BYTES)
            .await
            .and_then(|answer| wire::decode(&answer))
            // A read has no side effects, whatever its outcome.
            .map_err(|error| error.with_verdict(RunVerdict::NotRun))?;
        decode_batch(answer, from).map_err(|error| error.with_verdict(RunVerdict::NotRun))
    }
}

fn decode_batch(answer: ReadAnswer, from: LogOffset) -> Result<ReadBatch> {
    let mut records = Vec::with_capacity(answer.records.len());
    let start = from.0.max(answer.first);
    for (expected, record) in (start..).zip(answer.records) {
        if record.offset != expected || record.offset >= answer.next {
            return Err(wire::protocol(format!(
                "log sent offset {} instead of {expected}; the stream ends at {}",
                record.offset, answer.next
            )));
        }
        let data = STANDARD.decode(&record.data).map_err(|error| {
            wire::protocol(format!("record {} is malformed: {error}", record.offset))
        })?;
        records.push(LogRecord {
            offset: LogOffset(record.offset),
            data: data.into(),
        });
    }
    Ok(ReadBatch {
        records,
        bounds: StreamBounds {
            first: LogOffset(answer.first),
            next: LogOffset(answer.next),
        },
    })
}
