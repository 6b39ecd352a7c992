//! Backend servers of a test cluster. They can be killed and restarted on the same address.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use foxtailhill::catalog::{BackendKind, BackendSpec};
use serde_json::Value;
use smol_str::SmolStr;
use tokio::net::TcpSocket;

use crate::engine::{EngineJournal, EngineOptions, EngineStandin};
use crate::record::ReceivedRequest;
use crate::reserve_port;
use crate::service::{ServiceOptions, ServiceRun, ServiceStandin};

/// Attempts to bind an address while the previous server on it is still shutting down.
const BIND_ATTEMPTS: u32 = 500;
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// An engine of a cluster. The cluster sets `options.bind` and `options.weight_store`.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub accelerators: u32,
    pub options: EngineOptions,
}

/// A plain service of a cluster. The cluster sets `options.bind`.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub group: SmolStr,
    pub slots: u32,
    pub options: ServiceOptions,
}

/// A running or killed engine.
pub struct ClusterEngine {
    pub spec: EngineSpec,
    /// Address that daemons connect to: that of the proxy if links are proxied, else the server's own.
    pub advertised: SocketAddr,
    address: SocketAddr,
    /// All engines started on the address, in order of start.
    incarnations: Vec<EngineStandin>,
    _reservation: TcpSocket,
}

impl ClusterEngine {
    pub(super) async fn open(
        mut spec: EngineSpec,
        host: IpAddr,
        weights: SocketAddr,
    ) -> eyre::Result<Self> {
        let reservation = reserve_port((host, 0).into())?;
        let address = reservation.local_addr()?;
        spec.options.bind = address;
        spec.options.weight_store = Some(weights);
        let mut engine = Self {
            spec,
            advertised: address,
            address,
            incarnations: Vec::new(),
            _reservation: reservation,
        };
        engine.start().await?;
        Ok(engine)
    }

    /// Returns the address that the engine binds.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the latest engine that ran on the address.
    pub fn latest(&self) -> &EngineStandin {
        &self.incarnations[self.incarnations.len() - 1]
    }

    /// Kills the engine. Its journal and received requests stay readable.
    pub fn kill(&self) {
        self.latest().crash();
    }

    /// Kills the engine, if it runs, and starts a new one. Only the initial items of the options are resident.
    pub async fn restart(&mut self) -> eyre::Result<()> {
        self.kill();
        self.start().await
    }

    async fn start(&mut self) -> eyre::Result<()> {
        for _ in 0..BIND_ATTEMPTS {
            if let Ok(engine) = EngineStandin::open(self.spec.options.clone()).await {
                self.incarnations.push(engine);
                return Ok(());
            }
            tokio::time::sleep(BIND_PAUSE).await;
        }
        eyre::bail!("engine {} cannot bind {}", self.spec.name, self.address)
    }

    /// Returns the journal of each engine started on the address, in order of start.
    pub fn journals(&self) -> Vec<EngineJournal> {
        let engines = self.incarnations.iter();
        engines.map(EngineStandin::journal).collect()
    }

    /// Returns all requests that any engine on the address received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        let engines = self.incarnations.iter();
        engines.flat_map(EngineStandin::received).collect()
    }

    /// Returns the entry for a declaration file.
    pub fn declaration(&self) -> Value {
        let options = &self.spec.options;
        declare(BackendSpec {
            name: self.spec.name.clone(),
            zone: self.spec.zone.clone(),
            address: self.advertised,
            kind: BackendKind::Engine {
                memory_bytes: options.memory_bytes,
                accelerators: self.spec.accelerators,
                slots: u32::try_from(options.slots).unwrap_or(u32::MAX),
                checks_fencing: options.checks_fencing,
            },
        })
    }

    pub(super) async fn shutdown(self) {
        for engine in self.incarnations {
            engine.shutdown().await;
        }
    }
}

/// A running or crashed plain service.
pub struct ClusterService {
    pub spec: ServiceSpec,
    /// Address that daemons connect to: that of the proxy if links are proxied, else the server's own.
    pub advertised: SocketAddr,
    address: SocketAddr,
    /// All services started on the address, in order of start.
    incarnations: Vec<ServiceStandin>,
    _reservation: TcpSocket,
}

impl ClusterService {
    pub(super) async fn open(mut spec: ServiceSpec, host: IpAddr) -> eyre::Result<Self> {
        let reservation = reserve_port((host, 0).into())?;
        let address = reservation.local_addr()?;
        spec.options.bind = address;
        let mut service = Self {
            spec,
            advertised: address,
            address,
            incarnations: Vec::new(),
            _reservation: reservation,
        };
        service.restart().await?;
        Ok(service)
    }

    /// Returns the address that the service binds.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the latest service that ran on the address.
    pub fn latest(&self) -> &ServiceStandin {
        &self.incarnations[self.incarnations.len() - 1]
    }

    /// Starts a new service on the address after the latest one has crashed.
    pub async fn restart(&mut self) -> eyre::Result<()> {
        for _ in 0..BIND_ATTEMPTS {
            if let Ok(service) = ServiceStandin::open(self.spec.options.clone()).await {
                self.incarnations.push(service);
                return Ok(());
            }
            tokio::time::sleep(BIND_PAUSE).await;
        }
        eyre::bail!("service {} cannot bind {}", self.spec.name, self.address)
    }

    /// Returns how often calls with an idempotency key took effect, over all services on the address.
    pub fn count(&self, idempotency_key: &str) -> u64 {
        let services = self.incarnations.iter();
        services.map(|service| service.count(idempotency_key)).sum()
    }

    /// Returns each run with its time, over all services on the address.
    pub fn runs(&self) -> Vec<ServiceRun> {
        let services = self.incarnations.iter();
        services.flat_map(ServiceStandin::runs).collect()
    }

    /// Returns all requests that any service on the address received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        let services = self.incarnations.iter();
        services.flat_map(ServiceStandin::received).collect()
    }

    /// Returns the entry for a declaration file.
    pub fn declaration(&self) -> Value {
        declare(BackendSpec {
            name: self.spec.name.clone(),
            zone: self.spec.zone.clone(),
            address: self.advertised,
            kind: BackendKind::Service {
                group: self.spec.group.clone(),
                slots: self.spec.slots,
            },
        })
    }

    pub(super) async fn shutdown(self) {
        for service in self.incarnations {
            service.shutdown().await;
        }
    }
}

fn declare(spec: BackendSpec) -> Value {
    // Cannot fail: the fields are strings, numbers and booleans.
    serde_json::to_value(spec).unwrap_or_default()
}
