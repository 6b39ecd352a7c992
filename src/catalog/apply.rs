//! Applies change records in offset order.

use serde::{Deserialize, Serialize};

use crate::catalog::{ChangeCommand, Revision};
use crate::ids::LogOffset;

/// What a change record did, the same on every daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyVerdict {
    /// The change is part of the configuration at this revision.
    Accepted(Revision),
    /// The entity is at another revision than the command's base.
    Conflict { current: Revision },
    /// The change breaks a rule of the catalog.
    Invalid(String),
}

/// Everything that operators have declared, at one offset of the `config` stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetCatalog {}

impl FleetCatalog {
    /// Applies the record at `offset`, which must be the next one.
    pub fn apply(&mut self, _offset: LogOffset, _command: &ChangeCommand) -> ApplyVerdict {
        ApplyVerdict::Invalid("not supported".into())
    }
}
