//! Accepts calls of other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::{Connection, SendResponse};
use http::{Method, Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::error::{Category, Error, Result};
use crate::kernel::TaskGroup;
use crate::peer::codec::{self, MAX_REQUEST_BYTES};
use crate::peer::{PeerHandler, PeerReply, PeerRequest};

/// Connections served at once; twice the design size of 320 daemons leaves room for reconnects.
const MAX_CONNECTIONS: usize = 640;
/// Calls that one connection may have open.
const MAX_STREAMS: u32 = 256;
/// Longest header block of a call, in bytes. Calls carry no headers beyond the pseudo-headers.
const MAX_HEADER_BYTES: u32 = 4 << 10;
/// Time that a client has for the HTTP/2 preface and for the body of each call.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that open calls have to finish after shutdown began; a peer that stopped reading must not block it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed `accept`, which otherwise repeats at once while file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type PeerConnection = Connection<TcpStream, Bytes>;

/// Running server of peer calls.
#[derive(Clone, Copy, Debug)]
pub struct PeerServer {
    address: SocketAddr,
}

impl PeerServer {
    /// Binds `address` and serves calls in `group` until the group is cancelled. Open calls then finish.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the address cannot be bound.
    pub async fn bind<H: PeerHandler>(
        group: &TaskGroup,
        address: SocketAddr,
        handler: Arc<H>,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await.map_err(|error| {
            Error::unavailable(format!("cannot bind peer address {address}: {error}"))
        })?;
        let address = listener
            .local_addr()
            .map_err(|error| Error::unavailable(format!("cannot read peer address: {error}")))?;
        group.spawn(accept_connections(group.clone(), listener, handler));
        Ok(Self { address })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept_connections<H: PeerHandler>(
    group: TaskGroup,
    listener: TcpListener,
    handler: Arc<H>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = group.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, remote)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            log::warn!(
                "refused peer connection from {remote}: the limit of {MAX_CONNECTIONS} connections is reached"
            );
            continue;
        };
        let (parent, handler) = (group.clone(), handler.clone());
        group.spawn(async move {
            if let Err(error) = serve_connection(&parent, socket, handler).await {
                log::debug!("peer connection from {remote} ended: {error}");
            }
            drop(permit);
        });
    }
}

async fn serve_connection<H: PeerHandler>(
    group: &TaskGroup,
    socket: TcpStream,
    handler: Arc<H>,
) -> Result<()> {
    // Small messages must not wait for the acknowledgement of earlier ones.
    let _ = socket.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES);
    let connection = tokio::select! {
        () = group.cancelled() => return Ok(()),
        connection = timeout(READ_TIMEOUT, builder.handshake(socket)) => connection,
    };
    let mut connection = connection
        .map_err(|_| codec::protocol(format!("no HTTP/2 preface within {READ_TIMEOUT:?}")))?
        .map_err(|error| codec::transport(&error))?;
    let mut calls = JoinSet::new();
    tokio::select! {
        result = serve_streams(&mut connection, &mut calls, &handler) => return result,
        () = group.cancelled() => connection.graceful_shutdown(),
    }
    let drained = timeout(
        DRAIN_TIMEOUT,
        serve_streams(&mut connection, &mut calls, &handler),
    );
    drained.await.unwrap_or_else(|_| {
        Err(codec::protocol(format!(
            "open calls did not finish within {DRAIN_TIMEOUT:?}"
        )))
    })
}

/// Serves calls until the connection ends. Dropping the future does not end calls in progress, as `calls` owns them.
async fn serve_streams<H: PeerHandler>(
    connection: &mut PeerConnection,
    calls: &mut JoinSet<()>,
    handler: &Arc<H>,
) -> Result<()> {
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            Some(_) = calls.join_next() => continue,
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, respond) = accepted.map_err(|error| codec::transport(&error))?;
        calls.spawn(serve_call(request, respond, handler.clone()));
    }
}

async fn serve_call<H: PeerHandler>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
) {
    let result = match read_request(request).await {
        Ok(request) => handler.handle(request).await,
        Err(error) => Err(error),
    };
    if let Err(error) = send_reply(&mut respond, result) {
        log::debug!("peer reply was not sent: {error}");
    }
}

async fn read_request(request: Request<RecvStream>) -> Result<PeerRequest> {
    if request.method() != Method::POST {
        return Err(codec::protocol("peer calls use POST"));
    }
    let mut body = request.into_body();
    let received = AtomicUsize::new(0);
    let body = codec::read_body(&mut body, MAX_REQUEST_BYTES, &received);
    let body = timeout(READ_TIMEOUT, body).await.map_err(|_| {
        Error::new(
            Category::Timeout,
            format!("the body of a peer call did not arrive within {READ_TIMEOUT:?}"),
        )
    })??;
    codec::decode(&body)
}

fn send_reply(respond: &mut SendResponse<Bytes>, result: Result<PeerReply>) -> Result<()> {
    let status = match &result {
        Ok(_) => StatusCode::OK,
        Err(error) if matches!(error.category(), Category::Invalid | Category::Protocol) => {
            StatusCode::BAD_REQUEST
        }
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = codec::encode(&result)?;
    let mut head = Response::new(());
    *head.status_mut() = status;
    let mut stream = respond
        .send_response(head, false)
        .map_err(|error| codec::transport(&error))?;
    stream
        .send_data(body, true)
        .map_err(|error| codec::transport(&error))
}
