//! Streams beside servers of several software versions, at daemon processes that are killed and restarted.

#[path = "soak/daemon.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod daemon;
#[path = "soak/store.rs"]
#[allow(dead_code, reason = "used by the soak")]
mod store;
mod stream_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{OptionExt, WrapErr, ensure};
use foxtailhill::kernel::TaskGroup;
use futures_util::future::try_join_all;

use crate::daemon::SoakDaemon;
use crate::stream_support::caller::{Resumption, STREAM_TIMEOUT, StreamCaller};
use crate::stream_support::server::{LAST_EVENT, StreamServer};
use crate::stream_support::{StreamFleet, check_all, check_complete, read_all, resume_all};

const DAEMONS: usize = 3;
/// Streams that begin at a daemon in a test.
const STREAMS: usize = 12;
/// Last event that callers read before a disturbance.
const BREAK_EVENT: u64 = 5;
/// Requests to each daemon whose retry budget then allows as many retries as a test needs.
const WARM_UP_STREAMS: usize = 60;
/// Time in which all daemons must know a change of the list of servers.
const LIST_TIME: Duration = Duration::from_secs(2);
/// Time in which an answer that cannot go on has ended.
const END_TIME: Duration = Duration::from_secs(2);
/// Time after which all daemons know a software version.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Longest time between two writes of a daemon's registration.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(15);
/// Time after its start in which a daemon takes streams up again.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// A request id that no caller has used.
const UNKNOWN: Resumption<'_> = Resumption::Lines(b"Resumes: call-ffffffffffff\r\n");

/// Runs a test with a fleet of its own.
async fn with_fleet<T: AsyncFnOnce(StreamFleet) -> eyre::Result<()>>(
    name: &str,
    versions: &[&str],
    count: usize,
    test: T,
) -> eyre::Result<()> {
    let group = TaskGroup::new();
    let started = StreamFleet::start(&group, name, DAEMONS, versions, count).await;
    let result = match started {
        Ok(fleet) => test(fleet).await,
        Err(error) => Err(error),
    };
    group.shutdown().await;
    result
}

/// Returns the addresses of all daemons but the first.
fn others(fleet: &StreamFleet) -> Vec<SocketAddr> {
    (1..fleet.daemons.len())
        .map(|daemon| fleet.caller(daemon))
        .collect()
}

/// Returns the addresses of all daemons.
fn all(fleet: &StreamFleet) -> Vec<SocketAddr> {
    (0..fleet.daemons.len())
        .map(|daemon| fleet.caller(daemon))
        .collect()
}

/// Crashes the server of each version that serves most of the streams.
fn crash_busiest(fleet: &StreamFleet, callers: &[StreamCaller]) -> eyre::Result<()> {
    let mut interrupted = 0;
    for version in ["v1", "v2"] {
        let runs = |server: &&Arc<StreamServer>| {
            let ids = callers.iter().map(|caller| &caller.tries[0].id);
            ids.filter(|id| server.runs(id) > 0).count()
        };
        let servers = fleet.servers_of(version);
        let busiest = servers.into_iter().max_by_key(runs);
        let busiest = busiest.ok_or_eyre("no server")?;
        interrupted += runs(&busiest);
        busiest.crash();
    }
    println!("{interrupted} streams were interrupted");
    Ok(())
}

/// Checks that all answers end broken in time, with events of one version.
async fn check_broken(callers: &mut [StreamCaller]) -> eyre::Result<()> {
    let from = Instant::now();
    read_all(callers).await?;
    let time = from.elapsed();
    check_all(callers, |caller| {
        caller.check_events()?;
        ensure!(!caller.is_complete(), "complete");
        Ok(())
    })?;
    ensure!(time < END_TIME, "open for {time:?}");
    Ok(())
}

/// Takes the streams up at each of the daemons and checks that every try is refused at once.
async fn check_refused(
    fleet: &StreamFleet,
    callers: &mut [StreamCaller],
    daemons: &[SocketAddr],
    resumption: Resumption<'_>,
) -> eyre::Result<()> {
    for daemon in daemons {
        resume_all(callers, &[*daemon], resumption, LAST_EVENT).await?;
        check_all(callers, StreamCaller::check_events)?;
        check_all(callers, |caller| fleet.check_refusal(caller))?;
    }
    Ok(())
}

