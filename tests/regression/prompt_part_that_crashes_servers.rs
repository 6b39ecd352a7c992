//! Requests that were never alike had one prompt part in common, which crashed each server that began to answer it. The
//! relay knew only whole requests, so each of them crashed the servers that it was sent to.

use crate::relay_support::{RelayRig, Script, ScriptedServer, chunk, event, request, stream_head};

const SERVERS: usize = 12;
const DEADLY_PART: &str = "dead";
/// Three crashes show which part is to blame, and each request may have crashed one server more in the meantime.
const MAX_CRASHES: usize = 4;

async fn open() -> eyre::Result<(RelayRig, Vec<ScriptedServer>)> {
    let answer = format!(
        "{}{}{}0\r\n\r\n",
        stream_head(),
        chunk(&event(1)),
        chunk(&event(2))
    );
    let script = Script::CrashOn {
        trigger: format!("{DEADLY_PART}:"),
        answer,
    };
    RelayRig::with_servers(vec![vec![script]; SERVERS]).await
}

fn crashes(servers: &[ScriptedServer]) -> usize {
    let crashed = servers.iter().filter(|server| server.crash.is_cancelled());
    crashed.count()
}

/// Sends a request with the prompt parts `parts` and one of its own, and returns the status of the answer.
async fn ask(rig: &RelayRig, number: usize, parts: &str) -> eyre::Result<String> {
    let prompt = format!("Prompt-Prefix: {parts},{number:x}0:5\r\n");
    let id = format!("r{number}");
    let answer = rig
        .send(&request("POST", "/draft/1", &id, &prompt, "x"))
        .await?;
    Ok(answer.split(' ').nth(1).unwrap_or("none").to_owned())
}

/// Guards against requests that crash one server after the other because no two of them are alike, and against refusing
/// requests that share their other parts.
#[tokio::test]
async fn part_that_crashes_servers_is_refused_and_sound_requests_are_served() -> eyre::Result<()> {
    let (rig, servers) = open().await?;
    let mut served = 0;
    for number in 0..20 {
        ask(&rig, number * 2, &format!("aaaa:5,{DEADLY_PART}:7")).await?;
        let sound = ask(&rig, number * 2 + 1, "aaaa:5,beef:7").await?;
        served += usize::from(sound == "200");
    }
    let crashes = crashes(&servers);
    assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
    assert_eq!(served, 20, "sound requests were not served");
    let refused = ask(&rig, 90, &format!("bbbb:5,{DEADLY_PART}:7")).await?;
    assert_eq!(refused, "503", "the refusal must say that nothing has run");
    rig.shutdown().await;
    Ok(())
}

/// Guards against refusing all requests that share their first part with one whose own, last part crashes servers.
#[tokio::test]
async fn last_part_of_a_prompt_is_never_refused() -> eyre::Result<()> {
    let (rig, servers) = open().await?;
    for number in 0..4 {
        let prompt = format!("Prompt-Prefix: aaaa:5,{DEADLY_PART}:7\r\n");
        let id = format!("r{number}");
        rig.send(&request("POST", "/draft/1", &id, &prompt, "x"))
            .await?;
        ask(&rig, 100 + number, "aaaa:5").await?;
    }
    assert!(crashes(&servers) > 0);
    assert_eq!(ask(&rig, 200, "aaaa:5").await?, "200");
    rig.shutdown().await;
    Ok(())
}
