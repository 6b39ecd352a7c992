//! Results of a comparison, as JSON and as a table.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::compare::{CompareOptions, PolicyKind};
use crate::load::{GroupReport, LoadReport, Scenario};

/// Results of one load on one fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PolicyRun {
    pub policy: PolicyKind,
    pub seed: u64,
    pub repeat: u32,
    /// Calls per second per accelerator that met their target.
    pub attained_per_accelerator: f64,
    /// Fraction of calls that met their target.
    pub attainment: f64,
    /// Load and unload orders for models that engines accepted during the measured load.
    pub moves: u64,
    /// Lowest attainment of a team within its rate, relative to the mean of those teams.
    pub worst_team: f64,
    pub worst_team_name: SmolStr,
    /// Lowest fraction of right answers of a team within its rate, relative to the mean of those teams.
    pub worst_team_answers: f64,
    /// Lowest number of tokens per offered call of a team within its rate, relative to the mean of those teams.
    pub worst_team_tokens: f64,
    /// Rate-limit refusals of teams within their rate.
    pub refused_within_rate: u64,
    /// Fraction of overnight calls that were answered by their deadline; 1 if there were none.
    pub overnight_on_time: f64,
    /// One-minute load average of the VM after the run; 0 if unknown.
    pub machine_load: f64,
    pub load: LoadReport,
}

/// Mean, minimum and maximum over the runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    pub mean: f64,
    pub lowest: f64,
    pub highest: f64,
}

/// Summary of all runs of one policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PolicySummary {
    pub policy: PolicyKind,
    pub runs: usize,
    /// Name of the measure, then its spread.
    pub measures: Vec<(SmolStr, Spread)>,
}

/// Results of a comparison. Its `Display` form is a table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareReport {
    pub scenario: SmolStr,
    pub seeds: Vec<u64>,
    pub length: Duration,
    pub warm_up: Duration,
    pub rate_factor: f64,
    pub summaries: Vec<PolicySummary>,
    pub runs: Vec<PolicyRun>,
}

impl PolicyRun {
    pub(super) fn new(
        policy: PolicyKind,
        seed: u64,
        repeat: u32,
        accelerators: u32,
        moves: u64,
        load: LoadReport,
        within_rate: impl Fn(&str) -> bool,
    ) -> Self {
        let teams: Vec<(&str, &GroupReport)> = load
            .groups
            .iter()
            .filter_map(|group| Some((group.name.strip_prefix("team ")?, group)))
            .filter(|(team, _)| within_rate(team))
            .collect();
        let attainment = |group: &GroupReport| group.attainment;
        let answers = |group: &GroupReport| group.right as f64 / group.offered.max(1) as f64;
        let tokens = |group: &GroupReport| group.tokens as f64 / group.offered.max(1) as f64;
        let worst = teams
            .iter()
            .min_by(|(_, a), (_, b)| a.attainment.total_cmp(&b.attainment));
        let all = load.group("all");
        let attained = all.map_or(0.0, |all| all.attainment * all.offered as f64);
        let seconds = load.shape.length.as_secs_f64() * f64::from(accelerators.max(1));
        Self {
            policy,
            seed,
            repeat,
            attained_per_accelerator: attained / seconds,
            attainment: all.map_or(0.0, attainment),
            moves,
            worst_team: lowest_share(&teams, attainment),
            worst_team_name: worst.map_or_else(SmolStr::default, |(team, _)| (*team).into()),
            worst_team_answers: lowest_share(&teams, answers),
            worst_team_tokens: lowest_share(&teams, tokens),
            refused_within_rate: teams.iter().map(|(_, group)| group.rate_limited).sum(),
            overnight_on_time: load.group("class overnight").map_or(1.0, attainment),
            machine_load: load_average(),
            load,
        }
    }

