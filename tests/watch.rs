//! The fleet watch against fake engines and a fake VM list.

#![allow(clippy::unwrap_used)]

mod edge;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxtailhill::catalog::{BackendKind, BackendSpec};
use foxtailhill::engine::{
    CacheEvent, EngineChunk, EngineClient, EngineOrder, EngineRequest, LoadReport, OrderReply,
    ResidentItem,
};
use foxtailhill::error::{Error, Result};
use foxtailhill::inventory::{ListedVm, VmList, VmRole, VmState};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::routing::{ExpectedTimePolicy, PrefixIndex, RouteNeed, RoutingPolicy};
use foxtailhill::timer::TimerService;
use foxtailhill::watch::{FleetWatch, WatchSettings};
use futures_util::stream;

use crate::edge::eventually;

/// Reports by port. For `None` the call never completes; for a missing entry it fails.
#[derive(Default)]
struct FakeEngines {
    reports: Mutex<HashMap<u16, Option<LoadReport>>>,
}

impl FakeEngines {
    fn set(&self, port: u16, report: Option<LoadReport>) {
        self.reports.lock().unwrap().insert(port, report);
    }
}

impl EngineClient for FakeEngines {
    type Tokens = stream::Empty<Result<EngineChunk>>;

    async fn complete(&self, _: SocketAddr, _: &EngineRequest) -> Result<Self::Tokens> {
        Ok(stream::empty())
    }

    async fn load(&self, server: SocketAddr) -> Result<LoadReport> {
        let report = self.reports.lock().unwrap().get(&server.port()).cloned();
        match report {
            Some(Some(report)) => Ok(report),
            Some(None) => std::future::pending().await,
            None => Err(Error::unavailable("connection refused")),
        }
    }

    async fn cache_events(&self, server: SocketAddr, sequence: u64) -> Result<Vec<CacheEvent>> {
        let event = CacheEvent {
            sequence: 0,
            prefix_hash: server.port().into(),
            present: true,
        };
        Ok(if sequence == 0 {
            vec![event]
        } else {
            Vec::new()
        })
    }

    async fn order(&self, _: SocketAddr, _: &EngineOrder) -> Result<OrderReply> {
        Ok(OrderReply::Refused)
    }
}

#[derive(Default)]
struct FakeList {
    vms: Mutex<Vec<ListedVm>>,
}

impl VmList for FakeList {
    async fn list(&self) -> Result<Vec<ListedVm>> {
        Ok(self.vms.lock().unwrap().clone())
    }
}

