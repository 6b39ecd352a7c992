//! Options and faults of a stand-in engine.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhill::engine::ResidentItem;
use serde::{Deserialize, Serialize};

/// Options of a stand-in engine. All times but the report and cache lags are multiplied by `time_scale`.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub bind: SocketAddr,
    /// Accelerator memory for weights and adapters, in bytes. Usage above it is recorded but not prevented.
    pub memory_bytes: u64,
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Maximum number of waiting requests; further ones are refused.
    pub queue_limit: usize,
    /// Time of a step with an empty batch.
    pub base_step: Duration,
    /// Time that each batched request adds to a step.
    pub step_per_sequence: Duration,
    /// Time that each uncached prompt token adds to a step.
    pub prefill_per_token: Duration,
    /// Maximum number of prompt tokens processed in one step.
    pub prefill_tokens_per_step: u32,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Memory of the prefix cache, in bytes.
    pub cache_bytes: u64,
    /// Time until a cache event is published.
    pub cache_event_delay: Duration,
    /// Fraction of cache events that are never published, from 0 to 1.
    pub cache_event_loss: f64,
    /// Time between two load reports.
    pub report_period: Duration,
    /// Minimum age of returned load reports; while no report is that old, the first one is returned.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Weight store that loads use; without one a load takes `bytes / load_bytes_per_s`.
    pub weight_store: Option<SocketAddr>,
    pub load_bytes_per_s: f64,
    /// Items in memory from the start, with their sizes in bytes.
    pub resident: Vec<(ResidentItem, u64)>,
    /// Factor on simulated times; values below 1 run faster than real time.
    pub time_scale: f64,
    /// A request whose messages contain this text crashes the engine as soon as it runs.
    pub poison: String,
    /// Whether a crash ends the process instead of only this stand-in.
    pub exit_on_crash: bool,
    /// Whether received requests are kept.
    pub keep_received: bool,
    /// Seed for the random choice of lost cache events.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            bind: crate::any_port(),
            memory_bytes: 80 << 30,
            slots: 16,
            queue_limit: 256,
            base_step: Duration::from_millis(16),
            step_per_sequence: Duration::from_micros(400),
            prefill_per_token: Duration::from_micros(100),
            prefill_tokens_per_step: 512,
            kv_bytes_per_token: 128 << 10,
            cache_bytes: 4 << 30,
            cache_event_delay: Duration::from_millis(200),
            cache_event_loss: 0.02,
            report_period: Duration::from_millis(100),
            report_lag: Duration::from_millis(100),
            checks_fencing: true,
            weight_store: None,
            load_bytes_per_s: 4e9,
            resident: Vec::new(),
            time_scale: 1.0,
            poison: "<poison>".to_owned(),
            exit_on_crash: false,
            keep_received: true,
            seed: 1,
        }
    }
}

/// Fault of the next completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// The answer starts `ms` milliseconds late, but the request runs at once.
    Late { ms: u64 },
    /// From token index `after` on, the chunks carry the id and the tokens of another request.
    Crossed { after: u32 },
    /// The HTTP body ends properly after `after` tokens, without the last chunk.
    Truncated { after: u32 },
    /// The connection closes after `after` tokens.
    Broken { after: u32 },
    /// The chunk of token index `at` is sent twice.
    Duplicated { at: u32 },
    /// The chunk of token index `at` is not sent.
    Missing { at: u32 },
    /// The request runs and the connection closes without an answer.
    Lost,
    /// Answers 503 and states that the request did not run.
    Refuse,
    /// The request runs, and the answer has this status.
    Fail { status: u16 },
    /// The engine crashes after `after` tokens.
    Crash { after: u32 },
}

/// Fault of the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderFault {
    /// The order takes effect and its answer is lost.
    LoseAnswer,
    /// The order has no effect and the connection closes.
    Lose,
    /// The order takes effect `ms` milliseconds later; the connection closes at once.
    Delay { ms: u64 },
    /// The order is refused.
    Refuse,
}
