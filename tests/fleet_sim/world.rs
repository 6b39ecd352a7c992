//! The simulated log, VM list, network and clock.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::catalog::TeamSpec;
use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::inventory::{ListedVm, VmRole, VmState};
use foxtailhill::journal::{LogRecord, ReadBatch, StreamBounds};
use foxtailhill::member::MemberRecord;
use foxtailhill::peer::{PeerStatus, TokenLoan};
use rand::Rng;
use rand::rngs::StdRng;

use super::{Outcome, TEAM};

/// Units of the fleet-wide bucket per token.
const NANO: u128 = 1_000_000_000;

/// A message between daemons.
#[derive(Clone, Debug)]
pub enum Message {
    StatusAsk {
        vm: VmId,
        asked_at: Instant,
    },
    StatusReply {
        status: PeerStatus,
        asked_at: Instant,
    },
    Borrow {
        tokens: u64,
        asked_at: Instant,
    },
    Loan {
        loan: TokenLoan,
        asked_at: Instant,
    },
}

pub struct Envelope {
    pub due: Duration,
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

struct PendingAppend {
    due: Duration,
    data: Bytes,
}

/// Everything outside the daemons.
pub struct World {
    pub rng: StdRng,
    pub origin: Instant,
    pub now: Duration,
    pub rate: u64,
    pub burst: u64,
    pub log: Vec<Bytes>,
    pub log_down: bool,
    pub draining: bool,
    appends: Vec<PendingAppend>,
    pub in_transit: Vec<Envelope>,
    /// Versions of the VM list and since when each holds.
    lists: Vec<(Duration, Vec<ListedVm>)>,
    /// Fleet-wide bucket that starts full and is charged the final amounts, in 10⁻⁹ tokens.
    level: u128,
    level_at: Duration,
    pub outcome: Outcome,
}

impl World {
    pub fn new(rng: StdRng, rate: u64, burst: u64) -> Self {
        Self {
            rng,
            origin: Instant::now(),
            now: Duration::ZERO,
            rate,
            burst,
            log: Vec::new(),
            log_down: false,
            draining: false,
            appends: Vec::new(),
            in_transit: Vec::new(),
            lists: vec![(Duration::ZERO, Vec::new())],
            level: u128::from(burst) * NANO,
            level_at: Duration::ZERO,
            outcome: Outcome::default(),
        }
    }

    pub fn instant(&self) -> Instant {
        super::instant(self.origin, self.now)
    }

    pub fn team(&self) -> TeamSpec {
        TeamSpec {
            name: TEAM.into(),
            rate: self.rate,
            burst: self.burst,
        }
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Advances the clock, lands appends and toggles outages.
    pub fn step(&mut self) {
        let step = self.millis(1..80);
        self.now += step;
        if self.rng.random_range(0..400) == 0 {
            self.log_down = !self.log_down;
        } else if self.log_down && self.rng.random_range(0..150) == 0 {
            self.log_down = false;
        }
        // Long quiet times fill the buckets; what was created twice shows when all is spent after them.
        let odds = if self.draining { 10 } else { 100 };
        if self.rng.random_range(0..odds) == 0 {
            self.draining = !self.draining;
        }
        self.appends.sort_by_key(|append| append.due);
        while !self.log_down
            && self
                .appends
                .first()
                .is_some_and(|append| append.due <= self.now)
        {
            let append = self.appends.remove(0);
            self.log.push(append.data);
        }
    }

    /// Appends a record that lands now, later or never. Returns whether the sender learns that it did not land.
    pub fn append(&mut self, record: &MemberRecord) -> bool {
        let data = record.encode().expect("encodes");
        if self.log_down && self.chance(50) {
            return false;
        }
        if self.chance(5) {
            return true;
        }
        let delay = if self.chance(10) {
            self.millis(0..6_000)
        } else {
            self.millis(0..60)
        };
        let due = self.now + delay;
        if self.chance(5) {
            let again = due + self.millis(0..4_000);
            self.appends.push(PendingAppend {
                due: again,
                data: data.clone(),
            });
        }
        self.appends.push(PendingAppend { due, data });
        true
    }

    pub fn read(&mut self, from: LogOffset) -> ReadBatch {
        let next = self.log.len() as u64;
        let end = from.0 + self.rng.random_range(1..8);
        let records = (from.0..next.min(end)).map(|offset| LogRecord {
            offset: LogOffset(offset),
            data: self.log[usize::try_from(offset).expect("small")].clone(),
        });
        ReadBatch {
            records: records.collect(),
            bounds: StreamBounds {
                first: LogOffset(0),
                next: LogOffset(next),
            },
        }
    }

    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.chance(8) {
            return;
        }
        let copies = if self.chance(8) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if self.chance(10) {
                self.millis(0..4_000)
            } else {
                self.millis(0..30)
            };
            self.in_transit.push(Envelope {
                due: self.now + delay,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    pub fn receive(&mut self, to: usize) -> Vec<Envelope> {
        let now = self.now;
        let in_transit = std::mem::take(&mut self.in_transit);
        let due = |envelope: &Envelope| envelope.to == to && envelope.due <= now;
        let (received, rest) = in_transit.into_iter().partition(due);
        self.in_transit = rest;
        received
    }

    /// Lists or removes a VM from now on; readers may see it later.
    pub fn list(&mut self, address: SocketAddr) {
        let mut list = self.lists[self.lists.len() - 1].1.clone();
        list.retain(|vm| vm.address != address);
        list.push(ListedVm {
            name: address.to_string().into(),
            zone: "catania".into(),
            role: VmRole::Entry,
            address,
            state: VmState::Live,
        });
        self.lists.push((self.now, list));
    }

    /// Reads the VM list as it was up to the lag ago.
    pub fn read_list(&mut self) -> Vec<ListedVm> {
        let lag = self.rng.random_range(Duration::ZERO..super::LIST_LAG);
        let at = self.now.saturating_sub(lag);
        let held = self.lists.iter().rev().find(|(since, _)| *since <= at);
        held.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Charges the tokens that a request admitted now will have consumed at its end.
    pub fn spend(&mut self, tokens: u64) {
        self.outcome.spent += tokens;
        let needed = u128::from(tokens) * NANO;
        match self.level().checked_sub(needed) {
            Some(left) => self.level = left,
            None => self.report_violation("spent", tokens),
        }
    }

    /// Checks that `tokens`, which the daemons could spend now, are within the bound.
    pub fn check_held(&mut self, tokens: u64) {
        if u128::from(tokens) * NANO > self.level() {
            self.report_violation("held", tokens);
        }
    }

    fn level(&mut self) -> u128 {
        let created = (self.now - self.level_at).as_nanos() * u128::from(self.rate);
        self.level = (self.level + created).min(u128::from(self.burst) * NANO);
        self.level_at = self.now;
        self.level
    }

    fn report_violation(&mut self, what: &str, tokens: u64) {
        let (rate, burst, left) = (self.rate, self.burst, self.level / NANO);
        let text = format!(
            "{tokens} tokens {what} at {:?} with {left} within the bound (rate {rate}, burst {burst})",
            self.now
        );
        self.outcome.excess.get_or_insert(text);
    }
}
