//! Greedy placement: the minimum of replicas first, then replicas by gain per byte of memory.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::placement::draft::{AdapterCopy, Draft, ReplicaStatus};
use crate::placement::utility::{gain_per_s, loss_per_s};
use crate::placement::{OrderReason, PlacementInput, PlacementPolicy, ProposedOrder};

/// Settings of a [`GreedyPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct GreedySettings {
    /// Requests served in time that a move must gain within `horizon`, after subtracting those that it loses.
    pub move_cost: f64,
    /// Time over which the gain of a move counts.
    pub horizon: Duration,
    /// Factor by which a gain per byte must exceed the loss per byte before a replica is replaced.
    pub hysteresis: f64,
    /// Minimum time that a replica stays before demand for other models may remove it.
    pub min_residence: Duration,
    /// Time after which each planner loads a model without a replica on a server of its own zone if one has memory,
    /// although the plan for the fleet puts it in another zone, whose planner has not loaded it.
    pub takeover_after: Duration,
    /// Value of a model's replica in a second zone, in requests per second. It competes with demand, as a fleet may
    /// have memory for fewer than two replicas per model.
    pub second_zone_value: f64,
    /// Maximum number of loads for demand in each pass, which bounds the work of a round.
    pub max_demand_loads: usize,
    /// Minimum number of copies of an adapter in demand, if its model has as many replicas. With a spare copy, requests
    /// continue when a server fails or is full.
    pub min_adapter_copies: usize,
    /// Factor on an adapter's share of its model's replicas, as headroom for bursts.
    pub adapter_burst_factor: f64,
    /// Divisor of a server's memory: the quotient is the part that replicas beyond the minimum leave free for adapters.
    /// Without it, replicas in second zones fill the memory before the first request for an adapter arrives.
    pub adapter_reserve_divisor: u64,
}

impl Default for GreedySettings {
    fn default() -> Self {
        Self {
            move_cost: 30.0,
            horizon: Duration::from_secs(120),
            hysteresis: 1.5,
            min_residence: Duration::from_secs(120),
            takeover_after: Duration::from_secs(5),
            second_zone_value: 1.0,
            max_demand_loads: 16,
            min_adapter_copies: 2,
            adapter_burst_factor: 2.0,
            adapter_reserve_divisor: 16,
        }
    }
}

/// Which replicas may be removed to free memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemovalLimit {
    /// All but the last safe replica of each model.
    KeepOne,
    /// Only replicas beyond the model's minimum.
    KeepMinimum,
}

/// A replica that may be removed.
#[derive(Clone, Copy, Debug)]
struct Victim {
    model: usize,
    position: usize,
    /// Requests per second lost per byte.
    loss: f64,
    bytes: u64,
}

/// Keeps every model reachable, then adds the replicas that serve the most further requests per byte of memory.
#[derive(Debug, Default)]
pub struct GreedyPolicy {
    settings: GreedySettings,
    /// When a model was first seen without a replica.
    missing_since: HashMap<SmolStr, Instant>,
    /// Replicas that a model had when its version change was first seen.
    version_targets: HashMap<SmolStr, usize>,
    /// When a replica was first seen, by server and model.
    resident_since: HashMap<(SmolStr, SmolStr), Instant>,
}

