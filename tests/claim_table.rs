//! `ClaimTable` against a reference model that rescans the whole stream.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::time::Duration;

use bolero::TypeGenerator;
use foxtailhill::claim::{
    ClaimBatch, ClaimKey, ClaimOutcome, ClaimRecord, ClaimTable, KeyState, check_key_age,
    key_time_ms,
};
use foxtailhill::ids::{KeyDigest, LogOffset, RecordId, VmId};

const MEMORY_MS: u64 = 20;

#[derive(Clone, Debug, TypeGenerator)]
enum Entry {
    Claim(#[generator(0..6_u8)] u8),
    Release(#[generator(0..6_u8)] u8),
    Outcome(#[generator(0..6_u8)] u8),
}

#[derive(Clone, Debug, TypeGenerator)]
struct Step {
    #[generator(0..3_u8)]
    vm: u8,
    #[generator(0..80_u8)]
    at_ms: u8,
    entries: Vec<Entry>,
}

/// A claim's id decides its key and body.
fn key(id: u8) -> ClaimKey {
    ClaimKey {
        team: "oliveto".into(),
        key: KeyDigest([id % 2; 32]),
    }
}

fn body(id: u8) -> KeyDigest {
    KeyDigest([id / 4; 32])
}

fn outcome(id: u8) -> ClaimOutcome {
    ClaimOutcome {
        status: u16::from(id),
        content_type: None,
        body: None,
    }
}

fn record(entry: &Entry) -> ClaimRecord {
    match *entry {
        Entry::Claim(id) => ClaimRecord::Claim {
            id: RecordId(id.into()),
            key: key(id),
            body: body(id),
        },
        Entry::Release(id) => ClaimRecord::Release {
            claim: RecordId(id.into()),
            key: key(id),
        },
        Entry::Outcome(id) => ClaimRecord::Outcome {
            claim: RecordId(id.into()),
            key: key(id),
            outcome: outcome(id),
        },
    }
}

/// Second highest of the daemons' newest time stamps.
fn agreed(steps: &[Step]) -> u64 {
    let mut newest: HashMap<u8, u64> = HashMap::new();
    for step in steps {
        let stamp = newest.entry(step.vm).or_default();
        *stamp = (*stamp).max(step.at_ms.into());
    }
    let mut stamps: Vec<u64> = newest.into_values().collect();
    stamps.sort_unstable();
    stamps.iter().rev().nth(1).copied().unwrap_or(0)
}

/// Finds the state of a key by a scan of all steps: holder, its outcome, released ids, newest claim.
fn reference_key_state(steps: &[Step], parity: u8) -> KeyState {
    let mut holder: Option<(u8, u8, bool)> = None;
    let mut released: Vec<u8> = Vec::new();
    let mut newest: Option<u64> = None;
    for (index, step) in steps.iter().enumerate() {
        let clock = agreed(&steps[..=index]);
        if newest.is_some_and(|newest| newest + MEMORY_MS < clock) {
            (holder, newest) = (None, None);
            released.clear();
        }
        for entry in &step.entries {
            match *entry {
                Entry::Claim(id) if id % 2 == parity => {
                    newest = newest.max(Some(clock.max(step.at_ms.into())));
                    if holder.is_none() && !released.contains(&id) {
                        holder = Some((id, step.vm, false));
                    }
                }
                Entry::Release(id) if holder.is_some_and(|h| h.0 == id && !h.2) => {
                    holder = None;
                    released.push(id);
                }
                Entry::Outcome(id) => match &mut holder {
                    Some(holder) if holder.0 == id => holder.2 = true,
                    _ => {}
                },
                _ => {}
            }
        }
    }
    match holder {
        None => KeyState::Free,
        Some((id, _, true)) => KeyState::Settled {
            body: body(id),
            outcome: outcome(id),
        },
        Some((id, vm, false)) => KeyState::Open {
            id: RecordId(id.into()),
            vm: VmId(vm.into()),
            body: body(id),
        },
    }
}

/// Guards against a table that differs from the rules of claims, or applies a batch twice.
#[test]
fn table_matches_the_reference_model() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut table = ClaimTable::new(Duration::from_millis(MEMORY_MS));
        for (index, step) in steps.iter().enumerate() {
            let batch = ClaimBatch {
                id: RecordId(index as u128),
                vm: VmId(step.vm.into()),
                at_ms: step.at_ms.into(),
                records: step.entries.iter().map(record).collect(),
            };
            table.apply(LogOffset(index as u64), &batch);
            assert!(table.apply(LogOffset(index as u64), &batch).is_empty());
            for parity in 0..2 {
                let reference = reference_key_state(&steps[..=index], parity);
                assert_eq!(table.key_state(&key(parity)), reference);
            }
            assert_eq!(table.clock_ms(), agreed(&steps[..=index]));
        }
    });
}

/// Guards against a lost offset: an undecodable record, a repeated one and a gap left by retention.
#[test]
fn offsets_are_applied_once() {
    let mut table = ClaimTable::new(Duration::from_secs(1));
    let batch = |id: u8| ClaimBatch {
        id: RecordId(9),
        vm: VmId(1),
        at_ms: 500,
        records: vec![record(&Entry::Claim(id))],
    };
    table.skip(LogOffset(0));
    assert_eq!(table.apply(LogOffset(1), &batch(0)).len(), 1);
    assert_eq!(table.complete_since_ms(), 0);
    assert!(table.apply(LogOffset(1), &batch(1)).is_empty());
    assert_eq!(table.apply(LogOffset(7), &batch(1)).len(), 1);
    assert_eq!(table.complete_since_ms(), 500);
    assert_eq!(table.next(), LogOffset(8));
    let decoded = ClaimBatch::decode(&batch(3).encode().unwrap()).unwrap();
    assert_eq!(decoded, batch(3));
    assert!(ClaimBatch::decode(b"\xff\xff").is_err());
}

/// Guards against an age read from text that only resembles a UUIDv7.
#[test]
fn only_time_ordered_keys_have_an_age() {
    let key = "018bcfe5-6800-7abc-8def-0123456789ab";
    assert_eq!(key_time_ms(key), Some(1_700_000_000_000));
    assert_eq!(key_time_ms(&key.replace('-', "")), Some(1_700_000_000_000));
    assert_eq!(key_time_ms(&key.to_uppercase()), Some(1_700_000_000_000));
    for other in [
        "018bcfe5-6800-4abc-8def-0123456789ab",
        "018bcfe5-6800-7abc-cdef-0123456789ab",
        "018bcfe56-800-7abc-8def-0123456789ab",
        "018bcfe5-6800-7abc-8def-0123456789a",
        "+18bcfe5-6800-7abc-8def-0123456789ab",
        "",
    ] {
        assert_eq!(key_time_ms(other), None, "{other}");
    }
    let memory = Duration::from_millis(1_000);
    assert!(check_key_age(key, memory, 1_700_000_001_000, 0).is_ok());
    assert!(check_key_age(key, memory, 1_700_000_001_001, 0).is_err());
    assert!(check_key_age(key, memory, 1_700_000_000_000, 1_700_000_000_001).is_err());
}
