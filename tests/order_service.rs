//! The order service against an in-memory log and engines: floors, hand-over of the lead, lost answers.
#![allow(clippy::unwrap_used)]

mod engine_fleet;
mod faulty_log;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use engine_fleet::SimEngine;
use faulty_log::{FaultyLog, LogFaults};
use foxtailhill::catalog::FleetPolicy;
use foxtailhill::engine::{
    CacheEvent, EngineChunk, EngineClient, EngineOrder, EngineRequest, LoadReport, OrderReply,
};
use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::journal::StreamName;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::ledger::LedgerTiming;
use foxtailhill::placement::{
    DemandFacts, FleetFacts, FleetView, GreedyPolicy, ModelFacts, OrderRecord, OrderService,
    OrderSettings, PlannerFence, PlannerRole, ServerFacts,
};
use foxtailhill::timer::TimerService;
use foxtailhill::{Error, Result, RunVerdict};
use smol_str::{SmolStr, format_smolstr};

const ZONES: u64 = 3;
const SERVERS: u64 = 9;
const MODELS: u64 = 12;
const GIB: u64 = 1 << 30;

struct Fleet {
    engines: Mutex<HashMap<SocketAddr, SimEngine>>,
    started: Instant,
    /// Share of orders whose answer is lost.
    lose_answer: f64,
}

impl Fleet {
    fn new(lose_answer: f64) -> Self {
        let engines = (0..SERVERS)
            .map(|index| {
                (
                    address(index),
                    SimEngine::new(24 * GIB, index % 2 == 0, false),
                )
            })
            .collect();
        Self {
            engines: Mutex::new(engines),
            started: Instant::now(),
            lose_answer,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn replicas(&self, model: &str) -> usize {
        let engines = self.engines.lock().unwrap();
        engines
            .values()
            .filter(|engine| engine.has_model(model))
            .count()
    }

    fn reports(&self) -> Vec<(SmolStr, LoadReport)> {
        let now = self.now_ms();
        let mut engines = self.engines.lock().unwrap();
        (0..SERVERS)
            .map(|index| {
                let engine = engines.get_mut(&address(index)).unwrap();
                engine.advance(now);
                (server_name(index), engine.report())
            })
            .collect()
    }
}

impl EngineClient for Fleet {
    type Tokens = futures_util::stream::Empty<Result<EngineChunk>>;

    async fn complete(&self, _: SocketAddr, _: &EngineRequest) -> Result<Self::Tokens> {
        Err(Error::unavailable("not served"))
    }

    async fn load(&self, server: SocketAddr) -> Result<LoadReport> {
        Ok(self
            .engines
            .lock()
            .unwrap()
            .get_mut(&server)
            .unwrap()
            .report())
    }

    async fn cache_events(&self, _: SocketAddr, _: u64) -> Result<Vec<CacheEvent>> {
        Ok(Vec::new())
    }

    async fn order(&self, server: SocketAddr, order: &EngineOrder) -> Result<OrderReply> {
        let ready_at = self.now_ms() + 10;
        let reply = {
            let mut engines = self.engines.lock().unwrap();
            engines.get_mut(&server).unwrap().order(order, ready_at)
        };
        if rand::random_bool(self.lose_answer) {
            return Err(Error::unavailable("answer lost").with_verdict(RunVerdict::MayHaveRun));
        }
        Ok(reply)
    }
}

fn address(index: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 40_000 + index as u16))
}

fn server_name(index: u64) -> SmolStr {
    format_smolstr!("engine-{index}")
}

fn model_name(index: u64) -> SmolStr {
    format_smolstr!("model-{index}")
}

struct View(FleetFacts);

impl FleetView for View {
    fn facts(&self) -> Arc<FleetFacts> {
        Arc::new(self.0.clone())
    }
}

fn facts() -> FleetFacts {
    let models = (0..MODELS).map(|index| ModelFacts {
        name: model_name(index),
        version: "v1".into(),
        memory_bytes: (4 + index % 3) * GIB,
        min_replicas: 1 + u32::from(index == 0),
        demand: DemandFacts::default(),
    });
    let servers = (0..SERVERS).map(|index| ServerFacts {
        name: server_name(index),
        zone: format_smolstr!("zone-{}", index % ZONES),
        address: address(index),
        memory_bytes: 24 * GIB,
        slots: 16,
        checks_fencing: index % 2 == 0,
        leaving: false,
        reachable: true,
    });
    FleetFacts {
        models: models.collect(),
        adapters: Vec::new(),
        servers: servers.collect(),
        policy: FleetPolicy {
            order_delay: Duration::from_millis(50),
            loads_per_s_milli: 300_000,
            loads_in_flight: 30,
            ..FleetPolicy::default()
        },
        zones: ZONES as u32,
    }
}

/// Who is planner of which zone, and who left.
#[derive(Default)]
struct Members {
    planners: Mutex<HashMap<VmId, PlannerFence>>,
    left: Mutex<HashSet<VmId>>,
}

struct Role {
    vm: VmId,
    members: Arc<Members>,
}

impl PlannerRole for Role {
    fn planner_fence(&self) -> Option<PlannerFence> {
        self.members.planners.lock().unwrap().get(&self.vm).cloned()
    }

    fn has_left(&self, vm: VmId) -> bool {
        self.members.left.lock().unwrap().contains(&vm)
    }
}

struct OrderFixture {
    log: Arc<FaultyLog>,
    fleet: Arc<Fleet>,
    members: Arc<Members>,
    group: TaskGroup,
    services: Vec<OrderService<FaultyLog, Fleet>>,
}

