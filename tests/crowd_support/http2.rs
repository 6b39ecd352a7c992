//! Clients that open many streams on one HTTP/2 connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use h2::client::Builder;
use http::Request;
use tokio::net::TcpStream;

use crate::crowd_support::daemon::{Edition, HOST, KEY};

/// What the streams of a connection do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamSending {
    /// A body that is never complete.
    OpenBody,
    /// Whole requests whose answers are never read: the window for them is empty.
    UnreadAnswer,
}

/// Opens `streams` streams on one connection and stays until the daemon closes it.
pub async fn open_streams(
    edition: Edition,
    address: SocketAddr,
    number: usize,
    streams: usize,
    sending: StreamSending,
    started: Arc<AtomicUsize>,
) {
    // Errors mean that the daemon has closed the connection, which ends the client's stay.
    let _ = try_open(edition, address, number, streams, sending, started).await;
}

async fn try_open(
    edition: Edition,
    address: SocketAddr,
    number: usize,
    streams: usize,
    sending: StreamSending,
    started: Arc<AtomicUsize>,
) -> eyre::Result<()> {
    let stream = TcpStream::connect(address).await?;
    let mut builder = Builder::new();
    builder.initial_max_send_streams(streams);
    if sending == StreamSending::UnreadAnswer {
        builder.initial_window_size(0);
    }
    let (client, connection) = builder.handshake::<_, Bytes>(stream).await?;
    let mut connection = tokio::spawn(connection);
    let open = async {
        let mut client = client;
        let mut kept = Vec::new();
        for index in 0..streams {
            client = client.ready().await?;
            let request = request(
                edition,
                &format!("h2-{number}-{index}-{}", rand::random::<u64>()),
            )?;
            let (answer, mut body) = client.send_request(request, false)?;
            let is_whole = sending == StreamSending::UnreadAnswer;
            body.send_data(Bytes::from_static(b"hello"), is_whole)?;
            if index == 0 {
                started.fetch_add(1, Ordering::Relaxed);
            }
            kept.push((answer, body));
        }
        std::future::pending::<()>().await;
        drop(kept);
        eyre::Ok(())
    };
    let ended = tokio::select! {
        result = open => result,
        _ = &mut connection => Ok(()),
    };
    connection.abort();
    ended
}

fn request(edition: Edition, id: &str) -> eyre::Result<Request<()>> {
    let path = match edition {
        Edition::Relay => "/check/1",
        Edition::Product => "/bookings/1",
    };
    let request = Request::post(format!("http://{HOST}{path}"))
        .header("request-id", id)
        .header("idempotency-key", id)
        .header("deadline-ms", "8000")
        .header("authorization", format!("Bearer {KEY}"));
    Ok(request.body(())?)
}
