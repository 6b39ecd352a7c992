//! Tests of the load driver, against an entry server whose answer depends on the caller's team.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::extract::Request;
use axum::response::{IntoResponse, Response};
use foxtailhill::catalog::{ModelSpec, RequestClass, TeamSpec};
use foxtailhill::declaration::Declaration;
use foxtailhill_standins::load::{
    DemandMove, DemandStream, DemandTarget, LoadOptions, LoadReport, LoadShape, Scenario,
    ScenarioModel, StoreLimits, built_in, grainotheque, navette, plan, read_trace, run,
};
use foxtailhill_standins::{AnswerScript, any_port};
use http::StatusCode;
use serde_json::{Value, json};

fn stream(team: &str, model: &str, rate: f64) -> DemandStream {
    DemandStream {
        team: team.into(),
        target: DemandTarget::Model {
            model: model.into(),
            adapter: None,
        },
        class: RequestClass::Interactive,
        rate,
        prompt_bytes: (600, 900),
        tokens: (4, 12),
        deadline: Some(Duration::from_secs(20)),
        burst: None,
    }
}

fn scenario(teams: &[&str]) -> Scenario {
    let team = |name: &&str| TeamSpec {
        name: (*name).into(),
        rate: 1000,
        burst: 1000,
    };
    let model = |name: &str| ScenarioModel {
        spec: ModelSpec {
            name: name.into(),
            memory_bytes: 1,
            min_replicas: 1,
            version: "v1".into(),
            first_token_ms: 10_000,
            open: false,
        },
        adapters: Vec::new(),
    };
    Scenario {
        name: "test".into(),
        zones: vec!["catania".into()],
        models: vec![model("drafter"), model("quiet")],
        teams: teams.iter().map(team).collect(),
        routes: Vec::new(),
        engines: Vec::new(),
        services: Vec::new(),
        store: StoreLimits {
            loads_per_s: 1.0,
            loads_in_flight: 1,
            adapters_in_flight: 1,
        },
        streams: teams
            .iter()
            .map(|team| stream(team, "drafter", 40.0))
            .collect(),
        moves: Vec::new(),
    }
}

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

fn refusal(cause: &str, verdict: &str) -> Value {
    json!({"error": {"message": "", "type": cause, "verdict": verdict, "request_id": "r"}})
}

/// Answers with the result or the fault that the name of the caller's team states.
async fn answer(request: Request) -> Response {
    let key = request.headers()["authorization"].to_str().expect("text");
    let team = key.rsplit('-').next().expect("a team").to_owned();
    let body = axum::body::to_bytes(request.into_body(), 1 << 20).await;
    let body: Value = serde_json::from_slice(&body.expect("a body")).expect("JSON");
    let messages = body["messages"].to_string();
    let model = body["model"].as_str().expect("a model");
    let max_tokens = body["max_tokens"].as_u64().expect("a number") as u32;
    let version = if team == "stale" { "v0" } else { "v1" };
    let script = AnswerScript::new(model, version, None, messages.as_bytes());
    if team == "refused" {
        let body = refusal("rate_limited", "not_run").to_string();
        return (StatusCode::TOO_MANY_REQUESTS, body).into_response();
    }
    let mut text = String::new();
    let delta = |content: &str| event(&json!({"choices": [{"delta": {"content": content}}]}));
    let length = script.length(max_tokens) - u32::from(team == "short");
    for index in 0..length {
        text += &delta(&script.token(index));
    }
    if team == "failed" {
        text += "event: error\n";
        return (text + &event(&refusal("unavailable", "may_have_run"))).into_response();
    }
    if team == "truncated" {
        return text.into_response();
    }
    let finish = if script.is_truncated(max_tokens) {
        "length"
    } else {
        "stop"
    };
    text += &event(&json!({"choices": [{"delta": {}, "finish_reason": finish}]}));
    (text + "data: [DONE]\n\n").into_response()
}

async fn spawn_entry() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind(any_port())
        .await
        .expect("bind");
    let address = listener.local_addr().expect("an address");
    let router = Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

