//! HTTP servers for callers of opaque requests and for the readiness check of the load balancer.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::Frame;
use tokio::sync::mpsc;

use crate::dispatch::{CoreParts, WorkTime};
use crate::error::{Category, Error, Result, RunVerdict};
use crate::http::body::{self, BodyFault, BodyReader};
use crate::http::connection::{HttpListener, ListenerSettings};
use crate::http::state::{ConnectionEnd, OpenRequest};
use crate::kernel::TaskGroup;
use crate::logging;
use crate::metrics::{DaemonMetrics, RouteKind};
use crate::relay::dispatcher::{RelayAnswer, RelayBody, RelayDispatcher};
use crate::relay::format::RelayFormat;
use crate::relay::request::RelayPiece;
use crate::relay::trace::RequestTrace;
use crate::settings::LimitSettings;

/// The running caller-facing server.
pub struct RelayServer {
    listener: HttpListener,
}

struct ServerContext<P: CoreParts, F> {
    dispatcher: Arc<RelayDispatcher<P, F>>,
    limits: LimitSettings,
    /// Set while the daemon shuts down, so that callers open their next connection to another daemon.
    draining: Arc<AtomicBool>,
}

impl RelayServer {
    /// Binds `address` and serves callers with `dispatcher`. Connections run as tasks of `group`. While `draining` is
    /// set, answers contain `Connection: close`.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the address cannot be bound.
    pub async fn bind<P: CoreParts, F: RelayFormat>(
        group: &TaskGroup,
        address: SocketAddr,
        limits: &LimitSettings,
        dispatcher: Arc<RelayDispatcher<P, F>>,
        draining: Arc<AtomicBool>,
    ) -> Result<Self> {
        let listener = ListenerSettings::new(limits, dispatcher.core().metrics())
            .with_account(dispatcher.memory(), error_response);
        let context = Arc::new(ServerContext {
            dispatcher,
            limits: limits.clone(),
            draining,
        });
        let router = Router::new().fallback(serve::<P, F>).with_state(context);
        let listener = HttpListener::bind(group, address, listener, router).await?;
        Ok(Self { listener })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops accepting connections and waits until all requests have ended, without a time limit.
    pub async fn drain(&self) {
        self.listener.drain().await;
    }
}

async fn serve<P: CoreParts, F: RelayFormat>(
    State(context): State<Arc<ServerContext<P, F>>>,
    request: Request,
) -> Response {
    let mut response = handle(&context, request).await;
    if context.draining.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn handle<P: CoreParts, F: RelayFormat>(
    context: &ServerContext<P, F>,
    request: Request,
) -> Response {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = match context.dispatcher.read_metadata(&head) {
        Ok(metadata) => metadata,
        Err(error) => {
            let metrics = context.dispatcher.core().metrics();
            metrics.finish_request(RouteKind::Relay, Some(&error));
            log::debug!("request refused because of its headers: {error}");
            return error_response(&error);
        }
    };
    let connection = head.extensions.get::<ConnectionEnd>();
    // Both are set by the connection that the request came on.
    let open = head.extensions.get::<OpenRequest>().cloned();
    let id = metadata.id.clone();
    let mut trace = RequestTrace::begin(
        context.dispatcher.core(),
        context.dispatcher.configs(),
        connection.cloned().unwrap_or_default(),
        id.clone(),
        head.uri.path(),
        arrived,
    );
    let call = async {
        let dispatcher = &context.dispatcher;
        let open = open.ok_or_else(|| Error::internal("the request has no connection"))?;
        let reader = BodyReader {
            limits: &context.limits,
            account: dispatcher.memory(),
            metrics: dispatcher.core().metrics(),
            request: &open,
        };
        let attribution = trace.attribution_mut();
        if let Err(error) = dispatcher.check_head(&head, &metadata, attribution) {
            reader.discard(&head.headers, body).await;
            return Err(error);
        }
        let body = receive_body(&head.headers, body, &reader);
        let drain = dispatcher.core().drain_clock();
        let body = drain.run_unsent(|| WorkTime::NONE, body).await?;
        trace.note_received();
        dispatcher
            .call(head, metadata, body, arrived, trace.attribution_mut())
            .await
    };
    let result = logging::scope_request_id(id, call).await;
    trace.record_team();
    match result {
        Ok(answer) => forwarded_response(answer, trace),
        Err(error) => {
            trace.fail(&error);
            error_response(&error)
        }
    }
}

async fn receive_body(headers: &HeaderMap, body: Body, reader: &BodyReader<'_>) -> Result<Bytes> {
    let limit = reader.limits.body_bytes;
    let received = body::read_body(headers, body, reader).await;
    received.map_err(|fault| match fault {
        BodyFault::TooLarge => Error::new(
            Category::TooLarge,
            format!("the request body is longer than {limit} bytes"),
        ),
        BodyFault::NoMemory => body::no_memory(),
        BodyFault::Displaced => body::displaced(),
        BodyFault::TooSlow => {
            Error::new(Category::Timeout, "the request body did not arrive in time")
        }
        BodyFault::Stalled => {
            let message = "no byte of the request body arrived for too long";
            Error::new(Category::Timeout, message)
        }
        BodyFault::Unreadable(error) => {
            Error::invalid(format!("the request body cannot be read: {error}"))
        }
    })
}

fn forwarded_response(answer: RelayAnswer, mut trace: RequestTrace) -> Response {
    trace.record_first_piece(answer.head.status);
    let body = match answer.body {
        RelayBody::Whole(bytes) => {
            trace.complete();
            Body::from(bytes)
        }
        RelayBody::Stream(pieces) => Body::new(StreamBody { pieces, trace }),
    };
    let mut response = Response::new(body);
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = answer.head.headers;
    response
}

/// Builds the answer to a request that failed.
fn error_response(error: &Error) -> Response {
    let mut response = Response::new(Body::from(format!("{error}\n")));
    *response.status_mut() = status_of(error);
    let headers = response.headers_mut();
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(CONTENT_TYPE, text);
    if let (RunVerdict::NotRun, Some(wait)) = (error.verdict(), error.retry_after()) {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns the status of an error. Statuses which state that the request has not run are used only for that verdict.
fn status_of(error: &Error) -> StatusCode {
    if error.verdict() != RunVerdict::NotRun {
        return match error.category() {
            Category::Timeout => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
    }
    match error.category() {
        Category::Invalid => StatusCode::BAD_REQUEST,
        Category::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Category::Unauthenticated => StatusCode::UNAUTHORIZED,
        Category::Forbidden => StatusCode::FORBIDDEN,
        Category::NotFound => StatusCode::NOT_FOUND,
        Category::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The body of a streamed answer. A stream that ends without its last piece breaks the connection, so that the caller
/// does not take it for complete.
struct StreamBody {
    pieces: mpsc::Receiver<Result<RelayPiece>>,
    trace: RequestTrace,
}

impl http_body::Body for StreamBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let piece = std::task::ready!(self.pieces.poll_recv(cx));
        Poll::Ready(match piece {
            Some(Ok(RelayPiece::Data(bytes))) => Some(Ok(Frame::data(bytes))),
            Some(Ok(RelayPiece::End)) => {
                self.trace.complete();
                None
            }
            Some(Err(error)) => {
                self.trace.fail(&error);
                Some(Err(error))
            }
            Some(Ok(RelayPiece::Head(_) | RelayPiece::Whole { .. })) | None => {
                let error = Error::internal("the request ended before its answer was complete")
                    .with_verdict(RunVerdict::MayHaveRun);
                self.trace.fail(&error);
                Some(Err(error))
            }
        })
    }
}

/// Serves the readiness check of the load balancer at `path`: 200 while `is_ready` returns true, otherwise 503.
///
/// # Errors
///
/// `Unavailable` if the address cannot be bound.
pub async fn bind_readiness(
    group: &TaskGroup,
    address: SocketAddr,
    path: &str,
    limits: &LimitSettings,
    metrics: &Arc<DaemonMetrics>,
    is_ready: impl Fn() -> bool + Clone + Send + Sync + 'static,
) -> Result<()> {
    let answer = move || {
        let is_ready = is_ready.clone();
        async move {
            match is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }
        }
    };
    let router = Router::new().route(path, axum::routing::get(answer));
    let listener = ListenerSettings::new(limits, metrics);
    HttpListener::bind(group, address, listener, router).await?;
    Ok(())
}
