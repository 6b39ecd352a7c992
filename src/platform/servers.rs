//! Decoding of the records that backend servers write about themselves.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderValue;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::relay::{HeldModel, ServerEntry};

/// A record of a server. Fields with an underscore are read only to check the record, as every server writes them.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServerRecord {
    service: SmolStr,
    address: SocketAddr,
    zone: SmolStr,
    #[serde(rename = "version")]
    _version: SmolStr,
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
/// `Invalid` if a field is missing or has the wrong type, if the state is unknown, or if the id is not a valid header
/// value. Other programs may write such records.
pub fn decode_server(id: &str, record: &[u8]) -> Result<ServerEntry> {
    HeaderValue::from_str(id)
        .map_err(|_| Error::invalid(format!("id of server `{id}` is not a valid header value")))?;
    let server: ServerRecord = serde_json::from_slice(record).map_err(|error| {
        Error::invalid(format!("record of server `{id}` is malformed: {error}"))
    })?;
    Ok(ServerEntry {
        id: id.into(),
        service: server.service,
        address: server.address,
        zone: server.zone,
        slots: server.slots,
        leaving: matches!(server.state, StateRecord::Draining),
        models: server.models.into_iter().map(HeldModel::from).collect(),
        born_ms: server.born,
        seq: server.seq,
        cold_left: Duration::try_from_secs_f64(server.cold_left_ms / 1_000.0).unwrap_or_default(),
        in_host_memory: model_names(&server.at_hand, "in-memory"),
        on_disk: model_names(&server.at_hand, "on-disk"),
    })
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

/// Reads a list of model names. They only make loading faster, so a malformed list counts as empty.
fn model_names(object: &Value, field: &str) -> Vec<SmolStr> {
    let list = object.get(field).and_then(Value::as_array);
    let names = list.into_iter().flatten().filter_map(|item| {
        let name = item.as_str().or_else(|| item.get("name")?.as_str());
        name.map(SmolStr::from)
    });
    names.collect()
}
