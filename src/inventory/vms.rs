//! HTTP adapter of the platform's VM list: `GET /vms` answers an array of [`ListedVm`].

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::Method;

use crate::error::{Result, RunVerdict};
use crate::inventory::{ListedVm, VmList};
use crate::wire::{self, HttpClient};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Client of a VM list that speaks HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    server: SocketAddr,
    client: HttpClient,
}

impl HttpVmList {
    /// Creates a client of the list at `server`; connections are opened on use.
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

impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<ListedVm>> {
        let request = wire::request(self.server, Method::GET, "/vms", Bytes::new())?;
        self.client
            .call(request, CALL_TIMEOUT, MAX_ANSWER_BYTES)
            .await
            .and_then(|answer| wire::decode(&answer))
            // A read has no side effects, whatever its outcome.
            .map_err(|error| error.with_verdict(RunVerdict::NotRun))
    }
}
