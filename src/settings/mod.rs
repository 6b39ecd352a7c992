//! Settings of a daemon: JSON with comments, validated during parsing.
//!
//! Every error names the file, the line and the column. Durations and sizes need a unit, unknown fields are errors, and
//! numbers must be within their range.
//!
//! ```
//! use foxtailhill::settings::DaemonSettings;
//!
//! let text = r#"{ "vm": "entry-1", "zone": "north" /* the rest is missing */ }"#;
//! let error = DaemonSettings::parse("example.jsonc", text).unwrap_err();
//! assert!(error.message().starts_with("example.jsonc:1:"));
//! ```

mod parse;
mod plan;
mod relay;

use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use json_comments::{CommentSettings, StripComments};
use log::LevelFilter;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

pub use self::plan::{MemoryPlan, peer_connections};
pub use self::relay::{
    RelayListen, RelaySettings, RelayTiming, RetrySettings, StoreSettings, VmCapacity,
};
use crate::error::{Error, Result};
use crate::eviction::BodyRate;
use crate::ids::KeyDigest;
use crate::memory::{DEFAULT_CAPACITY, MemoryAccount};
use crate::settings::plan::reserved_descriptors;

/// Connections of the balancer, and of operators, which have own listeners.
const SIDE_CONNECTIONS: usize = 64;

/// All settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this VM, unique in the fleet.
    #[serde(deserialize_with = "parse::name")]
    pub vm: SmolStr,
    /// Availability zone of this VM.
    #[serde(deserialize_with = "parse::name")]
    pub zone: SmolStr,
    pub listen: ListenSettings,
    pub platform: PlatformSettings,
    /// SHA-256 digest of the first operator's key, as 64 hexadecimal digits.
    #[serde(default, deserialize_with = "parse::digest")]
    pub bootstrap_operator: Option<KeyDigest>,
    #[serde(default)]
    pub log: LogSettings,
    #[serde(default)]
    pub capacity: VmCapacity,
    #[serde(default)]
    pub limits: LimitSettings,
    #[serde(default)]
    pub timing: TimingSettings,
}

/// Addresses that the daemon binds, all different. Port 0 lets the operating system choose a port.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "ListenAddresses")]
pub struct ListenSettings {
    /// HTTP for callers.
    pub caller: SocketAddr,
    /// gRPC for operators.
    pub operator: SocketAddr,
    /// Calls from other daemons.
    pub peer: SocketAddr,
    /// Address at which other daemons reach `peer`, as the VM list shows it; default `peer`.
    pub peer_advertised: Option<SocketAddr>,
    /// Health, metrics and state dump.
    pub admin: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenAddresses {
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
    #[serde(default)]
    peer_advertised: Option<SocketAddr>,
    admin: SocketAddr,
}

impl TryFrom<ListenAddresses> for ListenSettings {
    type Error = String;

    fn try_from(addresses: ListenAddresses) -> std::result::Result<Self, String> {
        let ListenAddresses {
            caller,
            operator,
            peer,
            peer_advertised,
            admin,
        } = addresses;
        let mut all = [caller, operator, peer, admin];
        all.sort_unstable();
        let same = |pair: &&[SocketAddr]| pair[0] == pair[1] && pair[0].port() != 0;
        if let Some(pair) = all.windows(2).find(same) {
            return Err(format!("address `{}` is listed twice", pair[0]));
        }
        Ok(Self {
            caller,
            operator,
            peer,
            peer_advertised,
            admin,
        })
    }
}

/// Addresses and properties of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    #[serde(deserialize_with = "parse::remote")]
    pub log: SocketAddr,
    #[serde(deserialize_with = "parse::remote")]
    pub weights: SocketAddr,
    #[serde(deserialize_with = "parse::remote")]
    pub vms: SocketAddr,
    /// Maximum lag of the VM list; default 10 s, 0 s to 10 min.
    #[serde(default = "default_list_lag", deserialize_with = "parse::wait")]
    pub list_lag: Duration,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a terminal.
    Text,
}

