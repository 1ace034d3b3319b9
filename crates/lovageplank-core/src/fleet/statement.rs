//! What servers state in their responses for all routers together, the newest of each.
//!
//! Each router sees only the responses to its own requests, so routers report what servers state to the leader,
//! which relays it to all routers.

use crate::prelude::*;

/// Milliseconds for which a statement counts after it was made. A server that has got no request for so long is
/// sent one as if it had stated nothing, and its response says what holds.
const TTL_MS: Millis = 10_000;

/// The newest statement of each server; `None` is one that takes an earlier one back.
#[derive(Clone, Debug)]
pub(super) struct Statements<K, V> {
    /// With the time at which it was made.
    by_server: BTreeMap<K, (Option<V>, Millis)>,
}

impl<K, V> Default for Statements<K, V> {
    fn default() -> Statements<K, V> {
        Statements {
            by_server: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> Statements<K, V> {
    /// Records what a server stated at a time; an older statement than the known one counts for nothing.
    /// Returns whether what holds has changed.
    pub(super) fn observe(
        &mut self,
        now: Millis,
        server: &K,
        value: Option<V>,
        at: Millis,
    ) -> bool {
        match self.by_server.get(server) {
            // Most servers never state anything.
            None if value.is_none() => return false,
            Some((_, known_at)) if at < *known_at => return false,
            _ => {}
        }
        let before = self.value(now, server).cloned();
        let changed = before != value;
        self.by_server.insert(server.clone(), (value, at));
        changed
    }

    /// What a server has stated lately.
    pub(super) fn value(&self, now: Millis, server: &K) -> Option<&V> {
        let (value, at) = self.by_server.get(server)?;
        value.as_ref().filter(|_| now < at + TTL_MS)
    }

    /// The newest statement of a server, with the milliseconds since it was made.
    pub(super) fn newest(&self, now: Millis, server: &K) -> Option<(Option<&V>, u64)> {
        let (value, at) = self.by_server.get(server)?;
        Some((value.as_ref(), now.saturating_sub(*at)))
    }

    /// Servers that have stated something.
    pub(super) fn servers(&self) -> impl Iterator<Item = &K> {
        self.by_server.keys()
    }

    /// What servers state now, with the server of each.
    pub(super) fn values(&self, now: Millis) -> impl Iterator<Item = (&K, &V)> {
        let servers = self.by_server.keys();
        servers.filter_map(move |server| Some((server, self.value(now, server)?)))
    }

    pub(super) fn contains(&self, server: &K) -> bool {
        self.by_server.contains_key(server)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// Forgets servers for which the condition doesn't hold.
    pub(super) fn retain(&mut self, mut is_kept: impl FnMut(&K) -> bool) {
        self.by_server.retain(|server, _| is_kept(server));
    }

    /// Forgets statements that no longer count.
    pub(super) fn expire(&mut self, now: Millis) {
        self.by_server.retain(|_, (_, at)| now < *at + TTL_MS);
    }
}
