//! A daemon that started after the store had been restored was ready with the older configuration of the store, while
//! its peers had a newer one.

use std::time::{Duration, Instant};

use foxtailhill::relay::{ConfigKnowledge, StartGate};

const KNOWN: ConfigKnowledge = ConfigKnowledge {
    in_force: 5,
    newest: 5,
    has_peers: true,
    hears_peers: true,
};

/// Guards against a daemon that is ready with a configuration that is older than that of a peer, or before it could
/// hear of it, and against one that is never ready or stops being so.
#[test]
fn starting_daemon_waits_for_the_configuration_of_its_peers() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let silent = ConfigKnowledge {
        newest: 0,
        hears_peers: false,
        ..KNOWN
    };
    let older = ConfigKnowledge { newest: 7, ..KNOWN };
    let alone = ConfigKnowledge {
        has_peers: false,
        ..silent
    };

    assert!(StartGate::open(start).check(KNOWN, at(0)).is_ok());
    assert!(StartGate::open(start).check(alone, at(0)).is_ok());

    let gate = StartGate::open(start);
    assert!(gate.check(silent, at(300)).is_err());
    assert!(gate.check(older, at(400)).is_err());
    assert!(gate.check(older, at(4_000)).is_err());
    assert!(gate.check(KNOWN, at(4_100)).is_ok());
    assert!(gate.check(older, at(4_200)).is_ok(), "a change revokes it");

    let gate = StartGate::open(start);
    assert!(gate.check(silent, at(1_000)).is_ok(), "its peers are down");
    let gate = StartGate::open(start);
    assert!(gate.check(older, at(5_000)).is_ok(), "the peer is cut off");
}
