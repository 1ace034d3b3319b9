//! The operator's versioned document. The highest version is in force: it is the one that is
//! applied.
//!
//! [`DocumentState`] is the state of a replicated state machine: each accepted document is one log
//! entry, and versions are compared when the entry is applied, so that all instances reach the same
//! result.

use crate::prelude::*;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{self, Read, Write};

/// Largest document in bytes, before compression. [`Document::bytes`] drops what is beyond it.
pub const MAX_DOCUMENT_BYTES: u64 = 16 << 20;

record! { key =>
    /// One version of the document, kept byte for byte.
    ///
    /// It is compressed (deflate), because each version is sent to every instance.
    pub struct Document {
        /// Its version; higher versions replace lower ones.
        pub version: u64,
        /// The bytes that the operator sent, compressed.
        #[serde(rename = "packed")]
        #[serde(with = "serde_bytes")]
        compressed: Vec<u8>,
    }
}

impl Document {
    /// Compresses the bytes that the operator sent.
    pub fn new(version: u64, bytes: &[u8]) -> Document {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let compressed = encoder.write_all(bytes).and_then(|()| encoder.finish());
        Document {
            version,
            compressed: compressed.expect("writing to memory doesn't fail"),
        }
    }

    /// How many bytes it takes, compressed.
    pub fn compressed_bytes(&self) -> usize {
        self.compressed.len()
    }

    /// Returns the bytes that the operator sent. Fails if the compressed data is invalid.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let decoder = DeflateDecoder::new(&*self.compressed);
        decoder.take(MAX_DOCUMENT_BYTES).read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

record! { copy =>
    /// Result of applying a document.
    pub enum Outcome {
        /// The document is in force now.
        InForce,
        /// The document is outdated: its version is not higher than the one in force. Nothing
        /// changes.
        Overtaken,
    }
}

/// The document in force.
///
/// Invariant: its version never decreases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DocumentState {
    current: Option<Arc<Document>>,
}

impl DocumentState {
    /// Returns the state after a snapshot with this document is restored.
    pub fn restored(document: Option<Document>) -> DocumentState {
        DocumentState {
            current: document.map(Arc::new),
        }
    }

    /// Returns the document in force.
    pub fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Returns the version in force; 0 before the first document.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |d| d.version)
    }

    /// Puts a document in force if there is none yet or its version is higher.
    pub fn apply(&mut self, document: Document) -> Outcome {
        if self.current.is_some() && document.version <= self.version() {
            return Outcome::Overtaken;
        }
        self.current = Some(Arc::new(document));
        Outcome::InForce
    }
}
