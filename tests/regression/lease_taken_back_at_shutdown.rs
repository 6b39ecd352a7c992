//! A daemon that shut down released the planner's lease, took it back within a second, as the record named its own VM, and
//! planned until it ended.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use foxtailhill::error::Result;
use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::relay::{
    LeaseCandidate, LeaseManager, LeaseRecord, LeaseState, LeaseStore, WriteAnswer,
};
use tokio::sync::watch;

/// A store of one lease, which all writes reach.
#[derive(Default)]
struct SingleLease(Mutex<LeaseState>);

impl SingleLease {
    fn state(&self) -> MutexGuard<'_, LeaseState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LeaseStore for SingleLease {
    async fn read_lease(&self) -> Result<LeaseState> {
        Ok(self.state().clone())
    }

    async fn write_lease(&self, at: LogOffset, record: &LeaseRecord) -> Result<WriteAnswer> {
        *self.state() = LeaseState {
            record: Some(record.clone()),
            next: at.next(),
            ..LeaseState::default()
        };
        Ok(WriteAnswer {
            written: true,
            era: StoreEra::default(),
        })
    }
}

/// Guards against a daemon that shuts down, takes the lease that it has released back, and goes on planning until it ends.
#[tokio::test]
async fn released_lease_is_not_taken_back() {
    let group = TaskGroup::new();
    let store = Arc::new(SingleLease::default());
    let (_eligible, eligible) = watch::channel(true);
    let candidate = LeaseCandidate::new("entry-1".into(), VmId::random(), Duration::ZERO);
    let lease = LeaseManager::spawn(&group, store.clone(), candidate, eligible);
    let end = Instant::now() + Duration::from_secs(20);
    while lease.fence().is_none() {
        assert!(Instant::now() < end, "the lease was not taken");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    lease.release(&*store).await;
    for _ in 0..30 {
        assert_eq!(lease.fence(), None);
        let record = store.state().record.clone();
        assert!(record.is_some_and(|record| record.released));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    group.shutdown().await;
}
