//! A server crashed under a stream with neither a length nor chunks, before its first event or between two events. The
//! relay took the end of the connection for the end of the stream and framed the answer as complete.

use crate::relay_support::{RelayRig, Script, event, request};

const HEAD_WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-1\r\n\r\n";
/// Ends a chunked answer that is complete.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns an answer without a length under which the server crashes.
fn crash(body: &str) -> Script {
    Script::AnswerAndCrash(format!("{HEAD_WITHOUT_LENGTH}{body}"))
}

/// Returns an answer without a length that the server ends with its connection.
fn close(body: &str) -> Script {
    Script::AnswerAndClose(format!("{HEAD_WITHOUT_LENGTH}{body}"))
}

/// Guards against a stream that is framed as complete although its server crashed before its first event or between two.
#[tokio::test]
async fn stream_whose_server_crashed_is_not_complete() -> eyre::Result<()> {
    for body in [String::new(), event(1), event(1) + &event(2)] {
        let (rig, servers) = RelayRig::with_servers(vec![vec![crash(&body)]]).await?;
        let answer = rig
            .send(&request("POST", "/batch/1", "r1", "", "x"))
            .await?;
        assert!(answer.contains(&body), "{body:?}: {answer}");
        let is_success = answer.starts_with("HTTP/1.1 200");
        assert_eq!(is_success, !body.is_empty(), "{body:?}: {answer}");
        assert!(
            !is_success || !answer.ends_with(LAST_CHUNK),
            "{body:?}: {answer}"
        );
        assert_eq!(servers[0].requests().len(), 1, "{body:?}");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against an answer that is framed as complete because its server, which is being killed, still accepts
/// connections at that instant.
#[tokio::test]
async fn answer_of_a_server_that_is_being_killed_is_not_complete() -> eyre::Result<()> {
    let cases = [
        ("/batch/1", event(1)),
        ("/batch/1", event(1) + &event(2)),
        ("/check/1", "half of an answer".to_owned()),
    ];
    for (path, body) in cases {
        let killed = Script::AnswerAndDie(format!("{HEAD_WITHOUT_LENGTH}{body}"));
        let (rig, servers) = RelayRig::with_servers(vec![vec![killed]]).await?;
        let answer = rig.send(&request("POST", path, "r1", "", "x")).await?;
        let is_success = answer.starts_with("HTTP/1.1 200");
        assert!(
            !is_success || path == "/batch/1" && !answer.ends_with(LAST_CHUNK),
            "{path} {body:?}: {answer}"
        );
        assert_eq!(servers[0].requests().len(), 1, "{path} {body:?}");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against the same where the server lives on: a stream without a length and without an event is not complete.
#[tokio::test]
async fn stream_without_length_and_events_is_not_complete() -> eyre::Result<()> {
    for body in ["", "\n", "\r\n"] {
        let (rig, servers) = RelayRig::with_servers(vec![vec![close(body)]]).await?;
        let answer = rig
            .send(&request("POST", "/batch/1", "r1", "", "x"))
            .await?;
        assert!(answer.starts_with("HTTP/1.1 502"), "{body:?}: {answer}");
        assert_eq!(servers[0].requests().len(), 1, "{body:?}");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against giving up a stream that can go on at another server, also when it breaks again after it was resumed.
#[tokio::test]
async fn resumable_stream_whose_servers_crash_goes_on_at_another() -> eyre::Result<()> {
    for (first, second) in [
        (String::new(), event(1)),
        (event(1), event(2)),
        (event(1), String::new()),
    ] {
        let mut rig = RelayRig::open().await?;
        rig.configure(|config| config["routes"][2]["max-attempts"] = 3.into())?;
        let mut servers = Vec::new();
        for (index, script) in [crash(&first), crash(&second), close(&event(3))]
            .into_iter()
            .enumerate()
        {
            let id = format!("i-{index}");
            let server =
                crate::relay_support::ScriptedServer::bind(&rig.group, &id, [script]).await?;
            servers.push(server);
        }
        // Only one server is listed at a time, so that the order of the attempts is known.
        rig.list_server(&servers[0], "ready")?;
        let sent = request("POST", "/draft/1", "r1", "", "x");
        let answer = rig.send(&sent);
        let listing = async {
            for index in [1, 2] {
                crate::relay_support::until("the attempt", || {
                    servers[index - 1].crash.is_cancelled()
                })
                .await?;
                rig.list_server(&servers[index], "ready")?;
            }
            eyre::Ok(())
        };
        let (answer, listed) = tokio::join!(answer, listing);
        listed?;
        let answer = answer?;
        for part in [&first, &second, &event(3)] {
            assert!(answer.contains(part.as_str()), "{first:?}: {answer}");
        }
        assert!(answer.ends_with(LAST_CHUNK), "{first:?}: {answer}");
        assert_eq!(answer.matches("id: 1").count(), 1, "{first:?}: {answer}");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against a whole answer that is passed on as complete although its server crashed before its end.
#[tokio::test]
async fn whole_answer_whose_server_crashed_is_not_complete() -> eyre::Result<()> {
    let (rig, _servers) = RelayRig::with_servers(vec![vec![crash("half of a bo")]]).await?;
    let answer = rig
        .send(&request("POST", "/confirm/1", "r1", "", "x"))
        .await?;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    rig.shutdown().await;
    Ok(())
}

/// Guards against a second connection for an answer that cannot have a body, which has no length either.
#[tokio::test]
async fn answer_without_body_needs_no_further_connection() -> eyre::Result<()> {
    let empty = Script::Answer(HEAD_WITHOUT_LENGTH.replace("200 OK", "204 No Content"));
    let (rig, servers) = RelayRig::with_servers(vec![vec![empty]]).await?;
    let answer = rig
        .send(&request("POST", "/confirm/1", "r1", "", "x"))
        .await?;
    assert!(answer.starts_with("HTTP/1.1 204"), "{answer}");
    let connections = &servers[0].connections;
    assert_eq!(connections.load(std::sync::atomic::Ordering::SeqCst), 1);
    rig.shutdown().await;
    Ok(())
}
