//! The limiter of a daemon, which borrows tokens from peers before it refuses a request.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::catalog::TeamSpec;
use crate::error::{Category, Error, Result};
use crate::ids::VmId;
use crate::limit::shared::SharedBudgets;
use crate::limit::{
    BudgetCharge, BudgetTable, ChargeError, EvenSplitLimiter, LimitDump, TokenCharge, TokenLimiter,
};
use crate::member::{Lender, PeerTable, ShareGrant, ShareSink, TeamRefill};
use crate::peer::{PeerCaller, PeerReply, PeerRequest, TokenLoan};

/// Most peers that a request asks for loans in one round.
const MAX_LENDERS: usize = 4;
/// Most rounds of loans per request. With nine daemons, two rounds ask all eight others.
const MAX_ROUNDS: usize = 3;
/// Longest wait for one round, so that an unreachable lender does not use up the deadline.
const ROUND_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the own bucket to refill. A request that is within its team's rate is delayed a little instead of
/// refused; longer waits would let a team above its rate pile up requests here.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(250);
/// Shortest wait for a refill, so that a waiting request does not retry in a busy loop.
const MIN_REFILL_WAIT: Duration = Duration::from_millis(10);
/// Shortest `Retry-After`, below which callers would only add load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Fleet-wide limits of all teams on this daemon. Clones share the budgets.
pub struct LimitService<C> {
    budgets: Arc<SharedBudgets>,
    peer_table: Arc<PeerTable>,
    caller: Arc<C>,
    own_vm: Arc<Mutex<Option<VmId>>>,
}

impl<C> Clone for LimitService<C> {
    fn clone(&self) -> Self {
        Self {
            budgets: self.budgets.clone(),
            peer_table: self.peer_table.clone(),
            caller: self.caller.clone(),
            own_vm: self.own_vm.clone(),
        }
    }
}

/// A charge of a [`LimitService`] or of the baseline.
pub struct LimitCharge {
    budgets: Arc<SharedBudgets>,
    team: SmolStr,
    /// `None` once settled.
    charge: Option<BudgetCharge>,
}

impl<C: PeerCaller> LimitService<C> {
    /// Opens the limiter for the teams in `teams`, which must be at least as recent as the configuration that
    /// authenticates requests. All buckets are empty until a share is adopted.
    pub fn open(
        teams: watch::Receiver<Vec<TeamSpec>>,
        peer_table: Arc<PeerTable>,
        caller: Arc<C>,
    ) -> Self {
        Self {
            budgets: Arc::new(SharedBudgets::follow(teams)),
            peer_table,
            caller,
            own_vm: Arc::default(),
        }
    }

    /// Lends up to `tokens` of `team` to `borrower`, or nothing if there are fewer than `min_tokens`. The tokens are
    /// debited before this returns.
    pub fn lend(
        &self,
        borrower: VmId,
        team: &str,
        tokens: u64,
        min_tokens: u64,
    ) -> Option<TokenLoan> {
        let budgets = &self.budgets;
        let loan = budgets.access(|table, now| table.lend(team, tokens, min_tokens, now))?;
        log::trace!("lent {} tokens of team {team} to {borrower}", loan.tokens);
        Some(loan)
    }

    /// Returns a limiter with the same budgets that never borrows, as the baseline of measurements.
    pub fn without_loans(&self) -> EvenSplitLimiter {
        EvenSplitLimiter::with_budgets(self.budgets.clone())
    }

    /// Sets a share per team, in parts per million; see [`BudgetTable::set_team_shares`].
    pub fn set_team_shares(&self, shares: HashMap<SmolStr, u32>) {
        self.budgets
            .access(|table, now| table.set_team_shares(shares, now));
    }

    /// Returns the own share of each team that has one, in parts per million.
    pub fn shares(&self) -> Vec<(SmolStr, u32)> {
        self.budgets.access(|table, _| table.shares())
    }

