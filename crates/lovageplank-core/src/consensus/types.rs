//! The nouns of the replicated log.

use super::bytes;
use crate::prelude::*;
use std::fmt;

record! { copy =>
    /// Identity of a voter or learner, minted at random with its data folder and never reused.
    pub struct Id(pub u64);
}

record! { copy =>
    /// Number of an election; at most one leader exists in each.
    #[derive(Default)]
    pub struct Term(pub u64);
}

record! { copy =>
    /// Place in the log; the first entry has index 1, zero stands before it.
    #[derive(Default)]
    pub struct Index(pub u64);
}

record! { copy =>
    /// An index with the term of its entry. Two logs that share a position are equal up to it.
    ///
    /// The order is that of elections: the term first, then the index.
    #[derive(Default)]
    pub struct Position {
        /// Term of the entry.
        pub term: Term,
        /// Index of the entry.
        pub index: Index,
    }
}

record! { key =>
    /// How a member is called and reached.
    pub struct MemberInfo {
        /// Name of the instance.
        pub name: Name,
        /// Address of the instance, as `host:port`.
        pub address: Name,
    }
}

record! { key =>
    /// Who votes and who only copies the log.
    ///
    /// An identity is in at most one of the two maps.
    #[derive(Default)]
    pub struct Membership {
        /// Members that vote and count towards a quorum.
        pub voters: BTreeMap<Id, MemberInfo>,
        /// Members that copy the log without counting.
        pub learners: BTreeMap<Id, MemberInfo>,
    }
}

record! { key =>
    /// What an entry holds.
    pub enum Payload {
        /// Nothing: a new leader commits it to commit what came before.
        Noop,
        /// A command of the state machine, opaque here.
        Data(#[serde(with = "bytes")] Vec<u8>),
        /// The membership from this entry on, effective as soon as it is in the log.
        Voters(Membership),
    }
}

record! { key =>
    /// One entry of the log.
    pub struct Entry {
        /// Term of the leader that created it.
        pub term: Term,
        /// Place in the log.
        pub index: Index,
        /// What it holds.
        pub payload: Payload,
    }
}

record! { copy =>
    /// The promise of a node in a term. Durable before any message of that term is sent.
    #[derive(Default)]
    pub struct Vote {
        /// The highest term seen.
        pub term: Term,
        /// Whom the node voted for in it.
        pub voted_for: Option<Id>,
    }
}

record! { key =>
    /// State of the state machine after `index`, standing for the log up to there.
    pub struct Snapshot {
        /// The last entry that the snapshot includes.
        pub index: Index,
        /// Term of that entry.
        pub term: Term,
        /// Membership at that entry.
        pub membership: Membership,
        /// The state machine's own form of its state.
        #[serde(with = "bytes")]
        pub data: Arc<[u8]>,
    }
}

record! { key =>
    /// What a data folder holds: the start of a node.
    ///
    /// `entries` are contiguous and begin right after the snapshot, or at index 1.
    #[derive(Default)]
    pub struct Stored {
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

    /// The index before this one; zero has none and gives zero.
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
    /// A member by its instance name and address.
    pub fn new(name: impl Into<Name>, address: impl Into<Name>) -> MemberInfo {
        MemberInfo {
            name: name.into(),
            address: address.into(),
        }
    }
}

impl Membership {
    /// Adds a voter; a learner of that identity becomes one.
    #[must_use]
    pub fn with_voter(mut self, id: Id, info: MemberInfo) -> Membership {
        self.learners.remove(&id);
        self.voters.insert(id, info);
        self
    }

    /// Adds a learner; a voter of that identity becomes one.
    #[must_use]
    pub fn with_learner(mut self, id: Id, info: MemberInfo) -> Membership {
        self.voters.remove(&id);
        self.learners.insert(id, info);
        self
    }

    /// Takes a member out.
    #[must_use]
    pub fn without(mut self, id: Id) -> Membership {
        self.voters.remove(&id);
        self.learners.remove(&id);
        self
    }

    /// Whether the identity votes.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Voters and learners.
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
    /// Where the entry stands.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// Bytes of the payload, for bounds on batches.
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
    /// Where the snapshot stands.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }
}
