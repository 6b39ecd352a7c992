//! Fault soak: daemons as real processes, with planned stops, kills, pauses, changes of the configuration, servers that
//! crash and leave, and a store that refuses calls, in series and overlapping. It checks what callers were promised from
//! what callers and servers have seen.
//!
//! `FOXTAILHILL_SOAK_SEEDS=50 cargo test --test soak -- --nocapture` is the long run; `FOXTAILHILL_SOAK_FIRST` is its first
//! seed.

mod client;
mod daemon;
mod server;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::client::{CallRecord, HOST, KEY, RequestEnd};
use crate::daemon::{Disturbances, SoakDaemon};
use crate::server::{RunJournal, SoakServer};
use crate::store::SoakStore;

const DAEMONS: usize = 3;
const SERVERS: usize = 4;
/// More than the servers have places, so that requests wait.
const CLIENTS: usize = 24;
/// Time in which there is trouble.
const TROUBLE_TIME: Duration = Duration::from_secs(20);
/// Time after the last trouble in which requests still come.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time for which a leaving server still serves.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);
/// Time after its last byte within which a request may cross the close of its connection.
const CROSSING_TIME: Duration = Duration::from_secs(1);
/// Statuses that say that a request has not run and never will.
const NOT_RUN: [&str; 4] = ["408", "421", "429", "503"];

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// Guards against requests that are cut, run twice, are answered with another's answer or refused though they have run,
/// when stops, kills, pauses and changes overlap.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_overlapping_trouble() -> eyre::Result<()> {
    let first = number("FOXTAILHILL_SOAK_FIRST", 1);
    let mut failures = Vec::new();
    for seed in first..first + number("FOXTAILHILL_SOAK_SEEDS", 2) {
        match run(seed).await {
            Ok(summary) => println!("seed {seed}: {summary}"),
            Err(error) => {
                println!("seed {seed}: FAILED: {error}");
                failures.push(format!("seed {seed}: {error}"));
            }
        }
    }
    ensure!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

async fn run(seed: u64) -> eyre::Result<String> {
    let group = TaskGroup::new();
    let result = run_in(&group, seed).await;
    group.shutdown().await;
    result
}

async fn run_in(group: &TaskGroup, seed: u64) -> eyre::Result<String> {
    let store = SoakStore::bind(group).await?;
    let journal = Arc::<RunJournal>::default();
    put_config(&store, 1);
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(add_server(group, &store, &journal, number).await?);
    }
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let mut daemon = SoakDaemon::prepare(&format!("entry-{number}"), store.address).await?;
        daemon.start().await?;
        daemons.push(daemon);
    }
    let addresses: Arc<[SocketAddr]> = daemons.iter().map(|daemon| daemon.caller).collect();
    let disturbances: Vec<_> = daemons
        .iter()
        .map(|daemon| daemon.disturbances.clone())
        .collect();
    let stop = CancellationToken::new();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let seed = seed * 1_000 + client as u64;
        let calls = client::run(client, addresses.clone(), seed, stop.clone());
        clients.push(tokio::spawn(calls));
    }
    let end = Instant::now() + TROUBLE_TIME;
    let mut tasks = Vec::new();
    for (number, daemon) in daemons.into_iter().enumerate() {
        tasks.push(tokio::spawn(disturb_daemon(
            daemon,
            seed * 10 + number as u64,
            end,
        )));
    }
    let platform = disturb_platform(group, &store, &journal, servers, seed, end).await;
    let mut kept = Vec::new();
    for task in tasks {
        // The processes live on until all answers are read.
        kept.push(task.await?);
    }
    tokio::time::sleep(CALM_TIME).await;
    stop.cancel();
    let mut calls = Vec::new();
    for client in clients {
        calls.extend(client.await?);
    }
    platform?;
    for daemon in kept {
        daemon?;
    }
    let summary = check(&calls, &journal, &disturbances)?;
    Ok(format!(
        "{summary}, {} reads of store pages",
        store.page_reads()
    ))
}

/// Stops, kills, pauses and restarts a daemon until `end`.
async fn disturb_daemon(
    mut daemon: SoakDaemon,
    seed: u64,
    end: Instant,
) -> eyre::Result<SoakDaemon> {
    let mut random = StdRng::seed_from_u64(seed);
    while Instant::now() < end {
        let pause = Duration::from_millis(random.random_range(200..2_500));
        tokio::time::sleep(pause).await;
        match random.random_range(0..10) {
            0..=3 => daemon.restart(None).await?,
            4 => daemon.restart(Some("HUP")).await?,
            5 => daemon.restart(Some("TERM")).await?,
            6 => daemon.signal("HUP")?,
            7..=8 => {
                let time = Duration::from_millis(random.random_range(100..2_500));
                daemon.pause(time).await?;
            }
            _ => daemon.crash().await?,
        }
    }
    Ok(daemon)
}

