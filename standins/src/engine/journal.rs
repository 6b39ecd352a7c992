//! Journal of the runs and orders of a stand-in engine, for checks in tests.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::engine::memory::OrderRecord;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// Waiting or running.
    Open,
    Finished,
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// One accepted completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    pub request_id: SmolStr,
    pub model: SmolStr,
    pub version: SmolStr,
    pub adapter: Option<SmolStr>,
    pub priority: u8,
    /// Hash of the messages' JSON text.
    pub messages_hash: u64,
    /// Whether the request entered the batch.
    pub started: bool,
    /// Prompt tokens that were not in the prefix cache when the request entered the batch.
    pub prefilled: u32,
    /// Index of the first token of this run; not 0 if a stream was resumed.
    pub first_index: u32,
    pub next_index: u32,
    /// Whether the tokens in the resume request equal those that an engine would have generated.
    pub resume_matches: bool,
    pub outcome: RunOutcome,
}

/// Everything that a stand-in engine recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineJournal {
    pub runs: Vec<RunRecord>,
    pub orders: Vec<OrderRecord>,
    /// Highest memory usage of weights and adapters, in bytes.
    pub memory_peak: u64,
    /// Current memory usage of weights and adapters, in bytes.
    pub memory_level: u64,
    /// Each memory usage above the capacity, in bytes.
    pub overcommits: Vec<u64>,
    /// Role set by the last `POST /role` that was not fenced.
    pub role: Option<SmolStr>,
}

impl EngineJournal {
    /// Returns the runs of one request.
    pub fn runs_of(&self, request_id: &str) -> Vec<&RunRecord> {
        let runs = self.runs.iter();
        runs.filter(|run| run.request_id == request_id).collect()
    }
}
