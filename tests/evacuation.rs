//! Evacuated zones: the table of records and notices, and which servers get requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::dispatch::FleetSource;
use foxtailhill::ids::{LogOffset, StoreEra};
use foxtailhill::platform::{EVACUATION_PREFIX, decode_server};
use foxtailhill::relay::{
    EvacuationSink, EvacuationTable, KeyedRecord, LoadItem, RelayFleet, ServerChange, TableChange,
    TableRead, TableSink,
};
use foxtailhill::routing::{
    Availability, ExpectedTimePolicy, PrefixIndex, RouteNeed, RoutingPolicy,
};
use serde_json::json;
use smol_str::SmolStr;

/// Time after which an evacuated zone gets nothing more.
const CLOSED_AFTER: Duration = Duration::from_secs(2);
/// Time after which a restored store has all records again.
const RESTORED_AFTER: Duration = Duration::from_secs(6);
const ERA: StoreEra = StoreEra(1);

fn zone() -> SmolStr {
    "north".into()
}

fn is_closed(table: &EvacuationTable, now: Instant) -> bool {
    table.availability(&zone(), now) == Availability::Closed
}

/// Guards against a zone that never closes, or that closes before models could be loaded elsewhere.
#[test]
fn zone_is_the_last_resort_before_it_closes() {
    let now = Instant::now();
    let mut table = EvacuationTable::default();
    assert_eq!(table.availability("north", now), Availability::Open);
    assert!(table.apply_record(&zone(), true, ERA, LogOffset(7), now));
    assert_eq!(table.availability("north", now), Availability::LastResort);
    assert!(is_closed(&table, now + CLOSED_AFTER));
    assert_eq!(
        table.availability("south", now + CLOSED_AFTER),
        Availability::Open
    );
    assert!(table.apply_record(&zone(), false, ERA, LogOffset(8), now + CLOSED_AFTER));
    assert_eq!(
        table.availability("north", now + CLOSED_AFTER),
        Availability::Open
    );
}

/// Guards against a record that is read again, or written again, and keeps the zone open for longer.
#[test]
fn repeated_record_does_not_begin_the_evacuation_anew() {
    let now = Instant::now();
    let mut table = EvacuationTable::default();
    table.apply_record(&zone(), true, ERA, LogOffset(7), now);
    assert!(!table.apply_record(&zone(), true, ERA, LogOffset(7), now + CLOSED_AFTER / 2));
    assert!(!table.apply_record(&zone(), true, ERA, LogOffset(9), now + CLOSED_AFTER / 2));
    assert!(is_closed(&table, now + CLOSED_AFTER));
}

/// Guards against pulses that arrive late, or in another order, and bring an older state back.
#[test]
fn older_notice_of_a_peer_has_no_effect() {
    let now = Instant::now();
    let (mut reader, mut peer) = (EvacuationTable::default(), EvacuationTable::default());
    reader.apply_record(&zone(), true, ERA, LogOffset(7), now);
    let begin = reader.notices(now);
    reader.apply_record(&zone(), false, ERA, LogOffset(8), now);
    let end = reader.notices(now);
    reader.apply_record(&zone(), true, ERA, LogOffset(9), now);
    let again = reader.notices(now);
    for notice in begin.iter().chain(&end).chain(&begin) {
        peer.apply_notice(notice, now);
    }
    assert_eq!(peer.availability("north", now), Availability::Open);
    for notice in again.iter().chain(&end) {
        peer.apply_notice(notice, now);
    }
    assert_eq!(peer.availability("north", now), Availability::LastResort);
}

/// Guards against daemons that learn of an evacuation from a peer and close the zone later than the peer.
#[test]
fn age_of_a_notice_counts() {
    let now = Instant::now() + CLOSED_AFTER;
    let mut reader = EvacuationTable::default();
    reader.apply_record(&zone(), true, ERA, LogOffset(7), now - CLOSED_AFTER / 2);
    let mut peer = EvacuationTable::default();
    for notice in reader.notices(now) {
        peer.apply_notice(&notice, now);
    }
    assert!(is_closed(&peer, now + CLOSED_AFTER / 2));
}

/// Guards against an evacuation whose end was missed while the table was not read.
#[test]
fn snapshot_without_the_record_ends_the_evacuation() {
    let now = Instant::now();
    let mut table = EvacuationTable::default();
    table.apply_record(&zone(), true, ERA, LogOffset(7), now);
    let south: SmolStr = "south".into();
    assert!(table.apply_snapshot(&[(south, LogOffset(8))], ERA, LogOffset(9), now));
    assert_eq!(table.availability("north", now), Availability::Open);
    assert_eq!(table.availability("south", now), Availability::LastResort);
    // The record of a new evacuation follows the snapshot.
    assert!(table.apply_record(&zone(), true, ERA, LogOffset(9), now));
    assert_eq!(table.availability("north", now), Availability::LastResort);
}

/// Guards against sending to an evacuated zone because a restored store has lost the record, and against keeping the
/// zone closed for ever when nobody writes it again.
#[test]
fn restored_store_may_write_the_record_again() {
    let now = Instant::now();
    let closed = now + CLOSED_AFTER;
    let mut table = EvacuationTable::default();
    table.apply_record(&zone(), true, ERA, LogOffset(70), now);
    let restored = StoreEra(2);
    table.apply_snapshot(&[], restored, LogOffset(5), closed);
    assert!(is_closed(&table, closed));
    assert!(!table.expire(closed + RESTORED_AFTER / 2));
    assert!(is_closed(&table, closed + RESTORED_AFTER / 2));
    assert!(table.expire(closed + RESTORED_AFTER));
    assert!(!is_closed(&table, closed + RESTORED_AFTER));

    table.apply_record(&zone(), true, StoreEra(3), LogOffset(6), closed);
    table.apply_record(
        &zone(),
        true,
        StoreEra(4),
        LogOffset(6),
        closed + CLOSED_AFTER,
    );
    assert!(!table.expire(closed + RESTORED_AFTER * 2));
    assert!(is_closed(&table, closed + RESTORED_AFTER * 2));
}

