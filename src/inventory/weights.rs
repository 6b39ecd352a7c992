//! HTTP adapter of the weight store's control interface: `GET /load` answers a [`StoreLoad`].

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::Method;

use crate::error::{Result, RunVerdict};
use crate::inventory::{StoreLoad, WeightStore};
use crate::wire::{self, HttpClient};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Client of a weight store that speaks HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    server: SocketAddr,
    client: HttpClient,
}

impl HttpWeightStore {
    /// Creates a client of the store at `server`; connections are opened on use.
    pub fn open(server: SocketAddr) -> Self {
        Self {
            server,
            client: HttpClient::open(CONNECT_TIMEOUT),
        }
    }

    /// Binds connections to the local address `local`.
    pub fn with_local_address(mut self, local: IpAddr) -> Self {
        self.client = HttpClient::open_from(CONNECT_TIMEOUT, local);
        self
    }
}

impl WeightStore for HttpWeightStore {
    async fn load(&self) -> Result<StoreLoad> {
        let request = wire::request(self.server, Method::GET, "/load", Bytes::new())?;
        self.client
            .call(request, CALL_TIMEOUT, MAX_ANSWER_BYTES)
            .await
            .and_then(|answer| wire::decode(&answer))
            // A read has no side effects, whatever its outcome.
            .map_err(|error| error.with_verdict(RunVerdict::NotRun))
    }
}
