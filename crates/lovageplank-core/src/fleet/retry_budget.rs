//! Limits the retries that routers send to a service.
//!
//! The limit holds for the sum over all routers: in any window, retries are at most a ratio of the
//! requests plus a fixed number. A router may use the ratio of the requests that it has sent itself.
//! For each retry of the fixed number it needs a [permit](super::permit) of the leader, which puts permits
//! into the replicated log before it issues them.

use super::permit::{Answer, Grant, Issued, PERMIT_TTL_MS, Request, Stock};
use crate::prelude::*;
use std::collections::VecDeque;

/// Fraction of the limit that is used. A retry is checked against the window that ends at the time
/// of the retry. A later window may contain the retry, but no longer the requests that allowed it.
/// The rest of the limit is a margin, so that such retries don't add up to more than the limit.
const USABLE_FRACTION: f64 = 0.8;

/// Permits that a router asks for at once.
const PERMITS_WANTED: u32 = 2;
/// Milliseconds for which a retry waits for the leader's response. The response follows an entry of the
/// replicated log; the retry is of a request that fails otherwise.
pub const RESPONSE_TIMEOUT_MS: Millis = 400;

record! { data =>
    /// Limit on the retries to one service, over all routers.
    pub struct RetryLimit {
        /// Retries per request.
        pub ratio: f64,
        /// Retries in a window in addition to the ratio.
        pub extra: f64,
        /// Length of the sliding window in milliseconds.
        pub window_ms: u64,
    }
}

impl RetryLimit {
    /// Permits that the leader issues for a window.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
    fn permits(&self) -> u32 {
        (USABLE_FRACTION * self.extra) as u32
    }
}

record! { copy =>
    /// What one router has sent to one service in the window, and may still send.
    pub struct Usage {
        /// Requests whose first attempt was sent.
        pub requests: usize,
        /// Retries that the ratio allowed.
        pub retries: usize,
        /// Permits for further retries.
        pub permits: u32,
    }
}

/// Requests and retries that one router has sent to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_limit: RetryLimit,
    requests: VecDeque<Millis>,
    /// Retries without a permit.
    retries: VecDeque<Millis>,
    permits: Stock,
}

impl RetryBudget {
    /// Returns a budget without any request or retry.
    pub fn new(retry_limit: RetryLimit) -> RetryBudget {
        RetryBudget {
            retry_limit,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            permits: Stock::new(PERMITS_WANTED, PERMIT_TTL_MS, RESPONSE_TIMEOUT_MS),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Millis) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Returns what this router has sent in the window that ends now.
    pub fn usage(&mut self, now: Millis) -> Usage {
        self.drop_expired(now);
        Usage {
            requests: self.requests.len(),
            retries: self.retries.len(),
            permits: self.permits.held(now),
        }
    }

    /// Returns whether this router may send a retry now, and records it if so. Asks for permits when
    /// the last retry that the ratio allows has been used.
    pub fn try_retry(&mut self, now: Millis) -> Answer {
        self.drop_expired(now);
        if self.unused_by_ratio() < 1.0 {
            return self.permits.take(now);
        }
        self.retries.push_back(now);
        if self.unused_by_ratio() < 1.0 && self.permits.held(now) == 0 {
            self.permits.ask(now);
        }
        Answer::Allowed
    }

    /// Whether [`take_permit_request`](RetryBudget::take_permit_request) has a request.
    pub fn asks_for_permits(&self) -> bool {
        self.permits.has_request()
    }

    /// Returns a request for permits that is to be sent to the leader, if there is one.
    pub fn take_permit_request(&mut self) -> Option<Request> {
        self.permits.take_request()
    }

    /// Records a response of the leader.
    pub fn permits_granted(&mut self, now: Millis, grant: &Grant) {
        self.permits.granted(now, grant);
    }

    /// Retries that the ratio allows beyond those already sent.
    #[allow(clippy::cast_precision_loss)] // Counts of a few thousand.
    fn unused_by_ratio(&self) -> f64 {
        let allowed = USABLE_FRACTION * self.retry_limit.ratio * self.requests.len() as f64;
        allowed - self.retries.len() as f64
    }

    fn drop_expired(&mut self, now: Millis) {
        let from = now.saturating_sub(self.retry_limit.window_ms);
        for list in [&mut self.requests, &mut self.retries] {
            while list.front().is_some_and(|at| *at < from) {
                list.pop_front();
            }
        }
    }
}

record! { key =>
    /// Permits for retries to a service, as an entry of the replicated log has them.
    pub struct Reservation {
        /// Name of the service.
        pub service: Name,
        /// How many.
        pub permits: u32,
        /// Random number by which the leader that proposed the entry recognizes it.
        pub ticket: u64,
    }
}

/// What is done with a router's request for permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The entry is proposed. The router gets the permits when it is applied.
    Reserve(Reservation),
    /// The router gets this response, without permits.
    Deny(Grant),
}

