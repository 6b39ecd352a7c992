//! Stand-in engine under load: batching, priorities, memory, cache and report lag.

use std::time::{Duration, Instant};

use foxtailhill::engine::{
    EngineClient, EngineOrder, EngineRequest, HttpEngine, OrderAction, OrderReply, ResidentItem,
};
use foxtailhill_standins::client::JsonClient;
use foxtailhill_standins::engine::OrderFault;
use foxtailhill_standins::{EngineOptions, EngineStandin, WeightStoreOptions, WeightStoreStandin};
use futures_util::StreamExt;
use serde_json::{Value, json};

const GIB: u64 = 1 << 30;

fn item(model: &str, adapter: Option<&str>) -> ResidentItem {
    ResidentItem {
        model: model.into(),
        version: "v1".into(),
        adapter: adapter.map(Into::into),
    }
}

fn options() -> EngineOptions {
    EngineOptions {
        resident: vec![(item("drafter", None), 10 * GIB)],
        time_scale: 0.05,
        report_period: Duration::from_millis(5),
        report_lag: Duration::ZERO,
        ..EngineOptions::default()
    }
}

fn request(id: &str, text: &str, priority: u8) -> EngineRequest {
    let messages = json!([{"role": "user", "content": text}]);
    EngineRequest {
        id: id.into(),
        model: "drafter".into(),
        version: "v1".into(),
        adapter: None,
        messages: messages.to_string().into(),
        max_tokens: 1000,
        priority,
        resume: Vec::new(),
    }
}

async fn run(engine: &EngineStandin, request: &EngineRequest) {
    let client = HttpEngine::default();
    let tokens = client.complete(engine.address(), request).await;
    let chunks: Vec<_> = tokens.expect("accepted").collect().await;
    assert!(chunks.iter().all(Result::is_ok));
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

/// Guards against ignored priorities and batches with more requests than slots.
#[tokio::test]
async fn urgent_requests_enter_the_batch_first() {
    let one_slot = EngineOptions {
        slots: 1,
        ..options()
    };
    let engine = EngineStandin::open(one_slot).await.unwrap();
    let client = HttpEngine::default();
    let first = request("first", "a <tokens=500>", 0);
    let first = client.complete(engine.address(), &first).await.unwrap();
    wait_until(|| engine.journal().runs[0].started).await;
    let late = request("late", "b <tokens=2>", 5);
    let late = client.complete(engine.address(), &late).await.unwrap();
    let urgent = request("urgent", "c <tokens=2>", 0);
    let urgent = client.complete(engine.address(), &urgent).await.unwrap();
    let report = client.load(engine.address()).await.unwrap();
    assert!(report.running <= 1);
    drop(first);
    let order = tokio::sync::Mutex::new(Vec::new());
    let drain = |name: &'static str, tokens: foxtailhill::engine::HttpTokens| {
        let order = &order;
        async move {
            let chunks: Vec<_> = tokens.collect().await;
            assert_eq!(chunks.len(), 3);
            order.lock().await.push(name);
        }
    };
    tokio::join!(drain("late", late), drain("urgent", urgent));
    assert_eq!(*order.lock().await, ["urgent", "late"]);
    engine.shutdown().await;
}

