//! The configuration components of a daemon: replica and operator server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foxtailhill::ids::KeyDigest;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::operator::{OperatorHooks, OperatorServer};
use foxtailhill::replica::{CatalogReplica, NoPeers, ReplicaOptions};
use foxtailhill::timer::TimerService;

use super::FakeLog;

/// A replica with an operator server; its bootstrap key is `first`.
pub struct Daemon {
    pub group: TaskGroup,
    pub replica: Arc<CatalogReplica<FakeLog>>,
    pub server: OperatorServer,
    pub serves_keys: Arc<AtomicBool>,
}

impl Daemon {
    pub async fn start(journal: &Arc<FakeLog>, vm: &str) -> Self {
        let group = TaskGroup::new();
        let timer = TimerService::spawn(&group);
        let options = ReplicaOptions {
            vm: vm.into(),
            snapshot_period: Duration::from_secs(600),
        };
        let replica =
            CatalogReplica::spawn(&group, &timer, journal.clone(), Arc::new(NoPeers), options);
        let replica = Arc::new(replica);
        replica.wait_ready().await.expect("daemon runs");
        replica.set_append_allowed(true);
        let serves_keys = Arc::new(AtomicBool::new(true));
        let flag = serves_keys.clone();
        let hooks = OperatorHooks {
            members: Arc::new(Vec::new),
            serves_keys: Arc::new(move || flag.load(Ordering::Relaxed)),
        };
        let server = OperatorServer::bind_with_hooks(
            &group,
            "127.0.0.1:0".parse().expect("daemon runs"),
            replica.clone(),
            Some(KeyDigest::of(b"first")),
            hooks,
        )
        .await
        .expect("daemon runs");
        Self {
            group,
            replica,
            server,
            serves_keys,
        }
    }
}
