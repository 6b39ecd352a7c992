//! Records of the `members` stream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::ids::{LogOffset, VmId};
use crate::member::MemberTable;

/// Identifies one attempt to join or renew among those of the same incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberRenewal(pub u64);

/// A record of the `members` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRecord {
    /// An incarnation becomes a member. A repeated join of the same incarnation has no effect.
    Join {
        vm: VmId,
        name: SmolStr,
        zone: SmolStr,
        /// Address of the member's peer server.
        peer: SocketAddr,
        /// Time after a renewal during which the member may create tokens. Fixed for the incarnation, so that
        /// members with different settings agree on when it may be expired.
        term: Duration,
    },
    /// A member starts a new term.
    Renew {
        vm: VmId,
        renewal: MemberRenewal,
        /// Next offset that the member had not applied when it sent this record.
        applied: LogOffset,
    },
    /// A member gives up its share.
    Leave { vm: VmId },
    /// Removes `vm`; has no effect unless `renewal` is still the offset of its newest join or renewal.
    Expire { vm: VmId, renewal: LogOffset },
    /// The table as it was before offset `table.next()`, for daemons that start after retention has dropped
    /// older records. It has no effect on a daemon that holds a table.
    Snapshot { table: Box<MemberTable> },
}

impl MemberRecord {
    /// Encodes the record for the log.
    ///
    /// # Errors
    ///
    /// `Internal` if the encoder fails.
    pub fn encode(&self) -> Result<Bytes> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map(Bytes::from)
            .map_err(|error| Error::internal(format!("cannot encode a member record: {error}")))
    }

    /// Decodes a record of the log.
    ///
    /// # Errors
    ///
    /// `Invalid` if `data` is not a valid record; every daemon then ignores it in the same way.
    pub fn decode(data: &[u8]) -> Result<Self> {
        let (record, read) = bincode::serde::decode_from_slice(data, bincode::config::standard())
            .map_err(|error| {
            Error::invalid(format!("cannot decode a member record: {error}"))
        })?;
        if read != data.len() {
            return Err(Error::invalid("bytes follow a member record"));
        }
        if let Self::Snapshot { table } = &record
            && !table.is_valid()
        {
            return Err(Error::invalid(
                "a number in a table of members is out of range",
            ));
        }
        Ok(record)
    }
}
