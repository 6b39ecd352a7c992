//! Forwards the answer to a streaming request event by event.

use std::time::Instant;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode, response};
use http_body_util::BodyExt;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::dispatch::{Attempt, OtherServers, ServerSlot};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::relay::events::{self, EventSplitter};
use crate::relay::exchange::ends::{
    answer_timeout, broken_answer, response_head, unreadable_answer,
};
use crate::relay::exchange::whole::send_data;
use crate::relay::exchange::{MIN_PROGRESS_EVENTS, RelayExchange};
use crate::relay::format::RelayFormat;
use crate::relay::request::RelayPiece;
use crate::relay::stream_origins::StreamStart;
use crate::relay::upstream::UpstreamAnswer;

/// Status and media type of a stream. A server that resumes a stream answers with the same; any other answer is an
/// error and no part of the stream.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct StreamType {
    status: StatusCode,
    media_type: Option<HeaderValue>,
}

impl StreamType {
    pub(super) fn of(head: &response::Parts) -> Self {
        Self {
            status: head.status,
            media_type: head.headers.get(CONTENT_TYPE).cloned(),
        }
    }
}

/// Events to forward.
struct NewEvents {
    bytes: Bytes,
    /// Whether an event without an id follows them, whose place in a resumed stream is unknown.
    has_unplaced: bool,
}

