//! The latest status of each peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::ids::VmId;
use crate::member::table::WHOLE_PPM;
use crate::peer::PeerStatus;

/// Age above which a status no longer makes its sender a lender.
const MAX_LENDER_AGE: Duration = Duration::from_secs(30);

/// The latest answer of one peer.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    pub address: SocketAddr,
    pub status: PeerStatus,
    /// Time before the question whose answer this is.
    pub asked_at: Instant,
    /// Share of each team in parts per million, where shares differ between teams.
    shares: Option<HashMap<SmolStr, u32>>,
    /// Spare tokens where a loan has changed them since the status, and when.
    corrected: HashMap<SmolStr, (u64, Instant)>,
}

/// Fleet-wide limit of a team, by which the refill of peers since their last status is estimated.
#[derive(Clone, Copy, Debug)]
pub struct TeamRefill {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens.
    pub burst: u64,
}

/// A peer that may have spare tokens of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lender {
    pub address: SocketAddr,
    pub vm: VmId,
    /// Estimate of its spare tokens: the latest known, plus the refill of an even share since.
    pub spare: u64,
}

/// Statuses of peers by address, shared by the membership service, the limiter and the state dump.
#[derive(Debug, Default)]
pub struct PeerTable {
    entries: Mutex<HashMap<SocketAddr, PeerEntry>>,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the answer of the peer at `address` to a question asked at `asked_at`; older answers are dropped.
    pub fn record(&self, address: SocketAddr, status: PeerStatus, asked_at: Instant) {
        self.record_with_shares(address, status, None, asked_at);
    }

    /// Like [`PeerTable::record`] for a peer whose shares differ between teams.
    pub fn record_with_shares(
        &self,
        address: SocketAddr,
        status: PeerStatus,
        shares: Option<HashMap<SmolStr, u32>>,
        asked_at: Instant,
    ) {
        let mut entries = self.lock();
        if entries
            .get(&address)
            .is_some_and(|entry| entry.asked_at > asked_at)
        {
            return;
        }
        let entry = PeerEntry {
            address,
            status,
            asked_at,
            shares,
            corrected: HashMap::new(),
        };
        entries.insert(address, entry);
    }

    /// Forgets the peers for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.lock().retain(|address, _| keep(*address));
    }

    /// Returns the latest answer of the peer at `address`.
    pub fn entry(&self, address: SocketAddr) -> Option<PeerEntry> {
        self.lock().get(&address).cloned()
    }

    /// Returns all entries.
    pub fn entries(&self) -> Vec<PeerEntry> {
        self.lock().values().cloned().collect()
    }

    /// Returns the peers that should have spare tokens of `team`, the most first.
    pub fn lenders(&self, team: &str, refill: TeamRefill, now: Instant) -> Vec<Lender> {
        let entries = self.lock();
        let members = entries.len() as u64 + 1;
        let mut lenders: Vec<Lender> = entries
            .values()
            .filter(|entry| now.saturating_duration_since(entry.asked_at) <= MAX_LENDER_AGE)
            .map(|entry| Lender {
                address: entry.address,
                vm: entry.status.vm,
                spare: entry.estimate(team, refill, members, now),
            })
            .filter(|lender| lender.spare > 0)
            .collect();
        lenders.sort_by_key(|lender| (std::cmp::Reverse(lender.spare), lender.vm));
        lenders
    }

    /// Corrects the spare tokens of `team` at the peer until its next status.
    pub fn set_spare(&self, address: SocketAddr, team: &str, spare: u64, now: Instant) {
        if let Some(entry) = self.lock().get_mut(&address) {
            entry.corrected.insert(team.into(), (spare, now));
        }
    }
}

impl PeerEntry {
    /// Estimates the spare tokens. A team that the status does not name has no budget there, or no term.
    fn estimate(&self, team: &str, refill: TeamRefill, members: u64, now: Instant) -> u64 {
        let Some((_, reported)) = self.status.spare.iter().find(|(name, _)| name == team) else {
            return 0;
        };
        let known = self.corrected.get(team).copied();
        let (spare, at) = known.unwrap_or((*reported, self.asked_at));
        let share = match &self.shares {
            Some(shares) => shares.get(team).copied().unwrap_or(0).into(),
            None => u64::from(WHOLE_PPM) / members,
        };
        let part = |amount: u64| amount.saturating_mul(share) / u64::from(WHOLE_PPM);
        let millis = u64::try_from(now.saturating_duration_since(at).as_millis());
        let refilled = part(refill.rate).saturating_mul(millis.unwrap_or(u64::MAX)) / 1_000;
        let capacity = part(refill.burst).max(spare);
        spare.saturating_add(refilled).min(capacity)
    }
}
