//! Lookups in the catalog.

use smol_str::SmolStr;

use crate::catalog::{
    AdapterSpec, BackendSpec, EntityChange, EntityKind, EntityName, FleetCatalog, FleetPolicy,
    KeySpec, ModelSpec, OperatorSpec, POLICY_NAME, Revision, RouteSpec, TeamSpec, VersionSpec,
};
use crate::ids::{BackendKey, KeyDigest, ModelKey, TeamKey};

/// One declared entity as listed for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEntity {
    /// Change that declares the entity in its current state; never a retirement.
    pub declaration: EntityChange,
    pub revision: Revision,
}

impl FleetCatalog {
    /// Finds a caller's key by its secret. Returns the names of the key and its team.
    pub fn team_of_key(&self, secret: &str) -> Option<(&SmolStr, &SmolStr)> {
        let key = self.keys.find(&KeyDigest::of(secret.as_bytes()))?;
        Some((&key.name, &key.team))
    }

    /// Finds the operator that holds `secret`. Returns its name.
    pub fn operator_of_key(&self, secret: &str) -> Option<&SmolStr> {
        self.operator_of_digest(&KeyDigest::of(secret.as_bytes()))
    }

    /// Finds the operator whose key has `digest`. Returns its name.
    pub fn operator_of_digest(&self, digest: &KeyDigest) -> Option<&SmolStr> {
        self.operators.find(digest).map(|operator| &operator.name)
    }

    /// Returns whether any operator is declared.
    pub fn has_operators(&self) -> bool {
        self.operators.arena().len() > 0
    }

