//! A non-repeatable call runs at most once (G9), and a refusal that says `not_run` is true (G8).
//!
//! The checks count what the plain services executed and received, and do not ask the daemons.

mod process_support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{OptionExt, ensure};
use foxtailhill_standins::caller::CallerAnswer;
use foxtailhill_standins::cluster::{ClusterOptions, PLATFORM_ZONE, TestCluster};
use foxtailhill_standins::proxy::FaultSchedule;
use foxtailhill_standins::service::ServiceFault;
use foxtailhill_standins::stream_log::{LogControl, LogOutage};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::process_support as support;

const PATH: &str = "/bookings/1";
const BODY: &str = "seat 4";
/// Longer than a daemon waits until its claim is written to the log.
const LONG_PAUSE: Duration = Duration::from_secs(4);

async fn open(proxied: bool) -> eyre::Result<TestCluster> {
    let cluster = support::open(ClusterOptions {
        daemons: support::daemons(),
        services: vec![
            support::service("booking-1", "catania"),
            support::service("booking-2", "palermo"),
        ],
        proxied,
        ..ClusterOptions::default()
    })
    .await?;
    for daemon in 0..cluster.daemons.len() {
        support::wait_until_served(&cluster, daemon).await?;
    }
    Ok(cluster)
}

async fn submit(cluster: &TestCluster, daemon: usize, key: &str) -> eyre::Result<CallerAnswer> {
    submit_to(cluster.daemons[daemon].addresses().caller, key).await
}

/// Sends a call whose body differs from that of other keys, so that no quarantine for another call meets it.
async fn submit_to(daemon: SocketAddr, key: &str) -> eyre::Result<CallerAnswer> {
    let body = format!("{BODY} of {key}");
    support::caller().submit(daemon, PATH, key, &body).await
}

fn executions(cluster: &TestCluster, key: &str) -> u64 {
    cluster.services.iter().map(|one| one.count(key)).sum()
}

fn received(cluster: &TestCluster, key: &str) -> usize {
    let requests = cluster.services.iter().flat_map(|one| one.received());
    requests
        .filter(|request| request.header("idempotency-key") == Some(key))
        .count()
}

/// Checks executions of a key and every `not_run` against what the services recorded.
fn check(
    cluster: &TestCluster,
    key: &str,
    answers: &[eyre::Result<CallerAnswer>],
) -> eyre::Result<()> {
    let count = executions(cluster, key);
    ensure!(count <= 1, "{key} ran {count} times: {answers:?}");
    let received: HashSet<String> = cluster
        .services
        .iter()
        .flat_map(|one| one.received())
        .filter_map(|request| request.header("x-request-id").map(str::to_owned))
        .collect();
    for answer in answers.iter().flatten() {
        if answer.verdict().as_deref() != Some("not_run") {
            continue;
        }
        let id = answer.headers.get("x-request-id");
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        ensure!(!id.is_empty(), "a refusal without a request id: {answer:?}");
        ensure!(
            !received.contains(id),
            "{key}: a service received what was refused as not run: {answer:?}"
        );
    }
    let served: HashSet<_> = answers
        .iter()
        .flatten()
        .filter(|answer| answer.status == 200)
        .map(|answer| answer.body.clone())
        .collect();
    ensure!(served.len() <= 1, "{key} has several outcomes: {served:?}");
    ensure!(
        served.is_empty() || count == 1,
        "{key} has an outcome and did not run: {served:?}"
    );
    Ok(())
}

/// Sends a copy of a call through each of `daemons` at once.
async fn submit_all(
    cluster: &TestCluster,
    daemons: &[usize],
    key: &str,
) -> Vec<eyre::Result<CallerAnswer>> {
    join_all(daemons.iter().map(|daemon| submit(cluster, *daemon, key))).await
}

async fn restart_crashed(cluster: &mut TestCluster) -> eyre::Result<()> {
    for service in &mut cluster.services {
        if !service.latest().is_running() {
            service.restart().await?;
        }
    }
    Ok(())
}

