//! Routing policies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use smol_str::SmolStr;

use crate::routing::prefix::{PrefixHolders, ServerHash, server_hash};
use crate::routing::{BackendView, FleetSnapshot, PrefixIndex, RouteNeed, RoutingPolicy};

/// Computing a prompt of usual length without a cached prefix, in microseconds.
const PREFILL_US: u64 = 40_000;
/// Round trip between zones, 1.5 ms one way, in microseconds.
const OTHER_ZONE_US: u64 = 3_000;
/// Time between two tokens of an engine that has not reported one yet, in microseconds.
const DEFAULT_TOKEN_US: u64 = 20_000;
/// Tokens that a running request generates until it frees its slot.
const SERVICE_TOKENS: u64 = 128;
/// Part of a server's free places that one daemon takes between two load reports, as a divisor. Daemons choose
/// among several servers, so that two of them seldom take their parts of the same one at a time.
const FREE_SHARE_DIVISOR: u64 = 2;
/// Candidates whose expected time exceeds the best by up to an eighth and this are near-equal: the lag of load
/// reports hides smaller differences.
const NEAR_EQUAL_US: u64 = 500;

/// A usable server and what its ranking depends on.
struct Candidate<'a> {
    position: usize,
    view: &'a BackendView,
    name: ServerHash,
    /// Requests on the server, own and others'.
    outstanding: u64,
    /// Requests by which this daemon's own ones grew since the latest report.
    own_increase: u64,
}

#[derive(Clone, Copy)]
struct Ranked {
    position: usize,
    expected_us: u64,
    own_zone: bool,
}

/// Ranks backend servers by expected time to the first token.
#[derive(Debug)]
pub struct ExpectedTimePolicy {
    prefixes: Arc<PrefixIndex>,
    random: AtomicU64,
}

impl ExpectedTimePolicy {
    /// Creates a policy; `seed` determines its random choices.
    pub fn new(prefixes: Arc<PrefixIndex>, seed: u64) -> Self {
        Self {
            prefixes,
            random: AtomicU64::new(seed),
        }
    }

    fn rank<'a>(
        &self,
        need: &RouteNeed,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Option<usize> {
        let table = self.prefixes.read();
        let holders = table.holders(&need.prefixes);
        let ranked: Vec<_> = candidates
            .filter(|candidate| has_capacity(candidate))
            .filter(|candidate| !need.avoid.contains(&candidate.view.name))
            .map(|candidate| Ranked::new(need, &candidate, &holders))
            .collect();
        drop(table);
        self.pick(&ranked).map(|choice| choice.position)
    }

    /// Takes the better of two random choices among those nearly as good as the best.
    fn pick(&self, ranked: &[Ranked]) -> Option<Ranked> {
        let best = *ranked.iter().min_by_key(|entry| entry.expected_us)?;
        let limit = best.expected_us + best.expected_us / 8 + NEAR_EQUAL_US;
        let is_near =
            |entry: &&Ranked| entry.expected_us <= limit && (entry.own_zone || !best.own_zone);
        let near: Vec<_> = ranked.iter().filter(is_near).collect();
        let random = self.random();
        // Two halves of one random number make two draws.
        let draw = |half: u64| near[((half * near.len() as u64) >> 32) as usize];
        let (first, second) = (draw(random >> 32), draw(random & u64::from(u32::MAX)));
        Some(if second.expected_us < first.expected_us {
            *second
        } else {
            *first
        })
    }

    /// SplitMix64: the state advances by a constant, so that concurrent calls need one atomic addition.
    fn random(&self) -> u64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let state = self.random.fetch_add(STEP, Ordering::Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl RoutingPolicy for ExpectedTimePolicy {
    fn choose(&self, need: &RouteNeed, views: &[BackendView], _now: Instant) -> Option<usize> {
        let usable = views.iter().enumerate().filter(|(_, view)| is_usable(view));
        let resident = usable.filter(|(_, view)| can_serve(view, need));
        let candidates = resident.map(|(position, view)| Candidate {
            position,
            view,
            name: server_hash(&view.name),
            // What was sent since the report and has ended again no longer counts.
            outstanding: u64::from(view.report.running)
                + u64::from(view.report.waiting)
                + u64::from(view.sent_since_report.min(view.in_flight)),
            own_increase: view.sent_since_report.min(view.in_flight).into(),
        });
        self.rank(need, candidates)
    }

    fn choose_in(&self, need: &RouteNeed, fleet: &FleetSnapshot, _now: Instant) -> Option<usize> {
        let choice = self.rank(need, indexed_candidates(need, fleet))?;
        if can_serve(&fleet.views()[choice], need) {
            return Some(choice);
        }
        // The index is older than the views: another server may hold the items still.
        let holders = indexed_candidates(need, fleet).filter(|one| can_serve(one.view, need));
        self.rank(need, holders)
    }
}

/// Returns the usable servers that hold the model and the adapter according to the index. An engine refuses a
/// request whose adapter it does not hold, so the request waits until the planner has loaded it somewhere.
fn indexed_candidates<'a>(
    need: &'a RouteNeed,
    fleet: &'a FleetSnapshot,
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
        let handle = fleet.handle(position);
        if handle.is_leaving() || handle.is_suspected() {
            return None;
        }
        let view = &fleet.views()[position];
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
        })
    })
}

/// Requests up to which a server gets more. The excess over the slots keeps the batch full while a report is on
/// its way; the rest waits here, where the order is fair.
fn dispatch_limit(view: &BackendView) -> u64 {
    let slots = u64::from(view.slots);
    slots + slots / 8 + 1
}

/// Returns whether a server gets one more request from this daemon.
///
/// Several daemons see the same free places until the next report, so each takes a part of them only. Otherwise
/// every daemon fills a free server by itself and requests wait inside the engine. A place that an own request
/// has left may be filled at once: no other daemon knows of it.
fn has_capacity(candidate: &Candidate<'_>) -> bool {
    let limit = dispatch_limit(candidate.view);
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
        let prefill = PREFILL_US - PREFILL_US * 3 / 4 * held / prefixes;
        let zone = if own_zone { 0 } else { OTHER_ZONE_US };
        Self {
            position: candidate.position,
            expected_us: prefill + zone + wait_us(view, candidate.outstanding),
            own_zone,
        }
    }
}

/// Estimates how long a request waits for the engine's batch, in microseconds.
fn wait_us(view: &BackendView, outstanding: u64) -> u64 {
    let slots = u64::from(view.slots.max(1));
    let token_us = match u64::from(view.report.token_us) {
        0 => DEFAULT_TOKEN_US,
        token_us => token_us,
    };
    // A free slot joins the batch at its next step; without one, the request waits for a running one to end.
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

/// The naive policy: each usable server that holds the model and the adapter in turn, without regard to load or zone.
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

    fn choose_in(&self, need: &RouteNeed, fleet: &FleetSnapshot, _now: Instant) -> Option<usize> {
        let holders = fleet.holders(&need.model, &need.version);
        let choice = self.next_usable(holders.len(), |index| {
            let position = holders[index] as usize;
            let handle = fleet.handle(position);
            let view = &fleet.views()[position];
            let usable = !handle.is_leaving() && !handle.is_suspected();
            usable && can_serve(view, need) && !need.avoid.contains(&view.name)
        })?;
        Some(holders[choice] as usize)
    }
}
