//! Decoding of records, events and settings in the platform's formats.

use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::ids::LogOffset;
use foxtailhill::platform::{decode_config, decode_server};
use foxtailhill::relay::{
    CallKind, EventSplitter, KeyedRecord, RelayFleet, ServerChange, ServerSink, TableChange,
    TableRead, TableSink,
};
use foxtailhill::settings::RelaySettings;
use serde_json::json;
use std::sync::Arc;

fn server(id: &str, state: &str) -> (String, Bytes) {
    let record = json!({
        "service": "drafter", "address": "10.0.0.9:8080", "zone": "north", "version": "v1", "slots": 64,
        "state": state, "cold-left-ms": 0, "seq": 7, "born": 1_700_000_000_000_u64, "stage": "both",
        "models": [{"name": "m1", "version": 2, "adapters": ["a1"]}],
        "at-hand": {"in-memory": ["m1"], "on-disk": ["m1", "m2"]}
    });
    (id.into(), record.to_string().into_bytes().into())
}

fn record((key, value): (String, Bytes)) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: Some(value),
        offset: LogOffset(0),
    }
}

/// Guards against a configuration that is decoded wrongly: split routes, priorities, load times and limits.
#[test]
fn configuration_record_is_decoded() -> eyre::Result<()> {
    let config = json!({
        "version": 7,
        "routes": [
            {"name": "long", "host": "desk.example", "path-prefix": "/a/b/", "kind": "streaming", "timeout-ms": 15000,
             "target-latency-ms": 400, "priority": 0, "backends": [{"service": "drafter", "weight": 90},
             {"service": "desk", "weight": 10}], "max-attempts": 2, "public": false, "sticky": true,
             "resumable": true, "gap-aim-ms": 250},
            {"name": "short", "host": "desk.example", "path-prefix": "/a/", "kind": "non_idempotent",
             "timeout-ms": 1000, "target-latency-ms": 100, "priority": 2, "service": "desk", "max-attempts": 1,
             "public": true, "sticky": false, "resumable": false, "gap-aim-ms": 0}
        ],
        "services": [
            {"name": "drafter", "health-path": "/health", "max-conns": 360, "engine": {"slots": 64,
             "kv-capacity": 171539, "weights-mb": 200000.0, "adapter-slots": 8, "loads-per-s": 1.4,
             "models": [{"name": "m1", "weights-mb": 65099.9, "load-time-s": 5.0, "adapters": 32,
             "adapter-mb": 12.0, "warm-s": 0.38, "disk-s": 1.0}]}},
            {"name": "desk", "health-path": "/health", "max-conns": 100}
        ],
        "limits": {"idle-timeout-ms": 15000},
        "tenants": [{"name": "south", "api-keys": ["k1", "k2"], "priority": 1, "unit": "tokens",
            "plain-tokens": 200, "rate-per-s": 74520, "burst": 74000}],
        "a-field-of-tomorrow": true
    });
    let decoded = decode_config(config.to_string().as_bytes())?;
    let route = |path| {
        decoded
            .route("desk.example", path)
            .map(|route| route.name.as_str())
    };
    assert_eq!(route("/a/b/7"), Some("long"));
    assert_eq!(route("/a/c"), Some("short"));
    assert_eq!(route("/b/"), None);
    assert!(decoded.route("other.example", "/a/").is_none());
    let Some(long) = decoded.route("desk.example", "/a/b/") else {
        eyre::bail!("no route");
    };
    assert_eq!(
        (long.kind, long.is_repeatable(), long.max_attempts),
        (CallKind::Streaming, true, 2)
    );
    assert_eq!(
        long.pick_service(0.89).map(|name| name.as_str()),
        Some("drafter")
    );
    assert_eq!(
        long.pick_service(0.91).map(|name| name.as_str()),
        Some("desk")
    );
    assert_eq!(long.silence_limit(), Duration::from_secs(2));
    let engine = decoded
        .service("drafter")
        .and_then(|service| service.engine.as_ref());
    let model = engine.and_then(|engine| engine.model("m1"));
    assert_eq!(
        model.map(|model| (model.store_load, model.host_load)),
        Some((Duration::from_secs(5), Duration::from_millis(380)))
    );
    let team = decoded.team_of_key("k2");
    assert_eq!(
        team.map(|team| (team.spec.rate, team.spec.burst, team.default_tokens)),
        Some((74_520, 74_000, 200))
    );
    assert!(decoded.team_of_key("k3").is_none());
    Ok(())
}

