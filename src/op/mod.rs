//! The `op` command: changes and shows the declared state of a fleet through a daemon's operator interface.
//!
//! Exit codes: see [`OpExit`].

mod apply;
mod client;
mod show;

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::catalog::{EntityChange, EntityKind, EntityName, KeySpec};
use crate::declaration::entity_from_json;
use crate::ids::{KeyDigest, LogOffset};
use crate::op::apply::apply_file;
use crate::op::client::{AppliedChange, OpClient, OpFailure};
use crate::op::show::{Printer, list, members, watch};

/// Exit codes of `op`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum OpExit {
    /// The command succeeded.
    Done = 0,
    /// The input is invalid, or the daemon refused it.
    Refused = 1,
    /// The command line or a file that it names cannot be used.
    Usage = 2,
    /// The entity is at another revision than the one that the change starts from.
    Conflict = 3,
    /// The daemon or the log cannot be reached, or the outcome is unknown.
    Unreachable = 4,
    /// The change was accepted, but some VMs did not confirm it in time.
    Unconfirmed = 5,
}

impl From<OpExit> for ExitCode {
    fn from(exit: OpExit) -> Self {
        Self::from(exit as u8)
    }
}

/// change or show the configuration of a fleet
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "op")]
pub struct OpArgs {
    /// operator address of a daemon, as IP:PORT
    #[argh(option)]
    pub server: SocketAddr,
    /// file that holds the operator's key
    #[argh(option)]
    pub key_file: PathBuf,
    /// print JSON, one object a line
    #[argh(switch)]
    pub json: bool,
    /// longest wait in milliseconds for VMs to confirm a change (default 10000)
    #[argh(option, default = "10_000")]
    pub wait_ms: u32,
    #[argh(subcommand)]
    pub command: OpCommand,
}

/// Commands of `op`.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum OpCommand {
    Apply(ApplyArgs),
    Put(PutArgs),
    Retire(RetireArgs),
    GrantKey(GrantKeyArgs),
    WithdrawKey(WithdrawKeyArgs),
    List(ListArgs),
    Watch(WatchArgs),
    Members(MembersArgs),
}

/// create or change the entities that differ from a declaration file
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// declaration file, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
}

/// create or change one entity
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "put")]
pub struct PutArgs {
    /// kind: model, version, adapter, team, key, operator, route, backend or policy
    #[argh(positional, from_str_fn(parse_kind))]
    pub kind: EntityKind,
    /// the entity as JSON, in the form of a declaration file
    #[argh(positional)]
    pub entity: String,
    /// revision that the change starts from, 0 to create (default: the current one)
    #[argh(option)]
    pub base: Option<u64>,
}

/// retire an entity
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "retire")]
pub struct RetireArgs {
    /// kind: model, version, adapter, team, key, operator, route or backend
    #[argh(positional, from_str_fn(parse_kind))]
    pub kind: EntityKind,
    /// name; a version is named MODEL@VERSION
    #[argh(positional)]
    pub name: String,
    /// revision that the change starts from (default: the current one)
    #[argh(option)]
    pub base: Option<u64>,
}

/// grant a team a new key, which is printed once
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "grant-key")]
pub struct GrantKeyArgs {
    /// name by which the key is withdrawn
    #[argh(positional)]
    pub name: String,
    /// team that the key belongs to
    #[argh(positional)]
    pub team: String,
    /// SHA-256 digest of an existing key, in hexadecimal (default: generate a key)
    #[argh(option, from_str_fn(parse_digest))]
    pub digest: Option<KeyDigest>,
}

/// withdraw a key
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "withdraw-key")]
pub struct WithdrawKeyArgs {
    /// name of the key
    #[argh(positional)]
    pub name: String,
}

/// list declared entities with their revisions
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {
    /// kind of the entities (default: all)
    #[argh(positional, from_str_fn(parse_kind))]
    pub kind: Option<EntityKind>,
}

/// show which VMs have a configuration offset in force, until all have
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// offset of the change, as reported by the command that made it
    #[argh(positional)]
    pub offset: u64,
}

