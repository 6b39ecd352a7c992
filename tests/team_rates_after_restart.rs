//! Rates of teams after daemons have restarted beside a store that refuses some of them.

#[path = "soak/daemon.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod daemon;
#[allow(dead_code, reason = "used by other tests")]
mod desk_support;
#[path = "soak/server.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod server;
#[path = "soak/store.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod store;
#[allow(dead_code, reason = "used by other tests")]
mod store_link;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use serde_json::json;

use crate::daemon::SoakDaemon;
use crate::desk_support::{HOST, KEY};
use crate::store::SoakStore;
use crate::store_link::{LinkState, REFUSED, StoreLink};

const DAEMONS: usize = 3;
const SERVERS: usize = 6;
/// Requests per second of the team.
const RATE: u64 = 12;
/// Requests that the team may send at once.
const BURST: u64 = 24;
/// Tokens of one request.
const REQUEST_TOKENS: u64 = 100;
/// Time in which daemons use their first shares and the budget of the team fills up.
const FILL_TIME: Duration = Duration::from_secs(8);
/// Time for which the store refuses some of the daemons.
const REFUSAL_TIME: Duration = Duration::from_secs(6);
/// Time in which service must be back after the store has returned.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const MEASURE_TIME: Duration = Duration::from_secs(4);

fn put_limited_config(store: &SoakStore) {
    let config = json!({
        "version": 2,
        "routes": [{
            "name": "check", "host": HOST, "path-prefix": "/check/", "kind": "idempotent", "max-attempts": 2,
            "timeout-ms": 6_000, "target-latency-ms": 1_000, "service": "desk",
        }],
        "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
        "tenants": [{"name": "south", "api-keys": [KEY], "unit": "tokens",
            "plain-tokens": REQUEST_TOKENS, "rate-per-s": RATE * REQUEST_TOKENS, "burst": BURST * REQUEST_TOKENS}],
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Sends requests at two thirds of the rate, to one daemon after the other, and returns the statuses.
async fn send_within_rate(
    daemons: &[SocketAddr],
    time: Duration,
    step: &str,
) -> eyre::Result<Vec<String>> {
    let start = Instant::now();
    let period = Duration::from_millis(1_500 / RATE);
    let mut calls = Vec::new();
    for number in 0.. {
        let passed = period * number as u32;
        if passed >= time {
            break;
        }
        tokio::time::sleep_until((start + passed).into()).await;
        let daemon = daemons[number % daemons.len()];
        let id = format!("{step}-{number}");
        calls.push(tokio::spawn(async move {
            desk_support::send(daemon, "check", &id).await
        }));
    }
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.await??);
    }
    Ok(statuses)
}

async fn check_served(daemons: &[SocketAddr], step: &str) -> eyre::Result<()> {
    let statuses = send_within_rate(daemons, MEASURE_TIME, step).await?;
    let served = statuses.iter().filter(|status| *status == "200").count();
    println!("{step}: {served} of {} were served", statuses.len());
    ensure!(
        served == statuses.len(),
        "{step}: {served} of {} requests within the rate were served: {statuses:?}",
        statuses.len()
    );
    Ok(())
}

/// Kills and restarts all daemons while the store refuses the last `refused` of them.
async fn restart_beside_refusals(group: &TaskGroup, refused: usize) -> eyre::Result<()> {
    let store = SoakStore::bind(group).await?;
    put_limited_config(&store);
    desk_support::spawn_servers(group, &store, SERVERS).await?;
    let (mut daemons, mut links) = (Vec::new(), Vec::new());
    for number in 0..DAEMONS {
        let link = StoreLink::bind(group, store.address).await?;
        let mut daemon = SoakDaemon::prepare(&format!("rate-{number}"), link.address).await?;
        daemon.start().await?;
        daemons.push(daemon);
        links.push(link);
    }
    let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.caller).collect();
    tokio::time::sleep(FILL_TIME).await;
    check_served(&callers, "before").await?;
    for daemon in &mut daemons {
        daemon.end_process();
    }
    for link in &links[DAEMONS - refused..] {
        link.set(REFUSED);
    }
    for daemon in &mut daemons {
        daemon.launch()?;
    }
    tokio::time::sleep(REFUSAL_TIME).await;
    for link in &links {
        link.set(LinkState::Open);
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    check_served(&callers, "after").await?;
    for daemon in &mut daemons {
        daemon.check_running()?;
    }
    Ok(())
}

/// Guards against a daemon that never registers, and so never gets its shares of rates, because the store refused it at its
/// start and another daemon of its zone reads the store since.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_the_store_refused_at_their_start_get_their_shares() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = restart_beside_refusals(&group, 2).await;
    group.shutdown().await;
    result
}
