//! The path of a request through separate processes.

use std::time::Duration;

use eyre::ensure;
use foxtailhill::ids::KeyDigest;
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::cluster::{
    ClusterOptions, DaemonSpec, EngineSpec, ServiceSpec, TestCluster,
};
use foxtailhill_standins::{AnswerScript, EngineOptions, ServiceOptions};
use serde_json::json;

const KEY: &str = "key-of-the-desks";
const MESSAGES: &str = r#"[{"role":"user","content":"a day in Palermo"}]"#;

/// Guards against a daemon, adapter or stand-in that works alone but not with the others: one model call and one call
/// to a plain service go from the caller to a backend server and back.
#[tokio::test(flavor = "multi_thread")]
async fn request_passes_through_separate_processes() -> eyre::Result<()> {
    let zones = ["catania", "palermo", "siracusa"];
    let mut cluster = TestCluster::open(ClusterOptions {
        program: env!("CARGO_BIN_EXE_foxtailhill").into(),
        daemons: zones
            .map(|zone| DaemonSpec::new(format!("entry-{zone}"), zone))
            .to_vec(),
        engines: zones
            .map(|zone| EngineSpec {
                name: format!("engine-{zone}").into(),
                zone: zone.into(),
                accelerators: 1,
                options: EngineOptions {
                    time_scale: 0.1,
                    ..EngineOptions::default()
                },
            })
            .to_vec(),
        services: vec![ServiceSpec {
            name: "booking-1".into(),
            zone: "catania".into(),
            group: "booking".into(),
            slots: 8,
            options: ServiceOptions::default(),
        }],
        ..ClusterOptions::default()
    })
    .await?;
    cluster.wait_ready().await?;
    let declaration = json!({
        "teams": [{"name": "desks", "rate": 100_000, "burst": 200_000}],
        "models": [{
            "name": "drafter", "memory_bytes": 1_000_000_000u64, "min_replicas": 1, "version": "v1",
            "first_token_ms": 510,
        }],
        "keys": [{"name": "desk-1", "team": "desks", "digest": KeyDigest::of(KEY.as_bytes()).to_string()}],
        "routes": [{"name": "bookings", "prefix": "/bookings", "target": {"service": "booking"}}],
        "backends": cluster.backends(),
    });
    cluster.declare(0, &declaration).await?;

    let caller = KeyedCaller::new(Some(KEY), Duration::from_secs(60));
    let expected = AnswerScript::new("drafter", "v1", None, MESSAGES.as_bytes()).text(8);
    for daemon in &cluster.daemons {
        let answer = caller
            .chat(daemon.addresses().caller, "drafter", MESSAGES, 8)
            .await?;
        ensure!(
            answer.text().as_ref() == Some(&expected),
            "{answer:?}\n{}",
            daemon.output()
        );
        let key = format!("seat-{}", daemon.spec().zone);
        let answer = caller
            .submit(daemon.addresses().caller, "/bookings/1", &key, "seat 4")
            .await?;
        ensure!(answer.status == 200, "{answer:?}\n{}", daemon.output());
        ensure!(
            cluster.services[0].count(&key) == 1,
            "the service did not run {key} exactly once"
        );
    }
    cluster.shutdown().await
}
