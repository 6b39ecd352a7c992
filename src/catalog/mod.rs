//! Declared state of the fleet and the pure function that applies operator changes to it.

mod apply;
mod change;
mod spec;

pub use self::apply::{ApplyVerdict, FleetCatalog};
pub use self::change::{ChangeCommand, EntityChange, EntityKind, EntityName, Revision};
pub use self::spec::{
    AdapterSpec, BackendKind, BackendSpec, FleetPolicy, KeySpec, ModelSpec, OperatorSpec,
    RequestClass, RouteSpec, RouteTarget, TeamSpec, VersionSpec,
};
