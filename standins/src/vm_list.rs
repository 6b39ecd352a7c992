//! Stand-in of the platform's VM list. Changes become visible after a configurable lag.
//!
//! `GET /vms` returns the list. Control: `POST /control/vms` with a [`ListedVm`], `DELETE /control/vms/{name}`,
//! `POST /control/vms/{name}/leaving`, `POST /control/list` with a [`VmListControl`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use foxtailhill::inventory::{ListedVm, VmState};
use foxtailhill::kernel::TaskGroup;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::serve::{RunningServer, lock, refusal};

/// Options of a [`VmListStandin`].
#[derive(Clone, Debug)]
pub struct VmListOptions {
    pub bind: SocketAddr,
    /// Initial entries.
    pub entries: Vec<ListedVm>,
    pub control: VmListControl,
}

impl Default for VmListOptions {
    fn default() -> Self {
        Self {
            bind: crate::any_port(),
            entries: Vec::new(),
            control: VmListControl::default(),
        }
    }
}

/// Behaviour of a VM list, which can be changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListControl {
    /// Time until a change becomes visible, in milliseconds.
    pub lag_ms: u64,
    /// Whether calls are refused.
    pub down: bool,
}

#[derive(Clone)]
enum ListChange {
    Put(ListedVm),
    Remove(SmolStr),
    MarkLeaving(SmolStr),
}

#[derive(Default)]
struct ListState {
    control: Mutex<VmListControl>,
    /// Entries after all changes that are no longer in `pending`.
    shown: Mutex<BTreeMap<SmolStr, ListedVm>>,
    pending: Mutex<Vec<(Instant, ListChange)>>,
}

impl ListState {
    fn change(&self, change: ListChange) {
        lock(&self.pending).push((Instant::now(), change));
    }

    fn list(&self) -> Vec<ListedVm> {
        let lag = Duration::from_millis(lock(&self.control).lag_ms);
        let now = Instant::now();
        let mut shown = lock(&self.shown);
        lock(&self.pending).retain(|(at, change)| {
            let due = now.duration_since(*at) >= lag;
            if due {
                apply(&mut shown, change);
            }
            !due
        });
        shown.values().cloned().collect()
    }
}

fn apply(shown: &mut BTreeMap<SmolStr, ListedVm>, change: &ListChange) {
    match change {
        ListChange::Put(vm) => {
            shown.insert(vm.name.clone(), vm.clone());
        }
        ListChange::Remove(name) => {
            shown.remove(name);
        }
        ListChange::MarkLeaving(name) => {
            if let Some(vm) = shown.get_mut(name) {
                vm.state = VmState::Leaving;
            }
        }
    }
}

/// A running VM list.
pub struct VmListStandin {
    server: RunningServer,
    state: Arc<ListState>,
}

impl VmListStandin {
    /// Binds the address and starts to serve.
    pub async fn open(options: VmListOptions) -> std::io::Result<Self> {
        let entries = options.entries.into_iter().map(|vm| (vm.name.clone(), vm));
        let state = Arc::new(ListState {
            control: Mutex::new(options.control),
            shown: Mutex::new(entries.collect()),
            pending: Mutex::default(),
        });
        let router = Router::new()
            .route("/vms", get(list))
            .route("/control/vms", post(put))
            .route("/control/vms/{name}", delete(remove))
            .route("/control/vms/{name}/leaving", post(mark_leaving))
            .route("/control/list", post(set_control))
            .with_state(state.clone());
        let server = RunningServer::open(options.bind, router, TaskGroup::new()).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds or replaces an entry.
    pub fn put(&self, vm: ListedVm) {
        self.state.change(ListChange::Put(vm));
    }

    /// Removes an entry.
    pub fn remove(&self, name: &str) {
        self.state.change(ListChange::Remove(name.into()));
    }

    /// Marks an entry as leaving.
    pub fn mark_leaving(&self, name: &str) {
        self.state.change(ListChange::MarkLeaving(name.into()));
    }

    /// Replaces the lag and the outage flag. Changes that are due under the new lag become visible at once.
    pub fn set_control(&self, control: VmListControl) {
        *lock(&self.state.control) = control;
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}

async fn list(State(state): State<Arc<ListState>>) -> Response {
    if lock(&state.control).down {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return refusal(status, "VM list is out of service", true);
    }
    Json(state.list()).into_response()
}

async fn put(State(state): State<Arc<ListState>>, Json(vm): Json<ListedVm>) {
    state.change(ListChange::Put(vm));
}

async fn remove(State(state): State<Arc<ListState>>, Path(name): Path<SmolStr>) {
    state.change(ListChange::Remove(name));
}

async fn mark_leaving(State(state): State<Arc<ListState>>, Path(name): Path<SmolStr>) {
    state.change(ListChange::MarkLeaving(name));
}

async fn set_control(State(state): State<Arc<ListState>>, Json(control): Json<VmListControl>) {
    *lock(&state.control) = control;
}
