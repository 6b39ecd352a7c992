//! Caller-facing server: HTTP/1.1 and HTTP/2 on one port.
//!
//! Model calls and the list of models have the shape of the OpenAI protocol; every other path is a call to a
//! plain service. Each refusal carries a category and says whether the request may have run.

mod answer;
pub(crate) mod body;
pub(crate) mod connection;
pub(crate) mod connections;
mod exchange;
pub(crate) mod input;
mod refusal;
pub(crate) mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use axum::routing::{get, post};
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use smol_str::SmolStr;

pub use self::input::{CLASS_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER};
pub use self::refusal::REQUEST_ID_HEADER;
use crate::dispatch::{CallDispatcher, HeadTarget, ServiceCall};
use crate::error::{Category, Error, Result};
use crate::history::{RequestHistory, RequestStage};
use crate::http::answer::ChatFormat;
use crate::http::connection::{HttpListener, ListenerSettings};
use crate::http::exchange::{EdgeState, Exchange};
use crate::http::refusal::Refusal;
use crate::http::state::OpenRequest;
use crate::kernel::TaskGroup;
use crate::logging;
use crate::metrics::{DaemonMetrics, RouteKind};
use crate::settings::LimitSettings;

/// Settings and shared objects of a [`CallerServer`].
#[derive(Clone)]
pub struct CallerSettings {
    pub limits: LimitSettings,
    pub history: Arc<RequestHistory>,
    pub metrics: Arc<DaemonMetrics>,
}

/// The running caller-facing server.
pub struct CallerServer {
    listener: HttpListener,
}

impl CallerServer {
    /// Binds `address` and serves callers with `dispatcher`; connections are tasks of `group`.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the address cannot be bound.
    pub async fn bind<D: CallDispatcher>(
        group: &TaskGroup,
        address: SocketAddr,
        settings: CallerSettings,
        dispatcher: Arc<D>,
    ) -> Result<Self> {
        let account = settings.limits.account();
        let listener = ListenerSettings::new(&settings.limits, &settings.metrics)
            .with_account(&account, refuse_unrecorded);
        let edge = Arc::new(EdgeState::new(group, settings, account, dispatcher));
        let router = Router::new()
            .route(
                "/v1/chat/completions",
                post(chat::<D>).fallback(method_not_allowed::<D>),
            )
            .route(
                "/v1/models",
                get(models::<D>).fallback(method_not_allowed::<D>),
            )
            .fallback(service::<D>)
            .with_state(edge);
        let listener = HttpListener::bind(group, address, listener, router).await?;
        Ok(Self { listener })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops accepting, sends GOAWAY and waits without time limit until all requests have ended.
    pub async fn drain(&self) {
        self.listener.drain().await;
    }
}

type Edge<D> = Arc<EdgeState<D>>;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: SmolStr,
    object: &'static str,
    owned_by: &'static str,
}

async fn chat<D: CallDispatcher>(State(edge): State<Edge<D>>, request: Request) -> Response {
    let exchange = edge.begin(RouteKind::Model, request.uri().path());
    let id = exchange.id.clone();
    let answer = async {
        let mut exchange = exchange;
        match model_call(&edge, &mut exchange, request).await {
            Ok((format, tokens)) if !format.stream => {
                match collect_tokens(&exchange, format, tokens).await {
                    Ok((body, write_time)) => {
                        json_response(answer::whole_body(&edge.group, exchange, body, write_time))
                    }
                    Err(error) => refuse(exchange, error.into()),
                }
            }
            Ok((format, tokens)) => answer::stream_events(&edge.group, exchange, format, tokens),
            Err(refusal) => refuse(exchange, refusal),
        }
    };
    with_request_id(logging::scope_request_id(id.clone(), answer).await, &id)
}

async fn model_call<D: CallDispatcher>(
    edge: &EdgeState<D>,
    exchange: &mut Exchange,
    request: Request,
) -> std::result::Result<(ChatFormat, D::Tokens), Refusal> {
    let (mut parts, body) = request.into_parts();
    let key = input::take_key(&mut parts.headers, &parts.uri)?;
    let key_text = key.as_deref();
    let body = receive_body(edge, exchange, &parts, body, HeadTarget::Model, key_text).await?;
    let input = input::parse_chat(&exchange.id, key, &parts.headers, &body)?;
    drop(body);
    let model = input.call.model.clone();
    exchange.set_target(model.clone());
    let started = Instant::now();
    let result = edge.dispatcher.model_call(input.call).await;
    exchange.add_stage(RequestStage::Dispatch, started);
    let (usage, tokens) = result?;
    let format = ChatFormat {
        model,
        stream: input.stream,
        include_usage: input.include_usage,
        usage,
        write_time: edge.limits.write_time,
    };
    Ok((format, tokens))
}

async fn collect_tokens<S>(
    exchange: &Exchange,
    mut format: ChatFormat,
    tokens: S,
) -> Result<(bytes::Bytes, std::time::Duration)>
where
    S: futures_util::Stream<Item = Result<crate::engine::EngineChunk>> + Unpin,
{
    let started = Instant::now();
    let result = answer::collect_answer(exchange, &mut format, tokens).await;
    exchange.add_stage(RequestStage::Stream, started);
    Ok((result?, format.write_time))
}

