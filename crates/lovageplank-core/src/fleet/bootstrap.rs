//! How the first voters become a group.
//!
//! Identities are minted with the data folders, so the founders must meet before they can name
//! each other. A group is founded only when every founder is connected and says that it belongs to
//! none; whoever learns of a group that names its own identity joins it. A founder that lost its
//! disk comes back under another identity, sees that the others have a group, and stays out until
//! it is added.
//!
//! Founders may be observers, which keep nothing and don't vote: the others found the group. If
//! all are observers, the first of them appoints one process that can vote, once; others join its
//! group.

use crate::consensus::{Id, Membership, Voter};
use crate::prelude::*;

/// A control process, as others see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name and link address.
    pub voter: Voter,
    /// Whether it may vote: what it is told outlives its process.
    pub can_vote: bool,
}

/// What one process knows of the founders.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    id: Id,
    own: Peer,
    /// Names of the founders, in the same order at each.
    initial_voters: Vec<Name>,
    /// Whether this process belongs to a group; then nothing more is to be done.
    formed: bool,
    /// Connected processes and the groups they name.
    peers: BTreeMap<Id, (Peer, Option<Membership>)>,
    /// The group that this process has appointed.
    designated: Option<Membership>,
}

impl Bootstrap {
    /// What the process `own` knows at its start; `formed` if it belongs to a group already.
    pub fn new(id: Id, own: Peer, initial_voters: Vec<Name>, formed: bool) -> Bootstrap {
        Bootstrap {
            id,
            own,
            initial_voters,
            formed,
            peers: BTreeMap::new(),
            designated: None,
        }
    }

    /// A connected process names its group, or says that it has none.
    pub fn update_peer(&mut self, id: Id, peer: Peer, group: Option<Membership>) {
        self.peers.insert(id, (peer, group));
    }

    /// A process is connected no more.
    pub fn remove_peer(&mut self, id: Id) {
        self.peers.remove(&id);
    }

    /// The membership to start with, once it is known; given at most once.
    pub fn form(&mut self) -> Option<Membership> {
        if self.formed || !self.own.can_vote {
            return None;
        }
        let membership = self.group_with_self().or_else(|| self.initial_group())?;
        self.formed = true;
        Some(membership)
    }

    /// The group that this process appoints, given at most once, and to be told to all.
    pub fn designate(&mut self) -> Option<Membership> {
        let first = self.initial_voters.first() == Some(&self.own.voter.name);
        if !first || self.own.can_vote || self.designated.is_some() || self.knows_group() {
            return None;
        }
        let others = self.other_initial_voters()?;
        if others.iter().any(|(_, peer)| peer.can_vote) {
            return None;
        }
        let mut peers = self.peers.iter().map(|(id, (peer, _))| (id, peer));
        let (id, peer) = peers.find(|(_, peer)| peer.can_vote)?;
        self.designated = Some(Membership::default().voter(*id, peer.voter.clone()));
        self.designated.clone()
    }

    /// The group that this process has appointed, if it has.
    pub fn designated(&self) -> Option<&Membership> {
        self.designated.as_ref()
    }

    /// A group that already names this process.
    fn group_with_self(&self) -> Option<Membership> {
        let mut groups = self.peers.values().filter_map(|(_, group)| group.as_ref());
        groups
            .find(|group| group.voters.contains_key(&self.id))
            .cloned()
    }

    /// The founders' group, if all are here and none has a group yet.
    fn initial_group(&self) -> Option<Membership> {
        if !self.initial_voters.contains(&self.own.voter.name) || self.knows_group() {
            return None;
        }
        let others = self.other_initial_voters()?;
        let others = others.into_iter().filter(|(_, peer)| peer.can_vote);
        let own = Membership::default().voter(self.id, self.own.voter.clone());
        Some(others.fold(own, |group, (id, peer)| group.voter(id, peer.voter.clone())))
    }

    fn knows_group(&self) -> bool {
        self.peers.values().any(|(_, group)| group.is_some())
    }

    /// The other founders, if each is connected under one identity.
    fn other_initial_voters(&self) -> Option<Vec<(Id, &Peer)>> {
        let others = self
            .initial_voters
            .iter()
            .filter(|f| **f != self.own.voter.name);
        others.map(|name| self.peer_named(name)).collect()
    }

    /// The only connected process of that name.
    fn peer_named(&self, name: &Name) -> Option<(Id, &Peer)> {
        let peers = self.peers.iter().map(|(id, (peer, _))| (*id, peer));
        let mut named = peers.filter(|(_, peer)| peer.voter.name == *name);
        let only = named.next()?;
        named.next().is_none().then_some(only)
    }
}
