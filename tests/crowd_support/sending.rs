//! What a client sends on one connection, and how it stays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes before the end of a body at which a client stops.
const MISSING_BYTES: usize = 10;
/// Pieces in which a body is sent that does not go out whole.
const PIECE_BYTES: usize = 16 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Chunks of one byte in one write.
const TINY_CHUNKS: usize = 32 << 10;
/// Pause between two bytes of a slow client. It is well below the pauses after which a body counts as stalled.
const DRIP_PAUSE: Duration = Duration::from_millis(200);
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// Size of one header line, trailer line or chunk extension of a client that never ends them.
const LINE_BYTES: usize = 1 << 10;

/// How a client sends after it has connected. The number is the size of the body in bytes.
#[derive(Clone, Copy, Debug)]
pub enum Sending {
    /// A body with a length in one write, which stops just short of its end.
    WholeSized(usize),
    /// The same, piece by piece.
    PiecesSized(usize),
    /// Large chunks, which stop just short of the end.
    LargeChunks(usize),
    /// Chunks of one byte, which stop just short of the end.
    TinyChunks(usize),
    /// A length over the limit, which is sent on until the daemon closes the connection.
    AnnouncedOversize(usize),
    /// Chunks far over the limit.
    SentOversize(usize),
    /// A body with a length, byte by byte.
    DripSized(usize),
    /// Chunks of one byte, one after the other.
    DripChunks,
    /// A head that never ends, byte by byte.
    DripHead,
    /// Nothing.
    Connect,
    /// Header lines without end.
    EndlessHeaders,
    /// Trailer lines without end.
    EndlessTrailers,
    /// Chunks of one byte with long extensions, without end.
    LongExtensions,
    /// Whole requests one after the other, whose answers are not read.
    Unread(usize),
}

/// The parts of a request that differ between clients.
#[derive(Clone)]
pub struct ClientRequest {
    /// Builds the head without framing from the client's number.
    pub head: Arc<dyn Fn(usize) -> String + Send + Sync>,
    pub sending: Sending,
}

impl ClientRequest {
    /// Sends on one connection and stays until the daemon closes it. `started` counts the clients whose first bytes were
    /// taken.
    pub async fn run(self, address: SocketAddr, number: usize, started: Arc<AtomicUsize>) {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return;
        };
        let head = (self.head)(number);
        // Errors mean that the daemon has closed the connection, which ends the client's stay.
        let _ = self.sending.send(&mut stream, &head, &started).await;
        let mut buffer = [0; 1024];
        if !matches!(self.sending, Sending::Unread(_)) {
            while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
        }
    }
}

impl Sending {
    async fn send(
        self,
        stream: &mut TcpStream,
        head: &str,
        started: &AtomicUsize,
    ) -> std::io::Result<()> {
        let sized = |bytes: usize| format!("{head}Content-Length: {bytes}\r\n\r\n");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let count = || started.fetch_add(1, Ordering::Relaxed);
        match self {
            Self::WholeSized(bytes) => {
                let mut request = sized(bytes).into_bytes();
                request.resize(request.len() + bytes - MISSING_BYTES, b'x');
                stream.write_all(&request).await?;
                count();
            }
            Self::PiecesSized(bytes) => {
                stream.write_all(sized(bytes).as_bytes()).await?;
                count();
                let mut left = bytes - MISSING_BYTES;
                while left > 0 {
                    let piece = left.min(PIECE_BYTES);
                    stream.write_all(&vec![b'x'; piece]).await?;
                    tokio::time::sleep(PIECE_PAUSE).await;
                    left -= piece;
                }
            }
            Self::LargeChunks(bytes) => {
                stream.write_all(chunked.as_bytes()).await?;
                count();
                for _ in 0..bytes / LARGE_CHUNK_BYTES {
                    stream.write_all(&chunk(LARGE_CHUNK_BYTES)).await?;
                }
            }
            Self::TinyChunks(bytes) => {
                stream.write_all(chunked.as_bytes()).await?;
                count();
                let chunks = chunk(1).repeat(TINY_CHUNKS);
                for _ in 0..bytes / TINY_CHUNKS {
                    stream.write_all(&chunks).await?;
                }
            }
            Self::AnnouncedOversize(bytes) => {
                stream.write_all(sized(bytes).as_bytes()).await?;
                count();
                let piece = vec![b'x'; LARGE_CHUNK_BYTES];
                for _ in 0..bytes / LARGE_CHUNK_BYTES {
                    stream.write_all(&piece).await?;
                }
            }
            Self::SentOversize(bytes) => {
                stream.write_all(chunked.as_bytes()).await?;
                count();
                for _ in 0..bytes / LARGE_CHUNK_BYTES {
                    stream.write_all(&chunk(LARGE_CHUNK_BYTES)).await?;
                }
            }
            Self::DripSized(bytes) => {
                stream.write_all(sized(bytes).as_bytes()).await?;
                count();
                for _ in 0..bytes - 1 {
                    stream.write_all(b"x").await?;
                    tokio::time::sleep(DRIP_PAUSE).await;
                }
            }
            Self::DripChunks => {
                stream.write_all(chunked.as_bytes()).await?;
                count();
                loop {
                    stream.write_all(&chunk(1)).await?;
                    tokio::time::sleep(DRIP_PAUSE).await;
                }
            }
            Self::DripHead => {
                stream
                    .write_all(format!("{head}X-Drip: ").as_bytes())
                    .await?;
                count();
                loop {
                    stream.write_all(b"x").await?;
                    tokio::time::sleep(DRIP_PAUSE).await;
                }
            }
            Self::Connect => {
                count();
            }
            Self::EndlessHeaders => {
                stream.write_all(head.as_bytes()).await?;
                count();
                let line = format!("X-Line: {}\r\n", "x".repeat(LINE_BYTES));
                loop {
                    stream.write_all(line.as_bytes()).await?;
                }
            }
            Self::EndlessTrailers => {
                stream
                    .write_all(format!("{chunked}1\r\nx\r\n0\r\n").as_bytes())
                    .await?;
                count();
                let line = format!("X-Line: {}\r\n", "x".repeat(LINE_BYTES));
                loop {
                    stream.write_all(line.as_bytes()).await?;
                }
            }
            Self::LongExtensions => {
                stream.write_all(chunked.as_bytes()).await?;
                count();
                let chunk = format!("1;extension={}\r\nx\r\n", "x".repeat(LINE_BYTES));
                loop {
                    stream.write_all(chunk.as_bytes()).await?;
                }
            }
            Self::Unread(bytes) => {
                let mut request = sized(bytes).into_bytes();
                request.resize(request.len() + bytes, b'x');
                count();
                // The daemon reads no more once an answer cannot be sent, and closes the connection later.
                loop {
                    stream.write_all(&request).await?;
                    tokio::time::sleep(PIECE_PAUSE).await;
                }
            }
        }
        Ok(())
    }
}

fn chunk(size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}
