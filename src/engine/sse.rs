//! Incremental parser of server-sent events; only `data` fields are read.

use bytes::{Buf, Bytes, BytesMut};

use crate::error::Result;
use crate::wire;

/// Longest line, in bytes. A longer one means that the server does not send server-sent events.
const MAX_LINE_BYTES: usize = 256 << 10;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(super) struct EventParser {
    buffer: BytesMut,
    scanned: usize,
}

impl EventParser {
    /// Adds received bytes.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the data of the next complete line, or `None` if more bytes are needed.
    pub(super) fn next(&mut self) -> Result<Option<Bytes>> {
        while let Some(line) = self.next_line()? {
            if let Some(data) = line.strip_prefix(b"data:") {
                return Ok(Some(line.slice_ref(data.trim_ascii())));
            }
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Result<Option<Bytes>> {
        let found = self.buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(position) = found else {
            self.scanned = self.buffer.len();
            if self.scanned > MAX_LINE_BYTES {
                return Err(wire::protocol(format!(
                    "line of the event stream is longer than {MAX_LINE_BYTES} bytes"
                )));
            }
            return Ok(None);
        };
        let line = self.buffer.split_to(self.scanned + position).freeze();
        self.buffer.advance(1);
        self.scanned = 0;
        Ok(Some(line))
    }
}
