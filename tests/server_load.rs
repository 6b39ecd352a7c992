//! Pace and outstanding work of the servers as the relay measures them and hears of them.

mod relay_support;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foxtailhill::ids::VmId;
use relay_support::{RelayRig, Script, chunk, event, request, stream_head, whole};

const LAST_CHUNK: &str = "0\r\n\r\n";

fn stream(events: u32) -> Script {
    let events: String = (1..=events).map(|id| chunk(&event(id))).collect();
    Script::Answer(format!("{}{events}{LAST_CHUNK}", stream_head()))
}

/// Guards against work that is counted at a server after its requests have ended, and against answers from which no
/// pace is learned.
#[tokio::test]
async fn answers_show_the_pace_and_end_the_work() -> eyre::Result<()> {
    let answer = Script::Answer(whole("200 OK", "yes"));
    let script = vec![stream(20), stream(20), answer.clone(), answer];
    let (rig, servers) = RelayRig::with_servers(vec![script]).await?;
    for number in 0..4 {
        let (method, path) = match number {
            0 | 1 => ("POST", "/draft/1"),
            _ => ("GET", "/check/1"),
        };
        let id = format!("r{number}");
        let answer = rig.send(&request(method, path, &id, "", "")).await?;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(servers[0].requests().len(), 4);
    relay_support::until("no work is left", || rig.fleet.outstanding_work().0 == 0).await?;
    let accepted: u64 = rig
        .fleet
        .take_choices()
        .iter()
        .map(|(_, count)| count)
        .sum();
    assert_eq!(accepted, 4);
    // The first answer of each kind sets its usual time, the second is compared with it.
    let now = Instant::now();
    assert_eq!(rig.fleet.take_pace_news(now).len(), 1);
    assert!(rig.fleet.pace_spread(now).is_some());
    rig.shutdown().await;
    Ok(())
}

/// Guards against the work of peers that is attributed to another server, or that counts after the peer has fallen
/// silent, and against peers that report counts only.
#[tokio::test]
async fn work_of_peers_counts_while_they_report() -> eyre::Result<()> {
    let answer = || Script::Answer(whole("200 OK", "yes"));
    let (rig, servers) = RelayRig::with_servers(vec![vec![answer()], vec![answer()]]).await?;
    let fleet = &rig.fleet;
    let now = Instant::now();
    let snapshot = foxtailhill::dispatch::FleetSource::snapshot(fleet);
    let running: Vec<_> = servers
        .iter()
        .zip([10_000, 3_000_000])
        .filter_map(|(server, work)| {
            let position = snapshot.position(&server.id)?;
            Some(snapshot.handle(position).begin_work(work))
        })
        .collect();
    assert_eq!(running.len(), 2);
    let in_flight = fleet.own_in_flight();
    let codes = fleet.own_work(&in_flight);
    assert_eq!(codes.len(), 2);
    // Another daemon with the same load reports it.
    fleet.record_peer_work(VmId(1), &in_flight, &codes);
    fleet.record_peer_in_flight(VmId(1), in_flight.clone(), now);
    fleet.tick(now);
    let peer_work = |server: usize, now: Instant| -> f64 {
        let load = fleet.server_load(&servers[server].id, now);
        load.and_then(|load| load.peer_work_us).unwrap_or_default() as f64
    };
    assert!(
        (9_400.0..10_600.0).contains(&peer_work(0, now)),
        "{}",
        peer_work(0, now)
    );
    assert!(
        (2_820_000.0..3_180_000.0).contains(&peer_work(1, now)),
        "{}",
        peer_work(1, now)
    );
    // A peer that reports no work has some for each request.
    let counts: HashMap<u32, u32> = in_flight.keys().map(|hash| (*hash, 2)).collect();
    fleet.record_peer_work(VmId(1), &counts, &[]);
    fleet.record_peer_in_flight(VmId(1), counts, now);
    fleet.tick(now);
    assert!(peer_work(0, now) >= 100_000.0);
    let later = now + Duration::from_secs(4);
    fleet.tick(later);
    assert_eq!((peer_work(0, later), peer_work(1, later)), (0.0, 0.0));
    drop(running);
    assert_eq!(fleet.outstanding_work().0, 0);
    rig.shutdown().await;
    Ok(())
}
