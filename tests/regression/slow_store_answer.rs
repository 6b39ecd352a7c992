//! Long answers of the platform's store were abandoned midway on a slow link and read again from the start, so that
//! they never arrived.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use eyre::{bail, ensure};
use foxtailhill::Result;
use foxtailhill::ids::LogOffset;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::platform::StoreClient;
use foxtailhill::relay::{
    FollowPace, RecordStore, StoreHealth, StoreTable, TableChange, TableRead, TableSink,
    follow_table,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// Limit of every wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of chunks of a slow answer, and the delay before each: 3 s in total, longer than any wait for a response head
/// in these tests.
const CHUNKS: usize = 15;
const CHUNK_DELAY: Duration = Duration::from_millis(200);
const VALUE: &[u8] = &[7; 3_000];
const PACE: FollowPace = FollowPace {
    wait: Duration::from_millis(500),
    pause: Duration::ZERO,
};

/// How the body of an answer is sent.
#[derive(Clone, Copy, Debug)]
enum BodyPace {
    AtOnce,
    Slow,
    /// The first half is sent, then nothing; the connection stays open.
    SilentMidway,
    /// An endless body, sent slowly.
    Trickle,
    /// An endless body, sent as fast as the client reads.
    Flood,
}

/// Returns the answer to a request from its path and the number of earlier requests.
type StoreScript = fn(&str, usize) -> (Bytes, BodyPace);

/// Stand-in for the store.
struct ScriptedStore {
    address: SocketAddr,
    paths: Arc<Mutex<Vec<String>>>,
    group: TaskGroup,
}

impl ScriptedStore {
    async fn bind(script: StoreScript) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let paths = Arc::<Mutex<Vec<String>>>::default();
        let group = TaskGroup::new();
        let (seen, connections) = (paths.clone(), group.clone());
        group.spawn_cancellable(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let seen = seen.clone();
                connections.spawn_cancellable(async move {
                    // A client may close its connection at any time.
                    let _ = serve(stream, &seen, script).await;
                });
            }
        });
        Ok(Self {
            address,
            paths,
            group,
        })
    }

    fn client(&self) -> StoreClient {
        StoreClient::open(self.address)
    }

    fn requests(&self, call: &str) -> usize {
        let paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        paths.iter().filter(|path| path.contains(call)).count()
    }
}

async fn serve(
    mut stream: TcpStream,
    paths: &Mutex<Vec<String>>,
    script: StoreScript,
) -> eyre::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8(head)?;
        let path = head.split(' ').nth(1).unwrap_or_default();
        let earlier = {
            let mut paths = paths.lock().unwrap_or_else(PoisonError::into_inner);
            paths.push(path.to_owned());
            paths.len() - 1
        };
        let (body, pace) = script(path, earlier);
        let length = match pace {
            BodyPace::Trickle => 1_000_000,
            BodyPace::Flood => u64::MAX / 2,
            _ => body.len() as u64,
        };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        match pace {
            BodyPace::AtOnce => stream.write_all(&body).await?,
            BodyPace::Slow => {
                for piece in body.chunks(body.len().div_ceil(CHUNKS)) {
                    tokio::time::sleep(CHUNK_DELAY).await;
                    stream.write_all(piece).await?;
                }
            }
            BodyPace::SilentMidway => {
                stream.write_all(&body[..body.len() / 2]).await?;
                std::future::pending::<()>().await;
            }
            BodyPace::Trickle => loop {
                stream.write_all(b" ").await?;
                tokio::time::sleep(CHUNK_DELAY).await;
            },
            BodyPace::Flood => loop {
                stream.write_all(&[b' '; 4_096]).await?;
            },
        }
    }
}

fn newest_page(has_more: bool) -> Bytes {
    let page = json!({
        "items": [{"key": "config", "value": STANDARD.encode(VALUE), "offset": 4}],
        "has-more": has_more,
        "end": 5,
    });
    page.to_string().into()
}

