//! Policy that decides which models are loaded on which engines. Performs no I/O.
//!
//! Demand moves between models within seconds, and an engine that held a model before loads it again quickly. So the
//! policy follows demand at once: a model with more running requests than its replicas can serve gets another replica,
//! in place of replicas that are not needed. The last replica of a model is never unloaded.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::relay::config::ModelConfig;
use crate::relay::engines::{LoadItem, ReplicaOrder};

/// Share of an engine's slots that the requests for one model should fill, in percent. Its other models need slots too,
/// and demand is not spread evenly.
const TARGET_FILL_PERCENT: f64 = 35.0;
/// Requests per second from which a model gets a second replica where memory is free.
const MIN_SECOND_REPLICA_RATE: f64 = 0.3;
/// Time for which the memory that an unload frees for a model stays reserved for it.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Shortest time that a replica stays after its load is ordered; a shorter stay is not worth the load.
const MIN_RESIDENCE: Duration = Duration::from_secs(4);
/// Largest number of orders per round.
const MAX_MOVES: usize = 8;
/// Cost of the eviction of a replica when engines are compared, in seconds of load time.
const EVICTION_COST_S: f64 = 0.5;
/// Cost of an engine without a free slot, in seconds of load time.
const FULL_COST_S: f64 = 0.5;
/// Cost of another replica in the same zone, in seconds of load time.
const SAME_ZONE_COST_S: f64 = 0.3;

/// Input of the policy for one model.
#[derive(Clone, Debug)]
pub struct LayoutModel {
    pub config: ModelConfig,
    /// Requests that arrived per second.
    pub arrivals_per_s: f64,
    /// Concurrent requests, including waiting ones.
    pub concurrency: f64,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Number of adapters in demand.
    pub adapters: usize,
}

/// Input of the policy for one engine.
#[derive(Clone, Debug)]
pub struct LayoutEngine {
    pub id: SmolStr,
    pub zone: SmolStr,
    pub memory_mb: f64,
    /// Memory of everything that it holds or may still load, in MB.
    pub used_mb: f64,
    pub held: Vec<SmolStr>,
    /// Models that are being loaded by open orders.
    pub loading: Vec<SmolStr>,
    /// Whether it may get an order now.
    pub available: bool,
    pub in_host_memory: Vec<SmolStr>,
    pub on_disk: Vec<SmolStr>,
    /// Number of requests running on it.
    pub in_flight: u32,
    pub slots: u32,
    pub adapter_slots: u32,
}

/// An order that the policy proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayoutMove {
    /// Index of the engine.
    pub engine: usize,
    pub order: ReplicaOrder,
    /// Whether the load counts against the budget of the weight store.
    pub from_store: bool,
}

/// Proposes loads and unloads of replicas as demand changes.
#[derive(Debug, Default)]
pub struct LayoutPolicy {
    /// Engine on which memory is being freed for a model, and when the unload was proposed, by model. The model is
    /// loaded there once the unload is complete.
    memory_reservations: HashMap<SmolStr, (SmolStr, Instant)>,
    /// When the load of a replica was proposed, by engine and model; kept for [`MIN_RESIDENCE`].
    load_ordered_at: HashMap<(SmolStr, SmolStr), Instant>,
}

/// State of one round: engines and replicas as they will be after the moves so far.
struct LayoutRound<'a> {
    models: &'a [LayoutModel],
    engines: Vec<LayoutEngine>,
    /// Indices of the models that each engine holds.
    held_models: Vec<Vec<usize>>,
    /// Indices of the models that each engine holds or loads.
    present_models: Vec<Vec<usize>>,
    /// Number of replicas of each model, including those being loaded.
    replicas: Vec<usize>,
    needed_replicas: Vec<usize>,
    store_load_budget: usize,
    /// Engine and model of recently loaded replicas, which must stay.
    recently_loaded: HashSet<(SmolStr, SmolStr)>,
    moves: Vec<LayoutMove>,
}

impl LayoutPolicy {
    /// Proposes orders, the most important first, with at most `store_load_budget` loads from the weight store.
    pub fn plan(
        &mut self,
        engines: &[LayoutEngine],
        models: &[LayoutModel],
        store_load_budget: usize,
        now: Instant,
    ) -> Vec<LayoutMove> {
        self.memory_reservations.retain(|model, (engine, since)| {
            let engine = engines.iter().find(|other| other.id == *engine);
            let waits = engine.is_some_and(|engine| !engine.loading.contains(model));
            waits && *since + RESERVATION_TIMEOUT > now
        });
        self.load_ordered_at
            .retain(|_, at| *at + MIN_RESIDENCE > now);
        let mut round = LayoutRound::new(engines, models, store_load_budget);
        round.recently_loaded = self.load_ordered_at.keys().cloned().collect();
        self.apply_reservations(&mut round);
        for model in round.under_replicated() {
            while round.replicas[model] < round.needed_replicas[model]
                && round.moves.len() < MAX_MOVES
            {
                if !self.add_replica(&mut round, model, true, now) {
                    break;
                }
            }
        }
        for model in round.second_replica_candidates() {
            if round.moves.len() < MAX_MOVES {
                self.add_replica(&mut round, model, false, now);
            }
        }
        round.moves
    }

