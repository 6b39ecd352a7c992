//! Comparison of `WaitQueue` with a reference model that sorts all requests on each call, and tests of single cases.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bolero::{TypeGenerator, check};
use foxtailhill::catalog::RequestClass::{self, Interactive, Overnight};
use foxtailhill::queue::{
    FifoQueue, PROMOTED_TURN, PROMOTION_SLACK, QueuePolicy, Standing, WaitEntry, WaitId, WaitQueue,
};
use smol_str::SmolStr;

const CAPACITY: usize = 12;
const TEAMS: [&str; 3] = ["a", "b", "c"];

#[derive(Debug, TypeGenerator)]
enum Op {
    Push {
        team: u8,
        overnight: bool,
        deadline_s: u8,
        work_s: u8,
        target_s: Option<u8>,
        yield_s: Option<u8>,
        priority: u8,
        tokens: u8,
    },
    Pop {
        mask: u8,
    },
    Remove {
        id: u8,
    },
    Expire {
        estimate_s: u8,
    },
    Served {
        team: u8,
        tokens: i8,
    },
    Advance {
        seconds: u8,
    },
}

struct ReferenceEntry {
    id: WaitId,
    entry: WaitEntry,
    item: u64,
    in_team: bool,
}

#[derive(Default)]
struct ReferenceQueue {
    next: u64,
    entries: Vec<ReferenceEntry>,
    counters: HashMap<SmolStr, i64>,
    counter_floor: i64,
    passed_over: u32,
}

impl ReferenceQueue {
    fn latest_start(entry: &ReferenceEntry) -> (Instant, WaitId) {
        (entry.entry.deadline - entry.entry.work, entry.id)
    }

    /// Requests on time, promoted ones, late ones by priority, deferred ones; each group by team and time. Promoted ones go
    /// first when their turn has come.
    fn order(&self, entry: &ReferenceEntry, now: Instant) -> impl Ord + use<> {
        let WaitEntry {
            team,
            target,
            priority,
            ..
        } = &entry.entry;
        if !entry.in_team {
            return (5, 0, None, Self::latest_start(entry));
        }
        let late = target.is_some_and(|target| target < now);
        let rank = if late { *priority } else { 0 };
        let group = match entry.entry.yield_until {
            _ if late => 3,
            Some(time) if now < time => 4,
            Some(_) if self.passed_over >= PROMOTED_TURN => 0,
            Some(_) => 2,
            None => 1,
        };
        let time = match (entry.entry.class, target) {
            (Interactive, Some(target)) => (*target, entry.id),
            _ => Self::latest_start(entry),
        };
        let team = Some((self.counter(team), team.clone()));
        (group, rank, team, time)
    }

    fn counter(&self, team: &SmolStr) -> i64 {
        self.counters.get(team).copied().unwrap_or(0)
    }

    fn raise_counter(&mut self, team: &SmolStr) {
        let active: Vec<_> = self.entries.iter().filter(|e| e.in_team).collect();
        if active.iter().any(|e| e.entry.team == *team) {
            return;
        }
        let lowest = active.iter().map(|e| self.counter(&e.entry.team)).min();
        let raised = self.counter(team).max(lowest.unwrap_or(self.counter_floor));
        self.counters.insert(team.clone(), raised);
    }

    fn push(&mut self, entry: WaitEntry, item: u64) -> Option<WaitId> {
        let of_class = |class| {
            self.entries
                .iter()
                .filter(|e| e.entry.class == class)
                .count()
        };
        let full = entry.class == Overnight && of_class(Overnight) >= CAPACITY / 2;
        if full || self.entries.len() >= CAPACITY {
            return None;
        }
        let in_team = entry.class == Interactive;
        if in_team {
            self.raise_counter(&entry.team);
        }
        let id = WaitId(self.next);
        self.next += 1;
        self.entries.push(ReferenceEntry {
            id,
            entry,
            item,
            in_team,
        });
        Some(id)
    }

