//! Requests to cold servers: the bound in any second holds over all daemons, whatever happens to them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::dispatch::FleetSource;
use foxtailhill::ids::VmId;
use foxtailhill::platform::decode_server;
use foxtailhill::relay::{
    DaemonRecord, DaemonRegistry, RegistrySettings, RelayFleet, ServerChange,
};
use foxtailhill::routing::{
    ColdBound, ColdGate, ExpectedTimePolicy, PrefixIndex, RequestCost, RouteNeed, RoutingPolicy,
    divide_requests,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use smol_str::SmolStr;

const SECOND: Duration = Duration::from_secs(1);
/// Term of a daemon's registration in the model.
const TERM: Duration = Duration::from_secs(3);

/// Guards against shares that add up to more than the bound allows, or to nothing.
#[test]
fn shares_of_all_daemons_stay_within_the_bound() {
    let bound = ColdBound {
        over: 1.5,
        slack: 5.0,
    };
    assert_eq!(bound.shared_requests(0.0), None);
    for rate in [0.1, 1.0, 13.0, 200.0] {
        let requests = bound.shared_requests(rate).unwrap();
        assert!(requests >= 1);
        assert!(f64::from(requests) <= (rate * 1.5 + 5.0).max(1.0));
        for daemons in [1, 7, 69, 320] {
            let (share, holders) = divide_requests(requests, daemons);
            assert!(holders <= daemons && share * holders <= requests);
            assert!(share * holders * 2 > requests, "{requests} for {daemons}");
        }
    }
    assert_eq!(divide_requests(0, 5), (0, 0));
}

/// A daemon of the model: a gate, and the times at which it believes to be.
struct ModelDaemon {
    gate: ColdGate,
    /// Until when it is suspended.
    paused_until: Instant,
    /// When its registration was renewed last; nothing until a restart has been noticed.
    renewed_at: Option<Instant>,
}

/// Plays `holders` daemons that send as often as they may. Requests arrive after up to 100 ms, out of order; daemons are
/// suspended, restart, and lose renewals of their registration. Returns the largest number of arrivals in a second, and
/// the number sent after a term.
fn play(seed: u64, share: u32, holders: usize) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let until = start + SECOND * 60;
    let mut daemons: Vec<ModelDaemon> = (0..holders)
        .map(|_| ModelDaemon {
            gate: ColdGate::new(until),
            paused_until: start,
            renewed_at: Some(start),
        })
        .collect();
    let mut arrivals = Vec::new();
    let mut sent_late = 0;
    for millis in 0..8_000 {
        let now = start + Duration::from_millis(millis);
        for daemon in &mut daemons {
            if daemon.paused_until > now {
                continue;
            }
            match random.random_range(0..20_000) {
                0..4 => {
                    daemon.paused_until =
                        now + Duration::from_millis(random.random_range(100..4_000));
                    continue;
                }
                // A restarted daemon waits until all others know it, for longer than a window.
                4 => {
                    daemon.gate = ColdGate::new(until);
                    daemon.renewed_at = None;
                    daemon.paused_until = now + SECOND * 2;
                    continue;
                }
                5..60 => daemon.renewed_at = Some(now),
                _ => {}
            }
            if let Some(renewed_at) = daemon.renewed_at {
                daemon.gate.set_share(share, renewed_at + TERM);
            }
            if daemon.gate.may_send(now) {
                sent_late += usize::from(daemon.renewed_at.is_none_or(|at| at + TERM <= now));
                daemon.gate.note_sent(now);
                // A few requests are lost.
                if random.random_range(0..50) > 0 {
                    arrivals.push(now + Duration::from_millis(random.random_range(0..100)));
                }
            }
        }
    }
    arrivals.sort();
    let mut window = VecDeque::new();
    let mut most = 0;
    for arrival in arrivals {
        window.push_back(arrival);
        while window
            .front()
            .is_some_and(|first| *first + SECOND <= arrival)
        {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    (most, sent_late)
}

/// Guards against more requests to a cold server in a second than it bears, and against a share that is used after the
/// term of its daemon's registration.
#[test]
fn bound_holds_while_daemons_pause_restart_and_lose_messages() {
    let requests = 19;
    for seed in 0..20 {
        for daemons in [7, 69] {
            let (share, holders) = divide_requests(requests, daemons);
            let (most, sent_late) = play(seed, share, holders as usize);
            assert!(most <= requests as usize, "seed {seed}: {most} requests");
            assert_eq!(sent_late, 0, "seed {seed}");
            assert!(most > 0, "seed {seed}: nothing was sent");
        }
    }
}

/// Guards against a share that is used although nobody has given it.
#[test]
fn gate_without_a_valid_share_sends_nothing_until_the_server_is_warm() {
    let now = Instant::now();
    let mut gate = ColdGate::new(now + SECOND * 3);
    assert!(!gate.may_send(now));
    gate.set_share(1, now + SECOND);
    assert!(gate.may_send(now));
    assert!(!gate.may_send(now + SECOND));
    assert!(gate.may_send(now + SECOND * 3));
}

/// Guards against a refusal that does not count for the server and still uses up the share.
#[test]
fn refused_request_gives_its_part_back() {
    let now = Instant::now();
    let mut gate = ColdGate::new(now + SECOND * 3);
    gate.set_share(1, now + SECOND * 3);
    gate.note_sent(now);
    assert!(!gate.may_send(now));
    gate.note_refused(now);
    assert!(gate.may_send(now));
}

/// Guards against the refusal of an earlier request that makes a later one, which counts, forgotten.
#[test]
fn refusal_of_an_earlier_request_keeps_the_later_one_counted() {
    let now = Instant::now();
    let half = SECOND / 2;
    let mut gate = ColdGate::new(now + SECOND * 9);
    gate.set_share(2, now + SECOND * 9);
    gate.note_sent(now);
    gate.note_sent(now + half);
    gate.note_refused(now);
    assert!(gate.may_send(now + half));
    gate.note_sent(now + half);
    // Two requests that count were sent in the last second.
    assert!(!gate.may_send(now + half + SECOND * 9 / 10));
}

/// Guards against the refusal of a request from before the server was cold, which gives back what another one used.
#[test]
fn refusal_of_a_request_that_used_no_part_gives_none_back() {
    let now = Instant::now();
    let sent = now + SECOND;
    let mut gate = ColdGate::new(now + SECOND * 9);
    gate.set_share(1, now + SECOND * 9);
    gate.note_sent(sent);
    gate.note_refused(now);
    assert!(!gate.may_send(sent));
}

fn put(id: &str, seq: u64, cold_left_ms: u64) -> eyre::Result<ServerChange> {
    let record = json!({
        "service": "drafter", "address": "10.0.0.9:8080", "zone": "north", "version": "v1", "slots": 4,
        "state": "ready", "cold-left-ms": cold_left_ms, "seq": seq, "born": 1_700_000_000_000_u64,
        "models": [{"name": "m1", "version": 2, "adapters": []}]
    });
    let entry = decode_server(id, record.to_string().as_bytes())?;
    Ok(ServerChange::Put(entry))
}

/// Returns the names of the servers that are chosen one after the other until none is.
fn fill(fleet: &Arc<RelayFleet>, now: Instant) -> Vec<SmolStr> {
    let policy = ExpectedTimePolicy::new(Arc::new(PrefixIndex::new()), 1);
    let need = RouteNeed {
        model: "drafter/m1".into(),
        version: SmolStr::default(),
        adapter: None,
        prefixes: Vec::new(),
        zone: "north".into(),
        software: None,
        avoid: Vec::new(),
        late: false,
        deferred: false,
        trial: Default::default(),
        cost: RequestCost::default(),
    };
    let snapshot = FleetSource::snapshot(fleet);
    let mut running = Vec::new();
    let mut names = Vec::new();
    while let Some(position) = policy.choose_in(&need, &snapshot, now) {
        names.push(snapshot.views()[position].name.clone());
        running.push(snapshot.handle(position).begin());
    }
    names
}

/// Guards against cold servers that get requests while warm ones have room, or more than this daemon's share.
#[test]
fn cold_server_is_the_last_resort_within_the_share() -> eyre::Result<()> {
    let now = Instant::now();
    let fleet = Arc::new(RelayFleet::new());
    fleet.apply(vec![put("i-cold", 1, 3_000)?, put("i-warm", 1, 0)?], now);
    assert!(fill(&fleet, now).iter().all(|name| name == "i-warm"));
    fleet.set_cold_shares(|_, _| Some((2, now + SECOND * 9)));
    let names = fill(&fleet, now);
    assert_eq!(names.iter().filter(|name| *name == "i-cold").count(), 2);
    assert_eq!(
        names.iter().rposition(|name| name == "i-warm"),
        names.len().checked_sub(3)
    );
    assert_eq!(fleet.cold_servers(), 1);
    // The record that says that the server is warm ends the bound, and so does the time.
    fleet.apply(vec![put("i-cold", 2, 0)?], now);
    assert_eq!(fleet.cold_servers(), 0);
    assert!(fill(&fleet, now).iter().any(|name| name == "i-cold"));
    Ok(())
}

/// Guards against a service without a bound whose cold servers get nothing.
#[test]
fn cold_server_of_a_service_without_a_bound_is_used() -> eyre::Result<()> {
    let now = Instant::now();
    let fleet = Arc::new(RelayFleet::new());
    fleet.apply(vec![put("i-cold", 1, 3_000)?], now);
    fleet.set_cold_shares(|_, _| None);
    assert!(!fill(&fleet, now).is_empty());
    Ok(())
}

/// Guards against a daemon that uses a share before its registration is valid.
#[test]
fn daemon_without_a_registration_has_no_share() -> eyre::Result<()> {
    let registry = DaemonRegistry::new(RegistrySettings {
        name: "entry-1".into(),
        record: DaemonRecord {
            vm: VmId(1),
            zone: "north".into(),
            peer: "127.0.0.1:1".parse()?,
            pulse: "127.0.0.1:2".parse()?,
        },
        term: TERM,
        settle_time: SECOND,
    });
    let (share, _) = registry.cold_share(&"i-cold".into(), 13, Instant::now());
    assert_eq!(share, 0);
    Ok(())
}
