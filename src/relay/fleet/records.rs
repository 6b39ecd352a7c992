//! Applies the records of backend servers to the list.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::ids::{LogOffset, StoreEra};
use crate::relay::announcements::server_start;
use crate::relay::fleet::{FleetState, RelayFleet, RemovedServer, ServerState};
use crate::relay::server_list::{ListPosition, ServerChange, ServerEntry};

/// Time after an outage of the store in which servers whose records expired write them again. The same holds for records
/// that the store has lost.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);
/// Time after which a restored store has no records of servers that ended before: three intervals in which servers write
/// their records, and a margin.
const LAPSE_TIME: Duration = Duration::from_secs(6);
/// Number of removed servers kept for daemons that copy the list.
const MAX_REMOVED: usize = 512;

impl RelayFleet {
    /// Returns true once after records were ignored because the store had been restored. A daemon that copies the list
    /// must then copy all of it: its source may have listed the servers by those records, and their later writes are no
    /// change to it.
    pub fn take_resync(&self, now: Instant) -> bool {
        let mut state = self.state();
        if state.is_restored(now) {
            return false;
        }
        std::mem::take(&mut state.has_ignored)
    }
}

impl FleetState {
    /// Returns whether the store was restored lately, so that its records may be older than what is known.
    fn is_restored(&self, now: Instant) -> bool {
        self.restored_at.is_some_and(|at| at + LAPSE_TIME > now)
    }

    /// Notes that changes come from `era`. Returns false if the list is of a newer era, so that they must be ignored.
    fn enter_era(&mut self, era: StoreEra, now: Instant) -> bool {
        match self.era {
            Some(known) if era < known => false,
            Some(known) if era > known => {
                log::info!("the list of servers is from era {era} of the store after {known}");
                self.era = Some(era);
                self.unreachable = false;
                self.reachable_since = Some(now);
                self.restored_at = Some(now);
                // Offsets of the earlier era have no meaning in this one.
                self.position = LogOffset::default();
                // Daemons that copy the list learn of the era.
                self.version += 1;
                true
            }
            _ => {
                self.era = Some(era);
                true
            }
        }
    }

    /// Returns how far the store's records have been read into the list.
    pub(super) fn list_position(&self) -> ListPosition {
        ListPosition {
            era: self.era.unwrap_or_default(),
            offset: self.position,
        }
    }

    /// Applies changes in order, except for those of an earlier era or position than the list's.
    pub(super) fn apply_all(&mut self, changes: Vec<ServerChange>, now: Instant) {
        let mut is_older = false;
        let mut unreadable = Vec::new();
        for change in changes {
            match change {
                ServerChange::Era(era) if !self.enter_era(era, now) => return,
                ServerChange::Era(_) => {}
                ServerChange::Position(offset) => {
                    is_older = offset < self.position;
                    self.position = self.position.max(offset);
                }
                ServerChange::Unreachable => self.unreachable = true,
                ServerChange::Unreadable(ids) => unreadable = ids,
                _ if is_older => self.note_reachable(now),
                ServerChange::Snapshot(entries) => self.replace(entries, &unreadable, now),
                change => self.apply(change, now),
            }
        }
    }

    /// Applies a change that is not older than the list.
    fn apply(&mut self, change: ServerChange, now: Instant) {
        match change {
            // These need the changes around them, and were handled there.
            ServerChange::Era(_)
            | ServerChange::Position(_)
            | ServerChange::Unreachable
            | ServerChange::Unreadable(_)
            | ServerChange::Snapshot(_) => {}
            ServerChange::Expiring(ids) => {
                for id in ids {
                    self.expire_later(&id, now + EXPIRY_GRACE);
                }
            }
            ServerChange::Renewed(starts) => {
                let starts: HashSet<_> = starts.into_iter().collect();
                for server in self.servers.values_mut() {
                    if starts.contains(&server.start) {
                        server.note_renewed(&mut self.version);
                    }
                }
            }
            ServerChange::Put(entry) => {
                self.note_reachable(now);
                self.put(entry, now);
            }
            ServerChange::Removed(id) => {
                self.note_reachable(now);
                match self.servers.get(&id) {
                    // The list that was copied has kept it for long enough.
                    Some(server) if server.expires_at.is_some() => self.remove(&id),
                    _ => self.handle_missing(&id, now),
                }
            }
        }
    }

    /// Makes `entries` the list, except for servers whose records are `unreadable` and those that expire.
    fn replace(&mut self, entries: Vec<ServerEntry>, unreadable: &[SmolStr], now: Instant) {
        self.note_reachable(now);
        let entry_ids = entries.iter().map(|entry| &entry.id);
        let kept: HashSet<SmolStr> = entry_ids.chain(unreadable).cloned().collect();
        for entry in entries {
            self.put(entry, now);
        }
        let ids = self.servers.keys();
        let missing: Vec<SmolStr> = ids.filter(|id| !kept.contains(*id)).cloned().collect();
        for id in missing {
            self.handle_missing(&id, now);
        }
    }

