//! Which backend server answers at which address. Performs no I/O.
//!
//! A record in the store only claims that a server is to be found at an address; other programs may write such records.
//! An answer of the server shows it. Until then the server is unproven and gets few requests, and it gets none once
//! another listed server answers at its address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::routing::ServerStanding;

/// Time for which servers get no requests after the first failed attempt at their address; it doubles with each one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time without requests after failed attempts.
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// Failures after which the time no longer doubles.
const MAX_DOUBLINGS: u32 = 6;

/// A server's claim to an address, from its record.
#[derive(Clone, Copy, Debug)]
pub struct AddressClaim<'a> {
    pub id: &'a SmolStr,
    pub address: SocketAddr,
    /// When the claim was first read.
    pub since: Instant,
}

/// The server that answered at an address last.
#[derive(Clone, Debug)]
struct AddressHolder {
    id: SmolStr,
    /// When the latest request that it answered was sent.
    asked: Instant,
}

/// Failed attempts at servers that had not answered, at one address.
#[derive(Clone, Copy, Debug)]
struct TrialFailures {
    count: u32,
    /// When the last one failed.
    at: Instant,
    /// Until when servers that claimed the address before get no requests.
    until: Instant,
}

/// The servers that have answered, and the attempts that failed, by address.
#[derive(Debug, Default)]
pub struct IdentityTable {
    holders: HashMap<SocketAddr, AddressHolder>,
    failures: HashMap<SocketAddr, TrialFailures>,
}

impl IdentityTable {
    /// Records that the server `id` answered a request that was sent to `address` at `asked`. Returns whether another
    /// server held the address, or none.
    pub fn note_answer(&mut self, address: SocketAddr, id: &SmolStr, asked: Instant) -> bool {
        match self.holders.get_mut(&address) {
            // Answers may arrive in another order than their requests were sent.
            Some(holder) if holder.asked > asked => false,
            Some(holder) => {
                holder.asked = asked;
                let is_changed = holder.id != *id;
                if is_changed {
                    holder.id = id.clone();
                }
                is_changed
            }
            None => {
                let id = id.clone();
                self.holders.insert(address, AddressHolder { id, asked });
                true
            }
        }
    }

    /// Records that an attempt at a server that had not answered failed at `address`. All servers that claim the address get
    /// no requests for a while, as several records of one program may name it.
    pub fn note_failure(&mut self, address: SocketAddr, now: Instant) {
        let failures = self.failures.entry(address).or_insert(TrialFailures {
            count: 0,
            at: now,
            until: now,
        });
        let pause = FIRST_PAUSE * 2_u32.pow(failures.count.min(MAX_DOUBLINGS));
        *failures = TrialFailures {
            count: failures.count + 1,
            at: now,
            until: now + pause.min(MAX_PAUSE),
        };
    }

    /// Returns until when the server that makes `claim` gets no requests after failed attempts at its address.
    pub fn paused_until(&self, claim: AddressClaim<'_>) -> Option<Instant> {
        let failures = self.failures.get(&claim.address);
        let failures = failures.filter(|failures| failures.at >= claim.since)?;
        Some(failures.until)
    }

    /// Returns the standing of the server that makes `claim`. `is_listed` returns whether a server is listed at the address
    /// of the claim.
    ///
    /// A server takes over the address of one that has ended. So an answer only counts against claims that are older than
    /// its request, and only while the server that gave it is listed.
    pub fn standing(
        &self,
        claim: AddressClaim<'_>,
        is_listed: impl Fn(&SmolStr) -> bool,
    ) -> ServerStanding {
        match self.holders.get(&claim.address) {
            None => ServerStanding::Unproven,
            Some(holder) if holder.id == *claim.id => ServerStanding::Proven,
            Some(holder) if holder.asked >= claim.since && is_listed(&holder.id) => {
                ServerStanding::Displaced
            }
            Some(_) => ServerStanding::Unproven,
        }
    }

    /// Forgets the addresses at which no server is listed.
    pub fn retain(&mut self, is_claimed: impl Fn(SocketAddr) -> bool) {
        self.holders.retain(|address, _| is_claimed(*address));
        self.failures.retain(|address, _| is_claimed(*address));
    }

    /// Returns the number of addresses at which a server has answered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no server has answered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
