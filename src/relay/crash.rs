//! Tells requests that may have crashed their backend server from those that were merely cut off.
//!
//! A broken connection alone says little: links, resets and faulty answers break them too. Only when the server then
//! restarts or goes without notice do the requests that broke off there count as ones under which a server died.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::dispatch::{CoreParts, RequestCore};
use crate::ids::KeyDigest;
use crate::relay::exchange::QUARANTINE_TIME;
use crate::relay::fleet::RelayFleet;

/// Time in which the end of a server must show after a request broke off there: three heartbeats until its record
/// lapses, and the way to this daemon.
const CONFIRM_TIME: Duration = Duration::from_secs(8);
/// Requests that are remembered per server: more than one daemon sends to it at once.
const MAX_REQUESTS: usize = 128;

/// Requests that broke off, by server, until it is known what became of the server.
#[derive(Debug, Default)]
pub struct CrashDetector {
    broken_requests: Mutex<HashMap<SmolStr, Vec<(KeyDigest, Instant)>>>,
}

impl CrashDetector {
    /// Creates a watch that knows of no broken request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request broke off at `server`.
    pub fn record_broken(&self, server: &SmolStr, request: KeyDigest, now: Instant) {
        let mut broken_requests = self.broken_requests();
        let requests = broken_requests.entry(server.clone()).or_default();
        requests.retain(|(_, at)| *at + CONFIRM_TIME > now);
        if requests.len() < MAX_REQUESTS {
            requests.push((request, now));
        }
    }

    /// Reports the requests that broke off at servers which have ended since the last call to `core`.
    pub fn report<P: CoreParts>(&self, fleet: &RelayFleet, core: &RequestCore<P>, now: Instant) {
        for server in fleet.take_ended() {
            for request in self.take_requests(&server, now) {
                core.record_death(request, QUARANTINE_TIME);
            }
        }
        self.expire(now);
    }

    /// Takes the requests that broke off at a server of which it is now known that it has ended, each once.
    fn take_requests(&self, server: &str, now: Instant) -> Vec<KeyDigest> {
        let mut requests = self.broken_requests().remove(server).unwrap_or_default();
        requests.retain(|(_, at)| *at + CONFIRM_TIME > now);
        let mut requests: Vec<KeyDigest> =
            requests.into_iter().map(|(request, _)| request).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// Forgets requests whose server did not end in time.
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
