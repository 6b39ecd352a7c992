//! Service that replays the `orders` stream and runs the planning rounds of one zone.
//!
//! It belongs to the deployment with a replicated log. On the users' platform, the planner in `src/relay/planner.rs`
//! plans for the whole fleet instead.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use crate::engine::{EngineClient, LoadReport, OrderAction};
use crate::ids::{LogOffset, RecordId, VmId};
use crate::journal::{JournalClient, ReadBatch, StreamName};
use crate::kernel::TaskGroup;
use crate::ledger::{LedgerTiming, MemoryLedger};
use crate::placement::round::run_rounds;
use crate::placement::{
    FleetFacts, OrderReason, OrderRecord, OrderTracker, PlacementPolicy, ReadBack,
};
use crate::timer::TimerService;

/// Records per read of the stream.
const READ_MAX: usize = 512;
/// Time beyond the read's own wait after which a read without an answer is abandoned.
const READ_SLACK: Duration = Duration::from_secs(2);

/// A planner's zone, incarnation and fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerFence {
    pub zone: SmolStr,
    /// Incarnation that leads. A daemon that expired while it was paused has another one when it leads again.
    pub vm: VmId,
    /// Offset of the `members` record that made the daemon planner. Engines see the offset of an order instead, see
    /// [`OrderTracker::begin_send`].
    pub fence: LogOffset,
}

/// Access of the order service to the member table.
pub trait PlannerRole: Send + Sync + 'static {
    /// Returns zone, incarnation and fencing number if this daemon is planner and its term has not ended on a monotonic
    /// clock.
    fn planner_fence(&self) -> Option<PlannerFence>;

    /// Returns whether `vm` left or expired on the replayed `members` stream, or is not in the member table.
    fn has_left(&self, vm: VmId) -> bool;
}

/// Source of the facts of a planning round: catalog, VM list, demand.
pub trait FleetView: Send + Sync + 'static {
    /// Returns the current facts. They must have no models until the catalog has been replayed, because items of
    /// undeclared models are unloaded.
    fn facts(&self) -> Arc<FleetFacts>;
}

/// Settings of an [`OrderService`].
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// Time between planning rounds.
    pub round_interval: Duration,
    /// Maximum time from appending a record until it is read back.
    pub record_timeout: Duration,
    /// Maximum time until an engine answers an order.
    pub send_timeout: Duration,
    /// Time after which an order without a final answer is sent again.
    pub resend_interval: Duration,
    /// Time after which an order without a final answer is closed. It must be well below the log's retention, so that a
    /// new planner reads every order that can still be sent.
    pub give_up_after: Duration,
    /// Maximum age of a load report that proves that a replica is present.
    pub report_max_age: Duration,
    /// Maximum time that one read waits for new records.
    pub read_wait: Duration,
    /// Pause after a failed read or append.
    pub retry_pause: Duration,
    pub timing: LedgerTiming,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_millis(500),
            record_timeout: Duration::from_secs(3),
            send_timeout: Duration::from_secs(5),
            resend_interval: Duration::from_secs(10),
            give_up_after: Duration::from_secs(600),
            report_max_age: Duration::from_secs(10),
            read_wait: Duration::from_millis(500),
            retry_pause: Duration::from_millis(200),
            timing: LedgerTiming::default(),
        }
    }
}

/// Memory ledger of one server for the state dump, in bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServerDump {
    pub server: SmolStr,
    pub capacity: u64,
    pub committed: u64,
    /// Orders that can still take effect: offset, action, and whether the order is open.
    pub orders: Vec<(LogOffset, OrderAction, bool)>,
}

/// State of an [`OrderService`] for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrderDump {
    /// Next offset of the stream to apply.
    pub next: LogOffset,
    /// Fencing number under which this daemon leads its zone.
    pub led: Option<LogOffset>,
    pub open_orders: usize,
    /// Orders recorded by this daemon since it started, by reason.
    pub moves: Vec<(OrderReason, u64)>,
    pub servers: Vec<ServerDump>,
}

/// Tracked orders, and the tasks that wait for records to be read back.
pub(super) struct ServiceState {
    pub(super) orders: OrderTracker,
    waiters: HashMap<RecordId, oneshot::Sender<ReadBack>>,
}

impl ServiceState {
    /// Registers the record `id` that is about to be appended. The receiver resolves when the record is read back.
    pub(super) fn expect_record(&mut self, id: RecordId) -> oneshot::Receiver<ReadBack> {
        let (sender, receiver) = oneshot::channel();
        self.orders.expect_record(id);
        self.waiters.insert(id, sender);
        receiver
    }

    pub(super) fn forget_expected(&mut self, id: RecordId) {
        self.orders.forget_expected(id);
        self.waiters.remove(&id);
    }

    fn apply(&mut self, offset: LogOffset, record: &OrderRecord, now: Instant) {
        let Some((id, read_back)) = self.orders.apply(offset, record, now) else {
            return;
        };
        let waiter = self.waiters.remove(&id);
        let delivered = waiter.is_some_and(|waiter| waiter.send(read_back).is_ok());
        if let (false, ReadBack::Valid(offset)) = (delivered, read_back) {
            self.orders.close_order(offset);
        }
    }
}

pub(super) struct Shared<J, E> {
    pub(super) journal: Arc<J>,
    pub(super) engine: Arc<E>,
    pub(super) settings: OrderSettings,
    state: Mutex<ServiceState>,
    /// Wakes the task that appends `Done` records.
    pub(super) done: Notify,
}

