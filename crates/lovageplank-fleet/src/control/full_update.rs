//! What a control process sends on a link that has come up, encoded once for all links.
//!
//! After a loss of all control processes hundreds of routers connect within a second or two, and each needs each
//! server's announcement and all loaded models.

use super::packed::{Packed, encode};
use lovageplank_core::fleet::message::{EngineModels, Message};
use lovageplank_core::fleet::registry::{Announcement, Presence, Registry, Stage};
use lovageplank_core::prelude::*;
use lovageplank_process::link::{EncodedFrame, Link};
use lovageplank_wire::Frame;

/// All announcements are bundled again once one in so many has changed since.
const CHANGED_DIVISOR: usize = 8;

/// What tells one state of a server's announcement from another: incarnation, number, stage and presence.
type Stamp = (u64, u64, Stage, Presence);

/// Encoded messages, kept while what they say is current.
///
/// Invariant: each but the bundle is what encoding the state at its last use would have given.
#[derive(Default)]
pub(super) struct FullUpdate {
    announcements: BTreeMap<Name, (Stamp, EncodedFrame)>,
    /// All announcements at an earlier time, and their states then.
    bundled: Option<(BTreeMap<Name, Stamp>, Packed)>,
    loaded_models: Option<Packed>,
}

impl FullUpdate {
    /// Sends the announcements of all servers: those of an earlier time in one message, and then those that
    /// have changed since; and departures of servers that weren't known.
    pub(super) fn send_announcements(&mut self, registry: &Registry, link: &Link) {
        self.announcements
            .retain(|id, _| registry.get(id).is_some());
        let mut changed = self.changed(registry);
        if changed
            .as_ref()
            .is_none_or(|changed| changed.len() * CHANGED_DIVISOR > registry.iter().count())
        {
            self.bundle(registry);
            changed = None;
        }
        if let Some((_, bundled)) = &self.bundled {
            bundled.send_on(link);
        }
        for announcement in changed.unwrap_or_default() {
            if let Some(encoded) = self.announcement(announcement) {
                link.send_encoded(&encoded);
            }
        }
        for (server, departure) in registry.departed() {
            let departure = Message::server_gone(server.clone(), Some(departure));
            link.send(Frame::Fleet(Box::new(departure)));
        }
    }

    /// The announcements that have changed since all were bundled; `None` if they must be bundled again.
    fn changed<'a>(&self, registry: &'a Registry) -> Option<Vec<&'a Announcement>> {
        let (stamps, _) = self.bundled.as_ref()?;
        if stamps.keys().any(|id| registry.get(id).is_none()) {
            return None;
        }
        let servers = registry.iter().map(|server| &server.announcement);
        let changed = servers.filter(|a| stamps.get(&a.id) != Some(&stamp(a)));
        Some(changed.collect())
    }

    fn bundle(&mut self, registry: &Registry) {
        let servers = registry.iter().map(|server| &server.announcement);
        let announcements: Vec<&Announcement> = servers.collect();
        let stamps = announcements.iter().map(|a| (a.id.clone(), stamp(a)));
        let messages = announcements.iter().map(|a| (*a).clone());
        let messages = messages.map(|a| Message::ServerAnnounced(Box::new(a)));
        self.bundled = Some((stamps.collect(), Packed::new(messages.collect())));
    }

    fn announcement(&mut self, announcement: &Announcement) -> Option<EncodedFrame> {
        let stamp = stamp(announcement);
        let known = self.announcements.get(&announcement.id);
        if let Some((_, encoded)) = known.filter(|(known, _)| *known == stamp) {
            return Some(encoded.clone());
        }
        let encoded = encode(Message::ServerAnnounced(Box::new(announcement.clone())))?;
        let kept = (stamp, encoded.clone());
        self.announcements.insert(announcement.id.clone(), kept);
        Some(encoded)
    }

    /// Sends the loaded models of all engines as the leader of a term has sent them.
    pub(super) fn send_loaded_models(
        &mut self,
        term: u64,
        sent: &BTreeMap<Name, EngineModels>,
        link: &Link,
    ) {
        let packed = self.loaded_models.get_or_insert_with(|| {
            let engines = sent.values().cloned().collect();
            Packed::new(vec![Message::LoadedModels { term, engines }])
        });
        packed.send_on(link);
    }

    /// Records that the loaded models or the term have changed.
    pub(super) fn forget_loaded_models(&mut self) {
        self.loaded_models = None;
    }
}

fn stamp(announcement: &Announcement) -> Stamp {
    (
        announcement.incarnation,
        announcement.number,
        announcement.stage,
        announcement.presence,
    )
}
