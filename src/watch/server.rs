//! State of one backend server as this daemon sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::catalog::{BackendKind, BackendSpec};
use crate::engine::LoadReport;
use crate::routing::{BackendView, ReportBaseline, ServerHandle};

/// Consecutive failed polls after which a server is suspected to be down; a single one may be lost on the network.
const FAILED_POLLS_TO_SUSPECT: u32 = 2;
/// How long a plain service stays suspected, as it sends no reports that could end the suspicion.
const SERVICE_SUSPICION_LIFETIME: Duration = Duration::from_secs(2);
/// How long a peer's notice holds; peers repeat it with each status message.
const LEAVING_NOTICE_LIFETIME: Duration = Duration::from_secs(30);

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportEffect {
    /// The report is not newer than the last one.
    Nothing,
    Load,
    /// The resident weights or adapters.
    Residency,
    /// The report comes from a new process of the server.
    Restarted,
}

pub(super) struct ServerState {
    spec: BackendSpec,
    handle: Arc<ServerHandle>,
    report: LoadReport,
    reported_at: Option<Instant>,
    polling: bool,
    failed_polls: u32,
    suspected_at: Option<Instant>,
    reports_leaving: bool,
    listed_leaving: bool,
    leaving_notice_at: Option<Instant>,
    /// Cached view for snapshots, unless it is out of date.
    view: Option<Arc<BackendView>>,
}

impl ServerState {
    pub(super) fn new(spec: &BackendSpec) -> Self {
        Self {
            spec: spec.clone(),
            handle: Arc::default(),
            report: LoadReport::default(),
            reported_at: None,
            polling: false,
            failed_polls: 0,
            suspected_at: None,
            reports_leaving: false,
            listed_leaving: false,
            leaving_notice_at: None,
            view: None,
        }
    }

    /// Returns whether the state can be kept for `spec`.
    pub(super) fn matches_spec(&self, spec: &BackendSpec) -> bool {
        let same_kind =
            std::mem::discriminant(&self.spec.kind) == std::mem::discriminant(&spec.kind);
        same_kind && self.spec.address == spec.address
    }

    pub(super) fn set_spec(&mut self, spec: &BackendSpec) {
        self.spec = spec.clone();
        self.view = None;
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.spec.address
    }

    pub(super) fn has_handle(&self, handle: &Arc<ServerHandle>) -> bool {
        Arc::ptr_eq(&self.handle, handle)
    }

    /// Starts a poll, unless one is in progress or the server is a plain service.
    pub(super) fn start_poll(&mut self) -> Option<(SocketAddr, Arc<ServerHandle>)> {
        let is_engine = matches!(self.spec.kind, BackendKind::Engine { .. });
        if self.polling || !is_engine {
            return None;
        }
        self.polling = true;
        Some((self.spec.address, self.handle.clone()))
    }

    pub(super) fn end_poll(&mut self) {
        self.polling = false;
    }

    /// Applies a report that was requested at `requested_at`.
    pub(super) fn apply_report(
        &mut self,
        report: &LoadReport,
        baseline: ReportBaseline,
        requested_at: Instant,
    ) -> ReportEffect {
        self.failed_polls = 0;
        if self
            .suspected_at
            .is_some_and(|suspected| requested_at > suspected)
        {
            self.suspected_at = None;
        }
        let first = self.reported_at.is_none();
        let restarted = !first && report.incarnation != self.report.incarnation;
        let newer = first || restarted || report.sequence > self.report.sequence;
        if restarted {
            self.reports_leaving = false;
        }
        // Within one incarnation leaving is final, even if an older report arrives after a newer one.
        self.reports_leaving |= report.leaving;
        self.update_handle();
        if !newer {
            return ReportEffect::Nothing;
        }
        let residency_changed = first || report.resident != self.report.resident;
        self.handle.apply_report(baseline);
        self.report = report.clone();
        self.reported_at = Some(requested_at);
        self.view = None;
        match (restarted, residency_changed) {
            (true, _) => ReportEffect::Restarted,
            (false, true) => ReportEffect::Residency,
            (false, false) => ReportEffect::Load,
        }
    }

    pub(super) fn record_failed_poll(&mut self, requested_at: Instant) {
        self.failed_polls += 1;
        if self.failed_polls >= FAILED_POLLS_TO_SUSPECT {
            self.mark_suspected(requested_at);
        }
    }

    pub(super) fn mark_suspected(&mut self, now: Instant) {
        self.suspected_at = self.suspected_at.max(Some(now));
        self.update_handle();
    }

    pub(super) fn record_leaving_notice(&mut self, now: Instant) {
        self.leaving_notice_at = Some(now);
        self.update_handle();
    }

    /// Applies the state on the VM list. A live state there does not override a report of leaving.
    pub(super) fn apply_listed_state(&mut self, leaving: bool, now: Instant) {
        self.listed_leaving = leaving;
        self.expire(now);
        self.update_handle();
    }

    /// Returns whether this daemon itself has seen the server as leaving.
    pub(super) fn observed_leaving(&self) -> bool {
        self.reports_leaving || self.listed_leaving
    }

    /// Expires the notice of a peer and the suspicion of a plain service. Returns whether the server became usable.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.is_usable();
        let past = |since: Instant, life| now.saturating_duration_since(since) >= life;
        if self
            .leaving_notice_at
            .is_some_and(|at| past(at, LEAVING_NOTICE_LIFETIME))
        {
            self.leaving_notice_at = None;
        }
        let is_service = matches!(self.spec.kind, BackendKind::Service { .. });
        if is_service
            && self
                .suspected_at
                .is_some_and(|at| past(at, SERVICE_SUSPICION_LIFETIME))
        {
            self.suspected_at = None;
        }
        self.update_handle();
        !before && self.is_usable()
    }

    fn is_leaving(&self) -> bool {
        self.observed_leaving() || self.leaving_notice_at.is_some()
    }

    fn is_usable(&self) -> bool {
        !self.is_leaving() && self.suspected_at.is_none()
    }

    fn update_handle(&self) {
        self.handle.set_leaving(self.is_leaving());
        self.handle.set_suspected(self.suspected_at.is_some());
    }

    /// Returns the group of a plain service.
    pub(super) fn group(&self) -> Option<SmolStr> {
        match &self.spec.kind {
            BackendKind::Engine { .. } => None,
            BackendKind::Service { group, .. } => Some(group.clone()),
        }
    }

    pub(super) fn handle(&self) -> Arc<ServerHandle> {
        self.handle.clone()
    }

    /// Returns the view for a snapshot; it is rebuilt only after a change.
    pub(super) fn view(&mut self) -> Arc<BackendView> {
        let (suspected, leaving) = (self.suspected_at.is_some(), self.is_leaving());
        match &self.view {
            Some(view) if view.suspected_down == suspected && view.leaving == leaving => {
                view.clone()
            }
            _ => self.view.insert(Arc::new(self.build_view())).clone(),
        }
    }

    fn build_view(&self) -> BackendView {
        let slots = match &self.spec.kind {
            BackendKind::Engine { slots, .. } | BackendKind::Service { slots, .. } => *slots,
        };
        BackendView {
            name: self.spec.name.clone(),
            zone: self.spec.zone.clone(),
            address: self.spec.address,
            software: SmolStr::default(),
            slots,
            report: self.report.clone(),
            reported_at: self.reported_at,
            in_flight: self.handle.in_flight(),
            sent_since_report: self.handle.sent_since_report(),
            suspected_down: self.suspected_at.is_some(),
            leaving: self.is_leaving(),
            load: Default::default(),
        }
    }
}
