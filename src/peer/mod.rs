//! Calls between daemons: h2 with bincode bodies.
//!
//! A call is one h2 stream: `POST /peer` with an encoded [`PeerRequest`], answered by an encoded
//! `Result<PeerReply, Error>`. [`PeerServer`] accepts calls, [`PeerClient`] makes them over one reused
//! connection per peer.

mod client;
mod codec;
mod connections;
mod server;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::client::PeerClient;
pub use self::codec::{MAX_REPLY_BYTES, MAX_REQUEST_BYTES};
pub use self::server::{PeerLimits, PeerServer};
use crate::dispatch::ModelDemand;
use crate::error::Result;
use crate::ids::{KeyDigest, LogOffset, VmId};
use crate::limit::MAX_LOAN_LIFETIME;
use crate::relay::{
    ConfigChunk, ConfigRequest, CopyRequest, KnownOrigin, PlacementChange, PlacementRequest,
    StreamId, TableCopy,
};

/// Longest promise of a status, above any term of a member.
const MAX_PROMISE: Duration = Duration::from_secs(24 * 3_600);

/// What a daemon reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    pub vm: VmId,
    pub name: SmolStr,
    /// Next offset of the `config` stream that the daemon has not applied yet.
    pub config_next: LogOffset,
    /// The same for the `members` stream.
    pub members_next: LogOffset,
    /// Whether the daemon reached the log within the last second.
    pub log_reachable: bool,
    /// The sender will not append `Expire` for the receiver of this message for this long after it sent it.
    pub no_expire_for: Duration,
    /// Spare tokens per team name; borrowers choose a lender by them.
    pub spare: Vec<(SmolStr, u64)>,
    /// Names of backend servers that the sender has seen as leaving.
    pub leaving: Vec<SmolStr>,
}

/// A loan of tokens. The borrower counts `lifetime` from a time before it sent its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoan {
    pub id: u64,
    pub tokens: u64,
    pub lifetime: Duration,
}

/// Notice that backend servers died under a request, or that it finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// Digest of team, route and body.
    pub fingerprint: KeyDigest,
    /// Number of backend servers that died under it; 0 clears it.
    pub deaths: u32,
}

/// A call from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchanges status.
    Status(PeerStatus),
    /// Asks for a loan of up to `tokens` for `team`, by the member `borrower`; fewer than `min_tokens` would not help
    /// it.
    Borrow {
        borrower: VmId,
        team: SmolStr,
        tokens: u64,
        min_tokens: u64,
    },
    /// Pushes records of the `config` stream: offset of the first and the data of each.
    PushConfig {
        first: LogOffset,
        records: Vec<Vec<u8>>,
    },
    /// Distributes notices about suspect requests.
    Suspects(Vec<SuspectNotice>),
    /// Reports demand to a planner; `reporter` is the sender's peer address.
    Demand {
        reporter: SocketAddr,
        demands: Vec<ModelDemand>,
    },
    /// Asks for the complete catalog state; sent by a daemon that starts during a log outage.
    FetchState,
    /// Asks the planner of the users' platform to place a model or adapter that a request needs.
    Place(PlacementRequest),
    /// Asks for the tables that the receiver has read from the store of the users' platform.
    FetchTables(CopyRequest),
    /// Asks for a part of a newer configuration of the users' platform.
    FetchConfig(ConfigRequest),
    /// Asks which software began a stream on the users' platform.
    FindOrigin(StreamId),
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    Status(PeerStatus),
    Loan(Option<TokenLoan>),
    /// The next `config` offset that the receiver has not applied yet.
    Applied(LogOffset),
    /// An encoded catalog snapshot.
    State(Vec<u8>),
    Done,
    /// Where the item was placed, or `None` if the receiver does not plan or could not place it.
    Placed(Option<PlacementChange>),
    Tables(TableCopy),
    /// `None` if the receiver has no newer configuration.
    Config(Option<ConfigChunk>),
    Origin(KnownOrigin),
}

impl PeerReply {
    /// Returns the reply with only what can be computed with, or an error if nothing of it can.
    ///
    /// # Errors
    ///
    /// `Protocol` if the reply is a loan or a status with a time out of range.
    fn checked(self) -> Result<Self> {
        match self {
            Self::Tables(copy) => Ok(Self::Tables(TableCopy {
                servers: copy.servers.without_invalid(),
                ..copy
            })),
            Self::Loan(Some(loan)) if loan.lifetime > MAX_LOAN_LIFETIME => {
                Err(codec::protocol("the lifetime of a loan is out of range"))
            }
            Self::Status(status) => Ok(Self::Status(status.checked()?)),
            reply => Ok(reply),
        }
    }
}

impl PeerRequest {
    /// Returns the request if its numbers can be computed with.
    ///
    /// # Errors
    ///
    /// `Protocol` if the request is a status with a time out of range.
    fn checked(self) -> Result<Self> {
        match self {
            Self::Status(status) => Ok(Self::Status(status.checked()?)),
            request => Ok(request),
        }
    }
}

impl PeerStatus {
    fn checked(self) -> Result<Self> {
        match self.no_expire_for <= MAX_PROMISE {
            true => Ok(self),
            false => Err(codec::protocol("the promise of a status is out of range")),
        }
    }
}

/// Serves the calls that a [`PeerServer`] accepts.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one call.
    fn handle(&self, request: PeerRequest) -> impl Future<Output = Result<PeerReply>> + Send;
}

/// Transport of calls to other daemons.
pub trait PeerCaller: Send + Sync + 'static {
    /// Calls the daemon at `peer` and waits up to `wait` for the reply.
    fn call(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
        wait: Duration,
    ) -> impl Future<Output = Result<PeerReply>> + Send;
}