/// What the daemon logs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Default `info`.
    #[serde(deserialize_with = "parse::level")]
    pub level: LevelFilter,
    /// Levels by module path, such as `foxtailhill::watch`; a path covers the modules below it.
    #[serde(deserialize_with = "parse::levels")]
    pub modules: BTreeMap<String, LevelFilter>,
    /// Default `json`.
    pub format: LogFormat,
}

/// Limits on connections, requests and time of callers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Open connections of callers; default 8,192, 1 to 100,000. Lowered to what the VM's memory and files allow; further
    /// callers make others give way (see [`crate::eviction`]).
    #[serde(deserialize_with = "parse::count")]
    pub connections: usize,
    /// Admitted requests of the process, including waiting ones; default 4,096, 1 to 100,000.
    #[serde(deserialize_with = "parse::count")]
    pub in_flight: usize,
    /// Size of a request body; default 1 MiB, 1 KiB to 64 MiB.
    #[serde(deserialize_with = "parse::body_size")]
    pub body_bytes: usize,
    /// Size of request line and headers; default 16 KiB, 8 KiB to 1 MiB. The lower bound is that of the HTTP library.
    #[serde(deserialize_with = "parse::header_size")]
    pub header_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its headers; default 5 s, 10 ms to 10 min.
    #[serde(deserialize_with = "parse::positive_wait")]
    pub header_time: Duration,
    /// Maximum time from the end of the headers to the end of the body; default 20 s, 10 ms to 10 min. Bodies that arrive more
    /// slowly than the longest one in this time give way when there is no room.
    #[serde(deserialize_with = "parse::positive_wait")]
    pub body_time: Duration,
    /// Maximum time without a byte of the body; default 5 s, 10 ms to 10 min. Callers that stall return their memory then.
    #[serde(deserialize_with = "parse::positive_wait")]
    pub body_pause: Duration,
    /// Memory for request bodies and answers of the process, 1 MiB to 64 GiB; default a quarter of `capacity.memory_mb`, or
    /// 64 MiB where that is not stated.
    #[serde(deserialize_with = "parse::memory_size")]
    pub held_bytes: Option<usize>,
    /// Maximum idle time of a connection without a request; default 60 s, 10 ms to 10 min.
    #[serde(deserialize_with = "parse::positive_wait")]
    pub idle_time: Duration,
    /// Maximum time for which a caller may read nothing of a pending answer; default 10 s, 10 ms to 10 min.
    #[serde(deserialize_with = "parse::positive_wait")]
    pub write_time: Duration,
    /// Maximum number of requests that wait for a backend server; default 2,048, 1 to 100,000.
    #[serde(deserialize_with = "parse::count")]
    pub queue: usize,
}

/// Periods, terms and waits.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Time for which a renewal of the membership lets this daemon create tokens; default 30 s, 1 s to 7 days.
    #[serde(deserialize_with = "parse::term")]
    pub term: Duration,
    /// Time after which the balancer has noticed that readiness fails; default 5 s, 0 s to 10 min.
    #[serde(deserialize_with = "parse::wait")]
    pub balancer_lag: Duration,
    /// Maximum wait for running requests at shutdown; default 5 min, 1 s to 7 days.
    #[serde(deserialize_with = "parse::term")]
    pub drain: Duration,
    /// Maximum wait for the claim of a non-repeatable request; default 2 s, 10 ms to 10 min.
    #[serde(deserialize_with = "parse::positive_wait")]
    pub claim_wait: Duration,
    /// Time for which idempotency keys are remembered, at most the log's retention; default 24 h, 1 s to 7 days.
    #[serde(deserialize_with = "parse::term")]
    pub claim_memory: Duration,
    /// Period of load reports from each backend server; default 500 ms, 10 ms to 10 min.
    #[serde(deserialize_with = "parse::positive_wait")]
    pub report_period: Duration,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            modules: BTreeMap::new(),
            format: LogFormat::Json,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 8_192,
            in_flight: 4_096,
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            header_time: Duration::from_secs(5),
            body_time: Duration::from_secs(20),
            body_pause: Duration::from_secs(5),
            held_bytes: None,
            idle_time: Duration::from_secs(60),
            write_time: Duration::from_secs(10),
            queue: 2_048,
        }
    }
}

