//! Faulty servers sent bytes without end. The daemon kept them all, up to 8 MiB for each request, until it ran out of memory
//! and ended with the requests of all other callers.

use std::time::Instant;

use eyre::{OptionExt, ensure};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::relay::{AnswerMemory, ServerChange, ServerEntry};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::relay_support::{
    RelayRig, Script, ScriptedServer, chunk, request, stream_head, until, whole,
};
use crate::unsent_request_at_shutdown::{DaemonProcess, TableStore, call, status};

const HEAD_WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-1\r\n\r\n";
/// A length beside chunks does not bound them.
const CHUNKS_AND_LENGTH: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-1\r\n\
    Content-Length: 100000000\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Ends a chunked answer that is complete.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Memory of a VM of the platform, in KiB.
const VM_MEMORY_KIB: u64 = 260 * 1_024;
/// Memory that the answers of one server may take, as docs/OPERATIONS.md states it.
const SERVER_SHARE_BYTES: usize = 4 << 20;
/// Path of requests that are answered without end.
const ENDLESS: &str = "/endless";

/// Answers requests that contain [`ENDLESS`] with `head` and then `part` without end.
fn endless(head: &str, part: &[u8]) -> Script {
    Script::EndlessOn {
        trigger: ENDLESS.into(),
        head: head.into(),
        part: part.repeat(1 + 4_096 / part.len()),
        answer: whole("200 OK", &"x".repeat(1 << 20)),
    }
}

/// Guards against a daemon that runs out of memory, and against sound large answers that do not pass meanwhile. Half of the
/// callers read nothing.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_leave_a_daemon_its_memory() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let chunks = chunk(&"x".repeat(1 << 10));
    let mut servers = Vec::new();
    for (index, script) in [
        endless(HEAD_WITHOUT_LENGTH, b"junk"),
        endless(&stream_head(), chunks.as_bytes()),
        endless(HEAD_WITHOUT_LENGTH, b"more junk"),
    ]
    .into_iter()
    .enumerate()
    {
        servers.push(ScriptedServer::bind(&group, &format!("i-{index}"), [script]).await?);
    }
    let store = TableStore::bind_with(&group, &servers, 64).await?;
    let daemon = DaemonProcess::start(&store, "1s").await?;
    let mut open = Vec::new();
    for index in 0..120 {
        let mut stream = TcpStream::connect(daemon.caller).await?;
        let path = ["/confirm", "/check"][index / 2 % 2].to_owned() + ENDLESS;
        let request = call(&path, &format!("e{index}"), 0);
        stream.write_all(request.as_bytes()).await?;
        open.push(stream);
    }
    let count = || servers.iter().map(|server| server.requests().len()).sum();
    until("the requests at the servers", || {
        let count: usize = count();
        count >= 120
    })
    .await?;
    for stream in open.iter_mut().step_by(2) {
        stream.read_exact(&mut vec![0; 1 << 20]).await?;
    }
    for index in 0..6 {
        let mut stream = TcpStream::connect(daemon.caller).await?;
        let request = call("/check/1", &format!("s{index}"), 0);
        stream.write_all(request.as_bytes()).await?;
        let mut answer = vec![0; 1 << 20];
        stream.read_exact(&mut answer).await?;
        let answer = String::from_utf8_lossy(&answer);
        ensure!(status(&answer) == "200", "{}", &answer[..200]);
    }
    let process = std::fs::read_to_string(format!("/proc/{}/status", daemon.id()))?;
    let peak = process.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.ok_or_eyre("no peak")?.trim().trim_end_matches(" kB");
    let peak: u64 = peak.parse()?;
    println!("peak of the daemon: {} MiB", peak / 1_024);
    ensure!(peak < VM_MEMORY_KIB, "the daemon held {peak} KiB");
    drop(daemon);
    group.shutdown().await;
    Ok(())
}

/// Joins the chunks of an answer's body, up to the last whole one.
fn join_chunks(answer: &str) -> eyre::Result<String> {
    let (_, mut rest) = answer.split_once("\r\n\r\n").ok_or_eyre("no head")?;
    let mut body = String::new();
    while let Some((length, data)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16)?;
        let Some(chunk) = data.get(..length) else {
            break;
        };
        body += chunk;
        rest = data[length..].strip_prefix("\r\n").unwrap_or_default();
    }
    Ok(body)
}

