//! The planner's lease has one holder at a time, even with pauses, restarts, lost answers, delayed writes and a store that
//! goes back to an older copy.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::relay::{LeaseCandidate, LeaseRecord, LeaseState, LeaseStep, WriteAnswer};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ORDER_DELAY: Duration = Duration::from_secs(3);

/// A store with the lease's records, written only at the expected offset, whose writes may take effect late. It may go
/// back to an older copy.
#[derive(Default)]
struct SimulatedStore {
    era: StoreEra,
    /// Records by offset, each with the time at which it was written.
    records: Vec<(Instant, LeaseRecord)>,
    delayed: VecDeque<(Instant, LogOffset, LeaseRecord)>,
    /// End of the outage, at which the store comes back from its copy, and the age of the copy.
    restored: Option<(Instant, Duration)>,
}

impl SimulatedStore {
    fn read(&self) -> LeaseState {
        LeaseState {
            record: self.records.last().map(|(_, record)| record.clone()),
            next: LogOffset(self.records.len() as u64),
            era: self.era,
        }
    }

    fn write(&mut self, at: LogOffset, record: &LeaseRecord, now: Instant) -> WriteAnswer {
        let written = at == LogOffset(self.records.len() as u64);
        if written {
            self.records.push((now, record.clone()));
        }
        WriteAnswer {
            written,
            era: self.era,
        }
    }

    fn apply_delayed_writes(&mut self, now: Instant) {
        while self.delayed.front().is_some_and(|(at, _, _)| *at <= now) {
            if let Some((_, at, record)) = self.delayed.pop_front() {
                self.write(at, &record, now);
            }
        }
    }

    /// Begins an outage after which all records younger than `lost` at its end are gone.
    fn begin_drill(&mut self, end: Instant, lost: Duration) {
        self.restored = Some((end, lost));
    }

    fn is_away(&self) -> bool {
        self.restored.is_some()
    }

    fn advance(&mut self, now: Instant) {
        if let Some((end, lost)) = self.restored.filter(|(end, _)| *end <= now) {
            self.restored = None;
            self.era.0 += 1;
            self.records.retain(|(at, _)| *at + lost <= end);
        }
        if !self.is_away() {
            self.apply_delayed_writes(now);
        }
    }
}

fn candidate(name: &str) -> LeaseCandidate {
    LeaseCandidate::new(name.into(), VmId::random(), ORDER_DELAY)
}

/// Lets a daemon read and write once; returns whether it holds the lease.
fn renew(candidate: &mut LeaseCandidate, store: &mut SimulatedStore, now: Instant) -> bool {
    if candidate.needs_read(now) {
        candidate.observe(store.read(), now, now);
    }
    if let LeaseStep::Write(write) = candidate.next_step(now) {
        let answer = store.write(write.at, &write.record, now);
        candidate.handle_answer(write, answer, now);
    }
    candidate.fence(now).is_some()
}

/// Acquires the lease of a store that has no record of it; returns when that was.
fn acquire(candidate: &mut LeaseCandidate, store: &mut SimulatedStore) -> Instant {
    let mut now = Instant::now();
    while !renew(candidate, store, now) {
        now += Duration::from_millis(100);
    }
    now
}

/// Guards against a fleet without a holder at the first start, against a wait beyond that for a holder whose record was
/// lost, and against two holders after it.
#[test]
fn one_candidate_acquires_a_lease_without_a_record() {
    let (mut first, mut second) = (candidate("a"), candidate("b"));
    let mut store = SimulatedStore::default();
    let start = Instant::now();
    let holds = |candidate: &mut LeaseCandidate, store: &mut SimulatedStore, millis| {
        renew(candidate, store, start + Duration::from_millis(millis))
    };
    assert!(!holds(&mut first, &mut store, 0));
    assert!(!holds(&mut second, &mut store, 100));
    assert!(
        !holds(&mut first, &mut store, 5_500),
        "a holder may give orders"
    );
    assert!(holds(&mut first, &mut store, 5_800));
    assert!(!holds(&mut second, &mut store, 5_900));
}

/// Guards against a holder that is replaced although it renews.
#[test]
fn renewed_lease_keeps_its_holder() {
    let (mut first, mut second) = (candidate("a"), candidate("b"));
    let mut store = SimulatedStore::default();
    let start = acquire(&mut first, &mut store);
    for step in 0..100 {
        let now = start + Duration::from_millis(900) * step;
        assert!(renew(&mut first, &mut store, now), "step {step}");
        assert!(!renew(&mut second, &mut store, now), "step {step}");
    }
}

