//! JSON form of entities: digests as hexadecimal text, durations in milliseconds.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use smol_str::SmolStr;

use crate::catalog::{
    AdapterSpec, BackendSpec, EntityChange, EntityKind, FleetPolicy, KeySpec, ModelSpec,
    OperatorSpec, RouteSpec, TeamSpec, VersionSpec,
};
use crate::declaration::DeclaredItem;
use crate::declaration::position::SectionPositions;
use crate::error::{Error, Result};
use crate::ids::KeyDigest;

/// A digest as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug)]
struct HexDigest(KeyDigest);

impl Serialize for HexDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for HexDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let digest = KeyDigest::from_hex(&text);
        digest
            .map(Self)
            .ok_or_else(|| serde::de::Error::custom("digest is not 64 hexadecimal digits"))
    }
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyForm {
    name: SmolStr,
    team: SmolStr,
    digest: HexDigest,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorForm {
    name: SmolStr,
    digest: HexDigest,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PolicyForm {
    key_grace_ms: u64,
    quarantine_ms: u64,
    order_delay_ms: u64,
    loads_per_s_milli: u32,
    loads_in_flight: u32,
    adapters_in_flight: u32,
}

impl Default for PolicyForm {
    fn default() -> Self {
        Self::from(&FleetPolicy::default())
    }
}

impl From<&FleetPolicy> for PolicyForm {
    fn from(policy: &FleetPolicy) -> Self {
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self {
            key_grace_ms: millis(policy.key_grace),
            quarantine_ms: millis(policy.quarantine),
            order_delay_ms: millis(policy.order_delay),
            loads_per_s_milli: policy.loads_per_s_milli,
            loads_in_flight: policy.loads_in_flight,
            adapters_in_flight: policy.adapters_in_flight,
        }
    }
}

impl From<PolicyForm> for EntityChange {
    fn from(form: PolicyForm) -> Self {
        Self::PutPolicy(FleetPolicy {
            key_grace: Duration::from_millis(form.key_grace_ms),
            quarantine: Duration::from_millis(form.quarantine_ms),
            order_delay: Duration::from_millis(form.order_delay_ms),
            loads_per_s_milli: form.loads_per_s_milli,
            loads_in_flight: form.loads_in_flight,
            adapters_in_flight: form.adapters_in_flight,
        })
    }
}

impl From<KeyForm> for EntityChange {
    fn from(form: KeyForm) -> Self {
        Self::PutKey(KeySpec {
            name: form.name,
            team: form.team,
            digest: form.digest.0,
        })
    }
}

impl From<OperatorForm> for EntityChange {
    fn from(form: OperatorForm) -> Self {
        Self::PutOperator(OperatorSpec {
            name: form.name,
            digest: form.digest.0,
        })
    }
}

/// Top level of a declaration file: an optional section for each kind of entity.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct DeclarationForm {
    policy: Option<PolicyForm>,
    teams: Vec<TeamSpec>,
    models: Vec<ModelSpec>,
    versions: Vec<VersionSpec>,
    adapters: Vec<AdapterSpec>,
    keys: Vec<KeyForm>,
    routes: Vec<RouteSpec>,
    backends: Vec<BackendSpec>,
    operators: Vec<OperatorForm>,
}

impl DeclarationForm {
    pub(super) fn into_items(self, positions: &SectionPositions) -> Vec<DeclaredItem> {
        let mut items = ItemList {
            positions,
            items: Vec::new(),
        };
        items.add("policy", self.policy, EntityChange::from);
        items.add("teams", self.teams, EntityChange::PutTeam);
        items.add("models", self.models, EntityChange::PutModel);
        items.add("versions", self.versions, EntityChange::PutVersion);
        items.add("adapters", self.adapters, EntityChange::PutAdapter);
        items.add("keys", self.keys, EntityChange::from);
        items.add("routes", self.routes, EntityChange::PutRoute);
        items.add("backends", self.backends, EntityChange::PutBackend);
        items.add("operators", self.operators, EntityChange::from);
        items.items
    }
}

struct ItemList<'a> {
    positions: &'a SectionPositions,
    items: Vec<DeclaredItem>,
}

impl ItemList<'_> {
    fn add<T>(
        &mut self,
        section: &str,
        forms: impl IntoIterator<Item = T>,
        convert: impl Fn(T) -> EntityChange,
    ) {
        for (index, form) in forms.into_iter().enumerate() {
            let position = self.positions.get(section, index);
            self.items.push(DeclaredItem {
                change: convert(form),
                line: position.line,
                column: position.column,
            });
        }
    }
}

/// Parses the JSON text of one entity, in the form that declaration files use.
///
/// # Errors
///
/// Fails with `Invalid` if the text does not declare an entity of `kind`.
pub fn entity_from_json(kind: EntityKind, text: &str) -> Result<EntityChange> {
    Ok(match kind {
        EntityKind::Model => EntityChange::PutModel(parse(text)?),
        EntityKind::Version => EntityChange::PutVersion(parse(text)?),
        EntityKind::Adapter => EntityChange::PutAdapter(parse(text)?),
        EntityKind::Team => EntityChange::PutTeam(parse(text)?),
        EntityKind::Key => parse::<KeyForm>(text)?.into(),
        EntityKind::Operator => parse::<OperatorForm>(text)?.into(),
        EntityKind::Route => EntityChange::PutRoute(parse(text)?),
        EntityKind::Backend => EntityChange::PutBackend(parse(text)?),
        EntityKind::Policy => parse::<PolicyForm>(text)?.into(),
    })
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|cause| Error::invalid(cause.to_string()))
}

/// Returns the entity that `change` declares, in the form that declaration files use; null for a retirement.
pub fn entity_to_json(change: &EntityChange) -> Value {
    let value = match change {
        EntityChange::PutModel(spec) => serde_json::to_value(spec),
        EntityChange::PutVersion(spec) => serde_json::to_value(spec),
        EntityChange::PutAdapter(spec) => serde_json::to_value(spec),
        EntityChange::PutTeam(spec) => serde_json::to_value(spec),
        EntityChange::PutKey(spec) => serde_json::to_value(KeyForm {
            name: spec.name.clone(),
            team: spec.team.clone(),
            digest: HexDigest(spec.digest),
        }),
        EntityChange::PutOperator(spec) => serde_json::to_value(OperatorForm {
            name: spec.name.clone(),
            digest: HexDigest(spec.digest),
        }),
        EntityChange::PutRoute(spec) => serde_json::to_value(spec),
        EntityChange::PutBackend(spec) => serde_json::to_value(spec),
        EntityChange::PutPolicy(spec) => serde_json::to_value(PolicyForm::from(spec)),
        EntityChange::Retire(_) => Ok(Value::Null),
    };
    // These types have text keys only, so the conversion to a JSON value cannot fail.
    value.unwrap_or_default()
}
