//! Fleet of real processes, load and checkers for the tests of memory, reachability and leaving servers.
#![allow(dead_code, reason = "each test uses a part")]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use eyre::{ContextCompat, bail, ensure};
use foxtailhill::ids::{KeyDigest, LogOffset, VmId};
use foxtailhill::journal::StreamName;
use foxtailhill::member::{MemberRecord, MemberTable};
use foxtailhill::placement::OrderRecord;
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::client::JsonClient;
use foxtailhill_standins::cluster::{ClusterOptions, DaemonSpec, EngineSpec, TestCluster};
use foxtailhill_standins::{EngineOptions, WeightStoreOptions};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

pub const KEY: &str = "key-of-the-desks";
pub const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];
/// Longest delivery delay that the fleet declares. All drawn delays of orders and links stay well below.
pub const ORDER_DELAY_MS: u64 = 4_000;
pub const MODEL_BYTES: u64 = 10_000_000_000;
/// Generous bound for everything that must become true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const POLL: Duration = Duration::from_millis(50);
const SEED: u64 = 20_260;

/// Returns the seed of the test's schedule and prints it; FOXTAILHILL_SEED overrides the default.
pub fn seed() -> u64 {
    let given = std::env::var("FOXTAILHILL_SEED").ok();
    let seed = given.and_then(|text| text.parse().ok()).unwrap_or(SEED);
    println!("FOXTAILHILL_SEED={seed}");
    seed
}

/// Opens a fleet with one daemon per zone and `spare` more in the first one, and with engines of which every other
/// one checks fencing numbers. An engine holds two models.
pub async fn open_fleet(
    engines: usize,
    spare: usize,
    list_lag: Duration,
) -> eyre::Result<TestCluster> {
    let zone = |index: usize| ZONES[index % ZONES.len()];
    let daemons = (0..ZONES.len())
        .chain(std::iter::repeat_n(0, spare))
        .enumerate()
        .map(|(index, at)| DaemonSpec::new(format!("entry-{index}"), zone(at)));
    let engines = (0..engines).map(|index| EngineSpec {
        name: format!("engine-{index}").into(),
        zone: zone(index).into(),
        accelerators: 1,
        options: EngineOptions {
            memory_bytes: 2 * MODEL_BYTES + MODEL_BYTES / 2,
            time_scale: 0.1,
            checks_fencing: index % 2 == 0,
            ..EngineOptions::default()
        },
    });
    let mut cluster = TestCluster::open(ClusterOptions {
        program: env!("CARGO_BIN_EXE_foxtailhill").into(),
        daemons: daemons.collect(),
        engines: engines.collect(),
        weights: WeightStoreOptions {
            time_scale: 0.1,
            ..WeightStoreOptions::default()
        },
        list_lag,
        proxied: true,
        ..ClusterOptions::default()
    })
    .await?;
    cluster.wait_ready().await?;
    Ok(cluster)
}

pub fn model(index: usize) -> String {
    format!("model-{index}")
}

/// Returns messages that no other call has: equal requests whose engine died would be taken for their cause.
pub fn fresh_messages() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!(r#"[{{"role":"user","content":"day {number} in Palermo"}}]"#)
}

/// Declares `models` models; those below `changed` have version v2.
pub fn declaration(cluster: &TestCluster, models: usize, changed: usize) -> Value {
    let version = |index| if index < changed { "v2" } else { "v1" };
    let specs = (0..models).map(|index| {
        json!({
            "name": model(index), "memory_bytes": MODEL_BYTES, "min_replicas": 1,
            "version": version(index), "first_token_ms": 510,
        })
    });
    let versions = (0..changed)
        .map(|index| json!({"model": model(index), "version": "v2", "memory_bytes": MODEL_BYTES}));
    json!({
        "policy": {
            "order_delay_ms": ORDER_DELAY_MS, "loads_per_s_milli": 15_000, "loads_in_flight": 12,
        },
        "teams": [{"name": "desks", "rate": 1_000_000, "burst": 2_000_000}],
        "models": specs.collect::<Vec<_>>(),
        "versions": versions.collect::<Vec<_>>(),
        "keys": [{"name": "desk-1", "team": "desks", "digest": KeyDigest::of(KEY.as_bytes()).to_string()}],
        "backends": cluster.backends(),
    })
}

/// Waits until `done` holds.
pub async fn eventually(what: &str, mut done: impl FnMut() -> bool) -> eyre::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !done() {
        ensure!(Instant::now() < deadline, "not reached: {what}");
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Returns how many running engines hold `version` of a model.
pub fn replicas(cluster: &TestCluster, name: &str, version: Option<&str>) -> usize {
    let engines = cluster.engines.iter().map(|engine| engine.latest());
    engines
        .filter(|engine| engine.is_running())
        .filter(|engine| {
            engine.resident().iter().any(|item| {
                item.model == name && version.is_none_or(|version| item.version == version)
            })
        })
        .count()
}

/// Waits until each of the models has at least `count` replicas.
pub async fn wait_placed(cluster: &TestCluster, models: usize, count: usize) -> eyre::Result<()> {
    let what = format!("{count} replicas of each model");
    let placed = eventually(&what, || {
        (0..models).all(|index| replicas(cluster, &model(index), None) >= count)
    });
    let failure = placed.await.err();
    match failure {
        Some(failure) => Err(failure.wrap_err(describe(cluster).await)),
        None => Ok(()),
    }
}

/// Returns what the engines hold and what the daemons say of orders, for the message of a failure.
pub async fn describe(cluster: &TestCluster) -> String {
    let client = JsonClient::new(Duration::from_secs(5));
    let mut text = String::new();
    for engine in &cluster.engines {
        let (name, latest) = (&engine.spec.name, engine.latest());
        let items = latest.resident().into_iter();
        let items: Vec<String> = items
            .map(|item| format!("{}@{}", item.model, item.version))
            .collect();
        text += &format!("{name} running {}: {items:?}\n", latest.is_running());
    }
    for daemon in &cluster.daemons {
        let dump = client.get::<Value>(daemon.addresses().admin, "/dump").await;
        let orders = dump.map(|dump| dump["orders"].to_string());
        text += &format!("{}: {orders:?}\n", daemon.spec().name);
    }
    text
}

/// Asks every model through every running daemon until it answers.
pub async fn expect_answers(cluster: &mut TestCluster, models: usize) -> eyre::Result<()> {
    let caller = KeyedCaller::new(Some(KEY), Duration::from_secs(30));
    for daemon in &mut cluster.daemons {
        if !daemon.is_running()? {
            continue;
        }
        let address = daemon.addresses().caller;
        for index in 0..models {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            loop {
                let answer = caller
                    .chat(address, &model(index), &fresh_messages(), 4)
                    .await;
                if answer.as_ref().is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    bail!("{} answers no call: {answer:?}", model(index));
                }
                tokio::time::sleep(POLL).await;
            }
        }
    }
    Ok(())
}

