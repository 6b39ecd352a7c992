//! The request path: authenticate, admit, claim, wait, choose, send, stream, settle.

mod access;
mod answer;
mod demand;
mod model;
mod name;
mod room;
mod service;

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use smol_str::SmolStr;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

pub use self::access::{AccessGate, AccessGrant};
pub use self::answer::{AnswerChecker, ChunkVerdict};
pub use self::demand::{DemandMeter, ModelDemand};
pub use self::model::TokenStream;
pub use self::name::ModelName;
pub use self::room::{FleetSource, ModelNeed, ServerSlot, WaitCount, WaitRoom, Waiter};
use crate::catalog::RequestClass;
use crate::claim::ClaimKeeper;
use crate::engine::{EngineChunk, EngineClient, ServiceAnswer, ServiceClient};
use crate::error::{Category, Error, Result};
use crate::history::{RequestHistory, RequestStage};
use crate::ids::{CallerKey, KeyDigest};
use crate::kernel::TaskGroup;
use crate::limit::TokenLimiter;
use crate::metrics::DaemonMetrics;
use crate::peer::SuspectNotice;
use crate::queue::QueuePolicy;
use crate::retry::RetryBudget;
use crate::routing::RoutingPolicy;
use crate::suspect::SuspectTable;

/// A model call as a caller sent it.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Request id, drawn by the caller-facing server; it goes through all log lines.
    pub id: SmolStr,
    /// Secret from `Authorization: Bearer`, if any.
    pub key: Option<CallerKey>,
    /// `model`, `model:adapter`, or either followed by `@version`.
    pub model: SmolStr,
    /// The `messages` array as JSON text.
    pub messages: Bytes,
    pub max_tokens: u32,
    /// `None` leaves the choice to the model's default, interactive.
    pub class: Option<RequestClass>,
    /// Time from now until the answer is useless; `None` takes the default of the class.
    pub deadline: Option<Duration>,
}

/// A call to a plain service as a caller sent it.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    pub id: SmolStr,
    pub key: Option<CallerKey>,
    pub method: http::Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers as received; the dispatcher forwards those on its allow-list.
    pub headers: http::HeaderMap,
    pub idempotency_key: Option<SmolStr>,
    pub body: Bytes,
}

/// Tokens charged for a finished model call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    pub prompt: u32,
    pub completion: u32,
}

/// Carries out the calls that the caller-facing server accepts.
pub trait CallDispatcher: Send + Sync + 'static {
    /// Tokens of one answer, in order and without gaps. Dropping the stream cancels the request.
    type Tokens: Stream<Item = Result<EngineChunk>> + Send + Unpin;

    /// Carries out a model call; resolves once the request was sent to an engine and the first token came.
    fn model_call(
        &self,
        call: ModelCall,
    ) -> impl Future<Output = Result<(TokenUsage, Self::Tokens)>> + Send;

    /// Carries out a call to a plain service.
    fn service_call(&self, call: ServiceCall)
    -> impl Future<Output = Result<ServiceAnswer>> + Send;

    /// Lists the models that the holder of `key` may call.
    fn models(&self, key: Option<&str>) -> Result<Vec<SmolStr>>;
}

/// The parts that a [`RequestDispatcher`] is built from. Policies vary by choosing other types.
pub trait DispatchParts: Send + Sync + 'static {
    type Engine: EngineClient;
    type Service: ServiceClient;
    type Limiter: TokenLimiter;
    type Claims: ClaimKeeper;
    type Routing: RoutingPolicy;
    type Queue: QueuePolicy<Waiter> + Send;
    type Fleet: FleetSource;
}

/// Services and limits that a dispatcher works with.
pub struct DispatchContext<P: DispatchParts> {
    pub group: TaskGroup,
    /// Zone of this daemon.
    pub zone: SmolStr,
    pub gate: AccessGate,
    pub limiter: Arc<P::Limiter>,
    pub claims: Arc<P::Claims>,
    pub engine: Arc<P::Engine>,
    pub service: Arc<P::Service>,
    pub room: WaitRoom<P::Routing, P::Queue, P::Fleet>,
    pub suspects: Arc<Mutex<SuspectTable>>,
    pub demand: Arc<DemandMeter>,
    pub history: Arc<RequestHistory>,
    pub metrics: Arc<DaemonMetrics>,
    /// Requests that this process admits at once.
    pub admission_limit: usize,
}

