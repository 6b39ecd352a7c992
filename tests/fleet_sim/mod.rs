//! Simulated fleet: agents and budgets of several daemons under faults.

mod node;
mod world;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::node::SimNode;
use self::world::World;

pub const TERM: Duration = Duration::from_millis(3_000);
pub const PROMISE: Duration = Duration::from_millis(1_000);
pub const LIST_LAG: Duration = Duration::from_millis(500);
pub const TEAM: &str = "riders";

/// What happened in one or more runs.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub spent: u64,
    pub borrowed: u64,
    pub refunded: u64,
    pub expired: u64,
    pub extended: u64,
    pub left: u64,
    /// First violation of the bound.
    pub excess: Option<String>,
}

impl Outcome {
    pub fn add(&mut self, other: &Self) {
        self.spent += other.spent;
        self.borrowed += other.borrowed;
        self.refunded += other.refunded;
        self.expired += other.expired;
        self.extended += other.extended;
        self.left += other.left;
    }
}

/// A fleet and its simulated environment.
pub struct FleetSim {
    world: World,
    nodes: Vec<SimNode>,
}

impl FleetSim {
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=5);
        let rate = rng.random_range(50..2_000);
        let burst = rate * rng.random_range(1..=40) / 10;
        let mut world = World::new(rng, rate, burst);
        let nodes = (0..count)
            .map(|index| SimNode::new(index, &mut world))
            .collect();
        Self { world, nodes }
    }

    /// Runs for about a simulated minute and checks the bound.
    pub fn run(mut self) -> Outcome {
        for _ in 0..1_500 {
            self.world.step();
            for node in &mut self.nodes {
                node.step(&mut self.world);
            }
            self.check_held();
            if self.world.outcome.excess.is_some() {
                break;
            }
        }
        self.world.outcome
    }

    /// Adds up what all daemons could spend now. Those that are paused count, because they can resume at any time.
    fn check_held(&mut self) {
        let now = self.world.instant();
        let held = self.nodes.iter_mut().map(|node| node.held(now)).sum();
        self.world.check_held(held);
    }
}

/// Returns the time `at` after the start `origin` of the simulation.
pub fn instant(origin: Instant, at: Duration) -> Instant {
    origin + at
}