impl GreedyPolicy {
    /// Creates the policy.
    pub fn new(settings: GreedySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Loads one replica of each model that has none, in order of demand.
    fn restore_unreachable(&mut self, draft: &mut Draft<'_>) {
        let now = draft.input.now;
        let missing = by_demand(draft, |draft, model| draft.present_count(model) == 0);
        let names: Vec<SmolStr> = missing
            .iter()
            .map(|model| draft.facts(*model).name.clone())
            .collect();
        self.missing_since.retain(|name, _| names.contains(name));
        for (model, name) in missing.into_iter().zip(names) {
            let since = *self.missing_since.entry(name).or_insert(now);
            let overdue = now >= since + self.settings.takeover_after;
            let own_zone = draft.input.zone;
            let server = draft
                .find_server(model, |_, server| !overdue || server.zone == *own_zone)
                .or_else(|| draft.find_server(model, |_, _| true));
            match server {
                Some(server) => draft.load_model(model, server, OrderReason::Unreachable),
                None => self.make_room(draft, model, RemovalLimit::KeepOne),
            }
        }
    }

    /// Loads replicas of models that have fewer than their minimum.
    fn restore_minimum(&self, draft: &mut Draft<'_>) {
        let low = by_demand(draft, |draft, model| {
            let present = draft.present_count(model);
            present > 0 && present < minimum(draft, model)
        });
        for model in low {
            while draft.present_count(model) < minimum(draft, model) {
                let Some(server) = draft.find_server(model, |_, _| true) else {
                    self.make_room(draft, model, RemovalLimit::KeepMinimum);
                    break;
                };
                draft.load_model(model, server, OrderReason::Minimum);
            }
        }
    }

    /// Loads a replica in a second zone, if memory is free, of models whose replicas are all in one zone.
    fn spread_zones(&self, draft: &mut Draft<'_>) {
        for model in by_demand(draft, |draft, model| draft.zones(model).len() == 1) {
            let zones = draft.zones(model);
            let server = draft.find_server(model, |position, server| {
                !zones.contains(&server.zone) && self.leaves_adapter_reserve(draft, model, position)
            });
            if let Some(server) = server {
                draft.load_model(model, server, OrderReason::SecondZone);
            }
        }
    }

    /// Returns whether a replica of `model` leaves enough memory for adapters on `server`, if any are declared.
    fn leaves_adapter_reserve(&self, draft: &Draft<'_>, model: usize, server: usize) -> bool {
        let declared: u64 = draft
            .input
            .facts
            .adapters
            .iter()
            .map(|one| one.memory_bytes)
            .sum();
        let reserve = draft.input.facts.servers[server].memory_bytes
            / self.settings.adapter_reserve_divisor.max(1);
        draft.servers[server].free >= draft.facts(model).memory_bytes + reserve.min(declared)
    }

    /// Replaces replicas of other versions than the declared one, one at a time for each model.
    fn change_versions(&mut self, draft: &mut Draft<'_>) {
        for model in 0..draft.replicas.len() {
            let name = &draft.facts(model).name;
            let old = outdated_replica(draft, model);
            let Some(old) = old else {
                self.version_targets.remove(name);
                continue;
            };
            let safe = draft.safe_count(model);
            let target = *self.version_targets.entry(name.clone()).or_insert(safe);
            self.change_version(draft, model, old, target.max(minimum(draft, model)));
        }
    }

    fn change_version(&self, draft: &mut Draft<'_>, model: usize, old: usize, target: usize) {
        let current = draft.current_item(model);
        let pending = draft.present_count(model) > draft.safe_count(model);
        let new_safe = draft.replicas[model]
            .iter()
            .any(|replica| replica.item == current && replica.status == ReplicaStatus::Safe);
        if pending || draft.is_unloading(model) {
            return;
        }
        if new_safe && draft.safe_count(model) > target {
            draft.unload(model, old, OrderReason::Version);
        } else if let Some(server) = draft.find_server(model, |_, _| true) {
            draft.load_model(model, server, OrderReason::Version);
        } else if draft.safe_count(model) > 1 {
            draft.unload(model, old, OrderReason::Version);
        } else {
            self.make_room(draft, model, RemovalLimit::KeepMinimum);
        }
    }

    /// Adds replicas that gain at least `min_gain` requests per second, those with the highest gain per byte first.
    /// Replaces others only if the gain exceeds the loss by the hysteresis and the cost of the moves.
    fn follow_demand(&self, draft: &mut Draft<'_>, min_gain: f64) {
        for _ in 0..self.settings.max_demand_loads {
            let Some((model, gain)) = self.best_addition(draft, min_gain) else {
                return;
            };
            let server = draft.find_server(model, |server, _| {
                self.leaves_adapter_reserve(draft, model, server)
            });
            if let Some(server) = server {
                draft.load_model(model, server, OrderReason::Demand);
            } else {
                // Memory of removed replicas is free only after a load report, so there is one replacement per pass.
                self.replace_for(draft, model, gain);
                return;
            }
        }
    }

    /// Returns the model with the highest gain per byte that justifies a move, and its gain in requests per second.
    fn best_addition(&self, draft: &Draft<'_>, min_gain: f64) -> Option<(usize, f64)> {
        let horizon = self.settings.horizon.as_secs_f64();
        (0..draft.replicas.len())
            .filter(|model| draft.present_count(*model) > 0)
            .filter_map(|model| {
                let gain = gain_per_s(&draft.facts(model).demand, draft.present_count(model));
                let worthwhile = gain >= min_gain && gain * horizon > self.settings.move_cost;
                worthwhile.then_some((model, gain))
            })
            .max_by(|(a, gain_a), (b, gain_b)| {
                let density =
                    |model: usize, gain: f64| gain / draft.facts(model).memory_bytes.max(1) as f64;
                density(*a, *gain_a).total_cmp(&density(*b, *gain_b))
            })
    }

    fn replace_for(&self, draft: &mut Draft<'_>, model: usize, gain: f64) {
        let bytes = draft.facts(model).memory_bytes;
        if draft.reserve_pending_unload(model) {
            return;
        }
        let density = gain / bytes.max(1) as f64;
        let horizon = self.settings.horizon.as_secs_f64();
        let best = self.cheapest_room(draft, model, bytes, RemovalLimit::KeepMinimum, true);
        let Some((server, victims)) = best else {
            return;
        };
        let loss: f64 = victims
            .iter()
            .map(|victim| victim.loss * victim.bytes as f64)
            .sum();
        let worthwhile = victims
            .iter()
            .all(|victim| density > victim.loss * self.settings.hysteresis);
        // Each removal is a move as well.
        let cost = self.settings.move_cost * (1 + victims.len()) as f64;
        if worthwhile && (gain - loss) * horizon > cost {
            remove(draft, &victims);
            draft.reserve(server, bytes);
        }
    }

    /// Frees memory for `model` on one server: idle adapters first, then the replicas whose removal loses the least.
    fn make_room(&self, draft: &mut Draft<'_>, model: usize, limit: RemovalLimit) {
        let bytes = draft.facts(model).memory_bytes;
        if draft.reserve_pending_unload(model) || remove_idle_adapters(draft, model) {
            return;
        }
        if let Some((server, victims)) = self.cheapest_room(draft, model, bytes, limit, false) {
            remove(draft, &victims);
            draft.reserve(server, bytes);
        }
    }

    /// Returns the server on which freeing memory for `bytes` loses the fewest requests, and the replicas to remove.
    fn cheapest_room(
        &self,
        draft: &Draft<'_>,
        model: usize,
        bytes: u64,
        limit: RemovalLimit,
        past_min_residence: bool,
    ) -> Option<(usize, Vec<Victim>)> {
        let mut by_server: HashMap<usize, Vec<Victim>> = HashMap::new();
        for other in (0..draft.replicas.len()).filter(|other| *other != model) {
            if draft.is_unloading(other)
                || draft.safe_count(other) <= kept_count(draft, other, limit)
            {
                continue;
            }
            for (position, replica) in draft.replicas[other].iter().enumerate() {
                let eligible =
                    !past_min_residence || self.is_past_min_residence(draft, other, replica.server);
                if replica.status == ReplicaStatus::Safe && eligible {
                    by_server
                        .entry(replica.server)
                        .or_default()
                        .push(self.victim(draft, other, position));
                }
            }
        }
        let holders = draft.servers_with_current(model);
        by_server
            .into_iter()
            .filter(|(server, _)| !holders.contains(server))
            .filter_map(|(server, victims)| {
                let missing = bytes.saturating_sub(draft.servers[server].free);
                Some((server, cheapest_victims(victims, missing)?))
            })
            .min_by(|(server_a, a), (server_b, b)| {
                let loss = |victims: &[Victim]| -> f64 {
                    victims
                        .iter()
                        .map(|victim| victim.loss * victim.bytes as f64)
                        .sum()
                };
                loss(a)
                    .total_cmp(&loss(b))
                    .then(a.len().cmp(&b.len()))
                    .then(server_a.cmp(server_b))
            })
    }

    fn victim(&self, draft: &Draft<'_>, model: usize, position: usize) -> Victim {
        let bytes = draft.replicas[model][position].bytes;
        let mut loss = loss_per_s(&draft.facts(model).demand, draft.safe_count(model));
        if draft.zones(model).len() == 2 && draft.is_only_in_zone(model, position) {
            loss += self.settings.second_zone_value;
        }
        Victim {
            model,
            position,
            loss: loss / bytes.max(1) as f64,
            bytes,
        }
    }

    fn is_past_min_residence(&self, draft: &Draft<'_>, model: usize, server: usize) -> bool {
        let key = (
            draft.input.facts.servers[server].name.clone(),
            draft.facts(model).name.clone(),
        );
        self.resident_since
            .get(&key)
            .is_some_and(|since| draft.input.now >= *since + self.settings.min_residence)
    }

    fn update_resident_since(&mut self, draft: &Draft<'_>) {
        let mut residents = HashMap::with_capacity(self.resident_since.len());
        for (model, replicas) in draft.replicas.iter().enumerate() {
            for replica in replicas {
                let key = (
                    draft.input.facts.servers[replica.server].name.clone(),
                    draft.facts(model).name.clone(),
                );
                let since = self.resident_since.get(&key).copied();
                residents.insert(key, since.unwrap_or(draft.input.now));
            }
        }
        self.resident_since = residents;
    }

    /// Loads adapters in demand on servers with a replica of their model, the most waiting requests first.
    fn load_adapters(&self, draft: &mut Draft<'_>) {
        let adapters = &draft.input.facts.adapters;
        let mut wanted: Vec<usize> = (0..adapters.len())
            .filter(|index| {
                let demand = &adapters[*index].demand;
                demand.waiting > 0 || demand.arrivals_per_s > 0.0
            })
            .collect();
        wanted.sort_by_key(|index| std::cmp::Reverse(adapters[*index].demand.waiting));
        for index in wanted {
            let missing = self.missing_copies(draft, index);
            if missing > 0 {
                self.load_adapter(draft, index, missing);
            }
        }
    }

    /// Returns the number of copies of an adapter that are missing.
    ///
    /// The target is the adapter's share of its model's requests, applied to the model's safe replicas, times the burst
    /// factor.
    fn missing_copies(&self, draft: &Draft<'_>, index: usize) -> usize {
        let adapter = &draft.input.facts.adapters[index];
        let Some(model) = draft.model_index.get(adapter.model.as_str()) else {
            return 0;
        };
        let safe = draft.safe_count(*model);
        let all = draft.facts(*model).demand.arrivals_per_s;
        let share = match all > 0.0 {
            true => adapter.demand.arrivals_per_s / all,
            false => 0.0,
        };
        let wanted = (share * safe as f64 * self.settings.adapter_burst_factor).ceil() as usize;
        let wanted = wanted.max(self.settings.min_adapter_copies).min(safe);
        let is_usable_copy = |copy: &&AdapterCopy| {
            copy.item.adapter.as_ref() == Some(&adapter.name) && draft.has_model_beside(copy)
        };
        wanted.saturating_sub(draft.adapters.iter().filter(is_usable_copy).count())
    }

    fn load_adapter(&self, draft: &mut Draft<'_>, index: usize, missing: usize) {
        let adapter = &draft.input.facts.adapters[index];
        let Some(model) = draft.model_index.get(adapter.model.as_str()).copied() else {
            return;
        };
        let candidates = draft.adapter_candidates(index);
        if !candidates.is_empty() {
            for (server, item) in candidates.into_iter().take(missing) {
                draft.load_adapter(server, item, adapter.memory_bytes);
            }
            return;
        }
        let safe_servers: Vec<usize> = draft.replicas[model]
            .iter()
            .filter(|replica| replica.status == ReplicaStatus::Safe)
            .map(|replica| replica.server)
            .collect();
        let idle = (0..draft.adapters.len()).find(|position| {
            let copy = &draft.adapters[*position];
            copy.safe && safe_servers.contains(&copy.server) && draft.is_idle(copy)
        });
        if let Some(position) = idle {
            draft.unload_adapter(position, OrderReason::MakeRoom);
        }
    }

    /// Unloads items that are no longer declared. Does nothing if the facts have no models: then the facts are taken to
    /// be missing.
    fn unload_undeclared(&self, draft: &mut Draft<'_>) {
        if draft.replicas.is_empty() {
            return;
        }
        for (server, item) in std::mem::take(&mut draft.undeclared) {
            draft.unload_item(server, &item, OrderReason::Retired);
        }
    }
}

impl PlacementPolicy for GreedyPolicy {
    fn plan(&mut self, input: &PlacementInput<'_>) -> Vec<ProposedOrder> {
        let mut draft = Draft::new(input);
        self.update_resident_since(&draft);
        self.restore_unreachable(&mut draft);
        self.restore_minimum(&mut draft);
        self.change_versions(&mut draft);
        self.load_adapters(&mut draft);
        // Demand that is worth more than a replica in a second zone comes first. Otherwise `spread_zones` would load a
        // replica that was removed for it again at once.
        let displacing_gain = self.settings.second_zone_value * self.settings.hysteresis;
        self.follow_demand(&mut draft, displacing_gain);
        self.spread_zones(&mut draft);
        self.follow_demand(&mut draft, 0.0);
        self.unload_undeclared(&mut draft);
        draft.into_orders()
    }
}

/// Returns the models that `select` accepts, those with the most waiting requests first, then by arrivals and name.
fn by_demand(draft: &Draft<'_>, select: impl Fn(&Draft<'_>, usize) -> bool) -> Vec<usize> {
    let mut models: Vec<usize> = (0..draft.replicas.len())
        .filter(|model| select(draft, *model))
        .collect();
    models.sort_by(|a, b| {
        let (a, b) = (draft.facts(*a), draft.facts(*b));
        let waiting = b.demand.waiting.cmp(&a.demand.waiting);
        let arrivals = b.demand.arrivals_per_s.total_cmp(&a.demand.arrivals_per_s);
        waiting.then(arrivals).then(a.name.cmp(&b.name))
    });
    models
}

