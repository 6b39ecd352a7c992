//! Whole tables of the store with arbitrary numbers in arbitrary fields of their records.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use bytes::Bytes;
use foxtailhill::dispatch::FleetSource;
use foxtailhill::error::Result;
use foxtailhill::ids::{LogOffset, StoreEra, VmId};
use foxtailhill::platform::{decode_config, decode_server};
use foxtailhill::relay::{
    ConfigHolder, DaemonRecord, DaemonRegistry, KeyedRecord, RegistrySettings, RelayFleet,
    ServerSink, TableChange, TableRead, TableSink,
};
use foxtailhill::routing::ColdBound;
use serde_json::Value;

/// Text in the place of a number.
#[derive(Clone, Debug, TypeGenerator)]
enum OddNumber {
    Signed(i64),
    Unsigned(u64),
    Fraction(i32, u16),
    /// A number of this many digits.
    Long(u8),
    Power(i8, i16),
    Other(u8),
}

impl OddNumber {
    fn text(&self) -> String {
        match self {
            Self::Signed(number) => number.to_string(),
            Self::Unsigned(number) => number.to_string(),
            Self::Fraction(whole, part) => format!("{whole}.{part}"),
            Self::Long(digits) => "9".repeat(usize::from(*digits % 60) + 1),
            Self::Power(digits, exponent) => format!("{digits}e{exponent}"),
            Self::Other(choice) => {
                let others = ["null", "true", "\"7\"", "[]", "{}", "[7]", "{\"a\":7}"];
                others[usize::from(*choice) % others.len()].into()
            }
        }
    }
}

/// A record in which some fields have odd numbers.
#[derive(Clone, Debug, TypeGenerator)]
struct OddRecord {
    key: u8,
    fields: Vec<(u8, OddNumber)>,
}

/// Replaces the marks `#0`, `#1` and so on of `template` by the numbers after them, or by those of `odd`.
fn fill(template: &str, odd: &[(u8, OddNumber)]) -> String {
    let mut parts = template.split('#');
    let mut text = parts.next().unwrap_or_default().to_owned();
    for (index, part) in parts.enumerate() {
        let end = part.find([',', '}', ']']).unwrap_or(part.len());
        let odd = odd
            .iter()
            .find(|(field, _)| usize::from(*field % 32) == index);
        match odd {
            Some((_, number)) => text.push_str(&number.text()),
            None => text.push_str(&part[..end]),
        }
        text.push_str(&part[end..]);
    }
    text
}

const SERVER: &str = r#"{"service":"desk","address":"10.0.0.9:8080","zone":"north","version":"v1","slots":#4,
    "state":"ready","cold-left-ms":#0,"seq":#7,"born":#1700000000000,"models":[{"name":"m1","version":#2,"adapters":[]}],
    "at-hand":#null}"#;

