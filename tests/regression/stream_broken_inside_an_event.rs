//! A server that crashed while it sent a stream with neither a length nor chunks ended its connection inside an event. The
//! relay forwarded the incomplete event and framed the answer as complete.

use crate::relay_support::{RelayRig, Script, event, request, stream_head};

const STREAM_WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-1\r\n\r\n";
/// Ends a chunked answer that is complete.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns a stream without a length that the server ends with its connection.
fn stream(body: &str) -> Script {
    Script::AnswerAndClose(format!("{STREAM_WITHOUT_LENGTH}{body}"))
}

/// Guards against an answer that is framed as complete although its connection ended inside an event.
#[tokio::test]
async fn stream_without_length_that_ends_inside_an_event_is_not_complete() -> eyre::Result<()> {
    for rest in [
        "id: 2",
        "id: 2\n",
        "id: 2\ndata: wo",
        "id: 2\ndata: word2\n",
    ] {
        let broken = stream(&format!("{}{rest}", event(1)));
        let (rig, servers) = RelayRig::with_servers(vec![vec![broken]]).await?;
        let answer = rig
            .send(&request("POST", "/batch/1", "r1", "", "x"))
            .await?;
        assert!(answer.contains(&event(1)), "{rest:?}: {answer}");
        assert!(!answer.ends_with(LAST_CHUNK), "{rest:?}: {answer}");
        assert!(!answer.contains("id: 2"), "{rest:?}: {answer}");
        assert_eq!(servers[0].requests().len(), 1, "{rest:?}");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against giving up a stream that can go on at another server after it ended inside an event.
#[tokio::test]
async fn resumable_stream_that_ends_inside_an_event_goes_on_at_another_server() -> eyre::Result<()>
{
    let broken = stream(&format!("{}id: 2\ndata: wo", event(1)));
    let rest = stream(&event(2));
    let (rig, servers) = RelayRig::with_servers(vec![vec![broken, rest]]).await?;
    let answer = rig
        .send(&request("POST", "/draft/1", "r1", "", "x"))
        .await?;
    let (first, second) = (answer.find(&event(1)), answer.find(&event(2)));
    assert!(first.is_some() && first < second, "{answer}");
    assert_eq!(answer.matches("id: 2").count(), 1, "{answer}");
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
    assert_eq!(servers[0].requests().len(), 2);
    rig.shutdown().await;
    Ok(())
}

/// Guards against a stream in chunks that is taken for complete because of its last chunk.
#[tokio::test]
async fn stream_in_chunks_that_ends_inside_an_event_is_not_complete() -> eyre::Result<()> {
    let body = format!("{}id: 2\ndata: wo", event(1));
    let chunks = format!(
        "{}{:x}\r\n{body}\r\n{LAST_CHUNK}",
        stream_head(),
        body.len()
    );
    let (rig, _servers) = RelayRig::with_servers(vec![vec![Script::Answer(chunks)]]).await?;
    let answer = rig
        .send(&request("POST", "/batch/1", "r1", "", "x"))
        .await?;
    assert!(answer.contains(&event(1)), "{answer}");
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    rig.shutdown().await;
    Ok(())
}

/// Guards against taking a whole stream for broken because it has no length, or because of empty lines after its last
/// event.
#[tokio::test]
async fn stream_without_length_that_ends_between_events_is_complete() -> eyre::Result<()> {
    for rest in ["", "\n", "\r\n"] {
        let whole = stream(&format!("{}{}{rest}", event(1), event(2)));
        let (rig, servers) = RelayRig::with_servers(vec![vec![whole]]).await?;
        let answer = rig
            .send(&request("POST", "/draft/1", "r1", "", "x"))
            .await?;
        assert!(answer.contains(&event(2)), "{rest:?}: {answer}");
        assert!(answer.ends_with(LAST_CHUNK), "{rest:?}: {answer}");
        assert_eq!(servers[0].requests().len(), 1, "{rest:?}");
        rig.shutdown().await;
    }
    Ok(())
}
