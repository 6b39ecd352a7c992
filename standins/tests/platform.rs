//! Platform adapters against the stand-ins of log, VM list and weight store.

use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::RunVerdict;
use foxtailhill::ids::LogOffset;
use foxtailhill::inventory::{
    HttpVmList, HttpWeightStore, ListedVm, VmList, VmRole, VmState, WeightStore,
};
use foxtailhill::journal::{HttpJournal, JournalClient, StreamName};
use foxtailhill_standins::stream_log::{LogControl, LogOutage};
use foxtailhill_standins::vm_list::VmListControl;
use foxtailhill_standins::{
    LogOptions, LogStandin, VmListOptions, VmListStandin, WeightStoreOptions, WeightStoreStandin,
    any_port,
};

const NO_WAIT: Duration = Duration::ZERO;

async fn log(options: LogOptions) -> (LogStandin, HttpJournal) {
    let log = LogStandin::open(options).await.expect("log binds");
    let client = HttpJournal::open(log.address()).with_timeout(Duration::from_millis(500));
    (log, client)
}

/// Guards against gaps in offsets, altered records and readers that miss an append.
#[tokio::test]
async fn records_are_read_in_append_order() {
    let (log, client) = log(LogOptions::default()).await;
    let reader = client.clone();
    let waiting = tokio::spawn(async move {
        let wait = Duration::from_secs(10);
        reader
            .read(StreamName::Config, LogOffset(0), 10, wait)
            .await
    });
    for value in 0..5u8 {
        let record = Bytes::from(vec![value, 0, 255]);
        let offset = client.append(StreamName::Config, record).await.unwrap();
        assert_eq!(offset, LogOffset(u64::from(value)));
    }
    assert!(!waiting.await.unwrap().unwrap().records.is_empty());
    let batch = client
        .read(StreamName::Config, LogOffset(2), 2, NO_WAIT)
        .await
        .unwrap();
    let offsets: Vec<u64> = batch.records.iter().map(|record| record.offset.0).collect();
    assert_eq!(offsets, [2, 3]);
    assert_eq!(&batch.records[0].data[..], [2, 0, 255]);
    assert_eq!(batch.bounds.next, LogOffset(5));
    let other = client
        .read(StreamName::Claims, LogOffset(0), 2, NO_WAIT)
        .await
        .unwrap();
    assert_eq!(other.bounds.next, LogOffset(0));
    log.shutdown().await;
}

/// Guards against verdicts that contradict the log's content under faults.
#[tokio::test]
async fn append_verdicts_agree_with_the_log() {
    let (log, client) = log(LogOptions::default()).await;
    let cases = [
        (LogOutage::Refuse, 0, 0, RunVerdict::NotRun, 0),
        (LogOutage::Cut, 0, 0, RunVerdict::MayHaveRun, 0),
        (LogOutage::Hang, 0, 0, RunVerdict::MayHaveRun, 0),
        (LogOutage::None, 0, 1, RunVerdict::MayHaveRun, 0),
        (LogOutage::None, 1, 0, RunVerdict::MayHaveRun, 1),
    ];
    for (outage, lose_answers, lose_appends, verdict, stored) in cases {
        log.set_control(LogControl {
            outage,
            lose_answers,
            lose_appends,
            ..LogControl::default()
        });
        let record = Bytes::from_static(b"record");
        let error = client.append(StreamName::Claims, record).await;
        assert_eq!(error.unwrap_err().verdict(), verdict, "{outage:?}");
        assert_eq!(log.records("claims").1.len(), stored, "{outage:?}");
    }
    log.shutdown().await;
    let record = Bytes::from_static(b"record");
    let error = client.append(StreamName::Claims, record).await;
    assert_eq!(error.unwrap_err().verdict(), RunVerdict::NotRun);
}

/// Guards against readers that take a stream whose first records have expired for an empty or a complete one.
#[tokio::test]
async fn retention_moves_the_first_offset() {
    let options = LogOptions {
        max_records: Some(3),
        ..LogOptions::default()
    };
    let (log, client) = log(options).await;
    for _ in 0..8 {
        let record = Bytes::from_static(b"record");
        client.append(StreamName::Members, record).await.unwrap();
    }
    let batch = client
        .read(StreamName::Members, LogOffset(1), 10, NO_WAIT)
        .await
        .unwrap();
    assert_eq!(batch.bounds.first, LogOffset(5));
    assert_eq!(batch.records[0].offset, LogOffset(5));
    assert_eq!(batch.records.len(), 3);
    log.shutdown().await;
}

/// Guards against a log that accepts appends faster than its rate limit, which models the platform's.
#[tokio::test]
async fn appends_are_limited() {
    let options = LogOptions {
        appends_per_s: 100.0,
        ..LogOptions::default()
    };
    let (log, client) = log(options).await;
    let start = Instant::now();
    for _ in 0..21 {
        let record = Bytes::from_static(b"record");
        client.append(StreamName::Members, record).await.unwrap();
    }
    assert!(start.elapsed() >= Duration::from_millis(200));
    log.shutdown().await;
}

/// Guards against a VM list without lag, which would hide faults of its readers.
#[tokio::test]
async fn vm_list_shows_changes_after_the_lag() {
    let list = VmListStandin::open(VmListOptions::default()).await.unwrap();
    let client = HttpVmList::open(list.address());
    let vm = ListedVm {
        name: "engine-1".into(),
        zone: "catania".into(),
        role: VmRole::Backend,
        address: any_port(),
        state: VmState::Live,
    };
    list.put(vm.clone());
    assert_eq!(client.list().await.unwrap(), [vm]);
    list.set_control(VmListControl {
        lag_ms: 3_600_000,
        down: false,
    });
    list.mark_leaving("engine-1");
    assert_eq!(client.list().await.unwrap()[0].state, VmState::Live);
    list.set_control(VmListControl::default());
    assert_eq!(client.list().await.unwrap()[0].state, VmState::Leaving);
    list.remove("engine-1");
    assert!(client.list().await.unwrap().is_empty());
    list.set_control(VmListControl {
        lag_ms: 0,
        down: true,
    });
    let error = client.list().await.unwrap_err();
    assert_eq!(error.verdict(), RunVerdict::NotRun);
    list.shutdown().await;
}

/// Guards against a weight store that does not count loads in flight or does not slow them down beyond full speed.
#[tokio::test]
async fn weight_store_counts_loads_in_flight() {
    let store = WeightStoreStandin::open(WeightStoreOptions {
        loads_per_s: 1000.0,
        full_speed_loads: 2,
        bytes_per_s: 1e9,
        ..WeightStoreOptions::default()
    })
    .await
    .unwrap();
    let client = HttpWeightStore::open(store.address());
    let address = store.address();
    let fetch = || async move {
        let client = foxtailhill_standins::client::JsonClient::new(Duration::from_secs(20));
        let path = "/weights/drafter/v1?bytes=200000000";
        client.get::<serde_json::Value>(address, path).await
    };
    let start = Instant::now();
    let loads: Vec<_> = (0..4).map(|_| tokio::spawn(fetch())).collect();
    while client.load().await.unwrap().in_flight < 4 {
        assert!(start.elapsed() < Duration::from_secs(10));
    }
    assert!(client.load().await.unwrap().available < 0.5);
    for load in loads {
        load.await.unwrap().unwrap();
    }
    // Four loads at the full speed of two take at least twice the time of one.
    assert!(start.elapsed() >= Duration::from_millis(390));
    assert_eq!(store.counters().loads_done, 4);
    store.shutdown().await;
}
