//! Another program wrote an odd record among those of the servers: deeply nested, with a number that is too large, or with
//! a port that does not exist.

use std::sync::{Arc, Mutex, Once, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::platform::{StoreClient, decode_server};
use foxtailhill::relay::{
    DaemonRecord, DaemonRegistry, KeyedRecord, RecordStore, RegistrySettings, RelayFleet,
    ServerSink, SkipMetrics, StoreTable, TableChange, TableRead, TableSink,
};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Value, json};

use crate::relay_support::{Script, ScriptedServer};

/// Lines that this process has logged.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static LOGGER: LineLogger = LineLogger;
static INSTALL: Once = Once::new();

struct LineLogger;

impl Log for LineLogger {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn count_lines(part: &str) -> usize {
    INSTALL.call_once(|| {
        if log::set_logger(&LOGGER).is_ok() {
            log::set_max_level(LevelFilter::Warn);
        }
    });
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    lines.iter().filter(|line| line.contains(part)).count()
}

fn sound() -> Value {
    json!({
        "service": "desk", "address": "10.0.0.9:8080", "zone": "north", "version": "v1", "slots": 4,
        "state": "ready", "cold-left-ms": 0, "seq": 7, "born": 1_700_000_000_000_u64,
        "models": [{"name": "m1", "version": 2, "adapters": ["a1"]}],
        "at-hand": {"in-memory": ["m1"], "on-disk": []}
    })
}

/// Returns the sound record with the text of one field replaced; without `text`, the field is left out.
fn with_field(name: &str, text: Option<&str>) -> Bytes {
    let mut record = sound();
    let fields = record.as_object_mut();
    let old = fields.and_then(|fields| fields.remove(name));
    assert!(old.is_some(), "{name}");
    let mut record = record.to_string();
    if let Some(text) = text {
        record.truncate(record.len() - 1);
        record.push_str(&format!(",\"{name}\":{text}}}"));
    }
    record.into()
}

fn read(records: Vec<KeyedRecord>) -> TableRead {
    TableRead {
        records,
        ..TableRead::default()
    }
}

fn record(key: &str, value: impl Into<Bytes>) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: Some(value.into()),
        offset: LogOffset(0),
    }
}

fn ids(fleet: &RelayFleet) -> Vec<String> {
    let servers = fleet.servers();
    servers.iter().map(|server| server.id.to_string()).collect()
}

fn odd_records() -> Vec<(String, Bytes)> {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let objects = format!("{}1{}", "{\"a\":".repeat(100_000), "}".repeat(100_000));
    let mut odd = Vec::new();
    for name in [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold-left-ms",
        "seq",
    ] {
        odd.push((format!("no {name}"), with_field(name, None)));
        for text in ["null", "[]", "{}", "true", &nested, &objects] {
            let case = format!("{name}: {}", &text[..text.len().min(8)]);
            odd.push((case, with_field(name, Some(text))));
        }
    }
    for (name, text) in [
        ("address", "\"10.0.0.9:70000\""),
        ("address", "\"10.0.0.9:-1\""),
        ("address", "\"10.0.0.9\""),
        ("address", "\"10.0.0.999:80\""),
        ("slots", "4294967296"),
        ("slots", "-1"),
        ("slots", "1e999"),
        ("slots", "4.5"),
        ("seq", "18446744073709551616"),
        ("seq", "-1"),
        ("cold-left-ms", "1e999"),
        ("born", "1e999"),
        ("born", "-1"),
        ("born", "[]"),
        ("state", "\"gone\""),
        ("models", &nested),
        ("models", "[{\"name\": 7}]"),
        ("at-hand", &objects),
    ] {
        let case = format!("{name}: {}", &text[..text.len().min(16)]);
        odd.push((case, with_field(name, Some(text))));
    }
    for bytes in [
        &b""[..],
        b"{",
        b"\xff\xfe",
        b"null",
        b"[1]",
        nested.as_bytes(),
    ] {
        odd.push((
            format!("{:?}", &bytes[..bytes.len().min(8)]),
            Bytes::copy_from_slice(bytes),
        ));
    }
    odd
}

/// Guards against using a server whose record lacks a field that every server writes, and against an odd record that ends
/// the process or hides the records beside it.
#[test]
fn odd_record_names_no_server_and_leaves_the_others() -> eyre::Result<()> {
    let sound = Bytes::from(sound().to_string());
    assert!(decode_server("i-1", &sound).is_ok());
    for (case, odd) in odd_records() {
        assert!(decode_server("i-2", &odd).is_err(), "{case}");
        let fleet = Arc::new(RelayFleet::new());
        let sink = ServerSink::new(decode_server, fleet.clone());
        let records = || vec![record("i-2", odd.clone()), record("i-1", sound.clone())];
        sink.apply(TableChange::Snapshot(read(records())));
        assert_eq!(ids(&fleet), ["i-1"], "{case}");
        sink.apply(TableChange::Records(read(records())));
        assert_eq!(ids(&fleet), ["i-1"], "{case}");
    }
    Ok(())
}

