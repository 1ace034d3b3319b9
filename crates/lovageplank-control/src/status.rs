//! What all threads of the control process may know at any time.

use lovageplank_core::consensus::Term;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::sync::Mutex;

/// Milliseconds at which the voter's word no longer counts: its thread may hang in a write.
const STATUS_VALID_MS: Millis = 100;

/// The voter's last word on leadership.
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
    /// Sets the voter's word; `contact` is whether a leader has heard from a majority lately.
    pub fn publish(&self, term: Term, leads: bool, quorum_contact: bool) {
        let record = LeadershipRecord {
            published_at: clock::awake_ms(),
            term,
            quorum_contact: leads && quorum_contact,
        };
        *self
            .latest
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(record);
    }

    /// Whether this process certainly led `term` a moment ago.
    pub fn leads(&self, term: Term) -> bool {
        let latest = *self
            .latest
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        latest.is_some_and(|r| {
            r.quorum_contact
                && r.term == term
                && clock::awake_ms() < r.published_at + STATUS_VALID_MS
        })
    }
}