/// Guards against a stream that goes on at another software version when its daemon is gone, and against one that does
/// not go on although its version has servers with room.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_goes_on_at_the_version_that_began_it() -> eyre::Result<()> {
    with_fleet("killed", &["v1", "v2"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        fleet.daemons[0].kill()?;
        read_all(&mut callers).await?;
        resume_all(&mut callers, &others(&fleet), Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, check_complete)
    })
    .await
}

/// Guards against an answer that goes on at another software version after its server has crashed.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_a_crashed_server_goes_on_at_its_version() -> eyre::Result<()> {
    /// Fewer than the retry budget allows to go on.
    const DAEMON_STREAMS: usize = 6;
    with_fleet("crash", &["v1", "v2"], 2, async |fleet| {
        fleet.warm_up(WARM_UP_STREAMS).await?;
        let mut callers = Vec::new();
        for daemon in 0..DAEMONS {
            callers.extend(fleet.begin(daemon, DAEMON_STREAMS, BREAK_EVENT).await?);
        }
        crash_busiest(&fleet, &callers)?;
        read_all(&mut callers).await?;
        check_all(&callers, check_complete)
    })
    .await
}

/// Guards against a try that takes the version of the server that continued an answer for that of the first event.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_at_its_version_after_a_crash_and_a_kill() -> eyre::Result<()> {
    with_fleet("crash-kill", &["v1", "v2"], 2, async |mut fleet| {
        fleet.warm_up(WARM_UP_STREAMS).await?;
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        crash_busiest(&fleet, &callers)?;
        let continued = callers
            .iter_mut()
            .map(|caller| caller.read_to(3 * BREAK_EVENT));
        try_join_all(continued).await?;
        fleet.daemons[0].kill()?;
        read_all(&mut callers).await?;
        resume_all(&mut callers, &others(&fleet), Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, check_complete)
    })
    .await
}

/// Guards against an answer that goes on at another software version, stays open or looks complete once no server of its
/// version is left.
#[tokio::test(flavor = "multi_thread")]
async fn answer_ends_broken_without_servers_of_its_version() -> eyre::Result<()> {
    with_fleet("last", &["v1", "v2"], 1, async |fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        let version = callers[0].version().to_owned();
        for server in fleet.servers_of(&version) {
            server.crash();
        }
        callers.retain(|caller| caller.version() == version);
        check_broken(&mut callers).await
    })
    .await
}

/// Guards against a try that is held, or goes on at another software version, although no server of its own is left.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_is_refused_without_servers_of_its_version() -> eyre::Result<()> {
    with_fleet("gone", &["v1", "v2"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        let version = callers[0].version().to_owned();
        callers.retain(|caller| caller.version() == version);
        fleet.daemons[0].kill()?;
        for server in fleet.servers_of(&version) {
            server.leave(&fleet.store);
        }
        tokio::time::sleep(LIST_TIME).await;
        read_all(&mut callers).await?;
        check_refused(&fleet, &mut callers, &others(&fleet), Resumption::First).await
    })
    .await
}

/// Guards against streams that are refused without need: with one software version they go on at any daemon, whatever
/// their tries name, also at a daemon that was restarted beside another one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_one_version_go_on_anywhere() -> eyre::Result<()> {
    with_fleet("one", &["v1"], 3, async |mut fleet| {
        // Longer than any stream, so that no other version can have begun one.
        tokio::time::sleep(STREAM_TIMEOUT + SETTLE_TIME).await;
        let resumed = [Resumption::First, Resumption::Unnamed, UNKNOWN].map(async |resumption| {
            let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
            callers.iter_mut().for_each(StreamCaller::hang_up);
            resume_all(&mut callers, &all(&fleet), resumption, LAST_EVENT).await?;
            read_all(&mut callers).await?;
            check_all(&callers, check_complete)
        });
        try_join_all(resumed).await?;
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        fleet.daemons[0].kill()?;
        fleet.daemons[1].kill()?;
        fleet.daemons[1].start().await?;
        tokio::time::sleep(RESTART_TIME).await;
        read_all(&mut callers).await?;
        for (resumption, callers) in [Resumption::First, Resumption::Unnamed, UNKNOWN]
            .into_iter()
            .zip(callers.chunks_mut(STREAMS / 3))
        {
            let daemons = others(&fleet);
            resume_all(callers, &daemons, resumption, BREAK_EVENT + 2).await?;
        }
        read_all(&mut callers).await?;
        check_all(&callers, check_complete)
    })
    .await
}

