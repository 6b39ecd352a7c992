//! Command line of foxtailhill.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use eyre::WrapErr;
use foxtailhill::op::{OpArgs, OpExit};
use foxtailhill::settings::DaemonSettings;
use foxtailhill::{admin, daemon, declaration, logging, op};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a refused command or bad input.
const EXIT_REFUSED: u8 = 1;

/// Serves many models on few accelerators.
#[derive(FromArgs)]
struct MainArgs {
    #[argh(subcommand)]
    command: MainCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum MainCommand {
    Serve(ServeArgs),
    Check(CheckArgs),
    Dump(DumpArgs),
    Op(OpArgs),
}

/// Runs the daemon of an entry VM until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArgs {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Checks a settings file or a declaration file without running it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// file to check
    #[argh(positional)]
    file: PathBuf,
}

/// Prints the state of a running daemon as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
struct DumpArgs {
    /// admin address of the daemon
    #[argh(positional)]
    address: SocketAddr,
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(exit) => return exit,
    };
    match run(args.command) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("foxtailhill: {report:#}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

/// Reads the command line. Help goes to standard output; other early exits are usage errors.
fn parse_args() -> Result<MainArgs, ExitCode> {
    let words: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|word| word.to_string_lossy().into_owned())
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    MainArgs::from_args(&["foxtailhill"], &words).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            OpExit::Usage.into()
        }
    })
}

fn run(command: MainCommand) -> eyre::Result<ExitCode> {
    match command {
        MainCommand::Serve(args) => {
            // The settings are read before any thread or port exists.
            let settings = DaemonSettings::read(&args.settings)?;
            logging::init(&settings.log)?;
            runtime()?.block_on(serve(settings))?;
            Ok(ExitCode::SUCCESS)
        }
        MainCommand::Check(args) => check(&args.file),
        MainCommand::Dump(args) => {
            println!("{}", runtime()?.block_on(admin::dump(args.address))?);
            Ok(ExitCode::SUCCESS)
        }
        MainCommand::Op(args) => {
            let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
            let exit = runtime()?.block_on(op::run(&args, &mut out, &mut err));
            Ok(ExitCode::from(exit as u8))
        }
    }
}

fn runtime() -> eyre::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")
}

async fn serve(settings: DaemonSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = daemon::open(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shutdown().await;
    Ok(())
}

fn check(file: &Path) -> eyre::Result<ExitCode> {
    let text = std::fs::read(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
    // A malformed file cannot be parsed to tell its kind, so a field that only settings have decides.
    if String::from_utf8_lossy(&text).contains("\"listen\"") {
        DaemonSettings::read(file)?;
    } else {
        declaration::check(file)?;
    }
    println!("{}: ok", file.display());
    Ok(ExitCode::SUCCESS)
}
