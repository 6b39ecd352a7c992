//! The platform's store: a log with topics, of which those named `keyed.` keep the newest record of each key.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::option;

/// Time without a write after which a replica's entry is removed: three heartbeat intervals.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);
const SERVERS: &str = "keyed.servers";

/// Partition 0 of a topic. No record expires within the time of a case.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Value, offset and time of the newest record of each key.
    newest: BTreeMap<String, (Vec<u8>, u64, Instant)>,
}

#[derive(Default)]
struct Log {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

/// Serves the store at `--bind` until the process is killed.
pub fn run(options: &HashMap<String, String>) -> Result<(), String> {
    let listener =
        TcpListener::bind(option(options, "bind")?).map_err(|error| error.to_string())?;
    let log: Arc<Log> = Arc::default();
    let lapsing = log.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(200));
            lapsing.remove_lapsed();
        }
    });
    println!("ready");
    for stream in listener.incoming().flatten() {
        let log = log.clone();
        thread::spawn(move || serve(stream, &log));
    }
    Ok(())
}

fn serve(mut stream: TcpStream, log: &Log) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(request) = http::read_request(&mut input)? {
        let path = request.word(1).split('?').next().unwrap_or_default();
        let (status, body) = match path {
            "/api/log-append" => log.append(&request),
            "/api/log-read" => log.read(&request),
            "/api/log-newest" => log.newest(&request),
            _ => ("404 Not Found", Vec::new()),
        };
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        http::write_answer(&mut stream, status, &headers, &body)?;
    }
    Ok(())
}

impl Log {
    fn append(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let name = request.parameter("topic").unwrap_or_default();
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        let topic = topics.entry(name.into()).or_default();
        let end = topic.records.len() as u64;
        let at = request
            .parameter("at")
            .and_then(|text| text.parse::<u64>().ok());
        if at.is_some_and(|at| at != end) {
            return (
                "412 Precondition Failed",
                format!("{{\"end\":{end}}}").into(),
            );
        }
        let mut rest = request.body.as_slice();
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let (record, next) = after.split_at(u32::from_be_bytes(*length) as usize);
            topic.push(record.to_vec());
            rest = next;
        }
        self.changed.notify_all();
        let body = format!("{{\"offset\":{end},\"end\":{}}}", topic.records.len());
        ("200 OK", body.into())
    }

    fn read(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let name = request.parameter("topic").unwrap_or_default();
        let number = |name: &str| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let topic = topics.entry(name.into()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if topic.records.len() > from || left.is_zero() {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in topic.records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return ("200 OK", body);
            }
            let waited = self.changed.wait_timeout(topics, left);
            topics = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let name = request.parameter("topic").unwrap_or_default();
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        let topic = topics.entry(name.into()).or_default();
        let items = topic.newest.iter().map(|(key, (value, offset, _))| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = topic.records.len();
        let body = format!("{{\"items\":[{items}],\"has-more\":false,\"end\":{end}}}");
        ("200 OK", body.into())
    }

    /// Removes the entries of replicas that have not written for a while.
    fn remove_lapsed(&self) {
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        let topic = topics.entry(SERVERS.into()).or_default();
        let entries = topic.newest.iter();
        let lapsed = entries.filter(|(_, (_, _, at))| at.elapsed() > LAPSE_TIME);
        let lapsed: Vec<String> = lapsed.map(|(key, _)| key.clone()).collect();
        for key in lapsed {
            topic.push([&[key.len() as u8], key.as_bytes()].concat());
            self.changed.notify_all();
        }
    }
}

impl Topic {
    fn push(&mut self, record: Vec<u8>) {
        let key_end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        let value = record[key_end..].to_vec();
        let offset = self.records.len() as u64;
        self.records.push(record);
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (value, offset, Instant::now())),
        };
    }
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in data.chunks(3) {
        let bits = part
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
