//! The budget of loads from the weight store, with planners that take over from each other and orders that are carried
//! out late, lost or refused.

use std::time::{Duration, Instant};

use foxtailhill::relay::{LoadBudget, LoadCeiling, OrderKey};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Longest delay of an order without an answer.
const MAX_DELAY_MS: u64 = 13_000;
const STEP_MS: u64 = 20;

fn key(engine: usize, expected_orders: u64) -> OrderKey {
    OrderKey {
        server: format!("e{engine}").into(),
        born_ms: 1,
        expected_orders,
    }
}

fn fill_for(budget: &mut LoadBudget, rate: f64, from: Instant, length: Duration) -> Instant {
    let mut now = from;
    while now < from + length {
        now += Duration::from_millis(STEP_MS);
        budget.fill(rate, now);
    }
    now
}

/// An order whose load begins at a time, and when its planner learns of that.
struct LateOrder {
    key: OrderKey,
    begins_ms: u64,
    known_ms: u64,
    planner: usize,
}

/// Plays planners that order as many loads as they may, and returns when loads began, in ms. A part `late` of the orders
/// gets no answer and begins up to `MAX_DELAY_MS` later. Planners take over at the times in `hand_overs`.
fn play(seed: u64, rate: f64, late: f64, hand_overs: &[u64], length_ms: u64) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut budget = LoadBudget::default();
    budget.take_over(start);
    let (mut planner, mut engine) = (0, 0);
    let mut begun = Vec::new();
    let mut open: Vec<LateOrder> = Vec::new();
    let mut idle_until = 0;
    for ms in (0..length_ms).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(ms);
        if hand_overs.iter().any(|at| (ms..ms + STEP_MS).contains(at)) {
            budget = LoadBudget::default();
            budget.take_over(now);
            planner += 1;
        }
        open.retain(|order| {
            if (ms..ms + STEP_MS).contains(&order.begins_ms) {
                begun.push(order.begins_ms);
            }
            let known = order.known_ms <= ms;
            if known && order.planner == planner {
                budget.note_accepted_orders(&order.key.server, order.key.expected_orders + 1);
            }
            !known
        });
        budget.fill(rate, now);
        if random.random_bool(0.003) {
            idle_until = ms + random.random_range(0..8_000);
        }
        if ms < idle_until {
            continue;
        }
        for _ in 0..budget.available() {
            engine += 1;
            let key = key(engine, 3);
            budget.open(key.clone());
            if !random.random_bool(late) {
                budget.note_begun(&key);
                begun.push(ms);
                continue;
            }
            budget.note_unanswered(&key, now);
            let begins_ms = ms + random.random_range(STEP_MS..MAX_DELAY_MS);
            let known_ms = begins_ms + random.random_range(0..900);
            open.push(LateOrder {
                key,
                begins_ms,
                known_ms,
                planner,
            });
        }
    }
    begun.sort_unstable();
    begun
}

fn assert_within(begun: &[u64], rate: f64, extra: usize, case: &str) {
    let most = LoadCeiling::PLATFORM.max_loads(rate) as usize + extra;
    let window = LoadCeiling::PLATFORM.window.as_millis() as u64;
    for (first, from) in begun.iter().enumerate() {
        let count = begun[first..].iter().filter(|at| **at <= from + window);
        let count = count.count();
        assert!(
            count <= most,
            "{case}: {count} loads from {from} ms, at most {most}"
        );
    }
}

/// Guards against a burst of one window per planner: each hand-over gave a whole window of loads beside its
/// predecessor's.
#[test]
fn loads_stay_within_the_ceiling_over_any_number_of_hand_overs() {
    for rate in [0.4, 1.4, 2.9, 15.0] {
        for seed in 0..40 {
            let mut random = StdRng::seed_from_u64(seed);
            let hand_overs: Vec<u64> = (0..seed).map(|_| random.random_range(0..60_000)).collect();
            let begun = play(seed, rate, 0.0, &hand_overs, 60_000);
            assert_within(&begun, rate, 0, &format!("rate {rate}, seed {seed}"));
        }
    }
}

/// Guards against loads that were counted when they were ordered and began together, beside new ones, seconds later.
#[test]
fn late_loads_stay_within_the_ceiling() {
    for rate in [0.4, 1.4, 2.9, 15.0] {
        for seed in 0..100 {
            let begun = play(seed, rate, 0.6, &[], 60_000);
            assert_within(&begun, rate, 0, &format!("rate {rate}, seed {seed}"));
        }
    }
}

