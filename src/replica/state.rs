//! State of a replica behind one lock: catalog, recent records and waiting commands.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{oneshot, watch};

use crate::catalog::{AppliedCommand, ChangeCommand, FleetCatalog, TeamSpec};
use crate::error::Category;
use crate::ids::{LogOffset, RecordId};
use crate::replica::{ChangeReport, ConfigRecords};

/// Recent records kept for lagging peers; peers that lag further read the log.
const MAX_RECENT_RECORDS: usize = 256;

/// Records in one push to a peer.
const MAX_PUSH_RECORDS: usize = 64;

/// Where records come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordSource {
    Log,
    Peer,
}

/// Whether a command has been applied.
pub(super) enum CommandState {
    Applied(ChangeReport),
    Waiting(oneshot::Receiver<ChangeReport>),
}

impl From<&AppliedCommand> for ChangeReport {
    fn from(applied: &AppliedCommand) -> Self {
        Self {
            offset: applied.offset,
            verdict: applied.verdict.clone(),
        }
    }
}

/// State shared by the replica's handle and its tasks.
pub(super) struct ReplicaState {
    inner: Mutex<StateInner>,
    current: watch::Sender<Arc<FleetCatalog>>,
    /// Teams of `current`, or of the catalog that is about to be published.
    teams: watch::Sender<Vec<TeamSpec>>,
}

#[derive(Default)]
struct StateInner {
    catalog: Arc<FleetCatalog>,
    /// Most recent records; the last one is at the offset before the catalog's next offset.
    recent: VecDeque<Vec<u8>>,
    waiters: HashMap<RecordId, Vec<oneshot::Sender<ChangeReport>>>,
}

impl ReplicaState {
    pub(super) fn new() -> Self {
        let (current, _) = watch::channel(Arc::default());
        Self {
            inner: Mutex::default(),
            current,
            teams: watch::Sender::default(),
        }
    }

    pub(super) fn current(&self) -> Arc<FleetCatalog> {
        self.current.borrow().clone()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Arc<FleetCatalog>> {
        self.current.subscribe()
    }

    pub(super) fn teams(&self) -> watch::Receiver<Vec<TeamSpec>> {
        self.teams.subscribe()
    }

    /// Publishes a catalog after its teams, so that a request that finds its team in the catalog also finds the
    /// team's budget.
    fn publish(&self, catalog: &Arc<FleetCatalog>) {
        let teams: Vec<TeamSpec> = catalog.teams().cloned().collect();
        self.teams.send_if_modified(|known| {
            let changed = *known != teams;
            *known = teams;
            changed
        });
        self.current.send_replace(catalog.clone());
    }

    /// Applies records, the first at offset `first`. Skips those already applied and stops at a gap. Returns the
    /// next offset.
    pub(super) fn apply<'a>(
        &self,
        first: LogOffset,
        records: impl Iterator<Item = &'a [u8]>,
        source: RecordSource,
    ) -> LogOffset {
        let mut inner = self.lock();
        let before = inner.catalog.next_offset();
        for (offset, data) in (first.0..).map(LogOffset).zip(records) {
            if offset < inner.catalog.next_offset() {
                continue;
            }
            if offset > inner.catalog.next_offset() || !inner.apply_one(offset, data, source) {
                break;
            }
        }
        let next = inner.catalog.next_offset();
        if next > before {
            self.publish(&inner.catalog);
        }
        next
    }

    /// Replaces the catalog if `catalog` is newer. Returns the next offset.
    pub(super) fn install(&self, catalog: FleetCatalog) -> LogOffset {
        let mut inner = self.lock();
        if catalog.next_offset() > inner.catalog.next_offset() {
            inner.catalog = Arc::new(catalog);
            inner.recent.clear();
            inner.answer_applied();
            self.publish(&inner.catalog);
        }
        inner.catalog.next_offset()
    }

    /// Registers a wait for the verdict of `command`, or returns the verdict if the command was applied already.
    pub(super) fn register_waiter(&self, command: &ChangeCommand) -> CommandState {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        if let Some(applied) = inner.catalog.applied_command(command.id)
            && applied.digest == command.digest()
        {
            return CommandState::Applied(applied.into());
        }
        for waiters in inner.waiters.values_mut() {
            waiters.retain(|waiter| !waiter.is_closed());
        }
        inner.waiters.retain(|_, waiters| !waiters.is_empty());
        inner.waiters.entry(command.id).or_default().push(sender);
        CommandState::Waiting(receiver)
    }

    /// Returns records from `from` on, or `None` if there are none or they are no longer kept.
    pub(super) fn records_from(&self, from: LogOffset) -> Option<ConfigRecords> {
        let inner = self.lock();
        let next = inner.catalog.next_offset().0;
        let first = next - inner.recent.len() as u64;
        if from.0 < first || from.0 >= next {
            return None;
        }
        let skipped = usize::try_from(from.0 - first).ok()?;
        let records = inner.recent.iter().skip(skipped).take(MAX_PUSH_RECORDS);
        Some(ConfigRecords {
            first: from,
            records: records.cloned().collect(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StateInner {
    /// Applies the record at the next offset. Returns whether it did.
    fn apply_one(&mut self, offset: LogOffset, data: &[u8], source: RecordSource) -> bool {
        match ChangeCommand::decode(data) {
            Ok(command) => {
                let catalog = Arc::make_mut(&mut self.catalog);
                let verdict = catalog.apply(offset, &command);
                self.answer(command.id, ChangeReport { offset, verdict });
            }
            // Only the log shows whether the record is malformed for all daemons.
            Err(_) if source == RecordSource::Peer => return false,
            Err(cause) if cause.category() == Category::Unavailable => {
                log::error!("config record {offset} cannot be applied: {cause}");
                return false;
            }
            Err(cause) => {
                log::error!("config record {offset} is skipped: {cause}");
                Arc::make_mut(&mut self.catalog).skip(offset);
            }
        }
        if self.recent.len() == MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
        self.recent.push_back(data.to_vec());
        true
    }

    fn answer(&mut self, id: RecordId, report: ChangeReport) {
        for waiter in self.waiters.remove(&id).unwrap_or_default() {
            // The waiting call may have ended at its deadline.
            let _ = waiter.send(report.clone());
        }
    }

    /// Answers waiting commands that an installed state has already applied.
    fn answer_applied(&mut self) {
        let known: Vec<AppliedCommand> = self
            .waiters
            .keys()
            .filter_map(|id| self.catalog.applied_command(*id).cloned())
            .collect();
        for applied in known {
            self.answer(applied.id, ChangeReport::from(&applied));
        }
    }
}
