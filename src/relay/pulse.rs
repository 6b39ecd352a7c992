//! Datagrams by which daemons tell each other what changes all the time. Losing one costs accuracy only.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::UdpSocket;

use crate::dispatch::ModelDemand;
use crate::error::{Error, Result};
use crate::ids::VmId;
use crate::kernel::TaskGroup;
use crate::peer::SuspectNotice;
use crate::relay::engines::PlacementChange;
use crate::relay::registry::DaemonRegistry;
use crate::timer::TimerService;

/// Period of pulses in a small fleet: well below the time in which the load of a server changes.
const PULSE_PERIOD: Duration = Duration::from_millis(200);
/// Pulses that one daemon sends a second at most; a larger fleet is told in turn.
const MAX_PULSES_PER_S: usize = 160;
/// Longest datagram, in bytes; a longer pulse is not sent.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// What a daemon tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    pub vm: VmId,
    pub name: SmolStr,
    pub zone: SmolStr,
    /// Address of its peer server.
    pub peer: SocketAddr,
    /// Version of the configuration that it has; 0 for none.
    pub config_version: u64,
    /// Whether it reads the store, with success.
    pub reads_store: bool,
    /// How long it has done so.
    pub reading_for: Duration,
    /// Size of its VM; the larger one of two reads the store.
    pub weight: u32,
    /// Grows with each change of what it has read.
    pub tables_version: u64,
    /// Its requests by server.
    pub loads: HashMap<u32, u32>,
    /// Spare tokens of the teams of which it is a home, and its share in parts per million.
    pub spare: Vec<(SmolStr, u64, u32)>,
    /// Demand since its last pulse.
    pub demand: Vec<ModelDemand>,
    /// Fencing number under which it gives orders, if it does.
    pub fence: Option<u64>,
    /// What its latest orders have changed.
    pub placements: Vec<PlacementChange>,
    /// Requests under which servers died lately.
    pub suspects: Vec<SuspectNotice>,
}

/// Makes and takes pulses.
pub trait PulseHandler: Send + Sync + 'static {
    /// Returns this daemon's pulse, with what changed in the time since the last call.
    fn build_pulse(&self, now: Instant) -> Pulse;

    /// Resolves when all peers shall get a pulse at once.
    fn urgent_change(&self) -> impl Future<Output = ()> + Send;

    /// Takes in the pulse of a peer.
    fn handle_pulse(&self, pulse: Pulse, now: Instant);
}

/// Sends and receives pulses at `address` in tasks of `group`.
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
    let socket = UdpSocket::bind(address).await.map_err(|error| {
        Error::unavailable(format!("cannot bind pulse address {address}: {error}"))
    })?;
    let socket = Arc::new(socket);
    group.spawn_cancellable(receive(socket.clone(), handler.clone()));
    let mut ticks = timer.every(PULSE_PERIOD);
    group.spawn_cancellable(async move {
        let mut turn = 0;
        loop {
            let urgent = tokio::select! {
                tick = ticks.next() => match tick {
                    Some(_) => false,
                    None => return,
                },
                () = handler.urgent_change() => true,
            };
            send(&socket, &registry, &*handler, &mut turn, urgent).await;
        }
    });
    Ok(())
}

/// How often peers are told, by their number in the own zone and elsewhere. Half of the pulses go to the own zone, from
/// which daemons learn what is in the store.
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

    /// Returns how many peers of the own zone and how many others get a pulse in one period.
    fn per_tick(self) -> (usize, usize) {
        let most = MAX_PULSES_PER_S * PULSE_PERIOD.as_millis() as usize / 1_000;
        let same_zone = self
            .same_zone
            .min(most.saturating_sub(self.other_zones).max(most / 2));
        (same_zone, self.other_zones.min(most - same_zone))
    }
}

async fn send<H: PulseHandler>(
    socket: &UdpSocket,
    registry: &DaemonRegistry,
    handler: &H,
    turn: &mut usize,
    urgent: bool,
) {
    let zone = &registry.own_registration().1.zone;
    let peers = registry.peers();
    let (same_zone, other_zones): (Vec<_>, Vec<_>) =
        peers.iter().partition(|(_, record)| record.zone == *zone);
    let pulse = handler.build_pulse(Instant::now());
    let data = match bincode::serde::encode_to_vec(&pulse, bincode::config::standard()) {
        Ok(data) if data.len() <= MAX_DATAGRAM_BYTES => data,
        Ok(data) => {
            log::warn!("a pulse of {} bytes is too long to send", data.len());
            return;
        }
        Err(error) => {
            log::error!("a pulse cannot be encoded: {error}");
            return;
        }
    };
    let (same_zone_count, other_zone_count) = match urgent {
        true => (same_zone.len(), other_zones.len()),
        false => PulseSchedule::new(same_zone.len(), other_zones.len()).per_tick(),
    };
    let receivers = round_robin(&same_zone, *turn, same_zone_count).chain(round_robin(
        &other_zones,
        *turn,
        other_zone_count,
    ));
    for (name, record) in receivers {
        if let Err(error) = socket.send_to(&data, record.pulse).await {
            log::debug!("pulse to {name} was not sent: {error}");
        }
    }
    *turn = turn.wrapping_add(1);
}

/// Returns `count` of `peers`, the next ones at each turn.
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
        let decoded =
            bincode::serde::decode_from_slice(&buffer[..length], bincode::config::standard());
        match decoded {
            Ok((pulse, _)) => handler.handle_pulse(pulse, Instant::now()),
            Err(error) => log::debug!("a pulse cannot be decoded: {error}"),
        }
    }
}
