//! Scenarios: the components of a fleet and the demand of its callers.

use std::time::Duration;

use foxtailhill::catalog::{AdapterSpec, ModelSpec, RequestClass, RouteSpec, TeamSpec};
use foxtailhill::ids::KeyDigest;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::cluster::{EngineSpec, ServiceSpec};
use crate::engine::EngineOptions;
use crate::service::ServiceOptions;
use crate::weight_store::WeightStoreOptions;

/// A model with its adapters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioModel {
    pub spec: ModelSpec,
    pub adapters: Vec<AdapterSpec>,
}

/// A VM that runs an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioEngine {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub memory_bytes: u64,
    pub accelerators: u32,
    pub slots: u32,
    pub checks_fencing: bool,
    /// Time of a step with an empty batch, in microseconds.
    pub base_step_us: u64,
}

/// A VM that runs a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioService {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub group: SmolStr,
    pub slots: u32,
    /// Duration of a call.
    pub delay: Duration,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreLimits {
    pub loads_per_s: f64,
    pub loads_in_flight: u32,
    pub adapters_in_flight: u32,
}

/// Target of the calls of a demand stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DemandTarget {
    Model {
        model: SmolStr,
        adapter: Option<SmolStr>,
    },
    /// A plain service; each call has a unique idempotency key.
    Service { path: SmolStr },
}

/// Periodic bursts of a stream: at the start of each `period`, the rate is multiplied by `factor` for `length`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurstShape {
    pub period: Duration,
    pub length: Duration,
    pub factor: f64,
}

/// Calls of one team to one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandStream {
    pub team: SmolStr,
    pub target: DemandTarget,
    pub class: RequestClass,
    /// Calls per second outside bursts, before moves and factors.
    pub rate: f64,
    /// Bounds of the size of a prompt, in bytes.
    pub prompt_bytes: (usize, usize),
    /// Bounds of the length of an answer, in tokens.
    pub tokens: (u32, u32),
    /// Time after which the caller no longer needs the answer.
    pub deadline: Option<Duration>,
    pub burst: Option<BurstShape>,
}

/// A change of the demand for a model that lasts until the model's next one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandMove {
    /// Time from the start of the load, as a fraction of its length.
    pub at: f64,
    pub model: SmolStr,
    /// Factor on the rates of the model's interactive streams; it replaces that of an earlier move.
    pub factor: f64,
}

/// A fleet and its demand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    pub name: SmolStr,
    pub zones: Vec<SmolStr>,
    pub models: Vec<ScenarioModel>,
    pub teams: Vec<TeamSpec>,
    pub routes: Vec<RouteSpec>,
    pub engines: Vec<ScenarioEngine>,
    pub services: Vec<ScenarioService>,
    pub store: StoreLimits,
    pub streams: Vec<DemandStream>,
    pub moves: Vec<DemandMove>,
}

impl Scenario {
    /// Returns the key that the driver uses for a team.
    pub fn key_of(team: &str) -> String {
        format!("load-key-of-{team}")
    }

    /// Returns the declaration file for the fleet, without its backend servers.
    pub fn declaration(&self) -> Value {
        let models: Vec<_> = self.models.iter().map(|model| &model.spec).collect();
        let versions: Vec<_> = models.iter().map(|spec| declare_version(spec)).collect();
        let adapters = self.models.iter().flat_map(|model| &model.adapters);
        let adapters: Vec<_> = adapters.collect();
        let keys: Vec<_> = self
            .teams
            .iter()
            .map(|team| declare_key(&team.name))
            .collect();
        json!({
            "policy": {
                "loads_per_s_milli": (self.store.loads_per_s * 1000.0) as u32,
                "loads_in_flight": self.store.loads_in_flight,
                "adapters_in_flight": self.store.adapters_in_flight,
            },
            "teams": self.teams,
            "models": models,
            "versions": versions,
            "adapters": adapters,
            "keys": keys,
            "routes": self.routes,
        })
    }

    /// Returns the engines for a test cluster, with all times multiplied by `time_scale`.
    pub fn engine_specs(&self, time_scale: f64) -> Vec<EngineSpec> {
        let engines = self.engines.iter().map(|engine| EngineSpec {
            name: engine.name.clone(),
            zone: engine.zone.clone(),
            accelerators: engine.accelerators,
            options: EngineOptions {
                memory_bytes: engine.memory_bytes,
                slots: engine.slots as usize,
                base_step: Duration::from_micros(engine.base_step_us),
                checks_fencing: engine.checks_fencing,
                keep_received: false,
                time_scale,
                ..EngineOptions::default()
            },
        });
        engines.collect()
    }

    /// Returns the plain services for a test cluster.
    pub fn service_specs(&self) -> Vec<ServiceSpec> {
        let services = self.services.iter().map(|service| ServiceSpec {
            name: service.name.clone(),
            zone: service.zone.clone(),
            group: service.group.clone(),
            slots: service.slots,
            options: ServiceOptions {
                delay: service.delay,
                keep_received: false,
                ..ServiceOptions::default()
            },
        });
        services.collect()
    }

    /// Returns the weight store for a test cluster, with all times multiplied by `time_scale`.
    pub fn store_options(&self, time_scale: f64) -> WeightStoreOptions {
        WeightStoreOptions {
            loads_per_s: self.store.loads_per_s,
            full_speed_loads: self.store.loads_in_flight,
            full_speed_adapters: self.store.adapters_in_flight,
            time_scale,
            ..WeightStoreOptions::default()
        }
    }

    /// Returns a model by name.
    pub fn model(&self, name: &str) -> Option<&ScenarioModel> {
        self.models.iter().find(|model| model.spec.name == name)
    }
}

fn declare_version(spec: &ModelSpec) -> Value {
    json!({
        "model": spec.name,
        "version": spec.version,
        "memory_bytes": spec.memory_bytes,
    })
}

fn declare_key(team: &SmolStr) -> Value {
    json!({
        "name": format!("load-{team}"),
        "team": team,
        "digest": KeyDigest::of(Scenario::key_of(team).as_bytes()).to_string(),
    })
}
