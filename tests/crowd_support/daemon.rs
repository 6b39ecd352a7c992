//! A daemon process of either edition with its stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{OptionExt, bail, ensure};
use foxtailhill::ids::KeyDigest;
use foxtailhill::kernel::TaskGroup;
use foxtailhill_standins::cluster::{ClusterOptions, DaemonSpec, ServiceSpec, TestCluster};
use foxtailhill_standins::{ServiceOptions, unused_host};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::crowd_support::WAIT_TIMEOUT;
use crate::server::SoakServer;
use crate::store::SoakStore;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-the-south";
/// Time limit of one question, after which it is asked again on another connection.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// Which request path a daemon serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edition {
    /// Opaque requests on the users' platform.
    Relay,
    /// The product's own interface.
    Product,
}

/// Addresses that a daemon binds.
#[derive(Clone, Copy, Debug)]
pub struct CrowdAddresses {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    /// The readiness check; on the product it is a path of the admin address.
    pub ready: SocketAddr,
    /// The operators' address, which only the product has.
    pub operator: Option<SocketAddr>,
}

/// A daemon process with all that it needs. The process is killed when this is dropped.
pub struct CrowdDaemon {
    pub edition: Edition,
    pub addresses: CrowdAddresses,
    process: DaemonProcess,
    group: TaskGroup,
}

enum DaemonProcess {
    Relay(RelayProcess),
    Product(Box<TestCluster>),
}

struct RelayProcess {
    child: Child,
    settings: PathBuf,
    output: PathBuf,
    _server: SoakServer,
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        // The process may have ended by itself, and the files are in the directory of temporary ones.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.output);
    }
}

impl CrowdDaemon {
    /// Starts a daemon with `sections` of its settings, such as `limits`, and waits until it serves.
    pub async fn start(edition: Edition, sections: Value) -> eyre::Result<Self> {
        let group = TaskGroup::new();
        let (process, addresses) = match edition {
            Edition::Relay => start_relay(&group, sections).await?,
            Edition::Product => start_product(sections).await?,
        };
        let mut daemon = Self {
            edition,
            addresses,
            process,
            group,
        };
        daemon.ensure_serves("at the start").await?;
        Ok(daemon)
    }

    /// Ends the process and its stand-ins.
    pub async fn shutdown(self) {
        self.group.shutdown().await;
    }

    fn process_id(&self) -> eyre::Result<u32> {
        match &self.process {
            DaemonProcess::Relay(process) => Ok(process.child.id()),
            DaemonProcess::Product(cluster) => {
                let id = cluster.daemons[0].process_id();
                id.ok_or_eyre("the daemon has ended")
            }
        }
    }

    /// Fails if the process has ended.
    pub fn ensure_alive(&mut self) -> eyre::Result<()> {
        let is_running = match &mut self.process {
            DaemonProcess::Relay(process) => process.child.try_wait()?.is_none(),
            DaemonProcess::Product(cluster) => cluster.daemons[0].is_running()?,
        };
        ensure!(is_running, "the daemon ended");
        Ok(())
    }

    /// Returns the most resident memory that the process has had, in MB.
    pub fn peak_memory_mb(&mut self) -> eyre::Result<u64> {
        self.ensure_alive()?;
        let file = format!("/proc/{}/status", self.process_id()?);
        let status = std::fs::read_to_string(file)?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.ok_or_eyre("the process states no peak of its memory")?;
        let kib: u64 = peak.trim().trim_end_matches(" kB").parse()?;
        Ok(kib >> 10)
    }

    /// Returns the number of open descriptors of the process.
    pub fn descriptors(&self) -> eyre::Result<usize> {
        let folder = format!("/proc/{}/fd", self.process_id()?);
        Ok(std::fs::read_dir(folder)?.count())
    }

