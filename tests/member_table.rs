//! Differential test of the membership table against a reference model, and the bound on shares in use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bolero::generator::*;
use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::member::{MemberRecord, MemberRenewal, MemberTable, WHOLE_PPM};

/// Bytes of generated input; enough for the longest list of records.
const MAX_INPUT: usize = 4_096;

/// One generated record: kind, member, argument.
type Op = (u8, u8, u8);

const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];

fn record(op: Op, offset: u64) -> Option<MemberRecord> {
    let (kind, member, argument) = op;
    let vm = VmId(u64::from(member % 12));
    // Arguments name recent offsets, so that many expiries and acknowledgements take effect and many do not.
    let recent = LogOffset((offset + 1).saturating_sub(u64::from(argument % 24)));
    Some(match kind % 16 {
        0..=4 => MemberRecord::Join {
            vm,
            name: format!("vm-{vm}").into(),
            zone: ZONES[usize::from(member) % 3].into(),
            peer: ([10, 0, 0, member], 7_000).into(),
            term: Duration::from_secs(30),
        },
        5..=11 => MemberRecord::Renew {
            vm,
            renewal: MemberRenewal(u64::from(argument)),
            applied: recent,
        },
        12 => MemberRecord::Leave { vm },
        13 | 14 => MemberRecord::Expire {
            vm,
            renewal: recent,
        },
        _ => return None,
    })
}

/// Recomputes everything from vectors that keep the whole history.
#[derive(Default)]
struct ReferenceTable {
    /// (member, zone, joined, renewed, granted) in join order.
    members: Vec<(VmId, String, u64, u64, u32)>,
    gone: BTreeSet<VmId>,
    /// Target after each offset.
    targets: Vec<u32>,
    planners: BTreeMap<String, (VmId, u64)>,
}

impl ReferenceTable {
    fn apply(&mut self, record: Option<&MemberRecord>) {
        let offset = self.targets.len() as u64;
        match record {
            Some(MemberRecord::Join { vm, zone, .. }) => {
                let known = self.members.iter().any(|member| member.0 == *vm);
                if !known && !self.gone.contains(vm) {
                    self.members
                        .push((*vm, zone.to_string(), offset, offset, 0));
                }
            }
            Some(MemberRecord::Renew { vm, applied, .. }) => self.renew(*vm, applied.0, offset),
            Some(MemberRecord::Leave { vm }) => {
                self.members.retain(|member| member.0 != *vm);
                self.gone.insert(*vm);
            }
            Some(MemberRecord::Expire { vm, renewal }) => {
                let newest = |member: &&(VmId, String, u64, u64, u32)| {
                    member.0 == *vm && member.3 == renewal.0
                };
                if self.members.iter().any(|member| newest(&member)) {
                    self.members.retain(|member| member.0 != *vm);
                    self.gone.insert(*vm);
                }
            }
            _ => {}
        }
        self.finish(offset);
    }

    fn renew(&mut self, vm: VmId, applied: u64, offset: u64) {
        // Tables that the member may have used: the table before `applied` is the one after `applied - 1`.
        let first = usize::try_from(applied.min(offset)).unwrap_or(usize::MAX);
        let ceiling = match first {
            0 => WHOLE_PPM,
            _ => self.targets[first - 1..].iter().copied().max().unwrap_or(0),
        };
        for member in &mut self.members {
            if member.0 == vm {
                member.3 = offset;
                member.4 = member.4.min(ceiling);
            }
        }
    }

    fn finish(&mut self, offset: u64) {
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let target = WHOLE_PPM.checked_div(count).unwrap_or(0);
        self.targets.push(target);
        for index in 0..self.members.len() {
            let held: u32 = self.members.iter().map(|member| member.4).sum();
            let want = target.saturating_sub(self.members[index].4);
            self.members[index].4 += want.min(WHOLE_PPM - held);
        }
        let mut planners = BTreeMap::new();
        for (vm, zone, ..) in self.members.iter().rev() {
            let fence = match self.planners.get(zone) {
                Some((planner, fence)) if planner == vm => *fence,
                _ => offset,
            };
            planners.insert(zone.clone(), (*vm, fence));
        }
        self.planners = planners;
    }
}

