//! The planner's view of one engine, which is one backend server of a service with models: its models, its open order
//! and the most memory that it may use.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::relay::config::EngineConfig;
use crate::relay::engines::{LoadItem, PlacementChange, ReplicaOrder};
use crate::relay::fleet::RelayFleet;
use crate::relay::layout::LayoutEngine;
use crate::relay::server_list::{HeldModel, ServerEntry, holds_item};

/// Time in which an engine that the planner has just learned of answers a report request.
const ANSWER_GRACE: Duration = Duration::from_millis(2_500);
/// Shortest time that an adapter stays after its load, so that the requests that wait for it can use it.
const MIN_ADAPTER_RESIDENCE: Duration = Duration::from_millis(600);

pub(super) struct OpenOrder {
    pub(super) order: ReplicaOrder,
    /// Whether it is a load from the weight store.
    pub(super) from_store: bool,
    /// Precondition of the order: `accepted_orders` when it was opened. An engine whose number differs refuses it.
    pub(super) expected_orders: u64,
    pub(super) sent_at: Instant,
    pub(super) accepted: bool,
}

/// The planner's view of one engine.
pub(super) struct EngineState {
    pub(super) born_ms: u64,
    /// The engine's own count of orders that it has accepted since its start. `None` means that a report is needed
    /// before the next order.
    pub(super) accepted_orders: Option<u64>,
    pub(super) models: Vec<HeldModel>,
    /// Earliest time of the next report request: a report may show an old state for a while, and an engine that could
    /// not be reached is given a pause.
    pub(super) no_request_before: Option<Instant>,
    /// When a report was last requested.
    pub(super) asked_at: Option<Instant>,
    pub(super) open_order: Option<OpenOrder>,
    /// When the engine last answered a call.
    pub(super) answered_at: Option<Instant>,
    /// Whether another server answered a report request to its address since its own latest answer.
    pub(super) is_misplaced: bool,
    /// When the planner first knew of it.
    pub(super) known_since: Instant,
    /// Report requests that failed since it became known, if it has never answered.
    pub(super) unanswered: u32,
    /// Whether a call to the engine is in progress.
    pub(super) call_in_flight: bool,
    /// Recently loaded adapters, with the time of the load.
    pub(super) recent_adapter_loads: Vec<(LoadItem, Instant)>,
    /// Memory in MB that load orders without an answer may still take, and until when.
    pub(super) uncertain_loads: Vec<(f64, Instant)>,
}

impl EngineState {
    pub(super) fn new(server: &ServerEntry) -> Self {
        Self {
            born_ms: server.born_ms,
            accepted_orders: None,
            models: server.models.clone(),
            no_request_before: None,
            asked_at: None,
            open_order: None,
            answered_at: None,
            is_misplaced: false,
            known_since: Instant::now(),
            unanswered: 0,
            call_in_flight: false,
            recent_adapter_loads: Vec::new(),
            uncertain_loads: Vec::new(),
        }
    }

    /// Returns the input of the layout policy for this engine.
    pub(super) fn layout_engine(
        &self,
        server: &ServerEntry,
        config: &EngineConfig,
        fleet: &RelayFleet,
        now: Instant,
    ) -> LayoutEngine {
        let weights = |order: &ReplicaOrder| {
            let weights = item(order).adapter.is_none();
            weights.then(|| item(order).model.clone())
        };
        let open = self.open_order.as_ref().map(|open| &open.order);
        let loading = open.filter(|order| matches!(order, ReplicaOrder::Load(_)));
        let unloading = open.filter(|order| matches!(order, ReplicaOrder::Unload(_)));
        let unloaded = unloading.and_then(weights);
        let held = self.models.iter().map(|model| model.name.clone());
        LayoutEngine {
            id: server.id.clone(),
            zone: server.zone.clone(),
            memory_mb: config.memory_mb,
            used_mb: self.used_mb(config, now),
            held: held
                .filter(|model| Some(model) != unloaded.as_ref())
                .collect(),
            loading: loading.and_then(weights).into_iter().collect(),
            available: self.is_available() && !fleet.is_suspected(&server.id),
            in_host_memory: server.in_host_memory.clone(),
            on_disk: server.on_disk.clone(),
            in_flight: fleet.in_flight(&server.id),
            slots: server.slots,
            adapter_slots: config.adapter_slots,
        }
    }

    /// Returns whether the engine counts in the layout. What the record of an engine that never answers claims would keep
    /// models from being loaded, or have others unload them.
    pub(super) fn counts(&self, now: Instant) -> bool {
        let is_new = self.known_since + ANSWER_GRACE > now;
        !self.is_misplaced && (self.answered_at.is_some() || is_new)
    }

