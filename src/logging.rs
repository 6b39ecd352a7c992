//! Log output: one line an event, with levels by module and the id of the request that an event belongs to.

use std::fmt::Arguments;
use std::future::Future;
use std::io::Write;
use std::time::SystemTime;

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

/// Starts logging to standard error. A process calls this once.
///
/// # Errors
///
/// `Internal` if logging was started before.
pub fn init(settings: &LogSettings) -> Result<()> {
    dispatch(settings, Box::new(std::io::stderr()))
        .apply()
        .map_err(|error| Error::internal(format!("cannot start logging: {error}")))
}

/// Builds the log pipeline that writes to `output`.
pub fn dispatch(settings: &LogSettings, output: Box<dyn Write + Send>) -> fern::Dispatch {
    let mut dispatch = fern::Dispatch::new().level(settings.level);
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch = match settings.format {
        LogFormat::Json => dispatch
            .format(|out, message, record| out.finish(format_args!("{}", json(message, record)))),
        LogFormat::Text => dispatch
            .format(|out, message, record| out.finish(format_args!("{}", text(message, record)))),
    };
    dispatch.chain(output)
}

/// Runs `future` so that its log lines carry `id`. Tasks that it spawns do not inherit the id.
pub fn in_request<F: Future>(id: SmolStr, future: F) -> impl Future<Output = F::Output> {
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

fn json(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let line = LogLine {
        time: now(),
        level: record.level().as_str(),
        module: record.target(),
        message: message.to_string(),
        request_id: request_id(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

fn text(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let id = request_id().map_or(String::new(), |id| format!(" [{id}]"));
    let (level, module) = (record.level(), record.target());
    format!("{} {level} {module}{id}: {message}", now())
}

fn now() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}