    fn measures(&self) -> Vec<(SmolStr, f64)> {
        let mut measures: Vec<(SmolStr, f64)> = [
            ("attained/s/accelerator", self.attained_per_accelerator),
            ("attainment", self.attainment),
            ("model moves", self.moves as f64),
            ("worst team attainment/mean", self.worst_team),
            ("worst team answers/mean", self.worst_team_answers),
            ("worst team tokens/mean", self.worst_team_tokens),
            ("refused within rate", self.refused_within_rate as f64),
            ("overnight on time", self.overnight_on_time),
            ("machine load", self.machine_load),
        ]
        .map(|(name, value)| (name.into(), value))
        .into();
        let groups = self.load.groups.iter();
        let shown = groups
            .filter(|group| group.name.starts_with("class ") || group.name.starts_with("team "));
        for group in shown {
            let (first, between) = (&group.first_token, &group.between_tokens);
            let values = [
                ("attainment", group.attainment),
                ("first token p50 ms", first.p50_ms),
                ("first token p95 ms", first.p95_ms),
                ("between tokens p95 ms", between.p95_ms),
            ];
            let values =
                values.map(|(name, value)| (format!("{} {name}", group.name).into(), value));
            measures.extend(values);
        }
        measures
    }
}

/// Returns the lowest value of a team, relative to the mean over teams; 1 if the mean is 0.
fn lowest_share(teams: &[(&str, &GroupReport)], value: impl Fn(&GroupReport) -> f64) -> f64 {
    let values: Vec<f64> = teams.iter().map(|(_, group)| value(group)).collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let lowest = values.into_iter().fold(f64::INFINITY, f64::min);
    if mean > 0.0 { lowest / mean } else { 1.0 }
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

impl CompareReport {
    pub(super) fn new(scenario: &Scenario, options: &CompareOptions, runs: Vec<PolicyRun>) -> Self {
        let summaries = options.policies.iter().map(|policy| {
            let own: Vec<_> = runs.iter().filter(|run| run.policy == *policy).collect();
            PolicySummary {
                policy: *policy,
                runs: own.len(),
                measures: spreads(&own),
            }
        });
        Self {
            scenario: scenario.name.clone(),
            seeds: options.seeds.clone(),
            length: options.length,
            warm_up: options.warm_up,
            rate_factor: options.rate_factor,
            summaries: summaries.collect(),
            runs,
        }
    }
}

fn spreads(runs: &[&PolicyRun]) -> Vec<(SmolStr, Spread)> {
    let all: Vec<Vec<(SmolStr, f64)>> = runs.iter().map(|run| run.measures()).collect();
    let names = all.first().into_iter().flatten().map(|(name, _)| name);
    let spreads = names.map(|name| {
        let values = all.iter().flatten().filter(|(other, _)| other == name);
        let values: Vec<f64> = values.map(|(_, value)| *value).collect();
        let spread = Spread {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            lowest: values.iter().copied().fold(f64::INFINITY, f64::min),
            highest: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        };
        (name.clone(), spread)
    });
    spreads.collect()
}

impl fmt::Display for PolicyRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?}, repeat {}:", self.policy, self.repeat)?;
        write!(f, "{}", self.load)
    }
}

impl fmt::Display for CompareReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seeds {:?}, {:?} after {:?} of other load, rate factor {}",
            self.scenario, self.seeds, self.length, self.warm_up, self.rate_factor
        )?;
        write!(f, "{:<42}", "mean (lowest to highest)")?;
        for summary in &self.summaries {
            write!(
                f,
                "  {:>30}",
                format!("{:?}, {} runs", summary.policy, summary.runs)
            )?;
        }
        writeln!(f)?;
        let names = self.summaries.first().map(|summary| &summary.measures);
        for (name, _) in names.into_iter().flatten() {
            write!(f, "{name:<42}")?;
            for summary in &self.summaries {
                let found = summary.measures.iter().find(|(other, _)| other == name);
                let text = found.map_or_else(|| "-".to_owned(), |(_, spread)| spread.to_string());
                write!(f, "  {text:>30}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} ({:.3} to {:.3})",
            self.mean, self.lowest, self.highest
        )
    }
}
