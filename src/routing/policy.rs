//! Routing policies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use smol_str::SmolStr;

use crate::routing::prefix::{PrefixHolders, ServerHash, server_hash};
use crate::routing::trials::{TrialScope, TrialScopes};
use crate::routing::{
    Availability, BackendView, FleetSnapshot, PrefixIndex, RouteNeed, RoutingPolicy,
};

/// Estimated time to compute a prompt of usual length without a cached prefix, in microseconds.
const PREFILL_US: u64 = 40_000;
/// Estimated round-trip time between zones, at 1.5 ms one way, in microseconds.
const OTHER_ZONE_US: u64 = 3_000;
/// Assumed time between two tokens of an engine that has not reported it yet, in microseconds.
const DEFAULT_TOKEN_US: u64 = 20_000;
/// Assumed number of tokens that a running request still generates before it frees its slot.
const SERVICE_TOKENS: u64 = 128;
/// Divisor of a server's free capacity: the quotient is the share that one daemon uses between two load reports. As
/// daemons choose among several servers, two of them seldom use their shares of the same server at once.
const FREE_SHARE_DIVISOR: u64 = 2;
/// Share of the places of a server that late requests leave to others, which may come to another daemon, in percent.
const LATE_RESERVE_PERCENT: u64 = 25;
/// Share of the places of a server that deferrable requests leave to others while urgent ones are short of servers, in
/// percent. It exceeds [`LATE_RESERVE_PERCENT`], so that late urgent requests of other daemons go before them.
const DEFERRED_RESERVE_PERCENT: u64 = 50;
/// Candidates are near-equal if their expected time exceeds the best by at most an eighth plus this time, in
/// microseconds. The lag of load reports hides smaller differences.
const NEAR_EQUAL_US: u64 = 500;
/// Assumed work of a running request of which only the number is known, in microseconds of a server of pace 1.
const REQUEST_WORK_US: u64 = 100_000;

/// A usable server with the values that determine its rank.
struct Candidate<'a> {
    position: usize,
    view: &'a BackendView,
    name: ServerHash,
    /// Requests on the server, of this daemon and of others; those of others are as last reported.
    outstanding: u64,
    /// Increase in this daemon's own requests since the latest report.
    own_increase: u64,
    /// Remaining work of this daemon's requests, in microseconds of a server of pace 1.
    own_work_us: u64,
}

#[derive(Clone, Copy)]
struct Ranked {
    position: usize,
    expected_us: u64,
    own_zone: bool,
}

/// Selects one of the candidates that have capacity.
trait CandidateRanking {
    /// Returns the position of the chosen candidate.
    fn rank<'a>(
        &self,
        need: &RouteNeed,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Option<usize>;
}

/// Ranks backend servers by expected time to the first token.
#[derive(Debug)]
pub struct ExpectedTimePolicy {
    prefixes: Arc<PrefixIndex>,
    random: AtomicU64,
}

impl ExpectedTimePolicy {
    /// Creates a policy whose random choices are determined by `seed`.
    pub fn new(prefixes: Arc<PrefixIndex>, seed: u64) -> Self {
        Self {
            prefixes,
            random: AtomicU64::new(seed),
        }
    }

