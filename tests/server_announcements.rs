//! Servers that say in their answers that they are leaving.

mod relay_support;

use std::time::{Duration, Instant};

use relay_support::{RelayRig, Script, ScriptedServer, request, stream_head, whole};

/// Adds a header to a scripted answer.
fn with_header(answer: &str, line: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
}

fn leaving_answer() -> Script {
    Script::Answer(with_header(&whole("200 OK", "yes"), "Server-Leaving: 1"))
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
