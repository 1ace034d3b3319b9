//! Hints about which servers likely have a prompt prefix cached.

use super::Slot;
use crate::prelude::*;
use std::collections::HashMap;

/// Upper bound of the prefixes with hints; at the bound, a new prefix evicts the older half.
const MAX_PREFIXES: usize = 20_000;
/// Upper bound of the hints for one prefix; beyond it the oldest is removed.
const MAX_HINTS_PER_PREFIX: usize = 4;
/// Age in milliseconds from which a hint is ignored.
const HINT_LIFETIME_MS: u64 = 300_000;
/// Gaps in a server's cache events since a hint, above which the hint is ignored.
const MAX_EVENT_GAPS: u32 = 3;

/// Characters of a prompt that count as its prefix.
const PREFIX_CHARS: usize = 64;

/// Hashes a prompt's prefix for a model; engines use the same hash in their cache events.
///
/// 64-bit FNV-1a over the model's name, two zero bytes, the prompt's first 64 characters and one
/// zero byte.
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

/// A server that likely has a prefix cached.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hint {
    pub(super) slot: Slot,
    /// Gaps in the server's cache events when the hint was recorded.
    gaps: u32,
    received_at: Millis,
}

impl Hint {
    /// Confidence in the hint, from 0 to 1. It decreases linearly to 0 over [`HINT_LIFETIME_MS`], and
    /// each gap in the server's events since the hint halves it.
    pub(super) fn confidence(&self, now: Millis, gaps: u32) -> f64 {
        let new_gaps = gaps.saturating_sub(self.gaps);
        let age_ms = now.saturating_sub(self.received_at);
        if new_gaps > MAX_EVENT_GAPS || age_ms >= HINT_LIFETIME_MS {
            return 0.0;
        }
        #[allow(clippy::cast_precision_loss)] // Times stay far below 2^52.
        let freshness = 1.0 - age_ms as f64 / HINT_LIFETIME_MS as f64;
        freshness / f64::from(1_u32 << new_gaps)
    }
}

/// Hints by prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct Prefixes(HashMap<u64, Vec<Hint>>);

impl Prefixes {
    pub(super) fn hints(&self, prefix: u64) -> Option<&[Hint]> {
        if prefix == 0 {
            return None;
        }
        self.0.get(&prefix).map(Vec::as_slice)
    }

    /// Records that a server added a prefix to its cache or evicted it.
    pub(super) fn apply_event(
        &mut self,
        received_at: Millis,
        slot: Slot,
        gaps: u32,
        prefix: u64,
        added: bool,
    ) {
        if self.0.len() >= MAX_PREFIXES && !self.0.contains_key(&prefix) {
            self.evict_older_half(received_at);
        }
        let hints = self.0.entry(prefix).or_default();
        hints.retain(|h| h.slot != slot);
        if added {
            if hints.len() >= MAX_HINTS_PER_PREFIX {
                hints.remove(0);
            }
            hints.push(Hint {
                slot,
                gaps,
                received_at,
            });
        }
        if hints.is_empty() {
            self.0.remove(&prefix);
        }
    }

    /// Removes a server's hints, after a restart of the server.
    pub(super) fn remove_server(&mut self, slot: Slot) {
        self.0.retain(|_, hints| {
            hints.retain(|h| h.slot != slot);
            !hints.is_empty()
        });
    }

    /// Removes the prefixes whose newest hint is not after the median time of all newest hints;
    /// removes all prefixes if that median is `now`.
    fn evict_older_half(&mut self, now: Millis) {
        let mut times: Vec<Millis> = self
            .0
            .values()
            .filter_map(|h| h.last())
            .map(|h| h.received_at)
            .collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.0.retain(|_, h| {
            h.last()
                .is_some_and(|h| h.received_at > median || median == now)
        });
        if self.0.len() >= MAX_PREFIXES {
            self.0.clear();
        }
    }
}
