//! Client of the platform's store, a log with topics that keep the newest record of each key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::error::{Category, Error, Result, RunVerdict};
use crate::ids::{LogOffset, StoreEra, VmId};
use crate::platform::headers::STORE_ERA;
use crate::relay::{
    HeadLimit, KeyedRecord, LeaseRecord, LeaseState, LeaseStore, RecordStore, StoreTable,
    TableRead, WriteAnswer,
};
use crate::wire::{self, CallTimeouts, HttpAnswer, HttpClient};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of a call with a short answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Added to a read's wait for records to get the time limit of its headers, as the connection may be dead.
const READ_MARGIN: Duration = Duration::from_millis(600);
/// Maximum pause within an answer; a link that loses packets pauses for some hundred ms.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a read in addition to its wait, and of reading a whole table; a slow link takes seconds for a
/// configuration.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of pages of a table: more than a full store has, at 1 MB a page.
const MAX_PAGES: usize = 512;
/// Largest record of a table that servers and daemons write. Larger ones of other programs are not kept while the table is
/// read.
const MAX_RECORD_BYTES: usize = 64 << 10;
/// Maximum size of an answer in bytes. A page of newest records has at most 1 MB before it is encoded in base64; a read
/// returns at most [`MAX_KB`].
const ANSWER_LIMIT: usize = 4 << 20;
/// Topic of the planner's lease; [`LEASE_KEY`] is its only key.
const LEASE_TOPIC: &str = "keyed.planner";
const LEASE_KEY: &str = "lease";
/// Maximum size of the records that one read returns, in KB.
const MAX_KB: usize = 1_024;

/// Client of the store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: SocketAddr,
    client: HttpClient,
    /// Newest era that an answer has named, for log lines.
    newest_era: Arc<AtomicU64>,
    /// Time limit of the wait for the headers of a page or for the answer to a write.
    page_limit: Arc<HeadLimit>,
}

/// A page of newest records. Its items are decoded one by one, so that one that is malformed does not hide the others.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct NewestPage<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct NewestItem {
    key: SmolStr,
    /// Encoded in base64.
    value: Option<String>,
    offset: u64,
}

/// The part of an item from which reading goes on after it.
#[derive(Deserialize)]
struct ItemKey {
    key: SmolStr,
}

/// An item of a page that cannot be decoded.
struct OddItem {
    /// `None` if the item has no key that is text.
    key: Option<SmolStr>,
    error: Error,
}

/// A decoded page of newest records.
struct PageRead {
    records: Vec<std::result::Result<KeyedRecord, OddItem>>,
    /// The last key of the page, also if its record is malformed; `None` if no item has a key.
    last: Option<SmolStr>,
    has_more: bool,
    end: LogOffset,
    era: StoreEra,
}

