//! Queues of requests that wait on this VM for a backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::admission::GrantRate;
use crate::catalog::RequestClass;
use crate::deferral::ScarcityTable;
use crate::error::{Category, Error, Result};
use crate::ids::KeyDigest;
use crate::metrics::DaemonMetrics;
use crate::queue::{QueuePolicy, Standing, WaitEntry, WaitId, standing};
use crate::routing::{
    DispatchGuard, FleetSnapshot, RouteNeed, RoutingPolicy, ServerStanding, UnroutableReason,
};
use crate::suspect::SuspectTable;

/// Source of the latest view of all backend servers.
pub trait FleetSource: Send + Sync + 'static {
    /// Returns the latest snapshot.
    fn snapshot(&self) -> Arc<FleetSnapshot>;

    /// Notes that a call to a server failed, so that the server is suspected to be down.
    fn call_failed(&self, server: &str);

    /// Returns whether a server of `service` with a software version may take requests soon, also one that must load the
    /// model first.
    fn has_software(&self, _service: &str, _software: &str) -> bool {
        true
    }
}

/// What a model call needs from a backend server.
#[derive(Clone, Debug)]
pub struct ModelNeed {
    /// `version` holds the preferred version.
    pub route: RouteNeed,
    /// Versions that may serve the call instead while no server holds the preferred one.
    pub fallbacks: Vec<SmolStr>,
    /// Fingerprint of the request if it is a suspect, which means that a backend server died under it. A suspect in
    /// this module is always a request.
    pub suspect: Option<KeyDigest>,
}

/// Permit to send one request to a backend server, held until it is dropped.
///
/// With [`ExpectedTimePolicy`](crate::routing::ExpectedTimePolicy), a server of `n` slots gets up to `n + n / 8 + 1`
/// requests, so that its batch stays full until the next load report.
#[derive(Debug)]
pub struct ServerSlot {
    pub name: SmolStr,
    pub address: SocketAddr,
    /// Version that the server holds.
    pub version: SmolStr,
    /// Version of the server's software.
    pub software: SmolStr,
    /// Incarnation of the engine as last reported.
    pub incarnation: u64,
    guard: DispatchGuard,
    _suspect: Option<SuspectGuard>,
}

impl ServerSlot {
    /// Returns whether the server is known to be at its address.
    pub fn is_proven(&self) -> bool {
        self.guard.standing() == ServerStanding::Proven
    }

    /// Returns the request's share in the outstanding work of the server.
    pub fn work(&self) -> &DispatchGuard {
        &self.guard
    }
}

/// Reserves a server for one suspect request until it is dropped, however the request ends.
#[derive(Debug)]
struct SuspectGuard {
    suspects: Arc<Mutex<SuspectTable>>,
    server: SmolStr,
    fingerprint: KeyDigest,
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.release(&self.server, &self.fingerprint);
    }
}

/// A request in a queue.
pub struct Waiter {
    need: ModelNeed,
    /// Time until which the answer is on time.
    target: Option<Instant>,
    /// Time at which a deferrable request is promoted.
    yield_until: Option<Instant>,
    grant: oneshot::Sender<ServerSlot>,
}

struct ModelQueue<Q> {
    queue: Q,
    /// Grants while requests waited that can be on time.
    rate: GrantRate,
}

/// The queues of all models on this VM.
pub struct ModelQueues<R, Q, F> {
    routing: R,
    fleet: F,
    suspects: Arc<Mutex<SuspectTable>>,
    capacity: usize,
    new_queue: fn(usize) -> Q,
    queues: Mutex<HashMap<SmolStr, ModelQueue<Q>>>,
    scarcity: Mutex<ScarcityTable>,
    /// Whether any request was deferrable so far.
    has_deferrable: AtomicBool,
    metrics: Option<Arc<DaemonMetrics>>,
}

/// What a waiting request means for deferrable ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitKind {
    /// It has a target and yields to none.
    Urgent,
    /// It yields to urgent ones.
    Deferred,
    Other,
}

impl WaitKind {
    fn of(entry: &WaitEntry, now: Instant) -> Self {
        let is_interactive = entry.class == RequestClass::Interactive;
        match entry.yield_until {
            Some(_) if entry.standing(now) == Standing::Deferred => Self::Deferred,
            None if is_interactive && entry.target.is_some() => Self::Urgent,
            _ => Self::Other,
        }
    }
}

