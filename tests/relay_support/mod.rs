//! A relay on the loopback interface with backend servers that send scripted bytes.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxtailhill::blame::DaemonKey;
use foxtailhill::daemon::RelayParts;
use foxtailhill::dispatch::{CoreContext, DemandMeter, ModelQueues, RequestCore};
use foxtailhill::history::RequestHistory;
use foxtailhill::ids::VmId;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::limit::LimitService;
use foxtailhill::member::{PeerTable, ShareGrant, ShareSink, WHOLE_PPM};
use foxtailhill::memory::MemoryAccount;
use foxtailhill::metrics::DaemonMetrics;
use foxtailhill::peer::PeerClient;
use foxtailhill::platform::{self, PlatformFormat};
use foxtailhill::queue::WaitQueue;
use foxtailhill::relay::{
    ConfigHolder, CrashDetector, CrashWatch, DaemonRecord, DaemonRegistry, ReaderElection,
    RegistrySettings, RelayContext, RelayDispatcher, RelayFleet, RelayServer, RetryLimits,
    ServerChange, StreamOrigins, UpstreamPool, spawn_probes,
};
use foxtailhill::retry::RetryBudget;
use foxtailhill::routing::ExpectedFinishPolicy;
use foxtailhill::settings::LimitSettings;
use foxtailhill::suspect::SuspectTable;
use foxtailhill::timer::TimerService;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Time limit of every wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
pub const KEY: &str = "secret-key-of-the-team";
pub const HOST: &str = "desk.example";

/// What a scripted server does with one request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Writes bytes, in which `{id}` stands for the request id, and keeps the connection open.
    Answer(String),
    /// Writes bytes and closes the connection.
    AnswerAndClose(String),
    /// Writes bytes and crashes: no connection is accepted any more and this one ends in an orderly way.
    AnswerAndCrash(String),
    /// Writes bytes and crashes as a killed process does: this connection ends first, and a moment later the listener.
    AnswerAndDie(String),
    /// Writes bytes and resets the connection.
    Reset(String),
    /// Writes bytes with a pause after each part, and resets the connection.
    Paced(Vec<(String, Duration)>),
    /// Waits for a time and then writes an answer.
    AnswerAfter(Duration, String),
    /// Writes bytes as soon as the head is read, then reads the rest of the body.
    Early(String),
    /// Writes bytes and then nothing more, with the connection open.
    Stall(String),
    /// Writes `head` and then `part` without end if the request contains `trigger`, otherwise `answer`.
    EndlessOn {
        trigger: String,
        head: String,
        part: Vec<u8>,
        answer: String,
    },
    /// Crashes if the request contains `trigger`: no connection is accepted any more and this one is reset. Otherwise
    /// writes `answer`.
    CrashOn { trigger: String, answer: String },
}

/// Time in which the sockets of a killed process close, one after the other.
const DYING_TIME: Duration = Duration::from_millis(10);

/// A backend server that follows a script.
pub struct ScriptedServer {
    pub id: String,
    pub address: SocketAddr,
    scripts: Arc<Mutex<VecDeque<Script>>>,
    /// Requests as received, head and body.
    requests: Arc<Mutex<Vec<String>>>,
    /// Connections that the relay has closed during [`Script::Stall`].
    pub abandoned: Arc<AtomicUsize>,
    /// Number of the abandoned connections that were reset.
    pub resets: Arc<AtomicUsize>,
    pub connections: Arc<AtomicUsize>,
    /// Cancelled when the server crashes.
    pub crash: CancellationToken,
}

impl ScriptedServer {
    /// Binds a port and runs one script per request, the last of them for all further requests.
    pub async fn bind(
        group: &TaskGroup,
        id: &str,
        scripts: impl IntoIterator<Item = Script>,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            id: id.into(),
            address: listener.local_addr()?,
            scripts: Arc::new(Mutex::new(scripts.into_iter().collect())),
            requests: Arc::default(),
            abandoned: Arc::default(),
            resets: Arc::default(),
            connections: Arc::default(),
            crash: CancellationToken::new(),
        };
        let (scripts, requests) = (server.scripts.clone(), server.requests.clone());
        let (abandoned, connections) = (server.abandoned.clone(), server.connections.clone());
        let resets = server.resets.clone();
        let crash = server.crash.clone();
        let parent = group.clone();
        group.spawn_cancellable(async move {
            while let Some(Ok((stream, _))) = crash.run_until_cancelled(listener.accept()).await {
                connections.fetch_add(1, Ordering::SeqCst);
                let (scripts, requests) = (scripts.clone(), requests.clone());
                let (abandoned, resets) = (abandoned.clone(), resets.clone());
                let crash = crash.clone();
                parent.spawn_cancellable(async move {
                    // The script ends when the relay closes the connection.
                    let _ =
                        run_scripts(stream, &scripts, &requests, &abandoned, &resets, &crash).await;
                });
            }
        });
        Ok(server)
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.requests).clone()
    }
}