fn read_answer() -> Bytes {
    let key = b"config";
    let length = 1 + key.len() + VALUE.len();
    let mut body = vec![0; 16];
    body.extend_from_slice(&u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes());
    body.push(key.len() as u8);
    body.extend_from_slice(key);
    body.extend_from_slice(VALUE);
    body.into()
}

fn answer(path: &str) -> Bytes {
    match path.contains("log-newest") {
        true => newest_page(false),
        false => read_answer(),
    }
}

/// Calls `newest` and `read` on a store that answers by `script`, and checks that both succeed if `whole` is true and
/// both fail otherwise.
async fn check_both(script: StoreScript, whole: bool) -> eyre::Result<()> {
    let store = ScriptedStore::bind(script).await?;
    let table = StoreTable::Configuration;
    let (newest, read) = (store.client(), store.client());
    let calls = async {
        tokio::join!(
            newest.newest(table),
            read.read(table, LogOffset(5), Duration::ZERO)
        )
    };
    let (newest, read) = timeout(WAIT_TIMEOUT, calls).await?;
    if whole {
        let (newest, read) = (newest?, read?);
        let values = [Some(newest), read].map(|read| {
            let mut records = read.into_iter().flat_map(|read| read.records);
            records.next().and_then(|record| record.value)
        });
        ensure!(values.iter().all(|value| value.as_deref() == Some(VALUE)));
    } else {
        ensure!(newest.is_err(), "{newest:?}");
        ensure!(read.is_err(), "{read:?}");
    }
    store.group.shutdown().await;
    Ok(())
}

/// Guards against an answer that is abandoned while its bytes keep arriving.
#[tokio::test]
async fn slow_answer_of_the_store_arrives() -> eyre::Result<()> {
    check_both(|path, _| (answer(path), BodyPace::Slow), true).await
}

/// Guards against a reader that waits on a stalled connection as long as on one that still delivers bytes.
#[tokio::test]
async fn stalled_answer_times_out() -> eyre::Result<()> {
    let several_slow = async {
        for _ in 0..3 {
            check_both(|path, _| (answer(path), BodyPace::Slow), true).await?;
        }
        bail!("three slow answers arrived before a silent one was given up")
    };
    tokio::select! {
        silent = check_both(|path, _| (answer(path), BodyPace::SilentMidway), false) => silent,
        slow = several_slow => slow,
    }
}

/// Guards against an endless answer that blocks a reader forever or exhausts its memory.
#[tokio::test]
async fn endless_answers_are_abandoned() -> eyre::Result<()> {
    let trickle = check_both(|path, _| (answer(path), BodyPace::Trickle), false);
    let flood = check_both(|path, _| (answer(path), BodyPace::Flood), false);
    let (trickle, flood) = tokio::join!(trickle, flood);
    trickle.and(flood)
}

/// Guards against a table whose pages never end.
#[tokio::test]
async fn endless_pages_are_abandoned() -> eyre::Result<()> {
    let store = ScriptedStore::bind(|_, _| (newest_page(true), BodyPace::AtOnce)).await?;
    let client = store.client();
    let newest = timeout(WAIT_TIMEOUT, client.newest(StoreTable::Servers)).await?;
    ensure!(newest.is_err(), "endless pages are accepted as a table");
    store.group.shutdown().await;
    Ok(())
}

/// Records the changes that a follower applies.
#[derive(Default)]
struct ChangeLog {
    changes: Mutex<Vec<TableChange>>,
}

impl ChangeLog {
    fn count(&self, is_kind: fn(&TableChange) -> bool) -> usize {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.iter().filter(|change| is_kind(change)).count()
    }

