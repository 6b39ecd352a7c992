//! The store turned a reader away and served it again. Its list was older than those of the others, which copied it: they
//! listed servers again that had gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::ids::LogOffset;
use foxtailhill::relay::{
    ListPosition, ReaderElection, RelayFleet, ServerChange, ServerDelta, ServerEntry, StoreHealth,
    StoreTable,
};

use crate::pulse_support::pulse;

fn server(index: u64) -> ServerEntry {
    ServerEntry {
        id: format!("i-{index}").into(),
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "north".into(),
        software: "v1".into(),
        slots: 6,
        leaving: false,
        models: Vec::new(),
        born_ms: 1_000,
        seq: 1,
        cold_left: Duration::ZERO,
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn read(fleet: &RelayFleet, offset: u64, servers: &[u64], now: Instant) {
    let servers = servers.iter().map(|index| server(*index));
    let changes = vec![
        ServerChange::Position(LogOffset(offset)),
        ServerChange::Snapshot(servers.collect()),
    ];
    fleet.apply(changes, now);
}

/// Copies the list of `source` and returns its version.
fn copy(fleet: &RelayFleet, source: &RelayFleet, version: Option<u64>, now: Instant) -> u64 {
    let delta: ServerDelta = source.changes_since(version);
    let version = delta.version;
    assert!(fleet.apply_copy(delta, fleet.position(), now));
    version
}

fn ids(fleet: &RelayFleet) -> Vec<String> {
    let servers = fleet.servers().into_iter();
    servers.map(|server| server.id.to_string()).collect()
}

/// Opens the list of a reader that was turned away while the second server left, and has read the store again.
fn open_returned(start: Instant, back: Instant) -> RelayFleet {
    let fleet = RelayFleet::new();
    read(&fleet, 50, &[1, 2], start);
    fleet.apply(vec![ServerChange::Unreachable], start);
    read(&fleet, 100, &[1], back);
    assert_eq!(ids(&fleet), ["i-1", "i-2"], "the record may have expired");
    fleet
}

/// Guards against a copy from a reader that keeps a server whose record may have expired, by a daemon that has read its
/// removal.
#[test]
fn server_that_a_returned_reader_keeps_is_not_listed_again() {
    let start = Instant::now();
    let back = start + Duration::from_secs(4);
    let returned = open_returned(start, back);
    let fleet = RelayFleet::new();
    read(&fleet, 90, &[1], start);
    let version = copy(&fleet, &returned, None, back);
    assert_eq!(ids(&fleet), ["i-1"]);
    read(&returned, 110, &[1, 3], back);
    copy(&fleet, &returned, Some(version), back);
    assert_eq!(ids(&fleet), ["i-1", "i-3"]);
}

/// Guards against an older list that is copied before its reader has read the servers' records again.
#[test]
fn list_of_before_the_outage_is_not_copied() {
    let start = Instant::now();
    let returned = RelayFleet::new();
    read(&returned, 50, &[1, 2], start);
    let fleet = RelayFleet::new();
    read(&fleet, 90, &[1], start);
    copy(&fleet, &returned, None, start);
    assert_eq!(ids(&fleet), ["i-1"]);
    let position = fleet.position().offset;
    assert_eq!(position, LogOffset(90));
}

/// Guards against removing servers at once in an outage of the store for all, in which records expire of servers that
/// live, and against keeping them for good.
#[test]
fn expired_servers_of_a_copied_list_are_kept_as_long_as_at_its_reader() {
    for returns in [true, false] {
        let start = Instant::now();
        let back = start + Duration::from_secs(9);
        let reader = RelayFleet::new();
        read(&reader, 50, &[1, 2], start);
        let fleet = RelayFleet::new();
        let version = copy(&fleet, &reader, None, start);
        reader.apply(vec![ServerChange::Unreachable], start);
        read(&reader, 100, &[1], back);
        let version = copy(&fleet, &reader, Some(version), back);
        assert_eq!(ids(&fleet), ["i-1", "i-2"]);
        if returns {
            read(&reader, 110, &[1, 2], back + Duration::from_secs(1));
        }
        reader.tick(back + Duration::from_millis(2_100));
        copy(
            &fleet,
            &reader,
            Some(version),
            back + Duration::from_millis(2_100),
        );
        let later = back + Duration::from_secs(10);
        fleet.tick(later);
        assert_eq!(ids(&fleet).len(), if returns { 2 } else { 1 });
        assert_eq!(ids(&fleet), ids(&reader));
    }
}

/// Guards against a list that stays for good if its reader ends while servers expire.
#[test]
fn expired_servers_are_removed_without_their_reader() {
    let start = Instant::now();
    let back = start + Duration::from_secs(4);
    let fleet = RelayFleet::new();
    read(&fleet, 50, &[1, 2], start);
    copy(&fleet, &open_returned(start, back), None, back);
    assert_eq!(ids(&fleet), ["i-1", "i-2"]);
    fleet.tick(back + Duration::from_millis(2_100));
    assert_eq!(ids(&fleet), ["i-1"]);
}

/// Guards against a daemon that counts as a reader as soon as one table can be read, while its list of servers is old.
#[test]
fn daemon_reads_again_when_all_tables_were_read() {
    let health = Arc::new(StoreHealth::default());
    let election = ReaderElection::new("entry-0".into(), "north".into(), 250, health.clone());
    let now = Instant::now();
    health.note(StoreTable::Servers, true, now);
    assert!(election.is_reading(now));
    health.note(StoreTable::Servers, false, now);
    health.note(StoreTable::Daemons, false, now);
    health.note(StoreTable::Configuration, true, now);
    assert!(!election.is_reading(now));
    health.note(StoreTable::Daemons, true, now);
    assert!(!election.is_reading(now));
    health.note(StoreTable::Servers, true, now);
    assert!(election.is_reading(now));
}

/// Guards against a reader that was turned away and takes its place from the one that has read meanwhile, and against a
/// zone without a reader.
#[test]
fn reader_whose_reads_fail_yields_to_another() {
    let health = Arc::new(StoreHealth::default());
    let election = ReaderElection::new("entry-0".into(), "north".into(), 250, health.clone());
    let mut reading = election.subscribe();
    let later = Instant::now() + Duration::from_secs(30);
    health.note(StoreTable::Servers, false, later);
    election.note_pulse(&pulse(1, "south", true, Duration::from_secs(1)), later);
    assert!(
        *reading.borrow_and_update(),
        "no other daemon of its zone reads"
    );
    election.note_pulse(&pulse(2, "north", true, Duration::from_secs(1)), later);
    assert!(!*reading.borrow_and_update());
    election.elect(later + Duration::from_secs(5));
    assert!(*reading.borrow_and_update(), "the other sends no pulses");
}

/// Guards against a position that does not tell a list that was copied from one that has moved on since.
#[test]
fn changes_are_refused_by_a_list_that_has_moved_on() {
    let start = Instant::now();
    let (reader, fleet) = (RelayFleet::new(), RelayFleet::new());
    read(&reader, 50, &[1], start);
    let version = copy(&fleet, &reader, None, start);
    let base: ListPosition = fleet.position();
    read(&reader, 70, &[1, 2], start);
    let delta = reader.changes_since(Some(version));
    read(&fleet, 60, &[], start);
    assert!(!fleet.apply_copy(delta, base, start));
    copy(&fleet, &reader, None, start);
    assert_eq!(ids(&fleet), ["i-1", "i-2"]);
}
