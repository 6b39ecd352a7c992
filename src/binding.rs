//! Binding of a daemon's addresses.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, UdpSocket};

/// Longest time for which a daemon waits for one of its addresses. A port of the range from which the system takes the
/// ports of outgoing connections may be in use for as long as such a connection is open.
const BIND_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two attempts.
const BIND_PAUSE: Duration = Duration::from_millis(50);

/// Binds a TCP listener at `address`, and waits up to 30 s for an address that is in use or not assigned yet.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn bind_listener(address: SocketAddr) -> Result<TcpListener> {
    bind_patiently(address, async || TcpListener::bind(address).await).await
}

/// Binds a UDP socket at `address`, and waits up to 30 s for an address that is in use or not assigned yet.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn bind_socket(address: SocketAddr) -> Result<UdpSocket> {
    bind_patiently(address, async || UdpSocket::bind(address).await).await
}

async fn bind_patiently<T>(address: SocketAddr, bind: impl AsyncFn() -> Result<T>) -> Result<T> {
    let started = Instant::now();
    let mut logged = None;
    loop {
        let error = match bind().await {
            Ok(bound) => {
                if logged.is_some() {
                    log::info!("bound {address} after {:?}", started.elapsed());
                }
                return Ok(bound);
            }
            Err(error) => error,
        };
        let kind = error.kind();
        let passing = matches!(kind, ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable);
        if !passing || started.elapsed() >= BIND_TIMEOUT {
            return Err(error);
        }
        if logged != Some(kind) {
            log::warn!("cannot bind {address} yet, retrying for up to {BIND_TIMEOUT:?}: {error}");
            logged = Some(kind);
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}
