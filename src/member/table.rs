//! The membership table as a pure function of the `members` stream.
//!
//! `granted` is what the table reserves for a member and sums to at most [`WHOLE_PPM`]. A member uses
//! `min(granted, target)` of the table that it has applied, which may be older than the log's end. When the
//! target falls, the reservation therefore stays until a `Renew{applied}` proves that the member has applied a
//! table with the lower target.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{LogOffset, VmId};
use crate::member::{MemberRecord, MemberRenewal};

/// The whole of a rate or burst, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Past targets that are kept. A renewal that acknowledges a table older than these reduces no reservation.
const MAX_TARGETS: usize = 1_024;
/// Incarnations that left or expired and are remembered, so that a `Join` that reaches the log late does not make them
/// members again.
const MAX_FORMER: usize = 1_024;
/// Members above which a `Join` is ignored; their target would round to few parts per million.
const MAX_MEMBERS: usize = 10_000;
/// Longest term that a `Join` can ask for.
const MAX_TERM: Duration = Duration::from_secs(24 * 3600);

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub peer: SocketAddr,
    pub term: Duration,
    /// Offset of the `Join`.
    pub joined: LogOffset,
    /// Offset of the newest `Join` or `Renew`.
    pub renewed: LogOffset,
    /// Attempt that the newest `Renew` carries; 0 for the `Join`.
    pub renewal: MemberRenewal,
    /// Parts per million that are reserved for the member.
    pub granted: u32,
}

/// The planner of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePlanner {
    pub vm: VmId,
    /// Offset of the record that made `vm` the planner.
    pub fence: LogOffset,
}

/// A target and the record that set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TargetChange {
    offset: LogOffset,
    target: u32,
}

/// Members, shares and planners at one offset of the `members` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberTable {
    next: LogOffset,
    members: BTreeMap<VmId, MemberEntry>,
    planners: BTreeMap<SmolStr, ZonePlanner>,
    targets: VecDeque<TargetChange>,
    former: VecDeque<VmId>,
    /// Next offset after the newest snapshot record.
    snapshot: LogOffset,
}

impl MemberTable {
    /// Creates the table of an empty stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether all terms and shares are in the ranges that [`Self::apply`] keeps to.
    pub(super) fn is_valid(&self) -> bool {
        let granted = self.members.values().map(|entry| u64::from(entry.granted));
        self.members.len() <= MAX_MEMBERS
            && self.members.values().all(|entry| entry.term <= MAX_TERM)
            && granted.sum::<u64>() <= u64::from(WHOLE_PPM)
    }

    /// Returns the next offset that has not been applied.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the next offset after the newest snapshot record.
    pub fn snapshot(&self) -> LogOffset {
        self.snapshot
    }

    /// Returns the member `vm`.
    pub fn member(&self, vm: VmId) -> Option<&MemberEntry> {
        self.members.get(&vm)
    }

