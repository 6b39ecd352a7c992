//! G1 and G2 with separate processes: accelerator memory is never above capacity and every model stays reachable,
//! whatever happens to orders, links, planners and engines. The checkers read what the stand-ins recorded.

mod safety_support;

use std::time::Duration;

use eyre::{OptionExt, ensure};
use foxtailhill::placement::OrderRecord;

use foxtailhill::op::OpExit;
use foxtailhill_standins::cluster::TestCluster;
use foxtailhill_standins::engine::OrderFault;
use foxtailhill_standins::proxy::{DirectionFault, LinkFault};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use safety_support::{
    ORDER_DELAY_MS, Traffic, ZONES, check_memory, check_writers, declaration, eventually,
    expect_answers, model, open_fleet, orders, planner, replicas, seed, wait_placed,
};
use serde_json::Value;

const ENGINES: usize = 6;
/// Twelve replicas fit: planners find a use for all memory, so a reservation that ends early shows.
const MODELS: usize = 9;
const STEPS: usize = 40;
/// Models of which the version changes.
const CHANGED: usize = 4;

/// One step of a fault schedule.
#[derive(Clone, Debug)]
enum Step {
    Order(usize, OrderFault),
    Link(&'static str, &'static str, LinkFault),
    Heal,
    RestartEngine(usize),
    ChangeVersions(usize),
}

fn random_step(random: &mut StdRng) -> (Duration, Step) {
    let pause = Duration::from_millis(random.random_range(50..600));
    let engine = random.random_range(0..ENGINES);
    let zone = |random: &mut StdRng| ZONES.choose(random).copied().unwrap_or(ZONES[0]);
    let late = random.random_range(100..ORDER_DELAY_MS / 2);
    let step = match random.random_range(0..20) {
        0..3 => Step::Order(engine, OrderFault::Lose),
        3..6 => Step::Order(engine, OrderFault::LoseAnswer),
        6..11 => Step::Order(engine, OrderFault::Delay { ms: late }),
        11 => Step::Order(engine, OrderFault::Refuse),
        12..15 => {
            let direction = DirectionFault {
                drop: false,
                delay_ms: random.random_range(50..800),
            };
            let mut fault = LinkFault::delay(0);
            *if random.random() {
                &mut fault.forward
            } else {
                &mut fault.backward
            } = direction;
            Step::Link(zone(random), zone(random), fault)
        }
        15..17 => Step::Heal,
        17..19 => Step::RestartEngine(engine),
        _ => Step::ChangeVersions(random.random_range(1..=CHANGED)),
    };
    (pause, step)
}

async fn apply(cluster: &mut TestCluster, step: &Step) -> eyre::Result<()> {
    let proxy = cluster.proxy.as_ref().ok_or_eyre("no proxy")?;
    match step {
        Step::Order(engine, fault) => cluster.engines[*engine].latest().push_order_fault(*fault),
        Step::Link(from, to, fault) => proxy.set_link(from, to, *fault),
        Step::Heal => proxy.heal(),
        Step::RestartEngine(engine) => cluster.engines[*engine].restart().await?,
        Step::ChangeVersions(changed) => {
            let changed = declaration(cluster, MODELS, *changed);
            declare_unconfirmed(cluster, &changed).await?;
        }
    }
    Ok(())
}

/// Declares through a daemon that the tests never stop, and does not wait for those that are stopped: their missing
/// confirmation is an exit status of its own.
async fn declare_unconfirmed(cluster: &TestCluster, declaration: &Value) -> eyre::Result<()> {
    let file = cluster.directory().join("step.json");
    std::fs::write(&file, serde_json::to_vec(declaration)?)?;
    let output = cluster.op(1, &["apply", &file.to_string_lossy()]).await?;
    let accepted = [0, OpExit::Unconfirmed as i32];
    ensure!(
        output
            .status
            .code()
            .is_some_and(|code| accepted.contains(&code)),
        "{}: {}",
        output.status,
        String::from_utf8_lossy(&output.stderr)
    );
    Ok(())
}

/// Applies `count` drawn steps.
async fn run_steps(
    cluster: &mut TestCluster,
    random: &mut StdRng,
    count: usize,
) -> eyre::Result<()> {
    for _ in 0..count {
        let (pause, step) = random_step(random);
        println!("after {pause:?}: {step:?}");
        tokio::time::sleep(pause).await;
        apply(cluster, &step).await?;
    }
    Ok(())
}

/// Ends all faults, then checks that the declared versions are placed, every model answers through every daemon, and
/// no engine was above its capacity.
async fn check_end(cluster: &mut TestCluster, changed: usize) -> eyre::Result<()> {
    cluster.proxy.as_ref().ok_or_eyre("no proxy")?.heal();
    let last = declaration(cluster, MODELS, changed);
    cluster.declare(1, &last).await?;
    eventually("declared versions", || {
        (0..MODELS).all(|index| {
            let version = if index < changed { "v2" } else { "v1" };
            replicas(cluster, &model(index), Some(version)) >= 1
        })
    })
    .await?;
    expect_answers(cluster, MODELS).await?;
    check_memory(cluster)?;
    check_writers(cluster)
}

