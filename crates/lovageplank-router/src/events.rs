//! Splits a byte stream into server-sent events.
//!
//! Only complete events are relayed, so that a stream that breaks in the middle of an event can
//! resume with that event from another server.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes; a stream with a larger one is treated as broken.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Meaning of an event for the relay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Part of the answer.
    Data,
    /// A comment; relayed, but not counted as a part of the answer.
    Comment,
    /// The end of a complete answer.
    Done,
    /// The server ended the answer with an error.
    Error,
}

/// An event is larger than the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TooLarge;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no event ends.
    scanned: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event with its final blank line; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, TooLarge> {
        if let Some(end) = self.find_end() {
            self.scanned = 0;
            return Ok(Some(self.buffer.split_to(end).freeze()));
        }
        self.scanned = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > EVENT_MAX_BYTES {
            return Err(TooLarge);
        }
        Ok(None)
    }

    /// Bytes that were not returned as events yet.
    pub fn kept_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether all bytes so far were returned as events.
    pub fn is_at_end(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Position after the first event, which ends with an empty line.
    fn find_end(&self) -> Option<usize> {
        let rest = &self.buffer[self.scanned..];
        let after = |at: usize, mark: &[u8]| {
            rest[at..]
                .starts_with(mark)
                .then_some(self.scanned + at + mark.len())
        };
        (0..rest.len()).find_map(|at| after(at, b"\n\n").or_else(|| after(at, b"\r\n\r\n")))
    }
}

/// The `id` field of an event, if it has one.
pub fn id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(id.trim_ascii()).ok()
}

/// Meaning of an event.
pub fn kind(event: &[u8]) -> Kind {
    let mut kind = Kind::Comment;
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.trim_ascii();
        if line == b"event: error" || line == b"event:error" {
            return Kind::Error;
        }
        let Some(data) = line.strip_prefix(b"data:") else {
            continue;
        };
        let data = data.trim_ascii_start();
        if data == b"[DONE]" {
            return Kind::Done;
        }
        if data.starts_with(b"{\"error\"") {
            return Kind::Error;
        }
        kind = Kind::Data;
    }
    kind
}