fn put(id: &str, zone: &str) -> eyre::Result<ServerChange> {
    let record = json!({
        "service": "drafter", "address": "10.0.0.9:8080", "zone": zone, "version": "v1", "slots": 4,
        "state": "ready", "cold-left-ms": 0, "seq": 7, "born": 1_700_000_000_000_u64,
        "models": [{"name": "m1", "version": 2, "adapters": ["a1"]}]
    });
    let entry = decode_server(id, record.to_string().as_bytes())?;
    Ok(ServerChange::Put(entry))
}

fn records(records: &[(&str, Option<&'static [u8]>)]) -> TableChange {
    let offsets = (0..).map(LogOffset);
    let records = records.iter().zip(offsets);
    let records = records.map(|((key, value), offset)| KeyedRecord {
        key: (*key).into(),
        value: value.map(Bytes::from_static),
        offset,
    });
    TableChange::Records(TableRead {
        records: records.collect(),
        next: LogOffset(100),
        era: ERA,
        ..TableRead::default()
    })
}

fn need() -> RouteNeed {
    RouteNeed {
        software: None,
        model: "drafter/m1".into(),
        version: SmolStr::default(),
        adapter: None,
        prefixes: Vec::new(),
        zone: zone(),
        avoid: Vec::new(),
        late: false,
        cost: Default::default(),
        deferred: false,
        trial: Default::default(),
    }
}

/// Returns the names of the servers that are chosen one after the other until none is, each with a running request.
fn fill(fleet: &Arc<RelayFleet>) -> Vec<SmolStr> {
    let policy = ExpectedTimePolicy::new(Arc::new(PrefixIndex::new()), 1);
    let snapshot = FleetSource::snapshot(fleet);
    let mut names = Vec::new();
    let mut running = Vec::new();
    while let Some(position) = policy.choose_in(&need(), &snapshot, Instant::now()) {
        names.push(snapshot.views()[position].name.clone());
        running.push(snapshot.handle(position).begin());
    }
    names
}

/// Guards against requests to an evacuated zone: the fault that the platform's operators saw.
#[test]
fn evacuated_zone_gets_what_no_other_server_takes_and_then_nothing() -> eyre::Result<()> {
    let now = Instant::now();
    let fleet = Arc::new(RelayFleet::new());
    fleet.apply(vec![put("i-n", "north")?, put("i-s", "south")?], now);
    let sink = EvacuationSink::new(EVACUATION_PREFIX, fleet.clone());
    sink.apply(records(&[
        ("config", Some(b"{}")),
        ("evacuate/north", Some(b"{}")),
    ]));
    // The own zone would be preferred otherwise.
    let names = fill(&fleet);
    let last_south = names.iter().rposition(|name| name == "i-s");
    let first_north = names.iter().position(|name| name == "i-n");
    assert!(first_north > last_south, "{names:?}");
    fleet.tick(now + CLOSED_AFTER * 2);
    assert!(fill(&fleet).iter().all(|name| name == "i-s"));
    let item = LoadItem {
        model: "m1".into(),
        adapter: Some("a1".into()),
    };
    assert!(fleet.holds("drafter", &item));
    let removed = vec![ServerChange::Removed("i-s".into())];
    fleet.apply(removed, now + CLOSED_AFTER * 2);
    assert!(fill(&fleet).is_empty());
    assert!(!fleet.holds("drafter", &item) && !fleet.has_service("drafter"));
    let snapshot = FleetSource::snapshot(&fleet);
    assert!(!snapshot.has_open_holder(&"drafter/m1".into(), &SmolStr::default()));

    // The second record has a newer offset than the evacuation.
    sink.apply(records(&[
        ("config", Some(b"{}")),
        ("config", Some(b"{}")),
        ("evacuate/north", None),
    ]));
    assert!(fill(&fleet).iter().any(|name| name == "i-n"));
    Ok(())
}

/// Guards against a server that starts in an evacuated zone and gets requests.
#[test]
fn server_that_joins_an_evacuated_zone_gets_nothing() -> eyre::Result<()> {
    let now = Instant::now();
    let fleet = Arc::new(RelayFleet::new());
    let sink = EvacuationSink::new(EVACUATION_PREFIX, fleet.clone());
    sink.apply(records(&[("evacuate/north", Some(b"{}"))]));
    fleet.tick(now + CLOSED_AFTER * 2);
    fleet.apply(vec![put("i-n", "north")?], now + CLOSED_AFTER * 2);
    assert!(fill(&fleet).is_empty());
    assert_eq!(fleet.evacuated_zones().len(), 1);
    Ok(())
}

/// Guards against a list that a daemon learns from a peer without its evacuations, and a change that is told late.
#[test]
fn evacuation_counts_as_a_departure_and_reaches_peers() {
    let (reader, peer) = (RelayFleet::new(), RelayFleet::new());
    let departures = reader.departures();
    let reader = Arc::new(reader);
    EvacuationSink::new(EVACUATION_PREFIX, reader.clone())
        .apply(records(&[("evacuate/north", Some(b"{}"))]));
    assert!(departures.has_changed().unwrap());
    let now = Instant::now();
    peer.apply_evacuation_notices(&reader.evacuation_notices(now), now);
    assert_eq!(peer.evacuated_zones().len(), 1);
}