/// Guards against a malformed record that hides valid ones or adds a server.
#[test]
fn malformed_server_records_are_skipped_one_by_one() {
    let fleet = Arc::new(RelayFleet::new());
    let sink = ServerSink::new(decode_server, fleet.clone());
    let bad = [
        "not json at all",
        "{}",
        r#"{"service":"drafter","address":"nowhere","zone":"z","slots":1,"state":"ready"}"#,
        r#"{"service":"drafter","address":"10.0.0.1:1","zone":"z","slots":"many","state":"ready"}"#,
        r#"{"service":"drafter","address":"10.0.0.1:1","zone":"z","slots":1,"state":"asleep"}"#,
        r#"{"service":7,"address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready"}"#,
    ];
    let mut records: Vec<KeyedRecord> = bad
        .iter()
        .enumerate()
        .map(|(index, text)| record((format!("x{index}"), Bytes::from_static(text.as_bytes()))))
        .collect();
    records.push(record(("x9".into(), Bytes::from_static(&[0xff, 0xfe, 0]))));
    records.push(record(server("good", "ready")));
    sink.apply(TableChange::Snapshot(TableRead {
        records,
        ..TableRead::default()
    }));
    let servers = fleet.servers();
    assert_eq!(servers.len(), 1, "{servers:?}");
    assert_eq!(servers[0].id, "good");
    assert_eq!(servers[0].on_disk.len(), 2);
}

/// Guards against requests to servers whose record expired in an outage of the store, and against removing such servers
/// before they could write their record again.
#[test]
fn records_that_expire_in_a_store_outage_are_kept_for_a_while() -> eyre::Result<()> {
    let fleet = RelayFleet::new();
    let entry = |id: &str| {
        let (id, record) = server(id, "ready");
        decode_server(&id, &record)
    };
    let start = Instant::now();
    fleet.apply(
        vec![ServerChange::Snapshot(vec![entry("a")?, entry("b")?])],
        start,
    );
    fleet.apply(vec![ServerChange::Unreachable], start);
    let back = start + Duration::from_secs(9);
    fleet.apply(vec![ServerChange::Snapshot(Vec::new())], back);
    assert_eq!(fleet.servers().len(), 2, "both may come back");
    fleet.apply(
        vec![ServerChange::Put(entry("a")?)],
        back + Duration::from_secs(1),
    );
    fleet.tick(back + Duration::from_millis(2_100));
    let ids: Vec<_> = fleet
        .servers()
        .into_iter()
        .map(|server| server.id)
        .collect();
    assert_eq!(ids, ["a"]);
    fleet.apply(
        vec![ServerChange::Removed("a".into())],
        back + Duration::from_secs(10),
    );
    assert!(
        fleet.servers().is_empty(),
        "a record removed without an outage must not be kept"
    );
    Ok(())
}

/// Guards against events that are split or joined where packets end.
#[test]
fn events_are_found_however_the_bytes_are_split() {
    let stream =
        "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nweight-versions: 3\nid: 3\ndata: c\n\nid: 4\nda";
    for size in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut whole = String::new();
        for part in stream.as_bytes().chunks(size) {
            assert!(splitter.push(part));
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
                whole.push_str(&String::from_utf8_lossy(&event.bytes));
            }
        }
        assert_eq!(ids, [Some(1), Some(2), Some(3)], "pieces of {size}");
        whole.push_str(&String::from_utf8_lossy(&splitter.take_rest()));
        assert_eq!(whole, stream, "pieces of {size}");
    }
}

