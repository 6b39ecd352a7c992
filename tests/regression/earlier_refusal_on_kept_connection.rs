//! A server wrote an earlier refusal once more on a connection that it keeps open. The relay took it for the answer to the
//! next request on that connection, told its caller that the request had not run, and kept the connection.

use std::sync::atomic::Ordering;

use crate::relay_support::{RelayRig, Script, event, request, until};

/// Answer without an id that says that its request was not run.
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const NAMED_REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const MODEL_MISSING: &str =
    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-0\r\nContent-Length: 0\r\n\r\n";
const BAD_REQUEST: &str = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

/// Returns a complete stream on a connection that the server keeps for five seconds.
fn kept_stream() -> Script {
    let body = event(1);
    Script::Answer(format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\nServer-Stamp: stamp-1\r\nKeep-Alive: timeout=5\r\n\
         Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Starts a relay whose server answers one stream, and then writes `later` to the next request on the connection.
async fn rig_with_kept_connection(
    later: Script,
) -> eyre::Result<(RelayRig, crate::relay_support::ScriptedServer)> {
    let (mut rig, mut servers) = RelayRig::with_servers(vec![vec![kept_stream(), later]]).await?;
    rig.configure(|config| config["routes"][2]["max-attempts"] = 1.into())?;
    let answer = rig
        .send(&request("POST", "/draft/1", "r1", "", "x"))
        .await?;
    assert!(answer.contains(&event(1)), "{answer}");
    Ok((rig, servers.swap_remove(0)))
}

/// Guards against telling a caller that a request has not run because of a refusal that does not name it, on a
/// connection where it may be that of an earlier request; and against keeping such a connection.
#[tokio::test]
async fn unnamed_refusal_on_a_kept_connection_does_not_show_that_a_request_has_not_run()
-> eyre::Result<()> {
    for refusal in [REFUSAL, MODEL_MISSING, BAD_REQUEST] {
        let (rig, server) = rig_with_kept_connection(Script::Stall(refusal.into())).await?;
        let answer = rig
            .send(&request("POST", "/draft/1", "r2", "", "x"))
            .await?;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{refusal}: {answer}");
        assert_eq!(server.requests().len(), 2, "{refusal}");
        assert_eq!(server.connections.load(Ordering::SeqCst), 1, "{refusal}");
        // The server may be at work on the request; the reset stops it.
        until("the reset", || server.resets.load(Ordering::SeqCst) == 1).await?;
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against giving up a request that can be sent to another server after such a refusal.
#[tokio::test]
async fn unnamed_refusal_on_a_kept_connection_is_followed_by_another_attempt() -> eyre::Result<()> {
    let (mut rig, servers) = RelayRig::with_servers(vec![vec![
        kept_stream(),
        Script::Answer(REFUSAL.into()),
        kept_stream(),
    ]])
    .await?;
    rig.configure(|_| {})?;
    for id in ["r1", "r2"] {
        let answer = rig.send(&request("POST", "/draft/1", id, "", "x")).await?;
        assert!(answer.contains(&event(1)), "{answer}");
    }
    assert_eq!(servers[0].requests().len(), 3);
    assert_eq!(servers[0].connections.load(Ordering::SeqCst), 2);
    rig.shutdown().await;
    Ok(())
}

/// Guards against distrust of a refusal that names its request, on any connection.
#[tokio::test]
async fn named_refusal_on_a_kept_connection_shows_that_a_request_has_not_run() -> eyre::Result<()> {
    let (rig, server) = rig_with_kept_connection(Script::Answer(NAMED_REFUSAL.into())).await?;
    let call = request("POST", "/draft/1", "r2", "", "x").replace("3000", "600");
    let answer = rig.send(&call).await?;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(server.requests().len() >= 2);
    rig.shutdown().await;
    Ok(())
}
