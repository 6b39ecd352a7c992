//! Compares the standard and the naive policies: sends the same load to a fleet with each.

mod plot;
mod report;

use std::collections::HashMap;
use std::time::Duration;

use foxtailhill::daemon::{FinishParts, NaiveParts, PolicyParts, StandardParts};
use foxtailhill::engine::{OrderAction, OrderReply};
use smol_str::SmolStr;

pub use self::plot::plot;
pub use self::report::{CompareReport, PolicyRun, PolicySummary, Spread};
use crate::load::{self, LoadOptions, LoadReport, LoadShape, Scenario};
use crate::local::LocalFleet;

/// Rate of a team in the scenarios, as a factor on the mean charge of its streams.
const RATE_HEADROOM: f64 = 1.5;
/// Longest wait for all models to be loaded.
const LOAD_WAIT: Duration = Duration::from_secs(60);
/// Time after the last call after which unanswered calls count as timed out. Longer than the deadline of interactive
/// calls.
const DRAIN: Duration = Duration::from_secs(25);
/// Offset from a run's seed to the seed of its warm-up load, so that the two loads differ.
const WARM_UP_SEED: u64 = 1_000_000;

/// Set of policies that a fleet runs with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    Standard,
    Naive,
    /// The standard policies with routing by expected finish.
    Finish,
}

/// Options of [`compare`].
#[derive(Clone, Debug)]
pub struct CompareOptions {
    pub seeds: Vec<u64>,
    /// Runs of each policy with each seed.
    pub repeats: u32,
    pub length: Duration,
    /// Duration of the load before the measured one. It makes models resident by demand, as the naive policy loads none
    /// without it.
    pub warm_up: Duration,
    /// Factor on the scenario's demand and on the rates of its teams.
    pub rate_factor: f64,
    /// Additional factors on the demand of single teams, without a change of their rates.
    pub team_factors: HashMap<SmolStr, f64>,
    /// Factor on the times of the weight store.
    pub store_scale: f64,
    /// Daemons in each zone.
    pub per_zone: usize,
    pub policies: Vec<PolicyKind>,
}

/// Runs each policy with each seed and repeat, one after the other.
pub async fn compare(scenario: &Scenario, options: &CompareOptions) -> eyre::Result<CompareReport> {
    let scenario = scale_team_rates(scenario, options.rate_factor);
    let mut runs = Vec::new();
    for seed in &options.seeds {
        for repeat in 0..options.repeats {
            for policy in &options.policies {
                let run = run_once(&scenario, options, *policy, *seed, repeat).await?;
                eprintln!("{run}");
                runs.push(run);
            }
        }
    }
    Ok(CompareReport::new(&scenario, options, runs))
}

/// Scales the rates and bursts of teams with the demand, so that a team with factor 1 stays within its rate.
fn scale_team_rates(scenario: &Scenario, factor: f64) -> Scenario {
    let mut scenario = scenario.clone();
    for team in &mut scenario.teams {
        team.rate = (team.rate as f64 * factor).ceil() as u64;
        team.burst = (team.burst as f64 * factor).ceil() as u64;
    }
    scenario
}

async fn run_once(
    scenario: &Scenario,
    options: &CompareOptions,
    policy: PolicyKind,
    seed: u64,
    repeat: u32,
) -> eyre::Result<PolicyRun> {
    let (per_zone, store) = (options.per_zone, options.store_scale);
    let fleet = match policy {
        PolicyKind::Standard => open::<StandardParts>(scenario, per_zone, store).await?,
        PolicyKind::Naive => open::<NaiveParts>(scenario, per_zone, store).await?,
        PolicyKind::Finish => open::<FinishParts>(scenario, per_zone, store).await?,
    };
    if policy != PolicyKind::Naive {
        fleet.wait_for_replicas(scenario, LOAD_WAIT).await?;
    }
    let warm_up = shape(options, seed + WARM_UP_SEED, options.warm_up, false);
    send(&fleet, scenario, &warm_up).await?;
    let before = count_model_orders(&fleet);
    let load = send(
        &fleet,
        scenario,
        &shape(options, seed, options.length, true),
    )
    .await?;
    let after = count_model_orders(&fleet);
    fleet.shutdown().await?;
    let accelerators = scenario.engines.iter().map(|engine| engine.accelerators);
    let within_rate = |team: &str| {
        let factor = options.team_factors.get(team).copied().unwrap_or(1.0);
        factor <= RATE_HEADROOM
    };
    Ok(PolicyRun::new(
        policy,
        seed,
        repeat,
        accelerators.sum(),
        after - before,
        load,
        within_rate,
    ))
}

async fn open<P: PolicyParts>(
    scenario: &Scenario,
    per_zone: usize,
    store_scale: f64,
) -> eyre::Result<LocalFleet> {
    let fleet = LocalFleet::open::<P>(scenario, per_zone, 1.0, store_scale).await?;
    fleet.declare(scenario).await?;
    Ok(fleet)
}

fn shape(options: &CompareOptions, seed: u64, length: Duration, moves: bool) -> LoadShape {
    LoadShape {
        seed,
        length,
        rate_factor: options.rate_factor,
        team_factors: options.team_factors.clone(),
        moves,
    }
}

async fn send(
    fleet: &LocalFleet,
    scenario: &Scenario,
    shape: &LoadShape,
) -> eyre::Result<LoadReport> {
    let daemons = fleet.daemons.iter();
    let options = LoadOptions {
        targets: daemons.map(|daemon| daemon.addresses().caller).collect(),
        call_timeout: Duration::from_secs(900),
        drain: DRAIN,
        versions: HashMap::new(),
    };
    load::run(scenario, shape, load::plan(scenario, shape), options).await
}

/// Counts the load and unload orders for models, not adapters, that engines accepted.
fn count_model_orders(fleet: &LocalFleet) -> u64 {
    let journals = fleet
        .cluster
        .engines
        .iter()
        .flat_map(|engine| engine.journals());
    let taken = journals.flat_map(|journal| journal.orders);
    let taken =
        taken.filter(|record| matches!(record.reply, OrderReply::Done | OrderReply::Started));
    let models = taken.filter(|record| match &record.order.action {
        OrderAction::Load { item, .. } | OrderAction::Unload { item } => item.adapter.is_none(),
    });
    models.count() as u64
}