async fn load(teams: &[&str], target: SocketAddr) -> LoadReport {
    let scenario = scenario(teams);
    let shape = LoadShape {
        length: Duration::from_millis(500),
        ..LoadShape::default()
    };
    let calls = plan(&scenario, &shape);
    assert!(!calls.is_empty());
    let options = LoadOptions {
        targets: vec![target],
        call_timeout: Duration::from_secs(20),
        drain: Duration::from_secs(20),
        versions: HashMap::new(),
    };
    run(&scenario, &shape, calls, options)
        .await
        .expect("a report")
}

/// Guards against a driver that counts wrong, refused or broken answers as right, or right ones as wrong.
#[tokio::test]
async fn right_wrong_refused_and_failed_calls_are_counted_separately() {
    let teams = ["right", "stale", "short", "refused", "failed", "truncated"];
    let report = load(&teams, spawn_entry().await).await;
    let group = |team: &str| report.group(&format!("team {team}")).expect("a group");
    let right = group("right");
    assert!(right.offered > 0);
    assert_eq!(right.right, right.offered);
    assert!((right.attainment - 1.0).abs() < 1e-9);
    assert_eq!(right.first_token.count, right.offered);
    assert!(right.between_tokens.count > right.offered);
    for team in ["stale", "short"] {
        assert_eq!(group(team).wrong, group(team).offered, "{team}");
    }
    assert_eq!(group("refused").refused, group("refused").offered);
    for team in ["failed", "truncated"] {
        assert_eq!(group(team).failed, group(team).offered, "{team}");
    }
    let [refused] = &report.refusals[..] else {
        panic!("one cause: {:?}", report.refusals);
    };
    assert_eq!(
        (&*refused.cause, &*refused.verdict),
        ("rate_limited", "not_run")
    );
    let causes: Vec<_> = report.failures.iter().map(|count| &*count.cause).collect();
    assert_eq!(causes, ["truncated", "unavailable"]);
    assert!(!report.wrong.is_empty());
    let table = report.to_string();
    assert!(table.contains("team right") && table.contains("rate_limited (not_run)"));
    let json = serde_json::to_string(&report).unwrap();
    let back: LoadReport = serde_json::from_str(&json).unwrap();
    assert_eq!(back.group("all"), report.group("all"));
}

/// Guards against calls to an address without a server that are missing from the report.
#[tokio::test]
async fn unreachable_targets_are_counted() {
    let reservation = foxtailhill_standins::reserve_port(any_port()).unwrap();
    let report = load(&["right"], reservation.local_addr().unwrap()).await;
    let all = report.group("all").unwrap();
    assert_eq!(all.failed, all.offered);
    assert_eq!(report.failures[0].cause, "unreachable");
}

/// Guards against a driver that waits without limit for calls that are never answered.
#[tokio::test]
async fn unanswered_calls_time_out() {
    let silent = tokio::net::TcpListener::bind(any_port()).await.unwrap();
    let scenario = scenario(&["right"]);
    let shape = LoadShape {
        length: Duration::from_millis(200),
        ..LoadShape::default()
    };
    let options = LoadOptions {
        targets: vec![silent.local_addr().unwrap()],
        call_timeout: Duration::from_secs(3600),
        drain: Duration::from_millis(50),
        versions: HashMap::new(),
    };
    let calls = plan(&scenario, &shape);
    let offered = calls.len() as u64;
    let report = run(&scenario, &shape, calls, options).await.unwrap();
    assert_eq!(report.failures[0].cause, "timed_out");
    assert_eq!(report.failures[0].count, offered);
}