impl StoreClient {
    /// Creates a client of the store at `address`; connections are opened on use.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::open(CONNECT_TIMEOUT),
            newest_era: Arc::default(),
            page_limit: Arc::default(),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeouts: impl Into<CallTimeouts>,
    ) -> Result<HttpAnswer> {
        let request = wire::request(self.address, method, path, body)?;
        let answer = self.client.call(request, timeouts, ANSWER_LIMIT).await?;
        let StoreEra(era) = store_era(&answer);
        let newest = self.newest_era.fetch_max(era, Ordering::Relaxed);
        if era > newest {
            log::info!("the store is in era {era} after {newest}");
        }
        match answer.status {
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::unavailable("the store is unavailable")),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::new(
                Category::Overloaded,
                "the store is overloaded and refused the call",
            )),
            _ => Ok(answer),
        }
    }

    /// Reads the page of newest records that follows the key `after`.
    async fn newest_page(&self, topic: &str, after: Option<&str>) -> Result<PageRead> {
        let mut path = format!("/api/log-newest?topic={topic}&part=0");
        if let Some(after) = after {
            path.push_str("&after=");
            path.extend(after.bytes().map(|byte| format!("%{byte:02X}")));
        }
        let limit = self.page_limit.current();
        let timeouts = long_answer(limit, Duration::ZERO);
        let asked_at = Instant::now();
        let answer = self
            .call(Method::GET, &path, Bytes::new(), timeouts)
            .await
            .inspect_err(|error| {
                if error.category() == Category::Timeout {
                    self.page_limit.note_late(limit);
                }
            })?;
        self.page_limit.note_answer(asked_at.elapsed());
        // Keys may be any bytes, also such that are no text.
        let text = String::from_utf8_lossy(&answer.body);
        let page: NewestPage<'_> = match answer.status {
            StatusCode::OK => serde_json::from_str(&text).map_err(|error| {
                Error::invalid(format!("a page of topic `{topic}` is malformed: {error}"))
            })?,
            status => return Err(unexpected_status(status)),
        };
        let keys = page.items.iter().rev();
        let mut keys = keys.filter_map(|item| serde_json::from_str::<ItemKey>(item.get()).ok());
        let last = keys.next().map(|item| item.key);
        let records = page.items.iter().map(|item| {
            decode_item(item.get()).map_err(|error| OddItem {
                key: text_key(item.get()),
                error,
            })
        });
        Ok(PageRead {
            records: records.collect(),
            last,
            has_more: page.has_more && !page.items.is_empty(),
            end: LogOffset(page.end),
            era: store_era(&answer),
        })
    }

    /// Reads all pages of newest records, and calls `on_malformed` for each record that is skipped, such as one of more than
    /// `max_bytes`.
    async fn newest_pages(
        &self,
        topic: &str,
        max_bytes: usize,
        on_malformed: impl Fn(&Error) + Send,
    ) -> Result<TableRead> {
        let mut read = TableRead::default();
        let mut after: Option<SmolStr> = None;
        for number in 0..MAX_PAGES {
            let page = self.newest_page(topic, after.as_deref()).await?;
            // Pages are not a snapshot: reading continues at the end that the first page gives, so that later writes
            // are read again.
            if number == 0 {
                read.next = page.end;
                read.era = page.era;
            } else if page.era != read.era {
                return Err(Error::unavailable(format!(
                    "the store was restored while topic `{topic}` was read"
                )));
            }
            for record in page.records {
                match record {
                    Ok(record) if record.value.as_ref().map_or(0, Bytes::len) > max_bytes => {
                        let length = record.value.map_or(0, |value| value.len());
                        let message = format!("record `{}` has {length} bytes", record.key);
                        on_malformed(&Error::invalid(message));
                        read.unreadable.push(record.key);
                    }
                    Ok(record) => read.records.push(record),
                    Err(odd) => {
                        on_malformed(&odd.error);
                        read.unreadable.extend(odd.key);
                    }
                }
            }
            if !page.has_more {
                return Ok(read);
            }
            if page.last.is_none() || page.last == after {
                return Err(Error::invalid(format!(
                    "a page of topic `{topic}` has no key to go on from"
                )));
            }
            after = page.last;
        }
        Err(Error::invalid(format!(
            "topic `{topic}` has more than {MAX_PAGES} pages"
        )))
    }
}

impl RecordStore for StoreClient {
    async fn newest(&self, table: StoreTable) -> Result<TableRead> {
        let topic = topic(table);
        let pages = self.newest_pages(topic, max_bytes(table), |error| {
            log::warn!("skipping a record of topic `{topic}`: {error}");
        });
        tokio::time::timeout(TRANSFER_TIMEOUT, pages)
            .await
            .unwrap_or_else(|_| Err(wire::timed_out("no whole table", TRANSFER_TIMEOUT)))
    }

