//! Clients of the platform's weight store and VM list.

mod vms;
mod weights;

use std::future::Future;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use self::vms::HttpVmList;
pub use self::weights::HttpWeightStore;
use crate::error::Result;

/// Life-cycle state of a VM on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    Live,
    Leaving,
}

/// What a listed VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A daemon of this system; the address is its peer address.
    Entry,
    /// A backend server; the address is where it serves.
    Backend,
}

/// One entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    pub name: SmolStr,
    pub zone: SmolStr,
    pub role: VmRole,
    pub address: SocketAddr,
    pub state: VmState,
}

/// Client of the platform's VM list, which lags by a bounded time.
pub trait VmList: Send + Sync + 'static {
    /// Reads the whole list.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedVm>>> + Send;
}

/// Load of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreLoad {
    pub in_flight: u32,
    /// Further loads that the store can take now before it slows down.
    pub available: f64,
}

/// Client of the weight store's control interface. Engines fetch the weights themselves.
pub trait WeightStore: Send + Sync + 'static {
    /// Reads the current load of the store.
    fn load(&self) -> impl Future<Output = Result<StoreLoad>> + Send;
}
