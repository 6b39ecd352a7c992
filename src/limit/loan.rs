//! Tokens borrowed from peers.

use std::net::SocketAddr;
use std::time::Instant;

use crate::peer::TokenLoan;

#[derive(Clone, Copy, Debug)]
struct BorrowedLoan {
    lender: SocketAddr,
    id: u64,
    tokens: u64,
    until: Instant,
}

/// Loans of one team, which are worth nothing after their lifetime.
#[derive(Clone, Debug, Default)]
pub struct LoanLedger {
    /// Loans by end of lifetime, spent ones included, so that a repeated answer is recognised.
    loans: Vec<BorrowedLoan>,
}

impl LoanLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a loan whose lifetime counts from `asked_at`. A repeated or lapsed loan adds nothing.
    pub fn add(&mut self, lender: SocketAddr, loan: TokenLoan, asked_at: Instant, now: Instant) {
        self.drop_lapsed(now);
        let until = asked_at + loan.lifetime;
        let known = self
            .loans
            .iter()
            .any(|known| known.lender == lender && known.id == loan.id);
        if known || until <= now {
            return;
        }
        let index = self.loans.partition_point(|known| known.until <= until);
        let loan = BorrowedLoan {
            lender,
            id: loan.id,
            tokens: loan.tokens,
            until,
        };
        self.loans.insert(index, loan);
    }

    /// Returns the tokens that can be spent.
    pub fn available(&mut self, now: Instant) -> u64 {
        self.drop_lapsed(now);
        self.loans
            .iter()
            .fold(0, |sum: u64, loan| sum.saturating_add(loan.tokens))
    }

    /// Spends up to `tokens`, those of the earliest end first, and returns how many.
    pub fn spend(&mut self, tokens: u64, now: Instant) -> u64 {
        self.drop_lapsed(now);
        let mut missing = tokens;
        for loan in &mut self.loans {
            let part = loan.tokens.min(missing);
            loan.tokens -= part;
            missing -= part;
        }
        tokens - missing
    }

    /// Drops all loans.
    pub fn clear(&mut self) {
        self.loans.clear();
    }

    fn drop_lapsed(&mut self, now: Instant) {
        let lapsed = self.loans.partition_point(|loan| loan.until <= now);
        self.loans.drain(..lapsed);
    }
}
