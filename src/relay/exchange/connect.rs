//! What an exchange learns from the connections to its servers: which accept them, and which refuse them.

use std::time::Instant;

use crate::dispatch::{Attempt, FleetSource, ServerSlot};
use crate::relay::exchange::RelayExchange;
use crate::relay::format::RelayFormat;
use crate::relay::upstream::{SendError, UpstreamAnswer};

impl<F: RelayFormat> RelayExchange<F> {
    /// Notes whether an answer came on a new connection, which shows that the server accepts connections.
    pub(super) fn note_connection(&self, slot: &ServerSlot, answer: &UpstreamAnswer) {
        let kind = if answer.is_first { "new" } else { "kept" };
        self.count_connect(kind);
        if answer.is_first {
            self.context.fleet.connect_accepted(&slot.name, self.sent);
        }
    }

    /// Handles a server that could not be connected to, so that no byte of the request was sent.
    pub(super) fn unsent_attempt(&mut self, slot: &ServerSlot, failure: SendError) -> Attempt {
        let SendError { error, is_refused } = failure;
        let fleet = &self.context.fleet;
        self.failed_connects += 1;
        if is_refused {
            self.count_connect("refused");
            fleet.connect_refused(&slot.name, slot.address, Instant::now());
        } else {
            self.count_connect("failed");
            fleet.call_failed(&slot.name);
        }
        Attempt::Unsent(error)
    }

    pub(super) fn count_connect(&self, kind: &'static str) {
        let metrics = &self.context.metrics;
        metrics.count(&metrics.connects, kind);
    }
}
