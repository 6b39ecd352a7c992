//! Tests of the routing policies: servers that are never chosen, preferences, and agreement of index and scan.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Instant;

use bolero::{TypeGenerator, check};
use foxtailhill::engine::{CacheEvent, LoadReport, ResidentItem};
use foxtailhill::routing::{
    BackendView, ExpectedTimePolicy, FleetSnapshot, PrefixIndex, RoundRobinPolicy, RouteNeed,
    RoutingPolicy, ServerHandle,
};

fn item(model: u8, adapter: Option<&str>) -> (ResidentItem, u64) {
    let item = ResidentItem {
        model: format!("m{model}").into(),
        version: "v1".into(),
        adapter: adapter.map(Into::into),
    };
    (item, 1)
}

fn view(name: usize, zone: &str, model: u8) -> BackendView {
    BackendView {
        name: format!("s{name}").into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], 1).into(),
        software: Default::default(),
        slots: 8,
        report: LoadReport {
            token_us: 20_000,
            resident: vec![item(model, None)],
            ..LoadReport::default()
        },
        reported_at: Some(Instant::now()),
        in_flight: 0,
        sent_since_report: 0,
        suspected_down: false,
        leaving: false,
        load: Default::default(),
    }
}

fn need(model: u8) -> RouteNeed {
    RouteNeed {
        software: None,
        model: format!("m{model}").into(),
        version: "v1".into(),
        adapter: None,
        prefixes: Vec::new(),
        zone: "z0".into(),
        avoid: Vec::new(),
        late: false,
        cost: Default::default(),
        deferred: false,
        trial: Default::default(),
    }
}

fn policy(seed: u64) -> ExpectedTimePolicy {
    ExpectedTimePolicy::new(Arc::new(PrefixIndex::new()), seed)
}

fn fleet(views: &[BackendView]) -> FleetSnapshot {
    FleetSnapshot::new(
        views
            .iter()
            .map(|view| (view.clone(), Arc::default(), None)),
    )
}

/// Returns the servers that a policy chooses in 200 calls.
fn choices(policy: &impl RoutingPolicy, need: &RouteNeed, views: &[BackendView]) -> Vec<usize> {
    let draws = (0..200).filter_map(|_| policy.choose(need, views, Instant::now()));
    let mut choices: Vec<_> = draws.collect();
    choices.sort_unstable();
    choices.dedup();
    choices
}

#[derive(Debug, TypeGenerator)]
struct Server {
    zone: u8,
    model: u8,
    adapter: bool,
    running: u8,
    waiting: u8,
    token_ms: u8,
    leaving: bool,
    reports_leaving: bool,
    suspected: bool,
}

fn random_view((name, server): (usize, &Server)) -> BackendView {
    let mut view = view(name, &format!("z{}", server.zone % 2), server.model % 3);
    if server.adapter {
        view.report.resident.push(item(server.model % 3, Some("a")));
    }
    view.report.running = (server.running % 12).into();
    view.report.waiting = (server.waiting % 4).into();
    view.report.token_us = u32::from(server.token_ms) * 1_000;
    view.report.leaving = server.reports_leaving && server.zone > 128;
    view.leaving = server.leaving && server.zone < 64;
    view.suspected_down = server.suspected && server.model > 128;
    view
}

/// Guards against an unusable server being chosen (G10), a usable one being passed over, and an index that
/// disagrees with a scan.
#[test]
fn choice_is_usable_and_index_agrees() {
    check!()
        .with_type::<(Vec<Server>, u64, bool, u8)>()
        .for_each(|(servers, seed, adapter, avoid)| {
            let views: Vec<_> = servers.iter().enumerate().map(random_view).collect();
            let mut need = need(1);
            need.adapter = adapter.then(|| "a".into());
            need.avoid = vec![format!("s{}", avoid % 4).into()];
            let allowed = |view: &BackendView| {
                let outstanding = view.report.running + view.report.waiting;
                !(view.leaving || view.report.leaving || view.suspected_down)
                    && view.report.resident[0] == item(1, None)
                    && (!adapter || view.report.resident.contains(&item(1, Some("a"))))
                    && outstanding < 10
                    && !need.avoid.contains(&view.name)
            };
            let choice = policy(*seed).choose(&need, &views, Instant::now());
            match choice {
                Some(position) => assert!(allowed(&views[position])),
                None => assert!(!views.iter().any(allowed)),
            }
            // The handles' flags start unset, so index and scan are compared on the usable servers.
            let usable: Vec<_> = views
                .iter()
                .filter(|view| !(view.leaving || view.report.leaving || view.suspected_down))
                .cloned()
                .collect();
            let scanned = policy(*seed).choose(&need, &usable, Instant::now());
            let indexed = policy(*seed).choose_in(&need, &fleet(&usable), Instant::now());
            assert_eq!(scanned, indexed);
        });
}

