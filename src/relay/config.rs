//! The operators' configuration as an immutable value with look-up tables.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::catalog::TeamSpec;
use crate::deferral::RouteTerms;
use crate::ids::KeyDigest;

/// Shortest silence after which callers abandon a stream, from the platform's description of its clients.
const MIN_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Callers wait at least this multiple of the target latency before they abandon a silent stream.
const TARGET_LATENCY_FACTOR: u32 = 4;
/// Callers wait at least this multiple of the allowed pause before they abandon a silent stream.
const MAX_PAUSE_FACTOR: u32 = 8;

/// Part of the silence limit of a stream for which its request may wait for a free slot, in percent.
const QUEUE_WAIT_PERCENT: u32 = 80;

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered with a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// A route from callers to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    pub name: SmolStr,
    pub host: SmolStr,
    /// Begins and ends with a slash.
    pub prefix: SmolStr,
    pub kind: CallKind,
    /// Whether a stream may be resumed on another backend server.
    pub resumable: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which the answer, or the first event of a stream, is due.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that counts as on time.
    pub max_pause: Duration,
    /// Largest number of backend servers on which one call may be tried.
    pub max_attempts: usize,
    /// 0 is the highest priority.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Services and their weights; requests are split by weight.
    pub services: Vec<(SmolStr, u32)>,
}

impl RouteConfig {
    /// Returns whether a call may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Streaming => self.resumable,
        }
    }

    /// Returns the silence after which callers abandon a stream.
    pub fn silence_limit(&self) -> Duration {
        MIN_SILENCE_LIMIT
            .max(self.target_latency * TARGET_LATENCY_FACTOR)
            .max(self.max_pause * MAX_PAUSE_FACTOR)
    }

    /// Returns how long a request may wait for a free slot. For a stream this is shorter than the silence limit, so
    /// that the caller gets an answer before it abandons the stream.
    pub fn wait_limit(&self) -> Duration {
        match self.kind {
            CallKind::Streaming => self.silence_limit() * QUEUE_WAIT_PERCENT / 100,
            CallKind::Idempotent | CallKind::NonIdempotent => self.timeout,
        }
    }

    /// Returns the properties that decide whether requests of the route are deferrable.
    pub fn terms(&self) -> RouteTerms {
        RouteTerms {
            target: self.target_latency,
            timeout: self.timeout,
            priority: self.priority,
        }
    }

    /// Picks a service at random by weight; `draw` is a uniform random number in `0..1`.
    pub fn pick_service(&self, draw: f64) -> Option<&SmolStr> {
        let weights = self.services.iter().map(|(_, weight)| f64::from(*weight));
        let mut left = draw * weights.sum::<f64>();
        for (service, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}

/// A model that engines of a service can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelConfig {
    pub name: SmolStr,
    /// Accelerator memory of the weights, in MB.
    pub memory_mb: f64,
    /// Load time from the weight store.
    pub store_load: Duration,
    /// Load time from the engine's own disk.
    pub disk_load: Duration,
    /// Load time from the engine's host memory.
    pub host_load: Duration,
    /// Number of adapters.
    pub adapters: u32,
    /// Accelerator memory of one adapter, in MB.
    pub adapter_mb: f64,
}

impl ModelConfig {
    /// Returns how long a load takes on an engine that has the weights of the given models in host memory or on disk,
    /// and whether the load counts against the budget of the weight store.
    pub fn load_time(&self, in_host_memory: &[SmolStr], on_disk: &[SmolStr]) -> (Duration, bool) {
        if in_host_memory.contains(&self.name) {
            (self.host_load, false)
        } else if on_disk.contains(&self.name) {
            (self.disk_load, false)
        } else {
            (self.store_load, true)
        }
    }
}

/// Configuration shared by all engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    pub models: Vec<ModelConfig>,
    /// Number of requests that an engine runs in one batch.
    pub slots: u32,
    /// Capacity of an engine's cache, in tokens of prompts and answers.
    pub cache_tokens: u64,
    /// Accelerator memory for weights and adapters, in MB.
    pub memory_mb: f64,
    /// Largest number of adapters in an engine's memory.
    pub adapter_slots: u32,
    /// Loads from the weight store per second, over all engines.
    pub loads_per_s: f64,
}

