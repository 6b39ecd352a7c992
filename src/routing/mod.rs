//! Choice of the backend server for a request.

mod fleet;
mod policy;
mod prefix;

use std::net::SocketAddr;
use std::time::Instant;

use smol_str::SmolStr;

pub(crate) use self::fleet::ReportBaseline;
pub use self::fleet::{DispatchGuard, FleetSnapshot, ServerHandle, UnroutableReason};
pub use self::policy::{ExpectedTimePolicy, RoundRobinPolicy};
pub use self::prefix::PrefixIndex;
use crate::engine::LoadReport;

/// What this daemon knows of one backend server.
#[derive(Clone, Debug)]
pub struct BackendView {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub address: SocketAddr,
    /// Requests that the server batches at once.
    pub slots: u32,
    /// Latest load report and when it arrived.
    pub report: LoadReport,
    pub reported_at: Option<Instant>,
    /// Requests that this daemon has in flight there.
    pub in_flight: u32,
    /// Requests that this daemon sent since the latest report was taken.
    pub sent_since_report: u32,
    /// Whether a call failed recently and no report has arrived since.
    pub suspected_down: bool,
    /// Whether any source says that the server is leaving.
    pub leaving: bool,
}

/// What a request needs from a backend server.
#[derive(Clone, Debug)]
pub struct RouteNeed {
    pub model: SmolStr,
    pub version: SmolStr,
    pub adapter: Option<SmolStr>,
    /// Hashes of the prompt's prefixes, the longest last.
    pub prefixes: Vec<u64>,
    /// Zone of this daemon.
    pub zone: SmolStr,
    /// Servers that already failed this request.
    pub avoid: Vec<SmolStr>,
}

/// Picks a backend server.
pub trait RoutingPolicy: Send + Sync + 'static {
    /// Returns the index of the chosen view, or `None` if no server can take the request now.
    fn choose(&self, need: &RouteNeed, views: &[BackendView], now: Instant) -> Option<usize>;

    /// Like [`RoutingPolicy::choose`] on the views of `fleet`, with its index and its live counters.
    fn choose_in(&self, need: &RouteNeed, fleet: &FleetSnapshot, now: Instant) -> Option<usize>;
}
