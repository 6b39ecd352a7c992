//! Tests of the stand-ins that run as separate processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use foxtailhill_standins::client::JsonClient;
use serde_json::{Value, json};

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &[&str]) -> (Process, Value) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_foxtailhill-standin"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .expect("process starts");
    let out = child.stdout.take().expect("output is piped");
    let process = Process(child);
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line).expect("a line");
    (process, serde_json::from_str(&line).expect("a JSON line"))
}

fn address(value: &Value) -> SocketAddr {
    serde_json::from_value(value.clone()).expect("an address")
}

/// Guards against stand-ins that cannot be started as a process or do not answer their endpoints.
#[tokio::test]
async fn each_stand_in_serves_as_a_process() {
    let client = JsonClient::new(Duration::from_secs(10));
    let paths = [
        ("log", "/control"),
        ("weights", "/load"),
        ("vms", "/vms"),
        ("engine", "/control/journal"),
        ("service", "/control/executions"),
    ];
    for (name, path) in paths {
        let (_process, line) = start(&[name]);
        let answer = client.get::<Value>(address(&line["address"]), path).await;
        assert!(answer.is_ok(), "{name}: {answer:?}");
    }
}

/// Guards against a balancer or proxy whose addresses or control calls do not work.
#[tokio::test]
async fn calls_pass_balancer_and_proxy() {
    let client = JsonClient::new(Duration::from_secs(10));
    let (_service, service) = start(&["service"]);
    let service = address(&service["address"]).to_string();
    let (_balancer, balancer) = start(&["balancer", "--target", &service]);
    let link = format!(
        "caller,entry,127.0.0.1:0,{}",
        balancer["address"].as_str().unwrap()
    );
    let (_proxy, proxy) = start(&["proxy", "--link", &link]);
    let entry = address(&proxy["links"][0]);
    let wait_for = |reachable: bool| {
        let client = &client;
        async move {
            for _ in 0..1000 {
                if client.get::<Value>(entry, "/call").await.is_ok() == reachable {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            panic!("link did not become reachable = {reachable} within 10 s");
        }
    };
    wait_for(true).await;
    let control = address(&proxy["address"]);
    let cut = json!({"from": "caller", "to": "entry", "fault": {"cut": true}});
    client.post(control, "/control/links", &cut).await.unwrap();
    wait_for(false).await;
    client
        .post(control, "/control/heal", &json!(null))
        .await
        .unwrap();
    wait_for(true).await;
    let targets = address(&balancer["control"]);
    let targets: Value = client.get(targets, "/control/targets").await.unwrap();
    assert!(targets[0]["connections"].as_u64().unwrap() >= 2);
}

/// Guards against a crash order that does not end the process of an engine.
#[tokio::test]
async fn crash_request_ends_the_engine_process() {
    let client = JsonClient::new(Duration::from_secs(10));
    let (mut process, line) = start(&["engine"]);
    let engine = address(&line["address"]);
    // The process ends before it can answer.
    let answer = client.post(engine, "/control/crash", &json!(null)).await;
    assert!(answer.is_err());
    assert_eq!(process.0.wait().unwrap().code(), Some(1));
}