    /// Ranks the candidates that have capacity and are not avoided.
    fn ranked<'a, R>(
        &self,
        need: &RouteNeed,
        candidates: impl Iterator<Item = Candidate<'a>>,
        rank: impl Fn(&RouteNeed, &Candidate<'_>, &PrefixHolders<'_>) -> R,
    ) -> Vec<R> {
        let table = self.prefixes.read();
        let holders = table.holders(&need.prefixes);
        candidates
            .filter(|candidate| has_capacity(candidate, need))
            .filter(|candidate| !need.avoid.contains(&candidate.view.name))
            .map(|candidate| rank(need, &candidate, &holders))
            .collect()
    }

    /// Returns the better of two random choices among the near-equal candidates. Servers in another zone are among them
    /// only if the best one is in another zone too.
    fn pick(&self, ranked: &[Ranked]) -> Option<Ranked> {
        let best = *ranked.iter().min_by_key(|entry| entry.expected_us)?;
        let limit = best.expected_us + best.expected_us / 8 + NEAR_EQUAL_US;
        let is_near =
            |entry: &&Ranked| entry.expected_us <= limit && (entry.own_zone || !best.own_zone);
        let near: Vec<_> = ranked.iter().filter(is_near).collect();
        let random = self.random();
        // The halves of one random number give two draws.
        let draw = |half: u64| near[((half * near.len() as u64) >> 32) as usize];
        let (first, second) = (draw(random >> 32), draw(random & u64::from(u32::MAX)));
        Some(if second.expected_us < first.expected_us {
            *second
        } else {
            *first
        })
    }

    /// Returns the next number of a SplitMix64 generator. Its state advances by a constant, so concurrent calls need
    /// only one atomic addition.
    fn random(&self) -> u64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let state = self.random.fetch_add(STEP, Ordering::Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl CandidateRanking for ExpectedTimePolicy {
    fn rank<'a>(
        &self,
        need: &RouteNeed,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Option<usize> {
        let ranked = self.ranked(need, candidates, Ranked::new);
        self.pick(&ranked).map(|choice| choice.position)
    }
}

impl RoutingPolicy for ExpectedTimePolicy {
    fn choose(&self, need: &RouteNeed, views: &[BackendView], _now: Instant) -> Option<usize> {
        choose_by(self, need, views)
    }

    fn choose_in(&self, need: &RouteNeed, fleet: &FleetSnapshot, now: Instant) -> Option<usize> {
        choose_in_by(self, need, fleet, now)
    }
}

/// How [`ExpectedFinishPolicy`] selects among the ranked servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FinishSelection {
    /// The better of two random servers, drawn in proportion to their paces. Daemons with the same old views then
    /// choose different servers.
    #[default]
    TwoChoices,
    /// The server with the earliest expected finish: join the shortest expected work. It is a baseline.
    Earliest,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChoiceReason {
    /// It was the only one with capacity.
    Only,
    /// It finishes earlier than the other one that was drawn.
    BetterOfTwo,
    /// It finishes earliest.
    Earliest,
}

/// Ranks backend servers by the expected finish of the request: the outstanding work and the request's own cost, by the
/// server's pace.
#[derive(Debug)]
pub struct ExpectedFinishPolicy {
    base: ExpectedTimePolicy,
    selection: FinishSelection,
}

impl ExpectedFinishPolicy {
    /// Creates a policy whose random choices are determined by `seed`.
    pub fn new(prefixes: Arc<PrefixIndex>, seed: u64) -> Self {
        Self::with_selection(prefixes, seed, FinishSelection::default())
    }

    /// Same as [`Self::new`] with another selection.
    pub fn with_selection(
        prefixes: Arc<PrefixIndex>,
        seed: u64,
        selection: FinishSelection,
    ) -> Self {
        Self {
            base: ExpectedTimePolicy::new(prefixes, seed),
            selection,
        }
    }

    fn select(&self, ranked: &[FinishRank]) -> Option<(FinishRank, ChoiceReason)> {
        let earliest = || ranked.iter().min_by_key(|entry| entry.finish_us);
        match (ranked, self.selection) {
            ([], _) => None,
            ([only], _) => Some((*only, ChoiceReason::Only)),
            (_, FinishSelection::Earliest) => {
                earliest().map(|entry| (*entry, ChoiceReason::Earliest))
            }
            (_, FinishSelection::TwoChoices) => {
                Some((self.better_of_two(ranked), ChoiceReason::BetterOfTwo))
            }
        }
    }

    /// Returns the better of two different entries, drawn in proportion to their paces.
    fn better_of_two(&self, ranked: &[FinishRank]) -> FinishRank {
        let total: u64 = ranked.iter().map(|entry| entry.pace_permille).sum();
        let random = self.base.random();
        // The halves of one random number give two draws.
        let first = draw(ranked, total, random >> 32, None);
        let rest = total - ranked[first].pace_permille;
        let second = draw(ranked, rest, random & u64::from(u32::MAX), Some(first));
        let (first, second) = (ranked[first], ranked[second]);
        match second.finish_us < first.finish_us {
            true => second,
            false => first,
        }
    }
}

/// Returns the index of the entry at the fraction `half` / 2^32 of the sum of the paces without that of `skipped`.
fn draw(ranked: &[FinishRank], total: u64, half: u64, skipped: Option<usize>) -> usize {
    let mut left = (half * total) >> 32;
    let entries = ranked.iter().enumerate();
    let mut entries = entries.filter(|(index, _)| Some(*index) != skipped);
    let found = entries.find(|(_, entry)| {
        let is_here = left < entry.pace_permille;
        left = left.saturating_sub(entry.pace_permille);
        is_here
    });
    found.map_or(0, |(index, _)| index)
}

impl CandidateRanking for ExpectedFinishPolicy {
    fn rank<'a>(
        &self,
        need: &RouteNeed,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Option<usize> {
        let ranked = self.base.ranked(need, candidates, FinishRank::new);
        let (choice, reason) = self.select(&ranked)?;
        log::debug!(
            "chose the server at {} of {} for `{}`: {reason:?}, cost {} us of {} us, expected finish in {} us at pace \
             0.001 x {}",
            choice.position,
            ranked.len(),
            need.model,
            choice.cost_us,
            need.cost.after_read(0),
            choice.finish_us,
            choice.pace_permille,
        );
        Some(choice.position)
    }
}

impl RoutingPolicy for ExpectedFinishPolicy {
    fn choose(&self, need: &RouteNeed, views: &[BackendView], _now: Instant) -> Option<usize> {
        choose_by(self, need, views)
    }

    fn choose_in(&self, need: &RouteNeed, fleet: &FleetSnapshot, now: Instant) -> Option<usize> {
        choose_in_by(self, need, fleet, now)
    }

    fn cost_us(&self, need: &RouteNeed, fleet: &FleetSnapshot, position: usize) -> u32 {
        let table = self.base.prefixes.read();
        let holders = table.holders(&need.prefixes);
        need.cost.after_read(holders.held(fleet.hash(position)))
    }
}

fn choose_by(
    ranking: &impl CandidateRanking,
    need: &RouteNeed,
    views: &[BackendView],
) -> Option<usize> {
    let usable = views.iter().enumerate().filter(|(_, view)| is_usable(view));
    let resident = usable.filter(|(_, view)| can_serve(view, need));
    let candidates = resident.map(|(position, view)| Candidate {
        position,
        view,
        name: server_hash(&view.name),
        // Requests that were sent since the report and have ended do not count.
        outstanding: u64::from(view.report.running)
            + u64::from(view.report.waiting)
            + u64::from(view.sent_since_report.min(view.in_flight)),
        own_increase: view.sent_since_report.min(view.in_flight).into(),
        own_work_us: view.load.own_work_us,
    });
    ranking.rank(need, candidates)
}

fn choose_in_by(
    ranking: &impl CandidateRanking,
    need: &RouteNeed,
    fleet: &FleetSnapshot,
    now: Instant,
) -> Option<usize> {
    let mut steps = TrialScopes::of(need, fleet).steps();
    steps.find_map(|(availability, scope)| {
        let candidates = || indexed_candidates(need, fleet, availability, scope, now);
        let choice = ranking.rank(need, candidates())?;
        if can_serve(&fleet.views()[choice], need) {
            return Some(choice);
        }
        // The index is older than the views, so the chosen server may have unloaded an item that others still hold.
        let holders = candidates().filter(|one| can_serve(one.view, need));
        ranking.rank(need, holders)
    })
}

/// Returns the usable servers of an availability and a scope that hold the model and the adapter according to the index.
///
/// An engine refuses a request for an adapter that it does not hold, so such a request waits until the planner has
/// loaded the adapter on a server.
fn indexed_candidates<'a>(
    need: &'a RouteNeed,
    fleet: &'a FleetSnapshot,
    availability: Availability,
    scope: TrialScope,
    now: Instant,
) -> impl Iterator<Item = Candidate<'a>> {
    let model = fleet.model(&need.model, &need.version);
    let adapter = need.adapter.as_ref();
    let with_adapter = adapter.map(|adapter| model.and_then(|model| model.adapters.get(adapter)));
    let servers = model.map_or(&[][..], |model| &model.servers);
    servers.iter().filter_map(move |index| {
        let has_adapter = with_adapter.is_none_or(|servers| {
            servers.is_some_and(|servers| servers.binary_search(index).is_ok())
        });
        if !has_adapter {
            return None;
        }
        let position = *index as usize;
        if !fleet.has_software(position, need) {
            return None;
        }
        let handle = fleet.handle(position);
        if handle.is_leaving()
            || handle.is_suspected()
            || handle.availability_at(now) != availability
        {
            return None;
        }
        let view = &fleet.views()[position];
        if !scope.includes(handle, view.slots) {
            return None;
        }
        let reported = view.report.running.saturating_add(view.report.waiting);
        let others = reported.saturating_sub(handle.own_at_report());
        Some(Candidate {
            position,
            view,
            name: fleet.hash(position),
            outstanding: u64::from(others) + u64::from(handle.in_flight()),
            own_increase: handle
                .in_flight()
                .saturating_sub(handle.own_at_report())
                .into(),
            own_work_us: handle.work_us(),
        })
    })
}