/// Guards against loads that the orders of a killed planner begin beside those of its successor.
#[test]
fn late_loads_of_the_predecessor_stay_within_the_ceiling() {
    for rate in [0.4, 1.4, 2.9, 15.0] {
        for seed in 0..200 {
            let at = StdRng::seed_from_u64(seed).random_range(10_000..40_000);
            let begun = play(seed, rate, 0.6, &[at], 60_000);
            assert_within(&begun, rate, 0, &format!("rate {rate}, seed {seed}"));
        }
    }
}

/// Guards against a budget that stays below its share of the ceiling under constant demand.
#[test]
fn loads_reach_half_of_the_ceiling_under_constant_demand() {
    for rate in [0.4, 1.4, 2.9, 15.0] {
        let per_s = LoadCeiling::PLATFORM.max_loads(rate)
            / 2.0
            / LoadCeiling::PLATFORM.window.as_secs_f64();
        let begun = play(1, rate, 0.0, &[20_000], 60_000);
        let idle = begun.windows(2).map(|pair| pair[1] - pair[0]);
        let idle: u64 = idle.filter(|gap| *gap as f64 > 1_500.0 / per_s).sum();
        let expected = per_s * (60_000 - idle) as f64 / 1_000.0;
        assert!(
            begun.len() as f64 > 0.9 * expected - 2.0,
            "rate {rate}: {} loads, {expected} expected",
            begun.len()
        );
    }
}

/// Guards against loads that wait for each other although no load has begun for a while: after a loss of engines, several
/// are needed at once.
#[test]
fn a_quarter_of_the_ceiling_may_begin_at_once() {
    for rate in [0.4, 1.4, 2.9, 15.0] {
        let start = Instant::now();
        let mut budget = LoadBudget::default();
        budget.take_over(start);
        fill_for(&mut budget, rate, start, Duration::from_secs(40));
        let quarter = LoadCeiling::PLATFORM.max_loads(rate) / 4.0;
        assert!(
            budget.available() >= quarter as usize,
            "rate {rate}: {} loads at once",
            budget.available()
        );
    }
}

/// Guards against a token that is lost with an order that was refused, never sent, or superseded by another order.
#[test]
fn loads_that_never_begin_give_their_tokens_back() {
    let start = Instant::now();
    let mut budget = LoadBudget::default();
    budget.take_over(start);
    let now = fill_for(&mut budget, 2.0, start, Duration::from_secs(20));
    let available = budget.available();
    assert!(available > 0);
    budget.open(key(1, 4));
    assert_eq!(budget.available(), available - 1);
    budget.note_refused(&key(1, 4));
    assert_eq!(budget.available(), available);
    budget.open(key(1, 4));
    budget.note_unanswered(&key(1, 4), now);
    budget.note_refused(&key(1, 4));
    assert_eq!(budget.available(), available - 1, "a copy is under way");
    budget.note_superseded(&key(1, 4));
    assert_eq!(budget.available(), available);
}

/// Guards against two tokens for an order that is sent again, of which the engine carries out one copy.
#[test]
fn copies_of_an_order_take_one_token() {
    let start = Instant::now();
    let mut budget = LoadBudget::default();
    budget.take_over(start);
    let now = fill_for(&mut budget, 2.0, start, Duration::from_secs(20));
    let available = budget.available();
    budget.open(key(1, 4));
    budget.note_unanswered(&key(1, 4), now);
    budget.open(key(1, 4));
    assert_eq!(budget.available(), available - 1);
    budget.note_begun(&key(1, 4));
    budget.note_accepted_orders("e1", 5);
    assert_eq!(budget.available(), available - 1);
}

/// Guards against a reservation that outlives its order, and against a load that began unnoticed and is not counted.
#[test]
fn orders_without_an_answer_lapse_as_begun() {
    let start = Instant::now();
    let mut budget = LoadBudget::default();
    budget.take_over(start);
    let now = fill_for(&mut budget, 2.0, start, Duration::from_secs(20));
    let available = budget.available();
    budget.open(key(1, 4));
    budget.note_unanswered(&key(1, 4), now);
    budget.fill(2.0, now + Duration::from_millis(MAX_DELAY_MS));
    assert_eq!(budget.available(), available - 1);
    budget.fill(2.0, now + Duration::from_millis(MAX_DELAY_MS + 1_000));
    assert_eq!(budget.available(), available);
}

/// Guards against loads before the planner holds the lease.
#[test]
fn nothing_is_available_before_a_planner_takes_over() {
    let start = Instant::now();
    let mut budget = LoadBudget::default();
    fill_for(&mut budget, 2.0, start, Duration::from_secs(20));
    assert_eq!(budget.available(), 0);
    budget.take_over(start + Duration::from_secs(20));
    assert_eq!(budget.available(), 0);
}
