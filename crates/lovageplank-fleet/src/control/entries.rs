//! The entry processes that are linked to a control process.

use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::{Message, Router};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::{EncodedFrame, Link};
use lovageplank_wire::Frame;

/// Milliseconds for which an entry process may obey an older document before it is told again.
const LATE_MS: Millis = 400;

/// Entry processes by link.
#[derive(Default)]
pub(super) struct Entries(BTreeMap<u64, Linked>);

/// An entry process that is linked.
struct Linked {
    link: Link,
    /// What it said of itself.
    entry: Option<Router>,
    /// Version of the document that it said to obey.
    obeys: u64,
    /// Version that it was sent, or that it is expected to hear of from the leader, and since when.
    sent: u64,
    sent_at: Millis,
}

impl Entries {
    /// A link came up; what is in force at the moment was sent on it.
    pub(super) fn up(&mut self, link: Link, version: u64) {
        let listed = Message::Routers(self.listed());
        link.send(Frame::Fleet(Box::new(listed)));
        let linked = Linked {
            link,
            entry: None,
            obeys: 0,
            sent: version,
            sent_at: clock::boottime_ms(),
        };
        self.0.insert(linked.link.id, linked);
    }

    /// A link went down.
    pub(super) fn down(&mut self, link: u64) {
        let entry = self.0.remove(&link).and_then(|linked| linked.entry);
        let Some(entry) = entry else {
            return;
        };
        // Another link to it may have come up before.
        let mut others = self.0.values().rev().filter_map(|l| l.entry.as_ref());
        let other = others.find(|e| e.instance == entry.instance);
        self.tell(match other {
            Some(other) => Message::Router(other.clone()),
            None => Message::RouterDisconnected(entry.instance),
        });
    }

    /// An entry process said what it is.
    pub(super) fn said(&mut self, link: u64, entry: Router) {
        if let Some(linked) = self.0.get_mut(&link) {
            linked.entry = Some(entry.clone());
            self.tell(Message::Router(entry));
        }
    }

    /// An entry process said which version of the document it obeys.
    pub(super) fn obeys(&mut self, link: u64, version: u64) {
        if let Some(linked) = self.0.get_mut(&link) {
            linked.obeys = version;
        }
    }

    /// The name of the entry process on a link.
    pub(super) fn name(&self, link: u64) -> Option<Name> {
        let linked = self.0.get(&link)?;
        Some(linked.link.peer.instance.clone())
    }

    /// Sends a message to all; it is encoded once.
    pub(super) fn tell(&self, message: Message) {
        if let Some(encoded) = encode(message) {
            self.send(&encoded);
        }
    }

    /// Sends an encoded message to all.
    pub(super) fn send(&self, message: &EncodedFrame) {
        for linked in self.0.values() {
            linked.link.send_encoded(message);
        }
    }

    /// Tells all who the members of the control group are.
    pub(super) fn tell_members(&self, members: &[(u64, Name)]) {
        for linked in self.0.values() {
            linked.link.send(Frame::Members(members.to_vec()));
        }
    }

    /// Sends the document in force to all.
    pub(super) fn tell_document(&mut self, document: &Document) {
        self.send_document(document, |_| true);
    }

    /// Sends the document in force to those who have obeyed an older one for too long.
    pub(super) fn tell_late(&mut self, document: &Document) {
        let now = clock::boottime_ms();
        let version = document.version;
        self.send_document(document, |linked| {
            let expected = linked.sent >= version && now >= linked.sent_at + LATE_MS;
            linked.obeys < version && expected
        });
        // Counts from the first look at which an entry process was late.
        for linked in self.0.values_mut().filter(|l| l.sent < version) {
            linked.sent = version;
            linked.sent_at = now;
        }
    }

    fn send_document(&mut self, document: &Document, chosen: impl Fn(&Linked) -> bool) {
        let now = clock::boottime_ms();
        let chosen: Vec<&mut Linked> = self.0.values_mut().filter(|l| chosen(l)).collect();
        if chosen.is_empty() {
            return;
        }
        let Some(encoded) = encode(Message::Document(document.clone())) else {
            return;
        };
        for linked in chosen {
            linked.link.send_encoded(&encoded);
            linked.sent = document.version;
            linked.sent_at = now;
        }
    }

    /// All that said what they are.
    fn listed(&self) -> Vec<Router> {
        let said = self.0.values().filter_map(|linked| linked.entry.clone());
        let by_name: BTreeMap<Name, Router> = said.map(|e| (e.instance.clone(), e)).collect();
        by_name.into_values().collect()
    }
}

/// A message as it goes over several links.
pub(super) fn encode(message: Message) -> Option<EncodedFrame> {
    let encoded = EncodedFrame::new(&Frame::Fleet(Box::new(message)));
    encoded
        .inspect_err(
            |error| tracing::error!(event = "message_too_large", reason = %format!("{error:#}")),
        )
        .ok()
}
