//! A call for a declared adapter that no engine had loaded yet was answered with 404.

use foxtailhill_standins::cluster::ClusterOptions;
use foxtailhill_standins::{AnswerScript, EngineOptions};
use serde_json::json;

use crate::process_support as support;

const MESSAGES: &str = r#"[{"role":"user","content":"a day in Noto"}]"#;

/// Guards against an engine's `not_found` for a declared adapter that is passed on to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn call_for_an_adapter_that_is_not_loaded_waits_for_it() -> eyre::Result<()> {
    let engine = |zone| support::engine(&format!("engine-{zone}"), zone, EngineOptions::default());
    let cluster = support::open(ClusterOptions {
        daemons: support::daemons(),
        engines: support::ZONES.map(engine).to_vec(),
        ..ClusterOptions::default()
    })
    .await?;
    let mut declaration = support::declaration(&cluster);
    declaration["adapters"] = json!([
        {"name": "polite", "model": "drafter", "memory_bytes": 50_000_000}
    ]);
    cluster.declare(0, &declaration).await?;
    let daemon = &cluster.daemons[0];
    let answer = support::caller()
        .chat(daemon.addresses().caller, "drafter:polite", MESSAGES, 8)
        .await?;
    let script = AnswerScript::new("drafter", "v1", Some("polite"), MESSAGES.as_bytes());
    eyre::ensure!(
        answer.text() == Some(script.text(8)),
        "{answer:?}\n{}",
        daemon.output()
    );
    cluster.shutdown().await
}
