//! A suspect whose caller went away while it held a slot left its server reserved for ever, and no other suspect could
//! run there.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxtailhill::catalog::RequestClass;
use foxtailhill::dispatch::{FleetSource, ModelNeed, ModelQueues, Waiter};
use foxtailhill::engine::{LoadReport, ResidentItem};
use foxtailhill::ids::KeyDigest;
use foxtailhill::queue::{FifoQueue, WaitEntry};
use foxtailhill::routing::{BackendView, FleetSnapshot, RoundRobinPolicy, RouteNeed};
use foxtailhill::suspect::SuspectTable;

/// A fleet of one server that holds the model.
struct OneServer(Arc<FleetSnapshot>);

impl OneServer {
    fn open() -> Self {
        let item = ResidentItem {
            model: "drafter".into(),
            version: "v1".into(),
            adapter: None,
        };
        let view = BackendView {
            name: "engine-1".into(),
            zone: "north".into(),
            address: ([127, 0, 0, 1], 1).into(),
            software: Default::default(),
            slots: 8,
            report: LoadReport {
                resident: vec![(item, 1)],
                ..LoadReport::default()
            },
            reported_at: Some(Instant::now()),
            in_flight: 0,
            sent_since_report: 0,
            suspected_down: false,
            leaving: false,
            load: Default::default(),
        };
        let servers = [(Arc::new(view), Arc::default(), None)];
        Self(Arc::new(FleetSnapshot::new(servers)))
    }
}

impl FleetSource for OneServer {
    fn snapshot(&self) -> Arc<FleetSnapshot> {
        self.0.clone()
    }

    fn call_failed(&self, _server: &str) {}
}

fn need(fingerprint: &[u8]) -> ModelNeed {
    ModelNeed {
        route: RouteNeed {
            software: None,
            model: "drafter".into(),
            version: "v1".into(),
            adapter: None,
            prefixes: Vec::new(),
            zone: "north".into(),
            avoid: Vec::new(),
            late: false,
            cost: Default::default(),
            deferred: false,
            trial: Default::default(),
        },
        fallbacks: Vec::new(),
        suspect: Some(KeyDigest::of(fingerprint)),
    }
}

fn entry() -> WaitEntry {
    WaitEntry {
        team: "desks".into(),
        class: RequestClass::Interactive,
        deadline: Instant::now() + Duration::from_millis(200),
        work: Duration::ZERO,
        target: None,
        yield_until: None,
        priority: 0,
        tokens: 1,
    }
}

/// Guards against a reservation for a suspect that outlives its request.
#[tokio::test]
async fn dropped_slot_of_a_suspect_is_free_for_the_next() {
    let suspects = Arc::new(Mutex::new(SuspectTable::new(16)));
    let queues: ModelQueues<_, FifoQueue<Waiter>, _> = ModelQueues::new(
        RoundRobinPolicy::new(),
        OneServer::open(),
        suspects,
        16,
        FifoQueue::new,
    );
    let first = queues.acquire(need(b"first"), entry()).await.unwrap();
    let second = queues.acquire(need(b"second"), entry()).await;
    assert!(second.is_err(), "two suspects got the same server");
    drop(first);
    queues.acquire(need(b"third"), entry()).await.unwrap();
}
