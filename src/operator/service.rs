//! Implements the calls of the operator schema on a catalog replica.

use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::Stream;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::{Code, Request, Response, Status};

use crate::catalog::{
    ApplyVerdict, BOOTSTRAP_AUTHOR, ChangeCommand, FleetCatalog, Revision, digests_match,
};
use crate::error::{Category, Error, RunVerdict};
use crate::ids::{KeyDigest, LogOffset};
use crate::journal::JournalClient;
use crate::kernel::TaskGroup;
use crate::operator::OperatorHooks;
use crate::operator::convert::{
    change_from_proto, kind_from_proto, listed_to_proto, parse_command_id,
};
use crate::proto::operator_service_server::OperatorService;
use crate::proto::{
    ApplyReply, ApplyRequest, ListReply, ListRequest, MembersReply, MembersRequest, WatchReply,
    WatchRequest,
};
use crate::replica::{CatalogReplica, ChangeReport, Confirmations};

/// Metadata entry of an ABORTED status that holds the entity's current revision.
pub const CURRENT_REVISION_KEY: &str = "current-revision";

/// Wait for confirmations if the request gives none.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// Longest wait for confirmations.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// Shortest wait for a change to be read back. A request with a shorter wait for confirmations still learns the
/// outcome of its change.
const MIN_SUBMIT_WAIT: Duration = Duration::from_secs(5);

/// Longest wait for a change to be read back, which also bounds how long a call can delay a shutdown.
pub(super) const MAX_SUBMIT_WAIT: Duration = Duration::from_secs(30);

/// Operator service on a catalog replica.
pub(super) struct CatalogOperator<J> {
    replica: Arc<CatalogReplica<J>>,
    bootstrap: Option<KeyDigest>,
    hooks: OperatorHooks,
    group: TaskGroup,
    stop: CancellationToken,
}

/// The authenticated operator of a call.
pub(super) struct CallingOperator {
    name: SmolStr,
    digest: KeyDigest,
}

impl<J: JournalClient> CatalogOperator<J> {
    pub(super) fn new(
        group: TaskGroup,
        replica: Arc<CatalogReplica<J>>,
        bootstrap: Option<KeyDigest>,
        hooks: OperatorHooks,
        stop: CancellationToken,
    ) -> Self {
        Self {
            replica,
            bootstrap,
            hooks,
            group,
            stop,
        }
    }

    /// Finds the operator by the bearer key in the `authorization` metadata.
    pub(super) fn authenticate(&self, metadata: &MetadataMap) -> Result<CallingOperator, Status> {
        // Until the state is loaded the catalog holds no operators, and the bootstrap key would wrongly be accepted.
        if !self.replica.is_ready() {
            return Err(Status::unavailable("the configuration is not loaded yet"));
        }
        let secret = metadata
            .get("authorization")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| Status::unauthenticated("an operator's key is required"))?;
        let digest = KeyDigest::of(secret.as_bytes());
        let catalog = self.replica.current();
        let name = find_operator(&catalog, self.bootstrap.as_ref(), &digest)
            .ok_or_else(|| Status::unauthenticated("the key does not belong to an operator"))?;
        Ok(CallingOperator { name, digest })
    }

    /// Fails with UNAVAILABLE while this daemon may have missed the withdrawal of the caller's key. Changes need no
    /// such check, as the catalog checks their author when it applies them.
    fn check_current(&self) -> Result<(), Status> {
        match (self.hooks.serves_keys)() {
            true => Ok(()),
            false => Err(Status::unavailable(
                "this daemon's configuration may be out of date; it cannot check keys",
            )),
        }
    }
}

#[tonic::async_trait]
impl<J: JournalClient> OperatorService for CatalogOperator<J> {
    type WatchStream = Pin<Box<dyn Stream<Item = Result<WatchReply, Status>> + Send>>;

    async fn apply(&self, request: Request<ApplyRequest>) -> Result<Response<ApplyReply>, Status> {
        let start = Instant::now();
        let author = self.authenticate(request.metadata())?.name;
        let request = request.into_inner();
        let wait = confirmation_wait(request.wait_ms);
        let command = ChangeCommand {
            id: parse_command_id(&request.command_id).map_err(|cause| grpc_status(&cause))?,
            base: Revision(request.base_revision),
            author,
            change: change_from_proto(request.change).map_err(|cause| grpc_status(&cause))?,
        };
        let (id, target) = (command.id, command.change.target());
        let submit_wait = wait.clamp(MIN_SUBMIT_WAIT, MAX_SUBMIT_WAIT);
        let submit = self.replica.submit(command, submit_wait);
        let report = submit.await.map_err(|cause| grpc_status(&cause))?;
        log::info!("change {id} of {target}: {:?}", report.verdict);
        let revision = accepted_revision(&report)?;
        let remaining = wait.saturating_sub(start.elapsed());
        let confirmations = self.replica.wait_confirmed(report.offset, remaining);
        let confirmations = self.stop.run_until_cancelled(confirmations).await;
        let confirmations =
            confirmations.unwrap_or_else(|| self.replica.confirmations(report.offset));
        let (confirmed, pending) = vm_names(confirmations);
        Ok(Response::new(ApplyReply {
            revision: revision.0,
            offset: report.offset.0,
            confirmed,
            pending,
        }))
    }

