//! Connects a [`MemberAgent`] to the log, the VM list and the peers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use tokio::sync::watch;

use crate::error::{Category, Error, Result, RunVerdict};
use crate::ids::{LogOffset, VmId};
use crate::inventory::VmList;
use crate::journal::{JournalClient, StreamName};
use crate::kernel::TaskGroup;
use crate::member::{
    AgentSettings, MemberAgent, MemberEntry, MemberRecord, PeerEntry, PeerTable, ShareSink,
    StatusSource, ViewEvidence, ZonePlanner,
};
use crate::peer::{PeerCaller, PeerReply, PeerRequest, PeerStatus};
use crate::timer::TimerService;

/// Records per read.
const READ_RECORDS: usize = 512;
/// Longest wait of a read for new records.
const READ_WAIT: Duration = Duration::from_millis(800);
/// Time beyond its wait after which a read is abandoned.
const READ_SLACK: Duration = Duration::from_secs(2);
/// Age of the newest successful read up to which the log counts as reachable.
const MAX_READ_AGE: Duration = Duration::from_millis(1_500);
/// Pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest period of status exchanges and of reads of the VM list.
const STATUS_PERIOD: Duration = Duration::from_secs(1);
/// Peers that are asked per period while the log is reachable; 16 statuses/s stay within 6 KB/s per daemon.
const STATUS_PEERS: usize = 16;
/// Most status calls in flight at once.
const MAX_STATUS_CALLS: usize = 64;
/// Pause between attempts to append `Leave`.
const LEAVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of a [`MemberService`].
pub type MemberSettings = AgentSettings;

struct Shared<J, V, C> {
    agent: Mutex<MemberAgent>,
    peer_table: Arc<PeerTable>,
    journal: Arc<J>,
    vms: Arc<V>,
    caller: Arc<C>,
    sink: Arc<dyn ShareSink>,
    source: Arc<dyn StatusSource>,
    settings: MemberSettings,
    read_at: Mutex<Option<Instant>>,
    next_peer: AtomicUsize,
    vm: watch::Sender<VmId>,
}

/// Running membership of this daemon. Clones share it.
pub struct MemberService<J, V, C> {
    shared: Arc<Shared<J, V, C>>,
}

impl<J, V, C> Clone for MemberService<J, V, C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// Dependencies of a [`MemberService`].
pub struct MemberParts<J, V, C> {
    pub journal: Arc<J>,
    pub vms: Arc<V>,
    pub caller: Arc<C>,
    pub peer_table: Arc<PeerTable>,
    pub sink: Arc<dyn ShareSink>,
    pub source: Arc<dyn StatusSource>,
}

impl<J: JournalClient, V: VmList, C: PeerCaller> MemberService<J, V, C> {
    /// Starts to replay the `members` stream, joins, and keeps the membership until [`Self::leave`].
    pub fn open(
        group: &TaskGroup,
        timer: &TimerService,
        settings: MemberSettings,
        parts: MemberParts<J, V, C>,
    ) -> Self {
        let vm = VmId::random();
        let shared = Arc::new(Shared {
            agent: Mutex::new(MemberAgent::new(settings.clone(), vm)),
            peer_table: parts.peer_table,
            journal: parts.journal,
            vms: parts.vms,
            caller: parts.caller,
            sink: parts.sink,
            source: parts.source,
            settings,
            read_at: Mutex::new(None),
            next_peer: AtomicUsize::new(0),
            vm: watch::Sender::new(vm),
        });
        group.spawn_essential("members-reader", follow(shared.clone()));
        let appends = append_due(group.clone(), timer.clone(), shared.clone());
        group.spawn_essential("members-writer", appends);
        group.spawn_essential(
            "status-exchange",
            exchange_status(timer.clone(), shared.clone()),
        );
        group.spawn_essential("vm-list-reader", read_list(timer.clone(), shared.clone()));
        Self { shared }
    }

    /// Returns the share in parts per million, or `None` when the term has ended.
    pub fn share(&self, now: Instant) -> Option<u32> {
        self.shared.agent().share(now)
    }

    /// Returns the present incarnation and the fencing number of `zone` if this daemon is its planner and inside its
    /// term. Both are read under one lock, because the incarnation changes when the daemon is expired.
    pub fn planner_fence(&self, zone: &str, now: Instant) -> Option<ZonePlanner> {
        let agent = self.shared.agent();
        agent.share(now)?;
        let planner = agent.table().planner(zone)?;
        (planner.vm == agent.vm()).then_some(planner)
    }

    /// Returns the planner of `zone`.
    pub fn planner(&self, zone: &str) -> Option<ZonePlanner> {
        self.shared.agent().table().planner(zone)
    }

