//! The cache of prompt prefixes, and the cache events for load reports.

use std::collections::VecDeque;

use lovageplank_core::backend::CacheEvent;
use lovageplank_core::prelude::*;

/// Cache events kept for the next report; beyond this, the oldest are dropped, which leaves a gap
/// in the sequence numbers.
const MAX_PENDING_EVENTS: usize = 1_024;

/// A least-recently-used cache of prompt prefixes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// Model and prefix hash, least recently used first.
    entries: VecDeque<(Name, u64)>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// Creates a cache of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> PrefixCache {
        PrefixCache {
            capacity,
            entries: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Marks a prefix as used, adding it if necessary, and returns whether it was already cached.
    pub fn touch(&mut self, model: &Name, prefix: u64) -> bool {
        let key = (model.clone(), prefix);
        let position = self.entries.iter().position(|entry| *entry == key);
        if let Some(position) = position {
            self.entries.remove(position);
        } else {
            self.record_event(&key, true);
        }
        self.entries.push_back(key);
        if self.entries.len() > self.capacity
            && let Some(evicted) = self.entries.pop_front()
        {
            self.record_event(&evicted, false);
        }
        position.is_some()
    }

    /// Returns the share of the capacity that is in use, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let capacity = u32::try_from(self.capacity.max(1)).unwrap_or(u32::MAX);
        f64::from(entries) / f64::from(capacity)
    }

    /// Returns the events since the last call, without those whose sequence number is a multiple of
    /// `lose_every` (0: returns all of them).
    pub fn take_events(&mut self, lose_every: u32) -> Vec<CacheEvent> {
        let events = self.events.drain(..);
        events
            .filter(|event| lose_every == 0 || event.sequence % u64::from(lose_every) != 0)
            .collect()
    }

    fn record_event(&mut self, key: &(Name, u64), added: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            prefix: key.1,
            model: key.0.clone(),
            added,
        });
        if self.events.len() > MAX_PENDING_EVENTS {
            self.events.pop_front();
        }
    }
}
