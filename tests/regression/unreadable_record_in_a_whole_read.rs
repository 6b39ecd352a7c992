//! A whole read of a table, in which the newest record of a known server or daemon cannot be read, removed it.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use foxtailhill::ids::VmId;
use foxtailhill::kernel::TaskGroup;
use foxtailhill::platform::{EVACUATION_PREFIX, StoreClient, decode_server};
use foxtailhill::relay::{
    DaemonRecord, DaemonRegistry, EvacuationSink, LeaseStore, RecordStore, RegistrySettings,
    RelayFleet, ServerSink, StoreTable, TableChange, TableSink,
};
use serde_json::{Value, json};

use crate::relay_support::{Script, ScriptedServer};

fn server() -> String {
    let record = json!({
        "service": "desk", "address": "10.0.0.9:8080", "zone": "north", "version": "v1", "slots": 4,
        "state": "ready", "cold-left-ms": 0, "seq": 7, "born": 1_700_000_000_000_u64,
        "models": [], "at-hand": {"in-memory": [], "on-disk": []}
    });
    record.to_string()
}

fn item(key: &str, value: impl AsRef<[u8]>) -> Value {
    json!({"key": key, "value": STANDARD.encode(value), "offset": 1})
}

/// Returns items of `key` that cannot be read.
fn odd_items(key: &str) -> [Value; 4] {
    [
        item(key, "{"),
        json!({"key": key, "value": "no base64", "offset": 2}),
        json!({"key": key, "value": 7, "offset": 2}),
        json!({"key": key, "value": "e30=", "offset": "two"}),
    ]
}

/// Binds a store that answers with one page of `items`.
async fn bind_store(group: &TaskGroup, items: &[Value]) -> eyre::Result<ScriptedServer> {
    let page = json!({"items": items, "has-more": false, "end": 9}).to_string();
    let length = page.len();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{page}");
    ScriptedServer::bind(group, "store", [Script::Answer(answer)]).await
}

/// Reads `table` as a whole, as a client of a store that answers with one page of `items`.
async fn read_whole(table: StoreTable, items: &[Value]) -> eyre::Result<TableChange> {
    let group = TaskGroup::new();
    let store = bind_store(&group, items).await?;
    let read = StoreClient::open(store.address).newest(table).await;
    group.shutdown().await;
    Ok(TableChange::Snapshot(read?))
}

/// Guards against a server that gets no requests because its newest record cannot be read, and against one that stays
/// when its record is gone.
#[tokio::test]
async fn unreadable_record_removes_no_server() -> eyre::Result<()> {
    for odd in odd_items("i-1") {
        let fleet = Arc::new(RelayFleet::new());
        let sink = ServerSink::new(decode_server, fleet.clone());
        let ids = || -> Vec<String> {
            let servers = fleet.servers();
            servers.iter().map(|server| server.id.to_string()).collect()
        };
        let items = [odd.clone(), item("i-2", server())];
        sink.apply(read_whole(StoreTable::Servers, &items).await?);
        eyre::ensure!(ids() == ["i-2"], "never readable {odd}: {:?}", ids());
        let items = [item("i-1", server()), item("i-2", server())];
        sink.apply(read_whole(StoreTable::Servers, &items).await?);
        let items = [odd.clone(), item("i-2", server())];
        sink.apply(read_whole(StoreTable::Servers, &items).await?);
        eyre::ensure!(ids() == ["i-1", "i-2"], "{odd}: {:?}", ids());
        let items = [item("i-2", server())];
        sink.apply(read_whole(StoreTable::Servers, &items).await?);
        eyre::ensure!(ids() == ["i-2"], "gone after {odd}: {:?}", ids());
    }
    Ok(())
}

/// Guards against a daemon that loses its share of the rates because its newest registration cannot be read.
#[tokio::test]
async fn unreadable_registration_removes_no_daemon() -> eyre::Result<()> {
    let daemon = DaemonRecord {
        vm: VmId::random(),
        zone: "north".into(),
        peer: "10.0.0.1:1".parse()?,
        pulse: "10.0.0.1:1".parse()?,
    };
    let encoded = bincode::serde::encode_to_vec(&daemon, bincode::config::standard())?;
    for odd in odd_items("entry-1") {
        let registry = DaemonRegistry::new(RegistrySettings {
            name: "entry-0".into(),
            record: daemon.clone(),
            term: Duration::from_secs(30),
            settle_time: Duration::from_secs(1),
        });
        let sound = [item("entry-1", &encoded)];
        registry.apply(read_whole(StoreTable::Daemons, &sound).await?);
        let change = read_whole(StoreTable::Daemons, std::slice::from_ref(&odd)).await?;
        registry.apply(change);
        let peers = registry.peers();
        eyre::ensure!(peers.iter().any(|(name, _)| name == "entry-1"), "{odd}");
        registry.apply(read_whole(StoreTable::Daemons, &[]).await?);
        eyre::ensure!(registry.peers().is_empty(), "gone after {odd}");
    }
    Ok(())
}

/// Guards against an evacuation that ends because the record of it cannot be read.
#[tokio::test]
async fn unreadable_record_ends_no_evacuation() -> eyre::Result<()> {
    for odd in odd_items("evacuate/north") {
        let fleet = Arc::new(RelayFleet::new());
        let sink = EvacuationSink::new(EVACUATION_PREFIX, fleet.clone());
        let table = StoreTable::Configuration;
        sink.apply(read_whole(table, std::slice::from_ref(&odd)).await?);
        let sound = [item("evacuate/north", "{}")];
        sink.apply(read_whole(table, &sound).await?);
        sink.apply(read_whole(table, std::slice::from_ref(&odd)).await?);
        eyre::ensure!(fleet.evacuated_zones().len() == 1, "{odd}");
        sink.apply(read_whole(table, &[]).await?);
        eyre::ensure!(fleet.evacuated_zones().is_empty(), "gone after {odd}");
    }
    Ok(())
}

/// Guards against a lease that is taken while the record of its holder cannot be read.
#[tokio::test]
async fn unreadable_lease_has_a_holder() -> eyre::Result<()> {
    for odd in odd_items("lease") {
        let group = TaskGroup::new();
        let store = bind_store(&group, std::slice::from_ref(&odd)).await?;
        let state = StoreClient::open(store.address).read_lease().await;
        group.shutdown().await;
        eyre::ensure!(state?.record.is_some(), "{odd}");
    }
    Ok(())
}
