//! Engine adapter against the stand-in engine.

use std::time::Duration;

use bytes::Bytes;
use foxtailhill::engine::{
    EngineChunk, EngineClient, EngineOrder, EngineRequest, EngineTimeouts, FinishReason,
    HttpEngine, OrderAction, OrderReply, ResidentItem,
};
use foxtailhill::{Category, Result, RunVerdict};
use foxtailhill_standins::engine::{EngineFault, OrderFault, RunOutcome};
use foxtailhill_standins::{AnswerScript, EngineOptions, EngineStandin};
use futures_util::StreamExt;

const GIB: u64 = 1 << 30;

fn weights(model: &str) -> ResidentItem {
    ResidentItem {
        model: model.into(),
        version: "v1".into(),
        adapter: None,
    }
}

fn options() -> EngineOptions {
    EngineOptions {
        resident: vec![(weights("drafter"), 10 * GIB)],
        time_scale: 0.05,
        report_period: Duration::from_millis(5),
        report_lag: Duration::from_millis(10),
        cache_event_delay: Duration::from_millis(10),
        cache_event_loss: 0.0,
        ..EngineOptions::default()
    }
}

fn request(id: &str, text: &str) -> EngineRequest {
    let messages = serde_json::json!([{"role": "user", "content": text}]);
    EngineRequest {
        id: id.into(),
        model: "drafter".into(),
        version: "v1".into(),
        adapter: None,
        messages: messages.to_string().into(),
        max_tokens: 1000,
        priority: 0,
        resume: Vec::new(),
    }
}

fn script(request: &EngineRequest) -> AnswerScript {
    let adapter = request.adapter.as_deref();
    AnswerScript::new(&request.model, &request.version, adapter, &request.messages)
}

async fn collect(
    client: &HttpEngine,
    engine: &EngineStandin,
    request: &EngineRequest,
) -> Result<Vec<Result<EngineChunk>>> {
    let mut tokens = client.complete(engine.address(), request).await?;
    let mut chunks = Vec::new();
    while let Some(chunk) = tokens.next().await {
        // A timeout does not end the stream; the test stops reading at the first one.
        let gives_up = matches!(&chunk, Err(error) if error.category() == Category::Timeout);
        chunks.push(chunk);
        if gives_up {
            break;
        }
    }
    Ok(chunks)
}

async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("condition was not met within 10 s");
}

fn text(chunks: &[Result<EngineChunk>]) -> String {
    let chunks = chunks.iter().filter_map(|chunk| chunk.as_ref().ok());
    chunks.map(|chunk| chunk.text.as_str()).collect()
}

/// Guards against answers that are incomplete, have wrong token indexes or differ from the expected tokens.
#[tokio::test]
async fn complete_answer_arrives_in_order() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    let request = request("r1", "hello <tokens=20>");
    let chunks = collect(&client, &engine, &request).await.unwrap();
    assert_eq!(chunks.len(), 21);
    for (index, chunk) in (0..).zip(&chunks) {
        let chunk = chunk.as_ref().unwrap();
        assert_eq!(chunk.id, "r1");
        assert_eq!(chunk.index, index);
    }
    assert_eq!(text(&chunks), script(&request).text(1000));
    let last = chunks.last().unwrap().as_ref().unwrap();
    assert_eq!(last.finish, Some(FinishReason::Stop));
    assert_eq!(engine.journal().runs[0].outcome, RunOutcome::Finished);
    engine.shutdown().await;
}

/// Guards against a resumed stream that repeats or skips tokens.
#[tokio::test]
async fn resumed_stream_continues_token_indexes() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    let mut request = request("r1", "hello <tokens=20>");
    request.max_tokens = 15;
    let script = script(&request);
    request.resume = (0..6).map(|index| script.token(index)).collect();
    let chunks = collect(&client, &engine, &request).await.unwrap();
    assert_eq!(chunks[0].as_ref().unwrap().index, 6);
    let given: String = request.resume.iter().map(|token| token.as_str()).collect();
    assert_eq!(given + &text(&chunks), script.text(15));
    let last = chunks.last().unwrap().as_ref().unwrap();
    assert_eq!(last.finish, Some(FinishReason::Length));
    let journal = engine.journal();
    assert!(journal.runs[0].resume_matches);
    engine.shutdown().await;
}

