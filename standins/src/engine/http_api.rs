//! HTTP interface of a stand-in engine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use foxtailhill::engine::{
    CacheEvent, EngineOrder, LoadReport, OrderReply, ResidentItem, prefix_hashes,
};
use http::{StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::UnboundedReceiverStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::batch::{Sequence, SequenceEvent};
use crate::engine::journal::{EngineJournal, RunOutcome, RunRecord};
use crate::engine::options::{EngineFault, OrderFault};
use crate::engine::{EngineState, load_item};
use crate::record::ReceivedRequest;
use crate::serve::{ConnectionCloser, lock, refusal};
use crate::tokens::AnswerScript;

pub(super) fn router(state: Arc<EngineState>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(create_completion))
        .route("/load", get(load))
        .route("/cache/events", get(cache_events))
        .route("/orders", post(order))
        .route("/role", post(set_role))
        .route("/kv/{id}", get(export_kv))
        .route("/kv", post(import_kv))
        .route("/control/faults", post(push_fault))
        .route("/control/order_faults", post(push_order_fault))
        .route("/control/leaving", post(mark_leaving))
        .route("/control/crash", post(crash))
        .route("/control/journal", get(journal))
        .route("/control/received", get(received))
        .with_state(state)
}

#[derive(Deserialize)]
struct CompletionBody<'a> {
    request_id: SmolStr,
    model: SmolStr,
    version: SmolStr,
    #[serde(default)]
    adapter: Option<SmolStr>,
    #[serde(borrow)]
    messages: &'a RawValue,
    max_tokens: u32,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume: Vec<SmolStr>,
}

async fn create_completion(
    State(state): State<Arc<EngineState>>,
    Extension(closer): Extension<ConnectionCloser>,
    request: ReceivedRequest,
) -> Response {
    state.received.push(request.clone());
    let body: CompletionBody<'_> = match serde_json::from_slice(&request.body) {
        Ok(body) => body,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string(), true),
    };
    let fault = lock(&state.faults).pop_front();
    if fault == Some(EngineFault::Refuse) {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, "engine refuses", true);
    }
    let events = match enqueue(&state, &body, fault) {
        Ok(events) => events,
        Err(refused) => return refused,
    };
    match fault {
        Some(EngineFault::Late { ms }) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Some(EngineFault::Lost) => return closer.close_unanswered().await,
        Some(EngineFault::Fail { status }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            return refusal(status, "engine failed", false);
        }
        _ => {}
    }
    stream_answer(events, closer)
}

#[allow(clippy::result_large_err)]
fn enqueue(
    state: &EngineState,
    body: &CompletionBody<'_>,
    fault: Option<EngineFault>,
) -> Result<mpsc::UnboundedReceiver<SequenceEvent>, Response> {
    let mut batch = lock(&state.batch);
    if batch.waiting.len() >= state.options.queue_limit {
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Err(refusal(status, "engine queue is full", true));
    }
    let pinned = lock(&state.memory).pin(&body.model, &body.version, body.adapter.as_deref());
    let pinned_items = pinned.map_err(|missing| refusal(StatusCode::NOT_FOUND, &missing, true))?;
    let (sender, events) = mpsc::unbounded_channel();
    let sequence = new_sequence(state, body, fault, pinned_items, sender);
    lock(&state.exports).insert(body.request_id.clone(), sequence.prefixes.clone());
    batch.waiting.push(sequence);
    drop(batch);
    state.wake.notify_one();
    Ok(events)
}

/// Records a request in the journal and prepares it for the batch.
fn new_sequence(
    state: &EngineState,
    body: &CompletionBody<'_>,
    fault: Option<EngineFault>,
    pinned_items: Vec<ResidentItem>,
    events: mpsc::UnboundedSender<SequenceEvent>,
) -> Sequence {
    let messages = body.messages.get().as_bytes();
    let adapter = body.adapter.as_deref();
    let script = AnswerScript::new(&body.model, &body.version, adapter, messages);
    let first_index = body.resume.len() as u32;
    let resume_matches = (0..).zip(&body.resume);
    let mut resume_matches = resume_matches.map(|(index, token)| script.token(index) == *token);
    let run = RunRecord {
        request_id: body.request_id.clone(),
        model: body.model.clone(),
        version: body.version.clone(),
        adapter: body.adapter.clone(),
        priority: body.priority,
        messages_hash: xxh3_64(messages),
        started: false,
        prefilled: 0,
        first_index,
        next_index: first_index,
        resume_matches: resume_matches.all(|matches| matches),
        outcome: RunOutcome::Open,
    };
    let mut journal = lock(&state.journal);
    journal.runs.push(run);
    Sequence {
        id: body.request_id.clone(),
        model: body.model.clone(),
        script,
        next_index: first_index,
        max_tokens: body.max_tokens,
        priority: body.priority,
        remaining_prefill: script.prompt_tokens() + first_index,
        prefixes: prefix_hashes(&body.model, &body.version, body.adapter.as_ref(), messages),
        pinned_items,
        crashes_engine: body.messages.get().contains(&state.options.poison),
        fault,
        run_index: journal.runs.len() - 1,
        events,
        detached: fault == Some(EngineFault::Lost),
    }
}

