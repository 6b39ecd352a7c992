//! A connection between two requests was closed by a stop, or after its idle time, although the next request had arrived on
//! it and only had not been read yet.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use foxtailhill::relay::RetryLimits;
use foxtailhill::settings::LimitSettings;

use crate::relay_support::{RelayRig, Script, ScriptedServer, WAIT_TIMEOUT, request, whole};

/// Number of connections. On each the order of two events that are ready at once was random.
const CONNECTIONS: usize = 20;
const IDLE_TIME: Duration = Duration::from_secs(3);

async fn open(limits: LimitSettings) -> eyre::Result<RelayRig> {
    let retries = RetryLimits {
        percent: 20,
        extra: 20,
    };
    let mut rig = RelayRig::open_with(retries, limits).await?;
    rig.configure(|_| {})?;
    let answer = Script::Answer(whole("200 OK", "yes"));
    let server = ScriptedServer::bind(&rig.group, "i-0", [answer]).await?;
    rig.list_server(&server, "ready")?;
    Ok(rig)
}

fn call(id: &str) -> String {
    request("POST", "/confirm/1", id, "", "x").replace("Connection: close\r\n", "")
}

/// Reads an answer while the relay runs on this thread.
async fn read_answer(mut stream: TcpStream) -> eyre::Result<(TcpStream, String)> {
    let read = tokio::task::spawn_blocking(move || {
        let mut answer = vec![0; 4_096];
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        // A reset counts as no answer.
        let length = stream.read(&mut answer).unwrap_or(0);
        let text = String::from_utf8_lossy(&answer[..length]).into_owned();
        std::io::Result::Ok((stream, text))
    });
    Ok(read.await??)
}

/// Opens connections on which one request has been answered.
async fn kept_connections(rig: &RelayRig) -> eyre::Result<Vec<TcpStream>> {
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(rig.address)?;
        stream.write_all(call("first").as_bytes())?;
        let (stream, answer) = read_answer(stream).await?;
        eyre::ensure!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        streams.push(stream);
    }
    Ok(streams)
}

/// Sends the next request on each connection. The relay, which runs on the same thread, cannot read them yet.
fn send_next(streams: &mut [TcpStream]) -> eyre::Result<()> {
    for stream in streams {
        stream.write_all(call("next").as_bytes())?;
    }
    Ok(())
}

async fn count_unanswered(streams: Vec<TcpStream>) -> eyre::Result<usize> {
    let mut unanswered = 0;
    for stream in streams {
        let (_, answer) = read_answer(stream).await?;
        unanswered += usize::from(!answer.starts_with("HTTP/1.1 200"));
    }
    Ok(unanswered)
}

/// Guards against a stop that closes a connection on which a request has arrived.
#[tokio::test(flavor = "current_thread")]
async fn request_that_arrived_before_a_stop_is_answered() -> eyre::Result<()> {
    let rig = open(LimitSettings::default()).await?;
    let mut streams = kept_connections(&rig).await?;
    send_next(&mut streams)?;
    let (_, unanswered) = tokio::join!(rig.server.drain(), count_unanswered(streams));
    assert_eq!(unanswered?, 0);
    rig.shutdown().await;
    Ok(())
}

/// Guards against the close of an idle connection on which a request has arrived while the process was held up.
#[tokio::test(flavor = "current_thread")]
async fn request_that_arrived_before_the_idle_check_is_answered() -> eyre::Result<()> {
    let limits = LimitSettings {
        idle_time: IDLE_TIME,
        ..LimitSettings::default()
    };
    let rig = open(limits).await?;
    let mut kept = kept_connections(&rig).await?;
    send_next(&mut kept)?;
    // The runtime, which is on this thread, notices the time and the requests at once.
    std::thread::sleep(IDLE_TIME + IDLE_TIME / 2);
    assert_eq!(count_unanswered(kept).await?, 0);
    rig.shutdown().await;
    Ok(())
}
