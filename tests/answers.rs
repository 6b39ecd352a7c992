//! A caller receives the whole answer to its own request or a clear error (G7).

mod process_support;

use std::time::Duration;

use eyre::ensure;
use foxtailhill_standins::caller::CallerAnswer;
use foxtailhill_standins::cluster::{ClusterOptions, TestCluster};
use foxtailhill_standins::engine::EngineFault;
use foxtailhill_standins::{AnswerScript, EngineOptions};
use futures_util::future::join_all;
use http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::process_support as support;

const MAX_TOKENS: u32 = 40;
const CALLS: usize = 12;
const ROUNDS: usize = 8;

async fn open() -> eyre::Result<TestCluster> {
    let engine = |zone| {
        let options = EngineOptions {
            time_scale: 0.2,
            ..EngineOptions::default()
        };
        support::engine(&format!("engine-{zone}"), zone, options)
    };
    let cluster = support::open(ClusterOptions {
        daemons: support::daemons(),
        engines: support::ZONES.map(engine).to_vec(),
        ..ClusterOptions::default()
    })
    .await?;
    for daemon in &cluster.daemons {
        let address = daemon.addresses().caller;
        let answer = support::caller()
            .chat(address, "drafter", &messages("probe"), 4)
            .await?;
        ensure!(answer.status == 200, "{answer:?}");
    }
    Ok(cluster)
}

fn messages(text: &str) -> String {
    format!(r#"[{{"role":"user","content":"{text} <tokens={MAX_TOKENS}>"}}]"#)
}

fn draw_fault(random: &mut StdRng) -> EngineFault {
    let index = random.random_range(0..MAX_TOKENS);
    match random.random_range(0..7) {
        0 => EngineFault::Late {
            ms: random.random_range(1..2_000),
        },
        1 => EngineFault::Crossed { after: index },
        2 => EngineFault::Truncated { after: index },
        3 => EngineFault::Broken { after: index },
        4 => EngineFault::Duplicated { at: index },
        5 => EngineFault::Missing { at: index },
        _ => EngineFault::Lost,
    }
}

/// Asks for a streamed answer.
async fn stream(cluster: &TestCluster, daemon: usize, text: &str) -> eyre::Result<CallerAnswer> {
    let messages: Value = serde_json::from_str(&messages(text))?;
    let body = json!({
        "model": "drafter", "max_tokens": MAX_TOKENS, "messages": messages, "stream": true,
    });
    let address = cluster.daemons[daemon].addresses().caller;
    let path = "/v1/chat/completions";
    support::caller()
        .send(Method::POST, address, path, &[], body.to_string().into())
        .await
}

/// Joins the tokens of a streamed answer; the second part says whether the answer was finished.
fn joined(answer: &CallerAnswer) -> (String, bool) {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let (mut text, mut finished) = (String::new(), false);
    for event in events.filter_map(|event| serde_json::from_str::<Value>(event).ok()) {
        let choice = &event["choices"][0];
        text += choice["delta"]["content"].as_str().unwrap_or_default();
        finished |= choice["finish_reason"].is_string();
    }
    (text, finished)
}

/// Checks a streamed answer; returns whether it is whole.
fn check_stream(text: &str, answer: &CallerAnswer) -> eyre::Result<bool> {
    let expected = AnswerScript::new("drafter", "v1", None, messages(text).as_bytes());
    let expected = expected.text(MAX_TOKENS);
    if answer.status != 200 {
        ensure!(answer.verdict().is_some(), "{text}: no verdict: {answer:?}");
        return Ok(false);
    }
    let (tokens, finished) = joined(answer);
    if finished {
        ensure!(tokens == expected, "{text}: wrong answer: {tokens}");
        return Ok(true);
    }
    ensure!(
        expected.starts_with(&tokens),
        "{text}: wrong part: {tokens}"
    );
    let body = String::from_utf8_lossy(&answer.body);
    ensure!(body.contains("\"error\""), "{text}: no error: {body}");
    Ok(false)
}

/// Checks a whole answer; returns whether the caller got it.
fn check_whole(text: &str, answer: &CallerAnswer) -> eyre::Result<bool> {
    let expected = AnswerScript::new("drafter", "v1", None, messages(text).as_bytes());
    if answer.status == 200 {
        let expected = expected.text(MAX_TOKENS);
        ensure!(answer.text() == Some(expected), "{text}: {answer:?}");
        return Ok(true);
    }
    ensure!(answer.verdict().is_some(), "{text}: no verdict: {answer:?}");
    Ok(false)
}

/// Checks that every resumed run was given exactly the tokens that belong to its answer.
fn check_resumes(cluster: &TestCluster) -> eyre::Result<usize> {
    let journals = cluster.engines.iter().flat_map(|engine| engine.journals());
    let runs: Vec<_> = journals.flat_map(|journal| journal.runs).collect();
    let wrong: Vec<_> = runs.iter().filter(|run| !run.resume_matches).collect();
    ensure!(wrong.is_empty(), "resumed after wrong tokens: {wrong:?}");
    Ok(runs.iter().filter(|run| run.first_index > 0).count())
}

/// Guards against tokens that are lost, repeated or of another request when engines answer late, with the answer of
/// another request or in part, or die during a stream.
#[tokio::test(flavor = "multi_thread")]
async fn callers_get_the_whole_right_answer_or_an_error() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(support::seed(21));
    let mut cluster = open().await?;
    let (mut whole, mut refused) = (0, 0);
    for round in 0..ROUNDS {
        for engine in &cluster.engines {
            let fault = draw_fault(&mut random);
            println!("round {round}: {}: {fault:?}", engine.spec.name);
            engine.latest().push_fault(fault);
        }
        let victim = random.random_range(0..cluster.engines.len());
        let kill_at = Duration::from_millis(random.random_range(0..200));
        let kill = random.random_bool(0.5);
        println!("round {round}: engine {victim} dies after {kill_at:?}: {kill}");
        let calls = (0..CALLS).map(|call| {
            let (cluster, text) = (&cluster, format!("round {round} call {call}"));
            async move {
                let daemon = call % cluster.daemons.len();
                if call % 2 == 0 {
                    check_stream(&text, &stream(cluster, daemon, &text).await?)
                } else {
                    let address = cluster.daemons[daemon].addresses().caller;
                    let answer = support::caller()
                        .chat(address, "drafter", &messages(&text), MAX_TOKENS)
                        .await?;
                    check_whole(&text, &answer)
                }
            }
        });
        let die = async {
            tokio::time::sleep(kill_at).await;
            if kill {
                cluster.engines[victim].kill();
            }
        };
        let (results, ()) = tokio::join!(join_all(calls), die);
        for result in results {
            if result? {
                whole += 1;
            } else {
                refused += 1;
            }
        }
        if kill {
            cluster.engines[victim].restart().await?;
        }
    }
    let resumed = check_resumes(&cluster)?;
    println!("{whole} whole answers, {refused} errors, {resumed} resumed runs");
    ensure!(resumed > 0, "no stream was resumed");
    ensure!(whole > refused, "{refused} of {} failed", whole + refused);
    cluster.shutdown().await
}