impl LimitSettings {
    /// Returns the memory for request bodies and answers in bytes.
    pub fn held(&self) -> usize {
        self.held_bytes.unwrap_or(DEFAULT_CAPACITY)
    }

    /// Creates the account of that memory.
    pub fn account(&self) -> MemoryAccount {
        let lowest = BodyRate::new(self.body_bytes, self.body_time);
        MemoryAccount::with_lowest_rate(self.held(), lowest)
    }

    /// Returns the limits of a process that may open `descriptors` files and of a VM with `memory_mb` MB, where these are
    /// known.
    pub fn for_capacity(&self, memory_mb: Option<usize>, descriptors: Option<usize>) -> Self {
        let plan = MemoryPlan::new(memory_mb, self);
        let mut limits = self.clone();
        limits.held_bytes = Some(plan.held);
        limits.connections = limits.connections.min(plan.connections);
        if let Some(descriptors) = descriptors {
            let reserve = reserved_descriptors(descriptors);
            limits.connections = limits.connections.min(descriptors - reserve).max(1);
        }
        limits
    }

    /// Returns the limits of an address that few programs use, such as the balancer's or the operators'.
    pub fn for_side(&self) -> Self {
        Self {
            connections: self.connections.min(SIDE_CONNECTIONS),
            ..self.clone()
        }
    }
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(30),
            balancer_lag: Duration::from_secs(5),
            drain: Duration::from_secs(300),
            claim_wait: Duration::from_secs(2),
            claim_memory: Duration::from_secs(24 * 3600),
            report_period: Duration::from_millis(500),
        }
    }
}

fn default_list_lag() -> Duration {
    Duration::from_secs(10)
}

impl ListenSettings {
    /// Returns the address at which other daemons reach this one.
    pub fn advertised_peer(&self) -> SocketAddr {
        self.peer_advertised.unwrap_or(self.peer)
    }
}

impl DaemonSettings {
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

/// Reads a settings file as text.
fn read_text(path: &Path) -> Result<String> {
    let name = path.display();
    let bytes = std::fs::read(path).map_err(|error| Error::invalid(format!("{name}: {error}")))?;
    String::from_utf8(bytes).map_err(|error| {
        let valid = error.utf8_error().valid_up_to();
        let (line, column) = position(&error.as_bytes()[..valid]);
        Error::invalid(format!("{name}:{line}:{column}: text is not valid UTF-8"))
    })
}

/// Parses JSON with comments; errors name the file as `name`.
fn parse_text<T: DeserializeOwned>(name: &str, text: &str) -> Result<T> {
    let mut plain = Vec::with_capacity(text.len());
    // Comments are replaced by spaces, which keeps positions equal to those in the file.
    StripComments::with_settings(CommentSettings::c_style(), text.as_bytes())
        .read_to_end(&mut plain)
        .map_err(|_| {
            let (line, column) = position(text.as_bytes());
            Error::invalid(format!("{name}:{line}:{column}: comment is not closed"))
        })?;
    // The library also replaces line ends in block comments, so these are restored.
    for (byte, original) in plain.iter_mut().zip(text.bytes()) {
        if original == b'\n' {
            *byte = original;
        }
    }
    serde_json::from_slice(&plain).map_err(|error| located(name, &error))
}

/// Returns line and column, counted from 1, of the byte that follows `before`.
fn position(before: &[u8]) -> (usize, usize) {
    let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
    let column = before
        .iter()
        .rev()
        .take_while(|byte| **byte != b'\n')
        .count()
        + 1;
    (line, column)
}

fn located(name: &str, error: &serde_json::Error) -> Error {
    let (line, column) = (error.line(), error.column());
    let text = error.to_string();
    let suffix = format!(" at line {line} column {column}");
    let message = text.strip_suffix(&suffix).unwrap_or(&text);
    Error::invalid(format!("{name}:{line}:{column}: {message}"))
}
