//! Orders to engines, reports of engines, and the trait of the client that exchanges them.
//!
//! An engine is a backend server that loads and unloads models; each engine is one entry on the list of servers.

use std::future::Future;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::Result;
use crate::relay::server_list::HeldModel;

/// A model, or an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoadItem {
    pub model: SmolStr,
    /// `None` for the model's weights.
    pub adapter: Option<SmolStr>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaOrder {
    Load(LoadItem),
    /// Takes effect once no request uses the item any more.
    Unload(LoadItem),
}

/// An item that was loaded or unloaded on a server, as the planner announces it to other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementChange {
    pub server: SmolStr,
    pub item: LoadItem,
    /// Whether the item was loaded; `false` after an unload.
    pub present: bool,
}

impl PlacementChange {
    /// Applies the change to the list of models that the server holds.
    pub fn apply(&self, models: &mut Vec<HeldModel>) {
        let held = models.iter_mut().find(|held| held.name == self.item.model);
        match (&self.item.adapter, self.present, held) {
            (None, true, None) => models.push(HeldModel {
                name: self.item.model.clone(),
                ..HeldModel::default()
            }),
            (None, false, _) => models.retain(|held| held.name != self.item.model),
            (Some(adapter), present, Some(held)) => {
                held.adapters.retain(|other| other != adapter);
                if present {
                    held.adapters.push(adapter.clone());
                }
            }
            (None, true, Some(_)) | (Some(_), _, None) => {}
        }
    }
}

/// A model or adapter that a request needs on a server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlacementRequest {
    pub service: SmolStr,
    pub item: LoadItem,
}

/// Issuer of an order, and the state of the engine that it expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderContext {
    /// Name of the VM that holds the planner's lease.
    pub holder: SmolStr,
    /// Fencing number of the lease; increases with each new holder.
    pub fence: u64,
    /// Number of orders that the engine has accepted. It refuses the order if its number differs on execution.
    pub expected_orders: u64,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// The state that the order asks for already exists.
    AlreadyDone,
    /// Another order is being carried out, or the number of accepted orders differs.
    Conflict,
    /// A holder with a higher fencing number has given orders.
    Fenced,
    /// The engine rejects the order as invalid.
    Invalid,
}

/// State of an engine, as it reports it on request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
    /// Orders accepted since its start.
    pub accepted_orders: u64,
    /// Whether a model is being loaded or unloaded.
    pub busy: bool,
    pub models: Vec<HeldModel>,
    /// Adapters that are being loaded. They take their places already, and their orders are counted.
    pub coming: Vec<LoadItem>,
}

/// Client of engines for the planner.
pub trait EngineControl: Send + Sync + 'static {
    /// Sends an order to the engine `server`. Another process at its address does not carry it out.
    ///
    /// # Errors
    ///
    /// Unless the verdict is `NotRun`, the order may still be carried out seconds later.
    fn order(
        &self,
        server: &str,
        address: SocketAddr,
        order: &ReplicaOrder,
        context: &OrderContext,
    ) -> impl Future<Output = Result<OrderAnswer>> + Send;

    /// Requests the state of the engine `server`.
    ///
    /// # Errors
    ///
    /// `NotFound` if another server answers at the address.
    fn report(
        &self,
        server: &str,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineReport>> + Send;
}
