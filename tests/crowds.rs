//! Crowds of clients that do not behave, at daemon processes of both editions. Crowds, settings and bounds are fixed: the
//! memory of the machine follows from the settings, and a small crowd exceeds a limit because the settings lower it.
//!
//! Each test checks that the process lives, stays within its machine's memory, and answers an ordinary request while the crowd
//! is there and after it has left.

mod crowd_support;
#[allow(dead_code, reason = "shared with the soak")]
#[path = "soak/server.rs"]
mod server;
#[allow(dead_code, reason = "shared with the soak")]
#[path = "soak/store.rs"]
mod store;

use std::sync::Arc;

use crowd_support::daemon::KEY;
use crowd_support::http2::{StreamSending, open_streams};
use crowd_support::sending::{ClientRequest, Sending};
use crowd_support::{ClientCrowd, CrowdDaemon, Edition};
use eyre::ensure;
use serde_json::{Value, json};
use tokio::sync::Mutex;

/// Memory for bodies in the settings of most tests. It is a quarter of that of the machine.
const HELD_MIB: u64 = 16;
/// Resident memory that a process with [`HELD_MIB`] may have.
const MACHINE_MB: u64 = 4 * HELD_MIB;
/// Resident memory that a process with the default settings may have, whose account is 64 MiB.
const DEFAULT_MACHINE_MB: u64 = 256;

/// Clients whose bodies are six times the account together.
const BODY_CLIENTS: usize = 96;
const BODY_BYTES: usize = 1 << 20;
/// Bytes that a client sends over the limit on bodies.
const OVERSIZE_BYTES: usize = 8 << 20;
/// Clients of a small body each, whose connections and tasks would fill the machine's memory.
const CONNECTED_CLIENTS: usize = 4_000;
/// Size of a body that is small and legal.
const SMALL_BYTES: usize = 500;
/// Requests in flight, or connections, in the settings of tests that exhaust them, and the clients that do.
const FEW: usize = 32;
const MANY: usize = 96;
/// Clients that exceed the default number of requests in flight, which is 4,096.
const IN_FLIGHT_CLIENTS: usize = 4_500;
/// Connections and streams of HTTP/2 clients.
const STREAM_CLIENTS: usize = 24;
const STREAMS: usize = 1_000;
/// Open files of a process under a crowd of [`MANY`] clients at each address: those of the crowd, the side listeners, and what
/// the daemon needs itself.
const MAX_DESCRIPTORS: usize = 512;
/// Lines that a process may log about a crowd, however many requests of it are refused.
const MAX_LOGGED_LINES: usize = 200;

/// The tests run one at a time, as each measures a process under load.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

fn lowered() -> Value {
    json!({"limits": {"held_bytes": format!("{HELD_MIB}MiB")}, "log": {"level": "warn"}})
}

/// Settings with few places for requests or connections. Slow clients may stay for as long as the test lasts.
fn few(limit: &str) -> Value {
    json!({
        "limits": {
            limit: FEW, "held_bytes": format!("{HELD_MIB}MiB"), "header_time": "10min", "body_time": "10min",
            "idle_time": "10min", "write_time": "10min",
        },
        "log": {"level": "warn"},
    })
}

fn crowd(
    daemon: &CrowdDaemon,
    count: usize,
    sending: Sending,
    key: Option<&'static str>,
) -> ClientCrowd {
    let edition = daemon.edition;
    let head = move |number: usize| {
        let id = format!("crowd-{number}-{}", rand::random::<u64>());
        crowd_support::daemon::head(edition, &id, key)
    };
    let request = ClientRequest {
        head: Arc::new(head),
        sending,
    };
    ClientCrowd::spawn(
        daemon.addresses.caller,
        count,
        move |address, number, started| request.clone().run(address, number, started),
    )
}

/// Lets a crowd send to a new daemon, and checks what must hold.
async fn check(
    edition: Edition,
    settings: Value,
    machine_mb: u64,
    spawn: impl FnOnce(&CrowdDaemon) -> ClientCrowd,
) -> eyre::Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = CrowdDaemon::start(edition, settings).await?;
    let crowd = spawn(&daemon);
    crowd.settle(&mut daemon).await?;
    let descriptors = daemon.descriptors()?;
    daemon.ensure_serves("beside the crowd").await?;
    crowd.leave().await;
    daemon.ensure_serves("after the crowd").await?;
    let peak_mb = daemon.peak_memory_mb()?;
    println!("{edition:?}: peak {peak_mb} MB of {machine_mb}, {descriptors} descriptors");
    ensure!(peak_mb <= machine_mb, "{edition:?}: {peak_mb} MB");
    daemon.shutdown().await;
    Ok(())
}

