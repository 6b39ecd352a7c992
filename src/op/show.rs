//! Output of `op`, and its read-only commands.

use std::io::Write;

use serde_json::{Value, json};

use crate::catalog::{EntityChange, EntityKind};
use crate::declaration::entity_to_json;
use crate::ids::LogOffset;
use crate::op::OpExit;
use crate::op::client::{AppliedChange, OpClient, OpFailure};

/// Writes results as text or JSON.
pub(super) struct Printer<'a, W> {
    pub(super) out: &'a mut W,
    pub(super) json: bool,
}

impl<W: Write> Printer<'_, W> {
    fn print_line(&mut self, text: &str, value: &Value) -> Result<(), OpFailure> {
        match self.json {
            true => writeln!(self.out, "{value}")?,
            false => writeln!(self.out, "{text}")?,
        }
        Ok(self.out.flush()?)
    }

    /// Prints a change that was accepted.
    pub(super) fn print_change(
        &mut self,
        change: &EntityChange,
        applied: &AppliedChange,
    ) -> Result<(), OpFailure> {
        let target = change.target();
        let verb = match change {
            EntityChange::Retire(_) => "retired",
            _ => "declared",
        };
        let mut text = format!(
            "{verb} {target}: revision {}, offset {}, in force on {} VMs",
            applied.revision.0,
            applied.offset,
            applied.confirmed.len()
        );
        if !applied.pending.is_empty() {
            text.push_str(&format!(", not confirmed by {}", applied.pending.join(" ")));
        }
        let value = json!({
            "kind": target.kind.as_str(),
            "name": target.name,
            "change": verb,
            "revision": applied.revision.0,
            "offset": applied.offset.0,
            "confirmed": applied.confirmed,
            "pending": applied.pending,
        });
        self.print_line(&text, &value)
    }

    /// Prints a newly generated key.
    pub(super) fn print_secret(&mut self, secret: &str) -> Result<(), OpFailure> {
        let value = json!({ "key": secret });
        self.print_line(&format!("key: {secret}"), &value)
    }
}

/// Lists declared entities.
pub(super) async fn list<W: Write>(
    client: &mut OpClient,
    kind: Option<EntityKind>,
    printer: &mut Printer<'_, W>,
) -> Result<OpExit, OpFailure> {
    for known in client.list(kind).await? {
        let target = known.declaration.target();
        let entity = entity_to_json(&known.declaration);
        let text = format!(
            "{} {} revision {} {entity}",
            target.kind.as_str(),
            target.name,
            known.revision
        );
        let value = json!({
            "kind": target.kind.as_str(),
            "revision": known.revision,
            "entity": entity,
        });
        printer.print_line(&text, &value)?;
    }
    Ok(OpExit::Done)
}

/// Shows which VMs have `offset` in force, until all have.
pub(super) async fn watch<W: Write>(
    client: &mut OpClient,
    offset: LogOffset,
    printer: &mut Printer<'_, W>,
) -> Result<OpExit, OpFailure> {
    let mut replies = client.watch(offset).await?;
    let mut exit = OpExit::Unconfirmed;
    while let Some(reply) = replies.message().await? {
        if reply.pending.is_empty() {
            exit = OpExit::Done;
        }
        let text = format!(
            "confirmed: {}; pending: {}",
            reply.confirmed.join(" "),
            reply.pending.join(" ")
        );
        let value = json!({ "confirmed": reply.confirmed, "pending": reply.pending });
        printer.print_line(&text, &value)?;
    }
    Ok(exit)
}

/// Lists members.
pub(super) async fn members<W: Write>(
    client: &mut OpClient,
    printer: &mut Printer<'_, W>,
) -> Result<OpExit, OpFailure> {
    for member in client.members().await? {
        let text = format!(
            "{} {} zone {} peer {} share {} ppm{}",
            member.name,
            member.vm,
            member.zone,
            member.peer_address,
            member.share_ppm,
            if member.planner { " planner" } else { "" }
        );
        let value = json!({
            "name": member.name,
            "vm": member.vm,
            "zone": member.zone,
            "peer_address": member.peer_address,
            "share_ppm": member.share_ppm,
            "planner": member.planner,
        });
        printer.print_line(&text, &value)?;
    }
    Ok(OpExit::Done)
}
