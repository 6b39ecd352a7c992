//! Validation rules for changes.

use std::time::Duration;

use smol_str::SmolStr;

use crate::catalog::{
    AdapterSpec, BackendKind, BackendSpec, EntityChange, EntityKind, EntityName, FleetCatalog,
    FleetPolicy, ModelSpec, RouteSpec, RouteTarget, TeamSpec, VersionSpec,
};
use crate::ids::KeyDigest;

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Longest path prefix of a route, in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;

/// Largest rate or size. Keeps sums over a whole fleet far below the 64-bit limit.
pub const MAX_AMOUNT: u64 = 1 << 50;

/// Longest duration in the policy. Longer ones could overflow the monotonic clock.
pub const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3_600);

type Check = Result<(), String>;

impl FleetCatalog {
    /// Checks everything except the revision. The error is the reason that the operator sees.
    pub(super) fn check_change(&self, change: &EntityChange) -> Check {
        match change {
            EntityChange::PutModel(spec) => self.check_model(spec),
            EntityChange::PutVersion(spec) => self.check_version(spec),
            EntityChange::PutAdapter(spec) => self.check_adapter(spec),
            EntityChange::PutTeam(spec) => check_team(spec),
            EntityChange::PutKey(spec) => {
                check_name("key", &spec.name)?;
                self.check_team_exists(&spec.team)?;
                self.check_digest(EntityKind::Key, &spec.name, &spec.digest)
            }
            EntityChange::PutOperator(spec) => {
                check_name("operator", &spec.name)?;
                self.check_digest(EntityKind::Operator, &spec.name, &spec.digest)
            }
            EntityChange::PutRoute(spec) => self.check_route(spec),
            EntityChange::PutBackend(spec) => self.check_backend(spec),
            EntityChange::PutPolicy(spec) => check_policy(spec),
            EntityChange::Retire(target) => self.check_retire(target),
        }
    }

    fn check_model(&self, spec: &ModelSpec) -> Check {
        check_name("model", &spec.name)?;
        check_name("version", &spec.version)?;
        check_amount("memory_bytes", spec.memory_bytes)?;
        check_amount("min_replicas", spec.min_replicas.into())?;
        check_amount("first_token_ms", spec.first_token_ms.into())?;
        let initial = self.initial_versions.get(&spec.name);
        let known = initial.is_none_or(|initial| *initial == spec.version)
            || self.version(&spec.name, &spec.version).is_some();
        if known {
            return Ok(());
        }
        Err(format!(
            "version `{}` of model `{}` is not declared",
            spec.version, spec.name
        ))
    }

    fn check_version(&self, spec: &VersionSpec) -> Check {
        check_name("version", &spec.version)?;
        check_amount("memory_bytes", spec.memory_bytes)?;
        self.check_model_exists(&spec.model)
    }

    fn check_adapter(&self, spec: &AdapterSpec) -> Check {
        check_name("adapter", &spec.name)?;
        check_amount("memory_bytes", spec.memory_bytes)?;
        self.check_model_exists(&spec.model)
    }

    fn check_route(&self, spec: &RouteSpec) -> Check {
        check_name("route", &spec.name)?;
        check_prefix(&spec.prefix)?;
        match &spec.target {
            RouteTarget::Model(model) => self.check_model_exists(model)?,
            RouteTarget::Service(group) => check_name("service group", group)?,
        }
        if spec.open && !spec.teams.is_empty() {
            return Err("an open route cannot be limited to teams".into());
        }
        if spec.cost > MAX_AMOUNT {
            return Err(format!("cost is over {MAX_AMOUNT}"));
        }
        for team in &spec.teams {
            self.check_team_exists(team)?;
        }
        let existing = self
            .routes
            .specs()
            .find(|other| other.prefix == spec.prefix);
        match existing {
            Some(other) if other.name != spec.name => Err(format!(
                "route `{}` already has prefix `{}`",
                other.name, spec.prefix
            )),
            _ => Ok(()),
        }
    }

    fn check_backend(&self, spec: &BackendSpec) -> Check {
        check_name("backend server", &spec.name)?;
        check_name("zone", &spec.zone)?;
        check_backend_kind(&spec.kind)?;
        if spec.address.port() == 0 || spec.address.ip().is_unspecified() {
            return Err(format!("address {} cannot be called", spec.address));
        }
        let existing = self
            .backends
            .specs()
            .find(|other| other.address == spec.address);
        match existing {
            Some(other) if other.name != spec.name => Err(format!(
                "backend server `{}` already has address {}",
                other.name, spec.address
            )),
            _ => Ok(()),
        }
    }

    fn check_model_exists(&self, name: &SmolStr) -> Check {
        match self.model(name) {
            Some(_) => Ok(()),
            None => Err(format!("model `{name}` is not declared")),
        }
    }

    fn check_team_exists(&self, name: &SmolStr) -> Check {
        match self.team(name) {
            Some(_) => Ok(()),
            None => Err(format!("team `{name}` is not declared")),
        }
    }

    /// Checks that no other key or operator has the digest, as a secret must identify exactly one of them.
    fn check_digest(&self, kind: EntityKind, name: &SmolStr, digest: &KeyDigest) -> Check {
        let key = self.keys.find(digest).map(|key| &key.name);
        let operator = self.operators.find(digest).map(|operator| &operator.name);
        let existing = match kind {
            EntityKind::Key => operator.or(key.filter(|other| *other != name)),
            _ => key.or(operator.filter(|other| *other != name)),
        };
        match existing {
            Some(other) => Err(format!("`{other}` already has this digest")),
            None => Ok(()),
        }
    }