fn minimum(draft: &Draft<'_>, model: usize) -> usize {
    (draft.facts(model).min_replicas as usize).max(1)
}

/// Returns how many safe replicas of `model` must stay.
fn kept_count(draft: &Draft<'_>, model: usize, limit: RemovalLimit) -> usize {
    match limit {
        RemovalLimit::KeepOne => 1,
        RemovalLimit::KeepMinimum => minimum(draft, model),
    }
}

/// Returns the position of a safe replica of another version than the declared one.
fn outdated_replica(draft: &Draft<'_>, model: usize) -> Option<usize> {
    let current = draft.current_item(model);
    draft.replicas[model]
        .iter()
        .position(|replica| replica.item != current && replica.status == ReplicaStatus::Safe)
}

/// Returns the victims that lose the least and together free `missing` bytes, at most one per model.
fn cheapest_victims(mut victims: Vec<Victim>, missing: u64) -> Option<Vec<Victim>> {
    victims.sort_by(|a, b| a.loss.total_cmp(&b.loss).then(b.bytes.cmp(&a.bytes)));
    let mut chosen: Vec<Victim> = Vec::new();
    let mut found = 0;
    for victim in victims {
        if found >= missing {
            break;
        }
        if chosen.iter().all(|other| other.model != victim.model) {
            found += victim.bytes;
            chosen.push(victim);
        }
    }
    (found >= missing).then_some(chosen)
}

/// Unloads idle adapters on the first server where that frees enough memory for `model`. Returns whether there is one.
fn remove_idle_adapters(draft: &mut Draft<'_>, model: usize) -> bool {
    let bytes = draft.facts(model).memory_bytes;
    let holders = draft.servers_with_current(model);
    let mut idle: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for (position, copy) in draft.adapters.iter().enumerate() {
        if copy.safe && !holders.contains(&copy.server) && draft.is_idle(copy) {
            idle.entry(copy.server).or_default().push(position);
        }
    }
    let found = idle.into_iter().find(|(server, positions)| {
        let freed: u64 = positions.iter().map(|at| draft.adapters[*at].bytes).sum();
        draft.servers[*server].free.saturating_add(freed) >= bytes
    });
    let Some((server, positions)) = found else {
        return false;
    };
    for position in positions {
        draft.unload_adapter(position, OrderReason::MakeRoom);
    }
    draft.reserve(server, bytes);
    true
}

fn remove(draft: &mut Draft<'_>, victims: &[Victim]) {
    for victim in victims {
        draft.unload(victim.model, victim.position, OrderReason::MakeRoom);
    }
}