/// Guards against plans that are not reproducible, and against rates, factors and moves that are ignored.
#[test]
fn plan_depends_on_seed_rates_factors_and_moves() {
    let mut scenario = scenario(&["one", "two"]);
    scenario.streams.push(stream("one", "quiet", 4.0));
    scenario.moves.push(DemandMove {
        at: 0.5,
        model: "quiet".into(),
        factor: 10.0,
    });
    let shape = LoadShape {
        length: Duration::from_secs(100),
        ..LoadShape::default()
    };
    let calls = plan(&scenario, &shape);
    assert_eq!(calls, plan(&scenario, &shape));
    assert!(calls.is_sorted_by_key(|call| call.at));
    let other = LoadShape {
        seed: 2,
        ..shape.clone()
    };
    assert_ne!(calls, plan(&scenario, &other));
    let count = |calls: &[foxtailhill_standins::load::PlannedCall], team: &str| {
        calls.iter().filter(|call| call.team == team).count() as f64
    };
    // 316 is five standard deviations of 4,000 Poisson arrivals.
    assert!((count(&calls, "two") - 4000.0).abs() < 316.0);
    let quiet = |early: bool| {
        let target = DemandTarget::Model {
            model: "quiet".into(),
            adapter: None,
        };
        let calls = calls.iter().filter(|call| call.target == target);
        calls
            .filter(|call| (call.at < Duration::from_secs(50)) == early)
            .count() as f64
    };
    // Five standard deviations of 200 and of 2,000 arrivals.
    assert!((quiet(true) - 200.0).abs() < 71.0);
    assert!((quiet(false) - 2000.0).abs() < 224.0);
    let increased = LoadShape {
        team_factors: [("two".into(), 5.0)].into(),
        ..shape
    };
    let increased_calls = plan(&scenario, &increased);
    assert!((count(&increased_calls, "two") - 20_000.0).abs() < 708.0);
    let one = |calls: &[foxtailhill_standins::load::PlannedCall]| count(calls, "one");
    assert!((one(&increased_calls) - one(&calls)).abs() < f64::EPSILON);
}

/// Guards against invalid or unordered lines of a trace that are accepted.
#[test]
fn trace_round_trips_and_bad_lines_are_rejected() {
    let scenario = scenario(&["one"]);
    let shape = LoadShape {
        length: Duration::from_secs(1),
        ..LoadShape::default()
    };
    let calls = plan(&scenario, &shape);
    let lines: Vec<String> = calls
        .iter()
        .map(|call| serde_json::to_string(call).unwrap())
        .collect();
    assert_eq!(read_trace(&lines.join("\n")).unwrap(), calls);
    let reversed = format!("{}\n{}", lines[1], lines[0]);
    let error = read_trace(&reversed).unwrap_err().to_string();
    assert!(error.contains("line 2"), "{error}");
    let error = read_trace("{\"at\": 1}").unwrap_err().to_string();
    assert!(error.contains("line 1"), "{error}");
}

/// Guards against scenarios whose sizes differ from the design page, or whose engines cannot hold the minimum of
/// replicas.
#[test]
fn deployments_match_the_design_and_fit_their_minimum_replicas() {
    let sizes = |scenario: &Scenario| {
        let adapters = scenario.models.iter().map(|model| model.adapters.len());
        (
            scenario.models.len(),
            adapters.sum::<usize>(),
            scenario.teams.len(),
            scenario.zones.len(),
        )
    };
    assert_eq!(sizes(&navette()), (13, 55, 5, 3));
    assert_eq!(sizes(&grainotheque()), (21, 115, 5, 3));
    let min_replicas =
        |scenario: &Scenario, model: &str| scenario.model(model).unwrap().spec.min_replicas;
    assert_eq!(min_replicas(&navette(), "drafter"), 9);
    assert_eq!(min_replicas(&navette(), "booking-desk"), 3);
    assert_eq!(min_replicas(&grainotheque(), "catalogue-scribe"), 18);
    assert_eq!(min_replicas(&grainotheque(), "pret-semences"), 3);
    for scenario in [navette(), grainotheque()] {
        let mut free: Vec<u64> = scenario
            .engines
            .iter()
            .map(|engine| engine.memory_bytes)
            .collect();
        let mut replicas: Vec<u64> = scenario
            .models
            .iter()
            .flat_map(|model| {
                let spec = &model.spec;
                std::iter::repeat_n(spec.memory_bytes, spec.min_replicas as usize)
            })
            .collect();
        replicas.sort_by_key(|bytes| std::cmp::Reverse(*bytes));
        for bytes in replicas {
            let fits = free.iter_mut().find(|free| **free >= bytes);
            *fits.expect("the minimum replicas fit") -= bytes;
        }
        let declaration = scenario.declaration().to_string();
        let declaration = Declaration::parse("scenario", &declaration).unwrap();
        declaration.check().unwrap();
        assert_eq!(built_in(&scenario.name), Some(scenario));
    }
    assert_eq!(built_in("other"), None);
}
