//! An in-memory log that loses answers, is down or drops old records on demand.
#![allow(dead_code)]

pub mod daemon;

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use foxtailhill::catalog::{ChangeCommand, EntityChange, FleetPolicy, Revision, TeamSpec};
use foxtailhill::error::{Category, Error, Result, RunVerdict};
use foxtailhill::ids::{LogOffset, RecordId};
use foxtailhill::journal::{JournalClient, LogRecord, ReadBatch, StreamBounds, StreamName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Longest wait of a test for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Streams {
    records: HashMap<StreamName, (u64, Vec<Bytes>)>,
    down: bool,
    /// Number of next appends that take effect but whose answer is lost.
    lose_after: u32,
    /// Number of next appends that are lost before they take effect and fail with `MayHaveRun`.
    lose_before: u32,
    /// Goes down with the next answer that is lost.
    down_after_loss: bool,
    /// Draws a fault for each call, if set.
    random_faults: Option<StdRng>,
}

/// Fault of one call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Refused,
    LostBefore,
    LostAfter,
}

impl Streams {
    fn draw_fault(&mut self) -> Fault {
        let Some(random) = &mut self.random_faults else {
            return Fault::None;
        };
        match random.random_range(0..20) {
            0 => Fault::Refused,
            1 | 2 => Fault::LostBefore,
            3..6 => Fault::LostAfter,
            _ => Fault::None,
        }
    }

    fn append_fault(&mut self) -> Fault {
        if self.down {
            return Fault::Refused;
        }
        for (count, fault) in [
            (&mut self.lose_before, Fault::LostBefore),
            (&mut self.lose_after, Fault::LostAfter),
        ] {
            if *count > 0 {
                *count -= 1;
                return fault;
            }
        }
        self.draw_fault()
    }
}

#[derive(Default)]
pub struct FakeLog {
    streams: Mutex<Streams>,
    appended: Notify,
}

impl FakeLog {
    pub fn set_down(&self, down: bool) {
        self.streams.lock().expect("log lock").down = down;
        self.appended.notify_waiters();
    }

    pub fn lose_answers(&self, count: u32) {
        self.streams.lock().expect("log lock").lose_after = count;
    }

    /// Loses the next answer of an append that takes effect, and is down from then on.
    pub fn lose_answer_and_go_down(&self) {
        self.streams.lock().expect("log lock").down_after_loss = true;
        self.lose_answers(1);
    }

    pub fn lose_appends(&self, count: u32) {
        self.streams.lock().expect("log lock").lose_before = count;
    }

    /// Makes calls fail at random from now on, or ends such faults if `seed` is `None`.
    pub fn set_random_faults(&self, seed: Option<u64>) {
        self.streams.lock().expect("log lock").random_faults = seed.map(StdRng::seed_from_u64);
    }

    /// Removes the records before `first`.
    pub fn retain_from(&self, stream: StreamName, first: u64) {
        let mut streams = self.streams.lock().expect("log lock");
        let (base, records) = streams.records.entry(stream).or_default();
        let removed = usize::try_from(first - *base).expect("offset fits");
        records.drain(..removed);
        *base = first;
    }

    /// Appends without faults.
    pub fn put(&self, stream: StreamName, record: impl Into<Bytes>) -> LogOffset {
        let mut streams = self.streams.lock().expect("log lock");
        let (base, records) = streams.records.entry(stream).or_default();
        records.push(record.into());
        self.appended.notify_waiters();
        LogOffset(*base + records.len() as u64 - 1)
    }

    pub fn records(&self, stream: StreamName) -> Vec<Bytes> {
        let streams = self.streams.lock().expect("log lock");
        let found = streams.records.get(&stream);
        found
            .map(|(_, records)| records.clone())
            .unwrap_or_default()
    }

    /// Flips a bit in the last byte of a record.
    pub fn corrupt(&self, stream: StreamName, index: usize) {
        let mut streams = self.streams.lock().expect("log lock");
        let (_, records) = streams.records.get_mut(&stream).expect("stream exists");
        let mut record = records[index].to_vec();
        *record.last_mut().expect("record is not empty") ^= 1;
        records[index] = record.into();
    }

    fn read_now(&self, stream: StreamName, from: LogOffset, max: usize) -> Result<ReadBatch> {
        let mut streams = self.streams.lock().expect("log lock");
        if streams.down || streams.draw_fault() == Fault::Refused {
            return Err(Error::unavailable("the log is down"));
        }
        let empty = (0, Vec::new());
        let (base, held) = streams.records.get(&stream).unwrap_or(&empty);
        let next = base + held.len() as u64;
        let records = (*base..next)
            .zip(held)
            .filter(|(offset, _)| *offset >= from.0)
            .take(max)
            .map(|(offset, data)| LogRecord {
                offset: LogOffset(offset),
                data: data.clone(),
            });
        Ok(ReadBatch {
            records: records.collect(),
            bounds: StreamBounds {
                first: LogOffset(*base),
                next: LogOffset(next),
            },
        })
    }
}

impl JournalClient for FakeLog {
    async fn append(&self, stream: StreamName, record: Bytes) -> Result<LogOffset> {
        let fault = self.streams.lock().expect("log lock").append_fault();
        // Allows other appends between a caller's read of the state and its append.
        tokio::task::yield_now().await;
        let lost = Error::new(Category::Timeout, "answer lost");
        match fault {
            Fault::None => Ok(self.put(stream, record)),
            Fault::Refused => Err(Error::unavailable("the log is down")),
            Fault::LostBefore => Err(lost.with_verdict(RunVerdict::MayHaveRun)),
            Fault::LostAfter => {
                {
                    let mut streams = self.streams.lock().expect("log lock");
                    streams.down |= std::mem::take(&mut streams.down_after_loss);
                }
                self.put(stream, record);
                Err(lost.with_verdict(RunVerdict::MayHaveRun))
            }
        }
    }

    async fn read(
        &self,
        stream: StreamName,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<ReadBatch> {
        let found = timeout(wait, async {
            loop {
                let appended = self.appended.notified();
                let batch = self.read_now(stream, from, max);
                if !matches!(&batch, Ok(batch) if batch.records.is_empty()) {
                    return batch;
                }
                appended.await;
            }
        });
        match found.await {
            Ok(batch) => batch,
            Err(_) => self.read_now(stream, from, max),
        }
    }
}

/// A command that creates or changes a team.
pub fn put_team(name: &str, rate: u64, base: u64) -> ChangeCommand {
    command(
        base,
        EntityChange::PutTeam(TeamSpec {
            name: name.into(),
            rate,
            burst: rate,
        }),
    )
}

/// A command that changes the grace period.
pub fn put_policy(grace_ms: u64, base: u64) -> ChangeCommand {
    let policy = FleetPolicy {
        key_grace: Duration::from_millis(grace_ms),
        ..FleetPolicy::default()
    };
    command(base, EntityChange::PutPolicy(policy))
}

pub fn command(base: u64, change: EntityChange) -> ChangeCommand {
    ChangeCommand {
        id: RecordId::random(),
        base: Revision(base),
        author: "root".into(),
        change,
    }
}

/// Waits until `done` holds.
pub async fn until(what: &str, mut done: impl FnMut() -> bool) {
    let waited = timeout(WAIT_TIMEOUT, async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "gave up waiting until {what}");
}
