//! A replica crashes after the head of a stream and before its first event. Its answer has neither a length nor chunks.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::driver::{Case, ClientAnswer, Process, append, free_address, send};
use crate::http::BodyEnd;
use crate::replica::{EVENTS, MODEL};

const SERVICE: &str = "scribe";
const HOST: &str = "desk.example";
const KEY: &str = "key-of-the-desk";
/// One of these crashes at a time, a share of 0.17.
const REPLICAS: usize = 6;
/// Time from the head of an answer to the crash of its replica, which reads the prompt meanwhile.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// Requests that are sent one after the other.
const REQUESTS: usize = 5;
/// Time between the start of the machines and that of the traffic.
const START_TIME: Duration = Duration::from_secs(10);
/// Time in which a started replica is listed.
const LIST_TIME: Duration = Duration::from_secs(4);
const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"r-1","host":"desk.example","path-prefix":"/batch/","kind":"streaming","timeout-ms":15000,
"target-latency-ms":1500,"priority":0,"service":"scribe","max-attempts":1,"public":false,"sticky":true,
"resumable":false,"gap-aim-ms":300}],
"services":[{"name":"scribe","health-path":"/health","max-conns":250,"protocol":"h1","tls":false,
"engine":{"slots":32,"kv-capacity":117991,"models":[{"name":"m1","weights-mb":65000.0,"load-time-s":1.2,"adapters":0,
"adapter-mb":12.0,"warm-s":0.38,"disk-s":1.0}],"weights-mb":200000.0,"adapter-slots":8,"loads-per-s":2.9}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"desk","api-keys":["key-of-the-desk"],"priority":1,"unit":"tokens","plain-tokens":200,
"rate-per-s":74520,"burst":74520}]}"#;

/// Runs the case. Returns the exit code: 1 if the rule was broken, 0 if it held.
pub fn run(options: &HashMap<String, String>) -> Result<i32, String> {
    let mut case = Case::open(options)?;
    let _store = case.start_store()?;
    append(&case.store, "keyed.op", "config", CONFIG.as_bytes())
        .map_err(|error| error.to_string())?;
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        replicas.push(start_replica(&case, number)?);
    }
    let (_daemon, front) = case.start_daemon("front-1", "zone-a")?;
    std::thread::sleep(START_TIME);
    let mut broken = 0;
    for index in 1..=REQUESTS {
        let id = format!("request-{index}");
        case.note(&format!("{id} is sent"));
        let answer = std::thread::spawn({
            let (front, id) = (front.clone(), id.clone());
            move || send(&front, &head(&id), b"")
        });
        let server = wait_for_line(&case, &format!("head {id}"))?;
        case.note(&format!(
            "{server} runs {id} and has sent the head of its answer, without a length"
        ));
        if case.trouble {
            std::thread::sleep(CRASH_DELAY);
            replicas
                .iter_mut()
                .filter(|replica| replica.name == server)
                .for_each(Process::kill);
            replicas.retain(|replica| replica.name != server);
            case.note(&format!(
                "{server} crashes (SIGKILL), before its first event"
            ));
        }
        match answer.join() {
            Ok(Ok(answer)) => {
                let events = count_events(&answer);
                let is_success = answer.message.word(1).starts_with('2');
                let is_wrong = is_success && answer.end == BodyEnd::Complete && events < EVENTS;
                broken += u32::from(is_wrong);
                case.note(&format!(
                    "the client gets {}, stamp {:?}, {events} of {EVENTS} events, end of the body: {:?}{}",
                    answer.message.word(1),
                    answer.message.header("server-stamp").unwrap_or("none"),
                    answer.end,
                    if is_wrong { " <- ORDER" } else { "" },
                ));
                if !case.trouble && (events < EVENTS || answer.end != BodyEnd::Complete) {
                    return Err(format!(
                        "{id} was not answered though nothing was disturbed"
                    ));
                }
            }
            Ok(Err(error)) => case.note(&format!("the client gets no answer: {error}")),
            Err(_) => return Err("the client has panicked".into()),
        }
        if case.trouble {
            replicas.push(start_replica(&case, REPLICAS + index)?);
            std::thread::sleep(LIST_TIME);
        }
    }
    case.note(&format!(
        "{broken} of {REQUESTS} answers were framed as complete and were not"
    ));
    Ok(i32::from(broken > 0))
}

fn start_replica(case: &Case, number: usize) -> Result<Process, String> {
    let (name, address) = (format!("i-{number}"), free_address()?);
    let words = [
        "--bind",
        &address,
        "--id",
        &name,
        "--store",
        &case.store,
        "--service",
        SERVICE,
    ];
    let words = [&["replica"], &words[..], &["--zone", "zone-a"]].concat();
    case.start_standin(&name, &words)
}

fn head(id: &str) -> String {
    format!(
        "POST /batch/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: {MODEL}\r\nToken-Count: 100,{}\r\n\
         Prompt-Prefix: 5c1e07a2:80,{:x}:20\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: 0\r\n\r\n",
        6 * EVENTS,
        id.len() + id.bytes().map(usize::from).sum::<usize>(),
    )
}

/// Waits for a line of a replica and returns the replica's name.
fn wait_for_line(case: &Case, text: &str) -> Result<String, String> {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        match case.output.recv_timeout(left) {
            Ok(line) if line.text == text => return Ok(line.process),
            Ok(_) => {}
            Err(_) => return Err(format!("no replica wrote `{text}`")),
        }
    }
}

fn count_events(answer: &ClientAnswer) -> usize {
    String::from_utf8_lossy(&answer.message.body)
        .matches("\n\n")
        .count()
}
