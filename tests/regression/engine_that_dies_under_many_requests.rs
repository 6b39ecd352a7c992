//! When an engine died under more requests of one daemon than its retry budget held, the others of them failed, although
//! other engines had room.

use std::time::Duration;

use eyre::ensure;
use foxtailhill_standins::cluster::ClusterOptions;
use foxtailhill_standins::{AnswerScript, EngineOptions};
use futures_util::future::join_all;

use crate::process_support as support;

const MAX_TOKENS: u32 = 60;
/// More requests than the retries that a daemon has at the start.
const REQUESTS: usize = 24;
const RUNNING: usize = 6;

/// Guards against failing a request whose engine died because requests beside it have used up the retry budget.
#[tokio::test(flavor = "multi_thread")]
async fn all_requests_of_an_engine_that_dies_are_served_by_others() -> eyre::Result<()> {
    let specs = support::ZONES.iter().map(|zone| {
        let options = EngineOptions::default();
        support::engine(&format!("engine-{zone}"), zone, options)
    });
    let cluster = support::open(ClusterOptions {
        daemons: support::daemons(),
        engines: specs.collect(),
        ..ClusterOptions::default()
    })
    .await?;
    let (address, caller) = (cluster.daemons[0].addresses().caller, support::caller());
    let messages = |number| {
        format!(r#"[{{"role":"user","content":"request {number} <tokens={MAX_TOKENS}>"}}]"#)
    };
    let requests = (0..REQUESTS).map(|number| {
        let (caller, messages) = (&caller, messages(number));
        async move { caller.chat(address, "drafter", &messages, MAX_TOKENS).await }
    });
    let kill = async {
        let most = || {
            let engines = cluster.engines.iter();
            engines.max_by_key(|engine| engine.received().len())
        };
        while most().is_none_or(|engine| engine.received().len() < RUNNING) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        most().inspect(|engine| engine.kill())
    };
    let (answers, killed) = tokio::join!(join_all(requests), kill);
    ensure!(killed.is_some(), "no engine was killed");
    for (number, answer) in answers.into_iter().enumerate() {
        let script = AnswerScript::new("drafter", "v1", None, messages(number).as_bytes());
        let text = answer?.text();
        ensure!(
            text == Some(script.text(MAX_TOKENS)),
            "request {number}: {text:?}"
        );
    }
    cluster.shutdown().await
}
