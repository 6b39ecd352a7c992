//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Longest event that is kept while its end has not arrived, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event with the empty line that ends it.
    pub bytes: Bytes,
    /// Its `id`, if it has one.
    pub id: Option<u64>,
}

/// Gathers bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes. Returns `false` if an event is longer than 1 MiB.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES || self.find_end().is_some()
    }

    /// Takes the next whole event.
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

    /// Takes what is left after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Returns the length of the first event; lines end with a line feed or with a carriage return and line feed.
    fn find_end(&self) -> Option<usize> {
        // The ending may have begun up to three bytes before the end of what was searched.
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

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
