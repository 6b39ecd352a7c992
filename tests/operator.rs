//! The operator interface over a real connection.

mod config_support;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use foxtailhill::ids::KeyDigest;
use foxtailhill::operator::CURRENT_REVISION_KEY;
use foxtailhill::proto;
use foxtailhill::proto::operator_service_client::OperatorServiceClient;
use tonic::transport::Channel;
use tonic::{Code, Request};

use crate::config_support::FakeLog;
use crate::config_support::daemon::Daemon;

type Client = OperatorServiceClient<Channel>;

async fn connect(daemon: &Daemon) -> Client {
    let address = format!("http://{}", daemon.server.address());
    Client::connect(address).await.expect("daemon runs")
}

fn with_key<T>(key: &str, message: T) -> Request<T> {
    let mut request = Request::new(message);
    let value = format!("Bearer {key}")
        .parse()
        .expect("key is valid in a header");
    request.metadata_mut().insert("authorization", value);
    request
}

fn put(entity: proto::entity::Entity, base_revision: u64) -> proto::ApplyRequest {
    let entity = proto::Entity {
        entity: Some(entity),
    };
    proto::ApplyRequest {
        base_revision,
        change: Some(proto::apply_request::Change::Put(entity)),
        wait_ms: 100,
        ..Default::default()
    }
}

fn operator(name: &str, key: &str) -> proto::entity::Entity {
    proto::entity::Entity::Operator(proto::Operator {
        name: name.into(),
        digest: KeyDigest::of(key.as_bytes()).to_string(),
    })
}

fn team(rate: u64) -> proto::entity::Entity {
    proto::entity::Entity::Team(proto::Team {
        name: "desks".into(),
        rate,
        burst: 10,
    })
}

/// Guards against a bootstrap key that is accepted after the first operator is declared, and against calls without an
/// operator's key.
#[tokio::test]
async fn bootstrap_key_is_refused_once_an_operator_is_declared() {
    let journal = Arc::new(FakeLog::default());
    let daemon = Daemon::start(&journal, "vm-1").await;
    let mut client = connect(&daemon).await;
    let refused = client.apply(with_key("guess", put(team(5), 0))).await;
    assert_eq!(refused.unwrap_err().code(), Code::Unauthenticated);
    let refused = client.apply(Request::new(put(team(5), 0))).await;
    assert_eq!(refused.unwrap_err().code(), Code::Unauthenticated);
    let declared = client
        .apply(with_key("first", put(operator("ada", "a"), 0)))
        .await;
    assert_eq!(declared.unwrap().into_inner().revision, 1);
    let refused = client
        .list(with_key("first", proto::ListRequest::default()))
        .await;
    assert_eq!(refused.unwrap_err().code(), Code::Unauthenticated);
    let listed = client
        .list(with_key("a", proto::ListRequest::default()))
        .await;
    assert_eq!(listed.unwrap().into_inner().next_offset, 1);
    daemon.group.shutdown().await;
}

/// Guards against two operators that overwrite each other's change from the same revision on different VMs.
#[tokio::test]
async fn one_of_two_concurrent_changes_is_accepted() {
    let journal = Arc::new(FakeLog::default());
    let daemons = [
        Daemon::start(&journal, "vm-1").await,
        Daemon::start(&journal, "vm-2").await,
    ];
    let mut client = connect(&daemons[0]).await;
    for (name, key, author) in [("ada", "a", "first"), ("eve", "e", "a")] {
        let request = with_key(author, put(operator(name, key), 0));
        client.apply(request).await.unwrap();
    }
    let next = daemons[0].replica.next_offset();
    config_support::until("both daemons know the operators", || {
        daemons[1].replica.next_offset() == next
    })
    .await;
    let mut base = 0;
    for round in 1..=20 {
        let mut clients = [connect(&daemons[0]).await, connect(&daemons[1]).await];
        let [left, right] = &mut clients;
        let (left, right) = tokio::join!(
            left.apply(with_key("a", put(team(round * 2), base))),
            right.apply(with_key("e", put(team(round * 2 + 1), base))),
        );
        let (accepted, rejected) = match (left, right) {
            (Ok(accepted), Err(rejected)) | (Err(rejected), Ok(accepted)) => {
                (accepted.into_inner(), rejected)
            }
            other => panic!("round {round}: {other:?}"),
        };
        assert_eq!(rejected.code(), Code::Aborted);
        let current = rejected.metadata().get(CURRENT_REVISION_KEY).unwrap();
        assert_eq!(current.to_str().unwrap(), accepted.revision.to_string());
        base = accepted.revision;
    }
    for daemon in daemons {
        daemon.group.shutdown().await;
    }
}

