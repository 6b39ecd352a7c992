//! The state of one server of the list.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::engine::{LoadReport, ResidentItem};
use crate::relay::announcements::server_start;
use crate::relay::fleet::{ServerState, routing_name};
use crate::relay::server_list::ServerEntry;
use crate::routing::{Availability, BackendView, ServerLoad, ServerStanding};

/// Time for which a server gets no work after a failed call; doubles with each further failure.
const BASE_SUSPECT_TIME: Duration = Duration::from_millis(500);
/// Longest time without work after failures, as a live server must be tried again.
const MAX_SUSPECT_TIME: Duration = Duration::from_secs(4);
/// The same for a server that has never answered, so that false records cost few requests.
const MAX_UNPROVEN_TIME: Duration = Duration::from_secs(8);
/// Failures after which the time no longer doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Longest time by which a server's record may lag behind the effect of an order. A change that is younger than this
/// stays in effect even if the record agrees with it, as the record may be older than the order.
const MAX_RECORD_LAG: Duration = Duration::from_millis(2_500);
/// Time for which a load stays in effect although the record does not show the item.
const LOAD_OVERLAY_TIME: Duration = Duration::from_millis(3_500);
/// Time for which an unload stays in effect although the record still shows the item. Longer than that of a load, as
/// the record shows the item until the requests that use it have ended.
const UNLOAD_OVERLAY_TIME: Duration = Duration::from_secs(10);
/// Time between two tokens of one stream in a batch of usual size, in microseconds.
const TOKEN_US: u32 = 6_000;

impl ServerState {
    pub(super) fn new(entry: ServerEntry, version: u64, now: Instant) -> Self {
        log::info!("server {} of {} is listed", entry.id, entry.service);
        Self {
            models: entry.models.clone(),
            start: server_start(&entry),
            placements: Vec::new(),
            changed: version,
            renewed: version,
            listed_at: now,
            placed_at: now,
            entry,
            handle: Arc::default(),
            failures: 0,
            suspected_until: None,
            is_refusing: false,
            expires_at: None,
        }
    }

    /// Notes that the server has written its record again. The first time, `version` of the list grows, so that daemons that
    /// copy the list learn of it.
    pub(super) fn note_renewed(&mut self, version: &mut u64) {
        if !self.handle.is_renewed() {
            self.handle.set_renewed(true);
            *version += 1;
            self.renewed = *version;
        }
    }

    /// Notes how long the server stays cold according to a new record.
    pub(super) fn note_cold(&self, entry: &ServerEntry, now: Instant) {
        let is_cold = !entry.cold_left.is_zero();
        if is_cold && !self.handle.is_cold() {
            log::info!("server {} is cold for {:?}", entry.id, entry.cold_left);
        }
        self.handle.set_cold(is_cold.then(|| now + entry.cold_left));
    }

    /// Returns whether the server is not leaving, its zone not evacuated and its address its own.
    pub(super) fn may_be_sent_to(&self) -> bool {
        !self.entry.leaving
            && self.handle.availability() != Availability::Closed
            && self.handle.standing() != ServerStanding::Displaced
    }

    /// Returns whether what the record says may be believed: the server has answered, or nothing speaks against it.
    pub(super) fn is_credible(&self) -> bool {
        match self.handle.standing() {
            ServerStanding::Proven => true,
            ServerStanding::Unproven => !self.is_refusing && self.suspected_until.is_none(),
            ServerStanding::Displaced => false,
        }
    }

    /// Gives the server no work until `until`.
    pub(super) fn suspend_until(&mut self, until: Instant) {
        self.suspected_until = self.suspected_until.max(Some(until));
        self.update_suspected();
    }

    /// Returns the time for which the server gets no requests after a call that failed now.
    pub(super) fn note_failure(&mut self) -> Duration {
        let max = match self.handle.standing() {
            ServerStanding::Proven => MAX_SUSPECT_TIME,
            ServerStanding::Unproven | ServerStanding::Displaced => MAX_UNPROVEN_TIME,
        };
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        (BASE_SUSPECT_TIME * 2_u32.pow(doublings)).min(max)
    }

    /// Sets whether routing leaves the server out.
    pub(super) fn update_suspected(&self) {
        let is_suspected = self.is_refusing
            || self.suspected_until.is_some()
            || self.handle.standing() == ServerStanding::Displaced;
        self.handle.set_suspected(is_suspected);
    }

    /// Derives the models from the record and the placement changes that it does not show yet.
    pub(super) fn update_models(&mut self, now: Instant) {
        let entry = &self.entry;
        self.placements.retain(|(placement, since)| {
            let max_age = match placement.present {
                true => LOAD_OVERLAY_TIME,
                false => UNLOAD_OVERLAY_TIME,
            };
            let record_agrees = entry.holds(&placement.item) == placement.present;
            let record_is_current = *since + MAX_RECORD_LAG <= now;
            !(record_agrees && record_is_current) && *since + max_age > now
        });
        self.models = self.entry.models.clone();
        for (placement, _) in &self.placements {
            placement.apply(&mut self.models);
        }
    }

    pub(super) fn view(&self, peer_requests: u32, load: ServerLoad) -> BackendView {
        let entry = &self.entry;
        let item = |model, adapter: Option<&SmolStr>| ResidentItem {
            model: routing_name(&entry.service, model),
            version: SmolStr::default(),
            adapter: adapter.cloned(),
        };
        let mut resident = Vec::new();
        if self.models.is_empty() {
            resident.push((item(None, None), 0));
        }
        for model in &self.models {
            resident.push((item(Some(&model.name), None), 0));
            let adapters = model.adapters.iter();
            resident.extend(adapters.map(|adapter| (item(Some(&model.name), Some(adapter)), 0)));
        }
        BackendView {
            name: entry.id.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
            software: entry.software.clone(),
            slots: entry.slots,
            report: LoadReport {
                running: peer_requests,
                token_us: TOKEN_US,
                resident,
                leaving: entry.leaving,
                ..LoadReport::default()
            },
            reported_at: None,
            in_flight: self.handle.in_flight(),
            sent_since_report: 0,
            suspected_down: self.handle.is_suspected(),
            leaving: entry.leaving,
            load,
        }
    }
}
