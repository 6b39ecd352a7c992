//! Runs stand-ins and three daemons over loopback, declares the Navette deployment by operator calls, sends a mixed
//! load for a few seconds and checks every answer. Exits with 0 only if all answers were right.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::{OptionExt, ensure};
use foxtailhill::daemon::StandardParts;
use foxtailhill::op::OpExit;
use foxtailhill::settings::LogSettings;
use foxtailhill_standins::caller::KeyedCaller;
use foxtailhill_standins::load::{self, LoadOptions, LoadReport, LoadShape, Scenario};
use foxtailhill_standins::local::LocalFleet;
use log::LevelFilter;

/// Factor on the times of the weight store, so that all models are loaded within seconds.
const STORE_SCALE: f64 = 0.02;
/// Longest wait for all models to be loaded.
const LOAD_WAIT: Duration = Duration::from_secs(60);
/// Longest time after a withdrawal for which the key may still be accepted.
const WITHDRAWAL_WAIT: Duration = Duration::from_secs(10);
/// Team that sends three times its rate: `NOISY_FACTOR` is 9, `RATE_FACTOR` halves the demand, and a team's rate is 1.5
/// times the mean charge of its streams.
const NOISY_TEAM: &str = "etna-lines";
const NOISY_FACTOR: f64 = 9.0;
/// The short load lies within the burst phase of the scenario, where half the demand keeps the engines busy.
const RATE_FACTOR: f64 = 0.5;
const CALL_TIME: Duration = Duration::from_secs(30);
const MESSAGES: &str = r#"[{"role":"user","content":"one day from Palermo to Cefalù"}]"#;

