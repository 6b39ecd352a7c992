//! Copies of what other daemons have read of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::error::{Error, Result};
use crate::metrics::DaemonMetrics;
use crate::peer::{PeerCaller, PeerReply, PeerRequest};
use crate::relay::fleet::RelayFleet;
use crate::relay::keeper::{PlanKeeper, PlanOrigin};
use crate::relay::readers::{CopyRequest, FetchMemory, ReaderElection, TableCopy};
use crate::relay::registry::DaemonRegistry;

/// Time after which sources are looked through again without a pulse.
const FETCH_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for a copy. A source that is cut off must leave time to ask another one before a change has to be in
/// force.
const FETCH_WAIT: Duration = Duration::from_millis(500);
/// Pause after a fetch that failed.
const FETCH_PAUSE: Duration = Duration::from_millis(100);

/// The tables of this daemon, for others to copy and to be filled by copies.
#[derive(Clone)]
pub struct CopyTables {
    pub plans: Arc<PlanKeeper>,
    pub fleet: Arc<RelayFleet>,
    pub registry: Arc<DaemonRegistry>,
}

impl CopyTables {
    /// Answers another daemon that copies.
    ///
    /// # Errors
    ///
    /// `Internal` if the call does not ask for a copy.
    pub fn answer(&self, request: PeerRequest) -> Result<PeerReply> {
        match request {
            PeerRequest::FetchTables(asked) => Ok(PeerReply::Tables(self.copy(asked))),
            _ => Err(Error::internal("no service answers this peer call")),
        }
    }

    fn copy(&self, asked: CopyRequest) -> TableCopy {
        TableCopy {
            plan: self.plans.record_after(asked.plan_version),
            servers: self.fleet.changes_since(asked.servers_version),
            daemons: asked.daemons.then(|| self.registry.copy(Instant::now())),
        }
    }

    /// Takes over a copy from `peer`; the configuration alone, if this daemon reads the store itself.
    fn apply(&self, copy: TableCopy, peer: SocketAddr, whole: bool) {
        if let Some(record) = copy.plan {
            self.plans
                .offer_record(record.into(), PlanOrigin::Peer(peer));
        }
        if !whole {
            return;
        }
        let now = Instant::now();
        let changes = copy.servers.into_changes();
        if !changes.is_empty() {
            self.fleet.apply(changes, now);
        }
        if let Some(daemons) = copy.daemons {
            self.registry.adopt(daemons, now);
        }
    }
}

/// Fetches what daemons that read the store have read, whenever they have something new. A daemon that reads the
/// store itself fetches a newer configuration all the same: the store may turn it away without a sign.
pub async fn follow_copies<C: PeerCaller>(
    readers: Arc<ReaderElection>,
    client: Arc<C>,
    tables: CopyTables,
    metrics: Arc<DaemonMetrics>,
) {
    let mut memory = FetchMemory::default();
    let mut known_plan = 0;
    loop {
        // A lost pulse is made up for by the next one.
        let _ = tokio::time::timeout(FETCH_PERIOD, readers.changed()).await;
        let now = Instant::now();
        readers.elect(now);
        let plan_version = tables.plans.version();
        note_versions(
            &metrics,
            plan_version,
            &mut known_plan,
            readers.newest_plan(now),
        );
        let whole = !readers.is_reading(now);
        if !whole {
            memory.clear();
        }
        let failed = memory.failed(now);
        let source = readers
            .source(failed, now)
            .filter(|source| whole && memory.wants(*source, now));
        let newer = readers.newer_plan(plan_version, failed, now);
        let Some(asked) = source.or(newer) else {
            continue;
        };
        let request = PeerRequest::FetchTables(memory.request(asked, plan_version, now));
        match client.call(asked.peer, request, FETCH_WAIT).await {
            Ok(PeerReply::Tables(copy)) => {
                if source.is_some() {
                    memory.fetched(asked, &copy, now);
                }
                metrics.count(&metrics.copies, "whole");
                tables.apply(copy, asked.peer, source.is_some());
            }
            Ok(_) => log::warn!("{} answered a fetch with something else", asked.peer),
            Err(error) => {
                log::info!("nothing could be fetched from {}: {error}", asked.peer);
                metrics.count(&metrics.copies, "failed");
                memory.note_failure(asked, Instant::now());
                tokio::time::sleep(FETCH_PAUSE).await;
            }
        }
    }
}

/// Tells once of each version that a peer has and this daemon has not.
fn note_versions(metrics: &DaemonMetrics, in_force: u64, known: &mut u64, newest: u64) {
    if newest > in_force.max(*known) {
        log::info!("configuration {newest} is known to a peer; this daemon has {in_force}");
    }
    *known = newest.max(*known);
    let versions = &metrics.plan_versions;
    metrics.set(versions, "in_force", in_force as i64);
    metrics.set(versions, "known", newest.max(in_force) as i64);
}
