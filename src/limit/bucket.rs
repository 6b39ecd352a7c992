//! A token bucket for a share of a team's rate and burst, with loans and refunds.
//!
//! Amounts are integers in units of 10⁻¹⁵ tokens: a rate in tokens per second times a share in parts per
//! million times a time in nanoseconds is a whole number of units, so no rounding accumulates.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Units per token.
const UNITS_PER_TOKEN: u128 = 1_000_000_000_000_000;
const NANOS_PER_S: u128 = 1_000_000_000;

/// What a bucket may create and hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BucketLimit {
    /// Fleet-wide tokens per second.
    pub rate: u64,
    /// Fleet-wide burst in tokens.
    pub burst: u64,
    /// Share of both, in parts per million.
    pub ppm: u32,
    /// End of the term, after which nothing is created; `None` creates nothing.
    pub until: Option<Instant>,
}

impl BucketLimit {
    fn capacity(&self) -> u128 {
        u128::from(self.burst) * u128::from(self.ppm) * NANOS_PER_S
    }

    fn created(&self, from: Instant, to: Instant) -> u128 {
        let to = self.until.map_or(from, |until| to.min(until));
        let nanos = to.saturating_duration_since(from).as_nanos();
        u128::from(self.rate) * u128::from(self.ppm) * nanos
    }
}

/// Tokens kept out of the capacity until the borrower can no longer spend them.
#[derive(Clone, Copy, Debug)]
struct LentAmount {
    until: Instant,
    units: u128,
}

/// Records a charge until it is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "an unsettled charge stays reserved"]
pub struct BucketCharge {
    tokens: u64,
    unrefundable: u128,
}

impl BucketCharge {
    /// Returns the charged tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// Token bucket that starts empty.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: BucketLimit,
    balance: u128,
    refilled_at: Instant,
    /// Loans to others, the earliest end first, and their sum.
    lent: VecDeque<LentAmount>,
    lent_units: u128,
    /// Sum of unsettled charges.
    reserved: u128,
    /// Refill that a bucket charged with final amounts might not have accepted, accumulated.
    unrefundable: u128,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(limit: BucketLimit, now: Instant) -> Self {
        Self {
            limit,
            balance: 0,
            refilled_at: now,
            lent: VecDeque::new(),
            lent_units: 0,
            reserved: 0,
            unrefundable: 0,
        }
    }

    /// Returns the present limit.
    pub fn limit(&self) -> BucketLimit {
        self.limit
    }

    /// Replaces the limit; refill up to `now` follows the old one.
    pub fn set_limit(&mut self, limit: BucketLimit, now: Instant) {
        self.refill(now);
        let reduced = limit.capacity() < self.limit.capacity();
        self.limit = limit;
        if reduced {
            self.clamp();
        }
    }

    /// Returns the whole tokens that can be spent.
    pub fn balance(&mut self, now: Instant) -> u64 {
        self.refill(now);
        u64::try_from(self.balance / UNITS_PER_TOKEN).unwrap_or(u64::MAX)
    }

    /// Returns the tokens that are lent and still kept out of the capacity.
    pub fn lent(&mut self, now: Instant) -> u64 {
        self.refill(now);
        u64::try_from(self.lent_units.div_ceil(UNITS_PER_TOKEN)).unwrap_or(u64::MAX)
    }

    /// Returns the sum of the unsettled charges in tokens.
    pub fn reserved(&self) -> u64 {
        u64::try_from(self.reserved / UNITS_PER_TOKEN).unwrap_or(u64::MAX)
    }

    /// Takes `tokens` out of the balance, or nothing if they are not there.
    pub fn charge(&mut self, tokens: u64, now: Instant) -> Option<BucketCharge> {
        self.refill(now);
        let units = u128::from(tokens) * UNITS_PER_TOKEN;
        self.balance = self.balance.checked_sub(units)?;
        self.reserved += units;
        Some(BucketCharge {
            tokens,
            unrefundable: self.unrefundable,
        })
    }

