//! A request that had waited since before the daemon knew how long answers take was passed on late in a planned stop, by
//! the target latency of its route, and cut although it had run.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use eyre::ensure;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::relay::AnswerTimes;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::relay_support::{Script, ScriptedServer, header, whole};
use crate::unsent_request_at_shutdown::{DaemonProcess, TableStore, call, status};

const SLOTS: u32 = 32;
/// Clients that send their next request when they have the answer: more than get a place at once.
const CLIENTS: [usize; 2] = [25, 40];
/// Pause between the starts of two clients.
const START_STEP: Duration = Duration::from_millis(12);
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Time after which the daemon is stopped.
const STOP_AFTER: Duration = Duration::from_millis(2_000);
/// With the balancer's lag, the daemon ends 3 s after the signal.
const DRAIN: &str = "2500ms";

/// The answer that a client got, empty if its connection ended without one.
struct ClientAnswer {
    id: String,
    head: String,
}

/// Sends one request after the other on kept connections until the daemon is gone.
async fn run_client(
    daemon: std::net::SocketAddr,
    client: usize,
    is_gone: Arc<AtomicBool>,
) -> eyre::Result<Vec<ClientAnswer>> {
    let mut answers = Vec::new();
    let mut number = 0;
    while !is_gone.load(Ordering::SeqCst) {
        // The daemon accepts no connection once it has ended.
        let Ok(stream) = TcpStream::connect(daemon).await else {
            break;
        };
        let mut stream = BufReader::new(stream);
        loop {
            let id = format!("c{client}-{number}");
            number += 1;
            let request = call("/confirm/1", &id, 0);
            if stream.write_all(request.as_bytes()).await.is_err() {
                break;
            }
            let head = read_answer(&mut stream).await.unwrap_or_default();
            let is_last = head.is_empty()
                || header(&head, "connection").is_some_and(|value| value == "close");
            let is_refused = status(&head) == "503";
            answers.push(ClientAnswer { id, head });
            if is_refused {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            if is_last {
                break;
            }
        }
    }
    Ok(answers)
}

/// Reads an answer to its end and returns its head.
async fn read_answer(stream: &mut BufReader<TcpStream>) -> eyre::Result<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        ensure!(stream.read_line(&mut head).await? > 0, "no answer");
    }
    let length = header(&head, "content-length").map_or(Ok(0), |text| text.parse())?;
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(head)
}

/// Guards against passing a request on during a planned stop whose answer comes after its end, which cuts it. None may be
/// cut that has reached a server, and none refused that has.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_cut_by_a_planned_stop_beside_long_answers() -> eyre::Result<()> {
    for clients in CLIENTS {
        stop_beside(clients).await?;
    }
    Ok(())
}

async fn stop_beside(clients: usize) -> eyre::Result<()> {
    let group = TaskGroup::new();
    let answer = Script::AnswerAfter(ANSWER_TIME, whole("200 OK", "done"));
    let server = ScriptedServer::bind(&group, "i-0", [answer]).await?;
    let servers = [server];
    let store = TableStore::bind_with(&group, &servers, SLOTS).await?;
    let mut daemon = DaemonProcess::start(&store, DRAIN).await?;
    let is_gone = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let mut running = Vec::new();
    for client in 0..clients {
        let task = run_client(daemon.caller, client, is_gone.clone());
        running.push(tokio::spawn(task));
        tokio::time::sleep(START_STEP).await;
    }
    tokio::time::sleep(STOP_AFTER.saturating_sub(started.elapsed())).await;
    daemon.terminate()?;
    daemon.wait_exit().await?;
    is_gone.store(true, Ordering::SeqCst);
    let ran: HashSet<String> = servers[0]
        .requests()
        .iter()
        .filter_map(|request| header(request, "request-id"))
        .collect();
    let mut served = 0;
    for task in running {
        for answer in task.await?? {
            let has_run = ran.contains(&answer.id);
            let is_kept = match status(&answer.head) {
                "200" => has_run,
                // A request that crosses the close of its connection gets no answer.
                "503" | "none" => !has_run,
                _ => false,
            };
            ensure!(is_kept, "{} has run: {has_run}; {}", answer.id, answer.head);
            served += usize::from(status(&answer.head) == "200");
        }
    }
    println!("{clients} clients: {served} requests were served");
    ensure!(served >= clients, "{served} requests were served");
    group.shutdown().await;
    Ok(())
}

/// Guards against an expected time without any margin where all answers so far took the same time.
#[test]
fn equal_answers_leave_a_margin_for_slower_ones() {
    let (times, route) = (AnswerTimes::default(), "batch".into());
    let now = Instant::now();
    for _ in 0..100 {
        times.record(&route, Duration::from_secs(3), now);
    }
    let expected = times.expected(&route).expect("a measured time");
    assert!(expected >= Duration::from_millis(3_300), "{expected:?}");
    assert!(expected <= Duration::from_secs(4), "{expected:?}");
}
