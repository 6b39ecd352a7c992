//! Stand-ins of the platform and of backend servers, a fault-injecting proxy, a test cluster and a load driver.
//!
//! Every stand-in is a type with `open(options)`, which returns a running handle with `address()` and
//! `shutdown()`. The binary `foxtailhill-standin` runs each as a process of its own.

pub mod balancer;
pub mod caller;
pub mod client;
pub mod cluster;
pub mod compare;
pub mod engine;
pub mod load;
pub mod local;
pub mod proxy;
pub mod record;
mod serve;
pub mod service;
pub mod stream_log;
pub mod tokens;
pub mod vm_list;
pub mod weight_store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};

pub use crate::balancer::{BalancerOptions, BalancerStandin, BalancerTarget};
pub use crate::engine::{EngineOptions, EngineStandin};
pub use crate::proxy::{FaultProxy, FaultSchedule, LinkFault, LinkOptions};
pub use crate::service::{ServiceOptions, ServiceStandin};
pub use crate::stream_log::{LogOptions, LogStandin};
pub use crate::tokens::AnswerScript;
pub use crate::vm_list::{VmListOptions, VmListStandin};
pub use crate::weight_store::{WeightStoreOptions, WeightStoreStandin};

/// Returns the loopback address with port 0, for which the system chooses a free port.
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Returns a loopback host that this process has not returned before.
///
/// No other socket takes the ports of a process on its own host, also while the process is gone: outgoing connections
/// and servers on [`any_port`] use 127.0.0.1.
pub fn unused_host() -> Ipv4Addr {
    // Processes begin at different hosts.
    static NEXT: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(rand::random()));
    let [_, second, third, fourth] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, 0x80 | (second & 0x3f), third, fourth)
}

/// Reserves a port without listening on it: connections are refused, and the system gives the port to no other process.
///
/// A listener that allows the reuse of addresses, as tokio's does, can be opened on the port meanwhile.
pub fn reserve_port(address: SocketAddr) -> std::io::Result<tokio::net::TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
