//! Election of the daemons that read the store, and copies of their tables by the others.

mod pulse_support;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::relay::{
    CopySource, FetchHistory, ListPosition, Pulse, ReaderElection, RegistryCopy, RelayFleet,
    ServerChange, ServerEntry, StoreHealth, StoreTable, TableCopy,
};
use pulse_support::pulse;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn open(health: &Arc<StoreHealth>) -> ReaderElection {
    ReaderElection::new("entry-0".into(), "north".into(), 250, health.clone())
}

/// Guards against a fleet in which every daemon reads the store, and against one in which none does.
#[test]
fn one_daemon_of_a_zone_reads_the_store() {
    let health = Arc::new(StoreHealth::default());
    let election = open(&health);
    let now = Instant::now();
    health.note(StoreTable::Servers, true, now);
    assert!(election.is_reading(now));
    election.note_pulse(&pulse(1, "south", true, Duration::from_secs(9)), now);
    assert!(
        election.is_reading(now),
        "stopped reading because of a reader of another zone"
    );
    election.note_pulse(&pulse(2, "north", false, Duration::from_secs(9)), now);
    assert!(
        election.is_reading(now),
        "stopped reading because of a daemon that does not read the store"
    );
    election.note_pulse(&pulse(3, "north", true, Duration::from_secs(9)), now);
    assert!(!election.is_reading(now));
    let later = now + Duration::from_secs(5);
    health.note(StoreTable::Servers, true, later);
    election.elect(later);
    assert!(
        election.is_reading(later),
        "the other reader sends no pulses, but this daemon does not read"
    );
}

/// Guards against a reader that yields to one that has just started, which would move the planner's lease.
#[test]
fn longest_running_reader_stays_elected() {
    let health = Arc::new(StoreHealth::default());
    let election = open(&health);
    let later = Instant::now() + Duration::from_secs(30);
    health.note(StoreTable::Servers, true, later);
    for index in 1..40 {
        election.note_pulse(&pulse(index, "north", true, Duration::from_secs(2)), later);
    }
    assert!(election.is_reading(later));
}

/// Guards against two daemons that began to read together and then both stop or both continue.
#[test]
fn exactly_one_of_two_simultaneous_readers_stays_elected() {
    let names = ["entry-0", "entry-1"];
    let now = Instant::now();
    let stays = |own: usize| {
        let health = Arc::new(StoreHealth::default());
        let election = ReaderElection::new(names[own].into(), "north".into(), 250, health.clone());
        health.note(StoreTable::Servers, true, now);
        election.note_pulse(&pulse(1 - own as u16, "north", true, Duration::ZERO), now);
        election.is_reading(now)
    };
    assert_ne!(stays(0), stays(1));
}

/// Guards against electing a VM with a slow link or little CPU, from which its whole zone would copy.
#[test]
fn larger_vm_wins_between_simultaneous_readers() {
    let now = Instant::now();
    for (own, stays) in [(500, true), (120, false)] {
        let health = Arc::new(StoreHealth::default());
        let election = ReaderElection::new("entry-0".into(), "north".into(), own, health.clone());
        health.note(StoreTable::Servers, true, now);
        for index in 1..9 {
            election.note_pulse(&pulse(index, "north", true, Duration::ZERO), now);
        }
        assert_eq!(election.is_reading(now), stays, "weight {own}");
    }
}

/// Guards against a configuration that all daemons copy from the one that had it first.
#[test]
fn configuration_is_copied_from_several_daemons_of_the_zone() {
    let election = open(&Arc::default());
    let now = Instant::now();
    election.note_pulse(&pulse(9, "south", true, Duration::ZERO), now);
    for index in 1..9 {
        election.note_pulse(&pulse(index, "north", false, Duration::ZERO), now);
    }
    let sources = (0..200).filter_map(|_| election.newer_config_source(4, None, now));
    let sources: HashSet<u64> = sources.map(|source| source.vm.0).collect();
    assert!(sources.len() > 4, "{sources:?}");
    assert!(!sources.contains(&9), "{sources:?}");
}

