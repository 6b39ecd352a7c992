//! Availability zones that operators have evacuated. Performs no I/O; the time is an argument.
//!
//! An operator evacuates a zone with a record in the store and ends the evacuation by deleting it. The store's answer is
//! the acknowledgement, after which all daemons must stop sending to the zone within a few seconds. Readers of the store
//! see the record; other daemons learn of it from pulses. The newest position in the store wins, so an old pulse has no
//! effect.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{LogOffset, StoreEra};
use crate::relay::server_list::ListPosition;
use crate::routing::Availability;

/// Time for which servers of an evacuated zone still get what no other server can take, so that models are loaded
/// elsewhere meanwhile. Operators expect an empty zone 5 s after the acknowledgement; 3 s of that are left for the read
/// of the store, a lost pulse and the transfer of a request.
const LAST_RESORT_TIME: Duration = Duration::from_secs(2);
/// Time after which a restored store has all records of operators again: they write again what it has lost.
const RESTORE_GRACE: Duration = Duration::from_secs(6);

/// What a daemon tells its peers about a zone that is or was evacuated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneNotice {
    pub zone: SmolStr,
    pub is_evacuated: bool,
    /// Position in the store after the record that says so.
    pub position: ListPosition,
    /// Time since the first daemon learned of it.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ZoneState {
    is_evacuated: bool,
    position: ListPosition,
    since: Instant,
}

/// The zones that are or were evacuated.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    zones: BTreeMap<SmolStr, ZoneState>,
    /// Newest era of the store from which records were read, and when it was first seen.
    era: Option<(StoreEra, Instant)>,
}

impl EvacuationTable {
    /// Applies the newest record of a zone, which the store has at `offset`. Returns whether the zone's state changes.
    pub fn apply_record(
        &mut self,
        zone: &SmolStr,
        is_evacuated: bool,
        era: StoreEra,
        offset: LogOffset,
        now: Instant,
    ) -> bool {
        self.enter_era(era, now);
        let position = ListPosition {
            era,
            offset: offset.next(),
        };
        self.update(zone, is_evacuated, position, now)
    }

    /// Applies all records of the store, which has no records at or after `end`: a zone without a record is not evacuated
    /// any more. Returns whether any zone's state changes.
    ///
    /// A store that was restored lately may lack a record, so zones whose record it had before stay evacuated until the
    /// next snapshot or [`Self::expire`].
    pub fn apply_snapshot(
        &mut self,
        records: &[(SmolStr, LogOffset)],
        era: StoreEra,
        end: LogOffset,
        now: Instant,
    ) -> bool {
        self.enter_era(era, now);
        let mut changed = false;
        for (zone, offset) in records {
            changed |= self.apply_record(zone, true, era, *offset, now);
        }
        let missing = self.zones.iter().filter(|(zone, state)| {
            state.is_evacuated
                && state.position.era == era
                && !records.iter().any(|(listed, _)| listed == *zone)
        });
        let missing: Vec<SmolStr> = missing.map(|(zone, _)| zone.clone()).collect();
        for zone in missing {
            changed |= self.update(&zone, false, ListPosition { era, offset: end }, now);
        }
        changed
    }

    /// Applies what a peer says. Returns whether the zone's state changes.
    pub fn apply_notice(&mut self, notice: &ZoneNotice, now: Instant) -> bool {
        self.enter_era(notice.position.era, now);
        let since = now.checked_sub(notice.age).unwrap_or(now);
        self.update(&notice.zone, notice.is_evacuated, notice.position, since)
    }

    /// Ends evacuations whose records a restored store has lost and that were not written again. Returns whether any
    /// zone's state changes.
    pub fn expire(&mut self, now: Instant) -> bool {
        let Some((era, since)) = self.era else {
            return false;
        };
        if since + RESTORE_GRACE > now {
            return false;
        }
        let mut changed = false;
        for (zone, state) in &mut self.zones {
            if state.is_evacuated && state.position.era < era {
                log::info!(
                    "evacuation of zone {zone} ends: the restored store has no record of it"
                );
                state.is_evacuated = false;
                state.position = ListPosition {
                    era,
                    offset: LogOffset::default(),
                };
                state.since = now;
                changed = true;
            }
        }
        changed
    }

    /// Returns whether requests may be sent to servers of `zone`.
    pub fn availability(&self, zone: &str, now: Instant) -> Availability {
        match self.zones.get(zone) {
            Some(state) if state.is_evacuated && state.since + LAST_RESORT_TIME > now => {
                Availability::LastResort
            }
            Some(state) if state.is_evacuated => Availability::Closed,
            _ => Availability::Open,
        }
    }

    /// Returns whether `zone` is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let state = self.zones.get(zone);
        state.is_some_and(|state| state.is_evacuated)
    }

    /// Returns the evacuated zones, each with the time at which the first daemon learned of it.
    pub fn evacuated(&self) -> impl Iterator<Item = (&SmolStr, Instant)> {
        let zones = self.zones.iter();
        let zones = zones.filter(|(_, state)| state.is_evacuated);
        zones.map(|(zone, state)| (zone, state.since))
    }

    /// Returns what peers must know. Ended evacuations are repeated, so that an old notice has no effect on them.
    pub fn notices(&self, now: Instant) -> Vec<ZoneNotice> {
        let zones = self.zones.iter().map(|(zone, state)| ZoneNotice {
            zone: zone.clone(),
            is_evacuated: state.is_evacuated,
            position: state.position,
            age: now.saturating_duration_since(state.since),
        });
        zones.collect()
    }

    fn enter_era(&mut self, era: StoreEra, now: Instant) {
        if self.era.is_none_or(|(known, _)| known < era) {
            self.era = Some((era, now));
        }
    }

    fn update(
        &mut self,
        zone: &SmolStr,
        is_evacuated: bool,
        position: ListPosition,
        since: Instant,
    ) -> bool {
        let known = self.zones.get(zone).copied();
        if known.is_some_and(|known| known.position >= position) {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        // A record that is written again does not begin the evacuation anew.
        let since = match known {
            Some(known) if known.is_evacuated == is_evacuated => known.since.min(since),
            _ => since,
        };
        self.zones.insert(
            zone.clone(),
            ZoneState {
                is_evacuated,
                position,
                since,
            },
        );
        if was_evacuated != is_evacuated {
            let event = match is_evacuated {
                true => "is evacuated",
                false => "is no longer evacuated",
            };
            log::warn!("zone {zone} {event}, record before {position:?} of the store");
        }
        was_evacuated != is_evacuated
    }
}
