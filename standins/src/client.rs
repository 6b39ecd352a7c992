//! Small HTTP/1.1 client with JSON bodies, for stand-ins, the test cluster and tests.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::CallerAnswer;
use bytes::Bytes;
use eyre::{WrapErr, ensure};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

/// Client that opens connections on demand and reuses them.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl JsonClient {
    /// Creates a client whose calls take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            timeout,
        }
    }

    /// Sends a request and returns the status and the whole body.
    pub async fn send(
        &self,
        method: Method,
        server: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> eyre::Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{server}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(body.into())?;
        let answer = self.request(request).await?;
        Ok((answer.status, answer.body))
    }

    /// Sends any request and reads the whole answer.
    pub async fn request(&self, request: Request<Bytes>) -> eyre::Result<CallerAnswer> {
        let uri = request.uri().clone();
        let exchange = async {
            let response = self.client.request(request.map(Full::new)).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, eyre::Report>(CallerAnswer {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .wrap_err_with(|| format!("no answer from {uri} within {:?}", self.timeout))?
    }

    /// Gets a JSON document; statuses other than 2xx are errors.
    pub async fn get<T: DeserializeOwned>(
        &self,
        server: SocketAddr,
        path: &str,
    ) -> eyre::Result<T> {
        let (status, body) = self.send(Method::GET, server, path, Bytes::new()).await?;
        ensure!(status.is_success(), "{server}{path} answered {status}");
        serde_json::from_slice(&body)
            .wrap_err_with(|| format!("answer of {server}{path} has an unexpected form"))
    }

    /// Posts a JSON document and returns the body of the answer; statuses other than 2xx are errors.
    pub async fn post<T: serde::Serialize>(
        &self,
        server: SocketAddr,
        path: &str,
        body: &T,
    ) -> eyre::Result<Bytes> {
        let body = serde_json::to_vec(body)?;
        let (status, body) = self.send(Method::POST, server, path, body).await?;
        ensure!(status.is_success(), "{server}{path} answered {status}");
        Ok(body)
    }
}
