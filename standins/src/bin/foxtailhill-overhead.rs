//! Measures the latency that a daemon adds to a request, its throughput with small requests, and its memory with open
//! streams.
//!
//! The daemon is a process of the shipped binary; the stand-ins run in this process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::{OptionExt, WrapErr, ensure};
use foxtailhill::ids::KeyDigest;
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::cluster::{
    ClusterOptions, DaemonSpec, EngineSpec, ServiceSpec, TestCluster,
};
use foxtailhill_standins::{EngineOptions, ServiceOptions};
use hdrhistogram::Histogram;
use http::Method;
use serde_json::json;
use tokio::task::JoinSet;

const KEY: &str = "key-of-the-measurement";
const ZONE: &str = "north";
const PATH: &str = "/stock/1";
const TIMEOUT: Duration = Duration::from_secs(120);
/// Streams are opened in groups of this size with pauses between, so that the listen backlog does not overflow.
const STREAM_GROUP: usize = 100;
/// Tokens of an open stream: more than are generated during the measurement.
const STREAM_TOKENS: u32 = 4_000;

/// Measures one daemon process.
#[derive(FromArgs)]
struct OverheadArgs {
    /// program of the daemon (default target/release/foxtailhill)
    #[argh(option, default = "PathBuf::from(\"target/release/foxtailhill\")")]
    program: PathBuf,
    /// requests of the latency measurement, each straight and through the daemon (default 5000)
    #[argh(option, default = "5_000")]
    requests: usize,
    /// seconds of the throughput measurement (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// callers of the throughput measurement (default 64)
    #[argh(option, default = "64")]
    callers: usize,
    /// open streams of the memory measurement (default 2000)
    #[argh(option, default = "2_000")]
    streams: usize,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: OverheadArgs = argh::from_env();
    let mut cluster = open_cluster(&args).await?;
    cluster.wait_ready().await?;
    declare(&cluster).await?;
    let daemon = cluster.daemons[0].addresses().caller;
    let service = cluster.services[0].address();
    wait_for_model(daemon).await?;
    measure_latency(daemon, service, args.requests).await?;
    measure_throughput(&cluster, daemon, &args).await?;
    measure_memory(&cluster, daemon, args.streams).await?;
    cluster.shutdown().await
}

async fn open_cluster(args: &OverheadArgs) -> eyre::Result<TestCluster> {
    let mut settings = serde_json::Map::new();
    settings.insert(
        "limits".into(),
        json!({"in_flight": 10_000, "queue": 10_000}),
    );
    settings.insert("log".into(), json!({"level": "warn"}));
    TestCluster::open(ClusterOptions {
        program: args.program.clone(),
        daemons: vec![DaemonSpec::new("entry-1", ZONE)],
        engines: vec![EngineSpec {
            name: "engine-1".into(),
            zone: ZONE.into(),
            accelerators: 1,
            options: EngineOptions {
                slots: args.streams + 100,
                base_step: Duration::from_millis(500),
                step_per_sequence: Duration::ZERO,
                keep_received: false,
                ..EngineOptions::default()
            },
        }],
        services: vec![ServiceSpec {
            name: "service-1".into(),
            zone: ZONE.into(),
            group: "stock".into(),
            slots: 4_096,
            options: ServiceOptions {
                keep_received: false,
                ..ServiceOptions::default()
            },
        }],
        settings,
        ..ClusterOptions::default()
    })
    .await
}

async fn declare(cluster: &TestCluster) -> eyre::Result<()> {
    let declaration = json!({
        "teams": [{"name": "desks", "rate": 1_000_000_000u64, "burst": 1_000_000_000u64}],
        "models": [{
            "name": "drafter", "memory_bytes": 1_000_000_000u64, "min_replicas": 1, "version": "v1",
            "first_token_ms": 510,
        }],
        "keys": [{
            "name": "desk-1", "team": "desks", "digest": KeyDigest::of(KEY.as_bytes()).to_string(),
        }],
        "routes": [{
            "name": "stock", "prefix": "/stock", "target": {"service": "stock"}, "repeatable": true,
        }],
        "backends": cluster.backends(),
    });
    cluster.declare(0, &declaration).await
}

fn caller() -> KeyedCaller {
    KeyedCaller::new(Some(KEY), TIMEOUT)
}

