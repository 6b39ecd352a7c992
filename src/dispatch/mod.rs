//! The request path: authenticate, admit, claim, wait, choose, send, stream, settle.

mod access;
mod answer;
mod demand;
mod model;
mod name;
mod request_core;
mod room;
mod service;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use smol_str::SmolStr;

pub use self::access::{AccessGate, AccessGrant};
pub use self::answer::{AnswerChecker, ChunkVerdict};
pub use self::demand::{DemandMeter, ModelDemand};
pub use self::model::TokenStream;
pub use self::name::ModelName;
pub use self::request_core::{Attempt, CoreContext, CoreParts, Exchange, RequestCore};
pub(crate) use self::request_core::{ChargeOf, RequestJob, fingerprint};
pub use self::room::{FleetSource, ModelNeed, ModelQueues, ServerSlot, WaitCount, Waiter};
use crate::catalog::RequestClass;
use crate::claim::ClaimStore;
use crate::engine::{EngineChunk, EngineClient, ServiceAnswer, ServiceClient};
use crate::error::Result;
use crate::ids::CallerKey;
use crate::limit::TokenLimiter;
use crate::peer::SuspectNotice;
use crate::queue::QueuePolicy;
use crate::routing::RoutingPolicy;

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

/// The parts of the OpenAI-shaped request path besides those of its core.
pub trait DispatchParts: Send + Sync + 'static {
    type Engine: EngineClient;
    type Service: ServiceClient;
    type Limiter: TokenLimiter;
    type Claims: ClaimStore;
    type Routing: RoutingPolicy;
    type Queue: QueuePolicy<Waiter> + Send;
    type Fleet: FleetSource;
}

impl<P: DispatchParts> CoreParts for P {
    type Limiter = P::Limiter;
    type Routing = P::Routing;
    type Queue = P::Queue;
    type Fleet = P::Fleet;
}

/// Services that a dispatcher works with.
pub struct DispatchContext<P: DispatchParts> {
    /// Zone of this daemon.
    pub zone: SmolStr,
    pub gate: AccessGate,
    pub claims: Arc<P::Claims>,
    pub engine: Arc<P::Engine>,
    pub service: Arc<P::Service>,
    pub core: Arc<RequestCore<P>>,
}

/// The request path of one daemon.
pub struct RequestDispatcher<P: DispatchParts> {
    zone: SmolStr,
    gate: AccessGate,
    claims: Arc<P::Claims>,
    engine: Arc<P::Engine>,
    service: Arc<P::Service>,
    core: Arc<RequestCore<P>>,
}

impl<P: DispatchParts> RequestDispatcher<P> {
    /// Builds the request path.
    pub fn open(context: DispatchContext<P>) -> Arc<Self> {
        Arc::new(Self {
            zone: context.zone,
            gate: context.gate,
            claims: context.claims,
            engine: context.engine,
            service: context.service,
            core: context.core,
        })
    }

    /// Returns what this dispatcher shares with other edges.
    pub fn core(&self) -> &Arc<RequestCore<P>> {
        &self.core
    }

    /// Applies notices from a peer.
    pub fn apply_notices(&self, notices: &[SuspectNotice]) {
        self.core.apply_notices(notices, self.quarantine());
    }

    fn quarantine(&self) -> Duration {
        self.gate.catalog().policy().quarantine
    }

    /// Charges the team of a grant; open routes are not charged.
    async fn charge(
        &self,
        id: &SmolStr,
        grant: &AccessGrant,
        tokens: u64,
    ) -> Result<Option<ChargeOf<P>>> {
        match grant.team() {
            Some(team) => self.core.charge(id, team, tokens).await.map(Some),
            None => Ok(None),
        }
    }

    fn record_team(&self, id: &SmolStr, grant: &AccessGrant) {
        self.core
            .history
            .update(id, |record| record.team = grant.team().cloned());
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
            self.gate.authenticate(&catalog, key)?;
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
