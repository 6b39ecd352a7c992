//! Stand-in of the rate-limited weight store.
//!
//! `GET /load` returns a [`StoreLoad`]. Engines call `GET /weights/{model}/{version}?bytes=&adapter=`, which is
//! answered when the load is complete; no weights are sent. Weight loads start at a limited rate. While more loads are
//! in flight than run at full speed, each slows down in proportion. Closing the connection ends a load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use foxtailhill::inventory::StoreLoad;
use foxtailhill::kernel::TaskGroup;
use http::StatusCode;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::serve::{RunningServer, lock, refusal};

/// Parts of a load; the slowdown is recomputed at the start of each.
const LOAD_STEPS: u32 = 10;

/// Options of a [`WeightStoreStandin`]. Times are multiplied by `time_scale`, the rate is divided by it.
#[derive(Clone, Debug)]
pub struct WeightStoreOptions {
    pub bind: SocketAddr,
    /// Weight loads that may start per second.
    pub loads_per_s: f64,
    /// Maximum number of weight loads in flight that run at full speed.
    pub full_speed_loads: u32,
    /// Bytes per second of one load at full speed.
    pub bytes_per_s: f64,
    /// Maximum number of adapter loads in flight that run at full speed.
    pub full_speed_adapters: u32,
    /// Minimum and maximum duration of one adapter load at full speed.
    pub adapter_time: (Duration, Duration),
    /// Values below 1 run faster than real time.
    pub time_scale: f64,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        Self {
            bind: crate::any_port(),
            loads_per_s: 1.5,
            full_speed_loads: 7,
            bytes_per_s: 4e9,
            full_speed_adapters: 55,
            adapter_time: (Duration::from_millis(5), Duration::from_millis(10)),
            time_scale: 1.0,
        }
    }
}

/// Counters of a weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    pub loads_started: u64,
    pub loads_done: u64,
    pub loads_peak: u32,
    pub adapters_started: u64,
    pub adapters_done: u64,
    pub adapters_peak: u32,
}

/// Faults of a weight store, which can be changed while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreControl {
    pub down: bool,
    /// Factor on the duration of each load.
    pub slowness: f64,
}

impl Default for StoreControl {
    fn default() -> Self {
        Self {
            down: false,
            slowness: 1.0,
        }
    }
}

struct StoreUsage {
    counters: StoreCounters,
    loads_in_flight: u32,
    adapters_in_flight: u32,
    /// Earliest start of the next weight load under the rate limit.
    next_start: Instant,
}

struct StoreState {
    options: WeightStoreOptions,
    usage: Mutex<StoreUsage>,
    control: Mutex<StoreControl>,
}

/// A running weight store.
pub struct WeightStoreStandin {
    server: RunningServer,
    state: Arc<StoreState>,
}

