//! Permits for a limit that holds for the sum over all routers, in every window of time.
//!
//! The leader issues permits and counts them; a router uses only permits that it has received. So
//! the sum doesn't depend on what a router knows of the others: a router that is killed loses its
//! permits, and one that starts has none. A permit expires some time after the router asked for it
//! ([`PERMIT_TTL_MS`], [`RateIssuer::PERMIT_TTL_MS`]). Each window of length `w` therefore has only uses of permits that were issued in it or
//! shortly before, and the leader issues no more than the limit in `w` and that time together.
//!
//! - [`Issued`] bounds the permits of a window. They are in the replicated log before a router gets them, so
//!   that a new leader knows which ones count; it counts them from when it applied their entry, which is later
//!   than the router asked.
//! - A [`RateIssuer`] spreads permits evenly. A new leader doesn't know what the earlier one issued, and
//!   issues none before [`RateIssuer::NEW_LEADER_MS`] have passed.
//!
//! A router without contact to the leader gets no permits.
//!
//! Costs: a request and a response each time that a router runs out of permits while it needs them,
//! none otherwise, however many routers there are; and an entry of the log for each response of the first kind
//! that brings permits.

use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds from a router's request for permits until they expire, by the router's clock.
pub const PERMIT_TTL_MS: Millis = 1_500;
/// Longest time in milliseconds from the use of a permit until what it allowed arrives at a server.
const ARRIVAL_MS: Millis = 1_000;
/// Milliseconds for which an earlier leader may still issue permits when a new one is elected.
const LEADER_OVERLAP_MS: Millis = 1_000;
/// Milliseconds for which permits that weren't used accumulate at a [`RateIssuer`].
const BURST_MS: u64 = 500;
/// Least rate at which permits are issued. A server that takes no requests gets a few all the same,
/// whose responses say when that has changed.
const MIN_RATE: Rate = Rate(200);
/// Longest time in milliseconds after which a router is told to ask a [`RateIssuer`] again.
const MAX_RETRY_AFTER_MS: u64 = 2_000;
/// Milliseconds until a router asks again after a request without a response, and the least such
/// time after a response without permits.
const ASK_INTERVAL_MS: Millis = 500;

/// Milliseconds for which an issued permit counts. Uses in a window are of permits that were issued
/// in the span of this length that ends with the window.
pub fn issue_span_ms(window_ms: u64) -> Millis {
    window_ms + PERMIT_TTL_MS + ARRIVAL_MS
}

record! { key =>
    /// A router's request for permits.
    pub struct Request {
        /// Time of the request by the router's clock, which the response repeats.
        pub asked_at: Millis,
        /// Number of permits.
        pub wanted: u32,
    }
}

record! { key =>
    /// The leader's response to a [`Request`].
    pub struct Grant {
        /// [`Request::asked_at`] of the request.
        pub asked_at: Millis,
        /// Number of permits; may be 0.
        pub permits: u32,
        /// Milliseconds after which the router may ask again, if it got none.
        pub retry_after_ms: u64,
    }
}

/// Permits of one limit that were issued and still count.
#[derive(Clone, Debug)]
pub struct Issued {
    window_ms: u64,
    /// When permits were issued and how many, oldest first.
    permits: VecDeque<(Millis, u32)>,
}

impl Issued {
    /// Returns an empty count for a limit on each window of this length.
    pub fn new(window_ms: u64) -> Issued {
        Issued {
            window_ms,
            permits: VecDeque::new(),
        }
    }

    /// Counts permits that are issued now.
    pub fn add(&mut self, now: Millis, permits: u32) {
        self.drop_expired(now);
        self.permits.push_back((now, permits));
    }

    /// Returns how many permits count.
    pub fn count(&mut self, now: Millis) -> u32 {
        self.drop_expired(now);
        self.permits.iter().map(|(_, permits)| permits).sum()
    }

    fn drop_expired(&mut self, now: Millis) {
        let span_ms = issue_span_ms(self.window_ms);
        let is_over = |(at, _): &(Millis, u32)| at + span_ms < now;
        while self.permits.front().is_some_and(is_over) {
            self.permits.pop_front();
        }
    }

    /// Milliseconds after which a router may ask that got none.
    pub fn retry_after_ms(&self, now: Millis) -> u64 {
        let oldest = self.permits.front();
        let until = oldest.map_or(now, |(at, _)| at + issue_span_ms(self.window_ms));
        until.saturating_sub(now).max(ASK_INTERVAL_MS)
    }
}

record! { copy =>
    /// A rate as a number of requests in 1,000 s.
    pub struct Rate(pub u64);
}

/// Issues permits at a rate: in any span, the rate times the length of the span, those of
/// half a second (`BURST_MS`) and one.
#[derive(Clone, Debug)]
pub struct RateIssuer {
    /// Time in microseconds from which the next permit may be issued.
    next_us: u64,
    /// Time in microseconds that the last router without a permit was told.
    promised_us: u64,
}

impl RateIssuer {
    /// Milliseconds from a router's request for such permits until they expire. They are used at
    /// once, and one that expires is lost for the rate.
    pub const PERMIT_TTL_MS: Millis = 500;
    /// Milliseconds that a new leader waits before it issues such permits.
    pub const NEW_LEADER_MS: Millis = Self::PERMIT_TTL_MS + LEADER_OVERLAP_MS;

