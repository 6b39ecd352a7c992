//! Scenarios for the two deployments of the design page. The page gives no memory sizes, rates or engine fleets; these
//! are assumptions.

use std::time::Duration;

use foxtailhill::catalog::{
    AdapterSpec, ModelSpec, RequestClass, RouteSpec, RouteTarget, TeamSpec,
};
use smol_str::{SmolStr, format_smolstr};

use crate::load::scenario::{
    BurstShape, DemandMove, DemandStream, DemandTarget, Scenario, ScenarioEngine, ScenarioModel,
    ScenarioService, StoreLimits,
};

const GIB: u64 = 1 << 30;
const MIB: u64 = 1 << 20;
const VERSION: SmolStr = SmolStr::new_static("v1");
/// Target time to the first token, from the design page.
const FIRST_TOKEN_MS: u32 = 510;
/// Rate of a team, as a factor on the mean charge of its streams.
const RATE_HEADROOM: f64 = 1.5;
/// Burst of a team in seconds of its rate.
const BURST_SECONDS: u64 = 20;
/// Prompt bytes charged as one token.
const BYTES_PER_TOKEN: f64 = 4.0;
const INTERACTIVE_TOKENS: (u32, u32) = (16, 128);
const OVERNIGHT_TOKENS: (u32, u32) = (128, 384);