    /// Adds the reserved memory to the used memory of its engines.
    fn apply_reservations(&self, round: &mut LayoutRound<'_>) {
        for (model, (engine, _)) in &self.memory_reservations {
            let model = round
                .models
                .iter()
                .find(|other| other.config.name == *model);
            let engine = round.engines.iter_mut().find(|other| other.id == *engine);
            if let (Some(model), Some(engine)) = (model, engine) {
                engine.used_mb += model.config.memory_mb;
            }
        }
    }

    /// Orders the load of a replica of `model`, or the unload of another model to make room for it. Returns `false` if
    /// no engine is suitable.
    fn add_replica(
        &mut self,
        round: &mut LayoutRound<'_>,
        model: usize,
        may_evict: bool,
        now: Instant,
    ) -> bool {
        let config = &round.models[model].config;
        let (name, size) = (config.name.clone(), config.memory_mb);
        if let Some((engine, _)) = self.memory_reservations.get(&name) {
            let engine = engine.clone();
            let position = round.engines.iter().position(|other| other.id == engine);
            let Some(position) = position.filter(|position| round.engines[*position].available)
            else {
                // The unload is not complete yet; the replica counts as present meanwhile.
                round.replicas[model] += 1;
                return true;
            };
            self.memory_reservations.remove(&name);
            round.engines[position].used_mb -= size;
            // Another engine may be cheaper by now, but the replica unloaded here would then have been lost for
            // nothing.
            if round.fits(model, position) && round.may_load(model, position) {
                self.load_ordered_at.insert((engine, name), now);
                round.push_load(model, position);
                return true;
            }
        }
        let Some((engine, victim)) = round.best_engine(model, may_evict) else {
            return false;
        };
        match victim {
            None => {
                let id = round.engines[engine].id.clone();
                self.load_ordered_at.insert((id, name), now);
                round.push_load(model, engine);
            }
            Some(victim) => {
                round.push_unload(victim, engine);
                round.replicas[model] += 1;
                round.engines[engine].used_mb += size;
                let id = round.engines[engine].id.clone();
                self.memory_reservations.insert(name, (id, now));
            }
        }
        true
    }
}

impl<'a> LayoutRound<'a> {
    fn new(engines: &[LayoutEngine], models: &'a [LayoutModel], store_load_budget: usize) -> Self {
        let index: HashMap<&SmolStr, usize> = models
            .iter()
            .enumerate()
            .map(|(model, entry)| (&entry.config.name, model))
            .collect();
        let find = |names: &[SmolStr]| -> Vec<usize> {
            let known = names.iter().filter_map(|name| index.get(name).copied());
            known.collect()
        };
        let held_models: Vec<Vec<usize>> =
            engines.iter().map(|engine| find(&engine.held)).collect();
        let mut replicas = vec![0; models.len()];
        let mut present_models = held_models.clone();
        for (on, engine) in present_models.iter_mut().zip(engines) {
            on.extend(find(&engine.loading));
            on.sort_unstable();
            on.dedup();
            on.iter().for_each(|model| replicas[*model] += 1);
        }
        let slots = engines.iter().map(|engine| engine.slots).max().unwrap_or(1);
        let adapter_slots = engines
            .iter()
            .map(|engine| engine.adapter_slots as usize)
            .max();
        let adapter_slots = adapter_slots.unwrap_or(1).max(1);
        let requests_per_replica = (f64::from(slots) * TARGET_FILL_PERCENT / 100.0).max(1.0);
        Self {
            replicas,
            held_models,
            present_models,
            needed_replicas: models
                .iter()
                .map(|model| {
                    let by_requests = (model.concurrency / requests_per_replica).ceil() as usize;
                    // Engines have few adapter slots; too few replicas would load and unload adapters in turns.
                    let by_adapters = model.adapters.div_ceil(adapter_slots);
                    by_requests.max(by_adapters).clamp(1, engines.len())
                })
                .collect(),
            engines: engines.to_vec(),
            models,
            store_load_budget,
            recently_loaded: HashSet::new(),
            moves: Vec::new(),
        }
    }

    /// Returns the models with fewer replicas than needed: the one with the most requests per replica first. The
    /// 0.01 added to the replicas puts a model without any first unless it has almost no requests.
    fn under_replicated(&self) -> Vec<usize> {
        let mut under_replicated: Vec<usize> = (0..self.models.len())
            .filter(|model| self.replicas[*model] < self.needed_replicas[*model])
            .collect();
        let pressure = |model: usize| {
            let requests = self.models[model].concurrency + f64::from(self.models[model].waiting);
            requests / (self.replicas[model] as f64 + 0.01)
        };
        under_replicated.sort_by(|a, b| pressure(*b).total_cmp(&pressure(*a)));
        under_replicated
    }

