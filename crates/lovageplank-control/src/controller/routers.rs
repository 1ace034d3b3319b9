//! Routers as the leader knows them: their leases, acknowledgements and demand.

use lovageplank_core::backend::State;
use lovageplank_core::consensus::Membership;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Version;
use lovageplank_core::view::{Instance, ReplicaId, Update};
use lovageplank_process::link::Link;
use lovageplank_wire::{Frame, Heartbeat, Lease};

/// Milliseconds for which an acknowledged heartbeat lets a router serve.
pub const LEASE_MS: u64 = 2_000;

/// Milliseconds that the leader adds to a lease before it counts as run out: clocks may drift.
pub const LEASE_MARGIN_MS: u64 = 200;

/// Routers that get everything in one turn: after an election all ask at once.
const MAX_FULL_UPDATES_PER_ITERATION: usize = 16;

/// Milliseconds that a lost router's name is still shown to operators.
const DISCONNECTED_SHOWN_MS: u64 = 60_000;

/// One router process.
#[derive(Debug)]
pub(super) struct Router {
    pub(super) instance: Name,
    pub(super) address: Name,
    pub(super) failure_domain: Name,
    pub(super) incarnation: u64,
    /// `None` once the connection is gone.
    pub(super) link: Option<Link>,
    /// Until when it may serve by its view; counted from the receipt of its last heartbeat, so
    /// never earlier than the router itself counts.
    pub(super) lease_until: Millis,
    /// Whether a heartbeat has come in this stream of updates.
    pub(super) heartbeat_received: bool,
    /// Version of the tree that it has acknowledged.
    pub(super) tree_version: Version,
    /// What its stream of updates counts from. Grows with each stream, so that no acknowledgement
    /// of an earlier one passes for one of this.
    pub(super) base_sequence: u64,
    /// Sequence of the last update that was sent to it; `base` before the first.
    pub(super) sent_sequence: u64,
    /// Sequence of the last update that it has acknowledged.
    pub(super) acknowledged_sequence: u64,
    /// Draining replicas on which it still has requests.
    pub(super) busy_replicas: BTreeSet<ReplicaId>,
    pub(super) leaving: bool,
}

/// All routers, by instance name and incarnation.
///
/// Invariant: a router whose lease may still run is kept, connected or not.
#[derive(Debug, Default)]
pub(super) struct Routers {
    by_key: BTreeMap<(Name, u64), Router>,
    by_link: BTreeMap<u64, (Name, u64)>,
}

impl Routers {
    /// A router connected.
    pub(super) fn connect(&mut self, link: Link, term: u64) {
        let base_sequence = stream_base(term, link.id);
        let peer = link.peer.clone();
        let key = (peer.instance.clone(), peer.incarnation);
        self.by_link.insert(link.id, key.clone());
        let lease_until = self.by_key.get(&key).map_or(0, |r| r.lease_until);
        let router = Router {
            instance: peer.instance.clone(),
            address: peer.address.clone(),
            failure_domain: peer.failure_domain.clone(),
            incarnation: peer.incarnation,
            link: Some(link),
            lease_until,
            heartbeat_received: false,
            tree_version: Version(0),
            base_sequence,
            sent_sequence: base_sequence,
            acknowledged_sequence: 0,
            busy_replicas: BTreeSet::new(),
            leaving: false,
        };
        self.by_key.insert(key, router);
    }

    /// A connection is gone; the router may live on until its lease ends.
    pub(super) fn disconnect(&mut self, link: u64) -> Option<Name> {
        let key = self.by_link.remove(&link)?;
        let router = self.by_key.get_mut(&key)?;
        if router.link.as_ref().is_some_and(|l| l.id == link) {
            router.link = None;
        }
        Some(key.0)
    }

