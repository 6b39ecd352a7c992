//! Order in which waiting requests get a backend server.
//!
//! Interactive requests go first: the team with the fewest served tokens before others, and within a team the request
//! with the least time left. A request that has missed its target, so that its answer will be late, yields to all that
//! can still meet theirs; of late requests, those of the highest priority go first.
//!
//! A deferrable request ([`crate::deferral`]) goes after all others, late ones included, until it is promoted. A promoted
//! one goes after those that can still meet their targets and before late ones, and after [`PROMOTED_TURN`] requests have
//! gone before promoted ones it goes first.
//!
//! Overnight requests, which are batch requests with a deadline, use the capacity that interactive ones leave, the one
//! with the least slack to its deadline first. They are promoted to the interactive requests of their team when the
//! slack runs out.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::catalog::RequestClass;

/// Slack below which an overnight request is promoted to the interactive ones.
pub const PROMOTION_SLACK: Duration = Duration::from_secs(60);

/// Number of requests on time that go before a promoted deferrable one. Without a limit, urgent requests beyond the capacity
/// would keep deferrable ones waiting until their callers give up.
pub const PROMOTED_TURN: u32 = 8;

/// Identifies a waiting request, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

/// Properties of a waiting request that its position in the queue depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitEntry {
    pub team: SmolStr,
    pub class: RequestClass,
    /// Time after which the answer is useless.
    pub deadline: Instant,
    /// Estimated time that the request takes once it is sent.
    pub work: Duration,
    /// Time until which the answer is on time; `None` if it is as good at any time before the deadline.
    pub target: Option<Instant>,
    /// Time at which a deferrable request is promoted; `None` for an urgent one.
    pub yield_until: Option<Instant>,
    /// Rank among late requests; 0 goes first.
    pub priority: u32,
    /// Tokens charged to the team's counter when the request is popped, unless it is popped as an overnight
    /// request that was not promoted.
    pub tokens: u64,
}

impl WaitEntry {
    /// Returns the latest start that meets the deadline, at which the slack has run out.
    fn latest_start(&self) -> Instant {
        self.deadline
            .checked_sub(self.work)
            .unwrap_or(self.deadline)
    }

    /// Returns the time by which the request goes before others of its team.
    fn order_time(&self) -> Instant {
        self.target.unwrap_or_else(|| self.latest_start())
    }

    /// Returns the standing of the request among those that wait.
    pub fn standing(&self, now: Instant) -> Standing {
        standing(self.target, self.yield_until, now)
    }
}

/// Standing of a request among those that wait, in the usual order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Urgent, and can still be on time.
    OnTime,
    /// Deferrable, and late unless it goes soon.
    Promoted,
    /// The answer will be late, also if the request is sent now.
    Late,
    /// Deferrable, and can wait.
    Deferred,
}

/// Returns the standing of a request that is on time until `target` and yields until `yield_until`.
pub(crate) fn standing(
    target: Option<Instant>,
    yield_until: Option<Instant>,
    now: Instant,
) -> Standing {
    if target.is_some_and(|target| target < now) {
        return Standing::Late;
    }
    match yield_until {
        None => Standing::OnTime,
        Some(promoted) if promoted <= now => Standing::Promoted,
        Some(_) => Standing::Deferred,
    }
}

/// A queue of waiting requests with a policy for their order.
pub trait QueuePolicy<T> {
    /// Adds a request, or returns it if the queue is full.
    fn push(&mut self, entry: WaitEntry, item: T) -> Result<WaitId, T>;

    /// Removes and returns the first request that `admissible` accepts.
    fn pop_next(&mut self, now: Instant, admissible: impl FnMut(&T) -> bool)
    -> Option<(WaitId, T)>;

    /// Removes a request whose caller went away.
    fn remove(&mut self, id: WaitId) -> Option<T>;

    /// Removes and returns the requests that cannot meet their deadline when they wait for `estimate` more.
    fn expire(&mut self, now: Instant, estimate: impl FnMut(&T) -> Duration) -> Vec<(WaitId, T)>;

    /// Adds `tokens` to a team's counter: the tokens used less those charged when the request was popped.
    fn adjust_served(&mut self, team: &SmolStr, tokens: i64);

    /// Returns the number of waiting requests that would go before a new one. All teams count as served alike so far.
    fn ahead_of(&self, entry: &WaitEntry, now: Instant) -> usize;

