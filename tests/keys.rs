//! Keys against separate processes: team routes, secrecy, withdrawal, isolation and pauses.

mod common;

use std::time::Duration;

use common::{KeptConnection, TokenStream, declaration, key_entry, options, seed, wait_for};
use eyre::ensure;
use foxtailhill_standins::LinkFault;
use foxtailhill_standins::caller::{CallerAnswer, KeyedCaller};
use foxtailhill_standins::cluster::{ClusterOptions, PLATFORM_ZONE, TestCluster};
use foxtailhill_standins::proxy::UNKNOWN_ZONE;
use foxtailhill_standins::record::ReceivedRequest;
use foxtailhill_standins::stream_log::{LogControl, LogOutage};
use http::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

const ZONES: [&str; 3] = ["catania", "palermo", "siracusa"];
/// Age of the view at which a daemon counts as isolated, as specified in the design page.
const VIEW_AGE: Duration = Duration::from_secs(3);
const DESK_KEY: &str = "desk-key-7f3a91c4";
const SPARE_KEY: &str = "spare-key-55d1e0b2";
const GUEST_KEY: &str = "guest-key-c20b68ee";
const REQUEST_TIME: Duration = Duration::from_secs(60);

async fn open(grace: Duration, proxied: bool) -> eyre::Result<TestCluster> {
    let mut settings = serde_json::Map::new();
    // The term is longer than each partition, so that only the age of the view decides whether keys are accepted.
    let timing = json!({"term": "60s", "balancer_lag": "200ms", "report_period": "50ms"});
    settings.insert("timing".into(), timing);
    let mut cluster = TestCluster::open(ClusterOptions {
        proxied,
        settings,
        ..options(&ZONES)
    })
    .await?;
    cluster.wait_ready().await?;
    let keys = [
        key_entry("desk", "desks", DESK_KEY),
        key_entry("spare", "desks", SPARE_KEY),
        key_entry("guest", "guests", GUEST_KEY),
    ];
    cluster
        .declare(0, &declaration(&cluster, &keys, grace))
        .await?;
    Ok(cluster)
}

fn caller(key: Option<&str>) -> KeyedCaller {
    KeyedCaller::new(key, REQUEST_TIME)
}

async fn post(
    cluster: &TestCluster,
    daemon: usize,
    key: Option<&str>,
    path: &str,
    body: &str,
) -> eyre::Result<CallerAnswer> {
    let server = cluster.daemons[daemon].addresses().caller;
    let body = body.as_bytes().to_vec();
    caller(key)
        .send(Method::POST, server, path, &[], body)
        .await
}

/// Withdraws a key; VMs that are partitioned or paused need not confirm.
async fn withdraw(cluster: &TestCluster, daemon: usize, name: &str) -> eyre::Result<()> {
    let output = cluster
        .op(daemon, &["--wait-ms", "500", "withdraw-key", name])
        .await?;
    let accepted = matches!(output.status.code(), Some(0 | 5));
    ensure!(accepted, "{output:?}");
    Ok(())
}

fn received(cluster: &TestCluster) -> Vec<ReceivedRequest> {
    let engines = cluster.engines.iter().flat_map(|engine| engine.received());
    let services = cluster.services.iter();
    engines
        .chain(services.flat_map(|service| service.received()))
        .collect()
}

fn has_run(cluster: &TestCluster, marker: &str) -> bool {
    received(cluster)
        .iter()
        .any(|request| request.contains(marker))
}

/// Places in which a request carries a key, in addition to the authorization header.
const PLACES: [&str; 14] = [
    "none",
    "query-key",
    "query-text",
    "query-bare",
    "path",
    "body",
    "cookie",
    "x-api-key",
    "proxy-authorization",
    "x-forwarded-authorization",
    "accept-language",
    "content-type",
    "idempotency-key",
    "second-authorization",
];

