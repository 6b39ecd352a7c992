//! What the log of a process says of its start and of its end.

mod start_support;

use eyre::ensure;
use serde_json::Value;
use start_support::{ANY_ADDRESS, StartedDaemon, settings};

fn message(line: &str) -> eyre::Result<String> {
    let line: Value = serde_json::from_str(line)?;
    let message = line["message"].as_str();
    Ok(message.ok_or_else(|| eyre::eyre!("no message"))?.to_owned())
}

/// Guards against an end by a signal that the log does not name, and a start that it does not tell.
#[test]
fn log_names_the_signal_and_the_exit_code() -> eyre::Result<()> {
    for (short, signal) in [("TERM", "SIGTERM"), ("INT", "SIGINT")] {
        let mut daemon = StartedDaemon::spawn(&settings(&ANY_ADDRESS))?;
        let first = message(&daemon.expect("")?)?;
        let pid = format!("process {}", daemon.id());
        ensure!(
            first.contains(&pid) && first.contains("open files"),
            "{first}"
        );
        ensure!(first.contains(env!("CARGO_PKG_VERSION")), "{first}");
        daemon.expect("is serving")?;
        daemon.signal(short)?;
        let status = daemon.wait()?;
        let last = message(daemon.last_line())?;
        ensure!(status.code() == Some(0), "{status}");
        ensure!(
            last.contains("exit code 0") && last.contains(signal),
            "{last}"
        );
    }
    Ok(())
}

/// Guards against a daemon that cannot start and says so only on standard error.
#[test]
fn log_names_why_a_daemon_did_not_start() -> eyre::Result<()> {
    let misspelt = settings(&[
        "127.0.0.1:0",
        "127.0.0.1:0",
        "127.0.0.1:0",
        "127.0.0.1:0",
        "no",
    ]);
    for (text, cause) in [
        ("{", "EOF"),
        (misspelt.as_str(), "5:113: invalid socket address"),
    ] {
        let mut daemon = StartedDaemon::spawn(text)?;
        let status = daemon.wait()?;
        let last = message(daemon.last_line())?;
        ensure!(status.code() == Some(1), "{status}");
        ensure!(last.contains("exit code 1"), "{last}");
        ensure!(
            last.to_lowercase().contains(&cause.to_lowercase()),
            "{last}"
        );
    }
    Ok(())
}
