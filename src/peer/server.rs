//! Accepts calls of other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::server::{Connection, SendResponse};
use h2::{RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::binding::bind_listener;
use crate::error::{Category, Error, Result};
use crate::faults::TaskFaults;
use crate::kernel::TaskGroup;
use crate::memory::{MemoryAccount, MemoryLease, REQUEST_BYTES};
use crate::metrics::DaemonMetrics;
use crate::peer::codec::{self, MAX_REQUEST_BYTES};
use crate::peer::connections::{CallGuard, PeerConnectionState, PeerPermit, PeerTable};
use crate::peer::{PeerHandler, PeerReply, PeerRequest};
use crate::settings::peer_connections;

/// Memory for bodies and replies of all calls if the limits state no other, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 16 << 20;
/// Calls that one connection may have open.
const MAX_STREAMS: u32 = 256;
/// Longest header block of a call, in bytes. Calls carry no headers beyond the pseudo-headers.
const MAX_HEADER_BYTES: u32 = 4 << 10;
/// Time that a client has for the HTTP/2 preface and for the body of each call.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time in which a client takes nothing of a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest part of a reply that is handed to a connection before its client has taken the part before it, in bytes.
const PART_BYTES: usize = 32 << 10;
/// Size of the buffer for the body of a call at first, in bytes; it doubles as the body grows.
const FIRST_BUFFER_BYTES: usize = 1 << 10;
/// Time in which the readers of evicted bodies drop them.
const EVICTION_TIME: Duration = Duration::from_millis(10);
/// Time after which another connection gives way if there is still no room for a new one.
const ROOM_PERIOD: Duration = Duration::from_millis(25);
/// Time that open calls have to finish after shutdown began; a peer that stopped reading must not block it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed `accept`, which otherwise repeats at once while file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type PeerConnection = Connection<TcpStream, Bytes>;

/// What the peers of a server may make it hold.
#[derive(Clone)]
pub struct PeerLimits {
    /// Connections served at once.
    pub connections: usize,
    /// Memory for bodies and replies of all calls.
    pub memory: MemoryAccount,
    pub metrics: Arc<DaemonMetrics>,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            connections: peer_connections(None),
            memory: MemoryAccount::new(DEFAULT_MEMORY_BYTES),
            metrics: Arc::new(DaemonMetrics::new()),
        }
    }
}

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
        Self::bind_with_limits(group, address, handler, PeerLimits::default()).await
    }

    /// Does the same as [`Self::bind`] within `limits`.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the address cannot be bound.
    pub async fn bind_with_limits<H: PeerHandler>(
        group: &TaskGroup,
        address: SocketAddr,
        handler: Arc<H>,
        limits: PeerLimits,
    ) -> Result<Self> {
        let listener = bind_listener(address).await.map_err(|error| {
            Error::unavailable(format!("cannot bind peer address {address}: {error}"))
        })?;
        let address = listener
            .local_addr()
            .map_err(|error| Error::unavailable(format!("cannot read peer address: {error}")))?;
        let acceptor = PeerAcceptor {
            group: group.clone(),
            listener,
            calls: CallContext {
                handler,
                memory: limits.memory,
                table: PeerTable::new(limits.connections, limits.metrics),
                faults: group.faults().clone(),
            },
        };
        group.spawn_essential("peer-acceptor", acceptor.run());
        Ok(Self { address })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// By what calls are carried out.
struct CallContext<H> {
    handler: Arc<H>,
    memory: MemoryAccount,
    table: Arc<PeerTable>,
    faults: TaskFaults,
}

impl<H> Clone for CallContext<H> {
    fn clone(&self) -> Self {
        Self {
            handler: self.handler.clone(),
            memory: self.memory.clone(),
            table: self.table.clone(),
            faults: self.faults.clone(),
        }
    }
}

impl<H> CallContext<H> {
    /// Returns the error of a call that there is no memory for. A connection that waits for its peer gives way.
    fn no_memory(&self) -> Error {
        self.table.relieve(Instant::now());
        Error::new(Category::Overloaded, "there is no memory for a peer call")
    }
}

struct PeerAcceptor<H> {
    group: TaskGroup,
    listener: TcpListener,
    calls: CallContext<H>,
}

impl<H: PeerHandler> PeerAcceptor<H> {
    async fn run(self) {
        loop {
            let accepted = tokio::select! {
                () = self.group.cancelled() => return,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((socket, remote)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let permit = tokio::select! {
                () = self.group.cancelled() => return,
                permit = self.permit() => permit,
            };
            let (group, calls) = (self.group.clone(), self.calls.clone());
            self.group.spawn(async move {
                if let Err(error) = serve_connection(&group, socket, &permit, calls).await {
                    log::debug!("peer connection from {remote} ended: {error}");
                }
                drop(permit);
            });
        }
    }

    /// Waits for room for a connection. One that waits for its peer gives way.
    async fn permit(&self) -> PeerPermit {
        loop {
            if let Some(permit) = self.calls.table.insert(Instant::now()) {
                return permit;
            }
            tokio::time::sleep(ROOM_PERIOD).await;
        }
    }
}

async fn serve_connection<H: PeerHandler>(
    group: &TaskGroup,
    socket: TcpStream,
    permit: &PeerPermit,
    calls: CallContext<H>,
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
    let connection = connection
        .map_err(|_| codec::protocol(format!("no HTTP/2 preface within {READ_TIMEOUT:?}")))?
        .map_err(|error| codec::transport(&error))?;
    let mut served = ServedConnection {
        connection,
        open_calls: JoinSet::new(),
        state: permit.state.clone(),
        calls,
    };
    tokio::select! {
        result = served.serve_streams() => return result,
        () = permit.state.evicted() => return Err(evicted_connection()),
        () = group.cancelled() => {}
    }
    served.connection.graceful_shutdown();
    let drained = timeout(DRAIN_TIMEOUT, served.serve_streams());
    drained.await.unwrap_or_else(|_| {
        Err(codec::protocol(format!(
            "open calls did not finish within {DRAIN_TIMEOUT:?}"
        )))
    })
}

fn evicted_connection() -> Error {
    Error::new(Category::Overloaded, "its place was needed for another one")
}

/// A connection after its preface. It owns the calls on it.
struct ServedConnection<H> {
    connection: PeerConnection,
    open_calls: JoinSet<()>,
    state: Arc<PeerConnectionState>,
    calls: CallContext<H>,
}

impl<H: PeerHandler> ServedConnection<H> {
    /// Serves calls until the connection ends. Dropping the future does not end calls in progress.
    async fn serve_streams(&mut self) -> Result<()> {
        loop {
            let accepted = tokio::select! {
                accepted = self.connection.accept() => accepted,
                Some(_) = self.open_calls.join_next() => continue,
            };
            let Some(accepted) = accepted else {
                return Ok(());
            };
            let (request, respond) = accepted.map_err(|error| codec::transport(&error))?;
            let (call, calls) = (self.state.begin(), self.calls.clone());
            let faults = calls.faults.clone();
            let serving = serve_call(request, respond, call, calls);
            self.open_calls.spawn(faults.observe("peer-call", serving));
        }
    }
}

async fn serve_call<H: PeerHandler>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    mut call: CallGuard,
    calls: CallContext<H>,
) {
    let read = read_request(request, &calls).await;
    let result = match read {
        Ok((request, lease)) => {
            call.run();
            let result = calls.handler.handle(request).await;
            drop(lease);
            result
        }
        Err(error) => Err(error),
    };
    if let Err(error) = send_reply(&mut respond, result, &calls).await {
        log::debug!("peer reply was not sent: {error}");
    }
}

/// Reads a call. Its memory is returned with the lease.
async fn read_request<H>(
    request: Request<RecvStream>,
    calls: &CallContext<H>,
) -> Result<(PeerRequest, MemoryLease)> {
    if request.method() != Method::POST {
        return Err(codec::protocol("peer calls use POST"));
    }
    let read = timeout(READ_TIMEOUT, read_body(request.into_body(), calls));
    let (body, lease) = read.await.map_err(|_| {
        Error::new(
            Category::Timeout,
            format!("the body of a peer call did not arrive within {READ_TIMEOUT:?}"),
        )
    })??;
    let request: PeerRequest = codec::decode_request(&body)?;
    Ok((request.checked()?, lease))
}

/// Reads the body of a call into memory that is leased before the buffer grows.
async fn read_body<H>(
    mut body: RecvStream,
    calls: &CallContext<H>,
) -> Result<(Vec<u8>, MemoryLease)> {
    let memory = &calls.memory;
    let bytes = REQUEST_BYTES + FIRST_BUFFER_BYTES;
    let mut lease = memory.lease_body(bytes, Instant::now());
    if lease.is_none() && memory.evict_for(bytes, Instant::now()) {
        tokio::time::sleep(EVICTION_TIME).await;
        lease = memory.lease_body(bytes, Instant::now());
    }
    let mut lease = lease.ok_or_else(|| calls.no_memory())?;
    let mut buffer: Vec<u8> = Vec::with_capacity(FIRST_BUFFER_BYTES);
    let mut evicted = std::pin::pin!(lease.evicted());
    loop {
        let data = tokio::select! {
            biased;
            data = body.data() => data,
            () = evicted.as_mut() => return Err(calls.no_memory()),
        };
        let Some(data) = data else { break };
        let data = data.map_err(|error| codec::transport(&error))?;
        let needed = buffer.len() + data.len();
        if needed > MAX_REQUEST_BYTES {
            return Err(Error::invalid(format!(
                "peer message is longer than {MAX_REQUEST_BYTES} bytes"
            )));
        }
        if needed > buffer.capacity() {
            let capacity = needed.max(buffer.capacity() * 2).min(MAX_REQUEST_BYTES);
            grow(&mut lease, capacity, calls).await?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
        lease.note_received(buffer.len(), Instant::now());
        // A closed stream needs no more window, so a failure here is harmless.
        let _ = body.flow_control().release_capacity(data.len());
    }
    lease.complete();
    Ok((buffer, lease))
}

async fn grow<H>(lease: &mut MemoryLease, capacity: usize, calls: &CallContext<H>) -> Result<()> {
    let bytes = REQUEST_BYTES + capacity;
    if lease.resize(bytes) {
        return Ok(());
    }
    if calls
        .memory
        .evict_for(bytes - lease.bytes(), Instant::now())
    {
        tokio::time::sleep(EVICTION_TIME).await;
    }
    let has_room = lease.resize(bytes);
    has_room.then_some(()).ok_or_else(|| calls.no_memory())
}

async fn send_reply<H>(
    respond: &mut SendResponse<Bytes>,
    result: Result<PeerReply>,
    calls: &CallContext<H>,
) -> Result<()> {
    let mut body = codec::encode(&result)?;
    let mut result = result.map(|_| ());
    let mut lease = calls.memory.lease_answer();
    // A reply that needs more than there is goes out if it is the only one.
    if !lease.resize(body.len()) && calls.memory.used() > 0 {
        let error = calls.no_memory();
        body = codec::encode(&Err::<PeerReply, _>(error.clone()))?;
        result = Err(error);
    }
    // The memory is returned when the connection has sent the last part.
    let mut body = lease.hold(body);
    let status = match &result {
        Ok(()) => StatusCode::OK,
        Err(error) if matches!(error.category(), Category::Invalid | Category::Protocol) => {
            StatusCode::BAD_REQUEST
        }
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut head = Response::new(());
    *head.status_mut() = status;
    let stream = respond.send_response(head, false);
    let mut stream = stream.map_err(|error| codec::transport(&error))?;
    while !body.is_empty() {
        let part = take_part(&mut stream, &mut body).await?;
        stream
            .send_data(part, body.is_empty())
            .map_err(|error| codec::transport(&error))?;
    }
    Ok(())
}

/// Waits until the client takes a part of `body`, and splits it off.
async fn take_part(stream: &mut SendStream<Bytes>, body: &mut Bytes) -> Result<Bytes> {
    stream.reserve_capacity(body.len().min(PART_BYTES));
    let taken = timeout(
        WRITE_TIMEOUT,
        std::future::poll_fn(|cx| stream.poll_capacity(cx)),
    );
    match taken.await {
        Ok(Some(Ok(capacity))) => Ok(body.split_to(capacity.min(body.len()))),
        Ok(Some(Err(error))) => Err(codec::transport(&error)),
        Ok(None) => Err(codec::protocol("the call was closed")),
        Err(_) => {
            stream.send_reset(h2::Reason::CANCEL);
            Err(codec::protocol(format!(
                "the client took nothing of a reply for {WRITE_TIMEOUT:?}"
            )))
        }
    }
}
