//! Log output: one line per event, with levels per module and the id of the request that an event belongs to.

use std::fmt::Arguments;
use std::future::Future;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime};

use log::{LevelFilter, Record};
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::settings::{LogFormat, LogSettings};

tokio::task_local! {
    static REQUEST_ID: SmolStr;
}

#[derive(Serialize)]
struct LogLine<'a> {
    time: String,
    level: &'a str,
    module: &'a str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<SmolStr>,
}

/// Maximum number of lines queued for standard output.
const MAX_QUEUED_LINES: usize = 1_024;
/// Maximum number of lines per second: several for each request of a daemon at its design load.
const MAX_LINES_PER_S: u32 = 500;
/// Longest wait for queued lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two attempts to queue a message for the end of the process.
const FLUSH_PAUSE: Duration = Duration::from_millis(10);

enum LogMessage {
    Line(Vec<u8>),
    /// Requests a signal on the channel once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// When dropped, waits up to 1 s until all queued lines are written.
pub struct LogGuard {
    messages: SyncSender<LogMessage>,
    unlimited: Arc<AtomicBool>,
}

impl LogGuard {
    /// Makes room for the lines that tell why the process ends: waits up to 1 s until all queued lines are written, and
    /// lifts the limit of lines per second.
    pub fn prepare_end(&self) {
        self.unlimited.store(true, Ordering::Relaxed);
        self.flush();
    }

    fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let (done, written) = sync_channel(1);
        // A reader of standard output that has stopped reading must not keep the process from ending.
        let mut message = LogMessage::Flush(done);
        while let Err(TrySendError::Full(returned)) = self.messages.try_send(message) {
            if Instant::now() >= end {
                return;
            }
            message = returned;
            std::thread::sleep(FLUSH_PAUSE);
        }
        let _ = written.recv_timeout(end.saturating_duration_since(Instant::now()));
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.flush();
    }
}

/// Collects the parts of a line and queues the line without blocking. Lines above the rate limit or the capacity of
/// the queue are dropped and counted.
struct LineWriter {
    line: Vec<u8>,
    messages: SyncSender<LogMessage>,
    /// Set at the end of the process.
    unlimited: Arc<AtomicBool>,
    window_start: Instant,
    lines_in_window: u32,
    dropped: u64,
}

impl LineWriter {
    fn enqueue(&mut self, line: Vec<u8>) {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            (self.window_start, self.lines_in_window) = (Instant::now(), 0);
        }
        self.lines_in_window += 1;
        let admitted =
            self.lines_in_window <= MAX_LINES_PER_S || self.unlimited.load(Ordering::Relaxed);
        let sent = admitted && self.messages.try_send(LogMessage::Line(line)).is_ok();
        self.dropped += u64::from(!sent);
    }

    /// Logs how many lines were dropped, once the rate limit and the queue admit lines again.
    fn report_dropped(&mut self) {
        if self.dropped == 0 || self.lines_in_window >= MAX_LINES_PER_S {
            return;
        }
        let message = format!("{} log lines were dropped", self.dropped);
        let line = LogLine {
            time: timestamp(),
            level: "WARN",
            module: module_path!(),
            message,
            request_id: None,
        };
        let mut line = serde_json::to_vec(&line).unwrap_or_default();
        line.push(b'\n');
        if self.messages.try_send(LogMessage::Line(line)).is_ok() {
            self.dropped = 0;
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(data);
        Ok(data.len())
    }

    /// Ends a line; the logger calls it after each one.
    fn flush(&mut self) -> std::io::Result<()> {
        if !self.line.is_empty() {
            self.report_dropped();
            let line = std::mem::take(&mut self.line);
            self.enqueue(line);
        }
        Ok(())
    }
}

/// Starts logging to standard output on a dedicated thread. A process calls this once.
///
/// # Errors
///
/// `Internal` if logging was started before or the thread cannot be started.
pub fn init(settings: &LogSettings) -> Result<LogGuard> {
    let failed =
        |error: &dyn std::fmt::Display| Error::internal(format!("cannot start logging: {error}"));
    let (sender, messages) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log".into())
        .stack_size(LOG_STACK_BYTES)
        .spawn(move || write_lines(&messages))
        .map_err(|error| failed(&error))?;
    let unlimited = Arc::new(AtomicBool::new(false));
    let writer = LineWriter {
        line: Vec::new(),
        messages: sender.clone(),
        unlimited: unlimited.clone(),
        window_start: Instant::now(),
        lines_in_window: 0,
        dropped: 0,
    };
    build_dispatch(settings, Box::new(writer))
        .apply()
        .map_err(|error| failed(&error))?;
    log_panics();
    Ok(LogGuard {
        messages: sender,
        unlimited,
    })
}

/// Logs each panic before the usual report on standard error.
fn log_panics() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let thread = thread.name().unwrap_or("unnamed");
        let task = tokio::task::try_id().map_or(String::new(), |id| format!(", task {id}"));
        let place = panic.location().map(ToString::to_string);
        log::error!(
            "thread `{thread}`{task} panicked at {}: {}",
            place.as_deref().unwrap_or("an unknown place"),
            panic.payload_as_str().unwrap_or("no message")
        );
        report(panic);
    }));
}

/// Stack of the thread that writes lines, in bytes.
const LOG_STACK_BYTES: usize = 64 << 10;

fn write_lines(messages: &Receiver<LogMessage>) {
    let mut output = std::io::stdout();
    for message in messages {
        // Errors are ignored: without a reader of standard output there is no place to report them.
        match message {
            LogMessage::Line(line) => {
                let _ = output.write_all(&line).and_then(|()| output.flush());
            }
            LogMessage::Flush(done) => {
                let _ = done.send(());
            }
        }
    }
}

/// Builds the logger that formats lines and writes them to `output`.
pub fn build_dispatch(settings: &LogSettings, output: Box<dyn Write + Send>) -> fern::Dispatch {
    let mut dispatch = fern::Dispatch::new().level(settings.level);
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch = match settings.format {
        LogFormat::Json => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}", format_json(message, record)))
        }),
        LogFormat::Text => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}", format_text(message, record)))
        }),
    };
    dispatch.chain(output)
}

/// Runs `future` so that its log lines carry `id`. Tasks that it spawns do not inherit the id.
pub fn scope_request_id<F: Future>(id: SmolStr, future: F) -> impl Future<Output = F::Output> {
    REQUEST_ID.scope(id, future)
}

/// Returns the id of the request that the current task serves, if any.
pub fn request_id() -> Option<SmolStr> {
    REQUEST_ID.try_with(Clone::clone).ok()
}

/// Returns the most verbose level that `settings` enable in any module.
pub fn max_level(settings: &LogSettings) -> LevelFilter {
    let modules = settings.modules.values().copied().max();
    modules.map_or(settings.level, |level| level.max(settings.level))
}

fn format_json(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let line = LogLine {
        time: timestamp(),
        level: record.level().as_str(),
        module: record.target(),
        message: message.to_string(),
        request_id: request_id(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

fn format_text(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let id = request_id().map_or(String::new(), |id| format!(" [{id}]"));
    let (level, module) = (record.level(), record.target());
    format!("{} {level} {module}{id}: {message}", timestamp())
}

fn timestamp() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}
