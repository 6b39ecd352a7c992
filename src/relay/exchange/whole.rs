//! Forwards an answer that is not a stream. A small one is read to its end first, so that the request can still be sent to
//! another server; a large one is forwarded while it is read.

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::dispatch::{Attempt, OtherServers, ServerSlot};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::relay::answer_memory::MemoryLease;
use crate::relay::exchange::RelayExchange;
use crate::relay::exchange::ends::{answer_timeout, response_head, unreadable_answer};
use crate::relay::format::RelayFormat;
use crate::relay::request::RelayPiece;
use crate::relay::upstream::UpstreamAnswer;

/// Size up to which an answer is read to its end before it is forwarded.
const MAX_HELD_BYTES: usize = 256 << 10;
/// Maximum size of an answer that does not state its length, which may have no end.
const MAX_UNSIZED_BYTES: usize = 8 << 20;
/// Size up to which pieces of an answer may wait for a slow caller.
const MAX_QUEUED_BYTES: usize = 1 << 10;

/// The beginning of a body.
struct BodyStart {
    bytes: Bytes,
    is_whole: bool,
}

impl<F: RelayFormat> RelayExchange<F> {
    pub(super) async fn forward_whole(
        &mut self,
        slot: &ServerSlot,
        mut answer: UpstreamAnswer,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
        others: &impl OtherServers,
    ) -> Attempt {
        let mut lease = self.context.memory.lease(&slot.name);
        let start = read_start(&mut answer.body, &mut lease);
        let start = tokio::select! {
            biased;
            () = pieces.closed() => return Attempt::Cancelled,
            start = self.wait_for_server(slot, others, start) => start,
        };
        let start = match start {
            Some(Ok(start)) => start,
            Some(Err(error)) => return self.failed_attempt(slot, unreadable_answer(&error)),
            None => return self.failed_attempt(slot, answer_timeout()),
        };
        let body = lease.hold(start.bytes);
        let status = answer.head.status;
        let is_retryable = status.is_server_error() && self.is_repeatable();
        if !start.is_whole && !is_retryable {
            return self.forward_rest(slot, answer, body, pieces).await;
        }
        if start.is_whole
            && let Err(error) = self.check_answer_end(&answer, slot).await
        {
            return self.failed_attempt(slot, error);
        }
        let head = response_head(&answer);
        let piece = RelayPiece::Whole { head, body };
        if start.is_whole {
            answer.release(self.request.max_idle_connections);
        }
        if is_retryable {
            self.context.fleet.log_failure_answer(&slot.name);
            let error = Error::new(
                Category::Protocol,
                format!("the backend server answered {status}"),
            );
            self.fallback = start.is_whole.then_some(piece);
            return self.failed_attempt(slot, error.with_verdict(RunVerdict::Ran));
        }
        self.finish(slot);
        match pieces.send(Ok(piece)).await {
            Ok(()) => Attempt::Finished,
            Err(_) => Attempt::Cancelled,
        }
    }

    /// Forwards an answer that begins with `start` while the rest of it is read. A failure ends the request, as its caller
    /// has the beginning.
    async fn forward_rest(
        &mut self,
        slot: &ServerSlot,
        mut answer: UpstreamAnswer,
        start: Bytes,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
    ) -> Attempt {
        let is_sized = answer.head.headers.contains_key(CONTENT_LENGTH);
        let mut length = start.len();
        let head = RelayPiece::Head(response_head(&answer));
        if pieces.send(Ok(head)).await.is_err() || !send_data(pieces, start).await {
            return Attempt::Cancelled;
        }
        loop {
            let frame = tokio::time::timeout_at(self.request.deadline.into(), answer.body.frame());
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => return Attempt::Cancelled,
                frame = frame => frame,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(error))) => return self.stop(slot, unreadable_answer(&error)),
                Ok(None) => break,
                Err(_) => return self.stop(slot, answer_timeout()),
            };
            length += data.len();
            if !is_sized && length > MAX_UNSIZED_BYTES {
                return self.stop(slot, self.faulty_answer(slot, "an answer without end"));
            }
            if !send_data(pieces, data).await {
                return Attempt::Cancelled;
            }
        }
        if let Err(error) = self.check_answer_end(&answer, slot).await {
            return self.stop(slot, error);
        }
        if pieces.send(Ok(RelayPiece::End)).await.is_err() {
            return Attempt::Cancelled;
        }
        answer.release(self.request.max_idle_connections);
        self.finish(slot);
        Attempt::Finished
    }

    /// Ends a request whose caller has a part of the answer.
    fn stop(&mut self, slot: &ServerSlot, error: Error) -> Attempt {
        match self.failed_attempt(slot, error) {
            Attempt::Failed { error, .. } => Attempt::Stopped(error),
            attempt => attempt,
        }
    }
}

/// Reads a body until it ends, or is too large to be held.
async fn read_start(
    body: &mut Incoming,
    lease: &mut MemoryLease,
) -> std::result::Result<BodyStart, hyper::Error> {
    let mut parts: Vec<Bytes> = Vec::new();
    let mut length = 0;
    let mut is_whole = false;
    while length <= MAX_HELD_BYTES && lease.resize(length) {
        let Some(frame) = body.frame().await else {
            is_whole = true;
            break;
        };
        let data = frame?.into_data().unwrap_or_default();
        length += data.len();
        parts.push(data);
    }
    let bytes = match parts.len() {
        1 => parts.swap_remove(0),
        _ => parts.concat().into(),
    };
    Ok(BodyStart { bytes, is_whole })
}

/// Sends a part of an answer. A large part waits until the caller has read all before it, so that a slow caller does not
/// make the daemon hold much. Returns `false` if the caller has closed the connection.
pub(super) async fn send_data(pieces: &mpsc::Sender<Result<RelayPiece>>, data: Bytes) -> bool {
    if data.is_empty() {
        return true;
    }
    if data.len() > MAX_QUEUED_BYTES && pieces.reserve_many(pieces.max_capacity()).await.is_err() {
        return false;
    }
    pieces.send(Ok(RelayPiece::Data(data))).await.is_ok()
}
