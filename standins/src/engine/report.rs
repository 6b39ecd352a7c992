//! Load reports, taken periodically and returned with a lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use foxtailhill::engine::LoadReport;

use crate::engine::EngineState;
use crate::serve::lock;

/// Reports of one engine process, the newest last.
pub(super) struct ReportHistory {
    incarnation: u64,
    next_sequence: u64,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl ReportHistory {
    pub(super) fn new() -> Self {
        Self {
            incarnation: rand::random(),
            next_sequence: 1,
            reports: VecDeque::new(),
        }
    }

    fn push(&mut self, mut report: LoadReport, lag: Duration) {
        report.incarnation = self.incarnation;
        report.sequence = self.next_sequence;
        self.next_sequence += 1;
        let now = Instant::now();
        self.reports.push_back((now, report));
        // Once the second report is old enough, the first is never returned again.
        while self
            .reports
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= lag)
        {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least `lag` old, or the first one.
    pub(super) fn newest_older_than(&self, lag: Duration) -> LoadReport {
        let now = Instant::now();
        let mut newest_first = self.reports.iter().rev();
        let old_enough = newest_first.find(|(at, _)| now.duration_since(*at) >= lag);
        let report = old_enough.or_else(|| self.reports.front());
        report.map(|(_, report)| report.clone()).unwrap_or_default()
    }
}

impl EngineState {
    /// Takes a load report now.
    pub(super) fn take_report(&self) {
        let (running, waiting) = {
            let batch = lock(&self.batch);
            (batch.running.len() as u32, batch.waiting.len() as u32)
        };
        let (resident, loading) = lock(&self.memory).report();
        let options = &self.options;
        let step = options.base_step + options.step_per_sequence * running;
        let report = LoadReport {
            running,
            waiting,
            token_us: step.mul_f64(options.time_scale).as_micros() as u32,
            resident,
            loading,
            leaving: self.leaving.load(Ordering::Relaxed),
            ..LoadReport::default()
        };
        lock(&self.reports).push(report, options.report_lag);
    }
}

/// Takes reports until the engine stops.
pub(super) async fn run(state: Arc<EngineState>) {
    let mut ticks = tokio::time::interval(state.options.report_period);
    loop {
        ticks.tick().await;
        state.take_report();
    }
}
