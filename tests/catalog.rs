//! The catalog against a reference model that derives everything from a flat list of entities.

mod config_support;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use foxtailhill::catalog::{
    AdapterSpec, ApplyVerdict, BackendKind, BackendSpec, COMMAND_WINDOW, ChangeCommand,
    EntityChange, EntityKind, EntityName, FleetCatalog, FleetPolicy, KeySpec, ModelSpec,
    OperatorSpec, Revision, RouteSpec, RouteTarget, TeamSpec, VersionSpec,
};
use foxtailhill::ids::{KeyDigest, LogOffset, RecordId};
use foxtailhill::replica::{decode_state, encode_state};

use crate::config_support::{command, put_team};

/// Base of a generated command.
#[derive(Clone, Debug, TypeGenerator)]
enum Base {
    Current,
    Zero,
    Stale,
}

#[derive(Clone, Debug, TypeGenerator)]
struct Step {
    kind: u8,
    name: u8,
    /// Name of the model or team that the entity refers to, and other small values.
    reference: u8,
    amount: u8,
    author: u8,
    retire: bool,
    base: Base,
    /// Repeats the id of this earlier command, counted from the start.
    repeat: Option<u8>,
}

const NAMES: [&str; 4] = ["a", "b", "c", ""];
const KINDS: [EntityKind; 9] = EntityKind::ALL;

fn name_of(index: u8) -> &'static str {
    // The empty name, which is invalid, is rarer than the others.
    NAMES[usize::from(index % 13).min(12) % if index % 13 == 12 { 4 } else { 3 }]
}

impl Step {
    fn change(&self) -> EntityChange {
        let kind = KINDS[usize::from(self.kind) % KINDS.len()];
        let name = if self.kind == 255 {
            ""
        } else {
            name_of(self.name)
        };
        let reference = name_of(self.reference);
        let amount = u64::from(self.amount % 8);
        let digest = KeyDigest::of(&[self.amount % 8]);
        if self.retire {
            let full = match kind {
                EntityKind::Version => format!("{reference}@{name}"),
                _ => name.into(),
            };
            return EntityChange::Retire(EntityName::new(kind, full));
        }
        match kind {
            EntityKind::Model => EntityChange::PutModel(ModelSpec {
                name: name.into(),
                memory_bytes: amount,
                min_replicas: 1,
                version: reference.into(),
                first_token_ms: 1,
                open: false,
            }),
            EntityKind::Version => EntityChange::PutVersion(VersionSpec {
                model: reference.into(),
                version: name.into(),
                memory_bytes: amount,
            }),
            EntityKind::Adapter => EntityChange::PutAdapter(AdapterSpec {
                name: name.into(),
                model: reference.into(),
                memory_bytes: amount,
            }),
            EntityKind::Team => EntityChange::PutTeam(TeamSpec {
                name: name.into(),
                rate: amount,
                burst: 1,
            }),
            EntityKind::Key => EntityChange::PutKey(KeySpec {
                name: name.into(),
                team: reference.into(),
                digest,
            }),
            EntityKind::Operator => EntityChange::PutOperator(OperatorSpec {
                name: name.into(),
                digest,
            }),
            EntityKind::Route => EntityChange::PutRoute(RouteSpec {
                name: name.into(),
                prefix: format!("/{}", amount % 4).into(),
                target: match amount < 4 {
                    true => RouteTarget::Model(reference.into()),
                    false => RouteTarget::Service("desk".into()),
                },
                open: self.author.is_multiple_of(5),
                repeatable: true,
                class: Default::default(),
                teams: match amount % 2 {
                    0 => vec![],
                    _ => vec![reference.into()],
                },
                cost: 0,
            }),
            EntityKind::Backend => EntityChange::PutBackend(BackendSpec {
                name: name.into(),
                zone: "z".into(),
                address: ([127, 0, 0, 1], u16::from(self.amount % 4)).into(),
                kind: BackendKind::Service {
                    group: "desk".into(),
                    slots: u32::from(self.reference % 8),
                },
            }),
            EntityKind::Policy => EntityChange::PutPolicy(FleetPolicy {
                loads_in_flight: u32::from(self.amount % 8),
                ..FleetPolicy::default()
            }),
        }
    }
}

