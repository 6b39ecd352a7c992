//! Runs a load against entry VMs. Prints the results as a table and optionally writes them as JSON.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use eyre::{OptionExt, WrapErr};
use foxtailhill_standins::cluster::{ClusterEngine, PLATFORM_ZONE, TestCluster};
use foxtailhill_standins::compare::{CompareOptions, PolicyKind, compare, plot};
use foxtailhill_standins::load::{
    FleetOptions, LoadOptions, LoadReport, LoadShape, Scenario, built_in, open_fleet, plan,
    read_trace, run,
};
use foxtailhill_standins::{BalancerOptions, BalancerStandin, BalancerTarget, FaultSchedule};
use smol_str::SmolStr;
use tokio::signal::unix::{SignalKind, signal};

/// Factor on the times of the weight store in comparisons, so that placement takes effect within a short load.
const STORE_SCALE: f64 = 0.02;

/// Open-loop load driver.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(RunArguments),
    Fleet(FleetArguments),
    Declare(DeclareArguments),
    Plan(PlanArguments),
    Compare(CompareArguments),
}

/// Sends the calls of a scenario and checks the answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArguments {
    /// address of the balancer or of an entry VM; repeatable, calls go to them in turn
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// scenario: navette or grainotheque
    #[argh(option, default = "\"navette\".to_owned()")]
    scenario: String,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// length, such as 30s
    #[argh(
        option,
        default = "Duration::from_secs(60)",
        from_str_fn(parse_duration)
    )]
    length: Duration,
    /// factor on all rates
    #[argh(option, default = "1.0")]
    rate_factor: f64,
    /// factor on the rate of a team, as TEAM=FACTOR; repeatable
    #[argh(option, from_str_fn(parse_factor))]
    team_factor: Vec<(SmolStr, f64)>,
    /// keep the demand for each model constant
    #[argh(switch)]
    no_moves: bool,
    /// trace of planned calls, one JSON object on each line, in place of drawn arrivals
    #[argh(option)]
    trace: Option<PathBuf>,
    /// longest time of one call
    #[argh(
        option,
        default = "Duration::from_secs(900)",
        from_str_fn(parse_duration)
    )]
    call_timeout: Duration,
    /// time after the last call at which unanswered calls count as timed out
    #[argh(
        option,
        default = "Duration::from_secs(60)",
        from_str_fn(parse_duration)
    )]
    drain: Duration,
    /// file to which the results are written as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Starts the fleet of a scenario with stand-ins, and sends the calls of the scenario through a balancer.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArguments {
    /// the daemon's program
    #[argh(option)]
    program: PathBuf,
    /// number of entry VMs
    #[argh(option, default = "7")]
    daemons: usize,
    /// scenario: navette or grainotheque
    #[argh(option, default = "\"navette\".to_owned()")]
    scenario: String,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// length, such as 30s
    #[argh(
        option,
        default = "Duration::from_secs(60)",
        from_str_fn(parse_duration)
    )]
    length: Duration,
    /// factor on all rates
    #[argh(option, default = "1.0")]
    rate_factor: f64,
    /// factor on the rate of a team, as TEAM=FACTOR; repeatable
    #[argh(option, from_str_fn(parse_factor))]
    team_factor: Vec<(SmolStr, f64)>,
    /// factor on the times of engines and weight store
    #[argh(option, default = "1.0")]
    time_scale: f64,
    /// put the fault proxy on all links
    #[argh(switch)]
    proxied: bool,
    /// seed of link faults during the load; puts the proxy on all links
    #[argh(option)]
    fault_seed: Option<u64>,
    /// number of link faults
    #[argh(option, default = "10")]
    faults: usize,
    /// longest wait until each model has its minimum of replicas
    #[argh(
        option,
        default = "Duration::from_secs(300)",
        from_str_fn(parse_duration)
    )]
    floor_wait: Duration,
    /// time after the last call at which unanswered calls count as timed out
    #[argh(
        option,
        default = "Duration::from_secs(60)",
        from_str_fn(parse_duration)
    )]
    drain: Duration,
    /// file to which the results are written as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Prints the declaration file of a scenario, without its backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "declare")]
