//! Model calls: from admission to the last token.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_util::{Stream, StreamExt};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::catalog::{FleetCatalog, ModelSpec, RequestClass};
use crate::dispatch::access::AccessGrant;
use crate::dispatch::answer::{AnswerChecker, ChunkVerdict};
use crate::dispatch::name::{ModelName, find_model, other_versions};
use crate::dispatch::request_core::{
    Attempt, ChargeOf, Exchange, OtherServers, RequestJob, fingerprint,
};
use crate::dispatch::room::{FleetSource, ModelNeed, ServerSlot};
use crate::dispatch::{DispatchParts, ModelCall, RequestDispatcher, TokenUsage, WorkTime};
use crate::engine::{EngineChunk, EngineClient, EngineRequest, prefix_hashes};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::history::RequestStage;
use crate::ids::KeyDigest;
use crate::queue::WaitEntry;
use crate::routing::{RequestCost, RequestShape, RouteNeed, request_cost};

/// Maximum number of backend servers that one request tries.
const MAX_ATTEMPTS: usize = 4;
/// Bytes of prompt text that are charged as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Part of a call's maximum output that is expected. Nothing is learned of calls, and few reach the maximum.
const OUTPUT_DIVISOR: u64 = 2;
/// Deadline of interactive requests that state none.
const INTERACTIVE_DEADLINE: Duration = Duration::from_secs(30);
/// Deadline of overnight requests that state none.
const OVERNIGHT_DEADLINE: Duration = Duration::from_secs(8 * 3600);
/// Estimated time per generated token: the target for the time between tokens.
const TOKEN_TIME: Duration = Duration::from_millis(26);
/// Timeout of the load report that shows whether a backend server died.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tokens of one model call. Dropping it cancels the request.
#[derive(Debug)]
pub struct TokenStream {
    first: Option<EngineChunk>,
    rest: mpsc::Receiver<Result<EngineChunk>>,
}

impl Stream for TokenStream {
    type Item = Result<EngineChunk>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.first.take() {
            Some(chunk) => Poll::Ready(Some(Ok(chunk))),
            None => self.rest.poll_recv(cx),
        }
    }
}

/// State of a model call across its attempts on engines.
struct ChatExchange<P: DispatchParts> {
    dispatcher: Arc<RequestDispatcher<P>>,
    call: ModelCall,
    grant: AccessGrant,
    adapter: Option<SmolStr>,
    model: SmolStr,
    class: RequestClass,
    deadline: Instant,
    prompt_tokens: u32,
    answer: AnswerChecker,
    /// Number of earlier tokens from which the current engine resumes the answer.
    resumed: usize,
    failures: usize,
    verdict: RunVerdict,
    started: Instant,
}

type ChatJob<P> = RequestJob<ChargeOf<P>, ChatExchange<P>>;

impl<P: DispatchParts> RequestDispatcher<P> {
    /// Admits a model call and starts it; resolves with the first token.
    pub(super) async fn start_model(
        self: &Arc<Self>,
        call: ModelCall,
    ) -> Result<(TokenUsage, TokenStream)> {
        let job = self.admit_model(call).await?;
        let usage = TokenUsage {
            prompt: job.exchange.prompt_tokens,
            completion: 0,
        };
        self.core.retries.count_request();
        let mut rest = self.core.start(job);
        let first = self.core.drain_clock().first_piece(&mut rest).await?;
        let stream = TokenStream {
            first: Some(first),
            rest,
        };
        Ok((usage, stream))
    }

    /// Checks the key of a model call before its body names the model. An open model needs none.
    pub(super) fn check_model_key(&self, key: Option<&str>) -> Result<()> {
        let catalog = self.gate.loaded_catalog()?;
        if catalog.models().any(|model| model.open) {
            return Ok(());
        }
        self.gate.authenticate(&catalog, key).map(|_| ())
    }

