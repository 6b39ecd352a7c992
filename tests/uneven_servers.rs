//! Model of the routing of 67 daemons to servers of different speeds, without network. Guards against a choice that
//! ignores the speed of servers and the size of requests, and against daemons that choose the same server because their
//! views are old.

#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::engine::{LoadReport, ResidentItem};
use foxtailhill::routing::{
    BackendView, DispatchGuard, ExpectedFinishPolicy, ExpectedTimePolicy, FinishSelection,
    FleetSnapshot, PaceTable, PrefixIndex, RequestShape, RoundRobinPolicy, RouteNeed,
    RoutingPolicy, ServerHandle, ServerLoad, TimingKey, TimingKind, decode_work, encode_work,
    request_cost,
};

const SERVERS: usize = 112;
const DAEMONS: usize = 67;
const SLOTS: usize = 12;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const TICK_MS: u64 = 5;
/// Period in which a daemon rebuilds its view.
const VIEW_PERIOD_TICKS: u64 = 40;
/// Age of what a view shows of other daemons, in periods of [`VIEW_PERIOD_TICKS`]: 0.6 s.
const VIEW_AGE: usize = 3;
const ARRIVALS_PER_S: f64 = 600.0;
const PROMPT_BYTES: (u64, u64) = (200, 14_000);
const EVENT_TOKENS: u64 = 8;
/// Events of the answers of the two routes.
const EVENTS: [u64; 2] = [36, 3];
const PREFILL_US_PER_TOKEN: f64 = 1_000.0 / 40.8;
const STEP_US: f64 = 5_050.0;
/// Increase in the time of a step by one more stream in the batch.
const STEP_GROWTH: f64 = 0.05;
const WARM_UP_TICKS: u64 = 800;
const MEASURED_TICKS: u64 = 4_000;

/// SplitMix64.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

struct Job {
    daemon: usize,
    route: usize,
    model: usize,
    arrived: u64,
    sent: u64,
    prompt_tokens: u64,
    prefill_left_us: f64,
    output: f64,
    done: f64,
    /// Tick of the first event and number of events, as last measured.
    measured: Option<(u64, u64)>,
    output_us: u32,
    guard: Option<DispatchGuard>,
}

#[derive(Default)]
struct Server {
    running: VecDeque<Job>,
    waiting: VecDeque<Job>,
}

struct Daemon<P> {
    policy: P,
    paces: PaceTable,
    handles: Vec<Arc<ServerHandle>>,
    fleet: FleetSnapshot,
    queue: VecDeque<Job>,
}

/// Requests and work of one daemon by server.
type Load = Vec<(u32, u64)>;

struct Outcome {
    /// Work over speed of the busiest server, as a multiple of the mean.
    busiest: f64,
    /// Requests of the busiest server, as a multiple of the mean.
    busiest_requests: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    first_token_p95: u64,
    served: usize,
    slow_pace: f64,
    fast_pace: f64,
}

struct Model<P> {
    start: Instant,
    models: usize,
    servers: Vec<Server>,
    daemons: Vec<Daemon<P>>,
    history: VecDeque<Vec<Load>>,
    random: Random,
    tick: u64,
    work: Vec<f64>,
    requests: Vec<u64>,
    first_tokens: Vec<u64>,
    served: usize,
    shares_paces: bool,
}

fn speed(server: usize) -> f64 {
    SPEEDS[server % SPEEDS.len()]
}

/// Servers of all speeds hold each model.
fn holds(server: usize, model: usize, models: usize) -> bool {
    server / SPEEDS.len() % models == model
}

impl<P: RoutingPolicy> Model<P> {
    fn new(models: usize, seed: u64, policy: impl Fn(u64) -> P) -> Self {
        let daemon = |index: usize| Daemon {
            policy: policy(seed * 1_000 + index as u64),
            paces: PaceTable::default(),
            handles: (0..SERVERS).map(|_| Arc::default()).collect(),
            fleet: FleetSnapshot::default(),
            queue: VecDeque::new(),
        };
        Self {
            start: Instant::now(),
            models,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            history: VecDeque::new(),
            random: Random(seed),
            tick: 0,
            work: vec![0.0; SERVERS],
            requests: vec![0; SERVERS],
            first_tokens: Vec::new(),
            served: 0,
            shares_paces: true,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.tick * TICK_MS)
    }

