//! `op apply`: creates or changes the entities that differ from a declaration file.

use std::collections::HashMap;
use std::io::Write;
use std::path::Path;

use crate::catalog::{EntityChange, EntityKind, EntityName};
use crate::declaration::{Declaration, DeclaredItem, load};
use crate::error::Category;
use crate::ids::KeyDigest;
use crate::op::OpExit;
use crate::op::client::{KnownEntity, OpClient, OpFailure};
use crate::op::exit_of;
use crate::op::show::Printer;

/// A change that makes an entity match the file, and the revision that it starts from.
struct PlannedChange<'a> {
    item: &'a DeclaredItem,
    base: u64,
}

/// Applies the file at `path`. Stops at the first change that is refused; earlier changes are kept.
///
/// Entities that already match the file are skipped, so the command can be repeated.
pub(super) async fn apply_file<W: Write>(
    client: &mut OpClient,
    path: &Path,
    printer: &mut Printer<'_, W>,
) -> Result<OpExit, OpFailure> {
    let declaration = load(path).map_err(|cause| match cause.category() {
        Category::NotFound => OpFailure::new(OpExit::Usage, cause.message()),
        _ => OpFailure::refused(cause.message()),
    })?;
    let known = client.list(None).await?;
    let mut exit = OpExit::Done;
    let mut planned = plan(&declaration, &known, client.digest())
        .into_iter()
        .peekable();
    while let Some(PlannedChange { item, base }) = planned.next() {
        // VMs apply changes in order, so those that have the last one in force have the earlier ones too.
        let applied = match planned.peek() {
            Some(_) => client.apply_without_wait(&item.change, base).await,
            None => client.apply(&item.change, base).await,
        };
        let applied = applied.map_err(|failure| at_item(&declaration, item, &failure))?;
        printer.print_change(&item.change, &applied)?;
        exit = exit_of(&applied);
    }
    Ok(exit)
}

fn at_item(declaration: &Declaration, item: &DeclaredItem, failure: &OpFailure) -> OpFailure {
    let reason = format!("{}: {}", item.change.target(), failure.message);
    OpFailure::new(failure.exit, declaration.message_at(item, &reason))
}

/// Returns the changes for entities that differ from `known`, in an order in which they can be applied.
fn plan<'a>(
    declaration: &'a Declaration,
    known: &[KnownEntity],
    own_digest: KeyDigest,
) -> Vec<PlannedChange<'a>> {
    let known: HashMap<EntityName, &KnownEntity> = known
        .iter()
        .map(|entity| (entity.declaration.target(), entity))
        .collect();
    let mut planned: Vec<_> = declaration
        .items
        .iter()
        .filter_map(|item| match known.get(&item.change.target()) {
            Some(entity) if entity.declaration == item.change => None,
            entity => Some(PlannedChange {
                item,
                base: entity.map_or(0, |entity| entity.revision),
            }),
        })
        .collect();
    planned.sort_by_key(|planned| rank(planned, own_digest));
    planned
}

/// Returns the sort key of a change. The sort is stable, so changes of equal rank keep the order of the declaration.
fn rank(planned: &PlannedChange<'_>, own_digest: KeyDigest) -> u32 {
    match &planned.item.change {
        // A changed model may refer to a version of the same file, and a new version needs its model.
        EntityChange::PutModel(_) if planned.base > 0 => 2,
        EntityChange::PutVersion(_) => 1,
        // The bootstrap key is refused once the first operator is declared. If that operator has the key of this
        // client, the client can declare the others after it.
        EntityChange::PutOperator(spec) if spec.digest == own_digest => 4,
        EntityChange::PutOperator(_) => 5,
        change => match change.target().kind {
            EntityKind::Policy | EntityKind::Team | EntityKind::Model => 0,
            _ => 3,
        },
    }
}
