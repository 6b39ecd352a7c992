//! A daemon that has started but not yet loaded the configuration.

mod common;

use common::{WAIT_TIMEOUT, declaration, key_entry, options, wait_for};
use eyre::ensure;
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::cluster::TestCluster;
use foxtailhill_standins::stream_log::{LogControl, LogOutage};
use http::Method;
use std::time::Duration;

const KEY: &str = "desk-key-of-the-start";

/// Guards against a daemon that answers that a declared route does not exist because it has not loaded the
/// configuration: a balancer that lags still sends requests to a VM whose process was replaced quickly.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_configuration_does_not_deny_routes() -> eyre::Result<()> {
    let mut cluster = TestCluster::open(options(&["catania"])).await?;
    cluster.wait_ready().await?;
    let keys = [key_entry("desk", "desks", KEY)];
    let declared = declaration(&cluster, &keys, Duration::from_secs(5));
    cluster.declare(0, &declared).await?;
    cluster.log.set_control(LogControl {
        outage: LogOutage::Hang,
        ..LogControl::default()
    });
    cluster.daemons[0].restart().await?;
    let server = cluster.daemons[0].addresses().caller;
    let caller = KeyedCaller::new(Some(KEY), WAIT_TIMEOUT);
    let answer = wait_for("an answer of the new process", async || {
        let call = caller.send(Method::POST, server, "/notices/1", &[], Vec::new());
        Ok(call.await.ok())
    })
    .await?;
    ensure!(answer.status == 503, "{answer:?}");
    ensure!(answer.verdict().as_deref() == Some("not_run"), "{answer:?}");
    cluster.shutdown().await
}
