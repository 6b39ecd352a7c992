//! The budgets of all teams on one daemon.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use crate::catalog::TeamSpec;
use crate::limit::{BorrowedLoans, BucketCharge, BucketLimit, TokenBucket};
use crate::member::{ShareGrant, TeamRefill};
use crate::peer::TokenLoan;

/// Longest lifetime of a loan.
pub const MAX_LOAN_LIFETIME: Duration = Duration::from_secs(2);
/// Shortest lifetime of a loan, which covers a call between regions.
const MIN_LOAN_LIFETIME: Duration = Duration::from_millis(100);

/// Budget of one team for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BudgetDump {
    pub team: SmolStr,
    pub rate: u64,
    pub burst: u64,
    /// Tokens of the own share.
    pub balance: u64,
    /// Tokens of unsettled charges.
    pub reserved: u64,
    /// Tokens lent to peers.
    pub lent: u64,
    /// Tokens borrowed and not yet spent.
    pub borrowed: u64,
}

/// State of the limiter for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LimitDump {
    /// Share in parts per million; `None` outside a term.
    pub ppm: Option<u32>,
    pub teams: Vec<BudgetDump>,
}

#[derive(Debug)]
struct TeamBudget {
    spec: TeamSpec,
    bucket: TokenBucket,
    loans: BorrowedLoans,
    /// Distinguishes successive budgets of a team, so that a charge of one is never refunded to the next.
    epoch: u64,
}

/// A charge against one budget, ended by [`BudgetTable::settle`].
#[derive(Debug)]
pub struct BudgetCharge {
    epoch: u64,
    own: BucketCharge,
    borrowed: u64,
}

/// Why a charge was not possible at once.
#[derive(Clone, Copy, Debug)]
pub enum ChargeError {
    /// The team has no budget here.
    UnknownTeam,
    /// This daemon is outside its term.
    NoShare,
    /// The request is larger than the whole burst.
    AboveBurst { burst: u64 },
    /// The budget is `tokens` short.
    Missing {
        tokens: u64,
        /// Fleet-wide limit of the team.
        refill: TeamRefill,
    },
}

/// Budgets of all teams.
#[derive(Debug, Default)]
pub struct BudgetTable {
    grant: Option<ShareGrant>,
    /// Own share of each team in parts per million, where shares differ between teams.
    team_shares: Option<HashMap<SmolStr, u32>>,
    teams: HashMap<SmolStr, TeamBudget>,
    next_epoch: u64,
    next_loan: u64,
}

impl BudgetTable {
    /// Applies the declared teams. A removed team loses its budget, a new one starts with an empty bucket.
    pub fn set_teams(&mut self, teams: &[TeamSpec], now: Instant) {
        self.teams
            .retain(|name, _| teams.iter().any(|team| team.name == *name));
        for spec in teams {
            let limit = self.limit_of(spec);
            match self.teams.get_mut(&spec.name) {
                Some(budget) => {
                    budget.spec = spec.clone();
                    budget.bucket.set_limit(limit, now);
                }
                None => self.insert(spec.clone(), limit, now),
            }
        }
    }

    fn insert(&mut self, spec: TeamSpec, limit: BucketLimit, now: Instant) {
        self.next_epoch += 1;
        let budget = TeamBudget {
            bucket: TokenBucket::new(limit, now),
            loans: BorrowedLoans::new(),
            epoch: self.next_epoch,
            spec,
        };
        self.teams.insert(budget.spec.name.clone(), budget);
    }

    /// Applies a new share. Returns the time from which all loans fit into it.
    pub fn set_grant(&mut self, grant: Option<ShareGrant>, now: Instant) -> Instant {
        if grant.map(|grant| grant.vm) != self.grant.map(|grant| grant.vm) {
            return self.restart(grant, now);
        }
        self.grant = grant;
        let mut effective_at = now;
        let limits: Vec<(SmolStr, BucketLimit)> = self
            .teams
            .iter()
            .map(|(name, budget)| (name.clone(), self.limit_of(&budget.spec)))
            .collect();
        for (name, limit) in limits {
            if let Some(budget) = self.teams.get_mut(&name) {
                budget.bucket.set_limit(limit, now);
                effective_at = effective_at.max(budget.bucket.loans_fit_at(now));
            }
        }
        effective_at
    }

    /// Sets a share per team, in parts per million; teams not listed have none. The term stays that of the grant.
    pub fn set_team_shares(&mut self, shares: HashMap<SmolStr, u32>, now: Instant) {
        if self.team_shares.as_ref() == Some(&shares) {
            return;
        }
        self.team_shares = Some(shares);
        self.set_grant(self.grant, now);
    }

    fn share_of(&self, team: &str) -> u32 {
        let grant = self.grant.map_or(0, |grant| grant.ppm);
        match &self.team_shares {
            // A daemon whose grant is 0 has no share of any team.
            Some(shares) if grant > 0 => shares.get(team).copied().unwrap_or(0),
            _ => grant,
        }
    }

    /// Replaces all budgets with empty ones for a new incarnation. Returns when all loans of the former one have
    /// lapsed.
    fn restart(&mut self, grant: Option<ShareGrant>, now: Instant) -> Instant {
        self.grant = grant;
        let mut effective_at = now;
        let budgets: Vec<TeamBudget> = self.teams.drain().map(|(_, budget)| budget).collect();
        for mut budget in budgets {
            effective_at = effective_at.max(budget.bucket.loans_end(now));
            let limit = self.limit_of(&budget.spec);
            self.insert(budget.spec, limit, now);
        }
        effective_at
    }