impl OrderFixture {
    fn start(daemons: u64, faults: LogFaults, lose_answer: f64) -> Self {
        let seed = rand::random();
        println!("seed {seed}");
        let log = Arc::new(FaultyLog::new(seed));
        log.set_faults(faults);
        let group = TaskGroup::new();
        let timer = TimerService::spawn(&group);
        let fleet = Arc::new(Fleet::new(lose_answer));
        let members = Arc::new(Members::default());
        let settings = OrderSettings {
            round_interval: Duration::from_millis(10),
            record_timeout: Duration::from_millis(200),
            resend_interval: Duration::from_millis(30),
            read_wait: Duration::from_millis(20),
            retry_pause: Duration::from_millis(5),
            timing: LedgerTiming {
                report_lag: Duration::from_millis(20),
                ..LedgerTiming::default()
            },
            ..OrderSettings::default()
        };
        let services = (0..daemons)
            .map(|index| {
                let role = Role {
                    vm: VmId(index),
                    members: members.clone(),
                };
                OrderService::spawn(
                    log.clone(),
                    fleet.clone(),
                    Arc::new(role),
                    Arc::new(View(facts())),
                    GreedyPolicy::default(),
                    settings.clone(),
                    &timer,
                    &group,
                )
            })
            .collect();
        Self {
            log,
            fleet,
            members,
            group,
            services,
        }
    }

    fn elect(&self, vm: u64, zone: u64, fence: u64) {
        let fence = PlannerFence {
            zone: format_smolstr!("zone-{zone}"),
            vm: VmId(vm),
            fence: LogOffset(fence),
        };
        let mut planners = self.members.planners.lock().unwrap();
        planners.insert(VmId(vm), fence);
    }

    fn leave(&self, vm: u64) {
        self.members.planners.lock().unwrap().remove(&VmId(vm));
        self.members.left.lock().unwrap().insert(VmId(vm));
    }

    /// Feeds load reports until `done` holds.
    async fn until(&self, what: &str, done: impl Fn(&Fleet) -> bool) {
        for _ in 0..3_000 {
            let asked_at = Instant::now();
            for (server, report) in self.fleet.reports() {
                for service in &self.services {
                    service.note_report(&server, &report, asked_at);
                }
            }
            if done(&self.fleet) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("not within 30 s: {what}; {:?}", self.services[0].dump());
    }

    async fn end(self) {
        self.group.shutdown().await;
        for engine in self.fleet.engines.lock().unwrap().values() {
            assert!(engine.peak <= engine.capacity, "{engine:?}");
        }
    }
}

fn all_have_two_replicas(fleet: &Fleet) -> bool {
    (0..MODELS).all(|index| fleet.replicas(&model_name(index)) >= 2)
}

/// Guards against models that stay without a replica while records and answers are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_model_is_placed_despite_faults() {
    let faults = LogFaults {
        lose_answer: 0.2,
        lose_append: 0.1,
        late_append: 0.1,
        late_ms: 40,
    };
    let fixture = OrderFixture::start(3, faults, 0.3);
    for zone in 0..ZONES {
        fixture.elect(zone, zone, 10 + zone);
    }
    fixture
        .until("two replicas each", all_have_two_replicas)
        .await;
    fixture.end().await;
}

/// Guards against a new planner that ignores the former one's orders, and one that stops at an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn next_planner_restores_the_minimum_of_replicas() {
    let fixture = OrderFixture::start(2, LogFaults::default(), 0.0);
    fixture.elect(0, 0, 10);
    fixture.log.set_down(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.log.set_down(false);
    fixture
        .until("one replica each", |fleet| {
            (0..3).all(|index| fleet.replicas(&model_name(index)) >= 1)
        })
        .await;
    fixture.leave(0);
    fixture.elect(1, 0, 20);
    for engine in fixture.fleet.engines.lock().unwrap().values_mut() {
        engine.restart();
    }
    for index in 0..3 {
        let restarted = format_smolstr!("model-{index}");
        fixture
            .until("restored", |fleet| fleet.replicas(&restarted) >= 1)
            .await;
    }
    assert_eq!(fixture.services[1].dump().led, Some(LogOffset(20)));
    fixture.end().await;
}

/// Guards against orders under an incarnation that was expired while the daemon was paused: other planners take their
/// writer for gone and give the memory away.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_carry_the_incarnation_that_leads() {
    let fixture = OrderFixture::start(2, LogFaults::default(), 0.0);
    fixture.elect(0, 0, 10);
    let placed = |fleet: &Fleet| fleet.replicas(&model_name(0)) >= 1;
    fixture.until("placed", placed).await;
    let again = PlannerFence {
        zone: "zone-0".into(),
        vm: VmId(7),
        fence: LogOffset(20),
    };
    fixture.members.left.lock().unwrap().insert(VmId(0));
    fixture
        .members
        .planners
        .lock()
        .unwrap()
        .insert(VmId(0), again);
    for engine in fixture.fleet.engines.lock().unwrap().values_mut() {
        engine.restart();
    }
    fixture.until("restored", placed).await;
    let records = fixture.log.records(StreamName::Orders);
    let mut second_lead_records = 0;
    for record in &records {
        let (fence, planner) = match OrderRecord::decode(record).unwrap() {
            OrderRecord::Lead {
                planner_fence,
                planner,
                ..
            } => (planner_fence, planner),
            OrderRecord::Order(order) => (order.planner_fence, order.planner),
            OrderRecord::Done { .. } => continue,
        };
        let leads_again = fence == LogOffset(20);
        assert_eq!(planner, if leads_again { VmId(7) } else { VmId(0) });
        second_lead_records += usize::from(leads_again);
    }
    assert!(second_lead_records > 1, "no order after the second lead");
    fixture.end().await;
}
