//! Conversion between the messages of the operator schema and the catalog's types.

use std::time::Duration;

use smol_str::SmolStr;

use crate::catalog::{
    AdapterSpec, BackendKind, BackendSpec, EntityChange, EntityKind, EntityName, FleetPolicy,
    KeySpec, ListedEntity, ModelSpec, OperatorSpec, RequestClass, RouteSpec, RouteTarget, TeamSpec,
    VersionSpec,
};
use crate::error::{Error, Result};
use crate::ids::{KeyDigest, RecordId};
use crate::proto;
use crate::proto::entity::Entity as ProtoEntity;

/// Converts the kind of a message; `None` if it is unspecified.
///
/// # Errors
///
/// Fails with `Invalid` if the number is unknown.
pub fn kind_from_proto(kind: i32) -> Result<Option<EntityKind>> {
    let kind =
        proto::Kind::try_from(kind).map_err(|_| Error::invalid(format!("unknown kind {kind}")))?;
    Ok(match kind {
        proto::Kind::Unspecified => None,
        proto::Kind::Model => Some(EntityKind::Model),
        proto::Kind::Version => Some(EntityKind::Version),
        proto::Kind::Adapter => Some(EntityKind::Adapter),
        proto::Kind::Team => Some(EntityKind::Team),
        proto::Kind::Key => Some(EntityKind::Key),
        proto::Kind::Operator => Some(EntityKind::Operator),
        proto::Kind::Route => Some(EntityKind::Route),
        proto::Kind::Backend => Some(EntityKind::Backend),
        proto::Kind::Policy => Some(EntityKind::Policy),
    })
}

/// Converts a kind to its number in messages.
pub fn kind_to_proto(kind: EntityKind) -> proto::Kind {
    match kind {
        EntityKind::Model => proto::Kind::Model,
        EntityKind::Version => proto::Kind::Version,
        EntityKind::Adapter => proto::Kind::Adapter,
        EntityKind::Team => proto::Kind::Team,
        EntityKind::Key => proto::Kind::Key,
        EntityKind::Operator => proto::Kind::Operator,
        EntityKind::Route => proto::Kind::Route,
        EntityKind::Backend => proto::Kind::Backend,
        EntityKind::Policy => proto::Kind::Policy,
    }
}

/// Parses a command id of 32 hexadecimal digits; generates a random one if `text` is empty.
///
/// # Errors
///
/// Fails with `Invalid` if the text is neither empty nor 32 hexadecimal digits.
pub fn parse_command_id(text: &str) -> Result<RecordId> {
    if text.is_empty() {
        return Ok(RecordId::random());
    }
    let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let id = u128::from_str_radix(text, 16).ok().filter(|_| digits);
    id.map(RecordId)
        .ok_or_else(|| Error::invalid("command id is not 32 hexadecimal digits"))
}

/// Converts the change of a request.
///
/// # Errors
///
/// Fails with `Invalid` if the change is missing or malformed.
pub fn change_from_proto(change: Option<proto::apply_request::Change>) -> Result<EntityChange> {
    match change {
        Some(proto::apply_request::Change::Put(entity)) => entity_from_proto(entity),
        Some(proto::apply_request::Change::Retire(target)) => {
            let kind = kind_from_proto(target.kind)?
                .ok_or_else(|| Error::invalid("kind of the retired entity is missing"))?;
            Ok(EntityChange::Retire(EntityName::new(kind, target.name)))
        }
        None => Err(Error::invalid("change is missing")),
    }
}

/// Converts a change to the form that an apply request carries.
pub fn change_to_proto(change: &EntityChange) -> proto::apply_request::Change {
    match change {
        EntityChange::Retire(target) => proto::apply_request::Change::Retire(proto::EntityRef {
            kind: kind_to_proto(target.kind).into(),
            name: target.name.to_string(),
        }),
        put => proto::apply_request::Change::Put(proto::Entity {
            entity: entity_to_proto(put),
        }),
    }
}

/// Converts an entity and its revision for a list reply.
pub fn listed_to_proto(listed: &ListedEntity) -> proto::ListedEntity {
    proto::ListedEntity {
        entity: Some(proto::Entity {
            entity: entity_to_proto(&listed.declaration),
        }),
        revision: listed.revision.0,
    }
}

