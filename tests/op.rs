//! The `op` command against a daemon's operator server.

mod config_support;

use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;
use foxtailhill::catalog::EntityChange;
use foxtailhill::op::{OpArgs, OpExit, run};

use crate::config_support::FakeLog;
use crate::config_support::daemon::Daemon;

/// Files of one test.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("foxtailhill-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("directory can be made");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("file can be written");
        path.display().to_string()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct OperatorCli {
    server: String,
    key_file: String,
}

impl OperatorCli {
    async fn run(&self, command: &[&str]) -> (OpExit, String, String) {
        let mut arguments = vec!["--server", &self.server, "--key-file", &self.key_file];
        arguments.extend(["--wait-ms", "50"]);
        arguments.extend(command);
        let args = OpArgs::from_args(&["op"], &arguments).expect("command line is valid");
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = run(&args, &mut out, &mut err).await;
        let text = |bytes| String::from_utf8(bytes).expect("output is text");
        (exit, text(out), text(err))
    }
}

const FLEET: &str = r#"{
    "operators": [{"name": "ada", "digest": "a7937b64b8caa58f03721bb6bacf5c78cb235febe0e70b1b84cd99541461a08e"}],
    "teams": [{"name": "desks", "rate": 900, "burst": 9000}],
    "models": [{"name": "m", "memory_bytes": 1, "min_replicas": 1, "version": "v1", "first_token_ms": 1}]
}"#;

/// Guards against applying a file in an order that locks the operator out or refers to entities that are not declared
/// yet, and against submitting changes a second time.
#[tokio::test]
async fn apply_submits_only_entities_that_differ() {
    let daemon = Daemon::start(&Arc::new(FakeLog::default()), "vm-1").await;
    let directory = TestDirectory::create("op-apply");
    let cli = OperatorCli {
        server: daemon.server.address().to_string(),
        key_file: directory.write("key", "first\n"),
    };
    let fleet = directory.write("fleet.json", FLEET);
    let (exit, out, err) = cli.run(&["apply", &fleet]).await;
    assert_eq!((exit, err.as_str()), (OpExit::Done, ""));
    assert_eq!(out.lines().count(), 3);
    let (exit, out, _) = cli.run(&["apply", &fleet]).await;
    assert_eq!((exit, out.as_str()), (OpExit::Done, ""));

    // The model changes to a version that the same file declares.
    let changed = FLEET.replace("\"version\": \"v1\"", "\"version\": \"v2\"").replace(
        "\"models\"",
        "\"versions\": [{\"model\": \"m\", \"version\": \"v2\", \"memory_bytes\": 2}], \"models\"",
    );
    let changed = directory.write("changed.json", &changed);
    let (exit, out, err) = cli.run(&["--json", "apply", &changed]).await;
    assert_eq!((exit, err.as_str()), (OpExit::Done, ""));
    let names: Vec<_> = out
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap()["name"].clone())
        .collect();
    assert_eq!(names, ["m@v2", "m"]);

    let wrong = directory.write("wrong.json", &FLEET.replace("\"rate\": 900", "\"rate\": 0"));
    let (exit, _, err) = cli.run(&["apply", &wrong]).await;
    assert_eq!(exit, OpExit::Refused);
    assert!(
        err.contains("wrong.json:3:15: team `desks`: rate is 0"),
        "{err}"
    );
    daemon.group.shutdown().await;
}