    /// Iterates over the members in order of incarnation.
    pub fn members(&self) -> impl Iterator<Item = (VmId, &MemberEntry)> {
        self.members.iter().map(|(vm, entry)| (*vm, entry))
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the planner of `zone`, the member with the oldest join there.
    pub fn planner(&self, zone: &str) -> Option<ZonePlanner> {
        self.planners.get(zone).copied()
    }

    /// Returns the member with the oldest join of all.
    pub fn oldest(&self) -> Option<VmId> {
        self.members
            .iter()
            .min_by_key(|(_, entry)| entry.joined)
            .map(|(vm, _)| *vm)
    }

    /// Returns the share that each member aims at, in parts per million.
    pub fn target(&self) -> u32 {
        match u32::try_from(self.members.len()) {
            Ok(0) | Err(_) => 0,
            Ok(members) => WHOLE_PPM / members,
        }
    }

    /// Returns the share that `vm` may use once it has applied this table, in parts per million.
    pub fn usable(&self, vm: VmId) -> u32 {
        self.members
            .get(&vm)
            .map_or(0, |entry| entry.granted.min(self.target()))
    }

    /// Applies the record at the next offset; `None` stands for one that cannot be decoded.
    pub fn apply(&mut self, record: Option<&MemberRecord>) {
        let offset = self.next;
        self.next = offset.next();
        match record {
            Some(MemberRecord::Join { .. }) => self.join(offset, record),
            Some(MemberRecord::Renew {
                vm,
                renewal,
                applied,
            }) => {
                // Most records are renewals that change no share; only a reduction frees a part of the share.
                if self.renew(offset, *vm, *renewal, *applied) {
                    self.distribute();
                }
                return;
            }
            Some(MemberRecord::Leave { vm }) => self.remove(*vm),
            Some(MemberRecord::Expire { vm, renewal }) => self.expire(*vm, *renewal),
            Some(MemberRecord::Snapshot { .. }) => self.snapshot = self.next,
            None => {}
        }
        self.record_target(offset);
        self.distribute();
        self.choose_planners(offset);
    }

    fn join(&mut self, offset: LogOffset, record: Option<&MemberRecord>) {
        let Some(MemberRecord::Join {
            vm,
            name,
            zone,
            peer,
            term,
        }) = record
        else {
            return;
        };
        let known = self.members.contains_key(vm) || self.former.contains(vm);
        if known || *term > MAX_TERM || self.members.len() >= MAX_MEMBERS {
            return;
        }
        let entry = MemberEntry {
            name: name.clone(),
            zone: zone.clone(),
            peer: *peer,
            term: *term,
            joined: offset,
            renewed: offset,
            renewal: MemberRenewal(0),
            granted: 0,
        };
        self.members.insert(*vm, entry);
    }

    /// Starts a new term of `vm`. Returns whether its share became smaller.
    fn renew(
        &mut self,
        offset: LogOffset,
        vm: VmId,
        renewal: MemberRenewal,
        applied: LogOffset,
    ) -> bool {
        let ceiling = self.highest_target_since(applied.min(offset));
        let Some(entry) = self.members.get_mut(&vm) else {
            return false;
        };
        entry.renewed = offset;
        entry.renewal = renewal;
        let granted = entry.granted;
        entry.granted = granted.min(ceiling.unwrap_or(granted));
        entry.granted < granted
    }

    fn expire(&mut self, vm: VmId, renewal: LogOffset) {
        if self
            .members
            .get(&vm)
            .is_some_and(|entry| entry.renewed == renewal)
        {
            self.remove(vm);
        }
    }

    fn remove(&mut self, vm: VmId) {
        self.members.remove(&vm);
        if self.former.contains(&vm) {
            return;
        }
        self.former.push_back(vm);
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }

    /// Returns the highest target of any table between the one before `applied` and the present one, or
    /// `None` if the history does not reach back that far.
    fn highest_target_since(&self, applied: LogOffset) -> Option<u32> {
        let mut highest = 0;
        for change in self.targets.iter().rev() {
            highest = highest.max(change.target);
            if change.offset < applied {
                return Some(highest);
            }
        }
        None
    }

    fn record_target(&mut self, offset: LogOffset) {
        let target = self.target();
        if self.targets.back().map(|change| change.target) == Some(target) {
            return;
        }
        self.targets.push_back(TargetChange { offset, target });
        if self.targets.len() > MAX_TARGETS {
            self.targets.pop_front();
        }
    }

    /// Assigns the unreserved part to members below their target, the oldest join first.
    fn distribute(&mut self) {
        let target = self.target();
        let held: u32 = self.members.values().map(|entry| entry.granted).sum();
        let mut free = WHOLE_PPM.saturating_sub(held);
        let mut below_target: Vec<&mut MemberEntry> = self
            .members
            .values_mut()
            .filter(|entry| entry.granted < target)
            .collect();
        below_target.sort_by_key(|entry| entry.joined);
        for entry in below_target {
            let part = free.min(target - entry.granted);
            entry.granted += part;
            free -= part;
        }
    }

    fn choose_planners(&mut self, offset: LogOffset) {
        let mut oldest: BTreeMap<&SmolStr, (LogOffset, VmId)> = BTreeMap::new();
        for (vm, entry) in &self.members {
            let candidate = (entry.joined, *vm);
            let first = oldest.entry(&entry.zone).or_insert(candidate);
            *first = candidate.min(*first);
        }
        let planners = oldest.into_iter().map(|(zone, (_, vm))| {
            let present = self.planners.get(zone).copied();
            let planner = present
                .filter(|planner| planner.vm == vm)
                .unwrap_or(ZonePlanner { vm, fence: offset });
            (zone.clone(), planner)
        });
        self.planners = planners.collect();
    }
}
