//! Command line of foxtailhill.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use eyre::WrapErr;
use foxtailhill::op::{OpArgs, OpExit};
use foxtailhill::settings::{DaemonSettings, RelaySettings};
use foxtailhill::{Error, admin, daemon, declaration, logging, op};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for a refused command or bad input.
const EXIT_REFUSED: u8 = 1;
/// Exit code of a daemon that ended because of a fault of its own, so that it is started again.
const EXIT_FAILED: u8 = 70;

/// Threads of the product's runtime: the cores of an entry VM at the design size. The allocator keeps freed memory for each
/// thread, so that more of them cost memory under a crowd.
const MAX_WORKERS: usize = 4;

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
            // The settings are read before any thread is started or port is bound.
            if RelaySettings::recognizes(&read_text(&args.settings)?) {
                let settings = RelaySettings::read(&args.settings)?;
                let _log = logging::init(&settings.log)?;
                single_thread_runtime()?.block_on(serve_relay(settings, &args.settings))
            } else {
                let settings = DaemonSettings::read(&args.settings)?;
                let _log = logging::init(&settings.log)?;
                multi_thread_runtime()?.block_on(serve(settings, &args.settings))
            }
        }
        MainCommand::Check(args) => check(&args.file),
        MainCommand::Dump(args) => {
            println!(
                "{}",
                multi_thread_runtime()?.block_on(admin::dump(args.address))?
            );
            Ok(ExitCode::SUCCESS)
        }
        MainCommand::Op(args) => {
            let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
            let exit = multi_thread_runtime()?.block_on(op::run(&args, &mut out, &mut err));
            Ok(ExitCode::from(exit as u8))
        }
    }
}

fn multi_thread_runtime() -> eyre::Result<tokio::runtime::Runtime> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(cores.min(MAX_WORKERS))
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")
}

/// Creates the runtime of a relay. Entry VMs of the users' platform have a fraction of one core, on which further
/// threads would only cost memory.
fn single_thread_runtime() -> eyre::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")
}

async fn serve(settings: DaemonSettings, file: &Path) -> eyre::Result<ExitCode> {
    let signals = DaemonSignals::open()?;
    let daemon = daemon::open(settings.clone()).await?;
    let on_hangup = || log_settings_change(&settings, DaemonSettings::read(file));
    let fault = signals.wait_for_shutdown(on_hangup, daemon.failed()).await;
    daemon.shutdown().await;
    Ok(exit_code(fault))
}

async fn serve_relay(settings: RelaySettings, file: &Path) -> eyre::Result<ExitCode> {
    let signals = DaemonSignals::open()?;
    let daemon = daemon::open_relay(settings.clone()).await?;
    let on_hangup = || log_settings_change(&settings, RelaySettings::read(file));
    let fault = signals.wait_for_shutdown(on_hangup, daemon.failed()).await;
    daemon.shutdown().await;
    Ok(exit_code(fault))
}

/// Returns the exit code of a daemon that was shut down because of `fault`, or as planned.
fn exit_code(fault: Option<Error>) -> ExitCode {
    fault.map_or(ExitCode::SUCCESS, |_| ExitCode::from(EXIT_FAILED))
}

/// Logs whether the settings file has changed since the start. An invalid file is reported now and not only at the next
/// start.
fn log_settings_change<T: PartialEq>(current: &T, read: foxtailhill::Result<T>) {
    match read {
        Ok(settings) if settings == *current => log::info!("the settings have not changed"),
        Ok(_) => log::info!("the settings have changed and take effect at the next start"),
        Err(error) => log::error!("the settings cannot be used at the next start: {error}"),
    }
}

/// SIGTERM and SIGINT, which shut the daemon down, and SIGHUP, which makes it check its settings file.
struct DaemonSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl DaemonSignals {
    fn open() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, or until the daemon has failed; calls `on_hangup` for each SIGHUP. Returns the error
    /// of a daemon that has failed.
    async fn wait_for_shutdown(
        mut self,
        on_hangup: impl Fn(),
        failed: impl Future<Output = Error>,
    ) -> Option<Error> {
        let mut failed = std::pin::pin!(failed);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return None,
                _ = self.interrupt.recv() => return None,
                _ = self.hangup.recv() => on_hangup(),
                error = &mut failed => {
                    log::error!("the daemon must end: {error}");
                    return Some(error);
                }
            }
        }
    }
}

/// Reads a file to determine its kind. Bytes that are not UTF-8 are replaced; the parser of that kind reports them.
fn read_text(file: &Path) -> eyre::Result<String> {
    let text = std::fs::read(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

fn check(file: &Path) -> eyre::Result<ExitCode> {
    let text = read_text(file)?;
    // A malformed file cannot be parsed, so fields that only one kind has determine the kind.
    if RelaySettings::recognizes(&text) {
        RelaySettings::read(file)?;
    } else if text.contains("\"listen\"") {
        DaemonSettings::read(file)?;
    } else {
        declaration::check(file)?;
    }
    println!("{}: ok", file.display());
    Ok(ExitCode::SUCCESS)
}
