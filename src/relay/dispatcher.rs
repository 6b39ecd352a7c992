//! Matches opaque requests to routes, admits them and starts them in the request core.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};

use crate::admission::spread_refusal;
use crate::dispatch::{
    CoreParts, FleetSource, ModelNeed, RequestCore, RequestJob, WorkTime, fingerprint,
};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::memory::MemoryAccount;
use crate::relay::absent::AbsentModels;
use crate::relay::answer_memory::AnswerMemory;
use crate::relay::answer_times::AnswerTimes;
use crate::relay::config::{RouteConfig, ServiceConfig, ServingConfig, TeamConfig};
use crate::relay::crash::CrashDetector;
use crate::relay::crash_watch::CrashWatch;
use crate::relay::engines::LoadItem;
use crate::relay::engines::PlacementRequest;
use crate::relay::exchange::{ExchangeContext, OutputMemory, RelayExchange, RequestWork};
use crate::relay::fleet::{RelayFleet, routing_name};
use crate::relay::format::{RelayFormat, RequestMetadata};
use crate::relay::matching::{match_in_config, tokens_to_charge};
use crate::relay::prompt::{prompt_fingerprint, shared_parts};
use crate::relay::readers::ReaderElection;
use crate::relay::request::{RelayPiece, RelayRequest, ResponseHead};
use crate::relay::resumption::StreamPlace;
use crate::relay::stream_origins::StreamOrigins;
use crate::relay::upstream::UpstreamPool;
use crate::retry::RetryBudget;
use crate::returns::TimeLeftLog;
use crate::routing::{RouteNeed, TrialRule};

/// Subtracted from the caller's deadline for the transfer of the answer to the caller.
const CALLER_DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Deadline of requests that state none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// `Retry-After` when a service has no server. A restarted server is available again within seconds.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a request waits for a newer configuration of a peer before it is refused: enough for one copy of
/// the configuration, and short compared with callers' deadlines.
const CONFIG_WAIT: Duration = Duration::from_millis(300);
/// The wait is at most the time until the caller's deadline divided by this, so that the caller can still try another
/// daemon.
const CONFIG_WAIT_DIVISOR: u32 = 4;
/// `Retry-After` of a refusal due to an old configuration. Other daemons have the newer one already.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Urgency of all requests, from 0 (most urgent) to 9. It is the same for all because a more urgent one preempts
/// running streams.
const URGENCY: u8 = 5;

/// Receives the latest configuration; `None` until the first one has been read.
pub type ConfigReceiver = watch::Receiver<Option<Arc<ServingConfig>>>;

/// Dependencies of a [`RelayDispatcher`].
pub struct RelayContext<P: CoreParts, F> {
    pub zone: SmolStr,
    pub core: Arc<RequestCore<P>>,
    pub configs: ConfigReceiver,
    /// Knows the configuration versions of peers.
    pub readers: Arc<ReaderElection>,
    pub fleet: Arc<RelayFleet>,
    pub crashes: Arc<CrashDetector>,
    pub watch: Arc<CrashWatch>,
    pub origins: Arc<StreamOrigins>,
    pub pool: UpstreamPool,
    /// Memory for request bodies and answers.
    pub memory: MemoryAccount,
    pub format: Arc<F>,
    /// Limits on the retries that all daemons together send to one service.
    pub retries: RetryLimits,
    /// Number of daemons that share the retry limits and the connections to servers.
    pub daemons: watch::Receiver<u32>,
    /// Receives the adapters that requests need and no server holds.
    pub placement_requests: mpsc::UnboundedSender<PlacementRequest>,
}

/// Limits on the retries that all daemons together send to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
    /// Retries per 100 requests.
    pub percent: u32,
    /// Retries beyond that in any window; each daemon gets an equal part.
    pub extra: u32,
}

impl RetryLimits {
    /// Returns the part of `extra` that one of `daemons` gets. It is at least 1, so that every daemon can retry after
    /// the loss of a server.
    fn extra_per_daemon(self, daemons: u32) -> u32 {
        (self.extra / daemons.max(1)).max(1)
    }
}