    fn is_measured(&self) -> bool {
        self.tick >= WARM_UP_TICKS
    }

    fn run(mut self) -> Outcome {
        for tick in 0..WARM_UP_TICKS + MEASURED_TICKS {
            self.tick = tick;
            if tick % VIEW_PERIOD_TICKS == 0 {
                self.exchange_pulses();
            }
            self.arrive();
            for daemon in 0..DAEMONS {
                self.dispatch(daemon);
            }
            for server in 0..SERVERS {
                self.serve(server);
            }
        }
        self.outcome()
    }

    fn exchange_pulses(&mut self) {
        let load = |daemon: &Daemon<P>| -> Load {
            let handles = daemon.handles.iter();
            handles
                .map(|handle| (handle.in_flight(), handle.work_us()))
                .collect()
        };
        self.history
            .push_back(self.daemons.iter().map(load).collect());
        if self.history.len() > VIEW_AGE + 1 {
            self.history.pop_front();
        }
        let now = self.now();
        if self.shares_paces {
            let news: Vec<_> = self
                .daemons
                .iter_mut()
                .map(|one| one.paces.take_news(now))
                .collect();
            for (sender, news) in news.iter().enumerate() {
                // A daemon gets every third pulse of a peer.
                let turn = self.tick / VIEW_PERIOD_TICKS;
                for (receiver, daemon) in self.daemons.iter_mut().enumerate() {
                    if receiver != sender
                        && (receiver as u64 + sender as u64 + turn).is_multiple_of(3)
                    {
                        daemon.paces.apply_news(news, now);
                    }
                }
            }
        }
        let old = &self.history[0];
        let totals: Load = (0..SERVERS)
            .map(|server| {
                let loads = old.iter().map(|load| load[server]);
                loads.fold((0, 0), |sum, load| {
                    (sum.0 + load.0, sum.1 + decode_work(encode_work(load.1)))
                })
            })
            .collect();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let views = (0..SERVERS).map(|server| {
                let own = (
                    old[index][server].0,
                    decode_work(encode_work(old[index][server].1)),
                );
                let model = server / SPEEDS.len() % self.models;
                let view = BackendView {
                    name: format!("s{server}").into(),
                    zone: "z".into(),
                    address: ([127, 0, 0, 1], 1).into(),
                    software: Default::default(),
                    slots: SLOTS as u32,
                    report: LoadReport {
                        running: totals[server].0 - own.0,
                        token_us: 6_000,
                        resident: vec![(item(model), 0)],
                        ..LoadReport::default()
                    },
                    reported_at: None,
                    in_flight: 0,
                    sent_since_report: 0,
                    suspected_down: false,
                    leaving: false,
                    load: ServerLoad {
                        pace_permille: (daemon.paces.pace(server as u32, now) * 1_000.0) as u32,
                        own_work_us: 0,
                        peer_work_us: Some(totals[server].1 - own.1),
                    },
                };
                (view, daemon.handles[server].clone(), None)
            });
            daemon.fleet = FleetSnapshot::new(views);
        }
    }

    fn arrive(&mut self) {
        let mean = ARRIVALS_PER_S * TICK_MS as f64 / 1_000.0;
        let mut left = -self.random.fraction().ln();
        while left < mean {
            let daemon = self.random.below(DAEMONS as u64) as usize;
            let route = self.random.below(2) as usize;
            let bytes = PROMPT_BYTES.0 + self.random.below(PROMPT_BYTES.1 - PROMPT_BYTES.0);
            let job = Job {
                daemon,
                route,
                model: self.random.below(self.models as u64) as usize,
                arrived: self.tick,
                sent: 0,
                prompt_tokens: bytes / 4,
                prefill_left_us: (bytes / 4) as f64 * PREFILL_US_PER_TOKEN,
                output: (EVENTS[route] * EVENT_TOKENS) as f64,
                done: 0.0,
                measured: None,
                output_us: 0,
                guard: None,
            };
            self.daemons[daemon].queue.push_back(job);
            left -= self.random.fraction().ln();
        }
    }

    fn dispatch(&mut self, daemon: usize) {
        let now = self.now();
        let (tick, is_measured) = (self.tick, self.is_measured());
        let daemon = &mut self.daemons[daemon];
        for mut job in std::mem::take(&mut daemon.queue) {
            let cost = request_cost(RequestShape {
                prompt: job.prompt_tokens,
                parts: &[],
                output: EVENTS[job.route] * EVENT_TOKENS,
            });
            job.output_us = cost.output_us;
            let work_us = cost.after_read(0);
            let need = RouteNeed {
                model: item(job.model).model,
                version: "v".into(),
                adapter: None,
                prefixes: Vec::new(),
                zone: "z".into(),
                software: None,
                avoid: Vec::new(),
                late: false,
                deferred: false,
                trial: Default::default(),
                cost,
            };
            let Some(server) = daemon.policy.choose_in(&need, &daemon.fleet, now) else {
                daemon.queue.push_back(job);
                continue;
            };
            assert!(holds(server, job.model, self.models));
            job.guard = Some(daemon.handles[server].begin_work(work_us));
            job.sent = tick;
            if is_measured {
                self.work[server] += f64::from(work_us);
                self.requests[server] += 1;
            }
            self.servers[server].waiting.push_back(job);
        }
    }

    /// Lets a server compute for one tick: prompts first, one after the other, then steps of the batch.
    fn serve(&mut self, index: usize) {
        let mut capacity_us = TICK_MS as f64 * 1_000.0 * speed(index);
        let server = &mut self.servers[index];
        while server.running.len() < SLOTS
            && let Some(job) = server.waiting.pop_front()
        {
            server.running.push_back(job);
        }
        for job in &mut server.running {
            let used = job.prefill_left_us.min(capacity_us);
            job.prefill_left_us -= used;
            capacity_us -= used;
        }
        let batch = server
            .running
            .iter()
            .filter(|job| job.prefill_left_us <= 0.0)
            .count();
        let step_us = STEP_US * (1.0 + STEP_GROWTH * batch.saturating_sub(1) as f64);
        let steps = capacity_us / step_us;
        for mut job in std::mem::take(&mut server.running) {
            if job.prefill_left_us <= 0.0 {
                job.done += steps;
            }
            let is_done = job.done >= job.output;
            self.measure(index, &mut job);
            match is_done {
                true => self.served += usize::from(self.is_measured()),
                false => self.servers[index].running.push_back(job),
            }
        }
    }

    /// Notes the events of a job as its daemon sees them.
    fn measure(&mut self, server: usize, job: &mut Job) {
        let (tick, now) = (self.tick, self.now());
        let ticks = |count: u64| Duration::from_millis(count * TICK_MS);
        let key = |kind| TimingKey {
            kind,
            route: job.route as u64,
        };
        let events = (job.done.min(job.output) / EVENT_TOKENS as f64) as u64;
        if events == 0 {
            return;
        }
        let guard = job.guard.as_ref().unwrap();
        let left = (1.0 - job.done / job.output).max(0.125);
        guard.lower_remaining((f64::from(job.output_us) * left) as u32);
        let paces = &mut self.daemons[job.daemon].paces;
        let Some((since, seen)) = job.measured else {
            if self.tick >= WARM_UP_TICKS {
                self.first_tokens.push((tick - job.arrived) * TICK_MS);
            }
            let prompt = job.prompt_tokens as f64 * PREFILL_US_PER_TOKEN;
            let work = Duration::from_micros(10_000 + prompt as u64);
            let time = ticks(tick - job.sent);
            paces.record(server as u32, key(TimingKind::FirstEvent), time, work, now);
            job.measured = Some((tick, events));
            return;
        };
        let gaps = events - seen;
        if gaps >= 8 || gaps > 0 && job.done >= job.output {
            let gap = ticks(tick - since) / gaps as u32;
            let work = Duration::from_millis(10);
            paces.record(server as u32, key(TimingKind::Gap), gap, work, now);
            job.measured = Some((tick, events));
        }
    }

    fn outcome(mut self) -> Outcome {
        let weighted: Vec<_> = (0..SERVERS)
            .map(|server| self.work[server] / speed(server))
            .collect();
        let mean = weighted.iter().sum::<f64>() / SERVERS as f64;
        let busiest = weighted.iter().copied().fold(0.0, f64::max) / mean;
        let requests: u64 = self.requests.iter().sum();
        let most = *self.requests.iter().max().unwrap();
        self.first_tokens.sort_unstable();
        let p95 = self.first_tokens[self.first_tokens.len() * 95 / 100];
        let now = self.now();
        let mean_pace = |fast: bool| {
            let servers = (0..SERVERS).filter(|server| (speed(*server) > 1.0) == fast);
            let paces = servers.flat_map(|server| {
                self.daemons
                    .iter()
                    .map(move |one| one.paces.pace(server as u32, now))
            });
            let paces: Vec<_> = paces.collect();
            paces.iter().sum::<f64>() / paces.len() as f64
        };
        Outcome {
            busiest,
            busiest_requests: most as f64 * SERVERS as f64 / requests as f64,
            first_token_p95: p95,
            served: self.served,
            slow_pace: mean_pace(false),
            fast_pace: mean_pace(true),
        }
    }
}

