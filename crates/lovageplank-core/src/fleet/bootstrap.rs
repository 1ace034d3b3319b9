//! Forms the control group from the initial voters.
//!
//! The *initial voters* are the processes that the configuration names to form the group. A process
//! generates its identity when it first opens its data folder, so the initial voters learn each
//! other's identities only when they connect. They form a group only when each of them is connected
//! and reports that it belongs to no group. A process that receives a membership with its own
//! identity among the voters joins that group. An initial voter that lost its disk returns with
//! another identity, receives the membership of the others, and waits until it is added.
//!
//! One of them may be gone for good before it has met the others. If so many of the named processes are connected and can
//! vote that a majority of these is a majority of all named ones, and the rest stay away for `FOUNDING_WAIT_MS`, the
//! first of them in their order forms a group of them, which the others join: of two of three, or of four of five. Several
//! initial memberships may come to exist in this way, each at other processes; at most one may ever have a leader:
//!
//! - A process adopts at most one, for good.
//! - Before its first log entry, a process votes only for candidates of the same initial membership
//!   ([`Bootstrap::receives`]). So a leader needs a majority of the named processes that have adopted the same one, and two
//!   majorities have a process in common.
//! - Whoever has adopted another one hears of the group from a leader, and gives its own up before it accepts anything.
//!
//! The configuration may name observers among the initial voters. Observers store nothing and never
//! vote: the others then form the group. If all of them are observers, the first observer
//! designates, once, a connected process that can vote. The observer sends all processes a
//! membership in which the designated process is the only voter. Other processes join that group.

use crate::consensus::{Body, Id, Index, MemberInfo, Membership, Message};
use crate::prelude::*;

/// Milliseconds for which initial voters may stay away before the others form the group. They start within
/// tenths of a second of each other; one that comes later is added.
pub const FOUNDING_WAIT_MS: Millis = 3_000;

/// A control process, as other processes know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its instance, and the address that other processes connect to.
    pub member: MemberInfo,
    /// Whether it may vote: only a process whose state outlives a restart may.
    pub can_vote: bool,
}

/// What a process does with a message of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// It handles the message.
    Accept,
    /// It drops the message: the sender asks for a vote for another initial membership.
    Ignore,
    /// It gives its initial membership up, which has no leader and won't get one, and handles the message then.
    AbandonMembership,
}

/// Decides, for one process, when it forms or joins the control group.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    id: Id,
    /// Description of this process itself.
    own: Peer,
    /// Names of the initial voters, in the same order at each process.
    initial_voters: Vec<Name>,
    /// Whether this process has adopted an initial membership or belongs to a group, so that `form` has nothing left to
    /// decide.
    has_group: bool,
    /// Since when the connected initial voters could form a group without the rest.
    founding_since: Option<Millis>,
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
            founding_since: None,
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
    pub fn form(&mut self, now: Millis) -> Option<Membership> {
        if self.has_group || !self.own.can_vote {
            return None;
        }
        let membership = self
            .membership_with_self()
            .or_else(|| self.initial_membership())
            .or_else(|| self.founding_membership(now))?;
        self.has_group = true;
        Some(membership)
    }

    /// What to do with a message of a peer, for a process with this membership and last index of its log.
    pub fn receives(
        &self,
        own: &Membership,
        last_index: Index,
        from: Id,
        message: &Message,
    ) -> Reception {
        if last_index != Index::default() {
            return Reception::Accept;
        }
        let reported = self.peers.get(&from).and_then(|(_, group)| group.as_ref());
        let is_same = reported.is_some_and(|group| group.voters.keys().eq(own.voters.keys()));
        match &message.body {
            Body::PreVote { last } | Body::RequestVote { last, .. }
                if last.index == Index::default() && !is_same =>
            {
                Reception::Ignore
            }
            Body::Append { .. } | Body::Install { .. } if !is_same && !own.voters.is_empty() => {
                Reception::AbandonMembership
            }
            _ => Reception::Accept,
        }
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

    /// The membership of the connected initial voters, if this process is the first of them, none of them has a group,
    /// each majority of them is one of all initial voters, and the rest have stayed away for long.
    fn founding_membership(&mut self, now: Millis) -> Option<Membership> {
        let present = self.present_initial_voters();
        let own = self.own.member.name.clone();
        let majority = |count: usize| count / 2 + 1;
        let is_enough = majority(present.len()) >= majority(self.initial_voters.len());
        let is_first = present
            .first()
            .is_some_and(|(_, member)| member.name == own);
        if !is_enough || !is_first || self.peer_has_membership() {
            self.founding_since = None;
            return None;
        }
        let since = *self.founding_since.get_or_insert(now);
        if now < since + FOUNDING_WAIT_MS {
            return None;
        }
        let none = Membership::default();
        Some(present.into_iter().fold(none, |membership, (id, member)| {
            membership.with_voter(id, member)
        }))
    }

    /// The initial voters that can vote and are connected, and this process if it is one, in their order.
    fn present_initial_voters(&self) -> Vec<(Id, MemberInfo)> {
        let present = self.initial_voters.iter().filter_map(|name| {
            if *name == self.own.member.name {
                return Some((self.id, self.own.member.clone()));
            }
            let (id, peer) = self.peer_named(name).filter(|(_, peer)| peer.can_vote)?;
            Some((id, peer.member.clone()))
        });
        present.collect()
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
