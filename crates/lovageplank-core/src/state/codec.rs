//! Entries and snapshots as CBOR.

use super::{Command, Machine};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// Layout of snapshots; another one is refused rather than guessed at.
const FORMAT: u32 = 1;

/// Why bytes are no entry or snapshot.
#[derive(Debug)]
pub struct Error(ErrorKind);

#[derive(Debug)]
enum ErrorKind {
    Malformed(String),
    Trailing(usize),
    Format(u32),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            ErrorKind::Malformed(reason) => write!(f, "malformed CBOR: {reason}"),
            ErrorKind::Trailing(bytes) => write!(f, "{bytes} bytes after the end"),
            ErrorKind::Format(format) => write!(f, "snapshot format {format}, expected {FORMAT}"),
        }
    }
}

impl std::error::Error for Error {}

impl Command {
    /// The entry as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads an entry; fails on anything but one whole entry.
    pub fn decode(bytes: &[u8]) -> Result<Command, Error> {
        decode(bytes)
    }
}

impl Machine {
    /// A snapshot as CBOR; equal machines give equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(&FORMAT);
        bytes.extend(encode(self));
        bytes
    }

    /// Reads a snapshot; fails on anything but one whole snapshot of the known layout.
    pub fn decode(bytes: &[u8]) -> Result<Machine, Error> {
        let mut rest = bytes;
        let format = read_value(&mut rest)?;
        if format != FORMAT {
            return Err(Error(ErrorKind::Format(format)));
        }
        decode(rest)
    }
}

/// Writing to memory fails only for types that serde can't represent, and these all can be.
fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}

fn decode<T: DeserializeOwned>(mut bytes: &[u8]) -> Result<T, Error> {
    let value = read_value(&mut bytes)?;
    if bytes.is_empty() {
        Ok(value)
    } else {
        Err(Error(ErrorKind::Trailing(bytes.len())))
    }
}

fn read_value<T: DeserializeOwned>(bytes: &mut &[u8]) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|e| Error(ErrorKind::Malformed(e.to_string())))
}
