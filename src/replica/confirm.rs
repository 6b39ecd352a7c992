//! Tracks which VMs have applied a configuration offset.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use smol_str::SmolStr;
use tokio::sync::watch;

use crate::catalog::FleetCatalog;
use crate::ids::LogOffset;

/// VMs that have applied a record, and those that have not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Confirmations {
    pub confirmed: Vec<SmolStr>,
    pub pending: Vec<SmolStr>,
}

/// Signals that confirmations may have changed.
pub struct ConfirmationChanges {
    pub(super) reports: watch::Receiver<()>,
    pub(super) catalogs: watch::Receiver<Arc<FleetCatalog>>,
}

impl ConfirmationChanges {
    /// Waits for the next change; `None` once the replica has stopped.
    pub async fn next(&mut self) -> Option<()> {
        tokio::select! {
            changed = self.reports.changed() => changed.ok(),
            changed = self.catalogs.changed() => changed.ok(),
        }
    }
}

/// Latest `config` offset that each VM reported.
pub(super) struct ConfirmationTable {
    own: SmolStr,
    inner: Mutex<TableInner>,
    changes: watch::Sender<()>,
}

#[derive(Default)]
struct TableInner {
    expected: BTreeSet<SmolStr>,
    reports: BTreeMap<SmolStr, LogOffset>,
}

impl ConfirmationTable {
    pub(super) fn new(own: SmolStr) -> Self {
        Self {
            own,
            inner: Mutex::default(),
            changes: watch::Sender::new(()),
        }
    }

    pub(super) fn record_report(&self, name: &SmolStr, next: LogOffset) {
        let earlier = self.with_lock(|inner| inner.reports.insert(name.clone(), next));
        if earlier != Some(next) {
            self.notify();
        }
    }

    pub(super) fn reported_offset(&self, name: &SmolStr) -> Option<LogOffset> {
        self.with_lock(|inner| inner.reports.get(name).copied())
    }

    /// Sets the VMs that must confirm. Reports of other VMs are kept, as a VM may report before it is listed.
    pub(super) fn set_expected(&self, names: BTreeSet<SmolStr>) {
        self.with_lock(|inner| inner.expected = names);
        self.notify();
    }

    pub(super) fn confirmations(&self, offset: LogOffset, own_next: LogOffset) -> Confirmations {
        let mut confirmations = Confirmations::default();
        self.with_lock(|inner| {
            let mut expected = inner.expected.clone();
            expected.insert(self.own.clone());
            for name in expected {
                let next = match name == self.own {
                    true => Some(&own_next),
                    false => inner.reports.get(&name),
                };
                match next.is_some_and(|next| *next > offset) {
                    true => confirmations.confirmed.push(name),
                    false => confirmations.pending.push(name),
                }
            }
        });
        confirmations
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_replace(());
    }

    fn with_lock<T>(&self, work: impl FnOnce(&mut TableInner) -> T) -> T {
        work(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
