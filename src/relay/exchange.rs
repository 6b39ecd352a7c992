//! Sends an opaque request to one backend server after another and forwards the answer.

mod connect;
mod ends;
mod stream;
mod timing;
mod whole;

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::catalog::RequestClass;
use crate::deferral::promotion_time;
use crate::dispatch::{Attempt, Exchange, FleetSource, OtherServers, ServerSlot, WorkTime};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::metrics::DaemonMetrics;
use crate::queue::WaitEntry;
use crate::relay::answer_memory::AnswerMemory;
use crate::relay::answer_times::AnswerTimes;
use crate::relay::config::{CallKind, RouteConfig};
use crate::relay::crash::CrashDetector;
use crate::relay::crash_watch::{BrokenAttempt, CrashWatch};
use crate::relay::engines::LoadItem;
use crate::relay::exchange::ends::{
    answer_timeout, broken_answer, read_refusal_to_end, timeout_error,
};
use crate::relay::exchange::stream::StreamType;
use crate::relay::exchange::timing::AttemptTiming;
pub(super) use crate::relay::exchange::timing::{OutputMemory, RequestWork};
use crate::relay::fleet::RelayFleet;
use crate::relay::format::{AnswerKind, RelayFormat, UpstreamMetadata};
use crate::relay::request::{RelayPiece, RelayRequest};
use crate::relay::stream_origins::StreamOrigins;
use crate::relay::upstream::{SendError, UpstreamAnswer, UpstreamPool};
use crate::retry::RetryBudget;
use crate::wire;

/// Maximum number of times that a request is sent to a backend server, including sends that are refused. A connection
/// that could not be opened is no send.
const MAX_SENDS: usize = 5;
/// A request with less time left is not sent because its answer would be too late.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);
/// Subtracted from the time that a backend server is given, for the transfer of its answer.
const SERVER_DEADLINE_MARGIN: Duration = Duration::from_millis(5);
/// Time without data after which a stream may be resumed on another server, in percent of the silence limit of its route.
const STALL_PERCENT: u32 = 60;
/// Period in which a request at a silent server checks whether it can go on at another one.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Multiple of the target latency after which an idempotent request may be sent to another server.
const RETRY_LATENCY_FACTOR: u32 = 4;
/// Events after which an answer has certainly been begun. A server that crashes as it begins to write may have sent one.
const MIN_PROGRESS_EVENTS: u32 = 2;
/// Time that a request stays in quarantine after a second backend server died under it.
pub(crate) const QUARANTINE_TIME: Duration = Duration::from_secs(30);

/// What all exchanges of a daemon share.
pub(super) struct ExchangeContext<F> {
    pub(super) format: Arc<F>,
    pub(super) pool: UpstreamPool,
    pub(super) fleet: Arc<RelayFleet>,
    pub(super) crashes: Arc<CrashDetector>,
    pub(super) watch: Arc<CrashWatch>,
    pub(super) origins: Arc<StreamOrigins>,
    pub(super) times: AnswerTimes,
    pub(super) memory: AnswerMemory,
    pub(super) outputs: OutputMemory,
    pub(super) metrics: Arc<DaemonMetrics>,
}

impl<F> ExchangeContext<F> {
    /// Returns how long an answer on `route` takes once its request is sent.
    pub(super) fn work_time(&self, route: &RouteConfig) -> WorkTime {
        let measured = self.times.expected(&route.name);
        measured.map_or(WorkTime::Due(route.target_latency), WorkTime::Measured)
    }
}

/// A request and its progress across backend servers.
pub struct RelayExchange<F> {
    request: RelayRequest,
    context: Arc<ExchangeContext<F>>,
    /// Retry budget of the request's service.
    budget: Arc<RetryBudget>,
    verdict: RunVerdict,
    /// Times that the request was sent to a server.
    sends: usize,
    /// Sends after which the server may have run the request; limited by the route's `max_attempts`.
    attempts: usize,
    /// Connections that could not be opened for the request and were not refused.
    failed_connects: usize,
    refused_connects: usize,
    /// Id of the last event that was forwarded, or that the caller stated in its request.
    last_event: Option<u64>,
    /// Type of the stream whose head was sent to the caller.
    sent_type: Option<StreamType>,
    /// Software version of the only servers that may send the rest of the stream, if it has begun.
    software: Option<SmolStr>,
    /// Complete events that the current server has sent.
    attempt_events: u32,
    /// When the request was sent to the current server.
    sent: Instant,
    /// When the answer of the current server ended.
    ended: Option<Instant>,
    timing: AttemptTiming,
    /// Whether the connection to the current server broke before the server had begun the answer.
    broke_early: bool,
    /// Whether a retry was taken from the budget before the attempt ended.
    retry_reserved: bool,
    /// Error answer of a backend server, which is forwarded if no other server answers.
    fallback: Option<RelayPiece>,
}

