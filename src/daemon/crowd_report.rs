//! Tells of clients that were refused or whose connections were closed, in a bounded number of log lines.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::eviction::WaitKind;
use crate::http::body::BodyFault;
use crate::http::connections::RETIRED;
use crate::kernel::TaskGroup;
use crate::metrics::{DaemonMetrics, KindLabels};
use crate::settings::LimitSettings;
use crate::timer::TimerService;

/// Shortest time between two lines.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Kinds of connections that gave way.
const EVICTION_KINDS: [&str; 6] = {
    let [first_request, head, body, reader, next_request] = WaitKind::NAMES;
    [first_request, head, body, reader, next_request, RETIRED]
};

/// Counters by kind, and what they were when they were last reported.
struct KindCounts {
    counters: Family<KindLabels, Counter>,
    kinds: &'static [&'static str],
    reported: Vec<u64>,
}

impl KindCounts {
    fn new(counters: &Family<KindLabels, Counter>, kinds: &'static [&'static str]) -> Self {
        Self {
            counters: counters.clone(),
            kinds,
            reported: vec![0; kinds.len()],
        }
    }

    /// Returns what was counted since the last call, as text; `None` if nothing was.
    fn take(&mut self) -> Option<String> {
        let mut parts = Vec::new();
        for (kind, reported) in self.kinds.iter().zip(&mut self.reported) {
            let count = self.counters.get_or_create(&KindLabels { kind }).get();
            if count > *reported {
                parts.push(format!("{kind} {}", count - *reported));
            }
            *reported = count;
        }
        (!parts.is_empty()).then(|| parts.join(", "))
    }
}

/// Spawns a service that logs at most one line each [`REPORT_PERIOD`].
pub(super) fn spawn_crowd_report(
    metrics: &Arc<DaemonMetrics>,
    limits: &LimitSettings,
    timer: &TimerService,
    group: &TaskGroup,
) {
    let mut evictions = KindCounts::new(&metrics.evictions, &EVICTION_KINDS);
    let mut faults = KindCounts::new(&metrics.body_faults, &BodyFault::NAMES);
    let (metrics, limits) = (metrics.clone(), limits.clone());
    let mut failures = 0;
    timer.spawn_periodic(group, "crowd-report", REPORT_PERIOD, move |_| {
        let failed = metrics.accept_failures.get();
        if failed > failures {
            let count = failed - failures;
            log::error!(
                "{count} connections could not be accepted; the process may be out of files"
            );
            failures = failed;
        }
        let (closed, refused) = (evictions.take(), faults.take());
        let level = match (&closed, &refused) {
            (None, None) => return,
            (None, Some(_)) => Level::Info,
            (Some(_), _) => Level::Warn,
        };
        let nothing = || "none".to_owned();
        log::log!(
            level,
            "connections that gave way to others: {}; request bodies that were not received: {}; \
                 {} connections are open, callers may have {}; {} of {} bytes are held",
            closed.unwrap_or_else(nothing),
            refused.unwrap_or_else(nothing),
            metrics.connections.get(),
            limits.connections,
            metrics.held_bytes.get(),
            limits.held(),
        );
    });
}
