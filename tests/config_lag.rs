//! Answers of a daemon with an old configuration while its peers have a newer one.

mod pulse_support;
mod relay_support;

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::relay::{Pulse, RelayAnswer, RequestAttribution};
use foxtailhill::{Category, Error};
use futures_util::{FutureExt, poll};
use http::StatusCode;
use pulse_support::pulse;
use relay_support::{
    HOST, KEY, RelayRig, Script, ScriptedServer, WAIT_TIMEOUT, finish, header, request, whole,
};
use serde_json::{Value, json};

const NEW_KEY: &str = "key-of-the-newer-configuration";
/// Path of a route that only the newer configuration has.
const NEW_PATH: &str = "/late/1";
const OLD_PATH: &str = "/check/1";
/// Deadline of the requests of these tests.
const DEADLINE: Duration = Duration::from_secs(20);

fn add_route(config: &mut Value) {
    let routes = config["routes"].as_array_mut().expect("a list of routes");
    let mut route = routes[0].clone();
    route["name"] = "late".into();
    route["path-prefix"] = "/late/".into();
    routes.push(route);
}

fn add_key(config: &mut Value) {
    config["tenants"][0]["api-keys"] = json!([KEY, NEW_KEY]);
}

fn drop_keys(config: &mut Value) {
    config["tenants"][0]["api-keys"] = json!(["another"]);
}

/// Returns the pulse of a peer that has configuration `config_version`.
fn peer_pulse(config_version: u64) -> Pulse {
    Pulse {
        config_version,
        ..pulse(1, "north", true, Duration::ZERO)
    }
}

/// Records the pulse of a peer whose configuration is newer by `versions`. Its time lies ahead, so that the peer counts
/// as alive for the whole test.
fn note_newer_peer(rig: &RelayRig, versions: u64) {
    let version = rig.configs.version() + versions;
    rig.readers
        .note_pulse(&peer_pulse(version), Instant::now() + WAIT_TIMEOUT);
}

/// Starts a relay with one server and records the pulse of a peer whose configuration is newer by `versions`.
async fn open(versions: u64) -> eyre::Result<(RelayRig, Vec<ScriptedServer>)> {
    let script = Script::Answer(whole("200 OK", "yes"));
    let (rig, servers) = RelayRig::with_servers(vec![vec![script]]).await?;
    note_newer_peer(&rig, versions);
    Ok((rig, servers))
}

/// Calls `path` with `key`, for a request that arrived `age` ago.
async fn call_aged(
    rig: &RelayRig,
    path: &str,
    key: &str,
    age: Duration,
) -> Result<RelayAnswer, Error> {
    let request = http::Request::builder()
        .uri(path)
        .header("Host", HOST)
        .header("Request-Id", "r1")
        .header("Deadline-Ms", DEADLINE.as_millis().to_string())
        .header("Authorization", format!("Bearer {key}"))
        .body(())
        .expect("a request");
    let (head, ()) = request.into_parts();
    let metadata = rig.dispatcher.read_metadata(&head)?;
    let mut attribution = RequestAttribution::default();
    let arrived = Instant::now() - age;
    let call = rig
        .dispatcher
        .call(head, metadata, Bytes::new(), arrived, &mut attribution);
    call.await
}

async fn call(rig: &RelayRig, path: &str, key: &str) -> Result<RelayAnswer, Error> {
    call_aged(rig, path, key, Duration::ZERO).await
}

fn category(answer: Result<RelayAnswer, Error>) -> Option<Category> {
    answer.err().map(|error| error.category())
}

/// Calls `path` with `key`, puts a newer configuration in force while the request is held, and returns the answer.
async fn call_before(
    rig: &mut RelayRig,
    path: &str,
    key: &str,
    change: impl FnOnce(&mut Value),
) -> eyre::Result<Result<RelayAnswer, Error>> {
    let configs = rig.configs.clone();
    let newer = rig.next_record(change)?;
    let mut call = pin!(call(rig, path, key));
    let first = poll!(&mut call);
    eyre::ensure!(first.is_pending(), "refused at once: {first:?}");
    configs.offer_record(newer);
    Ok(tokio::time::timeout(WAIT_TIMEOUT, call).await?)
}

/// Guards against a 404, after which callers do not retry, from a daemon whose configuration lags behind its peers.
#[tokio::test]
async fn unknown_route_gets_503_while_a_newer_configuration_is_known() -> eyre::Result<()> {
    let (rig, _servers) = open(3).await?;
    let answer = rig.send(&request("GET", NEW_PATH, "r1", "", "")).await;
    finish(rig, async {
        let answer = answer?;
        eyre::ensure!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        eyre::ensure!(header(&answer, "retry-after").is_some(), "{answer}");
        Ok(())
    })
    .await
}

/// Guards against a 401, after which callers do not retry, from a daemon whose configuration lags behind its peers.
#[tokio::test]
async fn unknown_key_gets_503_while_a_newer_configuration_is_known() -> eyre::Result<()> {
    let (rig, servers) = open(3).await?;
    let call = request("GET", OLD_PATH, "r1", "", "").replace(KEY, NEW_KEY);
    let answer = rig.send(&call).await;
    finish(rig, async {
        let answer = answer?;
        eyre::ensure!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        eyre::ensure!(header(&answer, "retry-after").is_some(), "{answer}");
        eyre::ensure!(servers[0].requests().is_empty(), "the request has run");
        Ok(())
    })
    .await
}

