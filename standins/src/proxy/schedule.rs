//! Random schedules of link faults. The printed form contains the seed, from which the schedule can be generated again.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

use crate::proxy::{DirectionFault, LinkFault};

/// A change of link faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// Sets the fault of the links from one zone to another.
    Link {
        from: SmolStr,
        to: SmolStr,
        fault: LinkFault,
    },
    /// Sets the fault of all links between a zone and the others.
    Zone { zone: SmolStr, fault: LinkFault },
    /// Clears all faults.
    Heal,
}

/// A change of link faults and its time from the start of the schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    pub at: Duration,
    pub action: FaultAction,
}

/// Changes of link faults in chronological order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSchedule {
    pub seed: u64,
    pub faults: Vec<ScheduledFault>,
}

impl FaultSchedule {
    /// Generates `count` random changes within `length`. A last one at `length` clears all faults.
    pub fn generate(seed: u64, zones: &[SmolStr], count: usize, length: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut times: Vec<Duration> = (0..count)
            .map(|_| length.mul_f64(random.random::<f64>()))
            .collect();
        times.sort();
        let faults = times.into_iter().filter_map(|at| {
            let action = random_action(&mut random, zones)?;
            Some(ScheduledFault { at, action })
        });
        let mut faults: Vec<_> = faults.collect();
        faults.push(ScheduledFault {
            at: length,
            action: FaultAction::Heal,
        });
        Self { seed, faults }
    }
}

fn random_action(random: &mut StdRng, zones: &[SmolStr]) -> Option<FaultAction> {
    let from = zones.choose(random)?.clone();
    let to = zones.choose(random)?.clone();
    Some(match random.random_range(0..4) {
        0 => FaultAction::Heal,
        1 => FaultAction::Zone {
            zone: from,
            fault: random_fault(random),
        },
        _ => FaultAction::Link {
            from,
            to,
            fault: random_fault(random),
        },
    })
}

fn random_fault(random: &mut StdRng) -> LinkFault {
    let drop = DirectionFault {
        drop: true,
        delay_ms: 0,
    };
    match random.random_range(0..5) {
        0 => LinkFault::CUT,
        1 => LinkFault::DROP,
        2 => LinkFault {
            forward: drop,
            ..LinkFault::NONE
        },
        3 => LinkFault {
            backward: drop,
            ..LinkFault::NONE
        },
        _ => LinkFault::delay(random.random_range(1..500)),
    }
}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "fault schedule, seed {}:", self.seed)?;
        for fault in &self.faults {
            writeln!(f, "  {:>8.3} s  {}", fault.at.as_secs_f64(), fault.action)?;
        }
        Ok(())
    }
}

impl fmt::Display for FaultAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Link { from, to, fault } => write!(f, "{from} to {to}: {fault}"),
            Self::Zone { zone, fault } => write!(f, "zone {zone}: {fault}"),
            Self::Heal => f.write_str("no faults"),
        }
    }
}

impl fmt::Display for LinkFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.cut {
            return f.write_str("cut");
        }
        write!(f, "forward {}, backward {}", self.forward, self.backward)
    }
}

impl fmt::Display for DirectionFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.drop {
            return f.write_str("dropped");
        }
        write!(f, "{} ms later", self.delay_ms)
    }
}