    async fn read(
        &self,
        table: StoreTable,
        from: LogOffset,
        wait: Duration,
    ) -> Result<Option<TableRead>> {
        let path = format!(
            "/api/log-read?topic={}&part=0&from={from}&max-kb={MAX_KB}&wait-ms={}",
            topic(table),
            wait.as_millis()
        );
        let timeouts = long_answer(wait + READ_MARGIN, wait);
        let answer = self
            .call(Method::GET, &path, Bytes::new(), timeouts)
            .await?;
        match answer.status {
            StatusCode::OK => {
                let era = store_era(&answer);
                let read = decode_read(from, era, answer.body)?;
                Ok(Some(without_long_records(read, max_bytes(table))))
            }
            StatusCode::GONE => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    async fn put(&self, table: StoreTable, key: &str, value: Bytes) -> Result<()> {
        let path = format!("/api/log-append?topic={}&part=0", topic(table));
        let body = encode_record(key, &value)?;
        // A write is as slow as a read.
        let limit = self.page_limit.current();
        let answer = self.call(Method::POST, &path, body, limit).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(unexpected_status(status)),
        }
    }
}

/// JSON format of the lease in the store.
#[derive(Serialize, Deserialize)]
struct LeaseValue {
    holder: SmolStr,
    vm: VmId,
    fence: u64,
    released: bool,
}

impl LeaseStore for StoreClient {
    async fn read_lease(&self) -> Result<LeaseState> {
        // Records beside the lease do not matter, and are read again and again.
        let read = self
            .newest_pages(LEASE_TOPIC, MAX_RECORD_BYTES, |_| {})
            .await?;
        if read.unreadable.iter().any(|key| key == LEASE_KEY) {
            log::warn!("the record of the planner's lease cannot be read");
            return Ok(LeaseState {
                record: Some(LeaseRecord::of_unknown_holder()),
                next: read.next,
                era: read.era,
            });
        }
        let mut records = read.records.into_iter();
        let newest = records.find(|record| record.key == LEASE_KEY);
        let record = newest.and_then(|record| {
            let value = record.value?;
            let lease = decode_lease(&value, record.offset, read.era);
            Some(lease.unwrap_or_else(|error| {
                log::warn!("the record of the planner's lease names no holder: {error}");
                LeaseRecord::of_unknown_holder()
            }))
        });
        Ok(LeaseState {
            record,
            next: read.next,
            era: read.era,
        })
    }

    async fn write_lease(&self, at: LogOffset, record: &LeaseRecord) -> Result<WriteAnswer> {
        let value = LeaseValue {
            holder: record.holder.clone(),
            vm: record.vm,
            fence: record.fence,
            released: record.released,
        };
        let value = serde_json::to_vec(&value)
            .map_err(|error| Error::internal(format!("the lease cannot be encoded: {error}")))?;
        let path = format!("/api/log-append?topic={LEASE_TOPIC}&part=0&at={at}");
        let body = encode_record(LEASE_KEY, &value)?;
        let answer = self.call(Method::POST, &path, body, CALL_TIMEOUT).await?;
        let written = match answer.status {
            StatusCode::OK => true,
            // The log does not end at `at`: another daemon has written.
            StatusCode::PRECONDITION_FAILED => false,
            status => return Err(unexpected_status(status)),
        };
        Ok(WriteAnswer {
            written,
            era: store_era(&answer),
        })
    }
}

/// Returns the time limits of a call whose answer may be long. Its headers arrive within `head`, which includes up to
/// `wait` for new records.
fn long_answer(head: Duration, wait: Duration) -> CallTimeouts {
    CallTimeouts {
        head,
        idle: SILENCE_TIMEOUT,
        total: wait + TRANSFER_TIMEOUT,
    }
}

/// Returns the era of the store that sent `answer`.
fn store_era(answer: &HttpAnswer) -> StoreEra {
    let value = answer.headers.get(STORE_ERA);
    let era = value.and_then(|value| value.to_str().ok()?.parse().ok());
    StoreEra(era.unwrap_or(0))
}

fn topic(table: StoreTable) -> &'static str {
    match table {
        StoreTable::Configuration => "keyed.op",
        StoreTable::Servers => "keyed.servers",
        StoreTable::Daemons => "keyed.daemons",
    }
}

/// Returns the key of an item; `None` if it has none that is text.
fn text_key(item: &str) -> Option<SmolStr> {
    let ItemKey { key } = serde_json::from_str(item).ok()?;
    Some(key).filter(|key| !key.contains(char::REPLACEMENT_CHARACTER))
}

/// Returns the size of the largest record of a table, in bytes.
fn max_bytes(table: StoreTable) -> usize {
    match table {
        // The configuration has no bound of its own.
        StoreTable::Configuration => usize::MAX,
        StoreTable::Servers | StoreTable::Daemons => MAX_RECORD_BYTES,
    }
}

