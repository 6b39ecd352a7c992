//! Servers that refuse connections: the table of findings, probes and reports, and which servers get requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtailhill::blame::ServerStart;
use foxtailhill::dispatch::FleetSource;
use foxtailhill::platform::decode_server;
use foxtailhill::relay::{
    ProbeOutcome, RefusalReport, RefusalTable, RelayFleet, ServerChange, ServerEntry,
};
use foxtailhill::routing::{ExpectedTimePolicy, PrefixIndex, RouteNeed, RoutingPolicy};
use serde_json::json;
use smol_str::SmolStr;

/// Time for which a peer's report holds.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);
const SERVER: ServerStart = ServerStart(7);
const MILLISECOND: Duration = Duration::from_millis(1);

fn report(age: Duration) -> RefusalReport {
    RefusalReport {
        server: SERVER,
        age_ms: age.as_millis() as u32,
    }
}

/// Guards against choosing a server that refuses connections again just because time has passed.
#[test]
fn own_finding_holds_until_the_server_accepts() {
    let now = Instant::now();
    let mut table = RefusalTable::default();
    assert!(table.note_refused(SERVER, now));
    assert!(!table.note_refused(SERVER, now + MILLISECOND));
    let later = now + Duration::from_secs(60);
    table.expire(later, |_| true);
    assert!(table.is_refusing(SERVER, later));
    // A connection that was accepted before the refusal shows nothing.
    assert!(!table.note_accepted(SERVER, now - MILLISECOND));
    assert!(table.is_refusing(SERVER, later));
    assert!(table.note_accepted(SERVER, later));
    assert!(!table.is_refusing(SERVER, later));
}

/// Guards against two probes at a time, against pauses that do not grow, and against pauses that grow without bound.
#[test]
fn one_probe_at_a_time_with_growing_pauses() {
    let mut now = Instant::now();
    let mut table = RefusalTable::default();
    table.note_refused(SERVER, now);
    for pause in [500, 1_000, 2_000, 4_000, 4_000, 4_000] {
        let pause = Duration::from_millis(pause);
        assert!(table.take_probes(9, now + pause - MILLISECOND).is_empty());
        now += pause;
        assert_eq!(table.take_probes(9, now), [SERVER], "{pause:?}");
        assert!(table.take_probes(9, now + REPORT_LIFETIME).is_empty());
        // Requests that are refused meanwhile change nothing.
        table.note_refused(SERVER, now);
        let outcome = match pause.as_secs() {
            2 => ProbeOutcome::Unknown,
            _ => ProbeOutcome::Refused,
        };
        assert!(!table.end_probe(SERVER, outcome, now, now));
        assert!(table.is_refusing(SERVER, now));
    }
    now += REPORT_LIFETIME;
    assert_eq!(table.take_probes(9, now), [SERVER]);
    assert!(table.end_probe(SERVER, ProbeOutcome::Accepted, now, now));
    assert!(!table.is_refusing(SERVER, now));
    assert!(table.take_probes(9, now + REPORT_LIFETIME).is_empty());
}

/// Guards against a crashed server that only a request finds to refuse connections, and against leaving out a server whose
/// connection broke for another reason.
#[test]
fn server_whose_connection_broke_is_probed_at_once() {
    let now = Instant::now();
    for (outcome, is_closed) in [
        (ProbeOutcome::Refused, true),
        (ProbeOutcome::Accepted, false),
        (ProbeOutcome::Unknown, false),
    ] {
        let mut table = RefusalTable::default();
        table.note_broken(SERVER, now);
        assert!(!table.is_refusing(SERVER, now));
        table.expire(now, |_| true);
        assert_eq!(table.take_probes(9, now), [SERVER]);
        table.note_broken(SERVER, now);
        assert!(table.take_probes(9, now).is_empty(), "two probes at a time");
        assert_eq!(table.end_probe(SERVER, outcome, now, now), is_closed);
        assert_eq!(table.is_refusing(SERVER, now), is_closed, "{outcome:?}");
        assert_eq!(table.untold_due().is_some(), is_closed, "{outcome:?}");
    }
}

/// Guards against a peer's report that holds for longer than it may, and against one that is told on as an own finding.
#[test]
fn report_of_a_peer_ends_unless_it_is_repeated() {
    let now = Instant::now();
    let mut table = RefusalTable::default();
    assert!(table.apply_report(report(MILLISECOND), now));
    assert!(table.is_refusing(SERVER, now + REPORT_LIFETIME - MILLISECOND));
    assert!(!table.is_refusing(SERVER, now + REPORT_LIFETIME));
    assert!(table.reports(now).is_empty());
    assert!(table.untold_due().is_none());
    let repeated = now + REPORT_LIFETIME / 2;
    assert!(!table.apply_report(report(MILLISECOND), repeated));
    assert!(table.is_refusing(SERVER, now + REPORT_LIFETIME));
    table.expire(repeated + REPORT_LIFETIME, |_| true);
    assert_eq!(table.count(repeated + REPORT_LIFETIME), 0);
    // Refusals that are long ago are not applied.
    let old = report(Duration::from_secs(60));
    assert!(!table.apply_report(old, repeated + REPORT_LIFETIME));
}

/// Guards against a report that closes a server which has accepted a connection since the peer found it, and against
/// ignoring one that was found after that.
#[test]
fn own_success_overrides_reports_of_earlier_findings() {
    let now = Instant::now();
    let mut table = RefusalTable::default();
    table.apply_report(report(Duration::ZERO), now);
    assert!(table.note_accepted(SERVER, now + 10 * MILLISECOND));
    let later = now + 500 * MILLISECOND;
    assert!(!table.apply_report(report(495 * MILLISECOND), later));
    assert!(!table.is_refusing(SERVER, later));
    assert!(table.apply_report(report(100 * MILLISECOND), later));
    assert!(table.is_refusing(SERVER, later));
}

