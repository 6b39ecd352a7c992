//! Counters and histograms that collect the results of a load.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use foxtailhill::catalog::RequestClass;
use hdrhistogram::Histogram;
use smol_str::{SmolStr, format_smolstr};

use crate::load::arrivals::{LoadShape, PlannedCall};
use crate::load::caller::{CallEnd, CallOutcome};
use crate::load::report::{GroupReport, LatencyReport, LoadReport, RefusalCount};
use crate::load::scenario::{DemandTarget, Scenario};

/// Maximum number of calls with wrong answers that the report lists.
const MAX_WRONG_CALLS: usize = 10;

/// Latencies in microseconds.
struct LatencyMeasure(Histogram<u64>);

impl LatencyMeasure {
    fn new() -> Self {
        // Two significant digits are enough for percentiles. The initial range of 60 s is extended automatically.
        let mut histogram = Histogram::new_with_max(60_000_000, 2)
            .unwrap_or_else(|_| unreachable!("the bounds are valid"));
        histogram.auto(true);
        Self(histogram)
    }

    fn add(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros.max(1));
    }

    fn report(&self) -> LatencyReport {
        let millis = |quantile| self.0.value_at_quantile(quantile) as f64 / 1000.0;
        LatencyReport {
            count: self.0.len(),
            p50_ms: millis(0.50),
            p95_ms: millis(0.95),
            p99_ms: millis(0.99),
            max_ms: self.0.max() as f64 / 1000.0,
        }
    }
}

struct GroupMeasure {
    offered: u64,
    right: u64,
    wrong: u64,
    refused: u64,
    rate_limited: u64,
    failed: u64,
    attained: u64,
    tokens: u64,
    first_token: LatencyMeasure,
    between_tokens: LatencyMeasure,
    total: LatencyMeasure,
}

impl GroupMeasure {
    fn new() -> Self {
        Self {
            offered: 0,
            right: 0,
            wrong: 0,
            refused: 0,
            rate_limited: 0,
            failed: 0,
            attained: 0,
            tokens: 0,
            first_token: LatencyMeasure::new(),
            between_tokens: LatencyMeasure::new(),
            total: LatencyMeasure::new(),
        }
    }

    fn add(&mut self, outcome: &CallOutcome, attained: bool) {
        self.offered += 1;
        self.attained += u64::from(attained);
        self.tokens += u64::from(outcome.tokens);
        match &outcome.end {
            CallEnd::Right => {
                self.right += 1;
                self.total.add(outcome.total);
            }
            CallEnd::Wrong => self.wrong += 1,
            CallEnd::Refused { cause, .. } => {
                self.refused += 1;
                self.rate_limited += u64::from(cause == "rate_limited");
            }
            _ => self.failed += 1,
        }
        if let Some(first_token) = outcome.first_token {
            self.first_token.add(first_token);
        }
        for gap in &outcome.between_tokens {
            self.between_tokens.add(*gap);
        }
    }

    fn report(&self, name: &SmolStr) -> GroupReport {
        GroupReport {
            name: name.clone(),
            offered: self.offered,
            right: self.right,
            wrong: self.wrong,
            refused: self.refused,
            rate_limited: self.rate_limited,
            failed: self.failed,
            attainment: self.attained as f64 / self.offered.max(1) as f64,
            tokens: self.tokens,
            first_token: self.first_token.report(),
            between_tokens: self.between_tokens.report(),
            total: self.total.report(),
        }
    }
}

/// All measurements of a load.
pub(super) struct LoadMeasure {
    groups: BTreeMap<SmolStr, GroupMeasure>,
    refusals: BTreeMap<(SmolStr, SmolStr), u64>,
    failures: BTreeMap<(SmolStr, SmolStr), u64>,
    wrong: Vec<PlannedCall>,
    /// Target time to the first token, by model.
    first_token_targets: HashMap<SmolStr, Duration>,
}

impl LoadMeasure {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let specs = scenario.models.iter().map(|model| &model.spec);
        let targets = specs.map(|spec| {
            let target = Duration::from_millis(spec.first_token_ms.into());
            (spec.name.clone(), target)
        });
        Self {
            groups: BTreeMap::new(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            wrong: Vec::new(),
            first_token_targets: targets.collect(),
        }
    }

    pub(super) fn add(&mut self, call: &PlannedCall, outcome: CallOutcome) {
        let attained = self.attained(call, &outcome);
        for name in groups_of(call) {
            let group = self.groups.entry(name);
            group
                .or_insert_with(GroupMeasure::new)
                .add(&outcome, attained);
        }
        match outcome.end {
            CallEnd::Right => {}
            CallEnd::Wrong => {
                if self.wrong.len() < MAX_WRONG_CALLS {
                    self.wrong.push(call.clone());
                }
            }
            CallEnd::Refused { cause, verdict } => {
                *self.refusals.entry((cause, verdict)).or_default() += 1;
            }
            CallEnd::Broken { cause, verdict } => {
                *self.failures.entry((cause, verdict)).or_default() += 1;
            }
            CallEnd::Unreachable => self.add_failure("unreachable"),
            CallEnd::TimedOut => self.add_failure("timed_out"),
        }
    }

    fn add_failure(&mut self, cause: &'static str) {
        let cause = SmolStr::new_static(cause);
        let key = (cause, SmolStr::new_static("unknown"));
        *self.failures.entry(key).or_default() += 1;
    }

    /// Returns whether a call got the right answer in time: the first token within the model's target for interactive
    /// model calls, the whole answer within the deadline for other calls.
    fn attained(&self, call: &PlannedCall, outcome: &CallOutcome) -> bool {
        if outcome.end != CallEnd::Right {
            return false;
        }
        let in_time = call
            .deadline
            .is_none_or(|deadline| outcome.total <= deadline);
        match (&call.target, call.class) {
            (DemandTarget::Model { model, .. }, RequestClass::Interactive) => {
                let target = self.first_token_targets.get(model);
                let first_token = outcome.first_token.zip(target);
                first_token.is_some_and(|(first_token, target)| first_token <= *target)
            }
            _ => in_time,
        }
    }

    pub(super) fn report(
        &self,
        scenario: &Scenario,
        shape: &LoadShape,
        elapsed: Duration,
    ) -> LoadReport {
        let groups = self.groups.iter();
        LoadReport {
            scenario: scenario.name.clone(),
            shape: shape.clone(),
            elapsed,
            groups: groups.map(|(name, group)| group.report(name)).collect(),
            refusals: report_counts(&self.refusals),
            failures: report_counts(&self.failures),
            wrong: self.wrong.clone(),
        }
    }
}

fn report_counts(counts: &BTreeMap<(SmolStr, SmolStr), u64>) -> Vec<RefusalCount> {
    let counts = counts.iter().map(|((cause, verdict), count)| RefusalCount {
        cause: cause.clone(),
        verdict: verdict.clone(),
        count: *count,
    });
    counts.collect()
}

fn groups_of(call: &PlannedCall) -> [SmolStr; 4] {
    let class = match call.class {
        RequestClass::Interactive => "interactive",
        RequestClass::Overnight => "overnight",
    };
    let target = match &call.target {
        DemandTarget::Model { model, .. } => format_smolstr!("model {model}"),
        DemandTarget::Service { path } => format_smolstr!("service {path}"),
    };
    [
        SmolStr::new_static("all"),
        format_smolstr!("class {class}"),
        format_smolstr!("team {}", call.team),
        target,
    ]
}
