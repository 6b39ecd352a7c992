//! Pulses: heartbeat datagrams in which daemons report their frequently changing state to each other. A lost pulse only
//! makes that state less accurate.

use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::UdpSocket;

use crate::binding::bind_socket;
use crate::blame::{BlameMessage, PartNotice};
use crate::dispatch::ModelDemand;
use crate::error::{Error, Result};
use crate::ids::VmId;
use crate::kernel::TaskGroup;
use crate::peer::SuspectNotice;
use crate::relay::demand_log::{DemandLog, PeriodId};
use crate::relay::engines::PlacementChange;
use crate::relay::evacuation::ZoneNotice;
use crate::relay::origins::OriginNotice;
use crate::relay::refusing::RefusalReport;
use crate::relay::registry::{DaemonRecord, DaemonRegistry};
use crate::relay::server_list::ListPosition;
use crate::relay::version_history::VersionReport;
use crate::timer::{TimerService, TimerTicks};

/// Period of pulses in a small fleet, well below the time in which a server's number of requests changes.
const PULSE_PERIOD: Duration = Duration::from_millis(200);
/// Largest number of periodic pulses that one daemon sends per second. In a larger fleet each period serves only some
/// of the peers, in rotation.
const MAX_PULSES_PER_S: usize = 160;
/// Number of periods between two pulses to the planner, to which each daemon reports out of turn.
const PLANNER_PERIODS: usize = 3;
/// Largest datagram, in bytes; a larger pulse is not sent.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Largest number of running or waiting requests that one daemon reports, far above what it can hold.
const MAX_COUNT: u32 = 1 << 20;
/// Maximum number of messages about crashes in one datagram.
const MAX_BLAME_MESSAGES: usize = 16;
/// Maximum number of notices of streams in one datagram.
const MAX_ORIGIN_NOTICES: usize = 64;

/// The state that a daemon reports to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    pub vm: VmId,
    pub name: SmolStr,
    pub zone: SmolStr,
    /// Address of its peer server.
    pub peer: SocketAddr,
    /// Version of the configuration in force; 0 for none.
    pub config_version: u64,
    /// Whether it reads the store and its reads succeed.
    pub reads_store: bool,
    /// How long it has been a reader of the store.
    pub reading_for: Duration,
    /// Size of its VM. Of two daemons that began to read the store together, the one on the larger VM continues.
    pub weight: u32,
    /// Increases with each change of its list of backend servers or of registered daemons.
    pub tables_version: u64,
    /// Number of its running requests on each backend server, by hash of the server's id.
    pub in_flight: HashMap<u32, u32>,
    /// Teams of which it is a home (keeps part of the tokens), with its spare tokens and its share in parts per
    /// million.
    pub spare: Vec<(SmolStr, u64, u32)>,
    /// Demand since its last pulse to the receiver.
    pub demand: Vec<ModelDemand>,
    /// Fencing number under which it sends orders, if it is the planner.
    pub fence: Option<u64>,
    /// Placements that its latest orders have changed.
    pub placements: Vec<PlacementChange>,
    /// Requests during which servers died recently.
    pub suspects: Vec<SuspectNotice>,
    /// Prompt parts that are blocked, or were cleared recently.
    pub parts: Vec<PartNotice>,
    /// Zones that are or were evacuated.
    pub evacuations: Vec<ZoneNotice>,
    /// Encoded remaining work of its running requests on each server of `in_flight`, in ascending order of the hashes
    /// (see [`encode_work`](crate::routing::encode_work)).
    pub work: Vec<u8>,
    /// Encoded paces of servers that it measured lately, by hash of the server's id (see
    /// [`PaceTable`](crate::routing::PaceTable)).
    pub paces: Vec<(u32, u8)>,
    /// Servers that have refused its connections.
    pub refusals: Vec<RefusalReport>,
    /// Position of its list of backend servers; zero while it knows none.
    pub list: ListPosition,
    /// What it knows of software versions.
    pub versions: VersionReport,
}