const CONFIG: &str = r#"{"version":#7,"routes":[{"name":"check","host":"desk.example","path-prefix":"/check/",
    "kind":"streaming","timeout-ms":#4000,"target-latency-ms":#400,"priority":#0,"gap-aim-ms":#250,"max-attempts":#2,
    "backends":[{"service":"desk","weight":#90},{"service":"other","weight":#10}]}],
    "services":[{"name":"desk","max-conns":#100,"cold-per-s":#3,"engine":{"slots":#4,"kv-capacity":#1000,
    "weights-mb":#2000,"adapter-slots":#8,"loads-per-s":#1,"models":[{"name":"m1","weights-mb":#100,"load-time-s":#5,
    "adapters":#2,"adapter-mb":#1,"warm-s":#1,"disk-s":#2}]}}],
    "tenants":[{"name":"south","api-keys":["k1"],"priority":#1,"plain-tokens":#200,"rate-per-s":#100,"burst":#100}]}"#;

fn read(records: Vec<KeyedRecord>) -> TableRead {
    TableRead {
        records,
        next: LogOffset(100),
        era: StoreEra(1),
        ..TableRead::default()
    }
}

fn record(key: &str, value: impl Into<Bytes>) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: Some(value.into()),
        offset: LogOffset(7),
    }
}

/// Does with the list of servers what a daemon does.
fn use_fleet(fleet: &Arc<RelayFleet>, now: Instant) -> Result<()> {
    fleet.tick(now);
    fleet.set_cold_shares(|_, _| Some((3, now + Duration::from_secs(30))));
    let _ = (
        fleet.cold_servers(),
        fleet.evacuated_zones(),
        fleet.outstanding_work(),
    );
    let snapshot = fleet.snapshot();
    let _ = snapshot.choose_service("desk", "north", &[]);
    let copy = fleet.changes_since(None);
    let bytes = bincode::serde::encode_to_vec(&copy, bincode::config::standard())
        .map_err(|error| foxtailhill::Error::internal(error.to_string()))?;
    let (copy, _) = bincode::serde::decode_from_slice(&bytes, bincode::config::standard())
        .map_err(|error| foxtailhill::Error::internal(error.to_string()))?;
    let other = Arc::new(RelayFleet::new());
    let base = other.position();
    assert!(other.apply_copy(copy, base, now));
    assert_eq!(other.servers(), fleet.servers());
    Ok(())
}

/// Guards against a number in a record of a server that ends the reader of the table or hides the records beside it.
#[test]
fn odd_numbers_of_servers_leave_the_other_servers() {
    bolero::check!()
        .with_type::<Vec<OddRecord>>()
        .for_each(|odd| {
            let now = Instant::now();
            let fleet = Arc::new(RelayFleet::new());
            let sink = ServerSink::new(decode_server, fleet.clone());
            let mut records = vec![record("i-1", fill(SERVER, &[]))];
            for odd in odd.iter().take(20) {
                let key = format!("{}-foreign", odd.key);
                records.push(record(&key, fill(SERVER, &odd.fields)));
            }
            records.sort_by(|a, b| a.key.cmp(&b.key));
            sink.apply(TableChange::Snapshot(read(records.clone())));
            use_fleet(&fleet, now).unwrap();
            sink.apply(TableChange::Records(read(records)));
            use_fleet(&fleet, now).unwrap();
            assert!(fleet.servers().iter().any(|server| server.id == "i-1"));
        });
}

/// Does with a configuration what a daemon does for each request and planning round.
fn use_config(holder: &ConfigHolder, now: Instant) {
    let Some(config) = holder.subscribe().borrow().clone() else {
        return;
    };
    for route in config.routes() {
        let _ = now + route.silence_limit();
        let _ = now + route.wait_limit();
        let _ = now + route.target_latency * 4;
        let _ = now + route.timeout;
        let _ = (route.pick_service(0.0), route.pick_service(0.99));
        let _ = config.is_deferrable(route, "desk");
    }
    for service in config.services() {
        let _ = service.max_idle_connections(3);
        let _ = ColdBound::default().shared_requests(service.cold_rate);
        for model in service.engine.iter().flat_map(|engine| &engine.models) {
            for held in [&[][..], std::slice::from_ref(&model.name)] {
                let _ = now + model.load_time(held, &[]).0 * 4;
                let _ = now + model.load_time(&[], held).0 * 4;
            }
        }
    }
}

/// Guards against a number in the configuration that a daemon cannot compute with.
#[test]
fn odd_numbers_of_the_configuration_can_be_computed_with() {
    bolero::check!()
        .with_type::<Vec<(u8, OddNumber)>>()
        .for_each(|odd| {
            let holder = ConfigHolder::new("config", decode_config);
            holder.apply(TableChange::Snapshot(read(vec![record(
                "config",
                fill(CONFIG, odd),
            )])));
            use_config(&holder, Instant::now());
        });
}

/// Guards against bytes in the table of daemons that end its reader or hide the records beside them.
#[test]
fn odd_records_of_daemons_leave_the_other_daemons() {
    let daemon = DaemonRecord {
        vm: VmId(7),
        zone: "north".into(),
        peer: "10.0.0.1:1".parse().unwrap(),
        pulse: "10.0.0.1:1".parse().unwrap(),
    };
    let sound = bincode::serde::encode_to_vec(&daemon, bincode::config::standard()).unwrap();
    bolero::check!()
        .with_type::<Vec<(u8, Vec<u8>)>>()
        .for_each(|odd| {
            let registry = DaemonRegistry::new(RegistrySettings {
                name: "entry-0".into(),
                record: daemon.clone(),
                term: Duration::from_secs(30),
                settle_time: Duration::from_secs(1),
            });
            let mut records = vec![record("entry-1", sound.clone())];
            records.extend(odd.iter().map(|(key, bytes)| {
                let mut value = sound.clone();
                value.splice(..usize::from(*key).min(value.len()), bytes.iter().copied());
                record(&format!("{key}-foreign"), value)
            }));
            registry.apply(TableChange::Snapshot(read(records.clone())));
            registry.apply(TableChange::Records(read(records)));
            let now = Instant::now();
            let _ = (
                registry.share(now),
                registry.cold_share(&"i-1".into(), 7, now),
            );
            let copy = registry.registrations(now);
            registry.apply_copy(copy, now);
            assert!(registry.peers().iter().any(|(name, _)| name == "entry-1"));
        });
}

/// Checks that the templates are records without any odd number.
#[test]
fn templates_are_sound() -> eyre::Result<()> {
    assert!(decode_server("i-1", fill(SERVER, &[]).as_bytes()).is_ok());
    let config = fill(CONFIG, &[]);
    assert!(serde_json::from_str::<Value>(&config).is_ok(), "{config}");
    assert!(decode_config(config.as_bytes()).is_ok());
    Ok(())
}
