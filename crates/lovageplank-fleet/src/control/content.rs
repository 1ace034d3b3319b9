//! What the control processes replicate: the document, the verdicts on keys under which servers end, the
//! admitted versions of servers' software, where streams began, permits for retries, blocks of quotas, and sizes of models.

use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::origin::{Admitted, Begun};
use lovageplank_core::fleet::quarantine::Held;
use lovageplank_core::fleet::quota;
use lovageplank_core::fleet::retry_budget::Reservation;
use lovageplank_core::fleet::sizes::Sizes;
use lovageplank_core::prelude::*;

record! { key =>
    /// Content of a log entry, or of a snapshot.
    #[derive(Default)]
    pub(super) struct Content {
        /// A document.
        pub(super) document: Option<Document>,
        /// All keys that are quarantined.
        pub(super) verdicts: Option<Vec<Held>>,
        /// The admitted versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub(super) admitted: Option<Admitted>,
        /// Streams that have begun.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub(super) begun: Vec<Begun>,
        /// Permits for retries that may be issued from now on; in a snapshot, those that count.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub(super) reserved: Vec<Reservation>,
        /// Blocks of tenants' quotas that the leader may grant from now on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub(super) quota: Option<quota::Reservation>,
        /// In a snapshot, the blocks that count.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub(super) quota_counted: Vec<quota::Counted>,
        /// In a snapshot, what models take that engines loaded by an earlier document.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub(super) sizes: Option<Sizes>,
    }
}

impl Content {
    /// Encodes the content. A document alone is encoded as such, which is the only form that the earliest
    /// versions read and write.
    pub(super) fn encode(&self) -> Vec<u8> {
        match self {
            Content {
                document: Some(document),
                verdicts: None,
                admitted: None,
                begun,
                reserved,
                quota: None,
                quota_counted,
                sizes: None,
            } if begun.is_empty() && reserved.is_empty() && quota_counted.is_empty() => {
                encode(document)
            }
            _ => encode(self),
        }
    }

    /// Decodes the data of a log entry or snapshot; logs an error if that fails.
    pub(super) fn decode(data: &[u8]) -> Option<Content> {
        if let Ok(document) = ciborium::from_reader::<Document, _>(data) {
            return Some(document.into());
        }
        let content = ciborium::from_reader(data);
        if let Err(error) = &content {
            tracing::error!(event = "entry_unreadable", %error);
        }
        content.ok()
    }
}

impl From<Document> for Content {
    fn from(document: Document) -> Content {
        Content {
            document: Some(document),
            ..Content::default()
        }
    }
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoding to memory doesn't fail");
    bytes
}
