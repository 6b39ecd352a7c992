//! Applies this daemon's shares of the requests to cold servers.

use std::time::Instant;

use smol_str::SmolStr;

use crate::relay::fleet::RelayFleet;

impl RelayFleet {
    /// Sets this daemon's share of the requests to each cold server. `share` returns the requests in any second and until
    /// when they may be used, given a server's service and id, or `None` if the service has no bound.
    pub fn set_cold_shares(&self, share: impl Fn(&SmolStr, &SmolStr) -> Option<(u32, Instant)>) {
        let state = self.state();
        let servers = state.servers.values();
        for server in servers.filter(|server| server.handle.is_cold()) {
            match share(&server.entry.service, &server.entry.id) {
                Some((requests, until)) => server.handle.set_cold_share(requests, until),
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
