//! Tests of the checks that `OrderTracker` makes before an order is sent.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::engine::{LoadReport, OrderAction, ResidentItem};
use foxtailhill::ids::{LogOffset, RecordId, VmId};
use foxtailhill::ledger::LedgerTiming;
use foxtailhill::placement::{
    DemandFacts, FleetFacts, ModelFacts, OrderReason, OrderRecord, OrderTracker, PlannerFence,
    ProposedOrder, ReadBack, SendRefusal, ServerFacts,
};
use smol_str::format_smolstr;

const MAX_AGE: Duration = Duration::from_secs(10);

fn item() -> ResidentItem {
    ResidentItem {
        model: "drafter".into(),
        version: "v1".into(),
        adapter: None,
    }
}

fn facts(leaving: bool) -> Arc<FleetFacts> {
    let servers = (0..3).map(|index| ServerFacts {
        name: format_smolstr!("engine-{index}"),
        zone: "catania".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        memory_bytes: 10,
        slots: 8,
        checks_fencing: false,
        leaving,
        reachable: true,
    });
    Arc::new(FleetFacts {
        models: vec![ModelFacts {
            name: "drafter".into(),
            version: "v1".into(),
            memory_bytes: 4,
            min_replicas: 1,
            demand: DemandFacts::default(),
        }],
        servers: servers.collect(),
        zones: 3,
        ..FleetFacts::default()
    })
}

fn planner() -> PlannerFence {
    PlannerFence {
        zone: "catania".into(),
        vm: VmId(1),
        fence: LogOffset(1),
    }
}

/// Returns a tracker with reports that show the model on the first two of three servers.
fn tracker(now: Instant) -> OrderTracker {
    let mut tracker = OrderTracker::new(LedgerTiming::default(), MAX_AGE);
    tracker.declare(facts(false));
    for index in 0..3 {
        let resident = if index < 2 {
            vec![(item(), 4)]
        } else {
            Vec::new()
        };
        let report = LoadReport {
            sequence: 1,
            resident,
            ..LoadReport::default()
        };
        tracker.note_report(&format_smolstr!("engine-{index}"), &report, now, now);
    }
    tracker
}

/// Records an order at the next offset. Returns the offset and the result of reading it back.
fn record(
    tracker: &mut OrderTracker,
    server: usize,
    action: OrderAction,
    awaited: bool,
    now: Instant,
) -> (LogOffset, Option<(RecordId, ReadBack)>) {
    let proposed = ProposedOrder {
        server,
        action,
        reason: OrderReason::Demand,
    };
    let order = tracker.accept_proposal(&planner(), &proposed).unwrap();
    let offset = tracker.next();
    tracker.expect_record(order.id);
    if !awaited {
        tracker.forget_expected(order.id);
    }
    let read_back = tracker.apply(offset, &OrderRecord::Order(order), now);
    (offset, read_back)
}

fn load() -> OrderAction {
    OrderAction::Load {
        item: item(),
        bytes: 4,
    }
}

/// Guards against an unload that relies on a replica that no recent report shows or that is being unloaded too.
#[test]
fn last_replica_is_not_unloaded_without_a_recent_report_of_another() {
    let now = Instant::now();
    let mut tracker = tracker(now);
    let unload = OrderAction::Unload { item: item() };
    let (first, read_back) = record(&mut tracker, 0, unload.clone(), true, now);
    assert!(matches!(read_back, Some((_, ReadBack::Valid(_)))));
    let late = now + MAX_AGE;
    let refusal = tracker.begin_send(first, true, late).unwrap_err();
    assert_eq!(refusal, SendRefusal::Unsafe);
    assert!(tracker.begin_send(first, true, now).is_ok());
    let (second, _) = record(&mut tracker, 1, unload, true, now);
    let refusal = tracker.begin_send(second, true, now).unwrap_err();
    assert_eq!(refusal, SendRefusal::Unsafe);
}