/// Counts the records that are longer than `max_bytes` as unreadable.
fn without_long_records(mut read: TableRead, max_bytes: usize) -> TableRead {
    let is_long = |record: &mut KeyedRecord| {
        let value = record.value.as_ref();
        value.is_some_and(|value| value.len() > max_bytes)
    };
    let long = read.records.extract_if(.., is_long);
    let keys: Vec<SmolStr> = long.map(|record| record.key).collect();
    read.unreadable.extend(keys);
    read
}

/// Decodes an item of a page.
///
/// # Errors
///
/// `Protocol` if a field is missing or malformed, or the key is no text.
fn decode_item(item: &str) -> Result<KeyedRecord> {
    let item: NewestItem = serde_json::from_str(item)
        .map_err(|error| wire::protocol(format!("an item of a page is malformed: {error}")))?;
    if item.key.contains(char::REPLACEMENT_CHARACTER) {
        return Err(wire::protocol(format!("key `{}` is no text", item.key)));
    }
    let value = item.value.map(|value| {
        STANDARD.decode(value).map(Bytes::from).map_err(|error| {
            wire::protocol(format!(
                "value of `{}` is not valid base64: {error}",
                item.key
            ))
        })
    });
    Ok(KeyedRecord {
        key: item.key,
        value: value.transpose()?.filter(|value| !value.is_empty()),
        offset: LogOffset(item.offset),
    })
}

/// Decodes the record of the lease that the store has at `offset` in `era`.
///
/// # Errors
///
/// `Protocol` if no daemon can have written it.
fn decode_lease(value: &[u8], offset: LogOffset, era: StoreEra) -> Result<LeaseRecord> {
    let value: LeaseValue = serde_json::from_slice(value).map_err(|error| {
        wire::protocol(format!("the record of the lease is malformed: {error}"))
    })?;
    let record = LeaseRecord {
        holder: value.holder,
        vm: value.vm,
        fence: value.fence,
        released: value.released,
    };
    record.check(offset, era)?;
    Ok(record)
}

/// Encodes a record: its length (`u32`, big-endian), the length of the key (`u8`), the key, the value.
fn encode_record(key: &str, value: &[u8]) -> Result<Bytes> {
    let key_length = u8::try_from(key.len())
        .map_err(|_| Error::invalid(format!("key `{key}` is longer than 255 bytes")))?;
    let length = u32::try_from(1 + key.len() + value.len())
        .map_err(|_| Error::invalid(format!("record of `{key}` is too long")))?;
    let mut record = BytesMut::with_capacity(4 + length as usize);
    record.put_u32(length);
    record.put_u8(key_length);
    record.put_slice(key.as_bytes());
    record.put_slice(value);
    Ok(record.freeze())
}

/// Decodes the answer of a read: the end and the first kept offset, then the records. A record whose key is not UTF-8
/// comes from another program and is skipped.
fn decode_read(from: LogOffset, era: StoreEra, mut body: Bytes) -> Result<TableRead> {
    let truncated = || Error::invalid("a read of the store ends too early");
    if body.len() < 16 {
        return Err(truncated());
    }
    let _end = body.get_u64();
    let _first = body.get_u64();
    let mut read = TableRead {
        next: from,
        era,
        ..TableRead::default()
    };
    while body.has_remaining() {
        if body.len() < 4 {
            return Err(truncated());
        }
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(truncated());
        }
        let mut record = body.split_to(length);
        let offset = read.next;
        read.next = offset.next();
        if record.is_empty() {
            continue;
        }
        let key_length = usize::from(record.get_u8());
        if record.len() < key_length {
            continue;
        }
        let key = record.split_to(key_length);
        let text = std::str::from_utf8(&key).ok();
        if let Some(key) = text.filter(|key| !key.contains(char::REPLACEMENT_CHARACTER)) {
            read.records.push(KeyedRecord {
                key: key.into(),
                value: Some(record).filter(|value| !value.is_empty()),
                offset,
            });
        }
    }
    Ok(read)
}

fn unexpected_status(status: StatusCode) -> Error {
    wire::protocol(format!("the store answered {status}")).with_verdict(RunVerdict::MayHaveRun)
}