fn assert_same(table: &MemberTable, reference: &ReferenceTable) {
    let mut expected: Vec<(VmId, u64, u64, u32)> = reference
        .members
        .iter()
        .map(|(vm, _, joined, renewed, granted)| (*vm, *joined, *renewed, *granted))
        .collect();
    expected.sort_unstable();
    let actual: Vec<(VmId, u64, u64, u32)> = table
        .members()
        .map(|(vm, entry)| (vm, entry.joined.0, entry.renewed.0, entry.granted))
        .collect();
    assert_eq!(actual, expected);
    for zone in ZONES {
        let planner = table
            .planner(zone)
            .map(|planner| (planner.vm, planner.fence.0));
        assert_eq!(
            planner,
            reference.planners.get(zone).copied(),
            "planner of {zone}"
        );
    }
}

/// Adds up the largest share that each member can be using, over all tables since its newest acknowledgement.
fn most_in_use(history: &[MemberTable], acknowledged: &BTreeMap<VmId, u64>) -> u64 {
    let Some(newest) = history.last() else {
        return 0;
    };
    let most = |vm: VmId| {
        let first = usize::try_from(acknowledged.get(&vm).copied().unwrap_or(0)).unwrap_or(0);
        let views = &history[first.min(history.len() - 1)..];
        views
            .iter()
            .map(|table| u64::from(table.usable(vm)))
            .max()
            .unwrap_or(0)
    };
    newest.members().map(|(vm, _)| most(vm)).sum()
}

/// Guards against a table that differs from the rules, for records in any order, repeated ones and ones without effect.
#[test]
fn table_matches_the_reference_model() {
    bolero::check!()
        .with_generator(produce::<Vec<Op>>().with().len(0usize..400))
        .with_max_len(MAX_INPUT)
        .for_each(|ops| {
            let (mut table, mut reference) = (MemberTable::new(), ReferenceTable::default());
            for (offset, op) in (0..).zip(ops) {
                let record = record(*op, offset);
                table.apply(record.as_ref());
                reference.apply(record.as_ref());
                assert_same(&table, &reference);
                let granted: u32 = table.members().map(|(_, entry)| entry.granted).sum();
                assert!(granted <= WHOLE_PPM);
            }
        });
}

/// Guards against shares in use that sum above the whole while members lag behind the log by different amounts.
#[test]
fn shares_in_use_never_exceed_the_whole() {
    bolero::check!()
        .with_generator(produce::<Vec<Op>>().with().len(0usize..120))
        .with_max_len(MAX_INPUT)
        .for_each(|ops| {
            let mut history = vec![MemberTable::new()];
            let mut acknowledged = BTreeMap::new();
            for (offset, op) in (0..).zip(ops) {
                let record = record(*op, offset);
                let mut table = history[history.len() - 1].clone();
                table.apply(record.as_ref());
                history.push(table);
                if let Some(MemberRecord::Renew { vm, applied, .. }) = record {
                    let applied = applied.0.min(offset);
                    let newest = acknowledged.entry(vm).or_insert(applied);
                    *newest = applied.max(*newest);
                }
                assert!(most_in_use(&history, &acknowledged) <= u64::from(WHOLE_PPM));
            }
        });
}

/// Guards against a daemon that starts from a snapshot and then differs from one that replayed everything.
#[test]
fn a_table_survives_its_encoding() {
    bolero::check!()
        .with_generator((
            produce::<Vec<Op>>().with().len(0usize..200),
            produce::<Vec<Op>>().with().len(0usize..100),
        ))
        .with_max_len(MAX_INPUT)
        .for_each(|(before, after)| {
            let mut table = MemberTable::new();
            for (offset, op) in (0..).zip(before) {
                table.apply(record(*op, offset).as_ref());
            }
            let snapshot = MemberRecord::Snapshot {
                table: Box::new(table.clone()),
            };
            let data = snapshot.encode().expect("encodes");
            let Ok(MemberRecord::Snapshot { table: mut copy }) = MemberRecord::decode(&data) else {
                panic!("a snapshot decodes to a snapshot");
            };
            for (offset, op) in (table.next().0..).zip(after) {
                let record = record(*op, offset);
                table.apply(record.as_ref());
                copy.apply(record.as_ref());
            }
            assert_eq!(table, *copy);
        });
}
