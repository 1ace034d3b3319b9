//! The cache of prompt prefixes, and the events that tell of it.

use std::collections::VecDeque;

use lovageplank_core::backend::CacheEvent;
use lovageplank_core::prelude::*;

/// Cache events kept for the next report; older ones are lost, which shows as a gap.
const MAX_EVENTS: usize = 1_024;

/// Prefixes in the order of their last use.
#[derive(Debug)]
pub struct Prefixes {
    slots: usize,
    /// Least recently used first.
    held: VecDeque<(Name, u64)>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl Prefixes {
    /// A cache of so many prefixes.
    pub fn new(slots: usize) -> Prefixes {
        Prefixes {
            slots,
            held: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Uses a prefix and returns whether it was cached.
    pub fn touch(&mut self, model: &Name, prefix: u64) -> bool {
        let key = (model.clone(), prefix);
        let place = self.held.iter().position(|held| *held == key);
        if let Some(place) = place {
            self.held.remove(place);
        } else {
            self.note(&key, true);
        }
        self.held.push_back(key);
        if self.held.len() > self.slots
            && let Some(evicted) = self.held.pop_front()
        {
            self.note(&evicted, false);
        }
        place.is_some()
    }

    /// Returns the share of the cache in use.
    pub fn used(&self) -> f64 {
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        f64::from(held) / f64::from(slots)
    }

    /// Takes the events since the last call; loses one in each `lose_every`, unless that is 0.
    pub fn take_events(&mut self, lose_every: u32) -> Vec<CacheEvent> {
        let events = self.events.drain(..);
        events
            .filter(|event| lose_every == 0 || event.sequence % u64::from(lose_every) != 0)
            .collect()
    }

    fn note(&mut self, key: &(Name, u64), added: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            prefix: key.1,
            model: key.0.clone(),
            added,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
