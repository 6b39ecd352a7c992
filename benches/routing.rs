//! Time of one routing decision over 600 servers with 13, 320 and 1,000 models, and of building one snapshot.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use foxtailhill::engine::{LoadReport, ResidentItem};
use foxtailhill::routing::{
    BackendView, ExpectedFinishPolicy, ExpectedTimePolicy, FleetSnapshot, PrefixIndex,
    RequestShape, RouteNeed, RoutingPolicy, ServerLoad, request_cost,
};
use smol_str::SmolStr;

const SERVERS: usize = 600;
/// Number of models on one server.
const MODELS_PER_SERVER: usize = 2;
const ADAPTERS_PER_MODEL: usize = 4;
const PREFIXES: [u64; 4] = [1, 2, 3, 4];

fn resident(server: usize, models: usize) -> Vec<(ResidentItem, u64)> {
    let held = (0..MODELS_PER_SERVER).map(|slot| (server * MODELS_PER_SERVER + slot) % models);
    let items = held.flat_map(|model| {
        let adapters = (0..ADAPTERS_PER_MODEL).map(|adapter| Some(format!("adapter-{adapter}")));
        std::iter::once(None)
            .chain(adapters)
            .map(move |adapter| ResidentItem {
                model: format!("model-{model}").into(),
                version: "v1".into(),
                adapter: adapter.map(SmolStr::from),
            })
    });
    items.map(|item| (item, 1 << 30)).collect()
}

fn view(server: usize, models: usize) -> BackendView {
    BackendView {
        name: format!("server-{server}").into(),
        zone: format!("zone-{}", server % 10).into(),
        address: ([10, 0, 0, 1], 80).into(),
        software: Default::default(),
        slots: 32,
        report: LoadReport {
            running: (server * 7 % 30) as u32,
            token_us: 20_000 + (server * 13 % 50) as u32 * 100,
            resident: resident(server, models),
            ..LoadReport::default()
        },
        reported_at: Some(Instant::now()),
        in_flight: 0,
        sent_since_report: 0,
        suspected_down: false,
        leaving: false,
        load: ServerLoad {
            pace_permille: 700 + (server as u32 * 37 % 1_000),
            own_work_us: 0,
            peer_work_us: Some(server as u64 * 7_919 % 900_000),
        },
    }
}

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing");
    for models in [13, 320, 1_000] {
        let views = (0..SERVERS).map(|server| (view(server, models), Arc::default(), None));
        let fleet = FleetSnapshot::new(views);
        let prefixes = Arc::new(PrefixIndex::new());
        for server in (0..SERVERS).step_by(5) {
            prefixes.record_sent(&format!("server-{server}").into(), &PREFIXES);
        }
        let finish = ExpectedFinishPolicy::new(prefixes.clone(), 1);
        let policy = ExpectedTimePolicy::new(prefixes, 1);
        for (kind, prefixes) in [("plain", vec![]), ("prefixes", PREFIXES.to_vec())] {
            let need = RouteNeed {
                software: None,
                model: "model-5".into(),
                version: "v1".into(),
                adapter: Some("adapter-2".into()),
                prefixes,
                zone: "zone-3".into(),
                avoid: Vec::new(),
                late: false,
                cost: request_cost(RequestShape {
                    prompt: 1_000,
                    parts: &[200; 4],
                    output: 200,
                }),
                deferred: false,
                trial: Default::default(),
            };
            assert!(policy.choose_in(&need, &fleet, Instant::now()).is_some());
            let now = Instant::now();
            group.bench_function(BenchmarkId::new(kind, models), |bencher| {
                bencher.iter(|| policy.choose_in(black_box(&need), &fleet, now));
            });
            let id = BenchmarkId::new(format!("finish-{kind}"), models);
            group.bench_function(id, |bencher| {
                bencher.iter(|| finish.choose_in(black_box(&need), &fleet, now));
            });
        }
    }
    group.finish();
}

fn snapshot(criterion: &mut Criterion) {
    let views: Vec<_> = (0..SERVERS)
        .map(|server| Arc::new(view(server, 320)))
        .collect();
    criterion.bench_function("snapshot/320", |bencher| {
        bencher.iter(|| {
            let servers = views
                .iter()
                .map(|view| (view.clone(), Arc::default(), None));
            FleetSnapshot::new(black_box(servers))
        });
    });
}

criterion_group!(benches, routing, snapshot);
criterion_main!(benches);
