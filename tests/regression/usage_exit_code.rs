//! Exit code of the binary for command lines that cannot be used.

use std::process::Command;

fn exit_code(arguments: &[&str]) -> Option<i32> {
    let output = Command::new(env!("CARGO_BIN_EXE_foxtailhill"))
        .args(arguments)
        .output();
    output.expect("the binary runs").status.code()
}

/// Guards against usage errors that exit with 1, which scripts take for a refusal by the daemon.
#[test]
fn usage_errors_exit_with_2() {
    for arguments in [
        &[][..],
        &["no-such-command"],
        &["serve"],
        &["dump", "no-address"],
        &["op", "--server", "127.0.0.1:1", "list"],
        &[
            "op",
            "--server",
            "127.0.0.1:1",
            "--key-file",
            "k",
            "list",
            "no-kind",
        ],
    ] {
        assert_eq!(exit_code(arguments), Some(2), "{arguments:?}");
    }
    assert_eq!(exit_code(&["--help"]), Some(0));
    assert_eq!(exit_code(&["op", "--help"]), Some(0));
}
