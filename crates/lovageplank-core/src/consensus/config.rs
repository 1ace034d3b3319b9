//! Settings of a consensus node.

use super::types::{Id, Index};
use crate::prelude::*;

/// Largest state in a snapshot, in bytes, because a snapshot is sent in one message. A larger
/// state is not accepted as a snapshot, so the log is not compacted and keeps growing.
pub const SNAPSHOT_BYTES_MAX: usize = 14 << 20;

/// Shortest time without a message from a leader after which a voter starts an election; also
/// the time without replies from a quorum after which a leader steps down.
const ELECTION_TIMEOUT_MIN_MS: Millis = 300;
/// Five intervals fit into the shortest election timeout.
const HEARTBEAT_INTERVAL_MS: Millis = 60;
/// Limits the payload of one message. An entry above the limit is sent alone.
const BATCH_BYTES_MAX: usize = 256 << 10;
/// Limits the entries that accumulate on a leader while no quorum acknowledges them. At the limit,
/// proposals are refused as overloaded.
const UNCOMMITTED_BYTES_MAX: usize = 16 << 20;
/// Number of entries applied since the last snapshot at which the next one is due. Limits the
/// length of the log.
const SNAPSHOT_ENTRIES: u64 = 2000;
/// Limits the unacknowledged messages with entries to one slow member. At the limit, further
/// entries wait for an acknowledgement.
const BATCHES_IN_FLIGHT_MAX: usize = 16;
/// Limits the entries that a new voter still has to receive. A learner that lacks more is not
/// promoted.
const PROMOTION_LAG_ENTRIES_MAX: u64 = 64;

record! { key =>
    /// Settings of a [`Node`](super::Node).
    pub struct Config {
        /// Identity of the node, as stored in its data folder.
        pub id: Id,
        /// Seed of the random election timeouts; should differ between nodes.
        pub seed: u64,
        /// Shortest election timeout, in milliseconds. Each timeout is drawn at random from this
        /// value up to twice this value. A leader that has received no replies from a quorum
        /// within this time steps down.
        pub election_timeout_ms: Millis,
        /// Interval between a leader's heartbeats, in milliseconds.
        pub heartbeat_ms: Millis,
        /// Most payload bytes in one message; a larger entry is sent alone.
        pub max_batch_bytes: usize,
        /// Most unacknowledged messages with entries to one member.
        pub max_batches_in_flight: usize,
        /// Uncommitted payload bytes at which a leader refuses proposals.
        pub max_uncommitted_bytes: usize,
        /// Most entries that a learner may lack when it is promoted.
        pub max_promotion_lag: u64,
        /// Number of entries applied since the last snapshot at which the next one is due.
        pub snapshot_every: u64,
        /// Whether elections start with a pre-vote. Also whether nodes ignore vote requests while
        /// there is an active leader. A leader counts itself as active if a quorum has replied
        /// within the shortest election timeout. Any other node counts the leader as active if it
        /// has received a leader's message within that time. Vote requests of a leadership transfer
        /// are never ignored. Off only in the model checker (`lovageplank-check`), which then
        /// reaches relevant states in fewer steps.
        pub pre_vote: bool,
        /// An injected fault; only for the model checker.
        pub mutant: Option<Mutant>,
    }
}

record! { copy =>
    /// Faults that the model checker injects into a node and must find; never set in production.
    pub enum Mutant {
        /// Votes are not written to disk.
        VoteNotDurable,
        /// A vote is granted to a candidate whose log is not up to date.
        VoteForStaleLog,
        /// Entries of earlier terms are committed as soon as a quorum has them, without an entry
        /// of the current term.
        CommitEarlierTerm,
        /// The leader commits entries that no other member has acknowledged.
        CommitWithoutQuorum,
        /// A late message truncates committed entries.
        TruncateCommitted,
        /// Reads are served without a heartbeat round that shows that no later leader exists.
        ReadWithoutQuorum,
    }
}

impl Config {
    /// The default settings for the node with this identity.
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

    /// Sets the interval between heartbeats, in milliseconds.
    #[must_use]
    pub fn heartbeat_ms(self, heartbeat_ms: Millis) -> Config {
        Config {
            heartbeat_ms,
            ..self
        }
    }

    /// Sets the limit on payload bytes in one message.
    #[must_use]
    pub fn max_batch_bytes(self, max_batch_bytes: usize) -> Config {
        Config {
            max_batch_bytes,
            ..self
        }
    }

    /// Sets the limit on unacknowledged messages with entries to one member.
    #[must_use]
    pub fn max_batches_in_flight(self, max_batches_in_flight: usize) -> Config {
        Config {
            max_batches_in_flight,
            ..self
        }
    }

    /// Sets the uncommitted payload bytes at which proposals are refused.
    #[must_use]
    pub fn max_uncommitted_bytes(self, max_uncommitted_bytes: usize) -> Config {
        Config {
            max_uncommitted_bytes,
            ..self
        }
    }

    /// Sets the limit on entries that a learner may lack when it is promoted.
    #[must_use]
    pub fn max_promotion_lag(self, max_promotion_lag: u64) -> Config {
        Config {
            max_promotion_lag,
            ..self
        }
    }

    /// Sets the number of entries applied since the last snapshot at which the next one is due.
    #[must_use]
    pub fn snapshot_every(self, snapshot_every: u64) -> Config {
        Config {
            snapshot_every,
            ..self
        }
    }

    /// Sets whether elections start with a pre-vote, and a node ignores vote requests while it has
    /// contact with a leader or, as the leader, with a quorum.
    #[must_use]
    pub fn pre_vote(self, pre_vote: bool) -> Config {
        Config { pre_vote, ..self }
    }

    /// Sets the injected fault; only for the model checker.
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
