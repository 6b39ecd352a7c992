//! Calls to plain services, repeatable or not.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::HeaderMap;
use http::header::{ACCEPT, ACCEPT_LANGUAGE, CONTENT_ENCODING, CONTENT_TYPE, HeaderName};
use smol_str::{SmolStr, ToSmolStr};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use crate::catalog::{FleetCatalog, RouteSpec, RouteTarget};
use crate::claim::{ClaimKey, ClaimOutcome, ClaimStore, ClaimVerdict, MAX_RECORDED_BODY};
use crate::dispatch::access::AccessGrant;
use crate::dispatch::model::refuse_repeated_key;
use crate::dispatch::request_core::{ChargeOf, fingerprint};
use crate::dispatch::room::FleetSource;
use crate::dispatch::{DispatchParts, RequestDispatcher, ServiceCall};
use crate::engine::{ServiceAnswer, ServiceClient, ServiceRequest};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::history::RequestStage;
use crate::ids::{KeyDigest, RecordId};
use crate::limit::TokenCharge;
use crate::wire;

/// Maximum number of backend servers that one call tries.
const MAX_ATTEMPTS: usize = 3;
/// Longest wait for a free server of the group.
const SERVICE_WAIT: Duration = Duration::from_secs(5);
/// Timeout of the connection attempt that shows whether a service died.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks for a free server of the group.
const SERVICE_POLL: Duration = Duration::from_millis(10);
/// Header with which a caller identifies a non-repeatable request; it is forwarded to the service.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that are forwarded to backend servers. All others are dropped, so that no key reaches a backend server.
static FORWARDED_HEADERS: [HeaderName; 5] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    CONTENT_ENCODING,
    CONTENT_TYPE,
    IDEMPOTENCY_KEY,
];

/// An admitted call.
struct ServiceJob<C> {
    call: ServiceCall,
    route: RouteSpec,
    group: SmolStr,
    grant: AccessGrant,
    fingerprint: KeyDigest,
    charge: Option<C>,
    /// Whether a backend server may have received the call.
    sent: AtomicBool,
    _admission: OwnedSemaphorePermit,
}

/// A granted claim. It is released if the call ends, or is dropped, before it was sent.
struct ClaimGuard<'a, K: ClaimStore> {
    claims: &'a K,
    claim: Option<RecordId>,
    sent: &'a AtomicBool,
}

impl<K: ClaimStore> ClaimGuard<'_, K> {
    fn end(mut self, result: &Result<ServiceAnswer>) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        match result {
            Ok(answer) => self.claims.record(claim, outcome_of(answer)),
            Err(error) if error.verdict() == RunVerdict::NotRun => self.claims.release(claim),
            // The outcome is unknown, so the claim stays open and no daemon sends the request again.
            Err(error) => log::warn!("the outcome of a non-repeatable call is unknown: {error}"),
        }
    }
}

impl<K: ClaimStore> Drop for ClaimGuard<'_, K> {
    fn drop(&mut self) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        if self.sent.load(Ordering::Relaxed) {
            log::warn!(
                "a non-repeatable call was cancelled after it was sent; its claim stays open"
            );
        } else {
            self.claims.release(claim);
        }
    }
}

/// Finds the route of a path with its query, and the group of servers that it leads to.
pub(super) fn find_service<'a>(
    catalog: &'a FleetCatalog,
    path: &str,
) -> Result<(&'a RouteSpec, &'a SmolStr)> {
    let path = path.split('?').next().unwrap_or_default();
    let route = catalog
        .route_for_path(path)
        .ok_or_else(|| Error::new(Category::NotFound, "no route matches this path"))?;
    match &route.target {
        RouteTarget::Service(group) => Ok((route, group)),
        _ => {
            let message = "this route takes model calls at /v1/chat/completions";
            Err(Error::new(Category::NotFound, message))
        }
    }
}

impl<P: DispatchParts> RequestDispatcher<P> {
    /// Carries out a call to a plain service.
    pub(super) async fn start_service(
        self: &Arc<Self>,
        call: ServiceCall,
    ) -> Result<ServiceAnswer> {
        let mut job = self.admit_service(call).await?;
        let charge = job.charge.take();
        let cost = job.route.cost;
        let result = if job.route.repeatable {
            self.core.retries.count_request();
            self.call_any(&job, MAX_ATTEMPTS).await
        } else {
            self.call_once(job).await
        };
        let not_run = matches!(&result, Err(error) if error.verdict() == RunVerdict::NotRun);
        if let Some(charge) = charge {
            charge.settle(if not_run { 0 } else { cost });
        }
        result.and_then(checked_answer)
    }

