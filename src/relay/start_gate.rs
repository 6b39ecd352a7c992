//! Keeps a starting daemon out of rotation while it may have an older configuration than its peers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::error::{Error, Result};

/// Time in which a starting daemon hears of its peers if any is running.
const LISTEN_TIME: Duration = Duration::from_secs(1);
/// Time after which a daemon is ready although it could not fetch a newer configuration.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// What a daemon knows of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigKnowledge {
    /// Version in force.
    pub in_force: u64,
    /// Newest version of a live peer; 0 for none.
    pub newest: u64,
    /// Whether other daemons are registered.
    pub has_peers: bool,
    /// Whether a pulse of another daemon arrived recently.
    pub hears_peers: bool,
}

/// Decides when a starting daemon may report that it is ready. The configuration in the store may be older than that of
/// running daemons, because a restored store lacks the newest changes until they are written again.
#[derive(Debug)]
pub struct StartGate {
    opened_at: Instant,
    passed: AtomicBool,
}

impl StartGate {
    /// Creates a gate for a daemon that starts at `now`.
    pub fn open(now: Instant) -> Self {
        Self {
            opened_at: now,
            passed: AtomicBool::new(false),
        }
    }

    /// Checks whether the daemon may be ready. Once it may, later calls always succeed.
    ///
    /// # Errors
    ///
    /// `Unavailable` if a peer has a newer configuration, or no peer has been heard yet.
    pub fn check(&self, known: ConfigKnowledge, now: Instant) -> Result<()> {
        let elapsed = now.saturating_duration_since(self.opened_at);
        if self.passed.load(Ordering::Relaxed) || elapsed >= MAX_WAIT {
            self.passed.store(true, Ordering::Relaxed);
            return Ok(());
        }
        if known.newest > known.in_force {
            let ConfigKnowledge {
                in_force, newest, ..
            } = known;
            return Err(Error::unavailable(format!(
                "a peer has configuration {newest}; {in_force} is in force"
            )));
        }
        if known.has_peers && !known.hears_peers && elapsed < LISTEN_TIME {
            return Err(Error::unavailable("no peer has been heard yet"));
        }
        self.passed.store(true, Ordering::Relaxed);
        Ok(())
    }
}
