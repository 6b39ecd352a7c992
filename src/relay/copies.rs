//! Copies the configuration and the tables of the store from other daemons.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::error::{Error, Result};
use crate::metrics::DaemonMetrics;
use crate::peer::{PeerCaller, PeerReply, PeerRequest};
use crate::relay::config_copy::ConfigAssembler;
use crate::relay::fleet::RelayFleet;
use crate::relay::keeper::ConfigHolder;
use crate::relay::readers::{
    CopyRequest, CopySource, FetchHistory, ReaderElection, SourceFailures, TableCopy,
};
use crate::relay::registry::DaemonRegistry;
use crate::relay::server_list::{ListPosition, ServerChange};
use crate::wire;

/// Time after which sources are checked again if no pulse arrives.
const FETCH_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for the tables or a chunk of a configuration. If a source cannot be reached, enough time must be left
/// to ask another one before a change has to be in force.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed fetch.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// This daemon's configuration and tables, from which others copy and to which copies are applied.
#[derive(Clone)]
pub struct CopyTables {
    pub configs: Arc<ConfigHolder>,
    pub fleet: Arc<RelayFleet>,
    pub registry: Arc<DaemonRegistry>,
}

impl CopyTables {
    /// Answers the request of another daemon for a copy.
    ///
    /// # Errors
    ///
    /// `Internal` if the request is of another kind.
    pub fn answer(&self, request: PeerRequest) -> Result<PeerReply> {
        match request {
            PeerRequest::FetchTables(request) => Ok(PeerReply::Tables(self.copy(request))),
            PeerRequest::FetchConfig(request) => {
                Ok(PeerReply::Config(self.configs.chunk(&request)))
            }
            _ => Err(Error::internal("no service answers this peer call")),
        }
    }

    fn copy(&self, request: CopyRequest) -> TableCopy {
        TableCopy {
            servers: self.fleet.changes_since(request.servers_version),
            daemons: request
                .daemons
                .then(|| self.registry.registrations(Instant::now())),
        }
    }

    /// Returns `copy`, unless this daemon has a list of servers from a newer era of the store. The source may read the
    /// daemons' records seconds later than the list, so their era is compared when they are applied.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the list in the copy is of an older era.
    pub fn check_era(&self, copy: TableCopy) -> Result<TableCopy> {
        let (copied, known) = (copy.servers.position.era, self.fleet.era());
        if copied < known {
            return Err(Error::unavailable(format!(
                "the copy is from era {copied} of the store; this daemon is at {known}"
            )));
        }
        Ok(copy)
    }

    /// Applies a copy that was requested when the list of servers was at `base`. Returns whether that list was applied.
    /// A copy from a daemon that does not read the store itself leaves the tables unreadable.
    fn apply(&self, copy: TableCopy, base: ListPosition, reads_store: bool) -> bool {
        let now = Instant::now();
        let is_applied = self.fleet.apply_copy(copy.servers, base, now);
        if !reads_store {
            self.fleet.apply(vec![ServerChange::Unreachable], now);
        }
        match copy.daemons {
            Some(daemons) if reads_store => self.registry.apply_copy(daemons, now),
            Some(daemons) => self.registry.apply_unconfirmed(daemons, now),
            None => {}
        }
        is_applied
    }
}

