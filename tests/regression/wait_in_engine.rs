//! A call that waited in an engine's own queue for longer than the timeout between tokens was refused as timed out.

use std::time::Duration;

use eyre::ensure;
use foxtailhill_standins::cluster::{ClusterOptions, DaemonSpec};
use foxtailhill_standins::{AnswerScript, EngineOptions};
use http::Method;
use serde_json::{Value, json};

use crate::process_support as support;

/// Tokens of the call that holds the engine's only slot; they take longer than the client waits for a token.
const LONG_ANSWER: u32 = 1_000;
const MESSAGES: &str = r#"[{"role":"user","content":"the day in numbers"}]"#;

/// Guards against an overnight call that is refused as timed out while a live engine has it in its queue.
#[tokio::test(flavor = "multi_thread")]
async fn call_waits_in_the_queue_of_a_live_engine() -> eyre::Result<()> {
    let options = EngineOptions {
        slots: 1,
        ..EngineOptions::default()
    };
    let cluster = support::open(ClusterOptions {
        daemons: vec![DaemonSpec::new("entry-1", "catania")],
        engines: vec![support::engine("engine-1", "catania", options)],
        ..ClusterOptions::default()
    })
    .await?;
    let mut declaration = support::declaration(&cluster);
    // More than the engine runs at once, so that the second call waits there.
    declaration["backends"][0]["kind"]["engine"]["slots"] = json!(8);
    cluster.declare(0, &declaration).await?;
    let address = cluster.daemons[0].addresses().caller;
    let long = tokio::spawn(async move {
        let messages = format!(r#"[{{"role":"user","content":"<tokens={LONG_ANSWER}>"}}]"#);
        let caller = support::caller();
        caller
            .chat(address, "drafter", &messages, LONG_ANSWER)
            .await
    });
    let running = || !cluster.engines[0].journals()[0].runs.is_empty();
    support::wait_until("the long call runs", running).await?;
    let messages: Value = serde_json::from_str(MESSAGES)?;
    let body = json!({
        "model": "drafter", "max_tokens": 8, "messages": messages, "class": "overnight",
    });
    let path = "/v1/chat/completions";
    let answer = support::caller()
        .send(Method::POST, address, path, &[], body.to_string().into())
        .await?;
    let script = AnswerScript::new("drafter", "v1", None, MESSAGES.as_bytes());
    ensure!(answer.text() == Some(script.text(8)), "{answer:?}");
    ensure!(long.await??.status == 200, "the long call failed");
    let runs = cluster.engines[0].journals()[0].runs.len();
    ensure!(runs == 2, "{runs} runs for two calls");
    cluster.shutdown().await
}

/// Checks what the test above relies on: the long answer takes longer than the timeout between tokens.
#[test]
fn long_answer_outlasts_the_wait_for_a_token() {
    let options = EngineOptions::default();
    let wait = foxtailhill::engine::EngineTimeouts::default().chunk;
    assert!(options.base_step * LONG_ANSWER > wait + Duration::from_secs(2));
}