/// Guards against a key that does not work after its grant, or does after its withdrawal.
#[tokio::test]
async fn a_granted_key_works_until_it_is_withdrawn() {
    let daemon = Daemon::start(&Arc::new(FakeLog::default()), "vm-1").await;
    let directory = TestDirectory::create("op-key");
    let cli = OperatorCli {
        server: daemon.server.address().to_string(),
        key_file: directory.write("key", "first"),
    };
    let team = r#"{"name": "desks", "rate": 9, "burst": 9}"#;
    assert_eq!(cli.run(&["put", "team", team]).await.0, OpExit::Done);
    let (exit, out, _) = cli.run(&["grant-key", "desk-1", "desks"]).await;
    assert_eq!(exit, OpExit::Done);
    let secret = out
        .lines()
        .find_map(|line| line.strip_prefix("key: "))
        .unwrap();
    let known = || {
        let catalog = daemon.replica.current();
        catalog
            .team_of_key(secret)
            .map(|(key, team)| format!("{key} {team}"))
    };
    assert_eq!(known().as_deref(), Some("desk-1 desks"));
    let (exit, _, _) = cli.run(&["grant-key", "desk-1", "desks"]).await;
    assert_eq!(exit, OpExit::Conflict);
    assert!(known().is_some());
    assert_eq!(
        cli.run(&["retire", "team", "desks"]).await.0,
        OpExit::Refused
    );
    assert_eq!(cli.run(&["withdraw-key", "desk-1"]).await.0, OpExit::Done);
    assert_eq!(known(), None);
    assert_eq!(cli.run(&["retire", "team", "desks"]).await.0, OpExit::Done);
    daemon.group.shutdown().await;
}

/// Guards against exit codes by which a script takes a failed change for a success.
#[tokio::test]
async fn each_outcome_has_its_own_exit_code() {
    let daemon = Daemon::start(&Arc::new(FakeLog::default()), "vm-1").await;
    let directory = TestDirectory::create("op-exit");
    let mut cli = OperatorCli {
        server: daemon.server.address().to_string(),
        key_file: directory.write("key", "first"),
    };
    let team = r#"{"name": "desks", "rate": 9, "burst": 9}"#;
    daemon.replica.set_expected_vms(["vm-2".into()].into());
    let (exit, out, _) = cli.run(&["put", "team", team]).await;
    assert_eq!(exit, OpExit::Unconfirmed);
    assert!(out.contains("not confirmed by vm-2"), "{out}");
    let (exit, _, err) = cli.run(&["put", "team", team, "--base", "0"]).await;
    assert_eq!(exit, OpExit::Conflict);
    assert!(err.contains("revision 1"), "{err}");
    assert_eq!(cli.run(&["put", "team", "{}"]).await.0, OpExit::Refused);
    assert_eq!(cli.run(&["apply", "no-such-file"]).await.0, OpExit::Usage);
    daemon
        .replica
        .record_peer_offset(&"vm-2".into(), daemon.replica.next_offset());
    assert_eq!(cli.run(&["watch", "0"]).await.0, OpExit::Done);
    let (exit, out, _) = cli.run(&["list", "team"]).await;
    assert_eq!((exit, out.lines().count()), (OpExit::Done, 1));
    assert_eq!(cli.run(&["members"]).await.0, OpExit::Done);

    let key_file = std::mem::replace(&mut cli.key_file, directory.write("other", "guess"));
    assert_eq!(cli.run(&["list"]).await.0, OpExit::Refused);
    cli.key_file = "no-such-file".into();
    assert_eq!(cli.run(&["list"]).await.0, OpExit::Usage);
    cli.key_file = key_file;
    daemon.group.shutdown().await;
    assert_eq!(cli.run(&["put", "team", team]).await.0, OpExit::Unreachable);
    assert_eq!(daemon.replica.current().entities().len(), 2);
}

/// Guards against commands that the command line no longer accepts in the documented form.
#[test]
fn documented_command_lines_parse() {
    let prefix = ["--server", "127.0.0.1:7000", "--key-file", "key"];
    let lines: [&[&str]; 5] = [
        &["--json", "list"],
        &["retire", "version", "m@v1", "--base", "4"],
        &["grant-key", "k", "t", "--digest", &"0f".repeat(32)],
        &["watch", "12"],
        &["put", "policy", "{}"],
    ];
    for line in lines {
        let arguments: Vec<&str> = prefix.iter().chain(line).copied().collect();
        let parsed = OpArgs::from_args(&["op"], &arguments);
        assert!(parsed.is_ok(), "{line:?}: {parsed:?}");
    }
    let arguments: Vec<&str> = prefix
        .iter()
        .chain(&["retire", "fleet", "x"])
        .copied()
        .collect();
    assert!(OpArgs::from_args(&["op"], &arguments).is_err());
    let policy =
        foxtailhill::declaration::entity_from_json(foxtailhill::catalog::EntityKind::Policy, "{}");
    assert_eq!(policy.unwrap(), EntityChange::PutPolicy(Default::default()));
}
