//! Statuses that promise that a request has not run, and never will: 408, 421, 429 and 503.

mod process_support;
mod relay_support;

use eyre::{OptionExt, ensure};
use foxtailhill_standins::EngineOptions;
use foxtailhill_standins::caller::CallerAnswer;
use foxtailhill_standins::cluster::{ClusterOptions, TestCluster};
use foxtailhill_standins::engine::EngineFault;
use foxtailhill_standins::service::ServiceFault;
use http::Method;
use relay_support::{RelayRig, Script, chunk, event, header, request, stream_head, whole};
use serde_json::json;

const PROMISES: [&str; 4] = [
    "408 Request Timeout",
    "421 Misdirected Request",
    "429 Too Many Requests",
    "503 Service Unavailable",
];
/// A request of each kind of route, and how often it may be sent: non-idempotent, a stream that cannot be resumed,
/// idempotent, a stream that can be resumed.
const REQUESTS: [(&str, &str, usize); 4] = [
    ("POST", "/confirm/1", 1),
    ("POST", "/batch/1", 1),
    ("GET", "/check/1", 2),
    ("POST", "/draft/1", 2),
];
/// More often than the product sends a model call.
const MAX_MODEL_SENDS: usize = 6;
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

fn is_promise(answer: &str) -> bool {
    PROMISES
        .iter()
        .any(|promise| promise.starts_with(status(answer)))
}

/// Builds the answer of a server that has run a request and does not state its length.
fn unsized_answer(status: &str, body: &str) -> String {
    let head = format!("HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\nServer-Stamp: stamp-1\r\n");
    format!(
        "{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk(body)
    )
}

/// Guards against telling a caller that its request has not run because a server that ran it answered with a status that
/// says so.
#[tokio::test]
async fn promise_of_a_server_that_ran_the_request_becomes_502() -> eyre::Result<()> {
    // Larger than what is held before it is forwarded.
    let large = "failed ".repeat(100_000);
    for promise in PROMISES {
        for answer in [
            whole(promise, "failed"),
            unsized_answer(promise, "failed"),
            whole(promise, &large),
            unsized_answer(promise, &large),
        ] {
            for (method, path, max_sends) in REQUESTS {
                let script = vec![Script::Answer(answer.clone())];
                let (rig, servers) = RelayRig::with_servers(vec![script]).await?;
                let answer = rig.send(&request(method, path, "r1", "", "x")).await;
                let sends = servers[0].requests().len();
                rig.shutdown().await;
                let answer = answer?;
                ensure!(status(&answer) == "502", "{path} {promise}: {answer:.200}");
                let stamp = header(&answer, "server-stamp");
                ensure!(
                    stamp.is_none(),
                    "{path} {promise}: a stamp with another status"
                );
                ensure!(sends <= max_sends, "{path} {promise}: sent {sends} times");
            }
        }
    }
    Ok(())
}

/// Guards against giving up a request that can be repeated when another server would answer it.
#[tokio::test]
async fn promise_of_one_server_is_no_answer_if_another_one_answers() -> eyre::Result<()> {
    for promise in PROMISES {
        let scripts = vec![
            Script::Answer(whole(promise, "failed")),
            Script::Answer(whole("200 OK", "good")),
        ];
        let (rig, _servers) = RelayRig::with_servers(vec![scripts]).await?;
        let answer = rig.send(&request("GET", "/check/1", "r1", "", "")).await;
        rig.shutdown().await;
        let answer = answer?;
        ensure!(answer.ends_with("good"), "{promise}: {answer}");
    }
    Ok(())
}

/// Guards against a promise that is made because the last of several servers refused a request, though an earlier one may
/// have run it.
#[tokio::test]
async fn refusal_after_a_run_is_no_promise() -> eyre::Result<()> {
    let ran = [
        Script::Reset(String::new()),
        Script::Answer(whole("503 Service Unavailable", "failed")),
        Script::Answer(whole("500 Internal Server Error", "failed")),
    ];
    for first in ran {
        for path in ["/check/1", "/draft/1"] {
            let scripts = vec![first.clone(), Script::Answer(REFUSAL.into())];
            let (rig, _servers) = RelayRig::with_servers(vec![scripts]).await?;
            let call = request("POST", path, "r1", "", "x").replace("3000", "500");
            let answer = rig.send(&call).await;
            rig.shutdown().await;
            let answer = answer?;
            ensure!(!is_promise(&answer), "{path} {first:?}: {answer}");
        }
    }
    Ok(())
}

/// Guards against a promise as the end of a stream of which the caller has a part.
#[tokio::test]
async fn promise_does_not_end_a_resumed_stream() -> eyre::Result<()> {
    for promise in PROMISES {
        let begun = format!("{}{}", stream_head(), chunk(&event(1)));
        let scripts = vec![
            Script::Reset(begun),
            Script::Answer(whole(promise, "failed")),
        ];
        let (rig, _servers) = RelayRig::with_servers(vec![scripts]).await?;
        let answer = rig.send(&request("POST", "/draft/1", "r1", "", "x")).await;
        rig.shutdown().await;
        let answer = answer?;
        ensure!(status(&answer) == "200", "{promise}: {answer}");
        ensure!(!answer.contains("failed"), "{promise}: {answer}");
        ensure!(
            !answer.ends_with("0\r\n\r\n"),
            "{promise}: complete: {answer}"
        );
    }
    Ok(())
}

