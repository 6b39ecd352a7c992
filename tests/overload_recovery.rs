//! Recovery of a fleet after an overload, in a model of daemons with queues, servers that slow down as their batch grows,
//! and callers that come back after a refusal.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use foxtailhill::admission::{GrantRate, spread_return};
use foxtailhill::catalog::RequestClass::Interactive;
use foxtailhill::engine::{LoadReport, ResidentItem};
use foxtailhill::queue::{QueuePolicy, WaitEntry, WaitQueue};
use foxtailhill::returns::TimeLeftLog;
use foxtailhill::routing::{
    BackendView, ExpectedTimePolicy, PrefixIndex, RouteNeed, RoutingPolicy,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 10;
const SLOTS: u32 = 12;
const SERVERS: usize = 6;
const DAEMONS: usize = 30;
/// Time of an answer in a full batch; in an empty one it takes 0.4 times as long.
const FULL_WORK_MS: f64 = 900.0;
/// Time from the begin of a request at a server to its first event.
const FIRST_EVENT_MS: u64 = 100;
const TARGET_MS: u64 = 400;
const WAIT_LIMIT_MS: u64 = 1_900;
const DEADLINE_MS: u64 = 12_000;
/// Age at which a daemon's view of other daemons' requests is renewed.
const REPORT_MS: u64 = 400;
const BURST_START_MS: u64 = 5_000;
const SECOND_MS: u64 = 1_000;

/// Requests per capacity of full batches before, in and after the burst.
#[derive(Clone, Copy, Debug)]
struct Load {
    usual: f64,
    burst: f64,
    burst_ms: u64,
    after: f64,
    length_ms: u64,
}

/// How requests are admitted and refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rules {
    /// The wait is estimated from the time between two slots, also if nothing waited in it, and refused requests come back
    /// after 1 s as if they were new. These were the rules before [`GrantRate`] and [`TimeLeftLog`].
    Interval,
    GrantRate,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    /// First arrival at any daemon.
    first_ms: u64,
    /// Arrival at the current daemon.
    arrived_ms: u64,
    /// First arrival as the daemon estimates it.
    assumed_ms: u64,
    is_return: bool,
    /// Whether the first attempt was on time.
    on_time: bool,
    refusals: u32,
}

struct Daemon {
    queue: WaitQueue<usize>,
    rate: GrantRate,
    log: TimeLeftLog,
    interval: f64,
    granted_ms: u64,
    views: Vec<BackendView>,
    own_at_report: Vec<u32>,
}

/// Requests at a server with the work left, in ms of a full batch.
#[derive(Default)]
struct Server {
    batch: Vec<(usize, usize, f64)>,
    waiting: VecDeque<(usize, usize)>,
}

struct Model {
    rules: Rules,
    random: StdRng,
    start: Instant,
    policy: ExpectedTimePolicy,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    returns: BTreeMap<u64, Vec<usize>>,
}

