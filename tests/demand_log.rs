//! Demand that daemons report to each other when each period's pulses reach a part of the peers only.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foxtailhill::dispatch::{DemandMeter, ModelDemand};
use foxtailhill::ids::VmId;
use foxtailhill::placement::DemandTracker;
use foxtailhill::relay::DemandLog;
use smol_str::SmolStr;

fn demand(model: &str, arrivals: u32, waiting: u32) -> ModelDemand {
    ModelDemand {
        model: model.into(),
        arrivals,
        tokens: u64::from(arrivals) * 100,
        waiting,
        ..ModelDemand::default()
    }
}

fn arrivals(demands: &[ModelDemand]) -> u32 {
    demands.iter().map(|demand| demand.arrivals).sum()
}

/// Guards against a planner that knows a part of the demand only, because a large fleet's pulses go to the peers in
/// turn.
#[test]
fn planner_of_a_large_fleet_knows_all_demand() {
    let window = Duration::from_secs(4);
    let tracker = DemandTracker::with_window(window);
    let planner = VmId(0);
    let (daemons, rate) = (95_u16, 5_u32);
    let mut logs: Vec<DemandLog> = (0..daemons).map(|_| DemandLog::new()).collect();
    let start = Instant::now();
    let mut now = start;
    for period in 0..150_u64 {
        now = start + Duration::from_millis(200) * period as u32;
        for (index, log) in logs.iter_mut().enumerate() {
            log.push(vec![demand("drafter", rate / 5, 0)]);
            // The planner is one of five groups of peers that get pulses in turn.
            if (period + index as u64).is_multiple_of(5) {
                let first = log.tell(planner);
                let reporter = ([127, 0, 0, 1], index as u16 + 1).into();
                tracker.record(reporter, &log.since(first), now);
            }
        }
    }
    let known = tracker.model_facts(&"drafter".into(), now).arrivals_per_s;
    let sent = f64::from(daemons) * f64::from(rate);
    assert!(
        (known - sent).abs() < sent / 5.0,
        "the planner knows {known:.0} of {sent} requests per second"
    );
}

/// Guards against demand that a peer gets twice or never.
#[test]
fn every_peer_is_told_of_each_period_once() {
    let mut log = DemandLog::new();
    let mut told: HashMap<u64, u32> = HashMap::new();
    for period in 0..60_u32 {
        log.push(vec![demand("drafter", period + 1, 0)]);
        for peer in 1..=4_u64 {
            if period.is_multiple_of(peer as u32) {
                let first = log.tell(VmId(peer));
                *told.entry(peer).or_default() += arrivals(&log.since(first));
            }
        }
    }
    for peer in 1..=4_u64 {
        let first = log.tell(VmId(peer));
        *told.entry(peer).or_default() += arrivals(&log.since(first));
        assert_eq!(told[&peer], (1..=60).sum::<u32>(), "peer {peer}");
    }
}

/// Guards against a number of waiting requests that adds up over the periods, or stays when none waits any more.
#[test]
fn the_latest_number_of_waiting_requests_is_told() {
    let meter = DemandMeter::new();
    let model = SmolStr::from("drafter");
    let mut log = DemandLog::new();
    let first = log.tell(VmId(1));
    meter.arrived(&model, None, 10);
    log.push(meter.take(&[(model.clone(), 7)]));
    log.push(meter.take(&[(model.clone(), 3)]));
    assert_eq!(log.since(first)[0].waiting, 3);
    log.push(meter.take(&[]));
    assert_eq!(log.since(first)[0].waiting, 0);
    assert_eq!(log.since(first)[0].arrivals, 1);
}

/// Guards against datagrams that are too large to send, and against losing the busiest models then.
#[test]
fn demand_for_many_models_keeps_the_busiest() {
    let mut log = DemandLog::new();
    let first = log.tell(VmId(1));
    let models = (0..500_u32).map(|index| demand(&format!("model-{index}"), index, 0));
    log.push(models.collect());
    let told = log.since(first);
    assert!(told.len() < 200, "{} models in one pulse", told.len());
    assert!(told.iter().any(|demand| demand.arrivals == 499));
}
