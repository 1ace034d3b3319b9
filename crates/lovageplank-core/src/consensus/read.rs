//! Linearizable reads (read index), confirmed by a heartbeat round that a quorum answers.

use super::config::Mutant;
use super::message::Output;
use super::node::{Node, State};
use super::progress::quorum_value;
use super::types::Index;
use std::collections::VecDeque;

/// Pending reads, in the order of their rounds.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct Reads(VecDeque<Read>);

#[derive(Clone, Debug, Hash)]
struct Read {
    token: u64,
    /// The first heartbeat round started after the request. If a quorum answers it, no later
    /// leader existed when the read was requested.
    round: u64,
    /// The read must be served from a state that includes this entry.
    index: Index,
}

impl Reads {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Node {
    pub(super) fn read_index(&mut self, token: u64) {
        let State::Leader(leader) = &mut self.state else {
            let leader = self.leader;
            return self.outputs.push(Output::ReadRefused { token, leader });
        };
        let no_pending_reads = leader.reads.is_empty();
        leader.reads.0.push_back(Read {
            token,
            round: leader.round + 1,
            // A new leader knows all entries committed before its term only once its own first
            // entry is committed.
            index: self.commit.max(leader.first_index),
        });
        // Reads requested while a round is in progress share the next round.
        if no_pending_reads {
            self.heartbeat();
        }
        self.confirm_reads();
    }

    /// Answers the reads whose round a quorum has answered and whose entry is committed. Starts
    /// the next round if reads are waiting for it.
    pub(super) fn confirm_reads(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let mut confirmed_round = quorum_value(self.membership(), |id| {
            if id == self.config.id {
                return Some(leader.round);
            }
            leader.progress.get(&id).map(|progress| progress.round)
        });
        if self.config.has_mutant(Mutant::ReadWithoutQuorum) {
            confirmed_round = leader.round;
        }
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let mut answered_any = false;
        while let Some(read) = leader.reads.0.front()
            && read.round <= confirmed_round
            && read.index <= commit
        {
            let token = read.token;
            leader.reads.0.pop_front();
            self.outputs.push(Output::ReadReady { token });
            answered_any = true;
        }
        let needs_new_round = leader
            .reads
            .0
            .front()
            .is_some_and(|read| read.round > leader.round);
        if answered_any && needs_new_round {
            self.heartbeat();
            self.confirm_reads();
        }
    }

    pub(super) fn refuse_reads(&mut self, reads: &mut Reads) {
        let leader = self.leader;
        for Read { token, .. } in reads.0.drain(..) {
            self.outputs.push(Output::ReadRefused { token, leader });
        }
    }
}
