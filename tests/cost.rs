//! Tests of the estimated cost of requests.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use foxtailhill::routing::{
    OutputTable, ReadParts, RequestKind, RequestShape, decode_work, encode_work, part_prefixes,
    request_cost,
};

fn kind(route: &str) -> RequestKind {
    RequestKind {
        route: route.into(),
        model: Some("m".into()),
    }
}

/// Guards against prompt parts that a server has read being counted as work, and against a part whose id occurs under
/// another model counting as read.
#[test]
fn read_parts_cost_nothing() {
    let cost = request_cost(RequestShape {
        prompt: 826,
        parts: &[100, 98],
        output: 24,
    });
    // 826 tokens at 40.8 tokens per ms, and 24 x 0.42 ms.
    assert_eq!(cost.after_read(0), 20_245 + 10_080);
    // 628 of them are left.
    assert_eq!(cost.after_read(2), 20_245 - 4_852 + 10_080);
    assert!(cost.after_read(1) > cost.after_read(2));
    let one = part_prefixes("m1", None, &[1, 2]);
    assert_eq!(one[0], part_prefixes("m1", None, &[1])[0]);
    assert_ne!(one[1], part_prefixes("m1", None, &[2])[0]);
    assert_ne!(one[0], part_prefixes("m2", None, &[1])[0]);
    assert_ne!(one[0], part_prefixes("m1", Some("a"), &[1])[0]);
}

/// Guards against absurd numbers in headers that overflow or hide all other work.
#[test]
fn absurd_numbers_are_bounded() {
    let cost = request_cost(RequestShape {
        prompt: u64::MAX,
        parts: &[u64::MAX, u64::MAX],
        output: u64::MAX,
    });
    assert!(cost.after_read(0) < 600_000_000);
    let mut table = OutputTable::default();
    let now = Instant::now();
    table.record(&kind("r"), u32::MAX, Some(u64::MAX), now);
    let most = table.expected(&kind("r"), Some(u64::MAX), Some(u64::MAX), now);
    assert!(u128::from(most) < 1 << 64);
    let cost = request_cost(RequestShape {
        output: most,
        ..RequestShape::default()
    });
    assert!(cost.after_read(0) < 600_000_000);
}

/// Guards against an output that ignores what was learned, the hint or the maximum.
#[test]
fn output_is_learned_and_weighed_with_the_hint() {
    let now = Instant::now();
    let mut table = OutputTable::default();
    assert_eq!(table.expected(&kind("r"), None, Some(300), now), 150);
    assert_eq!(table.expected(&kind("r"), Some(40), Some(300), now), 40);
    for _ in 0..40 {
        table.record(&kind("r"), 36, None, now);
        table.record(&kind("short"), 3, None, now);
    }
    assert_eq!(table.expected(&kind("r"), None, None, now), 288);
    assert_eq!(table.expected(&kind("short"), None, None, now), 24);
    assert_eq!(table.expected(&kind("r"), None, Some(100), now), 100);
    // The hint is four times too low: its geometric mean with what was learned is half.
    assert_eq!(table.expected(&kind("r"), Some(72), None, now), 144);
    // One long answer among many changes little.
    table.record(&kind("r"), 36_000, None, now);
    assert!(table.expected(&kind("r"), None, None, now) < 320);
}

/// Guards against wrong tokens per event when hints are often far off.
#[test]
fn event_size_follows_the_median_of_hints() {
    let now = Instant::now();
    let mut table = OutputTable::default();
    for round in 0..200 {
        // Right for three of five answers, else five times too high or too low.
        let hint = [60, 60, 60, 300, 12][round % 5];
        table.record(&kind("r"), 30, Some(hint), now);
    }
    let expected = table.expected(&kind("r"), None, None, now);
    assert!((50..=72).contains(&expected), "{expected}");
}

