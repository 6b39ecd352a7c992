//! A daemon copied the tables of another one that had not read the restored store yet, and went back to the older ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::relay::{
    ConfigHolder, CopyTables, DaemonRecord, DaemonRegistry, ListPosition, Registration,
    RegistryCopy, RegistrySettings, RelayFleet, ServerChange, ServerDelta, ServerEntry, TableCopy,
};

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

fn list(era: u64, servers: &[u64]) -> ServerDelta {
    ServerDelta {
        version: 7,
        position: ListPosition {
            era: StoreEra(era),
            offset: LogOffset(1),
        },
        is_snapshot: true,
        changed: servers.iter().map(|index| server(*index)).collect(),
        expiring: Vec::new(),
        renewed: Vec::new(),
        removed: Vec::new(),
    }
}

fn record(number: u16) -> DaemonRecord {
    DaemonRecord {
        vm: VmId(number.into()),
        zone: "north".into(),
        peer: ([127, 0, 0, 1], number).into(),
        pulse: ([127, 0, 0, 1], number).into(),
    }
}

fn daemons(era: u64, numbers: &[u16]) -> RegistryCopy {
    let registrations = numbers.iter().map(|number| Registration {
        name: format!("vm-{number}").into(),
        record: record(*number),
        age: Duration::ZERO,
        era: StoreEra(era),
    });
    RegistryCopy {
        era: StoreEra(era),
        registrations: registrations.collect(),
    }
}

fn open_registry() -> DaemonRegistry {
    DaemonRegistry::new(RegistrySettings {
        name: "vm-0".into(),
        record: record(0),
        term: Duration::from_secs(30),
        settle_time: Duration::ZERO,
    })
}

/// Guards against a list or registrations of an earlier era that are applied, and against ones of the same era that are
/// not.
#[test]
fn copy_of_an_earlier_era_is_refused() {
    let now = Instant::now();
    let tables = CopyTables {
        configs: Arc::new(ConfigHolder::new("config", |_| {
            Err(foxtailhill::error::Error::invalid("none"))
        })),
        fleet: Arc::default(),
        registry: Arc::new(open_registry()),
    };
    tables.fleet.apply(list(2, &[1]).into_changes(), now);
    tables.registry.apply_copy(daemons(2, &[0, 1]), now);
    let copy = |servers, daemons_era| TableCopy {
        servers: list(servers, &[1, 2]),
        daemons: Some(daemons(daemons_era, &[0, 1, 2])),
    };
    assert!(tables.check_era(copy(1, 2)).is_err());
    assert!(
        tables.check_era(copy(2, 1)).is_ok(),
        "a list is refused because of registrations"
    );
    assert!(tables.check_era(copy(2, 2)).is_ok());
    assert!(tables.check_era(copy(3, 2)).is_ok());
    tables.fleet.apply(list(1, &[1, 2]).into_changes(), now);
    assert_eq!(tables.fleet.servers().len(), 1);
    tables.registry.apply_copy(daemons(1, &[0, 1, 2]), now);
    assert_eq!(tables.registry.peers().len(), 1);
}

/// Guards against a daemon that never lists a server again whose record it ignored, because the server's later writes are
/// no change to the daemon that it copies from.
#[test]
fn whole_list_is_copied_after_records_were_ignored() {
    let start = Instant::now();
    let copier = RelayFleet::new();
    copier.apply(list(1, &[1, 2]).into_changes(), start);
    copier.apply(vec![ServerChange::Removed("i-1".into())], start);
    copier.apply(list(2, &[1, 2]).into_changes(), start);
    assert_eq!(copier.servers().len(), 1);
    assert!(!copier.take_resync(start));
    let later = start + Duration::from_secs(7);
    assert!(copier.take_resync(later));
    assert!(!copier.take_resync(later));
    copier.apply(list(2, &[1, 2]).into_changes(), later);
    assert_eq!(copier.servers().len(), 2);
}

/// Guards against a new era that is not announced to the daemons that copy the tables because no record has changed.
#[test]
fn copies_tell_the_era() {
    let now = Instant::now();
    let fleet = RelayFleet::new();
    fleet.apply(list(1, &[1]).into_changes(), now);
    let version = fleet.version();
    fleet.apply(
        vec![
            ServerChange::Era(StoreEra(2)),
            ServerChange::Snapshot(vec![server(1)]),
        ],
        now,
    );
    assert!(fleet.version() > version);
    assert_eq!(fleet.changes_since(Some(version)).position.era, StoreEra(2));
    let registry = open_registry();
    registry.apply_copy(daemons(1, &[0]), now);
    let version = registry.version();
    registry.apply_copy(daemons(2, &[0]), now);
    assert!(registry.version() > version);
    assert_eq!(registry.registrations(now).era, StoreEra(2));
}
