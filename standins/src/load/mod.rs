//! Open-loop load driver: calls start at their planned times, independent of the answers to earlier calls.
//!
//! Latencies are measured from the planned time, so they include the delay if the driver falls behind (no coordinated
//! omission). Complete answers are compared with the expected tokens of the stand-in engines.

mod arrivals;
mod caller;
mod deployments;
mod fleet;
pub mod idle_usage;
mod measure;
pub mod refusals;
mod report;
mod scenario;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::ensure;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use self::arrivals::{LoadShape, PlannedCall, plan, read_trace};
use self::caller::CallClient;
pub use self::caller::{CallEnd, CallOutcome};
pub use self::deployments::{built_in, grainotheque, navette};
pub use self::fleet::{FleetOptions, open_fleet};
use self::measure::LoadMeasure;
pub use self::report::{GroupReport, LatencyReport, LoadReport, RefusalCount};
pub use self::scenario::{
    BurstShape, DemandMove, DemandStream, DemandTarget, Scenario, ScenarioEngine, ScenarioModel,
    ScenarioService, StoreLimits,
};
use crate::serve::lock;

/// Options of [`run`].
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses of the balancer or of entry VMs. Calls are sent to them in turn.
    pub targets: Vec<SocketAddr>,
    /// Timeout of one call.
    pub call_timeout: Duration,
    /// Time after the last planned call after which unanswered calls count as timed out.
    pub drain: Duration,
    /// Versions, by model, whose answers are accepted besides the declared one while a version is replaced.
    pub versions: HashMap<SmolStr, Vec<SmolStr>>,
}

/// Sends the planned calls and waits until each has ended.
pub async fn run(
    scenario: &Scenario,
    shape: &LoadShape,
    calls: Vec<PlannedCall>,
    options: LoadOptions,
) -> eyre::Result<LoadReport> {
    ensure!(!options.targets.is_empty(), "no target address is given");
    let measure = Arc::new(Mutex::new(LoadMeasure::new(scenario)));
    let client = CallClient::new(scenario, &options);
    let start = Instant::now();
    let last = calls.last().map_or(Duration::ZERO, |call| call.at);
    let end = start + last + options.drain;
    let mut tasks = JoinSet::new();
    for (call, target) in calls.into_iter().zip(options.targets.iter().cycle()) {
        let due = start + call.at;
        tokio::time::sleep_until(due).await;
        while tasks.try_join_next().is_some() {}
        let (client, measure, target) = (client.clone(), measure.clone(), *target);
        tasks.spawn(async move {
            let outcome = client.call(target, &call, due, end).await;
            lock(&measure).add(&call, outcome);
        });
    }
    while tasks.join_next().await.is_some() {}
    let report = lock(&measure).report(scenario, shape, start.elapsed());
    Ok(report)
}