/// Guards against a second execution when copies race through all zones while services crash or lose answers and
/// the log loses the answers of appends.
#[tokio::test(flavor = "multi_thread")]
async fn copies_of_a_call_run_at_most_once() -> eyre::Result<()> {
    const CLEAN_ROUNDS: usize = 4;
    const FAULTS: [ServiceFault; 4] = [
        ServiceFault::LoseAnswer,
        ServiceFault::Truncate,
        ServiceFault::CrashBeforeEffect,
        ServiceFault::CrashAfterEffect,
    ];
    let mut random = StdRng::seed_from_u64(support::seed(11));
    let mut cluster = open(false).await?;
    for round in 0..20 {
        let key = format!("copies-{round}");
        let fault = (round >= CLEAN_ROUNDS).then(|| FAULTS[round % FAULTS.len()]);
        let lose_answers = random.random_range(0..3);
        println!("{key}: service {fault:?}, {lose_answers} append answers lost");
        // Daemons prefer the service in their zone: a fault of a service that no call reaches stays for a later round.
        for service in &cluster.services {
            fault
                .into_iter()
                .for_each(|fault| service.latest().push_fault(fault));
        }
        cluster.log.set_control(LogControl {
            lose_answers,
            ..LogControl::default()
        });
        let daemons: Vec<usize> = (0..6).map(|_| random.random_range(0..3)).collect();
        let mut answers = submit_all(&cluster, &daemons, &key).await;
        restart_crashed(&mut cluster).await?;
        answers.extend(submit_all(&cluster, &[0, 1, 2], &key).await);
        check(&cluster, &key, &answers)?;
        if fault.is_none() {
            let whole = answers
                .iter()
                .flatten()
                .filter(|answer| answer.status == 200);
            let whole = whole.count();
            ensure!(whole == answers.len(), "{key}: {whole} served: {answers:?}");
        }
    }
    cluster.shutdown().await
}

/// Guards against a second execution when links between zones, backend servers and the log fail.
#[tokio::test(flavor = "multi_thread")]
async fn copies_run_at_most_once_while_links_fail() -> eyre::Result<()> {
    let seed = support::seed(12);
    let mut random = StdRng::seed_from_u64(seed);
    let cluster = open(true).await?;
    let zones = support::ZONES.iter().copied().chain([PLATFORM_ZONE]);
    let zones: Vec<_> = zones.map(Into::into).collect();
    let schedule = FaultSchedule::generate(seed, &zones, 24, Duration::from_secs(12));
    println!("{schedule}");
    let proxy = cluster.proxy.as_ref().ok_or_eyre("links are not proxied")?;
    let calls = async {
        let mut all = Vec::new();
        for round in 0..24 {
            let key = format!("links-{round}");
            let daemons = [0, 1, 2].map(|_| random.random_range(0..3));
            all.push((
                daemons,
                key,
                Duration::from_millis(random.random_range(0..12_000)),
            ));
        }
        let calls = all.into_iter().map(|(daemons, key, delay)| {
            let cluster = &cluster;
            async move {
                tokio::time::sleep(delay).await;
                let answers = submit_all(cluster, &daemons, &key).await;
                (key, answers)
            }
        });
        join_all(calls).await
    };
    let (mut results, ()) = tokio::join!(calls, proxy.run(&schedule));
    proxy.heal();
    for daemon in 0..3 {
        support::wait_until_served(&cluster, daemon).await?;
    }
    for (key, answers) in &mut results {
        answers.extend(submit_all(&cluster, &[0, 1, 2], key).await);
        check(&cluster, key, answers)?;
    }
    cluster.shutdown().await
}

/// Guards against a second execution after the daemon that holds the claim was killed before the answer.
#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_leaves_a_claim_that_nobody_runs_again() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(support::seed(13));
    let mut cluster = open(false).await?;
    for round in 0..4 {
        let key = format!("killed-{round}");
        let victim = random.random_range(0..3);
        let others: Vec<usize> = (0..3).filter(|daemon| *daemon != victim).collect();
        // Half of the kills come before the effect, half between the effect and the answer's arrival.
        let before_effect = round % 2 == 0;
        println!("{key}: daemon {victim} is killed, before the effect: {before_effect}");
        set_delays(&cluster, Duration::from_millis(800));
        let address = cluster.daemons[victim].addresses().caller;
        let holder = tokio::spawn({
            let key = key.clone();
            async move { submit_to(address, &key).await }
        });
        support::wait_until("the call reaches a service", || {
            received(&cluster, &key) == 1
        })
        .await?;
        if !before_effect {
            support::wait_until("the call took effect", || executions(&cluster, &key) == 1).await?;
        }
        cluster.daemons[victim].kill().await?;
        let mut answers = vec![holder.await?];
        answers.extend(submit_all(&cluster, &others, &key).await);
        cluster.daemons[victim].start().await?;
        cluster.daemons[victim].wait_ready().await?;
        set_delays(&cluster, Duration::ZERO);
        support::wait_until_served(&cluster, victim).await?;
        answers.extend(submit_all(&cluster, &[0, 1, 2], &key).await);
        check(&cluster, &key, &answers)?;
        ensure!(received(&cluster, &key) == 1, "{key} was sent again");
    }
    cluster.shutdown().await
}

fn set_delays(cluster: &TestCluster, delay: Duration) {
    for service in &cluster.services {
        service.latest().set_delay(delay);
    }
}

