//! Planning rounds: take the lead of the zone, propose orders, record them, check them again, send them.

use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use crate::engine::EngineClient;
use crate::error::{Error, Result, RunVerdict};
use crate::ids::{LogOffset, RecordId};
use crate::journal::{JournalClient, StreamName};
use crate::kernel::TaskGroup;
use crate::ledger::MemoryLedger;
use crate::placement::service::Shared;
use crate::placement::tracker::{ReadBack, SendRefusal};
use crate::placement::{
    FleetFacts, FleetView, LoadBudget, OrderRecord, PlacementInput, PlacementPolicy, PlannerFence,
    PlannerRole, ProposedOrder,
};
use crate::timer::TimerTicks;

struct ExpectGuard<'a, J, E> {
    shared: &'a Shared<J, E>,
    id: RecordId,
}

impl<J, E> Drop for ExpectGuard<'_, J, E> {
    fn drop(&mut self) {
        self.shared.state().forget_expected(self.id);
    }
}

struct PlanningRounds<J, E, R, V> {
    shared: Arc<Shared<J, E>>,
    role: Arc<R>,
    view: Arc<V>,
    keep_last: bool,
    group: TaskGroup,
}

/// Runs one planning round per tick until the timer service stops.
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
    let rounds = PlanningRounds {
        shared,
        role,
        view,
        keep_last: policy.keeps_last_replica(),
        group,
    };
    while ticks.next().await.is_some() {
        rounds.refresh();
        let Some(planner) = rounds.role.planner_fence() else {
            rounds.shared.state().orders.set_leading_fence(None);
            continue;
        };
        if let Err(error) = rounds.take_lead(&planner).await {
            log::debug!("cannot take the lead of zone {} yet: {error}", planner.zone);
            continue;
        }
        rounds.close_outdated_orders(&planner);
        rounds.send_due();
        let (returned, proposals) = rounds.propose(&planner, policy).await;
        policy = returned;
        if let Err(error) = rounds.carry_out_all(&planner, proposals).await {
            log::debug!(
                "planning round in zone {} ended early: {error}",
                planner.zone
            );
        }
    }
}

impl<J, E, R, V> PlanningRounds<J, E, R, V>
where
    J: JournalClient,
    E: EngineClient,
    R: PlannerRole,
    V: FleetView,
{
    /// Updates facts and ledgers. Runs on every daemon, as any of them may become planner.
    fn refresh(&self) {
        let facts = self.view.facts();
        let now = Instant::now();
        let orders = &mut self.shared.state().orders;
        orders.declare(facts);
        orders.close_former_orders(|vm| self.role.has_left(vm), now);
    }

    async fn carry_out_all(
        &self,
        planner: &PlannerFence,
        proposals: Vec<ProposedOrder>,
    ) -> Result<()> {
        for proposed in proposals {
            self.carry_out(planner, proposed).await?;
        }
        Ok(())
    }

    /// Appends a `Lead` record and waits until it is read back. By then all valid orders of former planners have been
    /// replayed.
    async fn take_lead(&self, planner: &PlannerFence) -> Result<()> {
        if self.shared.state().orders.leading_fence() == Some(planner.fence) {
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
                log::info!(
                    "this daemon is now planner of zone {} with fencing number {}",
                    planner.zone,
                    planner.fence
                );
                self.shared
                    .state()
                    .orders
                    .set_leading_fence(Some(planner.fence));
                Ok(())
            }
            ReadBack::Fenced => Err(Error::unavailable("a newer planner leads the zone")),
        }
    }

    /// Plans on a blocking thread, as a round of a large fleet may take tens of milliseconds.
    async fn propose<P: PlacementPolicy>(
        &self,
        planner: &PlannerFence,
        policy: P,
    ) -> (P, Vec<ProposedOrder>) {
        let now = Instant::now();
        let (facts, ledgers, budget) = {
            let orders = &mut self.shared.state().orders;
            let budget = orders.budget(&planner.zone, now);
            let facts = orders.facts();
            let ledgers = orders.ledgers_of(&facts.servers);
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
        let Some(order) = self
            .shared
            .state()
            .orders
            .accept_proposal(planner, &proposed)
        else {
            return Ok(());
        };
        let id = order.id;
        let read_back = self.record(id, &OrderRecord::Order(order)).await?;
        let ReadBack::Valid(offset) = read_back else {
            return Ok(());
        };
        self.shared.state().orders.count_move(proposed.reason);
        self.spawn_send(offset);
        Ok(())
    }

    /// Appends a record and waits until it is read back.
    async fn record(&self, id: RecordId, record: &OrderRecord) -> Result<ReadBack> {
        let data = record.encode()?;
        let shared = &self.shared;
        let receiver = shared.state().expect_record(id);
        // Also stops waiting for the record if this future is dropped.
        let _guard = ExpectGuard { shared, id };
        let appended = async {
            // If it is unknown whether the append ran, reading the stream decides.
            if let Err(error) = shared.journal.append(StreamName::Orders, data).await {
                log::debug!("append of order record {id} was not confirmed: {error}");
                if error.verdict() == RunVerdict::NotRun {
                    return None;
                }
            }
            receiver.await.ok()
        };
        let read_back = tokio::time::timeout(shared.settings.record_timeout, appended).await;
        match read_back {
            Ok(Some(read_back)) => Ok(read_back),
            _ => Err(Error::unavailable(
                "an order record was not appended or not read back in time",
            )),
        }
    }

    fn close_outdated_orders(&self, planner: &PlannerFence) {
        let orders = &mut self.shared.state().orders;
        orders.close_outdated_orders(planner.fence, Instant::now());
    }

    fn send_due(&self) {
        let settings = &self.shared.settings;
        let due = self.shared.state().orders.orders_to_send(
            settings.resend_interval,
            settings.give_up_after,
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

/// Sends an order of this daemon if it is still planner under the same fencing number and the order is still safe.
async fn send<J, E, R>(shared: &Shared<J, E>, role: &R, offset: LogOffset, keep_last: bool)
where
    J: JournalClient,
    E: EngineClient,
    R: PlannerRole,
{
    let planner = role.planner_fence();
    let begun = {
        let orders = &mut shared.state().orders;
        let recorded_as = orders.own_fence(offset);
        if planner.is_none() || planner.map(|planner| planner.fence) != recorded_as {
            return;
        }
        let begun = orders.begin_send(offset, keep_last, Instant::now());
        if matches!(begun, Err(SendRefusal::Unsafe)) {
            orders.close_order(offset);
        }
        begun
    };
    shared.done.notify_one();
    let Ok((order, server)) = begun else { return };
    let answer = shared.engine.order(server.address, &order);
    match tokio::time::timeout(shared.settings.send_timeout, answer).await {
        Ok(Ok(reply)) => shared
            .state()
            .orders
            .note_answer(offset, reply, Instant::now()),
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