async fn wait_for_model(daemon: SocketAddr) -> eyre::Result<()> {
    let until = Instant::now() + TIMEOUT;
    let messages = r#"[{"role":"user","content":"ready?"}]"#;
    while caller().chat(daemon, "drafter", messages, 1).await?.status != 200 {
        ensure!(
            Instant::now() < until,
            "the model was not loaded within {TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Sends requests one at a time, alternating between the service itself and the daemon.
async fn measure_latency(
    daemon: SocketAddr,
    service: SocketAddr,
    requests: usize,
) -> eyre::Result<()> {
    let caller = caller();
    let mut times = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for _ in 0..requests {
        for (target, times) in [service, daemon].into_iter().zip(&mut times) {
            let started = Instant::now();
            let answer = caller
                .send(Method::POST, target, PATH, &[], b"{}".to_vec())
                .await?;
            ensure!(answer.status == 200, "{target} answered {}", answer.status);
            times.record(u64::try_from(started.elapsed().as_micros())?)?;
        }
    }
    let [straight, through] = &times;
    println!("latency of {requests} requests, one at a time, in microseconds");
    for quantile in [0.5, 0.99] {
        let (straight, through) = (
            straight.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        println!(
            "  p{:<3} straight {straight:>6}  through the daemon {through:>6}  added {:>6}",
            quantile * 100.0,
            through.saturating_sub(straight),
        );
    }
    Ok(())
}

/// Measures requests per second and CPU time while each caller sends small requests back to back.
async fn measure_throughput(
    cluster: &TestCluster,
    daemon: SocketAddr,
    args: &OverheadArgs,
) -> eyre::Result<()> {
    let id = cluster.daemons[0]
        .process_id()
        .ok_or_eyre("the daemon is not running")?;
    let (cpu, started) = (cpu_seconds(id)?, Instant::now());
    let until = started + Duration::from_secs(args.seconds);
    let caller = caller();
    let mut tasks = JoinSet::new();
    for _ in 0..args.callers {
        let caller = caller.clone();
        tasks.spawn(async move {
            let mut done = 0u64;
            while Instant::now() < until {
                let answer = caller
                    .send(Method::POST, daemon, PATH, &[], b"{}".to_vec())
                    .await?;
                ensure!(
                    answer.status == 200,
                    "the daemon answered {}",
                    answer.status
                );
                done += 1;
            }
            Ok(done)
        });
    }
    let mut total = 0;
    while let Some(done) = tasks.join_next().await {
        total += done??;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let cores = (cpu_seconds(id)? - cpu) / elapsed;
    let rate = total as f64 / elapsed;
    println!(
        "throughput with {} callers: {rate:.0} requests/s on {cores:.2} cores, {:.0} per core",
        args.callers,
        rate / cores
    );
    Ok(())
}

/// Opens streams and reads the daemon's resident memory while they are open.
async fn measure_memory(
    cluster: &TestCluster,
    daemon: SocketAddr,
    streams: usize,
) -> eyre::Result<()> {
    let id = cluster.daemons[0]
        .process_id()
        .ok_or_eyre("the daemon is not running")?;
    let before = resident_mib(id)?;
    let mut open = JoinSet::new();
    for stream in 0..streams {
        open.spawn(async move {
            let messages =
                format!(r#"[{{"role":"user","content":"<tokens={STREAM_TOKENS}> {stream}"}}]"#);
            caller()
                .chat(daemon, "drafter", &messages, STREAM_TOKENS)
                .await
                .map(drop)
        });
        if stream % STREAM_GROUP == STREAM_GROUP - 1 {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let running = cluster.engines[0].latest().running();
    println!(
        "memory with {running} open streams: {:.1} MiB resident, {before:.1} MiB before",
        resident_mib(id)?
    );
    open.abort_all();
    while open.join_next().await.is_some() {}
    Ok(())
}

/// Returns the user and system CPU time of a process in seconds.
fn cpu_seconds(id: u32) -> eyre::Result<f64> {
    /// `USER_HZ`, which is 100 in Linux on all platforms that Rust supports.
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))
        .wrap_err("cannot read the process statistics")?;
    // The program's name, in parentheses, may contain spaces. User and system time are fields 14 and 15 of the line.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident_mib(id: u32) -> eyre::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))
        .wrap_err("cannot read the process statistics")?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or_eyre("/proc/PID/status has no VmRSS value")?;
    let kib = line
        .split_whitespace()
        .nth(1)
        .ok_or_eyre("/proc/PID/status has no VmRSS value")?;
    Ok(kib.parse::<f64>()? / 1024.0)
}