impl EngineConfig {
    /// Finds a model.
    pub fn model(&self, name: &str) -> Option<&ModelConfig> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// A service behind routes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    pub name: SmolStr,
    /// Connections that one backend server accepts from all daemons together; 0 if it is not stated.
    pub max_connections: u32,
    /// Requests per second that one cold backend server bears; 0 if it has no bound.
    pub cold_rate: f64,
    /// `None` for a plain service.
    pub engine: Option<EngineConfig>,
}

impl ServiceConfig {
    /// Returns how many idle connections to one backend server each of `daemons` daemons may keep. Half of the
    /// connections that the server accepts stay free for requests, because it resets connections beyond its limit,
    /// including those with a request on them.
    pub fn max_idle_connections(&self, daemons: u32) -> usize {
        match self.max_connections {
            0 => usize::MAX,
            max => (max / 2 / daemons.max(1)) as usize,
        }
    }
}

/// A team with its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamConfig {
    /// A rate of 0 means that the team is not limited.
    pub spec: TeamSpec,
    /// Overrides the priority of the route if it is declared.
    pub priority: Option<u32>,
    /// Tokens charged for a call that does not state its number of tokens.
    pub default_tokens: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingConfig {
    /// Increases with each change, not necessarily by 1.
    pub version: u64,
    routes: HashMap<SmolStr, Vec<Arc<RouteConfig>>>,
    services: HashMap<SmolStr, ServiceConfig>,
    /// Streaming route with the smallest target of each service that has any.
    urgent: HashMap<SmolStr, RouteTerms>,
    teams: Vec<Arc<TeamConfig>>,
    keys: HashMap<KeyDigest, usize>,
}

impl ServingConfig {
    /// Builds the look-up tables; each team comes with the digests of its keys.
    pub fn new(
        version: u64,
        routes: Vec<RouteConfig>,
        services: Vec<ServiceConfig>,
        teams: Vec<(TeamConfig, Vec<KeyDigest>)>,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<Arc<RouteConfig>>> = HashMap::new();
        let urgent = urgent_terms(&routes);
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut config = Self {
            version,
            routes: by_host,
            urgent,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
            ..Self::default()
        };
        for (team, keys) in teams {
            let index = config.teams.len();
            config.keys.extend(keys.into_iter().map(|key| (key, index)));
            config.teams.push(Arc::new(team));
        }
        config
    }

    /// Finds the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteConfig>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteConfig>> {
        self.routes.values().flatten()
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Returns whether requests of `route` wait behind others of a service while its servers are scarce.
    pub fn is_deferrable(&self, route: &RouteConfig, service: &str) -> bool {
        let urgent = self.urgent.get(service);
        urgent.is_some_and(|urgent| route.terms().is_deferrable(*urgent))
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values()
    }

    /// Returns the teams.
    pub fn teams(&self) -> &[Arc<TeamConfig>] {
        &self.teams
    }

    /// Finds the team that holds a key.
    pub fn team_of_key(&self, secret: &str) -> Option<&Arc<TeamConfig>> {
        let index = self.keys.get(&KeyDigest::of(secret.as_bytes()))?;
        self.teams.get(*index)
    }
}

/// Returns the streaming route with the smallest target of each service; of equal ones, that of the highest priority.
fn urgent_terms(routes: &[RouteConfig]) -> HashMap<SmolStr, RouteTerms> {
    let mut urgent: HashMap<SmolStr, RouteTerms> = HashMap::new();
    let streaming = routes
        .iter()
        .filter(|route| route.kind == CallKind::Streaming && !route.target_latency.is_zero());
    for route in streaming {
        let terms = route.terms();
        for (service, _) in &route.services {
            let known = urgent.entry(service.clone()).or_insert(terms);
            if (terms.target, terms.priority) < (known.target, known.priority) {
                *known = terms;
            }
        }
    }
    urgent
}
