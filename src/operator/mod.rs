//! gRPC server through which operators change and inspect the configuration of a fleet.

mod convert;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::error::{Error, Result};
use crate::ids::KeyDigest;
use crate::journal::JournalClient;
use crate::kernel::TaskGroup;
use crate::operator::service::CatalogOperator;
use crate::proto::operator_service_server::OperatorServiceServer;
use crate::replica::CatalogReplica;

pub use self::convert::{
    change_from_proto, change_to_proto, entity_from_proto, kind_from_proto, kind_to_proto,
    listed_to_proto, parse_command_id,
};
pub use self::service::{CURRENT_REVISION_KEY, grpc_status};

/// Longest request message, in bytes. A change is far smaller.
const MAX_MESSAGE_BYTES: usize = 256 * 1_024;

/// Maximum number of concurrent calls per connection.
const CALLS_PER_CONNECTION: usize = 32;

/// Interval of HTTP/2 keep-alive pings, which end the watches of operators that have disconnected.
const PING_PERIOD: Duration = Duration::from_secs(20);

/// Returns the members that the membership table holds.
pub type MemberLister = Arc<dyn Fn() -> Vec<crate::proto::Member> + Send + Sync>;

/// Functions that other modules provide to the server.
#[derive(Clone)]
pub struct OperatorHooks {
    pub members: MemberLister,
    /// Returns whether this daemon's view is current enough to accept keys.
    pub serves_keys: Arc<dyn Fn() -> bool + Send + Sync>,
}

/// Running gRPC server for operators.
#[derive(Debug)]
pub struct OperatorServer {
    address: SocketAddr,
    stop: CancellationToken,
}

impl OperatorServer {
    /// Listens on `address` and serves until `group` is cancelled or [`Self::stop`] is called.
    ///
    /// While no operator is declared, the key with the digest `bootstrap` is accepted.
    ///
    /// # Errors
    ///
    /// Fails with `Unavailable` if the address cannot be bound.
    pub async fn bind<J: JournalClient>(
        group: &TaskGroup,
        address: SocketAddr,
        replica: Arc<CatalogReplica<J>>,
        bootstrap: Option<KeyDigest>,
        members: MemberLister,
    ) -> Result<Self> {
        let hooks = OperatorHooks {
            members,
            serves_keys: Arc::new(|| true),
        };
        Self::bind_with_hooks(group, address, replica, bootstrap, hooks).await
    }

    /// Does the same as [`Self::bind`], with all hooks given by the caller.
    ///
    /// # Errors
    ///
    /// Fails with `Unavailable` if the address cannot be bound.
    pub async fn bind_with_hooks<J: JournalClient>(
        group: &TaskGroup,
        address: SocketAddr,
        replica: Arc<CatalogReplica<J>>,
        bootstrap: Option<KeyDigest>,
        hooks: OperatorHooks,
    ) -> Result<Self> {
        let cannot_bind = |cause| {
            Error::unavailable(format!(
                "cannot listen on operator address {address}: {cause}"
            ))
        };
        let listener = TcpListener::bind(address).await.map_err(cannot_bind)?;
        let address = listener.local_addr().map_err(cannot_bind)?;
        let stop = CancellationToken::new();
        let operator = CatalogOperator::new(group.clone(), replica, bootstrap, hooks, stop.clone());
        let service =
            OperatorServiceServer::new(operator).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let serving = Server::builder()
            .concurrency_limit_per_connection(CALLS_PER_CONNECTION)
            .http2_keepalive_interval(Some(PING_PERIOD))
            .add_service(service)
            .serve_with_incoming_shutdown(
                TcpIncoming::from(listener).with_nodelay(Some(true)),
                stop.clone().cancelled_owned(),
            );
        let (parent, server_stop) = (group.clone(), stop.clone());
        group.spawn(async move {
            parent.cancelled().await;
            server_stop.cancel();
        });
        group.spawn(async move {
            if let Err(cause) = serving.await {
                log::error!("operator server failed: {cause}");
            }
        });
        Ok(Self { address, stop })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting calls, ends watches and lets other calls finish.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}
