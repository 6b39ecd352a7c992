//! HTTP adapter of plain services.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use http::header::{self, HeaderName, HeaderValue};

use crate::engine::{ServiceAnswer, ServiceClient, ServiceRequest};
use crate::error::{Error, Result};
use crate::wire::{self, HttpClient};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Limits of calls to plain services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time until the answer is complete.
    pub answer: Duration,
    /// Longest answer, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for ServiceTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            answer: Duration::from_secs(30),
            max_answer_bytes: 8 << 20,
        }
    }
}

/// Client of plain services over HTTP. It sends each request at most once.
#[derive(Clone, Debug)]
pub struct HttpService {
    client: HttpClient,
    timeouts: ServiceTimeouts,
}

impl HttpService {
    /// Creates a client that opens connections on use and reuses them.
    pub fn open(timeouts: ServiceTimeouts) -> Self {
        Self {
            client: HttpClient::open(timeouts.connect),
            timeouts,
        }
    }

    /// Makes connections come from the address `local`.
    pub fn with_local_address(mut self, local: IpAddr) -> Self {
        self.client = HttpClient::open_from(self.timeouts.connect, local);
        self
    }
}

impl Default for HttpService {
    fn default() -> Self {
        Self::open(ServiceTimeouts::default())
    }
}

impl ServiceClient for HttpService {
    async fn call(&self, server: SocketAddr, request: ServiceRequest) -> Result<ServiceAnswer> {
        let mut headers = request.headers;
        wire::remove_connection_headers(&mut headers);
        headers.remove(header::HOST);
        let id = HeaderValue::from_str(&request.id)
            .map_err(|_| Error::invalid("request id is not a valid header value"))?;
        headers.insert(REQUEST_ID, id);
        let mut call = wire::request(server, request.method, &request.path, request.body)?;
        *call.headers_mut() = headers;
        let mut answer = self
            .client
            .call(call, self.timeouts.answer, self.timeouts.max_answer_bytes)
            .await?;
        wire::remove_connection_headers(&mut answer.headers);
        Ok(ServiceAnswer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        })
    }
}
