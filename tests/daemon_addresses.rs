//! Addresses of daemon processes in tests that run beside each other.

#[path = "soak/daemon.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod daemon;

use std::collections::HashSet;

use foxtailhill_standins::any_port;

use crate::daemon::SoakDaemon;

/// Guards against two daemons that are given the same address, so that one of them ends at its start and the other one
/// answers for it.
#[tokio::test]
async fn daemons_are_given_different_addresses() -> eyre::Result<()> {
    let mut callers = HashSet::new();
    for number in 0..1_000 {
        let daemon = SoakDaemon::prepare(&format!("prepared-{number}"), any_port()).await?;
        callers.insert(daemon.caller);
    }
    assert_eq!(callers.len(), 1_000);
    Ok(())
}
