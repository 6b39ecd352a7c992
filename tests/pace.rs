//! Tests of the estimated paces of servers.

use std::time::{Duration, Instant};

use foxtailhill::routing::{MAX_PACE, MIN_PACE, PaceTable, TimingKey, TimingKind};

const GAP: TimingKey = TimingKey {
    kind: TimingKind::Gap,
    route: 1,
};
const CALL: TimingKey = TimingKey {
    kind: TimingKind::Call,
    route: 2,
};
const WORK: Duration = Duration::from_millis(10);

fn record(table: &mut PaceTable, server: u32, key: TimingKey, millis: f64, now: Instant) {
    let time = Duration::from_secs_f64(millis / 1_000.0);
    table.record(server, key, time, WORK, now);
}

/// Records gaps of servers 0 to 9, of which each has the time `millis`, for some rounds.
fn warm_up(
    table: &mut PaceTable,
    millis: impl Fn(u32) -> f64,
    rounds: u32,
    start: Instant,
) -> Instant {
    let mut now = start;
    for _ in 0..rounds {
        for server in 0..10 {
            now += Duration::from_millis(20);
            record(table, server, GAP, millis(server), now);
        }
    }
    now
}

/// Guards against speeds that are not learned.
#[test]
fn speeds_are_learned() {
    let mut table = PaceTable::default();
    let times = |server: u32| {
        if server.is_multiple_of(3) {
            40.0 / 1.7
        } else {
            40.0 / 0.7
        }
    };
    let now = warm_up(&mut table, times, 20, Instant::now());
    let ratio = table.pace(0, now) / table.pace(1, now);
    assert!((1.7..2.8).contains(&ratio), "{ratio}");
    assert_eq!(
        table.pace(77, now),
        1.0,
        "an unknown server has the usual pace"
    );
    let (least, greatest) = table.spread(now).unwrap_or_default();
    assert!(least < 0.9 && greatest > 1.2, "{least} {greatest}");
}

/// Guards against a slow spell that is seen late.
#[test]
fn slow_spell_is_seen_within_a_few_answers() {
    let mut table = PaceTable::default();
    let mut now = warm_up(&mut table, |_| 40.0, 20, Instant::now());
    let before = table.pace(3, now);
    for _ in 0..4 {
        now += Duration::from_millis(300);
        record(&mut table, 3, GAP, 100.0, now);
    }
    let ratio = table.pace(3, now) / before;
    assert!(ratio < 0.6, "{ratio}");
    // And its end.
    for _ in 0..6 {
        now += Duration::from_millis(300);
        record(&mut table, 3, GAP, 40.0, now);
    }
    let ratio = table.pace(3, now) / before;
    assert!(ratio > 0.8, "{ratio}");
}

/// Guards against one bad answer that makes a server look slow.
#[test]
fn one_bad_answer_changes_little() {
    let mut table = PaceTable::default();
    let now = warm_up(&mut table, |_| 40.0, 20, Instant::now());
    for (key, time) in [(GAP, 20_000.0), (GAP, 0.0)] {
        record(&mut table, 3, key, time, now);
        let pace = table.pace(3, now);
        assert!((0.7..1.4).contains(&pace), "{pace}");
    }
}

/// Guards against a server that gets nothing for ever: its pace is bounded and returns to the usual one with age.
#[test]
fn pace_is_bounded_and_forgotten() {
    let mut table = PaceTable::default();
    let mut now = warm_up(&mut table, |_| 40.0, 20, Instant::now());
    for _ in 0..50 {
        record(&mut table, 1, GAP, 40_000.0, now);
        record(&mut table, 2, GAP, 0.001, now);
        record(&mut table, 3, GAP, 40.0, now);
    }
    assert!(table.pace(1, now) >= MIN_PACE);
    assert!(table.pace(2, now) <= MAX_PACE);
    now += Duration::from_secs(60);
    assert!(table.pace(1, now) > 0.9, "{}", table.pace(1, now));
    assert!(table.pace(2, now) < 1.1, "{}", table.pace(2, now));
}

/// Guards against times of different kinds being compared with each other, and against the size of prompts counting as
/// the pace of their servers.
#[test]
fn only_times_of_one_kind_are_compared() {
    let mut table = PaceTable::default();
    let mut now = Instant::now();
    for round in 0..100 {
        now += Duration::from_millis(20);
        record(&mut table, 1, GAP, 40.0, now);
        record(&mut table, 2, CALL, 4_000.0, now);
        let prompt = Duration::from_millis(10 + 10 * (round % 20));
        let key = TimingKey {
            kind: TimingKind::FirstEvent,
            route: 1,
        };
        table.record(3, key, prompt * 3, prompt, now);
    }
    for server in 1..=3 {
        let pace = table.pace(server, now);
        assert!((0.95..1.05).contains(&pace), "{server}: {pace}");
    }
}

/// Guards against daemons that learn nothing from each other, pass on what they heard, or send too much.
#[test]
fn peers_tell_what_they_measured() {
    let (mut one, mut two) = (PaceTable::default(), PaceTable::default());
    let times = |server: u32| if server == 3 { 100.0 } else { 40.0 };
    let now = warm_up(&mut one, times, 20, Instant::now());
    let mut told = Vec::new();
    for _ in 0..3 {
        let news = one.take_news(now);
        assert!(news.len() <= 4);
        two.apply_news(&news, now);
        two.apply_news(&news, now);
        told.extend(news.into_iter().map(|(server, _)| server));
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 10, "all servers are told in turn");
    let (own, heard) = (one.pace(3, now), two.pace(3, now));
    assert!(heard < 0.8, "{own} {heard}");
    assert!(two.take_news(now).is_empty(), "hearsay is not passed on");
    let later = now + Duration::from_secs(1);
    assert!(
        one.take_news(later).is_empty(),
        "old measurements are not news"
    );
}

/// Guards against a peer with wrong measurements that overrides what a daemon sees itself.
#[test]
fn own_measurements_hold_against_one_peer() {
    let mut table = PaceTable::default();
    let now = warm_up(&mut table, |_| 40.0, 20, Instant::now());
    table.apply_news(&[(3, 0)], now);
    assert!(table.pace(3, now) > 0.85, "{}", table.pace(3, now));
}

/// Guards against tables without bound.
#[test]
fn tables_are_bounded() {
    let mut table = PaceTable::default();
    let now = Instant::now();
    for server in 0..5_000 {
        let key = TimingKey {
            kind: TimingKind::Gap,
            route: u64::from(server),
        };
        record(&mut table, server, key, 40.0, now);
        record(&mut table, server, key, 40.0, now);
        table.apply_news(&[(server + 5_000, 100)], now);
    }
    let (servers, kinds) = table.sizes();
    assert!(servers <= 1_200 && kinds <= 1_024, "{servers} {kinds}");
    let later = now + Duration::from_secs(121);
    table.apply_news(&[(1, 100)], later);
    assert!(table.sizes().0 >= 1);
    assert!(table.pace(1, later) != 1.0, "room for new servers is made");
}

/// Guards against reports in pulses that grow beyond their share of the traffic between daemons.
#[test]
fn report_is_small() {
    let news: Vec<(u32, u8)> = vec![(u32::MAX, 255); 4];
    let mut table = PaceTable::default();
    let now = warm_up(&mut table, |_| 40.0, 2, Instant::now());
    assert_eq!(table.take_news(now).len(), news.len());
    let config = bincode::config::standard();
    let size = bincode::serde::encode_to_vec(&news, config).map(|data| data.len());
    assert!(size.is_ok_and(|size| size <= 25));
}