/// The request path of one daemon.
pub struct RequestDispatcher<P: DispatchParts> {
    group: TaskGroup,
    zone: SmolStr,
    gate: AccessGate,
    limiter: Arc<P::Limiter>,
    claims: Arc<P::Claims>,
    engine: Arc<P::Engine>,
    service: Arc<P::Service>,
    room: WaitRoom<P::Routing, P::Queue, P::Fleet>,
    suspects: Arc<Mutex<SuspectTable>>,
    demand: Arc<DemandMeter>,
    history: Arc<RequestHistory>,
    metrics: Arc<DaemonMetrics>,
    retries: RetryBudget,
    admissions: Arc<Semaphore>,
    /// Notices about suspects that peers have not been told yet.
    notices: Mutex<Vec<SuspectNotice>>,
}

impl<P: DispatchParts> RequestDispatcher<P> {
    /// Builds the request path.
    pub fn open(context: DispatchContext<P>) -> Arc<Self> {
        Arc::new(Self {
            group: context.group,
            zone: context.zone,
            gate: context.gate,
            limiter: context.limiter,
            claims: context.claims,
            engine: context.engine,
            service: context.service,
            room: context.room,
            suspects: context.suspects,
            demand: context.demand,
            history: context.history,
            metrics: context.metrics,
            retries: RetryBudget::new(),
            admissions: Arc::new(Semaphore::new(context.admission_limit)),
            notices: Mutex::default(),
        })
    }

    /// Tries again to place waiting requests. Called when the view of the fleet has changed.
    pub fn pump(&self) {
        self.room.pump();
    }

    /// Returns the number of waiting requests of each model that has any.
    pub fn waiting(&self) -> Vec<(SmolStr, WaitCount)> {
        self.room.waiting()
    }

    /// Takes the notices about suspects that have not been sent to peers yet.
    pub fn take_notices(&self) -> Vec<SuspectNotice> {
        std::mem::take(&mut *self.notices.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies notices from a peer.
    pub fn apply_notices(&self, notices: &[SuspectNotice]) {
        let quarantine = self.gate.catalog().policy().quarantine;
        let now = Instant::now();
        let mut suspects = self.suspects();
        for notice in notices {
            suspects.notice(*notice, quarantine, now);
        }
    }

    fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_death(&self, fingerprint: KeyDigest) {
        let quarantine = self.gate.catalog().policy().quarantine;
        let notice = self
            .suspects()
            .died(fingerprint, quarantine, Instant::now());
        log::warn!(
            "a backend server died under a request; deaths: {}",
            notice.deaths
        );
        self.notices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(notice);
    }

    fn clear_suspect(&self, fingerprint: &KeyDigest) {
        if let Some(notice) = self.suspects().completed(fingerprint, Instant::now()) {
            self.notices
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(notice);
        }
    }

    fn admit(&self) -> Result<OwnedSemaphorePermit> {
        self.admissions.clone().try_acquire_owned().map_err(|_| {
            Error::new(
                Category::Overloaded,
                "this daemon has as many requests as it can hold",
            )
            .with_retry_after(Duration::from_secs(1))
        })
    }

    fn try_retry(&self) -> bool {
        let granted = self.retries.try_retry();
        let kind = if granted { "granted" } else { "refused" };
        self.metrics.count(&self.metrics.retries, kind);
        granted
    }

    fn note_grant(&self, id: &SmolStr, grant: &AccessGrant) {
        self.history
            .update(id, |record| record.team = grant.team().cloned());
    }

    fn note_stage(&self, id: &SmolStr, stage: RequestStage, since: Instant) {
        self.history
            .update(id, |record| record.add_stage(stage, since.elapsed()));
    }
}

impl<P: DispatchParts> CallDispatcher for Arc<RequestDispatcher<P>> {
    type Tokens = TokenStream;

    async fn model_call(&self, call: ModelCall) -> Result<(TokenUsage, TokenStream)> {
        self.start_model(call).await
    }

    async fn service_call(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        self.start_service(call).await
    }

    fn models(&self, key: Option<&str>) -> Result<Vec<SmolStr>> {
        let catalog = self.gate.catalog();
        if key.is_some() {
            self.gate.team(&catalog, key)?;
        }
        let visible = catalog.models().filter(|model| key.is_some() || model.open);
        let names: Vec<SmolStr> = visible.map(|model| model.name.clone()).collect();
        let adapters = catalog
            .adapters()
            .filter(|adapter| names.contains(&adapter.model));
        let adapters =
            adapters.map(|adapter| SmolStr::from(format!("{}:{}", adapter.model, adapter.name)));
        Ok(names.iter().cloned().chain(adapters).collect())
    }
}