impl<F: RelayFormat> RelayExchange<F> {
    pub(super) async fn forward_stream(
        &mut self,
        slot: &ServerSlot,
        mut answer: UpstreamAnswer,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
        others: &impl OtherServers,
    ) -> Attempt {
        let mut splitter = EventSplitter::default();
        let mut lease = self.context.memory.lease(&slot.name);
        let is_resumed = self.sent_type.is_some();
        let mut is_checked = false;
        loop {
            let frame = answer.body.frame();
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => return Attempt::Cancelled,
                frame = self.wait_for_server(slot, others, frame) => frame,
            };
            let data = match frame {
                Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Some(Some(Err(error))) => {
                    return self.failed_attempt(slot, unreadable_answer(&error));
                }
                Some(None) => break,
                None => return self.failed_attempt(slot, answer_timeout()),
            };
            if !splitter.push(&data) {
                let error = self.faulty_answer(slot, "an event that is longer than 1 MiB");
                return self.failed_attempt(slot, error);
            }
            if !lease.resize(splitter.len()) {
                // Other answers may have taken the memory, so the server is not to blame.
                let message = "there is no memory for an event of the backend server";
                let error = Error::new(Category::Overloaded, message);
                return self.failed_attempt(slot, error.with_verdict(RunVerdict::MayHaveRun));
            }
            if !std::mem::replace(&mut is_checked, true) && !self.runs_origin(slot) {
                let message = "the backend server has started anew with other software";
                let error = Error::new(Category::Protocol, message);
                return self.failed_attempt(slot, error.with_verdict(RunVerdict::MayHaveRun));
            }
            let events = self.attempt_events;
            let NewEvents {
                bytes,
                has_unplaced,
            } = self.new_events(&mut splitter, is_resumed);
            let arrived = Instant::now();
            self.note_events(slot, self.attempt_events - events, arrived);
            if !bytes.is_empty() && !self.send_events(slot, &answer, bytes, pieces).await {
                return Attempt::Cancelled;
            }
            self.note_caller_wait(arrived.elapsed());
            if has_unplaced {
                let message = "the backend server sent an event without an id in a resumed stream";
                let error = Error::new(Category::Protocol, message);
                return self.failed_attempt(slot, error.with_verdict(RunVerdict::MayHaveRun));
            }
        }
        self.record_last_gaps(slot);
        let rest = splitter.take_rest();
        if let Err(error) = self.check_stream_end(&answer, &rest, slot).await {
            // The incomplete event is dropped, as the next server sends it again.
            return self.failed_attempt(slot, error);
        }
        if !self.send_events(slot, &answer, rest, pieces).await
            || pieces.send(Ok(RelayPiece::End)).await.is_err()
        {
            return Attempt::Cancelled;
        }
        answer.release(self.request.max_idle_connections);
        self.finish(slot);
        Attempt::Finished
    }

    /// Checks that a stream whose body has ended is complete; `rest` follows its last complete event.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the stream ended inside an event. If it has neither a length nor chunks, also if it had no event
    /// at all or its server has ended.
    async fn check_stream_end(
        &mut self,
        answer: &UpstreamAnswer,
        rest: &[u8],
        slot: &ServerSlot,
    ) -> Result<()> {
        if answer.ends_with_connection || !rest.is_empty() {
            log::info!(
                "the stream of {} ended after event {:?} and {} more bytes; delimited by its connection: {}",
                slot.name,
                self.last_event,
                rest.len(),
                answer.ends_with_connection,
            );
        }
        if events::is_event_part(rest) {
            return Err(broken_answer("the stream ended inside an event"));
        }
        // A caller that continues a stream may have all of its events already.
        if answer.ends_with_connection && self.attempt_events == 0 && self.last_event.is_none() {
            return Err(broken_answer("the stream ended before its first event"));
        }
        self.check_answer_end(answer, slot).await
    }

    /// Takes the complete events that the caller does not have yet. In a resumed stream, stops at an event without an id.
    fn new_events(&mut self, splitter: &mut EventSplitter, is_resumed: bool) -> NewEvents {
        let mut events: Vec<Bytes> = Vec::new();
        let mut has_unplaced = false;
        while let Some(event) = splitter.next_event() {
            if is_resumed && event.id.is_none() {
                has_unplaced = true;
                break;
            }
            self.attempt_events += 1;
            if self.attempt_events == MIN_PROGRESS_EVENTS {
                self.context
                    .watch
                    .note_progress(&self.request.parts, self.sent);
            }
            if let Some(id) = event.id {
                if self.last_event.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_event = Some(id);
            }
            events.push(event.bytes);
        }
        let bytes = match events.len() {
            1 => events.swap_remove(0),
            _ => events.concat().into(),
        };
        NewEvents {
            bytes,
            has_unplaced,
        }
    }

    /// Returns the software version of a server by its present record, as it may have started anew since it was chosen.
    fn present_software(&self, slot: &ServerSlot) -> SmolStr {
        let software = self.context.fleet.software_of(&slot.name);
        software.unwrap_or_else(|| slot.software.clone())
    }

    /// Returns whether a server runs the software that began the stream, if it has begun.
    fn runs_origin(&self, slot: &ServerSlot) -> bool {
        let software = self.software.as_ref();
        software.is_none_or(|software| *software == self.present_software(slot))
    }

    /// Notes the software that begins the stream, or takes it up, before its first event is forwarded.
    fn note_origin(&mut self, slot: &ServerSlot) {
        let software = self.present_software(slot);
        if let Some(stream) = self.request.stream {
            let is_told = self.context.origins.begin(StreamStart {
                stream,
                service: &self.request.service,
                software: &software,
                deadline: self.request.caller_deadline,
            });
            if is_told {
                let metrics = &self.context.metrics;
                metrics.count(&metrics.stream_tries, "begun");
                log::info!(
                    "the stream begins at {} with software `{software}`, one of several versions",
                    slot.name
                );
            }
        }
        self.software = Some(software);
    }

    /// Stops the request if the server that broke off the stream may have started anew with other software before it sent
    /// events. Which software the caller has events of is not known then.
    pub(super) fn check_origin(&self, slot: &ServerSlot, attempt: Attempt) -> Attempt {
        let Attempt::Failed { error, .. } = &attempt else {
            return attempt;
        };
        let software = self.context.fleet.software_of(&slot.name);
        let has_changed = self.attempt_events > 0
            && self.software.is_some()
            && software.is_some()
            && software != self.software;
        if !has_changed {
            return attempt;
        }
        let (stream, software) = (self.request.stream, software.unwrap_or_default());
        if let Some(stream) = stream {
            self.context.origins.begin(StreamStart {
                stream,
                service: &self.request.service,
                software: &software,
                deadline: self.request.caller_deadline,
            });
        }
        log::warn!(
            "server {} has started anew with software `{software}`",
            slot.name
        );
        Attempt::Stopped(error.clone())
    }

    /// Sends `bytes` to the caller, preceded by the head if it has not been sent yet. Returns `false` if the caller has
    /// closed the connection.
    async fn send_events(
        &mut self,
        slot: &ServerSlot,
        answer: &UpstreamAnswer,
        bytes: Bytes,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
    ) -> bool {
        if self.sent_type.is_none() {
            self.sent_type = Some(StreamType::of(&answer.head));
            self.note_origin(slot);
            self.fallback = None;
            let head = RelayPiece::Head(response_head(answer));
            if pieces.send(Ok(head)).await.is_err() {
                return false;
            }
        }
        send_data(pieces, bytes).await
    }
}
