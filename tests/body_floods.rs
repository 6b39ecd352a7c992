//! Floods of request bodies at a daemon process. The crowds and bounds are fixed: a lower limit is set by the settings of
//! the tests, never by fewer callers or a higher bound.

mod flood_support;
#[allow(dead_code, reason = "shared with the soak")]
#[path = "soak/server.rs"]
mod server;
#[allow(dead_code, reason = "shared with the soak")]
#[path = "soak/store.rs"]
mod store;

use std::sync::Arc;

use eyre::ensure;
use flood_support::{FloodedDaemon, PeakUsage, headers};
use foxtailhill::kernel::TaskGroup;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Callers of a flood of bodies. Their bodies are 96 MiB together.
const CALLERS: usize = 96;
const BODY_BYTES: usize = 1_048_000;
/// Bytes before the end of a body at which a caller stops.
const MISSING_BYTES: usize = 10;
/// Chunks of one byte in each part of a body; 15 parts are just under the limit. The chunks are more than the buffers of
/// the sockets hold, so that callers wait until the daemon has read them.
const TINY_CHUNKS: usize = 64 << 10;
const TINY_PARTS: usize = 15;
/// Size of a body that is far over the limit.
const OVERSIZE_BYTES: usize = 8 << 20;
/// Resident memory that a daemon may have in a flood. It has about 20 MB before.
const MAX_RESIDENT_MB: u64 = 64;

/// Callers that only connect, more than the daemon may have open files.
const CONNECTIONS: usize = 600;
const OPEN_FILES: usize = 512;
/// Descriptors that a daemon with [`OPEN_FILES`] may have. The rest are for servers, peers and the store.
const MAX_DESCRIPTORS: usize = 448;
/// Open files of a daemon whose descriptors are not scarce.
const MANY_FILES: usize = 4_096;

/// The tests run one at a time, as each measures a process under load.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A small account, so that a small crowd exceeds it.
fn limits() -> Value {
    json!({"held_bytes": "16MiB"})
}

/// Runs a flood of `count` callers and checks that the daemon survives it within the bounds and serves afterwards.
async fn check_flood<F>(
    count: usize,
    files: usize,
    send: impl Fn(TcpStream) -> F,
) -> eyre::Result<PeakUsage>
where
    F: Future<Output = TcpStream> + Send + 'static,
{
    let _alone = ONE_AT_A_TIME.lock().await;
    let group = TaskGroup::new();
    let result = async {
        let mut daemon = FloodedDaemon::start(&group, limits(), files).await?;
        let peak = daemon.flood(count, send).await?;
        daemon.ensure_serves().await?;
        eyre::Ok(peak)
    }
    .await;
    group.shutdown().await;
    let peak = result?;
    ensure!(peak.resident_mb <= MAX_RESIDENT_MB, "{peak:?}");
    Ok(peak)
}

/// Sends `parts` in turn and keeps the connection open. A daemon that refuses a caller may close the connection.
async fn send_parts(mut stream: TcpStream, parts: Vec<Arc<Vec<u8>>>) -> TcpStream {
    for part in parts {
        if stream.write_all(&part).await.is_err() {
            break;
        }
    }
    stream
}

fn part(bytes: impl Into<Vec<u8>>) -> Arc<Vec<u8>> {
    Arc::new(bytes.into())
}

fn head(framing: &str) -> Arc<Vec<u8>> {
    let headers = headers("flood");
    part(format!("POST /check/1 HTTP/1.1\r\n{headers}{framing}\r\n"))
}

fn chunk(size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Guards against holding the bodies of all callers that stop just before the end, whose length is stated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_sized_bodies_are_bounded() -> eyre::Result<()> {
    let parts = [
        head(&format!("Content-Length: {BODY_BYTES}\r\n")),
        part(vec![b'x'; BODY_BYTES - MISSING_BYTES]),
    ];
    check_flood(CALLERS, MANY_FILES, |stream| {
        send_parts(stream, parts.to_vec())
    })
    .await?;
    Ok(())
}

/// Guards against holding the bodies of all callers that send large chunks and stop before the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_chunked_bodies_are_bounded() -> eyre::Result<()> {
    let large = part(chunk(64 << 10));
    let mut parts = vec![head("Transfer-Encoding: chunked\r\n")];
    parts.extend(std::iter::repeat_n(large, BODY_BYTES >> 16));
    check_flood(CALLERS, MANY_FILES, |stream| {
        send_parts(stream, parts.clone())
    })
    .await?;
    Ok(())
}

/// Guards against a cost per chunk: bodies of one-byte chunks take a multiple of their size.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_tiny_chunks_cost_their_bytes() -> eyre::Result<()> {
    let tiny = part(chunk(1).repeat(TINY_CHUNKS));
    let mut parts = vec![head("Transfer-Encoding: chunked\r\n")];
    parts.extend(std::iter::repeat_n(tiny, TINY_PARTS));
    check_flood(CALLERS, MANY_FILES, |stream| {
        send_parts(stream, parts.clone())
    })
    .await?;
    Ok(())
}

/// Guards against reading, or holding, bodies that are far over the limit and announced as such.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_oversize_bodies_are_bounded() -> eyre::Result<()> {
    let parts = [
        head(&format!("Content-Length: {OVERSIZE_BYTES}\r\n")),
        part(vec![b'x'; OVERSIZE_BYTES]),
    ];
    check_flood(CALLERS, MANY_FILES, |stream| {
        send_parts(stream, parts.to_vec())
    })
    .await?;
    Ok(())
}

/// Guards against holding bodies that are far over the limit without announcement.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unannounced_oversize_bodies_are_bounded() -> eyre::Result<()> {
    let large = part(chunk(64 << 10));
    let mut parts = vec![head("Transfer-Encoding: chunked\r\n")];
    parts.extend(std::iter::repeat_n(large, OVERSIZE_BYTES >> 16));
    check_flood(CALLERS, MANY_FILES, |stream| {
        send_parts(stream, parts.clone())
    })
    .await?;
    Ok(())
}

/// Guards against callers that use up the descriptors, which servers, peers and the store need.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_leave_descriptors_for_servers() -> eyre::Result<()> {
    let start = part("POST /check/1 HTTP/1.1\r\n");
    let peak = check_flood(CONNECTIONS, OPEN_FILES, |stream| {
        send_parts(stream, vec![start.clone()])
    })
    .await?;
    ensure!(peak.descriptors <= MAX_DESCRIPTORS, "{peak:?}");
    Ok(())
}
