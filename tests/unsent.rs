//! Sends that never arrived: connections that a server refuses, and which sends use up the retry budget.

mod relay_support;

use std::time::Instant;

use eyre::OptionExt;
use foxtailhill::metrics::KindLabels;
use foxtailhill::relay::{RetryLimits, ServerChange};
use foxtailhill::settings::LimitSettings;
use relay_support::{RelayRig, Script, ScriptedServer, header, request, until, whole};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const MODEL_MISSING: &str =
    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {server}\r\nContent-Length: 0\r\n\r\n";
const WRONG_INSTANCE: &str =
    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n";

/// A rig that may retry once in all, as its budget has one retry and requests earn none.
async fn rig_with_one_retry() -> eyre::Result<RelayRig> {
    let retries = RetryLimits {
        percent: 0,
        extra: 1,
    };
    let mut rig = RelayRig::open_with(retries, LimitSettings::default()).await?;
    rig.configure(|_| {})?;
    Ok(rig)
}

/// Lists a server in the other zone, so that it is chosen only if no server of the relay's zone can be.
fn list_far(rig: &RelayRig, server: &ScriptedServer) -> eyre::Result<()> {
    rig.list_server(server, "ready")?;
    let entries = rig.fleet.servers().into_iter();
    let entries = entries.filter(|entry| entry.id == server.id);
    let changes = entries.map(|mut entry| {
        entry.zone = "south".into();
        ServerChange::Put(entry)
    });
    rig.fleet.apply(changes.collect(), Instant::now());
    Ok(())
}

/// Lists a server in the relay's zone that refuses connections while the returned socket exists.
async fn list_refusing(rig: &RelayRig, id: &str) -> eyre::Result<TcpSocket> {
    let mut server = ScriptedServer::bind(&rig.group, id, []).await?;
    // A bound socket that does not listen refuses connections and keeps its port from others.
    let socket = TcpSocket::new_v4()?;
    socket.bind("127.0.0.1:0".parse()?)?;
    server.address = socket.local_addr()?;
    rig.list_server(&server, "ready")?;
    Ok(socket)
}

fn is_served(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200 ")
}

/// Guards against refusing a request, although another server is healthy, because several servers that have ended refused
/// its connection.
#[tokio::test]
async fn refused_connections_do_not_use_up_the_retry_budget() -> eyre::Result<()> {
    let rig = rig_with_one_retry().await?;
    let mut sockets = Vec::new();
    for id in ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"] {
        sockets.push(list_refusing(&rig, id).await?);
    }
    let good = Script::Answer(whole("200 OK", "yes"));
    let healthy = ScriptedServer::bind(&rig.group, "i-8", [good]).await?;
    list_far(&rig, &healthy)?;
    for id in ["r1", "r2", "r3"] {
        let answer = rig
            .send(&request("POST", "/confirm/1", id, "", "x"))
            .await?;
        assert!(is_served(&answer), "{id}: {answer}");
    }
    assert_eq!(healthy.requests().len(), 3);
    rig.shutdown().await;
    Ok(())
}

