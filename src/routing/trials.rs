//! Which servers are candidates for a request, by whether they have answered and renew their records.

use crate::routing::fleet::{ProvenServers, TrialCensus};
use crate::routing::{
    Availability, FleetSnapshot, RouteNeed, ServerHandle, ServerStanding, TrialRule,
};

/// Share of its slots that a server which has not answered yet gets at a time, as a divisor.
const TRIAL_SLOT_DIVISOR: u32 = 8;
/// Largest number of requests at a time to such servers of one model, counted for those whose records are renewed and for
/// the others.
const MAX_TRIALS: u32 = 8;

/// Which servers are candidates, by whether they have answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialScope {
    /// Those that have answered.
    Proven,
    /// Also those whose records are renewed, with few requests at a time.
    RenewedTrials,
    /// Also others, with few requests at a time.
    Trials,
    /// Those whose records are renewed, as none has answered.
    Renewed,
    /// All, as none has answered and no record is renewed.
    All,
}

/// The scopes in which a server is sought, in order.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialScopes {
    /// For each availability.
    first: [Option<TrialScope>; 2],
    /// After these, whatever the availability.
    last: Option<TrialScope>,
}

impl TrialScopes {
    /// Once a record is renewed, the others wait for their renewal while the servers with renewed records have room: a live
    /// server renews its record in its next heartbeat.
    pub(super) fn of(need: &RouteNeed, fleet: &FleetSnapshot) -> Self {
        let TrialCensus {
            proven,
            has_renewed,
            renewed_trials,
            other_trials,
        } = fleet.trial_census(need);
        let may_try_renewed = has_renewed && renewed_trials < MAX_TRIALS;
        let others = (other_trials < MAX_TRIALS).then_some(TrialScope::Trials);
        let (renewed, last) = match has_renewed {
            true => (may_try_renewed.then_some(TrialScope::RenewedTrials), others),
            false => (others, None),
        };
        let (first, last) = match (proven, need.trial) {
            (ProvenServers::None, _) if has_renewed => ([Some(TrialScope::Renewed), None], last),
            (ProvenServers::None, _) => ([Some(TrialScope::All), None], None),
            (ProvenServers::Unusable, _) | (_, TrialRule::Allowed) => {
                ([renewed.or(Some(TrialScope::Proven)), None], last)
            }
            (ProvenServers::Usable, TrialRule::LastResort) => {
                ([Some(TrialScope::Proven), renewed], last)
            }
            (ProvenServers::Usable, TrialRule::Never) => ([Some(TrialScope::Proven), None], None),
        };
        Self { first, last }
    }

    /// Returns the steps of the search.
    pub(super) fn steps(self) -> impl Iterator<Item = (Availability, TrialScope)> {
        let availabilities = [Availability::Open, Availability::LastResort];
        let first = availabilities.into_iter().flat_map(move |availability| {
            let scopes = self.first.into_iter().flatten();
            scopes.map(move |scope| (availability, scope))
        });
        let last = availabilities
            .into_iter()
            .filter_map(move |availability| Some((availability, self.last?)));
        first.chain(last)
    }
}

impl TrialScope {
    pub(super) fn includes(self, handle: &ServerHandle, slots: u32) -> bool {
        let is_proven = handle.standing() == ServerStanding::Proven;
        let trials = (slots / TRIAL_SLOT_DIVISOR).clamp(1, MAX_TRIALS);
        match self {
            Self::All => true,
            Self::Renewed => handle.is_renewed(),
            Self::Trials => is_proven || handle.in_flight() < trials,
            Self::RenewedTrials => is_proven || handle.is_renewed() && handle.in_flight() < trials,
            Self::Proven => is_proven,
        }
    }
}