fn item(model: usize) -> ResidentItem {
    ResidentItem {
        model: format!("m{model}").into(),
        version: "v".into(),
        adapter: None,
    }
}

fn report(name: &str, outcome: &Outcome) {
    println!(
        "{name}: busiest server {:.2} of the mean work over speed, {:.2} of the mean requests, first token p95 {} ms, \
         {} served, paces {:.2} and {:.2}",
        outcome.busiest,
        outcome.busiest_requests,
        outcome.first_token_p95,
        outcome.served,
        outcome.slow_pace,
        outcome.fast_pace,
    );
}

fn index() -> Arc<PrefixIndex> {
    Arc::new(PrefixIndex::new())
}

fn run_finish(models: usize, seed: u64, selection: FinishSelection) -> Outcome {
    let policy = |seed| ExpectedFinishPolicy::with_selection(index(), seed, selection);
    let outcome = Model::new(models, seed, policy).run();
    report(
        &format!("{selection:?}, {models} models, seed {seed}"),
        &outcome,
    );
    outcome
}

fn run_time(models: usize, seed: u64) -> Outcome {
    let outcome = Model::new(models, seed, |seed| ExpectedTimePolicy::new(index(), seed)).run();
    report(
        &format!("expected time, {models} models, seed {seed}"),
        &outcome,
    );
    outcome
}

