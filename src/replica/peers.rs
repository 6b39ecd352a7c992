//! Calls between daemons that synchronize the catalog.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::{Category, Error, Result};
use crate::ids::LogOffset;
use crate::inventory::{VmList, VmRole};
use crate::journal::JournalClient;
use crate::peer::{PeerCaller, PeerReply, PeerRequest};
use crate::replica::{CatalogReplica, ConfigRecords, ReplicaPeers};

/// Longest waits for a peer's offset and for its state.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
const STATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for a peer to take records.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// States fetched per attempt. The newest one suffices; the others are fallbacks in case its peer goes away.
const MAX_FETCHED_STATES: usize = 3;

/// Peers from the VM list, reached through peer calls.
pub struct FleetPeers<C, L, W> {
    caller: Arc<C>,
    list: Arc<L>,
    own: SocketAddr,
    /// Addresses from the last successful read of the VM list, used while the list is down.
    last_listed: Mutex<Vec<SocketAddr>>,
    writes_snapshots: W,
}

impl<C, L, W> FleetPeers<C, L, W> {
    /// Creates peers of the daemon whose peer address is `own`. `writes_snapshots` tells whether this daemon is the
    /// first in rendezvous order; see [`first_in_rendezvous_order`].
    pub fn new(caller: Arc<C>, list: Arc<L>, own: SocketAddr, writes_snapshots: W) -> Self {
        Self {
            caller,
            list,
            own,
            last_listed: Mutex::default(),
            writes_snapshots,
        }
    }
}

impl<C, L, W> FleetPeers<C, L, W>
where
    C: PeerCaller,
    L: VmList,
{
    async fn addresses(&self) -> Vec<SocketAddr> {
        let listed = self.list.list().await;
        let mut last_listed = self
            .last_listed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match listed {
            Ok(vms) => {
                let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
                let addresses = entries.map(|vm| vm.address);
                *last_listed = addresses.filter(|address| *address != self.own).collect();
            }
            Err(cause) => log::debug!("cannot read the VM list: {cause}"),
        }
        last_listed.clone()
    }

    /// Returns the reachable peers, the one with the newest state first.
    async fn peers_newest_first(&self) -> Vec<SocketAddr> {
        let probes = self.addresses().await.into_iter().map(async |peer| {
            let request = PeerRequest::PushConfig {
                first: LogOffset(0),
                records: Vec::new(),
            };
            match self.caller.call(peer, request, PROBE_TIMEOUT).await {
                Ok(PeerReply::Applied(next)) => Some((next, peer)),
                _ => None,
            }
        });
        let mut reached: Vec<_> = join_all(probes).await.into_iter().flatten().collect();
        reached.sort_by(|left, right| right.cmp(left));
        reached.into_iter().map(|(_, peer)| peer).collect()
    }
}

impl<C, L, W> ReplicaPeers for FleetPeers<C, L, W>
where
    C: PeerCaller,
    L: VmList,
    W: Fn() -> bool + Send + Sync + 'static,
{
    async fn fetch_states(&self) -> Vec<Vec<u8>> {
        let mut states = Vec::new();
        for peer in self.peers_newest_first().await {
            let call = self
                .caller
                .call(peer, PeerRequest::FetchState, STATE_TIMEOUT);
            match call.await {
                Ok(PeerReply::State(state)) => states.push(state),
                Ok(_) => log::warn!(
                    "peer {peer} answered a request for its state with an unexpected reply"
                ),
                Err(cause) => log::debug!("cannot fetch the state of peer {peer}: {cause}"),
            }
            if states.len() == MAX_FETCHED_STATES {
                break;
            }
        }
        states
    }

    fn writes_snapshots(&self) -> bool {
        (self.writes_snapshots)()
    }
}

/// Returns the name that comes first in the rendezvous order of `topic`, which all VMs with the same view agree on.
pub fn first_in_rendezvous_order<'a>(
    topic: &str,
    names: impl IntoIterator<Item = &'a SmolStr>,
) -> Option<&'a SmolStr> {
    names.into_iter().max_by_key(|name| {
        let place = format!("{topic}/{name}");
        (xxh3_64(place.as_bytes()), *name)
    })
}

impl<J: JournalClient> CatalogReplica<J> {
    /// Answers the peer calls that concern the configuration; `None` for other calls.
    pub fn handle_peer_request(&self, request: &PeerRequest) -> Option<Result<PeerReply>> {
        match request {
            PeerRequest::PushConfig { first, records } => {
                Some(Ok(PeerReply::Applied(self.apply_pushed(*first, records))))
            }
            PeerRequest::FetchState => Some(self.encode_state().map(PeerReply::State)),
            _ => None,
        }
    }

    /// Pushes the records that the VM `name` lacks according to its last report to its peer address, and records the
    /// offset that it answers. Does nothing if it lacks none or if this replica no longer holds them.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or breaks the protocol.
    pub async fn push_to_peer<C: PeerCaller>(
        &self,
        caller: &C,
        name: &SmolStr,
        peer: SocketAddr,
    ) -> Result<()> {
        let reported = self.reported_offset(name).unwrap_or_default();
        let Some(ConfigRecords { first, records }) = self.records_from(reported) else {
            return Ok(());
        };
        let request = PeerRequest::PushConfig { first, records };
        match caller.call(peer, request, PUSH_TIMEOUT).await? {
            PeerReply::Applied(next) => {
                self.record_peer_offset(name, next);
                Ok(())
            }
            _ => Err(Error::new(
                Category::Protocol,
                format!("peer {peer} answered pushed records with an unexpected reply"),
            )),
        }
    }
}