impl<J, E> Shared<J, E> {
    pub(super) fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle to the tasks that replay `orders` and, while this daemon is planner, plan. Clones share the tasks.
pub struct OrderService<J, E> {
    shared: Arc<Shared<J, E>>,
}

impl<J, E> Clone for OrderService<J, E> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<J: JournalClient, E: EngineClient> OrderService<J, E> {
    /// Starts the tasks in `group`.
    #[allow(clippy::too_many_arguments)]
    pub fn spawn<R: PlannerRole, V: FleetView, P: PlacementPolicy>(
        journal: Arc<J>,
        engine: Arc<E>,
        role: Arc<R>,
        view: Arc<V>,
        policy: P,
        settings: OrderSettings,
        timer: &TimerService,
        group: &TaskGroup,
    ) -> Self {
        let state = ServiceState {
            orders: OrderTracker::new(settings.timing, settings.report_max_age),
            waiters: HashMap::new(),
        };
        let ticks = timer.every(settings.round_interval);
        let shared = Arc::new(Shared {
            journal,
            engine,
            settings,
            state: Mutex::new(state),
            done: Notify::new(),
        });
        group.spawn_essential("orders-reader", read_stream(shared.clone()));
        group.spawn_essential("orders-writer", append_done(shared.clone()));
        let rounds = run_rounds(shared.clone(), role, view, policy, ticks, group.clone());
        // The timer service stops when its last handle is dropped.
        let timer = timer.clone();
        group.spawn_essential("planning-rounds", async move {
            rounds.await;
            drop(timer);
        });
        Self { shared }
    }

    /// Applies a load report of `server` that was requested at `asked_at`.
    ///
    /// Every daemon must call it with every report, as any of them may become planner.
    pub fn note_report(&self, server: &SmolStr, report: &LoadReport, asked_at: Instant) {
        self.shared
            .state()
            .orders
            .note_report(server, report, asked_at, Instant::now());
        self.shared.done.notify_one();
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> OrderDump {
        let orders = &self.shared.state().orders;
        let mut servers: Vec<ServerDump> = orders
            .ledgers()
            .map(|(name, ledger)| dump_server(name, ledger))
            .collect();
        servers.sort_by(|a, b| a.server.cmp(&b.server));
        let moves = orders
            .moves()
            .iter()
            .map(|(reason, n)| (*reason, *n))
            .collect();
        OrderDump {
            next: orders.next(),
            led: orders.leading_fence(),
            open_orders: orders.own_open_count(),
            moves,
            servers,
        }
    }
}

fn dump_server(name: &SmolStr, ledger: &MemoryLedger) -> ServerDump {
    ServerDump {
        server: name.clone(),
        capacity: ledger.capacity(),
        committed: ledger.committed(),
        orders: ledger
            .orders()
            .map(|(offset, order)| (offset, order.action.clone(), order.open))
            .collect(),
    }
}

async fn read_stream<J: JournalClient, E: EngineClient>(shared: Arc<Shared<J, E>>) {
    let wait = shared.settings.read_wait;
    loop {
        let next = shared.state().orders.next();
        let read = shared
            .journal
            .read(StreamName::Orders, next, READ_MAX, wait);
        match tokio::time::timeout(wait + READ_SLACK, read).await {
            Ok(Ok(batch)) => apply_read(&shared, &batch),
            failure => {
                if let Ok(Err(error)) = failure {
                    log::debug!("cannot read the orders stream from offset {next}: {error}");
                }
                tokio::time::sleep(shared.settings.retry_pause).await;
            }
        }
    }
}

fn apply_read<J, E>(shared: &Shared<J, E>, read: &ReadBatch) {
    let now = Instant::now();
    let mut state = shared.state();
    for record in &read.records {
        match OrderRecord::decode(&record.data) {
            Ok(decoded) => state.apply(record.offset, &decoded, now),
            Err(error) => {
                log::error!(
                    "skipping record {} of the orders stream: {error}",
                    record.offset
                );
                state.orders.skip(record.offset);
            }
        }
    }
    drop(state);
    shared.done.notify_one();
}

/// Appends `Done` for closed orders until the append is confirmed or read back. A repeated `Done` has no effect.
async fn append_done<J: JournalClient, E: EngineClient>(shared: Arc<Shared<J, E>>) {
    loop {
        shared.done.notified().await;
        loop {
            let Some(order) = shared.state().orders.unlogged_done() else {
                break;
            };
            if append(&shared, &OrderRecord::Done { order }).await {
                shared.state().orders.note_done_logged(order);
            } else {
                tokio::time::sleep(shared.settings.retry_pause).await;
            }
        }
    }
}

/// Appends a record; returns whether the log confirmed it.
async fn append<J: JournalClient, E>(shared: &Shared<J, E>, record: &OrderRecord) -> bool {
    let data = match record.encode() {
        Ok(data) => data,
        Err(error) => {
            log::error!("cannot append to the orders stream: {error}");
            return false;
        }
    };
    let append = shared.journal.append(StreamName::Orders, data);
    match tokio::time::timeout(shared.settings.record_timeout, append).await {
        Ok(Ok(_)) => true,
        Ok(Err(error)) => {
            log::debug!("append of an order record was not confirmed: {error}");
            false
        }
        Err(_) => false,
    }
}
