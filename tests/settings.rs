//! Settings: positions of errors, units and ranges.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use foxtailhill::settings::{DaemonSettings, LimitSettings, MemoryPlan, VmCapacity};

const VALID: &str = r#"{
  // entry VM
  "vm": "entry-1", /* a comment
  over two lines */ "zone": "north",
  "listen": {
    "caller": "127.0.0.1:0",
    "operator": "127.0.0.1:0",
    "peer": "127.0.0.1:0",
    "admin": "127.0.0.1:0"
  },
  "platform": { "log": "127.0.0.1:1", "weights": "127.0.0.1:2", "vms": "127.0.0.1:3" },
  "limits": { "body_bytes": "2MiB", "in_flight": 10 },
  "timing": { "term": "30s" }
}
"#;

fn error_of(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from} is not in the text");
    let text = VALID.replacen(from, to, 1);
    let error = DaemonSettings::parse("s.jsonc", &text).expect_err("must be refused");
    error.message().to_string()
}

/// Guards against example files that the parser refuses.
#[test]
fn examples_are_valid() {
    for name in ["navette", "grainotheque"] {
        let path = format!(
            "{}/examples/settings/{name}.jsonc",
            env!("CARGO_MANIFEST_DIR")
        );
        let settings = DaemonSettings::read(Path::new(&path)).expect("example must be valid");
        assert!(settings.bootstrap_operator.is_some());
    }
}

/// Guards against comments that change values, and against defaults that are lost if other fields are set.
#[test]
fn comments_units_and_defaults() {
    let settings = DaemonSettings::parse("s.jsonc", VALID).expect("must be valid");
    assert_eq!(settings.limits.body_bytes, 2 << 20);
    assert_eq!(settings.limits.in_flight, 10);
    assert_eq!(settings.limits.queue, 2_048);
    assert_eq!(settings.timing.term, Duration::from_secs(30));
    assert_eq!(settings.platform.list_lag, Duration::from_secs(10));
}

