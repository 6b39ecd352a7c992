//! Statuses of backend servers that callers must not see, and bodies after statuses that have none.

mod relay_support;

use std::sync::atomic::Ordering;

use eyre::ensure;
use foxtailhill::engine::{HttpService, ServiceClient, ServiceRequest};
use foxtailhill::error::RunVerdict;
use foxtailhill::kernel::TaskGroup;
use http::{HeaderMap, Method};
use relay_support::{RelayRig, Script, ScriptedServer, finish, request, whole};

/// Statuses outside 200 to 599, and text that is no status.
const INVALID: [&str; 7] = ["000", "099", "20", "199", "600", "999", "-20"];
/// A request of each kind of route: idempotent, non-idempotent, streaming.
const REQUESTS: [(&str, &str); 3] = [
    ("GET", "/check/1"),
    ("POST", "/confirm/1"),
    ("POST", "/draft/1"),
];

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Guards against passing an invalid status to a caller, and against using its connection for another request.
#[tokio::test]
async fn invalid_status_becomes_502() -> eyre::Result<()> {
    for (method, path) in REQUESTS {
        for invalid in INVALID {
            let script = Script::Answer(whole(&format!("{invalid} Odd"), "odd"));
            let (rig, servers) = RelayRig::with_servers(vec![vec![script]]).await?;
            let answer = rig.send(&request(method, path, "r1", "", "")).await;
            let sent = servers[0].requests().len();
            let connections = servers[0].connections.load(Ordering::SeqCst);
            rig.shutdown().await;
            let answer = answer?;
            ensure!(status(&answer) == "502", "{path} {invalid}: {answer}");
            ensure!(
                connections >= sent,
                "{path} {invalid}: {sent} requests on {connections} connections"
            );
        }
    }
    Ok(())
}

/// Guards against retrying a request that runs at most once after an invalid status, and against refusing one that can
/// be repeated although another attempt has a valid answer.
#[tokio::test]
async fn invalid_status_is_retried_only_if_the_request_can_be_repeated() -> eyre::Result<()> {
    for (method, path, expected, sends) in [
        ("GET", "/check/1", "200", 2),
        ("POST", "/confirm/1", "502", 1),
    ] {
        let scripts = vec![
            Script::Answer(whole("600 Odd", "odd")),
            Script::Answer(whole("200 OK", "good")),
        ];
        let (rig, servers) = RelayRig::with_servers(vec![scripts]).await?;
        let answer = rig.send(&request(method, path, "r1", "", "")).await;
        let sent = servers[0].requests().len();
        rig.shutdown().await;
        let answer = answer?;
        ensure!(status(&answer) == expected, "{path}: {answer}");
        ensure!(sent == sends, "{path}: sent {sent} times");
    }
    Ok(())
}

/// Guards against a request that hangs after a server has switched protocols, which no request asked for.
#[tokio::test]
async fn switch_of_protocols_becomes_502() -> eyre::Result<()> {
    for (method, path) in REQUESTS {
        let switch = "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\nConnection: upgrade\r\n\
                      Upgrade: other\r\n\r\nbytes of another protocol";
        let (rig, _servers) =
            RelayRig::with_servers(vec![vec![Script::Answer(switch.into())]]).await?;
        let answer = rig.send(&request(method, path, "r1", "", "")).await;
        rig.shutdown().await;
        let answer = answer?;
        ensure!(status(&answer) == "502", "{path}: {answer}");
    }
    Ok(())
}

/// Guards against taking the body after a status that has none for the next answer on the connection.
#[tokio::test]
async fn body_after_a_status_without_body_is_not_mixed_with_the_next_answer() -> eyre::Result<()> {
    for first in ["103 Early Hints", "204 No Content", "304 Not Modified"] {
        let odd = format!(
            "HTTP/1.1 {first}\r\nRequest-Id: {{id}}\r\nContent-Length: 60\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 5\r\n\r\nwrong"
        );
        let scripts = vec![
            Script::Answer(odd),
            Script::Answer(whole("200 OK", "right")),
        ];
        let (rig, _servers) = RelayRig::with_servers(vec![scripts]).await?;
        let sent = rig.send(&request("GET", "/check/1", "r1", "", "")).await;
        let next = rig.send(&request("GET", "/check/1", "r2", "", "")).await;
        rig.shutdown().await;
        let (sent, next) = (sent?, next?);
        ensure!(!sent.contains("wrong"), "{first}: {sent}");
        ensure!(next.ends_with("right"), "{first}: {next}");
    }
    Ok(())
}

/// Guards against an invalid status of a plain service on the product's own edge.
#[tokio::test]
async fn invalid_status_of_a_plain_service_is_an_error() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let result = async {
        for invalid in INVALID {
            let script = Script::Answer(whole(&format!("{invalid} Odd"), "odd"));
            let server = ScriptedServer::bind(&group, "i-0", [script]).await?;
            let service = HttpService::default();
            for _ in 0..2 {
                let answer = service.call(server.address, service_request()).await;
                let Err(error) = answer else {
                    eyre::bail!("{invalid}: {answer:?}");
                };
                ensure!(
                    error.verdict() == RunVerdict::MayHaveRun,
                    "{invalid}: {error}"
                );
            }
            let connections = server.connections.load(Ordering::SeqCst);
            ensure!(connections == 2, "{invalid}: {connections} connections");
        }
        Ok(())
    };
    let result = result.await;
    group.shutdown().await;
    result
}

fn service_request() -> ServiceRequest {
    ServiceRequest {
        id: "r1".into(),
        method: Method::GET,
        path: "/bookings/1".into(),
        headers: HeaderMap::new(),
        body: Default::default(),
    }
}

/// Guards against a relay that stops serving after invalid statuses.
#[tokio::test]
async fn server_is_used_again_after_invalid_statuses() -> eyre::Result<()> {
    let mut scripts = vec![Script::Answer(whole("999 Odd", "odd")); 3];
    scripts.push(Script::Answer(whole("200 OK", "good")));
    let (rig, _servers) = RelayRig::with_servers(vec![scripts]).await?;
    let check = async {
        for _ in 0..3 {
            let answer = rig
                .send(&request("POST", "/confirm/1", "r1", "", ""))
                .await?;
            ensure!(status(&answer) == "502", "{answer}");
        }
        let answer = rig
            .send(&request("POST", "/confirm/1", "r2", "", ""))
            .await?;
        ensure!(status(&answer) == "200", "{answer}");
        Ok(())
    };
    let checked = check.await;
    finish(rig, async { checked }).await
}