/// Returns the maximum number of outstanding requests of a server.
///
/// The excess over the slots keeps the batch full until the next report arrives. Further requests wait in this daemon,
/// whose queue is fair. Late requests do not fill the batch: the queues of other daemons, which this one does not know,
/// may hold requests that can still be on time. Deferrable requests leave even more while urgent ones are short of servers.
fn dispatch_limit(view: &BackendView, need: &RouteNeed) -> u64 {
    let slots = u64::from(view.slots);
    let reserve_percent = match (need.deferred, need.late) {
        (true, _) => DEFERRED_RESERVE_PERCENT,
        (false, true) => LATE_RESERVE_PERCENT,
        (false, false) => return slots + slots / 8 + 1,
    };
    (slots - slots * reserve_percent / 100).max(1)
}

/// Returns whether this daemon may send one more request to a server.
///
/// Several daemons see the same free capacity until the next report, so each uses only a share of it. Otherwise each
/// daemon alone would fill a free server, and requests would wait in the engine. Capacity that an ended request of this
/// daemon has freed may be used again at once, as no other daemon knows of it.
fn has_capacity(candidate: &Candidate<'_>, need: &RouteNeed) -> bool {
    let limit = dispatch_limit(candidate.view, need);
    let reported = candidate.outstanding.saturating_sub(candidate.own_increase);
    let share = limit.saturating_sub(reported).div_ceil(FREE_SHARE_DIVISOR);
    candidate.outstanding < limit && candidate.own_increase < share.max(1)
}

