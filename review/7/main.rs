//! One replica fails a part of the requests that it has run, with a 503 that does not say that they have not run. No client
//! of a request that may run once only may be told 408, 421, 429 or 503 then.

#[path = "../tools-2/platform.rs"]
mod platform;

use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::*;

const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(15);
/// The disruption `srv_grey` of the site file: its length, and the share of requests that fail, in percent.
const GREY_TIME: Duration = Duration::from_millis(4_000);
const FAILED_PERCENT: u64 = 45;
/// Requests a second of `seat-confirm`, and their deadline.
const RATE: u64 = 21;
const DEADLINE: Duration = Duration::from_millis(1_000);
const CALM_TIME: Duration = Duration::from_secs(5);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"seat-confirm","host":"h.example","path-prefix":"/confirm/","kind":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"booking-desk","max-attempts":1,"public":false}],
"services":[{"name":"booking-desk","health-path":"/health","max-conns":100,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"team","api-keys":["key1"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":74520,"burst":74520}]}"#;

fn main() {
    run_script(script)
}

/// What all replicas have done.
#[derive(Default)]
struct Journal {
    runs: Mutex<HashSet<String>>,
    /// Whether the first replica is grey.
    is_grey: AtomicBool,
    count: AtomicU64,
}

fn serve(stream: TcpStream, index: usize, journal: &Journal, running: &AtomicU64, record: &Record) {
    let mut reader = Reader::new(stream);
    let id = format!("i-{index}");
    while let Ok(Some(request)) = reader.message() {
        let reply = if request.header("expect-instance") != Some(&id) {
            answer("421 Misdirected Request", &[("Instance-Id", &id)], b"")
        } else if running.fetch_add(1, Ordering::SeqCst) >= SLOTS as u64 {
            running.fetch_sub(1, Ordering::SeqCst);
            answer("503 Service Unavailable", &[("Not-Run", "1")], b"")
        } else {
            let reply = run(&request, index, journal, record);
            running.fetch_sub(1, Ordering::SeqCst);
            reply
        };
        if reader.stream.write_all(&reply).is_err() {
            return;
        }
    }
}

fn run(request: &Message, index: usize, journal: &Journal, record: &Record) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or_default();
    journal.runs.lock().unwrap().insert(id.to_owned());
    thread::sleep(WORK);
    let headers = [("Request-Id", id), ("Server-Stamp", "stamp")];
    let fails = index == 0
        && journal.is_grey.load(Ordering::SeqCst)
        && journal.count.fetch_add(1, Ordering::SeqCst) * FAILED_PERCENT % 100 < FAILED_PERCENT;
    record.note(format!(
        "i-{index}: {id} has run{}",
        if fails { " and fails" } else { "" }
    ));
    match fails {
        true => answer("503 Service Unavailable", &headers, b"failed"),
        false => answer("200 OK", &headers, b"seat confirmed"),
    }
}

fn script(record: &Record) -> bool {
    let folder = Folder::create();
    let store = Store::open("127.0.0.1");
    store.put("keyed.op", "config", CONFIG);
    let journal = Arc::<Journal>::default();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let (shared, noted, running) = (journal.clone(), record.clone(), AtomicU64::new(0));
        let address = listen(&format!("127.0.0.{}", 21 + index), move |stream| {
            serve(stream, index, &shared, &running, &noted)
        });
        let store = store.clone();
        thread::spawn(move || {
            for seq in 1.. {
                let entry = format!(
                    r#"{{"service":"booking-desk","address":"{address}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","cold-left-ms":0,"seq":{seq},"born":1000}}"#
                );
                store.put("keyed.servers", &format!("i-{index}"), &entry);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    let mut daemons: Vec<Daemon> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let ip = format!("127.0.0.{}", 11 + index);
            Daemon::prepare(
                &folder,
                &format!("front-{zone}-1"),
                zone,
                &ip,
                store.address,
            )
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(8));

    let broken = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut clients = Vec::new();
    for count in 0.. {
        let elapsed = start.elapsed();
        if elapsed > CALM_TIME * 2 + GREY_TIME {
            break;
        }
        let is_grey = has_trouble() && elapsed > CALM_TIME && elapsed < CALM_TIME + GREY_TIME;
        if journal.is_grey.swap(is_grey, Ordering::SeqCst) != is_grey {
            record.note(format!("i-0 is grey: {is_grey}"));
        }
        let caller = daemons[count % daemons.len()].caller;
        let (journal, record, broken) = (journal.clone(), record.clone(), broken.clone());
        clients.push(thread::spawn(move || {
            if !confirm(caller, count, &journal, &record) {
                broken.fetch_add(1, Ordering::SeqCst);
            }
        }));
        thread::sleep(Duration::from_millis(1_000 / RATE));
    }
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));
    let broken = broken.load(Ordering::SeqCst);
    record.note(format!(
        "requests that have run and were answered as not run: {broken}"
    ));
    broken == 0
}

/// Sends one request. Returns false if it has run and its answer promises that it has not.
fn confirm(caller: SocketAddr, count: usize, journal: &Journal, record: &Record) -> bool {
    let id = format!("{count:016x}");
    let request = format!(
        "POST /confirm/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer key1\r\nContent-Length: 2\r\n\r\nhi",
        DEADLINE.as_millis()
    );
    let answer = call(
        caller,
        request.as_bytes(),
        DEADLINE + Duration::from_millis(500),
    );
    let status = answer.map_or(0, |answer| answer.status());
    let is_promise = [408, 421, 429, 503].contains(&status);
    let has_run = journal.runs.lock().unwrap().contains(&id);
    let mark = if is_promise && has_run {
        " REFUSED"
    } else {
        ""
    };
    record.note(format!("client: {id}: {status}{mark}"));
    !(is_promise && has_run)
}