fn place_key(
    place: &str,
    key: &str,
    path: &str,
    marker: &str,
) -> (String, String, Vec<(String, String)>) {
    let mut path = format!("{path}/{marker}");
    let mut body = format!("lot {marker}");
    let mut headers = Vec::new();
    match place {
        "none" => {}
        "query-key" => path.push_str(&format!("?api_key={key}")),
        "query-text" => path.push_str(&format!("?lot=3&text=a{key}b")),
        "query-bare" => path.push_str(&format!("?{key}")),
        "path" => path.push_str(&format!("/{key}/x")),
        "body" => body.push_str(&format!(" \"{key}\"")),
        "second-authorization" => headers.push(("authorization".into(), format!("Bearer {key}"))),
        "content-type" => headers.push(("content-type".into(), format!("text/plain; p={key}"))),
        "cookie" => headers.push(("cookie".into(), format!("session={key}"))),
        name => headers.push((name.into(), format!("Bearer {key}"))),
    }
    (path, body, headers)
}

/// Guards against a caller's key that is forwarded to a backend server (G4) and a team that uses another team's route
/// (G3). Each place of a key is tried on keyed and open routes, through randomly chosen daemons.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_not_forwarded_and_other_teams_routes_are_refused() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed(0x6b65_7931));
    let cluster = open(Duration::from_secs(5), false).await?;
    let mut served = 0;
    for round in 0..4 {
        for place in PLACES {
            let key = *[DESK_KEY, GUEST_KEY]
                .choose(&mut random)
                .unwrap_or(&DESK_KEY);
            let prefix = if round % 2 == 0 { "/stock" } else { "/notices" };
            let marker = format!("m{:016x}", random.random::<u64>());
            let (path, body, headers) = place_key(place, key, prefix, &marker);
            let headers: Vec<_> = headers
                .iter()
                .map(|(name, value)| (name.as_str(), value.as_str()))
                .collect();
            let daemon = &cluster.daemons[random.random_range(0..ZONES.len())];
            let server = daemon.addresses().caller;
            let answer = caller(Some(key))
                .send(Method::POST, server, &path, &headers, body.into_bytes())
                .await?;
            let ran = has_run(&cluster, &marker);
            ensure!(
                ran == (answer.status == 200),
                "{place} {prefix}: {answer:?}"
            );
            if key == GUEST_KEY && prefix == "/stock" {
                ensure!(!ran, "a key of guests was used on the route of desks");
                ensure!(answer.status == 403 || place != "none", "{answer:?}");
            }
            served += usize::from(ran);
        }
    }
    for daemon in &cluster.daemons {
        let chat = r#"[{"role":"user","content":"a day in Noto"}]"#;
        let answer = caller(Some(GUEST_KEY))
            .chat(daemon.addresses().caller, "drafter", chat, 4)
            .await?;
        ensure!(answer.status == 200, "{answer:?}");
        let chat = format!(r#"[{{"role":"user","content":"my key is {DESK_KEY}"}}]"#);
        let answer = caller(Some(DESK_KEY))
            .chat(daemon.addresses().caller, "drafter", &chat, 4)
            .await?;
        ensure!(answer.status == 400, "{answer:?}");
    }
    ensure!(served > 4, "only {served} requests were served");
    for request in received(&cluster) {
        for key in [DESK_KEY, SPARE_KEY, GUEST_KEY] {
            ensure!(
                !request.contains(key),
                "a key reached a backend server: {request:?}"
            );
        }
    }
    for daemon in &cluster.daemons {
        let output = daemon.output();
        ensure!(
            !output.contains(DESK_KEY) && !output.contains(GUEST_KEY),
            "a key was logged"
        );
    }
    cluster.shutdown().await
}

