//! What goes into a node, comes out of it and travels between nodes.

use super::node::Role;
use super::types::{Entry, Id, Index, MemberInfo, Position, Snapshot, Stored, Term, Vote};
use crate::prelude::*;

record! { key =>
    /// A message between members.
    pub struct Message {
        /// Term of the sender; in a pre-vote and its grant, the term that would follow.
        pub term: Term,
        /// What is said.
        pub body: Body,
    }
}

record! { key =>
    /// Bodies of messages.
    pub enum Body {
        /// Asks whether an election could be won, without starting one.
        PreVote {
            /// End of the candidate's log.
            last: Position,
        },
        /// Answers a pre-vote.
        PreVoteReply {
            /// Whether the vote would be given.
            granted: bool,
        },
        /// Asks for the vote.
        RequestVote {
            /// End of the candidate's log.
            last: Position,
            /// The leader itself asked the candidate to take over.
            transfer: bool,
        },
        /// Answers a request for the vote.
        VoteReply {
            /// Whether the vote is given.
            granted: bool,
        },
        /// Entries after `prev`, or a heartbeat if there are none.
        Append {
            /// The entry before the first one sent.
            prev: Position,
            /// What follows it.
            entries: Vec<Entry>,
            /// Commit index of the leader.
            commit: Index,
            /// Heartbeat round, given back in the reply.
            round: u64,
        },
        /// The log is durable and equal to the leader's up to `matched`.
        AppendAccepted {
            /// End of the part known as equal.
            matched: Index,
            /// Round of the message that this answers.
            round: u64,
        },
        /// The log has no entry at `prev`.
        AppendRejected {
            /// The position that was refused.
            prev: Index,
            /// Where the leader should look next.
            hint: Position,
            /// Round of the message that this answers.
            round: u64,
        },
        /// A snapshot in place of entries that the leader no longer has.
        Install {
            /// The snapshot.
            snapshot: Snapshot,
            /// Heartbeat round, given back in the reply.
            round: u64,
        },
        /// Asks a voter to start an election at once.
        TakeOver,
    }
}

/// What the driver tells a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed; due at [`Node::deadline`](super::Node::deadline).
    Tick,
    /// A message has come.
    Receive {
        /// Sender, as authenticated by the connection.
        from: Id,
        /// The message.
        message: Message,
    },
    /// Asks to commit a command.
    Propose {
        /// The command.
        data: Vec<u8>,
    },
    /// Asks to commit several commands; each is answered.
    ProposeBatch(Vec<Vec<u8>>),
    /// Adds a learner, or changes the address of a member.
    AddLearner {
        /// Identity of the member.
        id: Id,
        /// Name and address.
        info: MemberInfo,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Identity of the learner.
        id: Id,
    },
    /// Removes a member.
    Remove {
        /// Identity of the member.
        id: Id,
    },
    /// State at an applied index; the log before it is dropped. Ignored if it is older than the
    /// last one, or larger than [`SNAPSHOT_BYTES_MAX`](super::SNAPSHOT_BYTES_MAX): then the log
    /// keeps growing, so the driver should warn well before.
    Snapshot {
        /// The last entry applied to that state.
        index: Index,
        /// The state.
        data: Arc<[u8]>,
    },
    /// Asks for a linearizable read.
    ReadIndex {
        /// Given back with the answer.
        token: u64,
    },
    /// Asks the leader to hand over to a voter that has the whole log. Accepted means that the
    /// voter was asked; the position is the end of the log.
    TransferLeadership {
        /// The next leader.
        to: Id,
    },
    /// Whether the disk has room for entries. While it has not, a leader keeps its office and
    /// serves reads but refuses proposals; any other member votes and follows, but takes no
    /// entries and starts no election.
    Writable(bool),
}

/// What a node asks of the driver; see the [contract](super#contract-of-the-driver).
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Persist the vote.
    SaveVote(Vote),
    /// Persist entries after dropping everything from the index of the first one on.
    Append {
        /// At least one entry, contiguous.
        entries: Vec<Entry>,
    },
    /// Persist a snapshot. The log keeps what follows it only if it holds the entry at the
    /// snapshot's position; otherwise the whole log is dropped.
    SaveSnapshot(Snapshot),
    /// Entries up to here are covered by the snapshot and may be deleted.
    Compact {
        /// The last entry that may go.
        through: Index,
    },
    /// Send a message; loss, delay and repetition do no harm.
    Send {
        /// Receiver.
        to: Id,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry; they come in order, each once.
    Apply(Entry),
    /// Replace the state machine by that of the snapshot.
    Restore(Snapshot),
    /// A proposal or change entered the log at this place; not yet committed.
    Accepted {
        /// Index of the entry.
        index: Index,
        /// Term of the entry.
        term: Term,
    },
    /// A proposal or change was not taken and will never be applied.
    Refused {
        /// Why.
        reason: Refusal,
    },
    /// The read may be served from the state machine as it now is.
    ReadReady {
        /// Token of the request.
        token: u64,
    },
    /// The node can't confirm that its state is current.
    ReadRefused {
        /// Token of the request.
        token: u64,
        /// Whom to ask instead, if known.
        leader: Option<Id>,
    },
    /// Role, term or known leader have changed.
    RoleChanged {
        /// The role now.
        role: Role,
        /// The term now.
        term: Term,
        /// The leader now, if known.
        leader: Option<Id>,
    },
}

record! { key =>
    /// Why something was not taken.
    pub enum Refusal {
        /// Only the leader takes it.
        NotLeader {
            /// Whom to ask instead, if known.
            leader: Option<Id>,
        },
        /// Too many uncommitted bytes.
        Overloaded,
        /// The disk takes no entries.
        ReadOnly,
        /// Another membership change, or the leader's first entry, is not committed yet.
        ChangePending,
        /// No member has this identity, or not in the role that the change needs.
        UnknownMember,
        /// The learner or voter lacks entries.
        Behind {
            /// Entries that it lacks.
            lag: u64,
        },
        /// The last voter can't be removed.
        LastVoter,
    }
}

impl Stored {
    /// Carries out a persistence output in memory, for drivers without a disk.
    pub fn persist(&mut self, output: &Output) {
        match output {
            Output::SaveVote(vote) => self.vote = *vote,
            Output::Append { entries } => {
                let from = entries.first().map(|entry| entry.index);
                self.entries.retain(|entry| Some(entry.index) < from);
                self.entries.extend(entries.iter().cloned());
            }
            Output::SaveSnapshot(snapshot) => {
                let position = snapshot.position();
                let contains_position = self.entries.iter().any(|e| e.position() == position);
                self.entries
                    .retain(|e| contains_position && e.index > snapshot.index);
                self.snapshot = Some(snapshot.clone());
            }
            _ => {}
        }
    }
}

impl Output {
    /// Whether the output has to be durable before any other of its batch is carried out.
    pub fn is_persistence(&self) -> bool {
        matches!(
            self,
            Output::SaveVote(_)
                | Output::Append { .. }
                | Output::SaveSnapshot(_)
                | Output::Compact { .. }
        )
    }
}
