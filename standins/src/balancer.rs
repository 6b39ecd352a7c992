//! Stand-in of the platform's balancer: distributes TCP connections over ready entry VMs by weighted round robin.
//!
//! A second address takes control calls: `POST /control/weights` with an array of numbers, one for each target,
//! and `GET /control/targets`, which returns the targets with their readiness and number of connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use foxtailhill::kernel::TaskGroup;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};

use crate::client::JsonClient;
use crate::serve::{RunningServer, lock};

/// An entry VM behind the balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerTarget {
    /// Address that callers' connections are forwarded to.
    pub caller: SocketAddr,
    /// Address of the readiness check; without one the target counts as ready.
    pub admin: Option<SocketAddr>,
    /// Share of connections relative to the other targets; 0 gives none.
    pub weight: u32,
}

/// Options of a [`BalancerStandin`].
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    pub bind: SocketAddr,
    pub control_bind: SocketAddr,
    pub targets: Vec<BalancerTarget>,
    /// Path of the readiness check; status 200 means ready.
    pub ready_path: String,
    /// Time between two checks. A change of readiness takes effect only at the next check.
    pub check_period: Duration,
}

impl Default for BalancerOptions {
    fn default() -> Self {
        Self {
            bind: crate::any_port(),
            control_bind: crate::any_port(),
            targets: Vec::new(),
            ready_path: "/readyz".to_owned(),
            check_period: Duration::from_millis(200),
        }
    }
}

/// State of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    pub target: BalancerTarget,
    pub ready: bool,
    /// Connections forwarded so far.
    pub connections: u64,
    /// Current weight in smooth weighted round robin.
    credit: i64,
}

struct BalancerState {
    targets: Mutex<Vec<TargetStatus>>,
    ready_path: String,
    check_period: Duration,
}

/// A running balancer.
pub struct BalancerStandin {
    address: SocketAddr,
    control: RunningServer,
    state: Arc<BalancerState>,
}

impl BalancerStandin {
    /// Binds both addresses and starts to forward connections.
    pub async fn open(options: BalancerOptions) -> std::io::Result<Self> {
        let targets = options.targets.into_iter().map(|target| TargetStatus {
            ready: target.admin.is_none(),
            target,
            connections: 0,
            credit: 0,
        });
        let state = Arc::new(BalancerState {
            targets: Mutex::new(targets.collect()),
            ready_path: options.ready_path,
            check_period: options.check_period,
        });
        let group = TaskGroup::new();
        let listener = TcpListener::bind(options.bind).await?;
        let address = listener.local_addr()?;
        group.spawn_cancellable(accept(listener, state.clone(), group.clone()));
        group.spawn_cancellable(check_readiness(state.clone()));
        let router = Router::new()
            .route("/control/weights", post(set_weights))
            .route("/control/targets", get(targets_status))
            .with_state(state.clone());
        let control = RunningServer::open(options.control_bind, router, group).await?;
        Ok(Self {
            address,
            control,
            state,
        })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for control calls.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Sets the weights, one for each target in order.
    pub fn set_weights(&self, weights: &[u32]) {
        self.state.set_weights(weights);
    }

    /// Returns the state of each target.
    pub fn targets(&self) -> Vec<TargetStatus> {
        lock(&self.state.targets).clone()
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.control.shutdown().await;
    }
}

impl BalancerState {
    fn set_weights(&self, weights: &[u32]) {
        let mut targets = lock(&self.targets);
        for (status, weight) in targets.iter_mut().zip(weights) {
            status.target.weight = *weight;
        }
    }

    /// Picks the next ready target by smooth weighted round robin.
    fn choose_target(&self) -> Option<SocketAddr> {
        let mut targets = lock(&self.targets);
        let mut total = 0;
        let ready = targets
            .iter_mut()
            .filter(|status| status.ready && status.target.weight > 0);
        for status in ready {
            status.credit += i64::from(status.target.weight);
            total += i64::from(status.target.weight);
        }
        let chosen = targets
            .iter_mut()
            .filter(|status| status.ready && status.target.weight > 0)
            .max_by_key(|status| status.credit)?;
        chosen.credit -= total;
        chosen.connections += 1;
        Some(chosen.target.caller)
    }
}

async fn accept(listener: TcpListener, state: Arc<BalancerState>, group: TaskGroup) {
    loop {
        if let Ok((caller, _)) = listener.accept().await {
            // Without a ready target the connection is closed.
            if let Some(target) = state.choose_target() {
                group.spawn_cancellable(forward_connection(caller, target));
            }
        }
    }
}

async fn forward_connection(mut caller: TcpStream, target: SocketAddr) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    // With Nagle's algorithm, small chunks would wait for the acknowledgement of the previous one.
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut caller, &mut server).await;
}

async fn check_readiness(state: Arc<BalancerState>) {
    let client = JsonClient::new(state.check_period.max(Duration::from_millis(500)));
    let mut ticks = tokio::time::interval(state.check_period);
    loop {
        ticks.tick().await;
        let admins: Vec<_> = {
            let targets = lock(&state.targets);
            targets.iter().map(|status| status.target.admin).collect()
        };
        let checks = admins
            .into_iter()
            .map(|admin| is_ready(&client, admin, &state));
        let ready = futures_util::future::join_all(checks).await;
        for (status, ready) in lock(&state.targets).iter_mut().zip(ready) {
            status.ready = ready;
        }
    }
}

async fn is_ready(client: &JsonClient, admin: Option<SocketAddr>, state: &BalancerState) -> bool {
    let Some(admin) = admin else {
        return true;
    };
    let answer = client
        .send(http::Method::GET, admin, &state.ready_path, "")
        .await;
    answer.is_ok_and(|(status, _)| status == http::StatusCode::OK)
}

async fn set_weights(State(state): State<Arc<BalancerState>>, Json(weights): Json<Vec<u32>>) {
    state.set_weights(&weights);
}

async fn targets_status(State(state): State<Arc<BalancerState>>) -> Json<Vec<TargetStatus>> {
    Json(lock(&state.targets).clone())
}
