//! Fault-injecting TCP proxy with one listener for each server.
//!
//! A link is identified by its source and destination zones. The source zone is fixed for a listener or looked up by
//! the source address of each connection. Processes that connect to the same listener can thus be distinguished if each
//! binds its connections to its own address.

mod copy;
mod schedule;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::State;
use axum::routing::post;
use axum::{Json, Router};
use foxtailhill::kernel::TaskGroup;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

pub use self::schedule::{FaultAction, FaultSchedule, ScheduledFault};
use crate::serve::lock;

/// Zone of connections whose source address is not known.
pub const UNKNOWN_ZONE: &str = "unknown";
/// Delay before a failed attempt to accept or to reopen a listener is repeated.
const LISTEN_RETRY: Duration = Duration::from_millis(5);

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFault {
    /// Holds bytes back until the fault ends, as if packets were lost and retransmitted.
    pub drop: bool,
    /// Additional latency, in milliseconds.
    pub delay_ms: u64,
}

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFault {
    /// From the connecting side to the server.
    pub forward: DirectionFault,
    /// From the server back.
    pub backward: DirectionFault,
    /// Resets open connections and refuses new ones.
    pub cut: bool,
}

impl LinkFault {
    /// No faults.
    pub const NONE: Self = Self {
        forward: DirectionFault {
            drop: false,
            delay_ms: 0,
        },
        backward: DirectionFault {
            drop: false,
            delay_ms: 0,
        },
        cut: false,
    };

    /// Resets open connections and refuses new ones.
    pub const CUT: Self = Self {
        cut: true,
        ..Self::NONE
    };

    /// Holds back the bytes of both directions.
    pub const DROP: Self = Self {
        forward: DirectionFault {
            drop: true,
            delay_ms: 0,
        },
        backward: DirectionFault {
            drop: true,
            delay_ms: 0,
        },
        cut: false,
    };

    /// Adds `ms` milliseconds of latency in each direction.
    pub fn delay(ms: u64) -> Self {
        let direction = DirectionFault {
            drop: false,
            delay_ms: ms,
        };
        Self {
            forward: direction,
            backward: direction,
            cut: false,
        }
    }
}

/// Options of a listener of the proxy.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    pub bind: SocketAddr,
    /// Server that connections are forwarded to.
    pub server: SocketAddr,
    /// Zone of the server.
    pub to: SmolStr,
    /// Source zone of all connections; `None` looks it up by the source address.
    pub from: Option<SmolStr>,
}

/// A control call that sets the fault of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkControl {
    pub from: SmolStr,
    pub to: SmolStr,
    #[serde(default)]
    pub fault: LinkFault,
}

type LinkName = (SmolStr, SmolStr);

/// Connections to one server and the bytes transferred on them, TCP payload only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerTraffic {
    pub connections: u64,
    /// From the connecting side to the server.
    pub forward_bytes: u64,
    /// From the server back.
    pub backward_bytes: u64,
}

#[derive(Debug, Default)]
struct TrafficCounters {
    connections: AtomicU64,
    forward: AtomicU64,
    backward: AtomicU64,
}

struct ProxyState {
    group: TaskGroup,
    zones: HashMap<IpAddr, SmolStr>,
    links: Mutex<HashMap<LinkName, watch::Sender<LinkFault>>>,
    traffic: Mutex<HashMap<SocketAddr, Arc<TrafficCounters>>>,
}

/// A running proxy. Dropping it closes all listeners and connections.
pub struct FaultProxy {
    state: Arc<ProxyState>,
}

impl FaultProxy {
    /// Creates a proxy without listeners; `zones` maps source addresses to zones.
    pub fn open(zones: HashMap<IpAddr, SmolStr>) -> Self {
        let state = ProxyState {
            group: TaskGroup::new(),
            zones,
            links: Mutex::default(),
            traffic: Mutex::default(),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Opens a listener and returns its address.
    pub async fn listen(&self, options: LinkOptions) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(options.bind).await?;
        let address = listener.local_addr()?;
        let options = LinkOptions {
            bind: address,
            ..options
        };
        let listen = run_listener(self.state.clone(), options, listener);
        self.state.group.spawn_cancellable(listen);
        Ok(address)
    }

    /// Sets the fault of the links from one zone to another, also for open connections.
    pub fn set_link(&self, from: &str, to: &str, fault: LinkFault) {
        self.state.link(from, to).send_replace(fault);
    }

    /// Returns the fault of a link.
    pub fn link(&self, from: &str, to: &str) -> LinkFault {
        *self.state.link(from, to).borrow()
    }

    /// Sets the fault of all known links between `zone` and other zones; a link is known once it was used or set.
    pub fn set_zone(&self, zone: &str, fault: LinkFault) {
        let links = lock(&self.state.links);
        for ((from, to), link) in links.iter() {
            if (from == zone) != (to == zone) {
                link.send_replace(fault);
            }
        }
    }

    /// Returns the traffic of each server so far.
    pub fn traffic(&self) -> HashMap<SocketAddr, ServerTraffic> {
        let traffic = lock(&self.state.traffic);
        let entries = traffic.iter().map(|(server, counters)| {
            let passed = ServerTraffic {
                connections: counters.connections.load(Ordering::Relaxed),
                forward_bytes: counters.forward.load(Ordering::Relaxed),
                backward_bytes: counters.backward.load(Ordering::Relaxed),
            };
            (*server, passed)
        });
        entries.collect()
    }

    /// Clears the faults of all links.
    pub fn heal(&self) {
        self.state.heal();
    }

    /// Applies one action of a schedule.
    pub fn apply(&self, action: &FaultAction) {
        match action {
            FaultAction::Link { from, to, fault } => self.set_link(from, to, *fault),
            FaultAction::Zone { zone, fault } => self.set_zone(zone, *fault),
            FaultAction::Heal => self.heal(),
        }
    }

    /// Applies a schedule that starts now; returns after its last action.
    pub async fn run(&self, schedule: &FaultSchedule) {
        let start = tokio::time::Instant::now();
        for fault in &schedule.faults {
            tokio::time::sleep_until(start + fault.at).await;
            self.apply(&fault.action);
        }
    }

    /// Serves `POST /control/links` with a [`LinkControl`] and `POST /control/heal`; returns the address.
    pub async fn serve_control(&self, bind: SocketAddr) -> std::io::Result<SocketAddr> {
        let router = Router::new()
            .route("/control/links", post(set_link))
            .route("/control/heal", post(heal))
            .with_state(self.state.clone());
        crate::serve::listen(bind, router, &self.state.group).await
    }

    /// Closes all listeners and connections and joins all tasks.
    pub async fn shutdown(self) {
        self.state.group.shutdown().await;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.state.group.cancel();
    }
}

impl ProxyState {
    fn link(&self, from: &str, to: &str) -> watch::Sender<LinkFault> {
        let mut links = lock(&self.links);
        let link = links.entry((from.into(), to.into()));
        link.or_insert_with(|| watch::Sender::new(LinkFault::NONE))
            .clone()
    }

