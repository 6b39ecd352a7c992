//! Tasks of a replica: loading and following, readiness, snapshots.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::ids::LogOffset;
use crate::journal::{JournalClient, LogRecord, RecordSink, StreamFollower, StreamGap};
use crate::replica::ReplicaPeers;
use crate::replica::snapshot::{
    SnapshotMetadata, decode_state, newest_snapshot, unix_ms, write_snapshot,
};
use crate::replica::state::{RecordSource, ReplicaState};
use crate::timer::TimerService;

/// Time without an answer after which the log counts as down.
const LOG_DOWN_AFTER: Duration = Duration::from_secs(1);

/// Wait between attempts to load a state at start.
const LOAD_RETRY_WAIT: Duration = Duration::from_millis(200);

/// Records after which a snapshot is written before its period has passed, so that starting daemons replay few records.
const MAX_RECORDS_BETWEEN_SNAPSHOTS: u64 = 512;

/// Checks per snapshot period whether a snapshot is due, and the bounds of the time between checks.
const CHECKS_PER_SNAPSHOT_PERIOD: u32 = 16;
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(100);
const MAX_CHECK_PERIOD: Duration = Duration::from_secs(60);

/// Metadata of the newest snapshot that this daemon has read or written.
#[derive(Default)]
pub(super) struct SnapshotTracker {
    newest: Mutex<Option<SnapshotMetadata>>,
}

impl SnapshotTracker {
    fn set(&self, metadata: SnapshotMetadata) {
        *self.newest.lock().unwrap_or_else(PoisonError::into_inner) = Some(metadata);
    }

    fn is_due(&self, next: LogOffset, now_ms: u64, period: Duration) -> bool {
        let newest = *self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(newest) = newest else {
            return next > LogOffset(0);
        };
        // A snapshot dated in the future by a clock that runs ahead counts as old: its age is unknown.
        let age = now_ms.checked_sub(newest.written_ms);
        let old = age.is_none_or(|age| u128::from(age) >= period.as_millis());
        old || next.0.saturating_sub(newest.next.0) >= MAX_RECORDS_BETWEEN_SNAPSHOTS
    }
}

/// Applies records of the log to the state.
pub(super) struct CatalogSink<J, P> {
    pub(super) journal: Arc<J>,
    pub(super) peers: Arc<P>,
    pub(super) state: Arc<ReplicaState>,
    pub(super) tracker: Arc<SnapshotTracker>,
}

impl<J: JournalClient, P: ReplicaPeers> CatalogSink<J, P> {
    /// Installs the newest snapshot, if there is one. Returns whether the log answered.
    async fn load_snapshot(&self) -> bool {
        match newest_snapshot(&*self.journal).await {
            Ok(Some(found)) => {
                self.tracker.set(found.metadata);
                self.state.install(found.catalog);
                true
            }
            Ok(None) => true,
            Err(cause) => {
                log::warn!("cannot read snapshots: {cause}");
                false
            }
        }
    }
}

impl<J: JournalClient, P: ReplicaPeers> RecordSink for CatalogSink<J, P> {
    async fn prepare(&mut self) {
        while !self.load_snapshot().await {
            if install_from_peers(&*self.peers, &self.state).await {
                return;
            }
            sleep(LOAD_RETRY_WAIT).await;
        }
    }

    fn next_offset(&self) -> LogOffset {
        self.state.current().next_offset()
    }

    fn apply(&mut self, records: &[LogRecord]) {
        if let Some(first) = records.first() {
            let data = records.iter().map(|record| &record.data[..]);
            self.state.apply(first.offset, data, RecordSource::Log);
        }
    }

    async fn recover(&mut self, gap: StreamGap) {
        self.load_snapshot().await;
        if self.next_offset() < gap.first {
            install_from_peers(&*self.peers, &self.state).await;
        }
        if self.next_offset() < gap.first {
            log::error!(
                "config records {}..{} were removed from the log, and no snapshot or peer state covers them",
                gap.next,
                gap.first
            );
        }
    }
}

/// Installs the newest valid state of the peers. Returns whether there was one.
async fn install_from_peers<P: ReplicaPeers>(peers: &P, state: &ReplicaState) -> bool {
    let mut found = false;
    for encoded in peers.fetch_states().await {
        match decode_state(&encoded) {
            Ok(catalog) => {
                state.install(catalog);
                found = true;
            }
            Err(cause) => log::warn!("a peer's state is skipped: {cause}"),
        }
    }
    found
}

/// Sets `ready` once the end of the log has been read or, while the log is down, a peer's state has been installed.
pub(super) async fn watch_readiness<P: ReplicaPeers>(
    follower: StreamFollower,
    peers: Arc<P>,
    state: Arc<ReplicaState>,
    ready: watch::Sender<bool>,
) {
    let start = Instant::now();
    loop {
        match timeout(LOG_DOWN_AFTER, follower.wait_caught_up(start)).await {
            Ok(Ok(())) => break,
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        let answered = follower.answered_at().unwrap_or(start);
        let down = answered.elapsed() >= LOG_DOWN_AFTER;
        if down && install_from_peers(&*peers, &state).await {
            break;
        }
    }
    ready.send_replace(true);
}

/// Writes a snapshot whenever one is due and this daemon is the writer.
pub(super) async fn write_snapshots<J: JournalClient, P: ReplicaPeers>(
    journal: Arc<J>,
    peers: Arc<P>,
    state: Arc<ReplicaState>,
    tracker: Arc<SnapshotTracker>,
    timer: TimerService,
    period: Duration,
) {
    let check = (period / CHECKS_PER_SNAPSHOT_PERIOD).clamp(MIN_CHECK_PERIOD, MAX_CHECK_PERIOD);
    let mut ticks = timer.every(check);
    while ticks.next().await.is_some() {
        let catalog = state.current();
        let due = tracker.is_due(catalog.next_offset(), unix_ms(), period);
        if !due || !peers.writes_snapshots() {
            continue;
        }
        match write_snapshot(&*journal, &catalog).await {
            Ok(metadata) => tracker.set(metadata),
            Err(cause) => log::warn!("cannot write a snapshot: {cause}"),
        }
    }
}
