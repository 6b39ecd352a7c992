//! Change records on the `config` stream.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::catalog::{
    AdapterSpec, BackendSpec, FleetPolicy, KeySpec, ModelSpec, OperatorSpec, RouteSpec, TeamSpec,
    VersionSpec,
};
use crate::ids::RecordId;

/// Revision of an entity: one more than the offset of the record that last changed it; 0 if it does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Kinds of declared things.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntityKind {
    Model,
    Version,
    Adapter,
    Team,
    Key,
    Operator,
    Route,
    Backend,
    Policy,
}

/// Name of a declared thing, unique within its kind. A version is named `model@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntityName {
    pub kind: EntityKind,
    pub name: SmolStr,
}

/// One change to one entity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntityChange {
    PutModel(ModelSpec),
    PutVersion(VersionSpec),
    PutAdapter(AdapterSpec),
    PutTeam(TeamSpec),
    PutKey(KeySpec),
    PutOperator(OperatorSpec),
    PutRoute(RouteSpec),
    PutBackend(BackendSpec),
    PutPolicy(FleetPolicy),
    /// Retires a model, version, adapter, team, route or backend server, or withdraws a key or an operator.
    Retire(EntityName),
}

/// A change with the revision that it starts from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCommand {
    /// Drawn by the daemon or given by the operator; a repeated command is applied once.
    pub id: RecordId,
    /// Revision that the operator saw; `Revision(0)` creates.
    pub base: Revision,
    /// Name of the operator.
    pub author: SmolStr,
    pub change: EntityChange,
}
