//! The edge for opaque requests with misbehaving backend servers and callers.

mod relay_support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use foxtailhill::kernel::TaskGroup;
use foxtailhill::platform::EngineClient;
use foxtailhill::relay::{
    EngineControl, HeldModel, LoadItem, OrderContext, PlacementChange, ReplicaOrder, ServerChange,
};
use relay_support::{
    KEY, RelayRig, Script, ScriptedServer, chunk, event, header, request, stream_head, until, whole,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// Decodes a chunked body; `None` if it ends before its last chunk.
fn dechunk(answer: &str) -> Option<String> {
    let mut rest = body(answer);
    let mut whole = String::new();
    loop {
        let (size, tail) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(whole);
        }
        whole.push_str(tail.get(..size)?);
        rest = tail.get(size + 2..)?;
    }
}

/// Guards against forwarding the caller's key, or a header that only this system may set, to a server.
#[tokio::test]
async fn caller_key_and_system_headers_are_not_forwarded() -> eyre::Result<()> {
    let (rig, servers) =
        RelayRig::with_servers(vec![vec![Script::Answer(whole("200 OK", "yes"))]]).await?;
    let extra = "Tenant: north\r\nHold: 7\r\nKv-From: 10.0.0.1:1/x\r\nPin-Ms: 900\r\nKv-Backup: 10.0.0.1:1\r\n\
                 Expect-Instance: i-9\r\nRequest-Urgency: 0\r\nX-Other: kept\r\n";
    let answer = rig
        .send(&request("POST", "/confirm/7?a=b", "r1", extra, "two seats"))
        .await?;
    assert_eq!((status(&answer), body(&answer)), ("200", "yes"), "{answer}");
    assert_eq!(header(&answer, "server-stamp").as_deref(), Some("stamp-1"));
    let received = &servers[0].requests()[0];
    assert!(
        received.starts_with("POST /confirm/7?a=b HTTP/1.1\r\n"),
        "{received}"
    );
    assert!(received.ends_with("\r\n\r\ntwo seats"), "{received}");
    assert!(!received.contains(KEY), "{received}");
    for (name, value) in [
        ("tenant", Some("south")),
        ("expect-instance", Some("i-0")),
        ("x-other", Some("kept")),
        ("hold", None),
        ("kv-from", None),
        ("kv-backup", None),
        ("pin-ms", None),
    ] {
        assert_eq!(
            header(received, name).as_deref(),
            value,
            "{name}: {received}"
        );
    }
    let left: u64 = header(received, "deadline-ms")
        .unwrap_or_default()
        .parse()?;
    assert!(left <= 3_000, "{left}");
    rig.shutdown().await;
    Ok(())
}

/// Guards against 401 or 404 before a configuration is loaded, and against 503 in their place afterwards.
#[tokio::test]
async fn daemon_without_configuration_answers_503() -> eyre::Result<()> {
    let mut rig = RelayRig::open().await?;
    let call = request("GET", "/check/1", "r1", "", "");
    assert_eq!(status(&rig.send(&call).await?), "503");
    rig.configure(|_| {})?;
    let server =
        ScriptedServer::bind(&rig.group, "i-0", [Script::Answer(whole("200 OK", "yes"))]).await?;
    rig.list_server(&server, "ready")?;
    assert_eq!(status(&rig.send(&call).await?), "200");
    let unknown = request("GET", "/nowhere/1", "r2", "", "");
    assert_eq!(status(&rig.send(&unknown).await?), "404");
    rig.configure(|config| config["tenants"][0]["api-keys"] = serde_json::json!(["another"]))?;
    assert_eq!(status(&rig.send(&call).await?), "401");
    rig.shutdown().await;
    Ok(())
}

/// Guards against an older configuration that arrives after a newer one and replaces it.
#[tokio::test]
async fn older_configuration_does_not_replace_a_newer_one() -> eyre::Result<()> {
    let mut rig = RelayRig::open().await?;
    rig.configure(|config| config["version"] = 9.into())?;
    rig.configure(|config| {
        config["version"] = 8.into();
        config["routes"] = serde_json::json!([]);
    })?;
    assert_eq!(rig.configs.version(), 9);
    rig.shutdown().await;
    Ok(())
}

