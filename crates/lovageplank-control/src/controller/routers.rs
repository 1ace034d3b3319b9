//! The leader's state of each router: its lease, its stream of updates and its acknowledgements.

use lovageplank_core::backend::State;
use lovageplank_core::consensus::Membership;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::Version;
use lovageplank_core::view::{Instance, ReplicaId, Update};
use lovageplank_process::link::Link;
use lovageplank_wire::{Frame, Heartbeat, Lease};

/// Milliseconds that a router may serve after sending a heartbeat that the leader granted a lease
/// for. Beyond it, the router stops serving until a later heartbeat is granted one.
pub const LEASE_MS: u64 = 2_000;

/// Milliseconds that the leader adds to a lease before it counts as expired, because clocks may
/// drift.
pub const LEASE_MARGIN_MS: u64 = 200;

/// Maximum number of full updates per publication. After an election all routers need one at the
/// same time; the rest is sent with the next publications.
const MAX_FULL_UPDATES_PER_ITERATION: usize = 16;

/// Milliseconds after the expiry of its lease for which a disconnected router is still shown to
/// operators.
const DISCONNECTED_SHOWN_MS: u64 = 60_000;

/// A router process.
#[derive(Debug)]
pub(super) struct Router {
    pub(super) instance: Name,
    pub(super) address: Name,
    pub(super) failure_domain: Name,
    pub(super) incarnation: u64,
    /// The link to the router; `None` while disconnected.
    pub(super) link: Option<Link>,
    /// When its lease expires, counted from the receipt of the heartbeat. The router counts from
    /// the sending and therefore stops serving no later.
    pub(super) lease_until: Millis,
    /// Whether a heartbeat was received since the stream of updates was reset.
    pub(super) heartbeat_received: bool,
    /// Version of the settings tree that it applies, by its last heartbeat.
    pub(super) tree_version: Version,
    /// The sequence before the first update of its stream. Increases with each stream, so that an
    /// acknowledgement of an earlier stream isn't mistaken for one of this stream.
    pub(super) base_sequence: u64,
    /// Sequence of the last update sent to it; `base_sequence` before the first.
    pub(super) sent_sequence: u64,
    /// Sequence of the last update that it acknowledged; may belong to an earlier stream.
    pub(super) acknowledged_sequence: u64,
    /// Draining replicas on which it still has requests, by its last heartbeat.
    pub(super) busy_replicas: BTreeSet<ReplicaId>,
    pub(super) leaving: bool,
}

/// All routers, by instance name and incarnation.
///
/// Invariant: a router whose lease may not have expired is kept, connected or not.
#[derive(Debug, Default)]
pub(super) struct Routers {
    by_key: BTreeMap<(Name, u64), Router>,
    by_link: BTreeMap<u64, (Name, u64)>,
}

impl Routers {
    /// Adds a router whose link came up and starts a new stream of updates. A lease granted to the
    /// same process before stays.
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

    /// Removes a link that went down and returns its router's instance name. The router may serve
    /// until its lease expires.
    pub(super) fn disconnect(&mut self, link: u64) -> Option<Name> {
        let key = self.by_link.remove(&link)?;
        let router = self.by_key.get_mut(&key)?;
        if router.link.as_ref().is_some_and(|l| l.id == link) {
            router.link = None;
        }
        Some(key.0)
    }

    /// Applies a heartbeat and, if `renews_lease`, renews the router's lease. Returns whether the
    /// router's entry in the view changes.
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

