//! Servers that say in their answers that they are leaving, or that they want no requests for some time.

mod relay_support;

use std::time::{Duration, Instant};

use relay_support::{RelayRig, Script, ScriptedServer, header, request, stream_head, whole};

/// Adds a header to a scripted answer.
fn with_header(answer: &str, line: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

fn leaving_answer() -> Script {
    Script::Answer(with_header(&whole("200 OK", "yes"), "Server-Leaving: 1"))
}

fn busy_answer(seconds: &str) -> Script {
    let refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    Script::Answer(with_header(refusal, &format!("Retry-After: {seconds}")))
}

async fn check(rig: &RelayRig, number: usize) -> eyre::Result<String> {
    let id = format!("r{number}");
    let answer = rig.send(&request("GET", "/check/1", &id, "", "")).await?;
    Ok(answer)
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Opens a relay with a server that answers with `first`, and lists a second one after its first answer.
async fn open(first: Script) -> eyre::Result<(RelayRig, [ScriptedServer; 2], String)> {
    let (rig, mut servers) = RelayRig::with_servers(vec![vec![first]]).await?;
    let answer = check(&rig, 0).await?;
    let good = Script::Answer(whole("200 OK", "yes"));
    let second = ScriptedServer::bind(&rig.group, "i-1", [good]).await?;
    rig.list_server(&second, "ready")?;
    Ok((rig, [servers.remove(0), second], answer))
}

/// Guards against sending requests to a server that has said in an answer that it is leaving, although its record still
/// says that it is ready.
#[tokio::test]
async fn server_that_says_that_it_leaves_gets_no_more_requests() -> eyre::Result<()> {
    let (rig, servers, answer) = open(leaving_answer()).await?;
    assert_eq!(status(&answer), "200");
    for number in 1..10 {
        rig.list_server(&servers[0], "ready")?;
        assert_eq!(status(&check(&rig, number).await?), "200");
    }
    assert_eq!(servers[0].requests().len(), 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against forgetting that a server is leaving when its record lapses and an older copy lists it again.
#[tokio::test]
async fn leaving_server_that_is_listed_again_gets_no_requests() -> eyre::Result<()> {
    let (rig, servers, _) = open(leaving_answer()).await?;
    let removed = foxtailhill::relay::ServerChange::Removed("i-0".into());
    rig.fleet.apply(vec![removed], Instant::now());
    rig.list_server(&servers[0], "ready")?;
    for number in 1..10 {
        assert_eq!(status(&check(&rig, number).await?), "200");
    }
    assert_eq!(servers[0].requests().len(), 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against noticing only at the end of a stream that its server is leaving.
#[tokio::test]
async fn head_of_a_stream_tells_that_its_server_is_leaving() -> eyre::Result<()> {
    let head = with_header(&stream_head(), "Server-Leaving: 1");
    let (rig, servers) = RelayRig::with_servers(vec![vec![Script::Stall(head)]]).await?;
    let draft = request("POST", "/batch/1", "r0", "", "x");
    let stream = rig.send(&draft);
    let others = async {
        relay_support::until("the head", || !servers[0].requests().is_empty()).await?;
        let good = Script::Answer(whole("200 OK", "yes"));
        let second = ScriptedServer::bind(&rig.group, "i-1", [good]).await?;
        tokio::time::sleep(Duration::from_millis(100)).await;
        rig.list_server(&second, "ready")?;
        for number in 1..10 {
            assert_eq!(status(&check(&rig, number).await?), "200");
        }
        eyre::Ok(())
    };
    tokio::select! {
        answer = stream => panic!("the stream ended: {answer:?}"),
        result = others => result?,
    }
    assert_eq!(servers[0].requests().len(), 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against sending requests to a server in the time for which it has asked for none.
#[tokio::test]
async fn server_that_asks_for_a_pause_gets_no_requests_in_it() -> eyre::Result<()> {
    let (rig, servers, _) = open(busy_answer("30")).await?;
    tokio::time::sleep(Duration::from_millis(600)).await;
    for number in 1..10 {
        assert_eq!(status(&check(&rig, number).await?), "200");
    }
    assert_eq!(servers[0].requests().len(), 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against a pause that never ends.
#[tokio::test]
async fn server_gets_requests_again_after_its_pause() -> eyre::Result<()> {
    let good = Script::Answer(whole("200 OK", "yes"));
    let (rig, servers) = RelayRig::with_servers(vec![vec![busy_answer("0.3"), good]]).await?;
    assert_eq!(status(&check(&rig, 0).await?), "200");
    assert_eq!(servers[0].requests().len(), 2);
    rig.shutdown().await;
    Ok(())
}

/// Guards against requests that wait for a pause which is longer than they may wait.
#[tokio::test]
async fn request_is_refused_at_once_if_all_servers_pause_for_too_long() -> eyre::Result<()> {
    let (rig, servers) = RelayRig::with_servers(vec![vec![busy_answer("60")]]).await?;
    check(&rig, 0).await?;
    let answer = check(&rig, 1).await?;
    assert_eq!(status(&answer), "503", "{answer}");
    let wait: f64 = header(&answer, "retry-after").unwrap_or_default().parse()?;
    assert!((50.0..=60.0).contains(&wait), "{answer}");
    assert!(answer.contains("no requests"), "{answer}");
    assert_eq!(servers[0].requests().len(), 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against a malformed pause that is taken for one without an end, and against one on an answer that is none.
#[tokio::test]
async fn malformed_pauses_are_ignored() -> eyre::Result<()> {
    for value in ["soon", "-4", "nan", ""] {
        let good = Script::Answer(whole("200 OK", "yes"));
        let (rig, servers) = RelayRig::with_servers(vec![vec![busy_answer(value), good]]).await?;
        assert_eq!(status(&check(&rig, 0).await?), "200", "{value:?}");
        assert_eq!(servers[0].requests().len(), 2, "{value:?}");
        rig.shutdown().await;
    }
    Ok(())
}
