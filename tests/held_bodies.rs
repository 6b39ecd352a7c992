//! Request bodies that a daemon cannot hold, that stall or are too long, on both edges.

mod edge;
mod relay_support;

use std::net::SocketAddr;
use std::time::Duration;

use edge::EdgeFixture;
use eyre::ensure;
use foxtailhill::relay::RetryLimits;
use foxtailhill::settings::LimitSettings;
use relay_support::{HOST, KEY, RelayRig, Script, ScriptedServer, header, whole};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A body that the account below cannot hold. It is within the limit on bodies.
const UNHELD_BYTES: usize = 900_000;

fn limits() -> LimitSettings {
    LimitSettings {
        held_bytes: Some(1 << 20),
        body_bytes: 1 << 20,
        body_pause: Duration::from_millis(200),
        ..LimitSettings::default()
    }
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Sends bytes and reads until the daemon closes the connection.
async fn raw(address: SocketAddr, request: &[u8]) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request).await?;
    let mut answer = Vec::new();
    tokio::time::timeout(edge::WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await??;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Builds the head of a request that both edges read the body of.
fn head(framing: &str) -> String {
    format!(
        "POST /confirm/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\nDeadline-Ms: 3000\r\n\
         Authorization: Bearer {KEY}\r\nConnection: close\r\n{framing}\r\n\r\n"
    )
}

/// Requests, with their expected status. None of them has a complete body.
fn requests() -> Vec<(&'static str, Vec<u8>, [&'static str; 2])> {
    let unheld = head(&format!("Content-Length: {UNHELD_BYTES}"));
    let expecting = head(&format!(
        "Expect: 100-continue\r\nContent-Length: {UNHELD_BYTES}"
    ));
    let too_long = head(&format!("Content-Length: {}", 4 << 20));
    let stalled = format!("{}hello", head("Content-Length: 10"));
    let mut growing = head("Transfer-Encoding: chunked").into_bytes();
    growing.extend_from_slice(format!("{UNHELD_BYTES:x}\r\n").as_bytes());
    growing.resize(growing.len() + UNHELD_BYTES - 1, b'x');
    vec![
        ("no memory", unheld.into_bytes(), ["503", "503"]),
        (
            "no memory, expecting",
            expecting.into_bytes(),
            ["503", "503"],
        ),
        ("no memory, chunked", growing, ["503", "503"]),
        ("too long", too_long.into_bytes(), ["413", "413"]),
        ("stalled", stalled.into_bytes(), ["503", "408"]),
    ]
}

/// Guards against reading a body that cannot be held, against a stalled caller that keeps its memory, and against a refusal
/// that does not reach its caller, on the platform's edge.
#[tokio::test]
async fn relay_refuses_bodies_that_it_cannot_hold() -> eyre::Result<()> {
    let retries = RetryLimits {
        percent: 20,
        extra: 20,
    };
    let mut rig = RelayRig::open_with(retries, limits()).await?;
    rig.configure(|_| {})?;
    let server =
        ScriptedServer::bind(&rig.group, "i-0", [Script::Answer(whole("200 OK", "yes"))]).await?;
    rig.list_server(&server, "ready")?;
    for (what, request, [expected, _]) in requests() {
        let answer = raw(rig.address, &request).await?;
        ensure!(status(&answer) == expected, "{what}: {answer}");
        let has_wait = header(&answer, "retry-after").is_some();
        ensure!(
            has_wait || !what.starts_with("no memory"),
            "{what}: {answer}"
        );
    }
    ensure!(server.requests().is_empty());
    let body = "x".repeat(500_000);
    let request = format!("{}{body}", head("Content-Length: 500000"));
    let answer = raw(rig.address, request.as_bytes()).await?;
    ensure!(status(&answer) == "200", "{answer}");
    ensure!(server.requests()[0].ends_with(&body));
    rig.shutdown().await;
    Ok(())
}

/// Guards against the same on the product's own edge.
#[tokio::test]
async fn product_edge_refuses_bodies_that_it_cannot_hold() -> eyre::Result<()> {
    let edge = EdgeFixture::open(limits()).await;
    for (what, request, [_, expected]) in requests() {
        let answer = raw(edge.server.address(), &request).await?;
        ensure!(status(&answer) == expected, "{what}: {answer}");
        let has_wait = header(&answer, "retry-after").is_some();
        ensure!(
            has_wait || !what.starts_with("no memory"),
            "{what}: {answer}"
        );
    }
    edge.assert_serves_callers().await;
    ensure!(edge.metrics.memory_refusals.get() == 3);
    edge.group.shutdown().await;
    Ok(())
}