/// Guards against forwarding an answer to the caller of another request.
#[tokio::test]
async fn answer_with_another_request_id_is_not_forwarded() -> eyre::Result<()> {
    let foreign = Script::Answer(whole("200 OK", "for another").replace("{id}", "r-other"));
    let good = Script::Answer(whole("200 OK", "mine"));
    let (rig, servers) = RelayRig::with_servers(vec![vec![foreign, good]]).await?;
    let confirm = rig
        .send(&request("POST", "/confirm/1", "r1", "", "x"))
        .await?;
    assert_eq!(status(&confirm), "502", "{confirm}");
    assert_eq!(
        servers[0].requests().len(),
        1,
        "a request that runs at most once was sent again"
    );
    let check = rig.send(&request("GET", "/check/1", "r2", "", "")).await?;
    assert_eq!((status(&check), body(&check)), ("200", "mine"));
    rig.shutdown().await;
    Ok(())
}

/// Guards against taking an extra answer for the answer to the next request on the same connection.
#[tokio::test]
async fn extra_answer_on_a_kept_connection_is_not_forwarded() -> eyre::Result<()> {
    let twice = format!("{}{}", whole("200 OK", "first"), whole("200 OK", "first"));
    let good = Script::Answer(whole("200 OK", "second"));
    let (rig, _servers) = RelayRig::with_servers(vec![vec![Script::Answer(twice), good]]).await?;
    let first = rig.send(&request("GET", "/check/1", "r1", "", "")).await?;
    assert_eq!(body(&first), "first");
    let second = rig.send(&request("GET", "/check/2", "r2", "", "")).await?;
    assert_eq!(
        (status(&second), body(&second)),
        ("200", "second"),
        "{second}"
    );
    rig.shutdown().await;
    Ok(())
}

