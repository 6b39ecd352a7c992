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
use crate::relay::call::{CallFacts, RelayFormat};
use crate::relay::config::{RouteConfig, ServiceConfig, ServingConfig, TeamConfig};
use crate::relay::crash::CrashWatch;
use crate::relay::engines::LoadItem;
use crate::relay::engines::PlaceWish;
use crate::relay::exchange::{RelayExchange, RelayPiece, RelayRequest, ResponseHead};
use crate::relay::fleet::{RelayFleet, holding};
use crate::relay::readers::ReaderElection;
use crate::relay::upstream::UpstreamPool;
use crate::retry::RetryBudget;
use crate::routing::RouteNeed;

/// Taken off the caller's deadline, for the way of the answer to the caller.
const CALLER_WAY: Duration = Duration::from_millis(10);
/// Time that a caller without a deadline is kept waiting at most.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// `Retry-After` where a service has no server: one comes back after a restart within seconds.
const NO_SERVER_WAIT: Duration = Duration::from_secs(1);
/// Longest time that a refusal waits for a newer configuration that a peer has: enough for one copy of it, and short
/// against the time that callers have.
const PLAN_WAIT: Duration = Duration::from_millis(300);
/// That wait takes at most one part in so many of the time that the caller has left, which may try another daemon.
const PLAN_WAIT_PARTS: u32 = 4;
/// `Retry-After` of a refusal by an old configuration: other daemons have the newer one already.
const PLAN_RETRY: Duration = Duration::from_millis(100);
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
    pub crashes: Arc<CrashWatch>,
    pub pool: UpstreamPool,
    pub format: Arc<F>,
    /// Second sends that all daemons may make to one service.
    pub retries: RetryShare,
    /// Number of daemons that share second sends and connections.
    pub daemons: watch::Receiver<u32>,
    /// Takes the items that requests need and no server holds.
    pub wishes: mpsc::UnboundedSender<PlaceWish>,
}

/// The fleet's budget of second sends per service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryShare {
    /// Second sends per 100 requests.
    pub percent: u32,
    /// Second sends beyond that in any window; each daemon takes an equal part.
    pub extra: u32,
}

impl RetryShare {
    /// Returns the part of `extra` of one of `daemons`; at least one, so that a lost server can be made up for.
    fn extra_of(self, daemons: u32) -> u32 {
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
    pub body: RelayBytes,
}

/// The bytes of an answer.
#[derive(Debug)]
pub enum RelayBytes {
    Whole(Bytes),
    /// Dropping the receiver cancels the request.
    Stream(mpsc::Receiver<Result<RelayPiece>>),
}

/// What the configuration allows a request.
struct CallPermit {
    plan: Arc<ServingConfig>,
    route: Arc<RouteConfig>,
    /// `None` on routes that are open to all.
    team: Option<Arc<TeamConfig>>,
}

/// Who may run a request, and what it is charged to.
#[derive(Clone, Debug, Default)]
pub struct RelayAccess {
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

    /// Reads the facts of a request's head.
    ///
    /// # Errors
    ///
    /// As [`RelayFormat::read_call`].
    pub fn read(&self, head: &Parts) -> Result<CallFacts> {
        self.context.format.read_call(head)
    }