    /// Returns the present incarnation, which changes when the daemon is expired.
    pub fn vm(&self) -> VmId {
        self.shared.agent().vm()
    }

    /// Watches the present incarnation.
    pub fn watch_vm(&self) -> watch::Receiver<VmId> {
        self.shared.vm.subscribe()
    }

    /// Returns the members in order of incarnation.
    pub fn members(&self) -> Vec<(VmId, MemberEntry)> {
        let agent = self.shared.agent();
        agent
            .table()
            .members()
            .map(|(vm, entry)| (vm, entry.clone()))
            .collect()
    }

    /// Returns the latest status of each peer.
    pub fn peers(&self) -> Vec<PeerEntry> {
        self.shared.peer_table.entries()
    }

    /// Returns the addresses of all other daemons in the VM list or the member table.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.shared.agent().peer_addresses()
    }

    /// Returns whether the replay has reached the log's end.
    pub fn caught_up(&self) -> bool {
        self.shared.agent().caught_up()
    }

    /// Returns whether this daemon has been on the VM list for long enough to append expiries and operator commands.
    pub fn may_decide(&self, now: Instant) -> bool {
        self.shared.agent().may_decide(now)
    }

    /// Returns what the VM list and the peers say about the age of this daemon's configuration.
    pub fn evidence(&self) -> ViewEvidence {
        self.shared.agent().evidence(&self.shared.peer_table)
    }

    /// Answers a status call of another daemon, with a promise not to expire it where one can be given.
    pub fn answer_status(&self, status: &PeerStatus) -> PeerStatus {
        let now = Instant::now();
        let promise = self.shared.agent().promise(status.vm, now);
        self.shared.status(promise)
    }

    /// Gives up the share: stops spending at once, waits for own loans to lapse, appends `Leave`.
    ///
    /// # Errors
    ///
    /// `Timeout` if the log did not take the record within `wait`; the share then stays reserved until it
    /// expires.
    pub async fn leave(&self, wait: Duration) -> Result<()> {
        let deadline = Instant::now() + wait;
        let (record, effective_at) = {
            let mut agent = self.shared.agent();
            let record = agent.leave();
            (record, self.shared.sink.adopt_share(None, Instant::now()))
        };
        tokio::time::sleep_until(effective_at.into()).await;
        let data = record.encode()?;
        loop {
            let append = self
                .shared
                .journal
                .append(StreamName::Members, data.clone());
            match tokio::time::timeout_at(deadline.into(), append).await {
                Ok(Ok(_)) => return Ok(()),
                Ok(Err(error)) => log::warn!("the `Leave` record was not appended: {error}"),
                Err(_) => {
                    return Err(Error::new(
                        Category::Timeout,
                        "the `Leave` record was not appended in time",
                    ));
                }
            }
            tokio::time::sleep(LEAVE_RETRY_DELAY).await;
        }
    }
}

impl<J, V, C> Shared<J, V, C> {
    fn agent(&self) -> MutexGuard<'_, MemberAgent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log_reachable(&self) -> bool {
        let read_at = self.read_at.lock().unwrap_or_else(PoisonError::into_inner);
        read_at.is_some_and(|at| at.elapsed() <= MAX_READ_AGE)
    }

    fn status(&self, no_expire_for: Duration) -> PeerStatus {
        let (vm, members_next) = {
            let agent = self.agent();
            (agent.vm(), agent.table().next())
        };
        PeerStatus {
            vm,
            name: self.settings.name.clone(),
            config_next: self.source.config_next(),
            members_next,
            log_reachable: self.log_reachable(),
            no_expire_for,
            spare: self.source.spare(),
            leaving: self.source.leaving(),
        }
    }

    /// Passes the share to the sink while the agent is locked, so that no renewal acknowledges it earlier.
    fn adopt_share(&self, agent: &mut MemberAgent, before: LogOffset) {
        let now = Instant::now();
        let effective_at = self.sink.adopt_share(agent.grant(), now);
        if effective_at > now {
            agent.defer_ack(before, effective_at);
        }
        let vm = agent.vm();
        self.vm
            .send_if_modified(|present| std::mem::replace(present, vm) != vm);
    }
}

