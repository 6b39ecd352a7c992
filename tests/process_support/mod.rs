//! A fleet in three zones for tests with processes, and the seed of their fault schedules.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use eyre::ensure;
use foxtailhill::engine::ResidentItem;
use foxtailhill::ids::KeyDigest;
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::cluster::{
    ClusterOptions, DaemonSpec, EngineSpec, ServiceSpec, TestCluster,
};
use foxtailhill_standins::{EngineOptions, ServiceOptions};
use serde_json::{Value, json};

pub const KEY: &str = "key-of-the-desks";
pub const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];
/// Longest wait of a test for any condition or answer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const SEED_VARIABLE: &str = "FOXTAILHILL_SEED";
const MODEL_BYTES: u64 = 1_000_000_000;

/// Returns and prints the seed of a test, `default` unless the environment sets another.
pub fn seed(default: u64) -> u64 {
    let text = std::env::var(SEED_VARIABLE).ok();
    let seed = text.and_then(|text| text.parse().ok()).unwrap_or(default);
    println!("{SEED_VARIABLE}={seed}");
    seed
}

/// Describes one daemon in each zone.
pub fn daemons() -> Vec<DaemonSpec> {
    let specs = ZONES.map(|zone| DaemonSpec::new(format!("entry-{zone}"), zone));
    specs.to_vec()
}

/// Describes an engine that holds `drafter` from the start.
pub fn engine(name: &str, zone: &str, options: EngineOptions) -> EngineSpec {
    let item = ResidentItem {
        model: "drafter".into(),
        version: "v1".into(),
        adapter: None,
    };
    EngineSpec {
        name: name.into(),
        zone: zone.into(),
        accelerators: 1,
        options: EngineOptions {
            resident: vec![(item, MODEL_BYTES)],
            ..options
        },
    }
}

/// Describes a plain service of the group `booking`.
pub fn service(name: &str, zone: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        zone: zone.into(),
        group: "booking".into(),
        slots: 64,
        options: ServiceOptions::default(),
    }
}

/// Returns a declaration of the model `drafter`, its adapter `polite`, the route `/bookings` and all backend servers.
pub fn declaration(cluster: &TestCluster) -> Value {
    json!({
        "teams": [{"name": "desks", "rate": 10_000_000, "burst": 20_000_000}],
        "models": [{
            "name": "drafter", "memory_bytes": MODEL_BYTES, "min_replicas": 2, "version": "v1",
            "first_token_ms": 510,
        }],
        "keys": [{"name": "desk-1", "team": "desks", "digest": KeyDigest::of(KEY.as_bytes()).to_string()}],
        "routes": [{"name": "bookings", "prefix": "/bookings", "target": {"service": "booking"}}],
        "backends": cluster.backends(),
    })
}

/// Starts a cluster and declares its fleet; waits until every daemon reaches the backend servers.
pub async fn open(options: ClusterOptions) -> eyre::Result<TestCluster> {
    let options = ClusterOptions {
        program: env!("CARGO_BIN_EXE_foxtailhill").into(),
        ..options
    };
    let mut cluster = TestCluster::open(options).await?;
    cluster.wait_ready().await?;
    cluster.declare(0, &declaration(&cluster)).await?;
    Ok(cluster)
}

/// Returns a caller of the team `desks`.
pub fn caller() -> KeyedCaller {
    KeyedCaller::new(Some(KEY), WAIT_TIMEOUT)
}

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> eyre::Result<()> {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        ensure!(Instant::now() < until, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Calls until an answer has status 200, as the fleet needs a moment after a start or a fault.
pub async fn wait_until_served(cluster: &TestCluster, daemon: usize) -> eyre::Result<()> {
    let address = cluster.daemons[daemon].addresses().caller;
    let until = Instant::now() + WAIT_TIMEOUT;
    for attempt in 0.. {
        let key = format!("probe-{daemon}-{attempt}-{}", rand::random::<u64>());
        let answer = caller().submit(address, "/bookings/0", &key, "").await;
        match answer {
            Ok(answer) if answer.status == 200 => break,
            other => ensure!(Instant::now() < until, "daemon {daemon}: {other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
