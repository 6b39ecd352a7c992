//! gRPC client of the operator interface.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::time::sleep;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};

use crate::catalog::{EntityChange, EntityKind, EntityName, Revision};
use crate::ids::{KeyDigest, LogOffset, RecordId};
use crate::op::OpExit;
use crate::operator::{change_to_proto, entity_from_proto, kind_to_proto};
use crate::proto;
use crate::proto::operator_service_client::OperatorServiceClient;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time added to the wait for confirmations to give the deadline of a call.
const CALL_MARGIN: Duration = Duration::from_secs(10);

/// Attempts per change. All carry the same command id, so a change whose reply was lost is applied once.
const MAX_ATTEMPTS: u32 = 3;

/// Wait between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Exit code and message of a command that failed.
#[derive(Clone, Debug)]
pub(super) struct OpFailure {
    pub(super) exit: OpExit,
    pub(super) message: String,
}

impl OpFailure {
    pub(super) fn new(exit: OpExit, message: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
        }
    }

    pub(super) fn refused(message: impl Into<String>) -> Self {
        Self::new(OpExit::Refused, message)
    }
}

impl From<std::io::Error> for OpFailure {
    fn from(cause: std::io::Error) -> Self {
        Self::new(OpExit::Usage, format!("cannot write the output: {cause}"))
    }
}

impl From<Status> for OpFailure {
    fn from(status: Status) -> Self {
        let exit = match status.code() {
            Code::Aborted => OpExit::Conflict,
            Code::Unavailable | Code::DeadlineExceeded | Code::Unknown | Code::Cancelled => {
                OpExit::Unreachable
            }
            _ => OpExit::Refused,
        };
        Self::new(exit, status.message())
    }
}

/// A change that the daemon accepted.
#[derive(Clone, Debug)]
pub(super) struct AppliedChange {
    pub(super) revision: Revision,
    pub(super) offset: LogOffset,
    pub(super) confirmed: Vec<String>,
    pub(super) pending: Vec<String>,
}

/// A declared entity and its revision.
#[derive(Clone, Debug)]
pub(super) struct KnownEntity {
    pub(super) declaration: EntityChange,
    pub(super) revision: u64,
}

/// Client of one daemon with an operator's key.
pub(super) struct OpClient {
    service: OperatorServiceClient<Channel>,
    authorization: MetadataValue<Ascii>,
    digest: KeyDigest,
    wait_ms: u32,
}

impl OpClient {
    /// Reads the key; the connection is opened on use.
    pub(super) fn open(
        server: SocketAddr,
        key_file: &Path,
        wait_ms: u32,
    ) -> Result<Self, OpFailure> {
        let unusable = |cause: String| OpFailure::new(OpExit::Usage, cause);
        let secret = std::fs::read_to_string(key_file).map_err(|cause| {
            unusable(format!(
                "cannot read key file {}: {cause}",
                key_file.display()
            ))
        })?;
        let secret = secret.trim();
        let mut authorization =
            MetadataValue::try_from(format!("Bearer {secret}")).map_err(|_| {
                unusable(format!(
                    "{}: the key contains characters that a header cannot carry",
                    key_file.display()
                ))
            })?;
        authorization.set_sensitive(true);
        let endpoint = Endpoint::from_shared(format!("http://{server}"))
            .map_err(|cause| unusable(cause.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT);
        Ok(Self {
            service: OperatorServiceClient::new(endpoint.connect_lazy()),
            authorization,
            digest: KeyDigest::of(secret.as_bytes()),
            wait_ms,
        })
    }

    /// Returns the digest of the operator's key.
    pub(super) fn digest(&self) -> KeyDigest {
        self.digest
    }

    /// Submits a change that starts from revision `base` and waits for VMs to confirm it.
    pub(super) async fn apply(
        &mut self,
        change: &EntityChange,
        base: u64,
    ) -> Result<AppliedChange, OpFailure> {
        self.apply_with_wait(change, base, self.wait_ms).await
    }

    /// Submits a change that starts from revision `base` without waiting for other VMs to confirm it.
    pub(super) async fn apply_without_wait(
        &mut self,
        change: &EntityChange,
        base: u64,
    ) -> Result<AppliedChange, OpFailure> {
        self.apply_with_wait(change, base, 0).await
    }

    async fn apply_with_wait(
        &mut self,
        change: &EntityChange,
        base: u64,
        wait_ms: u32,
    ) -> Result<AppliedChange, OpFailure> {
        let message = proto::ApplyRequest {
            command_id: RecordId::random().to_string(),
            base_revision: base,
            change: Some(change_to_proto(change)),
            // 0 selects the daemon's default.
            wait_ms: wait_ms.max(1),
        };
        let mut attempt = 1;
        let reply = loop {
            let request = self.request(message.clone());
            match self.service.apply(request).await {
                Ok(reply) => break reply.into_inner(),
                Err(status) if attempt < MAX_ATTEMPTS && is_transient(&status) => {
                    attempt += 1;
                    sleep(RETRY_DELAY).await;
                }
                Err(status) => return Err(status.into()),
            }
        };
        Ok(AppliedChange {
            revision: Revision(reply.revision),
            offset: LogOffset(reply.offset),
            confirmed: reply.confirmed,
            pending: reply.pending,
        })
    }

    /// Returns the revision of an entity, 0 if it is not declared.
    pub(super) async fn revision_of(&mut self, target: &EntityName) -> Result<u64, OpFailure> {
        let entities = self.list(Some(target.kind)).await?;
        let known = entities
            .iter()
            .find(|known| known.declaration.target() == *target);
        Ok(known.map_or(0, |known| known.revision))
    }

    /// Lists entities of `kind`, or of all kinds.
    pub(super) async fn list(
        &mut self,
        kind: Option<EntityKind>,
    ) -> Result<Vec<KnownEntity>, OpFailure> {
        let kind = kind.map_or(proto::Kind::Unspecified, kind_to_proto);
        let request = self.request(proto::ListRequest { kind: kind.into() });
        let reply = self.service.list(request).await?.into_inner();
        let entities = reply.entities.into_iter().map(|listed| {
            let entity = listed.entity.unwrap_or_default();
            let declaration = entity_from_proto(entity)
                .map_err(|cause| OpFailure::new(OpExit::Unreachable, cause.message()))?;
            Ok(KnownEntity {
                declaration,
                revision: listed.revision,
            })
        });
        entities.collect()
    }

    /// Watches which VMs have `offset` in force.
    pub(super) async fn watch(
        &mut self,
        offset: LogOffset,
    ) -> Result<tonic::Streaming<proto::WatchReply>, OpFailure> {
        let mut request = self.request(proto::WatchRequest { offset: offset.0 });
        // A watch has no deadline: it lasts until all VMs have confirmed.
        request.metadata_mut().remove("grpc-timeout");
        Ok(self.service.watch(request).await?.into_inner())
    }

    /// Lists members.
    pub(super) async fn members(&mut self) -> Result<Vec<proto::Member>, OpFailure> {
        let request = self.request(proto::MembersRequest {});
        Ok(self.service.members(request).await?.into_inner().members)
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(Duration::from_millis(self.wait_ms.into()) + CALL_MARGIN);
        let metadata = request.metadata_mut();
        metadata.insert("authorization", self.authorization.clone());
        request
    }
}

fn is_transient(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unavailable | Code::DeadlineExceeded | Code::Unknown
    )
}