    fn heal(&self) {
        for link in lock(&self.links).values() {
            link.send_replace(LinkFault::NONE);
        }
    }

    fn counters(&self, server: SocketAddr) -> Arc<TrafficCounters> {
        lock(&self.traffic).entry(server).or_default().clone()
    }

    fn zone_of(&self, source: SocketAddr) -> SmolStr {
        let zone = self.zones.get(&source.ip()).cloned();
        zone.unwrap_or_else(|| SmolStr::new_static(UNKNOWN_ZONE))
    }
}

async fn run_listener(state: Arc<ProxyState>, options: LinkOptions, listener: TcpListener) {
    // Only a listener with a fixed source zone knows its link before accepting, and can refuse connections.
    let Some(from) = options.from.clone() else {
        return accept_all(&state, &options, &listener).await;
    };
    let link = state.link(&from, &options.to);
    let mut changes = link.subscribe();
    let mut listener = Some(listener);
    loop {
        let cut = changes.borrow_and_update().cut;
        let Some(open) = listener.take_if(|_| !cut) else {
            listener = refuse_connections(&options, listener, &mut changes).await;
            continue;
        };
        tokio::select! {
            () = accept_all(&state, &options, &open) => {}
            _ = changes.changed() => {}
        }
        listener = Some(open);
    }
}

/// Closes the listener until the link is no longer cut, and reserves the port meanwhile.
async fn refuse_connections(
    options: &LinkOptions,
    listener: Option<TcpListener>,
    changes: &mut watch::Receiver<LinkFault>,
) -> Option<TcpListener> {
    drop(listener);
    let reservation = crate::reserve_port(options.bind);
    while changes.borrow_and_update().cut {
        // An error is not possible: the sender is in the proxy's state, which outlives this task.
        let _ = changes.changed().await;
    }
    let listener = match reservation {
        Ok(socket) => socket.listen(1024),
        Err(_) => TcpListener::bind(options.bind).await,
    };
    if listener.is_err() {
        tokio::time::sleep(LISTEN_RETRY).await;
    }
    listener.ok()
}

async fn accept_all(state: &Arc<ProxyState>, options: &LinkOptions, listener: &TcpListener) {
    loop {
        let Ok((caller, source)) = listener.accept().await else {
            tokio::time::sleep(LISTEN_RETRY).await;
            continue;
        };
        let from = options.from.clone();
        let from = from.unwrap_or_else(|| state.zone_of(source));
        let link = state.link(&from, &options.to).subscribe();
        let server = options.server;
        state.group.spawn_cancellable(proxy_connection(
            caller,
            source,
            server,
            link,
            state.counters(server),
        ));
    }
}

async fn proxy_connection(
    caller: TcpStream,
    source: SocketAddr,
    server: SocketAddr,
    link: watch::Receiver<LinkFault>,
    counters: Arc<TrafficCounters>,
) {
    if link.borrow().cut {
        copy::reset(&caller);
        return;
    }
    match connect_from(source, server).await {
        Ok(server) => {
            counters.connections.fetch_add(1, Ordering::Relaxed);
            copy::run(caller, server, link, &counters).await;
        }
        Err(_) => copy::reset(&caller),
    }
}

/// Connects from the source's IPv4 loopback address, so that the server sees it; other addresses are not preserved.
async fn connect_from(source: SocketAddr, server: SocketAddr) -> std::io::Result<TcpStream> {
    if source.ip().is_loopback() && source.is_ipv4() && server.is_ipv4() {
        let socket = TcpSocket::new_v4()?;
        socket.bind((source.ip(), 0).into())?;
        return socket.connect(server).await;
    }
    TcpStream::connect(server).await
}

async fn set_link(State(state): State<Arc<ProxyState>>, Json(control): Json<LinkControl>) {
    state
        .link(&control.from, &control.to)
        .send_replace(control.fault);
}

async fn heal(State(state): State<Arc<ProxyState>>) {
    state.heal();
}