    /// Returns whether a request waits that can still be on time and yields to no other.
    fn has_on_time(&self, now: Instant) -> bool;

    /// Returns the number of waiting requests of a class, as their callers declared it.
    fn len(&self, class: RequestClass) -> usize;

    /// Returns whether no request waits.
    fn is_empty(&self) -> bool {
        self.len(RequestClass::Interactive) + self.len(RequestClass::Overnight) == 0
    }
}

type WaitKey = (Instant, WaitId);

struct Waiting<T> {
    index_key: IndexKey,
    entry: WaitEntry,
    item: T,
}

#[derive(Default)]
struct TeamQueue {
    /// Served tokens; the team with the lowest counter goes first.
    counter: i64,
    waiting: BTreeSet<WaitKey>,
}

/// Index that a waiting request is listed in, and its key there.
#[derive(Clone, Copy)]
enum IndexKey {
    Team(WaitKey),
    Overnight(WaitKey),
}

/// Queue that serves teams fairly, as the [module](self) describes.
pub struct WaitQueue<T> {
    capacity: usize,
    next: u64,
    waiting: HashMap<WaitId, Waiting<T>>,
    /// One entry for each team of the catalog that has ever had a waiting request.
    teams: BTreeMap<SmolStr, TeamQueue>,
    overnight: BTreeSet<WaitKey>,
    /// Deferrable requests by the time at which they are promoted.
    deferrable: BTreeSet<WaitKey>,
    /// Requests on time that went before promoted ones since the last promoted one.
    passed_over: u32,
    /// Highest counter at which a team was served. A team is raised to it when it joins and no team waits, so that it
    /// cannot save up service while it sends nothing.
    counter_floor: i64,
    declared_overnight: usize,
}

impl<T> WaitQueue<T> {
    /// Creates a queue of up to `capacity` requests, of which at most half may be overnight ones.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next: 0,
            waiting: HashMap::new(),
            teams: BTreeMap::new(),
            overnight: BTreeSet::new(),
            deferrable: BTreeSet::new(),
            passed_over: 0,
            counter_floor: 0,
            declared_overnight: 0,
        }
    }

    fn is_full(&self, class: RequestClass) -> bool {
        let overnight_full = self.declared_overnight >= self.capacity / 2;
        self.waiting.len() >= self.capacity || class == RequestClass::Overnight && overnight_full
    }

    /// Adds a request to its team's queue. A team that had none is raised to the lowest counter of those that wait.
    fn join_team(&mut self, team: &SmolStr, key: WaitKey) {
        let active = self
            .teams
            .values()
            .filter(|queue| !queue.waiting.is_empty());
        let lowest = active.map(|queue| queue.counter).min();
        let counter_floor = lowest.unwrap_or(self.counter_floor);
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.counter = queue.counter.max(counter_floor);
        }
        queue.waiting.insert(key);
    }

    /// Moves overnight requests whose slack is [`PROMOTION_SLACK`] or less to the queues of their teams.
    fn promote(&mut self, now: Instant) {
        while let Some(key) = self.overnight.first().copied() {
            if key.0 > now + PROMOTION_SLACK {
                return;
            }
            self.overnight.remove(&key);
            let Some(waiting) = self.waiting.get_mut(&key.1) else {
                continue;
            };
            waiting.index_key = IndexKey::Team(key);
            let team = waiting.entry.team.clone();
            self.join_team(&team, key);
        }
    }

    fn first_interactive(
        &self,
        now: Instant,
        admissible: &mut impl FnMut(&T) -> bool,
    ) -> Option<WaitId> {
        let active = self
            .teams
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty());
        let mut teams: Vec<_> = active
            .map(|(team, queue)| (queue.counter, team, &queue.waiting))
            .collect();
        teams.sort_by_key(|(counter, team, _)| (*counter, *team));
        let promoted_first = self.passed_over >= PROMOTED_TURN && self.has_promoted(now);
        let mut others = Vec::new();
        for (_, id) in teams.iter().flat_map(|(_, _, keys)| keys.iter()) {
            let waiting = &self.waiting[id];
            match waiting.entry.standing(now) {
                Standing::OnTime if !promoted_first => {
                    if admissible(&waiting.item) {
                        return Some(*id);
                    }
                }
                Standing::Late => others.push((Some(Standing::Late), waiting.entry.priority, *id)),
                Standing::Promoted if promoted_first => others.push((None, 0, *id)),
                standing => others.push((Some(standing), 0, *id)),
            }
        }
        // The sort is stable: within a standing and priority, the order of teams and of their requests stays.
        others.sort_by_key(|(standing, priority, _)| (*standing, *priority));
        let mut others = others.into_iter().map(|(_, _, id)| id);
        others.find(|id| admissible(&self.waiting[id].item))
    }

    /// Returns whether a deferrable request was promoted.
    fn has_promoted(&self, now: Instant) -> bool {
        self.deferrable
            .first()
            .is_some_and(|(time, _)| *time <= now)
    }

    /// Counts how often promoted requests were passed over.
    fn count_turn(&mut self, standing: Standing, now: Instant) {
        match standing {
            Standing::Promoted => self.passed_over = 0,
            Standing::OnTime if self.has_promoted(now) => self.passed_over += 1,
            _ => {}
        }
    }

    fn first_overnight(&self, admissible: &mut impl FnMut(&T) -> bool) -> Option<WaitId> {
        let mut ids = self.overnight.iter();
        ids.find(|(_, id)| admissible(&self.waiting[id].item))
            .map(|(_, id)| *id)
    }

    fn take(&mut self, id: WaitId) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(&id)?;
        if let Some(time) = waiting.entry.yield_until {
            self.deferrable.remove(&(time, id));
        }
        match waiting.index_key {
            IndexKey::Overnight(key) => {
                self.overnight.remove(&key);
            }
            IndexKey::Team(key) => {
                if let Some(queue) = self.teams.get_mut(&waiting.entry.team) {
                    queue.waiting.remove(&key);
                }
            }
        }
        self.declared_overnight -= usize::from(waiting.entry.class == RequestClass::Overnight);
        Some(waiting)
    }

    /// Charges a team whose request was taken from its own queue.
    fn charge(&mut self, team: &SmolStr, tokens: u64) {
        if let Some(queue) = self.teams.get_mut(team) {
            self.counter_floor = self.counter_floor.max(queue.counter);
            queue.counter = queue.counter.saturating_add_unsigned(tokens);
        }
    }
}

