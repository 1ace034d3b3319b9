//! Elections: terms, pre-votes, votes and leadership transfer.

use super::config::Mutant;
use super::message::{Body, Message, Output};
use super::node::{Leader, Node, State};
use super::progress::Progress;
use super::read::Reads;
use super::types::{Id, Index, Payload, Position, Term, Vote};
use crate::prelude::*;

impl Node {
    /// Compares a message's term with the node's and adopts a later one. Returns whether the caller
    /// is to handle the message. It is not handled if its term is earlier (a request then gets the
    /// current term as the reply) or if it is a vote request to be ignored.
    pub(super) fn filter_by_term(&mut self, from: Id, message: &Message) -> bool {
        if message.term < self.vote.term {
            self.reply_to_stale_term(from, &message.body);
            return false;
        }
        if message.term == self.vote.term || has_prospective_term(&message.body) {
            return true;
        }
        if self.ignores_candidate(&message.body) {
            return false;
        }
        self.become_follower(message.term, None);
        true
    }

    /// Replies to a request of an earlier term with the current term, so that the sender adopts
    /// it. The reply to an append or a snapshot is an `AppendAccepted` with `matched` 0, which
    /// acknowledges no entry.
    fn reply_to_stale_term(&mut self, from: Id, body: &Body) {
        match body {
            Body::PreVote { .. } => self.send(from, Body::PreVoteReply { granted: false }),
            Body::RequestVote { .. } => self.send(from, Body::VoteReply { granted: false }),
            Body::Append { round, .. } | Body::Install { round, .. } => {
                let round = *round;
                let matched = Index(0);
                self.send(from, Body::AppendAccepted { matched, round });
            }
            _ => {}
        }
    }

    /// Whether a message is a vote request to be ignored because there is an active leader.
    /// Otherwise a member that was partitioned or removed would depose the leader. A vote request
    /// of a leadership transfer is never ignored.
    fn ignores_candidate(&self, body: &Body) -> bool {
        let Body::RequestVote { transfer, .. } = body else {
            return false;
        };
        !transfer && self.has_active_leader()
    }

    /// Whether there is an active leader as far as this node knows: on a leader, whether a quorum
    /// replied within the shortest election timeout; on any other node, whether a message from a
    /// leader was received within that time. Always false without pre-vote.
    pub(super) fn has_active_leader(&self) -> bool {
        if !self.config.pre_vote {
            return false;
        }
        if matches!(self.state, State::Leader(_)) {
            return self.has_quorum_contact(self.now);
        }
        self.last_leader_message_at
            .is_some_and(|received_at| self.now < received_at + self.config.election_timeout_ms)
    }

    pub(super) fn reset_election_timer(&mut self) {
        let timeout = self.config.election_timeout_ms;
        self.election_at = self.now + timeout + self.random.below(timeout.max(1));
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<Id>) {
        let state = std::mem::replace(&mut self.state, State::Follower);
        self.leader = leader;
        if let State::Leader(mut deposed) = state {
            self.last_leader_message_at = None;
            self.refuse_reads(&mut deposed.reads);
        }
        if term > self.vote.term {
            let voted_for = None;
            self.save_vote(Vote { term, voted_for });
        }
        self.reset_election_timer();
    }

    pub(super) fn on_election_timeout(&mut self) {
        self.leader = None;
        self.last_leader_message_at = None;
        self.reset_election_timer();
        if !self.disk_writable || !self.is_electable() {
            self.state = State::Follower;
            return;
        }
        if self.config.pre_vote {
            self.start_pre_vote();
        } else {
            self.start_election(false);
        }
    }

    fn start_pre_vote(&mut self) {
        self.become_candidate(true);
        let last = self.log.last();
        for peer in self.other_voters() {
            let term = self.vote.term.next();
            self.send_in_term(peer, term, Body::PreVote { last });
        }
        self.count_votes();
    }

    pub(super) fn start_election(&mut self, transfer: bool) {
        self.save_vote(Vote {
            term: self.vote.term.next(),
            voted_for: Some(self.config.id),
        });
        self.become_candidate(false);
        let last = self.log.last();
        for peer in self.other_voters() {
            self.send(peer, Body::RequestVote { last, transfer });
        }
        self.count_votes();
    }

    fn become_candidate(&mut self, pre_vote: bool) {
        self.leader = None;
        self.state = State::Candidate {
            pre_vote,
            votes: BTreeSet::from([self.config.id]),
        };
        self.reset_election_timer();
    }

