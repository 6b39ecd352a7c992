//! Demand that the daemons report to a planner.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::dispatch::ModelDemand;
use crate::placement::DemandFacts;

/// Time constant of the running means of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(20);
/// Age above which a daemon's number of waiting requests no longer counts.
const WAITING_LIFE: Duration = Duration::from_secs(5);

/// A model, or an adapter of it.
type DemandKey = (SmolStr, Option<SmolStr>);

/// Sums that decay with [`DEMAND_WINDOW`], and the latest number of waiting requests of each reporter.
#[derive(Debug)]
struct DemandEntry {
    updated_at: Instant,
    arrivals: f64,
    tokens: f64,
    misses: f64,
    waiting: HashMap<SocketAddr, (Instant, u32)>,
}

/// Demand by model and adapter, as reported by all daemons.
#[derive(Debug, Default)]
pub struct DemandBoard {
    entries: Mutex<HashMap<DemandKey, DemandEntry>>,
}

impl DemandBoard {
    /// Creates a board without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the counts of the daemon whose peer address is `reporter`.
    pub fn note(&self, reporter: SocketAddr, demands: &[ModelDemand], now: Instant) {
        let mut entries = self.entries();
        for demand in demands {
            let key = (demand.model.clone(), demand.adapter.clone());
            let entry = entries.entry(key).or_insert_with(|| DemandEntry::new(now));
            entry.decay(now);
            entry.arrivals += f64::from(demand.arrivals);
            entry.tokens += demand.tokens as f64;
            entry.misses += f64::from(demand.misses);
            entry.waiting.insert(reporter, (now, demand.waiting));
        }
    }

    /// Returns the demand for a model without an adapter, or for one of its adapters.
    pub fn facts(&self, model: &SmolStr, adapter: Option<&SmolStr>, now: Instant) -> DemandFacts {
        let mut entries = self.entries();
        let Some(entry) = entries.get_mut(&(model.clone(), adapter.cloned())) else {
            return DemandFacts::default();
        };
        entry.decay(now);
        let window = DEMAND_WINDOW.as_secs_f64();
        DemandFacts {
            arrivals_per_s: entry.arrivals / window,
            tokens_per_s: entry.tokens / window,
            waiting: entry.waiting.values().map(|(_, count)| *count).sum(),
            misses_per_s: entry.misses / window,
        }
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<DemandKey, DemandEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DemandEntry {
    fn new(now: Instant) -> Self {
        Self {
            updated_at: now,
            arrivals: 0.0,
            tokens: 0.0,
            misses: 0.0,
            waiting: HashMap::new(),
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        let factor = (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.arrivals *= factor;
        self.tokens *= factor;
        self.misses *= factor;
        self.updated_at = now;
        self.waiting
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < WAITING_LIFE);
    }
}