    async fn admit_model(self: &Arc<Self>, call: ModelCall) -> Result<ChatJob<P>> {
        let started = Instant::now();
        let catalog = self.gate.loaded_catalog()?;
        let name = ModelName::parse(&call.model);
        let model = find_model(&catalog, &name)?;
        let grant = self
            .gate
            .authorize_model(&catalog, model, call.key.as_deref())?;
        refuse_repeated_key(call.key.as_deref(), &[&call.messages])?;
        self.record_team(&call.id, &grant);
        let admission = self.core.admit()?;
        let class = call.class.unwrap_or_default();
        let deadline = started + call.time_limit.unwrap_or_else(|| default_deadline(class));
        let fingerprint = fingerprint(grant.team(), &call.model, &call.messages);
        let suspect = self.core.check_suspect(&fingerprint)?;
        let prompt_tokens = estimate_tokens(call.messages.len());
        self.core.demand.arrived(
            &name.model,
            name.adapter.as_ref(),
            u64::from(call.max_tokens),
        );
        let estimate = u64::from(prompt_tokens) + u64::from(call.max_tokens);
        let charge = self.charge(&call.id, &grant, estimate).await?;
        Ok(RequestJob {
            id: call.id.clone(),
            team: grant.team().cloned(),
            charge,
            need: self.model_need(
                &catalog,
                model,
                &name,
                &call.messages,
                call.max_tokens,
                suspect,
            ),
            fingerprint,
            deadline,
            estimate,
            exchange: ChatExchange {
                dispatcher: self.clone(),
                answer: AnswerChecker::new(call.id.clone()),
                call,
                grant,
                adapter: name.adapter,
                model: name.model,
                class,
                deadline,
                prompt_tokens,
                resumed: 0,
                failures: 0,
                verdict: RunVerdict::NotRun,
                started,
            },
            _admission: admission,
        })
    }

    fn model_need(
        &self,
        catalog: &FleetCatalog,
        model: &ModelSpec,
        name: &ModelName,
        messages: &[u8],
        max_tokens: u32,
        suspect: Option<KeyDigest>,
    ) -> ModelNeed {
        let version = name
            .version
            .clone()
            .unwrap_or_else(|| model.version.clone());
        let prefixes = prefix_hashes(&model.name, &version, name.adapter.as_ref(), messages);
        let prefix_count = prefixes.len();
        // A call that names a version is never served by another one.
        let fallbacks = match name.version {
            Some(_) => Vec::new(),
            None => other_versions(catalog, model),
        };
        let route = RouteNeed {
            model: model.name.clone(),
            version,
            adapter: name.adapter.clone(),
            prefixes,
            zone: self.zone.clone(),
            cost: model_cost(messages.len(), max_tokens, prefix_count),
            ..RouteNeed::default()
        };
        ModelNeed {
            route,
            fallbacks,
            suspect,
        }
    }
}

/// Estimates the cost of a call, whose prefixes are taken to be equally long.
fn model_cost(message_bytes: usize, max_tokens: u32, prefixes: usize) -> RequestCost {
    let prompt = u64::from(estimate_tokens(message_bytes));
    let parts = vec![prompt / prefixes.max(1) as u64; prefixes];
    request_cost(RequestShape {
        prompt,
        parts: &parts,
        output: u64::from(max_tokens) / OUTPUT_DIVISOR,
    })
}

impl<P: DispatchParts> Exchange for ChatExchange<P> {
    type Piece = EngineChunk;

    fn wait_entry(&self) -> WaitEntry {
        let left = self
            .call
            .max_tokens
            .saturating_sub(self.answer.tokens().len() as u32);
        let work = match self.class {
            // An interactive caller waits for the first token; the others are streamed as they come.
            RequestClass::Interactive => Duration::ZERO,
            RequestClass::Overnight => TOKEN_TIME * left,
        };
        WaitEntry {
            team: self.grant.team().cloned().unwrap_or_default(),
            class: self.class,
            deadline: self.deadline,
            work,
            target: None,
            yield_until: None,
            priority: 0,
            tokens: u64::from(self.prompt_tokens) + u64::from(self.call.max_tokens),
        }
    }

