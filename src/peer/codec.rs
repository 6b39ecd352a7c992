//! Encoding of bodies and their size limits.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Category, Error, Result};

/// Longest request body, in bytes. A push of configuration records is the longest request.
pub const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Longest reply body, in bytes. The state of the whole catalog is the longest reply.
pub const MAX_REPLY_BYTES: usize = 16 << 20;

pub(super) fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|error| Error::internal(format!("cannot encode a peer message: {error}")))
}

/// Decodes a reply that fills `body` exactly.
pub(super) fn decode_reply<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    decode::<T, { 2 * MAX_REPLY_BYTES }>(body)
}

/// Decodes a request that fills `body` exactly.
pub(super) fn decode_request<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    decode::<T, { 2 * MAX_REQUEST_BYTES }>(body)
}

/// Decodes a message. The limit stops a forged length from allocating more than a body could hold.
fn decode<T: DeserializeOwned, const LIMIT: usize>(body: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (message, read) = bincode::serde::decode_from_slice(body, config)
        .map_err(|error| protocol(format!("cannot decode a peer message: {error}")))?;
    if read != body.len() {
        let extra = body.len() - read;
        return Err(protocol(format!(
            "{extra} unexpected bytes follow a peer message"
        )));
    }
    Ok(message)
}

/// Reads a body of at most `limit` bytes and keeps the number of bytes read so far in `received`.
pub(super) async fn read_body(
    body: &mut RecvStream,
    limit: usize,
    received: &AtomicUsize,
) -> Result<Bytes> {
    let mut buffer = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| transport(&error))?;
        if buffer.len() + chunk.len() > limit {
            return Err(Error::invalid(format!(
                "peer message is longer than {limit} bytes"
            )));
        }
        // A closed stream needs no more window, so a failure here is harmless.
        let _ = body.flow_control().release_capacity(chunk.len());
        buffer.extend_from_slice(&chunk);
        received.store(buffer.len(), Ordering::Relaxed);
    }
    Ok(buffer.freeze())
}

/// Creates an error of [`Category::Protocol`].
pub(super) fn protocol(message: impl Into<String>) -> Error {
    Error::new(Category::Protocol, message)
}

/// Converts an HTTP/2 failure to an error of [`Category::Unavailable`].
pub(super) fn transport(error: &h2::Error) -> Error {
    Error::unavailable(format!("peer connection failed: {error}"))
}
