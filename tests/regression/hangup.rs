//! A daemon of the users' platform that receives SIGHUP after its settings file changed.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

const SETTINGS: &str = r#"{
  "vm": "entry-1",
  "zone": "north",
  "listen": {
    "caller": "127.0.0.1:0", "ready": "127.0.0.1:0", "peer": "127.0.0.1:0",
    "pulse": "127.0.0.1:0", "admin": "127.0.0.1:0"
  },
  "store": {"address": "127.0.0.1:9"},
  "timing": {"balancer_lag": "0s"}
}"#;

fn send_signal(signal: &str, child: &Child) -> eyre::Result<()> {
    let command = format!("kill -{signal} {}", child.id());
    let status = Command::new("sh").args(["-c", &command]).status()?;
    eyre::ensure!(status.success(), "`{command}` failed");
    Ok(())
}

fn run(child: &mut Child, file: &Path) -> eyre::Result<()> {
    let output = child
        .stdout
        .take()
        .ok_or_else(|| eyre::eyre!("no output"))?;
    let mut lines = BufReader::new(output).lines();
    let mut expect = |text: &str| -> eyre::Result<()> {
        for line in &mut lines {
            if line?.contains(text) {
                return Ok(());
            }
        }
        eyre::bail!("the daemon ended without the log line `{text}`")
    };
    expect("is serving")?;
    send_signal("HUP", child)?;
    expect("the settings have not changed")?;
    std::fs::write(file, SETTINGS.replace("\"0s\"", "\"1s\""))?;
    send_signal("HUP", child)?;
    expect("take effect at the next start")?;
    std::fs::write(file, "{")?;
    send_signal("HUP", child)?;
    expect("the settings cannot be used")?;
    send_signal("TERM", child)?;
    expect("shut down after")?;
    let status = child.wait()?;
    eyre::ensure!(status.success(), "the daemon ended with {status}");
    Ok(())
}

/// Guards against a daemon that ends at SIGHUP and thereby interrupts its requests.
#[test]
fn sighup_does_not_end_the_daemon() -> eyre::Result<()> {
    let file = std::env::temp_dir().join(format!("foxtailhill-hangup-{}", std::process::id()));
    std::fs::write(&file, SETTINGS)?;
    let mut child = Command::new(env!("CARGO_BIN_EXE_foxtailhill"))
        .args(["serve", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()?;
    let result = run(&mut child, &file);
    // The process has ended by itself unless the test fails.
    let _ = child.kill();
    child.wait()?;
    std::fs::remove_file(&file)?;
    result
}
