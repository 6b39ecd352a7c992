//! Model calls: from admission to the last token.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_util::{Stream, StreamExt};
use smol_str::SmolStr;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use crate::catalog::{FleetCatalog, ModelSpec, RequestClass};
use crate::dispatch::access::AccessGrant;
use crate::dispatch::answer::{AnswerChecker, ChunkVerdict};
use crate::dispatch::name::{ModelName, find_model, other_versions};
use crate::dispatch::room::{FleetSource, ModelNeed, ServerSlot};
use crate::dispatch::{DispatchParts, ModelCall, RequestDispatcher, TokenUsage};
use crate::engine::{EngineChunk, EngineClient, EngineRequest, prefix_hashes};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::history::RequestStage;
use crate::ids::KeyDigest;
use crate::limit::{TokenCharge, TokenLimiter};
use crate::queue::WaitEntry;
use crate::routing::RouteNeed;
use crate::suspect::SuspectVerdict;

/// Tokens that may wait for a caller that reads slowly.
const TOKEN_BUFFER: usize = 64;
/// Backend servers that one request tries at most.
const MAX_ATTEMPTS: usize = 4;
/// Bytes of prompt text per token, for the charge.
const BYTES_PER_TOKEN: usize = 4;
/// Deadline of interactive requests that state none.
const INTERACTIVE_DEADLINE: Duration = Duration::from_secs(30);
/// Deadline of overnight requests that state none.
const OVERNIGHT_DEADLINE: Duration = Duration::from_secs(8 * 3600);
/// Estimated time per generated token, from the design's target between tokens.
const TOKEN_TIME: Duration = Duration::from_millis(26);
/// Longest wait for the load report that tells whether a backend server died.
const PROBE_TIME: Duration = Duration::from_millis(500);
/// Time for which a request passes over servers that failed it. A load report is newer than that, and a model's
/// only server must get the request again.
const AVOID_TIME: Duration = Duration::from_millis(500);
/// Part of an interactive deadline within which tokens may be borrowed.
const BORROW_TIME: Duration = Duration::from_secs(1);

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

/// How one attempt ended.
enum Attempt {
    Finished,
    /// The caller went away.
    Abandoned,
    /// The request may not go on, on any backend server.
    Stopped(Error),
    /// The backend server refused because the model or adapter is not in its memory: the load report was stale.
    NotResident,
    /// The backend server failed; another one may go on.
    Failed {
        error: Error,
        died: bool,
    },
}

/// A model call under way.
struct ModelJob<C> {
    call: ModelCall,
    grant: AccessGrant,
    charge: Option<C>,
    need: ModelNeed,
    fingerprint: KeyDigest,
    class: RequestClass,
    deadline: Instant,
    prompt_tokens: u32,
    answer: AnswerChecker,
    /// Tokens that the present engine was given to resume from.
    resumed: usize,
    verdict: RunVerdict,
    started: Instant,
    _admission: OwnedSemaphorePermit,
}

impl<P: DispatchParts> RequestDispatcher<P> {
    /// Admits a model call and starts it; resolves with the first token.
    pub(super) async fn start_model(
        self: &Arc<Self>,
        call: ModelCall,
    ) -> Result<(TokenUsage, TokenStream)> {
        let job = self.admit_model(call).await?;
        let usage = TokenUsage {
            prompt: job.prompt_tokens,
            completion: 0,
        };
        let (sender, mut rest) = mpsc::channel(TOKEN_BUFFER);
        let dispatcher = self.clone();
        self.group.spawn(crate::logging::in_request(
            job.call.id.clone(),
            async move {
                dispatcher.run_model(job, sender).await;
            },
        ));
        match rest.recv().await {
            Some(Ok(chunk)) => Ok((
                usage,
                TokenStream {
                    first: Some(chunk),
                    rest,
                },
            )),
            Some(Err(error)) => Err(error),
            None => Err(Error::internal("the request ended without an answer")
                .with_verdict(RunVerdict::MayHaveRun)),
        }
    }