    /// Ends a charge of which `used` tokens were consumed and refunds the rest.
    ///
    /// The refund is reduced by the refill unrefundable since the charge. The balance then never exceeds that of a
    /// bucket that had charged `used` at admission, so the bound on any window holds for the consumed tokens.
    pub fn settle(&mut self, charge: BucketCharge, used: u64, now: Instant) {
        self.refill(now);
        let charged = u128::from(charge.tokens) * UNITS_PER_TOKEN;
        let unused = u128::from(charge.tokens.saturating_sub(used)) * UNITS_PER_TOKEN;
        let refund = unused.saturating_sub(self.unrefundable - charge.unrefundable);
        self.reserved -= charged;
        let room = self.capacity().saturating_sub(self.balance);
        self.balance += refund.min(room);
    }

    /// Debits up to `tokens` for a loan and keeps them out of the capacity for `lifetime` from `now`.
    ///
    /// Returns the tokens and the lifetime, which ends with the term at the latest, so that the share can pass
    /// to others without the loan.
    pub fn lend(
        &mut self,
        tokens: u64,
        lifetime: Duration,
        now: Instant,
    ) -> Option<(u64, Duration)> {
        let left = self.limit.until?.saturating_duration_since(now);
        let lifetime = lifetime.min(left);
        let tokens = tokens.min(self.balance(now));
        if tokens == 0 || lifetime.is_zero() {
            return None;
        }
        let units = u128::from(tokens) * UNITS_PER_TOKEN;
        self.balance -= units;
        let amount = LentAmount {
            until: now + lifetime,
            units,
        };
        let index = self.lent.partition_point(|lent| lent.until <= amount.until);
        self.lent.insert(index, amount);
        self.lent_units += units;
        Some((tokens, lifetime))
    }

    /// Returns the time from which loans fit into the capacity; `now` if they fit already.
    pub fn loans_fit_at(&mut self, now: Instant) -> Instant {
        self.refill(now);
        let mut rest = self.lent_units;
        let mut fits_at = now;
        for lent in &self.lent {
            if rest <= self.limit.capacity() {
                break;
            }
            rest -= lent.units;
            fits_at = lent.until;
        }
        fits_at
    }

    /// Returns the end of the last loan, or `now` if there is none.
    pub fn loans_end(&mut self, now: Instant) -> Instant {
        self.refill(now);
        self.lent.back().map_or(now, |lent| lent.until)
    }

    fn capacity(&self) -> u128 {
        self.limit.capacity().saturating_sub(self.lent_units)
    }

    /// Creates what is due up to `now`, stopping at the end of each loan because the capacity grows there.
    fn refill(&mut self, now: Instant) {
        while let Some(lent) = self.lent.front().copied() {
            if lent.until > now {
                break;
            }
            self.fill_until(lent.until);
            self.lent.pop_front();
            self.lent_units -= lent.units;
        }
        self.fill_until(now);
    }

    fn fill_until(&mut self, at: Instant) {
        if at <= self.refilled_at {
            return;
        }
        let created = self.limit.created(self.refilled_at, at);
        self.refilled_at = at;
        let capacity = self.capacity();
        let accepted = created.min(capacity.saturating_sub(self.balance));
        let before = self.balance + self.reserved;
        self.balance += accepted;
        // Had the reserved tokens been refunded already, only `capacity - before` would have been accepted.
        let free = capacity.saturating_sub(before);
        self.unrefundable += accepted.saturating_sub(free);
    }

    /// Cuts the balance to a reduced capacity. Refunds must not exceed what such a cut would have left of them.
    fn clamp(&mut self) {
        let capacity = self.capacity();
        self.balance = self.balance.min(capacity);
        let held = self.balance + self.reserved;
        self.unrefundable += held.saturating_sub(capacity);
    }
}