/// Admits a request and reads its body. What its head shows to be refused is refused before that.
async fn receive_body<D: CallDispatcher>(
    edge: &EdgeState<D>,
    exchange: &mut Exchange,
    parts: &Parts,
    body: Body,
    target: HeadTarget<'_>,
    key: Option<&str>,
) -> std::result::Result<bytes::Bytes, Refusal> {
    edge.check_admission()?;
    let open = parts.extensions.get::<OpenRequest>();
    let open = open.ok_or_else(|| Error::internal("the request has no connection"))?;
    let reader = edge.reader(open);
    if let Err(error) = edge.dispatcher.check_head(target, key) {
        reader.discard(&parts.headers, body).await;
        return Err(error.into());
    }
    let started = Instant::now();
    let result = body::read_body(&parts.headers, body, &reader).await;
    exchange.add_stage(RequestStage::Receive, started);
    let body = result.map_err(|fault| input::refuse_body(fault, &edge.limits))?;
    // A request is in flight once its body has arrived: slow bodies must not take the places of others.
    edge.admit(exchange)?;
    Ok(body)
}

async fn models<D: CallDispatcher>(State(edge): State<Edge<D>>, request: Request) -> Response {
    let exchange = edge.begin(RouteKind::Models, request.uri().path());
    let id = exchange.id.clone();
    let response = match list_models(&edge, request) {
        Ok(body) => json_response(answer::whole_body(
            &edge.group,
            exchange,
            body.into(),
            edge.limits.write_time,
        )),
        Err(error) => refuse(exchange, error.into()),
    };
    with_request_id(response, &id)
}

fn list_models<D: CallDispatcher>(edge: &EdgeState<D>, request: Request) -> Result<Vec<u8>> {
    let (mut parts, _) = request.into_parts();
    let key = input::take_key(&mut parts.headers, &parts.uri)?;
    let names = edge.dispatcher.models(key.as_deref())?;
    let entry = |id| ModelEntry {
        id,
        object: "model",
        owned_by: "foxtailhill",
    };
    let list = ModelList {
        object: "list",
        data: names.into_iter().map(entry).collect(),
    };
    serde_json::to_vec(&list)
        .map_err(|error| Error::internal(format!("cannot encode the answer: {error}")))
}

async fn service<D: CallDispatcher>(State(edge): State<Edge<D>>, request: Request) -> Response {
    let exchange = edge.begin(RouteKind::Service, request.uri().path());
    let id = exchange.id.clone();
    let answer = async {
        let mut exchange = exchange;
        match service_call(&edge, &mut exchange, request).await {
            Ok(answer) => {
                answer::service_response(&edge.group, exchange, answer, edge.limits.write_time)
            }
            Err(refusal) => refuse(exchange, refusal),
        }
    };
    with_request_id(logging::scope_request_id(id.clone(), answer).await, &id)
}

async fn service_call<D: CallDispatcher>(
    edge: &EdgeState<D>,
    exchange: &mut Exchange,
    request: Request,
) -> std::result::Result<crate::engine::ServiceAnswer, Refusal> {
    let (mut parts, body) = request.into_parts();
    let key = input::take_key(&mut parts.headers, &parts.uri)?;
    let path = input::service_path(&parts.uri)?;
    let idempotency_key = input::idempotency_key(&parts.headers)?;
    let target = HeadTarget::Service(&path);
    let body = receive_body(edge, exchange, &parts, body, target, key.as_deref()).await?;
    let call = ServiceCall {
        id: exchange.id.clone(),
        key,
        method: parts.method,
        path,
        headers: parts.headers,
        idempotency_key,
        body,
    };
    let started = Instant::now();
    let result = edge.dispatcher.service_call(call).await;
    exchange.add_stage(RequestStage::Dispatch, started);
    result.map_err(|error| match error.category() {
        // The input is well-formed here; it contradicts an earlier call or the route's rules.
        Category::Invalid => Refusal::new(StatusCode::UNPROCESSABLE_ENTITY, error),
        _ => error.into(),
    })
}

async fn method_not_allowed<D: CallDispatcher>(
    State(edge): State<Edge<D>>,
    request: Request,
) -> Response {
    let exchange = edge.begin(RouteKind::Model, request.uri().path());
    let id = exchange.id.clone();
    let error = Error::invalid("method is not supported on this path");
    let refusal = Refusal::new(StatusCode::METHOD_NOT_ALLOWED, error);
    with_request_id(refuse(exchange, refusal), &id)
}

/// Refuses a request that there is no memory to keep a record of.
fn refuse_unrecorded(error: &Error) -> Response {
    let id = exchange::new_request_id();
    let response = Refusal::from(error.clone()).response(&id);
    with_request_id(response, &id)
}

fn refuse(exchange: Exchange, refusal: Refusal) -> Response {
    let response = refusal.response(&exchange.id);
    exchange.fail(&refusal.error);
    response
}

fn json_response(body: Body) -> Response {
    let mut response = Response::new(body);
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

fn with_request_id(mut response: Response, id: &str) -> Response {
    // Request ids are hexadecimal digits and therefore always valid.
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
