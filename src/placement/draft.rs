//! Working copy of the fleet, to which a planning round applies the orders that it plans.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::{OrderAction, ResidentItem};
use crate::placement::utility::offered_load;
use crate::placement::{
    LoadBudget, ModelFacts, OrderReason, PlacementInput, ProposedOrder, ServerFacts,
};

/// A replica of a model on one server.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) server: usize,
    pub(super) item: ResidentItem,
    pub(super) bytes: u64,
    pub(super) status: ReplicaStatus,
}

/// Whether a replica can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplicaStatus {
    /// Resident on a usable server, and no order can remove it.
    Safe,
    /// A load is open on a usable server.
    Pending,
    /// On a server that is leaving or unreachable, or an order can remove it.
    Unreliable,
}

/// A server during a planning round.
#[derive(Clone, Debug)]
pub(super) struct DraftServer {
    pub(super) free: u64,
    /// Bytes that unloads in progress will free.
    freeing: u64,
    pub(super) usable: bool,
    /// Whether the server is in the planner's zone. Orders are proposed for these servers only.
    pub(super) in_own_zone: bool,
    /// Sum of the offered loads of the replicas on this server; 1 keeps one replica busy.
    offered_load: f64,
}

/// A copy of an adapter on one server.
#[derive(Clone, Debug)]
pub(super) struct AdapterCopy {
    pub(super) server: usize,
    pub(super) item: ResidentItem,
    pub(super) bytes: u64,
    pub(super) safe: bool,
}

/// Working copy of the fleet. Planned orders change it as if they were complete, except that an unload frees no memory
/// within the round.
pub(super) struct Draft<'a> {
    pub(super) input: &'a PlacementInput<'a>,
    pub(super) servers: Vec<DraftServer>,
    /// Replicas of each model, in the order of `facts.models`.
    pub(super) replicas: Vec<Vec<Replica>>,
    pub(super) adapters: Vec<AdapterCopy>,
    /// Resident items whose model or adapter is not declared, with their servers.
    pub(super) undeclared: Vec<(usize, ResidentItem)>,
    pub(super) model_index: HashMap<&'a str, usize>,
    adapter_index: HashMap<&'a str, usize>,
    /// Models of which an unload is in progress on any server.
    unloading: HashSet<usize>,
    budget: LoadBudget,
    orders: Vec<ProposedOrder>,
}

impl<'a> Draft<'a> {
    pub(super) fn new(input: &'a PlacementInput<'a>) -> Self {
        let models = &input.facts.models;
        let model_index = models
            .iter()
            .enumerate()
            .map(|(index, model)| (model.name.as_str(), index))
            .collect();
        let adapter_index = input
            .facts
            .adapters
            .iter()
            .enumerate()
            .map(|(index, adapter)| (adapter.name.as_str(), index))
            .collect();
        let mut draft = Self {
            input,
            servers: Vec::with_capacity(input.facts.servers.len()),
            replicas: vec![Vec::new(); models.len()],
            adapters: Vec::new(),
            undeclared: Vec::new(),
            model_index,
            adapter_index,
            unloading: HashSet::new(),
            budget: input.budget,
            orders: Vec::new(),
        };
        for index in 0..input.facts.servers.len() {
            draft.add_server(index);
        }
        draft.assign_load();
        draft
    }

    /// Returns the proposed orders.
    pub(super) fn into_orders(self) -> Vec<ProposedOrder> {
        self.orders
    }

    fn add_server(&mut self, index: usize) {
        let server = &self.input.facts.servers[index];
        let ledger = self.input.ledgers[index];
        let usable = server.reachable && !server.leaving && ledger.asked_at().is_some();
        self.servers.push(DraftServer {
            free: if usable { ledger.free() } else { 0 },
            freeing: 0,
            usable,
            in_own_zone: server.zone == *self.input.zone,
            offered_load: 0.0,
        });
        for (item, bytes) in ledger.resident() {
            self.add_resident(index, item, bytes, usable);
        }
        for (_, order) in ledger.orders() {
            match &order.action {
                OrderAction::Load { item, bytes } if order.open => {
                    self.add_pending(index, item, *bytes, usable);
                }
                OrderAction::Unload { item } if order.open && item.adapter.is_none() => {
                    if let Some(model) = self.model_index.get(item.model.as_str()) {
                        self.unloading.insert(*model);
                    }
                }
                _ => {}
            }
        }
    }

