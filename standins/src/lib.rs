//! Small stand-ins for the platform and the engines, a fault-injecting proxy, a test cluster and a load driver.
//!
//! Every stand-in is a type with `open(options)`, which returns a running handle with `address()` and
//! `shutdown()`. The binary `foxtailhill-standin` runs each as a process of its own.

pub mod client;
pub mod engine;
pub mod record;
mod serve;
pub mod service;
pub mod stream_log;
pub mod tokens;
pub mod vm_list;
pub mod weight_store;

use std::net::{Ipv4Addr, SocketAddr};

pub use crate::engine::{EngineOptions, EngineStandin};
pub use crate::service::{ServiceOptions, ServiceStandin};
pub use crate::stream_log::{LogOptions, LogStandin};
pub use crate::tokens::AnswerScript;
pub use crate::vm_list::{VmListOptions, VmListStandin};
pub use crate::weight_store::{WeightStoreOptions, WeightStoreStandin};

/// Returns the loopback address with a port that the system chooses.
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
