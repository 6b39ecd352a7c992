//! Accelerator memory of a stand-in engine: resident, loading and unloading items.

use std::collections::BTreeMap;

use foxtailhill::engine::{EngineOrder, OrderAction, OrderReply, ResidentItem};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ItemPhase {
    Loading,
    Resident,
    /// Removed as soon as no request uses it and its load, if any, has ended.
    Unloading,
}

#[derive(Clone, Copy, Debug)]
struct ItemState {
    bytes: u64,
    phase: ItemPhase,
    users: u32,
    load_running: bool,
}

/// An order and the reply to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    pub order: EngineOrder,
    pub reply: OrderReply,
}

/// Memory accounting. Usage above the capacity is recorded but not prevented.
#[derive(Debug)]
pub(super) struct WeightMemory {
    capacity: u64,
    checks_fencing: bool,
    highest_fence: u64,
    items: BTreeMap<ResidentItem, ItemState>,
    pub(super) peak_bytes: u64,
    /// Each memory usage above the capacity, in bytes.
    pub(super) overcommits: Vec<u64>,
    pub(super) orders: Vec<OrderRecord>,
}

impl WeightMemory {
    pub(super) fn new(
        capacity: u64,
        checks_fencing: bool,
        resident: &[(ResidentItem, u64)],
    ) -> Self {
        let items = resident.iter().map(|(item, bytes)| {
            let state = ItemState {
                bytes: *bytes,
                phase: ItemPhase::Resident,
                users: 0,
                load_running: false,
            };
            (item.clone(), state)
        });
        let mut memory = Self {
            capacity,
            checks_fencing,
            highest_fence: 0,
            items: items.collect(),
            peak_bytes: 0,
            overcommits: Vec::new(),
            orders: Vec::new(),
        };
        memory.record_level();
        memory
    }

    pub(super) fn used_bytes(&self) -> u64 {
        self.items.values().map(|state| state.bytes).sum()
    }

    fn record_level(&mut self) {
        let level = self.used_bytes();
        self.peak_bytes = self.peak_bytes.max(level);
        if level > self.capacity {
            self.overcommits.push(level);
        }
    }

    /// Returns whether a fencing number is accepted, and records the highest one. If fencing is checked, a number below
    /// the highest one is rejected.
    pub(super) fn check_fence(&mut self, fence: u64) -> bool {
        if self.checks_fencing && fence < self.highest_fence {
            return false;
        }
        self.highest_fence = self.highest_fence.max(fence);
        true
    }

    /// Executes an order. The returned flag tells whether the caller must start a load.
    pub(super) fn order(&mut self, order: &EngineOrder) -> (OrderReply, bool) {
        let (reply, start_load) = if self.check_fence(order.fence) {
            match &order.action {
                OrderAction::Load { item, bytes } => self.load(item, *bytes),
                OrderAction::Unload { item } => (self.unload(item), false),
            }
        } else {
            (OrderReply::Fenced, false)
        };
        self.record(order, reply);
        (reply, start_load)
    }

    pub(super) fn record(&mut self, order: &EngineOrder, reply: OrderReply) {
        self.orders.push(OrderRecord {
            order: order.clone(),
            reply,
        });
    }

    fn load(&mut self, item: &ResidentItem, bytes: u64) -> (OrderReply, bool) {
        if let Some(state) = self.items.get_mut(item) {
            if state.load_running {
                state.phase = ItemPhase::Loading;
                return (OrderReply::Started, false);
            }
            state.phase = ItemPhase::Resident;
            return (OrderReply::Done, false);
        }
        let state = ItemState {
            bytes,
            phase: ItemPhase::Loading,
            users: 0,
            load_running: true,
        };
        self.items.insert(item.clone(), state);
        self.record_level();
        (OrderReply::Started, true)
    }

    fn unload(&mut self, item: &ResidentItem) -> OrderReply {
        let Some(state) = self.items.get_mut(item) else {
            return OrderReply::Done;
        };
        state.phase = ItemPhase::Unloading;
        self.remove_if_unused(item);
        if self.items.contains_key(item) {
            OrderReply::Started
        } else {
            OrderReply::Done
        }
    }

    fn remove_if_unused(&mut self, item: &ResidentItem) {
        let removable = self.items.get(item).is_some_and(|state| {
            state.phase == ItemPhase::Unloading && state.users == 0 && !state.load_running
        });
        if removable {
            self.items.remove(item);
        }
    }

    /// Returns whether a load is still wanted.
    pub(super) fn wants_load(&self, item: &ResidentItem) -> bool {
        let state = self.items.get(item);
        state.is_some_and(|state| state.phase == ItemPhase::Loading)
    }

    /// Records the end of a load.
    pub(super) fn finish_load(&mut self, item: &ResidentItem) {
        if let Some(state) = self.items.get_mut(item) {
            state.load_running = false;
            if state.phase == ItemPhase::Loading {
                state.phase = ItemPhase::Resident;
            }
        }
        self.remove_if_unused(item);
    }

    /// Pins the items that a request needs; the error names the item that is not resident.
    pub(super) fn pin(
        &mut self,
        model: &str,
        version: &str,
        adapter: Option<&str>,
    ) -> Result<Vec<ResidentItem>, String> {
        let weights = self
            .find_resident(|item| {
                item.model == model && item.version == version && item.adapter.is_none()
            })
            .ok_or_else(|| format!("model `{model}@{version}` is not resident"))?;
        let mut items = vec![weights];
        if let Some(adapter) = adapter {
            let found = self.find_resident(|item| {
                item.model == model && item.adapter.as_deref() == Some(adapter)
            });
            items.push(found.ok_or_else(|| format!("adapter `{adapter}` is not resident"))?);
        }
        for item in &items {
            if let Some(state) = self.items.get_mut(item) {
                state.users += 1;
            }
        }
        Ok(items)
    }

    fn find_resident(&self, matches: impl Fn(&ResidentItem) -> bool) -> Option<ResidentItem> {
        let mut items = self.items.iter();
        items
            .find(|(item, state)| state.phase == ItemPhase::Resident && matches(item))
            .map(|(item, _)| item.clone())
    }

    pub(super) fn unpin(&mut self, items: &[ResidentItem]) {
        for item in items {
            if let Some(state) = self.items.get_mut(item) {
                state.users -= 1;
            }
            self.remove_if_unused(item);
        }
    }

    /// Returns resident and loading items with their sizes in bytes. An item whose load has ended counts as resident
    /// until it is removed.
    #[allow(clippy::type_complexity)]
    pub(super) fn report(&self) -> (Vec<(ResidentItem, u64)>, Vec<(ResidentItem, u64)>) {
        let all = self.items.iter();
        let (loading, resident): (Vec<_>, Vec<_>) = all.partition(|(_, state)| state.load_running);
        let list = |items: Vec<(&ResidentItem, &ItemState)>| {
            let entries = items.into_iter();
            entries
                .map(|(item, state)| (item.clone(), state.bytes))
                .collect()
        };
        (list(resident), list(loading))
    }
}
