//! The operator's versioned document: the highest version is in force.
//!
//! The store is the state of a replicated machine: each accepted document is one log entry, and
//! [`Store::apply`] judges it when the entry is applied, so that all instances agree.

use crate::prelude::*;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{self, Read, Write};

/// Bytes of a document at the most.
pub const DOCUMENT_BYTES: u64 = 16 << 20;

record! { key =>
    /// One version of the document, kept byte for byte.
    ///
    /// It is packed (deflate), because each version goes to every instance.
    pub struct Document {
        /// Its version; higher versions replace lower ones.
        pub version: u64,
        /// What the operator sent, packed.
        #[serde(with = "serde_bytes")]
        packed: Vec<u8>,
    }
}

impl Document {
    /// Packs what the operator sent.
    pub fn new(version: u64, bytes: &[u8]) -> Document {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(bytes).and_then(|()| encoder.finish());
        Document {
            version,
            packed: packed.expect("writing to memory doesn't fail"),
        }
    }

    /// What the operator sent; an error if it isn't a packed document.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let decoder = DeflateDecoder::new(&*self.packed);
        decoder.take(DOCUMENT_BYTES).read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

record! { copy =>
    /// What became of a document.
    pub enum Outcome {
        /// It is in force now.
        InForce,
        /// Its version is not higher than the one in force, so it changes nothing.
        Overtaken,
    }
}

/// The document in force.
///
/// Invariant: its version never goes back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Store {
    current: Option<Arc<Document>>,
}

impl Store {
    /// The store after a snapshot's document.
    pub fn restored(document: Option<Document>) -> Store {
        Store {
            current: document.map(Arc::new),
        }
    }

    /// The document in force.
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// The version in force; 0 before the first document.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |d| d.version)
    }

    /// Takes a document if its version is higher than the one in force.
    pub fn apply(&mut self, document: Document) -> Outcome {
        if self.current.is_some() && document.version <= self.version() {
            return Outcome::Overtaken;
        }
        self.current = Some(Arc::new(document));
        Outcome::InForce
    }
}