    fn add_resident(&mut self, server: usize, item: &ResidentItem, bytes: u64, usable: bool) {
        let being_unloaded = self.input.ledgers[server].may_be_unloaded(item);
        if being_unloaded {
            self.servers[server].freeing += bytes;
        }
        let declared = item
            .adapter
            .as_ref()
            .is_none_or(|adapter| self.adapter_index.contains_key(adapter.as_str()));
        let model = self.model_index.get(item.model.as_str()).copied();
        let Some(model) = model.filter(|_| declared) else {
            self.undeclared.push((server, item.clone()));
            return;
        };
        if item.adapter.is_some() {
            self.adapters.push(AdapterCopy {
                server,
                item: item.clone(),
                bytes,
                safe: usable && !being_unloaded,
            });
            return;
        }
        let status = if usable && !being_unloaded {
            ReplicaStatus::Safe
        } else {
            ReplicaStatus::Unreliable
        };
        self.replicas[model].push(Replica {
            server,
            item: item.clone(),
            bytes,
            status,
        });
    }

    fn add_pending(&mut self, server: usize, item: &ResidentItem, bytes: u64, usable: bool) {
        if self.input.ledgers[server].is_resident(item) {
            return;
        }
        let Some(model) = self.model_index.get(item.model.as_str()).copied() else {
            return;
        };
        if item.adapter.is_some() {
            self.adapters.push(AdapterCopy {
                server,
                item: item.clone(),
                bytes,
                safe: false,
            });
            return;
        }
        let status = if usable {
            ReplicaStatus::Pending
        } else {
            ReplicaStatus::Unreliable
        };
        self.replicas[model].push(Replica {
            server,
            item: item.clone(),
            bytes,
            status,
        });
    }

    fn assign_load(&mut self) {
        for model in 0..self.replicas.len() {
            let present = self.present_count(model).max(1) as f64;
            let share = offered_load(&self.input.facts.models[model].demand) / present;
            for replica in &self.replicas[model] {
                self.servers[replica.server].offered_load += share;
            }
        }
    }

