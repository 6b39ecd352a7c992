//! The store lost records when it was restored and gave their offsets out again. A reader that went on at its offset
//! missed the records before it.

use std::collections::BTreeMap;
use std::future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use foxtailhill::Result;
use foxtailhill::ids::{LogOffset, StoreEra};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::platform::StoreClient;
use foxtailhill::relay::{
    FollowPace, KeyedRecord, RecordStore, StoreHealth, StoreTable, TableChange, TableRead,
    TableSink, follow_table,
};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Simulated time in which a follower has read the store several times.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const PACE: FollowPace = FollowPace {
    wait: Duration::from_millis(500),
    pause: Duration::from_millis(100),
};

/// In-memory store with one table, which can lose its newest records.
struct LossyStore {
    records: Mutex<Vec<KeyedRecord>>,
    era: Mutex<StoreEra>,
    length: watch::Sender<usize>,
}

impl LossyStore {
    fn new() -> Self {
        Self {
            records: Mutex::default(),
            era: Mutex::new(StoreEra(1)),
            length: watch::Sender::new(0),
        }
    }

    fn write(&self, key: &str, value: Option<&'static str>) {
        let mut records = self.records();
        let offset = LogOffset(records.len() as u64);
        records.push(KeyedRecord {
            key: key.into(),
            offset,
            value: value.map(|value| Bytes::from_static(value.as_bytes())),
        });
        self.length.send_replace(records.len());
    }

    /// Drops the records from `length` on and writes `later` instead, without a moment in which reads fail.
    fn restore(&self, length: usize, later: &[(&str, Option<&'static str>)]) {
        {
            let mut era = self.era.lock().unwrap_or_else(PoisonError::into_inner);
            era.0 += 1;
            self.records().truncate(length);
        }
        for (key, value) in later {
            self.write(key, *value);
        }
    }

    fn length(&self) -> usize {
        self.records().len()
    }

    fn records(&self) -> MutexGuard<'_, Vec<KeyedRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_from(&self, from: usize) -> TableRead {
        let records = self.records();
        TableRead {
            records: records[from..].to_vec(),
            next: LogOffset(records.len() as u64),
            era: *self.era.lock().unwrap_or_else(PoisonError::into_inner),
            ..TableRead::default()
        }
    }

    fn table(&self) -> BTreeMap<SmolStr, Bytes> {
        let mut table = BTreeMap::new();
        apply_records(&mut table, self.records().clone());
        table
    }
}

impl RecordStore for LossyStore {
    async fn newest(&self, _table: StoreTable) -> Result<TableRead> {
        let records = self.table().into_iter().map(|(key, value)| KeyedRecord {
            key,
            value: Some(value),
            offset: LogOffset(0),
        });
        Ok(TableRead {
            records: records.collect(),
            ..self.read_from(self.length())
        })
    }

    async fn read(
        &self,
        _table: StoreTable,
        from: LogOffset,
        wait: Duration,
    ) -> Result<Option<TableRead>> {
        let from = from.0 as usize;
        let mut length = self.length.subscribe();
        let _ = tokio::time::timeout(wait, length.wait_for(|length| *length != from)).await;
        let has_offset = from <= self.records().len();
        Ok(has_offset.then(|| self.read_from(from)))
    }

    async fn put(&self, _table: StoreTable, _key: &str, _value: Bytes) -> Result<()> {
        future::pending().await
    }
}

fn apply_records(table: &mut BTreeMap<SmolStr, Bytes>, records: Vec<KeyedRecord>) {
    for record in records {
        match record.value {
            Some(value) => table.insert(record.key, value),
            None => table.remove(&record.key),
        };
    }
}

/// A copy of the table.
#[derive(Default)]
struct TableMirror(Mutex<BTreeMap<SmolStr, Bytes>>);

impl TableMirror {
    fn table(&self) -> BTreeMap<SmolStr, Bytes> {
        let table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }
}

impl TableSink for TableMirror {
    fn apply(&self, change: TableChange) {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match change {
            TableChange::Snapshot(read) => {
                table.clear();
                apply_records(&mut table, read.records);
            }
            TableChange::Records(read) => apply_records(&mut table, read.records),
            TableChange::Unreachable => {}
        }
    }
}

/// Guards against records that are never seen, and against records that the store has lost and a reader still has,
/// wherever the reader's offset is in the restored store.
#[tokio::test(start_paused = true)]
async fn reader_sees_what_a_restored_store_has() {
    for lost in 1..=6 {
        for later in 0..=9 {
            let store = Arc::new(LossyStore::new());
            let keys: Vec<SmolStr> = (0..20).map(|index| format_smolstr!("s{index}")).collect();
            for key in &keys[..10] {
                store.write(key, Some("first"));
            }
            let mirror = Arc::<TableMirror>::default();
            let (_sender, reading) = watch::channel(true);
            let group = TaskGroup::new();
            group.spawn_cancellable(follow_table(
                store.clone(),
                StoreTable::Servers,
                PACE,
                mirror.clone(),
                reading,
                Arc::<StoreHealth>::default(),
            ));
            tokio::time::sleep(SETTLE_TIME).await;
            assert_eq!(mirror.table(), store.table());
            let rewritten: Vec<_> = keys[10..10 + later]
                .iter()
                .map(|key| (key.as_str(), Some("second")))
                .collect();
            store.restore(10 - lost, &rewritten);
            tokio::time::sleep(SETTLE_TIME).await;
            store.write("last", Some("third"));
            tokio::time::sleep(SETTLE_TIME).await;
            assert_eq!(
                mirror.table(),
                store.table(),
                "{lost} records lost, {later} written since"
            );
            group.cancel();
            group.shutdown().await;
        }
    }
}

/// Serves pages of newest records, each of which names the era that `era` gives for its number.
async fn serve_pages(listener: TcpListener, era: fn(usize) -> u64) {
    for page in 0.. {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        let mut request = vec![0; 4_096];
        let _ = stream.read(&mut request).await;
        let item =
            json!({"key": format!("s{page}"), "value": STANDARD.encode("x"), "offset": page});
        let body = json!({"items": [item], "has-more": page % 3 < 2, "end": 9}).to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nStore-Era: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            era(page),
            body.len()
        );
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Guards against a table that is put together from pages from before and after the store was restored.
#[tokio::test]
async fn pages_of_two_eras_are_no_table() -> eyre::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let store = StoreClient::open(listener.local_addr()?);
    let group = TaskGroup::new();
    group.spawn_cancellable(serve_pages(listener, |page| if page < 1 { 1 } else { 2 }));
    assert!(store.newest(StoreTable::Servers).await.is_err());
    group.shutdown().await;
    Ok(())
}