/// Pattern: many daemons under overload, each with its own queue. Guards against late requests that take the last places
/// of a server from requests of other daemons that can still be on time, and against late requests that are not served
/// although places are free.
#[test]
fn late_requests_leave_the_last_places_to_others() {
    let late = RouteNeed {
        late: true,
        ..need(1)
    };
    for running in 0..12 {
        let mut busy = view(0, "z0", 1);
        busy.report.running = running;
        let views = [busy];
        let for_late = policy(1).choose(&late, &views, Instant::now());
        let for_others = policy(1).choose(&need(1), &views, Instant::now());
        assert!(
            for_late.is_none() || for_others.is_some(),
            "with {running} of 8 slots taken, only a late request is sent"
        );
        match running {
            0..6 => assert_eq!(for_late, Some(0), "{running} of 8 slots taken"),
            6..10 => assert_eq!((for_late, for_others), (None, Some(0)), "{running} of 8"),
            _ => assert_eq!(for_others, None, "{running} of 8 slots taken"),
        }
    }
}

/// Pattern: urgent requests of a service are short of servers. Guards against deferrable requests that take more than half of
/// a server, and against ones that no server with a single slot takes.
#[test]
fn deferred_requests_take_half_of_a_server() {
    let deferred = RouteNeed {
        late: true,
        deferred: true,
        ..need(1)
    };
    for (slots, running, expected) in [(8, 3, true), (8, 4, false), (1, 0, true), (1, 1, false)] {
        let mut busy = view(0, "z0", 1);
        busy.slots = slots;
        busy.report.running = running;
        let choice = policy(1).choose(&deferred, &[busy], Instant::now());
        assert_eq!(
            choice.is_some(),
            expected,
            "{running} of {slots} slots taken"
        );
    }
}

/// Guards against late requests that no server ever takes because it has a single slot.
#[test]
fn server_with_one_slot_takes_late_requests() {
    let mut small = view(0, "z0", 1);
    small.slots = 1;
    let late = RouteNeed {
        late: true,
        ..need(1)
    };
    assert_eq!(policy(1).choose(&late, &[small], Instant::now()), Some(0));
}

/// Guards against a ranking that ignores load, adapter, cached prefix or zone.
#[test]
fn policy_prefers_free_servers_cached_prefixes_and_own_zone() {
    let prefixes = Arc::new(PrefixIndex::new());
    let policy = ExpectedTimePolicy::new(prefixes.clone(), 7);
    let mut views: Vec<_> = (0..3).map(|name| view(name, "z0", 1)).collect();
    let mut need = need(1);
    assert_eq!(choices(&policy, &need, &views), [0, 1, 2]);

    views[0].zone = "z1".into();
    assert_eq!(choices(&policy, &need, &views), [1, 2]);
    views[1].report.running = 8;
    assert_eq!(choices(&policy, &need, &views), [2]);
    // Another zone costs less than waiting for a slot.
    views[2].report.running = 8;
    assert_eq!(choices(&policy, &need, &views), [0]);

    views = (0..3).map(|name| view(name, "z0", 1)).collect();
    need.adapter = Some("a".into());
    views[1].report.resident.push(item(1, Some("a")));
    assert_eq!(choices(&policy, &need, &views), [1]);

    need.adapter = None;
    need.prefixes = vec![10, 20];
    let event = |sequence, present| CacheEvent {
        sequence,
        prefix_hash: 20,
        present,
    };
    prefixes.apply(&"s2".into(), &[event(0, true)]);
    assert_eq!(choices(&policy, &need, &views), [2]);
    // Repeated events change nothing; a removal does.
    prefixes.apply(&"s2".into(), &[event(0, true), event(1, false)]);
    assert_eq!(choices(&policy, &need, &views), [0, 1, 2]);
    prefixes.record_sent(&"s0".into(), &[10, 20]);
    assert_eq!(choices(&policy, &need, &views), [0]);
    // A long gap may hide the removal.
    prefixes.apply(
        &"s0".into(),
        &[CacheEvent {
            sequence: 9_999,
            prefix_hash: 1,
            present: true,
        }],
    );
    assert_eq!(choices(&policy, &need, &views), [0, 1, 2]);
    assert_eq!(prefixes.next_sequence(&"s0".into()), 10_000);
}

