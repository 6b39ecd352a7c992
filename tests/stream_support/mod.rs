//! Daemon processes in front of servers of several software versions that answer with streams.

pub mod caller;
pub mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{OptionExt, ensure};
use foxtailhill::kernel::TaskGroup;
use futures_util::future::try_join_all;
use serde_json::json;

use crate::daemon::SoakDaemon;
use crate::store::SoakStore;
use crate::stream_support::caller::{Resumption, StreamCaller};
use crate::stream_support::server::{LAST_EVENT, SERVICE, SHORT_PATH_END, StreamServer};

pub const HOST: &str = "scribe.example";
pub const KEY: &str = "key-of-the-south";
/// Time in which daemons that have started know each other and all servers.
const START_TIME: Duration = Duration::from_secs(6);
/// Time in which a request that cannot be served is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Daemons, a store and servers.
pub struct StreamFleet {
    pub group: TaskGroup,
    pub store: SoakStore,
    pub daemons: Vec<SoakDaemon>,
    pub servers: Vec<Arc<StreamServer>>,
}

impl StreamFleet {
    /// Starts daemons and `count` servers of each of `versions`, and waits until the daemons know each other.
    pub async fn start(
        group: &TaskGroup,
        name: &str,
        daemons: usize,
        versions: &[&str],
        count: usize,
    ) -> eyre::Result<Self> {
        let store = SoakStore::bind(group).await?;
        put_config(&store);
        let mut fleet = Self {
            group: group.clone(),
            store,
            daemons: Vec::new(),
            servers: Vec::new(),
        };
        for version in versions {
            fleet.add_servers(version, count).await?;
        }
        for number in 0..daemons {
            let name = format!("streams-{name}-{number}");
            let store = fleet.store.address;
            let daemon = SoakDaemon::prepare(&name, store).await?;
            fleet.daemons.push(daemon);
        }
        try_join_all(fleet.daemons.iter_mut().map(SoakDaemon::start)).await?;
        tokio::time::sleep(START_TIME).await;
        Ok(fleet)
    }

    /// Starts `count` servers of a version.
    pub async fn add_servers(&mut self, version: &str, count: usize) -> eyre::Result<()> {
        for number in 0..count {
            let id = format!("i-{version}-{number}");
            let server = StreamServer::bind(&self.group, &self.store, id, version).await?;
            self.servers.push(server);
        }
        Ok(())
    }

    /// Returns the address of a daemon for callers.
    pub fn caller(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].caller
    }

    /// Begins `count` streams at a daemon and reads their events up to `last`.
    pub async fn begin(
        &self,
        daemon: usize,
        count: usize,
        last: u64,
    ) -> eyre::Result<Vec<StreamCaller>> {
        let begun = (0..count).map(|_| StreamCaller::begin(self.caller(daemon), last));
        let callers = try_join_all(begun).await?;
        let versions: Vec<&str> = callers.iter().map(StreamCaller::version).collect();
        println!("begun at daemon {daemon}: {versions:?}");
        Ok(callers)
    }

    /// Sends short streams to each daemon.
    pub async fn warm_up(&self, count: usize) -> eyre::Result<()> {
        let path = format!("/draft{SHORT_PATH_END}");
        let sent = (0..self.daemons.len() * count).map(|number| {
            let daemon = self.caller(number % self.daemons.len());
            StreamCaller::begin_at(daemon, &path, LAST_EVENT)
        });
        try_join_all(sent).await?;
        Ok(())
    }

    /// Returns the servers of a version.
    pub fn servers_of(&self, version: &str) -> Vec<&Arc<StreamServer>> {
        let servers = self.servers.iter();
        servers.filter(|server| server.version == version).collect()
    }

    /// Returns the servers that have run a request.
    pub fn servers_with(&self, id: &str) -> Vec<&Arc<StreamServer>> {
        let servers = self.servers.iter();
        servers.filter(|server| server.runs(id) > 0).collect()
    }

    /// Checks that the last try of a caller was refused at once and did not run.
    pub fn check_refusal(&self, caller: &StreamCaller) -> eyre::Result<()> {
        let last = caller.tries.last().ok_or_eyre("no try")?;
        ensure!(
            last.status == "503" && last.events.is_empty(),
            "a try after event {} of {} got {} and {} events",
            caller.last_event(),
            caller.version(),
            last.status,
            last.events.len()
        );
        ensure!(
            last.head_time < REFUSAL_TIME,
            "refused after {:?}",
            last.head_time
        );
        let ran = self.servers_with(&last.id);
        ensure!(ran.is_empty(), "refused, but ran at {}", ran[0].id);
        Ok(())
    }
}

/// Takes streams up at daemons in turn and reads their events up to `last`, or until the answers end.
pub async fn resume_all(
    callers: &mut [StreamCaller],
    daemons: &[SocketAddr],
    resumption: Resumption<'_>,
    last: u64,
) -> eyre::Result<()> {
    let resumed = callers.iter_mut().enumerate().map(|(number, caller)| {
        let daemon = daemons[number % daemons.len()];
        caller.resume(daemon, resumption, last)
    });
    try_join_all(resumed).await?;
    Ok(())
}

/// Reads the events of all callers until their answers end.
pub async fn read_all(callers: &mut [StreamCaller]) -> eyre::Result<()> {
    try_join_all(callers.iter_mut().map(StreamCaller::read_to_end)).await?;
    Ok(())
}

/// Checks every caller and reports all failures at once.
pub fn check_all(
    callers: &[StreamCaller],
    check: impl Fn(&StreamCaller) -> eyre::Result<()>,
) -> eyre::Result<()> {
    let failed: Vec<String> = callers
        .iter()
        .filter_map(|caller| check(caller).err())
        .map(|error| error.to_string())
        .collect();
    ensure!(
        failed.is_empty(),
        "{} of {} streams: {failed:#?}",
        failed.len(),
        callers.len()
    );
    Ok(())
}

/// Checks that a stream is whole, of one version and complete.
pub fn check_complete(caller: &StreamCaller) -> eyre::Result<()> {
    caller.check_events()?;
    let last = caller.tries.last().ok_or_eyre("no try")?;
    ensure!(
        caller.is_complete(),
        "a stream of {} did not go on: {}, {} events in the last of {} tries, last event {}",
        caller.version(),
        last.status,
        last.events.len(),
        caller.tries.len(),
        caller.last_event()
    );
    Ok(())
}

fn put_config(store: &SoakStore) {
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "draft", "host": HOST, "path-prefix": "/draft/", "kind": "streaming", "resumable": true,
            "gap-aim-ms": 500, "max-attempts": 2, "timeout-ms": 15_000, "target-latency-ms": 400,
            "service": SERVICE,
        }],
        "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 1_000}],
        "tenants": [{"name": "south", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}],
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}
