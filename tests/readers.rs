//! Which daemons read the store, and what the others take over from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::ids::VmId;
use foxtailhill::relay::{CopySource, FetchMemory, Pulse, ReaderElection, StoreHealth};

fn pulse(index: u16, zone: &str, reads: bool, reading_for: Duration) -> Pulse {
    Pulse {
        vm: VmId(u64::from(index)),
        name: format!("entry-{index}").into(),
        zone: zone.into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + index)),
        plan_version: 5,
        reads_store: reads,
        reading_for,
        tables_version: 3,
        loads: Default::default(),
        spare: Vec::new(),
        demand: Vec::new(),
        fence: None,
        placements: Vec::new(),
    }
}

fn open(health: &Arc<StoreHealth>) -> ReaderElection {
    ReaderElection::new("entry-0".into(), "north".into(), health.clone())
}

/// Guards against a fleet in which every daemon reads the store, and against one in which none does.
#[test]
fn daemon_reads_only_while_no_other_of_its_zone_does() {
    let health = Arc::new(StoreHealth::default());
    let election = open(&health);
    let now = Instant::now();
    health.note(true, now);
    assert!(election.is_reading(now));
    election.heard(&pulse(1, "south", true, Duration::from_secs(9)), now);
    assert!(
        election.is_reading(now),
        "a reader of another zone is no reason to stop"
    );
    election.heard(&pulse(2, "north", false, Duration::from_secs(9)), now);
    assert!(
        election.is_reading(now),
        "a daemon that cannot read is no reason to stop"
    );
    election.heard(&pulse(3, "north", true, Duration::from_secs(9)), now);
    assert!(!election.is_reading(now));
    let later = now + Duration::from_secs(5);
    health.note(true, later);
    election.elect(later);
    assert!(election.is_reading(later), "the reader fell silent");
}

/// Guards against a reader that steps down for one that has just started, which would move the planner's lease.
#[test]
fn reader_of_long_standing_stays() {
    let health = Arc::new(StoreHealth::default());
    let election = open(&health);
    let later = Instant::now() + Duration::from_secs(30);
    health.note(true, later);
    for index in 1..40 {
        election.heard(&pulse(index, "north", true, Duration::from_secs(2)), later);
    }
    assert!(election.is_reading(later));
}

/// Guards against two daemons that began together and both step down, or both stay.
#[test]
fn of_two_new_readers_one_stays() {
    let names = ["entry-0", "entry-1"];
    let now = Instant::now();
    let stays = |own: usize| {
        let health = Arc::new(StoreHealth::default());
        let election = ReaderElection::new(names[own].into(), "north".into(), health.clone());
        health.note(true, now);
        election.heard(&pulse(1 - own as u16, "north", true, Duration::ZERO), now);
        election.is_reading(now)
    };
    assert_ne!(stays(0), stays(1));
}

/// Guards against a daemon that the store turns away and that keeps an old configuration, with withdrawn keys.
#[test]
fn newer_configuration_is_found_at_any_peer() {
    let election = open(&Arc::default());
    let now = Instant::now();
    election.heard(&pulse(4, "south", false, Duration::ZERO), now);
    let source = election.newer_plan(4, now);
    assert_eq!(source.map(|source| source.vm), Some(VmId(4)));
    assert_eq!(election.newer_plan(5, now), None);
}

/// Guards against a copy that is fetched again and again, or never again.
#[test]
fn copy_is_fetched_when_it_is_new_or_old() {
    let source = |version| CopySource {
        vm: VmId(1),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        version,
    };
    let now = Instant::now();
    let mut memory = FetchMemory::default();
    assert!(memory.wants(source(1), now));
    memory.fetched(source(1), now);
    assert!(!memory.wants(source(1), now));
    assert!(memory.wants(source(2), now));
    assert!(memory.wants(source(1), now + Duration::from_secs(6)));
}