/// Builds this daemon's pulses and handles those of peers.
pub trait PulseHandler: Send + Sync + 'static {
    /// Returns this daemon's pulse, with the changes and the demand since the last call.
    fn build_pulse(&self, now: Instant) -> Pulse;

    /// Returns the names of the daemons whose pulses arrived recently.
    fn heard(&self, now: Instant) -> HashSet<SmolStr>;

    /// Returns the peer address of the planner, if it is known.
    fn planner(&self) -> Option<SocketAddr>;

    /// Completes when a pulse must be sent to all peers immediately.
    fn urgent_change(&self) -> impl Future<Output = ()> + Send;

    /// Waits for messages about crashes, which are sent to all peers immediately, and takes them.
    fn take_blame(&self) -> impl Future<Output = Vec<BlameMessage>> + Send;

    /// Waits for servers that are found to refuse connections, which all peers are told immediately, and takes them. May
    /// be cancelled without loss.
    fn take_refusals(&self) -> impl Future<Output = Vec<RefusalReport>> + Send;

    /// Waits for notices of streams, by the pulse address of their receiver, and takes them. May be cancelled without loss.
    fn take_origins(&self) -> impl Future<Output = HashMap<SocketAddr, Vec<OriginNotice>>> + Send;

    /// Handles the pulse of a peer.
    fn handle_pulse(&self, pulse: Pulse, now: Instant);

    /// Handles messages of a peer about crashes.
    fn handle_blame(&self, messages: Vec<BlameMessage>, now: Instant);

    /// Handles a peer's reports of servers that refuse connections.
    fn handle_refusals(&self, reports: Vec<RefusalReport>, now: Instant);

    /// Handles a peer's notices of streams.
    fn handle_origins(&self, notices: Vec<OriginNotice>, now: Instant);
}

/// Spawns tasks in `group` that send and receive pulses at `address`.
///
/// # Errors
///
/// `Unavailable` if the address cannot be bound.
pub async fn spawn_pulses<H: PulseHandler>(
    address: SocketAddr,
    registry: Arc<DaemonRegistry>,
    handler: Arc<H>,
    timer: &TimerService,
    group: &TaskGroup,
) -> Result<()> {
    let socket = bind_socket(address).await.map_err(|error| {
        Error::unavailable(format!("cannot bind pulse address {address}: {error}"))
    })?;
    let socket = Arc::new(socket);
    let (receiver, received) = (socket.clone(), handler.clone());
    group.spawn_service("pulse-receiver", move || {
        receive(receiver.clone(), received.clone())
    });
    let timer = timer.clone();
    group.spawn_service("pulse-sender", move || {
        let sender = PulseSender {
            socket: socket.clone(),
            registry: registry.clone(),
            handler: handler.clone(),
            demand: DemandLog::new(),
            turn: 0,
        };
        sender.run(timer.every(PULSE_PERIOD))
    });
    Ok(())
}

/// How often pulses are sent, given the number of peers in the same zone and in other zones. At least half of the
/// pulses go to the same zone if it has that many peers, because daemons learn from peers of their zone what is in the
/// store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PulseSchedule {
    same_zone: usize,
    other_zones: usize,
}

impl PulseSchedule {
    pub(super) fn new(same_zone: usize, other_zones: usize) -> Self {
        Self {
            same_zone,
            other_zones,
        }
    }

    /// Returns the time between two pulses to the same peer.
    pub(super) fn interval(self, same_zone: bool) -> Duration {
        let (same_zone_count, other_zone_count) = self.per_tick();
        let (peers, count) = match same_zone {
            true => (self.same_zone, same_zone_count),
            false => (self.other_zones, other_zone_count),
        };
        PULSE_PERIOD * peers.div_ceil(count.max(1)).max(1) as u32
    }

    /// Returns how many peers of the same zone and of other zones get a pulse in one period.
    fn per_tick(self) -> (usize, usize) {
        let max = MAX_PULSES_PER_S * PULSE_PERIOD.as_millis() as usize / 1_000;
        let same_zone = self
            .same_zone
            .min(max.saturating_sub(self.other_zones).max(max / 2));
        (same_zone, self.other_zones.min(max - same_zone))
    }
}

