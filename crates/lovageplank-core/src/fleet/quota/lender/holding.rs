//! What one router holds of one pool, as the leader counts it.

use super::super::{Account, CLOCK_MARGIN_MS, LEASE_MS, Lot};
use super::window::{Bucket, Window};
use crate::prelude::*;
use std::collections::VecDeque;

/// A lot that the router hasn't confirmed.
#[derive(Clone, Debug)]
struct Unconfirmed {
    lot: Lot,
    expires_at: Millis,
}

/// Units that are counted as charged since their lease expired without a report.
#[derive(Clone, Debug)]
struct Presumed {
    /// The lot, or the last one of several.
    number: u64,
    bucket: Bucket,
    amount: u64,
}

/// What a router holds of a pool.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    /// The link on which it asked last.
    pub(super) link: u64,
    /// When it asked last.
    pub(super) asked_at: Millis,
    /// Number of its last message.
    message: u64,
    /// Number of the last lot that it was granted.
    granted: u64,
    /// Number of the last lot that it has confirmed.
    confirmed: u64,
    /// Units that it reported as charged.
    charged: u64,
    /// Units of confirmed lots that it may charge until `held_until`.
    held: u64,
    held_until: Millis,
    /// When the last confirmed lot expires.
    confirmed_until: Millis,
    unconfirmed: VecDeque<Unconfirmed>,
    presumed: Vec<Presumed>,
    /// What it wanted ahead of need last.
    pub(super) ahead: u64,
}

impl Holding {
    /// Begins with what the router reports of lots of this term: if there are any, they were counted, and forgotten
    /// when it had asked for nothing for long.
    pub(super) fn new(account: Option<&Account>) -> Holding {
        let confirmed = account.map_or(0, |account| account.confirmed);
        Holding {
            link: 0,
            asked_at: 0,
            message: 0,
            granted: confirmed,
            confirmed,
            charged: account.map_or(0, |account| account.charged),
            held: 0,
            held_until: 0,
            confirmed_until: 0,
            unconfirmed: VecDeque::new(),
            presumed: Vec::new(),
            ahead: 0,
        }
    }

    /// Units that the router may still charge, or has charged without a report.
    pub(super) fn outstanding(&self) -> u64 {
        self.held + self.unconfirmed_units()
    }

    /// Units of lots that the router hadn't received when it asked last.
    pub(super) fn unconfirmed_units(&self) -> u64 {
        self.unconfirmed.iter().map(|u| u.lot.amount).sum()
    }

    /// The lots that the router hasn't confirmed.
    pub(super) fn unconfirmed_lots(&self) -> Vec<Lot> {
        self.unconfirmed.iter().map(|u| u.lot).collect()
    }

    /// Whether a message is newer than all before; records its number if so.
    pub(super) fn is_news(&mut self, message: u64) -> bool {
        let is_news = message > self.message;
        self.message = self.message.max(message);
        is_news
    }

    /// Records a report on lots of this term.
    pub(super) fn report(&mut self, now: Millis, window: &mut Window, account: &Account) {
        while let Some(first) = self.unconfirmed.front()
            && first.lot.number <= account.confirmed
        {
            self.confirmed_until = self.confirmed_until.max(first.expires_at);
            self.unconfirmed.pop_front();
        }
        self.confirmed = self.confirmed.max(account.confirmed);
        let charged = account.charged.saturating_sub(self.charged);
        window.add(now, charged);
        self.charged = self.charged.max(account.charged);
        self.held = account.held;
        self.held_until = self.confirmed_until;
        // The report says what became of these lots.
        let known = self
            .presumed
            .extract_if(.., |presumed| presumed.number <= account.confirmed);
        for presumed in known {
            window.remove(presumed.bucket, presumed.amount);
        }
    }

    /// Counts what the router hasn't reported of expired leases as charged. It can't have been charged later.
    pub(super) fn expire(&mut self, now: Millis, window: &mut Window) {
        if self.held > 0 && self.held_until <= now {
            self.presumed.push(Presumed {
                number: self.confirmed,
                bucket: window.add(now, self.held),
                amount: self.held,
            });
            self.held = 0;
        }
        while let Some(first) = self.unconfirmed.front()
            && first.expires_at <= now
        {
            self.presumed.push(Presumed {
                number: first.lot.number,
                bucket: window.add(now, first.lot.amount),
                amount: first.lot.amount,
            });
            self.confirmed_until = self.confirmed_until.max(first.expires_at);
            self.unconfirmed.pop_front();
        }
    }

    /// Grants a lot that the router asked for at a time by its clock.
    pub(super) fn grant(&mut self, now: Millis, amount: u64, asked_at: Millis) {
        self.granted += 1;
        self.unconfirmed.push_back(Unconfirmed {
            lot: Lot {
                number: self.granted,
                amount,
                asked_at,
            },
            expires_at: now + LEASE_MS + CLOCK_MARGIN_MS,
        });
    }
}
