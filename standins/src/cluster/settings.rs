//! Settings files of test daemons.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhill::ids::KeyDigest;
use serde_json::{Map, Value, json};

use crate::cluster::{DaemonAddresses, DaemonSpec, OPERATOR_KEY};

/// Input of [`render_settings`].
#[derive(Clone, Debug)]
pub struct SettingsInput {
    pub spec: DaemonSpec,
    pub addresses: DaemonAddresses,
    /// Address at which other daemons reach this daemon's peer service.
    pub peer_advertised: SocketAddr,
    pub log: SocketAddr,
    pub weights: SocketAddr,
    pub vms: SocketAddr,
    pub list_lag: Duration,
    /// Sections that replace the default ones.
    pub sections: Map<String, Value>,
}

/// Renders a settings file. Its default lease term and report period are short, so that tests run fast.
pub fn render_settings(input: &SettingsInput) -> Value {
    let list_lag = format!("{}ms", input.list_lag.as_millis());
    let mut settings = json!({
        "vm": input.spec.name,
        "zone": input.spec.zone,
        "listen": {
            "caller": input.addresses.caller,
            "operator": input.addresses.operator,
            "peer": input.addresses.peer,
            "peer_advertised": input.peer_advertised,
            "admin": input.addresses.admin,
        },
        "platform": {
            "log": input.log,
            "weights": input.weights,
            "vms": input.vms,
            "list_lag": list_lag,
        },
        "bootstrap_operator": KeyDigest::of(OPERATOR_KEY.as_bytes()).to_string(),
        "timing": {
            "term": "5s",
            "balancer_lag": "200ms",
            "report_period": "50ms",
        },
    });
    for (name, section) in &input.sections {
        settings[name] = section.clone();
    }
    settings
}
