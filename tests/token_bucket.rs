//! The token bucket against reference models: exact refill, and refunds compared with charging final amounts.

use std::time::{Duration, Instant};

use bolero::generator::*;
use foxtailhill::limit::{BucketCharge, BucketLimit, TokenBucket};

/// Bytes of generated input; enough for the longest list of steps.
const MAX_INPUT: usize = 4_096;
const UNITS_PER_TOKEN: u128 = 1_000_000_000_000_000;

/// A step: kind, milliseconds to wait before it, and an argument.
type Step = (u8, u8, u8);

/// Bucket that charges final amounts at admission and is advanced a millisecond at a time.
struct ReferenceBucket {
    rate: u128,
    burst: u128,
    ppm: u128,
    balance: u128,
    at_ms: u64,
    /// End in milliseconds and units of each loan.
    lent: Vec<(u64, u128)>,
}

impl ReferenceBucket {
    fn capacity(&self) -> u128 {
        let lent: u128 = self.lent.iter().map(|(_, units)| units).sum();
        (self.burst * self.ppm * 1_000_000_000).saturating_sub(lent)
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.at_ms += 1;
            let created = self.rate * self.ppm * 1_000_000;
            let room = self.capacity().saturating_sub(self.balance);
            self.balance += created.min(room);
            self.lent.retain(|(end, _)| *end > self.at_ms);
        }
    }
}

struct BucketPair {
    start: Instant,
    bucket: TokenBucket,
    reference: ReferenceBucket,
    open: Vec<(BucketCharge, u64)>,
}

impl BucketPair {
    fn new(rate: u64, burst: u64) -> Self {
        let start = Instant::now();
        let limit = BucketLimit {
            rate,
            burst,
            ppm: 1_000_000,
            until: Some(start + Duration::from_secs(1_000_000)),
        };
        let reference = ReferenceBucket {
            rate: rate.into(),
            burst: burst.into(),
            ppm: 1_000_000,
            balance: 0,
            at_ms: 0,
            lent: Vec::new(),
        };
        Self {
            start,
            bucket: TokenBucket::new(limit, start),
            reference,
            open: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.reference.at_ms)
    }

    fn step(&mut self, (kind, wait, argument): Step) {
        self.reference.advance(u64::from(wait));
        let now = self.now();
        match kind % 8 {
            0..=2 => self.charge(argument, kind),
            3 | 4 => self.settle(argument),
            5 => self.lend(argument),
            6 => self.share(argument),
            _ => {}
        }
        let balance = self.bucket.balance(now);
        let known = u64::try_from(self.reference.balance / UNITS_PER_TOKEN).expect("small");
        assert!(
            balance <= known,
            "balance {balance} above the {known} of the reference bucket"
        );
    }

    fn charge(&mut self, argument: u8, kind: u8) {
        let now = self.now();
        let tokens = self.bucket.balance(now) * u64::from(argument) / 255;
        // The consumed part is nothing, half or all.
        let used = tokens * u64::from(kind % 8) / 2;
        let charge = self
            .bucket
            .charge(tokens, now)
            .expect("the balance suffices");
        self.reference.balance -= u128::from(used) * UNITS_PER_TOKEN;
        self.open.push((charge, used));
    }

    fn settle(&mut self, argument: u8) {
        if self.open.is_empty() {
            return;
        }
        let (charge, used) = self
            .open
            .swap_remove(usize::from(argument) % self.open.len());
        self.bucket.settle(charge, used, self.now());
    }

    fn lend(&mut self, argument: u8) {
        let now = self.now();
        let lifetime = Duration::from_millis(u64::from(argument) + 1);
        let Some((tokens, _)) = self.bucket.lend(u64::from(argument), lifetime, now) else {
            return;
        };
        let units = u128::from(tokens) * UNITS_PER_TOKEN;
        self.reference.balance -= units;
        let end = self.reference.at_ms + u64::from(argument) + 1;
        self.reference.lent.push((end, units));
    }

    fn share(&mut self, argument: u8) {
        let ppm = (u32::from(argument) + 1) * 3_900;
        let limit = BucketLimit {
            ppm,
            ..self.bucket.limit()
        };
        self.bucket.set_limit(limit, self.now());
        self.reference.ppm = ppm.into();
        self.reference.balance = self.reference.balance.min(self.reference.capacity());
    }
}

/// Guards against refunds and loans that leave more in the bucket than if the final amounts had been charged at
/// admission.
#[test]
fn balance_never_exceeds_that_of_a_bucket_charged_final_amounts() {
    bolero::check!()
        .with_generator((
            1u64..5_000,
            1u64..5_000,
            produce::<Vec<Step>>().with().len(0usize..100),
        ))
        .with_max_len(MAX_INPUT)
        .for_each(|(rate, burst, steps)| {
            let mut pair = BucketPair::new(*rate, *burst);
            for step in steps {
                pair.step(*step);
            }
        });
}

/// Guards against drift: many small refills must create exactly what one large refill creates.
#[test]
fn refill_does_not_depend_on_how_often_it_runs() {
    bolero::check!()
        .with_generator((1u64..1_000_000, 1u32..1_000_000, produce::<Vec<u32>>()))
        .with_max_len(MAX_INPUT)
        .for_each(|(rate, ppm, waits)| {
            let start = Instant::now();
            let limit = BucketLimit {
                rate: *rate,
                burst: u64::MAX / 2,
                ppm: *ppm,
                until: Some(start + Duration::from_secs(1_000_000)),
            };
            let mut often = TokenBucket::new(limit, start);
            let mut once = TokenBucket::new(limit, start);
            let mut now = start;
            for wait in waits {
                now += Duration::from_nanos(u64::from(*wait));
                often.balance(now);
            }
            let elapsed = (now - start).as_nanos();
            let exact = u128::from(*rate) * u128::from(*ppm) * elapsed / UNITS_PER_TOKEN;
            assert_eq!(u128::from(often.balance(now)), exact);
            assert_eq!(u128::from(once.balance(now)), exact);
        });
}

/// Guards against refunds that are reduced without need: below capacity all unused tokens come back.
#[test]
fn unused_tokens_are_refunded_in_full_below_capacity() {
    let mut pair = BucketPair::new(100, 1_000);
    pair.reference.advance(5_000);
    let now = pair.now();
    let charge = pair.bucket.charge(400, now).expect("500 tokens are there");
    let later = now + Duration::from_secs(2);
    pair.bucket.settle(charge, 100, later);
    assert_eq!(pair.bucket.balance(later), 600);
}

/// Guards against a loan that outlives the lender's term, after which the share may belong to others.
#[test]
fn a_loan_ends_with_the_term_at_the_latest() {
    let start = Instant::now();
    let limit = BucketLimit {
        rate: 100,
        burst: 100,
        ppm: 1_000_000,
        until: Some(start + Duration::from_secs(10)),
    };
    let mut bucket = TokenBucket::new(limit, start);
    let wanted = Duration::from_secs(2);
    let early = bucket.lend(10, wanted, start + Duration::from_secs(5));
    assert_eq!(early, Some((10, wanted)));
    let late = bucket.lend(10, wanted, start + Duration::from_secs(9));
    assert_eq!(late, Some((10, Duration::from_secs(1))));
    assert_eq!(
        bucket.lend(10, wanted, start + Duration::from_secs(10)),
        None
    );
}
