//! Messages between daemons on the users' platform: pulses, peer calls and placement requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::blame::BlameMessage;
use crate::daemon::relay::{Core, Planner, RelayServices};
use crate::error::Result;
use crate::kernel::TaskGroup;
use crate::limit::LimitService;
use crate::member::PeerTable;
use crate::metrics::KindLabels;
use crate::peer::{
    PeerCaller, PeerClient, PeerHandler, PeerReply, PeerRequest, PeerStatus, SuspectNotice,
};
use crate::placement::DemandTracker;
use crate::relay::{
    ConfigHolder, CopyTables, CrashWatch, DaemonRegistry, KnownOrigin, OriginNotice,
    OriginQuestion, PlacementChange, PlacementRequest, Pulse, PulseHandler, QUARANTINE_TIME,
    ReaderElection, RefusalReport, RelayFleet, StreamId, StreamOrigins,
};

/// Time limit of one placement request to the planner.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Maximum number of attempts of a placement request, during which requests may still wait for the item.
const PLACEMENT_ATTEMPTS: usize = 3;
/// Delay between two attempts of a placement request.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time limit of the question which software began a stream. The caller is refused if nobody answers, and may come back.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which pulses repeat a notice about a suspect request: long enough to send a pulse to every peer in turn,
/// even if one pulse is lost.
const NOTICE_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum number of notices in one pulse, which must fit into a datagram.
const MAX_NOTICES: usize = 32;

/// Fencing number and peer address of the current planner, learned from pulses.
#[derive(Default)]
pub(super) struct KnownPlanner(Mutex<Option<(u64, SocketAddr)>>);

impl KnownPlanner {
    fn note(&self, fence: u64, peer: SocketAddr) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if known.is_none_or(|(newest, _)| newest <= fence) {
            *known = Some((fence, peer));
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        known.map(|(_, peer)| peer)
    }
}

/// Starts the task that forwards placement requests to the planner, at most one at a time for each item.
pub(super) fn spawn_placement_requests(
    services: &RelayServices,
    group: &TaskGroup,
) -> mpsc::UnboundedSender<PlacementRequest> {
    let (sender, mut requests) = mpsc::unbounded_channel();
    let pending: Arc<Mutex<HashSet<PlacementRequest>>> = Arc::default();
    let (planner, known_planner) = (services.planner.clone(), services.known_planner.clone());
    let (client, fleet) = (services.client.clone(), services.fleet.clone());
    let parent = group.clone();
    group.spawn_essential("placement-requests", async move {
        while let Some(item) = requests.recv().await {
            let mut known = pending.lock().unwrap_or_else(PoisonError::into_inner);
            if !known.insert(PlacementRequest::clone(&item)) {
                continue;
            }
            let (planner, known_planner) = (planner.clone(), known_planner.clone());
            let (client, fleet, pending) = (client.clone(), fleet.clone(), pending.clone());
            let (pending_left, item_left) = (pending.clone(), PlacementRequest::clone(&item));
            let task = async move {
                for _ in 0..PLACEMENT_ATTEMPTS {
                    if let Some(placement) =
                        request_placement(&planner, &known_planner, &client, &item).await
                    {
                        fleet.note_placements(&[placement], Instant::now());
                        break;
                    }
                    tokio::time::sleep(PLACEMENT_RETRY_DELAY).await;
                }
                pending
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .remove(&item);
            };
            // Without its end, the item would not be asked for again.
            parent.spawn_recoverable("placement-request", task, move || {
                let mut pending = pending_left.lock().unwrap_or_else(PoisonError::into_inner);
                pending.remove(&item_left);
            });
        }
    });
    sender
}

async fn request_placement(
    planner: &Planner,
    known_planner: &KnownPlanner,
    client: &PeerClient,
    item: &PlacementRequest,
) -> Option<PlacementChange> {
    if planner.fence().is_some() {
        return planner.place(item.clone()).await;
    }
    let request = PeerRequest::Place(item.clone());
    match client
        .call(known_planner.address()?, request, PLACEMENT_TIMEOUT)
        .await
    {
        Ok(PeerReply::Placed(placement)) => placement,
        Ok(_) => None,
        Err(error) => {
            log::info!("placement request to the planner failed for {item:?}: {error}");
            None
        }
    }
}

/// Starts the task that asks other daemons which software began a stream.
pub(super) fn spawn_origin_questions(
    client: Arc<PeerClient>,
    mut questions: mpsc::UnboundedReceiver<OriginQuestion>,
    group: &TaskGroup,
) {
    let parent = group.clone();
    group.spawn_essential("origin-questions", async move {
        while let Some(question) = questions.recv().await {
            let client = client.clone();
            // The asking request may have ended.
            let task = async move {
                let origin = ask_holders(&client, question.stream, &question.holders).await;
                let _ = question.reply.send(origin);
            };
            parent.spawn_recoverable("origin-question", task, || {});
        }
    });
}

