//! Calls to engines: orders and reports.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Category, Error, Result};
use crate::platform::headers::EXPECT_INSTANCE;
use crate::platform::servers::ModelRecord;
use crate::relay::{
    EngineControl, EngineReport, LoadItem, OrderAnswer, OrderContext, ReplicaOrder,
};
use crate::wire::{self, HttpClient};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit of a call; an engine answers an order before it executes it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of an answer in bytes. All engines are asked at once, so it also bounds what faulty ones make this daemon
/// hold.
const ANSWER_LIMIT: usize = 64 << 10;

/// Largest number of orders that an engine can have accepted.
const MAX_ORDERS: u64 = 1 << 53;

/// Client for the control interface of engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    /// Each order has its own connection, as its answer does not state which order it belongs to.
    orders: HttpClient,
    reports: HttpClient,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct OrderBody<'a> {
    operation: &'static str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    /// Number of orders that the engine must have accepted so far.
    precondition: u64,
    holder: &'a str,
    fence_token: u64,
}

#[derive(Deserialize)]
struct ReportBody {
    #[serde(default)]
    born: u64,
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    models: Vec<ModelRecord>,
    /// Adapters in transit, each as `MODEL/NAME@VERSION`.
    #[serde(default)]
    coming: Vec<SmolStr>,
}

impl EngineClient {
    /// Creates a client; connections are opened on use.
    pub fn open() -> Self {
        Self {
            orders: HttpClient::open_without_reuse(CONNECT_TIMEOUT),
            reports: HttpClient::open(CONNECT_TIMEOUT),
        }
    }
}

/// Reads `MODEL/NAME@VERSION`. The version may be missing.
fn adapter_item(text: &str) -> Option<LoadItem> {
    let (model, adapter) = text.split_once('/')?;
    let name = adapter.rsplit_once('@').map_or(adapter, |(name, _)| name);
    Some(LoadItem {
        model: model.into(),
        adapter: Some(name.into()),
    })
}

/// Sends a request that only `server` may carry out.
async fn call(
    client: &HttpClient,
    server: &str,
    mut request: Request<Full<Bytes>>,
) -> Result<wire::HttpAnswer> {
    let server = HeaderValue::from_str(server)
        .map_err(|_| Error::invalid(format!("server id `{server}` is not a valid header value")))?;
    request.headers_mut().insert(EXPECT_INSTANCE, server);
    client.call(request, CALL_TIMEOUT, ANSWER_LIMIT).await
}

impl EngineControl for EngineClient {
    async fn order(
        &self,
        server: &str,
        address: SocketAddr,
        order: &ReplicaOrder,
        context: &OrderContext,
    ) -> Result<OrderAnswer> {
        let (operation, item) = match order {
            ReplicaOrder::Load(item) => ("model_load", item),
            ReplicaOrder::Unload(item) => ("model_unload", item),
        };
        let body = OrderBody {
            operation,
            model: &item.model,
            adapter: item.adapter.as_deref(),
            precondition: context.expected_orders,
            holder: &context.holder,
            fence_token: context.fence,
        };
        let body = serde_json::to_vec(&body)
            .map_err(|error| Error::internal(format!("the order cannot be encoded: {error}")))?;
        let request = wire::json_request(address, Method::POST, "/api/order", body)?;
        let answer = call(&self.orders, server, request).await?;
        match answer.status {
            StatusCode::ACCEPTED => Ok(OrderAnswer::Accepted),
            StatusCode::OK => Ok(OrderAnswer::AlreadyDone),
            StatusCode::CONFLICT => Ok(OrderAnswer::Conflict),
            StatusCode::PRECONDITION_FAILED => Ok(OrderAnswer::Fenced),
            StatusCode::BAD_REQUEST => Ok(OrderAnswer::Invalid),
            StatusCode::MISDIRECTED_REQUEST => Err(Error::unavailable(
                "another process has the engine's address",
            )),
            status => Err(wire::protocol(format!("the engine answered {status}"))),
        }
    }

    async fn report(&self, server: &str, address: SocketAddr) -> Result<EngineReport> {
        let request = wire::request(address, Method::GET, "/api/report", Bytes::new())?;
        let answer = call(&self.reports, server, request).await?;
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            let message = "another process has the engine's address";
            return Err(Error::new(Category::NotFound, message));
        }
        let report: ReportBody = wire::decode(&answer)?;
        if report.seq > MAX_ORDERS {
            return Err(wire::protocol("the engine reported too many orders"));
        }
        Ok(EngineReport {
            born_ms: report.born,
            accepted_orders: report.seq,
            busy: report.busy,
            models: report.models.into_iter().map(Into::into).collect(),
            coming: report
                .coming
                .iter()
                .filter_map(|name| adapter_item(name))
                .collect(),
        })
    }
}