async fn run_scripts(
    mut stream: TcpStream,
    scripts: &Mutex<VecDeque<Script>>,
    requests: &Mutex<Vec<String>>,
    abandoned: &AtomicUsize,
    resets: &AtomicUsize,
    crash: &CancellationToken,
) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        let head_end = loop {
            if let Some(end) = find(&buffer, b"\r\n\r\n") {
                break end + 4;
            }
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
        let length: usize =
            header(&head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
        let script = {
            let mut scripts = lock(scripts);
            match scripts.len() {
                1 => scripts.front().cloned(),
                _ => scripts.pop_front(),
            }
        };
        let Some(script) = script else { return Ok(()) };
        let id = header(&head, "request-id").unwrap_or_default();
        let bytes = |text: &str| text.replace("{id}", &id).into_bytes();
        if let Script::Early(text) = &script {
            stream.write_all(&bytes(text)).await?;
        }
        while buffer.len() < head_end + length {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        }
        let request = String::from_utf8_lossy(&buffer[..head_end + length]).into_owned();
        let text = request.clone();
        lock(requests).push(request);
        buffer.drain(..head_end + length);
        match script {
            Script::Answer(text) => stream.write_all(&bytes(&text)).await?,
            Script::Early(_) => {}
            Script::AnswerAndClose(text) => {
                stream.write_all(&bytes(&text)).await?;
                return stream.shutdown().await;
            }
            Script::AnswerAndCrash(text) => {
                stream.write_all(&bytes(&text)).await?;
                crash.cancel();
                let address = stream.local_addr()?;
                while TcpStream::connect(address).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                return stream.shutdown().await;
            }
            Script::AnswerAndDie(text) => {
                stream.write_all(&bytes(&text)).await?;
                stream.shutdown().await?;
                tokio::time::sleep(DYING_TIME).await;
                crash.cancel();
                return Ok(());
            }
            Script::Reset(text) => {
                stream.write_all(&bytes(&text)).await?;
                // A reset discards bytes that have not arrived.
                tokio::time::sleep(Duration::from_millis(50)).await;
                return stream.set_zero_linger();
            }
            Script::AnswerAfter(time, text) => {
                tokio::time::sleep(time).await;
                stream.write_all(&bytes(&text)).await?;
            }
            Script::Paced(parts) => {
                for (text, pause) in parts {
                    stream.write_all(&bytes(&text)).await?;
                    tokio::time::sleep(pause).await;
                }
                return stream.set_zero_linger();
            }
            Script::CrashOn { trigger, .. } if text.contains(&trigger) => {
                crash.cancel();
                return stream.set_zero_linger();
            }
            Script::EndlessOn {
                trigger,
                head,
                part,
                ..
            } if text.contains(&trigger) => {
                stream.write_all(&bytes(&head)).await?;
                loop {
                    stream.write_all(&part).await?;
                }
            }
            Script::EndlessOn { answer, .. } => stream.write_all(&bytes(&answer)).await?,
            Script::CrashOn { answer, .. } => stream.write_all(&bytes(&answer)).await?,
            Script::Stall(text) => {
                stream.write_all(&bytes(&text)).await?;
                let read = stream.read_buf(&mut buffer).await;
                if !matches!(read, Ok(1..)) {
                    let reset = read.is_err() || is_reset(&stream).await;
                    resets.fetch_add(usize::from(reset), Ordering::SeqCst);
                    abandoned.fetch_add(1, Ordering::SeqCst);
                }
                return Ok(());
            }
        }
    }
}

/// Returns whether the peer resets a connection after its end was read.
async fn is_reset(stream: &TcpStream) -> bool {
    for _ in 0..100 {
        if matches!(stream.take_error(), Ok(Some(_))) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    false
}

/// Builds a complete answer with `Content-Length`.
pub fn whole(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\nServer-Stamp: stamp-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Builds the head of a chunked stream.
pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-1\r\nTransfer-Encoding: chunked\r\n\r\n".into()
}

/// Builds a chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Builds an event.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: word{id}\n\n")
}

