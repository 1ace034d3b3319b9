//! Permits for a limit that holds for the sum over all routers, in every window of time.
//!
//! The leader issues permits and counts them; a router uses only permits that it has received. So
//! the sum doesn't depend on what a router knows of the others: a router that is killed loses its
//! permits, and one that starts has none. A permit expires [`PERMIT_TTL_MS`] after the router asked
//! for it. Each window of length `w` therefore has only uses of permits that were issued in it or
//! shortly before, and the leader issues no more than the limit in `w` and that time together.
//!
//! A new leader doesn't know what the earlier one issued. It issues none before [`new_leader_ms`]
//! have passed. A router without contact to the leader gets none either.
//!
//! Costs: a request and a response each time that a router runs out of permits while it needs them,
//! none otherwise, however many routers there are.

use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds from a router's request for permits until they expire, by the router's clock.
pub const PERMIT_TTL_MS: Millis = 1_500;
/// Longest time in milliseconds from the use of a permit until what it allowed arrives at a server.
const ARRIVAL_MS: Millis = 1_000;
/// Milliseconds for which an earlier leader may still issue permits when a new one is elected.
const LEADER_OVERLAP_MS: Millis = 1_000;
/// Milliseconds within which the leader's response is waited for.
const RESPONSE_TIMEOUT_MS: Millis = 50;
/// Milliseconds until a router asks again after a request without a response, and the least such
/// time after a response without permits.
const ASK_INTERVAL_MS: Millis = 500;
/// Permits that a router asks for at once.
const WANTED: u32 = 2;

/// Milliseconds that a new leader waits before it issues permits of a limit with this window.
pub fn new_leader_ms(window_ms: u64) -> Millis {
    issue_span_ms(window_ms) + LEADER_OVERLAP_MS
}

/// Milliseconds for which an issued permit counts. Uses in a window are of permits that were issued
/// in the span of this length that ends with the window.
fn issue_span_ms(window_ms: u64) -> Millis {
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

/// Permits of one limit that the leader has issued.
#[derive(Clone, Debug)]
pub struct Issuer {
    window_ms: u64,
    /// Time before which no permit is issued.
    from: Millis,
    /// When permits were issued and how many, oldest first; only those that still count.
    issued: VecDeque<(Millis, u32)>,
}

impl Issuer {
    /// Returns an issuer for a limit on each window of this length, which issues none before `from`.
    pub fn new(window_ms: u64, from: Millis) -> Issuer {
        Issuer {
            window_ms,
            from,
            issued: VecDeque::new(),
        }
    }

    /// Issues as many of the wanted permits as `limit`, the number for a window, allows.
    pub fn issue(&mut self, now: Millis, limit: u32, request: &Request) -> Grant {
        let span_ms = issue_span_ms(self.window_ms);
        while self
            .issued
            .front()
            .is_some_and(|(at, _)| at + span_ms < now)
        {
            self.issued.pop_front();
        }
        let counted: u32 = self.issued.iter().map(|(_, permits)| permits).sum();
        let available = if now < self.from {
            0
        } else {
            limit.saturating_sub(counted)
        };
        let permits = request.wanted.min(available);
        if permits > 0 {
            self.issued.push_back((now, permits));
        }
        let oldest_until = self.issued.front().map_or(now, |(at, _)| at + span_ms);
        let retry_at = self.from.max(oldest_until);
        Grant {
            asked_at: request.asked_at,
            permits,
            retry_after_ms: retry_at.saturating_sub(now).max(ASK_INTERVAL_MS),
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
#[derive(Clone, Debug, Default)]
pub struct Stock {
    /// When permits expire and how many there are, oldest first.
    permits: VecDeque<(Millis, u32)>,
    /// The request without a response, and whether it has been taken to be sent.
    open: Option<(Request, bool)>,
    /// Time before which no further request is sent.
    ask_from: Millis,
}

impl Stock {
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
        if open.is_some_and(|at| now < at + RESPONSE_TIMEOUT_MS) {
            return Answer::Pending;
        }
        if now < self.ask_from {
            return Answer::Denied;
        }
        let request = Request {
            asked_at: now,
            wanted: WANTED,
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
        let until = grant.asked_at + PERMIT_TTL_MS;
        self.permits.push_back((until, grant.permits));
    }
}
