//! Tests of the test cluster, with a placeholder process in place of the daemon.

use std::path::Path;
use std::time::Duration;

use foxtailhill::engine::{HttpService, ServiceClient, ServiceRequest};
use foxtailhill::inventory::{HttpVmList, VmList};
use foxtailhill::journal::{HttpJournal, JournalClient, StreamName};
use foxtailhill::settings::DaemonSettings;
use foxtailhill_standins::client::JsonClient;
use foxtailhill_standins::cluster::{
    ClusterOptions, DaemonSpec, EngineSpec, PLATFORM_ZONE, ServiceSpec, TestCluster,
};
use foxtailhill_standins::service::ServiceFault;
use foxtailhill_standins::{EngineOptions, LinkFault, ServiceOptions};
use serde_json::{Value, json};

const EXIT_WAIT: Duration = Duration::from_secs(30);

fn options(proxied: bool) -> ClusterOptions {
    ClusterOptions {
        program: env!("CARGO_BIN_EXE_foxtailhill-standin").into(),
        daemons: vec![
            DaemonSpec::new("entry-1", "catania"),
            DaemonSpec::new("entry-2", "palermo"),
        ],
        engines: vec![EngineSpec {
            name: "engine-1".into(),
            zone: "catania".into(),
            accelerators: 1,
            options: EngineOptions::default(),
        }],
        services: vec![ServiceSpec {
            name: "seats-1".into(),
            zone: "palermo".into(),
            group: "seats".into(),
            slots: 4,
            options: ServiceOptions::default(),
        }],
        proxied,
        ..ClusterOptions::default()
    }
}

fn settings(cluster: &TestCluster, name: &str) -> Value {
    let file = cluster.directory().join(format!("{name}.json"));
    serde_json::from_slice(&std::fs::read(file).expect("a file")).expect("JSON")
}

/// Guards against signals sent to the wrong process, and against restarts that change the addresses.
#[tokio::test]
async fn daemons_can_be_killed_paused_terminated_and_restarted() {
    let mut cluster = TestCluster::open(options(false)).await.unwrap();
    cluster.wait_ready().await.unwrap();
    let [first, second] = &mut cluster.daemons[..] else {
        panic!("two daemons");
    };
    let addresses = first.addresses();
    let other = second.process_id();
    let client = JsonClient::new(Duration::from_millis(200));
    first.pause().unwrap();
    let answer = client.get::<Value>(addresses.admin, "/readyz").await;
    assert!(answer.is_err(), "a paused process answered");
    first.resume().unwrap();
    first.wait_ready().await.unwrap();
    let killed = first.process_id();
    first.restart().await.unwrap();
    assert_ne!(first.process_id(), killed);
    first.wait_ready().await.unwrap();
    assert_eq!(first.addresses(), addresses);
    first.terminate().unwrap();
    assert!(first.wait_exit(EXIT_WAIT).await.unwrap().success());
    assert!(!first.is_running().unwrap());
    assert!(first.terminate().is_err());
    assert!(second.is_running().unwrap());
    assert_eq!(second.process_id(), other);
    cluster.shutdown().await.unwrap();
}

