//! Admits opaque requests and hands them to the core.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};

use crate::dispatch::{CoreParts, FleetSource, ModelNeed, RequestCore, RequestJob, fingerprint};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::relay::absent::AbsentModels;
use crate::relay::config::{RouteConfig, ServiceConfig, ServingConfig, TeamConfig};
use crate::relay::crash::CrashDetector;
use crate::relay::engines::LoadItem;
use crate::relay::engines::PlacementRequest;
use crate::relay::exchange::{RelayExchange, RelayPiece, RelayRequest, ResponseHead};
use crate::relay::fleet::{RelayFleet, routing_name};
use crate::relay::format::{RelayFormat, RequestMetadata};
use crate::relay::readers::ReaderElection;
use crate::relay::upstream::UpstreamPool;
use crate::retry::RetryBudget;
use crate::routing::RouteNeed;

/// Taken off the caller's deadline, for the way of the answer to the caller.
const CALLER_DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Time that a caller without a deadline is kept waiting at most.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// `Retry-After` where a service has no server: one comes back after a restart within seconds.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a refusal waits for a newer configuration that a peer has: enough for one copy of it, and short
/// against the time that callers have.
const PLAN_WAIT: Duration = Duration::from_millis(300);
/// That wait takes at most one part in so many of the time that the caller has left, which may try another daemon.
const PLAN_WAIT_DIVISOR: u32 = 4;
/// `Retry-After` of a refusal by an old configuration: other daemons have the newer one already.
const STALE_PLAN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Urgency of requests, from 0 to 9. One value for all: a more urgent request would preempt running streams.
const URGENCY: u8 = 5;

/// Latest configuration; `None` before the first one was read.
pub type PlanReceiver = watch::Receiver<Option<Arc<ServingConfig>>>;

/// What a [`RelayDispatcher`] works with.
pub struct RelayContext<P: CoreParts, F> {
    pub zone: SmolStr,
    pub core: Arc<RequestCore<P>>,
    pub plans: PlanReceiver,
    /// Knows which configurations peers have.
    pub readers: Arc<ReaderElection>,
    pub fleet: Arc<RelayFleet>,
    pub crashes: Arc<CrashDetector>,
    pub pool: UpstreamPool,
    pub format: Arc<F>,
    /// Second sends that all daemons may make to one service.
    pub retries: RetryLimits,
    /// Number of daemons that share second sends and connections.
    pub daemons: watch::Receiver<u32>,
    /// Takes the items that requests need and no server holds.
    pub wishes: mpsc::UnboundedSender<PlacementRequest>,
}

/// The fleet's budget of second sends per service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Second sends per 100 requests.
    pub percent: u32,
    /// Second sends beyond that in any window; each daemon takes an equal part.
    pub extra: u32,
}

impl RetryLimits {
    /// Returns the part of `extra` of one of `daemons`; at least one, so that a lost server can be made up for.
    fn extra_per_daemon(self, daemons: u32) -> u32 {
        (self.extra / daemons.max(1)).max(1)
    }
}

/// The request path of opaque requests.
pub struct RelayDispatcher<P: CoreParts, F> {
    context: RelayContext<P, F>,
    /// Budgets of second sends by service.
    budgets: Mutex<HashMap<SmolStr, Arc<RetryBudget>>>,
    absent: Mutex<AbsentModels>,
}

/// A started answer.
#[derive(Debug)]
pub struct RelayAnswer {
    pub head: ResponseHead,
    pub body: RelayBody,
}

/// The bytes of an answer.
#[derive(Debug)]
pub enum RelayBody {
    Whole(Bytes),
    /// Dropping the receiver cancels the request.
    Stream(mpsc::Receiver<Result<RelayPiece>>),
}

/// What the configuration allows a request.
struct RouteMatch {
    plan: Arc<ServingConfig>,
    route: Arc<RouteConfig>,
    /// `None` on routes that are open to all.
    team: Option<Arc<TeamConfig>>,
}

/// Who may run a request, and what it is charged to.
#[derive(Clone, Debug, Default)]
pub struct RequestAttribution {
    /// Version of the configuration that decided; 0 for none.
    pub plan_version: u64,
    pub route: Option<SmolStr>,
    pub team: Option<SmolStr>,
}

