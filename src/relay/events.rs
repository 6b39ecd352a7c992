//! Splits a stream of server-sent events into events.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes buffered for an incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
    /// Value of its `id` field, if that is a number.
    pub id: Option<u64>,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the part of the buffer that was searched for the end of an event without finding it.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes. Returns `false` if the buffer exceeds 1 MiB without a complete event.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES || self.find_end().is_some()
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Returns the length of the first event. Lines end with LF or CRLF.
    fn find_end(&self) -> Option<usize> {
        // The end of an event has up to three bytes, the first of which may have been searched already.
        let start = self.searched.saturating_sub(3);
        let bytes = &self.buffer[start..];
        let position = bytes.iter().enumerate().position(|(index, byte)| {
            *byte == b'\n' && {
                let rest = &bytes[index + 1..];
                rest.starts_with(b"\n") || rest.starts_with(b"\r\n")
            }
        })?;
        let ending = if bytes[position + 1] == b'\n' { 2 } else { 3 };
        Some(start + position + ending)
    }
}

/// Returns whether the bytes after the last complete event begin another event.
pub(super) fn is_event_part(rest: &[u8]) -> bool {
    rest.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