/// Guards against a load on a leaving server, and against sending an order that no task waits for.
#[test]
fn load_is_sent_only_to_a_staying_server_and_for_an_awaited_record() {
    let now = Instant::now();
    let mut tracker = tracker(now);
    let (offset, read_back) = record(&mut tracker, 2, load(), false, now);
    assert_eq!(read_back, None);
    assert_eq!(tracker.own_open_count(), 0);
    assert_eq!(tracker.unlogged_done(), Some(offset));
    let refusal = tracker.begin_send(offset, true, now).unwrap_err();
    assert_eq!(refusal, SendRefusal::Closed);
    tracker.note_done_logged(offset);
    let (offset, _) = record(&mut tracker, 2, load(), true, now);
    tracker.declare(facts(true));
    let refusal = tracker.begin_send(offset, true, now).unwrap_err();
    assert_eq!(refusal, SendRefusal::Unsafe);
    tracker.declare(facts(false));
    assert!(tracker.begin_send(offset, true, now).is_ok());
}

/// Guards against a zone that uses more than its share of the weight-store limit.
#[test]
fn load_budget_is_the_share_of_the_zone() {
    let now = Instant::now();
    let mut tracker = tracker(now);
    assert_eq!(tracker.budget(&planner().zone, now).models, 0);
    let full = now + Duration::from_secs(60);
    let budget = tracker.budget(&planner().zone, full);
    assert_eq!((budget.models, budget.adapters), (2, 18));
    let (offset, _) = record(&mut tracker, 2, load(), true, full);
    assert_eq!(tracker.budget(&planner().zone, full).models, 1);
    tracker.close_order(offset);
    assert_eq!(tracker.budget(&planner().zone, full).models, 1, "the rate");
    let later = full + Duration::from_secs(2);
    assert_eq!(tracker.budget(&planner().zone, later).models, 2);
}

/// Guards against orders under an incarnation that other members know to have left: they would reuse the memory while
/// the order can still be sent.
#[test]
fn orders_name_the_incarnation_that_leads_now() {
    let now = Instant::now();
    let mut tracker = tracker(now);
    let (former, _) = record(&mut tracker, 2, load(), true, now);
    assert!(tracker.begin_send(former, true, now).is_ok());
    let next = PlannerFence {
        vm: VmId(2),
        fence: LogOffset(9),
        ..planner()
    };
    let unload = ProposedOrder {
        server: 0,
        action: OrderAction::Unload { item: item() },
        reason: OrderReason::Demand,
    };
    let order = tracker.accept_proposal(&next, &unload).unwrap();
    assert_eq!(order.planner, VmId(2));
    let offset = tracker.next();
    tracker.expect_record(order.id);
    let read_back = tracker.apply(offset, &OrderRecord::Order(order), now);
    assert!(matches!(read_back, Some((_, ReadBack::Valid(_)))));
    assert_eq!(tracker.own_open_count(), 2);
    // Other members know that the former incarnation has left, but its orders are still this daemon's own.
    tracker.close_former_orders(|vm| vm == VmId(1), now);
    assert_eq!(tracker.own_open_count(), 2);
}

/// Guards against reuse of memory while an order of this daemon's former incarnation may still arrive: the send began
/// before the daemon was paused, and its bytes may leave after the pause.
#[test]
fn order_of_former_incarnation_stays_counted_after_a_pause() {
    let (now, timing) = (Instant::now(), LedgerTiming::default());
    let mut tracker = tracker(now);
    let (offset, _) = record(&mut tracker, 2, load(), true, now);
    assert!(tracker.begin_send(offset, true, now).is_ok());
    let resumed = now + Duration::from_secs(300);
    tracker.close_outdated_orders(LogOffset(9), resumed);
    assert_eq!(
        (tracker.own_open_count(), tracker.unlogged_done()),
        (0, Some(offset))
    );
    let mut committed_at = |sequence, at: Instant| {
        let report = LoadReport {
            sequence,
            ..LoadReport::default()
        };
        let server = format_smolstr!("engine-2");
        tracker.note_report(&server, &report, at, at);
        let found = tracker
            .ledgers()
            .find(|(name, _)| **name == server)
            .unwrap();
        found.1.committed()
    };
    assert_eq!(committed_at(2, resumed + Duration::from_secs(1)), 4);
    let delivered = resumed + timing.order_delay + timing.report_lag;
    assert_eq!(committed_at(3, delivered), 0);
}
