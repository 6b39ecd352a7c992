//! Keeps the view of all backend servers current from load reports, cache events, the VM list and peers.
//!
//! The request path reads an [`Arc`] of the latest [`FleetSnapshot`], whose counters and flags are updated in place.

mod server;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::server::{ReportEffect, ServerState};
use crate::catalog::BackendSpec;
use crate::engine::{EngineClient, LoadReport};
use crate::inventory::{ListedVm, VmList, VmRole, VmState};
use crate::kernel::TaskGroup;
use crate::routing::{FleetSnapshot, PrefixIndex, ServerHandle};
use crate::timer::TimerService;

/// Slices of a polling period. A randomly seeded hash assigns each server to a slice, which spreads the calls of one
/// daemon over the period, and those of several daemons to one server.
const POLL_SLICES: u32 = 8;
/// Fleets of up to this many servers publish each report immediately; larger ones publish once per slice.
const SMALL_FLEET_SERVERS: usize = 64;
/// The index of a larger fleet is rebuilt at most once in this many slices, as that takes 0.6 ms with 600 servers.
const SLICES_BETWEEN_INDEXES: u64 = 4;

/// Periods and timeout of a [`FleetWatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// Period of load reports and cache events.
    pub report_period: Duration,
    /// Period of reading the VM list.
    pub list_period: Duration,
    /// Longest wait for one call.
    pub call_timeout: Duration,
}

/// The VM list as last read.
#[derive(Clone, Debug, Default)]
pub struct VmListing {
    /// Time before the read started; `None` if no read has succeeded.
    pub read_at: Option<Instant>,
    pub vms: Vec<ListedVm>,
}

type ReportCallback = Box<dyn Fn(&SmolStr, &LoadReport, Instant) + Send + Sync>;

#[derive(Default)]
struct ServerMap {
    states: BTreeMap<SmolStr, ServerState>,
    /// Whether the servers differ from those of the published index.
    specs_changed: bool,
    /// Whether items were loaded or unloaded since the index was built.
    residency_changed: bool,
}

struct WatchShared<E, V> {
    engine: Arc<E>,
    list: Arc<V>,
    prefixes: Arc<PrefixIndex>,
    settings: WatchSettings,
    group: TaskGroup,
    on_report: ReportCallback,
    slice_seed: u64,
    servers: Mutex<ServerMap>,
    snapshot: RwLock<Arc<FleetSnapshot>>,
    listing: RwLock<Arc<VmListing>>,
    /// Whether reports have arrived that are not in the snapshot.
    unpublished: AtomicBool,
    changes: watch::Sender<u64>,
}

/// Handle to the tasks that watch the fleet; clones share them.
pub struct FleetWatch<E, V> {
    shared: Arc<WatchShared<E, V>>,
}

impl<E, V> Clone for FleetWatch<E, V> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<E: EngineClient, V: VmList> FleetWatch<E, V> {
    /// Starts the tasks. `on_report` gets each new load report with the server name and the time before the request.
    pub fn spawn(
        group: &TaskGroup,
        timer: &TimerService,
        settings: WatchSettings,
        clients: (Arc<E>, Arc<V>),
        prefixes: Arc<PrefixIndex>,
        on_report: impl Fn(&SmolStr, &LoadReport, Instant) + Send + Sync + 'static,
    ) -> Self {
        let (engine, list) = clients;
        let shared = Arc::new(WatchShared {
            engine,
            list,
            prefixes,
            settings,
            group: group.clone(),
            on_report: Box::new(on_report),
            slice_seed: rand::random(),
            servers: Mutex::default(),
            snapshot: RwLock::default(),
            listing: RwLock::default(),
            unpublished: AtomicBool::new(false),
            changes: watch::Sender::new(0),
        });
        group.spawn_essential(
            "report-reader",
            watch_servers(shared.clone(), timer.clone()),
        );
        group.spawn_essential("vm-list-watch", watch_list(shared.clone(), timer.clone()));
        Self { shared }
    }

