//! Baseline without loans: every member holds the same fixed share.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use crate::catalog::TeamSpec;
use crate::error::{Category, Error, Result};
use crate::ids::VmId;
use crate::limit::shared::SharedBudgets;
use crate::limit::{BudgetTable, ChargeError, LimitCharge, TokenLimiter};
use crate::member::{ShareGrant, WHOLE_PPM};

/// Limiter with the share `1/members` that never borrows. Kept to measure what loans gain.
#[derive(Clone)]
pub struct EvenSplitLimiter {
    budgets: Arc<SharedBudgets>,
}

impl EvenSplitLimiter {
    /// Creates empty buckets with `1/members` of each team's rate and burst until `until`.
    pub fn new(teams: &[TeamSpec], members: u32, until: Instant) -> Self {
        let now = Instant::now();
        let mut budgets = BudgetTable::default();
        budgets.set_teams(teams, now);
        let grant = ShareGrant {
            vm: VmId(0),
            ppm: WHOLE_PPM / members.max(1),
            until,
        };
        budgets.set_grant(Some(grant), now);
        Self {
            budgets: Arc::new(SharedBudgets::fixed(budgets)),
        }
    }

    /// Uses budgets that another limiter keeps up to date with the declared teams and the share of this daemon.
    pub(super) fn with_budgets(budgets: Arc<SharedBudgets>) -> Self {
        Self { budgets }
    }
}

impl TokenLimiter for EvenSplitLimiter {
    type Charge = LimitCharge;

    async fn charge(
        &self,
        team: &SmolStr,
        tokens: u64,
        _deadline: Instant,
    ) -> Result<Self::Charge> {
        let charge = self
            .budgets
            .access(|table, now| table.charge(team, tokens, now))
            .map_err(|error| refusal(team, error))?;
        Ok(LimitCharge::new(self.budgets.clone(), team.clone(), charge))
    }
}

fn refusal(team: &str, error: ChargeError) -> Error {
    let message = format!("team `{team}` lacks tokens in its even share: {error:?}");
    Error::new(Category::RateLimited, message)
}
