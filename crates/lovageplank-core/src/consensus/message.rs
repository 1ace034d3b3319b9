//! Inputs and outputs of a node, and the messages between nodes.

use super::node::Role;
use super::types::{Entry, Id, Index, MemberInfo, Position, Snapshot, StoredState, Term, Vote};
use crate::prelude::*;

record! { key =>
    /// A message between members.
    pub struct Message {
        /// Term of the sender, except in `PreVote` and in a `PreVoteReply` that grants it: these
        /// carry the term that the candidate would start.
        pub term: Term,
        /// The request or reply.
        pub body: Body,
    }
}

record! { key =>
    /// Requests and replies of the protocol.
    pub enum Body {
        /// Requests a pre-vote: whether the receiver would vote for the sender, without starting
        /// an election.
        PreVote {
            /// Last position in the candidate's log.
            last: Position,
        },
        /// Reply to `PreVote`. A voter that grants a pre-vote may still vote for another
        /// candidate in an election.
        PreVoteReply {
            /// Whether the sender of this reply would vote for the candidate.
            granted: bool,
        },
        /// Requests a vote in the message's term.
        RequestVote {
            /// Last position in the candidate's log.
            last: Position,
            /// Whether the candidate started this election because the leader sent it `TakeOver`.
            transfer: bool,
        },
        /// Reply to `RequestVote`.
        VoteReply {
            /// Whether the sender of this reply has voted for the candidate.
            granted: bool,
        },
        /// Log entries after `prev`; a heartbeat if `entries` is empty.
        Append {
            /// Position of the entry before the first one sent.
            prev: Position,
            /// Contiguous entries; the first has the index after `prev`'s.
            entries: Vec<Entry>,
            /// Commit index of the leader.
            commit: Index,
            /// Heartbeat round of the leader. The reply returns it, so that the leader can confirm
            /// pending reads once a quorum has answered a round.
            round: u64,
        },
        /// Reply to `Append` or `Install`: the sender's log is durable and equal to the leader's
        /// up to `matched`. Also the reply to an `Append` or `Install` of an earlier term; then
        /// `matched` is 0 and no entry is acknowledged.
        AppendAccepted {
            /// Last index up to which the logs are known to be equal.
            matched: Index,
            /// Round of the message that this answers.
            round: u64,
        },
        /// Reports that the sender's log does not contain the position at `prev`.
        AppendRejected {
            /// Index of the position that was not found: `prev` of the rejected `Append`. The
            /// leader uses it to recognize an outdated rejection.
            prev: Index,
            /// Position in the sender's log from which the leader searches back for the last
            /// common entry.
            hint: Position,
            /// Round of the message that this answers.
            round: u64,
        },
        /// A snapshot that replaces entries that the leader no longer has.
        Install {
            /// The leader's latest snapshot.
            snapshot: Snapshot,
            /// Heartbeat round of the leader, as in `Append`.
            round: u64,
        },
        /// Sent by a leader that transfers its leadership (`TimeoutNow` in Raft). Requests that
        /// the receiver, a voter, start an election at once.
        TakeOver,
    }
}

/// An event or request that the driver passes to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Lets the node act on expired timeouts; due at [`Node::deadline`](super::Node::deadline).
    Tick,
    /// A message was received.
    Receive {
        /// Sender, as authenticated by the connection.
        from: Id,
        /// The message.
        message: Message,
    },
    /// Proposes a command.
    Propose {
        /// Command of the state machine, as opaque bytes.
        data: Vec<u8>,
    },
    /// Proposes several commands; each gets its own reply.
    ProposeBatch(Vec<Vec<u8>>),
    /// Adds a learner, or changes the name and address of a voter or learner. A voter stays a
    /// voter.
    AddLearner {
        /// Identity of the new or existing member.
        id: Id,
        /// Name and address.
        info: MemberInfo,
    },
    /// Promotes a learner to voter; refused until its log has caught up.
    Promote {
        /// Identity of the learner.
        id: Id,
    },
    /// Removes a voter or learner from the membership. Refused for the last voter.
    Remove {
        /// Identity of the voter or learner.
        id: Id,
    },
    /// State of the state machine at an applied index, to replace the log up to that index.
    /// Ignored if the index is not applied yet or not after the last snapshot's, or if the state
    /// is larger than [`SNAPSHOT_BYTES_MAX`](super::SNAPSHOT_BYTES_MAX). In the last case the log
    /// keeps growing, so the driver should warn the operator well before that size is reached.
    Snapshot {
        /// Index of the last entry applied to the state.
        index: Index,
        /// The state, as the state machine encodes it.
        data: Arc<[u8]>,
    },
    /// Requests a linearizable read.
    ReadIndex {
        /// Returned with the reply.
        token: u64,
    },
    /// Requests that the leader transfer its leadership to a voter that has the whole log.
    /// [`Output::Accepted`] means that the transfer was requested from the voter, and names the
    /// last position in the log.
    TransferLeadership {
        /// The next leader.
        to: Id,
    },
    /// Whether the disk has room for entries. While it has none, a leader keeps its leadership and
    /// serves reads but refuses proposals and membership changes; any other member votes and
    /// follows a leader, but appends no entries, installs no snapshot and starts no election.
    Writable(bool),
}

