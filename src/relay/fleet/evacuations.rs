//! Applies evacuations of zones to the servers of the list.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use crate::ids::LogOffset;
use crate::relay::evacuation::ZoneNotice;
use crate::relay::fleet::{FleetState, RelayFleet, server_id_hash};
use crate::relay::follower::{TableChange, TableSink};
use crate::relay::store::KeyedRecord;
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

impl RelayFleet {
    /// Sets this daemon's share of the requests to each cold server. `share` returns the requests in any second, given a
    /// server's service and id, or `None` if the service has no bound. Shares are valid until `until`.
    pub fn set_cold_shares(
        &self,
        until: Instant,
        share: impl Fn(&SmolStr, &SmolStr) -> Option<u32>,
    ) {
        let state = self.state();
        let servers = state.servers.values();
        for server in servers.filter(|server| server.handle.is_cold()) {
            match share(&server.entry.service, &server.entry.id) {
                Some(requests) => server.handle.set_cold_share(requests, until),
                None => server.handle.set_cold(None),
            }
        }
    }

    /// Returns the number of servers that are cold.
    pub fn cold_servers(&self) -> usize {
        let state = self.state();
        let servers = state.servers.values();
        servers.filter(|server| server.handle.is_cold()).count()
    }

    /// Notes that a server refused a request that was sent at `sent` in a way that does not count against its bound while it
    /// is cold.
    pub fn note_uncounted(&self, id: &str, sent: Instant) {
        if let Some(server) = self.state().servers.get(id) {
            server.handle.note_uncounted(sent);
        }
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
        for server in self.servers.values() {
            let availability = self.evacuations.availability(&server.entry.zone, now);
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

    fn zone(&self, record: &KeyedRecord) -> Option<SmolStr> {
        let zone = record.key.strip_prefix(self.prefix.as_str())?;
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
                let records: Vec<(SmolStr, LogOffset)> = records
                    .filter_map(|record| Some((self.zone(record)?, record.offset)))
                    .collect();
                state
                    .evacuations
                    .apply_snapshot(&records, read.era, read.next, now)
            }
            TableChange::Records(read) => {
                let mut changed = false;
                for record in &read.records {
                    if let Some(zone) = self.zone(record) {
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

/// Passes the changes of one table to two sinks, in order.
pub struct PairSink<A, B> {
    first: Arc<A>,
    second: Arc<B>,
}

impl<A, B> PairSink<A, B> {
    /// Creates a sink that passes changes to `first` and then to `second`.
    pub fn new(first: Arc<A>, second: Arc<B>) -> Self {
        Self { first, second }
    }
}

impl<A: TableSink, B: TableSink> TableSink for PairSink<A, B> {
    fn apply(&self, change: TableChange) {
        self.first.apply(change.clone());
        self.second.apply(change);
    }
}