fn report(sequence: u64) -> LoadReport {
    let item = ResidentItem {
        model: "m".into(),
        version: "v".into(),
        adapter: None,
    };
    LoadReport {
        sequence,
        resident: vec![(item, 1)],
        ..LoadReport::default()
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn engine(name: &str, port: u16) -> BackendSpec {
    let kind = BackendKind::Engine {
        memory_bytes: 1,
        accelerators: 1,
        slots: 4,
        checks_fencing: true,
    };
    BackendSpec {
        name: name.into(),
        zone: "z".into(),
        address: address(port),
        kind,
    }
}

fn service(name: &str, port: u16) -> BackendSpec {
    let kind = BackendKind::Service {
        group: "booking".into(),
        slots: 4,
    };
    BackendSpec {
        kind,
        ..engine(name, port)
    }
}

struct WatchFixture {
    group: TaskGroup,
    engines: Arc<FakeEngines>,
    list: Arc<FakeList>,
    prefixes: Arc<PrefixIndex>,
    watch: FleetWatch<FakeEngines, FakeList>,
    seen: Arc<Mutex<Vec<(String, u64)>>>,
}

impl WatchFixture {
    fn open() -> Self {
        let group = TaskGroup::new();
        let timer = TimerService::spawn(&group);
        let (engines, list) = (
            Arc::new(FakeEngines::default()),
            Arc::new(FakeList::default()),
        );
        let prefixes = Arc::new(PrefixIndex::new());
        let seen = Arc::new(Mutex::new(Vec::new()));
        let callback_seen = seen.clone();
        let settings = WatchSettings {
            report_period: Duration::from_millis(40),
            list_period: Duration::from_millis(20),
            call_timeout: Duration::from_millis(100),
        };
        let watch = FleetWatch::spawn(
            &group,
            &timer,
            settings,
            (engines.clone(), list.clone()),
            prefixes.clone(),
            move |name, report, _asked_at| {
                callback_seen
                    .lock()
                    .unwrap()
                    .push((name.to_string(), report.sequence))
            },
        );
        Self {
            group,
            engines,
            list,
            prefixes,
            watch,
            seen,
        }
    }

    /// Returns the server that a request for model `m` goes to.
    fn chosen_server(&self) -> Option<String> {
        let need = RouteNeed {
            model: "m".into(),
            version: "v".into(),
            adapter: None,
            prefixes: Vec::new(),
            zone: "z".into(),
            avoid: Vec::new(),
            software: None,
            late: false,
            cost: Default::default(),
            deferred: false,
            trial: Default::default(),
        };
        let fleet = self.watch.snapshot();
        let policy = ExpectedTimePolicy::new(self.prefixes.clone(), 1);
        let position = policy.choose_in(&need, &fleet, Instant::now())?;
        Some(fleet.views()[position].name.to_string())
    }
}

/// Guards against servers that get requests before they report, and against reports and cache events that are lost
/// or delivered twice.
#[tokio::test]
async fn reports_reach_snapshot_and_callback() {
    let fixture = WatchFixture::open();
    fixture.engines.set(1, Some(report(5)));
    fixture
        .watch
        .set_backends(&[engine("s1", 1), engine("s2", 2)]);
    assert_eq!(fixture.chosen_server(), None);
    eventually("first report", || {
        fixture.chosen_server().as_deref() == Some("s1")
    })
    .await;
    eventually("cache events", || {
        fixture.prefixes.next_sequence(&"s1".into()) == 1
    })
    .await;
    fixture.engines.set(1, Some(report(6)));
    eventually("second report", || fixture.seen.lock().unwrap().len() == 2).await;
    fixture.engines.set(1, Some(report(4)));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let seen = fixture.seen.lock().unwrap().clone();
    assert_eq!(seen, [("s1".to_string(), 5), ("s1".to_string(), 6)]);
    fixture.watch.set_backends(&[engine("s2", 2)]);
    assert_eq!(fixture.chosen_server(), None);
    assert_eq!(fixture.prefixes.next_sequence(&"s1".into()), 0);
    fixture.group.shutdown().await;
}

/// Guards against new requests for a server that any source reports as leaving (G10), and against peers' notices that
/// are passed on to other peers.
#[tokio::test]
async fn server_leaving_by_any_source_gets_no_requests() {
    let fixture = WatchFixture::open();
    for port in 1..=3 {
        fixture.engines.set(port, Some(report(1)));
    }
    fixture
        .watch
        .set_backends(&[engine("s1", 1), engine("s2", 2), engine("s3", 3)]);
    eventually("reports", || fixture.seen.lock().unwrap().len() == 3).await;
    // A report with an old sequence number counts too if it says that the server is leaving.
    fixture.engines.set(
        1,
        Some(LoadReport {
            leaving: true,
            ..report(0)
        }),
    );
    let listed = ListedVm {
        name: "vm-17".into(),
        zone: "z".into(),
        role: VmRole::Backend,
        address: address(2),
        state: VmState::Leaving,
    };
    *fixture.list.vms.lock().unwrap() = vec![listed];
    eventually("leaving", || fixture.watch.leaving() == ["s1", "s2"]).await;
    assert_eq!(fixture.chosen_server().as_deref(), Some("s3"));
    let fleet = fixture.watch.snapshot();
    fixture
        .watch
        .record_leaving_notice(&["s3".into(), "unknown".into()]);
    // The flag is updated in place, so an earlier snapshot shows it too.
    assert!(fleet.handle(fleet.position("s3").unwrap()).is_leaving());
    assert_eq!(fixture.chosen_server(), None);
    assert_eq!(fixture.watch.leaving(), ["s1", "s2"]);
    assert!(fixture.watch.listing().read_at.is_some());
    // A new process at the same address is not leaving.
    fixture.engines.set(
        1,
        Some(LoadReport {
            incarnation: 2,
            ..report(1)
        }),
    );
    eventually("return", || {
        fixture.chosen_server().as_deref() == Some("s1")
    })
    .await;
    fixture.group.shutdown().await;
}

/// Guards against requests for servers that fail or hang, against one hanging server that blocks the polls of the
/// others, and against suspicion that never ends.
#[tokio::test]
async fn failing_servers_are_suspected_until_they_report() {
    let fixture = WatchFixture::open();
    fixture.engines.set(1, Some(report(1)));
    fixture.engines.set(2, Some(report(1)));
    fixture
        .watch
        .set_backends(&[engine("s1", 1), engine("s2", 2), service("b", 9)]);
    eventually("reports", || fixture.seen.lock().unwrap().len() == 2).await;
    fixture.engines.set(1, None);
    eventually("suspicion", || {
        let fleet = fixture.watch.snapshot();
        fleet.handle(fleet.position("s1").unwrap()).is_suspected()
    })
    .await;
    assert_eq!(fixture.chosen_server().as_deref(), Some("s2"));
    let mut changes = fixture.watch.subscribe();
    fixture.engines.set(1, Some(report(2)));
    let returned = || {
        let fleet = fixture.watch.snapshot();
        !fleet.handle(fleet.position("s1").unwrap()).is_suspected()
    };
    eventually("return", returned).await;
    tokio::time::timeout(edge::WAIT_TIMEOUT, changes.changed())
        .await
        .unwrap()
        .unwrap();

    fixture.engines.set(2, None);
    fixture.watch.call_failed("s2");
    assert_eq!(fixture.chosen_server().as_deref(), Some("s1"));
    fixture.watch.call_failed("b");
    let chosen = || fixture.watch.snapshot().choose_service("booking", "z", &[]);
    assert_eq!(chosen(), None);
    eventually("return of the service", || chosen().is_some()).await;
    fixture.group.shutdown().await;
}

/// Guards against own requests that are not counted, and against ones that are still counted twice after a report
/// includes them.
#[tokio::test]
async fn own_request_counters_reset_when_reported() {
    let fixture = WatchFixture::open();
    fixture.engines.set(1, Some(report(1)));
    fixture.watch.set_backends(&[engine("s1", 1)]);
    eventually("report", || fixture.chosen_server().is_some()).await;
    let handle = fixture.watch.snapshot().handle(0).clone();
    // The server takes 4 slots + 1 requests, of which one daemon sends 3 before the next report.
    let mut sent: Vec<_> = (0..3).map(|_| handle.begin()).collect();
    assert_eq!(fixture.chosen_server(), None);
    let mut sequence = 1;
    let mut publish = |running| {
        sequence += 1;
        let report = LoadReport {
            running,
            ..report(sequence)
        };
        fixture.engines.set(1, Some(report));
    };
    // Until the next report, requests may count twice.
    eventually("own requests count once", || {
        publish(3);
        fixture.chosen_server().is_some()
    })
    .await;
    sent.extend((0..2).map(|_| handle.begin()));
    assert_eq!(fixture.chosen_server(), None);
    // Slots of own requests that ended are free before the next report.
    sent.truncate(3);
    assert!(fixture.chosen_server().is_some());
    sent.extend((0..2).map(|_| handle.begin()));
    publish(5);
    eventually("later report", || handle.sent_since_report() == 0).await;
    assert_eq!(fixture.chosen_server(), None);
    drop(sent);
    eventually("report without requests", || {
        publish(0);
        fixture.chosen_server().is_some()
    })
    .await;
    fixture.group.shutdown().await;
}

/// Guards against requests in a large fleet, whose index is rebuilt less often, that go to servers that have unloaded
/// the model or never to those that have loaded it.
#[tokio::test]
async fn large_fleet_follows_residency() {
    let fixture = WatchFixture::open();
    let empty = |sequence| LoadReport {
        sequence,
        ..LoadReport::default()
    };
    let specs: Vec<_> = (100..200)
        .map(|port| engine(&format!("s{port}"), port))
        .collect();
    for port in 100..200 {
        fixture.engines.set(port, Some(empty(1)));
    }
    fixture.engines.set(150, Some(report(1)));
    fixture.watch.set_backends(&specs);
    eventually("load", || {
        fixture.chosen_server().as_deref() == Some("s150")
    })
    .await;
    fixture.engines.set(150, Some(empty(2)));
    fixture.engines.set(151, Some(report(2)));
    eventually("move", || {
        fixture.chosen_server().as_deref() == Some("s151")
    })
    .await;
    let mut busy = report(3);
    busy.running = 9;
    fixture.engines.set(151, Some(busy));
    eventually("load-only report", || fixture.chosen_server().is_none()).await;
    fixture.watch.set_backends(&specs[..10]);
    assert_eq!(fixture.watch.snapshot().views().len(), 10);
    fixture.group.shutdown().await;
}