/// Guards against processes and files that remain after a test.
#[tokio::test]
async fn drop_kills_the_daemons_and_removes_the_directory() {
    let mut cluster = TestCluster::open(options(false)).await.unwrap();
    cluster.wait_ready().await.unwrap();
    // A paused process must be killed too.
    cluster.daemons[0].pause().unwrap();
    let directory = cluster.directory().to_owned();
    let ids: Vec<u32> = cluster
        .daemons
        .iter()
        .filter_map(|daemon| daemon.process_id())
        .collect();
    assert_eq!(ids.len(), 2);
    drop(cluster);
    assert!(!directory.exists());
    for id in ids {
        let process = format!("/proc/{id}/stat");
        for attempt in 0.. {
            let Ok(stat) = std::fs::read_to_string(Path::new(&process)) else {
                break;
            };
            if stat.contains(") Z ") {
                break;
            }
            assert!(attempt < 1000, "process {id} still runs");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against a failed start whose error does not contain the daemon's output.
#[tokio::test]
async fn a_daemon_that_dies_is_reported_with_its_output() {
    let mut cluster = TestCluster::open(options(false)).await.unwrap();
    cluster.wait_ready().await.unwrap();
    let directory = cluster.directory().to_owned();
    let daemon = &mut cluster.daemons[0];
    daemon.kill().await.unwrap();
    daemon.write_settings(&directory, &Value::Null).unwrap();
    daemon.start().await.unwrap();
    let error = daemon.wait_ready().await.unwrap_err();
    let text = format!("{error:#}");
    assert!(text.contains("Error"), "{text}");
    cluster.shutdown().await.unwrap();
}

/// Guards against rendered settings files that the daemon rejects.
#[tokio::test]
async fn rendered_settings_are_valid() {
    let mut replaced = options(false);
    replaced
        .settings
        .insert("timing".into(), json!({"term": "9s"}));
    replaced.list_lag = Duration::from_millis(300);
    let cluster = TestCluster::open(replaced).await.unwrap();
    let file = cluster.directory().join("entry-2.json");
    let settings = DaemonSettings::read(&file).unwrap();
    assert_eq!(settings.vm, "entry-2");
    assert_eq!(settings.zone, "palermo");
    assert_eq!(settings.listen.peer, cluster.daemons[1].addresses().peer);
    assert_eq!(settings.platform.log, cluster.log.address());
    assert_eq!(settings.platform.list_lag, Duration::from_millis(300));
    assert_eq!(settings.timing.term, Duration::from_secs(9));
    assert!(settings.bootstrap_operator.is_some());
    cluster.shutdown().await.unwrap();
}

/// Guards against links that bypass the proxy.
#[tokio::test]
async fn cut_links_of_a_proxied_cluster_pass_no_calls() {
    let cluster = TestCluster::open(options(true)).await.unwrap();
    let proxy = cluster.proxy.as_ref().unwrap();
    let settings = settings(&cluster, "entry-1");
    let log = serde_json::from_value(settings["platform"]["log"].clone()).unwrap();
    assert_ne!(log, cluster.log.address());
    let listed = HttpVmList::open(cluster.vms.address())
        .list()
        .await
        .unwrap();
    let entry = listed.iter().find(|vm| vm.name == "entry-1").unwrap();
    assert_ne!(entry.address, cluster.daemons[0].addresses().peer);
    let advertised = &settings["listen"]["peer_advertised"];
    assert_eq!(*advertised, json!(entry.address));
    let journal = HttpJournal::open(log).with_timeout(Duration::from_millis(300));
    let append = || journal.append(StreamName::Config, "record".into());
    append().await.unwrap();
    proxy.set_link("palermo", PLATFORM_ZONE, LinkFault::CUT);
    append().await.unwrap();
    proxy.set_link("catania", PLATFORM_ZONE, LinkFault::CUT);
    append().await.unwrap_err();
    proxy.heal();

    let host = cluster.daemons[0].addresses().caller.ip();
    let service = HttpService::default().with_local_address(host);
    let call = || {
        let request = ServiceRequest {
            id: "r1".into(),
            method: http::Method::GET,
            path: "/seats".into(),
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::new(),
        };
        service.call(cluster.services[0].advertised, request)
    };
    call().await.unwrap();
    proxy.set_link("catania", "palermo", LinkFault::CUT);
    call().await.unwrap_err();
    cluster.shutdown().await.unwrap();
}

/// Guards against restarted backend servers that change their address or lose the records of earlier incarnations.
#[tokio::test]
async fn restarted_backends_keep_address_and_records() {
    let mut cluster = TestCluster::open(options(false)).await.unwrap();
    let listed = HttpVmList::open(cluster.vms.address())
        .list()
        .await
        .unwrap();
    assert_eq!(listed.len(), 4);
    let declared = cluster.backends();
    assert_eq!(
        declared[0]["address"],
        cluster.engines[0].address().to_string()
    );
    let engine = &mut cluster.engines[0];
    engine.restart().await.unwrap();
    engine.restart().await.unwrap();
    assert_eq!(engine.journals().len(), 3);
    assert!(engine.latest().is_running());
    assert_eq!(engine.latest().address(), engine.address());
    let service = &mut cluster.services[0];
    service.latest().push_fault(ServiceFault::CrashAfterEffect);
    let client = JsonClient::new(Duration::from_secs(5));
    let lost = client.get::<Value>(service.address(), "/seats").await;
    assert!(lost.is_err());
    service.restart().await.unwrap();
    let answer = client.get::<Value>(service.address(), "/seats").await;
    answer.unwrap();
    let calls = service.received();
    let calls = calls.iter().filter(|call| call.path == "/seats");
    assert_eq!(calls.count(), 2);
    assert_eq!(service.latest().executions().len(), 1);
    cluster.shutdown().await.unwrap();
}
