//! A team never gets more than its rate and burst (guarantee G6) under faults of daemons, links and membership.
//!
//! The meter is a plain service whose route costs [`COST`] tokens a call, so the tokens of a run are known exactly:
//! nothing is refunded once the service has run. The test records the time before it sends a request, the service the
//! time at which it runs it; the daemon admits the request between the two. Requests that are sent and run within a
//! window were therefore admitted within it, and may cost at most `burst + rate * window` tokens. No allowance for
//! latency, terms or loans is needed. A run that a retry repeats is charged once and counted once.
//!
//! Only a change of the rate widens the bound, because daemons apply it at different times: the higher rate counts from
//! before the command until every daemon has applied it and the last earlier loan has ended.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eyre::{ensure, eyre};
use foxtailhill::ids::KeyDigest;
use foxtailhill::limit::MAX_LOAN_LIFETIME;
use foxtailhill_standins::ServiceOptions;
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::client::JsonClient;
use foxtailhill_standins::cluster::{
    ClusterOptions, DaemonAddresses, DaemonSpec, LOG_ZONE, ServiceSpec, TestCluster, VM_LIST_ZONE,
};
use foxtailhill_standins::proxy::LinkFault;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::task::JoinSet;

/// Repeats the schedule of an earlier run if set to the seed that it printed.
const SEED_VARIABLE: &str = "FOXTAILHILL_SEED";
const DEFAULT_SEED: u64 = 20_261_204;
const KEY: &str = "key-of-the-flooding-team";
const TEAM: &str = "charter-sud";
const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];
/// Zone of the service. Links to it never fail, so that only the limiter can stop a disconnected daemon.
const SERVICE_ZONE: &str = "service";
const COST: u64 = 100;
const LOW: TeamLimit = TeamLimit {
    rate: 6_000,
    burst: 6_000,
};
const HIGH: TeamLimit = TeamLimit {
    rate: 12_000,
    burst: 9_000,
};
/// Requests per second over all daemons: five times the lower rate.
const OFFERED_PER_S: f64 = 300.0;
/// Part of the requests that go to one daemon.
const SKEW: f64 = 0.7;
/// Requests that wait at one daemon at most; a paused one answers none.
const MAX_WAITING: usize = 48;
/// Longer than the term of 5 s, the expiry by others after 5.5 s, the promises of 5 s and every loan.
const PAUSE: Duration = Duration::from_secs(9);
/// Time without requests in which every bucket fills up, also at the higher limit.
const QUIET: Duration = Duration::from_millis(1_500);
const NANOS_PER_S: u128 = 1_000_000_000;
/// Time limit for each condition, far above what any needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TeamLimit {
    rate: u64,
    burst: u64,
}

impl TeamLimit {
    fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }
}

/// Limits, each with the time from which it applies.
type LimitHistory = Vec<(Instant, TeamLimit)>;

/// Requests and answers that callers recorded, and what they are told to do.
#[derive(Default)]
struct CallerLog {
    sent: Mutex<HashMap<String, Instant>>,
    admitted: AtomicU64,
    refused: AtomicU64,
    hot: AtomicUsize,
    quiet: AtomicBool,
    stop: AtomicBool,
}

/// One charged run: admitted after `sent` and before `ran`.
#[derive(Clone, Copy, Debug)]
struct ChargedRun {
    sent: Instant,
    ran: Instant,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A zone loses the log, the VM list and its peers.
    CutZone,
    /// A zone loses the log and its peers, and the bytes under way are held back.
    HoldZone,
    /// A zone loses the log only.
    CutLog,
    /// A zone loses the VM list only.
    CutList,
    /// A zone loses its peers only.
    CutPeers,
    Pause,
    Kill,
    LeaveAndJoin,
    ChangeRate,
}

const FAULTS: [Fault; 9] = [
    Fault::CutZone,
    Fault::HoldZone,
    Fault::CutLog,
    Fault::CutList,
    Fault::CutPeers,
    Fault::Pause,
    Fault::Kill,
    Fault::LeaveAndJoin,
    Fault::ChangeRate,
];

fn seed() -> eyre::Result<u64> {
    match std::env::var(SEED_VARIABLE) {
        Ok(text) => Ok(text.parse()?),
        Err(_) => Ok(DEFAULT_SEED),
    }
}

