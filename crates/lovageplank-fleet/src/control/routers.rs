//! The routers that are linked to a control process.

use super::packed::{Packed, encode};
use lovageplank_core::fleet::message::{Message, Router};
use lovageplank_core::fleet::outbox::Outbox;
use lovageplank_core::fleet::place;
use lovageplank_core::prelude::*;
use lovageplank_process::link::Link;
use lovageplank_wire::Frame;
use tokio::sync::Notify;

/// Linked routers, and what all of them are to be told.
pub(super) struct Routers {
    /// By link id.
    linked: BTreeMap<u64, LinkedRouter>,
    outbox: Outbox,
    /// Wakes the task that empties the outbox.
    wake: Arc<Notify>,
}

/// A router and the link to it.
struct LinkedRouter {
    link: Link,
    /// Its directory entry (the description that it sends of itself), once received.
    router: Option<Router>,
}

impl Routers {
    /// None, for a process whose instance has a link of so many bytes a second. `wake` is notified when there is
    /// something to be [sent](Routers::send_waiting).
    pub(super) fn new(link_bytes_per_s: f64, wake: Arc<Notify>) -> Routers {
        Routers {
            linked: BTreeMap::new(),
            outbox: Outbox::new(link_bytes_per_s),
            wake,
        }
    }

    /// Adds a link that came up and sends it the known routers.
    pub(super) fn connected(&mut self, link: Link) {
        Packed::new(vec![Message::Routers(self.routers())]).send_on(&link);
        let linked = LinkedRouter { link, router: None };
        self.linked.insert(linked.link.id, linked);
    }

    /// Removes a link that went down, and informs the other routers.
    pub(super) fn disconnected(&mut self, link: u64) {
        let router = self.linked.remove(&link).and_then(|linked| linked.router);
        let Some(router) = router else {
            return;
        };
        // Another link to the same router may have come up before this one went down.
        let mut others = self.linked.values().rev().filter_map(|l| l.router.as_ref());
        let other = others.find(|other| other.instance == router.instance);
        self.broadcast(match other {
            Some(other) => Message::Router(other.clone()),
            None => Message::RouterDisconnected(router.instance),
        });
    }

    /// Stores and broadcasts the directory entry that a router has sent.
    pub(super) fn update(&mut self, link: u64, router: Router) {
        if let Some(linked) = self.linked.get_mut(&link) {
            linked.router = Some(router.clone());
            self.broadcast(Message::Router(router));
        }
    }

    /// The link of this number, if it is up.
    pub(super) fn link(&self, link: u64) -> Option<&Link> {
        self.linked.get(&link).map(|linked| &linked.link)
    }

    /// Instance name of the router on a link.
    pub(super) fn name(&self, link: u64) -> Option<Name> {
        let linked = self.linked.get(&link)?;
        Some(linked.link.peer.instance.clone())
    }

    /// Whether the router on a link reports what it has at brittle servers.
    pub(super) fn knows_places(&self, link: u64) -> bool {
        let linked = self.linked.get(&link);
        linked.is_some_and(|linked| linked.link.knows(place::PROTOCOL))
    }

    /// Sends a message to the router on a link.
    pub(super) fn send(&self, link: u64, message: Message) {
        if let Some(linked) = self.linked.get(&link) {
            linked.link.send(Frame::Fleet(Box::new(message)));
        }
    }

    /// Sends a message to all routers that know it, together with others.
    pub(super) fn broadcast(&mut self, message: Message) {
        self.outbox.push(message);
        self.wake.notify_one();
    }

    /// Sends the messages that wait for all routers, if they may be sent now. Returns the milliseconds until more may
    /// be; `None` if none wait.
    pub(super) fn send_waiting(&mut self, now: Millis) -> Option<Millis> {
        let messages = match self.outbox.take(now) {
            Ok(messages) if messages.is_empty() => return None,
            Ok(messages) => messages,
            Err(wait_ms) => return Some(wait_ms),
        };
        let mut packed: BTreeMap<u32, Packed> = BTreeMap::new();
        let mut bytes = 0;
        for link in self.linked.values().map(|linked| &linked.link) {
            let known = |message: &&Message| link.knows(message.protocol());
            let messages = || messages.iter().filter(known).cloned().collect();
            let packed = packed.entry(link.peer.protocol);
            bytes += packed
                .or_insert_with(|| Packed::new(messages()))
                .send_on(link);
        }
        self.outbox.sent(now, bytes);
        Some(0)
    }

    /// Sends a message at once to the routers whose links are selected. It is made only if there are any, and encoded
    /// once.
    pub(super) fn send_lazily(
        &self,
        message: impl FnOnce() -> Message,
        is_selected: impl Fn(&Link) -> bool,
    ) {
        let links = self.linked.values().map(|linked| &linked.link);
        let mut links = links.filter(|link| is_selected(link)).peekable();
        if links.peek().is_none() {
            return;
        }
        if let Some(encoded) = encode(message()) {
            for link in links {
                link.send_encoded(&encoded);
            }
        }
    }

    /// Sends the ids and link addresses of the voters to all routers.
    pub(super) fn send_voters(&self, voters: &[(u64, Name)]) {
        for linked in self.linked.values() {
            linked.link.send(Frame::Members(voters.to_vec()));
        }
    }

    /// Directory entries of all linked routers, one for each instance.
    fn routers(&self) -> Vec<Router> {
        let routers = self
            .linked
            .values()
            .filter_map(|linked| linked.router.clone());
        let by_name: BTreeMap<Name, Router> = routers
            .map(|router| (router.instance.clone(), router))
            .collect();
        by_name.into_values().collect()
    }
}
