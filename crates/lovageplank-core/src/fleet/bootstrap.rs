//! Forms the control group from the initial voters.
//!
//! The *initial voters* are the processes that the configuration names to form the group. A process
//! generates its identity when it first opens its data folder, so the initial voters learn each
//! other's identities only when they connect. They form a group only when each of them is connected
//! and reports that it belongs to no group. A process that receives a membership with its own
//! identity among the voters joins that group. An initial voter that lost its disk returns with
//! another identity, receives the membership of the others, and waits until it is added.
//!
//! The configuration may name observers among the initial voters. Observers store nothing and never
//! vote: the others then form the group. If all of them are observers, the first observer
//! designates, once, a connected process that can vote. The observer sends all processes a
//! membership in which the designated process is the only voter. Other processes join that group.

use crate::consensus::{Id, MemberInfo, Membership};
use crate::prelude::*;

/// A control process, as other processes know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its instance, and the address that other processes connect to.
    pub member: MemberInfo,
    /// Whether it may vote: only a process whose state outlives a restart may.
    pub can_vote: bool,
}

/// Decides, for one process, when it forms or joins the control group.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    id: Id,
    /// Description of this process itself.
    own: Peer,
    /// Names of the initial voters, in the same order at each process.
    initial_voters: Vec<Name>,
    /// Whether this process belongs to a group, so that `form` has nothing left to decide.
    has_group: bool,
    /// Connected processes, each with the membership of the group that it reports to belong to.
    peers: BTreeMap<Id, (Peer, Option<Membership>)>,
    /// The membership that this process sends after it has designated the only voter.
    designated: Option<Membership>,
}

impl Bootstrap {
    /// Returns the state of the process `own` at its start; `has_group` if it already belongs to a
    /// group.
    pub fn new(id: Id, own: Peer, initial_voters: Vec<Name>, has_group: bool) -> Bootstrap {
        Bootstrap {
            id,
            own,
            initial_voters,
            has_group,
            peers: BTreeMap::new(),
            designated: None,
        }
    }

    /// Records a connected process, with the membership of its group if it belongs to one.
    pub fn update_peer(&mut self, id: Id, peer: Peer, membership: Option<Membership>) {
        self.peers.insert(id, (peer, membership));
    }

    /// Removes a process that is no longer connected.
    pub fn remove_peer(&mut self, id: Id) {
        self.peers.remove(&id);
    }

    /// Returns the membership that this process starts with, once it is known: that of the group
    /// that it joins, or of the one that it forms. Returned at most once.
    pub fn form(&mut self) -> Option<Membership> {
        if self.has_group || !self.own.can_vote {
            return None;
        }
        let membership = self
            .membership_with_self()
            .or_else(|| self.initial_membership())?;
        self.has_group = true;
        Some(membership)
    }

    /// Returns the membership that this process designates, to be sent to all processes. Returned
    /// at most once.
    pub fn designate(&mut self) -> Option<Membership> {
        let first = self.initial_voters.first() == Some(&self.own.member.name);
        if !first || self.own.can_vote || self.designated.is_some() || self.peer_has_membership() {
            return None;
        }
        let others = self.other_initial_voters()?;
        if others.iter().any(|(_, peer)| peer.can_vote) {
            return None;
        }
        let mut peers = self.peers.iter().map(|(id, (peer, _))| (id, peer));
        let (id, peer) = peers.find(|(_, peer)| peer.can_vote)?;
        self.designated = Some(Membership::default().with_voter(*id, peer.member.clone()));
        self.designated.clone()
    }

    /// Returns the membership that this process has designated, if any.
    pub fn designated(&self) -> Option<&Membership> {
        self.designated.as_ref()
    }

    /// A reported membership that has this process among its voters.
    fn membership_with_self(&self) -> Option<Membership> {
        let mut memberships = self
            .peers
            .values()
            .filter_map(|(_, membership)| membership.as_ref());
        memberships
            .find(|membership| membership.voters.contains_key(&self.id))
            .cloned()
    }

    /// The membership of the initial voters, if all of them are connected and no process reports a
    /// group.
    fn initial_membership(&self) -> Option<Membership> {
        if !self.initial_voters.contains(&self.own.member.name) || self.peer_has_membership() {
            return None;
        }
        let others = self.other_initial_voters()?;
        let others = others.into_iter().filter(|(_, peer)| peer.can_vote);
        let own = Membership::default().with_voter(self.id, self.own.member.clone());
        Some(others.fold(own, |membership, (id, peer)| {
            membership.with_voter(id, peer.member.clone())
        }))
    }

    fn peer_has_membership(&self) -> bool {
        self.peers
            .values()
            .any(|(_, membership)| membership.is_some())
    }

    /// The other initial voters, if each is connected under exactly one identity.
    fn other_initial_voters(&self) -> Option<Vec<(Id, &Peer)>> {
        let others = self
            .initial_voters
            .iter()
            .filter(|name| **name != self.own.member.name);
        others.map(|name| self.peer_named(name)).collect()
    }

    /// The connected process with that name, if there is exactly one.
    fn peer_named(&self, name: &Name) -> Option<(Id, &Peer)> {
        let peers = self.peers.iter().map(|(id, (peer, _))| (*id, peer));
        let mut named = peers.filter(|(_, peer)| peer.member.name == *name);
        let only = named.next()?;
        named.next().is_none().then_some(only)
    }
}
