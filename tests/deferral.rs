//! Deferrable and urgent requests of one service on the same servers, with a load that is played without network.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use foxtailhill::catalog::RequestClass::Interactive;
use foxtailhill::deferral::{RouteTerms, SCARCITY_TIME, ScarcityTable, promotion_time};
use foxtailhill::engine::{LoadReport, ResidentItem};
use foxtailhill::queue::{QueuePolicy, Standing, WaitEntry, WaitQueue};
use foxtailhill::routing::{
    BackendView, ExpectedTimePolicy, PrefixIndex, RouteNeed, RoutingPolicy,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
const SLOTS: u32 = 12;
const SERVERS: usize = 4;
const DAEMONS: usize = 12;
/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(600);
const URGENT_TARGET: Duration = Duration::from_millis(400);
const URGENT_WAIT: Duration = Duration::from_millis(1_900);
const DEFERRABLE_TARGET: Duration = Duration::from_secs(12);
const DEFERRABLE_DEADLINE: Duration = Duration::from_secs(25);
/// Part of the requests that are deferrable.
const DEFERRABLE_PART: f64 = 0.25;
const BURST_START: Duration = Duration::from_secs(4);
const SEED: u64 = 0x5eed_0401;

/// A request of the played load.
#[derive(Clone, Copy, Debug)]
struct Request {
    arrived: Duration,
    is_deferrable: bool,
    began: Option<Duration>,
}

impl Request {
    fn is_on_time(&self) -> bool {
        let target = if self.is_deferrable {
            DEFERRABLE_TARGET
        } else {
            URGENT_TARGET
        };
        self.began
            .is_some_and(|began| began <= self.arrived + target)
    }
}

/// Load of a run: requests relative to the capacity before and after, and in the burst, and the length of the burst.
#[derive(Clone, Copy, Debug)]
struct Load {
    usual: f64,
    burst: f64,
    burst_length: Duration,
    length: Duration,
}

fn view(name: usize) -> BackendView {
    let item = ResidentItem {
        model: "s/m".into(),
        version: "v".into(),
        adapter: None,
    };
    BackendView {
        name: format!("s{name}").into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
        software: Default::default(),
        slots: SLOTS,
        report: LoadReport {
            token_us: 20_000,
            resident: vec![(item, 1)],
            ..LoadReport::default()
        },
        reported_at: None,
        in_flight: 0,
        sent_since_report: 0,
        load: Default::default(),
        suspected_down: false,
        leaving: false,
    }
}

fn need(standing: Standing, is_scarce: bool) -> RouteNeed {
    RouteNeed {
        model: "s/m".into(),
        version: "v".into(),
        adapter: None,
        prefixes: Vec::new(),
        zone: "z".into(),
        avoid: Vec::new(),
        software: None,
        late: matches!(standing, Standing::Late | Standing::Deferred),
        cost: Default::default(),
        deferred: standing == Standing::Deferred && is_scarce,
        trial: Default::default(),
    }
}

/// Plays a load on daemons that each have a queue and share the servers. With `defers` false, all requests are urgent, as
/// they were before requests could be deferred.
fn play(load: Load, defers: bool) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(SEED);
    let start = Instant::now();
    let policy = ExpectedTimePolicy::new(PrefixIndex::new().into(), SEED);
    let mut queues: Vec<WaitQueue<usize>> = (0..DAEMONS).map(|_| WaitQueue::new(10_000)).collect();
    let mut scarcity: Vec<ScarcityTable> = (0..DAEMONS).map(|_| ScarcityTable::default()).collect();
    let mut requests: Vec<Request> = Vec::new();
    let mut views: Vec<_> = (0..SERVERS).map(view).collect();
    let mut running: Vec<(Duration, usize)> = Vec::new();
    let capacity = f64::from(SLOTS) * SERVERS as f64 / WORK.as_secs_f64();
    let mut due = 0.0;
    let mut time = Duration::ZERO;
    while time < load.length {
        time += STEP;
        let now = start + time;
        running.retain(|(end, server)| {
            let runs = *end > time;
            views[*server].report.running -= u32::from(!runs);
            runs
        });
        let in_burst = (BURST_START..BURST_START + load.burst_length).contains(&time);
        let factor = if in_burst { load.burst } else { load.usual };
        due += capacity * factor * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let is_deferrable = random.random_bool(DEFERRABLE_PART);
            let daemon = random.random_range(0..DAEMONS);
            let (target, wait) = match is_deferrable {
                true => (DEFERRABLE_TARGET, DEFERRABLE_DEADLINE),
                false => (URGENT_TARGET, URGENT_WAIT),
            };
            let deadline = now + wait;
            let yields = defers && is_deferrable;
            let entry = WaitEntry {
                team: format!("team{}", random.random_range(0..3)).into(),
                class: Interactive,
                deadline,
                work: Duration::ZERO,
                target: Some(now + target),
                yield_until: yields.then(|| promotion_time(now, target, deadline, Some(WORK))),
                priority: u32::from(is_deferrable),
                tokens: 100,
            };
            requests.push(Request {
                arrived: time,
                is_deferrable,
                began: None,
            });
            queues[daemon].push(entry, requests.len() - 1).unwrap();
        }
        let first = random.random_range(0..DAEMONS);
        for daemon in (0..DAEMONS).map(|index| (first + index) % DAEMONS) {
            let queue = &mut queues[daemon];
            drop(queue.expire(now, |_| Duration::ZERO));
            let mut waits = false;
            loop {
                let is_scarce = scarcity[daemon].is_scarce("s", now);
                let mut slot = None;
                let popped = queue.pop_next(now, |index| {
                    let request = requests[*index];
                    let target = match request.is_deferrable {
                        true => DEFERRABLE_TARGET,
                        false => URGENT_TARGET,
                    };
                    let yields = defers && request.is_deferrable;
                    let arrived = start + request.arrived;
                    let promoted =
                        promotion_time(arrived, target, arrived + DEFERRABLE_DEADLINE, Some(WORK));
                    let standing = match request {
                        _ if arrived + target < now => Standing::Late,
                        _ if yields && now < promoted => Standing::Deferred,
                        _ if yields => Standing::Promoted,
                        _ => Standing::OnTime,
                    };
                    slot = policy.choose(&need(standing, is_scarce), &views, now);
                    waits |= slot.is_none() && !request.is_deferrable;
                    slot.is_some()
                });
                let (Some((_, index)), Some(server)) = (popped, slot) else {
                    break;
                };
                requests[index].began = Some(time);
                views[server].report.running += 1;
                running.push((time + WORK, server));
            }
            if waits {
                scarcity[daemon].note("s", now);
            }
        }
    }
    requests
}