impl<P: CoreParts, F: RelayFormat> RelayDispatcher<P, F> {
    /// Builds the request path.
    pub fn open(context: RelayContext<P, F>) -> Arc<Self> {
        Arc::new(Self {
            context,
            budgets: Mutex::default(),
            absent: Mutex::default(),
        })
    }

    /// Returns what this dispatcher shares with other edges.
    pub fn core(&self) -> &Arc<RequestCore<P>> {
        &self.context.core
    }

    /// Reads the metadata of a request's head.
    ///
    /// # Errors
    ///
    /// As [`RelayFormat::read_metadata`].
    pub fn read_metadata(&self, head: &Parts) -> Result<RequestMetadata> {
        self.context.format.read_metadata(head)
    }

    /// Carries out a request that arrived at `arrived`; resolves with the head of its answer. `attribution` is filled in
    /// as soon as it is known.
    ///
    /// # Errors
    ///
    /// The verdict says whether a backend server may have run the request.
    pub async fn call(
        &self,
        head: Parts,
        metadata: RequestMetadata,
        body: Bytes,
        arrived: Instant,
        attribution: &mut RequestAttribution,
    ) -> Result<RelayAnswer> {
        let caller_deadline = arrived + metadata.deadline.unwrap_or(DEFAULT_DEADLINE);
        let route_match = self
            .match_route(&head, &metadata, caller_deadline, attribution)
            .await?;
        let RouteMatch { plan, route, team } = route_match;
        let admission = self.context.core.admit()?;
        let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let fingerprint = fingerprint(attribution.team.as_ref(), target, &body);
        self.context.core.check_suspect(&fingerprint)?;
        let service = self.select_service(&plan, &route)?;
        let model_need = self.model_need(service, &metadata)?;
        self.request_adapter(service, &metadata);
        let daemons = *self.context.daemons.borrow();
        let budget = self.retry_budget(&service.name, daemons);
        budget.count_request();
        self.context.core.demand().arrived(
            &model_need.route.model,
            model_need.route.adapter.as_ref(),
            metadata.tokens.map_or(0, |(_, output)| output),
        );
        self.refuse_absent(service, &route, &metadata, &model_need)?;
        let tokens = tokens_to_charge(team.as_deref(), &metadata);
        let charge = match &team {
            Some(team) if team.spec.rate > 0 => Some(
                self.context
                    .core
                    .charge(&metadata.id, &team.spec.name, tokens)
                    .await?,
            ),
            _ => None,
        };
        let deadline = (caller_deadline - CALLER_DEADLINE_MARGIN).min(arrived + route.timeout);
        let job = RequestJob {
            id: metadata.id.clone(),
            team: attribution.team.clone(),
            charge,
            need: model_need,
            fingerprint,
            deadline,
            estimate: tokens,
            exchange: RelayExchange::new(
                RelayRequest {
                    team: attribution.team.clone(),
                    method: head.method,
                    target: head.uri,
                    headers: self.context.format.forwardable_headers(&head.headers),
                    body,
                    fingerprint,
                    arrived,
                    caller_deadline,
                    deadline,
                    tokens,
                    urgency: URGENCY,
                    max_idle_connections: service.max_idle_connections(daemons),
                    metadata,
                    route,
                },
                self.context.format.clone(),
                self.context.pool.clone(),
                self.context.fleet.clone(),
                self.context.crashes.clone(),
                budget,
            ),
            _admission: admission,
        };
        wait_for_head(self.context.core.start(job)).await
    }

