//! Balancer and fault-injecting proxy.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::RunVerdict;
use foxtailhill::journal::{HttpJournal, JournalClient, StreamName};
use foxtailhill_standins::proxy::DirectionFault;
use foxtailhill_standins::{
    BalancerOptions, BalancerStandin, BalancerTarget, FaultProxy, FaultSchedule, LinkFault,
    LinkOptions, LogOptions, LogStandin, ServiceOptions, ServiceStandin, any_port, reserve_port,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const RECORD: Bytes = Bytes::from_static(b"record");

async fn proxied_log(from: Option<&str>) -> (LogStandin, FaultProxy, HttpJournal) {
    let log = LogStandin::open(LogOptions::default()).await.expect("log");
    let proxy = FaultProxy::open(HashMap::new());
    let link = LinkOptions {
        bind: any_port(),
        server: log.address(),
        to: "platform".into(),
        from: from.map(Into::into),
    };
    let address = proxy.listen(link).await.expect("listener");
    let client = HttpJournal::open(address).with_timeout(Duration::from_millis(300));
    (log, proxy, client)
}

async fn append(client: &HttpJournal) -> foxtailhill::Result<u64> {
    let offset = client.append(StreamName::Claims, RECORD).await?;
    Ok(offset.0)
}

/// Guards against a cut link that accepts connections, so that a call seems to have been sent although it was not.
#[tokio::test]
async fn cut_link_refuses_connections_and_recovers_on_the_same_port() {
    let (log, proxy, client) = proxied_log(Some("catania")).await;
    assert_eq!(append(&client).await.unwrap(), 0);
    proxy.set_link("catania", "platform", LinkFault::CUT);
    // The open connection may fail after bytes were sent; a new one is refused.
    for attempt in 0.. {
        let error = append(&client).await.unwrap_err();
        if error.verdict() == RunVerdict::NotRun {
            break;
        }
        assert!(attempt < 1000, "connections are still accepted");
    }
    proxy.heal();
    let start = Instant::now();
    while append(&client).await.is_err() {
        assert!(start.elapsed() < Duration::from_secs(10));
    }
    log.shutdown().await;
    proxy.shutdown().await;
}

/// Guards against one-way faults that affect both directions. Here the append arrives, but its answer does not.
#[tokio::test]
async fn one_way_drop_loses_only_the_answer() {
    for from in [Some("catania"), None] {
        let (log, proxy, client) = proxied_log(from).await;
        append(&client).await.unwrap();
        let fault = LinkFault {
            backward: DirectionFault {
                drop: true,
                delay_ms: 0,
            },
            ..LinkFault::NONE
        };
        proxy.set_link(from.unwrap_or("unknown"), "platform", fault);
        let error = append(&client).await.unwrap_err();
        assert_eq!(error.verdict(), RunVerdict::MayHaveRun);
        assert_eq!(log.records("claims").1.len(), 2);
        proxy.heal();
        assert_eq!(append(&client).await.unwrap(), 2);
        proxy.shutdown().await;
        log.shutdown().await;
    }
}

/// Guards against a drop fault that lets bytes through before it ends.
#[tokio::test]
async fn dropped_bytes_arrive_once_the_link_heals() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let proxy = FaultProxy::open(HashMap::new());
    let link = LinkOptions {
        bind: any_port(),
        server: listener.local_addr().unwrap(),
        to: "b".into(),
        from: Some("a".into()),
    };
    let address = proxy.listen(link).await.unwrap();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    proxy.set_zone("a", LinkFault::DROP);
    caller.write_all(b"ping").await.unwrap();
    let mut buffer = [0; 4];
    let read = server.read(&mut buffer);
    let early = tokio::time::timeout(Duration::from_millis(100), read).await;
    assert!(early.is_err());
    proxy.set_zone("a", LinkFault::delay(50));
    server.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"ping");
    let start = Instant::now();
    server.write_all(b"pong").await.unwrap();
    caller.read_exact(&mut buffer).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(50));
    drop(server);
    assert_eq!(caller.read(&mut buffer).await.unwrap(), 0);
    proxy.shutdown().await;
}

