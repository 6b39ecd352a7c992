//! The planner's lease: one holder at a time, also through pauses, lost answers and late writes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::relay::{LeaseCandidate, LeaseRecord, LeaseState, LeaseStep};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ORDER_DELAY: Duration = Duration::from_secs(3);

/// A store with one record, written under a condition, whose writes may be carried out late.
#[derive(Default)]
struct ModelStore {
    state: LeaseState,
    late: VecDeque<(Instant, LogOffset, LeaseRecord)>,
}

impl ModelStore {
    fn write(&mut self, at: LogOffset, record: &LeaseRecord) -> bool {
        if self.state.next != at {
            return false;
        }
        self.state = LeaseState {
            record: Some(record.clone()),
            next: at.next(),
        };
        true
    }

    fn carry_out_late(&mut self, now: Instant) {
        while self.late.front().is_some_and(|(at, _, _)| *at <= now) {
            if let Some((_, at, record)) = self.late.pop_front() {
                self.write(at, &record);
            }
        }
    }
}

fn term(name: &str) -> LeaseCandidate {
    LeaseCandidate::new(name.into(), VmId::random(), ORDER_DELAY)
}

/// Lets a daemon read and write once; returns whether it holds the lease.
fn round(term: &mut LeaseCandidate, store: &mut ModelStore, now: Instant) -> bool {
    if term.must_read(now) {
        term.observe(store.state.clone(), now, now);
    }
    if let LeaseStep::Write { at, record } = term.step(now) {
        match store.write(at, &record) {
            true => term.wrote(at, record, now),
            false => term.lapse(),
        }
    }
    term.fence(now).is_some()
}

/// Guards against a long gap at the first start, when no holder can have given orders.
#[test]
fn first_candidate_holds_the_lease_at_once() {
    let (mut first, mut second) = (term("a"), term("b"));
    let mut store = ModelStore::default();
    let now = Instant::now();
    assert!(round(&mut first, &mut store, now));
    assert!(!round(&mut second, &mut store, now));
}

/// Guards against a holder that is replaced although it renews.
#[test]
fn renewed_lease_stays() {
    let (mut first, mut second) = (term("a"), term("b"));
    let mut store = ModelStore::default();
    let start = Instant::now();
    for step in 0..100 {
        let now = start + Duration::from_millis(900) * step;
        assert!(round(&mut first, &mut store, now), "step {step}");
        assert!(!round(&mut second, &mut store, now), "step {step}");
    }
}

/// Guards against orders of two holders within the delay of an order.
#[test]
fn silent_holder_is_replaced_after_its_orders_have_arrived() {
    let (mut first, mut second) = (term("a"), term("b"));
    let mut store = ModelStore::default();
    let start = Instant::now();
    assert!(round(&mut first, &mut store, start));
    let mut now = start;
    while !round(&mut second, &mut store, now) {
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

/// Guards against a wait of seconds when the holder's own VM comes back: orders of one VM need no order among them.
#[test]
fn restarted_holder_goes_on_with_a_higher_fence() {
    let mut store = ModelStore::default();
    let now = Instant::now();
    assert!(round(&mut term("a"), &mut store, now));
    let mut again = term("a");
    assert!(round(
        &mut again,
        &mut store,
        now + Duration::from_millis(300)
    ));
    assert_eq!(again.fence(now + Duration::from_millis(300)), Some(2));
}

/// Guards against two holders at a time, and orders of two that mix, under lost and late writes and pauses.
#[test]
fn holders_never_mix_under_lost_and_late_writes() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut store = ModelStore::default();
        let mut terms: Vec<LeaseCandidate> = ["a", "b", "c"].into_iter().map(term).collect();
        let start = Instant::now();
        let mut paused = [start; 3];
        // Holder and time of the last order, and its fencing number.
        let mut last: Option<(usize, Instant, u64)> = None;
        for step in 0..600 {
            let now = start + Duration::from_millis(100) * step;
            store.carry_out_late(now);
            let index = random.random_range(0..3);
            if paused[index] > now {
                continue;
            }
            if random.random_bool(0.01) {
                paused[index] = now + Duration::from_millis(random.random_range(500..9_000));
                continue;
            }
            let term = &mut terms[index];
            if term.must_read(now) && random.random_bool(0.8) {
                term.observe(store.state.clone(), now, now);
            }
            if let LeaseStep::Write { at, record } = term.step(now) {
                match random.random_range(0..10) {
                    0 => {
                        let late = now + Duration::from_millis(random.random_range(200..6_000));
                        store.late.push_back((late, at, record));
                        store.late.make_contiguous().sort_by_key(|(at, _, _)| *at);
                        term.note_unsure();
                    }
                    1 => term.note_unsure(),
                    2 => {
                        store.write(at, &record);
                        term.note_unsure();
                    }
                    _ => match store.write(at, &record) {
                        true => term.wrote(at, record, now),
                        false => term.lapse(),
                    },
                }
            }
            for (index, term) in terms.iter().enumerate() {
                let Some(fence) = term.fence(now).filter(|_| paused[index] <= now) else {
                    continue;
                };
                if let Some((holder, at, newest)) = last
                    && holder != index
                {
                    assert!(
                        at + ORDER_DELAY <= now,
                        "seed {seed}: orders of two holders mix"
                    );
                    assert!(
                        fence > newest,
                        "seed {seed}: the fencing number did not grow"
                    );
                }
                last = Some((index, now, fence));
            }
        }
        assert!(last.is_some(), "seed {seed}: nobody ever held the lease");
    }
}