/// Sends this daemon's pulses.
struct PulseSender<H> {
    socket: Arc<UdpSocket>,
    registry: Arc<DaemonRegistry>,
    handler: Arc<H>,
    demand: DemandLog,
    /// Number of pulses built so far.
    turn: usize,
}

impl<H: PulseHandler> PulseSender<H> {
    async fn run(mut self, mut ticks: TimerTicks) {
        loop {
            let urgent = tokio::select! {
                tick = ticks.next() => match tick {
                    Some(_) => false,
                    None => return,
                },
                () = self.handler.urgent_change() => true,
                messages = self.handler.take_blame() => {
                    self.send_blame(messages).await;
                    continue;
                }
                notices = self.handler.take_origins() => {
                    self.send_origins(notices).await;
                    continue;
                }
                reports = self.handler.take_refusals() => {
                    self.send_to_all(DatagramKind::Refusals, &reports).await;
                    continue;
                }
            };
            self.send(urgent).await;
        }
    }

    /// Sends one pulse to the peers whose turn it is, or to all if it is urgent.
    async fn send(&mut self, urgent: bool) {
        let now = Instant::now();
        let mut pulse = self.handler.build_pulse(now);
        self.demand.push(std::mem::take(&mut pulse.demand));
        let heard = self.handler.heard(now);
        let peers = self.registry.pulse_receivers(|name| heard.contains(name));
        let vms: HashSet<VmId> = peers.iter().map(|(_, record)| record.vm).collect();
        self.demand.retain_peers(&vms);
        // Most receivers have been told of the demand up to the same period, so their datagrams are the same.
        let mut encoded: HashMap<PeriodId, Option<Vec<u8>>> = HashMap::new();
        for (name, record) in self.receivers(&peers, &pulse.zone, urgent) {
            let period = self.demand.tell(record.vm);
            let data = encoded.entry(period).or_insert_with(|| {
                pulse.demand = self.demand.since(period);
                encode(DatagramKind::Pulse, &pulse)
            });
            let Some(data) = data else { continue };
            if let Err(error) = self.socket.send_to(data, record.pulse).await {
                log::debug!("pulse to {name} was not sent: {error}");
            }
        }
        self.turn = self.turn.wrapping_add(1);
    }

    /// Sends messages about crashes to all peers.
    async fn send_blame(&self, messages: Vec<BlameMessage>) {
        for part in messages.chunks(MAX_BLAME_MESSAGES) {
            self.send_to_all(DatagramKind::Blame, &part).await;
        }
    }

    async fn send_origins(&self, notices: HashMap<SocketAddr, Vec<OriginNotice>>) {
        for (address, notices) in notices {
            for part in notices.chunks(MAX_ORIGIN_NOTICES) {
                let Some(data) = encode(DatagramKind::Origins, &part) else {
                    continue;
                };
                if let Err(error) = self.socket.send_to(&data, address).await {
                    log::debug!("notices of streams were not sent to {address}: {error}");
                }
            }
        }
    }

    /// Sends one datagram to all peers.
    async fn send_to_all<T: Serialize>(&self, kind: DatagramKind, content: &T) {
        let Some(data) = encode(kind, content) else {
            return;
        };
        for (name, record) in &self.registry.peers() {
            if let Err(error) = self.socket.send_to(&data, record.pulse).await {
                log::debug!("a {kind:?} datagram was not sent to {name}: {error}");
            }
        }
    }

    fn receivers<'a>(
        &self,
        peers: &'a [(SmolStr, DaemonRecord)],
        zone: &str,
        urgent: bool,
    ) -> Vec<&'a (SmolStr, DaemonRecord)> {
        if urgent {
            return peers.iter().collect();
        }
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            peers.iter().partition(|(_, record)| record.zone == *zone);
        let schedule = PulseSchedule::new(same_zone.len(), other_zones.len());
        let (same_zone_count, other_zone_count) = schedule.per_tick();
        let same_zone = round_robin(&same_zone, self.turn, same_zone_count);
        let other_zones = round_robin(&other_zones, self.turn, other_zone_count);
        let mut receivers: Vec<_> = same_zone.chain(other_zones).copied().collect();
        if self.turn.is_multiple_of(PLANNER_PERIODS)
            && let Some(address) = self.handler.planner()
            && !receivers.iter().any(|(_, record)| record.peer == address)
        {
            receivers.extend(peers.iter().find(|(_, record)| record.peer == address));
        }
        receivers
    }
}