/// Guards against a line in the log for each time that an odd record is written again.
#[test]
fn odd_record_that_is_written_again_is_logged_once() {
    assert_eq!(count_lines("server `i-odd`"), 0);
    let sink = ServerSink::new(decode_server, Arc::default());
    let write = |value: Bytes| sink.apply(TableChange::Records(read(vec![record("i-odd", value)])));
    for _ in 0..5 {
        write(with_field("address", Some("\"10.0.0.9:70000\"")));
        sink.apply(TableChange::Snapshot(read(vec![record("i-odd", "{")])));
    }
    assert_eq!(count_lines("server `i-odd`"), 1);
    write(sound().to_string().into());
    write("{".into());
    write("{".into());
    assert_eq!(count_lines("server `i-odd`"), 2);
}

/// Guards against a table that cannot be read because of one item of a page.
#[tokio::test]
async fn odd_item_of_a_page_leaves_the_others() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let page = json!({
        "items": [
            {"key": "i-1", "value": "e30=", "offset": 1},
            {"key": "i-2", "value": "no base64", "offset": 2},
            {"key": 3, "value": "e30=", "offset": 3},
            {"key": "i-4", "value": {}, "offset": 4},
            {"key": "i-5", "value": "e30=", "offset": 5}
        ],
        "has-more": false, "end": 6
    });
    let page = page.to_string();
    let length = page.len();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{page}");
    let server = ScriptedServer::bind(&group, "store", [Script::Answer(answer)]).await?;
    let read = StoreClient::open(server.address)
        .newest(StoreTable::Servers)
        .await?;
    let keys: Vec<&str> = read
        .records
        .iter()
        .map(|record| record.key.as_str())
        .collect();
    assert_eq!(keys, ["i-1", "i-5"]);
    group.shutdown().await;
    Ok(())
}

/// Guards against a daemon's record with a forged length that ends the process, or that hides the records beside it.
#[test]
fn odd_record_of_a_daemon_leaves_the_others() -> eyre::Result<()> {
    let daemon = DaemonRecord {
        vm: VmId::random(),
        zone: "north".into(),
        peer: "10.0.0.1:1".parse()?,
        pulse: "10.0.0.1:1".parse()?,
    };
    let registry = DaemonRegistry::new(RegistrySettings {
        name: "entry-0".into(),
        record: daemon.clone(),
        term: Duration::from_secs(30),
        settle_time: Duration::from_secs(1),
    });
    let encoded = bincode::serde::encode_to_vec(&daemon, bincode::config::standard())?;
    for start in 0..encoded.len() {
        // 253 announces an integer of eight bytes: the longest length there is.
        let mut odd = encoded[..start].to_vec();
        odd.push(253);
        odd.extend([0xff; 8]);
        registry.apply(TableChange::Snapshot(read(vec![
            record("entry-1", odd),
            record("entry-2", encoded.clone()),
        ])));
        let peers = registry.peers();
        assert!(peers.iter().any(|(name, _)| name == "entry-2"), "{start}");
    }
    Ok(())
}

/// Guards against a line in the log as long as the value that cannot be decoded.
#[test]
fn long_value_is_not_quoted_as_a_whole() -> eyre::Result<()> {
    let digits = "7".repeat(15_000);
    let text = format!("\"{digits}\"");
    for (name, text) in [("slots", &text), ("seq", &text), ("slots", &digits)] {
        let Err(error) = decode_server("i-1", &with_field(name, Some(text))) else {
            eyre::bail!("{name} is decoded");
        };
        let length = error.to_string().len();
        eyre::ensure!(length < 1_000, "{name}: {length} bytes");
    }
    Ok(())
}

/// Guards against a log that grows with each new key of a writer whose records cannot be decoded, and against such
/// records that nothing counts.
#[test]
fn odd_records_of_many_keys_have_few_lines() {
    let skipped = SkipMetrics::default();
    let sink = ServerSink::new(decode_server, Arc::default()).with_metrics(skipped.clone());
    let before = count_lines("server `i-fresh-");
    for index in 0..1_000 {
        let odd = record(&format!("i-fresh-{index}"), "{");
        sink.apply(TableChange::Records(read(vec![odd])));
    }
    let lines = count_lines("server `i-fresh-") - before;
    assert!((1..=50).contains(&lines), "{lines} lines");
    assert_eq!((skipped.keys.get(), skipped.records.get()), (1_000, 1_000));
    sink.apply(TableChange::Snapshot(read(Vec::new())));
    assert_eq!((skipped.keys.get(), skipped.records.get()), (0, 1_000));
}
