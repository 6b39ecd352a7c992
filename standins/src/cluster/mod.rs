//! Test cluster for integration tests: daemons run as processes, stand-ins in the process of the test.
//!
//! ```no_run
//! # async fn example() -> eyre::Result<()> {
//! use foxtailhill_standins::cluster::{ClusterOptions, DaemonSpec, TestCluster};
//!
//! let mut cluster = TestCluster::open(ClusterOptions {
//!     program: "target/debug/foxtailhill".into(),
//!     daemons: vec![DaemonSpec::new("entry-1", "catania")],
//!     ..ClusterOptions::default()
//! })
//! .await?;
//! cluster.wait_ready().await?;
//! cluster.daemons[0].kill().await?;
//! # Ok(())
//! # }
//! ```

mod backend;
mod daemon;
mod settings;

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eyre::{WrapErr, ensure};
use foxtailhill::inventory::{ListedVm, VmRole, VmState};
use foxtailhill::op::OpExit;
use serde_json::Value;
use smol_str::SmolStr;

pub use self::backend::{ClusterEngine, ClusterService, EngineSpec, ServiceSpec};
pub use self::daemon::{ClusterDaemon, DaemonAddresses, DaemonSpec};
pub use self::settings::{SettingsInput, render_settings};
use crate::client::JsonClient;
use crate::proxy::{FaultProxy, LinkOptions};
use crate::stream_log::{LogOptions, LogStandin};
use crate::vm_list::{VmListControl, VmListOptions, VmListStandin};
use crate::weight_store::{WeightStoreOptions, WeightStoreStandin};

/// Key of the operator that every daemon of a cluster accepts from the start.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test-cluster";
/// Zone label of the log, the weight store and the VM list at the proxy.
pub const PLATFORM_ZONE: &str = "platform";
/// Zone label of the log at the proxy if [`ClusterOptions::split_platform`] is set.
pub const LOG_ZONE: &str = "platform-log";
/// Zone label of the VM list at the proxy if [`ClusterOptions::split_platform`] is set.
pub const VM_LIST_ZONE: &str = "platform-vms";
/// Zones get the networks 127.0.10.0, 127.0.11.0 and so on, so that the proxy can identify the zone of a connection.
const FIRST_ZONE_NETWORK: u8 = 10;
/// Longest wait for a daemon to become ready or to accept a declaration.
const READY_WAIT: Duration = Duration::from_secs(60);
const READY_POLL: Duration = Duration::from_millis(20);

/// Configuration of a [`TestCluster`].
#[derive(Clone, Debug, Default)]
pub struct ClusterOptions {
    /// Path of the daemon's binary; tests pass `env!("CARGO_BIN_EXE_foxtailhill")`.
    pub program: PathBuf,
    pub daemons: Vec<DaemonSpec>,
    pub engines: Vec<EngineSpec>,
    pub services: Vec<ServiceSpec>,
    pub log: LogOptions,
    pub weights: WeightStoreOptions,
    /// Lag of the VM list, which is also the `list_lag` in the daemons' settings.
    pub list_lag: Duration,
    /// Whether links to the platform, the backend servers and the listed peer addresses pass the fault proxy.
    pub proxied: bool,
    /// Whether the log and the VM list have separate links, [`LOG_ZONE`] and [`VM_LIST_ZONE`], so that a zone can be
    /// disconnected from only one of them.
    pub split_platform: bool,
    /// Sections of the settings file, such as `timing`, that replace the defaults of [`render_settings`].
    pub settings: serde_json::Map<String, Value>,
}

/// A running cluster. Dropping it kills only the processes that it started, and removes its directory.
pub struct TestCluster {
    pub log: LogStandin,
    pub weights: WeightStoreStandin,
    pub vms: VmListStandin,
    pub engines: Vec<ClusterEngine>,
    pub services: Vec<ClusterService>,
    pub daemons: Vec<ClusterDaemon>,
    pub proxy: Option<FaultProxy>,
    directory: ClusterDirectory,
    program: PathBuf,
}

impl TestCluster {
    /// Starts the stand-ins and the daemons without waiting until they are ready.
    pub async fn open(options: ClusterOptions) -> eyre::Result<Self> {
        let directory = ClusterDirectory::create()?;
        let network = ZoneNetwork::new(&options);
        let proxy = options.proxied.then(|| network.proxy());
        let log = LogStandin::open(options.log.clone()).await?;
        let weights = WeightStoreStandin::open(options.weights.clone()).await?;
        let mut cluster = Self {
            vms: open_vm_list(&options).await?,
            log,
            weights,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            proxy,
            directory,
            program: options.program.clone(),
        };
        cluster.open_backends(&options, &network).await?;
        cluster.open_daemons(&options, &network).await?;
        Ok(cluster)
    }

