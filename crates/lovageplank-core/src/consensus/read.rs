//! Linearizable reads: confirmed by a round of heartbeats that a quorum answers.

use super::config::Mutant;
use super::message::Output;
use super::node::{Node, State};
use super::progress::quorum_value;
use super::types::Index;
use std::collections::VecDeque;

/// Reads that wait for their round, in its order.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct Reads(VecDeque<Read>);

#[derive(Clone, Debug, Hash)]
struct Read {
    token: u64,
    /// Started after the read came, so its answers show that no later leader was there.
    round: u64,
    /// The state has to include this entry.
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
            // A new leader may not know yet what the last one committed; it does once the
            // first entry of its own is committed.
            index: self.commit.max(leader.first_index),
        });
        // Reads that come while a round is under way share the next one.
        if no_pending_reads {
            self.heartbeat();
        }
        self.confirm_reads();
    }

    /// Answers the reads whose round a quorum has answered.
    pub(super) fn confirm_reads(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let mut confirmed = quorum_value(self.membership(), |id| {
            if id == self.config.id {
                return Some(leader.round);
            }
            leader.progress.get(&id).map(|progress| progress.round)
        });
        if self.config.has_mutant(Mutant::ReadWithoutQuorum) {
            confirmed = leader.round;
        }
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let mut advanced = false;
        while let Some(read) = leader.reads.0.front()
            && read.round <= confirmed
            && read.index <= commit
        {
            let token = read.token;
            leader.reads.0.pop_front();
            self.outputs.push(Output::ReadReady { token });
            advanced = true;
        }
        let needs_new_round = leader
            .reads
            .0
            .front()
            .is_some_and(|read| read.round > leader.round);
        if advanced && needs_new_round {
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
