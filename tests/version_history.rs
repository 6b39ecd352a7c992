//! Versions of software that were listed lately: what a daemon knows from its own list and from its peers' reports.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use foxtailhill::relay::{VersionHistory, VersionNotice, VersionReport};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

const MINUTE: Duration = VersionHistory::MAX_AGE;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn update(history: &mut VersionHistory, listed: &[(&str, &str)], now: Instant) {
    let listed = listed.iter();
    let listed = listed.map(|(service, software)| (SmolStr::new(service), SmolStr::new(software)));
    let listed: Vec<_> = listed.collect();
    let listed = listed.iter();
    history.update(listed.map(|(service, software)| (service, software)), now);
}

#[test]
fn one_version_is_sole_once_known_for_long_enough() {
    let start = Instant::now();
    let mut history = VersionHistory::open(start);
    assert_eq!(history.sole("chat", Duration::ZERO, start), None);
    let first = start + seconds(5);
    update(&mut history, &[("chat", "1"), ("chat", "1")], first);
    assert_eq!(history.sole("chat", Duration::ZERO, first).unwrap(), "1");
    let now = first + seconds(30);
    update(&mut history, &[("chat", "1")], now);
    assert_eq!(history.sole("chat", seconds(30), now).unwrap(), "1");
    assert_eq!(history.sole("chat", seconds(31), now), None);
    assert_eq!(history.sole("code", seconds(30), now), None);
    let now = first + seconds(600);
    assert_eq!(history.sole("chat", MINUTE, now).unwrap(), "1");
    assert_eq!(history.sole("chat", MINUTE + seconds(1), now), None);
    assert!(history.settled("chat", "1", now));
    assert!(!history.is_mixed("chat", now));
    let report = history.report(now);
    assert_eq!(report.known_for_ms, 60_000);
    assert!(report.is_valid());
    assert!(report.mixed.is_empty());
}

#[test]
fn a_version_that_is_gone_counts_for_a_minute() {
    let start = Instant::now();
    let mut history = VersionHistory::open(start);
    update(&mut history, &[("chat", "1"), ("code", "7")], start);
    let changed = start + seconds(100);
    update(&mut history, &[("chat", "2"), ("code", "7")], changed);
    for age in [0, 1, 30, 59, 60] {
        let now = changed + seconds(age);
        update(&mut history, &[("chat", "2"), ("code", "7")], now);
        assert!(history.is_mixed("chat", now));
        assert_eq!(history.sole("chat", seconds(age), now), None);
        let sole = history.sole("chat", seconds(age.saturating_sub(1)), now);
        assert_eq!(sole.is_some(), age > 0, "{age}");
        assert_eq!(history.sole("code", MINUTE, now).unwrap(), "7");
        let report = history.report(now);
        let mut ages: Vec<_> = report.mixed.iter().map(|notice| notice.age_ms).collect();
        ages.sort_unstable();
        assert_eq!(ages, [0, age as u32 * 1_000]);
    }
    let now = changed + seconds(61);
    assert!(!history.is_mixed("chat", now));
    assert_eq!(history.sole("chat", MINUTE, now).unwrap(), "2");
    assert!(history.report(now).mixed.is_empty());
}

#[test]
fn a_new_version_settles_after_the_others() {
    let start = Instant::now();
    let mut history = VersionHistory::open(start);
    update(&mut history, &[("chat", "1")], start);
    assert!(history.settled("chat", "1", start));
    assert!(!history.settled("chat", "2", start), "not listed here yet");
    assert!(history.settled("code", "1", start), "no other version");
    let changed = start + seconds(10);
    update(&mut history, &[("chat", "1"), ("chat", "2")], changed);
    assert!(history.settled("chat", "1", changed));
    assert!(!history.settled("chat", "2", changed + seconds(2)));
    assert!(history.settled("chat", "2", changed + seconds(3)));
    // The old version stays settled, also while its servers are away for a moment.
    let gone = changed + seconds(5);
    update(&mut history, &[("chat", "2")], gone);
    let back = gone + seconds(1);
    update(&mut history, &[("chat", "1"), ("chat", "2")], back);
    assert!(history.settled("chat", "1", back));
    // A version that was listed for a moment may have been missed.
    update(&mut history, &[("chat", "1"), ("chat", "3")], back);
    update(&mut history, &[("chat", "1")], back + seconds(1));
    assert!(!history.settled("chat", "3", back + seconds(9)));
    update(
        &mut history,
        &[("chat", "1"), ("chat", "3")],
        back + seconds(9),
    );
    assert!(!history.settled("chat", "3", back + seconds(9)));
    assert!(history.settled("chat", "3", back + seconds(12)));
}