    async fn admit_service(&self, call: ServiceCall) -> Result<ServiceJob<ChargeOf<P>>> {
        let catalog = self.gate.loaded_catalog()?;
        let (route, group) = find_service(&catalog, &call.path)?;
        let grant = self
            .gate
            .authorize_route(&catalog, route, call.key.as_deref())?;
        refuse_repeated_key(call.key.as_deref(), &sent_parts(&call))?;
        self.record_team(&call.id, &grant);
        let admission = self.core.admit()?;
        let fingerprint = fingerprint(grant.team(), &call.path, &call.body);
        self.core.check_suspect(&fingerprint)?;
        if !route.repeatable {
            self.check_idempotency_key(&call)?;
        }
        let charge = match route.cost {
            0 => None,
            cost => self.charge(&call.id, &grant, cost).await?,
        };
        Ok(ServiceJob {
            group: group.clone(),
            route: route.clone(),
            call,
            grant,
            fingerprint,
            charge,
            sent: AtomicBool::new(false),
            _admission: admission,
        })
    }

    fn check_idempotency_key(&self, call: &ServiceCall) -> Result<()> {
        match call.idempotency_key.as_deref() {
            None | Some("") => Err(Error::invalid(
                "this route needs the header idempotency-key",
            )),
            Some(key) => self.claims.check_key(key),
        }
    }

    /// Runs a non-repeatable call at most once. It continues when the caller goes away, so that its outcome is kept.
    async fn call_once(self: &Arc<Self>, job: ServiceJob<ChargeOf<P>>) -> Result<ServiceAnswer> {
        let (sender, receiver) = oneshot::channel();
        let dispatcher = self.clone();
        self.core.group.spawn(crate::logging::scope_request_id(
            job.call.id.clone(),
            async move {
                // The caller may have gone away.
                let _ = sender.send(dispatcher.run_once(job).await);
            },
        ));
        receiver.await.unwrap_or_else(|_| {
            Err(Error::internal("the call ended without an answer")
                .with_verdict(RunVerdict::MayHaveRun))
        })
    }

    async fn run_once(&self, job: ServiceJob<ChargeOf<P>>) -> Result<ServiceAnswer> {
        let key = claim_key(&job);
        let asked = Instant::now();
        let verdict = self.claims.claim(key, body_digest(&job.call)).await;
        self.core
            .note_stage(&job.call.id, RequestStage::Claim, asked);
        let claim = match verdict? {
            ClaimVerdict::Granted(claim) => claim,
            ClaimVerdict::Recorded(outcome) => return recorded_answer(outcome),
        };
        let claim = ClaimGuard {
            claims: &*self.claims,
            claim: Some(claim),
            sent: &job.sent,
        };
        let result = self.call_any(&job, MAX_ATTEMPTS).await;
        claim.end(&result);
        result
    }

