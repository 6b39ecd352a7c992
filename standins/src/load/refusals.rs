//! Measures tokens that are refused although the team is within its rate and burst.
//!
//! The offered calls are those that a single token bucket with the team's whole rate and burst admits. So a single
//! entry VM would make none of the refusals for the rate.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use foxtailhill::ids::KeyDigest;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::format_smolstr;
use tokio::task::JoinSet;

use crate::caller::KeyedCaller;
use crate::client::JsonClient;
use crate::cluster::{ClusterOptions, DaemonSpec, ServiceSpec, TestCluster};
use crate::service::ServiceOptions;

const KEY: &str = "key-of-the-measured-team";
const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];
/// Rate of the team in tokens per second, and burst in tokens.
const RATE: u64 = 20_000;
const BURST: u64 = 40_000;
/// Cost of a call in tokens.
const COST: u64 = 200;
/// Mean offered load as a fraction of the rate.
const OFFERED: f64 = 0.8;
/// Calls that arrive together; calls that arrive one at a time would not use the burst.
const BATCH: u64 = 8;
/// Fraction of the calls that go to the first daemon when the balancing is skewed; the rest go to random daemons.
const SKEW: f64 = 0.8;
const CALL_TIME: Duration = Duration::from_secs(30);
/// Longest wait until all buckets are full.
const FILL_WAIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);

/// Options of [`measure_refusals`].
#[derive(Clone, Debug)]
pub struct RefusalOptions {
    /// Path of the daemon's binary.
    pub program: PathBuf,
    /// Path of a binary that runs the daemon with evenly split limits.
    pub baseline: PathBuf,
    /// Numbers of daemons to measure.
    pub daemons: Vec<usize>,
    pub seed: u64,
    /// Length of each load.
    pub length: Duration,
}

/// Result of one load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RefusalRow {
    pub daemons: usize,
    /// `loans` or `even split`.
    pub limiter: String,
    /// `even` or `skewed`.
    pub balancing: String,
    pub offered_tokens: u64,
    pub refused_tokens: u64,
    /// Refused tokens as a fraction of the offered tokens.
    pub refused_part: f64,
    /// Calls that failed for a reason other than the rate limit.
    pub failed_calls: u64,
    /// Median and 99th percentile of the latency of admitted calls, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Results of all loads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RefusalReport {
    pub seed: u64,
    pub length_s: f64,
    pub rate: u64,
    pub burst: u64,
    pub cost: u64,
    pub rows: Vec<RefusalRow>,
}

/// Measures each fleet size with both limiters and both kinds of balancing.
pub async fn measure_refusals(options: &RefusalOptions) -> eyre::Result<RefusalReport> {
    let mut rows = Vec::new();
    for daemons in &options.daemons {
        let limiters = [
            ("loans", &options.program),
            ("even split", &options.baseline),
        ];
        for (limiter, program) in limiters {
            let cluster = open_cluster(program, *daemons).await?;
            for balancing in ["even", "skewed"] {
                wait_until_buckets_full(&cluster).await?;
                let load = run_load(&cluster, options, balancing == "skewed").await?;
                rows.push(load.row(*daemons, limiter, balancing));
                log::info!("{:?}", rows.last());
            }
            cluster.shutdown().await?;
        }
    }
    Ok(RefusalReport {
        seed: options.seed,
        length_s: options.length.as_secs_f64(),
        rate: RATE,
        burst: BURST,
        cost: COST,
        rows,
    })
}

async fn open_cluster(program: &Path, daemons: usize) -> eyre::Result<TestCluster> {
    let daemons = (0..daemons).map(|index| {
        let zone = ZONES[index % ZONES.len()];
        DaemonSpec::new(format_smolstr!("entry-{}", index + 1), zone)
    });
    let services = ZONES.map(|zone| ServiceSpec {
        name: format_smolstr!("meter-{zone}"),
        zone: zone.into(),
        group: "meter".into(),
        slots: 10_000,
        options: ServiceOptions {
            keep_received: false,
            ..ServiceOptions::default()
        },
    });
    let mut cluster = TestCluster::open(ClusterOptions {
        program: program.to_owned(),
        daemons: daemons.collect(),
        services: services.to_vec(),
        // Production timing: the short terms and polls of tests cost CPU time and do not favour either limiter.
        settings: production_timing(),
        ..ClusterOptions::default()
    })
    .await?;
    cluster.wait_ready().await?;
    let declaration = json!({
        "teams": [{"name": "measured", "rate": RATE, "burst": BURST}],
        "keys": [{"name": "measured", "team": "measured", "digest": KeyDigest::of(KEY.as_bytes()).to_string()}],
        "routes": [{
            "name": "meter", "prefix": "/meter", "target": {"service": "meter"},
            "repeatable": true, "cost": COST,
        }],
        "backends": cluster.backends(),
    });
    cluster.declare(0, &declaration).await?;
    Ok(cluster)
}

/// Returns settings with the production defaults for all timing but the time that the balancer gets, `balancer_lag`.
pub(super) fn production_timing() -> serde_json::Map<String, Value> {
    let mut sections = serde_json::Map::new();
    sections.insert("timing".to_owned(), json!({"balancer_lag": "200ms"}));
    sections
}

