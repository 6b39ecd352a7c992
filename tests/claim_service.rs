//! Claims under log faults: at most one grant per key, and every grant ends recorded or released.

#![allow(clippy::unwrap_used)]

mod faulty_log;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use faulty_log::{FaultyLog, LogFaults};
use foxtailhill::claim::{
    ClaimBatch, ClaimKey, ClaimOutcome, ClaimRecord, ClaimService, ClaimSettings, ClaimStore,
    ClaimVerdict,
};
use foxtailhill::ids::{KeyDigest, RecordId, VmId};
use foxtailhill::journal::{JournalClient, StreamName};
use foxtailhill::kernel::TaskGroup;
use foxtailhill::{Category, RunVerdict};

fn settings() -> ClaimSettings {
    ClaimSettings {
        claim_wait: Duration::from_millis(300),
        outcome_wait: Duration::from_millis(100),
        append_window: Duration::from_millis(1),
        read_wait: Duration::from_millis(20),
        retry_pause: Duration::from_millis(5),
        append_wait: Duration::from_millis(50),
        ..ClaimSettings::default()
    }
}

fn key(number: u32) -> ClaimKey {
    ClaimKey {
        team: "oliveto".into(),
        key: KeyDigest::of(&number.to_le_bytes()),
    }
}

fn outcome() -> ClaimOutcome {
    ClaimOutcome {
        status: 201,
        content_type: None,
        body: Some(Bytes::from_static(b"seat 14b")),
    }
}

fn body() -> KeyDigest {
    KeyDigest::of(b"body")
}

fn seed() -> u64 {
    let seed = std::env::var("SEED").map_or_else(|_| rand::random(), |text| text.parse().unwrap());
    println!("seed {seed}");
    seed
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not within 30 s: {what}");
}

/// Guards against two grants for one key when answers are lost, appends are late and the log goes down.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn at_most_one_dispatch_per_key() {
    const KEYS: u32 = 30;
    let log = Arc::new(FaultyLog::new(seed()));
    log.set_faults(LogFaults {
        lose_answer: 0.2,
        lose_append: 0.1,
        late_append: 0.2,
        late_ms: 40,
    });
    let group = TaskGroup::new();
    let services: Vec<_> = (0..4)
        .map(|_| ClaimService::spawn(log.clone(), VmId::random(), settings(), &group))
        .collect();
    let dispatched: Arc<Mutex<HashMap<u32, u32>>> = Arc::default();
    let mut callers = Vec::new();
    for service in &services {
        for number in 0..KEYS {
            for copy in 0..3_u32 {
                let (service, dispatched) = (service.clone(), dispatched.clone());
                callers.push(tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(u64::from(number) * 30)).await;
                    call(&service, number, copy, &dispatched).await;
                }));
            }
        }
    }
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(120)).await;
        log.set_down(true);
        tokio::time::sleep(Duration::from_millis(60)).await;
        log.set_down(false);
    }
    for caller in callers {
        caller.await.unwrap();
    }
    log.set_faults(LogFaults::default());
    for service in &services {
        assert_eq!(service.drain(Duration::from_secs(30)).await, 0);
    }
    group.shutdown().await;
    let dispatched = dispatched.lock().unwrap();
    println!("{} of {KEYS} keys dispatched", dispatched.len());
    assert!(dispatched.len() > KEYS as usize / 2);
    assert!(
        dispatched.values().all(|count| *count == 1),
        "{dispatched:?}"
    );
}

/// Submits once; half of the cancelled twins give up at a random moment.
async fn call(
    service: &ClaimService<FaultyLog>,
    number: u32,
    copy: u32,
    dispatched: &Mutex<HashMap<u32, u32>>,
) {
    let claim = service.claim(key(number), body());
    let timeout = match copy {
        0 => Duration::from_millis(u64::from(rand::random_range(1..60_u32))),
        _ => Duration::from_secs(60),
    };
    let Ok(verdict) = tokio::time::timeout(timeout, claim).await else {
        return;
    };
    match verdict {
        Ok(ClaimVerdict::Granted(id)) if rand::random_bool(0.2) => service.release(id),
        Ok(ClaimVerdict::Granted(id)) => {
            *dispatched.lock().unwrap().entry(number).or_default() += 1;
            service.record(id, outcome());
        }
        Ok(ClaimVerdict::Recorded(recorded)) => assert_eq!(recorded, outcome()),
        Err(error) => {
            let known = (error.category(), error.verdict());
            assert!(
                known == (Category::Unavailable, RunVerdict::NotRun)
                    || known == (Category::Conflict, RunVerdict::MayHaveRun),
                "{error}"
            );
        }
    }
}

