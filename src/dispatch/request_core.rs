//! The part of the request path that does not depend on the callers' protocol: admission, charges, queues, attempts,
//! retries and suspects.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::dispatch::demand::DemandMeter;
use crate::dispatch::drain::{DrainClock, WorkTime};
use crate::dispatch::room::{
    FleetSource, ModelNeed, ModelQueues, ServerSlot, WaitCount, Waiter, service_of,
};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::history::{RequestHistory, RequestStage};
use crate::ids::KeyDigest;
use crate::kernel::TaskGroup;
use crate::limit::{TokenCharge, TokenLimiter};
use crate::metrics::DaemonMetrics;
use crate::peer::SuspectNotice;
use crate::queue::{QueuePolicy, WaitEntry};
use crate::retry::RetryBudget;
use crate::routing::{RoutingPolicy, TrialRule};
use crate::suspect::{SuspectTable, SuspectVerdict};

/// Parts of an answer that are buffered for a caller that reads slowly.
const PIECE_BUFFER: usize = 64;
/// How long a request waits for a server other than those that failed it. Load reports arrive more often than that,
/// and the only server of a model must get the request again.
const AVOID_TIME: Duration = Duration::from_millis(500);
/// Period in which a waiting request checks whether servers of the software version that it needs are left.
const SOFTWARE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time after which a charge stops borrowing tokens from peers.
const BORROW_TIMEOUT: Duration = Duration::from_secs(1);

/// Types that a [`RequestCore`] is built from, so that policies can be exchanged.
pub trait CoreParts: Send + Sync + 'static {
    type Limiter: TokenLimiter;
    type Routing: RoutingPolicy;
    type Queue: QueuePolicy<Waiter> + Send;
    type Fleet: FleetSource;
}

/// Charge of the limiter of `P`.
pub(crate) type ChargeOf<P> = <<P as CoreParts>::Limiter as TokenLimiter>::Charge;

/// Dependencies and limits of a [`RequestCore`].
pub struct CoreContext<P: CoreParts> {
    pub group: TaskGroup,
    pub limiter: Arc<P::Limiter>,
    pub queues: ModelQueues<P::Routing, P::Queue, P::Fleet>,
    pub suspects: Arc<Mutex<SuspectTable>>,
    pub demand: Arc<DemandMeter>,
    pub retries: RetryBudget,
    pub history: Arc<RequestHistory>,
    pub metrics: Arc<DaemonMetrics>,
    /// Maximum number of admitted requests in this process.
    pub admission_limit: usize,
}

/// Result of sending a request to one backend server.
#[derive(Debug)]
pub enum Attempt {
    Finished,
    /// The caller went away.
    Cancelled,
    /// The request must not be sent to any other backend server.
    Stopped(Error),
    /// The backend server refused because the model or adapter is not in its memory; the view of it was outdated.
    NotResident,
    /// No byte of the request was sent, because the backend server could not be connected to. The view of the fleet
    /// leaves the server out until it may be connected to again.
    Unsent(Error),
    /// The backend server failed; another one may be tried.
    Failed {
        error: Error,
        /// Whether the backend server died under the request.
        died: bool,
    },
}

/// Tells whether another server than the current one could take a request.
pub trait OtherServers: Sync {
    /// Returns whether the request would get a place at another server of a software version at once; `None` for any.
    fn have_room(&self, software: Option<SmolStr>) -> bool;
}

/// The servers of a model other than `current`.
struct QueueServers<'a, P: CoreParts> {
    queues: &'a ModelQueues<P::Routing, P::Queue, P::Fleet>,
    need: &'a ModelNeed,
    current: &'a SmolStr,
}

impl<P: CoreParts> OtherServers for QueueServers<'_, P> {
    fn have_room(&self, software: Option<SmolStr>) -> bool {
        let mut route = self.need.route.clone();
        route.software = software;
        route.avoid.push(self.current.clone());
        self.queues.has_room(route)
    }
}