    /// Returns the spare tokens of each team, for the status.
    pub fn spare(&self) -> Vec<(SmolStr, u64)> {
        self.budgets.access(BudgetTable::spare)
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> LimitDump {
        self.budgets.access(BudgetTable::dump)
    }

    fn try_charge(
        &self,
        team: &SmolStr,
        tokens: u64,
    ) -> std::result::Result<LimitCharge, ChargeError> {
        let budgets = &self.budgets;
        let charge = budgets.access(|table, now| table.charge(team, tokens, now))?;
        Ok(LimitCharge::new(self.budgets.clone(), team.clone(), charge))
    }

    /// Asks the peers with the most spare tokens. Returns whether any was asked.
    ///
    /// Asks none if their estimated spare tokens together do not cover `missing`; otherwise each refusal of a team far
    /// above its rate would cost calls to peers.
    async fn borrow(
        &self,
        team: &SmolStr,
        missing: u64,
        refill: TeamRefill,
        deadline: Instant,
    ) -> bool {
        let now = Instant::now();
        let wait = deadline.saturating_duration_since(now).min(ROUND_TIMEOUT);
        let lenders = self.peer_table.lenders(team, refill, now);
        if wait.is_zero() || total(&lenders) < missing {
            return false;
        }
        let chosen = choose_lenders(lenders, missing);
        let alone = chosen.len() == 1;
        let calls = chosen.into_iter().map(|(lender, tokens)| {
            let min_tokens = if alone { tokens } else { 0 };
            self.borrow_from(lender, team, (tokens, min_tokens), wait)
        });
        join_all(calls).await;
        true
    }

    /// Asks one peer for a loan of `tokens`, at least `min_tokens`.
    async fn borrow_from(
        &self,
        lender: Lender,
        team: &SmolStr,
        (tokens, min_tokens): (u64, u64),
        wait: Duration,
    ) {
        let Some(borrower) = *self.own_vm.lock().unwrap_or_else(PoisonError::into_inner) else {
            return;
        };
        let asked_at = Instant::now();
        // Reserving the amount in the peer table keeps concurrent requests from asking for the same tokens.
        let left = lender.spare.saturating_sub(tokens);
        self.peer_table
            .set_spare(lender.address, team, left, asked_at);
        let request = PeerRequest::Borrow {
            borrower,
            team: team.clone(),
            tokens,
            min_tokens,
        };
        let reply = self.caller.call(lender.address, request, wait).await;
        let lent = match reply {
            Ok(PeerReply::Loan(Some(loan))) => {
                self.budgets.access(|table, now| {
                    table.add_loan(team, lender.address, loan, asked_at, now);
                });
                loan.tokens
            }
            Ok(_) => 0,
            Err(error) => {
                log::debug!("cannot borrow from {}: {error}", lender.address);
                0
            }
        };
        if lent < tokens {
            // The peer has no more until its bucket refills.
            let now = Instant::now();
            self.peer_table.set_spare(lender.address, team, 0, now);
        }
    }

    /// Returns how long the fleet-wide rate takes to create the part of `missing` that peers cannot lend; `None` if the
    /// rate is 0.
    fn refill_wait(&self, team: &SmolStr, missing: u64, refill: TeamRefill) -> Option<Duration> {
        let lenders = self.peer_table.lenders(team, refill, Instant::now());
        let short = missing.saturating_sub(total(&lenders));
        let micros = short.saturating_mul(1_000_000).checked_div(refill.rate)?;
        Some(Duration::from_micros(micros).max(MIN_REFILL_WAIT))
    }

    /// Returns the error for a request of a team that is short of tokens fleet-wide.
    fn refusal(&self, team: &SmolStr, missing: u64, refill: TeamRefill) -> Error {
        let lenders = self.peer_table.lenders(team, refill, Instant::now());
        let short = missing.saturating_sub(total(&lenders));
        let error = Error::new(
            Category::RateLimited,
            format!("team `{team}` is {missing} tokens short of its rate"),
        );
        if refill.rate == 0 {
            return error;
        }
        let millis = short.saturating_mul(1_000).div_ceil(refill.rate);
        error.with_retry_after(Duration::from_millis(millis).max(MIN_RETRY_AFTER))
    }
}

impl<C: PeerCaller> TokenLimiter for LimitService<C> {
    type Charge = LimitCharge;

