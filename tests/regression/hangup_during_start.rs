//! A daemon that receives SIGHUP right after its start, or whose settings file is replaced at that moment.

use std::time::Duration;

use eyre::ensure;

use crate::start_support::{ANY_ADDRESS, StartedDaemon, settings};

/// Starts of a daemon; each gets its signal a little later than the one before.
const STARTS: u32 = 20;
const STEP: Duration = Duration::from_millis(1);
/// Time after which the settings are complete.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// Guards against a daemon that ends at a SIGHUP that arrives before it has read its settings.
#[test]
fn sighup_right_after_the_start_does_not_end_the_daemon() -> eyre::Result<()> {
    for start in 0..STARTS {
        let mut daemon = StartedDaemon::spawn(&settings(&ANY_ADDRESS))?;
        // The first line comes once the handlers are installed.
        daemon.expect("starting")?;
        std::thread::sleep(STEP * start);
        daemon.signal("HUP")?;
        daemon.expect("is serving")?;
        daemon.signal("TERM")?;
        let status = daemon.wait()?;
        ensure!(status.success(), "start {start}: {status}");
    }
    Ok(())
}

/// Guards against a daemon that ends because it reads its settings file while it is written.
#[test]
fn half_written_settings_are_read_again() -> eyre::Result<()> {
    let text = settings(&ANY_ADDRESS);
    for length in [0, 20, text.len() / 2, text.len() - 1] {
        let mut daemon = StartedDaemon::spawn(&text[..length])?;
        std::thread::sleep(WRITE_TIME);
        daemon.write_settings(&text)?;
        daemon.expect("is serving")?;
        daemon.signal("TERM")?;
        let status = daemon.wait()?;
        ensure!(status.success(), "{length} bytes: {status}");
    }
    Ok(())
}