/// Guards against tokens that can be spent twice: a share held by two daemons, a loan that the lender keeps, a term
/// that outlasts its expiry, a bucket that survives a restart or a change of the rate.
#[tokio::test(flavor = "multi_thread")]
async fn team_never_exceeds_its_rate_and_burst() -> eyre::Result<()> {
    let seed = seed()?;
    println!("{SEED_VARIABLE}={seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut cluster = open_cluster().await?;
    cluster.declare(0, &declaration(&cluster, LOW)).await?;
    let mut limits = vec![(Instant::now(), LOW)];

    let log = Arc::new(CallerLog::default());
    let targets: Vec<_> = cluster.daemons.iter().map(|one| one.addresses()).collect();
    let flood = tokio::spawn(flood(targets, log.clone(), seed));
    let mut faults = FAULTS;
    faults.shuffle(&mut random);
    let mut limit = LOW;
    for fault in faults {
        let victim = random.random_range(0..cluster.daemons.len());
        let hot = match random.random_bool(0.5) {
            true => victim,
            false => random.random_range(0..cluster.daemons.len()),
        };
        log.hot.store(hot, Ordering::Relaxed);
        println!("{fault:?} at daemon {victim}, most requests to daemon {hot}");
        wait_admitted(&log, 60).await?;
        if random.random_bool(0.5) {
            fill_buckets(&log).await;
        }
        inject(
            &mut cluster,
            &log,
            fault,
            victim,
            &mut random,
            &mut limits,
            &mut limit,
        )
        .await?;
        wait_admitted(&log, 60).await?;
    }
    log.stop.store(true, Ordering::Relaxed);
    flood.await?;

    let runs = charged_runs(&cluster, &log)?;
    let refused = log.refused.load(Ordering::Relaxed);
    println!("{} runs, {refused} refused", runs.len());
    ensure!(refused > 0, "the team never met its limit");
    let checked = check_windows(&runs, &limits);
    if checked.is_err() {
        for daemon in &cluster.daemons {
            println!("{}", daemon.output());
        }
    }
    checked?;
    cluster.shutdown().await
}

async fn open_cluster() -> eyre::Result<TestCluster> {
    let entry = |index: usize| {
        let zone = ZONES[index % ZONES.len()];
        DaemonSpec::new(format!("entry-{}", index + 1), zone)
    };
    let mut cluster = TestCluster::open(ClusterOptions {
        program: env!("CARGO_BIN_EXE_foxtailhill").into(),
        daemons: (0..5).map(entry).collect(),
        services: vec![ServiceSpec {
            name: "meter-1".into(),
            zone: SERVICE_ZONE.into(),
            group: "meter".into(),
            slots: 10_000,
            options: ServiceOptions::default(),
        }],
        proxied: true,
        split_platform: true,
        ..ClusterOptions::default()
    })
    .await?;
    cluster.wait_ready().await?;
    Ok(cluster)
}

/// The grace period is longer than the test, so that only the end of its term stops a disconnected daemon.
fn declaration(cluster: &TestCluster, limit: TeamLimit) -> Value {
    json!({
        "policy": {"key_grace_ms": 600_000},
        "teams": [{"name": TEAM, "rate": limit.rate, "burst": limit.burst}],
        "keys": [{"name": "flood", "team": TEAM, "digest": KeyDigest::of(KEY.as_bytes()).to_string()}],
        "routes": [{
            "name": "meter", "prefix": "/meter", "target": {"service": "meter"},
            "repeatable": true, "cost": COST,
        }],
        "backends": cluster.backends(),
    })
}

/// Sends requests at a constant rate, most of them to the hot daemon, until told to stop.
async fn flood(targets: Vec<DaemonAddresses>, log: Arc<CallerLog>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let caller = KeyedCaller::new(Some(KEY), Duration::from_secs(3));
    let slots: Vec<_> = targets
        .iter()
        .map(|_| Arc::new(tokio::sync::Semaphore::new(MAX_WAITING)))
        .collect();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / OFFERED_PER_S));
    let mut calls = JoinSet::new();
    for number in 0_u64.. {
        ticks.tick().await;
        while calls.try_join_next().is_some() {}
        if log.stop.load(Ordering::Relaxed) {
            break;
        }
        if log.quiet.load(Ordering::Relaxed) {
            continue;
        }
        let index = match random.random_bool(SKEW) {
            true => log.hot.load(Ordering::Relaxed),
            false => random.random_range(0..targets.len()),
        };
        let Ok(slot) = slots[index].clone().try_acquire_owned() else {
            continue;
        };
        let call = call(caller.clone(), targets[index], log.clone(), number);
        calls.spawn(async move {
            call.await;
            drop(slot);
        });
    }
    calls.join_all().await;
}

async fn call(caller: KeyedCaller, target: DaemonAddresses, log: Arc<CallerLog>, number: u64) {
    let id = format!("run-{number}");
    let sent = Instant::now();
    if let Ok(mut known) = log.sent.lock() {
        known.insert(id.clone(), sent);
    }
    let answer = caller.submit(target.caller, "/meter/run", &id, "one").await;
    match answer.map(|answer| answer.status) {
        Ok(StatusCode::OK) => log.admitted.fetch_add(1, Ordering::Relaxed),
        Ok(StatusCode::TOO_MANY_REQUESTS) => log.refused.fetch_add(1, Ordering::Relaxed),
        // Daemons that are down or disconnected refuse with another status or do not answer.
        _ => 0,
    };
}

