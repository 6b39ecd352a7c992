//! Declared state of the fleet and the pure function that applies operator changes to it.

mod apply;
mod arena;
mod change;
mod lookup;
mod rules;
mod spec;

pub use self::apply::{
    AppliedCommand, ApplyVerdict, BOOTSTRAP_AUTHOR, COMMAND_WINDOW, FleetCatalog,
};
pub use self::arena::Declared;
pub(crate) use self::arena::digests_match;
pub use self::change::{
    ChangeCommand, EntityChange, EntityKind, EntityName, POLICY_NAME, Revision,
};
pub use self::lookup::ListedEntity;
pub use self::rules::{MAX_AMOUNT, MAX_DURATION, MAX_NAME_BYTES, MAX_PREFIX_BYTES};
pub use self::spec::{
    AdapterSpec, BackendKind, BackendSpec, FleetPolicy, KeySpec, ModelSpec, OperatorSpec,
    RequestClass, RouteSpec, RouteTarget, TeamSpec, VersionSpec,
};