/// Returns the part of the requests that are deferrable or not, arrived in a period and pass a check.
fn share(
    requests: &[Request],
    is_deferrable: bool,
    period: std::ops::Range<Duration>,
    check: impl Fn(&Request) -> bool,
) -> f64 {
    let of_kind = |request: &&Request| {
        request.is_deferrable == is_deferrable && period.contains(&request.arrived)
    };
    let kind: Vec<_> = requests.iter().filter(of_kind).collect();
    let passed = kind.iter().filter(|request| check(request)).count();
    passed as f64 / kind.len().max(1) as f64
}

fn burst(length: u64) -> Load {
    Load {
        usual: 0.6,
        burst: 2.2,
        burst_length: Duration::from_secs(length),
        length: Duration::from_secs(length + 40),
    }
}

/// Pattern: a burst of 2.2 times the capacity for 5 s. Guards against deferrable requests that get servers while urgent ones
/// are late, and against ones that miss their target although the servers keep up again in time.
#[test]
fn deferrable_requests_wait_for_the_end_of_a_burst() {
    let load = burst(5);
    let end = BURST_START + load.burst_length;
    let period = BURST_START..end;
    let [before, after] = [false, true].map(|defers| {
        let requests = play(load, defers);
        let in_burst = |request: &Request| request.began.is_some_and(|began| began < end);
        let begun = [false, true].map(|kind| share(&requests, kind, period.clone(), in_burst));
        let on_time =
            [false, true].map(|kind| share(&requests, kind, period.clone(), Request::is_on_time));
        println!("defers {defers}: begun in the burst {begun:.3?}, on time {on_time:.3?}");
        (begun, on_time)
    });
    let ([urgent, deferrable], on_time) = after;
    assert!(
        deferrable <= urgent - 0.05,
        "{deferrable} of the deferrable, {urgent} of the urgent"
    );
    assert!(
        on_time[1] >= 0.95,
        "{} of the deferrable on time",
        on_time[1]
    );
    assert!(
        on_time[0] > before.1[0],
        "{} of the urgent on time, {} before",
        on_time[0],
        before.1[0]
    );
}