fn view(name: usize) -> BackendView {
    let item = ResidentItem {
        model: "m".into(),
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

impl Model {
    fn new(rules: Rules, seed: u64) -> Self {
        let start = Instant::now();
        let daemon = |_| Daemon {
            queue: WaitQueue::new(1_000),
            rate: GrantRate::new(start),
            log: TimeLeftLog::default(),
            interval: 0.0,
            granted_ms: 0,
            views: (0..SERVERS).map(view).collect(),
            own_at_report: vec![0; SERVERS],
        };
        Self {
            rules,
            random: StdRng::seed_from_u64(seed),
            start,
            policy: ExpectedTimePolicy::new(PrefixIndex::new().into(), seed),
            daemons: (0..DAEMONS).map(daemon).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            returns: BTreeMap::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn run(&mut self, load: Load) {
        let capacity = f64::from(SLOTS) * SERVERS as f64 / FULL_WORK_MS;
        let mut due = 0.0;
        for ms in (0..load.length_ms).step_by(STEP_MS as usize) {
            self.step_servers();
            self.report(ms);
            let burst_end = BURST_START_MS + load.burst_ms;
            let factor = match ms {
                _ if ms < BURST_START_MS => load.usual,
                _ if ms < burst_end => load.burst,
                _ => load.after,
            };
            due += capacity * factor * STEP_MS as f64;
            while due >= 1.0 {
                due -= 1.0;
                self.requests.push(Request {
                    first_ms: ms,
                    arrived_ms: ms,
                    assumed_ms: ms,
                    is_return: false,
                    on_time: false,
                    refusals: 0,
                });
                self.arrive(self.requests.len() - 1, ms);
            }
            while let Some(entry) = self
                .returns
                .first_entry()
                .filter(|entry| *entry.key() <= ms)
            {
                for index in entry.remove() {
                    self.requests[index].arrived_ms = ms;
                    self.requests[index].is_return = true;
                    self.arrive(index, ms);
                }
            }
            let first = self.random.random_range(0..DAEMONS);
            for daemon in (0..DAEMONS).map(|index| (first + index) % DAEMONS) {
                self.grant(daemon, ms);
            }
        }
    }

    fn step_servers(&mut self) {
        for (position, server) in self.servers.iter_mut().enumerate() {
            while server.batch.len() < SLOTS as usize
                && let Some((index, daemon)) = server.waiting.pop_front()
            {
                server.batch.push((index, daemon, FULL_WORK_MS));
            }
            let batch = server.batch.len() as f64;
            let speed = 1.0 / (0.4 + 0.6 * batch / f64::from(SLOTS));
            server.batch.retain_mut(|(_, daemon, left)| {
                *left -= speed * STEP_MS as f64;
                if *left <= 0.0 {
                    let view = &mut self.daemons[*daemon].views[position];
                    view.in_flight -= 1;
                }
                *left > 0.0
            });
        }
    }

    /// Renews the views of some daemons, so that each has seen all others' requests [`REPORT_MS`] ago or later.
    fn report(&mut self, ms: u64) {
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if !(ms + index as u64 * STEP_MS).is_multiple_of(REPORT_MS) {
                continue;
            }
            for (view, server) in daemon.views.iter_mut().zip(&self.servers) {
                view.report.running = (server.batch.len() + server.waiting.len()) as u32;
                view.sent_since_report = 0;
            }
            daemon.own_at_report = daemon.views.iter().map(|view| view.in_flight).collect();
        }
    }

    fn arrive(&mut self, index: usize, ms: u64) {
        let daemon = self.random.random_range(0..DAEMONS);
        let now = self.at(ms);
        let left = Duration::from_millis(self.requests[index].first_ms + DEADLINE_MS - ms);
        let used = self.daemons[daemon].log.note(left).as_millis() as u64;
        let assumed_ms = match self.rules {
            Rules::Interval => ms,
            Rules::GrantRate => ms - used,
        };
        self.requests[index].assumed_ms = assumed_ms;
        let entry = WaitEntry {
            team: format!("t{}", index % 3).into(),
            class: Interactive,
            deadline: self.at(ms + WAIT_LIMIT_MS),
            work: Duration::ZERO,
            target: Some(self.at(assumed_ms + TARGET_MS)),
            yield_until: None,
            priority: 0,
            tokens: 100,
        };
        let state = &mut self.daemons[daemon];
        let may_wait = match self.rules {
            Rules::Interval => {
                state.interval * state.queue.len(Interactive) as f64 <= WAIT_LIMIT_MS as f64
            }
            Rules::GrantRate => {
                let ahead = state.queue.ahead_of(&entry, now);
                state
                    .rate
                    .may_wait(ahead, Duration::from_millis(WAIT_LIMIT_MS), now)
            }
        };
        if !may_wait {
            return self.refuse(daemon, index, ms);
        }
        let state = &mut self.daemons[daemon];
        state.queue.push(entry, index).unwrap();
    }

    fn refuse(&mut self, daemon: usize, index: usize, ms: u64) {
        let now = self.at(ms);
        let draw = self.random.random();
        let state = &mut self.daemons[daemon];
        let wait = match self.rules {
            Rules::Interval => Duration::from_secs(1),
            Rules::GrantRate => {
                let wait = state
                    .rate
                    .retry_after(state.queue.len(Interactive), draw, now);
                state.rate.refused(now);
                wait
            }
        };
        let request = &mut self.requests[index];
        request.refusals += 1;
        if request.is_return {
            return;
        }
        let left = Duration::from_millis(request.first_ms + DEADLINE_MS - ms);
        let wait = match self.rules {
            Rules::Interval => wait.min(left / 3),
            Rules::GrantRate => spread_return(wait, left, draw),
        };
        let at = ms + wait.as_millis() as u64;
        self.returns.entry(at).or_default().push(index);
    }

    fn grant(&mut self, daemon: usize, ms: u64) {
        let now = self.at(ms);
        let expired = self.daemons[daemon].queue.expire(now, |_| Duration::ZERO);
        for (_, index) in expired {
            self.refuse(daemon, index, ms);
        }
        let state = &mut self.daemons[daemon];
        loop {
            let mut slot = None;
            let popped = state.queue.pop_next(now, |index| {
                let need = RouteNeed {
                    software: None,
                    model: "m".into(),
                    version: "v".into(),
                    adapter: None,
                    prefixes: Vec::new(),
                    zone: "z".into(),
                    avoid: Vec::new(),
                    late: self.requests[*index].assumed_ms + TARGET_MS < ms,
                    cost: Default::default(),
                    deferred: false,
                    trial: Default::default(),
                };
                slot = self.policy.choose(&need, &state.views, now);
                slot.is_some()
            });
            let (Some((_, index)), Some(server)) = (popped, slot) else {
                break;
            };
            let request = &mut self.requests[index];
            let begin = request.first_ms.max(ms);
            request.on_time =
                !request.is_return && begin + FIRST_EVENT_MS <= request.first_ms + TARGET_MS;
            if ms > request.arrived_ms {
                state.rate.granted(now);
                let last = ms - state.granted_ms;
                state.interval = state.interval * 0.9 + last as f64 * 0.1;
            }
            state.granted_ms = ms;
            state.views[server].in_flight += 1;
            state.views[server].sent_since_report += 1;
            self.servers[server].waiting.push_back((index, daemon));
        }
        let waits = state.queue.has_on_time(now);
        state.rate.set_waiting(waits, now);
    }

    /// Returns the part of the first attempts of each second that were on time.
    fn on_time_by_second(&self) -> Vec<f64> {
        let mut seconds: Vec<(u32, u32)> = Vec::new();
        for request in &self.requests {
            let second = (request.first_ms / SECOND_MS) as usize;
            seconds.resize(seconds.len().max(second + 1), (0, 0));
            seconds[second].0 += u32::from(request.on_time);
            seconds[second].1 += 1;
        }
        seconds
            .iter()
            .map(|(on_time, all)| f64::from(*on_time) / f64::from(*all))
            .collect()
    }

    /// Returns the seconds from the end of the burst until first attempts are on time again and stay so for 3 s.
    fn recovery_s(&self, load: Load) -> usize {
        let end = ((BURST_START_MS + load.burst_ms) / SECOND_MS) as usize;
        let by_second = self.on_time_by_second();
        let after = &by_second[end..];
        let is_recovered = |three: &[f64]| three.iter().all(|part| *part >= 0.9);
        after
            .windows(3)
            .position(is_recovered)
            .unwrap_or(after.len())
    }

    fn refused_twice(&self) -> usize {
        self.requests
            .iter()
            .filter(|request| request.refusals > 1)
            .count()
    }
}

fn play(rules: Rules, load: Load, seed: u64) -> (usize, usize) {
    let mut model = Model::new(rules, seed);
    model.run(load);
    let by_second = model.on_time_by_second();
    let on_time = model
        .requests
        .iter()
        .filter(|request| request.on_time)
        .count();
    let result = (model.recovery_s(load), on_time);
    println!(
        "{rules:?}, seed {seed}: recovered after {} s, {} refused twice, {on_time} of {} first attempts on time",
        result.0,
        model.refused_twice(),
        model.requests.len()
    );
    println!("  by second: {by_second:.2?}");
    result
}

/// Pattern: 2.2 times the usual load for 8 s, then nearly the capacity. Guards against a fleet that stays down after an
/// overload because refused requests come back and compete with first attempts as if they could be on time.
#[test]
fn first_attempts_are_on_time_soon_after_an_overload() {
    let load = Load {
        usual: 0.7,
        burst: 1.55,
        burst_ms: 8_000,
        after: 0.85,
        length_ms: 45_000,
    };
    for seed in 1..=3 {
        let (before_s, before_on_time) = play(Rules::Interval, load, seed);
        let (after_s, after_on_time) = play(Rules::GrantRate, load, seed);
        assert!(
            after_s < before_s,
            "seed {seed}: {after_s} s, {before_s} s before"
        );
        assert!(after_s <= 3, "seed {seed}: recovered after {after_s} s");
        assert!(
            after_on_time > before_on_time,
            "seed {seed}: {after_on_time} on time, {before_on_time} before"
        );
    }
}

/// Guards against first attempts that count as late because callers state different times, and against requests that come
/// back and take the places of first attempts.
#[test]
fn requests_that_come_back_are_recognised() {
    let ms = Duration::from_millis;
    let mut log = TimeLeftLog::default();
    for index in 0..20 {
        assert_eq!(log.note(ms([12_000, 3_000][index % 2])), Duration::ZERO);
    }
    assert_eq!(log.note(ms(9_450)), ms(2_550));
    assert_eq!(log.note(ms(1_740)), ms(1_260));
    assert_eq!(log.note(ms(11_990)), Duration::ZERO, "a slow transfer");
    assert_eq!(log.note(ms(500)), Duration::ZERO, "too little left");
    assert_eq!(log.note(ms(25_000)), Duration::ZERO, "more than usual");
    let mut log = TimeLeftLog::default();
    for index in 0..200 {
        assert_eq!(
            log.note(ms(1_000 + index * 7_919 % 20_000)),
            Duration::ZERO,
            "no time is usual"
        );
    }
}

/// Guards against requests that are refused because grants are rare: a daemon in a large fleet gets one request a second for
/// a model, and most time between two grants nothing waits.
#[test]
fn rare_grants_do_not_refuse() {
    let start = Instant::now();
    let limit = Duration::from_millis(WAIT_LIMIT_MS);
    let mut rate = GrantRate::new(start);
    let mut interval = 0.0;
    for second in 0..30 {
        interval = interval * 0.9 + 0.1;
        let now = start + Duration::from_secs(second);
        rate.set_waiting(true, now);
        let later = now + Duration::from_millis(50);
        rate.granted(later);
        rate.set_waiting(false, later);
    }
    println!(
        "10 requests need {:.1} s by the mean interval between grants",
        interval * 10.0
    );
    let now = start + Duration::from_secs(30);
    assert!(
        rate.may_wait(10, limit, now),
        "10 requests need half a second"
    );
    assert!(!rate.may_wait(100, limit, now), "100 requests need 5 s");
}

/// Guards against requests that wait behind a queue which gets no slots, and against a queue that takes none ever again.
#[test]
fn queue_without_grants_keeps_only_the_first() {
    let start = Instant::now();
    let limit = Duration::from_millis(WAIT_LIMIT_MS);
    let mut rate = GrantRate::new(start);
    assert!(rate.may_wait(20, limit, start), "nothing is known yet");
    rate.set_waiting(true, start);
    let now = start + Duration::from_secs(20);
    assert!(rate.may_wait(0, limit, now), "a slot may come");
    assert!(!rate.may_wait(4, limit, now), "no slot came in 20 s");
    rate.set_waiting(false, now);
    let later = now + Duration::from_secs(60);
    assert!(rate.may_wait(4, limit, later), "the stall was long ago");
}

/// Guards against refused requests that come back together, too early for a long queue, or after their callers gave up.
#[test]
fn returns_are_spread_over_the_time_of_the_queue() {
    let start = Instant::now();
    let mut rate = GrantRate::new(start);
    rate.set_waiting(true, start);
    let mut now = start;
    for _ in 0..40 {
        now += Duration::from_millis(100);
        rate.granted(now);
    }
    let seconds =
        |rate: &mut GrantRate, waiting, draw| rate.retry_after(waiting, draw, now).as_secs_f64();
    assert!((0.5..=0.6).contains(&seconds(&mut rate, 1, 0.0)));
    assert!((1.5..=2.5).contains(&seconds(&mut rate, 40, 0.0)));
    assert!((5.0..=6.5).contains(&seconds(&mut rate, 40, 1.0)));
    let long = Duration::from_secs(30);
    let left = Duration::from_secs(3);
    assert_eq!(spread_return(long, left, 0.0), Duration::from_millis(500));
    assert_eq!(spread_return(long, left, 1.0), Duration::from_secs(1));
    assert_eq!(
        spread_return(Duration::from_millis(700), left, 0.5),
        Duration::from_millis(700)
    );
}