async fn check_bodies(edition: Edition, sending: Sending) -> eyre::Result<()> {
    check(edition, lowered(), MACHINE_MB, |daemon| {
        crowd(daemon, BODY_CLIENTS, sending, Some(KEY))
    })
    .await
}

async fn whole_sized_bodies(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::WholeSized(BODY_BYTES)).await
}

async fn sized_bodies_in_pieces(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::PiecesSized(BODY_BYTES)).await
}

async fn bodies_in_large_chunks(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::LargeChunks(BODY_BYTES)).await
}

async fn bodies_in_tiny_chunks(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::TinyChunks(BODY_BYTES)).await
}

async fn announced_oversize_bodies(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::AnnouncedOversize(OVERSIZE_BYTES)).await
}

async fn sent_oversize_bodies(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::SentOversize(OVERSIZE_BYTES)).await
}

async fn endless_headers(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::EndlessHeaders).await
}

async fn endless_trailers(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::EndlessTrailers).await
}

async fn long_chunk_extensions(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::LongExtensions).await
}

async fn answers_that_nobody_reads(edition: Edition) -> eyre::Result<()> {
    check_bodies(edition, Sending::Unread(SMALL_BYTES)).await
}

/// Guards against a crowd without a valid key that holds what callers with a key need.
async fn bodies_without_a_valid_key(edition: Edition) -> eyre::Result<()> {
    check(edition, lowered(), MACHINE_MB, |daemon| {
        crowd(
            daemon,
            BODY_CLIENTS,
            Sending::PiecesSized(BODY_BYTES),
            Some("no-key-of-anybody"),
        )
    })
    .await
}

/// Guards against memory that grows with connections and that no limit counts.
async fn connections_with_slow_bodies(edition: Edition) -> eyre::Result<()> {
    check(edition, lowered(), MACHINE_MB, |daemon| {
        crowd(
            daemon,
            CONNECTED_CLIENTS,
            Sending::DripSized(SMALL_BYTES),
            Some(KEY),
        )
    })
    .await
}

/// Guards against the same of connections whose heads are not complete.
async fn connections_with_slow_heads(edition: Edition) -> eyre::Result<()> {
    check(edition, lowered(), MACHINE_MB, |daemon| {
        crowd(daemon, CONNECTED_CLIENTS, Sending::DripHead, Some(KEY))
    })
    .await
}

/// Guards against slow bodies of one key that take all places of requests.
async fn slow_bodies_and_few_requests(edition: Edition) -> eyre::Result<()> {
    check(edition, few("in_flight"), MACHINE_MB, |daemon| {
        crowd(daemon, MANY, Sending::DripSized(SMALL_BYTES), Some(KEY))
    })
    .await
}

async fn slow_chunks_and_few_requests(edition: Edition) -> eyre::Result<()> {
    check(edition, few("in_flight"), MACHINE_MB, |daemon| {
        crowd(daemon, MANY, Sending::DripChunks, Some(KEY))
    })
    .await
}

/// Guards against clients that take all connections: with slow bodies, slow heads, or nothing at all.
async fn slow_bodies_and_few_connections(edition: Edition) -> eyre::Result<()> {
    check(edition, few("connections"), MACHINE_MB, |daemon| {
        crowd(daemon, MANY, Sending::DripSized(SMALL_BYTES), Some(KEY))
    })
    .await
}

async fn slow_heads_and_few_connections(edition: Edition) -> eyre::Result<()> {
    check(edition, few("connections"), MACHINE_MB, |daemon| {
        crowd(daemon, MANY, Sending::DripHead, Some(KEY))
    })
    .await
}

async fn idle_clients_and_few_connections(edition: Edition) -> eyre::Result<()> {
    check(edition, few("connections"), MACHINE_MB, |daemon| {
        crowd(daemon, MANY, Sending::Connect, Some(KEY))
    })
    .await
}

async fn unread_answers_and_few_connections(edition: Edition) -> eyre::Result<()> {
    check(edition, few("connections"), MACHINE_MB, |daemon| {
        crowd(daemon, MANY, Sending::Unread(SMALL_BYTES), Some(KEY))
    })
    .await
}