/// Guards against orders of two holders within the delay of an order.
#[test]
fn silent_holder_is_replaced_after_its_orders_have_arrived() {
    let (mut first, mut second) = (candidate("a"), candidate("b"));
    let mut store = SimulatedStore::default();
    let start = acquire(&mut first, &mut store);
    let mut now = start;
    while !renew(&mut second, &mut store, now) {
        now += Duration::from_millis(100);
        assert!(
            now < start + Duration::from_secs(20),
            "nobody took the lease"
        );
    }
    let last = (0..200)
        .map(|step| start + Duration::from_millis(100) * step)
        .filter(|at| first.fence(*at).is_some())
        .max();
    assert!(last.is_some_and(|last| last + ORDER_DELAY <= now));
    assert!(
        second.fence(now) > Some(1),
        "the fencing number did not grow"
    );
}

/// Guards against a wait of seconds when the holder's own process restarts: orders from the same VM may overlap.
#[test]
fn restarted_holder_gets_a_higher_fence_at_once() {
    let mut store = SimulatedStore::default();
    let now = acquire(&mut candidate("a"), &mut store);
    let mut again = candidate("a");
    assert!(renew(
        &mut again,
        &mut store,
        now + Duration::from_millis(300)
    ));
    assert_eq!(again.fence(now + Duration::from_millis(300)), Some(2));
}

/// Guards against a planner that stops for seconds after a drill although nobody else can have held the lease, and against
/// the second use of its number.
#[test]
fn holder_of_lost_records_continues_at_once_with_a_higher_fence() {
    let (mut first, mut second) = (candidate("a"), candidate("b"));
    let mut store = SimulatedStore {
        era: StoreEra(1),
        ..SimulatedStore::default()
    };
    let start = acquire(&mut first, &mut store);
    let before = first.fence(start);
    // All records of the lease are lost.
    store.begin_drill(start, Duration::from_secs(1));
    store.advance(start);
    let now = start + Duration::from_millis(900);
    assert!(!renew(&mut second, &mut store, now));
    renew(&mut first, &mut store, now);
    assert_eq!(first.fence(now), before, "the lease lasts until it expires");
    let now = start + Duration::from_millis(1_800);
    assert!(renew(&mut first, &mut store, now));
    assert!(!renew(&mut second, &mut store, now));
    assert!(first.fence(now) > before);
}

/// Guards against orders under an older record: the VM that it names may have lost the lease to another VM whose record
/// is gone.
#[test]
fn vm_named_by_an_older_record_waits_for_the_holder_of_lost_records() {
    let (mut first, mut second) = (candidate("a"), candidate("b"));
    let mut store = SimulatedStore {
        era: StoreEra(1),
        ..SimulatedStore::default()
    };
    let start = acquire(&mut first, &mut store);
    let mut now = start;
    while !renew(&mut second, &mut store, now) {
        now += Duration::from_millis(100);
    }
    let newest = second.fence(now);
    // Only the first record is left.
    store.begin_drill(now, now - start);
    store.advance(now);
    let last_order = now + Duration::from_millis(2_500);
    let mut again = candidate("a");
    let taken = loop {
        let taken = [&mut first, &mut again].into_iter().find_map(|candidate| {
            renew(candidate, &mut store, now);
            candidate.fence(now)
        });
        if let Some(fence) = taken {
            break fence;
        }
        now += Duration::from_millis(100);
        assert!(
            now < start + Duration::from_secs(60),
            "nobody took the lease"
        );
    };
    assert!(last_order + ORDER_DELAY <= now, "orders of two holders mix");
    assert!(Some(taken) > newest, "the fencing number did not grow");
}

/// Guards against a delayed write of an older era that hides the newest holder, so that its number is given out again.
#[test]
fn late_write_of_an_older_era_gives_nobody_the_lease() {
    let (mut first, mut second, mut third) = (candidate("a"), candidate("b"), candidate("c"));
    let mut store = SimulatedStore {
        era: StoreEra(1),
        ..SimulatedStore::default()
    };
    let start = acquire(&mut first, &mut store);
    for step in 0..3 {
        let now = start + Duration::from_millis(900) * step;
        assert!(renew(&mut first, &mut store, now));
    }
    // The third renewal is delayed until its offset is given out again.
    let mut now = start + Duration::from_millis(2_700);
    let LeaseStep::Write(late) = first.next_step(now) else {
        panic!("the holder does not renew");
    };
    first.note_unconfirmed_write();
    store.begin_drill(now, Duration::from_secs(1));
    store.advance(now);
    while !renew(&mut second, &mut store, now) {
        now += Duration::from_millis(100);
    }
    let held = second.fence(now);
    assert!(store.write(late.at, &late.record, now).written);
    now += Duration::from_millis(900);
    assert!(
        !renew(&mut first, &mut store, now),
        "an older record permits orders"
    );
    let buried = now;
    while !renew(&mut third, &mut store, now) {
        assert!(!renew(&mut first, &mut store, now));
        now += Duration::from_millis(100);
    }
    assert!(buried + ORDER_DELAY <= now, "orders of two holders mix");
    assert!(third.fence(now) > held, "the fencing number did not grow");
}

/// What happens to the store and the daemons in a simulation, besides lost and late writes and pauses.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Drills {
    None,
    /// The store goes back to an older copy, and daemons restart.
    Store,
}

