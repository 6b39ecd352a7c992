//! Tracks whether this daemon's view of the configuration is recent enough to accept callers' keys.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::ids::LogOffset;
use crate::member::ViewEvidence;

/// Age of the view above which a daemon counts as isolated.
pub const MAX_VIEW_AGE: Duration = Duration::from_secs(3);

/// State of a daemon's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewState {
    /// The view was current within [`MAX_VIEW_AGE`].
    Current,
    /// The view was last current at `since`.
    Isolated { since: Instant },
    /// The view was never current since the daemon started.
    Starting,
}

impl ViewState {
    /// Returns whether keys are accepted at `now`: the view is current, or the grace period has not ended.
    ///
    /// The grace period starts when the daemon became isolated, [`MAX_VIEW_AGE`] after the view was last current.
    pub fn accepts_keys(self, grace: Duration, now: Instant) -> bool {
        match self {
            Self::Current => true,
            Self::Isolated { since } => now < since + MAX_VIEW_AGE + grace,
            // A key may have been withdrawn before this daemon started, so there is no grace period.
            Self::Starting => false,
        }
    }
}

/// Returns the newest time at which the evidence shows that the view was current.
///
/// A read that reached the end of the log shows that the view was current at that time. Without one, the view was
/// current at the time of the oldest part of the evidence, if the VM list answered and every VM in the list or the
/// member table reported an applied offset that is not higher than `config_next`.
pub fn current_at(
    caught_up_at: Option<Instant>,
    config_next: LogOffset,
    evidence: &ViewEvidence,
) -> Option<Instant> {
    caught_up_at.max(peers_current_at(config_next, evidence))
}

fn peers_current_at(config_next: LogOffset, evidence: &ViewEvidence) -> Option<Instant> {
    let mut oldest = evidence.list_seen_at?;
    for report in &evidence.reports {
        let (next, asked_at) = (*report)?;
        if next > config_next {
            return None;
        }
        oldest = oldest.min(asked_at);
    }
    Some(oldest)
}

/// Keeps the newest time at which the view was current.
#[derive(Debug, Default)]
pub struct ViewCurrency {
    current_at: Mutex<Option<Instant>>,
}

impl ViewCurrency {
    /// Creates a view that was never current.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the view's time from new evidence; the time never decreases.
    pub fn observe(
        &self,
        caught_up_at: Option<Instant>,
        config_next: LogOffset,
        evidence: &ViewEvidence,
    ) {
        let seen = current_at(caught_up_at, config_next, evidence);
        let mut newest = self
            .current_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *newest = seen.max(*newest);
    }

    /// Returns the state at `now`.
    pub fn state(&self, now: Instant) -> ViewState {
        let newest = *self
            .current_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match newest {
            Some(at) if now.saturating_duration_since(at) <= MAX_VIEW_AGE => ViewState::Current,
            Some(since) => ViewState::Isolated { since },
            None => ViewState::Starting,
        }
    }
}
