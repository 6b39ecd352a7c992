//! Stand-ins of the platform for the scripts of this review: the store, HTTP on sockets, daemons as processes, clients.
//! Needs the standard library only. Each part does what the users' pages say of it and nothing else.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest time that a script may take.
pub const MAX_SCRIPT_TIME: Duration = Duration::from_secs(115);

/// Processes that the script has started, which end with it.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_NOT_RUN: i32 = 2;

/// Notes a process that must end with the script.
pub fn note_started(id: u32) {
    STARTED.lock().unwrap().push(id);
}

/// Notes that a process has ended.
pub fn note_ended(id: u32) {
    STARTED.lock().unwrap().retain(|known| *known != id);
}

/// Returns whether the script runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Writes what was sent, answered and run, with the time since the start. Processes of a script share the file.
#[derive(Clone)]
pub struct Record {
    start: SystemTime,
    path: PathBuf,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens an empty record in the case's folder, the first argument.
    fn create() -> Record {
        let folder = std::env::args()
            .nth(1)
            .expect("the first argument is the case's folder");
        let path = PathBuf::from(folder).join("record.txt");
        File::create(&path).expect("record.txt");
        Record::at(path, SystemTime::now())
    }

    fn at(path: PathBuf, start: SystemTime) -> Record {
        let file = File::options()
            .append(true)
            .open(&path)
            .expect("record.txt");
        Record {
            start,
            path,
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Returns the argument from which another process of the script joins the record.
    pub fn argument(&self) -> String {
        let start = self.start.duration_since(UNIX_EPOCH).unwrap_or_default();
        format!("{} {}", start.as_millis(), self.path.display())
    }

    pub fn join(argument: &str) -> Record {
        let (start, path) = argument.split_once(' ').expect("a start and a path");
        let start = Duration::from_millis(start.parse().expect("a start"));
        Record::at(path.into(), UNIX_EPOCH + start)
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let time = self.start.elapsed().unwrap_or_default().as_secs_f64();
        let line = format!("{time:9.3} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names in lowercase.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its stated end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let parts = query.split('&').filter_map(|part| part.split_once('='));
        parts
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
            .next()
    }
}

pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize, body: &mut Vec<u8>) -> std::io::Result<bool> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                body.append(&mut self.buffer);
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..count));
        Ok(true)
    }

    /// Reads `count` bytes of a body.
    pub fn read_exact_into(&mut self, count: usize, body: &mut Vec<u8>) -> std::io::Result<()> {
        match self.exact(count, body)? {
            true => Ok(()),
            false => Err(std::io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// Reads the head of a message; `None` if the connection ended before it.
    pub fn head(&mut self) -> std::io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Message {
            first,
            headers,
            body: Vec::new(),
            whole: false,
        }))
    }

    /// Reads a message with its body. Without a length and chunks, a request has no body and an answer ends with its
    /// connection.
    pub fn message(&mut self) -> std::io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let mut body = Vec::new();
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        let length = message
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        let result = match (chunked, length) {
            (true, _) => self.chunks(&mut body),
            (false, Some(length)) => self.exact(length, &mut body),
            (false, None) if !message.first.starts_with("HTTP/") => Ok(true),
            (false, None) => loop {
                match self.fill() {
                    Ok(0) => {
                        body.append(&mut self.buffer);
                        break Ok(true);
                    }
                    Ok(_) => {}
                    Err(error) => break Err(error),
                }
            },
        };
        message.whole = result.unwrap_or(false);
        message.body = body;
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> std::io::Result<bool> {
        loop {
            let Some(size) = self.line()? else {
                return Ok(false);
            };
            let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            else {
                return Ok(false);
            };
            if !self.exact(size, body)? {
                return Ok(false);
            }
            let Some(_) = self.line()? else {
                return Ok(false);
            };
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Returns an address of `ip` with a free port.
pub fn free_address(ip: &str) -> SocketAddr {
    TcpListener::bind(format!("{ip}:0"))
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

/// Accepts connections at a free port of `ip` and serves each in a thread.
pub fn listen(ip: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Sends one request on a new connection and reads its answer; `None` if none came within `wait`.
pub fn call(address: SocketAddr, request: &[u8], wait: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(request).ok()?;
    let answer = Reader::new(stream.try_clone().ok()?)
        .message()
        .ok()
        .flatten();
    let _ = stream.shutdown(Shutdown::Both);
    answer
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    /// When each record was written.
    times: Vec<Instant>,
}

impl Topic {
    fn push(&mut self, key: String, value: Vec<u8>) {
        self.records.push((key, value));
        self.times.push(Instant::now());
    }
}

#[derive(Default)]
struct StoreState {
    topics: Mutex<BTreeMap<String, Topic>>,
    written: Condvar,
    /// Value of `Store-Era`.
    era: AtomicU64,
    is_away: AtomicBool,
}

/// The platform's store: a log whose keyed topics keep the newest record of each key.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<StoreState>,
}

impl Store {
    /// Opens an empty store whose first era is 1.
    pub fn open(ip: &str) -> Store {
        Store::open_in_era(ip, 1)
    }

    pub fn open_in_era(ip: &str, era: u64) -> Store {
        let state = Arc::<StoreState>::default();
        state.era.store(era, Ordering::SeqCst);
        let served = state.clone();
        let address = listen(ip, move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(Some(request)) = reader.message() {
                let reply = served.handle(&request);
                if reader.stream.write_all(&reply).is_err() {
                    return;
                }
            }
        });
        Store { address, state }
    }

    /// Writes the newest record of a key; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.state.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.push(key.to_owned(), value.as_bytes().to_vec());
        self.state.written.notify_all();
    }

    /// A drill: the store is away for `away` and comes back from a copy that is `age` old, in the next era.
    pub fn restore(&self, away: Duration, age: Duration) {
        self.state.is_away.store(true, Ordering::SeqCst);
        let copied = Instant::now()
            .checked_sub(age)
            .expect("the age of the copy");
        thread::sleep(away);
        let mut topics = self.state.topics.lock().unwrap();
        for topic in topics.values_mut() {
            let kept = topic.times.iter().filter(|time| **time <= copied).count();
            topic.records.truncate(kept);
            topic.times.truncate(kept);
        }
        self.state.era.fetch_add(1, Ordering::SeqCst);
        self.state.is_away.store(false, Ordering::SeqCst);
        self.state.written.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.state.topics.lock().unwrap();
        let records = topics.get(topic)?.records.iter().rev();
        records
            .into_iter()
            .find(|(known, _)| known == key)
            .map(|(_, value)| value.clone())
    }
}

impl StoreState {
    fn handle(&self, request: &Message) -> Vec<u8> {
        // Reads that wait are answered in the era in which they end.
        let mut topics = self.topics.lock().unwrap();
        let number = |field: &str| {
            let text = request.query(field);
            text.and_then(|text| text.parse::<u64>().ok())
        };
        if request.target().starts_with("/api/log-read") {
            let name = request.query("topic").unwrap_or_default();
            let from = number("from").unwrap_or(0) as usize;
            let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
            let era = self.era.load(Ordering::SeqCst);
            let goes_on = |topics: &mut BTreeMap<String, Topic>| {
                let length = topics.entry(name.clone()).or_default().records.len();
                from == length && Instant::now() < end && self.era.load(Ordering::SeqCst) == era
            };
            while goes_on(&mut topics) {
                let left = end.saturating_duration_since(Instant::now());
                topics = self.written.wait_timeout(topics, left).unwrap().0;
            }
        }
        let era = self.era.load(Ordering::SeqCst).to_string();
        let era = [
            ("Store-Era", era.as_str()),
            ("Content-Type", "application/json"),
        ];
        if self.is_away.load(Ordering::SeqCst) {
            return answer("503 Service Unavailable", &era, b"{}");
        }
        let name = request.query("topic").unwrap_or_default();
        let path = request.target().split('?').next().unwrap_or("").to_owned();
        match (request.method(), path.as_str()) {
            ("GET", "/api/log-newest") => {
                let topic = topics.entry(name).or_default();
                let mut newest: BTreeMap<&str, usize> = BTreeMap::new();
                for (offset, (key, _)) in topic.records.iter().enumerate() {
                    newest.insert(key, offset);
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, offset)| !topic.records[**offset].1.is_empty())
                    .map(|(key, offset)| {
                        let value = base64(&topic.records[*offset].1);
                        format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
                    })
                    .collect();
                let end = topic.records.len();
                let body = format!(
                    r#"{{"items":[{}],"has-more":false,"end":{end}}}"#,
                    items.join(",")
                );
                answer("200 OK", &era, body.as_bytes())
            }
            ("GET", "/api/log-read") => {
                let records = &topics.entry(name).or_default().records;
                let from = number("from").unwrap_or(0) as usize;
                let Some(new) = records.get(from..) else {
                    return answer("410 Gone", &era, br#"{"first":0}"#);
                };
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in new {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                answer("200 OK", &era[..1], &body)
            }
            ("POST", "/api/log-append") => {
                let topic = topics.entry(name).or_default();
                let end = topic.records.len();
                let at = request
                    .query("at")
                    .and_then(|text| text.parse::<usize>().ok());
                if at.is_some_and(|at| at != end) {
                    return answer(
                        "412 Precondition Failed",
                        &era,
                        format!(r#"{{"end":{end}}}"#).as_bytes(),
                    );
                }
                let mut rest = &request.body[..];
                while rest.len() > 5 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + length];
                    let key_end = 1 + usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
                    topic.push(key, record[key_end..].to_vec());
                    rest = &rest[4 + length..];
                }
                let body = format!(r#"{{"offset":{end},"end":{}}}"#, topic.records.len());
                self.written.notify_all();
                answer("200 OK", &era, body.as_bytes())
            }
            _ => answer("404 Not Found", &era, b"{}"),
        }
    }
}

fn base64(data: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in data.chunks(3) {
        let bits = part
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index > part.len() { '=' } else { letter });
        }
    }
    text
}

