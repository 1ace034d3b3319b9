//! Server-sent events, cut out of a byte stream.
//!
//! Events are passed on whole, so that a stream that breaks in the middle of one can go on with
//! the same event from elsewhere.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at the most.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// What an event means to the relay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Part of the answer.
    Data,
    /// A comment, which doesn't count.
    Comment,
    /// The end of a whole answer.
    Done,
    /// The server gave up.
    Error,
}

/// An event is larger than allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TooLarge;

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes of the buffer that are known to hold no event's end.
    scanned: usize,
}

impl Splitter {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event with its final blank line.
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

    /// Whether the bytes so far end with a whole event.
    pub fn is_at_end(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Where the first event ends: after an empty line.
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

/// Identity of an event, if it has one.
pub fn id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(id.trim_ascii()).ok()
}

/// What an event means.
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
