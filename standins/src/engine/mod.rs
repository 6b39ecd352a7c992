//! Stand-in of a model engine with continuous batching.
//!
//! The wire format is that of [`foxtailhill::engine::HttpEngine`], and in addition:
//!
//! - `POST /role` with `{"fence", "role"}` sets the role. Fencing numbers are checked as for orders.
//! - `GET /kv/{request id}` exports the KV cache of a request, `POST /kv` imports it.
//! - Control: `POST /control/faults` with an [`EngineFault`], `POST /control/order_faults` with an [`OrderFault`],
//!   `POST /control/leaving`, `POST /control/crash`, `GET /control/journal` returns an [`EngineJournal`],
//!   `GET /control/received` the received requests.

mod batch;
mod cache;
mod http_api;
mod journal;
mod memory;
mod options;
mod report;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use foxtailhill::engine::{OrderAction, PREFIX_BLOCK_BYTES, ResidentItem};
use foxtailhill::kernel::TaskGroup;
use smol_str::SmolStr;
use tokio::sync::Notify;

use self::batch::{BatchQueue, Sequence};
use self::cache::PrefixCache;
pub use self::journal::{EngineJournal, RunOutcome, RunRecord};
pub use self::memory::OrderRecord;
use self::memory::WeightMemory;
pub use self::options::{EngineFault, EngineOptions, OrderFault};
use self::report::ReportHistory;
use crate::client::JsonClient;
use crate::record::{ReceivedLog, ReceivedRequest};
use crate::serve::{RunningServer, lock};

/// Delay before a failed load from the weight store is retried.
const LOAD_RETRY: Duration = Duration::from_millis(200);
/// Timeout of one load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3600);
/// Maximum number of requests whose KV cache can be exported.
const MAX_EXPORTS: usize = 4096;
/// Bytes of a prompt that count as one token, as in [`crate::tokens`].
const BYTES_PER_TOKEN: usize = 4;

/// Prefix hashes of the latest requests, for KV export.
#[derive(Default)]
struct ExportList {
    by_id: HashMap<SmolStr, Vec<u64>>,
    /// Ids in order of arrival.
    ids: VecDeque<SmolStr>,
}

impl ExportList {
    fn insert(&mut self, id: SmolStr, prefixes: Vec<u64>) {
        if self.by_id.insert(id.clone(), prefixes).is_none() {
            self.ids.push_back(id);
        }
        if self.ids.len() > MAX_EXPORTS
            && let Some(oldest) = self.ids.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }
}

struct EngineState {
    options: EngineOptions,
    group: TaskGroup,
    memory: Mutex<WeightMemory>,
    batch: Mutex<BatchQueue>,
    wake: Notify,
    cache: Mutex<PrefixCache>,
    exports: Mutex<ExportList>,
    reports: Mutex<ReportHistory>,
    faults: Mutex<VecDeque<EngineFault>>,
    order_faults: Mutex<VecDeque<OrderFault>>,
    journal: Mutex<EngineJournal>,
    received: ReceivedLog,
    leaving: AtomicBool,
    store: JsonClient,
}

/// A running engine.
pub struct EngineStandin {
    server: RunningServer,
    state: Arc<EngineState>,
}

