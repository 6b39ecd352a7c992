//! Membership: who holds which share of the fleet's rates, and who plans each zone.
//!
//! [`MemberTable`] replays the `members` stream and is the same on every daemon at the same offset.
//! [`MemberAgent`] decides what one daemon appends and promises; it takes times as arguments and does no I/O.
//! [`MemberService`] connects the agent to the log, the VM list and the peers. [`PeerTable`] keeps the latest
//! status of each peer.

mod agent;
mod hooks;
mod peer_table;
mod record;
mod service;
mod table;

pub use self::agent::{AgentSettings, MemberAgent, ViewEvidence};
pub use self::hooks::{ShareGrant, ShareSink, StatusSource};
pub use self::peer_table::{Lender, PeerEntry, PeerTable, TeamRefill};
pub use self::record::{MemberRecord, MemberRenewal};
pub use self::service::{MemberParts, MemberService, MemberSettings};
pub use self::table::{MemberEntry, MemberTable, WHOLE_PPM, ZonePlanner};