/// Guards against a daemon that the store refuses to serve and that therefore keeps an old configuration with withdrawn
/// keys.
#[test]
fn newer_configuration_is_found_at_any_peer() {
    let election = open(&Arc::default());
    let now = Instant::now();
    election.note_pulse(&pulse(4, "south", false, Duration::ZERO), now);
    let source = election.newer_config_source(4, None, now);
    assert_eq!(source.map(|source| source.vm), Some(VmId(4)));
    assert_eq!(election.newer_config_source(5, None, now), None);
}

/// Guards against a daemon that knows no servers until the store is back, as no daemon reads it.
#[test]
fn newer_list_is_found_at_a_daemon_that_does_not_read_the_store() {
    let election = open(&Arc::default());
    let now = Instant::now();
    let position = |offset| ListPosition {
        era: StoreEra(1),
        offset: LogOffset(offset),
    };
    for (index, offset) in [(1, 0), (2, 8), (3, 9)] {
        let pulse = Pulse {
            list: position(offset),
            ..pulse(index, "south", false, Duration::ZERO)
        };
        election.note_pulse(&pulse, now);
    }
    let source = |own, failed| {
        let source = election.newer_list_source(own, failed, now);
        source.map(|source| source.vm)
    };
    assert_eq!(election.source(None, now), None);
    assert_eq!(source(ListPosition::default(), None), Some(VmId(3)));
    assert_eq!(source(position(1), Some(VmId(3))), Some(VmId(2)));
    assert_eq!(source(position(9), None), None, "the own list is as new");
    let later = now + Duration::from_secs(9);
    assert_eq!(election.newer_list_source(position(1), None, later), None);
}

/// Guards against fetching an unchanged copy repeatedly, and against never fetching it again.
#[test]
fn copy_is_fetched_when_the_source_changed_or_the_last_copy_expired() {
    let source = |version| CopySource {
        vm: VmId(1),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        version,
    };
    let now = Instant::now();
    let mut history = FetchHistory::default();
    assert!(history.is_due(source(1), now));
    history.note_fetch(source(1), &TableCopy::default(), now);
    assert!(!history.is_due(source(1), now));
    assert!(history.is_due(source(2), now));
    assert!(history.is_due(source(1), now + Duration::from_secs(6)));
}

/// Guards against repeated requests to a reader that cannot be reached while another one would answer.
#[test]
fn failed_source_is_chosen_last() {
    let election = open(&Arc::default());
    let now = Instant::now();
    let read_for = Duration::from_secs(9);
    election.note_pulse(&pulse(1, "north", true, read_for), now);
    let mut history = FetchHistory::default();
    let near = election.source(history.failed_source(now), now);
    assert_eq!(near.map(|source| source.vm), Some(VmId(1)));
    history.note_failure(near.expect("a source"), now);
    let again = election.source(history.failed_source(now), now);
    assert_eq!(again, near, "the only source is asked again");
    election.note_pulse(&pulse(2, "south", true, read_for), now);
    let other = election.source(history.failed_source(now), now);
    assert_eq!(other.map(|source| source.vm), Some(VmId(2)));
    let other = election.newer_config_source(4, history.failed_source(now), now);
    assert_eq!(other.map(|source| source.vm), Some(VmId(2)));
    assert_eq!(history.failed_source(now + Duration::from_secs(3)), None);
}

/// Guards against sending the whole list for each change: with 62 daemons the copies saturated a reader's link.
#[test]
fn unchanged_tables_are_not_sent_again() {
    let source = CopySource {
        vm: VmId(1),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        version: 8,
    };
    let now = Instant::now();
    let mut history = FetchHistory::default();
    let start = ListPosition::default();
    let first = history.request(source, start, now);
    assert_eq!((first.servers_version, first.daemons), (None, true));
    let mut copy = TableCopy {
        daemons: Some(RegistryCopy::default()),
        ..TableCopy::default()
    };
    copy.servers.version = 7;
    history.note_fetch(source, &copy, now);
    let next = history.request(source, copy.servers.position, now);
    assert_eq!((next.servers_version, next.daemons), (Some(7), false));
    let later = history.request(source, copy.servers.position, now + Duration::from_secs(2));
    assert!(later.daemons);
    let other = CopySource {
        vm: VmId(2),
        ..source
    };
    let moved = history.request(other, copy.servers.position, now);
    assert_eq!((moved.servers_version, moved.daemons), (None, true));
}