#[test]
fn what_a_peer_saw_counts() {
    let start = Instant::now();
    let mut peer = VersionHistory::open(start);
    update(&mut peer, &[("chat", "1"), ("chat", "2")], start);
    let gone = start + seconds(20);
    update(&mut peer, &[("chat", "2")], gone);
    let now = gone + seconds(10);
    let mut history = VersionHistory::open(now);
    // Before the own list has been read, nothing is known.
    history.apply(&peer.report(now), now);
    assert_eq!(history.sole("chat", Duration::ZERO, now), None);
    assert_eq!(history.report(now).known_for_ms, 0);
    update(&mut history, &[("chat", "2")], now);
    assert!(history.is_mixed("chat", now));
    history.apply(&peer.report(now), now);
    assert_eq!(history.report(now).known_for_ms, 30_000);
    assert_eq!(history.sole("chat", seconds(10), now), None);
    assert_eq!(history.sole("chat", seconds(9), now).unwrap(), "2");
    // A version that only a peer knows is never named.
    let mut ahead = VersionHistory::open(now);
    update(&mut ahead, &[("chat", "2"), ("chat", "3")], now);
    history.apply(&ahead.report(now), now);
    assert_eq!(history.sole("chat", seconds(1), now), None);
    // It is once it is listed, and the others have gone.
    update(&mut history, &[("chat", "3")], now + seconds(1));
    let later = now + seconds(40);
    assert_eq!(history.sole("chat", seconds(30), later).unwrap(), "3");
}

#[test]
fn reports_of_one_version_change_nothing_but_the_known_time() {
    let start = Instant::now();
    let mut peer = VersionHistory::open(start);
    update(&mut peer, &[("chat", "1")], start);
    let now = start + seconds(40);
    let mut history = VersionHistory::open(now);
    update(&mut history, &[("chat", "1")], now);
    history.apply(&peer.report(now), now);
    assert_eq!(history.sole("chat", seconds(40), now).unwrap(), "1");
    assert_eq!(history.sole("chat", seconds(41), now), None);
    // A notice of the version that is listed here.
    let mut other = VersionHistory::open(start);
    update(&mut other, &[("chat", "1")], start);
    update(&mut other, &[], now);
    let report = other.report(now);
    assert_eq!(report.mixed.len(), 1);
    history.apply(&report, now);
    assert!(!history.is_mixed("chat", now));
    assert_eq!(history.sole("chat", seconds(40), now).unwrap(), "1");
}

/// Guards against a daemon that takes the only version in its first list for the only one of the last minute because a
/// peer, whose older list has another one, reports that no service is mixed.
#[test]
fn knowledge_from_an_older_list_is_not_taken_over() {
    let start = Instant::now();
    let mut peer = VersionHistory::open(start);
    update(&mut peer, &[("chat", "1")], start);
    let now = start + MINUTE;
    let mut history = VersionHistory::open(now);
    update(&mut history, &[("chat", "2")], now);
    history.apply(&peer.report(now), now);
    assert_eq!(history.sole("chat", seconds(1), now), None);
    update(&mut peer, &[("chat", "2")], now);
    history.apply(&peer.report(now), now);
    assert_eq!(history.report(now).known_for_ms, 60_000);
    assert_eq!(history.sole("chat", Duration::ZERO, now), None);
}

