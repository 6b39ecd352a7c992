//! Registry of a daemon's services, and groups of tasks that are joined at shutdown.

use std::any::Any;
use std::collections::HashMap;
use std::future::Future;
use std::panic::Location;
use std::sync::{Arc, Mutex, PoisonError};

use futures_util::FutureExt;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::error::{Error, Result};
use crate::faults::TaskFaults;

/// Registry in which the services of one daemon find each other by name.
///
/// Look-ups happen while a daemon starts, never on the request path.
#[derive(Default)]
pub struct ServiceRegistry {
    services: Mutex<HashMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl ServiceRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers `service` under `name`.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken.
    pub fn register<T: Any + Send + Sync>(
        &self,
        name: &'static str,
        service: Arc<T>,
    ) -> Result<Arc<T>> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if services.contains_key(name) {
            return Err(Error::internal(format!(
                "service `{name}` is already registered"
            )));
        }
        services.insert(name, service.clone());
        Ok(service)
    }

    /// Finds the service registered under `name`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such service or it has another type.
    pub fn find<T: Any + Send + Sync>(&self, name: &'static str) -> Result<Arc<T>> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let service = services
            .get(name)
            .cloned()
            .ok_or_else(|| Error::internal(format!("service `{name}` is not registered")))?;
        service
            .downcast()
            .map_err(|_| Error::internal(format!("service `{name}` has another type")))
    }
}

/// Tasks that are cancelled and joined together.
///
/// Clones share the group. Tasks watch [`TaskGroup::cancelled`] and return when it resolves. A panic ends only its task; it
/// is logged and counted in [`TaskGroup::faults`].
#[derive(Clone, Default)]
pub struct TaskGroup {
    token: CancellationToken,
    tasks: Arc<Mutex<JoinSet<()>>>,
    faults: TaskFaults,
}

impl TaskGroup {
    /// Creates an empty group.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty group of the same process, whose faults are those of this group.
    pub fn sibling(&self) -> Self {
        Self {
            faults: self.faults.clone(),
            ..Self::default()
        }
    }

    /// Returns the faults of the tasks of this group and its siblings.
    pub fn faults(&self) -> &TaskFaults {
        &self.faults
    }

    /// Spawns a task in the group, and removes the finished ones. Its faults count for the caller's source file.
    #[track_caller]
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let name = Location::caller().file();
        self.insert(self.faults.clone().observe(name, task));
    }

    /// Spawns a task that is dropped at its next await point once the group is cancelled. Its faults count for the
    /// caller's source file.
    #[track_caller]
    pub fn spawn_cancellable(&self, task: impl Future<Output = ()> + Send + 'static) {
        let name = Location::caller().file();
        self.insert_cancellable(self.faults.clone().observe(name, task));
    }

    /// Spawns a task without which the process cannot work and that cannot be restarted. It is dropped like one of
    /// [`Self::spawn_cancellable`]. If it panics, [`TaskFaults::ended`] resolves.
    pub fn spawn_essential(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        self.insert_cancellable(self.faults.clone().observe_essential(name, task));
    }

    /// Spawns a task that serves one input. If it panics, `recover` undoes what it has left behind, and the process goes
    /// on unless `recover` panics as well. It is dropped like one of [`Self::spawn_cancellable`].
    pub fn spawn_recoverable(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
        recover: impl FnOnce() + Send + 'static,
    ) {
        let faults = self.faults.clone();
        self.insert_cancellable(faults.observe_recoverable(name, task, recover));
    }

    /// Spawns a task that runs `start` until the group is cancelled. If it panics or ends before, it is started again
    /// after a pause, and the process is not ready until it has run for a while.
    pub fn spawn_service<F: Future<Output = ()> + Send + 'static>(
        &self,
        name: &'static str,
        start: impl FnMut() -> F + Send + 'static,
    ) {
        self.insert_cancellable(self.faults.clone().supervise(name, start));
    }

    fn insert_cancellable(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        self.insert(token.run_until_cancelled_owned(task).map(|_| ()));
    }

    fn insert(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// Resolves when the group is asked to stop.
    pub async fn cancelled(&self) {
        self.token.cancelled().await;
    }

    /// Returns whether the group was asked to stop.
    pub fn is_cancelled(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Asks all tasks to stop, without waiting for them.
    pub fn cancel(&self) {
        self.token.cancel();
    }

    /// Asks all tasks to stop and joins them.
    pub async fn shutdown(&self) {
        self.token.cancel();
        loop {
            let mut tasks = {
                let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
                std::mem::take(&mut *tasks)
            };
            if tasks.is_empty() {
                return;
            }
            while tasks.join_next().await.is_some() {}
        }
    }
}
