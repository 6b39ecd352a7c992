//! What logs, history and metrics say of requests whose connection the relay closes without a complete answer.

mod relay_support;

use foxtailhill::history::RequestOutcome;
use foxtailhill::metrics::KindLabels;
use relay_support::{
    RelayRig, Script, ScriptedServer, chunk, event, request, stream_head, until, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn closed(rig: &RelayRig, kind: &'static str) -> u64 {
    let metrics = rig.dispatcher.core().metrics();
    metrics.closed.get_or_create(&KindLabels { kind }).get()
}

/// Guards against recording a request whose connection the daemon closed as one that its caller gave up.
#[tokio::test]
async fn request_cut_by_the_end_of_the_process_is_recorded_as_such() -> eyre::Result<()> {
    let (rig, servers) = RelayRig::with_servers(vec![vec![Script::Stall(String::new())]]).await?;
    let mut stream = TcpStream::connect(rig.address).await?;
    let call = request("POST", "/confirm/1", "r1", "", "x");
    stream.write_all(call.as_bytes()).await?;
    until("the request at the server", || {
        !servers[0].requests().is_empty()
    })
    .await?;
    rig.group.shutdown().await;
    let mut answer = Vec::new();
    // The connection may be reset.
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.is_empty(), "{answer:?}");
    assert_eq!(closed(&rig, "shutdown"), 1);
    let record = rig.dispatcher.core().history().find("r1");
    let record = record.ok_or_else(|| eyre::eyre!("the request is not recorded"))?;
    assert_eq!(record.outcome, RequestOutcome::Cancelled);
    let cause = record.cause.unwrap_or_default();
    assert!(
        cause.contains("the daemon closed the connection"),
        "{cause}"
    );
    Ok(())
}

/// Guards against counting requests that their callers gave up as closed by the daemon.
#[tokio::test]
async fn request_given_up_by_its_caller_is_not_counted_as_closed() -> eyre::Result<()> {
    let (rig, servers) = RelayRig::with_servers(vec![vec![Script::Stall(String::new())]]).await?;
    let mut stream = TcpStream::connect(rig.address).await?;
    let call = request("POST", "/confirm/1", "r1", "", "x");
    stream.write_all(call.as_bytes()).await?;
    until("the request at the server", || {
        !servers[0].requests().is_empty()
    })
    .await?;
    drop(stream);
    let history = rig.dispatcher.core().history().clone();
    let outcome = || history.find("r1").map(|record| record.outcome);
    until("the end of the request", || {
        outcome() == Some(RequestOutcome::Cancelled)
    })
    .await?;
    assert_eq!(closed(&rig, "shutdown"), 0);
    rig.shutdown().await;
    Ok(())
}

/// Guards against an answer that breaks off without being counted.
#[tokio::test]
async fn broken_answer_is_counted() -> eyre::Result<()> {
    let mut rig = RelayRig::open().await?;
    rig.configure(|_| {})?;
    let truncated = format!("{}{}", stream_head(), chunk(&event(1)));
    let scripts = [
        Script::Reset(truncated),
        Script::Answer(whole("200 OK", "x")),
    ];
    let server = ScriptedServer::bind(&rig.group, "i-0", scripts).await?;
    rig.list_server(&server, "ready")?;
    rig.send(&request("POST", "/batch/1", "r1", "", "x"))
        .await?;
    assert_eq!(closed(&rig, "broken_answer"), 1);
    rig.shutdown().await;
    Ok(())
}