/// Copies the tables from a daemon that reads the store when that daemon has changes, while this daemon does not read
/// the store itself. While no daemon reads the store, the newest list of any daemon is copied, as one that has just started
/// has none.
pub async fn follow_copies<C: PeerCaller>(
    readers: Arc<ReaderElection>,
    client: Arc<C>,
    tables: CopyTables,
    metrics: Arc<DaemonMetrics>,
) {
    let mut pulses = readers.subscribe_pulses();
    let mut history = FetchHistory::default();
    loop {
        // After a lost pulse the next one, or this timeout, leads to the fetch.
        let _ = tokio::time::timeout(FETCH_PERIOD, pulses.changed()).await;
        let now = Instant::now();
        readers.elect(now);
        if readers.is_reading(now) {
            history.clear();
            continue;
        }
        if tables.fleet.take_resync(now) {
            history.clear();
        }
        let base = tables.fleet.position();
        let failed = history.failed_source(now);
        let reader = readers.source(failed, now);
        let source = reader.or_else(|| readers.newer_list_source(base, failed, now));
        let Some(source) = source.filter(|source| history.is_due(*source, now)) else {
            continue;
        };
        let request = PeerRequest::FetchTables(history.request(source, base, now));
        let reply = client.call(source.peer, request, FETCH_TIMEOUT).await;
        let copy = reply.and_then(|reply| match reply {
            PeerReply::Tables(copy) => tables.check_era(copy),
            _ => Err(wire::protocol("the reply is of another kind")),
        });
        match copy {
            Ok(copy) => {
                history.note_fetch(source, &copy, now);
                let kind = match reader.is_some() {
                    true => "whole",
                    false => "unconfirmed",
                };
                metrics.count(&metrics.copies, kind);
                if reader.is_none() {
                    log::info!(
                        "no daemon reads the store; the list of {} was copied at {:?} after {base:?}",
                        source.peer,
                        copy.servers.position
                    );
                }
                if !tables.apply(copy, base, reader.is_some()) {
                    history.clear();
                }
            }
            Err(error) => {
                log::info!("no tables could be fetched from {}: {error}", source.peer);
                metrics.count(&metrics.copies, "failed");
                history.note_failure(source, Instant::now());
                tokio::time::sleep(FETCH_RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches a newer configuration from any daemon that has it. This is done even while this daemon reads the store,
/// because the store may refuse to serve it without any visible error.
pub async fn follow_configs<C: PeerCaller>(
    readers: Arc<ReaderElection>,
    client: Arc<C>,
    configs: Arc<ConfigHolder>,
    metrics: Arc<DaemonMetrics>,
) {
    let mut pulses = readers.subscribe_pulses();
    let mut assembler = ConfigAssembler::default();
    let mut failures = SourceFailures::default();
    let mut reports = VersionReports::default();
    loop {
        let _ = tokio::time::timeout(FETCH_PERIOD, pulses.changed()).await;
        loop {
            let now = Instant::now();
            let (in_force, newest) = (configs.version(), readers.newest_config_version(now));
            reports.report(&metrics, in_force, newest);
            if newest <= in_force {
                break;
            }
            let Some(source) = readers.newer_config_source(in_force, failures.latest(now), now)
            else {
                break;
            };
            let step = fetch_chunk(&*client, source, &mut assembler, &configs).await;
            if let Err(error) = step {
                log::info!(
                    "no configuration could be fetched from {}: {error}",
                    source.peer
                );
                metrics.count(&metrics.copies, "failed");
                failures.note(source, Instant::now());
                tokio::time::sleep(FETCH_RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches one chunk of a newer configuration. The configuration comes into force when its last chunk has arrived.
async fn fetch_chunk<C: PeerCaller>(
    client: &C,
    source: CopySource,
    assembler: &mut ConfigAssembler,
    configs: &ConfigHolder,
) -> Result<()> {
    let request = PeerRequest::FetchConfig(assembler.request(configs.version()));
    let chunk = match client.call(source.peer, request, FETCH_TIMEOUT).await {
        Ok(PeerReply::Config(Some(chunk))) => chunk,
        Ok(_) => return Err(wire::protocol("the daemon has no newer configuration")),
        Err(error) => {
            assembler.note_timeout();
            return Err(error);
        }
    };
    match assembler.add(chunk)? {
        Some(compressed) => configs.offer_compressed(compressed, source.peer),
        None => Ok(()),
    }
}

/// Versions of the configuration that were last reported in metrics and the log.
#[derive(Default)]
struct VersionReports {
    /// The version in force and the newest version of a peer.
    last: Option<(u64, u64)>,
    /// The newest version of a peer that was logged.
    logged: u64,
}

impl VersionReports {
    /// Updates the metrics if the versions have changed, and logs once each version that a peer has and this daemon
    /// lacks.
    fn report(&mut self, metrics: &DaemonMetrics, in_force: u64, newest: u64) {
        if self.last.replace((in_force, newest)) == Some((in_force, newest)) {
            return;
        }
        if newest > in_force.max(self.logged) {
            log::info!("configuration {newest} is known to a peer; this daemon has {in_force}");
        }
        self.logged = newest.max(self.logged);
        let versions = &metrics.config_versions;
        metrics.set(versions, "in_force", in_force as i64);
        metrics.set(versions, "known", newest.max(in_force) as i64);
    }
}
