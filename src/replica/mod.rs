//! Keeps the catalog current from the `config` stream, submits changes and tracks which VMs have applied them.

mod confirm;
mod peers;
mod snapshot;
mod state;
mod sync;

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::catalog::{ApplyVerdict, ChangeCommand, FleetCatalog, TeamSpec};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::ids::LogOffset;
use crate::journal::{FollowerStatus, JournalClient, StreamFollower, StreamGap, StreamName};
use crate::kernel::TaskGroup;
use crate::replica::confirm::ConfirmationTable;
use crate::replica::state::{CommandState, RecordSource, ReplicaState};
use crate::replica::sync::{CatalogSink, SnapshotTracker, watch_readiness, write_snapshots};
use crate::timer::TimerService;

pub use self::confirm::{ConfirmationChanges, Confirmations};
pub use self::peers::{FleetPeers, first_in_rendezvous_order};
pub use self::snapshot::{decode_state, encode_state};

/// Wait for a command to be read back before it is appended again. A repeated record has no effect.
const RESUBMIT_WAIT: Duration = Duration::from_secs(1);

/// Verdict of a command and the offset of its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeReport {
    pub offset: LogOffset,
    pub verdict: ApplyVerdict,
}

/// Consecutive records of the `config` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigRecords {
    pub first: LogOffset,
    pub records: Vec<Vec<u8>>,
}

/// Access of a replica to the other daemons.
pub trait ReplicaPeers: Send + Sync + 'static {
    /// Fetches encoded states from reachable peers.
    fn fetch_states(&self) -> impl Future<Output = Vec<Vec<u8>>> + Send;

    /// Returns whether this daemon should write snapshots. Several writers at once are harmless.
    fn writes_snapshots(&self) -> bool;
}

/// Peers of a daemon that runs alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl ReplicaPeers for NoPeers {
    async fn fetch_states(&self) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn writes_snapshots(&self) -> bool {
        true
    }
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Name of this VM.
    pub vm: SmolStr,
    /// Longest time between two snapshots; must be well below the retention of the `config` and `snapshots` streams.
    pub snapshot_period: Duration,
}

/// The catalog of one daemon.
pub struct CatalogReplica<J> {
    journal: Arc<J>,
    state: Arc<ReplicaState>,
    follower: StreamFollower,
    ready: watch::Receiver<bool>,
    confirmation_table: ConfirmationTable,
    append_allowed: watch::Sender<bool>,
}

impl<J: JournalClient> CatalogReplica<J> {
    /// Starts the tasks that load and follow the configuration. Returns at once; see [`Self::wait_ready`].
    pub fn spawn<P: ReplicaPeers>(
        group: &TaskGroup,
        timer: &TimerService,
        journal: Arc<J>,
        peers: Arc<P>,
        options: ReplicaOptions,
    ) -> Self {
        let state = Arc::new(ReplicaState::new());
        let tracker = Arc::new(SnapshotTracker::default());
        let sink = CatalogSink {
            journal: journal.clone(),
            peers: peers.clone(),
            state: state.clone(),
            tracker: tracker.clone(),
        };
        let follower = StreamFollower::spawn_sink(group, journal.clone(), StreamName::Config, sink);
        let (ready_sender, ready) = watch::channel(false);
        let readiness =
            watch_readiness(follower.clone(), peers.clone(), state.clone(), ready_sender);
        group.spawn_essential("replica-readiness", readiness);
        let snapshots = write_snapshots(
            journal.clone(),
            peers,
            state.clone(),
            tracker,
            timer.clone(),
            options.snapshot_period,
        );
        group.spawn_essential("snapshot-writer", snapshots);
        Self {
            journal,
            state,
            follower,
            ready,
            confirmation_table: ConfirmationTable::new(options.vm),
            append_allowed: watch::Sender::new(false),
        }
    }

    /// Returns the catalog at the latest applied offset. Cheap enough for every request.
    pub fn current(&self) -> Arc<FleetCatalog> {
        self.state.current()
    }

    /// Subscribes to new catalogs.
    pub fn subscribe(&self) -> watch::Receiver<Arc<FleetCatalog>> {
        self.state.subscribe()
    }

    /// Subscribes to the declared teams. They never lag behind [`current`](Self::current).
    pub fn teams(&self) -> watch::Receiver<Vec<TeamSpec>> {
        self.state.teams()
    }

    /// Returns the next `config` offset that is not applied yet.
    pub fn next_offset(&self) -> LogOffset {
        self.current().next_offset()
    }

    /// Returns the position of the log follower. `next` excludes records that a peer pushed since the last read.
    pub fn status(&self) -> FollowerStatus {
        self.follower.status()
    }

    /// Returns when the log last answered.
    pub fn log_answered_at(&self) -> Option<Instant> {
        self.follower.answered_at()
    }

    /// Returns the records that retention removed before they were read, unless a snapshot or a peer's state has
    /// closed the gap.
    pub fn gap(&self) -> Option<StreamGap> {
        self.follower.gap()
    }

    /// Returns whether the state is at least as new as the end of the log after start or, while the log is down, as
    /// the state of the newest reachable peer. Never returns to `false`.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until [`Self::is_ready`].
    ///
    /// # Errors
    ///
    /// Fails with `ShuttingDown` once the replica has stopped.
    pub async fn wait_ready(&self) -> Result<()> {
        let mut ready = self.ready.clone();
        let waited = ready.wait_for(|ready| *ready).await;
        waited
            .map(|_| ())
            .map_err(|_| Error::new(Category::ShuttingDown, "the replica has stopped"))
    }