    /// The router at the other end of a link.
    pub(super) fn router_on_link(&mut self, link: u64) -> Option<&mut Router> {
        self.by_key.get_mut(self.by_link.get(&link)?)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Router> {
        self.by_key.values()
    }

    /// Removes disconnected routers whose lease expired [`DISCONNECTED_SHOWN_MS`] ago.
    pub(super) fn expire(&mut self, now: Millis) {
        self.by_key
            .retain(|_, r| r.link.is_some() || r.lease_until + DISCONNECTED_SHOWN_MS > now);
    }

    /// Sends an update to all connected routers whose stream has started.
    pub(super) fn broadcast(&mut self, update: &Update) {
        for router in self.by_key.values_mut() {
            router.send(update.clone());
        }
    }

    /// Starts streams that have not started with a full update, at most
    /// [`MAX_FULL_UPDATES_PER_ITERATION`] of them.
    ///
    /// Waits for the router's first heartbeat, which gives the version of the tree that the update
    /// may leave out.
    pub(super) fn send_full_updates(&mut self, full_update: impl Fn(Version) -> Update) {
        let waiting = self
            .by_key
            .values_mut()
            .filter(|r| r.heartbeat_received && r.stream_not_started());
        for router in waiting.take(MAX_FULL_UPDATES_PER_ITERATION) {
            router.send(full_update(router.tree_version));
        }
    }

    /// Sends the leader and the members of the control group to connected routers.
    pub(super) fn announce_leader(&self, term: u64, members: &Membership) {
        for link in self.by_key.values().filter_map(|r| r.link.as_ref()) {
            send_leader_and_members(link, term, members);
        }
    }

    /// Resets all streams, so that a new leader's full update replaces the view that the former
    /// leader sent.
    pub(super) fn reset_streams(&mut self, term: u64) {
        for router in self.by_key.values_mut() {
            let link = router.link.as_ref().map_or(0, |link| link.id);
            router.base_sequence = stream_base(term, link);
            router.sent_sequence = router.base_sequence;
            router.heartbeat_received = false;
        }
    }

    /// Whether a router process may still serve: it is connected or its lease has not expired.
    pub(super) fn may_serve(&self, now: Millis, instance: &Name, incarnation: u64) -> bool {
        let router = self.by_key.get(&(instance.clone(), incarnation));
        router.is_some_and(|r| r.link.is_some() || r.lease_until > now)
    }

    /// Whether each router that may serve applies at least this version of the settings tree.
    pub(super) fn acknowledged_tree(&self, now: Millis, version: Version) -> bool {
        self.serving(now).all(|r| r.tree_version >= version)
    }

    /// Whether each router that may serve has acknowledged all updates up to `positions` and has no
    /// requests left on the replica.
    pub(super) fn all_released(
        &self,
        now: Millis,
        positions: &StreamPositions,
        replica: &ReplicaId,
    ) -> bool {
        self.serving(now).all(|r| {
            let drain_acknowledged = match positions.0.get(&(r.instance.clone(), r.incarnation)) {
                Some(position) => r.acknowledged_sequence >= *position,
                // The router connected later; its full update already showed the replica draining.
                None => true,
            };
            // An acknowledgement of an earlier stream proves nothing about this one.
            drain_acknowledged
                && r.acknowledged_sequence > r.base_sequence
                && !r.busy_replicas.contains(replica)
        })
    }

    /// Sequence of the last update sent to each router.
    pub(super) fn stream_positions(&self) -> StreamPositions {
        StreamPositions(
            self.by_key
                .iter()
                .map(|(key, r)| (key.clone(), r.sent_sequence))
                .collect(),
        )
    }

    /// Instances to which callers may be directed, by name. Of several router processes of an
    /// instance, the one with the highest incarnation counts.
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

/// Sequences in the routers' streams of updates, by instance name and incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamPositions(BTreeMap<(Name, u64), u64>);

impl Router {
    fn stream_not_started(&self) -> bool {
        self.link.is_some() && self.sent_sequence == self.base_sequence
    }

    /// Sends the next update of this router's stream; a stream starts with a full update only.
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

/// Sends the leader's term and the members of the control group on a link. Grants no lease.
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

/// The base sequence of a stream on a link: greater for later terms, and within a term for later
/// links.
fn stream_base(term: u64, link: u64) -> u64 {
    ((term & 0xffff) << 48) | ((link & 0xffff) << 32)
}
