//! Serves many language models and their adapters on fewer accelerators.
//!
//! A fleet consists of *daemons*, one on each entry VM. Callers reach them over HTTP through the platform's balancer,
//! operators over gRPC. A daemon authenticates a request, charges the team, picks a backend server and streams the
//! answer. Daemons share no disk and run no consensus protocol. Decisions that must be made exactly once are records on
//! the platform's append-only log; all other state may be lost.
//!
//! # Running a daemon
//!
//! [`daemon::open`] starts all services of a daemon and returns a handle that shuts them down in order.
//!
//! ```no_run
//! use std::path::Path;
//!
//! use foxtailhill::daemon;
//! use foxtailhill::settings::DaemonSettings;
//!
//! # async fn example() -> foxtailhill::Result<()> {
//! let settings = DaemonSettings::read(Path::new("examples/settings/local.jsonc"))?;
//! let daemon = daemon::open(settings).await?;
//! println!("callers connect to {}", daemon.addresses().caller);
//! daemon.wait_ready().await?;
//! daemon.shutdown().await;
//! # Ok(())
//! # }
//! ```
//!
//! # Where to start reading
//!
//! - The request path: [`http`] receives a request, [`dispatch`] processes it with [`limit`], [`claim`], [`queue`],
//!   [`routing`], [`retry`] and [`suspect`], and [`engine`] forwards it to a backend server.
//! - The control path: [`catalog`] applies operators' changes, [`replica`] keeps the catalog current, [`member`]
//!   assigns shares and planners, [`placement`] and [`ledger`] decide which model is loaded on which server.
//! - Decisions are pure functions of their input and take the time as an argument, so that tests can compare them with
//!   a simple reference model:
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use foxtailhill::limit::{BucketLimit, TokenBucket};
//! use foxtailhill::member::WHOLE_PPM;
//!
//! let start = Instant::now();
//! let until = Some(start + Duration::from_secs(30));
//! let limit = BucketLimit { rate: 100, burst: 1_000, ppm: WHOLE_PPM, until };
//! let mut bucket = TokenBucket::new(limit, start);
//! // A new incarnation starts with an empty bucket and fills at the rate.
//! assert!(bucket.charge(50, start).is_none());
//! assert!(bucket.charge(50, start + Duration::from_secs(1)).is_some());
//! ```
//!
//! # Errors
//!
//! Every [`Error`] has a [`Category`] and a [`RunVerdict`]. The verdict is `NotRun` only if no byte of the request was
//! sent to a backend server, or if the backend server itself refused the request.

pub mod admin;
pub mod admission;
pub mod binding;
pub mod blame;
pub mod catalog;
pub mod claim;
pub mod currency;
pub mod daemon;
pub mod declaration;
pub mod deferral;
pub mod dispatch;
pub mod engine;
pub mod error;
pub mod eviction;
pub mod faults;
pub mod history;
pub mod http;
pub mod ids;
pub mod inventory;
pub mod journal;
pub mod kernel;
pub mod ledger;
pub mod limit;
pub mod logging;
pub mod member;
pub mod memory;
pub mod metrics;
pub mod op;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod proto;
pub mod queue;
pub mod relay;
pub mod replica;
pub mod retry;
pub mod returns;
pub mod routing;
pub mod settings;
pub mod suspect;
pub mod timer;
pub mod watch;
mod wire;

pub use crate::error::{Category, Error, Result, RunVerdict};
