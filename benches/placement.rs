//! Time of a planning round at 13, 320 and 1,000 models; the target is 50 ms at 320 models and 600 servers.

use std::time::Instant;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use foxtailhill::engine::{LoadReport, OrderAction, ResidentItem};
use foxtailhill::ledger::{LedgerTiming, MemoryLedger};
use foxtailhill::placement::{
    DemandFacts, FleetFacts, GreedyPolicy, LoadBudget, LruPolicy, ModelFacts, PlacementInput,
    PlacementPolicy, ServerFacts,
};
use smol_str::{SmolStr, format_smolstr};

const GIB: u64 = 1 << 30;
const ZONES: usize = 10;

/// Demand falls with the model's rank; every 40th model's demand has just grown tenfold.
fn demand(index: usize, models: usize) -> DemandFacts {
    let surge = if index % 40 == 7 { 10.0 } else { 1.0 };
    let share = surge * 3.0 / (index as f64 + 3.0);
    DemandFacts {
        arrivals_per_s: share * 7.0 * models as f64 / 10.0,
        tokens_per_s: share * 290.0 * models as f64,
        waiting: if surge > 1.0 { 20 } else { 0 },
        misses_per_s: share,
    }
}

fn facts(models: usize, servers: usize) -> FleetFacts {
    let models_facts = (0..models).map(|index| ModelFacts {
        name: format_smolstr!("model-{index}"),
        version: "v1".into(),
        memory_bytes: (8 + index as u64 * 7 % 30) * GIB,
        min_replicas: 1 + u32::from(index % 10 == 0),
        demand: demand(index, models),
    });
    let servers = (0..servers).map(|index| ServerFacts {
        name: format_smolstr!("engine-{index}"),
        zone: format_smolstr!("zone-{}", index % ZONES),
        address: ([127, 0, 0, 1], 9_000).into(),
        memory_bytes: (48 + 32 * (index as u64 % 3)) * GIB,
        slots: 32,
        checks_fencing: index % 2 == 0,
        leaving: false,
        reachable: true,
    });
    FleetFacts {
        models: models_facts.collect(),
        servers: servers.collect(),
        zones: ZONES as u32,
        ..FleetFacts::default()
    }
}

struct Fleet {
    facts: FleetFacts,
    ledgers: Vec<MemoryLedger>,
    resident: Vec<Vec<(ResidentItem, u64)>>,
    sequence: u64,
    zone: SmolStr,
    now: Instant,
}

impl Fleet {
    fn new(models: usize, servers: usize) -> Self {
        let facts = facts(models, servers);
        let timing = LedgerTiming::default();
        let ledgers = facts
            .servers
            .iter()
            .map(|server| MemoryLedger::new(server.memory_bytes, server.checks_fencing, timing))
            .collect();
        let mut fleet = Self {
            resident: vec![Vec::new(); servers],
            facts,
            ledgers,
            sequence: 0,
            zone: "zone-0".into(),
            now: Instant::now(),
        };
        fleet.report();
        fleet
    }

    fn report(&mut self) {
        self.sequence += 1;
        for (ledger, resident) in self.ledgers.iter_mut().zip(&self.resident) {
            let report = LoadReport {
                sequence: self.sequence,
                resident: resident.clone(),
                ..LoadReport::default()
            };
            ledger.apply_report(&report, self.now, self.now);
        }
    }

    fn plan<P: PlacementPolicy>(&self, policy: &mut P, zone: &SmolStr) -> usize {
        self.propose(policy, zone).len()
    }

    fn propose<P: PlacementPolicy>(
        &self,
        policy: &mut P,
        zone: &SmolStr,
    ) -> Vec<foxtailhill::placement::ProposedOrder> {
        let ledgers: Vec<&MemoryLedger> = self.ledgers.iter().collect();
        policy.plan(&PlacementInput {
            facts: &self.facts,
            ledgers: &ledgers,
            zone,
            budget: LoadBudget {
                models: 1_000,
                adapters: 10,
            },
            now: self.now,
        })
    }

    /// Carries out the loads of every zone until the floors hold.
    fn fill(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for zone in 0..ZONES {
                let zone = format_smolstr!("zone-{zone}");
                for order in self.propose(&mut GreedyPolicy::default(), &zone) {
                    if let OrderAction::Load { item, bytes } = order.action {
                        self.resident[order.server].push((item, bytes));
                    }
                }
                self.report();
            }
        }
    }
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("planning round");
    group.sample_size(20);
    for (models, servers) in [(13, 25), (320, 600), (1_000, 1_900)] {
        let empty = Fleet::new(models, servers);
        let mut full = Fleet::new(models, servers);
        full.fill(6);
        // Half of the models appear when demand for the others has filled the memory.
        let mut starved = Fleet::new(models / 2, servers);
        for model in &mut starved.facts.models {
            model.demand.waiting = 10_000;
        }
        starved.fill(60);
        starved.facts = facts(models, servers);
        let cases = [("empty", &empty), ("filled", &full), ("starved", &starved)];
        for (name, fleet) in cases {
            let mut policy = GreedyPolicy::default();
            group.bench_function(
                BenchmarkId::new(format!("floor first, {name}"), models),
                |b| {
                    b.iter(|| fleet.plan(&mut policy, &fleet.zone));
                },
            );
        }
        let mut policy = LruPolicy::new(true);
        group.bench_function(
            BenchmarkId::new("least recently used, filled", models),
            |b| {
                b.iter(|| full.plan(&mut policy, &full.zone));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
