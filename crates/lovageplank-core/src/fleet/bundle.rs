//! Messages that are sent together and compressed, where hundreds of routers get the same.
//!
//! A control process that starts, returns or begins to lead tells each of its routers of all servers and all
//! loaded models. What it says is repetitive, and for hundreds of routers it fills the link of its instance for
//! seconds, in which messages to its peers wait.

use super::message::Message;
use crate::prelude::*;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{self, Read, Write};

/// Protocol version since which processes know [`Message::Bundle`].
pub const PROTOCOL: u32 = 4;
/// Largest bundle in bytes, before compression.
pub const BYTES_MAX: usize = 16 << 20;

record! { key =>
    /// Messages in their order.
    pub struct Bundle {
        /// Their encodings, one after the other, compressed (deflate).
        #[serde(rename = "packed")]
        #[serde(with = "serde_bytes")]
        compressed: Vec<u8>,
    }
}

impl Bundle {
    /// Compresses messages; `None` if they can't be encoded, or take fewer bytes together than `bytes_min` or
    /// more than [`BYTES_MAX`].
    pub fn new<'a>(
        messages: impl IntoIterator<Item = &'a Message>,
        bytes_min: usize,
    ) -> Option<Bundle> {
        let mut bytes = Vec::new();
        for message in messages {
            ciborium::into_writer(message, &mut bytes).ok()?;
        }
        if !(bytes_min..=BYTES_MAX).contains(&bytes.len()) {
            return None;
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&bytes).ok()?;
        let compressed = encoder.finish().ok()?;
        Some(Bundle { compressed })
    }

    /// Returns the messages. Fails if the bytes are none, or are larger than [`BYTES_MAX`], or hold another
    /// bundle.
    pub fn messages(&self) -> io::Result<Vec<Message>> {
        let mut bytes = Vec::new();
        let limit = u64::try_from(BYTES_MAX).unwrap_or(u64::MAX);
        let decoder = DeflateDecoder::new(&*self.compressed);
        decoder.take(limit + 1).read_to_end(&mut bytes)?;
        if bytes.len() > BYTES_MAX {
            return Err(io::Error::other("the bundle is too large"));
        }
        let mut rest = &*bytes;
        let mut messages = Vec::new();
        while !rest.is_empty() {
            let message = ciborium::from_reader(&mut rest).map_err(io::Error::other)?;
            if matches!(message, Message::Bundle(_)) {
                return Err(io::Error::other("a bundle within a bundle"));
            }
            messages.push(message);
        }
        Ok(messages)
    }
}
