//! Test fleet whose daemons run in the calling process, for the demo and for measurements.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::{ensure, eyre};
use foxtailhill::daemon::{self, DaemonHandle, PolicyParts};
use foxtailhill::inventory::{ListedVm, VmRole, VmState};
use foxtailhill::op::{self, OpArgs, OpExit};
use foxtailhill::settings::DaemonSettings;
use serde_json::Value;
use tokio::net::TcpSocket;

use crate::cluster::{
    ClusterOptions, DaemonAddresses, DaemonSpec, OPERATOR_KEY, SettingsInput, TestCluster,
    render_settings,
};
use crate::load::Scenario;

/// Time between two checks for replicas.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Exit status and output of an operator command.
#[derive(Clone, Debug)]
pub struct OpOutput {
    pub exit: OpExit,
    pub out: String,
    pub err: String,
}

/// A running fleet. `cluster` provides the stand-ins and runs no daemons itself.
pub struct LocalFleet {
    pub cluster: TestCluster,
    pub daemons: Vec<DaemonHandle>,
    key_file: PathBuf,
}

impl LocalFleet {
    /// Starts the stand-ins of a scenario and `per_zone` daemons with the policies of `P` in each of its zones.
    /// `engine_scale` and `store_scale` are the time scales of the engines and of the weight store.
    pub async fn open<P: PolicyParts>(
        scenario: &Scenario,
        per_zone: usize,
        engine_scale: f64,
        store_scale: f64,
    ) -> eyre::Result<Self> {
        let cluster = TestCluster::open(ClusterOptions {
            engines: scenario.engine_specs(engine_scale),
            services: scenario.service_specs(),
            weights: scenario.store_options(store_scale),
            ..ClusterOptions::default()
        })
        .await?;
        let key_file = cluster.directory().join("operator.key");
        std::fs::write(&key_file, OPERATOR_KEY)?;
        let mut fleet = Self {
            cluster,
            daemons: Vec::new(),
            key_file,
        };
        let zones = scenario.zones.iter();
        let specs = zones.flat_map(|zone| {
            (0..per_zone).map(move |n| DaemonSpec::new(format!("entry-{zone}-{n}"), zone.clone()))
        });
        for spec in specs {
            fleet.open_daemon::<P>(spec).await?;
        }
        for daemon in &fleet.daemons {
            daemon.wait_ready().await?;
        }
        Ok(fleet)
    }

    async fn open_daemon<P: PolicyParts>(&mut self, spec: DaemonSpec) -> eyre::Result<()> {
        let (addresses, reservations) = reserve_addresses()?;
        self.cluster.vms.put(ListedVm {
            name: spec.name.clone(),
            zone: spec.zone.clone(),
            role: VmRole::Entry,
            address: addresses.peer,
            state: VmState::Live,
        });
        let settings = render_settings(&SettingsInput {
            spec,
            addresses,
            peer_advertised: addresses.peer,
            log: self.cluster.log.address(),
            weights: self.cluster.weights.address(),
            vms: self.cluster.vms.address(),
            list_lag: Duration::ZERO,
            sections: serde_json::Map::new(),
        });
        let settings = DaemonSettings::parse("rendered settings", &settings.to_string())?;
        self.daemons.push(daemon::open_with::<P>(settings).await?);
        drop(reservations);
        Ok(())
    }

    /// Runs an operator command on the daemon at `index`, such as `["list", "team"]`.
    pub async fn op(&self, index: usize, arguments: &[&str]) -> eyre::Result<OpOutput> {
        let server = self.daemons[index].addresses().operator.to_string();
        let key_file = self.key_file.to_string_lossy().into_owned();
        let mut all = vec!["--server", &server, "--key-file", &key_file];
        all.extend_from_slice(arguments);
        let args = OpArgs::from_args(&["op"], &all).map_err(|exit| eyre!("{}", exit.output))?;
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = op::run(&args, &mut out, &mut err).await;
        Ok(OpOutput {
            exit,
            out: String::from_utf8_lossy(&out).into_owned(),
            err: String::from_utf8_lossy(&err).into_owned(),
        })
    }

    /// Declares the scenario's models, teams, keys and routes, and the backend servers of the stand-ins.
    pub async fn declare(&self, scenario: &Scenario) -> eyre::Result<()> {
        let mut declaration = scenario.declaration();
        declaration["backends"] = Value::from(self.cluster.backends());
        let file = self.cluster.directory().join("declaration.json");
        std::fs::write(&file, serde_json::to_vec_pretty(&declaration)?)?;
        let output = self.op(0, &["apply", &file.to_string_lossy()]).await?;
        ensure!(
            output.exit == OpExit::Done,
            "{:?}: {}{}",
            output.exit,
            output.out,
            output.err
        );
        Ok(())
    }

    /// Waits until every declared model has a replica on some engine.
    pub async fn wait_for_replicas(&self, scenario: &Scenario, wait: Duration) -> eyre::Result<()> {
        let until = Instant::now() + wait;
        loop {
            let missing = self.models_without_replica(scenario);
            if missing.is_empty() {
                return Ok(());
            }
            ensure!(
                Instant::now() < until,
                "no engine has a replica of {missing:?} after {wait:?}"
            );
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    fn models_without_replica(&self, scenario: &Scenario) -> Vec<String> {
        let resident: Vec<_> = self
            .cluster
            .engines
            .iter()
            .flat_map(|engine| engine.latest().resident())
            .collect();
        let models = scenario.models.iter().map(|model| &model.spec.name);
        let missing = models.filter(|name| {
            !resident
                .iter()
                .any(|item| item.model == **name && item.adapter.is_none())
        });
        missing.map(ToString::to_string).collect()
    }

    /// Returns the directory of the fleet's files.
    pub fn directory(&self) -> &Path {
        self.cluster.directory()
    }

    /// Shuts the daemons down in order, then the stand-ins.
    pub async fn shutdown(self) -> eyre::Result<()> {
        for daemon in self.daemons {
            daemon.shutdown().await;
        }
        self.cluster.shutdown().await
    }
}

fn reserve_addresses() -> eyre::Result<(DaemonAddresses, [TcpSocket; 4])> {
    let reserve = || crate::reserve_port(crate::any_port());
    let reservations = [reserve()?, reserve()?, reserve()?, reserve()?];
    let [caller, operator, peer, admin] = &reservations;
    let addresses = DaemonAddresses {
        caller: caller.local_addr()?,
        operator: operator.local_addr()?,
        peer: peer.local_addr()?,
        admin: admin.local_addr()?,
    };
    Ok((addresses, reservations))
}
