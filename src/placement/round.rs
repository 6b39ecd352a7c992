//! Planning rounds: take the lead, propose, record, check again, send.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use crate::engine::EngineClient;
use crate::error::{Error, Result, RunVerdict};
use crate::ids::{LogOffset, RecordId};
use crate::journal::{JournalClient, StreamName};
use crate::kernel::TaskGroup;
use crate::ledger::MemoryLedger;
use crate::placement::board::{ReadBack, SendBar};
use crate::placement::service::Shared;
use crate::placement::{
    FleetFacts, FleetView, LoadBudget, OrderRecord, PlacementInput, PlacementPolicy, PlannerFence,
    PlannerRole, ProposedOrder,
};
use crate::timer::TimerTicks;

struct Awaited<'a, J, E> {
    shared: &'a Shared<J, E>,
    id: RecordId,
}

impl<J, E> Drop for Awaited<'_, J, E> {
    fn drop(&mut self) {
        self.shared.desk().withdraw(self.id);
    }
}

struct Rounds<J, E, R, V> {
    shared: Arc<Shared<J, E>>,
    role: Arc<R>,
    view: Arc<V>,
    keep_last: bool,
    group: TaskGroup,
}

/// Runs a round per tick until the timer service stops.
pub(super) async fn run_rounds<J, E, R, V, P>(
    shared: Arc<Shared<J, E>>,
    role: Arc<R>,
    view: Arc<V>,
    mut policy: P,
    mut ticks: TimerTicks,
    group: TaskGroup,
) where
    J: JournalClient,
    E: EngineClient,
    R: PlannerRole,
    V: FleetView,
    P: PlacementPolicy,
{
    let rounds = Rounds {
        shared,
        role,
        view,
        keep_last: policy.keeps_last_replica(),
        group,
    };
    while ticks.next().await.is_some() {
        rounds.refresh();
        let Some(planner) = rounds.role.planner_fence() else {
            rounds.shared.desk().board.set_led(None);
            continue;
        };
        if let Err(error) = rounds.take_lead(&planner).await {
            log::debug!("the lead of {} is not taken yet: {error}", planner.zone);
            continue;
        }
        rounds.end_former(&planner);
        rounds.send_due();
        let (same, proposals) = rounds.propose(&planner, policy).await;
        policy = same;
        if let Err(error) = rounds.run(&planner, proposals).await {
            log::debug!("planning round in {} ended early: {error}", planner.zone);
        }
    }
}

