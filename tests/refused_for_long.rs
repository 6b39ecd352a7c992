//! A daemon that the store refuses for longer than the term of its registration.

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
#[allow(dead_code, reason = "used by other tests")]
mod store_link;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;

use crate::daemon::SoakDaemon;
use crate::store::SoakStore;
use crate::store_link::{REFUSED, StoreLink};

const DAEMONS: usize = 3;
const SERVERS: usize = 3;
const REQUESTS: usize = 20;
/// Time for which a daemon is refused: the term of a registration, and the margin after which peers drop it.
const REFUSAL_TIME: Duration = Duration::from_secs(45);
/// Time in which a change of the list must have reached all daemons.
const LIST_TIME: Duration = Duration::from_secs(8);

/// Runs daemons whose servers, in `first` at first, all move to other addresses while the store refuses one daemon.
async fn serve_while_refused(group: &TaskGroup, first: &TaskGroup) -> eyre::Result<()> {
    let store = SoakStore::bind(group).await?;
    desk_support::put_config(&store);
    desk_support::spawn_servers(first, &store, SERVERS).await?;
    let (mut daemons, mut links) = (Vec::new(), Vec::new());
    for number in 0..DAEMONS {
        let link = StoreLink::bind(group, store.address).await?;
        let mut daemon = SoakDaemon::prepare(&format!("refused-{number}"), link.address).await?;
        daemon.start().await?;
        daemons.push(daemon);
        links.push(link);
    }
    tokio::time::sleep(LIST_TIME).await;
    links[0].set(REFUSED);
    tokio::time::sleep(REFUSAL_TIME).await;
    first.shutdown().await;
    desk_support::spawn_servers(group, &store, SERVERS).await?;
    tokio::time::sleep(LIST_TIME).await;
    let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.caller).collect();
    let statuses = desk_support::send_to_all(&callers, "moved", REQUESTS).await?;
    let served = statuses.iter().filter(|status| *status == "200").count();
    ensure!(
        served == statuses.len(),
        "{served} of {} requests were served: {statuses:?}",
        statuses.len()
    );
    for daemon in &mut daemons {
        daemon.check_running()?;
    }
    Ok(())
}

/// Guards against a daemon that hears nothing of its peers, and so of no change of the list, once they have dropped its
/// registration.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_the_store_refuses_follows_its_peers_after_its_term() -> eyre::Result<()> {
    let (group, first) = (TaskGroup::new(), TaskGroup::new());
    let result = serve_while_refused(&group, &first).await;
    first.shutdown().await;
    group.shutdown().await;
    result
}
