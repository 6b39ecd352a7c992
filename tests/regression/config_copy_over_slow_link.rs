//! Daemons on VMs with slow links kept an old configuration: copying a large one took longer than the time limit of a
//! copy, so every attempt was abandoned and started over.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::Result;
use foxtailhill::error::{Category, Error};
use foxtailhill::ids::VmId;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::metrics::DaemonMetrics;
use foxtailhill::peer::{PeerCaller, PeerReply, PeerRequest};
use foxtailhill::platform;
use foxtailhill::relay::{
    ConfigHolder, CopyTables, DaemonRecord, DaemonRegistry, Pulse, ReaderElection,
    RegistrySettings, RelayFleet, StoreHealth, follow_configs, follow_copies,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::pulse_support::pulse;

/// Simulated time within which a configuration must be in force.
const TIME_LIMIT: Duration = Duration::from_secs(3);
const ROUTES: usize = 1_800;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn tables(name: &str) -> CopyTables {
    let record = DaemonRecord {
        vm: VmId::random(),
        zone: "north".into(),
        peer: address(1),
        pulse: address(1),
    };
    CopyTables {
        configs: Arc::new(ConfigHolder::new(
            platform::CONFIGURATION_KEY,
            platform::decode_config,
        )),
        fleet: Arc::new(RelayFleet::new()),
        registry: Arc::new(DaemonRegistry::new(RegistrySettings {
            name: name.into(),
            record,
            term: Duration::from_secs(30),
            settle_time: Duration::ZERO,
        })),
    }
}

/// Returns a configuration with random names, so that it compresses as little as a real one.
fn large_configuration(version: u64) -> Value {
    let mut random = StdRng::seed_from_u64(14);
    let mut word = |length| -> String {
        let letters = std::iter::repeat_with(|| random.random_range('a'..='z'));
        letters.take(length).collect()
    };
    let routes = (0..ROUTES).map(|_| {
        json!({
            "name": format!("r-{}", word(7)), "host": format!("{}.example", word(6)),
            "path-prefix": format!("/{}/", word(8)), "kind": "idempotent", "timeout-ms": 1_500,
            "target-latency-ms": 150, "priority": 1, "service": "desk", "max-attempts": 2,
            "public": false, "sticky": false, "resumable": false, "gap-aim-ms": 0
        })
    });
    let routes: Vec<Value> = routes.collect();
    json!({"version": version, "routes": routes, "services": [{"name": "desk", "max-conns": 100}]})
}

/// Calls one daemon over a link of a fixed rate.
struct SlowLink {
    source: CopyTables,
    bytes_per_s: usize,
}

impl PeerCaller for SlowLink {
    async fn call(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
        wait: Duration,
    ) -> Result<PeerReply> {
        let reply = self.source.answer(request)?;
        let encoded = bincode::serde::encode_to_vec(&reply, bincode::config::standard())
            .map_err(|error| Error::internal(error.to_string()))?;
        let time = Duration::from_millis((encoded.len() * 1_000 / self.bytes_per_s) as u64);
        tokio::time::sleep(time.min(wait)).await;
        match time <= wait {
            true => Ok(reply),
            false => Err(Error::new(Category::Timeout, format!("{peer} is late"))),
        }
    }
}

fn reader_pulse(config_version: u64) -> Pulse {
    Pulse {
        config_version,
        tables_version: config_version,
        ..pulse(1, "north", true, Duration::from_secs(9))
    }
}

/// Copies a large configuration over a link of `bytes_per_s` and returns the version in force at the time limit.
async fn version_after_time_limit(bytes_per_s: usize) -> eyre::Result<u64> {
    let group = TaskGroup::new();
    let (source, copier) = (tables("entry-1"), tables("entry-0"));
    let record = large_configuration(8).to_string();
    eyre::ensure!(record.len() > 350_000, "{} bytes", record.len());
    source.configs.offer_record(record.into_bytes().into());
    let health = Arc::new(StoreHealth::default());
    let election = Arc::new(ReaderElection::new(
        "entry-0".into(),
        "north".into(),
        120,
        health,
    ));
    let link = Arc::new(SlowLink {
        source,
        bytes_per_s,
    });
    let metrics = Arc::new(DaemonMetrics::new());
    group.spawn_cancellable(follow_copies(
        election.clone(),
        link.clone(),
        copier.clone(),
        metrics.clone(),
    ));
    let configs = copier.configs.clone();
    group.spawn_cancellable(follow_configs(election.clone(), link, configs, metrics));
    let end = tokio::time::Instant::now() + TIME_LIMIT;
    while tokio::time::Instant::now() < end && copier.configs.version() == 0 {
        election.note_pulse(&reader_pulse(8), Instant::now());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    group.shutdown().await;
    Ok(copier.configs.version())
}

/// Guards against a transfer that is abandoned and started over forever; half of a 10 Mbit/s link must be enough.
#[tokio::test(start_paused = true)]
async fn large_configuration_is_in_force_in_time_over_a_busy_link() -> eyre::Result<()> {
    let version = version_after_time_limit(625_000).await?;
    eyre::ensure!(version == 8, "configuration {version} is in force");
    Ok(())
}

/// Guards against a time limit on the whole transfer: on a nearly saturated link it completes only if the chunks that
/// have arrived are kept.
#[tokio::test(start_paused = true)]
async fn large_configuration_is_in_force_in_time_over_a_saturated_link() -> eyre::Result<()> {
    let version = version_after_time_limit(50_000).await?;
    eyre::ensure!(version == 8, "configuration {version} is in force");
    Ok(())
}
