//! How many requests a brittle server has room for.
//!
//! A server says how many requests it runs at once, but not how many it lets wait. The number that is allowed starts
//! at half of the former, or at what the server already has, and rises with the requests that are answered. Beyond it, it rises by one at a time, and
//! only if the server bears more than one rejection; a rejection ends that for [`PROBE_INTERVAL_MS`].

use super::Server;
use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds after a rejection before the allowed number rises again.
const HOLD_MS: Millis = 1_000;
/// Milliseconds between two rises beyond the requests that the server runs at once.
const RISE_INTERVAL_MS: Millis = 2_000;
/// Milliseconds after a rejection before the number at which it came is allowed again, if the server runs fewer at
/// once.
const PROBE_INTERVAL_MS: Millis = 30_000;
/// The same if it runs as many at once: it may not have been ready for the next request yet.
const FULL_INTERVAL_MS: Millis = 5_000;
/// Rejections that a server must bear for more requests to be allowed than it runs at once.
const PROBE_TOLERATED: u32 = 2;
/// Requests that may wait, as a part of those that the server runs at once.
const WAITING_DIVISOR: u32 = 2;
/// Milliseconds after which a rejection no longer counts for the end of a server: the second in which a server
/// counts them, and the time until a router has found out that the server has ended.
const FALL_WINDOW_MS: Millis = 2_000;

/// The room of one incarnation of a server.
#[derive(Clone, Debug)]
pub(super) struct Room {
    slots: u32,
    tolerated: u32,
    /// Requests that are allowed at once.
    allowed: u32,
    /// Requests that all routers have at it, and places that routers haven't used.
    in_use: u32,
    /// Requests that were answered since the allowed number last rose.
    answered: u32,
    /// Time before which the allowed number doesn't rise.
    hold_until: Millis,
    /// The number of requests at which one was last rejected, and until when that counts.
    full_at: Option<(u32, Millis)>,
    /// When requests were lately rejected and how many, oldest first.
    rejections: VecDeque<(Millis, u32)>,
    pub(super) used_at: Millis,
}

impl Room {
    pub(super) fn new(now: Millis, server: &Server) -> Room {
        Room {
            slots: server.slots.max(1),
            tolerated: server.tolerated,
            allowed: start(server.slots),
            in_use: 0,
            answered: 0,
            hold_until: now,
            full_at: None,
            rejections: VecDeque::new(),
            used_at: now,
        }
    }

    /// Updates what the server says of itself.
    pub(super) fn update(&mut self, now: Millis, server: &Server) {
        self.slots = server.slots.max(1);
        self.tolerated = server.tolerated;
        self.allowed = self.allowed.min(self.most(now));
        self.used_at = now;
    }

    pub(super) fn has_place(&self) -> bool {
        self.in_use < self.allowed
    }

    pub(super) fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Changes the number of requests, from `before` to `after` at one router. More than are allowed come from the
    /// time before the server was brittle, or from routers that don't ask: it has room for them unless it rejects some.
    pub(super) fn change(&mut self, now: Millis, before: u32, after: u32) {
        self.in_use = (self.in_use + after).saturating_sub(before);
        if self.in_use > self.allowed && self.rejections.is_empty() {
            let most = self.most(now).min(self.slots);
            self.allowed = self.allowed.max(self.in_use.min(most));
        }
    }

    pub(super) fn allowed(&self) -> u32 {
        self.allowed
    }

    /// Records what became of requests. `in_use` still counts them.
    pub(super) fn learn(&mut self, now: Millis, rejected: u32, answered: u32, broken: u32) {
        if rejected > 0 {
            self.forget_rejections(now);
            self.rejections.push_back((now, rejected));
            self.reject(now);
        }
        if broken > 0 {
            // The server may have ended and come back empty.
            self.allowed = self.allowed.min(start(self.slots));
            self.answered = 0;
        }
        self.answered = self.answered.saturating_add(answered);
        if now >= self.hold_until {
            self.rise(now);
        }
    }

    /// Whether an end of the server now is explained by what it had to reject.
    pub(super) fn is_fall(&mut self, now: Millis) -> bool {
        self.forget_rejections(now);
        let rejected: u32 = self.rejections.iter().map(|(_, count)| count).sum();
        // The last rejection may be lost with the connection.
        if self.tolerated == 0 {
            rejected > 0 || self.in_use >= self.slots
        } else {
            rejected >= self.tolerated
        }
    }

    fn forget_rejections(&mut self, now: Millis) {
        let is_old = |(at, _): &(Millis, u32)| at + FALL_WINDOW_MS < now;
        while self.rejections.front().is_some_and(is_old) {
            self.rejections.pop_front();
        }
    }

    fn reject(&mut self, now: Millis) {
        self.hold_until = now + HOLD_MS;
        self.answered = 0;
        // Requests from the time before the server was brittle say nothing of the allowed number.
        if self.in_use > self.allowed {
            return;
        }
        let full_at = self.in_use.max(1);
        let interval_ms = if full_at > self.slots {
            PROBE_INTERVAL_MS
        } else {
            FULL_INTERVAL_MS
        };
        self.full_at = Some((full_at, now + interval_ms));
        self.allowed = full_at.saturating_sub(1).max(1);
    }

    /// Raises the allowed number if enough requests have been answered meanwhile.
    fn rise(&mut self, now: Millis) {
        let is_beyond = self.allowed >= self.slots;
        if self.answered < self.allowed || self.allowed >= self.most(now) {
            self.answered = self.answered.min(self.allowed);
            return;
        }
        self.allowed += 1;
        self.answered = 0;
        if is_beyond {
            self.hold_until = now + RISE_INTERVAL_MS;
        }
    }

    /// The largest number that may be allowed now.
    fn most(&self, now: Millis) -> u32 {
        let most = match self.tolerated {
            0 => self.slots.saturating_sub(1),
            1..PROBE_TOLERATED => self.slots,
            _ => self
                .slots
                .saturating_add(self.slots.div_ceil(WAITING_DIVISOR)),
        };
        let full_at = self.full_at.filter(|(_, until)| now < *until);
        let below = full_at.map_or(u32::MAX, |(full_at, _)| full_at.saturating_sub(1));
        most.min(below).max(1)
    }
}

fn start(slots: u32) -> u32 {
    (slots / 2).max(1)
}