/// Guards against sends that a server received and that are not charged to the budget: refusals as full, an absent model,
/// another process at the address, and broken connections.
#[tokio::test]
async fn sends_that_arrived_use_up_the_retry_budget() -> eyre::Result<()> {
    let scripts = [
        Script::Answer(FULL.into()),
        Script::Answer(MODEL_MISSING.into()),
        Script::Answer(WRONG_INSTANCE.into()),
        Script::Reset(String::new()),
    ];
    for script in scripts {
        let rig = rig_with_one_retry().await?;
        let mut near = Vec::new();
        for id in ["i-0", "i-1"] {
            let script = match &script {
                Script::Answer(text) => Script::Answer(text.replace("{server}", id)),
                script => script.clone(),
            };
            let server = ScriptedServer::bind(&rig.group, id, [script.clone()]).await?;
            rig.list_server(&server, "ready")?;
            near.push(server);
        }
        let good = Script::Answer(whole("200 OK", "yes"));
        let healthy = ScriptedServer::bind(&rig.group, "i-8", [good]).await?;
        list_far(&rig, &healthy)?;
        // The only retry is taken by one of the requests at the latest when it has failed at both near servers.
        for id in ["r1", "r2", "r3"] {
            let call = request("GET", "/check/1", id, "", "");
            rig.send(&call.replace("3000", "600")).await?;
        }
        let arrivals: usize = near.iter().map(|server| server.requests().len()).sum();
        let sends = arrivals + healthy.requests().len();
        assert!(arrivals > 0, "{script:?}");
        assert!(sends <= 3 + 1, "{script:?}: {sends} sends of 3 requests");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against giving up a request after a number of refused connections, although a server behind them is healthy.
#[tokio::test]
async fn request_finds_a_server_behind_hundreds_that_refuse_connections() -> eyre::Result<()> {
    let rig = rig_with_one_retry().await?;
    let _socket = list_refusing(&rig, "i-0").await?;
    let refusing = rig.fleet.servers();
    let refusing = refusing.first().ok_or_eyre("no server is listed")?;
    // The socket keeps its port from servers at all addresses.
    let changes = (1..=300_u16).map(|index| {
        let [high, low] = index.to_be_bytes();
        let mut entry = refusing.clone();
        entry.id = format!("i-0-{index}").into();
        entry.address.set_ip([127, 1, high, low].into());
        ServerChange::Put(entry)
    });
    rig.fleet.apply(changes.collect(), Instant::now());
    let good = Script::Answer(whole("200 OK", "yes"));
    let healthy = ScriptedServer::bind(&rig.group, "i-8", [good]).await?;
    list_far(&rig, &healthy)?;
    let answer = rig
        .send(&request("POST", "/confirm/1", "r1", "", "x"))
        .await?;
    assert!(is_served(&answer), "{answer}");
    rig.shutdown().await;
    Ok(())
}

/// Guards against opening connections without end for one request when every server refuses them, and against an answer
/// that does not say that the request has not run.
#[tokio::test]
async fn request_is_refused_as_not_run_when_every_server_refuses_connections() -> eyre::Result<()> {
    let rig = rig_with_one_retry().await?;
    let mut sockets = Vec::new();
    for index in 0..12 {
        sockets.push(list_refusing(&rig, &format!("i-{index}")).await?);
    }
    let call = request("POST", "/confirm/1", "r1", "", "x").replace("3000", "1000");
    let answer = rig.send(&call).await?;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    rig.shutdown().await;
    Ok(())
}

/// Answers one request on each connection.
async fn answer_each(listener: TcpListener) -> std::io::Result<()> {
    loop {
        let (mut stream, _) = listener.accept().await?;
        let mut bytes = Vec::new();
        // A probe ends without a byte.
        while !bytes.ends_with(b"\r\n\r\n") && stream.read_buf(&mut bytes).await? > 0 {}
        let id = header(&String::from_utf8_lossy(&bytes), "request-id").unwrap_or_default();
        let answer = whole("200 OK", "yes").replace("{id}", &id);
        if !bytes.is_empty() {
            stream.write_all(answer.as_bytes()).await?;
        }
    }
}

/// Guards against connections of further requests to a server that refuses them, and against leaving it out for good if it
/// accepts connections again without a new record.
#[tokio::test]
async fn refusing_server_gets_requests_again_after_a_probe() -> eyre::Result<()> {
    let rig = rig_with_one_retry().await?;
    let socket = list_refusing(&rig, "i-0").await?;
    let metrics = rig.dispatcher.core().metrics().clone();
    let count = |kind| metrics.connects.get_or_create(&KindLabels { kind }).get();
    for id in ["r1", "r2", "r3"] {
        let call = request("GET", "/check/1", id, "", "").replace("3000", "200");
        let answer = rig.send(&call).await?;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{id}: {answer}");
    }
    assert_eq!((count("refused"), count("moved")), (1, 1));
    assert_eq!(rig.fleet.refusing_servers(), ["i-0"]);
    let listener = socket.listen(16)?;
    rig.group.spawn_cancellable(async move {
        // The test fails if the server ends.
        let _ = answer_each(listener).await;
    });
    until("the end of the finding", || {
        rig.fleet.refusing_servers().is_empty()
    })
    .await?;
    let answer = rig.send(&request("GET", "/check/1", "r4", "", "")).await?;
    assert!(is_served(&answer), "{answer}");
    let trials = |kind| metrics.trials.get_or_create(&KindLabels { kind }).get();
    assert_eq!((trials("failed"), trials("answered")), (1, 1));
    rig.shutdown().await;
    Ok(())
}
