//! Pauses that backend servers ask a router for.
//!
//! A server that rejects a request may say for how long it wants nothing from this router. The pause is this
//! router's alone, ends by its clock, and ends with the incarnation that asked for it.

use crate::prelude::*;

/// Longest pause, in milliseconds. A server that asks for a longer one is sent a request after it, and may ask
/// again.
pub const PAUSE_MAX_MS: u64 = 600_000;
/// Callers that are refused because of a pause are told to come back after it within this fraction of what
/// is left of it, so that they don't all come back at once.
const SPREAD_DIVISOR: u64 = 2;
/// Bounds of that time, in milliseconds.
const SPREAD_MIN_MS: u64 = 200;
const SPREAD_MAX_MS: u64 = 2_000;

/// A pause that a server has asked for.
#[derive(Clone, Copy, Debug)]
struct Pause {
    incarnation: u64,
    ends_at: Millis,
}

/// The pauses that servers have asked one router for.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    by_server: BTreeMap<Name, Pause>,
}

impl Pauses {
    /// Records that an incarnation of a server has asked for a pause. One that has begun doesn't get shorter.
    /// Returns whether it is closed now and wasn't before.
    pub fn asked(&mut self, now: Millis, server: &Name, incarnation: u64, pause_ms: u64) -> bool {
        let known = self.by_server.get(server);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return false;
        }
        let was_paused = self.remaining_ms(now, server, incarnation) > 0;
        let asked = now + pause_ms.min(PAUSE_MAX_MS);
        let ends_at = match known.filter(|known| known.incarnation == incarnation) {
            Some(known) => known.ends_at.max(asked),
            None => asked,
        };
        let pause = Pause {
            incarnation,
            ends_at,
        };
        self.by_server.insert(server.clone(), pause);
        !was_paused && ends_at > now
    }

    /// Milliseconds until the pause of an incarnation of a server ends; 0 if there is none.
    pub fn remaining_ms(&self, now: Millis, server: &str, incarnation: u64) -> u64 {
        let known = self.by_server.get(server);
        let own = known.filter(|pause| pause.incarnation == incarnation);
        own.map_or(0, |pause| pause.ends_at.saturating_sub(now))
    }

    /// Forgets pauses that have ended.
    pub fn expire(&mut self, now: Millis) {
        self.by_server.retain(|_, pause| now < pause.ends_at);
    }
}

/// Milliseconds after which a caller should come back whose request waits for the end of a pause. `random` is
/// a random number.
pub fn retry_after_ms(remaining_ms: u64, random: u64) -> u64 {
    let spread_ms = (remaining_ms / SPREAD_DIVISOR).clamp(SPREAD_MIN_MS, SPREAD_MAX_MS);
    remaining_ms + random % (spread_ms + 1)
}
