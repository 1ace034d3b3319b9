//! A leader's record of the replication to another member.

use super::types::{Id, Index, Membership};
use crate::prelude::*;
use std::collections::VecDeque;

/// How a leader sends entries to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum ReplicationMode {
    /// The last common entry is unknown: one message with entries is sent at a time.
    Probe {
        /// A message was sent and not answered; the next heartbeat allows another.
        paused: bool,
    },
    /// Messages are sent without waiting for the acknowledgement of earlier ones.
    Replicate {
        /// Last index of each unacknowledged message, ascending.
        in_flight: VecDeque<Index>,
    },
    /// A snapshot was sent and not acknowledged.
    Install {
        /// Index of the snapshot.
        index: Index,
        /// Earliest time at which the snapshot is sent again.
        resend_at: Millis,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    /// The member's log is durable and equal to the leader's up to here.
    pub(super) matched: Index,
    /// The next entry to send; always after `matched`.
    pub(super) next: Index,
    pub(super) mode: ReplicationMode,
    /// When the last reply of the member in this term was received; initially, when the progress
    /// was created.
    pub(super) last_received_at: Millis,
    /// The latest heartbeat round that the member answered.
    pub(super) round: u64,
}

record! { copy =>
    /// What a leader knows of the log of another member.
    pub struct Follower {
        /// The member's log is durable and equal to the leader's up to here.
        pub matched: Index,
        /// The next entry to send.
        pub next: Index,
        /// How the leader sends entries.
        pub sending: Sending,
        /// Messages with entries that aren't acknowledged.
        pub in_flight: usize,
        /// When the member's last reply was received, in milliseconds.
        pub replied_at: Millis,
    }
}

record! { copy =>
    /// How a leader sends entries to a member.
    pub enum Sending {
        /// One message at a time, to find the last common entry.
        Probe,
        /// Messages after one another.
        Replicate,
        /// A snapshot.
        Install,
    }
}

impl Progress {
    pub(super) fn follower(&self) -> Follower {
        let (sending, in_flight) = match &self.mode {
            ReplicationMode::Probe { paused } => (Sending::Probe, usize::from(*paused)),
            ReplicationMode::Replicate { in_flight } => (Sending::Replicate, in_flight.len()),
            ReplicationMode::Install { .. } => (Sending::Install, 1),
        };
        Follower {
            matched: self.matched,
            next: self.next,
            sending,
            in_flight,
            replied_at: self.last_received_at,
        }
    }

    pub(super) fn new(last: Index, now: Millis) -> Progress {
        Progress {
            matched: Index(0),
            next: last.next(),
            mode: ReplicationMode::Probe { paused: false },
            last_received_at: now,
            round: 0,
        }
    }

    /// Records that the member's log matches up to `matched`. `self.matched` never decreases, so a
    /// late acknowledgement does no harm. In `Probe`, and in `Install` once the snapshot is
    /// acknowledged, the mode changes to `Replicate` and sending continues right after
    /// `self.matched`.
    pub(super) fn acknowledge(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        match &mut self.mode {
            ReplicationMode::Replicate { in_flight } => in_flight.retain(|last| *last > matched),
            ReplicationMode::Install { index, .. } if matched < *index => {}
            ReplicationMode::Install { .. } | ReplicationMode::Probe { .. } => {
                self.next = self.matched.next();
                self.mode = ReplicationMode::Replicate {
                    in_flight: VecDeque::new(),
                };
            }
        }
    }

    /// Handles the rejection of entries after `prev`. `hint` is the last index up to which the
    /// leader's log can equal the member's, as the leader computed it. The leader probes again,
    /// from the entry after `hint` or, if `hint` is not before `prev`, from the entry at `prev`. It
    /// never probes from an entry that the member has acknowledged. Returns false, with
    /// nothing changed, for an outdated rejection or while a snapshot is sent.
    pub(super) fn reject(&mut self, prev: Index, hint: Index) -> bool {
        let is_current = match self.mode {
            ReplicationMode::Install { .. } => false,
            ReplicationMode::Probe { .. } => prev == self.next.prev(),
            ReplicationMode::Replicate { .. } => true,
        };
        if !is_current || prev <= self.matched {
            return false;
        }
        self.next = hint.min(prev.prev()).max(self.matched).next();
        self.mode = ReplicationMode::Probe { paused: false };
        true
    }

    /// Allows another probe although the last one was not answered.
    pub(super) fn resume(&mut self) {
        if let ReplicationMode::Probe { paused } = &mut self.mode {
            *paused = false;
        }
    }
}

/// The largest value that a quorum of the voters has reached. A voter without a value counts with
/// the default.
pub(super) fn quorum_value<T: Ord + Default>(
    membership: &Membership,
    value: impl Fn(Id) -> Option<T>,
) -> T {
    let mut values: Vec<T> = membership
        .voters
        .keys()
        .map(|id| value(*id).unwrap_or_default())
        .collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values
        .into_iter()
        .nth(membership.quorum() - 1)
        .unwrap_or_default()
}