/// Guards against streams that are all refused after a restart of all daemons, although there was only one software version.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_one_version_go_on_after_a_restart_of_all_daemons() -> eyre::Result<()> {
    with_fleet("restarted", &["v1"], 3, async |mut fleet| {
        // The daemons write what they know with their registrations.
        tokio::time::sleep(STREAM_TIMEOUT + SETTLE_TIME + REGISTRATION_PERIOD).await;
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        for daemon in &mut fleet.daemons {
            daemon.kill()?;
        }
        read_all(&mut callers).await?;
        try_join_all(fleet.daemons.iter_mut().map(SoakDaemon::start)).await?;
        tokio::time::sleep(RESTART_TIME).await;
        resume_all(&mut callers, &all(&fleet), Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, check_complete)
    })
    .await
}

/// Guards against a third try that goes on at another software version: it names the request of the first event, not
/// the one before it.
#[tokio::test(flavor = "multi_thread")]
async fn third_try_goes_on_at_the_version_of_the_first_event() -> eyre::Result<()> {
    with_fleet("third", &["v1", "v2"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        fleet.daemons[0].kill()?;
        read_all(&mut callers).await?;
        let (second, third) = (fleet.caller(1), fleet.caller(2));
        resume_all(&mut callers, &[second], Resumption::First, 2 * BREAK_EVENT).await?;
        callers.iter_mut().for_each(StreamCaller::hang_up);
        resume_all(&mut callers, &[third], Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, check_complete)
    })
    .await
}

/// Guards against a stream of which nothing is known that goes on at a guessed software version while two serve.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_unknown_version_is_refused_beside_two() -> eyre::Result<()> {
    let long = format!("Resumes: {}\r\n", "x".repeat(300));
    let resumptions = [
        UNKNOWN,
        Resumption::Unnamed,
        Resumption::Lines(b"Resumes: \r\n"),
        Resumption::Lines(b"Resumes: \xff\xfe\r\n"),
        Resumption::Lines(b"Resumes: call-fffffffffff1\r\nResumes: call-fffffffffff2\r\n"),
        Resumption::Lines(long.as_bytes()),
    ];
    with_fleet("unknown", &["v1", "v2"], 2, async |fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        callers.iter_mut().for_each(StreamCaller::hang_up);
        for resumption in resumptions {
            check_refused(&fleet, &mut callers, &all(&fleet), resumption)
                .await
                .wrap_err_with(|| resumption.to_string())?;
        }
        resume_all(&mut callers, &others(&fleet), Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, check_complete)
    })
    .await
}

/// Guards against a stream that began before the second software version appeared and goes on at that one.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_at_its_version_after_another_appeared() -> eyre::Result<()> {
    with_fleet("appears", &["v1"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        fleet.add_servers("v2", 2).await?;
        tokio::time::sleep(LIST_TIME).await;
        fleet.daemons[0].kill()?;
        read_all(&mut callers).await?;
        resume_all(&mut callers, &others(&fleet), Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, check_complete)
    })
    .await
}

/// Guards against a stream that goes on at the newer software version after its own has left as planned.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_refused_after_its_version_has_left() -> eyre::Result<()> {
    with_fleet("release", &["v1", "v2"], 2, async |fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        let version = callers[0].version().to_owned();
        callers.retain(|caller| caller.version() == version);
        for server in fleet.servers_of(&version) {
            server.drain(&fleet.store);
        }
        tokio::time::sleep(LIST_TIME).await;
        for server in fleet.servers_of(&version) {
            server.leave(&fleet.store);
        }
        check_broken(&mut callers).await?;
        tokio::time::sleep(LIST_TIME).await;
        check_refused(&fleet, &mut callers, &all(&fleet), Resumption::First).await
    })
    .await
}

