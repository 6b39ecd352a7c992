//! Watches for backend servers that crash under requests, and shares with the other daemons which prompt parts are to
//! blame.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::blame::{BlameMessage, BlameTable, CrashReport, DaemonKey, PartId, PartNotice};
use crate::error::{Category, Error, Result};
use crate::relay::fleet::RelayFleet;
use crate::relay::upstream::UpstreamPool;

/// Maximum number of suspect, blocked and cleared parts.
const TABLE_CAPACITY: usize = 4_096;
/// Shortest time after which a refused request may come again: a trial is under way, or is another daemon's.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of messages that wait to be sent. More crashes than that within milliseconds have another cause.
const MAX_OUTBOX: usize = 256;

/// An attempt at a request that broke before its server had written anything of the answer.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAttempt<'a> {
    pub server: &'a SmolStr,
    pub address: SocketAddr,
    pub parts: &'a [PartId],
    pub sent: Instant,
}

/// The blame table of this daemon and its messages to the others.
pub struct CrashWatch {
    table: Mutex<BlameTable>,
    fleet: Arc<RelayFleet>,
    pool: UpstreamPool,
    outbox: Mutex<Vec<BlameMessage>>,
    filled: Notify,
}

impl CrashWatch {
    /// Creates the watch of the daemon `own` over the servers of `fleet`.
    pub fn open(own: DaemonKey, fleet: Arc<RelayFleet>, pool: UpstreamPool) -> Arc<Self> {
        Arc::new(Self {
            table: Mutex::new(BlameTable::new(TABLE_CAPACITY, own)),
            fleet,
            pool,
            outbox: Mutex::default(),
            filled: Notify::new(),
        })
    }

    /// Checks whether a new request with `parts` may run.
    ///
    /// # Errors
    ///
    /// `Quarantined` if one of the parts is blocked and no trial is due.
    pub fn check_new(&self, parts: &[PartId]) -> Result<()> {
        let now = Instant::now();
        let table = self.table();
        let is_due = table.trial_due(parts).is_none_or(|due| due <= now);
        match table.blocked_until(parts, now) {
            Some(_) if !is_due => Err(blocked_error(&table, parts, now)),
            _ => Ok(()),
        }
    }

    /// Checks whether a request with `parts` may be sent to a server now. Takes the trial if one is due.
    ///
    /// # Errors
    ///
    /// As [`Self::check_new`].
    pub fn check_send(&self, parts: &[PartId]) -> Result<()> {
        let now = Instant::now();
        let mut table = self.table();
        if table.blocked_until(parts, now).is_none() {
            return Ok(());
        }
        let Some(notices) = table.take_trial(parts, now) else {
            return Err(blocked_error(&table, parts, now));
        };
        drop(table);
        log::info!("one request with the blocked prompt parts {parts:x?} may run");
        self.send(notices.into_iter().map(BlameMessage::Notice));
        Ok(())
    }

    /// Returns whether a request with `parts` may be sent again after its server crashed.
    pub fn may_resend(&self, parts: &[PartId]) -> bool {
        self.table().may_resend(parts, Instant::now())
    }

    /// Finds out whether the server of a broken attempt has crashed, and if so counts that against the parts. Takes as
    /// long as one connect.
    pub async fn examine(&self, attempt: BrokenAttempt<'_>) {
        // The end of a server that is leaving is planned.
        let Some(server) = self.fleet.server_start(attempt.server) else {
            return;
        };
        if attempt.parts.is_empty() || !self.pool.refuses_connections(attempt.address).await {
            return;
        }
        let now = Instant::now();
        self.fleet
            .connect_refused(attempt.server, attempt.address, now);
        log::info!(
            "server {} crashed before it answered a request with the prompt parts {:x?}",
            attempt.server,
            attempt.parts
        );
        let report = CrashReport {
            server,
            sent_ago: now.saturating_duration_since(attempt.sent),
            parts: attempt.parts.to_vec(),
        };
        let unblocked = self.record_crash(&report, true, now);
        self.send([BlameMessage::Crash(report)]);
        self.send(unblocked.into_iter().map(cleared_notice));
    }

