//! The same load against fleets with the standard and with the naive policies, side by side.

mod plot;
mod report;

use std::collections::HashMap;
use std::time::Duration;

use foxtailhill::daemon::{NaiveParts, PolicyParts, StandardParts};
use foxtailhill::engine::{OrderAction, OrderReply};
use smol_str::SmolStr;

pub use self::plot::plot;
pub use self::report::{CompareReport, PolicyRun, PolicySummary, Spread};
use crate::load::{self, LoadOptions, LoadReport, LoadShape, Scenario};
use crate::local::LocalFleet;

/// Rates of teams in scenarios, relative to what their streams are charged on average.
const RATE_HEADROOM: f64 = 1.5;
/// Longest wait for the floor to be loaded.
const FLOOR_WAIT: Duration = Duration::from_secs(60);
/// Time after the last call at which unanswered calls count as timed out; longer than an interactive deadline.
const DRAIN: Duration = Duration::from_secs(25);
/// Added to the seed of a run for the load before it, so that the two differ.
const WARM_UP_SEED: u64 = 1_000_000;

/// Which policies a fleet runs with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    Standard,
    Naive,
}

/// What is compared.
#[derive(Clone, Debug)]
pub struct CompareOptions {
    pub seeds: Vec<u64>,
    /// Runs of each policy with each seed.
    pub repeats: u32,
    pub length: Duration,
    /// Load before the measured one, which fills the engines by demand. The naive policy loads nothing before.
    pub warm_up: Duration,
    /// Factor on the scenario's demand and on the rates of its teams.
    pub rate_factor: f64,
    /// Further factors on the demand of teams, whose rates stay.
    pub team_factors: HashMap<SmolStr, f64>,
    /// Factor on the times of the weight store.
    pub store_scale: f64,
    /// Daemons in each zone.
    pub per_zone: usize,
    pub policies: Vec<PolicyKind>,
}

/// Runs all loads in turn.
pub async fn compare(scenario: &Scenario, options: &CompareOptions) -> eyre::Result<CompareReport> {
    let scenario = with_rates(scenario, options.rate_factor);
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

/// Scales the teams' rates with the demand, so that a team with factor 1 stays within its rate.
fn with_rates(scenario: &Scenario, factor: f64) -> Scenario {
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
    };
    if policy == PolicyKind::Standard {
        fleet.wait_for_replicas(scenario, FLOOR_WAIT).await?;
    }
    let warm_up = shape(options, seed + WARM_UP_SEED, options.warm_up, false);
    send(&fleet, scenario, &warm_up).await?;
    let before = taken_orders(&fleet);
    let load = send(
        &fleet,
        scenario,
        &shape(options, seed, options.length, true),
    )
    .await?;
    let after = taken_orders(&fleet);
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

/// Counts the orders for models, without adapters, that engines took: loads and unloads.
fn taken_orders(fleet: &LocalFleet) -> u64 {
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