/// Converts the declaration of an entity.
///
/// # Errors
///
/// Fails with `Invalid` if a field is missing or malformed.
pub fn entity_from_proto(entity: proto::Entity) -> Result<EntityChange> {
    let entity = entity
        .entity
        .ok_or_else(|| Error::invalid("entity is missing"))?;
    Ok(match entity {
        ProtoEntity::Model(model) => EntityChange::PutModel(model_from_proto(model)),
        ProtoEntity::Version(version) => EntityChange::PutVersion(VersionSpec {
            model: version.model.into(),
            version: version.version.into(),
            memory_bytes: version.memory_bytes,
        }),
        ProtoEntity::Adapter(adapter) => EntityChange::PutAdapter(AdapterSpec {
            name: adapter.name.into(),
            model: adapter.model.into(),
            memory_bytes: adapter.memory_bytes,
        }),
        ProtoEntity::Team(team) => EntityChange::PutTeam(TeamSpec {
            name: team.name.into(),
            rate: team.rate,
            burst: team.burst,
        }),
        ProtoEntity::Key(key) => EntityChange::PutKey(KeySpec {
            name: key.name.into(),
            team: key.team.into(),
            digest: parse_digest(&key.digest)?,
        }),
        ProtoEntity::Operator(operator) => EntityChange::PutOperator(OperatorSpec {
            name: operator.name.into(),
            digest: parse_digest(&operator.digest)?,
        }),
        ProtoEntity::Route(route) => EntityChange::PutRoute(route_from_proto(route)?),
        ProtoEntity::Backend(backend) => EntityChange::PutBackend(backend_from_proto(backend)?),
        ProtoEntity::Policy(policy) => EntityChange::PutPolicy(policy_from_proto(&policy)),
    })
}

fn model_from_proto(model: proto::Model) -> ModelSpec {
    ModelSpec {
        name: model.name.into(),
        memory_bytes: model.memory_bytes,
        min_replicas: model.min_replicas,
        version: model.version.into(),
        first_token_ms: model.first_token_ms,
        open: model.open,
    }
}

fn parse_digest(text: &str) -> Result<KeyDigest> {
    KeyDigest::from_hex(text).ok_or_else(|| Error::invalid("digest is not 64 hexadecimal digits"))
}

fn route_from_proto(route: proto::Route) -> Result<RouteSpec> {
    let target = match route.target {
        Some(proto::route::Target::Model(model)) => RouteTarget::Model(model.into()),
        Some(proto::route::Target::Service(group)) => RouteTarget::Service(group.into()),
        None => return Err(Error::invalid("target of the route is missing")),
    };
    let class = match proto::RequestClass::try_from(route.class) {
        Ok(proto::RequestClass::Interactive) => RequestClass::Interactive,
        Ok(proto::RequestClass::Overnight) => RequestClass::Overnight,
        Err(_) => return Err(Error::invalid("unknown request class")),
    };
    Ok(RouteSpec {
        name: route.name.into(),
        prefix: route.prefix.into(),
        target,
        open: route.open,
        repeatable: route.repeatable,
        class,
        teams: route.teams.into_iter().map(SmolStr::from).collect(),
        cost: route.cost,
    })
}

fn backend_from_proto(backend: proto::Backend) -> Result<BackendSpec> {
    let kind = match backend.kind {
        Some(proto::backend::Kind::Engine(engine)) => BackendKind::Engine {
            memory_bytes: engine.memory_bytes,
            accelerators: engine.accelerators,
            slots: engine.slots,
            checks_fencing: engine.checks_fencing,
        },
        Some(proto::backend::Kind::Service(service)) => BackendKind::Service {
            group: service.group.into(),
            slots: service.slots,
        },
        None => return Err(Error::invalid("kind of the backend server is missing")),
    };
    let address = backend.address.parse().map_err(|_| {
        Error::invalid(format!(
            "`{}` is not an IP address and port",
            backend.address
        ))
    })?;
    Ok(BackendSpec {
        name: backend.name.into(),
        zone: backend.zone.into(),
        address,
        kind,
    })
}

