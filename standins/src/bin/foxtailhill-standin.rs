//! Runs one stand-in as a process. Prints `{"address": "…"}` on standard output once it accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use foxtailhill_standins::balancer::{BalancerOptions, BalancerStandin, BalancerTarget};
use foxtailhill_standins::engine::{EngineOptions, EngineStandin};
use foxtailhill_standins::proxy::{FaultProxy, LinkOptions};
use foxtailhill_standins::service::{ServiceOptions, ServiceStandin};
use foxtailhill_standins::stream_log::{LogOptions, LogStandin};
use foxtailhill_standins::vm_list::{VmListControl, VmListOptions, VmListStandin};
use foxtailhill_standins::weight_store::{WeightStoreOptions, WeightStoreStandin};
use serde_json::json;

/// Stand-ins of the platform and of backend servers.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Log(LogArguments),
    Weights(WeightsArguments),
    Vms(VmsArguments),
    Engine(EngineArguments),
    Service(ServiceArguments),
    Balancer(BalancerArguments),
    Proxy(ProxyArguments),
    Serve(ServeArguments),
}

/// The append-only log.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArguments {
    /// address to bind
    #[argh(option, default = "foxtailhill_standins::any_port()")]
    bind: SocketAddr,
    /// appends per second over all streams
    #[argh(option, default = "400.0")]
    appends_per_s: f64,
    /// records that each stream keeps
    #[argh(option)]
    max_records: Option<usize>,
    /// age in seconds at which records are removed
    #[argh(option)]
    max_age_s: Option<u64>,
}

/// The weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
struct WeightsArguments {
    /// address to bind
    #[argh(option, default = "foxtailhill_standins::any_port()")]
    bind: SocketAddr,
    /// loads that may start per second
    #[argh(option, default = "1.5")]
    loads_per_s: f64,
    /// loads in flight at full speed
    #[argh(option, default = "7")]
    full_speed_loads: u32,
    /// adapter loads in flight at full speed
    #[argh(option, default = "55")]
    full_speed_adapters: u32,
    /// factor on all times
    #[argh(option, default = "1.0")]
    time_scale: f64,
}

/// The VM list; entries are added through the control endpoints.
#[derive(FromArgs)]
#[argh(subcommand, name = "vms")]
struct VmsArguments {
    /// address to bind
    #[argh(option, default = "foxtailhill_standins::any_port()")]
    bind: SocketAddr,
    /// delay in milliseconds until a change becomes visible
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address to bind
    #[argh(option, default = "foxtailhill_standins::any_port()")]
    bind: SocketAddr,
    /// accelerator memory in bytes
    #[argh(option, default = "80 << 30")]
    memory_bytes: u64,
    /// requests batched at once
    #[argh(option, default = "16")]
    slots: usize,
    /// address of the weight store
    #[argh(option)]
    weight_store: Option<SocketAddr>,
    /// factor on all times
    #[argh(option, default = "1.0")]
    time_scale: f64,
    /// ignore fencing numbers
    #[argh(switch)]
    ignore_fencing: bool,
    /// do not keep received requests
    #[argh(switch)]
    forget_received: bool,
}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArguments {
    /// address to bind
    #[argh(option, default = "foxtailhill_standins::any_port()")]
    bind: SocketAddr,
    /// duration of a call in milliseconds
    #[argh(option, default = "0")]
    delay_ms: u64,
    /// do not keep received requests
    #[argh(switch)]
    forget_received: bool,
}

/// The balancer. It also prints its control address.
#[derive(FromArgs)]
#[argh(subcommand, name = "balancer")]
struct BalancerArguments {
    /// address to bind for callers
    #[argh(option, default = "foxtailhill_standins::any_port()")]
    bind: SocketAddr,
    /// address to bind for control calls
    #[argh(option, default = "foxtailhill_standins::any_port()")]
    control_bind: SocketAddr,
    /// path of the readiness check
    #[argh(option, default = "\"/readyz\".to_owned()")]
    ready_path: String,
    /// caller address of an entry VM, or caller and admin address separated by a comma; repeatable
    #[argh(option, from_str_fn(parse_target))]
    target: Vec<BalancerTarget>,
}

/// The fault proxy. It prints its control address and the address of each listener.
#[derive(FromArgs)]
#[argh(subcommand, name = "proxy")]
struct ProxyArguments {
    /// address to bind for control calls
    #[argh(option, default = "foxtailhill_standins::any_port()")]
    control_bind: SocketAddr,
    /// listener as `from,to,bind,server`, with zones for `from` and `to`; repeatable
    #[argh(option, from_str_fn(parse_link))]
    link: Vec<LinkOptions>,
}

/// A placeholder for a daemon, which is ready at once and does nothing else; for tests of the test cluster.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArguments {
    /// settings file of a daemon
    #[argh(option)]
    settings: std::path::PathBuf,
}

fn parse_target(text: &str) -> Result<BalancerTarget, String> {
    let (caller, admin) = text
        .split_once(',')
        .map_or((text, None), |(caller, admin)| (caller, Some(admin)));
    Ok(BalancerTarget {
        caller: parse_address(caller)?,
        admin: admin.map(parse_address).transpose()?,
        weight: 1,
    })
}