/// Outcome without the text of a reason.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Accepted(u64),
    Conflict(u64),
    Invalid,
}

impl From<ApplyVerdict> for Outcome {
    fn from(verdict: ApplyVerdict) -> Self {
        match verdict {
            ApplyVerdict::Accepted(revision) => Self::Accepted(revision.0),
            ApplyVerdict::Conflict { current } => Self::Conflict(current.0),
            ApplyVerdict::Invalid(_) => Self::Invalid,
        }
    }
}

/// Reference model: one flat map, scanned in full for every rule, and the full history of commands.
#[derive(Default)]
struct ReferenceCatalog {
    entities: BTreeMap<EntityName, (EntityChange, u64)>,
    initial: BTreeMap<String, String>,
    history: Vec<(ChangeCommand, Outcome)>,
}

impl ReferenceCatalog {
    fn has(&self, kind: EntityKind, name: &str) -> bool {
        self.entities.contains_key(&EntityName::new(kind, name))
    }

    fn revision(&self, target: &EntityName) -> u64 {
        self.entities
            .get(target)
            .map_or(0, |(_, revision)| *revision)
    }

    fn apply(&mut self, offset: u64, command: &ChangeCommand) -> Outcome {
        let earlier = self
            .history
            .iter()
            .find(|(other, _)| other.id == command.id);
        if let Some((other, outcome)) = earlier {
            let same = other.base == command.base && other.change == command.change;
            return if same {
                outcome.clone()
            } else {
                Outcome::Invalid
            };
        }
        let outcome = self.check_and_commit(offset, command);
        self.history.push((command.clone(), outcome.clone()));
        outcome
    }

    fn check_and_commit(&mut self, offset: u64, command: &ChangeCommand) -> Outcome {
        let any = self
            .entities
            .keys()
            .any(|name| name.kind == EntityKind::Operator);
        if any && !self.has(EntityKind::Operator, &command.author) {
            return Outcome::Invalid;
        }
        let target = command.change.target();
        let current = self.revision(&target);
        if command.base.0 != current {
            return Outcome::Conflict(current);
        }
        if !self.allowed(&command.change, &target) {
            return Outcome::Invalid;
        }
        if let EntityChange::Retire(_) = command.change {
            self.entities.remove(&target);
            if target.kind == EntityKind::Model {
                self.initial.remove(target.name.as_str());
            }
        } else {
            if let EntityChange::PutModel(model) = &command.change {
                let initial = self.initial.entry(model.name.to_string());
                initial.or_insert_with(|| model.version.to_string());
            }
            self.entities
                .insert(target, (command.change.clone(), offset + 1));
        }
        Outcome::Accepted(offset + 1)
    }

    fn others<'a>(&'a self, target: &'a EntityName) -> impl Iterator<Item = &'a EntityChange> {
        let others = self
            .entities
            .iter()
            .filter(move |(name, _)| *name != target);
        others.map(|(_, (change, _))| change)
    }

