//! The platform states at the start of a daemon whether the whole system starts for the first time.

use eyre::ensure;

use crate::start_support::{ANY_ADDRESS, StartedDaemon, settings};

const VARIABLE: &str = "FOXTAILHILL_BOOTSTRAP";

/// Returns whether a daemon takes its start for the first one of the system.
fn is_first_start(variables: &[(&str, &str)]) -> eyre::Result<bool> {
    let mut daemon = StartedDaemon::spawn_with(&settings(&ANY_ADDRESS), variables)?;
    let mut is_first = false;
    loop {
        let line = daemon.expect("")?;
        is_first |= line.contains("the system starts for the first time");
        if line.contains("is serving") {
            break;
        }
    }
    daemon.signal("TERM")?;
    let status = daemon.wait()?;
    ensure!(status.success(), "{status}");
    Ok(is_first)
}

/// Guards against a first start that is not known as such, so that all streams that are taken up then are refused, and against
/// a later start that is taken for the first, so that streams change their software version.
#[test]
fn first_start_is_stated_by_the_platform() -> eyre::Result<()> {
    assert!(is_first_start(&[(VARIABLE, "true")])?);
    for text in ["false", "", "1"] {
        assert!(!is_first_start(&[(VARIABLE, text)])?, "{text}");
    }
    assert!(!is_first_start(&[])?);
    Ok(())
}