/// Guards against taking an answer without any statement for a refusal, because it lacks the id of the request.
#[tokio::test]
async fn answer_without_an_id_is_no_refusal() -> eyre::Result<()> {
    for odd in PROMISES.iter().chain(&["400 Bad Request"]) {
        // A server that does not run a request states its own id with 421.
        if odd.starts_with("421") {
            continue;
        }
        let answer = format!("HTTP/1.1 {odd}\r\nContent-Length: 0\r\n\r\n");
        let (rig, servers) = RelayRig::with_servers(vec![vec![Script::Answer(answer)]]).await?;
        let answer = rig
            .send(&request("POST", "/confirm/1", "r1", "", "x"))
            .await;
        let sends = servers[0].requests().len();
        rig.shutdown().await;
        let answer = answer?;
        ensure!(status(&answer) == "502", "{odd}: {answer}");
        ensure!(sends == 1, "{odd}: sent {sends} times");
    }
    Ok(())
}

/// Guards against a request that is not refused any more though a server states that it has not run it.
#[tokio::test]
async fn stated_refusal_is_a_promise() -> eyre::Result<()> {
    for (method, path, _) in REQUESTS {
        let script = vec![Script::Answer(REFUSAL.into())];
        let (rig, _servers) = RelayRig::with_servers(vec![script]).await?;
        let call = request(method, path, "r1", "", "x").replace("3000", "500");
        let answer = rig.send(&call).await;
        rig.shutdown().await;
        let answer = answer?;
        ensure!(status(&answer) == "503", "{path}: {answer}");
    }
    Ok(())
}

/// A cluster of one daemon, one engine and one service, which routes that may and may not be repeated lead to.
async fn open_product() -> eyre::Result<TestCluster> {
    let zone = process_support::ZONES[0];
    let options = ClusterOptions {
        program: env!("CARGO_BIN_EXE_foxtailhill").into(),
        daemons: vec![process_support::daemons().remove(0)],
        engines: vec![process_support::engine(
            "engine-1",
            zone,
            EngineOptions::default(),
        )],
        services: vec![process_support::service("booking-1", zone)],
        ..ClusterOptions::default()
    };
    let mut cluster = TestCluster::open(options).await?;
    cluster.wait_ready().await?;
    let mut declaration = process_support::declaration(&cluster);
    let notices = json!({
        "name": "notices", "prefix": "/notices", "target": {"service": "booking"}, "repeatable": true
    });
    let routes = declaration["routes"].as_array_mut();
    routes.ok_or_eyre("routes")?.push(notices);
    cluster.declare(0, &declaration).await?;
    process_support::wait_until_served(&cluster, 0).await?;
    Ok(cluster)
}

fn check_failure(what: &str, answer: &CallerAnswer) -> eyre::Result<()> {
    let verdict = answer.verdict();
    ensure!(
        answer.status == 502 && verdict.as_deref() == Some("may_have_run"),
        "{what}: {answer:?}"
    );
    Ok(())
}

/// Guards against telling a caller of the product that its call has not run because a backend server that ran it answered
/// with a status that says so.
#[tokio::test(flavor = "multi_thread")]
async fn promise_of_a_backend_server_of_the_product_becomes_502() -> eyre::Result<()> {
    let cluster = open_product().await?;
    let (address, caller) = (
        cluster.daemons[0].addresses().caller,
        process_support::caller(),
    );
    let (service, engine) = (cluster.services[0].latest(), cluster.engines[0].latest());
    for promise in PROMISES {
        let status: u16 = promise[..3].parse()?;
        service.push_fault(ServiceFault::Fail { status });
        let key = format!("promise-{status}");
        let first = caller
            .submit(address, "/bookings/1", &key, "seat 7")
            .await?;
        check_failure("a call that runs at most once", &first)?;
        let repeated = caller
            .submit(address, "/bookings/1", &key, "seat 7")
            .await?;
        check_failure("a call that is sent again", &repeated)?;
        let count = cluster.services[0].count(&key);
        ensure!(count == 1, "{promise}: ran {count} times");

        service.push_fault(ServiceFault::Fail { status });
        let notice = caller.send(Method::POST, address, "/notices/1", &[], Vec::new());
        check_failure("a call that may be repeated", &notice.await?)?;

        for _ in 0..MAX_MODEL_SENDS {
            engine.push_fault(EngineFault::Fail { status });
        }
        let messages = r#"[{"role":"user","content":"a day in Palermo <tokens=3>"}]"#;
        let answer = caller.chat(address, "drafter", messages, 8).await?;
        ensure!(
            ![200, 408, 421, 429, 503].contains(&answer.status.as_u16()),
            "a model call: {answer:?}"
        );
        engine.clear_faults();
    }
    cluster.shutdown().await
}