    async fn admit_model(
        &self,
        call: ModelCall,
    ) -> Result<ModelJob<<P::Limiter as TokenLimiter>::Charge>> {
        let started = Instant::now();
        let catalog = self.gate.loaded_catalog()?;
        let name = ModelName::parse(&call.model);
        let model = find_model(&catalog, &name)?;
        let grant = self.gate.model(&catalog, model, call.key.as_deref())?;
        refuse_repeated_key(call.key.as_deref(), &[&call.messages])?;
        self.note_grant(&call.id, &grant);
        let admission = self.admit()?;
        let class = call.class.unwrap_or_default();
        let deadline = started + call.deadline.unwrap_or_else(|| default_deadline(class));
        let fingerprint = fingerprint(&grant, &call.model, &call.messages);
        let suspect = self.check_suspect(&fingerprint)?;
        let prompt_tokens = estimate_tokens(call.messages.len());
        self.demand.arrived(
            &name.model,
            name.adapter.as_ref(),
            u64::from(call.max_tokens),
        );
        let charge = self
            .charge(
                &call.id,
                &grant,
                u64::from(prompt_tokens) + u64::from(call.max_tokens),
            )
            .await?;
        Ok(ModelJob {
            need: self.model_need(&catalog, model, &name, &call.messages, suspect),
            answer: AnswerChecker::new(call.id.clone()),
            call,
            grant,
            charge,
            fingerprint,
            class,
            deadline,
            prompt_tokens,
            resumed: 0,
            verdict: RunVerdict::NotRun,
            started,
            _admission: admission,
        })
    }

    /// Charges the team of a grant; open routes are not charged.
    pub(super) async fn charge(
        &self,
        id: &SmolStr,
        grant: &AccessGrant,
        tokens: u64,
    ) -> Result<Option<<P::Limiter as TokenLimiter>::Charge>> {
        let Some(team) = grant.team() else {
            return Ok(None);
        };
        let asked = Instant::now();
        let result = self.limiter.charge(team, tokens, asked + BORROW_TIME).await;
        self.note_stage(id, RequestStage::Admit, asked);
        result.map(Some)
    }