    fn pop(&mut self, now: Instant, admissible: impl Fn(u64) -> bool) -> Option<(WaitId, u64)> {
        self.entries.sort_by_key(Self::latest_start);
        for index in 0..self.entries.len() {
            let due = Self::latest_start(&self.entries[index]).0 <= now + PROMOTION_SLACK;
            if due && !self.entries[index].in_team {
                let team = self.entries[index].entry.team.clone();
                self.raise_counter(&team);
                self.entries[index].in_team = true;
            }
        }
        let allowed = self.entries.iter().filter(|e| admissible(e.item));
        let first = allowed.min_by_key(|e| self.order(e, now))?;
        let (id, team, charged) = (first.id, first.entry.team.clone(), first.in_team);
        if charged {
            let mut times = self.entries.iter().filter_map(|e| e.entry.yield_until);
            match first.entry.standing(now) {
                Standing::Promoted => self.passed_over = 0,
                Standing::OnTime if times.any(|time| time <= now) => self.passed_over += 1,
                _ => {}
            }
        }
        let taken = self.take(id)?;
        if charged {
            let counter = self.counter(&team);
            self.counter_floor = self.counter_floor.max(counter);
            self.counters
                .insert(team, counter + taken.entry.tokens as i64);
        }
        Some((id, taken.item))
    }

    fn take(&mut self, id: WaitId) -> Option<ReferenceEntry> {
        let index = self.entries.iter().position(|e| e.id == id)?;
        Some(self.entries.remove(index))
    }

    fn expire(&mut self, now: Instant, estimate: Duration) -> Vec<(WaitId, u64)> {
        self.entries.sort_by_key(|e| e.id);
        let late = self
            .entries
            .extract_if(.., |e| now + estimate > e.entry.deadline);
        late.map(|e| (e.id, e.item)).collect()
    }

    fn len(&self, class: RequestClass) -> usize {
        self.entries
            .iter()
            .filter(|e| e.entry.class == class)
            .count()
    }
}

fn team(index: u8) -> SmolStr {
    TEAMS[usize::from(index) % TEAMS.len()].into()
}

/// Guards against an order that differs from the reference model after some sequence of calls, against requests that
/// are lost or duplicated, and against wrong lengths.
#[test]
fn queue_agrees_with_the_reference_model() {
    check!().with_type::<Vec<Op>>().for_each(|ops| {
        let (mut queue, mut reference) = (WaitQueue::new(CAPACITY), ReferenceQueue::default());
        let mut now = Instant::now() + Duration::from_secs(1_000);
        for (item, op) in (0_u64..).zip(ops) {
            match *op {
                Op::Push {
                    team: index,
                    overnight,
                    deadline_s,
                    work_s,
                    target_s,
                    yield_s,
                    priority,
                    tokens,
                } => {
                    let entry = WaitEntry {
                        team: team(index),
                        class: if overnight { Overnight } else { Interactive },
                        deadline: now + Duration::from_secs(deadline_s.into()),
                        work: Duration::from_secs(work_s.into()),
                        target: target_s.map(|target| now + Duration::from_secs(target.into())),
                        yield_until: yield_s.map(|time| now + Duration::from_secs(time.into())),
                        priority: u32::from(priority % 3),
                        tokens: tokens.into(),
                    };
                    assert_eq!(
                        queue.push(entry.clone(), item).ok(),
                        reference.push(entry, item)
                    );
                }
                Op::Pop { mask } => {
                    let admissible = |item: u64| (mask >> (item % 8)) & 1 == 1;
                    let popped = queue.pop_next(now, |item| admissible(*item));
                    assert_eq!(popped, reference.pop(now, admissible));
                }
                Op::Remove { id } => {
                    let id = WaitId(id.into());
                    assert_eq!(queue.remove(id), reference.take(id).map(|e| e.item));
                }
                Op::Expire { estimate_s } => {
                    let estimate = Duration::from_secs(estimate_s.into());
                    assert_eq!(
                        queue.expire(now, |_| estimate),
                        reference.expire(now, estimate)
                    );
                }
                Op::Served {
                    team: index,
                    tokens,
                } => {
                    queue.adjust_served(&team(index), tokens.into());
                    *reference.counters.entry(team(index)).or_default() += i64::from(tokens);
                }
                Op::Advance { seconds } => now += Duration::from_secs(seconds.into()),
            }
            for class in [Interactive, Overnight] {
                assert_eq!(queue.len(class), reference.len(class));
            }
        }
    });
}

