//! The layout policy under different patterns of demand.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foxtailhill::relay::{
    LayoutEngine, LayoutModel, LayoutMove, LayoutPolicy, ModelConfig, ReplicaOrder,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MEMORY_MB: f64 = 200_000.0;

fn model(name: &str, memory_mb: f64, concurrency: f64) -> LayoutModel {
    LayoutModel {
        config: ModelConfig {
            name: name.into(),
            memory_mb,
            store_load: Duration::from_secs(5),
            disk_load: Duration::from_secs(1),
            host_load: Duration::from_millis(400),
            adapters: 0,
            adapter_mb: 10.0,
        },
        arrivals_per_s: concurrency / 2.0,
        concurrency,
        waiting: 0,
        adapters: 0,
    }
}

fn engine(index: usize, held: &[&str], used_mb: f64) -> LayoutEngine {
    LayoutEngine {
        id: format!("e{index}").into(),
        zone: format!("z{}", index % 3).into(),
        memory_mb: MEMORY_MB,
        used_mb,
        held: held.iter().map(|name| (*name).into()).collect(),
        loading: Vec::new(),
        available: true,
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
        in_flight: 0,
        slots: 64,
        adapter_slots: 8,
    }
}

/// Applies moves at once and checks that no engine is told to load more than fits its memory.
fn apply_moves(engines: &mut [LayoutEngine], models: &[LayoutModel], moves: &[LayoutMove]) {
    let size = |name: &str| {
        let model = models.iter().find(|model| model.config.name == name);
        model.map_or(0.0, |model| model.config.memory_mb)
    };
    for step in moves {
        let engine = &mut engines[step.engine];
        match &step.order {
            ReplicaOrder::Load(item) => {
                engine.used_mb += size(&item.model);
                engine.held.push(item.model.clone());
                engine.on_disk.push(item.model.clone());
            }
            ReplicaOrder::Unload(item) => {
                engine.used_mb -= size(&item.model);
                engine.held.retain(|held| *held != item.model);
            }
        }
        assert!(
            engine.used_mb <= engine.memory_mb,
            "{} holds too much",
            engine.id
        );
    }
}

fn replica_counts(engines: &[LayoutEngine]) -> HashMap<String, usize> {
    let mut replica_counts = HashMap::new();
    for held in engines.iter().flat_map(|engine| &engine.held) {
        *replica_counts.entry(held.to_string()).or_insert(0) += 1;
    }
    replica_counts
}

/// Guards against a model that keeps its single replica although demand has moved to it.
#[test]
fn replicas_follow_demand_to_another_model() {
    let mut engines: Vec<_> = (0..6)
        .map(|index| engine(index, &["old", "rare"], 145_000.0))
        .collect();
    engines[5] = engine(5, &["new"], 72_500.0);
    let models = [
        model("old", 72_500.0, 0.0),
        model("rare", 72_500.0, 1.0),
        model("new", 72_500.0, 90.0),
    ];
    let (mut policy, start) = (LayoutPolicy::default(), Instant::now());
    for round in 0..20 {
        let now = start + Duration::from_millis(200) * round;
        let moves = policy.plan(&engines, &models, 7, now);
        apply_moves(&mut engines, &models, &moves);
    }
    let replica_counts = replica_counts(&engines);
    assert!(replica_counts["new"] >= 4, "{replica_counts:?}");
    assert!(
        replica_counts["old"] >= 1 && replica_counts["rare"] >= 1,
        "{replica_counts:?}"
    );
}

/// Guards against models that are removed and loaded again and again while demand stays the same.
#[test]
fn steady_demand_causes_no_moves() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let models: Vec<_> = (0..21)
            .map(|index| {
                let concurrency = if index < 3 {
                    random.random_range(5.0..60.0)
                } else {
                    random.random_range(0.0..3.0)
                };
                model(
                    &format!("m{index}"),
                    random.random_range(34_000.0..73_000.0),
                    concurrency,
                )
            })
            .collect();
        let mut engines: Vec<_> = (0..18).map(|index| engine(index, &[], 0.0)).collect();
        let (mut policy, start) = (LayoutPolicy::default(), Instant::now());
        let mut late_moves = 0;
        for round in 0..300 {
            let now = start + Duration::from_millis(200) * round;
            let moves = policy.plan(&engines, &models, 14, now);
            apply_moves(&mut engines, &models, &moves);
            late_moves += if round >= 200 { moves.len() } else { 0 };
        }
        assert_eq!(late_moves, 0, "seed {seed}");
        let replica_counts = replica_counts(&engines);
        assert_eq!(
            replica_counts.len(),
            models.len(),
            "seed {seed}: a model has no replica"
        );
    }
}

/// Guards against the removal of a model's last replica, which would leave it unreachable.
#[test]
fn last_replica_is_never_removed() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut engines: Vec<_> = (0..4)
            .map(|index| {
                engine(
                    index,
                    &[["a", "b"][index % 2], ["c", "d"][index / 2]],
                    145_000.0,
                )
            })
            .collect();
        let (mut policy, start) = (LayoutPolicy::default(), Instant::now());
        for round in 0..100 {
            let models = ["a", "b", "c", "d"]
                .map(|name| model(name, 72_500.0, random.random_range(0.0..200.0)));
            let now = start + Duration::from_secs(2) * round;
            let moves = policy.plan(&engines, &models, 7, now);
            apply_moves(&mut engines, &models, &moves);
            assert_eq!(
                replica_counts(&engines).len(),
                4,
                "seed {seed}, round {round}"
            );
        }
    }
}

/// Guards against more loads from the weight store than its budget has left.
#[test]
fn store_loads_stay_within_the_budget() {
    let engines: Vec<_> = (0..9).map(|index| engine(index, &[], 0.0)).collect();
    let models: Vec<_> = (0..9)
        .map(|index| model(&format!("m{index}"), 72_500.0, 40.0))
        .collect();
    for budget in 0..5 {
        let moves = LayoutPolicy::default().plan(&engines, &models, budget, Instant::now());
        let from_store = moves.iter().filter(|step| step.from_store).count();
        assert!(from_store <= budget, "{from_store} of {budget}");
    }
}

/// Guards against a slow load from the weight store when an engine has a copy on disk or in host memory.
#[test]
fn fastest_source_of_the_weights_is_chosen() {
    let mut engines: Vec<_> = (0..3).map(|index| engine(index, &[], 0.0)).collect();
    engines[1].on_disk.push("m".into());
    engines[2].in_host_memory.push("m".into());
    let models = [model("m", 72_500.0, 1.0)];
    let moves = LayoutPolicy::default().plan(&engines, &models, 7, Instant::now());
    assert_eq!(moves[0].engine, 2, "{moves:?}");
    assert!(!moves[0].from_store);
}

/// Guards against a model whose adapters in demand do not fit its replicas, so that they evict each other.
#[test]
fn adapters_in_demand_get_enough_replicas() {
    let mut engines: Vec<_> = (0..6).map(|index| engine(index, &[], 0.0)).collect();
    let mut models = [model("m", 72_500.0, 1.0)];
    models[0].adapters = 30;
    let (mut policy, start) = (LayoutPolicy::default(), Instant::now());
    for round in 0..10 {
        let moves = policy.plan(
            &engines,
            &models,
            7,
            start + Duration::from_millis(200) * round,
        );
        apply_moves(&mut engines, &models, &moves);
    }
    assert_eq!(replica_counts(&engines)["m"], 4);
}