/// Guards against a stream that goes on at a guessed software version after all daemons were killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_refused_when_no_daemon_remembers_it() -> eyre::Result<()> {
    with_fleet("forgotten", &["v1", "v2"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        for daemon in &mut fleet.daemons {
            daemon.kill()?;
        }
        read_all(&mut callers).await?;
        try_join_all(fleet.daemons.iter_mut().map(SoakDaemon::start)).await?;
        resume_all(&mut callers, &all(&fleet), Resumption::First, LAST_EVENT).await?;
        check_all(&callers, StreamCaller::check_events)?;
        tokio::time::sleep(RESTART_TIME).await;
        check_refused(&fleet, &mut callers, &all(&fleet), Resumption::First).await
    })
    .await
}

/// Guards against the same after the daemons were killed and started one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn stream_never_changes_its_version_over_a_rolling_restart() -> eyre::Result<()> {
    with_fleet("rolling", &["v1", "v2"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        for daemon in &mut fleet.daemons {
            daemon.crash().await?;
        }
        read_all(&mut callers).await?;
        tokio::time::sleep(RESTART_TIME).await;
        resume_all(&mut callers, &all(&fleet), Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, StreamCaller::check_events)?;
        // A daemon that has asked the others may still know the version.
        callers.retain(|caller| !caller.is_complete());
        check_all(&callers, |caller| fleet.check_refusal(caller))
    })
    .await
}

/// Guards against a daemon that was paused while a stream began and takes it up at a guessed software version.
#[tokio::test(flavor = "multi_thread")]
async fn stream_never_changes_its_version_at_a_daemon_that_was_paused() -> eyre::Result<()> {
    /// Time for which the other daemons are paused before the streams begin.
    const PAUSE_TIME: Duration = Duration::from_secs(3);
    with_fleet("paused", &["v1", "v2"], 2, async |mut fleet| {
        for paused in [1, 2] {
            fleet.daemons[paused].signal("STOP")?;
        }
        tokio::time::sleep(PAUSE_TIME).await;
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        fleet.daemons[0].kill()?;
        for paused in [1, 2] {
            fleet.daemons[paused].signal("CONT")?;
        }
        read_all(&mut callers).await?;
        resume_all(&mut callers, &others(&fleet), Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, StreamCaller::check_events)?;
        callers.retain(|caller| !caller.is_complete());
        check_all(&callers, |caller| fleet.check_refusal(caller))
    })
    .await
}

/// Guards against a stream that goes on at another software version while the servers of its own are full.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_does_not_change_its_version_while_that_is_full() -> eyre::Result<()> {
    /// Time for which the servers of a version refuse all requests.
    const FULL_TIME: Duration = Duration::from_secs(1);
    with_fleet("full", &["v1", "v2"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        let version = callers[0].version().to_owned();
        callers.retain(|caller| caller.version() == version);
        fleet.daemons[0].kill()?;
        read_all(&mut callers).await?;
        let set_full = |is_full| {
            let servers = fleet.servers_of(&version);
            servers
                .into_iter()
                .for_each(|server| server.set_full(is_full));
        };
        set_full(true);
        let daemons = others(&fleet);
        let resumed = resume_all(&mut callers, &daemons, Resumption::First, LAST_EVENT);
        let emptied = async {
            tokio::time::sleep(FULL_TIME).await;
            set_full(false);
        };
        let (resumed, ()) = tokio::join!(resumed, emptied);
        resumed?;
        read_all(&mut callers).await?;
        check_all(&callers, StreamCaller::check_events)?;
        for caller in callers.iter_mut().filter(|caller| !caller.is_complete()) {
            let last = caller.tries.last().ok_or_eyre("no try")?;
            ensure!(last.status == "503", "{}", last.status);
            ensure!(
                fleet.servers_with(&last.id).is_empty(),
                "refused, but has run"
            );
        }
        let (_, mut refused): (Vec<_>, Vec<_>) =
            callers.into_iter().partition(StreamCaller::is_complete);
        println!("{} tries were refused", refused.len());
        // Longer than the wait that a full server asks for.
        tokio::time::sleep(FULL_TIME).await;
        resume_all(&mut refused, &daemons, Resumption::First, LAST_EVENT).await?;
        read_all(&mut refused).await?;
        check_all(&refused, check_complete)
    })
    .await
}

