//! One simulated daemon.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxtailhill::ids::{LogOffset, VmId};
use foxtailhill::limit::{BudgetCharge, BudgetTable};
use foxtailhill::member::{AgentSettings, MemberAgent, MemberRecord, PeerTable};
use foxtailhill::peer::PeerStatus;
use foxtailhill::{Error, RunVerdict};
use rand::Rng;

use super::world::{Envelope, Message, World};
use super::{LIST_LAG, PROMISE, TEAM, TERM};

struct OpenCharge {
    charge: BudgetCharge,
    tokens: u64,
    used: u64,
    end: Duration,
}

pub struct SimNode {
    index: usize,
    address: SocketAddr,
    agent: MemberAgent,
    budgets: BudgetTable,
    peer_table: PeerTable,
    open: Vec<OpenCharge>,
    paused_until: Duration,
    /// End of the time during which this daemon alone cannot reach the log.
    log_cut_until: Duration,
    /// A `Leave` and when it may be appended.
    leave: Option<(MemberRecord, Instant)>,
    /// End of the stay after `Leave`, after which the VM is replaced.
    replaced_at: Option<Duration>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + u16::try_from(index).expect("small")))
}

fn settings(index: usize) -> AgentSettings {
    AgentSettings {
        name: format!("vm-{index}").into(),
        zone: "catania".into(),
        peer: address(index),
        term: TERM,
        list_lag: LIST_LAG,
        promise: PROMISE,
    }
}

impl SimNode {
    pub fn new(index: usize, world: &mut World) -> Self {
        world.list(address(index));
        let mut budgets = BudgetTable::default();
        budgets.set_teams(&[world.team()], world.instant());
        Self {
            index,
            address: address(index),
            agent: MemberAgent::new(settings(index), VmId(world.rng.random())),
            budgets,
            peer_table: PeerTable::new(),
            open: Vec::new(),
            paused_until: Duration::ZERO,
            log_cut_until: Duration::ZERO,
            leave: None,
            replaced_at: None,
        }
    }

    pub fn step(&mut self, world: &mut World) {
        if world.now < self.paused_until {
            return;
        }
        if self.replaced_at.is_some_and(|at| world.now >= at)
            || world.rng.random_range(0..1_500) == 0
        {
            self.restart(world);
            return;
        }
        if world.rng.random_range(0..400) == 0 {
            self.paused_until = world.now + world.millis(0..9_000);
            return;
        }
        if world.rng.random_range(0..300) == 0 {
            self.log_cut_until = world.now + world.millis(0..12_000);
        }
        for envelope in world.receive(self.index) {
            self.handle(envelope, world);
        }
        self.follow(world);
        self.append_due(world);
        self.ask_peers(world);
        self.settle_due(world);
        self.spend(world);
        self.maybe_leave(world);
    }

    fn restart(&mut self, world: &mut World) {
        world
            .in_transit
            .retain(|envelope| envelope.to != self.index);
        *self = Self::new(self.index, world);
    }

    fn follow(&mut self, world: &mut World) {
        if world.chance(30) {
            let list = world.read_list();
            self.agent
                .record_list(list, world.instant(), world.instant());
        }
        if world.log_down || world.now < self.log_cut_until || world.chance(30) {
            return;
        }
        let before = self.agent.table().next();
        let members = self.agent.table().len();
        let batch = world.read(self.agent.read_from());
        self.agent.apply(&batch, world.instant());
        let expired = self.agent.table().len() < members;
        world.outcome.expired += u64::from(expired && self.leave.is_none());
        self.adopt_share(before, world);
    }

    /// Does what the membership service does under the agent's lock.
    fn adopt_share(&mut self, before: LogOffset, world: &World) {
        let now = world.instant();
        let effective_at = self.budgets.set_grant(self.agent.grant(), now);
        if effective_at > now {
            self.agent.defer_ack(before, effective_at);
        }
    }

    fn append_due(&mut self, world: &mut World) {
        let now = world.instant();
        for record in self.agent.due(now) {
            let cut = world.now < self.log_cut_until && world.chance(90);
            if cut || !world.append(&record) {
                let error = Error::unavailable("log is down");
                self.agent.handle_append_result(&record, &Err(error), now);
            } else if world.chance(5) {
                let error = Error::unavailable("late").with_verdict(RunVerdict::MayHaveRun);
                self.agent.handle_append_result(&record, &Err(error), now);
            }
        }
    }

