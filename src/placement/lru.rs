//! Baseline for comparisons: loads models on demand and evicts the least recently used one.

use std::collections::HashMap;
use std::time::Instant;

use smol_str::SmolStr;

use crate::placement::draft::{Draft, ReplicaStatus};
use crate::placement::{DemandFacts, OrderReason, PlacementInput, PlacementPolicy, ProposedOrder};

/// Loads a model when a request for it arrives or waits, and evicts the least recently used replica to free memory.
///
/// It is the baseline that other policies are compared with. With `keep_last` it never removes the last safe replica of
/// a model.
#[derive(Debug, Default)]
pub struct LruPolicy {
    keep_last: bool,
    used_at: HashMap<SmolStr, Instant>,
}

impl LruPolicy {
    /// Creates the policy.
    pub fn new(keep_last: bool) -> Self {
        Self {
            keep_last,
            used_at: HashMap::new(),
        }
    }

    fn note_use(&mut self, input: &PlacementInput<'_>) {
        for model in &input.facts.models {
            if is_used(&model.demand) || !self.used_at.contains_key(&model.name) {
                self.used_at.insert(model.name.clone(), input.now);
            }
        }
    }

    /// Evicts the least recently used replica of the zone's servers whose removal frees enough memory for `wanted`.
    fn evict(&self, draft: &mut Draft<'_>, wanted: usize) {
        let bytes = draft.facts(wanted).memory_bytes;
        if draft.reserve_pending_unload(wanted) {
            return;
        }
        let mut victims: Vec<(Instant, usize, usize)> = Vec::new();
        for model in 0..draft.replicas.len() {
            let protected = self.keep_last && draft.safe_count(model) < 2;
            if model == wanted || protected || draft.is_unloading(model) {
                continue;
            }
            let Some(used_at) = self.used_at.get(&draft.facts(model).name) else {
                continue;
            };
            for (position, replica) in draft.replicas[model].iter().enumerate() {
                let server = &draft.servers[replica.server];
                let fits = server.free.saturating_add(replica.bytes) >= bytes;
                if replica.status == ReplicaStatus::Safe && server.in_own_zone && fits {
                    victims.push((*used_at, model, position));
                }
            }
        }
        if let Some((_, model, position)) = victims.into_iter().min() {
            let server = draft.replicas[model][position].server;
            draft.unload(model, position, OrderReason::MakeRoom);
            draft.reserve(server, bytes);
        }
    }
}

impl PlacementPolicy for LruPolicy {
    fn plan(&mut self, input: &PlacementInput<'_>) -> Vec<ProposedOrder> {
        self.note_use(input);
        let mut draft = Draft::new(input);
        for model in 0..input.facts.models.len() {
            let wanted = is_used(&input.facts.models[model].demand);
            if !wanted || draft.present_count(model) > 0 {
                continue;
            }
            match draft.find_server(model, |_, _| true) {
                Some(server) => draft.load_model(model, server, OrderReason::Demand),
                None => self.evict(&mut draft, model),
            }
        }
        load_adapters(&mut draft);
        draft.into_orders()
    }

    fn keeps_last_replica(&self) -> bool {
        self.keep_last
    }
}

/// Loads adapters in demand on every server with a replica of their model and free memory. Without them the baseline
/// would answer no request for an adapter, and the comparison would be meaningless.
fn load_adapters(draft: &mut Draft<'_>) {
    for index in 0..draft.input.facts.adapters.len() {
        if is_used(&draft.input.facts.adapters[index].demand) {
            for (server, item) in draft.adapter_candidates(index) {
                let bytes = draft.input.facts.adapters[index].memory_bytes;
                draft.load_adapter(server, item, bytes);
            }
        }
    }
}

fn is_used(demand: &DemandFacts) -> bool {
    demand.waiting > 0 || demand.arrivals_per_s > 0.0
}
