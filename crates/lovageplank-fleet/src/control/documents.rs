//! The document as routers get it: the whole of it, or what has changed since a version that they have.

use super::packed::encode;
use super::state::State;
use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::patch::{self, Patch};
use lovageplank_core::fleet::spread::{Spread, Step};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::{EncodedFrame, Link};
use std::collections::VecDeque;

/// Versions that are kept to make patches from.
const KEPT_VERSIONS: usize = 12;
/// Compressed bytes of the versions that are kept, beside the one in force.
const KEPT_BYTES: usize = 4 << 20;

/// The version in force, those before it, and what routers have of them.
pub(super) struct Documents {
    pub(super) spread: Spread,
    /// Ascending; the last one is in force.
    kept: VecDeque<Arc<Document>>,
    /// The bytes of the version in force, once a patch was made.
    bytes: Option<Vec<u8>>,
    /// Messages with the version in force, by the version that the router has (0 for none), and whether each is a patch.
    messages: BTreeMap<u64, (EncodedFrame, bool)>,
    sent: Sent,
}

/// What was sent of the version in force.
#[derive(Default)]
struct Sent {
    links: usize,
    patches: usize,
    bytes: usize,
}

impl Documents {
    /// For a process whose instance has a link of so many bytes a second. The seed should differ between processes.
    pub(super) fn new(link_bytes_per_s: f64, seed: u64) -> Documents {
        Documents {
            spread: Spread::new(link_bytes_per_s, seed),
            kept: VecDeque::new(),
            bytes: None,
            messages: BTreeMap::new(),
            sent: Sent::default(),
        }
    }

    /// Records that a document is in force at this process.
    pub(super) fn in_force(&mut self, document: &Arc<Document>) {
        self.log_sent();
        self.spread.in_force(clock::boottime_ms(), document.version);
        self.messages.clear();
        self.bytes = None;
        self.kept.push_back(document.clone());
        let bytes = |kept: &VecDeque<Arc<Document>>| -> usize {
            kept.iter().map(|kept| kept.compressed_bytes()).sum()
        };
        let most = KEPT_BYTES + document.compressed_bytes();
        while self.kept.len() > KEPT_VERSIONS || bytes(&self.kept) > most {
            self.kept.pop_front();
        }
    }

    /// The message that brings the version in force to a router that has `base`, if its link knows it.
    fn message(&mut self, base: u64, link: &Link) -> Option<EncodedFrame> {
        let base = if link.knows(patch::PROTOCOL) { base } else { 0 };
        if !self.messages.contains_key(&base) {
            let message = match self.patch(base) {
                Some(patch) => Message::DocumentPatch(patch),
                None => Message::Document(Document::clone(self.kept.back()?)),
            };
            let is_patch = matches!(message, Message::DocumentPatch(_));
            self.messages.insert(base, (encode(message)?, is_patch));
        }
        let (message, is_patch) = self.messages.get(&base)?;
        self.sent.patches += usize::from(*is_patch);
        Some(message.clone())
    }

    /// What has changed since a version; `None` if that isn't kept, or the whole document is no longer.
    fn patch(&mut self, base: u64) -> Option<Patch> {
        let current = self.kept.back()?;
        let base = self.kept.iter().find(|document| document.version == base)?;
        let bytes = match self.bytes.take() {
            Some(bytes) => bytes,
            None => current.bytes().ok()?,
        };
        let patch = Patch::new(
            (base.version, &base.bytes().ok()?),
            (current.version, &bytes),
        );
        self.bytes = Some(bytes);
        patch.filter(|patch| patch.compressed_bytes() < current.compressed_bytes())
    }

    fn log_sent(&mut self) {
        let Sent {
            links,
            patches,
            bytes,
        } = std::mem::take(&mut self.sent);
        if let Some(document) = self.kept.back().filter(|_| links > 0) {
            let version = document.version;
            tracing::info!(event = "document_sent", version, links, patches, bytes);
        }
    }
}

impl State {
    /// Sends routers the document, as far as it is due now. Returns the milliseconds until more may be, unless all
    /// have it or are being sent it.
    pub(super) fn send_documents(&mut self, now: Millis) -> Option<Millis> {
        loop {
            match self.documents.spread.next(now, self.leads()) {
                Step::Send { link, base } => self.send_document(now, link, base),
                Step::Wait(wait_ms) => return Some(wait_ms),
                Step::Done => {
                    self.documents.log_sent();
                    return None;
                }
            }
        }
    }

    fn send_document(&mut self, now: Millis, link: u64, base: u64) {
        let documents = &mut self.documents;
        let linked = self.routers.link(link);
        let message = linked.and_then(|link| documents.message(base, link));
        let bytes = message.as_ref().map_or(0, EncodedFrame::length);
        if let (Some(link), Some(message)) = (linked, &message) {
            link.send_encoded(message);
            documents.sent.links += 1;
            documents.sent.bytes += bytes;
        }
        documents.spread.sent(now, link, bytes);
    }
}