/// Parameters of a deployment.
struct DeploymentSpec {
    name: &'static str,
    zones: [&'static str; 3],
    /// Models whose minimum of replicas the design page gives: name, replicas, GiB.
    replicated_models: [(&'static str, u32, u64); 2],
    /// Names of the other models, which have a minimum of one replica.
    single_models: &'static [&'static str],
    adapters: usize,
    teams: [&'static str; 5],
    /// Engine sizes: memory in GiB and number of engines.
    engines: [(u64, usize); 3],
    store: StoreLimits,
    /// Route prefix, which is also the service group, of calls that must not run twice, and of calls that may.
    non_repeatable: &'static str,
    repeatable: &'static str,
    /// Interactive calls per second over all teams and models.
    interactive_rate: f64,
    /// Overnight calls per second.
    overnight_rate: f64,
}

const NAVETTE: DeploymentSpec = DeploymentSpec {
    name: "navette",
    zones: ["catania", "palermo", "siracusa"],
    replicated_models: [("drafter", 9, 14), ("booking-desk", 3, 26)],
    single_models: &[
        "day-summary",
        "route-planner",
        "fare-explainer",
        "luggage-help",
        "driver-notes",
        "complaint-reply",
        "timetable-reader",
        "translator-it",
        "voice-notes",
        "parcel-desk",
        "partner-mail",
    ],
    adapters: 55,
    teams: [
        "etna-lines",
        "conca-oro",
        "ortigea",
        "charter-sud",
        "islands",
    ],
    engines: [(24, 6), (48, 6), (80, 4)],
    store: StoreLimits {
        loads_per_s: 1.5,
        loads_in_flight: 7,
        adapters_in_flight: 55,
    },
    non_repeatable: "seats",
    repeatable: "availability",
    interactive_rate: 40.0,
    overnight_rate: 4.0,
};

const GRAINOTHEQUE: DeploymentSpec = DeploymentSpec {
    name: "grainotheque",
    zones: ["qc-sud-a", "qc-sud-b", "qc-sud-c"],
    replicated_models: [("catalogue-scribe", 18, 8), ("pret-semences", 3, 20)],
    single_models: &[
        "germination-digest",
        "lot-labels",
        "variety-finder",
        "soil-advice",
        "calendar-notes",
        "donor-mail",
        "member-reply",
        "translator-fr",
        "photo-captions",
        "pest-notes",
        "harvest-log",
        "swap-desk",
        "newsletter",
        "archive-reader",
        "label-checker",
        "workshop-plans",
        "grant-drafts",
        "inventory-notes",
        "voice-notes",
    ],
    adapters: 115,
    teams: ["volunteers", "archives", "growers", "schools", "exchange"],
    engines: [(24, 10), (48, 8), (80, 4)],
    store: StoreLimits {
        loads_per_s: 3.0,
        loads_in_flight: 3,
        adapters_in_flight: 25,
    },
    non_repeatable: "withdrawals",
    repeatable: "stock",
    interactive_rate: 50.0,
    overnight_rate: 6.0,
};

/// Returns the scenario of the minibus franchises.
pub fn navette() -> Scenario {
    build(&NAVETTE)
}

/// Returns the scenario of the seed library.
pub fn grainotheque() -> Scenario {
    build(&GRAINOTHEQUE)
}

/// Returns a scenario by name.
pub fn built_in(name: &str) -> Option<Scenario> {
    match name {
        "navette" => Some(navette()),
        "grainotheque" => Some(grainotheque()),
        _ => None,
    }
}

fn build(spec: &DeploymentSpec) -> Scenario {
    let models = models(spec);
    let streams = streams(spec, &models);
    Scenario {
        name: spec.name.into(),
        zones: spec.zones.iter().map(|zone| (*zone).into()).collect(),
        teams: teams(spec, &streams),
        routes: vec![
            route(spec.non_repeatable, false),
            route(spec.repeatable, true),
        ],
        engines: engines(spec),
        services: services(spec),
        store: spec.store,
        moves: moves(spec),
        models,
        streams,
    }
}

fn models(spec: &DeploymentSpec) -> Vec<ScenarioModel> {
    let replicated = spec.replicated_models.iter().copied();
    // Sizes in GiB of the other models, used in rotation: most are small, some fill half of a large accelerator.
    let sizes = [6, 8, 12, 16, 8, 24, 10, 14, 6, 36];
    let single = spec.single_models.iter().zip(sizes.iter().cycle());
    let single = single.map(|(name, gib)| (*name, 1, *gib));
    let mut models: Vec<_> = replicated
        .chain(single)
        .map(|(name, replicas, gib)| ScenarioModel {
            spec: ModelSpec {
                name: name.into(),
                memory_bytes: gib * GIB,
                min_replicas: replicas,
                version: VERSION,
                first_token_ms: FIRST_TOKEN_MS,
                open: false,
            },
            adapters: Vec::new(),
        })
        .collect();
    // The first model gets every third adapter, the other models get the rest.
    let count = models.len();
    for index in 0..spec.adapters {
        let position = if index % 3 == 0 {
            0
        } else {
            1 + index % (count - 1)
        };
        let model = &mut models[position];
        let adapter = AdapterSpec {
            name: format_smolstr!("{}-{}", model.spec.name, model.adapters.len() + 1),
            model: model.spec.name.clone(),
            memory_bytes: (64 + 32 * (index as u64 % 5)) * MIB,
        };
        model.adapters.push(adapter);
    }
    models
}

/// Returns the share of demand of a rank under Zipf's law: few models and teams have most of the demand.
fn zipf_share(rank: usize, count: usize) -> f64 {
    let weight = |rank: usize| 1.0 / (rank + 1) as f64;
    weight(rank) / (0..count).map(weight).sum::<f64>()
}

fn streams(spec: &DeploymentSpec, models: &[ScenarioModel]) -> Vec<DemandStream> {
    let mut streams = Vec::new();
    for (team_rank, team) in spec.teams.iter().enumerate() {
        let team_share = zipf_share(team_rank, spec.teams.len());
        for (rank, model) in models.iter().enumerate() {
            let rate = spec.interactive_rate * team_share * zipf_share(rank, models.len());
            streams.push(interactive(team, model, team_rank, rank, rate));
        }
        let rate = spec.overnight_rate * team_share;
        streams.push(overnight(team, &models[2], rate));
        for (path, factor) in [(spec.non_repeatable, 0.02), (spec.repeatable, 0.1)] {
            let rate = spec.interactive_rate * team_share * factor;
            streams.push(service_stream(team, path, rate));
        }
    }
    streams
}

fn interactive(
    team: &str,
    model: &ScenarioModel,
    team_rank: usize,
    rank: usize,
    rate: f64,
) -> DemandStream {
    let adapter = match model.adapters.len() {
        0 => None,
        count => Some(model.adapters[team_rank % count].name.clone()),
    };
    DemandStream {
        team: team.into(),
        target: DemandTarget::Model {
            model: model.spec.name.clone(),
            adapter,
        },
        class: RequestClass::Interactive,
        rate,
        prompt_bytes: (400, 2400),
        tokens: INTERACTIVE_TOKENS,
        deadline: Some(Duration::from_secs(20)),
        // All but the three most used models have bursts of 6 s at four times their rate.
        burst: (rank > 2).then(|| BurstShape {
            period: Duration::from_secs(30 + 7 * rank as u64),
            length: Duration::from_secs(6),
            factor: 4.0,
        }),
    }
}

fn overnight(team: &str, model: &ScenarioModel, rate: f64) -> DemandStream {
    DemandStream {
        team: team.into(),
        target: DemandTarget::Model {
            model: model.spec.name.clone(),
            adapter: None,
        },
        class: RequestClass::Overnight,
        rate,
        prompt_bytes: (2000, 8000),
        tokens: OVERNIGHT_TOKENS,
        deadline: Some(Duration::from_secs(600)),
        burst: None,
    }
}

fn service_stream(team: &str, path: &str, rate: f64) -> DemandStream {
    DemandStream {
        team: team.into(),
        target: DemandTarget::Service {
            path: format_smolstr!("/{path}"),
        },
        class: RequestClass::Interactive,
        rate,
        prompt_bytes: (40, 200),
        tokens: (0, 0),
        deadline: None,
        burst: None,
    }
}

fn teams(spec: &DeploymentSpec, streams: &[DemandStream]) -> Vec<TeamSpec> {
    let teams = spec.teams.iter().map(|team| {
        let own = streams.iter().filter(|stream| stream.team == *team);
        let charged: f64 = own.map(charge_per_s).sum();
        let rate = (charged * RATE_HEADROOM).ceil() as u64;
        TeamSpec {
            name: (*team).into(),
            rate,
            burst: rate * BURST_SECONDS,
        }
    });
    teams.collect()
}

/// Returns the tokens per second that a stream is charged at admission: the mean prompt and the output limit.
fn charge_per_s(stream: &DemandStream) -> f64 {
    let (shortest, longest) = stream.prompt_bytes;
    let prompt = (shortest + longest) as f64 / 2.0 / BYTES_PER_TOKEN;
    stream.rate * (prompt + f64::from(stream.tokens.1))
}

fn route(group: &str, repeatable: bool) -> RouteSpec {
    RouteSpec {
        name: group.into(),
        prefix: format_smolstr!("/{group}"),
        target: RouteTarget::Service(group.into()),
        open: false,
        repeatable,
        class: RequestClass::Interactive,
        teams: Vec::new(),
        cost: 1,
    }
}

fn engines(spec: &DeploymentSpec) -> Vec<ScenarioEngine> {
    let sizes = spec.engines.iter();
    let sizes = sizes.flat_map(|(gib, count)| std::iter::repeat_n(*gib, *count));
    let engines = sizes.enumerate().map(|(index, gib)| ScenarioEngine {
        name: format_smolstr!("engine-{}", index + 1),
        zone: spec.zones[index % 3].into(),
        memory_bytes: gib * GIB,
        accelerators: if gib > 48 { 2 } else { 1 },
        slots: if gib > 24 { 24 } else { 12 },
        // Every third engine is of a kind that ignores fencing numbers.
        checks_fencing: index % 3 != 2,
        base_step_us: if gib > 24 { 12_000 } else { 16_000 },
    });
    engines.collect()
}

fn services(spec: &DeploymentSpec) -> Vec<ScenarioService> {
    let groups = [spec.non_repeatable, spec.repeatable];
    let services = groups.iter().flat_map(|group| {
        spec.zones.iter().map(move |zone| ScenarioService {
            name: format_smolstr!("{group}-{zone}"),
            zone: (*zone).into(),
            group: (*group).into(),
            slots: 32,
            delay: Duration::from_millis(5),
        })
    });
    services.collect()
}

/// Returns the changes of demand: after 30% of the load, one model rises tenfold and the most used one falls to half.
/// After 60%, both return to their rates, and another model rises tenfold.
fn moves(spec: &DeploymentSpec) -> Vec<DemandMove> {
    let step = |at: f64, model: &str, factor: f64| DemandMove {
        at,
        model: model.into(),
        factor,
    };
    vec![
        step(0.3, spec.single_models[2], 10.0),
        step(0.3, spec.replicated_models[0].0, 0.5),
        step(0.6, spec.single_models[2], 1.0),
        step(0.6, spec.replicated_models[0].0, 1.0),
        step(0.6, spec.single_models[5], 10.0),
    ]
}