/// Guards against slow bodies of one key at the default settings.
async fn slow_bodies_at_the_default_settings(edition: Edition) -> eyre::Result<()> {
    check(
        edition,
        json!({"log": {"level": "warn"}}),
        DEFAULT_MACHINE_MB,
        |daemon| {
            crowd(
                daemon,
                IN_FLIGHT_CLIENTS,
                Sending::DripSized(SMALL_BYTES),
                Some(KEY),
            )
        },
    )
    .await
}

/// Guards against large bodies at the default settings, whose account they exceed.
async fn large_bodies_at_the_default_settings(edition: Edition) -> eyre::Result<()> {
    check(
        edition,
        json!({"log": {"level": "warn"}}),
        DEFAULT_MACHINE_MB,
        |daemon| {
            crowd(
                daemon,
                4 * BODY_CLIENTS,
                Sending::WholeSized(BODY_BYTES),
                Some(KEY),
            )
        },
    )
    .await
}

/// Guards against streams of HTTP/2, which cost memory without a connection of their own.
async fn streams_with_open_bodies(edition: Edition) -> eyre::Result<()> {
    check_streams(edition, StreamSending::OpenBody).await
}

/// Guards against answers that wait in HTTP/2 streams whose client gives them no window.
async fn streams_with_unread_answers(edition: Edition) -> eyre::Result<()> {
    check_streams(edition, StreamSending::UnreadAnswer).await
}

async fn check_streams(edition: Edition, sending: StreamSending) -> eyre::Result<()> {
    check(edition, lowered(), MACHINE_MB, |daemon| {
        ClientCrowd::spawn(
            daemon.addresses.caller,
            STREAM_CLIENTS,
            move |address, number, started| {
                open_streams(edition, address, number, STREAMS, sending, started)
            },
        )
    })
    .await
}

/// All kinds of clients at once.
async fn a_mix_of_all_kinds(edition: Edition) -> eyre::Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = CrowdDaemon::start(edition, lowered()).await?;
    let kinds = [
        Sending::WholeSized(BODY_BYTES),
        Sending::PiecesSized(BODY_BYTES),
        Sending::LargeChunks(BODY_BYTES),
        Sending::TinyChunks(BODY_BYTES),
        Sending::AnnouncedOversize(OVERSIZE_BYTES),
        Sending::SentOversize(OVERSIZE_BYTES),
        Sending::DripSized(SMALL_BYTES),
        Sending::DripChunks,
        Sending::DripHead,
        Sending::Connect,
        Sending::EndlessHeaders,
        Sending::EndlessTrailers,
        Sending::LongExtensions,
        Sending::Unread(SMALL_BYTES),
    ];
    let crowds: Vec<ClientCrowd> = kinds
        .into_iter()
        .map(|sending| crowd(&daemon, FEW, sending, Some(KEY)))
        .collect();
    for crowd in &crowds {
        crowd.settle(&mut daemon).await?;
    }
    daemon.ensure_serves("beside the crowd").await?;
    for crowd in crowds {
        crowd.leave().await;
    }
    daemon.ensure_serves("after the crowd").await?;
    let peak_mb = daemon.peak_memory_mb()?;
    println!("{edition:?}: peak {peak_mb} MB");
    ensure!(peak_mb <= MACHINE_MB, "{edition:?}: {peak_mb} MB");
    daemon.shutdown().await;
    Ok(())
}

/// Guards against a process that a crowd keeps from ending after SIGTERM.
async fn a_stop_in_the_middle_of_a_crowd(edition: Edition) -> eyre::Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let settings = json!({
        "limits": {
            "held_bytes": format!("{HELD_MIB}MiB"), "header_time": "10min", "body_time": "10min",
            "idle_time": "10min", "write_time": "10min",
        },
        "timing": {"balancer_lag": "200ms", "drain": "20s"},
        "log": {"level": "warn"},
    });
    let mut daemon = CrowdDaemon::start(edition, settings).await?;
    let kinds = [
        Sending::DripSized(SMALL_BYTES),
        Sending::PiecesSized(BODY_BYTES),
        Sending::DripHead,
        Sending::Connect,
        Sending::Unread(SMALL_BYTES),
    ];
    let crowds: Vec<ClientCrowd> = kinds
        .into_iter()
        .map(|sending| crowd(&daemon, FEW, sending, Some(KEY)))
        .collect();
    for crowd in &crowds {
        crowd.settle(&mut daemon).await?;
    }
    daemon.terminate()?;
    let status = daemon.wait_exit().await?;
    for crowd in crowds {
        crowd.leave().await;
    }
    ensure!(status.success(), "{edition:?}: {status}");
    daemon.shutdown().await;
    Ok(())
}

