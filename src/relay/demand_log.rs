//! Demand that this daemon has counted, kept until every peer has been told of it.
//!
//! In a large fleet each period's pulses go to a part of the peers only. Each peer gets all demand since the last pulse
//! that was sent to it, so that the planner's totals do not depend on the number of daemons.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use smol_str::SmolStr;

use crate::dispatch::ModelDemand;
use crate::ids::VmId;

/// Number of periods that are kept for peers that have not been told of them. Older demand has hardly any weight in the
/// planner's averages.
const MAX_PERIODS: usize = 25;
/// Largest number of models and adapters in one pulse, which must fit into a datagram. The busiest are kept.
const MAX_DEMANDS: usize = 120;

/// Identifies a period of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeriodId(u64);

/// Demand by period, and up to which period each peer has been told of it.
#[derive(Debug, Default)]
pub struct DemandLog {
    /// Consecutive periods, oldest first.
    periods: VecDeque<Vec<ModelDemand>>,
    /// Period after the newest one.
    next: PeriodId,
    /// The first period that a peer has not been told of.
    untold: HashMap<VmId, PeriodId>,
}

impl DemandLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the demand of one period.
    pub fn push(&mut self, demand: Vec<ModelDemand>) {
        self.periods.push_back(demand);
        self.next.0 += 1;
        if self.periods.len() > MAX_PERIODS {
            self.periods.pop_front();
        }
    }

    /// Returns the first period that `peer` has not been told of, and counts all periods as told. A new peer is told
    /// of all that are kept.
    pub fn tell(&mut self, peer: VmId) -> PeriodId {
        let first = PeriodId(self.next.0 - self.periods.len() as u64);
        let untold = self.untold.insert(peer, self.next);
        untold.unwrap_or(first).max(first)
    }

    /// Returns the demand from the period `first` on, with the latest number of waiting requests.
    pub fn since(&self, first: PeriodId) -> Vec<ModelDemand> {
        let count = self.next.0.saturating_sub(first.0) as usize;
        let skipped = self.periods.len().saturating_sub(count);
        let mut sums: BTreeMap<(&SmolStr, Option<&SmolStr>), ModelDemand> = BTreeMap::new();
        for demand in self.periods.iter().skip(skipped).flatten() {
            sums.entry((&demand.model, demand.adapter.as_ref()))
                .and_modify(|sum| {
                    sum.arrivals += demand.arrivals;
                    sum.tokens += demand.tokens;
                    sum.misses += demand.misses;
                    sum.waiting = demand.waiting;
                })
                .or_insert_with(|| demand.clone());
        }
        let mut demands: Vec<ModelDemand> = sums.into_values().collect();
        if demands.len() > MAX_DEMANDS {
            demands.sort_by_key(|demand| std::cmp::Reverse((demand.waiting, demand.arrivals)));
            demands.truncate(MAX_DEMANDS);
        }
        demands
    }

    /// Forgets the peers that are not in `peers`.
    pub fn retain_peers(&mut self, peers: &HashSet<VmId>) {
        self.untold.retain(|peer, _| peers.contains(peer));
    }
}
