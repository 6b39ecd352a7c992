//! Crowds at the addresses for other daemons, which everybody who reaches them may send to.

mod crowd_support;
#[allow(dead_code, reason = "shared with the soak")]
#[path = "soak/server.rs"]
mod server;
#[allow(dead_code, reason = "shared with the soak")]
#[path = "soak/store.rs"]
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crowd_support::{ClientCrowd, CrowdDaemon, Edition, WAIT_TIMEOUT};
use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::peer::{PeerCaller, PeerClient, PeerReply, PeerRequest};
use http::Request;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Mutex;

/// Memory for bodies in the settings. It is a quarter of that of the machine.
const HELD_MIB: u64 = 16;
const MACHINE_MB: u64 = 4 * HELD_MIB;
/// Connections that are idle after the preface, more than a daemon has for its peers.
const IDLE_CONNECTIONS: usize = 700;
/// Connections whose calls have bodies that stop before their end, and the calls of each. They are 512 MiB together.
const BODY_CONNECTIONS: usize = 32;
const CALLS: usize = 16;
/// Longest body of a call, less a few bytes.
const BODY_BYTES: usize = (1 << 20) - 10;
const PIECE_BYTES: usize = 16 << 10;
/// Datagrams with a forged content.
const DATAGRAMS: usize = 20_000;
const MAX_DATAGRAM_BYTES: usize = 512;

/// The tests run one at a time, as each measures a process under load.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

fn settings() -> Value {
    json!({"limits": {"held_bytes": format!("{HELD_MIB}MiB")}, "log": {"level": "warn"}})
}

/// Opens `calls` calls with incomplete bodies on one connection and stays until the daemon closes it.
async fn open_calls(
    address: SocketAddr,
    calls: usize,
    started: Arc<AtomicUsize>,
) -> eyre::Result<()> {
    let stream = TcpStream::connect(address).await?;
    let (client, connection) = h2::client::handshake(stream).await?;
    let mut connection = tokio::spawn(connection);
    started.fetch_add(1, Ordering::Relaxed);
    let open = async {
        let mut client = client;
        let mut bodies = Vec::new();
        for _ in 0..calls {
            client = client.ready().await?;
            let request = Request::post("http://peer/peer").body(())?;
            let (answer, body) = client.send_request(request, false)?;
            bodies.push((answer, body));
        }
        for _ in 0..BODY_BYTES / PIECE_BYTES {
            for (_, body) in &mut bodies {
                body.reserve_capacity(PIECE_BYTES);
                while body.capacity() < PIECE_BYTES {
                    let capacity = std::future::poll_fn(|cx| body.poll_capacity(cx)).await;
                    capacity.ok_or_else(|| eyre::eyre!("closed"))??;
                }
                body.send_data(Bytes::from(vec![0; PIECE_BYTES]), false)?;
            }
        }
        std::future::pending::<()>().await;
        eyre::Ok(())
    };
    let ended = tokio::select! {
        result = open => result,
        _ = &mut connection => Ok(()),
    };
    connection.abort();
    ended
}

/// Checks that a peer that connects anew is answered.
async fn ensure_peers_are_served(daemon: &mut CrowdDaemon) -> eyre::Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let group = TaskGroup::new();
        let client = PeerClient::open(&group);
        let request = PeerRequest::Suspects(Vec::new());
        let reply = client.call(daemon.addresses.peer, request, Duration::from_secs(2));
        let reply = reply.await;
        group.shutdown().await;
        daemon.ensure_alive()?;
        match reply {
            Ok(PeerReply::Done) => return Ok(()),
            reply => ensure!(Instant::now() < end, "peers are not served: {reply:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn check(edition: Edition, connections: usize, calls: usize) -> eyre::Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut daemon = CrowdDaemon::start(edition, settings()).await?;
    let peer = daemon.addresses.peer;
    let crowd = ClientCrowd::spawn(peer, connections, move |address, _, started| async move {
        // Errors mean that the daemon has closed the connection, which ends the client's stay.
        let _ = open_calls(address, calls, started).await;
    });
    crowd.settle(&mut daemon).await?;
    ensure_peers_are_served(&mut daemon).await?;
    daemon.ensure_serves("beside the crowd").await?;
    crowd.leave().await;
    let peak_mb = daemon.peak_memory_mb()?;
    println!("{edition:?}: peak {peak_mb} MB of {MACHINE_MB}");
    ensure!(peak_mb <= MACHINE_MB, "{edition:?}: {peak_mb} MB");
    daemon.shutdown().await;
    Ok(())
}

/// Guards against idle connections that shut out the other daemons.
async fn idle_connections(edition: Edition) -> eyre::Result<()> {
    check(edition, IDLE_CONNECTIONS, 0).await
}

/// Guards against calls whose bodies are held without a bound on all of them.
async fn bodies_that_stop(edition: Edition) -> eyre::Result<()> {
    check(edition, BODY_CONNECTIONS, CALLS).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_serves_peers_beside_idle_connections() -> eyre::Result<()> {
    idle_connections(Edition::Relay).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn product_serves_peers_beside_idle_connections() -> eyre::Result<()> {
    idle_connections(Edition::Product).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_bounds_the_bodies_of_calls() -> eyre::Result<()> {
    bodies_that_stop(Edition::Relay).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn product_bounds_the_bodies_of_calls() -> eyre::Result<()> {
    bodies_that_stop(Edition::Product).await
}

/// Guards against datagrams whose lengths are forged, so that decoding them takes memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_datagrams_cost_no_memory() -> eyre::Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let seed = 48;
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut daemon = CrowdDaemon::start(Edition::Relay, settings()).await?;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    for number in 0..DATAGRAMS {
        let mut datagram: Vec<u8> = (0..random.random_range(1..MAX_DATAGRAM_BYTES))
            .map(|_| random.random_range(0..8))
            .collect();
        datagram[0] = random.random_range(0..3);
        // Marks of integers of 4 and 8 bytes, which follow: lengths far beyond the datagram.
        for _ in 0..random.random_range(1..4) {
            let at = random.random_range(0..datagram.len());
            datagram[at] = random.random_range(251..=253);
        }
        // A full buffer of the receiver drops datagrams, which does not matter.
        let _ = socket.send_to(&datagram, daemon.addresses.peer).await;
        if number % 100 == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    daemon.ensure_serves("after the datagrams").await?;
    let peak_mb = daemon.peak_memory_mb()?;
    println!("peak {peak_mb} MB of {MACHINE_MB}");
    ensure!(peak_mb <= MACHINE_MB, "{peak_mb} MB");
    daemon.shutdown().await;
    Ok(())
}
