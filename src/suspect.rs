//! Suspect requests: those whose backend server died while it ran them.
//!
//! A suspect under which a second backend server dies goes into quarantine. A suspect is retried apart
//! from others: each backend server runs at most one at a time.
//!
//! A server whose calls failed is not a suspect in this sense. It is suspected to be down, see
//! [`BackendView::suspected_down`](crate::routing::BackendView::suspected_down).

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::ids::KeyDigest;
use crate::peer::SuspectNotice;

/// Deaths after which a request is in quarantine.
pub const QUARANTINE_DEATHS: u32 = 2;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// No backend server died under it.
    Clear,
    /// It may run on a server that runs no other suspect.
    Suspect,
    /// It must not run before this time.
    Quarantined(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    deaths: u32,
    /// End of the suspicion or, from [`QUARANTINE_DEATHS`] on, of the quarantine.
    until: Instant,
}

/// Table of suspects with a bounded size. Its functions take the time as an argument.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    capacity: usize,
    suspects: HashMap<KeyDigest, Suspect>,
    /// Suspects in the order in which they expire. When the table is full, the first one is evicted.
    ends: BTreeSet<(Instant, KeyDigest)>,
    /// The suspect in flight on each backend server.
    reservations: HashMap<SmolStr, KeyDigest>,
}

impl SuspectTable {
    /// Creates a table of up to `capacity` suspects.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            suspects: HashMap::new(),
            ends: BTreeSet::new(),
            reservations: HashMap::new(),
        }
    }

    /// Returns whether a request may run.
    pub fn verdict(&self, fingerprint: &KeyDigest, now: Instant) -> SuspectVerdict {
        match self.suspects.get(fingerprint) {
            Some(suspect) if suspect.until > now => suspect.verdict(),
            _ => SuspectVerdict::Clear,
        }
    }

    /// Records that a backend server died under a request. The suspicion or quarantine lasts for `quarantine`
    /// from now. Returns the notice for peers.
    pub fn record_death(
        &mut self,
        fingerprint: KeyDigest,
        quarantine: Duration,
        now: Instant,
    ) -> SuspectNotice {
        let deaths = self.deaths(&fingerprint, now).saturating_add(1);
        self.set(fingerprint, deaths, now + quarantine);
        SuspectNotice {
            fingerprint,
            deaths,
        }
    }

    /// Records that a request completed, which clears a suspect. Returns the notice for peers if it was one.
    ///
    /// It does not end a quarantine: the copy that completed may have been sent before the second death.
    pub fn record_completion(
        &mut self,
        fingerprint: &KeyDigest,
        now: Instant,
    ) -> Option<SuspectNotice> {
        let suspect = self.verdict(fingerprint, now) == SuspectVerdict::Suspect;
        (suspect && self.clear(fingerprint)).then_some(SuspectNotice {
            fingerprint: *fingerprint,
            deaths: 0,
        })
    }

    /// Applies a notice from a peer.
    pub fn apply_notice(&mut self, notice: SuspectNotice, quarantine: Duration, now: Instant) {
        let known = self.deaths(&notice.fingerprint, now);
        if notice.deaths == 0 {
            self.record_completion(&notice.fingerprint, now);
        } else if notice.deaths > known {
            self.set(notice.fingerprint, notice.deaths, now + quarantine);
        }
    }

    /// Reserves a backend server for a suspect. Returns `false` if another suspect runs there.
    pub fn reserve(&mut self, server: &SmolStr, fingerprint: KeyDigest) -> bool {
        if self.reservations.contains_key(server) {
            return false;
        }
        self.reservations.insert(server.clone(), fingerprint);
        true
    }

    /// Returns the backend servers that are reserved for a suspect.
    pub fn reserved_servers(&self) -> impl Iterator<Item = &SmolStr> {
        self.reservations.keys()
    }

    /// Returns whether a backend server is reserved for a suspect.
    pub fn is_reserved(&self, server: &SmolStr) -> bool {
        self.reservations.contains_key(server)
    }

    /// Ends the reservation of [`SuspectTable::reserve`], however the request ended.
    pub fn release(&mut self, server: &SmolStr, fingerprint: &KeyDigest) {
        if self.reservations.get(server) == Some(fingerprint) {
            self.reservations.remove(server);
        }
    }

    /// Removes suspects whose suspicion or quarantine has ended.
    pub fn expire(&mut self, now: Instant) {
        while let Some((until, fingerprint)) = self.ends.first().copied() {
            if until > now {
                return;
            }
            self.clear(&fingerprint);
        }
    }

    /// Returns the numbers of suspects that may run and of requests in quarantine.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let live = self.suspects.values().filter(|suspect| suspect.until > now);
        live.fold((0, 0), |(suspects, quarantined), suspect| {
            match suspect.verdict() {
                SuspectVerdict::Quarantined(_) => (suspects, quarantined + 1),
                _ => (suspects + 1, quarantined),
            }
        })
    }

    fn deaths(&self, fingerprint: &KeyDigest, now: Instant) -> u32 {
        match self.suspects.get(fingerprint) {
            Some(suspect) if suspect.until > now => suspect.deaths,
            _ => 0,
        }
    }

    fn set(&mut self, fingerprint: KeyDigest, deaths: u32, until: Instant) {
        self.clear(&fingerprint);
        if self.suspects.len() >= self.capacity
            && let Some((_, oldest)) = self.ends.first().copied()
        {
            self.clear(&oldest);
        }
        self.suspects.insert(fingerprint, Suspect { deaths, until });
        self.ends.insert((until, fingerprint));
    }

    fn clear(&mut self, fingerprint: &KeyDigest) -> bool {
        match self.suspects.remove(fingerprint) {
            Some(suspect) => self.ends.remove(&(suspect.until, *fingerprint)),
            None => false,
        }
    }
}

impl Suspect {
    fn verdict(self) -> SuspectVerdict {
        if self.deaths >= QUARANTINE_DEATHS {
            SuspectVerdict::Quarantined(self.until)
        } else {
            SuspectVerdict::Suspect
        }
    }
}
