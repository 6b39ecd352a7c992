//! Settings of a daemon on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::error::Result;
use crate::routing::ColdBound;
use crate::settings::{LimitSettings, LogSettings, parse, parse_text, read_text};

/// All settings of one daemon that reads its configuration and backend servers from the platform's store.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of this VM, unique in the fleet.
    #[serde(deserialize_with = "parse::name")]
    pub vm: SmolStr,
    /// Availability zone of this VM.
    #[serde(deserialize_with = "parse::name")]
    pub zone: SmolStr,
    pub listen: RelayListen,
    pub store: StoreSettings,
    /// Whether the whole system starts for the first time, so that no caller has a stream of earlier daemons; default false.
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub capacity: VmCapacity,
    #[serde(default)]
    pub retries: RetrySettings,
    #[serde(default)]
    pub cold: ColdSettings,
    #[serde(default)]
    pub log: LogSettings,
    #[serde(default)]
    pub limits: LimitSettings,
    #[serde(default)]
    pub timing: RelayTiming,
}

/// Resources of this VM. Larger VMs are preferred for work that one daemon does for a zone or the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VmCapacity {
    /// Cores, also a fraction of one; default 1, above 0 and up to 1,000,000.
    #[serde(deserialize_with = "parse::amount")]
    pub cores: f64,
    /// Bandwidth of the VM's link in Mbit/s; default 1000, above 0 and up to 1,000,000.
    #[serde(deserialize_with = "parse::amount")]
    pub link_mbps: f64,
    /// Memory of the VM in MB, 1 to 10,000,000. Unless `limits.held_bytes` is set, callers may use a quarter of it.
    #[serde(deserialize_with = "parse::capacity")]
    pub memory_mb: Option<usize>,
    /// Files that the process may open, 1 to 10,000,000; the process's own limit counts if this is not set.
    #[serde(deserialize_with = "parse::capacity")]
    pub descriptors: Option<usize>,
}

impl Default for VmCapacity {
    fn default() -> Self {
        Self {
            cores: 1.0,
            link_mbps: 1_000.0,
            memory_mb: None,
            descriptors: None,
        }
    }
}

/// Bandwidth in Mbit/s that is equivalent to one core for a daemon that serves copies to others.
const MBPS_PER_CORE: f64 = 400.0;

impl VmCapacity {
    /// Returns the capacity of the VM in thousandths of a core, limited by the scarcer of cores and bandwidth.
    pub fn weight(&self) -> u32 {
        let cores = self.cores.min(self.link_mbps / MBPS_PER_CORE);
        (cores * 1_000.0) as u32
    }

    /// Returns how many files the process may open, given the limit that the system shows. A platform that gives sockets
    /// descriptors of their own shows a limit on files alone, so the stated number goes first.
    pub fn open_files(&self, shown: Option<usize>) -> Option<usize> {
        self.descriptors.or(shown)
    }
}

/// Addresses that the daemon binds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayListen {
    /// HTTP for callers.
    pub caller: SocketAddr,
    /// HTTP for the balancer's readiness check.
    pub ready: SocketAddr,
    /// Calls from other daemons.
    pub peer: SocketAddr,
    /// Datagrams from other daemons, over UDP.
    pub pulse: SocketAddr,
    /// Health, metrics and state dump.
    pub admin: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    #[serde(deserialize_with = "parse::remote")]
    pub address: SocketAddr,
}

/// Limits on retries that all daemons together send to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Retries per 100 requests; default 20.
    pub percent: u32,
    /// Additional retries in any of the platform's time windows, over all daemons; default 50.
    pub extra: u32,
}

/// Bound on the requests in a second that one cold server gets from all daemons, in addition to the rate that its service
/// states.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdSettings {
    /// Factor on the rate; default 1, above 0 and up to 1,000,000.
    #[serde(deserialize_with = "parse::amount")]
    pub over: f64,
    /// Requests beyond the rate times that factor; default 0.
    pub slack: u32,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0,
        }
    }
}

impl ColdSettings {
    /// Returns the bound as a function of the rate.
    pub fn bound(self) -> ColdBound {
        ColdBound {
            over: self.over,
            slack: f64::from(self.slack),
        }
    }
}

/// Periods, terms and waits.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelayTiming {
    /// Time for which a renewal lets this daemon use its share; default 30 s, 1 s to 7 days.
    #[serde(deserialize_with = "parse::term")]
    pub term: Duration,
    /// Time after which the balancer has noticed that this daemon is not ready; default 2500 ms, 0 s to 10 min.
    #[serde(deserialize_with = "parse::wait")]
    pub balancer_lag: Duration,
    /// Maximum wait for running requests at shutdown; default 5 s, 1 s to 7 days.
    #[serde(deserialize_with = "parse::term")]
    pub drain: Duration,
    /// Maximum time for which orders of the former planner may still reach an engine after another daemon took over;
    /// default 3 s, 10 ms to 10 min.
    #[serde(deserialize_with = "parse::positive_wait")]
    pub lease: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            percent: 20,
            extra: 50,
        }
    }
}

impl Default for RelayTiming {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(30),
            balancer_lag: Duration::from_millis(2_500),
            drain: Duration::from_secs(5),
            lease: Duration::from_secs(3),
        }
    }
}

impl RelaySettings {
    /// Returns whether `text` looks like settings of this type, which alone have a field `store`.
    pub fn recognizes(text: &str) -> bool {
        text.contains("\"store\"")
    }

    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// `Invalid` with the path if the file cannot be read, else with path, line and column.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        Self::parse(&name, &read_text(path)?)
    }

    /// Parses and validates the settings in `text`; errors name the file as `name`.
    ///
    /// # Errors
    ///
    /// `Invalid` with name, line and column.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        parse_text(name, text)
    }
}