    /// Calls one server of the group after another until one answers. After a failure in which the call may
    /// have run, another server is tried only if the route is repeatable.
    async fn call_any(
        &self,
        job: &ServiceJob<ChargeOf<P>>,
        max_attempts: usize,
    ) -> Result<ServiceAnswer> {
        let mut avoid = Vec::new();
        let mut verdict = RunVerdict::NotRun;
        loop {
            let tried = avoid.len();
            let result = self.call_one(job, &mut avoid).await;
            let error = match result {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if error.verdict() != RunVerdict::NotRun {
                verdict = error.verdict();
            }
            let stop = verdict != RunVerdict::NotRun && !job.route.repeatable;
            // If no server was tried, none was free or the key may no longer be used: another attempt would not help.
            let exhausted = avoid.len() >= max_attempts || avoid.len() == tried;
            if stop || exhausted || !self.core.try_retry() {
                return Err(error.with_verdict(verdict));
            }
        }
    }

    async fn call_one(
        &self,
        job: &ServiceJob<ChargeOf<P>>,
        avoid: &mut Vec<SmolStr>,
    ) -> Result<ServiceAnswer> {
        let asked = Instant::now();
        let (name, address, _guard) = self.wait_for_service(&job.group, avoid).await?;
        self.core
            .note_stage(&job.call.id, RequestStage::Queue, asked);
        self.core
            .history
            .update(&job.call.id, |record| record.add_server(name.clone()));
        // The key may have been withdrawn during the claim, the wait or a pause of this process.
        self.gate.recheck(&job.grant)?;
        let sent = Instant::now();
        job.sent.store(true, Ordering::Relaxed);
        let result = self.service.call(address, service_request(&job.call)).await;
        self.core
            .note_stage(&job.call.id, RequestStage::FirstToken, sent);
        match &result {
            Ok(_) => self.core.clear_suspect(&job.fingerprint),
            Err(error) => {
                if error.verdict() == RunVerdict::NotRun {
                    job.sent.store(false, Ordering::Relaxed);
                }
                self.core.queues.fleet().call_failed(&name);
                let broken = error.category() == Category::Unavailable;
                if broken
                    && error.verdict() == RunVerdict::MayHaveRun
                    && refuses_connections(address).await
                {
                    self.core.record_death(job.fingerprint, self.quarantine());
                }
                avoid.push(name);
            }
        }
        result
    }

    async fn wait_for_service(
        &self,
        group: &str,
        avoid: &[SmolStr],
    ) -> Result<(SmolStr, std::net::SocketAddr, crate::routing::DispatchGuard)> {
        let until = Instant::now() + SERVICE_WAIT;
        loop {
            let fleet = self.core.queues.fleet().snapshot();
            if let Some(position) = fleet.choose_service(group, &self.zone, avoid) {
                let view = &fleet.views()[position];
                return Ok((
                    view.name.clone(),
                    view.address,
                    fleet.handle(position).begin(),
                ));
            }
            if Instant::now() >= until {
                let message = format!("no server of `{group}` is free");
                return Err(Error::new(Category::Overloaded, message)
                    .with_retry_after(Duration::from_secs(1)));
            }
            tokio::time::sleep(SERVICE_POLL).await;
        }
    }
}

/// Returns whether a service died: nothing listens on its address any more. Otherwise its answer was lost on the way.
async fn refuses_connections(address: SocketAddr) -> bool {
    let probe = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(probe, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Returns the parts of a call that reach a backend server.
fn sent_parts(call: &ServiceCall) -> Vec<&[u8]> {
    let headers = FORWARDED_HEADERS
        .iter()
        .flat_map(|name| call.headers.get_all(name));
    let mut parts: Vec<&[u8]> = headers.map(|value| value.as_bytes()).collect();
    parts.push(call.path.as_bytes());
    parts.push(&call.body);
    parts
}

fn service_request(call: &ServiceCall) -> ServiceRequest {
    let mut headers = HeaderMap::new();
    for name in &FORWARDED_HEADERS {
        for value in call.headers.get_all(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    ServiceRequest {
        id: call.id.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
    }
}

fn claim_key<C>(job: &ServiceJob<C>) -> ClaimKey {
    let key = job.call.idempotency_key.as_deref().unwrap_or_default();
    ClaimKey {
        team: job.grant.team().cloned().unwrap_or_default(),
        key: KeyDigest::of(format!("{}\0{key}", job.route.name).as_bytes()),
    }
}

fn body_digest(call: &ServiceCall) -> KeyDigest {
    let mut text = format!("{} {}\0", call.method, call.path).into_bytes();
    text.extend_from_slice(&call.body);
    KeyDigest::of(&text)
}

fn outcome_of(answer: &ServiceAnswer) -> ClaimOutcome {
    let content_type = answer
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let keep = answer.body.len() <= MAX_RECORDED_BODY;
    ClaimOutcome {
        status: answer.status.as_u16(),
        content_type: content_type.map(|text| text.to_smolstr()),
        body: keep.then(|| answer.body.clone()),
    }
}

/// Returns the answer of a service, unless its status promises what the service does not state.
fn checked_answer(answer: ServiceAnswer) -> Result<ServiceAnswer> {
    let status = answer.status;
    if wire::is_promise(status) && !wire::states_not_run(&answer.body) {
        return Err(wire::unkept_promise(status));
    }
    Ok(answer)
}

fn recorded_answer(outcome: ClaimOutcome) -> Result<ServiceAnswer> {
    let Some(body) = outcome.body else {
        let message = format!(
            "the request ran before with status {}; its answer was too large to be recorded",
            outcome.status
        );
        return Err(Error::new(Category::Conflict, message).with_verdict(RunVerdict::Ran));
    };
    let status = http::StatusCode::from_u16(outcome.status)
        .map_err(|_| Error::internal("the recorded status is not valid"))?;
    let mut headers = HeaderMap::new();
    let content_type = outcome.content_type.and_then(|text| text.parse().ok());
    if let Some(value) = content_type {
        headers.insert(CONTENT_TYPE, value);
    }
    Ok(ServiceAnswer {
        status,
        headers,
        body,
    })
}