    /// Returns an issuer that issues none before `from`.
    pub fn new(from: Millis) -> RateIssuer {
        RateIssuer {
            next_us: from * 1_000,
            promised_us: 0,
        }
    }

    /// Issues as many of the wanted permits as the rate allows. Routers that get none are told
    /// different times, one permit apart, so that each finds one if no other router asks.
    pub fn issue(&mut self, now: Millis, rate: Rate, request: &Request) -> Grant {
        let interval_us = 1_000_000_000 / rate.0.max(MIN_RATE.0);
        let now_us = now * 1_000;
        self.next_us = self.next_us.max(now_us.saturating_sub(BURST_MS * 1_000));
        let mut permits = 0;
        while permits < request.wanted && self.next_us <= now_us {
            self.next_us += interval_us;
            permits += 1;
        }
        let mut retry_after_ms = 0;
        if permits == 0 {
            self.promised_us = self.promised_us.max(self.next_us);
            let wait_ms = (self.promised_us - now_us).div_ceil(1_000);
            retry_after_ms = wait_ms.min(MAX_RETRY_AFTER_MS);
            if wait_ms <= MAX_RETRY_AFTER_MS {
                self.promised_us += interval_us;
            }
        }
        Grant {
            asked_at: request.asked_at,
            permits,
            retry_after_ms,
        }
    }
}

/// Whether a router has a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It had one, and has used it.
    Allowed,
    /// It has none, but may receive some soon.
    Pending,
    /// It has none.
    Denied,
}

/// Permits of one limit that a router has received.
#[derive(Clone, Debug)]
pub struct Stock {
    /// Permits that are asked for at once.
    wanted: u32,
    /// Milliseconds from a request for permits until they expire.
    ttl_ms: Millis,
    /// Milliseconds within which the leader's response is waited for.
    response_timeout_ms: Millis,
    /// When permits expire and how many there are, oldest first.
    permits: VecDeque<(Millis, u32)>,
    /// The request without a response, and whether it has been taken to be sent.
    open: Option<(Request, bool)>,
    /// Time before which no further request is sent.
    ask_from: Millis,
}

impl Stock {
    /// Returns a stock without permits, which asks for `wanted` at once that expire after `ttl_ms`, and
    /// waits `response_timeout_ms` for a response.
    pub fn new(wanted: u32, ttl_ms: Millis, response_timeout_ms: Millis) -> Stock {
        Stock {
            wanted,
            ttl_ms,
            response_timeout_ms,
            permits: VecDeque::new(),
            open: None,
            ask_from: 0,
        }
    }

    /// Returns the number of permits that haven't expired.
    pub fn held(&mut self, now: Millis) -> u32 {
        while self.permits.front().is_some_and(|(until, _)| *until < now) {
            self.permits.pop_front();
        }
        self.permits.iter().map(|(_, permits)| permits).sum()
    }

    /// Uses a permit, or asks for some if there is none.
    pub fn take(&mut self, now: Millis) -> Answer {
        if self.held(now) == 0 {
            return self.ask(now);
        }
        if let Some((_, permits)) = self.permits.front_mut() {
            *permits -= 1;
            if *permits == 0 {
                self.permits.pop_front();
            }
        }
        Answer::Allowed
    }

    /// Asks for permits, unless a request is open or it is too early for another one. The answer is
    /// never [`Answer::Allowed`].
    pub fn ask(&mut self, now: Millis) -> Answer {
        let open = self.open.as_ref().map(|(request, _)| request.asked_at);
        if open.is_some_and(|at| now < at + self.response_timeout_ms) {
            return Answer::Pending;
        }
        if now < self.ask_from {
            return Answer::Denied;
        }
        let request = Request {
            asked_at: now,
            wanted: self.wanted,
        };
        self.open = Some((request, false));
        self.ask_from = now + ASK_INTERVAL_MS;
        Answer::Pending
    }

    /// Whether the open request hasn't been sent.
    pub fn has_request(&self) -> bool {
        self.open.as_ref().is_some_and(|(_, is_sent)| !is_sent)
    }

    /// Returns the open request if it hasn't been sent, and counts it as sent.
    pub fn take_request(&mut self) -> Option<Request> {
        let (request, is_sent) = self.open.as_mut().filter(|(_, is_sent)| !*is_sent)?;
        *is_sent = true;
        Some(request.clone())
    }

    /// Records a response; one to another request than the open one counts for nothing.
    pub fn granted(&mut self, now: Millis, grant: &Grant) {
        let is_open = |(request, _): &mut (Request, bool)| request.asked_at == grant.asked_at;
        if self.open.take_if(is_open).is_none() {
            return;
        }
        if grant.permits == 0 {
            self.ask_from = now + grant.retry_after_ms;
            return;
        }
        self.ask_from = now;
        let until = grant.asked_at + self.ttl_ms;
        self.permits.push_back((until, grant.permits));
    }

    /// Milliseconds until permits can be asked for again.
    pub fn retry_after_ms(&self, now: Millis) -> u64 {
        self.ask_from.saturating_sub(now)
    }
}
