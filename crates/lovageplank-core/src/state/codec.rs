//! CBOR encoding of commands and snapshots.

use super::{Command, Machine};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// Version of the snapshot layout. Snapshots of any other version are refused.
const FORMAT: u32 = 1;

/// Why bytes could not be decoded as a command or snapshot.
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
            ErrorKind::Trailing(bytes) => write!(f, "{bytes} bytes after the end of the value"),
            ErrorKind::Format(format) => write!(f, "snapshot format {format}, expected {FORMAT}"),
        }
    }
}

impl std::error::Error for Error {}

impl Command {
    /// Encodes the command as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a command. Fails unless the bytes are exactly one command.
    pub fn decode(bytes: &[u8]) -> Result<Command, Error> {
        decode(bytes)
    }
}

impl Machine {
    /// Encodes a snapshot as CBOR. Equal machines give equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(&FORMAT);
        bytes.extend(encode(self));
        bytes
    }

    /// Decodes a snapshot. Fails unless the bytes are exactly one snapshot of the known layout.
    pub fn decode(bytes: &[u8]) -> Result<Machine, Error> {
        let mut rest = bytes;
        let format = read_value(&mut rest)?;
        if format != FORMAT {
            return Err(Error(ErrorKind::Format(format)));
        }
        decode(rest)
    }
}

/// Panics if serde can't represent the value; it can represent commands and machines.
fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .expect("commands and machines are representable in CBOR");
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
