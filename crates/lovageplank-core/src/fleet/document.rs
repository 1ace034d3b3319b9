//! The operator's versioned document: the highest version is in force.
//!
//! The store is the state of a replicated machine: each accepted document is one log entry, and
//! [`Store::apply`] judges it when the entry is applied, so that all instances agree.

use crate::prelude::*;

record! { key =>
    /// One version of the document, kept byte for byte.
    pub struct Document {
        /// Its version; higher versions replace lower ones.
        pub version: u64,
        /// What the operator sent.
        #[serde(with = "serde_bytes")]
        pub bytes: Vec<u8>,
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
