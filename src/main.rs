//! Command line of foxtailhill.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::WrapErr;
use foxtailhill::faults::TaskFaults;
use foxtailhill::op::{OpArgs, OpExit};
use foxtailhill::settings::{DaemonSettings, LogSettings, RelaySettings};
use foxtailhill::{Error, admin, daemon, declaration, logging, op};
use futures_util::FutureExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for a refused command or bad input.
const EXIT_REFUSED: u8 = 1;
/// Exit code of a daemon that ended because of a fault of its own, so that it is started again.
const EXIT_FAILED: u8 = 70;
/// Exit code of a process whose main task panicked, which is that of Rust's runtime.
const EXIT_PANICKED: u8 = 101;

const SIGTERM: &str = "SIGTERM";
const SIGINT: &str = "SIGINT";
const SIGHUP: &str = "SIGHUP";

/// Longest time for which settings that cannot be used are read again at the start.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two attempts to read the settings.
const SETTINGS_PAUSE: Duration = Duration::from_millis(25);
/// Longest wait for blocking calls of the runtime at the end of the process.
const RUNTIME_STOP_TIMEOUT: Duration = Duration::from_secs(1);

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
        MainCommand::Serve(args) => run_daemon(&args.settings),
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

/// Runs a daemon to its end, and logs its start and why it ended.
fn run_daemon(file: &Path) -> eyre::Result<ExitCode> {
    let runtime = single_thread_runtime()?;
    // A signal without a handler ends the process, so that the handlers come before all that takes time.
    let signals = runtime.block_on(async { DaemonSignals::open() })?;
    let (settings, first_error) = match read_settings(file) {
        Ok(settings) => (Ok(settings), None),
        Err(error) => {
            let again = read_settings_again(file);
            (again, Some(error))
        }
    };
    let log_settings = match &settings {
        Ok(ServeSettings::Relay(settings)) => settings.log.clone(),
        Ok(ServeSettings::Product(settings)) => settings.log.clone(),
        Err(_) => LogSettings::default(),
    };
    let guard = logging::init(&log_settings)?;
    log_start();
    if let (Ok(_), Some(error)) = (&settings, first_error) {
        log::warn!("the settings could be read at a later attempt only: {error:#}");
    }
    let run = AssertUnwindSafe(|| match settings? {
        ServeSettings::Relay(settings) => {
            let end = runtime.block_on(serve_relay(*settings, file, signals));
            runtime.shutdown_timeout(RUNTIME_STOP_TIMEOUT);
            end
        }
        ServeSettings::Product(settings) => {
            let workers = multi_thread_runtime()?;
            let end = workers.block_on(serve(*settings, file, signals));
            workers.shutdown_timeout(RUNTIME_STOP_TIMEOUT);
            end
        }
    });
    let end = match std::panic::catch_unwind(run) {
        Ok(Ok(end)) => end,
        Ok(Err(report)) => {
            eprintln!("foxtailhill: {report:#}");
            ProcessEnd::Refused(format!("{report:#}"))
        }
        Err(_) => ProcessEnd::Panicked,
    };
    guard.prepare_end();
    end.log();
    Ok(ExitCode::from(end.code()))
}

/// Logs the program's version, its process id and the limits of the system.
fn log_start() {
    let files = daemon::open_files_limit();
    log::info!(
        "starting version {}, process {}, limit of open files {}, {} cores",
        env!("CARGO_PKG_VERSION"),
        std::process::id(),
        files.map_or("unknown".into(), |files| files.to_string()),
        std::thread::available_parallelism().map_or(1, usize::from),
    );
}

/// Variable that may be `true` in the place of the setting `bootstrap`.
const BOOTSTRAP_VARIABLE: &str = "FOXTAILHILL_BOOTSTRAP";

/// Why a daemon's process ends.
enum ProcessEnd {
    /// A signal of this name, after the shutdown.
    Signal(&'static str),
    /// A fault of the process itself.
    Fault(Error),
    /// It could not start.
    Refused(String),
    /// The main task panicked.
    Panicked,
}

impl ProcessEnd {
    fn code(&self) -> u8 {
        match self {
            Self::Signal(_) => 0,
            Self::Fault(_) => EXIT_FAILED,
            Self::Refused(_) => EXIT_REFUSED,
            Self::Panicked => EXIT_PANICKED,
        }
    }

