//! Records each request from its arrival to the end of its answer: history, metrics and one log line.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use smol_str::SmolStr;

use crate::dispatch::{CoreParts, RequestCore};
use crate::error::Error;
use crate::history::{RequestHistory, RequestRecord};
use crate::metrics::{DaemonMetrics, RouteKind};
use crate::relay::dispatcher::RequestAttribution;

/// A request in progress. If it is dropped unfinished, the request is recorded as cancelled by the caller.
pub(super) struct RequestTrace {
    id: SmolStr,
    arrived: Instant,
    attribution: RequestAttribution,
    status: Option<StatusCode>,
    /// Milliseconds from the arrival to the first part of the answer.
    first_ms: Option<u128>,
    history: Arc<RequestHistory>,
    metrics: Arc<DaemonMetrics>,
    finished: bool,
}

impl RequestTrace {
    /// Starts the record of a request for `path`.
    pub(super) fn begin<P: CoreParts>(
        core: &RequestCore<P>,
        id: SmolStr,
        path: &str,
        arrived: Instant,
    ) -> Self {
        let (history, metrics) = (core.history().clone(), core.metrics().clone());
        history.begin(RequestRecord::new(id.clone(), path));
        metrics.in_flight.inc();
        Self {
            id,
            arrived,
            attribution: RequestAttribution::default(),
            status: None,
            first_ms: None,
            history,
            metrics,
            finished: false,
        }
    }

    pub(super) fn set_attribution(&mut self, attribution: RequestAttribution) {
        self.history
            .update(&self.id, |record| record.team = attribution.team.clone());
        self.attribution = attribution;
    }

    /// Records the time and status of the first part of the answer.
    pub(super) fn record_first_piece(&mut self, status: StatusCode) {
        let elapsed = self.arrived.elapsed();
        // For an answer that is not a stream, this is the total time.
        self.metrics.observe(&self.metrics.first_token, elapsed);
        self.status = Some(status);
        self.first_ms = Some(elapsed.as_millis());
    }

    /// Ends the request after a complete answer.
    pub(super) fn complete(&mut self) {
        self.finished = true;
        self.history.update(&self.id, RequestRecord::complete);
        self.metrics.finish_request(RouteKind::Relay, None);
        self.log(log::Level::Debug, "answered");
    }

    /// Ends the request with an error.
    pub(super) fn fail(&mut self, error: &Error) {
        self.finished = true;
        self.history.update(&self.id, |record| record.fail(error));
        self.metrics.finish_request(RouteKind::Relay, Some(error));
        let outcome = format!("{error} ({})", error.verdict());
        self.log(log::Level::Info, &outcome);
    }

    fn log(&self, level: log::Level, outcome: &str) {
        if !log::log_enabled!(level) {
            return;
        }
        let record = self.history.find(&self.id).unwrap_or_default();
        let empty = SmolStr::default();
        log::log!(
            level,
            "request {}: {outcome}; configuration {} route {} team {} servers {:?} status {} first {} ms end {} ms",
            self.id,
            self.attribution.config_version,
            self.attribution.route.as_ref().unwrap_or(&empty),
            self.attribution.team.as_ref().unwrap_or(&empty),
            record.servers,
            self.status.map_or(0, |status| status.as_u16()),
            self.first_ms.map_or(-1, |ms| ms as i128),
            self.arrived.elapsed().as_millis(),
        );
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if !self.finished {
            let cause = "the caller closed the connection";
            self.history.update(&self.id, |record| record.cancel(cause));
            self.metrics.cancel_request(RouteKind::Relay);
            self.log(log::Level::Info, cause);
        }
        self.metrics.in_flight.dec();
    }
}
