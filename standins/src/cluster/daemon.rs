//! Daemon processes of a test cluster.

use std::fs::OpenOptions;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use eyre::{OptionExt, WrapErr};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use smol_str::SmolStr;
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};

use crate::cluster::wait_for_ok;
use crate::reserve_port;

/// Path of the readiness check on the admin address.
const READY_PATH: &str = "/readyz";

/// A daemon of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSpec {
    pub name: SmolStr,
    pub zone: SmolStr,
}

impl DaemonSpec {
    /// Names a daemon and its zone.
    pub fn new(name: impl Into<SmolStr>, zone: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
        }
    }
}

/// Addresses that a daemon binds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// A daemon's process, which can be stopped and started again on the same addresses.
pub struct ClusterDaemon {
    spec: DaemonSpec,
    program: PathBuf,
    addresses: DaemonAddresses,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
    /// Reserve the ports while no process is bound to them.
    _reservations: [TcpSocket; 4],
}

impl ClusterDaemon {
    /// Reserves the addresses on `host`.
    pub(super) fn new(spec: DaemonSpec, host: IpAddr, program: &Path) -> eyre::Result<Self> {
        let reserve = || reserve_port((host, 0).into());
        let reservations = [reserve()?, reserve()?, reserve()?, reserve()?];
        let [caller, operator, peer, admin] = &reservations;
        let addresses = DaemonAddresses {
            caller: caller.local_addr()?,
            operator: operator.local_addr()?,
            peer: peer.local_addr()?,
            admin: admin.local_addr()?,
        };
        Ok(Self {
            spec,
            program: program.to_owned(),
            addresses,
            settings: PathBuf::new(),
            output: PathBuf::new(),
            child: None,
            _reservations: reservations,
        })
    }

    /// Writes the settings file that the next start reads.
    pub fn write_settings(&mut self, directory: &Path, settings: &Value) -> eyre::Result<()> {
        self.settings = directory.join(format!("{}.json", self.spec.name));
        self.output = directory.join(format!("{}.log", self.spec.name));
        std::fs::write(&self.settings, serde_json::to_vec_pretty(settings)?)
            .wrap_err("cannot write a settings file")
    }

    /// Returns name and zone.
    pub fn spec(&self) -> &DaemonSpec {
        &self.spec
    }

    /// Returns the addresses that the daemon binds.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns the standard output and error of all processes of the daemon so far.
    pub fn output(&self) -> String {
        let bytes = std::fs::read(&self.output).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Returns the process id, if the process runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    /// Starts the process. Its output is appended to that of earlier processes.
    pub async fn start(&mut self) -> eyre::Result<()> {
        eyre::ensure!(
            !self.is_running()?,
            "process of {} is already running",
            self.spec.name
        );
        let mut options = OpenOptions::new();
        let output = options.create(true).append(true).open(&self.output)?;
        let child = Command::new(&self.program)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns whether the process exists; a paused process counts as running.
    pub fn is_running(&mut self) -> eyre::Result<bool> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// Waits until the readiness check answers 200. Fails with the daemon's output if the process ends or 60 s pass.
    pub async fn wait_ready(&mut self) -> eyre::Result<()> {
        let admin = self.addresses.admin;
        let child = &mut self.child;
        let alive = || match child {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        };
        let ready = wait_for_ok(admin, READY_PATH, alive).await;
        ready.wrap_err_with(|| format!("{}:\n{}", self.spec.name, self.output()))
    }

    /// Kills the process with SIGKILL, if it runs.
    pub async fn kill(&mut self) -> eyre::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill().await?;
        }
        Ok(())
    }

    /// Asks the process to shut down with SIGTERM.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops the process with SIGSTOP, which simulates a paused VM.
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues a stopped process with SIGCONT.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits until the process has ended.
    pub async fn wait_exit(&mut self, wait: Duration) -> eyre::Result<ExitStatus> {
        let child = self.child.as_mut().ok_or_eyre("process was not started")?;
        let status = tokio::time::timeout(wait, child.wait())
            .await
            .wrap_err_with(|| {
                format!("process of {} did not exit within {wait:?}", self.spec.name)
            })??;
        self.child = None;
        Ok(status)
    }

    /// Kills the process, if it runs, and starts a new one with the same settings.
    pub async fn restart(&mut self) -> eyre::Result<()> {
        self.kill().await?;
        self.start().await
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let id = self.process_id().ok_or_eyre("process is not running")?;
        let id = Pid::from_raw(i32::try_from(id)?).ok_or_eyre("process id is 0")?;
        Ok(kill_process(id, signal)?)
    }
}
