//! Daemon processes that start while the store refuses all calls, beside others that run.

#[path = "soak/daemon.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod daemon;
mod desk_support;
#[path = "soak/server.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod server;
#[path = "soak/store.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod store;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use futures_util::future::try_join_all;

use crate::daemon::SoakDaemon;
use crate::store::SoakStore;

const DAEMONS: usize = 3;
const SERVERS: usize = 3;
/// Requests that each daemon gets in each step.
const REQUESTS: usize = 20;
/// Time for which the store has refused all calls when daemons restart. No daemon counts as reading the store then.
const OUTAGE_TIME: Duration = Duration::from_secs(5);
/// Time in which service must be back after processes have returned.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

async fn check_served(daemons: &[SoakDaemon], step: &str) -> eyre::Result<()> {
    let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.caller).collect();
    let statuses = desk_support::send_to_all(&callers, step, REQUESTS).await?;
    let served = statuses.iter().filter(|status| *status == "200").count();
    println!("{step}: {served} of {} were served", statuses.len());
    ensure!(
        served == statuses.len(),
        "{step}: {served} of {} requests were served: {statuses:?}",
        statuses.len()
    );
    Ok(())
}

/// Kills and restarts the first `restarted` of the daemons during an outage of the store.
async fn restart_in_outage(group: &TaskGroup, restarted: usize) -> eyre::Result<()> {
    let store = SoakStore::bind(group).await?;
    desk_support::put_config(&store);
    desk_support::spawn_servers(group, &store, SERVERS).await?;
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let name = format!("outage-{restarted}-{number}");
        let mut daemon = SoakDaemon::prepare(&name, store.address).await?;
        daemon.start().await?;
        daemons.push(daemon);
    }
    // All daemons know each other.
    tokio::time::sleep(Duration::from_secs(6)).await;
    check_served(&daemons, "before").await?;
    store.refuse(true);
    tokio::time::sleep(OUTAGE_TIME).await;
    check_served(&daemons, "outage").await?;
    let crashes = daemons[..restarted].iter_mut().map(SoakDaemon::crash);
    let back = tokio::time::timeout(RECOVERY_TIME, try_join_all(crashes)).await;
    ensure!(
        back.is_ok(),
        "a daemon is not ready {RECOVERY_TIME:?} after its restart"
    );
    back??;
    check_served(&daemons, "restarted").await?;
    store.refuse(false);
    tokio::time::sleep(OUTAGE_TIME).await;
    check_served(&daemons, "store-back").await
}

async fn check_restarts(restarted: usize) -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = restart_in_outage(&group, restarted).await;
    group.shutdown().await;
    result
}

/// Guards against a daemon that knows no backend server until the store is back, although its peers know them.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_restarted_during_an_outage_of_the_store_serves() -> eyre::Result<()> {
    check_restarts(1).await
}

/// Guards against the same while only one daemon still has a list.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_restarted_at_once_during_an_outage_of_the_store_serve() -> eyre::Result<()> {
    check_restarts(2).await
}
