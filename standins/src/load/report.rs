//! Results of a load, as JSON and as a table.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::load::arrivals::{LoadShape, PlannedCall};

/// Percentiles of a latency in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    pub count: u64,
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// Results of the calls of a class, team, model or service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    pub name: SmolStr,
    pub offered: u64,
    /// Calls with a complete and expected answer.
    pub right: u64,
    /// Calls with a complete answer that is not the expected one.
    pub wrong: u64,
    pub refused: u64,
    /// Calls refused by the team's rate limit; included in `refused`.
    pub rate_limited: u64,
    /// Calls that got no answer, an aborted answer, or timed out.
    pub failed: u64,
    /// Fraction of offered calls that met their latency target.
    pub attainment: f64,
    /// Tokens received.
    pub tokens: u64,
    pub first_token: LatencyReport,
    pub between_tokens: LatencyReport,
    /// Time to the end of the answer, of right answers only.
    pub total: LatencyReport,
}

/// Number of calls that ended with one cause and verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    pub cause: SmolStr,
    pub verdict: SmolStr,
    pub count: u64,
}

/// Results of a load. Its `Display` form is a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub scenario: SmolStr,
    pub shape: LoadShape,
    pub elapsed: Duration,
    /// `all`, then classes, models, services and teams by name.
    pub groups: Vec<GroupReport>,
    pub refusals: Vec<RefusalCount>,
    pub failures: Vec<RefusalCount>,
    /// The first calls that got a wrong answer, at most ten.
    pub wrong: Vec<PlannedCall>,
}

impl LoadReport {
    /// Returns the results of a group.
    pub fn group(&self, name: &str) -> Option<&GroupReport> {
        self.groups.iter().find(|group| group.name == name)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, {:.1} s",
            self.scenario,
            self.shape.seed,
            self.elapsed.as_secs_f64()
        )?;
        writeln!(
            f,
            "{:<28} {:>8} {:>8} {:>6} {:>8} {:>7} {:>7}  {:>24}  {:>21}",
            "group",
            "offered",
            "right",
            "wrong",
            "refused",
            "failed",
            "attain",
            "first token 50/95/99 ms",
            "between 50/95/99 ms"
        )?;
        for group in &self.groups {
            group.write_row(f)?;
        }
        write_counts(f, "refused", &self.refusals)?;
        write_counts(f, "failed", &self.failures)
    }
}

impl GroupReport {
    fn write_row(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<28} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6.1}%  {:>24}  {:>21}",
            self.name,
            self.offered,
            self.right,
            self.wrong,
            self.refused,
            self.failed,
            self.attainment * 100.0,
            self.first_token.percentiles(),
            self.between_tokens.percentiles()
        )
    }
}

impl LatencyReport {
    fn percentiles(&self) -> String {
        if self.count == 0 {
            return "-".to_owned();
        }
        format!("{:.1}/{:.1}/{:.1}", self.p50_ms, self.p95_ms, self.p99_ms)
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, what: &str, counts: &[RefusalCount]) -> fmt::Result {
    for RefusalCount {
        cause,
        verdict,
        count,
    } in counts
    {
        writeln!(f, "{what}: {count} × {cause} ({verdict})")?;
    }
    Ok(())
}
