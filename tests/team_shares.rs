//! The shares of teams' rates that a daemon takes from the list of daemons.

use std::collections::BTreeMap;
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
    DaemonRecord, DaemonRegistry, KeyedRecord, RecordStore, Registration, RegistryCopy,
    RegistrySettings, StoreTable, TableChange, TableRead, TableSink,
};
use foxtailhill::timer::TimerService;
use smol_str::SmolStr;
use tokio::sync::watch;

/// Time limit for each condition, far above what any needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const OWN: &str = "vm-0";

/// A store that accepts writes and has nothing to read.
struct WriteOnlyStore;

impl RecordStore for WriteOnlyStore {
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

fn daemons(count: u16) -> RegistryCopy {
    let daemons = (0..count).map(|number| Registration {
        name: format!("vm-{number}").into(),
        record: record(number),
        age: Duration::ZERO,
        era: StoreEra(1),
    });
    RegistryCopy {
        era: StoreEra(1),
        registrations: daemons.collect(),
    }
}

fn team(name: &str) -> TeamSpec {
    TeamSpec {
        name: name.into(),
        rate: 1_000,
        burst: 1_000,
    }
}

async fn wait_for_shares(
    limits: &LimitService<PeerClient>,
    expected: &[(&str, u32)],
) -> eyre::Result<()> {
    let expected: BTreeMap<SmolStr, u32> = expected
        .iter()
        .map(|(team, share)| (SmolStr::from(*team), *share))
        .collect();
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let shares: BTreeMap<SmolStr, u32> = limits.shares().into_iter().collect();
        if shares == expected {
            return Ok(());
        }
        eyre::ensure!(Instant::now() < end, "{shares:?} and not {expected:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against shares that stay as they are when daemons come or go or teams are declared.
#[tokio::test]
async fn shares_follow_the_daemons_and_the_teams() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let timer = TimerService::spawn(&group);
    let (declared, teams) = watch::channel(vec![team("south")]);
    let peer_table = Arc::new(PeerTable::new());
    let client = Arc::new(PeerClient::open(&group));
    let limits = Arc::new(LimitService::open(teams.clone(), peer_table, client));
    let registry = Arc::new(DaemonRegistry::new(RegistrySettings {
        name: OWN.into(),
        record: record(0),
        term: Duration::from_secs(3_600),
        settle_time: Duration::ZERO,
    }));
    let own = bincode::serde::encode_to_vec(record(0), bincode::config::standard())?;
    registry.apply(TableChange::Snapshot(TableRead {
        records: vec![KeyedRecord {
            key: OWN.into(),
            value: Some(own.into()),
            offset: LogOffset(0),
        }],
        era: StoreEra(1),
        ..TableRead::default()
    }));
    registry.spawn(
        Arc::new(WriteOnlyStore),
        limits.clone(),
        teams,
        &timer,
        &group,
    );
    wait_for_shares(&limits, &[("south", WHOLE_PPM)]).await?;
    registry.apply_copy(daemons(3), Instant::now());
    wait_for_shares(&limits, &[("south", WHOLE_PPM / 3)]).await?;
    declared.send_replace(vec![team("south"), team("north")]);
    let third = WHOLE_PPM / 3;
    wait_for_shares(&limits, &[("north", third), ("south", third)]).await?;
    registry.apply_copy(daemons(1), Instant::now());
    wait_for_shares(&limits, &[("north", WHOLE_PPM), ("south", WHOLE_PPM)]).await?;
    declared.send_replace(vec![team("north")]);
    wait_for_shares(&limits, &[("north", WHOLE_PPM)]).await?;
    group.shutdown().await;
    Ok(())
}