/// An action or reply that a node returns to its driver, which carries it out in the order of the
/// [contract](super#contract-of-the-driver).
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Persist the vote.
    SaveVote(Vote),
    /// Persist new entries. Stored entries at or after the index of the first new one are deleted.
    Append {
        /// At least one entry, contiguous.
        entries: Vec<Entry>,
    },
    /// Persist a snapshot. If the stored log contains the snapshot's position, the entries after
    /// it are kept; otherwise the whole log is dropped.
    SaveSnapshot(Snapshot),
    /// Stored entries up to here are covered by the snapshot and may be deleted.
    Compact {
        /// Index of the last entry that may be deleted.
        through: Index,
    },
    /// Send a message. The protocol tolerates lost, delayed and duplicated messages.
    Send {
        /// Receiver.
        to: Id,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry. Entries are returned in order, each once.
    Apply(Entry),
    /// Replace the state of the state machine by the snapshot's.
    Restore(Snapshot),
    /// A proposal or membership change was appended to the log but is not committed yet. For a
    /// leadership transfer: the request to the voter was returned as [`Output::Send`].
    Accepted {
        /// Index of the appended entry; for a transfer, of the last entry in the log.
        index: Index,
        /// Term of the entry at `index`.
        term: Term,
    },
    /// A proposal, membership change or leadership transfer was refused and will never take
    /// effect.
    Refused {
        /// Cause of the refusal.
        reason: Refusal,
    },
    /// The read may be served from the current state of the state machine.
    ReadReady {
        /// Token of the request.
        token: u64,
    },
    /// The node can't confirm that its state is current.
    ReadRefused {
        /// Token of the request.
        token: u64,
        /// The leader to send the request to, if known.
        leader: Option<Id>,
    },
    /// The role, the term or the known leader has changed.
    RoleChanged {
        /// Role after the step.
        role: Role,
        /// Term after the step.
        term: Term,
        /// Leader of that term, if known.
        leader: Option<Id>,
    },
}

record! { key =>
    /// Why a proposal, membership change or leadership transfer was refused.
    pub enum Refusal {
        /// The node is not the leader.
        NotLeader {
            /// The leader to send the request to, if known.
            leader: Option<Id>,
        },
        /// The leader has too many uncommitted payload bytes.
        Overloaded,
        /// The leader's disk has no room for entries, as last reported by [`Input::Writable`].
        ReadOnly,
        /// Another membership change, or the leader's first entry, is not committed yet.
        ChangePending,
        /// No member of the required kind has this identity. A promotion requires a learner, a
        /// leadership transfer another voter, and a removal a voter or learner.
        UnknownMember,
        /// The log of the learner to be promoted, or of the voter to become leader, lacks entries.
        Behind {
            /// Number of entries that it lacks.
            lag: u64,
        },
        /// The last voter can't be removed.
        LastVoter,
    }
}

impl StoredState {
    /// Applies a persistence output to this in-memory state, for drivers without a disk. Other
    /// outputs and [`Output::Compact`] change nothing.
    pub fn apply_persistence(&mut self, output: &Output) {
        match output {
            Output::SaveVote(vote) => self.vote = *vote,
            Output::Append { entries } => {
                // Index of the first entry to be replaced; `entries` is never empty.
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
    /// Whether the output must be durable before the non-persistence outputs of its batch are
    /// carried out.
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
