//! Calls between daemons: malformed input, slow peers, concurrency, reconnection and shutdown.

#![allow(
    clippy::unwrap_used,
    reason = "a broken test set-up fails by panicking"
)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::ids::{KeyDigest, LogOffset};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::peer::{
    MAX_REQUEST_BYTES, PeerCaller, PeerClient, PeerHandler, PeerReply, PeerRequest, PeerServer,
    SuspectNotice,
};
use foxtailhill::{Category, Error, Result};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Answers pushes with the offset sent, holds `FetchState` until released and refuses other requests.
#[derive(Default)]
struct TestHandler {
    started: Notify,
    open: AtomicUsize,
    release: Option<Semaphore>,
}

impl PeerHandler for TestHandler {
    async fn handle(&self, request: PeerRequest) -> Result<PeerReply> {
        match request {
            PeerRequest::PushConfig { first, .. } => Ok(PeerReply::Applied(first)),
            PeerRequest::FetchState => {
                self.open.fetch_add(1, Ordering::SeqCst);
                self.started.notify_one();
                if let Some(release) = &self.release {
                    release.acquire().await.unwrap().forget();
                }
                Ok(PeerReply::State(vec![7; 3 << 20]))
            }
            _ => Err(Error::new(Category::Overloaded, "test refusal")),
        }
    }
}

fn push_config(offset: u64, bytes: usize) -> PeerRequest {
    PeerRequest::PushConfig {
        first: LogOffset(offset),
        records: vec![vec![1; bytes]],
    }
}

fn held_handler() -> Arc<TestHandler> {
    Arc::new(TestHandler {
        release: Some(Semaphore::new(0)),
        ..TestHandler::default()
    })
}

async fn assert_answers(client: &PeerClient, peer: SocketAddr, offset: u64) {
    let reply = client
        .call(peer, push_config(offset, 10), WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(reply, PeerReply::Applied(LogOffset(offset)));
}

/// Guards against replies that reach the wrong call when a thousand calls share one connection.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_get_their_own_replies() {
    let group = TaskGroup::new();
    let server = PeerServer::bind(&group, ANY_PORT, Arc::new(TestHandler::default()))
        .await
        .unwrap();
    let client = PeerClient::open(&group);
    let calls = (0..1_000).map(|offset| {
        let client = client.clone();
        async move {
            let size = usize::try_from(offset % 50).unwrap() * 1_000;
            let reply = client
                .call(server.address(), push_config(offset, size), WAIT_TIMEOUT)
                .await;
            assert_eq!(reply.unwrap(), PeerReply::Applied(LogOffset(offset)));
        }
    });
    join_all(calls).await;
    group.shutdown().await;
}

/// Guards against lost error details and truncated replies: the handler's refusal must arrive with its category.
#[tokio::test]
async fn refusals_and_large_replies_arrive_whole() {
    let group = TaskGroup::new();
    let server = PeerServer::bind(&group, ANY_PORT, Arc::new(TestHandler::default()))
        .await
        .unwrap();
    let client = PeerClient::open(&group);
    let notice = SuspectNotice {
        fingerprint: KeyDigest([0; 32]),
        deaths: 1,
    };
    let refused = client
        .call(
            server.address(),
            PeerRequest::Suspects(vec![notice]),
            WAIT_TIMEOUT,
        )
        .await;
    assert_eq!(refused.unwrap_err().category(), Category::Overloaded);
    let state = client
        .call(server.address(), PeerRequest::FetchState, WAIT_TIMEOUT)
        .await;
    assert_eq!(state.unwrap(), PeerReply::State(vec![7; 3 << 20]));
    group.shutdown().await;
}

/// Sends raw bodies on one h2 connection, the first of which the server must refuse.
async fn send_raw_bodies(
    peer: SocketAddr,
    bodies: Vec<Bytes>,
) -> Vec<std::result::Result<u16, h2::Error>> {
    let socket = TcpStream::connect(peer).await.unwrap();
    let (sender, connection) = h2::client::handshake(socket).await.unwrap();
    let driver = tokio::spawn(connection);
    let mut statuses = Vec::new();
    for body in bodies {
        let mut sender = sender.clone().ready().await.unwrap();
        let head = http::Request::post(format!("http://{peer}/peer"))
            .body(())
            .unwrap();
        let (response, mut stream) = sender.send_request(head, false).unwrap();
        stream.send_data(body, true).unwrap();
        statuses.push(response.await.map(|response| response.status().as_u16()));
    }
    driver.abort();
    statuses
}

/// Guards against an oversized or malformed body that ends the connection or other calls.
#[tokio::test]
async fn bad_bodies_are_refused_without_effect_on_other_calls() {
    let group = TaskGroup::new();
    let server = PeerServer::bind(&group, ANY_PORT, Arc::new(TestHandler::default()))
        .await
        .unwrap();
    let good =
        bincode::serde::encode_to_vec(push_config(5, 1), bincode::config::standard()).unwrap();
    let oversized = push_config(5, MAX_REQUEST_BYTES + 1);
    let oversized = bincode::serde::encode_to_vec(oversized, bincode::config::standard()).unwrap();
    let mut trailing = good.clone();
    trailing.push(0);
    // A `PushConfig` whose record count claims 2^62 entries.
    let forged = [2, 0, 1, 253, 0, 0, 0, 0, 0, 0, 0, 64];
    let bodies = vec![
        Bytes::from(vec![0xff; 64]),
        Bytes::from(oversized),
        Bytes::copy_from_slice(&forged),
        Bytes::from(trailing),
        Bytes::new(),
        Bytes::from(good),
    ];
    let statuses = send_raw_bodies(server.address(), bodies).await;
    let last = statuses.len() - 1;
    for status in &statuses[..last] {
        assert!(matches!(status, Ok(400) | Err(_)), "{status:?}");
    }
    assert_eq!(*statuses[last].as_ref().unwrap(), 200);
    let client = PeerClient::open(&group);
    assert_answers(&client, server.address(), 6).await;
    group.shutdown().await;
}