/// Checks by what the engines recorded that no level of memory was above the capacity.
pub fn check_memory(cluster: &TestCluster) -> eyre::Result<()> {
    for engine in &cluster.engines {
        let capacity = engine.spec.options.memory_bytes;
        for journal in engine.journals() {
            ensure!(
                journal.overcommits.is_empty() && journal.memory_peak <= capacity,
                "{}: capacity {capacity}, peak {}, above capacity {:?}, orders {:#?}",
                engine.spec.name,
                journal.memory_peak,
                journal.overcommits,
                journal.orders
            );
        }
    }
    Ok(())
}

/// Returns the index of the daemon that is planner of the zone by the recorded `members` stream, and its incarnation.
pub fn planner(cluster: &TestCluster, zone: &str) -> Option<(usize, VmId)> {
    let (_, records) = cluster.log.records(StreamName::Members.as_str());
    let mut table = MemberTable::new();
    for record in &records {
        table.apply(MemberRecord::decode(record).ok().as_ref());
    }
    let vm = table.planner(zone)?.vm;
    let name = &table.member(vm)?.name;
    let mut daemons = cluster.daemons.iter();
    let index = daemons.position(|daemon| daemon.spec().name == *name)?;
    Some((index, vm))
}

/// Returns the recorded orders.
pub fn orders(cluster: &TestCluster) -> Vec<OrderRecord> {
    let (_, records) = cluster.log.records(StreamName::Orders.as_str());
    let decoded = records.iter();
    decoded
        .filter_map(|data| OrderRecord::decode(data).ok())
        .collect()
}

/// Checks that each order names the member that its fencing number made planner.
pub fn check_writers(cluster: &TestCluster) -> eyre::Result<()> {
    let (_, members) = cluster.log.records(StreamName::Members.as_str());
    let mut table = MemberTable::new();
    let mut made = std::collections::HashMap::new();
    for record in &members {
        let offset = table.next();
        table.apply(MemberRecord::decode(record).ok().as_ref());
        for zone in ZONES {
            if let Some(planner) = table.planner(zone).filter(|p| p.fence == offset) {
                made.insert((zone.to_owned(), planner.fence), planner.vm);
            }
        }
    }
    let expect = |zone: &str, fence: LogOffset, planner: VmId| -> eyre::Result<()> {
        let made = made.get(&(zone.to_owned(), fence));
        let made = made.wrap_err_with(|| format!("{fence} made nobody planner of {zone}"))?;
        ensure!(
            *made == planner,
            "{made} leads {zone}, {planner} wrote orders"
        );
        Ok(())
    };
    for record in orders(cluster) {
        match record {
            OrderRecord::Lead {
                zone,
                planner_fence,
                planner,
                ..
            } => expect(&zone, planner_fence, planner)?,
            OrderRecord::Order(order) => expect(&order.zone, order.planner_fence, order.planner)?,
            OrderRecord::Done { .. } => {}
        }
    }
    Ok(())
}

/// Calls all models in turn through all daemons; refused and failed calls are counted and not judged.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    pub answered: Arc<AtomicU64>,
    tasks: Vec<JoinHandle<()>>,
}

impl Traffic {
    pub fn start(cluster: &TestCluster, models: usize, tokens: u32) -> Self {
        let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let mut tasks = Vec::new();
        for (lane, daemon) in cluster.daemons.iter().enumerate() {
            let address = daemon.addresses().caller;
            for offset in 0..4 {
                let (stop, answered) = (stop.clone(), Arc::clone(&answered));
                tasks.push(tokio::spawn(async move {
                    let caller = KeyedCaller::new(Some(KEY), Duration::from_secs(10));
                    let mut index = lane + offset * 3;
                    while !stop.load(Ordering::Relaxed) {
                        let name = model(index % models);
                        index += 1;
                        let answer = caller.chat(address, &name, &fresh_messages(), tokens).await;
                        if answer.is_ok_and(|answer| answer.status == 200) {
                            let answered: &AtomicU64 = &answered;
                            answered.fetch_add(1, Ordering::Relaxed);
                        } else {
                            tokio::time::sleep(POLL).await;
                        }
                    }
                }));
            }
        }
        Self {
            stop,
            answered,
            tasks,
        }
    }

    pub async fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            // A task that panicked has counted its calls.
            let _ = task.await;
        }
        self.answered.load(Ordering::Relaxed)
    }
}
