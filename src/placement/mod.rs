//! Which models and adapters sit on which backend server.
//!
//! [`PlacementPolicy`] is pure: it proposes orders from the catalog's facts, the demand and the memory ledgers.
//! [`OrderService`] runs it where this daemon is the planner of its zone, and carries the orders out.
//!
//! Every planner plans the whole fleet and orders only the servers of its own zone. Planners with the same
//! facts reach the same plan, so a missing replica is loaded once and not once per zone.

mod demand;
mod draft;
mod greedy;
mod lru;
mod order;
mod round;
mod service;
mod tracker;
mod utility;

use std::net::SocketAddr;
use std::time::Instant;

use serde::Serialize;
use smol_str::SmolStr;

pub use self::demand::{DemandSummary, DemandTracker};
pub use self::greedy::{GreedyPolicy, GreedySettings};
pub use self::lru::LruPolicy;
pub use self::order::{OrderEffect, OrderRecord, OrderTable, PlannedOrder};
pub use self::service::{
    FleetView, OrderDump, OrderService, OrderSettings, PlannerFence, PlannerRole, ServerDump,
};
pub use self::tracker::{OrderTracker, ReadBack, SendRefusal};
use crate::catalog::FleetPolicy;
use crate::engine::OrderAction;
use crate::ledger::MemoryLedger;

/// Recent demand for a model or adapter, over the window that the reporter chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DemandFacts {
    /// Requests that arrived per second.
    pub arrivals_per_s: f64,
    /// Tokens generated per second.
    pub tokens_per_s: f64,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests per second that missed the target for the first token.
    pub misses_per_s: f64,
}

impl DemandFacts {
    /// Adds up the demand for two items.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            arrivals_per_s: self.arrivals_per_s + other.arrivals_per_s,
            tokens_per_s: self.tokens_per_s + other.tokens_per_s,
            waiting: self.waiting + other.waiting,
            misses_per_s: self.misses_per_s + other.misses_per_s,
        }
    }
}

/// A model as the planner sees it.
#[derive(Clone, Debug)]
pub struct ModelFacts {
    pub name: SmolStr,
    /// Version that new replicas load.
    pub version: SmolStr,
    /// Accelerator memory of one replica of that version, in bytes.
    pub memory_bytes: u64,
    pub min_replicas: u32,
    pub demand: DemandFacts,
}

/// An adapter as the planner sees it.
#[derive(Clone, Debug)]
pub struct AdapterFacts {
    pub name: SmolStr,
    pub model: SmolStr,
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
    pub demand: DemandFacts,
}

/// A backend server that runs an engine.
#[derive(Clone, Debug)]
pub struct ServerFacts {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub address: SocketAddr,
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// Requests that the engine batches at once.
    pub slots: u32,
    pub checks_fencing: bool,
    /// Whether any source says that the server is leaving.
    pub leaving: bool,
    /// Whether calls and load reports succeed.
    pub reachable: bool,
}

/// Everything that a planning round starts from, apart from the ledgers.
#[derive(Clone, Debug, Default)]
pub struct FleetFacts {
    pub models: Vec<ModelFacts>,
    pub adapters: Vec<AdapterFacts>,
    pub servers: Vec<ServerFacts>,
    pub policy: FleetPolicy,
    /// Zones that have a planner; the weight-store budget is divided by it.
    pub zones: u32,
}

/// Loads that may be ordered now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadBudget {
    /// Loads of model weights.
    pub models: u32,
    /// Loads of adapters.
    pub adapters: u32,
}

/// Input of a planning round.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    pub facts: &'a FleetFacts,
    /// Ledger of each server, in the order of `facts.servers`.
    pub ledgers: &'a [&'a MemoryLedger],
    /// Zone whose servers may be ordered.
    pub zone: &'a SmolStr,
    pub budget: LoadBudget,
    pub now: Instant,
}

/// Why an order is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReason {
    /// The model has no replica.
    Unreachable,
    /// The model has fewer than its minimum of replicas.
    Minimum,
    /// All replicas of the model are in one zone.
    SecondZone,
    /// The model's version changed.
    Version,
    /// More requests meet their target.
    Demand,
    /// The item makes room for a load with a better reason.
    MakeRoom,
    /// Requests wait for the adapter.
    Adapter,
    /// The item is not declared any more.
    Retired,
}

/// An order that a policy proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposedOrder {
    /// Index of the server in `facts.servers`.
    pub server: usize,
    pub action: OrderAction,
    pub reason: OrderReason,
}

/// Decides which orders to give.
pub trait PlacementPolicy: Send + 'static {
    /// Proposes orders for the servers of `input.zone`, the most important first.
    fn plan(&mut self, input: &PlacementInput<'_>) -> Vec<ProposedOrder>;

    /// Returns whether the policy never unloads the last safe replica of a model. The order service then
    /// refuses such an unload.
    fn keeps_last_replica(&self) -> bool {
        true
    }
}
