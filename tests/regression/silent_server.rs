//! A sound server that fell silent for more than a second had its streams abandoned although no other server could take
//! them, or the retry budget did not allow it, so that the connections of their callers broke.

use std::time::Duration;

use foxtailhill::relay::RetryLimits;
use foxtailhill::settings::LimitSettings;

use crate::relay_support::{
    RelayRig, Script, ScriptedServer, chunk, event, request, stream_head, until,
};

/// Ends a chunked answer that is complete.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Longer than the time after which a stream may move to another server, and shorter than what callers wait.
const SILENCE: Duration = Duration::from_millis(1_600);

/// Returns a stream of two events with a silence between them.
fn silent_stream() -> Script {
    let begin = format!("{}{}", stream_head(), chunk(&event(1)));
    let rest = format!("{}{LAST_CHUNK}", chunk(&event(2)));
    Script::Paced(vec![(begin, SILENCE), (rest, Duration::from_millis(300))])
}

/// Returns the second event as a stream of its own.
fn rest_of_stream() -> Script {
    Script::Answer(format!("{}{}{LAST_CHUNK}", stream_head(), chunk(&event(2))))
}

fn is_whole(answer: &str) -> bool {
    let (first, second) = (answer.find(&event(1)), answer.find(&event(2)));
    first.is_some() && first < second && answer.ends_with(LAST_CHUNK)
}

/// Guards against giving up a stream of the only server, which is silent for a moment and goes on.
#[tokio::test]
async fn stream_of_the_only_server_outlasts_a_silence() -> eyre::Result<()> {
    let scripts = vec![silent_stream(), Script::Stall(String::new())];
    let (rig, servers) = RelayRig::with_servers(vec![scripts]).await?;
    let answer = rig
        .send(&request("POST", "/draft/1", "r1", "", "x"))
        .await?;
    assert!(is_whole(&answer), "{answer}");
    assert_eq!(servers[0].requests().len(), 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against giving up streams of a silent server when the retry budget has a retry for one of them only.
#[tokio::test]
async fn streams_beyond_the_retry_budget_outlast_a_silence() -> eyre::Result<()> {
    let retries = RetryLimits {
        percent: 0,
        extra: 1,
    };
    let mut rig = RelayRig::open_with(retries, LimitSettings::default()).await?;
    rig.configure(|_| {})?;
    let silent = ScriptedServer::bind(&rig.group, "i-0", [silent_stream()]).await?;
    rig.list_server(&silent, "ready")?;
    let calls = ["r1", "r2"].map(|id| request("POST", "/draft/1", id, "", "x"));
    let answers = async { tokio::join!(rig.send(&calls[0]), rig.send(&calls[1])) };
    let free = async {
        until("both streams", || silent.requests().len() == 2).await?;
        let free = ScriptedServer::bind(&rig.group, "i-1", [rest_of_stream()]).await?;
        rig.list_server(&free, "ready")?;
        eyre::Ok(free)
    };
    let ((first, second), free) = tokio::join!(answers, free);
    for answer in [first?, second?] {
        assert!(is_whole(&answer), "{answer}");
    }
    assert_eq!((silent.requests().len(), free?.requests().len()), (2, 1));
    rig.shutdown().await;
    Ok(())
}
