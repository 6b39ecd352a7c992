//! Applies what answers show of the identity of servers to the list.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::relay::fleet::{FleetState, RelayFleet};
use crate::relay::identity::AddressClaim;
use crate::routing::ServerStanding;

/// Shortest time from a failed attempt at a server that has never answered to the next attempt at such a server of the
/// same service.
const TRIAL_GAP: Duration = Duration::from_millis(500);

/// Number of servers by standing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StandingCounts {
    pub unproven: usize,
    pub displaced: usize,
}

impl RelayFleet {
    /// Notes that the server `id` answered a request that was sent to `address` at `asked`.
    pub fn note_answer(&self, id: &SmolStr, address: SocketAddr, asked: Instant) {
        let mut state = self.state();
        let is_new = state.identities.note_answer(address, id, asked);
        // Most answers come from a server that is known to be alone at its address.
        if !is_new && !state.contested.contains(&address) {
            return;
        }
        if state.update_standings() {
            self.publish(&mut state, Instant::now());
        }
    }

    /// Notes that an attempt at the server `id` failed at `address`, other than because the server was full. If it has never
    /// answered, the servers at its address get no requests for a while, and the others of its service that have not answered
    /// either get none for a shorter time, so that few requests fail however many there are. Those whose records are renewed
    /// only wait for such as themselves.
    pub fn note_failed_trial(&self, id: &str, address: SocketAddr) {
        let now = Instant::now();
        let mut state = self.state();
        let state = &mut *state;
        let Some(server) = state.servers.get(id) else {
            return;
        };
        if server.handle.standing() == ServerStanding::Proven {
            return;
        }
        let service = server.entry.service.clone();
        let was_renewed = server.handle.is_renewed();
        state.identities.note_failure(address, now);
        let of_service = state.servers.values();
        let mut of_service = of_service.filter(|server| server.entry.service == service);
        let has_proven = of_service.any(|server| {
            server.handle.standing() == ServerStanding::Proven && server.may_be_sent_to()
        });
        for (id, server) in &mut state.servers {
            if server.handle.standing() != ServerStanding::Unproven {
                continue;
            }
            let claim = AddressClaim {
                id,
                address: server.entry.address,
                since: server.placed_at,
            };
            if claim.address == address
                && let Some(until) = state.identities.paused_until(claim)
            {
                server.suspend_until(until);
            } else if has_proven
                && server.entry.service == service
                && (was_renewed || !server.handle.is_renewed())
            {
                server.suspend_until(now + TRIAL_GAP);
            }
        }
    }

    /// Returns the numbers of servers that have not answered, and of those whose address belongs to another server.
    pub fn standing_counts(&self) -> StandingCounts {
        let state = self.state();
        let standings = state
            .servers
            .values()
            .map(|server| server.handle.standing());
        let mut counts = StandingCounts::default();
        for standing in standings {
            match standing {
                ServerStanding::Proven => {}
                ServerStanding::Unproven => counts.unproven += 1,
                ServerStanding::Displaced => counts.displaced += 1,
            }
        }
        counts
    }

    /// Returns whether a listed server is not to be found at its address: another one answers there, or connections are
    /// refused. One that comes back there holds nothing of what it held.
    pub fn is_absent(&self, id: &str) -> bool {
        let state = self.state();
        let Some(server) = state.servers.get(id) else {
            return false;
        };
        match server.handle.standing() {
            ServerStanding::Proven | ServerStanding::Unproven => server.is_refusing,
            ServerStanding::Displaced => true,
        }
    }
}

impl FleetState {
    /// Derives the standing of each server from the claims in the list and the answers. Returns whether any has changed.
    pub(super) fn update_standings(&mut self) -> bool {
        let mut claimed = HashSet::new();
        self.contested.clear();
        for server in self.servers.values() {
            if !claimed.insert(server.entry.address) {
                self.contested.insert(server.entry.address);
            }
        }
        self.identities.retain(|address| claimed.contains(&address));
        let mut is_changed = false;
        for (id, server) in &self.servers {
            let address = server.entry.address;
            let claim = AddressClaim {
                id,
                address,
                since: server.placed_at,
            };
            let standing = self.identities.standing(claim, |holder| {
                let holder = self.servers.get(holder);
                holder.is_some_and(|holder| holder.entry.address == address)
            });
            let previous = server.handle.set_standing(standing);
            if previous == standing {
                continue;
            }
            is_changed = true;
            server.update_suspected();
            if standing == ServerStanding::Displaced {
                log::warn!(
                    "server {id} gets no requests, as another server answers at its address {address}"
                );
            }
        }
        is_changed
    }
}