/// Changes the configuration and the servers, and lets the store refuse calls, until `end`.
async fn disturb_platform(
    group: &TaskGroup,
    store: &SoakStore,
    journal: &Arc<RunJournal>,
    mut servers: Vec<SoakServer>,
    seed: u64,
    end: Instant,
) -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut version, mut count) = (1, servers.len());
    while Instant::now() < end {
        let pause = Duration::from_millis(random.random_range(50..1_000));
        tokio::time::sleep(pause).await;
        let index = random.random_range(0..servers.len());
        match random.random_range(0..6) {
            0..=1 => {
                version += random.random_range(1..4);
                put_config(store, version);
            }
            2 => {
                servers.push(add_server(group, store, journal, count).await?);
                count += 1;
                let leaving = servers.swap_remove(index);
                store.put("keyed.servers", &leaving.id, &leaving.record("draining", 2));
                let store = store.clone();
                group.spawn_cancellable(async move {
                    tokio::time::sleep(LEAVING_TIME).await;
                    store.put("keyed.servers", &leaving.id, b"");
                    tokio::time::sleep(LEAVING_TIME).await;
                    leaving.stop();
                });
            }
            3 => {
                let crashed = servers.swap_remove(index);
                crashed.crash(journal);
                servers.push(add_server(group, store, journal, count).await?);
                count += 1;
                let store = store.clone();
                group.spawn_cancellable(async move {
                    tokio::time::sleep(LEAVING_TIME).await;
                    store.put("keyed.servers", &crashed.id, b"");
                });
            }
            4 => {
                store.refuse(true);
                let time = Duration::from_millis(random.random_range(100..2_000));
                tokio::time::sleep(time).await;
                store.refuse(false);
            }
            _ => {}
        }
    }
    Ok(())
}

async fn add_server(
    group: &TaskGroup,
    store: &SoakStore,
    journal: &Arc<RunJournal>,
    number: usize,
) -> eyre::Result<SoakServer> {
    let server = SoakServer::bind(group, format!("i-{number}"), journal.clone()).await?;
    store.put("keyed.servers", &server.id, &server.record("ready", 1));
    Ok(server)
}

/// Writes a configuration. All versions serve the routes that the clients use.
fn put_config(store: &SoakStore, version: u64) {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "path-prefix": format!("/{name}/"), "kind": kind, "max-attempts": 2,
            "timeout-ms": 6_000 + version, "target-latency-ms": 400, "service": "desk",
        })
    };
    let config = json!({
        "version": version,
        "routes": [
            route("check", "idempotent"),
            route("confirm", "non_idempotent"),
            route(&format!("extra-{version}"), "idempotent"),
        ],
        "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
        "tenants": [{"name": "south", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}],
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Checks what the callers saw against what the servers ran.
fn check(
    calls: &[CallRecord],
    journal: &RunJournal,
    disturbances: &[Disturbances],
) -> eyre::Result<String> {
    let (mut served, mut refused, mut failed, mut cut) = (0, 0, 0, 0);
    for call in calls {
        let runs = journal.runs(&call.id);
        let is_disturbed = disturbances[call.daemon].overlap(call.sent, call.ended);
        let has_crash = journal.has_crash(call.sent, call.ended);
        ensure!(
            call.is_repeatable || runs <= 1,
            "ran {runs} times: {call:?}"
        );
        match &call.end {
            RequestEnd::Answered { status, is_own } if status == "200" => {
                ensure!(*is_own && runs > 0, "not its own answer: {call:?}");
                served += 1;
            }
            RequestEnd::Answered { status, .. } if NOT_RUN.contains(&status.as_str()) => {
                ensure!(runs == 0, "refused though it has run: {call:?}");
                refused += 1;
            }
            RequestEnd::Answered { status, .. } => {
                let is_failure = ["502", "504"].contains(&status.as_str());
                ensure!(is_failure, "a proper request was denied: {call:?}");
                ensure!(is_disturbed || has_crash, "failed for no reason: {call:?}");
                failed += 1;
            }
            RequestEnd::Cut => {
                let crossed = runs == 0 && call.ended - call.sent < CROSSING_TIME;
                ensure!(is_disturbed || crossed, "cut, ran {runs} times: {call:?}");
                cut += 1;
            }
        }
    }
    ensure!(
        served * 2 > calls.len(),
        "{served} of {} served",
        calls.len()
    );
    Ok(format!(
        "{} requests, {served} served, {refused} refused, {failed} failed, {cut} cut",
        calls.len()
    ))
}