impl WeightStoreStandin {
    /// Binds the address and starts to serve.
    pub async fn open(options: WeightStoreOptions) -> std::io::Result<Self> {
        let bind = options.bind;
        let state = Arc::new(StoreState {
            options,
            usage: Mutex::new(StoreUsage {
                counters: StoreCounters::default(),
                loads_in_flight: 0,
                adapters_in_flight: 0,
                next_start: Instant::now(),
            }),
            control: Mutex::default(),
        });
        let router = Router::new()
            .route("/load", get(load))
            .route("/weights/{model}/{version}", get(fetch))
            .route("/control", post(set_control))
            .route("/control/counters", get(counters))
            .with_state(state.clone());
        let server = RunningServer::open(bind, router, TaskGroup::new()).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the load counters.
    pub fn counters(&self) -> StoreCounters {
        lock(&self.state.usage).counters
    }

    /// Replaces the faults.
    pub fn set_control(&self, control: StoreControl) {
        *lock(&self.state.control) = control;
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}

/// Counts a load in flight until it is dropped, also when the engine disconnects.
struct LoadPermit {
    state: Arc<StoreState>,
    adapter: bool,
}

impl LoadPermit {
    fn open(state: &Arc<StoreState>, adapter: bool) -> Self {
        let mut usage = lock(&state.usage);
        if adapter {
            usage.adapters_in_flight += 1;
            usage.counters.adapters_started += 1;
            usage.counters.adapters_peak =
                usage.counters.adapters_peak.max(usage.adapters_in_flight);
        } else {
            usage.loads_in_flight += 1;
            usage.counters.loads_started += 1;
            usage.counters.loads_peak = usage.counters.loads_peak.max(usage.loads_in_flight);
        }
        drop(usage);
        Self {
            state: state.clone(),
            adapter,
        }
    }

    /// Returns the factor by which the loads now in flight and the `slowness` fault lengthen each load.
    fn slowdown(&self) -> f64 {
        let usage = lock(&self.state.usage);
        let options = &self.state.options;
        let (count, full_speed) = if self.adapter {
            (usage.adapters_in_flight, options.full_speed_adapters)
        } else {
            (usage.loads_in_flight, options.full_speed_loads)
        };
        let load_ratio = f64::from(count) / f64::from(full_speed.max(1));
        load_ratio.max(1.0) * lock(&self.state.control).slowness
    }

    async fn run(&self, full_speed: Duration) {
        let step = full_speed.mul_f64(self.state.options.time_scale) / LOAD_STEPS;
        for _ in 0..LOAD_STEPS {
            tokio::time::sleep(step.mul_f64(self.slowdown())).await;
        }
        let mut usage = lock(&self.state.usage);
        if self.adapter {
            usage.counters.adapters_done += 1;
        } else {
            usage.counters.loads_done += 1;
        }
    }
}

impl Drop for LoadPermit {
    fn drop(&mut self) {
        let mut usage = lock(&self.state.usage);
        if self.adapter {
            usage.adapters_in_flight -= 1;
        } else {
            usage.loads_in_flight -= 1;
        }
    }
}

impl StoreState {
    /// Reserves a start time under the rate limit.
    fn reserve_start(&self) -> Instant {
        let mut usage = lock(&self.usage);
        let start = usage.next_start.max(Instant::now());
        let gap = self.options.time_scale / self.options.loads_per_s;
        usage.next_start = start + Duration::from_secs_f64(gap);
        start
    }
}

#[derive(Deserialize)]
struct FetchQuery {
    #[serde(default)]
    bytes: u64,
    adapter: Option<String>,
}

async fn load(State(state): State<Arc<StoreState>>) -> Response {
    if lock(&state.control).down {
        return unavailable();
    }
    let usage = lock(&state.usage);
    let free = f64::from(state.options.full_speed_loads) - f64::from(usage.loads_in_flight);
    Json(StoreLoad {
        in_flight: usage.loads_in_flight,
        available: free.max(0.0),
    })
    .into_response()
}

async fn fetch(
    State(state): State<Arc<StoreState>>,
    Path((_model, _version)): Path<(String, String)>,
    Query(query): Query<FetchQuery>,
) -> Response {
    if lock(&state.control).down {
        return unavailable();
    }
    let permit = LoadPermit::open(&state, query.adapter.is_some());
    if permit.adapter {
        let (shortest, longest) = state.options.adapter_time;
        let time = rand::rng().random_range(shortest..=longest);
        permit.run(time).await;
    } else {
        tokio::time::sleep_until(state.reserve_start().into()).await;
        let seconds = query.bytes as f64 / state.options.bytes_per_s;
        permit.run(Duration::from_secs_f64(seconds)).await;
    }
    Json(json!({"loaded": true})).into_response()
}

fn unavailable() -> Response {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    refusal(status, "weight store is out of service", true)
}

async fn set_control(State(state): State<Arc<StoreState>>, Json(control): Json<StoreControl>) {
    *lock(&state.control) = control;
}

async fn counters(State(state): State<Arc<StoreState>>) -> Json<StoreCounters> {
    Json(lock(&state.usage).counters)
}
