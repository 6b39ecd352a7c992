//! A replica of a service with one model. It streams its answers without a length or chunks, so that the end of the
//! connection ends them.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use crate::http::{self, Message};
use crate::option;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_200);
/// Time from the head of a stream to its first event, in which the prompt is read.
const PREFILL_TIME: Duration = Duration::from_millis(150);
/// Time between two events.
const EVENT_PERIOD: Duration = Duration::from_millis(10);
/// Events of each stream.
pub const EVENTS: usize = 20;
/// The only model.
pub const MODEL: &str = "m1";

struct Replica {
    id: String,
    service: String,
    zone: String,
    address: String,
    store: String,
    born_ms: u128,
}

/// Serves requests at `--bind` until the process is killed. Each request is reported as a line on standard output.
pub fn run(options: &HashMap<String, String>) -> Result<(), String> {
    let listener =
        TcpListener::bind(option(options, "bind")?).map_err(|error| error.to_string())?;
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let replica = Arc::new(Replica {
        id: option(options, "id")?.into(),
        service: option(options, "service")?.into(),
        zone: option(options, "zone")?.into(),
        address: option(options, "bind")?.into(),
        store: option(options, "store")?.into(),
        born_ms: born.map_err(|error| error.to_string())?.as_millis(),
    });
    let writer = replica.clone();
    thread::spawn(move || {
        for seq in 1.. {
            // The next heartbeat follows soon.
            let _ = writer.write_record(seq);
            thread::sleep(HEARTBEAT_PERIOD);
        }
    });
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        thread::spawn(move || replica.serve(stream));
    }
    Ok(())
}

impl Replica {
    fn write_record(&self, seq: u64) -> io::Result<()> {
        let Self {
            id,
            service,
            zone,
            address,
            born_ms,
            ..
        } = self;
        let record = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":32,\
             \"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\
             \"adapters\":[]}}],\"at-hand\":{{\"in-memory\":[\"{MODEL}\"],\"on-disk\":[\"{MODEL}\"]}},\
             \"born\":{born_ms},\"seq\":{seq}}}"
        );
        crate::driver::append(&self.store, "keyed.servers", id, record.as_bytes())
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_request(&mut input)? {
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("Instance-Id", self.id.as_str())];
                http::write_answer(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            match request.word(1) {
                "/api/report" => {
                    let report = format!(
                        "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\
                         \"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":90000,\
                         \"handles\":0,\"born\":{}}}",
                        self.born_ms
                    );
                    let headers = [("Content-Type", "application/json")];
                    http::write_answer(&mut stream, "200 OK", &headers, report.as_bytes())?;
                }
                // The only model is loaded already.
                "/api/order" => http::write_answer(&mut stream, "200 OK", &[], b"")?,
                _ => return self.stream_events(&mut stream, &request),
            }
        }
        Ok(())
    }

    fn stream_events(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\nContent-Type: text/event-stream\r\n\
             Connection: close\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        println!("head {id}");
        thread::sleep(PREFILL_TIME);
        for event in 1..=EVENTS {
            stream.write_all(format!("id: {event}\ndata: token {event}\n\n").as_bytes())?;
            thread::sleep(EVENT_PERIOD);
        }
        println!("done {id}");
        Ok(())
    }
}
