//! gRPC server through which operators change and inspect the configuration of a fleet.

mod convert;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::Response;
use tokio_util::sync::CancellationToken;
use tonic::metadata::MetadataMap;
use tonic::service::Routes;

use crate::error::Result;
use crate::http::connection::{HttpListener, ListenerSettings};
use crate::ids::KeyDigest;
use crate::journal::JournalClient;
use crate::kernel::TaskGroup;
use crate::metrics::DaemonMetrics;
use crate::operator::service::{CatalogOperator, MAX_SUBMIT_WAIT};
use crate::proto::operator_service_server::OperatorServiceServer;
use crate::replica::CatalogReplica;
use crate::settings::LimitSettings;

pub use self::convert::{
    change_from_proto, change_to_proto, entity_from_proto, kind_from_proto, kind_to_proto,
    listed_to_proto, parse_command_id,
};
pub use self::service::{CURRENT_REVISION_KEY, grpc_status};

/// Longest request message, in bytes. A change is far smaller.
const MAX_MESSAGE_BYTES: usize = 256 * 1_024;

/// Maximum number of concurrent calls per connection.
const CALLS_PER_CONNECTION: u32 = 32;

/// Longest wait for open calls at shutdown. A change may take [`MAX_SUBMIT_WAIT`] to be read back.
const CLOSE_TIMEOUT: Duration = MAX_SUBMIT_WAIT;

/// Longest interval of HTTP/2 keep-alive pings, which end the watches of operators that have disconnected.
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

/// Limits of the server, and the metrics that show what they refuse.
#[derive(Clone)]
pub struct OperatorSettings {
    pub limits: LimitSettings,
    pub metrics: Arc<DaemonMetrics>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            limits: LimitSettings::default(),
            metrics: Arc::new(DaemonMetrics::new()),
        }
    }
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
        let settings = OperatorSettings::default();
        Self::bind_with_settings(group, address, replica, bootstrap, hooks, settings).await
    }

    /// Does the same as [`Self::bind_with_hooks`] within `settings`.
    ///
    /// # Errors
    ///
    /// Fails with `Unavailable` if the address cannot be bound.
    pub async fn bind_with_settings<J: JournalClient>(
        group: &TaskGroup,
        address: SocketAddr,
        replica: Arc<CatalogReplica<J>>,
        bootstrap: Option<KeyDigest>,
        hooks: OperatorHooks,
        settings: OperatorSettings,
    ) -> Result<Self> {
        let stop = CancellationToken::new();
        let operator = CatalogOperator::new(group.clone(), replica, bootstrap, hooks, stop.clone());
        let operator = Arc::new(operator);
        let service = OperatorServiceServer::from_arc(operator.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
        // The key is checked before a message is read: a caller without one must not make the daemon hold any.
        let check = from_fn_with_state(operator, check_key::<J>);
        let router = Routes::new(service).into_axum_router().layer(check);
        let limits = LimitSettings {
            idle_time: PING_PERIOD.min(settings.limits.idle_time),
            ..settings.limits
        };
        let listener = ListenerSettings::new(&limits, &settings.metrics)
            .with_max_streams(CALLS_PER_CONNECTION);
        let connections = group.sibling();
        let listener = HttpListener::bind(&connections, address, listener, router).await?;
        let address = listener.address();
        let (parent, server_stop) = (group.clone(), stop.clone());
        group.spawn(async move {
            tokio::select! {
                () = parent.cancelled() => server_stop.cancel(),
                () = server_stop.cancelled() => {}
            }
            if tokio::time::timeout(CLOSE_TIMEOUT, listener.drain())
                .await
                .is_err()
            {
                log::warn!("calls of operators were still open after {CLOSE_TIMEOUT:?}");
            }
            connections.shutdown().await;
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

/// Answers a call without a valid key before its message is read.
async fn check_key<J: JournalClient>(
    State(operator): State<Arc<CatalogOperator<J>>>,
    request: Request,
    next: Next,
) -> Response {
    let metadata = MetadataMap::from_headers(request.headers().clone());
    match operator.authenticate(&metadata) {
        Ok(_) => next.run(request).await,
        Err(status) => status.into_http(),
    }
}