impl<F: RelayFormat> RelayExchange<F> {
    pub(super) fn new(
        request: RelayRequest,
        context: Arc<ExchangeContext<F>>,
        budget: Arc<RetryBudget>,
    ) -> Self {
        Self {
            last_event: request.metadata.last_event,
            software: request.software.clone(),
            request,
            context,
            budget,
            verdict: RunVerdict::NotRun,
            sends: 0,
            attempts: 0,
            failed_connects: 0,
            refused_connects: 0,
            sent_type: None,
            attempt_events: 0,
            sent: Instant::now(),
            ended: None,
            timing: AttemptTiming::default(),
            broke_early: false,
            retry_reserved: false,
            fallback: None,
        }
    }

    /// Notes that the current server has sent its whole answer.
    fn finish(&mut self, slot: &ServerSlot) {
        self.verdict = RunVerdict::Ran;
        self.context.fleet.call_succeeded(&slot.name);
        self.context
            .watch
            .note_progress(&self.request.parts, self.sent);
        // The check of the answer's end takes no time of the server.
        let now = self.ended.unwrap_or_else(Instant::now);
        self.note_end(slot, now);
        let time = now.saturating_duration_since(self.sent);
        self.context
            .times
            .record(&self.request.route.name, time, now);
    }

    fn is_repeatable(&self) -> bool {
        self.request.route.is_repeatable()
    }

    /// Returns the time without data after which the request may be sent to another server.
    fn stall_timeout(&self) -> Duration {
        let route = &self.request.route;
        match route.kind {
            CallKind::Streaming => route.silence_limit() * STALL_PERCENT / 100,
            _ => route.target_latency * RETRY_LATENCY_FACTOR,
        }
    }

    /// Returns until when the request may wait for a free slot. A whole answer must also be complete before the deadline,
    /// so that its request is refused as soon as even a short answer would be too late. At least half of the time remains for
    /// the wait: if a route's answers were slow and none is sent any more, nothing shows that they are faster now.
    fn queue_deadline(&self) -> Instant {
        let route = &self.request.route;
        let work = match route.kind {
            CallKind::Streaming => Duration::ZERO,
            _ => self.context.times.shortest(&route.name).unwrap_or_default(),
        };
        let deadline = self.request.deadline;
        let whole = deadline.saturating_duration_since(self.request.arrived);
        let latest = deadline - work.min(whole / 2);
        let last_activity = match self.sent_type {
            Some(_) => Instant::now(),
            None => self.request.arrived,
        };
        let limit = last_activity + self.request.route.wait_limit();
        latest.min(limit)
    }

    /// Returns until when the answer, or the first event of a stream, is on time. A stream that goes on at another
    /// server has no target, and so never yields to requests that have not begun.
    fn latency_target(&self) -> Option<Instant> {
        let target = self.request.route.target_latency;
        (self.sent_type.is_none() && !target.is_zero()).then(|| self.request.first_arrived + target)
    }

    /// Returns until when a deferrable request yields to urgent ones; `None` for an urgent one.
    fn yield_until(&self) -> Option<Instant> {
        if !self.request.deferrable || self.sent_type.is_some() {
            return None;
        }
        let route = &self.request.route;
        let work = self.context.times.expected(&route.name);
        let limit = self.queue_deadline();
        let target = route.target_latency;
        Some(promotion_time(
            self.request.first_arrived,
            target,
            limit,
            work,
        ))
    }