    async fn list(&self, request: Request<ListRequest>) -> Result<Response<ListReply>, Status> {
        self.authenticate(request.metadata())?;
        self.check_current()?;
        let kind =
            kind_from_proto(request.into_inner().kind).map_err(|cause| grpc_status(&cause))?;
        let catalog = self.replica.current();
        let entities = catalog.entities();
        let listed = entities
            .iter()
            .filter(|listed| kind.is_none_or(|kind| listed.declaration.target().kind == kind));
        Ok(Response::new(ListReply {
            entities: listed.map(listed_to_proto).collect(),
            next_offset: catalog.next_offset().0,
        }))
    }

    async fn watch(
        &self,
        request: Request<WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let caller = self.authenticate(request.metadata())?;
        self.check_current()?;
        let (replies, stream) = mpsc::channel(1);
        let watch = OffsetWatch {
            replica: self.replica.clone(),
            bootstrap: self.bootstrap,
            digest: caller.digest,
            offset: LogOffset(request.into_inner().offset),
            replies,
        };
        let stop = self.stop.clone();
        self.group.spawn(async move {
            stop.run_until_cancelled(watch.run()).await;
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }

    async fn members(
        &self,
        request: Request<MembersRequest>,
    ) -> Result<Response<MembersReply>, Status> {
        self.authenticate(request.metadata())?;
        self.check_current()?;
        let members = (self.hooks.members)();
        Ok(Response::new(MembersReply { members }))
    }
}

/// A running `Watch` call. It ends when all VMs have confirmed, the caller disconnects or its key is withdrawn.
struct OffsetWatch<J> {
    replica: Arc<CatalogReplica<J>>,
    bootstrap: Option<KeyDigest>,
    digest: KeyDigest,
    offset: LogOffset,
    replies: mpsc::Sender<Result<WatchReply, Status>>,
}

impl<J: JournalClient> OffsetWatch<J> {
    async fn run(self) {
        let mut changes = self.replica.confirmation_changes();
        let mut last = None;
        loop {
            let confirmations = self.replica.confirmations(self.offset);
            let complete = confirmations.pending.is_empty();
            if !self.check_caller().await {
                return;
            }
            if last.as_ref() != Some(&confirmations) {
                last = Some(confirmations.clone());
                let (confirmed, pending) = vm_names(confirmations);
                let reply = WatchReply { confirmed, pending };
                if self.replies.send(Ok(reply)).await.is_err() || complete {
                    return;
                }
            }
            let change = tokio::select! {
                change = changes.next() => change,
                () = self.replies.closed() => None,
            };
            if change.is_none() {
                return;
            }
        }
    }

    /// Returns whether the caller still is an operator. If not, sends it an UNAUTHENTICATED status.
    async fn check_caller(&self) -> bool {
        let catalog = self.replica.current();
        if find_operator(&catalog, self.bootstrap.as_ref(), &self.digest).is_some() {
            return true;
        }
        let status = Status::unauthenticated("the operator's key was withdrawn");
        // The caller may have disconnected already.
        let _ = self.replies.send(Err(status)).await;
        false
    }
}

fn find_operator(
    catalog: &FleetCatalog,
    bootstrap: Option<&KeyDigest>,
    digest: &KeyDigest,
) -> Option<SmolStr> {
    if catalog.has_operators() {
        return catalog.operator_of_digest(digest).cloned();
    }
    digests_match(bootstrap?, digest).then(|| BOOTSTRAP_AUTHOR.into())
}

fn confirmation_wait(wait_ms: u32) -> Duration {
    match wait_ms {
        0 => DEFAULT_WAIT,
        wait_ms => Duration::from_millis(wait_ms.into()).min(MAX_WAIT),
    }
}

fn vm_names(confirmations: Confirmations) -> (Vec<String>, Vec<String>) {
    let names = |names: Vec<SmolStr>| names.into_iter().map(String::from).collect();
    (names(confirmations.confirmed), names(confirmations.pending))
}

fn accepted_revision(report: &ChangeReport) -> Result<Revision, Status> {
    match &report.verdict {
        ApplyVerdict::Accepted(revision) => Ok(*revision),
        ApplyVerdict::Conflict { current } => {
            let message = format!("conflict: the entity is at revision {}", current.0);
            let mut status = Status::aborted(message);
            let value = MetadataValue::from(current.0);
            status.metadata_mut().insert(CURRENT_REVISION_KEY, value);
            Err(status)
        }
        ApplyVerdict::Invalid(reason) => Err(Status::invalid_argument(reason)),
    }
}

/// Maps an error to a gRPC status; its message names the run verdict unless that is `not_run`.
pub fn grpc_status(cause: &Error) -> Status {
    let code = match cause.category() {
        Category::Invalid | Category::TooLarge => Code::InvalidArgument,
        Category::Unauthenticated => Code::Unauthenticated,
        Category::Forbidden => Code::PermissionDenied,
        Category::NotFound => Code::NotFound,
        Category::Conflict => Code::Aborted,
        Category::RateLimited | Category::Overloaded => Code::ResourceExhausted,
        Category::Quarantined => Code::FailedPrecondition,
        Category::Unavailable | Category::ShuttingDown => Code::Unavailable,
        Category::Timeout => Code::DeadlineExceeded,
        Category::Protocol | Category::Internal => Code::Internal,
    };
    match cause.verdict() {
        RunVerdict::NotRun => Status::new(code, cause.message()),
        verdict => Status::new(code, format!("{} ({verdict})", cause.message())),
    }
}
