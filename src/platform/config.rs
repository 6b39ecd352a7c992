//! Decoding of the operators' configuration.

use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::catalog::TeamSpec;
use crate::error::{Error, Result};
use crate::ids::KeyDigest;
use crate::relay::{
    CallKind, EngineConfig, ModelConfig, RouteConfig, ServiceConfig, ServingConfig, TeamConfig,
};

/// Longest time in a configuration. Multiples of it can be added to the monotonic clock.
const MAX_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Largest amount in a configuration, which whole numbers and fractions represent alike.
const MAX_AMOUNT: u64 = 1 << 50;
/// Largest weight of a service of a route.
const MAX_WEIGHT: u32 = 1 << 20;

#[derive(Deserialize)]
struct ConfigRecord {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteRecord>,
    #[serde(default)]
    services: Vec<ServiceRecord>,
    #[serde(default)]
    tenants: Vec<TenantRecord>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteRecord {
    name: SmolStr,
    host: SmolStr,
    path_prefix: SmolStr,
    kind: KindRecord,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    gap_aim_ms: f64,
    #[serde(default = "default_attempts")]
    max_attempts: usize,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    /// Set if all requests go to one service.
    service: Option<SmolStr>,
    /// Set if requests are split between services.
    #[serde(default)]
    backends: Vec<SplitRecord>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindRecord {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Deserialize)]
struct SplitRecord {
    service: SmolStr,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServiceRecord {
    name: SmolStr,
    /// Connections that one server accepts from all callers together.
    #[serde(default)]
    max_conns: u32,
    /// Requests per second that a cold server bears; 0 for no bound.
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<EngineRecord>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EngineRecord {
    #[serde(default)]
    slots: u32,
    /// Tokens of prompts and answers that an engine keeps in memory.
    #[serde(default)]
    kv_capacity: u64,
    /// Memory of the whole engine for weights and adapters, in MB, despite the field's name.
    #[serde(default)]
    weights_mb: f64,
    #[serde(default)]
    adapter_slots: u32,
    #[serde(default)]
    loads_per_s: f64,
    #[serde(default)]
    models: Vec<ModelRecord>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ModelRecord {
    name: SmolStr,
    /// Size of this model's weights, in MB.
    weights_mb: f64,
    load_time_s: f64,
    #[serde(default)]
    adapters: u32,
    #[serde(default)]
    adapter_mb: f64,
    /// Load time if the weights are in host memory; default `load_time_s`.
    warm_s: Option<f64>,
    /// Load time if the weights are on the server's disk; default `load_time_s`.
    disk_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TenantRecord {
    name: SmolStr,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
    #[serde(default)]
    plain_tokens: u64,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

fn default_attempts() -> usize {
    1
}

/// Decodes the record of the configuration.
///
/// # Errors
///
/// `Invalid` with line and column if the record is not a valid configuration.
pub fn decode_config(record: &[u8]) -> Result<ServingConfig> {
    let config: ConfigRecord = serde_json::from_slice(record).map_err(|error| {
        Error::invalid(format!(
            "the record of the configuration is malformed: {error}"
        ))
    })?;
    Ok(ServingConfig::new(
        config.version,
        config.routes.into_iter().map(RouteConfig::from).collect(),
        config
            .services
            .into_iter()
            .map(ServiceConfig::from)
            .collect(),
        config.tenants.into_iter().map(team).collect(),
    ))
}

impl From<RouteRecord> for RouteConfig {
    fn from(record: RouteRecord) -> Self {
        let split = record.backends.into_iter();
        let mut services: Vec<_> = split
            .map(|part| (part.service, part.weight.min(MAX_WEIGHT)))
            .collect();
        if services.is_empty() {
            services.extend(record.service.map(|service| (service, 1)));
        }
        Self {
            name: record.name,
            host: record.host,
            prefix: record.path_prefix,
            kind: record.kind.into(),
            resumable: record.resumable,
            timeout: millis(record.timeout_ms),
            target_latency: millis(record.target_latency_ms),
            max_pause: millis(record.gap_aim_ms),
            max_attempts: record.max_attempts.max(1),
            priority: record.priority,
            public: record.public,
            services,
        }
    }
}

impl From<KindRecord> for CallKind {
    fn from(kind: KindRecord) -> Self {
        match kind {
            KindRecord::Idempotent => Self::Idempotent,
            KindRecord::NonIdempotent => Self::NonIdempotent,
            KindRecord::Streaming => Self::Streaming,
        }
    }
}

impl From<ServiceRecord> for ServiceConfig {
    fn from(record: ServiceRecord) -> Self {
        Self {
            name: record.name,
            max_connections: record.max_conns,
            cold_rate: amount(record.cold_per_s),
            engine: record.engine.map(EngineConfig::from),
        }
    }
}

impl From<EngineRecord> for EngineConfig {
    fn from(record: EngineRecord) -> Self {
        Self {
            models: record.models.into_iter().map(ModelConfig::from).collect(),
            slots: record.slots,
            cache_tokens: record.kv_capacity.min(MAX_AMOUNT),
            memory_mb: amount(record.weights_mb),
            adapter_slots: record.adapter_slots,
            loads_per_s: amount(record.loads_per_s),
        }
    }
}

impl From<ModelRecord> for ModelConfig {
    fn from(record: ModelRecord) -> Self {
        let store_load = seconds(record.load_time_s);
        Self {
            name: record.name,
            memory_mb: amount(record.weights_mb),
            store_load,
            disk_load: record.disk_s.map_or(store_load, seconds),
            host_load: record.warm_s.map_or(store_load, seconds),
            adapters: record.adapters,
            adapter_mb: amount(record.adapter_mb),
        }
    }
}

fn team(record: TenantRecord) -> (TeamConfig, Vec<KeyDigest>) {
    let keys = record.api_keys.iter();
    let keys = keys.map(|key| KeyDigest::of(key.as_bytes())).collect();
    let team = TeamConfig {
        spec: TeamSpec {
            name: record.name,
            rate: tokens(record.rate_per_s),
            burst: tokens(record.burst),
        },
        priority: record.priority,
        default_tokens: record.plain_tokens.min(MAX_AMOUNT),
    };
    (team, keys)
}

fn millis(value: f64) -> Duration {
    seconds(value / 1_000.0)
}

/// Converts seconds. A negative value gives zero, one above [`MAX_TIME`] is reduced to it.
fn seconds(value: f64) -> Duration {
    let value = value.clamp(0.0, MAX_TIME.as_secs_f64());
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

/// Converts an amount of something that is counted or measured, which is at most [`MAX_AMOUNT`]. A negative one gives 0.
fn amount(value: f64) -> f64 {
    value.clamp(0.0, MAX_AMOUNT as f64)
}

/// Converts a rate or burst in whole tokens. A rate below 1 must not become 0, which stands for no limit.
fn tokens(value: f64) -> u64 {
    amount(value).ceil() as u64
}
