//! Faults of a process's tasks: what panicked, and whether the process is sound in spite of it.
//!
//! A panic ends one task while the process goes on. [`TaskFaults`] makes sure that it does not go unnoticed: each panic is
//! logged and counted, a service that is restarted keeps the process from being ready until it has run for a while, and
//! the panic of a task that cannot be restarted asks for the end of the process.

use std::any::Any;
use std::collections::HashMap;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio_util::sync::CancellationToken;

use crate::error::{Error, Result};
use crate::metrics::KindLabels;

/// Time for which a restarted service must run before the process counts as sound again.
const PROBATION_TIME: Duration = Duration::from_secs(2);
/// Pause before the first restart of a service; it doubles with each failure that follows soon.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before a restart.
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(5);

/// The faults of the tasks of a process. Clones share them.
#[derive(Clone, Default)]
pub struct TaskFaults {
    shared: Arc<FaultState>,
}

#[derive(Default)]
struct FaultState {
    /// Panics, and unexpected ends of services, by task.
    counts: Family<KindLabels, Counter>,
    /// Until when each service that has failed keeps the process from being ready.
    unsound: Mutex<HashMap<&'static str, Instant>>,
    /// The first task that panicked and cannot be restarted.
    ended: OnceLock<&'static str>,
    /// Cancelled once there is such a task.
    end: CancellationToken,
}

impl TaskFaults {
    /// Returns the number of faults by task, for the metrics.
    pub fn counts(&self) -> &Family<KindLabels, Counter> {
        &self.shared.counts
    }

    /// Returns whether all services run.
    ///
    /// # Errors
    ///
    /// `Unavailable` if a service has failed and has not run for a while since, or if a task that cannot be restarted has
    /// panicked.
    pub fn check(&self, now: Instant) -> Result<()> {
        if let Some(name) = self.shared.ended.get() {
            return Err(ended_task(name));
        }
        let mut unsound = self.unsound();
        unsound.retain(|_, until| *until > now);
        match unsound.keys().next() {
            Some(name) => Err(Error::unavailable(format!(
                "service `{name}` has failed and is restarting"
            ))),
            None => Ok(()),
        }
    }

    /// Waits until a task that cannot be restarted has panicked, so that the process must end.
    pub async fn ended(&self) -> Error {
        self.shared.end.cancelled().await;
        ended_task(self.shared.ended.get().unwrap_or(&"unknown"))
    }

    /// Runs `task` to its end. A panic is logged and counted, and ends only this task.
    ///
    /// An `async` function would keep room for `task` twice, and there is a task for each connection.
    pub(crate) fn observe(
        self,
        name: &'static str,
        task: impl Future<Output = ()>,
    ) -> impl Future<Output = ()> {
        AssertUnwindSafe(task).catch_unwind().map(move |ended| {
            if let Err(panic) = ended {
                self.note(name, &panicked(&*panic));
            }
        })
    }

    /// Runs `task` to its end. If it panics, `recover` undoes what the task has left behind; if that panics too, the
    /// process must end.
    pub(crate) fn observe_recoverable(
        self,
        name: &'static str,
        task: impl Future<Output = ()>,
        recover: impl FnOnce(),
    ) -> impl Future<Output = ()> {
        AssertUnwindSafe(task).catch_unwind().map(move |ended| {
            let Err(panic) = ended else { return };
            self.note(name, &panicked(&*panic));
            if let Err(panic) = std::panic::catch_unwind(AssertUnwindSafe(recover)) {
                self.note(name, &panicked(&*panic));
                self.end(name);
            }
        })
    }

    /// Runs `task` to its end. If it panics, the process must end.
    pub(crate) fn observe_essential(
        self,
        name: &'static str,
        task: impl Future<Output = ()>,
    ) -> impl Future<Output = ()> {
        AssertUnwindSafe(task).catch_unwind().map(move |ended| {
            if let Err(panic) = ended {
                self.note(name, &panicked(&*panic));
                self.end(name);
            }
        })
    }

    /// Runs a service and restarts it whenever it panics or ends.
    pub(crate) async fn supervise<F>(self, name: &'static str, mut start: impl FnMut() -> F)
    where
        F: Future<Output = ()>,
    {
        let mut pause = MIN_RESTART_PAUSE;
        loop {
            let started = Instant::now();
            let run = async { start().await };
            match AssertUnwindSafe(run).catch_unwind().await {
                Ok(()) => self.note(name, "ended while the process runs"),
                Err(panic) => self.note(name, &panicked(&*panic)),
            }
            pause = match started.elapsed() > MAX_RESTART_PAUSE + PROBATION_TIME {
                true => MIN_RESTART_PAUSE,
                false => (pause * 2).min(MAX_RESTART_PAUSE),
            };
            let until = Instant::now() + pause + PROBATION_TIME;
            self.unsound().insert(name, until);
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks for the end of the process.
    fn end(&self, name: &'static str) {
        // A later fault changes nothing.
        let _ = self.shared.ended.set(name);
        self.shared.end.cancel();
    }

    /// Logs and counts a fault.
    fn note(&self, name: &'static str, fault: &str) {
        log::error!("task `{name}` {fault}");
        let counter = self.shared.counts.get_or_create(&KindLabels { kind: name });
        counter.inc();
    }

    fn unsound(&self) -> MutexGuard<'_, HashMap<&'static str, Instant>> {
        self.shared
            .unsound
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn ended_task(name: &str) -> Error {
    Error::internal(format!("task `{name}` panicked and cannot be restarted"))
}

/// Describes a panic by its message.
fn panicked(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    format!("panicked: {}", text.unwrap_or("no message"))
}