const SEEDS: [u64; 3] = [1, 2, 3];
/// Models whose holders are 112 and 14 servers.
const MODELS: [usize; 2] = [1, 8];
const MAX_BUSIEST: f64 = 1.4;

/// Guards against a server that gets far more work than its speed allows, and against a longer time to the first token
/// than with the choice by the number of requests.
#[test]
fn work_follows_the_speed_of_servers() {
    for models in MODELS {
        for seed in SEEDS {
            let finish = run_finish(models, seed, FinishSelection::TwoChoices);
            let time = run_time(models, seed);
            assert!(
                finish.busiest < MAX_BUSIEST,
                "{models} models, seed {seed}: {}",
                finish.busiest
            );
            assert!(
                finish.first_token_p95 < time.first_token_p95,
                "{models} models, seed {seed}: {} ms, {} ms",
                finish.first_token_p95,
                time.first_token_p95
            );
            assert!(
                finish.fast_pace > 1.5 * finish.slow_pace,
                "the paces are not learned"
            );
        }
    }
}

/// Prints the figures of the other selections, and guards against round robin and the earliest finish becoming better
/// than the choice that is used.
#[test]
fn baselines_spread_work_worse() {
    let mut sums: HashMap<&str, f64> = HashMap::new();
    for seed in SEEDS {
        let round_robin = Model::new(8, seed, |_| RoundRobinPolicy::new()).run();
        report(&format!("round robin, 8 models, seed {seed}"), &round_robin);
        let earliest = run_finish(8, seed, FinishSelection::Earliest);
        let two = run_finish(8, seed, FinishSelection::TwoChoices);
        *sums.entry("round robin").or_default() += round_robin.busiest;
        *sums.entry("earliest").or_default() += earliest.busiest;
        *sums.entry("two").or_default() += two.busiest;
    }
    assert!(sums["two"] < sums["round robin"], "{sums:?}");
    assert!(sums["two"] < sums["earliest"], "{sums:?}");
}
