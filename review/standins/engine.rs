//! A replica with one model and adapters of it. It takes orders and reports its state with a lag, and crashes when it is
//! ordered to load more adapters than it has places for.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::exit;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Message};
use crate::option;

/// Places for adapters, as on the small sites.
pub const ADAPTER_SLOTS: usize = 8;
pub const MODEL: &str = "m1";
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_200);
/// Age of the values in a report: "some hundred ms".
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time that an adapter takes from the weight store.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(9);
/// Adapters that may be in transit at the same time.
const MAX_COMING: usize = 4;
/// Time from the start of a run to its first event, and between its events.
const EVENT_PERIOD: Duration = Duration::from_millis(20);
const EVENTS: usize = 5;

#[derive(Clone, Copy)]
struct Adapter {
    /// When it has arrived.
    held_at: Instant,
    /// Runs that use it.
    runs: usize,
    /// Whether an unload waits for these runs.
    unloading: bool,
}

#[derive(Default)]
struct State {
    adapters: BTreeMap<String, Adapter>,
    /// Orders accepted.
    seq: u64,
    /// Former states as in reports, oldest first, with the time from which each held.
    reports: VecDeque<(Instant, String)>,
}

struct Engine {
    id: String,
    service: String,
    zone: String,
    address: String,
    store: String,
    born_ms: u128,
    state: Mutex<State>,
}

/// Serves orders and requests at `--bind` until the process is killed or crashes.
pub fn run(options: &HashMap<String, String>) -> Result<(), String> {
    let listener =
        TcpListener::bind(option(options, "bind")?).map_err(|error| error.to_string())?;
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let engine = Arc::new(Engine {
        id: option(options, "id")?.into(),
        service: option(options, "service")?.into(),
        zone: option(options, "zone")?.into(),
        address: option(options, "bind")?.into(),
        store: option(options, "store")?.into(),
        born_ms: born.map_err(|error| error.to_string())?.as_millis(),
        state: Mutex::default(),
    });
    engine.keep_report(&mut engine.state());
    let writer = engine.clone();
    thread::spawn(move || {
        for seq in 1.. {
            let record = writer.record(seq);
            let _ = crate::driver::append(
                &writer.store,
                "keyed.servers",
                &writer.id,
                record.as_bytes(),
            );
            thread::sleep(HEARTBEAT_PERIOD);
        }
    });
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        thread::spawn(move || engine.serve(stream));
    }
    Ok(())
}

impl State {
    fn adapters(&self, coming: bool) -> Vec<&String> {
        let now = Instant::now();
        let adapters = self.adapters.iter();
        adapters
            .filter(|(_, adapter)| (adapter.held_at > now) == coming)
            .map(|(name, _)| name)
            .collect()
    }
}

