//! Types of the replicated log: identities, positions, entries, memberships, votes, snapshots.
//!
//! The word before `=>` in `record!` chooses the derived traits; see `macros.rs`.

use super::bytes;
use crate::prelude::*;
use std::fmt;

record! { copy =>
    /// Identity of a member (voter or learner), generated at random with its data folder and never
    /// reused.
    pub struct Id(pub u64);
}

record! { copy =>
    /// Raft term; each term has at most one leader.
    #[derive(Default)]
    pub struct Term(pub u64);
}

record! { copy =>
    /// Index of a log entry. The first entry has index 1; index 0 is the start of the empty log.
    #[derive(Default)]
    pub struct Index(pub u64);
}

record! { copy =>
    /// Term and index of a log entry. Two logs that share a position are equal up to it.
    ///
    /// Ordered by term, then by index, as elections compare logs.
    #[derive(Default)]
    pub struct Position {
        /// Term of the leader that created the entry.
        pub term: Term,
        /// Index of the entry in the log; 0 is the start of the empty log.
        pub index: Index,
    }
}

record! { key =>
    /// Name and address of a voter or learner.
    pub struct MemberInfo {
        /// Name of the instance (one running copy of the system on a machine) that the member
        /// belongs to.
        pub name: Name,
        /// Address of the instance, as `host:port`.
        pub address: Name,
    }
}

record! { key =>
    /// Voters and learners of the control group.
    ///
    /// An identity is in at most one of the two maps.
    #[derive(Default)]
    pub struct Membership {
        /// Members that vote and count towards a quorum.
        pub voters: BTreeMap<Id, MemberInfo>,
        /// Members that replicate the log but don't vote or count towards a quorum.
        pub learners: BTreeMap<Id, MemberInfo>,
    }
}

record! { key =>
    /// What a log entry carries: a command, a membership or nothing.
    pub enum Payload {
        /// No command. A new leader appends it, because entries of earlier terms are committed
        /// only along with one of its own term.
        Noop,
        /// A command of the state machine, as opaque bytes.
        Data(#[serde(with = "bytes")] Vec<u8>),
        /// The whole membership from this entry on, learners included. It applies as soon as the
        /// entry is in the log, committed or not.
        Voters(Membership),
    }
}

record! { key =>
    /// One entry of the replicated log.
    pub struct Entry {
        /// Term of the leader that created the entry.
        pub term: Term,
        /// Index in the log, one after the previous entry's.
        pub index: Index,
        /// Command or membership, if any.
        pub payload: Payload,
    }
}

record! { copy =>
    /// A node's current term and its vote in that term (part of Raft's hard state). Durable before
    /// any message of that term is sent.
    #[derive(Default)]
    pub struct Vote {
        /// The current term, which never decreases.
        pub term: Term,
        /// The candidate that the node voted for in this term.
        pub voted_for: Option<Id>,
    }
}

record! { key =>
    /// State of the state machine after the entry at `index`, which replaces the log up to there.
    pub struct Snapshot {
        /// Index of the last entry that the snapshot includes.
        pub index: Index,
        /// Term of that entry.
        pub term: Term,
        /// Membership at that entry.
        pub membership: Membership,
        /// The state, as the state machine encodes it.
        #[serde(with = "bytes")]
        pub data: Arc<[u8]>,
    }
}

record! { key =>
    /// The durable state of a node, as read from its data folder when the node starts.
    ///
    /// `entries` are contiguous and begin right after the snapshot, or at index 1 without one.
    #[derive(Default)]
    pub struct StoredState {
        /// The last durable vote.
        pub vote: Vote,
        /// The last durable snapshot.
        pub snapshot: Option<Snapshot>,
        /// The durable log after the snapshot.
        pub entries: Vec<Entry>,
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl Index {
    /// The index after this one.
    #[must_use]
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// The index before this one; 0 for index 0.
    #[must_use]
    pub fn prev(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

impl Term {
    /// The term after this one.
    #[must_use]
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl MemberInfo {
    /// A member's instance name and its address as `host:port`.
    pub fn new(name: impl Into<Name>, address: impl Into<Name>) -> MemberInfo {
        MemberInfo {
            name: name.into(),
            address: address.into(),
        }
    }
}

impl Membership {
    /// Adds a voter, or replaces its name and address; a learner with this identity becomes a
    /// voter.
    #[must_use]
    pub fn with_voter(mut self, id: Id, info: MemberInfo) -> Membership {
        self.learners.remove(&id);
        self.voters.insert(id, info);
        self
    }

    /// Adds a learner, or replaces its name and address; a voter with this identity becomes a
    /// learner.
    #[must_use]
    pub fn with_learner(mut self, id: Id, info: MemberInfo) -> Membership {
        self.voters.remove(&id);
        self.learners.insert(id, info);
        self
    }

    /// Removes a voter or learner.
    #[must_use]
    pub fn without(mut self, id: Id) -> Membership {
        self.voters.remove(&id);
        self.learners.remove(&id);
        self
    }

    /// Whether the identity is a voter's; false for learners and unknown identities.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = (Id, &MemberInfo)> {
        self.voters
            .iter()
            .chain(&self.learners)
            .map(|(id, info)| (*id, info))
    }

    /// Number of voters in the smallest quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

impl Entry {
    /// Term and index of the entry.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// Payload size in bytes, which batches and uncommitted entries are limited by.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Noop => 0,
            Payload::Data(data) => data.len(),
            Payload::Voters(membership) => membership
                .members()
                .map(|(_, info)| info.name.len() + info.address.len())
                .sum(),
        }
    }
}

impl Snapshot {
    /// Term and index of the last entry that the snapshot includes.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }
}