    fn model_need(
        &self,
        catalog: &FleetCatalog,
        model: &ModelSpec,
        name: &ModelName,
        messages: &[u8],
        suspect: Option<KeyDigest>,
    ) -> ModelNeed {
        let version = name
            .version
            .clone()
            .unwrap_or_else(|| model.version.clone());
        let prefixes = prefix_hashes(&model.name, &version, name.adapter.as_ref(), messages);
        // A caller that names a version gets that one or none.
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
            avoid: Vec::new(),
        };
        ModelNeed {
            route,
            fallbacks,
            suspect,
        }
    }

    async fn run_model(
        &self,
        mut job: ModelJob<<P::Limiter as TokenLimiter>::Charge>,
        tokens: mpsc::Sender<Result<EngineChunk>>,
    ) {
        self.retries.request();
        let mut attempts = 0;
        let error = loop {
            match self.attempt(&mut job, &tokens).await {
                Attempt::Finished | Attempt::Abandoned => break None,
                Attempt::Stopped(error) => break Some(error),
                // Nothing ran, so this is no retry; the wait for a server paces it.
                Attempt::NotResident if Instant::now() < job.deadline => {}
                Attempt::NotResident => break Some(not_loaded()),
                Attempt::Failed { error, died } => {
                    attempts += 1;
                    if died && let Err(error) = self.note_death(&mut job) {
                        break Some(error);
                    }
                    if attempts >= MAX_ATTEMPTS || !self.try_retry() {
                        break Some(error);
                    }
                    log::info!("trying another backend server: {error}");
                }
            }
        };
        self.finish_model(job, error, &tokens).await;
    }

    async fn finish_model(
        &self,
        job: ModelJob<<P::Limiter as TokenLimiter>::Charge>,
        error: Option<Error>,
        tokens: &mpsc::Sender<Result<EngineChunk>>,
    ) {
        let produced = job.answer.tokens().len() as u64;
        let used = match job.verdict {
            RunVerdict::NotRun => 0,
            _ => u64::from(job.prompt_tokens) + produced,
        };
        if let Some(charge) = job.charge {
            charge.settle(used);
        }
        if let Some(team) = job.grant.team() {
            let estimate = u64::from(job.prompt_tokens) + u64::from(job.call.max_tokens);
            self.room
                .served(&job.need.route.model, team, used as i64 - estimate as i64);
        }
        if let Some(error) = error {
            let _ = tokens.send(Err(error.with_verdict(job.verdict))).await;
        }
        self.room.pump();
    }

    async fn attempt(
        &self,
        job: &mut ModelJob<<P::Limiter as TokenLimiter>::Charge>,
        tokens: &mpsc::Sender<Result<EngineChunk>>,
    ) -> Attempt {
        let asked = Instant::now();
        let slot = tokio::select! {
            slot = self.acquire(job) => slot,
            () = tokens.closed() => return Attempt::Abandoned,
        };
        self.note_stage(&job.call.id, RequestStage::Queue, asked);
        self.metrics
            .observe(&self.metrics.queue_time, asked.elapsed());
        let slot = match slot {
            Ok(slot) => slot,
            Err(error) => {
                self.demand.missed(&job.need.route.model);
                return Attempt::Stopped(error);
            }
        };
        self.history
            .update(&job.call.id, |record| record.add_server(slot.name.clone()));
        let result = self.stream_from(&slot, job, tokens).await;
        match &result {
            Attempt::Finished => self.clear_suspect(&job.fingerprint),
            Attempt::Failed { .. } | Attempt::NotResident => {
                job.need.route.avoid.push(slot.name.clone());
            }
            Attempt::Abandoned | Attempt::Stopped(_) => {}
        }
        drop(slot);
        self.room.pump();
        result
    }

    /// Waits for a place on a backend server, at first on one that has not failed this request.
    async fn acquire(
        &self,
        job: &mut ModelJob<<P::Limiter as TokenLimiter>::Charge>,
    ) -> Result<ServerSlot> {
        if !job.need.route.avoid.is_empty() {
            let other = self.room.acquire(job.need.clone(), wait_entry(job));
            if let Ok(slot) = tokio::time::timeout(AVOID_TIME, other).await {
                return slot;
            }
            job.need.route.avoid.clear();
        }
        self.room.acquire(job.need.clone(), wait_entry(job)).await
    }

    async fn stream_from(
        &self,
        slot: &ServerSlot,
        job: &mut ModelJob<<P::Limiter as TokenLimiter>::Charge>,
        tokens: &mpsc::Sender<Result<EngineChunk>>,
    ) -> Attempt {
        if let Err(error) = self.gate.recheck(&job.grant) {
            return Attempt::Stopped(error);
        }
        let request = engine_request(job, slot);
        job.resumed = request.resume.len();
        let before = job.verdict;
        job.verdict = job.verdict.max_with(RunVerdict::MayHaveRun);
        let started = tokio::select! {
            started = self.engine.complete(slot.address, &request) => started,
            () = tokens.closed() => return Attempt::Abandoned,
        };
        let mut stream = match started {
            Ok(stream) => stream,
            Err(error) => {
                if error.verdict() == RunVerdict::NotRun {
                    job.verdict = before;
                }
                return self.judge_failure(slot, error).await;
            }
        };
        let mut catalogs = self.gate.subscribe();
        loop {
            let chunk = tokio::select! {
                chunk = stream.next() => chunk,
                () = tokens.closed() => return Attempt::Abandoned,
                changed = catalogs.changed() => {
                    if changed.is_err() {
                        return Attempt::Stopped(shutting_down());
                    }
                    match self.gate.recheck(&job.grant) {
                        Ok(()) => continue,
                        Err(error) => return Attempt::Stopped(error),
                    }
                }
            };
            let chunk = match chunk {
                Some(Ok(chunk)) => chunk,
                Some(Err(error)) if self.waits_in_engine(slot, job, &error).await => continue,
                Some(Err(error)) => return self.judge_failure(slot, error).await,
                None => return self.judge_failure(slot, truncated()).await,
            };
            match self.forward(chunk, job, tokens).await {
                Ok(None) => {}
                Ok(Some(end)) => return end,
                Err(error) => return self.judge_failure(slot, error).await,
            }
        }
    }

    /// Sends a chunk on to the caller. Returns how the attempt ended, if it did.
    async fn forward(
        &self,
        chunk: EngineChunk,
        job: &mut ModelJob<<P::Limiter as TokenLimiter>::Charge>,
        tokens: &mpsc::Sender<Result<EngineChunk>>,
    ) -> Result<Option<Attempt>> {
        // A process that was paused must not go on with a key that was withdrawn meanwhile.
        if let Err(error) = self.gate.recheck(&job.grant) {
            return Ok(Some(Attempt::Stopped(error)));
        }
        let first = job.answer.tokens().is_empty();
        let verdict = job.answer.check(&chunk);
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
            self.note_stage(&job.call.id, RequestStage::FirstToken, job.started);
        }
        if tokens.send(Ok(chunk)).await.is_err() {
            return Ok(Some(Attempt::Abandoned));
        }
        match verdict {
            ChunkVerdict::Finish(_) => {
                job.verdict = RunVerdict::Ran;
                Ok(Some(Attempt::Finished))
            }
            _ => Ok(None),
        }
    }

    /// Tells a request that waits in the engine's own queue from one whose engine is dead or stuck.
    ///
    /// It waits if it has no token of this engine yet and the same engine process reports waiting requests. After
    /// the first token a request is in the batch and gets tokens steadily.
    async fn waits_in_engine(
        &self,
        slot: &ServerSlot,
        job: &ModelJob<<P::Limiter as TokenLimiter>::Charge>,
        error: &Error,
    ) -> bool {
        if error.category() != Category::Timeout
            || job.answer.tokens().len() > job.resumed
            || Instant::now() >= job.deadline
        {
            return false;
        }
        let probe = tokio::time::timeout(PROBE_TIME, self.engine.load(slot.address)).await;
        matches!(probe, Ok(Ok(report)) if report.waiting > 0
            && (slot.incarnation == 0 || report.incarnation == slot.incarnation))
    }

    /// Tells a backend server that died from one that only failed this request.
    async fn judge_failure(&self, slot: &ServerSlot, error: Error) -> Attempt {
        if error.verdict() == RunVerdict::NotRun {
            match error.category() {
                Category::Overloaded => return Attempt::Failed { error, died: false },
                Category::NotFound => return Attempt::NotResident,
                _ => {}
            }
        }
        let probe = tokio::time::timeout(PROBE_TIME, self.engine.load(slot.address)).await;
        let died = match &probe {
            Ok(Ok(report)) => slot.incarnation != 0 && report.incarnation != slot.incarnation,
            // A server that refuses connections is gone; one that does not answer may be cut off or slow.
            Ok(Err(probe_error)) => probe_error.category() == Category::Unavailable,
            Err(_) => false,
        };
        if !matches!(probe, Ok(Ok(_))) {
            self.room.fleet().call_failed(&slot.name);
        }
        let died = died && error.verdict() != RunVerdict::NotRun;
        Attempt::Failed { error, died }
    }

    /// Marks the request as suspect.
    ///
    /// # Errors
    ///
    /// `Quarantined` if too many backend servers died under it.
    fn note_death(&self, job: &mut ModelJob<<P::Limiter as TokenLimiter>::Charge>) -> Result<()> {
        self.record_death(job.fingerprint);
        job.need.suspect = self.check_suspect(&job.fingerprint)?;
        Ok(())
    }
}

