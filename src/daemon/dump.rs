//! Readiness of a daemon, and its state as JSON without callers' keys.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use serde_json::{Value, json};

use crate::admin::StateDump;
use crate::currency::{ViewCurrency, ViewState};
use crate::daemon::CoreServices;
use crate::daemon::parts::{Claims, Limits, Members, Orders, PolicyParts, Replica, Watch};
use crate::dispatch::RequestDispatcher;
use crate::error::{Category, Error, Result};
use crate::faults::TaskFaults;
use crate::settings::DaemonSettings;

/// Readiness and state dump of a daemon.
pub(super) struct DaemonState<P: PolicyParts> {
    vm: smol_str::SmolStr,
    zone: smol_str::SmolStr,
    replica: Arc<Replica>,
    members: Arc<Members>,
    limits: Arc<Limits>,
    claims: Arc<Claims>,
    watch: Arc<Watch>,
    orders: Arc<Orders>,
    dispatcher: Arc<RequestDispatcher<P>>,
    currency: Arc<ViewCurrency>,
    draining: Arc<AtomicBool>,
    faults: TaskFaults,
}

impl<P: PolicyParts> DaemonState<P> {
    pub(super) fn new(
        settings: &DaemonSettings,
        core: &CoreServices,
        orders: Arc<Orders>,
        dispatcher: Arc<RequestDispatcher<P>>,
        currency: Arc<ViewCurrency>,
        draining: Arc<AtomicBool>,
        faults: TaskFaults,
    ) -> Self {
        Self {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            replica: core.replica.clone(),
            members: core.members.clone(),
            limits: core.limits.clone(),
            claims: core.claims.clone(),
            watch: core.watch.clone(),
            orders,
            dispatcher,
            currency,
            draining,
            faults,
        }
    }

    fn servers(&self) -> Vec<Value> {
        let fleet = self.watch.snapshot();
        let views = fleet.views().iter().enumerate();
        let servers = views.map(|(position, view)| {
            let handle = fleet.handle(position);
            json!({
                "name": view.name,
                "zone": view.zone,
                "address": view.address,
                "in_flight": handle.in_flight(),
                "leaving": handle.is_leaving(),
                "suspected_down": handle.is_suspected(),
                "report_age_ms": view.reported_at.map(age_ms),
                "running": view.report.running,
                "waiting": view.report.waiting,
                "resident": view.report.resident,
            })
        });
        servers.collect()
    }

    fn members(&self) -> Vec<Value> {
        let members = self.members.members().into_iter();
        let members = members.map(|(vm, entry)| {
            json!({
                "vm": vm.to_string(),
                "name": entry.name,
                "zone": entry.zone,
                "peer": entry.peer,
                "share_ppm": entry.granted,
            })
        });
        members.collect()
    }

    fn peers(&self) -> Vec<Value> {
        let peers = self.members.peers().into_iter();
        let peers = peers.map(|entry| {
            json!({
                "name": entry.status.name,
                "address": entry.address,
                "config_next": entry.status.config_next,
                "log_reachable": entry.status.log_reachable,
                "age_ms": age_ms(entry.asked_at),
            })
        });
        peers.collect()
    }

    fn queues(&self) -> Vec<Value> {
        let queues = self.dispatcher.core().waiting().into_iter();
        let queues = queues.map(|(model, count)| {
            json!({
                "model": model,
                "interactive": count.interactive,
                "overnight": count.overnight,
            })
        });
        queues.collect()
    }
}

impl<P: PolicyParts> StateDump for DaemonState<P> {
    fn ready(&self) -> Result<()> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Error::new(
                Category::ShuttingDown,
                "the daemon is shutting down",
            ));
        }
        self.faults.check(Instant::now())?;
        if !self.replica.is_ready() {
            return Err(Error::unavailable("the configuration is not loaded yet"));
        }
        Ok(())
    }

    fn dump(&self) -> Value {
        let now = Instant::now();
        let view = match self.currency.state(now) {
            ViewState::Current => json!({ "state": "current" }),
            ViewState::Isolated { since } => {
                json!({ "state": "isolated", "age_ms": age_ms(since) })
            }
            ViewState::Starting => json!({ "state": "starting" }),
        };
        json!({
            "vm": self.vm,
            "zone": self.zone,
            "incarnation": self.members.vm().to_string(),
            "ready": self.ready().is_ok(),
            "config_next": self.replica.next_offset(),
            "view": view,
            "share_ppm": self.members.share(now),
            "limits": self.limits.dump(),
            "claims": self.claims.dump(),
            "orders": self.orders.dump(),
            "servers": self.servers(),
            "queues": self.queues(),
            "members": self.members(),
            "peers": self.peers(),
        })
    }
}

fn age_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