/// What a datagram contains, as its first byte. The kind of pulses changes with their fields: releases that differ in them
/// do not hear each other, and each reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DatagramKind {
    Blame = 1,
    Refusals = 2,
    Pulse = 3,
    Origins = 4,
}

/// Content of a datagram, whose numbers are checked once when it is decoded.
trait DatagramContent: DeserializeOwned {
    /// Returns whether all numbers are in the ranges that are computed with.
    fn is_valid(&self) -> bool;
}

impl DatagramContent for Pulse {
    fn is_valid(&self) -> bool {
        let running = self.in_flight.values();
        let waiting = self.demand.iter().map(|demand| &demand.waiting);
        running.chain(waiting).all(|count| *count <= MAX_COUNT)
            && self.parts.iter().all(PartNotice::is_valid)
            && self.versions.is_valid()
    }
}

impl DatagramContent for Vec<BlameMessage> {
    fn is_valid(&self) -> bool {
        self.iter().all(BlameMessage::is_valid)
    }
}

impl DatagramContent for Vec<RefusalReport> {
    fn is_valid(&self) -> bool {
        true
    }
}

impl DatagramContent for Vec<OriginNotice> {
    fn is_valid(&self) -> bool {
        self.iter().all(OriginNotice::is_valid)
    }
}

/// Encodes the content of a datagram, or returns `None` if that is impossible, which is logged.
fn encode<T: Serialize>(kind: DatagramKind, content: &T) -> Option<Vec<u8>> {
    let message = (kind as u8, content);
    match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(data) if data.len() <= MAX_DATAGRAM_BYTES => Some(data),
        Ok(data) => {
            log::warn!(
                "a {kind:?} datagram of {} bytes is too large to send",
                data.len()
            );
            None
        }
        Err(error) => {
            log::error!("a {kind:?} datagram cannot be encoded: {error}");
            None
        }
    }
}

/// Returns the `count` peers that are next in the rotation at `turn`.
fn round_robin<T>(peers: &[T], turn: usize, count: usize) -> impl Iterator<Item = &T> {
    let start = turn.wrapping_mul(count);
    (0..count.min(peers.len())).map(move |step| &peers[start.wrapping_add(step) % peers.len()])
}

async fn receive<H: PulseHandler>(socket: Arc<UdpSocket>, handler: Arc<H>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!("no pulse could be received: {error}");
                continue;
            }
        };
        handle_datagram(&buffer[..length], &*handler);
    }
}

fn handle_datagram<H: PulseHandler>(datagram: &[u8], handler: &H) {
    let Some((kind, content)) = datagram.split_first() else {
        return;
    };
    let now = Instant::now();
    let result = if *kind == DatagramKind::Pulse as u8 {
        decode(content).map(|pulse| handler.handle_pulse(pulse, now))
    } else if *kind == DatagramKind::Blame as u8 {
        decode(content).map(|messages| handler.handle_blame(messages, now))
    } else if *kind == DatagramKind::Refusals as u8 {
        decode(content).map(|reports| handler.handle_refusals(reports, now))
    } else if *kind == DatagramKind::Origins as u8 {
        decode(content).map(|notices| handler.handle_origins(notices, now))
    } else {
        Err(Error::invalid(format!("unknown kind {kind}")))
    };
    if let Err(error) = result {
        log::debug!("a datagram cannot be decoded: {error}");
    }
}

fn decode<T: DatagramContent>(content: &[u8]) -> Result<T> {
    let (content, _): (T, usize) =
        bincode::serde::decode_from_slice(content, bincode::config::standard())
            .map_err(|error| Error::invalid(error.to_string()))?;
    match content.is_valid() {
        true => Ok(content),
        false => Err(Error::invalid("a number is out of range")),
    }
}
