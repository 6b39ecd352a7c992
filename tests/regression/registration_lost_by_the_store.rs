//! A restored store lacked the record of a daemon. The others dropped the daemon and took its shares, while it used them
//! on and wrote its record again only seconds later.

use std::future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::Result;
use foxtailhill::catalog::TeamSpec;
use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::limit::LimitService;
use foxtailhill::member::{PeerTable, WHOLE_PPM};
use foxtailhill::peer::PeerClient;
use foxtailhill::relay::{
    DaemonRecord, DaemonRegistry, KeyedRecord, RecordStore, RegistrySettings, StoreTable,
    TableChange, TableRead, TableSink,
};
use foxtailhill::timer::TimerService;
use tokio::sync::watch;

/// Limit of every wait, less than the period in which records are renewed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);

/// A store that counts writes and has nothing to read.
struct CountingStore(watch::Sender<u32>);

impl RecordStore for CountingStore {
    async fn newest(&self, _table: StoreTable) -> Result<TableRead> {
        future::pending().await
    }

    async fn read(
        &self,
        _table: StoreTable,
        _from: LogOffset,
        _wait: Duration,
    ) -> Result<Option<TableRead>> {
        future::pending().await
    }

    async fn put(&self, _table: StoreTable, _key: &str, _value: Bytes) -> Result<()> {
        self.0.send_modify(|count| *count += 1);
        Ok(())
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

fn read(era: u64, numbers: &[u16]) -> eyre::Result<TableRead> {
    let mut records = Vec::new();
    for number in numbers {
        let value = bincode::serde::encode_to_vec(record(*number), bincode::config::standard())?;
        records.push(KeyedRecord {
            key: format!("vm-{number}").into(),
            value: Some(value.into()),
            offset: LogOffset(0),
        });
    }
    Ok(TableRead {
        records,
        era: StoreEra(era),
        ..TableRead::default()
    })
}

fn open() -> DaemonRegistry {
    DaemonRegistry::new(RegistrySettings {
        name: "vm-0".into(),
        record: record(0),
        term: Duration::from_secs(30),
        settle_time: Duration::ZERO,
    })
}

fn share(registry: &DaemonRegistry) -> u32 {
    let team = TeamSpec {
        name: "south".into(),
        rate: 1_000,
        burst: 1_000,
    };
    registry.team_shares(&[team]).into_values().sum()
}

/// Guards against shares that add up to more than the whole because a daemon whose record was lost still uses its own.
#[test]
fn daemon_whose_record_was_lost_keeps_its_share() -> eyre::Result<()> {
    let registry = open();
    registry.apply(TableChange::Snapshot(read(1, &[0, 1])?));
    registry.apply(TableChange::Records(read(1, &[2])?));
    assert_eq!(share(&registry), WHOLE_PPM / 3);
    for _ in 0..2 {
        registry.apply(TableChange::Snapshot(read(2, &[0, 1])?));
        assert_eq!(share(&registry), WHOLE_PPM / 3);
    }
    // A daemon that copies the table keeps it too.
    let copier = open();
    copier.apply_copy(registry.registrations(Instant::now()), Instant::now());
    copier.apply(TableChange::Snapshot(read(2, &[0, 1])?));
    assert_eq!(share(&copier), WHOLE_PPM / 3);
    // Within an era a table lacks only what was removed.
    registry.apply(TableChange::Snapshot(read(2, &[0])?));
    assert_eq!(registry.peers().len(), 1);
    Ok(())
}

/// Guards against a daemon that is unknown to those that start later until it renews its record, and against all daemons
/// writing at once although the store still has their records.
#[tokio::test]
async fn lost_record_is_written_again_at_once() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let timer = TimerService::spawn(&group);
    let (_declared, teams) = watch::channel(Vec::new());
    let client = Arc::new(PeerClient::open(&group));
    let limits = LimitService::open(teams.clone(), Arc::new(PeerTable::new()), client);
    let registry = Arc::new(open());
    let store = Arc::new(CountingStore(watch::Sender::new(0)));
    let mut writes = store.0.subscribe();
    registry.apply(TableChange::Snapshot(read(1, &[1])?));
    registry.spawn(store, Arc::new(limits), teams, &timer, &group);
    tokio::time::timeout(WAIT_TIMEOUT, writes.wait_for(|count| *count == 1)).await??;
    let registered = async {
        while registry.share(Instant::now()).ppm == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, registered).await?;
    registry.apply(TableChange::Snapshot(read(2, &[0, 1])?));
    registry.apply(TableChange::Snapshot(read(3, &[1])?));
    tokio::time::timeout(WAIT_TIMEOUT, writes.wait_for(|count| *count == 2)).await??;
    registry.apply(TableChange::Records(read(3, &[0])?));
    registry.apply(TableChange::Snapshot(read(4, &[0, 1])?));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(*writes.borrow(), 2);
    group.shutdown().await;
    Ok(())
}
