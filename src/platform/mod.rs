//! The adapter to the users' platform: its names, formats and calls. Nothing here decides.
//!
//! [`PlatformFormat`] reads and writes the heads of requests, [`StoreClient`] calls the store, [`EngineClient`]
//! engines, [`decode_config`] and
//! [`decode_server`] turn records of the store into the types of [`relay`](crate::relay).

mod config;
mod engines;
mod headers;
mod servers;
mod store;

pub use self::config::decode_config;
pub use self::engines::EngineClient;
pub use self::headers::PlatformFormat;
pub use self::servers::decode_server;
pub use self::store::StoreClient;

/// Path at which the balancer asks whether callers may come.
pub const READY_PATH: &str = "/api/ready";
/// Key of the configuration in its table.
pub const CONFIGURATION_KEY: &str = "config";
