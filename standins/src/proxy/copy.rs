//! Copies the bytes of one connection, subject to the faults of its link.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::proxy::{DirectionFault, LinkFault, TrafficCounters};

/// Chunks in flight in one direction; reading pauses at this limit.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
const CHUNK_BYTES: usize = 16 << 10;

/// Makes the connection close with a TCP reset when it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    // Fails only if the connection is already closed.
    let _ = stream.set_zero_linger();
}

/// Copies bytes both ways until both sides have closed or the link is cut.
pub(super) async fn run(
    mut caller: TcpStream,
    mut server: TcpStream,
    link: watch::Receiver<LinkFault>,
    counters: &TrafficCounters,
) {
    // With Nagle's algorithm, small chunks would wait for the acknowledgement of the previous one.
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let closed_normally = {
        let (caller_read, caller_write) = caller.split();
        let (server_read, server_write) = server.split();
        let copied_bytes = &counters.forward;
        let forward = copy_direction(
            caller_read,
            server_write,
            link.clone(),
            copied_bytes,
            |fault| fault.forward,
        );
        let copied_bytes = &counters.backward;
        let backward = copy_direction(
            server_read,
            caller_write,
            link.clone(),
            copied_bytes,
            |fault| fault.backward,
        );
        tokio::select! {
            both = async { tokio::try_join!(forward, backward) } => both.is_ok(),
            () = wait_for_cut(link) => false,
        }
    };
    if !closed_normally {
        reset(&caller);
        reset(&server);
    }
}

async fn wait_for_cut(mut link: watch::Receiver<LinkFault>) {
    // An error means that the proxy was dropped, which cancels this task.
    if link.wait_for(|fault| fault.cut).await.is_err() {
        std::future::pending().await
    }
}

async fn copy_direction(
    read: ReadHalf<'_>,
    write: WriteHalf<'_>,
    link: watch::Receiver<LinkFault>,
    copied_bytes: &AtomicU64,
    fault: impl Fn(&LinkFault) -> DirectionFault + Copy,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    let reading = read_chunks(read, sender, link.clone(), fault);
    let writing = write_chunks(write, receiver, link, copied_bytes, fault);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

/// Reads chunks and sends each with the time at which it is due. An empty chunk marks the end of the stream.
async fn read_chunks(
    mut read: ReadHalf<'_>,
    sender: mpsc::Sender<(Instant, Bytes)>,
    link: watch::Receiver<LinkFault>,
    fault: impl Fn(&LinkFault) -> DirectionFault,
) -> io::Result<()> {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        let count = read.read_buf(&mut chunk).await?;
        let delay = Duration::from_millis(fault(&link.borrow()).delay_ms);
        let due = Instant::now() + delay;
        if sender.send((due, chunk.freeze())).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut write: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut link: watch::Receiver<LinkFault>,
    copied_bytes: &AtomicU64,
    fault: impl Fn(&LinkFault) -> DirectionFault,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        if link.wait_for(|link| !fault(link).drop).await.is_err() {
            return Ok(());
        }
        if chunk.is_empty() {
            return write.shutdown().await;
        }
        write.write_all(&chunk).await?;
        copied_bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
    Ok(())
}