/// Guards against runs that continue after their caller has disconnected.
#[tokio::test]
async fn dropped_stream_cancels_the_run() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    let request = request("r1", "hello <tokens=900>");
    let mut tokens = client.complete(engine.address(), &request).await.unwrap();
    tokens.next().await.unwrap().unwrap();
    drop(tokens);
    wait_until(|| engine.journal().runs[0].outcome == RunOutcome::Cancelled).await;
    engine.shutdown().await;
}

/// Guards against a verdict other than `not_run` for requests that the engine refused before running them.
#[tokio::test]
async fn refusals_have_verdict_not_run() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    let mut absent = request("r1", "hello");
    absent.model = "absent".into();
    let error = collect(&client, &engine, &absent).await.unwrap_err();
    assert_eq!(error.category(), Category::NotFound);
    assert_eq!(error.verdict(), RunVerdict::NotRun);

    engine.push_fault(EngineFault::Refuse);
    let error = collect(&client, &engine, &request("r2", "hello")).await;
    assert_eq!(error.unwrap_err().verdict(), RunVerdict::NotRun);

    let mut malformed = request("r3", "hello");
    malformed.messages = Bytes::from_static(b"[],\"model\":\"other\"");
    let error = collect(&client, &engine, &malformed).await.unwrap_err();
    assert_eq!(error.category(), Category::Invalid);
    assert!(engine.journal().runs.is_empty());

    let address = engine.address();
    engine.shutdown().await;
    let error = client.complete(address, &request("r4", "hello")).await;
    assert_eq!(error.unwrap_err().verdict(), RunVerdict::NotRun);
}

/// Guards against verdict `not_run` after the engine accepted the request.
#[tokio::test]
async fn lost_and_broken_answers_have_verdict_may_have_run() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    engine.push_fault(EngineFault::Lost);
    let error = collect(&client, &engine, &request("lost", "hello")).await;
    assert_eq!(error.unwrap_err().verdict(), RunVerdict::MayHaveRun);
    wait_until(|| engine.journal().runs[0].outcome == RunOutcome::Finished).await;
    for fault in [
        EngineFault::Truncated { after: 3 },
        EngineFault::Broken { after: 3 },
    ] {
        engine.push_fault(fault);
        let request = request("cut", "hello <tokens=9>");
        let chunks = collect(&client, &engine, &request).await.unwrap();
        let error = chunks.last().unwrap().as_ref().unwrap_err();
        assert_eq!(error.verdict(), RunVerdict::MayHaveRun, "{fault:?}");
        assert_eq!(text(&chunks), script(&request).text(3), "{fault:?}");
    }
    engine.shutdown().await;
}

/// Guards against waiting without limit for an engine that sends nothing.
#[tokio::test]
async fn silent_engine_times_out() {
    let slow = EngineOptions {
        base_step: Duration::from_secs(3600),
        time_scale: 1.0,
        ..options()
    };
    let engine = EngineStandin::open(slow).await.unwrap();
    let client = HttpEngine::open(EngineTimeouts {
        chunk: Duration::from_millis(50),
        ..EngineTimeouts::default()
    });
    let chunks = collect(&client, &engine, &request("r1", "hello")).await;
    let error = chunks.unwrap().remove(0).unwrap_err();
    assert_eq!(error.category(), Category::Timeout);
    assert_eq!(error.verdict(), RunVerdict::MayHaveRun);
    engine.push_fault(EngineFault::Late { ms: 60_000 });
    let client = HttpEngine::open(EngineTimeouts {
        head: Duration::from_millis(50),
        ..EngineTimeouts::default()
    });
    let error = collect(&client, &engine, &request("r2", "hello")).await;
    assert_eq!(error.unwrap_err().verdict(), RunVerdict::MayHaveRun);
    engine.shutdown().await;
}