impl<T> QueuePolicy<T> for WaitQueue<T> {
    fn push(&mut self, entry: WaitEntry, item: T) -> Result<WaitId, T> {
        if self.is_full(entry.class) {
            return Err(item);
        }
        let id = WaitId(self.next);
        self.next += 1;
        let index_key = match entry.class {
            RequestClass::Interactive => {
                let key = (entry.order_time(), id);
                self.join_team(&entry.team, key);
                IndexKey::Team(key)
            }
            RequestClass::Overnight => {
                let key = (entry.latest_start(), id);
                self.overnight.insert(key);
                self.declared_overnight += 1;
                IndexKey::Overnight(key)
            }
        };
        if let Some(time) = entry.yield_until {
            self.deferrable.insert((time, id));
        }
        self.waiting.insert(
            id,
            Waiting {
                index_key,
                entry,
                item,
            },
        );
        Ok(id)
    }

    fn pop_next(
        &mut self,
        now: Instant,
        mut admissible: impl FnMut(&T) -> bool,
    ) -> Option<(WaitId, T)> {
        self.promote(now);
        if let Some(id) = self.first_interactive(now, &mut admissible) {
            let standing = self.waiting[&id].entry.standing(now);
            self.count_turn(standing, now);
            let waiting = self.take(id)?;
            self.charge(&waiting.entry.team, waiting.entry.tokens);
            return Some((id, waiting.item));
        }
        // Overnight requests use capacity that nobody else waits for, so their team is not charged for them.
        let id = self.first_overnight(&mut admissible)?;
        self.take(id).map(|waiting| (id, waiting.item))
    }

    fn remove(&mut self, id: WaitId) -> Option<T> {
        self.take(id).map(|waiting| waiting.item)
    }

    fn expire(
        &mut self,
        now: Instant,
        mut estimate: impl FnMut(&T) -> Duration,
    ) -> Vec<(WaitId, T)> {
        let late = |waiting: &Waiting<T>, wait| now + wait > waiting.entry.deadline;
        let entries = self.waiting.iter();
        let mut ids: Vec<_> = entries
            .filter(|(_, waiting)| late(waiting, estimate(&waiting.item)))
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        ids.into_iter()
            .filter_map(|id| Some((id, self.take(id)?.item)))
            .collect()
    }

