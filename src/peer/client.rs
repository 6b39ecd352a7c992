//! Calls other daemons over one reused connection per peer.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::error::{Category, Error, Result};
use crate::kernel::TaskGroup;
use crate::peer::codec::{self, MAX_REPLY_BYTES, MAX_REQUEST_BYTES};
use crate::peer::{PeerCaller, PeerReply, PeerRequest};

/// Number of peers above which those without a connection are removed: VMs are replaced and addresses change.
const MAX_IDLE_PEERS: usize = 640;

/// Client of peer calls. Clones share the connections.
#[derive(Clone)]
pub struct PeerClient {
    group: TaskGroup,
    local: Option<IpAddr>,
    peers: Arc<Mutex<HashMap<SocketAddr, Arc<PeerEntry>>>>,
}

#[derive(Default)]
struct PeerEntry {
    connection: tokio::sync::Mutex<Option<CachedConnection>>,
}

#[derive(Clone)]
struct CachedConnection {
    sender: SendRequest<Bytes>,
    /// Number of replies received so far. A timed-out call uses it to tell a dead connection from a slow reply.
    replies: Arc<AtomicU64>,
}

impl PeerClient {
    /// Creates a client whose connections are driven by tasks in `group`.
    pub fn open(group: &TaskGroup) -> Self {
        Self {
            group: group.clone(),
            local: None,
            peers: Arc::default(),
        }
    }

    /// Makes connections come from the address `local`; an unspecified one leaves the choice to the system.
    pub fn with_local_address(mut self, local: IpAddr) -> Self {
        self.local = Some(local).filter(|local| !local.is_unspecified());
        self
    }

    fn entry(&self, peer: SocketAddr) -> Arc<PeerEntry> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.len() >= MAX_IDLE_PEERS && !peers.contains_key(&peer) {
            peers.retain(|_, entry| !entry.is_idle());
        }
        peers.entry(peer).or_default().clone()
    }

    /// Returns the cached connection to `peer`, or connects.
    async fn connection(&self, peer: SocketAddr, entry: &PeerEntry) -> Result<CachedConnection> {
        let mut cached = entry.connection.lock().await;
        if let Some(connection) = cached.take()
            && let Ok(sender) = connection.sender.ready().await
        {
            let connection = CachedConnection {
                sender,
                replies: connection.replies,
            };
            return Ok(cached.insert(connection).clone());
        }
        let connection = self.connect(peer).await?;
        Ok(cached.insert(connection).clone())
    }

    async fn connect(&self, peer: SocketAddr) -> Result<CachedConnection> {
        let socket = connect_from(self.local, peer)
            .await
            .map_err(|error| Error::unavailable(format!("cannot connect to {peer}: {error}")))?;
        // Small messages must not wait for the acknowledgement of earlier ones.
        let _ = socket.set_nodelay(true);
        let (sender, connection) = h2::client::handshake(socket)
            .await
            .map_err(|error| codec::transport(&error))?;
        self.group.spawn_cancellable(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to peer {peer} ended: {error}");
            }
        });
        Ok(CachedConnection {
            sender,
            replies: Arc::default(),
        })
    }
}

/// Connects from `local` if both addresses are of the same family.
async fn connect_from(local: Option<IpAddr>, peer: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(local) = local.filter(|local| local.is_ipv4() == peer.is_ipv4()) else {
        return TcpStream::connect(peer).await;
    };
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind((local, 0).into())?;
    socket.connect(peer).await
}

impl PeerEntry {
    fn is_idle(&self) -> bool {
        self.connection
            .try_lock()
            .is_ok_and(|connection| connection.is_none())
    }

    /// Drops the cached connection if it is still `dead`, so that the next call reconnects.
    fn discard(&self, dead: &CachedConnection) {
        if let Ok(mut cached) = self.connection.try_lock()
            && cached
                .as_ref()
                .is_some_and(|cached| Arc::ptr_eq(&cached.replies, &dead.replies))
        {
            *cached = None;
        }
    }
}

impl PeerCaller for PeerClient {
    async fn call(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
        wait: Duration,
    ) -> Result<PeerReply> {
        let body = codec::encode(&request)?;
        if body.len() > MAX_REQUEST_BYTES {
            let size = body.len();
            return Err(Error::invalid(format!(
                "peer message of {size} bytes is longer than {MAX_REQUEST_BYTES} bytes"
            )));
        }
        let deadline = tokio::time::Instant::now() + wait;
        let entry = self.entry(peer);
        let connection = tokio::time::timeout_at(deadline, self.connection(peer, &entry))
            .await
            .map_err(|_| timed_out(peer, wait, 0))??;
        let replies = connection.replies.load(Ordering::Relaxed);
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        let received = AtomicUsize::new(0);
        match timeout(
            left,
            send_request(connection.clone(), peer, body, &received),
        )
        .await
        {
            Ok(result) => result,
            Err(_) => {
                if connection.replies.load(Ordering::Relaxed) == replies {
                    entry.discard(&connection);
                }
                Err(timed_out(peer, wait, received.load(Ordering::Relaxed)))
            }
        }
    }
}

async fn send_request(
    mut connection: CachedConnection,
    peer: SocketAddr,
    body: Bytes,
    received: &AtomicUsize,
) -> Result<PeerReply> {
    let head = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}/peer"))
        .body(())
        .map_err(|error| Error::internal(format!("cannot build a peer call: {error}")))?;
    let (response, mut stream) = connection
        .sender
        .send_request(head, false)
        .map_err(|error| codec::transport(&error))?;
    stream
        .send_data(body, true)
        .map_err(|error| codec::transport(&error))?;
    let response = response.await.map_err(|error| codec::transport(&error))?;
    let body = codec::read_body(&mut response.into_body(), MAX_REPLY_BYTES, received).await?;
    connection.replies.fetch_add(1, Ordering::Relaxed);
    codec::decode_reply::<Result<PeerReply>>(&body)??.checked()
}

fn timed_out(peer: SocketAddr, wait: Duration, received: usize) -> Error {
    Error::new(
        Category::Timeout,
        format!(
            "peer {peer} did not answer within {wait:?}; {received} bytes of the reply were received"
        ),
    )
}
