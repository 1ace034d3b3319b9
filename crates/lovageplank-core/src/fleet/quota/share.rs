//! What one router may charge.

use super::rate::Rate;
use super::{ANSWER_TIMEOUT_MS, Account, Answer, Ask, Given, Item, LEASE_MS, Pool};
use crate::prelude::*;
use std::collections::VecDeque;

/// Milliseconds over which the recent demand is measured.
const DEMAND_DECAY_MS: f64 = 3_000.0;
/// Milliseconds after which a message is repeated while requests wait, in case it or its answer was lost.
const REPEAT_MS: Millis = 100;
/// Milliseconds between two messages that only ask ahead of need.
const AHEAD_INTERVAL_MS: Millis = 300;
/// Milliseconds between two messages that only report. What isn't reported counts longer than a window, which at full
/// use has to fit into the overage of the quota.
const REPORT_INTERVAL_MS: Millis = 400;
/// Milliseconds for which this router refuses requests as large as the one that the leader refused, without asking
/// again. More becomes free all the time.
const REFUSAL_MS: Millis = 250;
/// Requests of a tenant in the time of a lease from which on this router asks ahead of need. What many routers hold for
/// a tenant that sends each of them a request now and then isn't used before it expires, but counts in the quota.
const AHEAD_REQUESTS: u64 = 4;
/// Milliseconds of demand that are asked for ahead of need, with a request of the usual size: half of a lease, so that
/// little of it expires unused.
const AHEAD_MS: Millis = LEASE_MS / 2;
/// A lease is renewed when less than this part of its time is left.
const RENEWAL_DIVISOR: Millis = 3;

/// A charge that isn't settled: the request hasn't been sent to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    pool: Pool,
    /// The lots that it was charged to.
    parts: Vec<Part>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Part {
    term: u64,
    lot: u64,
    amount: u64,
}

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It was charged.
    Charged(Charge),
    /// It waits for the leader's answer, under this number.
    Wait(u64),
    /// It is over the quota.
    Refused {
        /// Milliseconds until more is free.
        again_ms: u64,
    },
}

/// What became of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was charged.
    Charged(Charge),
    /// It is over the quota.
    Refused {
        /// Milliseconds until more is free.
        again_ms: u64,
    },
    /// The leader didn't answer, so it isn't known whether it is over the quota.
    Unknown,
}

/// Units of a lot.
#[derive(Clone, Debug)]
struct HeldLot {
    number: u64,
    /// Not charged.
    left: u64,
    /// Charged, but not settled.
    unsettled: u64,
    expires_at: Millis,
}

/// The lots of one leader.
#[derive(Clone, Debug)]
struct TermLots {
    term: u64,
    confirmed: u64,
    /// Charged and settled, or not given back before the lease expired.
    charged: u64,
    /// In the order of their numbers.
    lots: VecDeque<HeldLot>,
}

impl TermLots {
    fn expire(&mut self, now: Millis) {
        while let Some(lot) = self.lots.front().filter(|lot| lot.expires_at <= now) {
            self.charged += lot.unsettled;
            self.lots.pop_front();
        }
    }

    fn account(&self) -> Account {
        Account {
            term: self.term,
            confirmed: self.confirmed,
            charged: self.charged,
            held: self.lots.iter().map(|lot| lot.left + lot.unsettled).sum(),
        }
    }
}

/// A request that waits for the leader's answer.
#[derive(Clone, Debug)]
struct Waiter {
    number: u64,
    amount: u64,
    since: Millis,
}

/// The leader's last refusal.
#[derive(Clone, Debug)]
struct Refusal {
    /// Units of the smallest request that was refused.
    amount: u64,
    /// Time until which this router doesn't ask again.
    until: Millis,
    /// Time at which more is free.
    again_at: Millis,
}

/// One pool at this router.
#[derive(Clone, Debug)]
struct Purse {
    /// By leader; the newest last.
    terms: Vec<TermLots>,
    waiting: VecDeque<Waiter>,
    /// Units that requests needed.
    demand: Rate,
    /// Requests.
    requests: Rate,
    refusal: Option<Refusal>,
    /// When the last message was sent on this pool, and what it reported.
    asked_at: Option<Millis>,
    reported: Vec<Account>,
    /// Whether requests wait for the answer to that message.
    is_asking: bool,
}

impl Purse {
    fn new() -> Purse {
        Purse {
            terms: Vec::new(),
            waiting: VecDeque::new(),
            demand: Rate::new(DEMAND_DECAY_MS),
            requests: Rate::new(DEMAND_DECAY_MS),
            refusal: None,
            asked_at: None,
            reported: Vec::new(),
            is_asking: false,
        }
    }

    fn expire(&mut self, now: Millis) {
        for term in &mut self.terms {
            term.expire(now);
        }
        // The leader of the newest term is told what was charged. Others no longer lend.
        let newest = self.terms.last().map(|term| term.term);
        self.terms
            .retain(|term| !term.lots.is_empty() || Some(term.term) == newest);
        if self.refusal.as_ref().is_some_and(|r| r.again_at <= now) {
            self.refusal = None;
        }
    }

