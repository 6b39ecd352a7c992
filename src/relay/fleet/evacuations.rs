//! Applies evacuations of zones to the servers of the list.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use crate::ids::LogOffset;
use crate::relay::evacuation::ZoneNotice;
use crate::relay::fleet::{FleetState, RelayFleet, server_id_hash};
use crate::relay::follower::{TableChange, TableSink};
use crate::routing::Availability;

/// An evacuated zone, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuatedZone {
    pub zone: SmolStr,
    /// When the first daemon learned of the evacuation.
    pub since: Instant,
    /// Requests that run on servers of the zone, those of peers as of the last publication.
    pub running: u32,
}

impl RelayFleet {
    /// Applies what a peer says of evacuated zones.
    pub fn apply_evacuation_notices(&self, notices: &[ZoneNotice], now: Instant) {
        if notices.is_empty() {
            return;
        }
        let mut state = self.state();
        let mut changed = false;
        for notice in notices {
            changed |= state.evacuations.apply_notice(notice, now);
        }
        if changed {
            state.departures += 1;
            self.publish(&mut state, now);
        }
    }

    /// Returns what peers must know of evacuated zones.
    pub fn evacuation_notices(&self, now: Instant) -> Vec<ZoneNotice> {
        self.state().evacuations.notices(now)
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> Vec<EvacuatedZone> {
        let state = self.state();
        let zones = state.evacuations.evacuated();
        let zones = zones.map(|(zone, since)| EvacuatedZone {
            zone: zone.clone(),
            since,
            running: state.running_in(zone),
        });
        zones.collect()
    }
}

impl FleetState {
    fn running_in(&self, zone: &str) -> u32 {
        let servers = self.servers.values();
        let servers = servers.filter(|server| server.entry.zone == zone);
        let running = servers.map(|server| {
            let peers = self.peer_totals.get(&server_id_hash(&server.entry.id));
            server.handle.in_flight() + peers.copied().unwrap_or(0)
        });
        running.sum()
    }

    /// Sets for each server whether requests may be sent to it.
    pub(super) fn update_availability(&mut self, now: Instant) {
        let has_mixed = self.versions.has_mixed(now);
        for server in self.servers.values() {
            let entry = &server.entry;
            let evacuation = self.evacuations.availability(&entry.zone, now);
            let is_settled =
                !has_mixed || self.versions.settled(&entry.service, &entry.software, now);
            // Other daemons may not know yet that several versions serve.
            let version = match is_settled {
                true => Availability::Open,
                false => Availability::LastResort,
            };
            let availability = evacuation.max(version);
            if server.handle.set_availability(availability) && availability == Availability::Closed
            {
                log::info!(
                    "server {} gets no more requests: its zone {} is evacuated; {} of this daemon run on",
                    server.entry.id,
                    server.entry.zone,
                    server.handle.in_flight()
                );
            }
        }
    }
}

/// Passes evacuations from the operators' table to the fleet.
pub struct EvacuationSink {
    /// What precedes the name of the zone in the key of a record.
    prefix: SmolStr,
    fleet: Arc<RelayFleet>,
}

impl EvacuationSink {
    /// Creates a sink of the records whose keys consist of `prefix` and the name of a zone.
    pub fn new(prefix: &str, fleet: Arc<RelayFleet>) -> Self {
        Self {
            prefix: prefix.into(),
            fleet,
        }
    }

    fn zone(&self, key: &SmolStr) -> Option<SmolStr> {
        let zone = key.strip_prefix(self.prefix.as_str())?;
        (!zone.is_empty()).then(|| zone.into())
    }
}

impl TableSink for EvacuationSink {
    fn apply(&self, change: TableChange) {
        let now = Instant::now();
        let mut state = self.fleet.state();
        let changed = match change {
            TableChange::Unreachable => return,
            TableChange::Snapshot(read) => {
                let records = read.records.iter();
                let records = records.filter(|record| record.value.is_some());
                let mut records: Vec<(SmolStr, LogOffset)> = records
                    .filter_map(|record| Some((self.zone(&record.key)?, record.offset)))
                    .collect();
                // An unreadable record neither begins nor ends an evacuation.
                let unreadable = read.unreadable.iter().filter_map(|key| self.zone(key));
                let kept = unreadable.filter(|zone| state.evacuations.is_evacuated(zone));
                records.extend(kept.map(|zone| (zone, LogOffset::default())));
                state
                    .evacuations
                    .apply_snapshot(&records, read.era, read.next, now)
            }
            TableChange::Records(read) => {
                let mut changed = false;
                for record in &read.records {
                    if let Some(zone) = self.zone(&record.key) {
                        let is_evacuated = record.value.is_some();
                        let offset = record.offset;
                        changed |= state.evacuations.apply_record(
                            &zone,
                            is_evacuated,
                            read.era,
                            offset,
                            now,
                        );
                    }
                }
                changed
            }
        };
        if changed {
            state.departures += 1;
            self.fleet.publish(&mut state, now);
        }
    }
}