    async fn wait_for(&self, is_kind: fn(&TableChange) -> bool) -> eyre::Result<()> {
        let bound = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while self.count(is_kind) == 0 {
            if tokio::time::Instant::now() > bound {
                let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
                bail!("only {} changes arrived", changes.len());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }
}

impl TableSink for ChangeLog {
    fn apply(&self, change: TableChange) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push(change);
    }
}

fn is_snapshot(change: &TableChange) -> bool {
    matches!(change, TableChange::Snapshot(_))
}

fn is_records(change: &TableChange) -> bool {
    matches!(change, TableChange::Records(_))
}

fn is_unreachable(change: &TableChange) -> bool {
    matches!(change, TableChange::Unreachable)
}

/// Follows a table of `store` in a task of its group. The caller must keep the returned sender.
fn spawn_follower(store: &ScriptedStore) -> (Arc<ChangeLog>, watch::Sender<bool>) {
    let changes = Arc::<ChangeLog>::default();
    let (sender, reading) = watch::channel(true);
    store.group.spawn_cancellable(follow_table(
        Arc::new(store.client()),
        StoreTable::Configuration,
        PACE,
        changes.clone(),
        reading,
        Arc::<StoreHealth>::default(),
    ));
    (changes, sender)
}

/// Guards against a table that is read repeatedly from the start on a slow link.
#[tokio::test]
async fn slow_table_is_read_once() -> eyre::Result<()> {
    let script: StoreScript = |path, _| (answer(path), BodyPace::Slow);
    let store = ScriptedStore::bind(script).await?;
    let (changes, _reading) = spawn_follower(&store);
    changes.wait_for(is_snapshot).await?;
    ensure!(store.requests("log-newest") == 1);
    changes.wait_for(is_records).await?;
    ensure!(store.requests("from=5&") == 1);
    // Until a slow answer is complete, the table must count as unreachable, so that no record is taken for removed.
    ensure!(changes.count(is_unreachable) > 0);
    store.group.shutdown().await;
    Ok(())
}

/// Guards against a follower that waits forever on a stalled connection.
#[tokio::test]
async fn stalled_read_is_retried() -> eyre::Result<()> {
    let store = ScriptedStore::bind(|path, earlier| {
        let pace = match earlier {
            0 | 2 => BodyPace::SilentMidway,
            _ => BodyPace::AtOnce,
        };
        (answer(path), pace)
    })
    .await?;
    let (changes, _reading) = spawn_follower(&store);
    changes.wait_for(is_snapshot).await?;
    ensure!(changes.count(is_unreachable) > 0);
    changes.wait_for(is_records).await?;
    ensure!(store.requests("log-newest") == 2);
    ensure!(store.requests("from=5&") == 2);
    store.group.shutdown().await;
    Ok(())
}

/// In-memory store whose read of a snapshot completes when the test releases it.
#[derive(Default)]
struct BlockedStore {
    released: Notify,
    finished: AtomicBool,
}

impl RecordStore for BlockedStore {
    async fn newest(&self, _table: StoreTable) -> Result<TableRead> {
        self.released.notified().await;
        self.finished.store(true, Ordering::Relaxed);
        Ok(TableRead::default())
    }

    async fn read(
        &self,
        _table: StoreTable,
        _from: LogOffset,
        _wait: Duration,
    ) -> Result<Option<TableRead>> {
        std::future::pending().await
    }

    async fn put(&self, _table: StoreTable, _key: &str, _value: Bytes) -> Result<()> {
        Ok(())
    }
}

/// Guards against a late snapshot that replaces the newer one that a daemon has copied since it ceased to read the
/// store. Both run on one thread, so the follower handles the result of the read before the test continues.
#[tokio::test(flavor = "current_thread")]
async fn late_snapshot_of_a_former_reader_is_dropped() -> eyre::Result<()> {
    for (table, applied) in [(StoreTable::Servers, 0), (StoreTable::Configuration, 1)] {
        let store = Arc::<BlockedStore>::default();
        let changes = Arc::<ChangeLog>::default();
        let (sender, reading) = watch::channel(true);
        let group = TaskGroup::new();
        group.spawn_cancellable(follow_table(
            store.clone(),
            table,
            PACE,
            changes.clone(),
            reading,
            Arc::<StoreHealth>::default(),
        ));
        changes.wait_for(is_unreachable).await?;
        sender.send_replace(false);
        store.released.notify_one();
        let finished = async {
            while !store.finished.load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_TIMEOUT, finished).await?;
        ensure!(changes.count(is_snapshot) == applied, "{table:?}");
        group.shutdown().await;
    }
    Ok(())
}
