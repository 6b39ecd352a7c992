//! Starts the processes of a case, sends its requests and writes its record.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, BodyEnd, Message};
use crate::option;

/// Longest wait for a process to accept requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest silence of a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A started process. It is killed when this is dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let words = [format!("-{name}"), self.child.id().to_string()];
        match Command::new("kill").args(words).status() {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(format!("kill ended with {status}")),
            Err(error) => Err(format!("cannot run kill: {error}")),
        }
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A line that a process has written to standard output.
pub struct OutputLine {
    pub process: String,
    pub text: String,
}

/// The processes and files of a case.
pub struct Case {
    /// Whether the disruption happens.
    pub trouble: bool,
    pub store: String,
    started: Instant,
    folder: PathBuf,
    record: File,
    lines: Sender<OutputLine>,
    pub output: Receiver<OutputLine>,
}

/// An answer as a client saw it.
pub struct ClientAnswer {
    pub message: Message,
    pub end: BodyEnd,
}

impl Case {
    /// Creates the record `--record` and the temporary folder `--folder`.
    pub fn open(options: &HashMap<String, String>) -> Result<Self, String> {
        let record = File::create(option(options, "record")?).map_err(|error| error.to_string())?;
        let (lines, output) = channel();
        Ok(Self {
            trouble: !std::env::var("TROUBLE").is_ok_and(|value| value == "0"),
            store: free_address()?,
            started: Instant::now(),
            folder: option(options, "folder")?.into(),
            record,
            lines,
            output,
        })
    }

    /// Returns a sender to [`Self::output`].
    pub fn lines(&self) -> Sender<OutputLine> {
        self.lines.clone()
    }

    /// Adds a line to the record.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.record.write_all(line.as_bytes());
    }

    /// Starts a program whose standard output goes to [`Self::output`].
    pub fn start(&self, name: &str, program: &str, words: &[&str]) -> Result<Process, String> {
        let log = File::create(self.folder.join(format!("{name}.err")));
        let mut child = Command::new(program)
            .args(words)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.map_err(|error| error.to_string())?)
            .spawn()
            .map_err(|error| format!("cannot start {program}: {error}"))?;
        let (lines, process) = (self.lines.clone(), name.to_owned());
        let log = File::create(self.folder.join(format!("{name}.out")));
        let mut log = log.map_err(|error| error.to_string())?;
        if let Some(output) = child.stdout.take() {
            thread::spawn(move || {
                for text in BufReader::new(output).lines().map_while(Result::ok) {
                    let _ = writeln!(log, "{text}");
                    let _ = lines.send(OutputLine {
                        process: process.clone(),
                        text,
                    });
                }
            });
        }
        // Read by the script if this driver is interrupted.
        let pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        pids.and_then(|mut pids| writeln!(pids, "{}", child.id()))
            .map_err(|error| error.to_string())?;
        Ok(Process {
            name: name.into(),
            child,
        })
    }

    /// Starts a stand-in.
    pub fn start_standin(&self, name: &str, words: &[&str]) -> Result<Process, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        self.start(name, &program.display().to_string(), words)
    }

    /// Starts the store and waits until it accepts calls.
    pub fn start_store(&self) -> Result<Process, String> {
        let process = self.start_standin("store", &["store", "--bind", &self.store])?;
        wait_until("the store accepts calls", || {
            TcpStream::connect(&self.store).is_ok()
        })?;
        Ok(process)
    }

    /// Starts a daemon with the command of the deploy file and its settings template, with the values of a small
    /// deployment. Returns it with the address for clients once it is ready.
    pub fn start_daemon(&self, name: &str, zone: &str) -> Result<(Process, String), String> {
        let addresses = self.reserve_daemon()?;
        let process = self.start_daemon_at(name, zone, &addresses)?;
        Ok((process, addresses[0].clone()))
    }

    /// Returns addresses for a daemon: for clients, for the readiness check, for other daemons and for administration.
    pub fn reserve_daemon(&self) -> Result<[String; 4], String> {
        Ok([
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
        ])
    }

    /// As [`Self::start_daemon`], with given addresses.
    pub fn start_daemon_at(
        &self,
        name: &str,
        zone: &str,
        addresses: &[String; 4],
    ) -> Result<Process, String> {
        let template =
            fs::read_to_string("deploy/settings.jsonc").map_err(|error| error.to_string())?;
        let [front, ready, peer, admin] = addresses;
        let port = |address: &str| address.rsplit(':').next().unwrap_or_default().to_owned();
        let quoted = |text: &str| format!("\"{text}\"");
        let settings = template
            .replace("{{node-name|json}}", &quoted(name))
            .replace("{{zone|json}}", &quoted(zone))
            .replace("{{listen.front|json}}", &quoted(front))
            .replace("{{listen.ready-addr|json}}", &quoted(ready))
            .replace("{{ip}}", "127.0.0.1")
            .replace("{{port-range.0}}", &port(peer))
            .replace("{{port-range.1}}", &port(admin))
            .replace("{{platform.address|json}}", &quoted(&self.store))
            .replace("{{limits.cpu-share|json}}", "0.25")
            .replace("{{limits.link-mbps|json}}", "1000.0")
            .replace("{{bounds.budget-extra}}", "58")
            .replace("{{bounds.lease-ms}}", "3000");
        let file = self.folder.join(format!("{name}.jsonc"));
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let file = file.display().to_string();
        let process = self.start(
            name,
            "target/release/foxtailhill",
            &["serve", "--settings", &file],
        )?;
        wait_until("the daemon is ready", || {
            let request = format!("GET /api/ready HTTP/1.1\r\nHost: {ready}\r\n\r\n");
            send(ready, &request, b"").is_ok_and(|answer| answer.message.word(1) == "200")
        })?;
        Ok(process)
    }
}

/// Returns a free address on the loopback interface.
pub fn free_address() -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    Ok(address.to_string())
}

/// Waits until `condition` holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) -> Result<(), String> {
    let end = Instant::now() + START_TIMEOUT;
    while !condition() {
        if Instant::now() > end {
            return Err(format!("not within {START_TIMEOUT:?}: {what}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn send(address: &str, head: &str, body: &[u8]) -> io::Result<ClientAnswer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut input = BufReader::new(stream);
    let message = http::read_head(&mut input)?;
    let mut message = message.ok_or(io::ErrorKind::UnexpectedEof)?;
    let end = http::read_body(&mut input, &mut message);
    Ok(ClientAnswer { message, end })
}

/// Writes the newest record of a key.
pub fn append(store: &str, topic: &str, key: &str, value: &[u8]) -> io::Result<()> {
    let record = [&[key.len() as u8], key.as_bytes(), value].concat();
    let body = [&(record.len() as u32).to_be_bytes(), record.as_slice()].concat();
    let head = format!(
        "POST /api/log-append?topic={topic}&part=0 HTTP/1.1\r\nHost: {store}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(store)?;
    stream.write_all(&[head.as_bytes(), &body].concat())?;
    let mut input = BufReader::new(stream);
    let answer = http::read_head(&mut input)?;
    match answer.is_some_and(|answer| answer.word(1) == "200") {
        true => Ok(()),
        false => Err(io::Error::other("the store refused a record")),
    }
}