    fn ask_peers(&mut self, world: &mut World) {
        let asked_at = world.instant();
        if !world.chance(25) {
            return;
        }
        for peer in self.agent.peer_addresses() {
            let to = usize::from(peer.port() - 7_000);
            let vm = self.agent.vm();
            world.send(self.index, to, Message::StatusAsk { vm, asked_at });
        }
        let until = self.agent.grant().map(|grant| grant.until);
        self.agent.extend_term(&self.peer_table, world.instant());
        let extended = self.agent.grant().map(|grant| grant.until) > until;
        world.outcome.extended += u64::from(extended);
        self.adopt_share(self.agent.table().next(), world);
    }

    fn handle(&mut self, envelope: Envelope, world: &mut World) {
        let Envelope { from, message, .. } = envelope;
        let now = world.instant();
        match message {
            Message::StatusAsk { vm, asked_at } => {
                let promise = self.agent.promise(vm, now);
                let status = self.status(promise, now);
                world.send(self.index, from, Message::StatusReply { status, asked_at });
            }
            Message::StatusReply { status, asked_at } => {
                self.peer_table.record(address(from), status, asked_at);
            }
            Message::Borrow { tokens, asked_at } => {
                if let Some(loan) = self.budgets.lend(TEAM, tokens, 0, now) {
                    world.send(self.index, from, Message::Loan { loan, asked_at });
                }
            }
            Message::Loan { loan, asked_at } => {
                world.outcome.borrowed += loan.tokens;
                self.budgets
                    .add_loan(TEAM, address(from), loan, asked_at, now);
            }
        }
    }

    fn status(&mut self, no_expire_for: Duration, now: Instant) -> PeerStatus {
        PeerStatus {
            vm: self.agent.vm(),
            name: self.address.to_string().into(),
            config_next: LogOffset(0),
            members_next: self.agent.table().next(),
            log_reachable: true,
            no_expire_for,
            spare: self.budgets.spare(now),
            leaving: Vec::new(),
        }
    }

    fn spend(&mut self, world: &mut World) {
        let now = world.instant();
        if world.chance(20) {
            let to = world.rng.random_range(0..5);
            let tokens = world.rng.random_range(1..=world.burst);
            if to != self.index {
                let asked_at = now;
                world.send(self.index, to, Message::Borrow { tokens, asked_at });
            }
        }
        // Spending all that is held after a quiet time is what a doubled token shows in first.
        let attempts = if world.draining {
            4
        } else {
            u32::from(world.chance(5))
        };
        for _ in 0..attempts {
            let held = self.held(now).min(world.burst);
            let tokens = if world.chance(50) { held } else { held / 2 };
            let Ok(charge) = self.budgets.charge(TEAM, tokens, now) else {
                return;
            };
            let used = match world.rng.random_range(0..4) {
                0 => 0,
                1 => tokens,
                _ => world.rng.random_range(0..=tokens),
            };
            world.spend(used);
            let end = world.now + world.millis(0..3_000);
            self.open.push(OpenCharge {
                charge,
                tokens,
                used,
                end,
            });
        }
    }

    /// Returns the tokens that the daemon could spend now.
    pub fn held(&mut self, now: Instant) -> u64 {
        let dump = self.budgets.dump(now);
        if dump.ppm.is_none() {
            return 0;
        }
        let held = dump.teams.iter().map(|team| team.balance + team.borrowed);
        held.sum()
    }

    fn settle_due(&mut self, world: &mut World) {
        let now = world.now;
        let (done, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|charge: &OpenCharge| charge.end <= now);
        self.open = open;
        for charge in done {
            world.outcome.refunded += charge.tokens - charge.used;
            let now = world.instant();
            self.budgets.settle(TEAM, charge.charge, charge.used, now);
        }
    }

    fn maybe_leave(&mut self, world: &mut World) {
        let now = world.instant();
        if self.leave.is_none() && world.rng.random_range(0..1_500) == 0 {
            let record = self.agent.leave();
            let effective_at = self.budgets.set_grant(None, now);
            self.leave = Some((record, effective_at));
            self.replaced_at = Some(world.now + Duration::from_secs(5));
            world.outcome.left += 1;
        }
        if let Some((record, effective_at)) = &self.leave
            && now >= *effective_at
            && world.chance(10)
        {
            world.append(&record.clone());
        }
    }
}