    fn allowed(&self, change: &EntityChange, target: &EntityName) -> bool {
        let digest_free = |digest: &KeyDigest| {
            self.others(target).all(|other| match other {
                EntityChange::PutKey(key) => key.digest != *digest,
                EntityChange::PutOperator(operator) => operator.digest != *digest,
                _ => true,
            })
        };
        match change {
            EntityChange::PutModel(model) => {
                let initial = self.initial.get(model.name.as_str());
                let full = format!("{}@{}", model.name, model.version);
                !model.name.is_empty()
                    && !model.version.is_empty()
                    && model.memory_bytes > 0
                    && (initial.is_none_or(|initial| *initial == *model.version)
                        || self.has(EntityKind::Version, &full))
            }
            EntityChange::PutVersion(version) => {
                !version.version.is_empty()
                    && version.memory_bytes > 0
                    && self.has(EntityKind::Model, &version.model)
            }
            EntityChange::PutAdapter(adapter) => {
                !adapter.name.is_empty()
                    && adapter.memory_bytes > 0
                    && self.has(EntityKind::Model, &adapter.model)
            }
            EntityChange::PutTeam(team) => !team.name.is_empty() && team.rate > 0,
            EntityChange::PutKey(key) => {
                !key.name.is_empty()
                    && self.has(EntityKind::Team, &key.team)
                    && digest_free(&key.digest)
            }
            EntityChange::PutOperator(operator) => {
                !operator.name.is_empty() && digest_free(&operator.digest)
            }
            EntityChange::PutRoute(route) => self.route_allowed(route, target),
            EntityChange::PutBackend(backend) => {
                let slots = match &backend.kind {
                    BackendKind::Service { slots, .. } => *slots,
                    BackendKind::Engine { slots, .. } => *slots,
                };
                !backend.name.is_empty()
                    && slots > 0
                    && backend.address.port() > 0
                    && self.others(target).all(|other| {
                        !matches!(other, EntityChange::PutBackend(other)
                            if other.address == backend.address)
                    })
            }
            EntityChange::PutPolicy(policy) => policy.loads_in_flight > 0,
            EntityChange::Retire(target) => self.may_retire(target),
        }
    }

    fn route_allowed(&self, route: &RouteSpec, target: &EntityName) -> bool {
        let known = match &route.target {
            RouteTarget::Model(model) => self.has(EntityKind::Model, model),
            RouteTarget::Service(_) => true,
        };
        let teams = route
            .teams
            .iter()
            .all(|team| self.has(EntityKind::Team, team));
        !route.name.is_empty()
            && known
            && teams
            && (!route.open || route.teams.is_empty())
            && self.others(target).all(
                |other| !matches!(other, EntityChange::PutRoute(other) if other.prefix == route.prefix),
            )
    }

    fn may_retire(&self, target: &EntityName) -> bool {
        let kinds = self.entities.keys().map(|name| name.kind);
        let operators = kinds.filter(|kind| *kind == EntityKind::Operator).count();
        let (kind, name) = (target.kind, &target.name);
        let refers = |other: &EntityChange| match (kind, other) {
            (EntityKind::Model, EntityChange::PutVersion(version)) => version.model == *name,
            (EntityKind::Model, EntityChange::PutAdapter(adapter)) => adapter.model == *name,
            (EntityKind::Model, EntityChange::PutRoute(route)) => {
                route.target == RouteTarget::Model(name.clone())
            }
            (EntityKind::Version, EntityChange::PutModel(model)) => {
                *name == format!("{}@{}", model.name, model.version)
            }
            (EntityKind::Team, EntityChange::PutKey(key)) => key.team == *name,
            (EntityKind::Team, EntityChange::PutRoute(route)) => route.teams.contains(name),
            _ => false,
        };
        self.revision(target) > 0
            && kind != EntityKind::Policy
            && !(kind == EntityKind::Operator && operators == 1)
            && !self.others(target).any(refers)
    }
}

fn command_for_step(step: &Step, reference: &ReferenceCatalog) -> ChangeCommand {
    let change = step.change();
    let current = reference.revision(&change.target());
    let base = match step.base {
        Base::Current => current,
        Base::Zero => 0,
        Base::Stale => current.wrapping_sub(1),
    };
    let mut command = ChangeCommand {
        id: RecordId(reference.history.len() as u128),
        base: Revision(base),
        author: name_of(step.author).into(),
        change,
    };
    if let Some(repeat) = step.repeat
        && let Some((earlier, _)) = reference.history.get(usize::from(repeat))
    {
        // Half of the repetitions resend the same command, the others reuse its id for another change.
        match step.retire {
            true => command = earlier.clone(),
            false => command.id = earlier.id,
        }
    }
    command
}