    /// Finds the route and the team of a request. Callers never repeat what was refused for good, so a configuration that
    /// is older than one of a peer refuses nothing: the request waits a moment for the newer one, and is then refused
    /// for now.
    async fn match_route(
        &self,
        head: &Parts,
        metadata: &RequestMetadata,
        caller_deadline: Instant,
        attribution: &mut RequestAttribution,
    ) -> Result<RouteMatch> {
        let mut plans = self.context.plans.clone();
        if let Some(result) = self.try_match_route(&mut plans, head, metadata, attribution) {
            return result;
        }
        // Bounds the requests that wait.
        let _admission = self.context.core.admit()?;
        let left = caller_deadline.saturating_duration_since(Instant::now());
        let wait = PLAN_WAIT.min(left / PLAN_WAIT_DIVISOR);
        let end = tokio::time::Instant::now() + wait;
        while !wait.is_zero()
            && let Ok(Ok(())) = tokio::time::timeout_at(end, plans.changed()).await
        {
            if let Some(result) = self.try_match_route(&mut plans, head, metadata, attribution) {
                return result;
            }
        }
        // The peer that had a newer configuration may have gone meanwhile.
        let result = self.try_match_route(&mut plans, head, metadata, attribution);
        result.unwrap_or_else(|| {
            let message = "the route or the key may be in a newer configuration, which a peer has";
            Err(Error::unavailable(message).with_retry_after(STALE_PLAN_RETRY_AFTER))
        })
    }

    /// Looks a request up in the configuration in force; `None` if that refuses it and a peer has a newer one.
    fn try_match_route(
        &self,
        plans: &mut PlanReceiver,
        head: &Parts,
        metadata: &RequestMetadata,
        attribution: &mut RequestAttribution,
    ) -> Option<Result<RouteMatch>> {
        let Some(plan) = plans.borrow_and_update().clone() else {
            let message = "the configuration is not loaded yet";
            return Some(Err(Error::unavailable(message)));
        };
        let version = plan.version;
        let result = match_in_plan(plan, head, metadata, attribution);
        let peer_has_newer_plan =
            || self.context.readers.newest_config_version(Instant::now()) > version;
        match result.is_err() && peer_has_newer_plan() {
            true => None,
            false => Some(result),
        }
    }

    /// Refuses a request for a model that no server holds and that is not loaded before the caller's patience ends.
    fn refuse_absent(
        &self,
        service: &ServiceConfig,
        route: &RouteConfig,
        metadata: &RequestMetadata,
        need: &ModelNeed,
    ) -> Result<()> {
        let engine = service.engine.as_ref();
        let model = engine.zip(metadata.model.as_ref());
        let Some(model) = model.and_then(|(engine, name)| engine.model(name)) else {
            return Ok(());
        };
        let name = &need.route.model;
        let snapshot = FleetSource::snapshot(&self.context.fleet);
        let mut absent = self.absent.lock().unwrap_or_else(PoisonError::into_inner);
        if !snapshot.holders(name, &need.route.version).is_empty() {
            absent.note_present(name);
            return Ok(());
        }
        let load = self.context.fleet.fastest_load(&service.name, model);
        let wait = absent.expected_wait(name, load, Instant::now());
        if wait <= route.wait_limit() {
            return Ok(());
        }
        let message = format!("model `{}` is being loaded", model.name);
        Err(Error::unavailable(message).with_retry_after(wait))
    }

    /// Asks for the adapter of a request if no server holds it. Models follow from demand alone.
    fn request_adapter(&self, service: &ServiceConfig, metadata: &RequestMetadata) {
        let (Some(model), Some(adapter)) = (&metadata.model, &metadata.adapter) else {
            return;
        };
        let item = LoadItem {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        };
        if self.context.fleet.holds(&service.name, &item) {
            return;
        }
        let wish = PlacementRequest {
            service: service.name.clone(),
            item,
        };
        // The receiver ends at shutdown only.
        let _ = self.context.wishes.send(wish);
    }

