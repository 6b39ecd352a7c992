//! The daemon that gives orders is stopped with SIGTERM and started again, while requests ask for more adapters than fit.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::driver::{Case, OutputLine, Process, append, free_address, send};
use crate::engine::MODEL;

const SERVICE: &str = "scribe";
const ENGINES: usize = 12;
/// Adapters of the model, as many as on a small site.
const ADAPTERS: u64 = 116;
/// Clients, each of which sends one request after the other.
const CLIENTS: u64 = 64;
/// Pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
/// Time until a client tries again after its connection was refused.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
const START_TIME: Duration = Duration::from_secs(10);
/// Time from the start of a daemon to its stop.
const UP_TIME: Duration = Duration::from_millis(1_550);
/// Time after which the case ends.
const LENGTH: Duration = Duration::from_secs(105);
/// Time until a daemon that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Time that a stopped daemon has before it is killed.
const GRACE_TIME: Duration = Duration::from_secs(8);
const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"r-1","host":"desk.example","path-prefix":"/digest/","kind":"streaming","timeout-ms":3000,
"target-latency-ms":1500,"priority":2,"service":"scribe","max-attempts":2,"public":false,"sticky":true,
"resumable":true,"gap-aim-ms":300}],
"services":[{"name":"scribe","health-path":"/health","max-conns":250,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv-capacity":171539,"models":[{"name":"m1","weights-mb":65000.0,"load-time-s":1.2,"adapters":116,
"adapter-mb":12.0,"warm-s":0.38,"disk-s":1.0}],"weights-mb":200000.0,"adapter-slots":8,"loads-per-s":2.9}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"desk","api-keys":["key-of-the-desk"],"priority":1,"unit":"tokens","plain-tokens":200,
"rate-per-s":0,"burst":0}]}"#;

/// Runs the case. Returns the exit code: 1 if the rule was broken, 0 if it held.
pub fn run(options: &HashMap<String, String>) -> Result<i32, String> {
    let started = Instant::now();
    let mut case = Case::open(options)?;
    let _store = case.start_store()?;
    append(&case.store, "keyed.op", "config", CONFIG.as_bytes())
        .map_err(|error| error.to_string())?;
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        engines.push(start_engine(&case, number)?);
    }
    let addresses = case.reserve_daemon()?;
    let mut daemon = case.start_daemon_at("front-1", "zone-a", &addresses)?;
    let front = addresses[0].clone();
    thread::sleep(START_TIME);
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let served = Arc::new(AtomicU64::new(0));
    for client in 0..CLIENTS {
        let (front, is_over) = (front.clone(), is_over.clone());
        let (next, served) = (next.clone(), served.clone());
        let lines = case.lines();
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let id = next.fetch_add(1, Ordering::Relaxed);
                // A multiplicative hash spreads the requests over the adapters.
                let adapter = (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % ADAPTERS + 1;
                let answer = send(&front, &head(id, client, adapter), b"");
                let answer = match answer {
                    Ok(answer) => format!("{}, body {:?}", answer.message.word(1), answer.end),
                    // Nothing was sent while the daemon was away.
                    Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                        thread::sleep(RECONNECT_DELAY);
                        continue;
                    }
                    Err(error) => error.to_string(),
                };
                served.fetch_add(u64::from(answer == "200, body Complete"), Ordering::Relaxed);
                let text = format!("request {id:016x} for adapter a{adapter}: {answer}");
                // The receiver is gone once the case is over.
                let _ = lines.send(OutputLine {
                    process: format!("client {client}"),
                    text,
                });
                thread::sleep(CLIENT_PAUSE);
            }
        });
    }
    let mut broken = 0;
    let mut orders = 0_u64;
    while started.elapsed() < LENGTH {
        let up_until = Instant::now() + UP_TIME;
        broken += case.watch(up_until, &mut orders);
        if case.trouble {
            case.note("front-1, which gives the orders, gets SIGTERM");
            daemon.signal("TERM")?;
            let end = Instant::now() + GRACE_TIME;
            while daemon.is_running() && Instant::now() < end {
                broken += case.watch(Instant::now() + Duration::from_millis(50), &mut orders);
            }
            broken += case.watch(Instant::now() + RESTART_DELAY, &mut orders);
            case.note("front-1 has ended and is started again");
            daemon = case.start_daemon_at("front-1", "zone-a", &addresses)?;
        }
        for number in 1..=ENGINES {
            if !engines[number - 1].is_running() {
                engines[number - 1] = start_engine(&case, number + ENGINES)?;
            }
        }
        if broken > 0 {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let served = served.load(Ordering::Relaxed);
    case.note(&format!("{served} requests were served, {orders} orders carried out; the rule was broken {broken} times"));
    if orders < 20 || served < 100 {
        return Err("too little was ordered or served".into());
    }
    Ok(i32::from(broken > 0))
}

impl Case {
    /// Records the output of the engines until `end`. Returns how often an engine was ordered to load too much.
    fn watch(&mut self, end: Instant, orders: &mut u64) -> u32 {
        let mut broken = 0;
        while let Ok(line) = self
            .output
            .recv_timeout(end.saturating_duration_since(Instant::now()))
        {
            if line.process.starts_with("front") {
                continue;
            }
            *orders += u64::from(line.text.starts_with("order"));
            broken += u32::from(line.text.starts_with("LIMIT"));
            self.note(&format!("{}: {}", line.process, line.text));
        }
        broken
    }
}

fn start_engine(case: &Case, number: usize) -> Result<Process, String> {
    let (name, address) = (format!("i-{number}"), free_address()?);
    let words = [
        "engine",
        "--bind",
        &address,
        "--id",
        &name,
        "--store",
        &case.store,
    ];
    let words = [&words[..], &["--service", SERVICE, "--zone", "zone-a"]].concat();
    case.start_standin(&name, &words)
}

fn head(id: u64, client: u64, adapter: u64) -> String {
    format!(
        "POST /digest/{client} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id:016x}\r\nModel: {MODEL}/a{adapter}\r\n\
         Token-Count: 100,30\r\nPrompt-Prefix: 5c1e07a2:80,{id:x}:20\r\nDeadline-Ms: 3000\r\n\
         Authorization: Bearer key-of-the-desk\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
}