/// Runs a small fleet and a mixed load on this machine.
#[derive(FromArgs)]
struct DemoArgs {
    /// seconds of load (default 6)
    #[argh(option, default = "6")]
    seconds: u64,
    /// seed of the load (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: DemoArgs = argh::from_env();
    match run(&args).await {
        Ok(faults) if faults.is_empty() => {
            println!("all answers were right");
            ExitCode::SUCCESS
        }
        Ok(faults) => {
            for fault in faults {
                eprintln!("fault: {fault}");
            }
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("demo: {report:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &DemoArgs) -> eyre::Result<Vec<String>> {
    let _log = foxtailhill::logging::init(&LogSettings {
        level: LevelFilter::Error,
        ..LogSettings::default()
    })?;
    let scenario = load::navette();
    println!(
        "starting stand-ins and one daemon in each of {:?}",
        scenario.zones
    );
    let fleet = LocalFleet::open::<StandardParts>(&scenario, 1, 1.0, STORE_SCALE).await?;
    fleet.declare(&scenario).await?;
    let started = Instant::now();
    fleet.wait_for_replicas(&scenario, LOAD_WAIT).await?;
    println!(
        "{} models loaded in {:.1} s",
        scenario.models.len(),
        started.elapsed().as_secs_f64()
    );

    let mut faults = Vec::new();
    let (report, booking, withdrawal) = tokio::join!(
        send_load(&fleet, &scenario, args),
        book_twice(&fleet, &scenario),
        withdraw_key(&fleet, &scenario),
    );
    let report = report?;
    println!("\n{report}");
    faults.extend(check_load(&report));
    faults.extend(
        booking
            .err()
            .map(|error| format!("booking submitted twice: {error}")),
    );
    faults.extend(
        withdrawal
            .err()
            .map(|error| format!("withdrawn key: {error}")),
    );
    faults.extend(check_memory(&fleet));
    fleet.shutdown().await?;
    Ok(faults)
}

async fn send_load(
    fleet: &LocalFleet,
    scenario: &Scenario,
    args: &DemoArgs,
) -> eyre::Result<LoadReport> {
    let mut shape = LoadShape {
        seed: args.seed,
        length: Duration::from_secs(args.seconds),
        rate_factor: RATE_FACTOR,
        ..LoadShape::default()
    };
    shape.team_factors.insert(NOISY_TEAM.into(), NOISY_FACTOR);
    let options = LoadOptions {
        targets: callers(fleet),
        call_timeout: CALL_TIME,
        drain: CALL_TIME,
        versions: std::collections::HashMap::new(),
    };
    load::run(scenario, &shape, load::plan(scenario, &shape), options).await
}

fn callers(fleet: &LocalFleet) -> Vec<SocketAddr> {
    fleet
        .daemons
        .iter()
        .map(|daemon| daemon.addresses().caller)
        .collect()
}

/// Returns the faults of the load. Refusals of the team that exceeds its rate are expected.
fn check_load(report: &LoadReport) -> Vec<String> {
    let mut faults = Vec::new();
    let Some(all) = report.group("all") else {
        return vec!["the load has no results".into()];
    };
    if all.right == 0 {
        faults.push("no call got an answer".into());
    }
    if all.wrong > 0 {
        faults.push(format!("{} answers were wrong", all.wrong));
    }
    if all.failed > 0 {
        faults.push(format!(
            "{} calls failed: {:?}",
            all.failed, report.failures
        ));
    }
    let refused_otherwise = report
        .refusals
        .iter()
        .filter(|count| count.verdict != "not_run");
    faults.extend(refused_otherwise.map(|count| format!("refusal without `not_run`: {count:?}")));
    faults
}

/// Submits one booking concurrently through two daemons, then through a third. It must run exactly once, and each
/// answer must be 200 or have the verdict `may_have_run`.
async fn book_twice(fleet: &LocalFleet, scenario: &Scenario) -> eyre::Result<()> {
    let team = &scenario.teams.last().ok_or_eyre("no team")?.name;
    let caller = KeyedCaller::new(Some(&Scenario::key_of(team)), CALL_TIME);
    let daemons = callers(fleet);
    let path = "/seats/demo";
    let (first, second) = tokio::join!(
        caller.submit(daemons[0], path, "demo-booking", "seat 7"),
        caller.submit(daemons[1], path, "demo-booking", "seat 7"),
    );
    let third = caller
        .submit(daemons[2], path, "demo-booking", "seat 7")
        .await?;
    let ran: u64 = fleet
        .cluster
        .services
        .iter()
        .map(|service| service.count("demo-booking"))
        .sum();
    ensure!(ran == 1, "it ran {ran} times");
    for answer in [first?, second?, third] {
        let expected = answer.status == 200 || answer.verdict().as_deref() == Some("may_have_run");
        ensure!(
            expected,
            "unexpected answer {} {:?}",
            answer.status,
            answer.body
        );
    }
    println!("booking submitted three times through three daemons: ran once");
    Ok(())
}

/// Grants a key, uses it, withdraws it, and waits until every daemon refuses it.
async fn withdraw_key(fleet: &LocalFleet, scenario: &Scenario) -> eyre::Result<()> {
    let secret = "key-for-a-day";
    let digest = foxtailhill::ids::KeyDigest::of(secret.as_bytes()).to_string();
    let team = scenario.teams.last().ok_or_eyre("no team")?.name.as_str();
    let granted = fleet
        .op(1, &["grant-key", "day-key", team, "--digest", &digest])
        .await?;
    ensure!(granted.exit == OpExit::Done, "{}", granted.err);
    let caller = KeyedCaller::new(Some(secret), CALL_TIME);
    let model = &scenario.models[0].spec.name;
    let answer = caller.chat(callers(fleet)[0], model, MESSAGES, 4).await?;
    ensure!(
        answer.status == 200,
        "the granted key got {} {:?}",
        answer.status,
        answer.body
    );
    let withdrawn = fleet.op(2, &["withdraw-key", "day-key"]).await?;
    ensure!(withdrawn.exit == OpExit::Done, "{}", withdrawn.err);
    let started = Instant::now();
    for daemon in callers(fleet) {
        loop {
            let answer = caller.chat(daemon, model, MESSAGES, 4).await?;
            if answer.status == 401 {
                break;
            }
            ensure!(
                started.elapsed() < WITHDRAWAL_WAIT,
                "still {} at {daemon}",
                answer.status
            );
        }
    }
    println!(
        "withdrawn key refused everywhere within {:?}",
        started.elapsed()
    );
    Ok(())
}

fn check_memory(fleet: &LocalFleet) -> Vec<String> {
    let engines = fleet.cluster.engines.iter();
    let over = engines.filter(|engine| {
        engine
            .journals()
            .iter()
            .any(|journal| !journal.overcommits.is_empty())
    });
    over.map(|engine| format!("memory of {} was overcommitted", engine.spec.name))
        .collect()
}