    async fn charge(&self, team: &SmolStr, tokens: u64, deadline: Instant) -> Result<Self::Charge> {
        let refill_deadline = deadline.min(Instant::now() + MAX_REFILL_WAIT);
        let mut rounds = 0;
        loop {
            let (missing, refill) = match self.try_charge(team, tokens) {
                Ok(charge) => return Ok(charge),
                Err(ChargeError::Missing { tokens, refill }) => (tokens, refill),
                Err(error) => return Err(refuse_at_once(team, tokens, error)),
            };
            rounds += 1;
            if rounds <= MAX_ROUNDS && self.borrow(team, missing, refill, deadline).await {
                continue;
            }
            let refusal = self.refusal(team, missing, refill);
            let Some(wait) = self.refill_wait(team, missing, refill) else {
                return Err(refusal);
            };
            if Instant::now() + wait > refill_deadline {
                return Err(refusal);
            }
            tokio::time::sleep(wait).await;
        }
    }
}

impl<C: PeerCaller> ShareSink for LimitService<C> {
    fn adopt_share(&self, grant: Option<ShareGrant>, now: Instant) -> Instant {
        *self.own_vm.lock().unwrap_or_else(PoisonError::into_inner) = grant.map(|grant| grant.vm);
        self.budgets.access(|table, _| table.set_grant(grant, now))
    }
}

impl TokenCharge for LimitCharge {
    fn settle(mut self, used: u64) {
        self.end(used);
    }
}

impl LimitCharge {
    pub(super) fn new(budgets: Arc<SharedBudgets>, team: SmolStr, charge: BudgetCharge) -> Self {
        Self {
            budgets,
            team,
            charge: Some(charge),
        }
    }

    fn end(&mut self, used: u64) {
        if let Some(charge) = self.charge.take() {
            self.budgets
                .access(|table, now| table.settle(&self.team, charge, used, now));
        }
    }
}

impl Drop for LimitCharge {
    /// Settles an unsettled charge as fully used, because a reservation that stayed would reduce all later refunds.
    fn drop(&mut self) {
        self.end(u64::MAX);
    }
}

fn refuse_at_once(team: &str, tokens: u64, error: ChargeError) -> Error {
    match error {
        // The team was removed after its key was checked; the key of the next request is refused.
        ChargeError::UnknownTeam => {
            Error::unavailable(format!("team `{team}` has no budget on this daemon"))
                .with_retry_after(MIN_RETRY_AFTER)
        }
        ChargeError::AboveBurst { burst } => Error::new(
            Category::RateLimited,
            format!("request of {tokens} tokens is larger than the burst of {burst}"),
        ),
        ChargeError::NoShare | ChargeError::Missing { .. } => {
            Error::unavailable("this daemon holds no share of the rates now")
        }
    }
}

fn total(lenders: &[Lender]) -> u64 {
    lenders
        .iter()
        .fold(0, |sum: u64, lender| sum.saturating_add(lender.spare))
}

/// Picks the fewest lenders whose spare tokens cover `missing` and what to ask of each.
fn choose_lenders(lenders: Vec<Lender>, missing: u64) -> Vec<(Lender, u64)> {
    let mut left = missing;
    let mut chosen = Vec::new();
    for lender in lenders.into_iter().take(MAX_LENDERS) {
        if left == 0 {
            break;
        }
        let tokens = lender.spare.min(left);
        left -= tokens;
        chosen.push((lender, tokens));
    }
    chosen
}
