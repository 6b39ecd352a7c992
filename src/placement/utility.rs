//! Estimate of how many requests meet their target latency with a given number of replicas.

use crate::placement::DemandFacts;

/// Tokens per second of one replica with all slots busy: 32 slots at 26 ms per token. Only its ratio to the demand
/// matters, and missed targets and waiting requests correct for its error.
const REPLICA_TOKENS_PER_S: f64 = 1_200.0;
/// Number of waiting requests that count as the load of one replica.
const REPLICA_SLOTS: f64 = 32.0;
/// Time within which the requests that are waiting now should be served, in seconds.
const WAITING_WINDOW_S: f64 = 10.0;

/// Returns the offered load; 1 keeps one replica busy.
pub(super) fn offered_load(demand: &DemandFacts) -> f64 {
    demand.tokens_per_s.max(0.0) / REPLICA_TOKENS_PER_S + f64::from(demand.waiting) / REPLICA_SLOTS
}

/// Returns the requests per second that `replicas` serve in time, by Sakasegawa's approximation of the waiting
/// probability. Above saturation the share falls in proportion to the load, so that each further replica still gains.
pub(super) fn attained_per_s(demand: &DemandFacts, replicas: usize) -> f64 {
    let offered = offered_load(demand);
    let requests = demand.arrivals_per_s.max(0.0)
        + demand.misses_per_s.max(0.0)
        + f64::from(demand.waiting) / WAITING_WINDOW_S;
    requests * attainment(offered, replicas)
}

fn attainment(offered: f64, replicas: usize) -> f64 {
    if replicas == 0 {
        return 0.0;
    }
    let count = replicas as f64;
    if offered >= count {
        return 0.5 * count / offered;
    }
    let busy = offered / count;
    1.0 - 0.5 * busy.powf((2.0 * (count + 1.0)).sqrt())
}

/// Returns the requests per second that one more replica gains.
pub(super) fn gain_per_s(demand: &DemandFacts, replicas: usize) -> f64 {
    (attained_per_s(demand, replicas + 1) - attained_per_s(demand, replicas)).max(0.0)
}

/// Returns the requests per second that are lost with one replica fewer.
pub(super) fn loss_per_s(demand: &DemandFacts, replicas: usize) -> f64 {
    match replicas.checked_sub(1) {
        Some(fewer) => gain_per_s(demand, fewer),
        None => 0.0,
    }
}