    /// Returns whether the engine may get an order.
    pub(super) fn is_available(&self) -> bool {
        self.open_order.is_none() && !self.call_in_flight && self.accepted_orders.is_some()
    }

    pub(super) fn holds(&self, model: &str) -> bool {
        self.models.iter().any(|held| held.name == model)
    }

    /// Returns the memory of all that the engine holds or may still load, in MB.
    pub(super) fn used_mb(&self, config: &EngineConfig, now: Instant) -> f64 {
        let held: f64 = self.models.iter().map(|held| held_mb(config, held)).sum();
        let loading = match self.open_order.as_ref().map(|open| &open.order) {
            Some(ReplicaOrder::Load(item)) => item_mb(config, item),
            _ => 0.0,
        };
        let uncertain = self.uncertain_loads.iter();
        let uncertain = uncertain.filter(|(_, until)| *until > now);
        held + loading + uncertain.map(|(size, _)| size).sum::<f64>()
    }

    /// Returns the next order for the placement of an adapter: its load, or the unload of the adapter with the least
    /// demand to make room for it.
    pub(super) fn adapter_order(
        &self,
        item: &LoadItem,
        config: &EngineConfig,
        demand: impl Fn(&LoadItem) -> f64,
        now: Instant,
    ) -> Option<ReplicaOrder> {
        let held: Vec<LoadItem> = self
            .models
            .iter()
            .flat_map(|model| {
                model.adapters.iter().map(|adapter| LoadItem {
                    model: model.name.clone(),
                    adapter: Some(adapter.clone()),
                })
            })
            .collect();
        let has_slot = held.len() < config.adapter_slots as usize;
        if has_slot && self.used_mb(config, now) + item_mb(config, item) <= config.memory_mb {
            return Some(ReplicaOrder::Load(item.clone()));
        }
        let recently_loaded = |item: &LoadItem| {
            let mut loads = self.recent_adapter_loads.iter();
            loads.any(|(other, at)| other == item && *at + MIN_ADAPTER_RESIDENCE > now)
        };
        let least = held
            .into_iter()
            .filter(|item| !recently_loaded(item))
            .min_by(|a, b| demand(a).total_cmp(&demand(b)))?;
        Some(ReplicaOrder::Unload(least))
    }

    /// Returns whether the engine's models are as the order asks.
    pub(super) fn satisfies(&self, order: &ReplicaOrder) -> bool {
        match order {
            ReplicaOrder::Load(item) => holds_item(&self.models, item),
            ReplicaOrder::Unload(item) => !holds_item(&self.models, item),
        }
    }

    /// Ends the open order as carried out and applies its effect; `orders` is the new number of accepted orders.
    pub(super) fn complete_order(&mut self, id: &SmolStr, orders: u64) -> Vec<PlacementChange> {
        let Some(open) = self.open_order.take() else {
            return Vec::new();
        };
        self.accepted_orders = Some(orders);
        let placement = PlacementChange {
            server: id.clone(),
            item: item(&open.order).clone(),
            present: matches!(open.order, ReplicaOrder::Load(_)),
        };
        placement.apply(&mut self.models);
        let now = Instant::now();
        self.recent_adapter_loads
            .retain(|(_, at)| *at + MIN_ADAPTER_RESIDENCE > now);
        if placement.present {
            self.recent_adapter_loads
                .push((placement.item.clone(), now));
        }
        vec![placement]
    }
}

pub(super) fn item(order: &ReplicaOrder) -> &LoadItem {
    let (ReplicaOrder::Load(item) | ReplicaOrder::Unload(item)) = order;
    item
}

pub(super) fn is_adapter(order: &ReplicaOrder) -> bool {
    item(order).adapter.is_some()
}

/// Returns the memory of an item in MB. An item of an undeclared model counts as the largest model.
pub(super) fn item_mb(config: &EngineConfig, item: &LoadItem) -> f64 {
    match (config.model(&item.model), &item.adapter) {
        (Some(model), None) => model.memory_mb,
        (Some(model), Some(_)) => model.adapter_mb,
        (None, _) => config
            .models
            .iter()
            .map(|model| model.memory_mb)
            .fold(0.0, f64::max),
    }
}

fn held_mb(config: &EngineConfig, held: &HeldModel) -> f64 {
    let weights = LoadItem {
        model: held.name.clone(),
        adapter: None,
    };
    let adapter_mb = config
        .model(&held.name)
        .map_or(0.0, |model| model.adapter_mb);
    item_mb(config, &weights) + adapter_mb * held.adapters.len() as f64
}
