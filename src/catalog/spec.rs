//! Entities that operators declare.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::KeyDigest;

/// How a request is scheduled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// A user waits for the answer.
    #[default]
    Interactive,
    /// Batch work that must be done by a deadline.
    Overnight,
}

/// A model that engines can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    pub name: SmolStr,
    /// Accelerator memory of one replica, in bytes, for versions that declare none.
    pub memory_bytes: u64,
    /// Minimum number of replicas that the planner keeps; at least 1.
    pub min_replicas: u32,
    /// Version that new replicas load.
    pub version: SmolStr,
    /// Target time to first token, in milliseconds.
    pub first_token_ms: u32,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
}

/// A version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    pub model: SmolStr,
    pub version: SmolStr,
    /// Accelerator memory of one replica, in bytes.
    pub memory_bytes: u64,
}

/// An adapter on top of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    pub name: SmolStr,
    pub model: SmolStr,
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
}

/// A team and its token budget across the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    pub name: SmolStr,
    /// Tokens per second.
    pub rate: u64,
    /// Tokens.
    pub burst: u64,
}

/// A caller's key. Only its digest is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// Name by which operators withdraw the key.
    pub name: SmolStr,
    pub team: SmolStr,
    pub digest: KeyDigest,
}

/// An operator and the digest of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSpec {
    pub name: SmolStr,
    pub digest: KeyDigest,
}

/// Destination of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// A model call on this model.
    Model(SmolStr),
    /// Plain services of this group.
    Service(SmolStr),
}

/// A path prefix that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    pub name: SmolStr,
    /// Path prefix such as `/bookings`; the longest matching prefix wins.
    pub prefix: SmolStr,
    pub target: RouteTarget,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a call may be sent to a backend server more than once.
    #[serde(default)]
    pub repeatable: bool,
    #[serde(default)]
    pub class: RequestClass,
    /// Teams that may use the route; empty means all.
    #[serde(default)]
    pub teams: Vec<SmolStr>,
    /// Tokens charged per call to a plain service.
    #[serde(default)]
    pub cost: u64,
}

/// What runs on a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum BackendKind {
    /// A model engine.
    Engine {
        /// Accelerator memory, in bytes.
        memory_bytes: u64,
        /// Accelerators in this server.
        accelerators: u32,
        /// Requests that the engine batches at once.
        slots: u32,
        /// Whether the engine refuses an order with an old fencing number.
        checks_fencing: bool,
    },
    /// A plain service of a group.
    Service { group: SmolStr, slots: u32 },
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub address: SocketAddr,
    pub kind: BackendKind,
}

/// Fleet-wide settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPolicy {
    /// How long an isolated daemon continues to serve routes that need a key.
    pub key_grace: Duration,
    /// How long a request stays in quarantine after a second backend server died while running it.
    pub quarantine: Duration,
    /// Longest time after which an unanswered order can still reach an engine.
    pub order_delay: Duration,
    /// Weight-store loads per second, in thousandths.
    pub loads_per_s_milli: u32,
    /// Concurrent loads up to which the weight store runs at full speed.
    pub loads_in_flight: u32,
    /// Concurrent adapter loads up to which they run at full speed.
    pub adapters_in_flight: u32,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        Self {
            key_grace: Duration::from_secs(5),
            quarantine: Duration::from_secs(600),
            order_delay: Duration::from_secs(60),
            loads_per_s_milli: 1_500,
            loads_in_flight: 7,
            adapters_in_flight: 55,
        }
    }
}
