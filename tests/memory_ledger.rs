//! `MemoryLedger` against a naive reference that keeps the whole history, and single hard cases.
#![allow(clippy::unwrap_used)]

mod engine_fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use engine_fleet::SimEngine;
use foxtailhill::engine::{EngineOrder, LoadReport, OrderAction, OrderReply, ResidentItem};
use foxtailhill::ids::{LogOffset, RecordId, VmId};
use foxtailhill::ledger::{LedgerTiming, MemoryLedger};
use foxtailhill::placement::{OrderEffect, OrderRecord, OrderTable, PlannedOrder};

const CAPACITY: u64 = 10;
const DELAY: u64 = 40;
const LAG: u64 = 10;

fn timing(fences_survive_restart: bool) -> LedgerTiming {
    LedgerTiming {
        order_delay: Duration::from_millis(DELAY),
        report_lag: Duration::from_millis(LAG),
        fences_survive_restart,
    }
}

fn item(number: u8) -> ResidentItem {
    ResidentItem {
        model: smol_str::format_smolstr!("model-{number}"),
        version: "v1".into(),
        adapter: None,
    }
}

fn size(number: u8) -> u64 {
    2 + u64::from(number)
}

fn load(number: u8) -> OrderAction {
    OrderAction::Load {
        item: item(number),
        bytes: size(number),
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Advance(#[generator(0..30_u8)] u8),
    Record {
        #[generator(0..5_u8)]
        fence: u8,
        #[generator(0..2_u8)]
        planner: u8,
        #[generator(0..3_u8)]
        item: u8,
        load: bool,
    },
    Send(#[generator(0..5_u8)] u8),
    Answer {
        #[generator(0..5_u8)]
        fence: u8,
        #[generator(0..4_u8)]
        reply: u8,
    },
    Close(#[generator(0..5_u8)] u8),
    Left(#[generator(0..2_u8)] u8),
    Report {
        #[generator(0..3_u8)]
        incarnation: u8,
        #[generator(0..12_u8)]
        sequence: u8,
        /// Bit per item: resident in the low three, loading in the next three.
        items: u8,
        /// How long before its arrival the report was asked for.
        #[generator(0..20_u8)]
        age: u8,
    },
}

/// Everything that happened, with times; every question is answered by scanning it.
#[derive(Default)]
struct ReferenceModel {
    now: u64,
    history: Vec<(u64, Step)>,
}

impl ReferenceModel {
    /// Reports that count, as (asked, arrived, incarnation, items, position in the history).
    fn reports(&self, until: usize) -> Vec<(u64, u64, u8, u8, usize)> {
        let mut kept: Vec<(u64, u64, u8, u8, usize)> = Vec::new();
        let mut highest: BTreeMap<u8, u8> = BTreeMap::new();
        for (position, (now, step)) in self.history[..until].iter().enumerate() {
            let Step::Report {
                incarnation,
                sequence,
                items,
                age,
            } = *step
            else {
                continue;
            };
            if highest
                .get(&incarnation)
                .is_some_and(|seen| *seen >= sequence)
            {
                continue;
            }
            highest.insert(incarnation, sequence);
            let asked = now.saturating_sub(age.into());
            kept.retain(|report| report.2 != incarnation && asked < report.1 + LAG);
            let live: BTreeSet<u8> = kept.iter().map(|report| report.2).collect();
            highest.retain(|seen, _| *seen == incarnation || live.contains(seen));
            kept.push((asked, *now, incarnation, items, position));
        }
        kept
    }

    fn accepted_reports(&self) -> Vec<(u64, usize)> {
        (0..self.history.len())
            .filter_map(|position| {
                let last = *self.reports(position + 1).last()?;
                (last.4 == position).then_some((last.0, position))
            })
            .collect()
    }

    /// Bytes that the order of `fence` reserves at the end, with its item; `None` if there is none.
    fn reserved(&self, fence: u8, reports: &[(u64, usize)]) -> Option<(u8, bool)> {
        let mut order: Option<(u8, u8, bool, bool, Option<u64>)> = None;
        for (position, (now, step)) in self.history.iter().enumerate() {
            match (*step, &mut order) {
                (
                    Step::Record {
                        fence: recorded,
                        planner,
                        item,
                        load,
                    },
                    None,
                ) if recorded == fence => order = Some((item, planner, load, true, None)),
                (Step::Send(sent), Some(order)) if sent == fence => {
                    order.4 = order.4.max(Some(*now));
                }
                (Step::Answer { fence: to, reply }, Some(order)) if to == fence && reply != 1 => {
                    order.3 = false;
                }
                (Step::Close(closed), Some(order)) if closed == fence && order.3 => {
                    (order.3, order.4) = (false, order.4.max(Some(*now)));
                }
                (Step::Left(left), Some(order)) if left == order.1 && order.3 => {
                    (order.3, order.4) = (false, order.4.max(Some(*now)));
                }
                (Step::Report { .. }, Some((_, _, _, false, last))) => {
                    let last = *last;
                    let proves = |asked: u64| last.is_none_or(|last| asked >= last + DELAY + LAG);
                    if reports
                        .iter()
                        .any(|(asked, at)| *at == position && proves(*asked))
                    {
                        order = None;
                    }
                }
                _ => {}
            }
        }
        order.map(|order| (order.0, order.2))
    }

    fn committed(&self) -> u64 {
        let reports = self.reports(self.history.len());
        let accepted = self.accepted_reports();
        (0..3_u8)
            .filter(|number| {
                let reported = reports
                    .iter()
                    .any(|report| report.3 & (0b1001 << number) != 0);
                let ordered =
                    (0..5).any(|fence| self.reserved(fence, &accepted) == Some((*number, true)));
                reported || ordered
            })
            .map(size)
            .sum()
    }

    fn safe(&self, number: u8) -> bool {
        let reports = self.reports(self.history.len());
        let accepted = self.accepted_reports();
        let unloading =
            (0..5).any(|fence| self.reserved(fence, &accepted) == Some((number, false)));
        let resident = reports.iter().all(|report| report.3 & (1 << number) != 0);
        !reports.is_empty() && resident && !unloading
    }
}

fn report(incarnation: u8, sequence: u8, items: u8) -> LoadReport {
    let list = |shift: u8| {
        (0..3_u8)
            .filter(|number| items & (1 << (number + shift)) != 0)
            .map(|number| (item(number), size(number)))
            .collect()
    };
    LoadReport {
        incarnation: incarnation.into(),
        sequence: sequence.into(),
        resident: list(0),
        loading: list(3),
        ..LoadReport::default()
    }
}

fn apply(ledger: &mut MemoryLedger, step: Step, base: Instant, now: u64) {
    let at = |ms: u64| base + Duration::from_millis(ms);
    let offset = |fence: u8| LogOffset(fence.into());
    match step {
        Step::Advance(_) => {}
        Step::Record {
            fence,
            planner,
            item: number,
            load: loads,
        } => {
            let unload = OrderAction::Unload { item: item(number) };
            let action = if loads { load(number) } else { unload };
            ledger.order_recorded(offset(fence), VmId(planner.into()), action);
        }
        Step::Send(fence) => ledger.order_sent(offset(fence), at(now)),
        Step::Answer { fence, reply } => {
            let replies = [
                OrderReply::Done,
                OrderReply::Started,
                OrderReply::Fenced,
                OrderReply::Refused,
            ];
            ledger.order_answered(offset(fence), replies[usize::from(reply)], at(now));
        }
        Step::Close(fence) => ledger.order_closed(offset(fence), at(now)),
        Step::Left(planner) => ledger.former_planner_left(VmId(planner.into()), at(now)),
        Step::Report {
            incarnation,
            sequence,
            items,
            age,
        } => {
            let asked = at(now.saturating_sub(age.into()));
            ledger.apply_report(&report(incarnation, sequence, items), asked, at(now));
        }
    }
}

/// Guards against an account that differs from the rules, whatever the order of events.
#[test]
fn ledger_agrees_with_the_reference_model() {
    let base = Instant::now();
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut ledger = MemoryLedger::new(CAPACITY, false, timing(false));
        let mut reference = ReferenceModel::default();
        for step in steps.iter().take(40) {
            if let Step::Advance(ms) = step {
                reference.now += u64::from(*ms);
            }
            apply(&mut ledger, *step, base, reference.now);
            reference.history.push((reference.now, *step));
        }
        assert_eq!(ledger.committed(), reference.committed());
        for number in 0..3 {
            assert_eq!(ledger.is_safe(&item(number)), reference.safe(number));
            if ledger.may_load(&item(number), size(number)) {
                assert!(ledger.committed() <= CAPACITY);
            }
        }
    });
}

/// Guards against overfull memory when a copy of an old load reaches an engine that restarted and forgot the
/// highest fencing number. With `fences_survive_restart` set wrongly, the ledger lets it happen.
#[test]
fn late_copy_of_a_load_cannot_overcommit_a_restarted_engine() {
    for fences_survive in [false, true] {
        let base = Instant::now();
        let at = |ms: u64| base + Duration::from_millis(ms);
        let mut engine = SimEngine::new(CAPACITY, true, false);
        let mut ledger = MemoryLedger::new(CAPACITY, true, timing(fences_survive));
        let send = |engine: &mut SimEngine, ledger: &mut MemoryLedger, fence: u64, action, now| {
            ledger.order_recorded(LogOffset(fence), VmId(1), action);
            ledger.order_sent(LogOffset(fence), at(now));
            let action = ledger.order(LogOffset(fence)).unwrap().action.clone();
            let order = EngineOrder { fence, action };
            let reply = engine.order(&order, now);
            engine.advance(now);
            ledger.order_answered(LogOffset(fence), reply, at(now));
            ledger.apply_report(&engine.report(), at(now), at(now));
            order
        };
        ledger.apply_report(&engine.report(), at(0), at(0));
        let big = OrderAction::Load {
            item: item(0),
            bytes: 8,
        };
        let old = send(&mut engine, &mut ledger, 1, big, 1);
        let unload = OrderAction::Unload { item: item(0) };
        ledger.own_order_closed(LogOffset(1));
        send(&mut engine, &mut ledger, 2, unload, 2);
        ledger.own_order_closed(LogOffset(2));
        ledger.apply_report(&engine.report(), at(20), at(20));
        engine.restart();
        assert_eq!(ledger.may_load(&item(2), 8), fences_survive);
        engine.order(&old, 21);
        if fences_survive {
            let action = OrderAction::Load {
                item: item(2),
                bytes: 8,
            };
            engine.order(&EngineOrder { fence: 3, action }, 22);
            assert!(engine.peak > CAPACITY, "the copy took the freed memory");
        }
        assert!(fences_survive || engine.peak <= CAPACITY);
    }
}

/// Guards against a late report of the process before a restart that hides what the new process holds.
#[test]
fn late_report_of_the_former_process_hides_nothing() {
    let base = Instant::now();
    let at = |ms: u64| base + Duration::from_millis(ms);
    let mut ledger = MemoryLedger::new(CAPACITY, false, timing(false));
    assert!(!ledger.may_load(&item(0), 1), "no report yet");
    ledger.apply_report(&report(2, 1, 0b100), at(100), at(100));
    ledger.apply_report(&report(1, 9, 0b001), at(95), at(105));
    assert_eq!(ledger.committed(), size(0) + size(2));
    assert!(!ledger.is_resident(&item(0)));
    ledger.apply_report(&report(2, 2, 0b100), at(115), at(116));
    assert_eq!(ledger.committed(), size(2));
    assert!(ledger.is_safe(&item(2)));
}

/// Guards against orders of a former planner that become valid after the next one took the lead.
#[test]
fn records_of_a_former_planner_are_fenced() {
    let mut table = OrderTable::new();
    let order = |id: u128, fence: u64| {
        OrderRecord::Order(PlannedOrder {
            id: RecordId(id),
            zone: "palermo".into(),
            planner_fence: LogOffset(fence),
            planner: VmId(fence),
            server: "engine-1".into(),
            action: load(0),
        })
    };
    let lead = OrderRecord::Lead {
        id: RecordId(7),
        zone: "palermo".into(),
        planner_fence: LogOffset(5),
        planner: VmId(5),
    };
    let valid = table.apply(LogOffset(0), &order(1, 3));
    assert!(matches!(valid, OrderEffect::Valid(_)));
    let copy = table.apply(LogOffset(1), &order(1, 3));
    assert_eq!(copy, OrderEffect::Nothing);
    let leads = table.apply(LogOffset(2), &lead);
    assert_eq!(leads, OrderEffect::Leads { id: RecordId(7) });
    let late = table.apply(LogOffset(3), &order(2, 3));
    assert_eq!(late, OrderEffect::Fenced { id: RecordId(2) });
    let next = table.apply(LogOffset(4), &order(3, 5));
    assert!(matches!(next, OrderEffect::Valid(_)));
    assert_eq!(table.lead("palermo"), Some(LogOffset(5)));
    let done = OrderRecord::Done {
        order: LogOffset(4),
    };
    let closed = table.apply(LogOffset(5), &done);
    assert!(matches!(closed, OrderEffect::Closed { .. }));
    assert_eq!(table.open_count(), 0);
}