    /// Returns the number of lines that the process has logged.
    pub fn logged_lines(&self) -> eyre::Result<usize> {
        let text = match &self.process {
            DaemonProcess::Relay(process) => std::fs::read_to_string(&process.output)?,
            DaemonProcess::Product(cluster) => cluster.daemons[0].output(),
        };
        Ok(text.lines().count())
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> eyre::Result<()> {
        let command = format!("kill -TERM {}", self.process_id()?);
        let status = Command::new("sh").args(["-c", &command]).status()?;
        ensure!(status.success(), "`{command}` failed");
        Ok(())
    }

    /// Waits until the process has ended by itself.
    pub async fn wait_exit(&mut self) -> eyre::Result<ExitStatus> {
        match &mut self.process {
            DaemonProcess::Relay(process) => {
                let end = Instant::now() + WAIT_TIMEOUT;
                loop {
                    if let Some(status) = process.child.try_wait()? {
                        return Ok(status);
                    }
                    ensure!(Instant::now() < end, "the daemon did not end");
                    tokio::time::sleep(ASK_PAUSE).await;
                }
            }
            DaemonProcess::Product(cluster) => cluster.daemons[0].wait_exit(WAIT_TIMEOUT).await,
        }
    }

    /// Checks that an ordinary request is answered. A refusal may be repeated, as callers do.
    pub async fn ensure_serves(&mut self, when: &str) -> eyre::Result<()> {
        let (address, id) = (self.addresses.caller, rand::random::<u64>());
        let mut number = 0;
        let request =
            |head: String| format!("{head}Connection: close\r\nContent-Length: 5\r\n\r\nhello");
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            number += 1;
            let head = head(self.edition, &format!("ordinary-{id}-{number}"), Some(KEY));
            let answer = exchange(address, request(head).as_bytes()).await;
            self.ensure_alive()?;
            match answer {
                Ok(answer) if answer.starts_with("HTTP/1.1 200") => return Ok(()),
                answer => ensure!(
                    Instant::now() < end,
                    "{:?}: no request is served {when}: {answer:?}",
                    self.edition
                ),
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// Checks that `path` at one of the daemon's HTTP addresses is answered with 200.
    pub async fn ensure_answers(&mut self, address: SocketAddr, path: &str) -> eyre::Result<()> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let answer = exchange(address, request.as_bytes()).await;
            self.ensure_alive()?;
            match answer {
                Ok(answer) if answer.starts_with("HTTP/1.1 200") => return Ok(()),
                answer => ensure!(
                    Instant::now() < end,
                    "{:?}: {path} is not answered: {answer:?}",
                    self.edition
                ),
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// Returns the value of a metric that has no labels, such as `held_bytes`.
    pub async fn metric(&self, name: &str) -> eyre::Result<u64> {
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let text = exchange(self.addresses.admin, request.as_bytes()).await?;
        let prefix = format!("foxtailhill_{name} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        Ok(value
            .ok_or_eyre("there is no such metric")?
            .trim()
            .parse()?)
    }

    /// Checks that the product's operators can list the members.
    pub async fn ensure_operators_are_served(&mut self) -> eyre::Result<()> {
        let DaemonProcess::Product(cluster) = &self.process else {
            bail!("only the product has an address for operators");
        };
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let listed = tokio::time::timeout(ASK_TIMEOUT, cluster.op(0, &["members"])).await;
            match listed {
                Ok(Ok(output)) if output.status.success() => return Ok(()),
                listed => ensure!(Instant::now() < end, "operators are not served: {listed:?}"),
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }
}

/// Returns the head of an ordinary request without its framing. Ids must differ from each other.
pub fn head(edition: Edition, id: &str, key: Option<&str>) -> String {
    let path = match edition {
        Edition::Relay => "/check/1",
        Edition::Product => "/bookings/1",
    };
    let key = key.map_or(String::new(), |key| {
        format!("Authorization: Bearer {key}\r\n")
    });
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nIdempotency-Key: {id}\r\n\
         Deadline-Ms: 8000\r\n{key}"
    )
}

/// Sends a request on its own connection and reads until the daemon closes it.
pub async fn exchange(address: SocketAddr, request: &[u8]) -> eyre::Result<String> {
    let exchanged = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    };
    tokio::time::timeout(ASK_TIMEOUT, exchanged).await?
}

async fn start_relay(
    group: &TaskGroup,
    sections: Value,
) -> eyre::Result<(DaemonProcess, CrowdAddresses)> {
    let store = SoakStore::bind(group).await?;
    put_config(&store);
    let server = SoakServer::bind(group, "i-0".into(), Default::default()).await?;
    store.put("keyed.servers", &server.id, &server.record("ready", 1));
    let host = unused_host();
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind((host, 0)).await?);
    }
    let bound: Result<Vec<SocketAddr>, _> = listeners.iter().map(TcpListener::local_addr).collect();
    let bound = bound?;
    drop(listeners);
    let addresses = CrowdAddresses {
        caller: bound[0],
        ready: bound[1],
        peer: bound[2],
        admin: bound[3],
        operator: None,
    };
    let mut settings = json!({
        "vm": "entry-0", "zone": "north",
        "listen": {
            "caller": addresses.caller, "ready": addresses.ready, "peer": addresses.peer,
            "pulse": addresses.peer, "admin": addresses.admin,
        },
        "store": {"address": store.address},
        "timing": {"balancer_lag": "200ms"},
    });
    add_sections(&mut settings, sections);
    let name = |kind: &str| format!("foxtailhill-crowd-{}.{kind}", addresses.caller);
    let file = std::env::temp_dir().join(name("json"));
    let output = std::env::temp_dir().join(name("log"));
    std::fs::write(&file, settings.to_string())?;
    let child = Command::new(env!("CARGO_BIN_EXE_foxtailhill"))
        .args(["serve", "--settings"])
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(std::fs::File::create(&output)?)
        .spawn()?;
    let process = RelayProcess {
        child,
        settings: file,
        output,
        _server: server,
    };
    Ok((DaemonProcess::Relay(process), addresses))
}

async fn start_product(sections: Value) -> eyre::Result<(DaemonProcess, CrowdAddresses)> {
    let mut settings = serde_json::Map::new();
    settings.insert(
        "timing".into(),
        json!({"term": "5s", "balancer_lag": "200ms", "report_period": "50ms"}),
    );
    for (name, section) in sections.as_object().into_iter().flatten() {
        settings.insert(name.clone(), section.clone());
    }
    let mut cluster = TestCluster::open(ClusterOptions {
        program: env!("CARGO_BIN_EXE_foxtailhill").into(),
        daemons: vec![DaemonSpec::new("entry-0", "north")],
        services: vec![ServiceSpec {
            name: "booking-0".into(),
            zone: "north".into(),
            group: "booking".into(),
            slots: 64,
            options: ServiceOptions::default(),
        }],
        settings,
        ..ClusterOptions::default()
    })
    .await?;
    cluster.wait_ready().await?;
    let declaration = json!({
        "teams": [{"name": "south", "rate": 10_000_000, "burst": 20_000_000}],
        "keys": [{"name": "south-1", "team": "south", "digest": KeyDigest::of(KEY.as_bytes()).to_string()}],
        "routes": [{"name": "bookings", "prefix": "/bookings", "target": {"service": "booking"}}],
        "backends": cluster.backends(),
    });
    cluster.declare(0, &declaration).await?;
    let bound = cluster.daemons[0].addresses();
    let addresses = CrowdAddresses {
        caller: bound.caller,
        peer: bound.peer,
        admin: bound.admin,
        ready: bound.admin,
        operator: Some(bound.operator),
    };
    Ok((DaemonProcess::Product(Box::new(cluster)), addresses))
}

/// Adds sections to settings; those that are there already are extended.
fn add_sections(settings: &mut Value, sections: Value) {
    for (name, section) in sections.as_object().into_iter().flatten() {
        match (settings[name].as_object_mut(), section.as_object()) {
            (Some(old), Some(new)) => old.extend(new.clone()),
            _ => settings[name] = section.clone(),
        }
    }
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