    async fn open_backends(
        &mut self,
        options: &ClusterOptions,
        network: &ZoneNetwork,
    ) -> eyre::Result<()> {
        for spec in &options.engines {
            let host = network.host(&spec.zone);
            let weights = self.weights.address();
            let mut engine = ClusterEngine::open(spec.clone(), host, weights).await?;
            engine.advertised = self.advertise(engine.address(), &spec.zone, host).await?;
            self.list_vm(&spec.name, &spec.zone, VmRole::Backend, engine.advertised);
            self.engines.push(engine);
        }
        for spec in &options.services {
            let host = network.host(&spec.zone);
            let mut service = ClusterService::open(spec.clone(), host).await?;
            service.advertised = self.advertise(service.address(), &spec.zone, host).await?;
            self.list_vm(&spec.name, &spec.zone, VmRole::Backend, service.advertised);
            self.services.push(service);
        }
        Ok(())
    }

    async fn open_daemons(
        &mut self,
        options: &ClusterOptions,
        network: &ZoneNetwork,
    ) -> eyre::Result<()> {
        let (log_zone, list_zone) = match options.split_platform {
            true => (LOG_ZONE, VM_LIST_ZONE),
            false => (PLATFORM_ZONE, PLATFORM_ZONE),
        };
        for spec in &options.daemons {
            let host = network.host(&spec.zone);
            let mut daemon = ClusterDaemon::new(spec.clone(), host, &self.program)?;
            let peer = self
                .advertise(daemon.addresses().peer, &spec.zone, host)
                .await?;
            self.list_vm(&spec.name, &spec.zone, VmRole::Entry, peer);
            let input = SettingsInput {
                spec: spec.clone(),
                addresses: daemon.addresses(),
                peer_advertised: peer,
                log: self
                    .platform_address(self.log.address(), spec, log_zone)
                    .await?,
                weights: self
                    .platform_address(self.weights.address(), spec, PLATFORM_ZONE)
                    .await?,
                vms: self
                    .platform_address(self.vms.address(), spec, list_zone)
                    .await?,
                list_lag: options.list_lag,
                sections: options.settings.clone(),
            };
            daemon.write_settings(self.directory.path(), &render_settings(&input))?;
            daemon.start().await?;
            self.daemons.push(daemon);
        }
        Ok(())
    }

    /// Puts a proxy listener in front of `server` if links are proxied.
    async fn advertise(
        &self,
        server: SocketAddr,
        zone: &SmolStr,
        host: IpAddr,
    ) -> eyre::Result<SocketAddr> {
        let link = LinkOptions {
            bind: (host, 0).into(),
            server,
            to: zone.clone(),
            from: None,
        };
        self.listen(link).await
    }

    /// Returns the address at which a daemon reaches a platform service, through the proxy if links are proxied.
    async fn platform_address(
        &self,
        server: SocketAddr,
        spec: &DaemonSpec,
        zone: &'static str,
    ) -> eyre::Result<SocketAddr> {
        let link = LinkOptions {
            bind: crate::any_port(),
            server,
            to: SmolStr::new_static(zone),
            from: Some(spec.zone.clone()),
        };
        self.listen(link).await
    }

    async fn listen(&self, link: LinkOptions) -> eyre::Result<SocketAddr> {
        match &self.proxy {
            Some(proxy) => Ok(proxy.listen(link).await?),
            None => Ok(link.server),
        }
    }

    fn list_vm(&self, name: &SmolStr, zone: &SmolStr, role: VmRole, address: SocketAddr) {
        self.vms.put(ListedVm {
            name: name.clone(),
            zone: zone.clone(),
            role,
            address,
            state: VmState::Live,
        });
    }

    /// Waits until every running daemon is ready.
    pub async fn wait_ready(&mut self) -> eyre::Result<()> {
        for daemon in &mut self.daemons {
            if daemon.is_running()? {
                daemon.wait_ready().await?;
            }
        }
        Ok(())
    }

    /// Returns the entries of all backend servers for the section `backends` of a declaration file.
    pub fn backends(&self) -> Vec<Value> {
        let engines = self.engines.iter().map(ClusterEngine::declaration);
        engines
            .chain(self.services.iter().map(ClusterService::declaration))
            .collect()
    }

    /// Runs `foxtailhill op` with `arguments` against the daemon at `index`, with the cluster's operator key.
    pub async fn op(&self, index: usize, arguments: &[&str]) -> eyre::Result<std::process::Output> {
        let key_file = self.directory.path().join("operator.key");
        std::fs::write(&key_file, OPERATOR_KEY)?;
        let server = self.daemons[index].addresses().operator.to_string();
        tokio::process::Command::new(&self.program)
            .args(["op", "--server", &server, "--key-file"])
            .arg(&key_file)
            .args(arguments)
            .kill_on_drop(true)
            .output()
            .await
            .wrap_err("cannot run the operator command")
    }