fn parse_link(text: &str) -> Result<LinkOptions, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let [from, to, bind, server] = parts[..] else {
        return Err(format!("`{text}` is not `from,to,bind,server`"));
    };
    Ok(LinkOptions {
        bind: parse_address(bind)?,
        server: parse_address(server)?,
        to: to.into(),
        from: Some(from.into()),
    })
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|error| format!("`{text}`: {error}"))
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Log(arguments) => run_log(arguments).await,
        Command::Weights(arguments) => run_weights(arguments).await,
        Command::Vms(arguments) => run_vms(arguments).await,
        Command::Engine(arguments) => run_engine(arguments).await,
        Command::Service(arguments) => run_service(arguments).await,
        Command::Balancer(arguments) => run_balancer(arguments).await,
        Command::Proxy(arguments) => run_proxy(arguments).await,
        Command::Serve(arguments) => run_entry(arguments).await,
    }
}

async fn serve_until_stopped(address: SocketAddr) -> eyre::Result<()> {
    print_and_wait_for_stop(json!({"address": address})).await
}

/// Prints the line with the bound addresses and waits for SIGTERM or SIGINT.
async fn print_and_wait_for_stop(line: serde_json::Value) -> eyre::Result<()> {
    use std::io::Write;
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    drop(out);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn run_log(arguments: LogArguments) -> eyre::Result<()> {
    let log = LogStandin::open(LogOptions {
        bind: arguments.bind,
        appends_per_s: arguments.appends_per_s,
        max_records: arguments.max_records,
        max_age: arguments.max_age_s.map(Duration::from_secs),
    })
    .await?;
    serve_until_stopped(log.address()).await?;
    log.shutdown().await;
    Ok(())
}

async fn run_weights(arguments: WeightsArguments) -> eyre::Result<()> {
    let store = WeightStoreStandin::open(WeightStoreOptions {
        bind: arguments.bind,
        loads_per_s: arguments.loads_per_s,
        full_speed_loads: arguments.full_speed_loads,
        full_speed_adapters: arguments.full_speed_adapters,
        time_scale: arguments.time_scale,
        ..WeightStoreOptions::default()
    })
    .await?;
    serve_until_stopped(store.address()).await?;
    store.shutdown().await;
    Ok(())
}

async fn run_vms(arguments: VmsArguments) -> eyre::Result<()> {
    let list = VmListStandin::open(VmListOptions {
        bind: arguments.bind,
        entries: Vec::new(),
        control: VmListControl {
            lag_ms: arguments.lag_ms,
            down: false,
        },
    })
    .await?;
    serve_until_stopped(list.address()).await?;
    list.shutdown().await;
    Ok(())
}

async fn run_engine(arguments: EngineArguments) -> eyre::Result<()> {
    let engine = EngineStandin::open(EngineOptions {
        bind: arguments.bind,
        memory_bytes: arguments.memory_bytes,
        slots: arguments.slots,
        weight_store: arguments.weight_store,
        time_scale: arguments.time_scale,
        checks_fencing: !arguments.ignore_fencing,
        keep_received: !arguments.forget_received,
        exit_on_crash: true,
        ..EngineOptions::default()
    })
    .await?;
    serve_until_stopped(engine.address()).await?;
    engine.shutdown().await;
    Ok(())
}

async fn run_service(arguments: ServiceArguments) -> eyre::Result<()> {
    let service = ServiceStandin::open(ServiceOptions {
        bind: arguments.bind,
        delay: Duration::from_millis(arguments.delay_ms),
        exit_on_crash: true,
        keep_received: !arguments.forget_received,
    })
    .await?;
    serve_until_stopped(service.address()).await?;
    service.shutdown().await;
    Ok(())
}

async fn run_balancer(arguments: BalancerArguments) -> eyre::Result<()> {
    let balancer = BalancerStandin::open(BalancerOptions {
        bind: arguments.bind,
        control_bind: arguments.control_bind,
        targets: arguments.target,
        ready_path: arguments.ready_path,
        ..BalancerOptions::default()
    })
    .await?;
    let line = json!({"address": balancer.address(), "control": balancer.control_address()});
    print_and_wait_for_stop(line).await?;
    balancer.shutdown().await;
    Ok(())
}

async fn run_proxy(arguments: ProxyArguments) -> eyre::Result<()> {
    let proxy = FaultProxy::open(std::collections::HashMap::new());
    let mut links = Vec::new();
    for link in arguments.link {
        links.push(proxy.listen(link).await?);
    }
    let control = proxy.serve_control(arguments.control_bind).await?;
    print_and_wait_for_stop(json!({"address": control, "links": links})).await?;
    proxy.shutdown().await;
    Ok(())
}

async fn run_entry(arguments: ServeArguments) -> eyre::Result<()> {
    let settings: serde_json::Value = serde_json::from_slice(&std::fs::read(arguments.settings)?)?;
    let admin = serde_json::from_value(settings["listen"]["admin"].clone())?;
    // The plain service answers every path with status 200.
    let service = ServiceStandin::open(ServiceOptions {
        bind: admin,
        ..ServiceOptions::default()
    })
    .await?;
    serve_until_stopped(service.address()).await?;
    service.shutdown().await;
    Ok(())
}
