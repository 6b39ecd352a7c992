//! Daemon processes that are stopped, killed, paused and restarted by signals.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::{OptionExt, ensure};
use foxtailhill_standins::unused_host;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest wait for a daemon to start or to end.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Variable that names another program to run as daemon, for comparisons by hand.
const PROGRAM_VARIABLE: &str = "FOXTAILHILL_BIN";
/// Time after a disturbance in which requests may still fail because of it.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Times in which a daemon was killed or paused, or had just been.
#[derive(Clone, Default)]
pub struct Disturbances(Arc<Mutex<Vec<(Instant, Instant)>>>);

impl Disturbances {
    fn add(&self, from: Instant) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.push((from, Instant::now() + RECOVERY_TIME));
    }

    /// Returns whether one of them overlaps a span of time.
    pub fn overlap(&self, from: Instant, to: Instant) -> bool {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times
            .iter()
            .any(|(start, end)| *start <= to && from <= *end)
    }
}

/// A daemon at fixed addresses, whose process comes and goes.
pub struct SoakDaemon {
    name: String,
    settings: PathBuf,
    pub caller: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
    pub disturbances: Disturbances,
}

impl Drop for SoakDaemon {
    fn drop(&mut self) {
        self.end_process();
        // The folder of temporary files keeps the file if this fails.
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl SoakDaemon {
    /// Chooses addresses on an unused loopback host and writes the settings of a daemon.
    pub async fn prepare(name: &str, store: SocketAddr) -> eyre::Result<Self> {
        let host = unused_host();
        let mut listeners = Vec::new();
        for _ in 0..4 {
            listeners.push(TcpListener::bind((host, 0)).await?);
        }
        let addresses: Result<Vec<SocketAddr>, _> =
            listeners.iter().map(TcpListener::local_addr).collect();
        let addresses = addresses?;
        let settings = json!({
            "vm": name, "zone": "north",
            "listen": {
                "caller": addresses[0], "ready": addresses[1], "peer": addresses[2],
                "pulse": addresses[2], "admin": addresses[3],
            },
            "store": {"address": store},
            "timing": {"balancer_lag": "500ms", "drain": "2500ms"},
            "log": {"level": "warn"},
        });
        let file = format!("foxtailhill-soak-{host}-{}.json", addresses[0].port());
        let file = std::env::temp_dir().join(file);
        std::fs::write(&file, settings.to_string())?;
        Ok(Self {
            name: name.into(),
            settings: file,
            caller: addresses[0],
            ready: addresses[1],
            child: None,
            disturbances: Disturbances::default(),
        })
    }

    /// Sets the memory of the daemon's VM, in MB, from the next start on.
    #[allow(dead_code, reason = "used by other tests")]
    pub fn limit_memory(&self, memory_mb: usize) -> eyre::Result<()> {
        let mut settings: Value = serde_json::from_slice(&std::fs::read(&self.settings)?)?;
        settings["capacity"] = json!({"memory_mb": memory_mb, "descriptors": 4_100});
        std::fs::write(&self.settings, settings.to_string())?;
        Ok(())
    }

    /// Returns the most memory that the process has held, in kB.
    #[allow(dead_code, reason = "used by other tests")]
    pub fn peak_memory(&self) -> eyre::Result<usize> {
        let child = self.child.as_ref().ok_or_eyre("no process")?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let text = line.and_then(|line| line.trim().strip_suffix("kB"));
        Ok(text.ok_or_eyre("no peak is stated")?.trim().parse()?)
    }

    /// Starts the process and waits until it is ready.
    pub async fn start(&mut self) -> eyre::Result<()> {
        self.launch()?;
        self.wait_ready().await
    }

    /// Starts the process.
    pub fn launch(&mut self) -> eyre::Result<()> {
        let program = std::env::var_os(PROGRAM_VARIABLE);
        let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_foxtailhill").into());
        let child = Command::new(program)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the process is ready.
    pub async fn wait_ready(&mut self) -> eyre::Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !is_ready(self.ready).await {
            self.check_running()?;
            ensure!(Instant::now() < end, "{} did not become ready", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Fails if the process has ended by itself.
    pub fn check_running(&mut self) -> eyre::Result<()> {
        if let Some(child) = &mut self.child
            && let Some(status) = child.try_wait()?
        {
            eyre::bail!("{} ended by itself with {status}", self.name);
        }
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) -> eyre::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let command = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        ensure!(status.success(), "`{command}` failed");
        Ok(())
    }

    /// Stops the process as planned and starts it again. Another signal may come while it stops.
    pub async fn restart(&mut self, second_signal: Option<&str>) -> eyre::Result<()> {
        self.signal("TERM")?;
        if let Some(signal) = second_signal {
            tokio::time::sleep(Duration::from_millis(300)).await;
            self.signal(signal)?;
        }
        let end = Instant::now() + WAIT_TIMEOUT;
        if let Some(child) = &mut self.child {
            let status = loop {
                if let Some(status) = child.try_wait()? {
                    break status;
                }
                ensure!(Instant::now() < end, "{} did not end", self.name);
                tokio::time::sleep(Duration::from_millis(5)).await;
            };
            ensure!(status.success(), "{} ended with {status}", self.name);
        }
        self.start().await
    }

    /// Kills the process.
    #[allow(dead_code, reason = "used by other tests")]
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.check_running()?;
        let from = Instant::now();
        self.end_process();
        self.disturbances.add(from);
        Ok(())
    }

    /// Kills the process and starts it again.
    pub async fn crash(&mut self) -> eyre::Result<()> {
        self.check_running()?;
        let from = Instant::now();
        self.end_process();
        let started = self.start().await;
        self.disturbances.add(from);
        started
    }

    /// Pauses the process.
    pub async fn pause(&self, time: Duration) -> eyre::Result<()> {
        let from = Instant::now();
        self.signal("STOP")?;
        tokio::time::sleep(time).await;
        self.signal("CONT")?;
        self.disturbances.add(from);
        Ok(())
    }

    /// Kills the process.
    pub fn end_process(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        std::io::Result::Ok(answer.starts_with("HTTP/1.1 200"))
    };
    asked.await.unwrap_or(false)
}