    fn other_voters(&self) -> Vec<Id> {
        let voters = self.membership().voters.keys().copied();
        voters.filter(|id| *id != self.config.id).collect()
    }

    pub(super) fn on_pre_vote(&mut self, from: Id, term: Term, last: Position) {
        let granted =
            term > self.vote.term && !self.has_active_leader() && self.is_up_to_date(last);
        let reply_term = if granted { term } else { self.vote.term };
        self.send_in_term(from, reply_term, Body::PreVoteReply { granted });
    }

    pub(super) fn on_request_vote(&mut self, from: Id, last: Position) {
        let can_vote = self.vote.voted_for.is_none_or(|id| id == from);
        let is_follower = matches!(self.state, State::Follower);
        let granted = can_vote && is_follower && self.is_up_to_date(last);
        if granted {
            self.save_vote(Vote {
                term: self.vote.term,
                voted_for: Some(from),
            });
            self.reset_election_timer();
        }
        self.send(from, Body::VoteReply { granted });
    }

    /// Whether a log that ends at `last` is at least as up to date as this node's. Votes go only to
    /// candidates with such a log, so the log of a candidate that a quorum votes for contains all
    /// committed entries.
    fn is_up_to_date(&self, last: Position) -> bool {
        last >= self.log.last() || self.config.has_mutant(Mutant::VoteForStaleLog)
    }

    pub(super) fn on_vote_reply(&mut self, from: Id, granted: bool, is_pre_vote: bool) {
        let State::Candidate { pre_vote, votes } = &mut self.state else {
            return;
        };
        if *pre_vote == is_pre_vote && granted {
            votes.insert(from);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let State::Candidate { pre_vote, votes } = &self.state else {
            return;
        };
        let membership = self.membership();
        let count = votes.iter().filter(|id| membership.is_voter(**id)).count();
        if count < membership.quorum() {
            return;
        }
        if *pre_vote {
            self.start_election(false);
        } else {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        let last = self.log.last().index;
        let progress = self
            .peers()
            .into_iter()
            .map(|id| (id, Progress::new(last, self.now)))
            .collect();
        let pending = self.log.entries_after(self.commit);
        let uncommitted_bytes = pending.iter().map(super::Entry::size).sum();
        self.state = State::Leader(Leader {
            progress,
            first_index: last.next(),
            heartbeat_at: self.now + self.config.heartbeat_ms,
            round: 0,
            reads: Reads::default(),
            uncommitted_bytes,
        });
        self.leader = Some(self.config.id);
        let payload = self.first_payload();
        self.append_as_leader(vec![payload]);
        self.advance_commit();
        self.replicate_all();
    }

    /// Payload of a new leader's first entry: the membership if the log is empty, so that nodes
    /// that join later receive it, else a no-op.
    fn first_payload(&self) -> Payload {
        if self.log.last().index == Index(0) {
            return Payload::Voters(self.membership().clone());
        }
        Payload::Noop
    }

    pub(super) fn on_take_over(&mut self, from: Id) {
        let is_from_leader = self.leader == Some(from);
        let is_follower = matches!(self.state, State::Follower);
        if is_from_leader && self.is_electable() && is_follower && self.disk_writable {
            self.start_election(true);
        }
    }

    /// Requests that a voter start an election at once; refused unless its log is complete.
    pub(super) fn transfer_leadership(&mut self, to: Id) {
        let last = self.log.last();
        let State::Leader(leader) = &self.state else {
            return self.refuse(self.not_leader());
        };
        let progress = leader.progress.get(&to);
        let Some(progress) = progress.filter(|_| self.membership().is_voter(to)) else {
            return self.refuse(super::Refusal::UnknownMember);
        };
        let lag = last.index.0 - progress.matched.0;
        if lag > 0 {
            return self.refuse(super::Refusal::Behind { lag });
        }
        self.send(to, Body::TakeOver);
        let Position { term, index } = last;
        self.outputs.push(Output::Accepted { index, term });
    }
}

/// Whether the message carries the term that a pre-candidate would start. A receiver must not adopt
/// this term, as no election has started in it.
fn has_prospective_term(body: &Body) -> bool {
    matches!(
        body,
        Body::PreVote { .. } | Body::PreVoteReply { granted: true }
    )
}