/// An admitted request in its caller's protocol, which sends it to backend servers and forwards the answer.
pub trait Exchange: Send + Sync + 'static {
    /// Part of the answer that goes to the caller.
    type Piece: Send + 'static;

    /// Returns by what the queue orders the request, as of now.
    fn wait_entry(&self) -> WaitEntry;

    /// Returns how long the answer is expected to take, or to take until it begins, once the request is sent. At shutdown
    /// a request is refused when less time is left.
    fn work_time(&self) -> WorkTime;

    /// Sends the request to the server in `slot` and forwards the answer until the attempt ends. An attempt at a server
    /// that may still answer ends only if one of `others` has room.
    fn attempt<O: OtherServers>(
        &mut self,
        slot: &ServerSlot,
        pieces: &mpsc::Sender<Result<Self::Piece>>,
        others: &O,
    ) -> impl Future<Output = Attempt> + Send;

    /// Returns the software version of the only servers that may send the rest of the answer; `None` for any.
    fn software(&self) -> Option<SmolStr> {
        None
    }

    /// Returns whether another server may be tried after `error`, and takes the retry from a budget. Called once per
    /// failed attempt.
    fn may_retry(&mut self, error: &Error) -> bool;

    /// Like [`Exchange::may_retry`], after a server that died under the request. The number of these retries is limited by
    /// the quarantine, which follows the second death.
    fn may_retry_after_death(&mut self, error: &Error) -> bool {
        self.may_retry(error)
    }

    /// Like [`Exchange::may_retry`], after a server that does not hold the model and ran nothing.
    fn may_retry_not_resident(&mut self) -> bool {
        true
    }

    /// Like [`Exchange::may_retry`], after a server that could not be connected to.
    fn may_retry_unsent(&mut self, error: &Error) -> bool {
        self.may_retry(error)
    }

    /// Returns whether a backend server may have run the request so far.
    fn verdict(&self) -> RunVerdict;

    /// Returns the tokens used so far, with which the charge is settled. If the number of used tokens cannot be read
    /// from the answer, as for opaque requests, these are the tokens charged in advance.
    fn used_tokens(&self) -> u64;

    /// Returns how long a request stays in quarantine after a second backend server died under it.
    fn quarantine(&self) -> Duration;

    /// Takes the answer that the caller gets in place of an error, if there is one.
    fn take_fallback(&mut self) -> Option<Self::Piece> {
        None
    }
}

/// An admitted request.
pub(crate) struct RequestJob<C, X> {
    pub(crate) id: SmolStr,
    pub(crate) team: Option<SmolStr>,
    pub(crate) charge: Option<C>,
    pub(crate) need: ModelNeed,
    pub(crate) fingerprint: KeyDigest,
    pub(crate) deadline: Instant,
    /// Tokens that are subtracted from the team's served tokens when the request ends, while the used ones are added.
    /// Each time the request gets a slot, [`WaitEntry::tokens`] are added, unless it is popped as an overnight request
    /// that was not promoted.
    pub(crate) estimate: u64,
    pub(crate) exchange: X,
    pub(crate) _admission: OwnedSemaphorePermit,
}

/// The part of the request path that does not depend on the callers' protocol.
pub struct RequestCore<P: CoreParts> {
    pub(super) group: TaskGroup,
    pub(super) limiter: Arc<P::Limiter>,
    pub(super) queues: ModelQueues<P::Routing, P::Queue, P::Fleet>,
    pub(super) demand: Arc<DemandMeter>,
    pub(super) retries: RetryBudget,
    pub(super) history: Arc<RequestHistory>,
    pub(super) metrics: Arc<DaemonMetrics>,
    drain: Arc<DrainClock>,
    suspects: Arc<Mutex<SuspectTable>>,
    admissions: Arc<Semaphore>,
    /// Notices about suspects that have not been sent to peers yet.
    notices: Mutex<Vec<SuspectNotice>>,
}

impl<P: CoreParts> RequestCore<P> {
    /// Builds the request path.
    pub fn open(context: CoreContext<P>) -> Arc<Self> {
        Arc::new(Self {
            group: context.group,
            limiter: context.limiter,
            queues: context.queues,
            demand: context.demand,
            retries: context.retries,
            history: context.history,
            metrics: context.metrics,
            drain: Arc::default(),
            suspects: context.suspects,
            admissions: Arc::new(Semaphore::new(context.admission_limit)),
            notices: Mutex::default(),
        })
    }