    /// Returns whether the request may be sent once more, and can be before its deadline.
    fn has_attempts_left(&self) -> bool {
        self.sends < MAX_SENDS
            && self.attempts < self.request.route.max_attempts
            && Instant::now() + MIN_TIME_LEFT < self.request.deadline
    }

    /// Takes a retry from the budget for a request whose server is silent, if another server can take it at once.
    fn reserve_retry(&mut self, others: &impl OtherServers) -> bool {
        self.retry_reserved = self.is_repeatable()
            && self.has_attempts_left()
            && others.have_room(self.software())
            && self.budget.try_retry();
        self.retry_reserved
    }

    /// Waits for the next part of an answer until the deadline. A silent server may still answer, so it is given up
    /// before the deadline only if another one takes the request. Returns `None` if the wait is over.
    async fn wait_for_server<T>(
        &mut self,
        slot: &ServerSlot,
        others: &impl OtherServers,
        part: impl Future<Output = T>,
    ) -> Option<T> {
        let mut part = std::pin::pin!(part);
        let deadline = self.request.deadline;
        let mut check = match self.is_repeatable() && self.has_attempts_left() {
            true => deadline.min(Instant::now() + self.stall_timeout()),
            false => deadline,
        };
        let mut is_first = true;
        loop {
            if let Ok(part) = tokio::time::timeout_at(check.into(), part.as_mut()).await {
                return Some(part);
            }
            if check >= deadline || self.reserve_retry(others) {
                return None;
            }
            if is_first {
                log::info!(
                    "server {} is silent and no other can take the request",
                    slot.name
                );
                self.context.fleet.call_failed(&slot.name);
            }
            is_first = false;
            check = deadline.min(Instant::now() + STALL_CHECK_PERIOD);
        }
    }

    fn build_request(&self, slot: &ServerSlot) -> Result<Request<Full<Bytes>>> {
        let left = self
            .request
            .caller_deadline
            .saturating_duration_since(Instant::now());
        let mut headers = self.request.headers.clone();
        let metadata = UpstreamMetadata {
            server: &slot.name,
            time_left: left.saturating_sub(SERVER_DEADLINE_MARGIN),
            team: self.request.team.as_ref(),
            urgency: self.request.urgency,
            last_event: self.last_event,
        };
        self.context
            .format
            .add_upstream_headers(&mut headers, &metadata)?;
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.clone();
        *request.headers_mut() = headers;
        Ok(request)
    }

    async fn send_to(
        &mut self,
        slot: &ServerSlot,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
        others: &impl OtherServers,
    ) -> Attempt {
        if Instant::now() + MIN_TIME_LEFT >= self.request.deadline {
            return Attempt::Stopped(timeout_error(
                "the deadline is too close to send the request",
            ));
        }
        // A part may have been blocked while the request waited for the server.
        if let Err(error) = self.context.watch.check_send(&self.request.parts) {
            return Attempt::Stopped(error);
        }
        let request = match self.build_request(slot) {
            Ok(request) => request,
            Err(error) => return Attempt::Stopped(error),
        };
        let previous = (self.verdict, self.attempts);
        let previous_sends = self.sends;
        self.sends += 1;
        self.attempts += 1;
        self.attempt_events = 0;
        self.sent = Instant::now();
        self.broke_early = false;
        self.verdict = RunVerdict::MayHaveRun;
        // An idle connection may break after the server has read the request; only a repeatable one can be sent again.
        let reuse = self.is_repeatable();
        let pool = self.context.pool.clone();
        let head = pool.send(&slot.name, slot.address, request, reuse);
        let sent = tokio::select! {
            biased;
            () = pieces.closed() => return Attempt::Cancelled,
            sent = self.wait_for_server(slot, others, head) => sent,
        };
        let answer = match sent {
            Some(Ok(answer)) => answer,
            Some(Err(failure)) if failure.error.verdict() == RunVerdict::NotRun => {
                (self.verdict, self.attempts) = previous;
                self.sends = previous_sends;
                return self.unsent_attempt(slot, failure);
            }
            Some(Err(SendError { error, .. })) => {
                if error.category() == Category::Protocol {
                    self.context.fleet.note_faulty(&slot.name);
                }
                return self.failed_attempt(slot, error);
            }
            None => return self.failed_attempt(slot, answer_timeout()),
        };
        self.note_connection(slot, &answer);
        if !wire::is_answer_status(answer.head.status) {
            // The connection is closed with the answer, as what follows it is unknown.
            let status = answer.head.status.as_u16();
            log::warn!("server {} sent the invalid status {status}", slot.name);
            let message = format!("the backend server sent the invalid status {status}");
            let error = Error::new(Category::Protocol, message);
            return self.failed_attempt(slot, error.with_verdict(RunVerdict::MayHaveRun));
        }
        let id = &self.request.metadata.id;
        let kind = self
            .context
            .format
            .classify(id, &slot.name, &answer.head, answer.is_first);
        self.note_identity(slot, &answer, kind);
        if !matches!(kind, AnswerKind::WrongInstance | AnswerKind::IdMismatch) {
            let notice = self.context.format.read_notice(&answer.head);
            self.context.fleet.apply_notice(&slot.name, notice);
        }
        match kind {
            AnswerKind::Answer => self.forward_answer(slot, answer, pieces, others).await,
            AnswerKind::IdMismatch => {
                let message = "the answer belongs to another request";
                let error = Error::new(Category::Protocol, message);
                self.failed_attempt(slot, error.with_verdict(RunVerdict::MayHaveRun))
            }
            AnswerKind::Unattributed => {
                self.context.fleet.note_full(&slot.name);
                let message = "the refusal may be that of an earlier request on the connection";
                let error = Error::new(Category::Protocol, message);
                self.failed_attempt(slot, error.with_verdict(RunVerdict::MayHaveRun))
            }
            refusal => {
                (self.verdict, self.attempts) = previous;
                read_refusal_to_end(answer, self.request.max_idle_connections).await;
                self.refused_attempt(slot, refusal)
            }
        }
    }