    /// Takes a heartbeat; `lease` is whether the router's lease is renewed by it. Gives whether
    /// other routers should hear of a change.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Millis,
        link: u64,
        heartbeat: &Heartbeat,
        renews_lease: bool,
    ) -> bool {
        let Some(router) = self.router_on_link(link) else {
            return false;
        };
        let had_lease = router.lease_until > now;
        let changed = router.leaving != heartbeat.leaving || (renews_lease && !had_lease);
        router.heartbeat_received = true;
        router.tree_version = heartbeat.tree;
        router.acknowledged_sequence = heartbeat.view;
        router.busy_replicas = heartbeat.busy.iter().cloned().collect();
        router.leaving = heartbeat.leaving;
        if renews_lease {
            router.lease_until = now + LEASE_MS + LEASE_MARGIN_MS;
        }
        changed
    }

    /// The router behind a connection.
    pub(super) fn router_on_link(&mut self, link: u64) -> Option<&mut Router> {
        self.by_key.get_mut(self.by_link.get(&link)?)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Router> {
        self.by_key.values()
    }

    /// Forgets routers that are gone for long.
    pub(super) fn expire(&mut self, now: Millis) {
        self.by_key
            .retain(|_, r| r.link.is_some() || r.lease_until + DISCONNECTED_SHOWN_MS > now);
    }

    /// Sends what changed to all connected routers.
    pub(super) fn broadcast(&mut self, update: &Update) {
        for router in self.by_key.values_mut() {
            router.send(update.clone());
        }
    }

    /// Sends everything to connected routers whose stream has not begun, a few at a time.
    ///
    /// A router is first heard, so that `full` may leave out the tree that it has.
    pub(super) fn send_full_updates(&mut self, full_update: impl Fn(Version) -> Update) {
        let waiting = self
            .by_key
            .values_mut()
            .filter(|r| r.heartbeat_received && r.stream_not_started());
        for router in waiting.take(MAX_FULL_UPDATES_PER_ITERATION) {
            router.send(full_update(router.tree_version));
        }
    }

    /// Tells connected routers who leads, and who the members are.
    pub(super) fn announce_leader(&self, term: u64, members: &Membership) {
        for link in self.by_key.values().filter_map(|r| r.link.as_ref()) {
            send_leader_and_members(link, term, members);
        }
    }

    /// Begins all streams anew: a new leader's content replaces the last one's.
    pub(super) fn reset_streams(&mut self, term: u64) {
        for router in self.by_key.values_mut() {
            let link = router.link.as_ref().map_or(0, |link| link.id);
            router.base_sequence = stream_base(term, link);
            router.sent_sequence = router.base_sequence;
            router.heartbeat_received = false;
        }
    }

    /// Whether a router's process may still serve.
    pub(super) fn may_serve(&self, now: Millis, instance: &Name, incarnation: u64) -> bool {
        let router = self.by_key.get(&(instance.clone(), incarnation));
        router.is_some_and(|r| r.link.is_some() || r.lease_until > now)
    }

    /// Whether each router that may serve has acknowledged a version of the tree.
    pub(super) fn acknowledged_tree(&self, now: Millis, version: Version) -> bool {
        self.serving(now).all(|r| r.tree_version >= version)
    }

    /// Whether each router that may serve has acknowledged all that was sent to it up to `marks`,
    /// and none has requests left on a replica.
    pub(super) fn all_released(
        &self,
        now: Millis,
        positions: &StreamPositions,
        replica: &ReplicaId,
    ) -> bool {
        self.serving(now).all(|r| {
            let drain_acknowledged = match positions.0.get(&(r.instance.clone(), r.incarnation)) {
                Some(position) => r.acknowledged_sequence >= *position,
                // It connected later and got the drained state with its first update.
                None => true,
            };
            // An acknowledgement of an earlier stream says nothing about this one.
            drain_acknowledged
                && r.acknowledged_sequence > r.base_sequence
                && !r.busy_replicas.contains(replica)
        })
    }

    /// Where each router's stream of updates stands now.
    pub(super) fn stream_positions(&self) -> StreamPositions {
        StreamPositions(
            self.by_key
                .iter()
                .map(|(key, r)| (key.clone(), r.sent_sequence))
                .collect(),
        )
    }

    /// Instances that callers may be sent to, by name; the newest incarnation speaks.
    pub(super) fn instances(&self, now: Millis) -> BTreeMap<Name, Instance> {
        let available = self
            .by_key
            .values()
            .filter(|r| r.link.is_some() && r.lease_until > now);
        available
            .map(|r| (r.instance.clone(), r.instance()))
            .collect()
    }

    fn serving(&self, now: Millis) -> impl Iterator<Item = &Router> {
        self.by_key
            .values()
            .filter(move |r| r.lease_until > now || r.link.is_some())
    }
}

/// Positions in the routers' streams of updates.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamPositions(BTreeMap<(Name, u64), u64>);

impl Router {
    fn stream_not_started(&self) -> bool {
        self.link.is_some() && self.sent_sequence == self.base_sequence
    }

    /// Sends an update as the next of this router's stream.
    pub(super) fn send(&mut self, mut update: Update) {
        let Some(link) = &self.link else { return };
        if self.stream_not_started() && !update.full {
            return;
        }
        self.sent_sequence += 1;
        update.sequence = self.sent_sequence;
        link.send(Frame::Update(Box::new(update)));
    }

    fn instance(&self) -> Instance {
        Instance {
            id: self.instance.clone(),
            address: self.address.clone(),
            failure_domain: self.failure_domain.clone(),
            state: if self.leaving {
                State::Leaving
            } else {
                State::Ready
            },
        }
    }
}

/// Makes the leader and the members known on a link; grants nothing.
pub(super) fn send_leader_and_members(link: &Link, term: u64, members: &Membership) {
    let members = members.voters.iter().chain(&members.learners);
    let members = members.map(|(id, voter)| (id.0, voter.address.clone()));
    link.send(Frame::Members(members.collect()));
    link.send(Frame::Lease(Lease {
        term,
        leads: true,
        heartbeat: 0,
        lease_ms: 0,
    }));
}

/// What a stream on a link counts from: greater for later terms and later links.
fn stream_base(term: u64, link: u64) -> u64 {
    ((term & 0xffff) << 48) | ((link & 0xffff) << 32)
}
