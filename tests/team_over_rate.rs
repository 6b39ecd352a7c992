//! A team that asks for several times its rate at every daemon of a large fleet, on a simulated clock.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxtailhill::catalog::TeamSpec;
use foxtailhill::ids::VmId;
use foxtailhill::limit::{BudgetTable, ChargeError};
use foxtailhill::member::{ShareGrant, WHOLE_PPM};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TEAM: &str = "agents";
const RATE: u64 = 20_000;
const BORROWERS: u64 = 60;
const LENGTH: Duration = Duration::from_secs(20);
/// Time between two requests of the team: four times its rate with requests of 1,500 tokens.
const GAP: Duration = Duration::from_micros(1_500 * 1_000_000 / (4 * RATE));

fn table(vm: u64, ppm: u32, now: Instant) -> BudgetTable {
    let mut table = BudgetTable::default();
    let team = TeamSpec {
        name: TEAM.into(),
        rate: RATE,
        burst: RATE,
    };
    table.set_teams(&[team], now);
    let grant = ShareGrant {
        vm: VmId(vm),
        ppm,
        until: now + 2 * LENGTH,
    };
    table.set_grant(Some(grant), now);
    table
}

/// Returns the tokens served if each loan must cover its request (`whole`) or may cover a part of it.
fn served(whole: bool, seed: u64) -> u64 {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut owner = table(0, WHOLE_PPM, start);
    let mut daemons: Vec<_> = (1..=BORROWERS).map(|vm| table(vm, 0, start)).collect();
    let lender = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut served = 0;
    let mut now = start;
    while now < start + LENGTH {
        let tokens = random.random_range(500..2_500);
        let daemon = &mut daemons[random.random_range(0..BORROWERS as usize)];
        let missing = match daemon.charge(TEAM, tokens, now) {
            Err(ChargeError::Missing { tokens, .. }) => tokens,
            other => panic!("a daemon without a share charged: {other:?}"),
        };
        let min_tokens = if whole { missing } else { 0 };
        if let Some(loan) = owner.lend(TEAM, missing, min_tokens, now) {
            daemon.add_loan(TEAM, lender, loan, now, now);
        }
        if let Ok(charge) = daemon.charge(TEAM, tokens, now) {
            daemon.settle(TEAM, charge, tokens, now);
            served += tokens;
        }
        now += GAP;
    }
    served
}

/// Guards against a team that is served less than its rate because loans that cover no request lapse unused.
#[test]
fn team_above_its_rate_gets_its_rate() {
    let created = RATE * LENGTH.as_secs();
    for seed in 1..=5 {
        let whole = served(true, seed);
        assert!(whole <= created + RATE, "seed {seed}: {whole} of {created}");
        assert!(
            whole * 100 >= created * 95,
            "seed {seed}: {whole} of {created} tokens were served"
        );
    }
}

/// Guards against a check above that passes for every way of lending.
#[test]
fn partial_loans_leave_part_of_the_rate_unused() {
    let created = RATE * LENGTH.as_secs();
    let parts = served(false, 1);
    assert!(parts * 100 < created * 95, "{parts} of {created}");
}