/// Guards against a withdrawn key that still works for connected callers (G5): streams on every daemon end, and once
/// all VMs have confirmed, requests on persistent connections are refused immediately.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_ends_streams_and_kept_connections_on_every_daemon() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed(0x6b65_7932));
    let cluster = open(Duration::from_secs(5), false).await?;
    let mut connections = Vec::new();
    let mut streams = Vec::new();
    for daemon in &cluster.daemons {
        let server = daemon.addresses().caller;
        let mut connection = KeptConnection::open(server).await?;
        let answer = connection.post("/stock/1", DESK_KEY, "before").await?;
        ensure!(answer.status == 200, "{answer:?}");
        connections.push(connection);
        // About a minute of tokens at the rate of the engine.
        streams.push(TokenStream::open(server, DESK_KEY, "a long tour", 4_000));
    }
    for stream in &streams {
        stream.wait_started().await?;
    }
    let through = random.random_range(0..ZONES.len());
    println!("withdrawn through {}", ZONES[through]);
    let output = cluster.op(through, &["withdraw-key", "desk"]).await?;
    ensure!(output.status.success(), "{output:?}");
    for (index, connection) in connections.iter_mut().enumerate() {
        let marker = format!("after-withdrawal-{index}");
        let answer = connection.post("/stock/1", DESK_KEY, &marker).await?;
        ensure!(answer.status == 401, "{}: {answer:?}", ZONES[index]);
        ensure!(!has_run(&cluster, &marker), "{marker} ran");
        let answer = post(&cluster, index, Some(SPARE_KEY), "/stock/1", "x").await?;
        ensure!(answer.status == 200, "{answer:?}");
    }
    for stream in &streams {
        let end = stream.wait_end().await?;
        ensure!(
            !end.is_whole() && end.text.contains("withdrawn"),
            "the stream was not ended by the withdrawal"
        );
    }
    cluster.shutdown().await
}