/// Guards against a version that follows one whose servers had all gone before the daemon started, and that counts as the
/// only one of the last minute.
#[test]
fn a_report_names_the_version_of_a_service_without_servers() {
    let start = Instant::now();
    let mut peer = VersionHistory::open(start);
    update(&mut peer, &[("chat", "1"), ("code", "1")], start);
    let gone = start + MINUTE;
    update(&mut peer, &[("code", "1")], gone);
    let now = gone + seconds(10);
    let mut history = VersionHistory::open(now);
    update(&mut history, &[("code", "1")], now);
    history.apply(&peer.report(now), now);
    update(&mut history, &[("code", "1"), ("chat", "2")], now);
    assert_eq!(history.sole("chat", seconds(20), now), None);
    assert!(history.is_mixed("chat", now));
}

#[test]
fn reports_are_bounded() {
    let start = Instant::now();
    let names: Vec<_> = (0..100).map(|index| format!("{index}")).collect();
    let versions: Vec<_> = names.iter().map(|name| ("chat", name.as_str())).collect();
    let mut history = VersionHistory::open(start);
    update(&mut history, &versions[..64], start);
    let now = start + MINUTE;
    let report = history.report(now);
    assert_eq!((report.mixed.len(), report.known_for_ms), (64, 60_000));
    update(&mut history, &versions, now);
    let report = history.report(now);
    assert!(report.is_valid());
    assert_eq!(report.mixed.len(), 64);
    assert_eq!(report.known_for_ms, 0, "a peer would lack versions");

    let notice = report.mixed[0];
    let long = VersionReport {
        mixed: vec![notice; 65],
        ..report.clone()
    };
    let old = VersionReport {
        mixed: vec![VersionNotice {
            age_ms: 60_001,
            ..notice
        }],
        ..report.clone()
    };
    let known = VersionReport {
        known_for_ms: 60_001,
        ..report
    };
    for report in [long, old, known] {
        assert!(!report.is_valid());
        let mut history = VersionHistory::open(start);
        update(&mut history, &versions, now);
        let before = history.report(now);
        history.apply(&report, now);
        assert_eq!(history.report(now), before);
    }
}

/// A span in which a version was listed, as one daemon read it; without an end while it is listed.
struct ListedSpan {
    service: usize,
    software: usize,
    first: Instant,
    last: Option<Instant>,
}

/// What a daemon read itself, as a plain list.
struct ListModel {
    since: Instant,
    spans: Vec<ListedSpan>,
}

impl ListModel {
    fn update(&mut self, listed: &[(usize, usize)], now: Instant) {
        for span in self.spans.iter_mut().filter(|span| span.last.is_none()) {
            if !listed.contains(&(span.service, span.software)) {
                span.last = Some(now);
            }
        }
        for (service, software) in listed {
            let mut open = self.spans.iter().filter(|span| span.last.is_none());
            if !open.any(|span| (span.service, span.software) == (*service, *software)) {
                self.spans.push(ListedSpan {
                    service: *service,
                    software: *software,
                    first: now,
                    last: None,
                });
            }
        }
    }