    /// Sets the declared backend servers. New engines are polled at once.
    pub fn set_backends(&self, specs: &[BackendSpec]) {
        let now = Instant::now();
        let mut added = Vec::new();
        {
            let mut servers = self.shared.servers();
            let mut old = std::mem::take(&mut servers.states);
            servers.specs_changed = true;
            for spec in specs {
                let known = old
                    .remove(&spec.name)
                    .filter(|state| state.matches_spec(spec));
                let mut state = known.unwrap_or_else(|| {
                    added.push(spec.name.clone());
                    ServerState::new(spec)
                });
                state.set_spec(spec);
                servers.states.insert(spec.name.clone(), state);
            }
            for name in old.keys().chain(&added) {
                self.shared.prefixes.forget(name);
            }
        }
        let listing = self.listing();
        self.shared.apply_listing(&listing.vms, now);
        self.shared.publish(true);
        for name in &added {
            self.shared.poll(name);
        }
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> Arc<FleetSnapshot> {
        read(&self.shared.snapshot)
    }

    /// Returns the VM list as last read.
    pub fn listing(&self) -> Arc<VmListing> {
        read(&self.shared.listing)
    }

    /// Subscribes to changes: the value increases whenever waiting requests should be retried.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Marks a server as suspected after a failed call. It gets no new requests until a report that was requested
    /// later arrives; a plain service, which sends no reports, gets none for 2 s.
    pub fn call_failed(&self, server: &str) {
        if let Some(state) = self.shared.servers().states.get_mut(server) {
            state.mark_suspected(Instant::now());
        }
    }

    /// Records a peer's notice that servers are leaving. A notice expires after 30 s unless it is repeated.
    pub fn record_leaving_notice(&self, names: &[SmolStr]) {
        let now = Instant::now();
        let mut servers = self.shared.servers();
        for name in names {
            if let Some(state) = servers.states.get_mut(name) {
                state.record_leaving_notice(now);
            }
        }
    }

    /// Returns the servers that this daemon itself has seen as leaving, from their reports or the VM list.
    /// Notices of peers do not count: daemons that repeat each other's notices would never let them expire.
    pub fn leaving(&self) -> Vec<SmolStr> {
        let servers = self.shared.servers();
        let states = servers.states.iter();
        let leaving = states.filter(|(_, state)| state.observed_leaving());
        leaving.map(|(name, _)| name.clone()).collect()
    }
}

impl<E: EngineClient, V: VmList> WatchShared<E, V> {
    fn poll(self: &Arc<Self>, name: &SmolStr) {
        let mut servers = self.servers();
        let Some(state) = servers.states.get_mut(name) else {
            return;
        };
        if let Some((address, handle)) = state.start_poll() {
            let call = poll_server(self.clone(), name.clone(), address, handle);
            self.group.spawn_cancellable(call);
        }
    }

    fn poll_slice(self: &Arc<Self>, slice: u32) {
        let in_slice = |name: &SmolStr| {
            let hash = xxh3_64_with_seed(name.as_bytes(), self.slice_seed);
            hash % u64::from(POLL_SLICES) == u64::from(slice)
        };
        let names: Vec<_> = {
            let servers = self.servers();
            let names = servers.states.keys().filter(|name| in_slice(name));
            names.cloned().collect()
        };
        for name in &names {
            self.poll(name);
        }
    }

    /// Expires notices and suspicions, and publishes changes from reports.
    fn tick(&self, now: Instant, tick: u64) {
        let mut became_usable = false;
        for state in self.servers().states.values_mut() {
            became_usable |= state.expire(now);
        }
        if self.unpublished.load(Ordering::Relaxed) {
            self.publish(tick.is_multiple_of(SLICES_BETWEEN_INDEXES));
        } else if became_usable {
            self.notify();
        }
    }

    /// Publishes a snapshot; `index` allows the index to be rebuilt if residency has changed.
    fn publish(&self, index: bool) {
        self.unpublished.store(false, Ordering::Relaxed);
        // The lock is held until the snapshot is stored, so that an older one never replaces a newer one.
        let mut servers = self.servers();
        if servers.specs_changed || index && servers.residency_changed {
            self.store_snapshot(servers.build_snapshot());
        } else {
            let views = servers.states.values_mut().map(ServerState::view);
            let fleet = read(&self.snapshot).refreshed(views.collect());
            self.store_snapshot(fleet);
            // Changed residency is published in a later slice.
            self.unpublished
                .fetch_or(servers.residency_changed, Ordering::Relaxed);
        }
        drop(servers);
        self.notify();
    }

    fn store_snapshot(&self, fleet: FleetSnapshot) {
        let mut snapshot = self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *snapshot = Arc::new(fleet);
    }

    fn notify(&self) {
        self.changes.send_modify(|version| *version += 1);
    }

    fn apply_effect(&self, name: &SmolStr, effect: ReportEffect) {
        match effect {
            ReportEffect::Nothing => return,
            ReportEffect::Restarted => self.prefixes.forget(name),
            ReportEffect::Load | ReportEffect::Residency => {}
        }
        let small = {
            let mut servers = self.servers();
            servers.residency_changed |= effect != ReportEffect::Load;
            servers.states.len() <= SMALL_FLEET_SERVERS
        };
        if small {
            self.publish(true);
        } else {
            self.unpublished.store(true, Ordering::Relaxed);
        }
    }