async fn follow<J: JournalClient, V: VmList, C: PeerCaller>(shared: Arc<Shared<J, V, C>>) {
    loop {
        let from = shared.agent().read_from();
        let read = shared
            .journal
            .read(StreamName::Members, from, READ_RECORDS, READ_WAIT);
        let read = tokio::time::timeout(READ_WAIT + READ_SLACK, read);
        let late = Error::new(Category::Timeout, "the log did not answer the read in time");
        let batch = match read.await.unwrap_or(Err(late)) {
            Ok(batch) => batch,
            Err(error) => {
                log::debug!("cannot read the members stream: {error}");
                tokio::time::sleep(READ_RETRY_DELAY).await;
                continue;
            }
        };
        let now = Instant::now();
        *shared
            .read_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(now);
        let mut agent = shared.agent();
        let before = agent.table().next();
        agent.apply(&batch, now);
        shared.adopt_share(&mut agent, before);
    }
}

async fn append_due<J: JournalClient, V: VmList, C: PeerCaller>(
    group: TaskGroup,
    timer: TimerService,
    shared: Arc<Shared<J, V, C>>,
) {
    let period = (shared.settings.term / 60).max(Duration::from_millis(10));
    let mut ticks = timer.every(period);
    while ticks.next().await.is_some() {
        let due = shared.agent().due(Instant::now());
        for record in due {
            group.spawn_cancellable(append(shared.clone(), record));
        }
    }
}

async fn append<J: JournalClient, V: VmList, C: PeerCaller>(
    shared: Arc<Shared<J, V, C>>,
    record: MemberRecord,
) {
    let result = match record.encode() {
        Ok(data) => {
            let append = shared.journal.append(StreamName::Members, data);
            let wait = shared.settings.term / 3;
            let result = tokio::time::timeout(wait, append).await;
            result.unwrap_or_else(|_| {
                let error = Error::new(
                    Category::Timeout,
                    "the append to the members stream was not answered in time",
                );
                Err(error.with_verdict(RunVerdict::MayHaveRun))
            })
        }
        Err(error) => Err(error),
    };
    if let Err(error) = &result {
        log::debug!("a member record was not appended: {error}");
    }
    shared
        .agent()
        .handle_append_result(&record, &result, Instant::now());
}

async fn exchange_status<J: JournalClient, V: VmList, C: PeerCaller>(
    timer: TimerService,
    shared: Arc<Shared<J, V, C>>,
) {
    let mut ticks = timer.every(STATUS_PERIOD.min(shared.settings.promise / 4));
    while ticks.next().await.is_some() {
        let all = shared.agent().peer_addresses();
        shared.peer_table.retain(|address| all.contains(&address));
        let asked = choose_peers(&shared, all);
        futures_util::stream::iter(asked)
            .for_each_concurrent(MAX_STATUS_CALLS, |address| ask_status(&shared, address))
            .await;
        let mut agent = shared.agent();
        let before = agent.table().next();
        agent.extend_term(&shared.peer_table, Instant::now());
        shared.adopt_share(&mut agent, before);
    }
}

/// Returns all peers while the log cannot be reached, because a promise of each is needed, and otherwise the next
/// [`STATUS_PEERS`] in rotation.
fn choose_peers<J, V, C>(shared: &Shared<J, V, C>, mut all: Vec<SocketAddr>) -> Vec<SocketAddr> {
    if all.len() <= STATUS_PEERS || !shared.log_reachable() {
        return all;
    }
    let start = shared.next_peer.fetch_add(STATUS_PEERS, Ordering::Relaxed) % all.len();
    all.rotate_left(start);
    all.truncate(STATUS_PEERS);
    all
}

async fn ask_status<J: JournalClient, V: VmList, C: PeerCaller>(
    shared: &Shared<J, V, C>,
    address: SocketAddr,
) {
    let asked_at = Instant::now();
    // A promise counts from before the request was sent. Only the requester knows that time, so requests carry none.
    let request = PeerRequest::Status(shared.status(Duration::ZERO));
    let reply = shared.caller.call(address, request, STATUS_PERIOD).await;
    match reply {
        Ok(PeerReply::Status(status)) => shared.peer_table.record(address, status, asked_at),
        Ok(_) => log::warn!("peer {address} answered a status call with a reply of another type"),
        Err(error) => log::debug!("status call to a peer failed: {error}"),
    }
}

async fn read_list<J: JournalClient, V: VmList, C: PeerCaller>(
    timer: TimerService,
    shared: Arc<Shared<J, V, C>>,
) {
    let mut ticks = timer.every(STATUS_PERIOD.min(shared.settings.promise / 4));
    while ticks.next().await.is_some() {
        let asked_at = Instant::now();
        match tokio::time::timeout(STATUS_PERIOD, shared.vms.list()).await {
            Ok(Ok(list)) => shared.agent().record_list(list, asked_at, Instant::now()),
            Ok(Err(error)) => log::debug!("cannot read the VM list: {error}"),
            Err(_) => log::debug!("the VM list was not read in time"),
        }
    }
}