/// Number of waiting requests by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitCount {
    pub interactive: usize,
    pub overnight: usize,
}

impl<R: RoutingPolicy, Q: QueuePolicy<Waiter>, F: FleetSource> ModelQueues<R, Q, F> {
    /// Creates empty queues of up to `capacity` requests per model.
    pub fn new(
        routing: R,
        fleet: F,
        suspects: Arc<Mutex<SuspectTable>>,
        capacity: usize,
        new_queue: fn(usize) -> Q,
    ) -> Self {
        Self {
            routing,
            fleet,
            suspects,
            capacity,
            new_queue,
            queues: Mutex::default(),
            scarcity: Mutex::default(),
            has_deferrable: AtomicBool::new(false),
            metrics: None,
        }
    }

    /// Counts deferrals and refusals in `metrics`.
    pub fn with_metrics(mut self, metrics: Arc<DaemonMetrics>) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Returns the source of snapshots.
    pub fn fleet(&self) -> &F {
        &self.fleet
    }

    /// Waits for a slot on a backend server until the deadline in `entry`.
    ///
    /// # Errors
    ///
    /// `Overloaded` if the queue is full or longer than the deadline allows, or if [`Self::grant_slots`] removed the
    /// request after its deadline; `Timeout` if the wait reached the deadline first.
    pub async fn acquire(&self, need: ModelNeed, entry: WaitEntry) -> Result<ServerSlot> {
        let model = need.route.model.clone();
        let deadline = entry.deadline;
        let promotion = entry.yield_until.filter(|time| *time < deadline);
        let (id, granted, asked, reason, standing) = {
            let mut queues = self.queues();
            let queue = self.queue(&mut queues, &model);
            let now = Instant::now();
            let standing = entry.standing(now);
            if entry.yield_until.is_some() {
                self.has_deferrable.store(true, Ordering::Relaxed);
            }
            let is_first = queue.queue.is_empty();
            if is_first && let Some(slot) = self.choose(&need, standing, now) {
                queue.queue.adjust_served(&entry.team, entry.tokens as i64);
                return Ok(slot);
            }
            let reason = self.fleet.snapshot().unroutable_reason(&need.route);
            let kind = WaitKind::of(&entry, now);
            // The rate of free slots says nothing of when a missing model or adapter is loaded.
            let may_wait = reason != UnroutableReason::NoCapacity || queue.may_wait(&entry, now);
            let (grant, granted) = oneshot::channel();
            let waiter = Waiter {
                need,
                target: entry.target,
                yield_until: entry.yield_until,
                grant,
            };
            let Ok(id) = queue.queue.push(entry, waiter) else {
                self.note_wait(&model, kind, reason, now);
                return Err(self.refuse(queue, Refusal::Full, now));
            };
            queue.note_waiting(now);
            // Those that wait already may yield to the new request, or need servers that are fuller.
            while !is_first && self.grant_next(queue, now) {}
            queue.note_waiting(now);
            if granted.is_empty() {
                self.note_wait(&model, kind, reason, now);
                if !may_wait {
                    queue.queue.remove(id);
                    queue.note_waiting(now);
                    let error = self.refuse(queue, Refusal::NoChance, now);
                    return Err(error.with_context(reason));
                }
            }
            (id, granted, now, reason, standing)
        };
        let mut guard = WaitGuard {
            queues: self,
            model: &model,
            id: Some(id),
        };
        let mut granted = std::pin::pin!(granted);
        let before_promotion = match promotion {
            Some(time) if standing == Standing::Deferred => {
                let result = tokio::time::timeout_at(time.into(), granted.as_mut()).await;
                if result.is_err() {
                    self.count_deferral("promoted");
                    log::debug!(
                        "promoted after {:?} behind urgent requests: {reason}",
                        asked.elapsed()
                    );
                    self.grant_slots();
                }
                result.ok()
            }
            _ => None,
        };
        let result = match before_promotion {
            Some(result) => Ok(result),
            None => tokio::time::timeout_at(deadline.into(), granted).await,
        };
        match result {
            Ok(Ok(slot)) => {
                guard.id = None;
                log::debug!(
                    "got a slot after {:?} in the queue: {reason}",
                    asked.elapsed()
                );
                Ok(slot)
            }
            // The sender is dropped when the request is removed as expired.
            Ok(Err(_)) => {
                guard.id = None;
                let error = self.refuse_expired(&model);
                Err(error.with_context(reason))
            }
            Err(_) => {
                let wait = self.refuse_expired(&model).retry_after();
                let error = Error::new(Category::Timeout, "no backend server was free in time");
                let error = wait.into_iter().fold(error, Error::with_retry_after);
                Err(error.with_context(reason))
            }
        }
    }