    /// Units of lots that expire after a time.
    fn left_after(&self, time: Millis) -> u64 {
        let lots = self.terms.iter().flat_map(|term| &term.lots);
        lots.filter(|lot| lot.expires_at > time)
            .map(|lot| lot.left)
            .sum()
    }

    /// Charges some units, from the lots that expire first, if there are enough.
    fn charge(&mut self, now: Millis, pool: &Pool, amount: u64) -> Option<Charge> {
        self.expire(now);
        if self.left_after(now) < amount {
            return None;
        }
        let mut missing = amount;
        let mut parts = Vec::new();
        for term in &mut self.terms {
            for lot in &mut term.lots {
                let taken = lot.left.min(missing);
                if taken == 0 {
                    continue;
                }
                lot.left -= taken;
                lot.unsettled += taken;
                missing -= taken;
                parts.push(Part {
                    term: term.term,
                    lot: lot.number,
                    amount: taken,
                });
            }
        }
        Some(Charge {
            pool: pool.clone(),
            parts,
        })
    }

    /// The lot that was charged, unless its lease has expired.
    fn lot(&mut self, part: &Part) -> Option<(&mut HeldLot, &mut u64)> {
        let term = self.terms.iter_mut().find(|term| term.term == part.term)?;
        let lot = term.lots.iter_mut().find(|lot| lot.number == part.lot)?;
        Some((lot, &mut term.charged))
    }

    /// Units to ask for, for requests that come later.
    fn ahead(&self, now: Millis) -> u64 {
        let requests = self.requests.expected(now, LEASE_MS);
        if requests < AHEAD_REQUESTS {
            return 0;
        }
        let usual = self.demand.expected(now, LEASE_MS) / requests;
        let target = self.demand.expected(now, AHEAD_MS) + usual;
        let left = self.left_after(now + LEASE_MS / RENEWAL_DIVISOR);
        if left * 2 < target { target - left } else { 0 }
    }

    fn accounts(&self) -> Vec<Account> {
        self.terms.iter().map(TermLots::account).collect()
    }

    fn is_due(&self, now: Millis) -> bool {
        let since = |interval| self.asked_at.is_none_or(|at| now >= at + interval);
        if !self.waiting.is_empty() {
            return !self.is_asking || since(REPEAT_MS);
        }
        let is_refused = self.refusal.as_ref().is_some_and(|r| now < r.until);
        since(AHEAD_INTERVAL_MS) && !is_refused && self.ahead(now) > 0
            || since(REPORT_INTERVAL_MS) && self.accounts() != self.reported
    }

    /// Charges the requests that have waited longest, as far as the lots go.
    fn serve(&mut self, now: Millis, pool: &Pool, outcomes: &mut Vec<(u64, Outcome)>) {
        while let Some(waiter) = self.waiting.front() {
            let (number, amount) = (waiter.number, waiter.amount);
            let Some(charge) = self.charge(now, pool, amount) else {
                return;
            };
            self.waiting.pop_front();
            outcomes.push((number, Outcome::Charged(charge)));
        }
    }

    fn add_lots(&mut self, now: Millis, term: u64, given: &Given) {
        if self.terms.last().is_some_and(|last| last.term < term) || self.terms.is_empty() {
            self.terms.push(TermLots {
                term,
                confirmed: 0,
                charged: 0,
                lots: VecDeque::new(),
            });
        }
        // A leader of a former term that answers late isn't listened to, unless its lots are still held.
        let Some(known) = self.terms.iter_mut().find(|known| known.term == term) else {
            return;
        };
        for lot in &given.lots {
            if lot.number <= known.confirmed {
                continue;
            }
            known.confirmed = lot.number;
            let expires_at = lot.asked_at + LEASE_MS;
            if now < expires_at {
                known.lots.push_back(HeldLot {
                    number: lot.number,
                    left: lot.amount,
                    unsettled: 0,
                    expires_at,
                });
            }
        }
    }
}

/// What one router may charge to all tenants. A router that starts has nothing.
#[derive(Clone, Debug)]
pub struct Share {
    session: u64,
    sent: u64,
    last_waiter: u64,
    purses: BTreeMap<Pool, Purse>,
}

impl Share {
    /// Returns the share of a process that has started. `session` is a random number.
    pub fn new(session: u64) -> Share {
        Share {
            session,
            sent: 0,
            last_waiter: 0,
            purses: BTreeMap::new(),
        }
    }

    /// Charges a request that has arrived, or has it wait or refused.
    pub fn charge(&mut self, now: Millis, pool: &Pool, amount: u64) -> Decision {
        if !self.purses.contains_key(pool) {
            self.purses.insert(pool.clone(), Purse::new());
        }
        let purse = self.purses.get_mut(pool).expect("it was inserted");
        purse.demand.add(now, amount);
        purse.requests.add(now, 1);
        if purse.waiting.is_empty()
            && let Some(charge) = purse.charge(now, pool, amount)
        {
            return Decision::Charged(charge);
        }
        if let Some(refusal) = &purse.refusal
            && now < refusal.until
            && amount >= refusal.amount
        {
            return Decision::Refused {
                again_ms: refusal.again_at.saturating_sub(now),
            };
        }
        self.last_waiter += 1;
        purse.waiting.push_back(Waiter {
            number: self.last_waiter,
            amount,
            since: now,
        });
        Decision::Wait(self.last_waiter)
    }

