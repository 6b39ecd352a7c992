//! Decoding of the records that backend servers write about themselves.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderValue;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::relay::{HeldModel, ServerEntry};

/// A record of a server.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServerRecord {
    service: SmolStr,
    address: SocketAddr,
    zone: SmolStr,
    #[serde(rename = "version")]
    software: SmolStr,
    slots: u32,
    state: StateRecord,
    /// How much longer the server is slow after its start.
    cold_left_ms: f64,
    /// Number of writes of the record since the start. In a report a field of this name counts orders.
    seq: u64,
    /// Unix time of the start, in milliseconds.
    #[serde(default)]
    born: u64,
    #[serde(default)]
    models: Vec<ModelRecord>,
    /// Models whose weights are in host memory or on disk.
    #[serde(default)]
    at_hand: Value,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateRecord {
    Ready,
    Draining,
}

/// A model that an engine holds.
#[derive(Deserialize)]
pub(super) struct ModelRecord {
    name: SmolStr,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    adapters: Vec<AdapterRecord>,
}

/// An adapter, given as its name or as an object with a name.
#[derive(Deserialize)]
#[serde(untagged)]
enum AdapterRecord {
    Name(SmolStr),
    Object { name: SmolStr },
}

/// Decodes the record of the backend server `id`.
///
/// # Errors
///
/// `Invalid` if a field is missing, has the wrong type or is outside its range, if the state is unknown, or if the id
/// cannot be stated in a header. Other programs may write such records.
pub fn decode_server(id: &str, record: &[u8]) -> Result<ServerEntry> {
    let malformed = |cause: &dyn Display| {
        Error::invalid(format!("record of server `{id}` is malformed: {cause}"))
    };
    if HeaderValue::from_str(id).is_err() {
        return Err(Error::invalid(format!(
            "id of server `{id}` is not a valid header value"
        )));
    }
    let server: ServerRecord = serde_json::from_slice(record).map_err(|error| malformed(&error))?;
    let cold_left = Duration::try_from_secs_f64(server.cold_left_ms / 1_000.0)
        .map_err(|error| malformed(&format_args!("`cold-left-ms`: {error}")))?;
    let entry = ServerEntry {
        id: id.into(),
        service: server.service,
        address: server.address,
        zone: server.zone,
        software: server.software,
        slots: server.slots,
        leaving: matches!(server.state, StateRecord::Draining),
        models: server.models.into_iter().map(HeldModel::from).collect(),
        born_ms: server.born,
        seq: server.seq,
        cold_left,
        in_host_memory: model_names(&server.at_hand, "in-memory")
            .map_err(|error| malformed(&error))?,
        on_disk: model_names(&server.at_hand, "on-disk").map_err(|error| malformed(&error))?,
    };
    entry.check()?;
    Ok(entry)
}

impl From<ModelRecord> for HeldModel {
    fn from(record: ModelRecord) -> Self {
        let adapters = record.adapters.into_iter();
        let adapters = adapters.map(|adapter| match adapter {
            AdapterRecord::Name(name) | AdapterRecord::Object { name } => name,
        });
        Self {
            name: record.name,
            version: record.version,
            adapters: adapters.collect(),
        }
    }
}

/// Reads the list of model names in a field of `at-hand`, which may be missing.
fn model_names(at_hand: &Value, field: &str) -> Result<Vec<SmolStr>> {
    let malformed = || Error::invalid(format!("`at-hand` has no list of models `{field}`"));
    let list = match at_hand {
        Value::Null => return Ok(Vec::new()),
        Value::Object(lists) => lists.get(field).unwrap_or(&Value::Null),
        _ => return Err(malformed()),
    };
    if list.is_null() {
        return Ok(Vec::new());
    }
    let names = list.as_array().ok_or_else(malformed)?.iter().map(|item| {
        let name = item.as_str().or_else(|| item.get("name")?.as_str());
        name.map(SmolStr::from).ok_or_else(malformed)
    });
    names.collect()
}