/// A relay with the platform's formats.
pub struct RelayRig {
    pub address: SocketAddr,
    pub server: RelayServer,
    pub group: TaskGroup,
    pub fleet: Arc<RelayFleet>,
    pub configs: Arc<ConfigHolder>,
    /// Receives the pulses of peers.
    pub readers: Arc<ReaderElection>,
    pub dispatcher: Arc<RelayDispatcher<RelayParts, PlatformFormat>>,
    pub draining: Arc<AtomicBool>,
    version: u64,
    /// Its task ends when the last handle is dropped.
    _timer: TimerService,
}

impl RelayRig {
    /// Starts a relay without a configuration and without servers.
    pub async fn open() -> eyre::Result<Self> {
        let retries = RetryLimits {
            percent: 20,
            extra: 20,
        };
        Self::open_with(retries, LimitSettings::default()).await
    }

    /// Like [`Self::open`], with these limits on retries and callers.
    pub async fn open_with(
        retries: RetryLimits,
        caller_limits: LimitSettings,
    ) -> eyre::Result<Self> {
        let group = TaskGroup::new();
        let fleet = Arc::new(RelayFleet::new());
        let configs = Arc::new(ConfigHolder::new(
            platform::CONFIGURATION_KEY,
            platform::decode_config,
        ));
        let client = Arc::new(PeerClient::open(&group));
        let peer_table = Arc::new(PeerTable::new());
        let limits = LimitService::open(configs.teams(), peer_table, client);
        let now = Instant::now();
        let grant = ShareGrant {
            vm: VmId::random(),
            ppm: WHOLE_PPM,
            until: now + Duration::from_secs(3_600),
        };
        limits.adopt_share(Some(grant), now);
        let suspects = Arc::new(Mutex::new(SuspectTable::new(100)));
        let queues = ModelQueues::new(
            ExpectedFinishPolicy::new(fleet.read_parts().index().clone(), 1),
            fleet.clone(),
            suspects.clone(),
            1_000,
            WaitQueue::new,
        );
        let core = RequestCore::<RelayParts>::open(CoreContext {
            group: group.clone(),
            limiter: Arc::new(limits),
            queues,
            suspects,
            demand: Arc::new(DemandMeter::new()),
            retries: RetryBudget::new(),
            history: Arc::new(RequestHistory::new(1_000)),
            metrics: Arc::new(DaemonMetrics::new()),
            admission_limit: 1_000,
        });
        let crashes = Arc::new(CrashDetector::new());
        let pool = UpstreamPool::open(&group);
        let timer = TimerService::spawn(&group);
        spawn_probes(&fleet, &pool, &timer, &group);
        let watch = CrashWatch::open(DaemonKey::of("entry-0"), fleet.clone(), pool.clone());
        let health = Arc::default();
        let readers = ReaderElection::new("entry-0".into(), "north".into(), 250, health);
        let readers = Arc::new(readers);
        let (placement_requests, _ignored) = mpsc::unbounded_channel();
        let dispatcher = RelayDispatcher::open(RelayContext {
            zone: "north".into(),
            core: core.clone(),
            configs: configs.subscribe(),
            readers: readers.clone(),
            fleet: fleet.clone(),
            crashes: crashes.clone(),
            watch,
            origins: open_origins(&fleet),
            pool,
            memory: MemoryAccount::new(caller_limits.held()),
            format: Arc::new(PlatformFormat),
            retries,
            daemons: watch::channel(1).1,
            placement_requests,
        });
        let draining = Arc::new(AtomicBool::new(false));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = RelayServer::bind(
            &group,
            any,
            &caller_limits,
            dispatcher.clone(),
            draining.clone(),
        )
        .await?;
        let mut changes = fleet.subscribe();
        let pumped = core.clone();
        group.spawn_cancellable(async move {
            while changes.changed().await.is_ok() {
                pumped.grant_slots();
            }
        });
        let ticking = fleet.clone();
        group.spawn_cancellable(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                let now = Instant::now();
                ticking.tick(now);
                crashes.report(&ticking, &core, now);
            }
        });
        Ok(Self {
            address: server.address(),
            server,
            group,
            fleet,
            configs,
            readers,
            dispatcher,
            draining,
            version: 0,
            _timer: timer,
        })
    }

    /// Starts a relay with the standard configuration and one server of the plain service per list of scripts.
    pub async fn with_servers(
        scripts: Vec<Vec<Script>>,
    ) -> eyre::Result<(Self, Vec<ScriptedServer>)> {
        let mut rig = Self::open().await?;
        rig.configure(|_| {})?;
        let mut servers = Vec::new();
        for (index, scripts) in scripts.into_iter().enumerate() {
            let id = format!("i-{index}");
            let server = ScriptedServer::bind(&rig.group, &id, scripts).await?;
            rig.list_server(&server, "ready")?;
            servers.push(server);
        }
        Ok((rig, servers))
    }

    /// Applies a new version of the standard configuration with changes.
    pub fn configure(&mut self, change: impl FnOnce(&mut Value)) -> eyre::Result<()> {
        let record = self.next_record(change)?;
        self.configs.offer_record(record);
        Ok(())
    }

    /// Returns the record of a new version of the standard configuration with changes.
    pub fn next_record(&mut self, change: impl FnOnce(&mut Value)) -> eyre::Result<Bytes> {
        self.version += 3;
        let route = |name: &str, kind: &str, resumable: bool| {
            json!({
                "name": name, "host": HOST, "path-prefix": format!("/{name}/"), "kind": kind,
                "timeout-ms": 4_000, "target-latency-ms": 400, "priority": 0, "service": "desk",
                "max-attempts": 2, "public": false, "resumable": resumable, "gap-aim-ms": 250
            })
        };
        let mut patient = route("patient", "streaming", true);
        patient["gap-aim-ms"] = 500.into();
        patient["timeout-ms"] = 9_000.into();
        patient["target-latency-ms"] = 100.into();
        let mut config = json!({
            "version": self.version,
            "routes": [
                route("check", "idempotent", false),
                route("confirm", "non_idempotent", false),
                route("draft", "streaming", true),
                route("batch", "streaming", false),
                patient,
            ],
            "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
            "tenants": [{"name": "south", "api-keys": [KEY], "unit": "tokens", "plain-tokens": 1,
                "rate-per-s": 0, "burst": 0}],
        });
        change(&mut config);
        let record = config.to_string();
        platform::decode_config(record.as_bytes())?;
        Ok(record.into())
    }

    /// Adds a server to the fleet view with the state `state`.
    pub fn list_server(&self, server: &ScriptedServer, state: &str) -> eyre::Result<()> {
        let record = json!({
            "service": "desk", "address": server.address.to_string(), "zone": "north",
            "version": "v1", "slots": 4, "state": state, "cold-left-ms": 0, "seq": 1, "born": 1
        });
        let entry = platform::decode_server(&server.id, record.to_string().as_bytes())?;
        self.fleet
            .apply(vec![ServerChange::Put(entry)], Instant::now());
        Ok(())
    }

    /// Sends a request and returns all bytes of the answer up to the end of the connection.
    pub async fn send(&self, request: &str) -> eyre::Result<String> {
        let mut stream = TcpStream::connect(self.address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        // Bytes that arrived before a reset count as the answer.
        let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await?;
        if let Err(error) = read {
            eyre::ensure!(
                error.kind() == std::io::ErrorKind::ConnectionReset,
                "{error}"
            );
        }
        Ok(String::from_utf8_lossy(&answer).into_owned())
    }

    pub async fn shutdown(self) {
        self.group.shutdown().await;
    }
}

/// Builds a request with `Connection: close`.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Authorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: {}\r\n{extra}\r\n{body}",
        body.len()
    )
}

/// Waits until `condition` holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) -> eyre::Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        eyre::ensure!(Instant::now() < end, "{what} did not happen");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Runs a test body on a relay and shuts it down.
pub async fn finish(
    rig: RelayRig,
    check: impl Future<Output = eyre::Result<()>>,
) -> eyre::Result<()> {
    let result = check.await;
    rig.shutdown().await;
    result
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the origins of streams of a daemon without peers.
fn open_origins(fleet: &Arc<RelayFleet>) -> Arc<StreamOrigins> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let registry = DaemonRegistry::new(RegistrySettings {
        name: "entry-0".into(),
        record: DaemonRecord {
            vm: VmId::random(),
            zone: "north".into(),
            peer: any,
            pulse: any,
        },
        term: Duration::from_secs(30),
        settle_time: Duration::ZERO,
    });
    StreamOrigins::open(fleet.clone(), Arc::new(registry)).0
}
