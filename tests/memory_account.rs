//! The account of the memory that callers make the process hold.

use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::eviction::{BodyRate, MIN_WAIT};
use foxtailhill::memory::{EVICT_IDLE, MemoryAccount, MemoryLease, SMALL_BYTES};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MIB: usize = 1 << 20;

/// Guards against memory that is not returned: a lost lease shrinks the account for ever.
#[test]
fn dropped_leases_return_their_bytes() {
    let account = MemoryAccount::new(MIB);
    let now = Instant::now();
    let mut lease = account.lease_body(100_000, now).expect("room");
    assert!(lease.resize(300_000));
    assert_eq!(account.used(), 300_000);
    lease.complete();
    let held = lease.hold(Bytes::from_static(b"body"));
    let copy = held.clone();
    drop(held);
    assert_eq!(account.used(), 300_000, "a copy still holds the bytes");
    drop(copy);
    assert_eq!(account.used(), 0);
}

/// Guards against large bodies that shut out ordinary requests.
#[test]
fn memory_is_reserved_for_small_bodies_and_answers() {
    let account = MemoryAccount::new(MIB);
    let now = Instant::now();
    let mut large = Vec::new();
    while let Some(lease) = account.lease_body(128 << 10, now) {
        large.push(lease);
    }
    assert_eq!(account.used(), MIB / 8 * 6);
    let mut answer = account.lease_answer();
    assert!(answer.resize(MIB / 8));
    assert!(!answer.resize(MIB / 8 + 1));
    let small: Vec<_> = (0..MIB / 8 / SMALL_BYTES)
        .map(|_| account.lease_body(SMALL_BYTES, now).expect("the reserve"))
        .collect();
    assert_eq!(account.used(), MIB);
    assert!(account.lease_body(1, now).is_none());
    drop(small);
    let mut grown = account.lease_body(SMALL_BYTES, now).expect("the reserve");
    assert!(
        !grown.resize(SMALL_BYTES + 1),
        "a body that grows large may not use the reserve"
    );
}

/// Guards against evicting bodies that arrive, and against evicting small ones before large ones.
#[test]
fn largest_stalled_bodies_are_evicted_first() {
    let account = MemoryAccount::new(MIB);
    let start = Instant::now();
    let small = account.lease_body(100_000, start).expect("room");
    let large = account.lease_body(330_000, start).expect("room");
    let active = account.lease_body(340_000, start).expect("room");
    let now = start + EVICT_IDLE;
    active.note_received(1, now);
    assert!(account.lease_body(300_000, now).is_none());
    assert!(account.evict_for(300_000, now));
    assert_eq!(
        [&small, &large, &active].map(MemoryLease::is_evicted),
        [false, true, false]
    );
    drop(large);
    assert!(account.lease_body(300_000, now).is_some());
}

/// Guards against giving up bodies without use: no eviction makes room that is not there.
#[test]
fn nothing_is_evicted_if_it_does_not_make_room() {
    let account = MemoryAccount::new(MIB);
    let start = Instant::now();
    let stalled = account.lease_body(100_000, start).expect("room");
    let mut complete = account.lease_body(600_000, start).expect("room");
    complete.complete();
    assert!(!account.evict_for(500_000, start + Duration::from_secs(60)));
    assert!(!stalled.is_evicted() && !complete.is_evicted());
    assert!(
        !account.evict_for(300_000, start),
        "nothing has stalled yet"
    );
}

/// Guards against a sum that drifts from the leases, or exceeds the capacity, under any order of calls.
#[test]
fn sum_matches_the_leases_and_stays_within_the_capacity() {
    let seed = 7;
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let account = MemoryAccount::new(MIB);
    let mut now = Instant::now();
    let mut leases: Vec<MemoryLease> = Vec::new();
    for _ in 0..20_000 {
        now += Duration::from_millis(random.random_range(0..50));
        let index = random.random_range(0..=leases.len());
        match (random.random_range(0..6), leases.get_mut(index)) {
            (0 | 1, _) => leases.extend(account.lease_body(random.random_range(0..200_000), now)),
            (2, Some(lease)) => {
                lease.resize(random.random_range(0..300_000));
            }
            (3, Some(lease)) => lease.complete(),
            (4, Some(_)) => drop(leases.swap_remove(index)),
            (5, _) => {
                let bytes = random.random_range(0..300_000);
                if account.evict_for(bytes, now) {
                    leases.retain(|lease| !lease.is_evicted());
                    assert!(account.lease_body(bytes, now).is_some());
                }
            }
            _ => {}
        }
        let sum: usize = leases.iter().map(MemoryLease::bytes).sum();
        assert_eq!(account.used(), sum);
        assert!(sum <= MIB, "{sum}");
    }
    drop(leases);
    assert_eq!(account.used(), 0);
}