    /// Handles a server that did not run the request.
    fn refused_attempt(&self, slot: &ServerSlot, kind: AnswerKind) -> Attempt {
        if matches!(kind, AnswerKind::ModelMissing | AnswerKind::WrongInstance) {
            self.context.fleet.note_uncounted(&slot.name, self.sent);
        }
        let error = match kind {
            AnswerKind::ModelMissing => {
                if let Some(model) = self.request.metadata.model.clone() {
                    let adapter = self.request.metadata.adapter.clone();
                    let item = LoadItem { model, adapter };
                    self.context.fleet.note_missing(&slot.name, item);
                }
                return Attempt::NotResident;
            }
            AnswerKind::WrongInstance => {
                self.context.fleet.call_failed(&slot.name);
                Error::unavailable("another process uses the address of the backend server")
            }
            _ => {
                self.context.fleet.note_full(&slot.name);
                Error::new(Category::Overloaded, "the backend server is full")
            }
        };
        Attempt::Failed { error, died: false }
    }

    /// Handles a failed attempt: records connection errors and time-outs, and stops the request if it must not run a
    /// second time.
    fn failed_attempt(&mut self, slot: &ServerSlot, error: Error) -> Attempt {
        let is_connection_error_or_timeout =
            matches!(error.category(), Category::Unavailable | Category::Timeout);
        let now = Instant::now();
        if is_connection_error_or_timeout && now < self.request.deadline {
            self.context.fleet.call_failed(&slot.name);
        }
        if is_connection_error_or_timeout && error.verdict() != RunVerdict::NotRun {
            log::info!(
                "the attempt at {} broke after {} events, prompt parts {:x?}: {error}",
                slot.name,
                self.attempt_events,
                self.request.metadata.prompt,
            );
            let is_broken = error.category() == Category::Unavailable;
            self.broke_early = is_broken && self.attempt_events < MIN_PROGRESS_EVENTS;
            if is_broken {
                self.context.fleet.connection_broke(&slot.name, now);
            }
            self.context
                .crashes
                .record_broken(&slot.name, self.request.fingerprint, now);
        }
        if error.verdict() != RunVerdict::NotRun && !self.is_repeatable() {
            return Attempt::Stopped(error);
        }
        Attempt::Failed { error, died: false }
    }