/// Guards against errors that give another line than that of the wrong value, also after comments.
#[test]
fn errors_have_positions() {
    let cases = [
        (
            r#""vm": "entry-1""#,
            r#""vm": "entry 1""#,
            "s.jsonc:3:",
            "is not a name",
        ),
        (
            r#""zone": "north""#,
            r#""zone": 7"#,
            "s.jsonc:4:",
            "expected a name",
        ),
        (
            "\"127.0.0.1:0\",\n    \"operator\"",
            "\"host:80\",\n    \"operator\"",
            "s.jsonc:6:",
            "socket address",
        ),
        ("127.0.0.1:1", "127.0.0.1:0", "s.jsonc:11:", "has port 0"),
        ("127.0.0.1:2", "127.0.0.1", "s.jsonc:11:", "IP:port"),
        (
            r#""2MiB""#,
            "2097152",
            "s.jsonc:12:",
            "expected a size with a unit",
        ),
        (
            r#""2MiB""#,
            r#""2097152""#,
            "s.jsonc:12:",
            "not a size with a unit",
        ),
        (
            r#""2MiB""#,
            r#""2GiB""#,
            "s.jsonc:12:",
            "outside 1024B to 67108864B",
        ),
        (
            r#""2MiB""#,
            r#""99999999999999999999GiB""#,
            "s.jsonc:12:",
            "not a size",
        ),
        ("10 }", "0 }", "s.jsonc:12:", "0 is outside 1 to 100000"),
        (
            "10 }",
            "-1 }",
            "s.jsonc:12:",
            "expected a number from 1 to 100000",
        ),
        (
            "in_flight",
            "inflight",
            "s.jsonc:12:",
            "unknown field `inflight`",
        ),
        (
            r#""30s""#,
            "30",
            "s.jsonc:13:",
            "expected a duration with a unit",
        ),
        (
            r#""30s""#,
            r#""30""#,
            "s.jsonc:13:",
            "not a duration with a unit",
        ),
        (
            r#""30s""#,
            r#""0""#,
            "s.jsonc:13:",
            "not a duration with a unit",
        ),
        (r#""30s""#, r#""1ms""#, "s.jsonc:13:", "outside 1s to 7days"),
        ("\n}\n", "\n", "s.jsonc:14:", "EOF"),
        ("\n}\n", "\n} x", "s.jsonc:14:", "trailing characters"),
        (
            "\n}\n",
            "\n} /* open",
            "s.jsonc:14:",
            "comment is not closed",
        ),
        (
            r#""vm": "entry-1", "#,
            "",
            "s.jsonc:14:",
            "missing field `vm`",
        ),
        (
            r#""vm": "#,
            r#""vm": "a", "vm": "#,
            "s.jsonc:3:",
            "duplicate field `vm`",
        ),
    ];
    for (from, to, position, text) in cases {
        let message = error_of(from, to);
        assert!(message.starts_with(position), "{from} -> {to}: {message}");
        assert!(message.contains(text), "{from} -> {to}: {message}");
        assert!(!message.contains(" at line "), "{message}");
    }
}

/// Guards against an error whose column is not that of the value.
#[test]
fn column_is_that_of_the_value() {
    let message = error_of(r#""2MiB""#, r#""2 MB""#);
    let line = VALID.lines().nth(11).unwrap();
    let start = line.find(r#""2MiB""#).unwrap();
    let column: usize = message.split(':').nth(2).unwrap().parse().unwrap();
    assert!(column > start && column <= start + 8, "{message}");
}

/// Guards against a key, pasted by mistake, that appears in an error message.
#[test]
fn digest_is_not_repeated() {
    let message = error_of(
        r#""limits""#,
        r#""bootstrap_operator": "sk-pasted-by-mistake", "limits""#,
    );
    assert!(message.starts_with("s.jsonc:12:"), "{message}");
    assert!(!message.contains("pasted"), "{message}");
}

/// Guards against errors without a position for text that is not UTF-8.
#[test]
fn invalid_utf8_has_a_position() {
    let path = std::env::temp_dir().join(format!("settings-{}.jsonc", std::process::id()));
    std::fs::write(&path, b"{\n  \"vm\": \"\xff\"").unwrap();
    let error = DaemonSettings::read(&path).expect_err("must be refused");
    std::fs::remove_file(&path).unwrap();
    assert!(error.message().contains(":2:10: "), "{error}");
}

/// Guards against two listeners on one address, which would fail only when the daemon starts.
#[test]
fn listen_addresses_differ() {
    let text = VALID.replacen("127.0.0.1:0", "127.0.0.1:80", 2);
    let error = DaemonSettings::parse("s.jsonc", &text).expect_err("must be refused");
    let message = error.message();
    assert!(message.starts_with("s.jsonc:10:"), "{message}");
    assert!(
        message.contains("`127.0.0.1:80` is listed twice"),
        "{message}"
    );
}

/// Guards against panics and errors without a position on arbitrary input.
#[test]
fn any_text_is_read_or_refused_with_a_position() {
    bolero::check!()
        .with_type::<(u16, u16, String)>()
        .for_each(|(at, length, insert)| {
            let mut text = VALID.to_string();
            let start = usize::from(*at) % text.len();
            let end = (start + usize::from(*length) % 40).min(text.len());
            text.replace_range(start..end, insert);
            if let Err(error) = DaemonSettings::parse("s.jsonc", &text) {
                let parts: Vec<_> = error.message().splitn(4, ':').collect();
                let lines = text.bytes().filter(|byte| *byte == b'\n').count() + 1;
                let line: usize = parts[1].parse().unwrap();
                assert!((1..=lines).contains(&line), "{error}");
                parts[2].parse::<usize>().unwrap();
            }
        });
}

/// Guards against callers that take the descriptors or the memory which the daemon itself needs.
#[test]
fn limits_on_callers_follow_the_capacity_of_the_vm() {
    let limits = LimitSettings::default();
    assert_eq!(limits.held(), 64 << 20);
    let smallest = limits.for_capacity(Some(120), Some(3_075));
    assert_eq!(smallest.held(), 30 << 20);
    // 120 MB less 24 for the process, 30 for bodies and 7.5 for peers; half of that in connections of 24 KiB.
    assert_eq!(smallest.connections, 1_248);
    let scarce = limits.for_capacity(Some(512), Some(3_075));
    assert_eq!(scarce.connections, 3_075 - 768);
    let largest = limits.for_capacity(Some(1_024), Some(100_000));
    assert_eq!(largest.connections, limits.connections);
    assert_eq!(limits.for_capacity(Some(1), None).connections, 64);
    let capacity = VmCapacity {
        descriptors: Some(4_100),
        ..VmCapacity::default()
    };
    // A platform showed a limit of 200 files beside sockets, which left room for 100 callers.
    assert_eq!(capacity.open_files(Some(200)), Some(4_100));
    assert_eq!(VmCapacity::default().open_files(Some(200)), Some(200));
    assert_eq!(limits.for_capacity(None, Some(500)).connections, 300);
    assert_eq!(limits.for_capacity(None, Some(100)).connections, 50);
    let set = LimitSettings {
        held_bytes: Some(8 << 20),
        ..LimitSettings::default()
    };
    let expected = LimitSettings {
        connections: 1_717,
        ..set.clone()
    };
    assert_eq!(set.for_capacity(Some(120), None), expected);
}

/// Guards against a plan that gives away more memory than the VM has, for any memory and any setting of the account.
#[test]
fn memory_plan_stays_within_the_memory_of_the_vm() {
    const CONNECTION_BYTES: usize = 24 << 10;
    const PROCESS_BYTES: usize = 24 << 20;
    for memory_mb in [64, 96, 128, 160, 260, 512, 4_096] {
        for held_bytes in [None, Some(1 << 20), Some(12 << 20)] {
            let limits = LimitSettings {
                held_bytes,
                ..LimitSettings::default()
            };
            let plan = MemoryPlan::new(Some(memory_mb), &limits);
            let connections = plan.connections * CONNECTION_BYTES;
            let sum = PROCESS_BYTES + plan.held + plan.peers + connections;
            assert!(sum <= memory_mb << 20, "{memory_mb} MB: {plan:?}");
            assert_eq!(plan.held, held_bytes.unwrap_or((memory_mb << 20) / 4));
        }
    }
    let unknown = MemoryPlan::new(None, &LimitSettings::default());
    let stated = MemoryPlan::new(Some(256), &LimitSettings::default());
    assert_eq!(unknown, stated, "the account is a quarter of the memory");
}