/// Holder of the lease when an order was given.
struct LastOrder {
    /// Index of the VM.
    holder: usize,
    /// Number of restarts of the holder's daemon.
    run: u32,
    at: Instant,
    fence: u64,
}

fn check_holders(seed: u64, drills: Drills, first_era: StoreEra) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut store = SimulatedStore {
        era: first_era,
        ..SimulatedStore::default()
    };
    let names = ["a", "b", "c"];
    let mut candidates: Vec<LeaseCandidate> = names.into_iter().map(candidate).collect();
    let start = Instant::now();
    let mut paused = [start; 3];
    let mut runs = [0_u32; 3];
    let mut last: Option<LastOrder> = None;
    for step in 0..600 {
        let now = start + Duration::from_millis(100) * step;
        store.advance(now);
        if drills == Drills::Store && !store.is_away() && random.random_bool(0.012) {
            let away = Duration::from_millis(random.random_range(0..4_000));
            let lost = away + Duration::from_millis(random.random_range(0..13_000));
            store.begin_drill(now + away, lost);
        }
        let index = random.random_range(0..3);
        if paused[index] > now {
            continue;
        }
        if random.random_bool(0.01) {
            paused[index] = now + Duration::from_millis(random.random_range(500..9_000));
            continue;
        }
        if drills == Drills::Store && random.random_bool(0.01) {
            candidates[index] = candidate(names[index]);
            runs[index] += 1;
        }
        let candidate = &mut candidates[index];
        if candidate.needs_read(now) && random.random_bool(0.8) && !store.is_away() {
            candidate.observe(store.read(), now, now);
        }
        if let LeaseStep::Write(write) = candidate.next_step(now) {
            match random.random_range(0..10) {
                0 => {
                    let late = now + Duration::from_millis(random.random_range(200..6_000));
                    store.delayed.push_back((late, write.at, write.record));
                    store
                        .delayed
                        .make_contiguous()
                        .sort_by_key(|(at, _, _)| *at);
                    candidate.note_unconfirmed_write();
                }
                1 => candidate.note_unconfirmed_write(),
                _ if store.is_away() => candidate.note_unconfirmed_write(),
                2 => {
                    store.write(write.at, &write.record, now);
                    candidate.note_unconfirmed_write();
                }
                _ => {
                    let answer = store.write(write.at, &write.record, now);
                    candidate.handle_answer(write, answer, now);
                }
            }
        }
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(fence) = candidate.fence(now).filter(|_| paused[index] <= now) else {
                continue;
            };
            if let Some(last) = &last {
                if last.holder != index {
                    assert!(
                        last.at + ORDER_DELAY <= now,
                        "seed {seed}: orders of two holders mix"
                    );
                }
                if (last.holder, last.run) != (index, runs[index]) {
                    assert!(
                        fence > last.fence,
                        "seed {seed}: the fencing number did not grow"
                    );
                }
                assert!(
                    fence >= last.fence,
                    "seed {seed}: the fencing number of a holder fell"
                );
            }
            last = Some(LastOrder {
                holder: index,
                run: runs[index],
                at: now,
                fence,
            });
        }
    }
    assert!(last.is_some(), "seed {seed}: nobody ever held the lease");
}

/// Guards against two holders at a time, and overlapping orders of two holders, under lost and late writes and pauses.
#[test]
fn holders_never_overlap_under_lost_and_late_writes() {
    for seed in 0..300 {
        check_holders(seed, Drills::None, StoreEra(0));
    }
}

/// Guards against a fencing number that is given out again, and overlapping orders of two holders, when the store loses
/// the newest records and gives their offsets out again.
#[test]
fn holders_never_overlap_when_the_store_goes_back() {
    for seed in 0..300 {
        check_holders(seed, Drills::Store, StoreEra(1));
    }
}

/// Guards against two holders at a time because a candidate takes the number of an era for proof that nobody has held the
/// lease before.
#[test]
fn holders_never_overlap_wherever_eras_begin() {
    for first_era in [0, 2, 1_000] {
        for seed in 300..600 {
            check_holders(seed, Drills::Store, StoreEra(first_era));
        }
    }
}

/// Guards against a candidate that takes the lease at once from a holder whose record a drill has taken away, in the first
/// era after a store that numbers its eras from 0.
#[test]
fn lease_without_a_record_is_not_taken_from_its_holder() {
    for first_era in [0, 1, 7] {
        let (mut first, mut second) = (candidate("a"), candidate("b"));
        let mut store = SimulatedStore {
            era: StoreEra(first_era),
            ..SimulatedStore::default()
        };
        let now = acquire(&mut first, &mut store);
        // The copy is older than the lease.
        store.begin_drill(now, Duration::from_secs(1));
        store.advance(now);
        assert!(
            !renew(&mut second, &mut store, now),
            "first era {first_era}: two holders"
        );
    }
}