/// Guards against a crowd that fills the log, in which the lines of ordinary requests are then dropped.
async fn refused_crowds_log_little(edition: Edition) -> eyre::Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let settings = json!({"limits": {"held_bytes": "2MiB"}, "log": {"level": "info"}});
    let mut daemon = CrowdDaemon::start(edition, settings).await?;
    let before = daemon.logged_lines()?;
    let crowds = [
        crowd(
            &daemon,
            BODY_CLIENTS,
            Sending::WholeSized(BODY_BYTES),
            Some(KEY),
        ),
        crowd(
            &daemon,
            BODY_CLIENTS,
            Sending::AnnouncedOversize(OVERSIZE_BYTES),
            Some(KEY),
        ),
        crowd(
            &daemon,
            BODY_CLIENTS,
            Sending::WholeSized(SMALL_BYTES),
            Some("no-key-of-anybody"),
        ),
    ];
    for crowd in &crowds {
        crowd.settle(&mut daemon).await?;
    }
    for crowd in crowds {
        crowd.leave().await;
    }
    daemon.ensure_serves("after the crowd").await?;
    let lines = daemon.logged_lines()? - before;
    println!("{edition:?}: {lines} lines");
    ensure!(lines <= MAX_LOGGED_LINES, "{edition:?}: {lines} lines");
    daemon.shutdown().await;
    Ok(())
}

/// Guards against clients that take the descriptors of the process, or all connections, at an address beside that for callers.
async fn clients_at_every_address(edition: Edition) -> eyre::Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = CrowdDaemon::start(edition, few("connections")).await?;
    let addresses = daemon.addresses;
    let others = [
        Some(addresses.admin),
        Some(addresses.ready),
        addresses.operator,
    ];
    let mut crowds = Vec::new();
    for address in others.into_iter().flatten() {
        for sending in [Sending::Connect, Sending::DripHead] {
            let request = ClientRequest {
                head: Arc::new(move |_| "GET /livez HTTP/1.1\r\nHost: x\r\n".to_owned()),
                sending,
            };
            crowds.push(ClientCrowd::spawn(
                address,
                MANY,
                move |address, number, started| request.clone().run(address, number, started),
            ));
        }
    }
    for crowd in &crowds {
        crowd.settle(&mut daemon).await?;
    }
    let descriptors = daemon.descriptors()?;
    println!("{edition:?}: {descriptors} descriptors");
    let ready_path = match edition {
        Edition::Relay => "/api/ready",
        Edition::Product => "/readyz",
    };
    daemon.ensure_answers(addresses.ready, ready_path).await?;
    daemon.ensure_answers(addresses.admin, "/metrics").await?;
    if edition == Edition::Product {
        daemon.ensure_operators_are_served().await?;
    }
    daemon.ensure_serves("beside the crowd").await?;
    for crowd in crowds {
        crowd.leave().await;
    }
    ensure!(
        descriptors <= MAX_DESCRIPTORS,
        "{edition:?}: {descriptors} descriptors"
    );
    daemon.shutdown().await;
    Ok(())
}

macro_rules! on_both_editions {
    ($($check:ident,)*) => {
        mod relay {
            use super::*;
            $(
                #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
                async fn $check() -> eyre::Result<()> {
                    super::$check(Edition::Relay).await
                }
            )*
        }

        mod product {
            use super::*;
            $(
                #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
                async fn $check() -> eyre::Result<()> {
                    super::$check(Edition::Product).await
                }
            )*
        }
    };
}

on_both_editions!(
    whole_sized_bodies,
    sized_bodies_in_pieces,
    bodies_in_large_chunks,
    bodies_in_tiny_chunks,
    announced_oversize_bodies,
    sent_oversize_bodies,
    endless_headers,
    endless_trailers,
    long_chunk_extensions,
    answers_that_nobody_reads,
    bodies_without_a_valid_key,
    connections_with_slow_bodies,
    connections_with_slow_heads,
    slow_bodies_and_few_requests,
    slow_chunks_and_few_requests,
    slow_bodies_and_few_connections,
    slow_heads_and_few_connections,
    idle_clients_and_few_connections,
    unread_answers_and_few_connections,
    slow_bodies_at_the_default_settings,
    large_bodies_at_the_default_settings,
    streams_with_open_bodies,
    streams_with_unread_answers,
    a_mix_of_all_kinds,
    a_stop_in_the_middle_of_a_crowd,
    refused_crowds_log_little,
    clients_at_every_address,
);
