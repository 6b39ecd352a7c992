//! Which connections give way to others, decided without a network.

use std::time::{Duration, Instant};

use foxtailhill::eviction::{BodyRate, ClientWait, MIN_WAIT, choose_oldest, choose_victims};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HEAD_TIME: Duration = Duration::from_secs(5);
const IDLE_TIME: Duration = Duration::from_secs(60);

fn wait(since: Instant, limit: Duration) -> Option<ClientWait> {
    Some(ClientWait { since, limit })
}

/// Guards against closing a connection that is in use, however many others want its place.
#[test]
fn connections_in_use_never_give_way() {
    let now = Instant::now() + Duration::from_secs(3_600);
    let connections = (0..100).map(|number| (number, None));
    assert!(choose_victims(connections, 100, now).is_empty());
}

/// Guards against closing a connection whose client has had no time to send anything.
#[test]
fn short_waits_say_nothing_of_a_client() {
    let start = Instant::now();
    let connections = [(1, wait(start, HEAD_TIME))];
    let early = start + MIN_WAIT - Duration::from_millis(1);
    assert!(choose_victims(connections, 1, early).is_empty());
    assert_eq!(choose_victims(connections, 1, start + MIN_WAIT), [1]);
}

/// Guards against closing a kept connection of a caller that behaves before one whose client sends its head slowly.
#[test]
fn slow_heads_give_way_before_idle_connections() {
    let start = Instant::now();
    let idle = wait(start, IDLE_TIME);
    let slow = wait(start + Duration::from_secs(9), HEAD_TIME);
    let now = start + Duration::from_secs(10);
    // The head has used a fifth of its time, the idle connection a sixth.
    assert_eq!(choose_victims([(1, idle), (2, slow)], 1, now), [2]);
    let now = start + Duration::from_secs(59);
    assert_eq!(choose_victims([(1, idle), (2, slow)], 2, now), [2, 1]);
}

/// The load of a crowd that holds all connections: new callers displace those that have waited longest, so that each new one
/// has at least the shortest wait to send its request.
#[test]
fn new_callers_displace_the_oldest_of_a_crowd() {
    let start = Instant::now();
    let step = Duration::from_millis(10);
    let crowd = (0..200_u32).map(|number| (number, wait(start + step * number, HEAD_TIME)));
    let now = start + step * 200;
    let victims = choose_victims(crowd, 50, now);
    assert_eq!(victims, (0..50).collect::<Vec<u32>>());
}

/// The load of callers that keep all connections busy: the oldest ones make room, and none that has just been opened.
#[test]
fn oldest_connections_make_room_if_all_are_busy() {
    let start = Instant::now();
    let step = Duration::from_millis(100);
    let busy = (0..20_u32).map(|number| (number, start + step * (19 - number)));
    let now = start + step * 20;
    assert_eq!(choose_oldest(busy.clone(), 3, now), [19, 18, 17]);
    let old = choose_oldest(busy, 20, now);
    assert!(old.iter().all(|number| *number >= 4), "{old:?}");
    assert_eq!(old.len(), 16);
}

/// Compares with a plain model: sort all, and take the first ones.
#[test]
fn victims_are_those_of_the_model() {
    let seed = 48;
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let now = start + Duration::from_secs(100);
    for _ in 0..500 {
        let connections: Vec<(usize, Option<ClientWait>)> = (0..random.random_range(0..60))
            .map(|number| {
                let since = now - Duration::from_millis(random.random_range(0..3_000));
                let limit = Duration::from_millis(random.random_range(1..90_000));
                let is_waiting = random.random_range(0..4) > 0;
                (number, is_waiting.then_some(ClientWait { since, limit }))
            })
            .collect();
        let count = random.random_range(0..70);
        let used = |wait: &ClientWait| (now - wait.since).as_secs_f64() / wait.limit.as_secs_f64();
        let mut expected: Vec<(f64, usize)> = connections
            .iter()
            .filter_map(|(number, wait)| wait.as_ref().map(|wait| (number, wait)))
            .filter(|(_, wait)| now - wait.since >= MIN_WAIT)
            .map(|(number, wait)| (used(wait), *number))
            .collect();
        expected.sort_by(|a, b| b.0.total_cmp(&a.0));
        expected.truncate(count);
        let expected: Vec<usize> = expected.into_iter().map(|(_, number)| number).collect();
        assert_eq!(choose_victims(connections, count, now), expected);
    }
}

/// Guards against a rate that a body within its time limit does not reach.
#[test]
fn lowest_rate_is_that_of_the_longest_body() {
    let rate = BodyRate::new(1 << 20, Duration::from_secs(20));
    assert!(!rate.is_above(1 << 20, Duration::from_secs(20)));
    assert!(!rate.is_above(1 << 19, Duration::from_secs(10)));
    assert!(rate.is_above((1 << 19) - 1, Duration::from_secs(10)));
    assert!(rate.is_above(500, Duration::from_millis(500)));
}
