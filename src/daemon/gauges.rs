//! Copies the state of the services into the metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::currency::ViewState;
use crate::daemon::CoreServices;
use crate::daemon::parts::{Limits, Members, PolicyParts, Watch};
use crate::daemon::tasks::TaskContext;
use crate::dispatch::WaitCount;
use crate::kernel::TaskGroup;
use crate::member::WHOLE_PPM;
use crate::metrics::{DaemonMetrics, LabelText, TeamLabels};

/// Period of updates of the gauges; metrics are scraped less often.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// Starts the task that sets the gauges.
pub(super) fn spawn<P: PolicyParts>(
    group: &TaskGroup,
    core: &CoreServices,
    context: &Arc<TaskContext<P>>,
) {
    let mut ticks = core.timer.every(GAUGE_PERIOD);
    let (limits, members) = (core.limits.clone(), core.members.clone());
    let (watch, context) = (core.watch.clone(), context.clone());
    group.spawn_essential("gauges", async move {
        while let Some(now) = ticks.next().await {
            let metrics = &context.metrics;
            set_limits(metrics, &limits, &members, now);
            set_backends(metrics, &watch);
            set_queues(metrics, &context.dispatcher.core().waiting());
            set_currency(metrics, context.currency.state(now));
        }
    });
}

fn set_limits(metrics: &DaemonMetrics, limits: &Limits, members: &Members, now: Instant) {
    let share = f64::from(members.share(now).unwrap_or(0)) / f64::from(WHOLE_PPM);
    for budget in limits.dump().teams {
        let labels = TeamLabels {
            team: LabelText(budget.team),
        };
        metrics.share.get_or_create(&labels).set(share);
        let balance = i64::try_from(budget.balance).unwrap_or(i64::MAX);
        metrics.tokens.get_or_create(&labels).set(balance);
    }
}

fn set_backends(metrics: &DaemonMetrics, watch: &Watch) {
    let fleet = watch.snapshot();
    let (mut usable, mut leaving, mut down) = (0, 0, 0);
    for position in 0..fleet.views().len() {
        let handle = fleet.handle(position);
        match (handle.is_leaving(), handle.is_suspected()) {
            (true, _) => leaving += 1,
            (false, true) => down += 1,
            (false, false) => usable += 1,
        }
    }
    metrics.set(&metrics.backends, "usable", usable);
    metrics.set(&metrics.backends, "leaving", leaving);
    metrics.set(&metrics.backends, "down", down);
}

fn set_queues(metrics: &DaemonMetrics, waiting: &[(smol_str::SmolStr, WaitCount)]) {
    let interactive: usize = waiting.iter().map(|(_, count)| count.interactive).sum();
    let overnight: usize = waiting.iter().map(|(_, count)| count.overnight).sum();
    metrics.set(&metrics.queue_length, "interactive", interactive as i64);
    metrics.set(&metrics.queue_length, "overnight", overnight as i64);
}

fn set_currency(metrics: &DaemonMetrics, view: ViewState) {
    let age = match view {
        ViewState::Current => Duration::ZERO,
        ViewState::Isolated { since } => since.elapsed(),
        // The view was never current. One day is above the threshold of any alert.
        ViewState::Starting => Duration::from_secs(24 * 3600),
    };
    metrics.currency_age.set(age.as_secs_f64());
}
