//! Leadership of this process as last published by the voter, readable from all threads.
//!
//! The voter's thread waits for the disk. While it does, nothing is published, and nothing says that the process
//! doesn't lead any more: who can wait does so ([`Standing::Silent`]), who can't takes it for lost.

use lovageplank_core::consensus::Term;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::sync::Mutex;

/// Milliseconds after which a published record is ignored. The voter's thread may then be blocked
/// in a disk write, and another process may have become the leader.
const STATUS_VALID_MS: Millis = 100;

/// What the voter has last said of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It leads, and has lately heard a quorum.
    Leads,
    /// It led and had heard a quorum, and has said nothing for longer than a record counts.
    Silent,
    /// It doesn't lead, or has heard no quorum.
    Lost,
}

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
        self.standing(term) == Standing::Leads
    }

    /// What the latest record says of `term`.
    pub fn standing(&self, term: Term) -> Standing {
        let latest = *self
            .latest
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        match latest {
            Some(r) if r.quorum_contact && r.term == term => {
                if clock::boottime_ms() < r.published_at + STATUS_VALID_MS {
                    Standing::Leads
                } else {
                    Standing::Silent
                }
            }
            _ => Standing::Lost,
        }
    }
}
