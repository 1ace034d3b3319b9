//! What all threads of the control process may know at any time.

use lovageplank_core::consensus::Term;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::sync::Mutex;

/// Milliseconds at which the voter's word no longer counts: its thread may hang in a write.
const FRESH_MS: Millis = 100;

/// The voter's last word on leadership.
#[derive(Debug, Default)]
pub struct Status {
    last: Mutex<Option<Word>>,
}

#[derive(Clone, Copy, Debug)]
struct Word {
    at: Millis,
    term: Term,
    contact: bool,
}

impl Status {
    /// Sets the voter's word; `contact` is whether a leader has heard from a majority lately.
    pub fn publish(&self, term: Term, leads: bool, contact: bool) {
        let word = Word {
            at: clock::boottime_ms(),
            term,
            contact: leads && contact,
        };
        *self
            .last
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(word);
    }

    /// Whether this process certainly led `term` a moment ago.
    pub fn leads(&self, term: Term) -> bool {
        let last = *self
            .last
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        last.is_some_and(|w| w.contact && w.term == term && clock::boottime_ms() < w.at + FRESH_MS)
    }
}
