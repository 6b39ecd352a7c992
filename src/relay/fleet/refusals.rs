//! Applies refused connections to the servers of the list.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Instant;

use smol_str::SmolStr;

use crate::blame::ServerStart;
use crate::relay::fleet::{FleetState, RelayFleet};
use crate::relay::refusing::{ProbeOutcome, RefusalReport};

/// Maximum number of probes that begin at a time.
const MAX_PROBES: usize = 64;

/// A server to which a connection is to be opened, to find out whether it accepts connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerProbe {
    pub id: SmolStr,
    pub start: ServerStart,
    pub address: SocketAddr,
}

impl RelayFleet {
    /// Notes that a server refused a connection. It and all others that are listed at its address get no requests until they
    /// accept a connection or start anew.
    pub fn connect_refused(&self, id: &str, address: SocketAddr, now: Instant) {
        let mut state = self.state();
        let Some(server) = state.servers.get(id) else {
            return;
        };
        // The refusal may be that of an earlier start, whose record has been replaced since.
        if server.entry.address != address {
            return;
        }
        let servers = state.servers.values();
        let servers = servers.filter(|server| server.entry.address == address);
        let servers: Vec<_> = servers
            .map(|server| (server.entry.id.clone(), server.start))
            .collect();
        let mut is_new = false;
        for (id, start) in servers {
            if state.refusals.note_refused(start, now) {
                log_refusing(&id);
                is_new = true;
            }
        }
        if is_new {
            state.update_refusing(now);
            self.refusal_found.notify_one();
        }
    }

    /// Notes that a connection to a server broke. The server is probed, as it may have crashed.
    pub fn connection_broke(&self, id: &str, now: Instant) {
        let mut state = self.state();
        if let Some(start) = state.servers.get(id).map(|server| server.start) {
            state.refusals.note_broken(start, now);
        }
    }

    /// Notes that a server accepted a connection that was opened at `at`.
    pub fn connect_accepted(&self, id: &str, at: Instant) {
        let now = Instant::now();
        let mut state = self.state();
        let Some(server) = state.servers.get(id) else {
            return;
        };
        let start = server.start;
        if state.refusals.note_accepted(start, at) {
            log::info!("server {id} accepts connections again");
            state.update_refusing(now);
            self.publish(&mut state, now);
        }
    }

    /// Applies peers' reports of servers that refuse connections. Returns how many of them close a server that this daemon
    /// would have used.
    pub fn apply_refusal_reports(&self, reports: &[RefusalReport], now: Instant) -> usize {
        if reports.is_empty() {
            return 0;
        }
        let mut state = self.state();
        let state = &mut *state;
        let mut used = 0;
        for report in reports {
            let mut servers = state.servers.values();
            // A report of another start, or of a server that is not listed, means nothing here.
            let Some(server) = servers.find(|server| server.start == report.server) else {
                continue;
            };
            if state.refusals.apply_report(*report, now) {
                log::info!(
                    "server {} refuses connections, as another daemon found",
                    server.entry.id
                );
                used += 1;
            }
        }
        if used > 0 {
            state.update_refusing(now);
        }
        used
    }

    /// Returns the reports that each pulse repeats.
    pub fn refusal_reports(&self, now: Instant) -> Vec<RefusalReport> {
        self.state().refusals.reports(now)
    }

    /// Waits for findings that peers have not been told, and takes them. Several within a few milliseconds are taken
    /// together. May be cancelled without loss.
    pub async fn take_refusal_reports(&self) -> Vec<RefusalReport> {
        loop {
            let due = self.state().refusals.untold_due();
            match due {
                Some(due) if due <= Instant::now() => {
                    let reports = self.state().refusals.take_untold(Instant::now());
                    if !reports.is_empty() {
                        return reports;
                    }
                }
                Some(due) => tokio::time::sleep_until(due.into()).await,
                None => self.refusal_found.notified().await,
            }
        }
    }

    /// Takes the servers that are to be probed now. The outcome of each must be passed to [`Self::end_probe`].
    pub fn take_probes(&self, now: Instant) -> Vec<ServerProbe> {
        let mut state = self.state();
        let due = state.refusals.take_probes(MAX_PROBES, now);
        if due.is_empty() {
            return Vec::new();
        }
        let servers = state.servers.values();
        let servers = servers.filter(|server| due.contains(&server.start));
        let servers = servers.map(|server| ServerProbe {
            id: server.entry.id.clone(),
            start: server.start,
            address: server.entry.address,
        });
        servers.collect()
    }

    /// Notes the outcome of a probe that was begun at `begun`.
    pub fn end_probe(&self, probe: &ServerProbe, outcome: ProbeOutcome, begun: Instant) {
        let now = Instant::now();
        let mut state = self.state();
        if !state.refusals.end_probe(probe.start, outcome, begun, now) {
            return;
        }
        state.update_refusing(now);
        if state.refusals.is_refusing(probe.start, now) {
            log_refusing(&probe.id);
            self.refusal_found.notify_one();
        } else {
            log::info!("server {} accepts connections again", probe.id);
            self.publish(&mut state, now);
        }
    }

    /// Returns the servers that get no requests because they refuse connections.
    pub fn refusing_servers(&self) -> Vec<SmolStr> {
        let state = self.state();
        let servers = state.servers.values();
        let servers = servers.filter(|server| server.is_refusing);
        servers.map(|server| server.entry.id.clone()).collect()
    }
}

impl FleetState {
    /// Sets for each server whether it gets no requests because it refuses connections.
    pub(super) fn update_refusing(&mut self, now: Instant) {
        for server in self.servers.values_mut() {
            server.is_refusing = self.refusals.is_refusing(server.start, now);
            server.update_suspected();
        }
    }

    /// Forgets what no longer matters of refused connections, and updates the servers.
    pub(super) fn expire_refusals(&mut self, now: Instant) {
        let starts: HashSet<_> = self.servers.values().map(|server| server.start).collect();
        self.refusals.expire(now, |start| starts.contains(&start));
        self.update_refusing(now);
    }
}

fn log_refusing(id: &str) {
    log::warn!(
        "server {id} refuses connections and gets no requests until it accepts one or starts anew"
    );
}
