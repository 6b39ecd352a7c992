//! Starts a test cluster for a scenario.

use std::path::PathBuf;
use std::time::Duration;

use eyre::ensure;
use foxtailhill::engine::LoadReport as EngineReport;
use serde_json::{Map, Value};
use smol_str::format_smolstr;

use crate::client::JsonClient;
use crate::cluster::{ClusterOptions, DaemonSpec, TestCluster};
use crate::load::scenario::Scenario;
use crate::stream_log::LogOptions;

/// Interval at which engines are polled until the minimum of replicas is loaded.
const REPLICA_POLL: Duration = Duration::from_millis(100);

/// Options of a scenario's test cluster.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Path of the daemon's binary.
    pub program: PathBuf,
    /// Number of entry VMs, distributed evenly over the zones.
    pub daemons: usize,
    /// Factor on the times of engines and weight store.
    pub time_scale: f64,
    pub proxied: bool,
    /// Sections that replace the default ones of the settings files.
    pub settings: Map<String, Value>,
    /// Longest wait until each model has its minimum of replicas.
    pub min_replicas_timeout: Duration,
}

/// Starts the fleet of a scenario, declares it and waits until each model's minimum of replicas is resident.
pub async fn open_fleet(scenario: &Scenario, options: &FleetOptions) -> eyre::Result<TestCluster> {
    let mut cluster = TestCluster::open(cluster_options(scenario, options)).await?;
    cluster.wait_ready().await?;
    let mut declaration = scenario.declaration();
    declaration["backends"] = cluster.backends().into();
    cluster.declare(0, &declaration).await?;
    wait_for_min_replicas(scenario, &cluster, options.min_replicas_timeout).await?;
    Ok(cluster)
}

fn cluster_options(scenario: &Scenario, options: &FleetOptions) -> ClusterOptions {
    let daemons = (0..options.daemons).map(|index| {
        let zone = scenario.zones[index % scenario.zones.len()].clone();
        DaemonSpec::new(format_smolstr!("entry-{}", index + 1), zone)
    });
    ClusterOptions {
        program: options.program.clone(),
        daemons: daemons.collect(),
        engines: scenario.engine_specs(options.time_scale),
        services: scenario.service_specs(),
        log: LogOptions::default(),
        weights: scenario.store_options(options.time_scale),
        list_lag: Duration::from_millis(500),
        proxied: options.proxied,
        split_platform: false,
        settings: options.settings.clone(),
    }
}

async fn wait_for_min_replicas(
    scenario: &Scenario,
    cluster: &TestCluster,
    wait: Duration,
) -> eyre::Result<()> {
    let client = JsonClient::new(Duration::from_secs(5));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let missing = missing_replicas(scenario, cluster, &client).await;
        if missing.is_empty() {
            return Ok(());
        }
        ensure!(
            tokio::time::Instant::now() < deadline,
            "replicas are missing after {wait:?}: {}",
            missing.join(", ")
        );
        tokio::time::sleep(REPLICA_POLL).await;
    }
}

/// Lists the models that have fewer resident replicas than their minimum.
async fn missing_replicas(
    scenario: &Scenario,
    cluster: &TestCluster,
    client: &JsonClient,
) -> Vec<String> {
    let mut resident = Vec::new();
    for engine in &cluster.engines {
        let report: eyre::Result<EngineReport> = client.get(engine.address(), "/load").await;
        resident.extend(report.map(|report| report.resident).unwrap_or_default());
    }
    let missing = scenario.models.iter().filter_map(|model| {
        let spec = &model.spec;
        let replicas = resident
            .iter()
            .filter(|(item, _)| item.model == spec.name && item.adapter.is_none());
        let count = replicas.count();
        let enough = count >= spec.min_replicas as usize;
        (!enough).then(|| format!("{} {count}/{}", spec.name, spec.min_replicas))
    });
    missing.collect()
}
