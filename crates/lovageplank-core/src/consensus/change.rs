//! Single-server membership changes.

use super::message::{Output, Refusal};
use super::node::{Node, State};
use super::progress::Progress;
use super::types::{Id, MemberInfo, Membership, Payload};

impl Node {
    /// Adds a learner, or replaces the name and address of a voter or learner.
    pub(super) fn add_or_update_member(&mut self, id: Id, info: MemberInfo) {
        self.change_membership(|node| {
            let membership = node.membership().clone();
            if membership.is_voter(id) {
                return Ok(membership.with_voter(id, info));
            }
            Ok(membership.with_learner(id, info))
        });
    }

    pub(super) fn promote(&mut self, id: Id) {
        self.change_membership(|node| {
            let membership = node.membership().clone();
            let Some(info) = membership.learners.get(&id).cloned() else {
                return Err(Refusal::UnknownMember);
            };
            node.check_caught_up(id)?;
            Ok(membership.with_voter(id, info))
        });
    }

    /// Refuses to promote a learner that has not acknowledged all committed entries, or whose log
    /// ends more than `max_promotion_lag` entries before the leader's. Because a promoted learner
    /// has all committed entries on disk, none is lost if another voter fails right afterwards.
    fn check_caught_up(&self, id: Id) -> Result<(), Refusal> {
        let matched = self.matched(id).ok_or(Refusal::UnknownMember)?;
        let lag = self.last_index().0 - matched.0;
        if matched < self.commit || lag > self.config.max_promotion_lag {
            return Err(Refusal::Behind { lag });
        }
        Ok(())
    }

    pub(super) fn remove(&mut self, id: Id) {
        self.change_membership(|node| {
            let membership = node.membership().clone();
            if !membership.members().any(|(member, _)| member == id) {
                return Err(Refusal::UnknownMember);
            }
            let membership = membership.without(id);
            if membership.voters.is_empty() {
                return Err(Refusal::LastVoter);
            }
            Ok(membership)
        });
    }

    fn change_membership(&mut self, build: impl FnOnce(&Node) -> Result<Membership, Refusal>) {
        let membership = self.check_change_allowed().and_then(|()| build(self));
        match membership {
            Ok(membership) => self.append_membership(membership),
            Err(reason) => self.refuse(reason),
        }
    }

    /// Allows one change at a time, and none before an entry of the leader's own term is
    /// committed: otherwise two quorums without a common voter could form.
    fn check_change_allowed(&self) -> Result<(), Refusal> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        if !self.disk_writable {
            return Err(Refusal::ReadOnly);
        }
        if self.commit < leader.first_index || !self.membership_committed() {
            return Err(Refusal::ChangePending);
        }
        Ok(())
    }

    fn append_membership(&mut self, membership: Membership) {
        let previous_peers = self.peers();
        let positions = self.append_as_leader(vec![Payload::Voters(membership)]);
        for position in positions {
            let (index, term) = (position.index, position.term);
            self.outputs.push(Output::Accepted { index, term });
        }
        self.update_progress_records(&previous_peers);
        self.advance_commit();
        self.replicate_all();
    }

    /// Deletes the [`Progress`] of each removed member and creates one for each new member.
    fn update_progress_records(&mut self, previous_peers: &[Id]) {
        let peers = self.peers();
        let last = self.last_index();
        let now = self.now;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.progress.retain(|id, _| peers.contains(id));
        for id in peers.iter().filter(|id| !previous_peers.contains(id)) {
            leader.progress.insert(*id, Progress::new(last, now));
        }
    }

    /// Makes a removed leader step down once its removal is committed. Until then it leads, but
    /// does not count towards the quorum.
    pub(super) fn step_down_if_removed(&mut self) {
        let removed = !self.membership().is_voter(self.config.id) && self.membership_committed();
        if removed && matches!(self.state, State::Leader(_)) {
            self.become_follower(self.vote.term, None);
        }
    }
}