/// Guards against a template that renders invalid settings, and against wrong settings that are accepted.
#[test]
fn settings_template_renders_valid_settings() -> eyre::Result<()> {
    let template = include_str!("../deploy/settings.jsonc");
    let fields = [
        ("node-name|json", "\"entry-1\""),
        ("zone|json", "\"north\""),
        ("listen.front|json", "\"10.0.0.1:8221\""),
        ("listen.ready-addr|json", "\"10.0.0.1:8224\""),
        ("ip", "10.0.0.1"),
        ("port-range.0", "7600"),
        ("port-range.1", "7601"),
        ("platform.address|json", "\"10.0.0.9:8225\""),
        ("limits.cpu-share|json", "0.25"),
        ("limits.link-mbps|json", "10.0"),
        ("limits.memory-mb", "120"),
        ("limits.max-fds", "3075"),
        ("bounds.budget-extra", "54"),
        ("bounds.lease-ms", "3000"),
    ];
    let render = |template: &str| {
        fields
            .iter()
            .fold(template.to_owned(), |text, (name, value)| {
                text.replace(&format!("{{{{{name}}}}}"), value)
            })
    };
    // A section is rendered only for a platform that states its field, and not if it is false.
    let render_section = |template: &str, name: &str, is_rendered: bool| {
        let (before, rest) = template.split_once(&format!("{{{{#{name}}}}}")).unwrap();
        let (section, after) = rest.split_once(&format!("{{{{/{name}}}}}")).unwrap();
        let section = if is_rendered { section } else { "" };
        format!("{before}{section}{after}")
    };
    let with_cold = render(&render_section(template, "bounds.cold-over", true));
    let with_cold = with_cold.replace("{{bounds.cold-over}}", "1.5");
    let with_cold = with_cold.replace("{{bounds.cold-slack}}", "5");
    let settings = RelaySettings::parse("settings", &with_cold)?;
    assert_eq!((settings.cold.over, settings.cold.slack), (1.5, 5));
    let rendered = render(&render_section(template, "bounds.cold-over", false));
    // The scripts of the reviews know no other fields.
    assert!(!rendered.contains("{{"), "{rendered}");
    let settings = RelaySettings::parse("settings", &rendered)?;
    assert!(!settings.bootstrap);
    assert_eq!((settings.cold.over, settings.cold.slack), (1.0, 0));
    let first_start = rendered.replacen('{', "{ \"bootstrap\": true,", 1);
    assert!(RelaySettings::parse("settings", &first_start)?.bootstrap);
    assert_eq!(settings.retries.extra, 54);
    assert_eq!(settings.capacity.weight(), 25);
    assert_eq!(settings.timing.lease, Duration::from_secs(3));
    assert_eq!(settings.capacity.memory_mb, Some(120));
    assert_eq!(settings.capacity.descriptors, Some(3_075));
    let broken = rendered.replace("\"10.0.0.9:8225\"", "\"store:8225\"");
    let error = RelaySettings::parse("settings", &broken).unwrap_err();
    assert!(error.message().starts_with("settings:"), "{error}");
    let broken = rendered.replace("\"memory_mb\": 120", "\"memory_mb\": 0");
    let error = RelaySettings::parse("settings", &broken).unwrap_err();
    assert!(error.message().contains("outside 1 to"), "{error}");
    let broken = rendered.replace("\"cores\": 0.25", "\"cores\": 0");
    let error = RelaySettings::parse("settings", &broken).unwrap_err();
    assert!(error.message().contains("not above 0"), "{error}");
    Ok(())
}

/// Guards against a server whose id is not a valid header value: all requests routed to it would be refused.
#[test]
fn record_of_a_server_whose_id_is_no_header_value_is_skipped() {
    for (id, listed) in [
        ("i-1", true),
        ("i-à", true),
        ("i\n1", false),
        ("i\u{7f}", false),
    ] {
        let (id, record) = server(id, "ready");
        assert_eq!(decode_server(&id, &record).is_ok(), listed, "{id:?}");
    }
}