    /// Gives free slots to waiting requests. Called when the view of the fleet has changed.
    pub fn grant_slots(&self) {
        self.queues.grant_slots();
    }

    /// Returns the number of waiting requests of each model that has any.
    pub fn waiting(&self) -> Vec<(SmolStr, WaitCount)> {
        self.queues.waiting()
    }

    /// Returns the source of the view of the fleet.
    pub fn fleet(&self) -> &P::Fleet {
        self.queues.fleet()
    }

    pub fn history(&self) -> &Arc<RequestHistory> {
        &self.history
    }

    pub fn metrics(&self) -> &Arc<DaemonMetrics> {
        &self.metrics
    }

    /// Returns the clock by which requests end at shutdown.
    pub fn drain_clock(&self) -> &Arc<DrainClock> {
        &self.drain
    }

    /// Returns the meter that counts demand for the planner.
    pub fn demand(&self) -> &DemandMeter {
        &self.demand
    }

    /// Takes the notices about suspects that have not been sent to peers yet.
    pub fn take_notices(&self) -> Vec<SuspectNotice> {
        std::mem::take(&mut *self.notices.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a peer's notices about suspects; a quarantine lasts for `quarantine`.
    pub fn apply_notices(&self, notices: &[SuspectNotice], quarantine: Duration) {
        let now = Instant::now();
        let mut suspects = self.suspects();
        for notice in notices {
            suspects.apply_notice(*notice, quarantine, now);
        }
    }

    /// Marks the request as one under which a backend server died.
    pub fn record_death(&self, fingerprint: KeyDigest, quarantine: Duration) {
        let notice = self
            .suspects()
            .record_death(fingerprint, quarantine, Instant::now());
        log::warn!(
            "a backend server died under a request; deaths: {}",
            notice.deaths
        );
        self.notify(notice);
    }

    pub(super) fn clear_suspect(&self, fingerprint: &KeyDigest) {
        let notice = self
            .suspects()
            .record_completion(fingerprint, Instant::now());
        if let Some(notice) = notice {
            self.notify(notice);
        }
    }

    /// Returns the fingerprint if the request is suspect.
    ///
    /// # Errors
    ///
    /// `Quarantined` if the request may not run.
    pub(crate) fn check_suspect(&self, fingerprint: &KeyDigest) -> Result<Option<KeyDigest>> {
        let now = Instant::now();
        match self.suspects().verdict(fingerprint, now) {
            SuspectVerdict::Clear => Ok(None),
            SuspectVerdict::Suspect => Ok(Some(*fingerprint)),
            SuspectVerdict::Quarantined(until) => {
                let wait = until.saturating_duration_since(now);
                let message = "backend servers died under this request; it is in quarantine";
                Err(Error::new(Category::Quarantined, message).with_retry_after(wait))
            }
        }
    }

    /// Admits a request, if this process holds fewer than its limit. The request holds the permit until it ends.
    pub(crate) fn admit(&self) -> Result<OwnedSemaphorePermit> {
        self.admissions.clone().try_acquire_owned().map_err(|_| {
            Error::new(
                Category::Overloaded,
                "this daemon has reached its limit of concurrent requests",
            )
            .with_retry_after(Duration::from_secs(1))
        })
    }

    /// Charges a team for `tokens` of its rate limit. [`RequestStage::Admit`] times this charge.
    pub(crate) async fn charge(
        &self,
        id: &SmolStr,
        team: &SmolStr,
        tokens: u64,
    ) -> Result<ChargeOf<P>> {
        let asked = Instant::now();
        let result = self
            .limiter
            .charge(team, tokens, asked + BORROW_TIMEOUT)
            .await;
        self.note_stage(id, RequestStage::Admit, asked);
        result
    }

    /// Takes a retry from this daemon's budget. Returns `false` if it is used up.
    pub(super) fn try_retry(&self) -> bool {
        self.take_retry(&self.retries)
    }

    /// Takes a retry from `budget`. Returns `false` if it is used up.
    pub(crate) fn take_retry(&self, budget: &RetryBudget) -> bool {
        let granted = budget.try_retry();
        let kind = if granted { "granted" } else { "refused" };
        self.metrics.count(&self.metrics.retries, kind);
        granted
    }

    pub(crate) fn note_stage(&self, id: &SmolStr, stage: RequestStage, since: Instant) {
        self.history
            .update(id, |record| record.add_stage(stage, since.elapsed()));
    }

    /// Starts an admitted request. The receiver gets the parts of the answer; dropping it cancels the request.
    pub(crate) fn start<X: Exchange>(
        self: &Arc<Self>,
        job: RequestJob<ChargeOf<P>, X>,
    ) -> mpsc::Receiver<Result<X::Piece>> {
        let (sender, pieces) = mpsc::channel(PIECE_BUFFER);
        let core = self.clone();
        let id = job.id.clone();
        self.group
            .spawn(crate::logging::scope_request_id(id, async move {
                core.run(job, sender).await;
            }));
        pieces
    }

    async fn run<X: Exchange>(
        &self,
        mut job: RequestJob<ChargeOf<P>, X>,
        pieces: mpsc::Sender<Result<X::Piece>>,
    ) {
        let error = loop {
            match self.attempt(&mut job, &pieces).await {
                Attempt::Finished | Attempt::Cancelled => break None,
                Attempt::Stopped(error) => break Some(error),
                // The wait for a slot limits how often this repeats.
                Attempt::NotResident
                    if Instant::now() < job.deadline && job.exchange.may_retry_not_resident() => {}
                Attempt::NotResident => break Some(not_loaded()),
                Attempt::Unsent(error) => {
                    if !job.exchange.may_retry_unsent(&error) {
                        break Some(error);
                    }
                    log::info!(
                        "the request was not sent; another backend server may take it: {error}"
                    );
                }
                Attempt::Failed { error, died } => {
                    if died && let Err(error) = self.mark_suspect(&mut job) {
                        break Some(error);
                    }
                    let may_retry = match died {
                        true => job.exchange.may_retry_after_death(&error),
                        false => job.exchange.may_retry(&error),
                    };
                    if !may_retry {
                        break Some(error);
                    }
                    log::info!(
                        "an attempt failed; retrying, on another backend server if possible: {error}"
                    );
                }
            }
        };
        self.finish(job, error, &pieces).await;
    }

    async fn finish<X: Exchange>(
        &self,
        mut job: RequestJob<ChargeOf<P>, X>,
        error: Option<Error>,
        pieces: &mpsc::Sender<Result<X::Piece>>,
    ) {
        let verdict = job.exchange.verdict();
        let used = match verdict {
            RunVerdict::NotRun => 0,
            _ => job.exchange.used_tokens(),
        };
        if let Some(charge) = job.charge {
            charge.settle(used);
        }
        if let Some(team) = &job.team {
            self.queues.adjust_served(
                &job.need.route.model,
                team,
                used as i64 - job.estimate as i64,
            );
        }
        if let Some(error) = error {
            let last = match job.exchange.take_fallback() {
                Some(answer) => Ok(answer),
                None => Err(error.with_verdict(verdict)),
            };
            // The caller may have gone away.
            let _ = pieces.send(last).await;
        }
        self.queues.grant_slots();
    }

    async fn attempt<X: Exchange>(
        &self,
        job: &mut RequestJob<ChargeOf<P>, X>,
        pieces: &mpsc::Sender<Result<X::Piece>>,
    ) -> Attempt {
        let asked = Instant::now();
        let exchange = &job.exchange;
        // A request that a server has had already is only failed early, not refused.
        let work_time = || match exchange.verdict() {
            RunVerdict::NotRun => exchange.work_time(),
            _ => WorkTime::NONE,
        };
        job.need.route.software = exchange.software();
        let slot = self.acquire(&mut job.need, exchange);
        let slot = tokio::select! {
            slot = self.drain.run_unsent(work_time, slot) => slot,
            () = pieces.closed() => return Attempt::Cancelled,
        };
        self.note_stage(&job.id, RequestStage::Queue, asked);
        self.metrics
            .observe(&self.metrics.queue_time, asked.elapsed());
        let slot = match slot {
            Ok(slot) => slot,
            Err(error) => {
                self.demand.missed(&job.need.route.model);
                return Attempt::Stopped(error);
            }
        };
        self.history
            .update(&job.id, |record| record.add_server(slot.name.clone()));
        let others = QueueServers::<P> {
            queues: &self.queues,
            need: &job.need,
            current: &slot.name,
        };
        let result = job.exchange.attempt(&slot, pieces, &others).await;
        if !slot.is_proven() {
            job.need.route.trial = TrialRule::Never;
        }
        match &result {
            Attempt::Finished => self.clear_suspect(&job.fingerprint),
            Attempt::Failed { .. } | Attempt::NotResident => {
                job.need.route.avoid.push(slot.name.clone());
            }
            // Those that failed the request may be the only ones left. It must not wait for others then.
            Attempt::Unsent(_) if !self.has_other_server(&job.need) => {
                job.need.route.avoid.clear();
            }
            Attempt::Cancelled | Attempt::Stopped(_) | Attempt::Unsent(_) => {}
        }
        drop(slot);
        self.queues.grant_slots();
        result
    }

    /// Returns whether a usable server, full or not, has not failed the request.
    fn has_other_server(&self, need: &ModelNeed) -> bool {
        let fleet = self.queues.fleet().snapshot();
        fleet.has_other_server(&need.route)
    }

    /// Waits for a slot on a backend server, no longer than there are servers of the software version that the request needs.
    async fn acquire<X: Exchange>(&self, need: &mut ModelNeed, exchange: &X) -> Result<ServerSlot> {
        if need.route.software.is_none() {
            return self.acquire_any(need, exchange).await;
        }
        let service = service_of(&need.route.model).to_owned();
        let software = need.route.software.clone().unwrap_or_default();
        tokio::select! {
            biased;
            () = self.software_gone(&service, &software) => {
                let message = "no backend server runs the software version that began the stream";
                Err(Error::unavailable(message))
            }
            slot = self.acquire_any(need, exchange) => slot,
        }
    }

    /// Completes when no server of `service` that may take requests soon runs a software version.
    async fn software_gone(&self, service: &str, software: &str) {
        while self.queues.fleet().has_software(service, software) {
            tokio::time::sleep(SOFTWARE_CHECK_PERIOD).await;
        }
    }

    /// Waits for a slot on a backend server, for [`AVOID_TIME`] only on those that have not failed this request.
    async fn acquire_any<X: Exchange>(
        &self,
        need: &mut ModelNeed,
        exchange: &X,
    ) -> Result<ServerSlot> {
        if !need.route.avoid.is_empty() {
            let other = self.queues.acquire(need.clone(), exchange.wait_entry());
            if let Ok(slot) = tokio::time::timeout(AVOID_TIME, other).await {
                return slot;
            }
            need.route.avoid.clear();
        }
        self.queues
            .acquire(need.clone(), exchange.wait_entry())
            .await
    }

    /// Marks the request as suspect.
    ///
    /// # Errors
    ///
    /// `Quarantined` if too many backend servers died under it.
    fn mark_suspect<X: Exchange>(&self, job: &mut RequestJob<ChargeOf<P>, X>) -> Result<()> {
        self.record_death(job.fingerprint, job.exchange.quarantine());
        job.need.suspect = self.check_suspect(&job.fingerprint)?;
        Ok(())
    }

    fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self, notice: SuspectNotice) {
        self.notices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(notice);
    }
}

/// Digest of team, target and body. It identifies a request under which backend servers die. The target is the name of
/// the model or the path with its query.
pub(crate) fn fingerprint(team: Option<&SmolStr>, target: &str, body: &[u8]) -> KeyDigest {
    let team = team.map_or("", SmolStr::as_str);
    let mut text = format!("{team}\0{target}\0").into_bytes();
    text.extend_from_slice(body);
    KeyDigest::of(&text)
}

fn not_loaded() -> Error {
    let message = "no backend server had the model in memory in time";
    Error::new(Category::Timeout, message)
}
