//! A starting daemon took the versions that former daemons had written with their records as listed now.

use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::relay::{
    DaemonRecord, DaemonRegistry, KeyedRecord, RegistrySettings, TableChange, TableRead, TableSink,
    VersionNotice, VersionReport,
};

/// Time of day, in milliseconds since the Unix epoch.
const TODAY_MS: u64 = 20_000 * 86_400_000;

fn record(number: u16) -> DaemonRecord {
    DaemonRecord {
        vm: VmId(number.into()),
        zone: "north".into(),
        peer: ([127, 0, 0, 1], number).into(),
        pulse: ([127, 0, 0, 1], number).into(),
    }
}

/// A report of a release that was under way.
fn report() -> VersionReport {
    let notice = |software, age_ms| VersionNotice {
        service: 1,
        software,
        age_ms,
    };
    VersionReport {
        known_for_ms: 60_000,
        listed: 7,
        mixed: vec![notice(1, 0), notice(2, 45_000)],
    }
}

/// Returns what a daemon that starts now learns from a record with `value`.
fn learn(value: impl serde::Serialize) -> eyre::Result<VersionReport> {
    let value = bincode::serde::encode_to_vec(value, bincode::config::standard())?;
    let registry = DaemonRegistry::new(RegistrySettings {
        name: "vm-0".into(),
        record: record(0),
        term: Duration::from_secs(30),
        settle_time: Duration::ZERO,
    });
    let read = TableRead {
        records: vec![KeyedRecord {
            key: "vm-1".into(),
            value: Some(Bytes::from(value)),
            offset: LogOffset(0),
        }],
        era: StoreEra(1),
        ..TableRead::default()
    };
    registry.apply(TableChange::Snapshot(read));
    assert_eq!(registry.peers().len(), 1, "the record itself counts");
    let today = UNIX_EPOCH + Duration::from_millis(TODAY_MS);
    Ok(registry.take_reports(today).pop().unwrap_or_default())
}

/// Guards against versions that were listed minutes or days ago, which make a service with one version count as mixed, or
/// vouch for a time that the report does not cover.
#[test]
fn a_report_says_nothing_once_it_is_old() -> eyre::Result<()> {
    let nothing = VersionReport::default();
    for age_ms in [60_001, 3_600_000, TODAY_MS] {
        let learned = learn((record(1), report(), TODAY_MS - age_ms))?;
        assert_eq!(learned, nothing, "{age_ms}");
    }
    // Of an earlier release, which wrote no time.
    assert_eq!(learn((record(1), report()))?, nothing);
    // Clocks that differ by more than clocks of VMs do.
    assert_eq!(learn((record(1), report(), TODAY_MS + 5_001))?, nothing);
    assert_eq!(learn((record(1), report(), u64::MAX))?, nothing);
    Ok(())
}

/// Guards against versions that are taken as listed now although they were when the record was written.
#[test]
fn ages_in_a_report_count_from_its_writing() -> eyre::Result<()> {
    assert_eq!(learn((record(1), report(), TODAY_MS))?, report());
    assert_eq!(learn((record(1), report(), TODAY_MS + 5_000))?, report());
    let learned = learn((record(1), report(), TODAY_MS - 10_000))?;
    let ages: Vec<u32> = learned.mixed.iter().map(|notice| notice.age_ms).collect();
    assert_eq!(ages, [10_000, 55_000]);
    assert_eq!((learned.listed, learned.known_for_ms), (7, 60_000));
    let learned = learn((record(1), report(), TODAY_MS - 20_000))?;
    let ages: Vec<u32> = learned.mixed.iter().map(|notice| notice.age_ms).collect();
    assert_eq!(ages, [20_000]);
    assert!(learned.is_valid());
    Ok(())
}

/// Guards against a daemon that has ended and vouches for the time since then, in which others may have seen more.
#[test]
fn an_older_report_vouches_for_no_time() -> eyre::Result<()> {
    let learned = learn((record(1), report(), TODAY_MS - 30_000))?;
    assert_eq!((learned.known_for_ms, learned.mixed.len()), (60_000, 1));
    let learned = learn((record(1), report(), TODAY_MS - 30_001))?;
    assert_eq!((learned.known_for_ms, learned.mixed.len()), (0, 1));
    Ok(())
}

/// Guards against reports that are out of their bounds.
#[test]
fn an_invalid_report_says_nothing() -> eyre::Result<()> {
    let mut odd = report();
    odd.mixed[1].age_ms = u32::MAX;
    assert_eq!(learn((record(1), odd, TODAY_MS))?, VersionReport::default());
    Ok(())
}
