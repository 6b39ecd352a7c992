//! Graceful shutdown of separate processes: under load behind the balancer, and while the log is down.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use common::{TokenStream, WAIT_TIMEOUT, declaration, key_entry, options, seed, wait_for};
use eyre::ensure;
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::cluster::{ClusterOptions, TestCluster};
use foxtailhill_standins::stream_log::{LogControl, LogOutage};
use foxtailhill_standins::{BalancerOptions, BalancerStandin, BalancerTarget};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];
const KEY: &str = "desk-key-of-the-shutdown";
/// Number of concurrent streams of about a second each: a shutdown without a drain would interrupt them.
const LONG_STREAMS: usize = 8;
const TOKENS: u32 = 50;
/// Number of concurrent short streams. They open connections often enough to detect a listener that closes too early.
const SHORT_STREAMS: usize = 6;
const SHORT_TOKENS: u32 = 2;
/// Number of streams that start before the next daemon is stopped.
const STREAMS_BETWEEN: usize = 100;
/// Period of the balancer's readiness checks; it notices a change within the lag in the daemons' settings.
const CHECK_PERIOD: Duration = Duration::from_millis(800);
/// Settings of the daemons.
const BALANCER_LAG: Duration = Duration::from_millis(1_500);
const DRAIN: Duration = Duration::from_secs(10);
/// Time limit of a daemon for appending its last records, once for the membership and once for claims.
const FINAL_APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Additional time for a slow machine.
const MARGIN: Duration = Duration::from_secs(10);

async fn open() -> eyre::Result<TestCluster> {
    let mut settings = serde_json::Map::new();
    let timing = json!({
        "term": "5s", "report_period": "50ms",
        "balancer_lag": format!("{}ms", BALANCER_LAG.as_millis()),
        "drain": format!("{}s", DRAIN.as_secs()),
    });
    settings.insert("timing".into(), timing);
    let mut cluster = TestCluster::open(ClusterOptions {
        settings,
        ..options(&ZONES)
    })
    .await?;
    cluster.wait_ready().await?;
    let keys = [key_entry("desk", "desks", KEY)];
    let mut declared = declaration(&cluster, &keys, Duration::from_secs(5));
    // An open model avoids refusals because of rate limits or an outdated view, which these tests do not check.
    declared["models"][0]["open"] = json!(true);
    let once = json!({"name": "orders", "prefix": "/orders", "target": {"service": "stock"}});
    if let Some(routes) = declared["routes"].as_array_mut() {
        routes.push(once);
    }
    cluster.declare(0, &declared).await?;
    Ok(cluster)
}

async fn open_balancer(cluster: &TestCluster) -> eyre::Result<BalancerStandin> {
    let targets = cluster.daemons.iter().map(|daemon| BalancerTarget {
        caller: daemon.addresses().caller,
        admin: Some(daemon.addresses().admin),
        weight: 1,
    });
    let balancer = BalancerStandin::open(BalancerOptions {
        targets: targets.collect(),
        check_period: CHECK_PERIOD,
        ..BalancerOptions::default()
    });
    Ok(balancer.await?)
}

async fn wait_all_targets(balancer: &BalancerStandin) -> eyre::Result<()> {
    wait_for("readiness of all targets", async || {
        let all = balancer.targets().iter().all(|status| status.ready);
        Ok(all.then_some(()))
    })
    .await
}

/// Streams one answer after another until `stop`; each must be complete.
async fn stream_all(
    server: SocketAddr,
    tokens: u32,
    stop: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
) -> eyre::Result<()> {
    while !stop.load(Ordering::Relaxed) {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let stream = TokenStream::open(server, KEY, &format!("tour {number}"), tokens);
        let end = stream.wait_end().await?;
        ensure!(
            end.status == Some(200) && end.is_whole() && end.events() > tokens as usize,
            "stream {number} was cut or refused: {end:?}"
        );
    }
    Ok(())
}

