//! In-memory log, VM list and peer network for tests of membership and limits.

#![allow(
    clippy::unwrap_used,
    reason = "a broken test set-up fails by panicking"
)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::catalog::TeamSpec;
use foxtailhill::ids::LogOffset;
use foxtailhill::inventory::{ListedVm, VmList, VmRole, VmState};
use foxtailhill::journal::{JournalClient, LogRecord, ReadBatch, StreamBounds, StreamName};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::limit::LimitService;
use foxtailhill::member::{
    MemberParts, MemberRecord, MemberService, MemberSettings, PeerTable, StatusSource,
};
use foxtailhill::peer::{PeerReply, PeerRequest};
use foxtailhill::timer::TimerService;
use foxtailhill::{Error, Result, RunVerdict};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::net_support::{Answer, MemoryNet, address};

/// Log in memory that can be down, lose answers, or have dropped old records.
#[derive(Default)]
pub struct MemoryLog {
    records: Mutex<Vec<Bytes>>,
    pub first: Mutex<u64>,
    pub down: AtomicBool,
    pub lose_answers: AtomicBool,
}

impl MemoryLog {
    pub fn push(&self, record: &MemberRecord) {
        self.records.lock().unwrap().push(record.encode().unwrap());
    }
}

impl JournalClient for MemoryLog {
    async fn append(&self, _stream: StreamName, record: Bytes) -> Result<LogOffset> {
        if self.down.load(Ordering::SeqCst) {
            return Err(Error::unavailable("log is down"));
        }
        let mut records = self.records.lock().unwrap();
        records.push(record);
        if self.lose_answers.load(Ordering::SeqCst) {
            return Err(Error::unavailable("answer lost").with_verdict(RunVerdict::MayHaveRun));
        }
        Ok(LogOffset(records.len() as u64 - 1))
    }

    async fn read(
        &self,
        _stream: StreamName,
        from: LogOffset,
        max: usize,
        wait: Duration,
    ) -> Result<ReadBatch> {
        let deadline = Instant::now() + wait;
        loop {
            if self.down.load(Ordering::SeqCst) {
                return Err(Error::unavailable("log is down"));
            }
            let batch = self.batch(from.0, max);
            if !batch.records.is_empty() || Instant::now() >= deadline {
                return Ok(batch);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl MemoryLog {
    fn batch(&self, from: u64, max: usize) -> ReadBatch {
        let records = self.records.lock().unwrap();
        let first = *self.first.lock().unwrap();
        let next = records.len() as u64;
        let read = (from.max(first)..next).take(max).map(|offset| LogRecord {
            offset: LogOffset(offset),
            data: records[usize::try_from(offset).unwrap()].clone(),
        });
        ReadBatch {
            records: read.collect(),
            bounds: StreamBounds {
                first: LogOffset(first),
                next: LogOffset(next),
            },
        }
    }
}

/// VM list in memory.
#[derive(Default)]
pub struct MemoryVms(pub Mutex<Vec<ListedVm>>);

impl VmList for MemoryVms {
    async fn list(&self) -> Result<Vec<ListedVm>> {
        Ok(self.0.lock().unwrap().clone())
    }
}

/// Log, VM list and network that the nodes of a test share.
#[derive(Default)]
pub struct Fleet {
    pub log: Arc<MemoryLog>,
    pub vms: Arc<MemoryVms>,
    pub net: Arc<MemoryNet>,
}

pub type Members = MemberService<MemoryLog, MemoryVms, MemoryNet>;

/// One daemon's membership and limiter.
pub struct Node {
    pub group: TaskGroup,
    pub address: SocketAddr,
    pub members: Members,
    pub limiter: LimitService<MemoryNet>,
}

struct Source(LimitService<MemoryNet>);

impl StatusSource for Source {
    fn config_next(&self) -> LogOffset {
        LogOffset(0)
    }

    fn spare(&self) -> Vec<(SmolStr, u64)> {
        self.0.spare()
    }

    fn leaving(&self) -> Vec<SmolStr> {
        Vec::new()
    }
}

impl Fleet {
    pub fn list(&self, address: SocketAddr) {
        let vm = ListedVm {
            name: address.to_string().into(),
            zone: "catania".into(),
            role: VmRole::Entry,
            address,
            state: VmState::Live,
        };
        self.vms.0.lock().unwrap().push(vm);
    }

    /// Starts a listed daemon with a term of `term`.
    pub fn start(&self, index: u16, term: Duration, teams: Vec<TeamSpec>) -> Node {
        let address = address(index);
        self.list(address);
        let group = TaskGroup::new();
        let timer = TimerService::spawn(&group);
        let peer_table = Arc::new(PeerTable::new());
        let (_, teams) = watch::channel(teams);
        let limiter = LimitService::open(teams, peer_table.clone(), self.net.clone());
        let settings = MemberSettings {
            name: address.to_string().into(),
            zone: "catania".into(),
            peer: address,
            term,
            list_lag: Duration::from_millis(100),
            promise: term / 3,
        };
        let parts = MemberParts {
            journal: self.log.clone(),
            vms: self.vms.clone(),
            caller: self.net.clone(),
            peer_table,
            sink: Arc::new(limiter.clone()),
            source: Arc::new(Source(limiter.clone())),
        };
        let members = MemberService::open(&group, &timer, settings, parts);
        self.connect(address, &members, &limiter);
        Node {
            group,
            address,
            members,
            limiter,
        }
    }

    fn connect(&self, address: SocketAddr, members: &Members, limiter: &LimitService<MemoryNet>) {
        let (members, limiter) = (members.clone(), limiter.clone());
        let answer: Answer = Box::new(move |request| match request {
            PeerRequest::Status(status) => Some(PeerReply::Status(members.answer_status(&status))),
            PeerRequest::Borrow {
                borrower,
                team,
                tokens,
                min_tokens,
            } => Some(PeerReply::Loan(
                limiter.lend(borrower, &team, tokens, min_tokens),
            )),
            _ => None,
        });
        self.net.nodes.lock().unwrap().insert(address, answer);
    }
}

impl Node {
    pub fn share(&self) -> Option<u32> {
        self.members.share(Instant::now())
    }

    /// Ends all tasks at once, without `Leave`.
    pub async fn kill(&self, fleet: &Fleet) {
        fleet.net.nodes.lock().unwrap().remove(&self.address);
        self.group.shutdown().await;
    }
}