    fn work_time(&self) -> WorkTime {
        WorkTime::Due(self.wait_entry().work)
    }

    async fn attempt<O: OtherServers>(
        &mut self,
        slot: &ServerSlot,
        tokens: &mpsc::Sender<Result<EngineChunk>>,
        _others: &O,
    ) -> Attempt {
        self.stream_from(slot, tokens).await
    }

    fn may_retry(&mut self, _error: &Error) -> bool {
        self.failures += 1;
        self.failures < MAX_ATTEMPTS && self.dispatcher.core.try_retry()
    }

    fn may_retry_after_death(&mut self, _error: &Error) -> bool {
        // Not taken from the budget, which one death could use up: the server's requests were admitted once already.
        self.failures += 1;
        self.failures < MAX_ATTEMPTS
    }

    fn verdict(&self) -> RunVerdict {
        self.verdict
    }

    fn used_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + self.answer.tokens().len() as u64
    }

    fn quarantine(&self) -> Duration {
        self.dispatcher.quarantine()
    }
}

impl<P: DispatchParts> ChatExchange<P> {
    async fn stream_from(
        &mut self,
        slot: &ServerSlot,
        tokens: &mpsc::Sender<Result<EngineChunk>>,
    ) -> Attempt {
        if let Err(error) = self.dispatcher.gate.recheck(&self.grant) {
            return Attempt::Stopped(error);
        }
        let request = self.engine_request(slot);
        self.resumed = request.resume.len();
        let before = self.verdict;
        self.verdict = self.verdict.max_with(RunVerdict::MayHaveRun);
        let started = tokio::select! {
            started = self.dispatcher.engine.complete(slot.address, &request) => started,
            () = tokens.closed() => return Attempt::Cancelled,
        };
        let mut stream = match started {
            Ok(stream) => stream,
            Err(error) => {
                if error.verdict() == RunVerdict::NotRun {
                    self.verdict = before;
                }
                return self.classify_failure(slot, error).await;
            }
        };
        let mut catalogs = self.dispatcher.gate.subscribe();
        loop {
            let chunk = tokio::select! {
                chunk = stream.next() => chunk,
                () = tokens.closed() => return Attempt::Cancelled,
                changed = catalogs.changed() => {
                    if changed.is_err() {
                        return Attempt::Stopped(shutting_down());
                    }
                    match self.dispatcher.gate.recheck(&self.grant) {
                        Ok(()) => continue,
                        Err(error) => return Attempt::Stopped(error),
                    }
                }
            };
            let chunk = match chunk {
                Some(Ok(chunk)) => chunk,
                Some(Err(error)) if self.is_queued_in_engine(slot, &error).await => continue,
                Some(Err(error)) => return self.classify_failure(slot, error).await,
                None => return self.classify_failure(slot, truncated()).await,
            };
            match self.forward(chunk, tokens).await {
                Ok(None) => {}
                Ok(Some(end)) => return end,
                Err(error) => return self.classify_failure(slot, error).await,
            }
        }
    }

    /// Forwards a chunk to the caller. Returns how the attempt ended if this was its end.
    async fn forward(
        &mut self,
        chunk: EngineChunk,
        tokens: &mpsc::Sender<Result<EngineChunk>>,
    ) -> Result<Option<Attempt>> {
        // The key may have been withdrawn while this process was paused.
        if let Err(error) = self.dispatcher.gate.recheck(&self.grant) {
            return Ok(Some(Attempt::Stopped(error)));
        }
        let first = self.answer.tokens().is_empty();
        let verdict = self.answer.check(&chunk);
        match verdict {
            ChunkVerdict::Skip => return Ok(None),
            ChunkVerdict::Gap => {
                return Err(Error::new(
                    Category::Protocol,
                    "tokens are missing in the answer",
                ));
            }
            ChunkVerdict::Forward | ChunkVerdict::Finish(_) => {}
        }
        if first {
            self.dispatcher
                .core
                .note_stage(&self.call.id, RequestStage::FirstToken, self.started);
        }
        if tokens.send(Ok(chunk)).await.is_err() {
            return Ok(Some(Attempt::Cancelled));
        }
        match verdict {
            ChunkVerdict::Finish(_) => {
                self.verdict = RunVerdict::Ran;
                Ok(Some(Attempt::Finished))
            }
            _ => Ok(None),
        }
    }