/// Guards against a change that is reported as in force on a VM that has not applied it.
#[tokio::test]
async fn apply_and_watch_report_pending_vms() {
    let journal = Arc::new(FakeLog::default());
    let daemon = Daemon::start(&journal, "vm-1").await;
    daemon.replica.set_expected_vms(["vm-2".into()].into());
    let mut client = connect(&daemon).await;
    let reply = client.apply(with_key("first", put(team(5), 0))).await;
    let reply = reply.unwrap().into_inner();
    assert_eq!(
        (reply.confirmed, reply.pending),
        (vec!["vm-1".into()], vec!["vm-2".into()])
    );
    let request = proto::WatchRequest {
        offset: reply.offset,
    };
    let mut watch = client
        .watch(with_key("first", request))
        .await
        .unwrap()
        .into_inner();
    let first = watch.message().await.unwrap().unwrap();
    assert_eq!(first.pending, ["vm-2"]);
    let next = daemon.replica.next_offset();
    daemon.replica.record_peer_offset(&"vm-2".into(), next);
    let last = watch.message().await.unwrap().unwrap();
    assert_eq!(last.confirmed, ["vm-1", "vm-2"]);
    assert_eq!(watch.message().await.unwrap(), None);
    daemon.group.shutdown().await;
}

/// Guards against a retired operator that keeps watching or makes changes, and against replies to an operator from a
/// daemon that may have missed its retirement.
#[tokio::test]
async fn retired_operator_loses_access() {
    let journal = Arc::new(FakeLog::default());
    let daemon = Daemon::start(&journal, "vm-1").await;
    let mut client = connect(&daemon).await;
    for (name, key, author) in [("ada", "a", "first"), ("eve", "e", "a")] {
        let request = with_key(author, put(operator(name, key), 0));
        client.apply(request).await.unwrap();
    }
    let request = proto::WatchRequest { offset: 1_000 };
    let watch = client.watch(with_key("e", request)).await;
    let mut watch = watch.unwrap().into_inner();
    assert_eq!(watch.message().await.unwrap().unwrap().pending, ["vm-1"]);
    let retire = |name: &str, base_revision| proto::ApplyRequest {
        base_revision,
        change: Some(proto::apply_request::Change::Retire(proto::EntityRef {
            kind: proto::Kind::Operator.into(),
            name: name.into(),
        })),
        wait_ms: 100,
        ..Default::default()
    };
    client.apply(with_key("a", retire("eve", 2))).await.unwrap();
    let ended = watch.message().await.unwrap_err();
    assert_eq!(ended.code(), Code::Unauthenticated);
    let refused = client.apply(with_key("e", put(team(5), 0))).await;
    assert_eq!(refused.unwrap_err().code(), Code::Unauthenticated);
    // The last operator cannot be retired, as the bootstrap key would then be accepted again.
    let refused = client.apply(with_key("a", retire("ada", 1))).await;
    assert_eq!(refused.unwrap_err().code(), Code::InvalidArgument);

    daemon.serves_keys.store(false, Ordering::Relaxed);
    let refused = client
        .list(with_key("a", proto::ListRequest::default()))
        .await;
    assert_eq!(refused.unwrap_err().code(), Code::Unavailable);
    daemon.group.shutdown().await;
}