    fn apply_listing(&self, vms: &[ListedVm], now: Instant) {
        let mut servers = self.servers();
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Backend) {
            let leaving = vm.state == VmState::Leaving;
            if let Some(state) = servers.states.get_mut(&vm.name) {
                state.apply_listed_state(leaving, now);
                continue;
            }
            // The platform may list the server under another name than its declared one.
            let states = servers.states.values_mut();
            for state in states.filter(|state| state.address() == vm.address) {
                state.apply_listed_state(leaving, now);
            }
        }
    }
}

impl<E, V> WatchShared<E, V> {
    fn servers(&self) -> MutexGuard<'_, ServerMap> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerMap {
    fn build_snapshot(&mut self) -> FleetSnapshot {
        (self.specs_changed, self.residency_changed) = (false, false);
        let states = self.states.values_mut();
        FleetSnapshot::new(states.map(|state| (state.view(), state.handle(), state.group())))
    }
}

fn read<T>(lock: &RwLock<Arc<T>>) -> Arc<T> {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

async fn watch_servers<E: EngineClient, V: VmList>(
    shared: Arc<WatchShared<E, V>>,
    timer: TimerService,
) {
    let mut ticks = timer.every(shared.settings.report_period / POLL_SLICES);
    let mut tick = 0_u64;
    while let Some(now) = ticks.next().await {
        shared.poll_slice((tick % u64::from(POLL_SLICES)) as u32);
        shared.tick(now, tick);
        tick += 1;
    }
}

async fn poll_server<E: EngineClient, V: VmList>(
    shared: Arc<WatchShared<E, V>>,
    name: SmolStr,
    address: SocketAddr,
    handle: Arc<ServerHandle>,
) {
    let requested_at = Instant::now();
    let baseline = handle.report_baseline(requested_at);
    let call_timeout = shared.settings.call_timeout;
    let load = tokio::time::timeout(call_timeout, shared.engine.load(address)).await;
    let report = load.ok().and_then(Result::ok);
    let suspected = handle.is_suspected();
    let effect = {
        let mut servers = shared.servers();
        let state = servers.states.get_mut(&name);
        let Some(state) = state.filter(|state| state.has_handle(&handle)) else {
            return;
        };
        match &report {
            Some(report) => Some(state.apply_report(report, baseline, requested_at)),
            None => {
                state.record_failed_poll(requested_at);
                None
            }
        }
    };
    if suspected && !handle.is_suspected() {
        shared.notify();
    }
    if let (Some(effect), Some(report)) = (effect, &report) {
        shared.apply_effect(&name, effect);
        if effect != ReportEffect::Nothing {
            (shared.on_report)(&name, report, requested_at);
        }
        poll_events(&shared, &name, address).await;
    }
    let mut servers = shared.servers();
    let state = servers.states.get_mut(&name);
    if let Some(state) = state.filter(|state| state.has_handle(&handle)) {
        state.end_poll();
    }
}

async fn poll_events<E: EngineClient, V: VmList>(
    shared: &WatchShared<E, V>,
    name: &SmolStr,
    address: SocketAddr,
) {
    let next = shared.prefixes.next_sequence(name);
    let events = shared.engine.cache_events(address, next);
    // Missed events only make routing less exact; the next poll continues from the same sequence number.
    if let Ok(Ok(events)) = tokio::time::timeout(shared.settings.call_timeout, events).await {
        shared.prefixes.apply(name, &events);
    }
}

async fn watch_list<E: EngineClient, V: VmList>(
    shared: Arc<WatchShared<E, V>>,
    timer: TimerService,
) {
    let mut ticks = timer.every(shared.settings.list_period);
    loop {
        let read_at = Instant::now();
        let list = tokio::time::timeout(shared.settings.call_timeout, shared.list.list()).await;
        match list {
            Ok(Ok(vms)) => {
                shared.apply_listing(&vms, Instant::now());
                let listing = VmListing {
                    read_at: Some(read_at),
                    vms,
                };
                let mut latest = shared
                    .listing
                    .write()
                    .unwrap_or_else(PoisonError::into_inner);
                *latest = Arc::new(listing);
            }
            Ok(Err(error)) => log::debug!("cannot read the VM list: {error}"),
            Err(_) => log::debug!("the VM list did not answer in time"),
        }
        if ticks.next().await.is_none() {
            return;
        }
    }
}