/// Guards against applying a fault to connections from another source address.
#[tokio::test]
async fn zone_is_found_by_source_address() {
    let log = LogStandin::open(LogOptions::default()).await.unwrap();
    let near: SocketAddr = "127.0.1.1:0".parse().unwrap();
    let far: SocketAddr = "127.0.2.1:0".parse().unwrap();
    let zones = [(near.ip(), "near".into()), (far.ip(), "far".into())];
    let proxy = FaultProxy::open(zones.into());
    let link = LinkOptions {
        bind: any_port(),
        server: log.address(),
        to: "platform".into(),
        from: None,
    };
    let address = proxy.listen(link).await.unwrap();
    let near = HttpJournal::open(address).with_local_address(near.ip());
    let far = HttpJournal::open(address).with_local_address(far.ip());
    proxy.set_link("far", "platform", LinkFault::CUT);
    assert_eq!(append(&near).await.unwrap(), 0);
    append(&far).await.unwrap_err();
    assert_eq!(append(&near).await.unwrap(), 1);
    proxy.shutdown().await;
    log.shutdown().await;
}

/// Guards against fault schedules that cannot be reproduced from the printed seed.
#[test]
fn schedule_is_a_function_of_its_seed() {
    let zones = ["a".into(), "b".into()];
    let generate = |seed| FaultSchedule::generate(seed, &zones, 20, Duration::from_secs(10));
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7).faults, generate(8).faults);
    assert!(generate(7).to_string().contains("seed 7"));
    assert!(generate(7).faults.is_sorted_by_key(|fault| fault.at));
}

/// Guards against another process taking a port while its owner restarts.
#[tokio::test]
async fn reserved_port_refuses_and_can_be_listened_on() {
    let reservation = reserve_port(any_port()).unwrap();
    let address = reservation.local_addr().unwrap();
    assert!(TcpStream::connect(address).await.is_err());
    for _ in 0..3 {
        let listener = TcpListener::bind(address).await.unwrap();
        TcpStream::connect(address).await.unwrap();
        drop(listener);
    }
    assert!(TcpStream::connect(address).await.is_err());
}

async fn call(address: SocketAddr) -> bool {
    let client = foxtailhill_standins::client::JsonClient::new(Duration::from_secs(5));
    let answer = client.get::<serde_json::Value>(address, "/call").await;
    answer.is_ok()
}

/// Guards against a balancer that ignores weights or sends callers to VMs that are not ready.
#[tokio::test]
async fn balancer_follows_weights_and_readiness() {
    let first = ServiceStandin::open(ServiceOptions::default())
        .await
        .unwrap();
    let second = ServiceStandin::open(ServiceOptions::default())
        .await
        .unwrap();
    let target = |service: &ServiceStandin| BalancerTarget {
        caller: service.address(),
        admin: Some(service.address()),
        weight: 1,
    };
    let balancer = BalancerStandin::open(BalancerOptions {
        targets: vec![target(&first), target(&second)],
        check_period: Duration::from_millis(10),
        ..BalancerOptions::default()
    })
    .await
    .unwrap();
    let wait_ready = |ready: [bool; 2]| {
        let balancer = &balancer;
        async move {
            for _ in 0..1000 {
                let states: Vec<bool> = balancer.targets().iter().map(|one| one.ready).collect();
                if states == ready {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            panic!("targets did not become {ready:?} within 10 s");
        }
    };
    let calls = |service: &ServiceStandin| {
        let received = service.received();
        let calls = received.iter().filter(|request| request.path == "/call");
        calls.count()
    };
    wait_ready([true, true]).await;
    for _ in 0..10 {
        assert!(call(balancer.address()).await);
    }
    assert_eq!((calls(&first), calls(&second)), (5, 5));
    balancer.set_weights(&[3, 1]);
    for _ in 0..8 {
        assert!(call(balancer.address()).await);
    }
    assert_eq!((calls(&first), calls(&second)), (11, 7));
    second.shutdown().await;
    wait_ready([true, false]).await;
    for _ in 0..4 {
        assert!(call(balancer.address()).await);
    }
    assert_eq!(calls(&first), 15);
    first.shutdown().await;
    wait_ready([false, false]).await;
    assert!(!call(balancer.address()).await);
    balancer.shutdown().await;
}