impl<J, E, R, V> Rounds<J, E, R, V>
where
    J: JournalClient,
    E: EngineClient,
    R: PlannerRole,
    V: FleetView,
{
    /// Brings the ledgers up to date, on every daemon: any of them may be planner next.
    fn refresh(&self) {
        let facts = self.view.facts();
        let now = Instant::now();
        let board = &mut self.shared.desk().board;
        board.declare(facts);
        board.close_former(|vm| self.role.has_left(vm), now);
    }

    async fn run(&self, planner: &PlannerFence, proposals: Vec<ProposedOrder>) -> Result<()> {
        for proposed in proposals {
            self.carry_out(planner, proposed).await?;
        }
        Ok(())
    }

    /// Records that this daemon leads its zone and waits until the stream shows it. All orders of former
    /// planners that were ever valid are then replayed.
    async fn take_lead(&self, planner: &PlannerFence) -> Result<()> {
        if self.shared.desk().board.led() == Some(planner.fence) {
            return Ok(());
        }
        let id = RecordId::random();
        let record = OrderRecord::Lead {
            id,
            zone: planner.zone.clone(),
            planner_fence: planner.fence,
            planner: planner.vm,
        };
        match self.record(id, &record).await? {
            ReadBack::Valid(_) => {
                log::info!("planner of {} with fence {}", planner.zone, planner.fence);
                self.shared.desk().board.set_led(Some(planner.fence));
                Ok(())
            }
            ReadBack::Void => Err(Error::unavailable("a newer planner leads the zone")),
        }
    }

    /// Plans on a blocking thread: a round may take tens of milliseconds at full size.
    async fn propose<P: PlacementPolicy>(
        &self,
        planner: &PlannerFence,
        policy: P,
    ) -> (P, Vec<ProposedOrder>) {
        let now = Instant::now();
        let (facts, ledgers, budget) = {
            let board = &mut self.shared.desk().board;
            let budget = board.budget(&planner.zone, now);
            let facts = board.facts();
            let ledgers = board.ledgers_of(&facts.servers);
            (facts, ledgers, budget)
        };
        let zone = planner.zone.clone();
        let round = move || plan(policy, &facts, &ledgers, &zone, budget, now);
        match tokio::task::spawn_blocking(round).await {
            Ok(planned) => planned,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }

    async fn carry_out(&self, planner: &PlannerFence, proposed: ProposedOrder) -> Result<()> {
        let Some(order) = self.shared.desk().board.admit(planner, &proposed) else {
            return Ok(());
        };
        let id = order.id;
        let place = self.record(id, &OrderRecord::Order(order)).await?;
        let ReadBack::Valid(offset) = place else {
            return Ok(());
        };
        self.shared.desk().board.count_move(proposed.reason);
        self.spawn_send(offset);
        Ok(())
    }

    /// Appends a record and waits until the stream shows it.
    async fn record(&self, id: RecordId, record: &OrderRecord) -> Result<ReadBack> {
        let data = record.encode()?;
        let shared = &self.shared;
        let receiver = shared.desk().expect(id);
        // Withdraws the record if this future is dropped as well.
        let _awaited = Awaited { shared, id };
        let appended = async {
            // An unknown answer is resolved by what the stream shows.
            if let Err(error) = shared.journal.append(StreamName::Orders, data).await {
                log::debug!("the append of order record {id} was not confirmed: {error}");
                if error.verdict() == RunVerdict::NotRun {
                    return None;
                }
            }
            receiver.await.ok()
        };
        let place = tokio::time::timeout(shared.settings.record_wait, appended).await;
        match place {
            Ok(Some(place)) => Ok(place),
            _ => Err(Error::unavailable(
                "an order record did not show on the log in time",
            )),
        }
    }

    fn end_former(&self, planner: &PlannerFence) {
        let board = &mut self.shared.desk().board;
        board.end_former(planner.fence, Instant::now());
    }

    fn send_due(&self) {
        let settings = &self.shared.settings;
        let due = self.shared.desk().board.due(
            settings.repeat_every,
            settings.repeat_for,
            Instant::now(),
        );
        for offset in due {
            self.spawn_send(offset);
        }
        self.shared.done.notify_one();
    }

    fn spawn_send(&self, offset: LogOffset) {
        let (shared, role) = (self.shared.clone(), self.role.clone());
        let keep_last = self.keep_last;
        self.group
            .spawn_cancellable(async move { send(&shared, &*role, offset, keep_last).await });
    }
}

/// Sends an own order if this daemon is still planner and the order is still safe.
async fn send<J, E, R>(shared: &Shared<J, E>, role: &R, offset: LogOffset, keep_last: bool)
where
    J: JournalClient,
    E: EngineClient,
    R: PlannerRole,
{
    let planner = role.planner_fence();
    let begun = {
        let board = &mut shared.desk().board;
        let recorded_as = board.own_fence(offset);
        if planner.is_none() || planner.map(|planner| planner.fence) != recorded_as {
            return;
        }
        let begun = board.begin_send(offset, keep_last, Instant::now());
        if matches!(begun, Err(SendBar::Unsafe)) {
            board.end(offset);
        }
        begun
    };
    shared.done.notify_one();
    let Ok((order, server)) = begun else { return };
    let answer = shared.engine.order(server.address, &order);
    match tokio::time::timeout(shared.settings.send_wait, answer).await {
        Ok(Ok(reply)) => shared.desk().board.answered(offset, reply, Instant::now()),
        Ok(Err(error)) => log::debug!("order {offset} to {} has no answer: {error}", server.name),
        Err(_) => log::debug!("order {offset} to {} has no answer in time", server.name),
    }
    shared.done.notify_one();
}

fn plan<P: PlacementPolicy>(
    mut policy: P,
    facts: &FleetFacts,
    ledgers: &[Arc<MemoryLedger>],
    zone: &SmolStr,
    budget: LoadBudget,
    now: Instant,
) -> (P, Vec<ProposedOrder>) {
    let ledgers: Vec<&MemoryLedger> = ledgers.iter().map(|ledger| &**ledger).collect();
    let input = PlacementInput {
        facts,
        ledgers: &ledgers,
        zone,
        budget,
        now,
    };
    let proposals = policy.plan(&input);
    (policy, proposals)
}
