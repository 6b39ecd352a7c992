//! The planner's lease has one holder at a time, even with pauses, lost answers and delayed writes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::relay::{LeaseCandidate, LeaseRecord, LeaseState, LeaseStep, LeaseWrite};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ORDER_DELAY: Duration = Duration::from_secs(3);

/// A store with one record, written only at the expected offset, whose writes may take effect late.
#[derive(Default)]
struct SimulatedStore {
    state: LeaseState,
    delayed: VecDeque<(Instant, LogOffset, LeaseRecord)>,
}

impl SimulatedStore {
    fn write(&mut self, at: LogOffset, record: &LeaseRecord) -> bool {
        if self.state.next != at {
            return false;
        }
        self.state = LeaseState {
            record: Some(record.clone()),
            next: at.next(),
            ..LeaseState::default()
        };
        true
    }

    fn apply_delayed_writes(&mut self, now: Instant) {
        while self.delayed.front().is_some_and(|(at, _, _)| *at <= now) {
            if let Some((_, at, record)) = self.delayed.pop_front() {
                self.write(at, &record);
            }
        }
    }
}

fn candidate(name: &str) -> LeaseCandidate {
    LeaseCandidate::new(name.into(), VmId::random(), ORDER_DELAY)
}

/// Lets a daemon read and write once; returns whether it holds the lease.
fn renew(candidate: &mut LeaseCandidate, store: &mut SimulatedStore, now: Instant) -> bool {
    if candidate.needs_read(now) {
        candidate.observe(store.state.clone(), now, now);
    }
    if let LeaseStep::Write(LeaseWrite { at, record, .. }) = candidate.next_step(now) {
        match store.write(at, &record) {
            true => candidate.confirm_write(at, record, now),
            false => candidate.clear_confirmation(),
        }
    }
    candidate.fence(now).is_some()
}

/// Guards against a needless wait at the first start, when no holder can have given orders.
#[test]
fn first_candidate_acquires_a_free_lease_at_once() {
    let (mut first, mut second) = (candidate("a"), candidate("b"));
    let mut store = SimulatedStore::default();
    let now = Instant::now();
    assert!(renew(&mut first, &mut store, now));
    assert!(!renew(&mut second, &mut store, now));
}

/// Guards against a holder that is replaced although it renews.
#[test]
fn renewed_lease_keeps_its_holder() {
    let (mut first, mut second) = (candidate("a"), candidate("b"));
    let mut store = SimulatedStore::default();
    let start = Instant::now();
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
    let start = Instant::now();
    assert!(renew(&mut first, &mut store, start));
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
    let now = Instant::now();
    assert!(renew(&mut candidate("a"), &mut store, now));
    let mut again = candidate("a");
    assert!(renew(
        &mut again,
        &mut store,
        now + Duration::from_millis(300)
    ));
    assert_eq!(again.fence(now + Duration::from_millis(300)), Some(2));
}

/// Guards against two holders at a time, and overlapping orders of two holders, under lost and late writes and pauses.
#[test]
fn holders_never_overlap_under_lost_and_late_writes() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut store = SimulatedStore::default();
        let mut candidates: Vec<LeaseCandidate> =
            ["a", "b", "c"].into_iter().map(candidate).collect();
        let start = Instant::now();
        let mut paused = [start; 3];
        // Holder and time of the last order, and its fencing number.
        let mut last: Option<(usize, Instant, u64)> = None;
        for step in 0..600 {
            let now = start + Duration::from_millis(100) * step;
            store.apply_delayed_writes(now);
            let index = random.random_range(0..3);
            if paused[index] > now {
                continue;
            }
            if random.random_bool(0.01) {
                paused[index] = now + Duration::from_millis(random.random_range(500..9_000));
                continue;
            }
            let candidate = &mut candidates[index];
            if candidate.needs_read(now) && random.random_bool(0.8) {
                candidate.observe(store.state.clone(), now, now);
            }
            if let LeaseStep::Write(LeaseWrite { at, record, .. }) = candidate.next_step(now) {
                match random.random_range(0..10) {
                    0 => {
                        let late = now + Duration::from_millis(random.random_range(200..6_000));
                        store.delayed.push_back((late, at, record));
                        store
                            .delayed
                            .make_contiguous()
                            .sort_by_key(|(at, _, _)| *at);
                        candidate.note_unconfirmed_write();
                    }
                    1 => candidate.note_unconfirmed_write(),
                    2 => {
                        store.write(at, &record);
                        candidate.note_unconfirmed_write();
                    }
                    _ => match store.write(at, &record) {
                        true => candidate.confirm_write(at, record, now),
                        false => candidate.clear_confirmation(),
                    },
                }
            }
            for (index, candidate) in candidates.iter().enumerate() {
                let Some(fence) = candidate.fence(now).filter(|_| paused[index] <= now) else {
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
