//! What a control process sends on a link that has come up, encoded once for all links.
//!
//! After a loss of all control processes hundreds of routers connect within a second or two, and each needs the
//! document, each server's announcement and all loaded models.

use super::routers::encode;
use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::{EngineModels, Message};
use lovageplank_core::fleet::registry::{Announcement, Registry, Stage};
use lovageplank_core::prelude::*;
use lovageplank_process::link::EncodedFrame;

/// What tells one state of a server's announcement from another: incarnation, number and stage.
type Stamp = (u64, u64, Stage);

/// Encoded messages, kept while what they say is current.
///
/// Invariant: each is what encoding the state at its last use would have given.
#[derive(Default)]
pub(super) struct FullUpdate {
    announcements: BTreeMap<Name, (Stamp, EncodedFrame)>,
    document: Option<(u64, EncodedFrame)>,
    loaded_models: Option<EncodedFrame>,
}

impl FullUpdate {
    /// Returns the announcements of all servers.
    pub(super) fn announcements(&mut self, registry: &Registry) -> Vec<EncodedFrame> {
        self.announcements
            .retain(|id, _| registry.get(id).is_some());
        let servers = registry.iter().map(|server| &server.announcement);
        servers.filter_map(|a| self.announcement(a)).collect()
    }

    fn announcement(&mut self, announcement: &Announcement) -> Option<EncodedFrame> {
        let stamp = (
            announcement.incarnation,
            announcement.number,
            announcement.stage,
        );
        let known = self.announcements.get(&announcement.id);
        if let Some((_, encoded)) = known.filter(|(known, _)| *known == stamp) {
            return Some(encoded.clone());
        }
        let encoded = encode(Message::ServerAnnounced(Box::new(announcement.clone())))?;
        let kept = (stamp, encoded.clone());
        self.announcements.insert(announcement.id.clone(), kept);
        Some(encoded)
    }

    /// Returns the document.
    pub(super) fn document(&mut self, document: &Document) -> Option<EncodedFrame> {
        let known = self.document.as_ref();
        if let Some((_, encoded)) = known.filter(|(version, _)| *version == document.version) {
            return Some(encoded.clone());
        }
        let encoded = encode(Message::Document(document.clone()))?;
        self.document = Some((document.version, encoded.clone()));
        Some(encoded)
    }

    /// Returns the loaded models of all engines as the leader of a term has sent them.
    pub(super) fn loaded_models(
        &mut self,
        term: u64,
        sent: &BTreeMap<Name, EngineModels>,
    ) -> Option<EncodedFrame> {
        if self.loaded_models.is_none() {
            let engines = sent.values().cloned().collect();
            self.loaded_models = encode(Message::LoadedModels { term, engines });
        }
        self.loaded_models.clone()
    }

    /// Records that the loaded models or the term have changed.
    pub(super) fn forget_loaded_models(&mut self) {
        self.loaded_models = None;
    }
}
