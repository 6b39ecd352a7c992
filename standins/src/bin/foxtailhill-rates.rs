//! Measures refusals of requests within a team's rate, and the resource usage of idle daemons by fleet size.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use eyre::WrapErr;
use foxtailhill::daemon::{self, EvenSplitParts};
use foxtailhill::logging;
use foxtailhill::op::{self, OpArgs, OpExit};
use foxtailhill::settings::DaemonSettings;
use foxtailhill_standins::load::idle_usage::{UsageOptions, measure_idle_usage};
use foxtailhill_standins::load::refusals::{RefusalOptions, measure_refusals};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

/// Measurements of rate limits and of idle daemons.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Refusals(RefusalArguments),
    Slopes(SlopeArguments),
    Serve(ServeArguments),
    Op(OpArgs),
}

/// Measures the tokens that are refused although the team is within its rate.
#[derive(FromArgs)]
#[argh(subcommand, name = "refusals")]
struct RefusalArguments {
    /// the daemon's program
    #[argh(option)]
    program: PathBuf,
    /// number of daemons; repeatable, default 3, 9 and 30
    #[argh(option)]
    daemons: Vec<usize>,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// length of each load, such as 20s
    #[argh(
        option,
        default = "Duration::from_secs(20)",
        from_str_fn(parse_duration)
    )]
    length: Duration,
    /// file to which the results are written as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Measures CPU time, memory and control traffic of idle daemons with the declaration of Navette.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopeArguments {
    /// the daemon's program
    #[argh(option)]
    program: PathBuf,
    /// number of daemons; repeatable, default 3, 9, 30 and 60
    #[argh(option)]
    daemons: Vec<usize>,
    /// time over which each fleet is measured, such as 30s
    #[argh(
        option,
        default = "Duration::from_secs(30)",
        from_str_fn(parse_duration)
    )]
    length: Duration,
    /// file to which the results are written as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Runs a daemon that splits rates evenly and never borrows: the baseline of `refusals`.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArguments {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| format!("`{text}`: {error}"))
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Refusals(arguments) => refusals(arguments).await?,
        Command::Slopes(arguments) => slopes(arguments).await?,
        Command::Serve(arguments) => serve(&arguments).await?,
        Command::Op(arguments) => {
            let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
            let exit: OpExit = op::run(&arguments, &mut out, &mut err).await;
            return Ok(exit.into());
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn refusals(arguments: RefusalArguments) -> eyre::Result<()> {
    let report = measure_refusals(&RefusalOptions {
        program: arguments.program,
        baseline: std::env::current_exe()?,
        daemons: sizes_or_default(arguments.daemons, &[3, 9, 30]),
        seed: arguments.seed,
        length: arguments.length,
    })
    .await?;
    print!("{report}");
    write_json(&report, arguments.json)
}

async fn slopes(arguments: SlopeArguments) -> eyre::Result<()> {
    let report = measure_idle_usage(&UsageOptions {
        program: arguments.program,
        daemons: sizes_or_default(arguments.daemons, &[3, 9, 30, 60]),
        length: arguments.length,
    })
    .await?;
    print!("{report}");
    write_json(&report, arguments.json)
}

fn sizes_or_default(given: Vec<usize>, default: &[usize]) -> Vec<usize> {
    match given.is_empty() {
        true => default.to_vec(),
        false => given,
    }
}

fn write_json(report: &impl Serialize, path: Option<PathBuf>) -> eyre::Result<()> {
    if let Some(path) = path {
        let mut text = serde_json::to_string_pretty(report)?;
        text.push('\n');
        std::fs::write(path, text).wrap_err("cannot write the results")?;
    }
    Ok(())
}

async fn serve(arguments: &ServeArguments) -> eyre::Result<()> {
    let settings = DaemonSettings::read(&arguments.settings)?;
    let _log = logging::init(&settings.log)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let daemon = daemon::open_with::<EvenSplitParts>(settings).await?;
    terminate.recv().await;
    daemon.shutdown().await;
    Ok(())
}