    /// Carries out a request that arrived at `arrived`; resolves with the head of its answer. `access` is filled in
    /// as soon as it is known.
    ///
    /// # Errors
    ///
    /// The verdict says whether a backend server may have run the request.
    pub async fn call(
        &self,
        head: Parts,
        facts: CallFacts,
        body: Bytes,
        arrived: Instant,
        access: &mut RelayAccess,
    ) -> Result<RelayAnswer> {
        let caller_deadline = arrived + facts.deadline.unwrap_or(DEFAULT_DEADLINE);
        let permit = self.permit(&head, &facts, caller_deadline, access).await?;
        let CallPermit { plan, route, team } = permit;
        let admission = self.context.core.admit()?;
        let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let fingerprint = fingerprint(access.team.as_ref(), target, &body);
        self.context.core.check_suspect(&fingerprint)?;
        let service = self.service(&plan, &route)?;
        let model_need = self.need(service, &facts)?;
        self.wish(service, &facts);
        let daemons = *self.context.daemons.borrow();
        let budget = self.budget(&service.name, daemons);
        budget.request();
        self.context.core.demand().arrived(
            &model_need.route.model,
            model_need.route.adapter.as_ref(),
            facts.tokens.map_or(0, |(_, output)| output),
        );
        self.refuse_absent(service, &route, &facts, &model_need)?;
        let tokens = charged_tokens(team.as_deref(), &facts);
        let charge = match &team {
            Some(team) if team.spec.rate > 0 => Some(
                self.context
                    .core
                    .charge(&facts.id, &team.spec.name, tokens)
                    .await?,
            ),
            _ => None,
        };
        let deadline = (caller_deadline - CALLER_WAY).min(arrived + route.timeout);
        let job = RequestJob {
            id: facts.id.clone(),
            team: access.team.clone(),
            charge,
            need: model_need,
            fingerprint,
            deadline,
            estimate: tokens,
            exchange: RelayExchange::new(
                RelayRequest {
                    team: access.team.clone(),
                    method: head.method,
                    target: head.uri,
                    headers: self.context.format.forwarded(&head.headers),
                    body,
                    fingerprint,
                    arrived,
                    caller_deadline,
                    deadline,
                    tokens,
                    urgency: URGENCY,
                    idle_share: service.max_idle_connections(daemons),
                    facts,
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
        first_piece(self.context.core.start(job)).await
    }

    /// Finds the route and the team of a request. Callers never repeat what was refused for good, so a configuration that
    /// is older than one of a peer refuses nothing: the request waits a moment for the newer one, and is then refused
    /// for now.
    async fn permit(
        &self,
        head: &Parts,
        facts: &CallFacts,
        caller_deadline: Instant,
        access: &mut RelayAccess,
    ) -> Result<CallPermit> {
        let mut plans = self.context.plans.clone();
        if let Some(decided) = self.decide(&mut plans, head, facts, access) {
            return decided;
        }
        // Bounds the requests that wait.
        let _admission = self.context.core.admit()?;
        let left = caller_deadline.saturating_duration_since(Instant::now());
        let wait = PLAN_WAIT.min(left / PLAN_WAIT_PARTS);
        let end = tokio::time::Instant::now() + wait;
        while !wait.is_zero()
            && let Ok(Ok(())) = tokio::time::timeout_at(end, plans.changed()).await
        {
            if let Some(decided) = self.decide(&mut plans, head, facts, access) {
                return decided;
            }
        }
        // The peer that had a newer configuration may have gone meanwhile.
        let decided = self.decide(&mut plans, head, facts, access);
        decided.unwrap_or_else(|| {
            let message = "the route or the key may be in a newer configuration, which a peer has";
            Err(Error::unavailable(message).with_retry_after(PLAN_RETRY))
        })
    }

    /// Looks a request up in the configuration in force; `None` if that refuses it and a peer has a newer one.
    fn decide(
        &self,
        plans: &mut PlanReceiver,
        head: &Parts,
        facts: &CallFacts,
        access: &mut RelayAccess,
    ) -> Option<Result<CallPermit>> {
        let Some(plan) = plans.borrow_and_update().clone() else {
            let message = "the configuration is not loaded yet";
            return Some(Err(Error::unavailable(message)));
        };
        let version = plan.version;
        let decided = look_up(plan, head, facts, access);
        let is_behind = || self.context.readers.newest_config_version(Instant::now()) > version;
        match decided.is_err() && is_behind() {
            true => None,
            false => Some(decided),
        }
    }

    /// Refuses a request for a model that no server holds and that is not loaded before the caller's patience ends.
    fn refuse_absent(
        &self,
        service: &ServiceConfig,
        route: &RouteConfig,
        facts: &CallFacts,
        need: &ModelNeed,
    ) -> Result<()> {
        let engine = service.engine.as_ref();
        let model = engine.zip(facts.model.as_ref());
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
    fn wish(&self, service: &ServiceConfig, facts: &CallFacts) {
        let (Some(model), Some(adapter)) = (&facts.model, &facts.adapter) else {
            return;
        };
        let item = LoadItem {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        };
        if self.context.fleet.holds(&service.name, &item) {
            return;
        }
        let wish = PlaceWish {
            service: service.name.clone(),
            item,
        };
        // The receiver ends at shutdown only.
        let _ = self.context.wishes.send(wish);
    }

    fn budget(&self, service: &SmolStr, daemons: u32) -> Arc<RetryBudget> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let share = self.context.retries;
        let extra = share.extra_of(daemons);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Arc::new(RetryBudget::bounded(share.percent, extra)));
        budget.set_extra(extra);
        budget.clone()
    }

    /// Picks the service of a request.
    fn service<'a>(
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
            return Err(Error::unavailable(message).with_retry_after(NO_SERVER_WAIT));
        }
        Ok(service)
    }