    /// Gives free slots to waiting requests. Called when a slot became free or the fleet changed.
    pub fn grant_slots(&self) {
        let now = Instant::now();
        let mut queues = self.queues();
        for queue in queues.values_mut() {
            if queue.queue.is_empty() {
                continue;
            }
            drop(queue.queue.expire(now, |_| Duration::ZERO));
            while self.grant_next(queue, now) {}
            queue.note_waiting(now);
        }
    }

    /// Returns whether a request would get a slot at once: nothing waits for the model, and a server is free.
    pub fn has_room(&self, mut route: RouteNeed) -> bool {
        let queues = self.queues();
        if queues
            .get(&route.model)
            .is_some_and(|queue| !queue.queue.is_empty())
        {
            return false;
        }
        drop(queues);
        let suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        route.avoid.extend(suspects.reserved_servers().cloned());
        drop(suspects);
        let fleet = self.fleet.snapshot();
        self.routing
            .choose_in(&route, &fleet, Instant::now())
            .is_some()
    }

    /// Corrects a team's served tokens once its request has ended.
    pub fn adjust_served(&self, model: &SmolStr, team: &SmolStr, tokens: i64) {
        if let Some(queue) = self.queues().get_mut(model) {
            queue.queue.adjust_served(team, tokens);
        }
    }

    /// Returns the number of waiting requests of each model that has any.
    pub fn waiting(&self) -> Vec<(SmolStr, WaitCount)> {
        let queues = self.queues();
        let counts = queues.iter().map(|(model, queue)| {
            let count = WaitCount {
                interactive: queue.queue.len(RequestClass::Interactive),
                overnight: queue.queue.len(RequestClass::Overnight),
            };
            (model.clone(), count)
        });
        counts
            .filter(|(_, count)| *count != WaitCount::default())
            .collect()
    }

    fn grant_next(&self, queue: &mut ModelQueue<Q>, now: Instant) -> bool {
        let mut slot = None;
        let popped = queue.queue.pop_next(now, |waiter| {
            let standing = standing(waiter.target, waiter.yield_until, now);
            slot = self.choose(&waiter.need, standing, now);
            slot.is_some()
        });
        let (Some((_, waiter)), Some(slot)) = (popped, slot) else {
            return false;
        };
        queue.rate.granted(now);
        // If the caller has gone away, the slot is dropped here, which frees it.
        let _ = waiter.grant.send(slot);
        true
    }

    /// Notes a request that found no free slot.
    fn note_wait(&self, model: &SmolStr, kind: WaitKind, reason: UnroutableReason, now: Instant) {
        match kind {
            WaitKind::Deferred => self.count_deferral("deferred"),
            WaitKind::Urgent if reason == UnroutableReason::NoCapacity => {
                let service = service_of(model);
                let begins = self.scarcity().note(service, now);
                if begins && self.has_deferrable.load(Ordering::Relaxed) {
                    log::info!(
                        "urgent requests of `{service}` wait for servers; deferrable ones yield"
                    );
                }
            }
            WaitKind::Urgent | WaitKind::Other => {}
        }
    }

    fn scarcity(&self) -> MutexGuard<'_, ScarcityTable> {
        self.scarcity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_deferral(&self, kind: &'static str) {
        if let Some(metrics) = &self.metrics {
            metrics.count(&metrics.deferrals, kind);
        }
    }

