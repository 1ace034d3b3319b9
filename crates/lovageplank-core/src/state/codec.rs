//! Entries and snapshots as CBOR.

use super::{Command, Machine};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Layout of snapshots; another one is refused rather than guessed at.
const FORMAT: u32 = 1;

#[derive(Serialize)]
struct Snapshot<'a> {
    format: u32,
    machine: &'a Machine,
}

#[derive(Deserialize)]
struct Restored {
    format: u32,
    machine: Machine,
}

/// Why bytes are no entry or snapshot.
#[derive(Debug)]
pub struct Error(Kind);

#[derive(Debug)]
enum Kind {
    Malformed(String),
    Trailing(usize),
    Format(u32),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Kind::Malformed(reason) => write!(f, "malformed CBOR: {reason}"),
            Kind::Trailing(bytes) => write!(f, "{bytes} bytes after the end"),
            Kind::Format(format) => write!(f, "snapshot format {format}, expected {FORMAT}"),
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
        encode(&Snapshot {
            format: FORMAT,
            machine: self,
        })
    }

    /// Reads a snapshot; fails on anything but one whole snapshot of the known layout.
    pub fn decode(bytes: &[u8]) -> Result<Machine, Error> {
        let restored: Restored = decode(bytes)?;
        if restored.format != FORMAT {
            return Err(Error(Kind::Format(restored.format)));
        }
        Ok(restored.machine)
    }
}

/// Writing to memory fails only for types that serde can't represent, and these all can be.
fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}

fn decode<T: DeserializeOwned>(mut bytes: &[u8]) -> Result<T, Error> {
    let value =
        ciborium::from_reader(&mut bytes).map_err(|e| Error(Kind::Malformed(e.to_string())))?;
    if bytes.is_empty() {
        Ok(value)
    } else {
        Err(Error(Kind::Trailing(bytes.len())))
    }
}
