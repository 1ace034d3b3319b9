//! Which servers likely have a prompt prefix cached.

use super::Slot;
use crate::prelude::*;
use std::collections::HashMap;

/// Prefixes that are remembered at the most.
const PREFIXES_MAX: usize = 20_000;
/// Servers that are remembered for one prefix.
const HOLDERS_MAX: usize = 4;
/// Milliseconds after which a hint is worth nothing.
const HINT_MS: u64 = 300_000;
/// Gaps in a server's events after which its earlier hints are worth nothing.
const GAPS_MAX: u32 = 3;

/// Characters of a prompt that count as its prefix.
const PREFIX_CHARS: usize = 64;

/// Hashes the start of a prompt for a model, as engines name it in their cache events.
///
/// FNV-1a with 64 bits over the model, a zero byte, another zero byte, the prompt's first 64
/// characters, and a zero byte.
pub fn hash(model: &str, prompt: &str) -> u64 {
    let end = prompt
        .char_indices()
        .nth(PREFIX_CHARS)
        .map_or(prompt.len(), |(at, _)| at);
    let parts = [model, "", &prompt[..end]];
    let bytes = parts.iter().flat_map(|part| part.bytes().chain([0]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A server that likely holds a prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) slot: Slot,
    /// Gaps that the server's events had when the hint came.
    gaps: u32,
    at: Millis,
}

impl Holder {
    /// How far the hint may be trusted, 0 to 1; each gap since halves it, and so does age.
    pub(super) fn confidence(&self, now: Millis, gaps: u32) -> f64 {
        let missed = gaps.saturating_sub(self.gaps);
        let age_ms = now.saturating_sub(self.at);
        if missed > GAPS_MAX || age_ms >= HINT_MS {
            return 0.0;
        }
        #[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
        let fresh = 1.0 - age_ms as f64 / HINT_MS as f64;
        fresh / f64::from(1_u32 << missed)
    }
}

/// Hints by prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct Prefixes(HashMap<u64, Vec<Holder>>);

impl Prefixes {
    pub(super) fn holders(&self, prefix: u64) -> Option<&[Holder]> {
        if prefix == 0 {
            return None;
        }
        self.0.get(&prefix).map(Vec::as_slice)
    }

    /// Notes that a server added or evicted a prefix.
    pub(super) fn event(&mut self, at: Millis, slot: Slot, gaps: u32, prefix: u64, added: bool) {
        if self.0.len() >= PREFIXES_MAX && !self.0.contains_key(&prefix) {
            self.make_room(at);
        }
        let holders = self.0.entry(prefix).or_default();
        holders.retain(|h| h.slot != slot);
        if added {
            if holders.len() >= HOLDERS_MAX {
                holders.remove(0);
            }
            holders.push(Holder { slot, gaps, at });
        }
        if holders.is_empty() {
            self.0.remove(&prefix);
        }
    }

    /// Forgets what a server held, after its restart.
    pub(super) fn forget(&mut self, slot: Slot) {
        self.0.retain(|_, holders| {
            holders.retain(|h| h.slot != slot);
            !holders.is_empty()
        });
    }

    /// Forgets the older half.
    fn make_room(&mut self, now: Millis) {
        let mut ages: Vec<Millis> = self
            .0
            .values()
            .filter_map(|h| h.last())
            .map(|h| h.at)
            .collect();
        let middle = ages.len() / 2;
        let cut = *ages.select_nth_unstable(middle).1;
        self.0
            .retain(|_, h| h.last().is_some_and(|h| h.at > cut || cut == now));
        if self.0.len() >= PREFIXES_MAX {
            self.0.clear();
        }
    }
}
