//! Concrete types of a daemon's services, and the sets of policies with which it can run.

use std::sync::Arc;

use crate::claim::ClaimService;
use crate::daemon::CoreServices;
use crate::daemon::facts::DaemonFacts;
use crate::dispatch::{DispatchParts, FleetSource, Waiter};
use crate::engine::{HttpEngine, HttpService};
use crate::inventory::{HttpVmList, VmList};
use crate::journal::HttpJournal;
use crate::kernel::TaskGroup;
use crate::ledger::LedgerTiming;
use crate::limit::{EvenSplitLimiter, LimitService};
use crate::member::MemberService;
use crate::peer::PeerClient;
use crate::placement::{GreedyPolicy, LruPolicy, OrderService, OrderSettings, PlacementPolicy};
use crate::queue::{FifoQueue, WaitQueue};
use crate::replica::CatalogReplica;
use crate::routing::{
    ExpectedFinishPolicy, ExpectedTimePolicy, FleetSnapshot, PrefixIndex, RoundRobinPolicy,
};
use crate::settings::DaemonSettings;
use crate::watch::FleetWatch;

pub(super) type Replica = CatalogReplica<HttpJournal>;
pub(super) type Limits = LimitService<PeerClient>;
pub(super) type Members = MemberService<HttpJournal, HttpVmList, PeerClient>;
pub(super) type Claims = ClaimService<HttpJournal>;
pub(super) type Engine = HttpEngine;
pub(super) type Watch = FleetWatch<HttpEngine, HttpVmList>;

/// A set of policies for routing, waiting and placement.
pub trait PolicyParts:
    DispatchParts<
        Engine = HttpEngine,
        Service = HttpService,
        Claims = ClaimService<HttpJournal>,
        Fleet = Arc<FleetWatch<HttpEngine, HttpVmList>>,
    >
{
    type Placement: PlacementPolicy;

    /// Creates the routing policy.
    fn routing(prefixes: Arc<PrefixIndex>) -> Self::Routing;

    /// Creates the queue of one model.
    fn queue(capacity: usize) -> Self::Queue;

    /// Creates the placement policy.
    fn placement() -> Self::Placement;

    /// Returns the limiter that charges requests; `limits` holds the shares.
    fn limiter(limits: &Arc<LimitService<PeerClient>>) -> Arc<Self::Limiter>;
}

/// The policies used in production.
#[derive(Clone, Copy, Debug)]
pub struct StandardParts;

/// Simple policies as a baseline for measurements: round-robin routing, first-come-first-served queues, and loading on
/// demand with eviction of the least recently used model.
#[derive(Clone, Copy, Debug)]
pub struct NaiveParts;

/// The standard policies, except that rate limits are split evenly and tokens never lent: the baseline for rate limits.
#[derive(Clone, Copy, Debug)]
pub struct EvenSplitParts;

/// The standard policies, except that requests are routed by expected finish, as the relay does.
#[derive(Clone, Copy, Debug)]
pub struct FinishParts;

/// Defines the associated types that all sets share.
macro_rules! fixed_parts {
    () => {
        type Engine = HttpEngine;
        type Service = HttpService;
        type Claims = ClaimService<HttpJournal>;
        type Fleet = Arc<FleetWatch<HttpEngine, HttpVmList>>;
    };
}

impl DispatchParts for StandardParts {
    fixed_parts!();
    type Limiter = LimitService<PeerClient>;
    type Routing = ExpectedTimePolicy;
    type Queue = WaitQueue<Waiter>;
}

impl PolicyParts for StandardParts {
    type Placement = GreedyPolicy;

    fn routing(prefixes: Arc<PrefixIndex>) -> Self::Routing {
        ExpectedTimePolicy::new(prefixes, rand::random())
    }

    fn queue(capacity: usize) -> Self::Queue {
        WaitQueue::new(capacity)
    }

    fn placement() -> Self::Placement {
        GreedyPolicy::default()
    }

    fn limiter(limits: &Arc<LimitService<PeerClient>>) -> Arc<Self::Limiter> {
        limits.clone()
    }
}

impl DispatchParts for EvenSplitParts {
    fixed_parts!();
    type Limiter = EvenSplitLimiter;
    type Routing = ExpectedTimePolicy;
    type Queue = WaitQueue<Waiter>;
}

impl PolicyParts for EvenSplitParts {
    type Placement = GreedyPolicy;

    fn routing(prefixes: Arc<PrefixIndex>) -> Self::Routing {
        StandardParts::routing(prefixes)
    }

    fn queue(capacity: usize) -> Self::Queue {
        StandardParts::queue(capacity)
    }

    fn placement() -> Self::Placement {
        StandardParts::placement()
    }

    fn limiter(limits: &Arc<LimitService<PeerClient>>) -> Arc<Self::Limiter> {
        Arc::new(limits.without_loans())
    }
}

impl DispatchParts for FinishParts {
    fixed_parts!();
    type Limiter = LimitService<PeerClient>;
    type Routing = ExpectedFinishPolicy;
    type Queue = WaitQueue<Waiter>;
}

impl PolicyParts for FinishParts {
    type Placement = GreedyPolicy;

    fn routing(prefixes: Arc<PrefixIndex>) -> Self::Routing {
        ExpectedFinishPolicy::new(prefixes, rand::random())
    }

    fn queue(capacity: usize) -> Self::Queue {
        StandardParts::queue(capacity)
    }

    fn placement() -> Self::Placement {
        StandardParts::placement()
    }

    fn limiter(limits: &Arc<LimitService<PeerClient>>) -> Arc<Self::Limiter> {
        limits.clone()
    }
}

impl DispatchParts for NaiveParts {
    fixed_parts!();
    type Limiter = LimitService<PeerClient>;
    type Routing = RoundRobinPolicy;
    type Queue = FifoQueue<Waiter>;
}

impl PolicyParts for NaiveParts {
    type Placement = LruPolicy;

    fn routing(_prefixes: Arc<PrefixIndex>) -> Self::Routing {
        RoundRobinPolicy::new()
    }

    fn queue(capacity: usize) -> Self::Queue {
        FifoQueue::new(capacity)
    }

    fn placement() -> Self::Placement {
        LruPolicy::default()
    }

    fn limiter(limits: &Arc<LimitService<PeerClient>>) -> Arc<Self::Limiter> {
        limits.clone()
    }
}

impl<V: VmList> FleetSource for Arc<FleetWatch<HttpEngine, V>> {
    fn snapshot(&self) -> Arc<FleetSnapshot> {
        FleetWatch::snapshot(self)
    }

    fn call_failed(&self, server: &str) {
        FleetWatch::call_failed(self, server);
    }
}

pub(super) type Orders = OrderService<HttpJournal, HttpEngine>;

/// Starts the order service with the placement policy of `P`.
pub(super) fn spawn_orders<P: PolicyParts>(
    settings: &DaemonSettings,
    group: &TaskGroup,
    core: &CoreServices,
) -> Arc<Orders> {
    let facts = Arc::new(DaemonFacts {
        zone: settings.zone.clone(),
        replica: core.replica.clone(),
        watch: core.watch.clone(),
        members: core.members.clone(),
        demand: core.demand.clone(),
    });
    let order_delay = core.replica.current().policy().order_delay;
    let order_settings = OrderSettings {
        timing: LedgerTiming {
            order_delay,
            ..LedgerTiming::default()
        },
        ..OrderSettings::default()
    };
    Arc::new(OrderService::spawn(
        core.journal.clone(),
        core.engine.clone(),
        facts.clone(),
        facts,
        P::placement(),
        order_settings,
        &core.timer,
        group,
    ))
}
