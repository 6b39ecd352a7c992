//! An in-memory log that loses answers, delays effects, goes down and forgets old records.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use foxtailhill::ids::LogOffset;
use foxtailhill::journal::{JournalClient, LogRecord, ReadBatch, StreamBounds, StreamName};
use foxtailhill::{Error, Result, RunVerdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

/// Probabilities of the faults of one append.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// The append takes effect and its answer is lost.
    pub lose_answer: f64,
    /// The append is lost and the answer is unknown.
    pub lose_append: f64,
    /// The answer is lost and the append takes effect later.
    pub late_append: f64,
    /// Longest delay of a late append, in milliseconds; half of it is the shortest.
    pub late_ms: u64,
}

#[derive(Default)]
struct Stream {
    first: usize,
    records: Vec<Bytes>,
}

struct State {
    streams: HashMap<StreamName, Stream>,
    faults: LogFaults,
    down: bool,
    random: StdRng,
}

pub struct FaultyLog {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl FaultyLog {
    pub fn new(seed: u64) -> Self {
        let state = State {
            streams: HashMap::new(),
            faults: LogFaults::default(),
            down: false,
            random: StdRng::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(Notify::new()),
        }
    }

    pub fn set_faults(&self, faults: LogFaults) {
        self.state.lock().unwrap().faults = faults;
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_waiters();
    }

    /// Drops the records before `first`.
    #[allow(dead_code)]
    pub fn retain_from(&self, stream: StreamName, first: usize) {
        let mut state = self.state.lock().unwrap();
        state.streams.entry(stream).or_default().first = first;
    }

    /// Returns all records, including those that retention has dropped.
    #[allow(dead_code)]
    pub fn records(&self, stream: StreamName) -> Vec<Bytes> {
        let state = self.state.lock().unwrap();
        state
            .streams
            .get(&stream)
            .map_or_else(Vec::new, |stream| stream.records.clone())
    }
}

fn unknown() -> Error {
    Error::unavailable("answer lost").with_verdict(RunVerdict::MayHaveRun)
}

fn push(state: &Mutex<State>, stream: StreamName, record: Bytes) -> LogOffset {
    let mut state = state.lock().unwrap();
    let records = &mut state.streams.entry(stream).or_default().records;
    records.push(record);
    LogOffset(records.len() as u64 - 1)
}

impl JournalClient for FaultyLog {
    async fn append(&self, stream: StreamName, record: Bytes) -> Result<LogOffset> {
        tokio::task::yield_now().await;
        let (draw, delay, faults) = {
            let state = &mut *self.state.lock().unwrap();
            if state.down {
                return Err(Error::unavailable("log is down"));
            }
            let draw: f64 = state.random.random();
            let delay: f64 = state.random.random_range(0.5..1.0) * state.faults.late_ms as f64;
            (draw, delay as u64, state.faults)
        };
        if draw < faults.lose_append {
            return Err(unknown());
        }
        if draw < faults.lose_append + faults.late_append {
            let (state, changed) = (self.state.clone(), self.changed.clone());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay)).await;
                push(&state, stream, record);
                changed.notify_waiters();
            });
            return Err(unknown());
        }
        let offset = push(&self.state, stream, record);
        self.changed.notify_waiters();
        if draw < faults.lose_append + faults.late_append + faults.lose_answer {
            return Err(unknown());
        }
        Ok(offset)
    }

    async fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<ReadBatch> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let batch = self.read_now(stream, from, max)?;
            if !batch.records.is_empty() {
                return Ok(batch);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return self.read_now(stream, from, max);
            }
        }
    }
}

impl FaultyLog {
    fn read_now(&self, stream: StreamName, from: LogOffset, max: usize) -> Result<ReadBatch> {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return Err(Error::unavailable("log is down"));
        }
        let stream = state.streams.entry(stream).or_default();
        let start = (from.0 as usize).max(stream.first);
        let records = stream
            .records
            .iter()
            .enumerate()
            .skip(start)
            .take(max)
            .map(|(offset, data)| LogRecord {
                offset: LogOffset(offset as u64),
                data: data.clone(),
            })
            .collect();
        Ok(ReadBatch {
            records,
            bounds: StreamBounds {
                first: LogOffset(stream.first as u64),
                next: LogOffset(stream.records.len() as u64),
            },
        })
    }
}
