//! Forwards the answer to a streaming request event by event.

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use crate::dispatch::{Attempt, ServerSlot};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::relay::events::{self, EventSplitter};
use crate::relay::exchange::{
    MIN_PROGRESS_EVENTS, RelayExchange, RelayPiece, answer_timeout, broken_stream, response_head,
    unreadable_answer,
};
use crate::relay::format::RelayFormat;
use crate::relay::upstream::UpstreamAnswer;

impl<F: RelayFormat> RelayExchange<F> {
    pub(super) async fn forward_stream(
        &mut self,
        slot: &ServerSlot,
        mut answer: UpstreamAnswer,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
    ) -> Attempt {
        let mut splitter = EventSplitter::default();
        loop {
            let deadline = self.answer_deadline();
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => return Attempt::Cancelled,
                frame = tokio::time::timeout_at(deadline.into(), answer.body.frame()) => frame,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(error))) => {
                    return self.failed_attempt(slot, unreadable_answer(&error));
                }
                Ok(None) => break,
                Err(_) => return self.failed_attempt(slot, answer_timeout()),
            };
            if !splitter.push(&data) {
                let error = Error::new(
                    Category::Protocol,
                    "the backend server sent an event that is longer than 1 MiB",
                );
                return self.failed_attempt(slot, error.with_verdict(RunVerdict::MayHaveRun));
            }
            let events = self.new_events(&mut splitter);
            if !events.is_empty() && !self.send_events(&answer, events, pieces).await {
                return Attempt::Cancelled;
            }
        }
        let rest = splitter.take_rest();
        let is_broken = events::is_event_part(&rest);
        if answer.ends_with_connection() || is_broken {
            log::info!(
                "the stream of {} ended after event {:?} and {} more bytes; delimited by its connection: {}",
                slot.name,
                self.last_event,
                rest.len(),
                answer.ends_with_connection(),
            );
        }
        if is_broken {
            // The incomplete event is dropped, as the next server sends it again.
            return self.failed_attempt(slot, broken_stream());
        }
        if !self.send_events(&answer, rest, pieces).await
            || pieces.send(Ok(RelayPiece::End)).await.is_err()
        {
            return Attempt::Cancelled;
        }
        answer.release(self.request.max_idle_connections);
        self.verdict = RunVerdict::Ran;
        self.fleet.call_succeeded(&slot.name);
        self.watch.note_progress(&self.request.parts, self.sent);
        Attempt::Finished
    }

    /// Takes the complete events that the caller does not have yet.
    fn new_events(&mut self, splitter: &mut EventSplitter) -> Bytes {
        let mut events: Vec<Bytes> = Vec::new();
        while let Some(event) = splitter.next_event() {
            self.attempt_events += 1;
            if self.attempt_events == MIN_PROGRESS_EVENTS {
                self.watch.note_progress(&self.request.parts, self.sent);
            }
            if let Some(id) = event.id {
                if self.last_event.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_event = Some(id);
            }
            events.push(event.bytes);
        }
        match events.len() {
            1 => events.swap_remove(0),
            _ => events.concat().into(),
        }
    }

    /// Sends `bytes` to the caller, preceded by the head if it has not been sent yet. Returns `false` if the caller has
    /// closed the connection.
    async fn send_events(
        &mut self,
        answer: &UpstreamAnswer,
        bytes: Bytes,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
    ) -> bool {
        if !self.head_sent {
            self.head_sent = true;
            let head = RelayPiece::Head(response_head(answer));
            if pieces.send(Ok(head)).await.is_err() {
                return false;
            }
        }
        bytes.is_empty() || pieces.send(Ok(RelayPiece::Data(bytes))).await.is_ok()
    }
}