/// Asks all holders at once and returns the first answer that says something.
async fn ask_holders(client: &PeerClient, stream: StreamId, holders: &[SocketAddr]) -> KnownOrigin {
    let calls = holders.iter().map(|holder| {
        let request = PeerRequest::FindOrigin(stream);
        client.call(*holder, request, ORIGIN_TIMEOUT)
    });
    let mut replies: FuturesUnordered<_> = calls.collect();
    while let Some(reply) = replies.next().await {
        match reply {
            Ok(PeerReply::Origin(KnownOrigin::Unknown)) => {}
            Ok(PeerReply::Origin(origin)) => return origin,
            Ok(_) => {
                log::info!("a daemon answered another question than which software began a stream")
            }
            Err(error) => {
                log::info!("a daemon could not be asked which software began a stream: {error}")
            }
        }
    }
    KnownOrigin::Unknown
}

/// Answers calls from other daemons.
pub(super) struct RelayPeerHandler {
    pub(super) limits: Arc<LimitService<PeerClient>>,
    pub(super) core: Arc<Core>,
    pub(super) planner: Arc<Planner>,
    pub(super) tables: CopyTables,
    pub(super) origins: Arc<StreamOrigins>,
}

impl PeerHandler for RelayPeerHandler {
    async fn handle(&self, request: PeerRequest) -> Result<PeerReply> {
        match request {
            PeerRequest::Borrow {
                borrower,
                team,
                tokens,
                min_tokens,
            } => Ok(PeerReply::Loan(
                self.limits.lend(borrower, &team, tokens, min_tokens),
            )),
            PeerRequest::Suspects(notices) => {
                self.core.apply_notices(&notices, QUARANTINE_TIME);
                Ok(PeerReply::Done)
            }
            PeerRequest::FindOrigin(stream) => Ok(PeerReply::Origin(self.origins.find(stream))),
            PeerRequest::Place(item) => Ok(PeerReply::Placed(self.planner.place(item).await)),
            request => self.tables.answer(request),
        }
    }
}

/// Notices about suspect requests that are still sent in pulses.
#[derive(Default)]
struct RecentNotices(Mutex<Vec<(SuspectNotice, Instant)>>);

impl RecentNotices {
    /// Adds notices and returns those for the next pulse, oldest first; beyond [`MAX_NOTICES`] only the newest.
    fn update(&self, notices: Vec<SuspectNotice>, now: Instant) -> Vec<SuspectNotice> {
        let mut recent = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        recent.retain(|(_, since)| *since + NOTICE_LIFETIME > now);
        recent.extend(notices.into_iter().map(|notice| (notice, now)));
        let newest = recent.iter().skip(recent.len().saturating_sub(MAX_NOTICES));
        newest.map(|(notice, _)| *notice).collect()
    }
}

/// Builds this daemon's pulses and applies those of other daemons.
pub(super) struct RelayPulseHandler {
    pub(super) configs: Arc<ConfigHolder>,
    pub(super) fleet: Arc<RelayFleet>,
    pub(super) registry: Arc<DaemonRegistry>,
    pub(super) limits: Arc<LimitService<PeerClient>>,
    pub(super) peer_table: Arc<PeerTable>,
    pub(super) demand: Arc<DemandTracker>,
    pub(super) core: Arc<Core>,
    pub(super) planner: Arc<Planner>,
    pub(super) known_planner: Arc<KnownPlanner>,
    pub(super) readers: Arc<ReaderElection>,
    pub(super) watch: Arc<CrashWatch>,
    pub(super) origins: Arc<StreamOrigins>,
    notices: RecentNotices,
}

impl RelayPulseHandler {
    pub(super) fn new(services: &RelayServices) -> Self {
        Self {
            configs: services.configs.clone(),
            fleet: services.fleet.clone(),
            registry: services.registry.clone(),
            limits: services.limits.clone(),
            peer_table: services.peer_table.clone(),
            demand: services.demand.clone(),
            core: services.core.clone(),
            planner: services.planner.clone(),
            known_planner: services.known_planner.clone(),
            readers: services.readers.clone(),
            watch: services.watch.clone(),
            origins: services.origins.clone(),
            notices: RecentNotices::default(),
        }
    }

    /// Returns the spare tokens and this daemon's share in ppm, for each team of whose rate it has a share.
    fn spare(&self) -> Vec<(SmolStr, u64, u32)> {
        let shares: HashMap<SmolStr, u32> = self.limits.shares().into_iter().collect();
        let spare = self.limits.spare().into_iter();
        let spare = spare.filter_map(|(team, tokens)| {
            let share = *shares.get(&team)?;
            Some((team, tokens, share))
        });
        spare.collect()
    }
}

