//! G10 with separate processes: a leaving engine gets no new requests after a few seconds, its running requests finish,
//! and its models get replicas on other engines. The checks use the run records of the engines.

mod safety_support;

use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure};
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::cluster::TestCluster;
use foxtailhill_standins::engine::{RunOutcome, RunRecord};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use safety_support::{
    KEY, Traffic, check_memory, declaration, describe, eventually, expect_answers, fresh_messages,
    model, open_fleet, replicas, seed, wait_placed,
};

const ENGINES: usize = 6;
const MODELS: usize = 4;
/// Declared minimum of replicas; five engines have room for ten replicas.
const MIN_REPLICAS: usize = 2;
/// Time after which no run may start. The VM list is read every second, and peers exchange its state as often.
const LEAVE_TIME: Duration = Duration::from_secs(5);
/// Time after that in which the engine is checked for new runs.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
/// Tokens of the streams that run while the engine leaves: at 1.6 ms a token they take longer than the list's lag.
const LONG_TOKENS: u32 = 8_000;
const LONG_STREAMS: usize = 12;

/// Source from which the fleet learns that an engine leaves.
#[derive(Clone, Copy, Debug)]
enum LeaveSignal {
    Report,
    /// Only the VM list says so, after its lag.
    List(Duration),
}

async fn check_leaving_engine(signal: LeaveSignal) -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed());
    let lag = match signal {
        LeaveSignal::Report => Duration::ZERO,
        LeaveSignal::List(lag) => lag,
    };
    let mut cluster = open_fleet(ENGINES, 0, lag).await?;
    let mut first = declaration(&cluster, MODELS, 0);
    for model in first["models"].as_array_mut().into_iter().flatten() {
        model["min_replicas"] = MIN_REPLICAS.into();
    }
    cluster.declare(0, &first).await?;
    // With two replicas each, requests for the engine's models continue while it leaves.
    wait_placed(&cluster, MODELS, MIN_REPLICAS).await?;
    let streams = start_streams(&cluster);
    let open = |engine: usize| runs(&cluster, engine, |run| run.outcome == RunOutcome::Open);
    eventually("long streams run", || {
        (0..ENGINES).map(open).sum::<usize>() == LONG_STREAMS
    })
    .await?;
    let busy: Vec<usize> = (0..ENGINES).filter(|engine| open(*engine) > 0).collect();
    let leaving = busy[random.random_range(0..busy.len())];
    let items = cluster.engines[leaving].latest().resident();
    println!("engine {leaving} leaves by {signal:?}, holding {items:?}");
    let traffic = Traffic::start(&cluster, MODELS, 16);
    let finished = |run: &RunRecord| run.outcome == RunOutcome::Finished;
    eventually("calls on the engine", || {
        runs(&cluster, leaving, finished) > 0
    })
    .await?;

    match signal {
        LeaveSignal::Report => cluster.engines[leaving].latest().mark_leaving(),
        LeaveSignal::List(_) => cluster
            .vms
            .mark_leaving(&cluster.engines[leaving].spec.name),
    }
    let marked = Instant::now();
    tokio::time::sleep(lag + LEAVE_TIME).await;
    let before = runs(&cluster, leaving, |_| true);
    let answered = traffic.answered.load(std::sync::atomic::Ordering::Relaxed);
    println!("{before} runs after {:?}", marked.elapsed());
    tokio::time::sleep(OBSERVATION_TIME).await;
    let after = runs(&cluster, leaving, |_| true);
    ensure!(
        after == before,
        "{} runs started on the leaving engine",
        after - before
    );
    let more = traffic.answered.load(std::sync::atomic::Ordering::Relaxed);
    ensure!(more > answered, "no call was answered meanwhile");

    for stream in streams {
        stream.await?.wrap_err("a stream was cut")?;
    }
    let whole = runs(&cluster, leaving, |run| {
        run.first_index == 0 && run.next_index == LONG_TOKENS
    });
    ensure!(whole > 0, "no long stream finished on the leaving engine");
    let cut = runs(&cluster, leaving, |run| run.outcome != RunOutcome::Finished);
    ensure!(cut == 0, "{cut} runs on the leaving engine did not finish");
    wait_elsewhere(&cluster, leaving).await?;
    expect_answers(&mut cluster, MODELS).await?;
    ensure!(traffic.stop().await > 0, "no call was answered");
    let late = runs(&cluster, leaving, |_| true);
    ensure!(late == before, "{} late runs", late - before);
    check_memory(&cluster)?;
    cluster.shutdown().await
}

fn runs(cluster: &TestCluster, engine: usize, select: impl Fn(&RunRecord) -> bool) -> usize {
    let journal = cluster.engines[engine].latest().journal();
    journal.runs.iter().filter(|run| select(run)).count()
}

/// Starts long answers of all models; each task fails unless its answer is complete.
fn start_streams(cluster: &TestCluster) -> Vec<tokio::task::JoinHandle<eyre::Result<()>>> {
    let daemons = cluster.daemons.iter().cycle();
    let targets = daemons.take(LONG_STREAMS).enumerate();
    let streams = targets.map(|(index, daemon)| {
        let address = daemon.addresses().caller;
        tokio::spawn(async move {
            let caller = KeyedCaller::new(Some(KEY), Duration::from_secs(120));
            let name = model(index % MODELS);
            // `<tokens=…>` sets the length of the stand-in's answer.
            let messages =
                fresh_messages().replace("Palermo", &format!("Palermo <tokens={LONG_TOKENS}>"));
            let answer = caller.chat(address, &name, &messages, LONG_TOKENS).await?;
            let whole = answer.json()["usage"]["completion_tokens"] == LONG_TOKENS;
            if answer.status == 200 && whole {
                return Ok(());
            }
            let start: String = String::from_utf8_lossy(&answer.body)
                .chars()
                .take(400)
                .collect();
            eyre::bail!("{}: {start}", answer.status)
        })
    });
    streams.collect()
}

/// Waits until every model has its minimum of replicas on other engines than the leaving one.
async fn wait_elsewhere(cluster: &TestCluster, leaving: usize) -> eyre::Result<()> {
    let held = cluster.engines[leaving].latest().resident();
    let elsewhere = |name: &str| {
        let own = held.iter().any(|item| item.model == name);
        replicas(cluster, name, None) - usize::from(own)
    };
    let placed = eventually("replicas elsewhere", || {
        (0..MODELS).all(|index| elsewhere(&model(index)) >= MIN_REPLICAS)
    });
    match placed.await {
        Ok(()) => Ok(()),
        Err(failure) => Err(failure.wrap_err(describe(cluster).await)),
    }
}

/// Guards against new requests to an engine whose own reports say that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_reports_leaving_gets_no_new_work() -> eyre::Result<()> {
    check_leaving_engine(LeaveSignal::Report).await
}

/// Guards against new requests to an engine that only the VM list shows as leaving, after the list's lag.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_the_list_shows_as_leaving_gets_no_new_work() -> eyre::Result<()> {
    check_leaving_engine(LeaveSignal::List(Duration::from_secs(2))).await
}