    /// Records that the request is sent to a server now: its charge can't be given back.
    pub fn settle(&mut self, now: Millis, charge: &Charge) {
        self.each_part(now, charge, |lot, charged, amount| {
            lot.unsettled -= amount;
            *charged += amount;
        });
    }

    /// Gives back the charge of a request that wasn't sent to any server, as far as its leases live.
    pub fn give_back(&mut self, now: Millis, charge: &Charge) {
        self.each_part(now, charge, |lot, _, amount| {
            lot.unsettled -= amount;
            lot.left += amount;
        });
    }

    /// Forgets a request that waited and whose caller has left.
    pub fn leave(&mut self, pool: &Pool, number: u64) {
        if let Some(purse) = self.purses.get_mut(pool) {
            purse.waiting.retain(|waiter| waiter.number != number);
        }
    }

    /// Records an answer of the leader. Returns what became of requests that waited, by their numbers.
    pub fn answered(&mut self, now: Millis, answer: &Answer) -> Vec<(u64, Outcome)> {
        let mut outcomes = Vec::new();
        if answer.session != self.session {
            return outcomes;
        }
        for given in &answer.given {
            let Some(purse) = self.purses.get_mut(&given.pool) else {
                continue;
            };
            purse.is_asking = false;
            purse.add_lots(now, answer.term, given);
            purse.serve(now, &given.pool, &mut outcomes);
            let Some(again_ms) = given.again_ms else {
                continue;
            };
            let refused = purse.waiting.drain(..);
            let mut smallest = u64::MAX;
            for waiter in refused {
                smallest = smallest.min(waiter.amount);
                outcomes.push((waiter.number, Outcome::Refused { again_ms }));
            }
            purse.refusal = Some(Refusal {
                amount: smallest,
                until: now + again_ms.min(REFUSAL_MS),
                again_at: now + again_ms,
            });
        }
        outcomes
    }

    /// Returns the requests that have waited for too long.
    pub fn expire(&mut self, now: Millis) -> Vec<(u64, Outcome)> {
        let mut outcomes = Vec::new();
        for purse in self.purses.values_mut() {
            purse.expire(now);
            while let Some(waiter) = purse.waiting.front()
                && now >= waiter.since + ANSWER_TIMEOUT_MS
            {
                outcomes.push((waiter.number, Outcome::Unknown));
                purse.waiting.pop_front();
            }
        }
        outcomes
    }

    /// Whether [`take_ask`](Share::take_ask) has a message.
    pub fn has_ask(&self, now: Millis) -> bool {
        self.purses.values().any(|purse| purse.is_due(now))
    }

    /// Returns the message that is to be sent to the leader, if there is one.
    pub fn take_ask(&mut self, now: Millis) -> Option<Ask> {
        let mut items = Vec::new();
        for (pool, purse) in &mut self.purses {
            purse.expire(now);
            if !purse.is_due(now) {
                continue;
            }
            purse.asked_at = Some(now);
            purse.is_asking = !purse.waiting.is_empty();
            purse.reported = purse.accounts();
            // What is left is too little for the first request, but counts for it when the answer arrives.
            let left = purse.left_after(now + ANSWER_TIMEOUT_MS);
            let first = purse.waiting.front().map_or(0, |waiter| waiter.amount);
            let waiting: u64 = purse.waiting.iter().map(|waiter| waiter.amount).sum();
            items.push(Item {
                pool: pool.clone(),
                accounts: purse.reported.clone(),
                first: first.saturating_sub(left),
                waiting: waiting.saturating_sub(left),
                ahead: purse.ahead(now),
            });
        }
        if items.is_empty() {
            return None;
        }
        self.sent += 1;
        Some(Ask {
            session: self.session,
            number: self.sent,
            sent_at: now,
            items,
        })
    }

    /// A new leader leads: it is told at once what this router has, and what its requests wait for.
    pub fn leader_changed(&mut self) {
        for purse in self.purses.values_mut() {
            purse.is_asking = false;
            purse.asked_at = None;
            purse.reported.clear();
        }
    }

    /// Calls `update` with each lot of a charge whose lease lives, with what was charged of the lots of its leader,
    /// and with the units.
    fn each_part(
        &mut self,
        now: Millis,
        charge: &Charge,
        update: impl Fn(&mut HeldLot, &mut u64, u64),
    ) {
        let Some(purse) = self.purses.get_mut(&charge.pool) else {
            return;
        };
        // What expires now is charged.
        purse.expire(now);
        for part in &charge.parts {
            if let Some((lot, charged)) = purse.lot(part) {
                update(lot, charged, part.amount);
            }
        }
    }
}
