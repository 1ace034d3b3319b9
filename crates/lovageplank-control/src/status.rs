//! Leadership of this process as last published by the voter, readable from all threads.

use lovageplank_core::consensus::Term;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::sync::Mutex;

/// Milliseconds after which a published record is ignored. The voter's thread may then be blocked
/// in a disk write, and another process may have become the leader.
const STATUS_VALID_MS: Millis = 100;

/// Leadership as last published by the voter.
#[derive(Debug, Default)]
pub struct LeaderStatus {
    latest: Mutex<Option<LeadershipRecord>>,
}

#[derive(Clone, Copy, Debug)]
struct LeadershipRecord {
    published_at: Millis,
    term: Term,
    quorum_contact: bool,
}

impl LeaderStatus {
    /// Publishes the voter's term, whether it leads, and whether it has received messages from a
    /// quorum within an election timeout.
    pub fn publish(&self, term: Term, leads: bool, quorum_contact: bool) {
        let record = LeadershipRecord {
            published_at: clock::boottime_ms(),
            term,
            quorum_contact: leads && quorum_contact,
        };
        *self
            .latest
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(record);
    }

    /// Whether the latest record is recent enough to count and shows that the voter led `term` with
    /// quorum contact.
    pub fn leads(&self, term: Term) -> bool {
        let latest = *self
            .latest
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        latest.is_some_and(|r| {
            r.quorum_contact
                && r.term == term
                && clock::boottime_ms() < r.published_at + STATUS_VALID_MS
        })
    }
}