    pub(super) fn facts(&self, model: usize) -> &'a ModelFacts {
        &self.input.facts.models[model]
    }

    fn server_facts(&self, server: usize) -> &'a ServerFacts {
        &self.input.facts.servers[server]
    }

    /// Returns the item that new replicas of `model` load.
    pub(super) fn current_item(&self, model: usize) -> ResidentItem {
        let facts = self.facts(model);
        ResidentItem {
            model: facts.name.clone(),
            version: facts.version.clone(),
            adapter: None,
        }
    }

    /// Returns the number of replicas that are safe or being loaded.
    pub(super) fn present_count(&self, model: usize) -> usize {
        self.replicas[model]
            .iter()
            .filter(|replica| replica.status != ReplicaStatus::Unreliable)
            .count()
    }

    /// Returns the number of safe replicas.
    pub(super) fn safe_count(&self, model: usize) -> usize {
        self.replicas[model]
            .iter()
            .filter(|replica| replica.status == ReplicaStatus::Safe)
            .count()
    }

    /// Returns whether an unload of a replica of `model` is in progress or planned.
    pub(super) fn is_unloading(&self, model: usize) -> bool {
        self.unloading.contains(&model)
    }

    /// Returns the zones of the model's safe or pending replicas.
    pub(super) fn zones(&self, model: usize) -> HashSet<&'a SmolStr> {
        self.replicas[model]
            .iter()
            .filter(|replica| replica.status != ReplicaStatus::Unreliable)
            .map(|replica| &self.server_facts(replica.server).zone)
            .collect()
    }

    /// Returns whether the replica at `position` is the model's only reliable one in its zone.
    pub(super) fn is_only_in_zone(&self, model: usize, position: usize) -> bool {
        let zone = |replica: &Replica| &self.server_facts(replica.server).zone;
        let replica_zone = zone(&self.replicas[model][position]);
        self.replicas[model]
            .iter()
            .filter(|replica| {
                replica.status != ReplicaStatus::Unreliable && zone(replica) == replica_zone
            })
            .count()
            == 1
    }

    /// Returns the best server that has memory for a replica of `model` and that `accept` allows.
    ///
    /// Servers in zones without the model come first, then those with the lowest load, then those with the least free
    /// memory. Ties are broken by a hash of both names, so that all planners choose the same server.
    pub(super) fn find_server(
        &self,
        model: usize,
        accept: impl Fn(usize, &ServerFacts) -> bool,
    ) -> Option<usize> {
        let item = self.current_item(model);
        let bytes = self.facts(model).memory_bytes;
        let zones = self.zones(model);
        let holders = self.servers_with_current(model);
        let mut best: Option<(bool, u32, u64, u64, usize)> = None;
        for (index, server) in self.servers.iter().enumerate() {
            if !server.usable || server.free < bytes || holders.contains(&index) {
                continue;
            }
            let facts = self.server_facts(index);
            if !accept(index, facts) {
                continue;
            }
            // Load is compared in steps of a quarter of a replica; smaller differences are noise.
            let load = (server.offered_load * 4.0) as u32;
            let sort_key = (zones.contains(&facts.zone), load, server.free - bytes);
            if best.is_some_and(|best| (best.0, best.1, best.2) < sort_key) {
                continue;
            }
            let rank = pair_hash(&item.model, &facts.name);
            let candidate = (sort_key.0, sort_key.1, sort_key.2, rank, index);
            if best.is_none_or(|best| candidate < best)
                && self.input.ledgers[index].may_load(&item, bytes)
            {
                best = Some(candidate);
            }
        }
        best.map(|best| best.4)
    }

    /// Plans a load of the current version of `model`.
    pub(super) fn load_model(&mut self, model: usize, server: usize, reason: OrderReason) {
        let item = self.current_item(model);
        let bytes = self.facts(model).memory_bytes;
        self.servers[server].free = self.servers[server].free.saturating_sub(bytes);
        // One step of the comparison in `find_server`, so that the next load prefers another server.
        self.servers[server].offered_load += 1.0 / 4.0;
        self.replicas[model].push(Replica {
            server,
            item: item.clone(),
            bytes,
            status: ReplicaStatus::Pending,
        });
        if self.servers[server].in_own_zone && self.budget.models > 0 {
            self.budget.models -= 1;
            self.propose(server, OrderAction::Load { item, bytes }, reason);
        }
    }

    /// Plans an unload of the replica at `position` in the model's list.
    pub(super) fn unload(&mut self, model: usize, position: usize, reason: OrderReason) {
        let replica = &mut self.replicas[model][position];
        replica.status = ReplicaStatus::Unreliable;
        let (server, item, bytes) = (replica.server, replica.item.clone(), replica.bytes);
        self.servers[server].freeing += bytes;
        self.unloading.insert(model);
        if self.servers[server].in_own_zone && self.input.ledgers[server].may_unload(&item) {
            self.propose(server, OrderAction::Unload { item }, reason);
        }
    }

    /// Returns whether a replica of the model version that the adapter belongs to is on the same server.
    pub(super) fn has_model_beside(&self, copy: &AdapterCopy) -> bool {
        let Some(model) = self.model_index.get(copy.item.model.as_str()) else {
            return false;
        };
        self.replicas[*model].iter().any(|replica| {
            replica.server == copy.server
                && replica.item.version == copy.item.version
                && replica.status != ReplicaStatus::Unreliable
        })
    }

    /// Returns whether the adapter has no demand, or this copy has no replica of its model beside it.
    pub(super) fn is_idle(&self, copy: &AdapterCopy) -> bool {
        let adapter = copy.item.adapter.as_ref();
        let index = adapter.and_then(|adapter| self.adapter_index.get(adapter.as_str()));
        let wanted = index.is_some_and(|index| {
            let demand = &self.input.facts.adapters[*index].demand;
            demand.waiting > 0 || demand.arrivals_per_s > 0.0
        });
        !wanted || !self.has_model_beside(copy)
    }

    /// Plans an unload of an item that does not count as a replica: an idle adapter or an undeclared item.
    pub(super) fn unload_item(&mut self, server: usize, item: &ResidentItem, reason: OrderReason) {
        if self.servers[server].in_own_zone && self.input.ledgers[server].may_unload(item) {
            let item = item.clone();
            self.propose(server, OrderAction::Unload { item }, reason);
        }
    }

    /// Returns the servers with a safe replica of the model on which the adapter can be loaded, those with the most
    /// free memory first.
    pub(super) fn adapter_candidates(&self, index: usize) -> Vec<(usize, ResidentItem)> {
        let adapter = &self.input.facts.adapters[index];
        let Some(model) = self.model_index.get(adapter.model.as_str()) else {
            return Vec::new();
        };
        let replicas = self.replicas[*model].iter();
        let safe = replicas.filter(|replica| replica.status == ReplicaStatus::Safe);
        let mut candidates: Vec<_> = safe
            .map(|replica| {
                let item = ResidentItem {
                    adapter: Some(adapter.name.clone()),
                    ..replica.item.clone()
                };
                (replica.server, item)
            })
            .filter(|(server, item)| {
                let present = |copy: &AdapterCopy| copy.server == *server && copy.item == *item;
                self.servers[*server].free >= adapter.memory_bytes
                    && !self.adapters.iter().any(present)
                    && self.input.ledgers[*server].may_load(item, adapter.memory_bytes)
            })
            .collect();
        candidates.sort_by_key(|(server, _)| (Reverse(self.servers[*server].free), *server));
        candidates
    }

    /// Plans a load of an adapter.
    pub(super) fn load_adapter(&mut self, server: usize, item: ResidentItem, bytes: u64) {
        self.servers[server].free = self.servers[server].free.saturating_sub(bytes);
        self.adapters.push(AdapterCopy {
            server,
            item: item.clone(),
            bytes,
            safe: false,
        });
        if self.servers[server].in_own_zone && self.budget.adapters > 0 {
            self.budget.adapters -= 1;
            let action = OrderAction::Load { item, bytes };
            self.propose(server, action, OrderReason::Adapter);
        }
    }

    /// Plans an unload of the adapter copy at `position`.
    pub(super) fn unload_adapter(&mut self, position: usize, reason: OrderReason) {
        let copy = &mut self.adapters[position];
        copy.safe = false;
        let (server, item) = (copy.server, copy.item.clone());
        self.servers[server].freeing += copy.bytes;
        self.unload_item(server, &item, reason);
    }

    /// Returns the servers that hold or load the current version of `model`. A second copy there would add nothing.
    pub(super) fn servers_with_current(&self, model: usize) -> HashSet<usize> {
        let item = self.current_item(model);
        self.replicas[model]
            .iter()
            .filter(|replica| replica.item == item)
            .map(|replica| replica.server)
            .collect()
    }

    /// Reserves memory for `model` on a server where unloads in progress free enough. Returns whether there is one.
    pub(super) fn reserve_pending_unload(&mut self, model: usize) -> bool {
        let bytes = self.facts(model).memory_bytes;
        let holders = self.servers_with_current(model);
        let found = self
            .servers
            .iter()
            .enumerate()
            .filter(|(index, server)| {
                server.usable && server.freeing > 0 && !holders.contains(index)
            })
            .filter(|(_, server)| server.free.saturating_add(server.freeing) >= bytes)
            .min_by_key(|(_, server)| Reverse(server.free))
            .map(|(index, _)| index);
        if let Some(index) = found {
            self.reserve(index, bytes);
        }
        found.is_some()
    }

    /// Reserves `bytes` of a server's free memory, and of memory being freed, against later steps of this round.
    pub(super) fn reserve(&mut self, server: usize, bytes: u64) {
        let server = &mut self.servers[server];
        let rest = bytes.saturating_sub(server.free);
        server.free = server.free.saturating_sub(bytes);
        server.freeing = server.freeing.saturating_sub(rest);
    }

    fn propose(&mut self, server: usize, action: OrderAction, reason: OrderReason) {
        self.orders.push(ProposedOrder {
            server,
            action,
            reason,
        });
    }
}

fn pair_hash(model: &str, server: &str) -> u64 {
    xxh3_64(server.as_bytes()) ^ xxh3_64(model.as_bytes()).rotate_left(17)
}
