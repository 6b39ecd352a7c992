//! The edge, that is the part that accepts callers' requests, for opaque requests: a daemon reads only the metadata in
//! the headers of a request and forwards its body, which it does not interpret, unchanged.
//!
//! [`ServingConfig`] is the operators' configuration, [`RelayFleet`] the view of the backend servers. A
//! [`RelayDispatcher`] turns a request into a [`RelayExchange`], which the
//! [`RequestCore`](crate::dispatch::RequestCore) runs on one backend server after another until one answers. The
//! traits [`RelayFormat`] and [`RecordStore`] hide the platform's header names and record formats.

mod absent;
mod announcements;
mod answer_memory;
mod answer_times;
mod config;
mod config_copy;
mod copies;
mod crash;
mod crash_watch;
mod demand_log;
mod dispatcher;
mod engine_state;
mod engines;
mod evacuation;
mod events;
mod exchange;
mod fleet;
mod follower;
mod format;
mod head_limit;
mod identity;
mod keeper;
mod layout;
mod lease;
mod load_budget;
mod matching;
mod origins;
mod planner;
mod planner_state;
mod probes;
mod prompt;
mod pulse;
mod read_counts;
mod readers;
mod refusing;
mod registry;
mod request;
mod resumption;
mod server;
mod server_list;
mod start_gate;
mod store;
mod stream_origins;
mod trace;
mod upstream;
mod version_history;

pub use self::absent::AbsentModels;
pub use self::answer_memory::AnswerMemory;
pub use self::answer_times::AnswerTimes;
pub use self::config::{
    CallKind, EngineConfig, ModelConfig, RouteConfig, ServiceConfig, ServingConfig, TeamConfig,
};
pub use self::config_copy::{
    CompressedConfig, ConfigAssembler, ConfigChunk, ConfigId, ConfigRequest,
};
pub use self::copies::{CopyTables, follow_configs, follow_copies};
pub use self::crash::CrashDetector;
pub use self::crash_watch::{BrokenAttempt, CrashWatch};
pub use self::demand_log::{DemandLog, PeriodId};
pub use self::dispatcher::{
    ConfigReceiver, RelayAnswer, RelayBody, RelayContext, RelayDispatcher, RequestAttribution,
    RetryLimits,
};
pub use self::engines::{
    EngineControl, EngineReport, LoadItem, OrderAnswer, OrderContext, PlacementChange,
    PlacementRequest, ReplicaOrder,
};
pub use self::evacuation::{EvacuationTable, ZoneNotice};
pub use self::events::{EventSplitter, StreamEvent};
pub(crate) use self::exchange::QUARANTINE_TIME;
pub use self::exchange::RelayExchange;
pub use self::fleet::{
    EvacuatedZone, EvacuationSink, RelayFleet, ServerProbe, StandingCounts, routing_name,
};
pub use self::follower::{
    FollowPace, PairSink, TableChange, TableSink, follow_table, spawn_reader,
};
pub use self::format::{
    AnswerKind, PromptPart, RelayFormat, RequestMetadata, ServerNotice, UpstreamMetadata,
};
pub use self::head_limit::HeadLimit;
pub use self::identity::{AddressClaim, IdentityTable};
pub use self::keeper::{ConfigDecoder, ConfigHolder, ServerDecoder, ServerSink, SkipMetrics};
pub use self::layout::{LayoutEngine, LayoutModel, LayoutMove, LayoutPolicy};
pub use self::lease::{
    LeaseCandidate, LeaseManager, LeaseRecord, LeaseState, LeaseStep, LeaseStore, LeaseWrite,
    WriteAnswer,
};
pub use self::load_budget::{LoadBudget, LoadCeiling, OrderKey};
pub use self::origins::{KnownOrigin, OriginKey, OriginNotice, OriginTable, StreamId, holders};
pub use self::planner::{PlannerContext, ReplicaPlanner};
pub use self::probes::spawn_probes;
pub use self::pulse::{Pulse, PulseHandler, spawn_pulses};
pub use self::read_counts::{ReadCause, ReadCounts, ReadLabels};
pub use self::readers::{
    CopyRequest, CopySource, FetchHistory, ReaderElection, SourceFailures, StoreHealth, TableCopy,
};
pub use self::refusing::{ProbeOutcome, RefusalReport, RefusalTable};
pub use self::registry::{
    DaemonRecord, DaemonRegistry, Registration, RegistryCopy, RegistrySettings,
};
pub use self::request::{RelayPiece, ResponseHead};
pub use self::server::{RelayServer, bind_readiness};
pub use self::server_list::{HeldModel, ListPosition, ServerChange, ServerDelta, ServerEntry};
pub use self::start_gate::{ConfigKnowledge, StartGate};
pub use self::store::{KeyedRecord, RecordStore, StoreTable, TableRead};
pub use self::stream_origins::{OriginQuestion, StreamOrigins, StreamStart};
pub use self::upstream::{SendError, UpstreamAnswer, UpstreamPool};
pub use self::version_history::{DatedReport, VersionHistory, VersionNotice, VersionReport};
