//! Comparison of `SuspectTable` with a reference model, and a test of the retry budget.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bolero::{TypeGenerator, check};
use foxtailhill::ids::KeyDigest;
use foxtailhill::peer::SuspectNotice;
use foxtailhill::retry::RetryBudget;
use foxtailhill::suspect::{SuspectTable, SuspectVerdict};

const CAPACITY: usize = 3;
const SERVERS: [&str; 2] = ["s1", "s2"];

#[derive(Debug, TypeGenerator)]
enum Op {
    Died {
        request: u8,
        quarantine_s: u8,
    },
    Completed {
        request: u8,
    },
    Notice {
        request: u8,
        deaths: u8,
        quarantine_s: u8,
    },
    Reserve {
        server: bool,
        request: u8,
    },
    Release {
        server: bool,
        request: u8,
    },
    Expire,
    Advance {
        seconds: u8,
    },
}

#[derive(Default)]
struct ReferenceTable {
    suspects: Vec<(KeyDigest, u32, Instant)>,
    reservations: HashMap<&'static str, KeyDigest>,
}

impl ReferenceTable {
    fn deaths(&self, request: KeyDigest, now: Instant) -> u32 {
        let live = self.suspects.iter().find(|s| s.0 == request && s.2 > now);
        live.map_or(0, |suspect| suspect.1)
    }

    fn verdict(&self, request: KeyDigest, now: Instant) -> SuspectVerdict {
        match self.suspects.iter().find(|s| s.0 == request && s.2 > now) {
            None => SuspectVerdict::Clear,
            Some((_, 1, _)) => SuspectVerdict::Suspect,
            Some((_, _, until)) => SuspectVerdict::Quarantined(*until),
        }
    }

    fn set(&mut self, request: KeyDigest, deaths: u32, until: Instant) {
        self.suspects.retain(|s| s.0 != request);
        self.suspects.sort_by_key(|s| (s.2, s.0));
        if self.suspects.len() >= CAPACITY {
            self.suspects.remove(0);
        }
        self.suspects.push((request, deaths, until));
    }

    fn complete(&mut self, request: KeyDigest, now: Instant) -> bool {
        let clears = self.verdict(request, now) == SuspectVerdict::Suspect;
        if clears {
            self.suspects.retain(|s| s.0 != request);
        }
        clears
    }
}

fn digest(request: u8) -> KeyDigest {
    KeyDigest([request % 5; 32])
}

/// Guards against a request that runs in spite of its quarantine, against two suspects on one server, and against a
/// table that grows without limit.
#[test]
fn table_agrees_with_the_reference_model() {
    check!().with_type::<Vec<Op>>().for_each(|ops| {
        let (mut table, mut reference) = (SuspectTable::new(CAPACITY), ReferenceTable::default());
        let mut now = Instant::now();
        for op in ops {
            match *op {
                Op::Died {
                    request,
                    quarantine_s,
                } => {
                    let quarantine = Duration::from_secs(quarantine_s.into());
                    let deaths = reference.deaths(digest(request), now) + 1;
                    reference.set(digest(request), deaths, now + quarantine);
                    let notice = table.record_death(digest(request), quarantine, now);
                    assert_eq!(notice.deaths, deaths);
                }
                Op::Completed { request } => {
                    let notice = table.record_completion(&digest(request), now);
                    assert_eq!(notice.is_some(), reference.complete(digest(request), now));
                }
                Op::Notice {
                    request,
                    deaths,
                    quarantine_s,
                } => {
                    let quarantine = Duration::from_secs(quarantine_s.into());
                    let (fingerprint, deaths) = (digest(request), u32::from(deaths % 4));
                    table.apply_notice(
                        SuspectNotice {
                            fingerprint,
                            deaths,
                        },
                        quarantine,
                        now,
                    );
                    if deaths == 0 {
                        reference.complete(fingerprint, now);
                    } else if deaths > reference.deaths(fingerprint, now) {
                        reference.set(fingerprint, deaths, now + quarantine);
                    }
                }
                Op::Reserve { server, request } => {
                    let name = SERVERS[usize::from(server)];
                    let free = !reference.reservations.contains_key(name);
                    reference
                        .reservations
                        .entry(name)
                        .or_insert(digest(request));
                    assert_eq!(table.reserve(&name.into(), digest(request)), free);
                }
                Op::Release { server, request } => {
                    let name = SERVERS[usize::from(server)];
                    table.release(&name.into(), &digest(request));
                    if reference.reservations.get(name) == Some(&digest(request)) {
                        reference.reservations.remove(name);
                    }
                }
                Op::Expire => {
                    table.expire(now);
                    reference.suspects.retain(|s| s.2 > now);
                }
                Op::Advance { seconds } => now += Duration::from_secs(seconds.into()),
            }
            for request in 0..5 {
                let expected = reference.verdict(digest(request), now);
                assert_eq!(table.verdict(&digest(request), now), expected);
            }
            for name in SERVERS {
                assert_eq!(
                    table.is_reserved(&name.into()),
                    reference.reservations.contains_key(name)
                );
            }
        }
    });
}

/// Guards against retries that amplify an overload: at most 10% of the requests plus the 3 at the start.
#[test]
fn retries_stay_within_budget() {
    let budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.count_request();
        while budget.try_retry() {
            retries += 1;
        }
    }
    assert_eq!(retries, 103);
    // The number of saved retries is limited as well.
    for _ in 0..100_000 {
        budget.count_request();
    }
    let burst = (0..1_000).filter(|_| budget.try_retry()).count();
    assert_eq!(burst, 100);
}