/// Waits until the buckets together hold the whole burst, except up to two tokens per daemon lost to rounding shares.
async fn wait_until_buckets_full(cluster: &TestCluster) -> eyre::Result<()> {
    let client = JsonClient::new(Duration::from_secs(5));
    let deadline = tokio::time::Instant::now() + FILL_WAIT;
    loop {
        let mut held = 0;
        for daemon in &cluster.daemons {
            let dump: Value = client.get(daemon.addresses().admin, "/dump").await?;
            held += dump["limits"]["teams"][0]["balance"].as_u64().unwrap_or(0);
        }
        if held + 2 * cluster.daemons.len() as u64 >= BURST {
            return Ok(());
        }
        eyre::ensure!(
            tokio::time::Instant::now() < deadline,
            "buckets hold {held} of {BURST} tokens"
        );
        tokio::time::sleep(POLL).await;
    }
}

/// Results of the calls of one load.
#[derive(Default)]
struct LoadCount {
    offered: u64,
    refused: u64,
    failed: u64,
    times_ms: Vec<f64>,
}

impl LoadCount {
    fn row(mut self, daemons: usize, limiter: &str, balancing: &str) -> RefusalRow {
        self.times_ms.sort_by(f64::total_cmp);
        let quantile = |part: f64| {
            let index = (self.times_ms.len() as f64 * part) as usize;
            self.times_ms.get(index).copied().unwrap_or_default()
        };
        RefusalRow {
            daemons,
            limiter: limiter.to_owned(),
            balancing: balancing.to_owned(),
            offered_tokens: self.offered * COST,
            refused_tokens: self.refused * COST,
            refused_part: self.refused as f64 / self.offered.max(1) as f64,
            failed_calls: self.failed,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
        }
    }
}

/// Draws Poisson arrival times of batches and drops those that a single bucket with the whole limit would not admit.
fn draw_arrivals(random: &mut StdRng, length: Duration) -> Vec<Duration> {
    let batches_per_s = RATE as f64 * OFFERED / (BATCH * COST) as f64;
    let (mut at, mut balance, mut last) = (0.0_f64, BURST as f64, 0.0_f64);
    let mut arrivals = Vec::new();
    loop {
        at += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / batches_per_s;
        if at >= length.as_secs_f64() {
            return arrivals;
        }
        balance = (balance + (at - last) * RATE as f64).min(BURST as f64);
        last = at;
        let tokens = (BATCH * COST) as f64;
        if balance >= tokens {
            balance -= tokens;
            arrivals.push(Duration::from_secs_f64(at));
        }
    }
}

async fn run_load(
    cluster: &TestCluster,
    options: &RefusalOptions,
    skewed: bool,
) -> eyre::Result<LoadCount> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let caller = KeyedCaller::new(Some(KEY), CALL_TIME);
    let targets: Vec<SocketAddr> = cluster
        .daemons
        .iter()
        .map(|daemon| daemon.addresses().caller)
        .collect();
    let start = tokio::time::Instant::now();
    let mut calls = JoinSet::new();
    for at in draw_arrivals(&mut random, options.length) {
        tokio::time::sleep_until(start + at).await;
        for _ in 0..BATCH {
            let index = match skewed && random.random_bool(SKEW) {
                true => 0,
                false => random.random_range(0..targets.len()),
            };
            calls.spawn(call(caller.clone(), targets[index]));
        }
    }
    let mut count = LoadCount::default();
    while let Some(joined) = calls.join_next().await {
        count.offered += 1;
        match joined? {
            Some((StatusCode::OK, ms)) => count.times_ms.push(ms),
            Some((StatusCode::TOO_MANY_REQUESTS, _)) => count.refused += 1,
            _ => count.failed += 1,
        }
    }
    Ok(count)
}

async fn call(caller: KeyedCaller, target: SocketAddr) -> Option<(StatusCode, f64)> {
    let sent = tokio::time::Instant::now();
    let answer = caller.submit(target, "/meter/run", "any", "one").await;
    let ms = sent.elapsed().as_secs_f64() * 1_000.0;
    answer.ok().map(|answer| (answer.status, ms))
}

impl fmt::Display for RefusalReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "rate {} tokens/s, burst {}, {} tokens a call, {} s, seed {}",
            self.rate, self.burst, self.cost, self.length_s, self.seed
        )?;
        writeln!(
            f,
            "| daemons | balancing | limiter | offered tokens | refused tokens | refused | failed calls | p50 ms | p99 ms |"
        )?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")?;
        for row in &self.rows {
            writeln!(
                f,
                "| {} | {} | {} | {} | {} | {:.2}% | {} | {:.1} | {:.1} |",
                row.daemons,
                row.balancing,
                row.limiter,
                row.offered_tokens,
                row.refused_tokens,
                row.refused_part * 100.0,
                row.failed_calls,
                row.p50_ms,
                row.p99_ms
            )?;
        }
        Ok(())
    }
}
