//! Model-based test of planners and engines on a virtual clock.
//!
//! Appends and orders are lost, delayed or duplicated, planners are paused and resumed, and engines check fencing
//! numbers or not. No engine may ever hold more than its capacity, and a model that was placed must keep a replica.
#![allow(clippy::unwrap_used)]

mod engine_fleet;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use engine_fleet::{SimEngine, server_name, zone_name};
use foxtailhill::catalog::FleetPolicy;
use foxtailhill::engine::{EngineOrder, LoadReport, OrderAction, OrderReply, ResidentItem};
use foxtailhill::ids::{LogOffset, RecordId, VmId};
use foxtailhill::ledger::{LedgerTiming, MemoryLedger};
use foxtailhill::placement::{
    DemandFacts, FleetFacts, GreedyPolicy, GreedySettings, ModelFacts, OrderReason, OrderRecord,
    OrderTracker, PlacementInput, PlacementPolicy, PlannerFence, ProposedOrder, ReadBack,
    ServerFacts,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::format_smolstr;

const ZONES: usize = 2;
const SERVERS: usize = 6;
const MODELS: usize = 8;
const CAPACITY: u64 = 10;
/// Maximum delivery time of an order, in virtual milliseconds.
const ORDER_DELAY: u64 = 100;
const REPORT_LAG: u64 = 20;
const TERM: u64 = 150;

#[derive(Clone, Copy, Debug)]
struct SimulationOptions {
    seed: u64,
    checks_fencing: bool,
    /// Whether engines keep the highest fencing number over a restart and the ledgers rely on it.
    keeps_fence: bool,
    restarts: bool,
    steps: u64,
}

enum Event {
    Append(OrderRecord),
    Order {
        server: usize,
        order: EngineOrder,
        from: usize,
    },
    Reply {
        to: usize,
        vm: VmId,
        offset: LogOffset,
        reply: OrderReply,
    },
    Report {
        to: usize,
        server: usize,
        report: LoadReport,
        asked_at: u64,
    },
}

struct Daemon {
    vm: VmId,
    zone: usize,
    tracker: OrderTracker,
    policy: GreedyPolicy,
    awaited: HashMap<RecordId, (u64, Option<LogOffset>)>,
    paused_until: u64,
    term_until: u64,
    /// Fencing number under which the daemon considers itself planner, although it may have expired.
    believed_fence: Option<u64>,
}

impl Daemon {
    fn new(vm: u64, zone: usize, options: &SimulationOptions) -> Self {
        let timing = LedgerTiming {
            order_delay: Duration::from_millis(ORDER_DELAY),
            report_lag: Duration::from_millis(REPORT_LAG),
            fences_survive_restart: options.keeps_fence,
        };
        let settings = GreedySettings {
            move_cost: 0.1,
            min_residence: Duration::from_millis(20),
            takeover_after: Duration::from_millis(50),
            ..GreedySettings::default()
        };
        Self {
            vm: VmId(vm),
            zone,
            tracker: OrderTracker::new(timing, Duration::from_millis(60)),
            policy: GreedyPolicy::new(settings),
            awaited: HashMap::new(),
            paused_until: 0,
            term_until: 0,
            believed_fence: None,
        }
    }
}

struct Simulation {
    options: SimulationOptions,
    base: Instant,
    now: u64,
    random: StdRng,
    log: Vec<OrderRecord>,
    events: Vec<(u64, Event)>,
    daemons: Vec<Daemon>,
    engines: Vec<SimEngine>,
    /// Planner of each zone: daemon and fence.
    planners: Vec<(usize, u64)>,
    left: HashMap<VmId, u64>,
    next_fence: u64,
    facts: Arc<FleetFacts>,
    placed: Vec<bool>,
    unloads: u64,
}

fn facts(now: u64, checks_fencing: bool, random: &mut StdRng) -> FleetFacts {
    let busiest = random.random_range(0..MODELS);
    let models = (0..MODELS).map(|index| ModelFacts {
        name: format_smolstr!("model-{index}"),
        version: format_smolstr!("v{}", (now / 3_000 + index as u64) / 4),
        memory_bytes: 2 + index as u64 % 3,
        min_replicas: 1,
        demand: DemandFacts {
            arrivals_per_s: if index == busiest { 500.0 } else { 1.0 },
            tokens_per_s: if index == busiest { 6_000.0 } else { 10.0 },
            ..DemandFacts::default()
        },
    });
    let servers = (0..SERVERS).map(|index| ServerFacts {
        name: server_name(index),
        zone: zone_name(index % ZONES),
        address: ([127, 0, 0, 1], 40_000 + index as u16).into(),
        memory_bytes: CAPACITY,
        slots: 16,
        checks_fencing,
        leaving: false,
        reachable: true,
    });
    FleetFacts {
        models: models.collect(),
        adapters: Vec::new(),
        servers: servers.collect(),
        policy: FleetPolicy {
            order_delay: Duration::from_millis(ORDER_DELAY),
            loads_per_s_milli: 1_000_000,
            loads_in_flight: 12,
            ..FleetPolicy::default()
        },
        zones: ZONES as u32,
    }
}

impl Simulation {
    fn new(options: SimulationOptions) -> Self {
        let engine = SimEngine::new(CAPACITY, options.checks_fencing, options.keeps_fence);
        let daemons =
            (0..2 * ZONES).map(|index| Daemon::new(index as u64, index % ZONES, &options));
        Self {
            base: Instant::now(),
            now: 0,
            random: StdRng::seed_from_u64(options.seed),
            log: Vec::new(),
            events: Vec::new(),
            daemons: daemons.collect(),
            engines: vec![engine; SERVERS],
            planners: (0..ZONES).map(|zone| (zone, zone as u64)).collect(),
            left: HashMap::new(),
            next_fence: 10,
            facts: Arc::default(),
            placed: vec![false; MODELS],
            unloads: 0,
            options,
        }
    }

    fn at(&self, time: u64) -> Instant {
        self.base + Duration::from_millis(time)
    }

    fn schedule(&mut self, longest: u64, event: Event) {
        let at = self.now + self.random.random_range(0..longest);
        self.events.push((at, event));
    }

    fn step(&mut self) {
        self.now += 1;
        if self.now % 250 == 1 {
            let checks_fencing = self.options.checks_fencing;
            self.facts = Arc::new(facts(self.now, checks_fencing, &mut self.random));
        }
        self.deliver();
        for engine in &mut self.engines {
            engine.advance(self.now);
        }
        self.poll();
        self.pause_daemon();
        self.elect();
        for index in 0..self.daemons.len() {
            if self.daemons[index].paused_until <= self.now {
                self.run_daemon(index);
            }
        }
        if self.options.restarts && self.random.random_bool(0.002) {
            let server = self.random.random_range(0..SERVERS);
            self.engines[server].restart();
        }
        self.check();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let daemons = &self.daemons;
        // Messages to a paused daemon wait in its sockets.
        let waits = |event: &Event| match event {
            Event::Reply { to, .. } | Event::Report { to, .. } => daemons[*to].paused_until > now,
            _ => false,
        };
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, event)| *at <= now && !waits(event));
        self.events = rest;
        for (_, event) in due {
            self.deliver_one(event);
        }
    }

    fn deliver_one(&mut self, event: Event) {
        match event {
            Event::Append(record) => self.log.push(record),
            Event::Order {
                server,
                order,
                from,
            } => {
                let ready_at = self.now + self.random.random_range(1..30);
                let reply = self.engines[server].order(&order, ready_at);
                if self.random.random_bool(0.7) {
                    let reply = Event::Reply {
                        to: from,
                        vm: self.daemons[from].vm,
                        offset: LogOffset(order.fence),
                        reply,
                    };
                    self.schedule(ORDER_DELAY, reply);
                }
            }
            Event::Reply {
                to,
                vm,
                offset,
                reply,
            } => {
                let now = self.at(self.now);
                if self.daemons[to].vm == vm {
                    self.daemons[to].tracker.note_answer(offset, reply, now);
                }
            }
            Event::Report {
                to,
                server,
                report,
                asked_at,
            } => {
                let (asked_at, now) = (self.at(asked_at), self.at(self.now));
                let tracker = &mut self.daemons[to].tracker;
                tracker.note_report(&server_name(server), &report, asked_at, now);
            }
        }
    }

    /// Lets each daemon request reports. The reported state is older than the request, and answers may be reordered.
    fn poll(&mut self) {
        if !self.now.is_multiple_of(10) {
            return;
        }
        for server in 0..SERVERS {
            let report = self.engines[server].report();
            for to in 0..self.daemons.len() {
                if self.daemons[to].paused_until <= self.now && self.random.random_bool(0.8) {
                    let lag = self.random.random_range(0..REPORT_LAG);
                    let report = Event::Report {
                        to,
                        server,
                        report: report.clone(),
                        asked_at: self.now + lag,
                    };
                    let at = self.now + lag + self.random.random_range(0..50);
                    self.events.push((at, report));
                }
            }
        }
    }

    fn pause_daemon(&mut self) {
        if self.random.random_bool(0.003) {
            let index = self.random.random_range(0..self.daemons.len());
            let pause = self.random.random_range(1..3 * TERM);
            self.daemons[index].paused_until = self.now + pause;
        }
    }

    /// Renews terms and expires planners whose term ended. An expired daemon resumes with its old state, and is
    /// replaced by a new one some time later.
    fn elect(&mut self) {
        for index in 0..self.daemons.len() {
            let daemon = &self.daemons[index];
            let awake = daemon.paused_until <= self.now;
            let expired = self.left.contains_key(&daemon.vm);
            if expired && awake && self.random.random_bool(0.02) {
                self.replace(index);
            }
        }
        for zone in 0..ZONES {
            let (planner, fence) = self.planners[zone];
            let daemon = &mut self.daemons[planner];
            if daemon.term_until == 0 {
                daemon.believed_fence = Some(fence);
                daemon.term_until = self.now + TERM;
            } else if daemon.paused_until <= self.now && daemon.term_until >= self.now {
                daemon.term_until = self.now + TERM;
            } else if self.now > daemon.term_until + TERM / 10 {
                self.left.insert(daemon.vm, self.now);
                let next = (planner + ZONES) % (2 * ZONES);
                if self.left.contains_key(&self.daemons[next].vm) {
                    self.replace(next);
                }
                self.next_fence += 1;
                self.planners[zone] = (next, self.next_fence);
            }
        }
    }

    fn replace(&mut self, index: usize) {
        self.next_fence += 1;
        let zone = self.daemons[index].zone;
        self.daemons[index] = Daemon::new(100 + self.next_fence, zone, &self.options);
    }

    fn run_daemon(&mut self, index: usize) {
        self.read(index);
        if !self.random.random_bool(0.15) {
            return;
        }
        let now = self.at(self.now);
        let learned = self.random.random_range(0..50);
        let (left, time) = (self.left.clone(), self.now);
        let facts = self.facts.clone();
        let daemon = &mut self.daemons[index];
        daemon.tracker.declare(facts);
        let has_left = |vm: VmId| left.get(&vm).is_some_and(|at| at + learned <= time);
        daemon.tracker.close_former_orders(has_left, now);
        let expired: Vec<RecordId> = daemon
            .awaited
            .iter()
            .filter(|(_, (until, _))| *until < time)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            daemon.awaited.remove(&id);
            daemon.tracker.forget_expected(id);
        }
        if let Some(fence) = self.planner_fence(index) {
            self.plan(index, &fence);
        }
        while let Some(order) = self.daemons[index].tracker.unlogged_done() {
            self.daemons[index].tracker.note_done_logged(order);
            self.schedule(20, Event::Append(OrderRecord::Done { order }));
        }
    }

    fn planner_fence(&self, index: usize) -> Option<PlannerFence> {
        let daemon = &self.daemons[index];
        let fence = daemon
            .believed_fence
            .filter(|_| daemon.term_until >= self.now)?;
        Some(PlannerFence {
            zone: zone_name(daemon.zone),
            vm: daemon.vm,
            fence: LogOffset(fence),
        })
    }

    fn read(&mut self, index: usize) {
        let now = self.at(self.now);
        let daemon = &mut self.daemons[index];
        let mut valid = Vec::new();
        for _ in 0..self.random.random_range(0..4) {
            let offset = daemon.tracker.next();
            let Some(record) = self.log.get(offset.0 as usize) else {
                break;
            };
            let Some((id, read_back)) = daemon.tracker.apply(offset, record, now) else {
                continue;
            };
            match (daemon.awaited.remove(&id), read_back) {
                (Some((_, Some(fence))), ReadBack::Valid(_)) => {
                    daemon.tracker.set_leading_fence(Some(fence))
                }
                (Some((_, None)), ReadBack::Valid(offset)) => valid.push(offset),
                _ => {}
            }
        }
        for offset in valid {
            self.send(index, offset);
        }
    }

    fn append(&mut self, index: usize, id: RecordId, record: OrderRecord, lead: Option<LogOffset>) {
        let daemon = &mut self.daemons[index];
        daemon.tracker.expect_record(id);
        daemon.awaited.insert(id, (self.now + 60, lead));
        for _ in 0..self.copies() {
            self.schedule(80, Event::Append(record.clone()));
        }
    }

    /// Returns a random number of copies of a message: mostly one, sometimes none or two.
    fn copies(&mut self) -> usize {
        match self.random.random_range(0..10) {
            0 => 0,
            1 | 2 => 2,
            _ => 1,
        }
    }

    fn plan(&mut self, index: usize, fence: &PlannerFence) {
        let now = self.at(self.now);
        let daemon = &mut self.daemons[index];
        if daemon.tracker.leading_fence() != Some(fence.fence) {
            if daemon.awaited.is_empty() {
                let id = RecordId(self.random.random());
                let record = OrderRecord::Lead {
                    id,
                    zone: fence.zone.clone(),
                    planner_fence: fence.fence,
                    planner: daemon.vm,
                };
                self.append(index, id, record, Some(fence.fence));
            }
            return;
        }
        let (every, limit) = (Duration::from_millis(40), Duration::from_secs(2));
        for offset in daemon.tracker.orders_to_send(every, limit, now) {
            self.send(index, offset);
        }
        let daemon = &mut self.daemons[index];
        let budget = daemon.tracker.budget(&fence.zone, now);
        let facts = self.facts.clone();
        let ledgers = daemon.tracker.ledgers_of(&facts.servers);
        let ledgers: Vec<&MemoryLedger> = ledgers.iter().map(|ledger| &**ledger).collect();
        let mut proposals = daemon.policy.plan(&PlacementInput {
            facts: &facts,
            ledgers: &ledgers,
            zone: &fence.zone,
            budget,
            now,
        });
        proposals.extend((0..2).map(|_| self.random_proposal()));
        for proposed in proposals {
            if let Some(order) = self.daemons[index]
                .tracker
                .accept_proposal(fence, &proposed)
            {
                self.append(index, order.id, OrderRecord::Order(order.clone()), None);
            }
        }
    }

    /// Returns an arbitrary proposal, as safety must not depend on the policy.
    fn random_proposal(&mut self) -> ProposedOrder {
        let model = &self.facts.models[self.random.random_range(0..MODELS)];
        let item = ResidentItem {
            model: model.name.clone(),
            version: model.version.clone(),
            adapter: None,
        };
        let bytes = model.memory_bytes;
        let action = if self.random.random_bool(0.4) {
            OrderAction::Load { item, bytes }
        } else {
            OrderAction::Unload { item }
        };
        ProposedOrder {
            server: self.random.random_range(0..SERVERS),
            action,
            reason: OrderReason::Demand,
        }
    }

    fn send(&mut self, index: usize, offset: LogOffset) {
        let (now, fence) = (self.at(self.now), self.planner_fence(index));
        let tracker = &mut self.daemons[index].tracker;
        if fence.is_none() || fence.map(|fence| fence.fence) != tracker.own_fence(offset) {
            return;
        }
        match tracker.begin_send(offset, true, now) {
            Ok((order, server)) => {
                let server = usize::from(server.address.port() - 40_000);
                self.unloads += u64::from(matches!(order.action, OrderAction::Unload { .. }));
                for _ in 0..self.copies() {
                    let order = Event::Order {
                        server,
                        order: order.clone(),
                        from: index,
                    };
                    self.schedule(ORDER_DELAY, order);
                }
            }
            Err(_) => tracker.close_order(offset),
        }
    }

    fn check(&mut self) {
        for (index, engine) in self.engines.iter().enumerate() {
            let (fits, now) = (engine.peak <= CAPACITY, self.now);
            assert!(fits, "engine {index} above capacity at {now}: {engine:?}");
        }
        for (index, placed) in self.placed.iter_mut().enumerate() {
            let name = format_smolstr!("model-{index}");
            let present = self.engines.iter().any(|engine| engine.has_model(&name));
            let lost = *placed && !present && !self.options.restarts;
            assert!(!lost, "{name} lost its last replica at {}", self.now);
            *placed |= present;
        }
    }
}