/// Guards against an adapter that hides the wrong id of a crossed answer, or repairs duplicated or missing chunks.
#[tokio::test]
async fn faulty_chunks_are_forwarded_unchanged() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    engine.push_fault(EngineFault::Crossed { after: 2 });
    engine.push_fault(EngineFault::Duplicated { at: 2 });
    engine.push_fault(EngineFault::Missing { at: 2 });
    let request = request("r1", "hello <tokens=4>");
    let crossed = collect(&client, &engine, &request).await.unwrap();
    assert_ne!(crossed[2].as_ref().unwrap().id, "r1");
    let index =
        |chunks: &[Result<EngineChunk>], position: usize| chunks[position].as_ref().unwrap().index;
    let duplicated = collect(&client, &engine, &request).await.unwrap();
    assert_eq!(index(&duplicated, 3), 2);
    let missing = collect(&client, &engine, &request).await.unwrap();
    assert_eq!(index(&missing, 2), 3);
    engine.shutdown().await;
}

/// Guards against a poison marker that does not crash the engine, and against verdict `not_run` after the crash.
#[tokio::test]
async fn request_with_poison_marker_crashes_the_engine() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    let request = request("r1", "hello <poison>");
    let chunks = collect(&client, &engine, &request).await;
    let error = match chunks {
        Ok(chunks) => chunks[0].clone().unwrap_err(),
        Err(error) => error,
    };
    assert_eq!(error.verdict(), RunVerdict::MayHaveRun);
    assert!(!engine.is_running());
    assert_eq!(engine.journal().runs[0].outcome, RunOutcome::Crashed);
    let address = engine.address();
    engine.shutdown().await;
    let again = EngineOptions {
        bind: address,
        ..options()
    };
    let engine = EngineStandin::open(again).await.unwrap();
    assert_eq!(engine.address(), address);
    engine.shutdown().await;
}

/// Guards against orders whose effect, refusal or memory overcommitment is not recorded.
#[tokio::test]
async fn orders_take_effect_and_levels_are_recorded() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    let load = |fence, model| EngineOrder {
        fence,
        action: OrderAction::Load {
            item: weights(model),
            bytes: 40 * GIB,
        },
    };
    let address = engine.address();
    let reply = client.order(address, &load(5, "other")).await.unwrap();
    assert_eq!(reply, OrderReply::Started);
    let reply = client.order(address, &load(4, "third")).await.unwrap();
    assert_eq!(reply, OrderReply::Fenced);
    assert!(engine.journal().overcommits.is_empty());

    engine.push_order_fault(OrderFault::LoseAnswer);
    let error = client.order(address, &load(6, "third")).await.unwrap_err();
    assert_eq!(error.verdict(), RunVerdict::MayHaveRun);
    let journal = engine.journal();
    assert_eq!(journal.overcommits, [90 * GIB]);
    assert_eq!(journal.memory_peak, 90 * GIB);

    let unload = EngineOrder {
        fence: 7,
        action: OrderAction::Unload {
            item: weights("drafter"),
        },
    };
    let reply = client.order(address, &unload).await.unwrap();
    assert_eq!(reply, OrderReply::Done);
    assert_eq!(engine.journal().memory_level, 80 * GIB);
    for _ in 0..2000 {
        let report = client.load(address).await.unwrap();
        if report.resident.len() == 2 && report.loading.is_empty() {
            engine.shutdown().await;
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("loads did not complete within 10 s");
}

/// Guards against an engine that hashes prefixes differently from the router.
#[tokio::test]
async fn cache_events_name_the_prefixes_of_the_prompt() {
    let engine = EngineStandin::open(options()).await.unwrap();
    let client = HttpEngine::default();
    let request = request("r1", &"long ".repeat(200));
    collect(&client, &engine, &request).await.unwrap();
    let hashes = foxtailhill::engine::prefix_hashes("drafter", "v1", None, &request.messages);
    assert!(hashes.len() > 2);
    tokio::time::sleep(Duration::from_millis(30)).await;
    let events = client.cache_events(engine.address(), 0).await.unwrap();
    let published: Vec<u64> = events.iter().map(|event| event.prefix_hash).collect();
    assert_eq!(published, hashes);
    engine.shutdown().await;
}
