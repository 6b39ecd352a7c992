//! The bound on tokens spent by a whole fleet under faults, on a simulated clock.
//!
//! Real agents and budgets run over a simulated log, VM list and network that delay, lose and repeat messages;
//! daemons pause beyond every timeout, crash and leave. `FOXTAILHILL_SEED` repeats one run and
//! `FOXTAILHILL_RUNS` sets the number of runs.

mod fleet_sim;

use fleet_sim::{FleetSim, Outcome};

/// Simulations per test run. Removing one of the safety mechanisms shows as a violation within some tens of them.
const RUNS: u64 = 300;

fn seeds() -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    if let Some(seed) = number("FOXTAILHILL_SEED") {
        return vec![seed];
    }
    let first: u64 = rand::random::<u32>().into();
    let runs = number("FOXTAILHILL_RUNS").unwrap_or(RUNS);
    (first..first + runs).collect()
}

/// Guards against tokens created twice: in every window the tokens consumed are at most burst + rate × time.
///
/// A charge counts with its final amount at admission, as if that were known in advance.
#[test]
fn a_fleet_never_spends_more_than_rate_and_burst() {
    let seeds = seeds();
    println!("seeds {:?}..={:?}", seeds.first(), seeds.last());
    let mut total = Outcome::default();
    for seed in seeds {
        let outcome = FleetSim::new(seed).run();
        if let Some(excess) = &outcome.excess {
            panic!("seed {seed}: {excess}");
        }
        total.add(&outcome);
    }
    println!("{total:?}");
    // Loans, refunds, expiries, extensions and leaves must all occur, or the simulations do not test them.
    assert!(total.spent > 0 && total.borrowed > 0 && total.refunded > 0);
    assert!(total.expired > 0 && total.extended > 0 && total.left > 0);
}
