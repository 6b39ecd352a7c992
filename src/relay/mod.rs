//! The edge for opaque requests: a daemon reads metadata from the headers of a request and forwards its body unchanged.
//!
//! [`ServingPlan`] is the operators' configuration, [`RelayFleet`] the view of the backend servers. A
//! [`RelayDispatcher`] turns a request into a [`RelayExchange`], which the
//! [`RequestCore`](crate::dispatch::RequestCore) runs on one backend server after another until one answers. The
//! traits [`RelayFormat`] and [`RecordStore`] hide the platform's header names and record formats.

mod absent;
mod copies;
mod crash;
mod dispatcher;
mod engine_state;
mod engines;
mod events;
mod exchange;
mod fleet;
mod follower;
mod format;
mod keeper;
mod layout;
mod lease;
mod listing;
mod plan;
mod plan_copy;
mod planner;
mod pulse;
mod readers;
mod registry;
mod server;
mod store;
mod trace;
mod upstream;

pub use self::absent::AbsentModels;
pub use self::copies::{CopyTables, follow_copies, follow_plans};
pub use self::crash::CrashDetector;
pub use self::dispatcher::{
    PlanReceiver, RelayAnswer, RelayBody, RelayContext, RelayDispatcher, RequestAttribution,
    RetryLimits,
};
pub use self::engines::{
    EngineControl, EngineReport, LoadItem, OrderAnswer, OrderTicket, PlaceWish, Placement,
    ReplicaOrder,
};
pub use self::events::{EventSplitter, StreamEvent};
pub(crate) use self::exchange::QUARANTINE_TIME;
pub use self::exchange::{RelayExchange, RelayPiece, ResponseHead};
pub use self::fleet::{RelayFleet, holding};
pub use self::follower::{FollowPace, TableChange, TableSink, follow_table};
pub use self::format::{AnswerKind, PromptPart, RelayFormat, RequestMetadata, UpstreamMetadata};
pub use self::keeper::{PlanDecoder, PlanKeeper, ServerDecoder, ServerKeeper};
pub use self::layout::{LayoutEngine, LayoutModel, LayoutMove, LayoutPolicy};
pub use self::lease::{LeaseKeeper, LeaseRecord, LeaseState, LeaseStep, LeaseStore, LeaseTerm};
pub use self::listing::{HeldModel, ServerChange, ServerDelta, ServerEntry};
pub use self::plan::{
    CallKind, EnginePlan, ModelPlan, RoutePlan, ServicePlan, ServingPlan, TeamPlan,
};
pub use self::plan_copy::{PackedPlan, PlanAssembly, PlanChunk, PlanMark, PlanRequest};
pub use self::planner::{PlannerParts, ReplicaPlanner};
pub use self::pulse::{Pulse, PulseHandler, spawn_pulses};
pub use self::readers::{
    CopyRequest, CopySource, FetchMemory, ReaderElection, SourceFailures, StoreHealth, TableCopy,
};
pub use self::registry::{DaemonRecord, DaemonRegistry, RegistrySettings};
pub use self::server::{RelayServer, bind_readiness};
pub use self::store::{KeyedRecord, RecordStore, StoreTable, TableRead};
pub use self::upstream::{UpstreamAnswer, UpstreamPool};
