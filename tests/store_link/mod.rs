//! A connection to the store that can be disturbed for one daemon alone.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhill::kernel::TaskGroup;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What happens to calls of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Open,
    /// Each call is answered with this text.
    Answer(&'static str),
    /// Each call reaches the store after a delay.
    #[allow(dead_code, reason = "used by other tests")]
    Slow(Duration),
}

/// Status of a store that refuses a call.
pub const REFUSED: LinkState =
    LinkState::Answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");

/// A running link.
pub struct StoreLink {
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl StoreLink {
    /// Binds a port and forwards connections to `store` in `group`.
    pub async fn bind(group: &TaskGroup, store: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::Open);
        let (connections, changes) = (group.clone(), state.subscribe());
        group.spawn_cancellable(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut changes = changes.clone();
                connections.spawn_cancellable(async move {
                    let state = *changes.borrow_and_update();
                    tokio::select! {
                        // A peer that has gone ends the connection.
                        _ = forward(stream, store, state) => {}
                        _ = changes.changed() => {}
                    }
                });
            }
        });
        Ok(Self { address, state })
    }

    /// Sets what happens to calls, and ends all connections if that changes.
    pub fn set(&self, state: LinkState) {
        self.state
            .send_if_modified(|known| std::mem::replace(known, state) != state);
    }
}

async fn forward(
    mut stream: TcpStream,
    store: SocketAddr,
    state: LinkState,
) -> std::io::Result<()> {
    let mut chunk = [0; 16 << 10];
    if let LinkState::Answer(answer) = state {
        while stream.read(&mut chunk).await? > 0 {
            stream.write_all(answer.as_bytes()).await?;
        }
        return Ok(());
    }
    let (mut calls, mut answers) = stream.split();
    let mut upstream = TcpStream::connect(store).await?;
    let (mut read_store, mut write_store) = upstream.split();
    let forward_calls = async {
        loop {
            let length = calls.read(&mut chunk).await?;
            if length == 0 {
                return std::io::Result::Ok(());
            }
            if let LinkState::Slow(delay) = state {
                tokio::time::sleep(delay).await;
            }
            write_store.write_all(&chunk[..length]).await?;
        }
    };
    tokio::select! {
        result = forward_calls => result,
        result = tokio::io::copy(&mut read_store, &mut answers) => result.map(|_| ()),
    }
}
