//! Pure state of the `claims` stream.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::claim::{ClaimBatch, ClaimKey, ClaimOutcome, ClaimRecord};
use crate::ids::{KeyDigest, LogOffset, RecordId, VmId};

/// What the table says about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// No valid claim is known.
    Free,
    /// The claim has no outcome yet.
    Open {
        id: RecordId,
        vm: VmId,
        body: KeyDigest,
    },
    /// The claim ran.
    Settled {
        body: KeyDigest,
        outcome: ClaimOutcome,
    },
}

/// What one entry of a batch did. Entries without effect report nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// The claim now holds its key.
    Won {
        id: RecordId,
        vm: VmId,
        key: ClaimKey,
    },
    /// Another claim holds the key.
    Lost { id: RecordId, vm: VmId },
    /// The claim was released.
    Released { id: RecordId },
    /// The outcome was recorded.
    Settled { id: RecordId },
}

#[derive(Clone, Debug)]
struct ClaimHolder {
    id: RecordId,
    vm: VmId,
    body: KeyDigest,
    outcome: Option<ClaimOutcome>,
}

#[derive(Clone, Debug, Default)]
struct KeyEntry {
    holder: Option<ClaimHolder>,
    /// Released claims; a late copy of one must not hold the key again.
    released: Vec<RecordId>,
    /// Time of the newest claim of the key, whether it won or lost; `None` before the first.
    claimed_ms: Option<u64>,
}

/// Time that the stamps of at least two daemons have reached. One wrong clock cannot move it forward.
#[derive(Clone, Copy, Debug, Default)]
struct LogClock {
    newest_vm: Option<VmId>,
    newest_ms: u64,
    agreed_ms: u64,
}

impl LogClock {
    fn record(&mut self, vm: VmId, at_ms: u64) {
        if self.newest_vm == Some(vm) {
            self.newest_ms = self.newest_ms.max(at_ms);
        } else if at_ms > self.newest_ms {
            self.agreed_ms = self.agreed_ms.max(self.newest_ms);
            self.newest_vm = Some(vm);
            self.newest_ms = at_ms;
        } else {
            self.agreed_ms = self.agreed_ms.max(at_ms);
        }
    }
}

/// Claims of the last `memory`, replayed in offset order.
///
/// All daemons drop the same entries because the clock is a function of the records' time stamps. An entry
/// lives for `memory` after the newest claim of its key. Losing claims count as well: a daemon whose replay
/// began later may have seen them win.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    memory_ms: u64,
    clock: LogClock,
    complete_since_ms: u64,
    next: LogOffset,
    entries: HashMap<ClaimKey, KeyEntry>,
    /// Keys by the time of a claim; stale once the entry has a newer claim.
    expiry: BTreeMap<u64, Vec<ClaimKey>>,
}

impl ClaimTable {
    /// Creates an empty table that remembers claims for `memory`.
    pub fn new(memory: Duration) -> Self {
        Self {
            memory_ms: u64::try_from(memory.as_millis()).unwrap_or(u64::MAX),
            clock: LogClock::default(),
            complete_since_ms: 0,
            next: LogOffset(0),
            entries: HashMap::new(),
            expiry: BTreeMap::new(),
        }
    }

    /// Returns the next offset to apply.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the time that two daemons' stamps have reached, in milliseconds since the Unix epoch.
    pub fn clock_ms(&self) -> u64 {
        self.clock.agreed_ms
    }

    /// Returns the time from which the table knows every claim; 0 if it replayed the stream from its start.
    pub fn complete_since_ms(&self) -> u64 {
        self.complete_since_ms
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what is known about `key`.
    pub fn key_state(&self, key: &ClaimKey) -> KeyState {
        let Some(holder) = self
            .entries
            .get(key)
            .and_then(|entry| entry.holder.as_ref())
        else {
            return KeyState::Free;
        };
        match &holder.outcome {
            Some(outcome) => KeyState::Settled {
                body: holder.body,
                outcome: outcome.clone(),
            },
            None => KeyState::Open {
                id: holder.id,
                vm: holder.vm,
                body: holder.body,
            },
        }
    }

    /// Applies the batch at `offset` and returns what it changed, in order.
    ///
    /// Offsets below [`Self::next`] are ignored. A gap means that retention passed the missing records.
    pub fn apply(&mut self, offset: LogOffset, batch: &ClaimBatch) -> Vec<ClaimChange> {
        if offset < self.next {
            return Vec::new();
        }
        let gap = offset > self.next;
        self.next = offset.next();
        self.clock.record(batch.vm, batch.at_ms);
        let at_ms = batch.at_ms.max(self.clock.agreed_ms);
        if gap {
            self.complete_since_ms = self.complete_since_ms.max(at_ms);
        }
        self.expire();
        batch
            .records
            .iter()
            .filter_map(|record| self.apply_record(batch.vm, at_ms, record))
            .collect()
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: LogOffset) {
        self.next = self.next.max(offset.next());
    }

    fn expire(&mut self) {
        let Some(oldest_ms) = self.clock.agreed_ms.checked_sub(self.memory_ms) else {
            return;
        };
        while let Some(slot) = self.expiry.first_entry() {
            if *slot.key() >= oldest_ms {
                return;
            }
            let (claimed_ms, keys) = slot.remove_entry();
            for key in keys {
                let newest = self.entries.get(&key).and_then(|entry| entry.claimed_ms);
                if newest == Some(claimed_ms) {
                    self.entries.remove(&key);
                }
            }
        }
    }

    fn apply_record(&mut self, vm: VmId, at_ms: u64, record: &ClaimRecord) -> Option<ClaimChange> {
        match record {
            ClaimRecord::Claim { id, key, body } => self.claim(vm, at_ms, *id, key, *body),
            ClaimRecord::Release { claim, key } => self.release(*claim, key),
            ClaimRecord::Outcome {
                claim,
                key,
                outcome,
            } => self.settle(*claim, key, outcome),
        }
    }

    fn claim(
        &mut self,
        vm: VmId,
        at_ms: u64,
        id: RecordId,
        key: &ClaimKey,
        body: KeyDigest,
    ) -> Option<ClaimChange> {
        let entry = self.entries.entry(key.clone()).or_default();
        if entry.claimed_ms.is_none_or(|newest| newest < at_ms) {
            entry.claimed_ms = Some(at_ms);
            self.expiry.entry(at_ms).or_default().push(key.clone());
        }
        if entry.released.contains(&id) {
            return None;
        }
        match &entry.holder {
            Some(holder) if holder.id == id => None,
            Some(_) => Some(ClaimChange::Lost { id, vm }),
            None => {
                entry.holder = Some(ClaimHolder {
                    id,
                    vm,
                    body,
                    outcome: None,
                });
                Some(ClaimChange::Won {
                    id,
                    vm,
                    key: key.clone(),
                })
            }
        }
    }

    fn release(&mut self, id: RecordId, key: &ClaimKey) -> Option<ClaimChange> {
        let entry = self.entries.get_mut(key)?;
        let holder = entry.holder.as_ref()?;
        if holder.id != id || holder.outcome.is_some() {
            return None;
        }
        entry.holder = None;
        entry.released.push(id);
        Some(ClaimChange::Released { id })
    }

    fn settle(
        &mut self,
        id: RecordId,
        key: &ClaimKey,
        outcome: &ClaimOutcome,
    ) -> Option<ClaimChange> {
        let holder = self.entries.get_mut(key)?.holder.as_mut()?;
        if holder.id != id || holder.outcome.is_some() {
            return None;
        }
        holder.outcome = Some(outcome.clone());
        Some(ClaimChange::Settled { id })
    }
}