    /// Finds a model.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.get(name).map(|declared| &declared.spec)
    }

    /// Finds a declared version. A model's initial version has no entry unless it was declared as well.
    pub fn version(&self, model: &str, version: &str) -> Option<&VersionSpec> {
        let name = format!("{model}@{version}");
        self.versions.get(&name).map(|declared| &declared.spec)
    }

    /// Returns the version that a model was created with.
    pub fn initial_version(&self, model: &str) -> Option<&SmolStr> {
        self.initial_versions.get(model)
    }

    /// Returns whether `version` of `model` is declared, either by itself or as the initial version.
    pub fn has_version(&self, model: &str, version: &str) -> bool {
        self.initial_version(model)
            .is_some_and(|initial| initial == version)
            || self.version(model, version).is_some()
    }

    /// Returns the memory that one replica of `version` takes, in bytes.
    pub fn replica_bytes(&self, model: &str, version: &str) -> Option<u64> {
        match self.version(model, version) {
            Some(spec) => Some(spec.memory_bytes),
            None => Some(self.model(model)?.memory_bytes),
        }
    }

    /// Finds an adapter.
    pub fn adapter(&self, name: &str) -> Option<&AdapterSpec> {
        self.adapters.get(name).map(|declared| &declared.spec)
    }

    /// Finds a team.
    pub fn team(&self, name: &str) -> Option<&TeamSpec> {
        self.teams.get(name).map(|declared| &declared.spec)
    }

    /// Finds a key by its name.
    pub fn key(&self, name: &str) -> Option<&KeySpec> {
        self.keys.arena().get(name).map(|declared| &declared.spec)
    }

    /// Finds a backend server.
    pub fn backend(&self, name: &str) -> Option<&BackendSpec> {
        self.backends.get(name).map(|declared| &declared.spec)
    }

    /// Finds a route by its name.
    pub fn route_by_name(&self, name: &str) -> Option<&RouteSpec> {
        self.routes.get(name).map(|declared| &declared.spec)
    }

    /// Finds the route with the longest prefix of `path`, which may carry a query.
    ///
    /// A prefix ends at a segment: `/bookings` matches `/bookings/7` and not `/bookings-old`. A path with dot
    /// segments matches nothing, as a service could resolve it to a path outside the prefix.
    pub fn route_for_path(&self, path: &str) -> Option<&RouteSpec> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if path.split('/').any(is_dot_segment) {
            return None;
        }
        self.routes
            .specs()
            .filter(|route| prefix_matches(&route.prefix, path))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the models in name order.
    pub fn models(&self) -> impl Iterator<Item = &ModelSpec> {
        self.models.specs()
    }

    /// Returns the declared versions in name order.
    pub fn versions(&self) -> impl Iterator<Item = &VersionSpec> {
        self.versions.specs()
    }

    /// Returns the adapters in name order.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterSpec> {
        self.adapters.specs()
    }

    /// Returns the teams in name order.
    pub fn teams(&self) -> impl Iterator<Item = &TeamSpec> {
        self.teams.specs()
    }

    /// Returns the keys in name order.
    pub fn keys(&self) -> impl Iterator<Item = &KeySpec> {
        self.keys.arena().specs()
    }

    /// Returns the operators in name order.
    pub fn operators(&self) -> impl Iterator<Item = &OperatorSpec> {
        self.operators.arena().specs()
    }

    /// Returns the routes in name order.
    pub fn routes(&self) -> impl Iterator<Item = &RouteSpec> {
        self.routes.specs()
    }

    /// Returns the backend servers in name order.
    pub fn backends(&self) -> impl Iterator<Item = &BackendSpec> {
        self.backends.specs()
    }

    /// Returns the fleet-wide settings.
    pub fn policy(&self) -> &FleetPolicy {
        &self.policy.spec
    }

    /// Returns the arena key of a model. It stays valid in later catalogs of the same replica until the model is
    /// retired or a full state is installed.
    pub fn model_key(&self, name: &str) -> Option<ModelKey> {
        self.models.key(name)
    }

    /// Returns the arena key of a team, as valid as that of [`Self::model_key`].
    pub fn team_key(&self, name: &str) -> Option<TeamKey> {
        self.teams.key(name)
    }

    /// Returns the arena key of a backend server, as valid as that of [`Self::model_key`].
    pub fn backend_key(&self, name: &str) -> Option<BackendKey> {
        self.backends.key(name)
    }

    /// Returns the revision of an entity; `Revision(0)` if it is not declared.
    pub fn revision(&self, target: &EntityName) -> Revision {
        let name = target.name.as_str();
        let revision = match target.kind {
            EntityKind::Model => self.models.get(name).map(|declared| declared.revision),
            EntityKind::Version => self.versions.get(name).map(|declared| declared.revision),
            EntityKind::Adapter => self.adapters.get(name).map(|declared| declared.revision),
            EntityKind::Team => self.teams.get(name).map(|declared| declared.revision),
            EntityKind::Key => self
                .keys
                .arena()
                .get(name)
                .map(|declared| declared.revision),
            EntityKind::Operator => {
                let operators = self.operators.arena();
                operators.get(name).map(|declared| declared.revision)
            }
            EntityKind::Route => self.routes.get(name).map(|declared| declared.revision),
            EntityKind::Backend => self.backends.get(name).map(|declared| declared.revision),
            EntityKind::Policy => (name == POLICY_NAME).then_some(self.policy.revision),
        };
        revision.unwrap_or_default()
    }

    /// Lists all entities, by kind and name. The policy is listed even while it is the default.
    pub fn entities(&self) -> Vec<ListedEntity> {
        let mut listed = Vec::new();
        let mut add = |declaration, revision| {
            listed.push(ListedEntity {
                declaration,
                revision,
            });
        };
        for (_, model) in self.models.iter() {
            add(EntityChange::PutModel(model.spec.clone()), model.revision);
        }
        for (_, version) in self.versions.iter() {
            let declaration = EntityChange::PutVersion(version.spec.clone());
            add(declaration, version.revision);
        }
        for (_, adapter) in self.adapters.iter() {
            let declaration = EntityChange::PutAdapter(adapter.spec.clone());
            add(declaration, adapter.revision);
        }
        for (_, team) in self.teams.iter() {
            add(EntityChange::PutTeam(team.spec.clone()), team.revision);
        }
        for (_, key) in self.keys.arena().iter() {
            add(EntityChange::PutKey(key.spec.clone()), key.revision);
        }
        for (_, operator) in self.operators.arena().iter() {
            let declaration = EntityChange::PutOperator(operator.spec.clone());
            add(declaration, operator.revision);
        }
        for (_, route) in self.routes.iter() {
            add(EntityChange::PutRoute(route.spec.clone()), route.revision);
        }
        for (_, backend) in self.backends.iter() {
            let declaration = EntityChange::PutBackend(backend.spec.clone());
            add(declaration, backend.revision);
        }
        let policy = &self.policy;
        add(
            EntityChange::PutPolicy(policy.spec.clone()),
            policy.revision,
        );
        listed
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => prefix == "/" || rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

fn is_dot_segment(segment: &str) -> bool {
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}