impl Ranked {
    fn new(need: &RouteNeed, candidate: &Candidate<'_>, holders: &PrefixHolders<'_>) -> Self {
        let view = candidate.view;
        let own_zone = view.zone == need.zone;
        let prefixes = need.prefixes.len().max(1) as u64;
        let held = holders.held(candidate.name) as u64;
        // A prompt whose prefixes are all cached is estimated to need a quarter of the time.
        let prefill = PREFILL_US - PREFILL_US * 3 / 4 * held / prefixes;
        let zone = if own_zone { 0 } else { OTHER_ZONE_US };
        Self {
            position: candidate.position,
            expected_us: prefill + zone + wait_us(view, candidate.outstanding),
            own_zone,
        }
    }
}

/// A server with the expected finish of a request.
#[derive(Clone, Copy)]
struct FinishRank {
    position: usize,
    finish_us: u64,
    /// Work of the request on this server, in microseconds of a server of pace 1.
    cost_us: u32,
    pace_permille: u64,
}

impl FinishRank {
    fn new(need: &RouteNeed, candidate: &Candidate<'_>, holders: &PrefixHolders<'_>) -> Self {
        let view = candidate.view;
        let pace_permille = u64::from(view.load.pace_permille.max(1));
        let cost_us = need.cost.after_read(holders.held(candidate.name));
        let ahead_us = match view.load.peer_work_us {
            Some(peer_work_us) => peer_work_us + candidate.own_work_us,
            None => candidate.outstanding * REQUEST_WORK_US,
        };
        let zone_us = match view.zone == need.zone {
            true => 0,
            false => OTHER_ZONE_US,
        };
        Self {
            position: candidate.position,
            finish_us: (ahead_us + u64::from(cost_us)) * 1_000 / pace_permille + zone_us,
            cost_us,
            pace_permille,
        }
    }
}