/// Guards against refusing a request whose route arrives shortly afterwards.
#[tokio::test]
async fn request_on_a_new_route_is_served_once_its_configuration_arrives() -> eyre::Result<()> {
    let (mut rig, _servers) = open(3).await?;
    let answer = call_before(&mut rig, NEW_PATH, KEY, add_route).await;
    finish(rig, async {
        eyre::ensure!(answer??.head.status == StatusCode::OK);
        Ok(())
    })
    .await
}

/// Guards against refusing a request whose key arrives shortly afterwards.
#[tokio::test]
async fn request_with_a_new_key_is_served_once_its_configuration_arrives() -> eyre::Result<()> {
    let (mut rig, _servers) = open(3).await?;
    let answer = call_before(&mut rig, OLD_PATH, NEW_KEY, add_key).await;
    finish(rig, async {
        eyre::ensure!(answer??.head.status == StatusCode::OK);
        Ok(())
    })
    .await
}

/// Guards against a refusal based on a version between the old and the newest one.
#[tokio::test]
async fn request_is_held_until_the_newest_known_configuration_decides() -> eyre::Result<()> {
    let (mut rig, _servers) = open(6).await?;
    let configs = rig.configs.clone();
    let (between, newest) = (rig.next_record(|_| {})?, rig.next_record(add_route)?);
    let answer = async {
        let mut call = pin!(call(&rig, NEW_PATH, KEY));
        eyre::ensure!(poll!(&mut call).is_pending(), "refused at once");
        configs.offer_record(between);
        let second = poll!(&mut call);
        eyre::ensure!(second.is_pending(), "refused too early: {second:?}");
        configs.offer_record(newest);
        Ok(tokio::time::timeout(WAIT_TIMEOUT, call).await??)
    }
    .await;
    finish(rig, async {
        eyre::ensure!(answer?.head.status == StatusCode::OK);
        Ok(())
    })
    .await
}

/// Guards against a 503 for a request that the newest configuration does not allow either.
#[tokio::test]
async fn newest_configuration_refuses_permanently() -> eyre::Result<()> {
    let (mut rig, _servers) = open(3).await?;
    let route = call_before(&mut rig, NEW_PATH, KEY, |_| {}).await;
    note_newer_peer(&rig, 3);
    let key = call_before(&mut rig, OLD_PATH, NEW_KEY, |_| {}).await;
    let answer = rig.send(&request("GET", NEW_PATH, "r1", "", "")).await;
    finish(rig, async {
        eyre::ensure!(category(route?) == Some(Category::NotFound));
        eyre::ensure!(category(key?) == Some(Category::Unauthenticated));
        let answer = answer?;
        eyre::ensure!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
        Ok(())
    })
    .await
}

/// Guards against a held request that runs with a route or key that was withdrawn in the meantime.
#[tokio::test]
async fn held_request_is_decided_by_the_newer_configuration_alone() -> eyre::Result<()> {
    let (mut rig, servers) = open(3).await?;
    let key = call_before(&mut rig, NEW_PATH, KEY, |config| {
        add_route(config);
        drop_keys(config);
    })
    .await;
    note_newer_peer(&rig, 3);
    let route = call_before(&mut rig, OLD_PATH, NEW_KEY, |config| {
        add_key(config);
        config["routes"].as_array_mut().expect("routes").remove(0);
    })
    .await;
    finish(rig, async {
        eyre::ensure!(category(key?) == Some(Category::Unauthenticated));
        eyre::ensure!(category(route?) == Some(Category::NotFound));
        eyre::ensure!(servers[0].requests().is_empty(), "a request has run");
        Ok(())
    })
    .await
}

/// Guards against holding a request, or refusing it with 503, when no peer has a newer configuration.
#[tokio::test]
async fn request_is_refused_at_once_without_a_newer_configuration() -> eyre::Result<()> {
    let (rig, _servers) = open(0).await?;
    let route = call(&rig, NEW_PATH, KEY).now_or_never();
    let key = call(&rig, OLD_PATH, NEW_KEY).now_or_never();
    finish(rig, async {
        eyre::ensure!(route.and_then(category) == Some(Category::NotFound));
        eyre::ensure!(key.and_then(category) == Some(Category::Unauthenticated));
        Ok(())
    })
    .await
}

/// Guards against endless 503 answers after the only peer with a newer configuration died before it could be copied.
#[tokio::test]
async fn configuration_of_a_silent_peer_is_ignored() -> eyre::Result<()> {
    let (rig, _servers) = open(3).await?;
    let first = category(call(&rig, NEW_PATH, KEY).await);
    let version = rig.configs.version() + 3;
    rig.readers.note_pulse(&peer_pulse(version), Instant::now());
    let end = Instant::now() + WAIT_TIMEOUT;
    let mut last = first;
    while last == Some(Category::Unavailable) && Instant::now() < end {
        last = category(call(&rig, NEW_PATH, KEY).await);
    }
    finish(rig, async {
        eyre::ensure!(first == Some(Category::Unavailable), "{first:?}");
        eyre::ensure!(last == Some(Category::NotFound), "{last:?}");
        Ok(())
    })
    .await
}

/// Guards against holding a request until its caller has no time left to try another daemon.
#[tokio::test]
async fn request_near_its_deadline_is_not_held() -> eyre::Result<()> {
    let (rig, _servers) = open(3).await?;
    let answer = call_aged(&rig, NEW_PATH, KEY, DEADLINE).now_or_never();
    finish(rig, async {
        eyre::ensure!(answer.and_then(category) == Some(Category::Unavailable));
        Ok(())
    })
    .await
}
