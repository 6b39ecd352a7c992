//! Daemon processes that start while the store answers slowly.

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
use foxtailhill::relay::HeadLimit;

use crate::daemon::SoakDaemon;
use crate::store::SoakStore;
use crate::store_link::{LinkState, StoreLink};

const DAEMONS: usize = 3;
const SERVERS: usize = 3;
/// Requests that each daemon gets.
const REQUESTS: usize = 10;
/// Time that each call of the store takes.
const STORE_TIME: Duration = Duration::from_secs(2);
/// Time in which service must be back after processes have returned.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

async fn restart_beside_slow_store(group: &TaskGroup) -> eyre::Result<()> {
    let store = SoakStore::bind(group).await?;
    desk_support::put_config(&store);
    desk_support::spawn_servers(group, &store, SERVERS).await?;
    let link = StoreLink::bind(group, store.address).await?;
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        let mut daemon = SoakDaemon::prepare(&format!("slow-{number}"), link.address).await?;
        daemon.start().await?;
        daemons.push(daemon);
    }
    for daemon in &mut daemons {
        daemon.end_process();
    }
    link.set(LinkState::Slow(STORE_TIME));
    for daemon in &mut daemons {
        daemon.launch()?;
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    for daemon in &mut daemons {
        daemon.check_running()?;
    }
    let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.caller).collect();
    let statuses = desk_support::send_to_all(&callers, "slow", REQUESTS).await?;
    let served = statuses.iter().filter(|status| *status == "200").count();
    println!("{served} of {} were served", statuses.len());
    ensure!(
        served == statuses.len(),
        "{served} of {} requests were served: {statuses:?}",
        statuses.len()
    );
    Ok(())
}

/// Guards against daemons that never get a list of servers from a store whose answers take longer than a fixed time limit.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_start_beside_a_slow_store_serve() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = restart_beside_slow_store(&group).await;
    group.shutdown().await;
    result
}

/// Guards against a time limit that stays below the answer time of a slow service, that grows without a bound, or that
/// stays long once answers are fast again.
#[test]
fn time_limit_follows_the_answer_times() {
    let limit = HeadLimit::default();
    let first = limit.current();
    for _ in 0..3 {
        limit.note_late(first);
    }
    assert_eq!(limit.current(), first * 2);
    for _ in 0..40 {
        limit.note_late(limit.current());
    }
    assert!(limit.current() < RECOVERY_TIME);
    limit.note_answer(STORE_TIME);
    assert!(limit.current() > STORE_TIME);
    limit.note_answer(Duration::ZERO);
    assert_eq!(limit.current(), first);
}