impl RunVerdict {
    /// Returns the verdict of a request with attempts of both verdicts, neither of which completed.
    fn max_with(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

fn engine_request<C>(job: &ModelJob<C>, slot: &ServerSlot) -> EngineRequest {
    EngineRequest {
        id: job.call.id.clone(),
        model: job.need.route.model.clone(),
        version: slot.version.clone(),
        adapter: job.need.route.adapter.clone(),
        messages: job.call.messages.clone(),
        max_tokens: job.call.max_tokens,
        priority: match job.class {
            RequestClass::Interactive => 0,
            RequestClass::Overnight => 1,
        },
        resume: job.answer.tokens().to_vec(),
    }
}

fn wait_entry<C>(job: &ModelJob<C>) -> WaitEntry {
    let left = job
        .call
        .max_tokens
        .saturating_sub(job.answer.tokens().len() as u32);
    let work = match job.class {
        // The first token decides whether an interactive caller stays; the rest streams.
        RequestClass::Interactive => Duration::ZERO,
        RequestClass::Overnight => TOKEN_TIME * left,
    };
    WaitEntry {
        team: job.grant.team().cloned().unwrap_or_default(),
        class: job.class,
        deadline: job.deadline,
        work,
        tokens: u64::from(job.prompt_tokens) + u64::from(job.call.max_tokens),
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

/// Refuses a request that repeats its key where it would reach a backend server.
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
            "the key may stand in the authorization header only",
        ));
    }
    Ok(())
}

/// Digest of team, route and body, by which a request that kills backend servers is recognised.
pub(super) fn fingerprint(grant: &AccessGrant, route: &str, body: &[u8]) -> KeyDigest {
    let team = grant.team().map_or("", SmolStr::as_str);
    let mut text = format!("{team}\0{route}\0").into_bytes();
    text.extend_from_slice(body);
    KeyDigest::of(&text)
}

fn truncated() -> Error {
    Error::new(Category::Protocol, "the answer ended too early")
        .with_verdict(RunVerdict::MayHaveRun)
}

fn not_loaded() -> Error {
    let message = "no backend server had the model in memory in time";
    Error::new(Category::Timeout, message)
}

fn shutting_down() -> Error {
    Error::new(Category::ShuttingDown, "the daemon is shutting down")
}

impl<P: DispatchParts> RequestDispatcher<P> {
    /// Returns the fingerprint if the request is suspect.
    ///
    /// # Errors
    ///
    /// `Quarantined` if the request may not run.
    pub(super) fn check_suspect(&self, fingerprint: &KeyDigest) -> Result<Option<KeyDigest>> {
        let now = Instant::now();
        match self.suspects().verdict(fingerprint, now) {
            SuspectVerdict::Clear => Ok(None),
            SuspectVerdict::Suspect => Ok(Some(*fingerprint)),
            SuspectVerdict::Quarantined(until) => {
                let wait = until.saturating_duration_since(now);
                let message = "backend servers died under this request; it is in quarantine";
                Err(Error::new(Category::Quarantined, message).with_retry_after(wait))
            }
        }
    }
}