    /// Notes that a server is writing the answer to a request that was sent to it at `sent`.
    pub fn note_progress(&self, parts: &[PartId], sent: Instant) {
        let now = Instant::now();
        let cleared = self.table().record_progress(parts, sent, now);
        for part in &cleared {
            log::info!("prompt part {part:x?} is cleared, as a server answers a request with it");
        }
        self.send(cleared.into_iter().map(cleared_notice));
    }

    /// Handles a message of another daemon.
    pub fn handle_message(&self, message: BlameMessage, now: Instant) {
        match message {
            BlameMessage::Crash(report) => {
                self.record_crash(&report, false, now);
            }
            BlameMessage::Notice(notice) => self.apply_notices(&[notice], now),
        }
    }

    /// Applies the notices of another daemon.
    pub fn apply_notices(&self, notices: &[PartNotice], now: Instant) {
        let mut table = self.table();
        for notice in notices {
            if table.apply_notice(*notice, now) {
                log::info!("learned from another daemon: {notice:x?}");
            }
        }
    }

    /// Returns the notices that are repeated in each pulse, for daemons that have missed messages.
    pub fn notices(&self, now: Instant) -> Vec<PartNotice> {
        self.table().notices(now)
    }

    /// Waits for messages to all other daemons and takes them.
    pub async fn take_messages(&self) -> Vec<BlameMessage> {
        loop {
            let messages = std::mem::take(&mut *self.outbox());
            if !messages.is_empty() {
                return messages;
            }
            self.filled.notified().await;
        }
    }

    /// Ends elapsed blocks and suspicions. Trials of blocked parts are shared with the daemons that `others` returns.
    pub fn expire(&self, now: Instant, others: impl FnOnce() -> Vec<DaemonKey>) {
        let mut table = self.table();
        table.expire(now);
        let (_, blocked) = table.counts();
        if blocked > 0 {
            table.set_daemons(others());
        }
    }

    /// Returns the numbers of suspect and of blocked parts.
    pub fn counts(&self) -> (usize, usize) {
        self.table().counts()
    }

    /// Counts a crash. Returns the parts that are no longer blocked because of it.
    fn record_crash(&self, report: &CrashReport, is_own: bool, now: Instant) -> Vec<PartId> {
        let change = self.table().record_crash(report, is_own, now);
        for part in change.blocked {
            log::warn!("prompt part {part:x?} is blocked, as servers crash under requests with it");
        }
        for part in &change.unblocked {
            log::info!(
                "prompt part {part:x?} is not blocked, as another part explains the crashes"
            );
        }
        change.unblocked
    }

    fn send(&self, messages: impl IntoIterator<Item = BlameMessage>) {
        let mut outbox = self.outbox();
        let before = outbox.len();
        outbox.extend(messages);
        if outbox.len() > MAX_OUTBOX {
            log::warn!(
                "{} messages about crashes are dropped",
                outbox.len() - MAX_OUTBOX
            );
            outbox.truncate(MAX_OUTBOX);
        }
        if outbox.len() > before {
            self.filled.notify_one();
        }
    }

    fn table(&self) -> MutexGuard<'_, BlameTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outbox(&self) -> MutexGuard<'_, Vec<BlameMessage>> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn cleared_notice(part: PartId) -> BlameMessage {
    BlameMessage::Notice(PartNotice::cleared(part, Duration::ZERO))
}

/// Returns the error of a request whose parts are blocked. It may come again at the next trial, which may clear them.
fn blocked_error(table: &BlameTable, parts: &[PartId], now: Instant) -> Error {
    let message = "backend servers crashed under requests with a prompt part of this one";
    let due = table.fleet_trial_due(parts).unwrap_or(now);
    let wait = due.saturating_duration_since(now).max(MIN_RETRY_AFTER);
    Error::new(Category::Quarantined, message).with_retry_after(wait)
}