fn server(index: u64, born_ms: u64, leaving: bool) -> ServerEntry {
    ServerEntry {
        id: format!("i-{index}").into(),
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "north".into(),
        software: "v1".into(),
        slots: 6,
        leaving,
        models: Vec::new(),
        born_ms,
        seq: 0,
        cold_left: Duration::ZERO,
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// Guards against a copy of the list that misses a change, for any number of changes since the last copy.
#[test]
fn list_copied_by_deltas_equals_the_source() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let (reader, copier) = (RelayFleet::new(), RelayFleet::new());
        let now = Instant::now();
        let mut version = None;
        let mut partial = 0;
        for _ in 0..40 {
            for _ in 0..random.random_range(0..60) {
                let index = random.random_range(0..30);
                let change = match random.random_bool(0.3) {
                    true => ServerChange::Removed(format!("i-{index}").into()),
                    false => ServerChange::Put(server(
                        index,
                        random.random_range(1..4),
                        random.random_bool(0.2),
                    )),
                };
                reader.apply(vec![change], now);
            }
            let delta = reader.changes_since(version);
            partial += usize::from(!delta.is_snapshot);
            version = Some(delta.version);
            copier.apply(delta.into_changes(), now);
            assert_eq!(copier.servers(), reader.servers(), "seed {seed}");
        }
        assert!(partial > 20, "seed {seed}: {partial} copies were partial");
    }
}

/// Guards against a departure that is announced only with the next periodic pulse of a reader.
#[test]
fn only_departures_notify_departure_subscribers() {
    let fleet = RelayFleet::new();
    let now = Instant::now();
    let mut departures = fleet.departures();
    let mut notified = |change| {
        fleet.apply(vec![change], now);
        let notified = departures.has_changed().expect("the fleet lives");
        departures.mark_unchanged();
        notified
    };
    assert!(!notified(ServerChange::Put(server(1, 1, false))));
    assert!(!notified(ServerChange::Put(server(2, 1, false))));
    assert!(notified(ServerChange::Put(server(1, 1, true))));
    assert!(!notified(ServerChange::Put(server(1, 1, true))));
    assert!(notified(ServerChange::Removed("i-2".into())));
}

/// Guards against old records that restore a server which was removed while the store refused to serve this daemon:
/// copies then spread it to the whole fleet, which had already dropped it.
#[test]
fn old_records_do_not_restore_a_removed_server() {
    let fleet = RelayFleet::new();
    let start = Instant::now();
    let put = || ServerChange::Put(server(1, 1, false));
    fleet.apply(vec![put(), ServerChange::Put(server(2, 1, false))], start);
    fleet.apply(vec![ServerChange::Unreachable], start);
    // In another daemon's copy the first server was removed.
    fleet.apply(
        vec![ServerChange::Snapshot(vec![server(2, 1, false)])],
        start,
    );
    fleet.tick(start + Duration::from_secs(3));
    assert_eq!(fleet.servers().len(), 1);
    fleet.apply(
        vec![ServerChange::Unreachable],
        start + Duration::from_secs(4),
    );
    let back = start + Duration::from_secs(9);
    let records = vec![
        put(),
        ServerChange::Removed("i-1".into()),
        ServerChange::Removed("i-2".into()),
    ];
    fleet.apply(records, back);
    let listed: Vec<_> = fleet
        .servers()
        .into_iter()
        .map(|server| server.id)
        .collect();
    assert_eq!(
        listed,
        ["i-2"],
        "an expired record is kept for a grace period, but an old one is ignored"
    );
    fleet.tick(back + Duration::from_secs(3));
    assert!(fleet.servers().is_empty());
}