    /// Allows or refuses appends; they are refused initially. A daemon may append only after it has been on the VM
    /// list for the list's longest lag, so that daemons that derive their view from the list cannot miss it.
    pub fn set_append_allowed(&self, allowed: bool) {
        self.append_allowed.send_replace(allowed);
    }

    /// Appends `command`, waits up to `wait` until it is read back, and returns its verdict.
    ///
    /// # Errors
    ///
    /// The verdict is `NotRun` if the command is certainly not on the log, and `MayHaveRun` if the wait ends first.
    /// Submitting the same command again then returns its outcome.
    pub async fn submit(&self, command: ChangeCommand, wait: Duration) -> Result<ChangeReport> {
        if !self.is_ready() {
            return Err(Error::unavailable("the configuration is not loaded yet"));
        }
        let mut report = match self.state.register_waiter(&command) {
            CommandState::Applied(report) => return Ok(report),
            CommandState::Waiting(report) => report,
        };
        let deadline = Instant::now() + wait;
        self.wait_for_permission(deadline).await?;
        let wait = deadline.saturating_duration_since(Instant::now());
        let record = Bytes::from(command.encode()?);
        let mut unresolved = None;
        let submission = async {
            loop {
                let appended = self.journal.append(StreamName::Config, record.clone());
                match appended.await {
                    Err(cause) if unresolved.is_none() && cause.verdict() == RunVerdict::NotRun => {
                        return Err(cause);
                    }
                    Err(cause) => unresolved = Some(cause),
                    Ok(_) => return (&mut report).await.map_err(|_| not_read_back()),
                }
                if let Ok(Ok(report)) = timeout(RESUBMIT_WAIT, &mut report).await {
                    return Ok(report);
                }
            }
        };
        match timeout(wait, submission).await {
            Ok(outcome) => outcome,
            Err(_) => {
                let cause = unresolved.unwrap_or_else(not_read_back);
                let message = format!("change {} is not confirmed: {cause}", command.id);
                Err(Error::new(Category::Timeout, message).with_verdict(RunVerdict::MayHaveRun))
            }
        }
    }

    async fn wait_for_permission(&self, deadline: Instant) -> Result<()> {
        let mut permission = self.append_allowed.subscribe();
        let allowed = permission.wait_for(|allowed| *allowed);
        match tokio::time::timeout_at(deadline.into(), allowed).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Error::unavailable(
                "this daemon has not been on the VM list for long enough",
            )),
        }
    }

    /// Applies records that a peer read from the log, up to the first gap; later ones must come from the log. Returns
    /// the next offset.
    pub fn apply_pushed(&self, first: LogOffset, records: &[Vec<u8>]) -> LogOffset {
        let records = records.iter().map(Vec::as_slice);
        self.state.apply(first, records, RecordSource::Peer)
    }

    /// Returns recent records from `from` on for a lagging peer, or `None` if this replica does not hold them.
    pub fn records_from(&self, from: LogOffset) -> Option<ConfigRecords> {
        self.state.records_from(from)
    }

    /// Encodes the state for a peer that starts while the log is down.
    ///
    /// # Errors
    ///
    /// Fails with `Unavailable` while this replica is not ready itself.
    pub fn encode_state(&self) -> Result<Vec<u8>> {
        if !self.is_ready() {
            return Err(Error::unavailable("the configuration is not loaded yet"));
        }
        encode_state(&self.current())
    }

    /// Installs a peer's state if it is newer than this replica's. Returns the next offset.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if the state is malformed.
    pub fn install_state(&self, state: &[u8]) -> Result<LogOffset> {
        Ok(self.state.install(decode_state(state)?))
    }

    /// Records the next `config` offset that the VM `name` reported. The latest report replaces a higher offset too,
    /// as a VM that was restarted under its old name may be behind.
    pub fn record_peer_offset(&self, name: &SmolStr, next: LogOffset) {
        self.confirmation_table.record_report(name, next);
    }

    /// Returns the next `config` offset that the VM `name` last reported.
    pub fn reported_offset(&self, name: &SmolStr) -> Option<LogOffset> {
        self.confirmation_table.reported_offset(name)
    }

    /// Sets the names of the VMs that must confirm a change. This VM is always one of them.
    pub fn set_expected_vms(&self, names: BTreeSet<SmolStr>) {
        self.confirmation_table.set_expected(names);
    }

    /// Returns which VMs have applied the record at `offset`.
    pub fn confirmations(&self, offset: LogOffset) -> Confirmations {
        self.confirmation_table
            .confirmations(offset, self.next_offset())
    }

    /// Waits up to `wait` until all expected VMs have applied the record at `offset`. Returns the latest confirmations.
    pub async fn wait_confirmed(&self, offset: LogOffset, wait: Duration) -> Confirmations {
        let mut changes = self.confirmation_changes();
        let all = async {
            while !self.confirmations(offset).pending.is_empty() && changes.next().await.is_some() {
            }
        };
        // After the deadline, the returned confirmations name the VMs that are still pending.
        let _ = timeout(wait, all).await;
        self.confirmations(offset)
    }

    /// Subscribes to changes of what [`Self::confirmations`] returns.
    pub fn confirmation_changes(&self) -> ConfirmationChanges {
        ConfirmationChanges {
            reports: self.confirmation_table.subscribe(),
            catalogs: self.state.subscribe(),
        }
    }
}

fn not_read_back() -> Error {
    Error::new(Category::Timeout, "its record was not read back in time")
        .with_verdict(RunVerdict::MayHaveRun)
}
