//! The software versions of the servers of each service.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::relay::fleet::{FleetState, RelayFleet};
use crate::relay::origins::OriginKey;
use crate::relay::version_history::VersionReport;

impl RelayFleet {
    /// Returns whether several software versions of a service are listed or were a moment ago.
    pub fn is_mixed(&self, service: &str, now: Instant) -> bool {
        self.state().versions.is_mixed(service, now)
    }

    /// Returns the only software version of a service that can have served in the last `age`, if that is known.
    pub fn sole_software(&self, service: &str, age: Duration, now: Instant) -> Option<SmolStr> {
        self.state().versions.sole(service, age, now)
    }

    /// Returns the software version of a listed server.
    pub fn software_of(&self, id: &str) -> Option<SmolStr> {
        let state = self.state();
        let server = state.servers.get(id)?;
        Some(server.entry.software.clone())
    }

    /// Returns the software version of `service` that `origin` stands for, if a server with it is listed.
    pub fn find_software(&self, service: &str, origin: OriginKey) -> Option<SmolStr> {
        let state = self.state();
        let entries = state.servers.values().map(|server| &server.entry);
        let mut of_service = entries.filter(|entry| entry.service == service);
        let found = of_service.find(|entry| OriginKey::of(service, &entry.software) == origin);
        found.map(|entry| entry.software.clone())
    }

    /// Returns the listed software of all services with several versions.
    pub fn mixed_origins(&self, now: Instant) -> Vec<OriginKey> {
        let state = self.state();
        if !state.versions.has_mixed(now) {
            return Vec::new();
        }
        let entries = state.servers.values().map(|server| &server.entry);
        let mixed = entries.filter(|entry| state.versions.is_mixed(&entry.service, now));
        let origins = mixed.map(|entry| OriginKey::of(&entry.service, &entry.software));
        origins.collect::<HashSet<_>>().into_iter().collect()
    }

    /// Notes that the whole system starts for the first time.
    pub fn note_first_start(&self) {
        self.state().versions.note_first_start();
    }

    /// Returns what this daemon knows of versions, for its pulses.
    pub fn version_report(&self, now: Instant) -> VersionReport {
        self.state().versions.report(now)
    }

    /// Applies what a peer knows of versions.
    pub fn apply_version_report(&self, report: &VersionReport, now: Instant) {
        self.state().versions.apply(report, now);
    }
}

impl FleetState {
    /// Records the versions that are listed now.
    pub(super) fn update_versions(&mut self, now: Instant) {
        let entries = self.servers.values().map(|server| &server.entry);
        let listed = entries.map(|entry| (&entry.service, &entry.software));
        self.versions.update(listed, now);
    }
}