/// Guards against a truncated answer that looks complete, and against running a non-idempotent request twice.
#[tokio::test]
async fn truncated_answer_is_an_error_and_not_retried() -> eyre::Result<()> {
    let truncated = whole("200 OK", "0123456789").replace("0123456789", "01234");
    let (rig, servers) = RelayRig::with_servers(vec![
        vec![Script::AnswerAndClose(truncated.clone())],
        vec![Script::AnswerAndClose(truncated)],
    ])
    .await?;
    let answer = rig
        .send(&request("POST", "/confirm/1", "r1", "", "x"))
        .await?;
    assert_eq!(status(&answer), "502", "{answer}");
    let runs: usize = servers.iter().map(|server| server.requests().len()).sum();
    assert_eq!(runs, 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against failing an idempotent request although another server can answer it.
#[tokio::test]
async fn idempotent_request_is_retried_on_another_server() -> eyre::Result<()> {
    for failure in [
        Script::Reset(String::new()),
        Script::Answer(whole("500 Internal Server Error", "sorry")),
        Script::Stall(String::new()),
        Script::AnswerAndClose("no HTTP at all\r\n\r\n".into()),
    ] {
        let good = Script::Answer(whole("200 OK", "yes"));
        let (rig, servers) = RelayRig::with_servers(vec![vec![failure.clone()]]).await?;
        let second = ScriptedServer::bind(&rig.group, "i-1", [good]).await?;
        let call = request("GET", "/check/1", "r1", "", "");
        let answer = rig.send(&call);
        let listed = async {
            until("the first send", || !servers[0].requests().is_empty()).await?;
            rig.list_server(&second, "ready")
        };
        let (answer, listed) = tokio::join!(answer, listed);
        listed?;
        assert_eq!(status(&answer?), "200", "{failure:?}");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against replacing the error answer of a server when no other server can answer.
#[tokio::test]
async fn error_answer_of_the_only_server_is_forwarded_unchanged() -> eyre::Result<()> {
    let failure = Script::Answer(whole("500 Internal Server Error", "sorry"));
    let (rig, _servers) = RelayRig::with_servers(vec![vec![failure]]).await?;
    let answer = rig.send(&request("GET", "/check/1", "r1", "", "")).await?;
    assert_eq!(
        (status(&answer), body(&answer)),
        ("500", "sorry"),
        "{answer}"
    );
    assert_eq!(header(&answer, "server-stamp").as_deref(), Some("stamp-1"));
    rig.shutdown().await;
    Ok(())
}

/// Guards against failing a request because one server is full, also if it may run only once.
#[tokio::test]
async fn refused_request_is_sent_to_another_server() -> eyre::Result<()> {
    let (rig, servers) = RelayRig::with_servers(vec![
        vec![Script::Answer(REFUSAL.into())],
        vec![
            Script::Answer(REFUSAL.into()),
            Script::Answer(whole("200 OK", "yes")),
        ],
    ])
    .await?;
    let answer = rig
        .send(&request("POST", "/confirm/1", "r1", "", "x"))
        .await?;
    let sent: usize = servers.iter().map(|server| server.requests().len()).sum();
    assert_eq!(status(&answer), "200", "{answer} after {sent} sends");
    rig.shutdown().await;
    Ok(())
}

/// Guards against running a request on another process at a reused address, whose refusal means that it has not run.
#[tokio::test]
async fn answer_of_another_instance_counts_as_not_run() -> eyre::Result<()> {
    let other = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n";
    let (rig, _servers) = RelayRig::with_servers(vec![vec![Script::Answer(other.into())]]).await?;
    let extra = "";
    let call = request("POST", "/confirm/1", "r1", extra, "x").replace("3000", "300");
    let answer = rig.send(&call).await?;
    assert_eq!(status(&answer), "503", "{answer}");
    rig.shutdown().await;
    Ok(())
}

/// Guards against 503 or 429, which state that a request has not run, after the server may have run it.
#[tokio::test]
async fn request_that_may_have_run_gets_no_not_run_status() -> eyre::Result<()> {
    let (rig, servers) = RelayRig::with_servers(vec![vec![Script::Stall(String::new())]]).await?;
    let call = request("POST", "/confirm/1", "r1", "", "x").replace("3000", "300");
    let answer = rig.send(&call).await?;
    assert_eq!(status(&answer), "504", "{answer}");
    assert_eq!(servers[0].requests().len(), 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against events that are lost, repeated or from two runs when a stream is resumed on another server.
#[tokio::test]
async fn broken_stream_resumes_after_its_last_complete_event() -> eyre::Result<()> {
    let half = &event(3)[..7];
    let truncated = format!(
        "{}{}{}",
        stream_head(),
        chunk(&event(1)),
        chunk(&format!("{}{half}", event(2)))
    );
    let rest = format!(
        "{}{}{}0\r\n\r\n",
        stream_head().replace("stamp-1", "stamp-2"),
        chunk(&event(3)),
        chunk(&event(4))
    );
    let (rig, servers) =
        RelayRig::with_servers(vec![vec![Script::Reset(truncated), Script::Answer(rest)]]).await?;
    let answer = rig
        .send(&request("POST", "/draft/1", "r1", "", "x"))
        .await?;
    let events: String = (1..=4).map(event).collect();
    assert_eq!(dechunk(&answer), Some(events), "{answer}");
    assert_eq!(header(&answer, "server-stamp").as_deref(), Some("stamp-1"));
    let requests = servers[0].requests();
    assert_eq!(header(&requests[1], "last-event-id").as_deref(), Some("2"));
    rig.shutdown().await;
    Ok(())
}

/// Guards against giving up a stream whose connection breaks after the wait limit counted from its arrival.
#[tokio::test]
async fn stream_that_breaks_after_the_wait_limit_is_resumed() -> eyre::Result<()> {
    // Both pauses together exceed the wait limit of a request that has received nothing.
    let pause = Duration::from_millis(1_700);
    let first = format!("{}{}", stream_head(), chunk(&event(1)));
    let truncated = vec![(first, pause), (chunk(&event(2)), pause)];
    let rest = format!("{}{}0\r\n\r\n", stream_head(), chunk(&event(3)));
    let (rig, servers) =
        RelayRig::with_servers(vec![vec![Script::Paced(truncated), Script::Answer(rest)]]).await?;
    // The wait of the caller is 8 times the pause that the route allows.
    let call = request("POST", "/patient/1", "r1", "", "x").replace("3000", "9000");
    let answer = rig.send(&call).await?;
    assert_eq!(
        dechunk(&answer),
        Some((1..=3).map(event).collect()),
        "{answer}"
    );
    assert_eq!(servers[0].requests().len(), 2);
    rig.shutdown().await;
    Ok(())
}

/// Guards against a broken stream that looks complete, and against a second run where none is allowed.
#[tokio::test]
async fn broken_stream_that_is_not_resumable_breaks_the_connection() -> eyre::Result<()> {
    let truncated = format!("{}{}", stream_head(), chunk(&event(1)));
    let (rig, servers) = RelayRig::with_servers(vec![vec![Script::Reset(truncated)]]).await?;
    let answer = rig
        .send(&request("POST", "/batch/1", "r1", "", "x"))
        .await?;
    assert!(body(&answer).contains(&event(1)), "{answer}");
    assert_eq!(dechunk(&answer), None, "{answer}");
    assert_eq!(servers[0].requests().len(), 1);
    rig.shutdown().await;
    Ok(())
}

/// Guards against taking an answer without a length for truncated, or one that ends with a reset for complete.
#[tokio::test]
async fn answer_without_length_ends_with_its_connection() -> eyre::Result<()> {
    let unframed = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\r\nall of it";
    let (rig, _servers) = RelayRig::with_servers(vec![vec![
        Script::AnswerAndClose(unframed.into()),
        Script::Reset(unframed.into()),
    ]])
    .await?;
    let answer = rig
        .send(&request("POST", "/confirm/1", "r1", "", "x"))
        .await?;
    assert_eq!(
        (status(&answer), body(&answer)),
        ("200", "all of it"),
        "{answer}"
    );
    let answer = rig
        .send(&request("POST", "/confirm/2", "r2", "", "x"))
        .await?;
    assert_eq!(status(&answer), "502", "{answer}");
    rig.shutdown().await;
    Ok(())
}

/// Guards against other bytes in place of a long request body whose answer arrives early.
#[tokio::test]
async fn early_answer_does_not_corrupt_a_long_request_body() -> eyre::Result<()> {
    let early = Script::Early(whole("200 OK", "seen"));
    let good = Script::Answer(whole("200 OK", "next"));
    let (rig, servers) = RelayRig::with_servers(vec![vec![early, good]]).await?;
    let long = "long body ".repeat(50_000);
    let answer = rig
        .send(&request("POST", "/check/1", "r1", "", &long))
        .await?;
    assert_eq!((status(&answer), body(&answer)), ("200", "seen"));
    let answer = rig.send(&request("GET", "/check/2", "r2", "", "")).await?;
    assert_eq!((status(&answer), body(&answer)), ("200", "next"));
    // The first connection may end before the whole body is sent. Every request that was received must be unchanged.
    for received in servers[0].requests() {
        let is_long = received.starts_with("POST /check/1") && received.ends_with(&long);
        assert!(
            is_long || received.starts_with("GET /check/2"),
            "{:.200}",
            received
        );
    }
    rig.shutdown().await;
    Ok(())
}

/// Guards against a server that continues to process a request after the caller has disconnected.
#[tokio::test]
async fn caller_disconnect_resets_the_server_connection() -> eyre::Result<()> {
    let started = format!("{}{}", stream_head(), chunk(&event(1)));
    let (rig, servers) = RelayRig::with_servers(vec![vec![
        Script::Stall(String::new()),
        Script::Stall(started),
    ]])
    .await?;
    for (count, path) in [(1, "/confirm/1"), (2, "/batch/1")] {
        let mut stream = TcpStream::connect(rig.address).await?;
        stream
            .write_all(request("POST", path, "r1", "", "x").as_bytes())
            .await?;
        until("the send", || servers[0].requests().len() == count).await?;
        if count == 2 {
            let mut first = [0; 12];
            stream.read_exact(&mut first).await?;
        }
        drop(stream);
        let is_closed = || servers[0].abandoned.load(Ordering::SeqCst) == count;
        until("the end of the server's connection", is_closed).await?;
        // Only a reset discards bytes that an interrupted link holds back.
        assert_eq!(servers[0].resets.load(Ordering::SeqCst), count);
    }
    rig.shutdown().await;
    Ok(())
}

/// Guards against an order that an interrupted link delays until after the orders of another planner.
#[tokio::test]
async fn abandoned_order_resets_its_connection() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let engine = ScriptedServer::bind(&group, "i-0", [Script::Stall(String::new())]).await?;
    let order = ReplicaOrder::Load(LoadItem {
        model: "drafter".into(),
        adapter: None,
    });
    let context = OrderContext {
        holder: "entry-1".into(),
        fence: 1,
        expected_orders: 0,
    };
    let answer = EngineClient::open()
        .order("i-0", engine.address, &order, &context)
        .await;
    assert!(answer.is_err(), "{answer:?}");
    until("the reset", || engine.resets.load(Ordering::SeqCst) == 1).await?;
    group.shutdown().await;
    Ok(())
}

/// Guards against new requests to a draining server, and against the loss of its running requests.
#[tokio::test]
async fn leaving_server_gets_no_new_request() -> eyre::Result<()> {
    let answer = || vec![Script::Answer(whole("200 OK", "yes"))];
    let (rig, servers) = RelayRig::with_servers(vec![answer(), answer()]).await?;
    rig.list_server(&servers[0], "draining")?;
    for id in 0..10 {
        let call = request("GET", "/check/1", &format!("r{id}"), "", "");
        assert_eq!(status(&rig.send(&call).await?), "200");
    }
    assert_eq!(
        (servers[0].requests().len(), servers[1].requests().len()),
        (0, 10)
    );
    rig.shutdown().await;
    Ok(())
}

/// Guards against further requests on idle connections to a daemon that is shutting down.
#[tokio::test]
async fn draining_daemon_asks_callers_to_close() -> eyre::Result<()> {
    let (rig, _servers) =
        RelayRig::with_servers(vec![vec![Script::Answer(whole("200 OK", "yes"))]]).await?;
    rig.draining.store(true, Ordering::Relaxed);
    let call = request("GET", "/check/1", "r1", "", "").replace("Connection: close\r\n", "");
    let answer = rig.send(&call).await?;
    assert_eq!(
        header(&answer, "connection").as_deref(),
        Some("close"),
        "{answer}"
    );
    rig.shutdown().await;
    Ok(())
}

/// Guards against a request that crashes one server after another, and against refusing requests whose connections
/// broke while their servers kept running.
#[tokio::test]
async fn request_that_crashes_its_servers_is_refused() -> eyre::Result<()> {
    for crashes in [false, true] {
        let reset = || vec![Script::Reset(String::new())];
        let (rig, servers) = RelayRig::with_servers(vec![reset(), reset()]).await?;
        let sends = || servers[0].requests().len() + servers[1].requests().len();
        let call = request("GET", "/check/1", "r1", "", "");
        assert_eq!(status(&rig.send(&call).await?), "502");
        assert_eq!(sends(), 2);
        if crashes {
            let restarted = rig.fleet.servers().into_iter().map(|mut server| {
                server.born_ms += 5_000;
                ServerChange::Put(server)
            });
            rig.fleet.apply(restarted.collect(), Instant::now());
            // The next tick of the fleet view reports the ended servers to the core.
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let again = request("GET", "/check/1", "r2", "", "");
        let expected = if crashes { "503" } else { "502" };
        assert_eq!(status(&rig.send(&again).await?), expected);
        assert_eq!(sends() == 2, crashes, "{} sends", sends());
        let other = request("GET", "/check/2", "r3", "", "");
        assert_eq!(status(&rig.send(&other).await?), "502");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against keeping a caller waiting for a load that takes longer than its wait limit, and against a refusal when
/// the load is short.
#[tokio::test]
async fn request_for_an_absent_model_gets_retry_after() -> eyre::Result<()> {
    for (in_host_memory, expected) in [(false, "503"), (true, "200")] {
        let answer = vec![Script::Answer(whole("200 OK", "id: 1\n\n"))];
        let (mut rig, servers) = RelayRig::with_servers(vec![answer]).await?;
        rig.configure(|config| {
            config["services"][0]["engine"] = json!({
                "slots": 4, "kv-capacity": 1_000, "weights-mb": 100.0, "adapter-slots": 1, "loads-per-s": 1.0,
                "models": [{"name": "m1", "weights-mb": 10.0, "load-time-s": 5.0, "warm-s": 0.1}]
            });
        })?;
        let mut engine = rig.fleet.servers().remove(0);
        engine.models = vec![HeldModel {
            name: "m0".into(),
            ..HeldModel::default()
        }];
        if in_host_memory {
            engine.in_host_memory.push("m1".into());
        }
        rig.fleet
            .apply(vec![ServerChange::Put(engine)], Instant::now());
        let placement = PlacementChange {
            server: servers[0].id.as_str().into(),
            item: LoadItem {
                model: "m1".into(),
                adapter: None,
            },
            present: true,
        };
        let fleet = rig.fleet.clone();
        rig.group.spawn_cancellable(async move {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.note_placements(&[placement], Instant::now());
        });
        let call = request("POST", "/draft/1", "r1", "Model: m1\r\n", "x");
        let answer = rig.send(&call).await?;
        assert_eq!(status(&answer), expected, "{answer}");
        if !in_host_memory {
            let wait: f64 = header(&answer, "retry-after").unwrap_or_default().parse()?;
            assert!((5.0..6.0).contains(&wait), "{wait}");
            assert!(servers[0].requests().is_empty());
        }
        rig.shutdown().await;
    }
    Ok(())
}