/// A request for permits whose entry has been proposed.
#[derive(Clone, Debug)]
struct Open {
    reservation: Reservation,
    /// Who asked, by a number of the caller's.
    asker: u64,
    asked_at: Millis,
    proposed_at: Millis,
}

/// Permits for retries to all services, as a control process counts them.
///
/// Every process counts what the log has; the leader issues permits when it has applied the log up to its
/// own term.
#[derive(Clone, Debug)]
pub struct RetryPermits {
    retry_limit: RetryLimit,
    issued: BTreeMap<Name, Issued>,
    /// Requests whose entry this leader has proposed, by ticket.
    open: BTreeMap<u64, Open>,
}

impl RetryPermits {
    /// Returns the count of a process that has applied nothing.
    pub fn new(retry_limit: RetryLimit) -> RetryPermits {
        RetryPermits {
            retry_limit,
            issued: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    /// Decides about a router's request for permits; as many of those that it wants as are left. `ticket` is a
    /// random number.
    pub fn ask(
        &mut self,
        now: Millis,
        service: &Name,
        request: &Request,
        asker: u64,
        ticket: u64,
    ) -> Decision {
        // The response to an older one isn't waited for any more.
        self.open
            .retain(|_, open| now < open.proposed_at + PERMIT_TTL_MS);
        let proposed: u32 = self
            .open
            .values()
            .map(|open| &open.reservation)
            .filter(|reservation| reservation.service == *service)
            .map(|reservation| reservation.permits)
            .sum();
        let limit = self.retry_limit.permits();
        let issued = self.issued(service);
        let left = limit.saturating_sub(issued.count(now) + proposed);
        let permits = request.wanted.min(left);
        if permits == 0 {
            return Decision::Deny(Grant {
                asked_at: request.asked_at,
                permits,
                retry_after_ms: issued.retry_after_ms(now),
            });
        }
        let reservation = Reservation {
            service: service.clone(),
            permits,
            ticket,
        };
        let open = Open {
            reservation: reservation.clone(),
            asker,
            asked_at: request.asked_at,
            proposed_at: now,
        };
        self.open.insert(ticket, open);
        Decision::Reserve(reservation)
    }

    /// Counts permits of an entry that is applied. Returns who gets them, if this leader proposed the entry.
    pub fn apply(&mut self, now: Millis, reservation: &Reservation) -> Option<(u64, Grant)> {
        self.issued(&reservation.service)
            .add(now, reservation.permits);
        let open = self.open.remove(&reservation.ticket)?;
        let grant = Grant {
            asked_at: open.asked_at,
            permits: reservation.permits,
            retry_after_ms: 0,
        };
        Some((open.asker, grant))
    }

    /// Ceases to lead: what was proposed is issued to nobody.
    pub fn resign(&mut self) {
        self.open.clear();
    }

    /// Returns the permits that count, for a snapshot.
    pub fn snapshot(&mut self, now: Millis) -> Vec<Reservation> {
        let counts = self.issued.iter_mut().map(|(service, issued)| Reservation {
            service: service.clone(),
            permits: issued.count(now),
            ticket: 0,
        });
        counts.filter(|counted| counted.permits > 0).collect()
    }

    fn issued(&mut self, service: &Name) -> &mut Issued {
        let window_ms = self.retry_limit.window_ms;
        self.issued
            .entry(service.clone())
            .or_insert_with(|| Issued::new(window_ms))
    }
}