/// Guards against answers that wait for slow readers without being counted, so that bodies take the same memory again.
#[test]
fn answers_in_memory_are_counted_beyond_the_capacity() {
    let account = MemoryAccount::new(MIB);
    let answer = account.hold_answer(vec![0; 2 * MIB].into());
    assert_eq!(account.used(), 2 * MIB);
    assert!(account.lease_body(1, Instant::now()).is_none());
    drop(answer);
    assert_eq!(account.used(), 0);
    assert!(account.lease_body(1, Instant::now()).is_some());
}

/// The load of a flood: many callers that stop before the end of their bodies. Guards against an account that stays full,
/// so that ordinary requests are refused while the callers are connected.
#[test]
fn ordinary_requests_get_room_during_a_flood() {
    let account = MemoryAccount::new(16 * MIB);
    let start = Instant::now();
    let flood: Vec<_> = (0..300)
        .filter_map(|_| account.lease_body(1_048_000, start))
        .collect();
    assert!(flood.len() < 16, "{}", flood.len());
    assert!(account.lease_body(1_000, start).is_some());
    let now = start + EVICT_IDLE;
    assert!(account.evict_for(300_000, now));
    let kept: Vec<_> = flood
        .into_iter()
        .filter(|lease| !lease.is_evicted())
        .collect();
    assert!(account.lease_body(300_000, now).is_some());
    assert!(!kept.is_empty());
}

/// The load of a crowd that sends small bodies byte by byte, so that none of them stalls: it fills the account, and ordinary
/// requests get room all the same.
#[test]
fn slow_bodies_give_way_to_ordinary_requests() {
    let rate = BodyRate::new(MIB, Duration::from_secs(20));
    let account = MemoryAccount::with_lowest_rate(MIB, rate);
    let start = Instant::now();
    let crowd: Vec<_> = (0..)
        .map_while(|_| account.lease_body(500, start))
        .collect();
    assert!(crowd.len() > 2_000, "{}", crowd.len());
    for step in 1..5_u32 {
        let now = start + MIN_WAIT / 4 * step;
        for lease in &crowd {
            lease.note_received(step as usize, now);
        }
        let is_slow = step == 4;
        assert_eq!(account.evict_for(16 << 10, now), is_slow);
    }
    let staying: Vec<_> = crowd
        .into_iter()
        .filter(|lease| !lease.is_evicted())
        .collect();
    assert!(account.lease_body(16 << 10, start + MIN_WAIT).is_some());
    assert!(
        staying.len() > 1_900,
        "{}: no more than needed",
        staying.len()
    );
}

/// Guards against evicting a body that arrives at the lowest rate, and against evicting a slow one before a stalled one.
#[test]
fn stalled_bodies_are_evicted_before_slow_ones_and_steady_ones_never() {
    let rate = BodyRate::new(MIB, Duration::from_secs(20));
    let account = MemoryAccount::with_lowest_rate(MIB, rate);
    let start = Instant::now();
    let stalled = account.lease_body(100_000, start).expect("room");
    let slow = account.lease_body(300_000, start).expect("room");
    let steady = account.lease_body(300_000, start).expect("room");
    let now = start + Duration::from_secs(2);
    slow.note_received(100_000, now);
    steady.note_received(150_000, now);
    assert!(account.evict_for(100_000, now));
    assert_eq!(
        [&stalled, &slow, &steady].map(MemoryLease::is_evicted),
        [true, false, false]
    );
    drop(stalled);
    assert!(account.evict_for(400_000, now));
    assert!(slow.is_evicted() && !steady.is_evicted());
    drop(slow);
    assert!(
        !account.evict_for(700_000, now),
        "only a steady one is left"
    );
}

/// Guards against an estimate that leaves out what a request returns beside its body, and so evicts more than is needed.
#[test]
fn evicted_bodies_return_the_memory_of_their_requests() {
    let account = MemoryAccount::new(MIB);
    let start = Instant::now();
    let mut requests = Vec::new();
    for _ in 0..2 {
        let mut request = account.lease_answer();
        assert!(request.resize(10_000));
        let body = account.lease_body(400_000 - 20_000, start).expect("room");
        body.note_request(10_000);
        requests.push((request, body));
    }
    let now = start + EVICT_IDLE;
    assert!(account.evict_for(390_000, now));
    let evicted = requests.iter().filter(|(_, body)| body.is_evicted());
    assert_eq!(evicted.count(), 1);
}