    /// Returns the versions that were listed from `from` on.
    fn versions(&self, service: usize, from: Instant) -> Vec<usize> {
        let spans = self.spans.iter().filter(|span| span.service == service);
        let spans = spans.filter(|span| span.last.is_none_or(|last| last >= from));
        let mut versions: Vec<_> = spans.map(|span| span.software).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}

const NAMES: [&str; 4] = ["1", "2", "3", "4"];

fn listed_names(listed: &[(usize, usize)]) -> Vec<(&'static str, &'static str)> {
    let names = listed.iter();
    let names = names.map(|(service, software)| (NAMES[*service], NAMES[*software]));
    names.collect()
}

fn change_list(listed: &mut Vec<(usize, usize)>, rng: &mut StdRng) {
    let version = (rng.random_range(0..3), rng.random_range(0..3));
    match listed.iter().position(|other| *other == version) {
        Some(index) => drop(listed.swap_remove(index)),
        None => listed.push(version),
    }
}

#[test]
fn the_own_history_agrees_with_a_model() {
    let mut found = [0; 2];
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut history = VersionHistory::open(now);
        let mut model = ListModel {
            since: now,
            spans: Vec::new(),
        };
        let mut listed = Vec::new();
        for _ in 0..300 {
            if rng.random_bool(0.2) {
                change_list(&mut listed, &mut rng);
            }
            update(&mut history, &listed_names(&listed), now);
            model.update(&listed, now);
            now += Duration::from_millis(rng.random_range(0..4_000));
            for (service, name) in NAMES.iter().enumerate().take(3) {
                let age = Duration::from_millis(rng.random_range(0..70_000));
                let sole = history.sole(name, age, now);
                let versions = model.versions(service, now.checked_sub(age).unwrap());
                let is_known = age <= MINUTE && now - model.since >= age;
                let expected = match versions[..] {
                    [only] if is_known => Some(SmolStr::new(NAMES[only])),
                    _ => None,
                };
                assert_eq!(sole, expected, "seed {seed}");
                found[usize::from(sole.is_some())] += 1;
                let recent = model.versions(service, now.checked_sub(MINUTE).unwrap());
                assert_eq!(history.is_mixed(name, now), recent.len() > 1, "seed {seed}");
            }
        }
    }
    assert!(found.iter().all(|count| *count > 1_000), "{found:?}");
}

/// Daemons read one list late and report to each other; none claims more than was the case.
#[test]
fn knowledge_from_peers_is_never_too_much() {
    let mut found = [0; 2];
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut listed = vec![(0, 0), (1, 0)];
        let mut model = ListModel {
            since: now,
            spans: Vec::new(),
        };
        model.update(&listed, now);
        let mut daemons: Vec<_> = (0..4).map(|_| VersionHistory::open(now)).collect();
        let mut next_read = [now; 4];
        for _ in 0..1_500 {
            now += Duration::from_millis(100);
            if rng.random_bool(0.01) {
                change_list(&mut listed, &mut rng);
                model.update(&listed, now);
            }
            // One of the daemons lives on, as knowledge starts anew otherwise.
            if rng.random_bool(0.02) {
                let index = rng.random_range(1..4);
                daemons[index] = VersionHistory::open(now);
                next_read[index] = now;
            }
            for index in 0..4 {
                if next_read[index] <= now {
                    update(&mut daemons[index], &listed_names(&listed), now);
                    next_read[index] = now + Duration::from_millis(rng.random_range(100..2_900));
                }
            }
            let (from, to) = (rng.random_range(0..4), rng.random_range(0..4));
            let report = daemons[from].report(now);
            if from != to && rng.random_bool(0.7) {
                daemons[to].apply(&report, now);
            }
            for daemon in &daemons {
                let known_for = Duration::from_millis(daemon.report(now).known_for_ms.into());
                assert!(known_for <= now - model.since, "seed {seed}");
                let age = Duration::from_millis(rng.random_range(3_000..60_000));
                for (service, name) in NAMES.iter().enumerate().take(2) {
                    let Some(sole) = daemon.sole(name, age, now) else {
                        found[0] += 1;
                        continue;
                    };
                    found[1] += 1;
                    // Versions that were listed for less than the time between two reads may be missed.
                    let from = now.checked_sub(age).unwrap();
                    let mut spans = model.spans.iter().filter(|span| {
                        span.last.unwrap_or(now) - span.first >= VersionHistory::SETTLE_TIME
                    });
                    let other = spans.find(|span| {
                        span.service == service
                            && NAMES[span.software] != sole
                            && span.last.is_none_or(|last| last >= from)
                    });
                    assert!(other.is_none(), "seed {seed}: {sole} is not the only one");
                }
            }
        }
    }
    assert!(found.iter().all(|count| *count > 1_000), "{found:?}");
}
