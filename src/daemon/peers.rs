//! Calls between daemons: this daemon's status, its answers to peers, and the peers of the replica.

use std::sync::{Arc, OnceLock};

use smol_str::SmolStr;

use crate::daemon::CoreServices;
use crate::daemon::parts::{Limits, Members, PolicyParts, Replica, Watch};
use crate::dispatch::RequestDispatcher;
use crate::error::{Error, Result};
use crate::ids::LogOffset;
use crate::inventory::HttpVmList;
use crate::member::StatusSource;
use crate::operator::MemberLister;
use crate::peer::{PeerClient, PeerHandler, PeerReply, PeerRequest};
use crate::placement::DemandTracker;
use crate::proto;
use crate::replica::{FleetPeers, ReplicaPeers, first_in_rendezvous_order};
use crate::settings::DaemonSettings;

/// Topic of the rendezvous hash that selects the daemon that writes snapshots.
const SNAPSHOT_TOPIC: &str = "snapshots";

/// Returns the peers of the replica. The replica starts before the membership service, so `members` is set later.
///
/// An outdated list of members causes a duplicate snapshot, or a late one that another daemon writes.
pub(super) fn replica_peers(
    settings: &DaemonSettings,
    client: Arc<PeerClient>,
    vms: Arc<HttpVmList>,
    members: Arc<OnceLock<Arc<Members>>>,
) -> impl ReplicaPeers {
    let own = settings.vm.clone();
    let writes_snapshots = move || {
        let Some(members) = members.get() else {
            return false;
        };
        let entries = members.members().into_iter();
        let names: Vec<SmolStr> = entries.map(|(_, entry)| entry.name).collect();
        first_in_rendezvous_order(SNAPSHOT_TOPIC, &names) == Some(&own)
    };
    let address = settings.listen.advertised_peer();
    FleetPeers::new(client, vms, address, writes_snapshots)
}

/// Provides the parts of this daemon's status that come from other services than the membership.
pub(super) struct DaemonStatus {
    replica: Arc<Replica>,
    limits: Arc<Limits>,
    watch: Arc<Watch>,
}

impl DaemonStatus {
    pub(super) fn new(replica: Arc<Replica>, limits: Arc<Limits>, watch: Arc<Watch>) -> Self {
        Self {
            replica,
            limits,
            watch,
        }
    }
}

impl StatusSource for DaemonStatus {
    fn config_next(&self) -> LogOffset {
        self.replica.next_offset()
    }

    fn spare(&self) -> Vec<(SmolStr, u64)> {
        self.limits.spare()
    }

    fn leaving(&self) -> Vec<SmolStr> {
        self.watch.leaving()
    }
}

/// Answers the calls of other daemons.
pub(super) struct DaemonPeerHandler<P: PolicyParts> {
    replica: Arc<Replica>,
    limits: Arc<Limits>,
    members: Arc<Members>,
    watch: Arc<Watch>,
    demand: Arc<DemandTracker>,
    dispatcher: Arc<RequestDispatcher<P>>,
}

impl<P: PolicyParts> DaemonPeerHandler<P> {
    pub(super) fn new(
        core: &CoreServices,
        demand: Arc<DemandTracker>,
        dispatcher: Arc<RequestDispatcher<P>>,
    ) -> Self {
        Self {
            replica: core.replica.clone(),
            limits: core.limits.clone(),
            members: core.members.clone(),
            watch: core.watch.clone(),
            demand,
            dispatcher,
        }
    }
}

impl<P: PolicyParts> PeerHandler for DaemonPeerHandler<P> {
    async fn handle(&self, request: PeerRequest) -> Result<PeerReply> {
        match request {
            PeerRequest::Status(status) => {
                self.replica
                    .record_peer_offset(&status.name, status.config_next);
                self.watch.record_leaving_notice(&status.leaving);
                Ok(PeerReply::Status(self.members.answer_status(&status)))
            }
            PeerRequest::Borrow {
                borrower,
                team,
                tokens,
                min_tokens,
            } => Ok(PeerReply::Loan(
                self.limits.lend(borrower, &team, tokens, min_tokens),
            )),
            PeerRequest::Suspects(notices) => {
                self.dispatcher.apply_notices(&notices);
                Ok(PeerReply::Done)
            }
            PeerRequest::Demand { reporter, demands } => {
                self.demand
                    .record(reporter, &demands, std::time::Instant::now());
                Ok(PeerReply::Done)
            }
            other => self
                .replica
                .handle_peer_request(&other)
                .unwrap_or_else(|| Err(Error::internal("no service answers this peer call"))),
        }
    }
}

/// Lists the members for operators.
pub(super) fn member_lister(members: Arc<Members>) -> MemberLister {
    Arc::new(move || {
        let list = members.members().into_iter();
        let list = list.map(|(vm, entry)| {
            let planner = members
                .planner(&entry.zone)
                .is_some_and(|planner| planner.vm == vm);
            proto::Member {
                vm: vm.to_string(),
                name: entry.name.to_string(),
                zone: entry.zone.to_string(),
                peer_address: entry.peer.to_string(),
                share_ppm: entry.granted,
                planner,
            }
        });
        list.collect()
    })
}