/// Guards against a claim that took effect during an outage and blocks its key for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claim_that_missed_its_wait_is_released() {
    let log = Arc::new(FaultyLog::new(seed()));
    log.set_faults(LogFaults {
        late_append: 1.0,
        late_ms: 200,
        ..LogFaults::default()
    });
    let group = TaskGroup::new();
    let quick = ClaimSettings {
        claim_wait: Duration::from_millis(50),
        ..settings()
    };
    let first = ClaimService::spawn(log.clone(), VmId::random(), quick, &group);
    let refused = first.claim(key(1), body()).await.unwrap_err();
    assert_eq!(refused.category(), Category::Unavailable);
    assert_eq!(refused.verdict(), RunVerdict::NotRun);
    let claimed = || !log.records(StreamName::Claims).is_empty();
    eventually("the claim takes effect", claimed).await;
    log.set_faults(LogFaults::default());
    let second = ClaimService::spawn(log.clone(), VmId::random(), settings(), &group);
    let mut granted = false;
    for _ in 0..100 {
        if let Ok(ClaimVerdict::Granted(_)) = second.claim(key(1), body()).await {
            granted = true;
            break;
        }
    }
    assert!(granted);
    group.shutdown().await;
}

/// Guards against a wrong verdict for a second submission: open, recorded, another body, released.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_submission_gets_the_outcome() {
    let log = Arc::new(FaultyLog::new(seed()));
    let group = TaskGroup::new();
    let one = ClaimService::spawn(log.clone(), VmId::random(), settings(), &group);
    let two = ClaimService::spawn(log.clone(), VmId::random(), settings(), &group);
    let Ok(ClaimVerdict::Granted(id)) = one.claim(key(1), body()).await else {
        panic!("not granted");
    };
    for service in [&one, &two] {
        let open = service.claim(key(1), body()).await.unwrap_err();
        assert_eq!(open.category(), Category::Conflict);
        assert_eq!(open.verdict(), RunVerdict::MayHaveRun);
        let other = service
            .claim(key(1), KeyDigest::of(b"other"))
            .await
            .unwrap_err();
        assert_eq!(other.category(), Category::Invalid);
    }
    let waiting = tokio::spawn({
        let two = two.clone();
        async move { two.claim(key(1), body()).await }
    });
    one.record(id, outcome());
    let recorded = ClaimVerdict::Recorded(outcome());
    assert_eq!(waiting.await.unwrap().unwrap(), recorded);
    assert_eq!(one.claim(key(1), body()).await.unwrap(), recorded);
    let Ok(ClaimVerdict::Granted(id)) = two.claim(key(2), body()).await else {
        panic!("not granted");
    };
    two.release(id);
    let again = one.claim(key(2), body()).await.unwrap();
    assert!(matches!(again, ClaimVerdict::Granted(_)));
    group.shutdown().await;
}

/// Guards against outcomes that are lost because the log was down when the call ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_survives_an_outage() {
    let log = Arc::new(FaultyLog::new(seed()));
    let group = TaskGroup::new();
    let one = ClaimService::spawn(log.clone(), VmId::random(), settings(), &group);
    let Ok(ClaimVerdict::Granted(id)) = one.claim(key(1), body()).await else {
        panic!("not granted");
    };
    log.set_down(true);
    one.record(
        id,
        ClaimOutcome {
            body: Some(Bytes::from(vec![0; 5000])),
            ..outcome()
        },
    );
    let refused = one.claim(key(2), body()).await.unwrap_err();
    assert_eq!(refused.category(), Category::Unavailable);
    assert_eq!(refused.verdict(), RunVerdict::NotRun);
    log.set_down(false);
    assert_eq!(one.drain(Duration::from_secs(30)).await, 0);
    let two = ClaimService::spawn(log.clone(), VmId::random(), settings(), &group);
    let recorded = two.claim(key(1), body()).await.unwrap();
    let ClaimVerdict::Recorded(recorded) = recorded else {
        panic!("not recorded");
    };
    assert_eq!(recorded.body, None, "a body over the limit is not kept");
    group.shutdown().await;
}

/// Guards against a new daemon that trusts a log whose old claims retention has passed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retention_bounds_the_age_of_time_ordered_keys() {
    let log = Arc::new(FaultyLog::new(seed()));
    let group = TaskGroup::new();
    let batch = ClaimBatch {
        id: RecordId(1),
        vm: VmId(1),
        at_ms: 1_700_000_000_000,
        records: vec![ClaimRecord::Claim {
            id: RecordId(2),
            key: key(1),
            body: body(),
        }],
    };
    let long = ClaimSettings {
        memory: Duration::from_secs(1_000_000_000),
        ..settings()
    };
    for _ in 0..3 {
        log.append(StreamName::Claims, batch.encode().unwrap())
            .await
            .unwrap();
    }
    let young = "018bcfe5-6801-7abc-8def-0123456789ab";
    let old = "018bcfe5-67ff-7abc-8def-0123456789ab";
    let whole = ClaimService::spawn(log.clone(), VmId::random(), long.clone(), &group);
    eventually("replayed", || whole.caught_up_at().is_some()).await;
    assert!(whole.check_key(old).is_ok());
    log.retain_from(StreamName::Claims, 2);
    let cut = ClaimService::spawn(log.clone(), VmId::random(), long, &group);
    eventually("replayed", || cut.caught_up_at().is_some()).await;
    assert!(cut.check_key(young).is_ok());
    assert!(cut.check_key("seat-14b").is_ok());
    let refused = cut.check_key(old).unwrap_err();
    assert_eq!(refused.verdict(), RunVerdict::MayHaveRun);
    let open = cut.claim(key(1), body()).await.unwrap_err();
    assert_eq!(open.verdict(), RunVerdict::MayHaveRun);
    group.shutdown().await;
}
