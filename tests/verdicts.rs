//! Compares the verdict of every refusal (G8) with what the stand-ins recorded for its request id.

mod process_support;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use eyre::{OptionExt, ensure};
use foxtailhill_standins::EngineOptions;
use foxtailhill_standins::caller::CallerAnswer;
use foxtailhill_standins::cluster::{ClusterOptions, PLATFORM_ZONE, TestCluster};
use foxtailhill_standins::engine::EngineFault;
use foxtailhill_standins::proxy::FaultSchedule;
use foxtailhill_standins::service::ServiceFault;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::process_support as support;

const CALLS: usize = 160;
const FAULT_DURATION: Duration = Duration::from_secs(12);
const MAX_TOKENS: u32 = 30;

/// Requests that took effect, and how often, by request id.
fn effects(cluster: &TestCluster) -> HashMap<String, usize> {
    let mut effects = HashMap::new();
    let journals = cluster.engines.iter().flat_map(|engine| engine.journals());
    for run in journals.flat_map(|journal| journal.runs) {
        *effects.entry(run.request_id.to_string()).or_default() += 1;
    }
    let received = cluster.services.iter().flat_map(|one| one.received());
    for request in received {
        if let Some(id) = request.header("x-request-id") {
            *effects.entry(id.to_owned()).or_default() += 1;
        }
    }
    effects
}

fn request_id(answer: &CallerAnswer) -> Option<&str> {
    answer.headers.get("x-request-id")?.to_str().ok()
}

async fn call(cluster: &TestCluster, number: usize, daemon: usize) -> eyre::Result<CallerAnswer> {
    let address = cluster.daemons[daemon].addresses().caller;
    let caller = support::caller();
    if number.is_multiple_of(3) {
        let key = format!("verdict-{}", number / 6);
        return caller.submit(address, "/bookings/2", &key, "seat 7").await;
    }
    let messages =
        format!(r#"[{{"role":"user","content":"call {number} <tokens={MAX_TOKENS}>"}}]"#);
    caller.chat(address, "drafter", &messages, MAX_TOKENS).await
}

/// Gives faults to a random engine and to the service, 24 times within [`FAULT_DURATION`].
async fn inject_faults(cluster: &TestCluster, mut random: StdRng) {
    for _ in 0..24 {
        tokio::time::sleep(FAULT_DURATION / 24).await;
        let index = random.random_range(0..MAX_TOKENS);
        let fault = match random.random_range(0..5) {
            0 => EngineFault::Lost,
            1 => EngineFault::Truncated { after: index },
            2 => EngineFault::Broken { after: index },
            _ => EngineFault::Refuse,
        };
        let engine = random.random_range(0..cluster.engines.len());
        cluster.engines[engine].latest().push_fault(fault);
        let fault = match random.random_range(0..3) {
            0 => ServiceFault::LoseAnswer,
            1 => ServiceFault::Truncate,
            _ => ServiceFault::Refuse,
        };
        cluster.services[0].latest().push_fault(fault);
    }
}

/// Guards against a refusal that says `not_run` of a request that a backend server accepted, under failing links,
/// engines and services.
#[tokio::test(flavor = "multi_thread")]
async fn every_refusal_says_truly_whether_the_request_ran() -> eyre::Result<()> {
    let seed = support::seed(41);
    let mut random = StdRng::seed_from_u64(seed);
    let engine = |zone| {
        let options = EngineOptions {
            time_scale: 0.2,
            ..EngineOptions::default()
        };
        support::engine(&format!("engine-{zone}"), zone, options)
    };
    let cluster = support::open(ClusterOptions {
        daemons: support::daemons(),
        engines: support::ZONES.map(engine).to_vec(),
        services: vec![support::service("booking-1", "catania")],
        proxied: true,
        ..ClusterOptions::default()
    })
    .await?;
    for daemon in 0..3 {
        support::wait_until_served(&cluster, daemon).await?;
    }
    let zones = support::ZONES.iter().copied().chain([PLATFORM_ZONE]);
    let zones: Vec<_> = zones.map(Into::into).collect();
    let schedule = FaultSchedule::generate(seed, &zones, 24, FAULT_DURATION);
    println!("{schedule}");
    let proxy = cluster.proxy.as_ref().ok_or_eyre("links are not proxied")?;
    let length = FAULT_DURATION.as_millis() as u64;
    let calls = (0..CALLS).map(|number| {
        let delay = Duration::from_millis(random.random_range(0..length));
        let (cluster, daemon) = (&cluster, random.random_range(0..3));
        async move {
            tokio::time::sleep(delay).await;
            call(cluster, number, daemon).await
        }
    });
    let calls = join_all(calls.collect::<Vec<_>>());
    let faults = inject_faults(&cluster, StdRng::seed_from_u64(seed + 1));
    let (answers, (), ()) = tokio::join!(calls, proxy.run(&schedule), faults);
    proxy.heal();
    for daemon in 0..3 {
        support::wait_until_served(&cluster, daemon).await?;
    }
    check(&cluster, &answers)?;
    cluster.shutdown().await
}

/// Returns whether an answer is the service's own refusal, which is forwarded and recorded as the outcome of its key.
fn is_answer_of_service(answer: &CallerAnswer) -> bool {
    answer.status == 503 && answer.json()["error"]["message"] == "service refuses"
}

fn check(cluster: &TestCluster, answers: &[eyre::Result<CallerAnswer>]) -> eyre::Result<()> {
    let effects = effects(cluster);
    let mut verdicts: HashMap<String, usize> = HashMap::new();
    let mut ids = HashSet::new();
    for answer in answers.iter().flatten() {
        let id = request_id(answer).ok_or_eyre("an answer without a request id")?;
        ensure!(ids.insert(id), "request id {id} was used twice");
        let verdict = answer.verdict().unwrap_or_else(|| "none".to_owned());
        *verdicts.entry(verdict.clone()).or_default() += 1;
        ensure!(
            answer.status == 200 || verdict != "none" || is_answer_of_service(answer),
            "a refusal without a verdict: {answer:?}"
        );
        ensure!(
            verdict != "not_run" || !effects.contains_key(id),
            "a backend server accepted what was refused as not run: {answer:?}"
        );
    }
    let unanswered = answers.iter().filter(|answer| answer.is_err()).count();
    println!("verdicts: {verdicts:?}, {unanswered} without an answer");
    ensure!(
        verdicts.contains_key("not_run") && verdicts.contains_key("may_have_run"),
        "the faults led to too few refusals: {verdicts:?}"
    );
    for number in 0..CALLS.div_ceil(6) {
        let key = format!("verdict-{number}");
        let count = cluster.services[0].count(&key);
        ensure!(count <= 1, "{key} ran {count} times");
    }
    Ok(())
}