/// Guards against a zone that accepts keys although it cannot learn of withdrawals (G5). The zone is partitioned from
/// log, VM list and peers. Its keyed routes must refuse requests after 3 s and the grace period, while open routes
/// still work. Afterwards both work again, except for the key that was withdrawn in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_zone_refuses_keys_until_it_is_reconnected() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed(0x6b65_7933));
    let grace = Duration::from_millis(random.random_range(500..2_500));
    let cut = random.random_range(0..ZONES.len());
    let other = (cut + 1) % ZONES.len();
    let fault = *[LinkFault::CUT, LinkFault::DROP]
        .choose(&mut random)
        .unwrap_or(&LinkFault::CUT);
    println!("zone {} with {fault}, grace {grace:?}", ZONES[cut]);
    let cluster = open(grace, true).await?;
    let proxy = cluster
        .proxy
        .as_ref()
        .ok_or_else(|| eyre::eyre!("no proxy"))?;
    let answer = post(&cluster, cut, Some(DESK_KEY), "/stock/1", "before").await?;
    ensure!(answer.status == 200, "{answer:?}");

    proxy.set_link(ZONES[cut], PLATFORM_ZONE, fault);
    // Daemons do not bind their outgoing calls, so the proxy cannot tell callers apart: no daemon reaches another.
    for zone in ZONES {
        proxy.set_link(UNKNOWN_ZONE, zone, fault);
    }
    let isolated = tokio::time::Instant::now() + VIEW_AGE + grace;
    withdraw(&cluster, other, "desk").await?;
    let stream = TokenStream::open(
        cluster.daemons[cut].addresses().caller,
        DESK_KEY,
        "a long tour",
        4_000,
    );
    tokio::time::sleep_until(isolated).await;
    for attempt in 0..20 {
        for key in [DESK_KEY, SPARE_KEY] {
            let marker = format!("isolated-{attempt}-{key}");
            let path = format!("/stock/isolated-{attempt}");
            let answer = post(&cluster, cut, Some(key), &path, "x").await?;
            ensure!(answer.status == 503, "{marker}: {answer:?}");
            ensure!(answer.verdict().as_deref() == Some("not_run"), "{answer:?}");
        }
        ensure!(
            !has_run(&cluster, &format!("/stock/isolated-{attempt}")),
            "a keyed request ran"
        );
        let answer = post(&cluster, cut, None, "/notices/1", "x").await?;
        ensure!(answer.status == 200, "open route: {answer:?}");
        let answer = post(&cluster, other, Some(SPARE_KEY), "/stock/1", "x").await?;
        ensure!(answer.status == 200, "zone with the log: {answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    ensure!(!stream.wait_end().await?.is_whole(), "a stream went on");
    proxy.heal();
    wait_for("service of keys after the cut", async || {
        let answer = post(&cluster, cut, Some(DESK_KEY), "/stock/1", "healed").await?;
        ensure!(answer.status == 401 || answer.status == 503, "{answer:?}");
        let answer = post(&cluster, cut, Some(SPARE_KEY), "/stock/1", "x").await?;
        Ok((answer.status == 200).then_some(()))
    })
    .await?;
    let answer = post(&cluster, cut, Some(DESK_KEY), "/stock/1", "healed").await?;
    ensure!(answer.status == 401, "{answer:?}");
    cluster.shutdown().await
}

/// Guards against keyed routes that stop when only the log is down: the VM list and the peers show that no withdrawal
/// was missed.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage_alone_does_not_stop_keyed_routes() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed(0x6b65_7934));
    let grace = Duration::from_secs(1);
    let outage = *[LogOutage::Refuse, LogOutage::Cut, LogOutage::Hang]
        .choose(&mut random)
        .unwrap_or(&LogOutage::Hang);
    println!("outage {outage:?}");
    let cluster = open(grace, false).await?;
    cluster.log.set_control(LogControl {
        outage,
        ..LogControl::default()
    });
    let until = tokio::time::Instant::now() + VIEW_AGE + grace + Duration::from_secs(6);
    while tokio::time::Instant::now() < until {
        for (daemon, zone) in ZONES.iter().enumerate() {
            let answer = post(&cluster, daemon, Some(DESK_KEY), "/stock/1", "x").await?;
            ensure!(answer.status == 200, "{zone}: {answer:?}");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cluster.shutdown().await
}

/// Guards against a daemon that resumes from a pause and accepts a key that was withdrawn in the meantime: for the
/// request in its socket buffer, for a stream, and for new requests. The links block the withdrawal until after the
/// checks, as its arrival would hide a daemon that trusts its outdated view.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_daemon_refuses_a_key_withdrawn_during_its_pause() -> eyre::Result<()> {
    let mut random = StdRng::seed_from_u64(seed(0x6b65_7935));
    let grace = Duration::from_millis(random.random_range(200..1_500));
    let paused = random.random_range(0..ZONES.len());
    let other = (paused + 1) % ZONES.len();
    println!("pause of {}, grace {grace:?}", ZONES[paused]);
    let cluster = open(grace, true).await?;
    let proxy = cluster
        .proxy
        .as_ref()
        .ok_or_else(|| eyre::eyre!("no proxy"))?;
    let server = cluster.daemons[paused].addresses().caller;
    let mut connection = KeptConnection::open(server).await?;
    let answer = connection.post("/stock/1", DESK_KEY, "before").await?;
    ensure!(answer.status == 200, "{answer:?}");
    let stream = TokenStream::open(server, DESK_KEY, "a long tour", 4_000);
    stream.wait_started().await?;

    proxy.set_link(ZONES[paused], PLATFORM_ZONE, LinkFault::DROP);
    for zone in ZONES {
        proxy.set_link(UNKNOWN_ZONE, zone, LinkFault::DROP);
    }
    cluster.daemons[paused].pause()?;
    let keys_expire = tokio::time::Instant::now() + VIEW_AGE + grace;
    withdraw(&cluster, other, "desk").await?;
    let waiting = tokio::spawn(async move {
        let answer = connection
            .post("/stock/1", DESK_KEY, "sent-in-the-pause")
            .await;
        (connection, answer)
    });
    tokio::time::sleep_until(keys_expire).await;
    let before = stream.progress().events();
    cluster.daemons[paused].resume()?;
    let (mut connection, answer) = waiting.await?;
    let answer = answer?;
    ensure!(answer.status == 401 || answer.status == 503, "{answer:?}");
    for attempt in 0..20 {
        let body = format!("sent-after-waking-{attempt}");
        let answer = connection.post("/stock/1", DESK_KEY, &body).await?;
        ensure!(answer.status == 401 || answer.status == 503, "{answer:?}");
    }
    ensure!(!has_run(&cluster, "sent-in-the-pause"), "a request ran");
    ensure!(!has_run(&cluster, "sent-after-waking"), "a request ran");
    let end = stream.wait_end().await?;
    // The error is the only event after the pause.
    ensure!(
        !end.is_whole() && end.events() <= before + 1,
        "the stream went on by {} events",
        end.events() - before
    );
    proxy.heal();
    wait_for("service of keys after the pause", async || {
        let answer = post(&cluster, paused, Some(SPARE_KEY), "/stock/1", "x").await?;
        Ok((answer.status == 200).then_some(()))
    })
    .await?;
    cluster.shutdown().await
}