fn entry(team: &str, class: RequestClass, deadline: Instant) -> WaitEntry {
    WaitEntry {
        team: team.into(),
        class,
        deadline,
        work: Duration::from_secs(1),
        target: None,
        yield_until: None,
        priority: 0,
        tokens: 100,
    }
}

/// A request whose answer is on time until `target`.
fn targeted(team: &str, priority: u32, target: Instant) -> WaitEntry {
    WaitEntry {
        target: Some(target),
        priority,
        ..entry(team, Interactive, target + Duration::from_secs(5))
    }
}

/// Pattern: sustained overload, twice the load that the servers carry. Guards against an order in which each request
/// waits until it has missed its target, so that nearly none is on time.
#[test]
fn half_of_the_requests_are_on_time_under_twice_the_load() {
    let start = Instant::now();
    let target = Duration::from_millis(300);
    let (mut queue, mut on_time) = (WaitQueue::new(10_000), 0);
    for step in 0..2_000_u32 {
        let now = start + Duration::from_millis(10) * step;
        drop(queue.expire(now, |_| Duration::ZERO));
        let team = ["a", "b", "c"][step as usize % 3];
        assert!(queue.push(targeted(team, 1, now + target), now).is_ok());
        if step.is_multiple_of(2) {
            let (_, arrived) = queue.pop_next(now, |_| true).unwrap();
            on_time += usize::from(now <= arrived + target);
        }
    }
    assert!(
        on_time >= 900,
        "{on_time} of 1,000 served requests are on time"
    );
}

/// Pattern: a burst after which the servers keep up. Guards against late requests that are never served although
/// places are free, and against a less urgent one that goes first.
#[test]
fn late_requests_are_served_by_priority_when_places_are_free() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(10);
    let second = Duration::from_secs(1);
    for (name, priority, target) in [
        ("late, can wait", 2, now + second),
        ("late, urgent", 0, now + second * 2),
        ("on time", 2, now + second * 9),
    ] {
        assert!(queue.push(targeted("a", priority, target), name).is_ok());
    }
    let later = now + second * 4;
    let order: Vec<_> = (0..3)
        .map(|_| queue.pop_next(later, |_| true).unwrap().1)
        .collect();
    assert_eq!(order, ["on time", "late, urgent", "late, can wait"]);
}

/// A deferrable request that is promoted at `promoted`.
fn deferrable(team: &str, promoted: Instant, target: Instant) -> WaitEntry {
    WaitEntry {
        yield_until: Some(promoted),
        ..targeted(team, 2, target)
    }
}

/// Guards against a deferrable request that goes before an urgent one, also a late one, while it can wait, and against one
/// that misses its target behind late ones.
#[test]
fn deferrable_requests_yield_until_their_slack_runs_out() {
    let now = Instant::now() + Duration::from_secs(100);
    let second = Duration::from_secs(1);
    for (at, expected) in [
        (3, ["on time", "late", "deferrable"]),
        (7, ["on time", "deferrable", "late"]),
        (13, ["on time", "late", "deferrable"]),
    ] {
        let mut queue = WaitQueue::new(10);
        let later = now + second * at;
        for (entry, name) in [
            (
                deferrable("a", now + second * 6, now + second * 12),
                "deferrable",
            ),
            (targeted("b", 0, later - second), "late"),
            (targeted("c", 0, later + second), "on time"),
        ] {
            assert!(queue.push(entry, name).is_ok());
        }
        let order = [(); 3].map(|()| queue.pop_next(later, |_| true).unwrap().1);
        assert_eq!(order, expected, "{at} s");
    }
}

/// Pattern: urgent requests on time beyond the capacity. Guards against deferrable requests that are never served, and
/// against ones that take more than their turns.
#[test]
fn promoted_requests_get_their_turns() {
    let now = Instant::now();
    let later = now + Duration::from_secs(7);
    let target = now + Duration::from_secs(12);
    let mut queue = WaitQueue::new(1_000);
    for index in 0..20 {
        let entry = deferrable(["a", "b"][index % 2], now + Duration::from_secs(6), target);
        assert!(queue.push(entry, "deferrable").is_ok());
    }
    let turns = PROMOTED_TURN as usize + 1;
    for _ in 0..10 * turns {
        assert!(queue.push(targeted("a", 0, target), "urgent").is_ok());
    }
    let popped: Vec<_> = (0..10 * turns)
        .map(|_| queue.pop_next(later, |_| true).unwrap().1)
        .collect();
    for (index, name) in popped.iter().enumerate() {
        let is_turn = index % turns == turns - 1;
        let expected = if is_turn { "deferrable" } else { "urgent" };
        assert_eq!(*name, expected, "request {index}");
    }
}

