//! A daemon process on the loopback interface, with the readings of its memory and descriptors, and callers that flood it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{OptionExt, ensure};
use foxtailhill::kernel::TaskGroup;
use foxtailhill_standins::unused_host;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::server::SoakServer;
use crate::store::SoakStore;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-the-south";
/// Time limit of every wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which the callers of a flood stay connected after the last of them has sent its part.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// A daemon with a store and one backend server. The process is killed when this is dropped.
pub struct FloodedDaemon {
    pub caller: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Child,
    _server: SoakServer,
}

/// The highest readings of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakUsage {
    pub resident_mb: u64,
    pub descriptors: usize,
}

impl Drop for FloodedDaemon {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl FloodedDaemon {
    /// Starts a daemon with these `limits`, which may open `files` files, and waits until it is ready.
    pub async fn start(group: &TaskGroup, limits: Value, files: usize) -> eyre::Result<Self> {
        let store = SoakStore::bind(group).await?;
        put_config(&store);
        let server = SoakServer::bind(group, "i-0".into(), Default::default()).await?;
        store.put("keyed.servers", &server.id, &server.record("ready", 1));
        let host = unused_host();
        let mut listeners = Vec::new();
        for _ in 0..4 {
            listeners.push(TcpListener::bind((host, 0)).await?);
        }
        let addresses: Result<Vec<SocketAddr>, _> =
            listeners.iter().map(TcpListener::local_addr).collect();
        let addresses = addresses?;
        drop(listeners);
        let settings = json!({
            "vm": "entry-0", "zone": "north",
            "listen": {
                "caller": addresses[0], "ready": addresses[1], "peer": addresses[2],
                "pulse": addresses[2], "admin": addresses[3],
            },
            "store": {"address": store.address},
            "limits": limits,
            "log": {"level": "warn"},
        });
        let file = format!("foxtailhill-flood-{}.json", addresses[0]);
        let file = std::env::temp_dir().join(file);
        std::fs::write(&file, settings.to_string())?;
        // The shell replaces itself by the daemon, which thus has the id of the child.
        let command = format!("ulimit -n {files} && exec \"$0\" serve --settings \"$1\"");
        let child = Command::new("sh")
            .args(["-c", &command, env!("CARGO_BIN_EXE_foxtailhill")])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        let mut daemon = Self {
            caller: addresses[0],
            ready: addresses[1],
            settings: file,
            child,
            _server: server,
        };
        let end = Instant::now() + WAIT_TIMEOUT;
        while !daemon.is_ready().await {
            daemon.ensure_alive()?;
            ensure!(Instant::now() < end, "the daemon did not become ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(daemon)
    }

    async fn is_ready(&self) -> bool {
        let request = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = exchange(self.ready, request).await;
        answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    fn ensure_alive(&mut self) -> eyre::Result<()> {
        let status = self.child.try_wait()?;
        ensure!(status.is_none(), "the daemon ended: {status:?}");
        Ok(())
    }

    fn read_usage(&mut self) -> eyre::Result<PeakUsage> {
        self.ensure_alive()?;
        let process = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = std::fs::read_to_string(process.join("status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.ok_or_eyre("the process states no resident memory")?;
        let kib: u64 = resident.trim().trim_end_matches(" kB").parse()?;
        Ok(PeakUsage {
            resident_mb: kib >> 10,
            descriptors: std::fs::read_dir(process.join("fd"))?.count(),
        })
    }

    /// Lets `count` callers send with `send`, each on its own connection, which all stay open until the last of them has
    /// sent its part or was refused. Returns the highest usage of the daemon.
    pub async fn flood<F>(
        &mut self,
        count: usize,
        send: impl Fn(TcpStream) -> F,
    ) -> eyre::Result<PeakUsage>
    where
        F: Future<Output = TcpStream> + Send + 'static,
    {
        let mut callers = tokio::task::JoinSet::new();
        for _ in 0..count {
            let stream = TcpStream::connect(self.caller).await?;
            let sent = send(stream);
            // A daemon that reads no more of a caller leaves it waiting.
            callers.spawn(tokio::time::timeout(WAIT_TIMEOUT, sent));
        }
        let mut open = Vec::new();
        let mut peak = PeakUsage::default();
        let mut end = None;
        while end.is_none_or(|end| Instant::now() < end) {
            while let Some(sent) = callers.try_join_next() {
                open.push(sent?);
            }
            if open.len() == count && end.is_none() {
                end = Some(Instant::now() + HOLD_TIME);
            }
            let usage = self.read_usage()?;
            peak.resident_mb = peak.resident_mb.max(usage.resident_mb);
            peak.descriptors = peak.descriptors.max(usage.descriptors);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        println!("{count} callers: {peak:?}");
        Ok(peak)
    }

    /// Checks that an ordinary request is answered. A refusal may be repeated, as callers do.
    pub async fn ensure_serves(&mut self) -> eyre::Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT;
        for number in 0.. {
            let request = format!(
                "POST /check/1 HTTP/1.1\r\n{}Connection: close\r\nContent-Length: 5\r\n\r\nhello",
                headers(&format!("ordinary-{number}"))
            );
            let answer = exchange(self.caller, &request).await;
            self.ensure_alive()?;
            match answer {
                Ok(answer) if answer.starts_with("HTTP/1.1 200") => return Ok(()),
                answer => ensure!(Instant::now() < end, "no request is served: {answer:?}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }
}

/// Returns the headers of a request that every daemon serves.
pub fn headers(id: &str) -> String {
    format!(
        "Host: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer {KEY}\r\n"
    )
}

async fn exchange(address: SocketAddr, request: &str) -> eyre::Result<String> {
    let exchanged = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer)
    };
    tokio::time::timeout(WAIT_TIMEOUT, exchanged).await?
}

fn put_config(store: &SoakStore) {
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "check", "host": HOST, "path-prefix": "/check/", "kind": "idempotent", "max-attempts": 2,
            "timeout-ms": 6_000, "target-latency-ms": 400, "service": "desk",
        }],
        "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
        "tenants": [{"name": "south", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}],
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}
