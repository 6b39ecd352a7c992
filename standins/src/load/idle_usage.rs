//! Measures the resource usage of idle daemons by fleet size: CPU time, resident memory and control traffic.
//!
//! Traffic is the TCP payload in both directions between all daemons and each kind of server, counted by the fault
//! proxy and divided by the number of daemons.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use eyre::OptionExt;
use serde::{Deserialize, Serialize};

use crate::cluster::TestCluster;
use crate::load::fleet::{FleetOptions, open_fleet};
use crate::load::refusals::production_timing;
use crate::load::{Scenario, built_in};
use crate::proxy::ServerTraffic;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), a fixed part of the interface of Linux.
const TICKS_PER_S: f64 = 100.0;
/// Time from the minimum of replicas being loaded until the fleet counts as idle. Leases with a term of 30 s are
/// renewed within it.
const SETTLE: Duration = Duration::from_secs(15);

/// Options of [`measure_idle_usage`].
#[derive(Clone, Debug)]
pub struct UsageOptions {
    /// Path of the daemon's binary.
    pub program: PathBuf,
    /// Numbers of daemons to measure.
    pub daemons: Vec<usize>,
    /// Duration of the measurement of each fleet.
    pub length: Duration,
}

/// Resource usage of one daemon at one fleet size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsageRow {
    pub daemons: usize,
    pub engines: usize,
    pub seconds: f64,
    /// CPU time as a fraction of one core: mean and maximum over the daemons.
    pub cpu_mean: f64,
    pub cpu_max: f64,
    /// Resident memory in megabytes: mean and maximum over the daemons.
    pub memory_mean_mb: f64,
    pub memory_max_mb: f64,
    /// Bytes per second per daemon.
    pub log_bytes_per_s: f64,
    pub vm_list_bytes_per_s: f64,
    pub peer_bytes_per_s: f64,
    pub backend_bytes_per_s: f64,
    /// New connections per second per daemon, to all servers.
    pub connections_per_s: f64,
}

impl UsageRow {
    fn control_bytes_per_s(&self) -> f64 {
        self.log_bytes_per_s + self.vm_list_bytes_per_s + self.peer_bytes_per_s
    }
}

/// Resource usage by fleet size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsageReport {
    pub scenario: String,
    pub rows: Vec<UsageRow>,
}

/// Starts an idle fleet of each size with the declaration of Navette and measures it.
pub async fn measure_idle_usage(options: &UsageOptions) -> eyre::Result<UsageReport> {
    let scenario = built_in("navette").ok_or_eyre("the scenario is missing")?;
    let mut rows = Vec::new();
    for daemons in &options.daemons {
        rows.push(measure_fleet(&scenario, options, *daemons).await?);
    }
    Ok(UsageReport {
        scenario: scenario.name.to_string(),
        rows,
    })
}

async fn measure_fleet(
    scenario: &Scenario,
    options: &UsageOptions,
    daemons: usize,
) -> eyre::Result<UsageRow> {
    let fleet = FleetOptions {
        program: options.program.clone(),
        daemons,
        time_scale: 0.01,
        proxied: true,
        settings: production_timing(),
        min_replicas_timeout: Duration::from_secs(120),
    };
    let cluster = open_fleet(scenario, &fleet).await?;
    tokio::time::sleep(SETTLE).await;
    let before = Sample::take(&cluster)?;
    tokio::time::sleep(options.length).await;
    let after = Sample::take(&cluster)?;
    let row = after.since(&before, &cluster);
    cluster.shutdown().await?;
    Ok(row)
}

/// Snapshot of the counters of all daemons.
struct Sample {
    at: Instant,
    cpu_s: Vec<f64>,
    memory_mb: Vec<f64>,
    traffic: HashMap<SocketAddr, ServerTraffic>,
}