impl PulseHandler for RelayPulseHandler {
    fn build_pulse(&self, now: Instant) -> Pulse {
        let (name, record) = self.registry.own_registration();
        let waiting = self.core.waiting().into_iter();
        let waiting = waiting.map(|(model, count)| (model, count.interactive as u32));
        let demand = self.core.demand().take(&waiting.collect::<Vec<_>>());
        self.demand.record(record.peer, &demand, now);
        let in_flight = self.fleet.own_in_flight();
        Pulse {
            vm: record.vm,
            name: name.clone(),
            zone: record.zone.clone(),
            peer: record.peer,
            config_version: self.configs.version(),
            reads_store: self.readers.is_reading(now),
            reading_for: self.readers.reading_for(now),
            weight: self.readers.weight(),
            tables_version: self.fleet.version() + self.registry.version(),
            work: self.fleet.own_work(&in_flight),
            in_flight,
            spare: self.spare(),
            demand,
            fence: self.planner.fence(),
            placements: self.planner.take_announcements(),
            suspects: self.notices.update(self.core.take_notices(), now),
            parts: self.watch.notices(now),
            evacuations: self.fleet.evacuation_notices(now),
            paces: self.fleet.take_pace_news(now),
            refusals: self.fleet.refusal_reports(now),
            list: self.fleet.position(),
            versions: self.fleet.version_report(now),
        }
    }

    fn heard(&self, now: Instant) -> HashSet<SmolStr> {
        self.readers.live_names(now)
    }

    fn planner(&self) -> Option<SocketAddr> {
        self.known_planner.address()
    }

    async fn urgent_change(&self) {
        let mut configs = self.configs.subscribe();
        let mut departures = self.fleet.departures();
        // Both senders exist as long as the daemon.
        loop {
            tokio::select! {
                Ok(()) = configs.changed() => {}
                Ok(()) = departures.changed() => {}
                else => return,
            }
            if self.readers.is_reading(Instant::now()) {
                return;
            }
        }
    }

    async fn take_blame(&self) -> Vec<BlameMessage> {
        self.watch.take_messages().await
    }

    fn handle_blame(&self, messages: Vec<BlameMessage>, now: Instant) {
        for message in messages {
            self.watch.handle_message(message, now);
        }
    }

    async fn take_refusals(&self) -> Vec<RefusalReport> {
        self.fleet.take_refusal_reports().await
    }

    fn handle_refusals(&self, reports: Vec<RefusalReport>, now: Instant) {
        let used = self.fleet.apply_refusal_reports(&reports, now);
        let metrics = self.core.metrics();
        let label = KindLabels { kind: "reported" };
        metrics.connects.get_or_create(&label).inc_by(used as u64);
    }

    async fn take_origins(&self) -> HashMap<SocketAddr, Vec<OriginNotice>> {
        self.origins.take_notices().await
    }

    fn handle_origins(&self, notices: Vec<OriginNotice>, now: Instant) {
        self.origins.apply(&notices, now);
    }

    fn handle_pulse(&self, pulse: Pulse, now: Instant) {
        self.readers.note_pulse(&pulse, now);
        self.fleet.apply_version_report(&pulse.versions, now);
        self.fleet
            .record_peer_work(pulse.vm, &pulse.in_flight, &pulse.work);
        self.fleet
            .record_peer_in_flight(pulse.vm, pulse.in_flight, now);
        self.fleet.apply_pace_news(&pulse.paces, now);
        self.demand.record(pulse.peer, &pulse.demand, now);
        self.fleet.note_placements(&pulse.placements, now);
        self.fleet.apply_evacuation_notices(&pulse.evacuations, now);
        self.handle_refusals(pulse.refusals, now);
        self.core.apply_notices(&pulse.suspects, QUARANTINE_TIME);
        self.watch.apply_notices(&pulse.parts, now);
        if let Some(fence) = pulse.fence {
            self.known_planner.note(fence, pulse.peer);
        }
        let spare = pulse.spare;
        let shares = spare.iter().map(|(team, _, share)| (team.clone(), *share));
        let shares: HashMap<SmolStr, u32> = shares.collect();
        let status = PeerStatus {
            vm: pulse.vm,
            name: pulse.name,
            config_next: crate::ids::LogOffset(pulse.config_version),
            members_next: crate::ids::LogOffset(0),
            log_reachable: pulse.reads_store,
            no_expire_for: Duration::ZERO,
            spare: spare
                .iter()
                .map(|(team, tokens, _)| (team.clone(), *tokens))
                .collect(),
            leaving: Vec::new(),
        };
        self.peer_table
            .record_with_shares(pulse.peer, status, Some(shares), now);
        let peers = self.readers.live_peers(now);
        self.peer_table.retain(|address| peers.contains(&address));
    }
}

/// Takes over what daemons wrote of software versions with their registrations, and sets what this daemon writes.
pub(super) fn exchange_reports(fleet: &RelayFleet, registry: &DaemonRegistry, now: Instant) {
    if !fleet.has_list() {
        return;
    }
    for report in registry.take_reports(SystemTime::now()) {
        fleet.apply_version_report(&report, now);
    }
    registry.set_report(fleet.version_report(now));
}