/// Guards against verdicts that break a rule of the catalog or depend on whether the state was replayed or decoded in
/// between.
#[test]
fn apply_agrees_with_reference_catalog() {
    bolero::check!()
        .with_type::<Vec<Step>>()
        .with_iterations(20_000)
        .for_each(|steps| {
            let mut catalog = FleetCatalog::default();
            let mut reference = ReferenceCatalog::default();
            for (offset, step) in (0..).zip(steps) {
                let command = command_for_step(step, &reference);
                let expected = reference.apply(offset, &command);
                let verdict = catalog.apply(LogOffset(offset), &command);
                assert_eq!(
                    Outcome::from(verdict.clone()),
                    expected,
                    "{command:?}: {verdict:?}"
                );
                if offset % 7 == 6 {
                    let state = encode_state(&catalog).unwrap();
                    catalog = decode_state(&state).unwrap();
                    assert_eq!(encode_state(&catalog).unwrap(), state);
                }
            }
            compare_lookups(&catalog, &reference);
        });
}

fn compare_lookups(catalog: &FleetCatalog, reference: &ReferenceCatalog) {
    for listed in catalog.entities() {
        let target = listed.declaration.target();
        let expected = reference.entities.get(&target);
        match listed.revision {
            Revision(0) => assert_eq!(target.kind, EntityKind::Policy),
            Revision(revision) => assert_eq!(expected, Some(&(listed.declaration, revision))),
        }
    }
    let policy = usize::from(!reference.has(EntityKind::Policy, "policy"));
    assert_eq!(catalog.entities().len(), reference.entities.len() + policy);
    for amount in 0..8_u8 {
        let secret = String::from(char::from(amount));
        let key = reference
            .entities
            .values()
            .find_map(|(change, _)| match change {
                EntityChange::PutKey(key) if key.digest == KeyDigest::of(&[amount]) => Some(key),
                _ => None,
            });
        let expected = key.map(|key| (&key.name, &key.team));
        assert_eq!(catalog.team_of_key(&secret), expected);
    }
}

/// Guards against generated steps that are nearly all refused, which would leave most rules unchecked.
#[test]
fn a_whole_fleet_is_accepted_and_retired_in_order() {
    let mut catalog = FleetCatalog::default();
    let mut reference = ReferenceCatalog::default();
    let step = |kind: EntityKind, amount, retire| Step {
        kind: KINDS.iter().position(|other| *other == kind).unwrap() as u8,
        name: 0,
        reference: 1,
        amount,
        author: 1,
        retire,
        base: Base::Current,
        repeat: None,
    };
    let model = Step {
        name: 1,
        ..step(EntityKind::Model, 1, false)
    };
    let team = Step {
        name: 1,
        ..step(EntityKind::Team, 1, false)
    };
    let operator = Step {
        name: 1,
        ..step(EntityKind::Operator, 2, false)
    };
    let steps = [
        operator,
        team.clone(),
        model.clone(),
        step(EntityKind::Version, 1, false),
        step(EntityKind::Adapter, 1, false),
        step(EntityKind::Key, 3, false),
        step(EntityKind::Route, 1, false),
        step(EntityKind::Backend, 1, false),
        step(EntityKind::Policy, 1, false),
        step(EntityKind::Version, 1, true),
        step(EntityKind::Adapter, 1, true),
        step(EntityKind::Key, 1, true),
        step(EntityKind::Route, 1, true),
        step(EntityKind::Backend, 1, true),
        Step {
            retire: true,
            ..team
        },
        Step {
            retire: true,
            ..model
        },
    ];
    for (offset, step) in (0..).zip(&steps) {
        let command = command_for_step(step, &reference);
        assert_eq!(
            reference.apply(offset, &command),
            Outcome::Accepted(offset + 1),
            "{command:?}"
        );
        let verdict = catalog.apply(LogOffset(offset), &command);
        assert_eq!(
            verdict,
            ApplyVerdict::Accepted(Revision(offset + 1)),
            "{command:?}"
        );
    }
    compare_lookups(&catalog, &reference);
}