/// Stops the requests until all buckets are full.
async fn fill_buckets(log: &CallerLog) {
    log.quiet.store(true, Ordering::Relaxed);
    tokio::time::sleep(QUIET).await;
    log.quiet.store(false, Ordering::Relaxed);
}

async fn wait_admitted(log: &CallerLog, count: u64) -> eyre::Result<()> {
    let goal = log.admitted.load(Ordering::Relaxed) + count;
    until("requests are admitted", async || {
        log.admitted.load(Ordering::Relaxed) >= goal
    })
    .await
}

async fn until(what: &str, mut done: impl AsyncFnMut() -> bool) -> eyre::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !done().await {
        ensure!(
            Instant::now() < deadline,
            "{what}: not within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

async fn inject(
    cluster: &mut TestCluster,
    log: &CallerLog,
    fault: Fault,
    victim: usize,
    random: &mut StdRng,
    limits: &mut LimitHistory,
    limit: &mut TeamLimit,
) -> eyre::Result<()> {
    let zone = cluster.daemons[victim].spec().zone.clone();
    let zone = zone.as_str();
    let lasting = Duration::from_millis(random.random_range(1_000..9_000));
    match fault {
        Fault::CutZone => {
            cut(
                cluster,
                zone,
                &[LOG_ZONE, VM_LIST_ZONE],
                true,
                LinkFault::CUT,
            )?;
            tokio::time::sleep(PAUSE).await;
            fill_buckets(log).await;
        }
        Fault::HoldZone => {
            cut(cluster, zone, &[LOG_ZONE], true, LinkFault::DROP)?;
            tokio::time::sleep(PAUSE).await;
            fill_buckets(log).await;
        }
        Fault::CutLog => {
            let kinds = [LinkFault::CUT, LinkFault::DROP, LinkFault::delay(400)];
            let kind = kinds.choose(random).copied().unwrap_or(LinkFault::CUT);
            cut(cluster, zone, &[LOG_ZONE], false, kind)?;
            tokio::time::sleep(PAUSE).await;
            fill_buckets(log).await;
        }
        Fault::CutList => {
            cut(cluster, zone, &[VM_LIST_ZONE], false, LinkFault::CUT)?;
            tokio::time::sleep(lasting).await;
        }
        Fault::CutPeers => {
            cut(cluster, zone, &[], true, LinkFault::CUT)?;
            tokio::time::sleep(lasting).await;
        }
        Fault::Pause => {
            cluster.daemons[victim].pause()?;
            tokio::time::sleep(PAUSE).await;
            fill_buckets(log).await;
            cluster.daemons[victim].resume()?;
        }
        Fault::Kill => {
            cluster.daemons[victim].kill().await?;
            tokio::time::sleep(lasting / 4).await;
            cluster.daemons[victim].start().await?;
            cluster.daemons[victim].wait_ready().await?;
        }
        Fault::LeaveAndJoin => {
            for index in [victim, (victim + 1) % cluster.daemons.len()] {
                cluster.daemons[index].terminate()?;
                let status = cluster.daemons[index].wait_exit(WAIT_TIMEOUT).await?;
                ensure!(status.success(), "a daemon left with {status}");
                tokio::time::sleep(lasting / 4).await;
                cluster.daemons[index].start().await?;
                cluster.daemons[index].wait_ready().await?;
            }
        }
        Fault::ChangeRate => {
            for next in [HIGH, LOW] {
                change_rate(cluster, *limit, next, limits).await?;
                *limit = next;
                tokio::time::sleep(lasting / 4).await;
            }
        }
    }
    if let Some(proxy) = &cluster.proxy {
        proxy.heal();
    }
    Ok(())
}

/// Cuts the links of a zone to platform services and, if `peers`, both ways to the peers in other zones.
fn cut(
    cluster: &TestCluster,
    zone: &str,
    platform: &[&str],
    peers: bool,
    fault: LinkFault,
) -> eyre::Result<()> {
    let proxy = cluster.proxy.as_ref().ok_or_else(|| eyre!("no proxy"))?;
    for service in platform {
        proxy.set_link(zone, service, fault);
    }
    for other in ZONES.iter().filter(|other| peers && **other != zone) {
        proxy.set_link(zone, other, fault);
        proxy.set_link(other, zone, fault);
    }
    Ok(())
}

async fn change_rate(
    cluster: &TestCluster,
    from: TeamLimit,
    to: TeamLimit,
    limits: &mut LimitHistory,
) -> eyre::Result<()> {
    limits.push((Instant::now(), from.max(to)));
    cluster.declare(0, &declaration(cluster, to)).await?;
    let client = JsonClient::new(Duration::from_secs(2));
    for daemon in &cluster.daemons {
        let admin = daemon.addresses().admin;
        until("the rate is in force", async || {
            let dump: eyre::Result<Value> = client.get(admin, "/dump").await;
            dump.is_ok_and(|dump| dump["limits"]["teams"][0]["rate"] == to.rate)
        })
        .await?;
    }
    limits.push((Instant::now() + MAX_LOAN_LIFETIME, to));
    Ok(())
}

/// Returns the first run of each request, in order of sending.
fn charged_runs(cluster: &TestCluster, log: &CallerLog) -> eyre::Result<Vec<ChargedRun>> {
    let sent = log.sent.lock().map_err(|_| eyre!("a caller panicked"))?;
    let mut first: HashMap<String, Instant> = HashMap::new();
    for run in cluster.services[0].runs() {
        let id = run
            .idempotency_key
            .ok_or_else(|| eyre!("a run has no id"))?;
        first.entry(id).or_insert(run.at);
    }
    let runs = first.into_iter().map(|(id, ran)| {
        let sent = sent.get(&id).copied();
        let sent = sent.ok_or_else(|| eyre!("{id} was never sent"))?;
        Ok(ChargedRun { sent, ran })
    });
    let mut runs: Vec<_> = runs.collect::<eyre::Result<_>>()?;
    runs.sort_by_key(|run| run.sent);
    Ok(runs)
}

/// Checks every window that starts when a request is sent and ends when one runs; longer windows allow more.
fn check_windows(runs: &[ChargedRun], limits: &LimitHistory) -> eyre::Result<()> {
    let mut by_end: Vec<(usize, ChargedRun)> = runs.iter().copied().enumerate().collect();
    by_end.sort_by_key(|(_, run)| run.ran);
    let mut closest = u128::MAX;
    for (first, start) in runs.iter().enumerate() {
        let mut tokens: u128 = 0;
        let mut allowance = Allowance::new(limits, start.sent);
        for (order, run) in &by_end {
            if *order < first {
                continue;
            }
            tokens += u128::from(COST);
            let allowed = allowance.until(run.ran);
            ensure!(
                tokens * NANOS_PER_S <= allowed,
                "{tokens} tokens in {:?}, allowed {}, from {:?} after the first request",
                run.ran - start.sent,
                allowed / NANOS_PER_S,
                start.sent - runs[0].sent
            );
            closest = closest.min(allowed - tokens * NANOS_PER_S);
        }
    }
    println!(
        "the fullest window is {} tokens below the bound",
        closest / NANOS_PER_S
    );
    Ok(())
}

/// `burst + rate * window` of a window that grows.
struct Allowance<'a> {
    rest: &'a [(Instant, TeamLimit)],
    rate: u64,
    at: Instant,
    /// In tokens times nanoseconds per second, so that nothing is rounded.
    tokens: u128,
}

impl<'a> Allowance<'a> {
    fn new(limits: &'a LimitHistory, start: Instant) -> Self {
        let next = limits.partition_point(|(from, _)| *from <= start).max(1);
        let limit = limits[next - 1].1;
        Self {
            rest: &limits[next..],
            rate: limit.rate,
            at: start,
            tokens: u128::from(limit.burst) * NANOS_PER_S,
        }
    }

    fn until(&mut self, end: Instant) -> u128 {
        while let Some(((from, limit), rest)) = self.rest.split_first() {
            if *from > end {
                break;
            }
            self.advance(*from);
            self.rate = limit.rate;
            self.rest = rest;
        }
        self.advance(end);
        self.tokens
    }

    fn advance(&mut self, to: Instant) {
        let passed = to.saturating_duration_since(self.at);
        self.tokens += u128::from(self.rate) * passed.as_nanos();
        self.at = self.at.max(to);
    }
}

/// Guards against a checker that misses one run above the bound, also when the rate changes within the window.
#[test]
fn checker_finds_one_run_above_the_bound() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let limits = vec![(start, LOW), (start + second, HIGH)];
    let run = |sent: Instant| ChargedRun { sent, ran: sent };
    let mut runs: Vec<_> = (0..LOW.burst / COST).map(|_| run(start)).collect();
    for (from, limit) in [(start, LOW), (start + second, HIGH)] {
        let per_s = (limit.rate / COST) as u32;
        // Times are whole nanoseconds, so each run is placed up to 1 ns after its token exists.
        let times = (1..=per_s).map(|number| from + second * number / per_s);
        runs.extend(times.map(|at| run(at + Duration::from_nanos(1))));
    }
    assert!(check_windows(&runs, &limits).is_ok());
    let burst: Vec<_> = (0..=LOW.burst / COST).map(|_| run(start)).collect();
    assert!(check_windows(&burst, &limits).is_err());
    runs.push(run(start + second * 2 + Duration::from_nanos(1)));
    assert!(check_windows(&runs, &limits).is_err());
}
