//! Changes of the membership, one member at a time.

use super::message::{Output, Refusal};
use super::node::{Node, State};
use super::progress::Progress;
use super::types::{Id, Membership, Payload, Voter};

impl Node {
    pub(super) fn add_learner(&mut self, id: Id, voter: Voter) {
        self.change(|node| {
            let membership = node.membership().clone();
            if membership.votes(id) {
                return Ok(membership.voter(id, voter));
            }
            Ok(membership.learner(id, voter))
        });
    }

    pub(super) fn promote(&mut self, id: Id) {
        self.change(|node| {
            let membership = node.membership().clone();
            let Some(voter) = membership.learners.get(&id).cloned() else {
                return Err(Refusal::UnknownMember);
            };
            node.check_caught_up(id)?;
            Ok(membership.voter(id, voter))
        });
    }

    /// A learner becomes a voter when it holds, durably, everything committed and nearly all of
    /// the rest: so a voter lost right afterwards takes nothing with it.
    fn check_caught_up(&self, id: Id) -> Result<(), Refusal> {
        let matched = self.matched(id).ok_or(Refusal::UnknownMember)?;
        let lag = self.last_index().0 - matched.0;
        if matched < self.commit || lag > self.config.max_promotion_lag {
            return Err(Refusal::Behind { lag });
        }
        Ok(())
    }

    pub(super) fn remove(&mut self, id: Id) {
        self.change(|node| {
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

    fn change(&mut self, make: impl FnOnce(&Node) -> Result<Membership, Refusal>) {
        let membership = self.check_change().and_then(|()| make(self));
        match membership {
            Ok(membership) => self.append_change(membership),
            Err(reason) => self.refuse(reason),
        }
    }

    /// One change at a time, and none before an entry of the leader's own term is committed:
    /// else two quorums that don't meet could come to be.
    fn check_change(&self) -> Result<(), Refusal> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        if !self.writable {
            return Err(Refusal::ReadOnly);
        }
        if self.commit < leader.first || !self.membership_committed() {
            return Err(Refusal::ChangePending);
        }
        Ok(())
    }

    fn append_change(&mut self, membership: Membership) {
        let before = self.peers();
        let positions = self.append_own(vec![Payload::Voters(membership)]);
        for position in positions {
            let (index, term) = (position.index, position.term);
            self.outputs.push(Output::Accepted { index, term });
        }
        self.follow_membership(&before);
        self.advance_commit();
        self.replicate_all();
    }

    fn follow_membership(&mut self, before: &[Id]) {
        let peers = self.peers();
        let last = self.last_index();
        let now = self.now;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.progress.retain(|id, _| peers.contains(id));
        for id in peers.iter().filter(|id| !before.contains(id)) {
            leader.progress.insert(*id, Progress::new(last, now));
        }
    }

    /// A leader that was removed commits its removal, counting only the others, and steps down.
    pub(super) fn leave_if_removed(&mut self) {
        let removed = !self.membership().votes(self.config.id) && self.membership_committed();
        if removed && matches!(self.state, State::Leader(_)) {
            self.become_follower(self.vote.term, None);
        }
    }
}
