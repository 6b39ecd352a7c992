//! Rate and burst of teams across the fleet.
//!
//! Each daemon holds a share of every team's rate and burst in a [`TokenBucket`] and borrows what peers have
//! spare before it refuses. Tokens are created only by buckets inside a term; a lent token leaves the lender's
//! balance and capacity before the borrower hears of it. [`LimitService`] does this for all teams;
//! [`EvenSplitLimiter`] is the baseline without loans.

mod bucket;
mod budget;
mod even_split;
mod loan;
mod service;
mod shared;

use std::future::Future;
use std::time::Instant;

use smol_str::SmolStr;

pub use self::bucket::{BucketCharge, BucketLimit, TokenBucket};
pub use self::budget::{
    BudgetCharge, BudgetDump, BudgetTable, ChargeError, LimitDump, MAX_LOAN_LIFETIME,
};
pub use self::even_split::EvenSplitLimiter;
pub use self::loan::LoanLedger;
pub use self::service::{LimitCharge, LimitService};
use crate::error::Result;

/// Charges teams for tokens.
pub trait TokenLimiter: Send + Sync + 'static {
    /// A charge that is settled when the request ends. Dropping it unsettled keeps the whole charge.
    type Charge: TokenCharge;

    /// Charges `tokens` to `team`, borrowing from peers until `deadline` if the own share does not suffice.
    ///
    /// # Errors
    ///
    /// `RateLimited` with `retry_after` if the team's budget does not suffice, `Unavailable` if this daemon
    /// may not create tokens now. Both say `NotRun`.
    fn charge(
        &self,
        team: &SmolStr,
        tokens: u64,
        deadline: Instant,
    ) -> impl Future<Output = Result<Self::Charge>> + Send;
}

/// A charge of a [`TokenLimiter`].
pub trait TokenCharge: Send + Sync + 'static {
    /// Ends the charge: `used` tokens were consumed, the rest is refunded.
    fn settle(self, used: u64);
}