/// Guards against a large sound answer that does not pass, or one that breaks off and looks complete.
#[tokio::test]
async fn large_answers_are_forwarded_whole() -> eyre::Result<()> {
    let body: String = (0..1 << 20).map(|word| format!("{word:08x},")).collect();
    let short = &body[..2 << 20];
    let chunks: String = (0..64)
        .map(|index| chunk(&short[index << 15..][..1 << 15]))
        .collect();
    let sized = whole("200 OK", &body);
    let unframed = format!("{HEAD_WITHOUT_LENGTH}{short}");
    let in_chunks = format!("{}{chunks}", stream_head());
    for (case, script, body, is_whole) in [
        ("length", Script::Answer(sized.clone()), &*body, true),
        (
            "chunks",
            Script::Answer(format!("{in_chunks}{LAST_CHUNK}")),
            short,
            true,
        ),
        (
            "neither",
            Script::AnswerAndClose(unframed.clone()),
            short,
            true,
        ),
        (
            "cut length",
            Script::AnswerAndClose(sized[..4 << 20].into()),
            &*body,
            false,
        ),
        ("crash", Script::AnswerAndCrash(unframed), short, false),
        (
            "no last chunk",
            Script::AnswerAndClose(in_chunks),
            short,
            false,
        ),
    ] {
        let (rig, _servers) = RelayRig::with_servers(vec![vec![script]]).await?;
        let answer = rig
            .send(&request("POST", "/confirm/1", "r1", "", "x"))
            .await?;
        ensure!(status(&answer) == "200", "{case}: {}", &answer[..200]);
        ensure!(answer.ends_with(LAST_CHUNK) == is_whole, "{case}");
        let received = join_chunks(&answer)?;
        ensure!(body.starts_with(&received), "{case}: other bytes");
        ensure!(
            !is_whole || received.len() == body.len(),
            "{case}: {}",
            received.len()
        );
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against answers that take a daemon's memory or time until their deadline, and against a server that goes on to get
/// requests although it sends them.
#[tokio::test]
async fn server_without_end_is_given_up_and_avoided() -> eyre::Result<()> {
    let event = "id: 1\ndata: word\n\n";
    let chunks = chunk(&"x".repeat(16 << 10));
    for (path, head, part, expected) in [
        ("/confirm", HEAD_WITHOUT_LENGTH, "junk", "200"),
        ("/confirm", CHUNKS_AND_LENGTH, &*chunks, "200"),
        ("/batch", HEAD_WITHOUT_LENGTH, "data: junk", "502"),
        ("/confirm", "", "HTTP/1.1 103 Early Hints\r\n\r\n", "502"),
        ("/batch", "", "HTTP/1.1 102 Processing\r\n\r\n", "502"),
        ("/confirm", "HTTP/1.1 200 OK\r\n", "Filler: x\r\n", "502"),
        ("/confirm", "HTTP/1.1 200 OK\r\nFiller: ", "x", "502"),
        ("/confirm", "", "junk", "502"),
    ] {
        let case = format!("{path} {:.40?}", part);
        let script = endless(head, part.as_bytes());
        let (rig, _servers) = RelayRig::with_servers(vec![vec![script]]).await?;
        let path = path.to_owned() + ENDLESS;
        let answer = rig.send(&request("POST", &path, "r1", "", event)).await?;
        ensure!(status(&answer) == expected, "{case}: {}", &answer[..100]);
        ensure!(!answer.ends_with(LAST_CHUNK), "{case}: looks complete");
        ensure!(rig.fleet.is_suspected("i-0"), "{case}: not avoided");
        rig.shutdown().await;
    }
    Ok(())
}

/// Guards against blaming a server for events that are no longer than allowed, when there is no memory for one more.
#[tokio::test]
async fn server_is_not_avoided_because_memory_is_short() -> eyre::Result<()> {
    // Each holds an incomplete event of almost 1 MiB, and all of them together more than the share of a server.
    const STREAMS: usize = 8;
    let part = format!("{HEAD_WITHOUT_LENGTH}data: {}", "x".repeat(1_000_000));
    let (rig, servers) = RelayRig::with_servers(vec![vec![Script::Stall(part)]]).await?;
    let entry = rig.fleet.servers().swap_remove(0);
    let put = ServerChange::Put(ServerEntry { slots: 64, ..entry });
    rig.fleet.apply(vec![put], Instant::now());
    let ids: Vec<String> = (0..STREAMS).map(|index| format!("r{index}")).collect();
    let requests = ids
        .iter()
        .map(|id| request("POST", "/batch/1", id, "", "x"));
    let requests: Vec<String> = requests.collect();
    let answers = requests.iter().map(|request| rig.send(request));
    let mut answers: FuturesUnordered<_> = answers.collect();
    let first = answers.next().await.ok_or_eyre("no answer")??;
    ensure!(status(&first) == "502", "{first}");
    ensure!(first.contains("no memory"), "{first}");
    ensure!(!rig.fleet.is_suspected("i-0"), "the server is avoided");
    ensure!(servers[0].requests().len() == STREAMS, "not all were sent");
    drop(answers);
    rig.shutdown().await;
    Ok(())
}

/// Guards against a faulty server that takes the memory of the others, and against memory that is not returned.
#[test]
fn each_server_has_a_share_of_the_memory() {
    let memory = AnswerMemory::default();
    let (faulty, sound) = ("i-0".into(), "i-1".into());
    let mut leases = Vec::new();
    loop {
        let mut lease = memory.lease(&faulty);
        if !lease.resize(256 << 10) {
            break;
        }
        leases.push(lease);
    }
    let used = memory.used();
    assert!(used > 0 && used <= SERVER_SHARE_BYTES, "{used}");
    let mut other = memory.lease(&sound);
    assert!(other.resize(256 << 10));
    assert!(!other.resize(256 << 20));
    assert!(other.resize(128 << 10));
    leases.clear();
    assert!(memory.used() < 128 << 10);
    assert!(memory.lease(&faulty).resize(256 << 10));
    let body = other.hold("whole".into());
    let copy = body.clone();
    drop(body);
    assert!(memory.used() > 0, "the body waits for its caller");
    drop(copy);
    assert_eq!(memory.used(), 0);
}
