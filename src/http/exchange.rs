//! One request from its arrival to the end of its answer, for history and metrics.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::error::{Category, Error};
use crate::history::{RequestHistory, RequestRecord, RequestStage};
use crate::http::CallerSettings;
use crate::http::body::BodyReader;
use crate::http::state::OpenRequest;
use crate::kernel::TaskGroup;
use crate::memory::MemoryAccount;
use crate::metrics::{DaemonMetrics, RouteKind};
use crate::settings::LimitSettings;

/// `Retry-After` of refusals because of too many requests in flight.
const OVERLOAD_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// State that all requests of a server share.
pub(super) struct EdgeState<D> {
    pub(super) dispatcher: Arc<D>,
    pub(super) limits: LimitSettings,
    pub(super) group: TaskGroup,
    account: MemoryAccount,
    history: Arc<RequestHistory>,
    metrics: Arc<DaemonMetrics>,
    admission: Arc<Semaphore>,
}

/// A request in progress. Dropping it unfinished counts as cancelled by the caller.
pub(super) struct Exchange {
    pub(super) id: SmolStr,
    pub(super) arrived: Instant,
    pub(super) metrics: Arc<DaemonMetrics>,
    /// Counts what waits for a slow reader.
    pub(super) account: MemoryAccount,
    route: RouteKind,
    history: Arc<RequestHistory>,
    permit: Option<OwnedSemaphorePermit>,
    finished: bool,
}

impl<D> EdgeState<D> {
    pub(super) fn new(
        group: &TaskGroup,
        settings: CallerSettings,
        account: MemoryAccount,
        dispatcher: Arc<D>,
    ) -> Self {
        Self {
            dispatcher,
            admission: Arc::new(Semaphore::new(settings.limits.in_flight)),
            account,
            limits: settings.limits,
            group: group.clone(),
            history: settings.history,
            metrics: settings.metrics,
        }
    }

    /// Returns by what the body of `request` is read.
    pub(super) fn reader<'a>(&'a self, request: &'a OpenRequest) -> BodyReader<'a> {
        BodyReader {
            limits: &self.limits,
            account: &self.account,
            metrics: &self.metrics,
            request,
        }
    }

    /// Fails if the limit of requests in flight is reached, so that a request which cannot be admitted is refused before
    /// its body is read.
    pub(super) fn check_admission(&self) -> Result<(), Error> {
        match self.admission.available_permits() {
            0 => Err(too_many_requests()),
            _ => Ok(()),
        }
    }

    /// Starts the record of a request.
    pub(super) fn begin(&self, route: RouteKind, target: &str) -> Exchange {
        let id = new_request_id();
        self.history.begin(RequestRecord::new(id.clone(), target));
        self.metrics.in_flight.inc();
        Exchange {
            id,
            arrived: Instant::now(),
            metrics: self.metrics.clone(),
            account: self.account.clone(),
            route,
            history: self.history.clone(),
            permit: None,
            finished: false,
        }
    }

    /// Admits a request whose body has arrived unless the limit of requests in flight is reached.
    pub(super) fn admit(&self, exchange: &mut Exchange) -> Result<(), Error> {
        match self.admission.clone().try_acquire_owned() {
            Ok(permit) => {
                exchange.permit = Some(permit);
                Ok(())
            }
            Err(_) => Err(too_many_requests()),
        }
    }
}

pub(super) fn new_request_id() -> SmolStr {
    SmolStr::from(format!("{:016x}", rand::random::<u64>()))
}

fn too_many_requests() -> Error {
    let message = "the limit of requests in flight is reached";
    Error::new(Category::Overloaded, message).with_retry_after(OVERLOAD_RETRY_AFTER)
}

impl Exchange {
    /// Adds the time since `from` to the duration of a stage.
    pub(super) fn add_stage(&self, stage: RequestStage, from: Instant) {
        let time = from.elapsed();
        self.history
            .update(&self.id, |record| record.add_stage(stage, time));
    }

    /// Sets the model that the request addresses, once it is known.
    pub(super) fn set_target(&self, target: SmolStr) {
        self.history
            .update(&self.id, |record| record.target = target);
    }

    /// Ends the request with success.
    pub(super) fn complete(mut self) {
        self.finished = true;
        self.history.update(&self.id, RequestRecord::complete);
        self.metrics.finish_request(self.route, None);
    }

    /// Ends the request with an error.
    pub(super) fn fail(mut self, error: &Error) {
        self.finished = true;
        self.history.update(&self.id, |record| record.fail(error));
        self.metrics.finish_request(self.route, Some(error));
        log::debug!("request failed: {error} ({})", error.verdict());
    }

    /// Ends a request whose caller closed the connection or reads too slowly.
    pub(super) fn cancel(mut self, cause: &str) {
        self.finish_cancelled(cause);
    }

    fn finish_cancelled(&mut self, cause: &str) {
        self.finished = true;
        self.history.update(&self.id, |record| record.cancel(cause));
        self.metrics.cancel_request(self.route);
        log::debug!("request cancelled: {cause}");
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.finished {
            self.finish_cancelled("the caller closed the connection");
        }
        self.metrics.in_flight.dec();
    }
}
