//! Whether a router has heard of the leader so recently that it may still rely on the keys of its document.

use crate::prelude::*;

/// Milliseconds from the first message after a silence until another one shows that there is contact. What was sent
/// meanwhile arrives at once then, and a document in which a key is missing may be behind the first message; a leader
/// that was suspended may send one message before it learns that there is another.
const SETTLE_MS: u64 = 250;

/// A router's contact with leaders.
#[derive(Clone, Debug)]
pub struct Contact {
    /// Milliseconds without a message after which keys aren't relied on; `None` if they always are.
    limit_ms: Option<u64>,
    /// Time of the latest message of a leader.
    heard_at: Option<Millis>,
    /// Time of the first message after the latest silence; 0 if there was none.
    since: Millis,
}

impl Contact {
    /// Returns a contact before the first message of a leader.
    pub fn new(limit_ms: Option<u64>) -> Contact {
        Contact {
            limit_ms,
            heard_at: None,
            since: 0,
        }
    }

    /// Records a message of a leader. Returns whether it ends a silence.
    pub fn heard(&mut self, now: Millis) -> bool {
        let was_silent = self.heard_at.is_some_and(|at| self.is_too_old(now, at));
        if was_silent {
            self.since = now;
        }
        self.heard_at = Some(now);
        was_silent
    }

    /// Whether the keys of the document may be relied on.
    pub fn is_current(&self, now: Millis) -> bool {
        if self.limit_ms.is_none() {
            return true;
        }
        self.heard_at.is_some_and(|at| {
            let has_settled = self.since == 0 || at >= self.since + SETTLE_MS;
            has_settled && !self.is_too_old(now, at)
        })
    }

    fn is_too_old(&self, now: Millis, heard_at: Millis) -> bool {
        self.limit_ms.is_some_and(|limit| now >= heard_at + limit)
    }
}