/// Estimates the time that a request waits to join the engine's batch, in microseconds.
fn wait_us(view: &BackendView, outstanding: u64) -> u64 {
    let slots = u64::from(view.slots.max(1));
    let token_us = match u64::from(view.report.token_us) {
        0 => DEFAULT_TOKEN_US,
        token_us => token_us,
    };
    // With a free slot, the request joins the batch at its next step. Otherwise it waits until a running one ends.
    let steps = outstanding.min(slots) + SERVICE_TOKENS * (outstanding + 1).saturating_sub(slots);
    token_us * steps / slots
}

fn is_usable(view: &BackendView) -> bool {
    !view.leaving && !view.report.leaving && !view.suspected_down
}

fn holds(view: &BackendView, need: &RouteNeed, adapter: Option<&SmolStr>) -> bool {
    let mut items = view.report.resident.iter();
    items.any(|(item, _)| {
        item.model == need.model && item.version == need.version && item.adapter.as_ref() == adapter
    })
}

fn can_serve(view: &BackendView, need: &RouteNeed) -> bool {
    let adapter = need.adapter.as_ref();
    holds(view, need, None) && (adapter.is_none() || holds(view, need, adapter))
}

/// Baseline that takes the usable servers with the model and the adapter in turn, regardless of load and zone.
#[derive(Debug, Default)]
pub struct RoundRobinPolicy {
    turn: AtomicUsize,
}

impl RoundRobinPolicy {
    /// Creates a policy that starts with the first server.
    pub fn new() -> Self {
        Self::default()
    }

    fn next_usable(&self, count: usize, usable: impl Fn(usize) -> bool) -> Option<usize> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        (0..count)
            .map(|step| (turn.wrapping_add(step)) % count)
            .find(|index| usable(*index))
    }
}

impl RoutingPolicy for RoundRobinPolicy {
    fn choose(&self, need: &RouteNeed, views: &[BackendView], _now: Instant) -> Option<usize> {
        self.next_usable(views.len(), |position| {
            let view = &views[position];
            is_usable(view) && can_serve(view, need) && !need.avoid.contains(&view.name)
        })
    }

    fn choose_in(&self, need: &RouteNeed, fleet: &FleetSnapshot, now: Instant) -> Option<usize> {
        let holders = fleet.holders(&need.model, &need.version);
        let choice = self.next_usable(holders.len(), |index| {
            let position = holders[index] as usize;
            let handle = fleet.handle(position);
            let view = &fleet.views()[position];
            let is_closed = handle.availability_at(now) == Availability::Closed;
            let usable = !handle.is_leaving() && !handle.is_suspected() && !is_closed;
            usable && can_serve(view, need) && !need.avoid.contains(&view.name)
        })?;
        Some(holders[choice] as usize)
    }
}