/// Guards against a datagram for each finding, and against more than a few datagrams per second.
#[test]
fn findings_are_told_together_and_seldom() {
    let now = Instant::now();
    let mut table = RefusalTable::default();
    assert!(table.untold_due().is_none());
    let mut datagrams = 0;
    let mut told = 0;
    for step in 0..1_000 {
        let now = now + MILLISECOND * step;
        table.note_refused(ServerStart(step.into()), now);
        if table.untold_due().is_some_and(|due| due <= now) {
            datagrams += 1;
            told += table.take_untold(now).len();
        }
    }
    assert!((2..=3).contains(&datagrams), "{datagrams} in a second");
    assert!(told <= 3 * 64, "{told}");
}

/// Guards against a pulse that is too large to send after the loss of many servers.
#[test]
fn number_of_reports_in_a_pulse_is_bounded() {
    let now = Instant::now();
    let mut table = RefusalTable::default();
    for index in 0..600 {
        table.note_refused(ServerStart(u64::MAX - index), now);
    }
    let reports = table.reports(now);
    let config = bincode::config::standard();
    let length = bincode::serde::encode_to_vec(&reports, config).map_or(usize::MAX, |v| v.len());
    assert!(!reports.is_empty() && length <= 1 << 10, "{length} bytes");
}

/// Guards against reports without end from a daemon whose own link has failed since the server refused its connection.
#[test]
fn refusal_that_probes_do_not_confirm_is_not_reported_for_long() {
    let now = Instant::now();
    let mut table = RefusalTable::default();
    table.note_refused(SERVER, now);
    let later = now + Duration::from_secs(11);
    table.take_probes(1, later);
    table.end_probe(SERVER, ProbeOutcome::Unknown, later, later);
    assert!(table.is_refusing(SERVER, later));
    assert!(table.reports(later).is_empty());
}

fn entry(id: &str, born: u64) -> eyre::Result<ServerEntry> {
    let record = json!({
        "service": "desk", "address": "127.0.0.1:9", "zone": "north", "version": "v1", "slots": 4,
        "state": "ready", "cold-left-ms": 0, "seq": 1, "born": born
    });
    Ok(decode_server(id, record.to_string().as_bytes())?)
}

fn is_chosen(fleet: &Arc<RelayFleet>) -> bool {
    let policy = ExpectedTimePolicy::new(Arc::new(PrefixIndex::new()), 1);
    let need = RouteNeed {
        software: None,
        model: "desk".into(),
        version: SmolStr::default(),
        adapter: None,
        prefixes: Vec::new(),
        zone: "north".into(),
        avoid: Vec::new(),
        late: false,
        deferred: false,
        trial: Default::default(),
        cost: foxtailhill::routing::RequestCost::default(),
    };
    let snapshot = FleetSource::snapshot(fleet);
    policy.choose_in(&need, &snapshot, Instant::now()).is_some()
}

/// Guards against sending to a server that refuses connections, and against leaving out one that has started anew or
/// accepts connections again.
#[test]
fn server_that_refuses_connections_gets_no_requests() -> eyre::Result<()> {
    let now = Instant::now();
    let fleet = Arc::new(RelayFleet::new());
    fleet.apply(vec![ServerChange::Put(entry("i-0", 1)?)], now);
    let address = fleet.servers()[0].address;
    assert!(is_chosen(&fleet));
    fleet.connect_refused("i-0", address, now);
    assert!(!is_chosen(&fleet));
    // Neither the end of a suspicion nor its record as before changes that.
    fleet.call_failed("i-0");
    fleet.tick(now + Duration::from_secs(30));
    fleet.apply(vec![ServerChange::Put(entry("i-0", 1)?)], now);
    assert!(!is_chosen(&fleet));
    fleet.apply(vec![ServerChange::Put(entry("i-0", 2)?)], now);
    assert!(is_chosen(&fleet));

    // A refusal by the address of an earlier start.
    fleet.connect_refused("i-0", "127.0.0.1:8".parse()?, now);
    assert!(is_chosen(&fleet));

    fleet.connect_refused("i-0", address, now);
    assert!(!is_chosen(&fleet));
    fleet.connect_accepted("i-0", now + MILLISECOND);
    assert!(is_chosen(&fleet));
    Ok(())
}

/// Guards against a finding that peers do not learn, and against one that they apply to another start of the server.
#[tokio::test]
async fn finding_reaches_peers() -> eyre::Result<()> {
    let now = Instant::now();
    let (finder, peer) = (Arc::new(RelayFleet::new()), Arc::new(RelayFleet::new()));
    let restarted = Arc::new(RelayFleet::new());
    for fleet in [&finder, &peer] {
        fleet.apply(vec![ServerChange::Put(entry("i-0", 1)?)], now);
    }
    restarted.apply(vec![ServerChange::Put(entry("i-0", 2)?)], now);
    let address = finder.servers()[0].address;
    finder.connect_refused("i-0", address, Instant::now());
    let reports = finder.take_refusal_reports().await;
    assert_eq!(reports.len(), 1);
    assert_eq!(peer.apply_refusal_reports(&reports, Instant::now()), 1);
    assert!(!is_chosen(&peer));
    assert_eq!(restarted.apply_refusal_reports(&reports, Instant::now()), 0);
    assert!(is_chosen(&restarted));
    // Connections that time out are no findings.
    restarted.call_failed("i-0");
    assert!(restarted.refusal_reports(Instant::now()).is_empty());
    peer.tick(Instant::now() + REPORT_LIFETIME + MILLISECOND);
    assert!(is_chosen(&peer));
    Ok(())
}
