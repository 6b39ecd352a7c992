//! A request that crashes every engine that runs it goes into quarantine, and concurrent requests are served.

mod process_support;

use std::time::Duration;

use eyre::ensure;
use foxtailhill_standins::caller::CallerAnswer;
use foxtailhill_standins::cluster::{ClusterOptions, TestCluster};
use foxtailhill_standins::engine::RunOutcome;
use foxtailhill_standins::{AnswerScript, EngineOptions};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::process_support as support;

const MAX_TOKENS: u32 = 30;
const POISON: &str = r#"[{"role":"user","content":"<poison> seat plan"}]"#;
const ROUNDS: usize = 12;
const NEIGHBOURS: usize = 6;
/// Deaths until the quarantine, and one more for each other daemon that sends a copy before the notice arrives.
const MAX_DEATHS: usize = 4;

async fn chat(cluster: &TestCluster, daemon: usize, messages: &str) -> eyre::Result<CallerAnswer> {
    let address = cluster.daemons[daemon].addresses().caller;
    support::caller()
        .chat(address, "drafter", messages, MAX_TOKENS)
        .await
}

fn neighbour(round: usize, number: usize) -> String {
    format!(r#"[{{"role":"user","content":"neighbour {round} {number} <tokens={MAX_TOKENS}>"}}]"#)
}

async fn restart_dead(cluster: &mut TestCluster) -> eyre::Result<()> {
    for engine in &mut cluster.engines {
        if !engine.latest().is_running() {
            engine.restart().await?;
        }
    }
    Ok(())
}

/// Counts the engine stand-ins that crashed, including those that were restarted since.
fn deaths(cluster: &TestCluster) -> usize {
    let journals = cluster.engines.iter().flat_map(|engine| engine.journals());
    let crashed = journals.filter(|journal| {
        let mut runs = journal.runs.iter();
        runs.any(|run| run.outcome == RunOutcome::Crashed)
    });
    crashed.count()
}

/// Guards against a request that is retried and crashes one engine after another, and against concurrent or later
/// requests of the same team that fail with it.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request_is_stopped_and_neighbours_are_served() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(support::seed(31));
    let names = ["a", "b"];
    let specs = support::ZONES.iter().flat_map(|zone| {
        names.map(|name| {
            let options = EngineOptions {
                time_scale: 0.5,
                ..EngineOptions::default()
            };
            support::engine(&format!("engine-{zone}-{name}"), zone, options)
        })
    });
    let mut cluster = support::open(ClusterOptions {
        daemons: support::daemons(),
        engines: specs.collect(),
        ..ClusterOptions::default()
    })
    .await?;
    for daemon in 0..3 {
        let answer = chat(&cluster, daemon, &neighbour(ROUNDS, daemon)).await?;
        ensure!(answer.status == 200, "{answer:?}");
    }
    let (mut last, mut failures) = (None, Vec::new());
    for round in 0..ROUNDS {
        let daemon = random.random_range(0..3);
        let delay = Duration::from_millis(random.random_range(0..150));
        println!("round {round}: poison through daemon {daemon} after {delay:?}");
        let cluster_ref = &cluster;
        let neighbours = (0..NEIGHBOURS).map(|number| async move {
            let messages = neighbour(round, number);
            let answer = chat(cluster_ref, number % 3, &messages).await;
            (messages, answer)
        });
        let poison = async {
            tokio::time::sleep(delay).await;
            chat(cluster_ref, daemon, POISON).await
        };
        let (answers, poison) = tokio::join!(join_all(neighbours), poison);
        let poison = poison?;
        println!(
            "round {round}: {}, {} deaths",
            poison.status,
            deaths(&cluster)
        );
        ensure!(poison.status != 200, "{poison:?}");
        for (messages, answer) in answers {
            let script = AnswerScript::new("drafter", "v1", None, messages.as_bytes());
            let expected = script.text(MAX_TOKENS);
            let text = answer.as_ref().ok().and_then(CallerAnswer::text);
            if text != Some(expected) {
                failures.push(format!("{messages}: {answer:?}"));
            }
        }
        last = Some(poison);
        restart_dead(&mut cluster).await?;
    }
    let deaths = deaths(&cluster);
    println!("{deaths} engines died of {ROUNDS} poison requests");
    ensure!(
        deaths <= MAX_DEATHS,
        "{deaths} engines died and {} neighbours failed",
        failures.len()
    );
    ensure!(failures.is_empty(), "neighbours failed: {failures:#?}");
    ensure!(deaths > 0, "the poison had no effect");
    let last = last.map(|answer| answer.json()["error"]["type"].clone());
    ensure!(last == Some("quarantined".into()), "{last:?}");
    cluster.shutdown().await
}