    async fn forward_answer(
        &mut self,
        slot: &ServerSlot,
        answer: UpstreamAnswer,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
        others: &impl OtherServers,
    ) -> Attempt {
        let status = answer.head.status;
        if let Some(sent_type) = &self.sent_type
            && *sent_type != StreamType::of(&answer.head)
        {
            let message = format!("the backend server answered {status} to a resumed stream");
            return self.failed_attempt(slot, wire::protocol(message));
        }
        self.note_accepted(slot, &answer);
        if wire::is_promise(status) {
            self.context.fleet.log_failure_answer(&slot.name);
            read_refusal_to_end(answer, self.request.max_idle_connections).await;
            return self.failed_attempt(slot, wire::unkept_promise(status));
        }
        let is_stream = self.request.route.kind == CallKind::Streaming && status.is_success();
        if is_stream {
            self.forward_stream(slot, answer, pieces, others).await
        } else {
            self.forward_whole(slot, answer, pieces, others).await
        }
    }

    /// Checks that the end of an answer's body is the end of the answer. The connections of a process that crashes end in
    /// the same way as an answer with neither a length nor chunks, so that its server must outlive it.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the answer may have been cut off.
    async fn check_answer_end(&mut self, answer: &UpstreamAnswer, slot: &ServerSlot) -> Result<()> {
        self.ended = Some(Instant::now());
        if !answer.ends_with_connection || self.context.pool.outlives_connection(slot.address).await
        {
            return Ok(());
        }
        Err(broken_answer("the server ended with its answer"))
    }

    /// Returns the error of an attempt whose server sent `what`, which cannot be passed on. The server is avoided for a
    /// while.
    fn faulty_answer(&self, slot: &ServerSlot, what: &str) -> Error {
        self.context.fleet.note_faulty(&slot.name);
        let message = format!("the backend server sent {what}");
        Error::new(Category::Protocol, message).with_verdict(RunVerdict::MayHaveRun)
    }
}

impl<F: RelayFormat> Exchange for RelayExchange<F> {
    type Piece = RelayPiece;

    fn wait_entry(&self) -> WaitEntry {
        WaitEntry {
            team: self.request.team.clone().unwrap_or_default(),
            class: RequestClass::Interactive,
            deadline: self.queue_deadline(),
            work: Duration::ZERO,
            target: self.latency_target(),
            yield_until: self.yield_until(),
            priority: self.request.priority,
            tokens: self.request.tokens,
        }
    }

    fn work_time(&self) -> WorkTime {
        match self.sent_type {
            Some(_) => WorkTime::NONE,
            None => self.context.work_time(&self.request.route),
        }
    }

    async fn attempt<O: OtherServers>(
        &mut self,
        slot: &ServerSlot,
        pieces: &mpsc::Sender<Result<RelayPiece>>,
        others: &O,
    ) -> Attempt {
        let is_trial = !slot.is_proven();
        let attempt = self.send_to(slot, pieces, others).await;
        self.note_trial(slot, &attempt, is_trial);
        let attempt = self.check_origin(slot, attempt);
        if !std::mem::take(&mut self.broke_early) {
            return attempt;
        }
        let parts = &self.request.parts;
        let broken = BrokenAttempt {
            server: &slot.name,
            address: slot.address,
            parts,
            sent: self.sent,
        };
        self.context.watch.examine(broken).await;
        match attempt {
            Attempt::Failed { error, .. } if !self.context.watch.may_resend(parts) => {
                Attempt::Stopped(error)
            }
            attempt => attempt,
        }
    }

    fn software(&self) -> Option<SmolStr> {
        self.software.clone()
    }

    fn may_retry(&mut self, _error: &Error) -> bool {
        std::mem::take(&mut self.retry_reserved)
            || self.has_attempts_left() && self.budget.try_retry()
    }

    fn may_retry_not_resident(&mut self) -> bool {
        self.sends < MAX_SENDS && self.budget.try_retry()
    }

    fn may_retry_unsent(&mut self, _error: &Error) -> bool {
        self.may_connect_again()
    }

    fn verdict(&self) -> RunVerdict {
        self.verdict
    }

    fn used_tokens(&self) -> u64 {
        self.request.tokens
    }

    fn quarantine(&self) -> Duration {
        QUARANTINE_TIME
    }

    fn take_fallback(&mut self) -> Option<RelayPiece> {
        self.fallback.take()
    }
}