/// Guards against old answers that are used for ever, and against a table without bound.
#[test]
fn kinds_are_forgotten_and_bounded() {
    let now = Instant::now();
    let mut table = OutputTable::default();
    table.record(&kind("r"), 36, None, now);
    let later = now + Duration::from_secs(601);
    assert_eq!(table.expected(&kind("r"), None, Some(10), later), 5);
    for route in 0..6_000 {
        table.record(&kind(&route.to_string()), 1, None, now);
    }
    assert!(table.len() <= 4_096);
    table.record(&kind("new"), 36, None, later);
    assert_eq!(table.len(), 1);
    assert_eq!(table.expected(&kind("new"), None, None, later), 288);
}

/// Guards against parts that count as read for ever, and against a memory without bound.
#[test]
fn read_parts_expire() {
    use foxtailhill::engine::{LoadReport, ResidentItem};
    use foxtailhill::routing::{
        BackendView, ExpectedFinishPolicy, FleetSnapshot, RouteNeed, RoutingPolicy, ServerLoad,
    };
    let now = Instant::now();
    let parts = ReadParts::default();
    let item = ResidentItem {
        model: "m".into(),
        version: "v".into(),
        adapter: None,
    };
    let view = |name: &str| BackendView {
        name: name.into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
        software: Default::default(),
        slots: 12,
        report: LoadReport {
            resident: vec![(item.clone(), 0)],
            ..LoadReport::default()
        },
        reported_at: None,
        in_flight: 0,
        sent_since_report: 0,
        suspected_down: false,
        leaving: false,
        load: ServerLoad {
            peer_work_us: Some(0),
            ..ServerLoad::default()
        },
    };
    let fleet = FleetSnapshot::new([
        (view("a"), Default::default(), None),
        (view("b"), Default::default(), None),
    ]);
    let policy = ExpectedFinishPolicy::new(parts.index().clone(), 1);
    let cost = request_cost(RequestShape {
        prompt: 1_000,
        parts: &[500, 400],
        output: 10,
    });
    let need = RouteNeed {
        software: None,
        model: "m".into(),
        version: "v".into(),
        adapter: None,
        prefixes: part_prefixes("m", None, &[1, 2]),
        zone: "z".into(),
        avoid: Vec::new(),
        late: false,
        deferred: false,
        trial: Default::default(),
        cost,
    };
    let costs = || [0, 1].map(|server| policy.cost_us(&need, &fleet, server));
    let whole = need.cost.after_read(0);
    assert_eq!(costs(), [whole, whole]);
    parts.record(&"b".into(), &need.prefixes, now);
    assert_eq!(costs(), [whole, need.cost.after_read(2)]);
    assert_eq!(policy.choose_in(&need, &fleet, now), Some(1));
    // Use keeps a part, so only the second one expires.
    let later = now + Duration::from_secs(50);
    parts.record(&"b".into(), &need.prefixes[..1], later);
    parts.expire(now + Duration::from_secs(61));
    assert_eq!(costs(), [whole, need.cost.after_read(1)]);
    for part in 0..300 {
        parts.record(&"b".into(), &part_prefixes("other", None, &[part]), later);
    }
    assert_eq!(costs(), [whole, whole]);
    parts.record(&"a".into(), &need.prefixes, later);
    parts.forget(&"a".into());
    assert_eq!(costs(), [whole, whole]);
}

/// Guards against a code of work in pulses that is far from the work.
#[test]
fn encoded_work_is_close() {
    assert_eq!(decode_work(encode_work(0)), 0);
    for work in [
        100,
        1_000,
        54_321,
        3_000_000,
        900_000_000,
        50_000_000_000_u64,
    ] {
        let decoded = decode_work(encode_work(work)) as f64;
        let ratio = decoded / work as f64;
        assert!((0.94..1.06).contains(&ratio), "{work}: {ratio}");
    }
    assert!(decode_work(encode_work(u64::MAX)) > 100_000_000_000);
    assert!(decode_work(encode_work(1)) > 0);
}
