//! Applies change records in offset order.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use slotmap::DefaultKey;
use smol_str::SmolStr;

use crate::catalog::arena::{Arena, Declared, KeyTable};
use crate::catalog::{
    AdapterSpec, BackendSpec, ChangeCommand, EntityChange, EntityKind, EntityName, FleetPolicy,
    KeySpec, ModelSpec, OperatorSpec, Revision, RouteSpec, TeamSpec, VersionSpec,
};
use crate::ids::{BackendKey, KeyDigest, LogOffset, ModelKey, RecordId, TeamKey};

/// Number of recent commands whose verdicts are kept. At the design load of 230 changes a day, this covers more than
/// four days.
pub const COMMAND_WINDOW: usize = 1_024;

/// Author of changes that were made with the bootstrap key, while no operator is declared.
pub const BOOTSTRAP_AUTHOR: &str = "bootstrap";

/// Result of applying a change record; identical on every daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyVerdict {
    /// The change is part of the configuration at this revision.
    Accepted(Revision),
    /// The entity's current revision differs from the base revision of the command.
    Conflict { current: Revision },
    /// The change breaks a rule of the catalog.
    Invalid(String),
}

/// A command that was applied, and its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedCommand {
    pub id: RecordId,
    /// Offset of the first record with this id.
    pub offset: LogOffset,
    /// Digest of the base revision and the change; detects an id that is reused for another change.
    pub digest: KeyDigest,
    pub verdict: ApplyVerdict,
}

/// Declared state of the fleet at one offset of the `config` stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetCatalog {
    pub(super) next: LogOffset,
    pub(super) models: Arena<ModelKey, ModelSpec>,
    /// Version that each model was created with; it needs no declaration of its own.
    pub(super) initial_versions: BTreeMap<SmolStr, SmolStr>,
    pub(super) versions: Arena<DefaultKey, VersionSpec>,
    pub(super) adapters: Arena<DefaultKey, AdapterSpec>,
    pub(super) teams: Arena<TeamKey, TeamSpec>,
    pub(super) keys: KeyTable<KeySpec>,
    pub(super) operators: KeyTable<OperatorSpec>,
    pub(super) routes: Arena<DefaultKey, RouteSpec>,
    pub(super) backends: Arena<BackendKey, BackendSpec>,
    pub(super) policy: Declared<FleetPolicy>,
    commands: VecDeque<AppliedCommand>,
}

impl Default for Declared<FleetPolicy> {
    fn default() -> Self {
        Self {
            spec: FleetPolicy::default(),
            revision: Revision(0),
        }
    }
}

impl FleetCatalog {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Applies the command at `offset`. If that is not the next offset, the verdict is `Invalid` and nothing changes.
    pub fn apply(&mut self, offset: LogOffset, command: &ChangeCommand) -> ApplyVerdict {
        if offset != self.next {
            let reason = format!("offset {offset} is not the next one, {}", self.next);
            return ApplyVerdict::Invalid(reason);
        }
        self.next = offset.next();
        let digest = command.digest();
        if let Some(earlier) = self.applied_command(command.id) {
            if earlier.digest == digest {
                return earlier.verdict.clone();
            }
            return ApplyVerdict::Invalid("command id was used for another change".into());
        }
        let verdict = self.check_and_commit(offset, command);
        self.record_command(AppliedCommand {
            id: command.id,
            offset,
            digest,
            verdict: verdict.clone(),
        });
        verdict
    }

    /// Skips the record at `offset`, which is not a change record. Every daemon skips the same records.
    pub fn skip(&mut self, offset: LogOffset) {
        if offset == self.next {
            self.next = offset.next();
        }
    }

    /// Returns the command `id` with its verdict, if it is among the last [`COMMAND_WINDOW`] commands.
    pub fn applied_command(&self, id: RecordId) -> Option<&AppliedCommand> {
        self.commands.iter().rev().find(|applied| applied.id == id)
    }

    fn record_command(&mut self, applied: AppliedCommand) {
        if self.commands.len() == COMMAND_WINDOW {
            self.commands.pop_front();
        }
        self.commands.push_back(applied);
    }

    fn check_and_commit(&mut self, offset: LogOffset, command: &ChangeCommand) -> ApplyVerdict {
        if let Err(reason) = self.check_author(&command.author) {
            return ApplyVerdict::Invalid(reason);
        }
        let current = self.revision(&command.change.target());
        if command.base != current {
            return ApplyVerdict::Conflict { current };
        }
        let revision = Revision(offset.0 + 1);
        match self.check_change(&command.change) {
            Ok(()) => self.commit(revision, &command.change),
            Err(reason) => return ApplyVerdict::Invalid(reason),
        }
        ApplyVerdict::Accepted(revision)
    }

    /// Checks the author against the operators declared before this offset of the log, so that a daemon with an
    /// outdated view cannot let a withdrawn operator make changes.
    fn check_author(&self, author: &SmolStr) -> Result<(), String> {
        let operators = self.operators.arena();
        if operators.len() == 0 || operators.get(author).is_some() {
            return Ok(());
        }
        Err(format!("author `{author}` is not an operator"))
    }

    fn commit(&mut self, revision: Revision, change: &EntityChange) {
        match change {
            EntityChange::PutModel(spec) => {
                self.initial_versions
                    .entry(spec.name.clone())
                    .or_insert_with(|| spec.version.clone());
                self.models.put(&spec.name, spec.clone(), revision);
            }
            EntityChange::PutVersion(spec) => {
                let name = spec.full_name();
                self.versions.put(&name, spec.clone(), revision);
            }
            EntityChange::PutAdapter(spec) => {
                self.adapters.put(&spec.name, spec.clone(), revision);
            }
            EntityChange::PutTeam(spec) => self.teams.put(&spec.name, spec.clone(), revision),
            EntityChange::PutKey(spec) => self.keys.put(&spec.name, spec.clone(), revision),
            EntityChange::PutOperator(spec) => {
                self.operators.put(&spec.name, spec.clone(), revision);
            }
            EntityChange::PutRoute(spec) => self.routes.put(&spec.name, spec.clone(), revision),
            EntityChange::PutBackend(spec) => {
                self.backends.put(&spec.name, spec.clone(), revision);
            }
            EntityChange::PutPolicy(spec) => {
                self.policy = Declared {
                    spec: spec.clone(),
                    revision,
                };
            }
            EntityChange::Retire(target) => self.remove(target),
        }
    }

    fn remove(&mut self, target: &EntityName) {
        let name = target.name.as_str();
        match target.kind {
            EntityKind::Model => {
                self.models.remove(name);
                self.initial_versions.remove(name);
            }
            EntityKind::Version => {
                self.versions.remove(name);
            }
            EntityKind::Adapter => {
                self.adapters.remove(name);
            }
            EntityKind::Team => {
                self.teams.remove(name);
            }
            EntityKind::Key => self.keys.remove(name),
            EntityKind::Operator => self.operators.remove(name),
            EntityKind::Route => {
                self.routes.remove(name);
            }
            EntityKind::Backend => {
                self.backends.remove(name);
            }
            EntityKind::Policy => {}
        }
    }
}
