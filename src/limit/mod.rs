//! Rate and burst of teams across the fleet.

use std::future::Future;
use std::time::Instant;

use smol_str::SmolStr;

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
pub trait TokenCharge: Send + 'static {
    /// Ends the charge: `used` tokens were consumed, the rest is refunded.
    fn settle(self, used: u64);
}