    /// Applies a declaration through the daemon at `index`.
    ///
    /// Retries while the command exits with [`OpExit::Unreachable`]: a daemon rejects changes until it has been on the
    /// VM list for the list's lag. Applying a declaration is idempotent.
    pub async fn declare(&self, index: usize, declaration: &Value) -> eyre::Result<()> {
        let file = self.directory.path().join("declaration.json");
        std::fs::write(&file, serde_json::to_vec_pretty(declaration)?)?;
        let deadline = tokio::time::Instant::now() + READY_WAIT;
        loop {
            let output = self.op(index, &["apply", &file.to_string_lossy()]).await?;
            if output.status.success() {
                return Ok(());
            }
            let unreachable = output.status.code() == Some(OpExit::Unreachable as i32);
            ensure!(
                unreachable && tokio::time::Instant::now() < deadline,
                "{}: {}",
                output.status,
                String::from_utf8_lossy(&output.stderr)
            );
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Returns the directory of the daemons' settings files and output.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Kills the daemons and stops the stand-ins.
    pub async fn shutdown(mut self) -> eyre::Result<()> {
        for daemon in &mut self.daemons {
            daemon.kill().await?;
        }
        for engine in self.engines {
            engine.shutdown().await;
        }
        for service in self.services {
            service.shutdown().await;
        }
        self.log.shutdown().await;
        self.weights.shutdown().await;
        self.vms.shutdown().await;
        if let Some(proxy) = self.proxy {
            proxy.shutdown().await;
        }
        Ok(())
    }
}

async fn open_vm_list(options: &ClusterOptions) -> eyre::Result<VmListStandin> {
    let list = VmListStandin::open(VmListOptions {
        control: VmListControl {
            lag_ms: u64::try_from(options.list_lag.as_millis())?,
            down: false,
        },
        ..VmListOptions::default()
    });
    Ok(list.await?)
}

/// Waits until `path` on `address` answers with status 200.
///
/// Fails after [`READY_WAIT`], or as soon as `alive` returns false, which means that the process has ended.
pub(crate) async fn wait_for_ok(
    address: SocketAddr,
    path: &str,
    mut alive: impl FnMut() -> eyre::Result<bool>,
) -> eyre::Result<()> {
    let client = JsonClient::new(Duration::from_secs(2));
    let deadline = tokio::time::Instant::now() + READY_WAIT;
    while tokio::time::Instant::now() < deadline {
        ensure!(alive()?, "process ended before it was ready");
        let answer = client.send(http::Method::GET, address, path, "").await;
        if answer.is_ok_and(|(status, _)| status == http::StatusCode::OK) {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL).await;
    }
    eyre::bail!("{address}{path} was not ready within {READY_WAIT:?}")
}

/// Loopback address of each zone.
struct ZoneNetwork {
    hosts: HashMap<SmolStr, IpAddr>,
}

impl ZoneNetwork {
    fn new(options: &ClusterOptions) -> Self {
        let daemons = options.daemons.iter().map(|spec| &spec.zone);
        let engines = options.engines.iter().map(|spec| &spec.zone);
        let services = options.services.iter().map(|spec| &spec.zone);
        let mut hosts = HashMap::new();
        for zone in daemons.chain(engines).chain(services) {
            let network = FIRST_ZONE_NETWORK + hosts.len() as u8;
            hosts
                .entry(zone.clone())
                .or_insert(Ipv4Addr::new(127, 0, network, 1).into());
        }
        Self { hosts }
    }

    fn host(&self, zone: &SmolStr) -> IpAddr {
        let host = self.hosts.get(zone).copied();
        host.unwrap_or(Ipv4Addr::LOCALHOST.into())
    }

    fn proxy(&self) -> FaultProxy {
        let zones = self.hosts.iter().map(|(zone, host)| (*host, zone.clone()));
        FaultProxy::open(zones.collect())
    }
}

/// Temporary directory of a cluster.
struct ClusterDirectory {
    path: PathBuf,
}

impl ClusterDirectory {
    fn create() -> eyre::Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("foxtailhill-cluster-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).wrap_err("cannot create the cluster's directory")?;
        Ok(Self { path })
    }

    fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ClusterDirectory {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "daemon output and settings are kept in {}",
                self.path.display()
            );
            return;
        }
        // Names contain the process id and a counter, so a directory that cannot be removed affects no later test.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