    fn limit_of(&self, spec: &TeamSpec) -> BucketLimit {
        BucketLimit {
            rate: spec.rate,
            burst: spec.burst,
            ppm: self.share_of(&spec.name),
            until: self.grant.map(|grant| grant.until),
        }
    }

    fn in_term(&self, now: Instant) -> bool {
        self.grant.is_some_and(|grant| now < grant.until)
    }

    /// Charges `tokens` to `team`, from borrowed tokens first, because they lapse, and then from the own bucket.
    ///
    /// # Errors
    ///
    /// A [`ChargeError`] with the cause; nothing is charged then.
    pub fn charge(
        &mut self,
        team: &str,
        tokens: u64,
        now: Instant,
    ) -> Result<BudgetCharge, ChargeError> {
        let in_term = self.in_term(now);
        let budget = self.teams.get_mut(team).ok_or(ChargeError::UnknownTeam)?;
        let burst = budget.spec.burst;
        if tokens > burst {
            return Err(ChargeError::AboveBurst { burst });
        }
        if !in_term {
            return Err(ChargeError::NoShare);
        }
        let held = budget.bucket.balance(now);
        let held = held.saturating_add(budget.loans.available(now));
        let missing = ChargeError::Missing {
            tokens: tokens.saturating_sub(held),
            refill: TeamRefill {
                rate: budget.spec.rate,
                burst,
            },
        };
        if held < tokens {
            return Err(missing);
        }
        let borrowed = budget.loans.spend(tokens, now);
        let own = budget.bucket.charge(tokens - borrowed, now);
        own.map(|own| BudgetCharge {
            epoch: budget.epoch,
            own,
            borrowed,
        })
        .ok_or(missing)
    }

    /// Ends a charge. Borrowed tokens count as used first; unused ones lapse and are not refunded.
    pub fn settle(&mut self, team: &str, charge: BudgetCharge, used: u64, now: Instant) {
        let Some(budget) = self.teams.get_mut(team) else {
            return;
        };
        if budget.epoch != charge.epoch {
            return;
        }
        let own = used
            .saturating_sub(charge.borrowed)
            .min(charge.own.tokens());
        budget.bucket.settle(charge.own, own, now);
    }

    /// Lends up to `tokens` and debits them. Returns `None` if fewer than `min_tokens` are available, because a loan
    /// that does not cover its request lapses unused.
    pub fn lend(
        &mut self,
        team: &str,
        tokens: u64,
        min_tokens: u64,
        now: Instant,
    ) -> Option<TokenLoan> {
        if !self.in_term(now) {
            return None;
        }
        let budget = self.teams.get_mut(team)?;
        if budget.bucket.balance(now) < min_tokens {
            return None;
        }
        let lifetime = loan_lifetime(&budget.spec);
        let (tokens, lifetime) = budget.bucket.lend(tokens, lifetime, now)?;
        self.next_loan += 1;
        Some(TokenLoan {
            id: self.next_loan,
            tokens,
            lifetime,
        })
    }

    /// Adds a loan from a peer.
    pub fn add_loan(
        &mut self,
        team: &str,
        lender: SocketAddr,
        loan: TokenLoan,
        asked_at: Instant,
        now: Instant,
    ) {
        if let Some(budget) = self.teams.get_mut(team) {
            budget.loans.add(lender, loan, asked_at, now);
        }
    }

    /// Returns the own share of each team that has one, in parts per million.
    pub fn shares(&self) -> Vec<(SmolStr, u32)> {
        let teams = self.teams.keys();
        let shares = teams.map(|team| (team.clone(), self.share_of(team)));
        shares.filter(|(_, share)| *share > 0).collect()
    }

    /// Returns the spare tokens of each team.
    pub fn spare(&mut self, now: Instant) -> Vec<(SmolStr, u64)> {
        if !self.in_term(now) {
            return Vec::new();
        }
        let spare = self
            .teams
            .iter_mut()
            .map(|(name, budget)| (name.clone(), budget.bucket.balance(now)));
        spare.collect()
    }

    /// Returns the state for the dump, teams in order of name.
    pub fn dump(&mut self, now: Instant) -> LimitDump {
        let ppm = self
            .grant
            .filter(|grant| now < grant.until)
            .map(|grant| grant.ppm);
        let teams = self.teams.values_mut().map(|budget| BudgetDump {
            team: budget.spec.name.clone(),
            rate: budget.spec.rate,
            burst: budget.spec.burst,
            balance: budget.bucket.balance(now),
            reserved: budget.bucket.reserved(),
            lent: budget.bucket.lent(now),
            borrowed: budget.loans.available(now),
        });
        let mut teams: Vec<BudgetDump> = teams.collect();
        teams.sort_by(|one, other| one.team.cmp(&other.team));
        LimitDump { ppm, teams }
    }
}

/// Returns a quarter of the time in which the rate refills the burst, within the limits for loans.
///
/// A lender can pass on at most its part of the burst per lifetime, because loans stay out of its capacity. With
/// a fixed 2 s, teams with a burst below two seconds of their rate could not move their rate between daemons.
fn loan_lifetime(spec: &TeamSpec) -> Duration {
    let millis = spec.burst.saturating_mul(250) / spec.rate.max(1);
    Duration::from_millis(millis).clamp(MIN_LOAN_LIFETIME, MAX_LOAN_LIFETIME)
}