    fn log(&self) {
        let code = self.code();
        match self {
            Self::Signal(name) => log::info!("ending with exit code {code} after {name}"),
            Self::Fault(error) => log::error!("ending with exit code {code}: {error}"),
            Self::Refused(cause) => log::error!("ending with exit code {code}: {cause}"),
            Self::Panicked => log::error!("ending with exit code {code}: the main task panicked"),
        }
    }
}

/// The settings of a daemon.
enum ServeSettings {
    Relay(Box<RelaySettings>),
    Product(Box<DaemonSettings>),
}

fn read_settings(file: &Path) -> eyre::Result<ServeSettings> {
    Ok(match RelaySettings::recognizes(&read_text(file)?) {
        true => ServeSettings::Relay(Box::new(read_relay_settings(file)?)),
        false => ServeSettings::Product(Box::new(DaemonSettings::read(file)?)),
    })
}

fn read_relay_settings(file: &Path) -> foxtailhill::Result<RelaySettings> {
    let mut settings = RelaySettings::read(file)?;
    settings.bootstrap |= std::env::var_os(BOOTSTRAP_VARIABLE).is_some_and(|text| text == "true");
    Ok(settings)
}

/// Reads settings that cannot be used a few times more, as the file may be in the middle of being replaced.
fn read_settings_again(file: &Path) -> eyre::Result<ServeSettings> {
    let end = Instant::now() + SETTINGS_TIMEOUT;
    loop {
        std::thread::sleep(SETTINGS_PAUSE);
        let read = read_settings(file);
        if read.is_ok() || Instant::now() >= end {
            return read;
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

async fn serve(
    settings: DaemonSettings,
    file: &Path,
    mut signals: DaemonSignals,
) -> eyre::Result<ProcessEnd> {
    let on_hangup = || log_settings_change(&settings, DaemonSettings::read(file));
    let opened = daemon::open(settings.clone());
    let daemon = match signals.wait_while(&on_hangup, opened).await {
        Ok(opened) => opened?,
        Err(name) => return Ok(ProcessEnd::Signal(name)),
    };
    let faults = daemon.faults().clone();
    let stopped = signals.wait_while(&on_hangup, faults.ended()).await;
    log_stop(&stopped);
    signals.log_during(daemon.shutdown()).await;
    Ok(process_end(stopped, &faults))
}

async fn serve_relay(
    settings: RelaySettings,
    file: &Path,
    mut signals: DaemonSignals,
) -> eyre::Result<ProcessEnd> {
    let on_hangup = || log_settings_change(&settings, read_relay_settings(file));
    let opened = daemon::open_relay(settings.clone());
    let daemon = match signals.wait_while(&on_hangup, opened).await {
        Ok(opened) => opened?,
        Err(name) => return Ok(ProcessEnd::Signal(name)),
    };
    let faults = daemon.faults().clone();
    let stopped = signals.wait_while(&on_hangup, faults.ended()).await;
    log_stop(&stopped);
    signals.log_during(daemon.shutdown()).await;
    Ok(process_end(stopped, &faults))
}

/// Logs why a daemon is shut down: a fault, or a signal.
fn log_stop(stopped: &Result<Error, &'static str>) {
    match stopped {
        Ok(error) => log::error!("the daemon must end: {error}"),
        Err(name) => log::info!("received {name}"),
    }
}

/// Returns why a daemon has ended that was shut down because of `stopped`. A fault during the shutdown counts too.
fn process_end(stopped: Result<Error, &'static str>, faults: &TaskFaults) -> ProcessEnd {
    match (stopped, faults.ended().now_or_never()) {
        (Ok(error), _) | (Err(_), Some(error)) => ProcessEnd::Fault(error),
        (Err(name), None) => ProcessEnd::Signal(name),
    }
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

    /// Runs `work` to its end, and calls `on_hangup` for each SIGHUP.
    ///
    /// # Errors
    ///
    /// The name of the signal if SIGTERM or SIGINT arrives first; `work` is dropped then.
    async fn wait_while<T>(
        &mut self,
        on_hangup: impl Fn(),
        work: impl Future<Output = T>,
    ) -> Result<T, &'static str> {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return Err(SIGTERM),
                _ = self.interrupt.recv() => return Err(SIGINT),
                _ = self.hangup.recv() => on_hangup(),
                done = &mut work => return Ok(done),
            }
        }
    }

    /// Runs the shutdown to its end. Further signals change nothing, as the drain time bounds it.
    async fn log_during(&mut self, shutdown: impl Future<Output = ()>) {
        let mut shutdown = std::pin::pin!(shutdown);
        loop {
            let name = tokio::select! {
                _ = self.terminate.recv() => SIGTERM,
                _ = self.interrupt.recv() => SIGINT,
                _ = self.hangup.recv() => SIGHUP,
                () = &mut shutdown => return,
            };
            log::info!("received {name} during the shutdown, which goes on");
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
