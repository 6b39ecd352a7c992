//! HTTP/1.1 server shared by the stand-ins, whose handlers can close a connection without an answer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::Router;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use foxtailhill::kernel::TaskGroup;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tower::ServiceExt;

/// Locks a mutex and ignores poisoning, as the data stays valid after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Closes the connection of one request without an answer. Handlers find it in the request's extensions.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionCloser {
    notify: Arc<Notify>,
}

impl ConnectionCloser {
    /// Closes the connection. Never returns, because the server drops the handler.
    pub(crate) async fn close_unanswered(&self) -> Response {
        self.close();
        std::future::pending().await
    }

    /// Requests the close and returns at once.
    pub(crate) fn close(&self) {
        self.notify.notify_one();
    }
}

/// A running server. Dropping it closes the listener and all connections.
pub(crate) struct RunningServer {
    address: SocketAddr,
    group: TaskGroup,
}

impl RunningServer {
    /// Binds `address` and serves `router` on it in `group`.
    pub(crate) async fn open(
        address: SocketAddr,
        router: Router,
        group: TaskGroup,
    ) -> std::io::Result<Self> {
        let address = listen(address, router, &group).await?;
        Ok(Self { address, group })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the group of all tasks of the stand-in.
    pub(crate) fn group(&self) -> &TaskGroup {
        &self.group
    }

    /// Closes everything and joins the tasks.
    pub(crate) async fn shutdown(self) {
        self.group.shutdown().await;
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.group.cancel();
    }
}

/// Binds `address`, serves `router` on it in `group` and returns the bound address.
pub(crate) async fn listen(
    address: SocketAddr,
    router: Router,
    group: &TaskGroup,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    group.spawn_cancellable(accept(listener, router, group.clone()));
    Ok(address)
}

async fn accept(listener: TcpListener, router: Router, group: TaskGroup) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => group.spawn_cancellable(serve(stream, router.clone())),
            // Accepting fails while no file descriptor is free; closed connections release theirs.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    }
}

async fn serve(stream: TcpStream, router: Router) {
    // With Nagle's algorithm, small chunks would wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let closer = ConnectionCloser::default();
    let extension = closer.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        let mut request = request.map(Body::new);
        request.extensions_mut().insert(extension.clone());
        async move { Ok::<_, Infallible>(router.oneshot(request).await.into_response()) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = closer.notify.notified() => {}
    }
}

/// Builds the answer to a refused request; `not_run` states that the request had no effect.
pub(crate) fn refusal(status: StatusCode, message: &str, not_run: bool) -> Response {
    let body = json!({"error": {"message": message, "not_run": not_run}});
    (status, axum::Json(body)).into_response()
}