/// Guards against connections that send no valid HTTP/2, or nothing, and block other peers.
#[tokio::test]
async fn malformed_and_silent_connections_do_not_block_others() {
    let group = TaskGroup::new();
    let server = PeerServer::bind(&group, ANY_PORT, Arc::new(TestHandler::default()))
        .await
        .unwrap();
    let silent = TcpStream::connect(server.address()).await.unwrap();
    let mut malformed = TcpStream::connect(server.address()).await.unwrap();
    malformed.write_all(&[0xa5; 4_096]).await.unwrap();
    let mut framed = TcpStream::connect(server.address()).await.unwrap();
    framed
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .await
        .unwrap();
    framed.write_all(&[0xff; 4_096]).await.unwrap();
    let client = PeerClient::open(&group);
    assert_answers(&client, server.address(), 1).await;
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(WAIT_TIMEOUT, malformed.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the malformed connection was left open");
    assert_answers(&client, server.address(), 2).await;
    drop(silent);
    group.shutdown().await;
}

/// Guards against a peer that accepts and never answers: the call ends at its deadline, other calls are answered.
#[tokio::test]
async fn call_to_a_silent_peer_ends_at_its_deadline() {
    let group = TaskGroup::new();
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let silent = listener.local_addr().unwrap();
    let server = PeerServer::bind(&group, ANY_PORT, Arc::new(TestHandler::default()))
        .await
        .unwrap();
    let client = PeerClient::open(&group);
    let late = client
        .call(silent, push_config(1, 1), Duration::from_millis(100))
        .await;
    assert_eq!(late.unwrap_err().category(), Category::Timeout);
    assert_answers(&client, server.address(), 2).await;
    group.shutdown().await;
}

/// Guards against one slow call that delays the other calls on the same connection.
#[tokio::test]
async fn a_slow_call_does_not_delay_others() {
    let group = TaskGroup::new();
    let handler = held_handler();
    let server = PeerServer::bind(&group, ANY_PORT, handler.clone())
        .await
        .unwrap();
    let client = PeerClient::open(&group);
    let slow = {
        let client = client.clone();
        tokio::spawn(async move {
            client
                .call(server.address(), PeerRequest::FetchState, WAIT_TIMEOUT)
                .await
        })
    };
    handler.started.notified().await;
    for offset in 0..100 {
        assert_answers(&client, server.address(), offset).await;
    }
    assert!(!slow.is_finished());
    handler.release.as_ref().unwrap().add_permits(1);
    assert!(slow.await.unwrap().is_ok());
    group.shutdown().await;
}

/// Guards against a client that keeps using the connection of a server that has restarted.
#[tokio::test]
async fn the_client_reconnects_after_the_server_restarted() {
    let first = TaskGroup::new();
    let server = PeerServer::bind(&first, ANY_PORT, Arc::new(TestHandler::default()))
        .await
        .unwrap();
    let address = server.address();
    let group = TaskGroup::new();
    let client = PeerClient::open(&group);
    assert_answers(&client, address, 1).await;
    first.shutdown().await;
    assert!(
        client
            .call(address, push_config(2, 1), WAIT_TIMEOUT)
            .await
            .is_err()
    );
    PeerServer::bind(&group, address, Arc::new(TestHandler::default()))
        .await
        .unwrap();
    let bound = Instant::now() + WAIT_TIMEOUT;
    while client
        .call(address, push_config(3, 1), WAIT_TIMEOUT)
        .await
        .is_err()
    {
        assert!(Instant::now() < bound, "no reconnect");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    group.shutdown().await;
}

/// Guards against a shutdown that interrupts calls that the server has accepted.
#[tokio::test]
async fn shutdown_finishes_open_calls() {
    let serving = TaskGroup::new();
    let handler = held_handler();
    let server = PeerServer::bind(&serving, ANY_PORT, handler.clone())
        .await
        .unwrap();
    let group = TaskGroup::new();
    let client = PeerClient::open(&group);
    let call = {
        let client = client.clone();
        tokio::spawn(async move {
            client
                .call(server.address(), PeerRequest::FetchState, WAIT_TIMEOUT)
                .await
        })
    };
    handler.started.notified().await;
    let stopping = {
        let serving = serving.clone();
        tokio::spawn(async move { serving.shutdown().await })
    };
    while !serving.is_cancelled() {
        tokio::task::yield_now().await;
    }
    handler.release.as_ref().unwrap().add_permits(1);
    assert_eq!(
        call.await.unwrap().unwrap(),
        PeerReply::State(vec![7; 3 << 20])
    );
    tokio::time::timeout(WAIT_TIMEOUT, stopping)
        .await
        .unwrap()
        .unwrap();
    group.shutdown().await;
}