struct DeclareArguments {
    /// scenario: navette or grainotheque
    #[argh(option, default = "\"navette\".to_owned()")]
    scenario: String,
}

/// Prints the planned calls of a scenario as a trace.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanArguments {
    /// scenario: navette or grainotheque
    #[argh(option, default = "\"navette\".to_owned()")]
    scenario: String,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// length, such as 30s
    #[argh(
        option,
        default = "Duration::from_secs(60)",
        from_str_fn(parse_duration)
    )]
    length: Duration,
}

/// Compares the standard policies, the naive ones and routing by expected finish on fleets in this process.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArguments {
    /// scenario: navette or grainotheque
    #[argh(option, default = "\"navette\".to_owned()")]
    scenario: String,
    /// seed of the arrivals; repeatable (default 1)
    #[argh(option)]
    seed: Vec<u64>,
    /// runs of each policy with each seed
    #[argh(option, default = "2")]
    repeats: u32,
    /// length of the measured load, such as 15s
    #[argh(
        option,
        default = "Duration::from_secs(15)",
        from_str_fn(parse_duration)
    )]
    length: Duration,
    /// length of the load before it
    #[argh(
        option,
        default = "Duration::from_secs(8)",
        from_str_fn(parse_duration)
    )]
    warm_up: Duration,
    /// factor on the demand and on the teams' rates; 1 keeps the engines about 75% busy in a short load, half of
    /// which is a burst of the smaller models
    #[argh(option, default = "1.0")]
    rate_factor: f64,
    /// factor on the demand of a team whose rate stays, as TEAM=FACTOR; repeatable
    #[argh(option, from_str_fn(parse_factor))]
    team_factor: Vec<(SmolStr, f64)>,
    /// run the standard policies only
    #[argh(switch)]
    standard_only: bool,
    /// file to which the results are written as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// file to which attainment is drawn as SVG
    #[argh(option)]
    plot: Option<PathBuf>,
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| format!("`{text}`: {error}"))
}

fn parse_factor(text: &str) -> Result<(SmolStr, f64), String> {
    let (team, factor) = text
        .split_once('=')
        .ok_or_else(|| format!("`{text}` is not TEAM=FACTOR"))?;
    let factor = factor
        .parse()
        .map_err(|error| format!("`{text}`: {error}"))?;
    Ok((team.into(), factor))
}

fn scenario(name: &str) -> eyre::Result<Scenario> {
    built_in(name).ok_or_eyre("the scenario is neither navette nor grainotheque")
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Run(arguments) => run_load(arguments).await,
        Command::Fleet(arguments) => tokio::select! {
            done = run_fleet(arguments) => done,
            // Dropping the fleet kills its processes.
            stopped = wait_for_stop() => stopped,
        },
        Command::Declare(arguments) => {
            let declaration = scenario(&arguments.scenario)?.declaration();
            println!("{}", serde_json::to_string_pretty(&declaration)?);
            Ok(())
        }
        Command::Plan(arguments) => print_plan(&arguments),
        Command::Compare(arguments) => run_compare(arguments).await,
    }
}

async fn wait_for_stop() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    eyre::bail!("stopped by a signal")
}

async fn run_compare(arguments: CompareArguments) -> eyre::Result<()> {
    let mut seeds = arguments.seed;
    if seeds.is_empty() {
        seeds.push(1);
    }
    let mut policies = vec![PolicyKind::Standard];
    if !arguments.standard_only {
        policies.extend([PolicyKind::Naive, PolicyKind::Finish]);
    }
    let options = CompareOptions {
        seeds,
        repeats: arguments.repeats,
        length: arguments.length,
        warm_up: arguments.warm_up,
        rate_factor: arguments.rate_factor,
        team_factors: arguments.team_factor.into_iter().collect(),
        store_scale: STORE_SCALE,
        per_zone: 1,
        policies,
    };
    let report = compare(&scenario(&arguments.scenario)?, &options).await?;
    print!("{report}");
    if let Some(path) = arguments.json {
        std::fs::write(path, serde_json::to_vec_pretty(&report)?)
            .wrap_err("cannot write the results")?;
    }
    arguments.plot.map_or(Ok(()), |path| plot(&report, &path))
}