impl Engine {
    fn record(&self, seq: u64) -> String {
        let Self {
            service,
            zone,
            address,
            born_ms,
            ..
        } = self;
        let models = models(&self.state());
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":{models},\"at-hand\":{{\"in-memory\":\
             [\"{MODEL}\"],\"on-disk\":[\"{MODEL}\"]}},\"born\":{born_ms},\"seq\":{seq}}}"
        )
    }

    /// Keeps the present state for later reports.
    fn keep_report(&self, state: &mut State) {
        let coming = state
            .adapters(true)
            .iter()
            .map(|name| format!("\"{MODEL}/{name}@1\""))
            .collect::<Vec<_>>();
        let report = format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"seq\":{},\"queued\":0,\"running\":0,\"kv-used\":0,\
             \"kv-total\":171539,\"handles\":0,\"coming\":[{}],\"born\":{}}}",
            models(state),
            state.seq,
            coming.join(","),
            self.born_ms,
        );
        state.reports.push_back((Instant::now(), report));
    }

    /// Returns the state as of a while ago.
    fn report(&self) -> String {
        let mut state = self.state();
        let at = Instant::now().checked_sub(REPORT_LAG);
        while state.reports.len() > 1 && at.is_some_and(|at| state.reports[1].0 <= at) {
            state.reports.pop_front();
        }
        state.reports[0].1.clone()
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_request(&mut input)? {
            if request
                .header("expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                let headers = [("Instance-Id", self.id.as_str())];
                http::write_answer(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            match request.word(1) {
                "/api/report" => {
                    let headers = [("Content-Type", "application/json")];
                    http::write_answer(&mut stream, "200 OK", &headers, self.report().as_bytes())?;
                }
                "/api/order" => {
                    let status = self.order(&String::from_utf8_lossy(&request.body));
                    http::write_answer(&mut stream, status, &[], b"")?;
                }
                _ => self.run_request(&mut stream, &request)?,
            }
        }
        Ok(())
    }

    fn order(self: &Arc<Self>, body: &str) -> &'static str {
        let Some(name) = text_field(body, "adapter") else {
            // The only model is loaded already.
            return "200 OK";
        };
        let mut state = self.state();
        if number_field(body, "precondition") != Some(state.seq) {
            return "409 Conflict";
        }
        match text_field(body, "operation").as_deref() {
            Some("model_load") if state.adapters.contains_key(&name) => "200 OK",
            Some("model_load") if state.adapters(true).len() >= MAX_COMING => "409 Conflict",
            Some("model_load") => {
                let (held, coming) = (state.adapters(false).len(), state.adapters(true).len());
                if held + coming >= ADAPTER_SLOTS {
                    let holder = text_field(body, "holder").unwrap_or_default();
                    println!(
                        "LIMIT {holder} orders adapter {name}, with {held} held and {coming} coming: {body}"
                    );
                    exit(3);
                }
                let held_at = Instant::now() + ADAPTER_LOAD_TIME;
                state.adapters.insert(
                    name,
                    Adapter {
                        held_at,
                        runs: 0,
                        unloading: false,
                    },
                );
                state.seq += 1;
                self.keep_report(&mut state);
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(ADAPTER_LOAD_TIME);
                    engine.keep_report(&mut engine.state());
                });
                println!("order {body}");
                "202 Accepted"
            }
            Some("model_unload") => {
                let Some(adapter) = state.adapters.get_mut(&name) else {
                    return "200 OK";
                };
                let is_used = adapter.runs > 0;
                adapter.unloading = is_used;
                if !is_used {
                    state.adapters.remove(&name);
                }
                state.seq += 1;
                self.keep_report(&mut state);
                println!("order {body}");
                if is_used { "202 Accepted" } else { "200 OK" }
            }
            _ => "400 Bad Request",
        }
    }

    fn run_request(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let model = request.header("model").unwrap_or_default();
        let adapter = model.split_once('/').map(|(_, adapter)| adapter.to_owned());
        if let Some(name) = &adapter {
            let mut state = self.state();
            match state.adapters.get_mut(name) {
                Some(adapter) if adapter.held_at <= Instant::now() && !adapter.unloading => {
                    adapter.runs += 1
                }
                _ => {
                    // An adapter that is coming or going is being worked on; any other is not present.
                    let status = match state.adapters.contains_key(name) {
                        true => "503 Service Unavailable",
                        false => "421 Misdirected Request",
                    };
                    let headers = [("Request-Id", id.as_str()), ("Not-Run", "1")];
                    return http::write_answer(stream, status, &headers, b"");
                }
            }
        }
        let result = self.stream_events(stream, &id);
        if let Some(name) = &adapter {
            let mut state = self.state();
            if let Some(adapter) = state.adapters.get_mut(name) {
                adapter.runs -= 1;
                if adapter.unloading && adapter.runs == 0 {
                    state.adapters.remove(name);
                    self.keep_report(&mut state);
                }
            }
        }
        result
    }

    fn stream_events(&self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_PERIOD);
            let event = format!("id: {event}\ndata: token {event}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the model and the adapters that have arrived, as in records and reports.
fn models(state: &State) -> String {
    let names: Vec<String> = state
        .adapters(false)
        .iter()
        .map(|name| format!("\"{name}\""))
        .collect();
    format!(
        "[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]",
        names.join(",")
    )
}

fn text_field(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}

fn number_field(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
