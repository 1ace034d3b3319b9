//! How the voter's process comes to its group.

use super::{Driver, Report};
use lovageplank_core::consensus::{
    Id, Index, Input, MemberInfo, Membership, Message, Node, Output, Snapshot, StoredState, Term,
};
use lovageplank_core::fleet::bootstrap::{Peer, Reception};
use lovageplank_core::prelude::*;
use lovageplank_wire::{Frame, Hello};

impl Driver {
    /// Handles the membership that a peer sent, `None` before the group was formed.
    ///
    /// A node without a group reports the peer's group to the controller, because it must connect
    /// to the group's members before they can add it.
    pub(super) fn handle_group(&mut self, peer: &Hello, group: Option<Membership>) {
        if let Some(group) = &group
            && self.node.membership().voters.is_empty()
        {
            self.queue_report(Report::Members(group.clone()));
        }
        let member = MemberInfo::new(peer.instance.clone(), peer.address.clone());
        let bootstrap_peer = Peer {
            member,
            can_vote: peer.role == lovageplank_wire::Role::Control,
        };
        self.bootstrap
            .update_peer(Id(peer.id), bootstrap_peer, group);
    }

    /// The membership to send to peers: the log's, or before there is one, the designated one, if
    /// any.
    pub(super) fn advertised_membership(&self) -> Option<Membership> {
        let membership = self.node.membership();
        if membership.voters.is_empty() {
            return self.bootstrap.designated().cloned();
        }
        Some(membership.clone())
    }

    pub(super) fn broadcast_membership(&self) {
        let group = self.advertised_membership();
        for link in self.links.values() {
            link.send(Frame::Group(group.clone()));
        }
    }

    /// Designates the first voter, forms the group or joins the group that names this node, once
    /// the conditions for it hold.
    pub(super) fn bootstrap_group(&mut self) {
        if let Some(designated) = self.bootstrap.designate() {
            tracing::info!(event = "group_appointed", voters = ?designated.voters);
            self.broadcast_membership();
        }
        let Some(membership) = self.bootstrap.form(Self::now()) else {
            return;
        };
        if self.node.last_index() != Index::default() {
            return;
        }
        tracing::info!(event = "group_formed", voters = membership.voters.len());
        self.set_initial_membership(membership);
    }

    /// Handles a message of the consensus protocol.
    pub(super) fn receive(&mut self, from: Id, message: Message) {
        let (own, last_index) = (self.node.membership(), self.node.last_index());
        match self.bootstrap.receives(own, last_index, from, &message) {
            Reception::Accept => {}
            Reception::Ignore => return,
            Reception::AbandonMembership => {
                tracing::warn!(event = "group_abandoned", peer = %from, voters = ?own.voters);
                self.set_initial_membership(Membership::default());
            }
        }
        self.step(Input::Receive { from, message });
    }

    /// Continues with an empty log and this membership.
    fn set_initial_membership(&mut self, membership: Membership) {
        let snapshot = Snapshot {
            index: Index::default(),
            term: Term::default(),
            membership,
            data: Arc::from([]),
        };
        let stored = StoredState {
            vote: self.node.vote(),
            snapshot: Some(snapshot.clone()),
            entries: Vec::new(),
        };
        let now = Self::now();
        self.outputs.push(Output::SaveSnapshot(snapshot));
        self.node = Node::new(
            self.config.consensus.clone(),
            stored,
            Membership::default(),
            now,
        );
    }
}
