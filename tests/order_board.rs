//! Checks of `OrderBoard` before an order is sent.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::engine::{LoadReport, OrderAction, ResidentItem};
use foxtailhill::ids::{LogOffset, RecordId, VmId};
use foxtailhill::ledger::LedgerTiming;
use foxtailhill::placement::{
    DemandFacts, FleetFacts, ModelFacts, OrderBoard, OrderReason, OrderRecord, PlannerFence,
    ProposedOrder, ReadBack, SendBar, ServerFacts,
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

/// Makes a board that has seen the model on the first two of three servers.
fn board(now: Instant) -> OrderBoard {
    let mut board = OrderBoard::new(LedgerTiming::default(), MAX_AGE);
    board.declare(facts(false));
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
        board.note_report(&format_smolstr!("engine-{index}"), &report, now, now);
    }
    board
}

/// Records an order at the next offset; returns the offset and how it was read back.
fn record(
    board: &mut OrderBoard,
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
    let order = board.admit(&planner(), &proposed).unwrap();
    let offset = board.next();
    board.expect(order.id);
    if !awaited {
        board.withdraw(order.id);
    }
    let place = board.apply(offset, &OrderRecord::Order(order), now);
    (offset, place)
}

fn load() -> OrderAction {
    OrderAction::Load {
        item: item(),
        bytes: 4,
    }
}

/// Guards against an unload that relies on a replica which no recent report shows, or which is going as well.
#[test]
fn last_replica_is_judged_by_recent_reports() {
    let now = Instant::now();
    let mut board = board(now);
    let unload = OrderAction::Unload { item: item() };
    let (first, place) = record(&mut board, 0, unload.clone(), true, now);
    assert!(matches!(place, Some((_, ReadBack::Valid(_)))));
    let late = now + MAX_AGE;
    let barred = board.begin_send(first, true, late).unwrap_err();
    assert_eq!(barred, SendBar::Unsafe);
    assert!(board.begin_send(first, true, now).is_ok());
    let (second, _) = record(&mut board, 1, unload, true, now);
    let barred = board.begin_send(second, true, now).unwrap_err();
    assert_eq!(barred, SendBar::Unsafe);
}

/// Guards against a load on a server that is leaving, and against an order that nobody waited for.
#[test]
fn loads_need_a_staying_server_and_an_awaited_record() {
    let now = Instant::now();
    let mut board = board(now);
    let (offset, place) = record(&mut board, 2, load(), false, now);
    assert_eq!(place, None);
    assert_eq!(board.own_len(), 0);
    assert_eq!(board.unlogged_done(), Some(offset));
    let barred = board.begin_send(offset, true, now).unwrap_err();
    assert_eq!(barred, SendBar::Closed);
    board.done_logged(offset);
    let (offset, _) = record(&mut board, 2, load(), true, now);
    board.declare(facts(true));
    let barred = board.begin_send(offset, true, now).unwrap_err();
    assert_eq!(barred, SendBar::Unsafe);
    board.declare(facts(false));
    assert!(board.begin_send(offset, true, now).is_ok());
}

/// Guards against a zone that uses more than its share of the weight store.
#[test]
fn budget_is_the_share_of_the_zone() {
    let now = Instant::now();
    let mut board = board(now);
    assert_eq!(board.budget(&planner().zone, now).models, 0);
    let full = now + Duration::from_secs(60);
    let budget = board.budget(&planner().zone, full);
    assert_eq!((budget.models, budget.adapters), (2, 18));
    let (offset, _) = record(&mut board, 2, load(), true, full);
    assert_eq!(board.budget(&planner().zone, full).models, 1);
    board.end(offset);
    assert_eq!(board.budget(&planner().zone, full).models, 1, "the rate");
    let later = full + Duration::from_secs(2);
    assert_eq!(board.budget(&planner().zone, later).models, 2);
}

/// Guards against orders that name an incarnation which the others know to have left: they would give the memory
/// away while the order can still be sent.
#[test]
fn orders_name_the_incarnation_that_leads_now() {
    let now = Instant::now();
    let mut board = board(now);
    let (former, _) = record(&mut board, 2, load(), true, now);
    assert!(board.begin_send(former, true, now).is_ok());
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
    let order = board.admit(&next, &unload).unwrap();
    assert_eq!(order.planner, VmId(2));
    let offset = board.next();
    board.expect(order.id);
    let place = board.apply(offset, &OrderRecord::Order(order), now);
    assert!(matches!(place, Some((_, ReadBack::Valid(_)))));
    assert_eq!(board.own_len(), 2);
    // The other members see the former incarnation as gone; this daemon's own orders stay its own.
    board.close_former(|vm| vm == VmId(1), now);
    assert_eq!(board.own_len(), 2);
}

/// Guards against memory that is given away while an order of this daemon's former incarnation is on its way: the
/// attempt began before the pause and its bytes may leave after it.
#[test]
fn order_of_former_incarnation_stays_reserved_after_a_pause() {
    let (now, timing) = (Instant::now(), LedgerTiming::default());
    let mut board = board(now);
    let (offset, _) = record(&mut board, 2, load(), true, now);
    assert!(board.begin_send(offset, true, now).is_ok());
    let resumed = now + Duration::from_secs(300);
    board.end_former(LogOffset(9), resumed);
    assert_eq!((board.own_len(), board.unlogged_done()), (0, Some(offset)));
    let mut committed_at = |sequence, at: Instant| {
        let report = LoadReport {
            sequence,
            ..LoadReport::default()
        };
        let server = format_smolstr!("engine-2");
        board.note_report(&server, &report, at, at);
        let found = board.ledgers().find(|(name, _)| **name == server).unwrap();
        found.1.committed()
    };
    assert_eq!(committed_at(2, resumed + Duration::from_secs(1)), 4);
    let settled = resumed + timing.order_delay + timing.report_lag;
    assert_eq!(committed_at(3, settled), 0);
}
