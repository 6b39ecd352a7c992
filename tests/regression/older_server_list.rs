//! The list of servers of a restored store is older than what a daemon knows. It took the place of the newer one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::ids::{LogOffset, StoreEra};
use foxtailhill::platform::decode_server;
use foxtailhill::relay::{
    KeyedRecord, RelayFleet, ServerChange, ServerEntry, ServerSink, TableChange, TableRead,
    TableSink,
};
use serde_json::json;

fn server(index: u64, seq: u64, leaving: bool) -> ServerEntry {
    ServerEntry {
        id: format!("i-{index}").into(),
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "north".into(),
        software: "v1".into(),
        slots: 6,
        leaving,
        models: Vec::new(),
        born_ms: 1_000,
        seq,
        cold_left: Duration::ZERO,
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn snapshot(era: u64, servers: Vec<ServerEntry>) -> Vec<ServerChange> {
    vec![
        ServerChange::Era(StoreEra(era)),
        ServerChange::Snapshot(servers),
    ]
}

fn put(era: u64, server: ServerEntry) -> Vec<ServerChange> {
    vec![ServerChange::Era(StoreEra(era)), ServerChange::Put(server)]
}

/// Ids of the servers that may get work.
fn usable(fleet: &RelayFleet) -> Vec<String> {
    let servers = fleet.servers().into_iter();
    let usable = servers.filter(|server| !server.leaving);
    usable.map(|server| server.id.to_string()).collect()
}

/// Opens a fleet with two servers of era 1.
fn open(start: Instant) -> RelayFleet {
    let fleet = RelayFleet::new();
    fleet.apply(
        snapshot(1, vec![server(1, 5, false), server(2, 5, false)]),
        start,
    );
    fleet
}

/// Guards against removing a live server whose record the store has lost, and against keeping it if it does not write
/// its record again. No read failed in between.
#[test]
fn server_whose_record_was_lost_is_kept_for_a_while() {
    for returns in [true, false] {
        let start = Instant::now();
        let fleet = open(start);
        fleet.apply(put(1, server(3, 1, false)), start);
        let back = start + Duration::from_secs(4);
        let listed = vec![server(1, 5, false), server(2, 5, false)];
        fleet.apply(snapshot(2, listed), back);
        fleet.tick(back + Duration::from_millis(1_900));
        assert_eq!(usable(&fleet), ["i-1", "i-2", "i-3"]);
        if returns {
            fleet.apply(
                put(2, server(3, 4, false)),
                back + Duration::from_millis(1_900),
            );
        }
        fleet.tick(back + Duration::from_millis(2_100));
        assert_eq!(usable(&fleet).len(), if returns { 3 } else { 2 });
    }
}

/// Guards against requests to a leaving server whose record in a restored store says that it is ready.
#[test]
fn leaving_server_stays_leaving_after_an_older_record() {
    let start = Instant::now();
    let fleet = open(start);
    fleet.apply(put(1, server(1, 6, true)), start);
    let back = start + Duration::from_secs(1);
    let listed = || vec![server(1, 5, false), server(2, 5, false)];
    fleet.apply(snapshot(2, listed()), back);
    assert_eq!(usable(&fleet), ["i-2"]);
    fleet.apply(put(2, server(1, 5, false)), back);
    fleet.apply(snapshot(2, listed()), back + Duration::from_millis(500));
    assert_eq!(usable(&fleet), ["i-2"]);
    fleet.tick(back + Duration::from_secs(3));
    assert_eq!(
        fleet.servers().len(),
        2,
        "its record is listed, so it is not gone"
    );
}

/// Guards against requests to a server that was removed and whose record a restored store has again, and against
/// ignoring it if it is alive.
#[test]
fn removed_server_is_listed_again_by_a_newer_record_only() {
    let start = Instant::now();
    let fleet = open(start);
    fleet.apply(put(1, server(1, 6, false)), start);
    fleet.apply(vec![ServerChange::Removed("i-1".into())], start);
    let back = start + Duration::from_secs(1);
    for record in [server(1, 5, false), server(1, 6, false)] {
        let listed = vec![record, server(2, 5, false)];
        fleet.apply(snapshot(2, listed), back);
        assert_eq!(usable(&fleet), ["i-2"]);
    }
    fleet.apply(put(2, server(1, 7, false)), back);
    assert_eq!(usable(&fleet), ["i-1", "i-2"]);
}

/// Guards against a record of an earlier start that replaces that of a later one and is taken for a restart.
#[test]
fn earlier_start_of_a_server_does_not_replace_a_later_one() {
    let start = Instant::now();
    let fleet = open(start);
    let restarted = ServerEntry {
        born_ms: 3_000,
        ..server(1, 1, false)
    };
    fleet.apply(put(1, restarted), start);
    assert_eq!(fleet.take_crashed().len(), 1);
    let back = start + Duration::from_secs(1);
    let listed = vec![server(1, 5, false), server(2, 5, false)];
    fleet.apply(snapshot(2, listed), back);
    assert_eq!(fleet.servers()[0].born_ms, 3_000);
    assert!(fleet.take_crashed().is_empty());
    fleet.tick(back + Duration::from_millis(2_100));
    assert_eq!(usable(&fleet), ["i-2"], "the later start is missing");
}

/// Guards against ignoring records by their number of writes when the store was not restored lately.
#[test]
fn order_of_the_log_decides_within_an_era() {
    let start = Instant::now();
    let fleet = open(start);
    fleet.apply(put(1, server(1, 2, true)), start);
    assert_eq!(usable(&fleet), ["i-2"]);
    fleet.apply(snapshot(2, vec![server(1, 2, true)]), start);
    let later = start + Duration::from_secs(7);
    fleet.apply(put(2, server(1, 1, false)), later);
    assert!(usable(&fleet).contains(&"i-1".into()));
}

fn record(key: &str, state: &str, seq: u64) -> KeyedRecord {
    let record = json!({
        "service": "desk", "address": "10.0.0.9:8080", "zone": "north", "version": "1", "slots": 6, "state": state,
        "cold-left-ms": 0, "seq": seq, "born": 1_000
    });
    KeyedRecord {
        key: key.into(),
        value: Some(Bytes::from(record.to_string())),
        offset: LogOffset(0),
    }
}

fn read(era: u64, records: Vec<KeyedRecord>) -> TableRead {
    TableRead {
        records,
        era: StoreEra(era),
        ..TableRead::default()
    }
}

/// Guards against an era or a number of writes that is read from the store and does not reach the list.
#[test]
fn records_of_a_restored_store_reach_the_list_with_their_era() {
    let fleet = Arc::new(RelayFleet::new());
    let sink = ServerSink::new(decode_server, fleet.clone());
    let listed = || vec![record("i-1", "ready", 5), record("i-2", "ready", 5)];
    sink.apply(TableChange::Snapshot(read(1, listed())));
    let later = vec![record("i-1", "draining", 6), record("i-3", "ready", 1)];
    sink.apply(TableChange::Records(read(1, later)));
    sink.apply(TableChange::Snapshot(read(2, listed())));
    assert_eq!(fleet.era(), StoreEra(2));
    assert_eq!(usable(&fleet), ["i-2", "i-3"]);
    sink.apply(TableChange::Records(read(
        1,
        vec![record("i-2", "draining", 9)],
    )));
    assert_eq!(usable(&fleet), ["i-2", "i-3"]);
}

/// Guards against a list that counts as changed, and is copied by all other daemons, each time that a server writes its
/// record.
#[test]
fn number_of_writes_alone_is_no_change() {
    let start = Instant::now();
    let fleet = open(start);
    // The first write after the one that was read shows once that the record is renewed.
    let version = fleet.version();
    fleet.apply(put(1, server(1, 6, false)), start);
    let delta = fleet.changes_since(Some(version));
    assert_eq!(delta.version, version + 1);
    assert!(delta.changed.is_empty() && delta.renewed.len() == 1);
    let version = fleet.version();
    for seq in 7..10 {
        fleet.apply(put(1, server(1, seq, false)), start);
        assert_eq!(fleet.version(), version);
        let delta = fleet.changes_since(Some(version));
        assert!(delta.changed.is_empty() && delta.renewed.is_empty());
    }
    fleet.apply(put(1, server(1, 10, true)), start);
    assert_eq!(fleet.changes_since(Some(version)).changed.len(), 1);
}