/// Guards against unbounded dispatch to one server between two load reports, against one daemon that uses all the free
/// capacity that others see too, and against a limit that stays reached after the requests have ended.
#[test]
fn dispatch_between_reports_is_bounded() {
    let handle = Arc::new(ServerHandle::default());
    let fleet = FleetSnapshot::new([(view(0, "z0", 1), handle.clone(), None)]);
    let (policy, need) = (policy(1), need(1));
    let mut sent = Vec::new();
    while policy.choose_in(&need, &fleet, Instant::now()).is_some() {
        sent.push(handle.begin());
        assert!(sent.len() < 100);
    }
    // Half of the limit of 10, which is the 8 slots and 2 more.
    assert_eq!(sent.len(), 5);
    assert_eq!((handle.in_flight(), handle.sent_since_report()), (5, 5));
    // Capacity that an ended request has freed can be used at once.
    sent.pop();
    assert!(policy.choose_in(&need, &fleet, Instant::now()).is_some());
    sent.clear();
    assert_eq!((handle.in_flight(), handle.sent_since_report()), (0, 5));
    assert!(policy.choose_in(&need, &fleet, Instant::now()).is_some());
}

/// Guards against sending a request to a server without its adapter, whose engine would refuse it.
#[test]
fn request_waits_for_a_missing_adapter() {
    let mut views: Vec<_> = (0..3).map(|name| view(name, "z0", 1)).collect();
    let mut need = need(1);
    need.adapter = Some("a".into());
    assert!(choices(&policy(1), &need, &views).is_empty());
    assert!(choices(&RoundRobinPolicy::new(), &need, &views).is_empty());
    let missing = policy(1).choose_in(&need, &fleet(&views), Instant::now());
    assert_eq!(missing, None);
    views[2].report.resident.push(item(1, Some("a")));
    assert_eq!(choices(&policy(1), &need, &views), [2]);
    assert_eq!(choices(&RoundRobinPolicy::new(), &need, &views), [2]);
    let found = policy(1).choose_in(&need, &fleet(&views), Instant::now());
    assert_eq!(found, Some(2));
}

/// Guards against a round-robin policy that skips usable servers, and against service calls beyond a server's slots.
#[test]
fn round_robin_and_services_use_usable_servers_only() {
    let mut views: Vec<_> = (0..3).map(|name| view(name, "z0", 1)).collect();
    views[1].leaving = true;
    let policy = RoundRobinPolicy::new();
    assert_eq!(choices(&policy, &need(1), &views), [0, 2]);

    let handles: Vec<Arc<ServerHandle>> = vec![Arc::default(), Arc::default()];
    let servers = handles.iter().enumerate().map(|(index, handle)| {
        let mut view = view(index, &format!("z{index}"), 9);
        view.slots = 1;
        (view, handle.clone(), Some("booking".into()))
    });
    let fleet = FleetSnapshot::new(servers);
    assert_eq!(fleet.choose_service("booking", "z1", &[]), Some(1));
    let _busy = handles[1].begin();
    assert_eq!(fleet.choose_service("booking", "z1", &[]), Some(0));
    assert_eq!(fleet.choose_service("booking", "z1", &["s0".into()]), None);
    assert!(fleet.has_service("booking") && !fleet.has_service("other"));
}

/// Guards against a new server that inherits the prefixes of a removed one.
#[test]
fn forgotten_prefixes_are_not_inherited() {
    let prefixes = Arc::new(PrefixIndex::new());
    let policy = ExpectedTimePolicy::new(prefixes.clone(), 3);
    let views: Vec<_> = (0..3).map(|name| view(name, "z0", 1)).collect();
    let mut need = need(1);
    need.prefixes = vec![10];
    prefixes.record_sent(&"s0".into(), &[10]);
    prefixes.record_sent(&"s1".into(), &[11]);
    prefixes.forget(&"s0".into());
    prefixes.record_sent(&"s2".into(), &[12]);
    assert_eq!(choices(&policy, &need, &views), [0, 1, 2]);
    prefixes.record_sent(&"s1".into(), &[10]);
    assert_eq!(choices(&policy, &need, &views), [1]);
}