/// Guards against requests that are refused because another team has many waiting, and against late or deferrable ones that
/// count as ahead of a request that goes before them.
#[test]
fn requests_ahead_are_those_that_go_first() {
    let now = Instant::now() + Duration::from_secs(100);
    let second = Duration::from_secs(1);
    let mut queue = WaitQueue::new(1_000);
    for _ in 0..50 {
        let waiting = targeted("loud", 0, now + second);
        assert!(queue.push(waiting, ()).is_ok());
    }
    assert!(queue.push(targeted("b", 0, now - second), ()).is_ok());
    let entry = deferrable("b", now + second * 6, now + second * 12);
    assert!(queue.push(entry, ()).is_ok());
    let new = |team| targeted(team, 0, now + second * 2);
    assert_eq!(queue.ahead_of(&new("loud"), now), 50);
    assert_eq!(queue.ahead_of(&new("b"), now), 1);
    assert!(queue.has_on_time(now));
    assert!(!queue.has_on_time(now + second * 2));
}

/// Guards against a team that starves others because it sends five times as much, or because it sent nothing before.
#[test]
fn teams_share_equally_under_contention() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(1_000);
    for _ in 0..50 {
        queue
            .push(
                entry("loud", Interactive, now + Duration::from_secs(5)),
                "loud",
            )
            .unwrap();
    }
    for _ in 0..20 {
        assert_eq!(queue.pop_next(now, |_| true).unwrap().1, "loud");
    }
    for _ in 0..10 {
        queue
            .push(
                entry("quiet", Interactive, now + Duration::from_secs(9)),
                "quiet",
            )
            .unwrap();
    }
    let popped: Vec<_> = (0..20)
        .map(|_| queue.pop_next(now, |_| true).unwrap().1)
        .collect();
    assert_eq!(popped.iter().filter(|team| **team == "quiet").count(), 10);
    // If the quiet team had saved up service, it would have been served ten times in a row.
    assert!(popped[..10].contains(&"loud"));
}

/// Guards against overnight work that delays callers, misses its deadline or is never served.
#[test]
fn overnight_fills_capacity_and_is_promoted() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(10);
    queue
        .push(
            entry("a", Overnight, now + Duration::from_secs(9_000)),
            "late",
        )
        .unwrap();
    queue
        .push(
            entry("a", Overnight, now + Duration::from_secs(3_000)),
            "early",
        )
        .unwrap();
    queue
        .push(
            entry("b", Interactive, now + Duration::from_secs(10_000)),
            "now",
        )
        .unwrap();
    queue
        .push(
            entry("b", Interactive, now + Duration::from_secs(10_000)),
            "next",
        )
        .unwrap();
    assert_eq!(queue.pop_next(now, |_| true).unwrap().1, "now");
    let later = now + Duration::from_secs(2_950);
    assert_eq!(queue.pop_next(later, |_| true).unwrap().1, "early");
    assert_eq!(queue.pop_next(later, |_| true).unwrap().1, "next");
    assert_eq!(queue.pop_next(later, |_| true).unwrap().1, "late");
    assert!(queue.is_empty());
}

/// Guards against a `FifoQueue` that serves in another order than that of arrival.
#[test]
fn fifo_ignores_class_and_team() {
    let now = Instant::now();
    let mut queue = FifoQueue::new(2);
    queue
        .push(entry("a", Overnight, now + Duration::from_secs(90)), 1)
        .unwrap();
    queue
        .push(entry("b", Interactive, now + Duration::from_secs(1)), 2)
        .unwrap();
    assert_eq!(queue.push(entry("c", Interactive, now), 3), Err(3));
    assert_eq!(queue.pop_next(now, |_| true).unwrap().1, 1);
    assert_eq!(queue.expire(now, |_| Duration::from_secs(2))[0].1, 2);
}