impl EngineStandin {
    /// Binds the address and starts to serve.
    pub async fn open(options: EngineOptions) -> std::io::Result<Self> {
        let bind = options.bind;
        let group = TaskGroup::new();
        let state = Arc::new(EngineState::new(options, group.clone()));
        state.take_report();
        group.spawn_cancellable(batch::run(state.clone()));
        group.spawn_cancellable(report::run(state.clone()));
        let router = http_api::router(state.clone());
        let server = RunningServer::open(bind, router, group).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Queues a fault; each completion takes the oldest one.
    pub fn push_fault(&self, fault: EngineFault) {
        lock(&self.state.faults).push_back(fault);
    }

    /// Removes the queued faults of requests.
    pub fn clear_faults(&self) {
        lock(&self.state.faults).clear();
    }

    /// Queues a fault for orders; each order takes the oldest one.
    pub fn push_order_fault(&self, fault: OrderFault) {
        lock(&self.state.order_faults).push_back(fault);
    }

    /// Sets `leaving` in all later load reports.
    pub fn mark_leaving(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Crashes the engine: all connections close without an answer. The journal stays readable through the handle.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns whether the engine still runs; false after a crash.
    pub fn is_running(&self) -> bool {
        !self.state.group.is_cancelled()
    }

    /// Returns a copy of the journal. Runs still open after a crash are reported as crashed.
    pub fn journal(&self) -> EngineJournal {
        self.state.journal()
    }

    /// Returns the models and adapters in memory, without those being loaded.
    pub fn resident(&self) -> Vec<ResidentItem> {
        let (resident, _) = lock(&self.state.memory).report();
        resident.into_iter().map(|(item, _)| item).collect()
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> usize {
        lock(&self.state.batch).running.len()
    }

    /// Returns the received requests, if they are kept.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.all()
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}

impl EngineState {
    fn new(options: EngineOptions, group: TaskGroup) -> Self {
        let block_bytes =
            (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u64 * options.kv_bytes_per_token;
        let blocks = usize::try_from(options.cache_bytes / block_bytes.max(1)).unwrap_or(0);
        let cache = PrefixCache::new(
            blocks,
            options.cache_event_delay,
            options.cache_event_loss,
            options.seed,
        );
        let memory = WeightMemory::new(
            options.memory_bytes,
            options.checks_fencing,
            &options.resident,
        );
        Self {
            group,
            memory: Mutex::new(memory),
            batch: Mutex::default(),
            wake: Notify::new(),
            cache: Mutex::new(cache),
            exports: Mutex::default(),
            reports: Mutex::new(ReportHistory::new()),
            faults: Mutex::default(),
            order_faults: Mutex::default(),
            journal: Mutex::default(),
            received: ReceivedLog::new(options.keep_received),
            leaving: AtomicBool::new(false),
            store: JsonClient::new(LOAD_TIMEOUT),
            options,
        }
    }

    /// Returns the number of prompt tokens in `blocks` full blocks.
    fn block_tokens(&self, blocks: usize) -> u32 {
        u32::try_from(blocks * PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    fn crash(&self) {
        if self.options.exit_on_crash {
            std::process::exit(1);
        }
        self.group.cancel();
    }

    fn end_run(&self, sequence: &Sequence, outcome: RunOutcome) {
        let mut journal = lock(&self.journal);
        let run = &mut journal.runs[sequence.run_index];
        run.next_index = sequence.next_index;
        run.outcome = outcome;
        drop(journal);
        lock(&self.memory).unpin(&sequence.pinned_items);
    }

    fn journal(&self) -> EngineJournal {
        let mut journal = lock(&self.journal).clone();
        if self.group.is_cancelled() {
            let open = journal.runs.iter_mut();
            open.filter(|run| run.outcome == RunOutcome::Open)
                .for_each(|run| run.outcome = RunOutcome::Crashed);
        }
        let memory = lock(&self.memory);
        journal.orders.clone_from(&memory.orders);
        journal.memory_peak = memory.peak_bytes;
        journal.memory_level = memory.used_bytes();
        journal.overcommits.clone_from(&memory.overcommits);
        journal
    }
}

/// Loads an item, with retries until the load succeeds or the item is no longer wanted.
async fn load_item(state: Arc<EngineState>, action: OrderAction) {
    let OrderAction::Load { item, bytes } = action else {
        return;
    };
    while lock(&state.memory).wants_load(&item) && !fetch(&state, &item, bytes).await {
        tokio::time::sleep(LOAD_RETRY.mul_f64(state.options.time_scale)).await;
    }
    lock(&state.memory).finish_load(&item);
}

async fn fetch(state: &EngineState, item: &ResidentItem, bytes: u64) -> bool {
    let Some(store) = state.options.weight_store else {
        let seconds = bytes as f64 / state.options.load_bytes_per_s;
        let time = Duration::from_secs_f64(seconds);
        tokio::time::sleep(time.mul_f64(state.options.time_scale)).await;
        return true;
    };
    let adapter = item.adapter.as_ref();
    let adapter = adapter.map_or_else(String::new, |name| format!("&adapter={name}"));
    let path = format!(
        "/weights/{}/{}?bytes={bytes}{adapter}",
        item.model, item.version
    );
    let loaded = state.store.get::<serde_json::Value>(store, &path).await;
    loaded.is_ok()
}
