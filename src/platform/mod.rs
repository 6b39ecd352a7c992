//! Adapter to the users' platform: its names, formats and calls, without any decisions.
//!
//! [`PlatformFormat`] reads and writes the headers of requests, [`StoreClient`] calls the store and [`EngineClient`]
//! calls engines. [`decode_config`] and [`decode_server`] convert records of the store to types of
//! [`relay`](crate::relay).

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

/// Path of the balancer's readiness check.
pub const READY_PATH: &str = "/api/ready";
/// Key of the configuration's record in its table.
pub const CONFIGURATION_KEY: &str = "config";
/// What precedes the name of an evacuated zone in the key of its record, which is in the table of the configuration.
pub const EVACUATION_PREFIX: &str = "evacuate/";