impl Sample {
    fn take(cluster: &TestCluster) -> eyre::Result<Self> {
        let mut cpu_s = Vec::new();
        let mut memory_mb = Vec::new();
        for daemon in &cluster.daemons {
            let id = daemon.process_id().ok_or_eyre("a daemon is not running")?;
            cpu_s.push(cpu_time(id)?);
            memory_mb.push(resident_memory(id)?);
        }
        let proxy = cluster.proxy.as_ref().ok_or_eyre("links are not proxied")?;
        Ok(Self {
            at: Instant::now(),
            cpu_s,
            memory_mb,
            traffic: proxy.traffic(),
        })
    }

    fn since(&self, before: &Self, cluster: &TestCluster) -> UsageRow {
        let seconds = (self.at - before.at).as_secs_f64();
        let daemons = self.cpu_s.len();
        let per_daemon = seconds * daemons as f64;
        let bytes = |servers: &[SocketAddr]| {
            let traffic = servers
                .iter()
                .map(|server| self.bytes(server) - before.bytes(server));
            traffic.sum::<u64>() as f64 / per_daemon
        };
        let cpu = self.cpu_s.iter().zip(&before.cpu_s);
        let cpu: Vec<f64> = cpu.map(|(now, then)| (now - then) / seconds).collect();
        let engines = cluster.engines.iter().map(|engine| engine.address());
        let services = cluster.services.iter().map(|service| service.address());
        let backends: Vec<_> = engines.chain(services).collect();
        let peers = cluster.daemons.iter().map(|daemon| daemon.addresses().peer);
        let connections = self.connections() - before.connections();
        UsageRow {
            daemons,
            engines: cluster.engines.len(),
            seconds,
            cpu_mean: mean(&cpu),
            cpu_max: highest(&cpu),
            memory_mean_mb: mean(&self.memory_mb),
            memory_max_mb: highest(&self.memory_mb),
            log_bytes_per_s: bytes(&[cluster.log.address()]),
            vm_list_bytes_per_s: bytes(&[cluster.vms.address()]),
            peer_bytes_per_s: bytes(&peers.collect::<Vec<_>>()),
            backend_bytes_per_s: bytes(&backends),
            connections_per_s: connections as f64 / per_daemon,
        }
    }

    fn bytes(&self, server: &SocketAddr) -> u64 {
        let traffic = self.traffic.get(server).copied().unwrap_or_default();
        traffic.forward_bytes + traffic.backward_bytes
    }

    fn connections(&self) -> u64 {
        self.traffic
            .values()
            .map(|traffic| traffic.connections)
            .sum()
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn highest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Returns user and system time of a process, in seconds.
fn cpu_time(id: u32) -> eyre::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The program's name, in parentheses, may contain spaces. User and system time are fields 12 and 13 after it.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: f64 = fields
        .get(11)
        .ok_or_eyre("/proc/PID/stat has too few fields")?
        .parse()?;
    let system: f64 = fields
        .get(12)
        .ok_or_eyre("/proc/PID/stat has too few fields")?
        .parse()?;
    Ok((user + system) / TICKS_PER_S)
}

/// Returns the resident memory of a process, in megabytes.
fn resident_memory(id: u32) -> eyre::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: f64 = kib
        .ok_or_eyre("/proc/PID/status has no VmRSS line")?
        .parse()?;
    Ok(kib * 1_024.0 / 1e6)
}

impl fmt::Display for UsageReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| daemons | engines | CPU mean | CPU max | memory mean MB | max MB | log B/s | VM list B/s | peers B/s | control B/s | backends B/s | connections/s |"
        )?;
        writeln!(
            f,
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "| {} | {} | {:.2}% | {:.2}% | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} |",
                row.daemons,
                row.engines,
                row.cpu_mean * 100.0,
                row.cpu_max * 100.0,
                row.memory_mean_mb,
                row.memory_max_mb,
                row.log_bytes_per_s,
                row.vm_list_bytes_per_s,
                row.peer_bytes_per_s,
                row.control_bytes_per_s(),
                row.backend_bytes_per_s,
                row.connections_per_s
            )?;
        }
        Ok(())
    }
}