    /// Returns what the request needs. A suspect is not kept apart from others: a server that crashes makes suspects of
    /// all requests that ran on it, too many for a server each.
    fn need(&self, service: &ServiceConfig, facts: &CallFacts) -> Result<ModelNeed> {
        let model = match (&service.engine, &facts.model) {
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
        let prefixes = facts.prompt.iter().map(|part| part.id).collect();
        let route = RouteNeed {
            model: holding(&service.name, model),
            version: SmolStr::default(),
            adapter: model.and(facts.adapter.clone()),
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

async fn first_piece(mut pieces: mpsc::Receiver<Result<RelayPiece>>) -> Result<RelayAnswer> {
    match pieces.recv().await {
        Some(Ok(RelayPiece::Whole { head, body })) => Ok(RelayAnswer {
            head,
            body: RelayBytes::Whole(body),
        }),
        Some(Ok(RelayPiece::Head(head))) => Ok(RelayAnswer {
            head,
            body: RelayBytes::Stream(pieces),
        }),
        Some(Err(error)) => Err(error),
        Some(Ok(RelayPiece::Data(_) | RelayPiece::End)) | None => {
            Err(Error::internal("the request ended without an answer")
                .with_verdict(RunVerdict::MayHaveRun))
        }
    }
}

/// Finds the route and the team of a request in `plan`, and notes in `access` what it finds.
fn look_up(
    plan: Arc<ServingConfig>,
    head: &Parts,
    facts: &CallFacts,
    access: &mut RelayAccess,
) -> Result<CallPermit> {
    *access = RelayAccess {
        plan_version: plan.version,
        ..RelayAccess::default()
    };
    let route = find_route(&plan, head)?.clone();
    access.route = Some(route.name.clone());
    let team = authenticate(&plan, &route, facts)?.cloned();
    access.team = team.as_ref().map(|team| team.spec.name.clone());
    Ok(CallPermit { plan, route, team })
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
    facts: &CallFacts,
) -> Result<Option<&'a Arc<TeamConfig>>> {
    if route.public || plan.teams().is_empty() {
        return Ok(None);
    }
    let key = facts.key.as_deref();
    let team = key.and_then(|key| plan.team_of_key(key));
    team.map(Some).ok_or_else(|| {
        let message = "the key is missing or not known";
        Error::new(Category::Unauthenticated, message)
    })
}

fn charged_tokens(team: Option<&TeamConfig>, facts: &CallFacts) -> u64 {
    match facts.tokens {
        Some((prompt, output)) => prompt.saturating_add(output),
        None => team.map_or(0, |team| team.default_tokens),
    }
}