/// list the daemon's members, planners and shares
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "members")]
pub struct MembersArgs {}

fn parse_kind(text: &str) -> Result<EntityKind, String> {
    EntityKind::from_name(text).ok_or_else(|| format!("unknown kind `{text}`"))
}

fn parse_digest(text: &str) -> Result<KeyDigest, String> {
    KeyDigest::from_hex(text).ok_or_else(|| "digest is not 64 hexadecimal digits".into())
}

/// Runs a command. Results go to `out`, errors to `err`.
pub async fn run(args: &OpArgs, out: &mut impl Write, err: &mut impl Write) -> OpExit {
    let mut printer = Printer {
        out,
        json: args.json,
    };
    match execute(args, &mut printer).await {
        Ok(exit) => exit,
        Err(failure) => {
            // If the error stream is closed, the exit code still reports the failure.
            let _ = writeln!(err, "error: {}", failure.message);
            failure.exit
        }
    }
}

async fn execute<W: Write>(
    args: &OpArgs,
    printer: &mut Printer<'_, W>,
) -> Result<OpExit, OpFailure> {
    let mut client = OpClient::open(args.server, &args.key_file, args.wait_ms)?;
    match &args.command {
        OpCommand::Apply(command) => apply_file(&mut client, &command.file, printer).await,
        OpCommand::Put(command) => {
            let change = entity_from_json(command.kind, &command.entity)
                .map_err(|cause| OpFailure::refused(cause.message()))?;
            submit_change(&mut client, change, command.base, printer).await
        }
        OpCommand::Retire(command) => {
            let target = EntityName::new(command.kind, command.name.as_str());
            let change = EntityChange::Retire(target);
            submit_change(&mut client, change, command.base, printer).await
        }
        OpCommand::GrantKey(command) => grant_key(&mut client, command, printer).await,
        OpCommand::WithdrawKey(command) => {
            let target = EntityName::new(EntityKind::Key, command.name.as_str());
            let change = EntityChange::Retire(target);
            submit_change(&mut client, change, None, printer).await
        }
        OpCommand::List(command) => list(&mut client, command.kind, printer).await,
        OpCommand::Watch(command) => watch(&mut client, LogOffset(command.offset), printer).await,
        OpCommand::Members(_) => members(&mut client, printer).await,
    }
}

async fn submit_change<W: Write>(
    client: &mut OpClient,
    change: EntityChange,
    base: Option<u64>,
    printer: &mut Printer<'_, W>,
) -> Result<OpExit, OpFailure> {
    let base = match base {
        Some(base) => base,
        None => client.revision_of(&change.target()).await?,
    };
    let applied = client.apply(&change, base).await?;
    printer.print_change(&change, &applied)?;
    Ok(exit_of(&applied))
}

/// Grants a key. A key of the same name is not replaced, so that no key in use stops working.
async fn grant_key<W: Write>(
    client: &mut OpClient,
    command: &GrantKeyArgs,
    printer: &mut Printer<'_, W>,
) -> Result<OpExit, OpFailure> {
    let secret = command.digest.is_none().then(new_secret);
    let digest = match (&secret, command.digest) {
        (Some(secret), _) => KeyDigest::of(secret.as_bytes()),
        (None, digest) => digest.ok_or_else(|| OpFailure::refused("digest is missing"))?,
    };
    let change = EntityChange::PutKey(KeySpec {
        name: command.name.as_str().into(),
        team: command.team.as_str().into(),
        digest,
    });
    let applied = client.apply(&change, 0).await?;
    printer.print_change(&change, &applied)?;
    if let Some(secret) = secret {
        printer.print_secret(&secret)?;
    }
    Ok(exit_of(&applied))
}

fn new_secret() -> String {
    let secret: [u8; 32] = rand::random();
    let digits = secret.iter().map(|byte| format!("{byte:02x}"));
    digits.collect()
}

fn exit_of(applied: &AppliedChange) -> OpExit {
    match applied.pending.is_empty() {
        true => OpExit::Done,
        false => OpExit::Unconfirmed,
    }
}
