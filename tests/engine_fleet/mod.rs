//! Simulated engines that load and unload items and may check fencing numbers.
#![allow(dead_code)]

use std::collections::BTreeMap;

use foxtailhill::engine::{EngineOrder, LoadReport, OrderAction, OrderReply, ResidentItem};
use smol_str::{SmolStr, format_smolstr};

/// Engine process on one server. It never refuses a load for lack of memory, so that tests can check `peak`.
#[derive(Clone, Debug)]
pub struct SimEngine {
    pub capacity: u64,
    pub checks_fencing: bool,
    /// Whether the highest fencing number is kept over a restart.
    pub keeps_fence: bool,
    pub resident: BTreeMap<ResidentItem, u64>,
    /// Items being loaded, with their bytes and the time at which the load is complete.
    loading: BTreeMap<ResidentItem, (u64, u64)>,
    highest_fence: u64,
    incarnation: u64,
    sequence: u64,
    /// Highest number of bytes in use so far.
    pub peak: u64,
}

impl SimEngine {
    pub fn new(capacity: u64, checks_fencing: bool, keeps_fence: bool) -> Self {
        Self {
            capacity,
            checks_fencing,
            keeps_fence,
            resident: BTreeMap::new(),
            loading: BTreeMap::new(),
            highest_fence: 0,
            incarnation: 1,
            sequence: 0,
            peak: 0,
        }
    }

    pub fn used(&self) -> u64 {
        let loading: u64 = self.loading.values().map(|(bytes, _)| bytes).sum();
        self.resident.values().sum::<u64>() + loading
    }

    /// Executes an order. A load is complete at `ready_at`.
    pub fn order(&mut self, order: &EngineOrder, ready_at: u64) -> OrderReply {
        if self.checks_fencing && order.fence < self.highest_fence {
            return OrderReply::Fenced;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        match &order.action {
            OrderAction::Load { item, .. } if self.resident.contains_key(item) => OrderReply::Done,
            OrderAction::Load { item, bytes } => {
                self.loading
                    .entry(item.clone())
                    .or_insert((*bytes, ready_at));
                self.peak = self.peak.max(self.used());
                OrderReply::Started
            }
            OrderAction::Unload { item } => {
                self.resident.remove(item);
                self.loading.remove(item);
                OrderReply::Done
            }
        }
    }

    /// Completes the loads that are due.
    pub fn advance(&mut self, now: u64) {
        let ready: Vec<ResidentItem> = self
            .loading
            .iter()
            .filter(|(_, (_, ready_at))| *ready_at <= now)
            .map(|(item, _)| item.clone())
            .collect();
        for item in ready {
            if let Some((bytes, _)) = self.loading.remove(&item) {
                self.resident.insert(item, bytes);
            }
        }
    }

    pub fn restart(&mut self) {
        self.resident.clear();
        self.loading.clear();
        self.incarnation += 1;
        self.sequence = 0;
        if !self.keeps_fence {
            self.highest_fence = 0;
        }
    }

    pub fn report(&mut self) -> LoadReport {
        self.sequence += 1;
        LoadReport {
            sequence: self.sequence,
            incarnation: self.incarnation,
            resident: self.resident.clone().into_iter().collect(),
            loading: self
                .loading
                .iter()
                .map(|(item, (bytes, _))| (item.clone(), *bytes))
                .collect(),
            ..LoadReport::default()
        }
    }

    pub fn has_model(&self, model: &str) -> bool {
        self.resident
            .keys()
            .any(|item| item.model == model && item.adapter.is_none())
    }
}

pub fn server_name(index: usize) -> SmolStr {
    format_smolstr!("engine-{index}")
}

pub fn zone_name(index: usize) -> SmolStr {
    format_smolstr!("zone-{index}")
}