/// The request path of opaque requests.
pub struct RelayDispatcher<P: CoreParts, F> {
    context: RelayContext<P, F>,
    exchanges: Arc<ExchangeContext<F>>,
    /// Retry budgets by service.
    budgets: Mutex<HashMap<SmolStr, Arc<RetryBudget>>>,
    absent: Mutex<AbsentModels>,
    /// Times that callers stated, by route.
    time_logs: Mutex<HashMap<SmolStr, TimeLeftLog>>,
    /// Longest time that a caller stated, by route with streams that may be resumed.
    pub(super) longest_waits: Mutex<HashMap<SmolStr, Duration>>,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct RelayAnswer {
    pub head: ResponseHead,
    pub body: RelayBody,
}

/// The body of an answer.
#[derive(Debug)]
pub enum RelayBody {
    Whole(Bytes),
    /// Dropping the receiver cancels the request.
    Stream(mpsc::Receiver<Result<RelayPiece>>),
}

/// The configuration, route and team that apply to a request.
pub(super) struct RouteMatch {
    pub(super) config: Arc<ServingConfig>,
    pub(super) route: Arc<RouteConfig>,
    /// `None` on routes that require no key.
    pub(super) team: Option<Arc<TeamConfig>>,
}

/// Configuration version, route and team that a request is attributed to.
#[derive(Clone, Debug, Default)]
pub struct RequestAttribution {
    /// Version of the configuration that the request was matched against; 0 for none.
    pub config_version: u64,
    pub route: Option<SmolStr>,
    pub team: Option<SmolStr>,
}

impl<P: CoreParts, F: RelayFormat> RelayDispatcher<P, F> {
    /// Creates the request path.
    pub fn open(context: RelayContext<P, F>) -> Arc<Self> {
        let exchanges = Arc::new(ExchangeContext {
            format: context.format.clone(),
            pool: context.pool.clone(),
            fleet: context.fleet.clone(),
            crashes: context.crashes.clone(),
            origins: context.origins.clone(),
            watch: context.watch.clone(),
            times: AnswerTimes::default(),
            memory: AnswerMemory::new(&context.memory),
            outputs: OutputMemory::default(),
            metrics: context.core.metrics().clone(),
        });
        Arc::new(Self {
            context,
            exchanges,
            budgets: Mutex::default(),
            absent: Mutex::default(),
            time_logs: Mutex::default(),
            longest_waits: Mutex::default(),
        })
    }

    /// Returns the request core, which other edges use as well.
    pub fn core(&self) -> &Arc<RequestCore<P>> {
        &self.context.core
    }

    pub(super) fn fleet(&self) -> &Arc<RelayFleet> {
        &self.context.fleet
    }

    pub(super) fn origins(&self) -> &StreamOrigins {
        &self.context.origins
    }

    /// Returns the memory for request bodies and answers.
    pub(super) fn memory(&self) -> &MemoryAccount {
        &self.context.memory
    }

    /// Subscribes to the configuration in force.
    pub(super) fn configs(&self) -> ConfigReceiver {
        self.context.configs.clone()
    }

    /// Reads the metadata from the headers of a request.
    ///
    /// # Errors
    ///
    /// As [`RelayFormat::read_metadata`].
    pub fn read_metadata(&self, head: &Parts) -> Result<RequestMetadata> {
        self.context.format.read_metadata(head)
    }

    /// Checks a request before its body is read, as far as its head shows that it is refused. `attribution` is set as far as
    /// it is known.
    ///
    /// # Errors
    ///
    /// `NotFound` without a route, `Unauthenticated` without a known key, unless a peer has a newer configuration.
    pub fn check_head(
        &self,
        head: &Parts,
        metadata: &RequestMetadata,
        attribution: &mut RequestAttribution,
    ) -> Result<()> {
        let mut configs = self.context.configs.clone();
        let matched = self.try_match_route(&mut configs, head, metadata, attribution);
        matched.map_or(Ok(()), |result| result.map(|_| ()))
    }

