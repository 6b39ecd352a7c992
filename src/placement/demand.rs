//! Demand that the daemons report to a planner.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::dispatch::ModelDemand;
use crate::placement::DemandFacts;

/// Time constant of the running means of demand, unless a tracker has its own.
const DEMAND_WINDOW: Duration = Duration::from_secs(20);
/// Age above which a daemon's number of waiting requests no longer counts.
const WAITING_MAX_AGE: Duration = Duration::from_secs(5);

/// A model, or an adapter of it.
type DemandKey = (SmolStr, Option<SmolStr>);

/// Sums that decay with the window, and the latest number of waiting requests of each reporter.
#[derive(Debug)]
struct DemandEntry {
    updated_at: Instant,
    arrivals: f64,
    tokens: f64,
    misses: f64,
    waiting: HashMap<SocketAddr, (Instant, u32)>,
}

/// Demand for a model and all its adapters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandSummary {
    pub total: DemandFacts,
    /// Adapters in demand.
    pub adapters: usize,
}

/// Demand by model and adapter, as reported by all daemons.
#[derive(Debug)]
pub struct DemandTracker {
    window: Duration,
    entries: Mutex<HashMap<DemandKey, DemandEntry>>,
}

impl Default for DemandTracker {
    fn default() -> Self {
        Self::with_window(DEMAND_WINDOW)
    }
}

impl DemandTracker {
    /// Creates a tracker without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a tracker whose running means have the time constant `window`.
    pub fn with_window(window: Duration) -> Self {
        Self {
            window,
            entries: Mutex::default(),
        }
    }

    /// Takes in the counts of the daemon whose peer address is `reporter`.
    pub fn record(&self, reporter: SocketAddr, demands: &[ModelDemand], now: Instant) {
        let mut entries = self.entries();
        for demand in demands {
            let key = (demand.model.clone(), demand.adapter.clone());
            let entry = entries.entry(key).or_insert_with(|| DemandEntry::new(now));
            entry.decay(self.window, now);
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
        entry.facts(self.window, now)
    }

    /// Returns the demand for a model, that for its adapters included.
    pub fn model_facts(&self, model: &SmolStr, now: Instant) -> DemandFacts {
        let mut entries = self.entries();
        let parts = entries.iter_mut().filter(|((name, _), _)| name == model);
        parts.fold(DemandFacts::default(), |total, (_, entry)| {
            total.plus(entry.facts(self.window, now))
        })
    }

    /// Returns the demand for every model in one pass, with the number of its adapters that get at least `adapter_rate`
    /// requests per second.
    pub fn summaries(&self, adapter_rate: f64, now: Instant) -> HashMap<SmolStr, DemandSummary> {
        let mut summaries: HashMap<SmolStr, DemandSummary> = HashMap::new();
        for ((model, adapter), entry) in self.entries().iter_mut() {
            let part = entry.facts(self.window, now);
            let summary = summaries.entry(model.clone()).or_default();
            summary.total = summary.total.plus(part);
            let wanted = adapter.is_some() && part.arrivals_per_s >= adapter_rate;
            summary.adapters += usize::from(wanted);
        }
        summaries
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

    fn facts(&mut self, window: Duration, now: Instant) -> DemandFacts {
        self.decay(window, now);
        let seconds = window.as_secs_f64();
        DemandFacts {
            arrivals_per_s: self.arrivals / seconds,
            tokens_per_s: self.tokens / seconds,
            waiting: self.waiting.values().map(|(_, count)| *count).sum(),
            misses_per_s: self.misses / seconds,
        }
    }

    fn decay(&mut self, window: Duration, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        let factor = (-age.as_secs_f64() / window.as_secs_f64()).exp();
        self.arrivals *= factor;
        self.tokens *= factor;
        self.misses *= factor;
        self.updated_at = now;
        self.waiting
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < WAITING_MAX_AGE);
    }
}
