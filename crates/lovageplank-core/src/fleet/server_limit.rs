//! Limits that backend servers name for the requests that they take from all routers together.
//!
//! A server states its limit in its responses for as long as it has one. Each router sees only the
//! responses to its own requests.

use crate::prelude::*;

/// Milliseconds for which a statement counts after it was made.
const STATEMENT_TTL_MS: Millis = 10_000;

record! { copy =>
    /// Requests in 1,000 s.
    pub struct Rate(pub u64);
}

/// The newest statement of each server.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    /// The limit, if the server named one, and when it made the statement.
    by_server: BTreeMap<Name, (Option<Rate>, Millis)>,
}

impl Statements {
    /// Records what a server stated at a time; an older statement than the known one counts for
    /// nothing. Returns whether the server's limit has changed.
    pub fn observe(
        &mut self,
        now: Millis,
        server: &Name,
        limit: Option<Rate>,
        stated_at: Millis,
    ) -> bool {
        let before = self.limit(now, server);
        let is_older = |(_, at): &(Option<Rate>, Millis)| stated_at < *at;
        if self.by_server.get(server).is_some_and(is_older) || before.is_none() && limit.is_none() {
            return false;
        }
        self.by_server.insert(server.clone(), (limit, stated_at));
        before != limit
    }

    /// The limit that a server has stated lately.
    pub fn limit(&self, now: Millis, server: &Name) -> Option<Rate> {
        let (limit, stated_at) = self.by_server.get(server)?;
        limit.filter(|_| now < stated_at + STATEMENT_TTL_MS)
    }

    /// Forgets what a server stated.
    pub fn remove(&mut self, server: &Name) {
        self.by_server.remove(server);
    }

    /// Forgets statements that no longer count.
    pub fn expire(&mut self, now: Millis) {
        self.by_server
            .retain(|_, (_, stated_at)| now < *stated_at + STATEMENT_TTL_MS);
    }
}
