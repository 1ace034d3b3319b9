//! What a leader knows about another member.

use super::types::{Id, Index, Membership};
use crate::prelude::*;
use std::collections::VecDeque;

/// How entries are sent to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum ReplicationMode {
    /// The end of the common log is unknown: one message at a time.
    Probe {
        /// A message is on its way; the next heartbeat sends another.
        paused: bool,
    },
    /// Entries are sent ahead of the acknowledgements.
    Replicate {
        /// Last index of each unacknowledged message, ascending.
        in_flight: VecDeque<Index>,
    },
    /// A snapshot is on its way.
    Install {
        /// Index of the snapshot.
        index: Index,
        /// When it is sent again.
        resend_at: Millis,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    /// The member's log is durable and equal to ours up to here.
    pub(super) matched: Index,
    /// The next entry to send; after `matched`.
    pub(super) next: Index,
    pub(super) mode: ReplicationMode,
    /// When the member was last heard from in this term.
    pub(super) last_received_at: Millis,
    /// The latest heartbeat round that it answered.
    pub(super) round: u64,
}

impl Progress {
    pub(super) fn new(last: Index, now: Millis) -> Progress {
        Progress {
            matched: Index(0),
            next: last.next(),
            mode: ReplicationMode::Probe { paused: false },
            last_received_at: now,
            round: 0,
        }
    }

    /// Takes an acknowledgement; a late one changes nothing.
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

    /// Takes a refusal of the entry at `prev`. Gives whether it was news.
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

    /// Lets the next message out although the last was not answered.
    pub(super) fn resume(&mut self) {
        if let ReplicationMode::Probe { paused } = &mut self.mode {
            *paused = false;
        }
    }
}

/// The largest value that a quorum of the voters has reached.
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
