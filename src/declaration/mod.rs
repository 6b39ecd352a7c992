//! Declaration files: JSON with comments that lists the entities of a fleet.
//!
//! A file holds any of the sections `policy` (an object), `teams`, `models`, `versions`, `adapters`, `keys`, `routes`,
//! `backends` and `operators` (arrays). Keys and operators are given by the SHA-256 digest of their secret.
//!
//! ```
//! use foxtailhill::declaration::Declaration;
//!
//! let text = r#"{
//!     // `rate` is in tokens per second, `burst` in tokens.
//!     "teams": [{"name": "desks", "rate": 900, "burst": 9000}],
//! }"#;
//! let error = Declaration::parse("fleet.json", text).unwrap_err();
//! assert_eq!(error.message(), "fleet.json:4:1: trailing comma");
//! ```

mod form;
mod position;

use std::io::Read;
use std::path::Path;

use json_comments::StripComments;
use smol_str::SmolStr;

use crate::catalog::{
    ApplyVerdict, BOOTSTRAP_AUTHOR, ChangeCommand, EntityChange, EntityKind, FleetCatalog, Revision,
};
use crate::declaration::form::DeclarationForm;
use crate::declaration::position::{SectionPositions, TextPosition};
use crate::error::{Category, Error, Result};
use crate::ids::{LogOffset, RecordId};

pub use self::form::{entity_from_json, entity_to_json};

/// An entity of a declaration file and the position at which it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredItem {
    /// The change that declares the entity; never a retirement.
    pub change: EntityChange,
    /// Line and column, from 1; columns count bytes.
    pub line: usize,
    pub column: usize,
}

/// A parsed declaration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// Name of the file in messages.
    pub file: String,
    /// Entities in an order in which they can be created. Operators come last, as the bootstrap key is no longer
    /// accepted once the first of them is declared.
    pub items: Vec<DeclaredItem>,
}

/// Reads the declaration file at `path` and checks it as the complete declaration of a fleet.
///
/// # Errors
///
/// Fails with `Invalid` and one line `file:line:column: reason` per error.
pub fn check(path: &Path) -> Result<Declaration> {
    let declaration = load(path)?;
    declaration.check()?;
    Ok(declaration)
}

/// Reads the declaration file at `path`, which may refer to entities that it does not list.
///
/// # Errors
///
/// Fails with `NotFound` if the file cannot be read and with `Invalid` and a position if it is malformed.
pub fn load(path: &Path) -> Result<Declaration> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|cause| Error::new(Category::NotFound, format!("{file}: {cause}")))?;
    Declaration::parse(&file, &text)
}

impl Declaration {
    /// Parses the text of a declaration file; `file` is its name in messages.
    ///
    /// # Errors
    ///
    /// Fails with `Invalid` and a position if the text is malformed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut plain = String::new();
        let stripped = StripComments::new(text.as_bytes()).read_to_string(&mut plain);
        if stripped.is_err() {
            let end = TextPosition::of(text, text.len());
            return Err(error_at(file, end, "unterminated comment or string"));
        }
        let form: DeclarationForm = serde_json::from_str(&plain).map_err(|cause| {
            let position = TextPosition {
                line: cause.line(),
                column: cause.column(),
            };
            error_at(file, position, &without_position(&cause))
        })?;
        let positions = SectionPositions::scan(&plain);
        let items = form.into_items(&positions);
        Ok(Self {
            file: file.into(),
            items,
        })
    }

    /// Checks names, values and references by applying the entities to an empty catalog.
    ///
    /// # Errors
    ///
    /// Fails with `Invalid` and one line `file:line:column: reason` per error.
    pub fn check(&self) -> Result<()> {
        let author = self.first_operator().unwrap_or(BOOTSTRAP_AUTHOR.into());
        let mut catalog = FleetCatalog::default();
        let mut messages = Vec::new();
        for (offset, item) in (0..).map(LogOffset).zip(&self.items) {
            let command = ChangeCommand {
                id: RecordId(offset.0.into()),
                base: Revision(0),
                author: author.clone(),
                change: item.change.clone(),
            };
            match catalog.apply(offset, &command) {
                ApplyVerdict::Accepted(_) => {}
                ApplyVerdict::Conflict { .. } => {
                    let reason = format!("{} is declared twice", item.change.target());
                    messages.push(self.message_at(item, &reason));
                }
                ApplyVerdict::Invalid(reason) => {
                    let reason = format!("{}: {reason}", item.change.target());
                    messages.push(self.message_at(item, &reason));
                }
            }
        }
        match messages.is_empty() {
            true => Ok(()),
            false => Err(Error::invalid(messages.join("\n"))),
        }
    }

    /// Returns `reason` prefixed with the file name and the position of `item`.
    pub fn message_at(&self, item: &DeclaredItem, reason: &str) -> String {
        format!("{}:{}:{}: {reason}", self.file, item.line, item.column)
    }

    fn first_operator(&self) -> Option<SmolStr> {
        let mut targets = self.items.iter().map(|item| item.change.target());
        let operator = targets.find(|target| target.kind == EntityKind::Operator)?;
        Some(operator.name)
    }
}

fn error_at(file: &str, position: TextPosition, reason: &str) -> Error {
    let TextPosition { line, column } = position;
    Error::invalid(format!("{file}:{line}:{column}: {reason}"))
}

fn without_position(cause: &serde_json::Error) -> String {
    let message = cause.to_string();
    let suffix = format!(" at line {} column {}", cause.line(), cause.column());
    message
        .strip_suffix(&suffix)
        .map(String::from)
        .unwrap_or(message)
}
