//! A single daemon of the users' platform whose start and end are observed by its log.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Lines};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use eyre::ContextCompat;

/// Addresses whose ports the system chooses.
pub const ANY_ADDRESS: [&str; 5] = ["127.0.0.1:0"; 5];

/// Returns settings with the addresses of the listeners for callers, readiness, peers, pulses and administration.
pub fn settings(addresses: &[impl AsRef<str>; 5]) -> String {
    let [caller, ready, peer, pulse, admin] = addresses.each_ref().map(AsRef::as_ref);
    format!(
        r#"{{
  "vm": "entry-1",
  "zone": "north",
  "listen": {{
    "caller": "{caller}", "ready": "{ready}", "peer": "{peer}", "pulse": "{pulse}", "admin": "{admin}"
  }},
  "store": {{"address": "127.0.0.1:9"}},
  "timing": {{"balancer_lag": "0s"}}
}}"#
    )
}

/// A running daemon; it is killed and its settings file is removed when this is dropped.
pub struct StartedDaemon {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    file: PathBuf,
    last: String,
}

impl StartedDaemon {
    /// Starts a daemon with `settings`.
    pub fn spawn(settings: &str) -> eyre::Result<Self> {
        Self::spawn_with(settings, &[])
    }

    /// Starts a daemon with `settings` and environment variables.
    pub fn spawn_with(settings: &str, variables: &[(&str, &str)]) -> eyre::Result<Self> {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("foxtailhill-start-{}-{number}", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, settings)?;
        let mut child = Command::new(env!("CARGO_BIN_EXE_foxtailhill"))
            .args(["serve", "--settings"])
            .arg(&file)
            .envs(variables.iter().copied())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take().wrap_err("no output")?;
        Ok(Self {
            child,
            lines: BufReader::new(output).lines(),
            file,
            last: String::new(),
        })
    }

    /// Replaces the settings file.
    pub fn write_settings(&self, settings: &str) -> eyre::Result<()> {
        Ok(std::fs::write(&self.file, settings)?)
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the log up to a line that contains `text`, and returns the line.
    pub fn expect(&mut self, text: &str) -> eyre::Result<String> {
        for line in &mut self.lines {
            self.last = line?;
            if self.last.contains(text) {
                return Ok(self.last.clone());
            }
        }
        let status = self.child.wait()?;
        eyre::bail!(
            "ended with {status} without the log line `{text}`; last line: {}",
            self.last
        )
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, signal: &str) -> eyre::Result<()> {
        let command = format!("kill -{signal} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        eyre::ensure!(status.success(), "`{command}` failed");
        Ok(())
    }

    /// Reads the log to its end and waits until the process has ended.
    pub fn wait(&mut self) -> eyre::Result<ExitStatus> {
        for line in &mut self.lines {
            self.last = line?;
        }
        Ok(self.child.wait()?)
    }

    /// Returns the last line that was read.
    pub fn last_line(&self) -> &str {
        &self.last
    }
}

impl Drop for StartedDaemon {
    fn drop(&mut self) {
        // The process has ended by itself unless the test fails.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