/// Guards against a call that runs although it was refused during a log outage, and against a key that stays unusable
/// after the outage.
#[tokio::test(flavor = "multi_thread")]
async fn call_refused_during_a_log_outage_never_runs() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(support::seed(14));
    let cluster = open(false).await?;
    for outage in [LogOutage::Refuse, LogOutage::Cut, LogOutage::Hang] {
        let key = format!("outage-{outage:?}");
        let daemon = random.random_range(0..3);
        println!("{key}: through daemon {daemon}");
        cluster.log.set_control(LogControl {
            outage,
            ..LogControl::default()
        });
        let answers = vec![submit(&cluster, daemon, &key).await];
        cluster.log.set_control(LogControl::default());
        let refused = answers.iter().flatten().next();
        let verdict = refused.and_then(CallerAnswer::verdict);
        ensure!(verdict.as_deref() == Some("not_run"), "{answers:?}");
        for daemon in 0..3 {
            support::wait_until_served(&cluster, daemon).await?;
        }
        ensure!(received(&cluster, &key) == 0, "{key} ran after the outage");
        check(&cluster, &key, &answers)?;
        wait_outcome(&cluster, daemon, &key).await?;
        check(&cluster, &key, &answers)?;
    }
    cluster.shutdown().await
}

/// Submits a call until it has an outcome.
async fn wait_outcome(cluster: &TestCluster, daemon: usize, key: &str) -> eyre::Result<()> {
    let until = std::time::Instant::now() + support::WAIT_TIMEOUT;
    loop {
        let answer = submit(cluster, daemon, key).await?;
        if answer.status == 200 {
            return Ok(());
        }
        ensure!(std::time::Instant::now() < until, "{key}: {answer:?}");
    }
}

/// Guards against a call that is lost or sent again when its caller goes away, and against another body under a key
/// that was used.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_goes_away_finds_the_outcome() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(support::seed(15));
    let cluster = open(false).await?;
    for round in 0..6 {
        let key = format!("gone-{round}");
        let daemon = random.random_range(0..3);
        let cancel_after = Duration::from_millis(random.random_range(0..60));
        println!("{key}: through daemon {daemon}, cancelled after {cancel_after:?}");
        set_delays(&cluster, Duration::from_millis(300));
        // The call is dropped, which closes its connection, before the service answers.
        let cancelled = tokio::time::timeout(cancel_after, submit(&cluster, daemon, &key)).await;
        ensure!(
            cancelled.is_err(),
            "{key} was answered too early: {cancelled:?}"
        );
        let answers = submit_all(&cluster, &[0, 1, 2], &key).await;
        check(&cluster, &key, &answers)?;
        let served = answers.iter().flatten().all(|answer| answer.status == 200);
        ensure!(served, "{key}: {answers:?}");
        for daemon in &cluster.daemons {
            let other = support::caller()
                .submit(daemon.addresses().caller, PATH, &key, "seat 5")
                .await?;
            ensure!(other.status == 422, "{key} with another body: {other:?}");
        }
        ensure!(executions(&cluster, &key) == 1, "{key} ran again");
    }
    cluster.shutdown().await
}

/// Guards against a second execution by a daemon that was paused after its claim was written, while copies of the call
/// went to other daemons.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_paused_after_its_claim_runs_the_call_at_most_once() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(support::seed(16));
    let cluster = open(false).await?;
    for round in 0..4 {
        let key = format!("paused-{round}");
        let victim = random.random_range(0..3);
        let pause = if round % 2 == 0 {
            Duration::from_millis(random.random_range(1..1_000))
        } else {
            LONG_PAUSE + Duration::from_millis(random.random_range(0..2_000))
        };
        println!("{key}: daemon {victim} is paused for {pause:?}");
        // The delay of the log leaves time between the append and the daemon's reading of it.
        cluster.log.set_control(LogControl {
            delay_ms: 200,
            ..LogControl::default()
        });
        let before = claim_records(&cluster);
        let address = cluster.daemons[victim].addresses().caller;
        let holder = tokio::spawn({
            let key = key.clone();
            async move { submit_to(address, &key).await }
        });
        support::wait_until("the claim is written", || claim_records(&cluster) > before).await?;
        cluster.daemons[victim].pause()?;
        let claimed_only = received(&cluster, &key) == 0;
        println!("{key}: paused between claim and dispatch: {claimed_only}");
        let others: Vec<usize> = (0..3).filter(|daemon| *daemon != victim).collect();
        let (mut answers, ()) = tokio::join!(
            submit_all(&cluster, &others, &key),
            tokio::time::sleep(pause)
        );
        cluster.daemons[victim].resume()?;
        answers.push(holder.await?);
        cluster.log.set_control(LogControl::default());
        support::wait_until_served(&cluster, victim).await?;
        answers.extend(submit_all(&cluster, &[0, 1, 2], &key).await);
        check(&cluster, &key, &answers)?;
    }
    cluster.shutdown().await
}

fn claim_records(cluster: &TestCluster) -> u64 {
    let (first, records) = cluster.log.records("claims");
    first + records.len() as u64
}
