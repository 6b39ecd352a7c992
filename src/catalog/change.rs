//! Change records on the `config` stream.

use std::fmt;
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::catalog::{
    AdapterSpec, BackendSpec, FleetPolicy, KeySpec, ModelSpec, OperatorSpec, RouteSpec, TeamSpec,
    VersionSpec,
};
use crate::error::{Category, Error, Result};
use crate::ids::{KeyDigest, RecordId};

/// Version of the encoding of a change record; the first byte of each.
const RECORD_FORMAT: u8 = 1;

/// Formats that later versions may use. A daemon that meets one stops following the stream: if it passed over the
/// record, its state would differ from that of newer daemons.
const LATER_FORMATS: RangeInclusive<u8> = 2..=15;

/// Longest change record, in bytes. A reader refuses longer ones before it allocates memory for them.
const MAX_RECORD_BYTES: usize = 64 * 1_024;

/// Name of the only policy.
pub const POLICY_NAME: &str = "policy";

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

impl EntityKind {
    /// All kinds, in the order in which a declaration can be applied.
    pub const ALL: [Self; 9] = [
        Self::Policy,
        Self::Operator,
        Self::Team,
        Self::Model,
        Self::Version,
        Self::Adapter,
        Self::Key,
        Self::Route,
        Self::Backend,
    ];

    /// Returns the name used on the command line and in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Version => "version",
            Self::Adapter => "adapter",
            Self::Team => "team",
            Self::Key => "key",
            Self::Operator => "operator",
            Self::Route => "route",
            Self::Backend => "backend",
            Self::Policy => "policy",
        }
    }

    /// Parses the name that [`Self::as_str`] returns.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}

impl EntityName {
    /// Names an entity.
    pub fn new(kind: EntityKind, name: impl Into<SmolStr>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for EntityName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.kind.as_str(), self.name)
    }
}

impl VersionSpec {
    /// Returns `model@version`, the name under which the version is declared.
    pub fn full_name(&self) -> SmolStr {
        smol_str::format_smolstr!("{}@{}", self.model, self.version)
    }
}

impl EntityChange {
    /// Returns the entity that the change is about. The policy's name is [`POLICY_NAME`].
    pub fn target(&self) -> EntityName {
        match self {
            Self::PutModel(spec) => EntityName::new(EntityKind::Model, spec.name.clone()),
            Self::PutVersion(spec) => EntityName::new(EntityKind::Version, spec.full_name()),
            Self::PutAdapter(spec) => EntityName::new(EntityKind::Adapter, spec.name.clone()),
            Self::PutTeam(spec) => EntityName::new(EntityKind::Team, spec.name.clone()),
            Self::PutKey(spec) => EntityName::new(EntityKind::Key, spec.name.clone()),
            Self::PutOperator(spec) => EntityName::new(EntityKind::Operator, spec.name.clone()),
            Self::PutRoute(spec) => EntityName::new(EntityKind::Route, spec.name.clone()),
            Self::PutBackend(spec) => EntityName::new(EntityKind::Backend, spec.name.clone()),
            Self::PutPolicy(_) => EntityName::new(EntityKind::Policy, POLICY_NAME),
            Self::Retire(target) => target.clone(),
        }
    }
}

impl ChangeCommand {
    /// Encodes the command as a record of the `config` stream.
    ///
    /// # Errors
    ///
    /// Fails with `Invalid` if the record would be longer than a reader accepts.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut record = vec![RECORD_FORMAT];
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|cause| Error::internal(format!("cannot encode a change record: {cause}")))?;
        record.extend(body);
        if record.len() > MAX_RECORD_BYTES {
            return Err(Error::invalid(format!(
                "change record is over {MAX_RECORD_BYTES} bytes"
            )));
        }
        Ok(record)
    }

    /// Decodes a record of the `config` stream.
    ///
    /// # Errors
    ///
    /// Fails with `Unavailable` if the record has the format of a later version, and with `Protocol` if the data is
    /// not exactly one change record; every version agrees on the latter.
    pub fn decode(record: &[u8]) -> Result<Self> {
        let malformed = |cause: String| {
            Error::new(
                Category::Protocol,
                format!("malformed change record: {cause}"),
            )
        };
        let body = match record.split_first() {
            Some((&RECORD_FORMAT, body)) => body,
            Some((format, _)) if LATER_FORMATS.contains(format) => {
                return Err(Error::unavailable(format!(
                    "change record has format {format} of a later version"
                )));
            }
            _ => return Err(malformed("unknown format".into())),
        };
        let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
        let (command, length) = bincode::serde::decode_from_slice(body, config)
            .map_err(|cause| malformed(cause.to_string()))?;
        if length != body.len() {
            return Err(malformed(format!("{} bytes left", body.len() - length)));
        }
        Ok(command)
    }

    /// Returns a digest of base and change, by which a reused command id is recognised.
    pub fn digest(&self) -> KeyDigest {
        let content = (self.base, &self.change);
        let encoded = bincode::serde::encode_to_vec(content, bincode::config::standard());
        // Encoding fails only for types that the commands do not contain.
        KeyDigest::of(&encoded.unwrap_or_default())
    }
}
