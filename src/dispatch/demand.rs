//! Counts of demand per model, which the planner uses.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Demand for one model, or one of its adapters, since the counts were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    pub model: SmolStr,
    pub adapter: Option<SmolStr>,
    /// Requests that arrived.
    pub arrivals: u32,
    /// Sum of the maximum numbers of tokens that they asked for.
    pub tokens: u64,
    /// Requests that no backend server could take in time.
    pub misses: u32,
    /// Requests that were waiting when the counts were taken.
    pub waiting: u32,
}

type DemandKey = (SmolStr, Option<SmolStr>);

/// Accumulates demand until it is taken.
#[derive(Debug, Default)]
pub struct DemandMeter {
    counts: Mutex<BTreeMap<DemandKey, ModelDemand>>,
    /// Models of which requests waited when the counts were last taken.
    waited: Mutex<BTreeSet<SmolStr>>,
}

impl DemandMeter {
    /// Creates a meter with no demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request for a model and, if it names one, an adapter.
    pub fn arrived(&self, model: &SmolStr, adapter: Option<&SmolStr>, tokens: u64) {
        self.change(model, adapter, |demand| {
            demand.arrivals += 1;
            demand.tokens += tokens;
        });
    }

    /// Counts a request that no backend server could take in time.
    pub fn missed(&self, model: &SmolStr) {
        self.change(model, None, |demand| demand.misses += 1);
    }

    /// Takes and resets the counts. `waiting` is the number of requests that wait now, by model. A model of which no
    /// request waits any more is contained as well.
    pub fn take(&self, waiting: &[(SmolStr, u32)]) -> Vec<ModelDemand> {
        let now_waiting = waiting.iter().map(|(model, _)| model.clone()).collect();
        let mut waited = self.waited.lock().unwrap_or_else(PoisonError::into_inner);
        for model in std::mem::replace(&mut *waited, now_waiting) {
            self.change(&model, None, |_| {});
        }
        drop(waited);
        for (model, count) in waiting {
            self.change(model, None, |demand| demand.waiting = *count);
        }
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *counts).into_values().collect()
    }

    fn change(
        &self,
        model: &SmolStr,
        adapter: Option<&SmolStr>,
        change: impl FnOnce(&mut ModelDemand),
    ) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let demand = counts
            .entry((model.clone(), adapter.cloned()))
            .or_insert_with(|| ModelDemand {
                model: model.clone(),
                adapter: adapter.cloned(),
                ..ModelDemand::default()
            });
        change(demand);
    }
}