// ---------------------------------------------------------------- daemons

/// A folder for temporary files, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A daemon process with the settings that the platform renders from `deploy/settings.jsonc`.
pub struct Daemon {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Renders the settings of a machine of the deployment `trinacria-booking` with `ip`.
    pub fn prepare(folder: &Folder, name: &str, zone: &str, ip: &str, store: SocketAddr) -> Daemon {
        let template =
            std::fs::read_to_string("deploy/settings.jsonc").expect("deploy/settings.jsonc");
        let ports: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind(format!("{ip}:0")).unwrap())
            .collect();
        let port = |index: usize| ports[index].local_addr().unwrap().port();
        let _pulse = UdpSocket::bind((ip, port(2))).expect("a free port");
        let text = |value: &str| format!("\"{value}\"");
        let fields = [
            ("{{node-name|json}}", text(name)),
            ("{{zone|json}}", text(zone)),
            ("{{listen.front|json}}", text(&format!("{ip}:{}", port(0)))),
            (
                "{{listen.ready-addr|json}}",
                text(&format!("{ip}:{}", port(1))),
            ),
            ("{{ip}}", ip.to_owned()),
            ("{{port-range.0}}", port(2).to_string()),
            ("{{port-range.1}}", port(3).to_string()),
            ("{{platform.address|json}}", text(&store.to_string())),
            ("{{limits.cpu-share|json}}", "0.25".into()),
            ("{{limits.link-mbps|json}}", "1000.0".into()),
            ("{{limits.memory-mb}}", "260".into()),
            ("{{limits.max-fds}}", "4100".into()),
            ("{{bounds.budget-extra}}", "54".into()),
            ("{{bounds.lease-ms}}", "3000".into()),
        ];
        let mut rendered = template;
        // This deployment does not set the bound, so that the section is empty.
        let (open, close) = ("{{#bounds.cold-over}}", "{{/bounds.cold-over}}");
        if let (Some(from), Some(to)) = (rendered.find(open), rendered.find(close)) {
            rendered.replace_range(from..to + close.len(), "");
        }
        for (field, value) in fields {
            rendered = rendered.replace(field, &value);
        }
        assert!(
            !rendered.contains("{{"),
            "a field of the template is not known: {rendered}"
        );
        let settings = folder.0.join(format!("{name}.jsonc"));
        std::fs::write(&settings, rendered).expect("the settings file");
        Daemon {
            name: name.into(),
            caller: format!("{ip}:{}", port(0)).parse().unwrap(),
            ready: format!("{ip}:{}", port(1)).parse().unwrap(),
            settings,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file; its log goes to a file of the folder.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log())
            .expect("a log file");
        let child = Command::new("target/release/foxtailhill")
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                note_started(child.id());
                self.child = Some(child);
            }
            Err(error) => not_run(&format!("the daemon cannot be started: {error}")),
        }
    }

    pub fn log(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1))
            .is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > end {
                not_run(&format!("{} did not become ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.pid().to_string())
            .status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            note_ended(child.id());
        }
    }

    /// Returns the status if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends a script that could not run.
pub fn not_run(why: &str) -> ! {
    // Unwinding ends the daemons.
    std::panic::panic_any(NotRun(why.to_owned()))
}

pub struct NotRun(String);

/// Runs a script, whose result says whether the rule held, and ends the process with the exit code.
pub fn run_script(script: impl FnOnce(&Record) -> bool + std::panic::UnwindSafe) -> ! {
    let record = Record::create();
    record.note(format!("trouble: {}", has_trouble()));
    thread::spawn(|| {
        thread::sleep(MAX_SCRIPT_TIME);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        std::process::exit(EXIT_NOT_RUN);
    });
    let noted = record.clone();
    let code = match std::panic::catch_unwind(move || script(&noted)) {
        Ok(true) => EXIT_HELD,
        Ok(false) => EXIT_BROKEN,
        Err(cause) => {
            let why = cause
                .downcast_ref::<NotRun>()
                .map_or("a check of the script failed", |cause| &cause.0);
            record.note(format!("not run: {why}"));
            EXIT_NOT_RUN
        }
    };
    let text = [
        "the rule held",
        "the rule was broken",
        "the case could not run",
    ][code as usize];
    record.note(text);
    println!("{text}");
    std::process::exit(code)
}
