//! A stream had begun and broke off, and the next server answered with an error. Its text was forwarded as if it were
//! events of the stream, or the stream was ended as complete.

use crate::relay_support::{RelayRig, Script, chunk, event, request};

/// Ends a chunked answer that is complete.
const LAST_CHUNK: &str = "0\r\n\r\n";
const ERROR_TEXT: &str = "upstream failure";

fn head(status: &str, content_type: &str) -> String {
    format!("HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\nServer-Stamp: stamp-1\r\n{content_type}")
}

const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";

/// Returns a stream that breaks after its first event.
fn broken_stream() -> Script {
    let head = head("200 OK", EVENT_STREAM);
    Script::Reset(format!(
        "{head}Transfer-Encoding: chunked\r\n\r\n{}",
        chunk(&event(1))
    ))
}

fn answer(status: &str, content_type: &str, body: &str) -> Script {
    let head = head(status, content_type);
    Script::Answer(format!(
        "{head}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Sends a request whose stream breaks after its first event and is then answered with `second`.
async fn resume_with(second: Script) -> eyre::Result<String> {
    let (rig, _servers) = RelayRig::with_servers(vec![vec![broken_stream(), second]]).await?;
    let answer = rig
        .send(&request("POST", "/draft/1", "r1", "", "x"))
        .await?;
    rig.shutdown().await;
    Ok(answer)
}

/// Guards against an error in the middle of a stream, and against a stream that an error ends as complete.
#[tokio::test]
async fn error_answer_to_a_resumed_stream_is_not_part_of_it() -> eyre::Result<()> {
    let text = "Content-Type: text/plain\r\n";
    let paragraph = format!("{ERROR_TEXT}\n\n");
    let whole_head = format!("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n{paragraph}");
    let field = format!("event: error\ndata: {ERROR_TEXT}\n\n");
    for (status, content_type, body) in [
        ("200 OK", text, &*paragraph),
        ("200 OK", "", &paragraph),
        ("200 OK", EVENT_STREAM, &paragraph),
        ("200 OK", EVENT_STREAM, &whole_head),
        ("200 OK", EVENT_STREAM, &field),
        ("200 OK", text, ""),
        ("204 No Content", "", ""),
        ("206 Partial Content", EVENT_STREAM, &event(2)),
        ("202 Accepted", EVENT_STREAM, &event(2)),
        ("302 Found", text, &paragraph),
        ("400 Bad Request", text, &paragraph),
        ("500 Internal Server Error", text, &paragraph),
    ] {
        let case = format!("{status} {content_type:?} {body:?}");
        let answer = resume_with(answer(status, content_type, body)).await?;
        assert!(answer.contains(&event(1)), "{case}: {answer}");
        assert!(!answer.contains(ERROR_TEXT), "{case}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{case}: {answer}");
        assert!(!answer.contains("id: 2"), "{case}: {answer}");
        assert!(!answer.ends_with(LAST_CHUNK), "{case}: {answer}");
    }
    Ok(())
}

/// Guards against an error between the events of a stream that goes on at a third server, and against the loss or
/// repetition of events around it.
#[tokio::test]
async fn stream_goes_on_at_another_server_after_an_error_between_events() -> eyre::Result<()> {
    let body = format!("{}{}{ERROR_TEXT}\n\n", event(1), event(2));
    let rest = format!("{}{}", event(2), event(3));
    let scripts = vec![
        broken_stream(),
        answer("200 OK", EVENT_STREAM, &body),
        answer("200 OK", EVENT_STREAM, &rest),
    ];
    let (mut rig, servers) = RelayRig::with_servers(vec![scripts]).await?;
    rig.configure(|config| config["routes"][2]["max-attempts"] = 3.into())?;
    let answer = rig
        .send(&request("POST", "/draft/1", "r1", "", "x"))
        .await?;
    let places: Vec<_> = [1, 2, 3].map(|id| answer.find(&event(id))).into();
    assert!(places.iter().all(Option::is_some), "{answer}");
    assert!(places.is_sorted(), "{answer}");
    assert_eq!(answer.matches("\nid: ").count(), 3, "{answer}");
    assert!(!answer.contains(ERROR_TEXT), "{answer}");
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
    assert_eq!(servers[0].requests().len(), 3);
    rig.shutdown().await;
    Ok(())
}

/// Guards against an earlier error answer in place of the rest of a stream that has begun since.
#[tokio::test]
async fn error_answer_before_a_broken_stream_does_not_end_it() -> eyre::Result<()> {
    let error = answer(
        "500 Internal Server Error",
        "Content-Type: text/plain\r\n",
        ERROR_TEXT,
    );
    let (rig, servers) = RelayRig::with_servers(vec![vec![error, broken_stream()]]).await?;
    let answer = rig
        .send(&request("POST", "/draft/1", "r1", "", "x"))
        .await?;
    assert_eq!(servers[0].requests().len(), 2);
    assert!(answer.contains(&event(1)), "{answer}");
    assert!(!answer.contains(ERROR_TEXT), "{answer}");
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    rig.shutdown().await;
    Ok(())
}