/// Guards against a shutdown that interrupts a request or refuses one that the balancer still sends (G11): the daemons
/// are replaced one after another, in random order, while streams start on new connections.
#[tokio::test(flavor = "multi_thread")]
async fn replacing_daemons_one_by_one_cuts_no_stream() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed(0x7368_7431));
    let mut cluster = open().await?;
    let balancer = open_balancer(&cluster).await?;
    wait_all_targets(&balancer).await?;
    let (stop, count) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let lengths = [
        vec![TOKENS; LONG_STREAMS],
        vec![SHORT_TOKENS; SHORT_STREAMS],
    ];
    let load: Vec<_> = lengths
        .concat()
        .into_iter()
        .map(|tokens| {
            let (stop, count) = (stop.clone(), count.clone());
            tokio::spawn(stream_all(balancer.address(), tokens, stop, count))
        })
        .collect();
    let mut order: Vec<usize> = (0..ZONES.len()).collect();
    order.shuffle(&mut random);
    println!("order {order:?}");
    for index in order {
        let daemon = &mut cluster.daemons[index];
        let started = count.load(Ordering::Relaxed);
        wait_for("streams on all daemons", async || {
            Ok((count.load(Ordering::Relaxed) >= started + STREAMS_BETWEEN).then_some(()))
        })
        .await?;
        // The random delay makes shutdowns start at different phases of the balancer's check period.
        tokio::time::sleep(CHECK_PERIOD.mul_f64(random.random())).await;
        daemon.terminate()?;
        let status = daemon.wait_exit(WAIT_TIMEOUT).await?;
        ensure!(status.success(), "{status}\n{}", daemon.output());
        daemon.start().await?;
        daemon.wait_ready().await?;
        wait_all_targets(&balancer).await?;
    }
    stop.store(true, Ordering::Relaxed);
    for task in load {
        task.await??;
    }
    println!("{} streams", count.load(Ordering::Relaxed));
    balancer.shutdown().await;
    cluster.shutdown().await
}

/// Guards against a daemon that does not exit while the log is down because it retries the append of its last records
/// without end. A stream and a call whose outcome cannot be logged are in progress and must be answered.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_ends_while_the_log_is_down() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed(0x7368_7432));
    let mut cluster = open().await?;
    let mut outages = [LogOutage::Refuse, LogOutage::Cut, LogOutage::Hang];
    outages.shuffle(&mut random);
    println!("outages {outages:?}");
    for (index, outage) in outages.into_iter().enumerate() {
        cluster.log.set_control(LogControl::default());
        cluster.services[0].latest().set_delay(Duration::ZERO);
        let server = cluster.daemons[index].addresses().caller;
        let caller = KeyedCaller::new(Some(KEY), WAIT_TIMEOUT);
        wait_for("an answered call", async || {
            let key = format!("first-{index}-{:x}", rand::random::<u64>());
            let answer = caller.submit(server, "/orders/1", &key, "seat").await?;
            Ok((answer.status == 200).then_some(()))
        })
        .await?;
        cluster.services[0]
            .latest()
            .set_delay(Duration::from_secs(2));
        let stream = TokenStream::open(server, KEY, "a tour", TOKENS * 2);
        stream.wait_started().await?;
        let key = format!("last-{index}");
        let (sent, name) = (caller.clone(), key.clone());
        let call =
            tokio::spawn(async move { sent.submit(server, "/orders/1", &name, "seat").await });
        let service = &cluster.services[0];
        wait_for("the call at the service", async || {
            let received = service.received();
            let arrived = received
                .iter()
                .any(|request| request.header("idempotency-key") == Some(key.as_str()));
            Ok(arrived.then_some(()))
        })
        .await?;
        cluster.log.set_control(LogControl {
            outage,
            ..LogControl::default()
        });
        let daemon = &mut cluster.daemons[index];
        daemon.terminate()?;
        let bound = BALANCER_LAG + DRAIN + FINAL_APPEND_TIMEOUT * 2 + MARGIN;
        let status = daemon.wait_exit(bound).await?;
        ensure!(
            status.success(),
            "{outage:?}: {status}\n{}",
            daemon.output()
        );
        ensure!(
            stream.wait_end().await?.is_whole(),
            "{outage:?}: the stream was cut"
        );
        let answer = call.await??;
        ensure!(answer.status == 200, "{outage:?}: {answer:?}");
    }
    cluster.shutdown().await
}
