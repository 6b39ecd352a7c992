//! Records each request from its arrival to the end of its answer: history, metrics and one log line.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use smol_str::SmolStr;

use crate::dispatch::{CoreParts, RequestCore};
use crate::error::Error;
use crate::history::{RequestHistory, RequestRecord};
use crate::http::state::ConnectionEnd;
use crate::metrics::{DaemonMetrics, RouteKind};
use crate::relay::dispatcher::{ConfigReceiver, RequestAttribution};

/// Kind in metrics of an answer that ended before it was complete.
const BROKEN_ANSWER: &str = "broken_answer";

/// A request in progress. If it is dropped unfinished, its connection was closed, by the caller or by this daemon.
pub(super) struct RequestTrace {
    id: SmolStr,
    arrived: Instant,
    attribution: RequestAttribution,
    status: Option<StatusCode>,
    /// Milliseconds from the arrival to the first part of the answer.
    first_ms: Option<u128>,
    history: Arc<RequestHistory>,
    metrics: Arc<DaemonMetrics>,
    configs: ConfigReceiver,
    connection: ConnectionEnd,
    is_received: bool,
    finished: bool,
}

impl RequestTrace {
    /// Starts the record of a request for `path` on `connection`.
    pub(super) fn begin<P: CoreParts>(
        core: &RequestCore<P>,
        configs: ConfigReceiver,
        connection: ConnectionEnd,
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
            configs,
            connection,
            is_received: false,
            finished: false,
        }
    }

    /// Returns the attribution, which is set while the request is processed.
    pub(super) fn attribution_mut(&mut self) -> &mut RequestAttribution {
        &mut self.attribution
    }

    /// Notes that the body has arrived. Requests that end before that have no line of their own at the usual level: a crowd
    /// that sends bodies slowly, or without a valid key, would fill the log.
    pub(super) fn note_received(&mut self) {
        self.is_received = true;
    }

    /// Records the team once the attribution is known.
    pub(super) fn record_team(&self) {
        let team = self.attribution.team.clone();
        self.history.update(&self.id, |record| record.team = team);
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
        if self.status.is_none() {
            return self.log(self.level(log::Level::Info), &outcome);
        }
        // The caller has a part of the answer, so its connection is closed.
        self.metrics.count(&self.metrics.closed, BROKEN_ANSWER);
        let outcome = format!("the answer broke off: {outcome}");
        self.log(log::Level::Warn, &outcome);
    }

    /// Returns the level of a line that is at `usual` for requests whose body has arrived.
    fn level(&self, usual: log::Level) -> log::Level {
        match self.is_received {
            true => usual,
            false => log::Level::Debug,
        }
    }

    fn log(&self, level: log::Level, outcome: &str) {
        if !log::log_enabled!(level) {
            return;
        }
        let record = self.history.find(&self.id).unwrap_or_default();
        let empty = SmolStr::default();
        log::log!(
            level,
            "request {}: {outcome}; configuration {} of {} in force, route {} team {} servers {:?} status {} first {} ms end {} ms",
            self.id,
            self.attribution.config_version,
            self.configs
                .borrow()
                .as_ref()
                .map_or(0, |config| config.version),
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
            let (level, cause) = match self.connection.cause() {
                None => (log::Level::Info, "the caller closed the connection"),
                Some(cause) => {
                    self.metrics.count(&self.metrics.closed, cause.as_str());
                    (log::Level::Warn, cause.message())
                }
            };
            self.history.update(&self.id, |record| record.cancel(cause));
            self.metrics.cancel_request(RouteKind::Relay);
            self.log(self.level(level), cause);
        }
        self.metrics.in_flight.dec();
    }
}