fn print_plan(arguments: &PlanArguments) -> eyre::Result<()> {
    let shape = LoadShape {
        seed: arguments.seed,
        length: arguments.length,
        ..LoadShape::default()
    };
    for call in plan(&scenario(&arguments.scenario)?, &shape) {
        println!("{}", serde_json::to_string(&call)?);
    }
    Ok(())
}

async fn run_load(arguments: RunArguments) -> eyre::Result<()> {
    let scenario = scenario(&arguments.scenario)?;
    let shape = LoadShape {
        seed: arguments.seed,
        length: arguments.length,
        rate_factor: arguments.rate_factor,
        team_factors: arguments.team_factor.into_iter().collect(),
        moves: !arguments.no_moves,
    };
    let calls = match &arguments.trace {
        Some(path) => {
            read_trace(&std::fs::read_to_string(path).wrap_err("cannot read the trace")?)?
        }
        None => plan(&scenario, &shape),
    };
    let options = LoadOptions {
        targets: arguments.target,
        call_timeout: arguments.call_timeout,
        drain: arguments.drain,
        versions: HashMap::new(),
    };
    let report = run(&scenario, &shape, calls, options).await?;
    write_report(&report, arguments.json)
}

fn write_report(report: &LoadReport, json: Option<PathBuf>) -> eyre::Result<()> {
    print!("{report}");
    if let Some(path) = json {
        std::fs::write(path, serde_json::to_vec_pretty(report)?)
            .wrap_err("cannot write the results")?;
    }
    Ok(())
}

async fn run_fleet(arguments: FleetArguments) -> eyre::Result<()> {
    let scenario = scenario(&arguments.scenario)?;
    let fleet = FleetOptions {
        program: arguments.program,
        daemons: arguments.daemons,
        time_scale: arguments.time_scale,
        proxied: arguments.proxied || arguments.fault_seed.is_some(),
        settings: serde_json::Map::new(),
        min_replicas_timeout: arguments.floor_wait,
    };
    let cluster = open_fleet(&scenario, &fleet).await?;
    let balancer = open_balancer(&cluster).await?;
    let shape = LoadShape {
        seed: arguments.seed,
        length: arguments.length,
        rate_factor: arguments.rate_factor,
        team_factors: arguments.team_factor.into_iter().collect(),
        moves: true,
    };
    let options = LoadOptions {
        targets: vec![balancer.address()],
        call_timeout: Duration::from_secs(900),
        drain: arguments.drain,
        versions: HashMap::new(),
    };
    let calls = plan(&scenario, &shape);
    let schedule = arguments.fault_seed.map(|seed| {
        let mut zones = scenario.zones.clone();
        zones.push(SmolStr::new_static(PLATFORM_ZONE));
        FaultSchedule::generate(seed, &zones, arguments.faults, arguments.length)
    });
    let faults = run_faults(&cluster, schedule.as_ref());
    let (report, ()) = tokio::join!(run(&scenario, &shape, calls, options), faults);
    write_report(&report?, arguments.json)?;
    let journals = cluster.engines.iter().flat_map(ClusterEngine::journals);
    let (mut runs, mut overcommits) = (0, 0);
    for journal in journals {
        runs += journal.runs.len();
        overcommits += journal.overcommits.len();
    }
    println!("engines: {runs} runs, {overcommits} levels above the capacity");
    balancer.shutdown().await;
    cluster.shutdown().await
}

async fn run_faults(cluster: &TestCluster, schedule: Option<&FaultSchedule>) {
    if let (Some(proxy), Some(schedule)) = (&cluster.proxy, schedule) {
        print!("{schedule}");
        proxy.run(schedule).await;
    }
}

async fn open_balancer(cluster: &TestCluster) -> eyre::Result<BalancerStandin> {
    let targets = cluster.daemons.iter().map(|daemon| BalancerTarget {
        caller: daemon.addresses().caller,
        admin: Some(daemon.addresses().admin),
        weight: 1,
    });
    let balancer = BalancerStandin::open(BalancerOptions {
        targets: targets.collect(),
        ..BalancerOptions::default()
    })
    .await?;
    while balancer.targets().iter().all(|target| !target.ready) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(balancer)
}
