//! Requests whose servers crashed for another reason had their team, path and body in common, and all prompt parts but the
//! last. The relay took them for one request that came again, and their first part for the one to blame, so the third and
//! later ones never reached a server.

use std::time::Duration;

use foxtailhill::relay::ServerChange;

use crate::relay_support::{RelayRig, Script, ScriptedServer, request, stream_head};

const SERVERS: usize = 10;
/// Longer than the time from a crash to the next trial.
const PAUSE: Duration = Duration::from_millis(2_100);
/// Ticks of the fleet's view, in which crashes are reported.
const REPORT_TIME: Duration = Duration::from_millis(200);
/// Three crashes until the block, and one that was under way.
const MAX_CRASHES: usize = 4;

/// Opens a relay whose servers crash under each request.
async fn open() -> eyre::Result<(RelayRig, Vec<ScriptedServer>)> {
    let script = Script::CrashOn {
        trigger: "POST /batch/".into(),
        answer: stream_head(),
    };
    RelayRig::with_servers(vec![vec![script]; SERVERS]).await
}

/// Sends a request without a body, and removes the records of servers that have crashed. Returns whether it reached a
/// server.
async fn reaches_server(
    rig: &RelayRig,
    servers: &[ScriptedServer],
    prompt: &str,
) -> eyre::Result<bool> {
    let received = || servers.iter().map(|server| server.requests().len()).sum();
    let before: usize = received();
    let prompt = format!("Prompt-Prefix: {prompt}\r\n");
    let answer = rig
        .send(&request("POST", "/batch/1", "r1", &prompt, ""))
        .await?;
    let is_sent = received() > before;
    eyre::ensure!(is_sent == answer.contains(" 502 "), "{answer}");
    eyre::ensure!(is_sent != answer.contains(" 503 "), "{answer}");
    for server in servers.iter().filter(|server| server.crash.is_cancelled()) {
        let removed = ServerChange::Removed(server.id.clone().into());
        rig.fleet.apply(vec![removed], std::time::Instant::now());
    }
    tokio::time::sleep(REPORT_TIME).await;
    Ok(is_sent)
}

/// Guards against refusing a request because servers crashed under others with the same team, path and body, but another
/// prompt.
#[tokio::test]
async fn request_with_another_last_part_is_another_request() -> eyre::Result<()> {
    let (rig, servers) = open().await?;
    for _ in 0..2 {
        assert!(reaches_server(&rig, &servers, "aaaa:5,1:5").await?);
    }
    assert!(!reaches_server(&rig, &servers, "aaaa:5,1:5").await?);
    assert!(reaches_server(&rig, &servers, "aaaa:5,2:5").await?);
    rig.shutdown().await;
    Ok(())
}

/// Guards against keeping requests from the servers because of the first part that they share, when servers crash seconds
/// apart.
#[tokio::test]
async fn five_requests_seconds_apart_reach_a_server() -> eyre::Result<()> {
    let (rig, servers) = open().await?;
    for number in 0..5 {
        let prompt = format!("aaaa:5,{number}b:5");
        assert!(
            reaches_server(&rig, &servers, &prompt).await?,
            "request {number}"
        );
        tokio::time::sleep(PAUSE).await;
    }
    rig.shutdown().await;
    Ok(())
}

/// Guards against a request that crashes one server after the other as it comes again with the same team, path and body,
/// but with another prompt each time.
#[tokio::test]
async fn team_path_and_body_that_crash_servers_are_refused() -> eyre::Result<()> {
    let (rig, servers) = open().await?;
    for number in 0..8 {
        let prompt = format!("{number}a:5,{number}b:5");
        reaches_server(&rig, &servers, &prompt).await?;
    }
    let crashed = servers.iter().filter(|server| server.crash.is_cancelled());
    let crashes = crashed.count();
    assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
    rig.shutdown().await;
    Ok(())
}
