//! Serves many language models and their adapters on fewer accelerators.

pub mod catalog;
pub mod claim;
pub mod dispatch;
pub mod engine;
pub mod error;
pub mod ids;
pub mod journal;
pub mod kernel;
pub mod ledger;
pub mod limit;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod routing;
pub mod timer;

pub use crate::error::{Category, Error, Result, RunVerdict};
