//! Selection of the backend server for a request.

mod cold;
mod cost;
mod fleet;
mod pace;
mod policy;
mod prefix;
mod trials;

use std::net::SocketAddr;
use std::time::Instant;

use smol_str::SmolStr;

pub use self::cold::{ColdBound, ColdGate, divide_requests};
pub use self::cost::{
    OutputTable, ReadParts, RequestCost, RequestKind, RequestShape, decode_work, encode_work,
    part_prefixes, request_cost,
};
pub(crate) use self::fleet::ReportBaseline;
pub use self::fleet::{
    Availability, DispatchGuard, FleetSnapshot, ServerHandle, ServerStanding, UnroutableReason,
};
pub use self::pace::{MAX_PACE, MIN_PACE, PaceTable, TimingKey, TimingKind};
pub use self::policy::{
    ExpectedFinishPolicy, ExpectedTimePolicy, FinishSelection, RoundRobinPolicy,
};
pub use self::prefix::PrefixIndex;
use crate::engine::LoadReport;

/// State of one backend server as known to this daemon.
#[derive(Clone, Debug)]
pub struct BackendView {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub address: SocketAddr,
    /// Version of the server's software, which is another matter than that of the weights it holds; empty if it is not
    /// known.
    pub software: SmolStr,
    /// Maximum number of requests in the server's batch.
    pub slots: u32,
    /// Latest load report. The relay gets no load reports: there, `running` holds the requests that peers have in
    /// flight on the server, and `token_us` is a constant, which only
    /// [`ExpectedTimePolicy`] uses.
    pub report: LoadReport,
    /// Time at which the latest load report arrived.
    pub reported_at: Option<Instant>,
    /// Requests that this daemon has in flight there.
    pub in_flight: u32,
    /// Requests that this daemon sent since the latest report was requested.
    pub sent_since_report: u32,
    /// Whether a call failed recently and no report has arrived since.
    pub suspected_down: bool,
    /// Whether any source says that the server is leaving.
    pub leaving: bool,
    /// Pace and outstanding work.
    pub load: ServerLoad,
}

/// Pace and outstanding work of a server, where they are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Pace relative to the service, in thousandths.
    pub pace_permille: u32,
    /// Work of this daemon's requests when the view was built, in microseconds of a server of pace 1.
    pub own_work_us: u64,
    /// Work of the requests of peers, as last reported; `None` if they report none.
    pub peer_work_us: Option<u64>,
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            pace_permille: 1_000,
            own_work_us: 0,
            peer_work_us: None,
        }
    }
}

/// Requirements of a request for its backend server.
#[derive(Clone, Debug, Default)]
pub struct RouteNeed {
    /// Name by which routing finds the servers: the model or, in the relay, `service/model`, or the service alone if
    /// the request names no model.
    pub model: SmolStr,
    pub version: SmolStr,
    pub adapter: Option<SmolStr>,
    /// Hashes of the prompt's prefixes, the longest last.
    pub prefixes: Vec<u64>,
    /// Zone of this daemon.
    pub zone: SmolStr,
    /// Software version of the only servers that may take the request; `None` for any.
    pub software: Option<SmolStr>,
    /// Servers on which this request already failed.
    pub avoid: Vec<SmolStr>,
    /// Whether the answer will be late. Such a request takes only places that others do not need.
    pub late: bool,
    /// Estimated cost; zero if it is not known.
    pub cost: RequestCost,
    /// Whether the request is deferrable and urgent ones of its service are short of servers. Such a request leaves more
    /// places to others than a late one does.
    pub deferred: bool,
    /// Whether the request may be sent to a server that has not answered yet.
    pub trial: TrialRule,
}

/// Whether a request may be sent to a server of which only its record is known, while the model has others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrialRule {
    /// As to any other, within the few requests that such a server gets at a time.
    #[default]
    Allowed,
    /// Only if no other can take it, as it cannot be repeated.
    LastResort,
    /// Not while another may be used, as the request has failed once.
    Never,
}

impl TrialRule {
    /// Returns the rule of a request that has not been sent.
    pub fn of(is_repeatable: bool) -> Self {
        match is_repeatable {
            true => Self::Allowed,
            false => Self::LastResort,
        }
    }
}

/// Chooses a backend server for each request.
pub trait RoutingPolicy: Send + Sync + 'static {
    /// Returns the index of the chosen view, or `None` if no server can take the request now.
    fn choose(&self, need: &RouteNeed, views: &[BackendView], now: Instant) -> Option<usize>;

    /// Same as [`RoutingPolicy::choose`] on the views of `fleet`, but uses its index and live counters.
    fn choose_in(&self, need: &RouteNeed, fleet: &FleetSnapshot, now: Instant) -> Option<usize>;

    /// Returns the work of a request on the server at `position`, in microseconds of a server of pace 1.
    fn cost_us(&self, need: &RouteNeed, _fleet: &FleetSnapshot, _position: usize) -> u32 {
        need.cost.after_read(0)
    }
}
