//! Orders to engines and what engines report, behind a trait.

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

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaOrder {
    Load(LoadItem),
    /// Waits for the requests that use the item.
    Unload(LoadItem),
}

/// An item that was loaded or removed, as the planner tells other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementChange {
    pub server: SmolStr,
    pub item: LoadItem,
    pub present: bool,
}

impl PlacementChange {
    /// Changes a list of held models as the order did.
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

/// A model and adapter of a service that a request needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlacementRequest {
    pub service: SmolStr,
    pub item: LoadItem,
}

/// Who gives an order, and the state of the engine that it is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderContext {
    /// Name of the VM that holds the planner's lease.
    pub holder: SmolStr,
    /// Grows with each holder.
    pub fence: u64,
    /// Orders that the engine has accepted; it refuses the order if the number differs when it is carried out.
    pub expected_orders: u64,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// What the order asks for is so already.
    AlreadyDone,
    /// Another order is being carried out, or the number of accepted orders differs.
    Conflict,
    /// A holder with a higher fencing number has given orders.
    Fenced,
    /// The engine does not accept the order at all.
    Invalid,
}

/// What an engine says when it is asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
    /// Orders accepted since its start.
    pub accepted_orders: u64,
    /// Whether a model is being loaded or unloaded.
    pub busy: bool,
    pub models: Vec<HeldModel>,
}

/// Client of engines for the planner.
pub trait EngineControl: Send + Sync + 'static {
    /// Gives an order to the engine `server`; no other process at its address carries it out.
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

    /// Asks the engine `server` for its state.
    fn report(
        &self,
        server: &str,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineReport>> + Send;
}