/// Pattern: a burst that lasts longer than the target of deferrable requests. Guards against deferrable requests that are
/// starved until their callers give up.
#[test]
fn deferrable_requests_are_not_starved_by_a_long_burst() {
    let load = burst(40);
    let requests = play(load, true);
    let end = BURST_START + load.burst_length;
    let period = BURST_START..end - DEFERRABLE_DEADLINE;
    let served = share(&requests, true, period.clone(), |request| {
        request.began.is_some()
    });
    let on_time = share(&requests, false, period, Request::is_on_time);
    println!("served {served:.3}, urgent on time {on_time:.3}");
    assert!(
        served >= 0.2,
        "{served} of the deferrable requests were served"
    );
    assert!(
        on_time >= 0.2,
        "{on_time} of the urgent requests are on time"
    );
}

/// Guards against requests that are delayed in calm because they are deferrable.
#[test]
fn nothing_is_deferred_in_calm() {
    let load = Load {
        burst: 0.6,
        ..burst(1)
    };
    let requests = play(load, true);
    let at_once = |request: &Request| request.began == Some(request.arrived);
    for is_deferrable in [false, true] {
        let share = share(
            &requests,
            is_deferrable,
            Duration::ZERO..load.length,
            at_once,
        );
        assert!(
            share >= 0.99,
            "{share} began at once, deferrable: {is_deferrable}"
        );
    }
}

fn terms(target_ms: u64, timeout_ms: u64, priority: u32) -> RouteTerms {
    RouteTerms {
        target: Duration::from_millis(target_ms),
        timeout: Duration::from_millis(timeout_ms),
        priority,
    }
}

/// Guards against routes that are deferred though their targets, deadlines or priorities leave no room for it.
#[test]
fn deferrable_routes_follow_from_their_terms() {
    let urgent = terms(400, 12_000, 1);
    for (route, expected) in [
        (urgent, false),
        (terms(12_000, 25_000, 1), true),
        (terms(2_000, 25_000, 2), true),
        (terms(1_999, 25_000, 2), false),
        (terms(12_000, 1_500, 2), false),
        (terms(12_000, 25_000, 0), false),
        (terms(0, 25_000, 2), false),
    ] {
        assert_eq!(route.is_deferrable(urgent), expected, "{route:?}");
    }
    assert!(!terms(12_000, 25_000, 2).is_deferrable(terms(0, 12_000, 1)));
}

/// Guards against a promotion after the last time at which the answer can be on time, or after the caller's own deadline.
#[test]
fn promotion_leaves_time_for_the_work() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let (target, limit) = (second * 12, now + second * 25);
    assert_eq!(
        promotion_time(now, target, limit, Some(second)),
        now + second * 8
    );
    assert_eq!(promotion_time(now, target, limit, None), now + second * 3);
    assert_eq!(
        promotion_time(now, target, limit, Some(second * 60)),
        now + second * 3
    );
    assert_eq!(
        promotion_time(now, target, now + second * 4, Some(second)),
        now + second * 2
    );
}

/// Guards against scarcity that does not end, or that spreads to another service.
#[test]
fn scarcity_ends_and_is_kept_by_service() {
    let now = Instant::now();
    let mut table = ScarcityTable::default();
    assert!(!table.is_scarce("a", now));
    assert!(table.note("a", now));
    assert!(!table.note("a", now + SCARCITY_TIME / 2));
    assert!(table.is_scarce("a", now + SCARCITY_TIME));
    assert!(!table.is_scarce("b", now));
    assert!(!table.is_scarce("a", now + SCARCITY_TIME * 2));
}
