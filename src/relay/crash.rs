//! Distinguishes requests that may have crashed their backend server from requests whose connection merely broke.
//!
//! A connection counts as broken if it was closed or reset, or if the answer timed out or could not be read. Link
//! failures, resets and malformed answers cause this too. A request whose connection broke therefore counts as a
//! possible cause of a crash only if the server then restarts, or disappears without having announced that it leaves.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::dispatch::{CoreParts, RequestCore};
use crate::ids::KeyDigest;
use crate::relay::exchange::QUARANTINE_TIME;
use crate::relay::fleet::RelayFleet;

/// Time within which a crash of a server must become known after the connection of a request to it broke: three
/// heartbeats until its record expires, plus the delay until this daemon reads that.
const CONFIRM_TIME: Duration = Duration::from_secs(8);
/// Maximum number of requests with a broken connection that are kept per server, to which several daemons send at
/// the same time.
const MAX_REQUESTS: usize = 128;

/// Requests whose connection broke, by server, until it is known whether the server crashed.
#[derive(Debug, Default)]
pub struct CrashDetector {
    broken_requests: Mutex<HashMap<SmolStr, Vec<(KeyDigest, Instant)>>>,
}

impl CrashDetector {
    /// Creates a detector without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the connection to `server` broke, or that the answer timed out, while it may have run `request`.
    pub fn record_broken(&self, server: &SmolStr, request: KeyDigest, now: Instant) {
        let mut broken_requests = self.broken_requests();
        let requests = broken_requests.entry(server.clone()).or_default();
        requests.retain(|(_, at)| *at + CONFIRM_TIME > now);
        if requests.len() < MAX_REQUESTS {
            requests.push((request, now));
        }
    }

    /// Reports to `core` the requests whose connection broke on servers that have crashed since the last call.
    pub fn report<P: CoreParts>(&self, fleet: &RelayFleet, core: &RequestCore<P>, now: Instant) {
        for server in fleet.take_crashed() {
            for request in self.take_requests(&server, now) {
                core.record_death(request, QUARANTINE_TIME);
            }
        }
        self.expire(now);
    }

    /// Takes the requests whose connection to a crashed server broke, without duplicates.
    fn take_requests(&self, server: &str, now: Instant) -> Vec<KeyDigest> {
        let mut requests = self.broken_requests().remove(server).unwrap_or_default();
        requests.retain(|(_, at)| *at + CONFIRM_TIME > now);
        let mut requests: Vec<KeyDigest> =
            requests.into_iter().map(|(request, _)| request).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// Removes requests whose server did not crash within [`CONFIRM_TIME`].
    fn expire(&self, now: Instant) {
        self.broken_requests().retain(|_, requests| {
            requests.retain(|(_, at)| *at + CONFIRM_TIME > now);
            !requests.is_empty()
        });
    }

    fn broken_requests(&self) -> MutexGuard<'_, HashMap<SmolStr, Vec<(KeyDigest, Instant)>>> {
        self.broken_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