fn stream_answer(
    events: mpsc::UnboundedReceiver<SequenceEvent>,
    closer: ConnectionCloser,
) -> Response {
    let events = UnboundedReceiverStream::new(events).then(move |event| {
        let closer = closer.clone();
        async move {
            match event {
                SequenceEvent::Data(data) => Ok(data),
                SequenceEvent::Break => {
                    // The server flushes earlier chunks only when the body stream is pending.
                    tokio::task::yield_now().await;
                    closer.close();
                    Err(std::io::Error::other(
                        "connection closed by an injected fault",
                    ))
                }
            }
        }
    });
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(events)).into_response()
}

async fn load(State(state): State<Arc<EngineState>>) -> Json<LoadReport> {
    Json(lock(&state.reports).newest_older_than(state.options.report_lag))
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

async fn cache_events(
    State(state): State<Arc<EngineState>>,
    Query(query): Query<EventsQuery>,
) -> Json<Vec<CacheEvent>> {
    Json(lock(&state.cache).events(query.from))
}

async fn order(
    State(state): State<Arc<EngineState>>,
    Extension(closer): Extension<ConnectionCloser>,
    request: ReceivedRequest,
) -> Response {
    state.received.push(request.clone());
    let order: EngineOrder = match serde_json::from_slice(&request.body) {
        Ok(order) => order,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string(), true),
    };
    let fault = lock(&state.order_faults).pop_front();
    let reply = match fault {
        Some(OrderFault::Lose) => return closer.close_unanswered().await,
        Some(OrderFault::Refuse) => {
            lock(&state.memory).record(&order, OrderReply::Refused);
            OrderReply::Refused
        }
        Some(OrderFault::Delay { ms }) => {
            let delayed_state = state.clone();
            state.group.spawn_cancellable(async move {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                execute_order(&delayed_state, order);
            });
            return closer.close_unanswered().await;
        }
        Some(OrderFault::LoseAnswer) => {
            execute_order(&state, order);
            return closer.close_unanswered().await;
        }
        None => execute_order(&state, order),
    };
    Json(json!({"reply": reply})).into_response()
}

fn execute_order(state: &Arc<EngineState>, order: EngineOrder) -> OrderReply {
    let (reply, start_load) = lock(&state.memory).order(&order);
    if start_load {
        let load = load_item(state.clone(), order.action);
        state.group.spawn_cancellable(load);
    }
    reply
}

#[derive(Deserialize)]
struct RoleOrder {
    fence: u64,
    role: SmolStr,
}

async fn set_role(
    State(state): State<Arc<EngineState>>,
    Json(order): Json<RoleOrder>,
) -> Json<serde_json::Value> {
    if !lock(&state.memory).check_fence(order.fence) {
        return Json(json!({"reply": OrderReply::Fenced}));
    }
    lock(&state.journal).role = Some(order.role);
    Json(json!({"reply": OrderReply::Done}))
}

/// KV cache of one request, represented by the hashes of its prompt blocks.
#[derive(Serialize, Deserialize)]
struct KvExport {
    prefixes: Vec<u64>,
}

async fn export_kv(State(state): State<Arc<EngineState>>, Path(id): Path<SmolStr>) -> Response {
    let exports = lock(&state.exports);
    match exports.by_id.get(&id) {
        Some(prefixes) => Json(KvExport {
            prefixes: prefixes.clone(),
        })
        .into_response(),
        None => refusal(
            StatusCode::NOT_FOUND,
            "no KV cache is kept for this request",
            true,
        ),
    }
}

async fn import_kv(State(state): State<Arc<EngineState>>, Json(export): Json<KvExport>) {
    lock(&state.cache).insert(&export.prefixes);
}

async fn push_fault(State(state): State<Arc<EngineState>>, Json(fault): Json<EngineFault>) {
    lock(&state.faults).push_back(fault);
}

async fn push_order_fault(State(state): State<Arc<EngineState>>, Json(fault): Json<OrderFault>) {
    lock(&state.order_faults).push_back(fault);
}

async fn mark_leaving(State(state): State<Arc<EngineState>>) {
    state.leaving.store(true, Ordering::Relaxed);
}

async fn crash(State(state): State<Arc<EngineState>>) {
    state.crash();
}

async fn journal(State(state): State<Arc<EngineState>>) -> Json<EngineJournal> {
    Json(state.journal())
}

async fn received(State(state): State<Arc<EngineState>>) -> Json<Vec<ReceivedRequest>> {
    Json(state.received.all())
}