fn run(base: SimulationOptions) {
    let runs: u64 = std::env::var("RUNS").map_or(20, |text| text.parse().unwrap());
    let seed: u64 = std::env::var("SEED").map_or_else(
        |_| u64::from(rand::random::<u32>()),
        |text| text.parse().unwrap(),
    );
    for seed in (0..runs).map(|run| seed + run) {
        let mut simulation = Simulation::new(SimulationOptions { seed, ..base });
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..base.steps {
                simulation.step();
            }
        }));
        assert!(outcome.is_ok(), "failed with SEED={seed} RUNS=1");
        let all_placed = simulation.placed.iter().all(|placed| *placed);
        assert!(all_placed, "seed {seed}");
        assert!(simulation.unloads > 0, "no unload with seed {seed}");
    }
    println!("seeds {seed}..{}", seed + runs);
}

const DEFAULT_OPTIONS: SimulationOptions = SimulationOptions {
    seed: 0,
    checks_fencing: false,
    keeps_fence: false,
    restarts: false,
    steps: 8_000,
};

/// Guards against overcommitted engines and lost models if engines ignore fencing numbers.
#[test]
fn engines_without_fencing_are_never_overcommitted() {
    run(DEFAULT_OPTIONS);
}

/// Guards against overcommitted engines and lost models if engines check fencing numbers and keep them over a restart.
#[test]
fn engines_with_fencing_are_never_overcommitted() {
    run(SimulationOptions {
        checks_fencing: true,
        keeps_fence: true,
        ..DEFAULT_OPTIONS
    });
}

/// Guards against overcommitted engines if old orders reach a restarted engine that ignores fencing numbers.
#[test]
fn restarted_engines_without_fencing_are_never_overcommitted() {
    run(SimulationOptions {
        restarts: true,
        ..DEFAULT_OPTIONS
    });
}

/// Guards against overcommitted engines if old orders reach a restarted engine that forgot the highest fencing number.
#[test]
fn restarted_engines_that_forget_the_fence_are_never_overcommitted() {
    run(SimulationOptions {
        checks_fencing: true,
        restarts: true,
        ..DEFAULT_OPTIONS
    });
}