    fn note_reachable(&mut self, now: Instant) {
        if std::mem::take(&mut self.unreachable) {
            self.reachable_since = Some(now);
        }
    }

    /// Lists a server with its record, unless a restored store has an older record than is known.
    fn put(&mut self, entry: ServerEntry, now: Instant) {
        if !self.is_restored(now) {
            self.list(entry, now);
            return;
        }
        match self.servers.get(&entry.id) {
            Some(known) if known.entry.born_ms > entry.born_ms => {
                log::info!(
                    "record of an earlier start of server {} is ignored",
                    entry.id
                );
                self.has_ignored = true;
                self.handle_missing(&entry.id, now);
            }
            Some(known) if known.entry.write_order() > entry.write_order() => {
                log::info!("older record of server {} is ignored", entry.id);
                self.has_ignored = true;
            }
            None if self.has_removed(&entry) => {
                log::info!("record of removed server {} is ignored", entry.id);
                self.has_ignored = true;
            }
            _ => self.list(entry, now),
        }
    }

    /// Returns whether the server was removed when its record was the same or newer.
    fn has_removed(&self, entry: &ServerEntry) -> bool {
        let mut removed = self.removed.iter().rev();
        let last = removed.find(|removed| removed.id == entry.id);
        last.is_some_and(|removed| removed.write_order >= entry.write_order())
    }

    /// Lists a server with its record and what it has announced.
    pub(super) fn list(&mut self, mut entry: ServerEntry, now: Instant) {
        let start = server_start(&entry);
        entry.leaving |= self.announcements.is_leaving(start);
        let known = self.servers.get(&entry.id);
        let is_renewed = known.is_some_and(|server| entry.renews(&server.entry));
        let is_changed = known
            .is_none_or(|server| server.entry.differs_from(&entry) || server.expires_at.is_some());
        self.version += u64::from(is_changed);
        let version = self.version;
        let server = self
            .servers
            .entry(entry.id.clone())
            .or_insert_with(|| ServerState::new(entry.clone(), version, now));
        if server.entry.born_ms != entry.born_ms || server.entry.address != entry.address {
            log::info!("server {} has restarted at {}", entry.id, entry.address);
            server.suspected_until = None;
            server.failures = 0;
            server.placed_at = now;
            server.placements.clear();
            server.is_refusing = false;
            server.handle.set_renewed(false);
            server.update_suspected();
            self.refusals.forget(start);
            self.crashed.push(entry.id.clone());
        }
        if server.entry.leaving != entry.leaving {
            log::info!(
                "server {} of {} now has leaving = {}",
                entry.id,
                entry.service,
                entry.leaving
            );
            self.departures += 1;
        }
        server.handle.set_leaving(entry.leaving);
        if let Some(until) = self.announcements.paused_until(start, now) {
            server.suspend_until(until);
        }
        server.expires_at = None;
        if entry.write_order() != server.entry.write_order() || server.listed_at == now {
            server.note_cold(&entry, now);
        }
        if is_changed {
            server.changed = version;
        }
        server.start = start;
        server.entry = entry;
        server.update_models(now);
        if is_renewed {
            server.note_renewed(&mut self.version);
        }
    }

    /// Removes a server whose record is missing, or keeps it for [`EXPIRY_GRACE`] after an outage of the store in which
    /// the record may have expired or was lost. A server that was first listed after the outage came from an old record
    /// and ended during the outage; it is removed at once.
    fn handle_missing(&mut self, id: &SmolStr, now: Instant) {
        let reachable_since = self
            .reachable_since
            .filter(|back| *back + EXPIRY_GRACE > now);
        let server = self.servers.get(id);
        match (reachable_since, server) {
            (_, Some(server)) if server.expires_at.is_some() => {}
            (Some(back), Some(server)) if server.listed_at < back => {
                self.expire_later(id, back + EXPIRY_GRACE);
            }
            _ => self.remove(id),
        }
    }

    /// Keeps a server whose record is missing until `at`, unless that is decided already. Daemons that copy the list learn
    /// of it.
    fn expire_later(&mut self, id: &SmolStr, at: Instant) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.expires_at.is_none() {
            self.version += 1;
            server.changed = self.version;
            server.expires_at = Some(at);
        }
    }

    pub(super) fn remove(&mut self, id: &SmolStr) {
        if let Some(server) = self.servers.remove(id) {
            self.version += 1;
            self.departures += 1;
            self.refusals.forget(server.start);
            self.removed.push_back(RemovedServer {
                id: id.clone(),
                version: self.version,
                write_order: server.entry.write_order(),
            });
            if self.removed.len() > MAX_REMOVED
                && let Some(oldest) = self.removed.pop_front()
            {
                self.forgotten_version = oldest.version;
            }
            if !server.entry.leaving {
                self.crashed.push(id.clone());
            }
            log::info!("server {id} of {} is gone", server.entry.service);
        }
    }
}