    fn choose(&self, need: &ModelNeed, standing: Standing, now: Instant) -> Option<ServerSlot> {
        let fleet = self.fleet.snapshot();
        let mut route = need.route.clone();
        route.late = matches!(standing, Standing::Late | Standing::Deferred);
        route.deferred = standing == Standing::Deferred
            && self.scarcity().is_scarce(service_of(&route.model), now);
        if !fleet.has_usable_server(&route.model, &route.version) {
            let other = need
                .fallbacks
                .iter()
                .find(|v| fleet.has_usable_server(&route.model, v));
            route.version = other.cloned().unwrap_or(route.version);
        }
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        let tried = route.avoid.len();
        route.avoid.extend(suspects.reserved_servers().cloned());
        let mut position = self.routing.choose_in(&route, &fleet, now);
        if position.is_none() && need.suspect.is_none() && route.avoid.len() > tried {
            // Sharing a server with a suspect request is better than waiting until that has ended.
            route.avoid.truncate(tried);
            position = self.routing.choose_in(&route, &fleet, now);
        }
        let position = position?;
        let view = &fleet.views()[position];
        let suspect = need.suspect.map(|fingerprint| {
            suspects.reserve(&view.name, fingerprint);
            SuspectGuard {
                suspects: self.suspects.clone(),
                server: view.name.clone(),
                fingerprint,
            }
        });
        Some(ServerSlot {
            name: view.name.clone(),
            address: view.address,
            software: view.software.clone(),
            version: route.version,
            incarnation: view.report.incarnation,
            guard: fleet.handle(position).begin_work(self.routing.cost_us(
                &need.route,
                &fleet,
                position,
            )),
            _suspect: suspect,
        })
    }

    fn queue<'a>(
        &self,
        queues: &'a mut HashMap<SmolStr, ModelQueue<Q>>,
        model: &SmolStr,
    ) -> &'a mut ModelQueue<Q> {
        queues.entry(model.clone()).or_insert_with(|| ModelQueue {
            queue: (self.new_queue)(self.capacity),
            rate: GrantRate::new(Instant::now()),
        })
    }

    fn queues(&self) -> MutexGuard<'_, HashMap<SmolStr, ModelQueue<Q>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove(&self, model: &SmolStr, id: WaitId) {
        if let Some(queue) = self.queues().get_mut(model) {
            queue.queue.remove(id);
            queue.note_waiting(Instant::now());
        }
    }

    /// Returns the error of a request whose time to wait has passed.
    fn refuse_expired(&self, model: &SmolStr) -> Error {
        let mut queues = self.queues();
        let queue = self.queue(&mut queues, model);
        self.refuse(queue, Refusal::Expired, Instant::now())
    }

    /// Returns the error of a refused request, and counts the refusal.
    fn refuse(&self, queue: &mut ModelQueue<Q>, refusal: Refusal, now: Instant) -> Error {
        let waiting = queue.queue.len(RequestClass::Interactive);
        let wait = queue.rate.retry_after(waiting, rand::random(), now);
        queue.rate.refused(now);
        if let Some(metrics) = &self.metrics {
            metrics.count(&metrics.queue_refusals, refusal.as_str());
        }
        Error::new(Category::Overloaded, refusal.message()).with_retry_after(wait)
    }
}

/// Why the queue refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    Full,
    /// It would hardly get a slot in the time that it may wait.
    NoChance,
    Expired,
}

impl Refusal {
    /// Returns the name used in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::NoChance => "no_chance",
            Self::Expired => "expired",
        }
    }

    fn message(self) -> &'static str {
        match self {
            Self::Full => "the queue is full",
            Self::NoChance => "the queue is longer than the deadline allows",
            Self::Expired => "the deadline passed in the queue",
        }
    }
}

impl<Q: QueuePolicy<Waiter>> ModelQueue<Q> {
    /// Returns whether an urgent request has a chance of a slot before its deadline. Others wait until then.
    fn may_wait(&mut self, entry: &WaitEntry, now: Instant) -> bool {
        if entry.class == RequestClass::Overnight || entry.yield_until.is_some() {
            return true;
        }
        let ahead = self.queue.ahead_of(entry, now);
        let limit = entry.deadline.saturating_duration_since(now + entry.work);
        self.rate.may_wait(ahead, limit, now)
    }

    /// Notes whether a request waits that the next free slot could go to.
    fn note_waiting(&mut self, now: Instant) {
        let is_waiting = self.queue.has_on_time(now);
        self.rate.set_waiting(is_waiting, now);
    }
}

/// Removes a waiting request whose caller went away.
struct WaitGuard<'a, R: RoutingPolicy, Q: QueuePolicy<Waiter>, F: FleetSource> {
    queues: &'a ModelQueues<R, Q, F>,
    model: &'a SmolStr,
    id: Option<WaitId>,
}

impl<R: RoutingPolicy, Q: QueuePolicy<Waiter>, F: FleetSource> Drop for WaitGuard<'_, R, Q, F> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.queues.remove(self.model, id);
        }
    }
}

/// Returns the service in a routing name, which is the name itself for a service without models.
pub(super) fn service_of(model: &str) -> &str {
    model.split('/').next().unwrap_or(model)
}