    fn check_retire(&self, target: &EntityName) -> Check {
        if target.kind == EntityKind::Policy {
            return Err("the policy cannot be retired".into());
        }
        if self.revision(target).0 == 0 {
            return Err(format!("{target} is not declared"));
        }
        if target.kind == EntityKind::Operator && self.operators.arena().len() == 1 {
            return Err("the last operator cannot be withdrawn".into());
        }
        match self.find_referrer(target) {
            Some(referrer) => Err(format!("{target} is still used by {referrer}")),
            None => Ok(()),
        }
    }

    /// Returns an entity that refers to `target`, if there is one.
    fn find_referrer(&self, target: &EntityName) -> Option<EntityName> {
        let name = &target.name;
        match target.kind {
            EntityKind::Model => self.find_model_referrer(name),
            EntityKind::Version => self
                .models
                .specs()
                .find(|model| *name == format!("{}@{}", model.name, model.version))
                .map(|model| EntityName::new(EntityKind::Model, model.name.clone())),
            EntityKind::Team => self.find_team_referrer(name),
            _ => None,
        }
    }

    fn find_model_referrer(&self, name: &SmolStr) -> Option<EntityName> {
        let version = self.versions.specs().find(|spec| spec.model == *name);
        if let Some(spec) = version {
            return Some(EntityName::new(EntityKind::Version, spec.full_name()));
        }
        let adapter = self.adapters.specs().find(|spec| spec.model == *name);
        if let Some(spec) = adapter {
            return Some(EntityName::new(EntityKind::Adapter, spec.name.clone()));
        }
        let route = self
            .routes
            .specs()
            .find(|spec| spec.target == RouteTarget::Model(name.clone()))?;
        Some(EntityName::new(EntityKind::Route, route.name.clone()))
    }

    fn find_team_referrer(&self, name: &SmolStr) -> Option<EntityName> {
        let key = self.keys.arena().specs().find(|spec| spec.team == *name);
        if let Some(spec) = key {
            return Some(EntityName::new(EntityKind::Key, spec.name.clone()));
        }
        let route = self.routes.specs().find(|spec| spec.teams.contains(name))?;
        Some(EntityName::new(EntityKind::Route, route.name.clone()))
    }
}

fn check_team(spec: &TeamSpec) -> Check {
    check_name("team", &spec.name)?;
    check_amount("rate", spec.rate)?;
    check_amount("burst", spec.burst)
}

fn check_backend_kind(kind: &BackendKind) -> Check {
    match kind {
        BackendKind::Engine {
            memory_bytes,
            accelerators,
            slots,
            checks_fencing: _,
        } => {
            check_amount("memory_bytes", *memory_bytes)?;
            check_amount("accelerators", (*accelerators).into())?;
            check_amount("slots", (*slots).into())
        }
        BackendKind::Service { group, slots } => {
            check_name("service group", group)?;
            check_amount("slots", (*slots).into())
        }
    }
}

fn check_policy(spec: &FleetPolicy) -> Check {
    check_amount("loads_per_s_milli", spec.loads_per_s_milli.into())?;
    check_amount("loads_in_flight", spec.loads_in_flight.into())?;
    check_amount("adapters_in_flight", spec.adapters_in_flight.into())?;
    // Without a delay, memory reserved for an unanswered order would be reused while the order can still arrive.
    if spec.order_delay.is_zero() {
        return Err("order_delay is 0".into());
    }
    for (field, duration) in [
        ("key_grace", spec.key_grace),
        ("quarantine", spec.quarantine),
        ("order_delay", spec.order_delay),
    ] {
        if duration > MAX_DURATION {
            return Err(format!("{field} is over {} s", MAX_DURATION.as_secs()));
        }
    }
    Ok(())
}

/// Checks a name. `@` and `:` separate the parts of a model call's `model:adapter@version`.
fn check_name(what: &str, name: &str) -> Check {
    if name.is_empty() {
        return Err(format!("{what} name is empty"));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(format!("{what} name is over {MAX_NAME_BYTES} bytes"));
    }
    let allowed = |byte: u8| byte.is_ascii_graphic() && !b"@:`\"".contains(&byte);
    if name.bytes().all(allowed) {
        return Ok(());
    }
    Err(format!("{what} name has a character that is not allowed"))
}

fn check_amount(field: &str, amount: u64) -> Check {
    match amount {
        0 => Err(format!("{field} is 0")),
        1..=MAX_AMOUNT => Ok(()),
        _ => Err(format!("{field} is over {MAX_AMOUNT}")),
    }
}

fn check_prefix(prefix: &str) -> Check {
    if prefix.len() > MAX_PREFIX_BYTES {
        return Err(format!("prefix is over {MAX_PREFIX_BYTES} bytes"));
    }
    if !prefix.starts_with('/') {
        return Err("prefix does not start with `/`".into());
    }
    if prefix.len() > 1 && prefix.split('/').skip(1).any(|part| part.is_empty()) {
        return Err("prefix has an empty segment".into());
    }
    let allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#%".contains(&byte);
    if prefix.bytes().all(allowed) {
        return Ok(());
    }
    Err("prefix has a character that is not allowed".into())
}
