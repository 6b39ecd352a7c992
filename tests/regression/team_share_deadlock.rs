//! A daemon with several threads deadlocked: while it computed its shares it held the lock on the list of teams, its
//! budgets locked the list again for reading, and a new configuration waited for the lock in between.

use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use foxtailhill::ids::{StoreEra, VmId};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::limit::LimitService;
use foxtailhill::member::PeerTable;
use foxtailhill::peer::PeerClient;
use foxtailhill::platform::{self, StoreClient};
use foxtailhill::relay::{
    ConfigHolder, DaemonRecord, DaemonRegistry, Registration, RegistryCopy, RegistrySettings,
};
use foxtailhill::timer::TimerService;
use serde_json::json;

/// Enough for the computation of shares to take a large part of its period.
const TEAMS: usize = 1_000;
const DAEMONS: u16 = 80;
/// Configurations, spread over several of these periods.
const VERSIONS: u64 = 1_000;
const VERSION_PAUSE: Duration = Duration::from_millis(1);
/// Far above the seconds that the configurations take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn record(number: u16) -> DaemonRecord {
    DaemonRecord {
        vm: VmId(number.into()),
        zone: "north".into(),
        peer: ([127, 0, 0, 1], number).into(),
        pulse: ([127, 0, 0, 1], number).into(),
    }
}

fn offer(configs: &ConfigHolder, version: u64) -> eyre::Result<()> {
    let teams = (0..TEAMS).map(|team| {
        json!({"name": format!("team-{team}"), "rate-per-s": 100 + version, "burst": 60_000})
    });
    let config = json!({"version": version, "tenants": teams.collect::<Vec<_>>()});
    configs.offer_record(config.to_string().into());
    eyre::ensure!(configs.version() == version, "{version} is not in force");
    Ok(())
}

/// Guards against a deadlock between a daemon that computes its shares and a configuration that comes into force.
#[test]
fn configurations_come_into_force_while_shares_are_computed() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let configs = Arc::new(ConfigHolder::new(
        platform::CONFIGURATION_KEY,
        platform::decode_config,
    ));
    let group = TaskGroup::new();
    let timer = runtime.block_on(async {
        let peer_table = Arc::new(PeerTable::new());
        let client = Arc::new(PeerClient::open(&group));
        let limits = Arc::new(LimitService::open(configs.teams(), peer_table, client));
        let registry = Arc::new(DaemonRegistry::new(RegistrySettings {
            name: "vm-0".into(),
            record: record(0),
            term: WAIT_TIMEOUT,
            settle_time: Duration::ZERO,
        }));
        let daemons = (0..DAEMONS).map(|number| Registration {
            name: format!("vm-{number}").into(),
            record: record(number),
            age: Duration::ZERO,
            era: StoreEra(1),
        });
        let copy = RegistryCopy {
            era: StoreEra(1),
            registrations: daemons.collect(),
        };
        registry.apply_copy(copy, Instant::now());
        // The store is not asked: the daemon has not read the list of daemons from it.
        let store = Arc::new(StoreClient::open(([127, 0, 0, 1], 9).into()));
        let timer = TimerService::spawn(&group);
        registry.spawn(store, limits, configs.teams(), &timer, &group);
        timer
    });
    let (done, offered) = mpsc::channel();
    std::thread::spawn(move || {
        for version in 1..=VERSIONS {
            // The receiver is gone if the test has failed.
            let _ = done.send(offer(&configs, version));
            std::thread::sleep(VERSION_PAUSE);
        }
    });
    for version in 1..=VERSIONS {
        let Ok(result) = offered.recv_timeout(WAIT_TIMEOUT) else {
            // Dropping the runtime would wait for its blocked threads.
            runtime.shutdown_background();
            eyre::bail!("configuration {version} does not come into force");
        };
        result?;
    }
    runtime.block_on(group.shutdown());
    drop(timer);
    Ok(())
}
