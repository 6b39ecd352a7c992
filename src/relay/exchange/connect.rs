//! What an exchange learns from the connections to its servers: which accept them, and which refuse them.

use std::time::Instant;

use smol_str::SmolStr;

use crate::dispatch::{Attempt, FleetSource, ServerSlot};
use crate::error::{Category, RunVerdict};
use crate::relay::exchange::{MIN_TIME_LEFT, RelayExchange};
use crate::relay::format::{AnswerKind, RelayFormat};
use crate::relay::upstream::{SendError, UpstreamAnswer};

/// Maximum number of connections that could not be opened for one request. After the loss of a quarter of the servers of
/// a service, the chance that as many in a row are among them is below 1 in 50,000.
const MAX_FAILED_CONNECTS: usize = 8;
/// Maximum number of connections that were refused for one request. A refusal is found out at once and closes its address to
/// all requests, so the time of the request is the usual limit. This one exceeds the servers of the largest fleet, and ends a
/// request at servers that refuse some connections and accept others, which stay open.
const MAX_REFUSED_CONNECTS: usize = 1_024;

impl<F: RelayFormat> RelayExchange<F> {
    /// Notes whether an answer came on a new connection, which shows that the server accepts connections.
    pub(super) fn note_connection(&self, slot: &ServerSlot, answer: &UpstreamAnswer) {
        let kind = if answer.is_first { "new" } else { "kept" };
        self.count_connect(kind);
        if answer.is_first {
            self.context.fleet.connect_accepted(&slot.name, self.sent);
        }
    }

    /// Notes which server an answer shows to be at the address of `slot`.
    pub(super) fn note_identity(
        &self,
        slot: &ServerSlot,
        answer: &UpstreamAnswer,
        kind: AnswerKind,
    ) {
        let stated = self.context.format.answering_server(&answer.head);
        let id = match kind {
            // Only the server itself runs the request.
            AnswerKind::Answer => Some(slot.name.clone()),
            AnswerKind::IdMismatch | AnswerKind::Unattributed => None,
            _ => stated.map(SmolStr::from),
        };
        if let Some(id) = id {
            let fleet = &self.context.fleet;
            fleet.note_answer(&id, slot.address, self.sent);
        }
    }

    /// Notes the outcome of an attempt. `is_trial` states whether the server had not answered before.
    pub(super) fn note_trial(&self, slot: &ServerSlot, attempt: &Attempt, is_trial: bool) {
        let has_failed = match attempt {
            Attempt::Finished | Attempt::Cancelled => false,
            Attempt::Failed { error, .. } => error.category() != Category::Overloaded,
            Attempt::Stopped(error) => error.verdict() == RunVerdict::MayHaveRun,
            Attempt::NotResident | Attempt::Unsent(_) => true,
        };
        let is_proven = slot.is_proven();
        if has_failed && !is_proven {
            let fleet = &self.context.fleet;
            fleet.note_failed_trial(&slot.name, slot.address);
        }
        if is_trial {
            let kind = match (is_proven, has_failed) {
                (true, _) => "answered",
                (false, true) => "failed",
                (false, false) => "undecided",
            };
            let metrics = &self.context.metrics;
            metrics.count(&metrics.trials, kind);
        }
    }

    /// Handles a server that could not be connected to, so that no byte of the request was sent.
    pub(super) fn unsent_attempt(&mut self, slot: &ServerSlot, failure: SendError) -> Attempt {
        let SendError { error, is_refused } = failure;
        let fleet = &self.context.fleet;
        if is_refused {
            self.refused_connects += 1;
            self.count_connect("refused");
            fleet.connect_refused(&slot.name, slot.address, Instant::now());
        } else {
            self.failed_connects += 1;
            self.count_connect("failed");
            fleet.call_failed(&slot.name);
        }
        Attempt::Unsent(error)
    }

    /// Returns whether another server may be tried after one that could not be connected to.
    pub(super) fn may_connect_again(&self) -> bool {
        let may_connect = self.failed_connects < MAX_FAILED_CONNECTS
            && self.refused_connects < MAX_REFUSED_CONNECTS
            && Instant::now() + MIN_TIME_LEFT < self.request.deadline;
        if may_connect {
            self.count_connect("moved");
        }
        may_connect
    }

    pub(super) fn count_connect(&self, kind: &'static str) {
        let metrics = &self.context.metrics;
        metrics.count(&metrics.connects, kind);
    }
}
