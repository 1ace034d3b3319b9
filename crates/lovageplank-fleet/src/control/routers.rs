//! The entry processes that are linked to a control process.

use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::{Message, Router};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::{Encoded, Link};
use lovageplank_wire::Frame;

/// Milliseconds for which an entry process may obey an older document before it is told again.
const RESEND_AFTER_MS: Millis = 400;

/// Entry processes by link.
#[derive(Default)]
pub(super) struct Routers(BTreeMap<u64, LinkedRouter>);

/// An entry process that is linked.
struct LinkedRouter {
    link: Link,
    /// What it said of itself.
    router: Option<Router>,
    /// Version of the document that it said to obey.
    applied_version: u64,
    /// Version that it was sent, or that it is expected to hear of from the leader, and since when.
    expected_version: u64,
    expected_since: Millis,
}

impl Routers {
    /// A link came up; what is in force at the moment was sent on it.
    pub(super) fn connected(&mut self, link: Link, version: u64) {
        let routers = Message::Routers(self.routers());
        link.send(Frame::Fleet(Box::new(routers)));
        let linked = LinkedRouter {
            link,
            router: None,
            applied_version: 0,
            expected_version: version,
            expected_since: clock::awake_ms(),
        };
        self.0.insert(linked.link.id, linked);
    }

    /// A link went down.
    pub(super) fn disconnected(&mut self, link: u64) {
        let router = self.0.remove(&link).and_then(|linked| linked.router);
        let Some(router) = router else {
            return;
        };
        // Another link to it may have come up before.
        let mut others = self.0.values().rev().filter_map(|l| l.router.as_ref());
        let other = others.find(|other| other.instance == router.instance);
        self.broadcast(match other {
            Some(other) => Message::Router(other.clone()),
            None => Message::RouterDisconnected(router.instance),
        });
    }

    /// An entry process said what it is.
    pub(super) fn update(&mut self, link: u64, router: Router) {
        if let Some(linked) = self.0.get_mut(&link) {
            linked.router = Some(router.clone());
            self.broadcast(Message::Router(router));
        }
    }

    /// An entry process said which version of the document it obeys.
    pub(super) fn set_applied_version(&mut self, link: u64, version: u64) {
        if let Some(linked) = self.0.get_mut(&link) {
            linked.applied_version = version;
        }
    }

    /// The name of the entry process on a link.
    pub(super) fn name(&self, link: u64) -> Option<Name> {
        let linked = self.0.get(&link)?;
        Some(linked.link.peer.instance.clone())
    }

    /// Sends a message to all; it is encoded once.
    pub(super) fn broadcast(&self, message: Message) {
        if let Some(encoded) = encode(message) {
            self.broadcast_encoded(&encoded);
        }
    }

    /// Sends an encoded message to all.
    pub(super) fn broadcast_encoded(&self, message: &Encoded) {
        for linked in self.0.values() {
            linked.link.send_encoded(message);
        }
    }

    /// Tells all who the members of the control group are.
    pub(super) fn send_members(&self, members: &[(u64, Name)]) {
        for linked in self.0.values() {
            linked.link.send(Frame::Members(members.to_vec()));
        }
    }

    /// Sends the document in force to all.
    pub(super) fn send_document(&mut self, document: &Document) {
        self.send_document_where(document, |_| true);
    }

    /// Sends the document in force to those who have obeyed an older one for too long.
    pub(super) fn resend_document(&mut self, document: &Document) {
        let now = clock::awake_ms();
        let version = document.version;
        self.send_document_where(document, |linked| {
            let overdue = linked.expected_version >= version
                && now >= linked.expected_since + RESEND_AFTER_MS;
            linked.applied_version < version && overdue
        });
        // Counts from the first look at which an entry process was late.
        for linked in self.0.values_mut().filter(|l| l.expected_version < version) {
            linked.expected_version = version;
            linked.expected_since = now;
        }
    }

    fn send_document_where(&mut self, document: &Document, chosen: impl Fn(&LinkedRouter) -> bool) {
        let now = clock::awake_ms();
        let chosen: Vec<&mut LinkedRouter> = self.0.values_mut().filter(|l| chosen(l)).collect();
        if chosen.is_empty() {
            return;
        }
        let Some(encoded) = encode(Message::Document(document.clone())) else {
            return;
        };
        for linked in chosen {
            linked.link.send_encoded(&encoded);
            linked.expected_version = document.version;
            linked.expected_since = now;
        }
    }

    /// All that said what they are.
    fn routers(&self) -> Vec<Router> {
        let routers = self.0.values().filter_map(|linked| linked.router.clone());
        let by_name: BTreeMap<Name, Router> = routers
            .map(|router| (router.instance.clone(), router))
            .collect();
        by_name.into_values().collect()
    }
}

/// A message as it goes over several links.
pub(super) fn encode(message: Message) -> Option<Encoded> {
    let encoded = Encoded::new(&Frame::Fleet(Box::new(message)));
    encoded
        .inspect_err(
            |error| tracing::error!(event = "message_too_large", reason = %format!("{error:#}")),
        )
        .ok()
}