/// Guards against a stream that goes on at its server after that has started again, under its id, with another software
/// version.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_a_server_that_returns_with_another_version() -> eyre::Result<()> {
    with_fleet("returns", &["v1"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        let returned = fleet.servers[0].clone();
        returned.crash();
        fleet.daemons[0].kill()?;
        let returned = returned.restart(&fleet.group, &fleet.store, "v2").await?;
        fleet.servers.push(returned);
        tokio::time::sleep(LIST_TIME).await;
        read_all(&mut callers).await?;
        resume_all(&mut callers, &others(&fleet), Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        // Nobody was told of the streams while one version served, and the daemon that knew them is gone.
        check_all(&callers, |caller| {
            check_complete(caller).or_else(|_| {
                caller.check_events()?;
                fleet.check_refusal(caller)
            })
        })
    })
    .await
}

/// Guards against a stream of which nothing is known that goes on at the only software version left, although another
/// one has just gone.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_unknown_version_is_refused_after_a_version_has_gone() -> eyre::Result<()> {
    with_fleet("just-gone", &["v1", "v2"], 2, async |fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        callers.iter_mut().for_each(StreamCaller::hang_up);
        let version = callers[0].version().to_owned();
        callers.retain(|caller| caller.version() == version);
        for server in fleet.servers_of(&version) {
            server.leave(&fleet.store);
        }
        tokio::time::sleep(LIST_TIME).await;
        for resumption in [UNKNOWN, Resumption::Unnamed] {
            check_refused(&fleet, &mut callers, &all(&fleet), resumption)
                .await
                .wrap_err_with(|| resumption.to_string())?;
        }
        Ok(())
    })
    .await
}

/// Guards against daemons that have never known the software version of a stream, as it left while they were down, and
/// take the stream up at the only version that they know.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_refused_at_daemons_that_never_knew_its_version() -> eyre::Result<()> {
    with_fleet("never-known", &["v1", "v2"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        let version = callers[0].version().to_owned();
        callers.retain(|caller| caller.version() == version);
        for daemon in &mut fleet.daemons {
            daemon.kill()?;
        }
        for server in fleet.servers_of(&version) {
            server.leave(&fleet.store);
        }
        read_all(&mut callers).await?;
        try_join_all(fleet.daemons.iter_mut().map(SoakDaemon::start)).await?;
        tokio::time::sleep(RESTART_TIME).await;
        for resumption in [Resumption::First, Resumption::Unnamed] {
            check_refused(&fleet, &mut callers, &all(&fleet), resumption)
                .await
                .wrap_err_with(|| resumption.to_string())?;
        }
        Ok(())
    })
    .await
}

/// Guards against a third try that goes on at another software version after both daemons before it were killed.
#[tokio::test(flavor = "multi_thread")]
async fn stream_never_changes_its_version_over_two_killed_daemons() -> eyre::Result<()> {
    with_fleet("two-killed", &["v1", "v2"], 2, async |mut fleet| {
        let mut callers = fleet.begin(0, STREAMS, BREAK_EVENT).await?;
        fleet.daemons[0].kill()?;
        read_all(&mut callers).await?;
        let (second, third) = (fleet.caller(1), fleet.caller(2));
        resume_all(&mut callers, &[second], Resumption::First, 2 * BREAK_EVENT).await?;
        fleet.daemons[1].kill()?;
        read_all(&mut callers).await?;
        resume_all(&mut callers, &[third], Resumption::First, LAST_EVENT).await?;
        read_all(&mut callers).await?;
        check_all(&callers, StreamCaller::check_events)?;
        callers.retain(|caller| !caller.is_complete());
        check_all(&callers, |caller| fleet.check_refusal(caller))
    })
    .await
}