    /// Returns the models with one replica and enough requests for a second one, the busiest first.
    fn second_replica_candidates(&self) -> Vec<usize> {
        let mut models: Vec<usize> = (0..self.models.len())
            .filter(|model| self.replicas[*model] == 1)
            .filter(|model| self.models[*model].arrivals_per_s >= MIN_SECOND_REPLICA_RATE)
            .collect();
        models.sort_by(|a, b| {
            let rate = |model: usize| self.models[model].arrivals_per_s;
            rate(*b).total_cmp(&rate(*a))
        });
        models
    }

    /// Returns the engine on which a replica costs least, and the model that must be evicted there first, if any.
    fn best_engine(&self, model: usize, may_evict: bool) -> Option<(usize, Option<usize>)> {
        let config = &self.models[model].config;
        let with_model = self.engines.iter().zip(&self.present_models);
        let with_model = with_model.filter(|(_, present)| present.contains(&model));
        let zones: HashSet<&SmolStr> = with_model.map(|(engine, _)| &engine.zone).collect();
        let mut best: Option<(f64, usize, Option<usize>)> = None;
        for (position, engine) in self.engines.iter().enumerate() {
            if !engine.available || self.present_models[position].contains(&model) {
                continue;
            }
            if !self.may_load(model, position) {
                continue;
            }
            let (mut cost, _) = load_time(engine, config);
            let victim = match self.fits(model, position) {
                true => None,
                false if !may_evict => continue,
                false => match self.eviction_victim(position, config.memory_mb) {
                    Some((victim, eviction_cost)) => {
                        cost += EVICTION_COST_S + eviction_cost;
                        Some(victim)
                    }
                    None => continue,
                },
            };
            if engine.in_flight >= engine.slots {
                cost += FULL_COST_S;
            }
            if zones.contains(&engine.zone) {
                cost += SAME_ZONE_COST_S;
            }
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, position, victim));
            }
        }
        best.map(|(_, engine, victim)| (engine, victim))
    }

    fn fits(&self, model: usize, engine: usize) -> bool {
        let engine = &self.engines[engine];
        engine.used_mb + self.models[model].config.memory_mb <= engine.memory_mb
    }

    fn may_load(&self, model: usize, engine: usize) -> bool {
        let (_, from_store) = load_time(&self.engines[engine], &self.models[model].config);
        !from_store || self.store_load_budget > 0
    }

    /// Returns the evictable model on the engine that is needed least, and the cost of its eviction: the concurrent
    /// requests per remaining replica. Returns `None` if evicting all evictable models would not free `size` MB.
    fn eviction_victim(&self, position: usize, size: f64) -> Option<(usize, f64)> {
        let engine = &self.engines[position];
        let held = self.held_models[position].iter().copied();
        let mut spare: Vec<(usize, f64)> = held
            .filter(|model| self.replicas[*model] > self.needed_replicas[*model])
            .filter(|model| {
                let replica = (engine.id.clone(), self.models[*model].config.name.clone());
                !self.recently_loaded.contains(&replica)
            })
            .map(|model| {
                let rest = (self.replicas[model] - 1) as f64;
                (model, self.models[model].concurrency / rest.max(1.0))
            })
            .collect();
        let room: f64 = spare
            .iter()
            .map(|(model, _)| self.models[*model].config.memory_mb)
            .sum();
        if engine.used_mb - room + size > engine.memory_mb {
            return None;
        }
        spare.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        spare.first().copied()
    }

    fn push_load(&mut self, model: usize, engine: usize) {
        let config = &self.models[model].config;
        let target = &mut self.engines[engine];
        let (_, from_store) = load_time(target, config);
        target.available = false;
        target.used_mb += config.memory_mb;
        target.loading.push(config.name.clone());
        self.present_models[engine].push(model);
        self.store_load_budget -= usize::from(from_store);
        self.replicas[model] += 1;
        self.moves.push(LayoutMove {
            engine,
            order: ReplicaOrder::Load(LoadItem {
                model: config.name.clone(),
                adapter: None,
            }),
            from_store,
        });
    }

    fn push_unload(&mut self, model: usize, engine: usize) {
        let config = &self.models[model].config;
        let target = &mut self.engines[engine];
        target.available = false;
        target.held.retain(|held| *held != config.name);
        self.held_models[engine].retain(|held| *held != model);
        self.present_models[engine].retain(|held| *held != model);
        self.replicas[model] -= 1;
        self.moves.push(LayoutMove {
            engine,
            order: ReplicaOrder::Unload(LoadItem {
                model: config.name.clone(),
                adapter: None,
            }),
            from_store: false,
        });
    }
}

/// Returns the duration of a load in seconds, and whether it counts against the budget of the weight store.
fn load_time(engine: &LayoutEngine, config: &ModelConfig) -> (f64, bool) {
    let (time, from_store) = config.load_time(&engine.in_host_memory, &engine.on_disk);
    (time.as_secs_f64(), from_store)
}