    fn ahead_of(&self, entry: &WaitEntry, now: Instant) -> usize {
        let key = |entry: &WaitEntry| {
            let standing = entry.standing(now);
            let priority = match standing {
                Standing::Late => entry.priority,
                _ => 0,
            };
            (standing, priority, entry.order_time())
        };
        let new = key(entry);
        let entries = self.waiting.values().map(|waiting| &waiting.entry);
        let ahead = entries
            .filter(|waiting| waiting.class == RequestClass::Interactive && key(waiting) <= new);
        let mut teams: HashMap<&SmolStr, usize> = HashMap::new();
        for waiting in ahead {
            *teams.entry(&waiting.team).or_default() += 1;
        }
        // Teams take turns, so that no other team has more requests before the new one than its own team.
        let own = teams.get(&entry.team).copied().unwrap_or(0);
        let turns = own + 1;
        let others = teams.iter().filter(|(team, _)| **team != &entry.team);
        own + others.map(|(_, count)| (*count).min(turns)).sum::<usize>()
    }

    fn has_on_time(&self, now: Instant) -> bool {
        let mut entries = self.waiting.values().map(|waiting| &waiting.entry);
        entries.any(|entry| {
            let is_interactive = entry.class == RequestClass::Interactive;
            is_interactive && entry.standing(now) == Standing::OnTime
        })
    }

    fn adjust_served(&mut self, team: &SmolStr, tokens: i64) {
        let queue = self.teams.entry(team.clone()).or_default();
        queue.counter = queue.counter.saturating_add(tokens);
    }

    fn len(&self, class: RequestClass) -> usize {
        match class {
            RequestClass::Interactive => self.waiting.len() - self.declared_overnight,
            RequestClass::Overnight => self.declared_overnight,
        }
    }
}

/// First-in, first-out queue without classes or teams, as a baseline for comparison.
pub struct FifoQueue<T> {
    capacity: usize,
    next: u64,
    waiting: VecDeque<(WaitId, WaitEntry, T)>,
}

impl<T> FifoQueue<T> {
    /// Creates a queue of up to `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next: 0,
            waiting: VecDeque::new(),
        }
    }

    fn take(&mut self, index: usize) -> Option<(WaitId, T)> {
        let (id, _, item) = self.waiting.remove(index)?;
        Some((id, item))
    }
}

impl<T> QueuePolicy<T> for FifoQueue<T> {
    fn push(&mut self, entry: WaitEntry, item: T) -> Result<WaitId, T> {
        if self.waiting.len() >= self.capacity {
            return Err(item);
        }
        let id = WaitId(self.next);
        self.next += 1;
        self.waiting.push_back((id, entry, item));
        Ok(id)
    }

    fn pop_next(
        &mut self,
        _now: Instant,
        mut admissible: impl FnMut(&T) -> bool,
    ) -> Option<(WaitId, T)> {
        let index = self.waiting.iter().position(|entry| admissible(&entry.2))?;
        self.take(index)
    }

    fn remove(&mut self, id: WaitId) -> Option<T> {
        let index = self.waiting.iter().position(|entry| entry.0 == id)?;
        self.take(index).map(|(_, item)| item)
    }

    fn expire(
        &mut self,
        now: Instant,
        mut estimate: impl FnMut(&T) -> Duration,
    ) -> Vec<(WaitId, T)> {
        let waiting = std::mem::take(&mut self.waiting);
        let late = |entry: &(WaitId, WaitEntry, T), wait| now + wait > entry.1.deadline;
        let (expired, kept): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|entry| late(entry, estimate(&entry.2)));
        self.waiting = kept.into();
        expired
            .into_iter()
            .map(|(id, _, item)| (id, item))
            .collect()
    }

    fn adjust_served(&mut self, _team: &SmolStr, _tokens: i64) {}

    fn ahead_of(&self, _entry: &WaitEntry, _now: Instant) -> usize {
        self.waiting.len()
    }

    fn has_on_time(&self, _now: Instant) -> bool {
        !self.waiting.is_empty()
    }

    fn len(&self, class: RequestClass) -> usize {
        let entries = self.waiting.iter();
        entries.filter(|entry| entry.1.class == class).count()
    }
}
