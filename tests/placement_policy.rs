//! What the policies propose on small fleets whose engines carry every order out at once.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use foxtailhill::engine::{LoadReport, OrderAction, ResidentItem};
use foxtailhill::ledger::{LedgerTiming, MemoryLedger};
use foxtailhill::placement::{
    AdapterFacts, DemandFacts, FleetFacts, GreedyPolicy, LoadBudget, LruPolicy, ModelFacts,
    OrderReason, PlacementInput, PlacementPolicy, ProposedOrder, ServerFacts,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

struct Fleet {
    facts: FleetFacts,
    resident: Vec<Vec<(ResidentItem, u64)>>,
    ledgers: Vec<MemoryLedger>,
    now: Instant,
    sequence: u64,
}

impl Fleet {
    /// Servers alternate between two zones; models need `sizes` bytes.
    fn new(capacities: &[u64], sizes: &[u64]) -> Self {
        let servers = capacities
            .iter()
            .enumerate()
            .map(|(index, bytes)| ServerFacts {
                name: format_smolstr!("engine-{index}"),
                zone: format_smolstr!("zone-{}", index % 2),
                address: ([127, 0, 0, 1], 9_000).into(),
                memory_bytes: *bytes,
                slots: 16,
                checks_fencing: false,
                leaving: false,
                reachable: true,
            });
        let models = sizes.iter().enumerate().map(|(index, bytes)| ModelFacts {
            name: format_smolstr!("model-{index}"),
            version: "v1".into(),
            memory_bytes: *bytes,
            min_replicas: 1,
            demand: DemandFacts::default(),
        });
        let timing = LedgerTiming::default();
        let ledgers = capacities
            .iter()
            .map(|bytes| MemoryLedger::new(*bytes, false, timing));
        let mut fleet = Self {
            facts: FleetFacts {
                models: models.collect(),
                servers: servers.collect(),
                zones: 2,
                ..FleetFacts::default()
            },
            resident: vec![Vec::new(); capacities.len()],
            ledgers: ledgers.collect(),
            now: Instant::now(),
            sequence: 0,
        };
        fleet.report();
        fleet
    }

    fn report(&mut self) {
        self.sequence += 1;
        self.now += Duration::from_secs(200);
        for (ledger, resident) in self.ledgers.iter_mut().zip(&self.resident) {
            let report = LoadReport {
                sequence: self.sequence,
                resident: resident.clone(),
                ..LoadReport::default()
            };
            ledger.apply_report(&report, self.now, self.now);
        }
    }

    fn propose<P: PlacementPolicy>(&self, policy: &mut P, zone: usize) -> Vec<ProposedOrder> {
        let ledgers: Vec<&MemoryLedger> = self.ledgers.iter().collect();
        policy.plan(&PlacementInput {
            facts: &self.facts,
            ledgers: &ledgers,
            zone: &format_smolstr!("zone-{zone}"),
            budget: LoadBudget {
                models: 4,
                adapters: 1,
            },
            now: self.now,
        })
    }

    fn carry_out(&mut self, orders: &[ProposedOrder]) {
        for order in orders {
            let resident = &mut self.resident[order.server];
            match &order.action {
                OrderAction::Load { item, bytes } => resident.push((item.clone(), *bytes)),
                OrderAction::Unload { item } => resident.retain(|(other, _)| other != item),
            }
        }
        self.report();
    }

    /// Runs rounds of both zones' planners; returns all orders.
    fn run_rounds<P: PlacementPolicy>(
        &mut self,
        policies: &mut [P; 2],
        rounds: usize,
    ) -> Vec<ProposedOrder> {
        let mut all = Vec::new();
        for _ in 0..rounds {
            for (zone, policy) in policies.iter_mut().enumerate() {
                let orders = self.propose(policy, zone);
                self.carry_out(&orders);
                all.extend(orders);
                self.check_fits();
            }
        }
        all
    }

    fn check_fits(&self) {
        for (server, resident) in self.facts.servers.iter().zip(&self.resident) {
            let used: u64 = resident.iter().map(|(_, bytes)| bytes).sum();
            assert!(used <= server.memory_bytes, "{} holds {used}", server.name);
        }
    }

    fn replicas(&self, model: usize) -> Vec<(usize, SmolStr)> {
        let name = &self.facts.models[model].name;
        let items = self
            .resident
            .iter()
            .enumerate()
            .flat_map(|(server, items)| items.iter().map(move |(item, _)| (server, item)));
        items
            .filter(|(_, item)| item.model == *name && item.adapter.is_none())
            .map(|(server, item)| (server, item.version.clone()))
            .collect()
    }

    fn set_demand(&mut self, model: usize, factor: f64) {
        self.facts.models[model].demand = DemandFacts {
            arrivals_per_s: 10.0 * factor,
            tokens_per_s: 1_500.0 * factor,
            waiting: (10.0 * factor) as u32,
            misses_per_s: factor,
        };
    }
}

fn greedy_policies() -> [GreedyPolicy; 2] {
    Default::default()
}

/// Guards against a model without a replica that waits behind second replicas of others.
#[test]
fn models_without_a_replica_are_loaded_first() {
    let mut fleet = Fleet::new(&[30, 30], &[10, 10, 10, 10]);
    fleet.set_demand(0, 5.0);
    let first = fleet.propose(&mut GreedyPolicy::default(), 0);
    let reasons: Vec<OrderReason> = first.iter().map(|order| order.reason).collect();
    let missing = reasons
        .iter()
        .filter(|reason| **reason == OrderReason::Unreachable);
    assert_eq!(missing.count(), 2, "the other two go to the other zone");
    assert_eq!(reasons[..2], [OrderReason::Unreachable; 2]);
    // A full fleet makes room for a new model from surplus replicas only.
    fleet.run_rounds(&mut greedy_policies(), 6);
    let new = ModelFacts {
        name: "model-new".into(),
        ..fleet.facts.models[1].clone()
    };
    fleet.facts.models.push(new);
    fleet.run_rounds(&mut greedy_policies(), 6);
    assert!((0..5).all(|model| !fleet.replicas(model).is_empty()));
}

/// Guards against models that a zone outage makes unreachable although memory would have allowed two zones.
#[test]
fn replicas_spread_over_two_zones() {
    let mut fleet = Fleet::new(&[20, 20, 20, 20], &[10, 10, 10]);
    fleet.run_rounds(&mut greedy_policies(), 4);
    for model in 0..3 {
        let zones: Vec<usize> = fleet.replicas(model).iter().map(|r| r.0 % 2).collect();
        assert!(zones.contains(&0) && zones.contains(&1), "{zones:?}");
    }
}

/// Guards against a version change that leaves a model without a replica or stops half-way.
#[test]
fn new_version_is_loaded_before_the_old_one_is_unloaded() {
    for (capacity, tight) in [(25, false), (10, true)] {
        let mut fleet = Fleet::new(&[capacity, capacity], &[10]);
        let mut policies: [GreedyPolicy; 2] = Default::default();
        fleet.run_rounds(&mut policies, 4);
        assert_eq!(fleet.replicas(0).len(), 2);
        fleet.facts.models[0].version = "v2".into();
        let mut fewest = 2;
        for _ in 0..12 {
            fleet.run_rounds(&mut policies, 1);
            fewest = fewest.min(fleet.replicas(0).len());
        }
        assert_eq!(fewest, if tight { 1 } else { 2 });
        assert!(fleet.replicas(0).iter().all(|(_, version)| version == "v2"));
        assert_eq!(fleet.replicas(0).len(), 2);
    }
}

/// Guards against moves without end under steady demand, and against demand that is not followed.
#[test]
fn steady_demand_causes_no_moves() {
    let mut fleet = Fleet::new(&[40; 6], &[10; 12]);
    let mut policies: [GreedyPolicy; 2] = Default::default();
    fleet.run_rounds(&mut policies, 10);
    let before = fleet.replicas(3).len();
    fleet.set_demand(3, 6.0);
    for rival in 4..12 {
        fleet.set_demand(rival, 1.0);
    }
    fleet.run_rounds(&mut policies, 40);
    let after = fleet.replicas(3).len();
    assert!(
        after > before,
        "{before} replicas before the surge, {after} after"
    );
    assert_eq!(fleet.run_rounds(&mut policies, 20), []);
}

/// Guards against the removal of a model's last replica, whatever the demand does.
#[test]
fn last_replica_is_never_unloaded() {
    let seed = rand::random();
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..20 {
        let capacities: Vec<u64> = (0..6).map(|_| random.random_range(15..40)).collect();
        let sizes: Vec<u64> = (0..9).map(|_| random.random_range(3..12)).collect();
        let mut fleet = Fleet::new(&capacities, &sizes);
        let mut greedy: [GreedyPolicy; 2] = Default::default();
        let mut lru = [LruPolicy::new(true), LruPolicy::new(true)];
        let mut placed = [false; 9];
        for _ in 0..30 {
            fleet.set_demand(random.random_range(0..9), random.random_range(0.0..20.0));
            match random.random_range(0..6) {
                0 => fleet.facts.models[random.random_range(0..9)].version = "v2".into(),
                1 => drop(fleet.run_rounds(&mut lru, 1)),
                _ => drop(fleet.run_rounds(&mut greedy, 1)),
            }
            for (model, placed) in placed.iter_mut().enumerate() {
                let present = !fleet.replicas(model).is_empty();
                assert!(present || !*placed, "model {model} lost, seed {seed}");
                *placed |= present;
            }
        }
    }
}

/// Guards against adapters that are loaded beyond the limit, far from their model, or never make room.
#[test]
fn adapters_are_loaded_on_demand() {
    let mut fleet = Fleet::new(&[13, 13], &[10]);
    fleet.run_rounds(&mut greedy_policies(), 2);
    let adapter = |index: usize, waiting: u32| AdapterFacts {
        name: format_smolstr!("adapter-{index}"),
        model: "model-0".into(),
        memory_bytes: 3,
        demand: DemandFacts {
            waiting,
            ..DemandFacts::default()
        },
    };
    fleet.facts.adapters = (0..3)
        .map(|index| adapter(index, 1 + index as u32 % 2))
        .collect();
    let mut policies: [GreedyPolicy; 2] = Default::default();
    let orders = fleet.run_rounds(&mut policies, 4);
    assert_eq!(
        orders.len(),
        2,
        "two fit, and nobody makes room for the third: {orders:?}"
    );
    assert_eq!(orders[0].reason, OrderReason::Adapter);
    for index in [0, 1] {
        fleet.facts.adapters[index].demand.waiting = 0;
    }
    fleet.facts.adapters[2].demand.waiting = 1;
    let has = |fleet: &Fleet, name: &str| {
        let mut items = fleet.resident.iter().flatten();
        items.any(|(item, _)| item.adapter.as_deref() == Some(name))
    };
    fleet.run_rounds(&mut policies, 4);
    assert!(has(&fleet, "adapter-2"));
    // An adapter that is not declared any more goes, and facts without models remove nothing.
    fleet.facts.adapters.pop();
    fleet.run_rounds(&mut policies, 2);
    assert!(!has(&fleet, "adapter-2"));
    fleet.facts.models.clear();
    assert_eq!(fleet.run_rounds(&mut policies, 2), []);
}

/// Guards against a baseline that does not evict in order of use.
#[test]
fn lru_policy_evicts_the_least_recently_used_model() {
    let mut fleet = Fleet::new(&[20], &[10, 10, 10]);
    let mut policy = LruPolicy::new(false);
    for model in [0, 1, 0, 2] {
        for other in 0..3 {
            fleet.facts.models[other].demand = DemandFacts::default();
        }
        fleet.set_demand(model, 1.0);
        for _ in 0..3 {
            let orders = fleet.propose(&mut policy, 0);
            fleet.carry_out(&orders);
            fleet.check_fits();
        }
    }
    let present: Vec<bool> = (0..3)
        .map(|model| !fleet.replicas(model).is_empty())
        .collect();
    assert_eq!(present, [true, false, true]);
}