/// Guards against a path that matches a route with another prefix, through `..` or a prefix that ends inside a segment.
#[test]
fn routes_match_whole_segments_and_the_longest_prefix() {
    let mut catalog = FleetCatalog::default();
    for (offset, prefix) in (0..).zip(["/", "/bookings", "/bookings/seats"]) {
        let route = RouteSpec {
            name: format!("r{offset}").into(),
            prefix: prefix.into(),
            target: RouteTarget::Service("desk".into()),
            open: false,
            repeatable: false,
            class: Default::default(),
            teams: vec![],
            cost: 1,
        };
        let command = command(0, EntityChange::PutRoute(route));
        let verdict = catalog.apply(LogOffset(offset), &command);
        assert!(matches!(verdict, ApplyVerdict::Accepted(_)), "{verdict:?}");
    }
    let prefix = |path| {
        catalog
            .route_for_path(path)
            .map(|route| route.prefix.as_str())
    };
    assert_eq!(prefix("/bookings"), Some("/bookings"));
    assert_eq!(prefix("/bookings?seat=/bookings/seats"), Some("/bookings"));
    assert_eq!(prefix("/bookings/seats/4"), Some("/bookings/seats"));
    assert_eq!(prefix("/bookings-old"), Some("/"));
    assert_eq!(prefix("/bookings/../seeds"), None);
    assert_eq!(prefix("/bookings/%2E%2e/seeds"), None);
}

/// Guards against a record that is applied or skipped at another offset than its own, and against a malformed record
/// that decodes.
#[test]
fn offsets_are_applied_once_and_in_order() {
    let mut catalog = FleetCatalog::default();
    let first = put_team("desks", 5, 0);
    assert!(matches!(
        catalog.apply(LogOffset(1), &first),
        ApplyVerdict::Invalid(_)
    ));
    assert_eq!(catalog.next_offset(), LogOffset(0));
    assert_eq!(
        catalog.apply(LogOffset(0), &first),
        ApplyVerdict::Accepted(Revision(1))
    );
    catalog.skip(LogOffset(0));
    assert_eq!(catalog.next_offset(), LogOffset(1));
    let mut record = first.encode().unwrap();
    assert_eq!(ChangeCommand::decode(&record).unwrap(), first);
    record.push(0);
    assert!(ChangeCommand::decode(&record).is_err());
    assert!(ChangeCommand::decode(&[]).is_err());
}

/// Guards against a window of command ids that grows without bound or drops a command too early.
#[test]
fn the_window_of_command_ids_is_bounded() {
    let mut catalog = FleetCatalog::default();
    let first = put_team("desks", 5, 0);
    catalog.apply(LogOffset(0), &first);
    let mut offset = 1;
    let mut fill = |catalog: &mut FleetCatalog, count: usize| {
        for _ in 0..count {
            catalog.apply(LogOffset(offset), &put_team("desks", 5, 7));
            offset += 1;
        }
    };
    fill(&mut catalog, COMMAND_WINDOW - 1);
    let found = catalog
        .applied_command(first.id)
        .map(|applied| applied.offset);
    assert_eq!(found, Some(LogOffset(0)));
    let full = encode_state(&catalog).unwrap().len();
    fill(&mut catalog, 100);
    assert_eq!(catalog.applied_command(first.id), None);
    // Offsets of more digits take a few bytes more.
    assert!(encode_state(&catalog).unwrap().len() < full + 1_000);
}