    /// Returns whether a request that timed out waits in the queue of a live engine, rather than on a dead or stuck
    /// one.
    ///
    /// It does if no token came from this engine yet and the same engine process reports waiting requests. After
    /// the first token a request is in the engine's batch and gets tokens steadily.
    async fn is_queued_in_engine(&self, slot: &ServerSlot, error: &Error) -> bool {
        if error.category() != Category::Timeout
            || self.answer.tokens().len() > self.resumed
            || Instant::now() >= self.deadline
        {
            return false;
        }
        let probe =
            tokio::time::timeout(PROBE_TIMEOUT, self.dispatcher.engine.load(slot.address)).await;
        matches!(probe, Ok(Ok(report)) if report.waiting > 0
            && (slot.incarnation == 0 || report.incarnation == slot.incarnation))
    }

    /// Determines whether the backend server died or only failed this request.
    async fn classify_failure(&self, slot: &ServerSlot, error: Error) -> Attempt {
        if error.verdict() == RunVerdict::NotRun {
            match error.category() {
                Category::Overloaded => return Attempt::Failed { error, died: false },
                Category::NotFound => return Attempt::NotResident,
                _ => {}
            }
        }
        let probe =
            tokio::time::timeout(PROBE_TIMEOUT, self.dispatcher.engine.load(slot.address)).await;
        let died = match &probe {
            Ok(Ok(report)) => slot.incarnation != 0 && report.incarnation != slot.incarnation,
            // A server that refuses connections has ended; one that does not answer may be unreachable or slow.
            Ok(Err(probe_error)) => probe_error.category() == Category::Unavailable,
            Err(_) => false,
        };
        if !matches!(probe, Ok(Ok(_))) {
            self.dispatcher.core.fleet().call_failed(&slot.name);
        }
        let died = died && error.verdict() != RunVerdict::NotRun;
        Attempt::Failed { error, died }
    }

    fn engine_request(&self, slot: &ServerSlot) -> EngineRequest {
        EngineRequest {
            id: self.call.id.clone(),
            model: self.model.clone(),
            version: slot.version.clone(),
            adapter: self.adapter.clone(),
            messages: self.call.messages.clone(),
            max_tokens: self.call.max_tokens,
            priority: match self.class {
                RequestClass::Interactive => 0,
                RequestClass::Overnight => 1,
            },
            resume: self.answer.tokens().to_vec(),
        }
    }
}

impl RunVerdict {
    /// Combines the verdicts of two attempts: `Ran` outweighs `MayHaveRun`, which outweighs `NotRun`.
    fn max_with(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

fn default_deadline(class: RequestClass) -> Duration {
    match class {
        RequestClass::Interactive => INTERACTIVE_DEADLINE,
        RequestClass::Overnight => OVERNIGHT_DEADLINE,
    }
}

fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Refuses a request that contains its key in `parts`, which are sent to backend servers.
pub(super) fn refuse_repeated_key(secret: Option<&str>, parts: &[&[u8]]) -> Result<()> {
    let Some(secret) = secret.filter(|secret| !secret.is_empty()) else {
        return Ok(());
    };
    let secret = secret.as_bytes();
    let repeated = parts
        .iter()
        .any(|part| part.windows(secret.len()).any(|w| w == secret));
    if repeated {
        return Err(Error::invalid(
            "the key must not appear outside the authorization header",
        ));
    }
    Ok(())
}

fn truncated() -> Error {
    Error::new(Category::Protocol, "the answer ended before its last chunk")
        .with_verdict(RunVerdict::MayHaveRun)
}

fn shutting_down() -> Error {
    Error::new(Category::ShuttingDown, "the daemon is shutting down")
}
