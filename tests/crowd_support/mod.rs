//! Daemon processes of both editions, with the readings of their memory, descriptors and log, and crowds of clients that send
//! to them for as long as a test needs.

#![allow(dead_code, reason = "each test uses a part")]

pub mod daemon;
pub mod http2;
pub mod sending;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eyre::ensure;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

pub use self::daemon::{CrowdDaemon, Edition};

/// Time limit of every wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause of a client between two connections. It keeps a refused crowd from using all processor time of the test.
const RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a crowd stays after all its clients have sent.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Clients that each send on a connection, stay as long as the daemon lets them, and connect again until the crowd leaves.
pub struct ClientCrowd {
    count: usize,
    clients: JoinSet<()>,
    started: Arc<AtomicUsize>,
    leave: CancellationToken,
}

impl ClientCrowd {
    /// Starts `count` clients. `client` sends on one connection to the address and returns when the daemon has closed it.
    pub fn spawn<F>(
        address: SocketAddr,
        count: usize,
        client: impl Fn(SocketAddr, usize, Arc<AtomicUsize>) -> F + Send + Sync + Clone + 'static,
    ) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (started, leave) = (Arc::<AtomicUsize>::default(), CancellationToken::new());
        let mut clients = JoinSet::new();
        for number in 0..count {
            let (client, started) = (client.clone(), started.clone());
            let left = leave.clone();
            clients.spawn(async move {
                let connect_again = async {
                    loop {
                        client(address, number, started.clone()).await;
                        tokio::time::sleep(RECONNECT_PAUSE).await;
                    }
                };
                left.run_until_cancelled(connect_again).await;
            });
        }
        Self {
            count,
            clients,
            started,
            leave,
        }
    }

    /// Waits until as many connections as there are clients have sent their first bytes, or as the daemon accepts, and a
    /// while longer.
    pub async fn settle(&self, daemon: &mut CrowdDaemon) -> eyre::Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while self.started.load(Ordering::Relaxed) < self.count && Instant::now() < end {
            daemon.ensure_alive()?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        ensure!(
            self.started.load(Ordering::Relaxed) > 0,
            "no client was accepted"
        );
        tokio::time::sleep(HOLD_TIME).await;
        daemon.ensure_alive()
    }

    /// Closes all connections of the crowd.
    pub async fn leave(mut self) {
        self.leave.cancel();
        while self.clients.join_next().await.is_some() {}
    }
}
