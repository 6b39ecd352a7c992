//! Serves many language models and their adapters on fewer accelerators.

pub mod admin;
pub mod catalog;
pub mod claim;
pub mod currency;
pub mod daemon;
pub mod declaration;
pub mod dispatch;
pub mod engine;
pub mod error;
pub mod history;
pub mod http;
pub mod ids;
pub mod journal;
pub mod kernel;
pub mod ledger;
pub mod limit;
pub mod logging;
pub mod member;
pub mod metrics;
pub mod op;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod proto;
pub mod queue;
pub mod replica;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod suspect;
pub mod timer;
pub mod watch;
mod wire;

pub use crate::error::{Category, Error, Result, RunVerdict};