    /// Processes a request that arrived at `arrived` and returns once the head of its answer is known. `attribution` is
    /// set as soon as it is known, also if the request fails.
    ///
    /// # Errors
    ///
    /// The verdict of the error says whether a backend server may have run the request.
    pub async fn call(
        &self,
        head: Parts,
        metadata: RequestMetadata,
        body: Bytes,
        arrived: Instant,
        attribution: &mut RequestAttribution,
    ) -> Result<RelayAnswer> {
        let caller_deadline = arrived + metadata.deadline.unwrap_or(DEFAULT_DEADLINE);
        let drain = self.context.core.drain_clock();
        let route_match = self.match_route(&head, &metadata, caller_deadline, attribution);
        let route_match = drain.run_unsent(|| WorkTime::NONE, route_match).await?;
        let RouteMatch {
            config,
            route,
            team,
        } = route_match;
        let admission = self.context.core.admit()?;
        let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let call_digest = fingerprint(attribution.team.as_ref(), target, &body);
        let fingerprint = prompt_fingerprint(call_digest, &metadata);
        self.context.core.check_suspect(&fingerprint)?;
        let parts = shared_parts(&call_digest, &metadata);
        self.context.watch.check_new(&parts)?;
        let place = self.find_place(&config, &route, &metadata, attribution.team.as_ref());
        let StreamPlace { stream, origin } = drain.run_unsent(|| WorkTime::NONE, place).await?;
        let service = match &origin {
            Some(origin) => declared_service(&config, &origin.service)?,
            None => self.select_service(&config, &route)?,
        };
        let work =
            self.exchanges
                .estimate_work(&service.name, &route.name, &metadata, Instant::now());
        let model_need = self.model_need(&route, service, &metadata, &work)?;
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
        self.refuse_paused(service, &route, &metadata)?;
        let tokens = tokens_to_charge(team.as_deref(), &metadata);
        let charge = match &team {
            Some(team) if team.spec.rate > 0 => {
                let charge = self
                    .context
                    .core
                    .charge(&metadata.id, &team.spec.name, tokens);
                Some(
                    drain
                        .run_unsent(|| self.exchanges.work_time(&route), charge)
                        .await?,
                )
            }
            _ => None,
        };
        let deadline = (caller_deadline - CALLER_DEADLINE_MARGIN).min(arrived + route.timeout);
        let team_priority = team.as_ref().and_then(|team| team.priority);
        let priority = team_priority.unwrap_or(route.priority);
        let used = self.used_time(&route.name, metadata.deadline);
        let deferrable = config.is_deferrable(&route, &service.name);
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
                    parts,
                    fingerprint,
                    arrived,
                    first_arrived: arrived.checked_sub(used).unwrap_or(arrived),
                    caller_deadline,
                    deadline,
                    work,
                    stream,
                    software: origin.map(|origin| origin.software),
                    service: service.name.clone(),
                    tokens,
                    priority,
                    deferrable,
                    urgency: URGENCY,
                    max_idle_connections: service.max_idle_connections(daemons),
                    metadata,
                    route,
                },
                self.exchanges.clone(),
                budget,
            ),
            _admission: admission,
        };
        let mut pieces = self.context.core.start(job);
        let first = drain.first_piece(&mut pieces).await;
        match first.map_err(|error| {
            let left = caller_deadline.saturating_duration_since(Instant::now());
            spread_refusal(error, left, rand::random())
        })? {
            RelayPiece::Whole { head, body } => Ok(RelayAnswer {
                head,
                body: RelayBody::Whole(body),
            }),
            RelayPiece::Head(head) => Ok(RelayAnswer {
                head,
                body: RelayBody::Stream(pieces),
            }),
            RelayPiece::Data(_) | RelayPiece::End => {
                Err(Error::internal("the answer began without its head")
                    .with_verdict(RunVerdict::MayHaveRun))
            }
        }
    }

    /// Finds the route and the team of a request. Callers do not retry 401 and 404, so these are not returned while a
    /// peer has a newer configuration: the request waits up to [`CONFIG_WAIT`] for it and then gets a retryable error.
    async fn match_route(
        &self,
        head: &Parts,
        metadata: &RequestMetadata,
        caller_deadline: Instant,
        attribution: &mut RequestAttribution,
    ) -> Result<RouteMatch> {
        let mut configs = self.context.configs.clone();
        if let Some(result) = self.try_match_route(&mut configs, head, metadata, attribution) {
            return result;
        }
        // Limits the number of waiting requests.
        let _admission = self.context.core.admit()?;
        let left = caller_deadline.saturating_duration_since(Instant::now());
        let wait = CONFIG_WAIT.min(left / CONFIG_WAIT_DIVISOR);
        let end = tokio::time::Instant::now() + wait;
        while !wait.is_zero()
            && let Ok(Ok(())) = tokio::time::timeout_at(end, configs.changed()).await
        {
            if let Some(result) = self.try_match_route(&mut configs, head, metadata, attribution) {
                return result;
            }
        }
        // The peer with the newer configuration may no longer be known.
        let result = self.try_match_route(&mut configs, head, metadata, attribution);
        result.unwrap_or_else(|| {
            let message = "the route or the key may be in a newer configuration, which a peer has";
            Err(Error::unavailable(message).with_retry_after(STALE_CONFIG_RETRY_AFTER))
        })
    }

    /// Matches a request against the configuration in force; `None` if that fails and a peer has a newer one.
    fn try_match_route(
        &self,
        configs: &mut ConfigReceiver,
        head: &Parts,
        metadata: &RequestMetadata,
        attribution: &mut RequestAttribution,
    ) -> Option<Result<RouteMatch>> {
        let Some(config) = configs.borrow_and_update().clone() else {
            let message = "the configuration is not loaded yet";
            return Some(Err(Error::unavailable(message)));
        };
        let version = config.version;
        let result = match_in_config(config, head, metadata, attribution);
        let peer_has_newer_config =
            || self.context.readers.newest_config_version(Instant::now()) > version;
        match result.is_err() && peer_has_newer_config() {
            true => None,
            false => Some(result),
        }
    }

    /// Refuses a request for a model that no server holds if its expected load ends after the route's wait limit.
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
        if snapshot.has_open_holder(name, &need.route.version) {
            absent.note_present(name);
            return Ok(());
        }
        let load_time = self.context.fleet.fastest_load_time(&service.name, model);
        let wait = absent.expected_wait(name, load_time, Instant::now());
        if wait <= route.wait_limit() {
            return Ok(());
        }
        let message = format!("model `{}` is being loaded", model.name);
        Err(Error::unavailable(message).with_retry_after(wait))
    }

    /// Refuses a request if all servers that could take it want no requests for longer than it may wait.
    fn refuse_paused(
        &self,
        service: &ServiceConfig,
        route: &RouteConfig,
        metadata: &RequestMetadata,
    ) -> Result<()> {
        let model = metadata.model.as_ref().filter(|_| service.engine.is_some());
        let item = model.map(|model| LoadItem {
            model: model.clone(),
            adapter: metadata.adapter.clone(),
        });
        let until = self
            .context
            .fleet
            .paused_until(&service.name, item.as_ref());
        let wait = until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        if wait <= route.wait_limit() {
            return Ok(());
        }
        let message = "the backend servers want no requests for now";
        Err(Error::new(Category::Overloaded, message).with_retry_after(wait))
    }

    /// Requests the load of the adapter if no server holds it. Models are loaded according to demand alone.
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
        let request = PlacementRequest {
            service: service.name.clone(),
            item,
        };
        // The receiver is closed only at shutdown.
        let _ = self.context.placement_requests.send(request);
    }

    fn retry_budget(&self, service: &SmolStr, daemons: u32) -> Arc<RetryBudget> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = self.context.retries;
        let extra = limits.extra_per_daemon(daemons);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Arc::new(RetryBudget::bounded(limits.percent, extra)));
        budget.set_capacity(extra);
        budget.clone()
    }

    /// Selects the service of a request by the weights of its route.
    pub(super) fn select_service<'a>(
        &self,
        config: &'a ServingConfig,
        route: &RouteConfig,
    ) -> Result<&'a ServiceConfig> {
        let name = route
            .pick_service(rand::random())
            .ok_or_else(|| Error::unavailable("the route has no service"))?;
        let service = declared_service(config, name)?;
        if !self.context.fleet.has_service(name) {
            let message = match self.context.fleet.has_list() {
                true => format!("service `{name}` has no backend server"),
                false => "the list of backend servers is not known yet".to_owned(),
            };
            return Err(Error::unavailable(message).with_retry_after(NO_SERVER_RETRY_AFTER));
        }
        Ok(service)
    }

    /// Returns how long ago the first attempt of a request arrived, by the time that its caller states.
    fn used_time(&self, route: &SmolStr, left: Option<Duration>) -> Duration {
        let Some(left) = left else {
            return Duration::ZERO;
        };
        let mut logs = self
            .time_logs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let used = logs.entry(route.clone()).or_default().note(left);
        drop(logs);
        if !used.is_zero() {
            let metrics = self.context.core.metrics();
            metrics.count(&metrics.deferrals, "returned");
        }
        used
    }

    /// Returns the model, adapter and prefixes that a request needs. Suspect requests are not given a server of their
    /// own: a crash makes all requests that ran on the server suspect, which is too many for one server each.
    fn model_need(
        &self,
        route: &RouteConfig,
        service: &ServiceConfig,
        metadata: &RequestMetadata,
        work: &RequestWork,
    ) -> Result<ModelNeed> {
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
        let route = RouteNeed {
            model: routing_name(&service.name, model),
            adapter: model.and(metadata.adapter.clone()),
            prefixes: work.prefixes.clone(),
            zone: self.context.zone.clone(),
            cost: work.cost.clone(),
            trial: TrialRule::of(route.is_repeatable()),
            ..RouteNeed::default()
        };
        Ok(ModelNeed {
            route,
            fallbacks: Vec::new(),
            suspect: None,
        })
    }
}

fn declared_service<'a>(config: &'a ServingConfig, name: &SmolStr) -> Result<&'a ServiceConfig> {
    config
        .service(name)
        .ok_or_else(|| Error::unavailable(format!("service `{name}` is not declared")))
}
