//! Recent requests with the cause of each refusal and the time spent in each stage.
//!
//! The records show why a request was refused or slow. They hold no key, no prompt, no body and no query.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use serde::Serialize;
use smol_str::SmolStr;

use crate::error::{Category, Error, RunVerdict};

/// Maximum number of backend servers in one record; further ones are omitted.
const MAX_SERVERS: usize = 16;

/// Stages of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestStage {
    /// Reading the body from the caller.
    Receive,
    Authenticate,
    /// Charging the team's token bucket, loans included.
    Admit,
    /// Claiming a non-repeatable request.
    Claim,
    /// Waiting for a backend server.
    Queue,
    /// From sending the request to a backend server to the first token or the complete answer.
    FirstToken,
    /// All work of the dispatcher up to the first token or the complete answer; includes the stages in between.
    Dispatch,
    /// From the first token to the end.
    Stream,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    #[default]
    Running,
    Completed,
    /// Refused or failed; see category, verdict and cause.
    Failed,
    /// The caller went away or stopped reading.
    Cancelled,
}

/// Time spent in one stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StageTime {
    pub stage: RequestStage,
    /// Microseconds.
    pub micros: u64,
}

/// Record of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestRecord {
    pub id: SmolStr,
    /// Milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    pub team: Option<SmolStr>,
    /// Model, or the path without its query.
    pub target: SmolStr,
    pub stages: Vec<StageTime>,
    /// Backend servers that the request was sent to, in order.
    pub servers: Vec<SmolStr>,
    pub outcome: RequestOutcome,
    pub category: Option<Category>,
    pub verdict: Option<RunVerdict>,
    /// Why the request was refused, failed or was cancelled.
    pub cause: Option<String>,
}

impl RequestRecord {
    /// Starts the record of a request that arrives now.
    pub fn new(id: SmolStr, target: &str) -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let arrived_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64);
        let path = target.split('?').next().unwrap_or_default();
        Self {
            id,
            arrived_ms,
            target: path.chars().take(200).collect(),
            ..Self::default()
        }
    }

    /// Adds time spent in a stage; a repeated stage accumulates.
    pub fn add_stage(&mut self, stage: RequestStage, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        match self.stages.iter_mut().find(|entry| entry.stage == stage) {
            Some(entry) => entry.micros = entry.micros.saturating_add(micros),
            None => self.stages.push(StageTime { stage, micros }),
        }
    }

    /// Adds a backend server that the request was sent to.
    pub fn add_server(&mut self, server: SmolStr) {
        if self.servers.len() < MAX_SERVERS {
            self.servers.push(server);
        }
    }

    /// Ends the record with an error.
    pub fn fail(&mut self, error: &Error) {
        self.outcome = RequestOutcome::Failed;
        self.category = Some(error.category());
        self.verdict = Some(error.verdict());
        self.cause = Some(error.message().chars().take(500).collect());
    }

    /// Ends the record of a request whose caller went away or stopped reading.
    pub fn cancel(&mut self, cause: &str) {
        self.outcome = RequestOutcome::Cancelled;
        self.verdict = Some(RunVerdict::MayHaveRun);
        self.cause = Some(cause.into());
    }

    /// Ends the record of a request that succeeded.
    pub fn complete(&mut self) {
        self.outcome = RequestOutcome::Completed;
        self.verdict = Some(RunVerdict::Ran);
    }
}

#[derive(Default)]
struct RequestRing {
    /// Sequence number of the oldest record.
    first_sequence: u64,
    records: VecDeque<RequestRecord>,
    by_id: HashMap<SmolStr, u64>,
}

/// Bounded ring buffer of recent requests, including running ones.
pub struct RequestHistory {
    capacity: usize,
    ring: Mutex<RequestRing>,
}

impl RequestHistory {
    /// Creates a history of up to `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            ring: Mutex::default(),
        }
    }

    /// Adds a record, and evicts the oldest one if the ring is full. Does nothing if the ring holds a record with the
    /// same id.
    pub fn begin(&self, record: RequestRecord) {
        let mut ring = self.ring();
        if ring.by_id.contains_key(&record.id) {
            return;
        }
        if ring.records.len() >= self.capacity {
            ring.evict_oldest();
        }
        let sequence = ring.first_sequence + ring.records.len() as u64;
        ring.by_id.insert(record.id.clone(), sequence);
        ring.records.push_back(record);
    }

    /// Changes the record with `id`, if the ring still holds it.
    pub fn update(&self, id: &str, change: impl FnOnce(&mut RequestRecord)) {
        let mut ring = self.ring();
        let Some(sequence) = ring.by_id.get(id).copied() else {
            return;
        };
        let index = (sequence - ring.first_sequence) as usize;
        if let Some(record) = ring.records.get_mut(index) {
            change(record);
        }
    }

    /// Finds a request by id.
    pub fn find(&self, id: &str) -> Option<RequestRecord> {
        let ring = self.ring();
        let sequence = *ring.by_id.get(id)?;
        ring.records
            .get((sequence - ring.first_sequence) as usize)
            .cloned()
    }

    /// Returns up to `max` requests, the newest first.
    pub fn recent(&self, max: usize) -> Vec<RequestRecord> {
        self.ring()
            .records
            .iter()
            .rev()
            .take(max)
            .cloned()
            .collect()
    }

    fn ring(&self) -> MutexGuard<'_, RequestRing> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RequestRing {
    fn evict_oldest(&mut self) {
        if let Some(record) = self.records.pop_front() {
            self.by_id.remove(&record.id);
            self.first_sequence += 1;
        }
    }
}
