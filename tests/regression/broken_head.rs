//! A server stops in the middle of its answer's head and closes. Callers of other systems got a 200 with a short body, framed
//! as whole. It was not seen here; this holds it.

use std::time::Duration;

use eyre::{OptionExt, ensure};

use crate::relay_support::{RelayRig, Script, chunk, request, stream_head, whole};
use crate::unsent_request_at_shutdown::status;

/// Guards against an answer whose head breaks off and that is passed on as complete, at any place and on any route.
#[tokio::test]
async fn answer_whose_head_breaks_off_is_no_answer() -> eyre::Result<()> {
    let heads = [
        whole("200 OK", "body"),
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-1\r\n\r\nbody".into(),
        format!("{}{}0\r\n\r\n", stream_head(), chunk("id: 1\n\n")),
    ];
    for head in heads {
        let end = head.find("\r\n\r\n").ok_or_eyre("no end of the head")? + 4;
        let cuts = [0, 1, 5, 9, 12, 13, 15, 16, 17, 25, 40];
        for cut in cuts.into_iter().chain(end - 3..end) {
            for path in ["/check/1", "/confirm/1", "/draft/1", "/batch/1"] {
                let script = Script::AnswerAndClose(head[..cut].into());
                let (rig, _servers) = RelayRig::with_servers(vec![vec![script]]).await?;
                let sent = request("POST", path, "r1", "", "x");
                let answer =
                    tokio::time::timeout(Duration::from_secs(20), rig.send(&sent)).await??;
                // The server may have run the request, so that 503 would be untrue.
                ensure!(
                    status(&answer) == "502",
                    "{path}, {:?}: {answer}",
                    &head[..cut]
                );
                rig.shutdown().await;
            }
        }
    }
    Ok(())
}