    fn retry_budget(&self, service: &SmolStr, daemons: u32) -> Arc<RetryBudget> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = self.context.retries;
        let extra = limits.extra_per_daemon(daemons);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Arc::new(RetryBudget::bounded(limits.percent, extra)));
        budget.set_extra(extra);
        budget.clone()
    }

    /// Picks the service of a request.
    fn select_service<'a>(
        &self,
        plan: &'a ServingConfig,
        route: &RouteConfig,
    ) -> Result<&'a ServiceConfig> {
        let name = route
            .pick_service(rand::random())
            .ok_or_else(|| Error::unavailable("the route leads to no service"))?;
        let service = plan
            .service(name)
            .ok_or_else(|| Error::unavailable(format!("service `{name}` is not declared")))?;
        if !self.context.fleet.has_service(name) {
            let message = format!("no server of `{name}` is listed");
            return Err(Error::unavailable(message).with_retry_after(NO_SERVER_RETRY_AFTER));
        }
        Ok(service)
    }

    /// Returns what the request needs. A suspect is not kept apart from others: a server that crashes makes suspects of
    /// all requests that ran on it, too many for a server each.
    fn model_need(&self, service: &ServiceConfig, metadata: &RequestMetadata) -> Result<ModelNeed> {
        let model = match (&service.engine, &metadata.model) {
            (None, _) => None,
            (Some(_), None) => return Err(Error::invalid("the request names no model")),
            (Some(engine), Some(model)) => Some(
                engine
                    .model(model)
                    .map(|model| &model.name)
                    .ok_or_else(|| {
                        Error::unavailable(format!("model `{model}` is not declared"))
                    })?,
            ),
        };
        let prefixes = metadata.prompt.iter().map(|part| part.id).collect();
        let route = RouteNeed {
            model: routing_name(&service.name, model),
            version: SmolStr::default(),
            adapter: model.and(metadata.adapter.clone()),
            prefixes,
            zone: self.context.zone.clone(),
            avoid: Vec::new(),
        };
        Ok(ModelNeed {
            route,
            fallbacks: Vec::new(),
            suspect: None,
        })
    }
}

async fn wait_for_head(mut pieces: mpsc::Receiver<Result<RelayPiece>>) -> Result<RelayAnswer> {
    match pieces.recv().await {
        Some(Ok(RelayPiece::Whole { head, body })) => Ok(RelayAnswer {
            head,
            body: RelayBody::Whole(body),
        }),
        Some(Ok(RelayPiece::Head(head))) => Ok(RelayAnswer {
            head,
            body: RelayBody::Stream(pieces),
        }),
        Some(Err(error)) => Err(error),
        Some(Ok(RelayPiece::Data(_) | RelayPiece::End)) | None => {
            Err(Error::internal("the request ended without an answer")
                .with_verdict(RunVerdict::MayHaveRun))
        }
    }
}

/// Finds the route and the team of a request in `plan`, and notes in `attribution` what it finds.
fn match_in_plan(
    plan: Arc<ServingConfig>,
    head: &Parts,
    metadata: &RequestMetadata,
    attribution: &mut RequestAttribution,
) -> Result<RouteMatch> {
    *attribution = RequestAttribution {
        plan_version: plan.version,
        ..RequestAttribution::default()
    };
    let route = find_route(&plan, head)?.clone();
    attribution.route = Some(route.name.clone());
    let team = authenticate(&plan, &route, metadata)?.cloned();
    attribution.team = team.as_ref().map(|team| team.spec.name.clone());
    Ok(RouteMatch { plan, route, team })
}

fn find_route<'a>(plan: &'a ServingConfig, head: &Parts) -> Result<&'a Arc<RouteConfig>> {
    let host = head.headers.get(http::header::HOST);
    let host = host
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host());
    let host = host.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    plan.route(name, head.uri.path())
        .ok_or_else(|| Error::new(Category::NotFound, "no route leads to this host and path"))
}

/// Returns the team that holds the request's key; routes that are open to all need none.
fn authenticate<'a>(
    plan: &'a ServingConfig,
    route: &RouteConfig,
    metadata: &RequestMetadata,
) -> Result<Option<&'a Arc<TeamConfig>>> {
    if route.public || plan.teams().is_empty() {
        return Ok(None);
    }
    let key = metadata.key.as_deref();
    let team = key.and_then(|key| plan.team_of_key(key));
    team.map(Some).ok_or_else(|| {
        let message = "the key is missing or not known";
        Error::new(Category::Unauthenticated, message)
    })
}

fn tokens_to_charge(team: Option<&TeamConfig>, metadata: &RequestMetadata) -> u64 {
    match metadata.tokens {
        Some((prompt, output)) => prompt.saturating_add(output),
        None => team.map_or(0, |team| team.default_tokens),
    }
}
