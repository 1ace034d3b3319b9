//! Settings of a node.

use super::types::{Id, Index};
use crate::prelude::*;

/// Largest state of a snapshot, in bytes: it travels in one message.
pub const SNAPSHOT_BYTES_MAX: usize = 14 << 20;

const ELECTION_TIMEOUT_MIN_MS: Millis = 300;
const HEARTBEAT_INTERVAL_MS: Millis = 60;
const BATCH_BYTES_MAX: usize = 256 << 10;
const UNCOMMITTED_BYTES_MAX: usize = 16 << 20;
const SNAPSHOT_ENTRIES: u64 = 2000;
const BATCHES_IN_FLIGHT_MAX: usize = 16;
const PROMOTION_LAG_ENTRIES_MAX: u64 = 64;

record! { key =>
    /// Settings of a [`Node`](super::Node).
    pub struct Config {
        /// Identity of the node.
        pub id: Id,
        /// Seed of the random election timeouts; should differ between nodes.
        pub seed: u64,
        /// Shortest time without a leader before an election, in milliseconds; the timeouts are
        /// drawn between this and its double.
        pub election_timeout_ms: Millis,
        /// Time between heartbeats of a leader, in milliseconds.
        pub heartbeat_ms: Millis,
        /// Payload bytes in one message; an entry beyond it travels alone.
        pub max_batch_bytes: usize,
        /// Unacknowledged messages with entries to one member.
        pub max_batches_in_flight: usize,
        /// Uncommitted payload bytes beyond which a leader refuses proposals.
        pub max_uncommitted_bytes: usize,
        /// Entries that a learner may lack when it is promoted.
        pub max_promotion_lag: u64,
        /// Applied entries after which a snapshot is due.
        pub snapshot_every: u64,
        /// Whether elections are preceded by a pre-vote and respect a live leader. Off only in
        /// the checker, where it shortens the way to interesting states.
        pub pre_vote: bool,
        /// A seeded fault; only for the checker.
        pub mutant: Option<Mutant>,
    }
}

record! { copy =>
    /// Faults that the checker has to find; never set in production.
    pub enum Mutant {
        /// Votes are not written to disk.
        VoteNotDurable,
        /// A vote is granted to a candidate whose log lacks entries.
        VoteForStaleLog,
        /// Entries of earlier terms are committed by counting copies.
        CommitEarlierTerm,
        /// The leader commits what only it holds.
        CommitWithoutQuorum,
        /// A late message truncates entries that were committed.
        TruncateCommitted,
        /// Reads are served without asking a quorum whether there is a later leader.
        ReadWithoutQuorum,
    }
}

impl Config {
    /// The defaults, for the node with this identity.
    pub fn new(id: Id, seed: u64) -> Config {
        Config {
            id,
            seed,
            election_timeout_ms: ELECTION_TIMEOUT_MIN_MS,
            heartbeat_ms: HEARTBEAT_INTERVAL_MS,
            max_batch_bytes: BATCH_BYTES_MAX,
            max_batches_in_flight: BATCHES_IN_FLIGHT_MAX,
            max_uncommitted_bytes: UNCOMMITTED_BYTES_MAX,
            max_promotion_lag: PROMOTION_LAG_ENTRIES_MAX,
            snapshot_every: SNAPSHOT_ENTRIES,
            pre_vote: true,
            mutant: None,
        }
    }

    /// Sets the shortest election timeout, in milliseconds.
    #[must_use]
    pub fn election_timeout_ms(self, election_timeout_ms: Millis) -> Config {
        Config {
            election_timeout_ms,
            ..self
        }
    }

    /// Sets the time between heartbeats, in milliseconds.
    #[must_use]
    pub fn heartbeat_ms(self, heartbeat_ms: Millis) -> Config {
        Config {
            heartbeat_ms,
            ..self
        }
    }

    /// Sets the payload bytes in one message.
    #[must_use]
    pub fn max_batch_bytes(self, max_batch_bytes: usize) -> Config {
        Config {
            max_batch_bytes,
            ..self
        }
    }

    /// Sets the number of unacknowledged messages with entries to one member.
    #[must_use]
    pub fn max_batches_in_flight(self, max_batches_in_flight: usize) -> Config {
        Config {
            max_batches_in_flight,
            ..self
        }
    }

    /// Sets the uncommitted payload bytes beyond which proposals are refused.
    #[must_use]
    pub fn max_uncommitted_bytes(self, max_uncommitted_bytes: usize) -> Config {
        Config {
            max_uncommitted_bytes,
            ..self
        }
    }

    /// Sets the entries that a learner may lack when it is promoted.
    #[must_use]
    pub fn max_promotion_lag(self, max_promotion_lag: u64) -> Config {
        Config {
            max_promotion_lag,
            ..self
        }
    }

    /// Sets the number of applied entries after which a snapshot is due.
    #[must_use]
    pub fn snapshot_every(self, snapshot_every: u64) -> Config {
        Config {
            snapshot_every,
            ..self
        }
    }

    /// Switches pre-vote and the respect for a live leader.
    #[must_use]
    pub fn pre_vote(self, pre_vote: bool) -> Config {
        Config { pre_vote, ..self }
    }

    /// Seeds a fault; only for the checker.
    #[must_use]
    pub fn mutant(self, mutant: Option<Mutant>) -> Config {
        Config { mutant, ..self }
    }

    pub(super) fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    pub(super) fn snapshot_due(&self, snapshot_index: Index, applied: Index) -> bool {
        applied.0.saturating_sub(snapshot_index.0) >= self.snapshot_every
    }
}