/// Guards against memory that is given away while an order can still take effect: orders are lost, late or repeated,
/// links slow, engines restart, and versions change under load, on engines with and without fencing.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_never_overcommitted_under_order_faults() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed());
    let mut cluster = open_fleet(ENGINES, 0, Duration::ZERO).await?;
    // Faults wait from the first orders on.
    for engine in &cluster.engines {
        let ms = random.random_range(500..ORDER_DELAY_MS / 2);
        engine.latest().push_order_fault(OrderFault::Delay { ms });
    }
    let first = declaration(&cluster, MODELS, 0);
    cluster.declare(0, &first).await?;
    wait_placed(&cluster, MODELS, 1).await?;
    let traffic = Traffic::start(&cluster, MODELS, 32);
    run_steps(&mut cluster, &mut random, STEPS).await?;
    check_end(&mut cluster, CHANGED).await?;
    ensure!(traffic.stop().await > 0, "no call was answered");
    check_memory(&cluster)?;
    cluster.shutdown().await
}

/// Guards against a planner that gives orders after another one took over, and against a successor that ignores what
/// the former one ordered: the planner is frozen while an order is on its way and wakes, then its successor is killed.
#[tokio::test(flavor = "multi_thread")]
async fn paused_and_killed_planners_do_not_overcommit() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed());
    let mut cluster = open_fleet(ENGINES, 1, Duration::ZERO).await?;
    let first = declaration(&cluster, MODELS, 0);
    cluster.declare(1, &first).await?;
    wait_placed(&cluster, MODELS, 1).await?;
    let zone = ZONES[0];
    let in_zone: Vec<usize> = (0..ENGINES).step_by(ZONES.len()).collect();
    for round in 0..2 {
        let (stopped, vm) = planner(&cluster, zone).ok_or_eyre("the zone has no planner")?;
        let before = orders(&cluster).len();
        // Orders and answers take long, so that the planner stops between its record and the engine's answer.
        let proxy = cluster.proxy.as_ref().ok_or_eyre("no proxy")?;
        proxy.set_link(zone, zone, LinkFault::delay(random.random_range(200..900)));
        for engine in &in_zone {
            cluster.engines[*engine].restart().await?;
            let ms = random.random_range(100..ORDER_DELAY_MS / 2);
            let engine = cluster.engines[*engine].latest();
            engine.push_order_fault(OrderFault::Delay { ms });
        }
        eventually("an order of the planner", || {
            orders(&cluster)[before..]
                .iter()
                .any(|record| matches!(record, OrderRecord::Order(order) if order.planner == vm))
        })
        .await?;
        if round == 0 {
            println!("{} freezes as {vm}", cluster.daemons[stopped].spec().name);
            cluster.daemons[stopped].pause()?;
        } else {
            println!("{} is killed as {vm}", cluster.daemons[stopped].spec().name);
            cluster.daemons[stopped].kill().await?;
        }
        eventually("the next planner", || {
            planner(&cluster, zone).is_some_and(|(index, _)| index != stopped)
        })
        .await?;
        run_steps(&mut cluster, &mut random, 6).await?;
        if round == 0 {
            cluster.daemons[stopped].resume()?;
        } else {
            cluster.daemons[stopped].start().await?;
        }
        cluster.daemons[stopped].wait_ready().await?;
    }
    check_end(&mut cluster, CHANGED).await?;
    cluster.shutdown().await
}

/// Guards against a model that stays without a replica after its engine died, and against memory that is overcommitted
/// while the floor is restored on the engines that are left.
#[tokio::test(flavor = "multi_thread")]
async fn minimum_of_replicas_is_restored_after_an_engine_dies() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed());
    let mut cluster = open_fleet(ENGINES, 0, Duration::ZERO).await?;
    let first = declaration(&cluster, MODELS, 0);
    cluster.declare(0, &first).await?;
    wait_placed(&cluster, MODELS, 1).await?;
    let traffic = Traffic::start(&cluster, MODELS, 16);
    // Five engines hold ten replicas of nine models.
    let dead = random.random_range(0..ENGINES);
    println!("engine {dead} dies");
    cluster.engines[dead].kill();
    for (index, engine) in cluster.engines.iter().enumerate() {
        if index != dead && random.random() {
            engine.latest().push_order_fault(OrderFault::Lose);
        }
    }
    wait_placed(&cluster, MODELS, 1).await?;
    expect_answers(&mut cluster, MODELS).await?;
    ensure!(traffic.stop().await > 0, "no call was answered");
    check_memory(&cluster)?;
    cluster.shutdown().await
}
