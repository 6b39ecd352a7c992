//! Traits through which the membership service uses other modules.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use crate::ids::{LogOffset, VmId};

/// The share that an incarnation may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareGrant {
    /// Incarnation that holds the share; budgets start empty when it changes.
    pub vm: VmId,
    /// Parts per million of every team's rate and burst.
    pub ppm: u32,
    /// End of the term: nothing is created or spent from then on.
    pub until: Instant,
}

/// Uses the share of this daemon.
pub trait ShareSink: Send + Sync + 'static {
    /// Applies `grant`; `None` empties all budgets until the next grant.
    ///
    /// Returns when a reduction is in full effect: later than `now` while loans exceed the new share. The
    /// member acknowledges the reduction only after that time.
    fn adopt_share(&self, grant: Option<ShareGrant>, now: Instant) -> Instant;
}

impl<S: ShareSink> ShareSink for Arc<S> {
    fn adopt_share(&self, grant: Option<ShareGrant>, now: Instant) -> Instant {
        (**self).adopt_share(grant, now)
    }
}

impl<S: ShareSink, T: ShareSink> ShareSink for (S, T) {
    fn adopt_share(&self, grant: Option<ShareGrant>, now: Instant) -> Instant {
        let first = self.0.adopt_share(grant, now);
        first.max(self.1.adopt_share(grant, now))
    }
}

/// Supplies the parts of this daemon's status that other modules know.
pub trait StatusSource: Send + Sync + 'static {
    /// Next `config` offset that this daemon has not applied.
    fn config_next(&self) -> LogOffset;

    /// Spare tokens per team.
    fn spare(&self) -> Vec<(SmolStr, u64)>;

    /// Names of backend servers that this daemon has seen as leaving.
    fn leaving(&self) -> Vec<SmolStr>;
}