/// Guards against a stand-in whose token time does not grow with the batch.
#[tokio::test]
async fn token_time_grows_with_the_batch() {
    let steep = EngineOptions {
        base_step: Duration::from_millis(2),
        step_per_sequence: Duration::from_millis(5),
        prefill_per_token: Duration::ZERO,
        time_scale: 1.0,
        ..options()
    };
    let engine = EngineStandin::open(steep).await.unwrap();
    let client = HttpEngine::default();
    let requests = (0..4).map(|index| request(&format!("r{index}"), "a <tokens=40>", 0));
    let requests: Vec<_> = requests.collect();
    let start = Instant::now();
    let all = requests.iter().map(|request| run(&engine, request));
    let batch = async {
        futures_util::future::join_all(all).await;
    };
    let report = async {
        loop {
            let report = client.load(engine.address()).await.unwrap();
            if report.running == 4 {
                return report;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let ((), report) = tokio::join!(batch, report);
    assert_eq!(report.token_us, 22_000);
    // 40 steps of 22 ms; the first may have had fewer requests.
    assert!(start.elapsed() >= Duration::from_millis(600));
    engine.shutdown().await;
}

/// Guards against processing prompts again whose prefix was cached or imported.
#[tokio::test]
async fn cached_and_imported_prefixes_are_not_processed_again() {
    let first = EngineStandin::open(options()).await.unwrap();
    let second = EngineStandin::open(options()).await.unwrap();
    let client = JsonClient::new(Duration::from_secs(10));
    let long = request("r1", &format!("{} <tokens=1>", "word ".repeat(300)), 0);
    let prefilled = async |engine: &EngineStandin| {
        run(engine, &long).await;
        engine.journal().runs.last().unwrap().prefilled
    };
    // Only full blocks of 64 tokens are cached.
    let cold = prefilled(&first).await;
    assert!(cold > 370);
    assert_eq!(prefilled(&first).await, cold % 64);
    let export: Value = client.get(first.address(), "/kv/r1").await.unwrap();
    client.post(second.address(), "/kv", &export).await.unwrap();
    assert_eq!(prefilled(&second).await, cold % 64);
    first.shutdown().await;
    second.shutdown().await;
}

/// Guards against cache events without gaps or delay, which would hide faults of their readers.
#[tokio::test]
async fn cache_events_have_gaps_and_are_delayed() {
    let gappy = EngineOptions {
        cache_event_loss: 0.5,
        cache_event_delay: Duration::from_secs(3600),
        ..options()
    };
    let late = EngineStandin::open(gappy.clone()).await.unwrap();
    let prompt = request("r1", &format!("{} <tokens=1>", "word ".repeat(3000)), 0);
    run(&late, &prompt).await;
    let client = HttpEngine::default();
    let events = client.cache_events(late.address(), 0).await.unwrap();
    assert!(events.is_empty());
    late.shutdown().await;
    let gappy = EngineOptions {
        cache_event_delay: Duration::ZERO,
        cache_bytes: (20 * 64) * (128 << 10),
        ..gappy
    };
    let engine = EngineStandin::open(gappy).await.unwrap();
    run(&engine, &prompt).await;
    let events = client.cache_events(engine.address(), 0).await.unwrap();
    let last = events.last().unwrap().sequence;
    assert!((events.len() as u64) < last, "no event was lost");
    assert!(
        events.iter().any(|event| !event.present),
        "none was evicted"
    );
    engine.shutdown().await;
}

/// Guards against load reports that are newer than the configured lag.
#[tokio::test]
async fn load_reports_lag() {
    let lagging = EngineOptions {
        report_lag: Duration::from_secs(3600),
        ..options()
    };
    let engine = EngineStandin::open(lagging).await.unwrap();
    engine.mark_leaving();
    tokio::time::sleep(Duration::from_millis(30)).await;
    let report = HttpEngine::default().load(engine.address()).await.unwrap();
    assert!(!report.leaving);
    assert_eq!(report.sequence, 1);
    engine.shutdown().await;
}

/// Guards against unloading weights that a running request uses, and against loads that bypass the weight store.
#[tokio::test]
async fn unload_waits_for_requests_and_loads_use_the_weight_store() {
    let store = WeightStoreStandin::open(WeightStoreOptions {
        time_scale: 0.01,
        ..WeightStoreOptions::default()
    })
    .await
    .unwrap();
    let through_store = EngineOptions {
        weight_store: Some(store.address()),
        ..options()
    };
    let engine = EngineStandin::open(through_store).await.unwrap();
    let client = HttpEngine::default();
    let order = async |fence, action| {
        let order = EngineOrder { fence, action };
        client.order(engine.address(), &order).await.unwrap()
    };
    let load = |adapter| OrderAction::Load {
        item: item("drafter", adapter),
        bytes: GIB,
    };
    let adapted = EngineRequest {
        adapter: Some("catania".into()),
        ..request("r1", "a <tokens=300>", 0)
    };
    let missing = client.complete(engine.address(), &adapted).await;
    assert!(missing.is_err());
    assert_eq!(order(1, load(Some("catania"))).await, OrderReply::Started);
    wait_until(|| store.counters().adapters_done == 1).await;
    let mut tokens = loop {
        if let Ok(tokens) = client.complete(engine.address(), &adapted).await {
            break tokens;
        }
    };
    tokens.next().await.unwrap().unwrap();
    let unload = OrderAction::Unload {
        item: item("drafter", None),
    };
    assert_eq!(order(2, unload.clone()).await, OrderReply::Started);
    assert_eq!(engine.journal().memory_level, 11 * GIB);
    drop(tokens);
    wait_until(|| engine.journal().memory_level == GIB).await;
    assert_eq!(order(3, load(None)).await, OrderReply::Started);
    wait_until(|| store.counters().loads_done == 1).await;
    engine.shutdown().await;
    store.shutdown().await;
}

/// Guards against late orders that take effect on an engine that checks fencing, or are refused by one that does not.
#[tokio::test]
async fn late_orders_are_fenced_only_if_engine_checks_fencing() {
    for checks_fencing in [true, false] {
        let engine = EngineStandin::open(EngineOptions {
            checks_fencing,
            ..options()
        })
        .await
        .unwrap();
        let client = HttpEngine::default();
        engine.push_order_fault(OrderFault::Delay { ms: 30 });
        let load = |fence, model| EngineOrder {
            fence,
            action: OrderAction::Load {
                item: item(model, None),
                bytes: 40 * GIB,
            },
        };
        let late = client.order(engine.address(), &load(1, "late")).await;
        late.unwrap_err();
        let reply = client.order(engine.address(), &load(2, "new")).await;
        assert_eq!(reply.unwrap(), OrderReply::Started);
        wait_until(|| engine.journal().orders.len() == 2).await;
        let journal = engine.journal();
        assert_eq!(journal.overcommits.is_empty(), checks_fencing);
        let expected = if checks_fencing {
            OrderReply::Fenced
        } else {
            OrderReply::Started
        };
        assert_eq!(journal.orders[1].reply, expected);
        let client = JsonClient::new(Duration::from_secs(10));
        let role = json!({"fence": 1, "role": "prefill"});
        client.post(engine.address(), "/role", &role).await.unwrap();
        assert_eq!(engine.journal().role.is_none(), checks_fencing);
        engine.shutdown().await;
    }
}
