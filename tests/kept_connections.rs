//! Kept connections to backend servers: which requests use them, and what happens when they end.

mod relay_support;

use std::sync::atomic::Ordering;

use foxtailhill::metrics::KindLabels;
use relay_support::{RelayRig, Script, ScriptedServer, chunk, event, request, stream_head, whole};

/// A complete answer on a connection that the server says it keeps for five seconds.
fn kept(body: &str) -> Script {
    let answer = whole("200 OK", body);
    let (status, rest) = answer.split_once("\r\n").unwrap_or_default();
    Script::Answer(format!("{status}\r\nKeep-Alive: timeout=5\r\n{rest}"))
}

fn is_served(answer: &str, body: &str) -> bool {
    answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(body)
}

fn connections(server: &ScriptedServer) -> usize {
    server.connections.load(Ordering::SeqCst)
}

/// Returns the number of answers on new or on kept connections.
fn answered_on(rig: &RelayRig, kind: &'static str) -> u64 {
    let metrics = rig.dispatcher.core().metrics();
    metrics.connects.get_or_create(&KindLabels { kind }).get()
}

async fn rig_with(scripts: Vec<Script>) -> eyre::Result<(RelayRig, ScriptedServer)> {
    let (rig, mut servers) = RelayRig::with_servers(vec![scripts]).await?;
    Ok((rig, servers.swap_remove(0)))
}

/// Guards against a new connection for each request, for answers of known length and for streams in chunks.
#[tokio::test]
async fn connection_is_used_again_after_a_complete_answer() -> eyre::Result<()> {
    let stream = format!("{}{}0\r\n\r\n", stream_head(), chunk(&event(1)));
    let stream = stream.replace("\r\nTransfer", "\r\nKeep-Alive: timeout=5\r\nTransfer");
    for (method, path, script) in [
        ("GET", "/check/1", kept("yes")),
        ("POST", "/draft/1", Script::Answer(stream)),
    ] {
        let (rig, server) = rig_with(vec![script]).await?;
        for id in ["r1", "r2", "r3"] {
            let answer = rig.send(&request(method, path, id, "", "")).await?;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
        assert_eq!((server.requests().len(), connections(&server)), (3, 1));
        let counts = (answered_on(&rig, "new"), answered_on(&rig, "kept"));
        assert_eq!(counts, (1, 2), "{path}");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against a request that runs at most once on a connection that its server may be closing.
#[tokio::test]
async fn request_that_runs_at_most_once_opens_a_connection() -> eyre::Result<()> {
    let (rig, server) = rig_with(vec![kept("yes")]).await?;
    for id in ["r1", "r2"] {
        let call = request("POST", "/confirm/1", id, "", "x");
        assert!(is_served(&rig.send(&call).await?, "yes"));
    }
    assert_eq!(connections(&server), 2);
    rig.shutdown().await;
    Ok(())
}

/// Guards against failing a request, or charging a retry for it, because its server closed an idle connection.
#[tokio::test]
async fn close_before_the_request_is_followed_by_a_new_connection() -> eyre::Result<()> {
    let Script::Answer(answer) = kept("yes") else {
        eyre::bail!("no answer")
    };
    let (rig, server) = rig_with(vec![Script::AnswerAndClose(answer)]).await?;
    for index in 0..30 {
        let call = request("GET", "/check/1", &format!("r{index}"), "", "");
        assert!(is_served(&rig.send(&call).await?, "yes"));
    }
    assert_eq!(server.requests().len(), 30);
    rig.shutdown().await;
    Ok(())
}

/// Guards against failing a repeatable request whose connection is reset after the server has read it, and against sending it
/// more than once again.
#[tokio::test]
async fn reset_after_the_request_was_read_is_followed_by_one_more_send() -> eyre::Result<()> {
    let scripts = vec![kept("first"), Script::Reset(String::new()), kept("second")];
    let (rig, server) = rig_with(scripts).await?;
    let answer = rig.send(&request("GET", "/check/1", "r1", "", "")).await?;
    assert!(is_served(&answer, "first"), "{answer}");
    let answer = rig.send(&request("GET", "/check/2", "r2", "", "")).await?;
    assert!(is_served(&answer, "second"), "{answer}");
    // The server may have accepted a probe as well, on which nothing was sent.
    assert_eq!((server.requests().len(), answered_on(&rig, "new")), (3, 2));
    rig.shutdown().await;
    Ok(())
}

/// Guards against passing on the answer to an earlier request that arrives late on a kept connection.
#[tokio::test]
async fn late_answer_to_an_earlier_request_is_not_passed_on() -> eyre::Result<()> {
    let late = whole("200 OK", "late").replace("{id}", "r1");
    let scripts = vec![kept("first"), Script::Answer(late), kept("second")];
    let (rig, server) = rig_with(scripts).await?;
    let answer = rig.send(&request("GET", "/check/1", "r1", "", "")).await?;
    assert!(is_served(&answer, "first"), "{answer}");
    let answer = rig.send(&request("GET", "/check/2", "r2", "", "")).await?;
    assert!(is_served(&answer, "second"), "{answer}");
    assert_eq!(connections(&server), 2);
    rig.shutdown().await;
    Ok(())
}
