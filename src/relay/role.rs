//! The role of the planner, which one daemon of the fleet holds at a time.
//!
//! The store hands out the role by group membership and may give it to another daemon without asking the holder. So a
//! holder uses the role only for a short time after each confirmation, and a new one waits until the former holder has
//! surely stopped, and its last orders have arrived.

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use smol_str::SmolStr;

use crate::error::Result;
use crate::kernel::TaskGroup;

/// Time between two confirmations.
const JOIN_PERIOD: Duration = Duration::from_millis(500);
/// Time after which the store gives the role of a silent daemon to another one.
const MEMBER_LIFE: Duration = Duration::from_millis(2_000);
/// Time for which a confirmation lets the holder give orders, counted from before it was asked for.
const ROLE_LIFE: Duration = Duration::from_millis(1_500);
/// Longest wait for a confirmation.
const JOIN_WAIT: Duration = Duration::from_millis(1_000);
/// Difference between the clocks by which a suspended VM is recognised: the monotonic clock stands still meanwhile.
const SUSPEND_SLACK: Duration = Duration::from_millis(300);

/// The store's answer to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleAnswer {
    /// Grows whenever the role may have moved.
    pub generation: u64,
    /// Whether the member holds the role.
    pub holds: bool,
}

/// Client of the store's groups.
pub trait RoleGroup: Send + Sync + 'static {
    /// Keeps `member` in the group for `life`; `generation` is the last one that it was told, 0 at first.
    fn join(
        &self,
        member: &str,
        generation: u64,
        life: Duration,
    ) -> impl Future<Output = Result<RoleAnswer>> + Send;
}

/// What a daemon knows of its role; pure, with the time as an argument.
#[derive(Debug, Default)]
pub struct RoleTerm {
    generation: u64,
    /// When the role was first confirmed without a pause since.
    held_since: Option<Instant>,
    /// Time before the newest confirmation was asked for.
    confirmed_at: Option<Instant>,
}

impl RoleTerm {
    /// Takes in an answer to a question asked at `asked_at`.
    pub fn answered(&mut self, answer: RoleAnswer, asked_at: Instant, now: Instant) {
        self.generation = self.generation.max(answer.generation);
        if !answer.holds {
            *self = Self {
                generation: self.generation,
                ..Self::default()
            };
            return;
        }
        let lapsed = self
            .confirmed_at
            .is_none_or(|at| at + MEMBER_LIFE <= asked_at);
        if lapsed || self.held_since.is_none() {
            // Another daemon may have held the role in between.
            self.held_since = Some(now);
        }
        self.confirmed_at = Some(asked_at);
    }

    /// Forgets the role, as after a pause of unknown length.
    pub fn lapse(&mut self) {
        self.held_since = None;
        self.confirmed_at = None;
    }

    /// Returns the fencing number if orders may be given at `now`; `lease` is the longest time for which orders of
    /// two holders may not mix.
    pub fn fence(&self, lease: Duration, now: Instant) -> Option<u64> {
        let settled = self.held_since? + ROLE_LIFE + lease;
        let ends = self.confirmed_at? + ROLE_LIFE;
        (now >= settled && now < ends).then_some(self.generation)
    }

    /// Returns the newest generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether the store says that this daemon holds the role, though it may have to wait.
    pub fn is_held(&self) -> bool {
        self.held_since.is_some()
    }
}

/// Keeps this daemon in the group. Share it in an [`Arc`].
pub struct RoleKeeper {
    term: Mutex<RoleTerm>,
    lease: Duration,
    /// The two clocks at the same moment, to notice a suspension.
    clocks: Mutex<(Instant, SystemTime)>,
}

impl RoleKeeper {
    /// Joins the group as `member` in a task of `group`.
    pub fn spawn<G: RoleGroup>(
        group: &TaskGroup,
        store: Arc<G>,
        member: SmolStr,
        lease: Duration,
    ) -> Arc<Self> {
        let keeper = Arc::new(Self {
            term: Mutex::default(),
            lease,
            clocks: Mutex::new((Instant::now(), SystemTime::now())),
        });
        group.spawn_cancellable(join(keeper.clone(), store, member));
        keeper
    }

    /// Returns the fencing number if this daemon may give orders now.
    pub fn fence(&self) -> Option<u64> {
        let mut term = self.term.lock().unwrap_or_else(PoisonError::into_inner);
        if self.was_suspended() {
            log::warn!("this VM was suspended; the planner's role is taken up anew");
            term.lapse();
        }
        term.fence(self.lease, Instant::now())
    }

    /// Compares how far the two clocks went since the last look. A step of the time of day looks the same and costs
    /// a wait only.
    fn was_suspended(&self) -> bool {
        let mut clocks = self.clocks.lock().unwrap_or_else(PoisonError::into_inner);
        let (now, today) = (Instant::now(), SystemTime::now());
        let (before, then) = std::mem::replace(&mut *clocks, (now, today));
        let steady = now.saturating_duration_since(before);
        match today.duration_since(then) {
            Ok(passed) => passed > steady + SUSPEND_SLACK,
            Err(_) => false,
        }
    }
}

async fn join<G: RoleGroup>(keeper: Arc<RoleKeeper>, store: Arc<G>, member: SmolStr) {
    let mut held = false;
    loop {
        let generation = keeper.with(|term| term.generation());
        let asked_at = Instant::now();
        let answer = store.join(&member, generation, MEMBER_LIFE);
        match tokio::time::timeout(JOIN_WAIT, answer).await {
            Ok(Ok(answer)) => {
                keeper.with(|term| term.answered(answer, asked_at, Instant::now()));
                if answer.holds != held {
                    held = answer.holds;
                    let generation = answer.generation;
                    log::info!("planner's role held: {held}, generation {generation}");
                }
            }
            Ok(Err(error)) => log::debug!("the planner's role is not confirmed: {error}"),
            Err(_) => log::debug!("the planner's role is not confirmed in time"),
        }
        tokio::time::sleep(JOIN_PERIOD).await;
    }
}

impl RoleKeeper {
    fn with<T>(&self, change: impl FnOnce(&mut RoleTerm) -> T) -> T {
        change(&mut self.term.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
