//! Daemon processes that have read an offset at which the store does not end.

#[path = "soak/daemon.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod daemon;
#[allow(dead_code, reason = "used by other tests")]
mod desk_support;
#[path = "soak/server.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod server;
#[path = "soak/store.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod store;
#[allow(dead_code, reason = "used by other tests")]
mod store_link;

use std::time::Duration;

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;

use crate::daemon::SoakDaemon;
use crate::store::SoakStore;
use crate::store_link::{LinkState, StoreLink};

/// Answer to a read of newest records that has none and names an end far beyond the store's.
const FAR_END: &str = "HTTP/1.1 200 OK\r\nContent-Length: 58\r\n\r\n\
    {\"items\":[],\"has-more\":false,\"end\":18446744073709551615}  ";
/// Time for which the store gives this answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Time in which service must be back after the store has returned.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

async fn start_beside_far_end(group: &TaskGroup) -> eyre::Result<()> {
    let store = SoakStore::bind(group).await?;
    desk_support::put_config(&store);
    desk_support::spawn_servers(group, &store, 2).await?;
    let link = StoreLink::bind(group, store.address).await?;
    link.set(LinkState::Answer(FAR_END));
    let mut daemon = SoakDaemon::prepare("far-end", link.address).await?;
    daemon.launch()?;
    tokio::time::sleep(ANSWER_TIME).await;
    daemon.check_running()?;
    link.set(LinkState::Open);
    let ready = tokio::time::timeout(RECOVERY_TIME, daemon.wait_ready()).await;
    ensure!(
        ready.is_ok(),
        "not ready {RECOVERY_TIME:?} after the store has returned"
    );
    ready??;
    let status = desk_support::send(daemon.caller, "check", "far-end").await?;
    ensure!(status == "200", "status {status}");
    Ok(())
}

/// Guards against a daemon that waits for ever for records at an offset beyond the end of the store.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_reads_the_store_again_if_it_ends_before_the_position() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = start_beside_far_end(&group).await;
    group.shutdown().await;
    result
}