fn policy_from_proto(policy: &proto::Policy) -> FleetPolicy {
    FleetPolicy {
        key_grace: Duration::from_millis(policy.key_grace_ms),
        quarantine: Duration::from_millis(policy.quarantine_ms),
        order_delay: Duration::from_millis(policy.order_delay_ms),
        loads_per_s_milli: policy.loads_per_s_milli,
        loads_in_flight: policy.loads_in_flight,
        adapters_in_flight: policy.adapters_in_flight,
    }
}

/// Converts a declaration; `None` for a retirement.
fn entity_to_proto(change: &EntityChange) -> Option<ProtoEntity> {
    Some(match change {
        EntityChange::PutModel(model) => ProtoEntity::Model(proto::Model {
            name: model.name.to_string(),
            memory_bytes: model.memory_bytes,
            min_replicas: model.min_replicas,
            version: model.version.to_string(),
            first_token_ms: model.first_token_ms,
            open: model.open,
        }),
        EntityChange::PutVersion(version) => ProtoEntity::Version(proto::Version {
            model: version.model.to_string(),
            version: version.version.to_string(),
            memory_bytes: version.memory_bytes,
        }),
        EntityChange::PutAdapter(adapter) => ProtoEntity::Adapter(proto::Adapter {
            name: adapter.name.to_string(),
            model: adapter.model.to_string(),
            memory_bytes: adapter.memory_bytes,
        }),
        EntityChange::PutTeam(team) => ProtoEntity::Team(proto::Team {
            name: team.name.to_string(),
            rate: team.rate,
            burst: team.burst,
        }),
        EntityChange::PutKey(key) => ProtoEntity::Key(proto::Key {
            name: key.name.to_string(),
            team: key.team.to_string(),
            digest: key.digest.to_string(),
        }),
        EntityChange::PutOperator(operator) => ProtoEntity::Operator(proto::Operator {
            name: operator.name.to_string(),
            digest: operator.digest.to_string(),
        }),
        EntityChange::PutRoute(route) => ProtoEntity::Route(route_to_proto(route)),
        EntityChange::PutBackend(backend) => ProtoEntity::Backend(backend_to_proto(backend)),
        EntityChange::PutPolicy(policy) => ProtoEntity::Policy(policy_to_proto(policy)),
        EntityChange::Retire(_) => return None,
    })
}

fn route_to_proto(route: &RouteSpec) -> proto::Route {
    let target = match &route.target {
        RouteTarget::Model(model) => proto::route::Target::Model(model.to_string()),
        RouteTarget::Service(group) => proto::route::Target::Service(group.to_string()),
    };
    let class = match route.class {
        RequestClass::Interactive => proto::RequestClass::Interactive,
        RequestClass::Overnight => proto::RequestClass::Overnight,
    };
    proto::Route {
        name: route.name.to_string(),
        prefix: route.prefix.to_string(),
        target: Some(target),
        open: route.open,
        repeatable: route.repeatable,
        class: class.into(),
        teams: route.teams.iter().map(SmolStr::to_string).collect(),
        cost: route.cost,
    }
}

fn backend_to_proto(backend: &BackendSpec) -> proto::Backend {
    let kind = match &backend.kind {
        BackendKind::Engine {
            memory_bytes,
            accelerators,
            slots,
            checks_fencing,
        } => proto::backend::Kind::Engine(proto::Engine {
            memory_bytes: *memory_bytes,
            accelerators: *accelerators,
            slots: *slots,
            checks_fencing: *checks_fencing,
        }),
        BackendKind::Service { group, slots } => {
            proto::backend::Kind::Service(proto::PlainService {
                group: group.to_string(),
                slots: *slots,
            })
        }
    };
    proto::Backend {
        name: backend.name.to_string(),
        zone: backend.zone.to_string(),
        address: backend.address.to_string(),
        kind: Some(kind),
    }
}

fn policy_to_proto(policy: &FleetPolicy) -> proto::Policy {
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    proto::Policy {
        key_grace_ms: millis(policy.key_grace),
        quarantine_ms: millis(policy.quarantine),
        order_delay_ms: millis(policy.order_delay),
        loads_per_s_milli: policy.loads_per_s_milli,
        loads_in_flight: policy.loads_in_flight,
        adapters_in_flight: policy.adapters_in_flight,
    }
}
